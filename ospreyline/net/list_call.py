"""One call to the list service, from its request to its end, and what is known at that end.

What the service has written counts as told, whether or not it arrives. So each end says whether it proves
that all of that was read: `CallEnd`, decided here alone. docs/crossings.md, "Ends of a call", has the table.
"""

from __future__ import annotations

import asyncio
import select
from contextlib import suppress
from enum import Enum
from typing import Protocol, cast

import httptools

from ospreyline.net.listing import Log, News, open_brackets, read, version_of
from ospreyline.net.sockets import failed
from ospreyline.net.upstreams import unread

# s without a whole line after which a watch is dead: an empty one is due every 2 s, and what is missed counts
# as told 6 s after the last, which has to be enough for a call that is turned away and another
QUIET = 2.5
MOST_WAIT = 6.0  # s without a byte after which a call is given up; others are made beside it meanwhile
MOST_CALL = 10.0  # s that a call for the whole list may take in all; others are made beside it meanwhile
MOST_LINE = 8 << 20
SERVED_NOTHING = (429, 503)  # statuses by which the service itself says that it has no list for a call


class CallEnd(Enum):
    """What is known when a call is over, of what the service may have written on it."""

    NOT_ASKED = "its request never left"
    REFUSED = "nobody listens at its address"
    TURNED_AWAY = "read to its end in form: a status, and no list"
    COMPLETE = "an answer, read to its end in form"
    UNREADABLE = "an update came whole, and cannot be read"
    CUT_OFF = "a part of an update came, and not the rest"
    UNPROVEN = "over without its last chunk or its length"
    LEFT = "we ended it, and read on what is written"

    @property
    def in_form(self) -> bool:
        """Whether its message came to its end: all that the service wrote was read."""
        return self in (CallEnd.TURNED_AWAY, CallEnd.COMPLETE)

    @property
    def lost(self) -> bool:
        """Whether an update may have been written that was not read."""
        return self in (CallEnd.UNREADABLE, CallEnd.CUT_OFF, CallEnd.UNPROVEN)


class Owner(Protocol):
    """Who makes calls: what a call tells it, in the order in which it comes."""

    loop: asyncio.AbstractEventLoop
    log: Log
    patient: bool  # the service may need seconds for an answer

    def arriving(self, call: ListCall) -> None:
        """The first bytes of an answer, or of an update, have come."""

    def nothing_arriving(self, call: ListCall) -> None:
        """They were no update: the rest of a head, or of a chunk whose lines have been told."""

    def told(self, call: ListCall, news: News | None) -> None:
        """An update has come whole; None: an empty line, nothing has changed."""

    def ended(self, call: ListCall, why: str) -> None:
        """The call is over, as `call.end` has it; a reason says that it failed."""


