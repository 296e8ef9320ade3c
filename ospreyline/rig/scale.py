"""Measures how the cost of one balancer grows with each size: `ospreyline rig scale slopes`.

docs/CAPACITY.md is computed from the results. Real `serve` processes run against stand-ins in this process
(a list service, simulated members that speak the real frames without a balancer behind them, upstreams,
clients); where no process could be filled, pure modules are measured. Processor time is the process's own, as
the kernel counts it; wall time is reported separately. A fixed piece of work is timed before each step and at
the end, so that runs on other machines can be put in proportion.
"""

from __future__ import annotations

import asyncio
import ctypes
import gc
import json
import signal
import sys
import tempfile
from collections.abc import AsyncIterator, Callable, Iterator
from contextlib import asynccontextmanager, suppress
from dataclasses import dataclass, field
from pathlib import Path
from time import monotonic, process_time
from typing import Any

import msgspec

from ospreyline.fleet.frames import (
    ALIVE,
    DEAD,
    SUSPECT,
    Ack,
    Entry,
    Gossip,
    Hello,
    Message,
    Ping,
    Reader,
    StateSync,
    encode,
)
from ospreyline.fleet.members import MAX_MEMBERS

SATURATED_PCT = 80.0  # of a core; a busier process cannot show the cost of further work
START_TIMEOUT_S = 240.0
INBOUND_LINKS = 6  # links that others open to one member: as many as it opens to its neighbours
ZONES = tuple("abc")
BALANCERS_PER_UPSTREAM = 0.035  # as planned; determines what share of its zone a balancer uses


class ScaleError(Exception):
    """A measurement could not be made."""


# generated input


def list_entry(i: int, port: int = 9001) -> dict[str, Any]:
    """Upstream i as the list service encodes it; each has its own loopback address."""
    at = f"127.{1 + i // 62_500}.{i // 250 % 250}.{1 + i % 250}:{port}"
    return {
        "uid": f"svc-{i // 30}-{i}",
        "endpoint": at,
        "az": ZONES[i % len(ZONES)],
        "pod_group": i % 97,
        "state": "active",
        "boot_ms": 0,
    }


def bank_size(upstreams: int) -> int:
    """Number of balancers of a fleet with that many upstreams."""
    return max(3, round(BALANCERS_PER_UPSTREAM * upstreams))


def list_body(count: int, port: int = 9001) -> bytes:
    """The full upstream list as JSON."""
    return msgspec.json.encode(
        {"rev": 1, "all": True, "targets": [list_entry(i, port) for i in range(count)]}
    )


def balancer_config(upstreams: int, routes: int, discovery: str, port: int = 9001, name: str = "n0") -> bytes:
    """The configuration file of a balancer, as JSON."""
    prefixes = [
        {
            "Name": f"route-{i}",
            "Semantics": "repeatable",
            "ClientTimeoutUs": 2_000_000,
            "TargetLatencyUs": 1_000_000,
            "WindowUs": 1_500_000,
            "Gain": 1 + i % 3,
        }
        for i in range(routes)
    ]
    settings = {
        "Dcs": list(ZONES),
        "Zone": 0,
        "Balancers": bank_size(upstreams),
        "Me": 1,
        "Discovery": "ask",
        "PathPrefixes": prefixes,
        "Invariants": {"MustAskInUs": 1e7},
    }
    return msgspec.json.encode(
        {
            "name": name,
            "listen": "127.0.0.1:0",
            "discovery": discovery,
            "seed": "5",
            "settings": settings,
            "limits": {"sockets": 1024, "memory_mb": 4096},
            "known": msgspec.Raw(list_body(upstreams, port)),
        }
    )


# processes


def _kill_with_parent() -> None:
    """Makes the kernel kill the child when this process ends, however it ends."""
    ctypes.CDLL(None).prctl(1, signal.SIGKILL)


