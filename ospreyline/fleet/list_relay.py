"""Relays of the upstream list: who watches the list service at once, and who first gets the list from others.

Pure. In each zone the `RELAYS_PER_ZONE` alive members with the oldest processes forward the list while their
own watch of the service is up. No other member does, so a forwarded list always comes from the service by way
of its sender, and balancers cannot confirm stale lists to one another in a circle. Other members subscribe to
two relays, and open their own watch later, each at its own point of a long window; then the relays are no
longer needed. From a relay only a newer version is accepted; what the own watch delivers always applies.

While the service is down the relays announce that they poll it. A member that has found it down itself and
receives that polls rarely: a few notice that the service is back and notify all.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from hashlib import blake2b
from math import inf

import msgspec

from ospreyline.fleet.frames import Message, RelayedList, RelaySubscribe, RelayUnavailable

RELAYS_PER_ZONE = 2
RELAYS_USED = 2  # that one member subscribes to
HEARTBEAT_MS = 500.0  # between two messages of a relay to a subscriber, if nothing changes
FRESH_MS = 2_500.0  # for which a message from the service, or from a relay, counts as recent
SETTLE_MS = 400.0  # for which a member has to be among the oldest before it is a relay
STARTUP_WAIT_MS = 1_500.0  # from the start; a member that no relay serves then polls as if there were none
RESUBSCRIBE_MS = 1_000.0  # until a relay that did not answer is asked again
MAX_SUBSCRIBERS = 512
WATCH_DELAY_SHARES = (
    0.3,
    0.7,
)  # of the allowed time without a call: when members that are no relay open watches


@dataclass(slots=True, frozen=True)
class ListUpdate:
    """The new list (`whole`), or its changes since the version that we have."""

    rev: int
    whole: bool
    targets: list[bytes]  # JSON entries as the list service sends them


class _ListEntry(msgspec.Struct):
    uid: str
    state: str = "active"


class ListRelay:
    """One member's copy of the list, and its part in relaying it. `out` holds messages to send."""

    def __init__(self, name: str, zone: str, start: int, draw: Callable[[], float], now: float) -> None:
        """`start`: start of this process, Unix time in ms, as the other members know it."""
        self.name, self.zone = name, zone
        self._start = start
        self._begun = now
        self.out: list[tuple[str, Message]] = []
        self.rev = 0
        self.passing = False  # we are a relay
        self._oldest_since = inf  # ms; since then we are among the oldest of our zone, as far as we know
        self.relays: list[str] = []  # that we subscribe to
        self.accepted = self.ignored = 0  # lists from relays
        self._draw = draw
        self._entries: dict[str, bytes] = {}  # by uid; the whole list at version `rev`
        self._service_heard_at = -inf  # ms; last message of the service on our own watch
        self._watching = False
        self._subscribers: dict[str, int] = {}  # by name: the version that was sent last
        # of our relays, in ms:
        self._subscribed_at: dict[str, float] = {}  # our last subscribe message
        self._heard_at: dict[str, float] = {}  # their last recent list
        self._polling_at: dict[str, float] = {}  # when they last announced that they poll the service
        self._heartbeat_at = 0.0

    def begin(self, rev: int, targets: list[tuple[str, bool, bytes]]) -> None:
        """Sets the list that this process starts with; the service may send only changes to it."""
        self.rev = rev
        self._apply(True, targets)

    def _apply(self, whole: bool, targets: Iterable[tuple[str, bool, bytes]]) -> None:
        if whole:
            self._entries.clear()
        for uid, left, body in targets:
            if left:
                self._entries.pop(uid, None)
            else:
                self._entries[uid] = body

    def late(self, must_ask_in: float) -> float:
        """ms from the start after which a member that is no relay opens its own watch."""
        low, high = WATCH_DELAY_SHARES
        return must_ask_in * (low + (high - low) * self._draw())

    def receiving(self, now: float) -> bool:
        """Whether a relay that watches the service has recently sent the list or a heartbeat."""
        return any(now - at < FRESH_MS for at in self._heard_at.values())

    def unserved(self, now: float) -> bool:
        """Whether no relay serves us: a member without relays does what it would do alone."""
        return now - self._begun > STARTUP_WAIT_MS and not self.receiving(now)

    def served_by_relays(self, now: float) -> bool:
        """Whether a relay serves us or, while the service is down, polls it and will notify us."""
        return self.receiving(now) or any(now - at < FRESH_MS for at in self._polling_at.values())

    # roles

    def set_members(self, now: float, alive: Iterable[tuple[str, str, int]]) -> None:
        """Assigns the roles from the alive members, (name, zone, start) without ourselves; the same for all.

        The oldest are the relays: chosen by a hash, they would change with each member that joins a bank that
        starts, and each of them would call the service for the others.
        """
        by_zone = {self.zone: [(self._start, _hash(self.name), self.name)]}
        for name, zone, start in alive:
            by_zone.setdefault(zone, []).append((start, _hash(name), name))
        oldest = {
            zone: [name for _, _, name in sorted(here)[:RELAYS_PER_ZONE]] for zone, here in by_zone.items()
        }
        self._oldest_since = min(self._oldest_since, now) if self.name in oldest[self.zone] else inf
        found = [n for n in oldest.pop(self.zone) if n != self.name]
        wanted = (found + [n for zone in sorted(oldest) for n in oldest[zone]])[:RELAYS_USED]
        for name in [n for n in self._subscribed_at if n not in wanted]:
            self.remove_peer(name)
        self.relays = wanted
        known = {name for here in by_zone.values() for _, _, name in here}
        for name in [n for n in self._subscribers if n not in known]:
            del self._subscribers[name]

    def tick(self, now: float) -> None:
        """Subscribes to our relays; sends heartbeats to our subscribers."""
        # while members join, each would be among the oldest for a moment: it has to last for SETTLE_MS
        self.passing = now - max(self._oldest_since, self._begun) > SETTLE_MS
        for name in self.relays:
            if (
                now - self._heard_at.get(name, -inf) > FRESH_MS
                and now - self._subscribed_at.get(name, -inf) > RESUBSCRIBE_MS
            ):
                self._subscribed_at[name] = now
                self.out.append((name, RelaySubscribe(rev=self.rev)))
        if now >= self._heartbeat_at:
            self._heartbeat_at = now + HEARTBEAT_MS
            may_forward = self._may_forward(now)
            for name, rev in list(self._subscribers.items()) if may_forward or self.passing else ():
                if may_forward:
                    self._forward(now, name, rev)
                else:
                    self.out.append((name, RelayUnavailable(polling=True)))

    def _may_forward(self, now: float) -> bool:
        """Whether the service itself has sent something recently on our own watch."""
        return self._watching and now - self._service_heard_at < FRESH_MS

    # the own watch

    def service_update(
        self, now: float, rev: int, whole: bool, targets: list[tuple[str, bool, bytes]]
    ) -> None:
        """The service has sent something: entries as (uid, whether it has left, its JSON)."""
        since = -1 if whole else self.rev
        self._watching, self._service_heard_at = True, now
        self._apply(whole, targets)
        self.rev = rev
        if not targets and not whole:
            return
        changed = [body for _, _, body in targets]
        for name, had in list(self._subscribers.items()):
            if had == since or since < 0:
                self._subscribers[name] = rev
                self.out.append((name, RelayedList(rev=rev, since=since, targets=changed, age=0.0)))
            else:
                self._forward(now, name, had)

    def service_lost(self, now: float) -> None:
        """The own watch has ended or a call has failed: we know nothing of the service, and say so."""
        if self._watching:
            self._watching = False
            for name in self._subscribers:
                self.out.append((name, RelayUnavailable(polling=self.passing)))

    def _forward(self, now: float, name: str, had: int) -> None:
        """Sends the whole list, or a message without changes to a subscriber that has the newest version."""
        age = now - self._service_heard_at
        if had == self.rev:
            self.out.append((name, RelayedList(rev=self.rev, since=had, targets=[], age=age)))
        else:
            self._subscribers[name] = self.rev
            whole = list(self._entries.values())
            self.out.append((name, RelayedList(rev=self.rev, since=-1, targets=whole, age=age)))

    # other members

    def receive(self, now: float, name: str, message: Message) -> ListUpdate | None:
        """Handles a message of another member; returns the list update that it brings, if any."""
        if isinstance(message, RelaySubscribe):
            if len(self._subscribers) < MAX_SUBSCRIBERS or name in self._subscribers:
                self._subscribers[name] = message.rev
                if self._may_forward(now):
                    self._forward(now, name, message.rev)
                else:
                    self.out.append((name, RelayUnavailable(polling=self.passing)))
        elif isinstance(message, RelayUnavailable):
            self._heard_at.pop(name, None)
            self._polling_at.pop(name, None)
            if message.polling and name in self.relays:
                self._polling_at[name] = now
        elif isinstance(message, RelayedList):
            return self._accept(now, name, message)
        return None

    def _accept(self, now: float, name: str, message: RelayedList) -> ListUpdate | None:
        if name not in self.relays or not 0 <= message.age < FRESH_MS:
            self.ignored += 1
            return None
        self._heard_at[name] = now
        self._polling_at.pop(name, None)
        if message.rev <= self.rev:
            return None  # a list that is not newer than ours is never accepted, whoever sends it
        whole = message.since < 0
        if not whole and message.since != self.rev:
            self._subscribed_at[name] = now
            self.out.append((name, RelaySubscribe(rev=self.rev)))  # we missed changes: request the whole list
            return None
        try:
            entries = [
                (e.uid, e.state == "left", body)
                for body in message.targets
                for e in (msgspec.json.decode(body, type=_ListEntry),)
            ]
        except msgspec.MsgspecError:
            self.ignored += 1
            return None
        # a member that becomes a relay needs the whole list, though its own watch brings only changes
        self._apply(whole, entries)
        self.accepted += 1
        self.rev = message.rev
        return ListUpdate(message.rev, whole, message.targets)

    def remove_peer(self, name: str) -> None:
        """The link to a member has closed, or it is no longer one of our relays."""
        self._subscribers.pop(name, None)
        self._heard_at.pop(name, None)
        self._polling_at.pop(name, None)
        self._subscribed_at.pop(name, None)


def _hash(name: str) -> bytes:
    return blake2b(name.encode(), digest_size=8, key=b"list").digest()
