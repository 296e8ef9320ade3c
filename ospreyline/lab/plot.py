"""Plots of a run or a sweep: PNG files and one self-contained HTML page."""

from __future__ import annotations

import base64
from collections.abc import Callable, Mapping, Sequence
from html import escape
from io import BytesIO
from pathlib import Path
from typing import Any

import matplotlib

matplotlib.use("Agg")

from matplotlib import pyplot as plt
from matplotlib.axes import Axes
from matplotlib.figure import Figure

from ospreyline.lab import records
from ospreyline.lab.compare import figure as figure_of
from ospreyline.lab.compare import interval
from ospreyline.lab.sweep import by_settings, read

OUTCOME_COLOURS = {"in time": "#3a7d44", "late": "#e0a030", "failed": "#b03030"}


def _page(
    title: str, parts: Sequence[tuple[str, bytes]], table: Mapping[str, Any], notes: Sequence[str]
) -> str:
    rows = "".join(f"<tr><th>{escape(str(k))}</th><td>{escape(str(v))}</td></tr>" for k, v in table.items())
    images = "".join(
        f'<h2>{escape(name)}</h2><img alt="{escape(name)}" src="data:image/png;base64,'
        f'{base64.b64encode(png).decode()}">'
        for name, png in parts
    )
    paragraphs = "".join(f"<p>{escape(note)}</p>" for note in notes)
    return (
        f"<!doctype html><html lang=en><meta charset=utf-8><title>{escape(title)}</title>"
        "<style>body{font:15px sans-serif;margin:2em;max-width:75em}img{max-width:100%}"
        "th{text-align:left;padding-right:2em;font-weight:normal;color:#555}</style>"
        f"<h1>{escape(title)}</h1>{paragraphs}<table>{rows}</table>{images}</html>\n"
    )


def _render(draw: Callable[[Figure], None], height: float = 3.4) -> bytes:
    """PNG data of a figure `height` inches high."""
    figure = plt.figure(figsize=(11, height), layout="constrained")
    draw(figure)
    buffer = BytesIO()
    figure.savefig(buffer, dpi=90, metadata={"Software": None})
    plt.close(figure)
    return buffer.getvalue()


def _shade(axes: Axes, faults: Sequence[Mapping[str, Any]]) -> None:
    """Shades the time spans of the faults and labels them at the top."""
    for fault in faults:
        axes.axvspan(fault["from"], fault["to"], color="#888888", alpha=0.13, lw=0)
        axes.text(
            fault["from"],
            1.0,
            " " + fault["kind"],
            transform=axes.get_xaxis_transform(),
            va="top",
            fontsize=7,
            color="#444444",
        )


