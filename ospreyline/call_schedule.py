"""Polling schedule: when a balancer makes its next list call, i.e. calls the list service.

After a call failed or a watch ended, the next call starts one period after the start of the previous one.
While a call waits for its answer, no second one is made for `MAX_PERIOD_MS`: an overloaded service works
through all calls, also those whose caller has gone, so a bank that asks twice for everything keeps it
overloaded for good. A service that rejects calls (429 or 503) has too many callers, so the interval between
calls grows, up to `MAX_REJECTED_PERIOD_MS`: a balancer counts as notified of a change after 6 s at the
latest. docs/crossings.md, "Told after 6 s", has the argument.
"""

from math import inf

# the period: two or three calls fit in 6 s
MIN_PERIOD_MS, MAX_PERIOD_MS, PERIOD_PER_BALANCER_MS = 1_400.0, 2_200.0, 7.0
# largest interval between rejected calls, and the factor by which it grows
MAX_REJECTED_PERIOD_MS, REJECTED_GROWTH = 4_200.0, 1.5
# share of that interval over which calls are spread; the golden ratio moves a balancer's phase evenly
REJECTED_SPREAD, GOLDEN_RATIO = 0.3, 0.6180339887498949
# upper bounds of the period and of the initial delay, as shares of `must_ask_in`
PERIOD_SHARE, INITIAL_SHARE = 0.4, 0.3
# the first calls of a bank are spread over this time
INITIAL_SPREAD_MS, INITIAL_SPREAD_PER_BALANCER_MS = 500.0, 10.0
# delay before a watch that had answered is reopened, and share of a period over which that is spread
REOPEN_DELAY_MS, REOPEN_SPREAD = 250.0, 0.4
# calls after lost updates are spread over this time
LOSS_SPREAD_MS, LOSS_SPREAD_PER_BALANCER_MS = 150.0, 2.0
# shares of a period: delay of the first retry after a failure, and the span over which it is spread
FIRST_RETRY_DELAY, FIRST_RETRY_SPREAD = 0.25, 0.3


def call_period_ms(balancers: int, must_ask_in: float) -> float:
    """ms between the starts of two calls of one balancer of a bank; `must_ask_in` in ms."""
    return min(
        max(MIN_PERIOD_MS, min(MAX_PERIOD_MS, PERIOD_PER_BALANCER_MS * balancers)), PERIOD_SHARE * must_ask_in
    )


class CallSchedule:
    """The call schedule of one balancer: the next call is at `next_call_at` (ms; inf if none is planned)."""

    def __init__(self, phase: float) -> None:
        """`phase`: from 0 to 1, where in each span of time shared with the bank this balancer calls."""
        self.phase, self.next_call_at, self.failures = phase, inf, 0  # failures: in a row
        self._rejections = 0  # of these, calls rejected by a service that has too many callers
        self._consecutive_losses = 0  # calls, each soon after the one before, that lost an update
        self.period = self._reopen_spread = self._initial_spread = MIN_PERIOD_MS
        self._loss_spread = LOSS_SPREAD_MS
        self._max_wait, self._max_rejected_period = MAX_PERIOD_MS, MAX_REJECTED_PERIOD_MS
        self._first_retry_delay, self._first_retry_spread = FIRST_RETRY_DELAY, FIRST_RETRY_SPREAD
        # start of the latest call, and whether it has been answered
        self._call_started_at, self._answered = -inf, False

    def configure(self, balancers: int, must_ask_in: float) -> None:
        """Derives the intervals from the size of the bank and `must_ask_in` (ms), at start and on reload."""
        self.period = call_period_ms(balancers, must_ask_in)
        self._reopen_spread = REOPEN_SPREAD * self.period
        self._max_wait = max(self.period, min(MAX_PERIOD_MS, PERIOD_SHARE * must_ask_in))
        self._max_rejected_period = max(
            self._max_wait, min(MAX_REJECTED_PERIOD_MS, PERIOD_SHARE * must_ask_in)
        )
        self._loss_spread = min(LOSS_SPREAD_MS, LOSS_SPREAD_PER_BALANCER_MS * balancers)
        self._initial_spread = min(
            INITIAL_SHARE * must_ask_in,
            INITIAL_SPREAD_MS + INITIAL_SPREAD_PER_BALANCER_MS * balancers,
            self.period,
        )

    def begin(self, now: float, polls: bool) -> None:
        """Plans the first call, if the list has to be polled."""
        # without the spread, hundreds that start at once hit a list service that serves some calls a second
        self.next_call_at = now + self.phase * self._initial_spread if polls else inf

    def call_started(self, now: float, new_service: bool = False) -> None:
        """A call goes out; `new_service`: to another service, about which earlier failures say nothing."""
        if new_service:
            self.failures = self._rejections = 0
        # a call may connect and receive nothing; the next one is made beside it, as if it had failed
        self._call_started_at, self._answered, self.next_call_at = now, False, now + self._max_wait

    def call_answered(self) -> None:
        """The service has answered; a list that was known before any call is no answer."""
        if self._call_started_at > -inf:
            self.next_call_at, self._answered = inf, True
            self.failures = self._rejections = 0

    def call_failed(self, now: float, rejected: bool = False) -> None:
        """The last open call has failed, or the watch has ended.

        `rejected`: the service is reachable and rejected the call because it is overloaded.
        """
        if self._answered or self.next_call_at == inf:
            # spread, as all watches of a service may end at once
            self._answered, self.next_call_at = (
                False,
                now + REOPEN_DELAY_MS + self._reopen_spread * self.phase,
            )
            return
        self.failures += 1
        if rejected:
            self.next_call_at = max(now + REOPEN_DELAY_MS, self._call_started_at + self._rejected_interval())
            return
        self.next_call_at = min(
            self.next_call_at, max(now + REOPEN_DELAY_MS, self._call_started_at + self.period)
        )
        if self.failures == 1:
            # without an early retry, one answer that broke off would cost a whole period
            delay = (self._first_retry_delay + self._first_retry_spread * self.phase) * self.period
            first_retry = self._call_started_at + delay
            self.next_call_at = min(self.next_call_at, max(now + REOPEN_DELAY_MS, first_retry))

    def _rejected_interval(self) -> float:
        """Counts a rejection; ms from the start of the rejected call to the next one."""
        self._rejections += 1
        if self._rejections == 1:
            return self.period
        longest = min(self._max_rejected_period, self._max_wait * REJECTED_GROWTH ** (self._rejections - 2))
        # spread anew each time: a bank that was rejected all at once would come back all at once
        phase = (self.phase + GOLDEN_RATIO * self._rejections) % 1
        return max(self._max_wait, longest * (1 - REJECTED_SPREAD * phase))

    def update_lost(self, now: float) -> None:
        """An update may have been written and lost: it is needed within the grace period of a drain."""
        if now - self._call_started_at > self._max_wait:
            self._consecutive_losses = 0
        self._consecutive_losses += 1
        soon = now + self.phase * self._loss_spread
        if self._consecutive_losses > 1:
            # without a pause, a service that resets each call at once would be called in a tight loop
            pause = min(self.period, LOSS_SPREAD_MS * 2 ** min(9, self._consecutive_losses - 2))
            soon = max(soon, self._call_started_at + pause)
        self.next_call_at = min(self.next_call_at, soon)
