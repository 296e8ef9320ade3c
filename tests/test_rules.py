"""The four rules of each send: no visit lost, drains respected, no effect twice, cold budgets kept."""

from __future__ import annotations

import pytest
from stand_ins import FakeHost, listed, prefix

from ospreyline.host import DedupScope, End, Kind, Readiness

READ, TAG_ALL = prefix(Kind.READ_LIKE), prefix(Kind.TAGGED)
TAG_ZONE, TAG_CELL = prefix(Kind.TAGGED, DedupScope.ZONE), prefix(Kind.TAGGED, DedupScope.CELL)
MUTATING = prefix(Kind.MUTATING)


@pytest.mark.parametrize(
    ("terms", "end", "fetches", "bounced"),
    [
        (READ, End.ERRORED, 2, False),
        (READ, End.RESET, 2, False),
        (MUTATING, End.UNREACHED, 2, False),
        (MUTATING, End.FULL, 2, False),
        (MUTATING, End.ERRORED, 1, False),
        (MUTATING, End.RESET, 1, False),
        (MUTATING, End.TIMED_OUT, 1, False),
        (TAG_ALL, End.RESET, 2, False),
    ],
)
def test_a_failed_fetch_is_followed_only_where_a_repeat_is_harmless(terms, end, fetches, bounced):
    host = FakeHost([listed(i) for i in range(4)], prefixes=(terms,))
    visit = host.take()
    host.end(visit, end)
    assert len(visit.fetches) == fetches
    assert host.answers(visit) == (fetches == 1)
    assert (visit.tag in host.bounced) is bounced


@pytest.mark.parametrize(("terms", "near"), [(TAG_ZONE, {0, 1, 2, 3}), (TAG_CELL, {0, 1})])
@pytest.mark.parametrize("seed_visits", range(6))
def test_a_tagged_visit_that_may_have_run_stays_in_its_group(terms, near, seed_visits):
    lines = [listed(i, zone=i // 4, cell=i // 2) for i in range(8)]
    host = FakeHost(lines, prefixes=(terms,))
    host.serve(seed_visits)
    visit = host.take()
    first = visit.fetches[0].upstream.id
    host.end(visit, End.RESET)
    group = near if first in near else {2, 3}
    assert {f.upstream.id for f in visit.fetches} <= group and len(visit.fetches) == 2
    while not visit.done:
        host.end(visit, End.RESET)
    assert visit.tag in host.failed and visit.tag not in host.bounced


def test_the_window_counts_from_the_first_send_that_may_have_run():
    host = FakeHost([listed(i) for i in range(4)], prefixes=(prefix(Kind.TAGGED, gain=5.0),))
    visit = host.take()
    host.end(visit, End.UNREACHED, 100)
    first = visit.fetches[1].sent_at
    visit.request_class.tag_window = 60.0
    host.end(visit, End.RESET, 70)
    assert first + 60 < host.now and len(visit.fetches) == 2 and visit.done


@pytest.mark.parametrize("ttl", [60.0, 150.0, 900.0, 2_500.0])
def test_every_visit_has_its_answer_before_its_client_leaves(ttl):
    host = FakeHost([listed(0)], prefixes=(READ, MUTATING))
    visits = [host.take(i % 2, ttl) for i in range(30)]
    taken = host.now
    while host.now < taken + ttl:
        host.pass_time(10)
        for visit in visits:
            if not visit.done and not visit.fetches:
                assert host.now < visit.client_deadline
    for visit in visits:
        if visit.in_flight:  # its time-out, cut to the client timeout, comes just in time
            host.end(visit, End.TIMED_OUT, 0)
        assert host.answers(visit) == 1
    assert len(host.sends) == sum(len(v.fetches) for v in visits)


def test_a_held_visit_behind_another_is_answered_in_time():
    # a queued visit with less time than the one before it was answered too late
    host = FakeHost([listed(0)], prefixes=(prefix(Kind.READ_LIKE, gain=3.0),))
    host.serve(30)
    host.pass_time(2_000)
    host.balancer._delivery_rate = 50.0
    visits = [host.take() for _ in range(12)] + [host.take(ttl=400.0) for _ in range(6)]
    late = [v for v in visits if v.queued and v.client_deadline - host.now <= 400]
    host.pass_time(380)
    assert all(host.answers(v) == 1 or v.fetches for v in late)


def test_no_upstream_at_all_is_a_quick_bounce_with_advice():
    host = FakeHost([], max_retry_after=2_000.0)
    visit = host.take()
    assert host.bounced[visit.tag] > 0


def test_a_client_that_leaves_ends_the_visit():
    host = FakeHost([listed(0), listed(1)])
    visit = host.take()
    visit.client_left(host.now)
    assert host.cancelled == [(visit.tag, 0)]
    host.end(visit, End.RESET)
    assert visit.settled and len(visit.fetches) == 1 and not host.answers(visit)


@pytest.mark.parametrize("how", ["draining", "gone", "missing"])
def test_nothing_goes_to_one_that_drains(how):
    host = FakeHost([listed(0), listed(1)])
    if how == "missing":
        host.balancer.apply_list(host.now, [listed(1)])
    else:
        state = Readiness.DRAINING if how == "draining" else Readiness.GONE
        host.balancer.apply_list_changes(host.now, [listed(0, readiness=state)])
    assert set(host.serve(30)) == {1}


def test_the_list_is_watched_soon_and_again_after_failures_with_growing_waits():
    host = FakeHost([listed(0)], ask_for_list=True, must_ask_in=10_000.0)
    for _ in range(400):
        host.pass_time(100)
        if host.watches and host.watches[-1] > host.now - 100:
            host.balancer.list_call_failed(host.now)
    waits = [b - a for a, b in zip(host.watches, host.watches[1:], strict=False)]
    assert host.watches[0] < 100_600 and waits[0] < 1_000
    assert 1_000 < max(waits) < 10_000  # never as long as until an update counts as received


@pytest.mark.parametrize("end", [End.DELIVERED, End.FULL])
def test_a_cold_upstream_gets_no_more_than_our_part_of_its_budget(end):
    host = FakeHost([listed(i) for i in range(3)], cold_from=0.1, overload_factor=4.0)
    host.serve(400)
    back = 0
    host.balancer.apply_list_changes(host.now, [listed(back, came_up=host.now)])
    start = host.now
    host.serve(400, lambda u: end if u == back else End.DELIVERED)
    capacity = host.balancer._localities[0].capacity  # of now; the estimate may have grown since the sends
    sends = [at for _, u, _, at in host.sends if u == back and at >= start]
    for at in sends:
        window = sum(at - 2_000 < other <= at for other in sends)
        share = 0.1 + 0.9 * (at - start) / 30_000
        assert window <= max(1, 4.0 / 3 * share * capacity * 2 + 1)


def test_one_fetch_at_a_time_and_never_more_than_allowed():
    host = FakeHost([listed(i) for i in range(9)], max_fetches=2)
    visit = host.take()
    for _ in range(2):
        host.end(visit, End.UNREACHED)
    assert len(visit.fetches) == 2 and visit.done
