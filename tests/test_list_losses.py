"""A written change of the list that does not arrive, and what becomes of the calls after it: real processes.

A row is a start (which call of a process loses the change) and the steps that calls meet from then on, one
each; the last step stays. The moment of each writing is noted by the stand-in that writes. A request that
begins at the draining server over the grace and its slack after that moment is late. Where nothing was
written, a change counts as told 6 s after it was made: each call reached the service.
"""

from __future__ import annotations

import asyncio
import json
import signal
import time
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path

import pytest
from stand_ins import reset
from test_list_answers import (
    BUSY,
    END,
    HEAD,
    TOLD_AT_LAST,
    Call,
    ListService,
    Load,
    Story,
    chunk,
    play,
    process,
)

STANDS, WAITS, NEW, MOVED, RESTARTED = (
    "a watch that stands",
    "a call that waits",
    "the first call of a process",
    "a call after a move",
    "a call after a restart",
)
SPAN = 3.0  # s after the change counts as told for which the steps go on


@dataclass(frozen=True)
class Step:
    """What one call meets: after a wait something of what is written arrives, and its connection ends."""

    then: str  # "reset", "closed", "last chunk", "stays" or "refused"
    wait: float = 0.0
    arrives: Callable[[bytes, bool], bytes] | None = None  # of the news; None: the news is not written
    plain: bytes = b""  # what is written that is no news


def nothing(answer: bytes, stands: bool) -> bytes:
    return b""


def all_of_it(answer: bytes, stands: bool) -> bytes:
    return answer


def lost(then: str, wait: float = 0.0) -> Step:
    return Step(then, wait, nothing)


AWAY = Step("closed", 0.0, plain=BUSY)
AWAY_LATE = Step("closed", 2.0, plain=BUSY)
AWAY_AFTER_A_SECOND = Step("closed", 1.2, plain=BUSY)
REFUSED = Step("refused", 2.5)
HANGS = Step("stays")
RESET = Step("reset", 0.3)
CLOSED = Step("closed", 0.3)
ENDS = Step("last chunk")
TOLD = Step("stays", 0.0, all_of_it)


