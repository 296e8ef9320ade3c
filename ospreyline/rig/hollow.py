"""`ospreyline rig scale scopes`: hollow balancers, fan-out machines and a source, at the size of the plan.

This side starts the processes (`ospreyline.fleet.hollow`), gives the orders of a phase, and judges by what
the source says that it changed and what each balancer says that it took. It knows nothing of the protocol.
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
ALLOWED = 4_000.0  # ms from a change to in force
OF_A_PROCESS = 500  # hollow balancers
REGIONS = 5
STEPS = ("steady", "stopped", "killed", "zone", "restart", "region")
LOAD_S = 150.0  # after which a run that is not loaded is given up
END_S = 60.0


@dataclass(slots=True)
class Plan:
    """What is run."""

    subscribers: int = 7_000
    fanouts: int = 20
    services: int = 6_700
    upstreams: int = 200_000
    per: int = 12  # balancers of a service
    seed: int = 1
    config_per_s: float = 59_000 / 86_400
    replaced_per_s: float = 77_000 / 86_400
    steady_s: float = 30.0
    fault_s: float = 12.0
    restart_s: float = 60.0
    cut_s: float = 20.0
    gone_after_s: float = 3.0  # from a drain to the end, and the one that comes in its place
    of_a_process: int = OF_A_PROCESS


class HollowError(Exception):
    """A run that could not be carried out; one line."""


class Process:
    """One process of the run."""

    def __init__(self, name: str, role: str) -> None:
        self.name, self.role = name, role
        self.rows: list[dict[str, Any]] = []  # one a second
        self.last: dict[str, Any] = {}
        self.heard = asyncio.Event()
        self.at: tuple[str, int] = ("", 0)
        self.gone = False
        self._proc: asyncio.subprocess.Process | None = None
        self._reader: asyncio.Task[None] | None = None

    async def start(self, what: dict[str, Any]) -> None:
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
        self.order({"name": self.name, "role": self.role, **what})
        self._reader = asyncio.get_running_loop().create_task(self._read())

    async def _read(self) -> None:
        assert self._proc is not None and self._proc.stdout is not None
        while line := await self._proc.stdout.readline():
            said = msgspec.json.decode(line)
            if "status" in said:
                self.rows.append(said)
            elif "listens" in said:
                self.at = (said["host"], said["port"])
                self.heard.set()
            else:
                self.last = said
        self.gone = True
        self.heard.set()

    def order(self, what: dict[str, Any]) -> None:
        assert self._proc is not None and self._proc.stdin is not None
        if not self.gone:
            self._proc.stdin.write(msgspec.json.encode(what) + b"\n")

    def signal(self, number: int) -> None:
        if self._proc is not None and self._proc.returncode is None:
            self._proc.send_signal(number)

    async def ended(self) -> None:
        if self._reader is not None:
            await self._reader

    async def close(self) -> None:
        if self._proc is not None and self._proc.returncode is None:
            self._proc.kill()
            await self._proc.wait()


class Run:
    """One run; `say` is told where it is."""

    def __init__(self, plan: Plan, steps: list[str], say: Callable[[str], None]) -> None:
        self.plan, self.steps, self.say = plan, steps, say
        self.source = Process("source", "source")
        self.fans = [Process(f"f{i}", "fanout") for i in range(plan.fanouts)]
        self.regions = [f"region{i}" for i in range(min(REGIONS, plan.fanouts))]
        self.subs: list[Process] = []
        self.spans: list[tuple[str, float, float]] = []
        self.loaded: dict[str, float] = {}

    @property
    def all(self) -> list[Process]:
        return [self.source, *self.fans, *self.subs]

    async def play(self) -> dict[str, Any]:
        try:
            await self._load()
            self.source.order({"changes": True})
            for step in self.steps:
                await getattr(self, f"_{step}")()
            return await self._gather()
        finally:
            for process in self.all:
                process.signal(signal.SIGCONT)
                await process.close()

    async def _begin(self, process: Process, what: dict[str, Any]) -> None:
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
        await process.start({**{key: plan[key] for key in keys}, **what})

    async def _load(self) -> None:
        begun = monotonic()
        await self._begin(self.source, {})
        await self._up([self.source])
        at = [["source", *self.source.at]]
        for i, fan in enumerate(self.fans):
            await self._begin(fan, {"at": at, "number": i, "count": len(self.fans)})
        await self._up(self.fans)
        await self._until(
            "fan-out machines",
            lambda: sum(bool(f.rows and f.rows[-1]["ready"]) for f in self.fans),
            len(self.fans),
            begun,
        )
        self.loaded["fanouts_s"] = monotonic() - begun
        many = self.plan.of_a_process
        publishers = [[f.name, self.regions[i % len(self.regions)]] for i, f in enumerate(self.fans)]
        for first in range(0, self.plan.subscribers, many):
            process = Process(f"p{first // many}", "subscribers")
            self.subs.append(process)
            await self._begin(
                process,
                {
                    "at": [[f.name, *f.at] for f in self.fans],
                    "publishers": publishers,
                    "zones": self.regions,
                    "first": first,
                    "many": min(many, self.plan.subscribers - first),
                },
            )
        await self._up(self.subs)
        await self._until("balancers", self._whole, self.plan.subscribers, begun)
        self.loaded["all_s"] = monotonic() - begun

    def _whole(self) -> int:
        return sum(p.rows[-1]["whole"] for p in self.subs if p.rows)

    async def _up(self, processes: list[Process]) -> None:
        async with asyncio.timeout(LOAD_S):
            for process in processes:
                await process.heard.wait()
                if process.gone:
                    raise HollowError(f"{process.name} ended at its start")

    async def _until(self, what: str, count: Callable[[], int], most: int, begun: float) -> None:
        while (found := count()) < most:
            self.say(f"{what}: {found} of {most} have all, {monotonic() - begun:.0f} s")
            if monotonic() - begun > LOAD_S:
                raise HollowError(f"{what}: {found} of {most} had all after {LOAD_S:.0f} s")
            await asyncio.sleep(0.2)

    async def _phase(self, name: str, seconds: float, then: Callable[[], None] | None = None) -> None:
        """So many seconds under this name; `then` is done once all know of it."""
        for process in self.all:
            process.order({"phase": name})
        begun = monotonic()
        if then is not None:
            await asyncio.sleep(min(1.1, seconds / 4))  # each has said once how it stood before
            then()
        while (left := begun + seconds - monotonic()) > 0:
            self.say(f"{name}: {left:.0f} s left")
            await asyncio.sleep(min(0.25, left))
        self.spans.append((name, 1e3 * begun, 1e3 * monotonic()))

    async def _steady(self) -> None:
        await self._phase("steady", self.plan.steady_s)

    async def _without(self, name: str, lost: list[Process], number: int) -> None:
        """Some are stopped or killed as the phase begins; what was stopped goes on after it, and is heard."""

        def lose() -> None:
            for process in lost:
                process.signal(number)

        await self._phase(name, self.plan.fault_s, lose)
        for process in lost:
            process.signal(signal.SIGCONT)
        await self._phase(f"after {name}", self.plan.fault_s / 2)

    async def _stopped(self) -> None:
        await self._without("one stopped", self.fans[:1], signal.SIGSTOP)

    async def _zone(self) -> None:
        """All fan-out machines of a region, without a word."""
        await self._without("zone stopped", self.fans[1 :: len(self.regions)], signal.SIGSTOP)

    async def _killed(self) -> None:
        count = max(1, len(self.fans) // 5)
        await self._without(f"{count} killed", self.fans[-count:], signal.SIGKILL)

    async def _restart(self) -> None:
        def restart() -> None:
            for process in self.subs:
                process.order({"restart_s": self.plan.restart_s})

        await self._phase("all restarted", self.plan.restart_s + 8.0, restart)

    async def _region(self) -> None:
        """One region is cut off from all others and the source, then healed."""
        cut = self.regions[2 % len(self.regions)]
        inside = self.fans[2 % len(self.regions) :: len(self.regions)]

        def become(cut: str) -> None:
            for process in [*inside, *self.subs]:
                process.order({"cut": cut})

        await self._phase("region cut", self.plan.cut_s, lambda: become(cut))
        await self._phase("region healed", 12.0, lambda: become(""))

    def _at_rest(self) -> bool:
        """Nothing is to come, and nobody who lives is behind."""
        rows = [p.rows[-1] for p in [self.source, *self.fans] if not p.gone]
        since = self.spans[-1][1] + 1e3
        return not self.source.rows[-1]["planned"] and all(
            row["t"] > since and row["phase"] == "end" and not row["backlog"] for row in rows
        )

    async def _gather(self) -> dict[str, Any]:
        self.source.order({"quiet": True})
        await self._phase("end", 1.0)
        begun = monotonic()
        while not self._at_rest():
            if monotonic() - begun > END_S:
                raise HollowError(f"changes were still on their way after {END_S:.0f} s")
            self.say("the last changes")
            await asyncio.sleep(0.1)
        self.spans[-1] = ("end", self.spans[-1][1], 1e3 * monotonic())
        for process in self.all:
            process.order({"end": True})
        self.say("gathering")
        async with asyncio.timeout(END_S):
            for process in self.all:
                await process.ended()
        return judge(self)


def share(found: list[float], part: float) -> float:
    """That part of them is not above this; 0 of none."""
    return found[min(len(found) - 1, int(part * len(found)))] if found else 0.0


def spread(found: list[float]) -> dict[str, float]:
    found = sorted(found)
    return {
        "count": len(found),
        "p50": round(share(found, 0.5), 1),
        "p99": round(share(found, 0.99), 1),
        "most": round(found[-1], 1) if found else 0.0,
    }


def judge(run: Run) -> dict[str, Any]:
    """Figures by phase."""
    took: dict[tuple[int, str], list[tuple[int, float]]] = {}
    exact: dict[tuple[int, str, int], float] = {}
    wanting: dict[str, list[int]] = {}
    deaf: dict[str, list[float]] = {}
    whole: dict[str, list[float]] = {}
    records = held = 0
    for process in run.subs:
        last = process.last
        records, held = records + last["records"], held + last["held"]
        for number, scope, n, at, ahead in last["took"]:
            if ahead:
                exact.setdefault((number, scope, n), at)
            else:
                took.setdefault((number, scope), []).append((n, at))
        for number, scopes in last["wants"]:
            for scope in scopes:
                wanting.setdefault(scope, []).append(number)
        for phase, found in last["deaf"].items():
            deaf.setdefault(phase, []).extend(age for _, age in found)
        for phase, after in last["whole"]:
            whole.setdefault(phase, []).append(after)
    for found in took.values():
        found.sort()
    phases: dict[str, Any] = {}
    for name, begun, ended in run.spans:
        waits: dict[str, list[float]] = {}
        never = 0
        changes = [c for c in run.source.last["changes"] if begun <= c[2] < ended]
        for n, scope, at, kind in changes:
            for number in wanting.get(scope, ()):
                rows = took.get((number, scope), [])
                later = [t for _, t in rows[bisect_left(rows, (n, 0.0)) :]]
                if (one := exact.get((number, scope, n))) is not None:
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
            "in_force_ms": spread(every),
            "over_4_s": sum(w > ALLOWED for w in every),
            "by_kind_ms": {kind: spread(found) for kind, found in sorted(waits.items())},
            "deaf_ms": spread(deaf.get(name, [])),
            "until_whole_ms": spread(whole.get(name, [])),
            "source": used([run.source], name),
            "fanout": used(run.fans, name),
            "subscriber": used(run.subs, name),
        }
    plan = asdict(run.plan)
    subscribers = max(1, run.plan.subscribers)
    return {
        "slopes": slopes(run.plan, phases, held / subscribers),
        "plan": plan,
        "loaded_s": {k: round(v, 1) for k, v in run.loaded.items()},
        "records_a_subscriber": round(records / subscribers, 1),
        "held_bytes_a_subscriber": round(held / subscribers),
        "phases": phases,
    }


def slopes(plan: Plan, phases: dict[str, Any], held: float) -> dict[str, list[float]]:
    """Points for the table of capacity, as (size, figure): each by its own unit of size."""
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
    deaf = [p["deaf_ms"]["most"] for name, p in phases.items() if name.endswith(("killed", "stopped"))]
    if deaf:
        found["scoped_deaf_s"] = [plan.subscribers, max(deaf) / 1e3]
    found["source_calls_most_s"] = [
        plan.fanouts,
        max((p["source"]["most_calls_a_second"] for p in phases.values()), default=0.0),
    ]
    return found


def used(processes: list[Process], phase: str) -> dict[str, float]:
    """What one of a role used in a phase: means over all, and the most of one second of one process."""
    cpu = seconds = went = calls = words = moves = 0.0
    most = {
        "mb": 0.0,
        "lag_ms": 0.0,
        "backlog": 0.0,
        "calls_a_second": 0.0,
        "words_a_second": 0.0,
        "cpu_percent": 0.0,
    }
    ones = 0.0
    for process in processes:
        rows = [row for row in process.rows if row["phase"] == phase]
        if len(rows) < 2:
            continue
        count = rows[-1]["subscribers"] if process.role == "subscribers" else 1
        for before, after in pairwise(rows):
            apart = max(1e-3, (after["t"] - before["t"]) / 1e3)
            most["calls_a_second"] = max(most["calls_a_second"], (after["calls"] - before["calls"]) / apart)
            most["words_a_second"] = max(most["words_a_second"], (after["words"] - before["words"]) / apart)
            most["cpu_percent"] = max(most["cpu_percent"], 100 * (after["cpu"] - before["cpu"]) / apart)
        for row in rows:
            most["mb"] = max(most["mb"], row["mb"])
            most["lag_ms"] = max(most["lag_ms"], row["lag_ms"])
            most["backlog"] = max(most["backlog"], row.get("backlog", 0))
        apart = (rows[-1]["t"] - rows[0]["t"]) / 1e3
        seconds += apart * count
        ones += count
        cpu += rows[-1]["cpu"] - rows[0]["cpu"]
        went += rows[-1]["in"] + rows[-1]["out"] - rows[0]["in"] - rows[0]["out"]
        calls += rows[-1]["calls"] - rows[0]["calls"]
        words += rows[-1]["words"] - rows[0]["words"] + rows[-1]["said"] - rows[0]["said"]
        moves += rows[-1].get("moves", 0) - rows[0].get("moves", 0)
    seconds = max(seconds, 1e-3)
    return {
        "cpu_percent": round(100 * cpu / seconds, 4),
        "bytes_a_second": round(went / seconds, 1),
        "words_a_second": round(words / seconds, 2),
        "calls_a_second": round(calls / seconds, 3),
        "moves": moves,
        "processes": len(processes),
        **{f"most_{k}": round(v, 1) for k, v in most.items()},
    }


def table(found: dict[str, Any]) -> str:
    """The figures of a run in lines."""
    plan = found["plan"]
    lines = [
        f"{plan['subscribers']} balancers, {plan['fanouts']} fan-out machines, "
        f"{plan['services']} services, {plan['upstreams']} upstreams; "
        f"{found['records_a_subscriber']:.0f} records a balancer; all had all after "
        f"{found['loaded_s']['all_s']:.0f} s"
    ]
    for name, phase in found["phases"].items():
        force, deaf = phase["in_force_ms"], phase["deaf_ms"]
        lines.append(
            f"{name:14} {phase['changes']:4} changes, in force p50 {force['p50']:.0f} p99 {force['p99']:.0f} "
            f"most {force['most']:.0f} ms (never {phase['never']}, over 4 s {phase['over_4_s']}); deaf p50 "
            f"{deaf['p50']:.0f} p99 {deaf['p99']:.0f} most {deaf['most']:.0f} ms"
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
                f"  from a restart to all held: p50 {one['p50']:.0f} p99 {one['p99']:.0f} most "
                f"{one['most']:.0f} ms ({one['count']})"
            )
    return "\n".join(lines)


def plot(found: list[dict[str, Any]], to: Path) -> None:
    """Times from a change to in force, and deafness, by phase, one bar a run."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(2, 1, figsize=(10, 8), constrained_layout=True)
    names = list(dict.fromkeys(name for one in found for name in one["phases"]))
    wide = 0.8 / len(found)
    for i, one in enumerate(found):
        label = f"{one['plan']['subscribers']} balancers, {one['plan']['upstreams']} upstreams"
        for axis, key in zip(axes, ("in_force_ms", "deaf_ms"), strict=True):
            shown = [n for n in names if n in one["phases"]]
            places = [names.index(n) + i * wide for n in shown]
            axis.bar(places, [one["phases"][n][key]["most"] for n in shown], wide, alpha=0.35, color=f"C{i}")
            axis.bar(places, [one["phases"][n][key]["p99"] for n in shown], wide, color=f"C{i}", label=label)
    for axis, title in zip(axes, ("from a change to in force", "longest without news"), strict=True):
        axis.set_title(f"{title}: p99 (full) and the most (pale), ms")
        axis.set_xticks(range(len(names)), names, rotation=20)
        axis.axhline(ALLOWED, color="black", linestyle=":")
        axis.set_yscale("symlog", linthresh=10)
        axis.legend()
    figure.savefig(to)
    pyplot.close(figure)


