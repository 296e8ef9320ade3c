"""Experiment arms: the policies that a run can use in place of the current `decide.py`.

An arm is the current `decide.py`, another revision or file of it, or one of the baselines below. The simple
baselines keep the rules on repeats and drains and ignore health, capacity and the budget for cold servers;
they show what a policy without these does. The oracle (`far-seeing`) knows each server's queue, speed and
warmth at this moment and keeps the budget for cold servers over all balancers, which no real policy can.
"""

from __future__ import annotations

import subprocess
import sys
from collections.abc import Callable
from math import exp, inf
from pathlib import Path
from random import Random
from types import ModuleType
from typing import Any

from ospreyline import decide
from ospreyline.host import (
    NEVER_RAN,
    DedupScope,
    Deployment,
    End,
    Host,
    Kind,
    ListedUpstream,
    PathPrefix,
    Readiness,
    repeat_is_harmless,
)
from ospreyline.lab.bank import Balancer, Maker, Policy
from ospreyline.lab.servers import Server
from ospreyline.lab.words import ScenarioError

FIRST_BACKOFF_MS = 500.0  # of a failed watch of the list; doubles up to the next
MAX_BACKOFF_MS = 4_000.0


class PolicyVisit:
    """The handle of one visit at a baseline policy (the calls of `decide.Visit`)."""

    __slots__ = (
        "_policy",
        "done",
        "ends",
        "expires",
        "in_flight",
        "prefix",
        "sent_at",
        "tag",
        "target_at",
        "upstreams",
    )

    def __init__(self, policy: BaselinePolicy, tag: int, prefix: PathPrefix, now: float, ttl: float) -> None:
        self._policy = policy
        self.tag = tag
        self.prefix = prefix
        self.expires = now + ttl
        self.target_at = now + min(ttl, prefix.target_latency)
        self.upstreams: list[ListedUpstream] = []
        self.ends: list[End | None] = []
        self.sent_at: list[float] = []
        self.in_flight = 0
        self.done = False

    @property
    def settled(self) -> bool:
        return self.done and not self.in_flight

    def fetch_ended(
        self, now: float, number: int, end: End, spent: float, final: bool, report: tuple[float, ...]
    ) -> None:
        """Fetch `number` has ended; `final`: the client has its answer."""
        if self.ends[number] is None:
            self.ends[number] = end
            self.in_flight -= 1
            self._policy.ended(self.upstreams[number].upstream, end, spent, now)
        if final:
            self.done = True
        elif not self.done and not self.in_flight:
            self._policy.send_or_answer(self, now)

    def client_left(self, now: float) -> None:
        """The client disconnected: cancels the fetches that are in flight."""
        self.done = True
        for number, end in enumerate(self.ends):
            if end is None:
                self._policy.host.cancel_fetch(self.tag, number)