@dataclass(slots=True)
class Process:
    """One `serve` process, its log read continuously."""

    proc: asyncio.subprocess.Process
    begun: float
    last_lines: dict[str, dict[str, Any]] = field(default_factory=dict)  # by event
    line_counts: dict[str, int] = field(default_factory=dict)  # by event
    log_bytes: int = 0
    line_read: asyncio.Event = field(default_factory=asyncio.Event)

    async def read_log(self) -> None:
        assert self.proc.stdout is not None
        while line := await self.proc.stdout.readline():
            self.log_bytes += len(line)
            with suppress(ValueError):
                found = json.loads(line)
                self.last_lines[found["event"]] = found
                self.line_counts[found["event"]] = self.line_counts.get(found["event"], 0) + 1
            self.line_read.set()

    async def wait_for_event(
        self, event: str, count: int = 1, timeout_s: float = START_TIMEOUT_S
    ) -> dict[str, Any]:
        """Waits until the event was logged `count` times; returns its last line."""
        ends = monotonic() + timeout_s
        while self.line_counts.get(event, 0) < count:
            self.line_read.clear()
            if self.proc.returncode is not None:
                raise ScaleError(f"serve ended with status {self.proc.returncode} before {event!r}")
            try:
                await asyncio.wait_for(self.line_read.wait(), max(0.01, min(1.0, ends - monotonic())))
            except TimeoutError:
                if monotonic() > ends:
                    raise ScaleError(f"no {event!r} within {timeout_s:g} s") from None
        return self.last_lines[event]

    def cpu_s(self) -> float:
        """Processor time so far, in s."""
        threads = Path(f"/proc/{self.proc.pid}/task").iterdir()
        return sum(int((thread / "schedstat").read_text().split()[0]) for thread in threads) / 1e9

    def memory_mb(self) -> float:
        """Resident memory in MB."""
        for line in Path(f"/proc/{self.proc.pid}/status").read_text().splitlines():
            if line.startswith("VmRSS"):
                return int(line.split()[1]) / 1024
        return 0.0

    async def idle_cpu_pct(self, seconds: float) -> float:
        """Share of a core used without requests, in percent, measured over `seconds`."""
        before, at = self.cpu_s(), monotonic()
        await asyncio.sleep(seconds)
        return 100 * (self.cpu_s() - before) / (monotonic() - at)


SERVE_WITH_MEMBER_LIMIT = (
    "from ospreyline.fleet import members; members.MAX_MEMBERS = {limit}; "
    "from ospreyline.__main__ import main; main()"
)


@asynccontextmanager
async def running_serve(
    config: Path, operator: Path | None = None, members: int = 0
) -> AsyncIterator[Process]:
    """A `serve` process that has logged that it serves. Above MAX_MEMBERS its member limit is raised to
    `members`, so that their cost is known before the limit itself is raised."""
    program = (
        ["-m", "ospreyline"]
        if members <= MAX_MEMBERS
        else ["-c", SERVE_WITH_MEMBER_LIMIT.format(limit=members)]
    )
    command = [sys.executable, *program, "serve", str(config)]
    if operator is not None:
        command += ["--operator", str(operator)]
    begun = monotonic()
    proc = await asyncio.create_subprocess_exec(
        *command,
        stdout=asyncio.subprocess.PIPE,
        limit=1 << 24,
        start_new_session=True,
        preexec_fn=_kill_with_parent,
    )
    process = Process(proc, begun)
    reading = asyncio.create_task(process.read_log())
    try:
        await process.wait_for_event("serving")
        yield process
    finally:
        with suppress(ProcessLookupError):
            proc.kill()
        await proc.wait()
        reading.cancel()
        with suppress(asyncio.CancelledError):
            await reading


RELAY_PROGRAM = """
import asyncio, sys, uvloop
class Leg(asyncio.Protocol):
    other = None
    def connection_made(self, transport):
        self.transport, self.buffered = transport, []
        if self.other is None:
            asyncio.get_running_loop().create_task(self.open())
    async def open(self):
        def make_leg():
            leg = Leg()
            leg.other = self
            return leg
        loop = asyncio.get_running_loop()
        _, self.other = await loop.create_connection(make_leg, "127.0.0.1", int(sys.argv[1]))
        for data in self.buffered:
            self.other.transport.write(data)
    def data_received(self, data):
        if self.other is None:
            self.buffered.append(data)
        else:
            self.other.transport.write(data)
async def main():
    server = await asyncio.get_running_loop().create_server(Leg, "127.0.0.1", 0)
    print(server.sockets[0].getsockname()[1], flush=True)
    await server.serve_forever()
uvloop.run(main())
"""


