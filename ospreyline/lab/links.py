"""The model of the network: message latency, loss and cut paths.

Assumptions. A message takes its base time (within a zone, between zones, to a client) plus an exponential
part; a lost one is retransmitted and arrives later, so loss is delay. A cut path drops messages without an
error: those already under way arrive, those sent during the cut never do, and neither side is notified.
"""

from __future__ import annotations

from collections.abc import Callable
from math import inf

from ospreyline.lab import scenario
from ospreyline.lab.world import exponential


class Links:
    """Message times in ms between zones (by index); `inf` over a cut path."""

    __slots__ = ("_draw", "_settings", "cuts", "lossy")

    def __init__(self, figures: scenario.Links, draw: Callable[[], float]) -> None:
        self._settings = figures
        self._draw = draw
        self.cuts: dict[tuple[int, int], int] = {}  # (from, to): number of faults that cut it
        self.lossy = figures.loss

    def cut(self, a: int, b: int, by: int) -> None:
        """Cut (by = 1) or restore (by = -1) the path from a to b; several faults may cut the same path."""
        left = self.cuts.get((a, b), 0) + by
        if left:
            self.cuts[a, b] = left
        else:
            self.cuts.pop((a, b), None)

    def one_way(self, a: int, b: int) -> float:
        """Time of one message from zone a to zone b."""
        if self.cuts and (a, b) in self.cuts:
            return inf
        return self._message_ms(self._settings.same_ms if a == b else self._settings.cross_ms)

    def round_trip(self, a: int, b: int) -> float:
        """Time of a round trip between zones a and b."""
        return self.one_way(a, b) + self.one_way(b, a)

    def to_client(self) -> float:
        """Time of one message between a client and a balancer."""
        return self._message_ms(self._settings.client_ms)

    def _message_ms(self, base: float) -> float:
        time = base + exponential(self._draw(), base * self._settings.jitter)
        while self.lossy > 1e-9 and self._draw() < min(0.5, self.lossy):
            time += self._settings.again_ms
        return time
