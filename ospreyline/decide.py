"""All decisions of ospreyline: which upstream a visit goes to, when it is tried again, and when it is not.

How it is called: a front builds one `Balancer` an instance. `take()` gives a `Visit`, the handle by which
the front tells all that happens to that visit later (`ended`, `began`, `left`); what the list of upstreams
and the probes say goes to `told_all`, `told_changes`, `told_nothing` and `probed`. The decisions act through
`host.Host`; that interface and the plain types crossing it are in `host.py`. The design, and the conditions
under which each exception to it acts, are in docs/design.md; exceptions are marked E1, E2 ... here.

From top to bottom: the figures, the records (path prefix, upstream, visit), then the balancer: its calls,
the four rules and the one send they guard, the ordinary path, further fetches, and the periodic work.
"""

from __future__ import annotations

from collections import deque
from math import exp, inf, log
from random import Random
from struct import Struct

from ospreyline.host import NEVER_RAN, Deployment, End, Host, Kind, Listed, PathPrefix, Readiness, Scope

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
COLD_SHARE = 0.8  # of what the rule lets a cold upstream be sent, if all that we see delivered went evenly
SPARE = 0.5  # share of a part of a cold send that is left for chance, where balancers are many
PATIENCE = 0.9  # share of the target latency that a visit of great value accepts as predicted latency
IDLE_SHARE = 0.4  # of an idle upstream's latency that comes on top of patience
FIRST_GUESS = 0.2  # of the shortest target latency: an upstream's latency until it is measured
SHARED_BY = 4  # balancers of a zone that send to an upstream there, at the least
USED = 4  # upstreams of a zone that a balancer sends to, at the least
OWN = 0.35  # fetches of ours at each of them, were none crowded; more are used until it is no more
UNCROWDED = 3.0  # visits that any upstream may hold at a time, however slow it is
GOLDEN = 0.6180339887498949
MIX, MASK = 0xD6E8FEB86659FD93, (1 << 64) - 1  # to hash a key with an upstream's mark
FURTHER = 2  # further backend fetches of a visit
RESTED = 0.9  # of the shortest rest from which on connections are silent: what rests longer is replaced
MIXED = 2 / 3  # of silences that are told, the most that one path prefix has
SILENT = 1 / 3  # share of silent ones among connections that rested as long, from which on it is their rest
HINT = Struct("<BQ")  # what balancers tell one another: a path prefix and an upstream's mark, or a rest
AGREE = 40  # balancers, for each of which one more must have told it
REST = 255  # in place of the path prefix: rests of so many ms are silent
FORGIVE = 30_000.0  # ms for which a silent connection counts
PROBE_SPEND = 0.002  # of the gain, the most that probes may cost
PROBE_EVERY = 1_000.0  # ms between probes of an upstream, at most


class Lane:
    """A path prefix: its terms, what has been learnt of it, and its visits that wait for room."""

    __slots__ = ("arrived", "client_timeout", "gain", "held", "in_time", "kind", "late_gain", "pace", "scope",
                 "target", "usual_ttl", "value", "window")

    def __init__(self, terms: PathPrefix) -> None:
        self.kind = terms.kind
        self.scope = terms.scope
        self.window = terms.window
        self.target = terms.target_latency
        self.client_timeout = terms.client_timeout
        self.value = terms.gain  # what one delivered in time adds to the goal, 1 on the mean
        self.gain = terms.gain
        self.late_gain = terms.late_gain
        self.arrived = 0.0  # of late, fading
        self.in_time = 0.0  # of those, delivered within the target latency
        self.pace = 1.0  # latency of its fetches over that of their zone, smoothed
        self.usual_ttl = 0.0  # the longest a client has given a try: a first try's
        self.held: deque[Visit] = deque()


class Level:
    """A zone: its healthy upstreams, and what fetches to it tell of those that are seldom met."""

    __slots__ = ("depth", "healthy", "kept", "latency", "lowest", "measured_at", "out",
                 "rate", "reach", "reached_at", "samples", "used")

    def __init__(self, latency: float, guess: float) -> None:
        self.healthy: list[Upstream] = []
        self.latency = latency  # smoothed over all its fetches
        self.samples = 0
        self.measured_at = -inf
        self.out = 0  # fetches of ours
        self.depth = 1.0  # of those when the ones measured were sent, smoothed alike
        self.lowest = guess
        self.reach = 1.0  # share of its fetches that found a process, smoothed
        self.reached_at = -inf
        self.used = 1.0  # share of its upstreams that we send to
        self.kept = 1.0  # share of its fetches answered within the target latency, smoothed
        self.rate = 0.0  # visits a second that one of its warm upstreams delivers for us, smoothed

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

    def reached(self, now: float, did: bool) -> None:
        """Take in whether a fetch found a process; what is old fades."""
        self.reach = self.reach_at(now) + REACH * (did - self.reach_at(now))
        self.reached_at = now

    def reach_at(self, now: float) -> float:
        """The share of fetches to the zone that may be thought to find a process."""
        return 1 - (1 - self.reach) * exp((self.reached_at - now) / HOLD_DOWN)


