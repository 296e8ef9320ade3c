"""A list service that knows what it wrote, one balancer, and the connections between them; no sockets.

The balancer is the real `Discovery` with its real calls, `ListLease` and `CallSchedule`, driven by bytes on a
clock of its own (ms). Whatever may come in more than one way is put to `choose`; `list_lease` goes through
all. One server, u0, begins to drain at a moment that is chosen.
"""

from __future__ import annotations

import asyncio
import heapq
import os
import socket
from collections.abc import Callable, Coroutine, Sequence
from dataclasses import dataclass
from enum import Enum
from math import inf
from typing import Any, Protocol, TypeVar, cast

from ospreyline.call_schedule import CallSchedule
from ospreyline.lease import LeaseMessage, ListLease, UpdateRead
from ospreyline.net.discovery import CallFailure, Discovery
from ospreyline.net.list_call import ListCall
from ospreyline.net.listing import News

GRACE, MUST_ASK_IN, BALANCERS = 500.0, 10_000.0, 4
HELD_UP = 150.0  # ms for which a process may be held up, before it reads and again before it writes
AT_LAST = 6_000.0  # ms after which a change counts as told by a service that can be reached
EMPTY_LINE = 2_000.0  # ms between the empty lines of a watch
TIDY = 250.0  # ms between two rounds of periodic work of the process
START = 100_000.0
LAST_CHOICE = 5_000.0  # ms from the first call that is treated as all that follow
MOST_MOMENTS = 12  # at which u0 may begin to drain, on one path
HERE, ELSEWHERE = ("10.0.0.1", 80), ("10.0.0.2", 80)
OFFSET = {HERE: 0, ELSEWHERE: 100}  # each service counts versions of its own
HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
TURNED_AWAY = b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"
LAST_CHUNK = b"0\r\n\r\n"

Option = TypeVar("Option")


class End(Enum):
    """How a connection ends, as the balancer sees it."""

    LAST_CHUNK = "ends with its last chunk"
    FIN = "is closed by FIN without its last chunk"
    RESET = "is reset"
    SILENCE = "falls silent"


@dataclass(slots=True, frozen=True)
class Outcome:
    """What becomes of a call: an answer `after` ms, cut at a place if it has one, an end some time later."""

    words: str
    kind: str  # refused, unreached, nothing, turned away, answered
    after: float = 0.0
    cut: int | None = None  # which of the places of a cut; None: it arrives whole
    end: End | None = None
    end_after: float = 0.0  # ms from the answer
    held_up: float = 0.0  # ms that the process is held up before it reads the answer


class Choices(Protocol):
    """Who decides what may come in more than one way."""

    def choose(self, options: Sequence[Option]) -> Option: ...


class _Silent:
    """A log that nobody reads."""

    def info(self, event: str, **values: Any) -> None: ...

    def warning(self, event: str, **values: Any) -> None: ...


class Machine:
    """What is asked of a socket below a transport: two descriptors, a readable and a quiet one."""

    family, type, proto = socket.AF_INET, socket.SOCK_STREAM, 0

    def __init__(self) -> None:
        self._quiet, self._writer = os.pipe()
        self._readable = os.open(os.devnull, os.O_RDONLY)
        self.unread = False

    def fileno(self) -> int:
        return self._readable if self.unread else self._quiet

    def getsockopt(self, level: int, option: int) -> int:
        return 0

    def close(self) -> None:
        for descriptor in (self._quiet, self._writer, self._readable):
            os.close(descriptor)


