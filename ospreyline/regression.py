"""State of the regression benchmarks: the latest journal entry of each; whether the code has changed since.

The bench writes one JSON file per run into `journal/`. This module reads these files and runs nothing; the
benchmarks are listed in docs/regression.md. Only `entries` and `current_checksums` do I/O.
"""

from __future__ import annotations

import sys
from collections.abc import Iterable, Mapping
from hashlib import sha256
from pathlib import Path

import click
import msgspec

# sites that are closed; their entries stay in the journal but are ignored
EXCLUDED_SITES = frozenset(
    ("portal-ljubljana", "portal-ljubljana-later", "quito-registro", "quito-registro-later")
)
MAX_DROP = 0.03  # a larger drop of a figure has to be explained before any other work starts


class JournalError(ValueError):
    """The journal cannot be read; the message names what is missing or invalid."""


class _FileChecksum(msgspec.Struct):
    path: str
    sha256: str


class _DayResult(msgspec.Struct):
    name: str = ""
    score: float | None = None
    rules: dict[str, float] | None = None


class Entry(msgspec.Struct):
    """One run as the bench wrote it; other keys are ignored."""

    id: str
    at: tuple[str, str]  # UTC, start and end; the end is empty if the run did not finish
    cmd: str
    why: str = ""
    site: str | None = None
    panel: str | None = None
    mode: str | None = None
    ok: bool = False
    error: str | None = None
    edited_meanwhile: bool = False
    score: float | None = None
    figures: dict[str, float] = {}
    days: list[_DayResult] = []
    policy: list[_FileChecksum] = []
    node: list[_FileChecksum] = []
    digest: str = ""

    @property
    def figure(self) -> float | None:
        """The score of the run, 0 to 1; None if it has none."""
        return self.figures.get("real_score", self.score)

    @property
    def gate(self) -> str:
        """The result of the gate in the run's report: `passed`, `failed ...`, or empty."""
        for line in reversed(self.digest.splitlines()):
            if line.lstrip().startswith("GATE "):
                return line.strip().removeprefix("GATE ").strip()
        return ""

    @property
    def benchmark(self) -> str:
        """Name of the regression benchmark that this run belongs to; empty for any other run."""
        if not self.site or not self.panel:
            return ""
        if self.cmd == "score":
            return f"simulated, {self.site}, {self.mode or 'full'}"
        if self.cmd != "real-score":
            return ""
        days = self.panel.rpartition(":quick")[0] or self.panel
        if "+brink" in days:
            return f"brink, {self.site}"
        kind = "standing" if "+mass" in days else "in service" if "churn" in days else "sockets, older days"
        return f"{kind}, {self.site}, {'quick' if self.panel.endswith(':quick') else 'full'}"


class BenchmarkStatus(msgspec.Struct):
    """The latest entry of a benchmark, the previous one with a figure, and if the code is still the same."""

    benchmark: str
    latest: Entry
    previous: Entry | None
    same_code: bool

    @property
    def change(self) -> float | None:
        """Change of the figure since the previous entry; None if either has none."""
        if self.previous is None or self.latest.figure is None or self.previous.figure is None:
            return None
        return self.latest.figure - self.previous.figure

    @property
    def problem(self) -> str:
        """Why this benchmark needs attention first; empty if it does not."""
        violations = [
            f"{day.name}: {rule}"
            for day in self.latest.days
            for rule, count in sorted((day.rules or {}).items())
            if count
        ]
        if violations:
            return "rule broken, " + ", ".join(violations)
        if self.latest.gate.startswith("failed"):
            return "gate " + self.latest.gate
        if not self.latest.ok:
            return self.latest.error or "the run is void"
        # brink plays different days for each seed, so only its rules and its gate count, not its figure
        if not self.benchmark.startswith("brink") and self.change is not None and self.change < -MAX_DROP:
            return f"fell by {-self.change:.3f}"
        return ""


def entries(folder: Path) -> list[Entry]:
    """All entries of a journal, oldest first; files of the bench in other formats are skipped."""
    if not folder.is_dir():
        raise JournalError(f"{folder}: no such folder")
    decoder = msgspec.json.Decoder(Entry)
    decoded = []
    for path in sorted(folder.glob("*.json")):
        try:
            decoded.append(decoder.decode(path.read_bytes()))
        except (OSError, msgspec.MsgspecError) as error:
            raise JournalError(f"{path}: {error}") from error
    return sorted(decoded, key=lambda entry: entry.at[0])


def current_checksums(root: Path, runs: Iterable[Entry]) -> dict[str, str]:
    """The current SHA-256 of each file named in these entries; files that no longer exist are left out."""
    paths = {file.path for entry in runs for file in (*entry.policy, *entry.node)}
    return {p: sha256((root / p).read_bytes()).hexdigest() for p in sorted(paths) if (root / p).is_file()}


def benchmark_statuses(runs: Iterable[Entry], current: Mapping[str, str]) -> list[BenchmarkStatus]:
    """The status of each benchmark, sorted by name; `runs` oldest first.

    Ignored are: a run that was interrupted before it knew its site; a run whose files were edited meanwhile,
    as its figure belongs to no version of the code; and runs of closed sites.
    """
    by_benchmark: dict[str, list[Entry]] = {}
    for entry in runs:
        if entry.benchmark and not entry.edited_meanwhile and entry.site not in EXCLUDED_SITES:
            by_benchmark.setdefault(entry.benchmark, []).append(entry)
    statuses = []
    for benchmark in sorted(by_benchmark):
        *earlier, latest = by_benchmark[benchmark]
        previous = next(
            (
                e
                for e in reversed(earlier)
                if e.figure is not None and (not benchmark.startswith("brink") or e.panel == latest.panel)
            ),
            None,
        )
        statuses.append(
            BenchmarkStatus(
                benchmark,
                latest,
                previous,
                all(current.get(file.path) == file.sha256 for file in (*latest.policy, *latest.node)),
            )
        )
    return statuses


def table(statuses: Iterable[BenchmarkStatus]) -> str:
    """A plain-text table with one line per benchmark."""
    rows = [("call", "figure", "change", "gate", "text", "when (UTC)", "trouble")]
    for s in statuses:
        figure = "-" if s.latest.figure is None else f"{s.latest.figure:.3f}"
        change = "-" if s.change is None else f"{s.change:+.3f}"
        rows.append(
            (
                s.benchmark,
                figure,
                change,
                s.latest.gate.partition(" ")[0] or "-",
                "same" if s.same_code else "older",
                s.latest.at[0].replace("T", " ").rstrip("Z"),
                s.problem,
            )
        )
    widths = [max(len(row[i]) for row in rows) for i in range(len(rows[0]))]
    return "\n".join("  ".join(c.ljust(w) for c, w in zip(row, widths, strict=True)).rstrip() for row in rows)


@click.command()
@click.option(
    "--journal",
    type=click.Path(file_okay=False, path_type=Path),
    default=Path("journal"),
    show_default=True,
    help="Folder into which the bench writes its entries.",
)
def command(journal: Path) -> None:
    """Print the latest figure of each benchmark; exit status 1 if one of the current code needs attention."""
    try:
        runs = entries(journal)
        statuses = benchmark_statuses(runs, current_checksums(journal.resolve().parent, runs))
    except JournalError as error:
        click.echo(f"ospreyline: {error}", err=True)
        sys.exit(2)
    click.echo(table(statuses))
    sys.exit(1 if any(s.problem and s.same_code for s in statuses) else 0)
