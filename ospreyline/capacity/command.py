"""`ospreyline capacity`: the table for a size, and the budget that breaks first."""

from __future__ import annotations

import sys
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import click
import msgspec

from ospreyline.capacity import model
from ospreyline.capacity.model import Part, Row
from ospreyline.capacity.size import ASSUMED, GROWS, Size, SizeError, load
from ospreyline.capacity.slopes import Slope
from ospreyline.capacity.slopes import load as load_slopes

NOT_MEASURED = "not measured"
BEGIN, END = "<!-- {} -->", "<!-- end of {} -->"
SECTIONS = ("first", "size", "roles", "parts", "hours", "slopes")


def figure(value: float | None) -> str:
    """Three digits, with commas from a thousand on."""
    if value is None:
        return NOT_MEASURED
    if value >= 1_000:
        digits = len(str(int(value))) - 3
        return f"{round(value, -digits):,.0f}"
    return f"{value:.3g}"


def exact(value: float) -> str:
    return f"{value:,.12g}"


def lasts(size: Size, factor: float) -> str:
    """How far a budget lasts, in words."""
    if factor <= 0:
        return "no size"
    if factor >= 0.99 * model.GREATEST:
        return "any size"
    share = f"{figure(factor)} of the size" if factor < 1 else f"{figure(factor)} times the size"
    return (
        f"{share}: {figure(factor * size.upstreams)} upstreams, {figure(factor * size.routes)} routes, "
        f"{figure(factor * size.balancers)} balancers"
    )


def budget(row: Row) -> str:
    return "" if row.budget is None else f"{exact(row.budget)} ({row.budget_name})"


def source(part: Part) -> str:
    """Where a part's figure comes from."""
    if part.value is None:
        return f"{part.slope}: {NOT_MEASURED}" if part.slope else part.mechanism
    if not part.slope:
        return "counted"
    how = "extrapolated from" if part.extrapolated else "measured to"
    return f"{part.slope} at {figure(part.size)}, {how} {figure(part.measured_to)}"


def verdict(row: Row) -> str:
    if row.value is None:
        return NOT_MEASURED
    if row.budget is None:
        return ""
    return "broken" if row.broken else "kept"


class Report:
    """All that is printed of a size."""

    def __init__(self, size: Size, slopes: dict[str, Slope]) -> None:
        self.size, self.slopes = size, slopes
        self.rows = model.rows(size, slopes)
        self.breaking = model.breaking(size, slopes)
        self.first = list(model.first(size, slopes))

    def lines(self, section: str) -> Iterator[str]:
        """A section of the page, in Markdown."""
        yield from getattr(self, f"_{section}")()

    def headline(self) -> str:
        """The budget that breaks first; those that no size keeps are named before it."""
        flat = [(row, factor) for row, factor in self.first if row.design == model.FLAT]
        if not flat:
            return "No budget breaks at this size."
        never = [row for row, factor in flat if factor <= 0]
        said = [
            f"Kept at no size: {row.role}, {row.quantity}: {figure(row.value)} {row.unit} where "
            f"{budget(row)} is allowed."
            for row in never
        ]
        for row, factor in flat[len(never) :][:1]:
            said.append(
                f"Breaks first: {row.role}, {row.quantity}: {figure(row.value)} {row.unit} where "
                f"{budget(row)} is allowed, most of it for {row.largest.mechanism}; it lasts to "
                f"{lasts(self.size, factor)}."
            )
        return " ".join(said)

    def _first(self) -> Iterator[str]:
        yield self.headline()
        yield ""
        yield from table(
            (
                "design",
                "role or hour",
                "budget",
                "at this size",
                "times the budget",
                "lasts to",
                "most of it",
            ),
            (
                (
                    row.design,
                    row.role,
                    f"{row.quantity}: {budget(row)} {row.unit}",
                    figure(row.value),
                    figure((row.value or 0) / (row.budget or 1)),
                    lasts(self.size, factor),
                    row.largest.mechanism,
                )
                for row, factor in self.first
            ),
        )

    def _size(self) -> Iterator[str]:
        fields = msgspec.structs.asdict(self.size)
        yield from table(
            ("key", "value", ""),
            (
                (f"`{key}`", exact(value), "grows" if key in GROWS else "assumed" if key in ASSUMED else "")
                for key, value in fields.items()
            ),
        )

    def _roles(self) -> Iterator[str]:
        yield from self._table(lambda row: row.role not in model.EVENTS)

    def _hours(self) -> Iterator[str]:
        yield from self._table(lambda row: row.role in model.EVENTS)
        yield ""
        for row in self.rows:
            if row.role == model.CONTROL and row.value is not None and row.unit == "machines":
                go = model.may_go(self.size, row)
                of = f"{self.size.control_machines:.0f}"
                words = f"{go} of {of} may go" if go >= 0 else f"{of} are too few, none may go"
                yield f"- {row.design}, {row.quantity}: {figure(row.value)}; {words}."

    def _table(self, wanted: Any) -> Iterator[str]:
        yield from table(
            ("design", "role or hour", "quantity", "figure", "budget", "", "lasts to"),
            (
                (
                    row.design,
                    row.role,
                    row.quantity,
                    f"{figure(row.value)} {row.unit}" if row.value is not None else NOT_MEASURED,
                    budget(row),
                    verdict(row),
                    lasts(self.size, self.breaking[row.key]) if row.key in self.breaking else "",
                )
                for row in self.rows
                if wanted(row)
            ),
        )

    def _parts(self) -> Iterator[str]:
        yield from table(
            ("design", "role or hour", "quantity", "mechanism", "figure", "times the budget", "from"),
            (
                (
                    row.design,
                    row.role,
                    row.quantity,
                    part.mechanism,
                    f"{figure(part.value)} {row.unit}" if part.value is not None else NOT_MEASURED,
                    figure(part.value / row.budget) if part.value is not None and row.budget else "",
                    source(part),
                )
                for row in self.rows
                for part in row.parts
            ),
        )

    def _slopes(self) -> Iterator[str]:
        yield from table(
            ("slope", "what", "unit", "by", "points", "date", "command", "machine", "reference, ms"),
            (
                (
                    f"`{name}`",
                    slope.about,
                    slope.unit,
                    slope.by,
                    ", ".join(f"{figure(x)}: {figure(y)}" for x, y in slope.points) or NOT_MEASURED,
                    slope.date,
                    f"`{slope.command}`" if slope.command else "",
                    slope.machine,
                    " / ".join(figure(ms) for ms in slope.reference_ms),
                )
                for name, slope in self.slopes.items()
            ),
        )

    def data(self) -> dict[str, Any]:
        """The same, for programs."""
        return {
            "size": msgspec.structs.asdict(self.size),
            "headline": self.headline(),
            "breaks": [
                {"design": row.design, "role": row.role, "quantity": row.quantity, "times_the_size": factor}
                for row, factor in self.first
            ],
            "rows": [
                {
                    "design": row.design,
                    "role": row.role,
                    "quantity": row.quantity,
                    "unit": row.unit,
                    "value": row.value,
                    "budget": row.budget,
                    "budget_name": row.budget_name or None,
                    "broken": row.broken if row.value is not None else None,
                    "lasts_to_times_the_size": self.breaking.get(row.key),
                    "parts": [
                        {
                            "mechanism": part.mechanism,
                            "value": part.value,
                            "slope": part.slope or None,
                            "at": part.size if part.slope else None,
                            "measured_to": part.measured_to if part.slope else None,
                            "extrapolated": part.extrapolated,
                        }
                        for part in row.parts
                    ],
                }
                for row in self.rows
            ],
        }

    def page(self, text: str) -> str:
        """A page with the sections between its markers as they come out now."""
        for section in SECTIONS:
            before, begin, rest = text.partition(BEGIN.format(section))
            _, end, after = rest.partition(END.format(section))
            if not end:
                raise SizeError(f"the page has no markers of {section!r}")
            text = f"{before}{begin}\n{chr(10).join(self.lines(section))}\n{end}{after}"
        return text


