"""All decisions of ospreyline: which upstream a visit goes to, when it is tried again, and when it is not.

A front builds one `Balancer` an instance. `take()` gives a `Visit`, the handle by which it tells what happens
to that visit later (`ended`, `left`); what the list, the probes, other balancers and a reload say goes to
`told_all`, `told_changes`, `told_nothing`, `probed`, `heard`, `set_terms`. The decisions act through
`host.Host`. docs/design.md has the design and the conditions of each exception, marked E1, E3 ... here.

From top to bottom: figures, records, then the balancer: calls, the rules and the one send, placing, the rest.
`state` has the types without decisions, `asking` when the list service is called.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Sequence
from dataclasses import dataclass, field
from math import exp, inf, log
from random import Random
from struct import Struct

from ospreyline.asking import Asking
from ospreyline.host import Deployment, End, Host, Kind, Listed, Readiness, Scope
from ospreyline.lease import ListLease
from ospreyline.state import Fetch, Lane, Visit

FACTOR = 1.4  # overprovisioning factor of a level's health
FAILURE_RUN = 5  # failures in a row that mark an upstream failing
HOLD_DOWN = 10_000.0  # ms an upstream stays failing before its one trial
LATENCY_MARK = 4.0  # smoothed latency over its lowest of the last minute
LOWEST_SPAN = 30_000.0  # the lowest is kept for this span and the one before
RAMP = 10_000.0  # ms until a new or returning upstream counts whole
FADE = 1_000.0  # ms in which a load report loses most of its weight
FULL_MEMORY = 1_000.0  # ms an upstream that said it is full counts half
HIGH_REPORT = 2.0  # a faded report this many times the mean counts half

BEAT = 200.0  # ms between two rounds of periodic work
LOOK = 50.0  # ms between two looks at held visits
FORGET = 2_000.0  # ms in which what was measured fades; the time between two visits to it, if longer
FADE_COUNTS = 0.9  # what is left after a second of the counts of visits
FEW = 10.0  # visits that tell nothing yet
SMOOTH = 0.1  # weight of a new sample in smoothed figures
PACE = 0.02  # weight of a new sample in the pace of a path prefix
REACH = 0.3  # weight of a new sample in the share of a zone's fetches that find a process
COLD_NEAR, COLD_FAR = 0.5, 0.3  # of a cold budget, by what its own zone, and what all, deliver to us
SPARE = 0.5  # share of a part of a cold send that is left for chance, where balancers are many
PATIENCE = 0.9  # share of the target latency that a visit of great value accepts as predicted latency
IDLE_SHARE = 0.4  # of an idle upstream's latency that comes on top of patience
FIRST_GUESS = 0.2  # of the shortest target latency: an upstream's latency until it is measured
SHARED_BY = 4  # balancers of a zone that send to an upstream there, at the least
USED = 3  # upstreams of a zone that a balancer sends to, at the least
OWN = 0.35  # fetches of ours at each of them, were none crowded; more are used until it is no more
UNCROWDED = 3.0  # visits that any upstream may hold at a time, however slow it is
GOLDEN = 0.6180339887498949
MIX, MASK = 0xD6E8FEB86659FD93, (1 << 64) - 1  # to hash a key with an upstream's mark
FURTHER = 2  # further backend fetches of a visit
RESTED = 0.9  # of the shortest rest from which on connections are silent: what rests longer is replaced
MIXED = 2 / 3  # of silences that are told, the most that one path prefix has
SILENT = 1 / 3  # share of silent ones among connections that rested as long, from which on it is their rest
HINT = Struct("<I")  # what balancers tell one another: connections that have rested so many ms are silent
AGREE = 40  # balancers, for each of which one more must have told it
FORGIVE = 30_000.0  # ms for which a silent connection counts
PROBE_SPEND = 0.002  # of the gain, the most that probes may cost
PROBE_EVERY = 1_000.0  # ms between probes of an upstream, at most


@dataclass(slots=True, eq=False)
class Level:
    """A zone: its healthy upstreams, and what fetches to it tell of those that are seldom met."""

    latency: float  # smoothed over all its fetches
    lowest: float
    healthy: list[Upstream] = field(default_factory=list)
    samples: int = 0
    measured_at: float = -inf
    out: int = 0  # fetches of ours
    depth: float = 1.0  # of those when the ones measured were sent, smoothed alike
    reach: float = 1.0  # share of its fetches that found a process, smoothed
    reached_at: float = -inf
    used: float = 1.0  # share of its upstreams that a balancer asked the mean sends to
    kept: float = 1.0  # share of its fetches answered within the target latency, smoothed
    rate: float = 0.0  # visits a second that one of its warm upstreams delivers for us, smoothed
    capacity: float = 0.0  # visits a second that one of its upstreams, if warm, may carry for us

    def smooth(self, now: float, latency: float, depth: int) -> None:
        """Take in how long a fetch to the zone took that was sent as the depth-th one out there."""
        self.samples += 1
        weight = max(SMOOTH, 1 / (self.samples + 3))
        if self.measured_at > -inf:
            weight = max(weight, 1 - exp((self.measured_at - now) / FORGET))
        self.measured_at = now
        # guards: a geometric mean, or one or two stuck upstreams make their whole zone look slow
        self.latency *= (max(1.0, latency) / self.latency) ** weight
        self.depth += weight * (depth - self.depth)
        if self.samples * SMOOTH >= 1:
            self.lowest = min(self.lowest, self.latency)

    def reach_at(self, now: float) -> float:
        """The share of fetches to the zone that may be thought to find a process."""
        return 1 - (1 - self.reach) * exp((self.reached_at - now) / HOLD_DOWN)


@dataclass(slots=True, eq=False)
class Upstream:
    """All that is known of one upstream."""

    id: int
    mark: int
    zone: int
    cell: int
    level: Level
    ready: bool = False
    start: float = -inf  # of its process
    came_up: float = -inf  # as the list has it, which may lie ahead
    since: float = -inf  # it is new, or has returned, since then
    out: dict[Fetch, None] = field(default_factory=dict)  # oldest first
    run: float = 0.0
    until: dict[Lane, float] = field(default_factory=dict)  # no visit of it before, then a trial
    failing: bool = False
    trial_at: float = 0.0
    trial_out: bool = False
    full_at: float = -inf
    heard_at: float = -inf  # it last answered a visit, or a time-out last counted against it
    passed_at: float = -inf  # an answered fetch was sent then, the latest such
    latency: float = 0.0  # as last measured; see expected
    lowest: float = inf
    lowest_before: float = inf
    lowest_since: float = 0.0
    samples: float = 0.0  # fading
    measured_at: float = -inf
    depth: float = 1.0  # fetches of ours that it held when sent the ones measured, smoothed alike
    report: float = 0.0
    report_at: float = -inf
    probed_at: float = -inf
    sent_at: float = -inf
    used_at: float = inf  # a connection to it last carried an answer; inf while none is known
    served: int = 0
    cold_sends: deque[float] = field(default_factory=deque)
    allowed: int = 0  # cold sends in a window, drawn for each
    drawn_at: float = -inf

    def reborn(self, now: float, start: float) -> None:
        """A new process: nothing learnt of the old one holds."""
        self.start = start
        self.since = max(start, now - RAMP) if start > -inf else now
        self.failing = self.trial_out = False
        self.run = self.report = self.samples = 0.0
        self.measured_at = self.report_at = -inf
        self.depth, self.lowest, self.lowest_before = 1.0, inf, inf
        self.until.clear()  # what it was sent while cold stays noted, or a window would hold two parts

    def smooth(self, now: float, latency: float, depth: int, memory: float) -> None:
        """Take in how long a fetch took that was sent as the depth-th one out."""
        self.latency = self.expected(now, memory)
        self.samples = self.samples * exp((self.measured_at - now) / memory) + 1
        weight = max(SMOOTH, 1 / (self.samples + 1))
        self.measured_at = now
        self.latency += weight * (latency - self.latency)
        self.depth += weight * (depth - self.depth)
        if now - self.lowest_since > LOWEST_SPAN:
            self.lowest_since, self.lowest_before, self.lowest = now, self.lowest, inf
        if self.samples * SMOOTH >= 0.5:
            self.lowest = min(self.lowest, self.latency)

    def expected(self, now: float, memory: float) -> float:
        """Its latency as measured, fading to that of its zone."""
        # guards: an old sample says less than its neighbours since; one passed over is tried again so, too
        usual = self.level.latency
        return usual + (self.latency - usual) * exp((self.measured_at - now) / memory)


class Balancer:
    """The decisions of one instance, from its own traffic alone."""

    def __init__(self, host: Host, terms: Deployment, seed: int, now: float) -> None:
        self._host = host
        self._random = Random(seed).random
        self._rest = inf  # a connection that has rested longer is not trusted
        self._told_rest = self._told_until = inf  # what others have told of that, and how long it holds
        self._rests: deque[Fetch] = deque(maxlen=99)  # the latest: long and short rests are compared
        self._places = self._probes_due = 0.0  # places: upstreams that we would use, were all healthy
        self._asking = Asking(self._random())  # when to ask for the list
        self.lease = ListLease()  # until when the list may be used
        self._upstreams: dict[int, Upstream] = {}
        self._ring: list[Upstream] = []  # in an order that is the same at every balancer
        self._ready: list[Upstream] = []
        self._due: list[Upstream] = []  # failing ones whose trial is due
        self._shares: list[tuple[float, int]] = []  # running total of the shares, zone
        self._memory = FORGET  # how long what was measured of an upstream holds
        self._looking = False
        self._held = self._delivered = self._taken = 0
        self._flow = self._asked = self._mean_report = 0.0  # visits a second that we deliver, are asked
        self._short_at = -inf  # room was last short then
        self._second_at = now
        self._lanes, self._by_value, self._levels = list[Lane](), list[Lane](), list[Level]()
        self._terms = terms
        self._moved_at = -inf  # zones were last named anew then
        self.set_terms(now, terms)
        self._base = self._first_guess  # mean of the lowest latencies
        host.wake(now + BEAT * self._random(), self._beat)

    def set_terms(self, now: float, terms: Deployment) -> None:
        """Turn terms into figures, at the start or on a reload, after which the whole list is told anew."""
        old, again, self._terms = self._terms, bool(self._levels), terms
        known = {lane.terms: lane for lane in self._lanes}
        lanes = [known.get(p) or Lane(p) for p in terms.prefixes]
        # a visit keeps the lane under which it was taken: those that wait in a former one are looked at
        former = [lane for lane in self._by_value if lane.held and lane not in lanes]
        self._lanes, self._by_value = lanes, sorted(lanes, key=lambda lane: -lane.gain) + former
        # a trial may be lost, so visits that may run again make it, where there are any
        self._trial_kinds = {lane.kind for lane in lanes} - {Kind.MUTATING} or {Kind.MUTATING}
        zones, share = terms.zones, min(1.0, terms.zones / terms.balancers)
        self._zone, self._zones, self._balancers = terms.zone, zones, terms.balancers
        # those of one zone let visits in at the same moment: the more, the less patient each is (E1)
        self._bold = PATIENCE * (2 + share) / 3
        # guards: by chance some of hundreds see silence where others do not, so as many must agree
        self._told_rests: deque[tuple[float, float]] = deque(maxlen=2 + terms.balancers // AGREE)
        self._cross_fee, self._tip_after, self._warm_within = (
            terms.cross_fee,
            terms.tip_after,
            terms.warm_within,
        )
        # cold sends a window at a capacity of one a second; those of any zone may send to a cold upstream
        self._cold_window = terms.overload_factor * terms.tip_after / 1e3 / max(3, zones)
        self._granted = 1 - SPARE * (1 - share)
        fields = terms.report_fields
        self._load_field = next((fields.index(f) for f in ("in-flight", "queue", "util") if f in fields), -1)
        self._asking.fit(terms.balancers, terms.must_ask_in)
        self.lease.fit(terms.drain_grace, terms.must_ask_in, not terms.ask_for_list)
        if not again or old.ask_for_list != terms.ask_for_list:
            self._asking.begin(now, terms.ask_for_list)
        self._place_in_ring = terms.number * GOLDEN % 1  # spread evenly, whichever numbers a zone has
        self._used_share = SHARED_BY * zones / terms.balancers
        self._order = [(terms.zone + i) % zones for i in range(zones)]  # own first
        shortest = min((lane.target for lane in lanes), default=0.0)
        # guards: the first answers are the short ones; until more are in, nothing is thought to be fast
        self._harmless, self._first_guess = 0.5 * shortest, FIRST_GUESS * shortest
        levels = dict(zip(old.zone_names, self._levels, strict=False))
        named = terms.zone_names or ("",) * zones
        if again and old.zone_names != named:
            self._moved_at = now
        self._levels = [levels.get(name) or Level(self._first_guess, self._first_guess) for name in named]
        cold = "cold_from", "warm_within", "overload_factor", "tip_after", "zones", "balancers"
        redrawn = any(getattr(old, figure) != getattr(terms, figure) for figure in cold)
        for u in self._upstreams.values():
            if again and old.report_fields != fields:
                u.report_at = -inf  # guards: a load in another unit, which the new means would be mixed with
            if redrawn:
                # guards: a draw under the old figures could be over the new ones, and what was sent to one
                # that counted as warm was not noted: a window goes by first
                u.allowed, u.drawn_at = 0, now
            self._put(u, self._levels.index(u.level) if u.level in self._levels else self._order[-1])

    def _put(self, u: Upstream, zone: int) -> None:
        """An upstream counts to a zone; what is out there goes with it."""
        u.level.out -= len(u.out)
        u.zone, u.level = zone, self._levels[zone]
        u.level.out += len(u.out)

    def told_all(self, now: float, lines: list[Listed], own: bool = True) -> None:
        """The whole list: who is missing from it is gone. `own`: a watch of ours that stands has spoken."""
        named = {line.upstream for line in lines}
        for u in self._upstreams.values():
            u.ready = u.ready and u.id in named
        self.told_changes(now, lines, first=not self._upstreams, own=own)

    def told_changes(self, now: float, lines: list[Listed], first: bool = False, own: bool = True) -> None:
        """Changes of the list; an answer to our call, if we had asked, unless they are not `own`."""
        if own:
            self._asking.told()
        for line in lines:
            u = self._upstreams.get(line.upstream)
            if u is None:
                level = self._levels[line.zone]
                u = Upstream(line.upstream, line.mark, line.zone, line.cell, level)
                self._upstreams[u.id] = u
                # guards: hundreds of balancers would each grant it a first visit, crowded or not
                u.sent_at = now - self._random() * self._crowd(u) * u.level.latency
            u.cell = line.cell
            self._put(u, line.zone)
            was, u.ready = u.ready, line.readiness is Readiness.READY
            if not u.ready:
                continue
            came_up = line.came_up or -inf  # what lies ahead of our clock is now, and not anew each time
            if came_up > u.came_up or not (was or first):
                start, u.came_up = u.start if came_up == u.came_up else min(came_up, now), came_up
                u.reborn(now, start)  # guards: a returning machine is cold, whatever was learnt of it
        if len(self._ring) < len(self._upstreams):
            self._ring = sorted(self._upstreams.values(), key=lambda u: u.mark * MIX & MASK)
        self._rank(now)

    def told_nothing(self, now: float, lost: bool = False, turned_away: bool = False) -> None:
        """A call for the list failed or the subscription broke: the old list stands, we ask again.

        `lost`: an update may have been written that did not arrive; `turned_away`: the service has too many
        callers.
        """
        self._asking.failed(now, turned_away)
        if lost and self._terms.ask_for_list:
            self._asking.lost(now)
            self._host.wake(self._asking.due, self._ask)

    def ask_again(self, now: float) -> None:
        """What was told does not settle what may have been lost: a call that begins later does."""
        if self._asking.due == inf:
            self._asking.lost(now)
            self._host.wake(self._asking.due, self._ask)

    def asked(self, now: float) -> None:
        """The front has called by itself, elsewhere: what went before is over."""
        self._asking.called(now, anew=True)

    def forget(self, upstream: int) -> None:
        """One that has long gone will not be named again."""
        self._ring.remove(self._upstreams.pop(upstream))

    def probed(self, now: float, upstream: int, end: End, spent: float, report: tuple[float, ...]) -> None:
        """A probe has ended."""
        u = self._upstreams[upstream]
        if end is End.DELIVERED:
            self._take_report(u, now, report)
        elif u.failing and end is not End.FULL:
            u.trial_at = now + HOLD_DOWN / 4  # guards: no trial visit is spent on one that no probe reaches

    def take(
        self,
        now: float,
        tag: int,
        prefix: int,
        ttl: float,
        repeat: bool,
        ran: Sequence[tuple[int, int, float]] = (),
    ) -> Visit:
        """A visit has come; it is sent, held or answered before this returns. `ran`: fetches of it that may
        have run, of balancers that had it before us: zone, cell, time."""
        lane = self._lanes[prefix]
        lane.usual_ttl = max(lane.usual_ttl, ttl)
        visit = Visit(self, tag, lane, now, ttl, repeat)
        for zone, cell, sent in ran:
            u = Upstream(-1, 0, zone, cell, self._levels[0])
            visit.fetches.append(Fetch(u, lane, sent, 0.0, 1, 1, False, End.RESET))
        self._taken += 1
        lane.arrived += 1
        if not self._place(visit, now):
            self._hold(visit, now)
        return visit

    def _ended(
        self,
        visit: Visit,
        f: Fetch,
        now: float,
        end: End,
        spent: float,
        final: bool,
        report: tuple[float, ...],
    ) -> None:
        u = f.upstream
        if f.end is None:
            f.end = end
            visit.out -= 1
            if u.out.pop(f, self) is None:
                u.level.out -= 1
            self._learn(u, f, now, end, spent, visit.lane)
            self._take_report(u, now, report)
        if final and not visit.done:
            if end is End.DELIVERED:
                visit.lane.in_time += now <= visit.target_at
                self._delivered += 1
            self._close(visit, now)
        elif not visit.done and not visit.out:
            self._again(visit, now)
        if self._held:
            self._drain(now)

    def _learn(self, u: Upstream, f: Fetch, now: float, end: End, spent: float, lane: Lane) -> None:
        if f.trial:
            u.trial_out = False
        if end is End.DELIVERED or end is End.ERRORED or end is End.FULL:
            u.used_at = now
        elif end is End.TIMED_OUT:
            if not f.silent and spent > self._silent_after(u, lane, now):
                self._silence(f, now)
            if f.rest > self._rest:
                return  # guards: of a connection that was dropped unseen; it says nothing of the upstream
        if end is End.CANCELLED or end is End.UNSENT:
            return
        found = end is not End.UNREACHED and end is not End.RESET
        u.level.reach = u.level.reach_at(now) + REACH * (found - u.level.reach_at(now))
        u.level.reached_at = now
        # a failure counts more than 1 where less than one in six fails by chance
        best = max((level.kept for level in self._levels if level.samples >= FEW), default=0.0)
        weight = max(1.0, log(max(0.01, 1 - best)) / log(1 / 6))
        latency, in_time = 0.0, end is End.DELIVERED and spent <= lane.target
        if end is End.DELIVERED or end is End.TIMED_OUT:
            lane.pace += PACE * (min(LATENCY_MARK, spent / u.level.latency) - lane.pace)
        u.level.kept += SMOOTH * (in_time - u.level.kept)
        if end is End.DELIVERED:
            u.served, u.run = u.served + 1, 0.0
            u.until.pop(lane, None)
            u.passed_at = max(u.passed_at, f.sent)
            u.heard_at = now
            u.failing, u.since = False, now if u.failing else u.since
            latency = spent
        elif end is End.FULL:
            u.full_at = now
            if u.failing:
                u.trial_at = now + HOLD_DOWN
        else:
            if end is not End.TIMED_OUT or f.sent >= u.heard_at:
                # guards: one that answers others is not stuck; a pause met by several visits is one failure
                u.run += weight
                u.heard_at = now
            if end is not End.UNREACHED and not f.silent:
                # guards: one that errors fast looks idle; each error is as bad as a late answer
                latency = max(spent, lane.target)
            if u.failing or u.run >= FAILURE_RUN:
                u.failing = True
                u.trial_at = now + HOLD_DOWN
        if latency:
            u.smooth(now, latency, f.depth, self._memory)
            u.level.smooth(now, latency, f.level_depth)

    def _silence(self, f: Fetch, now: float) -> None:
        """A fetch has no answer, or is long overdue: is it the rest of its connection?"""
        f.silent = True
        late = [g for g in self._rests if now - g.sent < FORGIVE]
        self._rest = inf
        for rest in sorted(g.rest for g in late if g.silent and g.rest):
            long = [g for g in late if g.rest >= rest]
            silent = [g.lane for g in long if g.silent]
            short = [g.silent for g in late if g.rest < rest]
            # guards: upstreams that are slow, or silent themselves, are so after a short rest, too
            if len(silent) > max(SILENT, 2 * sum(short) / max(1, len(short))) * len(long):
                self._rest = RESTED * rest
                # guards: few silences, or mostly those of one path prefix, may be the upstreams'
                if (
                    self._terms.may_tell
                    and self._rest < RESTED * self._told_rest
                    and len(silent) > 2
                    and max(map(silent.count, silent)) <= len(silent) * MIXED
                ):
                    self._host.tell(HINT.pack(int(self._rest)))
                break
        # guards: an upstream that left one path prefix unanswered and served the others was never ejected
        f.upstream.until[f.lane] = now + HOLD_DOWN

    def heard(self, now: float, message: bytes) -> None:
        """Another balancer's hint that connections are silent after a rest; no rule rests on it."""
        told = self._told_rests
        if len(message) == HINT.size:
            told.append((now, float(HINT.unpack(message)[0])))
        if len(told) == told.maxlen and now - told[0][0] < HOLD_DOWN:
            self._told_rest, self._told_until = sorted(rest for _, rest in told)[1], now + FORGIVE
            told.clear()

    def _silent_after(self, u: Upstream, lane: Lane, now: float) -> float:
        """How long a fetch is out that will hardly be answered: late, and far longer than expected."""
        # where late answers have no gain a fetch ends at its target latency (E4), and that tells slowness
        usual = LATENCY_MARK * lane.pace * u.expected(now, self._memory)
        return max(lane.target, usual) if lane.late_gain else inf

    def _close(self, visit: Visit, now: float) -> None:
        """The visit is over: what is still out for it is called off."""
        self._held -= visit.held
        visit.done, visit.held = True, False
        if visit.out and self._terms.may_cancel:
            self._host.cancel(visit.tag, len(visit.fetches) - 1)

    def _may_go(self, visit: Visit, u: Upstream, now: float) -> bool:
        """The four rules on one send; `_send` lets nothing pass that this refuses."""
        # no visit lost: nothing after its end, and nothing that its client would not wait for
        if visit.done or now >= visit.expires or len(visit.fetches) >= self._terms.max_fetches:
            return False
        # drains kept: at once when told, and by nobody without a lease on the list
        if not u.ready or self.lease.withholds(now):
            return False
        # no effect twice
        if visit.out:
            return False
        lane = visit.lane
        if lane.kind is not Kind.READ_LIKE and (ran := visit.may_have_run()) is not None:
            visit.begin_by = ran.sent + lane.window
            if lane.kind is Kind.MUTATING or now >= visit.begin_by:
                return False
            # guards: where zones were named anew since, who is in its group is not known
            apart = u.zone != ran.upstream.zone or (lane.scope is Scope.CELL and u.cell != ran.upstream.cell)
            if lane.scope is not Scope.ALL and (apart or ran.sent <= self._moved_at):
                return False
        # no cold upstream pushed over: our part of the budget, for any window
        if now - u.start < self._warm_within:
            sends = u.cold_sends
            while sends and sends[0] <= now - self._tip_after:
                sends.popleft()
            if now - u.drawn_at >= self._tip_after:
                # guards: a part under one send is kept by chance, drawn for each window and never saved
                # up, or hundreds would each send the one they have left; half of it, for their sum's sake
                part = self._cold_window * u.level.capacity * self._warmth(u, now)
                u.allowed, u.drawn_at = int(part) + (self._random() < self._granted * (part % 1)), now
            return len(sends) < u.allowed
        return True

    def _may_bounce(self, visit: Visit) -> bool:
        """A bounce tells the client that trying again is harmless."""
        lane = visit.lane
        return (
            lane.kind is Kind.READ_LIKE
            or visit.may_have_run() is None
            or (lane.kind is Kind.TAGGED and lane.scope is Scope.ALL)
        )

    def _send(self, visit: Visit, u: Upstream, now: float, trial: bool = False) -> bool:
        """The one place that sends."""
        if not self._may_go(visit, u, now):
            return False
        rest = max(0.0, now - u.used_at)
        if not u.out and rest > min(self._rest, self._told_rest):
            # guards: idle connections are dropped unseen, and what is sent on one gets no answer
            self._host.drop(u.id)
            u.used_at, rest = now, 0.0
        f = Fetch(u, visit.lane, now, rest, len(u.out) + 1, u.level.out + 1, trial)
        self._rests.append(f)
        u.trial_out = u.trial_out or trial
        if now - u.start < self._warm_within:
            u.cold_sends.append(now)
        self._host.send(visit.tag, u.id, self._time_out(visit, now))
        visit.fetches.append(f)
        visit.out += 1
        u.out[f] = None
        if f.lane in u.until:
            u.until[f.lane] = now + HOLD_DOWN  # this is its trial
        u.level.out += 1
        u.sent_at = now
        self._held -= visit.held
        visit.held = False
        return True

    def _give_up(self, visit: Visit, now: float) -> None:
        """Answer at once: a bounce where that is true, else an error."""
        if self._may_bounce(visit):
            # overload: clients come back when it may have passed; else soon
            self._host.bounce(visit.tag, self._terms.max_retry_after * (1.0 if self._overload(now) else 0.25))
        else:
            self._host.fail(visit.tag)
        self._close(visit, now)

    def _warmth(self, u: Upstream, now: float) -> float:
        """The share of its capacity that a starting upstream has at the least."""
        age = min(1.0, (now - u.start) / self._warm_within) if self._warm_within else 1.0
        return self._terms.cold_from + (1 - self._terms.cold_from) * age

    def _place(self, visit: Visit, now: float) -> bool:
        """Send a visit: draw a level by share, take the lower-scored of two inside."""
        if self.lease.withholds(now):
            return False
        if self._due and visit.lane.kind in self._trial_kinds and not visit.fetches:
            for due in self._due:
                if not due.trial_out and now >= due.trial_at and self._send(visit, due, now, trial=True):
                    return True
        if not self._shares:  # all health is 0: draw over all ready
            u = self._lower_of_two(self._ready, visit, now, inf)
            return u is not None and self._send(visit, u, now)
        drawn = self._random() * self._shares[-1][0]
        zone = next((z for total, z in self._shares if drawn < total), self._zone)
        patience = self._patience(visit, self._cross_fee if zone != self._zone else 0.0)
        best = self._lower_of_two(self._levels[zone].healthy, visit, now, patience)
        cost = self._cost(visit, best, now) if best else visit.lane.value
        if cost > self._cross_fee:
            # E1: no room there, or waiting costs more than crossing: another level takes it if it costs less
            for z in self._order:
                if z != zone:
                    patience = self._patience(visit, self._cross_fee if z != self._zone else 0.0)
                    u = self._lower_of_two(self._levels[z].healthy, visit, now, patience)
                    if u and (c := self._cost(visit, u, now)) < cost:
                        best, cost = u, c
        return best is not None and self._send(visit, best, now)

    def _cost(self, visit: Visit, u: Upstream, now: float) -> float:
        """What a visit stands to lose at an upstream, by its wait and the fee, in the unit of its value."""
        # were waits exponential; and it may not be reached
        late = 1 - u.level.reach_at(now) * (
            1 - exp((visit.came - visit.target_at) / max(1e-3, visit.lane.pace * self._predicted(u, now)))
        )
        return visit.lane.value * late + (self._cross_fee if u.zone != self._zone else 0.0)

    def _patience(self, visit: Visit, fee: float) -> float:
        """The predicted latency that a visit accepts: more for more gain, so that low gain yields first."""
        value = max(0.0, visit.lane.value - fee)
        target = visit.target_at - visit.came
        return IDLE_SHARE * self._base + self._bold * max(0.0, target - self._base) * value / (value + 1)

    def _lower_of_two(
        self, level: list[Upstream], visit: Visit, now: float, patience: float
    ) -> Upstream | None:
        """The lower-scored of two random upstreams that have room for the visit and may take it."""
        tried = [f.upstream for f in visit.fetches] if visit.fetches else ()
        first = None
        n = len(level)
        for i in range(n):  # drawn without putting back until two are found
            j = i + int(self._random() * (n - i))
            u = level[j]
            level[i], level[j] = u, level[i]
            if u in tried or not self._fit(u, visit, now, patience):
                continue
            if first is not None:
                lower = self._score(first, now) - self._score(u, now) or self._random() - 0.5
                return first if lower < 0 else u
            first = u
        return first

    def _fit(self, u: Upstream, visit: Visit, now: float, patience: float) -> bool:
        """Whether it has room for the visit and may take it; a fresh one is passed over by chance."""
        failing = u.failing or (u.until and now < u.until.get(visit.lane, -inf))
        return (
            (not failing or not self._shares)
            and self._has_room(u, now, patience)
            and (now - u.start >= self._warm_within or self._random() < self._warmth(u, now))
            and self._may_go(visit, u, now)
        )

    def _predicted(self, u: Upstream, now: float) -> float:
        """The latency of one more: the expected one, scaled by what we have out; others do as we do."""
        level = u.level
        usual = level.latency * max(1.0, (level.out + 1) / level.depth)
        if now - u.start < self._warm_within:
            # guards: scaled from a crowded zone's latency, cold ones stood idle beside crowded warm ones
            usual = self._base * (len(u.out) + 1) / max(0.25, self._warmth(u, now))
        own = u.latency * (len(u.out) + 1) / u.depth
        return usual + (own - usual) * exp((u.measured_at - now) / self._memory)

    def _has_room(self, u: Upstream, now: float, patience: float) -> bool:
        """Whether it is predicted to answer one more within the patience."""
        predicted = self._predicted(u, now)
        if predicted <= max(patience, 1.5 * u.lowest if u.lowest < inf and not u.out else 0.0):
            return True
        # guards: a slow one still gets one now and then, to be measured; all balancers do so at once
        return not u.out and now - u.sent_at >= self._crowd(u) * predicted

    def _crowd(self, u: Upstream) -> float:
        """Latencies between visits of ours that leave an upstream UNCROWDED of all balancers' at a time."""
        sharing = self._balancers * min(1.0, u.level.used)
        return max(0.0, sharing / UNCROWDED - 1) if u.zone == self._zone else sharing

    def _score(self, u: Upstream, now: float) -> float:
        """Own fetches out and the reported load, fading to the others' mean, which one unheard takes."""
        fresh = exp((u.report_at - now) / FADE)
        return len(u.out) + u.report * fresh + self._mean_report * (1 - fresh)

    def _hold(self, visit: Visit, now: float) -> None:
        """No room: wait for it if it will mostly come in time, else answer at once."""
        if self._ready:
            self._short_at = now
        lane = visit.lane
        if lane not in self._by_value:
            self._by_value.append(lane)  # a former one: its terms are no longer those of new visits
        ahead = 1 + sum(len(other.held) for other in self._by_value[: self._by_value.index(lane) + 1])
        # guards: one that has just started has seen nothing delivered; what is out tells when room comes
        flow = self._flow or sum(1e3 * level.out / level.latency for level in self._levels)
        wait = 1e3 * ahead / flow if flow else inf
        # guards: a service that has not told the rest by now is crowded or down; another balancer may know
        no_list = not self._ready or self.lease.withholds(now)
        if no_list or now + wait > self._hold_until(visit):
            return self._give_up(visit, now)
        visit.held = True
        self._held += 1
        lane.held.append(visit)
        if not self._looking:
            self._looking = True
            self._host.wake(now + LOOK, self._look)

    def _look(self, now: float) -> None:
        """While visits are held, look at them."""
        for lane in self._by_value:
            # guards: one behind another that may wait longer must be answered in time, too
            for visit in [v for v in lane.held if v.held and now > self._hold_until(v)]:
                self._give_up(visit, now)
        self._drain(now)
        self._looking = self._held > 0
        if self._looking:
            self._host.wake(now + LOOK, self._look)

    def _hold_until(self, visit: Visit) -> float:
        """Until then a visit may wait and still be answered in time."""
        # guards: periodic work looks at held visits, so the last look must fall before the client timeout
        return min(visit.target_at - self._patience(visit, 0.0), visit.expires - 2 * LOOK)

    def _drain(self, now: float) -> None:
        """Room may have come: the visits of the highest gain that still can be in time go first."""
        for lane in self._by_value:
            held = lane.held
            while held:
                visit = held[0]
                # guards: one past its time takes room for an answer that comes too late, or bars the rest
                if visit.held and now > self._hold_until(visit):
                    self._give_up(visit, now)
                elif visit.held and not self._place(visit, now):
                    self._short_at = now
                    break
                held.popleft()

    def _again(self, visit: Visit, now: float) -> None:
        """The last fetch that was out has failed: another one, or the final answer."""
        ran = visit.may_have_run()
        if now < visit.expires and len(visit.fetches) <= FURTHER:
            if ran is None:
                return None if self._place(visit, now) else self._hold(visit, now)
            # guards: repeats of what was slow feed an overload; an answer spoilt or broken off is no load
            calm = visit.fetches[-1].end is not End.TIMED_OUT or not self._overload(now)
            if calm and now < visit.target_at and self._place(visit, now):
                return
        self._give_up(visit, now)

    def _overload(self, now: float) -> bool:
        """Whether room is short, or was a moment ago."""
        return self._held > 0 or now - self._short_at < 1_000

    def _time_out(self, visit: Visit, now: float) -> float:
        """How long a fetch may take."""
        lane = visit.lane
        if lane.late_gain or now >= visit.target_at:
            return visit.expires - now
        # E4: a late answer has no gain, but the room that it holds has; a hundredth is for the way back
        return min(visit.expires, visit.target_at - 0.01 * lane.target) - now

    def _take_report(self, u: Upstream, now: float, report: tuple[float, ...]) -> None:
        if 0 <= self._load_field < len(report):
            u.report, u.report_at = max(0.0, report[self._load_field]), now

    def _beat(self, now: float) -> None:
        self._host.wake(now + BEAT, self._beat)
        if now - self._second_at >= 1_000:
            self._count(now)
        for u in self._ready:
            if u.out:
                # guards: a stuck upstream answers nothing that could be measured; its oldest fetch tells
                expected = u.expected(now, self._memory)
                for f in list(u.out):
                    if now - f.sent > self._silent_after(u, f.lane, now) and f.sent < u.passed_at:
                        self._silence(f, now)
                        # guards: what gets no answer holds no room and tells no latency
                        del u.out[f]
                        u.level.out -= 1
                if not u.out:
                    continue
                late = now - next(iter(u.out)).sent
                if late > LATENCY_MARK * expected and (
                    len(self._lanes) == 1 or len({f.lane for f in u.out if f.sent < now - late / 2}) > 1
                ):
                    u.latency = expected + 2 * SMOOTH * (late - expected)
                    u.measured_at = now
        home = self._levels[self._zone]
        for level in self._levels:
            if not level.out and now - level.measured_at > BEAT:
                # guards: a zone passed over for being slow is never measured again; it fades to the own one's
                usual = self._base if level is home else max(self._base, home.latency)
                level.latency += BEAT / FORGET * (usual - level.latency)
                level.kept += BEAT / FORGET * (1 - level.kept)
        self._rank(now)
        self._ask(now)
        if self._terms.may_probe:
            self._probe(now)

    def _ask(self, now: float) -> None:
        """Call the list service, if a call is due."""
        if now >= self._asking.due:
            self._asking.called(now)
            self._host.watch(True)

    def _count(self, now: float) -> None:
        """Once a second: rates, and the capacity that warm upstreams are seen to have."""
        span, self._second_at = (now - self._second_at) / 1e3, now
        self._flow += 0.5 * (self._delivered / span - self._flow)
        self._asked += 0.3 * (self._taken / span - self._asked)
        self._delivered = self._taken = 0
        in_use = sum(len(level.healthy) for level in self._levels)
        spread = max(1.0, in_use, self._places)
        for level in self._levels:
            warm = [u.served for u in level.healthy if now - u.start >= self._warm_within]
            if warm:
                level.rate += 0.3 * (sum(warm) / len(warm) / span - level.rate)
            # guards: each visit is delivered by one balancer, so means add up to what an upstream delivers,
            # and the most that each ever saw does not. One just started saw little; some of what it is asked
            share = max(3, self._zones) * (COLD_NEAR * level.rate + COLD_FAR * self._flow / spread)
            level.capacity = max(0.5 * self._asked / spread, share)
        for u in self._ready:
            u.served = 0
        if self._rests and now - self._rests[-1].sent > FORGIVE:
            self._rest = inf
        if now > self._told_until:
            self._told_rest = inf
        self._memory = max(FORGET, 1e3 * in_use / max(0.1, self._asked))
        self._weigh()

    def _weigh(self) -> None:
        """What a visit of each path prefix adds to the goal: its gain, and more where it is served worst."""
        arrived = sum(lane.arrived for lane in self._lanes)
        if not arrived:
            return
        mean = sum(lane.gain * lane.arrived for lane in self._lanes) / arrived or 1.0
        # guards: of a balancer that is asked little a few visits tell nothing; FEW of the mean are mixed in
        overall = sum(lane.in_time for lane in self._lanes) / arrived
        kept = [(lane.in_time + FEW * overall) / (lane.arrived + FEW) for lane in self._lanes]
        need = [exp((min(kept) - k) / 0.05) for k in kept]
        for lane, n in zip(self._lanes, need, strict=True):
            worst = n / sum(need) * arrived / max(1.0, lane.arrived)
            lane.value = (1 - self._terms.worst_prefix) * lane.gain / mean + self._terms.worst_prefix * worst
            lane.arrived *= FADE_COUNTS
            lane.in_time *= FADE_COUNTS
        self._by_value.sort(key=lambda lane: -lane.value)

    def _rank(self, now: float) -> None:
        """Healths, shares and candidates, from what each record says now."""
        ready = self._ready = [u for u in self._ring if u.ready]
        heard, lowest, latencies = [], [], []
        for u in ready:
            if u.report_at > -inf:
                heard.append(u.report * exp((u.report_at - now) / FADE))
            if (low := min(u.lowest, u.lowest_before)) < inf:
                lowest.append(low)
            latencies.append(u.expected(now, self._memory))
        self._mean_report = sum(heard) / len(heard) if heard else 0.0
        lowest = lowest or [min(level.lowest for level in self._levels)]
        self._base = sum(lowest) / len(lowest)
        mean_latency = sum(latencies) / len(latencies) if latencies else 0.0
        counts, totals = [0.0] * self._zones, [0] * self._zones
        reach = [level.reach_at(now) for level in self._levels]
        self._due = []
        rings: list[list[tuple[Upstream, bool]]] = [[] for _ in range(self._zones)]
        for u, latency in zip(ready, latencies, strict=True):
            # E3: where all are as slow, it is load and no fault of one; marking them would swing the shares
            marked = latency > LATENCY_MARK * min(u.lowest, u.lowest_before) and latency > max(
                self._harmless, 2 * mean_latency
            )
            rings[u.zone].append((u, marked))
            totals[u.zone] += 1
            if u.failing or marked:
                continue
            high = u.report * exp((u.report_at - now) / FADE) > HIGH_REPORT * self._mean_report + 0.5
            count = min(1.0, (now - u.since) / RAMP) / (2 if high or now - u.full_at < FULL_MEMORY else 1)
            # E6: one that we have not met for long is as likely up as those of its zone that we have met
            counts[u.zone] += count * (reach[u.zone] if now - u.measured_at > FORGET else 1.0)
        own = (self._flow or self._taken) * self._base / 1e3 / OWN
        for level, ring in zip(self._levels, rings, strict=True):
            # E7: of hundreds each uses the next few in the ring. Guards: one asked far more crowded its few
            first, level.healthy = int(self._place_in_ring * len(ring)), []
            level.used = max(USED, self._used_share * len(ring)) / max(1, len(ring))
            wanted = max(level.used * len(ring), own)
            for u, marked in ring[first:] + ring[:first]:
                if len(level.healthy) >= wanted:
                    break
                # one that fails some path prefix has another beside it
                wanted += any(now < until for until in u.until.values())
                if u.failing:
                    if now >= u.trial_at:
                        self._due.append(u)
                elif not marked:
                    level.healthy.append(u)
            if not level.samples:
                # until measured, one at each from all balancers of the zone is as usual
                level.depth = max(1.0, len(level.healthy) * self._zones / self._balancers)
        sizes = zip(self._levels, rings, strict=True)
        self._places = sum(min(len(ring), max(level.used * len(ring), own)) for level, ring in sizes)
        healths = [min(100.0, FACTOR * 100 * counts[z] / max(1, totals[z])) for z in self._order]
        self._shares = shares(self._order, healths)

    def _probe(self, now: float) -> None:
        """Probe where allowed, as often as the price permits; never cold ones: it is work without budget."""
        in_use = [u for level in self._levels for u in level.healthy if now - u.start >= self._warm_within]
        if not in_use or self._load_field < 0:
            return
        # guards: all balancers that start at once probe at once, unless as rarely as they are asked
        most = PROBE_SPEND / self._terms.probe_fee * self._asked if self._terms.probe_fee else inf
        rate = min(most, 1e3 * len(in_use) / PROBE_EVERY)
        self._probes_due += rate * BEAT / 1e3
        while self._probes_due >= 1:
            self._probes_due -= 1
            u = in_use[int(self._random() * len(in_use))]
            if now - u.probed_at >= PROBE_EVERY:
                u.probed_at = now
                self._host.probe(u.id)


def shares(order: list[int], healths: list[float]) -> list[tuple[float, int]]:
    """Running totals of the levels' shares of 100, filled in order; empty when all health is 0."""
    total = min(100.0, sum(healths))
    filled, out = 0.0, []
    for zone, health in zip(order, healths, strict=True):
        share = min(100.0 - filled, health * 100 / total) if total else 0.0
        if share > 0:
            filled += share
            out.append((filled, zone))
    return out
