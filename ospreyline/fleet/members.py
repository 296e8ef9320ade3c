"""Who is in the bank, as one balancer knows it: suspicion before death, refuted by a higher incarnation.

Pure: time and messages in, messages and news out; the service, the laboratory's clock and tests drive it
alike. Styled after what is published of SWIM and of Lifeguard's local health. A member is watched by those
that chose it as a neighbour: its `NEXT` predecessors in a ring that is the same everywhere, and `FAR` others
by chance. Each asks its neighbours once a period; one that is silent is asked through others, then suspected,
then dead. News is passed on at once to all links, a bounded number a time; what a member hears of itself that
is not so it refutes. One that was stopped, or fails to hear many, doubts itself first.

What is said here is a hint to everything else: no rule rests on it. docs/fleet.md has the promises.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from hashlib import blake2b
from math import inf

from ospreyline.fleet.frames import ALIVE, DEAD, LEFT, SUSPECT, Ask, AskFor, Entry, Here, Message, Tell, Whole

PERIOD = 1_000.0  # ms between two asks of a neighbour
ANSWER = 300.0  # ms in which it has to answer; then others are asked to ask it
THROUGH = 3  # others that are asked to
SUSPECTED = 1_600.0  # ms from suspicion to death, in which it can refute
NEXT, FAR = 3, 3  # neighbours: in the ring, and by chance
MOST_NEWS = 32  # entries in a message
FLUSH = 30.0  # ms for which news is gathered before it is passed on
UNHEARD = 3_000.0  # ms without a word of a neighbour after which it does not count as heard
KNOCK = 2_000.0  # ms between two tries at somebody who is not there
FORGET = 120_000.0  # ms after which one that has gone is forgotten
MOST_MEMBERS = 4_096  # that are kept in mind, whatever others say
AT_ONCE = 3  # addresses of a watched range that are tried together while nobody is known
MOST_DOUBT = 6  # of itself: times are as many times longer, and one more
STOPPED = 1_500.0  # ms between two looks that mean that this process stood still

State = {ALIVE: "alive", SUSPECT: "suspected", DEAD: "dead", LEFT: "left"}


@dataclass(slots=True, eq=False)
class Member:
    """All that is known of one other member."""

    entry: Entry
    since: float  # ms; it has been in this state
    heard: float = -inf  # it last said something to us itself
    dies_at: float = inf
    asked_at: float = -inf
    number: int = 0  # of the ask that is out; 0: none
    through_at: float = inf  # others are asked then
    gives_up_at: float = inf


class Members:
    """The bank as one member sees it. `out` holds what is to be sent: (name, message) in order."""

    def __init__(
        self,
        me: Entry,
        seeds: Iterable[Entry],
        draw: Callable[[], float],
        now: float,
        watched: Iterable[str] = (),
    ) -> None:
        """`seeds` are entries of configured peers, with start 0: only where they are is known. `watched` are
        addresses at which members may be, under whatever name; a message to one goes to `@` and it."""
        self.me = me
        self.out: list[tuple[str, Message]] = []
        self.news: list[tuple[Entry, int]] = []  # entries that changed, and the state before (-1: new)
        self.superseded = False  # another process under our name is newer: we speak no more
        self.leaving = False
        self.members: dict[str, Member] = {}
        self.doubt = 0  # of ourselves
        self._seeds = {seed.name: seed for seed in seeds if seed.name != me.name}
        self._watched = list(watched)
        self._draw = draw
        self._number = 0
        self._asked_for: dict[int, tuple[str, int]] = {}  # number of our ask: who wants it, their number
        self._to_tell: dict[str, Entry] = {}
        self._flush_at = inf
        self._knock_at = now + KNOCK * draw() / 4
        self._looked = now
        self.linked: set[str] = set()  # names that can be sent to now
        self.neighbours: list[str] = []
        self._ring_stale = True

    # what is known

    def living(self) -> list[str]:
        """Names of all others that are thought to live, suspected ones included; sorted."""
        return sorted(n for n, m in self.members.items() if m.entry.state <= SUSPECT)

    def hears(self) -> tuple[int, int]:
        """How many are heard of as alive, and how many the bank has; both with ourselves."""
        # guards: one that is cut off doubts itself and accuses nobody, yet it has not heard them
        since = self._looked - UNHEARD
        unheard = {
            n
            for n in self.neighbours
            if n in self.members and max(self.members[n].heard, self.members[n].since) < since
        }
        alive = sum(m.entry.state == ALIVE and n not in unheard for n, m in self.members.items())
        bank = sum(m.entry.state != LEFT for m in self.members.values())
        unmet = sum(name not in self.members for name in self._seeds)
        return 1 + alive, 1 + bank + unmet

    def address(self, name: str) -> str:
        if name.startswith("@"):
            return name[1:]
        if name in self.members:
            return self.members[name].entry.address
        return self._seeds[name].address if name in self._seeds else ""

    # time

    def tick(self, now: float) -> float:
        """Do what is due; the time of the next look."""
        if self.superseded or self.leaving:
            self._flush(now)
            return now + PERIOD
        stood, self._looked = now - self._looked, now
        if stood > STOPPED:
            # guards: a process that was stopped has heard nothing; it doubts itself and accuses nobody
            self.doubt = MOST_DOUBT
            for member in self.members.values():
                self._call_off(member)
                if member.entry.state == SUSPECT:
                    member.dies_at = max(member.dies_at, now + SUSPECTED)
        self._choose(now)
        slow = 1 + self.doubt
        for name, member in list(self.members.items()):
            entry = member.entry
            if member.number and now >= member.through_at:
                member.through_at = inf
                self._ask_through(name, member)
            if member.number and now >= member.gives_up_at:
                self._call_off(member)
                self.doubt = min(MOST_DOUBT, self.doubt + 1)
                if entry.state == ALIVE and self.doubt < MOST_DOUBT:
                    self._learn(now, _as(entry, SUSPECT))
            if entry.state == SUSPECT and now >= member.dies_at:
                self._learn(now, _as(entry, DEAD))
            elif entry.state >= DEAD and now - member.since > FORGET:
                del self.members[name]
                self._ring_stale = True
            elif name in self.neighbours and not member.number and now >= member.asked_at + PERIOD:
                self._ask(now, name, member, slow)
        if now >= self._knock_at:
            # one that knows nobody is in haste: nobody else knows of it either
            haste = 1.0 if self.members else 0.25
            self._knock_at = now + haste * KNOCK * (0.75 + 0.5 * self._draw())
            self._knock()
        if now >= self._flush_at:
            self._flush(now)
        return min(self._flush_at, now + 100.0)

    def _ask(self, now: float, name: str, member: Member, slow: int) -> None:
        self._number += 1
        member.number, member.asked_at = self._number, now
        member.through_at = now + ANSWER * slow
        member.gives_up_at = now + 2.25 * ANSWER * slow
        self._send(name, Ask(number=self._number, news=self._some()))

    def _ask_through(self, name: str, member: Member) -> None:
        others = [
            n
            for n in sorted(self.linked)
            if n != name and n in self.members and self.members[n].entry.state == ALIVE
        ]
        for _ in range(min(THROUGH, len(others))):
            other = others.pop(int(self._draw() * len(others)))
            self._send(other, AskFor(number=member.number, whom=member.entry))

    @staticmethod
    def _call_off(member: Member) -> None:
        member.number, member.through_at, member.gives_up_at = 0, inf, inf

    def _knock(self) -> None:
        """Try somebody who is not there: how a bank that was cut in two finds itself again."""
        away = [n for n, m in self.members.items() if m.entry.state == DEAD]
        away += [n for n in self._seeds if n not in self.members]
        if away:
            away.sort()
            self._send(away[int(self._draw() * len(away))], Whole(news=self._everything(), wanted=True))
        if self._watched:
            taken = {m.entry.address for m in self.members.values() if m.entry.state <= SUSPECT}
            free = [at for at in self._watched if at not in taken and at != self.me.address]
            for _ in range(min(len(free), 1 if self.members else AT_ONCE)):
                at = free.pop(int(self._draw() * len(free)))
                self._send("@" + at, Whole(news=self._everything(), wanted=True))

    def _everything(self) -> list[Entry]:
        return [self.me, *(m.entry for m in self.members.values() if m.entry.state != LEFT)]

    def _choose(self, now: float) -> None:
        """Neighbours: the next in the ring, and some by chance that stay the same while they live."""
        if not self._ring_stale:
            return
        self._ring_stale = False
        living = [n for n, m in self.members.items() if m.entry.state <= SUSPECT]
        ring = sorted([*living, self.me.name], key=_place)
        at = ring.index(self.me.name)
        after = ring[at + 1 :] + ring[:at]
        mine = self.me.name.encode()
        far = sorted(after[NEXT:], key=lambda n: _place(n, mine))[:FAR]
        self.neighbours = after[:NEXT] + far

    # messages

    def linked_to(self, now: float, name: str) -> None:
        """A link to a member stands: both tell all that they know."""
        self.linked.add(name)

    def unlinked(self, now: float, name: str) -> None:
        """A link has ended. Of a neighbour that is a reason to ask at once, and no more."""
        self.linked.discard(name)
        member = self.members.get(name)
        if member is not None and not member.number and name in self.neighbours:
            member.asked_at = -inf

    def greeted(self, now: float, entry: Entry, wanted: bool) -> None:
        """A member has said hello; to whoever dialled us we tell all."""
        self._learn(now, entry)
        self._alive(now, entry.name)
        if wanted:
            self._send(entry.name, Whole(news=self._everything(), wanted=True))

    def heard(self, now: float, name: str, message: Message) -> None:
        """A message of a member that said hello."""
        self._alive(now, name)
        if isinstance(message, Ask):
            self._take(now, message.news)
            self._send(name, Here(number=message.number, news=self._some()))
        elif isinstance(message, Here):
            self._take(now, message.news)
            self._answered(now, message.number)
        elif isinstance(message, AskFor):
            self._take(now, [*message.news, message.whom])
            target = message.whom.name
            if target != self.me.name and target in self.members:
                self._number += 1
                if len(self._asked_for) < 256:  # guards: whatever others ask, it is kept in bounds
                    self._asked_for[self._number] = (name, message.number)
                    self._send(target, Ask(number=self._number))
        elif isinstance(message, Tell):
            self._take(now, message.news)
        elif isinstance(message, Whole):
            self._take(now, message.news)
            if message.wanted:
                self._send(name, Whole(news=self._everything()))

    def _alive(self, now: float, name: str) -> None:
        member = self.members.get(name)
        if member is not None:
            member.heard = now

    def _answered(self, now: float, number: int) -> None:
        wanted = self._asked_for.pop(number, None)
        if wanted is not None:
            self._send(wanted[0], Here(number=wanted[1]))
            return
        for member in self.members.values():
            if member.number == number:
                self._call_off(member)
                self.doubt = max(0, self.doubt - 1)
                return

    def _take(self, now: float, news: list[Entry]) -> None:
        for entry in news[:MOST_MEMBERS]:
            self._learn(now, entry)

    def _learn(self, now: float, entry: Entry) -> None:
        """One entry, from somebody or by ourselves: it counts if it is newer than what is known."""
        if entry.name == self.me.name:
            self._of_me(now, entry)
            return
        member = self.members.get(entry.name)
        if member is None:
            if entry.state >= DEAD or len(self.members) >= MOST_MEMBERS:
                return  # guards: who has gone is not brought back into mind by others
            member = self.members[entry.name] = Member(entry, now)
            self._changed(now, member, entry, -1)
            return
        if entry.order <= member.entry.order:
            return
        before, member.entry = member.entry.state, entry
        self._changed(now, member, entry, before)

    def _changed(self, now: float, member: Member, entry: Entry, before: int) -> None:
        if entry.state != before:
            member.since = now
        if entry.state == SUSPECT:
            member.dies_at = now + SUSPECTED * (1 + self.doubt)
        else:
            member.dies_at = inf
            self._call_off(member)
        self._ring_stale = True
        self.news.append((entry, before))
        self._spread(now, entry)

    def _of_me(self, now: float, entry: Entry) -> None:
        if entry.start > self.me.start:
            # guards: two processes under one name: the older one stops speaking
            self.superseded = True
        elif entry.start < self.me.start:
            # news of a process before us: ours is told again, so that it wins everywhere
            self._spread(now, self.me)
        elif entry.state != ALIVE and entry.bumps >= self.me.bumps and not self.leaving:
            me = self.me
            self.me = Entry(me.name, me.address, me.zone, me.start, entry.bumps + 1, ALIVE)
            self.doubt = min(MOST_DOUBT, self.doubt + 1)
            self._spread(now, self.me)

    # passing on

    def _spread(self, now: float, entry: Entry) -> None:
        self._to_tell[entry.name] = entry
        self._flush_at = min(self._flush_at, now + FLUSH)

    def _some(self) -> list[Entry]:
        """News that rides along; it is told by itself as well."""
        return list(self._to_tell.values())[:MOST_NEWS]

    def _flush(self, now: float) -> None:
        """What has changed goes to all links, so many entries a time."""
        told = list(self._to_tell.items())[:MOST_NEWS]
        for name, _ in told:
            del self._to_tell[name]
        if told:
            news = [entry for _, entry in told]
            for name in sorted(self.linked):
                self._send(name, Tell(news=news))
        self._flush_at = now + FLUSH if self._to_tell else inf

    def leave(self, now: float) -> None:
        """This process ends of its own will: it says so and is not suspected."""
        self.leaving = True
        self.me = _as(self.me, LEFT)
        self._to_tell = {self.me.name: self.me}
        self._flush(now)

    def _send(self, name: str, message: Message) -> None:
        if not self.superseded:
            self.out.append((name, message))


def _as(entry: Entry, state: int) -> Entry:
    return Entry(entry.name, entry.address, entry.zone, entry.start, entry.bumps, state)


def _place(name: str, salt: bytes = b"") -> bytes:
    """A place in a ring, the same at every member."""
    return blake2b(name.encode(), digest_size=8, key=salt[:64]).digest()
