"""TCP relays that implement the links: each forwards between two processes and takes faults of its own.

Faults look like those of a network. TCP resends what a cut loses once the cut heals, so buffered bytes are
forwarded then, unless the connection is among those that are reset. While a link is cut, new connections
never complete: the relay keeps the backlog of the link's listener full. A link without a target refuses
connections, like a machine on which the process does not run.
"""

from __future__ import annotations

import asyncio
import select
import socket
import struct
from collections import deque
from fnmatch import fnmatchcase
from random import Random
from typing import Any

import msgspec

from ospreyline.rig.wire import HttpObserver, ObservedRequest
from ospreyline.rig.worker import Worker

TO_SERVER, TO_CLIENT = 0, 1  # directions of a link
DIRECTIONS = {"both": (TO_SERVER, TO_CLIENT), "to": (TO_SERVER,), "from": (TO_CLIENT,)}
MAX_BUFFERED_BYTES = 1 << 18  # per direction of a connection; beyond it, reading pauses
BACKLOG = 512
RESET_ON_CLOSE = struct.pack("ii", 1, 0)  # SO_LINGER of 0 s: close sends RST


class Watch(msgspec.Struct):
    """A fault that waits for an event on the wire."""

    number: int
    seen: str
    link: str
    prefix: str
    remaining: int = msgspec.field(name="left")  # matching events until it triggers


def _was_reset(transport: asyncio.Transport) -> bool:
    """Whether a connection that reported an end of file was in fact reset (an error is pending)."""
    poller = select.poll()
    poller.register(transport.get_extra_info("socket").fileno(), 0)
    return any(events & select.POLLERR for _, events in poller.poll(0))


class Endpoint(asyncio.Protocol):
    """One end of a relayed connection; `direction` is that of the bytes read from it."""

    def __init__(self, connection: RelayedConnection, direction: int) -> None:
        self.connection = connection
        self.direction = direction
        self.transport: asyncio.Transport | None = None
        self.was_reset = False  # the peer reset it, though the event loop reported an end of file

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport) or hasattr(transport, "write")
        self.transport = transport  # type: ignore[assignment]
        self.connection.on_connected(self)

    def data_received(self, data: bytes) -> None:
        self.connection.on_data(self.direction, data)

    def eof_received(self) -> bool:
        # the event loop reports a reset that directly follows data as an end of file
        self.was_reset = self.transport is not None and _was_reset(self.transport)
        if self.was_reset:
            return False
        self.connection.on_data(self.direction, None)
        return True  # keep the other direction open

    def connection_lost(self, exc: Exception | None) -> None:
        self.transport = None
        self.connection.on_endpoint_closed(self.direction, exc is not None or self.was_reset)

    def pause_writing(self) -> None:
        self.connection.on_write_pause(self.direction, True)

    def resume_writing(self) -> None:
        self.connection.on_write_pause(self.direction, False)


