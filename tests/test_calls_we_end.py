"""List calls that the balancer ends itself while the notice of a drain lies unread in their sockets.

Guards against treating such a call as one on which nothing was written: what the service has written counts
as received, whoever ends the call. Observed: two calls waited for an overloaded list service, which wrote the
old version on the later one and the drain on the earlier one at the same instant. The later one was read
first, the earlier one was ended in that callback, and 258 requests went to the draining server in the 7 s
until the next update. The log had "another call has taken its place, bytes 0" for a call on which, by the
records of the service, the drain was written.

There is one row for each place in the code that ends a call. The order is forced: the update is put into the
socket of the call, and the call is ended in the same iteration of the event loop.
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
from ospreyline.net.discovery import CallFailure, ListClient
from ospreyline.net.dispatcher import clock
from ospreyline.net.list_call import FIRST_BYTE_TIMEOUT_S, ListCall
from ospreyline.net.service import Service


class Setup:
    """One balancer, the list service that it calls, and another one to move to; u0 is about to drain."""

    def __init__(self, service: Service, registry: Registry, elsewhere: Registry, peers: list[Peer]) -> None:
        self.service, self.registry, self.elsewhere, self.peers = service, registry, elsewhere, peers
        self.lists = service.dispatcher.discovery

    def calls(self) -> list[ListCall]:
        return list(self.lists._calls)

    async def another_call(self, watching: bool, at: Registry | None = None) -> None:
        registry = at or self.registry
        out = len(registry.writers)
        if watching:
            self.lists.watch(True)
        else:
            self.lists.poll()
        await registry.until(lambda: len(registry.writers) > out)
        await settled(registry, self.service, out + 1)

    def drain_update(self, version: int = 50) -> bytes:
        return chunk(listing(version, target("u0", self.peers[0].port, state="leaving")))

    def put(self, data: bytes, number: int, at: Registry | None = None) -> None:
        """Writes data of the service on a call, so that it lies in the balancer's socket at once."""
        os.write((at or self.registry).writers[number].get_extra_info("socket").fileno(), data)

    def old_version(self) -> bytes:
        return chunk(listing(40))

    def whole(self) -> bytes:
        return chunk(listing(40, *(target(f"u{i}", p.port) for i, p in enumerate(self.peers)), whole=True))


async def another_waiting_call_is_answered(setup: Setup) -> None:
    await setup.another_call(watching=True)
    _, later = setup.calls()
    setup.put(setup.drain_update(), 0)
    later.data_received(setup.old_version())


async def the_watch_that_replaces_it_is_answered(setup: Setup) -> None:
    await setup.registry.say(listing(40))
    while setup.lists.rev != 40:
        await asyncio.sleep(0)
    await setup.another_call(watching=True)
    _, new = setup.calls()
    setup.put(setup.drain_update(), 0)
    new.data_received(setup.old_version())


async def too_many_calls_wait(setup: Setup) -> None:
    while len(setup.calls()) < discovery_module.MAX_UNANSWERED_WATCHES:
        await setup.another_call(watching=True)
    setup.put(setup.drain_update(), len(setup.calls()) - 1)
    setup.lists.watch(True)


async def the_whole_list_comes_on_another(setup: Setup) -> None:
    await setup.registry.say(listing(40))
    await setup.another_call(watching=False)
    await setup.another_call(watching=False)
    second = setup.calls()[2]
    setup.put(setup.drain_update(), 1)
    second.data_received(setup.whole() + END)


async def the_whole_list_trickles(setup: Setup) -> None:
    await setup.registry.say(listing(40))
    await setup.another_call(watching=False)
    await setup.another_call(watching=False)
    setup.lists._full_list_due = True
    for call in setup.calls():
        call.started_at -= setup.lists.repoll_after_s + 1.0
    setup.put(setup.drain_update(), 2)
    setup.lists.tidy()


async def the_service_resets_its_versions(setup: Setup) -> None:
    await setup.registry.say(listing(40))
    while setup.lists.rev != 40:
        await asyncio.sleep(0)
    setup.put(setup.drain_update(4), 0)
    setup.calls()[0].data_received(chunk(listing(3)))


async def discovery_moves(setup: Setup) -> None:
    await setup.registry.say(listing(40))
    await setup.another_call(watching=False)
    setup.put(setup.drain_update(), 1)
    moved(setup.service, setup.elsewhere)


async def the_new_address_answers(setup: Setup) -> None:
    await setup.registry.say(listing(40))
    while setup.lists.rev != 40:
        await asyncio.sleep(0)
    moved(setup.service, setup.elsewhere)
    await setup.elsewhere.until(lambda: bool(setup.elsewhere.writers))
    await settled(setup.elsewhere, setup.service, 1)
    new = setup.calls()[-1]
    setup.put(setup.drain_update(), 0)
    new.data_received(
        chunk(listing(7, *(target(f"u{i}", p.port) for i, p in enumerate(setup.peers)), whole=True))
    )


async def it_has_waited_for_too_long(setup: Setup) -> None:
    setup.calls()[0].started_at -= FIRST_BYTE_TIMEOUT_S + 1.0
    setup.calls()[0].bytes = 0
    setup.put(setup.drain_update(), 0)
    setup.lists.tidy()


PLACES: list[Callable[[Setup], Awaitable[None]]] = [
    another_waiting_call_is_answered,
    the_watch_that_replaces_it_is_answered,
    too_many_calls_wait,
    the_whole_list_comes_on_another,
    the_whole_list_trickles,
    the_service_resets_its_versions,
    discovery_moves,
    the_new_address_answers,
]


