"""The interface between the decisions (`decide.py`) and whatever carries them out: a front.

A front builds one `decide.Balancer` an instance, hands it a `Host` to act through and tells it what
happens by calls. Times are milliseconds as floats on one clock that only goes forward. Upstreams are
small indices that the front gives out; visits are named towards the front by the `tag` it chose.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum, IntEnum
from typing import Protocol


class Kind(Enum):
    """What a path prefix allows once a backend fetch may have run."""

    READ_LIKE = "read-like"
    TAGGED = "tagged"
    MUTATING = "mutating"


class Scope(Enum):
    """The upstreams among which the repeat of a tagged visit is dropped."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class End(IntEnum):
    """How a backend fetch or a probe ended."""

    ERRORED = 0  # may have run
    DELIVERED = 1
    FULL = 2  # turned away unseen: never ran
    TIMED_OUT = 3  # may have run, or still run
    UNREACHED = 4  # no connection: never ran
    RESET = 5  # may have run
    CANCELLED = 6  # may have run
    UNSENT = 7  # never left


NEVER_RAN = frozenset((End.FULL, End.UNREACHED, End.UNSENT))


class Readiness(IntEnum):
    """What the list says of an upstream."""

    READY = 1
    DRAINING = 2
    GONE = 3


@dataclass(slots=True, frozen=True)
class Listed:
    """One line of the list of upstreams."""

    upstream: int
    mark: int  # the same number at every balancer, for hashing only
    zone: int
    cell: int
    readiness: Readiness
    came_up: float  # start of the process on our clock (under 0: before its zero), 0 for long ago


@dataclass(slots=True, frozen=True)
class PathPrefix:
    """What is promised and permitted for the visits of one path prefix."""

    kind: Kind
    scope: Scope
    window: float  # how long upstreams remember a tag
    target_latency: float
    client_timeout: float
    gain: float
    late_gain: float  # share of the gain for an answer between target latency and client timeout
    name: str = ""  # tells the same path prefix after a reload, nothing else


@dataclass(slots=True, frozen=True)
class Deployment:
    """The figures of a deployment that a balancer is told at its start."""

    zone: int
    zones: int
    balancers: int
    number: int  # of this balancer among them, from 0
    prefixes: tuple[PathPrefix, ...]
    max_fetches: int = 3
    may_cancel: bool = True
    may_probe: bool = False
    max_retry_after: float = 0.0  # 0: clients are given no advice
    ask_for_list: bool = True  # the list comes only when asked for
    must_ask_in: float = 10_000.0
    drain_grace: float = 500.0  # in which sends to an upstream must end once its drain was told
    cold_from: float = 0.1
    warm_within: float = 30_000.0
    overload_factor: float = 2.0
    tip_after: float = 2_000.0
    cross_fee: float = 0.0  # share of the mean gain, for each backend fetch to another zone
    probe_fee: float = 0.0
    may_tell: bool = False  # short messages to the other balancers, which may be lost
    worst_prefix: float = 0.0  # weight of the worst-served path prefix in the goal
    zone_names: tuple[str, ...] = ()  # tell the same zones after a reload, nothing else
    report_fields: tuple[str, ...] = ()  # in-flight, queue, util, latency, rate, errors


class Host(Protocol):
    """What a front does for the decisions. None of these calls back before returning."""

    def send(self, tag: int, upstream: int, time_out: float) -> None:
        """Start a backend fetch of the visit; fetches are numbered from 0 in the order of sends."""

    def cancel(self, tag: int, fetch: int) -> None:
        """Stop waiting for one backend fetch."""

    def bounce(self, tag: int, retry_after: float) -> None:
        """Final answer: trying again is harmless, after so long (0: no advice)."""

    def fail(self, tag: int) -> None:
        """Final answer: an error page, with no promise."""

    def wake(self, at: float, call: Callable[[float], None]) -> None:
        """Call back with the time, at that time or soon after it."""

    def probe(self, upstream: int) -> None:
        """Ask an upstream how it does."""

    def drop(self, upstream: int) -> None:
        """Close the idle connections to an upstream: the next fetch opens a new one."""

    def tell(self, message: bytes) -> None:
        """Tell all other balancers, where the settings allow it; it may be lost."""

    def watch(self, on: bool) -> None:
        """Ask for the changes of the list from now on."""

    def refresh(self) -> None:
        """Ask once for the whole list."""

    def log(self, text: str) -> None:
        """Leave a line for on-call staff."""
