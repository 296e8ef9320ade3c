"""The publisher side of scopes: the source, which counts the versions, and the fan-out machines between.

Pure. A subscriber's state holds for each scope which version it has acknowledged and since when that is not
the newest; there is no queue of changes, so a slow subscriber gets the newest state once it can take it. What
is sent keeps to the rate that the subscriber named and to a bound on unacknowledged bytes; drains go ahead of
both. What stays unacknowledged is sent again, as a difference from the version that the subscriber names.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Container, Iterable
from dataclasses import dataclass, field
from math import inf

from ospreyline.fleet.frames import (
    ChangeAck,
    FreshnessReport,
    Message,
    ScopeChange,
    ScopeItem,
    ScopeVersion,
    Subscribe,
    Unsubscribe,
)
from ospreyline.fleet.scopes import (
    GONE,
    LEAVING,
    MAX_EPOCH,
    MAX_NAME_CHARS,
    NO_VERSION,
    TOMBSTONE_TTL_MS,
    Scope,
    Version,
    hash64,
    to_item,
    wire_size,
)
from ospreyline.fleet.subscriber import MAX_SCOPES, MAX_SCOPES_OF_EVERYTHING, Subscriber

MAX_SUBSCRIBERS = 1_024
SUBSCRIBER_TIMEOUT_MS = 10_000.0  # without a message from a subscriber, after which it is removed
RESEND_MS = 1_000.0  # without an acknowledgement, after which a change is sent again
BURST_S = 4.0  # of a subscriber's rate that may be sent at once
MAX_BURST_BYTES = 1 << 20  # a link takes 4 MiB a second
MAX_UNACKED_BYTES = 192 << 10  # of one subscriber, above which nothing more is sent
PART_BYTES = 32 << 10  # of items in one message
MIN_RATE, MAX_RATE = 1 << 10, 2 << 20  # bytes a second
SALT_BITS = 16  # random bits of an epoch
SWEEP_INTERVAL_MS = 1_000.0  # between removals of subscribers that are gone


@dataclass(slots=True, eq=False)
class _InFlight:
    """A change in flight to a subscriber."""

    version: Version
    since: Version
    sent_at: float
    size: int
    gone: bool  # reports that the scope was deleted
    fresh_before_next: float = inf  # freshness just before the first later change


@dataclass(slots=True, eq=False)
class _SubscriberState:
    """What one subscriber subscribes to and has acknowledged."""

    name: str
    session: int
    edition: int
    clock: float  # its clock at its latest message
    last_heard: float
    rate: float
    everything: bool
    tokens: float
    refilled_at: float
    complete: bool = True  # the list of its scopes is complete
    # by subscribed scope: the version that it has named
    acked: dict[str, ScopeVersion] = field(default_factory=dict)
    acked_digest: int = 0  # digest of the versions in `acked`
    # by scope that is not up to date: our freshness when it fell behind
    behind: dict[str, float] = field(default_factory=dict)
    urgent: dict[str, None] = field(default_factory=dict)  # of those, to be sent first: with drains
    ready: dict[str, None] = field(default_factory=dict)  # to be sent: without drains
    drains: dict[tuple[str, str], None] = field(default_factory=dict)  # (scope, key)
    in_flight: dict[str, _InFlight] = field(default_factory=dict)
    unacked_bytes: int = 0
    # rest of the one change that is being sent in parts
    parts: deque[ScopeChange] = field(default_factory=deque)
    mismatches: int = 0  # messages in a row whose digest was not the expected one


class Publisher:
    """Sends subscribers the state of `scopes`, which its owner changes. `out`: (subscriber, message)."""

    def __init__(
        self,
        scopes: dict[str, Scope],
        fresh_as_of: Callable[[float], float],
        complete_to: Callable[[], Version],
        mismatched: Container[str] = (),
    ) -> None:
        """`fresh_as_of` of now: the time (ms) as of which `scopes` is the source's state; `complete_to`: the
        version up to which all changes are applied, NO_VERSION while that is not known; `mismatched`: scopes
        not to be sent."""
        self.out: list[tuple[str, Message]] = []
        self.scopes = scopes
        self.max_epoch = 0  # the greatest epoch that a subscriber has named
        self.sent = self.sent_bytes = self.resent = self.snapshots = self.mismatches = 0
        self._fresh_as_of, self._complete_to, self._mismatched = fresh_as_of, complete_to, mismatched
        self._subscribers: dict[str, _SubscriberState] = {}
        self._by_scope: dict[str, dict[str, _SubscriberState]] = {}
        self._everything: dict[str, _SubscriberState] = {}
        self._busy: dict[str, _SubscriberState] = {}
        self._swept_at = -inf

    def __len__(self) -> int:
        return len(self._subscribers)

    def backlog(self) -> int:
        """Scopes that are not up to date, summed over subscribers."""
        return sum(len(sub.behind) for sub in self._busy.values())

    # changes

    def scope_changed(self, now: float, name: str, drains: Iterable[str], fresh: float) -> None:
        """A scope has a new version; `drains`: keys that leave by it; `fresh`: our freshness before it."""
        drains, newest = list(drains), self._newest_version(name)
        urgent = bool(drains) or name not in self.scopes or self.scopes[name].gone
        for sub in [*self._by_scope.get(name, {}).values(), *self._everything.values()]:
            had = sub.acked.get(name)
            if had is not None and newest is not None and newest <= (had[1], had[2]):
                self._acknowledge(now, sub, had)  # the subscriber has it from another publisher
                continue
            self._mark_behind(sub, name, fresh, urgent)
            if not sub.everything and len(sub.drains) < 4_096:  # the change itself contains them, too
                for key in drains:
                    sub.drains[name, key] = None

    def _mark_behind(self, sub: _SubscriberState, name: str, fresh: float, urgent: bool) -> None:
        sub.behind.setdefault(name, fresh)
        sent = sub.in_flight.get(name)
        if sent is not None:
            sent.fresh_before_next = min(sent.fresh_before_next, fresh)
        if urgent:
            sub.urgent[name] = None
            sub.ready.pop(name, None)
        elif name not in sub.urgent:
            sub.ready[name] = None
        self._busy[sub.name] = sub

    # subscribers

    def receive(self, now: float, name: str, message: Message) -> None:
        """Process a message of a subscriber."""
        sub = self._subscribers.get(name)
        if isinstance(message, Subscribe):
            self._subscribe(now, name, sub, message)
        elif isinstance(message, ChangeAck):
            if sub is None or message.session > sub.session:
                # its session was with an earlier process of ours, or its `Subscribe` was lost
                if message.reply_wanted:
                    self._request_full_subscription(name, message)
            elif message.session == sub.session:
                self._handle_ack(now, sub, message)
        elif isinstance(message, Unsubscribe) and sub is not None and sub.session == message.session:
            self.remove_subscriber(name)

    def remove_subscriber(self, name: str) -> None:
        """The link to a subscriber has ended, or it has unsubscribed."""
        sub = self._subscribers.pop(name, None)
        if sub is None:
            return
        self._busy.pop(name, None)
        self._everything.pop(name, None)
        for scope in sub.acked:
            self._remove_from_scope(sub, scope)

    def _request_full_subscription(self, name: str, message: Subscribe | ChangeAck) -> None:
        self.out.append(
            (name, FreshnessReport(session=message.session, edition=0, echo=message.sent_at, resync=True))
        )

    def _remove_from_scope(self, sub: _SubscriberState, scope: str) -> None:
        subscribers = self._by_scope.get(scope)
        if subscribers is not None:
            subscribers.pop(sub.name, None)
            if not subscribers:
                del self._by_scope[scope]

    def _subscribe(self, now: float, name: str, sub: _SubscriberState | None, message: Subscribe) -> None:
        if sub is None or message.session > sub.session:
            if not message.whole:
                self._request_full_subscription(name, message)
                return
            self.remove_subscriber(name)
            if len(self._subscribers) >= MAX_SUBSCRIBERS:
                self.out.append(
                    (
                        name,
                        FreshnessReport(
                            session=message.session, edition=0, echo=message.sent_at, overloaded=True
                        ),
                    )
                )
                return
            rate = min(max(message.rate, MIN_RATE), MAX_RATE)
            sub = _SubscriberState(
                name,
                message.session,
                0,
                message.sent_at,
                now,
                rate,
                message.all_scopes,
                min(rate * BURST_S, MAX_BURST_BYTES),
                now,
            )
            self._subscribers[name] = sub
        elif message.session < sub.session or message.edition < sub.edition + (not message.whole):
            return  # older than what we have
        elif not message.whole and message.edition != sub.edition + 1:
            return  # an edition in between was lost; the next message shows it, and all is requested again
        sub.last_heard, sub.clock = now, max(sub.clock, message.sent_at)
        sub.edition, sub.complete = message.edition, not message.more
        if message.whole:
            for scope in sub.acked:
                self._remove_from_scope(sub, scope)
            sub.acked.clear()
            sub.behind.clear()
            sub.urgent.clear()
            sub.ready.clear()
            sub.drains.clear()
            sub.in_flight.clear()
            sub.parts.clear()
            sub.acked_digest = sub.unacked_bytes = 0
        max_scopes = MAX_SCOPES_OF_EVERYTHING if sub.everything else MAX_SCOPES
        for scope in message.removed:
            self._unsubscribe(sub, scope)
        for named in message.scopes:
            if len(named[0]) <= MAX_NAME_CHARS and (named[0] in sub.acked or len(sub.acked) < max_scopes):
                if not sub.everything:
                    self._by_scope.setdefault(named[0], {})[name] = sub
                self._acknowledge(now, sub, named)
        if sub.everything and sub.complete:
            self._everything[name] = sub
            for scope in self.scopes:
                if scope not in sub.acked:
                    self._acknowledge(now, sub, (scope, 0, 0, 0))
        self._send_status(now, sub)

    def _unsubscribe(self, sub: _SubscriberState, scope: str) -> None:
        self._remove_from_scope(sub, scope)
        had = sub.acked.pop(scope, None)
        if had is not None and had[1]:
            sub.acked_digest ^= hash64(*had[:3])
        sub.behind.pop(scope, None)
        sub.urgent.pop(scope, None)
        sub.ready.pop(scope, None)
        self._clear_in_flight(sub, scope)

    @staticmethod
    def _clear_in_flight(sub: _SubscriberState, scope: str) -> None:
        """Nothing of the scope is in flight any more."""
        sent = sub.in_flight.pop(scope, None)
        if sent is not None:
            sub.unacked_bytes -= sent.size
            if sub.parts and sub.parts[0].scope == scope:
                sub.parts.clear()

    def _acknowledge(self, now: float, sub: _SubscriberState, named: ScopeVersion) -> None:
        """The subscriber names its version of a scope, which counts, whatever we assumed."""
        scope, version = named[0], (named[1], named[2])
        had = sub.acked.get(scope)
        if had is not None and had[1]:
            sub.acked_digest ^= hash64(*had[:3])
        sub.acked[scope] = named
        if named[1]:
            sub.acked_digest ^= hash64(scope, *version)
        newest = self._newest_version(scope)
        sent, held = sub.in_flight.get(scope), self.scopes.get(scope)
        gone = held is None or held.gone
        self.max_epoch = max(self.max_epoch, min(version[0], MAX_EPOCH))
        if newest is None or newest[0] < version[0]:
            # We say nothing about a scope that we lack, or about a version of a source unknown to us.
            sub.behind[scope] = -inf
        elif newest <= version or (gone and sent is not None and sent.gone and sent.version <= version):
            sub.behind.pop(scope, None)
            sub.urgent.pop(scope, None)
            sub.ready.pop(scope, None)
            if sub.everything and gone:
                self._unsubscribe(sub, scope)
        elif sent is None:
            if scope not in sub.ready and scope not in sub.urgent:
                self._mark_behind(sub, scope, -inf, False)  # the age of its version is unknown
        elif version >= sent.version:
            sub.behind[scope] = sent.fresh_before_next
        elif version == sent.since:
            return  # as expected; the change is in flight
        else:
            # it has another version than the change in flight starts from
            self._mark_behind(sub, scope, -inf, False)
        self._clear_in_flight(sub, scope)

    def _newest_version(self, scope: str) -> Version | None:
        """The newest version of a scope; None: not known while our data is incomplete. A missing scope counts
        as deleted."""
        if scope in self._mismatched:
            return None
        found = self.scopes.get(scope)
        if found is not None and found.version != NO_VERSION and not found.gone:
            return found.version
        newest = max(self._complete_to(), found.version if found is not None else NO_VERSION)
        return newest if newest != NO_VERSION else None

    def _handle_ack(self, now: float, sub: _SubscriberState, message: ChangeAck) -> None:
        sub.last_heard, sub.clock = now, max(sub.clock, message.sent_at)
        if not sub.complete:
            if message.reply_wanted:
                sub.mismatches += 1
                self._send_status(now, sub, again=sub.mismatches > 2)
            return
        # A late message may concern a scope that was unsubscribed and subscribed again.
        for named in message.scopes if message.edition == sub.edition else ():
            if named[0] in sub.acked or (sub.everything and len(sub.acked) < MAX_SCOPES_OF_EVERYTHING):
                self._acknowledge(now, sub, named)
        if not message.reply_wanted:
            return
        again = message.edition != sub.edition
        if not again and message.holds != sub.acked_digest and not sub.in_flight:
            sub.mismatches += 1
            again = sub.mismatches > 1
            self.mismatches += again
        elif not again:
            sub.mismatches = 0
        self._send_status(now, sub, again)

    def _send_status(self, now: float, sub: _SubscriberState, again: bool = False) -> None:
        fresh = self._fresh_as_of(now)
        publisher_age = now - fresh if fresh > -inf else -1.0
        least = min(sub.behind.values(), default=inf)
        fresh = min(fresh, least)
        known = sub.complete and not again and not sub.mismatches and fresh > -inf
        epoch, n = self._complete_to()
        up_to_date = known and not sub.behind and epoch > 0
        self.out.append(
            (
                sub.name,
                FreshnessReport(
                    session=sub.session,
                    edition=sub.edition,
                    echo=sub.clock,
                    age=now - fresh if known else -1.0,
                    publisher_age=publisher_age,
                    up_to_date=up_to_date,
                    epoch=epoch,
                    n=n,
                    resync=again,
                ),
            )
        )

    # sending

    def tick(self, now: float) -> None:
        """Send what rate and window allow; remove unresponsive subscribers."""
        if now - self._swept_at > SWEEP_INTERVAL_MS:
            self._swept_at = now
            for name in [
                n for n, sub in self._subscribers.items() if now - sub.last_heard > SUBSCRIBER_TIMEOUT_MS
            ]:
                self.remove_subscriber(name)
            for sub in self._subscribers.values():
                for scope in [s for s, f in sub.behind.items() if f == -inf and s not in sub.in_flight]:
                    # we may have it by now
                    self._acknowledge(now, sub, sub.acked.get(scope, (scope, 0, 0, 0)))
        for name, sub in list(self._busy.items()):
            self._send_pending(now, sub)
            if not (sub.ready or sub.urgent or sub.drains or sub.parts or sub.in_flight):
                del self._busy[name]

    def _send_pending(self, now: float, sub: _SubscriberState) -> None:
        sub.tokens = min(
            sub.rate * BURST_S, MAX_BURST_BYTES, sub.tokens + sub.rate * (now - sub.refilled_at) / 1e3
        )
        sub.refilled_at = now
        parted = sub.parts[0].scope if sub.parts else None
        for scope, in_flight in list(sub.in_flight.items()):
            # To a subscriber that does not read nothing is sent twice.
            if (
                now - in_flight.sent_at > RESEND_MS
                and sub.last_heard > in_flight.sent_at + RESEND_MS / 2
                and scope != parted
            ):
                self._clear_in_flight(sub, scope)
                self.resent += 1
                (sub.ready if scope not in sub.urgent else sub.urgent)[scope] = None
        self._send_drains(now, sub)
        while sub.tokens > 0 and sub.unacked_bytes < MAX_UNACKED_BYTES:
            if sub.parts:
                part = sub.parts.popleft()
                self._send(now, sub, part)
                if (sent := sub.in_flight.get(part.scope)) is not None:
                    sent.sent_at = now
                continue
            found = next((s for d in (sub.urgent, sub.ready) for s in d if s not in sub.in_flight), None)
            if found is None:
                break
            sub.urgent.pop(found, None)
            sub.ready.pop(found, None)
            self._send_change(now, sub, found)

    def _send_drains(self, now: float, sub: _SubscriberState) -> None:
        by_scope: dict[str, list[ScopeItem]] = {}
        for scope, key in sub.drains:
            found = self.scopes.get(scope)
            record = found.records.get(key) if found is not None else None
            if record is not None and record.state != 0 and scope in sub.acked:
                item = to_item(now, record)
                by_scope.setdefault(scope, []).append(
                    ScopeItem(item.key, item.version, item.state, b"", item.draining_for_ms)
                )
        sub.drains.clear()
        for scope, items in by_scope.items():
            epoch, n = self.scopes[scope].version
            for i in range(0, len(items), 256):
                self._send(
                    now,
                    sub,
                    ScopeChange(
                        session=sub.session,
                        scope=scope,
                        epoch=epoch,
                        n=n,
                        drains_only=True,
                        items=items[i : i + 256],
                    ),
                )

    def _send(self, now: float, sub: _SubscriberState, change: ScopeChange) -> None:
        change.echo = sub.clock
        size = 80 + len(change.scope) + sum(wire_size(i) for i in change.items)
        sub.tokens -= size
        self.sent += 1
        self.sent_bytes += size
        self.out.append((sub.name, change))

    def _send_change(self, now: float, sub: _SubscriberState, name: str) -> None:
        """Send the newest state of a scope, as a difference from the acknowledged version or a snapshot."""
        _, epoch, n, digest = sub.acked.get(name, (name, 0, 0, 0))
        held, base = self.scopes.get(name), (epoch, n)
        newest = self._newest_version(name)
        if newest is None or newest <= base:
            return
        change = ScopeChange(session=sub.session, scope=name, epoch=newest[0], n=newest[1], since=base)
        items: list[ScopeItem] = []
        if held is None or held.version == NO_VERSION or held.gone:
            change.removed, change.since = True, NO_VERSION
        else:
            change.digest = held.digest
            records = held.changes_since(base) if base != NO_VERSION else None
            if records is None and digest == held.digest != 0 and base != NO_VERSION and epoch != newest[0]:
                records = []  # the same contents under a new epoch
            if records is None:
                self.snapshots += 1
                records, change.since = held.live_records(), NO_VERSION
            items = [to_item(now, r) for r in records]
        size = 80 + sum(wire_size(i) for i in items)
        sub.in_flight[name] = _InFlight(newest, base, now, size, change.removed)
        sub.unacked_bytes += size
        if size <= PART_BYTES:
            change.items = items
            self._send(now, sub, change)
            return
        parts: list[list[ScopeItem]] = [[]]
        remaining = PART_BYTES
        for item in items:
            if remaining < 0:
                parts.append([])
                remaining = PART_BYTES
            parts[-1].append(item)
            remaining -= wire_size(item)
        sub.parts.extend(
            ScopeChange(
                session=sub.session,
                scope=name,
                epoch=change.epoch,
                n=change.n,
                since=change.since,
                items=part,
                digest=change.digest,
                part=i,
                parts=len(parts),
            )
            for i, part in enumerate(parts)
        )


class Source:
    """The source of configuration: it counts the versions. Drains that it learns of late keep their time."""

    def __init__(self, start: int, draw: Callable[[], float]) -> None:
        """`start`: process start, Unix ms, from which the epoch is made; `draw` returns 0 to 1."""
        # Random bits, so that two sources whose clocks were set back never use the same epoch.
        self._salt = int(draw() * (1 << SALT_BITS))
        self.epoch, self.n = start << SALT_BITS | self._salt, 1
        self.scopes: dict[str, Scope] = {}
        self.publisher = Publisher(self.scopes, lambda now: now, lambda: (self.epoch, self.n))
        self._expirations: deque[tuple[float, str]] = deque()

    @property
    def out(self) -> list[tuple[str, Message]]:
        return self.publisher.out

    def put(
        self, now: float, name: str, changes: Iterable[tuple[str, int, bytes]], age_ms: float = 0.0
    ) -> None:
        """Set records, as (key, state, body); `age_ms`: how long ago we learned of it."""
        self.n += 1
        scope = self.scopes.setdefault(name, Scope(name))
        if scope.gone or scope.version == NO_VERSION:
            scope.tombstone_floor = self.n  # a subscriber that was notified of no such scope gets a snapshot
        scope.gone, scope.gone_at = False, inf
        drains = []
        for key, state, body in changes:
            old = scope.records.get(key)
            if state == LEAVING or (state == GONE and old is not None and old.state != GONE):
                drains.append(key)
            scope.put(now, key, self.n, state, body, now - age_ms, True)
            if state == GONE:
                self._expirations.append((now + TOMBSTONE_TTL_MS, name))
        scope.version = (self.epoch, self.n)
        self.publisher.scope_changed(now, name, drains, now)

    def remove(self, now: float, name: str) -> None:
        """Delete a scope."""
        self.n += 1
        scope = self.scopes[name]
        scope.clear()
        scope.version, scope.gone, scope.gone_at = (self.epoch, self.n), True, now
        self._expirations.append((now + TOMBSTONE_TTL_MS, name))
        self.publisher.scope_changed(now, name, [], now)

    def receive(self, now: float, name: str, message: Message) -> None:
        if isinstance(message, Subscribe | ChangeAck) and self.epoch < message.seen < MAX_EPOCH:
            # Our clock was set back: our versions must still follow those sent before.
            self.epoch = ((message.seen >> SALT_BITS) + 1) << SALT_BITS | self._salt
            for scope in self.scopes.values():
                scope.relabel((self.epoch, scope.version[1]))
                self.publisher.scope_changed(now, scope.name, (), now)
        self.publisher.receive(now, name, message)

    def tick(self, now: float) -> None:
        while self._expirations and now >= self._expirations[0][0]:
            _, name = self._expirations.popleft()
            scope = self.scopes.get(name)
            if scope is not None:
                scope.expire_tombstones(now + 1.0)
                if now - scope.gone_at >= TOMBSTONE_TTL_MS:
                    del self.scopes[name]
        self.publisher.tick(now)


class Fanout:
    """A fan-out machine: subscribes to everything and publishes it to the balancers."""

    def __init__(self, up: Subscriber) -> None:
        """`up` subscribes to everything of the source."""
        self.up = up
        self.down = Publisher(
            up.scopes,
            lambda now: up.fresh_as_of,
            lambda: up.complete_to if not up.refused else NO_VERSION,
            up.mismatched,
        )
        self._swept_at = 0.0

    def take_out(self) -> list[tuple[str, Message]]:
        out = self.up.out + self.down.out
        self.up.out, self.down.out = [], []
        return out

    def receive(self, now: float, name: str, message: Message) -> None:
        if isinstance(message, Subscribe | ChangeAck | Unsubscribe):
            self.down.receive(now, name, message)
            self.up.max_epoch = max(self.up.max_epoch, self.down.max_epoch)
            return
        before = self.up.fresh_as_of
        self.up.receive(now, name, message)
        updates, self.up.updates = self.up.updates, []
        for update in updates:
            drains = [r.key for r in update.records if r.state in (LEAVING, GONE)]
            self.down.scope_changed(now, update.scope, drains, before)

    def link_lost(self, now: float, name: str) -> None:
        """A link to the source or to a subscriber has ended."""
        self.up.publisher_lost(now, name)
        self.down.remove_subscriber(name)

    def tick(self, now: float) -> None:
        self.up.tick(now)
        self.down.tick(now)
        if now - self._swept_at > 60_000.0:
            self._swept_at = now
            self.up.expire(now)
