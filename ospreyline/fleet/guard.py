"""Work in hand that survives its balancer: who may send a mutating fetch, once. Pure; not yet in service.

The sentences, shared with the exhaustive check (`check/guards.py`):

1. A visit whose balancer is lost is finished by at most one other at a time, the one with the highest ballot.
2. A mutating visit is never sent a second time if it may have run.
3. A balancer from which a visit was taken sends nothing for it any more.
4. Whoever asks for the outcome is told the answer, that it never ran, or that it may have run: never a guess.

How. Each visit has three guardians, other balancers that its owner names when it takes it. Before a mutating
fetch is written, a majority of them must have recorded a *permit* under the owner's ballot. Taking over is a
higher ballot, promised by a majority: from then on permits under lower ones are refused, and each guardian
tells what it had recorded. Any two majorities share a guardian, so either the one who takes over learns of
the permit (it may have run, and is not sent again), or the owner does not get it (it never ran). No clock is
needed for that: a process stopped between a check and a write had its permit recorded before. Who tells a
client that its visit never ran has that recorded first, so that nobody takes it over and runs it.

A guardian forgets, to stay bounded or since it was restarted, so words of the past must not meet one that
forgot: each names the session in which its visit was taken, a number that a guardian gives out when a link
begins and never again. Who takes over counts only guardians that know the visit, and takes their list of
guardians for its own; where a majority of them no longer knows it, it may have run.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable
from dataclasses import dataclass, field
from hashlib import blake2b

GUARDS = 3  # of a visit
NEVER_RAN = b"\0never ran"  # in place of an answer
MOST_WORKS = 4_096  # that a guardian holds
MOST_BYTES = 16 << 20  # of requests and answers that it holds

Ballot = tuple[int, str]  # round, and who; the owner's is (0, name)


@dataclass(slots=True, frozen=True)
class Say:
    """One message between an owner or successor and a guardian."""

    what: str  # register, permit, claim, answer; and back: yes, no
    work: str
    ballot: Ballot
    session: int = 0  # of the link, as its guardian gave it out
    to: str = ""  # the guardian, or who is answered
    by: str = ""
    body: bytes = b""
    permits: tuple[Ballot, ...] = ()
    promised: Ballot = (0, "")
    about: str = ""  # of yes and no: what they answer
    guards: tuple[str, ...] = ()  # as the owner named them; empty in an answer: the visit is not known
    answered: bool = False


def guardians(work: str, members: Iterable[tuple[str, str]], own_zone: str, count: int = GUARDS) -> list[str]:
    """Who guards a visit: members as (name, zone), those of other zones first, spread by a hash."""
    def place(name: str) -> bytes:
        return blake2b(name.encode(), digest_size=8, key=work.encode()[:64]).digest()

    apart = sorted((n for n, z in members if z != own_zone), key=place)
    near = sorted((n for n, z in members if z == own_zone), key=place)
    return [*apart, *near][:count]


@dataclass(slots=True)
class Kept:
    """What a guardian has recorded of one visit."""

    promised: Ballot
    guards: tuple[str, ...] = ()
    body: bytes = b""
    answer: bytes = b""
    answered: bool = False
    permits: set[Ballot] = field(default_factory=set)
    until: float = 0.0


class Guardian:
    """One balancer's records for the others. Every word is answered at once, yes or no."""

    def __init__(self, name: str, keep_for: float, start: int) -> None:
        """`keep_for` in ms, well over the longest client timeout; `start`: of this process, Unix ms."""
        self.name = name
        self.keep_for = keep_for
        self.works: OrderedDict[str, Kept] = OrderedDict()  # oldest first
        self.sessions: dict[str, int] = {}  # by member: of its link
        self.bytes = 0
        self.refused = 0
        self._next = start << 20

    def linked(self, member: str) -> int:
        """A link to a member begins: its session, never given out before; former ones are over."""
        self._next += 1
        self.sessions[member] = self._next
        return self._next

    def heard(self, now: float, say: Say) -> Say:
        """Record what is said, if it may be; the answer."""
        self.forget(now)
        kept = self.works.get(say.work)
        if self.sessions.get(say.by) != say.session:
            return self._no(say, kept)
        if say.what == "register":
            return self._register(now, say, kept)
        if say.what == "claim":
            return self._claim(now, say, kept)
        if kept is None or say.ballot < kept.promised:
            return self._no(say, kept)
        kept.promised = say.ballot
        if say.what == "permit":
            kept.permits.add(say.ballot)
        elif say.what == "answer":
            if self.bytes + len(say.body) > MOST_BYTES:
                return self._no(say, kept)
            self.bytes += len(say.body) - len(kept.answer)
            kept.answer, kept.answered = say.body, True
        return self._yes(say, kept)

    def _register(self, now: float, say: Say, kept: Kept | None) -> Say:
        if kept is None:
            if len(self.works) >= MOST_WORKS or self.bytes + len(say.body) > MOST_BYTES:
                return self._no(say, kept)  # guards: whatever they send, what is kept for others is bounded
            kept = self.works[say.work] = Kept(say.ballot, say.guards, say.body, until=now + self.keep_for)
            self.bytes += len(say.body)
        elif kept.promised != say.ballot:
            return self._no(say, kept)  # it was claimed before we heard of it
        return self._yes(say, kept)

    def _claim(self, now: float, say: Say, kept: Kept | None) -> Say:
        if kept is None:
            # guards: a register that comes after it must not bring the owner's ballot back
            if len(self.works) >= MOST_WORKS:
                return self._no(say, kept)
            kept = self.works[say.work] = Kept(say.ballot, until=now + self.keep_for)
        elif say.ballot < kept.promised:
            return self._no(say, kept)
        kept.promised = say.ballot
        kept.until = max(kept.until, now + self.keep_for)
        self.works.move_to_end(say.work)
        return self._yes(say, kept)

    def forget(self, now: float) -> None:
        """What is over is dropped, oldest first."""
        while self.works:
            work, kept = next(iter(self.works.items()))
            if kept.until > now:
                return
            del self.works[work]
            self.bytes -= len(kept.body) + len(kept.answer)

    def _yes(self, say: Say, kept: Kept) -> Say:
        body = kept.answer if kept.answered else kept.body
        return Say("yes", say.work, say.ballot, say.session, say.by, self.name,
                   body if say.what == "claim" else b"", tuple(sorted(kept.permits)), kept.promised, say.what,
                   kept.guards, kept.answered)

    def _no(self, say: Say, kept: Kept | None) -> Say:
        self.refused += 1
        promised = kept.promised if kept is not None else (0, "")
        return Say("no", say.work, say.ballot, say.session, say.by, self.name, promised=promised,
                   about=say.what)


