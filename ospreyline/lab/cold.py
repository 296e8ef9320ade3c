"""What all balancers of a bank together send to one cold server, counted against its budget.

No queues and no latencies: warm servers deliver all that they can, each visit to one balancer that uses
them, and every visit that a balancer is asked is tried at the cold server first. So what is counted is the
gate of the decisions alone, when demand is as greedy as it can be. The budget is N visits in any window of
the rule (the capacity is held, so N stays the same); more than N + 2 root N + 2 count as over it.
"""

from __future__ import annotations

from bisect import bisect
from collections import deque
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from itertools import accumulate
from math import sqrt
from random import Random

from ospreyline.decide import Balancer
from ospreyline.host import DedupScope, Deployment, Kind, ListedUpstream, PathPrefix, Readiness
from ospreyline.state import Visit

SHAPES = {
    "even": "every balancer is asked the same",
    "skewed": "one is asked eight times the mean, the others unevenly",
    "moving": "the one that is asked eight times the mean is another every 3 s",
    "burst": "half of the load, three times that from the start of the server on",
    "fresh": "three in four have been started again 2 s before, the rest carried all until then",
    "opening": "all have been started again 2 s before",
    "late": "half are told up to 5 s late",
    "uneven": "three zones; seven in ten balancers live in one and none in another",
}
PARTS = {
    "means": "a balancer goes by the most that it has seen, not by what it sees",
    "half": "of a part of a send all is granted",
    "chance": "a part of a send is always a whole one",
}
WINDOW, FACTOR, SERVERS = 1_000.0, 3.0, 12
STEP, LEARN, COUNTED = 25.0, 12_000.0, 10_000.0
OVERLOAD = 3.0  # asked, of what all can do
HOT, SPILL = 8.0, 0.05
PREFIX = PathPrefix(Kind.READ_LIKE, DedupScope.ALL, 0.0, 500.0, 2_000.0, 1.0, 0.0)


class _Host:
    """A front that does nothing."""

    def start_fetch(self, tag: int, upstream: int, timeout_ms: float) -> None: ...
    def cancel_fetch(self, tag: int, fetch: int) -> None: ...
    def bounce(self, tag: int, retry_after: float) -> None: ...
    def answer_error(self, tag: int) -> None: ...
    def call_at(self, at: float, call: Callable[[float], None]) -> None: ...
    def send_probe(self, upstream: int) -> None: ...
    def close_idle_connections(self, upstream: int) -> None: ...
    def broadcast(self, message: bytes) -> None: ...
    def watch_list(self, on: bool) -> None: ...
    def poll_list(self) -> None: ...
    def log(self, text: str) -> None: ...


@dataclass(slots=True, frozen=True)
class Counted:
    """One draw: windows that end at a send, how many went over, and these with two thirds told."""

    windows: int
    over: int
    broken: int
    most: int  # sends in a window
    used: float  # mean sends in a window, of N


