"""All decisions of ospreyline: which upstream serves a visit, when a visit is retried, and when it is not.

Whoever carries the decisions out builds one `Balancer` per instance. `accept_visit()` returns a `Visit`, the
handle through which later events of that visit are reported (`fetch_ended`, `client_left`). Updates of the
upstream list, probe results, hints of other balancers and reloads go to `apply_list`, `apply_list_changes`,
`list_call_failed`, `probe_ended`, `receive_hint` and `apply_settings`. The decisions act through `host.Host`.
docs/design.md has the design and the conditions of each exception, marked E1, E3 ... here.

From top to bottom: constants, records, then the balancer: calls from outside, the rules and the one method
that sends, choice of an upstream, queue, retries, periodic work. `state` has the types without decisions,
`call_schedule` decides when the list service is called.
"""

from __future__ import annotations

from bisect import bisect_left, insort
from collections import deque
from collections.abc import Sequence
from dataclasses import dataclass, field
from math import exp, inf, log
from random import Random
from struct import Struct

from ospreyline.call_schedule import CallSchedule
from ospreyline.host import (
    DedupScope,
    Deployment,
    End,
    Host,
    Kind,
    ListedUpstream,
    Readiness,
    repeat_is_harmless,
)
from ospreyline.lease import ListLease
from ospreyline.state import Fetch, RequestClass, Visit

OVERPROVISIONING_FACTOR = 1.4  # of a locality's health
EJECT_AFTER_FAILURES = 5  # consecutive failures of an upstream
EJECTION_MS = 10_000.0  # until the one trial request of an ejected upstream
SLOW_LATENCY_RATIO = 4.0  # smoothed latency over the lowest of the last minute from which one is slow
LOWEST_LATENCY_WINDOW_MS = 30_000.0  # the lowest latency covers this window and the one before
SLOW_START_MS = 10_000.0  # until a new or returning upstream counts fully
LOAD_DECAY_MS = 1_000.0  # in which a load report loses most of its weight
FULL_PENALTY_MS = 1_000.0  # for which an upstream that answered "full" counts half
HIGH_LOAD_RATIO = 2.0  # an upstream whose decayed load is this many times the mean counts half

TICK_MS = 200.0  # period of the periodic work
QUEUE_CHECK_MS = 50.0  # between two checks of the queue
MEASUREMENT_DECAY_MS = 2_000.0  # of measurements; the mean time between two visits to an upstream, if longer
COUNT_KEPT_PER_S = 0.9  # share of the visit counts that is left after a second
FEW_VISITS = 10.0  # too few to conclude anything from
SMOOTHING = 0.1  # weight of a new sample in smoothed values
RELATIVE_LATENCY_SMOOTHING = 0.02  # the same for the relative latency of a request class
REACHABILITY_SMOOTHING = 0.3  # the same for the share of a zone's fetches that reach a process
# weights, in the cold budget, of what one upstream of the zone and of what all upstreams deliver for us
COLD_LOCALITY_WEIGHT, COLD_TOTAL_WEIGHT = 0.5, 0.3
COLD_HEADROOM = 0.5  # withheld from fractions of a cold send where balancers are many, for chance
ADMISSION_FACTOR = 0.9  # share of the target latency that a visit of great value accepts as predicted latency
IDLE_LATENCY_SHARE = 0.4  # of an idle upstream's latency, added to each latency budget
INITIAL_LATENCY_SHARE = 0.2  # of the shortest target latency: latency assumed until one is measured
MIN_BALANCERS_PER_UPSTREAM = 4  # of a zone, for an upstream of that zone
MIN_UPSTREAMS_IN_USE = 3  # of a zone, by one balancer
TARGET_FETCHES_PER_UPSTREAM = 0.35  # mean of ours in flight at idle latency; above it more upstreams are used
SAFE_CONCURRENCY = 3.0  # visits that any upstream can hold at a time, however slow it is
GOLDEN_RATIO = 0.6180339887498949
# upstreams ranked for changes of the list between two ticks; further changes are ranked with the next tick
MAX_RANKED_PER_TICK = 6_400
HASH_MULTIPLIER, HASH_MASK = 0xD6E8FEB86659FD93, (1 << 64) - 1
MAX_FURTHER_FETCHES = 2  # of a visit, after its first one
IDLE_LIMIT_MARGIN = 0.9  # of the shortest idle time after which connections were unresponsive
MAX_SHARE_OF_ONE_CLASS = 2 / 3  # of the unresponsive fetches behind a hint that is sent to other balancers
UNRESPONSIVE_SHARE = 1 / 3  # of the connections idle as long, from which on the idle time is the cause
# the message between balancers: connections that were idle for so many ms are unresponsive
IDLE_TIMEOUT_HINT = Struct("<I")
BALANCERS_PER_HINT = 40  # one more hint is needed for each so many balancers
UNRESPONSIVE_MEMORY_MS = 30_000.0  # for which an unresponsive connection, or a hint, counts
PROBE_COST_SHARE = 0.002  # of the gain, the most that probes may cost
PROBE_INTERVAL_MS = 1_000.0  # between two probes of an upstream, at least


@dataclass(slots=True, eq=False)
class Locality:
    """A zone: its upstreams in use, and figures of all fetches to it, for upstreams that we seldom use."""

    latency: float  # smoothed over all its fetches
    lowest_latency: float
    candidates: list[Upstream] = field(default_factory=list)
    samples: int = 0
    measured_at: float = -inf
    in_flight: int = 0  # fetches of ours
    usual_in_flight: float = 1.0  # fetches of ours in flight when the measured ones were sent, smoothed alike
    reachability: float = 1.0  # share of its fetches that reached a process, smoothed
    reachability_at: float = -inf
    used_share: float = 1.0  # share of its upstreams that a balancer with the mean arrival rate uses
    in_time_share: float = 1.0  # share of its fetches answered within the target latency, smoothed
    delivery_rate: float = 0.0  # visits a second that one of its warm upstreams delivers for us, smoothed
    capacity: float = 0.0  # visits a second that one of its upstreams, once warm, can serve for us

    def record_latency(self, now: float, latency: float, in_flight: int) -> None:
        """Record the latency of a fetch to the zone, sent as the `in_flight`-th one in flight there."""
        self.samples += 1
        weight = max(SMOOTHING, 1 / (self.samples + 3))
        if self.measured_at > -inf:
            weight = max(weight, 1 - exp((self.measured_at - now) / MEASUREMENT_DECAY_MS))
        self.measured_at = now
        # a geometric mean: with an arithmetic one, one or two stuck upstreams make their whole zone look slow
        self.latency *= (max(1.0, latency) / self.latency) ** weight
        self.usual_in_flight += weight * (in_flight - self.usual_in_flight)
        if self.samples * SMOOTHING >= 1:
            self.lowest_latency = min(self.lowest_latency, self.latency)

    def expected_reachability(self, now: float) -> float:
        """The share of fetches to the zone that are expected to reach a process, decaying to 1."""
        return 1 - (1 - self.reachability) * exp((self.reachability_at - now) / EJECTION_MS)


