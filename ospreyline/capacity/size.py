"""The size that is planned for, and what it may cost: the operator's TOML over the planned one."""

from __future__ import annotations

import re
import tomllib
from difflib import get_close_matches
from pathlib import Path
from typing import Annotated

import msgspec
from msgspec import Meta

Count = Annotated[float, Meta(gt=0, le=1e12)]
Some = Annotated[float, Meta(ge=0, le=1e12)]
_UNKNOWN = re.compile(r"Object contains unknown field `(.*)`")


class SizeError(ValueError):
    """The size cannot be used; the text names the key."""


class Size(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """The planned size. What stands under `assumed` is our own guess, not the operators' plan."""

    balancers: Count = 7_000
    upstreams: Count = 200_000
    services: Count = 6_700
    requests_per_s: Count = 1_200_000
    routes: Count = 60_000
    tenants: Some = 420_000
    regions: Count = 12
    zones: Count = 43
    changes_a_day: Some = 59_000  # of configuration
    failures_a_day: Some = 580  # machines
    restarts_a_day: Some = 77_000  # machines restarted or replaced
    # budgets
    added_ms: Count = 1.1  # to a request, for 99 in 100
    in_force_s: Count = 4  # a change of configuration, everywhere
    cpu_pct: Count = 2.2  # of a core, a balancer's for control
    memory_mb: Count = 64
    kb_per_s: Count = 24
    control_machines: Count = 20
    # assumed
    rack_machines: Count = 40
    waves_a_day: Count = 10  # in which the restarts of a day come
    wave_minutes: Count = 10
    entries_a_restart: Count = 3  # of the list: it drains, it has left, another is there
    lines_per_s: Count = 2  # of a watch at the most: changes that come closer come together
    calls_per_s: Count = 200  # that the list service can do
    machine_mb_per_s: Count = 125  # network of a control machine
    balancers_a_service: Count = 12  # scoped: balancers that serve one service

    def scaled(self, factor: float) -> Size:
        """All that grows with the fleet, so many times; budgets and what is assumed stay."""
        return msgspec.structs.replace(self, **{key: factor * getattr(self, key) for key in GROWS})


GROWS = (
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
ASSUMED = (
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
    """A size; what it leaves out is as planned. `SizeError` names the key."""
    try:
        size = msgspec.convert(tomllib.loads(text), Size)
    except tomllib.TOMLDecodeError as error:
        raise SizeError(str(error)) from None
    except msgspec.ValidationError as error:
        what, _, path = str(error).partition(" - at `$.")
        if unknown := _UNKNOWN.match(what):
            near = get_close_matches(unknown[1], Size.__struct_fields__, 1)
            raise SizeError(f"{unknown[1]}: unknown key" + (f", {near[0]!r}?" if near else "")) from None
        raise SizeError(f"{path.rstrip('`')}: {what}") from None
    for key, other in (("services", "upstreams"), ("regions", "zones"), ("zones", "balancers")):
        if getattr(size, key) > getattr(size, other):
            raise SizeError(f"{key}: {getattr(size, key):g} is more than {other}, {getattr(size, other):g}")
    return size


def load(path: Path | None) -> Size:
    """The operator's size; without a file the planned one."""
    if path is None:
        return Size()
    try:
        return parse(path.read_text("utf-8"))
    except (OSError, UnicodeDecodeError) as error:
        raise SizeError(f"{path}: {getattr(error, 'strerror', None) or error}") from None
    except SizeError as error:
        raise SizeError(f"{path}: {error}") from None
