"""The soak, short and seeded: drawn days with a release and faults that overlap, over real processes."""

from __future__ import annotations

import shutil
from pathlib import Path

import msgspec
import pytest

from ospreyline.rig import soak
from ospreyline.rig.command import played
from ospreyline.rig.run import ROOT

SEEDS = (1, 2, 3)
# what keeps requests back once an update may be lost
GUARD = "self._losses.add(self._arriving.pop(call, now), version, self._latest_call)"


def day(seed: int, out: Path, program: str = "") -> tuple[soak.Outcome, list[str]]:
    found = soak.planned(seed)
    found.rig = msgspec.structs.replace(found.rig, program=program)
    said: list[str] = []
    return soak.outcome(seed, found, played(found, seed, out, said.append)), said


@pytest.mark.parametrize("seed", SEEDS)
def test_a_drawn_day_keeps_all_rules(seed, tmp_path):
    outcome, said = day(seed, tmp_path)
    assert not outcome.breaches, "\n".join([str(outcome), *said])


def test_a_text_that_takes_no_update_for_lost_is_found(tmp_path):
    shutil.copytree(
        ROOT / "ospreyline", tmp_path / "broken" / "ospreyline", ignore=shutil.ignore_patterns("__pycache__")
    )
    path = tmp_path / "broken" / "ospreyline" / "lease.py"
    text = path.read_text()
    assert text.count(GUARD) == 1
    path.write_text(text.replace(GUARD, "self._arriving.pop(call, now)"))
    outcome, _ = day(SEEDS[0], tmp_path / "out", str(tmp_path / "broken"))
    assert outcome.breaches.get("drain", 0) > 0


def test_a_seed_is_one_plan():
    plans = [msgspec.json.encode(soak.planned(seed)) for seed in (7, 7, 8)]
    assert plans[0] == plans[1] != plans[2]