class Doubt:
    """A path prefix that an upstream fails, whether or not it serves others."""

    __slots__ = ("run", "until")

    def __init__(self) -> None:
        self.run = 0.0
        self.until = -inf  # no visit of the path prefix goes there before, then one trial


class Upstream:
    """All that is known of one upstream."""

    __slots__ = ("allowed", "cell", "cold_sends", "depth", "doubts", "drawn_at", "failing", "full_at",
                 "heard_at", "id", "latency", "level", "lowest", "lowest_before", "lowest_since", "mark",
                 "measured_at", "out", "passed_at", "probed_at", "ready", "report", "report_at", "run",
                 "samples", "sent_at", "served", "since", "start", "trial_at", "trial_out", "used_at", "zone")

    def __init__(self, line: Listed, level: Level) -> None:
        self.id = line.upstream
        self.level = level
        self.mark = line.mark
        self.zone = line.zone
        self.cell = line.cell
        self.ready = False
        self.start = -inf  # of its process
        self.since = -inf  # it is new, or has returned, since then
        self.out: dict[Fetch, None] = {}  # oldest first
        self.run = 0.0
        self.doubts: dict[Lane, Doubt] = {}
        self.failing = False
        self.trial_at = 0.0
        self.trial_out = False
        self.full_at = -inf
        self.heard_at = -inf  # it last answered a visit, or a time-out last counted against it
        self.passed_at = -inf  # an answered fetch was sent then, the latest such
        self.latency = 0.0  # as last measured; see expected
        self.lowest = self.lowest_before = inf
        self.lowest_since = 0.0
        self.samples = 0.0  # fading
        self.measured_at = -inf
        self.depth = 1.0  # fetches of ours that it held when sent the ones measured, smoothed alike
        self.report = 0.0
        self.report_at = -inf
        self.probed_at = -inf
        self.sent_at = -inf
        self.used_at = inf  # a connection to it last carried an answer; inf while none is known
        self.served = 0
        self.cold_sends: deque[float] = deque()
        self.allowed = 0  # cold sends in a window, drawn for each
        self.drawn_at = -inf

    def reborn(self, now: float, start: float) -> None:
        """A new process: nothing learnt of the old one holds."""
        self.start = start
        self.since = max(start, now - RAMP) if start > -inf else now
        self.failing = self.trial_out = False
        self.run = 0.0
        self.doubts.clear()
        self.report = 0.0
        self.measured_at = -inf
        self.depth = 1.0
        self.samples = 0.0
        self.lowest = self.lowest_before = inf
        self.report_at = -inf
        self.cold_sends.clear()

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
        # guards: among hundreds of balancers each meets an upstream a few times a minute; one old sample
        # says less than its neighbours since. One passed over for being slow is tried again so, too
        usual = self.level.latency
        return usual + (self.latency - usual) * exp((self.measured_at - now) / memory)

    def marked(self, latency: float, mean_latency: float, harmless: float) -> bool:
        """Whether the latency mark holds: a slow upstream takes no part in its level's health."""
        # E3: where all are as slow, it is load and no fault of one; marking them would swing the shares
        return (latency > LATENCY_MARK * min(self.lowest, self.lowest_before)
                and latency > max(harmless, 2 * mean_latency))


class Fetch:
    """One backend fetch of a visit."""

    __slots__ = ("depth", "end", "lane", "level_depth", "rest", "sent", "silent", "trial", "upstream")

    def __init__(self, upstream: Upstream, lane: Lane, now: float, rest: float) -> None:
        self.upstream = upstream
        self.sent = now
        self.depth = len(upstream.out) + 1
        self.level_depth = upstream.level.out + 1
        self.end: End | None = None
        self.trial = False
        self.silent = False  # no answer came, or it is long overdue
        self.lane = lane
        self.rest = rest  # ms for which its connection had carried nothing; 0 for a new one


