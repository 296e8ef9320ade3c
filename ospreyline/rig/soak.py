"""The soak test: random scenarios on the rig, each with a rolling release and overlapping faults.

A seed fixes the number of balancers, the clients' timeouts, the speed of the list service, and which faults
hit what and when. The referee judges each run by the traffic on the wire; to it, the balancers know of a
drain once the list service has written it, arrived or not. A run in which the rig itself was late is void.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

import msgspec
import numpy as np

from ospreyline.rig import scenario as scenarios
from ospreyline.rig.scenario import Fault, Scenario

BALANCERS = (1, 2, 3, 3, 5, 8)  # drawn with equal probability
CALLS_PER_S = (250.0, 40.0, 8.0, 3.0)  # of the list service; the last two overload it
TIMEOUT_FACTORS = (0.5, 1.0, 2.0)  # times the timeouts in the base scenario
FAULT_COUNT = (3, 9)  # range per run, without the release
# faults of the list: every drain during one may break the drain rule
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

# runs with lost writes of the list service: how the connection ends, how many bytes arrive (79 are the
# response head), how long calls are refused afterwards (s), and which other faults may occur
LOSS_ENDS = ("last-chunk", "fin", "reset", "silence")
ARRIVING_BYTES = (0, 0, 0, 0, 1, 4, 40, 79, 83)
REFUSE_S = (0.0, 1.5, 1.5, 3.0)
LOSS_COUNT = (3, 6)  # per run
LOSS_BALANCERS = (1, 2, 3, 3)
LOSS_CALLS_PER_S = (250.0, 40.0, 8.0)
OTHER_LOSS_FAULTS = ("", "", "kill", "restart", "hup", "stop", "registry-full", "registry-down")


@dataclass(slots=True, frozen=True)
class Outcome:
    """The result of the run of a seed."""

    seed: int
    breaches: dict[str, int]
    lag: float  # ms, the longest event loop delay of the rig's processes
    void: bool
    plan: list[str]

    @property
    def failed(self) -> bool:
        return any(self.breaches.values()) and not self.void


def random_scenario(seed: int) -> Scenario:
    """The random scenario of a seed."""
    generator = np.random.default_rng([seed, 0x50AC])
    base = scenarios.load("soak")
    timeout_factor = float(generator.choice(TIMEOUT_FACTORS))
    prefixes = [
        msgspec.structs.replace(
            p, timeout_ms=p.timeout_ms * timeout_factor, target_ms=p.target_ms * timeout_factor
        )
        for p in base.prefixes
    ]
    scenario = msgspec.structs.replace(
        base,
        bank=msgspec.structs.replace(base.bank, count=int(generator.choice(BALANCERS))),
        registry=msgspec.structs.replace(base.registry, calls_per_s=float(generator.choice(CALLS_PER_S))),
        prefixes=prefixes,
    )
    release = Fault("roll", round(1.0 + 2.0 * float(generator.random()), 2), 8.0, 0.7, size=0.2, extra=1.0)
    faults = [release]
    for kinds in (LIST_FAULTS, OTHER_FAULTS):
        chance = msgspec.structs.replace(
            scenario.chance,
            kinds=list(kinds),
            mildness=0.3,
            count=int(generator.integers(*FAULT_COUNT)) // 2 + 1,
        )
        faults += scenarios.draw_faults(msgspec.structs.replace(scenario, chance=chance), generator)
    faults = [_with_one_balancer(fault, scenario.bank.count, generator) for fault in faults]
    scenario.faults = sorted(faults, key=lambda fault: fault.at_s)
    return scenario


def random_loss_scenario(seed: int) -> Scenario:
    """The random scenario of a seed in which writes of the list service are lost in all ways."""
    generator = np.random.default_rng([seed, 0xE2D5])
    base = scenarios.load("soak")
    scenario = msgspec.structs.replace(
        base,
        bank=msgspec.structs.replace(base.bank, count=int(generator.choice(LOSS_BALANCERS))),
        registry=msgspec.structs.replace(
            base.registry, calls_per_s=float(generator.choice(LOSS_CALLS_PER_S))
        ),
    )

    def uniform(low: float, high: float) -> float:
        return round(low + (high - low) * float(generator.random()), 2)

    release = Fault("roll", uniform(1.0, 2.0), 9.0, 0.9, size=0.17, extra=uniform(1.5, 3.0))
    steps, faults = round(0.9 * scenario.upstreams()), [release]
    if generator.random() < 0.5:
        faults.append(Fault("fin-for-reset", 0.0, base.day.seconds, link="b*>list"))
    for step in generator.permutation(steps)[: int(generator.integers(*LOSS_COUNT))]:
        drain_at = release.at_s + release.for_s * int(step) / steps  # when an upstream starts to drain
        faults.append(
            Fault(
                f"registry-lost-{LOSS_ENDS[int(generator.integers(len(LOSS_ENDS)))]}",
                round(max(0.0, drain_at + uniform(-0.6, 0.1)), 2),
                uniform(0.6, 1.8),
                size=int(generator.choice(ARRIVING_BYTES)),
                extra=float(generator.choice(REFUSE_S)),
                silent=bool(generator.random() < 0.5),
            )
        )
    for _ in range(2):
        if kind := OTHER_LOSS_FAULTS[int(generator.integers(len(OTHER_LOSS_FAULTS)))]:
            who = f"b{int(generator.integers(scenario.bank.count))}"
            faults.append(
                Fault(
                    kind,
                    uniform(1.5, 11.0),
                    uniform(0.3, 2.0),
                    link="",
                    who=who if kind in scenarios.PROCESS_KINDS else "",
                )
            )
    scenario.faults = sorted(faults, key=lambda fault: fault.at_s)
    return scenario


def _with_one_balancer(fault: Fault, balancers: int, generator: Any) -> Fault:
    """Make a process fault hit one random balancer: a small `part` of a few would be none."""
    if fault.kind not in scenarios.PROCESS_KINDS or fault.who:
        return fault
    who = f"b{int(generator.integers(balancers))}"
    return msgspec.structs.replace(fault, who=who, part=0.0)


def _loss_details(fault: Fault) -> str:
    """The details of a lost write, for the plan."""
    if not fault.kind.startswith("registry-lost-"):
        return ""
    refusal = f", calls refused for {fault.extra:g} s{' after 2 s each' if fault.silent else ''}"
    return f", {fault.size:g} bytes arrive{refusal if fault.extra else ''}"


def judge_outcome(seed: int, scenario: Scenario, summary: dict[str, Any]) -> Outcome:
    """Judge a run by its summary (`rig.results.summary`)."""
    plan = [
        f"{fault.at_s:6.2f} s {fault.kind} for {fault.for_s:g} s {fault.who or fault.link}".rstrip()
        + _loss_details(fault)
        for fault in scenario.faults
    ]
    void = summary["lag_ms"] > scenario.rig.lag_ms
    breaches = {rule: n for rule, n in summary["breaches"].items() if n}
    return Outcome(seed, breaches, summary["lag_ms"], void, plan)
