"""The simulated balancers: each runs the decisions of one arm on the modelled network instead of sockets.

`Balancer` implements `host.Host` for the decisions and makes none itself. It follows the real network front:
it opens connections, reuses the most recently used one first, closes idle ones before the server does,
aborts a fetch that still waits for its connection when the list withdraws the server, reports the same fetch
ends, and answers a visit 15 ms after its client timeout if the decisions have not.

Assumption on CPU time: where handling an event costs time, visits and answers reach the decisions one after
the other, each delayed by that cost; timers are not delayed.
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

IDLE_TIMEOUT_SHARE = 0.8  # of the keep-alive time; balancers close idle connections before servers do
BACKSTOP_MS = 15.0  # after its client timeout a visit gets an error answer if the decisions gave none


class Policy(Protocol):
    """The calls that an arm must implement, those of `decide.Balancer`."""

    def accept_visit(self, now: float, tag: int, prefix: int, ttl: float, repeat: bool) -> Any: ...
    def apply_list(self, now: float, lines: list[ListedUpstream]) -> None: ...
    def apply_list_changes(self, now: float, lines: list[ListedUpstream]) -> None: ...
    def list_call_failed(self, now: float) -> None: ...
    def probe_ended(
        self, now: float, upstream: int, end: End, spent_ms: float, report: tuple[float, ...]
    ) -> None: ...


Maker = Callable[["Balancer", Deployment, int, float], Policy]


class Ask:
    """One try of a client's visit, as a balancer receives it; times in ms."""

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
        self.number = number  # counts all tries of the simulation
        self.want = want  # the `clients.Want` that this is a try of
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
        self.answer = ""  # delivered, bounced, failed, or cut if the balancer died
        self.answered_at = inf
        self.retry_after = 0.0
        self.gone = False  # the client has closed its connection
        self.effects = 0  # how many times a server executed it to the end


