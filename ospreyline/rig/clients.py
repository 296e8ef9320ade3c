"""Clients and the front proxy before the balancers: an open stream of visits with deadlines and retries.

The front distributes visits among the balancers of their zone that it considers alive. It adds a balancer
once `/health/ready` has answered 200, and notices a dead one with a delay. Each finished try is a row, each
finished client request (a first try and its retries) another, of kind `want`.
"""

from __future__ import annotations

import asyncio
from collections import Counter, deque
from random import Random
from typing import Any

import httptools
import msgspec

from ospreyline.lab.world import Picker, exponential, sampler
from ospreyline.rig.scenario import Scenario
from ospreyline.rig.worker import Worker

LIVE_INTERVAL_MS = 500.0  # between progress reports, if enabled
READY_PROBE_INTERVAL_MS = 100.0  # between readiness probes of a started balancer
REPEAT_DELAY_MS = 25.0  # until a client whose connection ended repeats the request under its id
MAX_REPEATS = 40  # of one client request
MAX_IDLE_CONNECTIONS = 32  # to one balancer


class ClientConnection(asyncio.Protocol):
    """A client connection; it carries one request at a time."""

    def __init__(self, clients: Clients, balancer: int) -> None:
        self.clients = clients
        self.balancer = balancer
        self.transport: Any = None
        self.attempt: Try | None = None
        self.uses = 0
        self._parser: Any = httptools.HttpResponseParser(self)
        self._clear()

    def _clear(self) -> None:
        self._body = b""
        self._retry_after = 0.0
        self._outcome = ""
        self.received_data = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        self.clients.worker.clock.tick()
        self.received_data = True
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError:
            self.abort("spoilt")

    def eof_received(self) -> bool:
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        self.clients.worker.clock.tick()
        self.clients.connection_closed(self)

    def on_header(self, name: bytes, value: bytes) -> None:
        if name.lower() == b"x-outcome":
            self._outcome = value.decode("latin-1")
        if name.lower() == b"retry-after":
            try:
                self._retry_after = 1e3 * float(value)
            except ValueError:
                self._retry_after = 0.0

    def on_body(self, body: bytes) -> None:
        self._body += body

    def on_message_complete(self) -> None:
        attempt, self.attempt = self.attempt, None
        keep = self._parser.should_keep_alive()
        status, body, retry_after = self._parser.get_status_code(), self._body, self._retry_after
        if attempt is not None:
            attempt.outcome = self._outcome
        self._clear()
        if keep and attempt is not None:
            self.clients.release(self)
        else:
            self.transport.close()
        if attempt is not None:
            self.clients.finish_with_answer(attempt, status, body, retry_after)

    def abort(self, how: str) -> None:
        attempt, self.attempt = self.attempt, None
        self.transport.abort()
        if attempt is not None:
            self.clients.finish_try(attempt, how)


class ClientRequest:
    """What one client requests; it may take several tries."""

    __slots__ = (
        "expires",
        "idempotency_key",
        "number",
        "prefix",
        "repeated_id",
        "repeats",
        "started",
        "tries",
        "work",
        "zone",
    )

    def __init__(
        self, number: int, prefix: int, zone: int, work: float, started: float, expires: float
    ) -> None:
        self.number, self.prefix, self.zone, self.work = number, prefix, zone, work
        self.started, self.expires, self.tries = started, expires, 0
        self.idempotency_key = f"{number:032x}"
        self.repeats = 0  # how often it was repeated under its id
        self.repeated_id = ""  # id of a try that was sent and got no answer, to be repeated under it


class Try:
    """One try of a client request."""

    __slots__ = (
        "balancer",
        "connection",
        "finished",
        "id",
        "outcome",
        "request",
        "resent",
        "sent",
        "task",
        "ttl",
    )

    def __init__(self, request: ClientRequest, id_: str, balancer: int, ttl: float) -> None:
        self.request, self.id, self.balancer, self.ttl = request, id_, balancer, ttl
        self.sent = 0.0  # ms; 0: not sent yet
        self.connection: ClientConnection | None = None
        self.task: asyncio.Task[None] | None = None
        self.resent = False  # sent once more because its reused connection closed
        self.outcome = ""  # X-Outcome of the answer to a repeated request
        self.finished = False


