"""Who tells others of scopes: the source, which counts the versions, and the fan-out machines between.

Pure. A subscriber's record says for each scope which version it has acknowledged and since when that is not
the newest; there is no queue of changes, so one that is slow is told the newest state once it can take it.
What is sent keeps to the bytes a second that the subscriber named and to a bound on what is unacknowledged;
drains go ahead of both. What stays unacknowledged is sent again, from what the subscriber says that it has.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Container, Iterable
from dataclasses import dataclass, field
from math import inf

from ospreyline.fleet.frames import Change, Got, Item, Message, Named, Subscribe, Told, Unsubscribe
from ospreyline.fleet.scopes import (
    GONE,
    LEAVING,
    MOST_EPOCH,
    MOST_NAME,
    NOTHING,
    TOMBSTONE,
    Scope,
    Version,
    item,
    mark,
    size,
)
from ospreyline.fleet.subscriber import MOST_ALL, MOST_SCOPES, Subscriber

MOST_SUBSCRIBERS = 1_024
FORGET = 10_000.0  # ms without a word of a subscriber, after which it is forgotten
RESEND = 1_000.0  # ms without an acknowledgement, after which a change is sent again
BURST = 4.0  # s of a subscriber's rate that may go out at once
MOST_BURST = 1 << 20  # bytes; a link takes 4 MiB a second
WINDOW = 192 << 10  # bytes that are not acknowledged, of one subscriber, above which nothing more goes out
PART = 32 << 10  # bytes of items in one message
LEAST_RATE, MOST_RATE = 1 << 10, 2 << 20  # bytes a second
SALT = 16  # bits of an epoch that chance gives
SWEEP = 1_000.0  # ms between two looks for what has ended


@dataclass(slots=True, eq=False)
class _Sent:
    """A change on its way to a subscriber."""

    version: Version
    since: Version
    at: float
    size: int
    gone: bool  # said that the scope is no more
    later: float = inf  # freshness just before the first change that came after it


@dataclass(slots=True, eq=False)
class _Subscribed:
    """What one subscriber wants and has."""

    name: str
    session: int
    edition: int
    at: float  # its clock in its latest word
    heard: float
    rate: float
    everything: bool
    tokens: float
    filled: float
    whole: bool = True  # it has named all
    acked: dict[str, Named] = field(default_factory=dict)  # of each scope that it wants
    holds: int = 0  # digest of the versions in `acked`
    behind: dict[str, float] = field(default_factory=dict)  # scopes, and freshness when each fell behind
    urgent: dict[str, None] = field(default_factory=dict)  # of those, to be sent: with drains
    ready: dict[str, None] = field(default_factory=dict)  # and without
    drains: dict[tuple[str, str], None] = field(default_factory=dict)  # scope and key
    sent: dict[str, _Sent] = field(default_factory=dict)
    unacked: int = 0
    parts: deque[Change] = field(default_factory=deque)  # of the one change that is being sent in parts
    odd: int = 0  # words in a row in which it held something else than we think


class Publisher:
    """Tells subscribers of the scopes in `scopes`, which its owner changes. `out`: (subscriber, message)."""

    def __init__(
        self,
        scopes: dict[str, Scope],
        fresh: Callable[[float], float],
        complete: Callable[[], Version],
        doubted: Container[str] = (),
    ) -> None:
        """`fresh` of now: the time as of which `scopes` is the source's state; `complete`: the version up to
        which all is there, NOTHING while that is not known; `doubted`: scopes that are not to be told."""
        self.out: list[tuple[str, Message]] = []
        self.scopes = scopes
        self.seen = 0  # the greatest epoch that a subscriber has named
        self.sent = self.sent_bytes = self.resent = self.snapshots = self.odd = 0
        self._fresh, self._complete, self._doubted = fresh, complete, doubted
        self._subscribers: dict[str, _Subscribed] = {}
        self._by_scope: dict[str, dict[str, _Subscribed]] = {}
        self._everything: dict[str, _Subscribed] = {}
        self._busy: dict[str, _Subscribed] = {}
        self._swept = -inf

    def __len__(self) -> int:
        return len(self._subscribers)

    def backlog(self) -> int:
        """Scopes that subscribers are behind in, all together."""
        return sum(len(sub.behind) for sub in self._busy.values())

    # what changes

    def changed(self, now: float, name: str, drains: Iterable[str], fresh: float) -> None:
        """A scope has a new version; `drains`: keys that leave by it; `fresh`: as it was just before."""
        drains, newest = list(drains), self._newest(name)
        urgent = bool(drains) or name not in self.scopes or self.scopes[name].gone
        for sub in [*self._by_scope.get(name, {}).values(), *self._everything.values()]:
            had = sub.acked.get(name)
            if had is not None and newest is not None and newest <= (had[1], had[2]):
                self._named(now, sub, had)  # another publisher was quicker
                continue
            self._fell_behind(sub, name, fresh, urgent)
            if not sub.everything and len(sub.drains) < 4_096:  # guards: the change itself brings them, too
                for key in drains:
                    sub.drains[name, key] = None

    def _fell_behind(self, sub: _Subscribed, name: str, fresh: float, urgent: bool) -> None:
        sub.behind.setdefault(name, fresh)
        sent = sub.sent.get(name)
        if sent is not None:
            sent.later = min(sent.later, fresh)
        if urgent:
            sub.urgent[name] = None
            sub.ready.pop(name, None)
        elif name not in sub.urgent:
            sub.ready[name] = None
        self._busy[sub.name] = sub

    # subscribers

    def heard(self, now: float, name: str, message: Message) -> None:
        """A word of a subscriber."""
        sub = self._subscribers.get(name)
        if isinstance(message, Subscribe):
            self._subscribe(now, name, sub, message)
        elif isinstance(message, Got):
            if sub is None or message.session > sub.session:
                if message.answer:  # of a process of ours before this one, or its `Subscribe` was lost
                    self._name_all(name, message)
            elif message.session == sub.session:
                self._got(now, sub, message)
        elif isinstance(message, Unsubscribe) and sub is not None and sub.session == message.session:
            self.gone(name)

    def gone(self, name: str) -> None:
        """The link to a subscriber has ended, or it wants no more."""
        sub = self._subscribers.pop(name, None)
        if sub is None:
            return
        self._busy.pop(name, None)
        self._everything.pop(name, None)
        for scope in sub.acked:
            self._unwant(sub, scope)

    def _name_all(self, name: str, message: Subscribe | Got) -> None:
        self.out.append((name, Told(session=message.session, edition=0, echo=message.at, again=True)))

    def _unwant(self, sub: _Subscribed, scope: str) -> None:
        wanting = self._by_scope.get(scope)
        if wanting is not None:
            wanting.pop(sub.name, None)
            if not wanting:
                del self._by_scope[scope]

    def _subscribe(self, now: float, name: str, sub: _Subscribed | None, message: Subscribe) -> None:
        if sub is None or message.session > sub.session:
            if not message.whole:
                self._name_all(name, message)
                return
            self.gone(name)
            if len(self._subscribers) >= MOST_SUBSCRIBERS:
                self.out.append((name, Told(session=message.session, edition=0, echo=message.at, full=True)))
                return
            rate = min(max(message.rate, LEAST_RATE), MOST_RATE)
            sub = _Subscribed(
                name,
                message.session,
                0,
                message.at,
                now,
                rate,
                message.everything,
                min(rate * BURST, MOST_BURST),
                now,
            )
            self._subscribers[name] = sub
        elif message.session < sub.session or message.edition < sub.edition + (not message.whole):
            return  # guards: what is older than what we know of it
        elif not message.whole and message.edition != sub.edition + 1:
            return  # guards: something between was lost; its next word tells, and all is named anew
        sub.heard, sub.at = now, max(sub.at, message.at)
        sub.edition, sub.whole = message.edition, not message.more
        if message.whole:
            for scope in sub.acked:
                self._unwant(sub, scope)
            sub.acked.clear()
            sub.behind.clear()
            sub.urgent.clear()
            sub.ready.clear()
            sub.drains.clear()
            sub.sent.clear()
            sub.parts.clear()
            sub.holds = sub.unacked = 0
        most = MOST_ALL if sub.everything else MOST_SCOPES
        for scope in message.drop:
            self._drop(sub, scope)
        for named in message.scopes:
            if len(named[0]) <= MOST_NAME and (named[0] in sub.acked or len(sub.acked) < most):
                if not sub.everything:
                    self._by_scope.setdefault(named[0], {})[name] = sub
                self._named(now, sub, named)
        if sub.everything and sub.whole:
            self._everything[name] = sub
            for scope in self.scopes:
                if scope not in sub.acked:
                    self._named(now, sub, (scope, 0, 0, 0))
        self._tell(now, sub)

    def _drop(self, sub: _Subscribed, scope: str) -> None:
        self._unwant(sub, scope)
        had = sub.acked.pop(scope, None)
        if had is not None and had[1]:
            sub.holds ^= mark(*had[:3])
        sub.behind.pop(scope, None)
        sub.urgent.pop(scope, None)
        sub.ready.pop(scope, None)
        self._settled(sub, scope)

    @staticmethod
    def _settled(sub: _Subscribed, scope: str) -> None:
        """Nothing of it is on its way any more."""
        sent = sub.sent.pop(scope, None)
        if sent is not None:
            sub.unacked -= sent.size
            if sub.parts and sub.parts[0].scope == scope:
                sub.parts.clear()

    def _named(self, now: float, sub: _Subscribed, named: Named) -> None:
        """It says what it has of a scope; that counts, whatever we thought."""
        scope, version = named[0], (named[1], named[2])
        had = sub.acked.get(scope)
        if had is not None and had[1]:
            sub.holds ^= mark(*had[:3])
        sub.acked[scope] = named
        if named[1]:
            sub.holds ^= mark(scope, *version)
        newest = self._newest(scope)
        sent, held = sub.sent.get(scope), self.scopes.get(scope)
        gone = held is None or held.gone
        self.seen = max(self.seen, min(version[0], MOST_EPOCH))
        if newest is None or newest[0] < version[0]:
            # guards: of what we lack, and of what a source said that none of ours has known, we say nothing
            sub.behind[scope] = -inf
        elif newest <= version or (gone and sent is not None and sent.gone and sent.version <= version):
            sub.behind.pop(scope, None)
            sub.urgent.pop(scope, None)
            sub.ready.pop(scope, None)
            if sub.everything and gone:
                self._drop(sub, scope)
        elif sent is None:
            if scope not in sub.ready and scope not in sub.urgent:
                self._fell_behind(sub, scope, -inf, False)  # guards: nobody knows how old what it has is
        elif version >= sent.version:
            sub.behind[scope] = sent.later
        elif version == sent.since:
            return  # what we know; the change is on its way
        else:
            self._fell_behind(sub, scope, -inf, False)  # it has another one than we built on
        self._settled(sub, scope)

    def _newest(self, scope: str) -> Version | None:
        """None: not known, as long as we do not have everything. One that is not there is gone since."""
        if scope in self._doubted:
            return None
        found = self.scopes.get(scope)
        if found is not None and found.version != NOTHING and not found.gone:
            return found.version
        newest = max(self._complete(), found.version if found is not None else NOTHING)
        return newest if newest != NOTHING else None

    def _got(self, now: float, sub: _Subscribed, message: Got) -> None:
        sub.heard, sub.at = now, max(sub.at, message.at)
        if not sub.whole:
            if message.answer:
                sub.odd += 1
                self._tell(now, sub, again=sub.odd > 2)
            return
        # guards: a word that was late may be of a scope that it has dropped and wants again
        for named in message.scopes if message.edition == sub.edition else ():
            if named[0] in sub.acked or (sub.everything and len(sub.acked) < MOST_ALL):
                self._named(now, sub, named)
        if not message.answer:
            return
        again = message.edition != sub.edition
        if not again and message.holds != sub.holds and not sub.sent:
            sub.odd += 1
            again = sub.odd > 1
            self.odd += again
        elif not again:
            sub.odd = 0
        self._tell(now, sub, again)

    def _tell(self, now: float, sub: _Subscribed, again: bool = False) -> None:
        fresh = self._fresh(now)
        own = now - fresh if fresh > -inf else -1.0
        least = min(sub.behind.values(), default=inf)
        fresh = min(fresh, least)
        known = sub.whole and not again and not sub.odd and fresh > -inf
        epoch, n = self._complete()
        clean = known and not sub.behind and epoch > 0
        self.out.append(
            (
                sub.name,
                Told(
                    session=sub.session,
                    edition=sub.edition,
                    echo=sub.at,
                    age=now - fresh if known else -1.0,
                    own=own,
                    clean=clean,
                    epoch=epoch,
                    n=n,
                    again=again,
                ),
            )
        )

    # sending

    def tick(self, now: float) -> None:
        """Send what can go out now."""
        if now - self._swept > SWEEP:
            self._swept = now
            for name in [n for n, sub in self._subscribers.items() if now - sub.heard > FORGET]:
                self.gone(name)
            for sub in self._subscribers.values():
                for scope in [s for s, f in sub.behind.items() if f == -inf and s not in sub.sent]:
                    self._named(now, sub, sub.acked.get(scope, (scope, 0, 0, 0)))  # we may know by now
        for name, sub in list(self._busy.items()):
            self._pump(now, sub)
            if not (sub.ready or sub.urgent or sub.drains or sub.parts or sub.sent):
                del self._busy[name]

    def _pump(self, now: float, sub: _Subscribed) -> None:
        sub.tokens = min(sub.rate * BURST, MOST_BURST, sub.tokens + sub.rate * (now - sub.filled) / 1e3)
        sub.filled = now
        parted = sub.parts[0].scope if sub.parts else None
        for scope, on_way in list(sub.sent.items()):
            # guards: to one that does not read nothing is said twice
            if now - on_way.at > RESEND and sub.heard > on_way.at + RESEND / 2 and scope != parted:
                self._settled(sub, scope)
                self.resent += 1
                (sub.ready if scope not in sub.urgent else sub.urgent)[scope] = None
        self._send_drains(now, sub)
        while sub.tokens > 0 and sub.unacked < WINDOW:
            if sub.parts:
                part = sub.parts.popleft()
                self._send(now, sub, part)
                if (sent := sub.sent.get(part.scope)) is not None:
                    sent.at = now
                continue
            found = next((s for d in (sub.urgent, sub.ready) for s in d if s not in sub.sent), None)
            if found is None:
                break
            sub.urgent.pop(found, None)
            sub.ready.pop(found, None)
            self._send_change(now, sub, found)

    def _send_drains(self, now: float, sub: _Subscribed) -> None:
        by: dict[str, list[Item]] = {}
        for scope, key in sub.drains:
            found = self.scopes.get(scope)
            record = found.records.get(key) if found is not None else None
            if record is not None and record.state != 0 and scope in sub.acked:
                one = item(now, record)
                by.setdefault(scope, []).append(Item(one.key, one.n, one.state, b"", one.told))
        sub.drains.clear()
        for scope, items in by.items():
            epoch, n = self.scopes[scope].version
            for i in range(0, len(items), 256):
                self._send(
                    now,
                    sub,
                    Change(
                        session=sub.session,
                        scope=scope,
                        epoch=epoch,
                        n=n,
                        drains=True,
                        items=items[i : i + 256],
                    ),
                )

    def _send(self, now: float, sub: _Subscribed, change: Change) -> None:
        change.echo = sub.at
        taken = 80 + len(change.scope) + sum(size(i) for i in change.items)
        sub.tokens -= taken
        self.sent += 1
        self.sent_bytes += taken
        self.out.append((sub.name, change))

    def _send_change(self, now: float, sub: _Subscribed, name: str) -> None:
        """The newest state of a scope, from what the subscriber has acknowledged."""
        _, epoch, n, digest = sub.acked.get(name, (name, 0, 0, 0))
        held, base = self.scopes.get(name), (epoch, n)
        newest = self._newest(name)
        if newest is None or newest <= base:
            return
        change = Change(session=sub.session, scope=name, epoch=newest[0], n=newest[1], since=base)
        items: list[Item] = []
        if held is None or held.version == NOTHING or held.gone:
            change.gone, change.since = True, NOTHING
        else:
            change.digest = held.digest
            records = held.since(base) if base != NOTHING else None
            if records is None and digest == held.digest != 0 and base != NOTHING and epoch != newest[0]:
                records = []  # the same, by a source that counts anew
            if records is None:
                self.snapshots += 1
                records, change.since = held.whole(), NOTHING
            items = [item(now, r) for r in records]
        taken = 80 + sum(size(i) for i in items)
        sub.sent[name] = _Sent(newest, base, now, taken, change.gone)
        sub.unacked += taken
        if taken <= PART:
            change.items = items
            self._send(now, sub, change)
            return
        cut: list[list[Item]] = [[]]
        room = PART
        for one in items:
            if room < 0:
                cut.append([])
                room = PART
            cut[-1].append(one)
            room -= size(one)
        sub.parts.extend(
            Change(
                session=sub.session,
                scope=name,
                epoch=change.epoch,
                n=change.n,
                since=change.since,
                items=part,
                digest=change.digest,
                part=i,
                parts=len(cut),
            )
            for i, part in enumerate(cut)
        )


class Source:
    """The source of configuration: it counts the versions. What it is told of a drain keeps its time."""

    def __init__(self, start: int, draw: Callable[[], float]) -> None:
        """`start`: of this process, Unix ms, from which its epoch is made; `draw` gives 0 to 1."""
        # guards: two sources whose clocks were set back never come to the same epoch
        self._salt = int(draw() * (1 << SALT))
        self.epoch, self.n = start << SALT | self._salt, 1
        self.scopes: dict[str, Scope] = {}
        self.publisher = Publisher(self.scopes, lambda now: now, lambda: (self.epoch, self.n))
        self._ends: deque[tuple[float, str]] = deque()

    @property
    def out(self) -> list[tuple[str, Message]]:
        return self.publisher.out

    def put(
        self, now: float, name: str, changes: Iterable[tuple[str, int, bytes]], told: float = 0.0
    ) -> None:
        """Records become these, as (key, state, body); `told`: ms ago that we heard it."""
        self.n += 1
        scope = self.scopes.setdefault(name, Scope(name))
        if scope.gone or scope.version == NOTHING:
            scope.floor = self.n  # guards: who was told that there is no such scope gets all of it
        scope.gone, scope.gone_at = False, inf
        drains = []
        for key, state, body in changes:
            old = scope.records.get(key)
            if state == LEAVING or (state == GONE and old is not None and old.state != GONE):
                drains.append(key)
            scope.put(now, key, self.n, state, body, now - told, True)
            if state == GONE:
                self._ends.append((now + TOMBSTONE, name))
        scope.version = (self.epoch, self.n)
        self.publisher.changed(now, name, drains, now)

    def remove(self, now: float, name: str) -> None:
        """A scope is no more."""
        self.n += 1
        scope = self.scopes[name]
        scope.clear()
        scope.version, scope.gone, scope.gone_at = (self.epoch, self.n), True, now
        self._ends.append((now + TOMBSTONE, name))
        self.publisher.changed(now, name, [], now)

    def heard(self, now: float, name: str, message: Message) -> None:
        if isinstance(message, Subscribe | Got) and self.epoch < message.seen < MOST_EPOCH:
            # guards: our clock was set back: what we say must still come after what was said before
            self.epoch = ((message.seen >> SALT) + 1) << SALT | self._salt
            for scope in self.scopes.values():
                scope.relabel((self.epoch, scope.version[1]))
                self.publisher.changed(now, scope.name, (), now)
        self.publisher.heard(now, name, message)

    def tick(self, now: float) -> None:
        while self._ends and now >= self._ends[0][0]:
            _, name = self._ends.popleft()
            scope = self.scopes.get(name)
            if scope is not None:
                scope.age(now + 1.0)
                if now - scope.gone_at >= TOMBSTONE:
                    del self.scopes[name]
        self.publisher.tick(now)


class Fanout:
    """One of the machines set aside: subscribes to everything, tells those that serve."""

    def __init__(self, up: Subscriber) -> None:
        """`up` wants everything of the source."""
        self.up = up
        self.down = Publisher(
            up.scopes, lambda now: up.fresh, lambda: up.complete if not up.refused else NOTHING, up.doubted
        )
        self._swept = 0.0

    def take_out(self) -> list[tuple[str, Message]]:
        out = self.up.out + self.down.out
        self.up.out, self.down.out = [], []
        return out

    def heard(self, now: float, name: str, message: Message) -> None:
        if isinstance(message, Subscribe | Got | Unsubscribe):
            self.down.heard(now, name, message)
            self.up.seen = max(self.up.seen, self.down.seen)
            return
        before = self.up.fresh
        self.up.heard(now, name, message)
        news, self.up.news = self.up.news, []
        for one in news:
            drains = [r.key for r in one.records if r.state in (LEAVING, GONE)]
            self.down.changed(now, one.scope, drains, before)

    def lost(self, now: float, name: str) -> None:
        """A link has ended."""
        self.up.lost(now, name)
        self.down.gone(name)

    def tick(self, now: float) -> None:
        self.up.tick(now)
        self.down.tick(now)
        if now - self._swept > 60_000.0:
            self._swept = now
            self.up.sweep(now)
