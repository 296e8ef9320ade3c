"""A request that may have run does not run again under its id; what is kept for that is bounded."""

from __future__ import annotations

import asyncio

import pytest
from stand_ins import RESET, SILENT, Peer, caller, ok, running
from test_clients import play
from test_left import CANCEL, asked, leave

from ospreyline.used_ids import KEEP_CLIENT_TIMEOUTS, MAX_IDS, MIN_KEEP_MS, UsedIds

NEVER_RAN = b"HTTP/1.1 503 Service Unavailable\r\nX-Never-Ran: 1\r\nContent-Length: 0\r\n\r\n"
EFFECTS = pytest.mark.parametrize("path", ["/tag", "/change"])


@CANCEL
@EFFECTS
def test_an_id_that_comes_again_after_its_client_has_left_does_not_run_twice(path, cancel):
    # guards against a second effect: with the client gone, the id of its request was free at once
    async def scenario():
        peer = Peer(SILENT, ok())
        async with running(peer, Cancel=cancel) as service:
            client = await caller(service)
            client.writer.write(asked(path, trace="1"))
            await peer.until(lambda: bool(peer.requests))
            leave(client, "end")
            while service.clients.open:
                await asyncio.sleep(0)
            for _ in range(20):  # in each state of the request that was left
                assert (await (await caller(service)).ask(asked(path, trace="1")))[0] == 409
            assert (await (await caller(service)).ask(asked(path, trace="2")))[0] in (200, 502, 503, 504)
            assert sum(b"X-Trace-Id: 1\r" in sent for sent in peer.requests) <= 1

    play(scenario)


@EFFECTS
@pytest.mark.parametrize("end", [ok(), RESET], ids=["answered", "reset"])
def test_an_id_whose_request_has_run_does_not_run_again(path, end):
    async def scenario():
        peer = Peer(*[end] * 8)
        async with running(peer) as service:
            first = (await (await caller(service)).ask(asked(path, trace="1")))[0]
            reached = len(peer.requests)
            assert first != 409 and reached
            assert (await (await caller(service)).ask(asked(path, trace="1")))[0] == 409
            assert len(peer.requests) == reached

    play(scenario)


@pytest.mark.parametrize(("path", "end"), [("/read", ok()), ("/change", NEVER_RAN)])
def test_an_id_without_an_effect_is_free_again(path, end):
    async def scenario():
        peer = Peer(*[end] * 8)
        async with running(peer) as service:
            first = (await (await caller(service)).ask(asked(path, trace="1")))[0]
            reached = len(peer.requests)
            assert (await (await caller(service)).ask(asked(path, trace="1")))[0] == first
            assert len(peer.requests) > reached

    play(scenario)


def test_ids_are_kept_by_age_and_number_over_all_clients():
    # guards against memory that grows with each new id
    ids = UsedIds()
    ids.configure(longest_client_timeout=20_000.0)
    keep_ms = KEEP_CLIENT_TIMEOUTS * 20_000.0
    ids.add(0.0, b"first")
    assert ids.contains(keep_ms - 1.0, b"first") and not ids.contains(keep_ms, b"first")
    for number in range(2 * MAX_IDS):
        ids.add(1.0, b"%d" % number)
    assert len(ids) == MAX_IDS and not ids.contains(1.0, b"first")
    assert ids.contains(1.0, b"%d" % (2 * MAX_IDS - 1)) and not ids.contains(1.0, b"0")
    ids.add(1.0 + keep_ms, b"last")
    assert len(ids) == 1


def test_ids_are_kept_for_the_least_time_where_client_timeouts_are_short():
    ids = UsedIds()
    ids.configure(longest_client_timeout=500.0)
    ids.add(0.0, b"first")
    assert ids.contains(MIN_KEEP_MS - 1.0, b"first") and not ids.contains(MIN_KEEP_MS, b"first")
