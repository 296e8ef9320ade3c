"""`ospreyline capacity`: the table for a size, and the budget that is exceeded first."""

from __future__ import annotations

import sys
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import click
import msgspec

from ospreyline.capacity import model
from ospreyline.capacity.model import Part, Row
from ospreyline.capacity.size import ASSUMED_KEYS, SCALED_KEYS, Size, SizeError, load
from ospreyline.capacity.slopes import Slope
from ospreyline.capacity.slopes import load as load_slopes

NOT_MEASURED = "not measured"
BEGIN, END = "<!-- {} -->", "<!-- end of {} -->"
SECTIONS = ("first", "size", "roles", "parts", "hours", "slopes")


def format_figure(value: float | None) -> str:
    """Three significant digits, with thousands separators."""
    if value is None:
        return NOT_MEASURED
    if value >= 1_000:
        digits = len(str(int(value))) - 3
        return f"{round(value, -digits):,.0f}"
    return f"{value:.3g}"


def format_exact(value: float) -> str:
    return f"{value:,.12g}"


def describe_limit(size: Size, factor: float) -> str:
    """The size up to which a budget is kept, in words."""
    if factor <= 0:
        return "no size"
    if factor >= 0.99 * model.MAX_FACTOR:
        return "any size"
    share = (
        f"{format_figure(factor)} of the size" if factor < 1 else f"{format_figure(factor)} times the size"
    )
    return (
        f"{share}: {format_figure(factor * size.upstreams)} upstreams, "
        f"{format_figure(factor * size.routes)} routes, "
        f"{format_figure(factor * size.balancers)} balancers"
    )


def describe_budget(row: Row) -> str:
    return "" if row.budget is None else f"{format_exact(row.budget)} ({row.budget_name})"


def describe_source(part: Part) -> str:
    """How the figure of a part was determined."""
    if part.value is None:
        return f"{part.slope}: {NOT_MEASURED}" if part.slope else part.mechanism
    if not part.slope:
        return "counted"
    how = "extrapolated from" if part.extrapolated else "measured to"
    return f"{part.slope} at {format_figure(part.size)}, {how} {format_figure(part.measured_to)}"


def verdict(row: Row) -> str:
    if row.value is None:
        return NOT_MEASURED
    if row.budget is None:
        return ""
    return "broken" if row.over_budget else "kept"


