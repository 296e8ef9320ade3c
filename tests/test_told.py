"""Told after 6 s: the list is in force 6 s after discovery could be reached, whatever went before."""

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

from ospreyline import asking, facts, operator
from ospreyline.asking import Asking
from ospreyline.fleet import pace
from ospreyline.fleet.lists import Lists
from ospreyline.fleet.pace import Pace
from ospreyline.net import service as service_module
from ospreyline.net.discovery import CallFailure, Discovery
from ospreyline.net.list_call import ListCall
from ospreyline.net.listing import News, Target

TOLD = 6_000.0  # ms
QUEUE = 1_000.0  # ms that a call waits in a queue before it is turned away
HOUR = 3_600_000.0  # ms, as Retry-After
STEP = 200.0  # ms between two moments at which discovery can be reached again


class NoLog:
    def info(self, event: str, **values: object) -> None: ...
    def warning(self, event: str, **values: object) -> None: ...


class Loop:
    """The clock of the walk as the calls see it; their connections are never made."""

    def __init__(self, world: World) -> None:
        self.world = world

    def time(self) -> float:
        return self.world.now / 1e3


class NoTask:
    def cancel(self) -> None: ...


class Calls(Discovery):
    """Calls without connections: how each goes is up to the walk."""

    world: World

    def _start(self, watching: bool) -> ListCall:
        self.begun += 1
        call = ListCall(self, self.begun, self.at, self.rev, watching)
        self._calls[call] = NoTask()  # type: ignore[assignment]
        self.world.begun(call)
        return call