class ListCall(asyncio.Protocol):
    """One call: its lines are told as they come, its end once."""

    def __init__(self, owner: Owner, number: int, at: tuple[str, int], after: int, watching: bool) -> None:
        self.owner = owner
        self.number = number  # counted up; of a later one the request left later
        self.watching = watching
        self.at = at
        self.after = after  # the version that is asked from
        self.transport: asyncio.Transport | None = None
        self.since = self.heard = owner.loop.time()
        self.over = self.spoken = False
        self.left_at: float | None = None  # we have ended it; what still comes is read
        self.fell_silent = False  # that is why we have
        self.covered = False  # we have, and a watch at the address that is asked now has been answered
        self.unproven = False  # we have, and what was written on it meanwhile is not known
        self.end = CallEnd.NOT_ASKED
        self.why = "another call has taken its place"  # of its end, for the log
        self.bytes = self.objects = 0  # that came, for the log
        self.newer = -1  # the latest version that another call has told since this one began
        self.retry_after = 0.0  # ms; as it was told
        self.turned_away = False  # by a status
        self.was_arriving = False  # an update, and it was told so
        self.lost_told = False  # that it may have been lost was told
        self._parser = httptools.HttpResponseParser(self)
        self._rest = bytearray()
        self._object: list[bytes] = []  # the lines of one that is spread over several, so far
        self._brackets = self._size = 0  # of those lines: how many are open, bytes
        self._head_done = self._chunked = self._sized = self._in_chunk = False
        self._status = 0
        self._part = False  # of a head or a chunk has come, and not the rest
        self._reset = False  # its connection was, though its end may be all that we are told

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        if self.over:  # guards: dropped while it connected, it would be one more call at the service
            self.transport.abort()
            return
        query = f"?watch=1&after={self.after}" if self.watching else ""
        host, port = self.at
        self.transport.write(
            f"GET /registry/instances{query} HTTP/1.1\r\nHost: {host}:{port}\r\n"
            "Accept: application/json\r\n\r\n".encode()
        )

    def silent(self, now: float) -> bool:
        """Whether it has told nothing for too long. Of a watch bytes are nothing: half a line may stay so."""
        if self.bytes == 0 and self.transport is not None and self.owner.patient:
            # guards: a call that is given up loses its place in the service's queue
            return now - self.since > MOST_WAIT
        return now - self.heard > QUIET or (not self.watching and now - self.since > MOST_CALL)

    def unread(self) -> bool:
        """Whether something lies in its socket that the loop has not read yet."""
        return (
            self.transport is not None
            and not self.transport.is_closing()
            and unread(self.transport, select.POLLIN)
        )

    def leave(self) -> bool:
        """Ask for nothing more, and read on; False if there is no connection to read.

        Guards: what the service writes up to the moment at which it sees our end counts as told, and may lie
        in our socket or be on its way.
        """
        if self.transport is None or self.transport.is_closing():
            return False
        self.left_at, self.end = self.owner.loop.time(), CallEnd.LEFT
        self.transport.write_eof()
        return True

    def abort(self) -> None:
        """Nothing more is read of it."""
        self.over = True
        if self.transport is not None:
            self.transport.abort()

    def data_received(self, data: bytes) -> None:
        if self.over:
            return
        self.bytes += len(data)
        if not self.watching:
            self.heard = self.owner.loop.time()
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError as error:
            self.stop(f"malformed: {error}", CallEnd.CUT_OFF if self._head_done else CallEnd.UNPROVEN)
        self._part = not self._head_done
        if self._chunked:
            # guards: of a writing that is cut off the size of its chunk can be all that comes
            self._part = self._in_chunk or not data.endswith(b"\n")
        if not self.over and self.was_arriving is not self.unfinished():
            self.was_arriving = not self.was_arriving
            if self.was_arriving:
                self.owner.arriving(self)
            else:
                self.owner.nothing_arriving(self)

    def unfinished(self) -> bool:
        """Whether a part of an answer has come, and not the rest."""
        return bool(self._object or self._rest.strip() or self._part)

    def version(self) -> int:
        """Of the update that is unfinished; 0 if it has not come, or stands behind what has."""
        return version_of(b"".join([*self._object, self._rest]))

    # the parser's calls

    def on_header(self, name: bytes, value: bytes) -> None:
        known = name.lower()
        if known == b"retry-after":
            with suppress(ValueError):  # a date: the pages give seconds
                self.retry_after = 1e3 * max(0.0, float(value))
        elif known == b"transfer-encoding":
            self._chunked = b"chunked" in value.lower()
        elif known == b"content-length":
            self._sized = True

    def on_headers_complete(self) -> None:
        self._head_done = True
        self._status = self._parser.get_status_code()
        self.turned_away = self._status != 200

    def on_chunk_header(self) -> None:
        self._in_chunk = True

    def on_chunk_complete(self) -> None:
        self._in_chunk = False

    def on_body(self, body: bytes) -> None:
        if self.turned_away:
            return
        self._rest += body
        if self.watching:
            # lines may be split anywhere
            *lines, rest = self._rest.split(b"\n")
            self._rest = rest
            for line in lines:
                if not self.over:
                    self._line(bytes(line))
        if len(self._rest) + self._size > MOST_LINE:
            self.stop("a line without an end", CallEnd.CUT_OFF)

    def on_message_complete(self) -> None:
        if self.turned_away:
            # guards: any other status may be a gateway's word for an answer that was lost behind it
            end = CallEnd.TURNED_AWAY if self._status in SERVED_NOTHING else CallEnd.UNPROVEN
            return self.stop(f"status {self._status}", end)
        if self._text() and not self.over:
            # guards: a watch that ends behind half a line has told half of an update
            self._last_text("the watch has ended" if self.watching else "")
        if self.watching:
            # guards: a watch lasts until its connection ends; a last chunk is of who passed it on
            return self.stop("the watch has ended", CallEnd.UNPROVEN)
        # guards: a call that told nothing would count as answered, and its list as had
        self.stop("" if self.spoken else "no list came", CallEnd.COMPLETE)

    # the end of its connection

    def eof_received(self) -> bool:
        # guards: the loop library takes a reset that comes right behind bytes for an end, and it is none
        self._reset = self.transport is not None and failed(self.transport)
        if self._reset or self.over or not self._head_done or self._chunked or self._sized:
            return False
        if self.turned_away:
            self.on_message_complete()
        elif not self.watching:
            # an answer without a length lasts until the end (RFC 9112, 6.3); half of a list is no JSON
            if self._text():
                self._last_text("connection closed")
                self._rest.clear()
            if self.spoken or not self.unfinished():
                self.on_message_complete()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        if self.over:
            return
        why = str(exc or "connection closed")
        if self._text():
            self._last_text(why)
        self.stop(why, self._end_by_connection())

    def _end_by_connection(self) -> CallEnd:
        """What is known where the connection ended before the message did, however it ended."""
        if not self.watching and self.spoken:
            return CallEnd.COMPLETE  # its one object was read whole
        # guards: what was written before a reset may be lost, and a proxy may pass it on as an end in order
        return CallEnd.CUT_OFF if self.unfinished() else CallEnd.UNPROVEN

    # what it tells

    def _text(self) -> bytes:
        """What came behind the last whole line: an update without its line's end, or a part of one."""
        text = b"\n".join([*self._object, bytes(self._rest)])
        return text if text.strip() else b""

    def _last_text(self, cut_off_by: str) -> None:
        self._told(self._text(), cut_off_by)

    def _line(self, line: bytes) -> None:
        """A whole line of a watch: an object, a part of an indented one, or nothing."""
        if not line.strip():
            if self._object:
                # guards: an object that was cut off would swallow what follows
                self.stop("unreadable line", CallEnd.CUT_OFF)
            else:
                self.heard = self.owner.loop.time()
                self.was_arriving = False
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
            self._object, self._brackets, self._size, self.was_arriving = [], 0, 0, False
            self.heard = self.owner.loop.time()
            self.objects += 1
            self.owner.log.info(
                "list received", call=self.number, rev=news.rev, whole=news.whole, entries=len(news.targets)
            )
            self.owner.told(self, news)
        else:
            # guards: a lost change would be news never told; asking again brings it
            self.stop(cut_off_by or "unreadable line", CallEnd.CUT_OFF if cut_off_by else CallEnd.UNREADABLE)

    def stop(self, why: str, end: CallEnd = CallEnd.COMPLETE) -> None:
        """The call is over; a reason says that it failed."""
        if self.over or (self.left_at is not None and end is CallEnd.LEFT):
            return
        self.over = end is not CallEnd.LEFT
        self.why, self.end = why or "answered", end
        self.owner.ended(self, why)
