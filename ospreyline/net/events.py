"""Log lines about single requests and connections: why one was retried, rejected, failed or closed.

Every event is counted by its reason, but few lines are written: a full pipe blocks the event loop, and where
only part of a log is kept, lines about requests would crowd out those about the list and the process.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from typing import Any, Protocol

LINES_PER_SECOND = 2.0
BURST_LINES = 20.0  # lines that can be written at once after a quiet time
# the same for lines about changes of the list: a fleet of thousands can be replaced within seconds
CHANGE_LINES_PER_SECOND, BURST_CHANGE_LINES = 50.0, 400.0


class Logger(Protocol):
    """The part of a structlog logger that is used here."""

    def info(self, event: str, **values: Any) -> Any: ...


class RateLimit:
    """A token bucket: `per_second` in the mean, and `burst` at once; times in monotonic milliseconds."""

    def __init__(self, per_second: float, burst: float, now: float) -> None:
        self._per_second = per_second
        self._burst = self._tokens = burst
        self._refilled_at = now

    def take(self, now: float) -> bool:
        """Whether one more is allowed now."""
        self._tokens = min(self._burst, self._tokens + (now - self._refilled_at) / 1e3 * self._per_second)
        self._refilled_at = now
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True


class EventLog:
    """Rate-limited log lines; `counts` counts every event by its reason, as "event: reason".

    `counts["log_lines_dropped"]` counts those for which no line was written. `clock` returns monotonic
    milliseconds.
    """

    def __init__(self, logger: Logger, clock: Callable[[], float], counts: Counter[str]) -> None:
        self._logger = logger
        self._clock = clock
        self._counts = counts
        self._lines = RateLimit(LINES_PER_SECOND, BURST_LINES, clock())
        self._change_lines = RateLimit(CHANGE_LINES_PER_SECOND, BURST_CHANGE_LINES, clock())

    def line(self, event: str, why: str, **values: Any) -> None:
        """Count an event by its reason, and write a log line unless the rate limit is reached."""
        self._counts[f"{event}: {why}"] += 1
        if self._lines.take(self._clock()):
            self._logger.info(event, why=why, **values)
        else:
            self._counts["log_lines_dropped"] += 1

    def change(self, event: str, **values: Any) -> None:
        """Write a log line about a change of the list unless their rate limit is reached."""
        if self._change_lines.take(self._clock()):
            self._logger.info(event, **values)
        else:
            self._counts["list_log_lines_dropped"] += 1

    def closed(self, side: str, why: str, peer: str) -> None:
        """Record that this process closed a connection; `side` is "client" or "upstream"."""
        self.line(f"{side} connection closed", why, peer=peer)
