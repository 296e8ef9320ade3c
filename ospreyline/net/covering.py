"""Takeover on sockets: carries out on the visits of a turn what `fleet/takeover.py` decides, and no more.

The turn asks here before it writes a fetch and before it tells a client something; what has to wait is kept
here until the word comes.
"""

from __future__ import annotations

from collections.abc import Callable
from random import Random
from typing import TYPE_CHECKING, Any

import msgspec

from ospreyline.fleet.takeover import KINDS, Ran, Takeover
from ospreyline.host import Kind
from ospreyline.net.clients import Client, Request
from ospreyline.net.upstreams import Cut, Stage, Why

if TYPE_CHECKING:
    from ospreyline.net.turn import Taken, Turn
    from ospreyline.operator import Takeover as On

_LETTERS = {kind: letter for letter, kind in KINDS.items()}
_ENCODER = msgspec.msgpack.Encoder()
UNKNOWN = b"X-Outcome: may have run\r\n"
ANSWERED = b"X-Outcome: answered\r\n"


class Told(msgspec.Struct, array_like=True):
    """A request as guardians keep it."""

    method: bytes
    path: bytes
    fields: bytes
    body: bytes
    prefix: str
    trace: bytes


class Covering:
    """The turn's side of takeover."""

    def __init__(
        self, turn: Turn, on: On, name: str, zone: str, start: int, seed: int, max_fetches: int
    ) -> None:
        self.takeover = Takeover(
            name,
            zone,
            start,
            Random(seed + 3).random,
            on.wait_ms,
            1e3 * on.keep_s,
            on.uncovered == "refuse",
            max_fetches,
        )
        self._turn = turn
        # by tag: what is done when the word comes
        self._waiting: dict[int, tuple[Callable[..., None], tuple[Any, ...]]] = {}
        self._asking: dict[int, float] = {}  # by tag: the time until which its client waits

    # what the turn asks

    def _id(self, request: Request) -> str:
        return f"{self._turn.prefix_name(request.prefix)} {request.trace.decode('latin-1')}"

    def _told(self, request: Request, kind: Kind) -> bytes:
        return _LETTERS[kind] + _ENCODER.encode(
            Told(
                request.method,
                request.path,
                request.fields,
                request.body,
                self._turn.prefix_name(request.prefix),
                request.trace,
            )
        )

    def joins(self, request: Request, client: Client) -> bool:
        """A client asks again for a visit that we have in hand ourselves: it is joined to it."""
        if not request.asks:
            return False
        for taken in self._turn.visits.values():
            if taken.request.trace == request.trace and not taken.answered:
                if taken.client is not None:
                    taken.client.out = None
                    taken.client.drop("its client asks again on another")
                taken.client, taken.left, client.tag = client, False, taken.tag
                self._turn.counts["joined"] += 1
                return True
        return False

    def begins(self, now: float, taken: Taken, left: float, kind: Kind) -> bool:
        """A visit has come: whether the decisions are to have it now."""
        request = taken.request
        if request.asks:
            self._asking[taken.tag] = now + left
            self.takeover.ask(now, taken.tag, self._id(request), kind, self._told(request, kind), left)
            self._speak()
            return False
        if not self.takeover.take(now, taken.tag, self._id(request), kind, self._told(request, kind), left):
            self._turn.refuse(taken.tag)
            return False
        return True

    def decided(self, now: float, taken: Taken) -> None:
        """The decisions have seen it: what is held is told to its guardians."""
        if not taken.answered and not taken.errands:
            self.takeover.held(now, taken.tag)

    def may_write(
        self, now: float, taken: Taken, number: int, upstream: int, times: int, until: float
    ) -> bool:
        """Whether a fetch may be written now; else it is when its permit comes."""
        zone, cell = self._turn.place(upstream)
        if self.takeover.send(now, taken.tag, number, zone, cell, now <= self._turn.stood_to):
            self._speak()
            return True
        self._waiting[taken.tag] = (self._turn.write, (taken, number, upstream, times, until))
        self._speak()
        return False

    def called_off(self, taken: Taken, number: int) -> bool:
        """Whether a fetch that is called off was still waiting here: it never goes out."""
        act, args = self._waiting.get(taken.tag, (None, ()))
        if act != self._turn.write or args[1] != number:
            return False
        del self._waiting[taken.tag]
        self.takeover.called_off(taken.tag, number)
        return True

    def may_bounce(self, now: float, taken: Taken, reply: tuple[Any, ...]) -> bool:
        if self.takeover.refuse(now, taken.tag):
            self._speak()
            return True
        self._waiting[taken.tag] = (self._turn.reply, reply)
        self._speak()
        return False

    def may_tell(self, now: float, taken: Taken, reply: tuple[Any, ...]) -> bool:
        """A visit is delivered: its answer is kept for who asks again; whether its client is told now."""
        _, status, head, body = reply
        at_once = self.takeover.answered(
            now, taken.tag, _ENCODER.encode((status, head, body)), now <= self._turn.stood_to
        )
        if not at_once:
            self._waiting[taken.tag] = (self._turn.reply, reply)
        self._speak()
        return at_once

    def failed(self, now: float, taken: Taken) -> None:
        self.takeover.failed(now, taken.tag)
        self._speak()

    def goes_on(self, now: float, taken: Taken, kind: Kind) -> bool:
        """Its client has gone: whether it goes on without, since what was sent may be asked for again."""
        fetches = taken.handle.fetches if taken.handle is not None else []
        # guards: an end that was noted behind the leaving is not decided yet, and may be the answer
        out = [e for e, f in zip(taken.errands, fetches, strict=False) if e is not None and f.end is None]
        if kind is not Kind.READ_LIKE and any(e.stage > Stage.CONNECTING for e in out):
            return taken.tag in self.takeover.hands
        # guards: who asked again for a mutating one waited for an answer until its time was over. One that
        # may have run is over, or goes on: of what is left no fetch ran, nor will one
        sent = kind is not Kind.MUTATING and any(e is not None for e in taken.errands)
        self.takeover.gave_up(now, taken.tag, sent)
        self._speak()
        return False

    def forget(self, tag: int) -> None:
        self.takeover.forget(tag)
        self._waiting.pop(tag, None)
        self._asking.pop(tag, None)

    # what takeover says

    def _speak(self) -> None:
        """Its words on their way; its news come in a later turn."""
        if self._turn.bank is not None:
            self._turn.bank.carry_out()

    def overdue(self, tag: int) -> bool:
        """Its client's time is over: whether what it is to be told still waits here, for a word in vain."""
        act, _ = self._waiting.get(tag, (None, ()))
        if act != self._turn.reply:
            return False
        del self._waiting[tag]
        return True

    def holds(self, tag: int) -> bool:
        """Whether a visit's client waits here for a word before it is told something."""
        return tag in self._waiting

    def carry_out(self, now: float) -> None:
        """Its news, and its words on their way."""
        while self.takeover.news:
            news, self.takeover.news = self.takeover.news, []
            for what, tag, more in news:
                if what == "adopt":
                    self._adopt(now, tag, *more)
                elif (taken := self._turn.visits.get(tag)) is not None:
                    self._one(now, taken, what, more)
        if self.takeover.out:
            self._speak()

    def counts(self) -> dict[str, int]:
        """Since the last line of counts, and what we guard for others."""
        counts = {f"cover_{name}": n for name, n in sorted(self.takeover.counts.items())}
        self.takeover.counts.clear()
        guardian = self.takeover.guardian
        return {**counts, "cover_guards": len(guardian.works), "cover_bytes": guardian.bytes}

    def _one(self, now: float, taken: Taken, what: str, more: Any) -> None:
        turn = self._turn
        ends = self._asking.pop(taken.tag, 0.0)
        act, args = self._waiting.pop(taken.tag, (None, ()))
        if what in ("go", "refused", "told"):
            if act is not None:
                turn.note(act, *args)
            return
        if act == turn.write:
            # it was never written: the decisions may send it elsewhere, if it is still ours
            turn.note(turn.ended, taken, args[1], Cut(Stage.CONNECTING, Why.WITHDRAWN))
        if what == "answer":
            self._kept(now, taken, more)
        elif what == "unknown":
            turn.note(turn.reply, taken, 502, UNKNOWN, b"it may have run\n")
            turn.close_visit(now, taken)
        elif what == "lost":
            # another has it: nothing more is sent or told; what is out may yet be recorded
            if taken.client is not None:
                client, taken.client = taken.client, None
                client.out = None
                client.drop("another balancer has taken its request over")
            if not any(e is not None and e.done is not None for e in taken.errands):
                turn.close_visit(now, taken)
        elif what == "take":
            turn.decide(now, taken, max(0.0, ends - now), more)
        elif what == "bounce":
            turn.refuse(taken.tag)

    def _kept(self, now: float, taken: Taken, packed: bytes) -> None:
        turn = self._turn
        reply: tuple[int, bytes, bytes] = (502, b"", b"it was answered, and its answer is not kept\n")
        if packed:
            try:
                reply = msgspec.msgpack.decode(packed, type=tuple[int, bytes, bytes])
            except msgspec.MsgspecError:
                turn.counts["unreadable_answers"] += 1  # guards: nonsense from a peer costs its visit alone
        status, head, body = reply
        turn.note(turn.reply, taken, status, head + ANSWERED, body)
        turn.close_visit(now, taken)

    def _adopt(self, now: float, tag: int, told: bytes, kind: Kind, ran: list[Ran], left: float) -> None:
        """A visit whose owner is dead, and that nobody has asked for, is ours."""
        try:
            found = msgspec.msgpack.decode(told[1:], type=Told)
        except msgspec.MsgspecError:
            return self.takeover.forget(tag)  # guards: nonsense from a peer costs nothing
        prefix = self._turn.prefixes.get(found.prefix.encode())
        if prefix is None:
            return self.takeover.gave_up(now, tag)
        request = Request(found.method, found.path, found.fields, found.body, prefix, found.trace, None, True)
        self._turn.adopt_visit(now, tag, request, left, ran)
