"""Alternating runs of two revisions: pairing, the confidence interval, resuming an interrupted comparison."""

from __future__ import annotations

import json
import subprocess
import sys

import pytest
from click.testing import CliRunner

from ospreyline.__main__ import main
from ospreyline.pairs import Comparison, compare

BENCH = """#!{python}
import json, pathlib, sys, uuid
text = float(pathlib.Path("text").read_text())
old = sorted(pathlib.Path("journal").glob("*.json"))
row = {{"id": uuid.uuid4().hex[:8], "at": [f"2026-01-01T00:00:{{len(old):02}}Z", "x"], "ok": True,
        "cmd": "real-score", "why": sys.argv[sys.argv.index("--why") + 1], "site": "s", "panel": "s:quick",
        "figures": {{"real_score": text + 0.01 * len(old)}}, "days": [{{"name": "churn", "score": text}}]}}
pathlib.Path("journal", f"2026-{{row['id']}}.json").write_text(json.dumps(row))
with open(pathlib.Path(sys.argv[0]).parent / "order", "a") as order:
    order.write(str(text) + "\\n")
"""


@pytest.mark.parametrize(
    ("old", "new", "verdict"),
    [
        ((0.69, 0.68, 0.70, 0.69), (0.64, 0.64, 0.65, 0.65), "below"),
        ((0.69, 0.65, 0.70, 0.62), (0.68, 0.69, 0.64, 0.66), "no difference shown"),
        ((0.60, 0.61), (0.70, 0.71), "above"),
        ((0.69,), (0.64,), "too few"),
    ],
)
def test_a_difference_counts_only_outside_its_interval(old, new, verdict):
    assert Comparison("all", old, new).verdict == verdict


def test_the_interval_is_students_of_the_paired_differences():
    result = Comparison("all", (0.5, 0.6, 0.7), (0.6, 0.8, 0.8))
    assert result.difference == pytest.approx(0.4 / 3)
    assert result.half_width == pytest.approx(4.303 * 0.057735 / 3**0.5, rel=1e-3)


def test_a_day_that_one_run_left_out_is_not_compared():
    result = compare([{"all": 0.6, "a": 0.5}], [{"all": 0.7}])
    assert [c.name for c in result] == ["all"]


@pytest.fixture
def project(tmp_path, monkeypatch):
    root = tmp_path / "project"
    (root / "journal").mkdir(parents=True)
    monkeypatch.chdir(root)

    def git(*args):
        subprocess.run(
            ["git", "-c", "user.name=n", "-c", "user.email=e", *args], check=True, capture_output=True
        )

    git("init", "-q")
    for text in ("0.6", "0.7"):
        (root / "text").write_text(text)
        (root / "journal" / ".keep").touch()
        git("add", ".")
        git("commit", "-qm", text)
    bench = tmp_path / "bench"
    bench.write_text(BENCH.format(python=sys.executable))
    bench.chmod(0o755)
    return root


def run_pairs(root, *more):
    folder = root.parent
    return CliRunner().invoke(
        main,
        [
            "pairs",
            "HEAD~1",
            "HEAD",
            "--bench",
            str(folder / "bench"),
            "--site",
            str(folder / "bench"),
            "--work",
            str(folder / "work"),
            *more,
        ],
    )


def test_texts_are_played_in_turns_and_a_second_call_goes_on(project):
    assert run_pairs(project, "--rounds", "1").exit_code == 0
    result = run_pairs(project, "--rounds", "3")
    assert result.exit_code == 0, result.output
    assert (project.parent / "order").read_text().split() == ["0.6", "0.7"] * 3
    assert "+0.100 +- 0.000    above" in result.output
    copied = [json.loads(p.read_text()) for p in (project / "journal").glob("*.json")]
    assert len(copied) == 6


@pytest.mark.parametrize(
    ("args", "message"), [(["nothing", "HEAD"], "git rev-parse"), (["HEAD", "HEAD"], "the same revision")]
)
def test_what_cannot_be_compared_is_one_line(project, args, message):
    folder = project.parent
    result = CliRunner().invoke(
        main,
        [
            "pairs",
            *args,
            "--bench",
            str(folder / "bench"),
            "--site",
            str(folder / "bench"),
            "--work",
            str(folder / "work"),
        ],
    )
    assert result.exit_code == 2 and message in result.output and len(result.output.splitlines()) == 1