class Connection(asyncio.Transport):
    """One call's connection: the transport to the balancer, the stream to the service."""

    def __init__(self, world: World, call: ListCall) -> None:
        super().__init__()
        self.world, self.call = world, call
        self.watched = False  # a head and an answer were written: what changes is, too
        self.cut_off = False  # nothing more that is written arrives
        self.silent_from = inf
        self.ended = False  # by the service, or by the way
        self.left = False  # the service has seen that we have ended it
        self.closing = False
        self._queue: list[tuple[float, Callable[[], None]]] = []

    # the balancer's side

    def write(self, data: Any) -> None:
        self.world.at(self.world.now, lambda: self.world.asked(self))

    def write_eof(self) -> None:
        self.world.balancer_ends(self)

    def abort(self) -> None:
        self.closing = True
        self.ended = True

    def is_closing(self) -> bool:
        return self.closing

    def get_extra_info(self, name: str, default: Any = None) -> Any:
        machine = self.world.machine
        machine.unread = bool(self._queue)
        return machine

    # what arrives

    def arrive(self, what: Callable[[], None], held_up: float = 0.0) -> None:
        """Something reaches the balancer's machine; its process reads it now, or as late as it may."""
        held_up = max(held_up, *(due - self.world.now for due, _ in self._queue)) if self._queue else held_up
        if held_up <= 0:
            self._read(what)
            return
        entry = (self.world.now + held_up, what)
        self._queue.append(entry)

        def late() -> None:
            # guards: timers come before sockets, with what lies there unread
            self.world.process.lists.tidy()
            self._queue.remove(entry)
            self._read(what)

        self.world.at(entry[0], late)

    def _read(self, what: Callable[[], None]) -> None:
        if not self.closing:
            what()

    def bytes_arrive(self, data: bytes, held_up: float = 0.0) -> None:
        if data:
            self.arrive(lambda: self.call.data_received(data), held_up)

    def end(self, how: End, held_up: float = 0.0) -> None:
        """The connection is over for the service, and for the balancer as far as that is told."""
        if self.ended:
            return
        if how is End.SILENCE:
            self.cut_off, self.silent_from = True, min(self.silent_from, self.world.now)
            return
        self.ended = True
        if how is End.LAST_CHUNK and not self.cut_off:
            self.bytes_arrive(LAST_CHUNK, held_up)
        self.arrive(lambda: self._over(ConnectionResetError("reset") if how is End.RESET else None), held_up)

    def _over(self, error: Exception | None) -> None:
        if error is None:
            self.call.eof_received()
        self.closing = True
        self.call.connection_lost(error)


class _Task:
    """The opening of one connection, run by hand."""

    def __init__(self, work: Coroutine[Any, Any, None]) -> None:
        self.work, self.over = work, False

    def begin(self) -> None:
        if not self.over:
            try:
                self.work.send(None)
            except StopIteration:
                self.over = True

    def cancel(self) -> None:
        if not self.over and not self.work.cr_running:  # type: ignore[attr-defined]
            self.over = True
            self.work.close()


class _Never:
    """What is waited for in vain: a connection that never comes up."""

    def __await__(self) -> Any:
        yield self


class _Loop:
    """What the code explored asks of an event loop."""

    def __init__(self, world: World) -> None:
        self.world = world

    def time(self) -> float:
        return self.world.now / 1e3

    def create_task(self, work: Coroutine[Any, Any, None]) -> _Task:
        task = _Task(work)
        self.world.tasks.append(task)
        self.world.at(self.world.now, task.begin)
        return task

    async def create_connection(self, protocol: Callable[[], ListCall], host: str, port: int) -> None:
        call = protocol()
        outcome = self.world.called(call)
        if outcome.kind == "refused":
            raise ConnectionRefusedError("refused")
        if outcome.kind == "unreached":
            await _Never()
        connection = Connection(self.world, call)
        self.world.connections.append(connection)
        self.world.outcomes[connection] = outcome
        call.connection_made(connection)


