"""The model of the list service: what it knows of the servers, and when it tells whom.

Assumptions. It learns of a start, a drain or a death after a random time, of a vanished machine later.
Changes go out in batches, to each watch after a random spread. A call for the list waits its turn where
the service answers so many a second; one that would wait longer than the time-out fails then. While the
service is down calls fail after a trip and all watches have ended, which is told at once.
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
    """What the list says of one server."""

    server: Server
    readiness: Readiness
    started: float  # ms on the world's clock, under 0 for long ago


class Watcher(Protocol):
    """Who asks for the list."""

    def receive_list(self, lines: list[Line], whole: bool, number: int) -> None: ...
    def list_call_failed(self) -> None: ...
    def alive(self) -> bool: ...


class Registry:
    """One list service for all balancers."""

    def __init__(self, world: World, figures: scenario.Registry, draw: Callable[[], float]) -> None:
        self._world = world
        self._figures = figures
        self._draw = draw
        self._first: list[Line] = []
        self._now_listed: dict[Server, Line] = {}
        self._changes: list[tuple[float, Line]] = []  # when it learnt, and what; all of the day
        self._watches: dict[Watcher, int] = {}  # how many changes it has been sent
        self._due = False
        self._free_at = 0.0
        self.down = False
        self.slower = 0.0  # ms that it takes longer to notice
        self.calls = self.failed = 0

    # what happens to servers

    def begin(self, servers: list[Server]) -> None:
        """What it knows at the start of the day."""
        self._first = [Line(server, Readiness.READY, -1.0) for server in servers]
        self._now_listed = {line.server: line for line in self._first}

    def happened(self, server: Server, readiness: Readiness, silent: bool = False) -> None:
        """A server is started, drained or gone; the service will learn of it."""
        low, high = self._figures.silent_ms if silent else self._figures.notice_ms
        wait = low + (high - low) * self._draw() + self.slower
        self._world.after(
            wait, self._learn, Line(server, readiness, max(0.0, server.started_at)), server.incarnation
        )

    def _learn(self, line: Line, incarnation: int) -> None:
        if line.server.incarnation != incarnation and line.readiness is not Readiness.READY:
            return  # it has been started anew since
        known = self._now_listed.get(line.server)
        if known is not None and known.readiness is line.readiness and known.started == line.started:
            return
        if known is not None and line.readiness is Readiness.DRAINING and known.readiness is Readiness.GONE:
            return
        if line.readiness is Readiness.GONE:
            self._now_listed.pop(line.server, None)
        else:
            self._now_listed[line.server] = line
        self._changes.append((self._world.now, line))
        if not self._due:
            self._due = True
            self._world.after(self._figures.period_ms, self._tell)

    # who is told

    def listed_at(self, when: float) -> tuple[list[Line], int]:
        """The list as it stood at a time, for balancers that start from an old one, and the changes in it."""
        listed = {line.server: line for line in self._first}
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

    def watch(self, who: Watcher, known: int) -> None:
        """A call for the changes from now on; `known` of them (a number told before) are not sent again."""
        self._call(who, lambda: self._subscribe(who, known))

    def refresh(self, who: Watcher) -> None:
        """A call for the whole list, once."""
        self._call(who, lambda: who.receive_list(list(self._now_listed.values()), True, len(self._changes)))

    def subscribe(self, who: Watcher) -> None:
        """A watch that needs no call, from the start of the day."""
        self._watches[who] = len(self._changes)

    def _call(self, who: Watcher, answer: Callable[[], None]) -> None:
        self.calls += 1
        if self.down:
            self._fail(who, 1.0)
            return
        wait = 1.0
        if self._figures.calls_per_s:
            start = max(self._world.now, self._free_at)
            wait = start - self._world.now + 1e3 / self._figures.calls_per_s
            if wait > self._figures.timeout_ms:
                self._fail(who, self._figures.timeout_ms)
                return
            self._free_at = start + 1e3 / self._figures.calls_per_s
        self._world.after(wait, self._answer, who, answer)

    def _answer(self, who: Watcher, answer: Callable[[], None]) -> None:
        if self.down:
            self._fail(who, 0.0)
        elif who.alive():
            answer()

    def _fail(self, who: Watcher, after: float) -> None:
        self.failed += 1
        self._world.after(after, self._say_nothing, who)

    def _say_nothing(self, who: Watcher) -> None:
        if who.alive():
            who.list_call_failed()

    def _subscribe(self, who: Watcher, known: int) -> None:
        self._watches[who] = len(self._changes)
        who.receive_list(self._since(known), False, len(self._changes))

    def _since(self, known: int) -> list[Line]:
        """The last word on each server that changed since."""
        last = {line.server: line for _, line in self._changes[known:]}
        return list(last.values())

    def _tell(self) -> None:
        self._due = False
        number = len(self._changes)
        for who, known in list(self._watches.items()):
            if not who.alive():
                del self._watches[who]
            elif known < number:
                self._watches[who] = number
                self._world.after(
                    self._draw() * self._figures.spread_ms, self._send, who, self._since(known), number
                )

    def _send(self, who: Watcher, lines: list[Line], number: int) -> None:
        if who.alive() and who in self._watches:
            who.receive_list(lines, False, number)

    def end_watches(self) -> None:
        """All watches end, which each balancer notices at once."""
        watches, self._watches = self._watches, {}
        for who in watches:
            self._say_nothing(who)
