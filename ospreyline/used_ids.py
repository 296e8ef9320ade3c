"""Ids of requests that may have run, so that a repeat under the same id is not sent again.

An id is new with every request, also with a client's retry: one that comes again is the same request, sent
once more by a library or a network, often after its first connection has ended. While the first one is open
its id is refused; this keeps it for a while after that. Another balancer knows nothing of it.
"""

from __future__ import annotations

MIN_KEEP_MS = 30_000.0
KEEP_CLIENT_TIMEOUTS = 2.0  # and at least so many of the longest client timeout
# ids kept at the most, some 4 MB with the longest ids; the oldest are forgotten first
MAX_IDS = 16_384


class UsedIds:
    """The ids of requests that may have run, by age; bounded in number and time. Times in monotonic ms."""

    def __init__(self) -> None:
        self._keep_ms = MIN_KEEP_MS
        self._used_at: dict[bytes, float] = {}  # oldest first

    def __len__(self) -> int:
        return len(self._used_at)

    def configure(self, longest_client_timeout: float) -> None:
        """Derives for how long ids are kept from the settings (ms)."""
        self._keep_ms = max(MIN_KEEP_MS, KEEP_CLIENT_TIMEOUTS * longest_client_timeout)

    def add(self, now: float, request_id: bytes) -> None:
        """Records that the request with this id may have run."""
        self._used_at.pop(request_id, None)
        self._used_at[request_id] = now
        self.forget_old(now)

    def contains(self, now: float, request_id: bytes) -> bool:
        """Whether a request with this id may have run within the time for which ids are kept."""
        used_at = self._used_at.get(request_id)
        return used_at is not None and now < used_at + self._keep_ms

    def forget_old(self, now: float) -> None:
        """Forgets ids over the bounds of number and age."""
        while self._used_at:
            request_id, used_at = next(iter(self._used_at.items()))
            if len(self._used_at) <= MAX_IDS and now < used_at + self._keep_ms:
                return
            del self._used_at[request_id]
