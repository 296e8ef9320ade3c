"""Fetches without answer: the path prefix's, the upstream's, or the connection's fault."""

from __future__ import annotations

from dataclasses import replace

import pytest
from stand_ins import FakeHost, listed, prefix

from ospreyline.decide import BALANCERS_PER_HINT, EJECTION_MS, IDLE_TIMEOUT_HINT
from ospreyline.host import End, Kind

TWO = (prefix(Kind.READ_LIKE), prefix(Kind.MUTATING))
LATE = tuple(type(p)(p.kind, p.scope, p.window, p.target_latency, p.client_timeout, p.gain, 0.3) for p in TWO)


def warm(upstreams: int = 4, **terms: object) -> FakeHost:
    host = FakeHost([listed(i) for i in range(upstreams)], **{"prefixes": LATE, **terms})
    for _ in range(60):
        for lane in (0, 1):
            host.serve(1, lane=lane)
    return host


def leave(host: FakeHost, upstream: int, lane: int) -> None:
    """One visit of the lane meets the upstream and gets no answer, while others go on."""
    while True:
        visit = host.take(lane)
        if visit.fetches and visit.fetches[0].upstream.id == upstream:
            break
        host.end(visit, End.DELIVERED)
    for _ in range(30):
        host.serve(1, lane=1 - lane)
    visit.ended(host.now, 0, End.TIMED_OUT, host.now - visit.came, False, ())


def test_an_upstream_that_leaves_one_prefix_unanswered_still_serves_the_others():
    # met on class_fail days: half of the upstreams looked slow to all, and four in ten visits were bounced
    host = warm()
    leave(host, 2, 1)
    before = len(host.sends)
    host.serve(30, lane=1)
    assert 2 not in {u for _, u, _, _ in host.sends[before:]}
    assert not host.balancer._upstreams[2].ejected and 2 in host.serve(60, lane=0)


def test_a_prefix_that_was_unanswered_is_tried_again_once_after_the_hold_down():
    host = warm()
    leave(host, 2, 1)
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
    visit.ended(host.now, 0, End.TIMED_OUT, 2_500.0, False, ())
    assert u.locality.in_flight == 0


def test_slow_upstreams_that_answer_in_order_are_not_silent():
    # met on incident i16ab9b: all were slow, what was late gave up its room, and more was sent
    host = warm(1)
    visits = [host.take(1) for _ in range(3)]
    host.pass_time(1_600)
    u = host.balancer._upstreams[0]
    assert len(u.in_flight) == sum(bool(v.fetches) for v in visits) > 0 and not u.class_ejected_until


def rested(host: FakeHost, lanes: tuple[int, ...], silent: bool, rest: float = 3_000.0) -> None:
    """Visits on connections that rested; silent ones time out, and the next on a new one is answered."""
    for lane in lanes:
        rest_all(host, rest)
        visit = host.take(lane)
        host.end(visit, End.TIMED_OUT if silent else End.DELIVERED, 2_400.0 if silent else 50.0)
        while visit.out:
            host.end(visit, End.DELIVERED)


def rest_all(host: FakeHost, rest: float) -> None:
    for u in host.balancer._upstreams.values():
        u.connection_used_at = host.now
    host.pass_time(rest)


def drops(host: FakeHost, rest: float) -> bool:
    rest_all(host, rest)
    before = len(host.dropped)
    host.serve(1)
    return len(host.dropped) > before


def test_connections_that_rested_as_long_as_silent_ones_are_replaced():
    # met on idle_reap days: what is sent on a connection that was dropped unseen gets no answer
    host = warm()
    assert not drops(host, 3_000)
    host = warm()
    rested(host, (0,), silent=True)
    assert drops(host, 2_900) and not drops(host, 500)


def test_silence_after_short_rests_is_no_fault_of_the_connection():
    # met on class_fail days: connections were renewed though upstreams were silent
    host = warm(8)
    host.balancer._recent_fetches.clear()
    rested(host, (0,) * 9, silent=False, rest=300.0)
    rested(host, (1, 1, 1), silent=True, rest=300.0)
    rested(host, (0,), silent=False)
    rested(host, (1,), silent=True)
    assert not drops(host, 2_900)


def test_where_late_answers_have_no_gain_a_time_out_tells_slowness_however_late_it_is_told():
    # met on sockets: timers come some milliseconds late, and lost answers had their prefix sent elsewhere
    host = warm(prefixes=TWO)
    visit = host.take(1)
    host.pass_time(1_010)
    visit.ended(host.now, 0, End.TIMED_OUT, 1_010.0, False, ())
    assert not visit.fetches[0].silent and not visit.fetches[0].upstream.class_ejected_until


@pytest.mark.parametrize(("lanes", "told"), [((0, 1, 0, 1), True), ((1, 1, 1, 1), False)])
def test_a_rest_is_told_where_several_prefixes_met_it(lanes, told):
    host = warm(8, may_tell=True)
    rest_all(host, 3_000)
    visits = [host.take(lane) for lane in lanes]
    host.pass_time(2_400)
    for visit in visits:
        visit.ended(host.now, 0, End.TIMED_OUT, 2_400.0, False, ())
    assert bool(host.told) is told


@pytest.mark.parametrize("enough", [True, False])
def test_others_hints_count_when_as_many_agree(enough):
    host = warm()
    host.balancer.set_terms(
        host.now, replace(host.balancer._settings, may_tell=True, balancers=3 * BALANCERS_PER_HINT)
    )
    for _ in range(5 if enough else 4):
        host.balancer.heard(host.now, IDLE_TIMEOUT_HINT.pack(1_500))
    host.balancer.heard(host.now, b"odd")
    assert drops(host, 2_000) is enough and not drops(host, 500)


def test_at_the_start_a_visit_waits_for_what_is_out():
    # met on all days: 3 to 5% bounced in the first seconds, as nothing had been delivered yet
    host = FakeHost([listed(0)])
    while not (visit := host.take()).held and not visit.done:
        pass
    assert visit.held and visit.tag not in host.bounced
