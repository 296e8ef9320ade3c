"""A list service that falls silent, and then rejects all calls: real processes.

Guards against using the old list after a silent call: what such a call misses counts as received 6 s after
its last data, whether or not it arrived. The balancer ended the call, was rejected until those 6 s were over,
and went on with its old list. In a reported run (six requests) and three replays (one each) requests went to
a server 0.61 to 0.77 s after the balancer counted as notified of its drain: five notices, each 6 s after a
moment, 12.0 to 13.9 s into the run, when restarted balancers made their first calls to an overloaded list
service. Logs of similar runs have calls without data for 6 s. That this caused those requests is not proven,
as the logs of their senders were not kept; the rule is set by the operators.
"""

from __future__ import annotations

import asyncio
import time
from pathlib import Path

import pytest
import structlog
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

from ospreyline.lease import CallStarted, LeaseMessage, NoUpdateArriving
from ospreyline.net.discovery import ListClient
from ospreyline.net.list_call import FIRST_BYTE_TIMEOUT_S, CallEnd

STOOD, WAITS, WAITS_BEHIND = "a watch that stood", "a call that waits", "a call behind a watch that ended"
BACK = 8.5  # s after the last data, from when on calls are answered again


def silent(kind: str, folder: Path) -> None:
    """Silences the first call after its list or without one, or the call after a watch that ended."""

    async def run() -> None:
        last_word, ended, calls = 0.0, 0.0, 0

        async def serve(call: Call) -> None:
            nonlocal last_word, ended, calls
            calls += 1
            if calls == 1:
                if kind != WAITS:
                    call.write(HEAD + chunk(call.list(3, scenario.known)))
                if kind == WAITS_BEHIND:
                    await scenario.until(lambda: scenario.all_served_by(b"draining", 0.0))
                    ended = time.monotonic()
                    call.write(END)
                    call.writer.close()
                last_word = time.monotonic()
            elif calls == 2 and kind == WAITS_BEHIND:
                return  # no answer
            elif time.monotonic() < last_word + BACK:
                await asyncio.sleep(REJECTED_AFTER)
                call.write(BUSY)
            else:
                call.write(HEAD + chunk(call.list(4, scenario.known[1:])))

        scenario = Scenario(serve, folder, processes=1)
        async with scenario:
            await scenario.until(lambda: last_word > 0.0)
            if kind != WAITS:  # a process without any update from the service sends nothing
                await scenario.until(lambda: scenario.all_served_by(b"draining", 0.0))
            await scenario.until(lambda: time.monotonic() > last_word + BACK)
            back = time.monotonic()
            await scenario.until(lambda: scenario.all_served_by(b"staying", back))
            notified_at = last_word + NOTIFIED_AFTER  # of a drain that started in between
            assert not scenario.late(notified_at)
            if kind == WAITS_BEHIND:
                assert not scenario.late(ended)  # of a drain that was written as the watch ended
            # until then requests were allowed there and were sent; all others were told that a retry is safe
            assert any(at > notified_at - 0.5 for at in scenario.draining.times(0)) is (kind == STOOD)
            assert {status for status, _ in scenario.loads[0].since(last_word)} <= {200, 503}

    play(run)


@pytest.mark.parametrize("kind", [STOOD, WAITS, WAITS_BEHIND])
def test_nothing_is_sent_from_6_s_of_silence_on_until_the_list_is_told(kind, tmp_path):
    silent(kind, tmp_path)


def test_a_call_that_never_connected_has_missed_nothing(monkeypatch):
    # nor is it evidence: the service may be up, and unreachable for this balancer only
    async def run() -> None:
        messages: list[LeaseMessage] = []
        loop = asyncio.get_running_loop()

        async def never(*_: object) -> None:
            await asyncio.sleep(PATIENT)

        lists = ListClient(
            loop,
            ("127.0.0.1", 1),
            3,
            structlog.get_logger(),
            lambda news: None,
            lambda failure: None,
            messages.append,
        )
        monkeypatch.setattr(lists, "_open", never)
        lists.watch(True)
        (call,) = lists._calls
        call.started_at = call.heard_at = loop.time() - FIRST_BYTE_TIMEOUT_S - 1.0
        lists.tidy()
        assert call.end is CallEnd.ENDED_BY_US and not lists._calls
        assert messages == [CallStarted(call.number), NoUpdateArriving(call.number)]
        lists.close()

    play(run)
