"""A process that starts at the address of one that has gone is not taken for that one."""

from __future__ import annotations

import asyncio

import pytest
from stand_ins import Peer, Registry, caller, ok, request, running, target
from test_clients import play

from ospreyline.host import Readiness
from ospreyline.net.addresses import AddressBook

HERE, THERE = ("10.0.0.1", 80), ("10.0.0.2", 80)


def test_of_two_at_an_address_the_one_that_started_last_is_there():
    book = AddressBook()
    assert book.enter("old", HERE, 0.0) == []
    assert book.enter("new", HERE, 5.0) == ["old"]
    assert book.is_superseded("old") and not book.is_superseded("new")
    assert book.enter("old", HERE, 0.0) == [] and book.is_superseded("old")  # listed once more
    book.remove("new")
    assert not book.is_superseded("old")


def test_one_that_moves_or_starts_again_is_there():
    book = AddressBook()
    book.enter("old", HERE, 1.0)
    book.enter("new", HERE, 5.0)
    book.enter("old", THERE, 1.0)
    assert not book.is_superseded("old")
    book.enter("old", HERE, 9.0)
    assert book.is_superseded("new") and not book.is_superseded("old")


def test_two_that_nothing_tells_apart_are_both_there_and_nothing_is_kept_of_those_removed():
    book = AddressBook()
    book.enter("one", HERE, 0.0)
    assert book.enter("two", HERE, 0.0) == []
    assert not book.is_superseded("one") and not book.is_superseded("two")
    book.remove("one")
    book.remove("two")
    book.remove("unknown")
    assert not book._address and not book._started_at


@pytest.mark.parametrize("whole", [False, True], ids=["change", "whole list"])
def test_nothing_goes_to_a_new_process_under_the_entry_of_the_old_one(whole):
    # guards against a cold process in another zone that gets what was meant for its predecessor
    async def scenario():
        registry, peer, other = Registry(), Peer(*[ok()] * 99), Peer(*[ok()] * 99)
        async with running(peer, other, registry=registry) as service:
            old, beside = target("u0", peer.port), target("u1", other.port)
            new = target("u2", peer.port, az="b", boot_ms=1_000)
            await registry.tell(12, old, beside, whole=True)
            client = await caller(service)
            while not peer.requests:
                assert (await client.ask(request()))[0] == 200
            listed = (old, beside, new) if whole else (new,)
            await registry.tell(13, *listed, whole=whole)
            dispatcher = service.dispatcher
            while "u2" not in dispatcher.directory.readiness:
                await asyncio.sleep(0)
            assert dispatcher.directory.readiness["u0"] is Readiness.GONE
            assert dispatcher.directory.readiness["u2"] is Readiness.READY
            before = len(peer.requests)
            for _ in range(20):
                assert (await client.ask(request()))[0] == 200
            # home has room in `other`; the new one is in another zone
            assert len(peer.requests) == before
            # the end of the old one, told late, takes nothing from the new one
            await registry.tell(14, target("u0", peer.port, state="left"))
            while dispatcher.discovery.rev != 14:
                await asyncio.sleep(0)
            assert dispatcher.directory.readiness["u2"] is Readiness.READY

    play(scenario)
