"""One process of a hollow run: the source, a fan-out machine, or many balancers that serve nothing.

The pure modules and the links of the service, on sockets of loopback, without a listening side for requests.
What it is comes as one line of JSON on standard input, further lines are commands, and it says what it sees
in lines of JSON on standard output. `ospreyline/rig/hollow.py` starts such processes and judges by that.
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

from ospreyline.fleet.frames import ALIVE, Entry, Got, Message, Subscribe
from ospreyline.fleet.links import Links
from ospreyline.fleet.publisher import MOST_SUBSCRIBERS, Fanout, Publisher, Source
from ospreyline.fleet.scopes import GONE, HERE, LEAVING
from ospreyline.fleet.subscriber import Subscriber

TICK = 0.025  # s
SAMPLE = 0.5  # s between two looks at how old things are
MOST_OF_ONE = 256  # upstreams in a scope: a larger service is several scopes
ROUTES = 9  # of a service
BANK = "hollow"


def now_ms() -> float:
    return monotonic() * 1e3


def say(what: dict[str, Any]) -> None:
    os.write(1, msgspec.json.encode(what) + b"\n")


def sizes(services: int, upstreams: int, seed: int) -> list[int]:
    """Upstreams of each service: a few have many."""
    draw = Random(seed)
    found = [draw.lognormvariate(0.0, 1.0) for _ in range(services)]
    scale = upstreams / sum(found)
    return [max(1, min(MOST_OF_ONE, round(one * scale))) for one in found]


def assigned(services: int, subscribers: int, per: int, seed: int) -> list[list[int]]:
    """The services of each subscriber: each service is served by so many, drawn."""
    found: list[list[int]] = [[] for _ in range(subscribers)]
    for service in range(services):
        for one in Random(seed << 20 | service).sample(range(subscribers), min(per, subscribers)):
            found[one].append(service)
    return found


class Log:
    """What links say goes nowhere."""

    def warning(self, *args: Any, **kwargs: Any) -> None: ...


class Node:
    """A name with its links; `take` gets what comes."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        name: str,
        at: dict[str, tuple[str, int]],
        take: Callable[[str, Message], None],
        lost: Callable[[str], None],
        most: int = 64,
    ) -> None:
        me = Entry(name, "", "", int(time() * 1e3), 0, ALIVE)
        self.at, self.blocked = at, set[str]()
        self.said = 0  # messages
        self.take = take
        self.links = Links(
            loop,
            BANK,
            Log(),
            lambda: me,
            lambda entry, wanted: None,
            self._heard,
            lost,
            lambda entry: None,
            most,
            lost,
        )

    def _heard(self, name: str, message: Message) -> None:
        if name not in self.blocked:
            self.take(name, message)

    def send(self, out: list[tuple[str, Message]]) -> None:
        for to, message in out:
            if to not in self.blocked:
                self.said += 1
                dial = isinstance(message, Subscribe | Got)
                self.links.send(to, self.at.get(to) if dial else None, message)


class Base:
    """What all processes do: commands, a look at itself each second."""

    def __init__(self, loop: asyncio.AbstractEventLoop, what: dict[str, Any]) -> None:
        self.loop, self.what = loop, what
        self.phase = ""
        self.lag = 0.0
        self.calls = self.words = 0  # `Subscribe` and all that came
        self.due = loop.time()
        self.at = {n: (h, p) for n, h, p in what.get("at", [])}
        self._status_at = loop.time()
        loop.call_soon(self._tick)

    def _tick(self) -> None:
        now = self.loop.time()
        self.lag = max(self.lag, now - self.due)
        self.due = max(now, self.due + TICK)
        self.loop.call_at(self.due, self._tick)
        self.tick(now_ms())
        if now >= self._status_at:
            self._status_at = now + 1.0
            with open("/proc/self/statm") as file:
                pages = int(file.read().split()[1])
            say(
                {
                    "status": self.what["name"],
                    "phase": self.phase,
                    "t": now_ms(),
                    "cpu": process_time(),
                    "mb": pages * 4096 / 1e6,
                    "lag_ms": 1e3 * self.lag,
                    "calls": self.calls,
                    "words": self.words,
                    **self.status(),
                }
            )
            self.lag = 0.0

    def tick(self, now: float) -> None:
        raise NotImplementedError

    def status(self) -> dict[str, Any]:
        return {}

    def told(self, command: dict[str, Any]) -> None:
        """One command of the parent."""
        if "phase" in command:
            self.phase = command["phase"]
            gc.collect()
            gc.freeze()
        elif "end" in command:
            self.end()
            self.loop.stop()

    def end(self) -> None: ...

    def count(self, message: Message) -> None:
        self.words += 1
        self.calls += isinstance(message, Subscribe)

    def bytes(self, links: Links) -> dict[str, int]:
        return {"in": links.bytes_in, "out": links.bytes_out, "dropped": links.dropped}


