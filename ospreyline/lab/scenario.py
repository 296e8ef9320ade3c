"""Scenario files (TOML) of the simulator: all keys with their defaults, reading and checking.

`load` reads a `Scenario`, `change` sets keys by their dotted paths (for sweeps). A number written as
`[low, high]` is drawn from that range for each run. Errors are `ScenarioError`: one line that names the key
and the nearest known one.
"""

from __future__ import annotations

import tomllib
from collections.abc import Iterator, Mapping
from difflib import get_close_matches
from typing import Any, Literal

import msgspec

from ospreyline.host import DedupScope, Kind
from ospreyline.lab import words
from ospreyline.lab.words import FAULTS, Chance, Fault, Part, ScenarioError, numbers, worded

Span = float | tuple[float, float]  # a value, or the range that it is drawn from for each run


class Day(Part):
    seconds: float = 60.0
    settle: float = 0.0  # s at the start that the summary leaves out
    window: float = 1.0  # s that one row of time.jsonl covers


class Bank(Part):
    """The balancers."""

    count: int = 3
    skew: float = 0.0  # coefficient of variation of the traffic of the balancers of a zone
    turn_us: float = 0.0  # CPU time that a visit or the end of a fetch costs; 0: none
    cores: float = 1.0  # cores that a balancer has for this
    ready_ms: float = 300.0  # from a start until it is ready
    notice_ms: tuple[float, float] = (1_000.0, 4_000.0)  # until the traffic split notices a dead balancer
    known_age_ms: float = 0.0  # age of the upstream list that a balancer starts from
    copies: bool = False  # a second fetch may be sent while the first is out
    max_fetches: int = 3


class Zones(Part):
    names: list[str] = msgspec.field(default_factory=lambda: ["a"])
    traffic: list[float] = msgspec.field(default_factory=list)  # weight of each zone; empty: all equal


class Crowd(Part):
    """Servers that slow down when overloaded and recover only after a time of low load."""

    at: float = 0.0  # mean of visits held that overloads it: cores + at * sqrt(cores); 0: never
    over_ms: float = 2_000.0  # time constant of this mean
    slower: Span = 2.5
    below: float = 0.35  # share of busy cores under which it recovers
    rest_ms: float = 3_000.0
    most_ms: float = 25_000.0


class Memory(Part):
    """A server's cache: visits whose key it has met recently cost less work."""

    gain: float = 0.0  # share of the work saved; 0: none
    for_ms: float = 5_000.0
    keys_per_core: int = 100


class Group(Part):
    """A group of servers with the same properties."""

    count: int = 6
    zone: str = ""  # empty: spread evenly over all
    cores: int = 4
    speed: Span = 1.0
    slots_per_core: float = 1.0  # visits worked on at once, sharing the cores evenly; 0: no limit
    queue_per_core: float = 32.0  # visits that may wait; further ones are rejected; 0: no limit
    cold_from: float = 0.25  # share of capacity right after a start
    warm_ms: float = 10_000.0  # after which it is warm in any case
    warm_visits: float = 0.0  # visits done after which it is warm sooner; 0: only time warms it
    thrash: float = 0.0  # efficiency 1 / (1 + thrash * visits held per core above thrash_at); 0: none
    thrash_at: float = 4.0
    pause_every_ms: float = 0.0  # 0: none
    pause_ms: float = 20.0
    error_rate: float = 0.0
    cancel: Literal["none", "queued", "all"] = "queued"  # which cancelled visits the server stops
    drops_expired: bool = False
    connections: int = 0  # most open connections; 0: no limit
    handshake_ms: float = 0.5  # extra work on the first visit of a connection
    tips: float = 0.0  # times its capacity within tip_ms that kills it while it is cold; 0: never
    tip_ms: float = 2_000.0
    restart_ms: float = 5_000.0  # until a dead one is up again
    cell_size: int = 0  # servers in a cell; 0: the whole zone is one cell
    crowd: Crowd = msgspec.field(default_factory=Crowd)
    memory: Memory = msgspec.field(default_factory=Memory)


class Links(Part):
    """The network; times are one way."""

    same_ms: float = 0.2
    cross_ms: float = 1.0
    client_ms: float = 0.5
    jitter: float = 0.2  # mean of an exponentially distributed addition, as a share
    loss: float = 0.0  # share of messages lost; each is retransmitted
    again_ms: float = 200.0  # delay of a retransmission
    connect_timeout_ms: float = 250.0
    handshake_trips: float = 2.0
    keepalive_ms: float = 15_000.0


class Registry(Part):
    """The list service."""

    mode: Literal["push", "ask"] = "push"
    notice_ms: tuple[float, float] = (500.0, 1_500.0)  # until it notices a start, a drain or a crash
    silent_ms: tuple[float, float] = (4_000.0, 8_000.0)  # until it notices a server that vanished silently
    period_ms: float = 500.0  # changes are published in batches this often
    spread_ms: float = 100.0
    calls_per_s: float = 0.0  # most calls answered; 0: no limit
    timeout_ms: float = 2_000.0  # a call that would wait longer fails
    must_ask_ms: float = 10_000.0


