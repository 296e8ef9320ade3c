"""Clients as peers: connections accepted, requests read, final answers written.

A request that is whole becomes a `Request`; its fields are taken out where decisions need them, the rest
stays the bytes that came. Every request read gets exactly one answer on its connection, in order.
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
from math import isfinite
from typing import Any, Protocol, cast

import httptools

from ospreyline.net.events import EventLog
from ospreyline.net.sockets import drain, shut, unacknowledged
from ospreyline.net.upstreams import HOP_BY_HOP, MOST_BODY, MOST_HEAD, MOST_RAW, unread

IDLE = 75.0  # s that a connection may stand between requests
SILENT = 2.0  # s that one may stand before its first byte
SLOW = 2.3  # s that a request may take to come, or an answer to go
FRESH = 0.02  # s after which one that has sent nothing may be closed, if there is no room
SETTLED = 0.1  # s without a byte after which we may close an idle connection
FIRST = 1.0  # s that a connection gets for its first request, though we are ending
LINGER = 1.0  # s that a connection is read on after its last answer
MOST_LINGER = 1 << 20  # bytes that are read on
# what goes on to upstreams only as the balancer words it
OWN_FIELDS = HOP_BY_HOP | {b"expect", b"x-expires-in"}
OWN_PATHS = (b"/health/ready", b"/health/live")
OWN = -1  # in place of a path prefix: answered by the balancer itself
ONCE_FIELDS = frozenset(
    (
        b"x-trace-id",
        b"x-qos",
        b"idempotency-key",
        b"x-expires-in",
        b"content-length",
        b"transfer-encoding",
        b"host",
    )
)
LAST_RECEIVED = struct.Struct("52xI")  # tcpi_last_data_recv of the system's `struct tcp_info`
ID = re.compile(rb"[!-~]{1,128}")  # of a request


@dataclass(slots=True)
class Request:
    """One whole request."""

    method: bytes
    path: bytes  # with its query
    fields: bytes  # those that go on
    body: bytes
    prefix: int  # or OWN
    trace: bytes  # its id
    time_left: float | None
    repeat: bool
    asks: bool = False  # its client asks again for what it sent under this very id, and had no answer to

    def head(self) -> bytes:
        """The head that goes on to an upstream, without the blank line at its end."""
        length = b"Content-Length: %d\r\n" % len(self.body) if self.body or self.method != b"GET" else b""
        return b"%b %b HTTP/1.1\r\n%b%b" % (self.method, self.path, self.fields, length)


class Door(Protocol):
    """Where whole requests go."""

    prefixes: dict[bytes, int]
    tagged: frozenset[int]  # those prefixes whose visits need a key
    closing: bool
    counts: Counter[str]

    def accept_request(self, request: Request, client: Client) -> bool: ...
    def client_left(self, client: Client) -> None: ...
    def ready(self) -> bool: ...


class BadRequest(Exception):
    """A request that cannot be taken; it stops at its connection."""

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


class Client(asyncio.Protocol):
    """One connection of a client."""

    def __init__(self, clients: Clients) -> None:
        self.clients = clients
        self.transport: asyncio.Transport | None = None
        self.since = clients.loop.time()  # it has been idle, or reading, or writing, since then
        self.out: Request | None = None  # the one that its client waits for
        self.tag = -1  # what the door calls it
        self._parser: Any = httptools.HttpRequestParser(self)
        self._waiting: deque[Request | BadRequest] = deque()
        self.asked = False  # it has sent a whole request
        self._left_over = 0  # bytes behind its last answer
        self._keep = True
        self._reading = False
        self._over = False
        self._clear()

    def _clear(self) -> None:
        self._path = b""
        self._fields: list[tuple[bytes, bytes]] = []
        self._body: list[bytes] = []
        self._raw = self._size = 0
        self._head_done = False
        self.spared = False  # it was overdue once, with bytes in its socket

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.clients.open[self] = None
        self.clients._coming -= 1

    def spare(self) -> int:
        """How readily it makes room: 2 last answer written, 1 has asked nothing, 0 idle, -1 not at all."""
        if self.transport is not None and self.transport.get_write_buffer_size():
            return -1  # guards: an answer that its client is still reading would be cut short
        if self._over and self.out is None and not self._waiting:
            return 2
        return -1 if not self.idle() else 0 if self.asked else 1

    def idle(self) -> bool:
        return self.out is None and not self._reading and not self._waiting and not self._over

    def busy(self) -> bool:
        """Whether a request is coming, or waits for its answer."""
        return self.out is not None or bool(self._waiting) or (self._reading and not self._over)

    def data_received(self, data: bytes) -> None:
        if self._over or not self._keep:
            # behind the last request that is answered here
            self._left_over += len(data)
            if self._left_over > MOST_LINGER:
                # guards: a body of 60 MB costs the core that others wait for
                self.drop("too much behind its last answer")
            return
        self._raw += len(data)
        try:
            self._parser.feed_data(data)
            if not self._head_done and self._raw > MOST_HEAD:
                raise BadRequest(431)
            if self._raw > MOST_RAW:
                # guards: trailers and chunk headers are no body and have no end, nor have empty lines between
                raise BadRequest(413)
        except httptools.HttpParserUpgrade:
            self._keep = False  # no other protocol is spoken here
            if self._reading:
                self._bad(BadRequest(400))
        except httptools.HttpParserError as error:
            if not self._keep:
                return self._next()
            cause = error.__context__
            self._bad(cause if isinstance(cause, BadRequest) else BadRequest(400))
        except BadRequest as error:
            self._bad(error)
        self._next()

    def _bad(self, error: BadRequest) -> None:
        """Nothing behind this can be read: its answer is the connection's last."""
        self._reading = False
        self._waiting.append(error)
        self._over = True

    # the parser's calls

    def on_message_begin(self) -> None:
        if self.out is not None or self._waiting:
            # guards: hundreds of requests at once. One is asked at a time; none that came together goes on
            self._waiting.clear()
            raise BadRequest(400)
        self._clear()
        self._reading = True
        self.since = self.clients.loop.time()

    def on_url(self, url: bytes) -> None:
        self._path += url

    def on_header(self, name: bytes, value: bytes) -> None:
        if not self._head_done:
            self._fields.append((name, value))

    def on_headers_complete(self) -> None:
        self._head_done = True
        if len(self._path) + sum(len(name) + len(value) for name, value in self._fields) > MOST_HEAD:
            raise BadRequest(431)
        named: dict[bytes, bytes] = {}
        for name, value in self._fields:
            known = name.lower()
            if known in named and known in ONCE_FIELDS:
                raise BadRequest(400)
            named[known] = value
        if b"content-length" in named and b"transfer-encoding" in named:
            raise BadRequest(400)
        if named.get(b"transfer-encoding", b"chunked").lower() != b"chunked":
            raise BadRequest(501)
        if int(named.get(b"content-length", b"0")) > MOST_BODY:
            raise BadRequest(413)
        if (
            named.get(b"expect", b"").lower() == b"100-continue"
            and self.transport is not None
            and self.out is None
        ):
            self.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_body(self, body: bytes) -> None:
        self._size += len(body)
        if self._size > MOST_BODY:
            raise BadRequest(413)
        self._body.append(body)

    def on_message_complete(self) -> None:
        self._reading = False
        self.asked = True
        keep = self._parser.should_keep_alive()
        try:
            self._waiting.append(self._request())
        except BadRequest as error:
            self._waiting.append(error)
        if not keep:
            self._keep = False

    def _request(self) -> Request:
        own = {}
        dropped = set(OWN_FIELDS)
        for name, value in self._fields:
            known = name.lower()
            own[known] = value
            if known == b"connection":
                # guards: a client must not have the fields taken out that its effect depends on
                named = {part.strip() for part in value.lower().split(b",")}
                dropped |= named - {b"x-trace-id", b"idempotency-key", b"host"}
        method = self._parser.get_method()
        if method == b"GET" and self._path in OWN_PATHS:
            return Request(method, self._path, b"", b"", OWN, b"", None, False)
        if self._parser.get_http_version() not in ("1.0", "1.1"):
            raise BadRequest(505)
        if not self._path.startswith(b"/"):
            raise BadRequest(400)
        name = self._path.split(b"?", 1)[0].split(b"/", 2)[1]
        prefix = self.clients.door.prefixes.get(name, OWN)
        if prefix == OWN:
            raise BadRequest(404)
        if own.get(b"x-qos", name) != name:
            raise BadRequest(400)  # its two names of the path prefix differ
        # guards: upstreams turn away what has no id, which would count as their failure; and a repeat of a
        # tagged visit is known by its key alone
        trace = own.get(b"x-trace-id", b"")
        if not ID.fullmatch(trace) or (
            prefix in self.clients.door.tagged and not own.get(b"idempotency-key")
        ):
            raise BadRequest(400)
        left: float | None = None
        if (text := own.get(b"x-expires-in")) is not None:
            try:
                left = 1e3 * float(text)
            except ValueError:
                raise BadRequest(400) from None
            if not isfinite(left) or b"_" in text:
                raise BadRequest(400)
        return Request(
            method=method,
            path=self._path,
            fields=b"".join(b"%b: %b\r\n" % f for f in self._fields if f[0].lower() not in dropped),
            body=b"".join(self._body),
            prefix=prefix,
            trace=trace,
            time_left=left,
            repeat=(again := own.get(b"x-second-try", b"").strip()) in (b"1", b"same"),
            asks=again == b"same",
        )

    # visits and their answers

    def _next(self) -> None:
        """Take the next request, if none is out."""
        while self.out is None and self._waiting:
            found = self._waiting.popleft()
            if isinstance(found, BadRequest):
                self.clients.door.counts[f"door_{found.status}"] += 1
                self.answer(response(found.status, b"", b"", self._last()))
            elif found.prefix == OWN:
                ok = found.path != b"/health/ready" or self.clients.door.ready()
                status, body = (200, b"ok\n") if ok else (503, b"not ready\n")
                self.answer(response(status, b"", body, self._last()))
            else:
                self.out = found
                if not self.clients.door.accept_request(found, self):
                    # guards: the id of another's open request would be a second copy at an upstream, and
                    # whoever waits for that id may get the other's answer
                    self.out = None
                    self.clients.door.counts["door_409"] += 1
                    self.answer(response(409, b"", b"", self._last()))

    def _last(self) -> bool:
        """Whether the answer to come is the last on this connection."""
        return not self._waiting and (self._over or not self._keep or self.clients.door.closing)

    def reply(self, status: int, fields: bytes, body: bytes) -> None:
        """The final answer to the visit that is out."""
        request, self.out, self.tag = self.out, None, -1
        head_only = request is not None and request.method == b"HEAD"
        self.answer(response(status, fields, body, self._last(), head_only))
        self._next()

    def answer(self, data: bytes) -> None:
        transport = self.transport
        if transport is None or transport.is_closing():
            return
        last = self._last()
        self.since = self.clients.loop.time()
        transport.write(data)
        if last:
            self.finish()

    def finish(self) -> None:
        """No further answer: half-close and read on for a moment.

        Guards: closed with bytes unread, the connection is reset, and the reset can destroy the answer.
        """
        self._over = True
        self.since = self.clients.loop.time()  # guards: one that had rested for long would be cut as slow
        transport = self.transport
        if transport is not None and not transport.is_closing():
            if transport.get_write_buffer_size():
                transport.write_eof()
            else:
                shut(transport)
            self.clients.loop.call_later(LINGER, self._lingered)

    def _lingered(self) -> None:
        """Close, once its client's machine has all of the answer; who reads too slowly is cut as such."""
        # guards: what comes after a close is answered by a reset, which takes along what the machine holds
        if self.holding():
            self.clients.loop.call_later(SETTLED, self._lingered)
        else:
            self.drop("its last answer has gone")

    def holding(self) -> bool:
        """Whether a part of what was written is not with its client's machine."""
        transport = self.transport
        return (
            transport is not None
            and not transport.is_closing()
            and bool(transport.get_write_buffer_size() or unacknowledged(transport))
        )

    def unread(self) -> bool:
        """Whether a request, or a part of one, may lie in its socket."""
        return not self._over and self.transport is not None and unread(self.transport, select.POLLIN)

    def gone(self) -> bool:
        """Whether its client has gone, even if that still lies unread in the socket."""
        # guards: timers and turns come before sockets are read; after a long one, or once this process was
        # stopped, a request would go on whose client left long ago
        return self.transport is None or unread(self.transport, select.POLLRDHUP)

    def waited(self) -> float:
        """How long ago, in ms, its last bytes came to this machine, as far as the system tells; else 0."""
        if self.transport is None or self.transport.is_closing():
            return 0.0
        try:
            told = self.transport.get_extra_info("socket").getsockopt(
                socket.IPPROTO_TCP, socket.TCP_INFO, LAST_RECEIVED.size
            )
            return float(LAST_RECEIVED.unpack(told)[0])
        except (OSError, struct.error):
            return 0.0  # guards: a system that does not tell it, or tells less

    def eof_received(self) -> bool:
        self._gone()
        return False  # closes the connection

    def _gone(self) -> None:
        """Its client waits no more: told at once, not when the connection is closed some passes later."""
        if self.out is not None:
            self.out = None
            self.clients.door.client_left(self)

    def connection_lost(self, exc: Exception | None) -> None:
        self.clients.lost(self)
        self._parser = None  # guards: the two would wait for the collector together
        self._over = True
        self._waiting.clear()
        self._gone()

    def overdue(self, now: float) -> bool:
        """Whether it has been too long without a byte that was due."""
        if self.out is not None:
            return False
        return now - self.since > (SLOW if self._reading or self._over else IDLE if self.asked else SILENT)

    def drop(self, why: str) -> None:
        """Close the connection at once."""
        if self.transport is not None and not self.transport.is_closing():
            if self.clients.events is not None:
                self.clients.events.closed("client", why, str(self.transport.get_extra_info("peername")))
            drain(self.transport)
            self.transport.abort()


