"""The list lease: until when requests may be sent by the upstream list; only evidence renews it.

An update that the list service has written counts as received by the balancer, whether or not it arrives, and
any server may drain by it. So the list of a balancer is valid as of a moment, and only evidence moves that
moment on. There are three kinds: a line, or an answer, that was read on an open connection; a refused
connection, as nobody is there to write; and, for the call that it ends, a message that was read to its end.
Whatever else becomes of a call (reset, closed before its last chunk, malformed, truncated, ended by us, never
answered) leaves open what was written on it, until a call that started later has been answered. Neither the
way in which a call ended nor the time since then is evidence. docs/design.md, "The lease on the list".

When an update counts as received, by the pages of the users, and what ends the block of sends that follows
after the grace. A "later answer" is one to a call that started after the loss:

    an update                                  counts as received              the block ends with
    -----------------------------------------  ------------------------------  ---------------------------
    of which a part was read                   from its first byte             a later answer
    that came and cannot be read               when it came                    a later answer
    written on a connection that ended         from that end                   a later answer, or away
    missed on a connection that is silent      `NOTIFIED_AFTER_MS` after its   a later answer
                                               last data
    missed on one that we ended, and whose     from that end                   a later answer
    end the service has not been seen to read
    at a service that could be reached         `NOTIFIED_AFTER_MS` after the   an answer, a refusal, or
                                               last proof of the list          away
    at a new address of the service            `NOTIFIED_AFTER_MOVE_MS` after  an answer from there, or a
                                               the move                        refusal after that time
    made before this process started           at its start                    an answer, or a refusal
    at the agent, where lists are pushed       at once                         an answer

*Away*, the only end by time, is `MAX_AGE_FACTOR` times `must_ask_in` without any connection to the service.
It holds for a balancer without a watch, so never while the service may hold a connection of ours open.

No I/O: takes messages and answers until when requests may be sent. Times in ms on one clock; calls are
identified by increasing numbers. Disabled until `start`; afterwards it costs one comparison per request.
"""

from __future__ import annotations

from collections.abc import Collection
from dataclasses import dataclass
from enum import Enum
from math import inf

# ms of the grace period kept in reserve: a process may stall for 150 ms before it reads what came, and again
# between the last check and the first byte sent; the rest is for iterations of its event loop
STALL_RESERVE_MS = 2 * 150.0 + 100.0
# ms after which a balancer counts as notified of a change by a reachable service, whether or not it arrived;
# fixed by the page on the standing test
NOTIFIED_AFTER_MS = 6_000.0
# ms after a move to another address of the service, when what it has counts as received; fixed by the page on
# new configurations
NOTIFIED_AFTER_MOVE_MS = 4_000.0
# times `must_ask_in`: how long a list may be used after a failed call, a bound set by the operators. So long
# without any connection to the service, a balancer that has no watch goes on with the list that there is
MAX_AGE_FACTOR = 4.0
FULL_LIST_VERSION = 1 << 62  # as the version of a lost update: only the full list settles it
# ms without a lease after which a balancer reports itself ready all the same: if the whole bank is cut off
# from its list, somebody has to answer clients, if only with a time to come back
READY_ANYWAY_AFTER_MS = 5_000.0


class BlockReason(Enum):
    """Why no request may be sent."""

    NO_UPDATE_YET = "this process has not heard from the list service yet"
    UPDATE_LOST = "an update of the list may have been written and lost"
    READING_BEHIND = "updates of the list have come and are not read yet"
    OUT_OF_DATE = "the list service has not been heard for too long"


@dataclass(slots=True, frozen=True)
class CallStarted:
    """A list call starts; its request is sent now or later."""

    call: int


@dataclass(slots=True, frozen=True)
class ServiceMoved:
    """A new configuration names another address of the list service; later calls go there."""


@dataclass(slots=True, frozen=True)
class UpdateArriving:
    """The first bytes of an answer, or of an update, have come on a call, and not the rest.

    Or we have ended the call, and what was written on it may still come.
    """

    call: int


@dataclass(slots=True, frozen=True)
class NoUpdateArriving:
    """What was arriving on a call is no update, or one that is known already."""

    call: int


@dataclass(slots=True, frozen=True)
class ReadingBehind:
    """More has come on a call than is read in one iteration of the event loop."""

    call: int


@dataclass(slots=True, frozen=True)
class CaughtUp:
    """All that has come on a call is read, or the call is over."""

    call: int


@dataclass(slots=True, frozen=True)
class UpdateRead:
    """An update, or the answer that there is none, was read completely on an open connection."""

    call: int
    version: int
    full: bool  # it is the full list


@dataclass(slots=True, frozen=True)
class FormerServiceRead:
    """An update was read from the service's former address, which counts versions of its own."""

    call: int


