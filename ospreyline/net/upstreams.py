"""Upstreams as peers: connections kept, backend fetches and probes carried out, how they end.

An `Errand` is one request to an upstream. It ends exactly once, with a whole `Answer` or with a `Cut`,
a value that says how far it had come; `end_of` is the one place where either becomes an `End`.
"""

from __future__ import annotations

import asyncio
import select
import socket
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum, IntEnum
from math import inf
from typing import Any, cast

import httptools

from ospreyline.facts import REPORT_WORDS
from ospreyline.host import End
from ospreyline.net.events import EventLog
from ospreyline.net.sockets import failed, shut

MOST_BODY = 65_536
MOST_HEAD = 32_768
MOST_ANSWER = 1 << 20  # bytes of an answer's body
MOST_RAW = MOST_HEAD + 8 * MOST_BODY  # one message as sent: small chunks cost several times their content
SETTLE = 25.0  # ms after an answer in which what came behind it, or its connection's end, shows
LEAST = 1.0  # ms of an errand's time with which it is still begun; what is left is told in whole ones
KEEP_SHARE = 0.8  # of the time that an upstream keeps an idle connection: ours are closed earlier
MOST_UTIL, MOST_FIGURE = 4.0, 1e5  # of a load report
HOP_BY_HOP = frozenset(
    (
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"content-length",
    )
)


class Stage(IntEnum):
    """How far an errand had come."""

    CONNECTING = 0
    WRITING = 1  # the last byte has not left our buffer
    WRITTEN = 2
    ANSWERING = 3


class Why(Enum):
    """What cut an errand off."""

    BROKEN = "broken"  # refused, reset or closed by the other side
    NO_CONNECTION = "no connection in time"
    TIMED_OUT = "timed out"
    CALLED_OFF = "called off"
    WITHDRAWN = "withdrawn"  # the list took the upstream away, or we have no descriptor left
    MALFORMED = "malformed"


@dataclass(slots=True, frozen=True)
class Cut:
    """An errand that came to no whole answer."""

    stage: Stage
    why: Why


@dataclass(slots=True, frozen=True)
class Answer:
    """A whole answer, its header fields as the bytes that came."""

    status: int
    head: bytes
    body: bytes
    report: bytes
    never_ran: bool


def end_of(outcome: Answer | Cut) -> End:
    """What the end of an errand means to the decisions."""
    if isinstance(outcome, Answer):
        if outcome.status == 200:
            return End.DELIVERED
        return End.FULL if outcome.status in (503, 504) and outcome.never_ran else End.ERRORED
    if outcome.why is Why.CALLED_OFF:
        return End.CANCELLED
    if outcome.why is Why.MALFORMED:
        return End.ERRORED  # its process is there, it may have run
    if outcome.stage <= Stage.WRITING:  # the upstream cannot have had it whole
        return End.UNSENT if outcome.why is Why.WITHDRAWN else End.UNREACHED
    return End.TIMED_OUT if outcome.why is Why.TIMED_OUT else End.RESET


def load_report(text: bytes, fields: tuple[str, ...]) -> tuple[float, ...]:
    """The figures of a load report in the order of the settings; () where one is missing or odd."""
    words = text.decode("latin-1").strip()
    words = words.removeprefix("TEXT").removeprefix("JSON").strip("{} \t")
    found: dict[str, float] = {}
    for part in words.replace(":", "=").split(","):
        name, _, value = part.partition("=")
        name = name.strip(' "')
        try:
            found[REPORT_WORDS.get(name, name)] = float(value)
        except ValueError:
            continue
    # guards: one figure that is no number, or out of all proportion, would stand in every mean
    if all(0 <= found.get(f, -1) <= (MOST_UTIL if f == "util" else MOST_FIGURE) for f in fields):
        return tuple(found[f] for f in fields)
    return ()


