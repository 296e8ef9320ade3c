"""One list call (a poll or a watch), from its request to its end, and what is known at that end.

What the service has written counts as received, whether or not it arrives. So each end says whether all of
that was read for certain: `CallEnd`, decided here alone. docs/crossings.md, "Ends of a call", has the table.
"""

from __future__ import annotations

import asyncio
import select
from collections.abc import Callable
from contextlib import suppress
from enum import Enum
from typing import Protocol, cast

import httptools

from ospreyline.net.listing import ListUpdate, Log, open_brackets, parse_update, version_of
from ospreyline.net.memory import MemoryBudget
from ospreyline.net.reading import SHORT_READ_BYTES, ReadScheduler
from ospreyline.net.sockets import failed
from ospreyline.net.upstreams import unread

# a watch without a whole line for so long is dead: an empty line is due every 2 s, and what is missed counts
# as received 6 s after the last one, which leaves time for a rejected call and another one
SILENCE_TIMEOUT_S = 2.5
# a call is given up after so long without a byte, a poll after so long in all; others are made beside them
FIRST_BYTE_TIMEOUT_S, POLL_TIMEOUT_S = 6.0, 10.0
MAX_LINE_BYTES = 8 << 20
REJECTED_STATUSES = (429, 503)  # by these the service itself says that it has no list for a call


class CallEnd(Enum):
    """What is known, when a call is over, of what the service may have written on it."""

    NOT_SENT = "its request never left"
    REFUSED = "nobody listens at its address"
    REJECTED = "read to its end in form: a status, and no list"
    COMPLETE = "an answer, read to its end in form"
    UNREADABLE = "an update came whole, and cannot be read"
    TRUNCATED = "a part of an update came, and not the rest"
    INCOMPLETE = "over without its last chunk or its length"
    ENDED_BY_US = "we ended it, and read on what is written"

    @property
    def message_complete(self) -> bool:
        """Whether its message came to its end: all that the service wrote was read."""
        return self in (CallEnd.REJECTED, CallEnd.COMPLETE)

    @property
    def may_lose_update(self) -> bool:
        """Whether an update may have been written that was not read."""
        return self in (CallEnd.UNREADABLE, CallEnd.TRUNCATED, CallEnd.INCOMPLETE)


class CallOwner(Protocol):
    """Makes calls, and is notified by each call of what comes, in that order."""

    loop: asyncio.AbstractEventLoop
    log: Log
    service_may_be_slow: bool  # the service may need seconds for an answer
    budget: MemoryBudget  # of unfinished updates on all calls together
    reads: ReadScheduler
    log_change: Callable[..., None]  # writes a log line about a single update

    def update_arriving(self, call: ListCall) -> None:
        """The first bytes of an answer, or of an update, have come."""

    def no_update_arriving(self, call: ListCall) -> None:
        """They were no update: the rest of a head, or of a chunk whose lines have been passed on."""

    def reading_behind(self, call: ListCall, behind: bool) -> None:
        """Whether more has come than is read in one iteration of the event loop."""

    def update_received(self, call: ListCall, update: ListUpdate | None) -> None:
        """An update has come completely; None: an empty line, nothing has changed."""

    def call_ended(self, call: ListCall, why: str) -> None:
        """The call is over, as `call.end` says; a non-empty `why` means that it failed."""