class Losses(Story):
    """One process, whose calls meet the steps of a row."""

    def __init__(self, start: str, steps: tuple[Step, ...], folder: Path) -> None:
        super().__init__(self._serve, folder, processes=1)
        self.start, self.steps = start, list(steps)
        self.writes = any(step.arrives for step in steps)
        self.elsewhere = ListService(0, self._serve)
        self.calls = 0
        self.began = self.written = 0.0
        self.over = self.ready = False
        self.notes: list[tuple[float, str]] = []

    def note(self, text: str) -> None:
        self.notes.append((time.monotonic(), text))

    async def _serve(self, call: Call) -> None:
        self.calls += 1
        first_call = self.calls == 1
        if self.over:
            call.write(HEAD + chunk(call.list(4, self.known[1:])))
        elif first_call and self.start != NEW:
            call.write(HEAD + chunk(call.list(3, self.known)))
            await self.holds(lambda: self.all_served_by(b"draining", 0.0))
            if self.start == STANDS:
                await self._meet(call, stands=True)
            elif self.start == WAITS:
                call.write(END)
                call.writer.close()
            else:
                self.ready = True
                while not call.writer.is_closing() and not call.reader.at_eof():
                    call.write(chunk(b"\n"))
                    await asyncio.sleep(0.5)
        else:
            if first_call:
                await self.holds(lambda: self.all_served_by(b"draining", 0.0))
            await self._meet(call, stands=False)

    async def _meet(self, call: Call, stands: bool) -> None:
        """The next step, on this call."""
        step = self.steps.pop(0) if len(self.steps) > 1 else self.steps[0]
        self.began = self.began or time.monotonic()
        await asyncio.sleep(step.wait)
        if self.over:
            return
        if step.arrives is not None:
            news = chunk(call.list(4, [{**self.known[0], "state": "leaving"}], whole=False))
            answer = news if stands else HEAD + news
            self.written = self.written or time.monotonic()
            call.write(step.arrives(answer, stands))
        call.write(step.plain)
        self.note(
            f"call {self.calls} {'stands' if stands else 'new'}: written={step.arrives is not None} "
            f"then {step.then}"
        )
        await self._end(call, step, stands)

    async def _end(self, call: Call, step: Step, stands: bool) -> None:
        if len(self.steps) > 0 and self.steps[0].then == "refused":
            await self._refuse(self.steps.pop(0).wait if len(self.steps) > 1 else SPAN + 0.5, call, step)
        elif step.then == "reset":
            await asyncio.sleep(0.001)  # what arrives is on its way
            reset(call.writer.transport)
        elif step.then == "closed":
            call.writer.close()
        elif step.then == "last chunk":
            call.write(END if stands or step.arrives is not None else HEAD + END)
            call.writer.close()

    async def _refuse(self, span: float, call: Call, step: Step) -> None:
        """New connections are refused from the end of this call on for so long."""
        service = self.elsewhere if self.start == MOVED else self.services[0]
        service.server.close()
        await self._end_now(call, step)
        await asyncio.sleep(span)
        service.server = await asyncio.start_server(service._call, "127.0.0.1", service.port)

    async def _end_now(self, call: Call, step: Step) -> None:
        await asyncio.sleep(0.001)
        if step.then == "reset":
            reset(call.writer.transport)
        else:
            call.writer.close()

    async def prepare(self) -> None:
        """A move or a restart, where the row has one."""
        if self.start not in (MOVED, RESTARTED):
            return
        await self.holds(lambda: self.ready)
        one = self.running[0]
        if self.start == MOVED:
            await self.elsewhere.start()
            told = json.loads(one.file.read_text())
            told["discovery"] = f"127.0.0.1:{self.elsewhere.port}"
            one.file.write_text(json.dumps(told))
            one.process.send_signal(signal.SIGHUP)
            return
        self.loads.pop().task.cancel()
        one.process.kill()
        await one.process.wait()
        again = process(self.folder, 0, self.known, self.services[0])
        self.running.append(await self.stack.enter_async_context(again))
        self.loads.append(Load(self.running[-1], 0))

    async def play(self) -> list[float]:
        """Play the row; the requests that were late, in s since the change was told."""
        await self.prepare()
        await self.holds(lambda: self.began > 0.0)
        if self.writes:
            await self.holds(lambda: self.written > 0.0)
        told = self.written or self.began + TOLD_AT_LAST
        await self.holds(lambda: time.monotonic() > told + SPAN)
        self.over = True
        self.report(told)
        return self.late(told)

    def report(self, told: float) -> None:
        """What the stand-in did, and when requests went on, for who reads a red row."""
        for at, text in self.notes:
            print(f"{at - told:+.3f} {text}")
        ages = [round(at - told, 3) for at in self.draining.times(0)]
        late = self.late(told)
        print(
            "late:",
            len(late),
            *(late[:1] + late[-1:]),
            "last before:",
            max((age for age in ages if age <= 0.55), default=None),
        )


def plays(start: str, steps: tuple[Step, ...], folder: Path) -> None:
    async def story() -> None:
        async with Losses(start, steps, folder) as day:
            late = await day.play()
            assert not late, f"{len(late)} late requests, {late[0]} to {late[-1]} s after the change was told"

    play(story)


