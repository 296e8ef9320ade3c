"""The upstream list when events race: overlapping calls, a service that resets versions, silent watches."""

from __future__ import annotations

import asyncio
import json
from math import inf

import pytest
from stand_ins import RESET, FakeHost, Peer, Registry, caller, listed, ok, request, running, target
from test_clients import play
from test_service import moved

from ospreyline.net import list_call
from ospreyline.net import service as service_module
from ospreyline.net.dispatcher import clock

END = b"0\r\n\r\n"


def listing(rev, *targets, whole=False, indent=None):
    return json.dumps({"rev": rev, "all": whole, "targets": targets}, indent=indent).encode() + b"\n"


def chunk(data):
    return b"%x\r\n%b\r\n" % (len(data), data)


async def served_by(service, body):
    """Waits until all visits are served by the upstreams with these bodies."""
    client = await caller(service)
    while {(await client.ask(request()))[2] for _ in range(8)} != body:
        pass


async def settled(registry, service, calls):
    await registry.until(lambda: len(registry.writers) >= calls)
    while len(service.dispatcher.discovery._calls) < calls:
        await asyncio.sleep(0)


@pytest.mark.parametrize("first", ["watch", "whole"])
def test_a_whole_list_that_was_on_its_way_takes_back_nothing_newer(first):
    async def scenario():
        registry, peers = Registry(), (Peer(ok(b"0")), Peer(ok(b"1")))
        async with running(*peers, registry=registry) as service:
            known = [target(f"u{i}", peer.port) for i, peer in enumerate(peers)]
            await registry.tell(40)
            service.dispatcher.discovery.poll()
            await settled(registry, service, 2)
            watch, plain = registry.writers[:2]
            leaving = target("u0", peers[0].port, state="leaving")
            for name in ("whole", "watch") if first == "whole" else ("watch", "whole"):
                if name == "whole":  # produced before the change, whenever it is read
                    plain.write(chunk(listing(40, *known, whole=True)) + END)
                    while len(service.dispatcher.discovery._calls) > 1:
                        await asyncio.sleep(0)
                else:
                    watch.write(chunk(listing(41, leaving)))
                    while service.dispatcher.discovery.rev != 41:
                        await asyncio.sleep(0)
            await served_by(service, {b"1"})
            assert service.dispatcher.discovery.rev == 41 and service.dispatcher.discovery.has_watch
            await registry.until(lambda: len(registry.writers) == 1)  # and the watch goes on
            watch.write(chunk(listing(42, target("u0", peers[0].port))))
            await served_by(service, {b"0", b"1"})

    play(scenario)


def test_a_service_that_counts_anew_is_believed_and_asked_for_all():
    async def scenario():
        registry, peers = Registry(), (Peer(ok(b"0")), Peer(ok(b"1")))
        async with running(*peers, registry=registry) as service:
            await registry.tell(40)
            # a change with a lower version on an open watch must be applied, and the full list requested
            await registry.tell(3, target("u0", peers[0].port, state="leaving"))
            await served_by(service, {b"1"})  # a drain is applied at once
            await registry.until(lambda: len(registry.requests) > 1 and len(registry.writers) == 1)
            assert b"after=0 " in registry.requests[1][0]
            await registry.tell(4, target("u0", peers[0].port), whole=True)
            await served_by(service, {b"0"})
            assert service.dispatcher.discovery.rev == 4

    play(scenario)


def test_a_whole_list_of_a_service_that_was_started_again_is_believed():
    async def scenario():
        registry, peers = Registry(), (Peer(ok(b"0")), Peer(ok(b"1")))
        async with running(*peers, registry=registry) as service:
            await registry.tell(40)
            registry.writers[0].close()
            await registry.until(lambda: len(registry.requests) > 1 and len(registry.writers) == 1)
            await registry.tell(2, target("u1", peers[1].port), whole=True)
            await served_by(service, {b"1"})

    play(scenario)


@pytest.mark.parametrize(
    "what", [b'{"rev":9,"all":false,', b"x", b" ", b"head", b'{\n"rev":9,\n"targets":[\n']
)
def test_a_watch_that_trickles_without_a_whole_line_is_as_good_as_silent(what, monkeypatch):
    # if any byte counted as a sign of life, a watch could stay open for good without an update
    async def scenario():
        monkeypatch.setattr(list_call, "SILENCE_TIMEOUT_S", 0.4)
        registry, peer = Registry(), Peer()
        async with running(peer, registry=registry) as service:
            if what == b"head":
                await registry.until(lambda: bool(registry.writers))
            else:
                await registry.tell(4)
            writer, bit = registry.writers[0], what
            while writer in registry.writers:  # until the balancer ends it, though bytes keep coming
                writer.write(b"0" if what == b"head" else chunk(bit))
                bit = what[:1]
                await asyncio.sleep(0.05)
            await registry.until(lambda: len(registry.requests) > 1)  # and calls again
            assert service.dispatcher.counts["faults"] == 0

    play(scenario)


