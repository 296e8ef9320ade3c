"""How long processes that start at once take from exec until they are ready, and what of it is their own.

`serve` by its command line, unmodified, and the stand-in list service, in one of these states:

- up: calls are answered at once; slow: so many a second that all have theirs after 5 s;
- hang: calls are taken, and nothing is said; down: connections are refused;
- back: down for the first 4 s, then up.
"""

from __future__ import annotations

import asyncio
import os
import signal
import sys
from compileall import compile_dir
from contextlib import suppress
from dataclasses import dataclass
from math import ceil, inf
from pathlib import Path
from time import monotonic
from typing import Any

import msgspec

from ospreyline.rig import scenario as scenarios
from ospreyline.rig.run import ROOT, Process, configuration

STATES = ("up", "slow", "hang", "down", "back")
SLOW, BACK = 5.0, 4.0  # s until the slow one has answered all; that the list service is down for
LOOK = 0.05  # s between two looks at a process
TICKS = os.sysconf("SC_CLK_TCK")


@dataclass(slots=True)
class Start:
    """One process: s from its exec until it serves and is ready, and its processor time until then."""

    serving: float = inf
    ready: float = inf
    busy: float = 0.0


def share(times: list[float], part: float) -> float:
    """The time within which so large a part of them was there."""
    return sorted(times)[max(0, ceil(part * len(times)) - 1)]


def line(state: str, starts: list[Start]) -> str:
    """The figures of one run."""
    text = f"{state:>5} {len(starts):4}"
    for name, times in (("serving", [s.serving for s in starts]), ("ready", [s.ready for s in starts])):
        text += f"  {name} {share(times, 0.5):6.2f} {share(times, 0.9):6.2f} {max(times):6.2f}"
    return f"{text}  processor {sum(s.busy for s in starts) / len(starts):5.2f}"


HEADER = "s from exec: half, nine in ten, all; processor time, mean"


def busy(pid: int) -> float:
    """Processor time of a process so far, s."""
    with suppress(OSError):
        fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
        return (int(fields[11]) + int(fields[12])) / TICKS
    return 0.0


async def _watch(command: list[str], errors: Path, start: Start, until: float) -> None:
    """Start one, look until it is ready, end it."""
    began = monotonic()
    with errors.open("ab") as log:
        process = await asyncio.create_subprocess_exec(
            *command, stdin=asyncio.subprocess.DEVNULL, stdout=asyncio.subprocess.PIPE, stderr=log, cwd=ROOT
        )
    assert process.stdout is not None
    reading: asyncio.Task[bytes] | None = None
    try:
        async with asyncio.timeout_at(until):
            while said := await process.stdout.readline():
                if (news := msgspec.json.decode(said))["event"] == "serving":
                    break
            else:
                return
            start.serving = monotonic() - began
            reading = asyncio.ensure_future(process.stdout.read())
            host, _, port = str(news["listen"]).rpartition(":")
            reader, writer = await asyncio.open_connection(host, int(port))
            while True:
                writer.write(b"GET /health/ready HTTP/1.1\r\nHost: x\r\n\r\n")
                head = await reader.readuntil(b"\r\n\r\n")
                if b" 200 " in head.partition(b"\r\n")[0]:
                    start.ready = monotonic() - began
                    start.busy = busy(process.pid)
                    break
                await reader.readuntil(b"\n")  # the body, one line
                await asyncio.sleep(LOOK)
            writer.close()
    except (TimeoutError, OSError, asyncio.IncompleteReadError):
        start.busy = start.busy or busy(process.pid)
    finally:
        with suppress(ProcessLookupError):
            process.kill()
        await process.wait()
        if reading is not None:
            await reading


async def _measure(
    count: int,
    state: str,
    known: bool,
    pushed: bool,
    must_ask_s: float,
    seconds: float,
    seed: int,
    out: Path,
    back: float,
) -> list[Start]:
    await asyncio.to_thread(compile_dir, f"{ROOT}/ospreyline", quiet=2)  # as the deployment's build does
    entries = [{"uid": f"s{i}", "machine": i, "az": "", "state": "active", "boot_ms": 0} for i in range(3)]
    at_all = {str(entry["machine"]): f"127.0.0.1:{9 + i}" for i, entry in enumerate(entries)}
    service = Process("list-0", lambda part, news: None)
    waiting = asyncio.ensure_future(service.said("listening", seconds))
    await asyncio.sleep(0)  # its future stands before the process can speak
    try:
        await service.start(
            "registry",
            {
                "origin": monotonic() * 1e3,
                "seed": seed,
                "rows": str(out / "rows.jsonl"),
                "listen": "127.0.0.1",
                "named": {},
                "entries": entries,
                "endpoints": {"": at_all},
                "calls_per_s": count / SLOW if state == "slow" else 0.0,
                "queue": 4 * count,
                "retry_after_s": 0.0,
                "period_ms": 10.0,
            },
            out / "list.log",
        )
        at = (await waiting)["at"]
        down = {"do": "fault", "kind": "registry-hang" if state == "hang" else "registry-down"}
        if state in ("hang", "down", "back"):
            await service.order(**down, on=1)
        scenario = scenarios.load("quiet")
        targets = [{**entry, "endpoint": at_all[str(entry["machine"])]} for entry in entries if known]
        listed = {"rev": int(known), "all": True, "targets": targets}
        starts, until = [Start() for _ in range(count)], asyncio.get_running_loop().time() + seconds
        tasks = []
        for number, start in enumerate(starts):
            told = configuration(
                scenario, number, "127.0.0.1:0", "{}:{}".format(*at), seed * 1009 + number, listed
            )
            told["settings"] |= {"Balancers": count, "Discovery": "push" if pushed else "ask"}
            told["settings"]["Invariants"]["MustAskInUs"] = 1e6 * must_ask_s
            file = out / f"b{number}.json"
            file.write_bytes(msgspec.json.encode(told))
            command = [sys.executable, "-m", "ospreyline", "serve", str(file)]
            tasks.append(asyncio.create_task(_watch(command, out / f"b{number}.log", start, until)))
        try:
            if state == "back":
                await asyncio.sleep(back)
                await service.order(**down, on=-1)
            await asyncio.gather(*tasks)
        finally:
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)
        return starts
    finally:
        await service.end()


async def _ended_by_signals(call: Any) -> list[Start]:
    task = asyncio.ensure_future(call)
    for number in (signal.SIGINT, signal.SIGTERM):
        asyncio.get_running_loop().add_signal_handler(number, task.cancel)
    found: list[Start] = await task
    return found


def measure(
    count: int,
    state: str,
    out: Path,
    known: bool = True,
    pushed: bool = False,
    must_ask_s: float = 10.0,
    seconds: float = 30.0,
    seed: int = 1,
    back: float = BACK,
) -> list[Start]:
    """Start so many at once; each gets `seconds` at the most."""
    return asyncio.run(
        _ended_by_signals(_measure(count, state, known, pushed, must_ask_s, seconds, seed, out, back))
    )
