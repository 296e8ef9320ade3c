"""The measured slopes: points (size, value) with date, command and machine; read from `slopes.toml`."""

from __future__ import annotations

from importlib import resources
from itertools import pairwise

import msgspec


class Slope(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """A quantity measured at several sizes; not measured yet if it has no points."""

    by: str
    unit: str
    about: str
    points: list[tuple[float, float]] = []
    date: str = ""
    command: str = ""
    machine: str = ""
    reference_ms: list[float] = []  # a fixed piece of work during the run: minimum, median, maximum

    @property
    def measured_to(self) -> float:
        """The largest size that was measured."""
        return max((x for x, _ in self.points), default=0.0)

    @property
    def value_at_smallest(self) -> float:
        """The value at the smallest size."""
        return min(self.points)[1] if self.points else 0.0

    def at(self, size: float) -> float | None:
        """The value at a size: interpolated linearly; extrapolated beyond the last point, to 0 at the least;
        constant below the first point. None if it was not measured."""
        points = sorted(self.points)
        if not points:
            return None
        if size <= points[0][0] or len(points) == 1:
            return points[0][1]
        (x0, y0), (x1, y1) = next((pair for pair in pairwise(points) if size <= pair[1][0]), points[-2:])
        return max(0.0, y0 + (y1 - y0) * (size - x0) / (x1 - x0))


def parse(text: str) -> dict[str, Slope]:
    """Parses TOML; raises `msgspec.MsgspecError`."""
    return msgspec.toml.decode(text, type=dict[str, Slope])


def load() -> dict[str, Slope]:
    """The slopes shipped with this version."""
    return parse(resources.files("ospreyline.capacity").joinpath("slopes.toml").read_text("utf-8"))
