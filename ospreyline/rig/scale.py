"""What size costs, measured: `ospreyline rig scale slopes`. docs/CAPACITY.md is worked out from it.

Real `serve` processes beside stand-ins in this process (a list service, other members that are hollow:
the real frames and nothing behind them, upstreams, clients); pure modules where a process could not be
filled. Processor time is the process's own, as the kernel counts it; wall time is told apart. A fixed piece
of work is timed before and after, so that runs on other machines can be put in proportion.
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

SATURATED = 80.0  # % of a core
START = 240.0  # s that a process may take to serve
LINKS_IN = 6  # links that others open to one member: as many have it as a neighbour as it has
ZONES = tuple("abc")
BALANCERS = 0.035  # for each upstream, as planned: what a balancer uses of its zone follows from it


class ScaleError(Exception):
    """A measurement could not be made."""


# sizes on paper


def entry(i: int, port: int = 9001) -> dict[str, Any]:
    """One upstream of the list, as discovery words it; each has an address of its own on loopback."""
    at = f"127.{1 + i // 62_500}.{i // 250 % 250}.{1 + i % 250}:{port}"
    return {
        "uid": f"svc-{i // 30}-{i}",
        "endpoint": at,
        "az": ZONES[i % len(ZONES)],
        "pod_group": i % 97,
        "state": "active",
        "boot_ms": 0,
    }


def bank(upstreams: int) -> int:
    """Balancers of a fleet with so many upstreams."""
    return max(3, round(BALANCERS * upstreams))


def listing(count: int, port: int = 9001) -> bytes:
    return msgspec.json.encode({"rev": 1, "all": True, "targets": [entry(i, port) for i in range(count)]})


def configuration(upstreams: int, routes: int, discovery: str, port: int = 9001, name: str = "n0") -> bytes:
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
        "Balancers": bank(upstreams),
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
            "known": msgspec.Raw(listing(upstreams, port)),
        }
    )


# processes


def _die_with_us() -> None:
    """Guards: whatever ends this process, what it started ends, too."""
    ctypes.CDLL(None).prctl(1, signal.SIGKILL)


@dataclass(slots=True)
class Process:
    """One `serve`, its log drained and read along."""

    proc: asyncio.subprocess.Process
    begun: float
    seen: dict[str, dict[str, Any]] = field(default_factory=dict)  # by event: the last line
    times: dict[str, int] = field(default_factory=dict)  # by event
    log_bytes: int = 0
    changed: asyncio.Event = field(default_factory=asyncio.Event)

    async def read(self) -> None:
        assert self.proc.stdout is not None
        while line := await self.proc.stdout.readline():
            self.log_bytes += len(line)
            with suppress(ValueError):
                found = json.loads(line)
                self.seen[found["event"]] = found
                self.times[found["event"]] = self.times.get(found["event"], 0) + 1
            self.changed.set()

    async def until(self, event: str, times: int = 1, most: float = START) -> dict[str, Any]:
        """Wait for a line of its log."""
        ends = monotonic() + most
        while self.times.get(event, 0) < times:
            self.changed.clear()
            if self.proc.returncode is not None:
                raise ScaleError(f"serve ended with {self.proc.returncode} before {event!r}")
            try:
                await asyncio.wait_for(self.changed.wait(), max(0.01, min(1.0, ends - monotonic())))
            except TimeoutError:
                if monotonic() > ends:
                    raise ScaleError(f"no {event!r} within {most:g} s") from None
        return self.seen[event]

    def cpu(self) -> float:
        """Processor time so far, s."""
        threads = Path(f"/proc/{self.proc.pid}/task").iterdir()
        return sum(int((thread / "schedstat").read_text().split()[0]) for thread in threads) / 1e9

    def memory(self) -> float:
        """Resident memory, MB."""
        for line in Path(f"/proc/{self.proc.pid}/status").read_text().splitlines():
            if line.startswith("VmRSS"):
                return int(line.split()[1]) / 1024
        return 0.0

    async def rest(self, seconds: float) -> float:
        """Share of a core that it uses at rest, %."""
        before, at = self.cpu(), monotonic()
        await asyncio.sleep(seconds)
        return 100 * (self.cpu() - before) / (monotonic() - at)


LIFTED = (
    "from ospreyline.fleet import members; members.MAX_MEMBERS = {most}; "
    "from ospreyline.__main__ import main; main()"
)


@asynccontextmanager
async def serving(config: Path, operator: Path | None = None, members: int = 0) -> AsyncIterator[Process]:
    """A `serve` process that has said that it serves. Where more `members` are to be kept than it keeps, that
    bound is lifted in it: what they would cost is to be known before it is."""
    program = ["-m", "ospreyline"] if members <= MAX_MEMBERS else ["-c", LIFTED.format(most=members)]
    command = [sys.executable, *program, "serve", str(config)]
    if operator is not None:
        command += ["--operator", str(operator)]
    begun = monotonic()
    proc = await asyncio.create_subprocess_exec(
        *command,
        stdout=asyncio.subprocess.PIPE,
        limit=1 << 24,
        start_new_session=True,
        preexec_fn=_die_with_us,
    )
    process = Process(proc, begun)
    reading = asyncio.create_task(process.read())
    try:
        await process.until("serving")
        yield process
    finally:
        with suppress(ProcessLookupError):
            proc.kill()
        await proc.wait()
        reading.cancel()
        with suppress(asyncio.CancelledError):
            await reading


RELAY = """
import asyncio, sys, uvloop
class Way(asyncio.Protocol):
    other = None
    def connection_made(self, transport):
        self.transport, self.kept = transport, []
        if self.other is None:
            asyncio.get_running_loop().create_task(self.open())
    async def open(self):
        def back():
            way = Way()
            way.other = self
            return way
        loop = asyncio.get_running_loop()
        _, self.other = await loop.create_connection(back, "127.0.0.1", int(sys.argv[1]))
        for data in self.kept:
            self.other.transport.write(data)
    def data_received(self, data):
        if self.other is None:
            self.kept.append(data)
        else:
            self.other.transport.write(data)
