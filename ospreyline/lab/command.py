"""The commands of the simulator, `ospreyline lab`."""

from __future__ import annotations

import os
import sys
from collections.abc import Callable
from functools import wraps
from pathlib import Path
from time import perf_counter
from typing import Any

import click

from ospreyline.lab import scenario as scenarios
from ospreyline.lab.arms import HELP
from ospreyline.lab.records import RecordError
from ospreyline.lab.scenario import Scenario
from ospreyline.lab.words import ScenarioError

FIGURE = click.option(
    "--figure",
    "figures",
    multiple=True,
    default=("net_gain",),
    show_default=True,
    help="A figure of the summary, by dotted path.",
)
FOLDER = click.Path(file_okay=False, path_type=Path)
ARM = click.option("--arm", "arms", multiple=True, help=f"The arm to run: {HELP}. Default: ours.")
SET = click.option(
    "--set",
    "settings",
    multiple=True,
    metavar="KEY=VALUE",
    help="Set a key of the scenario by its dotted path, such as bank.count=30.",
)


def _reports_errors(call: Callable[..., None]) -> Callable[..., None]:
    """Reports an error in the input as one line on stderr, with exit status 2."""

    @wraps(call)
    def wrapped(*args: Any, **kwargs: Any) -> None:
        try:
            call(*args, **kwargs)
        except (ScenarioError, RecordError) as error:
            click.echo(f"ospreyline: {error}", err=True)
            sys.exit(2)

    return wrapped


def _load(name: str, settings: tuple[str, ...]) -> Scenario:
    """The scenario with the `--set` options applied."""
    from ospreyline.lab.sweep import parse_setting

    changes = {}
    for text in settings:
        path, values = parse_setting(text)
        if len(values) != 1:
            raise ScenarioError(f"{text}: one value is wanted here; `lab sweep` takes several")
        changes[path] = values[0]
    return scenarios.change(scenarios.load(name), changes)


def _summary_line(summary: dict[str, Any]) -> str:
    """The summary of a run as one line."""
    broken = {rule: n for rule, n in summary["breaches"].items() if n}
    return (
        f"{summary['arm']}, seed {summary['seed']}: gain {summary['gain']:.4f}, less crossing "
        f"{summary['net_gain']:.4f}, worst 10 s {summary['worst']:.3f}; of {summary['wanted']} first tries "
        f"{summary['in_time']:.1%} in time; p50 {summary['p50']:.1f} ms, p99 {summary['p99']:.1f} ms; "
        + (f"rules BROKEN: {broken}" if broken else "rules kept")
    )


@click.group()
def lab() -> None:
    """Test designs on a simulated fleet."""


@lab.command(name="list")
@_reports_errors
def list_them() -> None:
    """List the shipped scenarios."""
    for name, text in scenarios.shipped().items():
        found = scenarios.parse(text)
        servers = sum(group.count for group in found.servers)
        click.echo(
            f"{name:20} {found.bank.count:5} balancers {servers:4} servers {found.rate():7.0f} visits/s  "
            f"{found.about}"
        )


@lab.command()
@click.argument("scenario")
@SET
@_reports_errors
def show(scenario: str, settings: tuple[str, ...]) -> None:
    """Print all keys of SCENARIO with their values in force, as JSON."""
    import msgspec

    found = _load(scenario, settings)
    click.echo(msgspec.json.format(msgspec.json.encode(found)).decode())


@lab.command()
@click.argument("scenario", default="quiet")
@click.option("--seed", default=1, show_default=True, help="Seed of all random draws.")
@ARM
@SET
@click.option("--out", type=FOLDER, help="Folder for the records. Default: only print the summary.")
@click.option(
    "--visits",
    type=click.Choice(["none", "odd", "all"]),
    default="none",
    show_default=True,
    help="Which visits are recorded one by one; odd: those whose client was not served in time.",
)
@_reports_errors
def run(
    scenario: str, seed: int, arms: tuple[str, ...], settings: tuple[str, ...], out: Path | None, visits: str
) -> None:
    """Run SCENARIO once, a file or the name of a shipped one."""
    from ospreyline.lab.run import run_scenario

    found = _load(scenario, settings)
    names = arms or ("ours",)
    for arm in names:
        folder = out / arm.replace("/", "_").replace(":", "_") if out and len(names) > 1 else out
        begun = perf_counter()
        summary = run_scenario(found, seed, arm, folder, visits)
        click.echo(f"{_summary_line(summary)}; {perf_counter() - begun:.1f} s")
        if folder:
            click.echo(f"records in {folder}")


