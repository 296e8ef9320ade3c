"""A scope: a service with its routes and upstreams under one version, as source and subscribers both hold it.

Pure. A version is the epoch of the source and its change count, so the versions of all scopes of a source are
totally ordered, and those of a restarted source come after those of the one before. Records are in the order
of their last change: what changed since a version is read from the end, and no queue of changes exists. A
deleted record leaves a tombstone while others may still have to be notified; `tombstone_floor` is the highest
change count of a removed tombstone: a subscriber that is further behind gets a snapshot.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from hashlib import blake2b
from math import inf

from ospreyline.fleet.frames import ScopeItem, ScopeVersion

PRESENT, LEAVING, GONE = range(3)  # states of a record, as encoded
Version = tuple[int, int]
NO_VERSION: Version = (0, 0)
MAX_EPOCH = 1 << 62  # no peer can force an epoch after which none can follow
MAX_NAME_CHARS = 256  # of a scope's name or a key
MAX_BODY_BYTES = 1 << 16  # of a record
MAX_RECORDS = 1 << 16  # of a scope
RECORD_OVERHEAD_BYTES = 200  # of memory per record, beside its key and body
MAX_TOMBSTONES = 64  # kept for a scope
TOMBSTONE_TTL_MS = 600_000.0


def hash64(*parts: object) -> int:
    """A 64-bit hash of these values, the same in every process."""
    text = "\0".join(map(str, parts)).encode()
    return int.from_bytes(blake2b(text, digest_size=8).digest(), "big")


def _record_digest(key: str, state: int, body: bytes) -> int:
    return int.from_bytes(blake2b(b"%b\0%d\0%b" % (key.encode(), state, body), digest_size=8).digest(), "big")


@dataclass(slots=True, eq=False)
class Record:
    """A route or an upstream."""

    key: str
    n: int  # change count of its last change
    state: int
    body: bytes
    # ms on our clock; the source announced that it leaves at that time or later; inf: it does not leave
    leaving_since: float
    digest: int


@dataclass(slots=True, eq=False)
class Scope:
    """What is known of a scope. `records` are in the order of their last change."""

    name: str
    version: Version = NO_VERSION
    gone: bool = False
    gone_at: float = inf  # ms
    tombstone_floor: int = 0
    digest: int = 0
    size: int = RECORD_OVERHEAD_BYTES  # approximate bytes of memory
    records: dict[str, Record] = field(default_factory=dict)
    tombstones: dict[str, float] = field(default_factory=dict)  # by key: ms, when it was created

    def summary(self) -> ScopeVersion:
        return self.name, *self.version, 0 if self.gone else self.digest

    def put(
        self,
        now: float,
        key: str,
        n: int,
        state: int,
        body: bytes,
        leaving_since: float,
        keep_tombstone: bool,
    ) -> None:
        """Set one record. `keep_tombstone`: a deleted one leaves a tombstone, to notify subscribers."""
        old = self.records.pop(key, None)
        if old is not None:
            self._subtract(old)
            self.tombstones.pop(key, None)
            if old.state == LEAVING == state:
                # announced again: it began no later than before
                leaving_since = min(leaving_since, old.leaving_since)
        if state == GONE and not keep_tombstone:
            return
        if state == GONE:
            body = b""
            self.tombstones[key] = now
        leaving_since = leaving_since if state == LEAVING else inf
        record = Record(key, n, state, body, leaving_since, _record_digest(key, state, body))
        self.records[key] = record
        self.size += RECORD_OVERHEAD_BYTES + len(key) + len(body)
        if state != GONE:
            self.digest ^= record.digest
        while len(self.tombstones) > MAX_TOMBSTONES:
            self._remove_tombstone(next(iter(self.tombstones)))

    def _subtract(self, record: Record) -> None:
        self.size -= RECORD_OVERHEAD_BYTES + len(record.key) + len(record.body)
        if record.state != GONE:
            self.digest ^= record.digest

    def _remove_tombstone(self, key: str) -> None:
        del self.tombstones[key]
        record = self.records.pop(key)
        self._subtract(record)
        self.tombstone_floor = max(self.tombstone_floor, record.n)

    def expire_tombstones(self, now: float) -> None:
        """Remove expired tombstones."""
        while self.tombstones and now - next(iter(self.tombstones.values())) > TOMBSTONE_TTL_MS:
            self._remove_tombstone(next(iter(self.tombstones)))

    def clear(self) -> None:
        self.records.clear()
        self.tombstones.clear()
        self.digest, self.size = 0, RECORD_OVERHEAD_BYTES

    def relabel(self, version: Version) -> None:
        """Keep the contents under a version of another epoch."""
        for key in list(self.tombstones):
            self._remove_tombstone(key)
        for record in self.records.values():
            record.n = 0
        self.version, self.tombstone_floor = version, version[1]

    def changes_since(self, version: Version) -> list[Record] | None:
        """Records changed after a version, oldest first; None if that is no longer known."""
        if version[0] != self.version[0] or version[1] < self.tombstone_floor:
            return None
        changed = []
        for record in reversed(self.records.values()):
            if record.n <= version[1]:
                break
            changed.append(record)
        changed.reverse()
        return changed

    def live_records(self) -> list[Record]:
        return [record for record in self.records.values() if record.state != GONE]


def to_item(now: float, record: Record) -> ScopeItem:
    """A record in its wire form; the time since it leaves is given relative to `now`."""
    leaving_ms = max(0.0, now - record.leaving_since) if record.state == LEAVING else 0.0
    return ScopeItem(record.key, record.n, record.state, record.body, leaving_ms)


def wire_size(item: ScopeItem) -> int:
    """Approximate bytes on the wire."""
    return 16 + len(item.key) + len(item.body)
