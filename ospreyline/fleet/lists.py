"""The list of upstreams from few to many: who asks the service at once, who hears it from others first.

Pure. In each zone the `PASSERS` living members that were started first pass the list on while their own watch
of the service stands; nobody else does, so what goes round came from the service to the one who says it, and
no circle of balancers confirms anything. The others listen to two of them, and open their own watch later,
each at a place of its own in a long window: then everybody has what it has today, and those that pass on are
no longer needed. Only a newer version is ever taken from another; what the own watch says always holds.

While the service is down those that pass on say that they ask it. Whoever has found it down itself and hears
that asks rarely: the return is noticed by a few and told to all.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from hashlib import blake2b
from math import inf

import msgspec

from ospreyline.fleet.frames import Message, RelayedList, RelaySubscribe, RelayUnavailable

PASSERS = 2  # of a zone
SOURCES = 2  # that one listens to
BEAT = 500.0  # ms between two words of one that passes on, if there is no news
FRESH = 2_500.0  # ms for which a service that spoke counts as speaking
SETTLE = 400.0  # ms for which one has to be among the first before it passes on
NO_WORD = 1_500.0  # ms from the start without a word of others, after which we call as if there were none
AGAIN = 1_000.0  # ms until one that did not answer is asked again
MOST_LISTENERS = 512
LATE = 0.3, 0.7  # shares of the time without a call that is allowed, between which others open their watch


@dataclass(slots=True, frozen=True)
class News:
    """What the list is to become: all of it, or what changed after the version that we have."""

    rev: int
    whole: bool
    targets: list[bytes]


class _Listed(msgspec.Struct):
    uid: str
    state: str = "active"


class Lists:
    """The list as one member has it, hears it and passes it on. `out` holds what is to be sent."""

    def __init__(self, name: str, zone: str, start: int, draw: Callable[[], float], now: float) -> None:
        """`start`: of this process, Unix ms, as the other members have it."""
        self.name, self.zone = name, zone
        self._start = start
        self._begun = now
        self.out: list[tuple[str, Message]] = []
        self.rev = 0
        self.passing = False  # we are among those that pass it on
        self._chosen_at = inf  # ms; since then we are, as far as members are known
        self.sources: list[str] = []  # whom we listen to
        self.taken = self.ignored = 0  # lists from others
        self._draw = draw
        self._entries: dict[str, bytes] = {}  # by id; all of them as of the version that we have
        self._service_at = -inf  # ms; the service last spoke to us on our own watch
        self._watching = False
        self._listeners: dict[str, int] = {}  # name, version that was sent
        self._asked: dict[str, float] = {}  # sources, and when we last asked them
        self._heard: dict[str, float] = {}  # sources, and when they last had a fresh word
        self._trying: dict[str, float] = {}  # sources, and when they last said that they ask the service
        self._beat_at = 0.0

    def begin(self, rev: int, targets: list[tuple[str, bool, bytes]]) -> None:
        """The list that this process starts with; what the service says next may be changes only."""
        self.rev = rev
        self._change(True, targets)

    def _change(self, whole: bool, targets: Iterable[tuple[str, bool, bytes]]) -> None:
        if whole:
            self._entries.clear()
        for uid, left, body in targets:
            if left:
                self._entries.pop(uid, None)
            else:
                self._entries[uid] = body

    def late(self, must_ask_in: float) -> float:
        """ms from a start after which one that does not pass on opens its own watch."""
        low, high = LATE
        return must_ask_in * (low + (high - low) * self._draw())

    def hears(self, now: float) -> bool:
        """Whether somebody who watches the service has said so of late."""
        return any(now - at < FRESH for at in self._heard.values())

    def unheard(self, now: float) -> bool:
        """Whether nobody tells us: whoever hears nothing does what it would do alone."""
        return now - self._begun > NO_WORD and not self.hears(now)

    def asked_for_us(self, now: float) -> bool:
        """Whether the list reaches us or, while the service is down, somebody asks it who will tell us."""
        return self.hears(now) or any(now - at < FRESH for at in self._trying.values())

    # roles

    def members(self, now: float, living: Iterable[tuple[str, str, int]]) -> None:
        """Who lives, as (name, zone, start), without ourselves: roles follow from that, the same for all.

        The oldest pass on: a bank that starts would have others first by a hash with each that comes up, and
        each of those would call the service for the rest.
        """
        by = {self.zone: [(self._start, _place(self.name), self.name)]}
        for name, zone, start in living:
            by.setdefault(zone, []).append((start, _place(name), name))
        first = {zone: [name for _, _, name in sorted(here)[:PASSERS]] for zone, here in by.items()}
        self._chosen_at = min(self._chosen_at, now) if self.name in first[self.zone] else inf
        found = [n for n in first.pop(self.zone) if n != self.name]
        wanted = (found + [n for zone in sorted(first) for n in first[zone]])[:SOURCES]
        for name in [n for n in self._asked if n not in wanted]:
            self.gone(name)
        self.sources = wanted
        known = {name for here in by.values() for _, _, name in here}
        for name in [n for n in self._listeners if n not in known]:
            del self._listeners[name]

    def tick(self, now: float) -> None:
        """Ask those that we listen to; speak to those that listen to us."""
        # guards: while members are met, each would count itself among the first for a moment
        self.passing = now - max(self._chosen_at, self._begun) > SETTLE
        for name in self.sources:
            if now - self._heard.get(name, -inf) > FRESH and now - self._asked.get(name, -inf) > AGAIN:
                self._asked[name] = now
                self.out.append((name, RelaySubscribe(rev=self.rev)))
        if now >= self._beat_at:
            self._beat_at = now + BEAT
            speaks = self._speaks(now)
            for name, rev in list(self._listeners.items()) if speaks or self.passing else ():
                if speaks:
                    self._pass(now, name, rev)
                else:
                    self.out.append((name, RelayUnavailable(polling=True)))

    def _speaks(self, now: float) -> bool:
        """Whether we may pass on: the service itself has spoken to us of late."""
        return self._watching and now - self._service_at < FRESH

    # the own watch

    def told(self, now: float, rev: int, whole: bool, targets: list[tuple[str, bool, bytes]]) -> None:
        """The service has said something: entries as (id, whether it has left, its bytes)."""
        since = -1 if whole else self.rev
        self._watching, self._service_at = True, now
        self._change(whole, targets)
        self.rev = rev
        if not targets and not whole:
            return
        changed = [body for _, _, body in targets]
        for name, had in list(self._listeners.items()):
            if had == since or since < 0:
                self._listeners[name] = rev
                self.out.append((name, RelayedList(rev=rev, since=since, targets=changed, age=0.0)))
            else:
                self._pass(now, name, had)

    def told_nothing(self, now: float) -> None:
        """The own watch has ended or a call failed: we know nothing of the service and say so."""
        if self._watching:
            self._watching = False
            for name in self._listeners:
                self.out.append((name, RelayUnavailable(polling=self.passing)))

    def _pass(self, now: float, name: str, had: int) -> None:
        """The whole list, or that nothing has changed."""
        age = now - self._service_at
        if had == self.rev:
            self.out.append((name, RelayedList(rev=self.rev, since=had, targets=[], age=age)))
        else:
            self._listeners[name] = self.rev
            whole = list(self._entries.values())
            self.out.append((name, RelayedList(rev=self.rev, since=-1, targets=whole, age=age)))

    # others

    def heard(self, now: float, name: str, message: Message) -> News | None:
        """A message of another member; what the list is to become by it, if anything."""
        if isinstance(message, RelaySubscribe):
            if len(self._listeners) < MOST_LISTENERS or name in self._listeners:
                self._listeners[name] = message.rev
                if self._speaks(now):
                    self._pass(now, name, message.rev)
                else:
                    self.out.append((name, RelayUnavailable(polling=self.passing)))
        elif isinstance(message, RelayUnavailable):
            self._heard.pop(name, None)
            self._trying.pop(name, None)
            if message.polling and name in self.sources:
                self._trying[name] = now
        elif isinstance(message, RelayedList):
            return self._take(now, name, message)
        return None

    def _take(self, now: float, name: str, message: RelayedList) -> News | None:
        if name not in self.sources or not 0 <= message.age < FRESH:
            self.ignored += 1
            return None
        self._heard[name] = now
        self._trying.pop(name, None)
        if message.rev <= self.rev:
            return None  # guards: a list that is older than ours is never taken, whoever brings it
        whole = message.since < 0
        if not whole and message.since != self.rev:
            self._asked[name] = now
            self.out.append(
                (name, RelaySubscribe(rev=self.rev))
            )  # something is missing between: all of it, please
            return None
        try:
            read = [
                (e.uid, e.state == "left", body)
                for body in message.targets
                for e in (msgspec.json.decode(body, type=_Listed),)
            ]
        except msgspec.MsgspecError:
            self.ignored += 1
            return None
        # guards: one that passes on later has to have all of it, though its own watch brings changes alone
        self._change(whole, read)
        self.taken += 1
        self.rev = message.rev
        return News(message.rev, whole, message.targets)

    def gone(self, name: str) -> None:
        """The link to a member has ended, or we no longer listen to it."""
        self._listeners.pop(name, None)
        self._heard.pop(name, None)
        self._trying.pop(name, None)
        self._asked.pop(name, None)


def _place(name: str) -> bytes:
    return blake2b(name.encode(), digest_size=8, key=b"list").digest()