class Visit:
    """The handle of a visit that was taken."""

    __slots__ = ("_balancer", "came", "done", "expires", "fetches", "held",
                 "lane", "out", "tag", "target_at")

    def __init__(self, balancer: Balancer, tag: int, lane: Lane, now: float, ttl: float,
                 repeat: bool) -> None:
        self._balancer = balancer
        self.tag = tag
        self.lane = lane
        self.came = now
        self.expires = now + ttl
        # a marked repeat that is given less time than others is a later try: its target latency began before.
        # Guards: less time alone says nothing, some clients just have less patience
        elapsed = lane.client_timeout - ttl if repeat and ttl < 0.98 * lane.usual_ttl else 0.0
        self.target_at = now + min(ttl, lane.target - elapsed)
        self.fetches: list[Fetch] = []
        self.out = 0
        self.held = False
        self.done = False

    @property
    def settled(self) -> bool:
        """Whether it has its final answer and no fetch of it is out: nothing more will be said of it."""
        return self.done and not self.out

    def may_have_run(self) -> Fetch | None:
        """The first fetch that may have run or is still out."""
        for f in self.fetches:
            if f.end not in NEVER_RAN:
                return f
        return None

    def ended(self, now: float, number: int, end: End, spent: float, final: bool,
              report: tuple[float, ...]) -> None:
        """One of its fetches has ended; final: the client has its answer."""
        self._balancer._ended(self, self.fetches[number], now, end, spent, final, report)

    def began(self, now: float, number: int) -> None:
        """The answer of a fetch streams to the client: the visit is over for us but for that fetch."""
        self._balancer._close(self, now, keep=self.fetches[number])

    def left(self, now: float) -> None:
        """The client has gone: nothing is owed any more."""
        self._balancer._close(self, now)


