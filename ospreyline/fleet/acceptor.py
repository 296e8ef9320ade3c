"""Takeover of visits whose balancer has failed: which balancer may send a fetch. Pure, Paxos-like.

The invariants, also checked by the exhaustive explorer (`check/guards.py`) and by the test rig's referee:

1. A visit whose balancer is lost is finished by at most one other at a time, the one with the highest ballot.
2. A mutating visit is never sent a second time if it may have run.
3. A balancer from which a visit was taken over sends nothing more for it.
4. A client that asks for the outcome gets the answer, "never ran" or "may have run": never a guess.

Protocol. Each visit has three acceptors, other balancers that its owner names when it accepts the visit.
Before a fetch that must not be repeated is written, a quorum of them must have recorded a *grant* under the
owner's ballot. Taking over is a claim with a higher ballot, promised by a quorum: from then on grants under
lower ballots are refused, and each acceptor reports the grants that it had recorded. Any two quorums share an
acceptor, so either the claimant learns of the grant (the fetch may have run and is not sent again), or the
owner does not get it (the fetch never ran). No clock is needed: a process that is stopped between the check
and the write had its grant recorded before. A balancer that tells a client that its visit never ran has that
recorded first: this closes its ballot, nothing more is sent under it, and nobody takes the visit over; it
runs only if the client asks again, under a higher ballot. A balancer that ends a visit whose fetches may have
run gives it up instead: nothing more is sent under its ballot, and its grants stay recorded for claimants. An
upstream's answer is a fact, not a decision: it is recorded under any ballot, and so is that a visit was given
up.

An acceptor loses records when it expires or evicts them and when it restarts, so an old message must not be
accepted by an acceptor that no longer has the record. Each message therefore names the session in which the
visit was accepted, a number that an acceptor issues once per link, and a registration has a serial within its
session, so that it counts once. A claimant counts only acceptors that know the visit and adopts the visit's
list of acceptors as its own; if a quorum of them no longer knows the visit, it may have run.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable
from dataclasses import dataclass, field
from hashlib import blake2b
from math import inf
from typing import Any

from ospreyline.fleet.frames import NO_BALLOT, Ballot, Grant, TakeoverMessage

ACCEPTORS_PER_VISIT = 3  # of a visit
NEVER_RAN = b"\0never ran"  # answer value: the ballot is closed and nothing of it may have run
MAY_HAVE_RUN = b"\0may have run"  # answer value: the owner has given the visit up
MAX_RECORDS = 4_096  # that an acceptor stores
MAX_STORED_BYTES = 16 << 20  # of requests and answers that an acceptor stores


def choose_acceptors(
    visit_id: str, members: Iterable[tuple[str, str]], count: int = ACCEPTORS_PER_VISIT
) -> list[str]:
    """The acceptors of a visit: drawn by hash from `members` (name, zone), in as many zones as possible."""

    def hash_key(member: tuple[str, str]) -> bytes:
        return blake2b(member[0].encode(), digest_size=8, key=visit_id.encode()[:64]).digest()

    # Prefers distinct zones: losing a zone with two of the three acceptors would lose the quorum.
    ordered = sorted(members, key=hash_key)
    seen: dict[str, int] = {}
    ranked = []
    for i, (name, zone) in enumerate(ordered):
        seen[zone] = seen.get(zone, 0) + 1
        ranked.append((seen[zone], i, name))
    return [name for _, _, name in sorted(ranked)[:count]]


@dataclass(slots=True)
class TakeoverRecord:
    """What an acceptor has recorded of one visit. `body`: the encoded request; empty once it is answered."""

    promised: Ballot
    acceptors: tuple[str, ...] = ()
    body: bytes = b""
    answer: bytes = b""
    answered: bool = False
    closed: Ballot = NO_BALLOT
    given_up: Ballot = NO_BALLOT  # its balancer sends nothing more under it; what it sent may have run
    grants: dict[tuple[Ballot, int], tuple[str, int, float]] = field(default_factory=dict)
    session: int = 0  # of the link on which it was registered or last claimed
    expires_at: float = 0.0
    client_deadline: float = 0.0  # ms; when the client stops waiting

    def grant_holder(self) -> str:
        """The balancer that may have a fetch of the visit in progress; empty: none."""
        last = max(self.grants)[0] if self.grants else NO_BALLOT
        return last[1] if last > max(self.closed, self.given_up) else ""

    @property
    def finished(self) -> bool:
        """Whether the record may be evicted: the visit ended, or was only claimed and never registered."""
        over = max(self.closed, self.given_up) >= self.promised
        return self.answered or over or not self.acceptors


class Acceptor:
    """One balancer's records of the visits of others. Every message is answered at once, yes or no.

    `out` holds unsolicited messages to the latest claimant: the visit has its answer, or the link to the
    balancer that had a grant has ended.
    """

    def __init__(self, name: str, retention_ms: float, start: int) -> None:
        """`retention_ms` should be well over the longest client timeout; `start`: process start, Unix ms."""
        self.name = name
        self.retention_ms = retention_ms
        self.records: OrderedDict[str, TakeoverRecord] = OrderedDict()  # by visit id, oldest first
        self.sessions: dict[str, int] = {}  # by member: session of its current link
        self.out: list[TakeoverMessage] = []
        self.stored_bytes = 0
        self.rejections = 0
        # ids of the records of visits that were claimed and never registered, oldest first
        self._unregistered: OrderedDict[str, None] = OrderedDict()
        self._serials: dict[str, int] = {}  # by member: serial of its last registration on that link
        self._last_session = start << 20

    def start_session(self, member: str) -> int:
        """Begin a session on a new link to a member; returns its number, never used before; older ones are
        void."""
        self._last_session += 1
        self.sessions[member] = self._last_session
        self._serials[member] = 0
        return self._last_session

    def end_session(self, now: float, member: str) -> None:
        """The link to a member has ended: notify claimants that wait for its fetch to end."""
        self.sessions.pop(member, None)
        for visit_id, record in self.records.items():
            if not record.finished and record.grant_holder() == member:
                self._notify_claimant(now, visit_id, record, member)

    def receive(self, now: float, message: TakeoverMessage) -> TakeoverMessage:
        """Record a message if its session and ballot allow; returns the reply."""
        self.expire(now)
        record = self.records.get(message.visit_id)
        if self.sessions.get(message.sender) != message.session:
            return self._reject(message, record)
        if message.kind == "claim":
            return self._promise(now, message, record)
        if message.acceptors:
            record = self._register(now, message, record)
            if record is None:
                return self._reject(message, self.records.get(message.visit_id))
        if record is None:
            return self._reject(message, record)
        if message.kind == "answer" and message.body != NEVER_RAN:
            return self._record_answer(now, message, record)
        if message.kind == "give up":
            # a fact about its sender, like an answer, whoever has the visit by now
            record.given_up = max(record.given_up, message.ballot)
            self._notify_claimant(now, message.visit_id, record, message.sender)
            return self._accept(now, message, record)
        if message.ballot < record.promised:
            return self._reject(message, record)
        record.promised = message.ballot
        if message.kind == "permit":
            record.grants[message.ballot, message.number] = (message.zone, message.cell, now)
        elif message.kind == "answer":
            record.closed = message.ballot
        return self._accept(now, message, record)

    def _register(
        self, now: float, message: TakeoverMessage, record: TakeoverRecord | None
    ) -> TakeoverRecord | None:
        """The record of a registered visit; None if the registration is refused."""
        if record is not None:
            return record if record.promised == message.ballot else None  # claimed, or owned by another
        # Without this, a duplicated registration would bring back a visit that was claimed and evicted.
        if message.serial <= self._serials[message.sender]:
            return None
        self._serials[message.sender] = message.serial  # a refused one must not succeed later either
        if not self._make_room(len(message.body)):
            return None
        self.stored_bytes += len(message.body)
        record = self.records[message.visit_id] = TakeoverRecord(
            message.ballot,
            message.acceptors,
            message.body,
            session=message.session,
            expires_at=now + self.retention_ms,
            client_deadline=now + message.time_left_ms,
        )
        return record

    def _record_answer(self, now: float, message: TakeoverMessage, record: TakeoverRecord) -> TakeoverMessage:
        """Record the visit's answer, or that its balancer has given it up (MAY_HAVE_RUN)."""
        if not record.answered:
            if message.body == MAY_HAVE_RUN and message.ballot < record.promised:
                return self._reject(message, record)  # only the current owner may give it up
            if not self._make_room(len(message.body), excluding=message.visit_id):
                return self._reject(message, record)
            self.stored_bytes += len(message.body) - len(record.body)
            record.answer, record.answered, record.body = message.body, True, b""
            self._notify_claimant(now, message.visit_id, record, message.sender)
        return self._accept(now, message, record)

    def _promise(
        self, now: float, message: TakeoverMessage, record: TakeoverRecord | None
    ) -> TakeoverMessage:
        if record is None:
            # Recorded even if unknown, so that a late registration cannot restore the owner's ballot.
            if not self._make_room(0):
                return self._reject(message, record)
            record = self.records[message.visit_id] = TakeoverRecord(
                message.ballot, expires_at=now + self.retention_ms
            )
            self._unregistered[message.visit_id] = None
        elif message.ballot < record.promised:
            return self._reject(message, record)
        record.promised, record.session = message.ballot, message.session
        record.expires_at = max(record.expires_at, now + self.retention_ms)
        self.records.move_to_end(message.visit_id)
        if message.visit_id in self._unregistered:
            self._unregistered.move_to_end(message.visit_id)
        return self._accept(now, message, record)

    def _make_room(self, added_bytes: int, excluding: str = "") -> bool:
        """Evict finished records, oldest first, until one more of this size fits; False if it cannot.
        `excluding`: a record to keep, which is being updated."""

        def full() -> bool:
            return (
                len(self.records) >= MAX_RECORDS + bool(excluding)
                or self.stored_bytes + added_bytes > MAX_STORED_BYTES
            )

        # Bounds the memory used for other balancers, whatever they send.
        while full():
            done = self._first_evictable(excluding)
            if done is None:
                return False
            self._discard(done)
        return True

    def _first_evictable(self, excluding: str) -> str | None:
        """The oldest visit that was claimed and never registered; without one, the oldest finished one."""
        # whoever claims ids at random evicts no answers
        unregistered = next((visit_id for visit_id in self._unregistered if visit_id != excluding), None)
        if unregistered is not None:
            return unregistered
        return next(
            (
                visit_id
                for visit_id, record in self.records.items()
                if record.finished and visit_id != excluding
            ),
            None,
        )

    def _discard(self, visit_id: str) -> None:
        record = self.records.pop(visit_id)
        self._unregistered.pop(visit_id, None)
        self.stored_bytes -= len(record.body) + len(record.answer)

    def expire(self, now: float) -> None:
        """Remove expired records, oldest first."""
        while self.records:
            visit_id, record = next(iter(self.records.items()))
            if record.expires_at > now:
                return
            self._discard(visit_id)

    def orphaned_by(self, member: str) -> list[str]:
        """The unfinished visits that a member owned over a link that has ended."""
        session = self.sessions.get(member)
        # The member may have restarted already; visits of its new session are its own.
        return [
            visit_id
            for visit_id, record in self.records.items()
            if record.promised[1] == member
            and record.session != session
            and record.acceptors
            and not record.finished
        ]

    def _notify_claimant(self, now: float, visit_id: str, record: TakeoverRecord, by: str) -> None:
        name = record.promised[1]
        if record.promised[0] and name != by and name in self.sessions:
            asked = TakeoverMessage("claim", visit_id, record.promised, self.sessions[name], self.name, name)
            self.out.append(self._accept(now, asked, record))

    def _accept(self, now: float, message: TakeoverMessage, record: TakeoverRecord) -> TakeoverMessage:
        if message.kind != "claim":
            return self._reply(
                "yes",
                message,
                promised=record.promised,
                acceptors=record.acceptors,
                number=message.number,
            )
        grants = tuple(
            sorted(
                (ballot, number, zone, cell, now - at)
                for (ballot, number), (zone, cell, at) in record.grants.items()
            )
        )
        return self._reply(
            "yes",
            message,
            body=record.answer if record.answered else record.body,
            grants=grants,
            promised=record.promised,
            acceptors=record.acceptors,
            answered=record.answered,
            time_left_ms=max(0.0, record.client_deadline - now),
            grant_holder_linked=record.grant_holder() in self.sessions,
            closed=record.closed,
        )

    def _reject(self, message: TakeoverMessage, record: TakeoverRecord | None) -> TakeoverMessage:
        self.rejections += 1
        promised = record.promised if record is not None else (0, "")
        return self._reply("no", message, promised=promised, number=message.number)

    def _reply(self, kind: str, message: TakeoverMessage, **fields: Any) -> TakeoverMessage:
        """A reply to the sender of `message`, under its ballot and session."""
        return TakeoverMessage(
            kind,
            message.visit_id,
            message.ballot,
            message.session,
            message.sender,
            self.name,
            about=message.kind,
            **fields,
        )


