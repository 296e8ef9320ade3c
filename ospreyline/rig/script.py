"""Carries out the faults of a scenario on processes, links and stand-ins, at a time or on something seen.

A fault begins with orders to the parts that it meets and ends with orders that take it back. What it did is
a row for the referee, and a line of the records. Whom a fault meets is drawn by its seed.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from fnmatch import fnmatchcase
from math import ceil
from random import Random
from time import time
from typing import Any, Protocol

from ospreyline.rig.scenario import LINK_KINDS, MOVED, Fault, Scenario, links

Undo = Callable[[], Awaitable[None]]


class Day(Protocol):
    """What a script acts on: the rig's parts, by what they are told."""

    scenario: Scenario

    def now(self) -> float: ...
    def row(self, kind: str, /, **values: Any) -> None: ...
    async def break_links(self, names: list[str], **order: Any) -> None: ...
    async def tell_upstreams(self, indices: list[int], **order: Any) -> None: ...
    async def tell_list(self, **order: Any) -> None: ...
    async def tell_clients(self, **order: Any) -> None: ...
    async def signal(self, balancers: list[int], what: str) -> None: ...
    async def start(self, balancers: list[int]) -> None: ...
    async def gone(self, balancer: int) -> None: ...
    def move_list(self, balancer: int) -> None: ...