async def main():
    server = await asyncio.get_running_loop().create_server(Way, "127.0.0.1", 0)
    print(server.sockets[0].getsockname()[1], flush=True)
    await server.serve_forever()
uvloop.run(main())
"""


@asynccontextmanager
async def relaying(port: int) -> AsyncIterator[tuple[str, int]]:
    """A process that passes bytes on and does nothing else: what any process between would add here."""
    proc = await asyncio.create_subprocess_exec(
        sys.executable,
        "-c",
        RELAY,
        str(port),
        stdout=asyncio.subprocess.PIPE,
        start_new_session=True,
        preexec_fn=_die_with_us,
    )
    try:
        assert proc.stdout is not None
        yield "127.0.0.1", int(await asyncio.wait_for(proc.stdout.readline(), START))
    finally:
        proc.kill()
        await proc.wait()


# stand-ins


class ListService:
    """The list service: every watch is told that nothing has changed, then what `tell` is given."""

    def __init__(self) -> None:
        self.rev = 1
        self.calls = self.bytes = 0
        self.watches: list[asyncio.StreamWriter] = []
        self.first: bytes = b""  # in place of "nothing has changed": a whole list
        self.server: asyncio.Server | None = None
        self.at = ""

    async def start(self) -> ListService:
        self.server = await asyncio.start_server(self._call, "127.0.0.1", 0)
        self.at = "{}:{}".format(*self.server.sockets[0].getsockname()[:2])
        return self

    async def _call(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with suppress(OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            await reader.readuntil(b"\r\n\r\n")
            self.calls += 1
            writer.write(
                b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n"
            )
            self._chunk(writer, (self.first or msgspec.json.encode({"rev": self.rev, "targets": []})) + b"\n")
            self.watches.append(writer)
            while not writer.is_closing():
                await asyncio.sleep(2.0)
                self._chunk(writer, b"\n")
                await writer.drain()

    def _chunk(self, writer: asyncio.StreamWriter, data: bytes) -> None:
        writer.write(b"%x\r\n%b\r\n" % (len(data), data))
        self.bytes += len(data)

    def tell(self, targets: list[dict[str, Any]]) -> int:
        """A change; its bytes on each watch."""
        self.rev += 1
        line = msgspec.json.encode({"rev": self.rev, "targets": targets}) + b"\n"
        for writer in self.watches:
            if not writer.is_closing():
                self._chunk(writer, line)
        return len(line)

    async def watched(self, most: float = 60.0) -> None:
        ends = monotonic() + most
        while not self.watches:
            if monotonic() > ends:
                raise ScaleError("no watch was opened")
            await asyncio.sleep(0.05)

    def close(self) -> None:
        for writer in self.watches:
            writer.close()
        if self.server is not None:
            self.server.close()


class _Hollow(asyncio.Protocol):
    """A link of a hollow member: says hello, tells all once, answers asks."""

    def __init__(self, bank: HollowBank, name: str = "") -> None:
        self.bank, self.name = bank, name
        self.dials = bool(name)
        self.transport: Any = None
        self.up = False
        self._reader = Reader()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport
        if self.dials:
            self.write(Hello(bank="scale", sender=self.bank.entries[self.name], to="n0"))

    def write(self, message: Message) -> None:
        if self.transport is not None and not self.transport.is_closing():
            data = encode(message)
            self.bank.said += 1
            self.bank.said_bytes += len(data)
            self.transport.write(data)

    def data_received(self, data: bytes) -> None:
        self.bank.heard_bytes += len(data)
        for message in self._reader.feed(data):
            self.bank.heard += 1
            if isinstance(message, Hello):
                if not self.dials:
                    self.name = message.to
                    if self.name in self.bank.gone or self.name not in self.bank.entries:
                        self.transport.abort()
                        return
                    self.write(Hello(bank="scale", sender=self.bank.entries[self.name], to=""))
                    self.write(StateSync(updates=list(self.bank.entries.values()), reply_wanted=True))
                self.up = True
                self.bank.links[self.name] = self
            elif isinstance(message, Ping):
                self.write(Ack(sequence=message.sequence))
            elif isinstance(message, StateSync):
                self.bank.wholes += 1
                if message.reply_wanted:
                    self.write(StateSync(updates=list(self.bank.entries.values())))

    def connection_lost(self, exc: Exception | None) -> None:
        self.up = False
        if self.bank.links.get(self.name) is self:
            del self.bank.links[self.name]


class HollowBank:
    """All members of a bank but one, behind one listener: the real frames, and no requests."""

    def __init__(self, count: int) -> None:
        self.count = count
        self.entries: dict[str, Entry] = {}
        self.links: dict[str, _Hollow] = {}
        self.gone: set[str] = set()
        self.said = self.said_bytes = self.heard = self.heard_bytes = self.wholes = 0
        self._server: asyncio.Server | None = None
        self._asking: asyncio.Task[None] | None = None

    async def start(self) -> HollowBank:
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(lambda: _Hollow(self), "127.0.0.1", 0, backlog=512)
        self.at = "{}:{}".format(*self._server.sockets[0].getsockname()[:2])
        begun = 1_700_000_000_000  # before that of the one
        self.entries = {
            f"m{i}": Entry(f"m{i}", self.at, ZONES[i % len(ZONES)], begun + i, 0, ALIVE)
            for i in range(self.count)
        }
        return self

    async def dial(self, at: tuple[str, int]) -> None:
        """As many open links to the one as have it for a neighbour, and ask it once a second."""
        loop = asyncio.get_running_loop()
        free = [n for n in self.entries if n not in self.links][-LINKS_IN:]
        for name in free:
            await loop.create_connection(lambda name=name: _Hollow(self, name), *at)  # type: ignore[misc]

        async def ask() -> None:
            number = 0
            while True:
                number += 1
                for name in free:
                    if name in self.links:
                        self.links[name].write(Ping(sequence=number))
                await asyncio.sleep(1.0)

        self._asking = asyncio.create_task(ask())

    def tell(self, *news: Entry) -> None:
        """News over all links, as it comes when all pass it on."""
        for link in list(self.links.values()):
            link.write(Gossip(updates=list(news)))

    def counted(self) -> tuple[int, int]:
        """Messages and bytes of the one, both ways."""
        return self.said + self.heard, self.said_bytes + self.heard_bytes

    def close(self) -> None:
        if self._asking is not None:
            self._asking.cancel()
        if self._server is not None:
            self._server.close()
        for link in list(self.links.values()):
            link.transport.abort()


class _Answers(asyncio.Protocol):
    """An upstream that answers at once."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport: Any = transport
        self.rest = b""

    def data_received(self, data: bytes) -> None:
        self.rest += data
        while b"\r\n\r\n" in self.rest:
            _, _, self.rest = self.rest.partition(b"\r\n\r\n")
            self.transport.write(b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello")


class _Caller(asyncio.Protocol):
    """A client's connection: one request at a time."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport: Any = transport
        self.rest = b""
        self.due: asyncio.Future[bytes] | None = None

    def data_received(self, data: bytes) -> None:
        self.rest += data
        head, found, body = self.rest.partition(b"\r\n\r\n")
        if found and b"content-length: %d" % len(body) in head.lower() and self.due and not self.due.done():
            self.rest = b""
            self.due.set_result(head)


async def latencies(at: tuple[str, int], rate: float, seconds: float) -> list[float]:
    """Requests at a steady rate, spread over eight connections; ms of each that was answered with 200."""
    loop = asyncio.get_running_loop()
    callers = [(await loop.create_connection(_Caller, *at))[1] for _ in range(8)]
    found: list[float] = []
    calls: set[asyncio.Task[None]] = set()
    free = list(callers)

    async def one(caller: _Caller, number: int) -> None:
        caller.due = loop.create_future()
        begun = monotonic()
        caller.transport.write(b"GET /route-0/a HTTP/1.1\r\nHost: x\r\nX-Trace-Id: %d\r\n\r\n" % number)
        with suppress(TimeoutError):
            head = await asyncio.wait_for(caller.due, 3.0)
            if head.startswith(b"HTTP/1.1 200"):
                found.append(1e3 * (monotonic() - begun))
        free.append(caller)

    begin = monotonic()
    for number in range(int(rate * seconds)):
        await asyncio.sleep(max(0.0, begin + number / rate - monotonic()))
        while not free:
            await asyncio.sleep(0.0005)
        task = asyncio.create_task(one(free.pop(0), number))
        calls.add(task)
        task.add_done_callback(calls.discard)
    await asyncio.gather(*calls)
    for caller in callers:
        caller.transport.abort()
    return sorted(found)


def quantile(sorted_values: list[float], share: float) -> float:
    return sorted_values[min(len(sorted_values) - 1, int(share * len(sorted_values)))]


# what is measured


Say = Callable[[str], None]
Points = dict[str, list[tuple[float, float]]]


class Found:
    """Figures by the name of their slope."""

    def __init__(self, say: Say) -> None:
        self.points: Points = {}
        self.reference: list[float] = []  # ms of the fixed piece of work, before each step
        self._say = say

    def add(self, slope: str, size: float, value: float) -> None:
        self.points.setdefault(slope, []).append((size, value))
        self._say(f"{slope} at {size:g}: {value:.4g}")


def reference() -> float:
    """Processor time of a fixed piece of work, ms."""
    best = 1e9
    for _ in range(5):
        begun = process_time()
        total = 0.0
        for i in range(200_000):
            total += i * 0.5
        best = min(best, 1e3 * (process_time() - begun))
    return best


class _Nobody:
    """A host that does nothing."""

    def __getattr__(self, name: str) -> Callable[..., None]:
        return lambda *args: None


def ranked(count: int) -> tuple[float, float]:
    """Processor time of one ranking, and of telling the whole list to a balancer, ms, with so many listed."""
    from ospreyline.decide import Balancer
    from ospreyline.host import DedupScope, Deployment, Kind, ListedUpstream, PathPrefix, Readiness

    prefix = PathPrefix(Kind.READ_LIKE, DedupScope.ALL, 1_500.0, 1_000.0, 2_500.0, 1.0, 0.0)
    zones = len(ZONES)
    terms = Deployment(
        zone=0, zones=zones, balancers=bank(count), number=1, prefixes=(prefix,), ask_for_list=False
    )
    balancer = Balancer(_Nobody(), terms, 7, 100_000.0)
    lines = [ListedUpstream(i, i * 7919 + 13, i % zones, i, Readiness.READY, 0.0) for i in range(count)]
    begun = process_time()
    balancer.apply_list(100_000.0, lines)
    told = 1e3 * (process_time() - begun)
    gc.collect()
    gc.freeze()  # as `serve` does after its start
    times = max(3, min(200, 200_000 // count))
    best = 1e9
    for _ in range(3):
        begun = process_time()
        for i in range(times):
            balancer._update_candidates(100_000.0 + i)
        best = min(best, 1e3 * (process_time() - begun) / times)
    gc.unfreeze()
    return best, told


async def by_upstreams(found: Found, folder: Path, count: int, seconds: float, rate: float) -> None:
    """`serve` with so many upstreams listed."""
    service = await ListService().start()
    loop = asyncio.get_running_loop()
    upstream = await loop.create_server(_Answers, "0.0.0.0", 0, backlog=512)
    port = upstream.sockets[0].getsockname()[1]
    config = folder / "balancer.json"
    found.add("list_bytes", count, len(listing(count, port)))
    config.write_bytes(configuration(count, 2, service.at, port))
    try:
        async with serving(config) as process:
            found.add("start_cpu_s", count, process.cpu())
            found.add("start_log_bytes", count, process.log_bytes)
            await service.watched()
            await asyncio.sleep(2.0)
            found.add("serve_memory_mb", count, process.memory())
            rest = await process.rest(seconds)
            found.add("serve_cpu_pct", count, rest)
            # what a change costs, on top of rest
            saturated = rest > SATURATED  # guards: one that is busy all the time shows no more than that
            before, at, changes, size = process.cpu(), monotonic(), 0, 0
            while monotonic() - at < seconds / 2:
                size = service.tell([{**entry(changes % count, port), "boot_ms": changes + 1}])
                changes += 1
                await asyncio.sleep(0.1 if count < 20_000 else 1.0)
            await asyncio.sleep(0.5)
            used = process.cpu() - before - rest / 100 * (monotonic() - at)
            if not saturated:
                found.add("change_cpu_ms", count, max(0.0, 1e3 * used / changes))
            found.add("change_bytes", count, size)
            # what a reload costs
            before, at = process.cpu(), monotonic()
            config.write_bytes(config.read_bytes().replace(b'"Gain":1', b'"Gain":4'))
            process.proc.send_signal(signal.SIGHUP)
            await process.until("reloaded")
            if not saturated:
                found.add(
                    "reload_cpu_ms",
                    count,
                    max(0.0, 1e3 * (process.cpu() - before - rest / 100 * (monotonic() - at))),
                )
            # what is added to a request
            if rate and count <= 50_000:
                address = process.seen["serving"]["listen"].rpartition(":")
                direct = await latencies(("127.0.0.1", port), rate, seconds / 2)
                async with relaying(port) as relay:
                    bare = await latencies(relay, rate, seconds / 2)
                at_balancer = address[0], int(address[2])
                await latencies(at_balancer, rate, seconds / 2)  # connections stand, latencies are known
                through = await latencies(at_balancer, rate, seconds)
                if len(through) < 0.9 * int(rate * seconds):
                    raise ScaleError(f"of {int(rate * seconds)} requests {len(through)} had a 200 within 3 s")
                for name, share in (("added_p50_ms", 0.5), ("added_p99_ms", 0.99)):
                    found.add(name, count, quantile(through, share) - quantile(direct, share))
                found.add("relay_p99_ms", count, quantile(bare, 0.99) - quantile(direct, 0.99))
                found.add("direct_p99_ms", count, quantile(direct, 0.99))
    finally:
        upstream.close()
        service.close()


async def by_whole_list(found: Found, folder: Path, count: int) -> None:
    """Whether a list of so many, said in one line by the list service, is taken at all: 1 or 0."""
    service = await ListService().start()
    service.first = listing(count).replace(b'"rev":1', b'"rev":2', 1)
    config = folder / "whole.json"
    config.write_bytes(configuration(1, 1, service.at))
    try:
        async with serving(config) as process:
            ends = monotonic() + 60.0
            taken = 0
            while monotonic() < ends:
                await asyncio.sleep(0.25)
                if process.seen.get("call to discovery failed", {}).get("why") == "a line without an end":
                    break
                if process.times.get("upstream", 0) >= count:
                    taken = 1
                    break
            found.add("whole_line_taken", count, taken)
    finally:
        service.close()


async def by_routes(found: Found, folder: Path, count: int, seconds: float) -> None:
    """`serve` with so many path prefixes."""
    from ospreyline.config import load

    service = await ListService().start()
    config = folder / "balancer.json"
    text = configuration(100, count, service.at)
    config.write_bytes(text)
    found.add("routes_bytes", count, len(text) - len(configuration(100, 0, service.at)))
    begun = process_time()
    load(config, {})
    found.add("routes_check_ms", count, 1e3 * (process_time() - begun))
    try:
        async with serving(config) as process:
            found.add("routes_start_cpu_s", count, process.cpu())
            await service.watched()
            await asyncio.sleep(2.0)
            found.add("routes_memory_mb", count, process.memory())
            rest = await process.rest(seconds)
            found.add("routes_cpu_pct", count, rest)
            before, at = process.cpu(), monotonic()
            config.write_bytes(text.replace(b'"Gain":1', b'"Gain":4', 1))
            process.proc.send_signal(signal.SIGHUP)
            await process.until("reloaded")
            found.add(
                "routes_reload_cpu_ms",
                count,
                max(0.0, 1e3 * (process.cpu() - before - rest / 100 * (monotonic() - at))),
            )
    finally:
        service.close()


async def by_members(
    found: Found, folder: Path, count: int, seconds: float, settle: float = 12.0, losses: int = 8
) -> None:
    """`serve` among so many members, all others hollow; some of those are lost."""
    service = await ListService().start()
    bank = await HollowBank(count - 1).start()
    config, operator = folder / "balancer.json", folder / "operator.toml"
    config.write_bytes(configuration(100, 2, service.at))
    operator.write_text(f'[fleet]\nbank = "scale"\nlisten = "127.0.0.1:0"\npeers = ["m0={bank.at}"]\n')
    try:
        async with serving(config, operator, count) as process:
            listens = (await process.until("fleet listens"))["listen"].rpartition(":")
            await service.watched()
            await asyncio.sleep(3.0)
            await bank.dial((listens[0], int(listens[2])))
            await asyncio.sleep(settle)  # what was dialled for its news alone is idle by then
            messages, size = bank.counted()
            found.add("members_start_bytes", count, size)
            found.add("members_start_messages", count, messages)
            found.add("members_memory_mb", count, process.memory())
            found.add("members_kept", count, (await process.until("counts"))["fleet_of"])
            at = monotonic()
            found.add("members_cpu_pct", count, await process.rest(seconds))
            span, now = monotonic() - at, bank.counted()
            found.add("members_rest_messages_s", count, (now[0] - messages) / span)
            found.add("members_rest_bytes_s", count, (now[1] - size) / span)
            found.add("members_links", count, len(bank.links))
            rest = found.points["members_cpu_pct"][-1][1]
            rests = [found.points[f"members_rest_{what}_s"][-1][1] for what in ("messages", "bytes")]
            # losses: suspected, then dead, as all who pass it on say it
            lost = [e for n, e in bank.entries.items() if n not in bank.links and n != "m0"][:losses]
            before, counted, at = process.cpu(), bank.counted(), monotonic()
            for state in (SUSPECT, DEAD):
                for one in lost:
                    bank.gone.add(one.name)
                    bank.tell(Entry(one.name, one.address, one.zone, one.start, one.incarnation, state))
                    await asyncio.sleep(0.25)
            await asyncio.sleep(0.5)
            span, now = monotonic() - at, bank.counted()
            found.add(
                "loss_cpu_ms", count, max(0.0, 1e3 * (process.cpu() - before - rest / 100 * span) / len(lost))
            )
            found.add("loss_messages", count, max(0.0, (now[0] - counted[0] - rests[0] * span) / len(lost)))
            found.add("loss_bytes", count, max(0.0, (now[1] - counted[1] - rests[1] * span) / len(lost)))
            known = process.times.get("member", 0)
            if known < len(lost):
                raise ScaleError(f"{len(lost)} were lost, {known} were noticed")
    finally:
        bank.close()
        service.close()


def by_calls(found: Found, count: int, per_s: float) -> None:
    """Calls of so many balancers at the list service when all start at once: pure decisions and pace."""

    from ospreyline.decide import Balancer
    from ospreyline.fleet.pace import CallPacer
    from ospreyline.host import DedupScope, Deployment, Kind, PathPrefix

    prefix = PathPrefix(Kind.READ_LIKE, DedupScope.ALL, 1_500.0, 1_000.0, 2_500.0, 1.0, 0.0)

    def most(times: list[float]) -> int:
        """In any second."""
        times = sorted(times)
        first, best = 0, 0
        for last, at in enumerate(times):
            while at - times[first] >= 1e3:
                first += 1
            best = max(best, last - first + 1)
        return best

    alone = []
    for number in range(count):
        terms = Deployment(
            zone=0,
            zones=3,
            balancers=count,
            number=number,
            prefixes=(prefix,),
            ask_for_list=True,
            must_ask_in=10_000.0,
        )
        alone.append(Balancer(_Nobody(), terms, number, 0.0)._call_schedule.next_call_at)
    found.add("calls_alone_most_s", count, most(alone))
    paces = []
    for number in range(count):
        pace = CallPacer(number, count, per_s, 10_000.0)
        pace.start(0.0)
        paces.append(pace)
    found.add("calls_paced_most_s", count, most([pace.next_call_at for pace in paces]))
    found.add("calls_paced_window_s", count, max(pace.next_call_at for pace in paces) / 1e3)


def by_listeners(found: Found, count: int) -> None:
    """Processor time of one who passes the list on, for each message to a listener: pure, frames encoded."""
    from ospreyline.fleet import lists
    from ospreyline.fleet.frames import RelaySubscribe

    passes = lists.Lists("n0", "a", 1, lambda: 0.5, 0.0)
    passes.set_members(0.0, [])
    passes.tick(1_000.0)
    body = msgspec.json.encode(entry(1))
    passes.service_update(1_000.0, 1, True, [("svc-0-1", False, body)])
    for i in range(count):
        passes.receive(1_000.0, f"m{i}", RelaySubscribe(rev=1))
    passes.out.clear()
    begun, messages, rev = process_time(), 0, 1
    for _ in range(max(2, 20_000 // count)):
        rev += 1
        passes.service_update(1_000.0, rev, False, [("svc-0-1", False, body)])
        messages += len(passes.out)
        for _, message in passes.out:
            encode(message)
        passes.out.clear()
    found.add("pass_on_cpu_us", count, 1e6 * (process_time() - begun) / max(1, messages))
    found.add("pass_on_listeners", count, messages / max(2, 20_000 // count))


PARTS = ("rank", "upstreams", "whole", "routes", "members", "calls", "pass")


def steps(sizes: dict[str, tuple[int, ...]], parts: tuple[str, ...]) -> Iterator[tuple[str, int]]:
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
    say: Say,
    step: Callable[[str], None],
) -> Found:
    """All slopes, by name: (size, value)."""
    found = Found(say)
    with tempfile.TemporaryDirectory(prefix="ospreyline-scale-") as name:
        folder = Path(name)
        for part, size in steps(sizes, parts):
            step(f"{part} {size:,}")
            found.reference.append(reference())
            if part == "rank":
                best, told = ranked(size)
                found.add("rank_ms", size, best)
                found.add("told_whole_ms", size, told)
            elif part == "upstreams":
                await by_upstreams(found, folder, size, seconds, rate)
            elif part == "whole":
                await by_whole_list(found, folder, size)
            elif part == "routes":
                await by_routes(found, folder, size, seconds)
            elif part == "members":
                await by_members(found, folder, size, seconds)
            elif part == "calls":
                by_calls(found, size, calls_per_s)
            else:
                by_listeners(found, size)
    found.reference.append(reference())
    return found
