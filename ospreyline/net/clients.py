"""Client connections: accepts them, reads their requests and writes the final answers.

A whole request becomes a `Request`: the header fields that decisions need are parsed, the rest is forwarded
as received. Every request read gets exactly one answer on its connection, in order.
"""

from __future__ import annotations

import asyncio
import re
import select
import socket
import struct
from collections import Counter, deque
from dataclasses import dataclass
from http import HTTPStatus
from math import inf, isfinite
from typing import Any, Protocol, cast

import httptools

from ospreyline.net.events import EventLog
from ospreyline.net.memory import PeerBudgets
from ospreyline.net.reading import ReadScheduler
from ospreyline.net.retry_proof import SECRET, SECRET_FIELD, make_proof
from ospreyline.net.sockets import PeerState, discard_unread, peer_state, shutdown_now, unacknowledged
from ospreyline.net.upstreams import HOP_BY_HOP, MAX_BODY_BYTES, MAX_HEAD_BYTES, MAX_RAW_BYTES, unread

IDLE_TIMEOUT_S = 75.0  # a connection may be idle between requests for this long
FIRST_BYTE_TIMEOUT_S = 2.0  # a new connection may send nothing for this long
TRANSFER_TIMEOUT_S = 2.3  # time limit for receiving a request, or for sending an answer
SILENT_EVICTION_AGE_S = 0.02  # age at which a connection that has sent nothing may be evicted at the limit
QUIET_BEFORE_CLOSE_S = 0.1  # an idle connection may be closed after this long without a byte
# during shutdown, a new connection may still send its first request within this time
FIRST_REQUEST_GRACE_S = 1.0
LINGER_S = 1.0  # after its last answer a connection is still read for this long
# received bytes after the last answer beyond which the connection is closed at once
MAX_LINGER_BYTES = 1 << 20
# fields of a request, with its trailers, and chunks of its body: each is a call of the parser, however short.
# 100 fields are the usual limit of proxies; so many chunks bring the largest body in 16 bytes each
MAX_FIELDS, MAX_CHUNKS = 100, MAX_BODY_BYTES // 16
# header fields that are not forwarded as received; the balancer sets its own values where needed
REPLACED_FIELDS = HOP_BY_HOP | {b"expect", b"x-expires-in", SECRET_FIELD}
HEALTH_PATHS = (b"/health/ready", b"/health/live")
NO_PREFIX = -1  # instead of a path prefix: a health check, answered by the balancer itself
SINGLE_VALUE_FIELDS = frozenset(
    (
        b"x-trace-id",
        b"x-qos",
        b"idempotency-key",
        b"x-expires-in",
        b"content-length",
        b"transfer-encoding",
        b"host",
        SECRET_FIELD,
    )
)
# header fields whose values matter here
READ_FIELDS = SINGLE_VALUE_FIELDS | {b"connection", b"expect", b"x-second-try"}
# fields that the effect of a request depends on; Connection must not name them
END_TO_END_FIELDS = frozenset((b"x-trace-id", b"idempotency-key", b"host"))
TCP_INFO_LAST_RECEIVED = struct.Struct("52xI")  # tcpi_last_data_recv (ms) in the kernel's `struct tcp_info`
REQUEST_ID = re.compile(rb"[!-~]{1,128}")


@dataclass(slots=True)
class Request:
    """One whole request."""

    method: bytes
    path: bytes  # including the query
    fields: bytes  # header fields to forward
    body: bytes
    prefix_index: int  # index of the path prefix, or NO_PREFIX
    request_id: bytes
    time_left: float | None
    is_repeat: bool
    # its client got no answer to an earlier request with this id and asks again for the outcome
    asks_for_outcome: bool = False
    proof: bytes = b""  # of its client's secret (`retry_proof`); empty: nobody may ask for its outcome
    held_bytes: int = 0  # charged to the memory budget of requests

    def head(self) -> bytes:
        """Request line and header fields to send to an upstream, without the final blank line."""
        length = b"Content-Length: %d\r\n" % len(self.body) if self.body or self.method != b"GET" else b""
        return b"%b %b HTTP/1.1\r\n%b%b" % (self.method, self.path, self.fields, length)


