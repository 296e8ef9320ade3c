"""What the decisions note of a path prefix, a visit and a backend fetch: types alone, no decision."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from math import inf
from typing import TYPE_CHECKING

from ospreyline.host import NEVER_RAN, End, PathPrefix

if TYPE_CHECKING:
    from ospreyline.decide import Balancer, Upstream


class Lane:
    """A path prefix: its terms, what has been learnt of it, and its visits that wait for room."""

    __slots__ = (
        "arrived",
        "gain",
        "held",
        "in_time",
        "kind",
        "late_gain",
        "pace",
        "scope",
        "target",
        "terms",
        "usual_ttl",
        "value",
        "window",
    )

    def __init__(self, terms: PathPrefix) -> None:
        self.terms = terms
        self.kind, self.scope, self.window = terms.kind, terms.scope, terms.window
        self.target, self.late_gain = terms.target_latency, terms.late_gain
        self.gain = self.value = terms.gain  # value: what one in time adds to the goal, 1 on the mean
        self.arrived = 0.0  # of late, fading
        self.in_time = 0.0  # of those, delivered within the target latency
        self.pace = 1.0  # latency of its fetches over that of their zone, smoothed
        self.usual_ttl = 0.0  # the longest a client has given a try: a first try's
        self.held: deque[Visit] = deque()


@dataclass(slots=True, eq=False)
class Fetch:
    """One backend fetch of a visit."""

    upstream: Upstream
    lane: Lane
    sent: float
    rest: float  # ms for which its connection had carried nothing; 0 for a new one
    depth: int
    level_depth: int
    trial: bool
    end: End | None = None
    silent: bool = False  # no answer came, or it is long overdue


class Visit:
    """The handle of a visit that was taken."""

    __slots__ = (
        "_balancer",
        "begin_by",
        "came",
        "done",
        "expires",
        "fetches",
        "held",
        "lane",
        "out",
        "tag",
        "target_at",
    )

    def __init__(self, owner: Balancer, tag: int, lane: Lane, now: float, ttl: float, repeat: bool) -> None:
        self._balancer, self.tag, self.lane, self.came = owner, tag, lane, now
        self.expires = now + ttl
        # a marked repeat with less time than others is a later try: its target latency began before
        elapsed = lane.terms.client_timeout - ttl if repeat and ttl < 0.98 * lane.usual_ttl else 0.0
        self.target_at = now + min(ttl, lane.target - elapsed)
        self.fetches: list[Fetch] = []
        self.begin_by = inf  # upstreams have forgotten its key by then: nothing of it may begin there later
        self.out = 0
        self.held = self.done = False

    @property
    def settled(self) -> bool:
        """Whether it has its final answer and no fetch of it is out: nothing more will be said of it."""
        return self.done and not self.out

    def may_have_run(self) -> Fetch | None:
        """The first fetch that may have run or is still out."""
        return next((f for f in self.fetches if f.end not in NEVER_RAN), None)

    def ended(
        self, now: float, number: int, end: End, spent: float, final: bool, report: tuple[float, ...]
    ) -> None:
        """One of its fetches has ended; final: the client has its answer."""
        self._balancer._fetch_ended(self, self.fetches[number], now, end, spent, final, report)

    def left(self, now: float) -> None:
        """The client has gone: nothing is owed any more."""
        self._balancer._close(self, now)
