"""A simulated list service, one balancer and the connections between them, without sockets.

The balancer is the real `ListClient` with real calls, `ListLease` and `CallSchedule`, driven by bytes on a
simulated clock (ms). The service knows what it has written. Each event with more than one possible outcome is
passed to `choose`; `list_lease` explores all choices. One server, u0, begins to drain at a chosen point.
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
from ospreyline.net.discovery import CallFailure, ListClient
from ospreyline.net.list_call import ListCall
from ospreyline.net.listing import ListUpdate

GRACE_MS, MUST_ASK_IN_MS, BALANCER_COUNT = 500.0, 10_000.0, 4
STALL_MS = 150.0  # longest stall of a process before it reads, and again before it writes
NOTIFIED_AFTER_MOVE_MS = 4_000.0  # and, where it is led to another service, after this of what that has
NOTIFIED_AFTER_MS = (
    6_000.0  # a reachable service counts as having notified the balancer of a change after this
)
EMPTY_LINE_MS = 2_000.0  # between the empty lines of a watch
MAINTENANCE_MS = 250.0  # between two runs of the periodic cleanup
START_MS = 100_000.0
CHOICE_WINDOW_MS = 5_000.0  # choices are offered for this long after the first call with `later_outcome`
MAX_DRAIN_POINTS = 12  # points on one path at which u0 may begin to drain
FIRST_SERVICE, SECOND_SERVICE = ("10.0.0.1", 80), ("10.0.0.2", 80)
VERSION_OFFSET = {FIRST_SERVICE: 0, SECOND_SERVICE: 100}  # each service has its own version sequence
RESPONSE_HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
REJECTION = b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"
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
    """What becomes of a call: the answer, where it is cut off, and how the connection ends."""

    description: str
    kind: str  # refused, unreached (never connects), nothing (no answer), rejected (503), answered
    delay: float = 0.0  # ms from the request to the answer
    cut_place: int | None = None  # index into `cut_places`, bytes if rejected; None: no cut
    end: End | None = None
    end_delay: float = 0.0  # ms from the answer to the end
    stall: float = 0.0  # ms for which the process stalls before it reads the answer


class Choices(Protocol):
    """Picks one of several possible events."""

    def choose(self, options: Sequence[Option]) -> Option: ...


class _NullLog:
    """A logger that discards everything."""

    def info(self, event: str, **values: Any) -> None: ...

    def warning(self, event: str, **values: Any) -> None: ...


class FakeSocket:
    """The socket below a transport: its descriptor polls as readable while `has_unread` is set."""

    family, type, proto = socket.AF_INET, socket.SOCK_STREAM, 0

    def __init__(self) -> None:
        self._never_readable, self._writer = os.pipe()
        self._always_readable = os.open(os.devnull, os.O_RDONLY)
        self.has_unread = False

    def fileno(self) -> int:
        return self._always_readable if self.has_unread else self._never_readable

    def getsockopt(self, level: int, option: int) -> int:
        return 0

    def close(self) -> None:
        for descriptor in (self._never_readable, self._writer, self._always_readable):
            os.close(descriptor)


class Connection(asyncio.Transport):
    """The connection of one list call: the balancer's transport, and the service's stream."""

    def __init__(self, world: World, call: ListCall) -> None:
        super().__init__()
        self.world, self.call = world, call
        self.watch_answered = False  # head and answer of a watch were written; changes follow on it
        self.cut_off = False  # nothing written from now on arrives
        self.silent_from = inf
        self.ended = False  # by the service or the network
        self.end_seen = False  # the service has seen that the balancer ended it
        self.closing = False
        self._unread: list[tuple[float, Callable[[], None]]] = []

    # transport interface used by the balancer

    def write(self, data: Any) -> None:
        self.world.call_at(self.world.now, lambda: self.world.on_request(self))

    def write_eof(self) -> None:
        self.world.on_balancer_end(self)

    def abort(self) -> None:
        self.closing = True
        self.ended = True

    def is_closing(self) -> bool:
        return self.closing

    def get_extra_info(self, name: str, default: Any = None) -> Any:
        fake_socket = self.world.fake_socket
        fake_socket.has_unread = bool(self._unread)
        return fake_socket

    # delivery to the balancer

    def deliver(self, action: Callable[[], None], stall: float = 0.0) -> None:
        """Data or an end reaches the balancer's host; its process reads it now, or after `stall` ms."""
        stall = max(stall, *(due - self.world.now for due, _ in self._unread)) if self._unread else stall
        if stall <= 0:
            self._read_now(action)
            return
        entry = (self.world.now + stall, action)
        self._unread.append(entry)

        def read_late() -> None:
            # the event loop may run timers first, while this is still unread on the socket
            self.world.process.lists.tidy()
            self._unread.remove(entry)
            self._read_now(action)

        self.world.call_at(entry[0], read_late)

    def _read_now(self, action: Callable[[], None]) -> None:
        if not self.closing:
            action()

    def deliver_bytes(self, data: bytes, stall: float = 0.0) -> None:
        if data:
            self.deliver(lambda: self.call.data_received(data), stall)

    def end(self, end: End, stall: float = 0.0) -> None:
        """Ends the connection for the service, and for the balancer unless it ends by silence."""
        if self.ended:
            return
        if end is End.SILENCE:
            self.cut_off, self.silent_from = True, min(self.silent_from, self.world.now)
            return
        self.ended = True
        if end is End.LAST_CHUNK and not self.cut_off:
            self.deliver_bytes(LAST_CHUNK, stall)
        self.deliver(
            lambda: self._close_transport(ConnectionResetError("reset") if end is End.RESET else None), stall
        )

    def _close_transport(self, error: Exception | None) -> None:
        if error is None:
            self.call.eof_received()
        self.closing = True
        self.call.connection_lost(error)


