"""Scenario files of the rig: those of the simulator, extended by real processes and links.

A `Scenario` is the simulator's with a `[rig]` table. Its faults may also name links and processes, and may
wait for an event on the wire (`on`) instead of a time. Errors are `ScenarioError`, one line.
"""

from __future__ import annotations

import tomllib
from collections.abc import Iterator, Mapping
from fnmatch import fnmatchcase
from pathlib import Path
from typing import Any, Literal

import msgspec

from ospreyline.lab import scenario as lab
from ospreyline.lab import words
from ospreyline.lab.words import Part, ScenarioError

MAX_BALANCERS, MAX_UPSTREAMS, MAX_SECONDS, MAX_VISITS_PER_S = 400, 120, 600.0, 4_000.0


Way = Literal["both", "to", "from"]
WAYS: tuple[Way, ...] = ("both", "to", "from")


class FleetLinks(Part):
    """Links between the balancers, set up in the operator file."""

    on: bool = False
    seeds: int = 3  # balancers that all others are configured with; they learn of the rest by gossip
    # a few relay the list to the others; needs rig.pairs off, so that all get the same addresses
    lists: bool = False


class Rig(Part):
    """How the processes are started and linked, and the limits of the list service."""

    # warm: the day begins when all are ready; in turn: likewise, one by one, so that their ages differ
    start: Literal["warm", "in turn", "at once"] = "warm"
    known: Literal["all", "none"] = "all"  # the upstream list that a balancer starts with
    fleet: FleetLinks = msgspec.field(default_factory=FleetLinks)
    pairs: bool = True  # a relay per balancer and upstream; off: balancers connect to the upstreams directly
    relays: bool = True  # off: no relays at all, to measure what they cost
    relay_processes: int = 2
    client_processes: int = 1
    upstream_processes: int = 2
    queue: int = 50  # calls that may wait at the list service; further ones get 503
    retry_after_s: float = 0.0  # Retry-After of its 503; 0: none
    ready_s: float = 30.0  # within which all processes must be up
    # operator file of each balancer, by table; in strings {b} is its name and {out} the run's folder
    operator: dict[str, dict[str, Any]] = msgspec.field(default_factory=dict)
    program: str = ""  # folder of another checkout to run balancers from; empty: this one
    program_for: str = "b*"  # pattern of the balancers that run from there
    # clients whose connection ends during a visit repeat it, with its id, at any balancer
    asks_again: bool = False
    must_ask_s: float = 10.0  # without a list call, after which a balancer counts as notified of all changes
    lag_ms: float = 250.0  # event loop delay of the rig's own processes from which a run is void


class Trigger(Part):
    """An event on a link that triggers a fault; the link is held until the fault has started."""

    # what triggers it, once the last byte of one has been forwarded
    seen: Literal["request", "answer", "connection"] = "request"
    link: str = "b*>u*"
    prefix: str = ""
    nth: int = 1


class Fault(words.Fault):
    """A fault of the simulator, with links, processes and a trigger."""

    link: str = ""  # pattern of links, such as `b0>u*`, `c>b2`, `b*>list`
    who: str = ""  # pattern of processes, such as `b1`; in place of `part`
    way: Way = "both"  # to: from the left of the link's name to its right
    on: Trigger | None = None


class Scenario(lab.Scenario):
    rig: Rig = msgspec.field(default_factory=Rig)
    faults: list[Fault] = msgspec.field(default_factory=list)  # type: ignore[assignment]

    def upstreams(self) -> int:
        return sum(group.count for group in self.servers)


