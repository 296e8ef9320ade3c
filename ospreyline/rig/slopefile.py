"""The data file of slopes: description, points and origin of each; `ospreyline capacity` reads it.

The texts of the descriptions are stored in data files, so rewording one changes those files.
"""

from __future__ import annotations

import json
import os
import platform
from collections.abc import Mapping
from pathlib import Path
from typing import Any


def slope(by: str, unit: str, about: str) -> dict[str, str]:
    """A description: the size that the slope depends on, its unit, and what is measured."""
    return {"by": by, "unit": unit, "about": about}


UPSTREAMS, ROUTES, MEMBERS = "upstreams listed", "path prefixes", "members of the bank"
SLOPES = {
    "rank_ms": slope(UPSTREAMS, "ms", "one ranking of `decide`, 5 a second and one with each change"),
    "told_whole_ms": slope(UPSTREAMS, "ms", "the whole list taken into `decide`"),
    "list_bytes": slope(UPSTREAMS, "bytes", "the whole list as one JSON object"),
    "whole_line_taken": slope(UPSTREAMS, "1: yes", "whether the list is taken when it comes in one line"),
    "start_cpu_s": slope(UPSTREAMS, "s", "processor time of `serve` from exec to serving"),
    "start_log_bytes": slope(UPSTREAMS, "bytes", "log of `serve` up to serving"),
    "serve_memory_mb": slope(UPSTREAMS, "MB", "resident memory of `serve`"),
    "serve_cpu_pct": slope(UPSTREAMS, "% of a core", "processor time of `serve` at rest"),
    "change_cpu_ms": slope(UPSTREAMS, "ms", "processor time of `serve` for one changed upstream"),
    "change_bytes": slope(UPSTREAMS, "bytes", "one changed upstream on a watch"),
    "reload_cpu_ms": slope(UPSTREAMS, "ms", "processor time of `serve` for SIGHUP with other settings"),
    "added_p50_ms": slope(UPSTREAMS, "ms", "wall time added to a request, median"),
    "added_p99_ms": slope(UPSTREAMS, "ms", "wall time added to a request, 99 in 100"),
    "relay_p99_ms": slope(UPSTREAMS, "ms", "the same by a process that only passes bytes on"),
    "direct_p99_ms": slope(UPSTREAMS, "ms", "the same requests without a balancer, 99 in 100, in all"),
    "routes_bytes": slope(ROUTES, "bytes", "path prefixes in the file of a balancer"),
    "routes_check_ms": slope(ROUTES, "ms", "processor time of reading and checking that file"),
    "routes_start_cpu_s": slope(ROUTES, "s", "processor time of `serve` from exec to serving"),
    "routes_memory_mb": slope(ROUTES, "MB", "resident memory of `serve`, 100 upstreams"),
    "routes_cpu_pct": slope(ROUTES, "% of a core", "processor time of `serve` at rest, 100 upstreams"),
    "routes_reload_cpu_ms": slope(ROUTES, "ms", "processor time of `serve` for SIGHUP with other settings"),
    "members_start_bytes": slope(MEMBERS, "bytes", "links of one member in its first 15 s, both ways"),
    "members_start_messages": slope(MEMBERS, "messages", "the same, messages"),
    "members_memory_mb": slope(MEMBERS, "MB", "resident memory of `serve`, 100 upstreams"),
    "members_kept": slope(MEMBERS, "members", "members kept; over 4,096 the bound is lifted to measure"),
    "members_cpu_pct": slope(MEMBERS, "% of a core", "processor time of `serve` at rest, 100 upstreams"),
    "members_rest_messages_s": slope(MEMBERS, "a second", "messages of one member at rest, both ways"),
    "members_rest_bytes_s": slope(MEMBERS, "bytes/s", "the same, bytes"),
    "members_links": slope(MEMBERS, "links", "links that a member holds"),
    "loss_cpu_ms": slope(MEMBERS, "ms", "processor time of `serve` for one member lost: suspected, dead"),
    "loss_messages": slope(MEMBERS, "messages", "messages of one member for one lost, both ways"),
    "loss_bytes": slope(MEMBERS, "bytes", "the same, bytes"),
    "calls_alone_most_s": slope("balancers", "a second", "first calls at the list service, `decide` alone"),
    "calls_paced_most_s": slope("balancers", "a second", "the same with `list.calls_per_s`, 200"),
    "calls_paced_window_s": slope("balancers", "s", "until the last of those calls"),
    "pass_on_cpu_us": slope("listeners", "us", "processor time a message of one who passes the list on"),
    "pass_on_listeners": slope("listeners", "listeners", "that are told a change"),
}

