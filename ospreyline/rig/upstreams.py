"""Stand-in upstreams: the simulator's server model on the real clock, behind HTTP on a real socket.

The model (`lab/servers.py`) provides random service times, cold start and warm-up, overload while cold,
slowdown over capacity, connection limits, handshake costs and load reports. A request states its own work
(`X-Work`, ms of a core at speed 1), so that a retry costs as much as the first try.
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

RESET_ON_CLOSE = struct.pack("ii", 1, 0)  # SO_LINGER value: on, 0 s
PROBE_PATHS = {"/health/live", "/stats"}


class Connection(asyncio.Protocol):
    """One connection to an upstream, with one request at a time."""

    def __init__(self, upstream: Upstream) -> None:
        self.upstream = upstream
        self.transport: Any = None
        self.handshake_due = True  # the cost of its handshake is charged with the first request
        self.job: Job | None = None
        self.waiting = False
        self._parser: Any = httptools.HttpRequestParser(self)
        self._clear()

    def _clear(self) -> None:
        self._path = b""
        self._headers: dict[bytes, bytes] = {}

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport
        self.upstream.connection_opened(self)

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
        self.upstream.connection_closed(self)
        if self.job is not None:
            self.upstream.server.cancel(self.job)
            self.job = None

    def on_url(self, url: bytes) -> None:
        self._path += url

    def on_header(self, name: bytes, value: bytes) -> None:
        self._headers[name.lower()] = value

    def on_message_complete(self) -> None:
        path = self._path.split(b"?")[0].decode("latin-1")
        if path in PROBE_PATHS:
            self.upstream.answer_probe(self, path)
        else:
            self.upstream.handle_request(self, path, self._headers)
        self._clear()

    def answer(self, status: int, body: bytes, headers: bytes = b"", close: bool = False) -> None:
        if self.transport is None or self.transport.is_closing():
            return
        reasons = {
            200: b"OK",
            400: b"Bad Request",
            404: b"Not Found",
            500: b"Internal Server Error",
            503: b"Service Unavailable",
        }
        self.transport.write(
            b"HTTP/1.1 %d %b\r\n%b%bContent-Length: %d\r\n\r\n%b"
            % (status, reasons[status], headers, b"Connection: close\r\n" if close else b"", len(body), body)
        )
        if close:
            self.transport.close()


class Upstream:
    """One upstream machine: server model, address and open connections."""

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
        self.address = (listen, 0)
        self.draw = Random(owner.worker.seed * 1009 + index).random
        self.server = Server(self.clock, group, index, zone, 0, speed, slower, self.draw)
        self.server.fall = self.on_overload
        self.connections: dict[Connection, None] = {}
        self.stop_pauses: list[Any] = []
        self._listening: asyncio.Server | None = None
        self.error_share = 0.0
        self.mute_faults = 0

    async def listen(self) -> None:
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.setblocking(False)
        sock.bind(self.address)
        self.address = sock.getsockname()
        self._listening = await self.owner.worker.loop.create_server(
            lambda: Connection(self), sock=sock, backlog=512
        )

    def start_process(self, warm: bool) -> None:
        """Starts a process on this machine."""
        self.server.start(warm=warm)
        self.owner.worker.row("started", u=self.index, inc=self.server.incarnation, warm=warm)

    def kill_process(self) -> None:
        """Ends the process: connections are reset and new ones refused."""
        if self._listening is not None:
            self._listening.close()
            self._listening = None
        for connection in list(self.connections):
            connection.job = None  # the model discards it with the process
            sock = connection.transport.get_extra_info("socket")
            if sock is not None:
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
            connection.transport.abort()
        if self.server.up:
            self.server.stop(vanish=True)  # no callback for each job: the resets inform the clients
        self.owner.worker.row("died", u=self.index)

    def on_overload(self, server: Server) -> None:
        """Overloaded while cold: the process ends."""
        self.owner.worker.row("fell", u=self.index)
        self.kill_process()
        self.owner.worker.notify("fell", u=self.index)

    def connection_opened(self, connection: Connection) -> None:
        self.clock.tick()
        self.connections[connection] = None
        self.owner.worker.row("handshake", u=self.index)

    def connection_closed(self, connection: Connection) -> None:
        self.connections.pop(connection, None)

    def report(self) -> bytes:
        """The load report header, or nothing."""
        fields, server = self.owner.report_fields, self.server
        if not fields:
            return b""
        values = {
            "in-flight": f"inflight={server.held}",
            "queue": f"queue={max(0.0, server.held - server.cores):g}",
            "util": f"util={min(1.0, server.held / server.cores):.3f}",
        }
        return (
            "Endpoint-Load-Metrics: TEXT " + ", ".join(values[f] for f in fields if f in values) + "\r\n"
        ).encode()

    def answer_probe(self, connection: Connection, path: str) -> None:
        if not self.mute_faults:
            self.owner.worker.row("probe", u=self.index)
            connection.answer(200, b"", self.report())

    def handle_request(self, connection: Connection, path: str, headers: dict[bytes, bytes]) -> None:
        """Handles a complete request."""
        trace = headers.get(b"x-trace-id", b"").decode("latin-1")
        server = self.server
        try:
            work = float(headers.get(b"x-work", b"")) if b"x-work" in headers else self.owner.default_work_ms
        except ValueError:
            work = self.owner.default_work_ms
        row = {
            "u": self.index,
            "inc": server.incarnation,
            "id": trace,
            "work": round(work, 3),
            "key": headers.get(b"idempotency-key", b"").decode("latin-1"),
        }
        if not server.up or self.mute_faults:
            self.owner.worker.row("muted", **row)
            return
        handshake_due, connection.handshake_due = connection.handshake_due, False
        full = server.group.connections and len(self.connections) > server.group.connections
        job = Job(
            work,
            0.0,
            0,
            self.clock.now + 60_000.0,
            lambda succeeded: self.finish_request(connection, job, trace, succeeded),
        )
        if self.error_share and self.draw() < self.error_share:
            self.owner.worker.row("arrived", took=True, **row)
            self.owner.worker.row("ran", u=self.index, id=trace)
            connection.answer(500, b"error", self.report())
            return
        connection.job = job
        took = not full and server.arrive(job, handshake_due, 0)
        if not server.up:
            return  # this request overloaded it
        self.owner.worker.row("arrived", took=took, **row)
        if not took:
            connection.job = None
            connection.answer(503, b"full", b"X-Never-Ran: 1\r\n" + self.report())

    def finish_request(self, connection: Connection, job: Job, trace: str, succeeded: bool | None) -> None:
        connection.job = None
        if succeeded is None:
            return
        self.owner.worker.row("ran", u=self.index, id=trace)
        if succeeded:
            connection.answer(200, f"{trace} {self.uid}".encode(), self.report())
        else:
            connection.answer(500, b"error", self.report())


class Upstreams:
    """All stand-in upstreams of one process."""

    def __init__(self, worker: Worker, setup: dict[str, Any]) -> None:
        self.worker = worker
        self.report_fields: list[str] = setup["fields"]
        self.default_work_ms = 1.0  # of a request without X-Work
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
            upstream.start_process(warm=True)
            group = upstream.server.group
            if group.pause_every_ms:
                upstream.server.pauses(group.pause_every_ms, group.pause_ms, upstream.draw)
        self.worker.notify("listening", at={str(i): u.address for i, u in self.upstreams.items()})

    async def execute(self, order: dict[str, Any]) -> None:
        for index in order["of"]:
            await self._apply_order(self.upstreams[index], order)
        self.worker.notify("done", order=order["order"])

    async def _apply_order(self, upstream: Upstream, order: dict[str, Any]) -> None:
        server, do, size, on = upstream.server, order["do"], order.get("size", 0.0), order.get("on", 1)
        if do == "die":
            upstream.kill_process()
        elif do == "start" and not server.up:
            await upstream.listen()
            upstream.start_process(warm=order.get("warm", False))
        elif do == "drain":
            server.draining = bool(on)
        elif do == "slow":
            server.slow *= size if on > 0 else 1 / size
            server.changed()
        elif do == "errors":
            upstream.error_share = max(0.0, upstream.error_share + on * size)
        elif do == "mute":
            upstream.mute_faults += on
        elif do == "pause":
            if on > 0:
                upstream.stop_pauses.append(server.pauses(order["extra"], size, upstream.draw))
            elif upstream.stop_pauses:
                upstream.stop_pauses.pop()()

    async def end(self) -> None:
        for upstream in self.upstreams.values():
            upstream.kill_process()


def make(worker: Worker, setup: dict[str, Any]) -> Upstreams:
    return Upstreams(worker, setup)


class _StandaloneWorker:
    """Replaces the worker for an upstream outside a rig run."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self.loop = loop
        self.clock = Clock(loop, monotonic() * 1e3)
        self.seed = 1

    def row(self, kind: str, /, **values: Any) -> None:
        pass

    def notify(self, event: str, **values: Any) -> None:
        pass


async def alone(at: tuple[str, int], work: float, listening: Callable[[tuple[str, int]], None]) -> None:
    """Serves one warm upstream until cancelled; `work` is the ms of a request without X-Work.

    `listening` is called with the bound address.
    """
    worker: Any = _StandaloneWorker(asyncio.get_running_loop())
    owner = Upstreams(worker, {"fields": [], "upstreams": []})
    owner.default_work_ms = work
    upstream = Upstream(owner, 0, "s-0-1", at[0], Group(), 0, 1.0, 1.0)
    upstream.address = at
    await upstream.listen()
    upstream.start_process(warm=True)
    listening(upstream.address)
    await asyncio.Event().wait()
