"""Calls to the list service: the list of upstreams is asked for once, or watched, and told as it comes.

When to ask is decided elsewhere. A call that fails, or a watch that ends or falls silent, is told once. A new
address is asked at once; the old one's watch is heard until the new one has said something. A call that has
said nothing yet is left out beside the next one, three at most: it may be served in its turn, or never. How
far an answer has come is told, too: what was written and did not arrive may name a server that drains.
"""

from __future__ import annotations

import asyncio
import select
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass
from typing import cast

import httptools

from ospreyline.indoubt import WHOLE_LIST
from ospreyline.net.listing import Log, News, open_brackets, read, version_of
from ospreyline.net.upstreams import unread

# s without a whole line after which a watch is dead: an empty one is due every 2 s, and what is missed counts
# as told 6 s after the last, which has to be enough for a call that is turned away and another
QUIET = 2.5
MOST_WAIT = 6.0  # s without a byte after which a call is given up; others are made beside it meanwhile
MOST_WAITING = 3  # calls that wait for their first byte at a time
MOST_CALL = 10.0  # s that a call for the whole list may take in all; others are made beside it meanwhile
MOST_LINE = 8 << 20


@dataclass(slots=True, frozen=True)
class Arriving:
    """The first bytes of an update have come on a call, and not the rest."""

    call: int


@dataclass(slots=True, frozen=True)
class Arrived:
    """An update has come whole; `whole`: it is the whole list."""

    call: int
    version: int
    whole: bool


@dataclass(slots=True, frozen=True)
class CutOff:
    """A call ended in the middle of an answer, or a part of it cannot be read; versions as in `indoubt`."""

    call: int
    version: int


@dataclass(slots=True, frozen=True)
class Replaced:
    """We ended a call, since another has brought as much."""

    call: int


Progress = Arriving | Arrived | CutOff | Replaced


@dataclass(slots=True, frozen=True)
class CallFailure:
    """The last call that was out has failed."""

    retry_after: float = 0.0  # ms; as the service told it
    cut_off: bool = False  # an answer had begun to arrive, on this call or on one beside it
    turned_away: bool = False  # by a service that answers, and has too many callers