class Process:
    """One process of the balancer: what it knows of u0, and when it asks, as `decide` and `turn` do it."""

    def __init__(self, world: World) -> None:
        self.world = world
        self.active = True  # u0, in its list
        self.lease = ListLease()
        self.lease.configure(GRACE, MUST_ASK_IN, False)
        self.lease.start(world.now)
        self.call_schedule = CallSchedule(0.5)
        self.call_schedule.configure(BALANCERS, MUST_ASK_IN)
        self._noted: list[Callable[[], None]] = []
        self.lists = Discovery(
            cast(asyncio.AbstractEventLoop, _Loop(world)),
            HERE,
            1,
            cast(Any, _Silent()),
            tell=lambda news: self._noted.append(lambda: self._told(news)),
            tell_failed=lambda failure: self._noted.append(lambda: self._failed(failure)),
            tell_lease=lambda message: self._noted.append(lambda: self._renew(message)),
        )
        self.lists.again, self.lists.patient = self.call_schedule.period / 1e3, True

    def turn(self) -> None:
        """What was noted is told, and a call that is due goes out."""
        while self._noted:
            noted, self._noted = self._noted, []
            for call in noted:
                call()
        if self.world.now >= self.call_schedule.next_call_at:
            self.call_schedule.call_started(self.world.now)
            self.lists.watch(True)
            self.turn()

    def _told(self, news: News) -> None:
        if self.lists.told_by_watch:
            self.call_schedule.call_answered()
        state = next((target.state for target, _ in news.targets if target.uid == "u0"), "")
        if state or news.whole:
            self.active = state == "active"

    def _failed(self, failure: CallFailure) -> None:
        self.call_schedule.call_failed(self.world.now, failure.turned_away)
        if failure.lost:
            self.call_schedule.update_lost(self.world.now)

    def _renew(self, message: LeaseMessage) -> None:
        self.lease.apply(self.world.now, message)
        if (
            isinstance(message, UpdateRead)
            and self.lease.has_lost_update
            and self.call_schedule.next_call_at == inf
        ):
            self.call_schedule.update_lost(self.world.now)


