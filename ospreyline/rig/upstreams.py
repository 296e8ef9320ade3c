"""Stand-in upstreams: the laboratory's model of a server on the real clock, behind HTTP on a real socket.

Drawn service times, cold start and warming, tipping over, crowding, connection limits, handshakes that cost
and load reports are the model's (`lab/servers.py`). The work of a request comes with it (`X-Work`, ms of a
core at speed 1), so that a repeat costs what the first try did.
"""

from __future__ import annotations

import asyncio
import socket
import struct
from collections.abc import Callable
from random import Random
from time import monotonic
from typing import Any

import httptools
import msgspec

from ospreyline.lab.scenario import Group
from ospreyline.lab.servers import Job, Server
from ospreyline.rig.worker import Clock, Worker

LINGER = struct.pack("ii", 1, 0)
OWN_PATHS = {"/health/live", "/stats"}


class Connection(asyncio.Protocol):
    """One connection to an upstream; one request at a time."""

    def __init__(self, upstream: Upstream) -> None:
        self.upstream = upstream
        self.transport: Any = None
        self.fresh = True  # its handshake is still to be paid for
        self.job: Job | None = None
        self.waiting = False
        self._parser: Any = httptools.HttpRequestParser(self)
        self._clear()

    def _clear(self) -> None:
        self._path = b""
        self._fields: dict[bytes, bytes] = {}

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport
        self.upstream.joined(self)

    def data_received(self, data: bytes) -> None:
        self.upstream.clock.tick()
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError:
            self.answer(400, b"unreadable", close=True)

    def eof_received(self) -> bool:
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        self.upstream.clock.tick()
        self.upstream.left(self)
        if self.job is not None:
            self.upstream.server.cancel(self.job)
            self.job = None

    def on_url(self, url: bytes) -> None:
        self._path += url

    def on_header(self, name: bytes, value: bytes) -> None:
        self._fields[name.lower()] = value

    def on_message_complete(self) -> None:
        path = self._path.split(b"?")[0].decode("latin-1")
        if path in OWN_PATHS:
            self.upstream.probed(self, path)
        else:
            self.upstream.asked(self, path, self._fields)
        self._clear()

    def answer(self, status: int, body: bytes, fields: bytes = b"", close: bool = False) -> None:
        if self.transport is None or self.transport.is_closing():
            return
        words = {
            200: b"OK",
            400: b"Bad Request",
            404: b"Not Found",
            500: b"Internal Server Error",
            503: b"Service Unavailable",
        }
        self.transport.write(
            b"HTTP/1.1 %d %b\r\n%b%bContent-Length: %d\r\n\r\n%b"
            % (status, words[status], fields, b"Connection: close\r\n" if close else b"", len(body), body)
        )
        if close:
            self.transport.close()


class Upstream:
    """One machine: its model, its address, its connections."""

    def __init__(
        self,
        owner: Upstreams,
        index: int,
        uid: str,
        listen: str,
        group: Group,
        zone: int,
        speed: float,
        slower: float,
    ) -> None:
        self.owner = owner
        self.index = index
        self.uid = uid
        self.clock = owner.worker.clock
        self.at = (listen, 0)
        self.draw = Random(owner.worker.seed * 1009 + index).random
        self.server = Server(self.clock, group, index, zone, 0, speed, slower, self.draw)
        self.server.fall = self.fell
        self.open: dict[Connection, None] = {}
        self.stop_pauses: list[Any] = []
        self._listening: asyncio.Server | None = None
        self.errors = 0.0
        self.mute = 0

    async def listen(self) -> None:
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.setblocking(False)
        sock.bind(self.at)
        self.at = sock.getsockname()
        self._listening = await self.owner.worker.loop.create_server(
            lambda: Connection(self), sock=sock, backlog=512
        )

    def start(self, warm: bool) -> None:
        """A process begins on this machine."""
        self.server.start(warm=warm)
        self.owner.worker.row("started", u=self.index, inc=self.server.incarnation, warm=warm)

    def die(self) -> None:
        """The process is gone: connections are reset, new ones refused."""
        if self._listening is not None:
            self._listening.close()
            self._listening = None
        for conn in list(self.open):
            conn.job = None  # the model drops it with the process
            sock = conn.transport.get_extra_info("socket")
            if sock is not None:
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER)
            conn.transport.abort()
        if self.server.up:
            self.server.stop(vanish=True)  # nobody is told job by job: the connections tell
        self.owner.worker.row("died", u=self.index)

    def fell(self, server: Server) -> None:
        """Pushed over while cold."""
        self.owner.worker.row("fell", u=self.index)
        self.die()
        self.owner.worker.say("fell", u=self.index)

    def joined(self, conn: Connection) -> None:
        self.clock.tick()
        self.open[conn] = None
        self.owner.worker.row("handshake", u=self.index)

    def left(self, conn: Connection) -> None:
        self.open.pop(conn, None)

    def report(self) -> bytes:
        fields, server = self.owner.fields, self.server
        if not fields:
            return b""
        have = {
            "in-flight": f"inflight={server.held}",
            "queue": f"queue={max(0.0, server.held - server.cores):g}",
            "util": f"util={min(1.0, server.held / server.cores):.3f}",
        }
        return (
            "Endpoint-Load-Metrics: TEXT " + ", ".join(have[f] for f in fields if f in have) + "\r\n"
        ).encode()

    def probed(self, conn: Connection, path: str) -> None:
        if not self.mute:
            self.owner.worker.row("probe", u=self.index)
            conn.answer(200, b"", self.report())

    def asked(self, conn: Connection, path: str, fields: dict[bytes, bytes]) -> None:
        """A request has come whole."""
        trace = fields.get(b"x-trace-id", b"").decode("latin-1")
        server = self.server
        try:
            work = float(fields.get(b"x-work", b"")) if b"x-work" in fields else self.owner.work
        except ValueError:
            work = self.owner.work
        row = {
            "u": self.index,
            "inc": server.incarnation,
            "id": trace,
            "work": round(work, 3),
            "key": fields.get(b"idempotency-key", b"").decode("latin-1"),
        }
        if not server.up or self.mute:
            self.owner.worker.row("muted", **row)
            return
        fresh, conn.fresh = conn.fresh, False
        full = server.group.connections and len(self.open) > server.group.connections
        job = Job(work, 0.0, 0, self.clock.now + 60_000.0, lambda well: self.done(conn, job, trace, well))
        if self.errors and self.draw() < self.errors:
            self.owner.worker.row("arrived", took=True, **row)
            self.owner.worker.row("ran", u=self.index, id=trace)
            conn.answer(500, b"error", self.report())
            return
        conn.job = job
        took = not full and server.arrive(job, fresh, 0)
        if not server.up:
            return  # that was one too many
        self.owner.worker.row("arrived", took=took, **row)
        if not took:
            conn.job = None
            conn.answer(503, b"full", b"X-Never-Ran: 1\r\n" + self.report())

    def done(self, conn: Connection, job: Job, trace: str, well: bool | None) -> None:
        conn.job = None
        if well is None:
            return
        self.owner.worker.row("ran", u=self.index, id=trace)
        if well:
            conn.answer(200, f"{trace} {self.uid}".encode(), self.report())
        else:
            conn.answer(500, b"error", self.report())


