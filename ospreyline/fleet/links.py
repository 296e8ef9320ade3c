"""Links between balancers over TCP: frames in and out, with bounded queues. No decisions are made here.

One connection per pair. Each side sends a hello first; a hello of another bank or for another name closes the
link, and so do invalid bytes. The send queue is bounded: the oldest message of the same type is dropped
first. A peer that does not read costs that much memory and nothing else.
"""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable
from typing import Any, cast

from ospreyline.fleet.frames import Entry, FrameError, Hello, Message, Reader, encode

MAX_QUEUED_BYTES = 1 << 18  # in the send queue of one link
MAX_UNFINISHED_BYTES = 16 << 20  # of messages of which the rest has not come, on all links together
MAX_LINKS = 256  # dialled and accepted together
MAX_RECEIVE_BYTES_PER_S = 4 << 20  # on one link
HELLO_TIMEOUT_S = 2.0
SILENCE_TIMEOUT_S = 10.0  # without a byte received, after which a link is closed
DIAL_TIMEOUT_S = 1.0
# in a hello: to whichever member is at the address; a link dialled by address alone is named "@host:port"
ANY_NAME = "@"


class Link(asyncio.Protocol):
    """One connection to a member, or to a peer that has not yet said hello."""

    def __init__(self, links: Links, dialled: str = "") -> None:
        self.links = links
        self.name = dialled
        self.dialled = bool(dialled)
        self.greeted = False
        self.peer_start = 0  # start of the process at the other end, Unix time in ms
        self.transport: Any = None
        self.last_received = links.loop.time()
        self.last_used = self.last_received
        self._reader = Reader()
        self._send_queue: deque[tuple[type, bytes]] = deque()
        self._queued_bytes = 0
        self._paused = False
        self.unfinished_bytes = 0  # of the message that is being received
        self._rate_window_start, self._rate_window_bytes = 0.0, 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.links.open[self] = None
        if len(self.links.open) > self.links.max_links:
            self.close("too many links")
        elif self.dialled:
            to = ANY_NAME if self.name.startswith(ANY_NAME) else self.name
            self.write(Hello(bank=self.links.bank, sender=self.links.own_entry(), to=to))

    def data_received(self, data: bytes) -> None:
        now = self.last_received = self.links.loop.time()
        self.links.bytes_in += len(data)
        if now - self._rate_window_start > 1.0:
            self._rate_window_start, self._rate_window_bytes = now, 0
        self._rate_window_bytes += len(data)
        if self._rate_window_bytes > MAX_RECEIVE_BYTES_PER_S:
            return self.close("receive rate limit exceeded")
        try:
            messages = self._reader.feed(data)
        except FrameError as error:
            return self.close(str(error))
        self.links.count_unfinished(self, self._reader.unfinished_bytes)
        for message in messages:
            if self.transport is None:
                return
            if self.greeted:
                self.last_used = now
                self.links.on_message(self.name, message)
            else:
                self._hello(message)

    def _hello(self, message: Message) -> None:
        if not isinstance(message, Hello):
            return self.close("first message is not a hello")
        me = self.links.own_entry()
        if message.bank != self.links.bank:
            return self.close(f"hello of another bank, {message.bank[:40]!r}")
        if message.sender.name == me.name:
            if message.sender.start == me.start and self.name.startswith(ANY_NAME):
                return self.close("")  # a candidate address was our own
            self.links.on_name_conflict(message.sender)
            return self.close("peer has our own name")
        if self.dialled and message.sender.name != self.name and not self.name.startswith(ANY_NAME):
            return self.close(f"dialled member answered as {message.sender.name[:40]!r}")
        if not self.dialled:
            if message.to not in (me.name, ANY_NAME):
                return self.close(f"hello addressed to {message.to[:40]!r}")
            self.write(Hello(bank=self.links.bank, sender=me, to=""))
        dialled_as, self.name = self.name, message.sender.name
        self.greeted = True
        self.links.hello_received(self, message.sender, dialled_as)

    def write(self, message: Message) -> None:
        """Sends or queues a message; a full queue drops the oldest of its type, else the oldest of all."""
        frame = encode(message)
        self.links.bytes_out += len(frame)
        if self.transport is None:
            return
        if not self._paused and not self._send_queue:
            self.transport.write(frame)
            return
        kind = type(message)
        self._send_queue.append((kind, frame))
        self._queued_bytes += len(frame)
        while self._queued_bytes > MAX_QUEUED_BYTES:
            place = next((i for i, (k, _) in enumerate(self._send_queue) if k is kind), 0)
            self._queued_bytes -= len(self._send_queue[place][1])
            del self._send_queue[place]
            self.links.dropped += 1

    def pause_writing(self) -> None:
        self._paused = True

    def resume_writing(self) -> None:
        self._paused = False
        while self._send_queue and not self._paused and self.transport is not None:
            _, frame = self._send_queue.popleft()
            self._queued_bytes -= len(frame)
            self.transport.write(frame)

    def close(self, why: str) -> None:
        transport, self.transport = self.transport, None
        if transport is not None:
            transport.abort()
        self.links.link_ended(self, why)

    def connection_lost(self, exc: Exception | None) -> None:
        self.transport = None
        self.links.link_ended(self, str(exc or "closed"))


