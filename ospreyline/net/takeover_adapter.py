"""Adapter between the event dispatcher's visits and `fleet/takeover.py`, which makes all decisions.

The dispatcher asks here before it writes a fetch and before it answers a client; an action that has to wait
is kept here until takeover reports its event.
"""

from __future__ import annotations

from collections.abc import Callable
from random import Random
from typing import TYPE_CHECKING, Any

import msgspec

from ospreyline.fleet.takeover import KIND_BY_BYTE, PriorFetch, Takeover
from ospreyline.host import Kind, repeat_is_harmless
from ospreyline.net.clients import ClientConnection, Request
from ospreyline.net.retry_proof import same_proof, visit_suffix
from ospreyline.net.upstreams import ExchangeFailure, ExchangeStage, FailureReason

if TYPE_CHECKING:
    from ospreyline.net.dispatcher import EventDispatcher, PendingVisit
    from ospreyline.operator_settings import TakeoverSettings

_LETTERS = {kind: letter for letter, kind in KIND_BY_BYTE.items()}
_ENCODER = msgspec.msgpack.Encoder()
MAY_HAVE_RUN_HEADER = b"X-Outcome: may have run\r\n"
ANSWERED_HEADER = b"X-Outcome: answered\r\n"


class StoredRequest(msgspec.Struct, array_like=True):
    """A request as acceptors store it; encoded by place."""

    method: bytes
    path: bytes
    fields: bytes
    body: bytes
    prefix: str
    trace: bytes
    proof: bytes = b""  # the secret itself is not stored


def _repeat_harmless(pending: PendingVisit) -> bool:
    """Whether its client may be told to retry though the visit may have run."""
    return repeat_is_harmless(pending.prefix_settings.kind, pending.prefix_settings.scope)