class Work:
    """One visit in the hands of one balancer, its owner or one that takes it over.

    `out` holds what is to be said. `covered`: a majority guards it. `mine`: it is ours under our ballot, as
    far as we know; `lost`: it is not, another has it or too few guardians are left. `permitted`: a mutating
    fetch of it may be written; `refused`: its client may be told that it never ran.
    """

    __slots__ = ("_asked", "_closing", "_noes", "_yeses", "answer", "ballot", "body", "covered", "guards",
                 "id", "lost", "may_have_run", "me", "mine", "out", "permitted", "refused", "sessions")

    def __init__(self, id_: str, me: str, guards: Iterable[str], sessions: dict[str, int],
                 body: bytes = b"") -> None:
        """`guards`: who guards it, as its owner names them; who takes it over may guess, and is told.
        `sessions`: that of our link to each member when the visit was taken, or is claimed."""
        self.id, self.me, self.body = id_, me, body
        self.guards = tuple(guards)
        self.sessions = dict(sessions)
        self.ballot: Ballot = (0, me)
        self.out: list[Say] = []
        self.covered = self.mine = self.lost = self.may_have_run = self.permitted = False
        self.refused = self._closing = False
        self.answer: bytes | None = None
        self._asked = ""
        self._yeses: dict[str, Say] = {}
        self._noes: set[str] = set()

    @property
    def majority(self) -> int:
        return len(self.guards) // 2 + 1

    def _ask(self, what: str, body: bytes = b"") -> None:
        self._asked, self._yeses, self._noes = what, {}, set()
        named = self.guards if what == "register" else ()
        self.out += [Say(what, self.id, self.ballot, self.sessions.get(g, 0), g, self.me, body, guards=named)
                     for g in self.guards]

    def register(self) -> None:
        """The owner has taken it."""
        self.mine = True
        self._ask("register", self.body)

    def claim(self, above: Ballot) -> None:
        """Take it over, with a ballot over one that was seen."""
        self.ballot = (above[0] + 1, self.me)
        self.mine = self.lost = False
        self._ask("claim")

    def permit(self) -> None:
        """A mutating fetch is wanted: `permitted` tells when it may be written."""
        if self.mine and not self.lost and not self.may_have_run and not self._closing:
            self._ask("permit")

    def refuse(self) -> None:
        """It is not to run: `refused` tells when its client may be told so."""
        if not self.permitted and not self.may_have_run and self.mine:
            self._closing = True
            self._ask("answer", NEVER_RAN)

    def answered(self, body: bytes) -> None:
        """It has its answer: guardians keep it for who asks again."""
        self._ask("answer", body)

    def heard(self, say: Say) -> None:
        """A guardian's answer; doubled, late and foreign ones change nothing."""
        if say.by not in self.guards or say.ballot != self.ballot or say.about != self._asked:
            return
        if say.what == "no":
            self._noes.add(say.by)
            if say.promised > self.ballot or (len(self._noes) >= self.majority and self._asked != "answer"):
                self.lost = True  # another has it, or too few guardians are left
            elif self._asked == "claim":
                self._claimed()
            return
        self._yeses[say.by] = say
        if self._asked == "claim":
            self._claimed()
        elif len(self._yeses) >= self.majority and not self.lost:
            self.covered = True
            self.permitted = self.permitted or self._asked == "permit"
            self.refused = self.refused or (self._closing and self._asked == "answer")

    def _claimed(self) -> None:
        """Whether a majority of the visit's guardians have promised, and what they had recorded."""
        knowing = [say for say in self._yeses.values() if say.guards]
        if self.lost or self.mine:
            return
        if knowing and set(knowing[0].guards) != set(self.guards):
            # guards: two that take over by different lists could each have a majority of their own
            self.guards = knowing[0].guards
            return self.claim(self.ballot)
        if len(knowing) < self.majority and len(self._yeses) + len(self._noes) < len(self.guards):
            return  # one that knows it may yet answer
        if len(self._yeses) < self.majority:
            return
        # guards: one that has forgotten says nothing of what it may have permitted
        self.may_have_run = len(knowing) < self.majority
        for say in self._yeses.values():
            self.may_have_run = self.may_have_run or any(ballot != self.ballot for ballot in say.permits)
            if say.answered:
                self.answer = say.body
            elif say.body:
                self.body = say.body
        self.mine = self.covered = True

    def outcome(self) -> str:
        """What a client that asks may be told: answered, may have run, never ran; empty: not yet known."""
        if self.answer is not None:
            return "never ran" if self.answer == NEVER_RAN else "answered"
        if not self.mine:
            return ""
        return "may have run" if self.may_have_run else "never ran"
