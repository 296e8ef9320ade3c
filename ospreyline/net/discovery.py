"""List calls: polls and watches of the list service, which pass on the upstream list as it comes.

When to call is decided elsewhere. A call that fails, or a watch that ends or times out, is reported once.
After a move the new address is called at once; the watch at the old one is read until the new one has
answered. A watch that has received nothing yet stays open beside the next one, three at most: the service may
answer it in its turn, or never. What becomes of each call is passed on as messages of the list lease
(`lease.py`).
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

from ospreyline.lease import (
    FULL_LIST_VERSION,
    CallStarted,
    CallTimedOut,
    CaughtUp,
    ConnectionRefused,
    FormerServiceRead,
    LeaseMessage,
    MessageComplete,
    NoUpdateArriving,
    ReadingBehind,
    ServiceMoved,
    UpdateArriving,
    UpdateLost,
    UpdateRead,
)
from ospreyline.net.list_call import SILENCE_TIMEOUT_S, CallEnd, ListCall
from ospreyline.net.listing import Entry, ListUpdate, Log
from ospreyline.net.memory import MemoryBudget
from ospreyline.net.reading import ReadScheduler

MAX_UNANSWERED_WATCHES = 3
MAX_HALF_CLOSED = 3  # calls that we have ended and still read
ITERATION_BYTES = 32_768  # read in one iteration of the event loop, some 150 lines of one entry
DEFAULT_BUFFERED_BYTES = 12 << 20
READ_AFTER_CLOSE_S = SILENCE_TIMEOUT_S  # for so long they are read


@dataclass(slots=True, frozen=True)
class CallFailure:
    """A call has failed and no other one is open; with `lost` also while others are open."""

    retry_after_ms: float = 0.0  # from the Retry-After header
    lost: bool = False  # an update may have been written on it that did not arrive
    partly_received: bool = False  # and a part of an answer did arrive
    rejected: bool = False  # by a service that answers, and has too many callers


def _withdrawn(update: ListUpdate) -> list[Entry]:
    """Entries of an update whose upstreams take no new requests (draining, gone or unreadable)."""
    return [entry for entry in update.entries if entry[0].state != "active"]


class ListClient:
    """Client of the list service: at most one watch in use, and polls for the full list."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        at: tuple[str, int],
        rev: int,
        log: Log,
        on_update: Callable[[ListUpdate], None],
        on_failure: Callable[[CallFailure], None],
        on_lease_message: Callable[[LeaseMessage], None] = lambda message: None,
        budget: MemoryBudget | None = None,
        log_change: Callable[..., None] | None = None,
    ) -> None:
        self.loop = loop
        self.at = at
        self.rev = rev
        self.log = log
        self._on_update = on_update
        self._on_failure = on_failure
        self._on_lease_message = on_lease_message
        self.log_change: Callable[..., None] = log_change or log.info  # for lines about single updates
        # of unfinished updates on all calls together
        self.budget = budget or MemoryBudget(DEFAULT_BUFFERED_BYTES)
        # of its own: a drain does not wait for turns of clients
        self.reads = ReadScheduler(loop, ITERATION_BYTES)
        self._calls: dict[ListCall, asyncio.Task[None]] = {}
        self._half_closed: list[ListCall] = []  # ended by us and still read, oldest first
        self._watch: ListCall | None = None  # the latest one
        self.calls_started = 0
        self._last_call_at_loss = 0  # number of the latest call when an update was last lost
        self.repoll_after_s = 1.4  # a poll that is still open then gets another one beside it
        self.service_may_be_slow = False  # the service may need seconds for an answer
        # earlier watches without an answer yet, oldest first: the first one that is answered is kept
        self._unanswered: list[ListCall] = []
        self._replaced: ListCall | None = None  # the previous watch, read until the new one is answered
        self._former_watch: ListCall | None = None  # the watch at the former address, likewise
        self._move_pending = False  # the new address has not answered yet
        self._former_withdrawals: list[Entry] = []  # draining or gone, by the former address since the move
        # the known list is numbered by another service, or has gaps: changes alone need not name who is gone
        self._full_list_due = False

    def change_address(self, at: tuple[str, int]) -> None:
        """Switches to another address of the list service; no update may be lost meanwhile."""
        former = self._former_watch or self._replaced or self._watch
        for call in [c for c in self._calls if c is not former]:
            self._end_call(call)
        self.at, self._former_watch, self._watch, self._replaced, self._unanswered = (
            at,
            former,
            None,
            None,
            [],
        )
        self._move_pending = self._full_list_due = True
        self._former_withdrawals = []
        self.rev = 0  # the new service may number versions differently, so everything is requested
        self._on_lease_message(ServiceMoved())
        self.watch(True)

    @property
    def has_watch(self) -> bool:
        return self._watch is not None

    @property
    def watch_answered(self) -> bool:
        """Whether there is a watch that has been answered."""
        return self._watch is not None and self._watch.answered

    @property
    def list_complete(self) -> bool:
        """Whether the known list has everything that the service had at the known version."""
        return not self._full_list_due

    @property
    def watch_unanswered(self) -> bool:
        """Whether there is a watch that has not been answered yet."""
        return self._watch is not None and not self._watch.answered

    def watch(self, on: bool) -> None:
        """Opens a new watch, or closes all watches."""
        if on and self.watch_answered:
            # the open watch is kept: an update may be written on it just as it is closed
            return self._poll_beside_watch()
        old, self._watch = self._watch, None
        if old is not None and on and not old.answered and len(self._unanswered) < MAX_UNANSWERED_WATCHES - 1:
            self._unanswered.append(old)  # in the service's queue it is ahead of the new one
        elif old is not None:
            self._end_call(old)
        if on:
            self._watch = self._start(watching=True)
            return
        for call in (self._replaced, *self._unanswered):
            if call is not None:
                self._end_call(call)
        self._replaced, self._unanswered = None, []

    def poll(self) -> None:
        """Polls the full list."""
        self._start(watching=False)

    def _poll_beside_watch(self) -> None:
        """Polls the full list, unless a poll is open that started after the latest loss."""
        if not any(call.number > self._last_call_at_loss for call in self._calls if not call.watching):
            self.poll()

    def _start(self, watching: bool) -> ListCall:
        self.calls_started += 1
        call = ListCall(self, self.calls_started, self.at, self.rev, watching)
        self._on_lease_message(CallStarted(call.number))
        self._calls[call] = self.loop.create_task(self._open(call))
        self.log.info(
            "list call begins",
            call=call.number,
            watch=watching,
            after=call.after_version,
            beside=len(self._calls) - 1,
        )
        return call

    async def _open(self, call: ListCall) -> None:
        try:
            await self.loop.create_connection(lambda: call, *call.address)
        except ConnectionRefusedError as error:
            call.stop(str(error), CallEnd.REFUSED)
        except OSError as error:
            call.stop(str(error), CallEnd.NOT_SENT)

    def update_arriving(self, call: ListCall) -> None:
        self._on_lease_message(UpdateArriving(call.number))

    def no_update_arriving(self, call: ListCall) -> None:
        if not call.outcome_unknown:
            self._on_lease_message(NoUpdateArriving(call.number))

    def reading_behind(self, call: ListCall, behind: bool) -> None:
        self._on_lease_message(ReadingBehind(call.number) if behind else CaughtUp(call.number))

    def _report_loss(self, call: ListCall) -> bool:
        """Whether an update may have been written on an ended call and not been read; reported once.

        Otherwise a lost update would go unnoticed: what the service has written counts as received.
        """
        version = call.partial_version() if call.address == self.at else 0  # versions are per address
        if call.end is not CallEnd.ENDED_BY_US and call.half_closed_at is None:
            lost = call.end.may_lose_update
        elif call.outcome_unknown:
            lost = not call.end.message_complete
        else:  # a timeout is reported as such (`CallTimedOut`), or another watch receives the same updates
            lost = call.has_partial_update()
        if not lost or call.loss_reported:
            return False
        call.loss_reported = True
        # of a call that we ended, the service may not have seen the end
        certain = call.end in (CallEnd.UNREADABLE, CallEnd.TRUNCATED) or call.has_partial_update()
        self._record_loss(call, version, until_answered=certain or call.end is CallEnd.ENDED_BY_US)
        return True

    def _record_loss(self, call: ListCall, version: int, until_answered: bool) -> None:
        self._last_call_at_loss = self.calls_started
        self._on_lease_message(UpdateLost(call.number, version, until_answered))

    def _has_answered_watch(self) -> bool:
        """Whether a watch is open that has been answered."""
        return any(
            call is not None and call in self._calls and call.answered
            for call in (self._watch, self._replaced, self._former_watch)
        )

    def _end_call(self, call: ListCall) -> None:
        """Removes a call that is over, or half-closes one that is still open."""
        task = self._calls.pop(call, None)
        if task is None:
            return
        self.log.info(
            "list call ended",
            call=call.number,
            watch=call.watching,
            why=call.why,
            connected=call.transport is not None,
            bytes=call.bytes,
            objects=call.objects,
            unfinished=call.has_partial_update(),
            ms=round(1e3 * (self.loop.time() - call.started_at)),
        )
        if call.over or call.transport is None:
            task.cancel()
            call.abort()
            return
        self._half_close(call)

    def _half_close(self, call: ListCall) -> None:
        """Ends an open call, and reads what is written on it until the service has seen that."""
        if not call.ended_by_timeout and not call.covered_by_watch:
            # a service that serves calls in turn may write an update here first, and on the watch later
            call.outcome_unknown, call.loss_reported = True, False
            self._on_lease_message(UpdateArriving(call.number))
        self._half_closed.append(call)
        if not call.half_close():
            self._stop_reading(call)
        elif len(self._half_closed) > MAX_HALF_CLOSED:
            self._stop_reading(self._half_closed[0])

    def _stop_reading(self, call: ListCall) -> None:
        """Aborts a half-closed call that has been read for long enough."""
        call.why, call.over = "read for long enough", True
        self._half_closed_ended(call)

    def _half_closed_ended(self, call: ListCall) -> None:
        """Reports the outcome of a half-closed call that is over."""
        self._half_closed.remove(call)
        call.abort()
        self.log.info(
            "list call read to its end",
            call=call.number,
            why=call.why,
            bytes=call.bytes,
            objects=call.objects,
            unfinished=call.has_partial_update(),
        )
        if self._report_loss(call):
            self._on_failure(CallFailure(lost=True, partly_received=True))
        elif call.end.message_complete:
            self._on_lease_message(MessageComplete(call.number, self._has_answered_watch()))
        else:
            self._on_lease_message(NoUpdateArriving(call.number))

    def has_unread_data(self) -> bool:
        """Whether a socket of a call has data that the event loop has not read yet."""
        return any(call.has_unread_data() for call in (*self._calls, *self._half_closed))

    def record_version(self, rev: int) -> None:
        """Records the version of a list that came from elsewhere, e.g. from another balancer."""
        self.rev = rev
        for call in self._calls:
            call.newest_elsewhere = max(call.newest_elsewhere, rev)

    def update_received(self, call: ListCall, update: ListUpdate | None) -> None:
        """Handles an update; None (an empty line) means that nothing has changed."""
        if call.half_closed_at is not None:
            return self._late_update_received(call, update)
        if update is not None and not update.all_identified and not update.is_full and call.watching:
            # the upstream of an entry without a readable uid may drain; only the full list settles that
            self._full_list_due = True
            self._record_loss(call, FULL_LIST_VERSION, until_answered=True)
            self._accept_update(call, update)  # this polls the full list
            return
        former = call is self._former_watch
        if not self._accept_update(call, update):
            # an older list is no evidence about a newer one
            return self.no_update_arriving(call)
        if update is None and call.objects == 0:
            # changes come with the first object; an empty line before it says nothing
            return self.no_update_arriving(call)
        version = self.rev if update is None else update.rev
        full = update is not None and (update.is_full or not call.watching)
        read = FormerServiceRead(call.number) if former else UpdateRead(call.number, version, full)
        self._on_lease_message(read)

    def _late_update_received(self, call: ListCall, update: ListUpdate | None) -> None:
        """Handles an update on a half-closed call."""
        self.no_update_arriving(call)
        if update is None:
            return
        if call.address == self.at and update.rev > self.rev and not self._move_pending:
            self.record_version(update.rev)
            return self._on_update(update)
        # the former address may have reported a drain last, under versions of its own; its other entries may
        # be older than those of the new address, so the full list of the new one decides
        if call.address != self.at and (ends := _withdrawn(update)):
            self._on_update(ListUpdate(self.rev, False, ends))
            self._full_list_due = True
            self.poll()

    def _promote_watch(self, call: ListCall) -> None:
        """Keeps the first of several watches that is answered, and ends the others that are not needed."""
        others = [other for other in (*self._unanswered, self._watch) if other not in (None, call)]
        # if this watch started before a loss, only one that started after it can settle the loss
        needed = [
            other for other in others if other and call.number <= self._last_call_at_loss < other.number
        ]
        self._watch, self._unanswered = call, []
        for other in others:
            if other is not None and other not in needed:
                self._end_call(other)
        if needed:
            self._replaced, self._unanswered, self._watch = call, needed[:-1], needed[-1]

    def _accept_update(self, call: ListCall, update: ListUpdate | None) -> bool:
        """Passes on an update of a call; False if it is older than what is known."""
        call.answered = True
        if call is self._former_watch:
            if update is not None:
                self._former_withdrawals += _withdrawn(update)
                self._on_update(update)
            return True
        if self._unanswered and call in (*self._unanswered, self._watch):
            self._promote_watch(call)
        if self._move_pending:
            self._move_pending = False
            former, self._former_watch = self._former_watch, None
            if former is not None:
                former.covered_by_watch = call.watching
                self._end_call(former)
            self.log.info(
                "discovery has moved", rev=update and update.rev, whole=bool(update and update.is_full)
            )
        if call is self._watch and self._replaced is not None:
            self._end_call(self._replaced)
            self._replaced = None
        if update is None:
            update = ListUpdate(self.rev, False, [])
        elif update.rev < call.newest_elsewhere:
            # an answer that was under way while another call received a newer one would undo that
            self.log.warning(
                "older list ignored", rev=update.rev, had=call.newest_elsewhere, whole=update.is_full
            )
            if not call.watching and self._full_list_due:
                call.stop("older than what was told meanwhile", CallEnd.ENDED_BY_US)
            return False
        elif update.rev < self.rev:
            # no other call received an update since this one started: the service has reset its versions
            self.log.warning("list version went back", rev=update.rev, had=self.rev, whole=update.is_full)
            if not update.is_full:
                # the base of these changes is unknown here, and more of them may follow for good. Upstreams
                # that take no new requests are accepted at once, everything else is requested again
                self._on_update(ListUpdate(update.rev, False, _withdrawn(update)))
                self.rev, self._full_list_due = 0, True
                call.stop("it counts anew", CallEnd.ENDED_BY_US)
                return False
        if update.is_full or not call.watching:
            self._full_list_due = False  # a poll returns the full list, even where it is not marked so
            for other in [c for c in self._calls if not c.watching and c is not call]:
                self._end_call(other)
        self.rev = update.rev
        for other in self._calls:
            if other is not call:
                other.newest_elsewhere = max(other.newest_elsewhere, update.rev)
        self._on_update(update)
        self._reapply_former_withdrawals(update)
        if self._full_list_due and all(c.watching for c in self._calls):
            self.poll()  # upstreams that are gone need not be among the changes
        return True

    def _reapply_former_withdrawals(self, update: ListUpdate) -> None:
        """Restores drains that the former address has reported since the move.

        The first answer of the new address may be older, and a draining server would be used again. The full
        list, requested then, decides.
        """
        ready = {target.uid for target, _ in update.entries if target.state == "active"}
        ends = [entry for entry in self._former_withdrawals if entry[0].uid in ready]
        self._former_withdrawals = []
        if ends:
            self._on_update(ListUpdate(self.rev, False, ends))
            self._full_list_due = True

    def call_ended(self, call: ListCall, why: str) -> None:
        """Reports the end of a call to the lease, and its failure if no other call takes its place."""
        if call in self._half_closed:
            return self._half_closed_ended(call)
        lost = self._report_loss(call)
        self._end_call(call)
        if not lost:
            self._report_end(call)
        alone = self._release_role(call)
        if why and (alone or lost or call.watching):
            self.log.warning("call to discovery failed", why=why, watch=call.watching, end=call.end.value)
        if why and (alone or lost):
            partly_received = lost and (
                call.end is not CallEnd.INCOMPLETE or (call.bytes > 0 and not call.answered)
            )
            self._on_failure(CallFailure(call.retry_after_ms, lost, partly_received, call.rejected))

    def _report_end(self, call: ListCall) -> None:
        """Reports the end of a call without a lost update to the lease."""
        if call.end is CallEnd.REFUSED:
            self._on_lease_message(ConnectionRefused(call.number))
        elif call.end.message_complete:
            self._on_lease_message(MessageComplete(call.number, self._has_answered_watch()))
        elif not call.outcome_unknown:
            self._on_lease_message(NoUpdateArriving(call.number))

    def _release_role(self, call: ListCall) -> bool:
        """Takes an ended call out of its role; whether no other open call fills that."""
        if call is self._former_watch:
            self._former_watch = None  # its end says nothing about the new address
            return False
        if call is self._replaced:
            self._replaced = None
            return False
        if self._unanswered and call in (*self._unanswered, self._watch):
            # another one is still open, and the next is scheduled from the start of the latest one
            if call is self._watch:
                self._watch = self._unanswered.pop()
            else:
                self._unanswered.remove(call)
            return False
        if call is self._watch:
            self._watch, self._replaced = self._replaced, None
            return True
        if any(not c.watching for c in self._calls):
            return False  # another poll is open
        # if no full list is due, a failed poll must not lead to another call while a watch is open
        return self._full_list_due or self._watch is None

    def tidy(self) -> None:
        """Periodic cleanup: ends calls that have timed out, as a service that was cut off sends no end."""
        now = self.loop.time()
        for call in list(self._calls):
            # the event loop runs timers before sockets, and unread data counts as received
            if call.timed_out(now) and not call.has_unread_data():
                self._end_unresponsive(call, now)
        for call in list(self._half_closed):
            expired = call.half_closed_at is not None and now - call.half_closed_at > READ_AFTER_CLOSE_S
            if expired and not call.has_unread_data():
                self._stop_reading(call)
        polls = [call for call in self._calls if not call.watching]
        if polls and self._full_list_due and self.loop.time() - polls[-1].started_at > self.repoll_after_s:
            # a poll whose answer trickles in must not delay the list; it stays open, as its answer may be the
            # only one, and a new one is made beside it
            if len(polls) > 1:
                self._end_call(polls[-1])
            self.poll()

    def _end_unresponsive(self, call: ListCall, now: float) -> None:
        """Ends a call that has timed out; what it misses counts as received some time after its last data."""
        if call.transport is not None:
            call.ended_by_timeout = True
            self._on_lease_message(CallTimedOut(call.number, now - call.heard_at))
        call.stop("silent", CallEnd.ENDED_BY_US)

    def close(self) -> None:
        """Aborts all calls at the end of the process: nothing is sent any more, so nothing need be read."""
        for task in self._calls.values():
            task.cancel()
        for call in (*self._calls, *self._half_closed):
            call.abort()
        self._calls, self._half_closed = {}, []