class SourceProcess(Base):
    """The source, with what changes."""

    def __init__(self, loop: asyncio.AbstractEventLoop, what: dict[str, Any]) -> None:
        super().__init__(loop, what)
        self.draw = Random(what["seed"])
        self.source = Source(int(time() * 1e3), self.draw.random)
        self.node = Node(loop, "source", self.at, self.take, self.source.publisher.gone, 64)
        self.sizes = sizes(what["services"], what["upstreams"], what["seed"])
        self.made = 0
        self.changes: list[tuple[int, str, float, str]] = []
        self.planned: list[tuple[float, str, str]] = []
        self.every = {"config": what["config_per_s"], "replace": what["replaced_per_s"]}
        self.next = dict.fromkeys(self.every, float("inf"))
        now = now_ms()
        for i, count in enumerate(self.sizes):
            found = [(f"r{k}", HERE, self.body()) for k in range(ROUTES)]
            found += [(f"u{k}", HERE, self.body()) for k in range(count)]
            self.source.put(now, f"s{i}", found)
        gc.collect()
        gc.freeze()

    def body(self) -> bytes:
        """About as long as an entry of the list is."""
        self.made += 1
        return b'{"uid":"s-%010d","endpoint":"10.%d.%d.%d:9001","az":"zone-%02d","state":"active"}' % (
            self.made,
            self.made >> 16 & 255,
            self.made >> 8 & 255,
            self.made & 255,
            self.made % 43,
        )

    def take(self, name: str, message: Message) -> None:
        self.count(message)
        self.source.heard(now_ms(), name, message)
        self.flush()

    def flush(self) -> None:
        out = list(self.source.out)
        self.source.out.clear()
        self.node.send(out)

    def put(self, scope: str, key: str, state: int, kind: str) -> None:
        at = now_ms()
        self.source.put(at, scope, [(key, state, self.body())])
        self.changes.append((self.source.n, scope, at, kind))

    def tick(self, now: float) -> None:
        for kind in self.every:
            if now >= self.next[kind]:
                self.next[kind] = now + 1e3 * self.draw.expovariate(self.every[kind])
                # by upstreams: a large service changes more often
                i = self.draw.choices(range(len(self.sizes)), self.sizes)[0]
                if kind == "config":
                    self.put(f"s{i}", f"r{self.draw.randrange(ROUTES)}", HERE, kind)
                else:
                    key = f"u{self.draw.randrange(self.sizes[i])}"
                    self.put(f"s{i}", key, LEAVING, "drain")
                    self.planned.append((now + 1e3 * self.what["gone_after_s"], f"s{i}", key))
        while self.planned and now >= self.planned[0][0]:
            _, scope, key = self.planned.pop(0)
            self.put(scope, key, GONE, "gone")
            self.put(scope, f"{key}n", HERE, "new")
        self.source.tick(now)
        self.flush()

    def told(self, command: dict[str, Any]) -> None:
        super().told(command)
        if "changes" in command:
            for kind, per_s in self.every.items():
                if per_s:
                    self.next[kind] = now_ms() + 1e3 * self.draw.expovariate(per_s)
        if "quiet" in command:
            self.next = dict.fromkeys(self.every, float("inf"))

    def status(self) -> dict[str, Any]:
        return {
            **self.bytes(self.node.links),
            "said": self.node.said,
            "backlog": self.source.publisher.backlog(),
            "changes": len(self.changes),
            "planned": len(self.planned),
            "subscribers": len(self.source.publisher),
            "sent": self.source.publisher.sent,
            "snapshots": self.source.publisher.snapshots,
        }

    def end(self) -> None:
        say({"changes": self.changes, "records": sum(len(s.records) for s in self.source.scopes.values())})


