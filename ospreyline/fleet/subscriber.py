"""Who holds scopes and is told of them: a balancer what it serves, a fan-out machine everything.

Pure: time in ms and messages in, messages (`out`) and `news` out. It has one publisher at a time, in an order
of its own over those that there are; one that is silent, full or behind is left for the next, at a place of
its own in a window that grows with the bank (`fleet/pace.py`), and the new one is told what is held already,
so that a move costs differences. While it looks for a better one it goes on hearing the one that it has.

Versions guard everything: whatever comes, from whomever, only a newer version of a scope is taken, and it is
taken whole or not at all. Hearing nothing changes nothing but `age`: what is held was the state of the source
at most so long ago. That is reckoned from our own clock at the latest word of ours that the publisher had
when it spoke, so that time on the way counts as age, and never the other way round.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from math import inf

from ospreyline.fleet.frames import Change, Got, Item, Message, Named, Subscribe, Told, Unsubscribe
from ospreyline.fleet.pace import Pace
from ospreyline.fleet.scopes import (
    GONE,
    HERE,
    LEAVING,
    MOST_BODY,
    MOST_EPOCH,
    MOST_NAME,
    MOST_RECORDS,
    NOTHING,
    TOMBSTONE,
    Record,
    Scope,
    Version,
    mark,
)

BEAT = 1_000.0  # ms between two words to a publisher
SILENT = 2_300.0  # ms without a word of it, after which it is left
STALE = 3_000.0  # ms; a publisher that is further behind its source is left if another is not
SPREAD = 4.0  # times the window for a start, over which those that find theirs behind look for another
WANDER = 15_000.0  # ms, doubled with each try, between two looks for one that is not behind
HOME = 30_000.0  # ms, up to twice that, after which one that had to be left is tried again
AGAIN = 500.0  # ms between two times that all is named to one publisher
ACKS = 30.0  # ms for which what came is gathered before it is acknowledged
MUST = 10_000.0  # ms; no pause between two tries at a publisher is longer than four tenths of it
CALLS = 500.0  # subscribers a second that a publisher takes
TRY = 1_000.0  # ms between the beginnings of two tries at publishers, at the least; there are many of them
BYTES = 24 << 10  # a second that a balancer takes
MOST_BYTES = 32 << 20  # that are held
MOST_SCOPES = 1_000  # that a balancer wants at once, and so names in one message
MOST_ALL = 1 << 14  # that one that wants everything holds
MOST_PARTS = 1_024  # of a change
NAMES = 1_000  # in a message


@dataclass(slots=True, frozen=True)
class News:
    """What a scope is to become: all of it, or what changed. Records that have gone are in state GONE."""

    scope: str
    whole: bool
    gone: bool  # the scope is no more
    records: list[Record]
    closed: bool = False  # it is not held any more: others were used later


@dataclass(slots=True, eq=False)
class _Session:
    """With one publisher."""

    name: str
    number: int
    since: float
    heard: float  # ms; its last word of this session, or when it was begun
    spoke: bool = False
    own: float = inf  # ms; how old what it holds was then
    named_at: float = -inf  # ms; all was named to it
    beat_at: float = 0.0


@dataclass(slots=True, eq=False)
class _Parts:
    """A change of which some parts have come."""

    version: Version
    since: Version
    parts: int
    size: int = 0
    came: dict[int, list[Item]] = field(default_factory=dict)


class Subscriber:
    """The scopes of one balancer or fan-out machine. `out` holds (publisher, message) in order."""

    def __init__(
        self,
        name: str,
        start: int,
        publishers: Iterable[tuple[str, str]],
        draw: Callable[[], float],
        now: float,
        *,
        zone: str = "",
        number: int = 0,
        count: int = 1,
        everything: bool = False,
        rate: int = BYTES,
        most_bytes: int = MOST_BYTES,
        most_scopes: int = MOST_SCOPES,
        beat: float = BEAT,
    ) -> None:
        """`start`: of this process, Unix ms; `publishers`: names and zones; `number` of `count` that
        subscribe; `rate` in bytes a second; `everything`: also scopes that nobody named, with tombstones."""
        self.name = name
        self.out: list[tuple[str, Message]] = []
        self.news: list[News] = []
        self.scopes: dict[str, Scope] = {}
        self.everything = everything
        self.fresh = -inf  # ms; what is held and confirmed was the source's state then, or later
        self.complete: Version = NOTHING  # everything: all up to this version is held
        self.seen = 0  # the greatest epoch that we know of
        self.bytes = 0
        self.taken = self.ignored = self.refused = self.moves = self.doubts = self.named = 0
        self._wanted: dict[str, int] = {}  # scope, requests in flight; least recently used first
        self._dropped: set[str] = set()  # that are wanted only until their requests have ended
        self._fresh_not: set[str] = set()  # held, but no word about their age has come yet
        self.doubted: set[str] = set()  # what is held is not what its version has: named as nothing
        self._ahead: dict[str, dict[str, int]] = {}  # drains that came before their change
        self._parts: dict[str, _Parts] = {}
        self._parted = 0  # bytes in `_parts`
        self._holds = 0
        self._edition = 1
        self._acks: set[str] = set()
        self._acks_at = inf
        self._sessions: dict[str, _Session] = {}
        self._current = ""
        self._trial = ""
        self._trial_at = inf
        self._wander = WANDER
        self._number = start << 12
        self._draw = draw
        self._beat, self._rate = beat, rate
        self._most, self._most_scopes = most_bytes, MOST_ALL if everything else most_scopes
        found = list(publishers)
        hashed = sorted((n for n, _ in found), key=lambda n: mark("publisher", name, n))
        near = {n for n, z in found if z == zone}
        # the best is of our zone; then those of others come, since a zone is lost as a whole
        self.preferred = sorted(hashed, key=lambda n: n not in near)
        self.order = (
            self.preferred[:1] + self.preferred[len(near) or 1 :] + self.preferred[1 : len(near) or 1]
        )
        self._at = self._looks = 0
        self._pace = Pace(number, max(1, count), CALLS * max(1, len(self.order)), MUST)
        # guards: as at one list service, each publisher that is gone would cost over two seconds
        self._pace.period = max(TRY, self._pace.window)
        self._pace.start(now)

    # what the balancer wants

    @property
    def publishers(self) -> list[str]:
        """Those that we speak with now."""
        return list(self._sessions)

    def want(self, now: float, scope: str) -> bool:
        """Hold this scope from now on; of too many the least recently used one that is idle goes."""
        if scope in self._wanted:
            self._dropped.discard(scope)
            self._wanted[scope] = self._wanted.pop(scope)
            return True
        if len(scope) > MOST_NAME:
            return False
        if len(self._wanted) >= self._most_scopes:
            idle = next((name for name, flying in self._wanted.items() if not flying), None)
            if idle is None:
                return False
            self._end(now, idle)
            self.news.append(News(idle, False, False, [], True))
        self._wanted[scope] = 0
        self._edition += 1
        self._say_wants(now, scopes=[(scope, 0, 0, 0)])
        return True

    def drop(self, now: float, scope: str) -> None:
        """No longer; requests in flight are finished with what is held, and it is still told until then."""
        if self._wanted.get(scope, 0):
            self._dropped.add(scope)
        elif scope in self._wanted:
            self._end(now, scope)

    def begun(self, scope: str) -> bool:
        """A request goes by this scope; False: it takes no new ones."""
        held = self.scopes.get(scope)
        if scope not in self._wanted or scope in self._dropped or held is None or held.gone:
            return False
        self._wanted[scope] = self._wanted.pop(scope) + 1
        return True

    def ended(self, now: float, scope: str) -> None:
        """It has ended."""
        flying = self._wanted[scope] = self._wanted[scope] - 1
        if flying:
            return
        held = self.scopes.get(scope)
        if held is not None and held.gone:
            self._empty(held)
        if scope in self._dropped:
            self._end(now, scope)

    def _end(self, now: float, scope: str) -> None:
        del self._wanted[scope]
        self._dropped.discard(scope)
        self._forget(scope)
        self._edition += 1
        self._say_wants(now, drop=[scope])

    def _forget(self, scope: str) -> None:
        held = self.scopes.pop(scope, None)
        if held is not None:
            self.bytes -= held.size
            self._holds ^= self._counted(held)
        self.doubted.discard(scope)
        self._fresh_not.discard(scope)
        self._ahead.pop(scope, None)
        self._unpart(scope)

    def _counted(self, held: Scope) -> int:
        """In the digest of what we hold."""
        if held.name in self.doubted or (held.gone and self.everything):
            return 0
        return mark(held.name, *held.version)

    def _empty(self, held: Scope) -> None:
        self.bytes -= held.size
        held.clear()
        self.bytes += held.size

    def sweep(self, now: float) -> None:
        """Tombstones end, those of scopes as well."""
        for held in list(self.scopes.values()):
            self.bytes -= held.size
            held.age(now)
            self.bytes += held.size
            if self.everything and now - held.gone_at > TOMBSTONE:
                self._forget(held.name)

    def age(self, now: float, scope: str) -> float:
        """ms; what is held of it was the source's state at most so long ago. inf: not known."""
        if scope not in self.scopes or scope in self._fresh_not or scope in self.doubted:
            return inf
        return now - self.fresh

    # time

    def tick(self, now: float) -> None:
        """Speak to the publisher; leave one that is silent or behind."""
        for session in list(self._sessions.values()):
            if now - session.heard > SILENT:
                self.lost(now, session.name)
            elif now >= session.beat_at:
                session.beat_at = now + self._beat
                self._say(
                    session.name,
                    Got(
                        session=session.number,
                        edition=self._edition,
                        at=now,
                        holds=self._holds,
                        scopes=self._acked(),
                        seen=self.seen,
                    ),
                )
        if now >= self._acks_at:
            self._acks_at = inf
            scopes = self._acked()
            self._acks.difference_update([named[0] for named in scopes])
            if self._acks:
                self._acks_at = now
            for session in self._sessions.values():
                self._say(
                    session.name,
                    Got(
                        session=session.number,
                        edition=self._edition,
                        at=now,
                        holds=self._holds,
                        scopes=scopes,
                        answer=False,
                        seen=self.seen,
                    ),
                )
        if not self._current:
            if self.order and now >= self._pace.due:
                self._pace.called(now)
                self._current = self.order[self._at]
                self._begin(now, self._current)
        elif now >= self._trial_at and not self._trial:
            self._try(now)

    def _acked(self) -> list[Named]:
        return [self._named(scope) for scope in sorted(self._acks)[:NAMES]]

    def _named(self, scope: str) -> Named:
        held = self.scopes.get(scope)
        return (scope, 0, 0, 0) if held is None or scope in self.doubted else held.named()

    def _begin(self, now: float, publisher: str) -> None:
        self._number += 1
        self.moves += 1
        session = self._sessions[publisher] = _Session(publisher, self._number, now, now)
        session.beat_at = now + self._beat * (0.5 + 0.5 * self._draw())
        self._name_all(now, session)

    def _name_all(self, now: float, session: _Session) -> None:
        if now - session.named_at < AGAIN:
            return
        session.named_at = now
        self.named += 1
        names = (
            sorted(n for n, s in self.scopes.items() if not s.gone)
            if self.everything
            else sorted(self._wanted)
        )
        parts = [names[i : i + NAMES] for i in range(0, len(names), NAMES)] or [[]]
        if len(parts) > 1:
            self._edition += len(parts)  # guards: a part of the names that is lost is noticed
        for i, part in enumerate(parts):
            self._say(
                session.name,
                Subscribe(
                    session=session.number,
                    edition=self._edition - len(parts) + 1 + i,
                    at=now,
                    rate=self._rate,
                    scopes=[self._named(n) for n in part],
                    whole=not i,
                    more=i + 1 < len(parts),
                    everything=self.everything,
                    seen=self.seen,
                ),
            )

    def _say_wants(
        self, now: float, scopes: list[Named] | None = None, drop: list[str] | None = None
    ) -> None:
        for session in self._sessions.values():
            self._say(
                session.name,
                Subscribe(
                    session=session.number,
                    edition=self._edition,
                    at=now,
                    rate=self._rate,
                    scopes=scopes or [],
                    drop=drop or [],
                    seen=self.seen,
                ),
            )

    def _say(self, publisher: str, message: Message) -> None:
        self.out.append((publisher, message))

    def lost(self, now: float, publisher: str) -> None:
        """The link to a publisher has ended, or it is silent or full."""
        session = self._sessions.pop(publisher, None)
        if session is None:
            return
        self._say(publisher, Unsubscribe(session=session.number))
        if publisher == self._trial:
            self._trial = ""
            self._later(now)
            return
        self._current = ""
        if self._trial:  # it is being asked already
            self._current, self._trial = self._trial, ""
            self._at = self.order.index(self._current)
            return
        self._pace.failed(now)
        self._at = (self._at + 1) % len(self.order)
        self._trial_at = inf

    def _later(self, now: float) -> None:
        self._trial_at = now + self._wander * (1 + self._draw())
        self._wander = min(2 * self._wander, 16 * WANDER)

    def _try(self, now: float) -> None:
        """Another than the one we have: the first of our order, or the next while ours is behind."""
        self._trial_at = inf
        current = self._sessions[self._current]
        if current.own > STALE:
            self._at = (self._at + 1) % len(self.order)
            trial = self.order[self._at]
        else:
            better = self.preferred[: self.preferred.index(self._current)] or [self._current]
            trial = better[self._looks % len(better)]
            self._looks += 1
        if trial == self._current:
            if current.own > STALE:
                self._later(now)
            return
        self._trial = trial
        self._begin(now, trial)

    # messages

    def heard(self, now: float, publisher: str, message: Message) -> None:
        """A word of a publisher."""
        session = self._sessions.get(publisher)
        if not isinstance(message, Told | Change) or session is None or message.session != session.number:
            self.ignored += 1  # guards: of a session that has ended, or of somebody else's
            return
        session.heard = now
        if isinstance(message, Told):
            self._told(now, session, message)
        else:
            self._change(now, message)

    def _told(self, now: float, session: _Session, message: Told) -> None:
        if message.full:
            self.lost(now, session.name)
            return
        if message.again:
            self._name_all(now, session)
        if not session.spoke and session.name == self._current:
            self._pace.told()
        session.spoke = True
        session.own = message.own + now - message.echo if message.own >= 0 and message.echo <= now else inf
        if message.edition == self._edition and message.age >= 0 and message.echo <= now:
            # guards: a word that was said before it knew what we want says nothing of that
            fresh = message.echo - message.age
            if fresh >= self.fresh:  # guards: what we knew before says nothing of what we did not hold then
                self.fresh = fresh
                self._fresh_not.clear()
            if self.everything and message.clean and message.epoch <= MOST_EPOCH:
                self.complete = max(self.complete, (message.epoch, message.n))
        self._choose(now, session)

    def _at_home(self) -> bool:
        return self._current == self.preferred[0]

    def _choose(self, now: float, session: _Session) -> None:
        """Which publisher to have, by what this one has just said."""
        if session.name == self._trial:
            if session.own <= STALE:
                old, self._current, self._trial = self._current, self._trial, ""
                self._say(old, Unsubscribe(session=self._sessions.pop(old).number))
                self._at = self.order.index(self._current)
                self._wander = WANDER
                self._trial_at = inf if self._at_home() else now + HOME * (1 + self._draw())
            elif now - session.since > SILENT:
                self.lost(now, session.name)
        elif session.own > STALE:
            if self._wander == WANDER and not self._trial and len(self.order) > 1:
                self._wander *= 2
                self._trial_at = min(self._trial_at, now + SPREAD * self._pace.window * self._draw())
            elif self._trial_at == inf and not self._trial:
                self._later(now)
        else:
            self._wander = WANDER
            if not self._at_home() and self._trial_at == inf and not self._trial:
                self._trial_at = now + HOME * (1 + self._draw())

    def _change(self, now: float, message: Change) -> None:
        name, version = message.scope, (message.epoch, message.n)
        if (
            len(name) > MOST_NAME
            or not 0 < message.epoch <= MOST_EPOCH
            or not message.echo <= now
            or not 0 <= message.part < message.parts <= MOST_PARTS
            or any(
                len(i.key) > MOST_NAME
                or len(i.body) > MOST_BODY
                or not HERE <= i.state <= GONE
                or not i.told >= 0
                or i.n > message.n
                for i in message.items
            )
        ):
            self.ignored += 1
            return
        held = self.scopes.get(name)
        if name not in self._wanted and (not self.everything or (held is None and self._no_more())):
            self.ignored += 1
            return
        if message.drains:
            if held is not None:
                self._drain(message, held)
            return
        self._acks.add(name)
        self._acks_at = min(self._acks_at, now + ACKS)
        if not self._newer(name, version, message.since):
            return
        items = message.items if message.parts == 1 else self._assembled(message, version)
        if items is None:
            return
        if message.since != NOTHING and (
            held is None or name in self.doubted or held.gone or not self._follows(message, held)
        ):
            return  # what we hold is named with the acknowledgement, and the rest comes
        if not message.gone and not self._fits(message, held, items):
            self.refused += 1  # guards: whatever is sent, memory is bounded; what is held stays
            return
        self._take(now, message, version, held, items)

    def _no_more(self) -> bool:
        return len(self.scopes) >= self._most_scopes

    def _newer(self, name: str, version: Version, since: Version) -> bool:
        held = self.scopes.get(name)
        if held is None:
            return True
        # guards: an older version never replaces a newer one, whoever brings it; what is doubted is had anew
        return version > held.version or (
            version == held.version and since == NOTHING and name in self.doubted
        )

    def _follows(self, message: Change, held: Scope) -> bool:
        """Whether what changed since a version can be put on what we hold."""
        if message.since == held.version:
            # guards: under another count it is the same only if nothing of it has changed meanwhile
            return message.epoch == held.version[0] or message.digest == held.digest
        return message.since[0] == message.epoch == held.version[0] and message.since[1] < held.version[1]

    def _fits(self, message: Change, held: Scope | None, items: list[Item]) -> bool:
        more = sum(200 + len(i.key) + len(i.body) for i in items)
        less = held.size if held is not None and message.since == NOTHING else 0
        count = len(items) + (len(held.records) if held is not None and message.since != NOTHING else 0)
        return self.bytes + self._parted + more - less <= self._most and count <= MOST_RECORDS

    def _assembled(self, message: Change, version: Version) -> list[Item] | None:
        """All items once all parts have come."""
        found = self._parts.get(message.scope)
        is_ours = (version, message.since, message.parts)
        if found is None or (found.version, found.since, found.parts) != is_ours:
            if found is not None and found.version > version:
                return None
            self._unpart(message.scope)
            found = self._parts[message.scope] = _Parts(version, message.since, message.parts)
        if message.part not in found.came:
            size = sum(200 + len(i.key) + len(i.body) for i in message.items)
            if self.bytes + self._parted + size > self._most:
                self.refused += 1
                return None
            found.came[message.part] = message.items
            found.size += size
            self._parted += size
        if len(found.came) < found.parts:
            return None
        self._unpart(message.scope)
        return [one for part in sorted(found.came) for one in found.came[part]]

    def _unpart(self, scope: str) -> None:
        found = self._parts.pop(scope, None)
        if found is not None:
            self._parted -= found.size

    def _take(
        self, now: float, message: Change, version: Version, held: Scope | None, items: list[Item]
    ) -> None:
        name = message.scope
        whole = message.since == NOTHING
        if held is None:
            held = self.scopes[name] = Scope(name)
            self.bytes += held.size
            self._fresh_not.add(name)
        else:
            self._holds ^= self._counted(held)
        self._unpart(name)
        self.doubted.discard(name)
        self.taken += 1
        ahead = self._ahead.get(name, {})
        if whole or version[0] != held.version[0]:
            ahead = {k: n for k, n in ahead.items() if version[0] == held.version[0]}
        ahead = {k: n for k, n in ahead.items() if n > version[1]}
        before = held.size
        changed: list[Record] = []
        if message.gone:
            if self._wanted.get(name) and not held.gone:
                pass  # guards: requests in flight are finished with what is held
            else:
                held.clear()
        elif whole:
            self._replace(now, message, held, items, ahead, changed)
            held.floor = version[1]
        elif version[0] != held.version[0]:
            held.relabel(version)
        else:
            had = held.version[1]
            for one in items:
                if one.n > had and ahead.get(one.key, 0) <= one.n:
                    self._put(now, message, held, one, changed)
        held.version, held.gone = version, message.gone
        held.gone_at = now if message.gone else inf
        self.seen = max(self.seen, version[0])
        if ahead:
            self._ahead[name] = ahead
        else:
            self._ahead.pop(name, None)
            if not message.gone and held.digest != message.digest:
                # guards: what we had was not what it should have been (two that disagree): all of it anew
                self.doubted.add(name)
                self.doubts += 1
        self._holds ^= self._counted(held)
        self.bytes += held.size - before
        self.news.append(News(name, whole, message.gone, changed))

    def _replace(
        self,
        now: float,
        message: Change,
        held: Scope,
        items: list[Item],
        ahead: dict[str, int],
        changed: list[Record],
    ) -> None:
        old = dict(held.records)
        held.clear()
        for one in items:
            record = old.get(one.key)
            if one.key in ahead:
                if record is None:
                    continue
                held.put(now, record.key, record.n, record.state, record.body, record.told_at, False)
                changed.append(held.records[one.key])
            else:
                if record is not None and record.state == LEAVING == one.state:
                    held.put(now, record.key, record.n, record.state, record.body, record.told_at, False)
                self._put(now, message, held, one, changed)
        gone = [r for k, r in old.items() if k not in held.records and r.state != GONE]
        changed += [Record(r.key, r.n, GONE, b"", inf, 0) for r in gone]

    def _put(self, now: float, message: Change, held: Scope, one: Item, changed: list[Record]) -> None:
        told_at = message.echo - one.told  # guards: the time on the way counts: never later than the truth
        held.put(now, one.key, one.n, one.state, one.body, told_at, self.everything)
        changed.append(held.records.get(one.key) or Record(one.key, one.n, GONE, b"", inf, 0))

    def _drain(self, message: Change, held: Scope) -> None:
        """These leave, told ahead of the rest of their scope."""
        if message.epoch != held.version[0] or self.everything or held.gone:
            return
        changed: list[Record] = []
        before = held.size
        for one in message.items:
            record = held.records.get(one.key)
            ahead = self._ahead.get(message.scope, {})
            known = max(held.version[1], ahead.get(one.key, 0))
            if record is None or one.state == HERE or one.n <= known:
                continue
            self._ahead.setdefault(message.scope, ahead)[one.key] = one.n
            # guards: an older change that comes after it must not bring it back, so it stays, as leaving
            held.put(message.echo, one.key, one.n, LEAVING, record.body, message.echo - one.told, False)
            changed.append(held.records[one.key])
        self.bytes += held.size - before
        if changed:
            self.news.append(News(message.scope, False, False, changed))
