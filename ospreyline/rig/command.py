"""`ospreyline rig`: the rig on the command line."""

from __future__ import annotations

import asyncio
import sys
import tempfile
from collections.abc import Callable
from functools import wraps
from pathlib import Path
from time import monotonic
from typing import Any

import click

from ospreyline.lab.words import ScenarioError
from ospreyline.rig import scenario as scenarios
from ospreyline.rig.hollow import scopes
from ospreyline.rig.scenario import Scenario

FOLDER = click.Path(file_okay=False, path_type=Path)


def _report_errors(call: Callable[..., None]) -> Callable[..., None]:
    """Report errors in one line: status 2 for bad input, 3 for a run that failed, 130 if interrupted."""

    @wraps(call)
    def wrapped(*args: Any, **kwargs: Any) -> None:
        from ospreyline.rig.run import RigError

        try:
            call(*args, **kwargs)
        except (ScenarioError, OSError) as error:
            click.echo(f"ospreyline: {error}", err=True)
            sys.exit(2)
        except RigError as error:  # the run could not be completed
            click.echo(f"ospreyline: {error}", err=True)
            sys.exit(3)
        except (KeyboardInterrupt, asyncio.CancelledError):
            click.echo("ospreyline: interrupted; all processes that it started have ended", err=True)
            sys.exit(130)

    return wrapped


def run_and_judge(
    scenario: Scenario,
    seed: int,
    out: Path,
    say: Callable[[str], None],
    live: Callable[[float, list[dict[str, int]]], None] | None = None,
) -> dict[str, Any]:
    """Run a scenario, judge it and write its records; returns its summary."""
    from ospreyline.rig import results
    from ospreyline.rig.referee import Referee
    from ospreyline.rig.run import RigRun, prepare, run_interruptible

    prepare(out)
    rig_run = RigRun(scenario, seed, out, say, live)
    rows = asyncio.run(run_interruptible(rig_run))
    referee = Referee(scenario, rig_run.speeds)
    breaches = referee.judge(rows)
    summary = results.summary(
        scenario, rows, breaches, referee.pushed, seed, rig_run.lag, rig_run.resource_usage
    )
    results.write(out, scenario, rows, breaches, summary, rig_run.injector.log, rig_run.start_ms)
    for problem in rig_run.problems:
        say(problem)
    for breach in breaches[:10]:
        say(
            f"{breach.at / 1e3:.3f} s {breach.rule}: {breach.what} ({breach.balancer or '-'}, "
            f"upstream {breach.upstream}, visit {breach.visit or '-'})"
        )
    if len(breaches) > 10:
        say(f"{len(breaches) - 10} further breaches in {out / 'breaches.jsonl'}")
    return summary


@click.group()
def rig() -> None:
    """Run many balancer processes on loopback, inject faults, and judge by the traffic on the wire."""


@rig.command(name="list")
@_report_errors
def list_scenarios() -> None:
    """List the shipped scenarios and the kinds of faults."""
    for name in scenarios.shipped_scenarios():
        found = scenarios.load(name)
        click.echo(
            f"{name:20} {found.bank.count:4} balancers {found.upstreams():3} upstreams "
            f"{found.day.seconds:4.0f} s  {found.about}"
        )
    click.echo()
    for kind, what in sorted(scenarios.FAULTS.items()):
        click.echo(f"  {kind:16} {what}")


@rig.command()
@click.argument("scenario")
@click.option("--seed", default=1, show_default=True, help="Seed of all random choices.")
@click.option("--out", type=FOLDER, help="Folder for rows, logs and records; else a new temporary one.")
@_report_errors
def run(scenario: str, seed: int, out: Path | None) -> None:
    """Run SCENARIO, a file or the name of a shipped one; status 1 if a rule was broken."""
    from ospreyline.rig import results

    found = scenarios.load(scenario)
    folder = out or Path(tempfile.mkdtemp(prefix="ospreyline-rig-"))
    started = monotonic()
    figures = run_and_judge(found, seed, folder, lambda text: click.echo(text, err=True))
    click.echo(results.table(figures))
    click.echo(f"  {monotonic() - started:.1f} s; records in {folder}")
    sys.exit(1 if any(figures["breaches"].values()) else 0)


