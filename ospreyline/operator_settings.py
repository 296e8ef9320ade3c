"""The operator file: the one place where features that are off by default are switched on.

TOML, decoded into msgspec structs; `serve CONFIG --operator FILE` or `OSPREYLINE_OPERATOR` names it. Without
one, or with an empty one, everything is off and no code of these features is imported. Each key says what it
does and whether SIGHUP applies it. Invalid input raises a `ConfigError` with the file, the key and the
nearest known key.
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

from ospreyline import config
from ospreyline.config import ConfigError

RELOADED, AT_START = {"sighup": True}, {"sighup": False}
MAX_RANGE_ADDRESSES = 1_024
_UNKNOWN = re.compile(r"Object contains unknown field `(.*)`")


class ListSettings(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """`[list]`: how the upstream list is obtained."""

    calls_per_s: Annotated[
        float,
        Meta(
            ge=0,
            le=1e6,
            extra=RELOADED,
            description=(
                "calls that the list service can serve in total; the bank spreads its calls evenly over the "
                "time that takes, and retries no faster. 0: each balancer uses its own polling schedule"
            ),
        ),
    ] = 0.0
    keep: Annotated[
        str,
        Meta(
            extra=AT_START,
            description=(
                "file in which the last accepted list is cached for the next start; empty: no cache. "
                "Every balancer needs a file of its own"
            ),
        ),
    ] = ""
    keep_for_s: Annotated[
        float, Meta(ge=1, le=1e9, extra=AT_START, description=("maximum age of a cached list at a start"))
    ] = 86_400.0


class FleetSettings(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """`[fleet]`: links to the other balancers of the bank; off without a bank name."""

    bank: Annotated[
        str,
        Meta(
            extra=AT_START,
            description=(
                "name of the bank; only balancers with the same name connect to one another. Empty: no links"
            ),
        ),
    ] = ""
    listen: Annotated[str, Meta(extra=AT_START, description="host:port for links of other balancers")] = ""
    address: Annotated[
        str,
        Meta(extra=AT_START, description=("host:port at which others reach this one; empty: as `listen`")),
    ] = ""
    peers: Annotated[
        tuple[str, ...],
        Meta(
            extra=AT_START,
            description=(
                "other balancers as `name=host:port`; some are enough, the rest is learned from them. Or "
                "address ranges that are dialled, as `10.1.0.0/27:7071`: any balancer that starts there is "
                "found, under any name"
            ),
        ),
    ] = ()
    lists: Annotated[
        bool,
        Meta(
            extra=AT_START,
            description=(
                "a few balancers of each zone call the list service first and forward the list. Only where "
                "all receive the same upstream addresses; needs list.calls_per_s"
            ),
        ),
    ] = False
    status: Annotated[
        str,
        Meta(
            extra=AT_START,
            description=(
                "file to which the state is written every two seconds, for `fleet status`; empty: none"
            ),
        ),
    ] = ""

    def named(self) -> Iterator[tuple[str, str]]:
        """The named peers, as (name, host:port)."""
        for peer in self.peers:
            name, separator, address = peer.partition("=")
            if separator:
                yield name, address

    def watched(self) -> list[str]:
        """All addresses of the configured ranges, as host:port, without our own."""
        addresses = []
        for peer in self.peers:
            if "=" not in peer:
                hosts, _, port = peer.rpartition(":")
                addresses += [f"{host}:{port}" for host in ip_network(hosts).hosts()]
        return [address for address in addresses if address not in (self.listen, self.address)]


class TakeoverSettings(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """`[takeover]`: other balancers finish the visits of one that is lost; needs `[fleet]`."""

    on: Annotated[
        bool,
        Meta(
            extra=AT_START,
            description=("other balancers store takeover records of visits, and finish those of a lost one"),
        ),
    ] = False
    wait_ms: Annotated[
        float,
        Meta(
            ge=1,
            le=10_000,
            extra=AT_START,
            description=("longest time that a fetch or a refusal waits for its acceptors"),
        ),
    ] = 150.0
    keep_s: Annotated[
        float,
        Meta(
            ge=1,
            le=3_600,
            extra=AT_START,
            description=(
                "how long an acceptor keeps a visit and its answer, in bounded memory; longer than the "
                "longest client timeout"
            ),
        ),
    ] = 30.0
    uncovered: Annotated[
        Literal["serve", "refuse"],
        Meta(
            extra=AT_START,
            description=(
                "with too few acceptors: serve without takeover, or refuse (without running them) the visits "
                "that must not run twice"
            ),
        ),
    ] = "serve"


class OperatorSettings(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """The whole file."""

    list: ListSettings = ListSettings()
    fleet: FleetSettings = FleetSettings()
    takeover: TakeoverSettings = TakeoverSettings()


@dataclass(slots=True, frozen=True)
class Key:
    """One key of the file, its effective value and the origin of that."""

    name: str
    value: Any
    origin: str  # the file's path, or "default"
    reloadable: bool  # SIGHUP applies it
    description: str


OFF = OperatorSettings()


def _tables() -> dict[str, type[msgspec.Struct]]:
    return {name: kind for name, kind in get_type_hints(OperatorSettings).items()}


def _known_names() -> list[str]:
    """The names of all tables and keys."""
    return [*_tables(), *(f for table in _tables().values() for f in table.__struct_fields__)]


def parse(text: str) -> OperatorSettings:
    """Decodes and checks the text of the file; `ConfigError` names the key."""
    try:
        found = msgspec.convert(tomllib.loads(text), OperatorSettings, strict=False)
    except tomllib.TOMLDecodeError as error:
        raise ConfigError(str(error)) from error
    except msgspec.ValidationError as error:
        what, _, path = str(error).partition(" - at `$")
        where = path.rstrip("`").removeprefix(".")
        if unknown := _UNKNOWN.match(what):
            near = get_close_matches(unknown[1], _known_names(), 1)
            at = f"{where}.{unknown[1]}" if where else unknown[1]
            raise ConfigError(f"{at}: unknown key" + (f", {near[0]!r}?" if near else "")) from None
        raise ConfigError(f"{where}: {what}" if where else what) from None
    for key, problem in _problems(found):
        raise ConfigError(f"{key}: {problem}")
    return found


def _problems(o: OperatorSettings) -> Iterator[tuple[str, str]]:
    """Checks that the types cannot express; yields (key, problem)."""
    fleet = o.fleet
    if o.takeover.on and not fleet.bank:
        yield "takeover.on", "needs fleet.bank"
    if not fleet.bank:
        for key in ("listen", "address", "peers", "lists", "status"):
            if getattr(fleet, key):
                yield "fleet.bank", f"is missing, but fleet.{key} is set"
        return
    if config.parse_address(fleet.listen, lowest_port=0) is None:
        yield "fleet.listen", f"{fleet.listen!r} is no host:port"
    if fleet.address and config.parse_address(fleet.address) is None:
        yield "fleet.address", f"{fleet.address!r} is no host:port"
    names: set[str] = set()
    for i, peer in enumerate(fleet.peers):
        name, separator, at = peer.partition("=")
        if not separator:
            if why := _range_problem(peer):
                yield f"fleet.peers[{i}]", why
            continue
        if not name or config.parse_address(at) is None:
            yield f"fleet.peers[{i}]", f"{peer!r} is no name=host:port"
        if name in names:
            yield f"fleet.peers[{i}]", f"{name!r} is there twice"
        if at in (fleet.listen, fleet.address):
            yield f"fleet.peers[{i}]", f"{at} is our own address"
        names.add(name)
    if fleet.lists and not o.list.calls_per_s:
        yield "fleet.lists", "needs list.calls_per_s"


def _range_problem(peer: str) -> str:
    """What is wrong with an address range of peers; empty if nothing is."""
    hosts, _, port = peer.rpartition(":")
    if "/" not in hosts or config.parse_address(f"h:{port}") is None:
        return f"{peer!r} is no name=host:port or network/prefix_length:port"
    try:
        network = ip_network(hosts)
    except ValueError as error:
        return f"{peer!r}: {error}"
    if network.num_addresses > MAX_RANGE_ADDRESSES:
        return f"{peer!r} has {network.num_addresses} addresses, the maximum is {MAX_RANGE_ADDRESSES}"
    return ""


def load(path: Path | None) -> OperatorSettings:
    """Reads an operator file; without one everything is off. `ConfigError` names file and key."""
    if path is None:
        return OFF
    try:
        return parse(path.read_text("utf-8"))
    except (OSError, UnicodeDecodeError) as error:
        raise ConfigError(f"{path}: {getattr(error, 'strerror', None) or error}") from error
    except ConfigError as error:
        raise ConfigError(f"{path}: {error}") from error


def keys(operator: OperatorSettings, path: Path | None) -> Iterator[Key]:
    """Yields every key with its effective value and the origin of that."""
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


def needs_restart(old: OperatorSettings, new: OperatorSettings) -> list[str]:
    """The keys that differ and that a reload does not apply."""
    before = {key.name: key for key in keys(old, None)}
    return [key.name for key in keys(new, None) if not key.reloadable and key.value != before[key.name].value]
