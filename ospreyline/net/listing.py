"""Parses the list service's JSON: entries, updates, and what can be read from a part of an update."""

from __future__ import annotations

import re
from dataclasses import dataclass
from typing import Any, Protocol

import msgspec

from ospreyline import config

_JSON_STRING = re.compile(rb'"(?:[^"\\]|\\.)*"')  # contains no line feed


class _Listing(msgspec.Struct):
    rev: int
    targets: list[msgspec.Raw]
    all: bool = False


class Target(msgspec.Struct):
    """One entry of the list, as the list service encodes it."""

    uid: str
    endpoint: str = ""
    az: str = ""
    pod_group: int | None = None
    state: str = "active"
    boot_ms: float = 0.0


class _EntryUid(msgspec.Struct):
    """The one field that is read of an entry which cannot be decoded as a `Target`."""

    uid: str


Entry = tuple[Target, tuple[str, int] | None]  # an entry of the list, and its host and port if it has them


@dataclass(slots=True, frozen=True)
class ListUpdate:
    """An update: the full list, or what changed."""

    rev: int
    is_full: bool
    entries: list[Entry]
    all_identified: bool = True  # the uid of every entry could be read


class Log(Protocol):
    def info(self, event: str, **values: Any) -> Any: ...
    def warning(self, event: str, **values: Any) -> Any: ...


_LISTING = msgspec.json.Decoder(_Listing, strict=False)
_TARGET = msgspec.json.Decoder(Target, strict=False)
_ENTRY_UID = msgspec.json.Decoder(_EntryUid)
_VERSION = re.compile(rb'"rev"\s*:\s*(\d+)\s*[,}]')


def open_brackets(line: bytes) -> int:
    """How many more brackets a line of JSON opens than it closes."""
    bare = _JSON_STRING.sub(b"", line)
    return bare.count(b"{") + bare.count(b"[") - bare.count(b"}") - bare.count(b"]")


def parse_update(line: bytes, log: Log) -> ListUpdate | None:
    """Parses one JSON object of the list; None if it is unreadable.

    An entry of which only the uid can be read gets the state "unreadable": no new requests go to it.
    """
    try:
        listing = _LISTING.decode(line)
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        log.warning("unreadable list", error=str(error))
        return None
    targets, all_identified = [], True
    for raw in listing.targets:
        try:
            target = _TARGET.decode(raw)
        except (msgspec.MsgspecError, UnicodeDecodeError) as error:
            uid = _uid_of(raw)
            log.warning("unreadable entry of the list", uid=uid, error=str(error))
            if uid is None:
                all_identified = False
                continue
            # not skipped, as the entry may say that its server drains
            target = Target(uid, state="unreadable")
        address = config.parse_address(target.endpoint)
        if address is None and target.state not in ("left", "unreadable"):
            log.warning("entry of the list without an address", uid=target.uid, endpoint=target.endpoint)
        targets.append((target, address))
    return ListUpdate(listing.rev, listing.all, targets, all_identified)


def _uid_of(raw: msgspec.Raw) -> str | None:
    """The uid of an entry that cannot be decoded; None if that is unreadable, too."""
    try:
        return _ENTRY_UID.decode(raw).uid
    except (msgspec.MsgspecError, UnicodeDecodeError):
        return None


def version_of(part: bytes) -> int:
    """The version in a part of an object; 0 if it has not arrived."""
    found = _VERSION.search(part)
    return int(found[1]) if found else 0
