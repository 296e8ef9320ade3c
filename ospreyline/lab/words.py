"""Faults as scenario files describe them, for the simulator and the test rig: kinds, keys, random faults.

A `Fault` is one entry of a fault script: what fails, when, where and how severely. `FAULTS` says what
`part`, `size` and `extra` mean for each kind. Errors are `ScenarioError`, one line that names the key.
"""

from __future__ import annotations

import re
from collections.abc import Iterable, Iterator, Mapping, Sequence
from difflib import get_close_matches
from importlib import resources
from pathlib import Path
from typing import Any

import msgspec
import numpy as np

_UNKNOWN = re.compile(r"Object contains unknown field `(.*)`")


class ScenarioError(ValueError):
    """Invalid scenario, or an invalid request on one; one line that names the key."""


class Part(msgspec.Struct, forbid_unknown_fields=True, omit_defaults=False):
    """Base of the tables of a scenario file; an unknown key is an error."""


class Fault(Part):
    """One injected fault; docs/lab.md says what each key means for each kind."""

    kind: str
    at_s: float = 10.0
    for_s: float = 10.0
    part: float = 0.0  # share of the servers or balancers that it affects
    zone: str = ""
    to_zone: str = ""
    size: float = 0.0
    extra: float = 0.0
    prefix: str = ""
    silent: bool = False


class Chance(Part):
    """Random faults, drawn for each run from `RANGES`."""

    count: int = 0
    kinds: list[str] = []  # empty: all
    mildness: float = 0.0  # 0: whole ranges; 1: only their mildest end


# each kind of fault, and what `part`, `size` and `extra` mean for it
FAULTS = {
    "slow": "part of the servers works size times slower",
    "pause": "part of the servers stops for size ms every extra s",
    "crash": "part of the servers dies and starts cold at the end",
    "zone-loss": "a zone's servers die, or vanish if silent; size: share back; extra 1: balancers too",
    "flap": "a zone is lost and returns size times within the span",
    "cut": "links between a zone and the others (or to_zone alone, one way) pass nothing",
    "roll": "part of the servers is replaced in batches of size (share of all), each drained for extra s",
    "shrink": "part of the servers is drained for extra s and goes for good",
    "grow": "part as many servers again join, cold",
    "restart": "part of the balancers is restarted in batches of size (share), each down for extra s",
    "kill": "part of the balancers dies at once and is back after the span",
    "burst": "size times the visits, rising and falling within extra s",
    "heavy-tail": "extra as a share of the visits of a prefix (or all) has size times the work",
    "neighbour": "part of the servers loses size of its cores for extra s at a time, as often",
    "errors": "part of the servers answers errors at once, for size of the visits",
    "mute": "part of the servers accepts and never answers",
    "uneven": "part of the servers is size times slower for one balancer in extra",
    "lossy": "size of all messages is lost and sent again",
    "registry-down": "the list service answers nothing and its watches end",
    "registry-late": "the list service takes size s longer to notice",
    "registry-moved": "the watches of the list end once, all balancers ask anew",
    "skew": "a zone gets size times its share of the visits",
}

# ranges of random faults, mildest end first: for_s, part, size, extra
RANGES: dict[str, tuple[tuple[float, float], ...]] = {
    "slow": ((5, 20), (0.05, 0.25), (2, 8), (0, 0)),
    "pause": ((5, 20), (0.1, 0.4), (50, 500), (3, 1)),
    "crash": ((5, 20), (0.05, 0.25), (0, 0), (0, 0)),
    "zone-loss": ((5, 20), (0, 0), (1, 0.5), (0, 0)),
    "flap": ((10, 30), (0, 0), (2, 3), (0, 0)),
    "cut": ((4, 12), (0, 0), (0, 0), (0, 0)),
    "roll": ((30, 15), (0.3, 0.8), (0.05, 0.2), (2, 4)),
    "shrink": ((20, 8), (0.1, 0.3), (0, 0), (2, 4)),
    "grow": ((10, 10), (0.1, 0.5), (0, 0), (0, 0)),
    "restart": ((30, 8), (0.5, 1), (0.05, 0.2), (0.2, 1.5)),
    "kill": ((1, 5), (0.1, 0.7), (0, 0), (0, 0)),
    "burst": ((3, 10), (0, 0), (1.3, 2.2), (2, 0.2)),
    "heavy-tail": ((10, 25), (0, 0), (5, 20), (0.005, 0.03)),
    "neighbour": ((10, 30), (0.1, 0.4), (0.3, 0.7), (1, 4)),
    "errors": ((5, 20), (0.05, 0.2), (0.2, 1), (0, 0)),
    "mute": ((5, 15), (0.05, 0.2), (0, 0), (0, 0)),
    "uneven": ((10, 25), (0.1, 0.3), (3, 10), (4, 2)),
    "lossy": ((10, 20), (0, 0), (0.005, 0.03), (0, 0)),
    "registry-down": ((5, 20), (0, 0), (0, 0), (0, 0)),
    "registry-late": ((10, 30), (0, 0), (2, 6), (0, 0)),
    "registry-moved": ((1, 1), (0, 0), (0, 0), (0, 0)),
    "skew": ((10, 30), (0, 0), (1.3, 2.5), (0, 0)),
}


