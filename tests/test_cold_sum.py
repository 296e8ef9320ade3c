"""Sends to a cold upstream: what counts against one balancer's share of the budget, and the sum over all."""

from __future__ import annotations

import pytest
from stand_ins import FakeHost, listed, prefix

from ospreyline.decide import Visit
from ospreyline.host import End, Kind, Readiness
from ospreyline.lab import cold
from ospreyline.rig import scenario
from ospreyline.rig.command import run_and_judge

TERMS = {"cold_from": 0.5, "overload_factor": 4.0, "tip_after": 2_000.0, "warm_within": 60_000.0}


def cold_host(count: int = 1, start: float = 100_000.0, **terms: object) -> FakeHost:
    """A host whose upstreams have just started, with a budget of four sends to each."""
    host = FakeHost([listed(i, came_up=start - 1_000) for i in range(count)], start, **TERMS | terms)
    set_budget(host)
    return host


def set_budget(host: FakeHost, budget: float = 4.0) -> None:
    """Set the estimated capacities so that a half-warm upstream may be sent so many in a window."""
    balancer = host.balancer
    for level in balancer._localities:
        level.capacity = budget / balancer._cold_sends_per_capacity / 0.5


def send_many(host: FakeHost, upstream: int = 0, tries: int = 30) -> int:
    """How many of so many simultaneous visits the rules let through to an upstream."""
    balancer = host.balancer
    u, lane = balancer._upstreams[upstream], balancer._request_classes[0]
    return sum(
        balancer._send(Visit(balancer, -1 - i, lane, host.now, 2_500.0, False), u, host.now)
        for i in range(tries)
    )


def most_in_a_window(host: FakeHost, upstream: int = 0, span: float = 2_000.0) -> int:
    """The most sends to an upstream in any window of `span` ms."""
    sends = [at for _, u, _, at in host.sends if u == upstream]
    return max((sum(at - span < other <= at for other in sends) for at in sends), default=0)


def test_trials_count_against_the_part():
    host = cold_host()
    u = host.balancer._upstreams[0]
    spent = send_many(host)
    u.ejected, u.trial_at, host.balancer._trials_due = True, host.now, [u]
    for _ in range(10):
        visit = host.take()
        assert not visit.fetches and not u.trial_in_flight
        host.pass_time(10)
        u.trial_at, host.balancer._trials_due = host.now, [u]
    assert spent in (4, 5) and most_in_a_window(host) == spent


def test_a_trial_within_the_part_is_one_of_it():
    host = cold_host()
    u = host.balancer._upstreams[0]
    u.ejected, u.trial_at, host.balancer._trials_due = True, host.now, [u]
    visit = host.take()
    assert visit.fetches[0].is_trial and len(u.cold_sends) == 1


def test_the_last_resort_counts_against_the_part():
    host = cold_host(3)
    balancer = host.balancer
    for u in balancer._upstreams.values():
        u.ejected, u.trial_at = True, host.now + 1e9
    balancer._update_candidates(host.now)
    assert not balancer._zone_shares
    for _ in range(60):
        set_budget(host)
        host.take()
        host.pass_time(20)
    assert host.sends and all(0 < most_in_a_window(host, u) <= 5 for u in range(3))


def test_no_probe_goes_to_a_cold_upstream():
    lines = [listed(0, came_up=99_000.0), listed(1)]
    host = FakeHost(lines, may_probe=True, report_fields=("queue",), **TERMS)
    for _ in range(40):
        host.serve(1)
        host.pass_time(500)
    assert host.now < 99_000 + 60_000 and set(host.probes) == {1}
    host.pass_time(60_000)
    assert set(host.probes) == {0, 1}


