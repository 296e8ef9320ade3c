"""Writes of the list service are lost in every way: random scenarios, and minimal cases."""

from __future__ import annotations

from pathlib import Path

import msgspec
import pytest

from ospreyline.rig import scenario as scenarios
from ospreyline.rig import soak
from ospreyline.rig.command import run_and_judge
from ospreyline.rig.scenario import Fault, Scenario

SEEDS = (5, 8, 20)
SECONDS = 5.0
DRAIN = Fault("shrink", 1.0, 0.0, who="u0", extra=SECONDS)  # written to watches from 1.1 s on
PROXY_FAULT = Fault("fin-for-reset", 0.0, SECONDS, link="b*>list")
ENDS_WATCHES = Fault("registry-full", 0.7, 0.15)  # the next call comes 0.25 to 0.8 s later
KILL = Fault("kill", 0.3, 0.3, who="b0")


def lost_write(
    end: str,
    *,
    arriving_bytes: int = 0,
    at: float = 0.9,
    for_s: float = 1.2,
    refuse_s: float = 2.0,
    delayed_503: bool = False,
) -> Fault:
    return Fault(f"registry-lost-{end}", at, for_s, size=arriving_bytes, extra=refuse_s, silent=delayed_503)


CASES = {
    "a watch that stands, last chunk": [DRAIN, lost_write("last-chunk")],
    "a watch that stands, closed": [DRAIN, lost_write("fin")],
    "a watch that stands, reset, a proxy on the way": [DRAIN, lost_write("reset"), PROXY_FAULT],
    "a call that waits, closed": [ENDS_WATCHES, DRAIN, lost_write("fin")],
    "a call that waits, closed behind the head": [ENDS_WATCHES, DRAIN, lost_write("fin", arriving_bytes=79)],
    "a first call, closed": [KILL, DRAIN, lost_write("fin", at=0.3, for_s=2.5)],
    "reset after an outage": [
        Fault("registry-down", 0.3, 1.5),
        DRAIN,
        lost_write("reset", at=1.3, for_s=1.5),
    ],
    "reset, the next call turned away after 2 s": [DRAIN, lost_write("reset", delayed_503=True)],
}


def short_scenario(faults: list[Fault]) -> Scenario:
    """One balancer, one draining upstream, and a list service with no faults but the given ones."""
    base = scenarios.load("soak")
    return msgspec.structs.replace(
        base,
        faults=faults,
        bank=msgspec.structs.replace(base.bank, count=1),
        registry=msgspec.structs.replace(base.registry, calls_per_s=250.0, notice_ms=(100, 100)),
        day=msgspec.structs.replace(base.day, seconds=SECONDS),
    )


def assert_no_breach(scenario: Scenario, seed: int, out: Path) -> None:
    reports: list[str] = []
    outcome = soak.judge_outcome(seed, scenario, run_and_judge(scenario, seed, out, reports.append))
    assert not outcome.breaches, "\n".join([str(outcome), *reports])


@pytest.mark.parametrize("seed", SEEDS)
def test_a_drawn_day_of_lost_writings_keeps_all_rules(seed, tmp_path):
    assert_no_breach(soak.random_loss_scenario(seed), seed, tmp_path)


@pytest.mark.parametrize("case", CASES)
def test_nothing_is_sent_past_the_grace_after_a_lost_writing(case, tmp_path):
    assert_no_breach(short_scenario(CASES[case]), 1, tmp_path)


def test_a_seed_is_one_plan():
    plans = [msgspec.json.encode(soak.random_loss_scenario(seed)) for seed in (7, 7, 8)]
    assert plans[0] == plans[1] != plans[2]
