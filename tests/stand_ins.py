"""Test doubles: a host with its own clock that records requested actions; servers and clients on loopback."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import socket
import struct
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from dataclasses import replace
from itertools import count
from pathlib import Path
from typing import Any

from ospreyline import config
from ospreyline.decide import Balancer, Visit
from ospreyline.host import DedupScope, Deployment, End, Kind, ListedUpstream, PathPrefix, Readiness
from ospreyline.net.dispatcher import clock
from ospreyline.net.service import Service
from ospreyline.operator_settings import OperatorSettings


def prefix(kind: Kind, scope: DedupScope = DedupScope.ALL, gain: float = 1.0) -> PathPrefix:
    return PathPrefix(kind, scope, 1_500.0, 1_000.0, 2_500.0, gain, 0.0)


PLAIN = Deployment(
    zone=0, zones=3, balancers=3, number=0, prefixes=(prefix(Kind.READ_LIKE),), ask_for_list=False
)


def listed(
    upstream: int, zone: int = 0, cell: int = 0, came_up: float = 0.0, readiness: Readiness = Readiness.READY
) -> ListedUpstream:
    return ListedUpstream(upstream, upstream * 7919 + 13, zone, cell, readiness, came_up)


class FakeHost:
    def __init__(
        self, lines: list[ListedUpstream], start: float = 100_000.0, seed: int = 7, **terms: object
    ) -> None:
        self.now = start
        self.sends: list[tuple[int, int, float, float]] = []  # tag, upstream, timeout, time of sending
        self.bounced: dict[int, float] = {}
        self.failed: list[int] = []
        self.cancelled: list[tuple[int, int]] = []
        self.probes: list[int] = []
        self.dropped: list[int] = []
        self.told: list[bytes] = []
        self.watches: list[float] = []
        self.wakes: list[tuple[float, Callable[[float], None]]] = []
        self.tags = 0
        self.balancer = Balancer(self, replace(PLAIN, **terms), seed, start)  # type: ignore[arg-type]
        self.balancer.apply_list(self.now, lines)

    def start_fetch(self, tag: int, upstream: int, timeout_ms: float) -> None:
        self.sends.append((tag, upstream, timeout_ms, self.now))

    def cancel_fetch(self, tag: int, fetch: int) -> None:
        self.cancelled.append((tag, fetch))

    def bounce(self, tag: int, retry_after: float) -> None:
        self.bounced[tag] = retry_after

    def answer_error(self, tag: int) -> None:
        self.failed.append(tag)

    def call_at(self, at: float, call: Callable[[float], None]) -> None:
        self.wakes.append((at, call))

    def send_probe(self, upstream: int) -> None:
        self.probes.append(upstream)

    def close_idle_connections(self, upstream: int) -> None:
        self.dropped.append(upstream)

    def broadcast(self, message: bytes) -> None:
        self.told.append(message)

    def watch_list(self, on: bool) -> None:
        self.watches.append(self.now)

    def poll_list(self) -> None:
        pass

    def log(self, text: str) -> None:
        pass

    def pass_time(self, span: float) -> None:
        """Advance the clock and run the timers that become due."""
        until = self.now + span
        while self.wakes and min(at for at, _ in self.wakes) <= until:
            due = min(self.wakes, key=lambda w: w[0])
            self.wakes.remove(due)
            self.now = max(self.now, due[0])
            due[1](self.now)
        self.now = until

    def take(self, lane: int = 0, ttl: float = 2_500.0) -> Visit:
        self.tags += 1
        return self.balancer.accept_visit(self.now, self.tags, lane, ttl, False)

    def end(self, visit: Visit, end: End, spent: float = 50.0) -> None:
        """End the visit's latest fetch, `spent` ms from now."""
        self.pass_time(spent)
        visit.fetch_ended(self.now, len(visit.fetches) - 1, end, spent, end is End.DELIVERED, ())

    def serve(
        self, visits: int, end: Callable[[int], End] = lambda upstream: End.DELIVERED, lane: int = 0
    ) -> list[int]:
        """Run visits one by one; `end` maps upstream index to fetch end. Returns their first upstreams."""
        first = []
        for _ in range(visits):
            visit = self.take(lane)
            sent = len(visit.fetches)
            if sent:
                first.append(visit.fetches[0].upstream.id)
            while visit.in_flight:
                self.end(visit, end(visit.fetches[-1].upstream.id))
        return first

    def answers(self, visit: Visit) -> int:
        """Number of final answers that the balancer itself gave; delivered ones are not counted."""
        return (visit.tag in self.bounced) + self.failed.count(visit.tag)