def table(heads: tuple[str, ...], rows: Any) -> Iterator[str]:
    yield "| " + " | ".join(heads) + " |"
    yield "| " + " | ".join("---" for _ in heads) + " |"
    for row in rows:
        yield "| " + " | ".join(row) + " |"


def plain(lines: Iterator[str]) -> Iterator[str]:
    """A table in columns, for a terminal."""
    found = list(lines)
    cells = [line[2:-2].split(" | ") if line.startswith("|") else None for line in found]
    rows = [row for row in cells if row is not None]
    count = max((len(row) for row in rows), default=0)
    widths = [max(len(row[i]) for row in rows if i < len(row)) for i in range(count)]
    for line, row in zip(found, cells, strict=True):
        if row is None:
            yield line
        elif set("".join(row)) != {"-"}:
            yield "  ".join(cell.ljust(width) for cell, width in zip(row, widths, strict=False)).rstrip()


@click.command()
@click.option(
    "--size",
    "file",
    type=click.Path(dir_okay=False, path_type=Path),
    help="Your own size (TOML); what it leaves out is as planned.",
)
@click.option("--json", "as_json", is_flag=True, help="The same for programs.")
@click.option("--parts", is_flag=True, help="Each mechanism's part, and the slope it is worked out from.")
@click.option(
    "--page",
    type=click.Path(dir_okay=False, exists=True, path_type=Path),
    hidden=True,
    help="Write the tables of this page anew, between its markers.",
)
def command(file: Path | None, as_json: bool, parts: bool, page: Path | None) -> None:
    """What a size costs each role beside its budget; the budget that breaks first comes first."""
    try:
        report = Report(load(file), load_slopes())
        if page is not None:
            page.write_text(report.page(page.read_text("utf-8")), "utf-8")
            return
    except SizeError as error:
        click.echo(f"ospreyline: {error}", err=True)
        sys.exit(2)
    if as_json:
        click.echo(msgspec.json.format(msgspec.json.encode(report.data())).decode())
        return
    for title, section in (
        ("", "first"),
        ("An ordinary day", "roles"),
        ("Bad hours", "hours"),
        ("Parts", "parts"),
    ):
        if section != "parts" or parts:
            click.echo(f"\n{title}\n" if title else "", nl=bool(title))
            for line in plain(report.lines(section)):
                click.echo(line)
