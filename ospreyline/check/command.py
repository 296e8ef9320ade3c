"""`ospreyline explore`: runs the model checkers."""

from __future__ import annotations

import sys

import click


@click.group()
def explore() -> None:
    """Check all orders of events in small worlds that run the production code."""


@explore.command()
@click.option(
    "--takers",
    type=click.IntRange(1, 2),
    default=1,
    show_default=True,
    help="Balancers that take the visit over.",
)
@click.option(
    "--doublings", type=click.IntRange(0, 2), default=0, show_default=True, help="Duplicated messages."
)
@click.option(
    "--restarts", type=click.IntRange(0, 2), default=0, show_default=True, help="Restarts of acceptors."
)
@click.option(
    "--forgets",
    type=click.IntRange(0, 2),
    default=0,
    show_default=True,
    help="Times an acceptor discards its records.",
)
@click.option("--refuse/--no-refuse", default=True, show_default=True, help="The owner may refuse the visit.")
@click.option("--covered", is_flag=True, help="Begin when all acceptors store the visit.")
@click.option("--at-once", is_flag=True, help="The owner requests a grant in its first message.")
@click.option("--answers", is_flag=True, help="Whoever wrote the fetch may record its answer.")
@click.option("--anew", is_flag=True, help="Takeover on behalf of the client, which retries.")
@click.option("--most", default=1_000_000, show_default=True, help="Maximum number of states.")
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
    """Check the takeover protocol for one visit; exit status 1 on a violation."""
    from ospreyline.check.guards import Explorer

    explorer = Explorer(takers, doublings, restarts, forgets, refuse, covered, at_once, answers, anew)
    result = explorer.explore(most)
    click.echo(
        f"{result.states} states in {result.seconds:.0f} s, "
        + ("all that there are" if result.complete else "not all")
    )
    if result.violation:
        click.echo(f"BROKEN: {result.violation}")
        for number, step in enumerate(result.trace, 1):
            click.echo(f"  {number:2} {step}")
    sys.exit(1 if result.violation else 0)


@explore.command()
@click.option(
    "--begin", "begins", multiple=True, help="Explore only this beginning (repeatable); all if none is given."
)
@click.option(
    "--calls",
    type=click.IntRange(0, 3),
    default=1,
    show_default=True,
    help="Number of calls whose outcomes are explored.",
)
@click.option("--apart", is_flag=True, help="Of two writes at the same time only one is lost.")
@click.option("--drawn", type=int, default=0, help="Explore this many random paths instead of all in order.")
@click.option("--seed", type=int, default=1, show_default=True)
@click.option("--most", default=100_000, show_default=True, help="Maximum number of paths per beginning.")
def lists(begins: tuple[str, ...], calls: int, apart: bool, drawn: int, seed: int, most: int) -> None:
    """Check until when the upstream list is used; exit status 1 on a violation."""
    from ospreyline.check.list_lease import BEGINNINGS, Explorer

    violated = False
    for begin in begins or tuple(BEGINNINGS):
        explorer = Explorer(begin, calls, one_loss_at_a_time=apart)
        result = explorer.sample(drawn, seed) if drawn else explorer.explore(most)
        click.echo(
            f"{begin}: {result.paths} paths, {result.steps} moments in {result.seconds:.0f} s, "
            + ("all that there are" if result.complete else "not all")
        )
        if result.violation:
            violated = True
            click.echo(f"BROKEN: {result.violation}")
            for step in result.trace:
                click.echo(f"  {step}")
    sys.exit(1 if violated else 0)
