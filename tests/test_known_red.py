"""What KNOWN-RED.txt does to a run: each verdict, in a folder of its own, with and without workers."""

from __future__ import annotations

import shutil
import subprocess
import sys
from pathlib import Path

import pytest

WRONG = "def test_wrong():\n    assert 1 == 2\n"
RIGHT = "def test_right():\n    pass\n"
TWO = "import pytest\n\n\n@pytest.mark.parametrize('n', [1, 2])\ndef test_two(n):\n    assert n == 1\n"
SKIPPED = "import pytest\n\n\n@pytest.mark.skip\ndef test_skipped():\n    pass\n"
TORN = (
    "import pytest\n\n\n@pytest.fixture\ndef torn():\n    yield\n    raise OSError('torn down')\n\n\n"
    "def test_torn(torn):\n    assert 1 == 2\n"
)
ALONE, WORKERS = [], ["-n", "3", "--dist", "loadfile"]
both = pytest.mark.parametrize("how", [ALONE, WORKERS], ids=["alone", "workers"])


def line(name: str, cause: str = "one is not two", issue: str = "7") -> str:
    return f"tests/test_a.py::{name} | {cause} | {issue}"


def run(folder: Path, suite: str, lines: list[str] | None, *more: str) -> tuple[int, str]:
    """Run a suite beside a KNOWN-RED.txt of these lines: the status, and all that was printed."""
    tests = folder / "tests"
    tests.mkdir()
    shutil.copy(Path(__file__).parent / "conftest.py", tests)
    (tests / "test_a.py").write_text(suite)
    (tests / "test_b.py").write_text(RIGHT)
    (folder / "pyproject.toml").write_text('[tool.pytest.ini_options]\ntestpaths = ["tests"]\n')
    if lines is not None:
        (folder / "KNOWN-RED.txt").write_text("".join(f"{text}\n" for text in lines))
    done = subprocess.run(
        [sys.executable, "-m", "pytest", "-p", "no:cacheprovider", *more],
        cwd=folder,
        stdout=subprocess.PIPE,
        stderr=subprocess.STDOUT,
        text=True,
        check=False,
    )
    return done.returncode, done.stdout


@both
def test_listed_failures_are_let_pass_and_printed_with_their_cause(how, tmp_path):
    lines = ["# a comment", "", line("test_wrong"), line("test_two[2]", "two is more", "8")]
    status, said = run(tmp_path, f"{TWO}\n\n{WRONG}", lines, *how)
    assert status == 0 and "2 passed, 2 xfailed" in said, said
    assert "tests/test_a.py::test_wrong: one is not two (issue 7)" in said
    assert "  tests/test_a.py::test_wrong failed as known: assert 1 == 2" in said
    assert "tests/test_a.py::test_two[2]: two is more (issue 8)" in said and "RED:" not in said


@both
@pytest.mark.parametrize(
    ("suite", "name", "says"),
    [
        (RIGHT, "test_right", "tests/test_a.py::test_right passed or broke otherwise"),
        # without its parameters a name stands for every one of them
        (TWO, "test_two", "tests/test_a.py::test_two[1] passed or broke otherwise"),
        (SKIPPED, "test_skipped", "tests/test_a.py::test_skipped is skipped"),
        (TORN, "test_torn", "tests/test_a.py::test_torn passed or broke otherwise"),
        (RIGHT, "test_gone", "tests/test_a.py::test_gone matches no test"),
        (RIGHT, "test_righ", "tests/test_a.py::test_righ matches no test"),
    ],
    ids=["passes", "one of it passes", "skipped", "breaks after it", "no test", "part of a name"],
)
def test_a_listed_test_that_does_not_fail_is_red(suite, name, says, how, tmp_path):
    status, said = run(tmp_path, suite, [line(name)], *how)
    assert status == 1 and f"RED: {says}\n" in said, said


@pytest.mark.parametrize("more", [["tests/test_b.py"], ["-k", "right"]], ids=["a file", "some names"])
def test_a_name_that_a_run_of_some_tests_does_not_meet_is_not_judged(more, tmp_path):
    status, said = run(tmp_path, WRONG, [line("test_wrong"), line("test_gone")], *more)
    assert status == 0 and "RED:" not in said, said


@pytest.mark.parametrize("more", [["tests"], ["tests/test_a.py", "tests"]])
def test_a_run_that_names_the_folder_is_one_of_all_tests(more, tmp_path):
    status, said = run(tmp_path, RIGHT, [line("test_gone")], *more)
    assert status == 1 and "RED: tests/test_a.py::test_gone matches no test\n" in said, said


@pytest.mark.parametrize(
    ("lines", "says"),
    [
        ([line(f"test_two[{n}]") for n in range(4)], "4 lines, 3 are the most"),
        (["tests/test_a.py::test_wrong | one is not two"], "line 1: is not `test id | cause | issue number`"),
        (["", "tests/test_a.py::test_wrong |  | 7"], "line 2: is not `test id"),
        ([line("test_wrong", issue="soon")], "line 1: is not `test id"),
        (["test_wrong | one is not two | 7"], "line 1: is not `test id"),
        ([line("test_wrong"), line("test_wrong", "x")], "tests/test_a.py::test_wrong is there twice"),
    ],
    ids=["a fourth", "no issue", "no cause", "no number", "no file", "twice"],
)
def test_a_file_that_is_not_as_it_has_to_be_is_red(lines, says, tmp_path):
    status, said = run(tmp_path, WRONG, lines)
    assert status not in (0, 1) and says in said, said


@pytest.mark.parametrize("lines", [None, [], ["# nothing is known"]], ids=["absent", "empty", "comments"])
def test_without_lines_a_failure_is_a_failure(lines, tmp_path):
    status, said = run(tmp_path, WRONG, lines)
    assert status == 1 and "1 failed, 1 passed" in said and "known red" not in said, said
