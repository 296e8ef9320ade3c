"""Effect of KNOWN-RED.txt on a test run: each verdict, in a separate folder, with and without xdist."""

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
FAILS_IN_TEARDOWN = (
    "import pytest\n\n\n@pytest.fixture\ndef torn():\n    yield\n    raise OSError('torn down')\n\n\n"
    "def test_torn(torn):\n    assert 1 == 2\n"
)
NO_XDIST, XDIST = [], ["-n", "3", "--dist", "loadfile"]
both = pytest.mark.parametrize("how", [NO_XDIST, XDIST], ids=["alone", "workers"])


def line(name: str, cause: str = "one is not two", issue: str = "7") -> str:
    return f"tests/test_a.py::{name} | {cause} | {issue}"


def run(folder: Path, suite: str, lines: list[str] | None, *arguments: str) -> tuple[int, str]:
    """Runs a suite with a KNOWN-RED.txt of these lines; returns its exit status and output."""
    tests = folder / "tests"
    tests.mkdir()
    shutil.copy(Path(__file__).parent / "conftest.py", tests)
    (tests / "test_a.py").write_text(suite)
    (tests / "test_b.py").write_text(RIGHT)
    (folder / "pyproject.toml").write_text('[tool.pytest.ini_options]\ntestpaths = ["tests"]\n')
    if lines is not None:
        (folder / "KNOWN-RED.txt").write_text("".join(f"{text}\n" for text in lines))
    result = subprocess.run(
        [sys.executable, "-m", "pytest", "-p", "no:cacheprovider", *arguments],
        cwd=folder,
        stdout=subprocess.PIPE,
        stderr=subprocess.STDOUT,
        text=True,
        check=False,
    )
    return result.returncode, result.stdout


@both
def test_listed_failures_are_let_pass_and_printed_with_their_cause(how, tmp_path):
    lines = ["# a comment", "", line("test_wrong"), line("test_two[2]", "two is more", "8")]
    status, output = run(tmp_path, f"{TWO}\n\n{WRONG}", lines, *how)
    assert status == 0 and "2 passed, 2 xfailed" in output, output
    assert "tests/test_a.py::test_wrong: one is not two (issue 7)" in output
    assert "  tests/test_a.py::test_wrong failed as known: assert 1 == 2" in output
    assert "tests/test_a.py::test_two[2]: two is more (issue 8)" in output and "RED:" not in output


@both
@pytest.mark.parametrize(
    ("suite", "name", "expected"),
    [
        (RIGHT, "test_right", "tests/test_a.py::test_right passed or broke otherwise"),
        # a name without parameters stands for all parametrized cases
        (TWO, "test_two", "tests/test_a.py::test_two[1] passed or broke otherwise"),
        (SKIPPED, "test_skipped", "tests/test_a.py::test_skipped is skipped"),
        (FAILS_IN_TEARDOWN, "test_torn", "tests/test_a.py::test_torn passed or broke otherwise"),
        (RIGHT, "test_gone", "tests/test_a.py::test_gone matches no test"),
        (RIGHT, "test_righ", "tests/test_a.py::test_righ matches no test"),
    ],
    ids=["passes", "one of it passes", "skipped", "breaks after it", "no test", "part of a name"],
)
def test_a_listed_test_that_does_not_fail_is_red(suite, name, expected, how, tmp_path):
    status, output = run(tmp_path, suite, [line(name)], *how)
    assert status == 1 and f"RED: {expected}\n" in output, output


@pytest.mark.parametrize("arguments", [["tests/test_b.py"], ["-k", "right"]], ids=["a file", "some names"])
def test_a_name_that_a_run_of_some_tests_does_not_meet_is_not_judged(arguments, tmp_path):
    status, output = run(tmp_path, WRONG, [line("test_wrong"), line("test_gone")], *arguments)
    assert status == 0 and "RED:" not in output, output


@pytest.mark.parametrize("arguments", [["tests"], ["tests/test_a.py", "tests"]])
def test_a_run_that_names_the_folder_is_one_of_all_tests(arguments, tmp_path):
    status, output = run(tmp_path, RIGHT, [line("test_gone")], *arguments)
    assert status == 1 and "RED: tests/test_a.py::test_gone matches no test\n" in output, output


@pytest.mark.parametrize(
    ("lines", "expected"),
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
def test_a_file_that_is_not_as_it_has_to_be_is_red(lines, expected, tmp_path):
    status, output = run(tmp_path, WRONG, lines)
    assert status not in (0, 1) and expected in output, output


@pytest.mark.parametrize("lines", [None, [], ["# nothing is known"]], ids=["absent", "empty", "comments"])
def test_without_lines_a_failure_is_a_failure(lines, tmp_path):
    status, output = run(tmp_path, WRONG, lines)
    assert status == 1 and "1 failed, 1 passed" in output and "known red" not in output, output