SERVICES_HELD, FLEET_SUBSCRIBERS = "services held", "subscribers"
SUBSCRIBERS_PER_FANOUT = "subscribers of one that passes on"
SCOPED = {  # from a simulated run of scoped subscriptions; "steady" includes the planned changes
    "scoped_state_bytes": slope(SERVICES_HELD, "bytes", "what a subscriber holds"),
    "scoped_cpu_pct": slope(SERVICES_HELD, "% of a core", "processor time of a subscriber, steady"),
    "scoped_bytes_s": slope(SERVICES_HELD, "bytes/s", "a subscriber, steady, both ways"),
    "scoped_messages_s": slope(SERVICES_HELD, "a second", "the same, messages"),
    "scoped_return_bytes": slope(SERVICES_HELD, "bytes", "a subscriber, while all are restarted, in all"),
    "scoped_in_force_s": slope(FLEET_SUBSCRIBERS, "s", "from change to in force, 99 in 100, steady"),
    "scoped_deaf_s": slope(FLEET_SUBSCRIBERS, "s", "longest deafness, some that pass on killed"),
    "fan_cpu_pct": slope(
        SUBSCRIBERS_PER_FANOUT, "% of a core", "processor time of one that passes on, steady"
    ),
    "fan_bytes_s": slope(SUBSCRIBERS_PER_FANOUT, "bytes/s", "one that passes on, steady, both ways"),
    "fan_messages_s": slope(SUBSCRIBERS_PER_FANOUT, "a second", "the same, messages"),
    "fan_memory_mb": slope("upstreams", "MB", "resident memory of one that passes on, the most"),
    "source_calls_most_s": slope("machines that pass on", "a second", "calls at the source, the most"),
}


def scoped(runs: list[dict[str, Any]]) -> dict[str, list[tuple[float, float]]]:
    """Points (size, value) from the figures of simulated runs, as `rig scale scopes` writes them."""
    points: dict[str, dict[float, float]] = {}
    for run in runs:
        plan, phases = run["plan"], run["phases"]
        subscribers = float(plan["subscribers"])
        services_held = plan["services"] * min(1.0, plan["per"] / subscribers)
        subscribers_per_fanout = subscribers / plan["fanouts"]

        def add(name: str, size: float, value: float) -> None:
            """Keeps the maximum where several phases or runs give a value for one size."""
            by_size = points.setdefault(name, {})
            by_size[size] = max(by_size.get(size, 0.0), value)

        add("scoped_state_bytes", services_held, run["held_bytes_a_subscriber"])
        for name, phase in phases.items():
            add("fan_memory_mb", plan["upstreams"], phase["fanout"]["most_mb"])
            add("source_calls_most_s", plan["fanouts"], phase["source"]["most_calls_a_second"])
            if name == "steady":
                add("scoped_in_force_s", subscribers, phase["in_force_ms"]["p99"] / 1e3)
                for role, key, size in (
                    ("subscriber", "scoped", services_held),
                    ("fanout", "fan", subscribers_per_fanout),
                ):
                    add(f"{key}_cpu_pct", size, phase[role]["cpu_percent"])
                    add(f"{key}_bytes_s", size, phase[role]["bytes_a_second"])
                    add(f"{key}_messages_s", size, phase[role]["words_a_second"])
            elif "restart" in name:
                add(
                    "scoped_return_bytes",
                    services_held,
                    phase["subscriber"]["bytes_a_second"] * phase["seconds"],
                )
            elif "region" not in name and phase["deaf_ms"]["count"]:  # a partitioned region gets no data
                add("scoped_deaf_s", subscribers, phase["deaf_ms"]["most"] / 1e3)
    return {name: sorted(found.items()) for name, found in points.items()}