class Proposer:
    """One visit from the side of one balancer: its owner, or one that claims it.

    `out` holds messages to send. `has_quorum`: a quorum of acceptors stores the visit. `owned`: it is ours
    under our ballot, as far as we know; `lost`: another balancer has it or too few acceptors are left;
    `superseded`: another has it. `granted`: the last requested fetch may be written; `refusal_recorded`: the
    client may be told that the visit never ran.
    """

    __slots__ = (
        "_accepts",
        "_fetch_number",
        "_refusing",
        "_registered",
        "_registering",
        "_rejects",
        "_requested",
        "acceptors",
        "answer",
        "ballot",
        "body",
        "client_retried",
        "closed",
        "ever_granted",
        "grant_holder_linked",
        "granted",
        "grants",
        "has_quorum",
        "known_to_quorum",
        "lost",
        "may_have_run",
        "name",
        "out",
        "owned",
        "promised",
        "refusal_recorded",
        "repeatable",
        "serials",
        "sessions",
        "superseded",
        "time_left",
        "unreachable",
        "unregistered",
        "visit_id",
    )

    def __init__(
        self,
        visit_id: str,
        name: str,
        acceptors: Iterable[str],
        sessions: dict[str, int],
        body: bytes = b"",
        time_left: float = 0.0,
        serials: dict[str, int] | None = None,
        repeatable: bool = False,
        client_retried: bool = False,
    ) -> None:
        """`acceptors`: as the owner named them; a claimant may guess, and learns the list from the replies.
        `sessions`: our session at each member when the visit was accepted or claimed; `serials`: the serial
        of its registration in each. `time_left`: ms that the client still waits. `repeatable`: this kind may
        be sent although it may have run, within what the decision module allows. `client_retried`: the client
        asks again, so the visit may run although its earlier ballots are closed.
        """
        self.visit_id, self.name, self.body = visit_id, name, body
        self.time_left, self.repeatable = time_left, repeatable
        self.acceptors = tuple(acceptors)
        self.sessions = dict(sessions)
        self.serials = dict(serials or {})
        self.ballot: Ballot = (0, name)
        self.promised: Ballot = (0, "")  # the highest ballot seen
        self.out: list[TakeoverMessage] = []
        self.has_quorum = self.owned = self.lost = self.may_have_run = self.granted = self.superseded = False
        self.refusal_recorded = self._refusing = self._registered = self._registering = False
        self.known_to_quorum = False  # after a claim: a quorum of acceptors knows the visit
        self.ever_granted = False  # a fetch of ours was granted
        self.unregistered = False  # a quorum refused to register it, so nobody can take it over
        self.grant_holder_linked = False  # a balancer with a grant is still linked to an acceptor
        self.grants: dict[tuple[Ballot, int], Grant] = {}  # after a claim: grants of other balancers
        self.client_retried, self.closed = client_retried, NO_BALLOT
        self.unreachable: set[str] = set()  # acceptors without a link; a claim does not wait for them
        self.answer: bytes | None = None
        self._requested = ""
        self._fetch_number = 0
        self._accepts: dict[str, TakeoverMessage] = {}
        self._rejects: set[str] = set()

    @property
    def quorum(self) -> int:
        return len(self.acceptors) // 2 + 1

    def _broadcast(
        self, what: str, body: bytes = b"", number: int = 0, zone: str = "", cell: int = 0
    ) -> None:
        self._requested, self._fetch_number, self._accepts, self._rejects = what, number, {}, set()
        first = what in ("register", "permit") and not self._registered and not self.ballot[0]
        self._registered, self._registering = self._registered or first, first
        self.out += [
            TakeoverMessage(
                what,
                self.visit_id,
                self.ballot,
                self.sessions.get(g, 0),
                g,
                self.name,
                self.body if first else body,
                acceptors=self.acceptors if first else (),
                number=number,
                zone=zone,
                cell=cell,
                time_left_ms=self.time_left if first else 0.0,
                serial=self.serials.get(g, 0) if first else 0,
            )
            for g in self.acceptors
        ]

    def register(self) -> None:
        """Register a visit that we accepted and have not sent yet."""
        self.owned = True
        self._broadcast("register")

    def claim(self, above: Ballot) -> None:
        """Take the visit over, with a ballot higher than `above`."""
        self.ballot = (above[0] + 1, self.name)
        self.owned = self.lost = self.superseded = False
        self._broadcast("claim")

    def request_grant(self, number: int = 0, zone: str = "", cell: int = 0) -> None:
        """Request a grant for a fetch: `granted` tells when it may be written. An owner's first also
        registers."""
        self.owned = self.owned or not (self._registered or self.ballot[0])
        barred = (self.may_have_run and not self.repeatable) or (
            self.closed > NO_BALLOT and not self.client_retried
        )
        if self.owned and not self.lost and not self._refusing and not barred:
            self.granted = False
            self._broadcast("permit", number=number, zone=zone, cell=cell)

    def refuse(self) -> None:
        """Record that the visit does not run (any more); `refusal_recorded` tells when the client may be told
        so. For a kind that is not repeatable the caller must know that no fetch of ours may have run. No
        fetch is granted from now on."""
        if self.owned and (self.repeatable or not self.may_have_run):
            self._refusing, self.granted = True, False
            self._broadcast("answer", NEVER_RAN)

    def record_answer(self, body: bytes) -> None:
        """Store the visit's answer at the acceptors for clients that ask again."""
        self._broadcast("answer", body)

    def give_up(self) -> None:
        """Report that nothing more is sent under our ballot; what was sent may have run, so its grants
        stay."""
        self.owned = self.granted = False
        self._broadcast("give up")

    def receive(self, message: TakeoverMessage) -> None:
        """Process an acceptor's reply; duplicated, late and foreign replies are ignored."""
        if message.sender not in self.acceptors or message.ballot != self.ballot:
            return
        if message.about == "claim" and message.kind == "yes" and message.answered:
            # an answer counts whatever request is pending
            self.answer = message.body if self.answer is None else self.answer
        if message.about != self._requested or message.number != self._fetch_number:
            return
        self.promised = max(self.promised, message.promised)
        if message.kind == "no":
            self._rejects.add(message.sender)
            self.superseded = self.superseded or message.promised > self.ballot
            if self.superseded or (len(self._rejects) >= self.quorum and self._requested != "answer"):
                self.lost = True  # another has it, or too few acceptors are left
                # Only a refused registration: acceptors that refuse a later message may have registered the
                # visit, and report it to a claimant.
                self.unregistered = self._registering and len(self._rejects) >= self.quorum
            elif self._requested == "claim":
                self._evaluate_claim()
            return
        self._accepts[message.sender] = message
        if self._requested == "claim":
            self._evaluate_claim()
        elif len(self._accepts) >= self.quorum and not self.lost:
            self.has_quorum = True
            self.granted = self.granted or self._requested == "permit"
            self.ever_granted = self.ever_granted or self.granted
            self.refusal_recorded = self.refusal_recorded or (self._refusing and self._requested == "answer")

    def recheck_claim(self) -> None:
        """Evaluate the claim again after `unreachable` has changed."""
        if self._requested == "claim":
            self._evaluate_claim()

    def _evaluate_claim(self) -> None:
        """Evaluate the replies to a claim: whether a quorum has promised, and which grants were recorded."""
        knowing = [message for message in self._accepts.values() if message.acceptors]
        self.grant_holder_linked = any(message.grant_holder_linked for message in self._accepts.values())
        if self.lost or self.owned:
            return
        if knowing and set(knowing[0].acceptors) != set(self.acceptors):
            # With different acceptor lists two claimants could each get a quorum of their own.
            self.acceptors = knowing[0].acceptors
            return self.claim(self.ballot)
        responded = sum(
            g in self._accepts or g in self._rejects or g in self.unreachable for g in self.acceptors
        )
        if len(knowing) < self.quorum and responded < len(self.acceptors):
            return  # an acceptor that knows the visit may still reply
        if len(self._accepts) < self.quorum:
            self.lost = responded == len(self.acceptors)
            return
        # An acceptor without the record cannot tell what it had granted.
        self.known_to_quorum = len(knowing) >= self.quorum
        self.may_have_run = not self.known_to_quorum
        # The balancer that closed a ballot sends nothing more under it; nor can any under an earlier one.
        self.closed = max(message.closed for message in self._accepts.values())
        time_left = inf
        for message in self._accepts.values():
            for grant in message.grants:
                if self.closed < grant[0] != self.ballot:
                    self.may_have_run = True
                    recorded = self.grants.get(grant[:2])
                    # the oldest record is closest to the time of the write
                    self.grants[grant[:2]] = grant if recorded is None or grant[4] > recorded[4] else recorded
            if message.body and not message.answered:
                self.body = message.body
            time_left = min(time_left, message.time_left_ms) if message.acceptors else time_left
        self.time_left = time_left if time_left < inf else 0.0
        self.owned = self.has_quorum = True

    def outcome(self) -> str:
        """What a client that asks may be told: answered, may have run, never ran; empty: not known yet."""
        if self.answer is not None:
            return "may have run" if self.answer == MAY_HAVE_RUN else "answered"
        if not self.owned:
            return ""
        return "may have run" if self.may_have_run else "never ran"