class _Call(asyncio.Protocol):
    """One call: its lines are told as they come, its end once."""

    def __init__(self, owner: Discovery, watching: bool) -> None:
        self.owner = owner
        self.number = 0  # in the log
        self.watching = watching
        self.at = owner.at
        self.after = owner.rev
        self.transport: asyncio.Transport | None = None
        self.since = self.heard = owner.loop.time()
        self.over = self.spoken = False
        self.why = "another call has taken its place"  # of its end, for the log
        self.bytes = self.objects = 0  # that came, for the log
        self.newer = -1  # the latest version that another call has told since this one began
        self.retry_after = 0.0  # ms; as it was told
        self._parser = httptools.HttpResponseParser(self)
        self._rest = bytearray()
        self._object: list[bytes] = []  # the lines of one that is spread over several, so far
        self._brackets = self._size = 0  # of those lines: how many are open, bytes
        self.arriving = False  # an update, and it was told so
        self.cut_off = self.turned_away = False  # it ended in the middle of an answer; by a status

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        if self.over:  # guards: dropped while it connected, it would be one more call at the service
            self.transport.abort()
            return
        query = f"?watch=1&after={self.after}" if self.watching else ""
        host, port = self.at
        self.transport.write(f"GET /registry/instances{query} HTTP/1.1\r\nHost: {host}:{port}\r\n"
                             "Accept: application/json\r\n\r\n".encode())

    def silent(self, now: float) -> bool:
        """Whether it has told nothing for too long. Of a watch bytes are nothing: half a line may stay so."""
        if self.bytes == 0 and self.transport is not None and self.owner.patient:
            # guards: a call that is given up loses its place in the service's queue
            return now - self.since > MOST_WAIT
        return now - self.heard > QUIET or (not self.watching and now - self.since > MOST_CALL)

    def unread(self) -> bool:
        """Whether something lies in its socket that the loop has not read yet."""
        return (self.transport is not None and not self.transport.is_closing()
                and unread(self.transport, select.POLLIN))

    def data_received(self, data: bytes) -> None:
        self.bytes += len(data)
        if not self.watching:
            self.heard = self.owner.loop.time()
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError as error:
            self.stop(f"malformed: {error}", cut_off=self._parser.get_status_code() == 200)
        if not self.over and not self.arriving and self.unfinished():
            self.arriving = True
            self.owner.progress(Arriving(self.number))

    def unfinished(self) -> bool:
        """Whether a part of an update has come, and not the rest."""
        return bool(self._object or self._rest.strip())

    def version(self) -> int:
        """Of the update that is unfinished; 0 if it has not come, or stands behind what has."""
        return version_of(b"".join([*self._object, self._rest]))

    def on_header(self, name: bytes, value: bytes) -> None:
        if name.lower() == b"retry-after":
            with suppress(ValueError):  # a date: the pages give seconds
                self.retry_after = 1e3 * max(0.0, float(value))

    def on_headers_complete(self) -> None:
        if (status := self._parser.get_status_code()) != 200:
            self.turned_away = True
            self.stop(f"status {status}")

    def on_body(self, body: bytes) -> None:
        self._rest += body
        if self.watching:
            # lines may be split anywhere
            *lines, rest = self._rest.split(b"\n")
            self._rest = rest
            for line in lines:
                if not self.over:
                    self._line(bytes(line))
        if len(self._rest) + self._size > MOST_LINE:
            self.stop("a line without an end", cut_off=True)

    def on_message_complete(self) -> None:
        if self.unfinished() and not self.over:
            # guards: a watch that ends behind half a line has told half of an update
            self._last_text("the watch has ended" if self.watching else "")
        # guards: a call that told nothing would count as answered, and its list as had
        self.stop("the watch has ended" if self.watching else "" if self.spoken else "no list came")

    def eof_received(self) -> bool:
        if not self.watching and self._parser.get_status_code() == 200:
            # a list without a length lasts until the end; half of one is no JSON
            if self.unfinished() and not self.over:
                self._last_text("connection closed")
                self._rest.clear()
            self.on_message_complete()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        why = str(exc or "connection closed")
        if self.unfinished() and not self.over:
            self._last_text(why)
        # guards: what was written behind the head can be lost with a reset; before an end it would have come
        began = exc is not None and not self.spoken and self._parser.get_status_code() == 200
        self.stop(why, cut_off=began)

    def _last_text(self, cut_off_by: str) -> None:
        """What came behind the last whole line: an update without its line's end, or a part of one."""
        self._told(b"\n".join([*self._object, bytes(self._rest)]), cut_off_by)

    def _line(self, line: bytes) -> None:
        """A whole line of a watch: an object, a part of an indented one, or nothing."""
        if not line.strip():
            if self._object:
                # guards: an object that was cut off would swallow what follows
                self.stop("unreadable line", cut_off=True)
            else:
                self.heard = self.owner.loop.time()
                self.owner.told(self, None)
            return
        self._object.append(line)
        self._size += len(line)
        self._brackets += open_brackets(line)
        if self._brackets <= 0:
            text = b"\n".join(self._object)
            self._object, self._brackets, self._size = [], 0, 0
            self._told(text)

    def _told(self, text: bytes, cut_off_by: str = "") -> None:
        """An update; `cut_off_by`: why its rest may be missing, "" where all that was written has come."""
        if (news := read(text, self.owner.log)) is not None:
            self._object, self._brackets, self._size, self.arriving = [], 0, 0, False
            self.heard = self.owner.loop.time()
            self.objects += 1
            self.owner.log.info("list received", call=self.number, rev=news.rev, whole=news.whole,
                                entries=len(news.targets))
            self.owner.told(self, news)
        else:
            # guards: a lost change would be news never told; asking again brings it
            self.stop(cut_off_by or "unreadable line", cut_off=bool(cut_off_by))

    def stop(self, why: str, cut_off: bool = False) -> None:
        """The call is over; a reason says that it failed. `cut_off`: in the middle of an answer."""
        if self.over:
            return
        self.over = True
        self.why, self.cut_off = why or "answered", cut_off
        if self.transport is not None:
            self.transport.abort()
        self.owner.ended(self, why)


