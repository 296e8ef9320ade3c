"""Bounds how much one event loop iteration reads from peers, over all connections together.

A peer that sends at full speed would otherwise be read up to several megabytes at a time, and some hundred of
them keep the event loop from everybody else for seconds. What is not read yet waits in the kernel.
"""

from __future__ import annotations

import asyncio
from collections import deque

READ_BYTES = 16_384  # of one read
SHORT_READ_BYTES = 2_048  # of one read, once the iteration's bytes are used up
ITERATION_BYTES = 131_072  # read in one iteration before connections have to take turns


class ReadScheduler:
    """Hands out the read buffer of all connections, and makes busy ones take turns."""

    def __init__(self, loop: asyncio.AbstractEventLoop, iteration_bytes: int = ITERATION_BYTES) -> None:
        self._loop = loop
        self._iteration_bytes = iteration_bytes
        # shared: a connection has used up what was read before the next one reads
        self._buffer = memoryview(bytearray(READ_BYTES))
        self._short_buffer = self._buffer[:SHORT_READ_BYTES]
        self._left = iteration_bytes
        self._renewal_scheduled = False
        self._paused: deque[asyncio.Transport] = deque()  # connections that wait for their turn

    def buffer(self) -> memoryview:
        """The buffer for the next read."""
        return self._buffer if self._left > 0 else self._short_buffer

    def received(self, count: int, transport: asyncio.Transport | None) -> memoryview:
        """The `count` bytes just read. Once the iteration's bytes are used up, `transport` waits."""
        was_full = count == (READ_BYTES if self._left > 0 else SHORT_READ_BYTES)
        self._left -= count
        if not self._renewal_scheduled:
            self._renewal_scheduled = True
            self._loop.call_soon(self._renew)
        if was_full and self._left <= 0 and transport is not None and not transport.is_closing():
            transport.pause_reading()
            self._paused.append(transport)
        return self._buffer[:count]

    def _renew(self) -> None:
        """A new iteration: let as many connections read on as its bytes suffice for."""
        self._left, self._renewal_scheduled = self._iteration_bytes, False
        turns = self._iteration_bytes // READ_BYTES
        while self._paused and turns:
            transport = self._paused.popleft()
            if not transport.is_closing():
                transport.resume_reading()
                turns -= 1
        if self._paused:
            self._renewal_scheduled = True
            self._loop.call_soon(self._renew)
