"""The subscriber side of scopes: a balancer subscribes to what it serves, a fan-out machine to everything.

Pure: time in ms and messages in, messages (`out`) and `updates` out. A subscriber has one publisher at a
time, from its own order of all publishers. It leaves one that is unresponsive, full or behind for the next,
at its own place in a window that grows with the bank (`fleet/pace.py`); to the new one it names the versions
that it has, so that a move costs only differences. While it tries a candidate it keeps the publisher that it
has.

Versions guard everything: whoever sends it, only a newer version of a scope is applied, and only as a whole.
Receiving nothing changes nothing but `age`: the contents were the state of the source at most so long ago.
Age counts from our own clock at the latest message of ours that the publisher had received when it answered,
so time in transit adds to age and never reduces it.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
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
from ospreyline.fleet.pace import CallPacer
from ospreyline.fleet.scopes import (
    GONE,
    LEAVING,
    MAX_BODY_BYTES,
    MAX_EPOCH,
    MAX_NAME_CHARS,
    MAX_RECORDS,
    NO_VERSION,
    PRESENT,
    TOMBSTONE_TTL_MS,
    Record,
    Scope,
    Version,
    hash64,
)

HEARTBEAT_MS = 1_000.0  # between messages to a publisher
UNRESPONSIVE_MS = 2_300.0  # without a message from a publisher, after which it is left
STALE_MS = 3_000.0  # a publisher further behind its source is left if another is not
SEARCH_SPREAD = 4.0  # windows over which subscribers spread their search when their publisher is behind
# between searches for a publisher that is not behind; doubled with each attempt
SEARCH_INTERVAL_MS = 15_000.0
# before a preferred publisher that had to be left is tried again; up to twice that
RETURN_INTERVAL_MS = 30_000.0
RESUBSCRIBE_INTERVAL_MS = 500.0  # between two full subscriptions at one publisher
ACK_DELAY_MS = 30.0  # during which acknowledgements are batched
MUST_TRY_IN_MS = 10_000.0  # pauses between two attempts at publishers are at most four tenths of it
SUBSCRIPTIONS_PER_S = 500.0  # that one publisher can take
MIN_TRY_PERIOD_MS = 1_000.0  # between the starts of two attempts, at the least; there are many publishers
BYTES_PER_S = 24 << 10  # that a balancer accepts
MAX_HELD_BYTES = 32 << 20
MAX_SCOPES = 1_000  # of a balancer; all fit in one message
MAX_SCOPES_OF_EVERYTHING = 1 << 14  # of a subscriber to everything
MAX_PARTS = 1_024  # of a change
SCOPES_PER_MESSAGE = 1_000


@dataclass(slots=True, frozen=True)
class ScopeUpdate:
    """An update of a scope: a snapshot or changed records. Deleted records are in state GONE."""

    scope: str
    snapshot: bool
    gone: bool  # the scope is no more
    records: list[Record]
    evicted: bool = False  # the subscription was ended, as the least recently used


@dataclass(slots=True, eq=False)
class _Session:
    """The session with one publisher."""

    name: str
    number: int
    started_at: float
    last_heard: float  # its last message in this session, or the start of it
    answered: bool = False
    lag: float = inf  # ms by which the publisher was behind the source at its last message
    subscribed_at: float = -inf  # ms; last full subscription
    heartbeat_at: float = 0.0


@dataclass(slots=True, eq=False)
class _PartialChange:
    """A change of which only some parts have arrived."""

    version: Version
    since: Version
    parts: int
    size: int = 0
    received: dict[int, list[ScopeItem]] = field(default_factory=dict)


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
        rate: int = BYTES_PER_S,
        max_bytes: int = MAX_HELD_BYTES,
        max_scopes: int = MAX_SCOPES,
        heartbeat_ms: float = HEARTBEAT_MS,
    ) -> None:
        """`start`: process start, Unix ms; `publishers`: names and zones; `number` of `count` subscribers;
        `rate` in bytes a second; `everything`: all scopes, tombstones included."""
        self.name = name
        self.out: list[tuple[str, Message]] = []
        self.updates: list[ScopeUpdate] = []
        self.scopes: dict[str, Scope] = {}
        self.everything = everything
        self.fresh_as_of = -inf  # ms; confirmed contents were the source's state then or later
        # of a subscriber to everything: all changes up to this version are applied
        self.complete_to: Version = NO_VERSION
        self.max_epoch = 0  # the greatest epoch known
        self.held_bytes = 0
        self.applied = self.ignored = self.refused = 0
        self.moves = self.mismatches = self.full_subscriptions = 0
        self._subscribed: dict[str, int] = {}  # by scope: requests in flight; least recently used first
        self._unsubscribing: set[str] = set()  # unsubscribed once their requests in flight have ended
        self._unconfirmed: set[str] = set()  # applied, but not confirmed by the publisher yet
        # contents do not match their version's digest: a snapshot is requested
        self.mismatched: set[str] = set()
        # by scope and key: change count of a drain that came ahead of its change
        self._early_drains: dict[str, dict[str, int]] = {}
        self._partial: dict[str, _PartialChange] = {}
        self._partial_bytes = 0  # bytes in `_partial`
        self._held_digest = 0
        self._edition = 1
        self._pending_acks: set[str] = set()
        self._ack_at = inf
        self._sessions: dict[str, _Session] = {}
        self._current = ""
        self._candidate = ""
        self._search_at = inf
        self._search_interval = SEARCH_INTERVAL_MS
        self._last_session = start << 12
        self._draw = draw
        self._heartbeat_ms, self._rate = heartbeat_ms, rate
        self._max_bytes, self._max_scopes = max_bytes, MAX_SCOPES_OF_EVERYTHING if everything else max_scopes
        found = list(publishers)
        hashed = sorted((n for n, _ in found), key=lambda n: hash64("publisher", name, n))
        near = {n for n, z in found if z == zone}
        # The first is of our zone; then come those of others, since a zone may be lost as a whole.
        self.preferred = sorted(hashed, key=lambda n: n not in near)
        self.order = (
            self.preferred[:1] + self.preferred[len(near) or 1 :] + self.preferred[1 : len(near) or 1]
        )
        self._order_index = self._return_tries = 0
        self._pacer = CallPacer(
            number, max(1, count), SUBSCRIPTIONS_PER_S * max(1, len(self.order)), MUST_TRY_IN_MS
        )
        # With the period for a single list service, each publisher that is gone would cost over two seconds.
        self._pacer.period = max(MIN_TRY_PERIOD_MS, self._pacer.window)
        self._pacer.start(now)

    # subscriptions

    @property
    def publishers(self) -> list[str]:
        """The publishers with a session."""
        return list(self._sessions)

    def subscribe(self, now: float, scope: str) -> bool:
        """Subscribe to a scope. At the limit the least recently used idle one goes; False if none is idle."""
        if scope in self._subscribed:
            self._unsubscribing.discard(scope)
            self._subscribed[scope] = self._subscribed.pop(scope)
            return True
        if len(scope) > MAX_NAME_CHARS:
            return False
        if len(self._subscribed) >= self._max_scopes:
            idle = next((name for name, in_flight in self._subscribed.items() if not in_flight), None)
            if idle is None:
                return False
            self._remove_subscription(now, idle)
            self.updates.append(ScopeUpdate(idle, False, False, [], True))
        self._subscribed[scope] = 0
        self._edition += 1
        self._send_subscription_change(now, scopes=[(scope, 0, 0, 0)])
        return True

    def unsubscribe(self, now: float, scope: str) -> None:
        """Unsubscribe; requests in flight are finished with the current contents, which are updated until
        then."""
        if self._subscribed.get(scope, 0):
            self._unsubscribing.add(scope)
        elif scope in self._subscribed:
            self._remove_subscription(now, scope)

    def start_request(self, scope: str) -> bool:
        """Start a request by this scope; False: the scope takes no new requests."""
        held = self.scopes.get(scope)
        if scope not in self._subscribed or scope in self._unsubscribing or held is None or held.gone:
            return False
        self._subscribed[scope] = self._subscribed.pop(scope) + 1
        return True

    def end_request(self, now: float, scope: str) -> None:
        """A request has ended."""
        in_flight = self._subscribed[scope] = self._subscribed[scope] - 1
        if in_flight:
            return
        held = self.scopes.get(scope)
        if held is not None and held.gone:
            self._clear(held)
        if scope in self._unsubscribing:
            self._remove_subscription(now, scope)

    def _remove_subscription(self, now: float, scope: str) -> None:
        del self._subscribed[scope]
        self._unsubscribing.discard(scope)
        self._discard(scope)
        self._edition += 1
        self._send_subscription_change(now, removed=[scope])

    def _discard(self, scope: str) -> None:
        held = self.scopes.pop(scope, None)
        if held is not None:
            self.held_bytes -= held.size
            self._held_digest ^= self._digest_of(held)
        self.mismatched.discard(scope)
        self._unconfirmed.discard(scope)
        self._early_drains.pop(scope, None)
        self._discard_partial(scope)

    def _digest_of(self, held: Scope) -> int:
        """The scope's part in the digest of all that we have."""
        if held.name in self.mismatched or (held.gone and self.everything):
            return 0
        return hash64(held.name, *held.version)

    def _clear(self, held: Scope) -> None:
        self.held_bytes -= held.size
        held.clear()
        self.held_bytes += held.size

    def expire(self, now: float) -> None:
        """Remove expired tombstones, also those of scopes."""
        for held in list(self.scopes.values()):
            self.held_bytes -= held.size
            held.expire_tombstones(now)
            self.held_bytes += held.size
            if self.everything and now - held.gone_at > TOMBSTONE_TTL_MS:
                self._discard(held.name)

    def age(self, now: float, scope: str) -> float:
        """ms; the scope's contents were the source's state at most so long ago; inf: not known."""
        if scope not in self.scopes or scope in self._unconfirmed or scope in self.mismatched:
            return inf
        return now - self.fresh_as_of

    # time

    def tick(self, now: float) -> None:
        """Send heartbeats and acknowledgements, leave an unresponsive publisher, try another when due."""
        for session in list(self._sessions.values()):
            if now - session.last_heard > UNRESPONSIVE_MS:
                self.publisher_lost(now, session.name)
            elif now >= session.heartbeat_at:
                session.heartbeat_at = now + self._heartbeat_ms
                self._send(
                    session.name,
                    ChangeAck(
                        session=session.number,
                        edition=self._edition,
                        sent_at=now,
                        holds=self._held_digest,
                        scopes=self._ack_summaries(),
                        seen=self.max_epoch,
                    ),
                )
        if now >= self._ack_at:
            self._ack_at = inf
            scopes = self._ack_summaries()
            self._pending_acks.difference_update([named[0] for named in scopes])
            if self._pending_acks:
                self._ack_at = now
            for session in self._sessions.values():
                self._send(
                    session.name,
                    ChangeAck(
                        session=session.number,
                        edition=self._edition,
                        sent_at=now,
                        holds=self._held_digest,
                        scopes=scopes,
                        reply_wanted=False,
                        seen=self.max_epoch,
                    ),
                )
        if not self._current:
            if self.order and now >= self._pacer.next_call_at:
                self._pacer.call_started(now)
                self._current = self.order[self._order_index]
                self._start_session(now, self._current)
        elif now >= self._search_at and not self._candidate:
            self._try_candidate(now)

    def _ack_summaries(self) -> list[ScopeVersion]:
        return [self._summary(scope) for scope in sorted(self._pending_acks)[:SCOPES_PER_MESSAGE]]

    def _summary(self, scope: str) -> ScopeVersion:
        held = self.scopes.get(scope)
        return (scope, 0, 0, 0) if held is None or scope in self.mismatched else held.summary()

    def _start_session(self, now: float, publisher: str) -> None:
        self._last_session += 1
        self.moves += 1
        session = self._sessions[publisher] = _Session(publisher, self._last_session, now, now)
        session.heartbeat_at = now + self._heartbeat_ms * (0.5 + 0.5 * self._draw())
        self._send_full_subscription(now, session)

    def _send_full_subscription(self, now: float, session: _Session) -> None:
        if now - session.subscribed_at < RESUBSCRIBE_INTERVAL_MS:
            return
        session.subscribed_at = now
        self.full_subscriptions += 1
        names = (
            sorted(n for n, s in self.scopes.items() if not s.gone)
            if self.everything
            else sorted(self._subscribed)
        )
        parts = [names[i : i + SCOPES_PER_MESSAGE] for i in range(0, len(names), SCOPES_PER_MESSAGE)] or [[]]
        if len(parts) > 1:
            self._edition += len(parts)  # so that a lost part of the list is noticed
        for i, part in enumerate(parts):
            self._send(
                session.name,
                Subscribe(
                    session=session.number,
                    edition=self._edition - len(parts) + 1 + i,
                    sent_at=now,
                    rate=self._rate,
                    scopes=[self._summary(n) for n in part],
                    whole=not i,
                    more=i + 1 < len(parts),
                    all_scopes=self.everything,
                    seen=self.max_epoch,
                ),
            )

    def _send_subscription_change(
        self, now: float, scopes: list[ScopeVersion] | None = None, removed: list[str] | None = None
    ) -> None:
        for session in self._sessions.values():
            self._send(
                session.name,
                Subscribe(
                    session=session.number,
                    edition=self._edition,
                    sent_at=now,
                    rate=self._rate,
                    scopes=scopes or [],
                    removed=removed or [],
                    seen=self.max_epoch,
                ),
            )

    def _send(self, publisher: str, message: Message) -> None:
        self.out.append((publisher, message))

    def publisher_lost(self, now: float, publisher: str) -> None:
        """End the session: the link to the publisher has ended, or it is unresponsive or full."""
        session = self._sessions.pop(publisher, None)
        if session is None:
            return
        self._send(publisher, Unsubscribe(session=session.number))
        if publisher == self._candidate:
            self._candidate = ""
            self._schedule_search(now)
            return
        self._current = ""
        if self._candidate:  # the candidate already has a session
            self._current, self._candidate = self._candidate, ""
            self._order_index = self.order.index(self._current)
            return
        self._pacer.call_failed(now)
        self._order_index = (self._order_index + 1) % len(self.order)
        self._search_at = inf

    def _schedule_search(self, now: float) -> None:
        self._search_at = now + self._search_interval * (1 + self._draw())
        self._search_interval = min(2 * self._search_interval, 16 * SEARCH_INTERVAL_MS)

    def _try_candidate(self, now: float) -> None:
        """Try a candidate: a more preferred publisher, or the next one while ours is behind."""
        self._search_at = inf
        current = self._sessions[self._current]
        if current.lag > STALE_MS:
            self._order_index = (self._order_index + 1) % len(self.order)
            candidate = self.order[self._order_index]
        else:
            better = self.preferred[: self.preferred.index(self._current)] or [self._current]
            candidate = better[self._return_tries % len(better)]
            self._return_tries += 1
        if candidate == self._current:
            if current.lag > STALE_MS:
                self._schedule_search(now)
            return
        self._candidate = candidate
        self._start_session(now, candidate)

    # messages

    def receive(self, now: float, publisher: str, message: Message) -> None:
        """Process a message of a publisher."""
        session = self._sessions.get(publisher)
        if (
            not isinstance(message, FreshnessReport | ScopeChange)
            or session is None
            or message.session != session.number
        ):
            self.ignored += 1  # of an ended session, or of another publisher
            return
        session.last_heard = now
        if isinstance(message, FreshnessReport):
            self._handle_status(now, session, message)
        else:
            self._handle_change(now, message)

    def _handle_status(self, now: float, session: _Session, message: FreshnessReport) -> None:
        if message.overloaded:
            self.publisher_lost(now, session.name)
            return
        if message.resync:
            self._send_full_subscription(now, session)
        if not session.answered and session.name == self._current:
            self._pacer.call_answered()
        session.answered = True
        session.lag = (
            message.publisher_age + now - message.echo
            if message.publisher_age >= 0 and message.echo <= now
            else inf
        )
        if message.edition == self._edition and message.age >= 0 and message.echo <= now:
            # A message sent before the publisher knew our subscriptions says nothing about them.
            fresh = message.echo - message.age
            if fresh >= self.fresh_as_of:  # an older confirmation says nothing of scopes added since
                self.fresh_as_of = fresh
                self._unconfirmed.clear()
            if self.everything and message.up_to_date and message.epoch <= MAX_EPOCH:
                self.complete_to = max(self.complete_to, (message.epoch, message.n))
        self._select_publisher(now, session)

    def _at_preferred(self) -> bool:
        return self._current == self.preferred[0]

    def _select_publisher(self, now: float, session: _Session) -> None:
        """Select the publisher by the state that this one has just reported."""
        if session.name == self._candidate:
            if session.lag <= STALE_MS:
                old, self._current, self._candidate = self._current, self._candidate, ""
                self._send(old, Unsubscribe(session=self._sessions.pop(old).number))
                self._order_index = self.order.index(self._current)
                self._search_interval = SEARCH_INTERVAL_MS
                self._search_at = (
                    inf if self._at_preferred() else now + RETURN_INTERVAL_MS * (1 + self._draw())
                )
            elif now - session.started_at > UNRESPONSIVE_MS:
                self.publisher_lost(now, session.name)
        elif session.lag > STALE_MS:
            if self._search_interval == SEARCH_INTERVAL_MS and not self._candidate and len(self.order) > 1:
                self._search_interval *= 2
                self._search_at = min(
                    self._search_at, now + SEARCH_SPREAD * self._pacer.window * self._draw()
                )
            elif self._search_at == inf and not self._candidate:
                self._schedule_search(now)
        else:
            self._search_interval = SEARCH_INTERVAL_MS
            if not self._at_preferred() and self._search_at == inf and not self._candidate:
                self._search_at = now + RETURN_INTERVAL_MS * (1 + self._draw())

    def _handle_change(self, now: float, message: ScopeChange) -> None:
        name, version = message.scope, (message.epoch, message.n)
        if (
            len(name) > MAX_NAME_CHARS
            or not 0 < message.epoch <= MAX_EPOCH
            or not message.echo <= now
            or not 0 <= message.part < message.parts <= MAX_PARTS
            or any(
                len(i.key) > MAX_NAME_CHARS
                or len(i.body) > MAX_BODY_BYTES
                or not PRESENT <= i.state <= GONE
                or not i.draining_for_ms >= 0
                or i.version > message.n
                for i in message.items
            )
        ):
            self.ignored += 1
            return
        held = self.scopes.get(name)
        if name not in self._subscribed and (
            not self.everything or (held is None and self._at_scope_limit())
        ):
            self.ignored += 1
            return
        if message.drains_only:
            if held is not None:
                self._apply_drains(message, held)
            return
        self._pending_acks.add(name)
        self._ack_at = min(self._ack_at, now + ACK_DELAY_MS)
        if not self._is_newer(name, version, message.since):
            return
        items = message.items if message.parts == 1 else self._assemble(message, version)
        if items is None:
            return
        if message.since != NO_VERSION and (
            held is None or name in self.mismatched or held.gone or not self._is_applicable(message, held)
        ):
            return  # the acknowledgement names our version, and the publisher sends the rest
        if not message.removed and not self._fits(message, held, items):
            self.refused += 1  # memory is bounded whatever is sent; the contents stay
            return
        self._apply(now, message, version, held, items)

    def _at_scope_limit(self) -> bool:
        return len(self.scopes) >= self._max_scopes

    def _is_newer(self, name: str, version: Version, since: Version) -> bool:
        held = self.scopes.get(name)
        if held is None:
            return True
        # An older version never replaces a newer one, whoever sends it; a mismatched scope takes a snapshot.
        return version > held.version or (
            version == held.version and since == NO_VERSION and name in self.mismatched
        )

    def _is_applicable(self, message: ScopeChange, held: Scope) -> bool:
        """Whether a change can be applied to what we have."""
        if message.since == held.version:
            # under another epoch the contents are the same only if nothing has changed meanwhile
            return message.epoch == held.version[0] or message.digest == held.digest
        return message.since[0] == message.epoch == held.version[0] and message.since[1] < held.version[1]

    def _fits(self, message: ScopeChange, held: Scope | None, items: list[ScopeItem]) -> bool:
        more = sum(200 + len(i.key) + len(i.body) for i in items)
        less = held.size if held is not None and message.since == NO_VERSION else 0
        count = len(items) + (len(held.records) if held is not None and message.since != NO_VERSION else 0)
        return self.held_bytes + self._partial_bytes + more - less <= self._max_bytes and count <= MAX_RECORDS

    def _assemble(self, message: ScopeChange, version: Version) -> list[ScopeItem] | None:
        """All items once all parts have arrived, else None."""
        partial = self._partial.get(message.scope)
        is_ours = (version, message.since, message.parts)
        if partial is None or (partial.version, partial.since, partial.parts) != is_ours:
            if partial is not None and partial.version > version:
                return None
            self._discard_partial(message.scope)
            partial = self._partial[message.scope] = _PartialChange(version, message.since, message.parts)
        if message.part not in partial.received:
            size = sum(200 + len(i.key) + len(i.body) for i in message.items)
            if self.held_bytes + self._partial_bytes + size > self._max_bytes:
                self.refused += 1
                return None
            partial.received[message.part] = message.items
            partial.size += size
            self._partial_bytes += size
        if len(partial.received) < partial.parts:
            return None
        self._discard_partial(message.scope)
        return [item for part in sorted(partial.received) for item in partial.received[part]]

    def _discard_partial(self, scope: str) -> None:
        partial = self._partial.pop(scope, None)
        if partial is not None:
            self._partial_bytes -= partial.size

    def _apply(
        self, now: float, message: ScopeChange, version: Version, held: Scope | None, items: list[ScopeItem]
    ) -> None:
        name = message.scope
        snapshot = message.since == NO_VERSION
        if held is None:
            held = self.scopes[name] = Scope(name)
            self.held_bytes += held.size
            self._unconfirmed.add(name)
        else:
            self._held_digest ^= self._digest_of(held)
        self._discard_partial(name)
        self.mismatched.discard(name)
        self.applied += 1
        early_drains = self._early_drains.get(name, {})
        if snapshot or version[0] != held.version[0]:
            early_drains = {k: n for k, n in early_drains.items() if version[0] == held.version[0]}
        early_drains = {k: n for k, n in early_drains.items() if n > version[1]}
        before = held.size
        changed: list[Record] = []
        if message.removed:
            if self._subscribed.get(name) and not held.gone:
                pass  # requests in flight are finished with the current contents
            else:
                held.clear()
        elif snapshot:
            self._apply_snapshot(now, message, held, items, early_drains, changed)
            held.tombstone_floor = version[1]
        elif version[0] != held.version[0]:
            held.relabel(version)
        else:
            had = held.version[1]
            for item in items:
                if item.version > had and early_drains.get(item.key, 0) <= item.version:
                    self._put_item(now, message, held, item, changed)
        held.version, held.gone = version, message.removed
        held.gone_at = now if message.removed else inf
        self.max_epoch = max(self.max_epoch, version[0])
        if early_drains:
            self._early_drains[name] = early_drains
        else:
            self._early_drains.pop(name, None)
            if not message.removed and held.digest != message.digest:
                # The contents were not what they should have been (two sources disagree): request a snapshot.
                self.mismatched.add(name)
                self.mismatches += 1
        self._held_digest ^= self._digest_of(held)
        self.held_bytes += held.size - before
        self.updates.append(ScopeUpdate(name, snapshot, message.removed, changed))

    def _apply_snapshot(
        self,
        now: float,
        message: ScopeChange,
        held: Scope,
        items: list[ScopeItem],
        early_drains: dict[str, int],
        changed: list[Record],
    ) -> None:
        old = dict(held.records)
        held.clear()
        for item in items:
            record = old.get(item.key)
            if item.key in early_drains:
                if record is None:
                    continue
                held.put(now, record.key, record.n, record.state, record.body, record.leaving_since, False)
                changed.append(held.records[item.key])
            else:
                if record is not None and record.state == LEAVING == item.state:
                    held.put(
                        now, record.key, record.n, record.state, record.body, record.leaving_since, False
                    )
                self._put_item(now, message, held, item, changed)
        gone = [r for k, r in old.items() if k not in held.records and r.state != GONE]
        changed += [Record(r.key, r.n, GONE, b"", inf, 0) for r in gone]

    def _put_item(
        self, now: float, message: ScopeChange, held: Scope, item: ScopeItem, changed: list[Record]
    ) -> None:
        # in transit time counts: never later than the truth
        leaving_since = message.echo - item.draining_for_ms
        held.put(now, item.key, item.version, item.state, item.body, leaving_since, self.everything)
        changed.append(held.records.get(item.key) or Record(item.key, item.version, GONE, b"", inf, 0))

    def _apply_drains(self, message: ScopeChange, held: Scope) -> None:
        """Apply drains, which are sent ahead of the rest of their scope."""
        if message.epoch != held.version[0] or self.everything or held.gone:
            return
        changed: list[Record] = []
        before = held.size
        for item in message.items:
            record = held.records.get(item.key)
            early_drains = self._early_drains.get(message.scope, {})
            known = max(held.version[1], early_drains.get(item.key, 0))
            if record is None or item.state == PRESENT or item.version <= known:
                continue
            self._early_drains.setdefault(message.scope, early_drains)[item.key] = item.version
            # It stays, as leaving, so that an older change that arrives later does not bring it back.
            held.put(
                message.echo,
                item.key,
                item.version,
                LEAVING,
                record.body,
                message.echo - item.draining_for_ms,
                False,
            )
            changed.append(held.records[item.key])
        self.held_bytes += held.size - before
        if changed:
            self.updates.append(ScopeUpdate(message.scope, False, False, changed))
