"""Thousands of changes of the upstream list within seconds: they keep no request waiting, and no drain."""

from __future__ import annotations

import asyncio
import json
from random import Random
from time import process_time
from types import SimpleNamespace

import pytest
from stand_ins import FakeHost, Peer, Registry, caller, heard, listed, request, running, target
from test_clients import play

from ospreyline import decide
from ospreyline.host import Readiness
from ospreyline.lease import BlockReason, CaughtUp, ConnectionRefused, ListLease, ReadingBehind, UpdateRead
from ospreyline.net import discovery
from ospreyline.net.dispatcher import EventDispatcher
from ospreyline.net.list_call import ListCall
from ospreyline.net.memory import MemoryBudget

UPSTREAMS = 3_200
CHANGES = 500


@pytest.fixture
def ranked(monkeypatch):
    """Counts the upstreams that rankings process."""
    found = [0]
    expected = decide.Upstream.expected_latency

    def counted(u, now, decay_ms):
        found[0] += 1
        return expected(u, now, decay_ms)

    monkeypatch.setattr(decide.Upstream, "expected_latency", counted)
    return found


def fleet(size: int = UPSTREAMS) -> FakeHost:
    return FakeHost([listed(i, i % 3) for i in range(size)], balancers=200)


def test_a_change_of_a_large_list_does_not_rank_all_upstreams(ranked):
    # guards against: one ranking of all upstreams for each line, for which a process stood still for seconds
    host = fleet()
    ranked[0] = 0
    for i in range(CHANGES):
        host.balancer.apply_list_changes(host.now, [listed(i, i % 3, readiness=Readiness.DRAINING)])
        host.balancer.apply_list_changes(host.now, [listed(UPSTREAMS + i, i % 3)])
    assert ranked[0] <= 4 * UPSTREAMS
    host.pass_time(decide.TICK_MS)
    assert all(u.ready for u in host.balancer._ready) and len(host.balancer._ready) == UPSTREAMS


def test_a_drain_is_in_force_at_once_also_where_its_ranking_waits():
    # guards against: sends to an upstream that drains, as it is used until the next ranking
    host = fleet()
    for i in range(10):  # from now on changes wait for the tick
        host.balancer.apply_list_changes(host.now, [listed(UPSTREAMS + i, i % 3)])
    draining = set()
    for _ in range(30):
        upstream = host.serve(1)[0]
        assert upstream not in draining
        draining.add(upstream)
        change = listed(upstream, host.balancer._upstreams[upstream].zone, readiness=Readiness.DRAINING)
        host.balancer.apply_list_changes(host.now, [change])


def test_a_zone_whose_upstreams_in_use_all_drain_is_ranked_at_once():
    # guards against: rejecting requests until the next ranking, with a thousand ready upstreams in the zone
    host = fleet()
    for i in range(10):
        host.balancer.apply_list_changes(host.now, [listed(UPSTREAMS + i, i % 3)])
    for u in [u for locality in host.balancer._localities for u in locality.candidates]:
        host.balancer.apply_list_changes(host.now, [listed(u.id, u.zone, readiness=Readiness.DRAINING)])
    assert all(locality.candidates for locality in host.balancer._localities)
    assert host.serve(1)


def test_a_whole_list_that_leaves_out_all_upstreams_in_use_is_ranked_at_once():
    # guards against: rejecting requests until the next ranking, as a whole list names those that are gone by
    # leaving them out
    host = fleet()
    for i in range(10):
        host.balancer.apply_list_changes(host.now, [listed(UPSTREAMS + i, i % 3)])
    used = {u.id for locality in host.balancer._localities for u in locality.candidates}
    host.balancer.apply_list(host.now, [listed(i, i % 3) for i in range(UPSTREAMS) if i not in used])
    assert host.serve(1)[0] not in used


