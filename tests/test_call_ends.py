"""Each end that a call to the list service can have while it is written the news of a drain: real processes.

Story. During a release a balancer sent six requests to a draining server, 0.61 to 0.69 s after the list
service had written it the list in which that server drains. Its watch had been reset in that very moment, and
no byte of the writing arrived. The balancer took that for a call that had failed, kept its list in force and
asked again 0.25 to 0.8 s later, as after any failure.

Cause: a call that ended with an unknown outcome was taken for one that had told nothing. An earlier repair
held an update in doubt once a byte of it had come; with none the same mistake was left. Evidence: on a drawn
day with whole logs three watches ended (one reset, two closed before the end of their answers) in the moment
in which other balancers were told a new version, and the next list came 0.55 to 0.76 s later.

The rows are the ends that a call can have once its request has left: what of the writing arrives, and what
ends the connection. What counts is the moment of the writing, whatever arrives. After it the service turns
all calls away for a while.
"""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path

import pytest
from stand_ins import reset
from test_list_answers import BUSY, CROWDED, END, HEAD, TURNED_AWAY_AFTER, Call, Story, chunk, play

WAITS = 0.3  # s that a call waits for the writing that is lost
QUIET, CROWD = 0, 2  # calls that are turned away before


@dataclass(frozen=True)
class Ending:
    """How the call ends on which the news is written."""

    stands: bool  # it is a watch that has told something; else a call that waits for its first byte
    arrives: Callable[[bytes], bytes]  # what arrives of the writing
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
# enough of it arrives to know that there is one
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
    lost(UNSEEN[ending], before, CROWDED, tmp_path)


@pytest.mark.parametrize("ending", SEEN)
def test_nothing_goes_to_a_draining_server_when_a_part_of_the_news_was_seen(ending, tmp_path):
    lost(SEEN[ending], QUIET, CROWDED, tmp_path)


@pytest.mark.parametrize("ending", CLOSED)
def test_nothing_goes_to_a_draining_server_when_the_news_was_lost_behind_a_closed_call(ending, tmp_path):
    lost(CLOSED[ending], QUIET, CROWDED, tmp_path)


def lost(ending: Ending, turned_away_before: int, crowded: float, folder: Path) -> None:
    """Play the end of a call over one process, and judge its requests by the moment of the writing."""

    async def story() -> None:
        calls = 0
        written = 0.0

        async def write_what_arrives(call: Call) -> None:
            nonlocal written
            written = time.monotonic()
            news = call.list(4, [{**day.known[0], "state": "leaving"}], whole=False)
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
                await asyncio.sleep(TURNED_AWAY_AFTER)
                call.write(BUSY)
            elif calls == turned_away_before + 1:
                call.write(HEAD + chunk(call.list(3, day.known)))
                await day.holds(lambda: day.all_served_by(b"draining", 0.0))
                if ending.stands:
                    await write_what_arrives(call)
                else:
                    call.write(END)
                    call.writer.close()
            elif not written:
                await asyncio.sleep(WAITS)
                await write_what_arrives(call)
            elif time.monotonic() < written + crowded:
                await asyncio.sleep(TURNED_AWAY_AFTER)
                call.write(BUSY)
            else:
                call.write(HEAD + chunk(call.list(4, day.known[1:])))

        day = Story(serve, folder, processes=1)
        async with day:
            await day.holds(lambda: written > 0.0)
            await day.holds(lambda: time.monotonic() > written + crowded)
            back = time.monotonic()
            await day.holds(lambda: day.all_served_by(b"staying", back))
            assert not day.late(written)
            # nobody was left waiting, and what was not served was told that trying again is harmless
            assert {status for status, _ in day.loads[0].since(written)} <= {200, 503}

    play(story)
