"""When a balancer calls the list service.

After a call that failed or a watch that ended the next call begins a period after the one before it. While a
call waits for its answer no other is made for `MOST` ms: a crowded service works through all of them, also
those whose caller is gone, and a bank that asks twice for everything keeps it crowded for good. A service
that turns calls away has too many callers, so their times apart grow, up to `LONGEST`: what is told counts
as told after 6 s at the latest. docs/crossings.md, "Told after 6 s", has the argument.
"""

from math import inf

LEAST, MOST, EACH = 1_400.0, 2_200.0, 7.0  # ms, a period, of it each balancer's: three calls, or two, in 6 s
LONGEST, GROWTH = 4_200.0, 1.5  # ms between calls that are turned away, at the most; how fast that grows
EARLIER, TURN = 0.3, 0.6180339887498949  # of that time, by which calls are spread; moves a place evenly
PART, OPENING = 0.4, 0.3  # a period, a first wait: of the time without a call after which all counts as told
FIRST, FIRST_EACH = 500.0, 10.0  # ms over which a bank's first calls are spread, and more for each balancer
AGAIN, SPREAD = 250.0, 0.4  # ms until a watch that spoke is asked for again; of a period, spread over
SOON, SOON_EACH = 150.0, 2.0  # ms over which calls after broken answers are spread, and for each balancer
SECOND, SECOND_SPREAD = 0.25, 0.3  # of a period, until the second call in a row, and spread over so much more


def period_of(balancers: int, must_ask_in: float) -> float:
    """ms between the beginnings of two calls of one balancer of a bank; `must_ask_in` in ms."""
    return min(max(LEAST, min(MOST, EACH * balancers)), PART * must_ask_in)


class Asking:
    """The calls of one balancer: the next one is `due`, in ms; inf while none is planned."""

    def __init__(self, place: float) -> None:
        """`place`: from 0 to 1, where in each span of time shared with the others this balancer calls."""
        self.place, self.due, self.failures = place, inf, 0  # failures: in a row
        self._turned_away = 0  # of these, by a service that has too many callers
        self._lost_in_a_row = 0  # calls, each soon after the one before, that lost an update
        self.period = self._spread = self._opening = LEAST
        self._soon = SOON
        self._patience, self._longest = MOST, LONGEST
        self._second, self._second_spread = SECOND, SECOND_SPREAD
        self._began, self._told = -inf, False  # the latest call; since then

    def fit(self, balancers: int, must_ask_in: float) -> None:
        """Figures of the start or of a reload: the size of the bank, and ms."""
        self.period = period_of(balancers, must_ask_in)
        self._spread = SPREAD * self.period
        self._patience = max(self.period, min(MOST, PART * must_ask_in))
        self._longest = max(self._patience, min(LONGEST, PART * must_ask_in))
        self._soon = min(SOON, SOON_EACH * balancers)
        self._opening = min(OPENING * must_ask_in, FIRST + FIRST_EACH * balancers, self.period)

    def begin(self, now: float, asks: bool) -> None:
        """The first call is planned, if the list has to be asked for."""
        # guards: hundreds that start at once ask a list service that serves some calls a second
        self.due = now + self.place * self._opening if asks else inf

    def called(self, now: float, anew: bool = False) -> None:
        """A call goes out; anew: to another service, so that what failed before says nothing."""
        if anew:
            self.failures = self._turned_away = 0
        # guards: a call may connect and say nothing; the next one is made beside it, as if it had failed
        self._began, self._told, self.due = now, False, now + self._patience

    def told(self) -> None:
        """The service has said something on it; a list that was known before any call is no answer."""
        if self._began > -inf:
            self.due, self._told = inf, True
            self.failures = self._turned_away = 0

    def failed(self, now: float, turned_away: bool = False) -> None:
        """No call is out any more, the last one failed; or the watch has ended.

        `turned_away`: the service is there and answers, and has no time for this call.
        """
        if self._told or self.due == inf:
            # guards: all watches of a service end at once
            self._told, self.due = False, now + AGAIN + self._spread * self.place
            return
        self.failures += 1
        if turned_away:
            self.due = max(now + AGAIN, self._began + self._apart())
            return
        self.due = min(self.due, max(now + AGAIN, self._began + self.period))
        if self.failures == 1:
            # guards: one answer that broke off would cost a whole period
            second = self._began + (self._second + self._second_spread * self.place) * self.period
            self.due = min(self.due, max(now + AGAIN, second))

    def _apart(self) -> float:
        """ms from a call that was turned away to the next one."""
        self._turned_away += 1
        if self._turned_away == 1:
            return self.period
        longest = min(self._longest, self._patience * GROWTH ** (self._turned_away - 2))
        # guards: a bank that was turned away at once would come back at once
        place = (self.place + TURN * self._turned_away) % 1
        return max(self._patience, longest * (1 - EARLIER * place))

    def lost(self, now: float) -> None:
        """An update may have been written and did not arrive: it is wanted within the grace of a drain."""
        if now - self._began > self._patience:
            self._lost_in_a_row = 0
        self._lost_in_a_row += 1
        soon = now + self.place * self._soon
        if self._lost_in_a_row > 1:
            # guards: a service that resets each call at once would be called without a pause
            pause = min(self.period, SOON * 2 ** min(9, self._lost_in_a_row - 2))
            soon = max(soon, self._began + pause)
        self.due = min(self.due, soon)
