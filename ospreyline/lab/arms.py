"""Arms: what is compared. Ours, an earlier text of ours, plain policies, and one that sees the true state.

Baselines live here only. The plain ones keep the rules on repeats and drains and know no other: no
health, no room, no cold budget; they show what a policy without them does. The far-seeing one knows each
server's queue, speed and warmth at this moment, and keeps the budget for cold servers over all balancers;
no real one can.
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
)
from ospreyline.lab.bank import Balancer, Maker, Policy
from ospreyline.lab.servers import Server
from ospreyline.lab.words import ScenarioError


class Held:
    """The handle of a visit at a plain policy."""

    __slots__ = (
        "_policy",
        "done",
        "ends",
        "expires",
        "out",
        "prefix",
        "sent_at",
        "tag",
        "target_at",
        "upstreams",
    )

    def __init__(self, policy: Plain, tag: int, prefix: PathPrefix, now: float, ttl: float) -> None:
        self._policy = policy
        self.tag = tag
        self.prefix = prefix
        self.expires = now + ttl
        self.target_at = now + min(ttl, prefix.target_latency)
        self.upstreams: list[ListedUpstream] = []
        self.ends: list[End | None] = []
        self.sent_at: list[float] = []
        self.out = 0
        self.done = False

    @property
    def settled(self) -> bool:
        return self.done and not self.out

    def fetch_ended(
        self, now: float, number: int, end: End, spent: float, final: bool, report: tuple[float, ...]
    ) -> None:
        if self.ends[number] is None:
            self.ends[number] = end
            self.out -= 1
            self._policy.ended(self.upstreams[number].upstream, end, spent, now)
        if final:
            self.done = True
        elif not self.done and not self.out:
            self._policy.again(self, now)

    def client_left(self, now: float) -> None:
        self.done = True
        for number, end in enumerate(self.ends):
            if end is None:
                self._policy.host.cancel_fetch(self.tag, number)


class Plain:
    """A policy that picks among the ready servers; who inherits says how."""

    def __init__(self, host: Host, terms: Deployment, seed: int, now: float) -> None:
        self.host = host
        self.terms = terms
        self.random = Random(seed).random
        self.listed: dict[int, ListedUpstream] = {}
        self.ready: list[ListedUpstream] = []
        self.out: dict[int, int] = {}
        self._watching = not terms.ask_for_list
        self._ask_wait = 500.0
        if terms.ask_for_list:
            host.call_at(now + self.random() * (500.0 + 10 * terms.balancers), self._ask)

    # the list

    def _ask(self, now: float) -> None:
        if not self._watching:
            self.host.watch_list(True)
            self.host.call_at(now + 0.4 * self.terms.must_ask_in, self._ask)

    def apply_list(self, now: float, lines: list[ListedUpstream]) -> None:
        self.listed.clear()
        self._take_in(lines)

    def apply_list_changes(self, now: float, lines: list[ListedUpstream]) -> None:
        self._watching = True
        self._ask_wait = 500.0
        self._take_in(lines)

    def list_call_failed(self, now: float) -> None:
        self._watching = False
        self.host.call_at(now + self._ask_wait * (0.5 + self.random()), self._ask)
        self._ask_wait = min(2 * self._ask_wait, 4_000.0)

    def probe_ended(
        self, now: float, upstream: int, end: End, spent_ms: float, report: tuple[float, ...]
    ) -> None:
        pass

    def _take_in(self, lines: list[ListedUpstream]) -> None:
        for line in lines:
            self.listed[line.upstream] = line
        self.ready = [line for line in self.listed.values() if line.readiness is Readiness.READY]

    # visits

    def accept_visit(self, now: float, tag: int, prefix: int, ttl: float, repeat: bool) -> Held:
        visit = Held(self, tag, self.terms.prefixes[prefix], now, ttl)
        self.again(visit, now)
        return visit

    def again(self, visit: Held, now: float) -> None:
        """A fetch where that is permitted, else the final answer."""
        ran = next((i for i, end in enumerate(visit.ends) if end not in NEVER_RAN), None)
        line = None
        if now < visit.expires and len(visit.ends) < self.terms.max_fetches:
            allowed = [x for x in self.ready if self._may(visit, x, ran, now)]
            line = self.pick(visit, allowed, now) if allowed else None
        if line is None:
            self._give_up(visit, ran)
            return
        visit.upstreams.append(line)
        visit.ends.append(None)
        visit.sent_at.append(now)
        visit.out += 1
        self.out[line.upstream] = self.out.get(line.upstream, 0) + 1
        self.host.start_fetch(visit.tag, line.upstream, visit.expires - now)

    def _may(self, visit: Held, line: ListedUpstream, ran: int | None, now: float) -> bool:
        if ran is None or visit.prefix.kind is Kind.READ_LIKE:
            return True
        first = visit.upstreams[ran]
        if visit.prefix.kind is Kind.MUTATING or now >= visit.sent_at[ran] + visit.prefix.window:
            return False
        return visit.prefix.scope is DedupScope.ALL or (
            first.zone == line.zone and (visit.prefix.scope is DedupScope.ZONE or first.cell == line.cell)
        )

    def _give_up(self, visit: Held, ran: int | None) -> None:
        kind = visit.prefix.kind
        if (
            ran is None
            or kind is Kind.READ_LIKE
            or (kind is Kind.TAGGED and visit.prefix.scope is DedupScope.ALL)
        ):
            self.host.bounce(visit.tag, self.terms.max_retry_after)
        else:
            self.host.answer_error(visit.tag)
        visit.done = True

    def ended(self, upstream: int, end: End, spent: float, now: float) -> None:
        self.out[upstream] -= 1

    def pick(self, visit: Held, allowed: list[ListedUpstream], now: float) -> ListedUpstream | None:
        raise NotImplementedError


class AtRandom(Plain):
    def pick(self, visit: Held, allowed: list[ListedUpstream], now: float) -> ListedUpstream | None:
        return allowed[int(self.random() * len(allowed))]


class RoundRobin(Plain):
    _turn = -1

    def pick(self, visit: Held, allowed: list[ListedUpstream], now: float) -> ListedUpstream | None:
        if self._turn < 0:
            self._turn = int(self.random() * len(allowed))  # or all would begin at the same one
        self._turn += 1
        return allowed[self._turn % len(allowed)]


class LeastInFlight(Plain):
    def pick(self, visit: Held, allowed: list[ListedUpstream], now: float) -> ListedUpstream | None:
        least = min(self.out.get(x.upstream, 0) for x in allowed)
        among = [x for x in allowed if self.out.get(x.upstream, 0) == least]
        return among[int(self.random() * len(among))]


class TwoSamples(Plain):
    def pick(self, visit: Held, allowed: list[ListedUpstream], now: float) -> ListedUpstream | None:
        a, b = (allowed[int(self.random() * len(allowed))] for _ in range(2))
        return a if self.out.get(a.upstream, 0) <= self.out.get(b.upstream, 0) else b


class OwnZone(TwoSamples):
    """Two samples among the servers of the own zone, others only where it has none."""

    def pick(self, visit: Held, allowed: list[ListedUpstream], now: float) -> ListedUpstream | None:
        home = [x for x in allowed if x.zone == self.terms.zone]
        return super().pick(visit, home or allowed, now)


class FarSeeing(Plain):
    """The server that answers first by its true state; a visit that none answers in time is bounced."""

    def __init__(self, host: Host, terms: Deployment, seed: int, now: float) -> None:
        super().__init__(host, terms, seed, now)
        assert isinstance(host, Balancer)
        self._around = host.around
        self._mean = host.around.scenario.mean_work()

    def pick(self, visit: Held, allowed: list[ListedUpstream], now: float) -> ListedUpstream | None:
        around, home = self._around, self.terms.zone
        left = visit.target_at - now
        best, least = None, 1.0
        gain = visit.prefix.gain
        for line in allowed:
            server = around.servers[line.upstream]
            if not server.up or server.mute or server.draining or (home, server.zone) in around.links.cuts:
                continue
            wait = self._wait(server)
            cost = exp(-left / max(1e-3, wait)) if wait < inf else 1.0
            cost += (self.terms.cross_fee / gain if gain else 0.0) if server.zone != home else 0.0
            if cost < least:
                best, least = line, cost
        if best is not None and least < 0.6:
            self._note(around.servers[best.upstream], now)
            return best
        return None

    def _wait(self, server: Server) -> float:
        """Until one more visit of mean work is done there."""
        group = server.group
        capacity = server.capacity()
        if capacity <= 0:
            return inf
        crowd = group.crowd
        if crowd.at and server.held + 1 > 0.7 * (server.cores + crowd.at * server.cores**0.5):
            return inf  # it would turn slow for long
        if server.warmth() < 1 and not self._cold_room(server):
            return inf
        return max(self._mean / server.speed(), self._mean * (server.held + 1) / capacity)

    def _cold_room(self, server: Server) -> bool:
        pushed = self._pushed(server)
        now = self._around.world.now
        while pushed and pushed[0] <= now - self.terms.tip_after:
            pushed.pop(0)
        able = server.capacity() * self.terms.tip_after / self._mean
        return len(pushed) < 0.5 * self.terms.overload_factor * able

    def _pushed(self, server: Server) -> list[float]:
        # one list for all balancers of the day: this arm may know what no real one does
        return self._around.seen.setdefault((server.index, server.incarnation), [])

    def _note(self, server: Server, now: float) -> None:
        if server.warmth() < 1:
            self._pushed(server).append(now)


PLAIN: dict[str, type[Plain]] = {
    "random": AtRandom,
    "round-robin": RoundRobin,
    "least-in-flight": LeastInFlight,
    "two-samples": TwoSamples,
    "own-zone": OwnZone,
    "far-seeing": FarSeeing,
}
HELP = "ours, rev:REVISION, file:PATH, " + ", ".join(PLAIN)


def text_of(arm: str) -> str:
    """The text of the module that an arm runs, which decides its results; `ScenarioError` if none."""
    if arm == "ours":
        return Path(decide.__file__).read_text("utf-8")
    if arm in PLAIN:
        return Path(__file__).read_text("utf-8")
    kind, _, what = arm.partition(":")
    if kind == "rev" and what:
        return _earlier(what)
    if kind == "file" and what:
        try:
            return Path(what).read_text("utf-8")
        except (OSError, UnicodeDecodeError) as error:
            raise ScenarioError(f"arm {arm}: {getattr(error, 'strerror', None) or error}") from error
    raise ScenarioError(f"arm {arm!r}: unknown, one of {HELP}")


def _earlier(revision: str) -> str:
    """`decide.py` as it stood at a revision of this repository."""
    path = Path(decide.__file__)
    found = subprocess.run(
        ["git", "-C", str(path.parent), "show", f"{revision}:./decide.py"],
        capture_output=True,
        text=True,
        check=False,
    )
    if found.returncode:
        why = (found.stderr.strip().splitlines() or ["git failed"])[-1]
        raise ScenarioError(f"arm rev:{revision}: {why}")
    return found.stdout


def _module(text: str, name: str) -> ModuleType:
    module = ModuleType("ospreyline_arm_" + "".join(c if c.isalnum() else "_" for c in name))
    module.__file__ = name
    sys.modules[module.__name__] = module  # dataclasses look their module up
    try:
        exec(compile(text, name, "exec"), module.__dict__)
        module.Balancer  # noqa: B018
    except (SyntaxError, ImportError, AttributeError) as error:
        raise ScenarioError(f"arm {name}: {error}") from error
    return module


def maker(arm: str) -> Maker:
    """What builds one balancer's decisions for an arm."""
    if arm == "ours":
        return _from(decide.Balancer)
    if arm in PLAIN:
        return _from(PLAIN[arm])
    return _from(_module(text_of(arm), arm).Balancer)


def _from(build: Callable[..., Any]) -> Maker:
    def make(host: Balancer, terms: Deployment, seed: int, now: float) -> Policy:
        policy: Policy = build(host, terms, seed, now)
        return policy

    return make
