"""The model held against what theory says of queues: waits, laws and their confidence intervals.

Each case drives one `servers.Server` by a Poisson stream, without balancers, and compares a mean over
batches with the formula. Sources: Erlang's C formula for M/M/c; Pollaczek and Khinchine's mean wait for
M/G/1; the insensitivity of processor sharing, whose mean time depends on the mean work alone; Little's
law.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from math import factorial, inf, sqrt

from ospreyline.lab.scenario import Group
from ospreyline.lab.servers import Job, Server
from ospreyline.lab.world import Streams, World, exponential, sampler

BATCHES = 20
T_95 = 2.093  # Student's, 19 degrees of freedom


@dataclass(slots=True, frozen=True)
class Case:
    """One line of the table; times in ms."""

    name: str
    cores: int
    slots_per_core: float  # 0: processor sharing
    load: float  # share of capacity
    dist: str
    cv: float
    expected: Callable[[Case], float]  # mean time in the server
    work: float = 10.0


@dataclass(slots=True, frozen=True)
class Verdict:
    """Theory and model of one case."""

    name: str
    theory: float
    model: float
    half_width: float  # of the 95% interval of the model's mean

    @property
    def error(self) -> float:
        return self.model / self.theory - 1

    @property
    def holds(self) -> bool:
        """Whether theory lies within the interval, widened by half for the twenty batches' own chance."""
        return abs(self.model - self.theory) <= 1.5 * self.half_width


def mmc(case: Case) -> float:
    """Mean time in M/M/c by Erlang's C formula."""
    c, a = case.cores, case.cores * case.load
    top = a**c / factorial(c) / (1 - case.load)
    waits = top / (sum(a**k / factorial(k) for k in range(c)) + top)
    return case.work + waits * case.work / (c * (1 - case.load))


def mg1(case: Case) -> float:
    """Mean time in M/G/1, first come first served, by Pollaczek and Khinchine."""
    cv = 1.0 if case.dist == "exp" else case.cv
    return case.work + case.load * case.work * (1 + cv * cv) / (2 * (1 - case.load))


def sharing(case: Case) -> float:
    """Mean time in M/G/1 under processor sharing, whatever the distribution."""
    return case.work / (1 - case.load)


CASES = (
    Case("M/M/1, load 0.5", 1, 1, 0.5, "exp", 1, mg1),
    Case("M/M/1, load 0.8", 1, 1, 0.8, "exp", 1, mg1),
    Case("M/M/4, load 0.7", 4, 1, 0.7, "exp", 1, mmc),
    Case("M/D/1, load 0.7 (Pollaczek-Khinchine)", 1, 1, 0.7, "const", 0, mg1),
    Case("M/G/1 lognormal cv 1.5, load 0.6 (Pollaczek-Khinchine)", 1, 1, 0.6, "lognormal", 1.5, mg1),
    Case("processor sharing, constant work, load 0.7", 1, 0, 0.7, "const", 0, sharing),
    Case("processor sharing, exponential work, load 0.7", 1, 0, 0.7, "exp", 1, sharing),
    Case("processor sharing, lognormal cv 1.5, load 0.7", 1, 0, 0.7, "lognormal", 1.5, sharing),
)


def drive(case: Case, visits: int, seed: int) -> tuple[list[float], float, float]:
    """Mean time in each batch, then held on the mean and rate x mean time, which Little's law makes equal."""
    world, streams = World(), Streams(seed)
    group = Group(
        count=1, cores=case.cores, slots_per_core=case.slots_per_core, queue_per_core=0, handshake_ms=0
    )
    server = Server(world, group, 0, 0, 0, 1.0, 1.0, streams.uniform("server"))
    server.start(warm=True)
    arrivals, works = streams.uniform("arrivals"), streams.uniform("work")
    sample = sampler(case.dist, case.work, case.cv)
    gap = case.work / (case.load * case.cores)
    times: list[float] = []
    came = 0

    def arrive() -> None:
        nonlocal came
        came += 1
        at = world.now
        server.arrive(Job(sample(works), 0.0, 0, inf, lambda well: times.append(world.now - at)), False, 0)
        if came < visits:
            world.after(exponential(arrivals(), gap), arrive)

    world.at(0.0, arrive)
    while len(times) < visits:
        world.run(world.now + 1e5)
    server.changed()
    span = world.now
    size = visits // BATCHES
    means = [sum(times[i * size : (i + 1) * size]) / size for i in range(BATCHES)]
    return means, server.held_area / span, sum(times) / span


def judge(case: Case, visits: int = 200_000, seed: int = 1) -> Verdict:
    """Theory against model; the first batch fills the queue and is left out."""
    means, _, _ = drive(case, visits, seed)
    kept = means[1:]
    mean = sum(kept) / len(kept)
    spread = sqrt(sum((m - mean) ** 2 for m in kept) / (len(kept) - 1))
    return Verdict(case.name, case.expected(case), mean, T_95 * spread / sqrt(len(kept)))


def little(case: Case, visits: int = 50_000, seed: int = 1) -> Verdict:
    """Held on the mean against arrival rate x mean time; equal to rounding, or time is lost somewhere."""
    _, held, product = drive(case, visits, seed)
    return Verdict(f"Little's law, {case.name}", product, held, 1e-6 * product)
