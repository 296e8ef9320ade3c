"""What goes wrong in the laboratory: scripted faults carried out on the model; the words are in `words`.

Each kind is a method of `Script`; it acts at its time and is taken back at its end. Faults may overlap:
factors multiply, cuts count, a server that another fault killed stays dead until both are over.
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
    """What a script acts on."""

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


def _each(calls: Sequence[Callable[[], Any]]) -> None:
    for call in calls:
        call()


class Script:
    """Carries out the faults of a run."""

    def __init__(self, run: Day, faults: list[Fault]) -> None:
        self.run = run
        self.world = run.world
        self._draw = run.streams.uniform("faults")
        self._dead: dict[Server, int] = {}  # by how many faults
        self.log: list[dict[str, Any]] = []  # what was carried out, for the records
        for number, fault in enumerate(faults):
            self.world.at(fault.at_s * 1e3, self._begin, number, fault)

    def _begin(self, number: int, fault: Fault) -> None:
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
        self._entry = entry
        undo = act(fault)
        if undo is not None:
            self.world.after(fault.for_s * 1e3, undo)

    # -- whom it meets ---------------------------------------------------------------------------------------

    def _zone(self, name: str) -> int:
        return self.run.scenario.zones.names.index(name)

    def _some(self, fault: Fault, of: list[Any], least: int = 1) -> list[Any]:
        """Part of these, drawn by chance, in a zone if one is named."""
        among = [x for x in of if not fault.zone or x.zone == self._zone(fault.zone)]
        count = min(len(among), max(least, round(fault.part * len(among)))) if fault.part else 0
        places = sorted(range(len(among)), key=lambda _: self._draw())[:count]
        return [among[i] for i in sorted(places)]

    def _servers(self, fault: Fault) -> list[Server]:
        found: list[Server] = self._some(fault, [s for s in self.run.servers if s.up])
        self._entry["servers"] = [s.index for s in found]
        return found

    # -- servers ---------------------------------------------------------------------------------------------

    def _end(self, server: Server, silent: bool) -> None:
        self._dead[server] = self._dead.get(server, 0) + 1
        if server.up:
            server.stop(vanish=silent)
            self.run.registry.happened(server, Readiness.GONE, silent)

    def _revive(self, server: Server) -> None:
        self._dead[server] -= 1
        if not self._dead[server] and not server.up and server not in self.run.retired:
            server.start()
            self.run.registry.happened(server, Readiness.READY)

    def fell(self, server: Server) -> None:
        """Pushed over while cold: it dies and starts anew later."""
        self._end(server, False)
        self.world.after(server.group.restart_ms, self._revive, server)

    def _slow(self, fault: Fault) -> Callable[[], None]:
        met = self._servers(fault)
        times = fault.size or 4.0

        def turn(by: float) -> None:
            for server in met:
                server.slow *= by
                server.changed()

        turn(times)
        return lambda: turn(1 / times)

    def _pause(self, fault: Fault) -> Callable[[], None]:
        stops = [
            s.pauses(1e3 * (fault.extra or 2.0), fault.size or 100.0, self._draw)
            for s in self._servers(fault)
        ]
        return partial(_each, stops)

    def _crash(self, fault: Fault) -> Callable[[], None]:
        met = self._servers(fault)
        for server in met:
            self._end(server, fault.silent)
        return partial(_each, [partial(self._revive, server) for server in met])

    def _zone_loss(self, fault: Fault) -> Callable[[], None]:
        zone = self._zone(fault.zone or self.run.scenario.zones.names[0])
        met = [s for s in self.run.servers if s.zone == zone and (s.up or s in self._dead)]
        self._entry["servers"] = [s.index for s in met]
        for server in met:
            self._end(server, fault.silent)
        numbers = [n for n, z in enumerate(self.run.front.zones) if z == zone] if fault.extra else []
        self._entry["balancers"] = numbers
        for number in numbers:
            self.run.kill(number)
        back = met[: ceil(len(met) * fault.size)] if fault.size else met

        def undo() -> None:
            for server in back:
                self._revive(server)
            for number in numbers:
                self.run.start(number)

        return undo

    def _flap(self, fault: Fault) -> None:
        times = max(1, round(fault.size) or 2)
        span = fault.for_s / (2 * times - 1)
        for i in range(times):
            part = Fault("zone-loss", 0, span, zone=fault.zone, silent=fault.silent)
            self.world.after(2e3 * span * i, self._begin, -1, part)

    def _cut(self, fault: Fault) -> Callable[[], None]:
        names = self.run.scenario.zones.names
        zone = self._zone(fault.zone or names[0])
        ways = (
            [(zone, self._zone(fault.to_zone))]
            if fault.to_zone
            else [way for z in range(len(names)) if z != zone for way in ((zone, z), (z, zone))]
        )

        def turn(by: int) -> None:
            for a, b in ways:
                self.run.links.cut(a, b, by)

        turn(1)
        return lambda: turn(-1)

    def _retire(self, server: Server, drain_ms: float) -> None:
        """Drained, then gone for good."""
        self.run.retired.add(server)
        server.draining = True
        self.run.registry.happened(server, Readiness.DRAINING)
        self.world.after(drain_ms, self._retired, server)

    def _retired(self, server: Server) -> None:
        if server.up:
            server.stop()
            self.run.registry.happened(server, Readiness.GONE)

    def _roll(self, fault: Fault) -> None:
        met = self._servers(fault)
        batch = max(1, round((fault.size or 0.1) * len(self.run.servers)))
        steps = ceil(len(met) / batch)
        drain = 1e3 * (fault.extra or 3.0)
        for i in range(steps):
            when = 1e3 * fault.for_s * i / steps
            for server in met[i * batch : (i + 1) * batch]:
                self.world.after(when, self._replace, server, drain)

    def _replace(self, server: Server, drain_ms: float) -> None:
        self._retire(server, drain_ms)
        self.world.after(drain_ms, self._join, server)

    def _join(self, like: Server) -> None:
        server = self.run.add_server(like.group, like.zone, like.cell)
        server.start()
        self.run.registry.happened(server, Readiness.READY)

    def _shrink(self, fault: Fault) -> None:
        for server in self._servers(fault):
            self._retire(server, 1e3 * (fault.extra or 3.0))

    def _grow(self, fault: Fault) -> None:
        for server in self._servers(fault):
            self._join(server)

    def _neighbour(self, fault: Fault) -> Callable[[], None]:
        met, span, size = self._servers(fault), 1e3 * (fault.extra or 2.0), fault.size or 0.5
        state = {"on": True, "taken": False}

        def turn() -> None:
            taken = state["on"] and not state["taken"]
            if taken != state["taken"]:
                for server in met:
                    server.cores_lost += size if taken else -size
                    server.changed()
            state["taken"] = taken
            if state["on"]:
                self.world.after(span * (0.5 + self._draw()), turn)

        turn()

        def undo() -> None:
            state["on"] = False
            if state["taken"]:
                turn()

        return undo

    def _errors(self, fault: Fault) -> Callable[[], None]:
        met, rate = self._servers(fault), fault.size or 1.0
        for server in met:
            server.errors.append(rate)

        def undo() -> None:
            for server in met:
                server.errors.remove(rate)

        return undo

    def _mute(self, fault: Fault) -> Callable[[], None]:
        met = self._servers(fault)

        def turn(by: int) -> None:
            for server in met:
                server.mute += by

        turn(1)
        return partial(turn, -1)

    def _uneven(self, fault: Fault) -> Callable[[], None]:
        met = self._servers(fault)
        for server in met:
            server.uneven = (fault.size or 5.0, max(1, round(fault.extra) or 3))

        def undo() -> None:
            for server in met:
                server.uneven = (1.0, 0)

        return undo

    # -- balancers -------------------------------------------------------------------------------------------

    def _restart(self, fault: Fault) -> None:
        numbers = self._numbers(fault)
        batch = max(1, round((fault.size or 0.1) * len(self.run.front.zones)))
        steps = ceil(len(numbers) / batch)
        for i in range(steps):
            when = 1e3 * fault.for_s * i / steps
            for number in numbers[i * batch : (i + 1) * batch]:
                self.world.after(when, self.run.kill, number, True)
                self.world.after(when + 1e3 * fault.extra, self.run.start, number)

    def _kill(self, fault: Fault) -> Callable[[], None]:
        numbers = self._numbers(fault)
        for number in numbers:
            self.run.kill(number)
        return partial(_each, [partial(self.run.start, number) for number in numbers])

    def _numbers(self, fault: Fault) -> list[int]:
        living = [b for b in self.run.front.living if b is not None]
        found = [b.number for b in self._some(fault, living)]
        self._entry["balancers"] = found
        return found

    # -- clients, network, list ------------------------------------------------------------------------------

    def _burst(self, fault: Fault) -> None:
        steps, rise = 10, min(1e3 * fault.extra, 500.0 * fault.for_s)
        top = (fault.size or 1.5) - 1
        factor = (1 + top) ** (1 / steps)
        for i in range(steps):
            self.world.after(rise * i / steps, self._times, factor)
            self.world.after(1e3 * fault.for_s - rise * i / steps, self._times, 1 / factor)

    def _times(self, factor: float) -> None:
        self.run.clients.factor *= factor

    def _heavy_tail(self, fault: Fault) -> Callable[[], None]:
        names = [p.name for p in self.run.scenario.prefixes]
        met = [names.index(fault.prefix)] if fault.prefix else list(range(len(names)))
        for prefix in met:
            self.run.clients.heavy_work[prefix] = (fault.extra or 0.01, fault.size or 10.0)
        return partial(_each, [partial(self.run.clients.heavy_work.pop, prefix, None) for prefix in met])

    def _skew(self, fault: Fault) -> Callable[[], None]:
        zone, times = self._zone(fault.zone or self.run.scenario.zones.names[0]), fault.size or 2.0
        self.run.clients.skew(zone, times)
        return lambda: self.run.clients.skew(zone, 1 / times)

    def _lossy(self, fault: Fault) -> Callable[[], None]:
        def turn(by: float) -> None:
            self.run.links.lossy += by

        turn(fault.size)
        return partial(turn, -fault.size)

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
