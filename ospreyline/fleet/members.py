"""Membership of the bank as one balancer knows it: SWIM with suspicion, refutation and local health.

Pure: times and messages in, messages and membership changes out; the service, the simulator's clock and tests
all drive it. Based on the papers on SWIM and Lifeguard. A member is monitored by those that chose it as a
neighbour: its `RING_NEIGHBOURS` predecessors in a ring that is the same for all, and `RANDOM_NEIGHBOURS`
others at random. Each pings its neighbours once a period; one that does not answer is pinged through others,
then suspected, then declared dead. Updates are gossiped at once over all links, a bounded number per message;
a member refutes wrong updates about itself. One that was stalled, or gets no answer from many, first assumes
that it is unhealthy itself, and suspects others later.

The result is a hint to all other modules: no rule depends on it. docs/fleet.md has the guarantees.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from hashlib import blake2b
from math import inf

from ospreyline.fleet.frames import (
    ALIVE,
    DEAD,
    LEFT,
    SUSPECT,
    Ack,
    Entry,
    Gossip,
    Message,
    Ping,
    PingReq,
    StateSync,
)

PING_PERIOD_MS = 1_000.0  # between two pings of a neighbour
PING_TIMEOUT_MS = 300.0  # after it the neighbour is pinged through others
INDIRECT_PINGS = 3  # members that are asked to ping one that did not answer
SUSPICION_MS = 1_600.0  # from suspicion to death, in which the member can refute
RING_NEIGHBOURS, RANDOM_NEIGHBOURS = 3, 3
MAX_UPDATES_PER_MESSAGE = 32
GOSSIP_DELAY_MS = 30.0  # in which updates are collected before they are sent
UNHEARD_AFTER_MS = 3_000.0  # without a message from a neighbour it no longer counts as reachable
DIAL_PERIOD_MS = 2_000.0  # between two attempts to reach a dead or unmet member
REMOVE_AFTER_MS = 120_000.0  # after it a dead or left member is removed
MAX_MEMBERS = 4_096  # that are stored, whatever others report
DIALS_WHILE_ALONE = 3  # candidate addresses that are dialled together while no member is known
MAX_HEALTH_SCORE = 6  # ping timeouts are multiplied by the score plus one
STALLED_AFTER_MS = 1_500.0  # between two ticks: the process was stalled

STATE_NAMES = {ALIVE: "alive", SUSPECT: "suspected", DEAD: "dead", LEFT: "left"}


@dataclass(slots=True, eq=False)
class Member:
    """The local record of one other member. Times are in ms."""

    entry: Entry
    state_since: float
    last_heard: float = -inf  # last message from the member itself
    suspicion_ends_at: float = inf
    pinged_at: float = -inf
    ping_sequence: int = 0  # of the unanswered ping; 0: none
    indirect_ping_at: float = inf
    ping_fails_at: float = inf


class Members:
    """The bank as one member knows it. `out` holds messages to send: (name, message), in order."""

    def __init__(
        self,
        me: Entry,
        seeds: Iterable[Entry],
        draw: Callable[[], float],
        now: float,
        candidate_addresses: Iterable[str] = (),
    ) -> None:
        """`seeds` are entries of configured peers, with start 0: only their addresses are known. At each of
        `candidate_addresses` there may be a member of any name; messages to it are addressed `@host:port`."""
        self.me = me
        self.out: list[tuple[str, Message]] = []
        self.changes: list[tuple[Entry, int]] = []  # changed entries, and their previous state (-1: new)
        self.superseded = False  # a newer process has our name: we send nothing any more
        self.leaving = False
        self.members: dict[str, Member] = {}
        self.health_score = 0  # our own, as in Lifeguard; 0: healthy
        self._seeds = {seed.name: seed for seed in seeds if seed.name != me.name}
        self._candidate_addresses = list(candidate_addresses)
        self._draw = draw
        self._last_sequence = 0
        self._forwarded_pings: dict[int, tuple[str, int]] = {}  # our sequence: who requested it, its sequence
        self._pending_updates: dict[str, Entry] = {}
        self._flush_at = inf
        self._dial_at = now + DIAL_PERIOD_MS * draw() / 4
        self._last_tick = now
        self.linked: set[str] = set()  # members with an open link
        self.neighbours: list[str] = []
        self._neighbours_stale = True

    # state

    def alive(self) -> list[str]:
        """Names of all other members that are alive or suspected, sorted."""
        return sorted(n for n, m in self.members.items() if m.entry.state <= SUSPECT)

    def reachability(self) -> tuple[int, int]:
        """How many members are reachable, and how many the bank has; both with ourselves."""
        # a member that is cut off takes itself for unhealthy and suspects nobody: without this check it would
        # count all others as reachable
        since = self._last_tick - UNHEARD_AFTER_MS
        unheard = {
            n
            for n in self.neighbours
            if n in self.members and max(self.members[n].last_heard, self.members[n].state_since) < since
        }
        alive = sum(m.entry.state == ALIVE and n not in unheard for n, m in self.members.items())
        bank = sum(m.entry.state != LEFT for m in self.members.values())
        unmet = sum(name not in self.members for name in self._seeds)
        return 1 + alive, 1 + bank + unmet

    def address(self, name: str) -> str:
        """host:port of a member, a seed or a candidate address; empty if unknown."""
        if name.startswith("@"):
            return name[1:]
        if name in self.members:
            return self.members[name].entry.address
        return self._seeds[name].address if name in self._seeds else ""

    # time

    def tick(self, now: float) -> float:
        """Does what is due; returns the time of the next tick."""
        if self.superseded or self.leaving:
            self._flush_gossip(now)
            return now + PING_PERIOD_MS
        since_last, self._last_tick = now - self._last_tick, now
        if since_last > STALLED_AFTER_MS:
            # a stalled process has received nothing: it takes itself for unhealthy and suspects nobody
            self.health_score = MAX_HEALTH_SCORE
            for member in self.members.values():
                self._cancel_ping(member)
                if member.entry.state == SUSPECT:
                    member.suspicion_ends_at = max(member.suspicion_ends_at, now + SUSPICION_MS)
        self._choose_neighbours(now)
        slowdown = 1 + self.health_score
        for name, member in list(self.members.items()):
            entry = member.entry
            if member.ping_sequence and now >= member.indirect_ping_at:
                member.indirect_ping_at = inf
                self._ping_indirectly(name, member)
            if member.ping_sequence and now >= member.ping_fails_at:
                self._cancel_ping(member)
                self.health_score = min(MAX_HEALTH_SCORE, self.health_score + 1)
                if entry.state == ALIVE and self.health_score < MAX_HEALTH_SCORE:
                    self._apply_update(now, _with_state(entry, SUSPECT))
            if entry.state == SUSPECT and now >= member.suspicion_ends_at:
                self._apply_update(now, _with_state(entry, DEAD))
            elif entry.state >= DEAD and now - member.state_since > REMOVE_AFTER_MS:
                del self.members[name]
                self._neighbours_stale = True
            elif (
                name in self.neighbours
                and not member.ping_sequence
                and now >= member.pinged_at + PING_PERIOD_MS
            ):
                self._ping(now, name, member, slowdown)
        if now >= self._dial_at:
            # a member that knows no other dials more often: no other member knows of it either
            factor = 1.0 if self.members else 0.25
            self._dial_at = now + factor * DIAL_PERIOD_MS * (0.75 + 0.5 * self._draw())
            self._dial_missing()
        if now >= self._flush_at:
            self._flush_gossip(now)
        return min(self._flush_at, now + 100.0)

    def _ping(self, now: float, name: str, member: Member, slowdown: int) -> None:
        self._last_sequence += 1
        member.ping_sequence, member.pinged_at = self._last_sequence, now
        member.indirect_ping_at = now + PING_TIMEOUT_MS * slowdown
        member.ping_fails_at = now + 2.25 * PING_TIMEOUT_MS * slowdown
        self._send(name, Ping(sequence=self._last_sequence, updates=self._piggybacked_updates()))

    def _ping_indirectly(self, name: str, member: Member) -> None:
        """Asks some members, drawn at random, to ping one that did not answer."""
        others = [
            n
            for n in sorted(self.linked)
            if n != name and n in self.members and self.members[n].entry.state == ALIVE
        ]
        for _ in range(min(INDIRECT_PINGS, len(others))):
            other = others.pop(int(self._draw() * len(others)))
            self._send(other, PingReq(sequence=member.ping_sequence, target=member.entry))

    @staticmethod
    def _cancel_ping(member: Member) -> None:
        member.ping_sequence, member.indirect_ping_at, member.ping_fails_at = 0, inf, inf

    def _dial_missing(self) -> None:
        """Dials a dead or unmet member and candidate addresses: this rejoins a bank that was partitioned."""
        missing = [n for n, m in self.members.items() if m.entry.state == DEAD]
        missing += [n for n in self._seeds if n not in self.members]
        if missing:
            missing.sort()
            name = missing[int(self._draw() * len(missing))]
            self._send(name, StateSync(updates=self._full_state(), reply_wanted=True))
        if self._candidate_addresses:
            taken = {m.entry.address for m in self.members.values() if m.entry.state <= SUSPECT}
            free = [at for at in self._candidate_addresses if at not in taken and at != self.me.address]
            for _ in range(min(len(free), 1 if self.members else DIALS_WHILE_ALONE)):
                at = free.pop(int(self._draw() * len(free)))
                self._send("@" + at, StateSync(updates=self._full_state(), reply_wanted=True))

    def _full_state(self) -> list[Entry]:
        return [self.me, *(m.entry for m in self.members.values() if m.entry.state != LEFT)]

    def _choose_neighbours(self, now: float) -> None:
        """The next members in the ring, and random ones that stay the same while they are alive."""
        if not self._neighbours_stale:
            return
        self._neighbours_stale = False
        alive = [n for n, m in self.members.items() if m.entry.state <= SUSPECT]
        ring = sorted([*alive, self.me.name], key=_ring_position)
        index = ring.index(self.me.name)
        after = ring[index + 1 :] + ring[:index]
        salt = self.me.name.encode()
        random = sorted(after[RING_NEIGHBOURS:], key=lambda n: _ring_position(n, salt))[:RANDOM_NEIGHBOURS]
        self.neighbours = after[:RING_NEIGHBOURS] + random

    # messages

    def linked_to(self, now: float, name: str) -> None:
        """A link to a member has opened."""
        self.linked.add(name)

    def unlinked(self, now: float, name: str) -> None:
        """A link has closed. A neighbour is then pinged at once; it is not suspected for that alone."""
        self.linked.discard(name)
        member = self.members.get(name)
        if member is not None and not member.ping_sequence and name in self.neighbours:
            member.pinged_at = -inf

    def hello_received(self, now: float, entry: Entry, send_state: bool) -> None:
        """A member has said hello; `send_state`: it dialled us, and gets our full state."""
        self._apply_update(now, entry)
        self._mark_heard(now, entry.name)
        if send_state:
            self._send(entry.name, StateSync(updates=self._full_state(), reply_wanted=True))

    def receive(self, now: float, name: str, message: Message) -> None:
        """Handles a message of a member that has said hello."""
        self._mark_heard(now, name)
        if isinstance(message, Ping):
            self._apply_updates(now, message.updates)
            self._send(name, Ack(sequence=message.sequence, updates=self._piggybacked_updates()))
        elif isinstance(message, Ack):
            self._apply_updates(now, message.updates)
            self._ack_received(now, message.sequence)
        elif isinstance(message, PingReq):
            self._apply_updates(now, [*message.updates, message.target])
            target = message.target.name
            if target != self.me.name and target in self.members:
                self._last_sequence += 1
                if len(self._forwarded_pings) < 256:  # bounds the state that requests of others can create
                    self._forwarded_pings[self._last_sequence] = (name, message.sequence)
                    self._send(target, Ping(sequence=self._last_sequence))
        elif isinstance(message, Gossip):
            self._apply_updates(now, message.updates)
        elif isinstance(message, StateSync):
            self._apply_updates(now, message.updates)
            if message.reply_wanted:
                self._send(name, StateSync(updates=self._full_state()))

    def _mark_heard(self, now: float, name: str) -> None:
        member = self.members.get(name)
        if member is not None:
            member.last_heard = now

    def _ack_received(self, now: float, sequence: int) -> None:
        forwarded = self._forwarded_pings.pop(sequence, None)
        if forwarded is not None:
            self._send(forwarded[0], Ack(sequence=forwarded[1]))
            return
        for member in self.members.values():
            if member.ping_sequence == sequence:
                self._cancel_ping(member)
                self.health_score = max(0, self.health_score - 1)
                return

    def _apply_updates(self, now: float, updates: list[Entry]) -> None:
        for entry in updates[:MAX_MEMBERS]:
            self._apply_update(now, entry)

    def _apply_update(self, now: float, entry: Entry) -> None:
        """Applies an entry, received or our own, if it is newer than what is known."""
        if entry.name == self.me.name:
            self._apply_update_about_self(now, entry)
            return
        member = self.members.get(entry.name)
        if member is None:
            if entry.state >= DEAD or len(self.members) >= MAX_MEMBERS:
                return  # others must not bring back a member that was removed as dead or left
            member = self.members[entry.name] = Member(entry, now)
            self._entry_changed(now, member, entry, -1)
            return
        if entry.precedence <= member.entry.precedence:
            return
        before, member.entry = member.entry.state, entry
        self._entry_changed(now, member, entry, before)

    def _entry_changed(self, now: float, member: Member, entry: Entry, before: int) -> None:
        if entry.state != before:
            member.state_since = now
        if entry.state == SUSPECT:
            member.suspicion_ends_at = now + SUSPICION_MS * (1 + self.health_score)
        else:
            member.suspicion_ends_at = inf
            self._cancel_ping(member)
        self._neighbours_stale = True
        self.changes.append((entry, before))
        self._enqueue_gossip(now, entry)

    def _apply_update_about_self(self, now: float, entry: Entry) -> None:
        if entry.start > self.me.start:
            # of two processes with one name the older one stops sending
            self.superseded = True
        elif entry.start < self.me.start:
            # an update about the process before us: gossip our entry again, which wins over it
            self._enqueue_gossip(now, self.me)
        elif entry.state != ALIVE and entry.incarnation >= self.me.incarnation and not self.leaving:
            me = self.me
            self.me = Entry(me.name, me.address, me.zone, me.start, entry.incarnation + 1, ALIVE)
            self.health_score = min(MAX_HEALTH_SCORE, self.health_score + 1)
            self._enqueue_gossip(now, self.me)

    # gossip

    def _enqueue_gossip(self, now: float, entry: Entry) -> None:
        self._pending_updates[entry.name] = entry
        self._flush_at = min(self._flush_at, now + GOSSIP_DELAY_MS)

    def _piggybacked_updates(self) -> list[Entry]:
        """Pending updates to add to a ping or an ack; they are still gossiped afterwards."""
        return list(self._pending_updates.values())[:MAX_UPDATES_PER_MESSAGE]

    def _flush_gossip(self, now: float) -> None:
        """Sends pending updates over all links, as many as one message takes."""
        batch = list(self._pending_updates.items())[:MAX_UPDATES_PER_MESSAGE]
        for name, _ in batch:
            del self._pending_updates[name]
        if batch:
            updates = [entry for _, entry in batch]
            for name in sorted(self.linked):
                self._send(name, Gossip(updates=updates))
        self._flush_at = now + GOSSIP_DELAY_MS if self._pending_updates else inf

    def leave(self, now: float) -> None:
        """Announces that this process ends on purpose, so that it is not suspected."""
        self.leaving = True
        self.me = _with_state(self.me, LEFT)
        self._pending_updates = {self.me.name: self.me}
        self._flush_gossip(now)

    def _send(self, name: str, message: Message) -> None:
        if not self.superseded:
            self.out.append((name, message))


def _with_state(entry: Entry, state: int) -> Entry:
    return Entry(entry.name, entry.address, entry.zone, entry.start, entry.incarnation, state)


def _ring_position(name: str, salt: bytes = b"") -> bytes:
    """Position in a hash ring, the same at every member; each `salt` gives another ring."""
    return blake2b(name.encode(), digest_size=8, key=salt[:64]).digest()
