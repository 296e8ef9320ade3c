"""The operator's file: the one place where a part that is off by default is switched on.

TOML, read into msgspec structs; `serve CONFIG --operator FILE` or `OSPREYLINE_OPERATOR` names it. Without
one, or with an empty one, all is off and nothing of it is imported. Each key says what it does and whether
SIGHUP applies it. What is wrong comes out as a `FactError` that names file, key and nearest known key.
"""

from __future__ import annotations

import re
import tomllib
from collections.abc import Iterator
from dataclasses import dataclass
from difflib import get_close_matches
from ipaddress import ip_network
from pathlib import Path
from typing import Annotated, Any, Literal, get_type_hints

import msgspec
from msgspec import Meta

from ospreyline import facts
from ospreyline.facts import FactError

RELOADED, AT_START = {"sighup": True}, {"sighup": False}
MOST_WATCHED = 1_024  # addresses of one range
_UNKNOWN = re.compile(r"Object contains unknown field `(.*)`")


class Lists(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """`[list]`: how the list of upstreams is had."""

    calls_per_s: Annotated[
        float,
        Meta(
            ge=0,
            le=1e6,
            extra=RELOADED,
            description=(
                "what the list service can do, all together; the bank's calls are then spread evenly over "
                "the time "
                "that it needs for all, and tried again no faster. 0: each balancer guesses alone"
            ),
        ),
    ] = 0.0
    keep: Annotated[
        str,
        Meta(
            extra=AT_START,
            description=(
                "file in which the last accepted list is kept, for the next start; empty: none is kept. "
                "Every "
                "balancer needs one of its own"
            ),
        ),
    ] = ""
    keep_for_s: Annotated[
        float, Meta(ge=1, le=1e9, extra=AT_START, description=("how old a kept list may be at a start"))
    ] = 86_400.0


class Fleet(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """`[fleet]`: links to the other balancers of the bank; off without a bank's name."""

    bank: Annotated[
        str,
        Meta(
            extra=AT_START,
            description=(
                "name of the bank; only balancers that say the same speak to one another. Empty: no links"
            ),
        ),
    ] = ""
    listen: Annotated[str, Meta(extra=AT_START, description="host:port for links of other balancers")] = ""
    address: Annotated[
        str, Meta(extra=AT_START, description=("host:port under which others reach us; empty: as `listen`"))
    ] = ""
    peers: Annotated[
        tuple[str, ...],
        Meta(
            extra=AT_START,
            description=(
                "others as `name=host:port`; some are enough, the rest is heard from them. Or addresses "
                "that are "
                "watched for them, as `10.1.0.0/27:7071`: who comes up there is found, under whatever name"
            ),
        ),
    ] = ()
    lists: Annotated[
        bool,
        Meta(
            extra=AT_START,
            description=(
                "a few of each zone call the list service first and pass the list on. Only where all are "
                "told the "
                "same addresses of the upstreams; needs list.calls_per_s"
            ),
        ),
    ] = False
    status: Annotated[
        str,
        Meta(
            extra=AT_START,
            description=(
                "file in which the state is written every two seconds, for `fleet status`; empty: none"
            ),
        ),
    ] = ""

    def named(self) -> Iterator[tuple[str, str]]:
        """The peers that have a name, as (name, host:port)."""
        for peer in self.peers:
            name, named, at = peer.partition("=")
            if named:
                yield name, at

    def watched(self) -> list[str]:
        """The addresses that are watched for peers of any name, as host:port, without our own."""
        out = []
        for peer in self.peers:
            if "=" not in peer:
                hosts, _, port = peer.rpartition(":")
                out += [f"{host}:{port}" for host in ip_network(hosts).hosts()]
        return [at for at in out if at not in (self.listen, self.address)]


class Takeover(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """`[takeover]`: work in hand survives its balancer; needs `[fleet]`."""

    on: Annotated[
        bool,
        Meta(
            extra=AT_START,
            description=("other balancers guard the visits in hand, and finish those of one that is lost"),
        ),
    ] = False
    wait_ms: Annotated[
        float,
        Meta(
            ge=1,
            le=10_000,
            extra=AT_START,
            description=("the longest that a fetch or a refusal waits for its guardians"),
        ),
    ] = 150.0
    keep_s: Annotated[
        float,
        Meta(
            ge=1,
            le=3_600,
            extra=AT_START,
            description=(
                "how long a guardian keeps a visit and its answer, in bounded memory; over the longest "
                "client "
                "timeout"
            ),
        ),
    ] = 30.0
    uncovered: Annotated[
        Literal["serve", "refuse"],
        Meta(
            extra=AT_START,
            description=(
                "where too few guardians are there: serve without cover, or refuse (they never ran) the "
                "visits that "
                "must not run twice"
            ),
        ),
    ] = "serve"


class Operator(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """The whole file."""

    list: Lists = Lists()
    fleet: Fleet = Fleet()
    takeover: Takeover = Takeover()


@dataclass(slots=True, frozen=True)
class Key:
    """One key of the file, its value, and where that comes from."""

    name: str
    value: Any
    origin: str
    sighup: bool
    about: str


OFF = Operator()


def _tables() -> dict[str, type[msgspec.Struct]]:
    return {name: kind for name, kind in get_type_hints(Operator).items()}


def _known() -> list[str]:
    return [*_tables(), *(f for table in _tables().values() for f in table.__struct_fields__)]


def parse(text: str) -> Operator:
    """The file's text, checked; `FactError` that names the key."""
    try:
        found = msgspec.convert(tomllib.loads(text), Operator, strict=False)
    except tomllib.TOMLDecodeError as error:
        raise FactError(str(error)) from error
    except msgspec.ValidationError as error:
        what, _, path = str(error).partition(" - at `$")
        where = path.rstrip("`").removeprefix(".")
        if unknown := _UNKNOWN.match(what):
            near = get_close_matches(unknown[1], _known(), 1)
            at = f"{where}.{unknown[1]}" if where else unknown[1]
            raise FactError(f"{at}: unknown key" + (f", {near[0]!r}?" if near else "")) from None
        raise FactError(f"{where}: {what}" if where else what) from None
    for key, problem in _problems(found):
        raise FactError(f"{key}: {problem}")
    return found


def _problems(o: Operator) -> Iterator[tuple[str, str]]:
    """What the types do not say."""
    fleet = o.fleet
    if o.takeover.on and not fleet.bank:
        yield "takeover.on", "needs fleet.bank"
    if not fleet.bank:
        for key in ("listen", "address", "peers", "lists", "status"):
            if getattr(fleet, key):
                yield "fleet.bank", f"is missing, and fleet.{key} is there"
        return
    if facts.address(fleet.listen, lowest_port=0) is None:
        yield "fleet.listen", f"{fleet.listen!r} is no host:port"
    if fleet.address and facts.address(fleet.address) is None:
        yield "fleet.address", f"{fleet.address!r} is no host:port"
    names: set[str] = set()
    for i, peer in enumerate(fleet.peers):
        name, named, at = peer.partition("=")
        if not named:
            if why := _no_range(peer):
                yield f"fleet.peers[{i}]", why
            continue
        if not name or facts.address(at) is None:
            yield f"fleet.peers[{i}]", f"{peer!r} is no name=host:port"
        if name in names:
            yield f"fleet.peers[{i}]", f"{name!r} is there twice"
        if at in (fleet.listen, fleet.address):
            yield f"fleet.peers[{i}]", f"{at} is our own address"
        names.add(name)
    if fleet.lists and not o.list.calls_per_s:
        yield "fleet.lists", "needs list.calls_per_s"


def _no_range(peer: str) -> str:
    """What is wrong with addresses to be watched; empty if nothing is."""
    hosts, _, port = peer.rpartition(":")
    if "/" not in hosts or facts.address(f"h:{port}") is None:
        return f"{peer!r} is no name=host:port and no network/length:port"
    try:
        network = ip_network(hosts)
    except ValueError as error:
        return f"{peer!r}: {error}"
    if network.num_addresses > MOST_WATCHED:
        return f"{peer!r} has {network.num_addresses} addresses, {MOST_WATCHED} are the most"
    return ""


def load(path: Path | None) -> Operator:
    """The operator's file; without one everything is off. `FactError` that names file and key."""
    if path is None:
        return OFF
    try:
        return parse(path.read_text("utf-8"))
    except (OSError, UnicodeDecodeError) as error:
        raise FactError(f"{path}: {getattr(error, 'strerror', None) or error}") from error
    except FactError as error:
        raise FactError(f"{path}: {error}") from error


def keys(operator: Operator, path: Path | None) -> Iterator[Key]:
    """Every key with its effective value and where it comes from."""
    given = tomllib.loads(path.read_text("utf-8")) if path is not None else {}
    for table, kind in _tables().items():
        hints = get_type_hints(kind, include_extras=True)
        for name in kind.__struct_fields__:
            meta: Meta = hints[name].__metadata__[0]
            origin = str(path) if name in given.get(table, {}) else "default"
            yield Key(
                f"{table}.{name}",
                getattr(getattr(operator, table), name),
                origin,
                bool((meta.extra or {})["sighup"]),
                meta.description or "",
            )


def needs_restart(old: Operator, new: Operator) -> list[str]:
    """The keys that differ and that a reload leaves as they are."""
    before = {key.name: key for key in keys(old, None)}
    return [key.name for key in keys(new, None) if not key.sighup and key.value != before[key.name].value]
