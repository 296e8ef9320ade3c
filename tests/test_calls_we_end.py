"""Calls to the list service that we end ourselves, with the news of a drain unread in their sockets.

Story. Two calls waited for a crowded list service. It wrote the later one the old version and, in the same
instant, the earlier one the news that a server drains. The later one was read first, so the earlier one was
ended in that callback, with the news unread in its socket; then the service closed both. 258 requests went to
the draining server in the 7 s until it was told again. Evidence: the log of the process, "another call has
taken its place, bytes 0", while the records of the service have the news written on that call.

Cause: a call that we ended counted as one on which nothing had been written. What the service has written
counts as told, whoever ends the call.

One row for each place that ends a call. The order is forced: the news is put into the socket of the call, and
what ends that call is done in the same pass of the event loop.
"""

from __future__ import annotations

import asyncio
import os
from collections.abc import Awaitable, Callable

import pytest
import structlog
from stand_ins import Peer, Registry, ok, read_message, running, target
from test_clients import play
from test_lists import END, chunk, listing, settled
from test_service import moved

from ospreyline.host import Readiness
from ospreyline.lease import UpdateArriving, UpdateLost
from ospreyline.net import discovery as discovery_module
from ospreyline.net.discovery import CallFailure, Discovery
from ospreyline.net.list_call import MOST_WAIT, ListCall
from ospreyline.net.service import Service
from ospreyline.net.turn import clock


class Day:
    """One balancer, the list service that it asks, and another one to move to; u0 is about to drain."""

    def __init__(self, service: Service, registry: Registry, elsewhere: Registry, peers: list[Peer]) -> None:
        self.service, self.registry, self.elsewhere, self.peers = service, registry, elsewhere, peers
        self.lists = service.turn.discovery

    def calls(self) -> list[ListCall]:
        return list(self.lists._calls)

    async def another_call(self, watching: bool, at: Registry | None = None) -> None:
        registry = at or self.registry
        out = len(registry.writers)
        if watching:
            self.lists.watch(True)
        else:
            self.lists.refresh()
        await registry.until(lambda: len(registry.writers) > out)
        await settled(registry, self.service, out + 1)

    def news(self, version: int = 50) -> bytes:
        return chunk(listing(version, target("u0", self.peers[0].port, state="leaving")))

    def put(self, data: bytes, number: int, at: Registry | None = None) -> None:
        """What the service writes on a call lies in its socket at once."""
        os.write((at or self.registry).writers[number].get_extra_info("socket").fileno(), data)

    def old_version(self) -> bytes:
        return chunk(listing(40))

    def whole(self) -> bytes:
        return chunk(listing(40, *(target(f"u{i}", p.port) for i, p in enumerate(self.peers)), whole=True))


async def another_waiting_call_speaks(day: Day) -> None:
    await day.another_call(watching=True)
    _, later = day.calls()
    day.put(day.news(), 0)
    later.data_received(day.old_version())


async def the_watch_that_replaces_it_speaks(day: Day) -> None:
    await day.registry.say(listing(40))
    while day.lists.rev != 40:
        await asyncio.sleep(0)
    await day.another_call(watching=True)
    _, new = day.calls()
    day.put(day.news(), 0)
    new.data_received(day.old_version())


async def too_many_calls_wait(day: Day) -> None:
    while len(day.calls()) < discovery_module.MOST_WAITING:
        await day.another_call(watching=True)
    day.put(day.news(), len(day.calls()) - 1)
    day.lists.watch(True)


async def the_whole_list_comes_on_another(day: Day) -> None:
    await day.registry.say(listing(40))
    await day.another_call(watching=False)
    await day.another_call(watching=False)
    second = day.calls()[2]
    day.put(day.news(), 1)
    second.data_received(day.whole() + END)


async def the_whole_list_trickles(day: Day) -> None:
    await day.registry.say(listing(40))
    await day.another_call(watching=False)
    await day.another_call(watching=False)
    day.lists._whole_due = True
    for call in day.calls():
        call.since -= day.lists.again + 1.0
    day.put(day.news(), 2)
    day.lists.tidy()


async def the_service_counts_anew(day: Day) -> None:
    await day.registry.say(listing(40))
    while day.lists.rev != 40:
        await asyncio.sleep(0)
    day.put(day.news(4), 0)
    day.calls()[0].data_received(chunk(listing(3)))


async def discovery_moves(day: Day) -> None:
    await day.registry.say(listing(40))
    await day.another_call(watching=False)
    day.put(day.news(), 1)
    moved(day.service, day.elsewhere)


async def the_new_address_speaks(day: Day) -> None:
    await day.registry.say(listing(40))
    while day.lists.rev != 40:
        await asyncio.sleep(0)
    moved(day.service, day.elsewhere)
    await day.elsewhere.until(lambda: bool(day.elsewhere.writers))
    await settled(day.elsewhere, day.service, 1)
    new = day.calls()[-1]
    day.put(day.news(), 0)
    new.data_received(
        chunk(listing(7, *(target(f"u{i}", p.port) for i, p in enumerate(day.peers)), whole=True))
    )


async def it_has_waited_for_too_long(day: Day) -> None:
    day.calls()[0].since -= MOST_WAIT + 1.0
    day.calls()[0].bytes = 0
    day.put(day.news(), 0)
    day.lists.tidy()


PLACES: list[Callable[[Day], Awaitable[None]]] = [
    another_waiting_call_speaks,
    the_watch_that_replaces_it_speaks,
    too_many_calls_wait,
    the_whole_list_comes_on_another,
    the_whole_list_trickles,
    the_service_counts_anew,
    discovery_moves,
    the_new_address_speaks,
]


