"""One process of a simulation of scoped subscriptions: source, fan-out machine, or many simulated balancers.

It uses the real pure modules and links, on loopback sockets; simulated balancers serve no requests. The first
line of standard input is the process's specification in JSON, further lines are commands; it reports in lines
of JSON on standard output. `ospreyline/rig/hollow.py` starts such processes and evaluates their reports.
"""

from __future__ import annotations

import asyncio
import gc
import os
import sys
from collections.abc import Callable
from random import Random
from time import monotonic, process_time, time
from typing import Any

import msgspec

from ospreyline.fleet.frames import ALIVE, ChangeAck, Entry, Message, Subscribe
from ospreyline.fleet.links import Links
from ospreyline.fleet.publisher import MAX_SUBSCRIBERS, Fanout, Publisher, Source
from ospreyline.fleet.scopes import GONE, LEAVING, PRESENT
from ospreyline.fleet.subscriber import Subscriber

TICK_S = 0.025
SAMPLE_S = 0.5  # between samples of the age of the contents
MAX_UPSTREAMS_PER_SCOPE = 256  # a larger service is split into several scopes
ROUTES_PER_SERVICE = 9
BANK = "hollow"


def now_ms() -> float:
    return monotonic() * 1e3


def emit(report: dict[str, Any]) -> None:
    os.write(1, msgspec.json.encode(report) + b"\n")


def sizes(services: int, upstreams: int, seed: int) -> list[int]:
    """Upstreams of each service, log-normal: a few services have many."""
    draw = Random(seed)
    found = [draw.lognormvariate(0.0, 1.0) for _ in range(services)]
    scale = upstreams / sum(found)
    return [max(1, min(MAX_UPSTREAMS_PER_SCOPE, round(one * scale))) for one in found]


def assigned(services: int, subscribers: int, per: int, seed: int) -> list[list[int]]:
    """The services of each subscriber; each service is served by `per` subscribers, drawn by `seed`."""
    found: list[list[int]] = [[] for _ in range(subscribers)]
    for service in range(services):
        for one in Random(seed << 20 | service).sample(range(subscribers), min(per, subscribers)):
            found[one].append(service)
    return found


class NullLog:
    """Discards the log messages of links."""

    def warning(self, *args: Any, **kwargs: Any) -> None: ...


