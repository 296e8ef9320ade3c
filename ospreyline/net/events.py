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


class Logger(Protocol):
    """The part of a structlog logger that is used here."""

    def info(self, event: str, **values: Any) -> Any: ...


class EventLog:
    """Rate-limited log lines; `counts` counts every event by its reason, as "event: reason".

    `counts["log_lines_dropped"]` counts those for which no line was written. `clock` returns monotonic
    milliseconds.
    """

    def __init__(self, logger: Logger, clock: Callable[[], float], counts: Counter[str]) -> None:
        self._logger = logger
        self._clock = clock
        self._counts = counts
        self._tokens = BURST_LINES
        self._refilled_at = clock()

    def line(self, event: str, why: str, **values: Any) -> None:
        """Count an event by its reason, and write a log line unless the rate limit is reached."""
        self._counts[f"{event}: {why}"] += 1
        now = self._clock()
        refill = (now - self._refilled_at) / 1e3 * LINES_PER_SECOND
        self._tokens = min(BURST_LINES, self._tokens + refill)
        self._refilled_at = now
        if self._tokens < 1.0:
            self._counts["log_lines_dropped"] += 1
            return
        self._tokens -= 1.0
        self._logger.info(event, why=why, **values)

    def closed(self, side: str, why: str, peer: str) -> None:
        """Record that this process closed a connection; `side` is "client" or "upstream"."""
        self.line(f"{side} connection closed", why, peer=peer)