def drawn(
    chance: Chance, kinds: Sequence[str], seconds: float, zones: Sequence[str], generator: np.random.Generator
) -> list[Fault]:
    """Random faults of a run of so many s, from `RANGES`; decided by the generator alone."""
    out = []
    for _ in range(chance.count):
        kind = kinds[int(generator.integers(len(kinds)))]
        severities = [float(generator.random()) * (1 - chance.mildness) for _ in range(4)]
        for_s, part, size, extra = (
            low + h * (high - low) for h, (low, high) in zip(severities, RANGES[kind], strict=True)
        )
        for_s = min(for_s, 0.7 * seconds)
        at_s = 0.1 * seconds + float(generator.random()) * max(0.0, 0.8 * seconds - for_s)
        zone = zones[int(generator.integers(len(zones)))]
        silent = bool(generator.random() < 0.5) and kind in ("zone-loss", "crash")
        out.append(
            Fault(
                kind,
                round(at_s, 2),
                round(for_s, 2),
                round(part, 3),
                zone,
                "",
                round(size, 3),
                round(extra, 3),
                "",
                silent,
            )
        )
    return out


def nearest(word: str, known: Iterable[str]) -> str:
    """A suggestion (`, 'count'?`) of the known word nearest to a wrong one, or nothing."""
    near = get_close_matches(word, sorted(known), 1)
    return f", {near[0]!r}?" if near else ""


def shipped_scenarios(package: str) -> dict[str, str]:
    """The scenarios that come with a package, in its folder `scenarios`: TOML text by name."""
    folder = resources.files(package) / "scenarios"
    return {
        entry.name.removesuffix(".toml"): entry.read_text("utf-8")
        for entry in sorted(folder.iterdir(), key=lambda e: e.name)
        if entry.name.endswith(".toml")
    }


def read_scenario(name: str, shipped: Mapping[str, str]) -> str:
    """The TOML text of a scenario, by the path of its file or by its name in `shipped`.

    Raises `ScenarioError` if there is neither, or the file cannot be read.
    """
    path = Path(name)
    try:
        text = path.read_text("utf-8") if path.suffix == ".toml" or path.exists() else shipped.get(name)
    except (OSError, UnicodeDecodeError) as error:
        raise ScenarioError(f"{name}: {getattr(error, 'strerror', None) or error}") from error
    if text is None:
        raise ScenarioError(f"{name}: no such file or shipped scenario{nearest(name, shipped)}")
    return text


def problems(
    faults: Sequence[Fault], kinds: Mapping[str, str], zones: Sequence[str], prefixes: Sequence[str]
) -> Iterator[tuple[str, str]]:
    """Key and text of each problem of the faults."""
    for i, fault in enumerate(faults):
        at = f"faults[{i}]"
        if fault.kind not in kinds:
            yield f"{at}.kind", f"unknown {fault.kind!r}" + nearest(fault.kind, kinds)
        for key in ("zone", "to_zone"):
            if (zone := getattr(fault, key)) and zone not in zones:
                yield f"{at}.{key}", f"{zone!r} is not in zones.names"
        if fault.prefix and fault.prefix not in prefixes:
            yield f"{at}.prefix", f"{fault.prefix!r} is not a prefix"
        if fault.part > 1:
            yield f"{at}.part", f"{fault.part:g} is over 1"


def worded(text: str, known: Iterable[str]) -> str:
    """A validation error of msgspec with its key first and a suggestion for an unknown key."""
    message, at, path = text.partition(" - at `$")
    where = path.rstrip("`").removeprefix(".")
    if unknown := _UNKNOWN.match(message):
        key = unknown[1]
        return f"{where + '.' if where else ''}{key}: unknown key" + nearest(key, known)
    return f"{where}: {message}" if at and where else message


def numbers(path: str, value: Any) -> Iterator[tuple[str, str]]:
    """Key and text of each number that is negative, not finite or huge, and of each falling range."""
    if isinstance(value, dict):
        for key, inner in value.items():
            yield from numbers(f"{path}.{key}" if path else key, inner)
    elif isinstance(value, list | tuple):
        for i, inner in enumerate(value):
            yield from numbers(f"{path}[{i}]", inner)
        if isinstance(value, tuple) and len(value) == 2 and value[0] > value[1]:
            yield path, f"the range goes from {value[0]:g} down to {value[1]:g}"
    elif isinstance(value, float | int) and not 0 <= value < 1e12:
        yield path, f"{value:g} is not a figure from 0 on"