def unread(transport: asyncio.BaseTransport, what: int) -> bool:
    """Whether bytes, or the other side's end, lie in a connection's socket that the loop has not read yet.

    `what` is a mask of `select.poll`; an error counts always, and so does a connection that we are closing.
    """
    if transport.is_closing():
        return True
    look = select.poll()
    look.register(transport.get_extra_info("socket").fileno(), what)
    return bool(look.poll(0))


def _anybody() -> bool:
    return True


def _never() -> bool:
    return False


class Errand:
    """One request to an upstream, until it has ended."""

    __slots__ = (
        "begin_by",
        "body",
        "conn",
        "done",
        "expires",
        "head",
        "head_only",
        "opening",
        "peer",
        "sent",
        "stage",
        "timer",
        "wanted",
    )

    def __init__(
        self,
        head: bytes,
        body: bytes,
        sent: float,
        time_out: float,
        head_only: bool,
        done: Callable[[Answer | Cut], None],
        wanted: Callable[[], bool] = _anybody,
    ) -> None:
        self.head = head  # without the blank line at its end
        self.body = body
        self.sent = sent
        self.expires = sent + time_out
        self.begin_by = inf  # nothing of it may begin at its upstream from then on
        self.head_only = head_only
        self.done: Callable[[Answer | Cut], None] | None = done
        self.wanted = wanted  # whether anybody waits for it still
        self.stage = Stage.CONNECTING
        self.peer: Peer | None = None
        self.conn: Conn | None = None
        self.opening: asyncio.Task[None] | None = None
        self.timer: asyncio.TimerHandle | None = None

    def end(self, outcome: Answer | Cut) -> None:
        """It has ended; whatever comes later changes nothing."""
        done, self.done = self.done, None
        if done is None:
            return
        self.wanted = _anybody  # guards: visit and errand would wait for the collector together
        if self.timer is not None:
            self.timer.cancel()
        if self.peer is not None:
            self.peer.errands.pop(self, None)
        if self.opening is not None:
            self.opening.cancel()
        if self.conn is not None and isinstance(outcome, Cut):
            self.conn.close(outcome.why.value)  # its late bytes must never reach another visit
        done(outcome)

    def cut(self, why: Why) -> None:
        if self.done is not None and self.stage is Stage.WRITING and self.conn and self.conn.written():
            self.stage = Stage.WRITTEN
        self.end(Cut(self.stage, why))

    def withdraw(self) -> None:
        """Nobody waits for it: what has not left us whole never does. That is no cancel at the upstream."""
        if self.stage is Stage.CONNECTING or (
            self.stage is Stage.WRITING and self.conn is not None and not self.conn.written()
        ):
            self.end(Cut(self.stage, Why.WITHDRAWN))


