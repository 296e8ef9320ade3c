"""`ospreyline rig scale scopes`: simulated balancers, fan-out machines and a source, at the planned size.

This side starts the processes (`ospreyline.fleet.hollow`), sends the commands of each phase, and evaluates
what the source reports as changed and what each balancer reports as received. It does not use the protocol.
"""

from __future__ import annotations

import asyncio
import signal
import sys
from bisect import bisect_left
from collections.abc import Callable
from dataclasses import asdict, dataclass
from itertools import pairwise
from pathlib import Path
from time import monotonic
from typing import Any

import click
import msgspec

ROOT = Path(__file__).parent.parent.parent
IN_FORCE_LIMIT_MS = 4_000.0  # allowed from a change to in force
SUBSCRIBERS_PER_PROCESS = 500  # simulated balancers
REGIONS = 5
STEPS = ("steady", "stopped", "killed", "zone", "restart", "region")
LOAD_TIMEOUT_S = 150.0
END_TIMEOUT_S = 60.0


@dataclass(slots=True)
class Plan:
    """Sizes, rates and durations of a run; its keys are passed to the processes and reported."""

    subscribers: int = 7_000
    fanouts: int = 20
    services: int = 6_700
    upstreams: int = 200_000
    per: int = 12  # balancers that serve a service
    seed: int = 1
    config_per_s: float = 59_000 / 86_400
    replaced_per_s: float = 77_000 / 86_400
    steady_s: float = 30.0
    fault_s: float = 12.0
    restart_s: float = 60.0
    cut_s: float = 20.0
    gone_after_s: float = 3.0  # from the drain of an upstream to its removal and replacement
    of_a_process: int = SUBSCRIBERS_PER_PROCESS


class SimulationError(Exception):
    """A run could not be carried out; the message is one line."""


class Process:
    """One process of the run, its commands and its reports."""

    def __init__(self, name: str, role: str) -> None:
        self.name, self.role = name, role
        self.rows: list[dict[str, Any]] = []  # status, one row a second
        self.final_report: dict[str, Any] = {}
        self.listens_or_ended = asyncio.Event()
        self.address: tuple[str, int] = ("", 0)
        self.has_ended = False
        self._proc: asyncio.subprocess.Process | None = None
        self._reader: asyncio.Task[None] | None = None

    async def start(self, setup: dict[str, Any]) -> None:
        self._proc = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "ospreyline.fleet.hollow",
            stdin=asyncio.subprocess.PIPE,
            stdout=asyncio.subprocess.PIPE,
            limit=1 << 28,
            cwd=ROOT,
            start_new_session=True,
        )
        self.order({"name": self.name, "role": self.role, **setup})
        self._reader = asyncio.get_running_loop().create_task(self._read())

    async def _read(self) -> None:
        assert self._proc is not None and self._proc.stdout is not None
        while line := await self._proc.stdout.readline():
            message = msgspec.json.decode(line)
            if "status" in message:
                self.rows.append(message)
            elif "listens" in message:
                self.address = (message["host"], message["port"])
                self.listens_or_ended.set()
            else:
                self.final_report = message
        self.has_ended = True
        self.listens_or_ended.set()

    def order(self, command: dict[str, Any]) -> None:
        assert self._proc is not None and self._proc.stdin is not None
        if not self.has_ended:
            self._proc.stdin.write(msgspec.json.encode(command) + b"\n")

    def signal(self, number: int) -> None:
        if self._proc is not None and self._proc.returncode is None:
            self._proc.send_signal(number)

    async def wait_until_ended(self) -> None:
        if self._reader is not None:
            await self._reader

    async def close(self) -> None:
        if self._proc is not None and self._proc.returncode is None:
            self._proc.kill()
            await self._proc.wait()