# servers and clients on loopback, for tests on sockets

SILENT, RESET = "silent", "reset"
Answer = bytes | str | tuple[str, bytes]


def ok(body: bytes = b"hello", fields: bytes = b"", status: bytes = b"200 OK") -> bytes:
    return b"HTTP/1.1 %b\r\n%bContent-Length: %d\r\n\r\n%b" % (status, fields, len(body), body)


def reset(transport: asyncio.WriteTransport) -> None:
    """Close a connection by a reset; `abort` alone closes it regularly unless data is unread."""
    sock = transport.get_extra_info("socket")
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    transport.abort()


async def read_message(reader: asyncio.StreamReader) -> tuple[bytes, bytes]:
    """Head and body of one message with a Content-Length, or without a body."""
    head = await reader.readuntil(b"\r\n\r\n")
    length = 0
    for line in head.split(b"\r\n"):
        name, _, value = line.partition(b":")
        if name.lower() == b"content-length":
            length = int(value)
    return head, await reader.readexactly(length)


class Peer:
    """A scripted server: each request gets the next answer; the last answer is repeated."""

    def __init__(self, *answers: Answer) -> None:
        self.answers = list(answers) or [ok()]
        self.requests: list[tuple[bytes, bytes]] = []
        self.writers: list[asyncio.StreamWriter] = []
        self.changed = asyncio.Event()
        self.open = 0
        self.port = 0

    async def start(self) -> Peer:
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.append(writer)
        self.open += 1
        try:
            while True:
                self.requests.append(await read_message(reader))
                self.changed.set()
                answer = self.answers.pop(0) if len(self.answers) > 1 else self.answers[0]
                if answer == RESET:
                    writer.transport.abort()
                elif isinstance(answer, tuple):  # last bytes, then close
                    writer.write(answer[1])
                    writer.close()
                elif isinstance(answer, bytes):
                    writer.write(answer)
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            self.open -= 1
            self.changed.set()
            writer.close()

    async def until(self, holds: Callable[[], bool]) -> None:
        """Wait until a condition holds; it is checked whenever something happens at this server."""
        async with asyncio.timeout(5):
            while not holds():
                self.changed.clear()
                await self.changed.wait()


class Registry(Peer):
    """The list service: every watch stays open and receives the updates that the test sends.

    `plain`: answer to a call for the whole list; without it such a call stays open like a watch.
    """

    plain: bytes | None = None

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            self.requests.append(await read_message(reader))
            if self.answers[0] == RESET:
                writer.transport.abort()
            elif self.plain is not None and b"?watch=1" not in self.requests[-1][0]:
                writer.write(ok(self.plain))
            else:
                writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
                self.writers.append(writer)
            self.changed.set()
            await reader.read()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            if writer in self.writers:
                self.writers.remove(writer)
            self.changed.set()
            writer.close()

    async def say(self, data: bytes, piece: int = 1 << 20) -> None:
        """Write to the open watch, in chunks of `piece` bytes."""
        await self.until(lambda: bool(self.writers))
        for at in range(0, len(data), piece):
            part = data[at : at + piece]
            self.writers[-1].write(b"%x\r\n%b\r\n" % (len(part), part))
            await self.writers[-1].drain()
            await asyncio.sleep(0)

    async def tell(
        self, rev: int, *targets: dict[str, Any], whole: bool = False, piece: int = 1 << 20
    ) -> None:
        line = json.dumps({"rev": rev, "all": whole, "targets": targets}, ensure_ascii=False)
        await self.say(line.encode() + b"\n", piece)


def target(uid: str, port: int, **more: Any) -> dict[str, Any]:
    return {
        "uid": uid,
        "endpoint": f"127.0.0.1:{port}",
        "az": "a",
        "model": "m",
        "pod_group": 0,
        "state": "active",
        "capacity_hint": 1.0,
        "boot_ms": 0,
        **more,
    }


