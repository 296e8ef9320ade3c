"""Calls to the list service: the list of upstreams is asked for once, or watched, and told as it comes.

When to ask is decided elsewhere. A call that fails, or a watch that ends or falls silent, is told once. A new
address is asked at once; the old one's watch is heard until the new one has said something. A call that has
said nothing yet is left out beside the next one, three at most: it may be served in its turn, or never. What
becomes of each call is told as messages of the lease on the list (`lease.py`).
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

from ospreyline.lease import (
    FULL_LIST_VERSION,
    CallBegan,
    CallSilent,
    ConnectionRefused,
    FormerServiceRead,
    LeaseMessage,
    MessageComplete,
    NoUpdateArriving,
    UpdateArriving,
    UpdateLost,
    UpdateRead,
)
from ospreyline.net.list_call import QUIET, CallEnd, ListCall
from ospreyline.net.listing import Entry, Log, News

MOST_WAITING = 3  # calls that wait for their first byte at a time
MOST_LEFT = 3  # calls that we have ended and read on
READ_ON = QUIET  # s for which that is done


@dataclass(slots=True, frozen=True)
class CallFailure:
    """A call has failed, and no other one is out; or whatever is out, `lost`."""

    retry_after: float = 0.0  # ms; as the service told it
    lost: bool = False  # an update may have been written on it that did not arrive
    seen: bool = False  # and a part of an answer came
    turned_away: bool = False  # by a service that answers, and has too many callers


def _ends(news: News) -> list[Entry]:
    """Who takes nothing new by an update."""
    return [entry for entry in news.targets if entry[0].state != "active"]


class Discovery:
    """Calls to discovery: at most one watch, and calls for the whole list."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        at: tuple[str, int],
        rev: int,
        log: Log,
        tell: Callable[[News], None],
        tell_failed: Callable[[CallFailure], None],
        tell_lease: Callable[[LeaseMessage], None] = lambda message: None,
    ) -> None:
        self.loop = loop
        self.at = at
        self.rev = rev
        self.log = log
        self._tell = tell
        self._tell_failed = tell_failed
        self._tell_lease = tell_lease
        self._calls: dict[ListCall, asyncio.Task[None]] = {}
        self._left: list[ListCall] = []  # that we have ended and read on, oldest first
        self._watch: ListCall | None = None
        self.begun = 0  # calls so far
        self._lost_by = 0  # the latest call that had begun when an update was last lost
        self.again = 1.4  # s after which a call for the whole list has another beside it
        self.patient = False  # the service may need seconds for an answer
        # watches before, oldest first, that have told nothing yet: who speaks first stays
        self._unspoken: list[ListCall] = []
        self._replaced: ListCall | None = None  # the watch before, heard until the new one has spoken
        self._former: ListCall | None = None  # the watch at the address before, likewise
        self._moved = False  # and it has not yet
        self._former_ends: list[Entry] = []  # who drains or is gone, as the former address told meanwhile
        self._whole_due = False  # what is known is by another count: who is gone need not be told

    def move(self, at: tuple[str, int]) -> None:
        """Discovery is elsewhere now. Nothing that is told meanwhile may be lost."""
        former = self._former or self._replaced or self._watch
        for call in [c for c in self._calls if c is not former]:
            self._drop(call)
        self.at, self._former, self._watch, self._replaced, self._unspoken = at, former, None, None, []
        self._moved = self._whole_due = True
        self._former_ends = []
        self.rev = 0  # guards: the new service may count otherwise, so it is asked for all that it has
        self.watch(True)

    @property
    def watching(self) -> bool:
        return self._watch is not None

    @property
    def told_by_watch(self) -> bool:
        """Whether there is a watch that has told something."""
        return self._watch is not None and self._watch.spoken

    @property
    def complete(self) -> bool:
        """Whether all that the service has told by the version that is known has been taken."""
        return not self._whole_due

    @property
    def waiting(self) -> bool:
        """Whether a watch is called for that has not told anything yet."""
        return self._watch is not None and not self._watch.spoken

    def watch(self, on: bool) -> None:
        """Watch the list from now on, by a new call, or no longer."""
        if on and self.told_by_watch:
            # guards: a watch that is given up may be written something as it ends; one that stands goes on
            return self._refresh_beside_watch()
        old, self._watch = self._watch, None
        if old is not None and on and not old.spoken and len(self._unspoken) < MOST_WAITING - 1:
            self._unspoken.append(old)  # guards: in a queue it stands before the new one
        elif old is not None:
            self._drop(old)
        if on:
            self._watch = self._start(watching=True)
            return
        for call in (self._replaced, *self._unspoken):
            if call is not None:
                self._drop(call)
        self._replaced, self._unspoken = None, []

    def refresh(self) -> None:
        self._start(watching=False)

    def _refresh_beside_watch(self) -> None:
        """Ask for the whole list, if no call is out that began after the latest loss."""
        if not any(call.number > self._lost_by for call in self._calls if not call.watching):
            self.refresh()

    def _start(self, watching: bool) -> ListCall:
        self.begun += 1
        call = ListCall(self, self.begun, self.at, self.rev, watching)
        self._tell_lease(CallBegan(call.number))
        self._calls[call] = self.loop.create_task(self._open(call))
        self.log.info(
            "list call begins",
            call=call.number,
            watch=watching,
            after=call.after,
            beside=len(self._calls) - 1,
        )
        return call

    async def _open(self, call: ListCall) -> None:
        try:
            await self.loop.create_connection(lambda: call, *call.at)
        except ConnectionRefusedError as error:
            call.stop(str(error), CallEnd.REFUSED)
        except OSError as error:
            call.stop(str(error), CallEnd.NOT_ASKED)

    def arriving(self, call: ListCall) -> None:
        self._tell_lease(UpdateArriving(call.number))

    def nothing_arriving(self, call: ListCall) -> None:
        if not call.unproven:
            self._tell_lease(NoUpdateArriving(call.number))

    def _lost(self, call: ListCall) -> bool:
        """Whether an update may have been written on a call that is over and was not read; told, once.

        Guards: what the service has written counts as told, come or not.
        """
        version = call.version() if call.at == self.at else 0  # another address counts otherwise
        if call.end is not CallEnd.LEFT and call.left_at is None:
            lost = call.end.lost
        elif call.unproven:
            lost = not call.end.in_form
        else:  # it has fallen silent, which has a clock of its own, or another watch is told the same
            lost = call.unfinished()
        if not lost or call.lost_told:
            return False
        call.lost_told = True
        self._note_loss(call, version)
        return True

    def _note_loss(self, call: ListCall, version: int) -> None:
        self._lost_by = self.begun
        self._tell_lease(UpdateLost(call.number, version))

    def _covered(self) -> bool:
        """Whether a watch stands that has spoken."""
        return any(
            call is not None and call in self._calls and call.spoken
            for call in (self._watch, self._replaced, self._former)
        )

    def _drop(self, call: ListCall) -> None:
        """A call is over, or we end it: then nothing more is asked on it, and it is read on."""
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
            unfinished=call.unfinished(),
            ms=round(1e3 * (self.loop.time() - call.since)),
        )
        if call.over or call.transport is None:
            task.cancel()
            call.abort()
            return
        self._leave(call)

    def _leave(self, call: ListCall) -> None:
        """We end a call that goes on: what was written on it, and is until the service sees that, is read."""
        if not call.fell_silent and not call.covered:
            # guards: a service that works calls off in turn may write there first what a watch is told later
            call.unproven, call.lost_told = True, False
            self._tell_lease(UpdateArriving(call.number))
        self._left.append(call)
        if not call.leave():
            self._read_no_further(call)
        elif len(self._left) > MOST_LEFT:
            self._read_no_further(self._left[0])

    def _read_no_further(self, call: ListCall) -> None:
        """A call that we ended has been read for long enough."""
        call.why, call.over = "read for long enough", True
        self._left_ended(call)

    def _left_ended(self, call: ListCall) -> None:
        """A call that we had ended, and read on, is over."""
        self._left.remove(call)
        call.abort()
        self.log.info(
            "list call read to its end",
            call=call.number,
            why=call.why,
            bytes=call.bytes,
            objects=call.objects,
            unfinished=call.unfinished(),
        )
        if self._lost(call):
            self._tell_failed(CallFailure(lost=True, seen=True))
        elif call.end.in_form:
            self._tell_lease(MessageComplete(call.number, self._covered()))
        else:
            self._tell_lease(NoUpdateArriving(call.number))

    def unread(self) -> bool:
        """Whether something of the list lies in a socket that the loop has not read yet."""
        return any(call.unread() for call in (*self._calls, *self._left))

    def took(self, rev: int) -> None:
        """So much of the service's list is known, from whomever."""
        self.rev = rev
        for call in self._calls:
            call.newer = max(call.newer, rev)

    def told(self, call: ListCall, news: News | None) -> None:
        """A line has come; an empty one (None) says that nothing has changed."""
        if call.left_at is not None:
            return self._told_late(call, news)
        if news is not None and not news.complete and not news.whole and call.watching:
            # guards: who it is about may drain; the whole list leaves out whom it cannot name
            self._whole_due = True
            self._note_loss(call, FULL_LIST_VERSION)
            self._take(call, news)  # it asks for the whole list
            return
        former = call is self._former
        if not self._take(call, news):
            # guards: an older list proves nothing of a newer one
            return self.nothing_arriving(call)
        if news is None and call.objects == 0:
            # guards: what has changed stands in the first object; an empty line before it says nothing
            return self.nothing_arriving(call)
        version = self.rev if news is None else news.rev
        whole = news is not None and (news.whole or not call.watching)
        read = FormerServiceRead(call.number) if former else UpdateRead(call.number, version, whole)
        self._tell_lease(read)

    def _told_late(self, call: ListCall, news: News | None) -> None:
        """A call that we had ended says something still."""
        self.nothing_arriving(call)
        if news is None:
            return
        if call.at == self.at and news.rev > self.rev and not self._moved:
            self.took(news.rev)
            return self._tell(news)
        # guards: the former address may have told a drain last, in versions of its own; what it has as ready
        # may be older than what the new one told, so the whole list has the last word
        if call.at != self.at and (ends := _ends(news)):
            self._tell(News(self.rev, False, ends))
            self._whole_due = True
            self.refresh()

    def _stands(self, call: ListCall) -> None:
        """Of the watches that wait one has spoken: the others are not needed, but for what was lost."""
        others = [other for other in (*self._unspoken, self._watch) if other not in (None, call)]
        # guards: who was asked before a loss says nothing of it, and who was asked after it would be ended
        needed = [other for other in others if other and call.number <= self._lost_by < other.number]
        self._watch, self._unspoken = call, []
        for other in others:
            if other is not None and other not in needed:
                self._drop(other)
        if needed:
            self._replaced, self._unspoken, self._watch = call, needed[:-1], needed[-1]

    def _take(self, call: ListCall, news: News | None) -> bool:
        """Hand on what a call has told; False if it was older than what is known."""
        call.spoken = True
        if call is self._former:
            if news is not None:
                self._former_ends += _ends(news)
                self._tell(news)
            return True
        if self._unspoken and call in (*self._unspoken, self._watch):
            self._stands(call)
        if self._moved:
            self._moved = False
            former, self._former = self._former, None
            if former is not None:
                former.covered = call.watching
                self._drop(former)
            self.log.info("discovery has moved", rev=news and news.rev, whole=bool(news and news.whole))
        if call is self._watch and self._replaced is not None:
            self._drop(self._replaced)
            self._replaced = None
        if news is None:
            news = News(self.rev, False, [])
        elif news.rev < call.newer:
            # guards: an answer that was on its way while another call told something newer takes it back
            self.log.warning("an older list was passed over", rev=news.rev, had=call.newer, whole=news.whole)
            if not call.watching and self._whole_due:
                call.stop("older than what was told meanwhile", CallEnd.LEFT)
            return False
        elif news.rev < self.rev:
            # nobody told anything since this call began: the service counts anew
            self.log.warning("the list went back", rev=news.rev, had=self.rev, whole=news.whole)
            if not news.whole:
                # guards: what it counts from is not known here, and it may go on so for good. Who takes
                # nothing new is believed at once, the rest is asked for
                self._tell(News(news.rev, False, _ends(news)))
                self.rev, self._whole_due = 0, True
                call.stop("it counts anew", CallEnd.LEFT)
                return False
        if news.whole or not call.watching:
            self._whole_due = False  # a plain call is told all that there is, whatever it says of itself
            for other in [c for c in self._calls if not c.watching and c is not call]:
                self._drop(other)
        self.rev = news.rev
        for other in self._calls:
            if other is not call:
                other.newer = max(other.newer, news.rev)
        self._tell(news)
        self._tell_former_ends(news)
        if self._whole_due and all(c.watching for c in self._calls):
            self.refresh()  # guards: who is gone need not be among the changes
        return True

    def _tell_former_ends(self, news: News) -> None:
        """What the new address answers first may be older than what the former one has told since the move.

        Guards: a server that drains would be used again. The whole list, asked for then, has the last word.
        """
        ready = {target.uid for target, _ in news.targets if target.state == "active"}
        ends = [entry for entry in self._former_ends if entry[0].uid in ready]
        self._former_ends = []
        if ends:
            self._tell(News(self.rev, False, ends))
            self._whole_due = True

    def ended(self, call: ListCall, why: str) -> None:
        if call in self._left:
            return self._left_ended(call)
        lost = self._lost(call)
        self._drop(call)
        if not lost:
            self._tell_end(call)
        alone = self._step_down(call)
        if why and (alone or lost or call.watching):
            self.log.warning("call to discovery failed", why=why, watch=call.watching, end=call.end.value)
        if why and (alone or lost):
            seen = lost and (call.end is not CallEnd.UNPROVEN or (call.bytes > 0 and not call.spoken))
            self._tell_failed(CallFailure(call.retry_after, lost, seen, call.turned_away))

    def _tell_end(self, call: ListCall) -> None:
        """A call is over on which nothing was lost."""
        if call.end is CallEnd.REFUSED:
            self._tell_lease(ConnectionRefused(call.number))
        elif call.end.in_form:
            self._tell_lease(MessageComplete(call.number, self._covered()))
        elif not call.unproven:
            self._tell_lease(NoUpdateArriving(call.number))

    def _step_down(self, call: ListCall) -> bool:
        """A call gives up its part; whether no other one that is out does it."""
        if call is self._former:
            self._former = None  # guards: its end says nothing of the new address
            return False
        if call is self._replaced:
            self._replaced = None
            return False
        if self._unspoken and call in (*self._unspoken, self._watch):
            # another one is out yet, and the next is planned from when the latest one began
            if call is self._watch:
                self._watch = self._unspoken.pop()
            else:
                self._unspoken.remove(call)
            return False
        if call is self._watch:
            self._watch, self._replaced = self._replaced, None
            return True
        if any(not c.watching for c in self._calls):
            return False  # another call for the whole list is out
        # guards: the watch that stands would be replaced for a call that nobody needs
        return self._whole_due or self._watch is None

    def tidy(self) -> None:
        """End calls that have fallen silent. Guards: a discovery that was cut off says nothing."""
        now = self.loop.time()
        for call in list(self._calls):
            # guards: timers come before sockets, and what lies unread there counts as told
            if call.silent(now) and not call.unread():
                self._end_silent(call, now)
        for call in list(self._left):
            if call.left_at is not None and now - call.left_at > READ_ON and not call.unread():
                self._read_no_further(call)
        plain = [call for call in self._calls if not call.watching]
        if plain and self._whole_due and self.loop.time() - plain[-1].since > self.again:
            # guards: one that trickles keeps the others waiting; it is let be, for what it tells may be all
            # that there is, and a new one is made beside it
            if len(plain) > 1:
                self._drop(plain[-1])
            self.refresh()

    def _end_silent(self, call: ListCall, now: float) -> None:
        """What a call misses that has fallen silent counts as told some time after its last word."""
        if call.transport is not None:
            call.fell_silent = True
            self._tell_lease(CallSilent(call.number, now - call.heard))
        call.stop("silent", CallEnd.LEFT)

    def close(self) -> None:
        """The process ends: nothing is sent any more, so nothing more is read."""
        for task in self._calls.values():
            task.cancel()
        for call in (*self._calls, *self._left):
            call.abort()
        self._calls, self._left = {}, []
