"""The model of the list service: what it knows of the servers, and when it sends that to watchers.

Assumptions. It learns of a start, a drain or a death after a random time, of a vanished machine later.
Changes are sent in batches, to each watch after a random delay. With a limit of calls per second calls wait
in a queue; one that would wait longer than the timeout fails at the timeout. While the service is down,
calls fail after 1 ms, and all watches have ended, which balancers notice at once.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from ospreyline.host import Readiness
from ospreyline.lab import scenario
from ospreyline.lab.servers import Server
from ospreyline.lab.world import World


@dataclass(slots=True, frozen=True)
class Line:
    """The list entry of one server."""

    server: Server
    readiness: Readiness
    started: float  # simulated time in ms; negative: before the simulation


class Watcher(Protocol):
    """A balancer that calls for the list."""

    def receive_list(self, lines: list[Line], whole: bool, number: int) -> None: ...
    def list_call_failed(self) -> None: ...
    def alive(self) -> bool: ...


class Registry:
    """The list service of all balancers."""

    def __init__(self, world: World, figures: scenario.Registry, draw: Callable[[], float]) -> None:
        self._world = world
        self._settings = figures
        self._draw = draw
        self._initial: list[Line] = []
        self._current: dict[Server, Line] = {}
        self._changes: list[tuple[float, Line]] = []  # all so far: when the service learned of it, the entry
        self._sent_changes: dict[Watcher, int] = {}  # per watch: number of changes sent so far
        self._batch_due = False
        self._next_free_at = 0.0
        self.down = False
        self.slower = 0.0  # additional ms until it notices a change
        self.calls = self.failed = 0

    # -- changes of servers ----------------------------------------------------------------------------------

    def begin(self, servers: list[Server]) -> None:
        """Set the list at the start of the simulation."""
        self._initial = [Line(server, Readiness.READY, -1.0) for server in servers]
        self._current = {line.server: line for line in self._initial}

    def server_changed(self, server: Server, readiness: Readiness, silent: bool = False) -> None:
        """A server has started, drains or is gone; the service learns of it after a delay."""
        low, high = self._settings.silent_ms if silent else self._settings.notice_ms
        wait = low + (high - low) * self._draw() + self.slower
        self._world.after(
            wait, self._learn, Line(server, readiness, max(0.0, server.started_at)), server.incarnation
        )

    def _learn(self, line: Line, incarnation: int) -> None:
        if line.server.incarnation != incarnation and line.readiness is not Readiness.READY:
            return  # it has been restarted since
        known = self._current.get(line.server)
        if known is not None and known.readiness is line.readiness and known.started == line.started:
            return
        if known is not None and line.readiness is Readiness.DRAINING and known.readiness is Readiness.GONE:
            return
        if line.readiness is Readiness.GONE:
            self._current.pop(line.server, None)
        else:
            self._current[line.server] = line
        self._changes.append((self._world.now, line))
        if not self._batch_due:
            self._batch_due = True
            self._world.after(self._settings.period_ms, self._send_batches)

    # -- calls and watches -----------------------------------------------------------------------------------

    def listed_at(self, when: float) -> tuple[list[Line], int]:
        """The list as it was at a time, for balancers that start from an old one, and its change count."""
        listed = {line.server: line for line in self._initial}
        number = 0
        for at, line in self._changes:
            if at > when:
                break
            number += 1
            if line.readiness is Readiness.GONE:
                listed.pop(line.server, None)
            else:
                listed[line.server] = line
        return list(listed.values()), number

    def watch(self, watcher: Watcher, known: int) -> None:
        """A call that starts a watch; the first `known` changes (received before) are not sent again."""
        self._serve_call(watcher, lambda: self._subscribe(watcher, known))

    def refresh(self, watcher: Watcher) -> None:
        """A call for the whole list, without a watch."""
        self._serve_call(
            watcher, lambda: watcher.receive_list(list(self._current.values()), True, len(self._changes))
        )

    def subscribe(self, watcher: Watcher) -> None:
        """Start a watch without a call (push mode)."""
        self._sent_changes[watcher] = len(self._changes)

    def _serve_call(self, watcher: Watcher, answer: Callable[[], None]) -> None:
        self.calls += 1
        if self.down:
            self._fail(watcher, 1.0)
            return
        wait = 1.0
        if self._settings.calls_per_s:
            start = max(self._world.now, self._next_free_at)
            wait = start - self._world.now + 1e3 / self._settings.calls_per_s
            if wait > self._settings.timeout_ms:
                self._fail(watcher, self._settings.timeout_ms)
                return
            self._next_free_at = start + 1e3 / self._settings.calls_per_s
        self._world.after(wait, self._answer, watcher, answer)

    def _answer(self, watcher: Watcher, answer: Callable[[], None]) -> None:
        if self.down:
            self._fail(watcher, 0.0)
        elif watcher.alive():
            answer()

    def _fail(self, watcher: Watcher, after: float) -> None:
        self.failed += 1
        self._world.after(after, self._notify_failure, watcher)

    def _notify_failure(self, watcher: Watcher) -> None:
        if watcher.alive():
            watcher.list_call_failed()

    def _subscribe(self, watcher: Watcher, known: int) -> None:
        self._sent_changes[watcher] = len(self._changes)
        watcher.receive_list(self._changes_since(known), False, len(self._changes))

    def _changes_since(self, known: int) -> list[Line]:
        """The latest entry of each server changed after the first `known` changes."""
        last = {line.server: line for _, line in self._changes[known:]}
        return list(last.values())

    def _send_batches(self) -> None:
        self._batch_due = False
        number = len(self._changes)
        for watcher, known in list(self._sent_changes.items()):
            if not watcher.alive():
                del self._sent_changes[watcher]
            elif known < number:
                self._sent_changes[watcher] = number
                self._world.after(
                    self._draw() * self._settings.spread_ms,
                    self._send,
                    watcher,
                    self._changes_since(known),
                    number,
                )

    def _send(self, watcher: Watcher, lines: list[Line], number: int) -> None:
        if watcher.alive() and watcher in self._sent_changes:
            watcher.receive_list(lines, False, number)

    def end_watches(self) -> None:
        """End all watches; each balancer notices at once."""
        watches, self._sent_changes = self._sent_changes, {}
        for watcher in watches:
            self._notify_failure(watcher)