class Conn(asyncio.Protocol):
    """One connection to an upstream; it carries one errand at a time."""

    def __init__(self, peer: Peer) -> None:
        self.peer = peer
        self.times = peer.times
        self.errand: Errand | None = None
        self.transport: asyncio.Transport | None = None
        self.used = 0.0  # when its last whole answer came
        self._parser: Any = httptools.HttpResponseParser(self)
        self._raw = self._size = 0
        self._begin()

    def _begin(self) -> None:
        self.peer.pool.held -= self._size
        self._fields: list[bytes] = []
        self._body: list[bytes] = []
        self._size = 0
        self._head_done = self._framed = self._ends_with_it = self._never_ran = self._keep = False
        self._report = self._connection = b""
        self._answer: Answer | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.transport.set_write_buffer_limits(high=0)  # resume_writing tells when all has left our buffer

    def written(self) -> bool:
        return self.transport is not None and self.transport.get_write_buffer_size() == 0

    def start(self, errand: Errand, now: float) -> None:
        """Write the request; what is left of its time-out by now goes along, and no more than that."""
        assert self.transport is not None
        self.errand, errand.conn = errand, self
        errand.stage = Stage.WRITING
        left = int(errand.expires - now)
        self.transport.write(b"%bX-Expires-In: %.3f\r\n\r\n%b" % (errand.head, left / 1e3, errand.body))
        if self.written():
            errand.stage = Stage.WRITTEN

    def resume_writing(self) -> None:
        if self.errand is not None and self.errand.stage is Stage.WRITING:
            self.errand.stage = Stage.WRITTEN

    def close(self, why: str) -> None:
        self.errand = None
        self.peer.forget(self)
        if self.transport is None:
            return
        if not self.transport.is_closing():
            self.peer.closed(why)
        if not (self.transport.is_closing() or self.written()):
            # guards: the loop closes it a pass later, and in that pass what lay in our buffer, told as never
            # sent, could leave us whole
            shut(self.transport, socket.SHUT_RDWR)
        self.transport.abort()

    # what comes back

    def data_received(self, data: bytes) -> None:
        errand = self.errand
        if errand is None:  # guards: bytes that nobody asked for would be taken for the next answer
            self.close("bytes that nobody asked for")
            return
        errand.stage = Stage.ANSWERING
        self._raw += len(data)
        if self._raw > (8 * MOST_ANSWER if self._head_done else MOST_RAW):
            errand.cut(Why.MALFORMED)
            return
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError:
            if self._answer is None:
                errand.cut(Why.MALFORMED)
                return
            self._finish(errand, keep=False)
            return
        if self._answer is not None:
            # guards: a request that is not all written, or a second answer, would put it out of step
            self._finish(errand, keep=self._keep and self.written() and not errand.head_only)

    def _finish(self, errand: Errand, keep: bool) -> None:
        answer = self._answer
        assert answer is not None
        self.errand = errand.conn = None
        if keep and self.times == self.peer.times:  # guards: it leads to an address or a process of before
            self._raw = 0
            self._begin()
            self.peer.rest(self)
        else:
            self.close("not kept by its last answer")
        errand.end(answer)

    def eof_received(self) -> bool:
        # guards: the loop library takes a reset that comes right behind bytes for an end, and it is none
        if (
            self.errand is not None
            and self._ends_with_it
            and self.transport is not None
            and not failed(self.transport)
        ):
            self.on_message_complete()  # an answer without a length lasts until the end
            self._finish(self.errand, keep=False)
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        self.peer.pool.held -= self._size
        self._size = 0
        self._parser = None  # guards: the two would wait for the collector together
        self.peer.forget(self)
        if self.errand is not None:
            self.errand.cut(Why.BROKEN)
            self.errand = None

    # the parser's calls

    def on_message_begin(self) -> None:
        if self._answer is not None:
            self._keep = False  # a second answer, maybe a part of one, that nobody asked for

    def on_header(self, name: bytes, value: bytes) -> None:
        if self._head_done:
            return  # a trailer
        known = name.lower()
        if known in (b"content-length", b"transfer-encoding"):
            self._framed = True
            if (
                known == b"content-length"
                and not (value.isdigit() and int(value) <= MOST_ANSWER)
                and not (self.errand and self.errand.head_only)
            ):
                raise ValueError("no length that could be kept")  # guards: 3 GB would be read up to the limit
        elif known == b"endpoint-load-metrics":
            self._report = value
        elif known == b"x-never-ran":
            self._never_ran = value.strip() == b"1"
        elif known == b"connection":
            self._connection = value.lower()
        elif known not in HOP_BY_HOP:
            self._fields.append(b"%b: %b\r\n" % (name, value))

    def on_headers_complete(self) -> None:
        self._head_done = True
        status = self._parser.get_status_code()
        # guards: a head that lost its length would make half an answer a whole one when its connection breaks
        self._ends_with_it = status >= 200 and not self._framed and b"close" in self._connection
        if self.errand is not None and self.errand.head_only and status >= 200:
            self.on_message_complete()

    def on_body(self, body: bytes) -> None:
        self._size += len(body)
        pool = self.peer.pool
        pool.held += len(body)
        if self._size > MOST_ANSWER or pool.held > pool.most_held:
            raise ValueError("body too large")  # stops the parser
        self._body.append(body)

    def on_message_complete(self) -> None:
        if self._answer is not None:
            return
        status = self._parser.get_status_code()
        if status < 200:
            if status == 101:
                raise ValueError("no other protocol was asked for")
            self._begin()  # an interim answer
            return
        self._keep = self._parser.should_keep_alive()  # known only until this returns
        self._answer = Answer(
            status, b"".join(self._fields), b"".join(self._body), self._report, self._never_ran
        )


