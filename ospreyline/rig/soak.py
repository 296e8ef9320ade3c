"""The soak: days on the rig that are drawn by seed, each with a release and faults that overlap.

One seed gives one plan: how many balancers there are, how long clients wait, how fast the list service is,
and which faults meet whom and when. The referee judges each day by what was on the wire; it takes a drain for
told when the list service has written it, arrived or not. A day on which the rig itself came late is void.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

import msgspec
import numpy as np

from ospreyline.rig import scenario as scenarios
from ospreyline.rig.scenario import Fault, Scenario

BALANCERS = (1, 2, 3, 3, 5, 8)  # drawn evenly
CALLS_PER_S = (250.0, 40.0, 8.0, 3.0)  # of the list service; the last two are crowded
TIME_OUTS = (0.5, 1.0, 2.0)  # of those in the scenario
FAULTS = (3, 9)  # how many meet a day, beside its release
# each drain is a chance to break the rule that this is about
LIST_FAULTS = (
    "registry-lost",
    "registry-lost",
    "registry-half",
    "registry-full",
    "registry-hang",
    "registry-down",
    "registry-late",
)
OTHER_FAULTS = ("stop", "hup", "restart", "kill", "reset", "half-close", "drop", "starve", "pause", "crash")

# days of lost writings: bytes of one that arrive (79 are an answer's head), s for which calls are turned away
# after it, ends that take its place, and what else may happen
ENDS = ("last-chunk", "fin", "reset", "silence")
ARRIVES = (0, 0, 0, 0, 1, 4, 40, 79, 83)
AWAY_S = (0.0, 1.5, 1.5, 3.0)
LOSSES = (3, 6)  # a day
FEW_BALANCERS = (1, 2, 3, 3)
UNCROWDED = (250.0, 40.0, 8.0)  # calls a second
BESIDE = ("", "", "kill", "restart", "hup", "stop", "registry-full", "registry-down")


@dataclass(slots=True, frozen=True)
class Outcome:
    """How the day of a seed ended."""

    seed: int
    breaches: dict[str, int]
    lag: float  # ms, the most that a process of the rig came late
    void: bool
    plan: list[str]

    @property
    def red(self) -> bool:
        return any(self.breaches.values()) and not self.void


def planned(seed: int) -> Scenario:
    """The day of a seed."""
    generator = np.random.default_rng([seed, 0x50AC])
    base = scenarios.load("soak")
    longer = float(generator.choice(TIME_OUTS))
    prefixes = [
        msgspec.structs.replace(p, timeout_ms=p.timeout_ms * longer, target_ms=p.target_ms * longer)
        for p in base.prefixes
    ]
    found = msgspec.structs.replace(
        base,
        bank=msgspec.structs.replace(base.bank, count=int(generator.choice(BALANCERS))),
        registry=msgspec.structs.replace(base.registry, calls_per_s=float(generator.choice(CALLS_PER_S))),
        prefixes=prefixes,
    )
    release = Fault("roll", round(1.0 + 2.0 * float(generator.random()), 2), 8.0, 0.7, size=0.2, extra=1.0)
    faults = [release]
    for kinds in (LIST_FAULTS, OTHER_FAULTS):
        chance = msgspec.structs.replace(
            found.chance, kinds=list(kinds), mildness=0.3, count=int(generator.integers(*FAULTS)) // 2 + 1
        )
        faults += scenarios.draw_faults(msgspec.structs.replace(found, chance=chance), generator)
    faults = [_met(fault, found.bank.count, generator) for fault in faults]
    found.faults = sorted(faults, key=lambda fault: fault.at_s)
    return found


def planned_ends(seed: int) -> Scenario:
    """The day of a seed on which writings of the list service are lost under every kind of end."""
    generator = np.random.default_rng([seed, 0xE2D5])
    base = scenarios.load("soak")
    found = msgspec.structs.replace(
        base,
        bank=msgspec.structs.replace(base.bank, count=int(generator.choice(FEW_BALANCERS))),
        registry=msgspec.structs.replace(base.registry, calls_per_s=float(generator.choice(UNCROWDED))),
    )

    def drawn(low: float, high: float) -> float:
        return round(low + (high - low) * float(generator.random()), 2)

    release = Fault("roll", drawn(1.0, 2.0), 9.0, 0.9, size=0.17, extra=drawn(1.5, 3.0))
    steps, faults = round(0.9 * found.upstreams()), [release]
    if generator.random() < 0.5:
        faults.append(Fault("fin-for-reset", 0.0, base.day.seconds, link="b*>list"))
    for step in generator.permutation(steps)[: int(generator.integers(*LOSSES))]:
        begins = release.at_s + release.for_s * int(step) / steps  # a server begins to drain then
        faults.append(
            Fault(
                f"registry-lost-{ENDS[int(generator.integers(len(ENDS)))]}",
                round(max(0.0, begins + drawn(-0.6, 0.1)), 2),
                drawn(0.6, 1.8),
                size=int(generator.choice(ARRIVES)),
                extra=float(generator.choice(AWAY_S)),
                silent=bool(generator.random() < 0.5),
            )
        )
    for _ in range(2):
        if kind := BESIDE[int(generator.integers(len(BESIDE)))]:
            who = f"b{int(generator.integers(found.bank.count))}"
            faults.append(
                Fault(
                    kind,
                    drawn(1.5, 11.0),
                    drawn(0.3, 2.0),
                    link="",
                    who=who if kind in scenarios.PROCESS_KINDS else "",
                )
            )
    found.faults = sorted(faults, key=lambda fault: fault.at_s)
    return found


def _met(fault: Fault, balancers: int, generator: Any) -> Fault:
    """A fault of processes meets one balancer: a small part of a few would be none."""
    if fault.kind not in scenarios.PROCESS_KINDS or fault.who:
        return fault
    who = f"b{int(generator.integers(balancers))}"
    return msgspec.structs.replace(fault, who=who, part=0.0)


def _figures(fault: Fault) -> str:
    """The further figures of a lost writing."""
    if not fault.kind.startswith("registry-lost-"):
        return ""
    after = f", calls turned away for {fault.extra:g} s{' after 2 s each' if fault.silent else ''}"
    return f", {fault.size:g} bytes arrive{after if fault.extra else ''}"


def outcome(seed: int, found: Scenario, figures: dict[str, Any]) -> Outcome:
    """What the figures of a day say."""
    plan = [
        f"{fault.at_s:6.2f} s {fault.kind} for {fault.for_s:g} s {fault.who or fault.link}".rstrip()
        + _figures(fault)
        for fault in found.faults
    ]
    void = figures["lag_ms"] > found.rig.lag_ms
    breaches = {rule: n for rule, n in figures["breaches"].items() if n}
    return Outcome(seed, breaches, figures["lag_ms"], void, plan)
