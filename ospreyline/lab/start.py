"""Simulation of the first list calls when all balancers start at once: when each has the list, and the load.

The decisions (`decide.py`) and the pacing of calls (`fleet/pace.py`) are the production code; the list
service serves calls one after the other (`turns.py`). Balancers have no cached list and start within
`boot_s`.
"""

from __future__ import annotations

from bisect import bisect_left
from collections.abc import Callable
from dataclasses import dataclass
from math import inf
from random import Random

from ospreyline.decide import Balancer
from ospreyline.fleet.pace import CallPacer
from ospreyline.host import DedupScope, Deployment, Kind, ListedUpstream, PathPrefix, Readiness
from ospreyline.lab.turns import Turns
from ospreyline.lab.world import World

ROUND_TRIP_MS = 1.0  # of a call that is refused
UPSTREAM_LIST = [ListedUpstream(i, 7919 * i + 13, i % 3, 0, Readiness.READY, 0.0) for i in range(9)]


class _StartingBalancer:
    """One balancer, with only its list calls modelled; the host of its decisions."""

    def __init__(self, bank: _Bank, number: int, settings: Deployment, seed: int) -> None:
        self.bank, self.world = bank, bank.world
        self.listed_at = inf
        self.calls = 0
        self.pace: CallPacer | None = None
        if bank.paced:
            self.pace = CallPacer(number, settings.balancers, bank.calls_per_s, settings.must_ask_in)
        self.decisions = Balancer(self, settings, seed, self.world.now)
        self.decisions.apply_list(self.world.now, [])
        if self.pace is not None:
            self.pace.start(self.world.now)
            self._schedule_call()

    def watch_list(self, on: bool) -> None:
        if self.pace is None:
            self._call()
        else:
            self.pace.request_watch(self.world.now)
            self._schedule_call()

    def _schedule_call(self) -> None:
        assert self.pace is not None
        if self.pace.next_call_at < inf:
            self.world.at(self.pace.next_call_at, self._call_if_due)

    def _call_if_due(self) -> None:
        assert self.pace is not None
        if self.world.now >= self.pace.next_call_at:
            self.pace.call_started(self.world.now)
            self._schedule_call()
            self._call()

    def _call(self) -> None:
        self.calls += 1
        wait = self.bank.serve_call()
        self.world.after(
            ROUND_TRIP_MS if wait is None else wait, self._failed if wait is None else self._list_received
        )

    def _failed(self) -> None:
        if self.pace is not None:
            self.pace.call_failed(self.world.now)
            self._schedule_call()
        self.decisions.list_call_failed(self.world.now)

    def _list_received(self) -> None:
        if self.pace is not None:
            self.pace.call_answered()
        self.listed_at = min(self.listed_at, self.world.now)
        self.decisions.apply_list_changes(self.world.now, UPSTREAM_LIST)

    def call_at(self, at: float, call: Callable[[float], None]) -> None:
        if at <= self.bank.until:
            self.world.at(at, lambda: call(self.world.now))

    def start_fetch(self, tag: int, upstream: int, timeout_ms: float) -> None: ...
    def cancel_fetch(self, tag: int, fetch: int) -> None: ...
    def bounce(self, tag: int, retry_after: float) -> None: ...
    def answer_error(self, tag: int) -> None: ...
    def send_probe(self, upstream: int) -> None: ...
    def close_idle_connections(self, upstream: int) -> None: ...
    def broadcast(self, message: bytes) -> None: ...
    def poll_list(self) -> None: ...
    def log(self, text: str) -> None: ...


class _Bank:
    """The list service, with the clock and settings that all balancers share."""

    def __init__(self, calls_per_s: float, queue: int, down: float, paced: bool, until: float) -> None:
        self.world = World()
        self.calls_per_s, self.down, self.paced, self.until = calls_per_s, down, paced, until
        self.call_queue = Turns(1e3 / calls_per_s, queue)
        self.call_times: list[float] = []

    def serve_call(self) -> float | None:
        """A call arrives: ms until it is served, or None if it is refused."""
        now = self.world.now
        self.call_times.append(now)
        return None if now < self.down else self.call_queue.call(now)


@dataclass(slots=True, frozen=True)
class Opening:
    """Result of one simulated start; times in s from the start of all balancers."""

    count: int
    paced: bool
    calls_each: float
    calls_while_down: float  # per balancer
    refused: int  # by a full queue
    longest_queue: int
    busiest_100_ms: int
    half_s: float
    all_s: float  # infinite if one never received the list

    def line(self) -> str:
        return (
            f"{self.count:6} {'paced' if self.paced else 'today':>6} {self.calls_each:6.2f} "
            f"{self.calls_while_down:10.2f} {self.refused:8} {self.longest_queue:6} "
            f"{self.busiest_100_ms:8} {self.half_s:7.2f} {self.all_s:7.2f}"
        )


HEADER = (
    f"{'bank':>6} {'text':>6} {'calls':>6} {'while down':>10} {'refused':>8} {'queue':>6} "
    f"{'100 ms':>8} {'half s':>7} {'all s':>7}"
)


def opening(
    count: int,
    calls_per_s: float,
    paced: bool,
    down_s: float = 0.0,
    boot_s: float = 2.0,
    queue: int = 50,
    must_ask_s: float = 10.0,
    seed: int = 1,
) -> Opening:
    """Start `count` balancers at once against a list service that serves `calls_per_s`."""
    until = 1e3 * (down_s + 30.0 + 4 * count / calls_per_s)
    bank = _Bank(calls_per_s, queue, 1e3 * down_s, paced, until)
    prefix = PathPrefix(Kind.READ_LIKE, DedupScope.ALL, 0.0, 500.0, 1_000.0, 1.0, 0.0)
    draw = Random(seed).random
    balancers: list[_StartingBalancer] = []

    def start_balancer(number: int) -> None:
        settings = Deployment(number % 3, 3, count, number, (prefix,), must_ask_in=1e3 * must_ask_s)
        balancers.append(_StartingBalancer(bank, number, settings, seed * 100_003 + number))

    for number in range(count):
        bank.world.at(1e3 * boot_s * draw(), start_balancer, number)
    bank.world.run(until)
    listed = sorted(s.listed_at for s in balancers)
    times = bank.call_times
    busiest = max((bisect_left(times, at + 100.0) - i for i, at in enumerate(times)), default=0)
    return Opening(
        count,
        paced,
        len(times) / count,
        sum(t < 1e3 * down_s for t in times) / count,
        bank.call_queue.refused,
        bank.call_queue.longest,
        busiest,
        listed[(count - 1) // 2] / 1e3,
        listed[-1] / 1e3,
    )
