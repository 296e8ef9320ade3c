"""`ospreyline explore`: the exhaustive checks on the command line."""

from __future__ import annotations

import sys

import click


@click.group()
def explore() -> None:
    """Every ordering in the small, of the code that runs in service."""


@explore.command()
@click.option("--takers", type=click.IntRange(1, 2), default=1, show_default=True, help="That take it over.")
@click.option("--doublings", type=click.IntRange(0, 2), default=0, show_default=True)
@click.option("--restarts", type=click.IntRange(0, 2), default=0, show_default=True, help="Of guardians.")
@click.option("--forgets", type=click.IntRange(0, 2), default=0, show_default=True, help="Of guardians.")
@click.option("--refuse/--no-refuse", default=True, show_default=True, help="Who has it may refuse it.")
@click.option("--covered", is_flag=True, help="Begin when all guardians have the visit.")
@click.option("--at-once", is_flag=True, help="Its owner's first word asks for a permit.")
@click.option("--answers", is_flag=True, help="Who wrote may record an answer.")
@click.option("--anew", is_flag=True, help="Who takes it over does so for its client, who asks again.")
@click.option("--most", default=1_000_000, show_default=True, help="States after which it stops.")
def guards(
    takers: int,
    doublings: int,
    restarts: int,
    forgets: int,
    refuse: bool,
    covered: bool,
    at_once: bool,
    answers: bool,
    anew: bool,
    most: int,
) -> None:
    """What an owner, those that take over and guardians say of one visit; status 1 if a sentence breaks."""
    from ospreyline.check.guards import Explorer

    explorer = Explorer(takers, doublings, restarts, forgets, refuse, covered, at_once, answers, anew)
    found = explorer.explore(most)
    click.echo(
        f"{found.states} states in {found.seconds:.0f} s, "
        + ("all that there are" if found.whole else "not all")
    )
    if found.broken:
        click.echo(f"BROKEN: {found.broken}")
        for number, step in enumerate(found.trace, 1):
            click.echo(f"  {number:2} {step}")
    sys.exit(1 if found.broken else 0)


@explore.command()
@click.option("--begin", "begins", multiple=True, help="Of the beginnings only these; all if none is given.")
@click.option(
    "--calls",
    type=click.IntRange(0, 3),
    default=1,
    show_default=True,
    help="Of which it is explored what becomes of them.",
)
@click.option("--apart", is_flag=True, help="Of two calls written the same at once one alone loses it.")
@click.option("--drawn", type=int, default=0, help="Paths drawn by seed, in place of all in their order.")
@click.option("--seed", type=int, default=1, show_default=True)
@click.option("--most", default=100_000, show_default=True, help="Paths of each after which it stops.")
def lists(begins: tuple[str, ...], calls: int, apart: bool, drawn: int, seed: int, most: int) -> None:
    """What a list service writes, loses and ends, and until when the list is used; status 1 on a breach."""
    from ospreyline.check.list_lease import BEGINNINGS, Explorer

    broken = False
    for begin in begins or tuple(BEGINNINGS):
        explorer = Explorer(begin, calls, apart=apart)
        found = explorer.sample(drawn, seed) if drawn else explorer.explore(most)
        click.echo(
            f"{begin}: {found.paths} paths, {found.moments} moments in {found.seconds:.0f} s, "
            + ("all that there are" if found.whole else "not all")
        )
        if found.broken:
            broken = True
            click.echo(f"BROKEN: {found.broken}")
            for step in found.trace:
                click.echo(f"  {step}")
    sys.exit(1 if broken else 0)