class Reports(Part):
    """Load reports and probes."""

    via: Literal["none", "answers", "probe"] = "none"
    fields: list[str] = msgspec.field(default_factory=lambda: ["in-flight"])
    period_ms: float = 200.0  # greatest age of a server's figures when it sends them
    noise: float = 0.0  # standard deviation, as a share
    probes: bool = False
    probe_timeout_ms: float = 250.0


class Load(Part):
    """Load: visits a second, or a share of the capacity of all servers when warm."""

    rate: float = 0.0
    share: float = 0.0
    swing: float = 0.0  # amplitude of a sine, as a share of the mean
    period_s: float = 60.0  # period of this sine
    ramp: float = 0.0  # share by which the load rises until the end
    keys: int = 0  # distinct keys of visits; 0: visits have none
    zipf: float = 0.9
    closed: int = 0  # closed-loop clients (send again only after an answer), beside the open load
    think_ms: float = 1_000.0


class Clients(Part):
    retries: int = 0  # after a first try
    patience: float = 1.0  # share of the client timeout that one try may take
    backoff: Literal["none", "fixed", "exp"] = "exp"
    backoff_ms: float = 50.0
    honour: float = 1.0  # share of the clients that obey Retry-After
    after_errors: bool = True  # read-like and tagged visits are also retried after an error
    marks: bool = True  # retries are marked as repeats
    impatient: float = 0.0  # share of the clients that disconnect at a random moment


class Prefix(Part):
    """A path prefix."""

    name: str
    kind: Literal["read-like", "tagged", "mutating"] = "read-like"
    scope: Literal["all", "zone", "cell"] = "all"
    window_ms: float = 5_000.0
    target_ms: float = 100.0
    timeout_ms: float = 1_000.0
    gain: float = 1.0
    late_gain: float = 0.0
    share: float = 1.0  # of the visits, as a weight
    work_ms: float = 10.0  # of one core at speed 1, mean
    dist: Literal["const", "exp", "lognormal", "pareto"] = "exp"
    cv: float = 1.0
    wait_ms: float = 0.0  # time after the work during which it holds its slot but uses no core


class Tenant(Part):
    name: str
    share: float = 1.0


class Rules(Part):
    drain_grace_ms: float = 500.0
    overload_factor: float = 3.0  # times a cold server's capacity that it may get
    tip_ms: float = 2_000.0
    slack_ms: float = 50.0  # tolerance that the referee adds to each time limit


class Goal(Part):
    cross_fee: float = 0.0  # share of the mean gain, for each fetch to another zone
    probe_fee: float = 0.0
    worst_prefix: float = 0.0  # weight of the worst-served path prefix
    max_retry_after_ms: float = 1_000.0  # 0: bounces carry no Retry-After


class Scenario(Part):
    name: str = "unnamed"
    about: str = ""
    day: Day = msgspec.field(default_factory=Day)
    bank: Bank = msgspec.field(default_factory=Bank)
    zones: Zones = msgspec.field(default_factory=Zones)
    servers: list[Group] = msgspec.field(default_factory=lambda: [Group()])
    links: Links = msgspec.field(default_factory=Links)
    registry: Registry = msgspec.field(default_factory=Registry)
    reports: Reports = msgspec.field(default_factory=Reports)
    load: Load = msgspec.field(default_factory=Load)
    clients: Clients = msgspec.field(default_factory=Clients)
    prefixes: list[Prefix] = msgspec.field(default_factory=lambda: [Prefix("read")])
    tenants: list[Tenant] = msgspec.field(default_factory=list)
    rules: Rules = msgspec.field(default_factory=Rules)
    goal: Goal = msgspec.field(default_factory=Goal)
    faults: list[Fault] = msgspec.field(default_factory=list)
    chance: Chance = msgspec.field(default_factory=Chance)

    def mean_work(self) -> float:
        """Mean work of a visit, in ms of a core at speed 1."""
        shares = sum(p.share for p in self.prefixes)
        return sum(p.share * p.work_ms for p in self.prefixes) / shares

    def capacity(self) -> float:
        """Visits a second that all servers can do when warm (the middle where speed is a range)."""
        return sum(g.count * g.cores * middle(g.speed) for g in self.servers) * 1e3 / self.mean_work()

    def rate(self) -> float:
        """Mean first tries a second, without swing and ramp."""
        return self.load.rate or self.load.share * self.capacity()


KINDS = {kind.value: kind for kind in Kind}
SCOPES = {scope.value: scope for scope in DedupScope}


def middle(span: Span) -> float:
    return sum(span) / 2 if isinstance(span, tuple) else span


def shipped() -> dict[str, str]:
    """The scenarios that come with the simulator: TOML text by name."""
    return words.shipped_scenarios("ospreyline.lab")


def load(name: str) -> Scenario:
    """Reads a scenario by the path of its file or by the name of a shipped one."""
    text = words.read_scenario(name, shipped())
    try:
        return parse(text)
    except ScenarioError as error:
        raise ScenarioError(f"{name}: {error}") from error