@pytest.mark.parametrize("told", ["again", "whole"])
def test_a_start_that_lies_ahead_gives_its_part_once_a_window(told):
    # clocks differ a little, and a list that is received again names the same start
    host = cold_host()
    line = listed(0, came_up=host.now + 1_500)
    host.balancer.apply_list_changes(host.now, [line])
    sent = 0
    for _ in range(15):
        sent += send_many(host)
        host.pass_time(100)
        set_budget(host)
        if told == "whole":
            host.balancer.apply_list(host.now, [line])
        else:
            host.balancer.apply_list_changes(host.now, [line])
    assert host.balancer._upstreams[0].started_at == 100_000.0
    assert 4 <= sent <= 5 and most_in_a_window(host) == sent


@pytest.mark.parametrize("away", [Readiness.DRAINING, Readiness.GONE])
@pytest.mark.parametrize("newer", [0.0, 400.0])
def test_one_that_is_away_and_back_within_a_window_gets_no_second_part(away, newer):
    host = cold_host()
    was = listed(0, came_up=99_000.0, readiness=away)
    sent = send_many(host)
    for _ in range(4):
        host.balancer.apply_list_changes(host.now, [was])
        host.pass_time(100)
        set_budget(host)
        host.balancer.apply_list_changes(host.now, [listed(0, came_up=99_000.0 + newer)])
        sent += send_many(host)
    assert 4 <= sent <= 5 and most_in_a_window(host) == sent


@pytest.mark.parametrize(("came_up", "cold"), [(99_000.0, True), (10_000.0, False), (0.0, False)])
def test_one_that_is_back_is_as_old_as_the_list_says(came_up, cold):
    # the list has each start of a process; 0 means long ago, whatever happened to the machine
    host = FakeHost([listed(0, came_up=came_up)], **TERMS)
    host.balancer.apply_list_changes(host.now, [listed(0, came_up=came_up, readiness=Readiness.GONE)])
    host.pass_time(500)
    host.balancer.apply_list_changes(host.now, [listed(0, came_up=came_up)])
    set_budget(host)
    assert send_many(host) in ((4, 5) if cold else (30,))


def test_one_that_was_forgotten_and_is_named_again_is_as_old_as_the_list_says():
    host = cold_host(2)
    send_many(host)
    host.balancer.apply_list_changes(host.now, [listed(0, came_up=99_000.0, readiness=Readiness.GONE)])
    host.pass_time(50_000)
    host.balancer.remove_upstream(0)
    host.balancer.apply_list_changes(host.now, [listed(0, came_up=99_000.0)])
    u = host.balancer._upstreams[0]
    assert u.started_at == 99_000.0 and host.balancer._warmth(u, host.now) == pytest.approx(
        0.5 + 0.5 * 51 / 60
    )
    set_budget(host)
    assert 4 <= send_many(host) <= 8


def test_a_start_before_our_clocks_zero_is_a_start():
    # our clock counts from the start of our machine, which may be later than that of an upstream
    host = FakeHost([listed(0, came_up=-5_000.0)], start=8_000.0, **TERMS)
    set_budget(host)
    assert host.balancer._upstreams[0].started_at == -5_000.0 and send_many(host) in (4, 5)


@pytest.mark.parametrize("end", [End.FULL, End.UNSENT, End.UNREACHED, End.ERRORED])
def test_what_was_sent_counts_however_it_ends(end):
    host = cold_host(prefixes=(prefix(Kind.READ_LIKE),))
    for _ in range(40):
        set_budget(host)
        visit = host.take()
        if visit.in_flight:
            host.end(visit, end, 10.0)
    assert host.sends and most_in_a_window(host) <= 5


# -- the sum over all balancers; `ospreyline lab cold` runs fifty draws, in more sizes --------------------


@pytest.mark.parametrize("shape", cold.SHAPES)
@pytest.mark.parametrize("balancers", [3, 10, 20, 30])
def test_all_balancers_together_keep_to_the_budget_and_its_chance(shape, balancers):
    rows = [cold.row(shape, balancers, budget, 2) for budget in (1.0, 10.0, 100.0)]
    assert not any(row.broken for row in rows), [row.line() for row in rows]
    assert all(draw.windows for draw in rows[-1].draws)


