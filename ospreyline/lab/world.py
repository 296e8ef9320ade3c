"""Simulated time and randomness: a discrete-event scheduler and named random streams.

The same calls with the same seed give exactly the same order of events: events due at the same time run in
the order in which they were scheduled, and nothing depends on the order of a set or hash.
"""

from __future__ import annotations

from bisect import bisect_right
from collections.abc import Callable
from heapq import heappop, heappush
from math import exp, inf, log, sqrt
from statistics import NormalDist
from typing import Any

import numpy as np
import xxhash

BLOCK_SIZE = 512  # uniform numbers drawn from the generator at once
_NORMAL = NormalDist().inv_cdf

Due = list[Any]  # a scheduled event: time in ms, sequence number, call (None: cancelled or done), arguments


class World:
    """The clock (`now`, in ms) and the event queue; `at` and `after` return an event that `drop` cancels."""

    __slots__ = ("_heap", "_order", "events", "now")

    def __init__(self) -> None:
        self.now = 0.0
        self.events = 0  # executed so far
        self._heap: list[Due] = []
        self._order = 0

    def at(self, when: float, call: Callable[..., None], *args: Any) -> Due:
        """Schedule a call at a time in ms; a time in the past means now, after the events already due."""
        self._order += 1
        due: Due = [when if when > self.now else self.now, self._order, call, args]
        heappush(self._heap, due)
        return due

    def after(self, span: float, call: Callable[..., None], *args: Any) -> Due:
        """Schedule a call in `span` ms."""
        return self.at(self.now + span, call, *args)

    @staticmethod
    def drop(due: Due | None) -> None:
        """Cancel an event; does nothing if it is None or was already executed."""
        if due is not None:
            due[2] = None

    def run(self, until: float = inf) -> None:
        """Execute the events due up to a time in ms and set the clock to it; by default all events."""
        heap = self._heap
        while heap and heap[0][0] <= until:
            due = heappop(heap)
            call = due[2]
            if call is None:
                continue
            self.now = due[0]
            self.events += 1
            due[2] = None
            call(*due[3])
        if until < inf:
            self.now = until


class Uniform:
    """Uniform numbers in [0, 1) from one stream, generated in blocks; users get the method `draw`."""

    __slots__ = ("_buffer", "_generator")

    def __init__(self, generator: np.random.Generator) -> None:
        self._generator = generator
        self._buffer: list[float] = []

    def draw(self) -> float:
        if not self._buffer:
            self._buffer = self._generator.random(BLOCK_SIZE).tolist()
        return self._buffer.pop()


class Streams:
    """Independent random streams by name: adding a stream changes none of the others."""

    __slots__ = ("seed",)

    def __init__(self, seed: int) -> None:
        self.seed = seed

    def generator(self, name: str) -> np.random.Generator:
        digest = xxhash.xxh3_64_intdigest(name.encode())
        key = (digest >> 32, digest & 0xFFFFFFFF)
        return np.random.Generator(np.random.PCG64DXSM(np.random.SeedSequence(self.seed, spawn_key=key)))

    def uniform(self, name: str) -> Callable[[], float]:
        return Uniform(self.generator(name)).draw

    def number(self, name: str) -> int:
        """One integer of 63 bits, to seed another generator."""
        return int(self.generator(name).integers(0, 1 << 63))


def exponential(u: float, mean: float) -> float:
    """The quantile u (0 to 1) of an exponential distribution with this mean."""
    return -mean * log(1.0 - u)


def sampler(dist: str, mean: float, cv: float) -> Callable[[Callable[[], float]], float]:
    """A function that draws from a distribution with this mean and coefficient of variation.

    `exp` always has a coefficient of 1; `pareto` is capped at 1,000 times the mean. `ValueError` if `dist` is
    unknown.
    """
    if dist == "const" or cv <= 0:
        return lambda draw: mean
    if dist == "exp":
        return lambda draw: -mean * log(1.0 - draw())
    if dist == "lognormal":
        variance = log(1 + cv * cv)
        mu, sigma = log(mean) - variance / 2, sqrt(variance)
        return lambda draw: exp(mu + sigma * _NORMAL(min(max(draw(), 1e-12), 1 - 1e-12)))
    if dist == "pareto":
        # the shape a with this coefficient of variation: cv^2 = 1 / (a (a - 2))
        a = 1 + sqrt(1 + 1 / (cv * cv))
        minimum = mean * (a - 1) / a
        return lambda draw: min(1e3 * mean, minimum * (1.0 - draw()) ** (-1 / a))
    raise ValueError(f"unknown distribution: {dist!r}")


class Picker:
    """Draws an index with probability proportional to its weight."""

    __slots__ = ("_cumulative",)

    def __init__(self, weights: list[float]) -> None:
        total = sum(weights)
        if not total > 0:
            raise ValueError("all weights are 0")
        self._cumulative = (np.cumsum(weights) / total).tolist()

    def at(self, u: float) -> int:
        """The index at u, a uniform number from 0 to 1."""
        return min(bisect_right(self._cumulative, u), len(self._cumulative) - 1)


def zipf(count: int, exponent: float) -> Picker:
    """Draws one of `count` keys with Zipf popularity, the first being the most popular."""
    return Picker((1.0 / np.arange(1, count + 1) ** exponent).tolist())
