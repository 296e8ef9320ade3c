"""The choice of an upstream as the design page has it, and the failures behind its exceptions."""

from __future__ import annotations

from collections import Counter

import pytest
from stand_ins import FakeHost, listed, prefix

from ospreyline.decide import EJECTION_MS, OVERPROVISIONING_FACTOR, zone_shares
from ospreyline.host import End, Kind


@pytest.mark.parametrize(
    ("healthy", "expected"),
    [
        # the table of the page that the rule is from, with one priority per zone
        ([100, 100], [100, 0]),
        ([72, 100], [100, 0]),
        ([71, 100], [99, 1]),
        ([50, 50], [70, 30]),
        ([20, 20], [50, 50]),
        ([0, 100], [0, 100]),
        ([0, 72], [0, 100]),
        ([20, 20, 10, 25, 25], [28, 28, 14, 30, 0]),
        ([0, 0], [0, 0]),
    ],
)
def test_shares_fill_in_order(healthy, expected):
    totals = zone_shares(
        list(range(len(healthy))), [min(100.0, OVERPROVISIONING_FACTOR * h) for h in healthy]
    )
    got, before = [0.0] * len(healthy), 0.0
    for total, zone in totals:
        got[zone], before = total - before, total
    assert got == pytest.approx(expected, abs=0.7)


def test_own_zone_first_and_the_less_loaded_of_two():
    host = FakeHost([listed(i, zone=i % 3) for i in range(9)], cross_fee=0.5)
    visits = [host.take() for _ in range(6)]
    assert Counter(v.fetches[0].upstream.id for v in visits) == {0: 2, 3: 2, 6: 2}


@pytest.mark.parametrize("kind", [Kind.READ_LIKE, Kind.MUTATING])
@pytest.mark.parametrize("end", [End.ERRORED, End.UNREACHED, End.RESET])
def test_a_run_of_failures_ejects_and_one_trial_brings_back(end, kind):
    host = FakeHost([listed(i) for i in range(4)], prefixes=(prefix(kind),))
    for _ in range(40):
        host.serve(1, lambda u: end if u == 2 else End.DELIVERED)
        if host.balancer._upstreams[2].ejected:
            break
    assert 2 not in host.serve(50)
    host.pass_time(EJECTION_MS)
    trials = [host.take() for _ in range(3)]
    assert [v.fetches[0].upstream.id for v in trials].count(2) == 1
    for visit in trials:
        host.end(visit, End.DELIVERED)
    host.pass_time(5_000)
    assert 2 in host.serve(100)


def test_full_answers_do_not_eject():
    host = FakeHost([listed(i) for i in range(3)])
    host.serve(100, lambda u: End.FULL if u == 1 else End.DELIVERED)
    assert not host.balancer._upstreams[1].ejected


def test_with_all_health_gone_all_ready_ones_are_drawn():
    host = FakeHost([listed(i, zone=i) for i in range(3)])
    for u in host.balancer._upstreams.values():
        u.ejected, u.trial_at = True, host.now + 1e9
    host.pass_time(100)
    visits = [host.take() for _ in range(9)]
    assert {v.fetches[0].upstream.id for v in visits} == {0, 1, 2}


def test_a_slow_upstream_is_measured_again_and_not_locked_out():
    # an upstream that was slow once got no visits, so it was never measured again and stayed slow for us
    host = FakeHost([listed(0), listed(1)])
    slow = host.balancer._upstreams[0]
    host.serve(40)
    slow.latency = 5_000.0
    host.pass_time(8_000)
    assert 0 in host.serve(40)


def test_a_stuck_upstream_shows_by_the_age_of_what_it_holds():
    host = FakeHost([listed(0), listed(1)], prefixes=(prefix(Kind.MUTATING),))
    host.serve(40)
    stuck = host.balancer._upstreams[0]
    while (visit := host.take()).fetches[0].upstream is not stuck:
        host.end(visit, End.DELIVERED)
    before = stuck.latency
    host.pass_time(900)
    assert stuck.latency > 2 * before


def test_one_that_errors_fast_does_not_look_idle():
    host = FakeHost([listed(0), listed(1)])
    calls = iter(range(10_000))
    ends = {0: lambda: End.ERRORED if next(calls) % 3 else End.DELIVERED}
    host.serve(300, lambda u: ends.get(u, lambda: End.DELIVERED)())
    bad, good = host.balancer._upstreams[0], host.balancer._upstreams[1]
    assert bad.ejected or bad.latency > 3 * good.latency


def test_a_level_without_room_passes_visits_on_while_crossing_pays():
    low_fee, high_fee = (
        FakeHost([listed(0), listed(1, zone=1)], cross_fee=0.1),
        FakeHost([listed(0), listed(1, zone=1)], cross_fee=2.0),
    )
    for host in (low_fee, high_fee):
        host.serve(30)
        for _ in range(25):
            host.take()
    assert any(u == 1 for _, u, _, _ in low_fee.sends)
    assert not any(u == 1 for _, u, _, _ in high_fee.sends)