class World(FakeHost):
    """The decisions, their calls and a service that cannot be reached until some time after the last fate."""

    def __init__(
        self,
        fates: tuple[str, ...],
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
        self.fates, self.phase, self.answer, self.lost = fates, phase, answer, lost
        self.begins: list[float] = []
        self.reached = self.told_at = inf
        self.changed = False  # the phase is longer than the wait
        terms_now = self.balancer._terms
        self.balancer._asking.place = place
        self.pace = Pace(0, terms_now.balancers, 250.0, terms_now.must_ask_in) if paced else None
        if self.pace is not None:
            self.pace.place = place
        self.discovery = Calls(Loop(self), ("", 0), 3, NoLog(), self._news, self._failed)  # type: ignore[arg-type]
        self.discovery.world = self
        self.wake(self.now + 1e3 * service_module.MAINTENANCE_INTERVAL_S * place, self._tidy)

    def _tidy(self, now: float) -> None:
        self.wake(now + 1e3 * service_module.MAINTENANCE_INTERVAL_S, self._tidy)
        self.discovery.tidy()

    # as the turn does

    def watch(self, on: bool) -> None:
        if self.pace is None:
            self.discovery.watch(on)
        else:
            self.pace.wanted(self.now)
            self._plan()

    def _plan(self) -> None:
        if self.pace is not None and self.pace.due < inf:
            self.wake(self.pace.due, self._due)

    def _due(self, now: float) -> None:
        if self.pace is not None and now >= self.pace.due:
            self.pace.called(now)
            self._plan()
            self.discovery.watch(True)

    def _news(self, news: News) -> None:
        own = self.discovery.told_by_watch
        if self.pace is not None and own:
            self.pace.told()
        self.balancer.told_changes(self.now, [], own=own)
        if self.now > self.reached and own and news.targets:  # and the watch stands
            self.told_at = min(self.told_at, self.now)

    def _failed(self, failure: CallFailure) -> None:
        if self.pace is not None:
            self.pace.failed(self.now, failure.retry_after)
            self._plan()
        self.balancer.told_nothing(self.now, failure.lost, failure.turned_away)

    def _move(self, now: float) -> None:
        self.discovery.move(("", 1))
        self.balancer.asked(now)
        if self.pace is not None:
            self.pace.called(now, anew=True)
            self._plan()

    # what becomes of calls

    def begun(self, call: ListCall) -> None:
        number = len(self.begins)
        self.begins.append(self.now)
        if number < len(self.fates):
            self._meet(call, self.fates[number])
            if number == len(self.fates) - 1:
                self.reached = self.now + self.phase
        elif self.now < self.reached:
            self.changed = True
        elif self.lost:
            self.lost -= 1
            self._meet(call, "turned away")
        else:
            self.wake(self.now + self.answer, lambda now: self._answer(call))

    def _say(self, call: ListCall, news: News | None) -> None:
        if not call.over:
            call.heard = self.now / 1e3
            self.discovery.told(call, news)

    def _answer(self, call: ListCall) -> None:
        self._say(call, News(call.newer + 9, True, [(Target("u0"), None)]))
        if not call.watching:
            call.stop("")

    def _meet(self, call: ListCall, fate: str) -> None:
        if fate == "refused":
            self.wake(self.now + 1.0, lambda now: call.stop("refused"))
        elif fate == "turned away":
            call.retry_after, call.turned_away = HOUR if self.now < self.reached else 0.0, True
            self.wake(self.now + QUEUE, lambda now: call.stop("status 503"))
        elif fate == "moved":  # it says nothing, and SIGHUP names another service
            self.wake(self.now + 300.0, self._move)
        elif fate == "ends":  # a watch that spoke and ended
            self.wake(self.now + 5.0, lambda now: self._say(call, None))
            self.wake(self.now + 9.0, lambda now: call.stop("the watch has ended"))
        elif fate == "spoke":  # and fell silent
            self.wake(self.now + 5.0, lambda now: self._say(call, None))

    def play(self) -> float:
        """ms from when the service could be reached until the list was in force; -inf for no such phase."""
        if self.pace is not None:
            self.pace.start(self.now)
            self._plan()
        until = self.now + 60_000.0
        while self.told_at == inf and self.now < until and not self.changed:
            self.pass_time(50.0)
        return -inf if self.changed else self.told_at - self.reached


FATES = "refused", "turned away", "says nothing", "moved", "ends"


def chains(most: int) -> Iterator[tuple[str, ...]]:
    """Every chain of failures."""
    for n in range(1, most + 1):
        yield from product(FATES, repeat=n)


def longest(
    fates: Iterable[tuple[str, ...]],
    balancers: int,
    paced: bool,
    answer: float,
    lost: int,
    stop: float = TOLD,
) -> tuple[float, tuple[str, ...], float]:
    """The longest time to the list over all chains, phases, places and beats, its chain and phase; or the
    first one over `stop`."""
    found: tuple[float, tuple[str, ...], float] = (0.0, (), 0.0)
    for chain, place, beat in product(fates, (0.0, 0.5, 0.999), (1.0, 199.0)):
        for phase in count(1.0, STEP):
            world = World(
                chain, phase, answer, lost, place, beat, paced, balancers=balancers, must_ask_in=30_000.0
            )
            took = world.play()
            if world.changed or phase > 2 * TOLD:  # the next call begins before; or far too late
                break
            found = max(found, (took, chain, phase))
            if phase > TOLD:
                found = max(found, (inf, chain, phase))
            if found[0] > stop:
                return found
    return found


def not_turned_away(most: int) -> list[tuple[str, ...]]:
    """Every chain of failures at a service that is away, not crowded."""
    return [chain for chain in chains(most) if "turned away" not in chain]


WALKS = {
    # the service was away: one call more may be turned away after a second, and the next takes 1 s
    "up to 200": ([*not_turned_away(3), *(("spoke", *c) for c in chains(1))], 200, False, 1_000.0, 1),
    "hundreds": ([*not_turned_away(2), *(("spoke", *c) for c in chains(1))], 1_000, False, 1_000.0, 1),
    # it turned calls away: the next one, once it has time again, takes 1.5 s. That two more may be lost then
    # asked for the very calls which keep such a service crowded: test_crowded_list_service.py
    "crowded": (chains(3), 200, False, 1_500.0, 0),
    "crowded, hundreds": (chains(3), 1_000, False, 1_500.0, 0),
    # with the pace of the operator's file, where a refusal puts the next call off as well
    "paced": ([*chains(2), *(("spoke", *c) for c in chains(1))], 200, True, 500.0, 1),
    "paced, 400": ([*chains(2), *(("spoke", *c) for c in chains(1))], 400, True, 500.0, 0),
    # counted from when a watch fell silent, which takes 2.5 s to be noticed
    "silent": ([("spoke",), *((*c, "spoke") for c in chains(1))], 200, False, 500.0, 1),
    "silent, hundreds": ([("spoke",), *((*c, "spoke") for c in chains(1))], 1_000, False, 1_000.0, 0),
    "silent, paced": ([("spoke",), *((*c, "spoke") for c in chains(1))], 400, True, 500.0, 0),
}


@pytest.mark.parametrize("walk", WALKS)
def test_whatever_went_before_the_list_is_in_force_6_s_after_the_service_could_be_reached(walk):
    took, chain, phase = longest(*WALKS[walk])
    assert 3_000.0 < took <= TOLD, (chain, phase)


class Growing(Asking):
    """The waits up to now: they grow with each failure, and a call that is out is repeated after 4 s."""

    wait = 500.0

    def called(self, now: float, anew: bool = False) -> None:
        super().called(now, anew)
        self.due = now + 4_000.0

    def told(self) -> None:
        super().told()
        self.wait = 500.0

    def failed(self, now: float, turned_away: bool = False) -> None:
        self._told, self.due = False, now + self.wait * (0.5 + self.place)
        self.wait = min(2 * self.wait, 7_500.0)


class Patient(Asking):
    """One that waits for its call as long as that is out, whatever it says."""

    def called(self, now: float, anew: bool = False) -> None:
        super().called(now, anew)
        self.due = inf


@pytest.mark.parametrize("waits", [Growing, Patient])
def test_the_walk_finds_waits_that_are_too_long(waits, monkeypatch):
    monkeypatch.setattr("ospreyline.decide.Asking", waits)
    took, _, _ = longest([*chains(5)][-700::3], 200, False, 1_000.0, 2)
    assert took > TOLD


@pytest.mark.parametrize("kept", [False, True])
def test_the_walk_finds_a_call_that_loses_its_place_to_the_next_one(kept, monkeypatch):
    # a service that answers within 2.5 s, in turn: who calls anew in between would start from the end of it
    def replaced(self, on):
        if self._watch is not None and not self._watch.spoken:
            self._drop(self._watch)
            self._watch = None
        Discovery.watch(self, on)

    if not kept:
        monkeypatch.setattr(Calls, "watch", replaced)
    took, _, _ = longest([*chains(1)], 200, False, 2_500.0, 0)
    assert (took <= TOLD) is kept


def test_a_period_lets_two_or_three_calls_of_any_bank_fit_and_a_bank_calls_no_faster_than_before():
    for balancers in range(1, 3_000):
        period = asking.period_of(balancers, 30_000.0)
        assert 1_400.0 <= period <= 2_200.0 and (period == 1_400.0) == (balancers <= 200)
        # a small bank is no storm anywhere; hundreds keep to the mean wait that they had grown to
        assert balancers / period * 1e3 <= max(143.0, balancers / 2.2 + 1e-6)
    assert asking.period_of(200, 1_000.0) == 400.0  # well before it counts as told of everything


# over loopback


@pytest.fixture
def short(monkeypatch):
    """Periods of 0.3 s, far under the time after which a call counts as silent."""
    monkeypatch.setattr(asking, "LEAST", 300.0)
    monkeypatch.setattr(asking, "MOST", 300.0)
    monkeypatch.setattr(asking, "LONGEST", 600.0)


class Mute(Registry):
    """Discovery that answers calls as the story says, by their number; the rest are watches that stand."""

    def __init__(self, *fates: bytes) -> None:
        super().__init__()
        self.fates = list(fates)
        self.mute: list[asyncio.StreamWriter] = []  # calls that are open and have not been answered

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if len(self.requests) >= len(self.fates):
            return await super()._serve(reader, writer)
        try:
            self.requests.append(await read_message(reader))
            writer.write(self.fates[len(self.requests) - 1])
            self.mute.append(writer)
            self.changed.set()
            await reader.read()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            self.mute.remove(writer)
            self.changed.set()
            writer.close()


HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
BUSY = b"HTTP/1.1 503 Busy\r\nRetry-After: 3600\r\nContent-Length: 0\r\n\r\n"
HALF = HEAD + chunk(b'{"rev":9,"all":true,')


@pytest.mark.parametrize("paced", [False, True])
@pytest.mark.parametrize("said", [b"", HEAD, HALF])
def test_a_call_that_says_nothing_has_another_beside_it(said, paced, short):
    # it was let be for 2.5 s and then dropped, and only after that was the service called again
    async def story():
        registry, peers = Mute(said), (Peer(ok(b"0")), Peer(ok(b"1")))
        on = operator.Operator(list=operator.Lists(calls_per_s=250.0)) if paced else None
        async with running(*peers, registry=registry, operator=on) as service:
            await registry.until(lambda: bool(registry.writers))
            assert len(registry.mute) == 1  # the first is out yet
            registry.plain = listing(
                40, target("u0", peers[0].port, state="leaving"), target("u1", peers[1].port), whole=True
            )
            await registry.tell(40, target("u0", peers[0].port, state="leaving"))
            await served_by(service, {b"1"})
            await registry.until(lambda: not registry.mute)  # who spoke first stays
            # what was written on the other as it was ended is asked for beside the watch
            await registry.until(lambda: len(registry.requests) == 3)
            assert b"?watch=1" not in registry.requests[2][0]
            await registry.tell(41, target("u0", peers[0].port))
            await served_by(service, {b"0", b"1"})
            assert len(registry.requests) == 3

    play(story)


def test_of_two_calls_the_earlier_one_may_be_served_first(short):
    async def story():
        registry, peers = Mute(b"", b""), (Peer(ok(b"0")), Peer(ok(b"1")))
        async with running(*peers, registry=registry) as service:
            await registry.until(lambda: len(registry.mute) == 2)
            registry.mute[0].write(HEAD + chunk(listing(40, target("u0", peers[0].port, state="leaving"))))
            await served_by(service, {b"1"})
            await registry.until(lambda: len(registry.mute) == 1)
            registry.mute[0].write(chunk(listing(41, target("u0", peers[0].port))))
            await served_by(service, {b"0", b"1"})

    play(story)


@pytest.mark.parametrize("first", [0, 1])
def test_of_two_calls_one_may_fail(first, short):
    async def story():
        registry, peers = Mute(b"", b""), (Peer(ok(b"0")), Peer(ok(b"1")))
        async with running(*peers, registry=registry) as service:
            await registry.until(lambda: len(registry.mute) == 2)
            other = registry.mute[1 - first]
            registry.mute[first].transport.abort()
            while len(service.turn.discovery._calls) == 2:
                await asyncio.sleep(0)
            other.write(HEAD + chunk(listing(40, target("u0", peers[0].port, state="leaving"))))
            await served_by(service, {b"1"})
            assert service.turn.discovery.told_by_watch and other in registry.mute

    play(story)


@pytest.mark.parametrize("paced", [False, True])
def test_a_service_that_turns_calls_away_is_asked_again_in_time_whatever_it_says(paced, short, monkeypatch):
    # waits grew with each refusal, and with the pace a call could be put off by as long as the service said
    async def story():
        monkeypatch.setattr(pace, "HONOUR", 400.0)
        registry, peers = Mute(*[BUSY] * 6), (Peer(ok(b"0")), Peer(ok(b"1")))
        on = operator.Operator(list=operator.Lists(calls_per_s=250.0)) if paced else None
        async with running(*peers, registry=registry, operator=on) as service:
            await registry.until(lambda: len(registry.requests) > 6)
            await registry.tell(40, target("u0", peers[0].port, state="leaving"))
            await served_by(service, {b"1"})

    play(story)


def test_a_whole_list_that_trickles_keeps_nobody_waiting(short):
    # a plain call could trickle for 10 s, and who was gone stayed in use
    async def story():
        old, new, peers = Registry(), Mute(), (Peer(ok(b"0")), Peer(ok(b"1")))
        await new.start()
        async with running(*peers, registry=old) as service:
            await old.tell(7)
            moved(service, new)
            await new.until(lambda: bool(new.writers))
            await new.tell(2, target("u0", peers[0].port))
            await settled(new, service, 2)
            slow = new.writers[1]
            while len(new.writers) < 3:  # it goes on, byte by byte
                slow.write(chunk(b" "))
                await asyncio.sleep(0.02)
            assert slow in new.writers and b"watch" not in new.requests[2][0]
            new.writers[2].write(chunk(listing(2, target("u0", peers[0].port), whole=True)) + END)
            await served_by(service, {b"0"})  # u1 is gone
            await new.until(lambda: new.writers == new.writers[:1])  # the watch alone goes on

    play(story)


def test_an_answer_that_outlives_its_watch_leaves_nobody_unasked(short):
    # a plain call's answer was taken for the watch's word: the watch had ended, and nobody was asked any more
    async def story():
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
            while service.turn.discovery.watching:
                await asyncio.sleep(0)
            both = [target(f"u{i}", peer.port) for i, peer in enumerate(peers)]
            plain.write(chunk(listing(2, *both, whole=True)) + END)
            await new.until(lambda: len(new.requests) > 2)
            await new.until(lambda: bool(new.writers))
            await new.tell(3, target("u0", peers[0].port, state="leaving"))
            await served_by(service, {b"1"})

    play(story)


@pytest.mark.parametrize("paced", [False, True])
def test_a_service_that_discovery_moved_to_and_that_says_nothing_is_called_again(paced, short):
    # the move counted as an answer: only when that call had been given up was there another
    async def story():
        old, new = Registry(), Mute(b"")
        peers = Peer(ok(b"0")), Peer(ok(b"1"))
        await new.start()
        on = operator.Operator(list=operator.Lists(calls_per_s=250.0)) if paced else None
        async with running(*peers, registry=old, operator=on) as service:
            await old.tell(7)
            while (service.turn._pace or service.turn.balancer._asking).due < inf:  # it has been told
                await asyncio.sleep(0)
            service.reload(lambda: (moved_post(new), on))
            await new.until(lambda: len(new.mute) == 1)
            await old.tell(8)  # what the former watch tells says nothing of the new one
            await new.until(lambda: bool(new.writers))
            assert len(new.mute) == 1
            await new.tell(2, target("u1", peers[1].port), whole=True)
            await served_by(service, {b"1"})

    play(story)


def moved_post(registry: Registry) -> facts.Post:
    return facts.post(json.dumps(configuration([], registry.port)).encode(), {})


def test_one_that_was_spared_by_others_asks_in_time_once_they_are_gone():
    # its own call was as rare as the rule allows, up to 22 s, and a failure before kept it from haste
    rare = Pace(150, 200, 250.0, 30_000.0)
    rare.start(0.0)
    for _ in range(3):
        now = rare.due
        rare.called(now)
        rare.failed(now, told=True)
    assert rare.due - now > 20_000.0
    rare.hasten(now + 5_000.0)
    assert rare.due - now <= 5_000.0 + rare.period
    rare.hasten(now + 5_100.0)  # whoever says so again puts nothing off
    assert rare.due - now <= 5_000.0 + rare.period


def test_a_bank_says_when_nobody_asks_for_us_any_more(monkeypatch):
    async def story():
        stand, hastened = await Stand("a").start(), []
        stand.bank._hasten = lambda: hastened.append(1)
        stand.bank.lists._begun = -inf  # it has long begun, and hears nobody
        stand.bank._alone, asks = True, [True]
        monkeypatch.setattr(Lists, "asked_for_us", lambda self, now: asks[0])
        monkeypatch.setattr(Lists, "tick", lambda self, now: None)
        while not stand.bank._spared:
            await asyncio.sleep(0)
        assert not hastened
        asks[0] = False
        while stand.bank._spared:
            await asyncio.sleep(0)
        assert hastened == [1]
        stand.bank.close()

    play(story)


def test_there_is_never_a_period_without_a_call_while_nobody_has_told_us():
    # a balancer cannot know since when it counts as told of something: it may be at any time, so it asks all
    # the time; nothing is left for a time at which it would have to begin. A call that waits has another
    # beside it after 2.2 s, not before, and a service that turns calls away is called ever later, to 4.2 s
    most = {"says nothing": 2_200.0, "turned away": 4_200.0}
    for fate in FATES:
        world = World((fate,) * 40, 1.0, 500.0, 0, 0.5, 1.0, False, balancers=200, must_ask_in=30_000.0)
        world.play()
        gaps = [b - a for a, b in zip(world.begins, world.begins[1:], strict=False)]
        assert len(gaps) >= 12 and max(gaps) <= most.get(fate, 1_400.0) + 200.0, fate
        assert fate not in most or sorted(gaps)[1] >= 2_200.0, fate


def test_a_long_list_is_in_force_in_the_turn_in_which_it_was_read():
    async def story():
        registry, peers = Registry(), (Peer(ok(b"0")), Peer(ok(b"1")))
        async with running(*peers, registry=registry) as service:
            client = await caller(service)
            others = [target(f"s-{i}", 1_000 + i, state="leaving") for i in range(2_000)]
            last = target("u0", peers[0].port, state="leaving")
            await registry.tell(40, *others, target("u1", peers[1].port), last, whole=True)
            while service.turn.discovery.rev != 40:
                await asyncio.sleep(0)
            # a request that is read in the same pass is decided by the new list
            assert {(await client.ask(request()))[2] for _ in range(8)} == {b"1"}

    play(story)
