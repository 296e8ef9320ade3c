"""One run: starts the stand-ins, links and balancers, plays the day, ends everything and gathers the rows.

The parts are processes of their own (`worker`); this one only orders. Whatever ends it, they end with it:
their orders end, and the keeper then kills the balancers that it started.
"""

from __future__ import annotations

import asyncio
import os
import resource
import signal
import sys
from collections.abc import Awaitable, Callable, Iterator
from compileall import compile_dir
from contextlib import suppress
from fnmatch import fnmatchcase
from pathlib import Path
from time import monotonic, time
from typing import Any

import msgspec

from ospreyline.lab.scenario import Group, middle
from ospreyline.lab.words import ScenarioError
from ospreyline.lab.world import Streams
from ospreyline.rig.scenario import MOVED, Fault, Scenario, drawn
from ospreyline.rig.script import Script

WAVE = 25  # balancers started together on a warm start
_JSON = msgspec.json.Encoder()
ROOT = Path(__file__).parent.parent.parent  # where the package lies
SEMANTICS = {"read-like": "repeatable", "tagged": "by_key", "mutating": "once"}


class RigError(Exception):
    """A run that could not be carried out; one line."""


class Process:
    """One worker process, as the rig speaks to it."""

    def __init__(self, name: str, heard: Callable[[Process, dict[str, Any]], None]) -> None:
        self.name = name
        self.lag = 0.0
        self._heard = heard
        self._proc: asyncio.subprocess.Process | None = None
        self._orders = 0
        self._waits: dict[int, asyncio.Future[None]] = {}
        self._said: dict[str, asyncio.Future[dict[str, Any]]] = {}
        self._reader: asyncio.Task[None] | None = None

    async def start(self, kind: str, setup: dict[str, Any], errors: Path) -> None:
        with errors.open("ab") as log:
            self._proc = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "ospreyline.rig.worker",
                kind,
                stdin=asyncio.subprocess.PIPE,
                stdout=asyncio.subprocess.PIPE,
                stderr=log,
                limit=1 << 26,
                cwd=ROOT,
                start_new_session=True,
            )
        assert self._proc.stdin is not None
        self._proc.stdin.write(_JSON.encode(setup) + b"\n")
        self._reader = asyncio.get_running_loop().create_task(self._read())

    async def _read(self) -> None:
        assert self._proc is not None and self._proc.stdout is not None
        while line := await self._proc.stdout.readline():
            news = msgspec.json.decode(line)
            what = news["news"]
            if what == "done":
                wait = self._waits.pop(news["order"], None)
                if wait is not None and not wait.done():
                    wait.set_result(None)
            elif what in self._said and not self._said[what].done():
                self._said[what].set_result(news)
            elif what == "ended":
                self.lag = news["lag"]
            else:
                self._heard(self, news)
        # guards: whoever waits for an answer of one that has ended would wait for ever
        waiting: list[asyncio.Future[Any]] = [*self._waits.values(), *self._said.values()]
        for future in waiting:
            if not future.done():
                future.set_exception(RigError(f"{self.name} of the rig has ended, see its log"))
                future.exception()

    async def said(self, what: str, seconds: float) -> dict[str, Any]:
        """The first news of a kind."""
        self._said[what] = asyncio.get_running_loop().create_future()
        try:
            async with asyncio.timeout(seconds):
                return await self._said[what]
        except TimeoutError:
            raise RigError(f"{self.name} of the rig did not say {what!r} within {seconds:g} s") from None

    def tell(self, **order: Any) -> None:
        assert self._proc is not None and self._proc.stdin is not None
        if self._proc.returncode is None:
            self._proc.stdin.write(_JSON.encode(order) + b"\n")

    async def order(self, **order: Any) -> None:
        """Tell, and wait until it is done."""
        self._orders += 1
        number = self._orders
        self._waits[number] = done = asyncio.get_running_loop().create_future()
        self.tell(order=number, **order)
        try:
            async with asyncio.timeout(30.0):
                await done
        except TimeoutError:
            raise RigError(f"{self.name} of the rig did not carry out {order['do']!r}") from None

    async def end(self) -> None:
        """Its orders end; it is waited for, and killed if it does not go."""
        if self._proc is None or self._proc.stdin is None:
            return
        with suppress(ConnectionError, BrokenPipeError):
            self.tell(do="end")
            self._proc.stdin.close()
        try:
            async with asyncio.timeout(10.0):
                await self._proc.wait()
        except TimeoutError:
            self._proc.kill()
            await self._proc.wait()
        if self._reader is not None:
            await self._reader