@rig.command()
@click.option("--seeds", default="1:3", show_default=True, help="FIRST:LAST, both included.")
@click.option(
    "--ends", is_flag=True, help="Scenarios in which writes of the list service are lost in all ways."
)
@click.option("--out", type=FOLDER, help="Folder for rows, logs and records; else a new temporary one.")
@_report_errors
def soak(seeds: str, ends: bool, out: Path | None) -> None:
    """Run random scenarios, each with a rolling release and overlapping faults; status 1 if one fails."""
    from ospreyline.rig import soak as soak_test

    first, _, last = seeds.partition(":")
    if not (first.isdigit() and (last or first).isdigit()):
        raise ScenarioError(f"--seeds: {seeds!r} is not FIRST:LAST")
    failed = void = 0
    for seed in range(int(first), int(last or first) + 1):
        folder = out / str(seed) if out else Path(tempfile.mkdtemp(prefix="ospreyline-soak-"))
        found = soak_test.random_loss_scenario(seed) if ends else soak_test.random_scenario(seed)
        reports: list[str] = []
        outcome = soak_test.judge_outcome(seed, found, run_and_judge(found, seed, folder, reports.append))
        failed, void = failed + outcome.failed, void + outcome.void
        verdict = "void" if outcome.void else "RED" if outcome.failed else "kept"
        click.echo(
            f"seed {seed:4} {verdict:4} {found.bank.count} balancers, {len(outcome.plan)} faults, "
            f"rig late {outcome.lag:.0f} ms {outcome.breaches or ''}"
        )
        if outcome.failed:
            click.echo("\n".join(["  " + line for line in (*outcome.plan, *reports)]))
            command = f"ospreyline rig soak{' --ends' if ends else ''} --seeds {seed}:{seed}"
            click.echo(f"  repeat: {command}; records in {folder}")
    click.echo(f"{failed} red, {void} void")
    sys.exit(1 if failed else 0)


@rig.command()
@click.option("--count", default=3, show_default=True, help="Processes to start at once.")
@click.option(
    "--list",
    "state",
    default="up",
    show_default=True,
    help="State of the list service.",
    type=click.Choice(("up", "slow", "hang", "down", "back", "each")),
)
@click.option("--known/--no-known", default=True, show_default=True, help="Start with or without a list.")
@click.option("--pushed", is_flag=True, help="The settings say that the list is pushed.")
@click.option("--must-ask-s", default=10.0, show_default=True)
@click.option("--within", default=10.0, show_default=True, help="s within which nine in ten must be ready.")
@click.option("--seconds", default=30.0, show_default=True, help="s to wait at most.")
@click.option("--seed", default=1, show_default=True)
@_report_errors
def ready(
    count: int,
    state: str,
    known: bool,
    pushed: bool,
    must_ask_s: float,
    within: float,
    seconds: float,
    seed: int,
) -> None:
    """Measure the time from exec to ready of processes started at once; status 1 if over 10 % are late."""
    from ospreyline.rig import ready as starts

    late = False
    click.echo(
        f"{count} at once, {'with' if known else 'without'} a list, "
        f"{'pushed' if pushed else 'asked for'}; {starts.HEADER}"
    )
    for one in starts.STATES if state == "each" else (state,):
        out = Path(tempfile.mkdtemp(prefix="ospreyline-ready-"))
        found = starts.measure(count, one, out, known, pushed, must_ask_s, seconds, seed)
        click.echo(starts.line(one, found))
        late = late or starts.share([start.ready for start in found], 0.9) > within
    sys.exit(late)


@rig.command()
@click.argument("folder", type=FOLDER)
@_report_errors
def members(folder: Path) -> None:
    """Summarise how the balancers of a run saw each other; status 1 if a live one was declared dead."""
    from ospreyline.rig.fleetlog import report

    found = report(folder)
    click.echo(", ".join(f"{key.replace('_', ' ')} {value}" for key, value in found.items()))
    sys.exit(1 if found["wrong_deaths"] else 0)


@rig.command()
@click.argument("folder", type=FOLDER)
@_report_errors
def news(folder: Path) -> None:
    """Summarise how long list changes took to reach all balancers; status 1 if one never did."""
    from ospreyline.rig.fleetlog import news as report

    found = report(folder)
    click.echo(", ".join(f"{key.replace('_', ' ')} {value}" for key, value in found.items()))
    sys.exit(1 if found["never"] else 0)


