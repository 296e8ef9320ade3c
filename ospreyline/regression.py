"""What the regression last said: the journal's latest entry of each of its calls, beside the text of today.

The bench writes one JSON file a run into `journal/`. This reads them and runs nothing; which calls the
regression consists of is said in docs/regression.md. Everything but `entries` and `texts` is without I/O.
"""

from __future__ import annotations

import sys
from collections.abc import Iterable, Mapping
from hashlib import sha256
from pathlib import Path

import click
import msgspec

# their entries stay in the journal and count no more
CLOSED = frozenset(("portal-ljubljana", "portal-ljubljana-later", "quito-registro", "quito-registro-later"))
FALL = 0.03  # of a figure, that has to be explained before anything else is begun


class JournalError(ValueError):
    """The journal cannot be read; the text names what is missing or faulty."""


class _Text(msgspec.Struct):
    path: str
    sha256: str


class _Day(msgspec.Struct):
    name: str = ""
    score: float | None = None
    rules: dict[str, float] | None = None


class Entry(msgspec.Struct):
    """One run as the bench wrote it; what is not named here is not read."""

    id: str
    at: tuple[str, str]  # UTC, begun and ended; the second is empty if it did not end
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
    days: list[_Day] = []
    policy: list[_Text] = []
    node: list[_Text] = []
    digest: str = ""

    @property
    def figure(self) -> float | None:
        """The figure of the run, 0 to 1; None where it has none."""
        return self.figures.get("real_score", self.score)

    @property
    def gate(self) -> str:
        """What the run's report says of its gate: `passed`, `failed ...`, or nothing."""
        for line in reversed(self.digest.splitlines()):
            if line.lstrip().startswith("GATE "):
                return line.strip().removeprefix("GATE ").strip()
        return ""

    @property
    def call(self) -> str:
        """In words, which call of the regression it is; empty for any other run."""
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


class Standing(msgspec.Struct):
    """The latest entry of a call, the one before it that had a figure, and if its text is that of today."""

    call: str
    last: Entry
    before: Entry | None
    same_text: bool

    @property
    def change(self) -> float | None:
        """Of the figure, since the entry before."""
        if self.before is None or self.last.figure is None or self.before.figure is None:
            return None
        return self.last.figure - self.before.figure

    @property
    def trouble(self) -> str:
        """Why this has to be seen to first; empty if it has not."""
        broken = [
            f"{day.name}: {rule}"
            for day in self.last.days
            for rule, times in sorted((day.rules or {}).items())
            if times
        ]
        if broken:
            return "rule broken, " + ", ".join(broken)
        if self.last.gate.startswith("failed"):
            return "gate " + self.last.gate
        if not self.last.ok:
            return self.last.error or "the run is void"
        # guards: each seed of brink is other days, of which the rules count and no figure
        if not self.call.startswith("brink") and self.change is not None and self.change < -FALL:
            return f"fell by {-self.change:.3f}"
        return ""


def entries(folder: Path) -> list[Entry]:
    """All entries of a journal, oldest first; those of other forms of the bench are passed over."""
    if not folder.is_dir():
        raise JournalError(f"{folder}: no such folder")
    decoder = msgspec.json.Decoder(Entry)
    found = []
    for path in sorted(folder.glob("*.json")):
        try:
            found.append(decoder.decode(path.read_bytes()))
        except (OSError, msgspec.MsgspecError) as error:
            raise JournalError(f"{path}: {error}") from error
    return sorted(found, key=lambda entry: entry.at[0])


def texts(root: Path, run: Iterable[Entry]) -> dict[str, str]:
    """The checksum that each file named in these entries has today; no entry for one that is gone."""
    paths = {text.path for entry in run for text in (*entry.policy, *entry.node)}
    return {p: sha256((root / p).read_bytes()).hexdigest() for p in sorted(paths) if (root / p).is_file()}


def standings(run: Iterable[Entry], today: Mapping[str, str]) -> list[Standing]:
    """The state of each call, in the order of their names; `run` oldest first.

    A run that was cut short before it knew its site counts as no call; one whose files were edited while it
    ran is passed over, since its figure is of no text; so are those of deployments that are closed.
    """
    calls: dict[str, list[Entry]] = {}
    for entry in run:
        if entry.call and not entry.edited_meanwhile and entry.site not in CLOSED:
            calls.setdefault(entry.call, []).append(entry)
    out = []
    for call in sorted(calls):
        *earlier, last = calls[call]
        before = next(
            (
                e
                for e in reversed(earlier)
                if e.figure is not None and (not call.startswith("brink") or e.panel == last.panel)
            ),
            None,
        )
        out.append(
            Standing(
                call,
                last,
                before,
                all(today.get(text.path) == text.sha256 for text in (*last.policy, *last.node)),
            )
        )
    return out


def table(state: Iterable[Standing]) -> str:
    """One line a call, plain text."""
    rows = [("call", "figure", "change", "gate", "text", "when (UTC)", "trouble")]
    for s in state:
        figure = "-" if s.last.figure is None else f"{s.last.figure:.3f}"
        change = "-" if s.change is None else f"{s.change:+.3f}"
        rows.append(
            (
                s.call,
                figure,
                change,
                s.last.gate.partition(" ")[0] or "-",
                "same" if s.same_text else "older",
                s.last.at[0].replace("T", " ").rstrip("Z"),
                s.trouble,
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
    help="The folder that the bench writes.",
)
def command(journal: Path) -> None:
    """Print the latest figure of each call; status 1 if one on the text of today has to be seen to first."""
    try:
        run = entries(journal)
        state = standings(run, texts(journal.resolve().parent, run))
    except JournalError as error:
        click.echo(f"ospreyline: {error}", err=True)
        sys.exit(2)
    click.echo(table(state))
    sys.exit(1 if any(s.trouble and s.same_text for s in state) else 0)
