"""Stand-ins for a small deployment on loopback: upstreams, discovery, clients, and the balancers' platform.

Standard library only. Everything a stand-in sends, answers or runs is written to the record of the case.
"""

from __future__ import annotations

import asyncio
import json
import os
import shutil
import signal
import socket
import struct
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parents[2]
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, NOT_RUN = 0, 1, 2
ZONES = ("bangna", "lat-krabang", "chonburi")
RESET_ON_CLOSE = struct.pack("ii", 1, 0)
MAX_REQUEST_BYTES = 1 << 20

READ = {
    "Name": "view-statement",
    "Semantics": "repeatable",
    "ClientTimeoutUs": 2_000_000,
    "TargetLatencyUs": 750_000,
    "Gain": 1.0,
}
ONCE = {
    "Name": "change-rate",
    "Semantics": "once",
    "ClientTimeoutUs": 2_500_000,
    "TargetLatencyUs": 1_000_000,
    "Gain": 3.0,
}
TAGGED = {
    "Name": "benefit-claim",
    "Semantics": "by_key",
    "KeyScope": "zone",
    "WindowUs": 1_500_000,
    "ClientTimeoutUs": 2_500_000,
    "TargetLatencyUs": 1_000_000,
    "Gain": 10.0,
}


class NotRun(Exception):
    """The case could not run as meant; says nothing about the rule."""


class Record:
    """The record of a case: one line for each event, with the seconds since the case began."""

    def __init__(self, folder: Path) -> None:
        self.started = time.monotonic()
        self._file = (folder / "record.txt").open("w", encoding="utf-8")

    def now(self) -> float:
        return time.monotonic() - self.started

    def line(self, what: str, **values: Any) -> float:
        now = self.now()
        shown = " ".join(f"{name}={value}" for name, value in values.items())
        self._file.write(f"{now:9.3f} {what} {shown}\n")
        return now

    def say(self, text: str) -> None:
        self.line(text)
        print(f"{self.now():7.2f} {text}", flush=True)

    def close(self) -> None:
        self._file.close()


def free_port() -> int:
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return int(sock.getsockname()[1])


@dataclass
class Message:
    """One HTTP request as it came."""

    method: str
    path: str
    headers: dict[str, str]
    body: bytes
    first_byte: float
    last_byte: float


async def read_request(reader: asyncio.StreamReader, record: Record) -> Message | None:
    """The next request on a connection; None at its end."""
    first = await reader.read(1)
    if not first:
        return None
    began = record.now()
    head = first + await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    method, path, _ = lines[0].split(" ", 2)
    headers = {}
    for text in lines[1:]:
        name, colon, value = text.partition(":")
        if colon:
            headers[name.strip().lower()] = value.strip()
    length = int(headers.get("content-length", "0"))
    body = await reader.readexactly(length) if length else b""
    return Message(method, path, headers, body, began, record.now())


def answer(status: int, body: bytes = b"", headers: str = "") -> bytes:
    reason = {200: "OK", 400: "Bad Request", 404: "Not Found", 500: "Error", 503: "Unavailable"}.get(
        status, "?"
    )
    return (f"HTTP/1.1 {status} {reason}\r\n{headers}Content-Length: {len(body)}\r\n\r\n").encode() + body


async def close_quietly(writer: asyncio.StreamWriter, reset: bool = False) -> None:
    if reset:
        sock = writer.get_extra_info("socket")
        if sock is not None:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        writer.transport.abort()
        return
    try:
        writer.close()
        await writer.wait_closed()
    except (OSError, asyncio.IncompleteReadError):
        pass


