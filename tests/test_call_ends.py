"""Each way in which a list call can end while the notice of a drain is written on it: real processes.

Guards against treating a call with an unknown outcome as one on which nothing was written, even if not a byte
of an update arrived. Observed during a release: a balancer sent six requests to a draining server, 0.61 to
0.69 s after the list service had written the drain, as its watch was reset at that moment; it kept its list
in effect and called again 0.25 to 0.8 s later. In a seeded run with complete logs three watches ended (one
reset, two closed before the end of their answers) at the moment in which other balancers received a new
version, and the next list came 0.55 to 0.76 s later.

The rows are the ends that a call can have once its request was sent: what arrives of the data, and what ends
the connection. What counts is when the data was written, whatever arrives. Afterwards the service rejects all
calls for a while.
"""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path

import pytest
from stand_ins import reset
from test_list_answers import BUSY, END, HEAD, OVERLOADED_FOR, REJECTED_AFTER, Call, Scenario, chunk, play

WAITS = 0.3  # s that a call waits for the update that is lost
QUIET, CROWD = 0, 2  # calls that are rejected before


@dataclass(frozen=True)
class Ending:
    """How the call ends on which the update is written."""

    stands: bool  # an open watch that has been answered; else a call that waits for its first byte
    arrives: Callable[[bytes], bytes]  # what arrives of the data
    then: str  # "reset" or "close"


def nothing(line: bytes) -> bytes:
    return b""


def part_of_the_head(line: bytes) -> bytes:
    return HEAD[:9]  # not its status yet


def garbled_head(line: bytes) -> bytes:
    return b"HTTP/1.1 2\x00\r\n\r\n"


def head(line: bytes) -> bytes:
    return HEAD


def size_of_a_chunk(line: bytes) -> bytes:
    return b"%x\r\n" % len(line)


def half_a_line(line: bytes) -> bytes:
    return chunk(line)[: len(line) // 2]


def half_an_answer(line: bytes) -> bytes:
    return HEAD + half_a_line(line)


def whole_line(line: bytes) -> bytes:
    return chunk(line)


def whole_answer(line: bytes) -> bytes:
    return HEAD + chunk(line)


# nothing of the update itself arrives
UNSEEN = {
    "a watch that stands, reset": Ending(True, nothing, "reset"),
    "a watch that stands, the size of a chunk, reset": Ending(True, size_of_a_chunk, "reset"),
    "a watch that stands, the size of a chunk, closed": Ending(True, size_of_a_chunk, "close"),
    "a call that waits, reset": Ending(False, nothing, "reset"),
    "a call that waits, a part of the head, reset": Ending(False, part_of_the_head, "reset"),
    "a call that waits, a part of the head, closed": Ending(False, part_of_the_head, "close"),
    "a call that waits, a head that cannot be read, closed": Ending(False, garbled_head, "close"),
}
# closed without the last chunk, as proxies pass on a reset: an incomplete message (RFC 9112, section 8)
CLOSED = {
    "a watch that stands": Ending(True, nothing, "close"),
    "a call that waits": Ending(False, nothing, "close"),
    "a call that waits, behind the head": Ending(False, head, "close"),
}
# enough of the update arrives to know that there is one
SEEN = {
    "a watch that stands, half a line, reset": Ending(True, half_a_line, "reset"),
    "a watch that stands, half a line, closed": Ending(True, half_a_line, "close"),
    "a watch that stands, all of it, reset": Ending(True, whole_line, "reset"),
    "a call that waits, the head, reset": Ending(False, head, "reset"),
    "a call that waits, half of it, closed": Ending(False, half_an_answer, "close"),
    "a call that waits, all of it, reset": Ending(False, whole_answer, "reset"),
}


@pytest.mark.parametrize("before", [QUIET, CROWD], ids=["quiet", "crowd"])
@pytest.mark.parametrize("ending", UNSEEN)
def test_nothing_goes_to_a_draining_server_when_the_news_of_it_was_lost_unseen(ending, before, tmp_path):
    lost(UNSEEN[ending], before, OVERLOADED_FOR, tmp_path)


@pytest.mark.parametrize("ending", SEEN)
def test_nothing_goes_to_a_draining_server_when_a_part_of_the_news_was_seen(ending, tmp_path):
    lost(SEEN[ending], QUIET, OVERLOADED_FOR, tmp_path)


@pytest.mark.parametrize("ending", CLOSED)
def test_nothing_goes_to_a_draining_server_when_the_news_was_lost_behind_a_closed_call(ending, tmp_path):
    lost(CLOSED[ending], QUIET, OVERLOADED_FOR, tmp_path)


def lost(ending: Ending, turned_away_before: int, crowded: float, folder: Path) -> None:
    """Runs the end of a call against one process, and judges its requests by when the update was written."""

    async def run() -> None:
        calls = 0
        written = 0.0

        async def write_what_arrives(call: Call) -> None:
            nonlocal written
            written = time.monotonic()
            news = call.list(4, [{**scenario.known[0], "state": "leaving"}], whole=False)
            call.write(ending.arrives(news))
            if ending.then == "reset":
                await asyncio.sleep(0.001)  # what arrives is on its way
                reset(call.writer.transport)
            else:
                call.writer.close()

        async def serve(call: Call) -> None:
            nonlocal calls
            calls += 1
            if calls <= turned_away_before:
                await asyncio.sleep(REJECTED_AFTER)
                call.write(BUSY)
            elif calls == turned_away_before + 1:
                call.write(HEAD + chunk(call.list(3, scenario.known)))
                await scenario.until(lambda: scenario.all_served_by(b"draining", 0.0))
                if ending.stands:
                    await write_what_arrives(call)
                else:
                    call.write(END)
                    call.writer.close()
            elif not written:
                await asyncio.sleep(WAITS)
                await write_what_arrives(call)
            elif time.monotonic() < written + crowded:
                await asyncio.sleep(REJECTED_AFTER)
                call.write(BUSY)
            else:
                call.write(HEAD + chunk(call.list(4, scenario.known[1:])))

        scenario = Scenario(serve, folder, processes=1)
        async with scenario:
            await scenario.until(lambda: written > 0.0)
            await scenario.until(lambda: time.monotonic() > written + crowded)
            back = time.monotonic()
            await scenario.until(lambda: scenario.all_served_by(b"staying", back))
            assert not scenario.late(written)
            # every request was answered: served, or told that a retry is safe
            assert {status for status, _ in scenario.loads[0].since(written)} <= {200, 503}

    play(run)
