"""Answers of the list service that do not arrive whole, come late, or wait in a queue: several processes.

Story. During a release, while the list service was crowded, one balancer went on sending to a server that
drained and to its successor on the way out. The service had written it the list without that server, on both
calls that it had out; a reset in the same millisecond took the answers away. The balancer logged two failed
calls, kept its old list in force as if nothing had been said, and was turned away by the crowded service for
seconds. What the service has written counts as told, so from the end of the grace each request to that
server broke the rule on drains.

Cause: an answer whose outcome is unknown was taken for an answer that was never given. Evidence: the records
of the service (version 4 written on two calls) beside the balancer's log (reset on both at 6.127 s, no change
of the list taken); the first misplaced request came 0.63 s after the write.

Beside it: a service that needs longer than 2.5 s for an answer was never heard, since the call was given up
and lost its place; and a second call beside the first made a crowded service do everything twice.
"""

from __future__ import annotations

import asyncio
import json
import sys
import time
from collections.abc import AsyncIterator, Callable
from contextlib import AsyncExitStack, asynccontextmanager, suppress
from pathlib import Path
from typing import Any

import pytest
import uvloop
from stand_ins import Peer, configuration, ok, read_message, request, reset, target
from test_descriptors import PATIENT, Running

GRACE = 0.5  # s after it was told in which sends to a draining server must end
SLACK = 0.05  # s that the rule allows beyond it on sockets
TOLD_AT_LAST = 6.0  # s after which a change counts as told, if the list service could be reached
CROWDED = 1.6  # s for which the service turns all calls away after the broken answer
TURNED_AWAY_AFTER = 0.2  # s that a call waits until it is
EMPTY_LINE_EVERY = 1.0  # s on a watch
DEADLINE = 5.0  # s that a client waits
PROCESSES = 3

HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
END = b"0\r\n\r\n"  # the last chunk
BUSY = b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n"


def chunk(data: bytes) -> bytes:
    return b"%x\r\n%b\r\n" % (len(data), data)


class Noted(list[Any]):
    """What came, each with its time."""

    def append(self, item: Any) -> None:
        super().append((time.monotonic(), item))


class Server(Peer):
    """An upstream that notes when each request came."""

    def __init__(self, body: bytes) -> None:
        super().__init__(ok(body))
        self.requests = Noted()

    def times(self, balancer: int) -> list[float]:
        """When requests of one balancer came."""
        path = b"GET /read/%d " % balancer
        return [at for at, (head, _) in self.requests if head.startswith(path)]