# fault kinds of the simulator that the rig injects, too
SHARED_KINDS = (
    "slow",
    "pause",
    "crash",
    "zone-loss",
    "flap",
    "cut",
    "errors",
    "mute",
    "kill",
    "restart",
    "burst",
    "shrink",
    "roll",
    "registry-down",
    "registry-late",
)
# balancers reload (SIGHUP) with a new address of the list service; the old one closes 1.5 s later
LIST_MOVED = "registry-moved"
# fault kinds of links, processes and the list service, with their help texts
RIG_FAULTS = {
    "drop": "the links silently drop all data; at the end a share extra of the connections is reset",
    "stall": "the links neither read nor forward; all data arrives at the end",
    "slow-link": "the links delay everything by size ms",
    "reset": "the connections on the links are reset, also new ones until the end",
    "refuse": "new connections on the links are refused",
    "half-close": "the sending side of open connections is shut down, once",
    "cut-at": "connections on the links are reset after size bytes in that direction",
    "narrow": "pieces over size bytes, and all that follows them, are blocked until the end",
    "fin-for-reset": "the links forward a reset by the server as an orderly close, as proxies do",
    "vanish": "as if the machine were gone: open connections go silent, new ones never complete",
    "stop": "processes are stopped (SIGSTOP) and continued at the end",
    "starve": "processes are stopped for size ms, every extra ms",
    "crash-loop": "processes are killed size ms after each start and started again; each loop begins at a "
    "random time within extra ms",
    "hup": "processes get SIGHUP once",
    "registry-full": "the list service answers 503 to every call",
    "registry-hang": "the list service sends a response head and then nothing",
    "registry-half": "the list service sends half a list and closes",
    "registry-lost": "writes of the list service are lost by a reset, except for some bytes",
    **{
        f"registry-lost-{end}": f"writes of the list service are lost except for size bytes, {how}; calls "
        "are refused for extra s after each, each of them after 2 s if silent"
        for end, how in (
            ("last-chunk", "and the response ends with a last chunk"),
            ("fin", "and the connection closes"),
            ("reset", "and the connection is reset"),
            ("silence", "and nothing more is sent"),
        )
    },
    "registry-back": "the list service sends an older list than before",
    "registry-swap": "for part of the upstreams, the list has the address of another upstream",
}
LINK_KINDS = (
    "drop",
    "stall",
    "slow-link",
    "reset",
    "refuse",
    "half-close",
    "cut-at",
    "narrow",
    "vanish",
    "fin-for-reset",
)
PROCESS_KINDS = ("stop", "starve", "crash-loop", "hup", "kill", "restart", LIST_MOVED)
# ranges of the kinds that are drawn at random, mildest end first: for_s, part of the balancers, size, extra
DRAWN_RANGES: dict[str, tuple[tuple[float, float], ...]] = {
    "drop": ((1, 8), (0, 0.2), (0, 0), (0, 1)),
    "stall": ((1, 8), (0, 0.2), (0, 0), (0, 0)),
    "slow-link": ((2, 10), (0, 0.3), (10, 300), (0, 0)),
    "reset": ((0.1, 2), (0, 0.2), (0, 0), (0, 0)),
    "refuse": ((1, 5), (0, 0.2), (0, 0), (0, 0)),
    "half-close": ((0.1, 0.1), (0, 0.2), (0, 0), (0, 0)),
    "cut-at": ((1, 5), (0, 0.2), (2_000, 40), (0, 0)),
    "narrow": ((1, 8), (0, 0.2), (1_400, 100), (0, 0)),
    "stop": ((0.5, 8), (0, 0.1), (0, 0), (0, 0)),
    "starve": ((2, 10), (0, 0.2), (20, 300), (200, 50)),
    "hup": ((0, 0), (0, 1), (0, 0), (0, 0)),
    "registry-full": ((1, 10), (0, 0), (0, 0), (0, 0)),
    "registry-hang": ((1, 5), (0, 0), (0, 0), (0, 0)),
    "registry-half": ((1, 5), (0, 0), (0, 0), (0, 0)),
    "registry-lost": ((0.5, 4), (0, 0), (0, 0), (0, 0)),
}
FAULTS = {
    **{kind: words.FAULTS[kind] for kind in SHARED_KINDS},
    **RIG_FAULTS,
    LIST_MOVED: "balancers reload (SIGHUP) with a new list service address; the old one closes after 1.5 s",
}


def shipped_scenarios() -> dict[str, str]:
    """The scenarios shipped with the rig: TOML text by name."""
    return words.shipped_scenarios("ospreyline.rig")


