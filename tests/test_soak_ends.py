"""Writings of the list service are lost under every kind of end: drawn days, and the shortest stories."""

from __future__ import annotations

from pathlib import Path

import msgspec
import pytest

from ospreyline.rig import scenario as scenarios
from ospreyline.rig import soak
from ospreyline.rig.command import played
from ospreyline.rig.scenario import Fault, Scenario

SEEDS = (5, 8, 20)
SECONDS = 5.0
DRAIN = Fault("shrink", 1.0, 0.0, who="u0", extra=SECONDS)  # told from 1.1 s on
PROXY = Fault("fin-for-reset", 0.0, SECONDS, link="b*>list")
ENDS_WATCHES = Fault("registry-full", 0.7, 0.15)  # the next call comes 0.25 to 0.8 s later
KILL = Fault("kill", 0.3, 0.3, who="b0")


def lost(
    end: str,
    *,
    arrives: int = 0,
    at: float = 0.9,
    for_s: float = 1.2,
    away: float = 2.0,
    after_2_s: bool = False,
) -> Fault:
    return Fault(f"registry-lost-{end}", at, for_s, size=arrives, extra=away, silent=after_2_s)


STORIES = {
    "a watch that stands, last chunk": [DRAIN, lost("last-chunk")],
    "a watch that stands, closed": [DRAIN, lost("fin")],
    "a watch that stands, reset, a proxy on the way": [DRAIN, lost("reset"), PROXY],
    "a call that waits, closed": [ENDS_WATCHES, DRAIN, lost("fin")],
    "a call that waits, closed behind the head": [ENDS_WATCHES, DRAIN, lost("fin", arrives=79)],
    "a first call, closed": [KILL, DRAIN, lost("fin", at=0.3, for_s=2.5)],
    "reset after an outage": [Fault("registry-down", 0.3, 1.5), DRAIN, lost("reset", at=1.3, for_s=1.5)],
    "reset, the next call turned away after 2 s": [DRAIN, lost("reset", after_2_s=True)],
}


def short(faults: list[Fault]) -> Scenario:
    """One balancer, one server that drains, an undisturbed list service but for the faults."""
    base = scenarios.load("soak")
    return msgspec.structs.replace(
        base,
        faults=faults,
        bank=msgspec.structs.replace(base.bank, count=1),
        registry=msgspec.structs.replace(base.registry, calls_per_s=250.0, notice_ms=(100, 100)),
        day=msgspec.structs.replace(base.day, seconds=SECONDS),
    )


def keeps_all_rules(found: Scenario, seed: int, out: Path) -> None:
    said: list[str] = []
    outcome = soak.outcome(seed, found, played(found, seed, out, said.append))
    assert not outcome.breaches, "\n".join([str(outcome), *said])


@pytest.mark.parametrize("seed", SEEDS)
def test_a_drawn_day_of_lost_writings_keeps_all_rules(seed, tmp_path):
    keeps_all_rules(soak.planned_ends(seed), seed, tmp_path)


@pytest.mark.parametrize("story", STORIES)
def test_nothing_is_sent_past_the_grace_after_a_lost_writing(story, tmp_path):
    keeps_all_rules(short(STORIES[story]), 1, tmp_path)


def test_a_seed_is_one_plan():
    plans = [msgspec.json.encode(soak.planned_ends(seed)) for seed in (7, 7, 8)]
    assert plans[0] == plans[1] != plans[2]
