"""Takeover of visits whose balancer has failed: one balancer's part as owner, acceptor or claimant. Pure.

Input: time, members, links and messages; output: messages (`out`) and events for the proxy (`events`). The
protocol that makes a fetch run at most once is in `acceptor.py`; this module decides who the acceptors are,
what the proxy must wait for, and who takes over when.

- **Acceptors.** In each zone the first members by hash, the square root of the bank's size, serve as
  acceptors; three of them, of as many zones as possible, store a visit, by a hash of its id. So whichever
  balancer is asked for the visit again knows whom to ask, and a bank of hundreds needs few links.
- **What waits.** A fetch of a mutating or tagged visit waits for its grant; of a read-like one only the last
  that is allowed, the others need none. A bounce of a registered visit waits until its ballot is closed. Each
  wait is bounded.
- **Who takes over.** The balancer at which the client asks again, at once. If no client asks, the first
  acceptor that is alive once the owner is known to be dead; read-like visits are then left alone.

If too few acceptors are available, a visit has no quorum, and the proxy learns so when it admits the visit.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from hashlib import blake2b
from math import ceil, inf, sqrt
from typing import Any

from ospreyline.fleet.acceptor import MAY_HAVE_RUN, Acceptor, Proposer, choose_acceptors
from ospreyline.fleet.frames import NO_BALLOT, AcceptorSession, Heartbeat, Message, TakeoverMessage
from ospreyline.host import Kind

MIN_ACCEPTORS_PER_ZONE = 4
HEARTBEAT_MS = 1_000.0  # between heartbeats to acceptors
UNRESPONSIVE_MS = 2_500.0  # without a message, after which an acceptor is not counted on
RECLAIM_MS = 75.0  # between two claims while not all members of the bank are known yet
ADOPTION_STEP_MS = 400.0  # between one acceptor's turn to adopt a visit and the next one's
MAX_CLAIMS = 6  # attempts for a visit that others claim too
CLAIM_WAIT_FACTOR = 3.0  # a claim may wait this many times as long as a grant
DEADLINE_MARGIN_MS = 100.0  # before the client's deadline all waiting ends: two ticks
MAX_ANSWER_BYTES = 1 << 16  # of a larger answer only the fact that there was one is stored

# a fetch that may have executed: zone, cell, ms since it may have been sent
PriorFetch = tuple[str, int, float]


@dataclass(slots=True)
class Peer:
    """One other member, as an acceptor for our visits or an owner of visits that we store."""

    linked: bool = False
    session: int = 0  # that it issued to us; 0: none yet
    serial: int = 0  # of our last registration at it
    last_heard: float = -inf
    unanswered_since: float = inf  # when we sent the oldest message that it has not answered


class OwnedVisit:
    """One visit that we registered at acceptors, or that we claim."""

    __slots__ = (
        "claimed_at",
        "claims",
        "client_deadline",
        "free_fetches",
        "kind",
        "orphan",
        "proposer",
        "reclaim_at",
        "registered",
        "repeat_harmless",
        "tag",
        "visit_id",
        "wait_until",
        "waiting_fetch",
        "waiting_for",
        "widened",
    )

    def __init__(
        self,
        tag: int,
        visit_id: str,
        kind: Kind,
        proposer: Proposer,
        client_deadline: float,
        repeat_harmless: bool,
    ) -> None:
        self.tag, self.visit_id, self.kind, self.proposer = tag, visit_id, kind, proposer
        self.repeat_harmless = repeat_harmless  # its client may start anew though it may have run
        self.registered = False
        self.free_fetches = 0  # fetches that need no grant
        self.waiting_fetch = -1  # the one that waits for its grant
        self.waiting_for = ""  # permit, refuse, told, claim or answer; empty: it does not wait
        self.wait_until = inf  # ms; end of the wait
        self.client_deadline = client_deadline  # ms; when its client stops waiting
        self.claimed_at = 0.0  # ms; when it was first claimed
        self.claims = 0
        self.orphan = False  # its owner is dead and no client has asked again
        self.widened = False  # all linked members have been asked
        self.reclaim_at = inf  # ms; when it is claimed again


def bank_acceptors(members: Iterable[tuple[str, str]]) -> list[tuple[str, str]]:
    """The members, as (name, zone), that serve as acceptors: the same wherever the members are the same."""
    by: dict[str, list[tuple[bytes, str]]] = {}
    count = 0
    for name, zone in members:
        count += 1
        by.setdefault(zone, []).append((blake2b(name.encode(), digest_size=8, key=b"guard").digest(), name))
    per_zone = max(MIN_ACCEPTORS_PER_ZONE, ceil(sqrt(count)))
    return [(name, zone) for zone in sorted(by) for _, name in sorted(by[zone])[:per_zone]]


class Takeover:
    """One balancer's part in takeover. `out` holds (member, message).

    `events` holds (what, tag of the visit, details) for the proxy:

    - go, no (fetch number): a fetch that waited may be written, or may not;
    - refused: a bounce that waited may be sent;
    - told: an answer that waited may be sent;
    - unknown: the client is told that the visit may have run;
    - lost: another balancer has the visit, nothing is sent to the client;
    - answer (bytes), take (prior fetches), bounce, unknown: the outcome for a client that asks again;
    - adopt (request, kind, prior fetches, ms left): a visit whose owner is dead and that no client asks for.
    """

    def __init__(
        self,
        name: str,
        zone: str,
        start: int,
        draw: Callable[[], float],
        wait_ms: float,
        retention_ms: float,
        refuse_without_quorum: bool,
        max_fetches: int,
    ) -> None:
        """`refuse_without_quorum`: a visit whose fetches need a grant is not admitted without a quorum."""
        self.name, self.zone = name, zone
        self.wait_ms, self.refuse_without_quorum = wait_ms, refuse_without_quorum
        self.max_fetches = max_fetches
        self.acceptor = Acceptor(name, retention_ms, start)
        self.out: list[tuple[str, Message]] = []
        self.events: list[tuple[str, int, Any]] = []
        self.counts: Counter[str] = Counter()
        self.visits: dict[int, OwnedVisit] = {}
        self.peers: dict[str, Peer] = {name: Peer(True, self.acceptor.start_session(name))}
        self._acceptors: list[tuple[str, str]] = [(name, zone)]
        self._by_id: dict[str, OwnedVisit] = {}
        # by tag: visits that another balancer has taken over while our proxy still has them
        self._superseded: dict[int, OwnedVisit] = {}
        self._orphans: list[tuple[float, str, str]] = []  # (ms at which it is adopted, visit id, its owner)
        # tags of adopted visits count down from here; -1 itself marks a client without a visit
        self._last_adopted_tag = -1
        self._draw = draw
        self._heartbeat_at = 0.0
        # we do not know all members of the bank: what no acceptor knows may be known to others
        self.bank_incomplete = False

    # members and links

    def set_members(self, now: float, alive_members: Iterable[tuple[str, str]]) -> None:
        """Set the other members that are considered alive, as (name, zone)."""
        others = list(alive_members)
        self._acceptors = bank_acceptors([*others, (self.name, self.zone)])
        alive = {n for n, _ in others}
        for name in [n for n, p in self.peers.items() if n not in alive and not p.linked]:
            del self.peers[name]

    def required_links(self) -> list[str]:
        """The members to which links must be kept open."""
        return [name for name, _ in self._acceptors if name != self.name]

    def link_opened(self, now: float, name: str) -> None:
        peer = self.peers.setdefault(name, Peer())
        peer.linked, peer.session, peer.serial, peer.last_heard, peer.unanswered_since = True, 0, 0, now, inf
        self.out.append((name, AcceptorSession(session=self.acceptor.start_session(name))))

    def link_closed(self, now: float, name: str) -> None:
        if (peer := self.peers.get(name)) is not None:
            peer.linked, peer.session = False, 0
        self.acceptor.end_session(now, name)
        self._deliver_unsolicited(now)
        for visit in [
            h for h in self.visits.values() if h.waiting_for == "claim" and name in h.proposer.acceptors
        ]:
            visit.proposer.unreachable.add(name)
            visit.proposer.recheck_claim()
            self._flush(now, visit)

    def member_lost(self, now: float, name: str) -> None:
        """A member is dead or was restarted: its visits go to the other acceptors, in turn."""
        for visit_id in self.acceptor.orphaned_by(name):
            linked_acceptors = [
                g
                for g in self.acceptor.records[visit_id].acceptors
                if g == self.name or (g in self.peers and self.peers[g].linked)
            ]
            if self.name in linked_acceptors:
                rank = linked_acceptors.index(self.name)
                self._orphans.append(
                    (now + ADOPTION_STEP_MS * (rank + 0.25 * self._draw() * (rank > 0)), visit_id, name)
                )

    def available_acceptors(self, now: float) -> tuple[int, int]:
        """(acceptors of the bank that are responsive, all of them), this balancer excluded."""
        return sum(self._responsive(now, n) for n in self.required_links()), len(self.required_links())

    def _responsive(self, now: float, name: str) -> bool:
        peer = self.peers.get(name)
        return (
            peer is not None
            and peer.linked
            and peer.session > 0
            and now - peer.last_heard < UNRESPONSIVE_MS
            and now - peer.unanswered_since < max(UNRESPONSIVE_MS, self.wait_ms)
        )

    # time

    def tick(self, now: float) -> None:
        if now >= self._heartbeat_at:
            self._heartbeat_at = now + HEARTBEAT_MS
            for name in self.required_links():
                self.out.append((name, Heartbeat()))
        due = [o for o in self._orphans if o[0] <= now]
        if due:
            self._orphans = [o for o in self._orphans if o[0] > now]
            for _, visit_id, owner in due:
                self._adopt(now, visit_id, owner)
        for visit in list(self.visits.values()):
            if visit.wait_until <= now:
                self._wait_timed_out(now, visit)
            elif visit.reclaim_at <= now:
                visit.reclaim_at, visit.widened = inf, False
                self._reclaim(now, visit, choose_acceptors(visit.visit_id, self._acceptors))

    def _wait_for(self, now: float, visit: OwnedVisit, what: str, longest: float) -> None:
        """Wait for `what` for at most `longest` ms, and not beyond the client's deadline."""
        visit.waiting_for = what
        visit.wait_until = min(now + longest, max(now, visit.client_deadline - DEADLINE_MARGIN_MS))

    def _wait_timed_out(self, now: float, visit: OwnedVisit) -> None:
        """Acceptors have not answered in time. The bound keeps takeover from delaying a visit any longer."""
        waited_for, visit.waiting_for, visit.wait_until = visit.waiting_for, "", inf
        self.counts["guards_late"] += 1
        if waited_for == "permit":
            self._emit("no", visit, visit.waiting_fetch)
        elif waited_for == "told":
            self._finish("told", visit)
        else:
            self._finish_unknown(visit)

    def _finish_unknown(self, visit: OwnedVisit) -> None:
        """End a visit of unknown outcome. Prior fetches cannot be counted either, so it is not sent again;
        where a repeat is harmless the client may start anew."""
        if visit.orphan:
            self._discard(visit)
        else:
            self._finish(_event_if_unknown(visit.repeat_harmless), visit)

    # own visits

    def admit(
        self,
        now: float,
        tag: int,
        visit_id: str,
        kind: Kind,
        body: bytes,
        left: float,
        repeat_harmless: bool,
    ) -> bool:
        """Admit a new visit; returns whether it may proceed. It is registered when it is queued or sent.

        `repeat_harmless`: as `host.repeat_is_harmless` says of its kind and scope.
        """
        names = choose_acceptors(visit_id, [m for m in self._acceptors if m[0] != self.name])
        responsive = [n for n in names if self._responsive(now, n)]
        if not names or len(responsive) <= len(names) // 2:
            self.counts["uncovered"] += 1
            if self.refuse_without_quorum and kind is not Kind.READ_LIKE:
                self.counts["uncovered_refused"] += 1
                return False
            return True
        if visit_id in self._by_id:
            return True  # two visits of one id would use the same ballot
        proposer = Proposer(
            visit_id,
            self.name,
            names,
            {n: self.peers[n].session for n in responsive},
            body,
            left,
            repeatable=kind is not Kind.MUTATING,
        )
        visit = self._track(tag, visit_id, kind, proposer, now + left, repeat_harmless)
        visit.free_fetches = max(0, self.max_fetches - 1) if kind is Kind.READ_LIKE else 0
        return True

    def _track(
        self,
        tag: int,
        visit_id: str,
        kind: Kind,
        proposer: Proposer,
        client_deadline: float,
        repeat_harmless: bool,
    ) -> OwnedVisit:
        visit = self.visits[tag] = self._by_id[visit_id] = OwnedVisit(
            tag, visit_id, kind, proposer, client_deadline, repeat_harmless
        )
        return visit

    def _prepare_registration(self, visit: OwnedVisit) -> None:
        """Prepare the registration: give it the next serial of each session."""
        if visit.registered:
            return
        visit.registered = True
        self.counts["covered"] += 1
        for name in visit.proposer.acceptors:
            if visit.proposer.sessions.get(name):
                peer = self.peers[name]
                if peer.session == visit.proposer.sessions[name]:
                    peer.serial += 1
                    visit.proposer.serials[name] = peer.serial

    def register_queued(self, now: float, tag: int) -> None:
        """A visit is queued for capacity: register it, so that others can take it over."""
        visit = self.visits.get(tag)
        if visit is not None and not visit.registered:
            self._prepare_registration(visit)
            visit.proposer.register()
            self._flush(now, visit)

    def request_send(
        self, now: float, tag: int, number: int, zone: str, cell: int, after_stall: bool = False
    ) -> bool:
        """Whether a fetch may be written at once; else the event `go` or `no` follows. `after_stall`: this
        process stalled, so another balancer may have taken the visit over."""
        if tag in self._superseded:
            self._emit("no", self._superseded[tag], number)
            return False
        visit = self.visits.get(tag)
        if visit is None:
            return True
        if visit.proposer.unregistered:
            return self._proceed_without_quorum(visit)
        free = number < visit.free_fetches and not after_stall
        if free and visit.registered:
            return True
        self._prepare_registration(visit)
        if free:
            visit.proposer.register()
        else:
            visit.waiting_fetch = number
            self._wait_for(now, visit, "permit", self.wait_ms)
            self.counts["permits"] += 1
            visit.proposer.request_grant(number, zone, cell)
        self._flush(now, visit)
        return free

    def cancel_send(self, tag: int, number: int) -> bool:
        """Cancel a fetch; returns whether it still waited for its grant, and so is never sent."""
        visit = self.visits.get(tag)
        if visit is None or visit.waiting_for != "permit" or visit.waiting_fetch != number:
            return False
        visit.waiting_for, visit.wait_until = "", inf
        return True

    def refuse(self, now: float, tag: int) -> bool:
        """Whether a bounce may be sent at once; else `refused`, `unknown` or `lost` follows. A bounce tells
        the client that the visit never ran, or that a repeat is harmless."""
        if tag in self._superseded:
            self._give_up(now, self._superseded.pop(tag))
            return True
        visit = self._registered_visit(tag)
        if visit is None:
            return True
        if visit.kind is Kind.TAGGED and visit.repeat_harmless and visit.proposer.ever_granted:
            # it may be refused though it has run; a claimant must know its fetches, as their keys expire
            self._give_up(now, visit)
            return True
        visit.proposer.refuse()
        if visit.kind is not Kind.MUTATING or visit.proposer.ever_granted:
            # a repeat is harmless, or our recorded grants keep all others from running it
            self._flush(now, visit, last=True)
            return True
        self._wait_for(now, visit, "refuse", self.wait_ms)
        self._flush(now, visit)
        return False

    def abandon(self, now: float, tag: int, sent: bool = False) -> None:
        """The client has left, or was told that there is no answer; no fetch is in progress.

        Fetches that were `sent` stay recorded, so that a client that asks again stays within the allowed
        number of fetches.
        """
        visit = self.visits.get(tag)
        if tag in self._superseded:
            self._give_up(now, self._superseded.pop(tag))
        elif visit is not None and visit.kind is Kind.TAGGED and visit.proposer.ever_granted:
            self._give_up(now, visit)
        elif visit is not None:
            if visit.registered and not sent:
                visit.proposer.refuse()
            self._flush(now, visit, last=True)

    def _give_up(self, now: float, visit: OwnedVisit) -> None:
        """End a visit whose granted fetches may have run, and notify whoever waits for their answer."""
        if visit.proposer.ever_granted:
            visit.proposer.give_up()
        self._flush(now, visit, last=True)

    def fail(self, now: float, tag: int) -> None:
        """The client was told that there is no answer."""
        visit = self.visits.get(tag)
        if visit is None or visit.kind is not Kind.MUTATING or not visit.proposer.ever_granted:
            return self.abandon(now, tag)
        visit.proposer.record_answer(MAY_HAVE_RUN)
        self._flush(now, visit, last=True)

    def record_answer(self, now: float, tag: int, body: bytes, after_stall: bool = False) -> bool:
        """Store an answer; returns whether it may be sent at once; else `told` or `lost` follows."""
        # Whoever has taken a visit over waits for the answer of the fetch that was in progress then.
        superseded = self._superseded.pop(tag, None)
        visit = superseded or self._registered_visit(tag)
        if visit is None:
            return True
        visit.proposer.record_answer(body if len(body) <= MAX_ANSWER_BYTES else b"")
        if superseded is not None:
            self._flush(now, superseded, last=True)
            return True
        if after_stall:
            self._wait_for(now, visit, "told", self.wait_ms)
        self._flush(now, visit, last=not after_stall)
        return not after_stall

    def _registered_visit(self, tag: int) -> OwnedVisit | None:
        """The visit of this tag if it is registered; one that is not is discarded without a message."""
        visit = self.visits.get(tag)
        if visit is None or visit.registered:
            return visit
        self._discard(visit)
        return None

    def remove(self, tag: int) -> None:
        """The proxy has removed the visit."""
        self._superseded.pop(tag, None)
        if (visit := self.visits.get(tag)) is not None:
            self._discard(visit)

    def _discard(self, visit: OwnedVisit) -> None:
        self.visits.pop(visit.tag, None)
        if self._by_id.get(visit.visit_id) is visit:
            del self._by_id[visit.visit_id]

    # claims for clients that ask again

    def claim_for_client(
        self,
        now: float,
        tag: int,
        visit_id: str,
        kind: Kind,
        body: bytes,
        left: float,
        repeat_harmless: bool,
    ) -> None:
        """Claim another balancer's visit for a client that asks again: `answer`, `unknown`, `take` or
        `bounce` follows."""
        self.counts["asked_again"] += 1
        if visit_id in self._by_id:
            self.events.append((_event_if_unknown(repeat_harmless), tag, None))
        else:
            self._claim(now, tag, visit_id, kind, body, left, (0, ""), repeat_harmless)

    def _claim(
        self,
        now: float,
        tag: int,
        visit_id: str,
        kind: Kind,
        body: bytes,
        left: float,
        above: tuple[int, str],
        repeat_harmless: bool = False,
        orphan: bool = False,
    ) -> None:
        names = choose_acceptors(visit_id, self._acceptors)
        sessions = {n: p.session for n, p in self.peers.items() if p.session}
        proposer = Proposer(
            visit_id,
            self.name,
            names,
            sessions,
            body,
            left,
            repeatable=kind is not Kind.MUTATING,
            client_retried=not orphan,
        )
        visit = self._track(tag, visit_id, kind, proposer, now + left, repeat_harmless)
        visit.registered, visit.orphan, visit.claimed_at = True, orphan, now
        self._wait_for(now, visit, "claim", CLAIM_WAIT_FACTOR * self.wait_ms)
        proposer.unreachable = {n for n, _ in self._acceptors if n not in sessions}
        proposer.claim(above)
        proposer.recheck_claim()
        self._flush(now, visit)

    def _adopt(self, now: float, visit_id: str, owner: str) -> None:
        record = self.acceptor.records.get(visit_id)
        if (
            record is None
            or record.finished
            or record.promised[1] != owner
            or record.client_deadline <= now
            or not record.body
        ):
            return
        if visit_id in self._by_id:
            return
        kind = KIND_BY_BYTE.get(record.body[:1], Kind.MUTATING)
        if kind is Kind.READ_LIKE:
            return  # no client waits for it, and one that asks again has it run
        self._last_adopted_tag -= 1
        self._claim(
            now,
            self._last_adopted_tag,
            visit_id,
            kind,
            record.body,
            record.client_deadline - now,
            record.promised,
            orphan=True,
        )

    def _advance_claim(self, now: float, visit: OwnedVisit) -> None:
        """Advance a claimed visit by what is known so far."""
        proposer = visit.proposer
        if proposer.answer is not None:
            if proposer.outcome() == "answered":
                self.counts["kept_answers"] += not visit.orphan
                return self._finish("answer", visit, proposer.answer)
            return self._finish("unknown", visit)
        if proposer.lost:
            if proposer.superseded and visit.claims < MAX_CLAIMS and not visit.orphan:
                # another balancer has just claimed it too: claim with a higher ballot
                visit.claims += 1
                proposer.claim(max(proposer.promised, proposer.ballot))
                return self._flush(now, visit)
            return self._widen_claim(now, visit)
        if not proposer.owned:
            return
        if visit.orphan and proposer.closed > NO_BALLOT:
            return self._discard(visit)
        if not proposer.known_to_quorum:
            return self._widen_claim(now, visit)
        if (
            proposer.may_have_run
            and visit.kind is not Kind.READ_LIKE
            and proposer.grant_holder_linked
            and not visit.orphan
        ):
            # The balancer that may have sent it is alive: its answer may still come, and is forwarded to us.
            # Prevents a second fetch while the first is in progress.
            if visit.waiting_for != "answer":
                self._wait_for(now, visit, "answer", inf)
            return
        if proposer.may_have_run and visit.kind is Kind.MUTATING:
            return self._finish("unknown", visit)
        visit.waiting_for, visit.wait_until = "", inf
        # Ages and the time left are as of the replies, the first of which may have come right after the
        # claim. Upstreams forget a key, and clients stop waiting, by the clock, also while we wait.
        waited = now - visit.claimed_at
        prior_fetches: list[PriorFetch] = [
            (zone, cell, age + waited) for _, _, zone, cell, age in sorted(proposer.grants.values())
        ]
        if visit.kind is Kind.READ_LIKE and proposer.closed == NO_BALLOT:
            # fetches that the owner may have sent without a grant
            prior_fetches += [("", 0, 0.0)] * max(0, self.max_fetches - 1)
        if len(prior_fetches) >= self.max_fetches:
            return self._finish_unknown(visit)  # no fetch is left, so the visit would be queued for nothing
        self.counts["taken_over"] += 1
        if visit.orphan:
            time_left = max(0.0, proposer.time_left - waited)
            self._emit("adopt", visit, (proposer.body, visit.kind, prior_fetches, time_left))
        else:
            self._emit("take", visit, prior_fetches)

    def _widen_claim(self, now: float, visit: OwnedVisit) -> None:
        """The acceptors that we chose do not know the visit. While a bank starts up, its owner may have
        chosen others: so all linked members are asked, once. After our claim nobody that does know
        it can finish it."""
        proposer = visit.proposer
        linked_members = [n for n, p in self.peers.items() if p.linked and p.session]
        if not visit.orphan and not visit.widened and not set(linked_members) <= set(proposer.acceptors):
            visit.widened = True
            self._reclaim(now, visit, linked_members)
        elif (
            self.bank_incomplete
            and not visit.orphan
            and visit.waiting_for == "claim"
            and now < visit.wait_until
        ):
            visit.reclaim_at = now + RECLAIM_MS
        else:
            self._finish_unknown(visit)

    def _reclaim(self, now: float, visit: OwnedVisit, names: list[str]) -> None:
        """Claim the visit again, at these acceptors."""
        proposer = visit.proposer
        proposer.acceptors = tuple(sorted(names))
        proposer.sessions = {n: p.session for n, p in self.peers.items() if p.session}
        proposer.unreachable = {n for n in names if n not in proposer.sessions}
        proposer.claim(max(proposer.ballot, proposer.promised))
        proposer.recheck_claim()
        self._flush(now, visit)

    # messages

    def receive(self, now: float, name: str, message: Message) -> None:
        peer = self.peers.setdefault(name, Peer(True))
        peer.last_heard, peer.unanswered_since = now, inf
        if isinstance(message, AcceptorSession):
            peer.session, peer.serial = message.session, 0
        elif isinstance(message, Heartbeat):
            if not message.back:
                self.out.append((name, Heartbeat(back=True)))
        elif isinstance(message, TakeoverMessage):
            if message.sender != name:
                self.counts["foreign_words"] += 1  # a member may only send messages in its own name
            elif message.kind in ("yes", "no"):
                visit = self._by_id.get(message.visit_id)
                if visit is not None:
                    visit.proposer.receive(message)
                    self._flush(now, visit)
            else:
                self.out.append((name, self.acceptor.receive(now, message)))
                self._deliver_unsolicited(now)

    def _deliver_unsolicited(self, now: float) -> None:
        """Route the acceptor's unsolicited messages; those for ourselves are processed at once."""
        out, self.acceptor.out = self.acceptor.out, []
        for message in out:
            if message.receiver != self.name:
                self.out.append((message.receiver, message))
            elif (visit := self._by_id.get(message.visit_id)) is not None:
                visit.proposer.receive(message)
                self._check_progress(now, visit)

    def _flush(self, now: float, visit: OwnedVisit, last: bool = False) -> None:
        """Send a proposer's messages; those to our own acceptor are answered here. `last`: the visit ends
        with them."""
        proposer = visit.proposer
        if last:
            self._discard(visit)
        while proposer.out:
            out, proposer.out = proposer.out, []
            for message in out:
                if message.receiver == self.name:
                    proposer.receive(self.acceptor.receive(now, message))
                else:
                    self.out.append((message.receiver, message))
                    if (peer := self.peers.get(message.receiver)) is not None:
                        peer.unanswered_since = min(peer.unanswered_since, now)
        if self.acceptor.out:
            self._deliver_unsolicited(now)
        if not last:
            self._check_progress(now, visit)

    def _check_progress(self, now: float, visit: OwnedVisit) -> None:
        """Check whether what a visit waits for has happened."""
        proposer = visit.proposer
        if visit.waiting_for in ("claim", "answer"):
            self._advance_claim(now, visit)
        elif proposer.superseded or (visit.waiting_for == "told" and proposer.promised > proposer.ballot):
            # A balancer that registered the same id has not taken it over: its client used one id twice.
            if proposer.has_quorum or proposer.promised[0]:
                self._lose(visit)
            else:
                self._finish("unknown", visit)
        elif visit.waiting_for == "permit":
            if proposer.granted:
                visit.waiting_for, visit.wait_until = "", inf
                self._emit("go", visit, visit.waiting_fetch)
            elif proposer.lost:
                visit.waiting_for, visit.wait_until = "", inf
                # Acceptors that know the visit as ours let nobody else have it, but we have no grant.
                self._emit(
                    "go" if proposer.unregistered and self._proceed_without_quorum(visit) else "no",
                    visit,
                    visit.waiting_fetch,
                )
        elif visit.waiting_for == "refuse":
            if proposer.refusal_recorded:
                self._finish("refused", visit)
            elif proposer.lost:
                # Unregistered: no quorum has it, so nobody can run it. Else it had one that is gone.
                self._finish("refused" if proposer.unregistered else "unknown", visit)
        elif visit.waiting_for == "told":
            if len(proposer._accepts) >= proposer.quorum:
                self._finish("told", visit)
        elif proposer.unregistered and visit.kind is Kind.READ_LIKE:
            self._discard(visit)

    def _lose(self, visit: OwnedVisit) -> None:
        """Another balancer has taken the visit over: no fetch of it is sent here any more."""
        self._discard(visit)
        self._superseded[visit.tag] = visit
        self.counts["lost"] += 1
        self._emit("lost", visit)

    def _proceed_without_quorum(self, visit: OwnedVisit) -> bool:
        """A quorum has refused to store the visit, so nobody can take it over; returns whether it proceeds
        without a quorum."""
        self._discard(visit)
        self.counts["uncovered"] += 1
        refused = self.refuse_without_quorum and visit.kind is not Kind.READ_LIKE
        self.counts["uncovered_refused"] += refused
        return not refused

    def _emit(self, what: str, visit: OwnedVisit, details: Any = None) -> None:
        self.events.append((what, visit.tag, details))

    def _finish(self, what: str, visit: OwnedVisit, details: Any = None) -> None:
        self._discard(visit)
        if visit.orphan:
            return
        self.counts[what] += what == "unknown"
        self._emit(what, visit, details)


def _event_if_unknown(repeat_harmless: bool) -> str:
    """What a client that asks is told if nobody knows whether its visit ran: to retry only if that is
    harmless."""
    return "bounce" if repeat_harmless else "unknown"


# by the first byte of an encoded request
KIND_BY_BYTE = {b"r": Kind.READ_LIKE, b"t": Kind.TAGGED, b"m": Kind.MUTATING}
