"""The list is in effect 6 s after the list service became reachable, whatever failures came before."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Iterable, Iterator
from itertools import count, product
from math import inf

import pytest
from stand_ins import (
    FakeHost,
    Peer,
    Registry,
    caller,
    configuration,
    listed,
    ok,
    read_message,
    request,
    running,
    target,
)
from test_clients import play
from test_fleet_runs import Stand
from test_lists import END, chunk, listing, served_by, settled
from test_service import moved

from ospreyline import call_schedule, config, operator_settings
from ospreyline.call_schedule import CallSchedule
from ospreyline.fleet import pace
from ospreyline.fleet.list_relay import ListRelay
from ospreyline.fleet.pace import CallPacer
from ospreyline.net import service as service_module
from ospreyline.net.discovery import CallFailure, ListClient
from ospreyline.net.list_call import ListCall
from ospreyline.net.listing import ListUpdate, Target

NOTIFIED_AFTER = 6_000.0  # ms
QUEUE = 1_000.0  # ms that a call waits in a queue before it is turned away
HOUR = 3_600_000.0  # ms, as Retry-After
STEP = 200.0  # ms between two tried times at which the list service becomes reachable again


class NoLog:
    def info(self, event: str, **values: object) -> None: ...
    def warning(self, event: str, **values: object) -> None: ...


class Loop:
    """The simulated clock as the calls see it; their connections are never made."""

    def __init__(self, world: World) -> None:
        self.world = world

    def time(self) -> float:
        return self.world.now / 1e3


class NoTask:
    def cancel(self) -> None: ...


class SimulatedListClient(ListClient):
    """List calls without connections: the simulation decides how each goes."""

    world: World

    def _start(self, watching: bool) -> ListCall:
        self.calls_started += 1
        call = ListCall(self, self.calls_started, self.at, self.rev, watching)
        self._calls[call] = NoTask()  # type: ignore[assignment]
        self.world.begun(call)
        return call


class World(FakeHost):
    """The decisions, their list calls and a service that is unreachable for a time after the last outcome."""

    def __init__(
        self,
        outcomes: tuple[str, ...],
        phase: float,
        answer: float,
        lost: int,
        place: float,
        beat: float,
        paced: bool,
        **terms: object,
    ) -> None:
        super().__init__([listed(0)], ask_for_list=True, **terms)
        self.wakes = [(self.now + beat, call) for _, call in self.wakes]
        self.outcomes, self.phase, self.answer, self.lost = outcomes, phase, answer, lost
        self.begins: list[float] = []
        self.reachable_at = self.told_at = inf
        self.changed = False  # the phase is longer than the wait
        terms_now = self.balancer._settings
        self.balancer._call_schedule.phase = place
        self.pace = CallPacer(0, terms_now.balancers, 250.0, terms_now.must_ask_in) if paced else None
        if self.pace is not None:
            self.pace.phase = place
        self.discovery = SimulatedListClient(Loop(self), ("", 0), 3, NoLog(), self._news, self._failed)  # type: ignore[arg-type]
        self.discovery.world = self
        self.call_at(self.now + 1e3 * service_module.MAINTENANCE_INTERVAL_S * place, self._tidy)

    def _tidy(self, now: float) -> None:
        self.call_at(now + 1e3 * service_module.MAINTENANCE_INTERVAL_S, self._tidy)
        self.discovery.tidy()

    # as net/dispatcher.py does it

    def watch_list(self, on: bool) -> None:
        if self.pace is None:
            self.discovery.watch(on)
        else:
            self.pace.request_watch(self.now)
            self._plan()

    def _plan(self) -> None:
        if self.pace is not None and self.pace.next_call_at < inf:
            self.call_at(self.pace.next_call_at, self._due)

    def _due(self, now: float) -> None:
        if self.pace is not None and now >= self.pace.next_call_at:
            self.pace.call_started(now)
            self._plan()
            self.discovery.watch(True)

    def _news(self, update: ListUpdate) -> None:
        own = self.discovery.watch_answered
        if self.pace is not None and own:
            self.pace.call_answered()
        self.balancer.apply_list_changes(self.now, [], from_own_watch=own)
        if self.now > self.reachable_at and own and update.entries:  # and the watch is open
            self.told_at = min(self.told_at, self.now)

    def _failed(self, failure: CallFailure) -> None:
        if self.pace is not None:
            self.pace.call_failed(self.now, failure.retry_after_ms)
            self._plan()
        self.balancer.list_call_failed(self.now, failure.lost, failure.rejected)

    def _move(self, now: float) -> None:
        self.discovery.change_address(("", 1))
        self.balancer.list_service_moved(now)
        if self.pace is not None:
            self.pace.call_started(now, new_service=True)
            self._plan()

    # what becomes of calls

    def begun(self, call: ListCall) -> None:
        number = len(self.begins)
        self.begins.append(self.now)
        if number < len(self.outcomes):
            self._apply_outcome(call, self.outcomes[number])
            if number == len(self.outcomes) - 1:
                self.reachable_at = self.now + self.phase
        elif self.now < self.reachable_at:
            self.changed = True
        elif self.lost:
            self.lost -= 1
            self._apply_outcome(call, "turned away")
        else:
            self.call_at(self.now + self.answer, lambda now: self._answer(call))

    def _receive(self, call: ListCall, update: ListUpdate | None) -> None:
        if not call.over:
            call.heard_at = self.now / 1e3
            self.discovery.update_received(call, update)

    def _answer(self, call: ListCall) -> None:
        self._receive(call, ListUpdate(call.newest_elsewhere + 9, True, [(Target("u0"), None)]))
        if not call.watching:
            call.stop("")

    def _apply_outcome(self, call: ListCall, outcome: str) -> None:
        if outcome == "refused":
            self.call_at(self.now + 1.0, lambda now: call.stop("refused"))
        elif outcome == "turned away":
            call.retry_after_ms, call.rejected = HOUR if self.now < self.reachable_at else 0.0, True
            self.call_at(self.now + QUEUE, lambda now: call.stop("status 503"))
        elif outcome == "moved":  # it is not answered, and SIGHUP names another service
            self.call_at(self.now + 300.0, self._move)
        elif outcome == "ends":  # a watch that was answered and ended
            self.call_at(self.now + 5.0, lambda now: self._receive(call, None))
            self.call_at(self.now + 9.0, lambda now: call.stop("the watch has ended"))
        elif outcome == "spoke":  # a watch that was answered and then receives nothing
            self.call_at(self.now + 5.0, lambda now: self._receive(call, None))

    def play(self) -> float:
        """ms from when the service was reachable until the list was in effect; -inf for no such phase."""
        if self.pace is not None:
            self.pace.start(self.now)
            self._plan()
        until = self.now + 60_000.0
        while self.told_at == inf and self.now < until and not self.changed:
            self.pass_time(50.0)
        return -inf if self.changed else self.told_at - self.reachable_at


OUTCOMES = "refused", "turned away", "says nothing", "moved", "ends"


def chains(most: int) -> Iterator[tuple[str, ...]]:
    """Every chain of failures."""
    for n in range(1, most + 1):
        yield from product(OUTCOMES, repeat=n)


def longest(
    outcomes: Iterable[tuple[str, ...]],
    balancers: int,
    paced: bool,
    answer: float,
    lost: int,
    stop: float = NOTIFIED_AFTER,
) -> tuple[float, tuple[str, ...], float]:
    """The longest time (ms) to the list over all chains, phases, places and ticks, with its chain and phase;
    or the first one over `stop`."""
    found: tuple[float, tuple[str, ...], float] = (0.0, (), 0.0)
    for chain, place, beat in product(outcomes, (0.0, 0.5, 0.999), (1.0, 199.0)):
        for phase in count(1.0, STEP):
            world = World(
                chain, phase, answer, lost, place, beat, paced, balancers=balancers, must_ask_in=30_000.0
            )
            took = world.play()
            if world.changed or phase > 2 * NOTIFIED_AFTER:  # the next call begins before; or far too late
                break
            found = max(found, (took, chain, phase))
            if phase > NOTIFIED_AFTER:
                found = max(found, (inf, chain, phase))
            if found[0] > stop:
                return found
    return found


def not_turned_away(most: int) -> list[tuple[str, ...]]:
    """Every chain of failures at a service that is down, not overloaded."""
    return [chain for chain in chains(most) if "turned away" not in chain]


SIMULATIONS = {
    # the service was down: one more call may be rejected after a second, and the next takes 1 s
    "up to 200": ([*not_turned_away(3), *(("spoke", *c) for c in chains(1))], 200, False, 1_000.0, 1),
    "hundreds": ([*not_turned_away(2), *(("spoke", *c) for c in chains(1))], 1_000, False, 1_000.0, 1),
    # it rejected calls: the next one, once it has time again, takes 1.5 s. Allowing for two more lost calls
    # would require the very calls that keep such a service overloaded: test_crowded_list_service.py
    "crowded": (chains(3), 200, False, 1_500.0, 0),
    "crowded, hundreds": (chains(3), 1_000, False, 1_500.0, 0),
    # with the pacing of the operator file, where a rejection delays the next call as well
    "paced": ([*chains(2), *(("spoke", *c) for c in chains(1))], 200, True, 500.0, 1),
    "paced, 400": ([*chains(2), *(("spoke", *c) for c in chains(1))], 400, True, 500.0, 0),
    # counted from when a watch fell silent; detecting that takes 2.5 s
    "silent": ([("spoke",), *((*c, "spoke") for c in chains(1))], 200, False, 500.0, 1),
    "silent, hundreds": ([("spoke",), *((*c, "spoke") for c in chains(1))], 1_000, False, 1_000.0, 0),
    "silent, paced": ([("spoke",), *((*c, "spoke") for c in chains(1))], 400, True, 500.0, 0),
}


@pytest.mark.parametrize("simulation", SIMULATIONS)
def test_whatever_went_before_the_list_is_in_force_6_s_after_the_service_could_be_reached(simulation):
    took, chain, phase = longest(*SIMULATIONS[simulation])
    assert 3_000.0 < took <= NOTIFIED_AFTER, (chain, phase)


class Growing(CallSchedule):
    """Waits that are too long: they grow with each failure, and an open call is repeated after 4 s."""

    wait = 500.0

    def call_started(self, now: float, new_service: bool = False) -> None:
        super().call_started(now, new_service)
        self.next_call_at = now + 4_000.0

    def call_answered(self) -> None:
        super().call_answered()
        self.wait = 500.0

    def call_failed(self, now: float, rejected: bool = False) -> None:
        self._answered, self.next_call_at = False, now + self.wait * (0.5 + self.phase)
        self.wait = min(2 * self.wait, 7_500.0)


class SingleCall(CallSchedule):
    """A schedule that makes no other call while one is open, answered or not."""

    def call_started(self, now: float, new_service: bool = False) -> None:
        super().call_started(now, new_service)
        self.next_call_at = inf


@pytest.mark.parametrize("waits", [Growing, SingleCall])
def test_the_walk_finds_waits_that_are_too_long(waits, monkeypatch):
    monkeypatch.setattr("ospreyline.decide.CallSchedule", waits)
    took, _, _ = longest([*chains(5)][-700::3], 200, False, 1_000.0, 2)
    assert took > NOTIFIED_AFTER


@pytest.mark.parametrize("kept", [False, True])
def test_the_walk_finds_a_call_that_loses_its_place_to_the_next_one(kept, monkeypatch):
    # a service that answers within 2.5 s, in turn: a new call in between would join the end of its queue
    def replaced(self, on):
        if self._watch is not None and not self._watch.answered:
            self._end_call(self._watch)
            self._watch = None
        ListClient.watch(self, on)

    if not kept:
        monkeypatch.setattr(SimulatedListClient, "watch", replaced)
    took, _, _ = longest([*chains(1)], 200, False, 2_500.0, 0)
    assert (took <= NOTIFIED_AFTER) is kept


def test_a_period_lets_two_or_three_calls_of_any_bank_fit_and_a_bank_calls_no_faster_than_before():
    for balancers in range(1, 3_000):
        period = call_schedule.call_period_ms(balancers, 30_000.0)
        assert 1_400.0 <= period <= 2_200.0 and (period == 1_400.0) == (balancers <= 200)
        # a small bank overloads no service; hundreds call no more often than with grown waits
        assert balancers / period * 1e3 <= max(143.0, balancers / 2.2 + 1e-6)
    assert call_schedule.call_period_ms(200, 1_000.0) == 400.0  # well before `must_ask_in` is over


# over loopback


@pytest.fixture
def short(monkeypatch):
    """Periods of 0.3 s, far below the time after which a call times out."""
    monkeypatch.setattr(call_schedule, "MIN_PERIOD_MS", 300.0)
    monkeypatch.setattr(call_schedule, "MAX_PERIOD_MS", 300.0)
    monkeypatch.setattr(call_schedule, "MAX_REJECTED_PERIOD_MS", 600.0)


class ScriptedRegistry(Registry):
    """A list service that answers the first calls as given, in order; the rest are watches that stay open."""

    def __init__(self, *outcomes: bytes) -> None:
        super().__init__()
        self.outcomes = list(outcomes)
        self.scripted: list[asyncio.StreamWriter] = []  # open calls with a given answer

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if len(self.requests) >= len(self.outcomes):
            return await super()._serve(reader, writer)
        try:
            self.requests.append(await read_message(reader))
            writer.write(self.outcomes[len(self.requests) - 1])
            self.scripted.append(writer)
            self.changed.set()
            await reader.read()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            self.scripted.remove(writer)
            self.changed.set()
            writer.close()


HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
BUSY = b"HTTP/1.1 503 Busy\r\nRetry-After: 3600\r\nContent-Length: 0\r\n\r\n"
HALF = HEAD + chunk(b'{"rev":9,"all":true,')


@pytest.mark.parametrize("paced", [False, True])
@pytest.mark.parametrize("said", [b"", HEAD, HALF])
def test_a_call_that_says_nothing_has_another_beside_it(said, paced, short):
    # the next call must not wait until the first one is given up after 2.5 s
    async def scenario():
        registry, peers = ScriptedRegistry(said), (Peer(ok(b"0")), Peer(ok(b"1")))
        on = (
            operator_settings.OperatorSettings(list=operator_settings.ListSettings(calls_per_s=250.0))
            if paced
            else None
        )
        async with running(*peers, registry=registry, operator=on) as service:
            await registry.until(lambda: bool(registry.writers))
            assert len(registry.scripted) == 1  # the first is still open
            registry.plain = listing(
                40, target("u0", peers[0].port, state="leaving"), target("u1", peers[1].port), whole=True
            )
            await registry.tell(40, target("u0", peers[0].port, state="leaving"))
            await served_by(service, {b"1"})
            await registry.until(lambda: not registry.scripted)  # the one that was answered first is kept
            # what was written on the other as it was ended is polled beside the watch
            await registry.until(lambda: len(registry.requests) == 3)
            assert b"?watch=1" not in registry.requests[2][0]
            await registry.tell(41, target("u0", peers[0].port))
            await served_by(service, {b"0", b"1"})
            assert len(registry.requests) == 3

    play(scenario)


def test_of_two_calls_the_earlier_one_may_be_served_first(short):
    async def scenario():
        registry, peers = ScriptedRegistry(b"", b""), (Peer(ok(b"0")), Peer(ok(b"1")))
        async with running(*peers, registry=registry) as service:
            await registry.until(lambda: len(registry.scripted) == 2)
            registry.scripted[0].write(
                HEAD + chunk(listing(40, target("u0", peers[0].port, state="leaving")))
            )
            await served_by(service, {b"1"})
            await registry.until(lambda: len(registry.scripted) == 1)
            registry.scripted[0].write(chunk(listing(41, target("u0", peers[0].port))))
            await served_by(service, {b"0", b"1"})

    play(scenario)


@pytest.mark.parametrize("first", [0, 1])
def test_of_two_calls_one_may_fail(first, short):
    async def scenario():
        registry, peers = ScriptedRegistry(b"", b""), (Peer(ok(b"0")), Peer(ok(b"1")))
        async with running(*peers, registry=registry) as service:
            await registry.until(lambda: len(registry.scripted) == 2)
            other = registry.scripted[1 - first]
            registry.scripted[first].transport.abort()
            while len(service.dispatcher.discovery._calls) == 2:
                await asyncio.sleep(0)
            other.write(HEAD + chunk(listing(40, target("u0", peers[0].port, state="leaving"))))
            await served_by(service, {b"1"})
            assert service.dispatcher.discovery.watch_answered and other in registry.scripted

    play(scenario)


@pytest.mark.parametrize("paced", [False, True])
def test_a_service_that_turns_calls_away_is_asked_again_in_time_whatever_it_says(paced, short, monkeypatch):
    # neither rejections nor, with pacing, the Retry-After header may delay calls for too long
    async def scenario():
        monkeypatch.setattr(pace, "MAX_RETRY_AFTER_MS", 400.0)
        registry, peers = ScriptedRegistry(*[BUSY] * 6), (Peer(ok(b"0")), Peer(ok(b"1")))
        on = (
            operator_settings.OperatorSettings(list=operator_settings.ListSettings(calls_per_s=250.0))
            if paced
            else None
        )
        async with running(*peers, registry=registry, operator=on) as service:
            await registry.until(lambda: len(registry.requests) > 6)
            await registry.tell(40, target("u0", peers[0].port, state="leaving"))
            await served_by(service, {b"1"})

    play(scenario)


def test_a_whole_list_that_trickles_keeps_nobody_waiting(short):
    # a poll could trickle for 10 s, while upstreams that are gone stayed in use
    async def scenario():
        old, new, peers = Registry(), ScriptedRegistry(), (Peer(ok(b"0")), Peer(ok(b"1")))
        await new.start()
        async with running(*peers, registry=old) as service:
            await old.tell(7)
            moved(service, new)
            await new.until(lambda: bool(new.writers))
            await new.tell(2, target("u0", peers[0].port))
            await settled(new, service, 2)
            slow = new.writers[1]
            while len(new.writers) < 3:  # the answer trickles in, byte by byte
                slow.write(chunk(b" "))
                await asyncio.sleep(0.02)
            assert slow in new.writers and b"watch" not in new.requests[2][0]
            new.writers[2].write(chunk(listing(2, target("u0", peers[0].port), whole=True)) + END)
            await served_by(service, {b"0"})  # u1 is gone
            await new.until(lambda: new.writers == new.writers[:1])  # only the watch stays open

    play(scenario)


def test_an_answer_that_outlives_its_watch_leaves_nobody_unasked(short):
    # if a poll's answer counted as one of the watch, nothing would be called once the watch has ended
    async def scenario():
        old, new, peers = Registry(), Registry(), (Peer(ok(b"0")), Peer(ok(b"1")))
        await new.start()
        async with running(*peers, registry=old) as service:
            await old.tell(7)
            moved(service, new)
            await new.until(lambda: bool(new.writers))
            await new.tell(2, target("u0", peers[0].port))
            await settled(new, service, 2)
            watch, plain = new.writers[:2]
            watch.transport.abort()
            while service.dispatcher.discovery.has_watch:
                await asyncio.sleep(0)
            both = [target(f"u{i}", peer.port) for i, peer in enumerate(peers)]
            plain.write(chunk(listing(2, *both, whole=True)) + END)
            await new.until(lambda: len(new.requests) > 2)
            await new.until(lambda: bool(new.writers))
            await new.tell(3, target("u0", peers[0].port, state="leaving"))
            await served_by(service, {b"1"})

    play(scenario)


@pytest.mark.parametrize("paced", [False, True])
def test_a_service_that_discovery_moved_to_and_that_says_nothing_is_called_again(paced, short):
    # if the move counted as an answer, there would be no other call until that one was given up
    async def scenario():
        old, new = Registry(), ScriptedRegistry(b"")
        peers = Peer(ok(b"0")), Peer(ok(b"1"))
        await new.start()
        on = (
            operator_settings.OperatorSettings(list=operator_settings.ListSettings(calls_per_s=250.0))
            if paced
            else None
        )
        async with running(*peers, registry=old, operator=on) as service:
            await old.tell(7)
            while (
                service.dispatcher._pace or service.dispatcher.balancer._call_schedule
            ).next_call_at < inf:  # until it is answered
                await asyncio.sleep(0)
            service.reload(lambda: (moved_config(new), on))
            await new.until(lambda: len(new.scripted) == 1)
            await old.tell(8)  # updates on the former watch say nothing about the new one
            await new.until(lambda: bool(new.writers))
            assert len(new.scripted) == 1
            await new.tell(2, target("u1", peers[1].port), whole=True)
            await served_by(service, {b"1"})

    play(scenario)


def moved_config(registry: Registry) -> config.ProxyConfig:
    return config.parse(json.dumps(configuration([], registry.port)).encode(), {})


def test_one_that_was_spared_by_others_asks_in_time_once_they_are_gone():
    # its own call may be up to 22 s away, as rare as the rule allows, and an earlier failure must not matter
    rare = CallPacer(150, 200, 250.0, 30_000.0)
    rare.start(0.0)
    for _ in range(3):
        now = rare.next_call_at
        rare.call_started(now)
        rare.call_failed(now, told=True)
    assert rare.next_call_at - now > 20_000.0
    rare.relays_lost(now + 5_000.0)
    assert rare.next_call_at - now <= 5_000.0 + rare.period
    rare.relays_lost(now + 5_100.0)  # a repetition delays nothing
    assert rare.next_call_at - now <= 5_000.0 + rare.period


def test_a_bank_says_when_nobody_asks_for_us_any_more(monkeypatch):
    async def scenario():
        stand, hastened = await Stand("a").start(), []
        stand.bank._hasten = lambda: hastened.append(1)
        stand.bank.lists._begun = -inf  # it started long ago, and receives nothing
        stand.bank._alone, asks = True, [True]
        monkeypatch.setattr(ListRelay, "served_by_relays", lambda self, now: asks[0])
        monkeypatch.setattr(ListRelay, "tick", lambda self, now: None)
        while not stand.bank._spared:
            await asyncio.sleep(0)
        assert not hastened
        asks[0] = False
        while stand.bank._spared:
            await asyncio.sleep(0)
        assert hastened == [1]
        stand.bank.close()

    play(scenario)


def test_there_is_never_a_period_without_a_call_while_nobody_has_told_us():
    # a balancer cannot know when a change counts as received, so it keeps calling without longer pauses. A
    # call that waits gets another one beside it after 2.2 s, not before; the interval between rejected calls
    # grows up to 4.2 s
    most = {"says nothing": 2_200.0, "turned away": 4_200.0}
    for outcome in OUTCOMES:
        world = World((outcome,) * 40, 1.0, 500.0, 0, 0.5, 1.0, False, balancers=200, must_ask_in=30_000.0)
        world.play()
        gaps = [b - a for a, b in zip(world.begins, world.begins[1:], strict=False)]
        assert len(gaps) >= 12 and max(gaps) <= most.get(outcome, 1_400.0) + 200.0, outcome
        assert outcome not in most or sorted(gaps)[1] >= 2_200.0, outcome


def test_a_long_list_is_in_force_in_the_turn_in_which_it_was_read():
    async def scenario():
        registry, peers = Registry(), (Peer(ok(b"0")), Peer(ok(b"1")))
        async with running(*peers, registry=registry) as service:
            client = await caller(service)
            others = [target(f"s-{i}", 1_000 + i, state="leaving") for i in range(2_000)]
            last = target("u0", peers[0].port, state="leaving")
            await registry.tell(40, *others, target("u1", peers[1].port), last, whole=True)
            while service.dispatcher.discovery.rev != 40:
                await asyncio.sleep(0)
            # a request that is read in the same event batch is decided by the new list
            assert {(await client.ask(request()))[2] for _ in range(8)} == {b"1"}

    play(scenario)
