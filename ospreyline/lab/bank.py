"""The bank of balancers: each a front around the decisions, on the modelled network instead of sockets.

A `Balancer` here is the `host.Host` of one arm: it carries out sends over connections that must be
opened, ends them as the front on sockets words them, and keeps that front's habits (the connection last
used first, closed before the server does, a send that waits for its connection withdrawn when the list
says so, a backstop 15 ms past the client timeout). It decides nothing.

Assumption on the core: where a turn costs time, what comes is told to the decisions one after the other,
each that much later; timers are not.
"""

from __future__ import annotations

from collections.abc import Callable
from functools import partial
from math import inf
from typing import Any, Protocol

import xxhash

from ospreyline.host import Deployment, End, ListedUpstream, Readiness
from ospreyline.lab.links import Links
from ospreyline.lab.registry import Line, Registry
from ospreyline.lab.scenario import Scenario
from ospreyline.lab.servers import Job, Server
from ospreyline.lab.world import Due, World

KEEP_SHARE = 0.8  # of the time that a server keeps an idle connection, after which we close it
BACKSTOP = 15.0  # ms past its client timeout at which a visit is answered whatever the decisions say


class Policy(Protocol):
    """What an arm answers to: the calls of `decide.Balancer`."""

    def accept_visit(self, now: float, tag: int, prefix: int, ttl: float, repeat: bool) -> Any: ...
    def apply_list(self, now: float, lines: list[ListedUpstream]) -> None: ...
    def apply_list_changes(self, now: float, lines: list[ListedUpstream]) -> None: ...
    def list_call_failed(self, now: float) -> None: ...
    def probe_ended(
        self, now: float, upstream: int, end: End, spent_ms: float, report: tuple[float, ...]
    ) -> None: ...


Maker = Callable[["Balancer", Deployment, int, float], Policy]


class Ask:
    """One visit as a balancer is asked it: a client's try."""

    __slots__ = (
        "answer",
        "answered_at",
        "balancer",
        "came",
        "effects",
        "expires",
        "gone",
        "handle",
        "key",
        "number",
        "prefix",
        "repeat",
        "retry_after",
        "sent",
        "shots",
        "tag",
        "tenant",
        "ttl",
        "want",
        "work",
        "zone",
    )

    def __init__(
        self,
        number: int,
        want: Any,
        prefix: int,
        zone: int,
        key: int,
        tenant: int,
        sent: float,
        ttl: float,
        repeat: bool,
        work: float,
    ) -> None:
        self.number = number  # of all tries of the day
        self.want = want  # of the client that sent it
        self.prefix = prefix
        self.zone = zone
        self.key = key
        self.tenant = tenant
        self.sent = sent
        self.ttl = ttl
        self.repeat = repeat
        self.work = work
        self.came = self.expires = inf
        self.balancer: Balancer | None = None
        self.tag = -1
        self.handle: Any = None
        self.shots: list[Shot] = []
        self.answer = ""  # delivered, bounced, failed; cut if the balancer died
        self.answered_at = inf
        self.retry_after = 0.0
        self.gone = False  # its client left
        self.effects = 0  # times that it ran to its end


class Shot:
    """One backend fetch on the wire."""

    __slots__ = (
        "ask",
        "balancer",
        "connection",
        "end",
        "ended_at",
        "fresh",
        "job",
        "number",
        "sent",
        "server",
        "started",
        "time_out",
        "timer",
        "written",
    )

    def __init__(self, balancer: Balancer, ask: Ask, server: Server, now: float, time_out: float) -> None:
        self.balancer = balancer
        self.ask = ask
        self.server = server
        self.number = len(ask.shots)
        self.started = now
        self.time_out = time_out
        self.written = False
        self.sent = inf  # its first and last byte left then
        self.fresh = False  # on a connection that it had opened
        self.connection: int | None = None  # the incarnation of the server it leads to
        self.job: Job | None = None
        self.end: End | None = None
        self.ended_at = inf
        self.timer: Due | None = None


class Watching(Protocol):
    """Who is told what is on the wire: the referee and the records."""

    def taken(self, ask: Ask) -> None: ...
    def sent(self, shot: Shot) -> None: ...
    def arrived(self, shot: Shot, work: float, accepted: bool) -> None: ...
    def ran(self, shot: Shot) -> None: ...
    def ended(self, shot: Shot) -> None: ...
    def answered(self, ask: Ask) -> None: ...
    def left(self, ask: Ask) -> None: ...
    def told(self, balancer: Balancer, server: Server, readiness: Readiness) -> None: ...