def run_plots(folder: Path) -> list[tuple[str, bytes]]:
    """The plots of one run, as titles and PNG data: outcomes, latency, load, balancers' estimates."""
    time = list(records.read_rows(folder, "time"))
    servers = list(records.read_rows(folder, "servers"))
    if not time:
        raise records.RecordError(f"{folder}: no window was recorded")
    most = max(row["wanted"] for row in time)
    time = [row for row in time if row["wanted"] >= 0.05 * most]  # not the windows after the load has ended
    faults = list(records.read_rows(folder, "faults")) if (folder / "faults.jsonl").exists() else []
    t = [row["t"] for row in time]

    def outcomes(figure: Figure) -> None:
        left, right = figure.subplots(1, 2)
        parts = [[row[k] for row in time] for k in ("in_time", "late", "failed")]
        left.stackplot(t, *parts, labels=list(OUTCOME_COLOURS), colors=list(OUTCOME_COLOURS.values()))
        left.set(xlabel="s", ylabel="first tries by window", title="by how they ended")
        left.legend(loc="lower left", fontsize=8)
        share = [row["gain"] / row["asked"] if row["asked"] else float("nan") for row in time]
        right.plot(t, share, color="#3a7d44", label="gain / asked")
        wanted = [max(1, row["wanted"]) for row in time]
        for name, colour in (("fetches", "#30507d"), ("bounced", "#b03030"), ("crossed", "#8050a0")):
            right.plot(
                t,
                [row[name] / w for row, w in zip(time, wanted, strict=True)],
                lw=0.9,
                color=colour,
                label=f"{name} a first try",
            )
        right.set(xlabel="s", ylim=(0, None), title="shares")
        right.legend(fontsize=8)
        for axes in (left, right):
            _shade(axes, faults)

    def latency(figure: Figure) -> None:
        axes = figure.subplots()
        for name in ("p50", "p90", "p99"):
            axes.plot(t, [row[name] or float("nan") for row in time], label=name)
        axes.set(xlabel="s", ylabel="ms", yscale="log", title="latency of delivered visits")
        axes.legend(fontsize=8)
        _shade(axes, faults)

    def load(figure: Figure) -> None:
        left, right = figure.subplots(1, 2)
        zones = sorted({row["zone"] for row in servers})
        for zone in zones:
            sums: dict[float, list[float]] = {}
            for row in servers:
                if row["zone"] == zone:
                    sums.setdefault(row["t"], []).append(row["done"])
            left.plot(list(sums), [sum(v) for v in sums.values()], label=zone)
        left.set(xlabel="s", ylabel="visits done by window", title="load by zone")
        left.legend(fontsize=8)
        _shade(left, faults)
        numbers = sorted({row["server"] for row in servers})
        times = sorted({row["t"] for row in servers})
        place = {number: i for i, number in enumerate(numbers)}
        at = {when: i for i, when in enumerate(times)}
        grid = [[float("nan")] * len(times) for _ in numbers]
        for row in servers:
            if row["up"]:
                grid[place[row["server"]]][at[row["t"]]] = row["held"]
        image = right.imshow(
            grid,
            aspect="auto",
            origin="lower",
            interpolation="nearest",
            cmap="viridis",
            extent=(times[0], times[-1], -0.5, len(numbers) - 0.5),
        )
        figure.colorbar(image, ax=right, label="held")
        right.set(xlabel="s", ylabel="server", title="held by each server (white: not up)")

    parts = [("Outcomes", _render(outcomes)), ("Latency", _render(latency)), ("Load", _render(load, 4.2))]
    if (folder / "beliefs.jsonl").exists():
        parts.append(
            (
                "What the balancers believed, and what was so",
                _render(_plot_estimates(folder, servers, faults), 4.0),
            )
        )
    return parts


def _plot_estimates(
    folder: Path, servers: Sequence[Mapping[str, Any]], faults: Sequence[Mapping[str, Any]]
) -> Callable[[Figure], None]:
    beliefs = list(records.read_rows(folder, "beliefs"))

    def draw(figure: Figure) -> None:
        left, right = figure.subplots(1, 2)
        for zone in sorted({row["zone"] for row in beliefs}):
            zone_rows = [row for row in beliefs if row["zone"] == zone]
            left.plot(
                [row["t"] for row in zone_rows],
                [row["latency"] for row in zone_rows],
                label=f"{zone}, believed ms",
            )
        first = beliefs[0]["zone"]
        zone_rows = [row for row in beliefs if row["zone"] == first]
        left.plot(
            [row["t"] for row in zone_rows],
            [1e3 * row["short"] for row in zone_rows],
            "k:",
            lw=1,
            label="short of room, share x 1000",
        )
        left.set(xlabel="s", title="latency believed by zone", ylim=(0, None))
        left.legend(fontsize=7)
        warm: dict[float, list[float]] = {}
        slow: dict[float, list[float]] = {}
        for row in servers:
            if row["up"]:
                warm.setdefault(row["t"], []).append(row["warmth"])
                slow.setdefault(row["t"], []).append(float(row["slow"] > 1))
        right.plot(list(warm), [sum(v) / len(v) for v in warm.values()], label="warmth of servers, mean")
        right.plot(list(slow), [sum(v) / len(v) for v in slow.values()], label="share that is slow")
        right.set(xlabel="s", ylim=(0, 1.05), title="the servers as they were")
        right.legend(fontsize=8)
        for axes in (left, right):
            _shade(axes, faults)

    return draw


