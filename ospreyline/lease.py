"""Until when the list of upstreams may be used: a lease on it that only a proof renews.

What the list service has written to a balancer counts as told, whether or not it arrives, and any server may
drain by it. So the list of a balancer holds as of a moment, and only a proof moves that moment on. There are
three: a line, or an answer, that was read on a connection that stands; a connection that was refused, as
nobody is there to write; and, for the call that it ends, a message that was read to its end in form. Whatever
else becomes of a call (reset, closed before its last chunk, malformed, cut off, ended by us, never answered)
leaves open what was written on it, from then until a call that began later has been answered. Neither the
manner of an end nor the time since then proves anything. docs/design.md, "The lease on the list".

Pure: messages in, the time until which requests may be sent out. Times in ms on one clock, calls named by
numbers that count up. Off until `begin`; then one comparison for each request.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from math import inf

# ms of the grace that are left: a process may be held up for 150 before it reads what came, and again between
# the last look and the first byte; the rest is for the turns of its event loop
HELD_UP = 2 * 150.0 + 100.0
# ms after which a change counts as told by a service that can be reached, whether or not it arrived. So the
# page on the standing test has it
TOLD_AT_LAST = 6_000.0
# of the settings' time for asking, for which a list may be used after a failed call: the operators' own bound
LONGEST = 4.0
WHOLE_LIST = 1 << 62  # as a version: only the whole list has as much
# ms without a lease after which a balancer says that it is ready all the same: a bank that is kept from its
# list as a whole has to answer somebody, if only when to come back
READY_AT_LAST = 5_000.0


class Withheld(Enum):
    """Why no request may be sent."""

    NEVER_TOLD = "this process has not heard from the list service yet"
    UPDATE_LOST = "an update of the list may have been written and lost"
    OUT_OF_DATE = "the list service has not been heard for too long"


@dataclass(slots=True, frozen=True)
class CallBegan:
    """A call to the list service begins; its request leaves now or later."""

    call: int


@dataclass(slots=True, frozen=True)
class UpdateArriving:
    """The first bytes of an answer, or of an update, have come on a call, and not the rest.

    Or we have ended it, and what was written on it may still come.
    """

    call: int


@dataclass(slots=True, frozen=True)
class NothingArrived:
    """What was arriving on a call is no update, or one that is known already."""

    call: int


@dataclass(slots=True, frozen=True)
class UpdateRead:
    """An update, or the word that there is none, was read whole on a connection that stands."""

    call: int
    version: int
    whole: bool  # it is the whole list


@dataclass(slots=True, frozen=True)
class FormerServiceRead:
    """The same, from the address before: it counts by versions of its own."""

    call: int


@dataclass(slots=True, frozen=True)
class EndedInForm:
    """All that was written on a call has been read: its last chunk, or its length, has come."""

    call: int
    watched: bool = False  # a watch stands beside it


@dataclass(slots=True, frozen=True)
class UpdateLost:
    """An update may have been written on a call and not been read: the default for whatever ends a call.

    `version`: of a part that came; 0 if it is not known, `WHOLE_LIST` if no later update has its news.
    """

    call: int
    version: int = 0


@dataclass(slots=True, frozen=True)
class CallSilent:
    """We have ended a call that had said nothing for `age` s."""

    call: int
    age: float


@dataclass(slots=True, frozen=True)
class ConnectionRefused:
    """Nobody listens at the address of the list service."""

    call: int


LeaseMessage = (
    CallBegan
    | UpdateArriving
    | NothingArrived
    | UpdateRead
    | FormerServiceRead
    | EndedInForm
    | UpdateLost
    | CallSilent
    | ConnectionRefused
)


@dataclass(slots=True)
class _Losses:
    """Updates that may have been written and were not read, all together; what settles them."""

    first: float = inf  # the earliest may count as told from then on
    last: float = -inf  # and the latest
    version: int = 0  # the highest that is known
    latest_call: int = 0  # that had begun when the last of them was lost

    def add(self, told_at: float, version: int, latest_call: int) -> None:
        self.first = min(self.first, told_at)
        self.last = max(self.last, told_at)
        self.version = max(self.version, version)
        self.latest_call = max(self.latest_call, latest_call)

    def settled_by(self, read: UpdateRead) -> bool:
        """Whether an answer was asked for later, and has as much."""
        # guards: an answer of before can be read after a loss; it says nothing of what was lost
        if read.call <= self.latest_call:
            return False
        return read.whole or read.version >= self.version


class ListLease:
    """The lease of one balancer on its list."""

    __slots__ = (
        "_arriving",
        "_first_call_failed",
        "_grace",
        "_latest_call",
        "_longest",
        "_losses",
        "_never_told_since",
        "_proven_at",
        "_pushed",
        "expires",
    )

    def __init__(self) -> None:
        self.expires = inf  # ms; from then on `withholds` has more to ask
        self._proven_at = inf  # up to then the list is known to be the service's
        self._never_told_since = inf  # this process has heard nothing yet, and began then
        self._arriving: dict[int, float] = {}  # by call: its unread update may have been written from then on
        self._losses = _Losses()
        self._latest_call = 0
        self._first_call_failed = False
        self._grace, self._longest = 0.0, inf
        self._pushed = False

    def fit(self, drain_grace: float, must_ask_in: float, pushed: bool) -> None:
        """Figures of the settings: how long sends may go on after a drain was told, time for asking (ms).

        `pushed`: each change counts as told at once, whether or not a call is open.
        """
        self._grace = max(0.0, drain_grace - HELD_UP)
        self._longest = LONGEST * must_ask_in
        self._pushed = pushed
        self._renew()

    def begin(self, now: float) -> None:
        """A process starts, with a list that may be of any age."""
        self._never_told_since = now
        self._renew()

    def withholds(self, now: float) -> bool:
        """Whether requests have to wait for the list."""
        return now >= self.expires and self.why(now) is not None

    def ready(self, now: float) -> bool:
        """Whether clients may be sent here, or need not be sent elsewhere any longer."""
        if not self.withholds(now) or now - self.expires > READY_AT_LAST:
            return True
        # guards: an agent on the same machine that has failed once is not awaited by the whole bank
        return self._pushed and self._first_call_failed and self._never_told_since < inf

    def why(self, now: float) -> Withheld | None:
        """Why requests have to wait; None if they have not."""
        # guards: what counted as told before this process began has no grace left
        if self._never_told_since <= now < self._never_told_since + self._longest:
            return Withheld.NEVER_TOLD
        arriving = self._arriving.values()
        if self._over(now, self._losses.first, self._losses.last) or (
            arriving and self._over(now, min(arriving), max(arriving))
        ):
            return Withheld.UPDATE_LOST
        told_at = self._proven_at + TOLD_AT_LAST
        if self._over(now, told_at, told_at):
            return Withheld.OUT_OF_DATE
        return None

    def _over(self, now: float, first: float, last: float) -> bool:
        """Whether the grace is over of what may count as told from `first` to `last`."""
        # guards: a list service that broke off an answer and then died would keep everything out for good
        return first + self._grace <= now < last + self._longest

    @property
    def lost(self) -> bool:
        """Whether an update may have been lost that no answer has settled yet."""
        return self._losses.first < inf

    def take(self, now: float, message: LeaseMessage) -> None:
        """Something became of a call."""
        match message:
            case CallBegan(call):
                self._latest_call = max(self._latest_call, call)
            case UpdateArriving(call):
                self._arriving.setdefault(call, now)
            case NothingArrived(call):
                self._arriving.pop(call, None)
            case UpdateRead(call):
                self._arriving.pop(call, None)
                if self._losses.settled_by(message):
                    self._losses = _Losses()
                self._proven(now)
            case FormerServiceRead(call):
                self._arriving.pop(call, None)  # guards: it may be behind the service that is asked now
            case EndedInForm(call, watched):
                self._first_call_failed = True
                self._arriving.pop(call, None)
                if self._pushed and not watched:
                    # guards: what the agent has counts as told at once, and nothing tells it here
                    self._losses.add(now, 0, self._latest_call)
            case UpdateLost(call, version):
                self._first_call_failed = True
                self._losses.add(self._arriving.pop(call, now), version, self._latest_call)
            case CallSilent(call, age):
                self._first_call_failed = True
                self._losses.add(now - 1e3 * age + TOLD_AT_LAST, 0, call)
            case ConnectionRefused(call):
                self._arriving.pop(call, None)
                if not self._pushed:
                    # guards: what an agent has counts as told to a process that has not heard from it, too
                    self._proven(now)
        self._renew()

    def _proven(self, now: float) -> None:
        self._proven_at, self._never_told_since = now, inf

    def _renew(self) -> None:
        told_at = min(self._losses.first, self._proven_at + TOLD_AT_LAST, *self._arriving.values())
        self.expires = min(self._never_told_since, told_at + self._grace)