class _Task:
    """The coroutine that opens one connection, stepped by the world."""

    def __init__(self, coroutine: Coroutine[Any, Any, None]) -> None:
        self.coroutine, self.done = coroutine, False

    def begin(self) -> None:
        if not self.done:
            try:
                self.coroutine.send(None)
            except StopIteration:
                self.done = True

    def cancel(self) -> None:
        if not self.done and not self.coroutine.cr_running:  # type: ignore[attr-defined]
            self.done = True
            self.coroutine.close()


class _NeverConnected:
    """Awaits forever: a connection that is never established."""

    def __await__(self) -> Any:
        yield self


class _FakeLoop:
    """The part of the event loop interface that `ListClient` uses."""

    def __init__(self, world: World) -> None:
        self.world = world

    def time(self) -> float:
        return self.world.now / 1e3

    def create_task(self, coroutine: Coroutine[Any, Any, None]) -> _Task:
        task = _Task(coroutine)
        self.world.tasks.append(task)
        self.world.call_at(self.world.now, task.begin)
        return task

    async def create_connection(self, protocol: Callable[[], ListCall], host: str, port: int) -> None:
        call = protocol()
        outcome = self.world.on_call_started(call)
        if outcome.kind == "refused":
            raise ConnectionRefusedError("refused")
        if outcome.kind == "unreached":
            await _NeverConnected()
        connection = Connection(self.world, call)
        self.world.connections.append(connection)
        self.world.outcome_of[connection] = outcome
        call.connection_made(connection)


class Process:
    """One balancer process: its state of u0 and when it makes list calls, as in `decide` and `dispatcher`."""

    def __init__(self, world: World) -> None:
        self.world = world
        self.u0_active = True  # state of u0 in its list
        self.lease = ListLease()
        self.lease.configure(GRACE_MS, MUST_ASK_IN_MS, False)
        self.lease.start(world.now)
        self.call_schedule = CallSchedule(0.5)
        self.call_schedule.configure(BALANCER_COUNT, MUST_ASK_IN_MS)
        self._events: list[Callable[[], None]] = []
        self.lists = ListClient(
            cast(asyncio.AbstractEventLoop, _FakeLoop(world)),
            FIRST_SERVICE,
            1,
            cast(Any, _NullLog()),
            on_update=lambda update: self._events.append(lambda: self._on_update(update)),
            on_failure=lambda failure: self._events.append(lambda: self._on_failure(failure)),
            on_lease_message=lambda message: self._events.append(lambda: self._on_lease_message(message)),
        )
        self.lists.repoll_after_s, self.lists.service_may_be_slow = self.call_schedule.period / 1e3, True

    def run_pending(self) -> None:
        """Handles all enqueued events, and starts a list call that is due."""
        while self._events:
            pending, self._events = self._events, []
            for call in pending:
                call()
        if self.world.now >= self.call_schedule.next_call_at:
            self.call_schedule.call_started(self.world.now)
            self.lists.watch(True)
            self.run_pending()

    def _on_update(self, update: ListUpdate) -> None:
        if self.lists.watch_answered:
            self.call_schedule.call_answered()
        state = next((target.state for target, _ in update.entries if target.uid == "u0"), "")
        if state or update.is_full:
            self.u0_active = state == "active"

    def _on_failure(self, failure: CallFailure) -> None:
        self.call_schedule.call_failed(self.world.now, failure.rejected)
        if failure.lost:
            self.call_schedule.update_lost(self.world.now)

    def _on_lease_message(self, message: LeaseMessage) -> None:
        self.lease.apply(self.world.now, message)
        if (
            isinstance(message, UpdateRead)
            and self.lease.has_lost_update
            and self.call_schedule.next_call_at == inf
        ):
            self.call_schedule.update_lost(self.world.now)