class ListCall(asyncio.BufferedProtocol):
    """One call: passes on its lines as they come, and its end once."""

    def __init__(
        self, owner: CallOwner, number: int, address: tuple[str, int], after_version: int, watching: bool
    ) -> None:
        self.owner = owner
        self.number = number  # increasing; a later number means that the request was sent later
        self.watching = watching
        self.address = address
        self.after_version = after_version  # changes after this version are requested
        self.transport: asyncio.Transport | None = None
        self.started_at = self.heard_at = owner.loop.time()  # s; heard_at: of the latest sign of life
        self.over = self.answered = False
        self.half_closed_at: float | None = None  # s; we have ended it, and read what still comes
        self.ended_by_timeout = False  # we have, as it was unresponsive
        self.covered_by_watch = False  # we have, and a watch at the current address has been answered
        self.outcome_unknown = False  # we have, and do not know what was written on it meanwhile
        self.end = CallEnd.NOT_SENT
        self.why = "another call has taken its place"  # reason of its end, for the log
        self.bytes = self.objects = 0  # received, for the log
        self.newest_elsewhere = -1  # the latest version that another call received since this one started
        self.retry_after_ms = 0.0
        self.rejected = False  # by a status
        self.arriving = False  # a part of an update has arrived, and the owner was notified
        self.loss_reported = False
        self._parser = httptools.HttpResponseParser(self)
        self._buffer = bytearray()  # behind the last whole line
        self._object_lines: list[bytes] = []  # of an object that spans several lines, so far
        self._open_brackets = self._object_bytes = 0  # in those lines
        self._behind = False  # more has come than is read in one iteration of the event loop
        self._held_bytes = 0  # charged to the memory budget
        self._head_done = self._chunked = self._has_length = self._in_chunk = False
        self._status = 0
        self._partial_frame = False  # a part of a head or of a chunk has come, and not the rest
        self._reset = False  # its connection was reset, though the loop may report a plain end

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        if self.over:  # ended while it connected: sending the request would add a call at the service
            self.transport.abort()
            return
        query = f"?watch=1&after={self.after_version}" if self.watching else ""
        host, port = self.address
        self.transport.write(
            f"GET /registry/instances{query} HTTP/1.1\r\nHost: {host}:{port}\r\n"
            "Accept: application/json\r\n\r\n".encode()
        )

    def timed_out(self, now: float) -> bool:
        """Whether it has been unresponsive for too long; `now` in s.

        On a watch only whole lines are a sign of life, as half a line may stay incomplete.
        """
        if self.bytes == 0 and self.transport is not None and self.owner.service_may_be_slow:
            # not earlier, as a call that is given up loses its place in the service's queue
            return now - self.started_at > FIRST_BYTE_TIMEOUT_S
        return now - self.heard_at > SILENCE_TIMEOUT_S or (
            not self.watching and now - self.started_at > POLL_TIMEOUT_S
        )

    def has_unread_data(self) -> bool:
        """Whether its socket has data that the event loop has not read yet."""
        return (
            self.transport is not None
            and not self.transport.is_closing()
            and unread(self.transport, select.POLLIN)
        )

    def half_close(self) -> bool:
        """Closes the sending side and reads on; False if there is no connection to read.

        What the service writes until it sees our end counts as received, and may lie in our socket or be on
        its way.
        """
        if self.transport is None or self.transport.is_closing():
            return False
        self.half_closed_at, self.end = self.owner.loop.time(), CallEnd.ENDED_BY_US
        self.transport.write_eof()
        return True

    def abort(self) -> None:
        """Ends the call; nothing more is read of it."""
        self.over = True
        self._charge(0)
        if self._behind:
            self._behind = False
            self.owner.reading_behind(self, False)
        if self.transport is not None:
            self.transport.abort()

    def get_buffer(self, sizehint: int) -> memoryview:
        return self.owner.reads.buffer()

    def buffer_updated(self, nbytes: int) -> None:
        self.data_received(bytes(self.owner.reads.received(nbytes, self.transport)))
        behind = nbytes >= SHORT_READ_BYTES and not self.over and self.has_unread_data()
        if behind is not self._behind:
            self._behind = behind
            self.owner.reading_behind(self, behind)

    def data_received(self, data: bytes) -> None:
        if self.over:
            return
        self.bytes += len(data)
        if not self.watching:
            self.heard_at = self.owner.loop.time()
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError as error:
            self.stop(f"malformed: {error}", CallEnd.TRUNCATED if self._head_done else CallEnd.INCOMPLETE)
        self._partial_frame = not self._head_done
        if self._chunked:
            # of a write that is cut off, the size of its chunk can be all that arrives
            self._partial_frame = self._in_chunk or not data.endswith(b"\n")
        if not self.over and self.arriving is not self.has_partial_update():
            self.arriving = not self.arriving
            if self.arriving:
                self.owner.update_arriving(self)
            else:
                self.owner.no_update_arriving(self)

    def has_partial_update(self) -> bool:
        """Whether a part of an answer has come, and not the rest."""
        return bool(self._object_lines or self._buffer.strip() or self._partial_frame)

    def partial_version(self) -> int:
        """The version of the partial update; 0 if it has not arrived."""
        return version_of(b"".join([*self._object_lines, self._buffer]))

    # callbacks of the HTTP parser

    def on_header(self, name: bytes, value: bytes) -> None:
        known = name.lower()
        if known == b"retry-after":
            with suppress(ValueError):  # a date: the pages give seconds
                self.retry_after_ms = 1e3 * max(0.0, float(value))
        elif known == b"transfer-encoding":
            self._chunked = b"chunked" in value.lower()
        elif known == b"content-length":
            self._has_length = True

    def on_headers_complete(self) -> None:
        self._head_done = True
        self._status = self._parser.get_status_code()
        self.rejected = self._status != 200

    def on_chunk_header(self) -> None:
        self._in_chunk = True

    def on_chunk_complete(self) -> None:
        self._in_chunk = False

    def on_body(self, body: bytes) -> None:
        if self.rejected or self.over:
            return
        self._buffer += body
        if self.watching and b"\n" in body:
            # a chunk may end anywhere in a line
            *lines, rest = self._buffer.split(b"\n")
            self._buffer = rest
            for line in lines:
                if not self.over:
                    self._read_line(bytes(line))
        if self.over:
            return
        self._charge(len(self._buffer) + self._object_bytes)
        if self._held_bytes > MAX_LINE_BYTES:
            self.stop("a line without an end", CallEnd.TRUNCATED)
        elif self.owner.budget.exceeded:
            self.stop("no memory for the rest of its update", CallEnd.TRUNCATED)

    def _charge(self, held: int) -> None:
        """Charge the unfinished update with `held` bytes in all."""
        self.owner.budget.charge(held - self._held_bytes)
        self._held_bytes = held

    def on_message_complete(self) -> None:
        if self.rejected:
            # any other status may come from a gateway that lost the service's answer
            end = CallEnd.REJECTED if self._status in REJECTED_STATUSES else CallEnd.INCOMPLETE
            return self.stop(f"status {self._status}", end)
        if self._pending_text() and not self.over:
            # a watch that ends behind half a line has sent half of an update
            self._read_pending_text("the watch has ended" if self.watching else "")
        if self.watching:
            # a watch lasts until its connection ends; a last chunk before that comes from a proxy
            return self.stop("the watch has ended", CallEnd.INCOMPLETE)
        # without the reason, a call without a list would count as answered
        self.stop("" if self.answered else "no list came", CallEnd.COMPLETE)

    # the end of its connection

    def eof_received(self) -> bool:
        # the event loop reports a reset that comes right behind data as a plain end
        self._reset = self.transport is not None and failed(self.transport)
        if self._reset or self.over or not self._head_done or self._chunked or self._has_length:
            return False
        if self.rejected:
            self.on_message_complete()
        elif not self.watching:
            # an answer without a length lasts until the end (RFC 9112, 6.3); half of a list is no valid JSON
            if self._pending_text():
                self._read_pending_text("connection closed")
                self._buffer.clear()
            if self.answered or not self.has_partial_update():
                self.on_message_complete()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        if self.over:
            return
        why = str(exc or "connection closed")
        if self._pending_text():
            self._read_pending_text(why)
        self.stop(why, self._end_on_disconnect())

    def _end_on_disconnect(self) -> CallEnd:
        """What is known where the connection ended before the message did, in whatever way."""
        if not self.watching and self.answered:
            return CallEnd.COMPLETE  # its one object was read completely
        # what was written before a reset may be lost, and a proxy may pass a reset on as an orderly end
        return CallEnd.TRUNCATED if self.has_partial_update() else CallEnd.INCOMPLETE

    # lines and updates

    def _pending_text(self) -> bytes:
        """What came behind the last complete update: an update without its line feed, or a part of one."""
        text = b"\n".join([*self._object_lines, bytes(self._buffer)])
        return text if text.strip() else b""

    def _read_pending_text(self, cut_off_by: str) -> None:
        self._read_update(self._pending_text(), cut_off_by)

    def _read_line(self, line: bytes) -> None:
        """Handles a whole line of a watch: an object, a part of an indented one, or nothing."""
        if not line.strip():
            if self._object_lines:
                # an object that was cut off would swallow what follows
                self.stop("unreadable line", CallEnd.TRUNCATED)
            else:
                self.heard_at = self.owner.loop.time()
                self.arriving = False
                self.owner.update_received(self, None)
            return
        self._object_lines.append(line)
        self._object_bytes += len(line)
        self._open_brackets += open_brackets(line)
        if self._open_brackets <= 0:
            text = b"\n".join(self._object_lines)
            self._object_lines, self._open_brackets, self._object_bytes = [], 0, 0
            self._read_update(text)

    def _read_update(self, text: bytes, cut_off_by: str = "") -> None:
        """Parses an update; `cut_off_by`: why its rest may be missing, "" where all of it has come."""
        if (update := parse_update(text, self.owner.log)) is not None:
            self._object_lines, self._open_brackets, self._object_bytes, self.arriving = [], 0, 0, False
            self.heard_at = self.owner.loop.time()
            self.objects += 1
            self.owner.log_change(
                "list received",
                call=self.number,
                rev=update.rev,
                whole=update.is_full,
                entries=len(update.entries),
            )
            self.owner.update_received(self, update)
        else:
            # the call fails, so that another one brings the change that could not be read
            self.stop(
                cut_off_by or "unreadable line", CallEnd.TRUNCATED if cut_off_by else CallEnd.UNREADABLE
            )

    def stop(self, why: str, end: CallEnd = CallEnd.COMPLETE) -> None:
        """Ends the call and notifies its owner once; a non-empty `why` means that it failed."""
        if self.over or (self.half_closed_at is not None and end is CallEnd.ENDED_BY_US):
            return
        self.over = end is not CallEnd.ENDED_BY_US
        self.why, self.end = why or "answered", end
        self.owner.call_ended(self, why)