class Peer:
    """One upstream: its address, its connections, the errands that are out to it."""

    def __init__(self, pool: Upstreams, at: tuple[str, int]) -> None:
        self.pool = pool
        self.at = at
        self.started = 0.0  # of its process, as the list says
        self.withdrawn = False  # the list says that it takes nothing new
        self.times = 0  # that the list named it anew: other address, other process, or takes nothing new
        self.idle: list[Conn] = []  # last used last
        self.errands: dict[Errand, None] = {}

    def run(self, errand: Errand) -> None:
        errand.peer = self
        self.errands[errand] = None
        now = self.pool.clock()  # guards: a turn may be long, and what it began with is no more what is left
        errand.timer = self.pool.loop.call_later(max(0.0, errand.expires - now) / 1e3, self._expire, errand)
        if self.withdrawn or errand.expires - now < LEAST:
            errand.cut(Why.WITHDRAWN)
            return
        for conn in reversed(self.idle):
            if now - conn.used < SETTLE:
                continue  # guards: a second answer behind the last one would be taken for this one's
            # guards: an end, or a second answer, that has come and was not read yet would be this one's
            if (
                conn.transport is None
                or now - conn.used >= self.pool.keep_idle
                or unread(conn.transport, select.POLLIN)
            ):
                conn.close("idle too long, or something unread")
                continue
            if self._may_begin(errand):
                self.idle.remove(conn)
                conn.start(errand, self.pool.clock())
            return
        if not self.pool.has_room():
            errand.cut(Why.WITHDRAWN)
            return
        # guards: counted from now on, or all sends of one turn would see the same room
        conn = Conn(self)
        self.pool.open[conn] = None
        errand.opening = self.pool.loop.create_task(self._open(errand, conn))
        errand.opening.add_done_callback(
            lambda task: conn.close("its request has ended") if task.cancelled() else None
        )

    def _may_begin(self, errand: Errand) -> bool:
        """The last look before an upstream sees something of an errand, its connection or its first byte."""
        # guards: between choosing and this lie a turn, a permit, passes of the loop, maybe a stop of this
        # process; the client can have left meanwhile, its time can be over, and so can the one in which its
        # repeat is known for one. No upstream is to blame for that
        now = self.pool.clock()
        if (
            now < errand.begin_by
            and errand.expires - now >= LEAST
            and errand.wanted()
            and not self.pool.sends_blocked()
        ):
            return True
        errand.cut(Why.WITHDRAWN)
        return False

    async def _open(self, errand: Errand, conn: Conn) -> None:
        """Connect for an errand; a connection that comes too late for it is closed."""
        pool = self.pool
        opening, errand.opening = errand.opening, None
        if not self._may_begin(errand):
            return conn.close("not needed any more")
        errand.opening = opening
        try:
            async with asyncio.timeout(pool.connect_time_out / 1e3):
                await self._connect(conn)
        except TimeoutError:
            errand.opening = None
            errand.cut(Why.NO_CONNECTION)
        except OSError:
            errand.opening = None
            errand.cut(Why.BROKEN)
        else:
            errand.opening = None
            # guards: an upstream that died right after it accepted; written on, the request might have run
            if conn.transport is None or unread(conn.transport, select.POLLIN):
                errand.cut(Why.BROKEN)
            elif errand.expires - pool.clock() < LEAST:
                # guards: after this process stood still its connection shows before its time-out does
                errand.cut(Why.NO_CONNECTION)
            elif errand.done is not None and self._may_begin(errand):
                conn.start(errand, pool.clock())
        finally:
            if conn.errand is None:
                conn.close("its request does not go out")

    async def _connect(self, conn: Conn) -> None:
        await self.pool.loop.create_connection(lambda: conn, *self.at)

    def _expire(self, errand: Errand) -> None:
        if errand.stage is Stage.WRITTEN:
            # guards: an upstream that was cut off says nothing. Connections that have not answered since
            # this errand was sent may be as dead as its own
            for conn in [c for c in self.idle if c.used < errand.sent]:
                conn.close("no answer on another since")
        errand.cut(Why.TIMED_OUT)

    def rest(self, conn: Conn) -> None:
        conn.used = self.pool.clock()
        self.idle.append(conn)

    def forget(self, conn: Conn) -> None:
        self.pool.open.pop(conn, None)
        if conn in self.idle:
            self.idle.remove(conn)

    def drop_idle(self, why: str, before: float = float("inf")) -> None:
        """Close the connections that have been idle since before a time."""
        for conn in [c for c in self.idle if c.used <= before]:
            conn.close(why)

    def closed(self, why: str) -> None:
        """A connection to it is closed by us."""
        if self.pool.events is not None:
            self.pool.events.closed("upstream", why, f"{self.at[0]}:{self.at[1]}")

    def renew(self) -> None:
        """The list names it anew: what leads to what it was is not used again, nor written to.

        Guards: a fetch that was chosen for the former address or process would be written there, or to one
        that is cold now; one that waits for its connection could leave later than the grace after a drain.
        """
        self.times += 1
        self.drop_idle("the list names its upstream anew")
        for errand in [e for e in self.errands if e.stage is Stage.CONNECTING]:
            errand.cut(Why.WITHDRAWN)

    def withdraw(self) -> None:
        """The list says that it takes nothing new."""
        self.withdrawn = True
        self.renew()


