"""Log lines about single requests and connections: why one was retried, rejected, failed or closed.

They are rate limited, since a full pipe blocks the event loop: past the limit a line is only counted.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from typing import Any, Protocol

LINES_PER_SECOND = 40.0
BURST = 200.0  # lines that a quiet time saves up


class Logger(Protocol):
    """The part of a structlog logger that is used here."""

    def info(self, event: str, **values: Any) -> Any: ...


class EventLog:
    """Rate-limited log lines; `counts["log_lines_dropped"]` says how many were left out.

    `clock` returns milliseconds on a clock that only goes forward.
    """

    def __init__(self, logger: Logger, clock: Callable[[], float], counts: Counter[str]) -> None:
        self._logger = logger
        self._clock = clock
        self._counts = counts
        self._tokens = BURST
        self._refilled_at = clock()

    def line(self, event: str, **values: Any) -> None:
        """Write a line, unless too many were written of late."""
        now = self._clock()
        refill = (now - self._refilled_at) / 1e3 * LINES_PER_SECOND
        self._tokens = min(BURST, self._tokens + refill)
        self._refilled_at = now
        if self._tokens < 1.0:
            self._counts["log_lines_dropped"] += 1
            return
        self._tokens -= 1.0
        self._logger.info(event, **values)

    def closed(self, side: str, why: str, peer: str) -> None:
        """A connection was closed by this process; `side` is "client" or "upstream"."""
        self.line("connection closed", side=side, why=why, peer=peer)