class VisitHandler(Protocol):
    """Handles whole requests."""

    prefixes: dict[bytes, int]
    tagged: frozenset[int]  # indices of the prefixes whose visits need an idempotency key
    closing: bool
    counts: Counter[str]

    @property
    def keeps_outcomes(self) -> bool: ...
    def accept_request(self, request: Request, client: ClientConnection) -> bool: ...
    def client_left(self, client: ClientConnection) -> None: ...
    def ready(self) -> bool: ...


class BadRequest(Exception):
    """A request that is rejected at its connection with an HTTP status."""

    def __init__(self, status: int) -> None:
        super().__init__(status)
        self.status = status


def response(status: int, fields: bytes, body: bytes, close: bool, head_only: bool = False) -> bytes:
    framing = b"" if status in (204, 304) else b"Content-Length: %d\r\n" % len(body)
    return b"HTTP/1.1 %d %b\r\n%b%b%b\r\n%b" % (
        status,
        HTTPStatus(status).phrase.encode(),
        fields,
        framing,
        b"Connection: close\r\n" if close else b"",
        b"" if head_only else body,
    )


class ClientConnection(asyncio.BufferedProtocol):
    """One client connection."""

    def __init__(self, clients: ClientListener) -> None:
        self.clients = clients
        self.transport: asyncio.Transport | None = None
        # loop time (s) at which it became idle, or began to read a request or to write an answer
        self.state_since = clients.loop.time()
        self.current_request: Request | None = None  # the request that is waiting for its answer
        self.tag = -1  # the visit's tag at the handler
        self._parser: Any = httptools.HttpRequestParser(self)
        self._read_bytes = 0  # of the read that is being parsed
        self.held_bytes = 0  # of the request that is being received, charged to the memory budget
        self._unhandled: deque[Request | BadRequest] = deque()
        self.has_requested = False  # has sent at least one whole request
        self._trailing_bytes = 0  # received after its last answer
        # loop time (s) at which bytes came while its request waited for the answer
        self._extra_bytes_at = -inf
        self._keep_alive = True
        self._reading = False
        self._finished = False
        self._reset_request()

    def _reset_request(self) -> None:
        self._free_buffers()
        self._raw_bytes = self._head_bytes = self._field_count = self._chunk_count = 0
        self._head_done = False
        self.spared_once = False  # was overdue once, with unread bytes in its socket

    def _free_buffers(self) -> None:
        # field by field and chunk by chunk these would be objects of many times their size
        self._path = b""
        self._forwarded_fields = bytearray()  # as received
        self._field_values: dict[bytes, bytes] = {}  # of READ_FIELDS, by name
        self._connection_options: set[bytes] = set()  # fields that Connection names
        self._body = bytearray()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.clients.open[self] = None
        self.clients._accepting -= 1

    def eviction_rank(self) -> int:
        """Eviction order: 2 last answer written, 1 no request yet, 0 idle; -1 must not be evicted."""
        if self.transport is not None and self.transport.get_write_buffer_size():
            return -1  # closing would cut short an answer that the client is still reading
        if self._finished and self.current_request is None and not self._unhandled:
            return 2
        return -1 if not self.is_idle() else 0 if self.has_requested else 1

    def is_idle(self) -> bool:
        return (
            self.current_request is None and not self._reading and not self._unhandled and not self._finished
        )

    def is_busy(self) -> bool:
        """Whether a request is being received or is waiting for its answer."""
        return (
            self.current_request is not None
            or bool(self._unhandled)
            or (self._reading and not self._finished)
        )

    def get_buffer(self, sizehint: int) -> memoryview:
        return self.clients.reads.buffer()

    def buffer_updated(self, nbytes: int) -> None:
        self.data_received(self.clients.reads.received(nbytes, self.transport))

    def data_received(self, data: memoryview) -> None:
        if self.current_request is not None:
            self._extra_bytes_at = self.clients.loop.time()
        if self._finished or not self._keep_alive:
            # data after the last request that is answered on this connection
            self._trailing_bytes += len(data)
            if self._trailing_bytes > MAX_LINGER_BYTES:
                # without this limit, reading on a body of 60 MB takes CPU time that other clients need
                self.close("too much behind its last answer")
            return
        self._read_bytes = len(data)
        self._raw_bytes += len(data)
        try:
            self._parser.feed_data(data)
            if not self._head_done and self._raw_bytes > MAX_HEAD_BYTES:
                raise BadRequest(431)
            if self._raw_bytes > MAX_RAW_BYTES:
                # trailers, chunk headers and empty lines between requests are not part of a body and have no
                # other limit
                raise BadRequest(413)
        except httptools.HttpParserUpgrade:
            self._keep_alive = False  # protocol upgrades are not supported
            if self._reading:
                self._reject(BadRequest(400))
        except httptools.HttpParserError as error:
            if not self._keep_alive:
                return self._handle_next()
            cause = error.__context__
            self._reject(cause if isinstance(cause, BadRequest) else BadRequest(400))
        except BadRequest as error:
            self._reject(error)
        if self._reading:
            # a bound on what parser and connection hold of the request
            self._charge(self._raw_bytes)
        self._handle_next()

    def _charge(self, held: int) -> None:
        """Charge the request that is being received with `held` bytes in all."""
        budget = self.clients.budgets.requests
        budget.charge(held - self.held_bytes)
        self.held_bytes = held
        if budget.exceeded:
            self.clients.reject_largest_requests()

    def _release(self) -> None:
        """Free what was received of a request."""
        self.clients.budgets.requests.charge(-self.held_bytes)
        self.held_bytes = 0
        self._free_buffers()

    def reject_over_budget(self) -> None:
        """Reject the request that is being received; nothing of it was forwarded."""
        self._reject(BadRequest(503))
        self._handle_next()

    def is_receiving(self) -> bool:
        """Whether a part of a request has been received, and not the rest."""
        return self._reading and not self._finished

    def _reject(self, error: BadRequest) -> None:
        """Reject a request after which nothing more can be parsed: its answer is the connection's last."""
        self._reading = False
        self._release()
        self._parser = None  # holds a part of a header field
        self._unhandled.append(error)
        self._finished = True

    # callbacks of the HTTP parser

    def on_message_begin(self) -> None:
        if self.current_request is not None or self._unhandled:
            # Requests are accepted one at a time: pipelining could bring hundreds at once. None of those that
            # arrived together is forwarded.
            self._drop_unhandled()
            raise BadRequest(400)
        self._reset_request()
        self._raw_bytes = self._read_bytes
        self._reading = True
        self.state_since = self.clients.loop.time()

    def on_url(self, url: bytes) -> None:
        self._path += url
        self._count_head(len(url))

    def on_header(self, name: bytes, value: bytes) -> None:
        self._count_field()
        if self._head_done:
            return  # trailers are not forwarded
        self._count_head(len(name) + len(value))
        lower_name = name.lower()
        if lower_name in READ_FIELDS:
            if lower_name in self._field_values and lower_name in SINGLE_VALUE_FIELDS:
                raise BadRequest(400)
            self._field_values[lower_name] = value
            if lower_name == b"connection":
                self._connection_options |= {part.strip() for part in value.lower().split(b",")}
        if lower_name not in REPLACED_FIELDS:
            self._forwarded_fields += b"%b: %b\r\n" % (name, value)

    def _count_head(self, count: int) -> None:
        """Checked with each field: one read can bring thousands of them."""
        self._head_bytes += count
        if self._head_bytes > MAX_HEAD_BYTES:
            raise BadRequest(431)

    def _count_field(self) -> None:
        """Bounds the fields of head and trailers: each is a call of the parser, however short it is."""
        self._field_count += 1
        if self._field_count > MAX_FIELDS:
            raise BadRequest(431)

    def on_headers_complete(self) -> None:
        self._head_done = True
        values = self._field_values
        if b"content-length" in values and b"transfer-encoding" in values:
            raise BadRequest(400)
        if values.get(b"transfer-encoding", b"chunked").lower() != b"chunked":
            raise BadRequest(501)
        if int(values.get(b"content-length", b"0")) > MAX_BODY_BYTES:
            raise BadRequest(413)
        if (
            values.get(b"expect", b"").lower() == b"100-continue"
            and self.transport is not None
            and self.current_request is None
        ):
            self.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_chunk_header(self) -> None:
        self._chunk_count += 1
        if self._chunk_count > MAX_CHUNKS:
            raise BadRequest(413)

    def on_body(self, body: bytes) -> None:
        if len(self._body) + len(body) > MAX_BODY_BYTES:
            raise BadRequest(413)
        self._body += body

    def on_message_complete(self) -> None:
        self._reading = False
        self.has_requested = True
        keep = self._parser.should_keep_alive()
        try:
            request = self._parse_request()
            self._unhandled.append(request)
        except BadRequest as error:
            self._unhandled.append(error)
        else:
            request.held_bytes = len(request.path) + len(request.fields) + len(request.body)
            self.clients.budgets.requests.charge(request.held_bytes)
        self._release()
        if not keep:
            self._keep_alive = False

    def _forwardable_fields(self) -> bytes:
        """The received fields without those that Connection names."""
        removed = self._connection_options - END_TO_END_FIELDS - REPLACED_FIELDS
        if not removed:
            return bytes(self._forwarded_fields)
        lines = bytes(self._forwarded_fields).split(b"\r\n")
        kept = [line for line in lines if line.partition(b":")[0].lower() not in removed]
        return b"\r\n".join(kept)

    def _parse_request(self) -> Request:
        values = self._field_values
        method = self._parser.get_method()
        if method == b"GET" and self._path in HEALTH_PATHS:
            return Request(method, self._path, b"", b"", NO_PREFIX, b"", None, False)
        if self._parser.get_http_version() not in ("1.0", "1.1"):
            raise BadRequest(505)
        if not self._path.startswith(b"/"):
            raise BadRequest(400)
        name = self._path.split(b"?", 1)[0].split(b"/", 2)[1]
        prefix_index = self.clients.handler.prefixes.get(name, NO_PREFIX)
        if prefix_index == NO_PREFIX:
            raise BadRequest(404)
        if values.get(b"x-qos", name) != name:
            raise BadRequest(400)  # header and path name different prefixes
        # Upstreams reject a request without an id, which would count as a failure of theirs, and a repeat of
        # a tagged visit is recognized only by its key.
        request_id = values.get(b"x-trace-id", b"")
        if not REQUEST_ID.fullmatch(request_id) or (
            prefix_index in self.clients.handler.tagged and not values.get(b"idempotency-key")
        ):
            raise BadRequest(400)
        left: float | None = None
        if (text := values.get(b"x-expires-in")) is not None:
            try:
                left = 1e3 * float(text)
            except ValueError:
                raise BadRequest(400) from None
            if not isfinite(left) or b"_" in text:
                raise BadRequest(400)
        return Request(
            method=method,
            path=self._path,
            fields=self._forwardable_fields(),
            body=bytes(self._body),
            prefix_index=prefix_index,
            request_id=request_id,
            time_left=left,
            is_repeat=(again := values.get(b"x-second-try", b"").strip()) in (b"1", b"same"),
            asks_for_outcome=again == b"same",
            proof=self._proof(method, request_id),
        )

    def _proof(self, method: bytes, request_id: bytes) -> bytes:
        """The proof that its client's secret makes; empty without a secret."""
        secret = self._field_values.get(SECRET_FIELD)
        if secret is None:
            return b""
        if not SECRET.fullmatch(secret):
            raise BadRequest(400)
        if not self.clients.handler.keeps_outcomes:
            return b""
        key = self._field_values.get(b"idempotency-key", b"")
        return make_proof(secret, request_id, method, self._path, key, bytes(self._body))

    def _drop_unhandled(self) -> None:
        for found in self._unhandled:
            if isinstance(found, Request):
                self.clients.release_request(found)
        self._unhandled.clear()

    # visits and their answers

    def _handle_next(self) -> None:
        """Handle the queued requests as long as none is waiting for its answer."""
        while self.current_request is None and self._unhandled:
            found = self._unhandled.popleft()
            if isinstance(found, BadRequest):
                self.clients.handler.counts[f"door_{found.status}"] += 1
                self.write_answer(response(found.status, b"", b"", self._is_last_answer()))
            elif found.prefix_index == NO_PREFIX:
                self.clients.release_request(found)
                ok = found.path != b"/health/ready" or self.clients.handler.ready()
                status, body = (200, b"ok\n") if ok else (503, b"not ready\n")
                self.write_answer(response(status, b"", body, self._is_last_answer()))
            elif self.clients.over_request_budget():
                self.clients.release_request(found)
                self.clients.handler.counts["door_503"] += 1
                self.write_answer(response(503, b"", b"", self._is_last_answer()))
            else:
                self.current_request = found
                if not self.clients.handler.accept_request(found, self):
                    # Another open request has this id: forwarding it would send an upstream a second copy,
                    # and a client asking again for the id could get the wrong answer.
                    self.current_request = None
                    self.clients.release_request(found)
                    self.clients.handler.counts["door_409"] += 1
                    self.write_answer(response(409, b"", b"", self._is_last_answer()))

    def _is_last_answer(self) -> bool:
        """Whether the next answer is the last on this connection."""
        return not self._unhandled and (
            self._finished or not self._keep_alive or self.clients.handler.closing
        )

    def reply(self, status: int, fields: bytes, body: bytes) -> None:
        """Write the final answer to the current visit."""
        request, self.current_request, self.tag = self.current_request, None, -1
        head_only = request is not None and request.method == b"HEAD"
        self.write_answer(response(status, fields, body, self._is_last_answer(), head_only))
        self._handle_next()

    def write_answer(self, data: bytes) -> None:
        transport = self.transport
        if transport is None or transport.is_closing():
            return
        last = self._is_last_answer()
        self.state_since = self.clients.loop.time()
        transport.write(data)
        if transport.get_write_buffer_size():
            self.clients.bound_unsent(self)
        if last:
            self.start_lingering_close()

    def start_lingering_close(self) -> None:
        """Send nothing more: half-close, and keep reading for a moment (lingering close).

        Closing with unread bytes would reset the connection, and a reset can destroy the answer.
        """
        self._finished = True
        self.state_since = self.clients.loop.time()  # a connection that was idle for long would count as slow
        transport = self.transport
        if transport is not None and not transport.is_closing():
            if transport.get_write_buffer_size():
                transport.write_eof()
            else:
                shutdown_now(transport)
            self.clients.loop.call_later(LINGER_S, self._end_lingering)

    def _end_lingering(self) -> None:
        """Close once the client's machine has acknowledged the answer, unless it is overdue before."""
        # data that arrives after a close is answered by a reset, which discards the kernel's send buffer
        if self.has_unacknowledged():
            self.clients.loop.call_later(QUIET_BEFORE_CLOSE_S, self._end_lingering)
        else:
            self.close("its last answer has gone")

    def has_unacknowledged(self) -> bool:
        """Whether part of the written data is not yet acknowledged by the client's machine."""
        transport = self.transport
        return (
            transport is not None
            and not transport.is_closing()
            and bool(transport.get_write_buffer_size() or unacknowledged(transport))
        )

    def has_unread(self) -> bool:
        """Whether its socket may contain unread request data."""
        return not self._finished and self.transport is not None and unread(self.transport, select.POLLIN)

    def state(self) -> PeerState:
        """Whether the client is still there, even if the event loop has not read that yet."""
        # Timers and event batches run before sockets are read. After a long batch or a stall, a request would
        # otherwise be forwarded although its client left long ago.
        if self.transport is None:
            return PeerState.LEFT
        state = peer_state(self.transport)
        if state is PeerState.OPEN and self.clients.loop.time() < self._extra_bytes_at + QUIET_BEFORE_CLOSE_S:
            # what its machine could not send yet, and its end behind that, comes only now that we read on
            return PeerState.UNREAD
        return state

    def ms_since_received(self) -> float:
        """Milliseconds since its last bytes reached this machine, as far as the OS reports it; else 0."""
        if self.transport is None or self.transport.is_closing():
            return 0.0
        try:
            info = self.transport.get_extra_info("socket").getsockopt(
                socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO_LAST_RECEIVED.size
            )
            return float(TCP_INFO_LAST_RECEIVED.unpack(info)[0])
        except (OSError, struct.error):
            return 0.0  # the OS does not report it, or reports a shorter struct

    def eof_received(self) -> bool:
        self._notify_left()
        return False  # let the transport close

    def _notify_left(self) -> None:
        """Report the disconnect at once, not when the transport is closed some loop iterations later."""
        if self.current_request is not None:
            self.current_request = None
            self.clients.handler.client_left(self)

    def connection_lost(self, exc: Exception | None) -> None:
        self.clients.remove(self)
        self._parser = None  # breaks a reference cycle, so that no garbage collection is needed
        self._finished = True
        self._drop_unhandled()
        self._release()
        self.clients.unsent.pop(self, None)
        self._notify_left()

    def is_overdue(self, now: float) -> bool:
        """Whether it has exceeded the time limit of its current state; `now` is loop time in seconds."""
        if self.current_request is not None:
            return False
        return now - self.state_since > (
            TRANSFER_TIMEOUT_S
            if self._reading or self._finished
            else IDLE_TIMEOUT_S
            if self.has_requested
            else FIRST_BYTE_TIMEOUT_S
        )

    def close(self, why: str) -> None:
        """Close the connection at once."""
        if self.transport is not None and not self.transport.is_closing():
            if self.clients.events is not None:
                self.clients.events.closed("client", why, str(self.transport.get_extra_info("peername")))
            discard_unread(self.transport)
            self.transport.abort()


