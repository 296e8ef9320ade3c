"""Times of a balancer's list calls, spread so that a bank that starts or fails does not overload the service.

Pure: times in ms and events in, the time of the next call out; `due` is inf while none is planned. From its
own number, the size of the bank and the configured call rate of the service a balancer derives its place in a
window in which the service can serve the whole bank: calls are spread evenly without any messages. The next
call begins one period after the one before, whatever became of that, so places do not shift; and as a period
is never shorter than the window, the bank never exceeds the call rate of the service, also when it recovers.
"""

from __future__ import annotations

from math import inf

from ospreyline.call_schedule import CallSchedule

CALL_RATE_SHARE = 0.8  # of the service's call rate, that the bank as a whole uses
HONOUR = 2_800.0  # ms, limit for a Retry-After of the service: a list counts as notified after 6 s
RARE_CALL_SHARE = 0.75  # of the allowed time without a call: the wait where relays serve us


class Pace(CallSchedule):
    """The calls of one balancer to the list service."""

    def __init__(self, number: int, count: int, calls_per_s: float, must_ask_in: float) -> None:
        """`number` of `count` balancers, from 0; `must_ask_in`: allowed time without a call, ms."""
        super().__init__(0.0)
        self._second, self._second_spread = 1.0, 0.0  # calls of the bank a period apart never meet
        self._call_open = False  # a call is under way, or its watch is up
        self.adopt(number, count, calls_per_s, must_ask_in)

    def adopt(self, number: int, count: int, calls_per_s: float, must_ask_in: float) -> None:
        """Applies the settings of the start or of a reload; a planned call stays planned."""
        self.window = 1e3 * count / (CALL_RATE_SHARE * calls_per_s)
        self.place = (number % count) / count
        self._rare_wait = RARE_CALL_SHARE * must_ask_in
        self.fit(count, must_ask_in)
        self.period, self._spread = max(self.period, self.window), self.window
        self._patience = self.period  # its place is its own: the service has time to answer

    def start(self, now: float, later: float = 0.0) -> None:
        """Plans the first call; `later`: ms until it if relays serve us first."""
        self.due = now + (later or self.place * self.window)

    def hasten(self, now: float) -> None:
        """Moves the next call forward: no relay serves us any more."""
        if self.due < inf:
            # the relay that polled for us is gone, and our own next call may be as late as is allowed
            own = self.place * (self.period if self.failures else self.window)
            self.due = min(self.due, max(now + own, self._began + self.period))

    def wanted(self, now: float) -> None:
        """The decision module wants a watch: plans a call unless one is under way or planned."""
        if not self._call_open and self.due == inf:
            self.due = now + self.place * self.window

    def called(self, now: float, anew: bool = False) -> None:
        """The due call begins; `anew`: to another address of the service."""
        super().called(now, anew)
        self._call_open = True

    def failed(self, now: float, retry_after: float = 0.0, told: bool = False) -> None:
        """The call failed or its watch ended. `retry_after`: ms, 0 if the service sent none; `told`: relays
        serve us or poll the service for us, so the next call may be later."""
        if not self._call_open:
            return
        self._call_open = False
        answered = self._told
        super().failed(now)
        if not answered:
            # a service that asks for an hour must not make us miss its updates
            wait = max(self._rare_wait if told else 0.0, min(retry_after, HONOUR))
            self.due = max(self.due, now + wait)
