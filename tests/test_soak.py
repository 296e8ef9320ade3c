"""A short soak test: seeded random scenarios with a release and overlapping faults, on real processes."""

from __future__ import annotations

import shutil
from pathlib import Path

import msgspec
import pytest

from ospreyline.rig import soak
from ospreyline.rig.command import run_and_judge
from ospreyline.rig.run import ROOT

SEEDS = (1, 2, 3)
# the rule that blocks sends once an update is possibly lost
LOSS_RULE = "self._losses.add(lost_at, version, self._latest_call, until_answered)"


def run_seed(seed: int, out: Path, program: str = "") -> tuple[soak.Outcome, list[str]]:
    found = soak.random_scenario(seed)
    found.rig = msgspec.structs.replace(found.rig, program=program)
    reports: list[str] = []
    return soak.judge_outcome(seed, found, run_and_judge(found, seed, out, reports.append)), reports


@pytest.mark.parametrize("seed", SEEDS)
def test_a_drawn_day_keeps_all_rules(seed, tmp_path):
    outcome, reports = run_seed(seed, tmp_path)
    assert not outcome.breaches, "\n".join([str(outcome), *reports])


def test_a_text_that_takes_no_update_for_lost_is_found(tmp_path):
    shutil.copytree(
        ROOT / "ospreyline", tmp_path / "broken" / "ospreyline", ignore=shutil.ignore_patterns("__pycache__")
    )
    path = tmp_path / "broken" / "ospreyline" / "lease.py"
    text = path.read_text()
    assert text.count(LOSS_RULE) == 1
    path.write_text(text.replace(LOSS_RULE, "pass"))
    outcome, _ = run_seed(SEEDS[0], tmp_path / "out", str(tmp_path / "broken"))
    assert outcome.breaches.get("drain", 0) > 0


def test_a_seed_is_one_plan():
    plans = [msgspec.json.encode(soak.random_scenario(seed)) for seed in (7, 7, 8)]
    assert plans[0] == plans[1] != plans[2]
