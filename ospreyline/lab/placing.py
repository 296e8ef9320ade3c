"""Which balancer serves which service: figures for the options of docs/scopes.md, simulated or computed.

    python -m ospreyline.lab.placing

Simulated: services whose upstreams and requests follow a lognormal or Zipf distribution, and balancers in
zones and racks. No process is started.
"""

from __future__ import annotations

from collections import OrderedDict
from typing import Any

import click
import numpy as np
from numpy.typing import NDArray

from ospreyline.fleet.hollow import sizes

Numbers = NDArray[Any]
RECORD_BYTES = 130  # size of an upstream or route on the wire
ROUTES_PER_SERVICE = 9


def hash_pairs(a: Numbers, b: Numbers) -> Numbers:
    """A 64 bit hash of each pair (splitmix64), for rendezvous hashing."""
    with np.errstate(over="ignore"):
        x = (a + np.uint64(1)) * np.uint64(0x9E3779B97F4A7C15)
        x ^= (b + np.uint64(1)) * np.uint64(0xD1B54A32D192ED03)
        x = (x ^ (x >> np.uint64(30))) * np.uint64(0xBF58476D1CE4E5B9)
        x = (x ^ (x >> np.uint64(27))) * np.uint64(0x94D049BB133111EB)
        x ^= x >> np.uint64(31)
    return x


def rendezvous(services: int, zones: Numbers, per: int, apart: bool) -> Numbers:
    """The `per` balancers of each service by rendezvous hashing, as an array of shape (services, per).

    `zones`: zone of each balancer. `apart`: at most one balancer of a zone, so no more than there are zones.
    """
    members = np.arange(len(zones), dtype=np.uint64)
    found = np.empty((services, per), dtype=np.int64)
    for i in range(services):
        hashes = hash_pairs(np.full(len(zones), i, dtype=np.uint64), members)
        if not apart:
            found[i] = np.argpartition(hashes, per)[:per]
            continue
        order = np.argsort(hashes)
        _, first = np.unique(zones[order], return_index=True)
        found[i] = order[np.sort(first)[:per]]
    return found


def loss_figures(placed: Numbers, gone: Numbers) -> dict[str, float]:
    """What services lose if the balancers marked in `gone` fail: services affected, largest share etc."""
    share = gone[placed].mean(axis=1)
    return {
        "touched": int((share > 0).sum()),
        "most_lost": float(share.max()),
        "half_lost": int((share >= 0.5).sum()),
        "without": int((share == 1.0).sum()),
    }


def on_demand(
    services: int, upstreams: int, working_set: int, per_s: float, seed: int, requests: int = 200_000
) -> dict[str, float]:
    """A balancer that gets requests for any service (Zipf, exponent 1) and caches services by LRU."""
    draw = np.random.default_rng(seed)
    weights = 1.0 / np.arange(1, services + 1)
    requested = draw.choice(services, size=requests, p=weights / weights.sum())
    size = np.array(sizes(services, upstreams, seed))
    held: OrderedDict[int, None] = OrderedDict()
    missed = fetched = 0
    for number, one in enumerate(requested.tolist()):
        if one in held:
            held.move_to_end(one)
            continue
        if len(held) >= working_set:
            held.popitem(last=False)
        held[one] = None
        if number >= requests // 2:  # the first half warms up the cache
            missed += 1
            fetched += int(size[one]) + ROUTES_PER_SERVICE
    seconds = (requests - requests // 2) / per_s
    return {
        "missed": missed / (requests - requests // 2),
        "fetches_a_second": missed / seconds,
        "bytes_a_second": RECORD_BYTES * fetched / seconds,
    }


@click.command()
@click.option("--balancers", default=7_000, show_default=True)
@click.option("--zones", default=43, show_default=True)
@click.option("--rack", default=40, show_default=True, help="Balancers of a rack; assumed.")
@click.option("--services", default=6_700, show_default=True)
@click.option("--upstreams", default=200_000, show_default=True)
@click.option("--per-s", default=1_200_000.0, show_default=True, help="Requests a second, all together.")
@click.option("--seed", default=1, show_default=True)
def command(
    balancers: int, zones: int, rack: int, services: int, upstreams: int, per_s: float, seed: int
) -> None:
    """Print the options' figures."""
    each = per_s / balancers
    size = np.array(sizes(services, upstreams, seed)) + ROUTES_PER_SERVICE
    click.echo(f"on demand, {each:.0f} requests a second and balancer, Zipf 1:")
    for working_set in (25, 100, 400, 1_600):
        one = on_demand(services, upstreams, working_set, each, seed)
        click.echo(
            f"  {working_set:5} scopes held: {100 * one['missed']:5.1f}% of requests wait for one, "
            f"{one['fetches_a_second']:6.1f} fetches/s, {one['bytes_a_second'] / 1e3:8.1f} kB/s"
        )
    demand = per_s / np.arange(1, services + 1) / (1.0 / np.arange(1, services + 1)).sum()
    wanted = np.maximum(12, np.ceil(2 * demand / each))
    click.echo(
        f"by demand, twice what it needs and 12 at the least: {wanted.sum() / balancers:.1f} scopes a "
        f"balancer; the largest service has {wanted.max():.0f} balancers"
    )
    where = np.arange(balancers) % zones
    # the balancers of a zone fill one rack after the other
    racks = np.arange(balancers) // zones // max(1, rack)
    racks = where * 1_000 + racks
    for name, per, apart in (
        ("rendezvous, 12", 12, False),
        ("rendezvous, 12, zones apart", 12, True),
        ("rendezvous, 24, zones apart", 24, True),
    ):
        placed = rendezvous(services, where, per, apart)
        held = np.bincount(placed.ravel(), minlength=balancers)
        records = np.bincount(placed.ravel(), weights=np.repeat(size, per), minlength=balancers)
        click.echo(
            f"{name}: {held.mean():.1f} scopes a balancer ({held.max()} at the most), "
            f"{records.mean():.0f} records ({records.max():.0f}), "
            f"{RECORD_BYTES * records.max() / 1e3:.0f} kB at the most"
        )
        rng = np.random.default_rng(seed)
        cases = {
            "a balancer": np.arange(balancers) == 7,
            "a rack": racks == racks[7],
            "a zone": where == 3,
            "a region": where % 12 == 3,
            "a third, drawn": rng.random(balancers) < 1 / 3,
        }
        for what, gone in cases.items():
            one = loss_figures(placed, gone)
            click.echo(
                f"  {what:14} ({int(gone.sum())}): {one['touched']} services touched, at most "
                f"{100 * one['most_lost']:.0f}% of one's balancers, {one['half_lost']} lost half, "
                f"{one['without']} have none"
            )
        # for services whose requests crash balancers: how many balancers two services share
        sets = [set(row) for row in placed[:2_000].tolist()]
        worst = max(len(sets[0] & other) for other in sets[1:])
        click.echo(f"  two services share at most {worst} of {per} balancers (2,000 compared with one)")


if __name__ == "__main__":
    command()
