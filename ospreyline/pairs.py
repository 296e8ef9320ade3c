"""Compares two revisions on the operators' bench, in alternating runs, to separate changes from noise.

Each revision gets its own clone in a work folder. In each round the bench runs both, and writes its entries
to the journals of the clones. Figures are paired by round. Completed rounds are recognized by their `--why`,
so an interrupted comparison continues where it stopped.
"""

from __future__ import annotations

import shutil
import subprocess
import sys
from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from math import sqrt
from pathlib import Path
from statistics import mean, stdev

import click

from ospreyline.regression import Entry, JournalError, entries

# Student's t of the two-sided 95% interval for 1, 2, ... degrees of freedom; about 2 beyond the last
T95 = (12.706, 4.303, 3.182, 2.776, 2.571, 2.447, 2.365, 2.306, 2.262, 2.228, 2.201, 2.179, 2.160, 2.145)


@dataclass(slots=True, frozen=True)
class Comparison:
    """One figure of both revisions: its values by round, 0 to 1."""

    name: str
    old: tuple[float, ...]
    new: tuple[float, ...]

    @property
    def pairs(self) -> int:
        return min(len(self.old), len(self.new))

    @property
    def difference(self) -> float:
        """Mean of new minus old over the rounds that both have."""
        return mean(b - a for a, b in zip(self.old, self.new, strict=False))

    @property
    def half_width(self) -> float:
        """Half width of the 95% interval of `difference`; infinite for a single pair."""
        if self.pairs < 2:
            return float("inf")
        spread = stdev([b - a for a, b in zip(self.old, self.new, strict=False)])
        return T95[min(self.pairs - 1, len(T95)) - 1] * spread / sqrt(self.pairs)

    @property
    def verdict(self) -> str:
        if self.pairs < 2:
            return "too few"
        if abs(self.difference) <= self.half_width:
            return "no difference shown"
        return "above" if self.difference > 0 else "below"


def figures(entry: Entry) -> dict[str, float]:
    """The scores of a run (`all`) and of each of its days, 0 to 1, by name."""
    days = {day.name: day.score for day in entry.days if day.score is not None}
    return {"all": entry.figure, **days} if entry.figure is not None else days


def compare(old: Sequence[Mapping[str, float]], new: Sequence[Mapping[str, float]]) -> list[Comparison]:
    """Compares every figure that all runs have, `all` first; runs are paired in order."""
    runs = [*old, *new]
    names = [n for n in runs[0] if all(n in run for run in runs)] if old and new else []
    return [Comparison(n, tuple(run[n] for run in old), tuple(run[n] for run in new)) for n in names]


def table(comparisons: Sequence[Comparison], old: str, new: str) -> str:
    """A plain-text table with one line per figure."""
    rows = [("figure", f"old {old}", f"new {new}", "new less old, 95%", "")]
    for c in comparisons:
        rows.append(
            (
                c.name,
                " ".join(f"{v:.3f}" for v in c.old),
                " ".join(f"{v:.3f}" for v in c.new),
                f"{c.difference:+.3f} +- {c.half_width:.3f}",
                c.verdict,
            )
        )
    widths = [max(len(row[i]) for row in rows) for i in range(len(rows[0]))]
    return "\n".join("  ".join(c.ljust(w) for c, w in zip(row, widths, strict=True)).rstrip() for row in rows)


def _git(repository: Path, *args: str) -> str:
    try:
        result = subprocess.run(
            ["git", "-C", str(repository), *args], capture_output=True, text=True, check=True
        )
    except (OSError, subprocess.CalledProcessError) as error:
        stderr = getattr(error, "stderr", "") or str(error)
        raise JournalError(f"git {' '.join(args[:2])}: {stderr.strip().splitlines()[-1]}") from error
    return result.stdout.strip()


def _clone(root: Path, rev: str, work: Path) -> Path:
    """A clone at a revision; an existing one is reused unchanged."""
    commit = _git(root, "rev-parse", "--verify", f"{rev}^{{commit}}")
    folder = work / commit[:12]
    if not folder.is_dir():
        _git(root, "clone", "-q", str(root), str(folder))
        _git(folder, "checkout", "-q", commit)
    return folder


def _completed_runs(folder: Path, why: str) -> list[Entry]:
    return [
        e
        for e in entries(folder / "journal")
        if e.cmd == "real-score" and e.why == why and e.figure is not None and not e.edited_meanwhile
    ]


def run_bench(bench: Path, site: Path, folder: Path, why: str, log: Path) -> None:
    """Runs one quick score of the code in a folder; appends the output of the bench to the log."""
    arguments = [str(bench), "score", str(site), "--quick", "--why", why]
    with log.open("ab") as file:
        status = subprocess.run(arguments, cwd=folder, stdout=file, stderr=file, check=False).returncode
    if status:
        click.echo(f"{folder.name}: the bench ended with status {status}, see {log}", err=True)


def copy_entries(folder: Path, why: str, journal: Path) -> None:
    """Copies the entries of a clone, and the files that they refer to, into the journal unchanged."""
    for entry in _completed_runs(folder, why):
        for path in (folder / "journal").glob(f"*{entry.id}*"):
            if not (journal / path.name).exists():
                shutil.copy2(path, journal / path.name)
    if (folder / "journal" / "blobs").is_dir():
        shutil.copytree(folder / "journal" / "blobs", journal / "blobs", dirs_exist_ok=True)


@click.command()
@click.argument("old")
@click.argument("new")
@click.option(
    "--bench",
    type=click.Path(exists=True, dir_okay=False, resolve_path=True, path_type=Path),
    required=True,
    help="Program of the bench that plays on sockets.",
)
@click.option(
    "--site",
    type=click.Path(exists=True, dir_okay=False, resolve_path=True, path_type=Path),
    required=True,
    help="Site file to play.",
)
@click.option(
    "--work",
    type=click.Path(file_okay=False, resolve_path=True, path_type=Path),
    required=True,
    help="Folder for clones and logs; a repeated command continues there.",
)
@click.option("--rounds", type=click.IntRange(1, 50), default=4, show_default=True)
@click.option("--why", default="Two texts in turns, to tell noise from change", show_default=True)
def command(old: str, new: str, bench: Path, site: Path, work: Path, rounds: int, why: str) -> None:
    """Run revisions OLD and NEW alternately and print the paired differences; needs an idle machine."""
    try:
        work.mkdir(parents=True, exist_ok=True)
        root = Path(_git(Path.cwd(), "rev-parse", "--show-toplevel"))
        folders = [_clone(root, rev, work) for rev in (old, new)]
        if folders[0] == folders[1]:
            raise JournalError(f"{old} and {new} are the same revision")
        for number in range(rounds):
            for folder in folders:
                if len(_completed_runs(folder, why)) <= number:
                    run_bench(bench, site, folder, why, work / f"{folder.name}.log")
        scores = [[figures(entry) for entry in _completed_runs(folder, why)] for folder in folders]
        for folder in folders:
            copy_entries(folder, why, root / "journal")
    except (JournalError, OSError) as error:
        click.echo(f"ospreyline: {error}", err=True)
        sys.exit(2)
    if not all(scores):
        click.echo("ospreyline: no run of one text came to a figure", err=True)
        sys.exit(1)
    click.echo(table(compare(*scores), folders[0].name[:7], folders[1].name[:7]))
