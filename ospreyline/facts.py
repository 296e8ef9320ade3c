"""Configuration: the one place where it is read, checked and given defaults, for both fronts.

`read()` turns the settings (JSON, microseconds) into a `Deployment`, what the decisions are told. `post()`
turns the file of a balancer on sockets into a `Post`: the settings, and where and within what it runs.
Whatever is wrong comes out as a `FactError` that names the faulty key.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from math import inf
from pathlib import Path

import msgspec

from ospreyline.host import Deployment, Kind, PathPrefix, Scope


class FactError(ValueError):
    """The configuration cannot be used; the text names the key."""


class _Limits(msgspec.Struct):
    sockets: int = 1024
    memory_mb: float = 192.0


class _File(msgspec.Struct):
    """The file of a balancer on sockets; keys that are not named here are ignored."""

    settings: msgspec.Raw
    name: str = "ospreyline"
    listen: str = ""
    discovery: str = ""
    seed: str | int = 0
    limits: _Limits = msgspec.field(default_factory=_Limits)
    known: msgspec.Raw = msgspec.Raw(b'{"rev":0,"all":true,"targets":[]}')


class _Wire(msgspec.Struct, rename="pascal"):
    """A JSON object of the settings; keys that are not named here are ignored."""


class _Prefix(_Wire):
    client_timeout_us: float
    name: str = ""
    semantics: str = "once"
    key_scope: str = "all"
    window_us: float = 0.0
    target_latency_us: float = 0.0
    gain: float = 1.0
    late_gain: float = 0.0


class _Caps(_Wire):
    cancel: bool = False
    most_backend_fetches: int = 1
    max_retry_after_us: float = 0.0
    may_tell: bool = False
    probing: bool = False
    retry_after: bool = False
    connect_timeout_us: float = 250_000.0
    keepalive_us: float = 15_000_000.0


class _Fees(_Wire):
    cross_zone: float = 0.0
    probe: float = 0.0


class _Goal(_Wire):
    whole: float = 1.0
    worst_class: float = 0.0
    worst_tenant: float = 0.0
    worst_window: float = 0.0
    availability: float = 0.0  # the mean of the nines, span by span
    full_at_nines: float = 3.0  # the nines that count in full: a figure of that part, no weight

    def total(self) -> float:
        return self.whole + self.worst_class + self.worst_tenant + self.worst_window + self.availability


class _Feedback(_Wire):
    fields: list[str] = []
    via: str = "silent"


class _Invariants(_Wire):
    cold_from: float = 0.1
    drain_grace_us: float = 5e5
    must_ask_in_us: float = 1e7
    overload_factor: float = 2.0
    tip_after_us: float = 2e6
    warm_within_us: float = 3e7


class _Facts(_Wire):
    path_prefixes: list[_Prefix]
    zone: int = 0
    balancers: int = 1
    me: int = 0
    dcs: list[str] = []
    discovery: str = "push"
    caps: _Caps = msgspec.field(default_factory=_Caps)
    fees: _Fees = msgspec.field(default_factory=_Fees)
    goal: _Goal = msgspec.field(default_factory=_Goal)
    feedback: _Feedback = msgspec.field(default_factory=_Feedback)
    invariants: _Invariants = msgspec.field(default_factory=_Invariants)


_DECODER = msgspec.json.Decoder(_Facts, strict=False)
_FILE_DECODER = msgspec.json.Decoder(_File, strict=False)
_KINDS = {"repeatable": Kind.READ_LIKE, "by_key": Kind.TAGGED, "once": Kind.MUTATING}
_SCOPES = {scope.value: scope for scope in Scope}
# load reports name their fields in either set of words
REPORT_WORDS = {
    "active": "in-flight",
    "inflight": "in-flight",
    "waiting": "queue",
    "cpu": "util",
    "avg_ms": "latency",
    "latency_ms": "latency",
    "rps": "rate",
    "qps": "rate",
    "err_rps": "errors",
    "eps": "errors",
}


@dataclass(slots=True, frozen=True)
class Post:
    """Where a balancer on sockets stands and what it may use."""

    name: str
    listen: tuple[str, int]
    discovery: tuple[str, int]
    seed: int
    sockets: int  # descriptors, all together
    memory: int  # bytes, all together
    known: bytes  # the list as it was last had, in discovery's form
    terms: Deployment
    prefix_names: tuple[str, ...]
    zone_names: tuple[str, ...]
    connect_time_out: float
    keep_idle: float  # how long an upstream keeps an idle connection
    nines: float  # weight of the nines in the goal; with full_at_nines read and checked, and no decision's
    full_at_nines: float

    def needs_restart(self, new: Post) -> list[str]:
        """The keys that differ in a new file and that a reload leaves as they are.

        `seed` and `known` are for a start alone, so they are not compared.
        """
        groups = {"name": ("name",), "listen": ("listen",), "limits": ("sockets", "memory")}
        return [
            key for key, fields in groups.items() if any(getattr(self, f) != getattr(new, f) for f in fields)
        ]


def read(text: bytes) -> Deployment:
    """Decode the settings for the decisions; `FactError` if unusable."""
    return _deployment(_facts(text, ""))


def load(path: Path, env: Mapping[str, str], again: bool = False) -> Post:
    """Read the file of a balancer; again: on a reload the file names discovery, whatever is set."""
    if again:
        # guards: the variable still holds the address from the start, and would win over the new one
        env = {key: value for key, value in env.items() if key != "PROXY_DISCOVERY"}
    try:
        return post(path.read_bytes(), env)
    except OSError as error:
        raise FactError(f"{path}: {error.strerror}") from error
    except FactError as error:
        raise FactError(f"{path}: {error}") from error


def given(path: Path) -> frozenset[str]:
    """The top keys that a balancer's file holds, of one that `load` took."""
    return frozenset(msgspec.json.decode(path.read_bytes(), type=dict[str, msgspec.Raw]))