class RelayedConnection:
    """One connection through a link: client <-> relay <-> server."""

    def __init__(self, link: Link) -> None:
        self.link = link
        self.observer = HttpObserver() if link.observes_http else None
        self.client_end = Endpoint(self, TO_SERVER)  # accepted from the client
        self.server_end = Endpoint(self, TO_CLIENT)
        self.buffered: tuple[deque[bytes | None], deque[bytes | None]] = (deque(), deque())
        self.buffered_bytes = [0, 0]  # by direction
        self.forwarded_bytes = [0, 0]  # by direction
        self.closed = [False, False]  # by direction: its sender closed, not forwarded yet
        self.eof_forwarded = [False, False]  # by direction: the end of file was forwarded
        self.blocked = [False, False]  # by direction: a piece was too large for the link
        self.delayed_pieces = [0, 0]  # by direction: pieces on their way through a slow link
        self.end_reason = ""  # how the first end closed it: gone, closed or broken
        self._observed: list[tuple[str, str]] = []
        self.unanswered: list[ObservedRequest] = []  # requests without a response
        self.finished = False
        link.connections[self] = None

    def on_connected(self, endpoint: Endpoint) -> None:
        if self.finished:
            self._reset_endpoint(endpoint)  # it was reset before this end was connected
        elif endpoint is self.server_end:
            self.flush(TO_SERVER)

    def on_data(self, direction: int, data: bytes | None) -> None:
        """Handle bytes for the other end, or (None) an end of file."""
        if self.finished:
            return
        link = self.link
        link.relays.worker.clock.tick()
        if data is not None:
            self._observe(direction, data)
        else:
            self._record_end("gone" if direction == TO_SERVER else "closed")
        if data is not None and 0 < link.max_piece_bytes < len(data):
            self.blocked[direction] = True
        if (
            not link.is_open(direction)
            or self.buffered[direction]
            or not self._is_connected(direction)
            or self.blocked[direction]
        ):
            self.buffered[direction].append(data)
            self.buffered_bytes[direction] += len(data or b"")
            if self.buffered_bytes[direction] > MAX_BUFFERED_BYTES:
                self._pause_reading(direction, True)
        else:
            self._forward(direction, data)
        self._notify_watches(direction)

    def _observe(self, direction: int, data: bytes) -> None:
        if self.observer is None:
            return
        now, link = self.link.relays.worker.clock.now, self.link
        if direction == TO_SERVER:
            for request in self.observer.on_request_bytes(now, data):
                self.unanswered.append(request)
                self._observed.append(("request", request.prefix))
                link.row("asked", id=request.id, prefix=request.prefix, first=round(request.first_byte_at, 3))
        else:
            for response in self.observer.on_response_bytes(now, data):
                if self.unanswered:
                    request = self.unanswered.pop(0)
                    self._observed.append(("answer", request.prefix))
                    link.row("answered", id=request.id, status=response.status, never=response.never_ran)

    def _notify_watches(self, direction: int) -> None:
        """Report what has just been forwarded to the faults that wait for it."""
        if self.observer is not None and self.link.relays.watches:
            for what, prefix in self._observed:
                self.link.relays.on_observed(self.link, what, prefix)
            self._observed = []

    def _is_connected(self, direction: int) -> bool:
        endpoint = self.server_end if direction == TO_SERVER else self.client_end
        return endpoint.transport is not None

    def _forward(self, direction: int, data: bytes | None) -> None:
        link = self.link
        if link.delay_ms or self.delayed_pieces[direction]:
            self.delayed_pieces[direction] += 1
            link.relays.worker.clock.after(link.delay_ms, self._deliver_delayed, direction, data)
            return
        self._write(direction, data)

    def _deliver_delayed(self, direction: int, data: bytes | None) -> None:
        self.delayed_pieces[direction] -= 1
        self._write(direction, data)

    def _write(self, direction: int, data: bytes | None) -> None:
        endpoint = self.server_end if direction == TO_SERVER else self.client_end
        if self.finished or endpoint.transport is None:
            return
        if data is None:
            self.eof_forwarded[direction] = True
            if self.eof_forwarded[1 - direction]:
                self._close_both()
            else:
                endpoint.transport.write_eof()
            return
        reset_at = self.link.reset_at_bytes[direction]
        if reset_at and self.forwarded_bytes[direction] + len(data) >= reset_at:
            # delay the reset so that the bytes before it are sent first
            endpoint.transport.write(data[: reset_at - self.forwarded_bytes[direction]])
            self.forwarded_bytes[direction] = reset_at
            self.link.relays.worker.clock.after(2.0, self.reset_both)
            return
        self.forwarded_bytes[direction] += len(data)
        endpoint.transport.write(data)

    def flush(self, direction: int) -> None:
        """Forward what is buffered, as far as the link is open."""
        buffered = self.buffered[direction]
        if self.blocked[direction]:
            return
        while buffered and self.link.is_open(direction) and self._is_connected(direction):
            data = buffered.popleft()
            self.buffered_bytes[direction] -= len(data or b"")
            self._forward(direction, data)
        if not buffered:
            self._pause_reading(direction, False)
            if self.closed[direction] and self.link.is_open(direction):
                self._close_both()

    def on_write_pause(self, direction: int, paused: bool) -> None:
        """An end's write buffer is full (or drained): pause (or resume) reading what is sent to it."""
        self._pause_reading(TO_CLIENT if direction == TO_SERVER else TO_SERVER, paused)

    def _pause_reading(self, direction: int, paused: bool) -> None:
        endpoint = self.client_end if direction == TO_SERVER else self.server_end
        if endpoint.transport is not None and not endpoint.transport.is_closing():
            if paused:
                endpoint.transport.pause_reading()
            else:
                endpoint.transport.resume_reading()

    def on_endpoint_closed(self, direction: int, reset: bool) -> None:
        """One end has closed: close the other one when the link lets that through."""
        if self.finished:
            return
        self._record_end("gone" if direction == TO_SERVER else "broken" if reset else "closed")
        if not self.link.is_open(direction) or self.buffered[direction] or self.blocked[direction]:
            self.closed[direction] = True
        elif self.link.delay_ms or self.delayed_pieces[direction]:
            self.link.relays.worker.clock.after(self.link.delay_ms, self._close_both)
        else:
            self._close_both()

    def _record_end(self, reason: str) -> None:
        """Note which end closed first; if the client did, its requests end now, even on a blocked link."""
        self.end_reason = self.end_reason or reason
        if reason == "gone":
            self._report_unanswered(reason)

    def _report_unanswered(self, reason: str) -> None:
        for request in self.unanswered:
            self.link.row("unanswered", id=request.id, how=reason)
        self.unanswered.clear()

    def _close_both(self) -> None:
        """Close both ends; the client's by a reset if the server sent one and the link forwards resets."""
        self._finish(self.end_reason)
        if self.end_reason == "broken" and not self.link.fin_for_reset_faults:
            # an orderly close in place of a reset would hide that data can be lost
            self._reset_endpoint(self.client_end)
        for endpoint in (self.client_end, self.server_end):
            if endpoint.transport is not None:
                endpoint.transport.close()

    def reset_both(self) -> None:
        """Reset both ends."""
        self._finish("reset")
        for endpoint in (self.client_end, self.server_end):
            self._reset_endpoint(endpoint)

    def _reset_endpoint(self, endpoint: Endpoint) -> None:
        if endpoint.transport is not None:
            sock = endpoint.transport.get_extra_info("socket")
            if sock is not None:
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
            endpoint.transport.abort()

    def _finish(self, reason: str) -> None:
        if self.finished:
            return
        self.finished = True
        self.link.connections.pop(self, None)
        self._report_unanswered(reason)
        self.buffered[0].clear()
        self.buffered[1].clear()

    def half_close(self, direction: int) -> None:
        endpoint = self.server_end if direction == TO_SERVER else self.client_end
        if endpoint.transport is not None and not endpoint.transport.is_closing():
            endpoint.transport.write_eof()


