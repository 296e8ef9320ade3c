"""Clients and the front before the balancers: an open stream of visits with deadlines and retries.

The front deals visits out among the balancers of their zone that it takes to live. It takes one in once
`/health/ready` has answered 200, and notices a dead one late. Each try is a row when it is over, each want
(a first try and those that follow it) another.
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

LIVE_EVERY = 500.0  # ms between two words on how it goes, where they are wanted
READY_EVERY = 100.0  # ms between two looks at a balancer that has been started
ASK_AFTER = 25.0  # ms until a client whose connection ended asks again
MOST_ASKS = 40  # times that it does so for one want
MOST_IDLE = 32  # connections kept to a balancer


class Conn(asyncio.Protocol):
    """A client's connection; it carries one request at a time."""

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
        self.began = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        self.clients.worker.clock.tick()
        self.began = True
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError:
            self.drop("spoilt")

    def eof_received(self) -> bool:
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        self.clients.worker.clock.tick()
        self.clients.lost(self)

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
            self.clients.idle(self)
        else:
            self.transport.close()
        if attempt is not None:
            self.clients.answered(attempt, status, body, retry_after)

    def drop(self, how: str) -> None:
        attempt, self.attempt = self.attempt, None
        self.transport.abort()
        if attempt is not None:
            self.clients.over(attempt, how)


class Want:
    """What one client wants."""

    __slots__ = ("asked", "asks", "key", "number", "prefix", "since", "tries", "until", "work", "zone")

    def __init__(self, number: int, prefix: int, zone: int, work: float, since: float, until: float) -> None:
        self.number, self.prefix, self.zone, self.work = number, prefix, zone, work
        self.since, self.until, self.tries = since, until, 0
        self.key = f"{number:032x}"
        self.asked = 0  # how often
        self.asks = ""  # the id of a try that was sent and had no answer: asked for again


class Try:
    """One request of a want."""

    __slots__ = ("again", "balancer", "conn", "id", "outcome", "over", "sent", "task", "ttl", "want")

    def __init__(self, want: Want, id_: str, balancer: int, ttl: float) -> None:
        self.want, self.id, self.balancer, self.ttl = want, id_, balancer, ttl
        self.sent = 0.0  # ms; 0: not yet
        self.conn: Conn | None = None
        self.task: asyncio.Task[None] | None = None
        self.again = False  # sent once more, since its kept connection closed under it
        self.outcome = ""  # that the balancer told of what it was asked for again
        self.over = False


