"""A list service that rejects all calls for longer than a change takes to count as received: real processes.

Guards against using the old list (after a start, the list of the settings) while calls are rejected: a
service that answers is reachable, so a change counts as received 6 s after it was made, whatever becomes of
the calls. Observed in a seeded run (44 balancers, 31 restarted at 11.7 s, most list calls rejected): servers
began to drain at 11.97 s, and requests went to them up to 18.8 s, 0.7 s after the change counted as received:
47, 45, 3 and 8 in four runs, the last two with all other fixes. 14 of the restarted balancers had no list
from their start at 13.9 s until 18.8 s or later, and blocked no send; with sends blocked there were no such
requests.
"""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from pathlib import Path

import pytest
import structlog
from stand_ins import Peer, Registry, running, target
from test_descriptors import PATIENT
from test_list_answers import (
    BUSY,
    END,
    HEAD,
    NOTIFIED_AFTER,
    REJECTED_AFTER,
    Call,
    Scenario,
    chunk,
    play,
)

from ospreyline.lease import ConnectionRefused, LeaseMessage, MessageComplete, UpdateLost, UpdateRead
from ospreyline.net.discovery import ListClient

REJECTING_FOR = 8.5  # s for which the service rejects all calls


def reject_calls(watch_ends: bool, folder: Path) -> None:
    """Rejects calls; `watch_ends`: after a watch has ended with its last chunk, else from the start."""

    async def run() -> None:
        began = 0.0

        async def serve(call: Call) -> None:
            nonlocal began
            if not began and watch_ends:
                call.write(HEAD + chunk(call.list(3, scenario.known)))
                await scenario.until(lambda: scenario.all_served_by(b"draining", 0.0))
                call.write(END)
                call.writer.close()
                began = time.monotonic()
            elif not began or time.monotonic() < began + REJECTING_FOR:
                await asyncio.sleep(REJECTED_AFTER)
                call.write(BUSY)
                began = began or time.monotonic()
            else:
                call.write(HEAD + chunk(call.list(4, scenario.known[1:])))

        scenario = Scenario(serve, folder, processes=1)
        async with scenario:
            await scenario.until(lambda: began > 0.0)
            # of a drain that was written as the watch ended, or that started long before the process
            notified_at = began
            await scenario.until(lambda: time.monotonic() > began + REJECTING_FOR)
            back = time.monotonic()
            await scenario.until(lambda: scenario.all_served_by(b"staying", back))
            assert not scenario.late(notified_at)
            # every request was answered: served, or told that a retry is safe
            assert {status for status, _ in scenario.loads[0].since(began)} <= {200, 503}

    play(run)


@pytest.mark.parametrize("watch_ends", [True, False], ids=["a-watch-that-ended", "a-new-process"])
def test_nothing_is_sent_once_a_change_counts_as_told_though_calls_are_turned_away(watch_ends, tmp_path):
    reject_calls(watch_ends, tmp_path)


def test_the_end_of_a_watch_is_no_proof_and_a_refused_connection_is_one():
    async def run() -> None:
        registry = Registry()
        await registry.start()
        steps: list[LeaseMessage] = []
        lists = ListClient(
            asyncio.get_running_loop(),
            ("127.0.0.1", registry.port),
            3,
            structlog.get_logger(),
            lambda news: None,
            lambda failure: None,
            steps.append,
        )
        lists.watch(True)
        await registry.tell(4, target("u0", 1))
        registry.writers[-1].write(END)
        await wait_for(lambda: UpdateLost(1, 0) in steps)
        registry.server.close()
        lists.watch(True)
        await wait_for(lambda: ConnectionRefused(2) in steps)
        # a watch with an unreadable last line has lost an update
        steps.clear()
        await registry.start()
        lists.change_address(("127.0.0.1", registry.port))
        await registry.tell(5, target("u0", 1))
        await wait_for(lambda: lists.watch_answered)
        await registry.say(b'{"rev":6}\n')
        await wait_for(lambda: not lists.has_watch)
        assert UpdateLost in map(type, steps) and MessageComplete not in map(type, steps)
        lists.close()

    play(run)


@pytest.mark.parametrize("how, counts_later", [("ask", True), ("push", False)])
def test_a_pushed_list_counts_at_once_and_not_by_calls_that_are_turned_away(how, counts_later):
    async def run() -> None:
        async with running(Peer(), registry=Registry(), Discovery=how) as service:
            lease = service.dispatcher.balancer.lease
            service.dispatcher._on_lease_message(0.0, UpdateRead(1, 3, False))
            service.dispatcher._on_lease_message(1.0, MessageComplete(2, False))
            assert lease.blocks_sends(600.0) is not counts_later
            assert lease.blocks_sends(NOTIFIED_AFTER * 1e3 + 600.0)

    play(run)


async def wait_for(condition: Callable[[], bool]) -> None:
    async with asyncio.timeout(PATIENT):
        while not condition():
            await asyncio.sleep(0.005)
