"""Every order of what a list service writes, loses and ends, and until when a balancer sends by its list.

The code explored is `lease.py`, `net/list_call.py`, `net/discovery.py` themselves, and `call_schedule.py` for
when the next call goes out; `list_world` has the service and the connections. One server begins to drain at
any of the moments that matter; it counts as told when that is written on any call of this balancer, 6 s after
a call has fallen silent on which it was written, or 6 s after it began at a service that can be reached,
whichever is first. A path is one way through all choices; all are gone through, depth first.

What must hold on every path, at every moment of it:

- grace: nothing is sent to a server more than the grace after it counts as told. A process may be held up
  between its last look and the first byte; what the pages allow besides (bytes that are held up for less than
  that time, four times the time for asking) lies within it, or beyond the end of a path;
- liveness: once the service answers every call, one that began after all that was lost, requests go again.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass
from math import inf
from random import Random
from time import perf_counter

from ospreyline.check.list_world import (
    AT_LAST,
    GRACE,
    HELD_UP,
    MUST_ASK_IN,
    START,
    End,
    Machine,
    Option,
    Outcome,
    World,
)

SETTLED = 9_000.0  # ms after the last choice at which a path ends, and requests have to go again
LATEST = START + 4 * MUST_ASK_IN - 1_000.0  # from then on the list may be used again
STANDING = Outcome("is answered, and stands", "answered")

ENDS = (End.LAST_CHUNK, End.FIN, End.RESET, End.SILENCE)
BROKEN = (End.FIN, End.RESET, End.SILENCE)
PLACES = (
    "nothing of it arrives",
    "a part of its head arrives",
    "its head arrives",
    "the size of a chunk arrives",
    "half a line arrives",
    "all but the end of its line arrives",
)

ANSWERS = (
    STANDING,
    Outcome("is answered after 2 s, and stands", "answered", 2_000.0),
    Outcome("is answered after 2.25 s, which is read late, and stands", "answered", 2_250.0, held_up=HELD_UP),
    *(
        Outcome(f"is answered, and {how.value} after 0.5 s", "answered", 0.0, None, how, 500.0)
        for how in ENDS
    ),
)
TURNED_AWAY = (
    Outcome("is turned away at once", "turned away"),
    Outcome("is turned away after 2 s", "turned away", 2_000.0),
    Outcome("is turned away, in a part of a head, and is reset", "turned away", 0.0, 9, End.RESET),
)
NOTHING = (
    Outcome("is refused", "refused"),
    Outcome("never connects", "unreached"),
    Outcome("hears nothing", "nothing"),
    *(
        Outcome(f"{how.value} with nothing written", "nothing", 0.0, None, how)
        for how in (End.FIN, End.RESET)
    ),
)
LOST = tuple(
    Outcome(f"is answered, {words}, then it {how.value}", "answered", 0.0, place, how)
    for place, words in enumerate(PLACES)
    for how in BROKEN
)
LOST_LATE = tuple(
    Outcome(f"is answered after 0.1 s, {words}, then it {how.value}", "answered", 100.0, place, how)
    for place, words in enumerate(PLACES)
    if place in (0, 4)
    for how in BROKEN
)
OUTCOMES = (*ANSWERS, *TURNED_AWAY, *NOTHING, *LOST, *LOST_LATE)


@dataclass(slots=True, frozen=True)
class Found:
    """How an exploration ended."""

    paths: int
    moments: int  # that were looked at on them
    seconds: float
    whole: bool  # all paths within the bounds were gone through
    broken: str  # the sentence that does not hold; empty if all do
    trace: tuple[str, ...]  # what happened on that path


class Script:
    """The choices of one path: those that are set, then the first of each; and which path is next."""

    def __init__(self, taken: Sequence[int] = ()) -> None:
        self._set = list(taken)
        self._taken: list[tuple[int, int]] = []  # which of how many

    def choose(self, options: Sequence[Option]) -> Option:
        at = len(self._taken)
        index = self._set[at] if at < len(self._set) else 0
        self._taken.append((index, len(options)))
        return options[index]

    def next(self) -> list[int] | None:
        """The choices that lead to the next path; None if this was the last."""
        taken = list(self._taken)
        while taken and taken[-1][0] == taken[-1][1] - 1:
            taken.pop()
        return [index for index, _ in taken[:-1]] + [taken[-1][0] + 1] if taken else None


class Drawn(Script):
    """The choices of one path, drawn by seed."""

    def __init__(self, seed: int) -> None:
        super().__init__()
        self._index = Random(seed).randrange

    def choose(self, options: Sequence[Option]) -> Option:
        return options[self._index(len(options))]


class Explorer:
    """Paths of one kind of beginning; a planted mistake is a patch of the code explored."""

    def __init__(
        self, begin: str, calls: int = 2, outcomes: Sequence[Outcome] = OUTCOMES, apart: bool = False
    ) -> None:
        """`begin`: a key of `BEGINNINGS`; `calls`: of which it is explored what becomes of them."""
        self.begin, self.calls, self.outcomes, self.apart = BEGINNINGS[begin], calls, outcomes, apart

    def explore(self, most: int = 10_000_000) -> Found:
        """All paths, up to the first that breaks a sentence."""
        begun, paths, moments, machine = perf_counter(), 0, 0, Machine()
        chosen: list[int] | None = []
        try:
            while chosen is not None and paths < most:
                script = Script(chosen)
                broken, looks, trace = self._walk(script, machine)
                paths, moments = paths + 1, moments + looks
                if broken:
                    return Found(paths, moments, perf_counter() - begun, False, broken, trace)
                chosen = script.next()
        finally:
            machine.close()
        return Found(paths, moments, perf_counter() - begun, chosen is None, "", ())

    def sample(self, paths: int, seed: int = 1) -> Found:
        """So many paths, drawn by seed: deeper ones than all can be gone through of."""
        begun, moments, machine = perf_counter(), 0, Machine()
        try:
            for number in range(paths):
                broken, looks, trace = self._walk(Drawn(seed * 1_000_003 + number), machine)
                moments += looks
                if broken:
                    return Found(number + 1, moments, perf_counter() - begun, False, broken, trace)
        finally:
            machine.close()
        return Found(paths, moments, perf_counter() - begun, False, "", ())

    def _walk(self, script: Script, machine: Machine) -> tuple[str, int, tuple[str, ...]]:
        """One path: the sentence that it breaks, how many moments were looked at, what happened."""
        world, looks, broken = World(script, self.outcomes, self.calls, machine), 0, ""
        world.apart = self.apart
        self.begin(world)
        while not broken and world.now < min(world.chosen_at + SETTLED, LATEST):
            if not (broken := grace(world)):
                world.step()
                looks += 1
        broken = broken or (liveness(world) if world.now < LATEST else "")
        world.close()
        return broken, looks, tuple(world.trace)


def grace(world: World) -> str:
    """Whether a request may leave for u0 too late, up to what comes next."""
    told = world.told_at()
    if told == inf or not world.process.active:
        return ""
    at = max(world.now, told + GRACE - HELD_UP + 1.0)
    if at >= world.next_at() or world.process.lease.blocks_sends(at):
        return ""
    world.now = at
    world.say(f"a request may be sent to u0, which counts as told since {(told - START) / 1e3:.2f} s")
    return (
        f"grace: a request leaves for u0 up to {at + HELD_UP - told:.0f} ms after it counts as told, "
        f"of {GRACE:.0f}"
    )


def liveness(world: World) -> str:
    """Whether nothing is sent though the service has answered every call for a long time."""
    if world.tail is None or world.tail.kind != "answered":
        return ""
    why = world.process.lease.block_reason(world.now)
    if why is None:
        return ""
    world.say("requests are withheld still")
    return f"liveness: {why.value}, and the service has answered all calls"


def _standing(world: World) -> None:
    """A watch has been answered, and stands."""
    _answered(world)
    world.moment("at a service that is watched")


def _answered(world: World) -> None:
    chosen, world.calls_left = world.calls_left, 0
    world.tail = STANDING
    world.process.call_schedule.next_call_at = world.now
    while not world.process.lists.told_by_watch:
        world.step()
    world.calls_left, world.tail = chosen, None


def _asked_for(world: World) -> None:
    """The watch of a balancer ends in form, so that its next call is made."""
    _answered(world)
    world.connections[0].end(End.LAST_CHUNK)
    world.say("call 1 ends with its last chunk")


def _first(world: World) -> None:
    """A process begins with a list that another one had, and that may be older than a drain."""
    if world.choose((False, True)):
        world.changed_at = world.now - AT_LAST - 1_000.0
        world.say("u0 has drained for 7 s")
    world.process.call_schedule.begin(world.now, True)


def _moved(world: World) -> None:
    """A watch has been answered, and stands, and the balancer is led to another service."""
    _answered(world)
    world.at(world.now + 100.0, world.move)


def _restarted(world: World) -> None:
    """A watch has been answered, and stands, and the process is killed."""
    _answered(world)
    world.at(world.now + 100.0, world.restart)


def _broken(world: World) -> None:
    """A watch has been answered, stands, and breaks in any manner."""
    _answered(world)
    how = world.choose(ENDS)
    connection = world.connections[0]
    world.at(world.now + 100.0, lambda: world.break_off(connection, how))


BEGINNINGS: dict[str, Callable[[World], None]] = {
    "standing": _standing,
    "broken": _broken,
    "waiting": _asked_for,
    "first": _first,
    "moved": _moved,
    "restarted": _restarted,
}