class FanoutProcess(Base):
    """One of the machines set aside."""

    def __init__(self, loop: asyncio.AbstractEventLoop, what: dict[str, Any]) -> None:
        super().__init__(loop, what)
        name = what["name"]
        self.fan = Fanout(
            Subscriber(
                name,
                int(time() * 1e3),
                [("source", "")],
                Random(what["seed"]).random,
                now_ms(),
                number=what["number"],
                count=what["count"],
                everything=True,
                rate=2 << 20,
                most_bytes=1 << 30,
                beat=500.0,
            )
        )
        self.node = Node(
            loop, name, self.at, self.take, lambda n: self.fan.lost(now_ms(), n), MOST_SUBSCRIBERS + 16
        )

    def take(self, name: str, message: Message) -> None:
        self.count(message)
        self.fan.heard(now_ms(), name, message)
        self.node.send(self.fan.take_out())

    def tick(self, now: float) -> None:
        self.fan.tick(now)
        self.node.send(self.fan.take_out())

    def told(self, command: dict[str, Any]) -> None:
        super().told(command)
        if "cut" in command:
            self.node.blocked = {"source"} if command["cut"] else set()

    def status(self) -> dict[str, Any]:
        down: Publisher = self.fan.down
        self.node.links.tidy(set(self.node.links.by_name), 1e9)
        return {
            **self.bytes(self.node.links),
            "said": self.node.said,
            "subscribers": len(down),
            "backlog": down.backlog(),
            "ready": self.fan.up.complete[0] > 0,
            "scopes": len(self.fan.up.scopes),
            "sent": down.sent,
            "age": min(1e9, now_ms() - self.fan.up.fresh),
            "snapshots": down.snapshots,
            "resent": down.resent,
        }


class Hollow:
    """One balancer that serves nothing."""

    def __init__(self, process: SubscriberProcess, number: int, wants: list[str]) -> None:
        self.process, self.number, self.wants = process, number, wants
        self.name = f"b{number}"
        self.links_in = self.links_out = self.said = self.moves = 0
        self.restart_at = float("inf")
        self.begin()

    def begin(self) -> None:
        what = self.process.what
        self.begun = now_ms()
        self.whole_at = float("inf")
        self.least = 0.0
        self.sub = Subscriber(
            self.name,
            int(time() * 1e3),
            self.process.publishers,
            self.process.draw.random,
            self.begun,
            zone=self.process.zone(self.number),
            number=self.number,
            count=what["subscribers"],
        )
        for scope in self.wants:
            self.sub.want(self.begun, scope)
        self.node = Node(self.process.loop, self.name, self.process.at, self.take, self.lost)
        self.node.blocked = self.process.blocked(self.number)

    def restart(self) -> None:
        self.restart_at = float("inf")
        self.links_in += self.node.links.bytes_in
        self.links_out += self.node.links.bytes_out
        self.said += self.node.said
        self.moves += self.sub.moves
        self.node.links.close()
        self.begin()

    def take(self, name: str, message: Message) -> None:
        process, now = self.process, now_ms()
        process.words += 1
        self.sub.heard(now, name, message)
        if self.sub.news:
            for one in self.sub.news if process.phase else ():
                version = self.sub.scopes[one.scope].version[1]
                ahead = [r.n for r in one.records if r.n > version]
                # a drain that came ahead is in force, and nothing else of its scope
                process.took += [(self.number, one.scope, n, now, True) for n in ahead] or [
                    (self.number, one.scope, version, now, False)
                ]
            self.sub.news.clear()
        self.flush()

    def lost(self, name: str) -> None:
        self.sub.lost(now_ms(), name)

    def flush(self) -> None:
        if self.sub.out:
            out, self.sub.out = self.sub.out, []
            self.node.send(out)

    def tick(self, now: float) -> None:
        if now >= self.restart_at:
            self.restart()
        self.sub.tick(now)
        self.flush()

    def look(self, now: float) -> None:
        """How old what it holds is; a scope that it does not hold is none of that."""
        if self.whole_at == float("inf"):
            if len(self.sub.scopes) == len(self.wants) and self.sub.fresh > 0:
                self.whole_at = now
                self.process.whole.append((self.process.phase, now - self.begun))
            return
        deaf = self.process.deaf.setdefault(self.process.phase, {})
        deaf[self.number] = max(deaf.get(self.number, 0.0), now - self.sub.fresh)