def post(text: bytes, env: Mapping[str, str]) -> Post:
    """Decode the file of a balancer on sockets; variables that are set win over the file."""
    try:
        file = _FILE_DECODER.decode(text)
    except msgspec.MsgspecError as error:
        raise FactError(_plain(error, "")) from error
    facts = _facts(bytes(file.settings), "settings.")
    sockets = file.limits.sockets
    if sockets < 64:
        raise FactError(f"limits.sockets: {sockets} is too few, 64 are needed")
    if not 16 <= file.limits.memory_mb < 1e6:
        raise FactError(f"limits.memory_mb: {file.limits.memory_mb:g} is not between 16 and 1000000")
    try:
        seed = file.seed if isinstance(file.seed, int) else int(file.seed, 16)
    except ValueError:
        raise FactError(f"seed: {file.seed!r} is no hexadecimal number") from None
    names = tuple(p.name for p in facts.path_prefixes)
    seen: set[str] = set()
    for i, name in enumerate(names):
        if not name or "/" in name or name in seen:
            raise FactError(f"settings.PathPrefixes[{i}].Name: {name!r} cannot be the first part of a path")
        seen.add(name)
    return Post(
        name=env.get("PROXY_NAME") or file.name,
        listen=_address("listen", env.get("PROXY_LISTEN") or file.listen, lowest_port=0),
        discovery=_address("discovery", env.get("PROXY_DISCOVERY") or file.discovery),
        seed=seed,
        sockets=sockets,
        memory=int(file.limits.memory_mb * (1 << 20)),
        known=bytes(file.known),
        terms=_deployment(facts),
        prefix_names=names,
        zone_names=tuple(facts.dcs) or ("",),
        connect_time_out=facts.caps.connect_timeout_us / 1e3,
        keep_idle=facts.caps.keepalive_us / 1e3,
        nines=facts.goal.availability / max(1e-9, facts.goal.total()),
        full_at_nines=facts.goal.full_at_nines,
    )


def address(text: str, lowest_port: int = 1) -> tuple[str, int] | None:
    """Host and port of `host:port`; None where it is none."""
    host, _, port = text.rpartition(":")
    if not host or not (port.isascii() and port.isdigit()) or not lowest_port <= int(port) < 65_536:
        return None
    return host.strip("[]"), int(port)


def _address(key: str, text: str, lowest_port: int = 1) -> tuple[str, int]:
    found = address(text, lowest_port)
    if found is None:
        raise FactError(f"{key}: {text!r} is no address of the form host:port")
    return found


def _plain(error: Exception, root: str) -> str:
    """What msgspec says, with the path of the key first."""
    what, at, path = str(error).partition(" - at `$")
    path = path.rstrip("`").removeprefix(".")
    return f"{root}{path}: {what}" if at else f"{root.rstrip('.') or 'the file'}: {what}"


