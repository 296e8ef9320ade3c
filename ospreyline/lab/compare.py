"""Compares two arms or two sweeps, paired by settings and seed.

The difference of the means gets a 95% interval by bootstrap over the pairs (10,000 resamples, a fixed seed,
so the same rows give the same sentence). Under six pairs the sentence says that they are too few.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from typing import Any

import msgspec
import numpy as np

RESAMPLES = 10_000
MIN_PAIRS = 6  # fewer are too few for an interval


@dataclass(slots=True, frozen=True)
class Difference:
    """B minus A of one figure, over pairs; `low` and `high` bound the 95% interval."""

    figure: str
    pairs: int
    a: float
    b: float
    low: float
    high: float

    @property
    def mean(self) -> float:
        return self.b - self.a

    def sentence(self, a: str, b: str) -> str:
        """The result as one sentence."""
        if not self.pairs:
            return f"{a} and {b} have no run with the same settings and seed"
        by = f"{self.mean:+.4f} ({self.a:.4f} to {self.b:.4f}, 95% from {self.low:+.4f} to {self.high:+.4f})"
        if self.pairs < MIN_PAIRS:
            return f"{self.figure}: {b} against {a} {by}; {self.pairs} pairs are too few to say more"
        if self.low > 0 or self.high < 0:
            return (
                f"{self.figure}: {b} is {'above' if self.mean > 0 else 'below'} {a}: {by}, {self.pairs} pairs"
            )
        return f"{self.figure}: no difference between {a} and {b} is shown: {by}, {self.pairs} pairs"


def figure(row: Mapping[str, Any], name: str) -> float:
    """A figure of a row's summary by dotted path, such as `breaches.cold`; `KeyError` if there is none."""
    value: Any = row["summary"]
    for step in name.split("."):
        if not isinstance(value, Mapping) or step not in value:
            raise KeyError(name)
        value = value[step]
    if not isinstance(value, int | float):
        raise KeyError(name)
    return float(value)


def interval(differences: Sequence[float]) -> tuple[float, float]:
    """The 95% bootstrap interval of the mean."""
    values = np.asarray(differences)
    generator = np.random.default_rng(1)
    picks = generator.integers(0, len(values), (RESAMPLES, len(values)))
    low, high = np.quantile(values[picks].mean(axis=1), (0.025, 0.975))
    return float(low), float(high)


def paired(a: Sequence[Mapping[str, Any]], b: Sequence[Mapping[str, Any]], name: str) -> Difference:
    """B minus A over the runs with the same settings and seed; the arm's name plays no part in pairing."""

    def by_pair(rows: Sequence[Mapping[str, Any]]) -> dict[bytes, float]:
        return {
            msgspec.json.encode([row["settings"], row["seed"]], order="deterministic"): figure(row, name)
            for row in rows
        }

    first, second = by_pair(a), by_pair(b)
    common = [k for k in first if k in second]
    if not common:
        return Difference(name, 0, 0.0, 0.0, 0.0, 0.0)
    x, y = [first[k] for k in common], [second[k] for k in common]
    low, high = interval([q - p for p, q in zip(x, y, strict=True)])
    return Difference(name, len(common), sum(x) / len(x), sum(y) / len(y), low, high)