class Clients:
    """The clients of one process, and the front as they see it."""

    def __init__(self, worker: Worker, setup: dict[str, Any]) -> None:
        self.worker = worker
        self.scenario = s = msgspec.convert(setup["scenario"], Scenario)
        self.number = setup["number"]
        self._share = 1.0 / setup["of"]
        self.at: list[tuple[str, int]] = [tuple(at) for at in setup["at"]]
        self.zones: list[int] = setup["zones"]
        self.draw = Random(worker.seed).random
        self._pools: list[deque[Conn]] = [deque() for _ in self.at]
        self._open = [False] * len(self.at)
        self._closing: list[Any] = [None] * len(self.at)
        self._starting: set[int] = set()
        skew = sampler("lognormal" if s.bank.skew else "const", 1.0, s.bank.skew)
        weights = Random(setup["bank_seed"]).random  # guards: all processes deal the same weights
        self.weights = [skew(weights) for _ in self.at]
        self._pickers: dict[int, tuple[list[int], Picker] | None] = {}
        self._zones = Picker(list(s.zones.traffic) or [1.0] * len(s.zones.names))
        self._prefixes = Picker([p.share for p in s.prefixes])
        self._works = [sampler(p.dist, p.work_ms, p.cv) for p in s.prefixes]
        self._factor = 1.0
        self._until = 0.0
        self._wants = self._tries = 0
        self.unfinished = 0
        self._slack = s.rules.slack_ms
        self._live = bool(setup.get("live"))
        self._counts = [Counter[str]() for _ in s.zones.names]

    async def begin(self) -> None:
        self.worker.clock.after(READY_EVERY, self._look)
        if self._live:
            self.worker.clock.after(LIVE_EVERY, self._tell_live)
        self.worker.say("standing")

    def _tell_live(self) -> None:
        self.worker.clock.after(LIVE_EVERY, self._tell_live)
        self.worker.say("live", zones=[dict(counts) for counts in self._counts])
        for counts in self._counts:
            counts.clear()

    # the front

    def _look(self) -> None:
        self.worker.clock.after(READY_EVERY, self._look)
        for number in self._starting:
            task = self.worker.loop.create_task(self._ask_ready(number))
            task.add_done_callback(lambda done: done.exception())

    async def _ask_ready(self, number: int) -> None:
        try:
            async with asyncio.timeout(1.0):
                reader, writer = await asyncio.open_connection(*self.at[number])
                try:
                    writer.write(b"GET /health/ready HTTP/1.1\r\nHost: b\r\nConnection: close\r\n\r\n")
                    line = await reader.readline()
                finally:
                    writer.close()
        except (OSError, TimeoutError):
            return
        if b" 200 " in line and number in self._starting:
            self._starting.discard(number)
            self._open[number] = True
            self._pickers.clear()
            self.worker.clock.tick()
            self.worker.row("ready", b=number)
            self.worker.say("ready", b=number)

    def _shut(self, number: int) -> None:
        self._open[number] = False
        self._pickers.clear()

    def _deal(self, zone: int) -> int | None:
        if zone not in self._pickers:
            numbers = [n for n, z in enumerate(self.zones) if z == zone and self._open[n]] or [
                n for n in range(len(self.zones)) if self._open[n]
            ]
            self._pickers[zone] = (numbers, Picker([self.weights[n] for n in numbers])) if numbers else None
        found = self._pickers[zone]
        return found[0][found[1].at(self.draw())] if found else None

    # the stream

    def _next(self) -> None:
        if self.worker.clock.now >= self._until:
            return
        rate = self.scenario.rate() * self._share / 1e3
        top = rate * max(1.0, self._factor)
        if self.draw() < rate * self._factor / top:
            self._want()
        self.worker.clock.after(exponential(self.draw(), 1 / top), self._next)

    def _want(self) -> None:
        draw, now = self.draw, self.worker.clock.now
        prefix = self._prefixes.at(draw())
        work = self._works[prefix](draw)
        self._wants += 1
        want = Want(
            (self.number << 32) + self._wants,
            prefix,
            self._zones.at(draw()),
            work,
            now,
            now + self.scenario.prefixes[prefix].timeout_ms,
        )
        self.unfinished += 1
        self._try(want)

    def _try(self, want: Want) -> None:
        now, terms = self.worker.clock.now, self.scenario.prefixes[want.prefix]
        want.tries += 1
        self._tries += 1
        ttl = min(want.until - now, (1.0 if want.asks else self.scenario.clients.patience) * terms.timeout_ms)
        balancer = self._deal(want.zone)
        id_ = want.asks or f"{self.number:x}-{self._tries:x}"
        attempt = Try(want, id_, -1 if balancer is None else balancer, ttl)
        if balancer is None:
            return self.over(attempt, "nobody")
        self.worker.clock.after(ttl + self._slack, self._time_is_over, attempt)
        pool = self._pools[balancer]
        while pool:
            conn = pool.pop()
            if conn.transport is not None and not conn.transport.is_closing():
                return self._send(attempt, conn)
        self._dial(attempt)

    def _dial(self, attempt: Try) -> None:
        attempt.task = self.worker.loop.create_task(self._open_for(attempt))

    async def _open_for(self, attempt: Try) -> None:
        conn = Conn(self, attempt.balancer)
        try:
            await self.worker.loop.create_connection(lambda: conn, *self.at[attempt.balancer])
        except OSError:
            self.worker.clock.tick()
            # sent before on a kept connection: it may have run, though nobody is there now
            self.over(attempt, "cut" if attempt.again else "unreached")
            return
        self.worker.clock.tick()
        if attempt.over:
            conn.transport.abort()
        else:
            self._send(attempt, conn)

    def _send(self, attempt: Try, conn: Conn) -> None:
        want, now = attempt.want, self.worker.clock.now
        terms = self.scenario.prefixes[want.prefix]
        conn.attempt, attempt.conn = attempt, conn
        conn.uses += 1
        left = attempt.ttl if not attempt.again else attempt.ttl - (now - attempt.sent)
        if not attempt.again:
            attempt.sent = now
        kind = terms.kind
        head = (
            f"{'GET' if kind == 'read-like' else 'POST'} /{terms.name}/x HTTP/1.1\r\nHost: bank.test\r\n"
            f"X-Trace-Id: {attempt.id}\r\nX-Qos: {terms.name}\r\nX-Work: {want.work:.3f}\r\n"
            f"X-Expires-In: {max(0.001, left / 1e3):.3f}\r\n"
        )
        if kind == "tagged":
            head += f"Idempotency-Key: {want.key}\r\n"
        if want.asks:
            head += "X-Second-Try: same\r\n"
        elif want.tries > 1 and self.scenario.clients.marks:
            head += "X-Second-Try: 1\r\n"
        if kind != "read-like":
            head += "Content-Length: 4\r\n"
        conn.transport.write(head.encode() + b"\r\n" + (b"" if kind == "read-like" else b"body"))

    # how tries end

    def idle(self, conn: Conn) -> None:
        pool = self._pools[conn.balancer]
        if len(pool) >= MOST_IDLE and (oldest := pool.popleft()).transport is not None:
            # guards: one that has closed meanwhile is still here; a fault over it cost the answer that had
            # just come, whose visit was then held for lost
            oldest.transport.abort()
        pool.append(conn)

    def lost(self, conn: Conn) -> None:
        attempt, conn.attempt = conn.attempt, None
        conn.transport = None
        if attempt is None or attempt.over:
            return
        if conn.uses > 1 and not conn.began and not attempt.again and not self.scenario.rig.asks_again:
            # a balancer may close a connection between requests; if that crosses one it is sent once more
            attempt.again = True
            self._dial(attempt)
        else:
            self.over(attempt, "cut")

    def _time_is_over(self, attempt: Try) -> None:
        if attempt.over:
            return
        if attempt.task is not None:
            attempt.task.cancel()
        conn = attempt.conn
        if conn is not None and conn.attempt is attempt:
            conn.drop("none")
        else:
            self.over(attempt, "unreached" if not attempt.sent else "none")

    def answered(self, attempt: Try, status: int, body: bytes, retry_after: float) -> None:
        own = status != 200 or body.startswith(attempt.id.encode() + b" ")
        self.over(attempt, "answer", status, own, retry_after)

    def over(self, attempt: Try, how: str, status: int = 0, own: bool = True, wait: float = 0.0) -> None:
        """A try is over: the want is served, tried again, or failed."""
        if attempt.over:
            return
        attempt.over = True
        self._counts[attempt.want.zone]["bounced"] += status in (429, 503)
        want, now = attempt.want, self.worker.clock.now
        terms = self.scenario.prefixes[want.prefix]
        self.worker.row(
            "try",
            id=attempt.id,
            want=want.number,
            prefix=terms.name,
            zone=want.zone,
            b=attempt.balancer,
            sent=round(attempt.sent, 3),
            ttl=round(attempt.ttl, 3),
            how=how,
            status=status,
            own=own,
            again=attempt.again,
            asks=bool(want.asks),
            outcome=attempt.outcome,
        )
        if how == "answer" and status == 200:
            self._end(want, "late" if now > want.since + terms.target_ms else "in time")
            return
        figures = self.scenario.clients
        if self.scenario.rig.asks_again:
            if how == "cut" or (want.asks and how in ("unreached", "nobody")):
                # it was sent and its connection ended: what became of it is asked for, under its id
                want.tries -= bool(want.asks)  # to ask again is no try of its own
                want.asks, want.asked = attempt.id, want.asked + 1
                if now + ASK_AFTER < want.until and want.asked <= MOST_ASKS:
                    self.worker.clock.after(ASK_AFTER, self._try, want)
                else:
                    self._end(want, "failed")
                return
            want.tries -= bool(want.asks)
            want.asks = ""
        harmless = (
            status in (429, 503)
            or how in ("nobody", "unreached")
            or (terms.kind != "mutating" and (figures.after_errors or how != "answer"))
        )
        if want.tries > figures.retries or not harmless:
            self._end(want, "failed")
            return
        pause = 0.0
        if figures.backoff != "none":
            pause = figures.backoff_ms * (2.0 ** (want.tries - 1) if figures.backoff == "exp" else 1.0)
            pause *= 0.5 + self.draw()
        if status in (429, 503) and wait and self.draw() < figures.honour:
            pause = wait * (1 + 0.1 * self.draw())
        if now + pause >= want.until:
            self._end(want, "failed")
        else:
            self.worker.clock.after(pause, self._try, want)

    def _end(self, want: Want, outcome: str) -> None:
        self.unfinished -= 1
        self._counts[want.zone][outcome] += 1
        self.worker.row(
            "want",
            since=round(want.since, 3),
            prefix=self.scenario.prefixes[want.prefix].name,
            zone=want.zone,
            outcome=outcome,
            tries=want.tries,
        )
        if self._until and self.worker.clock.now >= self._until and not self.unfinished:
            self.worker.say("finished")

    async def told(self, order: dict[str, Any]) -> None:
        do = order["do"]
        if do == "starting":
            self._starting.update(order["balancers"])
            for number in order["balancers"]:
                if self._closing[number] is not None:
                    self.worker.clock.drop(self._closing[number])
        elif do == "died":
            low, high = self.scenario.bank.notice_ms
            for number in order["balancers"]:
                self._starting.discard(number)
                wait = 0.0 if order.get("planned") else low + (high - low) * self.draw()
                self._closing[number] = self.worker.clock.after(wait, self._shut, number)
        elif do == "run":
            self._until = order["until"]
            self._next()
        elif do == "burst":
            self._factor *= order["size"] if order["on"] > 0 else 1 / order["size"]
        elif do == "finish":
            self.worker.clock.tick()
            if not self.unfinished:
                self.worker.say("finished")

    async def end(self) -> None:
        self.worker.row("left over", wants=self.unfinished)


def make(worker: Worker, setup: dict[str, Any]) -> Clients:
    return Clients(worker, setup)
