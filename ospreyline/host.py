"""The interface between the decisions (`decide.py`) and the host that carries them out.

A host builds one `decide.Balancer` per instance, passes itself as a `Host` to act through, and reports
events by calling the balancer. Times are milliseconds as floats on one monotonic clock. Upstreams are small
indices that the host assigns; visits are named towards the host by the `tag` that it chose.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum, IntEnum
from typing import Protocol


class Kind(Enum):
    """Whether a visit of a path prefix may be repeated once a backend fetch of it may have executed."""

    READ_LIKE = "read-like"
    TAGGED = "tagged"
    MUTATING = "mutating"


class DedupScope(Enum):
    """The group of upstreams that recognizes and drops the repeat of a tagged visit."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


def repeat_is_harmless(kind: Kind, scope: DedupScope) -> bool:
    """Whether a client may be told to retry a visit that may have executed.

    | visit | a retry may be sent | harmless |
    | --- | --- | --- |
    | read-like | anywhere | yes |
    | tagged, scope all | anywhere: each upstream drops the repeat | yes |
    | tagged, scope zone or cell | outside the scope, where it executes again | no |
    | mutating | anywhere, where it executes again | no |
    """
    return kind is Kind.READ_LIKE or (kind is Kind.TAGGED and scope is DedupScope.ALL)


class End(IntEnum):
    """How a backend fetch or a probe ended."""

    ERRORED = 0  # may have executed
    DELIVERED = 1
    FULL = 2  # rejected unread by a full upstream: did not execute
    TIMED_OUT = 3  # may have executed, or still be executing
    UNREACHED = 4  # no connection: did not execute
    RESET = 5  # may have executed
    CANCELLED = 6  # may have executed
    UNSENT = 7  # never sent: did not execute


NEVER_RAN = frozenset((End.FULL, End.UNREACHED, End.UNSENT))


class Readiness(IntEnum):
    """The state of an upstream in the upstream list."""

    READY = 1
    DRAINING = 2
    GONE = 3


@dataclass(slots=True, frozen=True)
class ListedUpstream:
    """One entry of the upstream list."""

    upstream: int
    hash_key: int  # the same at every balancer
    zone: int
    cell: int
    readiness: Readiness
    started_at: float  # start of the process on our clock, negative if before its zero; 0: long ago


@dataclass(slots=True, frozen=True)
class PathPrefix:
    """The settings of one path prefix: what is promised and permitted for its visits. Times in ms."""

    kind: Kind
    scope: DedupScope
    window: float  # for which upstreams remember a tag
    target_latency: float
    client_timeout: float
    gain: float
    late_gain: float  # of an answer between target latency and client timeout, as share of the gain
    name: str = ""  # only to recognize the same path prefix after a reload


@dataclass(slots=True, frozen=True)
class Deployment:
    """The settings of a deployment, which a balancer gets at its start and on a reload. Times in ms."""

    zone: int  # of this balancer, from 0
    zones: int  # how many
    balancers: int  # how many
    number: int  # of this balancer among them, from 0
    prefixes: tuple[PathPrefix, ...]
    max_fetches: int = 3
    may_cancel: bool = True
    may_probe: bool = False
    max_retry_after: float = 0.0  # 0: bounces have no Retry-After
    ask_for_list: bool = True  # the list is polled or watched, not pushed
    must_ask_in: float = 10_000.0  # without a list call for so long, updates count as received
    drain_grace: float = 500.0  # in which sends to an upstream must end once its drain was sent to us
    cold_from: float = 0.1  # share of its capacity that an upstream has at its start
    warm_within: float = 30_000.0  # until it has all of it
    overload_factor: float = 2.0  # of a cold upstream's capacity, the most that it may be sent
    tip_after: float = 2_000.0  # the window in which these sends are counted
    cross_fee: float = 0.0  # share of the mean gain, for each backend fetch to another zone
    probe_fee: float = 0.0
    may_tell: bool = False  # may send messages to the other balancers, which may be lost
    worst_prefix: float = 0.0  # weight of the worst-served path prefix in the goal
    zone_names: tuple[str, ...] = ()  # only to recognize the same zones after a reload
    report_fields: tuple[str, ...] = ()  # of in-flight, queue, util, latency, rate, errors


class Host(Protocol):
    """What the host does for the decisions. None of these calls back before it returns."""

    def start_fetch(self, tag: int, upstream: int, timeout_ms: float) -> None:
        """Start a backend fetch of the visit, for `timeout_ms` ms; a visit's fetches are numbered from 0."""

    def cancel_fetch(self, tag: int, fetch: int) -> None:
        """Cancel one backend fetch: stop waiting for its answer."""

    def bounce(self, tag: int, retry_after: float) -> None:
        """Final answer: a retry is harmless, after `retry_after` ms (0: no advice)."""

    def answer_error(self, tag: int) -> None:
        """Final answer: an error, without a promise about retries."""

    def call_at(self, at: float, call: Callable[[float], None]) -> None:
        """Set a timer: call `call` with the time, at `at` or soon after it."""

    def send_probe(self, upstream: int) -> None:
        """Send a probe to an upstream; its result goes to `Balancer.probe_ended`."""

    def close_idle_connections(self, upstream: int) -> None:
        """Close the idle connections to an upstream: its next fetch opens a new one."""

    def broadcast(self, message: bytes) -> None:
        """Send a message to all other balancers, where the settings allow it; it may be lost."""

    def watch_list(self, on: bool) -> None:
        """Call the list service for a watch: the changes of the upstream list from now on."""

    def poll_list(self) -> None:
        """Poll the whole upstream list once."""

    def log(self, text: str) -> None:
        """Write a log line."""
