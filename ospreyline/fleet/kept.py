"""The list as it was last accepted, kept on disk so that a balancer that starts anew has one at once.

A kept list is taken whole or not at all: its form, checksum and age are checked before use, and one that
fails is named in the log and ignored. What it says is what the list service said then: servers may have
gone or changed since, which the first call tells. `encode` and `decode` are pure; the rest is thin I/O.
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

FORM = b"ospreyline-list 1 "  # then the checksum in hexadecimal, a line end, and the list
MOST = 16 << 20  # bytes
FRESH = 60_000.0  # ms after which an unchanged list is kept anew, so that its age is right
AHEAD = 300_000.0  # ms that the clock may have been ahead when it was kept


class KeptError(ValueError):
    """A kept list cannot be used; one line that says why."""


class _Kept(msgspec.Struct):
    at: float  # Unix time in ms at which the service had last said something
    rev: int
    targets: list[msgspec.Raw]


class _Rev(msgspec.Struct):
    rev: int = 0


@dataclass(slots=True, frozen=True)
class Kept:
    """A kept list: the version, how old it is (ms), and the list in discovery's form."""

    rev: int
    age: float
    known: bytes
    count: int


def encode(at: float, rev: int, targets: list[bytes]) -> bytes:
    """The bytes of a kept list; `at` is Unix time in ms, `targets` are entries in discovery's form."""
    body = msgspec.json.encode(_Kept(at, rev, [msgspec.Raw(target) for target in targets]))
    return FORM + blake2b(body, digest_size=16).hexdigest().encode() + b"\n" + body


def decode(text: bytes, now: float, keep_for: float) -> Kept:
    """A kept list from its bytes; `now` is Unix time in ms, `keep_for` in ms; `KeptError` if unusable."""
    head, _, body = text.partition(b"\n")
    if not head.startswith(FORM):
        raise KeptError("it is in no form that this version knows")
    if head[len(FORM) :] != blake2b(body, digest_size=16).hexdigest().encode():
        raise KeptError("its checksum is wrong: it was cut short or damaged")
    try:
        kept = msgspec.json.decode(body, type=_Kept)
    except msgspec.MsgspecError as error:
        raise KeptError(f"it cannot be read: {error}") from error
    age = now - kept.at
    if age < -AHEAD:
        raise KeptError(f"it is from {-age / 1e3:.0f} s in the future")
    if age > keep_for:
        raise KeptError(f"it is {age / 1e3:.0f} s old, {keep_for / 1e3:.0f} s is the most")
    known = msgspec.json.encode({"rev": kept.rev, "all": True, "targets": kept.targets})
    return Kept(kept.rev, max(0.0, age), known, len(kept.targets))


def read(path: Path, now: float, keep_for: float) -> Kept | None:
    """The kept list of a file; None where there is no file. `KeptError` if it cannot be used."""
    try:
        if path.stat().st_size > MOST:
            raise KeptError(f"it is over {MOST >> 20} MiB")
        return decode(path.read_bytes(), now, keep_for)
    except FileNotFoundError:
        return None
    except OSError as error:
        raise KeptError(str(error.strerror)) from error


def write(path: Path, text: bytes) -> None:
    """Put it in the file's place at once and whole. Guards: a crash midway leaves the former one."""
    beside = path.with_name(f"{path.name}.{os.getpid()}")
    try:
        with beside.open("wb") as file:
            file.write(text)
            file.flush()
            os.fsync(file.fileno())
        beside.replace(path)
    finally:
        with suppress(OSError):
            beside.unlink(missing_ok=True)


class Keeping:
    """Keeps the list of one balancer in a file; the file is written on another thread than the loop's."""

    def __init__(self, loop: asyncio.AbstractEventLoop, path: str, keep_for: float, log: Any) -> None:
        self._loop = loop
        self._path = Path(path)
        self._keep_for = keep_for
        self._log = log
        self._changed = False
        self._heard = self._written = 0.0  # Unix time in ms
        self._writing: asyncio.Future[None] | None = None

    def known(self, configured: bytes) -> bytes:
        """The list to start from: the kept one, or the configured one where that is newer or the only one."""
        try:
            kept = read(self._path, time() * 1e3, self._keep_for)
        except KeptError as error:
            self._log.warning("kept list ignored", file=str(self._path), why=str(error))
            return configured
        if kept is None:
            self._log.info("no kept list yet", file=str(self._path))
            return configured
        try:
            newer = msgspec.json.decode(configured, type=_Rev).rev > kept.rev
        except msgspec.MsgspecError:
            newer = False
        self._log.info(
            "kept list older than the configured one" if newer else "kept list taken",
            rev=kept.rev,
            age_s=round(kept.age / 1e3, 1),
            entries=kept.count,
        )
        return configured if newer else kept.known

    def told(self, changed: bool) -> None:
        """The list service has said something."""
        self._changed = self._changed or changed
        self._heard = time() * 1e3

    def tidy(self, rev: int, targets: Callable[[], list[bytes]]) -> None:
        """Write the list if it has changed, or the kept one has aged while the service went on speaking."""
        if self._writing is not None or not (self._changed or self._heard > self._written + FRESH):
            return
        self._changed, self._written = False, self._heard
        text = encode(self._heard, rev, targets())
        self._writing = self._loop.run_in_executor(None, write, self._path, text)
        self._writing.add_done_callback(self._done)

    def _done(self, done: asyncio.Future[None]) -> None:
        self._writing = None
        if not done.cancelled() and (error := done.exception()) is not None:
            # guards: a full or lost disk costs the next start its list, and nothing else
            self._log.warning("list not kept", file=str(self._path), why=str(error))