@rig.command()
@click.option("--seed", default=1, show_default=True)
@click.option("--out", type=FOLDER, help="Folder for rows, logs and records; else a new temporary one.")
@_report_errors
def demo(seed: int, out: Path | None) -> None:
    """Show a live run in which one of three zones is lost and comes back."""
    from rich.console import Console
    from rich.live import Live
    from rich.table import Table

    from ospreyline.rig import results

    found = scenarios.load("demo")
    folder = out or Path(tempfile.mkdtemp(prefix="ospreyline-rig-"))
    lost = next(fault for fault in found.faults if fault.kind == "zone-loss")
    rows: list[list[str]] = []

    def state(at: float) -> str:
        if at < lost.at_s:
            return "all is well"
        if at < lost.at_s + lost.for_s:
            return f"zone {lost.zone} is lost"
        return f"zone {lost.zone} is back, cold"

    def drawn() -> Table:
        table = Table(title="first tries by half seconds")
        for name in ("s", "", *(f"zone {z}: in time / late / failed" for z in found.zones.names), "bounced"):
            table.add_column(name, justify="right")
        for row in rows[-20:]:
            table.add_row(*row)
        return table

    console = Console()
    with Live(drawn(), console=console, refresh_per_second=4) as display:

        def live(at: float, zones: list[dict[str, int]]) -> None:
            cells = [f"{z.get('in time', 0)} / {z.get('late', 0)} / {z.get('failed', 0)}" for z in zones]
            rows.append([f"{at:.1f}", state(at), *cells, str(sum(z.get("bounced", 0) for z in zones))])
            display.update(drawn())

        figures = run_and_judge(found, seed, folder, lambda text: console.print(text, highlight=False), live)
    click.echo(results.table(figures))
    click.echo(f"  records in {folder}; draw them with: lab plot {folder}")
    sys.exit(1 if any(figures["breaches"].values()) else 0)


@rig.group()
def scale() -> None:
    """Measure how costs grow with size."""


PARTS = ("rank", "upstreams", "whole", "routes", "members", "calls", "pass")


@scale.command()
@click.option("--part", "parts", multiple=True, type=click.Choice(PARTS), help="Only this part; repeatable.")
@click.option(
    "--upstreams",
    multiple=True,
    type=click.IntRange(1, 400_000),
    default=(100, 5_000, 50_000, 200_000),
    show_default=True,
)
@click.option(
    "--routes",
    multiple=True,
    type=click.IntRange(1, 400_000),
    default=(100, 1_000, 10_000, 60_000),
    show_default=True,
)
@click.option(
    "--members",
    multiple=True,
    type=click.IntRange(30, 50_000),
    default=(70, 700, 4_096, 7_000),
    show_default=True,
)
@click.option(
    "--balancers", multiple=True, type=click.IntRange(2, 50_000), default=(70, 700, 7_000), show_default=True
)
@click.option(
    "--listeners", multiple=True, type=click.IntRange(1, 512), default=(10, 100, 350, 512), show_default=True
)
@click.option(
    "--seconds", default=8.0, show_default=True, help="Duration of each measurement of an idle process."
)
@click.option("--rate", default=171.0, show_default=True, help="Requests a second; 0: none.")
@click.option("--calls-per-s", default=200.0, show_default=True, help="Capacity of the list service.")
@click.option(
    "--data",
    type=click.Path(dir_okay=False, path_type=Path),
    help="Data file to write the slopes into; values that are not measured stay.",
)
@click.option(
    "--plot", "drawn", type=click.Path(dir_okay=False, path_type=Path), help="Picture file to draw."
)
@_report_errors
def slopes(
    parts: tuple[str, ...],
    upstreams: tuple[int, ...],
    routes: tuple[int, ...],
    members: tuple[int, ...],
    balancers: tuple[int, ...],
    listeners: tuple[int, ...],
    seconds: float,
    rate: float,
    calls_per_s: float,
    data: Path | None,
    drawn: Path | None,
) -> None:
    """Measure what one balancer uses, by the size of its list and bank; docs/CAPACITY.md uses the file."""
    import tomllib
    from datetime import date

    from rich.console import Console
    from rich.progress import BarColumn, Progress, TextColumn, TimeElapsedColumn

    from ospreyline.rig import scale as scaling
    from ospreyline.rig import slopefile

    before = tomllib.loads(data.read_text("utf-8")) if data is not None and data.exists() else {}
    sizes = {
        "upstreams": upstreams,
        "routes": routes,
        "members": members,
        "balancers": balancers,
        "listeners": listeners,
    }
    chosen = tuple(part for part in scaling.PARTS if part in (parts or scaling.PARTS))
    console = Console(stderr=True)
    with Progress(
        TextColumn("{task.description:24}"), BarColumn(), TimeElapsedColumn(), console=console
    ) as progress:
        task = progress.add_task("", total=len(list(scaling.steps(sizes, chosen))) + 1)

        def step(what: str) -> None:
            progress.update(task, description=what, advance=1)

        try:
            measured = asyncio.run(
                scaling.measured(
                    sizes,
                    chosen,
                    seconds,
                    rate,
                    calls_per_s,
                    lambda text: progress.console.print(text, highlight=False),
                    step,
                )
            )
        except scaling.ScaleError as error:
            click.echo(f"ospreyline: {error}", err=True)
            sys.exit(3)
    command = "ospreyline rig scale slopes" + "".join(f" --part {part}" for part in parts)
    found = slopefile.merged(
        before, measured.points, measured.reference, date.today().isoformat(), command, slopefile.machine()
    )
    text = slopefile.toml(found)
    if data is None:
        click.echo(text, nl=False)
    else:
        data.write_text(text, "utf-8")
    if drawn is not None:
        slopefile.plot(found, drawn)


