"""Scenarios of the rig: the laboratory's words, and what only real processes and links have.

A `Scenario` is the laboratory's with a `[rig]` table; its faults may name links and processes, and may be
bound to something seen on the wire (`on`) in place of a time. Errors are `ScenarioError`, one line.
"""

from __future__ import annotations

import tomllib
from collections.abc import Iterator, Mapping
from fnmatch import fnmatchcase
from importlib import resources
from pathlib import Path
from typing import Any, Literal

import msgspec

from ospreyline.lab import scenario as lab
from ospreyline.lab import words
from ospreyline.lab.words import Part, ScenarioError

MOST_BALANCERS, MOST_UPSTREAMS, MOST_SECONDS, MOST_RATE = 400, 120, 600.0, 4_000.0


Way = Literal["both", "to", "from"]
WAYS: tuple[Way, ...] = ("both", "to", "from")


class Mesh(Part):
    """Links between the balancers, by the operator's file."""

    on: bool = False
    seeds: int = 3  # balancers that all others are told of; the rest they hear from one another
    lists: bool = False  # a few pass the list on; wants rig.pairs off: all are told the same addresses


class Rig(Part):
    """How the processes are started, and what the list service can do."""

    # warm: the day begins when all are ready; in turn: the same, and each is older than the next
    start: Literal["warm", "in turn", "at once"] = "warm"
    known: Literal["all", "none"] = "all"  # the list that a balancer starts with
    fleet: Mesh = msgspec.field(default_factory=Mesh)
    pairs: bool = True  # a relay between each balancer and each upstream; off: all share the upstreams' own
    relays: bool = True  # without: processes are linked directly, to see what relays cost
    relay_processes: int = 2
    client_processes: int = 1
    upstream_processes: int = 2
    queue: int = 50  # calls that wait at the list service; more are refused with 503
    retry_after_s: float = 0.0  # said with its 503; 0: not said
    ready_s: float = 30.0  # in which all processes have to be up
    # the operator's file of each balancer, by tables; in texts {b} is its name and {out} the run's folder
    operator: dict[str, dict[str, Any]] = msgspec.field(default_factory=dict)
    program: str = ""  # folder of another checkout, whose balancers are played; empty: this one's
    program_for: str = "b*"  # the balancers that are played from there
    # clients whose connection ended under a visit ask for it again, under its id, at whichever balancer
    asks_again: bool = False
    must_ask_s: float = 10.0  # without a call after which a balancer counts as told of everything
    lag_ms: float = 250.0  # that the rig's own processes may be late before a day is void


class On(Part):
    """What is seen on a link, after which a fault is carried out while that link is held."""

    seen: Literal["request", "answer", "connection"] = "request"  # the last byte of one has been passed on
    link: str = "b*>u*"
    prefix: str = ""
    nth: int = 1


class Fault(words.Fault):
    link: str = ""  # links that it meets, such as `b0>u*`, `c>b2`, `b*>list`
    who: str = ""  # processes that it meets, such as `b1`; with `part` left out
    way: Way = "both"  # to: from the left of the link's name to the right
    on: On | None = None


class Scenario(lab.Scenario):
    rig: Rig = msgspec.field(default_factory=Rig)
    faults: list[Fault] = msgspec.field(default_factory=list)  # type: ignore[assignment]

    def upstreams(self) -> int:
        return sum(group.count for group in self.servers)