def test_the_hash_ring_is_the_same_however_the_list_came():
    # guards against: balancers that order their upstreams by the history of their lists
    random = Random(5)
    host = fleet(50)
    ids = list(range(50, 400))
    random.shuffle(ids)
    for i in ids:
        host.balancer.apply_list_changes(host.now, [listed(i, i % 3)])
    for i in ids[:200]:
        host.balancer.apply_list_changes(host.now, [listed(i, i % 3, readiness=Readiness.GONE)])
        host.balancer.remove_upstream(i)
    whole = FakeHost([listed(i, i % 3) for i in sorted([*range(50), *ids[200:]])], balancers=200)
    assert [u.id for u in host.balancer._ring] == [u.id for u in whole.balancer._ring]


def test_lines_that_have_come_and_are_not_read_block_sends_after_the_grace():
    # guards against: sending by a list that is behind what has come; a line that was read proves no later one
    lease = ListLease()
    lease.start(0.0)
    lease.configure(500.0, 10_000.0, pushed=False)
    lease.apply(0.0, ConnectionRefused(1))
    lease.apply(1_000.0, ReadingBehind(2))
    for at in range(1_000, 1_100, 10):
        assert not lease.blocks_sends(at)
        lease.apply(at, UpdateRead(2, at, False))
        lease.apply(at, ReadingBehind(2))
    assert lease.blocks_sends(1_100.0) and lease.block_reason(1_100.0) is BlockReason.READING_BEHIND
    lease.apply(1_150.0, CaughtUp(2))
    assert not lease.blocks_sends(1_150.0)


@pytest.mark.parametrize("merged", [False, True])
def test_two_thousand_changes_at_once_are_handled_in_parts(merged, monkeypatch):
    # guards against: an event batch with all lines of one read, before any request is looked at
    batches = [0]
    on_list_update, run_batch = EventDispatcher._on_list_update, EventDispatcher._run_batch

    def counted_update(dispatcher, now, update):
        batches[-1] += 1
        on_list_update(dispatcher, now, update)

    def counted_batch(dispatcher, sockets_read):
        batches.append(0)
        run_batch(dispatcher, sockets_read)

    async def scenario():
        registry, peer = Registry(), Peer()
        await peer.start()
        known = [target(f"u{i}", peer.port) for i in range(UPSTREAMS)]
        async with running(registry=registry, known=known) as service:
            await heard(service, registry)
            monkeypatch.setattr(EventDispatcher, "_on_list_update", counted_update)
            monkeypatch.setattr(EventDispatcher, "_run_batch", counted_batch)
            lines = [_change(4 + i, target(f"u{i}", peer.port, state="leaving")) for i in range(1_920)]
            usual = await caller(service)
            text = b"".join(lines)
            if merged:
                registry.writers[-1].write(b"%x\r\n%b\r\n" % (len(text), text))
            else:
                for line in lines:
                    registry.writers[-1].write(b"%x\r\n%b\r\n" % (len(line), line))
            answers = 0
            while service.dispatcher.discovery.rev < 4 + 1_919:
                answers += (await usual.ask(request("/health/live")))[0] == 200
            assert max(batches) <= 2 * discovery.ITERATION_BYTES // len(lines[0])
            assert answers > 5
            assert (
                sum(state is Readiness.DRAINING for state in service.dispatcher.directory.readiness.values())
                == 1_920
            )

    play(scenario)


def _change(rev: int, *targets) -> bytes:
    return json.dumps({"rev": rev, "all": False, "targets": targets}).encode() + b"\n"


def test_a_line_in_many_pieces_costs_no_more_than_its_length():
    # guards against: looking through all of a half line with each piece of it
    owner = SimpleNamespace(loop=SimpleNamespace(time=lambda: 0.0), log=None, budget=MemoryBudget(64 << 20))
    call = ListCall(owner, 1, ("h", 1), 0, watching=True)
    call.on_body(b"x" * (4 << 20))
    began = process_time()
    for _ in range(2_000):
        call.on_body(b"x")
    assert process_time() - began < 0.5


def test_a_call_that_is_over_holds_no_memory():
    # guards against: what comes behind the end of a call, in the same read, being charged and never released
    async def scenario():
        registry = Registry()
        async with running(registry=registry, known=[]) as service:
            await heard(service, registry)
            await registry.say(b"unreadable\n" + b"y" * 5_000)
            while len(registry.requests) < 2:
                await asyncio.sleep(0)
            assert service.dispatcher.budgets.list_updates.held == 0

    play(scenario)
