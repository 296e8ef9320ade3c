"""The model of a server: cores shared by active jobs, a queue, cold starts, overload, connections.

Assumptions. A visit needs a core for `work` ms at speed 1, then holds its slot without one for `wait` ms.
Active jobs share the cores evenly and none uses more than one, so as many slots as cores is a multi-server
queue, and no limit of slots is processor sharing. Capacity rises linearly from the cold share to the whole
over the warm-up time (held constant for `UPDATE_MS` at a time). Overload (`crowded`) slows all work at once;
rejected requests cost the server nothing.
"""

from __future__ import annotations

from collections import OrderedDict, deque
from collections.abc import Callable
from heapq import heappop, heappush
from math import exp, inf, sqrt
from typing import Any

from ospreyline.lab.scenario import Group
from ospreyline.lab.world import Due, World, exponential

UPDATE_MS = 100.0  # period of the updates of warmth and overload


class Job:
    """One fetch at a server, from arrival to end; `work`, `wait` and times in ms."""

    __slots__ = ("arrived", "done", "expires", "finish", "key", "stage", "started", "wait", "waiting", "work")

    QUEUED, ACTIVE, WAITING, OVER = range(4)

    def __init__(
        self, work: float, wait: float, key: int, expires: float, done: Callable[[bool | None], None]
    ) -> None:
        self.work = work
        self.wait = wait
        self.key = key
        self.expires = expires
        self.done = (
            done  # called with True (success) or False (error), None if the process died; not if cancelled
        )
        self.stage = Job.QUEUED
        self.arrived = self.started = 0.0
        self.finish = 0.0  # attained service (ms of a core) at which it finishes
        self.waiting: Due | None = None


