"""Work in hand that survives its balancer: who may send a fetch, once. Pure.

The sentences, shared with the exhaustive check (`check/guards.py`) and the rig's referee:

1. A visit whose balancer is lost is finished by at most one other at a time, the one with the highest ballot.
2. A mutating visit is never sent a second time if it may have run.
3. A balancer from which a visit was taken sends nothing for it any more.
4. Whoever asks for the outcome is told the answer, that it never ran, or that it may have run: never a guess.

How. Each visit has three guardians, other balancers that its owner names when it takes it. Before a fetch
that must not be repeated is written, a majority of them must have recorded a *permit* under the owner's
ballot. Taking over is a higher ballot, promised by a majority: from then on permits under lower ones are
refused, and each guardian tells what it had recorded. Any two majorities share a guardian, so either the one
who takes over learns of the permit (it may have run, and is not sent again), or the owner does not get it (it
never ran). No clock is needed for that: a process stopped between a check and a write had its permit recorded
before. Who tells a client that its visit never ran has that recorded first: its ballot is closed, it sends
nothing under it any more, and nobody takes it over; it runs only if the client asks again, under a higher
ballot. The answer of an upstream is a fact and no decision: it is recorded under any ballot.

A guardian forgets, to stay bounded or since it was restarted, so words of the past must not meet one that
forgot: each names the session in which its visit was taken, a number that a guardian gives out when a link
begins and never again, and a registration has a place in its session, so that it counts once. Who takes over
counts only guardians that know the visit, and takes their list of guardians for its own; where a majority of
them no longer knows it, it may have run.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable
from dataclasses import dataclass, field
from hashlib import blake2b
from math import inf

from ospreyline.fleet.frames import NOBODY, Ballot, Permit, Say

GUARDS = 3  # of a visit
NEVER_RAN = b"\0never ran"  # in place of an answer: the ballot is closed, nothing of it may have run
MAY_HAVE_RUN = b"\0may have run"  # likewise: its balancer has given it up
MOST_WORKS = 4_096  # that a guardian holds
MOST_BYTES = 16 << 20  # of requests and answers that it holds


def guardians(work: str, members: Iterable[tuple[str, str]], count: int = GUARDS) -> list[str]:
    """Who guards a visit: members as (name, zone), spread by a hash, of as many zones as there are."""

    def place(member: tuple[str, str]) -> bytes:
        return blake2b(member[0].encode(), digest_size=8, key=work.encode()[:64]).digest()

    # guards: two of three in one zone would be lost with it, and a majority with them
    ordered = sorted(members, key=place)
    seen: dict[str, int] = {}
    ranked = []
    for i, (name, zone) in enumerate(ordered):
        seen[zone] = seen.get(zone, 0) + 1
        ranked.append((seen[zone], i, name))
    return [name for _, _, name in sorted(ranked)[:count]]


@dataclass(slots=True)
class Kept:
    """What a guardian has recorded of one visit."""

    promised: Ballot
    guards: tuple[str, ...] = ()
    body: bytes = b""
    answer: bytes = b""
    answered: bool = False
    closed: Ballot = NOBODY
    permits: dict[tuple[Ballot, int], tuple[str, int, float]] = field(default_factory=dict)
    session: int = 0  # of the link on which it was registered, or claimed last
    until: float = 0.0
    ends: float = 0.0  # ms; its client waits no longer

    def holder(self) -> str:
        """Who may have a fetch of it out; empty: nobody."""
        last = max(self.permits)[0] if self.permits else NOBODY
        return last[1] if last > self.closed else ""

    @property
    def over(self) -> bool:
        """Nothing more is to come of it, or it was only asked about: it may make room."""
        return self.answered or self.closed >= self.promised or not self.guards


class Guardian:
    """One balancer's records for the others. Every word is answered at once, yes or no.

    `out` holds what is said unasked: that a visit has its answer, or that who had a permit is gone, to who
    claimed it last.
    """

    def __init__(self, name: str, keep_for: float, start: int) -> None:
        """`keep_for` in ms, well over the longest client timeout; `start`: of this process, Unix ms."""
        self.name = name
        self.keep_for = keep_for
        self.works: OrderedDict[str, Kept] = OrderedDict()  # oldest first
        self.sessions: dict[str, int] = {}  # by member: of its link
        self.out: list[Say] = []
        self.bytes = 0
        self.refused = 0
        self._serials: dict[str, int] = {}  # by member: of its last registration on that link
        self._next = start << 20

    def linked(self, member: str) -> int:
        """A link to a member begins: its session, never given out before; former ones are over."""
        self._next += 1
        self.sessions[member] = self._next
        self._serials[member] = 0
        return self._next

    def unlinked(self, now: float, member: str) -> None:
        """The link to a member has ended: who waits for the end of its fetch is told."""
        self.sessions.pop(member, None)
        for work, kept in self.works.items():
            if not kept.over and kept.holder() == member:
                self._tell(now, work, kept, member)

    def heard(self, now: float, say: Say) -> Say:
        """Record what is said, if it may be; the answer."""
        self.forget(now)
        kept = self.works.get(say.work)
        if self.sessions.get(say.by) != say.session:
            return self._no(say, kept)
        if say.what == "claim":
            return self._claim(now, say, kept)
        if say.guards:
            kept = self._registered(now, say, kept)
            if kept is None:
                return self._no(say, self.works.get(say.work))
        if kept is None:
            return self._no(say, kept)
        if say.what == "answer" and say.body != NEVER_RAN:
            return self._answered(now, say, kept)
        if say.ballot < kept.promised:
            return self._no(say, kept)
        kept.promised = say.ballot
        if say.what == "permit":
            kept.permits[say.ballot, say.number] = (say.zone, say.cell, now)
        elif say.what == "answer":
            kept.closed = say.ballot
        return self._yes(now, say, kept)

    def _registered(self, now: float, say: Say, kept: Kept | None) -> Kept | None:
        """The visit as its owner names it; None if it cannot be."""
        if kept is not None:
            return kept if kept.promised == say.ballot else None  # it was claimed, or is another's
        # guards: a registration that comes again would bring back a visit that was taken and forgotten
        if say.serial <= self._serials[say.by]:
            return None
        self._serials[say.by] = say.serial  # one that is refused is not taken later, either
        if not self._room(len(say.body)):
            return None
        self.bytes += len(say.body)
        kept = self.works[say.work] = Kept(
            say.ballot,
            say.guards,
            say.body,
            session=say.session,
            until=now + self.keep_for,
            ends=now + say.left,
        )
        return kept

    def _answered(self, now: float, say: Say, kept: Kept) -> Say:
        """It has run and this came back, or its balancer has given it up."""
        if not kept.answered:
            if say.body == MAY_HAVE_RUN and say.ballot < kept.promised:
                return self._no(say, kept)  # it is another's to give up
            if not self._room(len(say.body), but=say.work):
                return self._no(say, kept)
            self.bytes += len(say.body) - len(kept.body)
            kept.answer, kept.answered, kept.body = say.body, True, b""
            self._tell(now, say.work, kept, say.by)
        return self._yes(now, say, kept)

    def _claim(self, now: float, say: Say, kept: Kept | None) -> Say:
        if kept is None:
            # guards: a register that comes after it must not bring the owner's ballot back
            if not self._room(0):
                return self._no(say, kept)
            kept = self.works[say.work] = Kept(say.ballot, until=now + self.keep_for)
        elif say.ballot < kept.promised:
            return self._no(say, kept)
        kept.promised, kept.session = say.ballot, say.session
        kept.until = max(kept.until, now + self.keep_for)
        self.works.move_to_end(say.work)
        return self._yes(now, say, kept)

    def _room(self, more: int, but: str = "") -> bool:
        """Whether so many bytes of one more visit can be kept; answered ones make room, oldest first."""

        def full() -> bool:
            return len(self.works) >= MOST_WORKS + bool(but) or self.bytes + more > MOST_BYTES

        # guards: whatever others send, what is kept for them is bounded
        while full():
            done = next((w for w, kept in self.works.items() if kept.over and w != but), None)
            if done is None:
                return False
            self._drop(done)
        return True

    def _drop(self, work: str) -> None:
        kept = self.works.pop(work)
        self.bytes -= len(kept.body) + len(kept.answer)

    def forget(self, now: float) -> None:
        """What is over is dropped, oldest first."""
        while self.works:
            work, kept = next(iter(self.works.items()))
            if kept.until > now:
                return
            self._drop(work)

    def owned(self, member: str) -> list[str]:
        """The visits without an end that a member had in hand, over a link that has ended."""
        session = self.sessions.get(member)
        # guards: its next process may be here already, and has what it took since
        return [
            work
            for work, kept in self.works.items()
            if kept.promised[1] == member and kept.session != session and kept.guards and not kept.over
        ]

    def _tell(self, now: float, work: str, kept: Kept, by: str) -> None:
        name = kept.promised[1]
        if kept.promised[0] and name != by and name in self.sessions:
            asked = Say("claim", work, kept.promised, self.sessions[name], self.name, name)
            self.out.append(self._yes(now, asked, kept))

    def _yes(self, now: float, say: Say, kept: Kept) -> Say:
        if say.what != "claim":
            return Say(
                "yes",
                say.work,
                say.ballot,
                say.session,
                say.by,
                self.name,
                promised=kept.promised,
                about=say.what,
                guards=kept.guards,
                number=say.number,
            )
        permits = tuple(
            sorted(
                (ballot, number, zone, cell, now - at)
                for (ballot, number), (zone, cell, at) in kept.permits.items()
            )
        )
        return Say(
            "yes",
            say.work,
            say.ballot,
            say.session,
            say.by,
            self.name,
            kept.answer if kept.answered else kept.body,
            permits,
            kept.promised,
            say.what,
            kept.guards,
            kept.answered,
            left=max(0.0, kept.ends - now),
            here=kept.holder() in self.sessions,
            closed=kept.closed,
        )

    def _no(self, say: Say, kept: Kept | None) -> Say:
        self.refused += 1
        promised = kept.promised if kept is not None else (0, "")
        return Say(
            "no",
            say.work,
            say.ballot,
            say.session,
            say.by,
            self.name,
            promised=promised,
            about=say.what,
            number=say.number,
        )


class Work:
    """One visit in the hands of one balancer, its owner or one that takes it over.

    `out` holds what is to be said. `covered`: a majority guards it. `mine`: it is ours under our ballot, as
    far as we know; `lost`: it is not, another has it or too few guardians are left; `taken`: another has it.
    `permitted`: the fetch that was asked for last may be written; `refused`: its client may be told that it
    never ran.
    """

    __slots__ = (
        "_asked",
        "_closing",
        "_noes",
        "_number",
        "_registered",
        "_registering",
        "_yeses",
        "again",
        "anew",
        "answer",
        "away",
        "ballot",
        "body",
        "closed",
        "covered",
        "ever",
        "guards",
        "holder_here",
        "id",
        "known",
        "left",
        "lost",
        "may_have_run",
        "me",
        "mine",
        "out",
        "permits",
        "permitted",
        "promised",
        "refused",
        "serials",
        "sessions",
        "taken",
        "unheld",
    )

    def __init__(
        self,
        id_: str,
        me: str,
        guards: Iterable[str],
        sessions: dict[str, int],
        body: bytes = b"",
        left: float = 0.0,
        serials: dict[str, int] | None = None,
        again: bool = False,
        anew: bool = False,
    ) -> None:
        """`guards`: who guards it, as its owner names them; who takes it over may guess, and is told.
        `sessions`: that of our link to each member when the visit was taken, or is claimed; `serials`: the
        place of its registration in each. `left`: ms that its client waits. `again`: its kind may be sent
        though it may have run, within what the decisions know of that. `anew`: its client asks again, so that
        it may run though its ballots so far are closed."""
        self.id, self.me, self.body, self.left, self.again = id_, me, body, left, again
        self.guards = tuple(guards)
        self.sessions = dict(sessions)
        self.serials = dict(serials or {})
        self.ballot: Ballot = (0, me)
        self.promised: Ballot = (0, "")  # the highest that we heard of
        self.out: list[Say] = []
        self.covered = self.mine = self.lost = self.may_have_run = self.permitted = self.taken = False
        self.refused = self._closing = self._registered = self._registering = False
        self.known = False  # a majority of its guardians know the visit, once it is claimed
        self.ever = False  # a fetch of ours was permitted
        self.unheld = False  # a majority has refused to register it, so that nobody can take it from us
        self.holder_here = False  # somebody who has a permit is still linked to a guardian
        self.permits: dict[tuple[Ballot, int], Permit] = {}  # that others had, once it is claimed
        self.anew, self.closed = anew, NOBODY
        self.away: set[str] = set()  # guardians that cannot be asked now: a claim does not wait for them
        self.answer: bytes | None = None
        self._asked = ""
        self._number = 0
        self._yeses: dict[str, Say] = {}
        self._noes: set[str] = set()

    @property
    def majority(self) -> int:
        return len(self.guards) // 2 + 1

    def _ask(self, what: str, body: bytes = b"", number: int = 0, zone: str = "", cell: int = 0) -> None:
        self._asked, self._number, self._yeses, self._noes = what, number, {}, set()
        first = what in ("register", "permit") and not self._registered and not self.ballot[0]
        self._registered, self._registering = self._registered or first, first
        self.out += [
            Say(
                what,
                self.id,
                self.ballot,
                self.sessions.get(g, 0),
                g,
                self.me,
                self.body if first else body,
                guards=self.guards if first else (),
                number=number,
                zone=zone,
                cell=cell,
                left=self.left if first else 0.0,
                serial=self.serials.get(g, 0) if first else 0,
            )
            for g in self.guards
        ]

    def register(self) -> None:
        """The owner has taken it, and sends nothing for it yet."""
        self.mine = True
        self._ask("register")

    def claim(self, above: Ballot) -> None:
        """Take it over, with a ballot over one that was seen."""
        self.ballot = (above[0] + 1, self.me)
        self.mine = self.lost = self.taken = False
        self._ask("claim")

    def permit(self, number: int = 0, zone: str = "", cell: int = 0) -> None:
        """A fetch is wanted: `permitted` tells when it may be written. An owner's first registers, too."""
        self.mine = self.mine or not (self._registered or self.ballot[0])
        barred = (self.may_have_run and not self.again) or (self.closed > NOBODY and not self.anew)
        if self.mine and not self.lost and not self._closing and not barred:
            self.permitted = False
            self._ask("permit", number=number, zone=zone, cell=cell)

    def refuse(self) -> None:
        """It is not to run, or no more: `refused` tells when its client may be told so. Where it may not run
        again the caller knows that no fetch of ours may have run; from now on none is permitted."""
        if self.mine and (self.again or not self.may_have_run):
            self._closing, self.permitted = True, False
            self._ask("answer", NEVER_RAN)

    def answered(self, body: bytes) -> None:
        """It has its answer: guardians keep it for who asks again."""
        self._ask("answer", body)

    def heard(self, say: Say) -> None:
        """A guardian's answer; doubled, late and foreign ones change nothing."""
        if say.by not in self.guards or say.ballot != self.ballot:
            return
        if say.about == "claim" and say.what == "yes" and say.answered:
            self.answer = say.body if self.answer is None else self.answer  # a fact, whatever we wait for
        if say.about != self._asked or say.number != self._number:
            return
        self.promised = max(self.promised, say.promised)
        if say.what == "no":
            self._noes.add(say.by)
            self.taken = self.taken or say.promised > self.ballot
            if self.taken or (len(self._noes) >= self.majority and self._asked != "answer"):
                self.lost = True  # another has it, or too few guardians are left
                # guards: those that refuse a later word may have registered it, and tell it to who claims it
                self.unheld = self._registering and len(self._noes) >= self.majority
            elif self._asked == "claim":
                self._claimed()
            return
        self._yeses[say.by] = say
        if self._asked == "claim":
            self._claimed()
        elif len(self._yeses) >= self.majority and not self.lost:
            self.covered = True
            self.permitted = self.permitted or self._asked == "permit"
            self.ever = self.ever or self.permitted
            self.refused = self.refused or (self._closing and self._asked == "answer")

    def looked(self) -> None:
        """Some guardians cannot be asked: what is known may be all that there is to know."""
        if self._asked == "claim":
            self._claimed()

    def _claimed(self) -> None:
        """Whether a majority of the visit's guardians have promised, and what they had recorded."""
        knowing = [say for say in self._yeses.values() if say.guards]
        self.holder_here = any(say.here for say in self._yeses.values())
        if self.lost or self.mine:
            return
        if knowing and set(knowing[0].guards) != set(self.guards):
            # guards: two that take over by different lists could each have a majority of their own
            self.guards = knowing[0].guards
            return self.claim(self.ballot)
        there = sum(g in self._yeses or g in self._noes or g in self.away for g in self.guards)
        if len(knowing) < self.majority and there < len(self.guards):
            return  # one that knows it may yet answer
        if len(self._yeses) < self.majority:
            self.lost = there == len(self.guards)
            return
        # guards: one that has forgotten says nothing of what it may have permitted
        self.known = len(knowing) >= self.majority
        self.may_have_run = not self.known
        # a ballot was closed by who sends nothing under it, nor could anybody under one before it
        self.closed = max(say.closed for say in self._yeses.values())
        left = inf
        for say in self._yeses.values():
            for permit in say.permits:
                if self.closed < permit[0] != self.ballot:
                    self.may_have_run = True
                    known = self.permits.get(permit[:2])
                    # the oldest record of it is the nearest to what was written
                    self.permits[permit[:2]] = permit if known is None or permit[4] > known[4] else known
            if say.body and not say.answered:
                self.body = say.body
            left = min(left, say.left) if say.guards else left
        self.left = left if left < inf else 0.0
        self.mine = self.covered = True

    def outcome(self) -> str:
        """What a client that asks may be told: answered, may have run, never ran; empty: not yet known."""
        if self.answer is not None:
            return "may have run" if self.answer == MAY_HAVE_RUN else "answered"
        if not self.mine:
            return ""
        return "may have run" if self.may_have_run else "never ran"