class ClientListener:
    """The listening socket and the accepted connections."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        handler: VisitHandler,
        max_open: int,
        budgets: PeerBudgets,
        reads: ReadScheduler,
        events: EventLog | None = None,
    ) -> None:
        self.loop = loop
        self.budgets = budgets
        self.reads = reads
        self.events = events
        self.handler = handler
        self.max_open = max_open
        self.open: dict[ClientConnection, None] = {}
        self.unsent: dict[ClientConnection, int] = {}  # bytes of answers that these have not read yet
        # evicted; their descriptors are freed in the next loop iteration
        self.evicted: dict[ClientConnection, None] = {}
        self._accepting = 0  # number accepted, but not yet in `open`
        self._tasks: set[asyncio.Task[None]] = set()  # running _accept_connection calls
        self._accept_timer: asyncio.TimerHandle | None = None  # resumes accepting after a pause at the limit
        self._socket: socket.socket | None = None

    def listen(self, at: tuple[str, int]) -> tuple[str, int]:
        family = socket.AF_INET6 if ":" in at[0] else socket.AF_INET
        sock = self._socket = socket.socket(family, socket.SOCK_STREAM | socket.SOCK_NONBLOCK)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.bind(at)
        sock.listen(1024)
        self.loop.add_reader(sock, self.accept)
        name: tuple[str, int] = sock.getsockname()[:2]
        return name

    def accept(self) -> bool:
        """Accept all waiting connections as far as descriptors allow, evicting idle ones at the limit.

        False if some may still be waiting.
        """
        accepted_over_half = 0
        try:
            while self._socket is not None:
                here = len(self.open) + self._accepting + len(self.evicted)
                if here >= self.max_open:
                    if not accepted_over_half:
                        self._make_room(self._socket)
                    return False
                try:
                    conn, _ = self._socket.accept()
                except BlockingIOError:
                    return True
                except (InterruptedError, ConnectionAbortedError):
                    continue  # an aborted connection must not block those queued behind it
                except OSError:
                    self._pause_accepting(self._socket)
                    return False
                self._start_connection(conn)
                accepted_over_half += here >= self.max_open // 2
            return True
        finally:
            # Connections that are idle after one request, or silent, use up the connections that clients can
            # open at all, which locks out regular clients well before our own limit. So eviction starts at
            # half of it.
            if accepted_over_half:
                self._evict_idle(QUIET_BEFORE_CLOSE_S, accepted_over_half)

    def _make_room(self, sock: socket.socket) -> None:
        """Evict one at the limit, or pause accepting.

        Its descriptor is free only in the next loop iteration, when `accept` is called again: evicting and
        accepting in the same one let a burst exceed the limit.
        """
        if not self._evict_idle(QUIET_BEFORE_CLOSE_S) and not self._evict_idle(SILENT_EVICTION_AGE_S):
            self._pause_accepting(sock)

    def _start_connection(self, conn: socket.socket) -> None:
        conn.setblocking(False)
        self.handler.counts["accepted"] += 1
        task = self.loop.create_task(self._accept_connection(conn))
        self._accepting += 1
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _accept_connection(self, conn: socket.socket) -> None:
        try:
            await self.loop.connect_accepted_socket(lambda: ClientConnection(self), conn)
        except OSError:
            self._accepting -= 1
            conn.close()

    def _evict_idle(self, min_silence: float, most: int = 1) -> int:
        """Evict the least needed connections: answered for good, then silent so far, then idle longest.

        At most `most` of them, found in one pass over all; returns how many.
        """
        # a connection that was accepted just now may have an unread request
        now = self.loop.time()
        evictable = [(rank, c) for c in self.open if (rank := c.eviction_rank()) >= 0]
        found = [
            (-rank, c.state_since, c)
            for rank, c in evictable
            if now - c.state_since > (min_silence if rank == 1 else QUIET_BEFORE_CLOSE_S)
        ]
        silent = self._accepting + sum(rank == 1 for rank, _ in evictable)
        found.sort(key=lambda entry: entry[:2])
        evicted = 0
        for negative_rank, _, client in found:
            if evicted == most:
                break
            # after a late loop iteration, accept may run before a request on one of them is read
            if client.has_unread() or client.has_unacknowledged():
                continue
            if negative_rank == 0 and silent > self.max_open // 4:
                break  # a flood of silent connections must not evict regular clients
            silent -= negative_rank == -1
            evicted += 1
            self._evict(client)
        return evicted

    def _evict(self, client: ClientConnection) -> None:
        self.handler.counts["made_room"] += 1
        self.open.pop(client, None)
        self.evicted[client] = None
        client.close("made room for another")

    # memory

    def release_request(self, request: Request) -> None:
        """Release what a request that is over was charged."""
        self.budgets.requests.charge(-request.held_bytes)
        request.held_bytes = 0

    def over_request_budget(self) -> bool:
        """Whether the requests exceed their memory budget, also without those that are still received."""
        if self.budgets.requests.exceeded:
            self.reject_largest_requests()
        return self.budgets.requests.exceeded

    def reject_largest_requests(self) -> None:
        """Reject the largest requests that are still received, until the budget is kept."""
        while self.budgets.requests.exceeded:
            receiving = [client for client in self.open if client.is_receiving() and client.held_bytes]
            if not receiving:
                return
            self.handler.counts["over_request_memory"] += 1
            max(receiving, key=lambda client: client.held_bytes).reject_over_budget()

    def bound_unsent(self, client: ClientConnection) -> None:
        """Keep the unsent answers within their budget: close the clients that hold the most."""
        self.unsent[client] = 0
        self.unsent = {
            each: size
            for each in self.unsent
            if each.transport is not None and (size := each.transport.get_write_buffer_size())
        }
        budget = self.budgets.unsent
        budget.charge(sum(self.unsent.values()) - budget.held)
        while budget.exceeded and self.unsent:
            largest = max(self.unsent, key=self.unsent.__getitem__)
            budget.charge(-self.unsent.pop(largest))
            self.handler.counts["over_unsent_memory"] += 1
            largest.close("its unread answers exceed the memory for them")

    def _pause_accepting(self, sock: socket.socket) -> None:
        """Pause accepting for a moment; otherwise a failing accept would make the event loop spin."""
        self.loop.remove_reader(sock)
        if self._accept_timer is None:
            self._accept_timer = self.loop.call_later(SILENT_EVICTION_AGE_S, self._resume_accepting)

    def _resume_accepting(self) -> None:
        self._accept_timer = None
        if self._socket is not None:
            self.loop.add_reader(self._socket, self.accept)

    def remove(self, client: ClientConnection) -> None:
        """Remove a closed connection; if accepting is paused, resume it, as a descriptor is free."""
        self.open.pop(client, None)
        self.evicted.pop(client, None)
        if self._accept_timer is not None:
            self._accept_timer.cancel()
            self._resume_accepting()

    def run_maintenance(self) -> None:
        """Close slow and silent connections, and evict idle ones above half of the limit."""
        now = self.loop.time()
        for client in [c for c in self.open if c.is_overdue(now)]:
            if not client.spared_once and client.has_unread():
                # It may have unread data. After a long loop iteration, all waiting connections would
                # otherwise be closed with whole requests in their sockets.
                client.spared_once = True
                continue
            self.handler.counts["cut_slow"] += 1
            if client.has_requested and client.is_idle():
                # some clients stay idle until this limit and send a request at that moment
                client.start_lingering_close()
            else:
                client.close("too slow, or silent")
        if (surplus := len(self.open) - self.max_open // 2) > 0:
            self._evict_idle(QUIET_BEFORE_CLOSE_S, surplus)

    def is_busy(self) -> bool:
        """Whether any request is unanswered or being received, or any connection is being accepted."""
        return bool(self._accepting) or any(client.is_busy() for client in self.open)

    def stop_listening(self) -> bool:
        """Accept what is queued, then stop listening; False while not all of it can be accepted.

        At the descriptor limit, connections with whole requests in them are still in the listen queue.
        """
        drained = self.accept()
        if drained:
            self._close_listener()
        return drained

    def has_unsent_answers(self) -> bool:
        """Whether an answer is not yet acknowledged by its client's machine."""
        return any(client.has_requested and client.has_unacknowledged() for client in self.open)

    def _close_listener(self) -> None:
        sock, self._socket = self._socket, None
        if sock is not None:
            self.loop.remove_reader(sock)
            sock.close()

    def close(self) -> None:
        self._close_listener()
        for client in list(self.open):
            client.close("the process ends")

    def close_idle(self) -> None:
        for client in self._closable_idle():
            client.start_lingering_close()

    def _closable_idle(self) -> list[ClientConnection]:
        # A connection that was accepted just now may have a request unread or on its way: idle ones that were
        # answered may be closed, but the first request on a connection must get an answer.
        now = self.loop.time()
        return [
            c
            for c in self.open
            if c.is_idle()
            and now - c.state_since > (QUIET_BEFORE_CLOSE_S if c.has_requested else FIRST_REQUEST_GRACE_S)
            and c.transport is not None
            and not unread(c.transport, select.POLLIN)
        ]