def address(kind: int, number: int) -> str:
    """One address a machine of the model: 127.KIND.x.y."""
    return f"127.{kind}.{number // 200}.{number % 200 + 1}"


def configuration(
    s: Scenario, number: int, listen: str, discovery: str, seed: int, known: dict[str, Any]
) -> dict[str, Any]:
    """The file of one balancer."""
    groups, zones = s.servers, s.zones.names
    fields = {"in-flight": "inflight", "queue": "queue", "util": "util"}
    reports = [fields[f] for f in s.reports.fields if f in fields] if s.reports.via != "none" else []
    return {
        "name": f"b{number}",
        "listen": listen,
        "discovery": discovery,
        "seed": f"{seed:x}",
        "limits": {"sockets": 256, "memory_mb": 64},
        "known": known,
        "settings": {
            "Balancers": s.bank.count,
            "Me": number,
            "Zone": number % len(zones),
            "Dcs": zones,
            "Discovery": "ask",
            "PathPrefixes": [
                {
                    "Name": p.name,
                    "Semantics": SEMANTICS[p.kind],
                    "KeyScope": p.scope,
                    "ClientTimeoutUs": 1e3 * p.timeout_ms,
                    "TargetLatencyUs": 1e3 * p.target_ms,
                    "WindowUs": 1e3 * p.window_ms,
                    "Gain": p.gain,
                    "LateGain": p.late_gain,
                }
                for p in s.prefixes
            ],
            "Caps": {
                "Cancel": True,
                "MostBackendFetches": s.bank.max_fetches,
                "RetryAfter": True,
                "MaxRetryAfterUs": 1e3 * s.goal.max_retry_after_ms,
                "Probing": s.reports.probes,
                "ConnectTimeoutUs": 1e3 * s.links.connect_timeout_ms,
                "KeepaliveUs": 1e3 * s.links.keepalive_ms,
            },
            "Fees": {"CrossZone": s.goal.cross_fee, "Probe": s.goal.probe_fee},
            "Goal": {"Whole": 1.0 - s.goal.worst_prefix, "WorstClass": s.goal.worst_prefix},
            "Feedback": {"Fields": reports},
            "Invariants": {
                "ColdFrom": min(g.cold_from for g in groups),
                "MustAskInUs": 1e6 * s.rig.must_ask_s,
                "OverloadFactor": s.rules.overload_factor,
                "TipAfterUs": 1e3 * s.rules.tip_ms,
                "WarmWithinUs": 1e3 * max(g.warm_ms for g in groups),
            },
        },
    }