class BaselinePolicy:
    """Base of the baselines: sends to a ready server that the subclass picks by `pick`."""

    def __init__(self, host: Host, settings: Deployment, seed: int, now: float) -> None:
        self.host = host
        self.settings = settings
        self.random = Random(seed).random
        self.listed: dict[int, ListedUpstream] = {}
        self.ready: list[ListedUpstream] = []
        self.in_flight: dict[int, int] = {}
        self._watch_established = not settings.ask_for_list
        self._watch_backoff = FIRST_BACKOFF_MS
        if settings.ask_for_list:
            host.call_at(now + self.random() * (500.0 + 10 * settings.balancers), self._start_watch)

    # the upstream list

    def _start_watch(self, now: float) -> None:
        """Starts a watch of the list unless one is established; retries until it is."""
        if not self._watch_established:
            self.host.watch_list(True)
            self.host.call_at(now + 0.4 * self.settings.must_ask_in, self._start_watch)

    def apply_list(self, now: float, lines: list[ListedUpstream]) -> None:
        self.listed.clear()
        self._update_listed(lines)

    def apply_list_changes(self, now: float, lines: list[ListedUpstream]) -> None:
        self._watch_established = True
        self._watch_backoff = FIRST_BACKOFF_MS
        self._update_listed(lines)

    def list_call_failed(self, now: float) -> None:
        self._watch_established = False
        self.host.call_at(now + self._watch_backoff * (0.5 + self.random()), self._start_watch)
        self._watch_backoff = min(2 * self._watch_backoff, MAX_BACKOFF_MS)

    def probe_ended(
        self, now: float, upstream: int, end: End, spent_ms: float, report: tuple[float, ...]
    ) -> None:
        pass

    def _update_listed(self, lines: list[ListedUpstream]) -> None:
        for line in lines:
            self.listed[line.upstream] = line
        self.ready = [line for line in self.listed.values() if line.readiness is Readiness.READY]

    # visits and their fetches

    def accept_visit(self, now: float, tag: int, prefix: int, ttl: float, repeat: bool) -> PolicyVisit:
        visit = PolicyVisit(self, tag, self.settings.prefixes[prefix], now, ttl)
        self.send_or_answer(visit, now)
        return visit

    def send_or_answer(self, visit: PolicyVisit, now: float) -> None:
        """Sends a fetch where the rules permit one, else gives the final answer."""
        prior = next((i for i, end in enumerate(visit.ends) if end not in NEVER_RAN), None)
        line = None
        if now < visit.expires and len(visit.ends) < self.settings.max_fetches:
            allowed = [x for x in self.ready if self._may_send(visit, x, prior, now)]
            line = self.pick(visit, allowed, now) if allowed else None
        if line is None:
            self._give_up(visit, prior)
            return
        visit.upstreams.append(line)
        visit.ends.append(None)
        visit.sent_at.append(now)
        visit.in_flight += 1
        self.in_flight[line.upstream] = self.in_flight.get(line.upstream, 0) + 1
        self.host.start_fetch(visit.tag, line.upstream, visit.expires - now)

    def _may_send(self, visit: PolicyVisit, line: ListedUpstream, prior: int | None, now: float) -> bool:
        """Whether the rules on repeats allow this fetch; `prior`: the first fetch that may have run."""
        if prior is None or visit.prefix.kind is Kind.READ_LIKE:
            return True
        first = visit.upstreams[prior]
        if visit.prefix.kind is Kind.MUTATING or now >= visit.sent_at[prior] + visit.prefix.window:
            return False
        return visit.prefix.scope is DedupScope.ALL or (
            first.zone == line.zone and (visit.prefix.scope is DedupScope.ZONE or first.cell == line.cell)
        )

    def _give_up(self, visit: PolicyVisit, prior: int | None) -> None:
        """Bounces the visit where a repeat is harmless, else fails it."""
        if prior is None or repeat_is_harmless(visit.prefix.kind, visit.prefix.scope):
            self.host.bounce(visit.tag, self.settings.max_retry_after)
        else:
            self.host.answer_error(visit.tag)
        visit.done = True

    def ended(self, upstream: int, end: End, spent: float, now: float) -> None:
        self.in_flight[upstream] -= 1

    def pick(self, visit: PolicyVisit, allowed: list[ListedUpstream], now: float) -> ListedUpstream | None:
        """One of the allowed upstreams (at least one), or None to answer without a fetch."""
        raise NotImplementedError


class RandomChoice(BaselinePolicy):
    def pick(self, visit: PolicyVisit, allowed: list[ListedUpstream], now: float) -> ListedUpstream | None:
        return allowed[int(self.random() * len(allowed))]


class RoundRobin(BaselinePolicy):
    _next = -1

    def pick(self, visit: PolicyVisit, allowed: list[ListedUpstream], now: float) -> ListedUpstream | None:
        if self._next < 0:
            self._next = int(self.random() * len(allowed))  # else all balancers begin at the same one
        self._next += 1
        return allowed[self._next % len(allowed)]


class LeastInFlight(BaselinePolicy):
    def pick(self, visit: PolicyVisit, allowed: list[ListedUpstream], now: float) -> ListedUpstream | None:
        least = min(self.in_flight.get(x.upstream, 0) for x in allowed)
        among = [x for x in allowed if self.in_flight.get(x.upstream, 0) == least]
        return among[int(self.random() * len(among))]


class PowerOfTwoChoices(BaselinePolicy):
    def pick(self, visit: PolicyVisit, allowed: list[ListedUpstream], now: float) -> ListedUpstream | None:
        a, b = (allowed[int(self.random() * len(allowed))] for _ in range(2))
        return a if self.in_flight.get(a.upstream, 0) <= self.in_flight.get(b.upstream, 0) else b


class LocalZoneFirst(PowerOfTwoChoices):
    """Two random choices among the servers of the own zone; among all only where it has none."""

    def pick(self, visit: PolicyVisit, allowed: list[ListedUpstream], now: float) -> ListedUpstream | None:
        home = [x for x in allowed if x.zone == self.settings.zone]
        return super().pick(visit, home or allowed, now)