def configuration(
    known: list[dict[str, Any]], registry: int = 1, sockets: int = 256, memory_mb: int = 192, **caps: Any
) -> dict[str, Any]:
    def prefix(name: str, semantics: str) -> dict[str, Any]:
        return {
            "Name": name,
            "Semantics": semantics,
            "KeyScope": "all",
            "ClientTimeoutUs": 2_000_000,
            "TargetLatencyUs": 1_000_000,
            "WindowUs": 1_500_000,
            "Gain": 1.0,
        }

    return {
        "name": "n0",
        "listen": "127.0.0.1:0",
        "discovery": f"127.0.0.1:{registry}",
        "seed": "8c1f",
        "limits": {"sockets": sockets, "memory_mb": memory_mb},
        "known": {"rev": 3, "all": True, "targets": known},
        "settings": {
            "Balancers": 1,
            "Dcs": ["a", "b"],
            "Zone": 0,
            "Me": 0,
            "Discovery": caps.pop("Discovery", "ask"),
            "PathPrefixes": [prefix("read", "repeatable"), prefix("tag", "by_key"), prefix("change", "once")],
            "Caps": {
                "Cancel": True,
                "MostBackendFetches": 3,
                "MaxRetryAfterUs": 2_000_000,
                "RetryAfter": True,
                **caps,
            },
        },
    }


@asynccontextmanager
async def running(
    *peers: Peer,
    registry: Peer | None = None,
    known: list[dict[str, Any]] | None = None,
    operator: OperatorSettings | None = None,
    **more: Any,
) -> AsyncIterator[Service]:
    """A running balancer in front of the given servers, which are started if necessary."""
    for peer in (*peers, *([registry] if registry else [])):
        if not peer.port:
            await peer.start()
    if known is None:
        known = [target(f"u{i}", peer.port) for i, peer in enumerate(peers)]
    raw_config = configuration(known, registry.port if registry else 1, **more)
    service = Service(asyncio.get_running_loop(), config.parse(json.dumps(raw_config).encode(), {}), operator)
    service.start()
    if registry is None:
        await until_ready(service)  # no list service listens, which the first call has to find out
    try:
        yield service
    finally:
        service.end()


async def until_ready(service: Service) -> None:
    """Wait until a balancer may send requests: the list service has answered, or nothing listens there."""
    async with asyncio.timeout(5):
        while service.dispatcher.balancer.lease.blocks_sends(clock()):
            await asyncio.sleep(0)


async def heard(service: Service, registry: Registry) -> None:
    """The list service reports no change since the configured list."""
    await registry.tell(3)
    await until_ready(service)


TRACES = count(0x9B1F)


def request(
    path: str = "/read/a", method: str = "GET", body: bytes = b"", trace: str | None = None, **fields: str
) -> bytes:
    trace = f"{next(TRACES):x}" if trace is None else trace
    named = {"Host": "origin.svc", "X-Trace-Id": trace, **{k.replace("_", "-"): v for k, v in fields.items()}}
    if body and "Transfer-Encoding" not in named:
        named.setdefault("Content-Length", str(len(body)))
    head = "".join(f"{k}: {v}\r\n" for k, v in named.items() if v)
    return f"{method} {path} HTTP/1.1\r\n{head}\r\n".encode() + body


class Caller:
    """A client connection."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader, self.writer = reader, writer

    async def ask(self, data: bytes) -> tuple[int, bytes, bytes]:
        self.writer.write(data)
        return await self.answer()

    async def answer(self) -> tuple[int, bytes, bytes]:
        """Status, head and body of the next answer."""
        async with asyncio.timeout(5):
            head, body = await read_message(self.reader)
            return int(head.split(b" ", 2)[1]), head, body


async def caller(service: Service) -> Caller:
    return Caller(*await asyncio.open_connection(*service.at))


def stop_process(pid: int) -> None:
    """Stop a process (SIGSTOP), and wait until it does not run any more.

    On a busy machine it may run on for some hundred milliseconds after the signal was sent.
    """
    os.kill(pid, signal.SIGSTOP)
    while Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()[0] != "T":
        os.sched_yield()
