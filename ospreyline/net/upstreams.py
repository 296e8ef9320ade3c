"""Upstream connections: pools them, carries out backend fetches and probes, and reports how these end.

An `Exchange` is one request to an upstream and its answer. It ends once, with a whole `Answer` or with an
`ExchangeFailure`, which says how far it had come; only `classify_end` turns either into an `End`.
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

from ospreyline.config import REPORT_WORDS
from ospreyline.host import End
from ospreyline.net.events import EventLog
from ospreyline.net.memory import MemoryBudget
from ospreyline.net.reading import ReadScheduler
from ospreyline.net.sockets import PeerState, failed, shutdown_now

MAX_BODY_BYTES = 65_536
MAX_HEAD_BYTES = 32_768
MAX_ANSWER_BYTES = 1 << 20  # limit on an answer's body
# one message as sent; small chunks add several times their content
MAX_RAW_BYTES = MAX_HEAD_BYTES + 8 * MAX_BODY_BYTES
SETTLE_MS = 25.0  # after an answer, extra data or the connection's end shows within this time
# an exchange is started only with this much time left; the remaining time is sent in whole ms
MIN_TIME_LEFT_MS = 1.0
READ_CHECK_INTERVAL_S = 0.002  # between two looks whether all that a client has sent is read
IDLE_TIME_SHARE = 0.8  # idle connections are closed after this share of the upstream's own idle timeout
MAX_UTIL, MAX_REPORT_VALUE = 4.0, 1e5  # bounds of a load report's values
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


class ExchangeStage(IntEnum):
    """How far an exchange had come."""

    CONNECTING = 0
    WRITING = 1  # the request is not completely written to the socket
    WRITTEN = 2
    ANSWERING = 3


class FailureReason(Enum):
    """Why an exchange failed."""

    BROKEN = "broken"  # refused, reset or closed by the upstream
    NO_CONNECTION = "no connection in time"
    TIMED_OUT = "timed out"
    CANCELLED = "called off"
    WITHDRAWN = "withdrawn"  # the upstream was removed from the list, or no descriptor is free
    MALFORMED = "malformed"


@dataclass(slots=True, frozen=True)
class ExchangeFailure:
    """An exchange that ended without a whole answer."""

    stage: ExchangeStage
    reason: FailureReason


@dataclass(slots=True, frozen=True)
class Answer:
    """A whole answer; its header fields are the bytes received, without hop-by-hop fields."""

    status: int
    head: bytes
    body: bytes
    report: bytes
    never_ran: bool


def classify_end(outcome: Answer | ExchangeFailure) -> End:
    """What the outcome of an exchange means to the decisions."""
    if isinstance(outcome, Answer):
        if outcome.status == 200:
            return End.DELIVERED
        return End.FULL if outcome.status in (503, 504) and outcome.never_ran else End.ERRORED
    if outcome.reason is FailureReason.CANCELLED:
        return End.CANCELLED
    if outcome.reason is FailureReason.MALFORMED:
        return End.ERRORED  # the upstream process runs, so the request may have executed
    if outcome.stage <= ExchangeStage.WRITING:  # the upstream cannot have received the whole request
        return End.UNSENT if outcome.reason is FailureReason.WITHDRAWN else End.UNREACHED
    return End.TIMED_OUT if outcome.reason is FailureReason.TIMED_OUT else End.RESET


def may_have_run(outcome: Answer | ExchangeFailure) -> bool:
    """Whether the upstream may have run a request whose exchange ended so."""
    if isinstance(outcome, Answer):
        return classify_end(outcome) is not End.FULL
    return outcome.stage > ExchangeStage.WRITING


def parse_load_report(text: bytes, fields: tuple[str, ...]) -> tuple[float, ...]:
    """Values of a load report in the configured order; () if one is missing or invalid."""
    fields_text = text.decode("latin-1").strip()
    fields_text = fields_text.removeprefix("TEXT").removeprefix("JSON").strip("{} \t")
    found: dict[str, float] = {}
    for part in fields_text.replace(":", "=").split(","):
        name, _, value = part.partition("=")
        name = name.strip(' "')
        try:
            found[REPORT_WORDS.get(name, name)] = float(value)
        except ValueError:
            continue
    # a value that is not a number, or absurdly large, would distort every mean that it enters
    if all(0 <= found.get(f, -1) <= (MAX_UTIL if f == "util" else MAX_REPORT_VALUE) for f in fields):
        return tuple(found[f] for f in fields)
    return ()


def unread(transport: asyncio.BaseTransport, mask: int) -> bool:
    """Whether a connection's socket has data, or the peer's end, that the event loop has not read yet.

    `mask` is a `select.poll` event mask. True also on an error, and if we are closing the connection.
    """
    if transport.is_closing():
        return True
    poller = select.poll()
    poller.register(transport.get_extra_info("socket").fileno(), mask)
    return bool(poller.poll(0))


def _nobody_leaves() -> PeerState:
    return PeerState.OPEN


def _never() -> bool:
    return False


class Exchange:
    """One exchange with an upstream: a request and its answer."""

    __slots__ = (
        "body",
        "client_state",
        "conn",
        "connect_task",
        "deadline",
        "head",
        "head_only",
        "on_end",
        "pool",
        "sent",
        "stage",
        "start_before",
        "timeout_timer",
        "waits_for_client",
    )

    def __init__(
        self,
        head: bytes,
        body: bytes,
        sent: float,
        time_out: float,
        head_only: bool,
        on_end: Callable[[Answer | ExchangeFailure], None],
        client_state: Callable[[], PeerState] = _nobody_leaves,
    ) -> None:
        self.head = head  # without the final blank line
        self.body = body
        self.sent = sent
        self.deadline = sent + time_out
        self.start_before = inf  # must not start at its upstream at or after this time
        self.head_only = head_only
        self.on_end: Callable[[Answer | ExchangeFailure], None] | None = on_end
        self.client_state = client_state  # whether a client still waits for it
        self.waits_for_client = False  # until all that the client has sent is read
        self.stage = ExchangeStage.CONNECTING
        self.pool: ConnectionPool | None = None
        self.conn: UpstreamConnection | None = None
        self.connect_task: asyncio.Task[None] | None = None
        self.timeout_timer: asyncio.TimerHandle | None = None

    def end(self, outcome: Answer | ExchangeFailure) -> None:
        """End the exchange; later events have no effect."""
        on_end, self.on_end = self.on_end, None
        if on_end is None:
            return
        # breaks a reference cycle between visit and exchange, so that no garbage collection is needed
        self.client_state = _nobody_leaves
        if self.timeout_timer is not None:
            self.timeout_timer.cancel()
        if self.pool is not None:
            self.pool.exchanges.pop(self, None)
        if self.connect_task is not None:
            self.connect_task.cancel()
        if self.conn is not None and isinstance(outcome, ExchangeFailure):
            self.conn.close(outcome.reason.value)  # bytes that arrive late must never reach another visit
        on_end(outcome)

    def fail(self, reason: FailureReason) -> None:
        if (
            self.on_end is not None
            and self.stage is ExchangeStage.WRITING
            and self.conn
            and self.conn.write_buffer_empty()
        ):
            self.stage = ExchangeStage.WRITTEN
        self.end(ExchangeFailure(self.stage, reason))

    def withdraw(self) -> None:
        """No client waits for it: end it unless it is completely sent. The upstream does not see a cancel."""
        if self.stage is ExchangeStage.CONNECTING or (
            self.stage is ExchangeStage.WRITING
            and self.conn is not None
            and not self.conn.write_buffer_empty()
        ):
            self.end(ExchangeFailure(self.stage, FailureReason.WITHDRAWN))


class UpstreamConnection(asyncio.BufferedProtocol):
    """One connection to an upstream; it carries one exchange at a time."""

    def __init__(self, pool: ConnectionPool) -> None:
        self.pool = pool
        self.generation = pool.generation
        self.exchange: Exchange | None = None
        self.transport: asyncio.Transport | None = None
        self.last_used = 0.0  # time of its last whole answer
        self._parser: Any = httptools.HttpResponseParser(self)
        self._raw_bytes = 0
        self.held_bytes = 0  # of the answer that is being received, charged to the memory budget
        self._reset_response()

    def _reset_response(self) -> None:
        # field by field and chunk by chunk these would be objects of many times their size
        self._fields = bytearray()
        self._body = bytearray()
        self._head_bytes = 0
        self._head_done = self._has_length = self._body_until_eof = self._never_ran = self._keep_alive = False
        self._load_report = self._connection = b""
        self._answer: Answer | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        # resume_writing is then called once our write buffer is empty
        self.transport.set_write_buffer_limits(high=0)

    def write_buffer_empty(self) -> bool:
        return self.transport is not None and self.transport.get_write_buffer_size() == 0

    def start(self, exchange: Exchange, now: float) -> None:
        """Write the request; X-Expires-In is the time that it has left now, rounded down to whole ms."""
        assert self.transport is not None
        self.exchange, exchange.conn = exchange, self
        exchange.stage = ExchangeStage.WRITING
        left = int(exchange.deadline - now)
        self.transport.write(b"%bX-Expires-In: %.3f\r\n\r\n%b" % (exchange.head, left / 1e3, exchange.body))
        if self.write_buffer_empty():
            exchange.stage = ExchangeStage.WRITTEN

    def resume_writing(self) -> None:
        if self.exchange is not None and self.exchange.stage is ExchangeStage.WRITING:
            self.exchange.stage = ExchangeStage.WRITTEN

    def close(self, why: str) -> None:
        self.exchange = None
        self.pool.remove(self)
        self._release()
        if self.transport is None:
            return
        if not self.transport.is_closing():
            self.pool.log_closed(why)
        if not (self.transport.is_closing() or self.write_buffer_empty()):
            # The event loop closes the socket one iteration later. Until then, buffered data that is reported
            # as never sent could still leave completely.
            shutdown_now(self.transport, socket.SHUT_RDWR)
        self.transport.abort()

    # receiving

    def get_buffer(self, sizehint: int) -> memoryview:
        return self.pool.pools.reads.buffer()

    def buffer_updated(self, nbytes: int) -> None:
        self.data_received(self.pool.pools.reads.received(nbytes, self.transport))

    def data_received(self, data: memoryview) -> None:
        exchange = self.exchange
        if exchange is None:  # unexpected bytes would be taken for the start of the next answer
            self.close("bytes that nobody asked for")
            return
        exchange.stage = ExchangeStage.ANSWERING
        self._raw_bytes += len(data)
        if self._raw_bytes > (8 * MAX_ANSWER_BYTES if self._head_done else MAX_RAW_BYTES):
            exchange.fail(FailureReason.MALFORMED)
            return
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError:
            if self._answer is None:
                exchange.fail(FailureReason.MALFORMED)
                return
            self._complete(exchange, keep=False)
            return
        if self._answer is not None:
            # after an incompletely written request, or a second answer, requests and answers would not match
            self._complete(
                exchange, keep=self._keep_alive and self.write_buffer_empty() and not exchange.head_only
            )
            return
        # a bound on what parser and connection hold
        pools = self.pool.pools
        pools.budget.charge(self._raw_bytes - self.held_bytes)
        self.held_bytes = self._raw_bytes
        if pools.budget.exceeded:
            pools.fail_largest_answers()

    def _release(self) -> None:
        """Free what was received of an answer."""
        self.pool.pools.budget.charge(-self.held_bytes)
        self.held_bytes = 0
        self._fields, self._body = bytearray(), bytearray()
        self._parser = None  # breaks a reference cycle, so that no garbage collection is needed

    def _complete(self, exchange: Exchange, keep: bool) -> None:
        answer = self._answer
        assert answer is not None
        self.exchange = exchange.conn = None
        # the upstream's address or process has changed since the connection was opened
        if keep and self.generation == self.pool.generation:
            self._raw_bytes = 0
            self._reset_response()
            self.pool.release(self)
        else:
            self.close("not kept by its last answer")
        size = len(answer.head) + len(answer.body)
        self.pool.pools.answer_complete(size - self.held_bytes, size)
        self.held_bytes = 0
        exchange.end(answer)

    def eof_received(self) -> bool:
        # the event loop may report a reset right behind data as a regular end; it does not complete an answer
        if (
            self.exchange is not None
            and self._body_until_eof
            and self.transport is not None
            and not failed(self.transport)
        ):
            self.on_message_complete()  # an answer without a length ends with the connection
            self._complete(self.exchange, keep=False)
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        self._release()
        self.pool.remove(self)
        if self.exchange is not None:
            self.exchange.fail(FailureReason.BROKEN)
            self.exchange = None

    # callbacks of the HTTP parser

    def on_message_begin(self) -> None:
        if self._answer is not None:
            self._keep_alive = False  # an unexpected second answer, or part of one

    def on_header(self, name: bytes, value: bytes) -> None:
        if self._head_done:
            return  # trailers are ignored
        self._head_bytes += len(name) + len(value)
        if self._head_bytes > MAX_HEAD_BYTES:
            raise ValueError("head too large")  # stops the parser
        known = name.lower()
        if known in (b"content-length", b"transfer-encoding"):
            self._has_length = True
            if (
                known == b"content-length"
                and not (value.isdigit() and int(value) <= MAX_ANSWER_BYTES)
                and not (self.exchange and self.exchange.head_only)
            ):
                # without this, an answer of 3 GB would be read up to the limit
                raise ValueError("no length that could be kept")
        elif known == b"endpoint-load-metrics":
            self._load_report = value
        elif known == b"x-never-ran":
            self._never_ran = value.strip() == b"1"
        elif known == b"connection":
            self._connection = value.lower()
        elif known not in HOP_BY_HOP:
            self._fields += b"%b: %b\r\n" % (name, value)

    def on_headers_complete(self) -> None:
        self._head_done = True
        status = self._parser.get_status_code()
        # Only with "Connection: close" may an answer end with its connection. If the length were merely
        # missing, half an answer would count as whole when the connection breaks.
        self._body_until_eof = status >= 200 and not self._has_length and b"close" in self._connection
        if self.exchange is not None and self.exchange.head_only and status >= 200:
            self.on_message_complete()

    def on_body(self, body: bytes) -> None:
        if len(self._body) + len(body) > MAX_ANSWER_BYTES:
            raise ValueError("body too large")  # stops the parser
        self._body += body

    def on_message_complete(self) -> None:
        if self._answer is not None:
            return
        status = self._parser.get_status_code()
        if status < 200:
            if status == 101:
                raise ValueError("no other protocol was asked for")
            self._reset_response()  # an interim (1xx) answer
            return
        self._keep_alive = self._parser.should_keep_alive()  # known only until this callback returns
        self._answer = Answer(
            status, bytes(self._fields), bytes(self._body), self._load_report, self._never_ran
        )


class ConnectionPool:
    """The connections to one upstream and its open exchanges."""

    def __init__(self, pools: ConnectionPools, address: tuple[str, int]) -> None:
        self.pools = pools
        self.address = address
        self.process_started = 0.0  # start time of its process, from the list
        self.withdrawn = False  # the list allows no new requests
        self.generation = 0  # incremented when its address or process changes, or it takes no new requests
        self.idle: list[UpstreamConnection] = []  # most recently used last
        self.exchanges: dict[Exchange, None] = {}

    def run(self, exchange: Exchange) -> None:
        exchange.pool = self
        self.exchanges[exchange] = None
        now = self.pools.clock()  # read again, as an event batch may have taken long
        exchange.timeout_timer = self.pools.loop.call_later(
            max(0.0, exchange.deadline - now) / 1e3, self._on_timeout, exchange
        )
        if self.withdrawn or exchange.deadline - now < MIN_TIME_LEFT_MS:
            exchange.fail(FailureReason.WITHDRAWN)
        elif exchange.client_state() is PeerState.UNREAD:
            exchange.connect_task = self.pools.loop.create_task(self._run_once_read(exchange))
        else:
            self._run_now(exchange)

    async def _run_once_read(self, exchange: Exchange) -> None:
        """Run an exchange once all that its client has sent is read."""
        await self._read_client(exchange)
        exchange.connect_task = None
        if exchange.on_end is not None:
            self._run_now(exchange)

    async def _read_client(self, exchange: Exchange) -> None:
        """Wait until all that the client has sent is read, as its end may stand behind that.

        The bytes behind a request are bounded (`MAX_LINGER_BYTES`), and so is this wait.
        """
        while exchange.on_end is not None and exchange.client_state() is PeerState.UNREAD:
            exchange.waits_for_client = True
            await asyncio.sleep(READ_CHECK_INTERVAL_S)
        exchange.waits_for_client = False

    def _run_now(self, exchange: Exchange) -> None:
        """Write an exchange on an idle connection, or open one for it."""
        now = self.pools.clock()
        for conn in reversed(self.idle):
            if now - conn.last_used < SETTLE_MS:
                continue  # a second answer behind the last one would be taken for this exchange's
            # unread data, such as the connection's end or a second answer, would be taken for this exchange's
            # answer
            if (
                conn.transport is None
                or now - conn.last_used >= self.pools.keep_idle
                or unread(conn.transport, select.POLLIN)
            ):
                conn.close("idle too long, or something unread")
                continue
            if self._may_start(exchange):
                self.idle.remove(conn)
                conn.start(exchange, self.pools.clock())
            return
        if not self.pools.evict_if_full():
            exchange.fail(FailureReason.WITHDRAWN)
            return
        # Registered before it is open, or all sends of one event batch would see the same free descriptor.
        conn = UpstreamConnection(self)
        self.pools.open[conn] = None
        exchange.connect_task = self.pools.loop.create_task(self._open_connection(exchange, conn))
        exchange.connect_task.add_done_callback(
            lambda task: conn.close("its request has ended") if task.cancelled() else None
        )

    def _may_start(self, exchange: Exchange) -> bool:
        """Last check before an upstream receives anything of an exchange (a connection or its first byte)."""
        # Since the upstream was chosen, an event batch, a takeover grant, loop iterations or a stall may have
        # passed: the client may have left, its time or the window in which a repeat is recognized may be
        # over. The exchange is then withdrawn, which does not count against the upstream.
        now = self.pools.clock()
        if (
            now < exchange.start_before
            and exchange.deadline - now >= MIN_TIME_LEFT_MS
            and exchange.client_state() is not PeerState.LEFT
            and not self.pools.sends_blocked()
        ):
            return True
        exchange.fail(FailureReason.WITHDRAWN)
        return False

    async def _open_connection(self, exchange: Exchange, conn: UpstreamConnection) -> None:
        """Open a connection for an exchange; close it if it is ready too late."""
        pools = self.pools
        connect_task, exchange.connect_task = exchange.connect_task, None
        if not self._may_start(exchange):
            return conn.close("not needed any more")
        exchange.connect_task = connect_task
        try:
            async with asyncio.timeout(pools.connect_time_out / 1e3):
                await self._connect(conn)
        except TimeoutError:
            exchange.connect_task = None
            exchange.fail(FailureReason.NO_CONNECTION)
        except OSError:
            exchange.connect_task = None
            exchange.fail(FailureReason.BROKEN)
        else:
            await self._read_client(exchange)
            exchange.connect_task = None
            # the upstream may have died right after accepting; once written, the request might have executed
            if conn.transport is None or unread(conn.transport, select.POLLIN):
                exchange.fail(FailureReason.BROKEN)
            elif exchange.deadline - pools.clock() < MIN_TIME_LEFT_MS:
                # after a stall, the connection may be reported before its timeout
                exchange.fail(FailureReason.NO_CONNECTION)
            elif exchange.on_end is not None and self._may_start(exchange):
                conn.start(exchange, pools.clock())
        finally:
            if conn.exchange is None:
                conn.close("its request does not go out")

    async def _connect(self, conn: UpstreamConnection) -> None:
        await self.pools.loop.create_connection(lambda: conn, *self.address)

    def _on_timeout(self, exchange: Exchange) -> None:
        if exchange.waits_for_client:
            # counted against the upstream, one client that goes on sending would have it ejected
            exchange.fail(FailureReason.WITHDRAWN)
            return
        if exchange.stage is ExchangeStage.WRITTEN:
            # An upstream that is cut off sends nothing. Connections without an answer since this exchange was
            # sent may be dead, too.
            for conn in [c for c in self.idle if c.last_used < exchange.sent]:
                conn.close("no answer on another since")
        exchange.fail(FailureReason.TIMED_OUT)

    def release(self, conn: UpstreamConnection) -> None:
        conn.last_used = self.pools.clock()
        self.idle.append(conn)

    def remove(self, conn: UpstreamConnection) -> None:
        self.pools.open.pop(conn, None)
        if conn in self.idle:
            self.idle.remove(conn)

    def close_idle(self, why: str, before: float = float("inf")) -> None:
        """Close the connections that have been idle since `before` (ms)."""
        for conn in [c for c in self.idle if c.last_used <= before]:
            conn.close(why)

    def log_closed(self, why: str) -> None:
        """Log that we closed a connection."""
        if self.pools.events is not None:
            self.pools.events.closed("upstream", why, f"{self.address[0]}:{self.address[1]}")

    def invalidate(self) -> None:
        """The list entry changed: close idle connections and withdraw exchanges that are still connecting.

        Otherwise a fetch chosen for the former address or process would be written to it, or to an upstream
        that is cold now; and one that waits for its connection could be sent after the drain grace period.
        """
        self.generation += 1
        self.close_idle("the list names its upstream anew")
        for exchange in [e for e in self.exchanges if e.stage is ExchangeStage.CONNECTING]:
            exchange.fail(FailureReason.WITHDRAWN)

    def withdraw(self) -> None:
        """The list allows no new requests to this upstream."""
        self.withdrawn = True
        self.invalidate()


class ConnectionPools:
    """The connection pools of all upstreams by index, within one descriptor limit."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        clock: Callable[[], float],
        max_open: int,
        connect_time_out: float,
        keep_idle: float,
        budget: MemoryBudget,
        reads: ReadScheduler,
        events: EventLog | None = None,
    ) -> None:
        self.loop = loop
        self.clock = clock
        self.max_open = max_open
        self.budget = budget
        self.reads = reads
        self.events = events
        self._undelivered_bytes = 0  # of complete answers that are not passed on yet
        self.apply_config(connect_time_out, keep_idle)
        self.sends_blocked: Callable[[], bool] = _never  # whether no request may be sent to any upstream now
        self.pools: dict[int, ConnectionPool] = {}
        self._last_index = -1
        self.open: dict[UpstreamConnection, None] = {}

    def apply_config(self, connect_time_out: float, keep_idle: float) -> None:
        """Set the configured timeouts (ms), at start and on reload; they apply to idle connections, too."""
        self.connect_time_out = connect_time_out
        self.keep_idle = IDLE_TIME_SHARE * keep_idle

    def add(self, address: tuple[str, int]) -> int:
        # never reused: a late event of a forgotten upstream must not be assigned to another
        self._last_index += 1
        self.pools[self._last_index] = ConnectionPool(self, address)
        return self._last_index

    def update_from_list(self, upstream: int, address: tuple[str, int], started: float, ready: bool) -> None:
        """Apply the current list entry of an upstream."""
        pool = self.pools[upstream]
        if address != pool.address or started != pool.process_started:
            pool.invalidate()
        pool.address, pool.process_started, pool.withdrawn = address, started, not ready
        if not ready:
            pool.withdraw()

    def evict_if_full(self) -> bool:
        """Whether one more connection may be opened; at the limit, the longest idle one is closed for it."""
        if len(self.open) >= self.max_open:
            idle = [pool.idle[0] for pool in self.pools.values() if pool.idle]
            if not idle:
                return False
            min(idle, key=lambda conn: conn.last_used).close("made room for another")
        return True

    def answer_complete(self, change: int, size: int) -> None:
        """Charge a complete answer of `size` bytes, `change` more than before, until it is passed on."""
        self.budget.charge(change)
        self._undelivered_bytes += size

    def release_answers(self) -> None:
        """The answers that were complete have been passed on."""
        self.budget.charge(-self._undelivered_bytes)
        self._undelivered_bytes = 0

    def fail_largest_answers(self) -> None:
        """Fail the fetches with the largest incomplete answers, until the budget is kept."""
        while self.budget.exceeded:
            incomplete = [conn for conn in self.open if conn.held_bytes and conn.exchange is not None]
            if not incomplete:
                return
            exchange = max(incomplete, key=lambda conn: conn.held_bytes).exchange
            assert exchange is not None
            exchange.fail(FailureReason.MALFORMED)

    def run_maintenance(self, now: float) -> None:
        """Close connections that have been idle for long, before the upstream does."""
        for pool in self.pools.values():
            pool.close_idle("idle too long", now - self.keep_idle)

    def close(self) -> None:
        for conn in list(self.open):
            conn.close("the process ends")
