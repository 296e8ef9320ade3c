"""The planned fleet size and its budgets; the operator's TOML file overrides single values."""

from __future__ import annotations

import re
import tomllib
from difflib import get_close_matches
from pathlib import Path
from typing import Annotated

import msgspec
from msgspec import Meta

Count = Annotated[float, Meta(gt=0, le=1e12)]
CountOrZero = Annotated[float, Meta(ge=0, le=1e12)]
_UNKNOWN_FIELD = re.compile(r"Object contains unknown field `(.*)`")


class SizeError(ValueError):
    """The size cannot be used; the message names the key."""


class Size(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """The planned size. Values under `assumed` are our own estimates, not part of the operators' plan."""

    balancers: Count = 7_000
    upstreams: Count = 200_000
    services: Count = 6_700
    requests_per_s: Count = 1_200_000
    routes: Count = 60_000
    tenants: CountOrZero = 420_000
    regions: Count = 12
    zones: Count = 43
    changes_a_day: CountOrZero = 59_000  # changes of the configuration
    failures_a_day: CountOrZero = 580  # machines
    restarts_a_day: CountOrZero = 77_000  # machines restarted or replaced
    # budgets
    added_ms: Count = 1.1  # added to a request, 99th percentile
    in_force_s: Count = 4  # until a configuration change is in force everywhere
    cpu_pct: Count = 2.2  # of a core; control work of a balancer
    memory_mb: Count = 64
    kb_per_s: Count = 24
    control_machines: Count = 20
    # assumed
    rack_machines: Count = 40
    waves_a_day: Count = 10  # into which the restarts of a day are grouped
    wave_minutes: Count = 10
    entries_a_restart: Count = 3  # changes of the list per restart: draining, removed, replacement added
    lines_per_s: Count = 2  # maximum on a watch; changes in quicker succession are combined
    calls_per_s: Count = 200  # capacity of the list service
    machine_mb_per_s: Count = 125  # network bandwidth of a control machine
    balancers_a_service: Count = 12  # scoped: balancers that serve one service

    def scaled(self, factor: float) -> Size:
        """A copy with all that grows with the fleet multiplied; budgets and assumed values stay."""
        return msgspec.structs.replace(self, **{key: factor * getattr(self, key) for key in SCALED_KEYS})


SCALED_KEYS = (
    "balancers",
    "upstreams",
    "services",
    "requests_per_s",
    "routes",
    "tenants",
    "changes_a_day",
    "failures_a_day",
    "restarts_a_day",
)
ASSUMED_KEYS = (
    "rack_machines",
    "waves_a_day",
    "wave_minutes",
    "entries_a_restart",
    "lines_per_s",
    "calls_per_s",
    "machine_mb_per_s",
    "balancers_a_service",
)


def parse(text: str) -> Size:
    """Parses a size; missing keys have the planned values. Raises `SizeError`, which names the key."""
    try:
        size = msgspec.convert(tomllib.loads(text), Size)
    except tomllib.TOMLDecodeError as error:
        raise SizeError(str(error)) from None
    except msgspec.ValidationError as error:
        problem, _, path = str(error).partition(" - at `$.")
        if match := _UNKNOWN_FIELD.match(problem):
            suggestions = get_close_matches(match[1], Size.__struct_fields__, 1)
            raise SizeError(
                f"{match[1]}: unknown key" + (f", {suggestions[0]!r}?" if suggestions else "")
            ) from None
        raise SizeError(f"{path.rstrip('`')}: {problem}") from None
    for key, other in (("services", "upstreams"), ("regions", "zones"), ("zones", "balancers")):
        if getattr(size, key) > getattr(size, other):
            raise SizeError(f"{key}: {getattr(size, key):g} is more than {other}, {getattr(size, other):g}")
    return size


def load(path: Path | None) -> Size:
    """The size in the operator's file; without a file the planned one. Raises `SizeError`."""
    if path is None:
        return Size()
    try:
        return parse(path.read_text("utf-8"))
    except (OSError, UnicodeDecodeError) as error:
        raise SizeError(f"{path}: {getattr(error, 'strerror', None) or error}") from None
    except SizeError as error:
        raise SizeError(f"{path}: {error}") from None