@dataclass(slots=True, frozen=True)
class MessageComplete:
    """All that was written on a call has been read: its last chunk, or its length, has come."""

    call: int
    watched: bool = False  # a watch is open beside it


@dataclass(slots=True, frozen=True)
class UpdateLost:
    """An update may have been written on a call and not been read: the default for however a call ends.

    `version`: of a part that came; 0 if unknown, `FULL_LIST_VERSION` if no later update repeats its content.
    """

    call: int
    version: int = 0
    # only an answer settles it, however long the service is away: a part of an update has come, or the
    # service may still hold the connection open and write on it
    until_answered: bool = False


@dataclass(slots=True, frozen=True)
class CallTimedOut:
    """We have ended a call on which nothing had been received for `age` s."""

    call: int
    age: float


@dataclass(slots=True, frozen=True)
class ConnectionRefused:
    """Nobody listens at the address of the list service."""

    call: int


LeaseMessage = (
    CallStarted
    | ServiceMoved
    | UpdateArriving
    | NoUpdateArriving
    | ReadingBehind
    | CaughtUp
    | UpdateRead
    | FormerServiceRead
    | MessageComplete
    | UpdateLost
    | CallTimedOut
    | ConnectionRefused
)


@dataclass(slots=True)
class _Losses:
    """Updates that may have been written and were not read, merged; and what settles them."""

    first: float = inf  # ms; the earliest of them counts as received from then on
    last: float = -inf  # ms; and the latest of them
    version: int = 0  # the highest known version
    latest_call: int = 0  # the latest call that had started when the last of them was lost
    until_answered: bool = False  # only an answer settles them

    def add(self, notified_at: float, version: int, latest_call: int, until_answered: bool) -> None:
        self.until_answered = self.until_answered or until_answered
        self.first = min(self.first, notified_at)
        self.last = max(self.last, notified_at)
        self.version = max(self.version, version)
        self.latest_call = max(self.latest_call, latest_call)

    def settled_by(self, read: UpdateRead) -> bool:
        """Whether an answer was requested after the losses and covers their version."""
        # an answer to an earlier call can be read after a loss; it says nothing about what was lost
        if read.call <= self.latest_call:
            return False
        return read.full or read.version >= self.version