def machine() -> str:
    """Describes this machine: architecture, cores, system, Python version, load."""
    load = os.getloadavg()[0]
    return (
        f"{platform.machine()}, {os.cpu_count()} cores, {platform.system()}, Python "
        f"{platform.python_version()}, load {load:.0f} at the end"
    )


def toml(slopes: dict[str, dict[str, Any]]) -> str:
    """The data file as TOML text."""
    out = [
        "# Measured slopes, from which docs/CAPACITY.md and `ospreyline capacity` are computed.",
        "# Written by `ospreyline rig scale slopes`, which keeps the slopes that it did not measure.",
        "# A slope without points has not been measured yet.",
    ]
    for name, about in slopes.items():
        out += ["", f"[{name}]"]
        for key in ("by", "unit", "about", "date", "command", "machine"):
            out.append(f"{key} = {json.dumps(about.get(key, ''))}")
        if about.get("reference_ms"):
            out.append(f"reference_ms = [{', '.join(f'{ms:.3g}' for ms in about['reference_ms'])}]")
        points = ", ".join(
            f"[{size:g}, {value:.4g}]" if size < 1e6 else f"[{size:.0f}, {value:.4g}]"
            for size, value in about["points"]
        )
        out.append(f"points = [{points}]")
    return "\n".join(out) + "\n"


def merged(
    before: dict[str, dict[str, Any]],
    points: Mapping[str, list[tuple[float, float]]],
    reference: list[float],
    date: str,
    command: str,
    machine_class: str,
) -> dict[str, dict[str, Any]]:
    """The data of the file with new points; a slope with new points loses its former ones.

    `reference` holds the ms of the fixed piece of work, of which minimum, median and maximum are stored.
    """
    out = {name: dict(about) for name, about in before.items()}
    reference_ms = sorted(reference)
    for name, found in points.items():
        out[name] = {
            **(SLOPES | SCOPED)[name],
            "date": date,
            "command": command,
            "machine": machine_class,
            "reference_ms": [reference_ms[0], reference_ms[len(reference_ms) // 2], reference_ms[-1]]
            if reference_ms
            else [],
            "points": [[size, value] for size, value in found],
        }
    return out


def plot(slopes: dict[str, dict[str, Any]], out: Path) -> None:
    """Plots what grows with each size, on logarithmic axes."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    groups = {
        "upstreams listed": ("serve_memory_mb", "serve_cpu_pct", "rank_ms", "change_cpu_ms", "added_p99_ms"),
        "path prefixes": ("routes_memory_mb", "routes_cpu_pct", "routes_check_ms", "routes_reload_cpu_ms"),
        "members of the bank": ("members_memory_mb", "members_cpu_pct", "loss_cpu_ms", "loss_messages"),
    }
    figure, axes = pyplot.subplots(1, 3, figsize=(15, 5))
    for axis, (title, names) in zip(axes, groups.items(), strict=True):
        for name in names:
            points = [(x, y) for x, y in slopes.get(name, {}).get("points", []) if y > 0]
            if points:
                axis.loglog(*zip(*points, strict=True), marker="o", label=f"{name}, {slopes[name]['unit']}")
        axis.set_xlabel(title)
        axis.grid(True, which="major", alpha=0.3)
        if axis.lines:
            axis.legend(fontsize=8)
    figure.suptitle("Cost of one balancer by size")
    figure.tight_layout()
    figure.savefig(out, dpi=100)
    pyplot.close(figure)