class Call:
    """One call that came to the list service."""

    def __init__(self, balancer: int, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.balancer = balancer
        self.reader = reader
        self.writer = writer
        self.open = True

    def write(self, data: bytes) -> None:
        if self.open:
            self.writer.write(data)

    async def stand(self, line: bytes) -> None:
        """Answer as a watch that stands: a line at once, and empty ones for as long as both sides are there.

        Without these the balancer takes it for broken after 2.5 s, and calls again.
        """
        self.write(HEAD + chunk(line))
        while not self.writer.is_closing() and not self.reader.at_eof():
            self.write(chunk(b"\n"))
            await asyncio.sleep(EMPTY_LINE_EVERY)

    def list(self, rev: int, targets: list[dict[str, Any]], whole: bool = True) -> bytes:
        return json.dumps({"rev": rev, "all": whole, "targets": targets}).encode() + b"\n"


class ListService:
    """The list service at the address of one balancer: `serve` decides what becomes of each call."""

    def __init__(self, balancer: int, serve: Callable[[Call], Any]) -> None:
        self.balancer, self.serve = balancer, serve
        self.calls: list[Call] = []
        self.port = 0

    async def start(self) -> ListService:
        self.server = await asyncio.start_server(self._call, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    async def _call(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        call = None
        with suppress(asyncio.IncompleteReadError, ConnectionError):
            await read_message(reader)
            call = Call(self.balancer, reader, writer)
            self.calls.append(call)
            found = self.serve(call)
            if found is not None:
                await found
            await reader.read()
        if call is not None:
            call.open = False
        writer.close()

    def close(self) -> None:
        self.server.close()
        for call in self.calls:
            call.writer.transport.abort()


# `serve` that is held up twice for as long as a balancer may be: before it reads what came on a later call to
# the list service, and between the last look and the write of a request, while an update is in doubt
HELD_UP = """
import sys, time
from ospreyline.__main__ import main
from ospreyline.net import list_call, turn, upstreams

HELD_UP = 0.15
turns = []
begin, received = turn.Turn.__init__, list_call.ListCall.data_received
look = upstreams.ConnectionPool._may_start

def noted(self, *args, **more):
    turns.append(self)
    begin(self, *args, **more)

def read_late(call, data):
    if call.number == 2:
        time.sleep(HELD_UP)
    received(call, data)

def written_late(peer, errand):
    found = look(peer, errand)
    if found and turn.clock() > turns[0].balancer.lease.expires - 30.0:
        time.sleep(HELD_UP)
    return found

turn.Turn.__init__, list_call.ListCall.data_received = noted, read_late
upstreams.ConnectionPool._may_start = written_late
main(["serve", sys.argv[1]])
"""


@asynccontextmanager
async def process(
    folder: Path, number: int, known: list[dict[str, Any]], service: ListService, shim: str = ""
) -> AsyncIterator[Running]:
    """`serve` in a process of its own; `shim`: a program that runs it in its place."""
    told = configuration(known, service.port)
    told["name"] = f"n{number}"
    told["settings"] |= {
        "Balancers": PROCESSES,
        "Me": number,
        "Invariants": {"DrainGraceUs": 1e6 * GRACE, "MustAskInUs": 10_000_000},
    }
    file = folder / f"n{number}.json"
    file.write_text(json.dumps(told))
    child = await asyncio.create_subprocess_exec(
        sys.executable,
        *(["-c", shim] if shim else ["-m", "ospreyline", "serve"]),
        str(file),
        stdout=asyncio.subprocess.PIPE,
    )
    one = Running(child, file)
    reading = asyncio.ensure_future(one.read())
    try:
        where = (await one.says("serving"))["listen"].rpartition(":")
        one.at = where[0], int(where[2])
        yield one
    finally:
        with suppress(ProcessLookupError):
            child.kill()
        await child.wait()
        await reading


class Load:
    """Clients of one process, that ask one request after another; `answers` are (time, status, body)."""

    def __init__(self, one: Running, number: int) -> None:
        self.one, self.path = one, f"/read/{number}"
        self.answers: list[tuple[float, int, bytes]] = []
        self.task = asyncio.ensure_future(self._ask())

    async def _ask(self) -> None:
        client = await self.one.caller()
        while True:
            asked = time.monotonic()
            async with asyncio.timeout(DEADLINE):
                status, _, body = await client.ask(request(self.path))
            self.answers.append((asked, status, body))
            await asyncio.sleep(0.01)

    def since(self, at: float) -> list[tuple[int, bytes]]:
        return [(status, body) for asked, status, body in self.answers if asked >= at]


class Story:
    """Processes with clients, two servers and a list service; whatever fails, their logs are printed."""

    def __init__(
        self, serve: Callable[[Call], Any], folder: Path, processes: int = PROCESSES, shim: str = ""
    ) -> None:
        self.shim = shim
        self.services = [ListService(number, serve) for number in range(processes)]
        self.folder = folder
        self.draining, self.staying = Server(b"draining"), Server(b"staying")
        self.running: list[Running] = []
        self.loads: list[Load] = []
        self.stack = AsyncExitStack()

    async def __aenter__(self) -> Story:
        for peer in (self.draining, self.staying, *self.services):
            await peer.start()
        self.known = [target("u0", self.draining.port), target("u1", self.staying.port)]
        for number, service in enumerate(self.services):
            one = process(self.folder, number, self.known, service, self.shim)
            self.running.append(await self.stack.enter_async_context(one))
        self.loads = [Load(one, number) for number, one in enumerate(self.running)]
        return self

    async def __aexit__(self, kind: Any, error: Any, trace: Any) -> None:
        for load in self.loads:
            load.task.cancel()
        await self.stack.aclose()
        for service in self.services:
            service.close()
        for peer in (self.draining, self.staying):
            peer.server.close()
        if error is not None:
            for one in self.running:
                print(*[line for line in one.log if line["event"] not in ("counts", "retry")], sep="\n")

    async def holds(self, condition: Callable[[], bool]) -> None:
        """Wait until something is so; a client that had no answer is a failure at once."""
        async with asyncio.timeout(PATIENT):
            while not condition():
                for load in self.loads:
                    if load.task.done():
                        load.task.result()
                await asyncio.sleep(0.002)

    def late(self, told: float, balancer: int = 0) -> list[float]:
        """Requests of a balancer that came to the draining server after the grace: s since it was told."""
        return [round(at - told, 3) for at in self.draining.times(balancer) if at > told + GRACE + SLACK]

    def all_served_by(self, body: bytes, since: float) -> bool:
        return all((200, body) in load.since(since) for load in self.loads)


def play(story: Any) -> None:
    uvloop.run(asyncio.wait_for(story(), 2 * PATIENT))


# an answer that was written and does not arrive whole


def cut_changes(story: Story, call: Call) -> bytes:
    return call.list(4, [{**story.known[0], "state": "leaving"}], whole=False)


def cut_whole(story: Story, call: Call) -> bytes:
    return call.list(4, story.known[1:])


CUTS: dict[str, tuple[Callable[[Story, Call], bytes], float, str]] = {
    # what is written, the part of its line that goes out, what follows that
    "changes, half, reset": (cut_changes, 0.5, "reset"),
    "whole, half, reset": (cut_whole, 0.5, "reset"),
    "whole, a byte, reset": (cut_whole, 0.01, "reset"),
    "whole, all but its end, reset": (cut_whole, 0.99, "reset"),
    "whole, half, end": (cut_whole, 0.5, "end"),
    "whole, half, silence": (cut_whole, 0.5, "silence"),
}


@pytest.mark.parametrize("cut", CUTS)
def test_nothing_goes_to_a_server_whose_drain_was_in_an_answer_that_was_cut_off(cut, tmp_path):
    cut_off(cut, tmp_path)


def test_an_update_in_doubt_is_kept_by_a_process_that_is_held_up_twice(tmp_path):
    # after the repair a replay had one request left, 0.63 s after it was told: one hold-up of 0.15 s
    # was set apart of the grace, and there may be one before the bytes are read, and one before the write
    cut_off("whole, half, reset", tmp_path, HELD_UP)


def cut_off(cut: str, folder: Path, shim: str = "") -> None:
    async def story():
        words, part, then = CUTS[cut]
        told: dict[int, float] = {}  # by balancer: when its broken answer was written
        draining = False

        async def serve(call: Call) -> None:
            if not draining:
                standing.append(call)
                await call.stand(call.list(3, day.known))
            elif call.balancer not in told:
                told[call.balancer] = time.monotonic()
                line = words(day, call)
                call.write(HEAD + b"%x\r\n" % len(line) + line[: max(1, int(part * len(line)))])
                await call.writer.drain()
                await asyncio.sleep(0.02)  # the bytes are on their way before what follows them
                if then == "reset":
                    reset(call.writer.transport)
                elif then == "end":
                    call.writer.close()
            elif len(told) < PROCESSES or time.monotonic() < max(told.values()) + CROWDED:
                await asyncio.sleep(TURNED_AWAY_AFTER)
                call.write(BUSY)
            else:
                call.write(HEAD + chunk(call.list(4, day.known[1:])))

        standing: list[Call] = []
        day = Story(serve, folder, shim=shim)
        async with day:
            await day.holds(lambda: len(standing) == PROCESSES and day.all_served_by(b"draining", 0.0))
            draining = True
            for call in standing:  # a watch may end instead of telling
                call.writer.close()
            await day.holds(lambda: len(told) == PROCESSES)
            last = max(told.values())
            await day.holds(lambda: time.monotonic() > last + CROWDED)
            back = time.monotonic()
            await day.holds(lambda: day.all_served_by(b"staying", back))
            late = [day.late(since, number) for number, since in told.items()]
            assert not any(late), late
            # nobody was left waiting, and whatever was not served was told that trying again is harmless
            statuses = {status for load in day.loads for status, _ in load.since(last)}
            assert statuses <= {200, 503}

    play(story)


# a service that answers slowly, or has too many callers


@pytest.mark.parametrize("needs", [3.0, 4.0])
def test_a_service_that_needs_seconds_for_each_answer_is_heard(needs, tmp_path):
    # calls were given up after 2.5 s without a byte, and the next ones began anew: nobody was told for 30 s
    async def story():
        changed = 0.0

        async def serve(call: Call) -> None:
            if not changed:
                standing.append(call)
                return await call.stand(call.list(3, day.known))
            await asyncio.sleep(needs)
            call.write(HEAD + chunk(call.list(4, day.known[1:])))

        standing: list[Call] = []
        day = Story(serve, tmp_path)
        async with day:
            await day.holds(lambda: len(standing) == PROCESSES and day.all_served_by(b"draining", 0.0))
            changed = time.monotonic()
            for call in standing:
                call.writer.close()
            await day.holds(lambda: time.monotonic() > changed + TOLD_AT_LAST + GRACE + 0.5)
            late = [day.late(changed + TOLD_AT_LAST, number) for number in range(len(day.loads))]
            assert not any(late), late
            assert day.all_served_by(b"staying", changed + TOLD_AT_LAST)

    play(story)


class Queue:
    """A service that works calls off in turn, one at a time, also those that were given up."""

    def __init__(self, needs: float) -> None:
        self.needs, self.free_at = needs, 0.0

    async def turn(self) -> None:
        now = time.monotonic()
        self.free_at = max(now, self.free_at) + self.needs
        await asyncio.sleep(self.free_at - now)


def test_a_service_that_works_calls_off_in_turn_has_told_everybody_in_time(tmp_path):
    # eight processes, half a second each: 4 s for all, if no call is made twice before it is served
    processes = 8

    async def story():
        changed, queue = 0.0, Queue(0.5)

        async def serve(call: Call) -> None:
            if not changed:
                standing.append(call)
                return await call.stand(call.list(3, day.known))
            await queue.turn()
            call.write(HEAD + chunk(call.list(4, day.known[1:])))

        standing: list[Call] = []
        day = Story(serve, tmp_path, processes)
        async with day:
            await day.holds(lambda: len(standing) == processes and day.all_served_by(b"draining", 0.0))
            changed = time.monotonic()
            for call in standing:
                call.writer.close()
            await day.holds(lambda: time.monotonic() > changed + TOLD_AT_LAST + GRACE + 0.5)
            late = [day.late(changed + TOLD_AT_LAST, number) for number in range(len(day.loads))]
            assert not any(late), late

    play(story)