class ListLease:
    """The lease of one balancer on its upstream list."""

    __slots__ = (
        "_arriving",
        "_behind",
        "_first_call_failed",
        "_grace",
        "_last_call_before_move",
        "_latest_call",
        "_losses",
        "_max_age",
        "_moved_at",
        "_no_update_since",
        "_proven_at",
        "_pushed",
        "_reached_at",
        "expires_at",
    )

    def __init__(self) -> None:
        self.expires_at = inf  # ms; before then `blocks_sends` need not check further
        self._proven_at = inf  # ms; the list is known to have been current then
        self._no_update_since = inf  # ms; start of the process, while it has received nothing yet
        self._arriving: dict[
            int, float
        ] = {}  # by call: ms; its unread update may have been written from then on
        self._behind: dict[int, float] = {}  # by call: ms; unread lines may have been written from then on
        self._losses = _Losses()
        # ms; a connection to the service was last open. What it had then counts as received 6 s later,
        # whatever became of the call
        self._reached_at = -inf
        self._latest_call = 0
        self._moved_at = inf  # ms; to an address that has not been heard since
        self._last_call_before_move = 0
        self._first_call_failed = False
        self._grace, self._max_age = 0.0, inf
        self._pushed = False

    def configure(self, drain_grace: float, must_ask_in: float, pushed: bool) -> None:
        """Applies settings: for how long sends may go on after a drain notice, and `must_ask_in` (ms).

        `pushed`: each change counts as received at once, whether or not a call is open.
        """
        self._grace = max(0.0, drain_grace - STALL_RESERVE_MS)
        # what an agent has counts as received at once, so no list of before it is held to
        self._max_age = inf if pushed else MAX_AGE_FACTOR * must_ask_in
        self._pushed = pushed
        self._renew()

    def start(self, now: float) -> None:
        """A process starts, with a list that may be of any age."""
        self._no_update_since = now
        self._renew()

    def blocks_sends(self, now: float) -> bool:
        """Whether sends are blocked, as there is no valid lease."""
        return now >= self.expires_at and self.block_reason(now) is not None

    def ready(self, now: float) -> bool:
        """Whether the balancer may report itself ready to clients."""
        if not self.blocks_sends(now) or now - self.expires_at > READY_ANYWAY_AFTER_MS:
            return True
        # otherwise the whole bank would wait for an agent on the same machine that has failed once
        return self._pushed and self._first_call_failed and self._no_update_since < inf

    def block_reason(self, now: float) -> BlockReason | None:
        """Why sends are blocked; None if they are not."""
        # what counted as received before this process started has no grace left
        if now >= self._no_update_since:
            return BlockReason.NO_UPDATE_YET
        if self._blocked_by_loss(now) or self._overdue(now, self._arriving.values()):
            return BlockReason.UPDATE_LOST
        if self._overdue(now, self._behind.values()):
            return BlockReason.READING_BEHIND
        if now >= self._moved_at + NOTIFIED_AFTER_MOVE_MS + self._grace:
            return BlockReason.OUT_OF_DATE
        notified_at = self._proven_at + NOTIFIED_AFTER_MS
        if now >= notified_at + self._grace and not self._away_for_long(now, notified_at):
            return BlockReason.OUT_OF_DATE
        return None

    def _blocked_by_loss(self, now: float) -> bool:
        """Whether the grace is over for an update that may have been lost."""
        if now < self._losses.first + self._grace:
            return False
        return self._losses.until_answered or not self._away_for_long(now, self._losses.last)

    def _overdue(self, now: float, unread_since: Collection[float]) -> bool:
        """Whether the grace is over for one of the updates that may be unread since then (ms)."""
        return bool(unread_since) and now >= min(unread_since) + self._grace

    def _away_for_long(self, now: float, since: float) -> bool:
        """Whether the service has not been reached since `since` (ms), for as long as a list may be used."""
        # without this bound, a service that died at once with its watches would block sends for good
        return now >= self._unreached_since(since) + self._max_age

    def _unreached_since(self, since: float) -> float:
        """When the service was last reached, if that was after `since` (ms)."""
        return max(since, self._reached_at)

    @property
    def has_lost_update(self) -> bool:
        """Whether an update may have been lost that no answer has settled yet."""
        return self._losses.first < inf

    def apply(self, now: float, message: LeaseMessage) -> None:
        """Applies what became of a call."""
        self._note_connection(now, message)
        match message:
            case CallStarted(call):
                self._latest_call = max(self._latest_call, call)
            case ServiceMoved():
                if self._moved_at == inf:
                    self._moved_at, self._last_call_before_move = now, self._latest_call
            case UpdateArriving(call):
                self._arriving.setdefault(call, now)
            case NoUpdateArriving(call):
                self._arriving.pop(call, None)
            case ReadingBehind(call):
                self._behind.setdefault(call, now)
            case CaughtUp(call):
                self._behind.pop(call, None)
            case UpdateRead(call):
                self._arriving.pop(call, None)
                if self._losses.settled_by(message):
                    self._losses = _Losses()
                self._prove(now)
                if call > self._last_call_before_move:
                    self._moved_at = inf
            case FormerServiceRead(call):
                # no evidence: the former service may be behind the current one
                self._arriving.pop(call, None)
            case MessageComplete(call, watched):
                self._first_call_failed = True
                self._arriving.pop(call, None)
                if self._pushed and not watched:
                    # what the agent has counts as received at once, and no open watch would bring it here
                    self._losses.add(now, 0, self._latest_call, until_answered=True)
            case UpdateLost(call, version, until_answered):
                self._first_call_failed = True
                lost_at = self._arriving.pop(call, now)
                self._losses.add(lost_at, version, self._latest_call, until_answered)
            case CallTimedOut(call, age):
                self._first_call_failed = True
                # the service may hold the connection open: what it writes there counts as received
                notified_at = now - 1e3 * age + NOTIFIED_AFTER_MS
                self._losses.add(notified_at, 0, call, until_answered=True)
            case ConnectionRefused(call):
                self._arriving.pop(call, None)
                if not self._pushed:
                    # a pushed list counts as received also by a process that has not heard from its agent
                    self._prove(now)
                    if now >= self._moved_at + NOTIFIED_AFTER_MOVE_MS:
                        self._moved_at = inf  # nobody was there who could have notified us by then
        self._renew()

    def _note_connection(self, now: float, message: LeaseMessage) -> None:
        """Notes when a connection to the service was last open, by what became of a call on it."""
        match message:
            case UpdateArriving() | UpdateRead() | MessageComplete() | UpdateLost():
                self._reached_at = now
            case CallTimedOut(_, age):
                self._reached_at = max(self._reached_at, now - 1e3 * age)

    def _prove(self, now: float) -> None:
        self._proven_at, self._no_update_since = now, inf

    def _renew(self) -> None:
        unread = *self._arriving.values(), *self._behind.values()
        proof_ends_at, move_ends_at = (
            self._proven_at + NOTIFIED_AFTER_MS,
            self._moved_at + NOTIFIED_AFTER_MOVE_MS,
        )
        notified_at = min(self._losses.first, proof_ends_at, move_ends_at, *unread)
        self.expires_at = min(self._no_update_since, notified_at + self._grace)
