"""Updates of the server list that are in doubt: sent by the list service, and not known to have arrived.

What the service has written counts as told, whether or not it reaches us. So a call of which a part of an
answer has come, or that was reset, is no failed call: any server may be draining by what it told. The outcome
is in doubt until the rest has come, or until a call that began later has been answered. No request goes to a
server while an update is in doubt for longer than the grace of a drain allows; it is rejected at once.
docs/design.md, "Updates in doubt".

Pure: times in ms on one clock, calls named by numbers that count up. Off unless calls are reported; then one
attribute check for each request.
"""

from __future__ import annotations

from dataclasses import dataclass
from math import inf

# ms of the grace that are left: a process may be held up for 150 before it reads what came, and again between
# the last look and the first byte; the rest is for the turns of its event loop
HELD_UP = 2 * 150.0 + 100.0
WHOLE_LIST = 1 << 62  # as a version: only the whole list has as much
# ms after which a change counts as told by a service that can be reached, whether or not it arrived: from the
# last word of a call that fell silent, or from when the list was last known to be the service's. So the page
# on the standing test has it
TOLD_AT_LAST = 6_000.0
LONGEST = 4.0  # of the settings' time for asking, for which a list may be used after a failed call
# ms for which it counts that a call was reset of which nothing came: a service that goes down resets all of
# its calls, mostly with nothing written, and requests have to go on. It is no such outage if the service
# answers a later call meanwhile, though it turns it away: it counts for as long as a change may go untold
LONGEST_UNSEEN = 1_000.0
LONGEST_UNSEEN_IF_UP = 6_000.0


@dataclass(slots=True)
class _Loss:
    """Updates that did not arrive, of one kind; what settles all of them."""

    since: float = inf  # the oldest was written then
    version: int = 0  # the highest that is known
    unknown: bool = False  # the version of one is not known
    latest: int = 0  # call that had begun when the last of them was lost

    def add(self, since: float, version: int, latest: int) -> None:
        self.since = min(self.since, since)
        self.version = max(self.version, version)
        self.unknown = self.unknown or version == 0
        self.latest = max(self.latest, latest)

    def settled_by(self, call: int, version: int, whole: bool) -> bool:
        """Whether an answer has as much, or was asked for later."""
        # guards: an answer of before can be read after a loss; it says nothing of what was lost
        later = call > self.latest
        if self.version == WHOLE_LIST:
            return whole and later
        if self.unknown and not later:
            return False
        return version >= self.version or (whole and later)


class InDoubt:
    """The updates of one balancer that are in doubt, and since when."""

    __slots__ = ("_allowance", "_arriving", "_current_at", "_longest", "_longest_unseen", "_may_be_down",
                 "_seen", "_unseen", "_untold", "since")

    def __init__(self) -> None:
        self.since = inf  # the oldest update in doubt began to arrive then; inf: there is none
        self._arriving: dict[int, float] = {}  # by call: its unfinished update began to arrive then
        self._seen = _Loss()  # a part of them came
        self._unseen = _Loss()  # nothing of them came, and there may have been none
        # what calls have missed that were silent or turned away; counts from a time that may lie ahead
        self._untold = _Loss()
        # up to then the list was the service's; None: this process has not heard from it
        self._current_at: float | None = None
        self._may_be_down = False  # the service, as far as is known since the last answer
        self._allowance = self._longest = 0.0
        self._longest_unseen = LONGEST_UNSEEN

    def fit(self, drain_grace: float, must_ask_in: float) -> None:
        """Figures of the settings, ms: how long sends may go on after a drain was told, time for asking."""
        self._allowance = max(0.0, drain_grace - HELD_UP)
        self._longest = LONGEST * must_ask_in

    def withholds(self, now: float) -> bool:
        """Whether requests have to wait for the list."""
        if now - self.since < self._allowance:
            return False
        # guards: a list service that broke off an answer and then died would keep everything out for good
        seen = min(self._seen.since, self._untold.since, *self._arriving.values(), inf)
        return (self._allowance <= now - seen < self._longest
                or self._allowance <= now - self._unseen.since < min(self._longest_unseen, self._longest))

    def arriving(self, now: float, call: int) -> None:
        """The first bytes of an update have come on a call."""
        self._arriving.setdefault(call, now)
        self._sum_up()

    def nothing(self, call: int) -> None:
        """What was arriving on a call is no update, or one that is known already."""
        self._arriving.pop(call, None)
        self._sum_up()

    def arrived(self, now: float, call: int, version: int, whole: bool) -> None:
        """An update has come whole, or the word that there is none; `whole`: it is the whole list."""
        self.current(now)
        self._may_be_down = False
        self._arriving.pop(call, None)
        if self._seen.settled_by(call, version, whole):
            self._seen = _Loss()
        if self._untold.settled_by(call, version, whole):
            self._untold = _Loss()
        if self._unseen.settled_by(call, version, whole):
            self._unseen, self._longest_unseen = _Loss(), LONGEST_UNSEEN
        self._sum_up()

    def fell_silent(self, since: float, call: int) -> None:
        """A call has been ended that had said nothing since a time, and may be broken."""
        self._untold.add(since + TOLD_AT_LAST, 0, call)
        self._sum_up()

    def current(self, now: float) -> None:
        """All that the service has told has been read, as when a watch has ended in order."""
        self._current_at = now

    def unreachable(self, now: float) -> None:
        """No connection to the service could be made: what changes meanwhile counts from its return on."""
        if self._current_at is not None:
            self._current_at = now

    def turned_away(self, now: float, call: int) -> None:
        """The service answers a call, and has too many."""
        if call > self._unseen.latest and now - self._unseen.since < LONGEST_UNSEEN:
            self._longest_unseen = LONGEST_UNSEEN_IF_UP

    def kept_from_us(self) -> None:
        """The service is there, and does not tell the list to who asks for it."""
        # guards: it has told each change 6 s after it was made, though it answers nobody. But where it is
        # down, what stands before it may turn calls away; it reset its calls then, or this process has not
        # heard from it yet and cannot know
        if self._may_be_down or self._current_at is None:
            return
        # whatever comes later has the news, on a call of before, too
        self._untold.add(self._current_at + TOLD_AT_LAST, 0, 0)
        self._sum_up()

    def lost(self, now: float, call: int, version: int, latest: int, seen: bool = True) -> None:
        """An update may have been written on a call that did not arrive, or a part of it cannot be read.

        `version`: of the update; 0 if that is not known, `WHOLE_LIST` if no later update has its news.
        `latest`: the number of the latest call that has begun. `seen`: a part of it came.
        """
        loss = self._seen if seen else self._unseen
        self._may_be_down = self._may_be_down or not seen
        loss.add(self._arriving.pop(call, now), version, latest)
        self._sum_up()

    def _sum_up(self) -> None:
        self.since = min(self._seen.since, self._untold.since, self._unseen.since, *self._arriving.values(),
                         inf)