class Clients:
    """The listening socket and the connections accepted."""

    def __init__(
        self, loop: asyncio.AbstractEventLoop, door: Door, most_open: int, events: EventLog | None = None
    ) -> None:
        self.loop = loop
        self.events = events
        self.door = door
        self.most_open = most_open
        self.open: dict[Client, None] = {}
        self.closing: dict[Client, None] = {}  # to make room; their descriptors are free in the next pass
        self._coming = 0  # accepted, and not yet among the open ones
        self._tasks: set[asyncio.Task[None]] = set()  # that take them in
        self._waits: asyncio.TimerHandle | None = None  # until we accept again, at the limit
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
        """Accept all that waits, as far as descriptors allow; the longest idle connection makes room.

        False where something may be waiting still.
        """
        sock, accepted = self._socket, False
        while sock is not None:
            here = len(self.open) + self._coming + len(self.closing)
            if here >= self.most_open:
                # guards: the descriptor of who makes room is free in the next pass only, and the loop calls
                # again then; taken at once, a burst went over the limit by as many as could make room
                if not accepted and not self._make_room(SETTLED) and not self._make_room(FRESH):
                    self._put_off(sock)
                return False
            try:
                conn, _ = sock.accept()
            except BlockingIOError:
                return True
            except (InterruptedError, ConnectionAbortedError):
                continue  # guards: one that is gone must not keep those behind it waiting
            except OSError:
                self._put_off(sock)
                return False
            conn.setblocking(False)
            accepted = True
            self.door.counts["accepted"] += 1
            task = self.loop.create_task(self._admit(conn))
            self._coming += 1
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
            # guards: those that ask once and stay, or say nothing, hold what clients may open at all, and the
            # usual ones are kept out long before our own limit; so half of it is where room is made
            if here >= self.most_open // 2:
                self._make_room(SETTLED)
        return True

    async def _admit(self, conn: socket.socket) -> None:
        try:
            await self.loop.connect_accepted_socket(lambda: Client(self), conn)
        except OSError:
            self._coming -= 1
            conn.close()

    def _make_room(self, silent_for: float) -> bool:
        """Close the connection that is missed least: answered for good, silent so far, idle longest."""
        # guards: the request of one that was accepted just now may wait to be read
        now = self.loop.time()
        spare = [(rank, c) for c in self.open if (rank := c.spare()) >= 0]
        found = [
            (-rank, c.since, c) for rank, c in spare if now - c.since > (silent_for if rank == 1 else SETTLED)
        ]
        silent = self._coming + sum(rank == 1 for rank, _ in spare)
        found.sort(key=lambda entry: entry[:2])
        # guards: after a late pass the listener may be read before a request that has come to one of them
        client = next((c for _, _, c in found if not c.unread() and not c.holding()), None)
        if client is None or (client.spare() == 0 and silent > self.most_open // 4):
            return False  # guards: a flood of silent ones must not cost the usual clients theirs
        self.door.counts["made_room"] += 1
        self.open.pop(client, None)
        self.closing[client] = None
        client.drop("made room for another")
        return True

    def _put_off(self, sock: socket.socket) -> None:
        """Accept again when connections have settled. Guards: a failing accept would spin the loop."""
        self.loop.remove_reader(sock)
        if self._waits is None:
            self._waits = self.loop.call_later(FRESH, self._accept_again)

    def _accept_again(self) -> None:
        self._waits = None
        if self._socket is not None:
            self.loop.add_reader(self._socket, self.accept)

    def lost(self, client: Client) -> None:
        """A connection has ended: who waits for its descriptor is accepted in the next pass."""
        self.open.pop(client, None)
        self.closing.pop(client, None)
        if self._waits is not None:
            self._waits.cancel()
            self._accept_again()

    def tidy(self) -> None:
        """Cut off clients that are silent for too long."""
        now = self.loop.time()
        for client in [c for c in self.open if c.overdue(now)]:
            if not client.spared and client.unread():
                # guards: what came since sockets were last read lies there. After a long pass all that had
                # waited would be cut, with whole requests in their sockets
                client.spared = True
                continue
            self.door.counts["cut_slow"] += 1
            if client.asked and client.idle():
                client.finish()  # guards: some rest until we end them, and ask something in that moment
            else:
                client.drop("too slow, or silent")
        while len(self.open) > self.most_open // 2 and self._make_room(SETTLED):
            pass

    def busy(self) -> bool:
        """Whether anything that was taken waits for its answer, or is on its way in or out."""
        return bool(self._coming) or any(client.busy() for client in self.open)

    def stop_listening(self) -> bool:
        """Accept what waits, then listen no more; False while it cannot all be accepted.

        Guards: at the limit of descriptors connections, with whole requests in them, wait in the queue.
        """
        drained = self.accept()
        if drained:
            self._shut()
        return drained

    def sending(self) -> bool:
        """Whether an answer is not yet with its client's machine."""
        return any(client.asked and client.holding() for client in self.open)

    def _shut(self) -> None:
        sock, self._socket = self._socket, None
        if sock is not None:
            self.loop.remove_reader(sock)
            sock.close()

    def close(self) -> None:
        self._shut()
        for client in list(self.open):
            client.drop("the process ends")

    def finish_idle(self) -> None:
        for client in self._idle():
            client.finish()

    def _idle(self) -> list[Client]:
        # guards: the request of one that was accepted just now may wait to be read, or be under way: one that
        # was answered may be closed between requests, but the first on a connection is owed an answer
        now = self.loop.time()
        return [
            c
            for c in self.open
            if c.idle()
            and now - c.since > (SETTLED if c.asked else FIRST)
            and c.transport is not None
            and not unread(c.transport, select.POLLIN)
        ]
