"""A worker process of the rig: commands on standard input, messages on standard output, rows to a file.

Each is a line of JSON. The end of standard input ends the process, so none outlives the rig, however that
ends. The rig starts one with `python -m ospreyline.rig.worker KIND`; the first input line is its set-up.
"""

from __future__ import annotations

import asyncio
import gc
import os
import signal
import sys
from collections.abc import Callable
from contextlib import suppress
from importlib import import_module
from time import monotonic
from typing import Any, BinaryIO, Protocol

import msgspec

from ospreyline.lab.world import Due, World

FLUSH_INTERVAL_S = 0.2  # between two writes of rows to the file
LAG_CHECK_INTERVAL_S = 0.02  # of the event loop's delay; stalls up to that long may go unnoticed
_JSON = msgspec.json.Encoder()


class Part(Protocol):
    """What a worker runs: the object that `make(worker, setup)` of a module of this package returns."""

    async def begin(self) -> None: ...
    async def execute(self, order: dict[str, Any]) -> None: ...
    async def end(self) -> None: ...


class Clock(World):
    """The simulator's world on the real clock: ms since the rig's origin, updated only by `tick`."""

    __slots__ = ("_loop", "_origin")

    def __init__(self, loop: asyncio.AbstractEventLoop, origin: float) -> None:
        super().__init__()
        self._loop = loop
        self._origin = origin  # ms on the monotonic clock, which all processes share
        self.tick()

    def tick(self) -> float:
        """Read the clock; every handler of an outside event calls it first."""
        self.now = monotonic() * 1e3 - self._origin
        return self.now

    def at(self, when: float, call: Callable[..., None], *args: Any) -> Due:
        self._order += 1
        due: Due = [when, self._order, call, args]
        self._loop.call_later(max(0.0, when + self._origin - monotonic() * 1e3) / 1e3, self._fire, due)
        return due

    def _fire(self, due: Due) -> None:
        call, due[2] = due[2], None
        if call is not None:
            self.tick()
            self.events += 1
            call(*due[3])


class Worker:
    """What every worker process has: a clock, a file of rows, and messages to the rig."""

    def __init__(self, loop: asyncio.AbstractEventLoop, setup: dict[str, Any]) -> None:
        self.loop = loop
        self.clock = Clock(loop, setup["origin"])
        self.seed = int(setup["seed"])
        self.lag = 0.0  # ms, the longest delay of the event loop
        self._rows: BinaryIO = open(setup["rows"], "ab", buffering=1 << 16)  # noqa: SIM115 - ends with us
        self._checked_at = self._flushed_at = loop.time()

    def row(self, kind: str, /, **values: Any) -> None:
        """Write a row for the referee."""
        self._rows.write(_JSON.encode({"k": kind, "t": round(self.clock.now, 3), **values}) + b"\n")

    def notify(self, event: str, **values: Any) -> None:
        """Send a message to the rig."""
        line = _JSON.encode({"event": event, **values}) + b"\n"
        while line:
            line = line[os.write(1, line) :]

    def check_lag(self) -> None:
        """Measure how late the event loop is, flush the rows when due, and schedule the next check."""
        now = self.loop.time()
        late_ms = 1e3 * (now - self._checked_at - LAG_CHECK_INTERVAL_S)
        if late_ms > 50:
            self.clock.tick()
            self.row("lag", ms=round(late_ms, 1))
        self.lag = max(self.lag, late_ms)
        self._checked_at = now
        if now - self._flushed_at >= FLUSH_INTERVAL_S:
            self._flushed_at = now
            self._rows.flush()
        self.loop.call_later(LAG_CHECK_INTERVAL_S, self.check_lag)

    def close(self) -> None:
        self._rows.close()


async def _open_stdin() -> asyncio.StreamReader:
    loop = asyncio.get_running_loop()
    reader = asyncio.StreamReader(limit=1 << 26)
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
    return reader


async def serve(kind: str) -> None:
    """Run one worker: set it up, then execute commands until standard input ends."""
    orders = await _open_stdin()
    setup = msgspec.json.decode(await orders.readline() or b"{}")
    if not setup:
        return
    worker = Worker(asyncio.get_running_loop(), setup)
    part: Part = import_module(f"ospreyline.rig.{kind}").make(worker, setup)
    try:
        await part.begin()
        gc.collect()
        gc.freeze()  # a long garbage collection would make the rig itself late
        worker._checked_at = worker.loop.time()
        worker.check_lag()
        while line := await orders.readline():
            order = msgspec.json.decode(line)
            worker.clock.tick()
            if order["do"] == "end":
                break
            await part.execute(order)
    finally:
        await part.end()
        worker.close()
    worker.notify("ended", lag=round(worker.lag, 1))


def main() -> None:
    import uvloop

    os.environ.setdefault("UV_USE_IO_URING", "0")
    signal.signal(signal.SIGINT, signal.SIG_IGN)  # Ctrl-C is handled by the rig, which then ends this process
    with suppress(BrokenPipeError):
        uvloop.run(serve(sys.argv[1]))


if __name__ == "__main__":
    main()
