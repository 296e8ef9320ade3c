"""Fetches without answer: whether the path prefix, the upstream or an idle connection is the cause."""

from __future__ import annotations

from dataclasses import replace

import pytest
from stand_ins import FakeHost, listed, prefix

from ospreyline.decide import BALANCERS_PER_HINT, EJECTION_MS, IDLE_TIMEOUT_HINT
from ospreyline.host import End, Kind

TWO_PREFIXES = (prefix(Kind.READ_LIKE), prefix(Kind.MUTATING))
WITH_LATE_GAIN = tuple(
    type(p)(p.kind, p.scope, p.window, p.target_latency, p.client_timeout, p.gain, 0.3) for p in TWO_PREFIXES
)


def warm(upstreams: int = 4, **terms: object) -> FakeHost:
    host = FakeHost([listed(i) for i in range(upstreams)], **{"prefixes": WITH_LATE_GAIN, **terms})
    for _ in range(60):
        for lane in (0, 1):
            host.serve(1, lane=lane)
    return host


def leave_unanswered(host: FakeHost, upstream: int, lane: int) -> None:
    """One visit of the path prefix gets no answer of the upstream, while others are served."""
    while True:
        visit = host.take(lane)
        if visit.fetches and visit.fetches[0].upstream.id == upstream:
            break
        host.end(visit, End.DELIVERED)
    for _ in range(30):
        host.serve(1, lane=1 - lane)
    visit.fetch_ended(host.now, 0, End.TIMED_OUT, host.now - visit.arrived_at, False, ())


def test_an_upstream_that_leaves_one_prefix_unanswered_still_serves_the_others():
    # class_fail days: half of the upstreams looked slow for all path prefixes; 4 in 10 visits were bounced
    host = warm()
    leave_unanswered(host, 2, 1)
    before = len(host.sends)
    host.serve(30, lane=1)
    assert 2 not in {u for _, u, _, _ in host.sends[before:]}
    assert not host.balancer._upstreams[2].ejected and 2 in host.serve(60, lane=0)


def test_a_prefix_that_was_unanswered_is_tried_again_once_after_the_hold_down():
    host = warm()
    leave_unanswered(host, 2, 1)
    host.pass_time(EJECTION_MS)
    tried = [host.take(1) for _ in range(12)]
    assert [v.fetches[0].upstream.id for v in tried if v.fetches].count(2) == 1


def test_a_silent_fetch_holds_no_room_where_others_are_answered():
    host = warm(1)
    visit = host.take(1)
    for _ in range(30):
        host.serve(1, lane=0)
    u = host.balancer._upstreams[0]
    assert not visit.done and not u.in_flight and u.locality.in_flight == 0
    visit.fetch_ended(host.now, 0, End.TIMED_OUT, 2_500.0, False, ())
    assert u.locality.in_flight == 0


def test_slow_upstreams_that_answer_in_order_are_not_silent():
    # incident i16ab9b: all upstreams were slow, late fetches no longer counted as load, and more were sent
    host = warm(1)
    visits = [host.take(1) for _ in range(3)]
    host.pass_time(1_600)
    u = host.balancer._upstreams[0]
    assert len(u.in_flight) == sum(bool(v.fetches) for v in visits) > 0 and not u.class_ejected_until


def serve_after_idle(host: FakeHost, lanes: tuple[int, ...], silent: bool, idle_ms: float = 3_000.0) -> None:
    """Visits on idle connections; if `silent` they time out, and the next, on a new one, is answered."""
    for lane in lanes:
        idle_all(host, idle_ms)
        visit = host.take(lane)
        host.end(visit, End.TIMED_OUT if silent else End.DELIVERED, 2_400.0 if silent else 50.0)
        while visit.in_flight:
            host.end(visit, End.DELIVERED)


def idle_all(host: FakeHost, idle_ms: float) -> None:
    for u in host.balancer._upstreams.values():
        u.connection_used_at = host.now
    host.pass_time(idle_ms)


def replaces_idle(host: FakeHost, idle_ms: float) -> bool:
    idle_all(host, idle_ms)
    before = len(host.dropped)
    host.serve(1)
    return len(host.dropped) > before


def test_connections_that_rested_as_long_as_silent_ones_are_replaced():
    # idle_reap days: a request on a connection that was dropped unseen while idle gets no answer
    host = warm()
    assert not replaces_idle(host, 3_000)
    host = warm()
    serve_after_idle(host, (0,), silent=True)
    assert replaces_idle(host, 2_900) and not replaces_idle(host, 500)


def test_silence_after_short_rests_is_no_fault_of_the_connection():
    # class_fail days: connections were replaced although the upstreams were unresponsive
    host = warm(8)
    host.balancer._recent_fetches.clear()
    serve_after_idle(host, (0,) * 9, silent=False, idle_ms=300.0)
    serve_after_idle(host, (1, 1, 1), silent=True, idle_ms=300.0)
    serve_after_idle(host, (0,), silent=False)
    serve_after_idle(host, (1,), silent=True)
    assert not replaces_idle(host, 2_900)


def test_where_late_answers_have_no_gain_a_time_out_tells_slowness_however_late_it_is_told():
    # timers fire some milliseconds late, and lost answers made their path prefix avoid the upstream
    host = warm(prefixes=TWO_PREFIXES)
    visit = host.take(1)
    host.pass_time(1_010)
    visit.fetch_ended(host.now, 0, End.TIMED_OUT, 1_010.0, False, ())
    assert not visit.fetches[0].unresponsive and not visit.fetches[0].upstream.class_ejected_until


@pytest.mark.parametrize(("lanes", "told"), [((0, 1, 0, 1), True), ((1, 1, 1, 1), False)])
def test_a_rest_is_told_where_several_prefixes_met_it(lanes, told):
    host = warm(8, may_tell=True)
    idle_all(host, 3_000)
    visits = [host.take(lane) for lane in lanes]
    host.pass_time(2_400)
    for visit in visits:
        visit.fetch_ended(host.now, 0, End.TIMED_OUT, 2_400.0, False, ())
    assert bool(host.told) is told


@pytest.mark.parametrize("enough", [True, False])
def test_others_hints_count_when_as_many_agree(enough):
    host = warm()
    host.balancer.apply_settings(
        host.now, replace(host.balancer._settings, may_tell=True, balancers=3 * BALANCERS_PER_HINT)
    )
    for _ in range(5 if enough else 4):
        host.balancer.receive_hint(host.now, IDLE_TIMEOUT_HINT.pack(1_500))
    host.balancer.receive_hint(host.now, b"odd")
    assert replaces_idle(host, 2_000) is enough and not replaces_idle(host, 500)


def test_at_the_start_a_visit_waits_for_what_is_out():
    # 3 to 5% bounced in the first seconds, as nothing had been delivered yet
    host = FakeHost([listed(0)])
    while not (visit := host.take()).queued and not visit.done:
        pass
    assert visit.queued and visit.tag not in host.bounced
