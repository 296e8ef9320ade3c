"""One run: starts stand-ins, links and balancers, runs the scenario, stops everything and collects the rows.

Every part is a process of its own (`worker`); this process only sends commands. However this one ends, the
workers see the end of their standard input and exit, and the keeper kills the balancers that it started.
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
from ospreyline.rig.scenario import LIST_MOVED, Fault, Scenario, draw_faults
from ospreyline.rig.script import FaultInjector

START_BATCH = 25  # balancers started together on a warm start
_JSON = msgspec.json.Encoder()
ROOT = Path(__file__).parent.parent.parent  # the checkout that holds the package
SEMANTICS = {"read-like": "repeatable", "tagged": "by_key", "mutating": "once"}


class RigError(Exception):
    """A run failed for a technical reason; the message is one line."""


class Process:
    """One worker process: commands to its standard input, messages from its standard output."""

    def __init__(self, name: str, on_message: Callable[[Process, dict[str, Any]], None]) -> None:
        self.name = name
        self.lag = 0.0  # ms, the longest delay of its event loop; set when it ends
        self._on_message = on_message
        self._proc: asyncio.subprocess.Process | None = None
        self._last_command = 0
        self._pending_commands: dict[int, asyncio.Future[None]] = {}
        self._awaited_messages: dict[str, asyncio.Future[dict[str, Any]]] = {}
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
        self._reader = asyncio.get_running_loop().create_task(self._read_messages())

    async def _read_messages(self) -> None:
        assert self._proc is not None and self._proc.stdout is not None
        while line := await self._proc.stdout.readline():
            message = msgspec.json.decode(line)
            what = message["event"]
            if what == "done":
                wait = self._pending_commands.pop(message["order"], None)
                if wait is not None and not wait.done():
                    wait.set_result(None)
            elif what in self._awaited_messages and not self._awaited_messages[what].done():
                self._awaited_messages[what].set_result(message)
            elif what == "ended":
                self.lag = message["lag"]
            else:
                self._on_message(self, message)
        # without this, callers that wait for a message of an exited process would never return
        waiting: list[asyncio.Future[Any]] = [
            *self._pending_commands.values(),
            *self._awaited_messages.values(),
        ]
        for future in waiting:
            if not future.done():
                future.set_exception(RigError(f"rig worker {self.name} has exited, see its log"))
                future.exception()

    async def wait_for_message(self, what: str, seconds: float) -> dict[str, Any]:
        """Wait for the first message of a kind; `RigError` after `seconds`."""
        self._awaited_messages[what] = asyncio.get_running_loop().create_future()
        try:
            async with asyncio.timeout(seconds):
                return await self._awaited_messages[what]
        except TimeoutError:
            raise RigError(f"rig worker {self.name} did not send {what!r} within {seconds:g} s") from None

    def send(self, **order: Any) -> None:
        """Send a command without waiting for it."""
        assert self._proc is not None and self._proc.stdin is not None
        if self._proc.returncode is None:
            self._proc.stdin.write(_JSON.encode(order) + b"\n")

    async def order(self, **order: Any) -> None:
        """Send a command and wait until it is done; `RigError` after 30 s."""
        self._last_command += 1
        number = self._last_command
        self._pending_commands[number] = done = asyncio.get_running_loop().create_future()
        self.send(order=number, **order)
        try:
            async with asyncio.timeout(30.0):
                await done
        except TimeoutError:
            raise RigError(f"rig worker {self.name} did not complete {order['do']!r} within 30 s") from None

    async def end(self) -> None:
        """Close its standard input and wait for it to exit; kill it after 10 s."""
        if self._proc is None or self._proc.stdin is None:
            return
        with suppress(ConnectionError, BrokenPipeError):
            self.send(do="end")
            self._proc.stdin.close()
        try:
            async with asyncio.timeout(10.0):
                await self._proc.wait()
        except TimeoutError:
            self._proc.kill()
            await self._proc.wait()
        if self._reader is not None:
            await self._reader


def loopback_address(kind: int, number: int) -> str:
    """The address of one simulated machine: 127.KIND.x.y."""
    return f"127.{kind}.{number // 200}.{number % 200 + 1}"


def configuration(
    s: Scenario, number: int, listen: str, discovery: str, seed: int, known: dict[str, Any]
) -> dict[str, Any]:
    """The configuration file of one balancer, as a tree."""
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


class RigRun:
    """One run of a scenario; `run` returns its rows."""

    def __init__(
        self,
        scenario: Scenario,
        seed: int,
        out: Path,
        report: Callable[[str], None] = lambda text: None,
        live: Callable[[float, list[dict[str, int]]], None] | None = None,
    ) -> None:
        self.scenario = s = scenario
        self.seed = seed
        self.out = out.absolute()
        self._has_operator_file = bool(s.rig.operator) or s.rig.fleet.on
        self._report = report
        self._on_live_counts = live  # called each half second with the s of the day and counts by zone
        self._streams = Streams(seed)
        self.origin = monotonic() * 1e3
        (out / "origin.json").write_bytes(_JSON.encode({"unix_ms": time() * 1e3}))
        self.start_ms = 0.0  # ms since `origin` at which the day began
        zones = len(s.zones.names)
        self.groups: list[Group] = [g for g in s.servers for _ in range(g.count)]
        self.zones = [s.zones.names.index(g.zone) if g.zone else i % zones for i, g in enumerate(self.groups)]
        self.balancer_zones = [b % zones for b in range(s.bank.count)]
        draw = self._streams.uniform("speeds")
        self.speeds = [self._draw_from(g.speed, draw) for g in self.groups]
        faults = [*s.faults, *draw_faults(s, self._streams.generator("chance"))]
        self.injector = FaultInjector(
            self, faults, self._streams.number("faults"), self.zones, self.balancer_zones
        )
        self._rows = (out / "rows" / "script.jsonl").open("wb")
        self._workers: list[Process] = []
        self._relays: list[Process] = []
        self._relay_of: dict[str, Process] = {}
        self._link_addresses: dict[str, tuple[str, int]] = {}
        self._upstreams: list[Process] = []
        self._clients: list[Process] = []
        self._ready_events: dict[int, asyncio.Event] = {}
        self._exit_events: dict[int, asyncio.Event] = {b: asyncio.Event() for b in range(s.bank.count)}
        self._served: dict[int, int] = {}  # unused
        self._log_offsets: dict[int, int] = {}
        self._serving_events: dict[int, asyncio.Event] = {}
        self._awaited_log_events: dict[int, set[str]] = {}
        self._finished_clients: set[str] = set()
        self._all_clients_finished = asyncio.Event()
        self._shutting_down = False
        self.pids: dict[str, int] = {}
        self.resource_usage: dict[str, Any] = {}
        self.problems: list[str] = []

    @staticmethod
    def _draw_from(span: Any, draw: Callable[[], float]) -> float:
        return span[0] + (span[1] - span[0]) * draw() if isinstance(span, tuple) else float(middle(span))

    # what the fault injector controls

    def now(self) -> float:
        """ms since `origin`."""
        return monotonic() * 1e3 - self.origin

    def row(self, kind: str, /, **values: Any) -> None:
        """Write a row of this process for the referee."""
        self._rows.write(_JSON.encode({"k": kind, "t": round(self.now(), 3), **values}) + b"\n")

    async def break_links(self, names: list[str], **order: Any) -> None:
        await asyncio.gather(
            *(
                relay.order(do="fault", links=share, **order)
                for relay in self._relays
                if (share := [name for name in names if self._relay_of[name] is relay])
            )
        )

    async def command_upstreams(self, indices: list[int], **order: Any) -> None:
        count = len(self._upstreams)
        await asyncio.gather(
            *(
                worker.order(of=share, **order)
                for i, worker in enumerate(self._upstreams)
                if (share := [index for index in indices if index % count == i])
            )
        )

    async def command_list_service(self, **order: Any) -> None:
        await self._list.order(**order)

    async def command_clients(self, **order: Any) -> None:
        for worker in self._clients:
            worker.send(**order)

    async def signal_balancers(self, balancers: list[int], what: str) -> None:
        if balancers:
            await self._keeper.order(do=what, names=[f"b{b}" for b in balancers])

    def change_list_address(self, balancer: int) -> None:
        """Point a balancer's configuration file at the second list service address, by an atomic rename."""
        path = self.out / "config" / f"b{balancer}.json"
        config = msgspec.json.decode(path.read_bytes())
        config["discovery"] = "{}:{}".format(*self._link_addresses[f"b{balancer}>list2"])
        beside = path.with_suffix(".new")
        beside.write_bytes(_JSON.encode(config))
        beside.replace(path)

    async def wait_for_exit(self, balancer: int) -> None:
        await self._exit_events[balancer].wait()

    async def start_balancers(self, balancers: list[int]) -> None:
        """Start balancers once they have exited, and wait until they serve; `RigError` if they do not."""
        startups = []
        for b in balancers:
            await self.wait_for_exit(b)
            self._exit_events[b].clear()
            startups.append(self._expect_startup(b).wait())
        await self._keeper.order(do="start", processes=[self._process_spec(b) for b in balancers])
        try:
            async with asyncio.timeout(self.scenario.rig.ready_s):
                await asyncio.gather(*startups)
        except TimeoutError:
            silent = [f"b{b}" for b in balancers if not self._serving_events[b].is_set()]
            raise RigError(
                f"{', '.join(silent[:3])} did not serve within {self.scenario.rig.ready_s:g} s, "
                f"see {self.out / 'logs'}"
            ) from None
        await self.command_clients(do="starting", balancers=balancers)

    def _process_spec(self, b: int) -> dict[str, Any]:
        """What the keeper needs to start one balancer."""
        command = [sys.executable, "-m", "ospreyline", "serve", str(self.out / "config" / f"b{b}.json")]
        if self._has_operator_file:
            command += ["--operator", str(self.out / "config" / f"b{b}.toml")]
        return {
            "name": f"b{b}",
            "log": str(self.out / "logs" / f"b{b}.log"),
            "command": command,
            "folder": self.scenario.rig.program
            if self.scenario.rig.program and fnmatchcase(f"b{b}", self.scenario.rig.program_for)
            else str(ROOT),
        }

    def _operator_file(self, b: int) -> str:
        """The operator file (TOML) of one balancer."""
        lines = []
        tables = {table: dict(keys) for table, keys in self.scenario.rig.operator.items()}
        mesh = self.scenario.rig.fleet
        if mesh.on:
            seeds = range(min(mesh.seeds, self.scenario.bank.count))
            peers = [f"b{n}={'{}:{}'.format(*self._link_addresses[f'b{n}'])}" for n in seeds if n != b]
            tables.setdefault("fleet", {}).update(
                bank="rig",
                listen=f"{loopback_address(7, b)}:0",
                address="{}:{}".format(*self._link_addresses[f"b{b}"]),
                peers=peers,
                lists=mesh.lists,
                status="{out}/config/{b}.status",
            )
        for table, keys in tables.items():
            lines.append(f"[{table}]")
            for key, value in keys.items():
                if isinstance(value, str):
                    value = value.replace("{b}", f"b{b}").replace("{out}", str(self.out))
                # JSON and TOML agree for plain values
                lines.append(f"{key} = {_JSON.encode(value).decode()}")
        return "\n".join(lines) + "\n"

    # messages of the workers

    def _on_message(self, worker: Process, message: dict[str, Any]) -> None:
        what = message["event"]
        if what == "seen":
            fault = self.injector.faults[message["number"]]
            self.injector.spawn(self._on_watch_triggered(worker, message, fault))
        elif what == "fell":
            self.injector.spawn(self.injector.restart_overloaded(message["u"]))
        elif what == "gone":
            b = int(message["name"][1:])
            self._exit_events[b].set()
            self._retarget_links(b, None)
            if not message["wanted"] and not self._shutting_down:
                self.injector.spawn(self.command_clients(do="died", balancers=[b]))
                if b in self._serving_events and not self._serving_events[b].is_set():
                    self.problems.append(f"b{b} ended with status {message['status']} before it served")
        elif what == "ready":
            if message["b"] in self._ready_events:
                self._ready_events[message["b"]].set()
        elif what == "live":
            if self._on_live_counts is not None and self.start_ms:
                self._on_live_counts((self.now() - self.start_ms) / 1e3, message["zones"])
        elif what == "finished":
            self._finished_clients.add(worker.name)
            if len(self._finished_clients) == len(self._clients):
                self._all_clients_finished.set()

    async def _on_watch_triggered(self, worker: Process, message: dict[str, Any], fault: Fault) -> None:
        """A relay saw the event that a fault waits for; it holds the link until it gets `go`."""
        self.row("seen", number=message["number"], link=message["link"], at=message["at"])
        try:
            await self.injector.inject(message["number"], fault)
        finally:
            worker.send(do="go", number=message["number"])

    def _retarget_links(self, b: int, at: tuple[str, int] | None) -> None:
        """Set where the links to a balancer lead; None: they refuse connections."""
        for name in (f"c>b{b}", f"b{b}"):
            if name in self._relay_of:
                self.injector.spawn(self._relay_of[name].order(do="targets", at={name: at}))

    def _expect_startup(self, b: int) -> asyncio.Event:
        """Reset which log events a balancer must write to count as serving; the event is set when it has."""
        self._awaited_log_events[b] = (
            {"serving", "fleet listens"} if self.scenario.rig.fleet.on else {"serving"}
        )
        self._serving_events[b] = asyncio.Event()
        return self._serving_events[b]

    async def _on_log_entry(self, b: int, entry: dict[str, Any]) -> None:
        """Handle one entry of a balancer's log; connects its link to the address that it listens on."""
        event = entry.get("event")
        if event not in self._awaited_log_events[b]:
            return
        host, _, port = entry["listen"].rpartition(":")
        at, name = (host, int(port)), f"c>b{b}" if event == "serving" else f"b{b}"
        if event == "serving":
            self.row("serving", b=b)
        if name in self._relay_of:
            await self._relay_of[name].order(do="targets", at={name: at})
        else:
            self._link_addresses[name] = at
        self._awaited_log_events[b].discard(event)

    async def _follow_logs(self) -> None:
        """Follow the logs of starting balancers until each has written its startup events."""
        while True:
            for b, event in list(self._serving_events.items()):
                if event.is_set():
                    continue
                path = self.out / "logs" / f"b{b}.log"
                try:
                    with path.open("rb") as log:
                        log.seek(self._log_offsets.get(b, 0))
                        text = log.read()
                except FileNotFoundError:
                    continue
                whole = text[: text.rfind(b"\n") + 1]
                self._log_offsets[b] = self._log_offsets.get(b, 0) + len(whole)
                for line in whole.splitlines():
                    with suppress(msgspec.DecodeError):
                        await self._on_log_entry(b, msgspec.json.decode(line))
                if not self._awaited_log_events[b]:
                    event.set()
            await asyncio.sleep(0.02)

    # the run

    async def run(self) -> list[dict[str, Any]]:
        """Run the scenario; all rows, times in ms since the start of the day."""
        self.raise_descriptor_limit()
        try:
            await self._start_workers()
            await self._run_scenario()
        finally:
            await self._stop_workers()
        if self.injector.errors:
            raise RigError(f"a fault could not be injected: {self.injector.errors[0]}")
        return list(self.read_rows())

    def raise_descriptor_limit(self) -> None:
        """Raise the soft limit of open files as needed; report it if the hard limit is too low."""
        s = self.scenario
        wanted = 512 + 4 * s.bank.count * s.upstreams() // (s.rig.relay_processes if s.rig.relays else 1)
        soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
        top = hard if hard != resource.RLIM_INFINITY else 1 << 20
        if soft < wanted:
            resource.setrlimit(resource.RLIMIT_NOFILE, (min(wanted, top), hard))
        if top < wanted:
            self._report(
                f"the limit of open files is {top} per process, but up to {wanted} may be needed: "
                "raise relay_processes to need fewer"
            )

    def _worker_setup(self, name: str, number: int = 0) -> dict[str, Any]:
        return {
            "origin": self.origin,
            "seed": self._streams.number(f"{name}-{number}") % (1 << 53),
            "rows": str(self.out / "rows" / f"{name}-{number}.jsonl"),
        }

    async def _start_worker(
        self, name: str, index: int, kind: str, first_message: str, **setup: Any
    ) -> tuple[Process, dict[str, Any]]:
        """Start one worker and wait for its first message, of the kind `first_message`."""
        worker = Process(f"{name}-{index}", self._on_message)
        self._workers.append(worker)
        waiting = asyncio.ensure_future(worker.wait_for_message(first_message, self.scenario.rig.ready_s))
        await asyncio.sleep(0)  # the future is registered before the process can send
        await worker.start(
            kind, {**self._worker_setup(name, index), **setup}, self.out / "logs" / f"rig-{name}-{index}.log"
        )
        return worker, await waiting

    async def _start_workers(self) -> None:
        """Start keeper, stand-ins, links and list service, each before what depends on it."""
        s = self.scenario
        # precompile as the deployment's build does: compiling at each start takes half of its CPU time
        for folder in {str(ROOT), s.rig.program or str(ROOT)}:
            await asyncio.to_thread(compile_dir, f"{folder}/ospreyline", quiet=2)
        self._keeper, _ = await self._start_worker("keeper", 0, "keeper", "keeping")
        process_count = s.rig.upstream_processes
        draw = self._streams.uniform("slower")
        setups: list[list[dict[str, Any]]] = [[] for _ in range(process_count)]
        for i, group in enumerate(self.groups):
            setups[i % process_count].append(
                {
                    "index": i,
                    "uid": self.injector.uid(i),
                    "listen": loopback_address(2, i),
                    "zone": self.zones[i],
                    "group": msgspec.to_builtins(group),
                    "speed": self.speeds[i],
                    "slower": self._draw_from(group.crowd.slower, draw),
                }
            )
        fields = s.reports.fields if s.reports.via != "none" else []
        started = await asyncio.gather(
            *(
                self._start_worker("upstreams", i, "upstreams", "listening", upstreams=share, fields=fields)
                for i, share in enumerate(setups)
            )
        )
        self._upstreams = [worker for worker, _ in started]
        at = {int(i): tuple(where) for _, message in started for i, where in message["at"].items()}
        entries = [self.injector.list_entry(i, 0) for i in range(len(self.groups))]
        if s.rig.relays:
            await self._start_relays(at)
            endpoints = {
                f"b{b}": {
                    str(i): "{}:{}".format(*(self._link_addresses[f"b{b}>u{i}"] if s.rig.pairs else w))
                    for i, w in at.items()
                }
                for b in range(s.bank.count)
            }
        else:
            endpoints = {
                b: {str(i): "{}:{}".format(*where) for i, where in at.items()}
                for b in ("", *(f"b{b}" for b in range(s.bank.count)))
            }
        self._list, message = await self._start_worker(
            "list",
            0,
            "registry",
            "listening",
            listen=loopback_address(3, 0),
            entries=entries,
            endpoints=endpoints,
            named={loopback_address(1, b): f"b{b}" for b in range(s.bank.count)} if s.rig.relays else {},
            calls_per_s=s.registry.calls_per_s,
            queue=s.rig.queue,
            retry_after_s=s.rig.retry_after_s,
            period_ms=s.registry.period_ms,
        )
        where = tuple(message["at"])
        if s.rig.relays:
            await self._set_targets({name: where for name in self._relay_of if ">list" in name})
        for b in range(s.bank.count):
            listed = [{**e, "endpoint": endpoints[f"b{b}"][str(e["machine"])]} for e in entries]
            known = {
                "rev": 1 if s.rig.known == "all" else 0,
                "all": True,
                "targets": listed if s.rig.known == "all" else [],
            }
            list_address = self._link_addresses[f"b{b}>list"] if s.rig.relays else where
            config = configuration(
                s,
                b,
                f"{loopback_address(1, b)}:0",
                "{}:{}".format(*list_address),
                self._streams.number(f"balancer-{b}") % (1 << 53),
                known,
            )
            (self.out / "config" / f"b{b}.json").write_bytes(_JSON.encode(config))
            if self._has_operator_file:
                (self.out / "config" / f"b{b}.toml").write_text(self._operator_file(b))

    async def _start_relays(self, at: dict[int, Any]) -> None:
        """Start the relay processes; `at` has the addresses of the upstreams by index."""
        s = self.scenario
        process_count = s.rig.relay_processes
        shares: list[list[dict[str, Any]]] = [[] for _ in range(process_count)]
        of: dict[str, int] = {}
        moved = any(f.kind == LIST_MOVED for f in self.injector.faults)
        clients = any(f.on is not None and f.on.link.startswith("c") for f in self.injector.faults)

        def add(name: str, share: int, listen: str, source: str, reads: bool) -> None:
            of[name] = share
            shares[share].append({"name": name, "listen": listen, "source": source, "reads": reads})

        for b in range(s.bank.count):
            add(f"c>b{b}", b % process_count, loopback_address(4, b), "127.6.0.1", clients)
            add(f"b{b}>list", b % process_count, loopback_address(5, b), loopback_address(1, b), False)
            if moved:
                add(f"b{b}>list2", b % process_count, loopback_address(9, b), loopback_address(1, b), False)
            for u in at if s.rig.pairs else ():
                add(
                    f"b{b}>u{u}",
                    b % process_count,
                    f"127.{64 + b // 200}.{b % 200 + 1}.{u + 1}",
                    loopback_address(1, b),
                    True,
                )
        hubs: list[list[dict[str, Any]]] = [[] for _ in range(process_count)]
        for b in range(s.bank.count if s.rig.fleet.on else 0):
            of[f"b{b}"] = b % process_count
            sources = {loopback_address(7, a): f"b{a}>b{b}" for a in range(s.bank.count) if a != b}
            of.update(dict.fromkeys(sources.values(), b % process_count))
            hubs[b % process_count].append(
                {"name": f"b{b}", "listen": loopback_address(8, b), "sources": sources}
            )
        started = await asyncio.gather(
            *(
                self._start_worker("relays", i, "relays", "linked", links=share, hubs=hubs[i])
                for i, share in enumerate(shares)
            )
        )
        self._relays = [worker for worker, _ in started]
        self._relay_of = {name: self._relays[share] for name, share in of.items()}
        for _, message in started:
            self._link_addresses.update(
                {name: tuple(where) for name, where in (message["at"] | message["hubs"]).items()}
            )
        if s.rig.pairs:
            await self._set_targets(
                {f"b{b}>u{u}": where for b in range(s.bank.count) for u, where in at.items()}
            )

    async def _set_targets(self, at: dict[str, Any]) -> None:
        """Set the addresses that links connect to, by link name."""
        await asyncio.gather(
            *(
                relay.order(do="targets", at=share)
                for relay in self._relays
                if (share := {name: where for name, where in at.items() if self._relay_of[name] is relay})
            )
        )

    async def _start_clients(self) -> None:
        s = self.scenario
        process_count = s.rig.client_processes
        at = [self._link_addresses[f"c>b{b}"] for b in range(s.bank.count)]
        started = await asyncio.gather(
            *(
                self._start_worker(
                    "clients",
                    i,
                    "clients",
                    "standing",
                    scenario=msgspec.to_builtins(s),
                    number=i,
                    of=process_count,
                    live=self._on_live_counts is not None,
                    at=at,
                    zones=self.balancer_zones,
                    bank_seed=self._streams.number("bank") % (1 << 53),
                )
                for i in range(process_count)
            )
        )
        self._clients = [worker for worker, _ in started]

    async def _run_scenario(self) -> None:
        s = self.scenario
        balancers = list(range(s.bank.count))
        for b in balancers:
            self._exit_events[b].set()
        log_task = asyncio.get_running_loop().create_task(self._follow_logs())
        try:
            if s.rig.relays:
                await self._start_clients()
            if s.rig.start != "at once":
                self._ready_events = {b: asyncio.Event() for b in balancers}
                batch = 1 if s.rig.start == "in turn" else START_BATCH
                for i in range(0, len(balancers), batch):
                    await self.start_balancers(balancers[i : i + batch])
                if not s.rig.relays:
                    await self._start_clients()
                    await self.command_clients(do="starting", balancers=balancers)
                await self._wait_until_ready()
            self._begin_day()
            if s.rig.start == "at once":
                await self._start_all_at_once(balancers)
            await asyncio.sleep(max(0.0, s.day.seconds - (self.now() - self.start_ms) / 1e3))
            await self.command_clients(do="finish")
            longest = max(p.timeout_ms for p in s.prefixes)
            with suppress(TimeoutError):
                async with asyncio.timeout(longest / 1e3 + 3.0):
                    await self._all_clients_finished.wait()
            self.resource_usage = self._measure_usage()
            await self.injector.cancel_tasks()
            self._shutting_down = True
            await self.signal_balancers(balancers, "go on")
            await self.signal_balancers(balancers, "term")
            try:
                async with asyncio.timeout(longest / 1e3 + 5.0):
                    await asyncio.gather(*(self.wait_for_exit(b) for b in balancers))
            except TimeoutError:
                remaining = [f"b{b}" for b in balancers if not self._exit_events[b].is_set()]
                self.problems.append(f"{', '.join(remaining[:5])} did not end after SIGTERM")
        finally:
            log_task.cancel()
            if log_task.done() and not log_task.cancelled() and log_task.exception():
                raise RigError(f"the logs could not be followed: {log_task.exception()}")

    async def _wait_until_ready(self) -> None:
        try:
            async with asyncio.timeout(self.scenario.rig.ready_s):
                await asyncio.gather(*(event.wait() for event in self._ready_events.values()))
        except TimeoutError:
            late = [f"b{b}" for b, event in self._ready_events.items() if not event.is_set()]
            raise RigError(
                f"{', '.join(late[:3])} and {max(0, len(late) - 3)} more were not ready within "
                f"{self.scenario.rig.ready_s:g} s"
            ) from None

    def _begin_day(self) -> None:
        """Start the clients' load and the clock of the faults."""
        self.start_ms = self.now()
        self.row("day")
        until = self.start_ms + 1e3 * self.scenario.day.seconds
        for worker in self._clients:
            worker.send(do="run", until=until)
        for number, fault in enumerate(self.injector.faults):
            if fault.on is not None:
                watch = {
                    "number": number,
                    "seen": fault.on.seen,
                    "link": fault.on.link,
                    "prefix": fault.on.prefix,
                    "left": fault.on.nth,
                }
                for relay in self._relays:
                    relay.send(do="watch", watch=watch)
        self.injector.schedule_faults()
        self._report(
            f"the day begins: {self.scenario.bank.count} balancers, {len(self.groups)} upstreams, "
            f"{len(self._link_addresses)} links"
        )

    async def _start_all_at_once(self, balancers: list[int]) -> None:
        """Start all balancers at once, whatever the state of upstreams and list service."""
        startups: list[Awaitable[Any]] = []
        for b in balancers:
            self._exit_events[b].clear()
            startups.append(self._expect_startup(b).wait())
        await self._keeper.order(do="start", processes=[self._process_spec(b) for b in balancers])
        await self.command_clients(do="starting", balancers=balancers)
        try:
            async with asyncio.timeout(self.scenario.rig.ready_s):
                await asyncio.gather(*startups)
        except TimeoutError:
            self.problems.append(f"some balancers did not serve within {self.scenario.rig.ready_s:g} s")

    def _measure_usage(self) -> dict[str, Any]:
        """Memory (MB) and CPU time (s) of the balancers, read from /proc."""
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

    async def _stop_workers(self) -> None:
        """Stop all workers; the keeper last, when no other worker uses the balancers any more."""
        await self.injector.cancel_tasks()
        keeper = [worker for worker in self._workers if worker.name.startswith("keeper")]
        for worker in [p for p in self._workers if p not in keeper]:
            await worker.end()
        for worker in keeper:
            await worker.end()
        self._rows.close()

    def read_rows(self) -> Iterator[dict[str, Any]]:
        """The rows of all workers, their times changed to ms since the start of the day."""
        for path in sorted((self.out / "rows").glob("*.jsonl")):
            for line in path.read_bytes().splitlines():
                row = msgspec.json.decode(line)
                for key in ("t", "first", "sent", "since", "at", "heard"):
                    if isinstance(row.get(key), int | float) and (row[key] or key != "sent"):
                        row[key] = round(row[key] - self.start_ms, 3)
                yield row

    @property
    def lag(self) -> float:
        """ms, the longest event loop delay of any worker."""
        return max((worker.lag for worker in self._workers), default=0.0)


def prepare(out: Path) -> None:
    """Create the folders of a run, or empty them."""
    try:
        for name in ("rows", "logs", "config"):
            folder = out / name
            folder.mkdir(parents=True, exist_ok=True)
            for old in folder.iterdir():
                old.unlink()
    except OSError as error:
        raise ScenarioError(f"{out}: {error.strerror}") from error


async def run_interruptible(rig_run: RigRun) -> list[dict[str, Any]]:
    """Run it so that Ctrl-C and SIGTERM cancel it and stop all that it started."""
    task = asyncio.current_task()
    assert task is not None
    loop = asyncio.get_running_loop()
    for number in (signal.SIGINT, signal.SIGTERM):
        loop.add_signal_handler(number, task.cancel)
    return await rig_run.run()
