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

SIGNALS = {"stop": signal.SIGSTOP, "go on": signal.SIGCONT, "term": signal.SIGTERM, "kill": signal.SIGKILL,
           "hup": signal.SIGHUP}


class Keeper:
    def __init__(self, worker: Worker, setup: dict[str, Any]) -> None:
        self.worker = worker
        self._procs: dict[str, subprocess.Popen[bytes]] = {}
        self._wanted: set[str] = set()  # whose end was ordered

    async def begin(self) -> None:
        self.worker.clock.after(20.0, self._look)
        self.worker.say("keeping")

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
                with open(one["log"], "ab") as log:
                    self._procs[one["name"]] = subprocess.Popen(
                        one["command"], stdin=subprocess.DEVNULL, stdout=log, stderr=log,
                        cwd=one["folder"], process_group=0)
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