@scale.command()
@click.option(
    "--upstreams",
    multiple=True,
    type=click.IntRange(10, 20_000),
    default=(100, 800, 1_600, 3_200),
    show_default=True,
)
@_report_errors
def stalls(upstreams: tuple[int, ...]) -> None:
    """Measure for how long (ms) no request is read while the list changes, as a table."""
    from ospreyline.rig import stalls as measuring

    found = {count: asyncio.run(measuring.measure(count)) for count in upstreams}
    click.echo(measuring.table(found))


@scale.command()
@click.argument("data", type=click.Path(dir_okay=False, exists=True, path_type=Path))
@click.argument("picture", type=click.Path(dir_okay=False, path_type=Path))
@_report_errors
def plot(data: Path, picture: Path) -> None:
    """Draw the slopes of a data file."""
    import tomllib

    from ospreyline.rig import slopefile

    slopefile.plot(tomllib.loads(data.read_text("utf-8")), picture)


@scale.command(name="scoped")
@click.argument("data", type=click.Path(dir_okay=False, exists=True, path_type=Path))
@click.argument("runs", nargs=-1, required=True, type=click.Path(dir_okay=False, exists=True, path_type=Path))
@click.option("--command", "made_by", required=True, help="Command that made the runs, noted in the file.")
@click.option("--machine", "made_on", help="Class of machine of the runs; else this one.")
@_report_errors
def scoped(data: Path, runs: tuple[Path, ...], made_by: str, made_on: str | None) -> None:
    """Write the slopes of scoped subscriptions into DATA, from the results (JSON) of hollow RUNS."""
    import json
    import tomllib
    from datetime import date

    from ospreyline.rig import slopefile

    try:
        points = slopefile.scoped([json.loads(run.read_text("utf-8")) for run in runs])
    except (KeyError, TypeError, ValueError) as error:
        raise ScenarioError(f"no figures of a hollow run: {error!r}") from error
    found = slopefile.merged(
        tomllib.loads(data.read_text("utf-8")),
        points,
        [],
        date.today().isoformat(),
        made_by,
        made_on or slopefile.machine(),
    )
    data.write_text(slopefile.toml(found), "utf-8")


@rig.command()
@click.argument("listen", default="127.0.0.1:9001")
@click.option("--work", default=5.0, show_default=True, help="CPU time of a request in ms.")
@_report_errors
def upstream(listen: str, work: float) -> None:
    """Run one stand-in upstream at LISTEN until Ctrl-C, to try a balancer by hand."""
    from ospreyline import config
    from ospreyline.rig.upstreams import alone

    at = config.parse_address(listen)
    if at is None:
        raise ScenarioError(f"{listen}: no address such as 127.0.0.1:9001")
    if not 0 < work < 60_000:
        raise ScenarioError(f"--work: {work:g} is no time of a request")
    asyncio.run(alone(at, work, lambda where: click.echo("listening on {}:{}".format(*where))))


scale.add_command(scopes)