def test_little_gain_yields_first_when_room_is_short():
    prefixes = (prefix(Kind.MUTATING, gain=1.0), prefix(Kind.MUTATING, gain=9.0))
    host = FakeHost([listed(0), listed(1)], prefixes=prefixes)
    sent = [0, 0]
    for _ in range(60):
        for lane in (0, 1):
            visit = host.take(lane)
            sent[lane] += bool(visit.fetches)
        if host.sends and len(host.sends) % 3 == 0:
            host.pass_time(5)
    assert sent[1] > sent[0]


def test_a_crowd_of_balancers_does_not_flood_an_unknown_fleet():
    # after a start the short answers come first: everything looked fast, and all upstreams were overloaded
    host = FakeHost([listed(i) for i in range(4)], balancers=12)
    for _ in range(200):
        host.take()
    assert len(host.sends) <= 4 * 6


def test_the_same_events_lead_to_the_same_sends():
    runs = []
    for _ in range(2):
        host = FakeHost([listed(i, zone=i % 3) for i in range(9)])
        host.serve(200, lambda u: End.RESET if u == 3 else End.DELIVERED)
        runs.append(host.sends)
    assert runs[0] == runs[1]


def test_a_fetch_ends_at_the_target_latency_where_a_late_answer_has_no_gain():
    # in overload long visits kept upstreams busy for seconds after their gain was gone
    host = FakeHost([listed(0)], prefixes=(prefix(Kind.MUTATING),))
    visit = host.take()
    assert host.sends[0][2] <= visit.request_class.target_latency < visit.client_deadline - host.now


def test_room_is_not_offered_to_a_held_visit_that_is_past_its_time():
    # between two checks of the queue the oldest visit got the free capacity, and its answer came too late
    host = FakeHost([listed(0)])
    host.serve(30)
    host.balancer._delivery_rate = 50.0
    out = []
    while not (first := host.take()).queued:
        out.append(first)
    second = host.take()
    assert second.queued and not host.answers(first)
    # capacity is free before the next check: the deadline of the first is over, that of the second is not
    first.target_deadline -= 1_000.0
    for visit in out:
        visit.fetch_ended(host.now, 0, End.DELIVERED, 50.0, True, ())
    assert host.answers(first) == 1 and not first.fetches
    assert second.fetches


def test_a_client_with_little_patience_is_not_taken_for_a_repeat():
    # its fetches were ended after some milliseconds
    host = FakeHost([listed(0), listed(1)])
    host.serve(20)
    visit = host.take(ttl=1_600.0)
    assert visit.target_deadline - host.now == visit.request_class.target_latency
    assert host.sends[-1][2] > 0.5 * visit.request_class.target_latency


@pytest.mark.parametrize("overlapping", [True, False])
def test_one_pause_that_several_visits_meet_is_one_failure(overlapping):
    # most of a fleet was ejected, as each time-out of one overloaded moment counted
    host = FakeHost([listed(0)])
    host.serve(20)
    for _ in range(1 if overlapping else 6):
        visits = [host.take() for _ in range(6 if overlapping else 1)]
        host.pass_time(990.0)
        for visit in visits:
            while visit.in_flight:
                host.end(visit, End.TIMED_OUT, 0.0)
        host.pass_time(3_000.0)
    assert host.balancer._upstreams[0].ejected is not overlapping


@pytest.mark.parametrize(("end", "fetches"), [(End.ERRORED, 2), (End.RESET, 2), (End.TIMED_OUT, 1)])
def test_in_overload_what_came_spoilt_is_repeated_and_what_was_slow_is_not(end, fetches):
    # with invalid answers at three quarters of the load, capacity is always short somewhere
    host = FakeHost([listed(0), listed(1)])
    host.serve(20)
    visit = host.take()
    host.balancer._capacity_short_at = host.now
    host.end(visit, end)
    assert len(visit.fetches) == fetches and host.answers(visit) == (fetches == 1)


def test_a_path_prefix_of_heavy_visits_is_the_first_to_cross():
    # a third of the visits of the highest gain timed out in the own zone, one in fifty elsewhere
    light, heavy = prefix(Kind.READ_LIKE), prefix(Kind.READ_LIKE)
    host = FakeHost(
        [listed(i, zone=i // 2) for i in range(4)],
        zones=2,
        balancers=1,
        prefixes=(light, heavy),
        cross_fee=0.1,
    )
    for _ in range(200):
        for lane, spent in ((0, 100.0), (1, 400.0)):
            visit = host.take(lane)
            host.end(visit, End.DELIVERED, spent)
    relative = [lane.relative_latency for lane in host.balancer._request_classes]
    assert relative[1] > 2 * relative[0]
    home = next(u for u in host.balancer._ready if u.zone == 0)
    losses = []
    for lane in range(2):
        visit = host.take(lane)
        losses.append(host.balancer._expected_loss(visit, home, host.now))
        host.end(visit, End.DELIVERED)
    assert losses[1] > 2 * losses[0]