# the laboratory's words that the rig carries out, too
SHARED = (
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
# part of the balancers is told a new address of the list service (SIGHUP); the old one closes 1.5 s later
MOVED = "registry-moved"
# words of links and processes
OWN = {
    "drop": "what is sent on the links is lost unseen; at the end extra as a share of connections is reset",
    "stall": "the links pass nothing and read nothing; all of it comes at the end",
    "slow-link": "the links pass everything size ms later",
    "reset": "the connections on the links are reset, new ones until the end, too",
    "refuse": "new connections on the links are refused",
    "half-close": "the sending side of open connections is shut down, once",
    "cut-at": "connections on the links are reset after size bytes that way",
    "narrow": "what comes in pieces over size bytes is never passed, nor what follows it, until the end",
    "fin-for-reset": "the links pass a reset by the server on as an end in order, as proxies do",
    "vanish": "as if the machine were gone: open connections fall silent, new ones never come up",
    "stop": "processes are stopped (SIGSTOP) and continued at the end",
    "starve": "processes are stopped for size ms, every extra ms",
    "crash-loop": "processes are killed size ms after each time that they serve, and started again; each "
    "begins at a moment of its own within extra ms",
    "hup": "processes get SIGHUP once",
    "registry-full": "the list service answers 503 to every call",
    "registry-hang": "the list service sends a head and then nothing",
    "registry-half": "the list service sends half a list and closes",
    "registry-lost": "what the list service writes is lost: a reset takes it away, but for some bytes",
    **{
        f"registry-lost-{end}": f"what the list service writes is lost but for size bytes, {how}; calls are "
        "turned away for extra s after each, each after 2 s if silent"
        for end, how in (
            ("last-chunk", "and the answer ends in form"),
            ("fin", "and closed in order"),
            ("reset", "by a reset"),
            ("silence", "and nothing comes any more"),
        )
    },
    "registry-back": "the list service tells a list older than the one it told before",
    "registry-swap": "the list names the address of another upstream for part of the upstreams",
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
PROCESS_KINDS = ("stop", "starve", "crash-loop", "hup", "kill", "restart", MOVED)
# ranges of those of them that are drawn, mildest end first: for_s, part of the balancers, size, extra
DRAWN: dict[str, tuple[tuple[float, float], ...]] = {
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
    **{kind: words.FAULTS[kind] for kind in SHARED},
    **OWN,
    MOVED: "balancers get a new address of the list service by SIGHUP; the old one closes after 1.5 s",
}


def shipped() -> dict[str, str]:
    """The scenarios that come with the rig: their names and their text."""
    folder = resources.files("ospreyline.rig") / "scenarios"
    return {
        entry.name.removesuffix(".toml"): entry.read_text("utf-8")
        for entry in sorted(folder.iterdir(), key=lambda e: e.name)
        if entry.name.endswith(".toml")
    }


def load(name: str) -> Scenario:
    """A scenario by the path of its file, or by the name of a shipped one."""
    path = Path(name)
    try:
        text = path.read_text("utf-8") if path.suffix == ".toml" or path.exists() else shipped().get(name)
    except (OSError, UnicodeDecodeError) as error:
        raise ScenarioError(f"{name}: {getattr(error, 'strerror', None) or error}") from error
    if text is None:
        raise ScenarioError(f"{name}: no such file or shipped scenario{words.nearest(name, shipped())}")
    try:
        return build(_whole(tomllib.loads(text)))
    except tomllib.TOMLDecodeError as error:
        raise ScenarioError(f"{name}: {error}") from error
    except ScenarioError as error:
        raise ScenarioError(f"{name}: {error}") from error


def _whole(tree: dict[str, Any]) -> dict[str, Any]:
    """A file that is `like` a shipped one has that one's keys where it has none of its own."""
    like = tree.pop("like", None)
    if like is None:
        return tree
    if like not in shipped():
        raise ScenarioError(f"like: no shipped scenario {like!r}{words.nearest(str(like), shipped())}")
    return _over(_whole(tomllib.loads(shipped()[like])), tree)


def _over(base: dict[str, Any], top: Mapping[str, Any]) -> dict[str, Any]:
    for key, value in top.items():
        base[key] = (
            _over(base[key], value) if isinstance(value, dict) and isinstance(base.get(key), dict) else value
        )
    return base


def build(tree: Mapping[str, Any]) -> Scenario:
    """A checked scenario from plain tables."""
    try:
        found = msgspec.convert(tree, Scenario, strict=True)
    except msgspec.ValidationError as error:
        known = [*lab.known_keys(), *(k for t in (Scenario, Rig, On, Fault) for k in t.__struct_fields__)]
        raise ScenarioError(words.worded(str(error), known)) from error
    for key, problem in (*lab.problems(found, FAULTS), *_problems(found)):
        raise ScenarioError(f"{key}: {problem}")
    return found


def links(s: Scenario) -> list[str]:
    """The names of all links: clients to balancers, balancers to upstreams and to the list service."""
    balancers, upstreams = range(s.bank.count), range(s.upstreams())
    between = balancers if s.rig.fleet.on else range(0)
    moved = balancers if any(fault.kind == MOVED for fault in s.faults) else range(0)
    return [
        *(f"c>b{b}" for b in balancers),
        *(f"b{b}>list" for b in balancers),
        *(f"b{b}>list2" for b in moved),
        *(f"b{b}>u{u}" for b in balancers for u in (upstreams if s.rig.pairs else ())),
        *(f"b{a}>b{b}" for a in between for b in between if a != b),
    ]


def draw_faults(s: Scenario, generator: Any) -> list[Fault]:
    """The drawn faults of a day: those of the laboratory, and links and processes; one seed, one day."""
    chance, out = s.chance, list[Fault]()
    kinds = list(chance.kinds) or [k for k in SHARED if k in words.RANGES]
    zones, count = s.zones.names, s.bank.count
    one = msgspec.structs.replace(chance, count=1)
    for _ in range(chance.count):
        kind = kinds[int(generator.integers(len(kinds)))]
        if kind in words.RANGES:
            (found,) = words.drawn(one, [kind], s.day.seconds, zones, generator)
            out.append(Fault(**msgspec.structs.asdict(found)))
            continue
        for_s, part, size, extra = (
            low + float(generator.random()) * (1 - chance.mildness) * (high - low)
            for low, high in DRAWN[kind]
        )
        at_s = (0.1 + 0.75 * float(generator.random())) * s.day.seconds
        link = ""
        if kind in LINK_KINDS:
            # all the links of one balancer of some sort, or one link between two balancers
            b, other = (int(i) for i in generator.integers(count, size=2))
            sorts = [f"b{b}>list", f"c>b{b}"] + ([f"b{b}>u*"] if s.rig.pairs else [])
            if s.rig.fleet.on and count > 1:
                sorts += [f"b{b}>b*", f"b*>b{b}", f"b{b}>b{other if other != b else (b + 1) % count}"]
            link = sorts[int(generator.integers(len(sorts)))]
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
    """What only the rig asks of a scenario."""
    for key, figure, most in (
        ("bank.count", s.bank.count, MOST_BALANCERS),
        ("servers", s.upstreams(), MOST_UPSTREAMS),
        ("day.seconds", s.day.seconds, MOST_SECONDS),
        ("load", s.rate(), MOST_RATE),
    ):
        if figure > most:
            yield key, f"{figure:g} is more than the {most:g} that a machine can play"
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
        at = f"faults[{i}]"
        if fault.kind in LINK_KINDS:
            if not s.rig.relays:
                yield f"{at}.kind", f"{fault.kind!r} needs relays (rig.relays)"
            if not fault.link:
                yield f"{at}.link", f"{fault.kind!r} needs links, such as 'b0>u*'"
        if fault.kind == MOVED and not s.rig.relays:
            yield f"{at}.kind", f"{fault.kind!r} needs relays (rig.relays)"
        if fault.kind in ("cut", "vanish") and not (s.rig.relays and s.rig.pairs):
            yield f"{at}.kind", f"{fault.kind!r} needs relays of pairs (rig.relays, rig.pairs)"
        for key, pattern in (("link", fault.link), ("on.link", fault.on.link if fault.on else "")):
            names = names if names is not None else links(s)
            if pattern and not any(fnmatchcase(name, pattern) for name in names):
                yield f"{at}.{key}", f"no link is called {pattern!r}{words.nearest(pattern, names)}"
        if fault.kind in PROCESS_KINDS:
            balancers = [f"b{b}" for b in range(s.bank.count)]
            if fault.who and not any(fnmatchcase(b, fault.who) for b in balancers):
                yield f"{at}.who", f"no balancer is called {fault.who!r}{words.nearest(fault.who, balancers)}"
            if not fault.who and not fault.part:
                yield f"{at}.who", f"{fault.kind!r} needs who or part"
        if fault.on is not None:
            if not s.rig.relays:
                yield f"{at}.on", "what is seen on the wire needs relays (rig.relays)"
            if fault.on.nth < 1:
                yield f"{at}.on.nth", f"{fault.on.nth} is under 1"
            if fault.on.prefix and fault.on.prefix not in [p.name for p in s.prefixes]:
                yield f"{at}.on.prefix", f"{fault.on.prefix!r} is not a prefix"
    if s.chance.count:
        for i, kind in enumerate(s.chance.kinds):
            if kind not in (*(k for k in SHARED if k in words.RANGES), *DRAWN):
                yield f"chance.kinds[{i}]", f"the rig draws none of {kind!r}"