class World:
    """The service, the balancer and what lies between them; `step` moves on to what comes next."""

    def __init__(
        self, choices: Choices, outcomes: Sequence[Outcome], most_calls: int, machine: Machine
    ) -> None:
        self.choices, self.options, self.calls_left, self.machine = choices, outcomes, most_calls, machine
        self.now = START
        self.trace: list[str] = []
        self.connections: list[Connection] = []
        self.outcomes: dict[Connection, Outcome] = {}
        self.tasks: list[_Task] = []
        self.changed_at = inf  # u0 began to drain
        self.written_told = inf  # it counts as told by what was written
        self.silent_before = inf  # the same, without the latest writing
        self.refused_at = -inf  # the service was down, as a call found
        self.tail: Outcome | None = None  # of all calls behind those that are chosen
        self.tail_at = inf  # the first of them began
        self.chosen_at = START
        self.moments_left = MOST_MOMENTS
        self.apart = False  # of two calls on which the same is written at once one alone loses it
        self._lost_at = -inf
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._serial = 0
        self.process = Process(self)
        self.at(self.now + TIDY, self._tidy)

    # time

    def at(self, time: float, what: Callable[[], None]) -> None:
        self._serial += 1
        heapq.heappush(self._events, (time, self._serial, what))

    def next_at(self) -> float:
        return max(self.now, min(self._events[0][0], self.process.call_schedule.next_call_at))

    def step(self) -> None:
        """What comes next, and what the process does of it."""
        self.now = self.next_at()
        if self._events[0][0] <= self.now:
            heapq.heappop(self._events)[2]()
        self.process.turn()

    def _tidy(self) -> None:
        self.process.lists.tidy()
        self.at(self.now + TIDY, self._tidy)

    def say(self, words: str) -> None:
        self.trace.append(f"{(self.now - START) / 1e3:6.2f} s  {words}")

    def choose(self, options: Sequence[Option]) -> Option:
        if self.now > self.tail_at + LAST_CHOICE:
            # guards: a balancer that ends and makes calls without a pause would be given choices for good
            return options[0]
        self.chosen_at = self.now
        return self.choices.choose(options)

    # the service

    def told_at(self) -> float:
        """From when the drain of u0 counts as told."""
        return min(self.written_told, max(self.changed_at, self.refused_at) + AT_LAST)

    def moment(self, words: str) -> None:
        """A moment at which u0 may begin to drain."""
        if self.changed_at < inf or self.moments_left == 0:
            return
        self.moments_left -= 1
        if self.choose((False, True)):
            self.drain(words)

    def drain(self, words: str) -> None:
        self.changed_at = self.now
        self.say(f"u0 begins to drain, {words}")
        for connection in list(self.connections):
            if connection.watched and not connection.ended and not connection.left:
                self._write_drain(connection)

    def _write_drain(self, connection: Connection) -> None:
        self.write_told(connection)
        number = connection.call.number
        if connection.cut_off:
            self.say(f"it is written on call {number}, which has fallen silent")
            return
        data = chunk(listing(connection.call.address, 1, True))
        places = (0, data.index(b"\n") + 1, len(data) // 2, len(data) - 3)
        ways: list[tuple[int | None, End | None, float]] = [(None, None, 0.0), (None, None, HELD_UP)]
        ways += [(place, how, 0.0) for place in places for how in (End.FIN, End.RESET, End.SILENCE)]
        ways += [(0, how, HELD_UP) for how in (End.FIN, End.RESET)]
        if self.apart and self._lost_at == self.now:
            ways = ways[:2]
        place, how, held_up = self.choose(ways)
        if how is not None:
            self._lost_at = self.now
        if place is None or how is None:
            self.say(f"it is written on call {number}, and arrives" + (" late" if held_up else ""))
            connection.bytes_arrive(data, held_up)
            return
        self.say(
            f"it is written on call {number}, {place} of {len(data)} bytes arrive, then it {how.value}"
            + (", which is read late" if held_up else "")
        )
        connection.bytes_arrive(data[:place], held_up)
        connection.cut_off = True
        if how is End.SILENCE:
            # what a silent watch misses counts as told by its own clock
            self.written_told = min(self.silent_before, self.now + AT_LAST)
        connection.end(how, held_up)

    def write_told(self, connection: Connection) -> None:
        """Something with the drain is written on a call."""
        self.silent_before = self.written_told
        silent = connection.silent_from + AT_LAST if connection.silent_from < inf else 0.0
        self.written_told = min(self.written_told, max(self.now, silent))

    def called(self, call: ListCall) -> Outcome:
        """A call begins to connect: what becomes of it."""
        self.moment(f"before call {call.number} connects")
        if self.calls_left > 0:
            self.calls_left -= 1
            outcome = self.choose(self.options)
        else:
            if self.tail is None:
                self.tail, self.tail_at = self.choose(TAILS), self.now
            outcome = self.tail
        kind = "watch" if call.watching else "whole list"
        self.say(f"call {call.number} ({kind}, from {call.after_version}) {outcome.words}")
        if outcome.kind == "refused":
            self.refused_at = self.now
        return outcome

    def asked(self, connection: Connection) -> None:
        """The request of a call has come."""
        outcome = self.outcomes[connection]
        if outcome.kind != "unreached":
            self.at(self.now + outcome.after, lambda: self._answer(connection, outcome))

    def _answer(self, connection: Connection, outcome: Outcome) -> None:
        if connection.ended or connection.left:
            return
        if outcome.kind == "turned away":
            connection.bytes_arrive(TURNED_AWAY[: outcome.cut])
            connection.end(outcome.end or End.LAST_CHUNK)
            return
        if outcome.kind == "nothing":
            if outcome.end is not None:
                connection.end(outcome.end)
            return
        if outcome.after:
            self.moment(f"before call {connection.call.number} is answered")
        if connection.ended or connection.left:
            return
        self._write_answer(connection, outcome)
        if outcome.end is not None and outcome.cut is None:
            self.at(self.now + outcome.end_after, lambda: self.break_off(connection, cast(End, outcome.end)))

    def _write_answer(self, connection: Connection, outcome: Outcome) -> None:
        call, drains = connection.call, self.changed_at < inf
        if drains:
            self.write_told(connection)
        if call.watching:
            data = HEAD + chunk(listing(call.address, call.after_version, drains))
        else:
            body = listing(call.address, -1, drains)
            data = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body)
        places = cuts(data)
        place = len(data) if outcome.cut is None else places[min(outcome.cut, len(places) - 1)]
        connection.watched = call.watching and outcome.cut is None
        connection.bytes_arrive(data[:place], outcome.held_up)
        if outcome.cut is not None and outcome.end is not None:
            connection.cut_off = True
            if outcome.end is End.SILENCE and drains:
                self.written_told = min(self.silent_before, self.now + AT_LAST)
            connection.end(outcome.end)
        elif not call.watching:
            connection.ended = True
            connection.arrive(lambda: connection._over(None))
        else:
            self.at(self.now + EMPTY_LINE, lambda: self._empty_line(connection))
            self.moment(f"right after call {call.number} was answered")

    def _empty_line(self, connection: Connection) -> None:
        if connection.ended or connection.left:
            return
        if not connection.cut_off:
            connection.bytes_arrive(chunk(b""))
        self.at(self.now + EMPTY_LINE, lambda: self._empty_line(connection))

    def break_off(self, connection: Connection, how: End) -> None:
        if connection.ended or connection.left or connection.cut_off:
            return
        number = connection.call.number
        self.moment(f"right before call {number} {how.value}")
        if connection.ended or connection.left or connection.cut_off:
            return
        self.say(f"call {number} {how.value}")
        connection.end(how)
        self.at(self.now + 100.0, lambda: self.moment(f"0.1 s after call {number} was over"))

    def balancer_ends(self, connection: Connection) -> None:
        """The balancer has ended its sending; the service sees that 0.1 s later, and answers it."""
        if connection.ended:
            return
        number = connection.call.number
        self.say(f"the balancer ends call {number}")
        # guards: what is written until the service sees it counts as told
        self.at(self.now, lambda: self.moment(f"before the service sees the end of call {number}"))
        self.at(self.now + 100.0, lambda: self._see_end(connection))

    def _see_end(self, connection: Connection) -> None:
        if connection.ended:
            return
        connection.left = True
        if connection.cut_off:
            return
        ways = (End.FIN, End.RESET)
        how = self.choose((End.LAST_CHUNK, *ways) if connection.watched else ways)
        self.say(f"the service has seen it: call {connection.call.number} {how.value}")
        connection.end(how)

    # what happens to the balancer

    def move(self) -> None:
        self.moment("before the balancer is led to another service")
        self.say("the balancer is led to another service")
        self.process.lists.move(ELSEWHERE)
        self.process.call_schedule.call_started(self.now, new_service=True)
        self.process.turn()

    def restart(self) -> None:
        self.moment("before the process is killed")
        self.say("the process is killed, and another begins with the list of before")
        self.process.lists.close()
        for connection in self.connections:
            connection.abort()
        # a process starts from nothing: what was written to the one before counts by the clock alone
        self.written_told = self.silent_before = inf
        self.process = Process(self)
        self.process.call_schedule.begin(self.now, True)

    def close(self) -> None:
        self.process.lists.close()
        for task in self.tasks:
            task.cancel()


TAILS = (
    Outcome("is answered, as all from now on", "answered"),
    Outcome("is turned away at once, as all from now on", "turned away"),
)


def listing(at: tuple[str, int], after: int, drains: bool) -> bytes:
    """The list of a service, or what has changed after a version; below 0: the whole list."""
    offset = OFFSET[at]
    state = b"leaving" if drains else b"active"
    entries = b'{"uid":"u0","endpoint":"10.1.0.1:70","az":"a","state":"%b"}' % state
    version = offset + (2 if drains else 1)
    return b'{"rev":%d,"all":%b,"targets":[%b]}' % (
        version,
        b"true" if after < 0 else b"false",
        entries if after < version else b"",
    )


def chunk(line: bytes) -> bytes:
    return b"%x\r\n%b\n\r\n" % (len(line) + 1, line)


def cuts(data: bytes) -> tuple[int, ...]:
    """Places at which an answer may be cut off: before it, in its head, behind that, and in its body."""
    body = data.index(b"\r\n\r\n") + 4
    size = data.index(b"{")
    return 0, body // 2, body, size, size + (len(data) - size) // 2, len(data.rstrip())