def load(name: str) -> Scenario:
    """Load a scenario by the path of its file or the name of a shipped one."""
    text = words.read_scenario(name, shipped_scenarios())
    try:
        return build(_resolve_like(tomllib.loads(text)))
    except tomllib.TOMLDecodeError as error:
        raise ScenarioError(f"{name}: {error}") from error
    except ScenarioError as error:
        raise ScenarioError(f"{name}: {error}") from error


def _resolve_like(tables: dict[str, Any]) -> dict[str, Any]:
    """Fill in missing keys from the shipped scenario that the file names with `like`."""
    like = tables.pop("like", None)
    if like is None:
        return tables
    if like not in shipped_scenarios():
        raise ScenarioError(
            f"like: no shipped scenario {like!r}{words.nearest(str(like), shipped_scenarios())}"
        )
    return _merge_tables(_resolve_like(tomllib.loads(shipped_scenarios()[like])), tables)


def _merge_tables(base: dict[str, Any], overrides: Mapping[str, Any]) -> dict[str, Any]:
    for key, value in overrides.items():
        base[key] = (
            _merge_tables(base[key], value)
            if isinstance(value, dict) and isinstance(base.get(key), dict)
            else value
        )
    return base


def build(tables: Mapping[str, Any]) -> Scenario:
    """Build and check a scenario from plain tables."""
    try:
        scenario = msgspec.convert(tables, Scenario, strict=True)
    except msgspec.ValidationError as error:
        known = [
            *lab.known_keys(),
            *(k for t in (Scenario, Rig, Trigger, Fault) for k in t.__struct_fields__),
        ]
        raise ScenarioError(words.worded(str(error), known)) from error
    for key, problem in (*lab.problems(scenario, FAULTS), *_problems(scenario)):
        raise ScenarioError(f"{key}: {problem}")
    return scenario


def links(s: Scenario) -> list[str]:
    """The names of all links: clients, balancers, list service and upstreams, as FROM>TO."""
    balancers, upstreams = range(s.bank.count), range(s.upstreams())
    linked_balancers = balancers if s.rig.fleet.on else range(0)
    moved = balancers if any(fault.kind == LIST_MOVED for fault in s.faults) else range(0)
    return [
        *(f"c>b{b}" for b in balancers),
        *(f"b{b}>list" for b in balancers),
        *(f"b{b}>list2" for b in moved),
        *(f"b{b}>u{u}" for b in balancers for u in (upstreams if s.rig.pairs else ())),
        *(f"b{a}>b{b}" for a in linked_balancers for b in linked_balancers if a != b),
    ]


def draw_faults(s: Scenario, generator: Any) -> list[Fault]:
    """Draw the random faults of `[chance]`; the same generator state gives the same faults."""
    chance, out = s.chance, list[Fault]()
    kinds = list(chance.kinds) or [k for k in SHARED_KINDS if k in words.RANGES]
    zones, count = s.zones.names, s.bank.count
    single = msgspec.structs.replace(chance, count=1)
    for _ in range(chance.count):
        kind = kinds[int(generator.integers(len(kinds)))]
        if kind in words.RANGES:
            (fault,) = words.drawn(single, [kind], s.day.seconds, zones, generator)
            out.append(Fault(**msgspec.structs.asdict(fault)))
            continue
        for_s, part, size, extra = (
            low + float(generator.random()) * (1 - chance.mildness) * (high - low)
            for low, high in DRAWN_RANGES[kind]
        )
        at_s = (0.1 + 0.75 * float(generator.random())) * s.day.seconds
        link = ""
        if kind in LINK_KINDS:
            # all links of one kind of one balancer, or one link between two balancers
            b, other = (int(i) for i in generator.integers(count, size=2))
            candidates = [f"b{b}>list", f"c>b{b}"] + ([f"b{b}>u*"] if s.rig.pairs else [])
            if s.rig.fleet.on and count > 1:
                candidates += [f"b{b}>b*", f"b*>b{b}", f"b{b}>b{other if other != b else (b + 1) % count}"]
            link = candidates[int(generator.integers(len(candidates)))]
        part = 0.0 if link else round(max(part, 0.01), 3)
        out.append(
            Fault(
                kind,
                round(at_s, 2),
                round(for_s, 2),
                part,
                "",
                "",
                round(size, 3),
                round(extra, 3),
                link=link,
                way=WAYS[int(generator.integers(3))],
            )
        )
    return out