class Day:
    """One day of one scenario; `play` gives its rows."""

    def __init__(
        self,
        scenario: Scenario,
        seed: int,
        out: Path,
        told: Callable[[str], None] = lambda text: None,
        live: Callable[[float, list[dict[str, int]]], None] | None = None,
    ) -> None:
        self.scenario = s = scenario
        self.seed = seed
        self.out = out.absolute()
        self._operated = bool(s.rig.operator) or s.rig.fleet.on
        self._told = told
        self._live = live  # told each half second how it goes: s of the day, counts by zone
        self._streams = Streams(seed)
        self.origin = monotonic() * 1e3
        (out / "origin.json").write_bytes(_JSON.encode({"unix_ms": time() * 1e3}))
        self.begun = 0.0  # ms; when the day began
        zones = len(s.zones.names)
        self.groups: list[Group] = [g for g in s.servers for _ in range(g.count)]
        self.zones = [s.zones.names.index(g.zone) if g.zone else i % zones for i, g in enumerate(self.groups)]
        self.balancer_zones = [b % zones for b in range(s.bank.count)]
        draw = self._streams.uniform("speeds")
        self.speeds = [self._drawn(g.speed, draw) for g in self.groups]
        faults = [*s.faults, *drawn(s, self._streams.generator("chance"))]
        self.script = Script(self, faults, self._streams.number("faults"), self.zones, self.balancer_zones)
        self._rows = (out / "rows" / "script.jsonl").open("wb")
        self._parts: list[Process] = []
        self._relays: list[Process] = []
        self._relay_of: dict[str, Process] = {}
        self._links: dict[str, tuple[str, int]] = {}
        self._upstreams: list[Process] = []
        self._clients: list[Process] = []
        self._ready: dict[int, asyncio.Event] = {}
        self._gone: dict[int, asyncio.Event] = {b: asyncio.Event() for b in range(s.bank.count)}
        self._served: dict[int, int] = {}  # lines of each log that were read as serving
        self._offsets: dict[int, int] = {}
        self._serving: dict[int, asyncio.Event] = {}
        self._awaited: dict[int, set[str]] = {}
        self._finished: set[str] = set()
        self._done = asyncio.Event()
        self._ending = False
        self.pids: dict[str, int] = {}
        self.used: dict[str, Any] = {}
        self.problems: list[str] = []

    @staticmethod
    def _drawn(span: Any, draw: Callable[[], float]) -> float:
        return span[0] + (span[1] - span[0]) * draw() if isinstance(span, tuple) else float(middle(span))

    # what a script acts on

    def now(self) -> float:
        return monotonic() * 1e3 - self.origin

    def row(self, kind: str, /, **values: Any) -> None:
        self._rows.write(_JSON.encode({"k": kind, "t": round(self.now(), 3), **values}) + b"\n")

    async def break_links(self, names: list[str], **order: Any) -> None:
        await asyncio.gather(
            *(
                relay.order(do="fault", links=mine, **order)
                for relay in self._relays
                if (mine := [name for name in names if self._relay_of[name] is relay])
            )
        )

    async def tell_upstreams(self, indices: list[int], **order: Any) -> None:
        count = len(self._upstreams)
        await asyncio.gather(
            *(
                part.order(of=mine, **order)
                for i, part in enumerate(self._upstreams)
                if (mine := [index for index in indices if index % count == i])
            )
        )

    async def tell_list(self, **order: Any) -> None:
        await self._list.order(**order)

    async def tell_clients(self, **order: Any) -> None:
        for part in self._clients:
            part.tell(**order)

    async def signal(self, balancers: list[int], what: str) -> None:
        if balancers:
            await self._keeper.order(do=what, names=[f"b{b}" for b in balancers])

    def move_list(self, balancer: int) -> None:
        """Its configuration names another address of the list service from now on; whole, by renaming."""
        path = self.out / "config" / f"b{balancer}.json"
        told = msgspec.json.decode(path.read_bytes())
        told["discovery"] = "{}:{}".format(*self._links[f"b{balancer}>list2"])
        beside = path.with_suffix(".new")
        beside.write_bytes(_JSON.encode(told))
        beside.replace(path)

    async def gone(self, balancer: int) -> None:
        await self._gone[balancer].wait()

    async def start(self, balancers: list[int]) -> None:
        """Start balancers again; they count as there once they serve."""
        waits = []
        for b in balancers:
            await self.gone(b)
            self._gone[b].clear()
            waits.append(self._await(b).wait())
        await self._keeper.order(do="start", processes=[self._process(b) for b in balancers])
        try:
            async with asyncio.timeout(self.scenario.rig.ready_s):
                await asyncio.gather(*waits)
        except TimeoutError:
            silent = [f"b{b}" for b in balancers if not self._serving[b].is_set()]
            raise RigError(
                f"{', '.join(silent[:3])} did not serve within {self.scenario.rig.ready_s:g} s, "
                f"see {self.out / 'logs'}"
            ) from None
        await self.tell_clients(do="starting", balancers=balancers)

    def _process(self, b: int) -> dict[str, Any]:
        command = [sys.executable, "-m", "ospreyline", "serve", str(self.out / "config" / f"b{b}.json")]
        if self._operated:
            command += ["--operator", str(self.out / "config" / f"b{b}.toml")]
        return {
            "name": f"b{b}",
            "log": str(self.out / "logs" / f"b{b}.log"),
            "command": command,
            "folder": self.scenario.rig.program
            if self.scenario.rig.program and fnmatchcase(f"b{b}", self.scenario.rig.program_for)
            else str(ROOT),
        }

    def _operator(self, b: int) -> str:
        """The operator's file of one balancer."""
        lines = []
        tables = {table: dict(keys) for table, keys in self.scenario.rig.operator.items()}
        mesh = self.scenario.rig.fleet
        if mesh.on:
            seeds = range(min(mesh.seeds, self.scenario.bank.count))
            peers = [f"b{n}={'{}:{}'.format(*self._links[f'b{n}'])}" for n in seeds if n != b]
            tables.setdefault("fleet", {}).update(
                bank="rig",
                listen=f"{address(7, b)}:0",
                address="{}:{}".format(*self._links[f"b{b}"]),
                peers=peers,
                lists=mesh.lists,
                status="{out}/config/{b}.status",
            )
        for table, keys in tables.items():
            lines.append(f"[{table}]")
            for key, value in keys.items():
                if isinstance(value, str):
                    value = value.replace("{b}", f"b{b}").replace("{out}", str(self.out))
                lines.append(f"{key} = {_JSON.encode(value).decode()}")  # plain values read alike in TOML
        return "\n".join(lines) + "\n"

    # news of the parts

    def _heard(self, part: Process, news: dict[str, Any]) -> None:
        what = news["news"]
        if what == "seen":
            fault = self.script.faults[news["number"]]
            self.script.spawn(self._on_seen(part, news, fault))
        elif what == "fell":
            self.script.spawn(self.script.fell(news["u"]))
        elif what == "gone":
            b = int(news["name"][1:])
            self._gone[b].set()
            self._links_to(b, None)
            if not news["wanted"] and not self._ending:
                self.script.spawn(self.tell_clients(do="died", balancers=[b]))
                if b in self._serving and not self._serving[b].is_set():
                    self.problems.append(f"b{b} ended with status {news['status']} before it served")
        elif what == "ready":
            if news["b"] in self._ready:
                self._ready[news["b"]].set()
        elif what == "live":
            if self._live is not None and self.begun:
                self._live((self.now() - self.begun) / 1e3, news["zones"])
        elif what == "finished":
            self._finished.add(part.name)
            if len(self._finished) == len(self._clients):
                self._done.set()

    async def _on_seen(self, part: Process, news: dict[str, Any], fault: Fault) -> None:
        """What a fault waited for has been passed on, and its link stands still until this is done."""
        self.row("seen", number=news["number"], link=news["link"], at=news["at"])
        try:
            await self.script.carry_out(news["number"], fault)
        finally:
            part.tell(do="go", number=news["number"])

    def _links_to(self, b: int, at: tuple[str, int] | None) -> None:
        for name in (f"c>b{b}", f"b{b}"):
            if name in self._relay_of:
                self.script.spawn(self._relay_of[name].order(do="targets", at={name: at}))

    def _await(self, b: int) -> asyncio.Event:
        """What its log has to say before it counts as up."""
        self._awaited[b] = {"serving", "fleet listens"} if self.scenario.rig.fleet.on else {"serving"}
        self._serving[b] = asyncio.Event()
        return self._serving[b]

    async def _logged(self, b: int, said: dict[str, Any]) -> None:
        """A line of a balancer's log: where it listens."""
        event = said.get("event")
        if event not in self._awaited[b]:
            return
        host, _, port = said["listen"].rpartition(":")
        at, name = (host, int(port)), f"c>b{b}" if event == "serving" else f"b{b}"
        if event == "serving":
            self.row("serving", b=b)
        if name in self._relay_of:
            await self._relay_of[name].order(do="targets", at={name: at})
        else:
            self._links[name] = at
        self._awaited[b].discard(event)

    async def _watch_logs(self) -> None:
        """Whose log has a new line that says it serves?"""
        while True:
            for b, event in list(self._serving.items()):
                if event.is_set():
                    continue
                path = self.out / "logs" / f"b{b}.log"
                try:
                    with path.open("rb") as log:
                        log.seek(self._offsets.get(b, 0))
                        text = log.read()
                except FileNotFoundError:
                    continue
                whole = text[: text.rfind(b"\n") + 1]
                self._offsets[b] = self._offsets.get(b, 0) + len(whole)
                for line in whole.splitlines():
                    with suppress(msgspec.DecodeError):
                        await self._logged(b, msgspec.json.decode(line))
                if not self._awaited[b]:
                    event.set()
            await asyncio.sleep(0.02)

    # the day

    async def play(self) -> list[dict[str, Any]]:
        """All rows of the day, times in ms from its beginning."""
        self.check_descriptors()
        try:
            await self._stand()
            await self._run()
        finally:
            await self._end()
        if self.script.failed:
            raise RigError(f"a fault could not be carried out: {self.script.failed[0]}")
        return list(self.rows())

    def check_descriptors(self) -> None:
        """Raise the soft limit as far as wanted; say it where the hard one is too low."""
        s = self.scenario
        wanted = 512 + 4 * s.bank.count * s.upstreams() // (s.rig.relay_processes if s.rig.relays else 1)
        soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
        top = hard if hard != resource.RLIM_INFINITY else 1 << 20
        if soft < wanted:
            resource.setrlimit(resource.RLIMIT_NOFILE, (min(wanted, top), hard))
        if top < wanted:
            self._told(
                f"{top} descriptors a process are allowed and up to {wanted} may be wanted: "
                "more relay_processes make it fewer"
            )

    def _setup(self, name: str, number: int = 0) -> dict[str, Any]:
        return {
            "origin": self.origin,
            "seed": self._streams.number(f"{name}-{number}") % (1 << 53),
            "rows": str(self.out / "rows" / f"{name}-{number}.jsonl"),
        }

    async def _part(
        self, name: str, place: int, kind: str, said: str, **setup: Any
    ) -> tuple[Process, dict[str, Any]]:
        part = Process(f"{name}-{place}", self._heard)
        self._parts.append(part)
        waiting = asyncio.ensure_future(part.said(said, self.scenario.rig.ready_s))
        await asyncio.sleep(0)  # its future stands before the process can speak
        await part.start(
            kind, {**self._setup(name, place), **setup}, self.out / "logs" / f"rig-{name}-{place}.log"
        )
        return part, await waiting

    async def _stand(self) -> None:
        """Stand-ins, links and keeper, each up before what needs it."""
        s = self.scenario
        # as the deployment's build does: without it each start compiles the program, half of its CPU time
        for folder in {str(ROOT), s.rig.program or str(ROOT)}:
            await asyncio.to_thread(compile_dir, f"{folder}/ospreyline", quiet=2)
        self._keeper, _ = await self._part("keeper", 0, "keeper", "keeping")
        per = s.rig.upstream_processes
        draw = self._streams.uniform("slower")
        setups: list[list[dict[str, Any]]] = [[] for _ in range(per)]
        for i, group in enumerate(self.groups):
            setups[i % per].append(
                {
                    "index": i,
                    "uid": self.script.uid(i),
                    "listen": address(2, i),
                    "zone": self.zones[i],
                    "group": msgspec.to_builtins(group),
                    "speed": self.speeds[i],
                    "slower": self._drawn(group.crowd.slower, draw),
                }
            )
        fields = s.reports.fields if s.reports.via != "none" else []
        found = await asyncio.gather(
            *(
                self._part("upstreams", i, "upstreams", "listening", upstreams=mine, fields=fields)
                for i, mine in enumerate(setups)
            )
        )
        self._upstreams = [part for part, _ in found]
        at = {int(i): tuple(where) for _, news in found for i, where in news["at"].items()}
        entries = [self.script.entry(i, 0) for i in range(len(self.groups))]
        if s.rig.relays:
            await self._stand_relays(at)
            endpoints = {
                f"b{b}": {
                    str(i): "{}:{}".format(*(self._links[f"b{b}>u{i}"] if s.rig.pairs else w))
                    for i, w in at.items()
                }
                for b in range(s.bank.count)
            }
        else:
            endpoints = {
                b: {str(i): "{}:{}".format(*where) for i, where in at.items()}
                for b in ("", *(f"b{b}" for b in range(s.bank.count)))
            }
        self._list, news = await self._part(
            "list",
            0,
            "registry",
            "listening",
            listen=address(3, 0),
            entries=entries,
            endpoints=endpoints,
            named={address(1, b): f"b{b}" for b in range(s.bank.count)} if s.rig.relays else {},
            calls_per_s=s.registry.calls_per_s,
            queue=s.rig.queue,
            retry_after_s=s.rig.retry_after_s,
            period_ms=s.registry.period_ms,
        )
        where = tuple(news["at"])
        if s.rig.relays:
            await self._target({name: where for name in self._relay_of if ">list" in name})
        for b in range(s.bank.count):
            listed = [{**e, "endpoint": endpoints[f"b{b}"][str(e["machine"])]} for e in entries]
            known = {
                "rev": 1 if s.rig.known == "all" else 0,
                "all": True,
                "targets": listed if s.rig.known == "all" else [],
            }
            asks = self._links[f"b{b}>list"] if s.rig.relays else where
            told = configuration(
                s,
                b,
                f"{address(1, b)}:0",
                "{}:{}".format(*asks),
                self._streams.number(f"balancer-{b}") % (1 << 53),
                known,
            )
            (self.out / "config" / f"b{b}.json").write_bytes(_JSON.encode(told))
            if self._operated:
                (self.out / "config" / f"b{b}.toml").write_text(self._operator(b))

    async def _stand_relays(self, at: dict[int, Any]) -> None:
        s = self.scenario
        per = s.rig.relay_processes
        shares: list[list[dict[str, Any]]] = [[] for _ in range(per)]
        of: dict[str, int] = {}
        moved = any(f.kind == MOVED for f in self.script.faults)
        clients = any(f.on is not None and f.on.link.startswith("c") for f in self.script.faults)

        def add(name: str, share: int, listen: str, source: str, reads: bool) -> None:
            of[name] = share
            shares[share].append({"name": name, "listen": listen, "source": source, "reads": reads})

        for b in range(s.bank.count):
            add(f"c>b{b}", b % per, address(4, b), "127.6.0.1", clients)
            add(f"b{b}>list", b % per, address(5, b), address(1, b), False)
            if moved:
                add(f"b{b}>list2", b % per, address(9, b), address(1, b), False)
            for u in at if s.rig.pairs else ():
                add(f"b{b}>u{u}", b % per, f"127.{64 + b // 200}.{b % 200 + 1}.{u + 1}", address(1, b), True)
        hubs: list[list[dict[str, Any]]] = [[] for _ in range(per)]
        for b in range(s.bank.count if s.rig.fleet.on else 0):
            of[f"b{b}"] = b % per
            sources = {address(7, a): f"b{a}>b{b}" for a in range(s.bank.count) if a != b}
            of.update(dict.fromkeys(sources.values(), b % per))
            hubs[b % per].append({"name": f"b{b}", "listen": address(8, b), "sources": sources})
        found = await asyncio.gather(
            *(
                self._part("relays", i, "relays", "linked", links=mine, hubs=hubs[i])
                for i, mine in enumerate(shares)
            )
        )
        self._relays = [part for part, _ in found]
        self._relay_of = {name: self._relays[share] for name, share in of.items()}
        for _, news in found:
            self._links.update({name: tuple(where) for name, where in (news["at"] | news["hubs"]).items()})
        if s.rig.pairs:
            await self._target({f"b{b}>u{u}": where for b in range(s.bank.count) for u, where in at.items()})

    async def _target(self, at: dict[str, Any]) -> None:
        await asyncio.gather(
            *(
                relay.order(do="targets", at=mine)
                for relay in self._relays
                if (mine := {name: where for name, where in at.items() if self._relay_of[name] is relay})
            )
        )

    async def _stand_clients(self) -> None:
        s = self.scenario
        per = s.rig.client_processes
        at = [self._links[f"c>b{b}"] for b in range(s.bank.count)]
        found = await asyncio.gather(
            *(
                self._part(
                    "clients",
                    i,
                    "clients",
                    "standing",
                    scenario=msgspec.to_builtins(s),
                    number=i,
                    of=per,
                    live=self._live is not None,
                    at=at,
                    zones=self.balancer_zones,
                    bank_seed=self._streams.number("bank") % (1 << 53),
                )
                for i in range(per)
            )
        )
        self._clients = [part for part, _ in found]

    async def _run(self) -> None:
        s = self.scenario
        everyone = list(range(s.bank.count))
        for b in everyone:
            self._gone[b].set()
        watching = asyncio.get_running_loop().create_task(self._watch_logs())
        try:
            if s.rig.relays:
                await self._stand_clients()
            if s.rig.start != "at once":
                self._ready = {b: asyncio.Event() for b in everyone}
                wave = 1 if s.rig.start == "in turn" else WAVE
                for i in range(0, len(everyone), wave):
                    await self.start(everyone[i : i + wave])
                if not s.rig.relays:
                    await self._stand_clients()
                    await self.tell_clients(do="starting", balancers=everyone)
                await self._all_ready()
            self._begin_day()
            if s.rig.start == "at once":
                await self._together(everyone)
            await asyncio.sleep(max(0.0, s.day.seconds - (self.now() - self.begun) / 1e3))
            await self.tell_clients(do="finish")
            longest = max(p.timeout_ms for p in s.prefixes)
            with suppress(TimeoutError):
                async with asyncio.timeout(longest / 1e3 + 3.0):
                    await self._done.wait()
            self.used = self._usage()
            await self.script.stop()
            self._ending = True
            await self.signal(everyone, "go on")
            await self.signal(everyone, "term")
            try:
                async with asyncio.timeout(longest / 1e3 + 5.0):
                    await asyncio.gather(*(self.gone(b) for b in everyone))
            except TimeoutError:
                still = [f"b{b}" for b in everyone if not self._gone[b].is_set()]
                self.problems.append(f"{', '.join(still[:5])} did not end after SIGTERM")
        finally:
            watching.cancel()
            if watching.done() and not watching.cancelled() and watching.exception():
                raise RigError(f"the logs could not be followed: {watching.exception()}")

    async def _all_ready(self) -> None:
        try:
            async with asyncio.timeout(self.scenario.rig.ready_s):
                await asyncio.gather(*(event.wait() for event in self._ready.values()))
        except TimeoutError:
            late = [f"b{b}" for b, event in self._ready.items() if not event.is_set()]
            raise RigError(
                f"{', '.join(late[:3])} and {max(0, len(late) - 3)} more were not ready within "
                f"{self.scenario.rig.ready_s:g} s"
            ) from None

    def _begin_day(self) -> None:
        self.begun = self.now()
        self.row("day")
        until = self.begun + 1e3 * self.scenario.day.seconds
        for part in self._clients:
            part.tell(do="run", until=until)
        for number, fault in enumerate(self.script.faults):
            if fault.on is not None:
                watch = {
                    "number": number,
                    "seen": fault.on.seen,
                    "link": fault.on.link,
                    "prefix": fault.on.prefix,
                    "left": fault.on.nth,
                }
                for relay in self._relays:
                    relay.tell(do="watch", watch=watch)
        self.script.begin()
        self._told(
            f"the day begins: {self.scenario.bank.count} balancers, {len(self.groups)} upstreams, "
            f"{len(self._links)} links"
        )

    async def _together(self, everyone: list[int]) -> None:
        """All at the same moment, into whatever stands there."""
        waits: list[Awaitable[Any]] = []
        for b in everyone:
            self._gone[b].clear()
            waits.append(self._await(b).wait())
        await self._keeper.order(do="start", processes=[self._process(b) for b in everyone])
        await self.tell_clients(do="starting", balancers=everyone)
        try:
            async with asyncio.timeout(self.scenario.rig.ready_s):
                await asyncio.gather(*waits)
        except TimeoutError:
            self.problems.append(f"some balancers did not serve within {self.scenario.rig.ready_s:g} s")

    def _usage(self) -> dict[str, Any]:
        """Memory (MB) and CPU time (s) of the balancers, from the kernel's accounts."""
        resident, cpu = [], []
        tick = os.sysconf("SC_CLK_TCK")
        page = os.sysconf("SC_PAGE_SIZE") / (1 << 20)
        for line in (self.out / "rows" / "keeper-0.jsonl").read_bytes().splitlines():
            row = msgspec.json.decode(line)
            if row["k"] == "spawned":
                self.pids[row["name"]] = row["pid"]
        for pid in self.pids.values():
            with suppress(OSError, IndexError):
                stat = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
                cpu.append((int(stat[11]) + int(stat[12])) / tick)
                resident.append(int(Path(f"/proc/{pid}/statm").read_text().split()[1]) * page)
        if not resident:
            return {}
        return {
            "resident_mb": round(sum(resident) / len(resident), 1),
            "most_resident_mb": round(max(resident), 1),
            "cpu_s": round(sum(cpu) / len(cpu), 2),
        }

    async def _end(self) -> None:
        """Everything ends: the keeper last, once nothing asks anything of its processes."""
        await self.script.stop()
        keeper = [part for part in self._parts if part.name.startswith("keeper")]
        for part in [p for p in self._parts if p not in keeper]:
            await part.end()
        for part in keeper:
            await part.end()
        self._rows.close()

    def rows(self) -> Iterator[dict[str, Any]]:
        for path in sorted((self.out / "rows").glob("*.jsonl")):
            for line in path.read_bytes().splitlines():
                row = msgspec.json.decode(line)
                for key in ("t", "first", "sent", "since", "at", "heard"):
                    if isinstance(row.get(key), int | float) and (row[key] or key != "sent"):
                        row[key] = round(row[key] - self.begun, 3)
                yield row

    @property
    def lag(self) -> float:
        """ms, the most that a loop of the rig's own came late."""
        return max((part.lag for part in self._parts), default=0.0)


def prepare(out: Path) -> None:
    """The folders of a run, empty."""
    try:
        for name in ("rows", "logs", "config"):
            folder = out / name
            folder.mkdir(parents=True, exist_ok=True)
            for old in folder.iterdir():
                old.unlink()
    except OSError as error:
        raise ScenarioError(f"{out}: {error.strerror}") from error


async def play(day: Day) -> list[dict[str, Any]]:
    """Play a day; Ctrl-C and SIGTERM end it with all that it started."""
    task = asyncio.current_task()
    assert task is not None
    loop = asyncio.get_running_loop()
    for number in (signal.SIGINT, signal.SIGTERM):
        loop.add_signal_handler(number, task.cancel)
    return await day.play()
