"""Regression status from a journal: which entry counts, its problem, and whether the code has changed."""

from __future__ import annotations

import json
from hashlib import sha256

import pytest
from click.testing import CliRunner

from ospreyline.__main__ import main
from ospreyline.regression import benchmark_statuses, current_checksums, entries

GATE = "day one\nGATE {}\nsnapshot"


def entry(folder, name, at, figure=0.7, **more):
    row = {
        "id": name,
        "at": [at, at],
        "cmd": "real-score",
        "site": "s",
        "panel": "real:s:1:calm+mass,roll+mass",
        "ok": True,
        "figures": {"real_score": figure},
        "digest": GATE.format("passed"),
        "unknown": 1,
        "policy": [{"path": "a.py", "sha256": sha256(b"text").hexdigest()}],
        **more,
    }
    (folder / f"{name}.json").write_text(json.dumps(row))


@pytest.fixture
def journal(tmp_path):
    (tmp_path / "a.py").write_bytes(b"text")
    folder = tmp_path / "journal"
    folder.mkdir()
    return folder


def statuses_of(journal):
    runs = entries(journal)
    return benchmark_statuses(runs, current_checksums(journal.parent, runs))


@pytest.mark.parametrize(
    ("more", "problem"),
    [
        ({}, ""),
        ({"figure": 0.66}, "fell by 0.040"),
        ({"figure": 0.68}, ""),
        ({"ok": False, "error": "n0 crashed"}, "n0 crashed"),
        ({"digest": GATE.format("failed: lost on roll+mass")}, "gate failed: lost on roll+mass"),
        ({"days": [{"name": "roll", "rules": {"drain": 2, "dup": 0}}]}, "rule broken, roll: drain"),
    ],
)
def test_what_has_to_be_seen_to_first_is_said(journal, more, problem):
    entry(journal, "b", "2026-01-01T00:00:00Z")
    entry(journal, "a", "2026-01-02T00:00:00Z", **{"figure": 0.7, **more})
    (found,) = statuses_of(journal)
    assert found.problem == problem and found.latest.id == "a"
    result = CliRunner().invoke(main, ["regression", "--journal", str(journal)])
    assert result.exit_code == (1 if problem else 0) and problem in result.output


def test_calls_are_told_apart_and_edited_ones_passed_over(journal):
    entry(journal, "a", "2026-01-01T00:00:00Z")
    entry(journal, "b", "2026-01-02T00:00:00Z", panel="real:s:1:calm+mass:quick")
    entry(journal, "c", "2026-01-03T00:00:00Z", panel="real:s:1:churn+long,rude")
    entry(journal, "d", "2026-01-04T00:00:00Z", cmd="score", mode="quick", panel="x", score=0.6, figures={})
    entry(journal, "e", "2026-01-05T00:00:00Z", edited_meanwhile=True)
    entry(journal, "f", "2026-01-06T00:00:00Z", site=None, panel=None, ok=False)
    entry(journal, "g", "2026-01-07T00:00:00Z", cmd="replay")
    entry(journal, "h", "2026-01-08T00:00:00Z", site="quito-registro")
    assert [(s.benchmark, s.latest.id) for s in statuses_of(journal)] == [
        ("in service, s, full", "c"),
        ("simulated, s, quick", "d"),
        ("standing, s, full", "a"),
        ("standing, s, quick", "b"),
    ]


def test_brink_is_no_standing_test_and_other_seeds_are_other_days(journal):
    # brink figures were once taken for those of the standing test, and those of another seed for a drop
    brink = "real:s:{}:calm+brink+mass-1,roll+brink+mass-2"
    entry(journal, "a", "2026-01-01T00:00:00Z")
    for i, (seed, figure) in enumerate([(1, 0.8), (2, 0.9), (1, 0.7)]):
        entry(journal, f"b{i}", f"2026-01-02T00:00:0{i}Z", panel=brink.format(seed), figure=figure)
    found = {s.benchmark: s for s in statuses_of(journal)}
    assert set(found) == {"standing, s, full", "brink, s"} and found["standing, s, full"].latest.id == "a"
    assert found["brink, s"].change == pytest.approx(-0.1) and not found["brink, s"].problem
    entry(
        journal,
        "c",
        "2026-01-03T00:00:00Z",
        panel=brink.format(3),
        figure=0.1,
        digest=GATE.format("failed: lost on roll+brink"),
    )
    found = {s.benchmark: s for s in statuses_of(journal)}
    assert found["brink, s"].change is None and found["brink, s"].problem.startswith("gate failed")


def test_a_text_that_has_changed_since_is_said(journal):
    entry(journal, "a", "2026-01-01T00:00:00Z", ok=False, error="x")
    assert statuses_of(journal)[0].same_code
    (journal.parent / "a.py").write_bytes(b"other")
    assert not statuses_of(journal)[0].same_code
    # the problem belongs to code that no longer exists
    assert CliRunner().invoke(main, ["regression", "--journal", str(journal)]).exit_code == 0
    (journal.parent / "a.py").unlink()
    assert not statuses_of(journal)[0].same_code


@pytest.mark.parametrize("text", ["{", '{"id": 3}'])
def test_a_journal_that_cannot_be_read_is_one_line(journal, text):
    (journal / "x.json").write_text(text)
    found = CliRunner().invoke(main, ["regression", "--journal", str(journal)])
    assert found.exit_code == 2 and "x.json: " in found.output
    assert CliRunner().invoke(main, ["regression", "--journal", str(journal / "none")]).exit_code == 2