def _problems(s: Scenario) -> Iterator[tuple[str, str]]:
    """The problems of a scenario that only the rig has, as (key, problem)."""
    for key, value, limit in (
        ("bank.count", s.bank.count, MAX_BALANCERS),
        ("servers", s.upstreams(), MAX_UPSTREAMS),
        ("day.seconds", s.day.seconds, MAX_SECONDS),
        ("load", s.rate(), MAX_VISITS_PER_S),
    ):
        if value > limit:
            yield key, f"{value:g} is more than the {limit:g} that a machine can run"
    for key in ("relay_processes", "client_processes", "upstream_processes"):
        if not 1 <= getattr(s.rig, key) <= 16:
            yield f"rig.{key}", f"{getattr(s.rig, key)} is not between 1 and 16"
    if s.rig.fleet.on and not s.rig.relays:
        yield "rig.fleet.on", "links between balancers need relays (rig.relays)"
    if s.rig.fleet.lists and (s.rig.pairs or not s.rig.fleet.on):
        yield "rig.fleet.lists", "needs rig.fleet.on, and rig.pairs off so that addresses are the same"
    if s.rig.program and not (Path(s.rig.program) / "ospreyline" / "__main__.py").is_file():
        yield "rig.program", f"{s.rig.program!r} holds no ospreyline/__main__.py"
    names: list[str] | None = None
    for i, fault in enumerate(s.faults):
        path = f"faults[{i}]"
        if fault.kind in LINK_KINDS:
            if not s.rig.relays:
                yield f"{path}.kind", f"{fault.kind!r} needs relays (rig.relays)"
            if not fault.link:
                yield f"{path}.link", f"{fault.kind!r} needs links, such as 'b0>u*'"
        if fault.kind == LIST_MOVED and not s.rig.relays:
            yield f"{path}.kind", f"{fault.kind!r} needs relays (rig.relays)"
        if fault.kind in ("cut", "vanish") and not (s.rig.relays and s.rig.pairs):
            yield f"{path}.kind", f"{fault.kind!r} needs relays of pairs (rig.relays, rig.pairs)"
        for key, pattern in (("link", fault.link), ("on.link", fault.on.link if fault.on else "")):
            names = names if names is not None else links(s)
            if pattern and not any(fnmatchcase(name, pattern) for name in names):
                yield f"{path}.{key}", f"no link is called {pattern!r}{words.nearest(pattern, names)}"
        if fault.kind in PROCESS_KINDS:
            balancers = [f"b{b}" for b in range(s.bank.count)]
            if fault.who and not any(fnmatchcase(b, fault.who) for b in balancers):
                yield (
                    f"{path}.who",
                    f"no balancer is called {fault.who!r}{words.nearest(fault.who, balancers)}",
                )
            if not fault.who and not fault.part:
                yield f"{path}.who", f"{fault.kind!r} needs who or part"
        if fault.on is not None:
            if not s.rig.relays:
                yield f"{path}.on", "what is seen on the wire needs relays (rig.relays)"
            if fault.on.nth < 1:
                yield f"{path}.on.nth", f"{fault.on.nth} is under 1"
            if fault.on.prefix and fault.on.prefix not in [p.name for p in s.prefixes]:
                yield f"{path}.on.prefix", f"{fault.on.prefix!r} is not a prefix"
    if s.chance.count:
        for i, kind in enumerate(s.chance.kinds):
            if kind not in (*(k for k in SHARED_KINDS if k in words.RANGES), *DRAWN_RANGES):
                yield f"chance.kinds[{i}]", f"the rig draws none of {kind!r}"
