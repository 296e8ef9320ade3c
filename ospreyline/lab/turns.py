"""A single-server queue (FIFO) of calls: when each call is served, and which are refused. Pure logic."""

from __future__ import annotations

from collections import deque


class Turns:
    """Serves one call at a time, each for `ms` ms; at most `queue` calls wait."""

    def __init__(self, ms: float, queue: int) -> None:
        self._service_ms = ms
        self._max_waiting = queue
        self._done_at: deque[float] = deque()  # completion times of the calls not yet served
        self.longest = 0  # longest queue so far
        self.calls = self.refused = 0

    def waiting(self, now: float) -> int:
        """The number of calls that wait, without the one being served."""
        while self._done_at and self._done_at[0] <= now:
            self._done_at.popleft()
        return max(0, len(self._done_at) - 1)

    def call(self, now: float) -> float | None:
        """Enqueue a call: ms until it is served, or None if the queue is full."""
        self.calls += 1
        waiting = self.waiting(now)
        if len(self._done_at) > self._max_waiting:
            self.refused += 1
            return None
        start = self._done_at[-1] if self._done_at else now
        self._done_at.append(start + self._service_ms)
        self.longest = max(self.longest, waiting + (len(self._done_at) > 1))
        return self._done_at[-1] - now
