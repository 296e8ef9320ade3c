"""The settings on the bench's wire (JSON, microseconds), turned into a `Deployment`."""

from __future__ import annotations

import msgspec

from ospreyline.host import Deployment, Kind, PathPrefix, Scope


class _Wire(msgspec.Struct, rename="pascal"):
    """A JSON object of the settings; keys that are not named here are ignored."""


class _Prefix(_Wire):
    client_timeout_us: float
    semantics: str = "once"
    key_scope: str = "all"
    window_us: float = 0.0
    target_latency_us: float = 0.0
    gain: float = 1.0
    late_gain: float = 0.0


class _Caps(_Wire):
    cancel: bool = False
    may_duplicate: bool = False
    most_backend_fetches: int = 1
    max_retry_after_us: float = 0.0
    probing: bool = False
    retry_after: bool = False


class _Fees(_Wire):
    cross_zone: float = 0.0
    probe: float = 0.0


class _Goal(_Wire):
    whole: float = 1.0
    worst_class: float = 0.0
    worst_tenant: float = 0.0
    worst_window: float = 0.0

    def total(self) -> float:
        return self.whole + self.worst_class + self.worst_tenant + self.worst_window


class _Domain(_Wire):
    warm_keys: bool = False


class _Feedback(_Wire):
    fields: list[str] = []
    via: str = "silent"


class _Invariants(_Wire):
    cold_from: float = 0.1
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
    domain: _Domain = msgspec.field(default_factory=_Domain)
    fees: _Fees = msgspec.field(default_factory=_Fees)
    goal: _Goal = msgspec.field(default_factory=_Goal)
    feedback: _Feedback = msgspec.field(default_factory=_Feedback)
    invariants: _Invariants = msgspec.field(default_factory=_Invariants)


_DECODER = msgspec.json.Decoder(_Facts, strict=False)
_KINDS = {"repeatable": Kind.READ_LIKE, "by_key": Kind.TAGGED, "once": Kind.MUTATING}
_REPORT_WORDS = {
    "active": "in-flight",
    "waiting": "queue",
    "cpu": "util",
    "avg_ms": "latency",
    "rps": "rate",
    "err_rps": "errors",
}


def read(text: bytes) -> Deployment:
    """Decode the settings; `msgspec.ValidationError`, `DecodeError` or `ValueError` if unusable."""
    facts = _DECODER.decode(text)
    prefixes = []
    for p in facts.path_prefixes:
        if p.semantics not in _KINDS:
            raise ValueError(f"unknown Semantics {p.semantics!r}")
        prefixes.append(
            PathPrefix(
                kind=_KINDS[p.semantics],
                scope=Scope(p.key_scope),
                window=p.window_us / 1e3,
                target_latency=(p.target_latency_us or p.client_timeout_us) / 1e3,
                client_timeout=p.client_timeout_us / 1e3,
                gain=p.gain,
                late_gain=p.late_gain,
            )
        )
    caps, rules = facts.caps, facts.invariants
    return Deployment(
        zone=facts.zone,
        zones=max(1, len(facts.dcs)),
        balancers=max(1, facts.balancers),
        number=facts.me,
        prefixes=tuple(prefixes),
        max_fetches=caps.most_backend_fetches,
        may_copy=caps.may_duplicate,
        may_cancel=caps.cancel,
        may_probe=caps.probing,
        max_retry_after=caps.max_retry_after_us / 1e3 if caps.retry_after else 0.0,
        ask_for_list=facts.discovery == "ask",
        must_ask_in=rules.must_ask_in_us / 1e3,
        cold_from=rules.cold_from,
        warm_within=rules.warm_within_us / 1e3,
        overload_factor=rules.overload_factor,
        tip_after=rules.tip_after_us / 1e3,
        cross_fee=facts.fees.cross_zone,
        probe_fee=facts.fees.probe,
        worst_prefix=facts.goal.worst_class / max(1e-9, facts.goal.total()),
        warm_keys=facts.domain.warm_keys,
        report_fields=tuple(_REPORT_WORDS.get(f, f) for f in facts.feedback.fields),
    )