@pytest.mark.parametrize("indent", [1, 4, "\t"])
@pytest.mark.parametrize("piece", [3, 1 << 20])
def test_an_indented_list_is_read_wherever_it_comes(indent, piece):
    # if an object ended at each line feed, one that spans several lines would end every watch
    async def scenario():
        registry, peers = Registry(), (Peer(ok(b"0")), Peer(ok(b"1")))
        async with running(*peers, registry=registry, known=[]) as service:
            odd = target('{"[', 1, state="left", model='a } \\ " ]')
            zero, one = (target(f"u{i}", peer.port) for i, peer in enumerate(peers))
            await registry.say(listing(5, odd, zero, whole=True, indent=indent) + b"\n", piece)
            await served_by(service, {b"0"})
            await registry.say(listing(6, zero | {"state": "leaving"}, one, indent=indent), piece)
            await served_by(service, {b"1"})
            assert len(registry.requests) == 1 and service.dispatcher.discovery.rev == 6

    play(scenario)


def test_an_object_that_was_cut_off_ends_the_watch_at_the_next_empty_line():
    async def scenario():
        registry, peer = Registry(), Peer()
        async with running(peer, registry=registry) as service:
            await registry.say(b'{"rev": 7,\n "targets": [\n')
            await registry.say(b"\n")
            await registry.until(lambda: len(registry.requests) > 1)
            assert service.dispatcher.counts["faults"] == 0

    play(scenario)


@pytest.mark.parametrize("failure", ["reset", "older"])
def test_who_is_gone_is_asked_for_until_it_is_told(failure):
    # after a move the new service sends changes and the poll for the full list fails: it must be repeated
    async def scenario():
        old, new = Registry(), await Registry().start()
        peers = Peer(ok(b"0")), Peer(ok(b"1"))
        async with running(*peers, registry=old) as service:
            await old.tell(7)
            moved(service, new)
            await new.until(lambda: bool(new.writers))
            await new.tell(2, target("u0", peers[0].port))
            await settled(new, service, 2)
            watch, plain = new.writers[:2]
            if failure == "reset":
                plain.transport.abort()
            else:
                watch.write(chunk(listing(3)))
                while service.dispatcher.discovery.rev != 3:
                    await asyncio.sleep(0)
                plain.write(
                    chunk(listing(2, *(target(f"u{i}", p.port) for i, p in enumerate(peers)), whole=True))
                    + END
                )
            await new.until(lambda: len(new.requests) > 2)  # polled again, on the polling schedule
            while not new.writers or new.writers[-1] in (watch, plain):
                await asyncio.sleep(0)
            assert b"?watch=1" not in new.requests[2][0]  # the open watch is kept
            new.writers[-1].write(chunk(listing(3, target("u0", peers[0].port), whole=True)) + END)
            await served_by(service, {b"0"})  # u1 is gone

    play(scenario)


@pytest.mark.parametrize("first", ["fails", "waits"])
def test_after_a_move_the_waits_of_the_former_address_are_over(first):
    # after long failures of the former address, calls to the new one must not inherit its wait of up to 12 s
    async def scenario():
        old, new = Registry(), Registry()
        for registry in (old, new):
            registry.answers = [RESET]
            await registry.start()
        async with running(Peer(), registry=old) as service:
            balancer = service.dispatcher.balancer
            await old.until(lambda: bool(old.requests))
            while not balancer._call_schedule.failures:  # it has been notified of one
                await asyncio.sleep(0)
            balancer._call_schedule.next_call_at = inf  # as if it were to wait for long
            if first == "waits":
                new.answers, balancer._call_schedule.next_call_at = [ok()], 0.0  # the next tick would call
            moved(service, new)
            if first == "fails":
                await asyncio.wait_for(new.until(lambda: len(new.requests) > 1), 3)
            else:
                await new.until(lambda: bool(new.writers))
                call = service.dispatcher.discovery._watch
                balancer._tick(clock())
                service.dispatcher._dispatch()
                assert service.dispatcher.discovery._watch is call is not None

    play(scenario)


def test_a_silent_watch_leaves_time_for_a_call_that_is_turned_away():
    # what is missed counts as received 6 s after the silence began; a queued call waits for 1 s here
    for seed in range(200):
        host = FakeHost([listed(0)], ask_for_list=True, seed=seed)
        host.balancer.apply_list_changes(host.now, [])
        silent = host.now
        host.pass_time(1e3 * (list_call.SILENCE_TIMEOUT_S + service_module.MAINTENANCE_INTERVAL_S))
        for _ in range(2):
            host.watches.clear()
            host.balancer.list_call_failed(host.now)
            while not host.watches:
                host.pass_time(10.0)
            called = host.now - silent
            host.pass_time(1_000.0)
        assert called < 6_500.0  # including the drain grace of 0.5 s