def ended_with_update_unread(place: Callable[[Setup], Awaitable[None]]) -> None:
    async def scenario() -> None:
        registry, elsewhere = await Registry().start(), await Registry().start()
        peers = [Peer(ok(b"0")), Peer(ok(b"1"))]
        async with running(*peers, registry=registry) as service:
            setup = Setup(service, registry, elsewhere, peers)
            await registry.until(lambda: bool(registry.writers))
            await settled(registry, service, 1)
            await place(setup)
            async with asyncio.timeout(2):
                while service.dispatcher.directory.readiness["u0"] is Readiness.READY:
                    await asyncio.sleep(0.005)

    play(scenario)


@pytest.mark.parametrize("place", PLACES, ids=lambda place: place.__name__)
def test_news_that_lies_unread_in_a_call_that_we_end_is_read(place):
    ended_with_update_unread(place)


def test_news_that_lies_unread_in_a_call_that_has_waited_too_long_is_read():
    ended_with_update_unread(it_has_waited_for_too_long)


def test_an_older_list_settles_no_loss_of_a_newer_one():
    # two calls are open, one receives a newer version and is cut off: the older answer of the other one is
    # ignored and must not settle the loss
    async def scenario() -> None:
        registry, elsewhere = await Registry().start(), await Registry().start()
        peers = [Peer(ok(b"0")), Peer(ok(b"1"))]
        async with running(*peers, registry=registry) as service:
            setup = Setup(service, registry, elsewhere, peers)
            await registry.say(listing(40))
            while setup.lists.rev != 40:
                await asyncio.sleep(0)
            setup.lists.poll()
            await settled(registry, service, 2)
            watch, plain = setup.calls()
            watch.data_received(chunk(listing(41)))
            watch.data_received(b"9")  # a part of a chunk
            watch.connection_lost(ConnectionResetError())
            plain.number = setup.lists.calls_started + 1  # as if it had started after the loss
            plain.data_received(setup.whole() + END)  # of version 40
            service.dispatcher._dispatch()
            assert service.dispatcher.balancer.lease.has_lost_update

    play(scenario)


def test_an_older_answer_of_the_new_address_undoes_no_drain_that_the_former_one_told_meanwhile():
    async def scenario() -> None:
        registry, elsewhere = await Registry().start(), await Registry().start()
        peers = [Peer(ok(b"0")), Peer(ok(b"1"))]
        async with running(*peers, registry=registry) as service:
            setup = Setup(service, registry, elsewhere, peers)
            await registry.say(listing(40))
            while setup.lists.rev != 40:
                await asyncio.sleep(0)
            moved(service, elsewhere)
            await elsewhere.until(lambda: bool(elsewhere.writers))
            await registry.tell(41, target("u0", peers[0].port, state="leaving"))
            while service.dispatcher.directory.readiness["u0"] is Readiness.READY:
                await asyncio.sleep(0)
            await elsewhere.tell(7, *(target(f"u{i}", p.port) for i, p in enumerate(peers)), whole=True)
            await elsewhere.until(lambda: len(elsewhere.requests) == 2)
            assert b"?watch=1" not in elsewhere.requests[1][0]  # the full list decides
            assert service.dispatcher.directory.readiness["u0"] is Readiness.DRAINING

    play(scenario)


class Stubborn(Registry):
    """A list service that keeps a call open though the balancer has half-closed it."""

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.requests.append(await read_message(reader))
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        self.writers.append(writer)
        self.changed.set()


def test_a_call_that_counts_anew_and_is_ended_for_it_may_lose_what_is_written_meanwhile():
    async def scenario() -> None:
        registry, peer = Stubborn(), Peer(ok(b"0"))
        async with running(peer, registry=registry) as service:
            await registry.until(lambda: len(registry.writers) == 1)
            (first,) = registry.writers
            await registry.say(listing(40))
            while service.dispatcher.discovery.rev != 40:
                await asyncio.sleep(0.005)
            first.write(chunk(listing(7)))
            while not service.dispatcher.discovery._half_closed:
                await asyncio.sleep(0.002)
            ended = clock()
            while clock() - ended < 1_000.0:  # no other call is answered, and this one does not end
                await asyncio.sleep(0.01)
                service.dispatcher._dispatch()
                assert service.dispatcher.balancer.lease.blocks_sends(ended + 300.0)

    play(scenario)


@pytest.mark.parametrize("limit, value", [("READ_AFTER_CLOSE_S", 0.1), ("MAX_HALF_CLOSED", 0)])
def test_a_part_of_an_update_that_we_read_no_further_is_lost(limit, value, monkeypatch):
    # the rest of what the service has written on it may name a draining server
    monkeypatch.setattr(discovery_module, limit, value)

    async def scenario():
        service, steps, failures = Stubborn(), [], []
        await service.start()
        lists = ListClient(
            asyncio.get_running_loop(),
            ("127.0.0.1", service.port),
            3,
            structlog.get_logger(),
            lambda update: None,
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
        while UpdateLost(1, 50, until_answered=True) not in steps:
            lists.tidy()
            await asyncio.sleep(0.005)
        assert failures == [CallFailure(lost=True, partly_received=True)]
        # the other call stays open; as the later one, it can settle the loss
        assert [call.number for call in lists._calls] == [2] and not lists._half_closed
        lists.close()

    play(scenario)