class Bank:
    """Balancers and servers of one draw; without: a part of the rule that is taken out."""

    def __init__(self, shape: str, balancers: int, budget: float, seed: int, without: str = "") -> None:
        self._shape, self._count, self._seed, self._without = shape, balancers, seed, without
        self._random = Random(f"{shape} {balancers} {budget} {seed}")
        self._zones = 3 if shape == "uneven" else 1
        self._rate = budget / FACTOR / WINDOW  # of one server, visits a ms
        self._lines = [
            ListedUpstream(i, i * 7919 + 13 + seed * 104_729, i % self._zones, 0, Readiness.READY, 0.0)
            for i in range(SERVERS)
        ]
        self._homes = [0 if not i or self._random.random() < 0.7 else 1 for i in range(balancers)]
        draw = self._random.lognormvariate
        self.weights = [draw(0.0, 0.8) if shape == "skewed" else 1.0 for _ in range(balancers)]
        self._hot = 0
        if shape in ("skewed", "moving"):
            self._heat(0)
        self.bank = [self._started(i, 0.0) for i in range(balancers)]
        self._second = [1_000 * self._random.random() for _ in range(balancers)]
        self.told_at = [0.0] * balancers

    def _heat(self, who: int) -> None:
        """One balancer is asked several times the mean of the others."""
        others = [w for i, w in enumerate(self.weights) if i != self._hot] or [1.0]
        self.weights[self._hot] = others[0]
        self._hot = who
        self.weights[who] = HOT * sum(others) / len(others)

    def _started(self, i: int, now: float) -> Balancer:
        zone = self._homes[i] if self._zones > 1 else 0
        terms = Deployment(
            zone,
            self._zones,
            self._count,
            i,
            (PREFIX,),
            cold_from=1.0,
            warm_within=60_000.0,
            overload_factor=FACTOR,
            tip_after=WINDOW,
        )
        balancer = Balancer(_Host(), terms, self._seed * 100_003 + i, now)
        balancer.apply_list(now, self._lines)
        if self._without == "half":
            balancer._fraction_granted = 1.0
        elif self._without == "chance":
            balancer._random = lambda: 0.0
        return balancer

    def _second_over(self, balancer: Balancer, now: float) -> None:
        """A balancer's work of each second."""
        before = [level.capacity for level in balancer._localities]
        balancer._update_rates(now)
        balancer._update_candidates(now)
        if self._without == "means":
            for level, most in zip(balancer._localities, before, strict=True):
                level.capacity = max(0.99 * most, level.capacity)

    def _users(self) -> list[tuple[list[int], list[float]]]:
        """For each server, who sends to it, with running totals of how much."""
        users: list[tuple[list[int], list[float]]] = [([], []) for _ in self._lines]
        for i, balancer in enumerate(self.bank):
            used = [u for level in balancer._localities for u in level.candidates]
            for u in used:
                near = 1.0 if u.zone == balancer._zone or u.zone not in self._homes else SPILL
                users[u.id][0].append(i)
                users[u.id][1].append(self.weights[i] * near / len(used))
        return [(who, list(accumulate(much))) for who, much in users]

    def sends(self) -> Iterator[tuple[float, bool]]:
        """When the cold server is sent to, and whether the sender had been told of its start."""
        random, cold = self._random, 0
        due, asked, tag = [random.random() for _ in self._lines], 0.0, 0
        users, weighed, now = self._users(), list(accumulate(self.weights)), 0.0
        restart, last_move = LEARN - 2_000 if self._shape in ("fresh", "opening") else -1.0, 0.0
        gone, kept = set(range(self._count)), self.weights
        if self._shape == "fresh":
            gone -= set(range(0, self._count, 4))
            self.weights = [0.0 if i in gone else w for i, w in enumerate(self.weights)]
            users, weighed = self._users(), list(accumulate(self.weights))
        while now < LEARN + COUNTED:
            before, now = now, now + STEP
            started = now > LEARN
            if before <= restart < now:
                self.weights = kept
                for i in gone:
                    self.bank[i] = self._started(i, now)
            if self._shape == "moving" and now - last_move >= 3_000:
                last_move = now
                self._heat(int(random.random() * self._count))
            if before <= LEARN < now:
                for i in range(self._count):
                    late = self._shape == "late" and i % 2
                    self.told_at[i] = now + (5_000 * random.random() if late else 0.0)
                self._lines[cold] = ListedUpstream(
                    cold, self._lines[cold].hash_key, 0, 0, Readiness.READY, now
                )
            for i, balancer in enumerate(self.bank):
                if started and before < self.told_at[i] <= now:
                    balancer.apply_list_changes(now, [self._lines[cold]])
                if (now + self._second[i]) % 1_000 < STEP and now > balancer._rates_updated_at:
                    self._second_over(balancer, now)
            if now % 500 < STEP:
                users, weighed = self._users(), list(accumulate(self.weights))
            burst = 3.0 if started else 1.0
            load = min(1.0, 0.5 * burst) if self._shape == "burst" else 1.0
            for server, (who, much) in enumerate(users):
                if (server == cold and started) or not who or not much[-1]:
                    continue
                due[server] += load * self._rate * STEP
                while due[server] >= 1:
                    due[server] -= 1
                    balancer = self.bank[who[bisect(much, random.random() * much[-1])]]
                    balancer._delivered += 1
                    balancer._upstreams[server].deliveries += 1
            asked += (0.5 * burst if self._shape == "burst" else OVERLOAD) * self._rate * SERVERS * STEP
            while asked >= 1:
                asked -= 1
                i = bisect(weighed, random.random() * weighed[-1])
                balancer = self.bank[i]
                balancer._accepted += 1
                if not started:
                    continue
                u = balancer._upstreams[cold]
                if u not in u.locality.candidates:
                    continue
                told = now >= self.told_at[i]
                if not told and random.random() > 1 / len(u.locality.candidates):
                    continue
                tag += 1
                visit = Visit(balancer, tag, balancer._request_classes[0], now, 2_000.0, False)
                if balancer._send(visit, u, now):
                    u.in_flight.clear()
                    u.locality.in_flight = 0
                    yield now, told


def count(shape: str, balancers: int, budget: float, seed: int, without: str = "") -> Counted:
    """Play one draw."""
    bound = budget + 2 * sqrt(budget) + 2
    recent: deque[tuple[float, bool]] = deque()
    windows = over = broken = most = 0
    for at, told in Bank(shape, balancers, budget, seed, without).sends():
        recent.append((at, told))
        while recent[0][0] <= at - WINDOW:
            recent.popleft()
        windows += 1
        most = max(most, len(recent))
        if len(recent) > bound:
            over += 1
            broken += sum(told for _, told in recent) > len(recent) * 2 / 3
    return Counted(windows, over, broken, most, windows / budget / (COUNTED / WINDOW))


@dataclass(slots=True, frozen=True)
class Row:
    """All draws of one bank, in one shape, at one budget."""

    shape: str
    balancers: int
    budget: float
    without: str
    draws: list[Counted]

    @property
    def broken(self) -> int:
        return sum(draw.broken for draw in self.draws)

    def line(self) -> str:
        windows = max(1, sum(draw.windows for draw in self.draws))
        over, most = sum(draw.over for draw in self.draws), max(draw.most for draw in self.draws)
        used = sum(draw.used for draw in self.draws) / len(self.draws)
        return (
            f"{self.shape:8} {self.balancers:5} {self.budget:5g} {over / windows:9.4%} "
            f"{self.broken / windows:9.4%} {sum(draw.broken > 0 for draw in self.draws):4} of "
            f"{len(self.draws):3} {most / self.budget:6.2f} {used:6.2f}  "
            + (f"without {self.without}" if self.without else "whole rule")
        )


HEADER = f"{'shape':8} {'bank':>5} {'N':>5} {'over':>9} {'broken':>9} {'draws':>11} {'most/N':>6} {'used':>6}"


def row(shape: str, balancers: int, budget: float, draws: int, without: str = "") -> Row:
    """So many draws."""
    counted = [count(shape, balancers, budget, seed, without) for seed in range(draws)]
    return Row(shape, balancers, budget, without, counted)