class World:
    """The service, the balancer and the network between them; `step` advances to the next event."""

    def __init__(
        self, choices: Choices, outcomes: Sequence[Outcome], max_calls: int, fake_socket: FakeSocket
    ) -> None:
        self.choices, self.possible_outcomes, self.calls_left, self.fake_socket = (
            choices,
            outcomes,
            max_calls,
            fake_socket,
        )
        self.now = START_MS
        self.trace: list[str] = []
        self.connections: list[Connection] = []
        self.outcome_of: dict[Connection, Outcome] = {}
        self.tasks: list[_Task] = []
        self.drain_began_at = inf  # ms; when u0 began to drain
        self.moved_at = inf  # ms; when the balancer was led to another service
        self.notified_by_write = inf  # ms; when a write made the balancer count as notified
        self.notified_before_last_write = inf  # the same, without the latest write
        self.last_refused_at = -inf  # ms; when a call last found the service down
        self.later_outcome: Outcome | None = None  # of all calls after the `max_calls` with a chosen outcome
        self.later_from = inf  # ms; when the first of them began
        self.last_choice_at = START_MS
        self.runs_until = -inf  # ms; the path goes on until then, whenever its last choice was
        self.drain_points_left = MAX_DRAIN_POINTS
        self.one_loss_at_a_time = False  # of two writes at the same time only one is lost
        self._last_loss_at = -inf
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._serial = 0
        self.process = Process(self)
        self.call_at(self.now + MAINTENANCE_MS, self._run_maintenance)

    # simulated time

    def call_at(self, time: float, action: Callable[[], None]) -> None:
        self._serial += 1
        heapq.heappush(self._events, (time, self._serial, action))

    def next_at(self) -> float:
        return max(self.now, min(self._events[0][0], self.process.call_schedule.next_call_at))

    def step(self) -> None:
        """Runs the next event, and the process's reaction to it."""
        self.now = self.next_at()
        if self._events[0][0] <= self.now:
            heapq.heappop(self._events)[2]()
        self.process.run_pending()

    def _run_maintenance(self) -> None:
        self.process.lists.tidy()
        self.call_at(self.now + MAINTENANCE_MS, self._run_maintenance)

    def record(self, description: str) -> None:
        self.trace.append(f"{(self.now - START_MS) / 1e3:6.2f} s  {description}")

    def choose(self, options: Sequence[Option]) -> Option:
        if self.now > self.later_from + CHOICE_WINDOW_MS:
            # without this, a balancer that keeps ending and making calls would make the path endless
            return options[0]
        self.last_choice_at = self.now
        return self.choices.choose(options)

    # list service

    def notified_at(self) -> float:
        """From when the balancer counts as notified of the drain of u0 (ms)."""
        by_time = max(self.drain_began_at, self.last_refused_at) + NOTIFIED_AFTER_MS
        by_move = self.moved_at + NOTIFIED_AFTER_MOVE_MS
        if self.drain_began_at <= self.moved_at and self.last_refused_at < by_move:
            by_time = min(by_time, by_move)
        return min(self.notified_by_write, by_time)

    def offer_drain(self, description: str) -> None:
        """A point at which u0 may begin to drain, by choice."""
        if self.drain_began_at < inf or self.drain_points_left == 0:
            return
        self.drain_points_left -= 1
        if self.choose((False, True)):
            self.drain(description)

    def drain(self, description: str) -> None:
        self.drain_began_at = self.now
        self.record(f"u0 begins to drain, {description}")
        for connection in list(self.connections):
            if connection.watch_answered and not connection.ended and not connection.end_seen:
                self._write_drain(connection)

    def _write_drain(self, connection: Connection) -> None:
        self.count_as_written(connection)
        number = connection.call.number
        if connection.cut_off:
            self.record(f"it is written on call {number}, which has fallen silent")
            return
        data = chunk(list_body(connection.call.address, 1, True))
        places = (0, data.index(b"\n") + 1, len(data) // 2, len(data) - 3)
        options: list[tuple[int | None, End | None, float]] = [(None, None, 0.0), (None, None, STALL_MS)]
        options += [(cut_at, end, 0.0) for cut_at in places for end in (End.FIN, End.RESET, End.SILENCE)]
        options += [(0, end, STALL_MS) for end in (End.FIN, End.RESET)]
        if self.one_loss_at_a_time and self._last_loss_at == self.now:
            options = options[:2]
        cut_at, end, stall = self.choose(options)
        if end is not None:
            self._last_loss_at = self.now
        if cut_at is None or end is None:
            self.record(f"it is written on call {number}, and arrives" + (" late" if stall else ""))
            connection.deliver_bytes(data, stall)
            return
        self.record(
            f"it is written on call {number}, {cut_at} of {len(data)} bytes arrive, then it {end.value}"
            + (", which is read late" if stall else "")
        )
        connection.deliver_bytes(data[:cut_at], stall)
        connection.cut_off = True
        if end is End.SILENCE:
            # a silent watch notifies only by the clock that started with its silence
            self.notified_by_write = min(self.notified_before_last_write, self.now + NOTIFIED_AFTER_MS)
        connection.end(end, stall)

    def count_as_written(self, connection: Connection) -> None:
        """Records that the drain was written on a call, which notifies the balancer."""
        self.notified_before_last_write = self.notified_by_write
        silent = connection.silent_from + NOTIFIED_AFTER_MS if connection.silent_from < inf else 0.0
        self.notified_by_write = min(self.notified_by_write, max(self.now, silent))

    def on_call_started(self, call: ListCall) -> Outcome:
        """A call starts to connect; returns its outcome."""
        self.offer_drain(f"before call {call.number} connects")
        if self.calls_left > 0:
            self.calls_left -= 1
            outcome = self.choose(self.possible_outcomes)
        else:
            if self.later_outcome is None:
                self.later_outcome, self.later_from = self.choose(LATER_OUTCOMES), self.now
            outcome = self.later_outcome
        kind = "watch" if call.watching else "whole list"
        self.record(f"call {call.number} ({kind}, from {call.after_version}) {outcome.description}")
        if outcome.kind == "refused":
            self.last_refused_at = self.now
        return outcome

    def on_request(self, connection: Connection) -> None:
        """The service has received the request of a call."""
        outcome = self.outcome_of[connection]
        if outcome.kind != "unreached":
            self.call_at(self.now + outcome.delay, lambda: self._answer_request(connection, outcome))

    def _answer_request(self, connection: Connection, outcome: Outcome) -> None:
        if connection.ended or connection.end_seen:
            return
        if outcome.kind == "rejected":
            connection.deliver_bytes(REJECTION[: outcome.cut_place])
            connection.end(outcome.end or End.LAST_CHUNK)
            return
        if outcome.kind == "nothing":
            if outcome.end is not None:
                connection.end(outcome.end)
            return
        if outcome.delay:
            self.offer_drain(f"before call {connection.call.number} is answered")
        if connection.ended or connection.end_seen:
            return
        self._write_answer(connection, outcome)
        if outcome.end is not None and outcome.cut_place is None:
            self.call_at(
                self.now + outcome.end_delay, lambda: self.end_call(connection, cast(End, outcome.end))
            )

    def _write_answer(self, connection: Connection, outcome: Outcome) -> None:
        call, draining = connection.call, self.drain_began_at < inf
        if draining:
            self.count_as_written(connection)
        if call.watching:
            data = RESPONSE_HEAD + chunk(list_body(call.address, call.after_version, draining))
        else:
            body = list_body(call.address, -1, draining)
            data = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body)
        places = cut_places(data)
        cut_at = len(data) if outcome.cut_place is None else places[min(outcome.cut_place, len(places) - 1)]
        connection.watch_answered = call.watching and outcome.cut_place is None
        connection.deliver_bytes(data[:cut_at], outcome.stall)
        if outcome.cut_place is not None and outcome.end is not None:
            connection.cut_off = True
            if outcome.end is End.SILENCE and draining:
                self.notified_by_write = min(self.notified_before_last_write, self.now + NOTIFIED_AFTER_MS)
            connection.end(outcome.end)
        elif not call.watching:
            connection.ended = True
            connection.deliver(lambda: connection._close_transport(None))
        else:
            self.call_at(self.now + EMPTY_LINE_MS, lambda: self._empty_line(connection))
            self.offer_drain(f"right after call {call.number} was answered")

    def _empty_line(self, connection: Connection) -> None:
        if connection.ended or connection.end_seen:
            return
        if not connection.cut_off:
            connection.deliver_bytes(chunk(b""))
        self.call_at(self.now + EMPTY_LINE_MS, lambda: self._empty_line(connection))

    def end_call(self, connection: Connection, end: End) -> None:
        if connection.ended or connection.end_seen or connection.cut_off:
            return
        number = connection.call.number
        self.offer_drain(f"right before call {number} {end.value}")
        if connection.ended or connection.end_seen or connection.cut_off:
            return
        self.record(f"call {number} {end.value}")
        connection.end(end)
        self.call_at(self.now + 100.0, lambda: self.offer_drain(f"0.1 s after call {number} was over"))

    def on_balancer_end(self, connection: Connection) -> None:
        """The balancer half-closes; the service sees that 0.1 s later, and ends the connection."""
        if connection.ended:
            return
        number = connection.call.number
        self.record(f"the balancer ends call {number}")
        # what the service writes before it sees the end still notifies the balancer
        self.call_at(self.now, lambda: self.offer_drain(f"before the service sees the end of call {number}"))
        self.call_at(self.now + 100.0, lambda: self._on_end_seen(connection))

    def _on_end_seen(self, connection: Connection) -> None:
        if connection.ended:
            return
        connection.end_seen = True
        if connection.cut_off:
            return
        options = (End.FIN, End.RESET)
        end = self.choose((End.LAST_CHUNK, *options) if connection.watch_answered else options)
        self.record(f"the service has seen it: call {connection.call.number} {end.value}")
        connection.end(end)

    # changes of the balancer

    def move(self) -> None:
        self.offer_drain("before the balancer is led to another service")
        self.record("the balancer is led to another service")
        self.moved_at = self.now
        self.process.lists.change_address(SECOND_SERVICE)
        self.process.call_schedule.call_started(self.now, new_service=True)
        self.process.run_pending()

    def restart(self) -> None:
        self.offer_drain("before the process is killed")
        self.record("the process is killed, and another begins with the list of before")
        self.process.lists.close()
        for connection in self.connections:
            connection.abort()
        # writes to the former process do not notify the new one; only `NOTIFIED_AFTER_MS` does
        self.notified_by_write = self.notified_before_last_write = self.moved_at = inf
        self.process = Process(self)
        self.process.call_schedule.begin(self.now, True)

    def close(self) -> None:
        self.process.lists.close()
        for task in self.tasks:
            task.cancel()


LATER_OUTCOMES = (
    Outcome("is answered, as all from now on", "answered"),
    Outcome("is turned away at once, as all from now on", "rejected"),
)


def list_body(at: tuple[str, int], after: int, draining: bool) -> bytes:
    """JSON update of the list after a version; the full list if `after` is below 0."""
    offset = VERSION_OFFSET[at]
    state = b"leaving" if draining else b"active"
    entry = b'{"uid":"u0","endpoint":"10.1.0.1:70","az":"a","state":"%b"}' % state
    version = offset + (2 if draining else 1)
    return b'{"rev":%d,"all":%b,"targets":[%b]}' % (
        version,
        b"true" if after < 0 else b"false",
        entry if after < version else b"",
    )


def chunk(line: bytes) -> bytes:
    return b"%x\r\n%b\n\r\n" % (len(line) + 1, line)


def cut_places(data: bytes) -> tuple[int, ...]:
    """Byte offsets at which an answer may be cut off: before it, within and after its head, in its body."""
    body = data.index(b"\r\n\r\n") + 4
    size = data.index(b"{")
    return 0, body // 2, body, size, size + (len(data) - size) // 2, len(data.rstrip())