class Link:
    """One link: its listener, its target and its active faults."""

    def __init__(
        self,
        relays: Relays,
        name: str,
        listen: str,
        source: str,
        observes_http: bool,
        shared_listener: SharedListener | None = None,
    ) -> None:
        self.relays = relays
        self.shared_listener = shared_listener  # in place of a listener of its own
        self.name = name
        self.source = source  # local address of connections to the target
        self.target: tuple[str, int] | None = None
        self.observes_http = observes_http
        self.connections: dict[RelayedConnection, None] = {}
        self.hold_counts = [0, 0]  # by direction: active faults that block it
        self.delay_ms = 0.0
        self.max_piece_bytes = 0
        self.reset_at_bytes = [0, 0]
        self.reset_faults = self.refuse_faults = self.vanish_faults = 0  # active faults of each kind
        self.fin_for_reset_faults = 0
        self._listener_state = ""
        self._socket: socket.socket | None = None
        self._server: asyncio.Server | None = None
        self._backlog_fillers: list[socket.socket] = []
        self.at = (listen, 0)

    def row(self, kind: str, /, **values: Any) -> None:
        self.relays.worker.row(kind, link=self.name, **values)

    def is_open(self, direction: int) -> bool:
        return not self.hold_counts[direction]

    async def update_listener(self) -> None:
        """Set the listener's state (listen, refuse, vanish) as the active faults require."""
        if self.shared_listener is not None:
            return
        state = (
            "refuse"
            if self.refuse_faults or self.target is None
            else "vanish"
            if self.vanish_faults
            else "listen"
        )
        if state == self._listener_state:
            return
        self._listener_state = state
        await self._close_listener()
        if self._listener_state != state:
            return  # changed in the meantime
        self._socket = socket.socket()
        self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._socket.setblocking(False)
        self._socket.bind(self.at)
        self.at = self._socket.getsockname()
        if state == "listen":
            self._server = await self.relays.worker.loop.create_server(
                self._new_endpoint, sock=self._socket, backlog=BACKLOG
            )
        elif state == "vanish":
            # connections to a vanished machine must not complete, so accepting and staying silent is wrong;
            # with a full backlog new connections stay in SYN_SENT
            self._socket.listen(0)
            for _ in range(2):
                filler = socket.socket()
                filler.setblocking(False)
                filler.connect_ex(self.at)
                self._backlog_fillers.append(filler)

    async def _close_listener(self) -> None:
        for filler in self._backlog_fillers:
            filler.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
            filler.close()
        self._backlog_fillers.clear()
        if self._server is not None:
            self._server.close()
            self._server = None
        if self._socket is not None:
            self._socket.close()
            self._socket = None
            await asyncio.sleep(0)  # the loop closes a listener in its next iteration

    def _new_endpoint(self) -> asyncio.Protocol:
        return self.accept().client_end

    def accept(self) -> RelayedConnection:
        """Relay a new connection through this link."""
        connection = RelayedConnection(self)
        self.relays.worker.clock.tick()
        self.row("opened")
        if self.reset_faults or (self.shared_listener is not None and self.refuse_faults):
            self.relays.worker.loop.call_soon(connection.reset_both)
        else:
            self.relays.connecting.add(
                task := self.relays.worker.loop.create_task(self._connect_target(connection))
            )
            task.add_done_callback(self.relays.connecting.discard)
        return connection

    async def _connect_target(self, connection: RelayedConnection) -> None:
        target = self.shared_listener.target if self.shared_listener is not None else self.target
        if target is None:
            return connection.reset_both()
        try:
            await self.relays.worker.loop.create_connection(
                lambda: connection.server_end, *target, local_addr=(self.source, 0)
            )
        except OSError:
            connection.reset_both()
        else:
            self.relays.worker.clock.tick()
            self.row("reached")
            self.relays.on_observed(self, "connection", "")

    async def apply_fault(self, order: dict[str, Any], draw: Random) -> None:
        """Start (`on` is 1) or end (-1) a fault on this link."""
        kind, active, directions = order["kind"], order["on"], DIRECTIONS[order["way"]]
        if kind in ("drop", "stall", "vanish"):
            for direction in (TO_SERVER, TO_CLIENT) if kind == "vanish" else directions:
                self.hold_counts[direction] += active
            if kind != "stall":
                self.vanish_faults += active
            if active < 0:
                reset_share = 1.0 if kind == "vanish" else order["extra"] if kind == "drop" else 0.0
                for connection in list(self.connections):
                    if reset_share and draw.random() < reset_share:
                        connection.reset_both()
                    else:
                        connection.flush(TO_SERVER)
                        connection.flush(TO_CLIENT)
        elif kind == "narrow":
            self.max_piece_bytes = int(order["size"]) if active > 0 else 0
            for connection in list(self.connections) if active < 0 else ():
                connection.blocked = [False, False]
                connection.flush(TO_SERVER)
                connection.flush(TO_CLIENT)
        elif kind == "slow-link":
            self.delay_ms = max(0.0, self.delay_ms + active * order["size"])
        elif kind == "cut-at":
            for direction in directions:
                self.reset_at_bytes[direction] = int(order["size"]) if active > 0 else 0
        elif kind == "reset":
            self.reset_faults += active
            if active > 0:
                for connection in list(self.connections):
                    connection.reset_both()
        elif kind == "refuse":
            self.refuse_faults += active
        elif kind == "fin-for-reset":
            self.fin_for_reset_faults += active
        elif kind == "half-close" and active > 0:
            for connection in list(self.connections):
                for direction in directions:
                    connection.half_close(direction)
        await self.update_listener()


