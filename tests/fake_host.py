"""The one fake host: it notes what the decisions ask for, and turns its own clock."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace

from ospreyline.decide import Balancer, Visit
from ospreyline.host import Deployment, End, Kind, Listed, PathPrefix, Readiness, Scope


def prefix(kind: Kind, scope: Scope = Scope.ALL, gain: float = 1.0) -> PathPrefix:
    return PathPrefix(kind, scope, 1_500.0, 1_000.0, 2_500.0, gain, 0.0)


PLAIN = Deployment(
    zone=0, zones=3, balancers=3, number=0, prefixes=(prefix(Kind.READ_LIKE),), ask_for_list=False)


def listed(upstream: int, zone: int = 0, cell: int = 0, came_up: float = 0.0,
           readiness: Readiness = Readiness.READY) -> Listed:
    return Listed(upstream, upstream * 7919 + 13, zone, cell, readiness, came_up)


class FakeHost:
    def __init__(self, lines: list[Listed], start: float = 100_000.0, seed: int = 7, **terms: object) -> None:
        self.now = start
        self.sends: list[tuple[int, int, float, float]] = []  # tag, upstream, time-out, when
        self.bounced: dict[int, float] = {}
        self.failed: list[int] = []
        self.cancelled: list[tuple[int, int]] = []
        self.probes: list[int] = []
        self.watches: list[float] = []
        self.wakes: list[tuple[float, Callable[[float], None]]] = []
        self.tags = 0
        self.balancer = Balancer(self, replace(PLAIN, **terms), seed, start)  # type: ignore[arg-type]
        self.balancer.told_all(self.now, lines)

    def send(self, tag: int, upstream: int, time_out: float) -> None:
        self.sends.append((tag, upstream, time_out, self.now))

    def cancel(self, tag: int, fetch: int) -> None:
        self.cancelled.append((tag, fetch))

    def bounce(self, tag: int, retry_after: float) -> None:
        self.bounced[tag] = retry_after

    def fail(self, tag: int) -> None:
        self.failed.append(tag)

    def wake(self, at: float, call: Callable[[float], None]) -> None:
        self.wakes.append((at, call))

    def probe(self, upstream: int) -> None:
        self.probes.append(upstream)

    def watch(self, on: bool) -> None:
        self.watches.append(self.now)

    def refresh(self) -> None:
        pass

    def log(self, text: str) -> None:
        pass

    def pass_time(self, span: float) -> None:
        """Let time go by; what was to be woken is woken."""
        until = self.now + span
        while self.wakes and min(at for at, _ in self.wakes) <= until:
            due = min(self.wakes, key=lambda w: w[0])
            self.wakes.remove(due)
            self.now = max(self.now, due[0])
            due[1](self.now)
        self.now = until

    def take(self, lane: int = 0, ttl: float = 2_500.0, key: int = 0) -> Visit:
        self.tags += 1
        return self.balancer.take(self.now, self.tags, lane, ttl, key, False)

    def end(self, visit: Visit, end: End, spent: float = 50.0) -> None:
        """The latest fetch of the visit ends like this, after so long."""
        self.pass_time(spent)
        visit.ended(self.now, len(visit.fetches) - 1, end, spent, end is End.DELIVERED, ())

    def serve(self, visits: int, end: Callable[[int], End] = lambda upstream: End.DELIVERED,
              lane: int = 0) -> list[int]:
        """Visits one after another, each ended by its upstream's index; the upstreams they went to first."""
        first = []
        for _ in range(visits):
            visit = self.take(lane)
            sent = len(visit.fetches)
            if sent:
                first.append(visit.fetches[0].upstream.id)
            while visit.out:
                self.end(visit, end(visit.fetches[-1].upstream.id))
        return first

    def answers(self, visit: Visit) -> int:
        """Final answers given to the client by us; a delivered one is the front's."""
        return (visit.tag in self.bounced) + self.failed.count(visit.tag)