class TakeoverAdapter:
    """The event dispatcher's side of takeover."""

    def __init__(
        self,
        dispatcher: EventDispatcher,
        settings: TakeoverSettings,
        name: str,
        zone: str,
        start: int,
        seed: int,
        max_fetches: int,
    ) -> None:
        self.takeover = Takeover(
            name,
            zone,
            start,
            Random(seed + 3).random,
            settings.wait_ms,
            1e3 * settings.keep_s,
            settings.uncovered == "refuse",
            max_fetches,
        )
        self._dispatcher = dispatcher
        # by tag: the action, with arguments, that waits for an event of takeover
        self._waiting: dict[int, tuple[Callable[..., None], tuple[Any, ...]]] = {}
        self._retry_deadlines: dict[int, float] = {}  # by tag: ms, deadline of a client that asks again

    # calls of the dispatcher

    def _visit_id(self, request: Request) -> str:
        """The name of its visit at the acceptors, which nobody else can form who has no secret of it."""
        name, id_ = self._dispatcher.prefix_name(request.prefix_index), request.request_id.decode("latin-1")
        return f"{name} {id_} {visit_suffix(request.proof)}"

    def _encode_request(self, request: Request, kind: Kind) -> bytes:
        return _LETTERS[kind] + _ENCODER.encode(
            StoredRequest(
                request.method,
                request.path,
                request.fields,
                request.body,
                self._dispatcher.prefix_name(request.prefix_index),
                request.request_id,
                request.proof,
            )
        )

    def join_visit_in_progress(self, request: Request, client: ClientConnection) -> bool:
        """Whether a client that asks again, with its secret, is joined to its visit in progress here."""
        if not request.asks_for_outcome:
            return False
        for pending in self._dispatcher.visits.values():
            if same_proof(pending.request.proof, request.proof) and not pending.answered:
                if pending.client is not None:
                    pending.client.current_request = None
                    pending.client.close("its client asks again on another")
                pending.client, pending.client_left, client.tag = client, False, pending.tag
                self._dispatcher.counts["joined"] += 1
                return True
        return False

    def admit(self, now: float, pending: PendingVisit, left: float, kind: Kind) -> bool:
        """A visit has arrived; returns whether the decision module gets it now."""
        request = pending.request
        if request.asks_for_outcome and not request.proof:
            self._dispatcher.counts["asked_without_secret"] += 1
            self._reply_unknown(now, pending)
            return False
        if request.asks_for_outcome:
            self._retry_deadlines[pending.tag] = now + left
            self.takeover.claim_for_client(
                now,
                pending.tag,
                self._visit_id(request),
                kind,
                self._encode_request(request, kind),
                left,
                _repeat_harmless(pending),
            )
            self._send_messages()
            return False
        if not self.takeover.admit(
            now,
            pending.tag,
            self._visit_id(request),
            kind,
            self._encode_request(request, kind),
            left,
            _repeat_harmless(pending),
        ):
            self._dispatcher.refuse(pending.tag)
            return False
        return True

    def register_if_queued(self, now: float, pending: PendingVisit) -> None:
        """The decision module has decided on a visit: one that is queued is registered at its acceptors."""
        if not pending.answered and not pending.exchanges:
            self.takeover.register_queued(now, pending.tag)

    def may_write_fetch(
        self, now: float, pending: PendingVisit, number: int, upstream: int, times: int, until: float
    ) -> bool:
        """Whether a fetch may be written now; else it is written when its grant arrives."""
        zone, cell = self._dispatcher.place(upstream)
        if self.takeover.request_send(now, pending.tag, number, zone, cell, now <= self._dispatcher.stood_to):
            self._send_messages()
            return True
        self._waiting[pending.tag] = (self._dispatcher.write, (pending, number, upstream, times, until))
        self._send_messages()
        return False

    def cancel_waiting_fetch(self, pending: PendingVisit, number: int) -> bool:
        """Whether a cancelled fetch still waited here for its grant, and so is never sent."""
        action, args = self._waiting.get(pending.tag, (None, ()))
        if action != self._dispatcher.write or args[1] != number:
            return False
        del self._waiting[pending.tag]
        self.takeover.cancel_send(pending.tag, number)
        return True

    def may_bounce(self, now: float, pending: PendingVisit, reply: tuple[Any, ...]) -> bool:
        if self.takeover.refuse(now, pending.tag):
            self._send_messages()
            return True
        self._waiting[pending.tag] = (self._dispatcher.reply, reply)
        self._send_messages()
        return False

    def store_answer(self, now: float, pending: PendingVisit, reply: tuple[Any, ...]) -> bool:
        """A visit is delivered: store its answer for clients that ask again; returns whether its client is
        answered now."""
        _, status, head, body = reply
        at_once = self.takeover.record_answer(
            now, pending.tag, _ENCODER.encode((status, head, body)), now <= self._dispatcher.stood_to
        )
        if not at_once:
            self._waiting[pending.tag] = (self._dispatcher.reply, reply)
        self._send_messages()
        return at_once

    def report_failure(self, now: float, pending: PendingVisit) -> None:
        self.takeover.fail(now, pending.tag)
        self._send_messages()

    def continue_without_client(self, now: float, pending: PendingVisit, kind: Kind) -> bool:
        """The client has left; returns whether the visit continues, so that its answer can be asked for."""
        fetches = pending.decision.fetches if pending.decision is not None else []
        # An end that is still queued behind the client's leaving is not decided yet, and may be the answer.
        out = [e for e, f in zip(pending.exchanges, fetches, strict=False) if e is not None and f.end is None]
        if kind is not Kind.READ_LIKE and any(e.stage > ExchangeStage.CONNECTING for e in out):
            return pending.tag in self.takeover.visits
        # Without closing a mutating visit's ballot here, a client that asked again waited for an answer until
        # its deadline. A visit that may have run has ended or continues: of the rest no fetch ran or will
        # run.
        sent = kind is not Kind.MUTATING and any(e is not None for e in pending.exchanges)
        self.takeover.abandon(now, pending.tag, sent)
        self._send_messages()
        return False

    def remove(self, tag: int) -> None:
        self.takeover.remove(tag)
        self._waiting.pop(tag, None)
        self._retry_deadlines.pop(tag, None)

    # events of takeover

    def _send_messages(self) -> None:
        """Send takeover's messages; its events are processed in a later batch."""
        if self._dispatcher.bank is not None:
            self._dispatcher.bank.carry_out()

    def cancel_waiting_reply(self, tag: int) -> bool:
        """The client's deadline has passed; returns whether its answer still waited here for an event that
        did not come."""
        action, _ = self._waiting.get(tag, (None, ()))
        if action != self._dispatcher.reply:
            return False
        del self._waiting[tag]
        return True

    def has_waiting_action(self, tag: int) -> bool:
        """Whether an action of the visit waits here for an event."""
        return tag in self._waiting

    def process_events(self, now: float) -> None:
        """Process takeover's events and send its messages."""
        while self.takeover.events:
            news, self.takeover.events = self.takeover.events, []
            for what, tag, details in news:
                if what == "adopt":
                    self._adopt(now, tag, *details)
                elif (pending := self._dispatcher.visits.get(tag)) is not None:
                    self._handle_event(now, pending, what, details)
        if self.takeover.out:
            self._send_messages()

    def counts(self) -> dict[str, int]:
        """Counters since the last call, and what we store for other balancers."""
        counts = {f"cover_{name}": n for name, n in sorted(self.takeover.counts.items())}
        self.takeover.counts.clear()
        acceptor = self.takeover.acceptor
        return {**counts, "cover_guards": len(acceptor.records), "cover_bytes": acceptor.stored_bytes}

    def _handle_event(self, now: float, pending: PendingVisit, what: str, details: Any) -> None:
        dispatcher = self._dispatcher
        deadline = self._retry_deadlines.pop(pending.tag, 0.0)
        action, args = self._waiting.pop(pending.tag, (None, ()))
        if what in ("go", "refused", "told"):
            if action is not None:
                dispatcher.enqueue(action, *args)
            return
        if action == dispatcher.write:
            # it was never written: the decision module may send it elsewhere if the visit is still ours
            dispatcher.enqueue(
                dispatcher.ended,
                pending,
                args[1],
                ExchangeFailure(ExchangeStage.CONNECTING, FailureReason.WITHDRAWN),
            )
        if what == "answer":
            self._reply_with_stored_answer(now, pending, details)
        elif what == "unknown":
            self._reply_may_have_run(now, pending)
        elif what == "lost":
            # another balancer has it: nothing more is sent; a fetch in progress may still be recorded
            if pending.client is not None:
                client, pending.client = pending.client, None
                client.current_request = None
                client.close("another balancer has taken its request over")
            if not any(e is not None and e.on_end is not None for e in pending.exchanges):
                dispatcher.close_visit(now, pending)
        elif what == "take":
            dispatcher.decide(now, pending, max(0.0, deadline - now), details)
        elif what == "bounce":
            dispatcher.refuse(pending.tag)

    def _reply_unknown(self, now: float, pending: PendingVisit) -> None:
        """Answer a client that asks for an outcome which nobody can tell it."""
        if _repeat_harmless(pending):
            self._dispatcher.refuse(pending.tag)
        else:
            self._reply_may_have_run(now, pending)

    def _reply_may_have_run(self, now: float, pending: PendingVisit) -> None:
        dispatcher = self._dispatcher
        dispatcher.enqueue(dispatcher.reply, pending, 502, MAY_HAVE_RUN_HEADER, b"it may have run\n")
        dispatcher.close_visit(now, pending)

    def _reply_with_stored_answer(self, now: float, pending: PendingVisit, encoded_answer: bytes) -> None:
        dispatcher = self._dispatcher
        reply: tuple[int, bytes, bytes] = (502, b"", b"it was answered, and its answer is not kept\n")
        if encoded_answer:
            try:
                reply = msgspec.msgpack.decode(encoded_answer, type=tuple[int, bytes, bytes])
            except msgspec.MsgspecError:
                # invalid data from a peer affects only its visit
                dispatcher.counts["unreadable_answers"] += 1
        status, head, body = reply
        dispatcher.enqueue(dispatcher.reply, pending, status, head + ANSWERED_HEADER, body)
        dispatcher.close_visit(now, pending)

    def _adopt(
        self, now: float, tag: int, encoded: bytes, kind: Kind, prior_fetches: list[PriorFetch], left: float
    ) -> None:
        """Adopt a visit whose owner is dead and that no client has asked for."""
        try:
            stored = msgspec.msgpack.decode(encoded[1:], type=StoredRequest)
        except msgspec.MsgspecError:
            return self.takeover.remove(tag)  # invalid data from a peer is ignored
        prefix = self._dispatcher.prefixes.get(stored.prefix.encode())
        if prefix is None:
            self.takeover.abandon(now, tag)
            return self.takeover.remove(tag)
        request = Request(
            stored.method,
            stored.path,
            stored.fields,
            stored.body,
            prefix,
            stored.trace,
            None,
            True,
            proof=stored.proof,
        )
        self._dispatcher.adopt_visit(now, tag, request, left, prior_fetches)