def test_a_watch_that_is_replaced_is_heard_until_the_new_one_has_spoken():
    async def scenario():
        registry, peers = Registry(), (Peer(ok(b"0")), Peer(ok(b"1")))
        async with running(*peers, registry=registry) as service:
            await registry.tell(40)
            old = registry.writers[0]
            while service.dispatcher.discovery.rev != 40:
                await asyncio.sleep(0)
            service.dispatcher.discovery.watch(True)
            await settled(registry, service, 2)
            old.write(chunk(listing(42, target("u0", peers[0].port, state="leaving"))))
            await served_by(service, {b"1"})
            # the first line of the new one was produced before that
            registry.writers[1].write(chunk(listing(41, target("u0", peers[0].port))))
            await registry.until(lambda: len(registry.writers) == 1)
            registry.writers[0].write(chunk(listing(43, target("u2", 1, state="left"))))
            while service.dispatcher.discovery.rev != 43:
                await asyncio.sleep(0)
            await served_by(service, {b"1"})

    play(scenario)


def test_a_call_that_was_dropped_while_it_connected_asks_for_nothing():
    async def scenario():
        registry = await Registry().start()
        async with running(Peer(), registry=registry) as service:
            await registry.until(lambda: len(registry.requests) == 1)
            lists = service.dispatcher.discovery
            call = list_call.ListCall(lists, 2, lists.at, lists.rev, watching=True)
            call.over = True
            reader, writer = await asyncio.open_connection("127.0.0.1", registry.port)
            call.connection_made(writer.transport)
            assert await reader.read() == b"" and len(registry.requests) == 1

    play(scenario)


def test_a_call_asks_for_what_it_began_with():
    async def scenario():
        registry, other = await Registry().start(), await Registry().start()
        async with running(Peer(), registry=registry) as service:
            await registry.tell(4)
            lists = service.dispatcher.discovery
            call = list_call.ListCall(lists, 2, lists.at, lists.rev, watching=True)
            lists.at, lists.rev = ("127.0.0.1", other.port), 0  # a move before its connection is up
            _, writer = await asyncio.open_connection(*call.address)
            call.connection_made(writer.transport)
            await registry.until(lambda: len(registry.requests) == 2)
            assert b"after=4 " in registry.requests[1][0] and not other.requests
            assert b"Host: 127.0.0.1:%d" % registry.port in registry.requests[1][0]

    play(scenario)


def unreadable(entry):
    """A change with an entry that cannot be decoded."""
    return b'{"rev":41,"all":false,"targets":[%b]}\n' % entry


def test_a_server_whose_entry_cannot_be_read_takes_nothing_new_until_it_can():
    # if only the entry were skipped, a drain in it would go unnoticed and requests go on to its server
    async def scenario():
        registry, peers = Registry(), (Peer(ok(b"0")), Peer(ok(b"1")))
        async with running(*peers, registry=registry) as service:
            await registry.tell(40)
            entry = b'{"uid":"u0","endpoint":"127.0.0.1:%d","state":["leaving"]}' % peers[0].port
            await registry.say(unreadable(entry))
            while service.dispatcher.discovery.rev != 41:
                await asyncio.sleep(0)
            client = await caller(service)
            assert {(await client.ask(request()))[2] for _ in range(8)} == {b"1"}
            await registry.tell(42, target("u0", peers[0].port))
            await served_by(service, {b"0", b"1"})
            assert len(registry.requests) == 1

    play(scenario)


@pytest.mark.parametrize("entry", [b"null", b'"u0"', b'{"state":"leaving"}', b'{"uid":[],"state":"leaving"}'])
def test_an_entry_of_nobody_knows_whom_leaves_its_update_in_doubt_and_the_whole_list_is_asked_for(entry):
    async def scenario():
        registry, peers = Registry(), (Peer(ok(b"0")), Peer(ok(b"1")))
        async with running(*peers, registry=registry) as service:
            await registry.tell(40)
            await registry.say(unreadable(entry))
            while not service.dispatcher.balancer.lease.has_lost_update:
                await asyncio.sleep(0)
            client = await caller(service)
            await registry.until(lambda: len(registry.requests) > 1)
            assert b"watch" not in registry.requests[1][0]
            registry.writers[0].write(chunk(b"\n"))  # nothing has changed since: that settles nothing
            while not service.dispatcher.balancer.lease.blocks_sends(clock()):
                await asyncio.sleep(0.01)
            assert (await client.ask(request()))[0] == 503
            plain = registry.writers[1]
            plain.write(chunk(listing(41, target("u1", peers[1].port), whole=True)) + END)
            await served_by(service, {b"1"})

    play(scenario)
