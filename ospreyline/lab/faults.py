"""Fault injection of the simulator: applies scripted faults to the model; `words` defines their keys.

Each fault kind is a method of `Script` named after it; it applies the fault and returns what undoes it at the
end, if anything does. Faults may overlap: factors multiply, cuts are counted, and a server killed by two
faults stays down until both are over.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from functools import partial
from math import ceil
from typing import Any, Protocol

from ospreyline.host import Readiness
from ospreyline.lab.clients import Clients, Front
from ospreyline.lab.links import Links
from ospreyline.lab.registry import Registry
from ospreyline.lab.scenario import Group, Scenario
from ospreyline.lab.servers import Server
from ospreyline.lab.words import Fault
from ospreyline.lab.world import Streams, World


class Day(Protocol):
    """The parts of a running simulation that faults act on."""

    scenario: Scenario
    world: World
    streams: Streams
    links: Links
    registry: Registry
    servers: list[Server]
    retired: set[Server]
    front: Front
    clients: Clients

    def kill(self, number: int, told: bool = False) -> None: ...
    def start(self, number: int) -> None: ...
    def add_server(self, group: Group, zone: int, cell: int = -1) -> Server: ...


def _call_all(calls: Sequence[Callable[[], Any]]) -> None:
    for call in calls:
        call()


class Script:
    """Applies the faults of a run at their times and undoes them."""

    def __init__(self, run: Day, faults: list[Fault]) -> None:
        self.run = run
        self.world = run.world
        self._draw = run.streams.uniform("faults")
        self._down_by_faults: dict[Server, int] = {}  # number of faults that keep it down
        self.log: list[dict[str, Any]] = []  # the faults applied, for the records
        for number, fault in enumerate(faults):
            self.world.at(fault.at_s * 1e3, self._start_fault, number, fault)

    def _start_fault(self, number: int, fault: Fault) -> None:
        act: Callable[[Fault], Callable[[], None] | None] = getattr(self, "_" + fault.kind.replace("-", "_"))
        entry: dict[str, Any] = {
            "number": number,
            "kind": fault.kind,
            "from": self.world.now / 1e3,
            "to": (self.world.now / 1e3) + fault.for_s,
            "servers": [],
            "balancers": [],
        }
        self.log.append(entry)
        self._log_entry = entry
        undo = act(fault)
        if undo is not None:
            self.world.after(fault.for_s * 1e3, undo)

    # -- choice of targets -----------------------------------------------------------------------------------

    def _zone_index(self, name: str) -> int:
        return self.run.scenario.zones.names.index(name)

    def _choose_part(self, fault: Fault, of: list[Any], least: int = 1) -> list[Any]:
        """A random share `fault.part` of these, only of the fault's zone if it names one, `least` or more."""
        candidates = [x for x in of if not fault.zone or x.zone == self._zone_index(fault.zone)]
        count = min(len(candidates), max(least, round(fault.part * len(candidates)))) if fault.part else 0
        places = sorted(range(len(candidates)), key=lambda _: self._draw())[:count]
        return [candidates[i] for i in sorted(places)]

    def _choose_servers(self, fault: Fault) -> list[Server]:
        found: list[Server] = self._choose_part(fault, [s for s in self.run.servers if s.up])
        self._log_entry["servers"] = [s.index for s in found]
        return found

    # -- servers ---------------------------------------------------------------------------------------------

    def _kill_server(self, server: Server, silent: bool) -> None:
        self._down_by_faults[server] = self._down_by_faults.get(server, 0) + 1
        if server.up:
            server.stop(vanish=silent)
            self.run.registry.server_changed(server, Readiness.GONE, silent)

    def _restart_server(self, server: Server) -> None:
        self._down_by_faults[server] -= 1
        if not self._down_by_faults[server] and not server.up and server not in self.run.retired:
            server.start()
            self.run.registry.server_changed(server, Readiness.READY)

    def fell(self, server: Server) -> None:
        """A server was overloaded while cold: it dies and restarts after its restart time."""
        self._kill_server(server, False)
        self.world.after(server.group.restart_ms, self._restart_server, server)

    def _slow(self, fault: Fault) -> Callable[[], None]:
        affected = self._choose_servers(fault)
        times = fault.size or 4.0

        def apply(by: float) -> None:
            for server in affected:
                server.slow *= by
                server.changed()

        apply(times)
        return lambda: apply(1 / times)

    def _pause(self, fault: Fault) -> Callable[[], None]:
        stops = [
            s.pauses(1e3 * (fault.extra or 2.0), fault.size or 100.0, self._draw)
            for s in self._choose_servers(fault)
        ]
        return partial(_call_all, stops)

    def _crash(self, fault: Fault) -> Callable[[], None]:
        affected = self._choose_servers(fault)
        for server in affected:
            self._kill_server(server, fault.silent)
        return partial(_call_all, [partial(self._restart_server, server) for server in affected])

    def _zone_loss(self, fault: Fault) -> Callable[[], None]:
        zone = self._zone_index(fault.zone or self.run.scenario.zones.names[0])
        affected = [s for s in self.run.servers if s.zone == zone and (s.up or s in self._down_by_faults)]
        self._log_entry["servers"] = [s.index for s in affected]
        for server in affected:
            self._kill_server(server, fault.silent)
        numbers = [n for n, z in enumerate(self.run.front.zones) if z == zone] if fault.extra else []
        self._log_entry["balancers"] = numbers
        for number in numbers:
            self.run.kill(number)
        returning = affected[: ceil(len(affected) * fault.size)] if fault.size else affected

        def undo() -> None:
            for server in returning:
                self._restart_server(server)
            for number in numbers:
                self.run.start(number)

        return undo

    def _flap(self, fault: Fault) -> None:
        """A zone is lost `size` times (2 by default), with pauses of the same length between."""
        times = max(1, round(fault.size) or 2)
        span = fault.for_s / (2 * times - 1)
        for i in range(times):
            part = Fault("zone-loss", 0, span, zone=fault.zone, silent=fault.silent)
            self.world.after(2e3 * span * i, self._start_fault, -1, part)

    def _cut(self, fault: Fault) -> Callable[[], None]:
        """Cut the network from a zone to `to_zone`, or to and from all other zones if that is not set."""
        names = self.run.scenario.zones.names
        zone = self._zone_index(fault.zone or names[0])
        directions = (
            [(zone, self._zone_index(fault.to_zone))]
            if fault.to_zone
            else [way for z in range(len(names)) if z != zone for way in ((zone, z), (z, zone))]
        )

        def apply(by: int) -> None:
            for a, b in directions:
                self.run.links.cut(a, b, by)

        apply(1)
        return lambda: apply(-1)

    def _drain_server(self, server: Server, drain_ms: float) -> None:
        """Drain a server and stop it for good after `drain_ms`."""
        self.run.retired.add(server)
        server.draining = True
        self.run.registry.server_changed(server, Readiness.DRAINING)
        self.world.after(drain_ms, self._stop_drained, server)

    def _stop_drained(self, server: Server) -> None:
        if server.up:
            server.stop()
            self.run.registry.server_changed(server, Readiness.GONE)

    def _roll(self, fault: Fault) -> None:
        """Replace the servers batch by batch: drain the old one, start a new one in its place."""
        affected = self._choose_servers(fault)
        batch = max(1, round((fault.size or 0.1) * len(self.run.servers)))
        steps = ceil(len(affected) / batch)
        drain = 1e3 * (fault.extra or 3.0)
        for i in range(steps):
            when = 1e3 * fault.for_s * i / steps
            for server in affected[i * batch : (i + 1) * batch]:
                self.world.after(when, self._replace_server, server, drain)

    def _replace_server(self, server: Server, drain_ms: float) -> None:
        self._drain_server(server, drain_ms)
        self.world.after(drain_ms, self._start_server_like, server)

    def _start_server_like(self, template: Server) -> None:
        server = self.run.add_server(template.group, template.zone, template.cell)
        server.start()
        self.run.registry.server_changed(server, Readiness.READY)

    def _shrink(self, fault: Fault) -> None:
        for server in self._choose_servers(fault):
            self._drain_server(server, 1e3 * (fault.extra or 3.0))

    def _grow(self, fault: Fault) -> None:
        for server in self._choose_servers(fault):
            self._start_server_like(server)

    def _neighbour(self, fault: Fault) -> Callable[[], None]:
        """Another tenant takes a share of the cores and gives it back, about every `extra` s."""
        affected, span, size = self._choose_servers(fault), 1e3 * (fault.extra or 2.0), fault.size or 0.5
        state = {"on": True, "taken": False}

        def toggle() -> None:
            taken = state["on"] and not state["taken"]
            if taken != state["taken"]:
                for server in affected:
                    server.cores_lost += size if taken else -size
                    server.changed()
            state["taken"] = taken
            if state["on"]:
                self.world.after(span * (0.5 + self._draw()), toggle)

        toggle()

        def undo() -> None:
            state["on"] = False
            if state["taken"]:
                toggle()

        return undo

    def _errors(self, fault: Fault) -> Callable[[], None]:
        affected, rate = self._choose_servers(fault), fault.size or 1.0
        for server in affected:
            server.errors.append(rate)

        def undo() -> None:
            for server in affected:
                server.errors.remove(rate)

        return undo

    def _mute(self, fault: Fault) -> Callable[[], None]:
        affected = self._choose_servers(fault)

        def apply(by: int) -> None:
            for server in affected:
                server.mute += by

        apply(1)
        return partial(apply, -1)

    def _uneven(self, fault: Fault) -> Callable[[], None]:
        """The servers work `size` times slower for one balancer in `extra`."""
        affected = self._choose_servers(fault)
        for server in affected:
            server.uneven = (fault.size or 5.0, max(1, round(fault.extra) or 3))

        def undo() -> None:
            for server in affected:
                server.uneven = (1.0, 0)

        return undo

    # -- balancers -------------------------------------------------------------------------------------------

    def _restart(self, fault: Fault) -> None:
        """Restart balancers batch by batch; each starts again `extra` s after it stops taking visits."""
        numbers = self._choose_balancers(fault)
        batch = max(1, round((fault.size or 0.1) * len(self.run.front.zones)))
        steps = ceil(len(numbers) / batch)
        for i in range(steps):
            when = 1e3 * fault.for_s * i / steps
            for number in numbers[i * batch : (i + 1) * batch]:
                self.world.after(when, self.run.kill, number, True)
                self.world.after(when + 1e3 * fault.extra, self.run.start, number)

    def _kill(self, fault: Fault) -> Callable[[], None]:
        numbers = self._choose_balancers(fault)
        for number in numbers:
            self.run.kill(number)
        return partial(_call_all, [partial(self.run.start, number) for number in numbers])

    def _choose_balancers(self, fault: Fault) -> list[int]:
        living = [b for b in self.run.front.living if b is not None]
        found = [b.number for b in self._choose_part(fault, living)]
        self._log_entry["balancers"] = found
        return found

    # -- clients, network, list service ----------------------------------------------------------------------

    def _burst(self, fault: Fault) -> None:
        """Raise the request rate to `size` times in ten steps over `extra` s, and lower it the same way."""
        steps, rise = 10, min(1e3 * fault.extra, 500.0 * fault.for_s)
        top = (fault.size or 1.5) - 1
        factor = (1 + top) ** (1 / steps)
        for i in range(steps):
            self.world.after(rise * i / steps, self._multiply_rate, factor)
            self.world.after(1e3 * fault.for_s - rise * i / steps, self._multiply_rate, 1 / factor)

    def _multiply_rate(self, factor: float) -> None:
        self.run.clients.factor *= factor

    def _heavy_tail(self, fault: Fault) -> Callable[[], None]:
        """A share `extra` of the visits needs `size` times the work."""
        names = [p.name for p in self.run.scenario.prefixes]
        affected = [names.index(fault.prefix)] if fault.prefix else list(range(len(names)))
        for prefix in affected:
            self.run.clients.heavy_work[prefix] = (fault.extra or 0.01, fault.size or 10.0)
        return partial(
            _call_all, [partial(self.run.clients.heavy_work.pop, prefix, None) for prefix in affected]
        )

    def _skew(self, fault: Fault) -> Callable[[], None]:
        zone, times = self._zone_index(fault.zone or self.run.scenario.zones.names[0]), fault.size or 2.0
        self.run.clients.skew(zone, times)
        return lambda: self.run.clients.skew(zone, 1 / times)

    def _lossy(self, fault: Fault) -> Callable[[], None]:
        def apply(by: float) -> None:
            self.run.links.lossy += by

        apply(fault.size)
        return partial(apply, -fault.size)

    def _registry_down(self, fault: Fault) -> Callable[[], None]:
        registry = self.run.registry
        registry.down = True
        registry.end_watches()

        def undo() -> None:
            registry.down = False
            if self.run.scenario.registry.mode == "push":
                for balancer in self.run.front.living:
                    if balancer is not None:
                        registry.watch(balancer, balancer.list_version)

        return undo

    def _registry_late(self, fault: Fault) -> Callable[[], None]:
        self.run.registry.slower += 1e3 * fault.size

        def undo() -> None:
            self.run.registry.slower -= 1e3 * fault.size

        return undo

    def _registry_moved(self, fault: Fault) -> None:
        self.run.registry.end_watches()
