"""One run: a scenario, a seed and an arm, from the first visit to the last answer."""

from __future__ import annotations

from pathlib import Path
from typing import Any

import msgspec

from ospreyline.host import Deployment, PathPrefix
from ospreyline.lab import arms
from ospreyline.lab.bank import Balancer, Reports, Surroundings
from ospreyline.lab.clients import Clients, Front, Want
from ospreyline.lab.faults import Script
from ospreyline.lab.links import Links
from ospreyline.lab.records import Folder, Records, quantiles
from ospreyline.lab.referee import Referee
from ospreyline.lab.registry import Registry
from ospreyline.lab.scenario import KINDS, SCOPES, Group, Scenario, Span
from ospreyline.lab.servers import Server
from ospreyline.lab.words import RANGES, drawn
from ospreyline.lab.world import Streams, World


class Both:
    """Tells the referee and the records what is on the wire."""

    __slots__ = (
        "_records",
        "_referee",
        "answered",
        "arrived",
        "ended",
        "left",
        "ran",
        "sent",
        "taken",
        "told",
    )

    def __init__(self, referee: Referee, records: Records) -> None:
        def both(name: str) -> Any:
            first, second = getattr(referee, name), getattr(records, name)

            def tell(*args: Any) -> None:
                first(*args)
                second(*args)

            return tell

        self.taken, self.sent, self.ended = both("taken"), both("sent"), both("ended")
        self.answered, self.left = both("answered"), both("left")
        # these concern the referee alone
        self.arrived, self.ran, self.told = referee.arrived, referee.ran, referee.told


