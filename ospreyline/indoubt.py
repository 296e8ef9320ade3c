"""Updates of the server list that are in doubt: sent by the list service, and not known to have arrived.

What the service has written counts as told, whether or not it reaches us. So an answer of which a part has
come is no failed call: any server may be draining by it. Its outcome is in doubt until the rest has come or
a later answer has taken its place. No request goes to a server while an update is in doubt for longer than
the grace of a drain allows; it is rejected at once. docs/design.md, "Updates in doubt".

Pure: times in ms on one clock, calls named by numbers. Off unless calls are reported; then one attribute
check for each request.
"""

from __future__ import annotations

from math import inf

# ms of the grace that are left: a process may be held up for 150 before it reads what came, and again between
# the last look and the first byte; the rest is for the turns of its event loop
HELD_UP = 2 * 150.0 + 100.0
WHOLE_LIST = 1 << 62  # as a version: only the whole list has as much
LONGEST = 4.0  # of the settings' time for asking, for which a list may be used after a failed call


class InDoubt:
    """The updates of one balancer that are in doubt, and since when."""

    __slots__ = ("_allowance", "_arriving", "_longest", "_lost_at", "_lost_version", "since")

    def __init__(self) -> None:
        self.since = inf  # the oldest update in doubt began to arrive then; inf: there is none
        self._arriving: dict[int, float] = {}  # by call: its unfinished update began to arrive then
        self._lost_at = inf  # an update began to arrive then and was cut off
        self._lost_version = 0  # the highest version of those, 0 where it had not come
        self._allowance = self._longest = 0.0

    def fit(self, drain_grace: float, must_ask_in: float) -> None:
        """Figures of the settings, ms: how long sends may go on after a drain was told, time for asking."""
        self._allowance = max(0.0, drain_grace - HELD_UP)
        self._longest = LONGEST * must_ask_in

    def withholds(self, now: float) -> bool:
        """Whether requests have to wait for the list."""
        # guards: a list service that broke off an answer and then died would keep everything out for good
        return self._allowance <= now - self.since < self._longest

    def arriving(self, now: float, call: int) -> None:
        """The first bytes of an update have come on a call."""
        self._arriving.setdefault(call, now)
        self._sum_up()

    def arrived(self, call: int, version: int, whole: bool) -> None:
        """An update has come whole; `whole`: it is the whole list, which leaves nothing in doubt."""
        self._arriving.pop(call, None)
        if whole or version >= self._lost_version:
            self._lost_at, self._lost_version = inf, 0
        self._sum_up()

    def cut_off(self, now: float, call: int, version: int) -> None:
        """A call ended in the middle of an update, or a part of it cannot be read.

        `version`: of the update; 0 if that had not come, `WHOLE_LIST` if no later update has its news.
        """
        self._lost_at = min(self._lost_at, self._arriving.pop(call, now))
        self._lost_version = max(self._lost_version, version)
        self._sum_up()

    def replaced(self, call: int) -> None:
        """We ended a call, since another one has brought as much."""
        self._arriving.pop(call, None)
        self._sum_up()

    def _sum_up(self) -> None:
        self.since = min(self._lost_at, *self._arriving.values(), inf)