def sweep_plots(rows: Sequence[Mapping[str, Any]], name: str) -> list[tuple[str, bytes]]:
    """A plot of one figure over the key that varies most, a line for each arm, 95% bootstrap intervals."""
    varied = _most_varied_key(rows)
    names = sorted({row["arm"] for row in rows})

    def draw(figure: Figure) -> None:
        axes = figure.subplots()
        for arm in names:
            xs, ys, lows, highs = [], [], [], []
            for settings, group in by_settings([row for row in rows if row["arm"] == arm]):
                values = [figure_of(row, name) for row in group]
                mean = sum(values) / len(values)
                low, high = interval(values) if len(values) > 1 else (mean, mean)
                xs.append(settings.get(varied, 0) if varied else 0)
                ys.append(mean)
                lows.append(mean - low)
                highs.append(high - mean)
            axes.errorbar(xs, ys, yerr=[lows, highs], marker="o", ms=4, capsize=3, label=arm)
        axes.set(xlabel=varied or "", ylabel=name, title=f"{name} by {varied or 'arm'}")
        numbers = [row["settings"].get(varied) for row in rows] if varied else []
        if (
            numbers
            and all(isinstance(x, int | float) and x > 0 for x in numbers)
            and max(numbers) >= 20 * min(numbers)
        ):
            axes.set_xscale("log")
        axes.legend(fontsize=8)

    return [(name, _render(draw, 4.2))]


def _most_varied_key(rows: Sequence[Mapping[str, Any]]) -> str:
    """The key that takes the most values; empty if the rows have no settings."""
    values: dict[str, set[str]] = {}
    for row in rows:
        for path, value in row["settings"].items():
            values.setdefault(path, set()).add(str(value))
    return max(values, key=lambda path: len(values[path])) if values else ""


def plot(folder: Path, figures: Sequence[str] = ("net_gain",)) -> list[Path]:
    """Plots the run or sweep in a folder; the paths of the files written, the page last."""
    notes: list[str] = []
    if (folder / "time.jsonl").exists():
        summary = records.read_json(folder, "summary")
        parts = run_plots(folder)
        title = f"{summary['name']}, seed {summary['seed']}, {summary['arm']}"
        table = {k: v for k, v in summary.items() if not isinstance(v, dict)}
        table |= {f"breaches of {rule}": n for rule, n in summary["breaches"].items()}
    else:
        rows = read(folder)
        try:
            parts = [part for name in figures for part in sweep_plots(rows, name)]
        except KeyError as error:
            raise records.RecordError(f"{folder}: no figure {error.args[0]!r} in its rows") from error
        title = f"{rows[0]['summary']['name']}: a sweep of {len(rows)} runs"
        table = {}
        for arm in sorted({row["arm"] for row in rows}):
            for settings, group in by_settings([row for row in rows if row["arm"] == arm]):
                words = ", ".join(f"{k} {v}" for k, v in settings.items())
                table[f"{arm}, {words}" if words else arm] = ", ".join(
                    f"{name} {sum(figure_of(r, name) for r in group) / len(group):.4f}" for name in figures
                )
        broken = sum(sum(row["summary"]["breaches"].values()) for row in rows)
        notes.append(f"{broken} breaches of the rules in all of these runs.")
    written = []
    try:
        for name, png in parts:
            path = folder / ("".join(c if c.isalnum() else "-" for c in name.lower()).strip("-") + ".png")
            path.write_bytes(png)
            written.append(path)
        page = folder / "index.html"
        page.write_text(_page(title, parts, table, notes), "utf-8")
    except OSError as error:
        raise records.RecordError(f"{folder}: {error.strerror}") from error
    return [*written, page]