class Server:
    """One machine with one index; `start` begins a process on it, `stop` ends it."""

    __slots__ = (
        "_active",
        "_areas_at",
        "_attained",
        "_attained_at",
        "_cached_keys",
        "_cold_arrivals",
        "_completion",
        "_on_core",
        "_queue",
        "_rate",
        "_running",
        "_sequence",
        "_uniform",
        "_update_timer",
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
        "low_load_ms",
        "mean_held",
        "mute",
        "paused",
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
        self.crowded = slower  # slowdown factor while overloaded
        self.slow = 1.0  # slowdown factor from faults
        self.uneven: tuple[float, int] = (
            1.0,
            0,
        )  # slowdown factor, and for one balancer in how many (0: none)
        self.cores_lost = 0.0  # share of its cores taken by other tenants of the machine
        self.errors: list[float] = []  # by fault: share of requests that fail at once without work
        self.mute = 0  # number of faults that keep it from answering
        self.draining = False  # it rejects new requests
        self.up = False
        self.vanished = False  # the machine is gone: connections are not even refused
        self.incarnation = 0
        self.started_at = -inf
        self.fall: Callable[[Server], None] | None = None  # called when it is overloaded while cold
        self._update_timer: Due | None = None
        self._sequence = 0
        self.done = self.accepted = self.turned_away = 0
        self.held_area = self.busy_area = 0.0
        self._reset()

    def _reset(self) -> None:
        now = self._world.now
        self._active: list[tuple[float, int, Job]] = []  # heap by finishing attained service
        self._running = 0  # slots taken
        self._on_core = 0  # of these, active
        self._queue: deque[Job] = deque()
        self._attained = 0.0  # attained service of each active job, ms of a core
        self._rate = 0.0  # growth of `_attained` per ms
        self._attained_at = self._areas_at = now
        self._completion: Due | None = None
        self.held = 0
        self.at_work: dict[Job, None] = {}
        self.connections = 0
        self.paused = False
        self.mean_held = 0.0
        self.low_load_ms = 0.0  # time under the load that ends an overload
        self.crowded_until = -inf
        self._cold_arrivals: deque[tuple[float, float]] = deque()  # while cold: time and work in ms
        self.since_start = 0  # visits completed by this process
        self._cached_keys: OrderedDict[int, float] = OrderedDict()

    # -- process ---------------------------------------------------------------------------------------------

    def start(self, warm: bool = False) -> None:
        """Start a new process, cold unless `warm` (at the start of the simulation)."""
        self._reset()
        self.incarnation += 1
        self.up, self.vanished = True, False
        self.started_at = -inf if warm else self._world.now
        if self._update_timer is None:
            self._update_timer = self._world.after(UPDATE_MS, self._update)

    def stop(self, vanish: bool = False) -> None:
        """End the process and lose its jobs; their `done` is called with None unless the machine vanishes."""
        self._integrate()
        self.up, self.vanished = False, vanish
        lost = list(self.at_work)
        for job in lost:
            job.stage = Job.OVER
            self._world.drop(job.waiting)
        self._world.drop(self._completion)
        self._world.drop(self._update_timer)
        self._update_timer = None
        self._reset()
        if not vanish:
            for job in lost:
                job.done(None)

    # -- capacity --------------------------------------------------------------------------------------------

    def warmth(self) -> float:
        """Current share of the full capacity, `cold_from` to 1."""
        group = self.group
        progress = (self._world.now - self.started_at) / group.warm_ms
        if group.warm_visits:
            progress = max(progress, self.since_start / group.warm_visits)
        return 1.0 if progress >= 1 else group.cold_from + (1 - group.cold_from) * progress

    def speed(self) -> float:
        """Current speed of each of its cores; 0 while paused or down."""
        if self.paused or not self.up:
            return 0.0
        speed = self.base * self.warmth() / self.slow
        if self.group.thrash:
            speed /= 1 + self.group.thrash * max(0.0, self.held / self.cores - self.group.thrash_at)
        if self._world.now < self.crowded_until:
            speed /= self.crowded
        return speed

    def capacity(self) -> float:
        """Work (ms at speed 1) that all cores do per ms."""
        return self.speed() * self.cores * (1 - min(0.9, self.cores_lost))

    # -- visits ----------------------------------------------------------------------------------------------

    def arrive(self, job: Job, new_connection: bool, caller: int) -> bool:
        """Accept a request that was received whole; False if it is rejected before any work."""
        group = self.group
        if group.tips and self.fall is not None and self._overloads_cold(job.work):
            self.fall(self)  # rejected requests count towards the overload, too
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
        self._integrate()
        self.accepted += 1
        job.arrived = self._world.now
        if new_connection:
            job.work += group.handshake_ms
        times, one_in = self.uneven
        if one_in and caller % one_in == 0:
            job.work *= times
        if group.memory.gain and job.key:
            job.work *= self._cache_factor(job.key)
        self.held += 1
        self.at_work[job] = None
        self._queue.append(job)
        self._fill_slots()
        return True

    def cancel(self, job: Job) -> None:
        """The balancer gave the fetch up; `group.cancel` decides which stages of a job stop."""
        if job.stage == Job.OVER or self.group.cancel == "none":
            return
        if job.stage == Job.QUEUED:
            self._queue.remove(job)
        elif self.group.cancel == "queued":
            return
        elif job.stage == Job.ACTIVE:
            self._advance()
            self._running -= 1
            self._on_core -= 1  # its heap entry is skipped later
        else:
            self._world.drop(job.waiting)
            self._running -= 1
        self._remove(job)
        self._fill_slots()

    def _cache_factor(self, key: int) -> float:
        """Factor of the work of a key: smaller if the key is cached from a recent visit. Caches the key."""
        memory, now = self._cached_keys, self._world.now
        cached = memory.get(key, -inf) > now - self.group.memory.for_ms
        memory[key] = now
        memory.move_to_end(key)
        if len(memory) > self.group.memory.keys_per_core * self.group.cores:
            memory.popitem(last=False)
        return 1 - self.group.memory.gain if cached else 1.0

    def _overloads_cold(self, work: float) -> bool:
        """Whether this request overloads a cold server: too much work within the window of the rule."""
        if self.warmth() >= 1:
            return False
        now, arrivals = self._world.now, self._cold_arrivals
        arrivals.append((now, work))
        while arrivals[0][0] <= now - self.group.tip_ms:
            arrivals.popleft()
        return sum(w for _, w in arrivals) > self.group.tips * self.capacity() * self.group.tip_ms

    def _remove(self, job: Job) -> None:
        self._integrate()
        job.stage = Job.OVER
        self.held -= 1
        del self.at_work[job]

    def _integrate(self) -> None:
        """Integrate held jobs and busy cores over time, up to now."""
        span = self._world.now - self._areas_at
        if span > 0:
            self.held_area += span * self.held
            self.busy_area += span * min(self._on_core, self.cores)
            self._areas_at = self._world.now

    def _advance(self) -> None:
        """Bring the attained service of active jobs up to now."""
        now = self._world.now
        self._attained += (now - self._attained_at) * self._rate
        self._attained_at = now

    def _fill_slots(self) -> None:
        """Move queued jobs into free slots, then schedule the next completion."""
        self._integrate()
        self._advance()
        slots = int(self.group.slots_per_core * self.cores) or inf
        while self._queue and self._running < slots:
            job = self._queue.popleft()
            if self.group.drops_expired and job.expires <= self._world.now:
                self._remove(job)
                continue
            job.stage = Job.ACTIVE
            job.started = self._world.now
            job.finish = self._attained + job.work
            self._sequence += 1
            heappush(self._active, (job.finish, self._sequence, job))
            self._running += 1
            self._on_core += 1
        self._schedule_completion()

    def _schedule_completion(self) -> None:
        """Schedule the completion of the next active job at the current speed."""
        active = self._active
        while active and active[0][2].stage != Job.ACTIVE:
            heappop(active)
        self._world.drop(self._completion)
        self._completion = None
        if not active:
            self._rate = 0.0
            return
        self._rate = self.speed() * min(1.0, self.cores * (1 - min(0.9, self.cores_lost)) / self._on_core)
        if self._rate > 0:
            left = max(0.0, active[0][0] - self._attained) / self._rate
            self._completion = self._world.after(left, self._work_finished)

    def _work_finished(self) -> None:
        self._integrate()
        self._advance()
        self._completion = None
        job = heappop(self._active)[2]  # still active: `_schedule_completion` removed the others
        self._on_core -= 1
        if job.wait > 0:
            job.stage = Job.WAITING
            job.waiting = self._world.after(job.wait, self._finish, job)
            self._schedule_completion()
        else:
            self._finish(job)

    def _finish(self, job: Job) -> None:
        self._running -= 1
        self._remove(job)
        self.done += 1
        self.since_start += 1
        rate = self.group.error_rate
        well = not rate or self._uniform() >= rate
        self._fill_slots()
        job.done(well)

    # -- periodic changes, pauses ----------------------------------------------------------------------------

    def _update(self) -> None:
        self._update_timer = self._world.after(UPDATE_MS, self._update)
        crowd = self.group.crowd
        if crowd.at:
            self._update_overload(crowd.at, crowd.over_ms)
        if self._on_core and (crowd.at or self.warmth() < 1 or self.slow != 1):
            self.changed()

    def _update_overload(self, at: float, over: float) -> None:
        now, crowd = self._world.now, self.group.crowd
        self.mean_held += (1 - exp(-UPDATE_MS / over)) * (self.held - self.mean_held)
        if now < self.crowded_until:
            busy = min(self._on_core, self.cores) / self.cores
            self.low_load_ms = self.low_load_ms + UPDATE_MS if busy < crowd.below else 0.0
            if self.low_load_ms >= crowd.rest_ms:
                self.crowded_until = now
        elif self.mean_held > self.cores + at * sqrt(self.cores):
            self.crowded_until = now + crowd.most_ms
            self.low_load_ms = 0.0

    def changed(self) -> None:
        """Apply a changed speed from now on."""
        self._integrate()
        self._advance()
        self._schedule_completion()

    def pause(self, on: bool) -> None:
        if self.up:
            self._integrate()
            self._advance()
            self.paused = on
            self._schedule_completion()

    def pauses(self, every: float, span: float, draw: Callable[[], float]) -> Callable[[], None]:
        """Pause for `span` ms at random times, `every` ms apart on average; the result ends this."""
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