class Clients:
    """The clients of one process and their front proxy."""

    def __init__(self, worker: Worker, setup: dict[str, Any]) -> None:
        self.worker = worker
        self.scenario = s = msgspec.convert(setup["scenario"], Scenario)
        self.number = setup["number"]
        self._share = 1.0 / setup["of"]
        self.addresses: list[tuple[str, int]] = [tuple(at) for at in setup["at"]]
        self.zones: list[int] = setup["zones"]
        self.draw = Random(worker.seed).random
        self._pools: list[deque[ClientConnection]] = [deque() for _ in self.addresses]
        self._routable = [False] * len(self.addresses)
        self._removal_timers: list[Any] = [None] * len(self.addresses)
        self._starting: set[int] = set()
        skew = sampler("lognormal" if s.bank.skew else "const", 1.0, s.bank.skew)
        # one seed for all processes, so that they use the same weights
        weights = Random(setup["bank_seed"]).random
        self.weights = [skew(weights) for _ in self.addresses]
        self._pickers: dict[int, tuple[list[int], Picker] | None] = {}
        self._zone_picker = Picker(list(s.zones.traffic) or [1.0] * len(s.zones.names))
        self._prefix_picker = Picker([p.share for p in s.prefixes])
        self._work_samplers = [sampler(p.dist, p.work_ms, p.cv) for p in s.prefixes]
        self._load_factor = 1.0
        self._stop_at = 0.0
        self._request_count = self._try_count = 0
        self.unfinished = 0
        self._slack_ms = s.rules.slack_ms
        self._reports_live = bool(setup.get("live"))
        self._counts = [Counter[str]() for _ in s.zones.names]

    async def begin(self) -> None:
        self.worker.clock.after(READY_PROBE_INTERVAL_MS, self._probe_starting)
        if self._reports_live:
            self.worker.clock.after(LIVE_INTERVAL_MS, self._report_live)
        self.worker.notify("standing")

    def _report_live(self) -> None:
        self.worker.clock.after(LIVE_INTERVAL_MS, self._report_live)
        self.worker.notify("live", zones=[dict(counts) for counts in self._counts])
        for counts in self._counts:
            counts.clear()

    # the front proxy

    def _probe_starting(self) -> None:
        self.worker.clock.after(READY_PROBE_INTERVAL_MS, self._probe_starting)
        for number in self._starting:
            task = self.worker.loop.create_task(self._probe_ready(number))
            task.add_done_callback(lambda done: done.exception())

    async def _probe_ready(self, number: int) -> None:
        try:
            async with asyncio.timeout(1.0):
                reader, writer = await asyncio.open_connection(*self.addresses[number])
                try:
                    writer.write(b"GET /health/ready HTTP/1.1\r\nHost: b\r\nConnection: close\r\n\r\n")
                    line = await reader.readline()
                finally:
                    writer.close()
        except (OSError, TimeoutError):
            return
        if b" 200 " in line and number in self._starting:
            self._starting.discard(number)
            self._routable[number] = True
            self._pickers.clear()
            self.worker.clock.tick()
            self.worker.row("ready", b=number)
            self.worker.notify("ready", b=number)

    def _remove_balancer(self, number: int) -> None:
        self._routable[number] = False
        self._pickers.clear()

    def _pick_balancer(self, zone: int) -> int | None:
        if zone not in self._pickers:
            numbers = [n for n, z in enumerate(self.zones) if z == zone and self._routable[n]] or [
                n for n in range(len(self.zones)) if self._routable[n]
            ]
            self._pickers[zone] = (numbers, Picker([self.weights[n] for n in numbers])) if numbers else None
        found = self._pickers[zone]
        return found[0][found[1].at(self.draw())] if found else None

    # request generation

    def _generate(self) -> None:
        if self.worker.clock.now >= self._stop_at:
            return
        rate = self.scenario.rate() * self._share / 1e3
        top = rate * max(1.0, self._load_factor)
        if self.draw() < rate * self._load_factor / top:
            self._start_request()
        self.worker.clock.after(exponential(self.draw(), 1 / top), self._generate)

    def _start_request(self) -> None:
        draw, now = self.draw, self.worker.clock.now
        prefix = self._prefix_picker.at(draw())
        work = self._work_samplers[prefix](draw)
        self._request_count += 1
        request = ClientRequest(
            (self.number << 32) + self._request_count,
            prefix,
            self._zone_picker.at(draw()),
            work,
            now,
            now + self.scenario.prefixes[prefix].timeout_ms,
        )
        self.unfinished += 1
        self._start_try(request)

    def _start_try(self, request: ClientRequest) -> None:
        now, prefix = self.worker.clock.now, self.scenario.prefixes[request.prefix]
        request.tries += 1
        self._try_count += 1
        ttl = min(
            request.expires - now,
            (1.0 if request.repeated_id else self.scenario.clients.patience) * prefix.timeout_ms,
        )
        balancer = self._pick_balancer(request.zone)
        id_ = request.repeated_id or f"{self.number:x}-{self._try_count:x}"
        attempt = Try(request, id_, -1 if balancer is None else balancer, ttl)
        if balancer is None:
            return self.finish_try(attempt, "nobody")
        self.worker.clock.after(ttl + self._slack_ms, self._on_timeout, attempt)
        pool = self._pools[balancer]
        while pool:
            connection = pool.pop()
            if connection.transport is not None and not connection.transport.is_closing():
                return self._send(attempt, connection)
        self._dial(attempt)

    def _dial(self, attempt: Try) -> None:
        attempt.task = self.worker.loop.create_task(self._connect(attempt))

    async def _connect(self, attempt: Try) -> None:
        connection = ClientConnection(self, attempt.balancer)
        try:
            await self.worker.loop.create_connection(lambda: connection, *self.addresses[attempt.balancer])
        except OSError:
            self.worker.clock.tick()
            # it was sent on a reused connection before and may have executed, although the dial failed now
            self.finish_try(attempt, "cut" if attempt.resent else "unreached")
            return
        self.worker.clock.tick()
        if attempt.finished:
            connection.transport.abort()
        else:
            self._send(attempt, connection)

    def _send(self, attempt: Try, connection: ClientConnection) -> None:
        request, now = attempt.request, self.worker.clock.now
        prefix = self.scenario.prefixes[request.prefix]
        connection.attempt, attempt.connection = attempt, connection
        connection.uses += 1
        left = attempt.ttl if not attempt.resent else attempt.ttl - (now - attempt.sent)
        if not attempt.resent:
            attempt.sent = now
        kind = prefix.kind
        head = (
            f"{'GET' if kind == 'read-like' else 'POST'} /{prefix.name}/x HTTP/1.1\r\nHost: bank.test\r\n"
            f"X-Trace-Id: {attempt.id}\r\nX-Qos: {prefix.name}\r\nX-Work: {request.work:.3f}\r\n"
            f"X-Expires-In: {max(0.001, left / 1e3):.3f}\r\n"
        )
        if kind == "tagged":
            head += f"Idempotency-Key: {request.idempotency_key}\r\n"
        head += f"X-Retry-Secret: {_retry_secret(attempt.id)}\r\n"
        if request.repeated_id:
            head += "X-Second-Try: same\r\n"
        elif request.tries > 1 and self.scenario.clients.marks:
            head += "X-Second-Try: 1\r\n"
        if kind != "read-like":
            head += "Content-Length: 4\r\n"
        connection.transport.write(head.encode() + b"\r\n" + (b"" if kind == "read-like" else b"body"))

    # ends of tries

    def release(self, connection: ClientConnection) -> None:
        pool = self._pools[connection.balancer]
        if len(pool) >= MAX_IDLE_CONNECTIONS and (oldest := pool.popleft()).transport is not None:
            # A pooled connection may have closed meanwhile. Without the check its abort raised an error while
            # an answer was processed, and the answered visit was counted as lost.
            oldest.transport.abort()
        pool.append(connection)

    def connection_closed(self, connection: ClientConnection) -> None:
        attempt, connection.attempt = connection.attempt, None
        connection.transport = None
        if attempt is None or attempt.finished:
            return
        if (
            connection.uses > 1
            and not connection.received_data
            and not attempt.resent
            and not self.scenario.rig.asks_again
        ):
            # a balancer may close an idle connection just as a request is sent on it: resend once
            attempt.resent = True
            self._dial(attempt)
        else:
            self.finish_try(attempt, "cut")

    def _on_timeout(self, attempt: Try) -> None:
        if attempt.finished:
            return
        if attempt.task is not None:
            attempt.task.cancel()
        connection = attempt.connection
        if connection is not None and connection.attempt is attempt:
            connection.abort("none")
        else:
            self.finish_try(attempt, "unreached" if not attempt.sent else "none")

    def finish_with_answer(self, attempt: Try, status: int, body: bytes, retry_after: float) -> None:
        own = status != 200 or body.startswith(attempt.id.encode() + b" ")
        self.finish_try(attempt, "answer", status, own, retry_after)

    def finish_try(
        self, attempt: Try, how: str, status: int = 0, own: bool = True, wait: float = 0.0
    ) -> None:
        """Records the end of a try; then its request is finished, repeated, retried, or failed."""
        if attempt.finished:
            return
        attempt.finished = True
        self._counts[attempt.request.zone]["bounced"] += status in (429, 503)
        request, now = attempt.request, self.worker.clock.now
        prefix = self.scenario.prefixes[request.prefix]
        self.worker.row(
            "try",
            id=attempt.id,
            want=request.number,
            prefix=prefix.name,
            zone=request.zone,
            b=attempt.balancer,
            sent=round(attempt.sent, 3),
            ttl=round(attempt.ttl, 3),
            how=how,
            status=status,
            own=own,
            again=attempt.resent,
            asks=bool(request.repeated_id),
            outcome=attempt.outcome,
        )
        if how == "answer" and status == 200:
            self._finish_request(request, "late" if now > request.started + prefix.target_ms else "in time")
            return
        policy = self.scenario.clients
        if self.scenario.rig.asks_again:
            if how == "cut" or (request.repeated_id and how in ("unreached", "nobody")):
                # it was sent and its connection ended: ask for its outcome by repeating it under its id
                request.tries -= bool(request.repeated_id)  # a repetition does not count as a try
                request.repeated_id, request.repeats = attempt.id, request.repeats + 1
                if now + REPEAT_DELAY_MS < request.expires and request.repeats <= MAX_REPEATS:
                    self.worker.clock.after(REPEAT_DELAY_MS, self._start_try, request)
                else:
                    self._finish_request(request, "failed")
                return
            request.tries -= bool(request.repeated_id)
            request.repeated_id = ""
        repeatable = (
            status in (429, 503)
            or how in ("nobody", "unreached")
            or (prefix.kind != "mutating" and (policy.after_errors or how != "answer"))
        )
        if request.tries > policy.retries or not repeatable:
            self._finish_request(request, "failed")
            return
        pause = 0.0
        if policy.backoff != "none":
            pause = policy.backoff_ms * (2.0 ** (request.tries - 1) if policy.backoff == "exp" else 1.0)
            pause *= 0.5 + self.draw()
        if status in (429, 503) and wait and self.draw() < policy.honour:
            pause = wait * (1 + 0.1 * self.draw())
        if now + pause >= request.expires:
            self._finish_request(request, "failed")
        else:
            self.worker.clock.after(pause, self._start_try, request)

    def _finish_request(self, request: ClientRequest, outcome: str) -> None:
        self.unfinished -= 1
        self._counts[request.zone][outcome] += 1
        self.worker.row(
            "want",
            since=round(request.started, 3),
            prefix=self.scenario.prefixes[request.prefix].name,
            zone=request.zone,
            outcome=outcome,
            tries=request.tries,
        )
        if self._stop_at and self.worker.clock.now >= self._stop_at and not self.unfinished:
            self.worker.notify("finished")

    async def execute(self, order: dict[str, Any]) -> None:
        do = order["do"]
        if do == "starting":
            self._starting.update(order["balancers"])
            for number in order["balancers"]:
                if self._removal_timers[number] is not None:
                    self.worker.clock.drop(self._removal_timers[number])
        elif do == "died":
            shortest, longest = self.scenario.bank.notice_ms
            for number in order["balancers"]:
                self._starting.discard(number)
                wait = 0.0 if order.get("planned") else shortest + (longest - shortest) * self.draw()
                self._removal_timers[number] = self.worker.clock.after(wait, self._remove_balancer, number)
        elif do == "run":
            self._stop_at = order["until"]
            self._generate()
        elif do == "burst":
            self._load_factor *= order["size"] if order["on"] > 0 else 1 / order["size"]
        elif do == "finish":
            self.worker.clock.tick()
            if not self.unfinished:
                self.worker.notify("finished")

    async def end(self) -> None:
        self.worker.row("left over", wants=self.unfinished)


def _retry_secret(request_id: str) -> str:
    """The secret with which a client asks for the outcome of its request: the same for all its tries."""
    return f"secret-of-request-{request_id}"


def make(worker: Worker, setup: dict[str, Any]) -> Clients:
    return Clients(worker, setup)
