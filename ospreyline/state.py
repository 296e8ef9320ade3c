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


class RequestClass:
    """The request class of a path prefix: its settings, its statistics, and its queue."""

    __slots__ = (
        "first_try_ttl",
        "gain",
        "kind",
        "late_gain",
        "marginal_gain",
        "queue",
        "recent_in_time",
        "recent_visits",
        "relative_latency",
        "scope",
        "settings",
        "tag_window",
        "target_latency",
    )

    def __init__(self, settings: PathPrefix) -> None:
        self.settings = settings
        self.kind, self.scope, self.tag_window = settings.kind, settings.scope, settings.window
        self.target_latency, self.late_gain = settings.target_latency, settings.late_gain
        # marginal_gain: what a visit in time adds to the goal, 1 on the mean
        self.gain = self.marginal_gain = settings.gain
        self.recent_visits = 0.0  # decaying
        self.recent_in_time = 0.0  # of `recent_visits`, those delivered within the target latency
        self.relative_latency = 1.0  # latency of its fetches relative to that of their zone, smoothed
        # the longest time that a client has given a try, which is that of a first try
        self.first_try_ttl = 0.0
        self.queue: deque[Visit] = deque()  # entries whose visit is no longer queued are skipped


@dataclass(slots=True, eq=False)
class Fetch:
    """One backend fetch of a visit."""

    upstream: Upstream
    request_class: RequestClass
    sent_at: float
    idle_ms: float  # of its connection when sent; 0 for a new one
    in_flight_at_send: int  # fetches of ours in flight at the upstream when sent, this one included
    locality_in_flight_at_send: int  # the same for the upstream's zone
    is_trial: bool  # the trial request of an ejected upstream
    end: End | None = None
    unresponsive: bool = False  # no answer came, or it is long overdue


class Visit:
    """The handle of a visit that was accepted."""

    __slots__ = (
        "_balancer",
        "arrived_at",
        "client_deadline",
        "done",
        "fetches",
        "in_flight",
        "queued",
        "repeat_deadline",
        "request_class",
        "tag",
        "target_deadline",
    )

    def __init__(
        self, balancer: Balancer, tag: int, request_class: RequestClass, now: float, ttl: float, repeat: bool
    ) -> None:
        self._balancer, self.tag, self.request_class, self.arrived_at = balancer, tag, request_class, now
        self.client_deadline = now + ttl
        # a marked repeat with less time than a first try is a later try: its target latency began earlier
        elapsed = (
            request_class.settings.client_timeout - ttl
            if repeat and ttl < 0.98 * request_class.first_try_ttl
            else 0.0
        )
        self.target_deadline = now + min(ttl, request_class.target_latency - elapsed)
        self.fetches: list[Fetch] = []
        self.repeat_deadline = inf  # upstreams forget its key then: no repeat may begin there later
        self.in_flight = 0  # fetches in flight
        self.queued = self.done = False

    @property
    def settled(self) -> bool:
        """Whether it has its final answer and no fetch in flight, so that no event of it can follow."""
        return self.done and not self.in_flight

    def first_maybe_executed(self) -> Fetch | None:
        """The first fetch that may have executed or is still in flight."""
        return next((f for f in self.fetches if f.end not in NEVER_RAN), None)

    def fetch_ended(
        self, now: float, number: int, end: End, spent: float, final: bool, report: tuple[float, ...]
    ) -> None:
        """A fetch, by its number from 0, has ended after `spent` ms; `final`: the client has its answer."""
        self._balancer._fetch_ended(self, self.fetches[number], now, end, spent, final, report)

    def client_left(self, now: float) -> None:
        """The client has disconnected: it gets no answer."""
        self._balancer._close(self, now)