class Reports:
    """The servers' load figures as answers and probes carry them, refreshed now and then."""

    def __init__(self, world: World, scenario: Scenario, draw: Callable[[], float]) -> None:
        self._world = world
        self._figures = scenario.reports
        self._draw = draw
        self._last: dict[Server, tuple[float, int, tuple[float, ...]]] = {}

    def of(self, server: Server) -> tuple[float, ...]:
        """Figures in the order of the settings; () where there are none."""
        figures = self._figures
        if figures.via == "none":
            return ()
        now = self._world.now
        at, incarnation, last = self._last.get(server, (-inf, -1, ()))
        if now - at >= figures.period_ms or incarnation != server.incarnation:
            last = tuple(self._figure(server, field) for field in figures.fields)
            self._last[server] = (now, server.incarnation, last)
        return last

    def _figure(self, server: Server, field: str) -> float:
        on_core = min(server.held, server.cores)
        value = {
            "in-flight": float(server.held),
            "queue": max(0.0, server.held - server.cores),
            "util": on_core / server.cores,
        }.get(field, 0.0)
        if self._figures.noise:
            value *= max(0.0, 1 + self._figures.noise * 3.46 * (self._draw() - 0.5))
        return value


class Surroundings:
    """What all balancers of a day stand in."""

    def __init__(
        self,
        world: World,
        scenario: Scenario,
        links: Links,
        registry: Registry,
        reports: Reports,
        watching: Watching,
        servers: list[Server],
        terms: Callable[[int, int], Deployment],
        make: Maker,
    ) -> None:
        self.world = world
        self.scenario = scenario
        self.links = links
        self.registry = registry
        self.reports = reports
        self.watching = watching
        self.servers = servers  # by index; more may join
        self.terms = terms
        self.make = make
        self.marks: list[int] = []
        self.connect_timeout = scenario.links.connect_timeout_ms
        self.keep_idle = KEEP_SHARE * scenario.links.keepalive_ms
        self.trips = max(1.0, scenario.links.handshake_trips)
        self.turn = scenario.bank.turn_us / 1e3 / scenario.bank.cores
        self.logged: list[tuple[float, int, str]] = []
        self.seen: dict[tuple[int, int], list[float]] = {}  # of the far-seeing arm alone

    def mark(self, server: Server) -> int:
        """The same number for a server at every balancer, for hashing only."""
        while len(self.marks) < len(self.servers):
            self.marks.append(xxhash.xxh3_64_intdigest(b"server %d" % len(self.marks)) >> 1)
        return self.marks[server.index]


