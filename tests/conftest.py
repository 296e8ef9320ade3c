"""Known failures, and rig tests that fail because the test rig itself was late.

Known failures are tests that fail because of a real, unfixed fault. They are listed in KNOWN-RED.txt at the
root; without the file, or with only comments in it, nothing changes. One line each, three at most; `#` begins
a comment line:

    tests/test_x.py::test_name | the cause in plain words | issue number

A name is the full id of a test (with its parameters), or that of a test without its parameters, which then
stands for all of them. Each is expected to fail, and is printed with its cause and how it failed. A run fails
on a fourth line, a malformed one, a duplicate name, a listed test that passes or is skipped, and, if all
tests are run, on a name that matches none. If only some tests are run (files, `-k`, `-m`), such names are
ignored.

A run of the rig is void if a process of the rig itself was later than `rig.lag_ms` (docs/rig.md): what the
run shows may then be caused by that delay. A test that fails with a void run is repeated in a folder of its
own, twice at most, which the summary reports each time; a third void failure is a failure. A test that fails
without a void run fails at once. One that passes with a void run has passed, which is reported, too.
"""

from __future__ import annotations

import json
import re
from collections.abc import Iterator
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import pytest

FILE = "KNOWN-RED.txt"
MOST = 3  # entries at the most
KNOWN = "failed as known"
TRIES = 3  # runs of a rig test whose runs are void
LINE = re.compile(r"(?P<name>[^|\s]+\.py::[^|]*[^|\s]) \| (?P<cause>[^|\s][^|]*) \| (?P<issue>\d+)")
# options that leave tests out, or end a run early
SELECTING = (
    "keyword",
    "markexpr",
    "deselect",
    "ignore",
    "ignore_glob",
    "lf",
    "stepwise",
    "maxfail",
    "collectonly",
)


@dataclass
class Line:
    """One test that is known to fail."""

    name: str
    cause: str
    issue: str
    met: dict[str, str] = field(default_factory=dict)  # by node id: how it ended

    def names(self, nodeid: str) -> bool:
        return self.name in (nodeid, nodeid.partition("[")[0])


def read(path: Path) -> list[Line]:
    """The entries of the file; raises `pytest.UsageError` if it is malformed."""
    if not path.exists():
        return []
    lines: list[Line] = []
    for number, text in enumerate(path.read_text().splitlines(), 1):
        if not text.strip() or text.startswith("#"):
            continue
        found = LINE.fullmatch(text.strip())
        if found is None:
            raise pytest.UsageError(f"{FILE}, line {number}: is not `test id | cause | issue number`")
        if any(line.name == found["name"] for line in lines):
            raise pytest.UsageError(f"{FILE}, line {number}: {found['name']} is there twice")
        lines.append(Line(**found.groupdict()))
    if len(lines) > MOST:
        raise pytest.UsageError(f"{FILE}: {len(lines)} lines, {MOST} are the most")
    return lines


class KnownRed:
    """Marks the listed tests as expected failures, and reports how each of them ended."""

    def __init__(self, config: pytest.Config, lines: list[Line]) -> None:
        self.config, self.lines = config, lines
        self.problems: list[str] = []
        # the controller process, which receives the reports of all tests
        self.judges = not hasattr(config, "workerinput")

    def _whole(self) -> bool:
        """Whether this is a run of all tests."""
        config = self.config
        root = config.rootpath
        wanted = {(root / path).resolve() for path in config.getini("testpaths") or ["."]}
        given = {(config.invocation_params.dir / arg).resolve() for arg in config.args if "::" not in arg}
        return wanted <= given and not any(config.getoption(name, None) for name in SELECTING)

    def pytest_collection_modifyitems(self, items: list[pytest.Item]) -> None:
        for item in items:
            for line in self.lines:
                if line.names(item.nodeid):
                    reason = f"{line.cause} (issue {line.issue})"
                    item.add_marker(pytest.mark.xfail(reason=reason, strict=True), append=False)

    def pytest_runtest_logreport(self, report: pytest.TestReport) -> None:
        for line in self.lines:
            if line.names(report.nodeid) and (report.when == "call" or not report.passed):
                if report.failed or report.when == "teardown":
                    how = "passed or broke otherwise"
                elif not hasattr(report, "wasxfail"):
                    how = "is skipped"
                else:
                    crash = getattr(report.longrepr, "reprcrash", None)
                    how = f"{KNOWN}: {str(crash.message if crash else '').partition(chr(10))[0]}"
                line.met[report.nodeid] = how

    def pytest_sessionfinish(self, session: pytest.Session) -> None:
        if not self.judges:
            return
        for line in self.lines:
            if not line.met and self._whole():
                self.problems.append(f"{line.name} matches no test")
            self.problems += [f"{id_} {how}" for id_, how in line.met.items() if not how.startswith(KNOWN)]
        if self.problems and session.exitstatus in (pytest.ExitCode.OK, pytest.ExitCode.NO_TESTS_COLLECTED):
            session.exitstatus = pytest.ExitCode.TESTS_FAILED

    def pytest_terminal_summary(self, terminalreporter: Any) -> None:
        if not self.judges or not self.lines:
            return
        terminalreporter.section(f"known red, {FILE}")
        for text in self._summary():
            terminalreporter.line(text)

    def _summary(self) -> Iterator[str]:
        for line in self.lines:
            yield f"{line.name}: {line.cause} (issue {line.issue})"
            yield from (f"  {id_} {how}" for id_, how in line.met.items())
        yield from (f"RED: {problem}" for problem in self.problems)


def pytest_configure(config: pytest.Config) -> None:
    config.pluginmanager.register(KnownRed(config, read(config.rootpath / FILE)), "known-red")


def void(folder: Path) -> float:
    """The rig's largest delay in ms among the void runs in a folder; 0 if none is void."""
    days = [json.loads(path.read_bytes()) for path in folder.rglob("summary.json")]
    return max((float(day["lag_ms"]) for day in days if day.get("void")), default=0.0)


@pytest.hookimpl(wrapper=True)
def pytest_pyfunc_call(pyfuncitem: pytest.Function) -> Iterator[None]:
    """Repeat a failed rig test if a run of it was void because the rig was late."""
    folder = pyfuncitem.funcargs.get("tmp_path")
    for number in range(1, TRIES + 1):
        late = 0.0
        try:
            if number == 1:
                result = yield
            else:
                names = pyfuncitem._fixtureinfo.argnames
                result = pyfuncitem.obj(**{name: pyfuncitem.funcargs[name] for name in names})
        except Exception as error:
            late = void(folder) if folder is not None else 0.0
            if not late or number == TRIES:
                raise
            said = f"the rig came {late:g} ms late: played again, after {type(error).__name__}: {error}"
            pyfuncitem.warn(pytest.PytestWarning(said[:600]))
            folder = pyfuncitem.funcargs["tmp_path"] = folder.parent / f"{folder.name}-{number + 1}"
            folder.mkdir()
        else:
            if folder is not None and (late := void(folder)):
                pyfuncitem.warn(pytest.PytestWarning(f"passed, though the rig came {late:g} ms late"))
            return result