@dataclass(slots=True, eq=False)
class Upstream:
    """All that is known of one upstream."""

    id: int
    hash_key: int
    zone: int
    cell: int
    locality: Locality
    ready: bool = False
    started_at: float = -inf  # of its process, on our clock
    listed_start: float = -inf  # start of its process as listed, which may lie in the future
    slow_start_at: float = -inf  # when it was new, or returned; it counts fully SLOW_START_MS later
    in_flight: dict[Fetch, None] = field(default_factory=dict)  # oldest first
    failure_run: float = 0.0
    # no visits until then; then one trial request
    class_ejected_until: dict[RequestClass, float] = field(default_factory=dict)
    ejected: bool = False
    trial_at: float = 0.0
    trial_in_flight: bool = False
    full_at: float = -inf
    outcome_at: float = -inf  # when it last answered a visit, or a time-out last counted as a failure
    answered_send_at: float = -inf  # latest send time of a fetch that was answered
    latency: float = 0.0  # as last measured; see expected_latency
    lowest_latency: float = inf
    previous_lowest: float = inf
    lowest_window_start: float = 0.0
    samples: float = 0.0  # decaying
    measured_at: float = -inf
    usual_in_flight: float = 1.0  # fetches of ours in flight here when the measured ones were sent, smoothed
    load: float = 0.0
    load_at: float = -inf
    probed_at: float = -inf
    sent_at: float = -inf
    connection_used_at: float = inf  # last answer on any connection to it; inf while none is known
    deliveries: int = 0
    cold_sends: deque[float] = field(default_factory=deque)
    cold_sends_allowed: int = 0  # in the current window, with the fraction drawn by chance
    cold_sends_drawn_at: float = -inf

    @property
    def ring_position(self) -> int:
        """Place in the hash ring, the same at every balancer."""
        return self.hash_key * HASH_MULTIPLIER & HASH_MASK

    def reset_after_restart(self, now: float, start: float) -> None:
        """Discard what was learnt of the previous process, all but its cold sends."""
        self.started_at = start
        self.slow_start_at = max(start, now - SLOW_START_MS) if start > -inf else now
        self.ejected = self.trial_in_flight = False
        self.failure_run = self.load = self.samples = 0.0
        self.measured_at = self.load_at = -inf
        self.usual_in_flight, self.lowest_latency, self.previous_lowest = 1.0, inf, inf
        # cold sends stay recorded: otherwise one window could hold the budget twice
        self.class_ejected_until.clear()

    def record_latency(self, now: float, latency: float, in_flight: int, decay_ms: float) -> None:
        """Record the latency of a fetch, sent as the `in_flight`-th one in flight here."""
        self.latency = self.expected_latency(now, decay_ms)
        self.samples = self.samples * exp((self.measured_at - now) / decay_ms) + 1
        weight = max(SMOOTHING, 1 / (self.samples + 1))
        self.measured_at = now
        self.latency += weight * (latency - self.latency)
        self.usual_in_flight += weight * (in_flight - self.usual_in_flight)
        if now - self.lowest_window_start > LOWEST_LATENCY_WINDOW_MS:
            self.lowest_window_start, self.previous_lowest, self.lowest_latency = (
                now,
                self.lowest_latency,
                inf,
            )
        if self.samples * SMOOTHING >= 0.5:
            self.lowest_latency = min(self.lowest_latency, self.latency)

    def expected_latency(self, now: float, decay_ms: float) -> float:
        """Its latency as last measured, decaying to that of its zone."""
        # old samples say less than newer ones of its zone; decay also has avoided upstreams tried again
        usual = self.locality.latency
        return usual + (self.latency - usual) * exp((self.measured_at - now) / decay_ms)


