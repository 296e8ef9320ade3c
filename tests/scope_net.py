"""A simulated network for the pure modules of scopes: messages are lost, doubled, late and out of order,
processes restart, parts are cut off; a seed replays a run. It knows the truth and checks invariants by it.
"""

from __future__ import annotations

import heapq
from collections import deque
from math import inf
from random import Random

import msgspec

from ospreyline.fleet.frames import HEADER, Message, ScopeChange, encode
from ospreyline.fleet.publisher import BURST_S, PART_BYTES, Fanout, Source
from ospreyline.fleet.scopes import GONE, LEAVING, MAX_EPOCH, PRESENT
from ospreyline.fleet.subscriber import BYTES_PER_S, Subscriber

STEP = 50.0  # ms between two ticks of a process
IN_FORCE = 4_000.0  # ms; bound from a change at the source until it is in force at a balancer
EPOCH = 1_700_000_000_000
_DECODER = msgspec.msgpack.Decoder(Message)


class Broken(AssertionError):
    """An invariant does not hold."""


class Net:
    """One source, fan-out machines, balancers; `run` advances time and checks all invariants."""

    def __init__(
        self,
        seed: int,
        fanouts: int = 3,
        balancers: int = 6,
        scopes: int = 8,
        upstreams: int = 5,
        loss: float = 0.0,
        double: float = 0.0,
        late: float = 0.0,
        rate: int = BYTES_PER_S,
        body: int = 40,
    ) -> None:
        self.random = Random(seed)
        self.now = 1_000.0
        self.loss, self.double, self.late = loss, double, late
        self.rate, self.body = rate, body
        self.queue: list[tuple[float, int, str, str, bytes]] = []
        self.number = 0
        self.cut: set[frozenset[str]] = set()
        self.starts: dict[str, int] = {}  # by process: how often it was started
        # the true state by scope and key, and since when
        self.state: dict[str, dict[str, tuple[int, bytes, float]]] = {}
        self.history: dict[str, list[tuple[float, tuple[int, int], dict[str, int] | None]]] = {}
        self.reached: dict[tuple[int, int], float] = {}  # by version: when the source reached it
        self.contents: dict[tuple[str, int, int], dict[str, tuple[int, bytes]] | None] = {}
        self.subscriptions: dict[str, set[str]] = {}
        self.in_flight: dict[str, list[str]] = {}
        self.last_versions: dict[tuple[str, str], tuple[int, int]] = {}
        self.bytes_sent: dict[str, deque[tuple[float, int]]] = {}
        self.sent: dict[str, int] = {}  # change messages, by receiver
        self.changes = 0
        self.clock_back = False  # the next source starts with a clock that was set back
        self.made = 0
        self.timely = False  # drains must be in force in time: no message is lost on purpose
        self.drains: dict[tuple[str, str], float] = {}  # drains that are not in force everywhere yet
        # by balancer, scope and key: version by which it was to leave
        self.leaving: dict[tuple[str, str, str], tuple[int, int]] = {}
        self.longest = 0.0  # ms; the longest time until a drain was in force
        for i in range(scopes):
            self.state[f"s{i}"] = {f"u{k}": (PRESENT, b"x" * body, 0.0) for k in range(upstreams)}
        self.fanouts = [f"f{i}" for i in range(fanouts)]
        self.balancers = [f"b{i}" for i in range(balancers)]
        self.start_source()
        self.up: dict[str, Fanout] = {}
        self.subs: dict[str, Subscriber] = {}
        for name in self.fanouts:
            self.start_fanout(name)
        for name in self.balancers:
            self.subscriptions[name] = set(self.random.sample(sorted(self.state), min(4, scopes)))
            self.start_balancer(name)

    # processes

    def _next_start(self, name: str) -> int:
        self.starts[name] = self.starts.get(name, 0) + 1
        return EPOCH + int(self.now) + self.starts[name]

    def start_source(self) -> None:
        epoch = self._next_start("source") - (10_000_000 if self.clock_back else 0)
        self.source = Source(epoch, self.random.random)
        self._end_links("source")
        for scope, records in self.state.items():
            self.source.put(self.now, scope, [])
            self.observe()
            for key, (state, body, since) in records.items():
                self.source.put(self.now, scope, [(key, state, body)], self.now - since if state else 0.0)
                self.observe()

    def start_fanout(self, name: str) -> None:
        up = Subscriber(
            name,
            self._next_start(name),
            [("source", "")],
            self.random.random,
            self.now,
            everything=True,
            rate=2 << 20,
            max_bytes=64 << 20,
            heartbeat_ms=500.0,
        )
        self.up[name] = Fanout(up)
        self._end_links(name)

    def start_balancer(self, name: str) -> None:
        start = self._next_start(name)
        number = self.balancers.index(name)
        self.subs[name] = Subscriber(
            name,
            start,
            [(f, "") for f in self.fanouts],
            self.random.random,
            self.now,
            number=number,
            count=len(self.balancers),
            rate=self.rate,
        )
        self.in_flight[name] = []
        for key in [k for k in self.last_versions if k[0] == name]:
            del self.last_versions[key]
        self.leaving = {k: v for k, v in self.leaving.items() if k[0] != name}
        self._end_links(name)
        for scope in sorted(self.subscriptions[name]):
            self.subs[name].subscribe(self.now, scope)

    def _end_links(self, name: str) -> None:
        """The others notice with a probability of 0.6 (a reset may not have arrived)."""
        if not hasattr(self, "subs"):
            return
        for other in self.up.values():
            if self.random.random() < 0.6 and other.up.name != name:
                other.link_lost(self.now, name)
        for sub in self.subs.values():
            if self.random.random() < 0.6:
                sub.publisher_lost(self.now, name)
        if self.random.random() < 0.6:
            self.source.publisher.remove_subscriber(name)

    # the true state

    def observe(self) -> None:
        """Record the source's current state."""
        self.reached.setdefault((self.source.epoch, self.source.n), self.now)
        for name, scope in self.source.scopes.items():
            self.reached.setdefault(scope.version, self.now)
            known = self.history.setdefault(name, [])
            if not known or known[-1][1] != scope.version:
                held = None if scope.gone else {r.key: (r.state, r.body) for r in scope.live_records()}
                states = None if held is None else {k: v[0] for k, v in held.items()}
                known.append((self.now, scope.version, states))
                self.contents[(name, *scope.version)] = held

    def change(self) -> None:
        """Change something at random."""
        self.changes += 1
        draw = self.random
        scope = draw.choice(sorted(self.state))
        records = self.state[scope]
        what = draw.random()
        if what < 0.02 and len(self.state) > 2:
            for key in self.state.pop(scope):
                self.drains.setdefault((scope, key), self.now)
            self.source.remove(self.now, scope)
        elif what < 0.05:
            scope = f"s{draw.randrange(len(self.state) + 4)}"
            self.put(scope, "u0", PRESENT)
        elif what < 0.35 and records:
            self.put(scope, draw.choice(sorted(records)), LEAVING)
        elif what < 0.6 and records:
            self.put(scope, draw.choice(sorted(records)), GONE)
        else:
            self.put(scope, f"u{draw.randrange(2 * 5)}", PRESENT)
        self.observe()

    def put(self, scope: str, key: str, state: int) -> None:
        records = self.state.setdefault(scope, {})
        self.made += 1
        body = b"%d" % self.made + b"x" * self.body
        if state == GONE:
            records.pop(key, None)
        elif state == LEAVING:
            old = records.get(key, (PRESENT, body, 0.0))
            if old[0] == LEAVING:
                return
            body = old[1]
            records[key] = (state, body, self.now)
        else:
            records[key] = (state, body, self.now)
        self.source.put(self.now, scope, [(key, state, body)])
        if state == PRESENT:
            self.drains.pop((scope, key), None)
        else:
            self.drains.setdefault((scope, key), self.now)
        self.observe()

    # time

    def send(self, out: list[tuple[str, Message]], me: str) -> None:
        for to, message in out:
            frame = encode(message)
            if me.startswith("f") and to.startswith("b") and isinstance(message, ScopeChange):
                self.sent[to] = self.sent.get(to, 0) + 1
                if not message.drains_only:
                    self._check_rate(f"{me} to {to}, {message.session}", len(frame))
            if frozenset((me, to)) in self.cut or self.random.random() < self.loss:
                continue
            for _ in range(2 if self.random.random() < self.double else 1):
                delay = self.random.uniform(1.0, 40.0)
                if self.random.random() < self.late:
                    delay += self.random.uniform(0.0, 3_000.0)
                self.number += 1
                heapq.heappush(self.queue, (self.now + delay, self.number, me, to, frame))
        out.clear()

    def _check_rate(self, pair: str, size: int) -> None:
        """Check the rate over the last 10 s, with the allowed burst."""
        spent = self.bytes_sent.setdefault(pair, deque())
        spent.append((self.now, size))
        while self.now - spent[0][0] > 10_000.0:
            spent.popleft()
        total = sum(s for _, s in spent)
        most = self.rate * (BURST_S + 10.0) + 2 * PART_BYTES
        if total > most:
            raise Broken(f"{pair}: {total} bytes in 10 s, {most} is the most")

    def _due(self, until: float) -> None:
        while self.queue and self.queue[0][0] <= until:
            at, _, me, to, frame = heapq.heappop(self.queue)
            self.now = max(self.now, at)
            if frozenset((me, to)) in self.cut:
                continue
            message = _DECODER.decode(frame[HEADER.size :])
            if to == "source":
                self.source.receive(self.now, me, message)
                self.observe()
                self.send(self.source.out, "source")
            elif to in self.up:
                fan = self.up[to]
                fan.receive(self.now, me, message)
                self.send(fan.take_out(), to)
            else:
                sub = self.subs[to]
                sub.receive(self.now, me, message)
                self.send(sub.out, to)
                self.check_balancer(to, False)

    def run(self, seconds: float, changes: float = 0.0, faults: float = 0.0, requests: float = 0.0) -> None:
        """Advance time; so many `changes`, `faults` and moves of `requests` are drawn a second."""
        end = self.now + seconds * 1e3
        while self.now < end:
            step = self.now + STEP
            self._due(step)
            self.now = step
            for chance, call in ((changes, self.change), (faults, self.fault), (requests, self.request)):
                if self.random.random() < chance * STEP / 1e3:
                    call()
            self.source.tick(self.now)
            self.observe()
            self.send(self.source.out, "source")
            for name, fan in self.up.items():
                fan.tick(self.now)
                self.send(fan.take_out(), name)
            for name, sub in self.subs.items():
                sub.tick(self.now)
                self.send(sub.out, name)
                self.check_balancer(name, True)
            self._check_drain_times()

    # faults

    def fault(self) -> None:
        draw = self.random
        what = draw.random()
        everybody = ["source", *self.fanouts, *self.balancers]
        if what < 0.15:
            self.start_fanout(draw.choice(self.fanouts))
        elif what < 0.25:
            self.start_balancer(draw.choice(self.balancers))
        elif what < 0.35:
            self.clock_back = draw.random() < 0.5
            self.start_source()
        elif what < 0.6:
            self.cut.add(frozenset(draw.sample(everybody, 2)))
        elif what < 0.7:
            half = set(draw.sample(everybody, len(everybody) // 2))
            self.cut |= {frozenset((a, b)) for a in half for b in everybody if b not in half}
        else:
            self.cut.clear()

    def heal(self) -> None:
        self.cut.clear()
        self.loss = self.double = self.late = 0.0

    def request(self) -> None:
        """Start or end a request, or change a subscription, also with requests in flight."""
        draw = self.random
        name = draw.choice(self.balancers)
        sub, what = self.subs[name], draw.random()
        if what < 0.4:
            scope = draw.choice(sorted(self.subscriptions[name])) if self.subscriptions[name] else ""
            if scope and sub.start_request(scope):
                self.in_flight[name].append(scope)
        elif what < 0.7 and self.in_flight[name]:
            scope = self.in_flight[name].pop(draw.randrange(len(self.in_flight[name])))
            sub.end_request(self.now, scope)
        elif what < 0.85 and self.subscriptions[name]:
            scope = draw.choice(sorted(self.subscriptions[name]))
            self.subscriptions[name].discard(scope)
            sub.unsubscribe(self.now, scope)
        else:
            scope = f"s{draw.randrange(len(self.state) + 2)}"
            self.subscriptions[name].add(scope)
            sub.subscribe(self.now, scope)
        for scope in self.in_flight[name]:
            if scope not in sub.scopes:
                raise Broken(f"{name}: {scope} went while requests were in flight")

    # invariants

    def check_balancer(self, name: str, closely: bool) -> None:
        """Check one balancer's contents against the truth."""
        sub = self.subs[name]
        sub.updates.clear()
        for scope, held in sub.scopes.items():
            before = self.last_versions.get((name, scope))
            if before is not None and held.version < before:
                raise Broken(f"{name}: {scope} went back from {before} to {held.version}")
            self.last_versions[name, scope] = held.version
            for key, record in held.records.items() if not held.gone else ():
                was = self.leaving.get((name, scope, key))
                at = (held.version[0], record.n)
                if record.state == LEAVING and record.n:
                    self.leaving[name, scope, key] = max(at, was or at)
                elif was is not None and record.state == PRESENT and record.n and at < was:
                    raise Broken(f"{name}: {scope} {key} was told to leave by {was} and came back by {at}")
            if closely:
                self._check_age(name, sub, scope)
                self._check_contents(name, sub, scope)
        for key in [k for k in self.last_versions if k[0] == name and k[1] not in sub.scopes]:
            del self.last_versions[key]
            self.leaving = {k: v for k, v in self.leaving.items() if k[:2] != key}
        if closely:
            size = sum(held.size for held in sub.scopes.values())
            if size != sub.held_bytes:
                raise Broken(f"{name}: counts {sub.held_bytes} bytes, holds {size}")

    def _check_age(self, name: str, sub: Subscriber, scope: str) -> None:
        """The contents were the source's state at most `age` ms ago."""
        age = sub.age(self.now, scope)
        if age == inf:
            return
        if age < 0:
            raise Broken(f"{name}: {scope} is {age:.0f} ms old")
        version = sub.scopes[scope].version
        since = self.reached.get(version, inf)
        if since == inf:
            raise Broken(f"{name}: {scope} at {version}, which the source never said")
        gone = sub.scopes[scope].gone
        for at, newer, states in reversed(self.history.get(scope, ())):
            if at <= since or newer == version or (gone and states is None):
                break  # a deleted scope is the same under every version
            if at < self.now - age - 1e-6:
                raise Broken(
                    f"{name}: {scope} at {version} said to be {age:.0f} ms old, {newer} was there "
                    f"{self.now - at:.0f} ms ago"
                )

    def _check_contents(self, name: str, sub: Subscriber, scope: str) -> None:
        """The contents are what the source had under that version; what leaves stays leaving, since the right
        time."""
        held = sub.scopes[scope]
        if held.gone or scope in sub.mismatched:
            return
        truth = self.contents.get((scope, *held.version), None)
        ahead = sub._early_drains.get(scope, {})
        found = {r.key: (r.state, r.body) for r in held.records.values() if r.key not in ahead}
        if truth is None or found != {k: v for k, v in truth.items() if k not in ahead}:
            found = {k: (s, b[:4]) for k, (s, b) in found.items()}
            truth = truth and {k: (s, b[:4]) for k, (s, b) in truth.items()}
            raise Broken(f"{name}: {scope} at {held.version} holds {found}, not {truth}")
        for key in ahead:
            if key in held.records and held.records[key].state != LEAVING:
                raise Broken(f"{name}: {scope} {key} was told to leave and came back by something older")
        real = self.state.get(scope, {})
        for key, record in held.records.items():
            state, body, since = real.get(key, (PRESENT, b"", 0.0))
            if (
                record.state == LEAVING == state
                and body == record.body
                and record.leaving_since > since + 1e-6
            ):
                raise Broken(
                    f"{name}: {scope} {key} leaves since {since:.0f}, held as {record.leaving_since:.0f}"
                )

    def check_bounds(self) -> None:
        """State is bounded: nothing is kept for old versions or for subscribers that are gone."""
        for name, fan in self.up.items():
            for sub in fan.down._subscribers.values():
                if len(sub.behind) > len(sub.acked) or sub.unacked_bytes < 0:
                    raise Broken(f"{name}: {len(sub.behind)} behind of {len(sub.acked)}")
                if sub.unacked_bytes != sum(s.size for s in sub.in_flight.values()):
                    raise Broken(
                        f"{name}: {sub.unacked_bytes} bytes unacknowledged, {len(sub.in_flight)} changes"
                    )
            if len(fan.down) > len(self.balancers):
                raise Broken(f"{name}: {len(fan.down)} subscribers")
        for name, sub in self.subs.items():
            if sub.mismatches:
                raise Broken(f"{name}: what it held was not what its version had, {sub.mismatches} times")
            if len(sub._sessions) > 2 or sub.max_epoch > MAX_EPOCH:
                raise Broken(f"{name}: {len(sub._sessions)} sessions")

    def check_converged(self) -> None:
        """All balancers have the newest versions and know that they are fresh."""
        for name, sub in self.subs.items():
            for scope in self.subscriptions[name]:
                held, newest = sub.scopes.get(scope), self.source.scopes.get(scope)
                if newest is None or newest.gone:
                    if held is None or not held.gone:
                        raise Broken(f"{name}: {scope} is no more, and it holds {held and held.version}")
                    continue
                if held is None or held.version != newest.version or held.gone:
                    raise Broken(f"{name}: {scope} at {held and held.version}, not at {newest.version}")
                if sub.age(self.now, scope) > 3_000.0:
                    raise Broken(f"{name}: {scope} is said to be {sub.age(self.now, scope):.0f} ms old")

    def _check_drain_times(self) -> None:
        """Time until drains are in force at the last balancer."""
        for (scope, key), since in list(self.drains.items()):
            if self.in_force(scope, key):
                self.longest = max(self.longest, self.now - since)
                del self.drains[scope, key]
            elif self.timely and self.now - since > IN_FORCE:
                raise Broken(f"{scope} {key} is to leave for {self.now - since:.0f} ms and is still sent to")

    def in_force(self, scope: str, key: str) -> bool:
        """No balancer that subscribes to the scope sends to this upstream."""
        for name, sub in self.subs.items():
            held = sub.scopes.get(scope)
            if (
                scope in self.subscriptions[name]
                and held is not None
                and not held.gone
                and key in held.records
                and held.records[key].state == PRESENT
            ):
                return False
        return True
