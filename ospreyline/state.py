"""The state that the decisions keep of a path prefix, a visit and a backend fetch: types without decisions.

Times are ms on the clock of `host.Host`.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from math import inf
from typing import TYPE_CHECKING

from ospreyline.host import NEVER_RAN, End, PathPrefix

if TYPE_CHECKING:
    from ospreyline.decide import Balancer, Upstream


class Lane:
    """The request class of a path prefix: its settings, its statistics, and its queue."""

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
        self.gain = self.value = terms.gain  # value: what a visit in time adds to the goal, 1 on the mean
        self.arrived = 0.0  # recent visits, decaying
        self.in_time = 0.0  # of `arrived`, those delivered within the target latency
        self.pace = 1.0  # latency of its fetches relative to that of their zone, smoothed
        self.usual_ttl = 0.0  # the longest time that a client has given a try, which is that of a first try
        self.held: deque[Visit] = deque()  # the queue; entries whose visit is no longer queued are skipped


@dataclass(slots=True, eq=False)
class Fetch:
    """One backend fetch of a visit."""

    upstream: Upstream
    lane: Lane
    sent: float
    rest: float  # idle time of its connection when sent, ms; 0 for a new one
    depth: int  # fetches of ours in flight at the upstream when sent, this one included
    level_depth: int  # the same for the upstream's zone
    trial: bool  # the trial request of an ejected upstream
    end: End | None = None
    silent: bool = False  # unresponsive: no answer came, or it is long overdue


class Visit:
    """The handle of a visit that was accepted."""

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

    def __init__(
        self, balancer: Balancer, tag: int, lane: Lane, now: float, ttl: float, repeat: bool
    ) -> None:
        self._balancer, self.tag, self.lane, self.came = balancer, tag, lane, now
        self.expires = now + ttl
        # a marked repeat with less time than a first try is a later try: its target latency began earlier
        elapsed = lane.terms.client_timeout - ttl if repeat and ttl < 0.98 * lane.usual_ttl else 0.0
        self.target_at = now + min(ttl, lane.target - elapsed)
        self.fetches: list[Fetch] = []
        self.begin_by = inf  # upstreams forget its key then: no repeat may begin there later
        self.out = 0  # fetches in flight
        self.held = self.done = False

    @property
    def settled(self) -> bool:
        """Whether it has its final answer and no fetch in flight, so that no event of it can follow."""
        return self.done and not self.out

    def may_have_run(self) -> Fetch | None:
        """The first fetch that may have executed or is still in flight."""
        return next((f for f in self.fetches if f.end not in NEVER_RAN), None)

    def ended(
        self, now: float, number: int, end: End, spent: float, final: bool, report: tuple[float, ...]
    ) -> None:
        """A fetch, by its number from 0, has ended after `spent` ms; `final`: the client has its answer."""
        self._balancer._fetch_ended(self, self.fetches[number], now, end, spent, final, report)

    def left(self, now: float) -> None:
        """The client has disconnected: it gets no answer."""
        self._balancer._close(self, now)
