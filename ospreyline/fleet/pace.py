"""When a balancer calls the list service, so that a bank that starts or fails at once is no storm there.

Pure: times in ms and news in, the next call's time out; `due` is inf while none is planned. What a balancer
knows is its number, the size of its bank and what the operator says the service can do. From these it owns
a place in a window in which the service can serve the whole bank, so calls are spread evenly without a word.
The next call begins one period after the one before, whatever became of that: places stay as they are, and a
period is never shorter than the window, so the bank together never asks more than the service can do, also
when it comes back.
"""

from __future__ import annotations

from math import inf

from ospreyline.asking import Asking

SHARE = 0.8  # of what the service can do, that the calls of the bank together take
HONOUR = 2_800.0  # ms, the most that the service itself can put a call off: its news count as told after 6 s
RARELY = 0.75  # of the time without a call that is allowed: as often as the rule needs, where others tell us


class Pace(Asking):
    """The calls of one balancer to the list service."""

    def __init__(self, number: int, count: int, calls_per_s: float, must_ask_in: float) -> None:
        """`number` of `count` balancers, from 0; `must_ask_in` in ms."""
        super().__init__(0.0)
        self._second, self._second_spread = 1.0, 0.0  # calls of the bank a period apart never meet
        self._out = False  # a call is under way, or its watch stands
        self.adopt(number, count, calls_per_s, must_ask_in)

    def adopt(self, number: int, count: int, calls_per_s: float, must_ask_in: float) -> None:
        """Figures of the start or of a reload; what is planned stays planned."""
        self.window = 1e3 * count / (SHARE * calls_per_s)
        self.place = (number % count) / count
        self._rarely = RARELY * must_ask_in
        self.fit(count, must_ask_in)
        self.period, self._spread = max(self.period, self.window), self.window
        self._patience = self.period  # its place in the window is its own: the service has time then

    def start(self, now: float, later: float = 0.0) -> None:
        """The process has started; `later`: ms for which it can do without, since others tell it."""
        self.due = now + (later or self.place * self.window)

    def hasten(self, now: float) -> None:
        """The next call is wanted as if nobody told us."""
        if self.due < inf:
            # guards: whoever asked for us is gone, and our own next call was as rare as the rule allows
            own = self.place * (self.period if self.failures else self.window)
            self.due = min(self.due, max(now + own, self._began + self.period))

    def wanted(self, now: float) -> None:
        """The decisions want a watch: nothing is planned anew while one is under way or planned."""
        if not self._out and self.due == inf:
            self.due = now + self.place * self.window

    def called(self, now: float, anew: bool = False) -> None:
        """The call that was due goes out."""
        super().called(now, anew)
        self._out = True

    def failed(self, now: float, retry_after: float = 0.0, told: bool = False) -> None:
        """The call failed or its watch ended; `retry_after` in ms, 0 if the service said nothing; `told`:
        others tell us the list, or ask for it and will tell us, so that there is less haste."""
        if not self._out:
            return
        self._out = False
        spoke = self._told
        super().failed(now)
        if not spoke:
            # guards: a service that says an hour must not let what it has to tell pass unheard
            put_off = max(self._rarely if told else 0.0, min(retry_after, HONOUR))
            self.due = max(self.due, now + put_off)