class SubscriberProcess(Base):
    """Many hollow balancers."""

    def __init__(self, loop: asyncio.AbstractEventLoop, what: dict[str, Any]) -> None:
        super().__init__(loop, what)
        self.draw = Random(what["seed"])
        self.publishers = [(n, z) for n, z in what["publishers"]]
        self.took: list[tuple[int, str, int, float, bool]] = []
        self.deaf: dict[str, dict[int, float]] = {}
        self.whole: list[tuple[str, float]] = []
        self.cut = ""
        self._look_at = self._tidy_at = 0.0
        self._looked = 0
        services = assigned(what["services"], what["subscribers"], what["per"], what["seed"])
        self.all = [
            Hollow(self, i, [f"s{k}" for k in services[i]])
            for i in range(what["first"], what["first"] + what["many"])
        ]
        self._half = 0

    def zone(self, number: int) -> str:
        zones: list[str] = self.what["zones"]
        return zones[number % len(zones)]

    def blocked(self, number: int) -> set[str]:
        """A region that is cut off reaches nobody of another, and nobody reaches it."""
        if not self.cut:
            return set()
        inside = self.zone(number) == self.cut
        return {n for n, z in self.publishers if (z == self.cut) != inside}

    def tick(self, now: float) -> None:
        self._half ^= 1  # each every 50 ms
        for one in self.all[self._half :: 2]:
            one.tick(now)
        if now >= self._look_at:
            self._look_at = now + 1e3 * SAMPLE
            for one in self.all:
                one.look(now)
        if now >= self._tidy_at:
            self._tidy_at = now + 2_000.0
            for one in self.all:
                one.node.links.tidy(set(one.sub.publishers), 5.0)

    def told(self, command: dict[str, Any]) -> None:
        super().told(command)
        if "restart_s" in command:
            now = now_ms()
            for one in self.all:
                one.restart_at = now + 1e3 * command["restart_s"] * self.draw.random()
        if "cut" in command:
            self.cut = command["cut"]
            for one in self.all:
                one.node.blocked = self.blocked(one.number)

    def status(self) -> dict[str, Any]:
        return {
            "in": sum(o.links_in + o.node.links.bytes_in for o in self.all),
            "out": sum(o.links_out + o.node.links.bytes_out for o in self.all),
            "said": sum(o.said + o.node.said for o in self.all),
            "whole": sum(o.whole_at < float("inf") for o in self.all),
            "subscribers": len(self.all),
            "moves": sum(o.moves + o.sub.moves for o in self.all),
            "taken": sum(o.sub.taken for o in self.all),
            "doubts": sum(o.sub.doubts for o in self.all),
        }

    def end(self) -> None:
        scopes = sum(len(o.sub.scopes) for o in self.all)
        say(
            {
                "took": self.took,
                "deaf": {p: [[k, v] for k, v in d.items()] for p, d in self.deaf.items()},
                "whole": self.whole,
                "wants": [[o.number, o.wants] for o in self.all],
                "scopes": scopes,
                "records": sum(len(s.records) for o in self.all for s in o.sub.scopes.values()),
                "held": sum(o.sub.bytes for o in self.all),
            }
        )


KINDS: dict[str, type[Base]] = {
    "source": SourceProcess,
    "fanout": FanoutProcess,
    "subscribers": SubscriberProcess,
}


async def _commands(loop: asyncio.AbstractEventLoop, process: Base) -> None:
    reader = asyncio.StreamReader(limit=1 << 20)
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
    while line := await reader.readline():
        process.told(msgspec.json.decode(line))
    loop.stop()  # guards: whoever started us is gone


async def _listen(process: Base) -> None:
    if isinstance(process, SourceProcess | FanoutProcess):
        host, port = await process.node.links.listen(("127.0.0.1", 0))
        say({"listens": process.what["name"], "host": host, "port": port})
    else:
        say({"listens": process.what["name"], "host": "", "port": 0})


def main() -> None:
    """Be what the first line of standard input says."""
    text = b""
    while not text.endswith(b"\n"):
        text += os.read(0, 1 << 20)
    what = msgspec.json.decode(text)
    try:
        import uvloop

        loop: asyncio.AbstractEventLoop = uvloop.new_event_loop()
    except ImportError:
        loop = asyncio.new_event_loop()
    asyncio.set_event_loop(loop)
    process = KINDS[what["role"]](loop, what)
    loop.run_until_complete(_listen(process))
    tasks = [loop.create_task(_commands(loop, process))]
    loop.run_forever()
    del tasks
    os._exit(0)


if __name__ == "__main__":
    main()
