"""Two arms or two sweeps held against each other, paired by settings and seed.

The difference of the means gets a 95% interval by bootstrap over the pairs (10,000 resamples, a fixed
seed, so the same rows give the same words). With fewer than six pairs the interval is said to be too few
to trust.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from typing import Any

import msgspec
import numpy as np

RESAMPLES = 10_000
FEW = 6  # pairs that are too few for an interval


@dataclass(slots=True, frozen=True)
class Difference:
    """B less A of one figure, over pairs."""

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
        """What it says, in plain words."""
        if not self.pairs:
            return f"{a} and {b} have no run with the same settings and seed"
        by = f"{self.mean:+.4f} ({self.a:.4f} to {self.b:.4f}, 95% from {self.low:+.4f} to {self.high:+.4f})"
        if self.pairs < FEW:
            return f"{self.figure}: {b} against {a} {by}; {self.pairs} pairs are too few to say more"
        if self.low > 0 or self.high < 0:
            return (
                f"{self.figure}: {b} is {'above' if self.mean > 0 else 'below'} {a}: {by}, {self.pairs} pairs"
            )
        return f"{self.figure}: no difference between {a} and {b} is shown: {by}, {self.pairs} pairs"


def figure(row: Mapping[str, Any], name: str) -> float:
    """A figure of a row's summary by dotted path, such as `net_gain` or `breaches.cold`."""
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
    """B less A over the runs that have the same settings and seed; an arm's name plays no part in pairing."""

    def keyed(rows: Sequence[Mapping[str, Any]]) -> dict[bytes, float]:
        return {
            msgspec.json.encode([row["settings"], row["seed"]], order="deterministic"): figure(row, name)
            for row in rows
        }

    first, second = keyed(a), keyed(b)
    both = [k for k in first if k in second]
    if not both:
        return Difference(name, 0, 0.0, 0.0, 0.0, 0.0)
    x, y = [first[k] for k in both], [second[k] for k in both]
    low, high = interval([q - p for p, q in zip(x, y, strict=True)])
    return Difference(name, len(both), sum(x) / len(x), sum(y) / len(y), low, high)