class Run:
    """One run; `report` is called with its progress."""

    def __init__(self, plan: Plan, steps: list[str], report: Callable[[str], None]) -> None:
        self.plan, self.steps, self.report = plan, steps, report
        self.source = Process("source", "source")
        self.fanouts = [Process(f"f{i}", "fanout") for i in range(plan.fanouts)]
        self.regions = [f"region{i}" for i in range(min(REGIONS, plan.fanouts))]
        self.subscribers: list[Process] = []
        self.phases: list[tuple[str, float, float]] = []  # name, begin, end (ms, monotonic)
        self.load_times_s: dict[str, float] = {}

    @property
    def processes(self) -> list[Process]:
        return [self.source, *self.fanouts, *self.subscribers]

    async def play(self) -> dict[str, Any]:
        """Starts all processes, runs the steps and returns the figures."""
        try:
            await self._load()
            self.source.order({"changes": True})
            for step in self.steps:
                await getattr(self, f"_{step}")()
            return await self._gather()
        finally:
            for process in self.processes:
                process.signal(signal.SIGCONT)
                await process.close()

    async def _begin(self, process: Process, extra: dict[str, Any]) -> None:
        plan = asdict(self.plan)
        keys = (
            "services",
            "upstreams",
            "subscribers",
            "per",
            "seed",
            "config_per_s",
            "replaced_per_s",
            "gone_after_s",
        )
        await process.start({**{key: plan[key] for key in keys}, **extra})

    async def _load(self) -> None:
        begun = monotonic()
        await self._begin(self.source, {})
        await self._up([self.source])
        at = [["source", *self.source.address]]
        for i, fan in enumerate(self.fanouts):
            await self._begin(fan, {"at": at, "number": i, "count": len(self.fanouts)})
        await self._up(self.fanouts)
        await self._until(
            "fan-out machines",
            lambda: sum(bool(f.rows and f.rows[-1]["ready"]) for f in self.fanouts),
            len(self.fanouts),
            begun,
        )
        self.load_times_s["fanouts_s"] = monotonic() - begun
        batch = self.plan.of_a_process
        publishers = [[f.name, self.regions[i % len(self.regions)]] for i, f in enumerate(self.fanouts)]
        for first in range(0, self.plan.subscribers, batch):
            process = Process(f"p{first // batch}", "subscribers")
            self.subscribers.append(process)
            await self._begin(
                process,
                {
                    "at": [[f.name, *f.address] for f in self.fanouts],
                    "publishers": publishers,
                    "zones": self.regions,
                    "first": first,
                    "many": min(batch, self.plan.subscribers - first),
                },
            )
        await self._up(self.subscribers)
        await self._until("balancers", self._whole, self.plan.subscribers, begun)
        self.load_times_s["all_s"] = monotonic() - begun

    def _whole(self) -> int:
        """Number of subscribers that have received all their scopes."""
        return sum(p.rows[-1]["whole"] for p in self.subscribers if p.rows)

    async def _up(self, processes: list[Process]) -> None:
        """Waits until all of them listen."""
        async with asyncio.timeout(LOAD_TIMEOUT_S):
            for process in processes:
                await process.listens_or_ended.wait()
                if process.has_ended:
                    raise SimulationError(f"{process.name} ended during startup")

    async def _until(self, what: str, count: Callable[[], int], most: int, begun: float) -> None:
        while (found := count()) < most:
            self.report(f"{what}: {found} of {most} are complete, {monotonic() - begun:.0f} s")
            if monotonic() - begun > LOAD_TIMEOUT_S:
                raise SimulationError(
                    f"{what}: only {found} of {most} were complete after {LOAD_TIMEOUT_S:.0f} s"
                )
            await asyncio.sleep(0.2)

    async def _phase(self, name: str, seconds: float, at_start: Callable[[], None] | None = None) -> None:
        """Runs a phase of so many seconds; `at_start` is called once all processes know its name."""
        for process in self.processes:
            process.order({"phase": name})
        begun = monotonic()
        if at_start is not None:
            await asyncio.sleep(min(1.1, seconds / 4))  # each has sent a status row before the action
            at_start()
        while (left := begun + seconds - monotonic()) > 0:
            self.report(f"{name}: {left:.0f} s left")
            await asyncio.sleep(min(0.25, left))
        self.phases.append((name, 1e3 * begun, 1e3 * monotonic()))

    async def _steady(self) -> None:
        await self._phase("steady", self.plan.steady_s)

    async def _without(self, name: str, affected: list[Process], number: int) -> None:
        """A phase in which some processes are stopped or killed by a signal, then one after they continue."""

        def send_signals() -> None:
            for process in affected:
                process.signal(number)

        await self._phase(name, self.plan.fault_s, send_signals)
        for process in affected:
            process.signal(signal.SIGCONT)
        await self._phase(f"after {name}", self.plan.fault_s / 2)

    async def _stopped(self) -> None:
        await self._without("one stopped", self.fanouts[:1], signal.SIGSTOP)

    async def _zone(self) -> None:
        """All fan-out machines of a region stop without notice."""
        await self._without("zone stopped", self.fanouts[1 :: len(self.regions)], signal.SIGSTOP)

    async def _killed(self) -> None:
        count = max(1, len(self.fanouts) // 5)
        await self._without(f"{count} killed", self.fanouts[-count:], signal.SIGKILL)

    async def _restart(self) -> None:
        def restart() -> None:
            for process in self.subscribers:
                process.order({"restart_s": self.plan.restart_s})

        await self._phase("all restarted", self.plan.restart_s + 8.0, restart)

    async def _region(self) -> None:
        """One region is partitioned from all others and the source, then reconnected."""
        cut = self.regions[2 % len(self.regions)]
        inside = self.fanouts[2 % len(self.regions) :: len(self.regions)]

        def set_cut(cut: str) -> None:
            for process in [*inside, *self.subscribers]:
                process.order({"cut": cut})

        await self._phase("region cut", self.plan.cut_s, lambda: set_cut(cut))
        await self._phase("region healed", 12.0, lambda: set_cut(""))

    def _at_rest(self) -> bool:
        """No change is planned, and no running process has a backlog."""
        rows = [p.rows[-1] for p in [self.source, *self.fanouts] if not p.has_ended]
        since = self.phases[-1][1] + 1e3
        return not self.source.rows[-1]["planned"] and all(
            row["t"] > since and row["phase"] == "end" and not row["backlog"] for row in rows
        )

    async def _gather(self) -> dict[str, Any]:
        """Waits until all changes have arrived, ends the processes and returns the figures."""
        self.source.order({"quiet": True})
        await self._phase("end", 1.0)
        begun = monotonic()
        while not self._at_rest():
            if monotonic() - begun > END_TIMEOUT_S:
                raise SimulationError(f"changes were still pending after {END_TIMEOUT_S:.0f} s")
            self.report("waiting for the last changes")
            await asyncio.sleep(0.1)
        self.phases[-1] = ("end", self.phases[-1][1], 1e3 * monotonic())
        for process in self.processes:
            process.order({"end": True})
        self.report("collecting reports")
        async with asyncio.timeout(END_TIMEOUT_S):
            for process in self.processes:
                await process.wait_until_ended()
        return summarize(self)


def quantile(found: list[float], part: float) -> float:
    """The value that this part of the sorted values does not exceed; 0 for none."""
    return found[min(len(found) - 1, int(part * len(found)))] if found else 0.0


def distribution(found: list[float]) -> dict[str, float]:
    """Count, median, 99th percentile and maximum."""
    found = sorted(found)
    return {
        "count": len(found),
        "p50": round(quantile(found, 0.5), 1),
        "p99": round(quantile(found, 0.99), 1),
        "most": round(found[-1], 1) if found else 0.0,
    }


def summarize(run: Run) -> dict[str, Any]:
    """The figures of a run, by phase, in ms where not named otherwise."""
    received: dict[tuple[int, str], list[tuple[int, float]]] = {}
    received_ahead: dict[tuple[int, str, int], float] = {}
    subscribers_of: dict[str, list[int]] = {}
    stale_ms: dict[str, list[float]] = {}
    until_synced_ms: dict[str, list[float]] = {}
    records = held = 0
    for process in run.subscribers:
        last = process.final_report
        records, held = records + last["records"], held + last["held"]
        for number, scope, n, at, ahead in last["took"]:
            if ahead:
                received_ahead.setdefault((number, scope, n), at)
            else:
                received.setdefault((number, scope), []).append((n, at))
        for number, scopes in last["wants"]:
            for scope in scopes:
                subscribers_of.setdefault(scope, []).append(number)
        for phase, found in last["deaf"].items():
            stale_ms.setdefault(phase, []).extend(age for _, age in found)
        for phase, after in last["whole"]:
            until_synced_ms.setdefault(phase, []).append(after)
    for found in received.values():
        found.sort()
    phases: dict[str, Any] = {}
    for name, begun, ended in run.phases:
        waits: dict[str, list[float]] = {}
        never = 0
        changes = [c for c in run.source.final_report["changes"] if begun <= c[2] < ended]
        for n, scope, at, kind in changes:
            for number in subscribers_of.get(scope, ()):
                rows = received.get((number, scope), [])
                later = [t for _, t in rows[bisect_left(rows, (n, 0.0)) :]]
                if (one := received_ahead.get((number, scope, n))) is not None:
                    later.append(one)
                if later:
                    waits.setdefault(kind, []).append(max(0.0, min(later) - at))
                else:
                    never += 1
        every = [w for found in waits.values() for w in found]
        phases[name] = {
            "seconds": round((ended - begun) / 1e3, 1),
            "changes": len(changes),
            "never": never,
            "in_force_ms": distribution(every),
            "over_4_s": sum(w > IN_FORCE_LIMIT_MS for w in every),
            "by_kind_ms": {kind: distribution(found) for kind, found in sorted(waits.items())},
            "deaf_ms": distribution(stale_ms.get(name, [])),
            "until_whole_ms": distribution(until_synced_ms.get(name, [])),
            "source": resource_use([run.source], name),
            "fanout": resource_use(run.fanouts, name),
            "subscriber": resource_use(run.subscribers, name),
        }
    plan = asdict(run.plan)
    subscribers = max(1, run.plan.subscribers)
    return {
        "slopes": slopes(run.plan, phases, held / subscribers),
        "plan": plan,
        "loaded_s": {k: round(v, 1) for k, v in run.load_times_s.items()},
        "records_a_subscriber": round(records / subscribers, 1),
        "held_bytes_a_subscriber": round(held / subscribers),
        "phases": phases,
    }


def slopes(plan: Plan, phases: dict[str, Any], held: float) -> dict[str, list[float]]:
    """Points for the capacity table as [size, value]; each slope has its own unit of size."""
    services = plan.services * plan.per / plan.subscribers
    found = {"scoped_state_bytes": [services, held]}
    if (steady := phases.get("steady")) is not None:
        one, fan, each = steady["subscriber"], steady["fanout"], plan.subscribers / plan.fanouts
        found |= {
            "scoped_cpu_pct": [services, one["cpu_percent"]],
            "scoped_bytes_s": [services, one["bytes_a_second"]],
            "scoped_messages_s": [services, one["words_a_second"]],
            "scoped_in_force_s": [plan.subscribers, steady["in_force_ms"]["p99"] / 1e3],
            "fan_cpu_pct": [each, fan["cpu_percent"]],
            "fan_bytes_s": [each, fan["bytes_a_second"]],
            "fan_messages_s": [each, fan["words_a_second"]],
            "fan_memory_mb": [plan.upstreams, fan["most_mb"]],
        }
    if (restarted := phases.get("all restarted")) is not None:
        found["scoped_return_bytes"] = [
            services,
            restarted["subscriber"]["bytes_a_second"] * restarted["seconds"],
        ]
    stale_ms = [p["deaf_ms"]["most"] for name, p in phases.items() if name.endswith(("killed", "stopped"))]
    if stale_ms:
        found["scoped_deaf_s"] = [plan.subscribers, max(stale_ms) / 1e3]
    found["source_calls_most_s"] = [
        plan.fanouts,
        max((p["source"]["most_calls_a_second"] for p in phases.values()), default=0.0),
    ]
    return found


def resource_use(processes: list[Process], phase: str) -> dict[str, float]:
    """Resources that a role used in a phase: means per instance, and the maximum of one process."""
    cpu = seconds = transferred = calls = messages = moves = 0.0
    most = {
        "mb": 0.0,
        "lag_ms": 0.0,
        "backlog": 0.0,
        "calls_a_second": 0.0,
        "words_a_second": 0.0,
        "cpu_percent": 0.0,
    }
    instances = 0.0
    for process in processes:
        rows = [row for row in process.rows if row["phase"] == phase]
        if len(rows) < 2:
            continue
        count = rows[-1]["subscribers"] if process.role == "subscribers" else 1
        for before, after in pairwise(rows):
            interval_s = max(1e-3, (after["t"] - before["t"]) / 1e3)
            most["calls_a_second"] = max(
                most["calls_a_second"], (after["calls"] - before["calls"]) / interval_s
            )
            most["words_a_second"] = max(
                most["words_a_second"], (after["words"] - before["words"]) / interval_s
            )
            most["cpu_percent"] = max(most["cpu_percent"], 100 * (after["cpu"] - before["cpu"]) / interval_s)
        for row in rows:
            most["mb"] = max(most["mb"], row["mb"])
            most["lag_ms"] = max(most["lag_ms"], row["lag_ms"])
            most["backlog"] = max(most["backlog"], row.get("backlog", 0))
        interval_s = (rows[-1]["t"] - rows[0]["t"]) / 1e3
        seconds += interval_s * count
        instances += count
        cpu += rows[-1]["cpu"] - rows[0]["cpu"]
        transferred += rows[-1]["in"] + rows[-1]["out"] - rows[0]["in"] - rows[0]["out"]
        calls += rows[-1]["calls"] - rows[0]["calls"]
        messages += rows[-1]["words"] - rows[0]["words"] + rows[-1]["said"] - rows[0]["said"]
        moves += rows[-1].get("moves", 0) - rows[0].get("moves", 0)
    seconds = max(seconds, 1e-3)
    return {
        "cpu_percent": round(100 * cpu / seconds, 4),
        "bytes_a_second": round(transferred / seconds, 1),
        "words_a_second": round(messages / seconds, 2),
        "calls_a_second": round(calls / seconds, 3),
        "moves": moves,
        "processes": len(processes),
        **{f"most_{k}": round(v, 1) for k, v in most.items()},
    }


def table(found: dict[str, Any]) -> str:
    """The figures of a run as text."""
    plan = found["plan"]
    lines = [
        f"{plan['subscribers']} balancers, {plan['fanouts']} fan-out machines, "
        f"{plan['services']} services, {plan['upstreams']} upstreams; "
        f"{found['records_a_subscriber']:.0f} records a balancer; all loaded after "
        f"{found['loaded_s']['all_s']:.0f} s"
    ]
    for name, phase in found["phases"].items():
        force, no_data = phase["in_force_ms"], phase["deaf_ms"]
        lines.append(
            f"{name:14} {phase['changes']:4} changes, in force p50 {force['p50']:.0f} p99 {force['p99']:.0f} "
            f"most {force['most']:.0f} ms (never {phase['never']}, over 4 s {phase['over_4_s']}); no data "
            f"p50 {no_data['p50']:.0f} p99 {no_data['p99']:.0f} most {no_data['most']:.0f} ms"
        )
        for role in ("subscriber", "fanout", "source"):
            one = phase[role]
            lines.append(
                f"  {role:12} {one['cpu_percent']:8.3f}% of a core, {one['bytes_a_second']:9.0f} bytes/s, "
                f"most: {one['most_calls_a_second']:.0f} calls/s, backlog {one['most_backlog']:.0f}, "
                f"{one['most_mb']:.0f} MB, lag {one['most_lag_ms']:.0f} ms; moves {one['moves']:.0f}"
            )
        if phase["until_whole_ms"]["count"]:
            one = phase["until_whole_ms"]
            lines.append(
                f"  from a restart until synced: p50 {one['p50']:.0f} p99 {one['p99']:.0f} most "
                f"{one['most']:.0f} ms ({one['count']})"
            )
    return "\n".join(lines)


def plot(found: list[dict[str, Any]], to: Path) -> None:
    """Plots times from change to in force and without data, by phase, one bar for each run."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(2, 1, figsize=(10, 8), constrained_layout=True)
    names = list(dict.fromkeys(name for one in found for name in one["phases"]))
    bar_width = 0.8 / len(found)
    for i, one in enumerate(found):
        label = f"{one['plan']['subscribers']} balancers, {one['plan']['upstreams']} upstreams"
        for axis, key in zip(axes, ("in_force_ms", "deaf_ms"), strict=True):
            shown = [n for n in names if n in one["phases"]]
            places = [names.index(n) + i * bar_width for n in shown]
            axis.bar(
                places, [one["phases"][n][key]["most"] for n in shown], bar_width, alpha=0.35, color=f"C{i}"
            )
            axis.bar(
                places, [one["phases"][n][key]["p99"] for n in shown], bar_width, color=f"C{i}", label=label
            )
    for axis, title in zip(axes, ("from a change to in force", "longest without data"), strict=True):
        axis.set_title(f"{title}: p99 (solid) and maximum (pale), ms")
        axis.set_xticks(range(len(names)), names, rotation=20)
        axis.axhline(IN_FORCE_LIMIT_MS, color="black", linestyle=":")
        axis.set_yscale("symlog", linthresh=10)
        axis.legend()
    figure.savefig(to)
    pyplot.close(figure)


@click.command(name="scopes")
@click.option("--subscribers", default=7_000, show_default=True, help="Simulated balancers.")
@click.option("--fanouts", default=20, show_default=True, help="Machines that forward changes.")
@click.option("--services", default=6_700, show_default=True)
@click.option("--upstreams", default=200_000, show_default=True)
@click.option("--per", default=12, show_default=True, help="Balancers that serve a service.")
@click.option("--steps", default="steady", show_default=True, help=f"Of {', '.join(STEPS)}, comma-separated.")
@click.option("--steady", "steady_s", default=30.0, show_default=True, help="s without faults.")
@click.option("--seed", default=1, show_default=True)
@click.option("--json", "to", type=click.Path(dir_okay=False, path_type=Path), help="Figures, as JSON.")
@click.option("--plot", "picture", type=click.Path(dir_okay=False, path_type=Path), help="A picture (PNG).")
def scopes(
    subscribers: int,
    fanouts: int,
    services: int,
    upstreams: int,
    per: int,
    steps: str,
    steady_s: float,
    seed: int,
    to: Path | None,
    picture: Path | None,
) -> None:
    """Scoped subscriptions at size: simulated balancers behind fan-out machines, changes and faults.

    Status 1 if a change was never in force somewhere, 2 for a wrong option, 3 if the run failed.
    """
    from rich.console import Console

    plan = Plan(
        subscribers=subscribers,
        fanouts=fanouts,
        services=services,
        upstreams=upstreams,
        per=per,
        steady_s=steady_s,
        seed=seed,
    )
    wanted = [step for step in steps.split(",") if step]
    wrong = [step for step in wanted if step not in STEPS]
    if wrong or min(subscribers, fanouts, services, upstreams, per) < 1:
        click.echo(
            f"ospreyline: --steps: {wrong[0]} is not one of {', '.join(STEPS)}"
            if wrong
            else "ospreyline: sizes must be 1 or more",
            err=True,
        )
        sys.exit(2)
    console = Console(stderr=True)
    try:
        with console.status("starting") as status:
            found = asyncio.run(Run(plan, wanted, status.update).play())
    except (SimulationError, OSError, TimeoutError) as error:
        click.echo(f"ospreyline: {error or 'timed out'}", err=True)
        sys.exit(3)
    click.echo(table(found))
    if to is not None:
        to.write_bytes(msgspec.json.format(msgspec.json.encode(found)) + b"\n")
    if picture is not None:
        plot([found], picture)
    sys.exit(1 if any(phase["never"] for phase in found["phases"].values()) else 0)


if __name__ == "__main__":
    scopes()