class Server:
    """A listener whose open connections can be closed or reset."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.port = 0
        self._server: asyncio.Server | None = None
        self.connections: dict[asyncio.StreamWriter, None] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    async def listen(self) -> None:
        self._server = await asyncio.start_server(
            self._serve, "127.0.0.1", self.port, limit=MAX_REQUEST_BYTES
        )
        self.port = int(self._server.sockets[0].getsockname()[1])

    def stop_listening(self) -> None:
        if self._server is not None:
            self._server.close()
            self._server = None

    def end_connections(self, reset: bool) -> None:
        for writer in list(self.connections):
            if reset:
                sock = writer.get_extra_info("socket")
                if sock is not None:
                    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
                writer.transport.abort()
            else:
                writer.close()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        self.connections[writer] = None
        try:
            await self.connection(reader, writer)
        except (OSError, EOFError, asyncio.LimitOverrunError, asyncio.CancelledError):
            pass  # the other side has gone, or the case has ended
        finally:
            self.connections.pop(writer, None)
            self._tasks.discard(task)
            writer.close()

    async def connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        raise NotImplementedError

    def end(self) -> None:
        self.stop_listening()
        for task in list(self._tasks):
            task.cancel()


@dataclass
class Attempt:
    """A request that an upstream has received."""

    upstream: str
    request_id: str
    path: str
    began: float  # first byte
    complete: float  # last byte
    ran: bool


class Upstream(Server):
    """A sound upstream: runs what comes, and turns new requests away while it drains."""

    def __init__(
        self, record: Record, uid: str, zone: str, attempts: list[Attempt], work_s: float = 0.02
    ) -> None:
        super().__init__(record)
        self.uid, self.zone, self.work_s = uid, zone, work_s
        self.attempts = attempts
        self.state = "active"
        self.boot_ms = 0
        self.behave: Callable[[Upstream, Message, asyncio.StreamWriter], Awaitable[bool]] | None = None

    def entry(self) -> dict[str, Any]:
        return {
            "uid": self.uid,
            "endpoint": f"127.0.0.1:{self.port}",
            "az": self.zone,
            "model": "std-2",
            "pod_group": ZONES.index(self.zone),
            "state": self.state,
            "capacity_hint": 1.0,
            "boot_ms": self.boot_ms,
        }

    async def connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while (message := await read_request(reader, self.record)) is not None:
            if message.path.startswith(("/health", "/stats")):
                writer.write(answer(404))
                continue
            request_id = message.headers.get("x-trace-id", "")
            turned_away = self.state != "active"
            self.record.line(
                "upstream received",
                uid=self.uid,
                id=request_id,
                path=message.path,
                first_byte=f"{message.first_byte:.3f}",
                runs=not turned_away,
            )
            self.attempts.append(
                Attempt(
                    self.uid,
                    request_id,
                    message.path,
                    message.first_byte,
                    message.last_byte,
                    not turned_away,
                )
            )
            if turned_away:
                writer.write(answer(503, b"", "X-Never-Ran: 1\r\n"))
                continue
            if self.behave is not None and await self.behave(self, message, writer):
                return
            await asyncio.sleep(self.work_s)
            writer.write(answer(200, f"{self.uid} {request_id}\n".encode()))


class Discovery(Server):
    """Discovery: the whole list, and watches; it can have too many callers, or be down."""

    def __init__(self, record: Record, name: str, upstreams: list[Upstream]) -> None:
        super().__init__(record)
        self.name = name
        self.upstreams = upstreams
        self.rev = 41
        self.crowded = False  # calls are turned away with 503
        self._changed = asyncio.Event()
        self._changed_in: dict[str, int] = {}

    def change(self, upstream: Upstream, state: str) -> None:
        """An upstream has another state from now on, and the list says so."""
        upstream.state = state
        self.rev += 1
        self._changed_in[upstream.uid] = self.rev
        self.record.line("discovery has a change", at=self.name, rev=self.rev, uid=upstream.uid, state=state)
        self._changed.set()
        self._changed = asyncio.Event()

    def whole(self) -> dict[str, Any]:
        return {"rev": self.rev, "all": True, "targets": [u.entry() for u in self.upstreams]}

    def _since(self, rev: int) -> dict[str, Any]:
        if not 41 <= rev <= self.rev:
            return self.whole()
        changed = [u.entry() for u in self.upstreams if self._changed_in.get(u.uid, 0) > rev]
        return {"rev": self.rev, "all": False, "targets": changed}

    async def connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        message = await read_request(reader, self.record)
        if message is None:
            return
        peer = writer.get_extra_info("peername")
        if self.crowded:
            self.record.line("discovery turned a call away", at=self.name, path=message.path, peer=peer)
            writer.write(answer(503, b"", "Connection: close\r\n"))
            await writer.drain()
            return
        self.record.line("discovery answers a call", at=self.name, path=message.path, peer=peer)
        query = dict(part.partition("=")[::2] for part in message.path.partition("?")[2].split("&") if part)
        if query.get("watch") != "1":
            writer.write(answer(200, json.dumps(self.whole()).encode(), "Content-Type: application/json\r\n"))
            await writer.drain()
            return
        writer.write(
            b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n"
        )
        had = int(query.get("after", "0"))
        update: dict[str, Any] | None = self._since(had)
        end = asyncio.ensure_future(reader.read(1))
        try:
            while not end.done():
                changed = self._changed
                text = (json.dumps(update) if update is not None else "").encode() + b"\n"
                writer.write(b"%x\r\n%b\r\n" % (len(text), text))
                if update is not None:
                    had = int(update["rev"])
                    self.record.line(
                        "discovery wrote", at=self.name, rev=had, entries=len(update["targets"]), peer=peer
                    )
                if had == self.rev:
                    waiting = asyncio.ensure_future(changed.wait())
                    await asyncio.wait({waiting, end}, timeout=2.0, return_when=asyncio.FIRST_COMPLETED)
                    waiting.cancel()
                update = self._since(had) if self.rev > had else None
        finally:
            end.cancel()


def deploy_line(key: str) -> str:
    with (ROOT / "deploy/balancer.toml").open("rb") as file:
        return str(tomllib.load(file)[key])


class Balancer:
    """One balancer process, started by the `run` line of the deploy file."""

    def __init__(self, record: Record, folder: Path, number: int, settings: dict[str, Any]) -> None:
        self.record, self.folder = record, folder
        self.name = f"n{number}"
        self.port = 0
        self.settings = settings
        self.config = folder / f"{self.name}.json"
        self.log = folder / f"{self.name}.log"
        self.process: asyncio.subprocess.Process | None = None
        self.environment: dict[str, str] = {}

    def configure(self, discovery_port: int, known: dict[str, Any]) -> None:
        """Write the configuration file; replaced whole."""
        text = json.dumps(
            {
                "name": self.name,
                "listen": f"127.0.0.1:{self.port}",
                "discovery": f"127.0.0.1:{discovery_port}",
                "seed": f"8c1f30d27a5be96{self.name[1:]}",
                "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
                "known": known,
                "settings": self.settings,
            }
        )
        new = self.config.with_suffix(".new")
        new.write_text(text, encoding="utf-8")
        new.replace(self.config)

    async def start(self) -> None:
        environment = {
            **{k: v for k, v in os.environ.items() if not k.startswith(("PROXY_", "OSPREYLINE_"))},
            "PROXY_CONFIG": str(self.config),
            "TMPDIR": str(self.folder),
            **self.environment,
        }
        with self.log.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                "/bin/sh", "-c", deploy_line("run"), cwd=ROOT, env=environment, stdout=log, stderr=log
            )
        self.record.line("balancer started", name=self.name, pid=self.process.pid)

    def signal(self, number: int) -> None:
        assert self.process is not None
        self.record.line("signal", name=self.name, signal=signal.Signals(number).name)
        self.process.send_signal(number)

    async def ready(self, within: float = 15.0) -> None:
        """Wait until `GET /health/ready` answers 200, as the front does."""
        until = self.record.now() + within
        while self.record.now() < until:
            if self.process is not None and self.process.returncode is not None:
                raise NotRun(f"{self.name} ended with {self.process.returncode}")
            try:
                reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
                writer.write(b"GET /health/ready HTTP/1.1\r\nHost: b\r\nConnection: close\r\n\r\n")
                status = await asyncio.wait_for(reader.readline(), 2.0)
                await close_quietly(writer)
                if b" 200 " in status:
                    self.record.line("balancer ready", name=self.name)
                    return
            except (OSError, TimeoutError):
                pass
            await asyncio.sleep(0.05)
        raise NotRun(f"{self.name} is not ready within {within} s")

    async def end(self) -> None:
        if self.process is not None and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()


@dataclass
class Outcome:
    """What a client has seen of one request."""

    request_id: str
    prefix: str
    sent: float
    ended: float
    status: int  # 0: the connection ended, or the time was over, without an answer
    body: bytes = b""


@dataclass
class Clients:
    """Clients of the balancers: each request on a kept connection, one at a time."""

    record: Record
    outcomes: list[Outcome] = field(default_factory=list)
    _kept: dict[int, list[tuple[asyncio.StreamReader, asyncio.StreamWriter]]] = field(default_factory=dict)
    _number: int = 0
    tasks: set[asyncio.Task[Any]] = field(default_factory=set)

    def new_id(self) -> str:
        self._number += 1
        return f"{os.getpid():x}-{self._number:06x}"

    async def ask(self, port: int, prefix: dict[str, Any], body: bytes = b"") -> Outcome:
        """Send one request and wait for its answer as long as the client timeout."""
        request_id = self.new_id()
        limit = prefix["ClientTimeoutUs"] / 1e6
        sent = self.record.line("client sends", id=request_id, prefix=prefix["Name"], port=port)
        outcome = Outcome(request_id, prefix["Name"], sent, 0.0, 0)
        try:
            async with asyncio.timeout(limit):
                await self._exchange(port, prefix, body, limit, outcome)
        except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError, IndexError):
            pass
        outcome.ended = self.record.line("client got", id=request_id, status=outcome.status)
        self.outcomes.append(outcome)
        return outcome

    async def _exchange(
        self, port: int, prefix: dict[str, Any], body: bytes, limit: float, outcome: Outcome
    ) -> None:
        once = prefix["Semantics"] != "repeatable"
        key = f"Idempotency-Key: k-{outcome.request_id}\r\n" if prefix["Semantics"] == "by_key" else ""
        text = (
            f"{'POST' if once else 'GET'} /{prefix['Name']}/x HTTP/1.1\r\nHost: origin.svc\r\n"
            f"X-Trace-Id: {outcome.request_id}\r\nX-Qos: {prefix['Name']}\r\n"
            f"X-Expires-In: {limit:.3f}\r\n{key}"
            + (f"Content-Length: {len(body)}\r\n" if once else "")
            + "\r\n"
        ).encode() + (body if once else b"")
        kept = self._kept.setdefault(port, [])
        for last_try in (False, True):
            fresh = not kept
            reader, writer = kept.pop() if kept else await asyncio.open_connection("127.0.0.1", port)
            whole = False
            try:
                writer.write(text)
                status = await reader.readline()
                if not status:
                    if fresh or last_try:
                        return
                    continue  # the balancer closed a kept connection as the request crossed its end
                length, close = 0, False
                while (line := (await reader.readline()).decode("latin-1").lower()).strip():
                    if line.startswith("content-length:"):
                        length = int(line.partition(":")[2])
                    close = close or (line.startswith("connection:") and "close" in line)
                outcome.body = await reader.readexactly(length)
                outcome.status = int(status.split(b" ")[1])
                whole = not close
                return
            finally:
                if whole:
                    kept.append((reader, writer))
                else:
                    writer.transport.abort()

    async def ask_once(
        self,
        port: int,
        prefix: dict[str, Any],
        request_id: str,
        key: str,
        waits_s: float,
        leaves_after_s: float | None = None,
        second_try: str = "",
    ) -> Outcome:
        """One request on a connection of its own; the client closes it after `leaves_after_s`."""
        sent = self.record.line(
            "client sends", id=request_id, prefix=prefix["Name"], key=key, port=port, second_try=second_try
        )
        outcome = Outcome(request_id, prefix["Name"], sent, 0.0, 0)
        text = (
            f"POST /{prefix['Name']}/x HTTP/1.1\r\nHost: origin.svc\r\nX-Trace-Id: {request_id}\r\n"
            f"X-Qos: {prefix['Name']}\r\nX-Expires-In: {waits_s:.3f}\r\nContent-Length: 3\r\n"
            + (f"Idempotency-Key: {key}\r\n" if key else "")
            + (f"X-Second-Try: {second_try}\r\n" if second_try else "")
            + "\r\nabc"
        )
        writer = None
        try:
            async with asyncio.timeout(waits_s if leaves_after_s is None else leaves_after_s):
                reader, writer = await asyncio.open_connection("127.0.0.1", port)
                writer.write(text.encode())
                status = await reader.readline()
                head = status + await reader.readuntil(b"\r\n\r\n")
                length = int(head.lower().partition(b"content-length:")[2].partition(b"\r")[0] or b"0")
                outcome.body = await reader.readexactly(length)
                outcome.status = int(status.split(b" ")[1])
        except (OSError, TimeoutError, EOFError, ValueError, IndexError):
            pass
        finally:
            if writer is not None:
                writer.transport.abort()
        outcome.ended = self.record.line("client got", id=request_id, status=outcome.status)
        self.outcomes.append(outcome)
        return outcome

    def spawn(self, work: Awaitable[Any]) -> None:
        task = asyncio.ensure_future(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def load(
        self, ports: list[int], prefixes: list[dict[str, Any]], per_s: float, until: Callable[[], bool]
    ) -> None:
        """Send requests in turn to the balancers at a steady rate."""
        count = 0
        began = self.record.now()
        while not until():
            prefix = prefixes[count % len(prefixes)]
            self.spawn(self.ask(ports[count % len(ports)], prefix, b"x" * 100))
            count += 1
            await asyncio.sleep(max(0.0, began + count / per_s - self.record.now()))


def settings(
    number: int, balancers: int, prefixes: list[dict[str, Any]], **invariants: Any
) -> dict[str, Any]:
    """Settings of a small deployment, after those of bangkok-statements."""
    return {
        "Balancers": balancers,
        "Me": number,
        "Zone": number % len(ZONES),
        "Dcs": list(ZONES),
        "Discovery": "ask",
        "PathPrefixes": prefixes,
        "Caps": {
            "Cancel": True,
            "ConnectTimeoutUs": 250_000,
            "KeepaliveUs": 15_000_000,
            "MostBackendFetches": 3,
            "RetryAfter": True,
            "MaxRetryAfterUs": 2_000_000,
            "MayDuplicate": False,
            "Probing": False,
        },
        "Fees": {"CrossZone": 0.22},
        "Goal": {"Whole": 0.6, "WorstClass": 0.2, "WorstWindow": 0.2},
        "Invariants": {
            "ColdFrom": 0.12,
            "DrainGraceUs": 500_000,
            "GraceToAnswerUs": 20_000,
            "MustAskInUs": 10_000_000,
            "OverloadFactor": 4.0,
            "TipAfterUs": 2_000_000,
            "WarmWithinUs": 23_000_000,
            **invariants,
        },
    }


class Deployment:
    """A small deployment: its record, upstreams, discovery, balancers and clients."""

    def __init__(self, folder: Path, upstreams: int, balancers: int, prefixes: list[dict[str, Any]]) -> None:
        self.record = Record(folder)
        self.scratch = Path(tempfile.mkdtemp(prefix="review-"))
        self.attempts: list[Attempt] = []
        self.upstreams = [
            Upstream(self.record, f"s-{i}", ZONES[i % len(ZONES)], self.attempts) for i in range(upstreams)
        ]
        self.discovery = Discovery(self.record, "A", self.upstreams)
        self.balancers = [
            Balancer(self.record, self.scratch, i, settings(i, balancers, prefixes)) for i in range(balancers)
        ]
        self.clients = Clients(self.record)
        self.prefixes = prefixes

    async def listen(self) -> None:
        for server in (*self.upstreams, self.discovery):
            await server.listen()

    async def start_balancers(self, discovery_port: int | None = None) -> None:
        known = self.discovery.whole()
        for balancer in self.balancers:
            balancer.port = free_port()  # all stand-ins have theirs by now
            balancer.configure(discovery_port or self.discovery.port, known)
            await balancer.start()
        for balancer in self.balancers:
            await balancer.ready()

    def ports(self) -> list[int]:
        return [balancer.port for balancer in self.balancers]

    def crashed(self) -> list[str]:
        return [b.name for b in self.balancers if b.process is not None and b.process.returncode is not None]

    def enable_takeover(self) -> None:
        """An operator file for each balancer: links in one bank, and takeover."""
        at = {balancer.name: f"127.0.0.1:{free_port()}" for balancer in self.balancers}
        for balancer in self.balancers:
            peers = [f"{name}={address}" for name, address in at.items() if name != balancer.name]
            operator = self.scratch / f"{balancer.name}.toml"
            operator.write_text(
                f'[fleet]\nbank = "review"\nlisten = "{at[balancer.name]}"\npeers = {json.dumps(peers)}\n'
                "[takeover]\non = true\n",
                encoding="utf-8",
            )
            balancer.environment["OSPREYLINE_OPERATOR"] = str(operator)

    async def end(self) -> None:
        for balancer in self.balancers:
            await balancer.end()
        for task in list(self.clients.tasks):
            task.cancel()
        for server in (*self.upstreams, self.discovery):
            server.end()
        if (keep := os.environ.get("REVIEW_KEEP_LOGS")) is not None:
            for balancer in self.balancers:
                if balancer.log.exists():
                    shutil.copy(balancer.log, keep)
        shutil.rmtree(self.scratch, ignore_errors=True)


def drain_breaks(
    deployment: Deployment, told: dict[str, float], grace_s: float, slack_s: float = 0.05
) -> list[Attempt]:
    """Sends that began later than the grace after their upstream's drain counts as told."""
    return [
        attempt
        for attempt in deployment.attempts
        if attempt.upstream in told and attempt.began > told[attempt.upstream] + grace_s + slack_s
    ]


def run(main: Callable[[Path], Awaitable[int]], folder: Path, limit_s: float) -> None:
    """Run a case within its time, and exit with its verdict."""

    async def bounded() -> int:
        async with asyncio.timeout(limit_s):
            return await main(folder)

    try:
        verdict = asyncio.run(bounded())
    except (NotRun, TimeoutError, OSError) as error:
        print(f"could not run: {error!r}", flush=True)
        verdict = NOT_RUN
    sys.exit(verdict)
