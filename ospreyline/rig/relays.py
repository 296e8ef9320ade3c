"""Links as relays: each passes what comes between two processes, and can be broken by itself.

How a fault looks is that of a network. What a cut loses is sent again by TCP when the cut heals, so held
bytes are passed on then, unless the connection is among those that are reset. While a link is cut, new
connections never come up: its listener stands with a full backlog, which the relay fills itself. A link
whose target is not there refuses as a machine without that process does.
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

from ospreyline.rig.wire import Asked, Reading
from ospreyline.rig.worker import Worker

TO, FROM = 0, 1  # the two ways of a link: towards the server, and back
WAYS = {"both": (TO, FROM), "to": (TO,), "from": (FROM,)}
MOST_HELD = 1 << 18  # bytes held for one way of a connection, then it is read no more
BACKLOG = 512
LINGER = struct.pack("ii", 1, 0)  # a close is a reset


class Watch(msgspec.Struct):
    """A fault that waits for something on the wire."""

    number: int
    seen: str
    link: str
    prefix: str
    left: int  # how many more of them


def _was_reset(transport: asyncio.Transport) -> bool:
    """Whether an error is pending on a connection whose end has been read."""
    look = select.poll()
    look.register(transport.get_extra_info("socket").fileno(), 0)
    return any(events & select.POLLERR for _, events in look.poll(0))


class Side(asyncio.Protocol):
    """One end of a connection through a link; `way` is where its bytes go."""

    def __init__(self, pair: Pair, way: int) -> None:
        self.pair = pair
        self.way = way
        self.transport: asyncio.Transport | None = None
        self.reset = False  # by its other end, though that was told as an end in order

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport) or hasattr(transport, "write")
        self.transport = transport  # type: ignore[assignment]
        self.pair.up(self)

    def data_received(self, data: bytes) -> None:
        self.pair.came(self.way, data)

    def eof_received(self) -> bool:
        # guards: the loop library takes a reset that comes right behind bytes for an end in order
        self.reset = self.transport is not None and _was_reset(self.transport)
        if self.reset:
            return False
        self.pair.came(self.way, None)
        return True  # the other way may go on

    def connection_lost(self, exc: Exception | None) -> None:
        self.transport = None
        self.pair.lost(self.way, exc is not None or self.reset)

    def pause_writing(self) -> None:
        self.pair.pause(self.way, True)

    def resume_writing(self) -> None:
        self.pair.pause(self.way, False)


class Pair:
    """One connection through a link."""

    def __init__(self, link: Link) -> None:
        self.link = link
        self.reading = Reading() if link.reads else None
        self.near = Side(self, TO)  # of who connected; its bytes go to the server
        self.far = Side(self, FROM)
        self.held: tuple[deque[bytes | None], deque[bytes | None]] = (deque(), deque())
        self.waits = [0, 0]  # bytes held
        self.passed = [0, 0]  # bytes passed on
        self.ended = [False, False]  # a side closed while that could not be told
        self.eofs = [False, False]  # by way: the end of sending was passed on
        self.stuck = [False, False]  # by way: a piece was too large for the link
        self.late = [0, 0]  # by way: pieces on a slow link
        self.ender = ""  # how the first side ended it
        self._found: list[tuple[str, str]] = []
        self.out: list[Asked] = []  # requests without an answer
        self.over = False
        link.pairs[self] = None

    def up(self, side: Side) -> None:
        if self.over:
            self._reset(side)  # it was reset before this side had come up
        elif side is self.far:
            self.flush(TO)

    def came(self, way: int, data: bytes | None) -> None:
        """Bytes for the other side, or (None) the end of its sending."""
        if self.over:
            return
        link = self.link
        link.owner.worker.clock.tick()
        if data is not None:
            self._read(way, data)
        else:
            self._ends("gone" if way == TO else "closed")
        if data is not None and 0 < link.narrow < len(data):
            self.stuck[way] = True
        if not link.passes(way) or self.held[way] or not self._there(way) or self.stuck[way]:
            self.held[way].append(data)
            self.waits[way] += len(data or b"")
            if self.waits[way] > MOST_HELD:
                self._pause(way, True)
        else:
            self._pass(way, data)
        self._seen(way)

    def _read(self, way: int, data: bytes) -> None:
        if self.reading is None:
            return
        now, link = self.link.owner.worker.clock.now, self.link
        if way == TO:
            for asked in self.reading.sent(now, data):
                self.out.append(asked)
                self._found.append(("request", asked.prefix))
                link.row("asked", id=asked.id, prefix=asked.prefix, first=round(asked.first, 3))
        else:
            for answered in self.reading.came(now, data):
                if self.out:
                    asked = self.out.pop(0)
                    self._found.append(("answer", asked.prefix))
                    link.row("answered", id=asked.id, status=answered.status, never=answered.never_ran)

    def _seen(self, way: int) -> None:
        """Whatever a fault waits for may just have been passed on."""
        if self.reading is not None and self.link.owner.watches:
            for what, prefix in self._found:
                self.link.owner.seen(self.link, what, prefix)
            self._found = []

    def _there(self, way: int) -> bool:
        side = self.far if way == TO else self.near
        return side.transport is not None

    def _pass(self, way: int, data: bytes | None) -> None:
        link = self.link
        if link.delay or self.late[way]:
            self.late[way] += 1
            link.owner.worker.clock.after(link.delay, self._arrive, way, data)
            return
        self._write(way, data)

    def _arrive(self, way: int, data: bytes | None) -> None:
        self.late[way] -= 1
        self._write(way, data)

    def _write(self, way: int, data: bytes | None) -> None:
        side = self.far if way == TO else self.near
        if self.over or side.transport is None:
            return
        if data is None:
            self.eofs[way] = True
            if self.eofs[1 - way]:
                self._close()
            else:
                side.transport.write_eof()
            return
        cut = self.link.cut_at[way]
        if cut and self.passed[way] + len(data) >= cut:
            # what comes before the byte is on the wire before the reset
            side.transport.write(data[: cut - self.passed[way]])
            self.passed[way] = cut
            self.link.owner.worker.clock.after(2.0, self.reset)
            return
        self.passed[way] += len(data)
        side.transport.write(data)

    def flush(self, way: int) -> None:
        """What was held goes on, if the link passes it."""
        held = self.held[way]
        if self.stuck[way]:
            return
        while held and self.link.passes(way) and self._there(way):
            data = held.popleft()
            self.waits[way] -= len(data or b"")
            self._pass(way, data)
        if not held:
            self._pause(way, False)
            if self.ended[way] and self.link.passes(way):
                self._close()

    def pause(self, way: int, on: bool) -> None:
        """The side that `way` comes from cannot be written: what goes to it is read no more."""
        self._pause(FROM if way == TO else TO, on)

    def _pause(self, way: int, on: bool) -> None:
        side = self.near if way == TO else self.far
        if side.transport is not None and not side.transport.is_closing():
            if on:
                side.transport.pause_reading()
            else:
                side.transport.resume_reading()

    def lost(self, way: int, broken: bool) -> None:
        """A side has closed; the other one is told if the link passes that, and when."""
        if self.over:
            return
        self._ends("gone" if way == TO else "broken" if broken else "closed")
        if not self.link.passes(way) or self.held[way] or self.stuck[way]:
            self.ended[way] = True
        elif self.link.delay or self.late[way]:
            self.link.owner.worker.clock.after(self.link.delay, self._close)
        else:
            self._close()

    def _ends(self, how: str) -> None:
        """A side has ended it: what who asked gave up is over, even while the other side cannot be told."""
        self.ender = self.ender or how
        if how == "gone":
            self._give_up(how)

    def _give_up(self, how: str) -> None:
        for asked in self.out:
            self.link.row("unanswered", id=asked.id, how=how)
        self.out.clear()

    def _close(self) -> None:
        """Both sides end: in order, or by a reset where the server reset it and the link passes that on."""
        self._over(self.ender)
        if self.ender == "broken" and not self.link.resets_end_in_order:
            # guards: passed on as an end in order, a reset would hide that something can be lost
            self._reset(self.near)
        for side in (self.near, self.far):
            if side.transport is not None:
                side.transport.close()

    def reset(self) -> None:
        """Both sides get a reset."""
        self._over("reset")
        for side in (self.near, self.far):
            self._reset(side)

    def _reset(self, side: Side) -> None:
        if side.transport is not None:
            sock = side.transport.get_extra_info("socket")
            if sock is not None:
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER)
            side.transport.abort()

    def _over(self, how: str) -> None:
        if self.over:
            return
        self.over = True
        self.link.pairs.pop(self, None)
        self._give_up(how)
        self.held[0].clear()
        self.held[1].clear()

    def half_close(self, way: int) -> None:
        side = self.far if way == TO else self.near
        if side.transport is not None and not side.transport.is_closing():
            side.transport.write_eof()


class Link:
    """One link: a listener, where it leads, and how it is broken."""

    def __init__(
        self, owner: Relays, name: str, listen: str, source: str, reads: bool, hub: Hub | None = None
    ) -> None:
        self.owner = owner
        self.hub = hub  # whose listener it shares
        self.name = name
        self.source = source  # the address that the server sees
        self.target: tuple[str, int] | None = None
        self.reads = reads
        self.pairs: dict[Pair, None] = {}
        self.holds = [0, 0]  # by way: faults that hold it
        self.delay = 0.0
        self.narrow = 0
        self.cut_at = [0, 0]
        self.resets = self.refuses = self.vanished = 0  # faults that do
        self.resets_end_in_order = 0  # likewise
        self._state = ""
        self._socket: socket.socket | None = None
        self._server: asyncio.Server | None = None
        self._fillers: list[socket.socket] = []
        self.at = (listen, 0)

    def row(self, kind: str, /, **values: Any) -> None:
        self.owner.worker.row(kind, link=self.name, **values)

    def passes(self, way: int) -> bool:
        return not self.holds[way]

    async def stand(self) -> None:
        """Make the listener what the faults that are on ask for."""
        if self.hub is not None:
            return
        wanted = "refuse" if self.refuses or self.target is None else "vanish" if self.vanished else "listen"
        if wanted == self._state:
            return
        self._state = wanted
        await self._unbind()
        if self._state != wanted:
            return  # changed meanwhile
        self._socket = socket.socket()
        self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._socket.setblocking(False)
        self._socket.bind(self.at)
        self.at = self._socket.getsockname()
        if wanted == "listen":
            self._server = await self.owner.worker.loop.create_server(
                self._accepted, sock=self._socket, backlog=BACKLOG
            )
        elif wanted == "vanish":
            # guards: a listener that accepts and says nothing is no vanished machine. With its backlog full
            # a new connection stays in its first step
            self._socket.listen(0)
            for _ in range(2):
                filler = socket.socket()
                filler.setblocking(False)
                filler.connect_ex(self.at)
                self._fillers.append(filler)

    async def _unbind(self) -> None:
        for filler in self._fillers:
            filler.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER)
            filler.close()
        self._fillers.clear()
        if self._server is not None:
            self._server.close()
            self._server = None
        if self._socket is not None:
            self._socket.close()
            self._socket = None
            await asyncio.sleep(0)  # the loop closes a listener in its next pass

    def _accepted(self) -> asyncio.Protocol:
        return self.accept().near

    def accept(self) -> Pair:
        """A new connection through this link."""
        pair = Pair(self)
        self.owner.worker.clock.tick()
        self.row("opened")
        if self.resets or (self.hub is not None and self.refuses):
            self.owner.worker.loop.call_soon(pair.reset)
        else:
            self.owner.opening.add(task := self.owner.worker.loop.create_task(self._reach(pair)))
            task.add_done_callback(self.owner.opening.discard)
        return pair

    async def _reach(self, pair: Pair) -> None:
        target = self.hub.target if self.hub is not None else self.target
        if target is None:
            return pair.reset()
        try:
            await self.owner.worker.loop.create_connection(
                lambda: pair.far, *target, local_addr=(self.source, 0)
            )
        except OSError:
            pair.reset()
        else:
            self.owner.worker.clock.tick()
            self.row("reached")
            self.owner.seen(self, "connection", "")

    async def fault(self, order: dict[str, Any], draw: Random) -> None:
        """Put a fault on the link or take it off (`on` is 1 or -1)."""
        kind, on, ways = order["kind"], order["on"], WAYS[order["way"]]
        if kind in ("drop", "stall", "vanish"):
            for way in (TO, FROM) if kind == "vanish" else ways:
                self.holds[way] += on
            if kind != "stall":
                self.vanished += on
            if on < 0:
                share = 1.0 if kind == "vanish" else order["extra"] if kind == "drop" else 0.0
                for pair in list(self.pairs):
                    if share and draw.random() < share:
                        pair.reset()
                    else:
                        pair.flush(TO)
                        pair.flush(FROM)
        elif kind == "narrow":
            self.narrow = int(order["size"]) if on > 0 else 0
            for pair in list(self.pairs) if on < 0 else ():
                pair.stuck = [False, False]
                pair.flush(TO)
                pair.flush(FROM)
        elif kind == "slow-link":
            self.delay = max(0.0, self.delay + on * order["size"])
        elif kind == "cut-at":
            for way in ways:
                self.cut_at[way] = int(order["size"]) if on > 0 else 0
        elif kind == "reset":
            self.resets += on
            if on > 0:
                for pair in list(self.pairs):
                    pair.reset()
        elif kind == "refuse":
            self.refuses += on
        elif kind == "fin-for-reset":
            self.resets_end_in_order += on
        elif kind == "half-close" and on > 0:
            for pair in list(self.pairs):
                for way in ways:
                    pair.half_close(way)
        await self.stand()


class Hub:
    """The address at which others reach one balancer: a listener for the links of all who dial it."""

    def __init__(self, owner: Relays, name: str, listen: str, sources: dict[str, str]) -> None:
        self.owner = owner
        self.name = name
        self.target: tuple[str, int] | None = None
        self.at = (listen, 0)
        self._sources = sources  # link by the address that is dialled from
        self._server: asyncio.Server | None = None
        for source, link in sources.items():
            owner.links[link] = Link(owner, link, "", source, False, self)

    async def stand(self) -> None:
        if self._server is None:
            self._server = await self.owner.worker.loop.create_server(
                lambda: Knock(self), *self.at, backlog=BACKLOG
            )
            self.at = self._server.sockets[0].getsockname()

    def link(self, source: str) -> Link | None:
        name = self._sources.get(source)
        return self.owner.links[name] if name else None


class Knock(asyncio.Protocol):
    """A connection to a hub, until it is known whose it is."""

    def __init__(self, hub: Hub) -> None:
        self._hub = hub

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        link = self._hub.link(transport.get_extra_info("peername")[0])
        if link is None:
            transport.close()
            return
        pair = link.accept()
        transport.set_protocol(pair.near)
        pair.near.connection_made(transport)


class Relays:
    """All links of one process."""

    def __init__(self, worker: Worker, setup: dict[str, Any]) -> None:
        self.worker = worker
        self.opening: set[asyncio.Task[None]] = set()
        self.watches: list[Watch] = []
        self.links = {
            one["name"]: Link(self, one["name"], one["listen"], one["source"], one["reads"])
            for one in setup["links"]
        }
        self.hubs = {
            one["name"]: Hub(self, one["name"], one["listen"], one["sources"])
            for one in setup.get("hubs", ())
        }
        self._draw = Random(worker.seed)
        self._stopped: dict[int, Link] = {}

    async def begin(self) -> None:
        for link in self.links.values():
            await link.stand()
        for hub in self.hubs.values():
            await hub.stand()
        self.worker.say(
            "linked",
            at={name: link.at for name, link in self.links.items() if not link.hub},
            hubs={name: hub.at for name, hub in self.hubs.items()},
        )

    async def told(self, order: dict[str, Any]) -> None:
        do = order["do"]
        if do == "targets":
            for name, at in order["at"].items():
                if name in self.hubs:
                    self.hubs[name].target = tuple(at) if at else None
                    continue
                link = self.links[name]
                link.target = tuple(at) if at else None
                await link.stand()
            self.worker.say("done", order=order["order"])
        elif do == "fault":
            for name in order["links"]:
                await self.links[name].fault(order, self._draw)
            self.worker.say("done", order=order["order"])
        elif do == "watch":
            self.watches.append(msgspec.convert(order["watch"], Watch))
        elif do == "go":
            link = self._stopped.pop(order["number"])
            for way in (TO, FROM):
                link.holds[way] -= 1
            for pair in list(link.pairs):
                pair.flush(TO)
                pair.flush(FROM)

    def seen(self, link: Link, what: str, prefix: str) -> None:
        """Something has just been passed on: the link stands still until the fault is carried out."""
        for watch in self.watches:
            if watch.seen == what and fnmatchcase(link.name, watch.link) and watch.prefix in ("", prefix):
                watch.left -= 1
                if not watch.left:
                    self.watches.remove(watch)
                    self._stopped[watch.number] = link
                    for way in (TO, FROM):
                        link.holds[way] += 1
                    self.worker.say("seen", number=watch.number, link=link.name, at=self.worker.clock.now)
                    return

    async def end(self) -> None:
        for link in self.links.values():
            for pair in list(link.pairs):
                pair.reset()


def make(worker: Worker, setup: dict[str, Any]) -> Relays:
    return Relays(worker, setup)