class Run:
    """Everything of one day. `go` plays it and gives the summary."""

    def __init__(
        self, scenario: Scenario, seed: int, arm: str = "ours", path: Path | None = None, visits: str = "none"
    ) -> None:
        self.scenario = scenario
        self.seed = seed
        self.arm = arm
        self.world = World()
        self.streams = Streams(seed)
        self.links = Links(scenario.links, self.streams.uniform("links"))
        self.registry = Registry(self.world, scenario.registry, self.streams.uniform("registry"))
        self.folder = Folder(path)
        self.servers: list[Server] = []
        self.retired: set[Server] = set()
        self._speeds = self.streams.uniform("speeds")
        self._servers_draw = self.streams.uniform("servers")
        self.referee = Referee(self.world, scenario)
        self.records = Records(self.world, scenario, self.folder, self.servers, visits)
        self.watching = Both(self.referee, self.records)
        chance = scenario.chance
        self.script = Script(
            self,
            scenario.faults
            + drawn(
                chance,
                chance.kinds or sorted(RANGES),
                scenario.day.seconds,
                scenario.zones.names,
                self.streams.generator("chance"),
            ),
        )
        for group in scenario.servers:
            for _ in range(group.count):
                zone = (
                    scenario.zones.names.index(group.zone)
                    if group.zone
                    else len(self.servers) % len(scenario.zones.names)
                )
                self.add_server(group, zone)
        for server in self.servers:
            server.start(warm=True)
        self.registry.begin(self.servers)
        zones = [n % len(scenario.zones.names) for n in range(scenario.bank.count)]
        self.front = Front(self.world, scenario, self.streams, zones)
        self.around = Surroundings(
            self.world,
            scenario,
            self.links,
            self.registry,
            Reports(self.world, scenario, self.streams.uniform("reports")),
            self.watching,
            self.servers,
            self.terms,
            arms.policy_factory(arm),
        )
        self._starts = [0] * scenario.bank.count
        for number in range(scenario.bank.count):
            self._start(number)
        self.clients = Clients(
            self.world, scenario, self.links, self.streams, self.front, self._counted, self.records.tried
        )

    # -- who is there ----------------------------------------------------------------------------------------

    def add_server(self, group: Group, zone: int, cell: int = -1) -> Server:
        """A further machine, not yet started."""
        index = len(self.servers)
        if cell < 0:
            inside = sum(1 for s in self.servers if s.zone == zone)
            cell = inside // group.cell_size if group.cell_size else 0
        server = Server(
            self.world,
            group,
            index,
            zone,
            cell,
            self._drawn(group.speed),
            self._drawn(group.crowd.slower),
            self._servers_draw,
        )
        server.fall = self.script.fell
        if group.pause_every_ms:
            server.pauses(group.pause_every_ms, group.pause_ms, self._servers_draw)
        self.servers.append(server)
        return server

    def _drawn(self, span: Span) -> float:
        if isinstance(span, tuple):
            return span[0] + (span[1] - span[0]) * self._speeds()
        return float(span)

    def terms(self, zone: int, number: int) -> Deployment:
        """What a balancer is told at its start."""
        s = self.scenario
        prefixes = tuple(
            PathPrefix(
                KINDS[p.kind], SCOPES[p.scope], p.window_ms, p.target_ms, p.timeout_ms, p.gain, p.late_gain
            )
            for p in s.prefixes
        )
        return Deployment(
            zone=zone,
            zones=len(s.zones.names),
            balancers=s.bank.count,
            number=number,
            prefixes=prefixes,
            max_fetches=s.bank.max_fetches,
            may_cancel=True,
            may_probe=s.reports.probes,
            max_retry_after=s.goal.max_retry_after_ms,
            ask_for_list=s.registry.mode == "ask",
            must_ask_in=s.registry.must_ask_ms,
            cold_from=min(g.cold_from for g in s.servers),
            warm_within=max(g.warm_ms for g in s.servers),
            overload_factor=s.rules.overload_factor,
            tip_after=s.rules.tip_ms,
            cross_fee=s.goal.cross_fee,
            probe_fee=s.goal.probe_fee,
            worst_prefix=s.goal.worst_prefix,
            report_fields=tuple(s.reports.fields) if s.reports.via != "none" else (),
        )

    def _start(self, number: int) -> None:
        self._starts[number] += 1
        known, told = self.registry.listed_at(self.world.now - self.scenario.bank.known_age_ms)
        seed = self.streams.number(f"balancer {number} {self._starts[number]}")
        self.front.ready(Balancer(self.around, number, self.front.zones[number], seed, known, told))

    def start(self, number: int) -> None:
        """A balancer's process starts; it takes visits once it is ready."""
        self.world.after(self.scenario.bank.ready_ms, self._start, number)

    def kill(self, number: int, told: bool = False) -> None:
        """A balancer dies; told: it is asked to end, and finishes what it has taken."""
        balancer = self.front.living[number]
        if balancer is None:
            return
        self.front.died(number, told)
        if told:
            longest = max(p.timeout_ms for p in self.scenario.prefixes)
            self.world.after(longest + 700.0, balancer.die)
        else:
            balancer.die()

    # -- the day ---------------------------------------------------------------------------------------------

    def _counted(self, want: Want) -> None:
        self.records.wanted(want)

    def _window(self) -> None:
        self.records.window_ends(
            self._beliefs(), self.registry.calls, sum(b.probes for b in self.front.living if b is not None)
        )
        if self.world.now < self.scenario.day.seconds * 1e3 or self.clients.open:
            self.world.after(self.scenario.day.window * 1e3, self._window)

    def _beliefs(self) -> list[dict[str, Any]]:
        """What our balancers think of each zone, on the mean; nothing of other arms."""
        living: list[Any] = [
            b.policy for b in self.front.living if b is not None and hasattr(b.policy, "_localities")
        ]
        if not living or self.folder.path is None:
            return []
        now, n, out = self.world.now, len(living), []
        for zone, name in enumerate(self.scenario.zones.names):
            levels = [policy._localities[zone] for policy in living]
            out.append(
                {
                    "zone": name,
                    "latency": round(sum(level.latency for level in levels) / n, 2),
                    "healthy": round(sum(len(level.candidates) for level in levels) / n, 2),
                    "out": sum(level.in_flight for level in levels),
                    "capacity": round(sum(_capacity(policy, zone) for policy in living) / n, 3),
                    "short": round(sum(now - policy._capacity_short_at < 1_000 for policy in living) / n, 3),
                }
            )
        return out

    def go(self) -> dict[str, Any]:
        """Play the day until its last want is over; the summary."""
        day = self.scenario.day
        self.folder.whole(
            "run",
            {
                "scenario": msgspec.to_builtins(self.scenario),
                "seed": self.seed,
                "arm": self.arm,
                "servers": [
                    {
                        "server": s.index,
                        "zone": self.scenario.zones.names[s.zone],
                        "cores": s.group.cores,
                        "speed": round(s.base, 4),
                    }
                    for s in self.servers
                ],
            },
        )
        self.clients.begin()
        self.world.after(day.window * 1e3, self._window)
        self.world.run(day.seconds * 1e3)
        longest = max(p.timeout_ms for p in self.scenario.prefixes)
        self.world.run(day.seconds * 1e3 + 2 * longest + 1_000.0)
        self.records.end()
        summary = self.summary()
        for breach in self.referee.breaches:
            self.folder.row("breaches", breach)
        for entry in self.script.log:
            self.folder.row("faults", entry)
        for at, number, text in self.around.logged:
            self.folder.row("log", {"at": round(at, 3), "balancer": number, "text": text})
        self.folder.whole("summary", summary)
        self.folder.close()
        return summary

    def summary(self) -> dict[str, Any]:
        """The figures of the day after its settling time."""
        total, records, s = self.records.total, self.records, self.scenario
        wanted = max(1, total.wanted)
        gain = total.gain / total.asked if total.asked else 0.0
        crossing = s.goal.cross_fee * total.crossed / wanted
        area, sojourn = records.little()
        return {
            "name": s.name,
            "seed": self.seed,
            "arm": self.arm,
            "gain": round(gain, 6),
            "net_gain": round(gain - crossing, 6),
            "crossing": round(crossing, 6),
            "worst": round(records.worst(), 6),
            "wanted": total.wanted,
            "in_time": round(total.in_time / wanted, 6),
            "late": round(total.late / wanted, 6),
            "failed": round(total.failed / wanted, 6),
            "tries": total.tries,
            "bounced": total.bounced,
            "errored": total.errored,
            "cut": total.cut,
            "fetches": total.fetches,
            "crossed": total.crossed,
            "ends": dict(sorted(total.ends.items())),
            **quantiles(records.delays),
            "prefixes": {
                p.name: round(r.gain / r.asked, 6) if r.asked else None
                for p, r in zip(s.prefixes, records.by_prefix, strict=True)
            },
            "tenants": {
                s.tenants[i].name: round(r.in_time / max(1, r.wanted), 6)
                for i, r in sorted(records.tenants.items())
            },
            "breaches": self.referee.counts(),
            "pushed": round(self.referee.pushed, 4),
            "effects_twice": self.referee.effects_twice,
            "calls": self.registry.calls,
            "calls_failed": self.registry.failed,
            "open": self.clients.open,
            "little": {"area": round(area, 3), "sojourn": round(sojourn, 3)},
            "events": self.world.events,
        }


def _capacity(policy: Any, zone: int) -> float:
    """What it thinks that a warm server of the zone carries for it; earlier texts had one figure for all."""
    level = policy._localities[zone]
    return float(level.capacity if hasattr(level, "capacity") else policy._capacity)


def play(
    scenario: Scenario, seed: int, arm: str = "ours", path: Path | None = None, visits: str = "none"
) -> dict[str, Any]:
    """Play one day."""
    return Run(scenario, seed, arm, path, visits).go()
