"""The list of upstreams: asked for once, or watched; what comes is checked line by line.

When to ask is decided elsewhere. A call that fails, or a watch that ends or falls silent, is told once. A new
address is asked at once; the old one's watch is heard until the new one has said something.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass
from typing import Any, Protocol, cast

import httptools
import msgspec

from ospreyline import facts

QUIET = 3.0  # s without a byte after which a call is dead: an empty line is due every 2 s
MOST_LINE = 8 << 20


class _Listing(msgspec.Struct):
    rev: int
    targets: list[msgspec.Raw]
    all: bool = False


class Target(msgspec.Struct):
    """One line of the list, as discovery words it."""

    uid: str
    endpoint: str = ""
    az: str = ""
    pod_group: int | None = None
    state: str = "active"
    boot_ms: float = 0.0


@dataclass(slots=True, frozen=True)
class News:
    """A whole list, or what changed."""

    rev: int
    whole: bool
    targets: list[tuple[Target, tuple[str, int] | None]]


class Log(Protocol):
    def info(self, event: str, **values: Any) -> Any: ...
    def warning(self, event: str, **values: Any) -> Any: ...


_LISTING = msgspec.json.Decoder(_Listing, strict=False)
_TARGET = msgspec.json.Decoder(Target, strict=False)


def read(line: bytes, log: Log) -> News | None:
    """One object of the list; None if it cannot be read. A faulty entry is passed over alone."""
    try:
        listing = _LISTING.decode(line)
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        log.warning("unreadable list", error=str(error))
        return None
    targets = []
    for raw in listing.targets:
        try:
            target = _TARGET.decode(raw)
        except (msgspec.MsgspecError, UnicodeDecodeError) as error:
            log.warning("unreadable entry of the list", error=str(error))
            continue
        at = facts.address(target.endpoint)
        if at is None and target.state != "left":
            log.warning("entry of the list without an address", uid=target.uid, endpoint=target.endpoint)
        targets.append((target, at))
    return News(listing.rev, listing.all, targets)


class _Call(asyncio.Protocol):
    """One call: its lines are told as they come, its end once."""

    def __init__(self, owner: Discovery, watching: bool) -> None:
        self.owner = owner
        self.watching = watching
        self.transport: asyncio.Transport | None = None
        self.heard = owner.loop.time()
        self.over = False
        self.retry_after = 0.0  # ms; as it was told
        self._parser = httptools.HttpResponseParser(self)
        self._rest = bytearray()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        query = f"?watch=1&after={self.owner.rev}" if self.watching else ""
        host, port = self.owner.at
        self.transport.write(f"GET /registry/instances{query} HTTP/1.1\r\nHost: {host}:{port}\r\n"
                             "Accept: application/json\r\n\r\n".encode())

    def data_received(self, data: bytes) -> None:
        self.heard = self.owner.loop.time()
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError as error:
            self.stop(f"malformed: {error}")

    def on_header(self, name: bytes, value: bytes) -> None:
        if name.lower() == b"retry-after":
            with suppress(ValueError):  # a date: the pages give seconds
                self.retry_after = 1e3 * max(0.0, float(value))

    def on_headers_complete(self) -> None:
        if (status := self._parser.get_status_code()) != 200:
            self.stop(f"status {status}")

    def on_body(self, body: bytes) -> None:
        self._rest += body
        if self.watching:
            # lines may be split anywhere
            *lines, rest = self._rest.split(b"\n")
            self._rest = rest
            for line in lines:
                if not self.over:
                    self._told(bytes(line))
        if len(self._rest) > MOST_LINE:
            self.stop("a line without an end")

    def on_message_complete(self) -> None:
        if self._rest.strip() and not self.over:
            self._told(bytes(self._rest))
        self.stop("" if not self.watching else "the watch has ended")

    def connection_lost(self, exc: Exception | None) -> None:
        self.stop(str(exc or "connection closed"))

    def _told(self, line: bytes) -> None:
        if not line.strip():
            self.owner.told(self, None)
        elif (news := read(line, self.owner.log)) is not None:
            self.owner.told(self, news)
        else:
            # guards: a lost change would be news never told; asking again brings it
            self.stop("unreadable line")

    def stop(self, why: str) -> None:
        """The call is over; a reason says that it failed."""
        if self.over:
            return
        self.over = True
        if self.transport is not None:
            self.transport.abort()
        self.owner.ended(self, why)


class Discovery:
    """Calls to discovery: at most one watch, and calls for the whole list."""

    def __init__(self, loop: asyncio.AbstractEventLoop, at: tuple[str, int], rev: int, log: Log,
                 tell: Callable[[News], None], tell_failed: Callable[[float], None]) -> None:
        self.loop = loop
        self.at = at
        self.rev = rev
        self.log = log
        self._tell = tell
        self._tell_failed = tell_failed
        self._calls: dict[_Call, asyncio.Task[None]] = {}
        self._watch: _Call | None = None
        self._former: _Call | None = None  # the watch at the address before, until the new one has spoken
        self._moved = False  # and it has not yet

    def move(self, at: tuple[str, int]) -> None:
        """Discovery is elsewhere now. Nothing that is told meanwhile may be lost."""
        former = self._former or self._watch
        for call in [c for c in self._calls if c is not former]:
            self._drop(call)
        self.at, self._former, self._watch = at, former, None
        self._moved = True
        self.rev = 0  # guards: the new service may count otherwise, so it is asked for all that it has
        self.watch(True)

    @property
    def watching(self) -> bool:
        return self._watch is not None

    def watch(self, on: bool) -> None:
        """Watch the list from now on, by a new call, or no longer."""
        old, self._watch = self._watch, None
        if old is not None:
            self._drop(old)
        if on:
            self._watch = self._start(watching=True)

    def refresh(self) -> None:
        self._start(watching=False)

    def _start(self, watching: bool) -> _Call:
        call = _Call(self, watching)
        self._calls[call] = self.loop.create_task(self._open(call))
        return call

    async def _open(self, call: _Call) -> None:
        try:
            await self.loop.create_connection(lambda: call, *self.at)
        except OSError as error:
            call.stop(str(error))

    def _drop(self, call: _Call) -> None:
        call.over = True
        if (task := self._calls.pop(call, None)) is not None:
            task.cancel()
        if call.transport is not None:
            call.transport.abort()

    def told(self, call: _Call, news: News | None) -> None:
        """A line has come; an empty one (None) says that nothing has changed."""
        if call is self._former:
            if news is not None:
                self._tell(news)
            return
        if self._moved:
            self._moved = False
            former, self._former = self._former, None
            if former is not None:
                self._drop(former)
            self.log.info("discovery has moved", rev=news and news.rev, whole=bool(news and news.whole))
            if news is None or not news.whole:
                self.refresh()  # guards: who is gone need not be among the changes
        if news is None:
            news = News(self.rev, False, [])
        elif news.rev < self.rev:
            self.log.warning("the list went back", rev=news.rev, had=self.rev, whole=news.whole)
            if not news.whole:
                return  # older than what is known
        self.rev = news.rev
        self._tell(news)

    def ended(self, call: _Call, why: str) -> None:
        self._drop(call)
        if call is self._watch:
            self._watch = None
        if call is self._former:
            self._former = None  # guards: its end says nothing of the new address
        elif why:
            self.log.warning("call to discovery failed", why=why, watch=call.watching)
            self._tell_failed(call.retry_after)

    def tidy(self) -> None:
        """End calls that have fallen silent. Guards: a discovery that was cut off says nothing."""
        for call in list(self._calls):
            if self.loop.time() - call.heard > QUIET:
                call.stop("silent")

    def close(self) -> None:
        for call in list(self._calls):
            self._drop(call)
