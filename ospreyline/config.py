"""Configuration: the one place where it is read, checked and given defaults, for both frontends.

`parse_settings()` turns the settings (JSON, microseconds) into a `Deployment`, the input of the decisions.
`parse()` turns the configuration file of a balancer on sockets into a `ProxyConfig`: the settings, addresses
and limits. Invalid configuration raises a `ConfigError` that names the faulty key.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from math import inf
from pathlib import Path

import msgspec

from ospreyline.host import DedupScope, Deployment, Kind, PathPrefix


class ConfigError(ValueError):
    """The configuration is invalid; the text names the key."""


class _Limits(msgspec.Struct):
    sockets: int = 1024
    memory_mb: float = 192.0


class _ConfigFile(msgspec.Struct):
    """The configuration file of a balancer on sockets; unknown keys are ignored."""

    settings: msgspec.Raw
    name: str = "ospreyline"
    listen: str = ""
    discovery: str = ""
    seed: str | int = 0
    limits: _Limits = msgspec.field(default_factory=_Limits)
    known: msgspec.Raw = msgspec.Raw(b'{"rev":0,"all":true,"targets":[]}')


class _SettingsObject(msgspec.Struct, rename="pascal"):
    """A JSON object of the settings, with keys in PascalCase; unknown keys are ignored."""


class _Prefix(_SettingsObject):
    client_timeout_us: float
    name: str = ""
    semantics: str = "once"
    key_scope: str = "all"
    window_us: float = 0.0
    target_latency_us: float = 0.0
    gain: float = 1.0
    late_gain: float = 0.0


class _Caps(_SettingsObject):
    cancel: bool = False
    most_backend_fetches: int = 1
    max_retry_after_us: float = 0.0
    may_tell: bool = False
    probing: bool = False
    retry_after: bool = False
    connect_timeout_us: float = 250_000.0
    keepalive_us: float = 15_000_000.0


class _Fees(_SettingsObject):
    cross_zone: float = 0.0
    probe: float = 0.0


class _Goal(_SettingsObject):
    whole: float = 1.0
    worst_class: float = 0.0
    worst_tenant: float = 0.0
    worst_window: float = 0.0
    availability: float = 0.0  # weight of the mean number of nines per time span
    full_at_nines: float = 3.0  # the number of nines that earns that weight in full; itself no weight

    def total(self) -> float:
        return self.whole + self.worst_class + self.worst_tenant + self.worst_window + self.availability


class _Feedback(_SettingsObject):
    fields: list[str] = []
    via: str = "silent"


class _Invariants(_SettingsObject):
    cold_from: float = 0.1
    drain_grace_us: float = 5e5
    must_ask_in_us: float = 1e7
    overload_factor: float = 2.0
    tip_after_us: float = 2e6
    warm_within_us: float = 3e7


class _Settings(_SettingsObject):
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


_SETTINGS_DECODER = msgspec.json.Decoder(_Settings, strict=False)
_FILE_DECODER = msgspec.json.Decoder(_ConfigFile, strict=False)
_KINDS = {"repeatable": Kind.READ_LIKE, "by_key": Kind.TAGGED, "once": Kind.MUTATING}
_SCOPES = {scope.value: scope for scope in DedupScope}
# load reports come with either of two sets of field names
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
class ProxyConfig:
    """The configuration of a balancer on sockets: addresses, limits and settings."""

    name: str
    listen: tuple[str, int]
    discovery: tuple[str, int]
    seed: int
    max_descriptors: int  # limit of file descriptors in total
    memory_bytes: int  # limit in total
    initial_list: bytes  # the initial upstream list, in the list service's format
    deployment: Deployment
    prefix_names: tuple[str, ...]
    zone_names: tuple[str, ...]
    connect_timeout_ms: float
    upstream_keepalive_ms: float  # for which an upstream keeps an idle connection
    nines_weight: float  # weight of the nines in the goal; checked and shown, but no decision uses it
    full_at_nines: float  # likewise

    def needs_restart(self, new: ProxyConfig) -> list[str]:
        """The keys that differ in a new file and that a reload does not apply.

        `seed` and `known` matter only at a start, so they are not compared.
        """
        groups = {"name": ("name",), "listen": ("listen",), "limits": ("max_descriptors", "memory_bytes")}
        return [
            key for key, fields in groups.items() if any(getattr(self, f) != getattr(new, f) for f in fields)
        ]


def parse_settings(text: bytes) -> Deployment:
    """Decodes the settings for the decisions; `ConfigError` if invalid."""
    return _to_deployment(_decode_settings(text, ""))


def load(path: Path, env: Mapping[str, str], reload: bool = False) -> ProxyConfig:
    """Reads a configuration file; `reload`: PROXY_DISCOVERY does not override the file.

    `ConfigError` names file and key.
    """
    if reload:
        # the variable still holds the address from the start, and would win over a new one in the file
        env = {key: value for key, value in env.items() if key != "PROXY_DISCOVERY"}
    try:
        return parse(path.read_bytes(), env)
    except OSError as error:
        raise ConfigError(f"{path}: {error.strerror}") from error
    except ConfigError as error:
        raise ConfigError(f"{path}: {error}") from error


def top_level_keys(path: Path) -> frozenset[str]:
    """The top-level keys that a configuration file sets; `load` must have accepted the file."""
    return frozenset(msgspec.json.decode(path.read_bytes(), type=dict[str, msgspec.Raw]))


def parse(text: bytes, env: Mapping[str, str]) -> ProxyConfig:
    """Decodes a configuration file; environment variables that are set override it."""
    try:
        file = _FILE_DECODER.decode(text)
    except msgspec.MsgspecError as error:
        raise ConfigError(_error_text(error, "")) from error
    settings = _decode_settings(bytes(file.settings), "settings.")
    sockets = file.limits.sockets
    if sockets < 64:
        raise ConfigError(f"limits.sockets: {sockets} is too small, the minimum is 64")
    if not 16 <= file.limits.memory_mb < 1e6:
        raise ConfigError(f"limits.memory_mb: {file.limits.memory_mb:g} is not between 16 and 1000000")
    try:
        seed = file.seed if isinstance(file.seed, int) else int(file.seed, 16)
    except ValueError:
        raise ConfigError(f"seed: {file.seed!r} is not a hexadecimal number") from None
    names = tuple(p.name for p in settings.path_prefixes)
    seen: set[str] = set()
    for i, name in enumerate(names):
        if not name or "/" in name or name in seen:
            raise ConfigError(
                f"settings.PathPrefixes[{i}].Name: {name!r} is empty, contains a slash or is used twice"
            )
        seen.add(name)
    return ProxyConfig(
        name=env.get("PROXY_NAME") or file.name,
        listen=_require_address("listen", env.get("PROXY_LISTEN") or file.listen, lowest_port=0),
        discovery=_require_address("discovery", env.get("PROXY_DISCOVERY") or file.discovery),
        seed=seed,
        max_descriptors=sockets,
        memory_bytes=int(file.limits.memory_mb * (1 << 20)),
        initial_list=bytes(file.known),
        deployment=_to_deployment(settings),
        prefix_names=names,
        zone_names=tuple(settings.dcs) or ("",),
        connect_timeout_ms=settings.caps.connect_timeout_us / 1e3,
        upstream_keepalive_ms=settings.caps.keepalive_us / 1e3,
        nines_weight=settings.goal.availability / max(1e-9, settings.goal.total()),
        full_at_nines=settings.goal.full_at_nines,
    )


def parse_address(text: str, lowest_port: int = 1) -> tuple[str, int] | None:
    """Host and port of `host:port`; None if it has not that form."""
    host, _, port = text.rpartition(":")
    if not host or not (port.isascii() and port.isdigit()) or not lowest_port <= int(port) < 65_536:
        return None
    return host.strip("[]"), int(port)


def _require_address(key: str, text: str, lowest_port: int = 1) -> tuple[str, int]:
    found = parse_address(text, lowest_port)
    if found is None:
        raise ConfigError(f"{key}: {text!r} is not an address of the form host:port")
    return found


def _error_text(error: Exception, root: str) -> str:
    """The message of a msgspec error, with the path of the key first."""
    what, at, path = str(error).partition(" - at `$")
    path = path.rstrip("`").removeprefix(".")
    return f"{root}{path}: {what}" if at else f"{root.rstrip('.') or 'the file'}: {what}"


def _decode_settings(text: bytes, root: str) -> _Settings:
    """Decodes and checks the settings; `root` is the prefix of keys in error texts."""
    try:
        settings = _SETTINGS_DECODER.decode(text)
    except msgspec.MsgspecError as error:
        raise ConfigError(_error_text(error, root)) from error
    for i, p in enumerate(settings.path_prefixes):
        at = f"{root}PathPrefixes[{i}]."
        if p.semantics not in _KINDS:
            raise ConfigError(f"{at}Semantics: unknown {p.semantics!r}")
        if p.key_scope not in _SCOPES:
            raise ConfigError(f"{at}KeyScope: unknown {p.key_scope!r}")
        if not p.client_timeout_us > 0:
            raise ConfigError(f"{at}ClientTimeoutUs: {p.client_timeout_us} is not a positive duration")
        for key, number in (
            ("TargetLatencyUs", p.target_latency_us),
            ("WindowUs", p.window_us),
            ("Gain", p.gain),
            ("LateGain", p.late_gain),
        ):
            if not 0 <= number < inf:
                raise ConfigError(f"{at}{key}: {number} is negative or not finite")
    for key, duration in (
        ("ConnectTimeoutUs", settings.caps.connect_timeout_us),
        ("KeepaliveUs", settings.caps.keepalive_us),
    ):
        if not duration > 0:
            raise ConfigError(f"{root}Caps.{key}: {duration} is not a positive duration")
    rules, goal = settings.invariants, settings.goal
    for key, number in (
        ("Caps.MaxRetryAfterUs", settings.caps.max_retry_after_us),
        ("Fees.CrossZone", settings.fees.cross_zone),
        ("Fees.Probe", settings.fees.probe),
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
        if not 0 <= number < inf:
            raise ConfigError(f"{root}{key}: {number} is negative or not finite")
    if not 0 < goal.full_at_nines < inf:
        raise ConfigError(f"{root}Goal.FullAtNines: {goal.full_at_nines} is not positive and finite")
    if not rules.must_ask_in_us > 0:
        raise ConfigError(f"{root}Invariants.MustAskInUs: {rules.must_ask_in_us} is not a positive duration")
    if not rules.drain_grace_us >= 0:
        raise ConfigError(f"{root}Invariants.DrainGraceUs: {rules.drain_grace_us} is negative")
    if settings.discovery not in ("ask", "push"):
        raise ConfigError(f"{root}Discovery: unknown {settings.discovery!r}, must be 'ask' or 'push'")
    if settings.balancers < 1 or settings.caps.most_backend_fetches < 1:
        key = "Balancers" if settings.balancers < 1 else "Caps.MostBackendFetches"
        raise ConfigError(f"{root}{key}: is less than 1")
    if len(set(settings.dcs)) < len(settings.dcs):
        raise ConfigError(f"{root}Dcs: a zone is listed twice")
    if settings.zone < 0 or settings.zone >= max(1, len(settings.dcs)):
        raise ConfigError(f"{root}Zone: {settings.zone} is not the index of a zone in Dcs")
    return settings


def _to_deployment(settings: _Settings) -> Deployment:
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
        for p in settings.path_prefixes
    )
    caps, rules = settings.caps, settings.invariants
    return Deployment(
        zone=settings.zone,
        zones=max(1, len(settings.dcs)),
        balancers=max(1, settings.balancers),
        number=settings.me,
        prefixes=prefixes,
        max_fetches=caps.most_backend_fetches,
        may_cancel=caps.cancel,
        may_probe=caps.probing,
        may_tell=caps.may_tell,
        max_retry_after=caps.max_retry_after_us / 1e3 if caps.retry_after else 0.0,
        ask_for_list=settings.discovery == "ask",
        must_ask_in=rules.must_ask_in_us / 1e3,
        drain_grace=rules.drain_grace_us / 1e3,
        cold_from=rules.cold_from,
        warm_within=rules.warm_within_us / 1e3,
        overload_factor=rules.overload_factor,
        tip_after=rules.tip_after_us / 1e3,
        cross_fee=settings.fees.cross_zone,
        probe_fee=settings.fees.probe,
        worst_prefix=settings.goal.worst_class / max(1e-9, settings.goal.total()),
        zone_names=tuple(settings.dcs) or ("",),
        report_fields=tuple(REPORT_WORDS.get(f, f) for f in settings.feedback.fields),
    )