@asynccontextmanager
async def running_relay(port: int) -> AsyncIterator[tuple[str, int]]:
    """A process that only forwards bytes: the latency that any intermediate process adds here."""
    proc = await asyncio.create_subprocess_exec(
        sys.executable,
        "-c",
        RELAY_PROGRAM,
        str(port),
        stdout=asyncio.subprocess.PIPE,
        start_new_session=True,
        preexec_fn=_kill_with_parent,
    )
    try:
        assert proc.stdout is not None
        yield "127.0.0.1", int(await asyncio.wait_for(proc.stdout.readline(), START_TIMEOUT_S))
    finally:
        proc.kill()
        await proc.wait()


# stand-ins


class ListService:
    """Stand-in list service: each watch first receives `first_line`, then what `send_update` sends."""

    def __init__(self) -> None:
        self.rev = 1
        self.calls = self.bytes = 0
        self.watches: list[asyncio.StreamWriter] = []
        self.first_line: bytes = b""  # sent in place of an update without changes, such as a full list
        self.server: asyncio.Server | None = None
        self.address = ""

    async def start(self) -> ListService:
        self.server = await asyncio.start_server(self._serve_call, "127.0.0.1", 0)
        self.address = "{}:{}".format(*self.server.sockets[0].getsockname()[:2])
        return self

    async def _serve_call(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with suppress(OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            await reader.readuntil(b"\r\n\r\n")
            self.calls += 1
            writer.write(
                b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n"
            )
            self._write_chunk(
                writer, (self.first_line or msgspec.json.encode({"rev": self.rev, "targets": []})) + b"\n"
            )
            self.watches.append(writer)
            while not writer.is_closing():
                await asyncio.sleep(2.0)
                self._write_chunk(writer, b"\n")
                await writer.drain()

    def _write_chunk(self, writer: asyncio.StreamWriter, data: bytes) -> None:
        writer.write(b"%x\r\n%b\r\n" % (len(data), data))
        self.bytes += len(data)

    def send_update(self, targets: list[dict[str, Any]]) -> int:
        """Sends a change to all watches; returns its size in bytes."""
        self.rev += 1
        return self._send_line(msgspec.json.encode({"rev": self.rev, "targets": targets}) + b"\n")

    def send_whole(self, body: bytes) -> int:
        """Sends a full list (as of `list_body`) to all watches; returns its size in bytes."""
        self.rev += 1
        return self._send_line(body.replace(b'"rev":1', b'"rev":%d' % self.rev, 1) + b"\n")

    def _send_line(self, line: bytes) -> int:
        for writer in self.watches:
            if not writer.is_closing():
                self._write_chunk(writer, line)
        return len(line)

    async def wait_for_watch(self, timeout_s: float = 60.0) -> None:
        ends = monotonic() + timeout_s
        while not self.watches:
            if monotonic() > ends:
                raise ScaleError("no watch was opened")
            await asyncio.sleep(0.05)

    def close(self) -> None:
        for writer in self.watches:
            writer.close()
        if self.server is not None:
            self.server.close()


class _SimulatedMemberLink(asyncio.Protocol):
    """A link of a simulated member: sends hello and one full state sync, acknowledges pings."""

    def __init__(self, bank: SimulatedBank, name: str = "") -> None:
        self.bank, self.name = bank, name
        self.outgoing = bool(name)
        self.transport: Any = None
        self.up = False
        self._reader = Reader()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport
        if self.outgoing:
            self.write(Hello(bank="scale", sender=self.bank.entries[self.name], to="n0"))

    def write(self, message: Message) -> None:
        if self.transport is not None and not self.transport.is_closing():
            data = encode(message)
            self.bank.sent_messages += 1
            self.bank.sent_bytes += len(data)
            self.transport.write(data)

    def data_received(self, data: bytes) -> None:
        self.bank.received_bytes += len(data)
        for message in self._reader.feed(data):
            self.bank.received_messages += 1
            if isinstance(message, Hello):
                if not self.outgoing:
                    self.name = message.to
                    if self.name in self.bank.lost or self.name not in self.bank.entries:
                        self.transport.abort()
                        return
                    self.write(Hello(bank="scale", sender=self.bank.entries[self.name], to=""))
                    self.write(StateSync(updates=list(self.bank.entries.values()), reply_wanted=True))
                self.up = True
                self.bank.links[self.name] = self
            elif isinstance(message, Ping):
                self.write(Ack(sequence=message.sequence))
            elif isinstance(message, StateSync):
                self.bank.full_syncs += 1
                if message.reply_wanted:
                    self.write(StateSync(updates=list(self.bank.entries.values())))

    def connection_lost(self, exc: Exception | None) -> None:
        self.up = False
        if self.bank.links.get(self.name) is self:
            del self.bank.links[self.name]


class SimulatedBank:
    """All members of a bank but one, behind one listener, with real frames and without requests.

    That one is the balancer under test.
    """

    def __init__(self, count: int) -> None:
        self.count = count
        self.entries: dict[str, Entry] = {}
        self.links: dict[str, _SimulatedMemberLink] = {}
        self.lost: set[str] = set()
        self.sent_messages = self.sent_bytes = self.full_syncs = 0
        self.received_messages = self.received_bytes = 0
        self._server: asyncio.Server | None = None
        self._pinging: asyncio.Task[None] | None = None

    async def start(self) -> SimulatedBank:
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: _SimulatedMemberLink(self), "127.0.0.1", 0, backlog=512
        )
        self.address = "{}:{}".format(*self._server.sockets[0].getsockname()[:2])
        begun = 1_700_000_000_000  # Unix ms; before the start of the balancer under test
        self.entries = {
            f"m{i}": Entry(f"m{i}", self.address, ZONES[i % len(ZONES)], begun + i, 0, ALIVE)
            for i in range(self.count)
        }
        return self

    async def dial(self, at: tuple[str, int]) -> None:
        """Opens the links of members that have the balancer as a neighbour, each with a ping every second."""
        loop = asyncio.get_running_loop()
        free = [n for n in self.entries if n not in self.links][-INBOUND_LINKS:]
        for name in free:
            await loop.create_connection(lambda name=name: _SimulatedMemberLink(self, name), *at)  # type: ignore[misc]

        async def ping() -> None:
            number = 0
            while True:
                number += 1
                for name in free:
                    if name in self.links:
                        self.links[name].write(Ping(sequence=number))
                await asyncio.sleep(1.0)

        self._pinging = asyncio.create_task(ping())

    def gossip(self, *updates: Entry) -> None:
        """Sends updates over all links, as when every member forwards them."""
        for link in list(self.links.values()):
            link.write(Gossip(updates=list(updates)))

    def traffic(self) -> tuple[int, int]:
        """Messages and bytes of the balancer under test, both ways."""
        return self.sent_messages + self.received_messages, self.sent_bytes + self.received_bytes

    def close(self) -> None:
        if self._pinging is not None:
            self._pinging.cancel()
        if self._server is not None:
            self._server.close()
        for link in list(self.links.values()):
            link.transport.abort()


class _InstantUpstream(asyncio.Protocol):
    """An upstream that answers immediately."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport: Any = transport
        self._buffer = b""

    def data_received(self, data: bytes) -> None:
        self._buffer += data
        while b"\r\n\r\n" in self._buffer:
            _, _, self._buffer = self._buffer.partition(b"\r\n\r\n")
            self.transport.write(b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello")


class _ClientConnection(asyncio.Protocol):
    """A client connection with one request at a time."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport: Any = transport
        self._buffer = b""
        self.answer: asyncio.Future[bytes] | None = None

    def data_received(self, data: bytes) -> None:
        self._buffer += data
        head, found, body = self._buffer.partition(b"\r\n\r\n")
        if (
            found
            and b"content-length: %d" % len(body) in head.lower()
            and self.answer
            and not self.answer.done()
        ):
            self._buffer = b""
            self.answer.set_result(head)


async def request_latencies_ms(at: tuple[str, int], rate: float, seconds: float) -> list[float]:
    """Sends requests at a steady rate over eight connections; sorted latencies (ms) of the 200 answers."""
    loop = asyncio.get_running_loop()
    connections = [(await loop.create_connection(_ClientConnection, *at))[1] for _ in range(8)]
    found: list[float] = []
    calls: set[asyncio.Task[None]] = set()
    free = list(connections)

    async def one(connection: _ClientConnection, number: int) -> None:
        connection.answer = loop.create_future()
        begun = monotonic()
        connection.transport.write(b"GET /route-0/a HTTP/1.1\r\nHost: x\r\nX-Trace-Id: %d\r\n\r\n" % number)
        with suppress(TimeoutError):
            head = await asyncio.wait_for(connection.answer, 3.0)
            if head.startswith(b"HTTP/1.1 200"):
                found.append(1e3 * (monotonic() - begun))
        free.append(connection)

    begin = monotonic()
    for number in range(int(rate * seconds)):
        await asyncio.sleep(max(0.0, begin + number / rate - monotonic()))
        while not free:
            await asyncio.sleep(0.0005)
        task = asyncio.create_task(one(free.pop(0), number))
        calls.add(task)
        task.add_done_callback(calls.discard)
    await asyncio.gather(*calls)
    for connection in connections:
        connection.transport.abort()
    return sorted(found)


def quantile(sorted_values: list[float], share: float) -> float:
    return sorted_values[min(len(sorted_values) - 1, int(share * len(sorted_values)))]


# measurements


Report = Callable[[str], None]
Points = dict[str, list[tuple[float, float]]]


class Measurements:
    """Measured points (size, value) by slope name."""

    def __init__(self, report: Report) -> None:
        self.points: Points = {}
        # processor ms of the fixed piece of work, before each step and at the end
        self.reference: list[float] = []
        self._report = report

    def add(self, slope: str, size: float, value: float) -> None:
        self.points.setdefault(slope, []).append((size, value))
        self._report(f"{slope} at {size:g}: {value:.4g}")


def reference_work_ms() -> float:
    """Processor time of a fixed piece of work in ms, the best of five."""
    best = 1e9
    for _ in range(5):
        begun = process_time()
        total = 0.0
        for i in range(200_000):
            total += i * 0.5
        best = min(best, 1e3 * (process_time() - begun))
    return best


class _NullHost:
    """A host that ignores all calls."""

    def __getattr__(self, name: str) -> Callable[..., None]:
        return lambda *args: None


def measure_ranking(count: int) -> tuple[float, float]:
    """Processor time (ms) of one ranking and of loading the full list, with `count` upstreams."""
    from ospreyline.decide import Balancer
    from ospreyline.host import DedupScope, Deployment, Kind, ListedUpstream, PathPrefix, Readiness

    prefix = PathPrefix(Kind.READ_LIKE, DedupScope.ALL, 1_500.0, 1_000.0, 2_500.0, 1.0, 0.0)
    zones = len(ZONES)
    deployment = Deployment(
        zone=0, zones=zones, balancers=bank_size(count), number=1, prefixes=(prefix,), ask_for_list=False
    )
    balancer = Balancer(_NullHost(), deployment, 7, 100_000.0)
    lines = [ListedUpstream(i, i * 7919 + 13, i % zones, i, Readiness.READY, 0.0) for i in range(count)]
    begun = process_time()
    balancer.apply_list(100_000.0, lines)
    full_list_ms = 1e3 * (process_time() - begun)
    gc.collect()
    gc.freeze()  # as `serve` does after startup
    times = max(3, min(200, 200_000 // count))
    best = 1e9
    for _ in range(3):
        begun = process_time()
        for i in range(times):
            balancer._update_candidates(100_000.0 + i)
        best = min(best, 1e3 * (process_time() - begun) / times)
    gc.unfreeze()
    return best, full_list_ms


async def measure_upstreams(
    results: Measurements, folder: Path, count: int, seconds: float, rate: float
) -> None:
    """Measures `serve` with `count` upstreams in the list."""
    service = await ListService().start()
    loop = asyncio.get_running_loop()
    upstream = await loop.create_server(_InstantUpstream, "0.0.0.0", 0, backlog=512)
    port = upstream.sockets[0].getsockname()[1]
    config = folder / "balancer.json"
    results.add("list_bytes", count, len(list_body(count, port)))
    config.write_bytes(balancer_config(count, 2, service.address, port))
    try:
        async with running_serve(config) as process:
            results.add("start_cpu_s", count, process.cpu_s())
            results.add("start_log_bytes", count, process.log_bytes)
            await service.wait_for_watch()
            await asyncio.sleep(2.0)
            results.add("serve_memory_mb", count, process.memory_mb())
            idle_pct = await process.idle_cpu_pct(seconds)
            results.add("serve_cpu_pct", count, idle_pct)
            # cost of a change, above idle use
            saturated = idle_pct > SATURATED_PCT  # a process that is always busy would show no further cost
            before, at, changes, size = process.cpu_s(), monotonic(), 0, 0
            while monotonic() - at < seconds / 2:
                size = service.send_update([{**list_entry(changes % count, port), "boot_ms": changes + 1}])
                changes += 1
                await asyncio.sleep(0.1 if count < 20_000 else 1.0)
            await asyncio.sleep(0.5)
            used = process.cpu_s() - before - idle_pct / 100 * (monotonic() - at)
            if not saturated:
                results.add("change_cpu_ms", count, max(0.0, 1e3 * used / changes))
            results.add("change_bytes", count, size)
            # cost of a reload
            before, at = process.cpu_s(), monotonic()
            config.write_bytes(config.read_bytes().replace(b'"Gain":1', b'"Gain":4'))
            process.proc.send_signal(signal.SIGHUP)
            await process.wait_for_event("reloaded")
            if not saturated:
                results.add(
                    "reload_cpu_ms",
                    count,
                    max(0.0, 1e3 * (process.cpu_s() - before - idle_pct / 100 * (monotonic() - at))),
                )
            # latency added to a request
            if rate and count <= 50_000:
                address = process.last_lines["serving"]["listen"].rpartition(":")
                direct = await request_latencies_ms(("127.0.0.1", port), rate, seconds / 2)
                async with running_relay(port) as relay:
                    bare = await request_latencies_ms(relay, rate, seconds / 2)
                at_balancer = address[0], int(address[2])
                # warm-up: opens connections and teaches the balancer the latencies
                await request_latencies_ms(at_balancer, rate, seconds / 2)
                through = await request_latencies_ms(at_balancer, rate, seconds)
                if len(through) < 0.9 * int(rate * seconds):
                    raise ScaleError(
                        f"{len(through)} of {int(rate * seconds)} requests were answered with 200 within 3 s"
                    )
                for name, share in (("added_p50_ms", 0.5), ("added_p99_ms", 0.99)):
                    results.add(name, count, quantile(through, share) - quantile(direct, share))
                results.add("relay_p99_ms", count, quantile(bare, 0.99) - quantile(direct, 0.99))
                results.add("direct_p99_ms", count, quantile(direct, 0.99))
    finally:
        upstream.close()
        service.close()


async def measure_full_list(results: Measurements, folder: Path, count: int) -> None:
    """Measures whether a full list of `count` upstreams in one line is accepted: 1 or 0."""
    service = await ListService().start()
    service.first_line = list_body(count).replace(b'"rev":1', b'"rev":2', 1)
    config = folder / "whole.json"
    config.write_bytes(balancer_config(1, 1, service.address))
    try:
        async with running_serve(config) as process:
            ends = monotonic() + 60.0
            taken = 0
            while monotonic() < ends:
                await asyncio.sleep(0.25)
                failure = process.last_lines.get("call to discovery failed", {})
                if failure.get("why") == "a line without an end":
                    break
                if process.last_lines.get("list received", {}).get("entries", 0) >= count:
                    taken = 1
                    break
            results.add("whole_line_taken", count, taken)
    finally:
        service.close()


async def measure_routes(results: Measurements, folder: Path, count: int, seconds: float) -> None:
    """Measures `serve` with `count` path prefixes."""
    from ospreyline.config import load

    service = await ListService().start()
    config = folder / "balancer.json"
    text = balancer_config(100, count, service.address)
    config.write_bytes(text)
    results.add("routes_bytes", count, len(text) - len(balancer_config(100, 0, service.address)))
    begun = process_time()
    load(config, {})
    results.add("routes_check_ms", count, 1e3 * (process_time() - begun))
    try:
        async with running_serve(config) as process:
            results.add("routes_start_cpu_s", count, process.cpu_s())
            await service.wait_for_watch()
            await asyncio.sleep(2.0)
            results.add("routes_memory_mb", count, process.memory_mb())
            idle_pct = await process.idle_cpu_pct(seconds)
            results.add("routes_cpu_pct", count, idle_pct)
            before, at = process.cpu_s(), monotonic()
            config.write_bytes(text.replace(b'"Gain":1', b'"Gain":4', 1))
            process.proc.send_signal(signal.SIGHUP)
            await process.wait_for_event("reloaded")
            results.add(
                "routes_reload_cpu_ms",
                count,
                max(0.0, 1e3 * (process.cpu_s() - before - idle_pct / 100 * (monotonic() - at))),
            )
    finally:
        service.close()


async def measure_members(
    results: Measurements, folder: Path, count: int, seconds: float, settle: float = 12.0, losses: int = 8
) -> None:
    """Measures `serve` in a bank of `count` members, all others simulated; `losses` of them are lost."""
    service = await ListService().start()
    bank = await SimulatedBank(count - 1).start()
    config, operator = folder / "balancer.json", folder / "operator.toml"
    config.write_bytes(balancer_config(100, 2, service.address))
    operator.write_text(f'[fleet]\nbank = "scale"\nlisten = "127.0.0.1:0"\npeers = ["m0={bank.address}"]\n')
    try:
        async with running_serve(config, operator, count) as process:
            listens = (await process.wait_for_event("fleet listens"))["listen"].rpartition(":")
            await service.wait_for_watch()
            await asyncio.sleep(3.0)
            await bank.dial((listens[0], int(listens[2])))
            await asyncio.sleep(settle)  # until links that were only dialled for a state sync are idle
            messages, size = bank.traffic()
            results.add("members_start_bytes", count, size)
            results.add("members_start_messages", count, messages)
            results.add("members_memory_mb", count, process.memory_mb())
            results.add("members_kept", count, (await process.wait_for_event("counts"))["fleet_of"])
            at = monotonic()
            results.add("members_cpu_pct", count, await process.idle_cpu_pct(seconds))
            span, now = monotonic() - at, bank.traffic()
            results.add("members_rest_messages_s", count, (now[0] - messages) / span)
            results.add("members_rest_bytes_s", count, (now[1] - size) / span)
            results.add("members_links", count, len(bank.links))
            idle_pct = results.points["members_cpu_pct"][-1][1]
            idle_rates = [results.points[f"members_rest_{what}_s"][-1][1] for what in ("messages", "bytes")]
            # every link reports each lost member as suspect, then as dead
            lost = [e for n, e in bank.entries.items() if n not in bank.links and n != "m0"][:losses]
            before, counted, at = process.cpu_s(), bank.traffic(), monotonic()
            for state in (SUSPECT, DEAD):
                for one in lost:
                    bank.lost.add(one.name)
                    bank.gossip(Entry(one.name, one.address, one.zone, one.start, one.incarnation, state))
                    await asyncio.sleep(0.25)
            await asyncio.sleep(0.5)
            span, now = monotonic() - at, bank.traffic()
            results.add(
                "loss_cpu_ms",
                count,
                max(0.0, 1e3 * (process.cpu_s() - before - idle_pct / 100 * span) / len(lost)),
            )
            results.add(
                "loss_messages", count, max(0.0, (now[0] - counted[0] - idle_rates[0] * span) / len(lost))
            )
            results.add(
                "loss_bytes", count, max(0.0, (now[1] - counted[1] - idle_rates[1] * span) / len(lost))
            )
            known = process.line_counts.get("member", 0)
            if known < len(lost):
                raise ScaleError(f"{known} of {len(lost)} lost members were noticed")
    finally:
        bank.close()
        service.close()


def measure_first_calls(results: Measurements, count: int, per_s: float) -> None:
    """First list calls of `count` balancers that start at once, unpaced and paced; pure modules."""

    from ospreyline.decide import Balancer
    from ospreyline.fleet.pace import CallPacer
    from ospreyline.host import DedupScope, Deployment, Kind, PathPrefix

    prefix = PathPrefix(Kind.READ_LIKE, DedupScope.ALL, 1_500.0, 1_000.0, 2_500.0, 1.0, 0.0)

    def most_in_one_second(times: list[float]) -> int:
        """The most of these times (ms) within any one second."""
        times = sorted(times)
        first, best = 0, 0
        for last, at in enumerate(times):
            while at - times[first] >= 1e3:
                first += 1
            best = max(best, last - first + 1)
        return best

    unpaced_due = []
    for number in range(count):
        deployment = Deployment(
            zone=0,
            zones=3,
            balancers=count,
            number=number,
            prefixes=(prefix,),
            ask_for_list=True,
            must_ask_in=10_000.0,
        )
        unpaced_due.append(Balancer(_NullHost(), deployment, number, 0.0)._call_schedule.next_call_at)
    results.add("calls_alone_most_s", count, most_in_one_second(unpaced_due))
    pacers = []
    for number in range(count):
        pacer = CallPacer(number, count, per_s, 10_000.0)
        pacer.start(0.0)
        pacers.append(pacer)
    results.add("calls_paced_most_s", count, most_in_one_second([pacer.next_call_at for pacer in pacers]))
    results.add("calls_paced_window_s", count, max(pacer.next_call_at for pacer in pacers) / 1e3)


def measure_forwarding(results: Measurements, count: int) -> None:
    """Processor time of a relay for each message to a subscribed listener; pure, with frames encoded."""
    from ospreyline.fleet import list_relay
    from ospreyline.fleet.frames import RelaySubscribe

    relay = list_relay.ListRelay("n0", "a", 1, lambda: 0.5, 0.0)
    relay.set_members(0.0, [])
    relay.tick(1_000.0)
    body = msgspec.json.encode(list_entry(1))
    relay.service_update(1_000.0, 1, True, [("svc-0-1", False, body)])
    for i in range(count):
        relay.receive(1_000.0, f"m{i}", RelaySubscribe(rev=1))
    relay.out.clear()
    begun, messages, rev = process_time(), 0, 1
    for _ in range(max(2, 20_000 // count)):
        rev += 1
        relay.service_update(1_000.0, rev, False, [("svc-0-1", False, body)])
        messages += len(relay.out)
        for _, message in relay.out:
            encode(message)
        relay.out.clear()
    results.add("pass_on_cpu_us", count, 1e6 * (process_time() - begun) / max(1, messages))
    results.add("pass_on_listeners", count, messages / max(2, 20_000 // count))


PARTS = ("rank", "upstreams", "whole", "routes", "members", "calls", "pass")


def steps(sizes: dict[str, tuple[int, ...]], parts: tuple[str, ...]) -> Iterator[tuple[str, int]]:
    """Each part with each of its sizes."""
    by = {
        "rank": "upstreams",
        "whole": "upstreams",
        "upstreams": "upstreams",
        "routes": "routes",
        "members": "members",
        "calls": "balancers",
        "pass": "listeners",
    }
    for part in parts:
        for size in sizes[by[part]]:
            yield part, size


async def measured(
    sizes: dict[str, tuple[int, ...]],
    parts: tuple[str, ...],
    seconds: float,
    rate: float,
    calls_per_s: float,
    report: Report,
    step: Callable[[str], None],
) -> Measurements:
    """Measures all parts at their sizes; `report` gets each value, `step` the name of each step."""
    results = Measurements(report)
    with tempfile.TemporaryDirectory(prefix="ospreyline-scale-") as name:
        folder = Path(name)
        for part, size in steps(sizes, parts):
            step(f"{part} {size:,}")
            results.reference.append(reference_work_ms())
            if part == "rank":
                best, full_list_ms = measure_ranking(size)
                results.add("rank_ms", size, best)
                results.add("told_whole_ms", size, full_list_ms)
            elif part == "upstreams":
                await measure_upstreams(results, folder, size, seconds, rate)
            elif part == "whole":
                await measure_full_list(results, folder, size)
            elif part == "routes":
                await measure_routes(results, folder, size, seconds)
            elif part == "members":
                await measure_members(results, folder, size, seconds)
            elif part == "calls":
                measure_first_calls(results, size, calls_per_s)
            else:
                measure_forwarding(results, size)
    results.reference.append(reference_work_ms())
    return results
