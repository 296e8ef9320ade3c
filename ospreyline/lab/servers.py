"""The model of a server: cores shared by what is in work, a queue, cold starts, crowding, connections.

Assumptions. A visit needs a core for `work` ms at speed 1, then holds its slot without one for `wait` ms.
What is in work shares the cores evenly and no visit uses more than one, so as many slots as cores is a
queue with several servers, no limit of slots is processor sharing. Capacity rises evenly from the cold
share to the whole over the warm-up time (held constant for `STEP` ms at a time). Crowding slows all work
at once; who is turned away costs the server nothing.
"""

from __future__ import annotations

from collections import OrderedDict, deque
from collections.abc import Callable
from heapq import heappop, heappush
from math import exp, inf, sqrt
from typing import Any

from ospreyline.lab.scenario import Group
from ospreyline.lab.world import Due, World, exponential

STEP = 100.0  # ms between two looks at warmth and crowding


class Job:
    """One fetch at a server, from its arrival to its end."""

    __slots__ = ("arrived", "done", "expires", "finish", "key", "stage", "started", "wait", "waiting", "work")

    QUEUED, ACTIVE, WAITING, OVER = range(4)

    def __init__(
        self, work: float, wait: float, key: int, expires: float, done: Callable[[bool | None], None]
    ) -> None:
        self.work = work
        self.wait = wait
        self.key = key
        self.expires = expires
        self.done = done  # called with whether it ran well, None if its process died; not if it was cancelled
        self.stage = Job.QUEUED
        self.arrived = self.started = 0.0
        self.finish = 0.0  # in attained service
        self.waiting: Due | None = None