def parse(text: str) -> Scenario:
    try:
        tree = tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        raise ScenarioError(str(error)) from error
    return build(tree)


def build(tree: Mapping[str, Any]) -> Scenario:
    """A checked scenario from decoded TOML."""
    try:
        scenario = msgspec.convert(tree, Scenario, strict=True)
    except msgspec.ValidationError as error:
        raise ScenarioError(worded(str(error), known_keys())) from error
    for key, problem in problems(scenario, FAULTS):
        raise ScenarioError(f"{key}: {problem}")
    return scenario


def change(scenario: Scenario, settings: Mapping[str, Any]) -> Scenario:
    """The scenario with keys set by dotted path, such as `bank.count` or `servers.0.cores`."""
    tree = msgspec.to_builtins(scenario)
    for path, value in settings.items():
        at: Any = tree
        *parents, last = path.split(".")
        for step in [*parents, last]:
            known = (
                [str(i) for i in range(len(at))]
                if isinstance(at, list)
                else list(at)
                if isinstance(at, dict)
                else []
            )
            if step not in known:
                near = get_close_matches(step, known, 1)
                raise ScenarioError(f"{path}: no such key" + (f", {near[0]!r}?" if near else ""))
            if step is not last:
                at = at[int(step)] if isinstance(at, list) else at[step]
        if isinstance(at, list):
            at[int(last)] = value
        else:
            at[last] = value
    return build(tree)


def known_keys() -> Iterator[str]:
    """All keys of all tables, for suggestions."""
    tables = (
        Scenario,
        Day,
        Bank,
        Zones,
        Group,
        Crowd,
        Memory,
        Links,
        Registry,
        Reports,
        Load,
        Clients,
        Prefix,
        Tenant,
        Rules,
        Goal,
        Fault,
        Chance,
    )
    for table in tables:
        yield from table.__struct_fields__


def problems(s: Scenario, kinds: Mapping[str, str]) -> Iterator[tuple[str, str]]:
    """Key and text of each problem that the types do not exclude; `kinds` are the known fault kinds."""
    yield from numbers("", msgspec.to_builtins(s))
    if not s.day.seconds > s.day.settle:
        yield "day.seconds", f"{s.day.seconds:g} leaves nothing after day.settle"
    if not s.day.window > 0:
        yield "day.window", f"{s.day.window:g} is no time"
    if s.bank.count < 1:
        yield "bank.count", "one balancer is needed"
    if not s.bank.cores > 0:
        yield "bank.cores", f"{s.bank.cores:g} is no share of a core"
    if not s.zones.names or len(set(s.zones.names)) < len(s.zones.names):
        yield "zones.names", "one or more different names are needed"
    if s.zones.traffic and (len(s.zones.traffic) != len(s.zones.names) or not sum(s.zones.traffic) > 0):
        yield "zones.traffic", "one weight for each zone is needed, not all 0"
    if not s.servers:
        yield "servers", "one group is needed"
    for i, g in enumerate(s.servers):
        at = f"servers[{i}]"
        if g.zone and g.zone not in s.zones.names:
            yield f"{at}.zone", f"{g.zone!r} is not in zones.names"
        if g.count < 1 or g.cores < 1:
            yield f"{at}.{'count' if g.count < 1 else 'cores'}", "1 is the least"
        if not middle(g.speed) > 0:
            yield f"{at}.speed", "0 is no speed"
        if not 0 < g.cold_from <= 1:
            yield f"{at}.cold_from", f"{g.cold_from:g} is no share of the capacity"
    zones_with_servers = {g.zone for g in s.servers if g.zone}
    if all(g.zone for g in s.servers):
        for zone in s.zones.names:
            if zone not in zones_with_servers:
                yield "zones.names", f"no server is in {zone!r}"
    if not s.prefixes:
        yield "prefixes", "one is needed"
    names = [p.name for p in s.prefixes]
    for i, p in enumerate(s.prefixes):
        if p.name in names[:i]:
            yield f"prefixes[{i}].name", f"{p.name!r} is there twice"
        for key in ("target_ms", "timeout_ms", "work_ms"):
            if not getattr(p, key) > 0:
                yield f"prefixes[{i}].{key}", f"{getattr(p, key):g} is no time"
    if not sum(p.share for p in s.prefixes) > 0:
        yield "prefixes", "all shares are 0"
    if not (s.load.rate or s.load.share or s.load.closed):
        yield "load", "rate, share or closed is needed"
    if s.tenants and not sum(t.share for t in s.tenants) > 0:
        yield "tenants", "all shares are 0"
    yield from words.problems(s.faults, kinds, s.zones.names, names)
    for i, kind in enumerate(s.chance.kinds):
        if kind not in kinds:
            yield f"chance.kinds[{i}]", f"unknown {kind!r}"
    for fee in ("cross_fee", "probe_fee", "worst_prefix"):
        if getattr(s.goal, fee) > 1:
            yield f"goal.{fee}", f"{getattr(s.goal, fee):g} is over 1"
