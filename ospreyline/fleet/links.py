"""Links between balancers on sockets: frames in and out, bounded. It decides nothing.

One connection a pair. Each side says hello first; a foreign bank, a wrong name or an unreadable byte ends the
link. What waits unsent is bounded: the oldest of the same kind goes first. A peer that does not read costs
that much memory and nothing else.
"""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable
from typing import Any, cast

from ospreyline.fleet.frames import Entry, FrameError, Hello, Message, Reader, encode

MOST_UNSENT = 1 << 18  # bytes that wait for one link
MOST_LINKS = 256  # of both kinds, all together
MOST_RATE = 4 << 20  # bytes a second that are taken from one link
GREET = 2.0  # s in which a hello has to come
QUIET = 10.0  # s without a byte after which a link is dead
DIAL = 1.0  # s in which a connection has to come up
ANYBODY = "@"  # whoever is at an address, in place of a name; before it, in the name of what is dialled so


class Link(asyncio.Protocol):
    """One connection to a member, or to who has yet to say that it is one."""

    def __init__(self, links: Links, dialled: str = "") -> None:
        self.links = links
        self.name = dialled
        self.dialled = bool(dialled)
        self.greeted = False
        self.start = 0  # of the process at its other end
        self.transport: Any = None
        self.heard = links.loop.time()
        self.used = self.heard
        self._reader = Reader()
        self._waiting: deque[tuple[type, bytes]] = deque()
        self._bytes = 0
        self._paused = False
        self._second, self._taken = 0.0, 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.links.open[self] = None
        if len(self.links.open) > self.links.most:
            self.close("too many links")
        elif self.dialled:
            to = ANYBODY if self.name.startswith(ANYBODY) else self.name
            self.write(Hello(bank=self.links.bank, sender=self.links.me(), to=to))

    def data_received(self, data: bytes) -> None:
        now = self.heard = self.links.loop.time()
        self.links.bytes_in += len(data)
        if now - self._second > 1.0:
            self._second, self._taken = now, 0
        self._taken += len(data)
        if self._taken > MOST_RATE:
            return self.close("more than a balancer has to say")
        try:
            messages = self._reader.feed(data)
        except FrameError as error:
            return self.close(str(error))
        for message in messages:
            if self.transport is None:
                return
            if self.greeted:
                self.used = now
                self.links.heard(self.name, message)
            else:
                self._hello(message)

    def _hello(self, message: Message) -> None:
        if not isinstance(message, Hello):
            return self.close("no hello")
        me = self.links.me()
        if message.bank != self.links.bank:
            return self.close(f"of another bank, {message.bank[:40]!r}")
        if message.sender.name == me.name:
            if message.sender.start == me.start and self.name.startswith(ANYBODY):
                return self.close("")  # an address of our own, among those that are watched
            self.links.namesake(message.sender)
            return self.close("under our own name")
        if self.dialled and message.sender.name != self.name and not self.name.startswith(ANYBODY):
            return self.close(f"another member than was dialled, {message.sender.name[:40]!r}")
        if not self.dialled:
            if message.to not in (me.name, ANYBODY):
                return self.close(f"dialled for {message.to[:40]!r}")
            self.write(Hello(bank=self.links.bank, sender=me, to=""))
        called, self.name = self.name, message.sender.name
        self.greeted = True
        self.links.greeted(self, message.sender, called)

    def write(self, message: Message) -> None:
        """Send, or let it wait; beyond the bound the oldest of its kind goes, then the oldest of all."""
        frame = encode(message)
        self.links.bytes_out += len(frame)
        if self.transport is None:
            return
        if not self._paused and not self._waiting:
            self.transport.write(frame)
            return
        kind = type(message)
        self._waiting.append((kind, frame))
        self._bytes += len(frame)
        while self._bytes > MOST_UNSENT:
            place = next((i for i, (k, _) in enumerate(self._waiting) if k is kind), 0)
            self._bytes -= len(self._waiting[place][1])
            del self._waiting[place]
            self.links.dropped += 1

    def pause_writing(self) -> None:
        self._paused = True

    def resume_writing(self) -> None:
        self._paused = False
        while self._waiting and not self._paused and self.transport is not None:
            _, frame = self._waiting.popleft()
            self._bytes -= len(frame)
            self.transport.write(frame)

    def close(self, why: str) -> None:
        transport, self.transport = self.transport, None
        if transport is not None:
            transport.abort()
        self.links.ended(self, why)

    def connection_lost(self, exc: Exception | None) -> None:
        self.transport = None
        self.links.ended(self, str(exc or "closed"))