class Node:
    """A named member with its links; `on_message` gets what arrives, `on_lost` the ends of links."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        name: str,
        addresses: dict[str, tuple[str, int]],
        on_message: Callable[[str, Message], None],
        on_lost: Callable[[str], None],
        max_links: int = 64,
    ) -> None:
        me = Entry(name, "", "", int(time() * 1e3), 0, ALIVE)
        self.addresses, self.blocked = addresses, set[str]()
        self.sent = 0
        self.on_message = on_message
        self.links = Links(
            loop,
            BANK,
            NullLog(),
            lambda: me,
            lambda entry, wanted: None,
            self._receive,
            on_lost,
            lambda entry: None,
            max_links,
            on_lost,
        )

    def _receive(self, name: str, message: Message) -> None:
        if name not in self.blocked:
            self.on_message(name, message)

    def send(self, out: list[tuple[str, Message]]) -> None:
        for to, message in out:
            if to not in self.blocked:
                self.sent += 1
                dial = isinstance(message, Subscribe | ChangeAck)
                self.links.send(to, self.addresses.get(to) if dial else None, message)


class SimulationProcess:
    """Common to all processes: commands, a tick each 25 ms and a status report each second."""

    def __init__(self, loop: asyncio.AbstractEventLoop, spec: dict[str, Any]) -> None:
        self.loop, self.spec = loop, spec
        self.phase = ""
        self.lag = 0.0
        self.subscribes = self.messages = 0  # received: `Subscribe` messages, all messages
        self.tick_at = loop.time()
        self.addresses = {n: (h, p) for n, h, p in spec.get("at", [])}
        self._status_at = loop.time()
        loop.call_soon(self._tick)

    def _tick(self) -> None:
        now = self.loop.time()
        self.lag = max(self.lag, now - self.tick_at)
        self.tick_at = max(now, self.tick_at + TICK_S)
        self.loop.call_at(self.tick_at, self._tick)
        self.tick(now_ms())
        if now >= self._status_at:
            self._status_at = now + 1.0
            with open("/proc/self/statm") as file:
                pages = int(file.read().split()[1])
            emit(
                {
                    "status": self.spec["name"],
                    "phase": self.phase,
                    "t": now_ms(),
                    "cpu": process_time(),
                    "mb": pages * 4096 / 1e6,
                    "lag_ms": 1e3 * self.lag,
                    "calls": self.subscribes,
                    "words": self.messages,
                    **self.status(),
                }
            )
            self.lag = 0.0

    def tick(self, now: float) -> None:
        raise NotImplementedError

    def status(self) -> dict[str, Any]:
        return {}

    def handle_command(self, command: dict[str, Any]) -> None:
        """Execute one command of the parent process."""
        if "phase" in command:
            self.phase = command["phase"]
            gc.collect()
            gc.freeze()
        elif "end" in command:
            self.finish()
            self.loop.stop()

    def finish(self) -> None: ...

    def count(self, message: Message) -> None:
        self.messages += 1
        self.subscribes += isinstance(message, Subscribe)

    def link_bytes(self, links: Links) -> dict[str, int]:
        return {"in": links.bytes_in, "out": links.bytes_out, "dropped": links.dropped}


class SourceProcess(SimulationProcess):
    """The source, with configuration changes and replaced upstreams."""

    def __init__(self, loop: asyncio.AbstractEventLoop, spec: dict[str, Any]) -> None:
        super().__init__(loop, spec)
        self.draw = Random(spec["seed"])
        self.source = Source(int(time() * 1e3), self.draw.random)
        self.node = Node(
            loop, "source", self.addresses, self.receive, self.source.publisher.remove_subscriber, 64
        )
        self.sizes = sizes(spec["services"], spec["upstreams"], spec["seed"])
        self.records_made = 0
        self.changes: list[tuple[int, str, float, str]] = []
        self.planned_removals: list[tuple[float, str, str]] = []
        self.rates = {"config": spec["config_per_s"], "replace": spec["replaced_per_s"]}
        self.next_at = dict.fromkeys(self.rates, float("inf"))
        now = now_ms()
        for i, count in enumerate(self.sizes):
            found = [(f"r{k}", PRESENT, self.new_body()) for k in range(ROUTES_PER_SERVICE)]
            found += [(f"u{k}", PRESENT, self.new_body()) for k in range(count)]
            self.source.put(now, f"s{i}", found)
        gc.collect()
        gc.freeze()

    def new_body(self) -> bytes:
        """A record body about as long as an entry of the upstream list."""
        self.records_made += 1
        return b'{"uid":"s-%010d","endpoint":"10.%d.%d.%d:9001","az":"zone-%02d","state":"active"}' % (
            self.records_made,
            self.records_made >> 16 & 255,
            self.records_made >> 8 & 255,
            self.records_made & 255,
            self.records_made % 43,
        )

    def receive(self, name: str, message: Message) -> None:
        self.count(message)
        self.source.receive(now_ms(), name, message)
        self.flush()

    def flush(self) -> None:
        out = list(self.source.out)
        self.source.out.clear()
        self.node.send(out)

    def put(self, scope: str, key: str, state: int, kind: str) -> None:
        at = now_ms()
        self.source.put(at, scope, [(key, state, self.new_body())])
        self.changes.append((self.source.n, scope, at, kind))

    def tick(self, now: float) -> None:
        for kind in self.rates:
            if now >= self.next_at[kind]:
                self.next_at[kind] = now + 1e3 * self.draw.expovariate(self.rates[kind])
                # weighted by upstreams: a large service changes more often
                i = self.draw.choices(range(len(self.sizes)), self.sizes)[0]
                if kind == "config":
                    self.put(f"s{i}", f"r{self.draw.randrange(ROUTES_PER_SERVICE)}", PRESENT, kind)
                else:
                    key = f"u{self.draw.randrange(self.sizes[i])}"
                    self.put(f"s{i}", key, LEAVING, "drain")
                    self.planned_removals.append((now + 1e3 * self.spec["gone_after_s"], f"s{i}", key))
        while self.planned_removals and now >= self.planned_removals[0][0]:
            _, scope, key = self.planned_removals.pop(0)
            self.put(scope, key, GONE, "gone")
            self.put(scope, f"{key}n", PRESENT, "new")
        self.source.tick(now)
        self.flush()

    def handle_command(self, command: dict[str, Any]) -> None:
        super().handle_command(command)
        if "changes" in command:
            for kind, per_s in self.rates.items():
                if per_s:
                    self.next_at[kind] = now_ms() + 1e3 * self.draw.expovariate(per_s)
        if "quiet" in command:
            self.next_at = dict.fromkeys(self.rates, float("inf"))

    def status(self) -> dict[str, Any]:
        return {
            **self.link_bytes(self.node.links),
            "said": self.node.sent,
            "backlog": self.source.publisher.backlog(),
            "changes": len(self.changes),
            "planned": len(self.planned_removals),
            "subscribers": len(self.source.publisher),
            "sent": self.source.publisher.sent,
            "snapshots": self.source.publisher.snapshots,
        }

    def finish(self) -> None:
        emit({"changes": self.changes, "records": sum(len(s.records) for s in self.source.scopes.values())})


class FanoutProcess(SimulationProcess):
    """A fan-out machine."""

    def __init__(self, loop: asyncio.AbstractEventLoop, spec: dict[str, Any]) -> None:
        super().__init__(loop, spec)
        name = spec["name"]
        self.fanout = Fanout(
            Subscriber(
                name,
                int(time() * 1e3),
                [("source", "")],
                Random(spec["seed"]).random,
                now_ms(),
                number=spec["number"],
                count=spec["count"],
                everything=True,
                rate=2 << 20,
                max_bytes=1 << 30,
                heartbeat_ms=500.0,
            )
        )
        self.node = Node(
            loop,
            name,
            self.addresses,
            self.receive,
            lambda n: self.fanout.link_lost(now_ms(), n),
            MAX_SUBSCRIBERS + 16,
        )

    def receive(self, name: str, message: Message) -> None:
        self.count(message)
        self.fanout.receive(now_ms(), name, message)
        self.node.send(self.fanout.take_out())

    def tick(self, now: float) -> None:
        self.fanout.tick(now)
        self.node.send(self.fanout.take_out())

    def handle_command(self, command: dict[str, Any]) -> None:
        super().handle_command(command)
        if "cut" in command:
            self.node.blocked = {"source"} if command["cut"] else set()

    def status(self) -> dict[str, Any]:
        down: Publisher = self.fanout.down
        self.node.links.run_maintenance(set(self.node.links.by_name), 1e9)
        return {
            **self.link_bytes(self.node.links),
            "said": self.node.sent,
            "subscribers": len(down),
            "backlog": down.backlog(),
            "ready": self.fanout.up.complete_to[0] > 0,
            "scopes": len(self.fanout.up.scopes),
            "sent": down.sent,
            "age": min(1e9, now_ms() - self.fanout.up.fresh_as_of),
            "snapshots": down.snapshots,
            "resent": down.resent,
        }


class SimulatedBalancer:
    """One simulated balancer: a subscriber without traffic."""

    def __init__(self, process: SubscriberProcess, number: int, subscriptions: list[str]) -> None:
        self.process, self.number, self.subscriptions = process, number, subscriptions
        self.name = f"b{number}"
        self.bytes_in = self.bytes_out = self.sent = self.moves = 0
        self.restart_at = float("inf")
        self.start()

    def start(self) -> None:
        spec = self.process.spec
        self.started_at = now_ms()
        self.ready_at = float("inf")
        self.least = 0.0
        self.sub = Subscriber(
            self.name,
            int(time() * 1e3),
            self.process.publishers,
            self.process.draw.random,
            self.started_at,
            zone=self.process.zone(self.number),
            number=self.number,
            count=spec["subscribers"],
        )
        for scope in self.subscriptions:
            self.sub.subscribe(self.started_at, scope)
        self.node = Node(self.process.loop, self.name, self.process.addresses, self.receive, self.lost)
        self.node.blocked = self.process.blocked(self.number)

    def restart(self) -> None:
        self.restart_at = float("inf")
        self.bytes_in += self.node.links.bytes_in
        self.bytes_out += self.node.links.bytes_out
        self.sent += self.node.sent
        self.moves += self.sub.moves
        self.node.links.close()
        self.start()

    def receive(self, name: str, message: Message) -> None:
        process, now = self.process, now_ms()
        process.messages += 1
        self.sub.receive(now, name, message)
        if self.sub.updates:
            for one in self.sub.updates if process.phase else ():
                version = self.sub.scopes[one.scope].version[1]
                ahead = [r.n for r in one.records if r.n > version]
                # a drain that came ahead of its change is in force, but nothing else of its scope
                process.applied += [(self.number, one.scope, n, now, True) for n in ahead] or [
                    (self.number, one.scope, version, now, False)
                ]
            self.sub.updates.clear()
        self.flush()

    def lost(self, name: str) -> None:
        self.sub.publisher_lost(now_ms(), name)

    def flush(self) -> None:
        if self.sub.out:
            out, self.sub.out = self.sub.out, []
            self.node.send(out)

    def tick(self, now: float) -> None:
        if now >= self.restart_at:
            self.restart()
        self.sub.tick(now)
        self.flush()

    def sample_age(self, now: float) -> None:
        """Sample the age of the contents, once all scopes are there."""
        if self.ready_at == float("inf"):
            if len(self.sub.scopes) == len(self.subscriptions) and self.sub.fresh_as_of > 0:
                self.ready_at = now
                self.process.ready_times.append((self.process.phase, now - self.started_at))
            return
        max_ages = self.process.max_ages.setdefault(self.process.phase, {})
        max_ages[self.number] = max(max_ages.get(self.number, 0.0), now - self.sub.fresh_as_of)


class SubscriberProcess(SimulationProcess):
    """Many simulated balancers."""

    def __init__(self, loop: asyncio.AbstractEventLoop, spec: dict[str, Any]) -> None:
        super().__init__(loop, spec)
        self.draw = Random(spec["seed"])
        self.publishers = [(n, z) for n, z in spec["publishers"]]
        self.applied: list[tuple[int, str, int, float, bool]] = []
        self.max_ages: dict[str, dict[int, float]] = {}
        self.ready_times: list[tuple[str, float]] = []
        self.isolated_zone = ""
        self._sample_at = self._maintenance_at = 0.0
        self._looked = 0
        services = assigned(spec["services"], spec["subscribers"], spec["per"], spec["seed"])
        self.balancers = [
            SimulatedBalancer(self, i, [f"s{k}" for k in services[i]])
            for i in range(spec["first"], spec["first"] + spec["many"])
        ]
        self._half = 0

    def zone(self, number: int) -> str:
        zones: list[str] = self.spec["zones"]
        return zones[number % len(zones)]

    def blocked(self, number: int) -> set[str]:
        """The publishers that this balancer cannot reach while a region is cut off."""
        if not self.isolated_zone:
            return set()
        inside = self.zone(number) == self.isolated_zone
        return {n for n, z in self.publishers if (z == self.isolated_zone) != inside}

    def tick(self, now: float) -> None:
        self._half ^= 1  # each balancer every 50 ms
        for one in self.balancers[self._half :: 2]:
            one.tick(now)
        if now >= self._sample_at:
            self._sample_at = now + 1e3 * SAMPLE_S
            for one in self.balancers:
                one.sample_age(now)
        if now >= self._maintenance_at:
            self._maintenance_at = now + 2_000.0
            for one in self.balancers:
                one.node.links.run_maintenance(set(one.sub.publishers), 5.0)

    def handle_command(self, command: dict[str, Any]) -> None:
        super().handle_command(command)
        if "restart_s" in command:
            now = now_ms()
            for one in self.balancers:
                one.restart_at = now + 1e3 * command["restart_s"] * self.draw.random()
        if "cut" in command:
            self.isolated_zone = command["cut"]
            for one in self.balancers:
                one.node.blocked = self.blocked(one.number)

    def status(self) -> dict[str, Any]:
        return {
            "in": sum(o.bytes_in + o.node.links.bytes_in for o in self.balancers),
            "out": sum(o.bytes_out + o.node.links.bytes_out for o in self.balancers),
            "said": sum(o.sent + o.node.sent for o in self.balancers),
            "whole": sum(o.ready_at < float("inf") for o in self.balancers),
            "subscribers": len(self.balancers),
            "moves": sum(o.moves + o.sub.moves for o in self.balancers),
            "taken": sum(o.sub.applied for o in self.balancers),
            "doubts": sum(o.sub.mismatches for o in self.balancers),
        }

    def finish(self) -> None:
        scopes = sum(len(o.sub.scopes) for o in self.balancers)
        emit(
            {
                "took": self.applied,
                "deaf": {p: [[k, v] for k, v in d.items()] for p, d in self.max_ages.items()},
                "whole": self.ready_times,
                "wants": [[o.number, o.subscriptions] for o in self.balancers],
                "scopes": scopes,
                "records": sum(len(s.records) for o in self.balancers for s in o.sub.scopes.values()),
                "held": sum(o.sub.held_bytes for o in self.balancers),
            }
        )


ROLES: dict[str, type[SimulationProcess]] = {
    "source": SourceProcess,
    "fanout": FanoutProcess,
    "subscribers": SubscriberProcess,
}


async def _commands(loop: asyncio.AbstractEventLoop, process: SimulationProcess) -> None:
    reader = asyncio.StreamReader(limit=1 << 20)
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
    while line := await reader.readline():
        process.handle_command(msgspec.json.decode(line))
    loop.stop()  # without this, the process would outlive its parent


async def _listen(process: SimulationProcess) -> None:
    if isinstance(process, SourceProcess | FanoutProcess):
        host, port = await process.node.links.listen(("127.0.0.1", 0))
        emit({"listens": process.spec["name"], "host": host, "port": port})
    else:
        emit({"listens": process.spec["name"], "host": "", "port": 0})


def main() -> None:
    """Run the process that the first line of standard input specifies."""
    text = b""
    while not text.endswith(b"\n"):
        text += os.read(0, 1 << 20)
    spec = msgspec.json.decode(text)
    try:
        import uvloop

        loop: asyncio.AbstractEventLoop = uvloop.new_event_loop()
    except ImportError:
        loop = asyncio.new_event_loop()
    asyncio.set_event_loop(loop)
    process = ROLES[spec["role"]](loop, spec)
    loop.run_until_complete(_listen(process))
    tasks = [loop.create_task(_commands(loop, process))]
    loop.run_forever()
    del tasks
    os._exit(0)


if __name__ == "__main__":
    main()
