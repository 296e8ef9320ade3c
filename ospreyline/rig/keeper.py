"""Starts the balancer processes, each in a process group of its own, and sends them signals.

It reads no logs and knows no scenario. When its standard input ends, for whatever reason, it kills and reaps
all that it started, so no process is left behind even if the rig itself was killed.
"""

from __future__ import annotations

import asyncio
import os
import signal
import subprocess
from contextlib import suppress
from typing import Any

from ospreyline.rig.worker import Worker

STARVED_MS = 30.0  # run queue wait per check from which a process is reported as starved
STARVED_CHECK_MS = 100.0
SIGNALS = {
    "stop": signal.SIGSTOP,
    "go on": signal.SIGCONT,
    "term": signal.SIGTERM,
    "kill": signal.SIGKILL,
    "hup": signal.SIGHUP,
}


class Keeper:
    def __init__(self, worker: Worker, setup: dict[str, Any]) -> None:
        self.worker = worker
        self._procs: dict[str, subprocess.Popen[bytes]] = {}
        self._expected_exits: set[str] = set()  # names of those that were told to exit
        self._run_delay_ms: dict[str, float] = {}  # total run queue wait so far, by name

    async def begin(self) -> None:
        self.worker.clock.after(20.0, self._reap)
        self.worker.clock.after(STARVED_CHECK_MS, self._report_starved)
        self.worker.notify("keeping")

    def _report_starved(self) -> None:
        """Write a row for each process that waited long for a core, by /proc/PID/schedstat."""
        self.worker.clock.after(STARVED_CHECK_MS, self._report_starved)
        for name, proc in self._procs.items():
            try:
                with open(f"/proc/{proc.pid}/schedstat", "rb") as file:
                    run_delay_ms = int(file.read().split()[1]) / 1e6
            except (OSError, IndexError, ValueError):
                continue  # no schedstat in this kernel, or the process has ended
            before, self._run_delay_ms[name] = self._run_delay_ms.get(name, run_delay_ms), run_delay_ms
            if run_delay_ms - before > STARVED_MS:
                self.worker.row("starved", name=name, ms=round(run_delay_ms - before, 1))

    def _reap(self) -> None:
        """Report the processes that have exited."""
        self.worker.clock.after(20.0, self._reap)
        for name, proc in list(self._procs.items()):
            status = proc.poll()
            if status is not None:
                del self._procs[name]
                self.worker.row("ended", name=name, status=status, wanted=name in self._expected_exits)
                self.worker.notify("gone", name=name, status=status, wanted=name in self._expected_exits)
                self._expected_exits.discard(name)

    async def execute(self, order: dict[str, Any]) -> None:
        do = order["do"]
        if do == "start":
            for spec in order["processes"]:
                await asyncio.sleep(0)  # starting a hundred takes a while; let other tasks run
                with open(spec["log"], "ab") as log:
                    self._procs[spec["name"]] = subprocess.Popen(
                        spec["command"],
                        stdin=subprocess.DEVNULL,
                        stdout=log,
                        stderr=log,
                        cwd=spec["folder"],
                        process_group=0,
                    )
                self._run_delay_ms.pop(spec["name"], None)
                self.worker.row("spawned", name=spec["name"], pid=self._procs[spec["name"]].pid)
            pids = {spec["name"]: self._procs[spec["name"]].pid for spec in order["processes"]}
            self.worker.notify("spawned", pids=pids)
        else:
            for name in order["names"]:
                proc = self._procs.get(name)
                if proc is None:
                    continue
                if do in ("kill", "term"):
                    self._expected_exits.add(name)
                # the id of a reaped process may belong to another process by now
                if proc.poll() is None:
                    with suppress(ProcessLookupError):
                        proc.send_signal(SIGNALS[do])
                self.worker.row("signal", name=name, what=do)
        self.worker.notify("done", order=order["order"])

    async def end(self) -> None:
        for proc in self._procs.values():
            with suppress(ProcessLookupError):
                os.killpg(proc.pid, signal.SIGKILL)
        for proc in self._procs.values():
            await asyncio.to_thread(proc.wait)


def make(worker: Worker, setup: dict[str, Any]) -> Keeper:
    return Keeper(worker, setup)