@lab.command()
@click.argument("scenario")
@click.option(
    "--out",
    type=FOLDER,
    required=True,
    help="Folder for the results; the same command resumes a stopped sweep.",
)
@click.option("--seeds", default=5, show_default=True, help="Number of seeds, counted from 1.")
@ARM
@click.option("--grid", "grids", multiple=True, metavar="KEY=V,V", help="A key and the values to try.")
@SET
@click.option("--jobs", default=0, help="Processes; 0: one for each core.")
@_reports_errors
def sweep(
    scenario: str,
    out: Path,
    seeds: int,
    arms: tuple[str, ...],
    grids: tuple[str, ...],
    settings: tuple[str, ...],
    jobs: int,
) -> None:
    """Run SCENARIO over a grid of keys, seeds and arms. After Ctrl-C the same command resumes."""
    from ospreyline.lab import sweep as sweeps

    base = _load(scenario, settings)
    cells = sweeps.grid(
        dict(sweeps.parse_setting(text) for text in grids), range(1, seeds + 1), arms or ("ours",)
    )
    sweeps.check_cells(base, cells)
    with click.progressbar(length=len(cells), label="runs", file=sys.stderr) as bar:

        def progress(done: int, total: int) -> None:
            bar.update(done - bar.pos)

        try:
            rows = sweeps.run(base, cells, out, jobs or os.cpu_count() or 1, progress)
        except KeyboardInterrupt:
            click.echo(f"\nstopped; what is done stands in {out}, the same call goes on from there", err=True)
            sys.exit(130)
    for settings_of, group in sweeps.by_settings(rows):
        if settings_of:
            click.echo(", ".join(f"{key} = {value}" for key, value in settings_of.items()))
        for arm in dict.fromkeys(row["arm"] for row in group):
            mine = [row["summary"] for row in group if row["arm"] == arm]
            broken = sum(sum(summary["breaches"].values()) for summary in mine)
            click.echo(
                f"  {arm:24} net gain {sum(s['net_gain'] for s in mine) / len(mine):.4f} "
                f"({min(s['net_gain'] for s in mine):.3f} to {max(s['net_gain'] for s in mine):.3f}), "
                f"{len(mine)} seeds, {broken} breaches"
            )


@lab.command()
@click.argument("a")
@click.argument("b")
@click.option(
    "--in", "folder", type=FOLDER, help="A sweep with the arms A and B. Default: A and B are folders."
)
@FIGURE
@_reports_errors
def compare(a: str, b: str, folder: Path | None, figures: tuple[str, ...]) -> None:
    """Compare B with A, paired by settings and seed."""
    from ospreyline.lab import compare as comparing
    from ospreyline.lab.sweep import read

    if folder:
        rows = read(folder)
        first, second = ([row for row in rows if row["arm"] == arm] for arm in (a, b))
        for arm, found in ((a, first), (b, second)):
            if not found:
                raise RecordError(
                    f"{folder}: no arm {arm!r}, it has {', '.join(sorted({r['arm'] for r in rows}))}"
                )
    else:
        first, second = read(Path(a)), read(Path(b))
    for name in figures:
        try:
            click.echo(comparing.paired(first, second, name).sentence(a, b))
        except KeyError as error:
            raise RecordError(f"no figure {error.args[0]!r} in the summaries") from error


@lab.command()
@click.argument("folder", type=FOLDER)
@FIGURE
@_reports_errors
def plot(folder: Path, figures: tuple[str, ...]) -> None:
    """Plot a run or a sweep: PNG files and one page, index.html."""
    from ospreyline.lab.plot import plot as draw

    for path in draw(folder, figures):
        click.echo(str(path))


@lab.command()
@click.argument("folder", type=FOLDER)
@click.argument("visit", type=int)
@_reports_errors
def explain(folder: Path, visit: int) -> None:
    """Show the course of one visit of a run that recorded its visits."""
    from ospreyline.lab.explain import explain as describe

    click.echo(describe(folder, visit))


