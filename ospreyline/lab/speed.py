"""Speed of the simulator: events and visits a second of real time by the size of the bank; a profile."""

from __future__ import annotations

import cProfile
import pstats
import resource
from dataclasses import dataclass
from io import StringIO
from time import perf_counter

from ospreyline.lab.run import Run
from ospreyline.lab.scenario import Scenario, change


@dataclass(slots=True, frozen=True)
class Speed:
    balancers: int
    visits: int
    events: int
    seconds: float  # of real time
    memory: float  # MiB, peak of this process so far

    def line(self) -> str:
        """A row under `HEADER`."""
        return (
            f"{self.balancers:9d}  {self.visits:8d}  {self.events:10d}  {self.seconds:8.1f}  "
            f"{self.events / self.seconds:12.0f}  {self.visits / self.seconds:12.0f}  {self.memory:9.0f}"
        )


HEADER = "balancers    visits      events   seconds  events a sec  visits a sec  MiB most"


def measure(base: Scenario, balancers: int, seed: int = 1) -> Speed:
    """Runs a scenario with so many balancers, in this process, without records."""
    run = Run(change(base, {"bank.count": balancers}), seed)
    begun = perf_counter()
    summary = run.go()
    seconds = perf_counter() - begun
    memory = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024
    return Speed(balancers, summary["tries"], summary["events"], seconds, memory)


def profile(base: Scenario, seed: int = 1, lines: int = 25) -> str:
    """Profile of one run, sorted by the own time of the functions."""
    run = Run(base, seed)
    profiler = cProfile.Profile()
    profiler.enable()
    run.go()
    profiler.disable()
    out = StringIO()
    pstats.Stats(profiler, stream=out).strip_dirs().sort_stats("tottime").print_stats(lines)
    return out.getvalue()
