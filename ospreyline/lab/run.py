"""One simulated run of a scenario with a seed and an arm, from the first visit to the last answer."""

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
from ospreyline.lab.records import RecordFolder, Records, quantiles
from ospreyline.lab.referee import Referee
from ospreyline.lab.registry import Registry
from ospreyline.lab.scenario import KINDS, SCOPES, Group, Scenario, Span
from ospreyline.lab.servers import Server
from ospreyline.lab.words import RANGES, drawn
from ospreyline.lab.world import Streams, World


class WireEvents:
    """Passes each event on the wire to the referee and to the records, in this order."""

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
        def forward(name: str) -> Any:
            to_referee, to_records = getattr(referee, name), getattr(records, name)

            def notify(*args: Any) -> None:
                to_referee(*args)
                to_records(*args)

            return notify

        self.taken, self.sent, self.ended = forward("taken"), forward("sent"), forward("ended")
        self.answered, self.left = forward("answered"), forward("left")
        # only the referee uses these
        self.arrived, self.ran, self.told = referee.arrived, referee.ran, referee.told


class Run:
    """The model of one run; `go` runs it and returns the summary."""

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
        self.folder = RecordFolder(path)
        self.servers: list[Server] = []
        self.retired: set[Server] = set()
        self._speed_uniform = self.streams.uniform("speeds")
        self._server_uniform = self.streams.uniform("servers")
        self.referee = Referee(self.world, scenario)
        self.records = Records(self.world, scenario, self.folder, self.servers, visits)
        self.wire_events = WireEvents(self.referee, self.records)
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
            self.wire_events,
            self.servers,
            self.settings,
            arms.policy_factory(arm),
        )
        self._starts = [0] * scenario.bank.count
        for number in range(scenario.bank.count):
            self._start(number)
        self.clients = Clients(
            self.world,
            scenario,
            self.links,
            self.streams,
            self.front,
            self._want_ended,
            self.records.try_sent,
        )

    # -- servers and balancers -------------------------------------------------------------------------------

    def add_server(self, group: Group, zone: int, cell: int = -1) -> Server:
        """Adds a server, not yet started; `cell` -1: the next one by the group's cell size."""
        index = len(self.servers)
        if cell < 0:
            in_zone = sum(1 for s in self.servers if s.zone == zone)
            cell = in_zone // group.cell_size if group.cell_size else 0
        server = Server(
            self.world,
            group,
            index,
            zone,
            cell,
            self._draw(group.speed),
            self._draw(group.crowd.slower),
            self._server_uniform,
        )
        server.fall = self.script.fell
        if group.pause_every_ms:
            server.pauses(group.pause_every_ms, group.pause_ms, self._server_uniform)
        self.servers.append(server)
        return server

    def _draw(self, span: Span) -> float:
        if isinstance(span, tuple):
            return span[0] + (span[1] - span[0]) * self._speed_uniform()
        return float(span)

    def settings(self, zone: int, number: int) -> Deployment:
        """The settings that a balancer gets when it starts."""
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
        """Starts a balancer's process; it takes visits after `bank.ready_ms`."""
        self.world.after(self.scenario.bank.ready_ms, self._start, number)

    def kill(self, number: int, told: bool = False) -> None:
        """Ends a balancer: at once, or (`told`) as by SIGTERM, after it has finished its visits."""
        balancer = self.front.living[number]
        if balancer is None:
            return
        self.front.died(number, told)
        if told:
            longest = max(p.timeout_ms for p in self.scenario.prefixes)
            self.world.after(longest + 700.0, balancer.die)
        else:
            balancer.die()

    # -- the run ---------------------------------------------------------------------------------------------

    def _want_ended(self, want: Want) -> None:
        self.records.want_ended(want)

    def _end_window(self) -> None:
        self.records.window_ends(
            self._beliefs(), self.registry.calls, sum(b.probes for b in self.front.living if b is not None)
        )
        if self.world.now < self.scenario.day.seconds * 1e3 or self.clients.open:
            self.world.after(self.scenario.day.window * 1e3, self._end_window)

    def _beliefs(self) -> list[dict[str, Any]]:
        """Mean estimates of each zone over the balancers; empty for an arm that keeps no localities."""
        policies: list[Any] = [
            b.policy for b in self.front.living if b is not None and hasattr(b.policy, "_localities")
        ]
        if not policies or self.folder.path is None:
            return []
        now, n, out = self.world.now, len(policies), []
        for zone, name in enumerate(self.scenario.zones.names):
            localities = [policy._localities[zone] for policy in policies]
            out.append(
                {
                    "zone": name,
                    "latency": round(sum(locality.latency for locality in localities) / n, 2),
                    "healthy": round(sum(len(locality.candidates) for locality in localities) / n, 2),
                    "out": sum(locality.in_flight for locality in localities),
                    "capacity": round(sum(_capacity(policy, zone) for policy in policies) / n, 3),
                    "short": round(
                        sum(now - policy._capacity_short_at < 1_000 for policy in policies) / n, 3
                    ),
                }
            )
        return out

    def go(self) -> dict[str, Any]:
        """Runs until the last want has ended; the summary."""
        day = self.scenario.day
        self.folder.write_json(
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
        self.world.after(day.window * 1e3, self._end_window)
        self.world.run(day.seconds * 1e3)
        longest = max(p.timeout_ms for p in self.scenario.prefixes)
        self.world.run(day.seconds * 1e3 + 2 * longest + 1_000.0)
        self.records.finish()
        summary = self.summary()
        for breach in self.referee.breaches:
            self.folder.write_row("breaches", breach)
        for entry in self.script.log:
            self.folder.write_row("faults", entry)
        for at, number, text in self.around.logged:
            self.folder.write_row("log", {"at": round(at, 3), "balancer": number, "text": text})
        self.folder.write_json("summary", summary)
        self.folder.close()
        return summary

    def summary(self) -> dict[str, Any]:
        """The figures of the run after `day.settle`."""
        total, records, s = self.records.total, self.records, self.scenario
        wanted = max(1, total.wanted)
        gain = total.gain / total.asked if total.asked else 0.0
        crossing = s.goal.cross_fee * total.crossed / wanted
        area, sojourn = records.littles_law()
        return {
            "name": s.name,
            "seed": self.seed,
            "arm": self.arm,
            "gain": round(gain, 6),
            "net_gain": round(gain - crossing, 6),
            "crossing": round(crossing, 6),
            "worst": round(records.worst_gain(), 6),
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
            **quantiles(records.latencies),
            "prefixes": {
                p.name: round(r.gain / r.asked, 6) if r.asked else None
                for p, r in zip(s.prefixes, records.by_prefix, strict=True)
            },
            "tenants": {
                s.tenants[i].name: round(r.in_time / max(1, r.wanted), 6)
                for i, r in sorted(records.tenants.items())
            },
            "breaches": self.referee.counts(),
            "pushed": round(self.referee.cold_peak_share, 4),
            "effects_twice": self.referee.effects_twice,
            "calls": self.registry.calls,
            "calls_failed": self.registry.failed,
            "open": self.clients.open,
            "little": {"area": round(area, 3), "sojourn": round(sojourn, 3)},
            "events": self.world.events,
        }


def _capacity(policy: Any, zone: int) -> float:
    """Estimated capacity of a warm server of the zone; older revisions have one for all zones."""
    locality = policy._localities[zone]
    return float(locality.capacity if hasattr(locality, "capacity") else policy._capacity)


def run_scenario(
    scenario: Scenario, seed: int, arm: str = "ours", path: Path | None = None, visits: str = "none"
) -> dict[str, Any]:
    """Runs the scenario once; the summary. Records go to `path`, if given."""
    return Run(scenario, seed, arm, path, visits).go()
