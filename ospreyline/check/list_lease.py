"""Model checker of the list lease: until when a balancer sends to servers of a possibly stale upstream list.

Explores the production code: `lease.py`, `net/list_call.py`, `net/discovery.py`, and `call_schedule.py`,
which decides when the next call starts. `list_world` simulates the list service and connections. One
server begins to drain at any of the points that matter. The balancer counts as notified at the first of:
the drain is written on any of its calls; 6 s after a call fell silent, if the drain was written on it; 6 s
after the drain began, if the service can be reached; 4 s after the balancer was led to another service that
had the drain then. A path is one combination of all choices; all paths
are explored depth first.

Checked at every step of every path:

- grace: nothing is sent to a server more than the grace after the balancer counts as notified. A process may
  stall between its last check and the first byte. What the pages allow besides (bytes delayed by less than
  that, four times `must_ask_in` of a balancer without a watch) lies within the grace, or beyond the end of
  a path. Paths that are cut off go on beyond it;
- liveness: once the service answers every call, and one call began after all losses, sends are allowed again.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass
from math import inf
from random import Random
from time import perf_counter

from ospreyline.check.list_world import (
    GRACE_MS,
    MUST_ASK_IN_MS,
    NOTIFIED_AFTER_MS,
    STALL_MS,
    START_MS,
    End,
    FakeSocket,
    Option,
    Outcome,
    World,
)

SETTLE_MS = 9_000.0  # a path ends this long after its last choice; sends must be allowed again by then
# from then on the list may be used again, if no connection was open
LATEST_MS = START_MS + 4 * MUST_ASK_IN_MS - 1_000.0
CUT_OFF_MS = 60_000.0  # length of an outage in which nothing passes, longer than four times `must_ask_in`
STAYS_OPEN = Outcome("is answered, and stands", "answered")
UNREACHED = Outcome("never connects", "unreached")

ENDS = (End.LAST_CHUNK, End.FIN, End.RESET, End.SILENCE)
ABRUPT_ENDS = (End.FIN, End.RESET, End.SILENCE)
CUT_PLACES = (
    "nothing of it arrives",
    "a part of its head arrives",
    "its head arrives",
    "the size of a chunk arrives",
    "half a line arrives",
    "all but the end of its line arrives",
)

ANSWERS = (
    STAYS_OPEN,
    Outcome("is answered after 2 s, and stands", "answered", 2_000.0),
    Outcome("is answered after 2.25 s, which is read late, and stands", "answered", 2_250.0, stall=STALL_MS),
    *(
        Outcome(f"is answered, and {end.value} after 0.5 s", "answered", 0.0, None, end, 500.0)
        for end in ENDS
    ),
)
REJECTED = (
    Outcome("is turned away at once", "rejected"),
    Outcome("is turned away after 2 s", "rejected", 2_000.0),
    Outcome("is turned away, in a part of a head, and is reset", "rejected", 0.0, 9, End.RESET),
)
NO_ANSWER = (
    Outcome("is refused", "refused"),
    UNREACHED,
    Outcome("hears nothing", "nothing"),
    *(
        Outcome(f"{end.value} with nothing written", "nothing", 0.0, None, end)
        for end in (End.FIN, End.RESET)
    ),
)
CUT_OFF = tuple(
    Outcome(f"is answered, {place_description}, then it {end.value}", "answered", 0.0, place, end)
    for place, place_description in enumerate(CUT_PLACES)
    for end in ABRUPT_ENDS
)
CUT_OFF_LATE = tuple(
    Outcome(
        f"is answered after 0.1 s, {place_description}, then it {end.value}", "answered", 100.0, place, end
    )
    for place, place_description in enumerate(CUT_PLACES)
    if place in (0, 4)
    for end in ABRUPT_ENDS
)
OUTCOMES = (*ANSWERS, *REJECTED, *NO_ANSWER, *CUT_OFF, *CUT_OFF_LATE)


@dataclass(slots=True, frozen=True)
class Result:
    """The result of an exploration."""

    paths: int
    steps: int  # checked on these paths
    seconds: float
    complete: bool  # all paths within the bounds were explored
    violation: str  # the invariant that does not hold; empty if all hold
    trace: tuple[str, ...]  # the events of the path with the violation


class PresetChoices:
    """The choices of one path: preset ones, then the first option of each; knows the next path."""

    def __init__(self, chosen: Sequence[int] = ()) -> None:
        self._preset = list(chosen)
        self._chosen: list[tuple[int, int]] = []  # (index, number of options)

    def choose(self, options: Sequence[Option]) -> Option:
        at = len(self._chosen)
        index = self._preset[at] if at < len(self._preset) else 0
        self._chosen.append((index, len(options)))
        return options[index]

    def next_path(self) -> list[int] | None:
        """The preset choices of the next path in depth-first order; None if this was the last."""
        chosen = list(self._chosen)
        while chosen and chosen[-1][0] == chosen[-1][1] - 1:
            chosen.pop()
        return [index for index, _ in chosen[:-1]] + [chosen[-1][0] + 1] if chosen else None


class RandomChoices(PresetChoices):
    """The choices of one path, drawn at random from a seed."""

    def __init__(self, seed: int) -> None:
        super().__init__()
        self._index = Random(seed).randrange

    def choose(self, options: Sequence[Option]) -> Option:
        return options[self._index(len(options))]


class Explorer:
    """Explores the paths from one beginning; tests plant a mistake by patching the production code."""

    def __init__(
        self,
        beginning: str,
        calls: int = 2,
        outcomes: Sequence[Outcome] = OUTCOMES,
        one_loss_at_a_time: bool = False,
    ) -> None:
        """`beginning`: a key of `BEGINNINGS`; `calls`: number of calls whose outcomes are explored."""
        self.beginning, self.calls, self.outcomes, self.one_loss_at_a_time = (
            BEGINNINGS[beginning],
            calls,
            outcomes,
            one_loss_at_a_time,
        )

    def explore(self, max_paths: int = 10_000_000) -> Result:
        """Explores all paths in order, up to `max_paths` or the first violation."""
        started, paths, steps, fake_socket = perf_counter(), 0, 0, FakeSocket()
        chosen: list[int] | None = []
        try:
            while chosen is not None and paths < max_paths:
                choices = PresetChoices(chosen)
                violation, path_steps, trace = self._run_path(choices, fake_socket)
                paths, steps = paths + 1, steps + path_steps
                if violation:
                    return Result(paths, steps, perf_counter() - started, False, violation, trace)
                chosen = choices.next_path()
        finally:
            fake_socket.close()
        return Result(paths, steps, perf_counter() - started, chosen is None, "", ())

    def sample(self, paths: int, seed: int = 1) -> Result:
        """Explores `paths` random paths, for depths at which exploring all would take too long."""
        started, steps, fake_socket = perf_counter(), 0, FakeSocket()
        try:
            for number in range(paths):
                violation, path_steps, trace = self._run_path(
                    RandomChoices(seed * 1_000_003 + number), fake_socket
                )
                steps += path_steps
                if violation:
                    return Result(number + 1, steps, perf_counter() - started, False, violation, trace)
        finally:
            fake_socket.close()
        return Result(paths, steps, perf_counter() - started, False, "", ())

    def _run_path(self, choices: PresetChoices, fake_socket: FakeSocket) -> tuple[str, int, tuple[str, ...]]:
        """Runs one path; returns its violation (empty if none), the number of steps, and the trace."""
        world, steps, violation = World(choices, self.outcomes, self.calls, fake_socket), 0, ""
        world.one_loss_at_a_time = self.one_loss_at_a_time
        self.beginning(world)
        while not violation and world.now < max(
            min(world.last_choice_at + SETTLE_MS, LATEST_MS), world.runs_until
        ):
            if not (violation := check_grace(world)):
                world.step()
                steps += 1
        violation = violation or (check_liveness(world) if world.now < LATEST_MS else "")
        world.close()
        return violation, steps, tuple(world.trace)


def check_grace(world: World) -> str:
    """The violation, if a request may be sent to u0 too late before the next event; else empty."""
    notified_at = world.notified_at()
    if notified_at == inf or not world.process.u0_active:
        return ""
    at = max(world.now, notified_at + GRACE_MS - STALL_MS + 1.0)
    if at >= world.next_at() or world.process.lease.blocks_sends(at):
        return ""
    world.now = at
    world.record(
        f"a request may be sent to u0, which counts as told since {(notified_at - START_MS) / 1e3:.2f} s"
    )
    return (
        f"grace: a request leaves for u0 up to {at + STALL_MS - notified_at:.0f} ms after it counts as told, "
        f"of {GRACE_MS:.0f}"
    )


def check_liveness(world: World) -> str:
    """The violation, if sends are blocked though the service has long answered every call; else empty."""
    if world.later_outcome is None or world.later_outcome.kind != "answered":
        return ""
    why = world.process.lease.block_reason(world.now)
    if why is None:
        return ""
    world.record("requests are withheld still")
    return f"liveness: {why.value}, and the service has answered all calls"


def _begin_watching(world: World) -> None:
    """A watch is answered and stays open."""
    _answer_first_watch(world)
    world.offer_drain("at a service that is watched")


def _answer_first_watch(world: World) -> None:
    """Runs the world until the first watch is answered, without choices."""
    calls_left, world.calls_left = world.calls_left, 0
    world.later_outcome = STAYS_OPEN
    world.process.call_schedule.next_call_at = world.now
    while not world.process.lists.watch_answered:
        world.step()
    world.calls_left, world.later_outcome = calls_left, None


def _begin_after_end(world: World) -> None:
    """The watch ends with its last chunk, so that the next call is due."""
    _answer_first_watch(world)
    world.connections[0].end(End.LAST_CHUNK)
    world.record("call 1 ends with its last chunk")


def _begin_new_process(world: World) -> None:
    """A process starts with the cached list of a former one, which may be older than a drain."""
    if world.choose((False, True)):
        world.drain_began_at = world.now - NOTIFIED_AFTER_MS - 1_000.0
        world.record("u0 has drained for 7 s")
    world.process.call_schedule.begin(world.now, True)


def _begin_moved(world: World) -> None:
    """A watch is open, and the balancer is switched to another service."""
    _answer_first_watch(world)
    world.call_at(world.now + 100.0, world.move)


def _begin_restarted(world: World) -> None:
    """A watch is open, and the process is killed."""
    _answer_first_watch(world)
    world.call_at(world.now + 100.0, world.restart)


def _begin_broken(world: World) -> None:
    """A watch is open, and ends in any way."""
    _answer_first_watch(world)
    end = world.choose(ENDS)
    connection = world.connections[0]
    world.call_at(world.now + 100.0, lambda: world.end_call(connection, end))


def _begin_cut_off(world: World) -> None:
    """A watch is open and falls silent, and no call connects for longer than four times `must_ask_in`."""
    drain_points, world.drain_points_left = world.drain_points_left, 0
    _answer_first_watch(world)
    world.drain_points_left = drain_points
    world.calls_left, world.later_outcome = 0, UNREACHED
    world.runs_until = world.now + CUT_OFF_MS
    world.connections[0].end(End.SILENCE)
    world.record("call 1 falls silent, and no other connects")
    for after_ms in (1_000.0, 5_000.0, 20_000.0, 50_000.0):
        world.call_at(world.now + after_ms, lambda: world.offer_drain("while the balancer is cut off"))


BEGINNINGS: dict[str, Callable[[World], None]] = {
    "standing": _begin_watching,
    "broken": _begin_broken,
    "waiting": _begin_after_end,
    "first": _begin_new_process,
    "moved": _begin_moved,
    "restarted": _begin_restarted,
    "cut off": _begin_cut_off,
}