class SharedListener:
    """The address at which other balancers dial one balancer: the listener of all links to it."""

    def __init__(self, relays: Relays, name: str, listen: str, sources: dict[str, str]) -> None:
        self.relays = relays
        self.name = name
        self.target: tuple[str, int] | None = None
        self.at = (listen, 0)
        self._link_names = sources  # link names by the dialling balancer's address
        self._server: asyncio.Server | None = None
        for source, link in sources.items():
            relays.links[link] = Link(relays, link, "", source, False, self)

    async def update_listener(self) -> None:
        if self._server is None:
            self._server = await self.relays.worker.loop.create_server(
                lambda: UnassignedConnection(self), *self.at, backlog=BACKLOG
            )
            self.at = self._server.sockets[0].getsockname()

    def link_from(self, source: str) -> Link | None:
        name = self._link_names.get(source)
        return self.relays.links[name] if name else None


class UnassignedConnection(asyncio.Protocol):
    """A connection to a shared listener, until its link is known from the peer's address."""

    def __init__(self, shared_listener: SharedListener) -> None:
        self._listener = shared_listener

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        link = self._listener.link_from(transport.get_extra_info("peername")[0])
        if link is None:
            transport.close()
            return
        connection = link.accept()
        transport.set_protocol(connection.client_end)
        connection.client_end.connection_made(transport)