@pytest.mark.parametrize("shape", ["even", "skewed", "fresh", "uneven"])
def test_hundreds_of_balancers_together_keep_to_the_budget_and_its_chance(shape):
    assert not any(cold.count(shape, 200, budget, 1).broken for budget in (2.0, 50.0))


@pytest.mark.parametrize(
    ("part", "shape", "balancers", "budget"),
    [("means", "moving", 3, 100.0), ("means", "moving", 20, 100.0), ("chance", "even", 200, 10.0)],
)
def test_without_a_part_of_the_rule_the_sum_is_over_it(part, shape, balancers, budget):
    assert any(cold.count(shape, balancers, budget, seed, part).broken for seed in range(4))


@pytest.mark.parametrize(
    ("balancers", "budget", "least"), [(3, 10.0, 0.6), (20, 10.0, 0.35), (20, 100.0, 0.6)]
)
def test_what_the_rule_gives_is_used(balancers, budget, least):
    used = [cold.count("even", balancers, budget, seed).used for seed in range(5)]
    assert sum(used) / len(used) >= least, used


@pytest.mark.parametrize(("balancers", "budget"), [(4, 1.0), (5, 10.0), (50, 10.0), (50, 100.0)])
def test_draws_that_are_won_early_and_used_late_keep_to_the_budget_and_its_chance(balancers, budget):
    # all draw their budget while visits go elsewhere, send at the end of the window and again in the next
    hosts = [
        FakeHost(
            [listed(0, came_up=100_000.0)], seed=seed, balancers=8 * balancers, **TERMS | {"cold_from": 1.0}
        )
        for seed in range(balancers)
    ]
    sends: list[float] = []
    for step in range(400):
        sending = 34 < step % 80 <= 44
        for host in hosts:
            set_budget(host, 0.8 * budget / balancers / 2)  # fully warm from its start
            before = len(host.sends)
            if sending:
                send_many(host, tries=9)
            else:
                balancer = host.balancer
                visit = Visit(balancer, -1, balancer._request_classes[0], host.now, 2_500.0, False)
                balancer._may_send(visit, balancer._upstreams[0], host.now)
            sends += [host.now] * (len(host.sends) - before)
            host.now += 50.0
    windows = [sum(at - 2_000 < other <= at for other in sends) for at in sorted(set(sends))]
    assert 0 < max(windows) <= budget + 2 * budget**0.5 + 2


def test_three_processes_keep_to_the_budget_of_upstreams_that_return_cold(tmp_path):
    load = {"name": "read", "work_ms": 20.0, "target_ms": 400.0, "timeout_ms": 1_500.0}
    tree = {
        "name": "cold",
        "day": {"seconds": 5.0},
        "bank": {"count": 3, "skew": 1.0},
        "zones": {"names": ["a", "b"]},
        "servers": [{"count": 6, "cores": 1, "slots_per_core": 6, "cold_from": 0.15, "warm_ms": 8_000.0}],
        "registry": {
            "mode": "ask",
            "calls_per_s": 250.0,
            "notice_ms": [50.0, 100.0],
            "silent_ms": [100.0, 200.0],
            "period_ms": 25.0,
        },
        "load": {"rate": 110.0},
        "clients": {"retries": 2, "patience": 0.7},
        "prefixes": [load],
        "rules": {"overload_factor": 2.5, "tip_ms": 1_000.0, "slack_ms": 150.0},
        "faults": [
            {"kind": "crash", "part": 0.4, "at_s": 1.0, "for_s": 0.3},
            {"kind": "burst", "size": 2.0, "at_s": 1.2, "for_s": 3.0, "extra": 0.3},
        ],
        "rig": {"relay_processes": 1, "upstream_processes": 1},
    }
    said: list[str] = []
    figures = run_and_judge(scenario.build(tree), 1, tmp_path, said.append)
    assert figures["wanted"] > 300 and not figures["breaches"]["cold"], said
    assert 0 < figures["pushed"] < 1, said