class Server:
    """One machine under one id; `start` begins a process, `stop` ends it."""

    __slots__ = (
        "_active",
        "_at",
        "_held_at",
        "_memory",
        "_next",
        "_on_core",
        "_order",
        "_pushed",
        "_queue",
        "_rate",
        "_running",
        "_shared",
        "_tick",
        "_uniform",
        "_world",
        "accepted",
        "at_work",
        "base",
        "busy_area",
        "cell",
        "connections",
        "cores",
        "cores_lost",
        "crowded",
        "crowded_until",
        "done",
        "draining",
        "errors",
        "fall",
        "group",
        "held",
        "held_area",
        "incarnation",
        "index",
        "mean_held",
        "mute",
        "paused",
        "rested",
        "since_start",
        "slow",
        "started_at",
        "turned_away",
        "uneven",
        "up",
        "vanished",
        "zone",
    )

    def __init__(
        self,
        world: World,
        group: Group,
        index: int,
        zone: int,
        cell: int,
        speed: float,
        slower: float,
        uniform: Callable[[], float],
    ) -> None:
        self._world = world
        self._uniform = uniform
        self.group = group
        self.index = index
        self.zone = zone
        self.cell = cell
        self.cores = float(group.cores)
        self.base = speed
        self.crowded = slower  # times slower once crowded
        self.slow = 1.0  # times, by a fault
        self.uneven: tuple[float, int] = (1.0, 0)  # times slower for one balancer in so many
        self.cores_lost = 0.0  # share, to neighbours
        self.errors: list[float] = []  # shares that err at once and without work, by faults
        self.mute = 0  # faults that keep it from answering
        self.draining = False  # it turns away what is new
        self.up = False
        self.vanished = False  # its machine does not even refuse
        self.incarnation = 0
        self.started_at = -inf
        self.fall: Callable[[Server], None] | None = None  # called when it is pushed over while cold
        self._tick: Due | None = None
        self._order = 0
        self.done = self.accepted = self.turned_away = 0
        self.held_area = self.busy_area = 0.0
        self._clear()

    def _clear(self) -> None:
        now = self._world.now
        self._active: list[tuple[float, int, Job]] = []  # by attained service at which they finish
        self._running = 0  # slots taken
        self._on_core = 0  # of these, in work
        self._queue: deque[Job] = deque()
        self._shared = 0.0  # attained service of each that is in work, ms of a core
        self._rate = 0.0  # of it
        self._at = self._held_at = now
        self._next: Due | None = None
        self.held = 0
        self.at_work: dict[Job, None] = {}
        self.connections = 0
        self.paused = False
        self.mean_held = 0.0
        self.rested = 0.0
        self.crowded_until = -inf
        self._pushed: deque[tuple[float, float]] = deque()  # while cold: when, and how much work came
        self.since_start = 0  # visits done
        self._memory: OrderedDict[int, float] = OrderedDict()

    # -- process ---------------------------------------------------------------------------------------------

    def start(self, warm: bool = False) -> None:
        """A new process begins, cold unless the scenario's day begins with it."""
        self._clear()
        self.incarnation += 1
        self.up, self.vanished = True, False
        self.started_at = -inf if warm else self._world.now
        if self._tick is None:
            self._tick = self._world.after(STEP, self._look)

    def stop(self, vanish: bool = False) -> None:
        """The process ends; what it held is lost, which is told unless the whole machine vanishes."""
        self._count()
        self.up, self.vanished = False, vanish
        lost = list(self.at_work)
        for job in lost:
            job.stage = Job.OVER
            self._world.drop(job.waiting)
        self._world.drop(self._next)
        self._world.drop(self._tick)
        self._tick = None
        self._clear()
        if not vanish:
            for job in lost:
                job.done(None)

    # -- capacity --------------------------------------------------------------------------------------------

    def warmth(self) -> float:
        """Its share of the whole capacity."""
        group = self.group
        way = (self._world.now - self.started_at) / group.warm_ms
        if group.warm_visits:
            way = max(way, self.since_start / group.warm_visits)
        return 1.0 if way >= 1 else group.cold_from + (1 - group.cold_from) * way

    def speed(self) -> float:
        """Of each of its cores now."""
        if self.paused or not self.up:
            return 0.0
        speed = self.base * self.warmth() / self.slow
        if self.group.thrash:
            speed /= 1 + self.group.thrash * max(0.0, self.held / self.cores - self.group.thrash_at)
        if self._world.now < self.crowded_until:
            speed /= self.crowded
        return speed

    def capacity(self) -> float:
        """ms of work at speed 1 that it does in a ms."""
        return self.speed() * self.cores * (1 - min(0.9, self.cores_lost))

    # -- visits ----------------------------------------------------------------------------------------------

    def arrive(self, job: Job, new_connection: bool, caller: int) -> bool:
        """A fetch has come whole; False if it is turned away unseen."""
        group = self.group
        if group.tips and self.fall is not None and self._tipped(job.work):
            self.fall(self)  # what it turns away pushes it, too
            return True
        if self.draining or (
            group.slots_per_core
            and self._running >= int(group.slots_per_core * self.cores)
            and group.queue_per_core
            and len(self._queue) >= int(group.queue_per_core * self.cores)
        ):
            self.turned_away += 1
            job.stage = Job.OVER
            return False
        if self.errors and self._uniform() < max(self.errors):
            job.stage = Job.OVER
            self._world.after(0.1, job.done, False)
            return True
        self._count()
        self.accepted += 1
        job.arrived = self._world.now
        if new_connection:
            job.work += group.handshake_ms
        times, one_in = self.uneven
        if one_in and caller % one_in == 0:
            job.work *= times
        if group.memory.gain and job.key:
            job.work *= self._met(job.key)
        self.held += 1
        self.at_work[job] = None
        self._queue.append(job)
        self._fill()
        return True

    def cancel(self, job: Job) -> None:
        """Its fetch was given up; what stops depends on the make."""
        if job.stage == Job.OVER or self.group.cancel == "none":
            return
        if job.stage == Job.QUEUED:
            self._queue.remove(job)
        elif self.group.cancel == "queued":
            return
        elif job.stage == Job.ACTIVE:
            self._advance()
            self._running -= 1
            self._on_core -= 1  # its place in the heap is passed over later
        else:
            self._world.drop(job.waiting)
            self._running -= 1
        self._over(job)
        self._fill()

    def _met(self, key: int) -> float:
        """The share of the work that is left for a key."""
        memory, now = self._memory, self._world.now
        known = memory.get(key, -inf) > now - self.group.memory.for_ms
        memory[key] = now
        memory.move_to_end(key)
        if len(memory) > self.group.memory.keys_per_core * self.group.cores:
            memory.popitem(last=False)
        return 1 - self.group.memory.gain if known else 1.0

    def _tipped(self, work: float) -> bool:
        """Whether this much more, while cold, is more than it bears within the window of the rule."""
        if self.warmth() >= 1:
            return False
        now, pushed = self._world.now, self._pushed
        pushed.append((now, work))
        while pushed[0][0] <= now - self.group.tip_ms:
            pushed.popleft()
        return sum(w for _, w in pushed) > self.group.tips * self.capacity() * self.group.tip_ms

    def _over(self, job: Job) -> None:
        self._count()
        job.stage = Job.OVER
        self.held -= 1
        del self.at_work[job]

    def _count(self) -> None:
        """Areas under what is held and in use, up to now."""
        span = self._world.now - self._held_at
        if span > 0:
            self.held_area += span * self.held
            self.busy_area += span * min(self._on_core, self.cores)
            self._held_at = self._world.now

    def _advance(self) -> None:
        now = self._world.now
        self._shared += (now - self._at) * self._rate
        self._at = now

    def _fill(self) -> None:
        """Slots that are free take from the queue; then the next end is looked for anew."""
        self._count()
        self._advance()
        slots = int(self.group.slots_per_core * self.cores) or inf
        while self._queue and self._running < slots:
            job = self._queue.popleft()
            if self.group.drops_expired and job.expires <= self._world.now:
                self._over(job)
                continue
            job.stage = Job.ACTIVE
            job.started = self._world.now
            job.finish = self._shared + job.work
            self._order += 1
            heappush(self._active, (job.finish, self._order, job))
            self._running += 1
            self._on_core += 1
        self._aim()

    def _aim(self) -> None:
        """When the next one in work ends, at the speed of now."""
        active = self._active
        while active and active[0][2].stage != Job.ACTIVE:
            heappop(active)
        self._world.drop(self._next)
        self._next = None
        if not active:
            self._rate = 0.0
            return
        self._rate = self.speed() * min(1.0, self.cores * (1 - min(0.9, self.cores_lost)) / self._on_core)
        if self._rate > 0:
            left = max(0.0, active[0][0] - self._shared) / self._rate
            self._next = self._world.after(left, self._ended)

    def _ended(self) -> None:
        self._count()
        self._advance()
        self._next = None
        job = heappop(self._active)[2]  # still in work: `_aim` passed over the others
        self._on_core -= 1
        if job.wait > 0:
            job.stage = Job.WAITING
            job.waiting = self._world.after(job.wait, self._finish, job)
            self._aim()
        else:
            self._finish(job)

    def _finish(self, job: Job) -> None:
        self._running -= 1
        self._over(job)
        self.done += 1
        self.since_start += 1
        rate = self.group.error_rate
        well = not rate or self._uniform() >= rate
        self._fill()
        job.done(well)

    # -- what changes by itself ------------------------------------------------------------------------------

    def _look(self) -> None:
        self._tick = self._world.after(STEP, self._look)
        crowd = self.group.crowd
        if crowd.at:
            self._crowding(crowd.at, crowd.over_ms)
        if self._on_core and (crowd.at or self.warmth() < 1 or self.slow != 1):
            self.changed()

    def _crowding(self, at: float, over: float) -> None:
        now, crowd = self._world.now, self.group.crowd
        self.mean_held += (1 - exp(-STEP / over)) * (self.held - self.mean_held)
        if now < self.crowded_until:
            busy = min(self._on_core, self.cores) / self.cores
            self.rested = self.rested + STEP if busy < crowd.below else 0.0
            if self.rested >= crowd.rest_ms:
                self.crowded_until = now
        elif self.mean_held > self.cores + at * sqrt(self.cores):
            self.crowded_until = now + crowd.most_ms
            self.rested = 0.0

    def changed(self) -> None:
        """Its speed is another one from now on."""
        self._count()
        self._advance()
        self._aim()

    def pause(self, on: bool) -> None:
        if self.up:
            self._count()
            self._advance()
            self.paused = on
            self._aim()

    def pauses(self, every: float, span: float, draw: Callable[[], float]) -> Callable[[], None]:
        """Pauses at random moments until what is returned is called."""
        state: dict[str, Any] = {"on": True}

        def begin() -> None:
            if state["on"]:
                self.pause(True)
                self._world.after(span, end)

        def end() -> None:
            self.pause(False)
            if state["on"]:
                self._world.after(exponential(draw(), every), begin)

        self._world.after(exponential(draw(), every), begin)

        def stop() -> None:
            state["on"] = False

        return stop