class Report:
    """All that is printed for a size."""

    def __init__(self, size: Size, slopes: dict[str, Slope]) -> None:
        self.size, self.slopes = size, slopes
        self.rows = model.rows(size, slopes)
        self.budget_limits = model.budget_limits(size, slopes)
        self.over_budget = list(model.over_budget_rows(size, slopes))

    def lines(self, section: str) -> Iterator[str]:
        """A section of the documentation page, in Markdown: calls `_<section>`."""
        yield from getattr(self, f"_{section}")()

    def headline(self) -> str:
        """The budget that is exceeded first, preceded by those that are exceeded at any size."""
        flat = [(row, factor) for row, factor in self.over_budget if row.design == model.FLAT]
        if not flat:
            return "No budget breaks at this size."
        never_kept = [row for row, factor in flat if factor <= 0]
        sentences = [
            f"Kept at no size: {row.role}, {row.quantity}: {format_figure(row.value)} {row.unit} where "
            f"{describe_budget(row)} is allowed."
            for row in never_kept
        ]
        for row, factor in flat[len(never_kept) :][:1]:
            sentences.append(
                f"Breaks first: {row.role}, {row.quantity}: {format_figure(row.value)} {row.unit} where "
                f"{describe_budget(row)} is allowed, most of it for {row.largest.mechanism}; it lasts to "
                f"{describe_limit(self.size, factor)}."
            )
        return " ".join(sentences)

    def _first(self) -> Iterator[str]:
        yield self.headline()
        yield ""
        yield from markdown_table(
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
                    f"{row.quantity}: {describe_budget(row)} {row.unit}",
                    format_figure(row.value),
                    format_figure((row.value or 0) / (row.budget or 1)),
                    describe_limit(self.size, factor),
                    row.largest.mechanism,
                )
                for row, factor in self.over_budget
            ),
        )

    def _size(self) -> Iterator[str]:
        fields = msgspec.structs.asdict(self.size)
        yield from markdown_table(
            ("key", "value", ""),
            (
                (
                    f"`{key}`",
                    format_exact(value),
                    "grows" if key in SCALED_KEYS else "assumed" if key in ASSUMED_KEYS else "",
                )
                for key, value in fields.items()
            ),
        )

    def _roles(self) -> Iterator[str]:
        yield from self._rows_table(lambda row: row.role not in model.BAD_HOURS)

    def _hours(self) -> Iterator[str]:
        yield from self._rows_table(lambda row: row.role in model.BAD_HOURS)
        yield ""
        for row in self.rows:
            if row.role == model.CONTROL and row.value is not None and row.unit == "machines":
                go = model.spare_machines(self.size, row)
                of = f"{self.size.control_machines:.0f}"
                words = f"{go} of {of} may go" if go >= 0 else f"{of} are too few, none may go"
                yield f"- {row.design}, {row.quantity}: {format_figure(row.value)}; {words}."

    def _rows_table(self, is_wanted: Any) -> Iterator[str]:
        yield from markdown_table(
            ("design", "role or hour", "quantity", "figure", "budget", "", "lasts to"),
            (
                (
                    row.design,
                    row.role,
                    row.quantity,
                    f"{format_figure(row.value)} {row.unit}" if row.value is not None else NOT_MEASURED,
                    describe_budget(row),
                    verdict(row),
                    describe_limit(self.size, self.budget_limits[row.key])
                    if row.key in self.budget_limits
                    else "",
                )
                for row in self.rows
                if is_wanted(row)
            ),
        )

    def _parts(self) -> Iterator[str]:
        yield from markdown_table(
            ("design", "role or hour", "quantity", "mechanism", "figure", "times the budget", "from"),
            (
                (
                    row.design,
                    row.role,
                    row.quantity,
                    part.mechanism,
                    f"{format_figure(part.value)} {row.unit}" if part.value is not None else NOT_MEASURED,
                    format_figure(part.value / row.budget) if part.value is not None and row.budget else "",
                    describe_source(part),
                )
                for row in self.rows
                for part in row.parts
            ),
        )

    def _slopes(self) -> Iterator[str]:
        yield from markdown_table(
            ("slope", "what", "unit", "by", "points", "date", "command", "machine", "reference, ms"),
            (
                (
                    f"`{name}`",
                    slope.about,
                    slope.unit,
                    slope.by,
                    ", ".join(f"{format_figure(x)}: {format_figure(y)}" for x, y in slope.points)
                    or NOT_MEASURED,
                    slope.date,
                    f"`{slope.command}`" if slope.command else "",
                    slope.machine,
                    " / ".join(format_figure(ms) for ms in slope.reference_ms),
                )
                for name, slope in self.slopes.items()
            ),
        )

    def data(self) -> dict[str, Any]:
        """The same content as JSON-compatible data."""
        return {
            "size": msgspec.structs.asdict(self.size),
            "headline": self.headline(),
            "breaks": [
                {"design": row.design, "role": row.role, "quantity": row.quantity, "times_the_size": factor}
                for row, factor in self.over_budget
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
                    "broken": row.over_budget if row.value is not None else None,
                    "lasts_to_times_the_size": self.budget_limits.get(row.key),
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
        """A page with the sections between its markers regenerated; `SizeError` without markers."""
        for section in SECTIONS:
            before, begin, rest = text.partition(BEGIN.format(section))
            _, end, after = rest.partition(END.format(section))
            if not end:
                raise SizeError(f"the page has no markers of {section!r}")
            text = f"{before}{begin}\n{chr(10).join(self.lines(section))}\n{end}{after}"
        return text


def markdown_table(headers: tuple[str, ...], rows: Any) -> Iterator[str]:
    yield "| " + " | ".join(headers) + " |"
    yield "| " + " | ".join("---" for _ in headers) + " |"
    for row in rows:
        yield "| " + " | ".join(row) + " |"


def align_columns(lines: Iterator[str]) -> Iterator[str]:
    """Turns Markdown table lines into aligned columns for a terminal."""
    collected = list(lines)
    cells = [line[2:-2].split(" | ") if line.startswith("|") else None for line in collected]
    rows = [row for row in cells if row is not None]
    count = max((len(row) for row in rows), default=0)
    widths = [max(len(row[i]) for row in rows if i < len(row)) for i in range(count)]
    for line, row in zip(collected, cells, strict=True):
        if row is None:
            yield line
        elif set("".join(row)) != {"-"}:
            yield "  ".join(cell.ljust(width) for cell, width in zip(row, widths, strict=False)).rstrip()


@click.command()
@click.option(
    "--size",
    "file",
    type=click.Path(dir_okay=False, path_type=Path),
    help="Size file (TOML); missing keys have the planned values.",
)
@click.option("--json", "as_json", is_flag=True, help="Print JSON.")
@click.option("--parts", is_flag=True, help="Also print the cost of each mechanism and its slope.")
@click.option(
    "--page",
    type=click.Path(dir_okay=False, exists=True, path_type=Path),
    hidden=True,
    help="Regenerate the tables between the markers of this page.",
)
def command(file: Path | None, as_json: bool, parts: bool, page: Path | None) -> None:
    """Print the cost of each role beside its budget; the budget that is exceeded first comes first."""
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
            for line in align_columns(report.lines(section)):
                click.echo(line)
