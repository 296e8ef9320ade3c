"""Log lines about the list lease: what became of list calls, and when and why sends are blocked."""

from __future__ import annotations

from typing import Any

from ospreyline.lease import BlockReason, CallTimedOut, LeaseMessage, ListLease, UpdateLost

# a possibly lost update must have lasted this long for the lease renewal to be logged
LEASE_DOUBT_LOG_MS = 100.0


class LeaseLog:
    """Writes one line for each message that shortens the lease, and for each block that begins or ends.

    Times are monotonic milliseconds. What ended a block is told by the lines around its end: an answer
    writes "list lease renewed" beside it, the passing of time alone does not.
    """

    def __init__(self, logger: Any, lease: ListLease) -> None:
        self._logger = logger
        self._lease = lease
        self._blocked_by: BlockReason | None = None
        self._blocked_since = 0.0

    def apply(self, now: float, message: LeaseMessage) -> None:
        """Applies a message to the lease and logs its effect."""
        before = self._lease.expires_at
        self._lease.apply(now, message)
        match message:
            case UpdateLost(call, version):
                self._logger.warning(
                    "list update may be lost",
                    call=call,
                    rev=version or None,
                    expires_in_ms=round(self._lease.expires_at - now),
                )
            case CallTimedOut(call, age):
                self._logger.info("list call received no data", call=call, s=round(age, 1))
        if self._lease.expires_at > now >= before + LEASE_DOUBT_LOG_MS:
            self._logger.info("list lease renewed", after_ms=round(now - before))

    def note_block(self, now: float) -> None:
        """Logs whether a block of sends has begun or ended since the last call."""
        reason = self._lease.block_reason(now)
        if reason is self._blocked_by:
            return
        if reason is not None:
            self._logger.warning("sends blocked", why=reason.value, lost_update=self._lease.has_lost_update)
        elif self._blocked_by is not None:
            self._logger.info(
                "sends allowed again",
                after_ms=round(now - self._blocked_since),
                blocked_by=self._blocked_by.value,
                lost_update=self._lease.has_lost_update,
            )
        if self._blocked_by is None:
            self._blocked_since = now
        self._blocked_by = reason
