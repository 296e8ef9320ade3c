"""Keeps the processes that are judged: starts, stops, continues and ends them, each in a group of its own.

It holds no log and knows no scenario. When its orders end, for whatever reason, it kills all that it
started and waits for them, so that none is left behind even if the rig itself was killed.
"""

from __future__ import annotations

import asyncio
import os
import signal
import subprocess
from contextlib import suppress
from typing import Any

from ospreyline.rig.worker import Worker

STARVED = 30.0  # ms in LOOK that a process was ready to run and did not, which is told
LOOK = 100.0  # ms
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
        self._wanted: set[str] = set()  # whose end was ordered
        self._waited: dict[str, float] = {}  # ms for which each was ready to run and did not

    async def begin(self) -> None:
        self.worker.clock.after(20.0, self._look)
        self.worker.clock.after(LOOK, self._look_for_starved)
        self.worker.say("keeping")

    def _look_for_starved(self) -> None:
        """Who was ready to run and was given no core, by the kernel's own accounts?"""
        self.worker.clock.after(LOOK, self._look_for_starved)
        for name, proc in self._procs.items():
            try:
                with open(f"/proc/{proc.pid}/schedstat", "rb") as file:
                    waited = int(file.read().split()[1]) / 1e6
            except (OSError, IndexError, ValueError):
                continue  # a kernel without these accounts tells nothing
            before, self._waited[name] = self._waited.get(name, waited), waited
            if waited - before > STARVED:
                self.worker.row("starved", name=name, ms=round(waited - before, 1))

    def _look(self) -> None:
        """Who has ended?"""
        self.worker.clock.after(20.0, self._look)
        for name, proc in list(self._procs.items()):
            status = proc.poll()
            if status is not None:
                del self._procs[name]
                self.worker.row("ended", name=name, status=status, wanted=name in self._wanted)
                self.worker.say("gone", name=name, status=status, wanted=name in self._wanted)
                self._wanted.discard(name)

    async def told(self, order: dict[str, Any]) -> None:
        do = order["do"]
        if do == "start":
            for one in order["processes"]:
                await asyncio.sleep(0)  # a hundred of them take a while
                with open(one["log"], "ab") as log:
                    self._procs[one["name"]] = subprocess.Popen(
                        one["command"],
                        stdin=subprocess.DEVNULL,
                        stdout=log,
                        stderr=log,
                        cwd=one["folder"],
                        process_group=0,
                    )
                self._waited.pop(one["name"], None)
                self.worker.row("spawned", name=one["name"], pid=self._procs[one["name"]].pid)
            pids = {one["name"]: self._procs[one["name"]].pid for one in order["processes"]}
            self.worker.say("spawned", pids=pids)
        else:
            for name in order["names"]:
                proc = self._procs.get(name)
                if proc is None:
                    continue
                if do in ("kill", "term"):
                    self._wanted.add(name)
                # guards: a signal to an id that was reaped could meet another process
                if proc.poll() is None:
                    with suppress(ProcessLookupError):
                        proc.send_signal(SIGNALS[do])
                self.worker.row("signal", name=name, what=do)
        self.worker.say("done", order=order["order"])

    async def end(self) -> None:
        for proc in self._procs.values():
            with suppress(ProcessLookupError):
                os.killpg(proc.pid, signal.SIGKILL)
        for proc in self._procs.values():
            await asyncio.to_thread(proc.wait)


def make(worker: Worker, setup: dict[str, Any]) -> Keeper:
    return Keeper(worker, setup)