UNSETTLED = {
    "503 after 1.2 s": (STANDS, (Step("reset"), AWAY_AFTER_A_SECOND, lost("reset", wait=0.3), AWAY)),
    "503 after 2 s": (STANDS, (Step("reset"), AWAY_LATE, lost("reset", wait=0.3), AWAY)),
    "refused": (STANDS, (Step("reset"), REFUSED, lost("reset", wait=0.3), AWAY)),
    "hangs": (STANDS, (Step("reset"), HANGS, lost("reset", wait=0.3), AWAY)),
    "a new process": (NEW, (Step("reset"), AWAY_LATE, lost("reset", wait=0.3), AWAY)),
    "after a restart": (RESTARTED, (Step("reset"), AWAY_LATE, lost("reset", wait=0.3), AWAY)),
    "after a move": (MOVED, (Step("reset"), AWAY_LATE, lost("reset", wait=0.3), AWAY)),
}
LASTING = {
    "503 after 2 s": (STANDS, (lost("reset"), AWAY_LATE)),
    "refused": (STANDS, (lost("reset"), REFUSED)),
    "hangs": (STANDS, (lost("reset"), HANGS)),
    "reset": (STANDS, (lost("reset"), RESET)),
}
UNHEARD = {
    "hangs": (STANDS, (ENDS, HANGS)),
    "closed, hangs": (STANDS, (ENDS, CLOSED, HANGS)),
    "reset, hangs": (STANDS, (ENDS, RESET, HANGS)),
    "reset, 503": (STANDS, (ENDS, RESET, AWAY)),
    "reset, 503 after 2 s": (STANDS, (ENDS, RESET, AWAY_LATE)),
}
UNENDED = {
    "503": (STANDS, (lost("closed"), AWAY)),
    "answered, a call that waited": (WAITS, (lost("closed"), TOLD)),
}
EMPTY = {"reset": (STANDS, (lost("reset"), Step("stays", plain=HEAD + chunk(b"\n"))))}


@pytest.mark.parametrize("row", UNSETTLED)
def test_a_change_lost_by_a_reset_is_in_doubt_though_an_earlier_reset_was_never_settled(row, tmp_path):
    plays(*UNSETTLED[row], tmp_path)


@pytest.mark.parametrize("row", LASTING)
def test_a_change_lost_by_a_reset_is_in_doubt_until_the_list_is_told(row, tmp_path):
    plays(*LASTING[row], tmp_path)


@pytest.mark.parametrize("row", UNHEARD)
def test_a_change_counts_6_s_after_it_was_made_whatever_becomes_of_the_calls(row, tmp_path):
    plays(*UNHEARD[row], tmp_path)


@pytest.mark.parametrize("row", UNENDED)
def test_a_change_lost_before_an_end_without_a_last_chunk_is_in_doubt(row, tmp_path):
    plays(*UNENDED[row], tmp_path)


@pytest.mark.parametrize("row", EMPTY)
def test_an_empty_line_settles_no_doubt_about_what_was_lost(row, tmp_path):
    plays(*EMPTY[row], tmp_path)


def test_a_loss_on_a_call_that_we_end_as_another_is_answered(tmp_path):
    # the service works calls off in turn: the old version on one, the news on the other, on the first later
    async def story() -> None:
        calls: list[Call] = []
        written = 0.0

        async def serve(call: Call) -> None:
            nonlocal written
            calls.append(call)
            if len(calls) == 1:
                call.write(HEAD + chunk(call.list(3, day.known)))
                await day.holds(lambda: day.all_served_by(b"draining", 0.0))
                call.write(END)
                call.writer.close()
            elif len(calls) == 2:
                while not call.reader.at_eof():
                    await asyncio.sleep(0.001)
                print(f"{time.monotonic() - written:+.3f} our end is seen; reset")
                reset(call.writer.transport)
            elif len(calls) == 3:
                call.write(HEAD + chunk(call.list(3, day.known)))
                written = time.monotonic()
                await asyncio.sleep(1.5)
                call.write(chunk(call.list(4, [{**day.known[0], "state": "leaving"}], whole=False)))

        day = Story(serve, tmp_path, processes=1)
        async with day:
            await day.holds(lambda: written > 0.0)
            await day.holds(lambda: time.monotonic() > written + SPAN)
            late = day.late(written)
            assert not late, f"{len(late)} late requests, {late[0]} to {late[-1]} s after the change was told"

    play(story)