class Discovery:
    """Calls to discovery: at most one watch, and calls for the whole list."""

    def __init__(self, loop: asyncio.AbstractEventLoop, at: tuple[str, int], rev: int, log: Log,
                 tell: Callable[[News], None], tell_failed: Callable[[CallFailure], None],
                 tell_progress: Callable[[Progress], None] = lambda progress: None) -> None:
        self.loop = loop
        self.at = at
        self.rev = rev
        self.log = log
        self._tell = tell
        self._tell_failed = tell_failed
        self.progress = tell_progress
        self._cut_off = False  # a call was, since the last that failed or told something
        self._calls: dict[_Call, asyncio.Task[None]] = {}
        self._watch: _Call | None = None
        self.begun = 0  # calls so far
        self.again = 1.4  # s after which a call for the whole list has another beside it
        self.patient = False  # the service may need seconds for an answer
        # watches before, oldest first, that have told nothing yet: who speaks first stays
        self._unspoken: list[_Call] = []
        self._replaced: _Call | None = None  # the watch before, heard until the new one has spoken
        self._former: _Call | None = None  # the watch at the address before, likewise
        self._moved = False  # and it has not yet
        self._whole_due = False  # what is known is by another count: who is gone need not be told

    def move(self, at: tuple[str, int]) -> None:
        """Discovery is elsewhere now. Nothing that is told meanwhile may be lost."""
        former = self._former or self._replaced or self._watch
        for call in [c for c in self._calls if c is not former]:
            if call.unfinished():
                self._cut(call)
            self._drop(call)
        self.at, self._former, self._watch, self._replaced, self._unspoken = at, former, None, None, []
        self._moved = self._whole_due = True
        self.rev = 0  # guards: the new service may count otherwise, so it is asked for all that it has
        self.watch(True)

    @property
    def watching(self) -> bool:
        return self._watch is not None

    @property
    def told_by_watch(self) -> bool:
        """Whether there is a watch that has told something."""
        return self._watch is not None and self._watch.spoken

    def watch(self, on: bool) -> None:
        """Watch the list from now on, by a new call, or no longer."""
        old, self._watch = self._watch, None
        if old is not None and on and old.spoken and self._replaced is None:
            self._replaced = old  # guards: until the new one has spoken nobody else tells what changes
        elif old is not None and on and not old.spoken and len(self._unspoken) < MOST_WAITING - 1:
            self._unspoken.append(old)  # guards: in a queue it stands before the new one
        elif old is not None:
            self._drop(old)
        if on:
            self._watch = self._start(watching=True)
            return
        for call in (self._replaced, *self._unspoken):
            if call is not None:
                self._drop(call)
        self._replaced, self._unspoken = None, []

    def refresh(self) -> None:
        self._start(watching=False)

    def _start(self, watching: bool) -> _Call:
        call = _Call(self, watching)
        self.begun += 1
        call.number = self.begun
        self._calls[call] = self.loop.create_task(self._open(call))
        self.log.info("list call begins", call=call.number, watch=watching, after=call.after,
                      beside=len(self._calls) - 1)
        return call

    async def _open(self, call: _Call) -> None:
        try:
            await self.loop.create_connection(lambda: call, *call.at)
        except OSError as error:
            call.stop(str(error))

    def _cut(self, call: _Call) -> None:
        """A call ends in the middle of an answer. Guards: what was written counts as told, come or not."""
        self._cut_off = True
        self.progress(CutOff(call.number, call.version()))

    def _drop(self, call: _Call) -> None:
        call.over = True
        if call.arriving:
            self.progress(Replaced(call.number))
        if (task := self._calls.pop(call, None)) is not None:
            task.cancel()
            self.log.info("list call ended", call=call.number, watch=call.watching, why=call.why,
                          connected=call.transport is not None, bytes=call.bytes, objects=call.objects,
                          ms=round(1e3 * (self.loop.time() - call.since)))
        if call.transport is not None:
            call.transport.abort()

    def took(self, rev: int) -> None:
        """So much of the service's list is known, from whomever."""
        self.rev = rev
        for call in self._calls:
            call.newer = max(call.newer, rev)

    def told(self, call: _Call, news: News | None) -> None:
        """A line has come; an empty one (None) says that nothing has changed."""
        if news is not None and not news.complete and not news.whole and call.watching:
            # guards: who it is about may drain; the whole list leaves out whom it cannot name
            self._whole_due = True
            self._take(call, news)
            return self.progress(CutOff(call.number, WHOLE_LIST))
        self._take(call, news)
        version = self.rev if news is None else news.rev
        self.progress(Arrived(call.number, version, news is not None and (news.whole or not call.watching)))

    def _take(self, call: _Call, news: News | None) -> None:
        call.spoken, self._cut_off = True, False
        if call is self._former:
            if news is not None:
                self._tell(news)
            return
        if self._unspoken and call in (*self._unspoken, self._watch):
            for other in (*self._unspoken, self._watch):
                if other is not None and other is not call:
                    self._drop(other)
            self._watch, self._unspoken = call, []
        if self._moved:
            self._moved = False
            former, self._former = self._former, None
            if former is not None:
                self._drop(former)
            self.log.info("discovery has moved", rev=news and news.rev, whole=bool(news and news.whole))
        if call is self._watch and self._replaced is not None:
            self._drop(self._replaced)
            self._replaced = None
        if news is None:
            news = News(self.rev, False, [])
        elif news.rev < call.newer:
            # guards: an answer that was on its way while another call told something newer takes it back
            self.log.warning("an older list was passed over", rev=news.rev, had=call.newer, whole=news.whole)
            if not call.watching and self._whole_due:
                call.stop("older than what was told meanwhile")
            return
        elif news.rev < self.rev:
            # nobody told anything since this call began: the service counts anew
            self.log.warning("the list went back", rev=news.rev, had=self.rev, whole=news.whole)
            if not news.whole:
                # guards: what it counts from is not known here, and it may go on so for good. Who takes
                # nothing new is believed at once, the rest is asked for
                self._tell(News(news.rev, False, [t for t in news.targets if t[0].state != "active"]))
                self.rev, self._whole_due = 0, True
                call.stop("it counts anew")
                return
        if news.whole or not call.watching:
            self._whole_due = False  # a plain call is told all that there is, whatever it says of itself
            for other in [c for c in self._calls if not c.watching and c is not call]:
                self._drop(other)
        self.rev = news.rev
        for other in self._calls:
            if other is not call:
                other.newer = max(other.newer, news.rev)
        self._tell(news)
        if self._whole_due and all(c.watching for c in self._calls):
            self.refresh()  # guards: who is gone need not be among the changes

    def ended(self, call: _Call, why: str) -> None:
        if call.cut_off:
            self._cut(call)
        self._drop(call)
        if call is self._former:
            self._former = None  # guards: its end says nothing of the new address
            return
        if call is self._replaced:
            self._replaced = None
            return
        beside = bool(self._unspoken) and call in (*self._unspoken, self._watch)
        if beside:  # another one is out yet, and the next is planned from when the latest one began
            if call is self._watch:
                self._watch = self._unspoken.pop()
            else:
                self._unspoken.remove(call)
        elif call is self._watch:
            self._watch, self._replaced = self._replaced, None
        elif any(not c.watching for c in self._calls):
            why = ""  # another call for the whole list is out
        elif not self._whole_due and self._watch is not None:
            why = ""  # guards: the watch that stands would be replaced for a call that nobody needs
        if why:
            self.log.warning("call to discovery failed", why=why, watch=call.watching)
            if not beside:
                cut_off, self._cut_off = self._cut_off, False
                self._tell_failed(CallFailure(call.retry_after, cut_off, call.turned_away))

    def tidy(self) -> None:
        """End calls that have fallen silent. Guards: a discovery that was cut off says nothing."""
        for call in list(self._calls):
            # guards: timers come before sockets, and what lies unread there counts as told
            if call.silent(self.loop.time()) and not call.unread():
                call.stop("silent", cut_off=call.unfinished())
        plain = [call for call in self._calls if not call.watching]
        if plain and self._whole_due and self.loop.time() - plain[-1].since > self.again:
            # guards: one that trickles keeps the others waiting; it is let be, for what it tells may be all
            # that there is, and a new one is made beside it
            if len(plain) > 1:
                self._drop(plain[-1])
            self.refresh()

    def close(self) -> None:
        for call in list(self._calls):
            self._drop(call)
