"""A written list update that does not arrive, followed by various outcomes of later calls: real processes.

A row is a start (which call of a process loses the update) and the steps that later calls go through, one
each; the last step is repeated. The fake service records when it writes the update. A request that starts at
the draining server later than the grace and its slack after that is late. Where nothing was written, a change
counts as received 6 s after it was made, as each call reached the service.
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
    NOTIFIED_AFTER,
    Call,
    ListService,
    Load,
    Scenario,
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
SPAN = 3.0  # s after the change counts as received for which the steps go on


@dataclass(frozen=True)
class Step:
    """The outcome of one call: after a wait a part of the written data arrives, and its connection ends."""

    then: str  # "reset", "closed", "last chunk", "stays" or "refused"
    wait: float = 0.0
    arrives: Callable[[bytes, bool], bytes] | None = None  # of the update; None: no update is written
    plain: bytes = b""  # other data that is written


def nothing(answer: bytes, stands: bool) -> bytes:
    return b""


def all_of_it(answer: bytes, stands: bool) -> bytes:
    return answer


def lost(then: str, wait: float = 0.0) -> Step:
    return Step(then, wait, nothing)


REJECT = Step("closed", 0.0, plain=BUSY)
REJECT_AFTER_2_S = Step("closed", 2.0, plain=BUSY)
REJECT_AFTER_1_2_S = Step("closed", 1.2, plain=BUSY)
REFUSED = Step("refused", 2.5)
HANGS = Step("stays")
RESET = Step("reset", 0.3)
CLOSED = Step("closed", 0.3)
ENDS = Step("last chunk")
ANSWER = Step("stays", 0.0, all_of_it)


class Losses(Scenario):
    """One process, whose calls go through the steps of a row."""

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
            await self.until(lambda: self.all_served_by(b"draining", 0.0))
            if self.start == STANDS:
                await self._run_step(call, stands=True)
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
                await self.until(lambda: self.all_served_by(b"draining", 0.0))
            await self._run_step(call, stands=False)

    async def _run_step(self, call: Call, stands: bool) -> None:
        """Runs the next step on this call."""
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
        """Ends this call, and refuses new connections for `span` s from then on."""
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
        """Makes a move or a restart, where the row has one."""
        if self.start not in (MOVED, RESTARTED):
            return
        await self.until(lambda: self.ready)
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
        """Runs the row; returns late requests, in s since the change counts as received."""
        await self.prepare()
        await self.until(lambda: self.began > 0.0)
        if self.writes:
            await self.until(lambda: self.written > 0.0)
        told = self.written or self.began + NOTIFIED_AFTER
        await self.until(lambda: time.monotonic() > told + SPAN)
        self.over = True
        self.report(told)
        return self.late(told)

    def report(self, told: float) -> None:
        """Prints the steps and the late requests, to diagnose a failure."""
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
    async def run() -> None:
        async with Losses(start, steps, folder) as scenario:
            late = await scenario.play()
            assert not late, f"{len(late)} late requests, {late[0]} to {late[-1]} s after the change was told"

    play(run)


UNSETTLED = {
    "503 after 1.2 s": (STANDS, (Step("reset"), REJECT_AFTER_1_2_S, lost("reset", wait=0.3), REJECT)),
    "503 after 2 s": (STANDS, (Step("reset"), REJECT_AFTER_2_S, lost("reset", wait=0.3), REJECT)),
    "refused": (STANDS, (Step("reset"), REFUSED, lost("reset", wait=0.3), REJECT)),
    "hangs": (STANDS, (Step("reset"), HANGS, lost("reset", wait=0.3), REJECT)),
    "a new process": (NEW, (Step("reset"), REJECT_AFTER_2_S, lost("reset", wait=0.3), REJECT)),
    "after a restart": (RESTARTED, (Step("reset"), REJECT_AFTER_2_S, lost("reset", wait=0.3), REJECT)),
    "after a move": (MOVED, (Step("reset"), REJECT_AFTER_2_S, lost("reset", wait=0.3), REJECT)),
}
LASTING = {
    "503 after 2 s": (STANDS, (lost("reset"), REJECT_AFTER_2_S)),
    "refused": (STANDS, (lost("reset"), REFUSED)),
    "hangs": (STANDS, (lost("reset"), HANGS)),
    "reset": (STANDS, (lost("reset"), RESET)),
}
UNHEARD = {
    "hangs": (STANDS, (ENDS, HANGS)),
    "closed, hangs": (STANDS, (ENDS, CLOSED, HANGS)),
    "reset, hangs": (STANDS, (ENDS, RESET, HANGS)),
    "reset, 503": (STANDS, (ENDS, RESET, REJECT)),
    "reset, 503 after 2 s": (STANDS, (ENDS, RESET, REJECT_AFTER_2_S)),
}
UNENDED = {
    "503": (STANDS, (lost("closed"), REJECT)),
    "answered, a call that waited": (WAITS, (lost("closed"), ANSWER)),
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
    # the service handles calls in turn: the old version on one, the update on the other, later on the first
    async def run() -> None:
        calls: list[Call] = []
        written = 0.0

        async def serve(call: Call) -> None:
            nonlocal written
            calls.append(call)
            if len(calls) == 1:
                call.write(HEAD + chunk(call.list(3, scenario.known)))
                await scenario.until(lambda: scenario.all_served_by(b"draining", 0.0))
                call.write(END)
                call.writer.close()
            elif len(calls) == 2:
                while not call.reader.at_eof():
                    await asyncio.sleep(0.001)
                print(f"{time.monotonic() - written:+.3f} our end is seen; reset")
                reset(call.writer.transport)
            elif len(calls) == 3:
                call.write(HEAD + chunk(call.list(3, scenario.known)))
                written = time.monotonic()
                await asyncio.sleep(1.5)
                call.write(chunk(call.list(4, [{**scenario.known[0], "state": "leaving"}], whole=False)))

        scenario = Scenario(serve, tmp_path, processes=1)
        async with scenario:
            await scenario.until(lambda: written > 0.0)
            await scenario.until(lambda: time.monotonic() > written + SPAN)
            late = scenario.late(written)
            assert not late, f"{len(late)} late requests, {late[0]} to {late[-1]} s after the change was told"

    play(run)