class Balancer:
    """The decisions of one instance, from its own traffic alone. Times in ms on one clock."""

    def __init__(self, host: Host, settings: Deployment, seed: int, now: float) -> None:
        self._host = host
        self._random = Random(seed).random
        self._idle_limit = inf  # ms; connections that were idle for longer are not reused
        # ms, and its expiry: from hints of other balancers
        self._hinted_idle_limit = self._hint_expires = inf
        # the latest; long and short idle times are compared
        self._recent_fetches: deque[Fetch] = deque(maxlen=99)
        self._wanted_upstreams = self._probes_due = 0.0  # upstreams in use, were all healthy
        self._call_schedule = CallSchedule(self._random())  # when to call the list service
        self.lease = ListLease()  # until when the upstream list may be used
        self._upstreams: dict[int, Upstream] = {}
        self._ring: list[Upstream] = []  # hash ring, the same at every balancer
        # as of the latest ranking; one that drains is left out by `_may_send` until the next
        self._ready: list[Upstream] = []
        self._ranked_since_tick = 0  # upstreams ranked for changes of the list
        self._trials_due: list[Upstream] = []  # ejected, time for a trial request
        self._zone_shares: list[tuple[float, int]] = []  # running total of the shares, zone
        self._decay_ms = MEASUREMENT_DECAY_MS  # decay time of measurements of one upstream
        self._queue_check_scheduled = False
        self._queued = self._delivered = self._accepted = 0
        self._delivery_rate = self._arrival_rate = self._mean_load = 0.0  # rates: visits a second
        self._capacity_short_at = -inf  # when a visit last found no capacity
        self._rates_updated_at = now
        self._request_classes, self._classes_by_value, self._localities = (
            list[RequestClass](),
            list[RequestClass](),
            list[Locality](),
        )
        self._settings = settings
        self._zones_renamed_at = -inf  # when zone names last changed
        self.apply_settings(now, settings)
        self._base_latency = self._initial_latency  # ms, mean of the lowest latencies
        host.call_at(now + TICK_MS * self._random(), self._tick)

    def apply_settings(self, now: float, settings: Deployment) -> None:
        """Apply settings, at the start or on a reload, after which the caller passes the whole list again."""
        old, reload, self._settings = self._settings, bool(self._localities), settings
        known = {c.settings: c for c in self._request_classes}
        request_classes = [known.get(p) or RequestClass(p) for p in settings.prefixes]
        # visits keep the class that they were accepted under, so removed ones with queued visits are kept
        former = [c for c in self._classes_by_value if c.queue and c not in request_classes]
        self._request_classes, self._classes_by_value = (
            request_classes,
            sorted(request_classes, key=lambda c: -c.gain) + former,
        )
        # a trial request may be lost, so kinds that may be repeated serve as trials, where there are any
        self._trial_kinds = {c.kind for c in request_classes} - {Kind.MUTATING} or {Kind.MUTATING}
        zones, share = settings.zones, min(1.0, settings.zones / settings.balancers)
        self._zone, self._zone_count, self._balancer_count = settings.zone, zones, settings.balancers
        # balancers of one zone admit visits at the same moment: the more of them, the less each accepts (E1)
        self._admission_factor = ADMISSION_FACTOR * (2 + share) / 3
        # with hundreds of balancers some see unresponsive connections by chance, so more of them must agree
        self._hints: deque[tuple[float, float]] = deque(maxlen=2 + settings.balancers // BALANCERS_PER_HINT)
        self._cross_fee, self._cold_window_ms, self._warm_up_ms = (
            settings.cross_fee,
            settings.tip_after,
            settings.warm_within,
        )
        # cold sends per window for a capacity of one a second; any zone may send to a cold upstream
        self._cold_sends_per_capacity = settings.overload_factor * settings.tip_after / 1e3 / max(3, zones)
        self._fraction_granted = 1 - COLD_HEADROOM * (1 - share)
        fields = settings.report_fields
        self._load_index = next((fields.index(f) for f in ("in-flight", "queue", "util") if f in fields), -1)
        self._call_schedule.configure(settings.balancers, settings.must_ask_in)
        self.lease.configure(settings.drain_grace, settings.must_ask_in, not settings.ask_for_list)
        if not reload or old.ask_for_list != settings.ask_for_list:
            self._call_schedule.begin(now, settings.ask_for_list)
        # even spacing, whatever numbers the balancers of a zone have
        self._ring_position = settings.number * GOLDEN_RATIO % 1
        self._min_used_share = MIN_BALANCERS_PER_UPSTREAM * zones / settings.balancers
        self._zone_order = [(settings.zone + i) % zones for i in range(zones)]  # own zone first
        shortest = min((c.target_latency for c in request_classes), default=0.0)
        # short answers arrive first, so no upstream counts as fast until more have been measured
        self._never_slow_below, self._initial_latency = 0.5 * shortest, INITIAL_LATENCY_SHARE * shortest
        localities = dict(zip(old.zone_names, self._localities, strict=False))
        zone_names = settings.zone_names or ("",) * zones
        if reload and old.zone_names != zone_names:
            self._zones_renamed_at = now
        self._localities = [
            localities.get(name) or Locality(self._initial_latency, self._initial_latency)
            for name in zone_names
        ]
        cold = "cold_from", "warm_within", "overload_factor", "tip_after", "zones", "balancers"
        budget_changed = any(getattr(old, setting) != getattr(settings, setting) for setting in cold)
        for u in self._upstreams.values():
            if reload and old.report_fields != fields:
                u.load_at = -inf  # the old load may have another unit and must not be mixed into the new mean
            if budget_changed:
                # A budget drawn under the old settings could exceed the new one, and sends to an upstream
                # that counted as warm were not recorded: skip one window.
                u.cold_sends_allowed, u.cold_sends_drawn_at = 0, now
            self._assign_locality(
                u,
                self._localities.index(u.locality)
                if u.locality in self._localities
                else self._zone_order[-1],
            )

    def _assign_locality(self, u: Upstream, zone: int) -> None:
        """Move an upstream, with its fetches in flight, to a zone."""
        u.locality.in_flight -= len(u.in_flight)
        u.zone, u.locality = zone, self._localities[zone]
        u.locality.in_flight += len(u.in_flight)

    def apply_list(self, now: float, lines: list[ListedUpstream], from_own_watch: bool = True) -> None:
        """Apply the whole list: upstreams missing from it are not ready. `from_own_watch`: from a watch of
        ours."""
        listed = {line.upstream for line in lines}
        for u in self._upstreams.values():
            u.ready = u.ready and u.id in listed
        self._apply_lines(now, lines, not self._upstreams, from_own_watch)
        self._update_candidates(now)

    def apply_list_changes(
        self,
        now: float,
        lines: list[ListedUpstream],
        is_first_list: bool = False,
        from_own_watch: bool = True,
    ) -> None:
        """Apply changes of the list.

        `is_first_list`: of a first list, whose upstreams need not be new; `from_own_watch`: from a watch of
        ours.
        """
        withdrawn = self._apply_lines(now, lines, is_first_list, from_own_watch)
        if is_first_list or self._reserve_ranking():
            self._update_candidates(now)
        else:
            self._remove_candidates(now, withdrawn)

    def _apply_lines(
        self, now: float, lines: list[ListedUpstream], is_first_list: bool, from_own_watch: bool
    ) -> list[Upstream]:
        """Apply entries of the list without ranking; returns the upstreams that are not ready any more."""
        if from_own_watch:
            self._call_schedule.call_answered()
        new, withdrawn = [], []
        for line in lines:
            u = self._upstreams.get(line.upstream)
            if u is None:
                locality = self._localities[line.zone]
                u = Upstream(line.upstream, line.hash_key, line.zone, line.cell, locality)
                self._upstreams[u.id] = u
                new.append(u)
                # otherwise each of hundreds of balancers would send a first visit at once, overloaded or not
                u.sent_at = now - self._random() * self._send_spacing(u) * u.locality.latency
            u.cell = line.cell
            self._assign_locality(u, line.zone)
            was_ready, u.ready = u.ready, line.readiness is Readiness.READY
            if not u.ready:
                if was_ready:
                    withdrawn.append(u)
                continue
            # a start in the future counts as now, and only once for each listed start
            came_up = line.started_at or -inf
            if came_up > u.listed_start or not (was_ready or is_first_list):
                start, u.listed_start = (
                    u.started_at if came_up == u.listed_start else min(came_up, now),
                    came_up,
                )
                u.reset_after_restart(now, start)  # a restarted machine is cold, whatever was learnt of it
        self._add_to_ring(new)
        return withdrawn

    def _add_to_ring(self, new: list[Upstream]) -> None:
        """Insert new upstreams; a few into a large ring without sorting it anew."""
        if len(new) > len(self._ring) / log(len(self._ring) + 2):
            self._ring = sorted((*self._ring, *new), key=lambda u: u.ring_position)
            return
        for u in new:
            insort(self._ring, u, key=lambda other: other.ring_position)

    def _reserve_ranking(self) -> bool:
        """Reserve a ranking for a change of the list; False if it has to wait for the tick.

        A ranking goes over all upstreams. In a large fleet of which most is replaced, one for each change
        would take all of the processor time.
        """
        ranked = self._ranked_since_tick + len(self._ready)
        if self._ranked_since_tick and self._ready and ranked > MAX_RANKED_PER_TICK:
            return False
        self._ranked_since_tick = ranked
        return True

    def _remove_candidates(self, now: float, withdrawn: list[Upstream]) -> None:
        """Until the next ranking: use none that drains; rank at once where a zone has none left."""
        for u in withdrawn:
            if u in u.locality.candidates:
                u.locality.candidates.remove(u)
                if not u.locality.candidates:
                    return self._update_candidates(now)

    def list_call_failed(self, now: float, possibly_lost: bool = False, turned_away: bool = False) -> None:
        """A list call failed or the watch broke off: keep the old list and schedule another call.

        `possibly_lost`: an update may have been written and lost; `turned_away`: the service has too many
        callers.
        """
        self._call_schedule.call_failed(now, turned_away)
        if possibly_lost and self._settings.ask_for_list:
            self._call_schedule.update_lost(now)
            self._host.call_at(self._call_schedule.next_call_at, self._call_if_due)

    def schedule_list_call(self, now: float) -> None:
        """Schedule a call, as the updates received so far leave open whether one was lost."""
        if self._call_schedule.next_call_at == inf:
            self._call_schedule.update_lost(now)
            self._host.call_at(self._call_schedule.next_call_at, self._call_if_due)

    def list_service_moved(self, now: float) -> None:
        """A call was made to another list service: reset the schedule's failures."""
        self._call_schedule.call_started(now, new_service=True)

    def remove_upstream(self, upstream: int) -> None:
        """Remove an upstream that left long ago and will not be listed again."""
        u = self._upstreams.pop(upstream)
        at = bisect_left(self._ring, u.ring_position, key=lambda other: other.ring_position)
        del self._ring[self._ring.index(u, at)]

    def probe_ended(
        self, now: float, upstream: int, end: End, spent_ms: float, report: tuple[float, ...]
    ) -> None:
        """A probe has ended, after `spent_ms`."""
        u = self._upstreams[upstream]
        if end is End.DELIVERED:
            self._record_load(u, now, report)
        elif u.ejected and end is not End.FULL:
            u.trial_at = now + EJECTION_MS / 4  # spends no trial request on an upstream that no probe reaches

    def accept_visit(
        self,
        now: float,
        tag: int,
        prefix: int,
        ttl: float,
        repeat: bool,
        prior_fetches: Sequence[tuple[int, int, float]] = (),
    ) -> Visit:
        """Accept a visit; it is sent, queued or answered before this returns.

        `prior_fetches`: its fetches by previous balancers that may have executed: zone, cell, time sent.
        """
        request_class = self._request_classes[prefix]
        request_class.first_try_ttl = max(request_class.first_try_ttl, ttl)
        visit = Visit(self, tag, request_class, now, ttl, repeat)
        for zone, cell, sent in prior_fetches:
            u = Upstream(-1, 0, zone, cell, self._localities[0])
            visit.fetches.append(Fetch(u, request_class, sent, 0.0, 1, 1, False, End.RESET))
        self._accepted += 1
        request_class.recent_visits += 1
        if not self._choose_and_send(visit, now):
            self._enqueue(visit, now)
        return visit

    def _fetch_ended(
        self,
        visit: Visit,
        f: Fetch,
        now: float,
        end: End,
        spent: float,
        final: bool,
        report: tuple[float, ...],
    ) -> None:
        """A fetch has ended after `spent` ms; `final`: the client has its answer."""
        u = f.upstream
        if f.end is None:
            f.end = end
            visit.in_flight -= 1
            if u.in_flight.pop(f, self) is None:
                u.locality.in_flight -= 1
            self._record_outcome(u, f, now, end, spent, visit.request_class)
            self._record_load(u, now, report)
        if final and not visit.done:
            if end is End.DELIVERED:
                visit.request_class.recent_in_time += now <= visit.target_deadline
                self._delivered += 1
            self._close(visit, now)
        elif not visit.done and not visit.in_flight:
            self._retry_or_answer(visit, now)
        if self._queued:
            self._drain_queue(now)

    def _record_outcome(
        self, u: Upstream, f: Fetch, now: float, end: End, spent: float, request_class: RequestClass
    ) -> None:
        """Update latency, reachability and ejection by the end of a fetch that took `spent` ms."""
        if f.is_trial:
            u.trial_in_flight = False
        if end is End.DELIVERED or end is End.ERRORED or end is End.FULL:
            u.connection_used_at = now
        elif end is End.TIMED_OUT:
            if not f.unresponsive and spent > self._unresponsive_after(u, request_class, now):
                self._record_unresponsive(f, now)
            if f.idle_ms > self._idle_limit:
                return  # the connection was dropped unseen; this says nothing of the upstream
        if end is End.CANCELLED or end is End.UNSENT:
            return
        reached = end is not End.UNREACHED and end is not End.RESET
        u.locality.reachability = u.locality.expected_reachability(now) + REACHABILITY_SMOOTHING * (
            reached - u.locality.expected_reachability(now)
        )
        u.locality.reachability_at = now
        # a failure weighs more than 1 where less than one in six fails by chance
        best = max(
            (locality.in_time_share for locality in self._localities if locality.samples >= FEW_VISITS),
            default=0.0,
        )
        weight = max(1.0, log(max(0.01, 1 - best)) / log(1 / 6))
        latency, in_time = 0.0, end is End.DELIVERED and spent <= request_class.target_latency
        if end is End.DELIVERED or end is End.TIMED_OUT:
            request_class.relative_latency += RELATIVE_LATENCY_SMOOTHING * (
                min(SLOW_LATENCY_RATIO, spent / u.locality.latency) - request_class.relative_latency
            )
        u.locality.in_time_share += SMOOTHING * (in_time - u.locality.in_time_share)
        if end is End.DELIVERED:
            u.deliveries, u.failure_run = u.deliveries + 1, 0.0
            u.class_ejected_until.pop(request_class, None)
            u.answered_send_at = max(u.answered_send_at, f.sent_at)
            u.outcome_at = now
            u.ejected, u.slow_start_at = False, now if u.ejected else u.slow_start_at
            latency = spent
        elif end is End.FULL:
            u.full_at = now
            if u.ejected:
                u.trial_at = now + EJECTION_MS
        else:
            if end is not End.TIMED_OUT or f.sent_at >= u.outcome_at:
                # one that answers others is not stuck; a pause that delays several visits is one failure
                u.failure_run += weight
                u.outcome_at = now
            if end is not End.UNREACHED and not f.unresponsive:
                # an upstream that errors fast would look idle; each error counts as a late answer
                latency = max(spent, request_class.target_latency)
            if u.ejected or u.failure_run >= EJECT_AFTER_FAILURES:
                u.ejected = True
                u.trial_at = now + EJECTION_MS
        if latency:
            u.record_latency(now, latency, f.in_flight_at_send, self._decay_ms)
            u.locality.record_latency(now, latency, f.locality_in_flight_at_send)

    def _record_unresponsive(self, f: Fetch, now: float) -> None:
        """Record a fetch without answer, or long overdue: is its connection's idle time the cause?"""
        f.unresponsive = True
        recent = [g for g in self._recent_fetches if now - g.sent_at < UNRESPONSIVE_MEMORY_MS]
        self._idle_limit = inf
        for idle_time in sorted(g.idle_ms for g in recent if g.unresponsive and g.idle_ms):
            idle_longer = [g for g in recent if g.idle_ms >= idle_time]
            unresponsive = [g.request_class for g in idle_longer if g.unresponsive]
            idle_shorter = [g.unresponsive for g in recent if g.idle_ms < idle_time]
            # upstreams that are slow or unresponsive themselves are so after short idle times, too
            if len(unresponsive) > max(
                UNRESPONSIVE_SHARE, 2 * sum(idle_shorter) / max(1, len(idle_shorter))
            ) * len(idle_longer):
                self._idle_limit = IDLE_LIMIT_MARGIN * idle_time
                # few unresponsive fetches, or mostly those of one request class, may be the upstreams' fault
                if (
                    self._settings.may_tell
                    and self._idle_limit < IDLE_LIMIT_MARGIN * self._hinted_idle_limit
                    and len(unresponsive) > 2
                    and max(map(unresponsive.count, unresponsive))
                    <= len(unresponsive) * MAX_SHARE_OF_ONE_CLASS
                ):
                    self._host.broadcast(IDLE_TIMEOUT_HINT.pack(int(self._idle_limit)))
                break
        # without this, an upstream that answers all but one request class is never ejected
        f.upstream.class_ejected_until[f.request_class] = now + EJECTION_MS

    def receive_hint(self, now: float, message: bytes) -> None:
        """Receive another balancer's hint on idle timeouts; no rule depends on hints."""
        hints = self._hints
        if len(message) == IDLE_TIMEOUT_HINT.size:
            hints.append((now, float(IDLE_TIMEOUT_HINT.unpack(message)[0])))
        if len(hints) == hints.maxlen and now - hints[0][0] < EJECTION_MS:
            self._hinted_idle_limit, self._hint_expires = (
                sorted(idle_time for _, idle_time in hints)[1],
                now + UNRESPONSIVE_MEMORY_MS,
            )
            hints.clear()

    def _unresponsive_after(self, u: Upstream, request_class: RequestClass, now: float) -> float:
        """ms after which a fetch will hardly be answered: late, and far longer than expected."""
        # where late answers have no gain a fetch ends at its target latency (E4), which only shows slowness
        very_late = (
            SLOW_LATENCY_RATIO * request_class.relative_latency * u.expected_latency(now, self._decay_ms)
        )
        return max(request_class.target_latency, very_late) if request_class.late_gain else inf

    def _close(self, visit: Visit, now: float) -> None:
        """Finish a visit: cancel its fetch in flight."""
        self._queued -= visit.queued
        visit.done, visit.queued = True, False
        if visit.in_flight and self._settings.may_cancel:
            self._host.cancel_fetch(visit.tag, len(visit.fetches) - 1)

    def _may_send(self, visit: Visit, u: Upstream, now: float) -> bool:
        """The four rules for each send; `_send` sends nothing that this refuses."""
        # no visit is lost: none is sent after its end, or later than its client waits
        if visit.done or now >= visit.client_deadline or len(visit.fetches) >= self._settings.max_fetches:
            return False
        # drains are respected: at once when listed, and nothing is sent without a valid list lease
        if not u.ready or self.lease.blocks_sends(now):
            return False
        # no effect happens twice
        if visit.in_flight:
            return False
        request_class = visit.request_class
        if request_class.kind is not Kind.READ_LIKE and (prior := visit.first_maybe_executed()) is not None:
            visit.repeat_deadline = prior.sent_at + request_class.tag_window
            if request_class.kind is Kind.MUTATING or now >= visit.repeat_deadline:
                return False
            # after zone names have changed it is unknown which upstreams share its scope
            outside = u.zone != prior.upstream.zone or (
                request_class.scope is DedupScope.CELL and u.cell != prior.upstream.cell
            )
            if request_class.scope is not DedupScope.ALL and (
                outside or prior.sent_at <= self._zones_renamed_at
            ):
                return False
        # no cold upstream is overloaded: our share of its budget, in any window
        if now - u.started_at < self._warm_up_ms:
            sends = u.cold_sends
            while sends and sends[0] <= now - self._cold_window_ms:
                sends.popleft()
            if now - u.cold_sends_drawn_at >= self._cold_window_ms:
                # A fraction of a send is granted by chance, drawn for each window and never saved up:
                # otherwise hundreds of balancers would each send their one remaining visit. COLD_HEADROOM of
                # it is withheld, for the variance of their sum.
                cold_budget = self._cold_sends_per_capacity * u.locality.capacity * self._warmth(u, now)
                u.cold_sends_allowed, u.cold_sends_drawn_at = (
                    int(cold_budget) + (self._random() < self._fraction_granted * (cold_budget % 1)),
                    now,
                )
            return len(sends) < u.cold_sends_allowed
        return True

    def _may_bounce(self, visit: Visit) -> bool:
        """Whether a bounce would be true: it tells the client that a retry is harmless."""
        request_class = visit.request_class
        return (
            repeat_is_harmless(request_class.kind, request_class.scope)
            or visit.first_maybe_executed() is None
        )

    def _send(self, visit: Visit, u: Upstream, now: float, trial: bool = False) -> bool:
        """Send a visit, if the rules allow it; the only place that sends."""
        if not self._may_send(visit, u, now):
            return False
        idle_time = max(0.0, now - u.connection_used_at)
        if not u.in_flight and idle_time > min(self._idle_limit, self._hinted_idle_limit):
            # idle connections may be dropped unseen, and a request sent on such a one gets no answer
            self._host.close_idle_connections(u.id)
            u.connection_used_at, idle_time = now, 0.0
        f = Fetch(
            u, visit.request_class, now, idle_time, len(u.in_flight) + 1, u.locality.in_flight + 1, trial
        )
        self._recent_fetches.append(f)
        u.trial_in_flight = u.trial_in_flight or trial
        if now - u.started_at < self._warm_up_ms:
            u.cold_sends.append(now)
        self._host.start_fetch(visit.tag, u.id, self._fetch_timeout(visit, now))
        visit.fetches.append(f)
        visit.in_flight += 1
        u.in_flight[f] = None
        if f.request_class in u.class_ejected_until:
            u.class_ejected_until[f.request_class] = now + EJECTION_MS  # this send is its trial request
        u.locality.in_flight += 1
        u.sent_at = now
        self._queued -= visit.queued
        visit.queued = False
        return True

    def _give_up(self, visit: Visit, now: float) -> None:
        """Answer at once: a bounce where that is true, else an error."""
        if self._may_bounce(visit):
            # in overload clients come back when it may have passed, else soon
            self._host.bounce(
                visit.tag, self._settings.max_retry_after * (1.0 if self._is_overloaded(now) else 0.25)
            )
        else:
            self._host.answer_error(visit.tag)
        self._close(visit, now)

    def _warmth(self, u: Upstream, now: float) -> float:
        """The share of its full capacity that a starting upstream has at least."""
        age = min(1.0, (now - u.started_at) / self._warm_up_ms) if self._warm_up_ms else 1.0
        return self._settings.cold_from + (1 - self._settings.cold_from) * age

    def _choose_and_send(self, visit: Visit, now: float) -> bool:
        """Send a visit: draw a zone by share, then the less loaded of two random upstreams in it."""
        if self.lease.blocks_sends(now):
            return False
        if self._trials_due and visit.request_class.kind in self._trial_kinds and not visit.fetches:
            for due in self._trials_due:
                if (
                    not due.trial_in_flight
                    and now >= due.trial_at
                    and self._send(visit, due, now, trial=True)
                ):
                    return True
        if not self._zone_shares:  # no healthy upstream: draw from all ready ones
            u = self._less_loaded_of_two(self._ready, visit, now, inf)
            return u is not None and self._send(visit, u, now)
        drawn = self._random() * self._zone_shares[-1][0]
        zone = next((z for total, z in self._zone_shares if drawn < total), self._zone)
        latency_budget = self._latency_budget(visit, self._cross_fee if zone != self._zone else 0.0)
        best = self._less_loaded_of_two(self._localities[zone].candidates, visit, now, latency_budget)
        loss = self._expected_loss(visit, best, now) if best else visit.request_class.marginal_gain
        if loss > self._cross_fee:
            # E1: no capacity there, or waiting costs more than crossing: another zone, if it costs less
            for z in self._zone_order:
                if z != zone:
                    latency_budget = self._latency_budget(visit, self._cross_fee if z != self._zone else 0.0)
                    u = self._less_loaded_of_two(self._localities[z].candidates, visit, now, latency_budget)
                    if u and (other_loss := self._expected_loss(visit, u, now)) < loss:
                        best, loss = u, other_loss
        return best is not None and self._send(visit, best, now)

    def _expected_loss(self, visit: Visit, u: Upstream, now: float) -> float:
        """The value that a visit is expected to lose at an upstream, by lateness and the crossing fee."""
        # assumes exponential latencies, and that the upstream may be unreachable
        late = 1 - u.locality.expected_reachability(now) * (
            1
            - exp(
                (visit.arrived_at - visit.target_deadline)
                / max(1e-3, visit.request_class.relative_latency * self._predicted_latency(u, now))
            )
        )
        return visit.request_class.marginal_gain * late + (self._cross_fee if u.zone != self._zone else 0.0)

    def _latency_budget(self, visit: Visit, fee: float) -> float:
        """ms of predicted latency that a visit accepts: more for more gain, so that low gain yields first."""
        net_value = max(0.0, visit.request_class.marginal_gain - fee)
        target = visit.target_deadline - visit.arrived_at
        return IDLE_LATENCY_SHARE * self._base_latency + self._admission_factor * max(
            0.0, target - self._base_latency
        ) * net_value / (net_value + 1)

    def _less_loaded_of_two(
        self, candidates: list[Upstream], visit: Visit, now: float, latency_budget: float
    ) -> Upstream | None:
        """The less loaded of two random upstreams that have capacity for the visit and may serve it."""
        tried = [f.upstream for f in visit.fetches] if visit.fetches else ()
        first = None
        n = len(candidates)
        for i in range(n):  # sampling without replacement until two are found
            j = i + int(self._random() * (n - i))
            u = candidates[j]
            candidates[i], candidates[j] = u, candidates[i]
            if u in tried or not self._is_eligible(u, visit, now, latency_budget):
                continue
            if first is not None:
                difference = self._load_score(first, now) - self._load_score(u, now) or self._random() - 0.5
                return first if difference < 0 else u
            first = u
        return first

    def _is_eligible(self, u: Upstream, visit: Visit, now: float, latency_budget: float) -> bool:
        """Whether it has capacity for the visit and may serve it; cold ones are skipped at random."""
        ejected = u.ejected or (
            u.class_ejected_until and now < u.class_ejected_until.get(visit.request_class, -inf)
        )
        return (
            (not ejected or not self._zone_shares)
            and self._has_capacity(u, now, latency_budget)
            and (now - u.started_at >= self._warm_up_ms or self._random() < self._warmth(u, now))
            and self._may_send(visit, u, now)
        )

    def _predicted_latency(self, u: Upstream, now: float) -> float:
        """ms for one more fetch: expected latency scaled by our fetches in flight, as others do alike."""
        locality = u.locality
        usual = locality.latency * max(1.0, (locality.in_flight + 1) / locality.usual_in_flight)
        if now - u.started_at < self._warm_up_ms:
            # scaled from an overloaded zone's latency, cold upstreams stood idle beside overloaded warm ones
            usual = self._base_latency * (len(u.in_flight) + 1) / max(0.25, self._warmth(u, now))
        own = u.latency * (len(u.in_flight) + 1) / u.usual_in_flight
        return usual + (own - usual) * exp((u.measured_at - now) / self._decay_ms)

    def _has_capacity(self, u: Upstream, now: float, latency_budget: float) -> bool:
        """Whether one more fetch is predicted to stay within the latency budget."""
        predicted = self._predicted_latency(u, now)
        if predicted <= max(
            latency_budget, 1.5 * u.lowest_latency if u.lowest_latency < inf and not u.in_flight else 0.0
        ):
            return True
        # a slow upstream still gets a fetch now and then, to be measured; all balancers do this at once
        return not u.in_flight and now - u.sent_at >= self._send_spacing(u) * predicted

    def _send_spacing(self, u: Upstream) -> float:
        """Wait between two sends of ours, in latencies, so that all balancers keep to SAFE_CONCURRENCY."""
        sharing = self._balancer_count * min(1.0, u.locality.used_share)
        return max(0.0, sharing / SAFE_CONCURRENCY - 1) if u.zone == self._zone else sharing

    def _load_score(self, u: Upstream, now: float) -> float:
        """Our fetches in flight plus the reported load, which decays to the mean load of the others."""
        freshness = exp((u.load_at - now) / LOAD_DECAY_MS)
        return len(u.in_flight) + u.load * freshness + self._mean_load * (1 - freshness)

    def _enqueue(self, visit: Visit, now: float) -> None:
        """No capacity: queue the visit if it can probably be served in time, else answer at once."""
        if self._ready:
            self._capacity_short_at = now
        request_class = visit.request_class
        if request_class not in self._classes_by_value:
            # of former settings: not among the classes of new visits
            self._classes_by_value.append(request_class)
        ahead = 1 + sum(
            len(other.queue)
            for other in self._classes_by_value[: self._classes_by_value.index(request_class) + 1]
        )
        # a balancer that has just started has delivered nothing yet; its fetches in flight predict capacity
        delivery_rate = self._delivery_rate or sum(
            1e3 * locality.in_flight / locality.latency for locality in self._localities
        )
        wait = 1e3 * ahead / delivery_rate if delivery_rate else inf
        # a list service that has not sent the list by now is overloaded or down; another balancer may have it
        no_usable_list = not self._ready or self.lease.blocks_sends(now)
        if no_usable_list or now + wait > self._queue_deadline(visit):
            return self._give_up(visit, now)
        visit.queued = True
        self._queued += 1
        request_class.queue.append(visit)
        if not self._queue_check_scheduled:
            self._queue_check_scheduled = True
            self._host.call_at(now + QUEUE_CHECK_MS, self._check_queue)

    def _check_queue(self, now: float) -> None:
        """Check the queue while visits are in it."""
        for request_class in self._classes_by_value:
            # a visit behind another with a later deadline must be answered in time, too
            for visit in [v for v in request_class.queue if v.queued and now > self._queue_deadline(v)]:
                self._give_up(visit, now)
        self._drain_queue(now)
        self._queue_check_scheduled = self._queued > 0
        if self._queue_check_scheduled:
            self._host.call_at(now + QUEUE_CHECK_MS, self._check_queue)

    def _queue_deadline(self, visit: Visit) -> float:
        """Until when a visit may wait and still be answered in time."""
        # the queue is checked periodically, so the last check must come before the client timeout
        return min(
            visit.target_deadline - self._latency_budget(visit, 0.0),
            visit.client_deadline - 2 * QUEUE_CHECK_MS,
        )

    def _drain_queue(self, now: float) -> None:
        """Send queued visits that can still be in time, those of the highest value first."""
        for request_class in self._classes_by_value:
            queue = request_class.queue
            while queue:
                visit = queue[0]
                # a visit past its deadline would use capacity for a late answer, or block the others
                if visit.queued and now > self._queue_deadline(visit):
                    self._give_up(visit, now)
                elif visit.queued and not self._choose_and_send(visit, now):
                    self._capacity_short_at = now
                    break
                queue.popleft()

    def _retry_or_answer(self, visit: Visit, now: float) -> None:
        """The last fetch in flight has failed: start another one, or give the final answer."""
        prior = visit.first_maybe_executed()
        if now < visit.client_deadline and len(visit.fetches) <= MAX_FURTHER_FETCHES:
            if prior is None:
                return None if self._choose_and_send(visit, now) else self._enqueue(visit, now)
            # retries after time-outs feed an overload; invalid or broken-off answers are no sign of load
            repeat_allowed = visit.fetches[-1].end is not End.TIMED_OUT or not self._is_overloaded(now)
            if repeat_allowed and now < visit.target_deadline and self._choose_and_send(visit, now):
                return
        self._give_up(visit, now)

    def _is_overloaded(self, now: float) -> bool:
        """Whether capacity is short, or was within the last second."""
        return self._queued > 0 or now - self._capacity_short_at < 1_000

    def _fetch_timeout(self, visit: Visit, now: float) -> float:
        """ms that a fetch may take."""
        request_class = visit.request_class
        if request_class.late_gain or now >= visit.target_deadline:
            return visit.client_deadline - now
        # E4: a late answer has no gain but uses capacity; a hundredth is left for the way back to the client
        return min(visit.client_deadline, visit.target_deadline - 0.01 * request_class.target_latency) - now

    def _record_load(self, u: Upstream, now: float, report: tuple[float, ...]) -> None:
        """Keep the load from an upstream's report, if reports have one."""
        if 0 <= self._load_index < len(report):
            u.load, u.load_at = max(0.0, report[self._load_index]), now

    def _tick(self, now: float) -> None:
        """Every TICK_MS: check the age of fetches in flight, update candidates, call for the list, probe."""
        self._host.call_at(now + TICK_MS, self._tick)
        if now - self._rates_updated_at >= 1_000:
            self._update_rates(now)
        for u in self._ready:
            if u.in_flight:
                # a stuck upstream answers nothing that could be measured, but its oldest fetch ages
                expected_latency = u.expected_latency(now, self._decay_ms)
                for f in list(u.in_flight):
                    if (
                        now - f.sent_at > self._unresponsive_after(u, f.request_class, now)
                        and f.sent_at < u.answered_send_at
                    ):
                        self._record_unresponsive(f, now)
                        # a fetch without answer uses no capacity and says nothing of latency
                        del u.in_flight[f]
                        u.locality.in_flight -= 1
                if not u.in_flight:
                    continue
                age = now - next(iter(u.in_flight)).sent_at
                if age > SLOW_LATENCY_RATIO * expected_latency and (
                    len(self._request_classes) == 1
                    or len({f.request_class for f in u.in_flight if f.sent_at < now - age / 2}) > 1
                ):
                    u.latency = expected_latency + 2 * SMOOTHING * (age - expected_latency)
                    u.measured_at = now
        home = self._localities[self._zone]
        for locality in self._localities:
            if not locality.in_flight and now - locality.measured_at > TICK_MS:
                # a zone avoided as slow would never be measured again, so it decays to the own zone's latency
                usual = self._base_latency if locality is home else max(self._base_latency, home.latency)
                locality.latency += TICK_MS / MEASUREMENT_DECAY_MS * (usual - locality.latency)
                locality.in_time_share += TICK_MS / MEASUREMENT_DECAY_MS * (1 - locality.in_time_share)
        self._update_candidates(now)
        self._ranked_since_tick = 0
        self._call_if_due(now)
        if self._settings.may_probe:
            self._send_probes(now)

    def _call_if_due(self, now: float) -> None:
        """Call the list service, if a call is due."""
        if now >= self._call_schedule.next_call_at:
            self._call_schedule.call_started(now)
            self._host.watch_list(True)

    def _update_rates(self, now: float) -> None:
        """Once a second: update the rates, and the capacity that each zone's warm upstreams have for us."""
        seconds, self._rates_updated_at = (now - self._rates_updated_at) / 1e3, now
        self._delivery_rate += 0.5 * (self._delivered / seconds - self._delivery_rate)
        self._arrival_rate += 0.3 * (self._accepted / seconds - self._arrival_rate)
        self._delivered = self._accepted = 0
        in_use = sum(len(locality.candidates) for locality in self._localities)
        spread = max(1.0, in_use, self._wanted_upstreams)
        for locality in self._localities:
            warm = [u.deliveries for u in locality.candidates if now - u.started_at >= self._warm_up_ms]
            if warm:
                locality.delivery_rate += 0.3 * (sum(warm) / len(warm) / seconds - locality.delivery_rate)
            # Each visit is delivered by one balancer, so means over the balancers add up to what an upstream
            # delivers; maxima would add up to more. A balancer that has just started has delivered little, so
            # part of its arrival rate is the minimum.
            share = max(3, self._zone_count) * (
                COLD_LOCALITY_WEIGHT * locality.delivery_rate
                + COLD_TOTAL_WEIGHT * self._delivery_rate / spread
            )
            locality.capacity = max(0.5 * self._arrival_rate / spread, share)
        for u in self._ready:
            u.deliveries = 0
        if self._recent_fetches and now - self._recent_fetches[-1].sent_at > UNRESPONSIVE_MEMORY_MS:
            self._idle_limit = inf
        if now > self._hint_expires:
            self._hinted_idle_limit = inf
        self._decay_ms = max(MEASUREMENT_DECAY_MS, 1e3 * in_use / max(0.1, self._arrival_rate))
        self._weigh_by_gain()

    def _weigh_by_gain(self) -> None:
        """Update what one visit in time of each class adds to the goal: its gain, more for the worst."""
        arrived = sum(c.recent_visits for c in self._request_classes)
        if not arrived:
            return
        mean = sum(c.gain * c.recent_visits for c in self._request_classes) / arrived or 1.0
        # for a balancer with little traffic a few visits say nothing, so FEW_VISITS of the mean are mixed in
        overall = sum(c.recent_in_time for c in self._request_classes) / arrived
        in_time_shares = [
            (c.recent_in_time + FEW_VISITS * overall) / (c.recent_visits + FEW_VISITS)
            for c in self._request_classes
        ]
        weights = [exp((min(in_time_shares) - share) / 0.05) for share in in_time_shares]
        for request_class, weight in zip(self._request_classes, weights, strict=True):
            shortfall = weight / sum(weights) * arrived / max(1.0, request_class.recent_visits)
            request_class.marginal_gain = (
                1 - self._settings.worst_prefix
            ) * request_class.gain / mean + self._settings.worst_prefix * shortfall
            request_class.recent_visits *= COUNT_KEPT_PER_S
            request_class.recent_in_time *= COUNT_KEPT_PER_S
        self._classes_by_value.sort(key=lambda c: -c.marginal_gain)

    def _update_candidates(self, now: float) -> None:
        """Update the health and share of each zone, and its upstreams in use."""
        ready = self._ready = [u for u in self._ring if u.ready]
        loads, lowest_latencies, latencies = [], [], []
        for u in ready:
            if u.load_at > -inf:
                loads.append(u.load * exp((u.load_at - now) / LOAD_DECAY_MS))
            if (lowest := min(u.lowest_latency, u.previous_lowest)) < inf:
                lowest_latencies.append(lowest)
            latencies.append(u.expected_latency(now, self._decay_ms))
        self._mean_load = sum(loads) / len(loads) if loads else 0.0
        lowest_latencies = lowest_latencies or [min(locality.lowest_latency for locality in self._localities)]
        self._base_latency = sum(lowest_latencies) / len(lowest_latencies)
        mean_latency = sum(latencies) / len(latencies) if latencies else 0.0
        healthy, totals = [0.0] * self._zone_count, [0] * self._zone_count
        reachabilities = [locality.expected_reachability(now) for locality in self._localities]
        self._trials_due = []
        by_zone: list[list[tuple[Upstream, bool]]] = [[] for _ in range(self._zone_count)]
        for u, latency in zip(ready, latencies, strict=True):
            # E3: where all are this slow the cause is load; ejecting some would make the shares oscillate
            slow = latency > SLOW_LATENCY_RATIO * min(u.lowest_latency, u.previous_lowest) and latency > max(
                self._never_slow_below, 2 * mean_latency
            )
            by_zone[u.zone].append((u, slow))
            totals[u.zone] += 1
            if u.ejected or slow:
                continue
            high_load = (
                u.load * exp((u.load_at - now) / LOAD_DECAY_MS) > HIGH_LOAD_RATIO * self._mean_load + 0.5
            )
            count = min(1.0, (now - u.slow_start_at) / SLOW_START_MS) / (
                2 if high_load or now - u.full_at < FULL_PENALTY_MS else 1
            )
            # E6: one not measured for long is as reachable as those of its zone that were
            healthy[u.zone] += count * (
                reachabilities[u.zone] if now - u.measured_at > MEASUREMENT_DECAY_MS else 1.0
            )
        own_need = (
            (self._delivery_rate or self._accepted) * self._base_latency / 1e3 / TARGET_FETCHES_PER_UPSTREAM
        )
        for locality, upstreams in zip(self._localities, by_zone, strict=True):
            # E7: of hundreds of balancers each uses the next few in the hash ring. A balancer with far more
            # traffic than others uses more: it used to overload its few.
            start, locality.candidates = int(self._ring_position * len(upstreams)), []
            locality.used_share = max(MIN_UPSTREAMS_IN_USE, self._min_used_share * len(upstreams)) / max(
                1, len(upstreams)
            )
            wanted = max(locality.used_share * len(upstreams), own_need)
            for u, slow in upstreams[start:] + upstreams[:start]:
                if len(locality.candidates) >= wanted:
                    break
                # an upstream ejected for some request class gets another one beside it
                wanted += any(now < until for until in u.class_ejected_until.values())
                if u.ejected:
                    if now >= u.trial_at:
                        self._trials_due.append(u)
                elif not slow:
                    locality.candidates.append(u)
            if not locality.samples:
                # until measured, one fetch at each from all balancers of the zone counts as usual
                locality.usual_in_flight = max(
                    1.0, len(locality.candidates) * self._zone_count / self._balancer_count
                )
        sizes = zip(self._localities, by_zone, strict=True)
        self._wanted_upstreams = sum(
            min(len(upstreams), max(locality.used_share * len(upstreams), own_need))
            for locality, upstreams in sizes
        )
        healths = [
            min(100.0, OVERPROVISIONING_FACTOR * 100 * healthy[z] / max(1, totals[z]))
            for z in self._zone_order
        ]
        self._zone_shares = zone_shares(self._zone_order, healths)

    def _send_probes(self, now: float) -> None:
        """Probe as often as the price permits; never cold upstreams: probes are work outside their budget."""
        in_use = [
            u
            for locality in self._localities
            for u in locality.candidates
            if now - u.started_at >= self._warm_up_ms
        ]
        if not in_use or self._load_index < 0:
            return
        # balancers that start together would probe together, unless probes are as rare as their visits
        max_rate = (
            PROBE_COST_SHARE / self._settings.probe_fee * self._arrival_rate
            if self._settings.probe_fee
            else inf
        )
        rate = min(max_rate, 1e3 * len(in_use) / PROBE_INTERVAL_MS)
        self._probes_due += rate * TICK_MS / 1e3
        while self._probes_due >= 1:
            self._probes_due -= 1
            u = in_use[int(self._random() * len(in_use))]
            if now - u.probed_at >= PROBE_INTERVAL_MS:
                u.probed_at = now
                self._host.send_probe(u.id)


def zone_shares(order: list[int], healths: list[float]) -> list[tuple[float, int]]:
    """Running totals of the zones' shares of 100, filled in order; empty when all health is 0."""
    total = min(100.0, sum(healths))
    filled, out = 0.0, []
    for zone, health in zip(order, healths, strict=True):
        share = min(100.0 - filled, health * 100 / total) if total else 0.0
        if share > 0:
            filled += share
            out.append((filled, zone))
    return out