class Shot:
    """One backend fetch; times in ms."""

    __slots__ = (
        "ask",
        "balancer",
        "connection",
        "end",
        "ended_at",
        "job",
        "number",
        "on_new_connection",
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
        self.sent = inf  # when the whole request was sent
        self.on_new_connection = False  # sent on a newly opened connection
        self.connection: int | None = None  # its server's incarnation when it was opened
        self.job: Job | None = None
        self.end: End | None = None
        self.ended_at = inf
        self.timer: Due | None = None


class Watching(Protocol):
    """Receives the events of visits and fetches: the referee and the records."""

    def taken(self, ask: Ask) -> None: ...
    def sent(self, shot: Shot) -> None: ...
    def arrived(self, shot: Shot, work: float, accepted: bool) -> None: ...
    def ran(self, shot: Shot) -> None: ...
    def ended(self, shot: Shot) -> None: ...
    def answered(self, ask: Ask) -> None: ...
    def left(self, ask: Ask) -> None: ...
    def told(self, balancer: Balancer, server: Server, readiness: Readiness) -> None: ...


class Reports:
    """The servers' load reports in answers and probes, refreshed once per report period."""

    def __init__(self, world: World, scenario: Scenario, draw: Callable[[], float]) -> None:
        self._world = world
        self._settings = scenario.reports
        self._draw = draw
        self._cached: dict[Server, tuple[float, int, tuple[float, ...]]] = {}

    def of(self, server: Server) -> tuple[float, ...]:
        """The report of a server, in the order of the configured fields; () if reports are off."""
        figures = self._settings
        if figures.via == "none":
            return ()
        now = self._world.now
        at, incarnation, last = self._cached.get(server, (-inf, -1, ()))
        if now - at >= figures.period_ms or incarnation != server.incarnation:
            last = tuple(self._measure(server, field) for field in figures.fields)
            self._cached[server] = (now, server.incarnation, last)
        return last

    def _measure(self, server: Server, field: str) -> float:
        on_core = min(server.held, server.cores)
        value = {
            "in-flight": float(server.held),
            "queue": max(0.0, server.held - server.cores),
            "util": on_core / server.cores,
        }.get(field, 0.0)
        if self._settings.noise:
            value *= max(0.0, 1 + self._settings.noise * 3.46 * (self._draw() - 0.5))
        return value


class Surroundings:
    """What all balancers of a simulation share."""

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
        self.servers = servers  # by index; grows when servers are added
        self.terms = terms
        self.make = make
        self._hash_keys: list[int] = []
        self.connect_timeout = scenario.links.connect_timeout_ms
        self.idle_timeout_ms = IDLE_TIMEOUT_SHARE * scenario.links.keepalive_ms
        self.handshake_trips = max(1.0, scenario.links.handshake_trips)
        self.cpu_ms_per_event = scenario.bank.turn_us / 1e3 / scenario.bank.cores
        self.logged: list[tuple[float, int, str]] = []
        self.seen: dict[tuple[int, int], list[float]] = {}  # used by the far-seeing arm only

    def mark(self, server: Server) -> int:
        """The hash ring key of a server, the same at every balancer."""
        while len(self._hash_keys) < len(self.servers):
            self._hash_keys.append(xxhash.xxh3_64_intdigest(b"server %d" % len(self._hash_keys)) >> 1)
        return self._hash_keys[server.index]


class Balancer:
    """One balancer process from start to death; the host of its decisions."""

    def __init__(
        self, around: Surroundings, number: int, zone: int, seed: int, known: list[Line], list_version: int
    ) -> None:
        self.around = around
        self.world = around.world
        self.number = number
        self.zone = zone
        self.living = True
        self.open_asks: dict[int, Ask] = {}
        self._last_tag = 0
        self.idle_connections: dict[
            int, list[tuple[float, int]]
        ] = {}  # by server, oldest first: when last used, server incarnation
        self.connecting: dict[int, dict[Shot, None]] = {}  # by server: fetches that wait for a connection
        self.readiness: dict[int, Readiness] = {}
        self.list_version = list_version  # number of list changes received
        self.busy_until = 0.0
        self.cpu_ms_per_event = around.cpu_ms_per_event
        self.probes = 0
        now = self.world.now
        terms = around.terms(zone, number)
        self.policy = around.make(self, terms, seed, now)
        self._apply_list(known)
        self.policy.apply_list(now, [self._to_listed(line) for line in known])
        if around.scenario.registry.mode == "push":
            around.registry.subscribe(self)
        self.world.after(around.idle_timeout_ms / 4 * (1 + number * 0.618 % 1), self._close_idle_connections)

    # -- visits from clients ---------------------------------------------------------------------------------

    def take(self, ask: Ask) -> None:
        """Accept a visit that was received whole."""
        ask.balancer = self
        now = self.world.now
        ask.came = now
        ask.expires = ask.sent + ask.ttl
        self._last_tag += 1
        ask.tag = self._last_tag
        self.open_asks[ask.tag] = ask
        self.around.watching.taken(ask)
        self.world.at(ask.expires + BACKSTOP_MS, self._backstop, ask)
        self._after_cpu_delay(self._pass_to_decisions, ask)

    def _pass_to_decisions(self, ask: Ask) -> None:
        now = self.world.now
        ask.handle = self.policy.accept_visit(
            now, ask.tag, ask.prefix, max(0.0, ask.expires - now), ask.repeat
        )
        if ask.gone:
            ask.handle.client_left(now)
        self._discard_if_settled(ask)

    def client_left(self, ask: Ask) -> None:
        """The client has closed its connection."""
        if self.living and not ask.answer:
            ask.gone = True
            self.around.watching.left(ask)
            if ask.handle is not None:
                ask.handle.client_left(self.world.now)
                self._discard_if_settled(ask)

    def _backstop(self, ask: Ask) -> None:
        if self.living and not ask.answer and not ask.gone:
            self.around.logged.append((self.world.now, self.number, "visit answered by the backstop"))
            self._answer(ask, "failed")
            if ask.handle is not None:
                ask.handle.client_left(self.world.now)
                self._discard_if_settled(ask)

    def _answer(self, ask: Ask, answer: str) -> None:
        """Send the final answer of a visit, once."""
        if ask.answer or ask.gone:
            return
        ask.answer = answer
        ask.answered_at = self.world.now
        self.around.watching.answered(ask)
        ask.want.answer_sent(ask, self.around.links.to_client())

    def _after_cpu_delay(self, call: Callable[..., None], *args: Any) -> None:
        """Call the decisions after the CPU delay, one event after the other."""
        if not self.cpu_ms_per_event:
            call(*args)
            return
        self.busy_until = max(self.world.now, self.busy_until) + self.cpu_ms_per_event
        self.world.at(self.busy_until, self._call_if_alive, call, args)

    def _call_if_alive(self, call: Callable[..., None], args: tuple[Any, ...]) -> None:
        if self.living:
            call(*args)

    def _discard_if_settled(self, ask: Ask) -> None:
        if ask.handle is not None and ask.handle.settled:
            self.open_asks.pop(ask.tag, None)

    # -- the host's calls ------------------------------------------------------------------------------------

    def start_fetch(self, tag: int, upstream: int, timeout_ms: float) -> None:
        ask = self.open_asks[tag]
        now = self.world.now
        shot = Shot(self, ask, self.around.servers[upstream], now, timeout_ms)
        ask.shots.append(shot)
        shot.timer = self.world.after(max(0.0, timeout_ms), self._time_out, shot)
        server = shot.server
        pool = self.idle_connections.get(upstream)
        while pool:
            used, incarnation = pool.pop()
            # connections to a dead process were reset; those to a vanished machine still look open
            if now - used < self.around.idle_timeout_ms and (
                server.vanished or (server.up and incarnation == server.incarnation)
            ):
                shot.connection = incarnation
                self._write(shot)
                return
            self._close_connection(server, incarnation)
        self._connect(shot)

    def cancel_fetch(self, tag: int, fetch: int) -> None:
        shot = self.open_asks[tag].shots[fetch]
        if shot.end is None:
            self._abort(shot, End.CANCELLED)

    def bounce(self, tag: int, retry_after: float) -> None:
        ask = self.open_asks[tag]
        ask.retry_after = retry_after
        self._answer(ask, "bounced")

    def answer_error(self, tag: int) -> None:
        self._answer(self.open_asks[tag], "failed")

    def call_at(self, at: float, call: Callable[[float], None]) -> None:
        self.world.at(at, self._fire_timer, call)

    def _fire_timer(self, call: Callable[[float], None]) -> None:
        if self.living:
            call(self.world.now)

    def send_probe(self, upstream: int) -> None:
        server = self.around.servers[upstream]
        self.probes += 1
        trip = self.around.links.round_trip(self.zone, server.zone)
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
        for _, incarnation in self.idle_connections.pop(upstream, []):
            self._close_connection(self.around.servers[upstream], incarnation)

    def broadcast(self, message: bytes) -> None:
        pass  # messages between balancers are not modelled; the decisions use them as hints only

    def watch_list(self, on: bool) -> None:
        if on:
            self.around.registry.watch(self, self.list_version)

    def poll_list(self) -> None:
        self.around.registry.refresh(self)

    def log(self, text: str) -> None:
        self.around.logged.append((self.world.now, self.number, text))

    # -- the list --------------------------------------------------------------------------------------------

    def alive(self) -> bool:
        return self.living

    def receive_list(self, lines: list[Line], whole: bool, number: int) -> None:
        self.list_version = max(self.list_version, number)
        self._apply_list(lines, whole)
        listed = [self._to_listed(line) for line in lines]
        if whole:
            self.policy.apply_list(self.world.now, listed)
        else:
            self.policy.apply_list_changes(self.world.now, listed)

    def list_call_failed(self) -> None:
        self.policy.list_call_failed(self.world.now)

    def _to_listed(self, line: Line) -> ListedUpstream:
        server = line.server
        return ListedUpstream(
            server.index,
            self.around.mark(server),
            server.zone,
            server.cell,
            line.readiness,
            max(0.0, line.started),
        )

    def _apply_list(self, lines: list[Line], whole: bool = False) -> None:
        """Apply a list update; fetches waiting for a connection to a withdrawn server are aborted unsent."""
        readiness_of = {line.server.index: line.readiness for line in lines}
        if whole:
            readiness_of = {**{i: Readiness.GONE for i in self.readiness}, **readiness_of}
        for index, readiness in readiness_of.items():
            if self.readiness.get(index) is readiness:
                continue
            self.readiness[index] = readiness
            self.around.watching.told(self, self.around.servers[index], readiness)
            if readiness is not Readiness.READY:
                for shot in list(self.connecting.get(index, ())):
                    self._abort(shot, End.UNSENT)

    # -- fetches ---------------------------------------------------------------------------------------------

    def _connect(self, shot: Shot) -> None:
        server, links = shot.server, self.around.links
        self.connecting.setdefault(server.index, {})[shot] = None
        trip = links.round_trip(self.zone, server.zone)
        limit = server.group.connections
        if server.vanished or trip == inf:
            self.world.after(self.around.connect_timeout, self._connect_failed, shot)
        elif not server.up or (limit and server.connections >= limit):
            self.world.after(trip, self._connect_failed, shot)
        elif trip * self.around.handshake_trips > self.around.connect_timeout:
            self.world.after(self.around.connect_timeout, self._connect_failed, shot)
        else:
            server.connections += 1
            self.world.after(trip * self.around.handshake_trips, self._connected, shot, server.incarnation)

    def _connect_failed(self, shot: Shot) -> None:
        if shot.end is None:
            self._finish_fetch(shot, End.UNREACHED, ())

    def _connected(self, shot: Shot, incarnation: int) -> None:
        if shot.end is not None or not self.living:
            self._close_connection(shot.server, incarnation)
        elif not shot.server.up or shot.server.incarnation != incarnation:
            self._connect_failed(shot)
        else:
            shot.connection = incarnation
            shot.on_new_connection = True
            self._write(shot)

    def _write(self, shot: Shot) -> None:
        self.connecting.get(shot.server.index, {}).pop(shot, None)
        shot.written = True
        shot.sent = self.world.now
        self.around.watching.sent(shot)
        way = self.around.links.one_way(self.zone, shot.server.zone)
        if way < inf:
            self.world.after(way, self._arrive_at_server, shot)

    def _arrive_at_server(self, shot: Shot) -> None:
        """The request has reached its server."""
        server = shot.server
        if server.vanished or server.mute:
            return
        if not server.up or server.incarnation != shot.connection:
            self._send_response(shot, End.RESET, ())
            return
        ask = shot.ask
        prefix = self.around.scenario.prefixes[ask.prefix]
        job = Job(
            ask.work, prefix.wait_ms, ask.key, shot.started + shot.time_out, partial(self._job_finished, shot)
        )
        shot.job = job
        accepted = server.arrive(job, shot.on_new_connection, self.number)
        self.around.watching.arrived(shot, job.work, accepted)
        if not accepted:
            self._send_response(shot, End.FULL, self.around.reports.of(server))
        elif shot.end is not None and shot.end is not End.DELIVERED:
            server.cancel(job)  # it was aborted before it arrived

    def _job_finished(self, shot: Shot, well: bool | None) -> None:
        """The server has finished the job (True if without error), or its process died (None)."""
        if well is None:
            self._send_response(shot, End.RESET, ())
            return
        shot.ask.effects += 1
        self.around.watching.ran(shot)
        report = self.around.reports.of(shot.server) if self.around.scenario.reports.via == "answers" else ()
        self._send_response(shot, End.DELIVERED if well else End.ERRORED, report)

    def _send_response(self, shot: Shot, end: End, report: tuple[float, ...]) -> None:
        way = self.around.links.one_way(shot.server.zone, self.zone)
        if way < inf:
            self.world.after(way, self._receive_response, shot, end, report)

    def _receive_response(self, shot: Shot, end: End, report: tuple[float, ...]) -> None:
        if shot.end is not None or not self.living:
            return
        if end is not End.RESET and shot.connection is not None:
            self.idle_connections.setdefault(shot.server.index, []).append((self.world.now, shot.connection))
            shot.connection = None
        self._after_cpu_delay(self._finish_fetch, shot, end, report)

    def _finish_fetch(self, shot: Shot, end: End, report: tuple[float, ...]) -> None:
        if shot.end is not None or not self.living:
            return
        now = self.world.now
        shot.end, shot.ended_at = end, now
        self.world.drop(shot.timer)
        self.connecting.get(shot.server.index, {}).pop(shot, None)
        self.around.watching.ended(shot)
        self._report_end(shot, report)

    def _report_end(self, shot: Shot, report: tuple[float, ...]) -> None:
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
            self._discard_if_settled(ask)

    def _time_out(self, shot: Shot) -> None:
        if shot.end is None and self.living:
            self._abort(shot, End.TIMED_OUT if shot.written else End.UNREACHED)

    def _abort(self, shot: Shot, end: End) -> None:
        """Abort a fetch: close its connection and report the end to the decisions in the next event."""
        now = self.world.now
        shot.end, shot.ended_at = end, now
        self.world.drop(shot.timer)
        self.connecting.get(shot.server.index, {}).pop(shot, None)
        if shot.connection is not None:
            if end is End.TIMED_OUT:
                # connections without an answer since it was sent may be dead, too
                pool = self.idle_connections.get(shot.server.index, [])
                for used, incarnation in [c for c in pool if c[0] < shot.sent]:
                    pool.remove((used, incarnation))
                    self._close_connection(shot.server, incarnation)
            self._close_connection(shot.server, shot.connection, shot)
        self.around.watching.ended(shot)
        self.world.after(0.0, self._report_abort, shot)

    def _report_abort(self, shot: Shot) -> None:
        if self.living:
            self._report_end(shot, ())

    def _close_connection(self, server: Server, incarnation: int, shot: Shot | None = None) -> None:
        """Close a connection; the server learns of it unless the network path is cut."""
        way = self.around.links.one_way(self.zone, server.zone)
        if way < inf:
            self.world.after(way, self._close_at_server, server, incarnation, shot)

    @staticmethod
    def _close_at_server(server: Server, incarnation: int, shot: Shot | None) -> None:
        if server.up and server.incarnation == incarnation:
            server.connections = max(0, server.connections - 1)
            if shot is not None and shot.job is not None:
                server.cancel(shot.job)

    def _close_idle_connections(self) -> None:
        """Periodically close connections near the server's keep-alive time, before the server does."""
        if not self.living:
            return
        before = self.world.now - self.around.idle_timeout_ms
        for index, pool in self.idle_connections.items():
            while pool and pool[0][0] <= before:
                self._close_connection(self.around.servers[index], pool.pop(0)[1])
        self.world.after(self.around.idle_timeout_ms / 4, self._close_idle_connections)

    # -- process end -----------------------------------------------------------------------------------------

    def die(self) -> None:
        """Kill the process: its connections close and its clients see their visits cut."""
        self.living = False
        for ask in self.open_asks.values():
            if not ask.answer and not ask.gone:
                ask.answer = "cut"
                ask.answered_at = self.world.now
                self.around.watching.answered(ask)
                ask.want.answer_sent(ask, self.around.links.to_client())
            for shot in ask.shots:
                if shot.end is None:
                    self.world.drop(shot.timer)
                    shot.end, shot.ended_at = End.CANCELLED, self.world.now
                    if shot.connection is not None:
                        self._close_connection(shot.server, shot.connection, shot)
        for index, pool in self.idle_connections.items():
            for _, incarnation in pool:
                self._close_connection(self.around.servers[index], incarnation)
