"""Test cases whose run is void because the rig was late: run again, reported, never passed for that."""

from __future__ import annotations

import asyncio
import time

import pytest
from test_known_red import both, run

from ospreyline.rig.worker import Worker

SUITE = """
import json
from pathlib import Path

import pytest

PLAYED = Path(__file__).parent / "played"


@pytest.mark.parametrize("n", [7])
def test_story(n, tmp_path):
    late, fails = {days}[sum(1 for _ in PLAYED.open()) if PLAYED.exists() else 0]
    with PLAYED.open("a") as file:
        print(n, *sorted(path.name for path in tmp_path.iterdir()), file=file)
    (tmp_path / "out").mkdir()
    (tmp_path / "out" / "summary.json").write_text(json.dumps({{"lag_ms": late, "void": late > 100}}))
    assert not fails, "rules broken"
"""
FINE, BROKEN = (3.0, False), (3.0, True)
LATE_FINE, LATE_BROKEN = (312.0, False), (312.0, True)


@both
@pytest.mark.parametrize(
    ("days", "status", "said"),
    [
        ([FINE], 0, []),
        ([BROKEN], 1, []),
        ([LATE_FINE], 0, ["passed, though the rig came 312 ms late"]),
        (
            [LATE_BROKEN, FINE],
            0,
            ["the rig came 312 ms late: played again, after AssertionError: rules broken"],
        ),
        ([LATE_BROKEN, BROKEN], 1, ["the rig came 312 ms late: played again"]),
        ([LATE_BROKEN, LATE_FINE], 0, ["played again", "passed, though"]),
        ([LATE_BROKEN, LATE_BROKEN, FINE], 0, ["played again"]),
        ([LATE_BROKEN, LATE_BROKEN, LATE_BROKEN, FINE], 1, ["played again"]),
    ],
    ids=[
        "fine",
        "broken",
        "late",
        "late and broken, fine",
        "late and broken, broken",
        "broken, late",
        "late and broken twice",
        "late and broken three times",
    ],
)
def test_a_story_fails_at_once_unless_the_rig_came_late(days, status, said, how, tmp_path):
    got, text = run(tmp_path, SUITE.format(days=days), None, *how)
    assert got == status, text
    # each run has a folder of its own
    assert (tmp_path / "tests" / "played").read_text() == "7\n" * min(3, len(days))
    assert all(one in text for one in said), text
    assert said or "came 312 ms late" not in text


@pytest.mark.parametrize("after", [0, 1, 5])
def test_a_stop_of_the_rig_is_seen_whenever_it_begins(after, tmp_path):
    # with checks every 200 ms, a stall of 130 ms right after a check went unnoticed
    async def scenario() -> float:
        worker = Worker(asyncio.get_running_loop(), {"origin": 0.0, "seed": 1, "rows": tmp_path / "rows"})
        worker.check_lag()
        for _ in range(after):
            checked_at = worker._checked_at
            while worker._checked_at == checked_at:
                await asyncio.sleep(0.001)
        time.sleep(0.13)  # stalls the event loop
        checked_at = worker._checked_at
        while worker._checked_at == checked_at:
            await asyncio.sleep(0.001)
        worker.close()
        return worker.lag

    assert asyncio.run(scenario()) >= 100.0
