"""A list service that turns all calls away for longer than a change may go untold: real processes.

Story. On a drawn day (44 balancers, 31 restarted at 11.7 s, a list service that turns most calls away)
servers began to drain at 11.97 s, and requests went to them up to 18.8 s, 0.7 s after the change counted as
told: 47, 45, 3 and 8 of them in four runs, the last two with all other repairs in.

Cause: a call that is turned away counted as one that failed, and the list of before stayed in force, for a
balancer that had just started even the list of its settings. But a service that answers can be reached, and
from 6 s after a change on that change counts as told, whatever becomes of the calls. Evidence: 14 of the 31
restarted balancers had no list from their start at 13.9 s to 18.8 s and later, and held no request back in
that time. With requests held back there the same day had none.
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
    TOLD_AT_LAST,
    TURNED_AWAY_AFTER,
    Call,
    Story,
    chunk,
    play,
)

from ospreyline.lease import ConnectionRefused, EndedInForm, LeaseMessage, UpdateLost, UpdateRead
from ospreyline.net.discovery import Discovery

AWAY = 8.5  # s for which the service turns all calls away


def turned_away(watch_ends: bool, folder: Path) -> None:
    """A service turns calls away; `watch_ends`: once a watch has ended in order, else from the start."""

    async def story() -> None:
        began = 0.0

        async def serve(call: Call) -> None:
            nonlocal began
            if not began and watch_ends:
                call.write(HEAD + chunk(call.list(3, day.known)))
                await day.holds(lambda: day.all_served_by(b"draining", 0.0))
                call.write(END)
                call.writer.close()
                began = time.monotonic()
            elif not began or time.monotonic() < began + AWAY:
                await asyncio.sleep(TURNED_AWAY_AFTER)
                call.write(BUSY)
                began = began or time.monotonic()
            else:
                call.write(HEAD + chunk(call.list(4, day.known[1:])))

        day = Story(serve, folder, processes=1)
        async with day:
            await day.holds(lambda: began > 0.0)
            # of a drain that was written as the watch ended, or that came long before the process began
            told = began
            await day.holds(lambda: time.monotonic() > began + AWAY)
            back = time.monotonic()
            await day.holds(lambda: day.all_served_by(b"staying", back))
            assert not day.late(told)
            # nobody was left waiting, and what was not served was told that trying again is harmless
            assert {status for status, _ in day.loads[0].since(began)} <= {200, 503}

    play(story)


@pytest.mark.parametrize("watch_ends", [True, False], ids=["a-watch-that-ended", "a-new-process"])
def test_nothing_is_sent_once_a_change_counts_as_told_though_calls_are_turned_away(watch_ends, tmp_path):
    turned_away(watch_ends, tmp_path)


def test_the_end_of_a_watch_is_no_proof_and_a_refused_connection_is_one():
    async def story() -> None:
        registry = Registry()
        await registry.start()
        steps: list[LeaseMessage] = []
        lists = Discovery(
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
        # one whose last line cannot be read has told something that we do not know
        steps.clear()
        await registry.start()
        lists.move(("127.0.0.1", registry.port))
        await registry.tell(5, target("u0", 1))
        await wait_for(lambda: lists.told_by_watch)
        await registry.say(b'{"rev":6}\n')
        await wait_for(lambda: not lists.watching)
        assert UpdateLost in map(type, steps) and EndedInForm not in map(type, steps)
        lists.close()

    play(story)


@pytest.mark.parametrize("how, counts_later", [("ask", True), ("push", False)])
def test_a_pushed_list_counts_at_once_and_not_by_calls_that_are_turned_away(how, counts_later):
    async def story() -> None:
        async with running(Peer(), registry=Registry(), Discovery=how) as service:
            lease = service.turn.balancer.lease
            service.turn._on_lease_message(0.0, UpdateRead(1, 3, False))
            service.turn._on_lease_message(1.0, EndedInForm(2, False))
            assert lease.withholds(600.0) is not counts_later
            assert lease.withholds(TOLD_AT_LAST * 1e3 + 600.0)

    play(story)


async def wait_for(condition: Callable[[], bool]) -> None:
    async with asyncio.timeout(PATIENT):
        while not condition():
            await asyncio.sleep(0.005)