def ended_with_news_unread(place: Callable[[Day], Awaitable[None]]) -> None:
    async def story() -> None:
        registry, elsewhere = await Registry().start(), await Registry().start()
        peers = [Peer(ok(b"0")), Peer(ok(b"1"))]
        async with running(*peers, registry=registry) as service:
            day = Day(service, registry, elsewhere, peers)
            await registry.until(lambda: bool(registry.writers))
            await settled(registry, service, 1)
            await place(day)
            async with asyncio.timeout(2):
                while service.turn._readiness["u0"] is Readiness.READY:
                    await asyncio.sleep(0.005)

    play(story)


@pytest.mark.parametrize("place", PLACES, ids=lambda place: place.__name__)
def test_news_that_lies_unread_in_a_call_that_we_end_is_read(place):
    ended_with_news_unread(place)


def test_news_that_lies_unread_in_a_call_that_has_waited_too_long_is_read():
    ended_with_news_unread(it_has_waited_for_too_long)


def test_an_older_list_settles_no_loss_of_a_newer_one():
    # two calls are out, one has told a newer version and is cut off: what the other tells is passed over as
    # older, and settled the loss all the same
    async def story() -> None:
        registry, elsewhere = await Registry().start(), await Registry().start()
        peers = [Peer(ok(b"0")), Peer(ok(b"1"))]
        async with running(*peers, registry=registry) as service:
            day = Day(service, registry, elsewhere, peers)
            await registry.say(listing(40))
            while day.lists.rev != 40:
                await asyncio.sleep(0)
            day.lists.refresh()
            await settled(registry, service, 2)
            watch, plain = day.calls()
            watch.data_received(chunk(listing(41)))
            watch.data_received(b"9")  # a part of a chunk
            watch.connection_lost(ConnectionResetError())
            plain.number = day.lists.begun + 1  # as if it had been asked for after the loss
            plain.data_received(day.whole() + END)  # of version 40
            service.turn._dispatch()
            assert service.turn.balancer.lease.lost

    play(story)


def test_an_older_answer_of_the_new_address_undoes_no_drain_that_the_former_one_told_meanwhile():
    async def story() -> None:
        registry, elsewhere = await Registry().start(), await Registry().start()
        peers = [Peer(ok(b"0")), Peer(ok(b"1"))]
        async with running(*peers, registry=registry) as service:
            day = Day(service, registry, elsewhere, peers)
            await registry.say(listing(40))
            while day.lists.rev != 40:
                await asyncio.sleep(0)
            moved(service, elsewhere)
            await elsewhere.until(lambda: bool(elsewhere.writers))
            await registry.tell(41, target("u0", peers[0].port, state="leaving"))
            while service.turn._readiness["u0"] is Readiness.READY:
                await asyncio.sleep(0)
            await elsewhere.tell(7, *(target(f"u{i}", p.port) for i, p in enumerate(peers)), whole=True)
            await elsewhere.until(lambda: len(elsewhere.requests) == 2)
            assert b"?watch=1" not in elsewhere.requests[1][0]  # the whole list has the last word
            assert service.turn._readiness["u0"] is Readiness.DRAINING

    play(story)


class Stubborn(Registry):
    """A list service that goes on with a call though we have ended our side of it."""

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.requests.append(await read_message(reader))
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        self.writers.append(writer)
        self.changed.set()


def test_a_call_that_counts_anew_and_is_ended_for_it_may_lose_what_is_written_meanwhile():
    async def story() -> None:
        registry, peer = Stubborn(), Peer(ok(b"0"))
        async with running(peer, registry=registry) as service:
            await registry.until(lambda: len(registry.writers) == 1)
            (first,) = registry.writers
            await registry.say(listing(40))
            while service.turn.discovery.rev != 40:
                await asyncio.sleep(0.005)
            first.write(chunk(listing(7)))
            while not service.turn.discovery._left:
                await asyncio.sleep(0.002)
            ended = clock()
            while clock() - ended < 1_000.0:  # nobody else answers, and this one does not end
                await asyncio.sleep(0.01)
                service.turn._dispatch()
                assert service.turn.balancer.lease.withholds(ended + 300.0)

    play(story)


@pytest.mark.parametrize("limit, value", [("READ_ON", 0.1), ("MOST_LEFT", 0)])
def test_a_part_of_an_update_that_we_read_no_further_is_lost(limit, value, monkeypatch):
    # the rest of what the service has written on it may name a server that drains
    monkeypatch.setattr(discovery_module, limit, value)

    async def story():
        service, steps, failures = Stubborn(), [], []
        await service.start()
        lists = Discovery(
            asyncio.get_running_loop(),
            ("127.0.0.1", service.port),
            3,
            structlog.get_logger(),
            lambda news: None,
            failures.append,
            steps.append,
        )
        lists.watch(True)
        await service.until(lambda: len(service.writers) == 1)
        service.writers[0].write(b'20\r\n{"rev":50,"all":false,')
        while UpdateArriving(1) not in steps:
            await asyncio.sleep(0.005)
        lists.watch(True)
        await service.until(lambda: len(service.writers) == 2)
        await service.say(listing(40))
        while UpdateLost(1, 50) not in steps:
            lists.tidy()
            await asyncio.sleep(0.005)
        assert failures == [CallFailure(lost=True, seen=True)]
        # the other call goes on, and is the later one that can settle it
        assert [call.number for call in lists._calls] == [2] and not lists._left
        lists.close()

    play(story)
