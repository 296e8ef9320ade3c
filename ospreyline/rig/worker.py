"""A process of the rig: orders come on standard input, news goes to standard output, rows to a file.

Each is a line of JSON. The end of standard input ends the process, so none outlives the rig, however that
ends. `python -m ospreyline.rig.worker KIND` is how the rig starts one; the first line is its set-up.
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

FLUSH = 0.2  # s between two writes of rows
LOOK = 0.02  # s between two looks at how late the loop is: of a stop as much as this may go unseen
_JSON = msgspec.json.Encoder()


class Part(Protocol):
    """What a worker does; a module of this package has `make(worker, setup)`."""

    async def begin(self) -> None: ...
    async def told(self, order: dict[str, Any]) -> None: ...
    async def end(self) -> None: ...


class Clock(World):
    """The laboratory's world on the real clock: ms since the rig's origin, read once a turn by `tick`."""

    __slots__ = ("_loop", "_origin")

    def __init__(self, loop: asyncio.AbstractEventLoop, origin: float) -> None:
        super().__init__()
        self._loop = loop
        self._origin = origin  # ms on the machine's monotonic clock, which all processes share
        self.tick()

    def tick(self) -> float:
        """Read the clock; whatever comes from outside begins with it."""
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
    """What every part has: a clock, rows, and a way to tell the rig something."""

    def __init__(self, loop: asyncio.AbstractEventLoop, setup: dict[str, Any]) -> None:
        self.loop = loop
        self.clock = Clock(loop, setup["origin"])
        self.seed = int(setup["seed"])
        self.lag = 0.0  # ms, the most that the loop came late
        self._rows: BinaryIO = open(setup["rows"], "ab", buffering=1 << 16)  # noqa: SIM115 - ends with us
        self._looked = self._flushed = loop.time()

    def row(self, kind: str, /, **values: Any) -> None:
        self._rows.write(_JSON.encode({"k": kind, "t": round(self.clock.now, 3), **values}) + b"\n")

    def say(self, news: str, **values: Any) -> None:
        line = _JSON.encode({"news": news, **values}) + b"\n"
        while line:
            line = line[os.write(1, line) :]

    def look(self) -> None:
        now = self.loop.time()
        late = 1e3 * (now - self._looked - LOOK)
        if late > 50:
            self.clock.tick()
            self.row("lag", ms=round(late, 1))
        self.lag = max(self.lag, late)
        self._looked = now
        if now - self._flushed >= FLUSH:
            self._flushed = now
            self._rows.flush()
        self.loop.call_later(LOOK, self.look)

    def close(self) -> None:
        self._rows.close()


async def _lines() -> asyncio.StreamReader:
    loop = asyncio.get_running_loop()
    reader = asyncio.StreamReader(limit=1 << 26)
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
    return reader


async def serve(kind: str) -> None:
    """Carry out orders until their end."""
    orders = await _lines()
    setup = msgspec.json.decode(await orders.readline() or b"{}")
    if not setup:
        return
    worker = Worker(asyncio.get_running_loop(), setup)
    part: Part = import_module(f"ospreyline.rig.{kind}").make(worker, setup)
    try:
        await part.begin()
        gc.collect()
        gc.freeze()  # guards: a long collection is lateness that the rig itself brings in
        worker._looked = worker.loop.time()
        worker.look()
        while line := await orders.readline():
            order = msgspec.json.decode(line)
            worker.clock.tick()
            if order["do"] == "end":
                break
            await part.told(order)
    finally:
        await part.end()
        worker.close()
    worker.say("ended", lag=round(worker.lag, 1))


def main() -> None:
    import uvloop

    os.environ.setdefault("UV_USE_IO_URING", "0")
    signal.signal(signal.SIGINT, signal.SIG_IGN)  # Ctrl-C is the rig's, which then ends us
    with suppress(BrokenPipeError):
        uvloop.run(serve(sys.argv[1]))


if __name__ == "__main__":
    main()
