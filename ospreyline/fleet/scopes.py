"""A scope: a service with its routes and upstreams under one version, as source and balancer alike hold it.

Pure. A version is the epoch of the source and its count of changes, so the versions of all scopes of a source
are in one order and a source that counts anew comes after the one before. Records lie in the order of their
last change: what changed since a version is read from the end, and no queue of changes is kept anywhere. One
that has gone leaves a tombstone for as long as others may have to be told; `floor` is the number up to which
tombstones were dropped: who is further behind gets all of it.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from hashlib import blake2b
from math import inf

from ospreyline.fleet.frames import Item, Named

HERE, LEAVING, GONE = range(3)  # states of a record
Version = tuple[int, int]
NOTHING: Version = (0, 0)
MOST_EPOCH = 1 << 62  # guards: nobody can be made to name an epoch that none can come after
MOST_NAME = 256  # characters of a scope's name or a key
MOST_BODY = 1 << 16  # bytes of a record
MOST_RECORDS = 1 << 16  # of a scope
COST = 200  # bytes that a record costs beside its key and body
TOMBSTONES = 64  # of a scope that are kept
TOMBSTONE = 600_000.0  # ms for which one is kept


def mark(*parts: object) -> int:
    """64 bits that tell these apart from others, the same everywhere."""
    text = "\0".join(map(str, parts)).encode()
    return int.from_bytes(blake2b(text, digest_size=8).digest(), "big")


def _mark(key: str, state: int, body: bytes) -> int:
    return int.from_bytes(blake2b(b"%b\0%d\0%b" % (key.encode(), state, body), digest_size=8).digest(), "big")


@dataclass(slots=True, eq=False)
class Record:
    """A route or an upstream."""

    key: str
    n: int  # of its last change
    state: int
    body: bytes
    told_at: float  # ms on our clock; the source said at that time, or later, that it leaves
    mark: int


@dataclass(slots=True, eq=False)
class Scope:
    """What is held of a scope. `records` has the latest change last."""

    name: str
    version: Version = NOTHING
    gone: bool = False
    gone_at: float = inf  # ms
    floor: int = 0
    digest: int = 0
    size: int = COST  # bytes, about
    records: dict[str, Record] = field(default_factory=dict)
    tombstones: dict[str, float] = field(default_factory=dict)  # keys, and since when

    def named(self) -> Named:
        return self.name, *self.version, 0 if self.gone else self.digest

    def put(self, now: float, key: str, n: int, state: int, body: bytes, told_at: float, kept: bool) -> None:
        """One record becomes this; a tombstone is `kept` if others are told from here."""
        old = self.records.pop(key, None)
        if old is not None:
            self._less(old)
            self.tombstones.pop(key, None)
            if old.state == LEAVING == state:
                told_at = min(told_at, old.told_at)  # guards: told anew, it began no later
        if state == GONE and not kept:
            return
        if state == GONE:
            body = b""
            self.tombstones[key] = now
        found = Record(key, n, state, body, told_at if state == LEAVING else inf, _mark(key, state, body))
        self.records[key] = found
        self.size += COST + len(key) + len(body)
        if state != GONE:
            self.digest ^= found.mark
        while len(self.tombstones) > TOMBSTONES:
            self._bury(next(iter(self.tombstones)))

    def _less(self, record: Record) -> None:
        self.size -= COST + len(record.key) + len(record.body)
        if record.state != GONE:
            self.digest ^= record.mark

    def _bury(self, key: str) -> None:
        del self.tombstones[key]
        record = self.records.pop(key)
        self._less(record)
        self.floor = max(self.floor, record.n)

    def age(self, now: float) -> None:
        """Tombstones end."""
        while self.tombstones and now - next(iter(self.tombstones.values())) > TOMBSTONE:
            self._bury(next(iter(self.tombstones)))

    def clear(self) -> None:
        self.records.clear()
        self.tombstones.clear()
        self.digest, self.size = 0, COST

    def relabel(self, version: Version) -> None:
        """The same under a version of another count."""
        for key in list(self.tombstones):
            self._bury(key)
        for record in self.records.values():
            record.n = 0
        self.version, self.floor = version, version[1]

    def since(self, version: Version) -> list[Record] | None:
        """What changed after a version, oldest first; None if that cannot be said any more."""
        if version[0] != self.version[0] or version[1] < self.floor:
            return None
        found = []
        for record in reversed(self.records.values()):
            if record.n <= version[1]:
                break
            found.append(record)
        found.reverse()
        return found

    def whole(self) -> list[Record]:
        return [record for record in self.records.values() if record.state != GONE]


def item(now: float, record: Record) -> Item:
    """As it is said now."""
    told = max(0.0, now - record.told_at) if record.state == LEAVING else 0.0
    return Item(record.key, record.n, record.state, record.body, told)


def size(found: Item) -> int:
    """Bytes on the wire, about."""
    return 16 + len(found.key) + len(found.body)