def _facts(text: bytes, root: str) -> _Facts:
    try:
        facts = _DECODER.decode(text)
    except msgspec.MsgspecError as error:
        raise FactError(_plain(error, root)) from error
    for i, p in enumerate(facts.path_prefixes):
        at = f"{root}PathPrefixes[{i}]."
        if p.semantics not in _KINDS:
            raise FactError(f"{at}Semantics: unknown {p.semantics!r}")
        if p.key_scope not in _SCOPES:
            raise FactError(f"{at}KeyScope: unknown {p.key_scope!r}")
        if not p.client_timeout_us > 0:
            raise FactError(f"{at}ClientTimeoutUs: {p.client_timeout_us} is no time")
        for key, figure in (
            ("TargetLatencyUs", p.target_latency_us),
            ("WindowUs", p.window_us),
            ("Gain", p.gain),
            ("LateGain", p.late_gain),
        ):
            if not 0 <= figure < inf:
                raise FactError(f"{at}{key}: {figure} is under 0 or no figure")
    for key, span in (
        ("ConnectTimeoutUs", facts.caps.connect_timeout_us),
        ("KeepaliveUs", facts.caps.keepalive_us),
    ):
        if not span > 0:
            raise FactError(f"{root}Caps.{key}: {span} is no time")
    rules, goal = facts.invariants, facts.goal
    for key, figure in (
        ("Caps.MaxRetryAfterUs", facts.caps.max_retry_after_us),
        ("Fees.CrossZone", facts.fees.cross_zone),
        ("Fees.Probe", facts.fees.probe),
        ("Goal.Whole", goal.whole),
        ("Goal.WorstClass", goal.worst_class),
        ("Goal.WorstTenant", goal.worst_tenant),
        ("Goal.WorstWindow", goal.worst_window),
        ("Goal.Availability", goal.availability),
        ("Invariants.ColdFrom", rules.cold_from),
        ("Invariants.OverloadFactor", rules.overload_factor),
        ("Invariants.TipAfterUs", rules.tip_after_us),
        ("Invariants.WarmWithinUs", rules.warm_within_us),
    ):
        if not 0 <= figure < inf:
            raise FactError(f"{root}{key}: {figure} is under 0 or no figure")
    if not 0 < goal.full_at_nines < inf:
        raise FactError(f"{root}Goal.FullAtNines: {goal.full_at_nines} is not over 0")
    if not rules.must_ask_in_us > 0:
        raise FactError(f"{root}Invariants.MustAskInUs: {rules.must_ask_in_us} is no time")
    if not rules.drain_grace_us >= 0:
        raise FactError(f"{root}Invariants.DrainGraceUs: {rules.drain_grace_us} is no time")
    if facts.discovery not in ("ask", "push"):
        raise FactError(f"{root}Discovery: unknown {facts.discovery!r}, 'ask' or 'push' is")
    if facts.balancers < 1 or facts.caps.most_backend_fetches < 1:
        key = "Balancers" if facts.balancers < 1 else "Caps.MostBackendFetches"
        raise FactError(f"{root}{key}: under 1")
    if len(set(facts.dcs)) < len(facts.dcs):
        raise FactError(f"{root}Dcs: a zone is named twice")
    if facts.zone < 0 or facts.zone >= max(1, len(facts.dcs)):
        raise FactError(f"{root}Zone: {facts.zone} is not the place of a zone in Dcs")
    return facts


def _deployment(facts: _Facts) -> Deployment:
    prefixes = tuple(
        PathPrefix(
            kind=_KINDS[p.semantics],
            scope=_SCOPES[p.key_scope],
            window=p.window_us / 1e3,
            target_latency=(p.target_latency_us or p.client_timeout_us) / 1e3,
            client_timeout=p.client_timeout_us / 1e3,
            gain=p.gain,
            late_gain=p.late_gain,
            name=p.name,
        )
        for p in facts.path_prefixes
    )
    caps, rules = facts.caps, facts.invariants
    return Deployment(
        zone=facts.zone,
        zones=max(1, len(facts.dcs)),
        balancers=max(1, facts.balancers),
        number=facts.me,
        prefixes=prefixes,
        max_fetches=caps.most_backend_fetches,
        may_cancel=caps.cancel,
        may_probe=caps.probing,
        may_tell=caps.may_tell,
        max_retry_after=caps.max_retry_after_us / 1e3 if caps.retry_after else 0.0,
        ask_for_list=facts.discovery == "ask",
        must_ask_in=rules.must_ask_in_us / 1e3,
        drain_grace=rules.drain_grace_us / 1e3,
        cold_from=rules.cold_from,
        warm_within=rules.warm_within_us / 1e3,
        overload_factor=rules.overload_factor,
        tip_after=rules.tip_after_us / 1e3,
        cross_fee=facts.fees.cross_zone,
        probe_fee=facts.fees.probe,
        worst_prefix=facts.goal.worst_class / max(1e-9, facts.goal.total()),
        zone_names=tuple(facts.dcs) or ("",),
        report_fields=tuple(REPORT_WORDS.get(f, f) for f in facts.feedback.fields),
    )