class Oracle(BaselinePolicy):
    """Picks the server that answers first by its true state; bounces a visit that none answers in time."""

    def __init__(self, host: Host, settings: Deployment, seed: int, now: float) -> None:
        super().__init__(host, settings, seed, now)
        assert isinstance(host, Balancer)
        self._simulation = host.around
        self._mean = host.around.scenario.mean_work()

    def pick(self, visit: PolicyVisit, allowed: list[ListedUpstream], now: float) -> ListedUpstream | None:
        simulation, home = self._simulation, self.settings.zone
        time_left = visit.target_at - now
        best, least_cost = None, 1.0
        gain = visit.prefix.gain
        for line in allowed:
            server = simulation.servers[line.upstream]
            if (
                not server.up
                or server.mute
                or server.draining
                or (home, server.zone) in simulation.links.cuts
            ):
                continue
            wait = self._completion_wait(server)
            cost = exp(-time_left / max(1e-3, wait)) if wait < inf else 1.0
            cost += (self.settings.cross_fee / gain if gain else 0.0) if server.zone != home else 0.0
            if cost < least_cost:
                best, least_cost = line, cost
        if best is not None and least_cost < 0.6:
            self._record_cold_send(simulation.servers[best.upstream], now)
            return best
        return None

    def _completion_wait(self, server: Server) -> float:
        """ms until one more visit of mean work is done there; `inf` where it must not be sent."""
        group = server.group
        capacity = server.capacity()
        if capacity <= 0:
            return inf
        crowd = group.crowd
        if crowd.at and server.held + 1 > 0.7 * (server.cores + crowd.at * server.cores**0.5):
            return inf  # it would stay overloaded, and slow, for long
        if server.warmth() < 1 and not self._within_cold_budget(server):
            return inf
        return max(self._mean / server.speed(), self._mean * (server.held + 1) / capacity)

    def _within_cold_budget(self, server: Server) -> bool:
        """Whether all balancers sent a cold server less than half of what overloads it within `tip_after`."""
        sends = self._cold_sends(server)
        now = self._simulation.world.now
        while sends and sends[0] <= now - self.settings.tip_after:
            sends.pop(0)
        manageable = server.capacity() * self.settings.tip_after / self._mean
        return len(sends) < 0.5 * self.settings.overload_factor * manageable

    def _cold_sends(self, server: Server) -> list[float]:
        """Times (ms) of recent sends to this start of a server while it was cold."""
        # shared by all balancers of the run: the oracle knows what the others send
        return self._simulation.seen.setdefault((server.index, server.incarnation), [])

    def _record_cold_send(self, server: Server, now: float) -> None:
        if server.warmth() < 1:
            self._cold_sends(server).append(now)


BASELINES: dict[str, type[BaselinePolicy]] = {
    "random": RandomChoice,
    "round-robin": RoundRobin,
    "least-in-flight": LeastInFlight,
    "two-samples": PowerOfTwoChoices,
    "own-zone": LocalZoneFirst,
    "far-seeing": Oracle,
}
HELP = "ours, rev:REVISION, file:PATH, " + ", ".join(BASELINES)


def source_text(arm: str) -> str:
    """Source text of the module that an arm runs; `ScenarioError` if there is no such arm or source."""
    if arm == "ours":
        return Path(decide.__file__).read_text("utf-8")
    if arm in BASELINES:
        return Path(__file__).read_text("utf-8")
    kind, _, target = arm.partition(":")
    if kind == "rev" and target:
        return _source_at_revision(target)
    if kind == "file" and target:
        try:
            return Path(target).read_text("utf-8")
        except (OSError, UnicodeDecodeError) as error:
            raise ScenarioError(f"arm {arm}: {getattr(error, 'strerror', None) or error}") from error
    raise ScenarioError(f"arm {arm!r}: unknown, one of {HELP}")


def _source_at_revision(revision: str) -> str:
    """`decide.py` at a revision of this repository; `ScenarioError` if git does not find it."""
    path = Path(decide.__file__)
    shown = subprocess.run(
        ["git", "-C", str(path.parent), "show", f"{revision}:./decide.py"],
        capture_output=True,
        text=True,
        check=False,
    )
    if shown.returncode:
        why = (shown.stderr.strip().splitlines() or ["git failed"])[-1]
        raise ScenarioError(f"arm rev:{revision}: {why}")
    return shown.stdout


def _load_module(text: str, name: str) -> ModuleType:
    """Executes the source of an arm as a new module; `ScenarioError` if it does not load."""
    module = ModuleType("ospreyline_arm_" + "".join(c if c.isalnum() else "_" for c in name))
    module.__file__ = name
    sys.modules[module.__name__] = module  # dataclasses look their module up
    try:
        exec(compile(text, name, "exec"), module.__dict__)
        module.Balancer  # noqa: B018
    except (SyntaxError, ImportError, AttributeError) as error:
        raise ScenarioError(f"arm {name}: {error}") from error
    return module


def policy_factory(arm: str) -> Maker:
    """The factory of one balancer's decisions for an arm."""
    if arm == "ours":
        return _factory(decide.Balancer)
    if arm in BASELINES:
        return _factory(BASELINES[arm])
    return _factory(_load_module(source_text(arm), arm).Balancer)


def _factory(build: Callable[..., Any]) -> Maker:
    def make(host: Balancer, settings: Deployment, seed: int, now: float) -> Policy:
        policy: Policy = build(host, settings, seed, now)
        return policy

    return make