class Upstreams:
    """All upstreams, by the small index that the front gave them, and the descriptors they may use."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        clock: Callable[[], float],
        most_open: int,
        connect_time_out: float,
        keep_idle: float,
        most_held: int,
        events: EventLog | None = None,
    ) -> None:
        self.loop = loop
        self.clock = clock
        self.most_open = most_open
        self.most_held = most_held
        self.events = events
        self.held = 0  # bytes of answers that are not yet whole
        self.adopt(connect_time_out, keep_idle)
        self.sends_blocked: Callable[[], bool] = _never  # whether nothing may begin at any upstream now
        self.peers: dict[int, Peer] = {}
        self._added = -1
        self.open: dict[Conn, None] = {}

    def adopt(self, connect_time_out: float, keep_idle: float) -> None:
        """Figures of the settings, at the start and on a reload; they hold for connections that rest, too."""
        self.connect_time_out = connect_time_out
        self.keep_idle = KEEP_SHARE * keep_idle

    def add(self, at: tuple[str, int]) -> int:
        self._added += 1  # never given out again: a late word of one that is forgotten must not meet another
        self.peers[self._added] = Peer(self, at)
        return self._added

    def listed(self, upstream: int, at: tuple[str, int], started: float, ready: bool) -> None:
        """What the list says of one now."""
        peer = self.peers[upstream]
        if at != peer.at or started != peer.started:
            peer.renew()
        peer.at, peer.started, peer.withdrawn = at, started, not ready
        if not ready:
            peer.withdraw()

    def has_room(self) -> bool:
        """Room for one more connection; at the limit the one that was idle longest makes it."""
        if len(self.open) >= self.most_open:
            idle = [peer.idle[0] for peer in self.peers.values() if peer.idle]
            if not idle:
                return False
            min(idle, key=lambda conn: conn.used).close("made room for another")
        return True

    def tidy(self, now: float) -> None:
        """Close what has been idle for long, before the other side does."""
        for peer in self.peers.values():
            peer.drop_idle("idle too long", now - self.keep_idle)

    def close(self) -> None:
        for conn in list(self.open):
            conn.close("the process ends")