class Upstreams:
    """All stand-in upstreams of one process."""

    def __init__(self, worker: Worker, setup: dict[str, Any]) -> None:
        self.worker = worker
        self.fields: list[str] = setup["fields"]
        self.work = 1.0  # ms, of a request that brings none
        self.upstreams = {
            one["index"]: Upstream(
                self,
                one["index"],
                one["uid"],
                one["listen"],
                msgspec.convert(one["group"], Group),
                one["zone"],
                one["speed"],
                one["slower"],
            )
            for one in setup["upstreams"]
        }

    async def begin(self) -> None:
        for upstream in self.upstreams.values():
            await upstream.listen()
            upstream.start(warm=True)
            group = upstream.server.group
            if group.pause_every_ms:
                upstream.server.pauses(group.pause_every_ms, group.pause_ms, upstream.draw)
        self.worker.say("listening", at={str(i): u.at for i, u in self.upstreams.items()})

    async def told(self, order: dict[str, Any]) -> None:
        for index in order["of"]:
            await self._one(self.upstreams[index], order)
        self.worker.say("done", order=order["order"])

    async def _one(self, upstream: Upstream, order: dict[str, Any]) -> None:
        server, do, size, on = upstream.server, order["do"], order.get("size", 0.0), order.get("on", 1)
        if do == "die":
            upstream.die()
        elif do == "start" and not server.up:
            await upstream.listen()
            upstream.start(warm=order.get("warm", False))
        elif do == "drain":
            server.draining = bool(on)
        elif do == "slow":
            server.slow *= size if on > 0 else 1 / size
            server.changed()
        elif do == "errors":
            upstream.errors = max(0.0, upstream.errors + on * size)
        elif do == "mute":
            upstream.mute += on
        elif do == "pause":
            if on > 0:
                upstream.stop_pauses.append(server.pauses(order["extra"], size, upstream.draw))
            elif upstream.stop_pauses:
                upstream.stop_pauses.pop()()

    async def end(self) -> None:
        for upstream in self.upstreams.values():
            upstream.die()


def make(worker: Worker, setup: dict[str, Any]) -> Upstreams:
    return Upstreams(worker, setup)


class _Alone:
    """What a worker gives, for an upstream that no rig keeps."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self.loop = loop
        self.clock = Clock(loop, monotonic() * 1e3)
        self.seed = 1

    def row(self, kind: str, /, **values: Any) -> None:
        pass

    def say(self, news: str, **values: Any) -> None:
        pass


async def alone(at: tuple[str, int], work: float, said: Callable[[tuple[str, int]], None]) -> None:
    """One warm upstream at an address until it is cancelled; `work` in ms where a request brings none."""
    worker: Any = _Alone(asyncio.get_running_loop())
    owner = Upstreams(worker, {"fields": [], "upstreams": []})
    owner.work = work
    upstream = Upstream(owner, 0, "s-0-1", at[0], Group(), 0, 1.0, 1.0)
    upstream.at = at
    await upstream.listen()
    upstream.start(warm=True)
    said(upstream.at)
    await asyncio.Event().wait()
