"""Reloads while visits or reports from under the old settings are in progress, and pushed lists."""

from __future__ import annotations

import asyncio
import json
import os
from dataclasses import replace
from types import SimpleNamespace

import pytest
from stand_ins import (
    RESET,
    SILENT,
    FakeHost,
    Peer,
    Registry,
    caller,
    configuration,
    listed,
    ok,
    request,
    running,
    target,
)
from test_clients import play
from test_lists import served_by

from ospreyline import config
from ospreyline.host import Kind
from ospreyline.net import upstreams
from ospreyline.net.dispatcher import LATE_TIMER_MS, clock
from ospreyline.net.takeover_adapter import TakeoverAdapter


def reload(service, names, **settings):
    """Reload with just these path prefixes, in this order."""
    raw_config = configuration([])
    settings_now = raw_config["settings"]
    by_name = {p["Name"]: p for p in settings_now["PathPrefixes"]}
    settings_now["PathPrefixes"] = [by_name[name] | settings.get(name, {}) for name in names]
    service.reload(lambda: (config.parse(json.dumps(raw_config).encode(), {}), None))


class WaitingTakeover:
    """Replaces takeover: every visit waits for a reply before the decisions receive it."""

    def __init__(self) -> None:
        self.kinds: list[Kind] = []
        self.waiting: list = []

    def admit(self, now, pending, left, kind):
        self.waiting.append((pending, left))
        return False

    def continue_without_client(self, now, pending, kind):
        self.kinds.append(kind)
        return False

    def counts(self):
        return {}

    def __getattr__(self, name):
        return lambda *_: name in ("may_write_fetch", "may_bounce", "store_answer")


@pytest.mark.parametrize("ran", [False, True])
@pytest.mark.parametrize(
    ("names", "changes", "status"),
    [
        (["change", "tag", "read"], {}, 200),  # another index, the same settings
        (["change", "tag"], {}, 503),  # its index is another prefix's, or unused
        (["change"], {}, 503),
        (["read", "tag", "change"], {"read": {"Semantics": "once"}}, 503),  # another kind under its name
    ],
)
def test_a_visit_that_waited_over_a_reload_is_never_decided_as_another_class(names, changes, status, ran):
    async def scenario():
        peer = Peer()
        async with running(peer) as service:
            service.dispatcher.takeover_adapter = takeover = WaitingTakeover()
            client = await caller(service)
            client.writer.write(request())
            while not takeover.waiting:
                await asyncio.sleep(0)
            reload(service, names, **changes)
            (pending, left), dispatcher = takeover.waiting[0], service.dispatcher
            dispatcher.enqueue(dispatcher.decide, pending, left, [("a", 0, 5.0)] if ran else [])
            got = (await client.answer())[0]
            # a visit that may have executed is never answered as harmless to repeat
            assert got == (502 if ran and status == 503 else status) and len(peer.requests) == (got == 200)
            if got == 200:
                assert pending.decision.request_class.kind is Kind.READ_LIKE
            assert not dispatcher.counts["faults"] and not dispatcher.visits

    play(scenario)


@pytest.mark.parametrize("names", [["change", "tag", "read"], ["tag"]])
def test_a_client_that_leaves_after_a_reload_leaves_what_it_asked_for(names):
    # its index named another prefix by then, or none: an exception was raised and the visit was never removed
    async def scenario():
        async with running(Peer()) as service:
            service.dispatcher.takeover_adapter = takeover = WaitingTakeover()
            client = await caller(service)
            client.writer.write(request("/change", "POST", b"x"))
            while not takeover.waiting:
                await asyncio.sleep(0)
            reload(service, names)
            client.writer.close()
            while service.dispatcher.visits:
                await asyncio.sleep(0)
            assert takeover.kinds == [Kind.MUTATING] and not service.dispatcher.counts["faults"]

    play(scenario)


