"""Times of a balancer's list calls, spread so that a bank that starts or fails does not overload the service.

Pure: times in ms and events in, the time of the next call out; `next_call_at` is inf while none is
planned. From its own number, the size of the bank and the configured call rate of the service a balancer
derives its phase in a window in which the service can serve the whole bank: calls are spread evenly without
any messages. The next call begins one period after the one before, whatever became of that, so phases do not
shift; and as a period is never shorter than the window, the bank never exceeds the call rate of the service,
also when it recovers.
"""

from __future__ import annotations

from math import inf

from ospreyline.call_schedule import CallSchedule

CALL_RATE_SHARE = 0.8  # of the service's call rate, that the bank as a whole uses
MAX_RETRY_AFTER_MS = 2_800.0  # limit for the service's Retry-After: an update counts as received after 6 s
RARE_CALL_SHARE = 0.75  # of the allowed time without a call: the wait where relays serve us


class CallPacer(CallSchedule):
    """The calls of one balancer to the list service."""

    def __init__(self, number: int, count: int, calls_per_s: float, must_ask_in: float) -> None:
        """`number` of `count` balancers, from 0; `must_ask_in`: allowed time without a call, ms."""
        super().__init__(0.0)
        # calls of the bank a period apart never meet
        self._first_retry_delay, self._first_retry_spread = 1.0, 0.0
        self._call_open = False  # a call is under way, or its watch is up
        self.apply_settings(number, count, calls_per_s, must_ask_in)

    def apply_settings(self, number: int, count: int, calls_per_s: float, must_ask_in: float) -> None:
        """Applies the settings of the start or of a reload; a planned call stays planned."""
        self.window = 1e3 * count / (CALL_RATE_SHARE * calls_per_s)
        self.phase = (number % count) / count
        self._rare_wait = RARE_CALL_SHARE * must_ask_in
        self.configure(count, must_ask_in)
        self.period, self._reopen_spread = max(self.period, self.window), self.window
        self._max_wait = self.period  # its phase is its own: the service has time to answer

    def start(self, now: float, later: float = 0.0) -> None:
        """Plans the first call; `later`: ms until it if relays serve us first."""
        self.next_call_at = now + (later or self.phase * self.window)

    def relays_lost(self, now: float) -> None:
        """Moves the next call forward: no relay serves us any more."""
        if self.next_call_at < inf:
            # the relay that polled for us is gone, and our own next call may be as late as is allowed
            own = self.phase * (self.period if self.failures else self.window)
            self.next_call_at = min(self.next_call_at, max(now + own, self._call_started_at + self.period))

    def request_watch(self, now: float) -> None:
        """The decision module wants a watch: plans a call unless one is under way or planned."""
        if not self._call_open and self.next_call_at == inf:
            self.next_call_at = now + self.phase * self.window

    def call_started(self, now: float, new_service: bool = False) -> None:
        """The due call begins; `new_service`: to another address of the service."""
        super().call_started(now, new_service)
        self._call_open = True

    def call_failed(self, now: float, retry_after: float = 0.0, told: bool = False) -> None:
        """The call failed or its watch ended. `retry_after`: ms, 0 if the service sent none; `told`: relays
        serve us or poll the service for us, so the next call may be later."""
        if not self._call_open:
            return
        self._call_open = False
        answered = self._answered
        super().call_failed(now)
        if not answered:
            # a service that asks for an hour must not make us miss its updates
            wait = max(self._rare_wait if told else 0.0, min(retry_after, MAX_RETRY_AFTER_MS))
            self.next_call_at = max(self.next_call_at, now + wait)