class Balancer:
    """One process of a balancer, from its start to its death; the host of its decisions."""

    def __init__(
        self, around: Surroundings, number: int, zone: int, seed: int, known: list[Line], known_number: int
    ) -> None:
        self.around = around
        self.world = around.world
        self.number = number
        self.zone = zone
        self.living = True
        self.asks: dict[int, Ask] = {}
        self.tags = 0
        self.idle: dict[
            int, list[tuple[float, int]]
        ] = {}  # by server: when last used, incarnation; last used last
        self.connecting: dict[int, dict[Shot, None]] = {}  # by server
        self.listed: dict[int, Readiness] = {}
        self.known = known_number  # changes of the list that it has been sent
        self.busy_until = 0.0
        self.turn = around.turn
        self.probes = 0
        now = self.world.now
        terms = around.terms(zone, number)
        self.policy = around.make(self, terms, seed, now)
        self._list(known)
        self.policy.apply_list(now, [self._line(line) for line in known])
        if around.scenario.registry.mode == "push":
            around.registry.subscribe(self)
        self.world.after(around.keep_idle / 4 * (1 + number * 0.618 % 1), self._round)

    # -- from clients ----------------------------------------------------------------------------------------

    def take(self, ask: Ask) -> None:
        """A whole visit has come in."""
        ask.balancer = self
        now = self.world.now
        ask.came = now
        ask.expires = ask.sent + ask.ttl
        self.tags += 1
        ask.tag = self.tags
        self.asks[ask.tag] = ask
        self.around.watching.taken(ask)
        self.world.at(ask.expires + BACKSTOP, self._backstop, ask)
        self._turn(self._take, ask)

    def _take(self, ask: Ask) -> None:
        now = self.world.now
        ask.handle = self.policy.accept_visit(
            now, ask.tag, ask.prefix, max(0.0, ask.expires - now), ask.repeat
        )
        if ask.gone:
            ask.handle.client_left(now)
        self._tidy(ask)

    def left(self, ask: Ask) -> None:
        """The client has closed its connection."""
        if self.living and not ask.answer:
            ask.gone = True
            self.around.watching.left(ask)
            if ask.handle is not None:
                ask.handle.client_left(self.world.now)
                self._tidy(ask)

    def _backstop(self, ask: Ask) -> None:
        if self.living and not ask.answer and not ask.gone:
            self.around.logged.append((self.world.now, self.number, "visit answered by the backstop"))
            self._answer(ask, "failed")
            if ask.handle is not None:
                ask.handle.client_left(self.world.now)
                self._tidy(ask)

    def _answer(self, ask: Ask, answer: str) -> None:
        """The one final answer."""
        if ask.answer or ask.gone:
            return
        ask.answer = answer
        ask.answered_at = self.world.now
        self.around.watching.answered(ask)
        ask.want.heard(ask, self.around.links.client())

    def _turn(self, call: Callable[..., None], *args: Any) -> None:
        """Tell the decisions, as late as the core makes it."""
        if not self.turn:
            call(*args)
            return
        self.busy_until = max(self.world.now, self.busy_until) + self.turn
        self.world.at(self.busy_until, self._late, call, args)

    def _late(self, call: Callable[..., None], args: tuple[Any, ...]) -> None:
        if self.living:
            call(*args)

    def _tidy(self, ask: Ask) -> None:
        if ask.handle is not None and ask.handle.settled:
            self.asks.pop(ask.tag, None)

    # -- the host's calls ------------------------------------------------------------------------------------

    def start_fetch(self, tag: int, upstream: int, timeout_ms: float) -> None:
        ask = self.asks[tag]
        now = self.world.now
        shot = Shot(self, ask, self.around.servers[upstream], now, timeout_ms)
        ask.shots.append(shot)
        shot.timer = self.world.after(max(0.0, timeout_ms), self._expire, shot)
        server = shot.server
        pool = self.idle.get(upstream)
        while pool:
            used, incarnation = pool.pop()
            # one whose process has died was reset; one to a machine that has vanished looks as it did
            if now - used < self.around.keep_idle and (
                server.vanished or (server.up and incarnation == server.incarnation)
            ):
                shot.connection = incarnation
                self._write(shot)
                return
            self._closed(server, incarnation)
        self._connect(shot)

    def cancel_fetch(self, tag: int, fetch: int) -> None:
        shot = self.asks[tag].shots[fetch]
        if shot.end is None:
            self._cut(shot, End.CANCELLED)

    def bounce(self, tag: int, retry_after: float) -> None:
        ask = self.asks[tag]
        ask.retry_after = retry_after
        self._answer(ask, "bounced")

    def answer_error(self, tag: int) -> None:
        self._answer(self.asks[tag], "failed")

    def call_at(self, at: float, call: Callable[[float], None]) -> None:
        self.world.at(at, self._wake, call)

    def _wake(self, call: Callable[[float], None]) -> None:
        if self.living:
            call(self.world.now)

    def send_probe(self, upstream: int) -> None:
        server = self.around.servers[upstream]
        self.probes += 1
        trip = self.around.links.trip(self.zone, server.zone)
        if server.vanished or server.mute or trip == inf:
            wait = self.around.scenario.reports.probe_timeout_ms
            self.world.after(wait, self._probed, server, End.TIMED_OUT, wait, ())
        elif not server.up:
            self.world.after(trip, self._probed, server, End.UNREACHED, trip, ())
        else:
            report = self.around.reports.of(server) if self.around.scenario.reports.via != "none" else ()
            self.world.after(trip, self._probed, server, End.DELIVERED, trip, report)

    def _probed(self, server: Server, end: End, spent: float, report: tuple[float, ...]) -> None:
        if self.living:
            self.policy.probe_ended(self.world.now, server.index, end, spent, report)

    def close_idle_connections(self, upstream: int) -> None:
        for _, incarnation in self.idle.pop(upstream, []):
            self._closed(self.around.servers[upstream], incarnation)

    def broadcast(self, message: bytes) -> None:
        pass  # balancers are not modelled to reach one another; what is told is only ever a hint

    def watch_list(self, on: bool) -> None:
        if on:
            self.around.registry.watch(self, self.known)

    def poll_list(self) -> None:
        self.around.registry.refresh(self)

    def log(self, text: str) -> None:
        self.around.logged.append((self.world.now, self.number, text))

    # -- the list --------------------------------------------------------------------------------------------

    def alive(self) -> bool:
        return self.living

    def told(self, lines: list[Line], whole: bool, number: int) -> None:
        self.known = max(self.known, number)
        self._list(lines, whole)
        listed = [self._line(line) for line in lines]
        if whole:
            self.policy.apply_list(self.world.now, listed)
        else:
            self.policy.apply_list_changes(self.world.now, listed)

    def told_nothing(self) -> None:
        self.policy.list_call_failed(self.world.now)

    def _line(self, line: Line) -> ListedUpstream:
        server = line.server
        return ListedUpstream(
            server.index,
            self.around.mark(server),
            server.zone,
            server.cell,
            line.readiness,
            max(0.0, line.started),
        )

    def _list(self, lines: list[Line], whole: bool = False) -> None:
        """Take in what the list says; what still waits for a connection to one withdrawn never leaves."""
        news = {line.server.index: line.readiness for line in lines}
        if whole:
            news = {**{i: Readiness.GONE for i in self.listed}, **news}
        for index, readiness in news.items():
            if self.listed.get(index) is readiness:
                continue
            self.listed[index] = readiness
            self.around.watching.told(self, self.around.servers[index], readiness)
            if readiness is not Readiness.READY:
                for shot in list(self.connecting.get(index, ())):
                    self._cut(shot, End.UNSENT)

    # -- fetches ---------------------------------------------------------------------------------------------

    def _connect(self, shot: Shot) -> None:
        server, links = shot.server, self.around.links
        self.connecting.setdefault(server.index, {})[shot] = None
        trip = links.trip(self.zone, server.zone)
        limit = server.group.connections
        if server.vanished or trip == inf:
            self.world.after(self.around.connect_timeout, self._unreached, shot)
        elif not server.up or (limit and server.connections >= limit):
            self.world.after(trip, self._unreached, shot)
        elif trip * self.around.trips > self.around.connect_timeout:
            self.world.after(self.around.connect_timeout, self._unreached, shot)
        else:
            server.connections += 1
            self.world.after(trip * self.around.trips, self._connected, shot, server.incarnation)

    def _unreached(self, shot: Shot) -> None:
        if shot.end is None:
            self._ended(shot, End.UNREACHED, ())

    def _connected(self, shot: Shot, incarnation: int) -> None:
        if shot.end is not None or not self.living:
            self._closed(shot.server, incarnation)
        elif not shot.server.up or shot.server.incarnation != incarnation:
            self._unreached(shot)
        else:
            shot.connection = incarnation
            shot.fresh = True
            self._write(shot)

    def _write(self, shot: Shot) -> None:
        self.connecting.get(shot.server.index, {}).pop(shot, None)
        shot.written = True
        shot.sent = self.world.now
        self.around.watching.sent(shot)
        way = self.around.links.way(self.zone, shot.server.zone)
        if way < inf:
            self.world.after(way, self._arrive, shot)

    def _arrive(self, shot: Shot) -> None:
        """At the server."""
        server = shot.server
        if server.vanished or server.mute:
            return
        if not server.up or server.incarnation != shot.connection:
            self._answer_with(shot, End.RESET, ())
            return
        ask = shot.ask
        prefix = self.around.scenario.prefixes[ask.prefix]
        job = Job(
            ask.work, prefix.wait_ms, ask.key, shot.started + shot.time_out, partial(self._served, shot)
        )
        shot.job = job
        accepted = server.arrive(job, shot.fresh, self.number)
        self.around.watching.arrived(shot, job.work, accepted)
        if not accepted:
            self._answer_with(shot, End.FULL, self.around.reports.of(server))
        elif shot.end is not None and shot.end is not End.DELIVERED:
            server.cancel(job)  # it was given up before it came

    def _served(self, shot: Shot, well: bool | None) -> None:
        """The server has worked it off, or its process died with it."""
        if well is None:
            self._answer_with(shot, End.RESET, ())
            return
        shot.ask.effects += 1
        self.around.watching.ran(shot)
        report = self.around.reports.of(shot.server) if self.around.scenario.reports.via == "answers" else ()
        self._answer_with(shot, End.DELIVERED if well else End.ERRORED, report)

    def _answer_with(self, shot: Shot, end: End, report: tuple[float, ...]) -> None:
        way = self.around.links.way(shot.server.zone, self.zone)
        if way < inf:
            self.world.after(way, self._back, shot, end, report)

    def _back(self, shot: Shot, end: End, report: tuple[float, ...]) -> None:
        if shot.end is not None or not self.living:
            return
        if end is not End.RESET and shot.connection is not None:
            self.idle.setdefault(shot.server.index, []).append((self.world.now, shot.connection))
            shot.connection = None
        self._turn(self._ended, shot, end, report)

    def _ended(self, shot: Shot, end: End, report: tuple[float, ...]) -> None:
        if shot.end is not None or not self.living:
            return
        now = self.world.now
        shot.end, shot.ended_at = end, now
        self.world.drop(shot.timer)
        self.connecting.get(shot.server.index, {}).pop(shot, None)
        self.around.watching.ended(shot)
        self._tell(shot, report)

    def _tell(self, shot: Shot, report: tuple[float, ...]) -> None:
        ask = shot.ask
        end = shot.end
        assert end is not None
        final = end is End.DELIVERED and not ask.answer and not ask.gone
        if final:
            self._answer(ask, "delivered")
        if ask.handle is not None:
            ask.handle.fetch_ended(
                self.world.now, shot.number, end, self.world.now - shot.started, final, report
            )
            self._tidy(ask)

    def _expire(self, shot: Shot) -> None:
        if shot.end is None and self.living:
            self._cut(shot, End.TIMED_OUT if shot.written else End.UNREACHED)

    def _cut(self, shot: Shot, end: End) -> None:
        """We give a fetch up: its connection is closed, and the decisions hear of it next."""
        now = self.world.now
        shot.end, shot.ended_at = end, now
        self.world.drop(shot.timer)
        self.connecting.get(shot.server.index, {}).pop(shot, None)
        if shot.connection is not None:
            if end is End.TIMED_OUT:
                # connections that have not answered since it was sent may be as dead as its own
                pool = self.idle.get(shot.server.index, [])
                for used, incarnation in [c for c in pool if c[0] < shot.sent]:
                    pool.remove((used, incarnation))
                    self._closed(shot.server, incarnation)
            self._closed(shot.server, shot.connection, shot)
        self.around.watching.ended(shot)
        self.world.after(0.0, self._told_cut, shot)

    def _told_cut(self, shot: Shot) -> None:
        if self.living:
            self._tell(shot, ())

    def _closed(self, server: Server, incarnation: int, shot: Shot | None = None) -> None:
        """The end of a connection reaches the server, if anything does."""
        way = self.around.links.way(self.zone, server.zone)
        if way < inf:
            self.world.after(way, self._close_there, server, incarnation, shot)

    @staticmethod
    def _close_there(server: Server, incarnation: int, shot: Shot | None) -> None:
        if server.up and server.incarnation == incarnation:
            server.connections = max(0, server.connections - 1)
            if shot is not None and shot.job is not None:
                server.cancel(shot.job)

    def _round(self) -> None:
        """Close what has been idle for long, before the other side does."""
        if not self.living:
            return
        before = self.world.now - self.around.keep_idle
        for index, pool in self.idle.items():
            while pool and pool[0][0] <= before:
                self._closed(self.around.servers[index], pool.pop(0)[1])
        self.world.after(self.around.keep_idle / 4, self._round)

    # -- its end ---------------------------------------------------------------------------------------------

    def die(self) -> None:
        """The process is killed: its connections end, its clients see that."""
        self.living = False
        for ask in self.asks.values():
            if not ask.answer and not ask.gone:
                ask.answer = "cut"
                ask.answered_at = self.world.now
                self.around.watching.answered(ask)
                ask.want.heard(ask, self.around.links.client())
            for shot in ask.shots:
                if shot.end is None:
                    self.world.drop(shot.timer)
                    shot.end, shot.ended_at = End.CANCELLED, self.world.now
                    if shot.connection is not None:
                        self._closed(shot.server, shot.connection, shot)
        for index, pool in self.idle.items():
            for _, incarnation in pool:
                self._closed(self.around.servers[index], incarnation)
