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
from ospreyline.rig.scenario import Scenario

FOLDER = click.Path(file_okay=False, path_type=Path)


def _told(call: Callable[..., None]) -> Callable[..., None]:
    """What is wrong with the input comes out as one line, and status 2."""

    @wraps(call)
    def wrapped(*args: Any, **kwargs: Any) -> None:
        from ospreyline.rig.run import RigError

        try:
            call(*args, **kwargs)
        except ScenarioError as error:
            click.echo(f"ospreyline: {error}", err=True)
            sys.exit(2)
        except (RigError, OSError) as error:
            click.echo(f"ospreyline: {error}", err=True)
            sys.exit(3)
        except (KeyboardInterrupt, asyncio.CancelledError):
            click.echo("ospreyline: stopped; what it had started has ended", err=True)
            sys.exit(130)

    return wrapped


def played(found: Scenario, seed: int, out: Path, say: Callable[[str], None]) -> dict[str, Any]:
    """Play a scenario, judge it and write its records; its figures."""
    from ospreyline.rig import results
    from ospreyline.rig.referee import Referee
    from ospreyline.rig.run import Day, play, prepare

    prepare(out)
    day = Day(found, seed, out, say)
    rows = asyncio.run(play(day))
    referee = Referee(found, day.speeds)
    breaches = referee.judge(rows)
    figures = results.summary(found, rows, breaches, referee.pushed, seed, day.lag, day.used)
    results.write(out, found, rows, breaches, figures, day.script.log, day.begun)
    for problem in day.problems:
        say(problem)
    for breach in breaches[:10]:
        say(f"{breach.at / 1e3:.3f} s {breach.rule}: {breach.what} ({breach.balancer or '-'}, "
            f"upstream {breach.upstream}, visit {breach.visit or '-'})")
    if len(breaches) > 10:
        say(f"{len(breaches) - 10} further breaches in {out / 'breaches.jsonl'}")
    return figures


@click.group()
def rig() -> None:
    """Run many processes on loopback, break what lies between them, and judge what was on the wire."""


@rig.command(name="list")
@_told
def list_them() -> None:
    """Name the scenarios that come with it, and the words for faults."""
    for name in scenarios.shipped():
        found = scenarios.load(name)
        click.echo(f"{name:20} {found.bank.count:4} balancers {found.upstreams():3} upstreams "
                   f"{found.day.seconds:4.0f} s  {found.about}")
    click.echo()
    for kind, what in sorted(scenarios.FAULTS.items()):
        click.echo(f"  {kind:16} {what}")


@rig.command()
@click.argument("scenario")
@click.option("--seed", default=1, show_default=True, help="Of all chance in the stand-ins and the script.")
@click.option("--out", type=FOLDER, help="Folder for rows, logs and records; else a new temporary one.")
@_told
def run(scenario: str, seed: int, out: Path | None) -> None:
    """Play one day of SCENARIO, a file or the name of a shipped one; status 1 if a rule was broken."""
    from ospreyline.rig import results

    found = scenarios.load(scenario)
    folder = out or Path(tempfile.mkdtemp(prefix="ospreyline-rig-"))
    begun = monotonic()
    figures = played(found, seed, folder, lambda text: click.echo(text, err=True))
    click.echo(results.table(figures))
    click.echo(f"  {monotonic() - begun:.1f} s; records in {folder}")
    sys.exit(1 if any(figures["breaches"].values()) else 0)