@click.command(name="scopes")
@click.option("--subscribers", default=7_000, show_default=True, help="Hollow balancers.")
@click.option("--fanouts", default=20, show_default=True, help="Machines that pass on.")
@click.option("--services", default=6_700, show_default=True)
@click.option("--upstreams", default=200_000, show_default=True)
@click.option("--per", default=12, show_default=True, help="Balancers that serve a service.")
@click.option("--steps", default="steady", show_default=True, help=f"Of {', '.join(STEPS)}, with commas.")
@click.option("--steady", "steady_s", default=30.0, show_default=True, help="s without a fault.")
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
    """Scoped subscriptions at size: hollow balancers behind fan-out machines, changes and faults.

    Status 1 if a change was never in force somewhere, 2 at a wrong option, 3 if the run could not be had.
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
            f"ospreyline: --steps: {wrong[0]} is none of {', '.join(STEPS)}"
            if wrong
            else "ospreyline: sizes are 1 or more",
            err=True,
        )
        sys.exit(2)
    console = Console(stderr=True)
    try:
        with console.status("starting") as status:
            found = asyncio.run(Run(plan, wanted, status.update).play())
    except (HollowError, OSError, TimeoutError) as error:
        click.echo(f"ospreyline: {error or 'it took too long'}", err=True)
        sys.exit(3)
    click.echo(table(found))
    if to is not None:
        to.write_bytes(msgspec.json.format(msgspec.json.encode(found)) + b"\n")
    if picture is not None:
        plot([found], picture)
    sys.exit(1 if any(phase["never"] for phase in found["phases"].values()) else 0)


if __name__ == "__main__":
    scopes()
