"""Measures how long processes that start together take from exec to ready, and their own processor time.

Runs `serve` by its command line, unmodified, with the stand-in list service in one of these states:

- up: calls are answered at once; slow: at a rate that answers all calls within 5 s;
- hang: calls are accepted but never answered; down: connections are refused;
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
SLOW_S = 5.0  # until the slow list service has answered all calls
BACK_S = 4.0  # for which the list service is down in state "back"
READY_POLL_S = 0.05
CLOCK_TICKS_PER_S = os.sysconf("SC_CLK_TCK")


@dataclass(slots=True)
class Start:
    """One process: seconds from exec until it serves and until it is ready, and its processor time."""

    serving: float = inf
    ready: float = inf
    cpu_s: float = 0.0


def share(times: list[float], part: float) -> float:
    """The time within which this part of them was reached."""
    return sorted(times)[max(0, ceil(part * len(times)) - 1)]


def line(state: str, starts: list[Start]) -> str:
    """The figures of one run as a line of text."""
    text = f"{state:>5} {len(starts):4}"
    for name, times in (("serving", [s.serving for s in starts]), ("ready", [s.ready for s in starts])):
        text += f"  {name} {share(times, 0.5):6.2f} {share(times, 0.9):6.2f} {max(times):6.2f}"
    return f"{text}  processor {sum(s.cpu_s for s in starts) / len(starts):5.2f}"


HEADER = "s from exec: half, nine in ten, all; processor time, mean"


def cpu_seconds(pid: int) -> float:
    """Processor time of a process so far, in s; 0 if it is gone."""
    with suppress(OSError):
        fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
        return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS_PER_S
    return 0.0


async def _start_and_wait(command: list[str], errors: Path, start: Start, until: float) -> None:
    """Starts one process, polls until it is ready or `until` (loop time), then ends it."""
    begun = monotonic()
    with errors.open("ab") as log:
        process = await asyncio.create_subprocess_exec(
            *command, stdin=asyncio.subprocess.DEVNULL, stdout=asyncio.subprocess.PIPE, stderr=log, cwd=ROOT
        )
    assert process.stdout is not None
    reading: asyncio.Task[bytes] | None = None
    try:
        async with asyncio.timeout_at(until):
            while logged := await process.stdout.readline():
                if (event := msgspec.json.decode(logged))["event"] == "serving":
                    break
            else:
                return
            start.serving = monotonic() - begun
            reading = asyncio.ensure_future(process.stdout.read())
            host, _, port = str(event["listen"]).rpartition(":")
            reader, writer = await asyncio.open_connection(host, int(port))
            while True:
                writer.write(b"GET /health/ready HTTP/1.1\r\nHost: x\r\n\r\n")
                head = await reader.readuntil(b"\r\n\r\n")
                if b" 200 " in head.partition(b"\r\n")[0]:
                    start.ready = monotonic() - begun
                    start.cpu_s = cpu_seconds(process.pid)
                    break
                await reader.readuntil(b"\n")  # the body, one line
                await asyncio.sleep(READY_POLL_S)
            writer.close()
    except (TimeoutError, OSError, asyncio.IncompleteReadError):
        start.cpu_s = start.cpu_s or cpu_seconds(process.pid)
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
    await asyncio.to_thread(compile_dir, f"{ROOT}/ospreyline", quiet=2)  # as the build of a deployment does
    entries = [{"uid": f"s{i}", "machine": i, "az": "", "state": "active", "boot_ms": 0} for i in range(3)]
    endpoints = {str(entry["machine"]): f"127.0.0.1:{9 + i}" for i, entry in enumerate(entries)}
    service = Process("list-0", lambda part, news: None)
    waiting = asyncio.ensure_future(service.wait_for_message("listening", seconds))
    await asyncio.sleep(0)  # so that it is registered before the process sends anything
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
                "endpoints": {"": endpoints},
                "calls_per_s": count / SLOW_S if state == "slow" else 0.0,
                "queue": 4 * count,
                "retry_after_s": 0.0,
                "period_ms": 10.0,
            },
            out / "list.log",
        )
        at = (await waiting)["at"]
        fault = {"do": "fault", "kind": "registry-hang" if state == "hang" else "registry-down"}
        if state in ("hang", "down", "back"):
            await service.order(**fault, on=1)
        scenario = scenarios.load("quiet")
        targets = [{**entry, "endpoint": endpoints[str(entry["machine"])]} for entry in entries if known]
        known_list = {"rev": int(known), "all": True, "targets": targets}
        starts, until = [Start() for _ in range(count)], asyncio.get_running_loop().time() + seconds
        tasks = []
        for number, start in enumerate(starts):
            config = configuration(
                scenario, number, "127.0.0.1:0", "{}:{}".format(*at), seed * 1009 + number, known_list
            )
            config["settings"] |= {"Balancers": count, "Discovery": "push" if pushed else "ask"}
            config["settings"]["Invariants"]["MustAskInUs"] = 1e6 * must_ask_s
            file = out / f"b{number}.json"
            file.write_bytes(msgspec.json.encode(config))
            command = [sys.executable, "-m", "ospreyline", "serve", str(file)]
            tasks.append(asyncio.create_task(_start_and_wait(command, out / f"b{number}.log", start, until)))
        try:
            if state == "back":
                await asyncio.sleep(back)
                await service.order(**fault, on=-1)
            await asyncio.gather(*tasks)
        finally:
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)
        return starts
    finally:
        await service.end()


async def _cancel_on_signals(call: Any) -> list[Start]:
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
    back: float = BACK_S,
) -> list[Start]:
    """Starts `count` processes at once; each gets at most `seconds`.

    Logs go to `out`; `back` is the time in s until the list service of state "back" comes up.
    """
    return asyncio.run(
        _cancel_on_signals(_measure(count, state, known, pushed, must_ask_s, seconds, seed, out, back))
    )
