"""Injects the faults of a scenario into processes, links and stand-ins, at a set time or on a wire event.

A fault starts with commands to the affected workers and ends with commands that revert it. What it did is
written as rows for the referee and as an entry of the run's records. Random targets are drawn from the seed.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from fnmatch import fnmatchcase
from math import ceil
from random import Random
from time import time
from typing import Any, Protocol

from ospreyline.rig.scenario import LINK_KINDS, LIST_MOVED, Fault, Scenario, links

Undo = Callable[[], Awaitable[None]]


class RigControl(Protocol):
    """What the fault injector controls: links, upstreams, list service, clients and balancers."""

    scenario: Scenario

    def now(self) -> float: ...
    def row(self, kind: str, /, **values: Any) -> None: ...
    async def break_links(self, names: list[str], **order: Any) -> None: ...
    async def command_upstreams(self, indices: list[int], **order: Any) -> None: ...
    async def command_list_service(self, **order: Any) -> None: ...
    async def command_clients(self, **order: Any) -> None: ...
    async def signal_balancers(self, balancers: list[int], what: str) -> None: ...
    async def start_balancers(self, balancers: list[int]) -> None: ...
    async def wait_for_exit(self, balancer: int) -> None: ...
    def change_list_address(self, balancer: int) -> None: ...


class FaultInjector:
    """Starts and reverts the faults of one run."""

    def __init__(
        self, rig: RigControl, faults: list[Fault], seed: int, zones: list[int], balancer_zones: list[int]
    ) -> None:
        self.rig = rig
        self.faults = faults
        self.log: list[dict[str, Any]] = []  # one entry per injected fault, for the records
        self._random = Random(seed)
        self._upstream_zones = zones  # zone index of each upstream
        self._balancer_zones = balancer_zones
        self._link_names = links(rig.scenario)
        self._generations = [1] * len(zones)
        self._extra_notice_ms = 0.0  # added delay until the list service notices a change
        self._down_counts: dict[int, int] = {}  # active faults that keep an upstream down, by index
        self._drained: set[int] = set()
        self._tasks: set[asyncio.Task[None]] = set()
        self.errors: list[BaseException] = []

    def uid(self, index: int) -> str:
        """The list id of an upstream; it changes when `roll` replaces the upstream."""
        return f"s-{index}-{self._generations[index]}"

    def spawn(self, work: Awaitable[None]) -> None:
        """Run in the background; an exception is kept in `errors`."""

        async def guarded() -> None:
            try:
                await work
            except asyncio.CancelledError:
                raise
            except BaseException as error:
                self.errors.append(error)
                raise

        self._tasks.add(task := asyncio.get_running_loop().create_task(guarded()))
        task.add_done_callback(self._tasks.discard)

    def schedule_faults(self) -> None:
        """Schedule the faults that have a time, counted from now."""
        for number, fault in enumerate(self.faults):
            if fault.on is None:
                self.spawn(self._inject_after(fault.at_s, number, fault))

    async def cancel_tasks(self) -> None:
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _inject_after(self, seconds: float, number: int, fault: Fault) -> None:
        await asyncio.sleep(seconds)
        await self.inject(number, fault)

    async def inject(self, number: int, fault: Fault) -> None:
        """Start a fault and schedule its end."""
        started = self.rig.now()
        entry: dict[str, Any] = {
            "number": number,
            "kind": fault.kind,
            "from": started,
            "to": started,
            "servers": [],
            "balancers": [],
            "links": [],
        }
        self.log.append(entry)
        start_fault: Callable[[Fault, dict[str, Any]], Awaitable[Undo | None]]
        if fault.kind in LINK_KINDS:
            start_fault = self._link_fault
        elif fault.kind in ("slow", "pause", "errors", "mute"):
            start_fault = self._upstream_fault
        elif fault.kind.startswith("registry-") and fault.kind != LIST_MOVED:
            start_fault = self._list_service_fault
        else:
            start_fault = getattr(self, "_" + fault.kind.replace("-", "_"))
        undo = await start_fault(fault, entry)
        if undo is not None:
            self.spawn(self._undo_after(fault, undo, entry))

    async def _undo_after(self, fault: Fault, undo: Undo, entry: dict[str, Any]) -> None:
        await asyncio.sleep(fault.for_s)
        await undo()
        entry["to"] = self.rig.now()

    # selection of targets

    def _select(self, fault: Fault, names: list[str], zones: list[int]) -> list[int]:
        """Indices that the fault names, or a random share (`part`) of those in its zone."""
        zone = self.rig.scenario.zones.names.index(fault.zone) if fault.zone else -1
        candidates = [i for i, z in enumerate(zones) if zone < 0 or z == zone]
        if fault.who:
            return [i for i in candidates if fnmatchcase(names[i], fault.who)]
        count = min(len(candidates), max(1, round(fault.part * len(candidates)))) if fault.part else 0
        return sorted(self._random.sample(candidates, count))

    def _select_upstreams(self, fault: Fault, entry: dict[str, Any]) -> list[int]:
        indices = self._select(
            fault, [f"u{i}" for i in range(len(self._upstream_zones))], self._upstream_zones
        )
        entry["servers"] = indices
        return indices

    def _select_balancers(self, fault: Fault, entry: dict[str, Any]) -> list[int]:
        count = len(self._balancer_zones)
        indices = self._select(fault, [f"b{i}" for i in range(count)], self._balancer_zones)
        entry["balancers"] = indices
        return indices

    # links

    async def _set_link_fault(self, names: list[str], fault: Fault, active: int, **more: Any) -> None:
        order = {"kind": fault.kind, "way": fault.way, "size": fault.size, "extra": fault.extra, **more}
        if active > 0:
            self.rig.row("fault", on=1, links=names, **order)
        await self.rig.break_links(names, on=active, **order)
        if active < 0:
            self.rig.row("fault", on=-1, links=names, **order)

    async def _link_fault(self, fault: Fault, entry: dict[str, Any]) -> Undo:
        names = [name for name in self._link_names if fnmatchcase(name, fault.link)]
        entry["links"] = names
        await self._set_link_fault(names, fault, 1)
        return lambda: self._set_link_fault(names, fault, -1)

    async def _cut(self, fault: Fault, entry: dict[str, Any]) -> Undo:
        """Cut the links between a zone and all other zones, or only those to and from `to_zone`."""
        zones = self.rig.scenario.zones.names
        zone = zones.index(fault.zone or zones[0])
        to_zone = zones.index(fault.to_zone) if fault.to_zone else -1
        names = [
            f"b{b}>u{u}"
            for b, balancer_zone in enumerate(self._balancer_zones)
            for u, upstream_zone in enumerate(self._upstream_zones)
            if balancer_zone != upstream_zone
            and (
                (balancer_zone == zone and to_zone in (-1, upstream_zone))
                or (upstream_zone == zone and to_zone in (-1, balancer_zone))
            )
        ]
        entry["links"] = names
        kind = {"kind": "drop", "extra": fault.extra or 0.5}
        await self._set_link_fault(names, fault, 1, **kind)
        return lambda: self._set_link_fault(names, fault, -1, **kind)

    # upstreams

    def _update_list_later(self, index: int, state: str, silent: bool = False, uid: str = "") -> None:
        """Change an entry of the upstream list after the list service's notice delay."""
        registry = self.rig.scenario.registry
        low, high = registry.silent_ms if silent else registry.notice_ms
        delay = low + (high - low) * self._random.random() + self._extra_notice_ms
        entry = {"uid": uid or self.uid(index), "state": state}
        if state == "active":
            entry.update(self.list_entry(index, round(time() * 1e3)))
        self.spawn(self._update_list(delay, entry))

    def list_entry(self, index: int, boot_ms: int) -> dict[str, Any]:
        """The entry of an active upstream in the upstream list."""
        zones = self.rig.scenario.zones.names
        return {
            "uid": self.uid(index),
            "az": zones[self._upstream_zones[index]],
            "model": "stand-in",
            "pod_group": 0,
            "state": "active",
            "capacity_hint": 1.0,
            "boot_ms": boot_ms,
            "machine": index,
        }

    async def _update_list(self, delay: float, entry: dict[str, Any]) -> None:
        await asyncio.sleep(delay / 1e3)
        self.rig.row("listed", entry=entry)
        await self.rig.command_list_service(do="change", entries=[entry])

    async def _upstream_fault(self, fault: Fault, entry: dict[str, Any]) -> Undo:
        indices = self._select_upstreams(fault, entry)
        size = {"slow": 4.0, "pause": 100.0, "errors": 1.0}.get(fault.kind, 0.0)
        order = {"do": fault.kind, "size": fault.size or size, "extra": 1e3 * (fault.extra or 2.0)}
        await self.rig.command_upstreams(indices, on=1, **order)
        return lambda: self.rig.command_upstreams(indices, on=-1, **order)

    def _links_to_upstream(self, index: int) -> list[str]:
        return [name for name in self._link_names if name.endswith(f">u{index}")]

    async def _take_down(self, indices: list[int], silent: bool, fault: Fault) -> None:
        if silent:
            # a machine that vanishes sends neither FIN nor RST: its links must go silent before its process
            # stops, or the balancers would see the connections close
            await self._set_link_fault(
                [n for i in indices for n in self._links_to_upstream(i)], fault, 1, kind="vanish", way="both"
            )
        for index in indices:
            self._down_counts[index] = self._down_counts.get(index, 0) + 1
            self._update_list_later(index, "left", silent)
        await self.rig.command_upstreams(indices, do="die")

    async def _bring_back(self, indices: list[int], silent: bool, fault: Fault) -> None:
        restarted = []
        for index in indices:
            self._down_counts[index] -= 1
            if not self._down_counts[index] and index not in self._drained:
                restarted.append(index)
        await self.rig.command_upstreams(restarted, do="start")
        if silent:
            names = [n for i in indices for n in self._links_to_upstream(i)]
            await self._set_link_fault(names, fault, -1, kind="vanish", way="both")
        for index in restarted:
            self._update_list_later(index, "active")

    async def restart_overloaded(self, index: int) -> None:
        """An upstream was overloaded while cold and stopped; start it again after its restart time."""
        self._down_counts[index] = self._down_counts.get(index, 0) + 1
        self._update_list_later(index, "left")
        group = [g for g in self.rig.scenario.servers for _ in range(g.count)][index]
        await asyncio.sleep(group.restart_ms / 1e3)
        await self._bring_back([index], False, Fault("crash"))

    async def _crash(self, fault: Fault, entry: dict[str, Any]) -> Undo:
        indices = self._select_upstreams(fault, entry)
        await self._take_down(indices, fault.silent, fault)
        return lambda: self._bring_back(indices, fault.silent, fault)

    async def _zone_loss(self, fault: Fault, entry: dict[str, Any]) -> Undo:
        """Stop a zone's upstreams, with `extra` its balancers, too; a share `size` of upstreams returns."""
        names = self.rig.scenario.zones.names
        zone = names.index(fault.zone or names[0])
        indices = [i for i, z in enumerate(self._upstream_zones) if z == zone]
        balancers = [i for i, z in enumerate(self._balancer_zones) if z == zone] if fault.extra else []
        entry["servers"], entry["balancers"] = indices, balancers
        await self._take_down(indices, fault.silent, fault)
        await self._kill_balancers(balancers)
        restarted = indices[: ceil(len(indices) * fault.size)] if fault.size else indices

        async def undo() -> None:
            await self._bring_back(restarted, fault.silent, fault)
            await self.rig.start_balancers(balancers)

        return undo

    async def _flap(self, fault: Fault, entry: dict[str, Any]) -> None:
        """Repeated losses of a zone, with pauses of the same length between them."""
        times = max(1, round(fault.size) or 2)
        span = fault.for_s / (2 * times - 1)
        for i in range(times):
            part = Fault("zone-loss", 0, span, zone=fault.zone, silent=fault.silent)
            self.spawn(self._inject_after(2 * span * i, entry["number"], part))

    async def _roll(self, fault: Fault, entry: dict[str, Any]) -> None:
        """Replace upstreams in batches: drain, stop, start cold with a new id at the same address."""
        indices = self._select_upstreams(fault, entry)
        batch = max(1, round((fault.size or 0.1) * len(self._upstream_zones)))
        steps = ceil(len(indices) / batch)
        for i in range(steps):
            self.spawn(
                self._replace_batch(
                    fault.for_s * i / steps, indices[i * batch : (i + 1) * batch], fault.extra or 3.0
                )
            )

    async def _replace_batch(self, delay: float, indices: list[int], drain_s: float) -> None:
        await asyncio.sleep(delay)
        await self._drain_and_stop(indices, drain_s)
        for index in indices:
            old = self.uid(index)
            self._generations[index] += 1
            self._drained.discard(index)
            self._update_list_later(index, "left", uid=old)
        await self.rig.command_upstreams(indices, do="start")
        for index in indices:
            self._update_list_later(index, "active")

    async def _drain_and_stop(self, indices: list[int], drain_s: float) -> None:
        self._drained.update(indices)
        for index in indices:
            self._update_list_later(index, "leaving")
        await asyncio.sleep(drain_s)
        await self.rig.command_upstreams(indices, do="die")

    async def _shrink(self, fault: Fault, entry: dict[str, Any]) -> None:
        """Drain and stop upstreams for good."""
        indices = self._select_upstreams(fault, entry)
        await self._drain_and_stop(indices, fault.extra or 3.0)
        for index in indices:
            self._update_list_later(index, "left")

    # balancers

    async def _kill_balancers(self, balancers: list[int]) -> None:
        await self.rig.command_clients(do="died", balancers=balancers)
        await self.rig.signal_balancers(balancers, "kill")

    async def _kill(self, fault: Fault, entry: dict[str, Any]) -> Undo:
        balancers = self._select_balancers(fault, entry)
        await self._kill_balancers(balancers)
        return lambda: self.rig.start_balancers(balancers)

    async def _restart(self, fault: Fault, entry: dict[str, Any]) -> None:
        balancers = self._select_balancers(fault, entry)
        batch = max(1, round((fault.size or 0.1) * len(self._balancer_zones)))
        steps = ceil(len(balancers) / batch)
        for i in range(steps):
            self.spawn(
                self._restart_batch(
                    fault.for_s * i / steps, balancers[i * batch : (i + 1) * batch], fault.extra
                )
            )

    async def _restart_batch(self, delay: float, balancers: list[int], down_s: float) -> None:
        await asyncio.sleep(delay)
        await self.rig.signal_balancers(balancers, "term")
        await asyncio.sleep(0.3)  # clients keep connecting for a moment after SIGTERM
        await self.rig.command_clients(do="died", balancers=balancers, planned=True)
        await asyncio.gather(*(self.rig.wait_for_exit(number) for number in balancers))
        await asyncio.sleep(down_s)
        await self.rig.start_balancers(balancers)

    async def _crash_loop(self, fault: Fault, entry: dict[str, Any]) -> Undo:
        """Kill balancers `size` ms after each start; each loop starts at a random time within `extra` ms."""
        balancers = self._select_balancers(fault, entry)
        active = [True]

        async def cycle(number: int, delay: float) -> None:
            await asyncio.sleep(delay)
            while True:
                await self._kill_balancers([number])
                await self.rig.wait_for_exit(number)
                await self.rig.start_balancers([number])
                if not active[0]:
                    return
                await asyncio.sleep((fault.size or 500.0) / 1e3)

        for number in balancers:
            self.spawn(cycle(number, self._random.random() * fault.extra / 1e3))

        async def undo() -> None:
            active[0] = False

        return undo

    async def _stop(self, fault: Fault, entry: dict[str, Any]) -> Undo:
        balancers = self._select_balancers(fault, entry)
        await self.rig.signal_balancers(balancers, "stop")
        return lambda: self.rig.signal_balancers(balancers, "go on")

    async def _starve(self, fault: Fault, entry: dict[str, Any]) -> Undo:
        """Stop balancers for `size` ms, then let them run for `extra` ms, repeatedly."""
        balancers = self._select_balancers(fault, entry)
        active = [True]

        async def cycle() -> None:
            while active[0]:
                await self.rig.signal_balancers(balancers, "stop")
                await asyncio.sleep((fault.size or 50.0) / 1e3)
                await self.rig.signal_balancers(balancers, "go on")
                await asyncio.sleep((fault.extra or 50.0) / 1e3)

        self.spawn(cycle())

        async def undo() -> None:
            active[0] = False

        return undo

    async def _registry_moved(self, fault: Fault, entry: dict[str, Any]) -> None:
        """Reload balancers with a second list service address; the first one closes after 1.5 s."""
        balancers = self._select_balancers(fault, entry)
        for number in balancers:
            self.rig.change_list_address(number)
        await self.rig.signal_balancers(balancers, "hup")
        await asyncio.sleep(1.5)
        old = [f"b{number}>list" for number in balancers]
        await self._set_link_fault(old, fault, 1, kind="refuse")
        await self._set_link_fault(old, fault, 1, kind="reset")

    async def _hup(self, fault: Fault, entry: dict[str, Any]) -> None:
        await self.rig.signal_balancers(self._select_balancers(fault, entry), "hup")

    # clients and list service

    async def _burst(self, fault: Fault, entry: dict[str, Any]) -> Undo:
        order = {"do": "burst", "size": fault.size or 1.5}
        await self.rig.command_clients(on=1, **order)
        return lambda: self.rig.command_clients(on=-1, **order)

    async def _add_notice_delay(self, extra_ms: float) -> None:
        self._extra_notice_ms += extra_ms

    async def _list_service_fault(self, fault: Fault, entry: dict[str, Any]) -> Undo:
        if fault.kind == "registry-late":
            await self._add_notice_delay(1e3 * fault.size)
            return lambda: self._add_notice_delay(-1e3 * fault.size)
        indices = self._select_upstreams(fault, entry) if fault.kind == "registry-swap" else []
        order = {
            "do": "fault",
            "kind": fault.kind,
            "size": fault.size,
            "extra": fault.extra,
            "silent": fault.silent,
            "uids": [self.uid(index) for index in indices],
            "machines": indices,
        }
        await self.rig.command_list_service(on=1, **order)
        return lambda: self.rig.command_list_service(on=-1, **order)