def test_a_client_that_is_joined_to_its_visit_in_the_pass_in_which_its_first_connection_ends_is_answered():
    # the disconnect was queued, the join was done at once, and then the visit was closed for the disconnect
    async def scenario():
        peer = Peer(SILENT)
        async with running(peer) as service:
            dispatcher, first = service.dispatcher, await caller(service)
            first.writer.write(request("/change", "POST", b"x"))
            await peer.until(lambda: bool(peer.requests))
            (old,) = service.clients.open
            old.current_request.proof = b"of its secret"
            second = await caller(service)
            while len(service.clients.open) < 2:
                await asyncio.sleep(0)
            new = next(client for client in service.clients.open if client is not old)
            again = replace(old.current_request, asks_for_outcome=True)
            old._notify_left()  # its end is read, and no event batch has run since
            new.current_request = again
            assert TakeoverAdapter.join_visit_in_progress(SimpleNamespace(_dispatcher=dispatcher), again, new)
            peer.writers[0].write(ok(b"once"))
            assert (await second.answer())[2] == b"once" and len(peer.requests) == 1

    play(scenario)


def test_a_load_read_under_other_fields_counts_no_more():
    host = FakeHost([listed(i) for i in range(3)], report_fields=("queue",))
    u = host.balancer._upstreams[0]
    host.balancer._record_load(u, host.now, (30.0,))
    host.balancer._update_candidates(host.now)
    assert host.balancer._mean_load == 30.0
    terms = replace(host.balancer._settings, report_fields=("util",))
    host.balancer.apply_settings(host.now, terms)
    host.balancer._update_candidates(host.now)
    assert host.balancer._mean_load == 0.0
    host.balancer._record_load(u, host.now, (0.5,))
    host.balancer.apply_settings(host.now, terms)  # applying the same settings again changes nothing
    host.balancer._update_candidates(host.now)
    assert host.balancer._mean_load == 0.5


def reload_as_pushed(service, registry):
    raw_config = configuration([], registry.port)
    raw_config["settings"]["Discovery"] = "push"
    service.reload(lambda: (config.parse(json.dumps(raw_config).encode(), {}), None))


async def ready(service):
    _, head, _ = await (await caller(service)).ask(b"GET /health/ready HTTP/1.1\r\nHost: x\r\n\r\n")
    return b" 200 " in head


@pytest.mark.parametrize("first", ["list", "failure"])
def test_a_pushed_list_is_awaited_before_a_balancer_is_ready(first):
    # for a pushed list, the agent's list counts as received from the start; the balancer served with its
    # cached one
    async def scenario():
        registry = Registry()
        registry.answers = [RESET] if first == "failure" else registry.answers
        await registry.start()
        peer = await Peer().start()
        async with running(registry=registry, known=[target("u0", peer.port)], Discovery="push") as service:
            assert not await ready(service)
            if first == "list":
                await registry.tell(4, target("u0", peer.port))
            while not await ready(service):
                pass
            # an agent that resets calls may have sent a drain on them
            assert service.dispatcher.balancer.lease.blocks_sends(clock()) is (first == "failure")

    play(scenario)


def test_a_pushed_lists_watch_is_opened_anew_at_once_and_more_slowly_while_that_fails():
    async def scenario():
        registry, peers = Registry(), (Peer(ok(b"0")), Peer(ok(b"1")))
        async with running(*peers, registry=registry, Discovery="push") as service:
            await registry.tell(4)
            loop, waits, wake = asyncio.get_running_loop(), [], service.dispatcher.call_at
            while service.dispatcher.discovery.rev != 4:
                await asyncio.sleep(0)

            def recording_wake(at, call):
                if call == service.dispatcher._reopen_watch:
                    waits.append(at - service.dispatcher._last_batch_at)
                wake(at, call)

            service.dispatcher.call_at = recording_wake
            registry.answers = [RESET]
            registry.writers[0].close()
            began = loop.time()
            await registry.until(lambda: len(registry.requests) > 6)
            assert loop.time() - began < 4  # the decisions' own retry delays add up to 12 s
            assert waits[0] < 40 and all(wait <= 375 for wait in waits) and max(waits) > 80
            registry.answers = [ok()]
            await registry.tell(5, target("u0", peers[0].port, state="leaving"))
            await served_by(service, {b"1"})

    play(scenario)