class Relays:
    """All links of one relay process."""

    def __init__(self, worker: Worker, setup: dict[str, Any]) -> None:
        self.worker = worker
        self.connecting: set[asyncio.Task[None]] = set()
        self.watches: list[Watch] = []
        self.links = {
            spec["name"]: Link(self, spec["name"], spec["listen"], spec["source"], spec["reads"])
            for spec in setup["links"]
        }
        self.hubs = {
            spec["name"]: SharedListener(self, spec["name"], spec["listen"], spec["sources"])
            for spec in setup.get("hubs", ())
        }
        self._draw = Random(worker.seed)
        self._paused_links: dict[int, Link] = {}

    async def begin(self) -> None:
        for link in self.links.values():
            await link.update_listener()
        for shared_listener in self.hubs.values():
            await shared_listener.update_listener()
        self.worker.notify(
            "linked",
            at={name: link.at for name, link in self.links.items() if not link.shared_listener},
            hubs={name: shared_listener.at for name, shared_listener in self.hubs.items()},
        )

    async def execute(self, order: dict[str, Any]) -> None:
        do = order["do"]
        if do == "targets":
            for name, at in order["at"].items():
                if name in self.hubs:
                    self.hubs[name].target = tuple(at) if at else None
                    continue
                link = self.links[name]
                link.target = tuple(at) if at else None
                await link.update_listener()
            self.worker.notify("done", order=order["order"])
        elif do == "fault":
            for name in order["links"]:
                await self.links[name].apply_fault(order, self._draw)
            self.worker.notify("done", order=order["order"])
        elif do == "watch":
            self.watches.append(msgspec.convert(order["watch"], Watch))
        elif do == "go":
            link = self._paused_links.pop(order["number"])
            for direction in (TO_SERVER, TO_CLIENT):
                link.hold_counts[direction] -= 1
            for connection in list(link.connections):
                connection.flush(TO_SERVER)
                connection.flush(TO_CLIENT)

    def on_observed(self, link: Link, what: str, prefix: str) -> None:
        """Count an event for the watches; when one triggers, hold the link until its fault has started."""
        for watch in self.watches:
            if watch.seen == what and fnmatchcase(link.name, watch.link) and watch.prefix in ("", prefix):
                watch.remaining -= 1
                if not watch.remaining:
                    self.watches.remove(watch)
                    self._paused_links[watch.number] = link
                    for direction in (TO_SERVER, TO_CLIENT):
                        link.hold_counts[direction] += 1
                    self.worker.notify("seen", number=watch.number, link=link.name, at=self.worker.clock.now)
                    return

    async def end(self) -> None:
        for link in self.links.values():
            for connection in list(link.connections):
                connection.reset_both()


def make(worker: Worker, setup: dict[str, Any]) -> Relays:
    return Relays(worker, setup)