class Links:
    """All links of one balancer; what comes on them goes to the calls that it was given."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        bank: str,
        log: Any,
        me: Callable[[], Entry],
        greeted: Callable[[Entry, bool], None],
        heard: Callable[[str, Message], None],
        lost: Callable[[str], None],
        namesake: Callable[[Entry], None],
        most: int = MOST_LINKS,
        undialled: Callable[[str], None] | None = None,
    ) -> None:
        """`most` links at once; `undialled` is told of one that did not come up."""
        self.loop = loop
        self.bank = bank
        self.me = me
        self.heard = heard
        self.namesake = namesake
        self.open: dict[Link, None] = {}
        self.by_name: dict[str, Link] = {}
        self.dropped = self.refused = 0
        self.bytes_in = self.bytes_out = 0
        self.most = most
        self._undialled = undialled
        self._log = log
        self._greeted = greeted
        self._lost = lost
        self._dials: dict[str, asyncio.Task[None]] = {}
        self._first: dict[str, list[Message]] = {}  # what waits for a link that is being dialled
        self._server: asyncio.Server | None = None
        self._from: tuple[str, int] | None = None  # who dials does so from the address that it listens on
        self._said: dict[str, float] = {}  # reasons for ends, and when they were last logged

    async def listen(self, at: tuple[str, int]) -> tuple[str, int]:
        self._server = await self.loop.create_server(lambda: Link(self), *at, reuse_address=True, backlog=256)
        if at[0] not in ("0.0.0.0", "::"):
            self._from = (at[0], 0)
        found: tuple[str, int] = self._server.sockets[0].getsockname()[:2]
        return found

    def send(self, name: str, at: tuple[str, int] | None, message: Message) -> None:
        """Send to a member, over its link or one that is opened for it."""
        link = self.by_name.get(name)
        if link is not None:
            link.used = self.loop.time()
            link.write(message)
        elif at is not None and len(self.open) < self.most:
            waiting = self._first.setdefault(name, [])
            if len(waiting) < 16:  # guards: to one that does not come up little is kept
                waiting.append(message)
            if name not in self._dials:
                self._dials[name] = self.loop.create_task(self._dial(name, at))

    async def _dial(self, name: str, at: tuple[str, int]) -> None:
        link = Link(self, name)
        try:
            async with asyncio.timeout(DIAL):
                await self.loop.create_connection(lambda: link, *at, local_addr=self._from)
        except (OSError, TimeoutError):
            self._first.pop(name, None)
            # guards: a loop that was late gives up a connection that has come up, and nobody tells its end
            if link.transport is not None:
                link.close("")
            if self._undialled is not None:
                self._undialled(name)
        finally:
            self._dials.pop(name, None)

    def greeted(self, link: Link, entry: Entry, called: str = "") -> None:
        """The other side has said who it is. Of a pair's links the one that the lesser name dialled stays.
        `called`: what we dialled, a name or an address."""
        link.start = entry.start
        old = self.by_name.get(link.name)
        if old is not None and old is not link:
            ours = self.me().name < link.name  # who of the two is to have dialled
            # guards: the link of a process before may not have shown its end yet
            if old.start == link.start and link.dialled != ours and old.dialled == ours:
                return link.close("")
            old.close("")
        self.by_name[link.name] = link
        self._greeted(entry, not link.dialled)
        for name in {link.name: 0, called: 0}:
            for message in self._first.pop(name, []):
                link.write(message)

    def ended(self, link: Link, why: str) -> None:
        if self.open.pop(link, self) is self:
            return
        if why and not link.greeted:
            self.refused += 1
            # guards: whoever knocks all the time fills no log
            if self.loop.time() - self._said.get(why, -60.0) > 10.0 and len(self._said) < 256:
                self._said[why] = self.loop.time()
                self._log.warning("link to a balancer refused", peer=link.name, why=why)
        if self.by_name.get(link.name) is link:
            del self.by_name[link.name]
            self._lost(link.name)

    def tidy(self, wanted: set[str], idle: float) -> None:
        """Close what has been silent, what never said hello, and what nobody needs."""
        now = self.loop.time()
        for link in list(self.open):
            if now - link.heard > (QUIET if link.greeted else GREET):
                link.close("silent")
            elif link.greeted and link.name not in wanted and now - link.used > idle:
                link.close("idle")

    def close(self) -> None:
        if self._server is not None:
            self._server.close()
            self._server = None
        for task in self._dials.values():
            task.cancel()
        for link in list(self.open):
            link.close("")