class Script:
    """The faults of one run."""

    def __init__(
        self, day: Day, faults: list[Fault], seed: int, zones: list[int], balancer_zones: list[int]
    ) -> None:
        self.day = day
        self.faults = faults
        self.log: list[dict[str, Any]] = []  # what was carried out, for the records
        self._draw = Random(seed)
        self._zones = zones  # of the upstreams
        self._balancer_zones = balancer_zones
        self._names = links(day.scenario)
        self._generation = [1] * len(zones)
        self._late = 0.0  # ms that the list service takes longer to notice
        self._dead: dict[int, int] = {}  # upstreams, by how many faults
        self._drained: set[int] = set()
        self._tasks: set[asyncio.Task[None]] = set()
        self.failed: list[BaseException] = []

    def uid(self, index: int) -> str:
        return f"s-{index}-{self._generation[index]}"

    def spawn(self, work: Awaitable[None]) -> None:
        async def carried() -> None:
            try:
                await work
            except asyncio.CancelledError:
                raise
            except BaseException as error:
                self.failed.append(error)
                raise

        self._tasks.add(task := asyncio.get_running_loop().create_task(carried()))
        task.add_done_callback(self._tasks.discard)

    def begin(self) -> None:
        """The day begins now: faults with a time are put in the clock."""
        for number, fault in enumerate(self.faults):
            if fault.on is None:
                self.spawn(self._later(fault.at_s, number, fault))

    async def stop(self) -> None:
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _later(self, seconds: float, number: int, fault: Fault) -> None:
        await asyncio.sleep(seconds)
        await self.carry_out(number, fault)

    async def carry_out(self, number: int, fault: Fault) -> None:
        """Begin a fault; its end is put in the clock."""
        begun = self.day.now()
        entry: dict[str, Any] = {
            "number": number,
            "kind": fault.kind,
            "from": begun,
            "to": begun,
            "servers": [],
            "balancers": [],
            "links": [],
        }
        self.log.append(entry)
        act: Callable[[Fault, dict[str, Any]], Awaitable[Undo | None]]
        if fault.kind in LINK_KINDS:
            act = self._link
        elif fault.kind in ("slow", "pause", "errors", "mute"):
            act = self._upstream
        elif fault.kind.startswith("registry-") and fault.kind != MOVED:
            act = self._registry
        else:
            act = getattr(self, "_" + fault.kind.replace("-", "_"))
        undo = await act(fault, entry)
        if undo is not None:
            self.spawn(self._undo(fault, undo, entry))

    async def _undo(self, fault: Fault, undo: Undo, entry: dict[str, Any]) -> None:
        await asyncio.sleep(fault.for_s)
        await undo()
        entry["to"] = self.day.now()

    # whom it meets

    def _some(self, fault: Fault, names: list[str], zones: list[int]) -> list[int]:
        """Places of those that a fault names, or part of a zone's, drawn by chance."""
        zone = self.day.scenario.zones.names.index(fault.zone) if fault.zone else -1
        among = [i for i, z in enumerate(zones) if zone < 0 or z == zone]
        if fault.who:
            return [i for i in among if fnmatchcase(names[i], fault.who)]
        count = min(len(among), max(1, round(fault.part * len(among)))) if fault.part else 0
        return sorted(self._draw.sample(among, count))

    def _upstreams(self, fault: Fault, entry: dict[str, Any]) -> list[int]:
        found = self._some(fault, [f"u{i}" for i in range(len(self._zones))], self._zones)
        entry["servers"] = found
        return found

    def _balancers(self, fault: Fault, entry: dict[str, Any]) -> list[int]:
        count = len(self._balancer_zones)
        found = self._some(fault, [f"b{i}" for i in range(count)], self._balancer_zones)
        entry["balancers"] = found
        return found

    # links

    async def _break(self, names: list[str], fault: Fault, on: int, **more: Any) -> None:
        order = {"kind": fault.kind, "way": fault.way, "size": fault.size, "extra": fault.extra, **more}
        if on > 0:
            self.day.row("fault", on=1, links=names, **order)
        await self.day.break_links(names, on=on, **order)
        if on < 0:
            self.day.row("fault", on=-1, links=names, **order)

    async def _link(self, fault: Fault, entry: dict[str, Any]) -> Undo:
        names = [name for name in self._names if fnmatchcase(name, fault.link)]
        entry["links"] = names
        await self._break(names, fault, 1)
        return lambda: self._break(names, fault, -1)

    async def _cut(self, fault: Fault, entry: dict[str, Any]) -> Undo:
        """A zone and the others reach each other no more, or only one way if `to_zone` is named."""
        zones = self.day.scenario.zones.names
        zone = zones.index(fault.zone or zones[0])
        to = zones.index(fault.to_zone) if fault.to_zone else -1
        names = [
            f"b{b}>u{u}"
            for b, bz in enumerate(self._balancer_zones)
            for u, uz in enumerate(self._zones)
            if bz != uz and ((bz == zone and to in (-1, uz)) or (uz == zone and to in (-1, bz)))
        ]
        entry["links"] = names
        kind = {"kind": "drop", "extra": fault.extra or 0.5}
        await self._break(names, fault, 1, **kind)
        return lambda: self._break(names, fault, -1, **kind)

    # upstreams

    def _listed(self, index: int, state: str, silent: bool = False, uid: str = "") -> None:
        """The list service learns of it after a while."""
        figures = self.day.scenario.registry
        low, high = figures.silent_ms if silent else figures.notice_ms
        wait = low + (high - low) * self._draw.random() + self._late
        entry = {"uid": uid or self.uid(index), "state": state}
        if state == "active":
            entry.update(self.entry(index, round(time() * 1e3)))
        self.spawn(self._learnt(wait, entry))

    def entry(self, index: int, boot_ms: int) -> dict[str, Any]:
        """What the list says of a machine."""
        zones = self.day.scenario.zones.names
        return {
            "uid": self.uid(index),
            "az": zones[self._zones[index]],
            "model": "stand-in",
            "pod_group": 0,
            "state": "active",
            "capacity_hint": 1.0,
            "boot_ms": boot_ms,
            "machine": index,
        }

    async def _learnt(self, wait: float, entry: dict[str, Any]) -> None:
        await asyncio.sleep(wait / 1e3)
        self.day.row("listed", entry=entry)
        await self.day.tell_list(do="change", entries=[entry])

    async def _upstream(self, fault: Fault, entry: dict[str, Any]) -> Undo:
        met = self._upstreams(fault, entry)
        size = {"slow": 4.0, "pause": 100.0, "errors": 1.0}.get(fault.kind, 0.0)
        order = {"do": fault.kind, "size": fault.size or size, "extra": 1e3 * (fault.extra or 2.0)}
        await self.day.tell_upstreams(met, on=1, **order)
        return lambda: self.day.tell_upstreams(met, on=-1, **order)

    def _machine(self, index: int) -> list[str]:
        return [name for name in self._names if name.endswith(f">u{index}")]

    async def _end(self, met: list[int], silent: bool, fault: Fault) -> None:
        if silent:
            # guards: a machine that has gone says nothing; its connections must fall silent before they break
            await self._break([n for i in met for n in self._machine(i)], fault, 1, kind="vanish", way="both")
        for index in met:
            self._dead[index] = self._dead.get(index, 0) + 1
            self._listed(index, "left", silent)
        await self.day.tell_upstreams(met, do="die")

    async def _revive(self, met: list[int], silent: bool, fault: Fault) -> None:
        back = []
        for index in met:
            self._dead[index] -= 1
            if not self._dead[index] and index not in self._drained:
                back.append(index)
        await self.day.tell_upstreams(back, do="start")
        if silent:
            names = [n for i in met for n in self._machine(i)]
            await self._break(names, fault, -1, kind="vanish", way="both")
        for index in back:
            self._listed(index, "active")

    async def fell(self, index: int) -> None:
        """An upstream was pushed over while cold: it starts anew later."""
        self._dead[index] = self._dead.get(index, 0) + 1
        self._listed(index, "left")
        group = [g for g in self.day.scenario.servers for _ in range(g.count)][index]
        await asyncio.sleep(group.restart_ms / 1e3)
        await self._revive([index], False, Fault("crash"))

    async def _crash(self, fault: Fault, entry: dict[str, Any]) -> Undo:
        met = self._upstreams(fault, entry)
        await self._end(met, fault.silent, fault)
        return lambda: self._revive(met, fault.silent, fault)

    async def _zone_loss(self, fault: Fault, entry: dict[str, Any]) -> Undo:
        names = self.day.scenario.zones.names
        zone = names.index(fault.zone or names[0])
        met = [i for i, z in enumerate(self._zones) if z == zone]
        numbers = [i for i, z in enumerate(self._balancer_zones) if z == zone] if fault.extra else []
        entry["servers"], entry["balancers"] = met, numbers
        await self._end(met, fault.silent, fault)
        await self._kill_them(numbers)
        back = met[: ceil(len(met) * fault.size)] if fault.size else met

        async def undo() -> None:
            await self._revive(back, fault.silent, fault)
            await self.day.start(numbers)

        return undo

    async def _flap(self, fault: Fault, entry: dict[str, Any]) -> None:
        times = max(1, round(fault.size) or 2)
        span = fault.for_s / (2 * times - 1)
        for i in range(times):
            part = Fault("zone-loss", 0, span, zone=fault.zone, silent=fault.silent)
            self.spawn(self._later(2 * span * i, entry["number"], part))

    async def _roll(self, fault: Fault, entry: dict[str, Any]) -> None:
        """In batches: drained, ended, started cold under a new id at the same address."""
        met = self._upstreams(fault, entry)
        batch = max(1, round((fault.size or 0.1) * len(self._zones)))
        steps = ceil(len(met) / batch)
        for i in range(steps):
            self.spawn(
                self._replace(fault.for_s * i / steps, met[i * batch : (i + 1) * batch], fault.extra or 3.0)
            )

    async def _replace(self, wait: float, met: list[int], drain: float) -> None:
        await asyncio.sleep(wait)
        await self._drain(met, drain)
        for index in met:
            old = self.uid(index)
            self._generation[index] += 1
            self._drained.discard(index)
            self._listed(index, "left", uid=old)
        await self.day.tell_upstreams(met, do="start")
        for index in met:
            self._listed(index, "active")

    async def _drain(self, met: list[int], drain: float) -> None:
        self._drained.update(met)
        for index in met:
            self._listed(index, "leaving")
        await asyncio.sleep(drain)
        await self.day.tell_upstreams(met, do="die")

    async def _shrink(self, fault: Fault, entry: dict[str, Any]) -> None:
        met = self._upstreams(fault, entry)
        await self._drain(met, fault.extra or 3.0)
        for index in met:
            self._listed(index, "left")

    # balancers

    async def _kill_them(self, numbers: list[int]) -> None:
        await self.day.tell_clients(do="died", balancers=numbers)
        await self.day.signal(numbers, "kill")

    async def _kill(self, fault: Fault, entry: dict[str, Any]) -> Undo:
        numbers = self._balancers(fault, entry)
        await self._kill_them(numbers)
        return lambda: self.day.start(numbers)

    async def _restart(self, fault: Fault, entry: dict[str, Any]) -> None:
        numbers = self._balancers(fault, entry)
        batch = max(1, round((fault.size or 0.1) * len(self._balancer_zones)))
        steps = ceil(len(numbers) / batch)
        for i in range(steps):
            self.spawn(
                self._again(fault.for_s * i / steps, numbers[i * batch : (i + 1) * batch], fault.extra)
            )

    async def _again(self, wait: float, numbers: list[int], down: float) -> None:
        await asyncio.sleep(wait)
        await self.day.signal(numbers, "term")
        await asyncio.sleep(0.3)  # new connections go on coming for a moment
        await self.day.tell_clients(do="died", balancers=numbers, planned=True)
        await asyncio.gather(*(self.day.gone(number) for number in numbers))
        await asyncio.sleep(down)
        await self.day.start(numbers)

    async def _crash_loop(self, fault: Fault, entry: dict[str, Any]) -> Undo:
        numbers = self._balancers(fault, entry)
        on = [True]

        async def loop(number: int, wait: float) -> None:
            await asyncio.sleep(wait)
            while True:
                await self._kill_them([number])
                await self.day.gone(number)
                await self.day.start([number])
                if not on[0]:
                    return
                await asyncio.sleep((fault.size or 500.0) / 1e3)

        for number in numbers:
            self.spawn(loop(number, self._draw.random() * fault.extra / 1e3))

        async def undo() -> None:
            on[0] = False

        return undo

    async def _stop(self, fault: Fault, entry: dict[str, Any]) -> Undo:
        numbers = self._balancers(fault, entry)
        await self.day.signal(numbers, "stop")
        return lambda: self.day.signal(numbers, "go on")

    async def _starve(self, fault: Fault, entry: dict[str, Any]) -> Undo:
        numbers = self._balancers(fault, entry)
        on = [True]

        async def loop() -> None:
            while on[0]:
                await self.day.signal(numbers, "stop")
                await asyncio.sleep((fault.size or 50.0) / 1e3)
                await self.day.signal(numbers, "go on")
                await asyncio.sleep((fault.extra or 50.0) / 1e3)

        self.spawn(loop())

        async def undo() -> None:
            on[0] = False

        return undo

    async def _registry_moved(self, fault: Fault, entry: dict[str, Any]) -> None:
        numbers = self._balancers(fault, entry)
        for number in numbers:
            self.day.move_list(number)
        await self.day.signal(numbers, "hup")
        await asyncio.sleep(1.5)
        old = [f"b{number}>list" for number in numbers]
        await self._break(old, fault, 1, kind="refuse")
        await self._break(old, fault, 1, kind="reset")

    async def _hup(self, fault: Fault, entry: dict[str, Any]) -> None:
        await self.day.signal(self._balancers(fault, entry), "hup")

    # clients, list

    async def _burst(self, fault: Fault, entry: dict[str, Any]) -> Undo:
        order = {"do": "burst", "size": fault.size or 1.5}
        await self.day.tell_clients(on=1, **order)
        return lambda: self.day.tell_clients(on=-1, **order)

    async def _notices(self, by: float) -> None:
        self._late += by

    async def _registry(self, fault: Fault, entry: dict[str, Any]) -> Undo:
        if fault.kind == "registry-late":
            await self._notices(1e3 * fault.size)
            return lambda: self._notices(-1e3 * fault.size)
        met = self._upstreams(fault, entry) if fault.kind == "registry-swap" else []
        order = {
            "do": "fault",
            "kind": fault.kind,
            "size": fault.size,
            "extra": fault.extra,
            "silent": fault.silent,
            "uids": [self.uid(index) for index in met],
            "machines": met,
        }
        await self.day.tell_list(on=1, **order)
        return lambda: self.day.tell_list(on=-1, **order)