class Balancer:
    """The decisions of one instance, from its own traffic alone."""

    def __init__(self, host: Host, terms: Deployment, seed: int, now: float) -> None:
        self._host = host
        self._random = Random(seed).random
        self._lanes = [Lane(p) for p in terms.prefixes]
        self._by_value = sorted(self._lanes, key=lambda lane: -lane.gain)
        # a trial may be lost, so visits that may run again make it, where there are any
        self._trial_kinds = {lane.kind for lane in self._lanes} - {Kind.MUTATING} or {Kind.MUTATING}
        self._zone = terms.zone
        self._zones = terms.zones
        # balancers of one zone let visits in at the same moment, in whole ones: the more there are, the
        # further short of its patience each must stay (E1)
        self._bold = PATIENCE * (2 + min(1.0, terms.zones / terms.balancers)) / 3
        self._balancers = terms.balancers
        self._max_fetches = terms.max_fetches
        self._may_cancel = terms.may_cancel
        self._rest = inf  # a connection that has rested longer is not trusted
        self._may_tell = terms.may_tell
        # guards: by chance some of hundreds see silence where others do not, so as many must agree
        self._told_rests: deque[tuple[float, float]] = deque(maxlen=2 + terms.balancers // AGREE)
        self._told_rest = self._told_until = inf  # what so many have told, and how long it holds
        self._rests: deque[Fetch] = deque(maxlen=99)  # fetches on connections that had rested, latest last
        self._may_probe = terms.may_probe
        self._probe_fee = terms.probe_fee
        self._cross_fee = terms.cross_fee
        self._longest_advice = terms.max_retry_after
        self._cold_from = terms.cold_from
        self._warm_within = terms.warm_within
        self._tip_after = terms.tip_after
        # cold sends a window at a capacity of one a second: the balancers of a zone together bring a warm
        # upstream no more than it can do, but those of any zone may send to a cold one
        self._cold_window = terms.overload_factor * terms.tip_after / 1e3 / max(3, terms.zones)
        self._granted = 1 - SPARE * (1 - min(1.0, terms.zones / terms.balancers))
        self._capacity = 0.0  # visits a second that a warm upstream may be thought to carry for us
        self._places = 0.0  # upstreams that we would use, were all healthy
        fields = terms.report_fields
        self._load_field = next((fields.index(f) for f in ("in-flight", "queue", "util") if f in fields), -1)
        self._must_ask_in = terms.must_ask_in if terms.ask_for_list else inf
        self._watching = not terms.ask_for_list
        # guards: hundreds that start at once ask a list service that serves some calls a second
        spread = min(0.3 * terms.must_ask_in, 500.0 + 10 * terms.balancers)
        self._ask_at = now + self._random() * spread if terms.ask_for_list else inf
        self._ask_wait = 500.0
        self._upstreams: dict[int, Upstream] = {}
        self._ring: list[Upstream] = []  # in an order that is the same at every balancer
        self._place_in_ring = terms.number * GOLDEN % 1  # spread evenly, whichever numbers a zone has
        self._used_share = SHARED_BY * terms.zones / terms.balancers
        self._ready: list[Upstream] = []
        self._due: list[Upstream] = []  # failing ones whose trial is due
        self._shares: list[tuple[float, int]] = []  # running total of the shares, zone
        self._order = [(terms.zone + i) % terms.zones for i in range(terms.zones)]  # own first
        self._mean_report = 0.0
        self._mean_latency = 0.0
        self._harmless = 0.5 * min((lane.target for lane in self._lanes), default=0.0)
        # guards: the first answers are the short ones; until more are in, nothing is thought to be fast, the
        # less the more balancers of this zone start at the same moment
        self._first_guess = FIRST_GUESS * min((lane.target for lane in self._lanes), default=0.0)
        guess = self._first_guess * min(UNCROWDED, max(1.0, terms.balancers / terms.zones))
        self._levels = [Level(guess, self._first_guess) for _ in range(terms.zones)]
        self._base = self._first_guess  # mean of the lowest latencies
        self._memory = FORGET  # how long what was measured of an upstream holds
        self._looking = False
        self._probes_due = 0.0
        self._worst_prefix = terms.worst_prefix
        self._held = 0
        self._flow = 0.0  # visits a second that we see delivered
        self._delivered = 0
        self._taken = 0
        self._asked = 0.0  # visits a second that we are asked
        self._short_at = -inf  # room was last short then
        self._second_at = now
        host.wake(now + BEAT * self._random(), self._beat)

    # -- the list of upstreams --------------------------------------------------------------------------

    def told_all(self, now: float, lines: list[Listed]) -> None:
        """The whole list: who is missing from it is gone."""
        named = {line.upstream for line in lines}
        for u in self._upstreams.values():
            u.ready = u.ready and u.id in named
        self.told_changes(now, lines, first=not self._upstreams)

    def told_changes(self, now: float, lines: list[Listed], first: bool = False) -> None:
        """Changes of the list; an answer to our call, if we had asked."""
        if not first:
            self._watching = True
            self._ask_wait = 500.0
        for line in lines:
            u = self._upstreams.get(line.upstream)
            if u is None:
                u = self._upstreams[line.upstream] = Upstream(line, self._levels[line.zone])
                # guards: hundreds of balancers would each grant it a first visit, crowded or not
                u.sent_at = now - self._random() * self._crowd(u) * u.level.latency
            u.zone, u.cell, u.level = line.zone, line.cell, self._levels[line.zone]
            was, u.ready = u.ready, line.readiness is Readiness.READY
            if not u.ready:
                continue
            start = min(line.came_up, now) if line.came_up > 0 else -inf
            if start > u.start or not (was or first):
                u.reborn(now, start)  # guards: a returning machine is cold, whatever was learnt of it
        if len(self._ring) < len(self._upstreams):
            self._ring = sorted(self._upstreams.values(), key=lambda u: u.mark * MIX & MASK)
        self._rank(now)

    def told_nothing(self, now: float) -> None:
        """A call for the list failed or the subscription broke: the old list stands, we ask again."""
        self._watching = False
        self._ask_at = now + self._ask_wait * (0.5 + self._random())
        self._ask_wait = min(2 * self._ask_wait, 0.25 * self._must_ask_in, 8_000.0)

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

    # -- visits -------------------------------------------------------------------------------------------

    def take(self, now: float, tag: int, prefix: int, ttl: float, repeat: bool) -> Visit:
        """A visit has come; it is sent, held or answered before this returns."""
        lane = self._lanes[prefix]
        lane.usual_ttl = max(lane.usual_ttl, ttl)
        visit = Visit(self, tag, lane, now, ttl, repeat)
        self._taken += 1
        lane.arrived += 1
        if not self._place(visit, now):
            self._hold(visit, now)
        return visit

    def _ended(self, visit: Visit, f: Fetch, now: float, end: End, spent: float, final: bool,
               report: tuple[float, ...]) -> None:
        u = f.upstream
        if f.end is None:
            f.end = end
            visit.out -= 1
            if u.out.pop(f, self) is None:
                u.level.out -= 1
            self._learn(u, f, now, end, spent, visit.lane)
            if report:
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
        lost = end is End.UNREACHED or end is End.RESET
        u.level.reached(now, not lost)
        in_time = end is End.DELIVERED and spent <= lane.target
        if end is End.DELIVERED or end is End.TIMED_OUT:
            lane.pace += PACE * (min(LATENCY_MARK, spent / u.level.latency) - lane.pace)
        u.level.kept += SMOOTH * (in_time - u.level.kept)
        if end is End.DELIVERED:
            u.served += 1
            u.run = 0.0
            u.doubts.pop(lane, None)
            u.passed_at = max(u.passed_at, f.sent)
            u.heard_at = now
            if u.failing:
                u.failing = False
                u.since = now
            self._measure(u, now, spent, f)
        elif end is End.FULL:
            u.full_at = now
            if u.failing:
                u.trial_at = now + HOLD_DOWN
        else:
            if end is not End.TIMED_OUT or f.sent >= u.heard_at:
                # guards: a stuck upstream costs a visit each time. Five failures say it where one in six
                # fails by chance; where fewer do, fewer say as much. One that answers others is not stuck,
                # and a pause met by several visits is one failure: in overload most of a fleet was ejected
                u.run += self._weight()
                u.heard_at = now
            if end is End.ERRORED or end is End.RESET:
                self._doubt(u, lane, now, self._weight())
            if end is not End.UNREACHED and not f.silent:
                # guards: one that errors fast looks idle; each error is as bad as a late answer
                self._measure(u, now, max(spent, lane.target), f)
            if u.failing or u.run >= FAILURE_RUN:
                u.failing = True
                u.trial_at = now + HOLD_DOWN

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
                if (self._may_tell and self._rest < RESTED * self._told_rest and len(silent) > 2
                        and max(map(silent.count, silent)) <= len(silent) * MIXED):
                    self._host.tell(HINT.pack(REST, int(self._rest)))
                break
        self._doubt(f.upstream, f.lane, now, FAILURE_RUN)

    def _doubt(self, u: Upstream, lane: Lane, now: float, weight: float) -> None:
        """Count a failure of a path prefix at an upstream; a run of them sends it elsewhere."""
        # guards: an upstream that left one path prefix unanswered and served the others was never ejected
        doubt = u.doubts.setdefault(lane, Doubt())
        doubt.run += weight
        if doubt.run >= FAILURE_RUN:
            doubt.until = now + HOLD_DOWN

    def heard(self, now: float, message: bytes) -> None:
        """Another balancer's hint. Two make what one silence of our own makes; no rule rests on it."""
        if len(message) != HINT.size:
            return
        place, figure = HINT.unpack(message)
        if place == REST:
            self._told_rests.append((now, float(figure)))
            if len(self._told_rests) == self._told_rests.maxlen and now - self._told_rests[0][0] < HOLD_DOWN:
                self._told_rest = sorted(rest for _, rest in self._told_rests)[1]
                self._told_until = now + FORGIVE
                self._told_rests.clear()

    def _silent_after(self, u: Upstream, lane: Lane, now: float) -> float:
        """How long a fetch is out that will hardly be answered: late, and far longer than expected."""
        return max(lane.target, LATENCY_MARK * lane.pace * u.expected(now, self._memory))

    def _weight(self) -> float:
        """What one failure counts in a run: more where fewer fail by chance."""
        best = max((level.kept for level in self._levels if level.samples >= FEW), default=0.0)
        return max(1.0, log(max(0.01, 1 - best)) / log(1 / 6))

    def _measure(self, u: Upstream, now: float, latency: float, f: Fetch) -> None:
        u.smooth(now, latency, f.depth, self._memory)
        u.level.smooth(now, latency, f.level_depth)

    def _close(self, visit: Visit, now: float, keep: Fetch | None = None) -> None:
        """The visit is over: what is still out for it is called off."""
        visit.done = True
        if visit.held:
            visit.held = False
            self._held -= 1
        if visit.out and self._may_cancel:
            for number, f in enumerate(visit.fetches):
                if f.end is None and f is not keep:
                    self._host.cancel(visit.tag, number)

    # -- the rules ----------------------------------------------------------------------------------------

    def _may_go(self, visit: Visit, u: Upstream, now: float) -> bool:
        """The four rules on one send; `_send` lets nothing pass that this refuses."""
        # no visit lost: nothing after its end, and nothing that its client would not wait for
        if visit.done or now >= visit.expires or len(visit.fetches) >= self._max_fetches:
            return False
        # drains kept: at once when told. Deemed told never comes up: see _follow
        if not u.ready:
            return False
        # no effect twice
        if visit.out:
            return False
        lane = visit.lane
        if lane.kind is not Kind.READ_LIKE and (ran := visit.may_have_run()) is not None:
            if lane.kind is Kind.MUTATING or now >= ran.sent + lane.window:
                return False
            if lane.scope is Scope.ZONE and u.zone != ran.upstream.zone:
                return False
            if lane.scope is Scope.CELL and (u.cell != ran.upstream.cell or u.zone != ran.upstream.zone):
                return False
        # no cold upstream pushed over: our part of the budget, for any window
        if now - u.start < self._warm_within:
            sends = u.cold_sends
            while sends and sends[0] <= now - self._tip_after:
                sends.popleft()
            if now - u.drawn_at >= self._tip_after:
                # guards: a part under one send is kept by chance, drawn for each window and never saved up,
                # or hundreds of balancers would each send the one they have left at the same moment
                part = self._cold_window * self._capacity * self._warmth(u, now)
                # ... and only half of it is granted: the sum of hundreds of chances must keep the rule, too
                u.allowed = int(part) + (self._random() < self._granted * (part % 1))
                u.drawn_at = now
            return len(sends) < u.allowed
        return True

    def _may_bounce(self, visit: Visit) -> bool:
        """A bounce tells the client that trying again is harmless."""
        lane = visit.lane
        return (lane.kind is Kind.READ_LIKE or visit.may_have_run() is None
                or (lane.kind is Kind.TAGGED and lane.scope is Scope.ALL))

    def _send(self, visit: Visit, u: Upstream, now: float, trial: bool = False) -> bool:
        """The one place that sends."""
        if not self._may_go(visit, u, now):
            return False
        rest = max(0.0, now - u.used_at)
        if not u.out and rest > min(self._rest, self._told_rest):
            # guards: something between us and the upstreams drops idle connections unseen, and what is sent
            # on one gets no answer. A new one costs the upstream some work
            self._host.drop(u.id)
            u.used_at, rest = now, 0.0
        f = Fetch(u, visit.lane, now, rest)
        self._rests.append(f)
        f.trial = trial
        if trial:
            u.trial_out = True
        if now - u.start < self._warm_within:
            u.cold_sends.append(now)
        self._host.send(visit.tag, u.id, self._time_out(visit, now))
        visit.fetches.append(f)
        visit.out += 1
        u.out[f] = None
        if (doubt := u.doubts.get(f.lane)) is not None and doubt.until > -inf:
            doubt.until = now + HOLD_DOWN  # this is its trial
        u.level.out += 1
        u.sent_at = now
        if visit.held:
            visit.held = False
            self._held -= 1
        return True

    def _give_up(self, visit: Visit, now: float) -> None:
        """Answer at once: a bounce where that is true, else an error."""
        if self._may_bounce(visit):
            # overload: clients come back when it may have passed; else soon
            self._host.bounce(visit.tag, self._longest_advice * (1.0 if self._overload(now) else 0.25))
        else:
            self._host.fail(visit.tag)
        self._close(visit, now)

    # -- the ordinary path --------------------------------------------------------------------------------

    def _warmth(self, u: Upstream, now: float) -> float:
        """The share of its capacity that a starting upstream has at the least."""
        if now - u.start >= self._warm_within:
            return 1.0
        return self._cold_from + (1 - self._cold_from) * (now - u.start) / self._warm_within

    def _place(self, visit: Visit, now: float) -> bool:
        """Send a visit: draw a level by share, take the lower-scored of two inside."""
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
            # E1: the drawn level has no room, or waiting there costs more than crossing: another level takes
            # the visit if its wait and the fee cost less
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
            1 - exp((visit.came - visit.target_at) / max(1e-3, visit.lane.pace * self._predicted(u, now))))
        return visit.lane.value * late + (self._cross_fee if u.zone != self._zone else 0.0)

    def _patience(self, visit: Visit, fee: float) -> float:
        """The predicted latency that a visit accepts: more for more gain, so that low gain yields first."""
        value = max(0.0, visit.lane.value - fee)
        target = visit.target_at - visit.came
        return IDLE_SHARE * self._base + self._bold * max(0.0, target - self._base) * value / (value + 1)

    def _lower_of_two(self, level: list[Upstream], visit: Visit, now: float,
                      patience: float) -> Upstream | None:
        """The lower-scored of two random upstreams that have room for the visit and may take it."""
        tried = [f.upstream for f in visit.fetches] if visit.fetches else ()
        a = None
        n = len(level)
        for i in range(n):  # drawn without putting back until two are found
            j = i + int(self._random() * (n - i))
            u = level[j]
            level[i], level[j] = u, level[i]
            if u in tried or not self._fit(u, visit, now, patience):
                continue
            if a is None:
                a = u
                continue
            x, y = self._score(a, now), self._score(u, now)
            if x == y:
                return a if self._random() < 0.5 else u
            return a if x < y else u
        return a

    def _fit(self, u: Upstream, visit: Visit, now: float, patience: float) -> bool:
        """Whether it has room for the visit and may take it; a fresh one is passed over by chance."""
        doubt = u.doubts.get(visit.lane)
        if doubt is not None and now < doubt.until and self._shares:
            return False
        return ((not u.failing or not self._shares) and self._has_room(u, now, patience)
                and (now - u.start >= self._warm_within or self._random() < self._warmth(u, now))
                and self._may_go(visit, u, now))

    def _predicted(self, u: Upstream, now: float) -> float:
        """The latency of one more: the expected one, scaled by what we have out; others do as we do."""
        level = u.level
        usual = level.latency * max(1.0, (level.out + 1) / level.depth)
        if now - u.start < self._warm_within:
            # guards: a crowded zone says nothing of one that its budget keeps from being crowded; scaled from
            # the zone's latency, cold ones stood idle beside warm ones that timed out
            usual = self._base * (len(u.out) + 1) / max(0.25, self._warmth(u, now))
        own = u.latency * (len(u.out) + 1) / u.depth
        return usual + (own - usual) * exp((u.measured_at - now) / self._memory)

    def _has_room(self, u: Upstream, now: float, patience: float) -> bool:
        """Whether an upstream is predicted to answer one more within the patience."""
        predicted = self._predicted(u, now)
        if predicted <= max(patience, 1.5 * u.lowest if u.lowest < inf and not u.out else 0.0):
            return True
        if u.out:
            return False
        # guards: a slow one still gets one now and then, to be measured; all balancers do so at once, so
        # each only as often as leaves the upstream UNCROWDED of them at a time
        return now - u.sent_at >= self._crowd(u) * predicted

    def _crowd(self, u: Upstream) -> float:
        """Latencies between visits of ours that leave an upstream UNCROWDED of all balancers' at a time."""
        sharing = self._balancers * min(1.0, u.level.used)
        return max(0.0, sharing / UNCROWDED - 1) if u.zone == self._zone else sharing

    def _score(self, u: Upstream, now: float) -> float:
        """Own fetches out and the reported load, fading to the others' mean, which one unheard takes."""
        fresh = exp((u.report_at - now) / FADE)
        return len(u.out) + u.report * fresh + self._mean_report * (1 - fresh)

    # -- waiting, further fetches -------------------------------------------------------------------------

    def _hold(self, visit: Visit, now: float) -> None:
        """No room: wait for it if it will mostly come in time, else answer at once."""
        if self._ready:
            self._short_at = now
        lane = visit.lane
        ahead = 1
        for other in self._by_value:
            ahead += len(other.held)
            if other is lane:
                break
        # guards: one asked now and then, or just started, sees little delivered in a second; what it has out
        # tells as well when room comes
        flow = max(self._flow, *(1e3 * level.out / level.latency for level in self._levels))
        wait = 1e3 * ahead / flow if flow else inf
        if not self._ready or now + wait > self._hold_until(visit):
            self._give_up(visit, now)
            return
        visit.held = True
        self._held += 1
        lane.held.append(visit)
        if not self._looking:
            self._looking = True
            self._host.wake(now + LOOK, self._look)

    def _look(self, now: float) -> None:
        """While visits are held, look at them."""
        for lane in self._lanes:
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
                if visit.done or not visit.held:
                    held.popleft()
                elif now > self._hold_until(visit):
                    held.popleft()
                    self._give_up(visit, now)
                elif self._place(visit, now):
                    held.popleft()
                else:
                    self._short_at = now
                    break

    def _again(self, visit: Visit, now: float) -> None:
        """The last fetch that was out has failed: another one, or the final answer."""
        ran = visit.may_have_run()
        if now < visit.expires and len(visit.fetches) <= FURTHER:
            if ran is None:
                if not self._place(visit, now):
                    self._hold(visit, now)
                return
            # guards: repeats of what was slow feed an overload; an answer spoilt or broken off is no load
            again = visit.fetches[-1].end is not End.TIMED_OUT or not self._overload(now)
            if again and now < visit.target_at and self._place(visit, now):
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
            u.report = max(0.0, report[self._load_field])
            u.report_at = now

    # -- periodic work ------------------------------------------------------------------------------------

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
                        len(self._lanes) == 1 or len({f.lane for f in u.out if f.sent < now - late / 2}) > 1):
                    u.latency = expected + 2 * SMOOTH * (late - expected)
                    u.measured_at = now
        home = self._levels[self._zone]
        for level in self._levels:
            if not level.out and now - level.measured_at > BEAT:
                # guards: a zone passed over for being slow is never measured again, so that fades; but one
                # that nobody has been to lately is not thought to be faster than the own one
                usual = self._base if level is home else max(self._base, home.latency)
                level.latency += BEAT / FORGET * (usual - level.latency)
                level.kept += BEAT / FORGET * (1 - level.kept)
        self._rank(now)
        self._follow(now)
        if self._may_probe:
            self._probe(now)

    def _count(self, now: float) -> None:
        """Once a second: rates, and the capacity that warm upstreams are seen to have."""
        span = (now - self._second_at) / 1e3
        self._second_at = now
        self._flow += 0.5 * (self._delivered / span - self._flow)
        self._asked += 0.3 * (self._taken / span - self._asked)
        self._delivered = self._taken = 0
        in_use = sum(len(level.healthy) for level in self._levels)
        for level in self._levels:
            warm = [u.served for u in level.healthy if now - u.start >= self._warm_within]
            if warm:
                level.rate += SMOOTH * (sum(warm) / len(warm) / span - level.rate)
        # where nothing is known yet, half of what we are asked would go round evenly. Guards: one that has
        # just started, or meets only crowded upstreams, saw none carry much; what is delivered, spread
        # evenly, is no more than they can do, so a share of what the rule allows on top of that is safe
        share = COLD_SHARE * max(3, self._zones) * self._flow
        share = max(0.5 * self._asked, share) / max(1.0, in_use, self._places)
        self._capacity = max(0.99 * self._capacity, share, *(level.rate for level in self._levels))
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
            lane.value = (1 - self._worst_prefix) * lane.gain / mean + self._worst_prefix * worst
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
        self._base = sum(lowest) / len(lowest) if lowest else self._first_guess
        self._mean_latency = sum(latencies) / len(latencies) if latencies else 0.0
        counts = [0.0] * self._zones
        totals = [0] * self._zones
        reach = [level.reach_at(now) for level in self._levels]
        self._due = []
        rings: list[list[tuple[Upstream, float]]] = [[] for _ in range(self._zones)]
        for u, latency in zip(ready, latencies, strict=True):
            rings[u.zone].append((u, latency))
            totals[u.zone] += 1
            if u.failing or u.marked(latency, self._mean_latency, self._harmless):
                continue
            count = min(1.0, (now - u.since) / RAMP)
            high = u.report * exp((u.report_at - now) / FADE) > HIGH_REPORT * self._mean_report + 0.5
            if high or now - u.full_at < FULL_MEMORY:
                count /= 2
            # E6: one that we have not met for long is as likely up as those of its zone that we have met
            counts[u.zone] += count * (reach[u.zone] if now - u.measured_at > FORGET else 1.0)
        own = max(self._asked, self._taken) * self._base / 1e3 / OWN
        for level, ring in zip(self._levels, rings, strict=True):
            # E7: of hundreds of balancers each sends to a few upstreams of a zone, so that it knows them:
            # the next healthy ones in the ring from its own place, so that all upstreams are used alike.
            # Guards: one asked many times the mean crowded its four beside others that stood idle
            first, level.healthy = int(self._place_in_ring * len(ring)), []
            level.used = max(USED, self._used_share * len(ring)) / max(1, len(ring))
            wanted = max(level.used * len(ring), own)
            for u, latency in ring[first:] + ring[:first]:
                if len(level.healthy) >= wanted:
                    break
                # one that fails some path prefix has another beside it
                wanted += any(now < doubt.until for doubt in u.doubts.values())
                if u.failing:
                    if now >= u.trial_at:
                        self._due.append(u)
                elif not u.marked(latency, self._mean_latency, self._harmless):
                    level.healthy.append(u)
            if not level.samples:
                # until measured, one at each from all balancers of the zone is as usual
                level.depth = max(1.0, len(level.healthy) * self._zones / self._balancers)
        sizes = zip(self._levels, rings, strict=True)
        self._places = sum(min(len(ring), max(level.used * len(ring), own)) for level, ring in sizes)
        healths = [min(100.0, FACTOR * 100 * counts[z] / max(1, totals[z])) for z in self._order]
        self._shares = shares(self._order, healths)

    def _follow(self, now: float) -> None:
        """Keep a subscription. Guards: asked for well within the time after which we would be deemed told."""
        if not self._watching and now >= self._ask_at:
            # failed calls are told; one that is never answered is asked again
            self._ask_at = now + min(4_000.0, 0.4 * self._must_ask_in)
            self._host.watch(True)

    def _probe(self, now: float) -> None:
        """Probe where allowed, as often as their price permits; failing ones before their trial."""
        in_use = [u for level in self._levels for u in level.healthy]
        if not in_use or self._load_field < 0:
            return
        # guards: all balancers that start at once probe at once, unless as rarely as they are asked
        rate = 1e3 * len(in_use) / PROBE_EVERY
        if self._probe_fee:
            rate = min(rate, PROBE_SPEND / self._probe_fee * self._asked)
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