@lab.command()
@click.option("--visits", default=200_000, show_default=True, help="Visits in each case.")
@click.option("--seed", default=1, show_default=True)
@_reports_errors
def theory(visits: int, seed: int) -> None:
    """Compare the simulated server with queueing theory; status 1 if a case does not agree."""
    from ospreyline.lab import theory as theories

    if visits < 40 * theories.BATCHES:
        raise ScenarioError(f"--visits: {visits} is too few for {theories.BATCHES} batches")
    click.echo(f"{'case':58} {'theory':>9} {'model':>9} {'error':>8} {'95% +-':>8}")
    all_agree = True
    verdicts = [theories.check_case(case, visits, seed) for case in theories.CASES]
    verdicts += [theories.check_littles_law(case, visits // 4, seed) for case in theories.CASES[:3]]
    for v in verdicts:
        all_agree = all_agree and v.holds
        click.echo(
            f"{v.name:58} {v.theory:9.4f} {v.model:9.4f} {v.error:+8.2%} {v.half_width:8.4f}"
            + ("" if v.holds else "  DOES NOT AGREE")
        )
    sys.exit(0 if all_agree else 1)


@lab.command()
@click.argument("scenario", default="large")
@click.option("--sizes", default="3,10,30,100,300,1000", show_default=True, help="Sizes of the bank.")
@click.option("--profile", is_flag=True, help="Profile one run of the scenario instead.")
@SET
@_reports_errors
def bench(scenario: str, sizes: str, profile: bool, settings: tuple[str, ...]) -> None:
    """Measure the speed of the simulator by the size of the bank."""
    from ospreyline.lab import speed

    found = _load(scenario, settings)
    if profile:
        click.echo(speed.profile(found))
        return
    if not all(word.isdigit() and int(word) for word in sizes.split(",")):
        raise ScenarioError(f"--sizes: {sizes!r} are no whole numbers")
    click.echo(speed.HEADER)
    for word in sizes.split(","):
        click.echo(speed.measure(found, int(word)).line())


@lab.command()
@click.option("--sizes", default="3,30,100,400,1000", show_default=True, help="Sizes of the bank.")
@click.option(
    "--calls-per-s", default=250.0, show_default=True, help="Calls that the list service can answer."
)
@click.option(
    "--down", default=0.0, show_default=True, help="Seconds for which the list service is down at first."
)
@click.option(
    "--boot", default=2.0, show_default=True, help="Seconds within which all processes have started."
)
@click.option("--seed", default=1, show_default=True)
@_reports_errors
def start(sizes: str, calls_per_s: float, down: float, boot: float, seed: int) -> None:
    """Simulate the list calls of a bank that starts at once, with and without the operator file's pacing."""
    from ospreyline.lab.start import HEADER, opening

    if not all(word.isdigit() and int(word) for word in sizes.split(",")):
        raise ScenarioError(f"--sizes: {sizes!r} are no whole numbers")
    if not calls_per_s > 0:
        raise ScenarioError(f"--calls-per-s: {calls_per_s:g} is no rate")
    click.echo(HEADER)
    for word in sizes.split(","):
        for paced in (False, True):
            click.echo(opening(int(word), calls_per_s, paced, down, boot, seed=seed).line())


@lab.command()
@click.option("--sizes", default="3,10,20,30,200,1000", show_default=True, help="Sizes of the bank.")
@click.option("--budgets", default="1,3,10,30,100", show_default=True, help="N: visits allowed in a window.")
@click.option("--shape", "shapes", multiple=True, help="Which balancers get the visits. Default: all shapes.")
@click.option("--without", default="", help="A part of the rule to leave out: means, half or chance.")
@click.option("--draws", default=50, show_default=True)
@click.option("--jobs", default=1, show_default=True, help="Processes.")
@_reports_errors
def cold(sizes: str, budgets: str, shapes: tuple[str, ...], without: str, draws: int, jobs: int) -> None:
    """Compare what all balancers together send to a cold server with N + 2 sqrt(N) + 2; status 1 if over.

    over: windows over the bound; broken: those of them with two thirds from balancers that knew of the
    start; most/N, used: the fullest window and the mean one.
    """
    from concurrent.futures import ProcessPoolExecutor
    from itertools import product, repeat

    from ospreyline.lab import cold as colds

    banks, most = sizes.split(","), budgets.split(",")
    if not all(word.isdigit() and int(word) for word in (*banks, *most)) or draws < 1 or jobs < 1:
        raise ScenarioError("--sizes, --budgets, --draws and --jobs take whole numbers from 1 on")
    for shape in shapes:
        if shape not in colds.SHAPES:
            raise ScenarioError(f"--shape: unknown {shape!r}, one of {', '.join(colds.SHAPES)}")
    if without and without not in colds.PARTS:
        raise ScenarioError(f"--without: unknown {without!r}, one of {', '.join(colds.PARTS)}")
    click.echo(colds.HEADER)
    broken = 0
    with ProcessPoolExecutor(jobs) as pool:
        grid = list(product(shapes or colds.SHAPES, map(int, banks), map(float, most)))
        for row in pool.map(colds.row, *zip(*grid, strict=True), *map(repeat, (draws, without))):
            broken += row.broken
            click.echo(row.line())
    sys.exit(1 if broken else 0)


@lab.command()
@click.option("--sizes", default="10,50,100,300", show_default=True, help="Sizes of the bank.")
@click.option("--loss", default=0.0, show_default=True, help="Share of messages that are lost.")
@click.option(
    "--seconds", default=60.0, show_default=True, help="Seconds of steady state before members are lost."
)
@click.option("--seed", default=1, show_default=True)
@_reports_errors
def mesh(sizes: str, loss: float, seconds: float, seed: int) -> None:
    """Measure membership: messages in steady state, time until a death is noticed, false deaths."""
    from ospreyline.lab.mesh import measured

    if not all(word.isdigit() and int(word) > 3 for word in sizes.split(",")):
        raise ScenarioError(f"--sizes: {sizes!r} are no whole numbers over 3")
    if not 0 <= loss < 1 or not seconds > 0:
        raise ScenarioError("--loss is a share under 1, --seconds is over 0")
    click.echo(
        f"{'bank':>6} {'messages/s':>10} {'bytes/s':>8} {'wrong':>6} {'noticed':>8} {'median s':>9} "
        f"{'99% s':>7}"
    )
    for word in sizes.split(","):
        m = measured(int(word), seed, loss, seconds)
        click.echo(
            f"{m['count']:6} {m['messages_s']:10.1f} {m['bytes_s']:8.0f} {m['wrong']:6} "
            f"{m['noticed']:8.1%} {m['median_s']:9.2f} {m['p99_s']:7.2f}"
        )
