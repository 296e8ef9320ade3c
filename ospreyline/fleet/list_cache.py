"""Cache of the upstream list on disk, so that a restarted balancer has a list at once.

A cached list is used whole or not at all: its format, checksum and age are checked first, and one that fails
is logged and ignored. It says what the list service said when it was saved: upstreams may have left or
changed since, which the first list call shows. `encode` and `decode` are pure; the rest is thin I/O.
"""

from __future__ import annotations

import asyncio
import os
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass
from hashlib import blake2b
from pathlib import Path
from time import time
from typing import Any

import msgspec

FORMAT_HEADER = b"ospreyline-list 1 "  # then the checksum in hexadecimal, a line end, and the list as JSON
MAX_BYTES = 16 << 20
REFRESH_MS = 60_000.0  # after which an unchanged list is written again, so that its age stays right
MAX_CLOCK_SKEW_MS = 300_000.0  # that the clock may have been ahead when the list was saved


class CachedListError(ValueError):
    """A cached list cannot be used; the message is one line with the reason."""


class _CacheFile(msgspec.Struct):
    at: float  # Unix time in ms of the last message from the service
    rev: int
    targets: list[msgspec.Raw]


class _Version(msgspec.Struct):
    rev: int = 0


@dataclass(slots=True, frozen=True)
class CachedList:
    """A cached list that has passed all checks."""

    rev: int
    age: float  # ms
    body: bytes  # JSON, as the list service sends a whole list
    count: int  # of entries


def encode(at: float, rev: int, targets: list[bytes]) -> bytes:
    """The contents of a cache file; `at`: Unix time in ms, `targets`: JSON entries of the service."""
    body = msgspec.json.encode(_CacheFile(at, rev, [msgspec.Raw(target) for target in targets]))
    return FORMAT_HEADER + blake2b(body, digest_size=16).hexdigest().encode() + b"\n" + body


def decode(text: bytes, now: float, keep_for: float) -> CachedList:
    """Decodes a cache file; `now`: Unix time in ms, `keep_for`: greatest age in ms. `CachedListError`."""
    head, _, body = text.partition(b"\n")
    if not head.startswith(FORMAT_HEADER):
        raise CachedListError("unknown file format")
    if head[len(FORMAT_HEADER) :] != blake2b(body, digest_size=16).hexdigest().encode():
        raise CachedListError("checksum mismatch: the file is truncated or damaged")
    try:
        cached = msgspec.json.decode(body, type=_CacheFile)
    except msgspec.MsgspecError as error:
        raise CachedListError(f"cannot be decoded: {error}") from error
    age = now - cached.at
    if age < -MAX_CLOCK_SKEW_MS:
        raise CachedListError(f"saved {-age / 1e3:.0f} s in the future")
    if age > keep_for:
        raise CachedListError(f"{age / 1e3:.0f} s old, the limit is {keep_for / 1e3:.0f} s")
    whole = msgspec.json.encode({"rev": cached.rev, "all": True, "targets": cached.targets})
    return CachedList(cached.rev, max(0.0, age), whole, len(cached.targets))


def read(path: Path, now: float, keep_for: float) -> CachedList | None:
    """Reads a cache file; None if there is none, `CachedListError` if it cannot be read or used."""
    try:
        if path.stat().st_size > MAX_BYTES:
            raise CachedListError(f"larger than {MAX_BYTES >> 20} MiB")
        return decode(path.read_bytes(), now, keep_for)
    except FileNotFoundError:
        return None
    except OSError as error:
        raise CachedListError(str(error.strerror)) from error


def write_atomically(path: Path, text: bytes) -> None:
    """Replaces a file atomically: a crash midway leaves the old contents. `OSError` if it fails."""
    temporary = path.with_name(f"{path.name}.{os.getpid()}")
    try:
        with temporary.open("wb") as file:
            file.write(text)
            file.flush()
            os.fsync(file.fileno())
        temporary.replace(path)
    finally:
        with suppress(OSError):
            temporary.unlink(missing_ok=True)


class ListCache:
    """Saves the list of one balancer to a file; the file is written on a thread beside the event loop."""

    def __init__(self, loop: asyncio.AbstractEventLoop, path: str, keep_for: float, log: Any) -> None:
        self._loop = loop
        self._path = Path(path)
        self._keep_for = keep_for
        self._log = log
        self._changed = False
        self._service_heard_at = self._saved_at = 0.0  # Unix time in ms
        self._writing: asyncio.Future[None] | None = None

    def initial_list(self, configured: bytes) -> bytes:
        """The list to start from: the cached one, or the configured one if that is newer or the only one."""
        try:
            cached = read(self._path, time() * 1e3, self._keep_for)
        except CachedListError as error:
            self._log.warning("cached list ignored", file=str(self._path), why=str(error))
            return configured
        if cached is None:
            self._log.info("no cached list yet", file=str(self._path))
            return configured
        try:
            newer = msgspec.json.decode(configured, type=_Version).rev > cached.rev
        except msgspec.MsgspecError:
            newer = False
        self._log.info(
            "cached list older than the configured one" if newer else "cached list loaded",
            rev=cached.rev,
            age_s=round(cached.age / 1e3, 1),
            entries=cached.count,
        )
        return configured if newer else cached.body

    def service_update(self, changed: bool) -> None:
        """The list service has sent something; `changed`: the list may have changed."""
        self._changed = self._changed or changed
        self._service_heard_at = time() * 1e3

    def run_maintenance(self, rev: int, targets: Callable[[], list[bytes]]) -> None:
        """Saves the list if it has changed, or if the saved one has aged while the service kept sending."""
        if self._writing is not None or not (
            self._changed or self._service_heard_at > self._saved_at + REFRESH_MS
        ):
            return
        self._changed, self._saved_at = False, self._service_heard_at
        text = encode(self._service_heard_at, rev, targets())
        self._writing = self._loop.run_in_executor(None, write_atomically, self._path, text)
        self._writing.add_done_callback(self._write_done)

    def _write_done(self, done: asyncio.Future[None]) -> None:
        self._writing = None
        if not done.cancelled() and (error := done.exception()) is not None:
            # with a full or lost disk the next start has no cached list; nothing else fails
            self._log.warning("could not write the cached list", file=str(self._path), why=str(error))