@pytest.mark.parametrize("late", [True, False])
def test_what_lies_unread_after_a_delay_is_read_before_what_is_due_is_decided(late, monkeypatch):
    # a delayed process ran its timers first, and sent to an upstream whose drain was unread in its socket
    async def scenario():
        registry, peer = Registry(), Peer()
        async with running(peer, registry=registry) as service:
            await registry.tell(4)
            dispatcher, balancer, place = (
                service.dispatcher,
                service.dispatcher.balancer,
                service.dispatcher.balancer._choose_and_send,
            )
            while dispatcher.discovery.rev != 4:
                await asyncio.sleep(0)
            client = await caller(service)
            assert (await client.ask(request()))[0] == 200  # an idle connection is ready now
            monkeypatch.setattr(upstreams, "SETTLE_MS", 0.0)
            monkeypatch.setattr(balancer, "_choose_and_send", lambda *_: False)
            balancer._delivery_rate = 100.0
            client.writer.write(request())
            while not balancer._queued:
                await asyncio.sleep(0)
            monkeypatch.setattr(balancer, "_choose_and_send", place)
            leaving = target("u0", peer.port, state="leaving")
            line = json.dumps({"rev": 5, "targets": [leaving]}).encode() + b"\n"
            sock = registry.writers[0].transport.get_extra_info("socket")
            os.write(sock.fileno(), b"%x\r\n%b\r\n" % (len(line), line))  # it is unread in our socket now
            dispatcher._loop_timer.cancel()
            if late:
                dispatcher._timers = [(at - 10 * LATE_TIMER_MS, *more) for at, *more in dispatcher._timers]
            dispatcher._timers.append(
                (clock() - (10 * LATE_TIMER_MS if late else 0.0), -1, balancer._check_queue)
            )
            dispatcher._timers.sort(key=lambda wake: wake[:2])
            dispatcher._on_loop_timer()
            assert (await client.answer())[0] == 503
            assert len(peer.requests) == 1

    play(scenario)


def test_a_key_that_a_new_file_leaves_out_has_its_default_and_not_the_last_files():
    async def scenario():
        async with running(Peer(), Cancel=True, MostBackendFetches=5, KeepaliveUs=7_000_000) as service:
            assert (
                service.dispatcher._config.deployment.may_cancel
                and service.dispatcher.upstreams.keep_idle == 0.8 * 7_000
            )
            raw_config = configuration([])
            del raw_config["settings"]["Caps"], raw_config["settings"]["Dcs"]
            service.reload(lambda: (config.parse(json.dumps(raw_config).encode(), {}), None))
            terms = service.dispatcher._config.deployment
            assert not terms.may_cancel and terms.max_fetches == 1 and terms.zones == 1
            assert service.dispatcher.upstreams.keep_idle == 0.8 * 15_000

    play(scenario)


def test_visits_of_two_tenants_with_one_key_do_not_meet():
    async def scenario():
        peers = Peer(SILENT), Peer(SILENT)
        async with running(*peers) as service:
            callers = [await caller(service) for _ in range(2)]
            for name, client in zip("ab", callers, strict=True):
                client.writer.write(request("/tag", "POST", b"x", Idempotency_Key="5c0f", X_Customer=name))
            while sum(len(peer.requests) for peer in peers) < 2:
                await asyncio.sleep(0)
            for peer in peers:
                for writer, (head, _) in zip(peer.writers, peer.requests, strict=True):
                    writer.write(ok(head[head.index(b"X-Customer: ") + 12 :][:1]))
            assert [(await client.answer())[2] for client in callers] == [b"a", b"b"]

    play(scenario)
