"""What all balancers together send to one cold server, compared with its budget.

There are no queues and no latencies: warm servers deliver all that they can, each visit through one balancer
that uses them, and each visit that a balancer receives is tried at the cold server first. This measures only
the admission limit of the decisions, at the highest possible demand. The budget is N visits in any window of
the rule (capacity is constant, so N is, too); more than N + 2 sqrt(N) + 2 count as over it.
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
    "even": "every balancer gets the same load",
    "skewed": "one balancer gets eight times the mean load, the others uneven loads",
    "moving": "the balancer with eight times the mean load changes every 3 s",
    "burst": "half of the load, and three times that once the server has started",
    "fresh": "three in four balancers restarted 2 s before; the others carried all load until then",
    "opening": "all balancers restarted 2 s before",
    "late": "half of the balancers are notified up to 5 s late",
    "uneven": "three zones; seven in ten balancers live in one and none in another",
}
PARTS = {
    "means": "a balancer uses the highest capacity that it has measured, not the current one",
    "half": "a fraction of a send is granted in full",
    "chance": "a fraction of a send is always rounded up to one",
}
WINDOW_MS, OVERLOAD_FACTOR, SERVERS = 1_000.0, 3.0, 12
STEP_MS, START_MS, MEASURED_MS = 25.0, 12_000.0, 10_000.0
DEMAND = 3.0  # times the capacity of all servers
HOT_FACTOR, SPILL_WEIGHT = 8.0, 0.05
PREFIX = PathPrefix(Kind.READ_LIKE, DedupScope.ALL, 0.0, 500.0, 2_000.0, 1.0, 0.0)


class _Host:
    """A host that ignores all calls of the decisions."""

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
class DrawResult:
    """Result of one draw: windows that end at a send, and how many of them were over the bound."""

    windows: int
    over: int
    broken: int  # over, with at least two thirds of the sends from notified balancers
    most: int  # sends in a window
    used: float  # mean sends in a window, as a share of N


class Bank:
    """Balancers and servers of one draw; `without`: the part of the rule (`PARTS`) that is disabled."""

    def __init__(self, shape: str, balancers: int, budget: float, seed: int, without: str = "") -> None:
        self._shape, self._count, self._seed, self._without = shape, balancers, seed, without
        self._random = Random(f"{shape} {balancers} {budget} {seed}")
        self._zones = 3 if shape == "uneven" else 1
        self._rate = budget / OVERLOAD_FACTOR / WINDOW_MS  # capacity of one server, visits per ms
        self._list = [
            ListedUpstream(i, i * 7919 + 13 + seed * 104_729, i % self._zones, 0, Readiness.READY, 0.0)
            for i in range(SERVERS)
        ]
        self._balancer_zones = [0 if not i or self._random.random() < 0.7 else 1 for i in range(balancers)]
        draw = self._random.lognormvariate
        self.weights = [draw(0.0, 0.8) if shape == "skewed" else 1.0 for _ in range(balancers)]
        self._hot = 0
        if shape in ("skewed", "moving"):
            self._make_hot(0)
        self.bank = [self._new_balancer(i, 0.0) for i in range(balancers)]
        self._second_offset = [1_000 * self._random.random() for _ in range(balancers)]
        self.notified_at = [0.0] * balancers

    def _make_hot(self, who: int) -> None:
        """Give one balancer `HOT_FACTOR` times the mean load of the others."""
        others = [w for i, w in enumerate(self.weights) if i != self._hot] or [1.0]
        self.weights[self._hot] = others[0]
        self._hot = who
        self.weights[who] = HOT_FACTOR * sum(others) / len(others)

    def _new_balancer(self, i: int, now: float) -> Balancer:
        zone = self._balancer_zones[i] if self._zones > 1 else 0
        settings = Deployment(
            zone,
            self._zones,
            self._count,
            i,
            (PREFIX,),
            cold_from=1.0,
            warm_within=60_000.0,
            overload_factor=OVERLOAD_FACTOR,
            tip_after=WINDOW_MS,
        )
        balancer = Balancer(_Host(), settings, self._seed * 100_003 + i, now)
        balancer.apply_list(now, self._list)
        if self._without == "half":
            balancer._fraction_granted = 1.0
        elif self._without == "chance":
            balancer._random = lambda: 0.0
        return balancer

    def _update_each_second(self, balancer: Balancer, now: float) -> None:
        """Run the once-a-second updates of a balancer."""
        before = [level.capacity for level in balancer._localities]
        balancer._update_rates(now)
        balancer._update_candidates(now)
        if self._without == "means":
            for level, most in zip(balancer._localities, before, strict=True):
                level.capacity = max(0.99 * most, level.capacity)

    def _senders(self) -> list[tuple[list[int], list[float]]]:
        """For each server: the balancers that send to it, and their cumulative weights."""
        senders: list[tuple[list[int], list[float]]] = [([], []) for _ in self._list]
        for i, balancer in enumerate(self.bank):
            used = [u for level in balancer._localities for u in level.candidates]
            for u in used:
                near = 1.0 if u.zone == balancer._zone or u.zone not in self._balancer_zones else SPILL_WEIGHT
                senders[u.id][0].append(i)
                senders[u.id][1].append(self.weights[i] * near / len(used))
        return [(who, list(accumulate(much))) for who, much in senders]

    def sends(self) -> Iterator[tuple[float, bool]]:
        """Yields each send to the cold server: time in ms, and whether the sender knew of its start."""
        random, cold = self._random, 0
        due, demanded, tag = [random.random() for _ in self._list], 0.0, 0
        senders, cumulative_weights, now = self._senders(), list(accumulate(self.weights)), 0.0
        restart, last_move = START_MS - 2_000 if self._shape in ("fresh", "opening") else -1.0, 0.0
        gone, full_weights = set(range(self._count)), self.weights
        if self._shape == "fresh":
            gone -= set(range(0, self._count, 4))
            self.weights = [0.0 if i in gone else w for i, w in enumerate(self.weights)]
            senders, cumulative_weights = self._senders(), list(accumulate(self.weights))
        while now < START_MS + MEASURED_MS:
            before, now = now, now + STEP_MS
            started = now > START_MS
            if before <= restart < now:
                self.weights = full_weights
                for i in gone:
                    self.bank[i] = self._new_balancer(i, now)
            if self._shape == "moving" and now - last_move >= 3_000:
                last_move = now
                self._make_hot(int(random.random() * self._count))
            if before <= START_MS < now:
                for i in range(self._count):
                    late = self._shape == "late" and i % 2
                    self.notified_at[i] = now + (5_000 * random.random() if late else 0.0)
                self._list[cold] = ListedUpstream(cold, self._list[cold].hash_key, 0, 0, Readiness.READY, now)
            for i, balancer in enumerate(self.bank):
                if started and before < self.notified_at[i] <= now:
                    balancer.apply_list_changes(now, [self._list[cold]])
                if (now + self._second_offset[i]) % 1_000 < STEP_MS and now > balancer._rates_updated_at:
                    self._update_each_second(balancer, now)
            if now % 500 < STEP_MS:
                senders, cumulative_weights = self._senders(), list(accumulate(self.weights))
            burst = 3.0 if started else 1.0
            load = min(1.0, 0.5 * burst) if self._shape == "burst" else 1.0
            for server, (who, much) in enumerate(senders):
                if (server == cold and started) or not who or not much[-1]:
                    continue
                due[server] += load * self._rate * STEP_MS
                while due[server] >= 1:
                    due[server] -= 1
                    balancer = self.bank[who[bisect(much, random.random() * much[-1])]]
                    balancer._delivered += 1
                    balancer._upstreams[server].deliveries += 1
            demanded += (0.5 * burst if self._shape == "burst" else DEMAND) * self._rate * SERVERS * STEP_MS
            while demanded >= 1:
                demanded -= 1
                i = bisect(cumulative_weights, random.random() * cumulative_weights[-1])
                balancer = self.bank[i]
                balancer._accepted += 1
                if not started:
                    continue
                u = balancer._upstreams[cold]
                if u not in u.locality.candidates:
                    continue
                notified = now >= self.notified_at[i]
                if not notified and random.random() > 1 / len(u.locality.candidates):
                    continue
                tag += 1
                visit = Visit(balancer, tag, balancer._request_classes[0], now, 2_000.0, False)
                if balancer._send(visit, u, now):
                    u.in_flight.clear()
                    u.locality.in_flight = 0
                    yield now, notified


def count(shape: str, balancers: int, budget: float, seed: int, without: str = "") -> DrawResult:
    """Simulate one draw."""
    bound = budget + 2 * sqrt(budget) + 2
    recent: deque[tuple[float, bool]] = deque()
    windows = over = broken = most = 0
    for at, notified in Bank(shape, balancers, budget, seed, without).sends():
        recent.append((at, notified))
        while recent[0][0] <= at - WINDOW_MS:
            recent.popleft()
        windows += 1
        most = max(most, len(recent))
        if len(recent) > bound:
            over += 1
            broken += sum(notified for _, notified in recent) > len(recent) * 2 / 3
    return DrawResult(windows, over, broken, most, windows / budget / (MEASURED_MS / WINDOW_MS))


@dataclass(slots=True, frozen=True)
class Row:
    """All draws of one shape, number of balancers and budget."""

    shape: str
    balancers: int
    budget: float
    without: str
    draws: list[DrawResult]

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
    """Simulate `draws` draws, with seeds from 0 on."""
    counted = [count(shape, balancers, budget, seed, without) for seed in range(draws)]
    return Row(shape, balancers, budget, without, counted)
