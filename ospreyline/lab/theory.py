"""Checks of the simulated server against queueing theory, with confidence intervals.

Each case sends a Poisson stream to one `servers.Server`, without balancers, and compares the mean time in
the server over batches with a formula: Erlang C for M/M/c; Pollaczek-Khinchine for M/G/1; the insensitivity
of processor sharing, whose mean time depends only on the mean work; Little's law.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from math import factorial, inf, sqrt

from ospreyline.lab.scenario import Group
from ospreyline.lab.servers import Job, Server
from ospreyline.lab.world import Streams, World, exponential, sampler

BATCHES = 20
T_95 = 2.093  # Student's t for a 95% interval, 19 degrees of freedom


@dataclass(slots=True, frozen=True)
class Case:
    """One queue to simulate; times in ms."""

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
    """Result of one case, in ms (for Little's law visits held)."""

    name: str
    theory: float
    model: float
    half_width: float  # of the 95% interval of `model`

    @property
    def error(self) -> float:
        return self.model / self.theory - 1

    @property
    def holds(self) -> bool:
        """Whether theory lies within the interval, widened by half as twenty batches vary by chance."""
        return abs(self.model - self.theory) <= 1.5 * self.half_width


def mmc(case: Case) -> float:
    """Mean time in M/M/c by Erlang's C formula."""
    c, a = case.cores, case.cores * case.load
    busy_term = a**c / factorial(c) / (1 - case.load)
    wait_probability = busy_term / (sum(a**k / factorial(k) for k in range(c)) + busy_term)
    return case.work + wait_probability * case.work / (c * (1 - case.load))


def mg1(case: Case) -> float:
    """Mean time in M/G/1, first come first served, by Pollaczek and Khinchine."""
    cv = 1.0 if case.dist == "exp" else case.cv
    return case.work + case.load * case.work * (1 + cv * cv) / (2 * (1 - case.load))


def processor_sharing(case: Case) -> float:
    """Mean time in M/G/1 under processor sharing, whatever the distribution."""
    return case.work / (1 - case.load)


CASES = (
    Case("M/M/1, load 0.5", 1, 1, 0.5, "exp", 1, mg1),
    Case("M/M/1, load 0.8", 1, 1, 0.8, "exp", 1, mg1),
    Case("M/M/4, load 0.7", 4, 1, 0.7, "exp", 1, mmc),
    Case("M/D/1, load 0.7 (Pollaczek-Khinchine)", 1, 1, 0.7, "const", 0, mg1),
    Case("M/G/1 lognormal cv 1.5, load 0.6 (Pollaczek-Khinchine)", 1, 1, 0.6, "lognormal", 1.5, mg1),
    Case("processor sharing, constant work, load 0.7", 1, 0, 0.7, "const", 0, processor_sharing),
    Case("processor sharing, exponential work, load 0.7", 1, 0, 0.7, "exp", 1, processor_sharing),
    Case("processor sharing, lognormal cv 1.5, load 0.7", 1, 0, 0.7, "lognormal", 1.5, processor_sharing),
)


def simulate_case(case: Case, visits: int, seed: int) -> tuple[list[float], float, float]:
    """Mean time (ms) of each batch, mean visits held, rate x mean time; the last two are equal (Little)."""
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
    sent = 0

    def arrive() -> None:
        nonlocal sent
        sent += 1
        at = world.now
        server.arrive(Job(sample(works), 0.0, 0, inf, lambda well: times.append(world.now - at)), False, 0)
        if sent < visits:
            world.after(exponential(arrivals(), gap), arrive)

    world.at(0.0, arrive)
    while len(times) < visits:
        world.run(world.now + 1e5)
    server.changed()
    span = world.now
    size = visits // BATCHES
    means = [sum(times[i * size : (i + 1) * size]) / size for i in range(BATCHES)]
    return means, server.held_area / span, sum(times) / span


def check_case(case: Case, visits: int = 200_000, seed: int = 1) -> Verdict:
    """Compares one case with its formula; leaves out the first batch, in which the queue fills."""
    means, _, _ = simulate_case(case, visits, seed)
    kept = means[1:]
    mean = sum(kept) / len(kept)
    deviation = sqrt(sum((m - mean) ** 2 for m in kept) / (len(kept) - 1))
    return Verdict(case.name, case.expected(case), mean, T_95 * deviation / sqrt(len(kept)))


def check_littles_law(case: Case, visits: int = 50_000, seed: int = 1) -> Verdict:
    """Compares mean visits held with arrival rate x mean time; a difference beyond rounding is a bug."""
    _, held, product = simulate_case(case, visits, seed)
    return Verdict(f"Little's law, {case.name}", product, held, 1e-6 * product)