class Links:
    """All links of one balancer; received messages and link events go to the given callbacks."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        bank: str,
        log: Any,
        own_entry: Callable[[], Entry],
        on_hello: Callable[[Entry, bool], None],
        on_message: Callable[[str, Message], None],
        on_lost: Callable[[str], None],
        on_name_conflict: Callable[[Entry], None],
        max_links: int = MAX_LINKS,
        on_dial_failed: Callable[[str], None] | None = None,
    ) -> None:
        """`own_entry` returns our current entry. Callbacks: `on_hello(entry, accepted)`, `accepted` if the
        peer dialled us; `on_message(name, message)`; `on_lost(name)`; `on_name_conflict(entry)` if a peer has
        our name; `on_dial_failed(name)`."""
        self.loop = loop
        self.bank = bank
        self.own_entry = own_entry
        self.on_message = on_message
        self.on_name_conflict = on_name_conflict
        self.open: dict[Link, None] = {}
        self.by_name: dict[str, Link] = {}
        self.dropped = self.refused = 0
        self.bytes_in = self.bytes_out = 0
        self.unfinished_bytes = 0  # on all links together
        self.max_links = max_links
        self._on_dial_failed = on_dial_failed
        self._log = log
        self._on_hello = on_hello
        self._on_lost = on_lost
        self._dials: dict[str, asyncio.Task[None]] = {}
        self._queued_for_dial: dict[str, list[Message]] = {}  # by name
        self._server: asyncio.Server | None = None
        self._local_address: tuple[str, int] | None = None  # dials come from the address that we listen on
        self._reason_logged_at: dict[str, float] = {}  # in s, by reason of a refused link

    async def listen(self, at: tuple[str, int]) -> tuple[str, int]:
        """Accepts links at an address; returns the one that was bound. `OSError` if that fails."""
        self._server = await self.loop.create_server(lambda: Link(self), *at, reuse_address=True, backlog=256)
        if at[0] not in ("0.0.0.0", "::"):
            self._local_address = (at[0], 0)
        found: tuple[str, int] = self._server.sockets[0].getsockname()[:2]
        return found

    def send(self, name: str, at: tuple[str, int] | None, message: Message) -> None:
        """Sends over the link to a member, or dials `at` for it; drops the message if neither is possible."""
        link = self.by_name.get(name)
        if link is not None:
            link.last_used = self.loop.time()
            link.write(message)
        elif at is not None and len(self.open) < self.max_links:
            queued = self._queued_for_dial.setdefault(name, [])
            if len(queued) < 16:  # bounds the memory for a member that cannot be reached
                queued.append(message)
            if name not in self._dials:
                self._dials[name] = self.loop.create_task(self._dial(name, at))

    async def _dial(self, name: str, at: tuple[str, int]) -> None:
        link = Link(self, name)
        try:
            async with asyncio.timeout(DIAL_TIMEOUT_S):
                await self.loop.create_connection(lambda: link, *at, local_addr=self._local_address)
        except (OSError, TimeoutError):
            self._queued_for_dial.pop(name, None)
            # a stalled loop can time out on a connection that is already up; nothing else would close it
            if link.transport is not None:
                link.close("")
            if self._on_dial_failed is not None:
                self._on_dial_failed(name)
        finally:
            self._dials.pop(name, None)

    def hello_received(self, link: Link, entry: Entry, dialled_as: str = "") -> None:
        """The peer has said hello. Of two links of a pair the one dialled by the lesser name stays.
        `dialled_as`: the name, or "@host:port", that we dialled; empty if the peer dialled us."""
        link.peer_start = entry.start
        old = self.by_name.get(link.name)
        if old is not None and old is not link:
            we_dial = self.own_entry().name < link.name  # of the pair it is our link that stays
            # the old link may be to the process before a restart, with its end not yet seen: drop that one
            if old.peer_start == link.peer_start and link.dialled != we_dial and old.dialled == we_dial:
                return link.close("")
            old.close("")
        self.by_name[link.name] = link
        self._on_hello(entry, not link.dialled)
        for name in {link.name: 0, dialled_as: 0}:
            for message in self._queued_for_dial.pop(name, []):
                link.write(message)

    def count_unfinished(self, link: Link, count: int) -> None:
        """`link` holds `count` bytes of an unfinished message; above the limit the largest is closed."""
        self.unfinished_bytes += count - link.unfinished_bytes
        link.unfinished_bytes = count
        while self.unfinished_bytes > MAX_UNFINISHED_BYTES:
            max(self.open, key=lambda other: other.unfinished_bytes).close("no memory for its message")

    def link_ended(self, link: Link, why: str) -> None:
        """Removes a link; logs a reason if it ended before its hello."""
        self.unfinished_bytes -= link.unfinished_bytes
        link.unfinished_bytes = 0
        if self.open.pop(link, self) is self:
            return
        if why and not link.greeted:
            self.refused += 1
            # a peer that dials all the time must not fill the log
            if (
                self.loop.time() - self._reason_logged_at.get(why, -60.0) > 10.0
                and len(self._reason_logged_at) < 256
            ):
                self._reason_logged_at[why] = self.loop.time()
                self._log.warning("link to a balancer refused", peer=link.name, why=why)
        if self.by_name.get(link.name) is link:
            del self.by_name[link.name]
            self._on_lost(link.name)

    def run_maintenance(self, wanted: set[str], idle: float) -> None:
        """Closes links that received nothing for too long or no hello in time, and those not in `wanted` that
        carried nothing for `idle` s."""
        now = self.loop.time()
        for link in list(self.open):
            if now - link.last_received > (SILENCE_TIMEOUT_S if link.greeted else HELLO_TIMEOUT_S):
                link.close("no data received")
            elif link.greeted and link.name not in wanted and now - link.last_used > idle:
                link.close("idle")

    def close(self) -> None:
        if self._server is not None:
            self._server.close()
            self._server = None
        for task in self._dials.values():
            task.cancel()
        for link in list(self.open):
            link.close("")
