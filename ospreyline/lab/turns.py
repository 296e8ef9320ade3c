"""A service that works through calls in turn: when each is served, and which are refused. Pure."""

from __future__ import annotations

from collections import deque


class Turns:
    """Calls in turn: so many ms each, so many waiting at most."""

    def __init__(self, ms: float, queue: int) -> None:
        self._ms = ms
        self._queue = queue
        self._ends: deque[float] = deque()  # when each call that is not yet served will be
        self.longest = 0  # queue so far
        self.calls = self.refused = 0

    def waiting(self, now: float) -> int:
        while self._ends and self._ends[0] <= now:
            self._ends.popleft()
        return max(0, len(self._ends) - 1)  # one of them is being served

    def call(self, now: float) -> float | None:
        """A call has come: ms until it is served; None if it is refused."""
        self.calls += 1
        waiting = self.waiting(now)
        if len(self._ends) > self._queue:
            self.refused += 1
            return None
        begins = self._ends[-1] if self._ends else now
        self._ends.append(begins + self._ms)
        self.longest = max(self.longest, waiting + (len(self._ends) > 1))
        return self._ends[-1] - now
