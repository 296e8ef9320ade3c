"""Work in hand that survives its balancer, as one has a part in it: owner, guardian, successor. Pure.

Time, members, links and words in; words (`out`) and what the front is to do (`news`) out. What makes "once"
hold is in `guard.py`; here is who guards what, what a front has to wait for, and who takes over when.

- **Who guards.** Of each zone the first members by a hash, as many as the root of the bank, guard for all;
  three of them, of as many zones as there are, guard a visit, by a hash of its id. So whoever is asked again
  for a visit knows whom to ask, and a bank of hundreds keeps few links.
- **What waits.** A fetch of a mutating or tagged visit for its permit; of a read-like one only the last that
  is allowed, the others are its owner's own. A bounce of a visit that others know for its closing. Each for
  a stated time at the most.
- **Who takes over.** The balancer at which the client asks again, at once. Where nobody asks, the first
  living guardian once the owner is known to be dead; read-like visits are then left alone.

Where too few guardians are there, a visit has no cover, which the front is told when it takes it.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from hashlib import blake2b
from math import ceil, inf, sqrt
from typing import Any

from ospreyline.fleet.frames import NOBODY, Message, Pulse, Say, Sit
from ospreyline.fleet.guard import MAY_HAVE_RUN, Guardian, Work, guardians
from ospreyline.host import Kind

PER_ZONE = 4  # members that guard, at the least
PULSE = 1_000.0  # ms between two words to those that guard
SILENT = 2_500.0  # ms without a word after which one is not counted on
RETRY = 75.0  # ms between two claims of one that does not hear all of its bank yet
STEP = 400.0  # ms between one guardian's turn to take over and the next one's
CLAIMS = 6  # tries to get a visit that others want, too
CLAIM_WAITS = 3.0  # times the wait for a permit that a claim may take
IN_TIME = 100.0  # ms before its client's time is over, from which on nothing waits: two looks at what is due
MOST_ANSWER = 1 << 16  # bytes of an answer that is kept; a larger one is known to have been, and no more

Ran = tuple[str, int, float]  # a fetch that may have run: zone, cell, ms since it may have been sent


@dataclass(slots=True)
class Peer:
    """One other member, as a guardian of ours or one that we guard for."""

    linked: bool = False
    session: int = 0  # as it gave it to us; 0: not yet
    serial: int = 0  # of our last registration there
    heard: float = -inf
    asked: float = inf  # ms; the oldest word of ours that it has not answered


class Hand:
    """One visit that others guard for us, or that we ask about."""

    __slots__ = (
        "ends",
        "fetch",
        "free",
        "id",
        "kind",
        "orphan",
        "registered",
        "retry_at",
        "tag",
        "tries",
        "until",
        "waits",
        "wide",
        "work",
    )

    def __init__(self, tag: int, id_: str, kind: Kind, work: Work, ends: float) -> None:
        self.tag, self.id, self.kind, self.work = tag, id_, kind, work
        self.registered = False
        self.free = 0  # fetches that need no permit
        self.fetch = -1  # the one that waits for its permit
        self.waits = ""  # for what: permit, refuse, told, claim, answer
        self.until = inf  # ms; it waits no longer
        self.ends = ends  # ms; nor does its client
        self.tries = 0
        self.orphan = False  # nobody asked: its owner is dead
        self.wide = False  # all that are linked have been asked
        self.retry_at = inf  # ms; it is claimed anew then


def chosen(members: Iterable[tuple[str, str]]) -> list[tuple[str, str]]:
    """Those of all members, as (name, zone), that guard: the same for all that know the same members."""
    by: dict[str, list[tuple[bytes, str]]] = {}
    count = 0
    for name, zone in members:
        count += 1
        by.setdefault(zone, []).append((blake2b(name.encode(), digest_size=8, key=b"guard").digest(), name))
    per = max(PER_ZONE, ceil(sqrt(count)))
    return [(name, zone) for zone in sorted(by) for _, name in sorted(by[zone])[:per]]


class Takeover:
    """One balancer's part. `out` holds (name, message); `news` holds (what, tag, more) for the front:

    - go, no (fetch): a fetch that waited may be written, or may not;
    - refused, unknown: a bounce that waited may be told, or the client is told that it may have run;
    - told: an answer that waited may be told;
    - lost: another balancer has it, nobody is told anything;
    - answer (bytes), unknown, take (what may have run), bounce: what became of one that a client asks for;
    - adopt (request, kind, what may have run, ms left): a visit whose owner is dead, and nobody asked for it.
    """

    def __init__(
        self,
        name: str,
        zone: str,
        start: int,
        draw: Callable[[], float],
        wait: float,
        keep_for: float,
        refuses: bool,
        max_fetches: int,
    ) -> None:
        """`wait`, `keep_for` in ms; `refuses`: what needs a permit is not taken without cover."""
        self.name, self.zone = name, zone
        self.wait, self.refuses, self.max_fetches = wait, refuses, max_fetches
        self.guardian = Guardian(name, keep_for, start)
        self.out: list[tuple[str, Message]] = []
        self.news: list[tuple[str, int, Any]] = []
        self.counts: Counter[str] = Counter()
        self.hands: dict[int, Hand] = {}
        self.peers: dict[str, Peer] = {name: Peer(True, self.guardian.linked(name))}
        self._guards: list[tuple[str, str]] = [(name, zone)]
        self._by_id: dict[str, Hand] = {}
        self._orphans: list[tuple[float, str, str]] = []  # when, visit, its owner
        self._adopted = -1  # the tags of those follow downwards; a client without a visit has this one
        self._draw = draw
        self._pulse_at = 0.0
        self.meeting = False  # we do not hear all of our bank: what nobody knows may be known to others

    # members and links

    def members(self, now: float, living: Iterable[tuple[str, str]]) -> None:
        """All others that are thought to live, as (name, zone)."""
        others = list(living)
        self._guards = chosen([*others, (self.name, self.zone)])
        alive = {n for n, _ in others}
        for name in [n for n, p in self.peers.items() if n not in alive and not p.linked]:
            del self.peers[name]

    def links(self) -> list[str]:
        """The members to which links are to be kept."""
        return [name for name, _ in self._guards if name != self.name]

    def linked(self, now: float, name: str) -> None:
        peer = self.peers.setdefault(name, Peer())
        peer.linked, peer.session, peer.serial, peer.heard, peer.asked = True, 0, 0, now, inf
        self.out.append((name, Sit(session=self.guardian.linked(name))))

    def unlinked(self, now: float, name: str) -> None:
        if (peer := self.peers.get(name)) is not None:
            peer.linked, peer.session = False, 0
        self.guardian.unlinked(now, name)
        self._push(now)
        for hand in [h for h in self.hands.values() if h.waits == "claim" and name in h.work.guards]:
            hand.work.away.add(name)
            hand.work.looked()
            self._flush(now, hand)

    def lost(self, now: float, name: str) -> None:
        """A member is dead, or another process has its place: what it had in hand goes to others, in turn."""
        for id_ in self.guardian.owned(name):
            guards = [
                g
                for g in self.guardian.works[id_].guards
                if g == self.name or (g in self.peers and self.peers[g].linked)
            ]
            if self.name in guards:
                turn = guards.index(self.name)
                self._orphans.append((now + STEP * (turn + 0.25 * self._draw() * (turn > 0)), id_, name))

    def covered(self, now: float) -> tuple[int, int]:
        """Of those that guard, how many can be counted on, and how many there are."""
        return sum(self._able(now, n) for n in self.links()), len(self.links())

    def _able(self, now: float, name: str) -> bool:
        peer = self.peers.get(name)
        return (
            peer is not None
            and peer.linked
            and peer.session > 0
            and now - peer.heard < SILENT
            and now - peer.asked < max(SILENT, self.wait)
        )

    # time

    def tick(self, now: float) -> None:
        if now >= self._pulse_at:
            self._pulse_at = now + PULSE
            for name in self.links():
                self.out.append((name, Pulse()))
        due = [o for o in self._orphans if o[0] <= now]
        if due:
            self._orphans = [o for o in self._orphans if o[0] > now]
            for _, id_, owner in due:
                self._adopt(now, id_, owner)
        for hand in list(self.hands.values()):
            if hand.until <= now:
                self._late(now, hand)
            elif hand.retry_at <= now:
                hand.retry_at, hand.wide = inf, False
                self._ask(now, hand, guardians(hand.id, self._guards))

    def _wait(self, now: float, hand: Hand, what: str, longest: float) -> None:
        """Wait for a word, so long at the most. Guards: a client's time may be over before that."""
        hand.waits, hand.until = what, min(now + longest, max(now, hand.ends - IN_TIME))

    def _late(self, now: float, hand: Hand) -> None:
        """Guardians have not answered in time. Guards: nothing in a visit's way waits longer."""
        waits, hand.waits, hand.until = hand.waits, "", inf
        self.counts["guards_late"] += 1
        if waits == "permit":
            self._say("no", hand, hand.fetch)
        elif waits == "told":
            self._end("told", hand)
        else:
            self._unknown(hand)

    def _unknown(self, hand: Hand) -> None:
        """It cannot be told what became of it. Guards: what was sent for it cannot be counted either, so it
        is not sent once more; where a repeat is harmless its client may begin anew."""
        if hand.orphan:
            self._drop(hand)
        else:
            self._end("unknown" if hand.kind is Kind.MUTATING else "bounce", hand)

    # own visits

    def take(self, now: float, tag: int, id_: str, kind: Kind, body: bytes, left: float) -> bool:
        """A visit is taken; whether it may go on. It is told to guardians when it is held or sent."""
        names = guardians(id_, [m for m in self._guards if m[0] != self.name])
        able = [n for n in names if self._able(now, n)]
        if not names or len(able) <= len(names) // 2:
            self.counts["uncovered"] += 1
            if self.refuses and kind is not Kind.READ_LIKE:
                self.counts["uncovered_refused"] += 1
                return False
            return True
        if id_ in self._by_id:
            return True  # guards: two in hand under one id would speak under one ballot
        work = Work(
            id_,
            self.name,
            names,
            {n: self.peers[n].session for n in able},
            body,
            left,
            again=kind is not Kind.MUTATING,
        )
        hand = self._hand(tag, id_, kind, work, now + left)
        hand.free = max(0, self.max_fetches - 1) if kind is Kind.READ_LIKE else 0
        return True

    def _hand(self, tag: int, id_: str, kind: Kind, work: Work, ends: float) -> Hand:
        hand = self.hands[tag] = self._by_id[id_] = Hand(tag, id_, kind, work, ends)
        return hand

    def _first(self, hand: Hand) -> None:
        """It is about to be told to its guardians."""
        if hand.registered:
            return
        hand.registered = True
        self.counts["covered"] += 1
        for name in hand.work.guards:
            if hand.work.sessions.get(name):
                peer = self.peers[name]
                if peer.session == hand.work.sessions[name]:
                    peer.serial += 1
                    hand.work.serials[name] = peer.serial

    def held(self, now: float, tag: int) -> None:
        """It waits for room: others are to know of it."""
        hand = self.hands.get(tag)
        if hand is not None and not hand.registered:
            self._first(hand)
            hand.work.register()
            self._flush(now, hand)

    def send(self, now: float, tag: int, number: int, zone: str, cell: int, doubt: bool = False) -> bool:
        """A fetch is to be written: whether it may be at once; else `go` or `no` follows. `doubt`: this
        process stood still, so that another may have it by now."""
        hand = self.hands.get(tag)
        if hand is None:
            return True
        if hand.work.unheld:
            return self._bare(hand)
        free = number < hand.free and not doubt
        if free and hand.registered:
            return True
        self._first(hand)
        if free:
            hand.work.register()
        else:
            hand.fetch = number
            self._wait(now, hand, "permit", self.wait)
            self.counts["permits"] += 1
            hand.work.permit(number, zone, cell)
        self._flush(now, hand)
        return free

    def called_off(self, tag: int, number: int) -> bool:
        """The decisions no longer want a fetch: whether it still waited, and never goes out."""
        hand = self.hands.get(tag)
        if hand is None or hand.waits != "permit" or hand.fetch != number:
            return False
        hand.waits, hand.until = "", inf
        return True

    def refuse(self, now: float, tag: int) -> bool:
        """Its client is to be told that it never ran, or that a repeat is harmless: whether at once; else
        `refused`, `unknown` or `lost` follows."""
        hand = self._known(tag)
        if hand is None:
            return True
        hand.work.refuse()
        if hand.kind is not Kind.MUTATING or hand.work.ever:
            # harmless anyhow; or its permits keep all others from running it
            self._flush(now, hand, last=True)
            return True
        self._wait(now, hand, "refuse", self.wait)
        self._flush(now, hand)
        return False

    def gave_up(self, now: float, tag: int, sent: bool = False) -> None:
        """Its client has gone, or was told that nothing came back. What was `sent` stays counted, so that its
        client may ask again and all together keep to what is allowed."""
        hand = self.hands.get(tag)
        if hand is not None:
            if hand.registered and not sent:
                hand.work.refuse()
            self._flush(now, hand, last=True)

    def failed(self, now: float, tag: int) -> None:
        """Its client was told that nothing came back."""
        hand = self.hands.get(tag)
        if hand is None or hand.kind is not Kind.MUTATING or not hand.work.ever:
            return self.gave_up(now, tag)
        hand.work.answered(MAY_HAVE_RUN)
        self._flush(now, hand, last=True)

    def answered(self, now: float, tag: int, body: bytes, doubt: bool = False) -> bool:
        """It has its answer: whether its client may be told at once; else `told` or `lost` follows."""
        hand = self._known(tag)
        if hand is None:
            return True
        hand.work.answered(body if len(body) <= MOST_ANSWER else b"")
        if doubt:
            self._wait(now, hand, "told", self.wait)
        self._flush(now, hand, last=not doubt)
        return not doubt

    def _known(self, tag: int) -> Hand | None:
        """A visit that its guardians were told of; one that they were not is over without a word."""
        hand = self.hands.get(tag)
        if hand is None or hand.registered:
            return hand
        self._drop(hand)
        return None

    def forget(self, tag: int) -> None:
        """The front has forgotten it."""
        if (hand := self.hands.get(tag)) is not None:
            self._drop(hand)

    def _drop(self, hand: Hand) -> None:
        self.hands.pop(hand.tag, None)
        if self._by_id.get(hand.id) is hand:
            del self._by_id[hand.id]

    # asked again

    def ask(self, now: float, tag: int, id_: str, kind: Kind, body: bytes, left: float) -> None:
        """A client asks again for a visit that another balancer had: `answer`, `unknown`, `take` or `bounce`
        follows."""
        self.counts["asked_again"] += 1
        if id_ in self._by_id:
            self.news.append(("unknown" if kind is Kind.MUTATING else "bounce", tag, None))
        else:
            self._claim(now, tag, id_, kind, body, left, (0, ""))

    def _claim(
        self,
        now: float,
        tag: int,
        id_: str,
        kind: Kind,
        body: bytes,
        left: float,
        above: tuple[int, str],
        orphan: bool = False,
    ) -> None:
        names = guardians(id_, self._guards)
        sessions = {n: p.session for n, p in self.peers.items() if p.session}
        work = Work(
            id_, self.name, names, sessions, body, left, again=kind is not Kind.MUTATING, anew=not orphan
        )
        hand = self._hand(tag, id_, kind, work, now + left)
        hand.registered, hand.orphan = True, orphan
        self._wait(now, hand, "claim", CLAIM_WAITS * self.wait)
        work.away = {n for n, _ in self._guards if n not in sessions}
        work.claim(above)
        work.looked()
        self._flush(now, hand)

    def _adopt(self, now: float, id_: str, owner: str) -> None:
        kept = self.guardian.works.get(id_)
        if kept is None or kept.over or kept.promised[1] != owner or kept.ends <= now or not kept.body:
            return
        if id_ in self._by_id:
            return
        kind = KINDS.get(kept.body[:1], Kind.MUTATING)
        if kind is Kind.READ_LIKE:
            return  # nobody waits for it, and who asks again has it run
        self._adopted -= 1
        self._claim(now, self._adopted, id_, kind, kept.body, kept.ends - now, kept.promised, True)

    def _asked(self, now: float, hand: Hand) -> None:
        """What is known by now of a visit that is claimed."""
        work = hand.work
        if work.answer is not None:
            if work.outcome() == "answered":
                self.counts["kept_answers"] += not hand.orphan
                return self._end("answer", hand, work.answer)
            return self._end("unknown", hand)
        if work.lost:
            if work.taken and hand.tries < CLAIMS and not hand.orphan:
                # another has just claimed it, too: over it, in a moment
                hand.tries += 1
                work.claim(max(work.promised, work.ballot))
                return self._flush(now, hand)
            return self._widen(now, hand)
        if not work.mine:
            return
        if hand.orphan and work.closed > NOBODY:
            return self._drop(hand)
        if not work.known:
            return self._widen(now, hand)
        if work.may_have_run and hand.kind is not Kind.READ_LIKE and work.holder_here and not hand.orphan:
            # who may have sent it is there: its answer may yet come, and is passed on to us. Guards: a second
            # fetch while the first is out
            if hand.waits != "answer":
                self._wait(now, hand, "answer", inf)
            return
        if work.may_have_run and hand.kind is Kind.MUTATING:
            return self._end("unknown", hand)
        hand.waits, hand.until = "", inf
        ran: list[Ran] = [(zone, cell, age) for _, _, zone, cell, age in sorted(work.permits.values())]
        if hand.kind is Kind.READ_LIKE and work.closed == NOBODY:
            ran += [("", 0, 0.0)] * max(0, self.max_fetches - 1)  # its owner's own, which nobody counted
        if len(ran) >= self.max_fetches:
            return self._unknown(hand)  # guards: none is left, so it would be held for nothing
        self.counts["taken_over"] += 1
        if hand.orphan:
            self._say("adopt", hand, (work.body, hand.kind, ran, work.left))
        else:
            self._say("take", hand, ran)

    def _widen(self, now: float, hand: Hand) -> None:
        """Those that we name do not know it. Guards: while a bank meets its owner may have named others; so
        all that are linked are asked, once, and who does know it does not finish it after our answer."""
        work, all_ = hand.work, [n for n, p in self.peers.items() if p.linked and p.session]
        if not hand.orphan and not hand.wide and not set(all_) <= set(work.guards):
            hand.wide = True
            self._ask(now, hand, all_)
        elif self.meeting and not hand.orphan and hand.waits == "claim" and now < hand.until:
            hand.retry_at = now + RETRY
        else:
            self._unknown(hand)

    def _ask(self, now: float, hand: Hand, names: list[str]) -> None:
        """Claim it anew, at these."""
        work = hand.work
        work.guards = tuple(sorted(names))
        work.sessions = {n: p.session for n, p in self.peers.items() if p.session}
        work.away = {n for n in names if n not in work.sessions}
        work.claim(max(work.ballot, work.promised))
        work.looked()
        self._flush(now, hand)

    # words

    def heard(self, now: float, name: str, message: Message) -> None:
        peer = self.peers.setdefault(name, Peer(True))
        peer.heard, peer.asked = now, inf
        if isinstance(message, Sit):
            peer.session, peer.serial = message.session, 0
        elif isinstance(message, Pulse):
            if not message.back:
                self.out.append((name, Pulse(back=True)))
        elif isinstance(message, Say):
            if message.by != name:
                self.counts["foreign_words"] += 1  # guards: nobody speaks for another
            elif message.what in ("yes", "no"):
                hand = self._by_id.get(message.work)
                if hand is not None:
                    hand.work.heard(message)
                    self._flush(now, hand)
            else:
                self.out.append((name, self.guardian.heard(now, message)))
                self._push(now)

    def _push(self, now: float) -> None:
        """What the guardian says unasked; to ourselves it comes at once."""
        out, self.guardian.out = self.guardian.out, []
        for say in out:
            if say.to != self.name:
                self.out.append((say.to, say))
            elif (hand := self._by_id.get(say.work)) is not None:
                hand.work.heard(say)
                self._look(now, hand)

    def _flush(self, now: float, hand: Hand, last: bool = False) -> None:
        """Carry what a visit's work wants said; what we guard ourselves is answered here."""
        work = hand.work
        if last:
            self._drop(hand)
        while work.out:
            out, work.out = work.out, []
            for say in out:
                if say.to == self.name:
                    work.heard(self.guardian.heard(now, say))
                else:
                    self.out.append((say.to, say))
                    if (peer := self.peers.get(say.to)) is not None:
                        peer.asked = min(peer.asked, now)
        if self.guardian.out:
            self._push(now)
        if not last:
            self._look(now, hand)

    def _look(self, now: float, hand: Hand) -> None:
        """What has become of what a visit waits for?"""
        work = hand.work
        if hand.waits in ("claim", "answer"):
            self._asked(now, hand)
        elif work.taken or (hand.waits == "told" and work.promised > work.ballot):
            # another that registered the same id has not taken it from us: its client used one id twice
            self._end("lost" if work.covered or work.promised[0] else "unknown", hand)
        elif hand.waits == "permit":
            if work.permitted:
                hand.waits, hand.until = "", inf
                self._say("go", hand, hand.fetch)
            elif work.lost:
                hand.waits, hand.until = "", inf
                # as far as anybody knows that it is ours, nobody else may have it, and we have no permit
                self._say("go" if work.unheld and self._bare(hand) else "no", hand, hand.fetch)
        elif hand.waits == "refuse":
            if work.refused:
                self._end("refused", hand)
            elif work.lost:
                # no majority has it, so nobody can hold that it is to be run; or it had one, and that is gone
                self._end("refused" if work.unheld else "unknown", hand)
        elif hand.waits == "told":
            if len(work._yeses) >= work.majority:
                self._end("told", hand)
        elif work.unheld and hand.kind is Kind.READ_LIKE:
            self._drop(hand)

    def _bare(self, hand: Hand) -> bool:
        """A majority has said that it will not guard it, so nobody can take it over: whether it goes on
        without cover."""
        self._drop(hand)
        self.counts["uncovered"] += 1
        refused = self.refuses and hand.kind is not Kind.READ_LIKE
        self.counts["uncovered_refused"] += refused
        return not refused

    def _say(self, what: str, hand: Hand, more: Any = None) -> None:
        self.news.append((what, hand.tag, more))

    def _end(self, what: str, hand: Hand, more: Any = None) -> None:
        self._drop(hand)
        if hand.orphan:
            return
        self.counts[what] += what in ("lost", "unknown")
        self._say(what, hand, more)


KINDS = {b"r": Kind.READ_LIKE, b"t": Kind.TAGGED, b"m": Kind.MUTATING}  # the first byte of a request told
