"""The results of a run: a summary table, and records in the simulator's format that `lab plot` draws.

Pure but for `write`: rows in, figures out. Times of rows are ms from the start of the scenario's day.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Sequence
from pathlib import Path
from typing import Any

import msgspec
from hdrh.histogram import HdrHistogram

from ospreyline.rig.referee import RULES, Breach, Row
from ospreyline.rig.scenario import Scenario

MAX_LATENCY_US = 600_000_000  # upper bound of the histogram
CALL_WINDOW_MS = 100.0  # the list calls of the busiest such window are reported
_JSON = msgspec.json.Encoder(order="deterministic")


def quantiles(times: Sequence[float]) -> dict[str, float]:
    """p50, p90 and p99 of times in ms; 0 where there are none."""
    histogram = HdrHistogram(1, MAX_LATENCY_US, 3)
    for ms in times:
        histogram.record_value(max(1, int(ms * 1e3)))
    return {
        f"p{q}": round(histogram.get_value_at_percentile(q) / 1e3, 2) if times else 0.0 for q in (50, 90, 99)
    }


def busiest(times: Sequence[float], window: float) -> int:
    """The most of these times that lie within any window of this length."""
    ordered, most, begin = sorted(times), 0, 0
    for i, at in enumerate(ordered):
        while ordered[begin] <= at - window:
            begin += 1
        most = max(most, i - begin + 1)
    return most


def start_figures(rows: Sequence[Row], count: int, since: float = 0.0) -> dict[str, Any]:
    """Figures of the start of `count` balancers from `since` (ms) on: list calls, lists, handshakes."""
    calls = [row for row in rows if row["k"] == "call" and row["t"] >= since]
    served = [row for row in calls if not row["refused"]]
    connections = [
        row["t"] for row in rows if row["k"] == "opened" and ">list" in row["link"] and row["t"] >= since
    ]
    listed: dict[str, float] = {}
    for row in rows:
        if row["k"] == "told" and row["t"] >= since:
            listed.setdefault(row["b"], row["t"])
    list_times = sorted(listed.values())
    started: dict[int, float] = {}
    for row in rows:
        if row["k"] == "serving" and row["t"] >= since:
            started.setdefault(row["b"], row["t"])
    ready: dict[int, float] = {}
    for row in rows:
        if row["k"] == "ready" and row["t"] >= since:
            ready[row["b"]] = min(row["t"], ready.get(row["b"], row["t"]))
    ready_times = sorted(ready.values())
    waits = sorted(ready[b] - started[b] for b in ready if b in started)
    handshakes: dict[int, list[float]] = {}
    for row in rows:
        if row["k"] == "handshake" and row["t"] >= since:
            handshakes.setdefault(row["u"], []).append(row["t"])
    return {
        "attempts_each": round(max(len(connections), len(calls)) / count, 2),
        "calls_each": round(len(calls) / count, 2),
        "refused": len(calls) - len(served),
        "longest_queue": max((row["queue"] for row in calls), default=0),
        "busiest_100_ms": busiest([row["t"] for row in calls], CALL_WINDOW_MS),
        "listed": len(list_times),
        "half_listed_s": round((list_times[(len(list_times) - 1) // 2] - since) / 1e3, 2)
        if list_times
        else None,
        "all_listed_s": round((list_times[-1] - since) / 1e3, 2) if len(list_times) >= count else None,
        # ready: has a list from any source; probed every 100 ms
        "half_ready_s": round((ready_times[(len(ready_times) - 1) // 2] - since) / 1e3, 2)
        if ready_times
        else None,
        "all_ready_s": round((ready_times[-1] - since) / 1e3, 2) if len(ready_times) >= count else None,
        # from the time that it listens until it has a list
        "list_after_start_s": [round(waits[int(q * (len(waits) - 1))] / 1e3, 2) for q in (0.5, 0.99)]
        if waits
        else None,
        "calls_in_4_s": sum(row["t"] < since + 4_000.0 for row in calls),
        "all_up_s": round((max(started.values()) - since) / 1e3, 2) if len(started) >= count else None,
        "most_handshakes_a_s": max((busiest(at, 1e3) for at in handshakes.values()), default=0),
    }


def summary(
    s: Scenario,
    rows: Sequence[Row],
    breaches: Sequence[Breach],
    peak_cold_load: float,
    seed: int,
    lag: float,
    used: dict[str, Any],
) -> dict[str, Any]:
    """The figures of one run; `lag` is the rig's largest delay in ms, `used` the resource figures."""
    settle = 1e3 * s.day.settle
    wants = [row for row in rows if row["k"] == "want" and row["since"] >= settle]
    tries = [row for row in rows if row["k"] == "try" and row["t"] >= settle]
    delivered = [row["t"] - row["sent"] for row in tries if row["how"] == "answer" and row["status"] == 200]
    gains = {p.name: p.gain for p in s.prefixes}
    late = {p.name: p.late_gain for p in s.prefixes}
    offered = sum(gains[row["prefix"]] for row in wants)
    won = sum(
        gains[row["prefix"]] * (1.0 if row["outcome"] == "in time" else late[row["prefix"]])
        for row in wants
        if row["outcome"] != "failed"
    )
    outcomes = Counter(row["outcome"] for row in wants)
    total = max(1, len(wants))
    counts = Counter(b.rule for b in breaches)
    zone = {f"u{i}": z for i, z in enumerate(_zones(s))}
    sends = [row for row in rows if row["k"] == "asked" and ">u" in row["link"]]
    zones = len(s.zones.names)
    crossed = sum(
        int(row["link"][1:].split(">")[0]) % zones != zone[row["link"].split(">")[1]] for row in sends
    )
    return {
        "name": s.name,
        "seed": seed,
        "arm": "rig",
        "balancers": s.bank.count,
        "upstreams": s.upstreams(),
        "wanted": len(wants),
        "gain": round(won / offered, 4) if offered else 0.0,
        "in_time": round(outcomes["in time"] / total, 4),
        "late": round(outcomes["late"] / total, 4),
        "failed": round(outcomes["failed"] / total, 4),
        "in_time_5_s": _in_time_share(rows, 5_000.0),
        "met_in_time_5_s": _on_target_share(s, rows, 5_000.0),
        "tries": len(tries),
        "bounced": sum(row["status"] in (429, 503) for row in tries),
        "errored": sum(row["how"] == "answer" and row["status"] not in (200, 429, 503) for row in tries),
        "cut": sum(row["how"] in ("cut", "none", "spoilt") for row in tries),
        "nobody": sum(row["how"] in ("nobody", "unreached") for row in tries),
        "fetches": len(sends),
        "crossed": crossed,
        **quantiles(delivered),
        "start": start_figures(rows, s.bank.count),
        **({"asked_again": repeated_requests(rows)} if s.rig.asks_again else {}),
        "breaches": {rule: counts[rule] for rule in RULES},
        "pushed": round(peak_cold_load, 3),
        "lag_ms": lag,
        "void": lag > s.rig.lag_ms,
        **used,
    }


def _zones(s: Scenario) -> list[int]:
    groups = [g for g in s.servers for _ in range(g.count)]
    return [s.zones.names.index(g.zone) if g.zone else i % len(s.zones.names) for i, g in enumerate(groups)]


def _in_time_share(rows: Sequence[Row], span: float) -> float | None:
    """The share of client requests of the first `span` ms that were served in time."""
    wants = [row["outcome"] for row in rows if row["k"] == "want" and 0 <= row["since"] < span]
    return round(wants.count("in time") / len(wants), 4) if wants else None


def _on_target_share(s: Scenario, rows: Sequence[Row], span: float) -> float | None:
    """Of the tries sent in the first `span` ms, the share delivered within the target latency."""
    targets = {p.name: p.target_ms for p in s.prefixes}
    reached = [row for row in rows if row["k"] == "try" and 0 < row["sent"] < span]
    on_target = sum(
        row["status"] == 200 and row["t"] - row["sent"] <= targets[row["prefix"]] for row in reached
    )
    return round(on_target / len(reached), 4) if reached else None


def repeated_requests(rows: Sequence[Row]) -> dict[str, Any]:
    """Outcomes of visits whose connection ended, repeated by their clients under the same id."""
    tries: dict[str, list[Row]] = {}
    sent: set[str] = set()
    for row in rows:
        if row["k"] == "try":
            tries.setdefault(row["id"], []).append(row)
        elif row["k"] == "asked" and ">u" in row["link"]:
            sent.add(row["id"])
    outcomes_by_prefix: Counter[str] = Counter()
    times = []
    for id_, visit_tries in tries.items():
        visit_tries = sorted(visit_tries, key=lambda row: float(row["t"]))
        if len(visit_tries) < 2:
            continue
        first, last = visit_tries[0], visit_tries[-1]
        how = {200: "answered", 503: "bounced", 502: "may have run"}.get(last["status"], "no answer")
        outcomes_by_prefix[f"{first['prefix']}: {how}"] += 1
        outcomes_by_prefix["may have run, never sent"] += how == "may have run" and id_ not in sent
        if how == "answered":
            times.append(last["t"] - first["t"])
    return {**dict(sorted(outcomes_by_prefix.items())), "ms_to_the_answer": quantiles(times)}


def table(figures: dict[str, Any]) -> str:
    """The summary as plain text for a terminal."""
    f = figures
    first = f["start"]
    lines = [
        f"{f['name']}, seed {f['seed']}: {f['balancers']} balancers, {f['upstreams']} upstreams, "
        f"{f['wanted']} first tries",
        f"  gain {f['gain']:.4f}; in time {f['in_time']:.1%}, late {f['late']:.1%}, "
        f"failed {f['failed']:.1%}; bounced {f['bounced']}, errored {f['errored']}, cut {f['cut']}, "
        f"no balancer {f['nobody']}",
        f"  latency ms p50 {f['p50']:g}, p90 {f['p90']:g}, p99 {f['p99']:g}; fetches {f['fetches']}, "
        f"crossed {f['crossed']}",
        f"  list: {first['calls_each']} calls a balancer ({first['attempts_each']} connections), "
        f"refused {first['refused']}, longest queue {first['longest_queue']}, "
        f"busiest 100 ms {first['busiest_100_ms']}; half ready after {first['half_ready_s']} s, "
        f"all {first['all_ready_s']} s; most handshakes {first['most_handshakes_a_s']} a second",
        f"  first 5 s: in time {f['in_time_5_s']}, of tries that reached a balancer {f['met_in_time_5_s']}",
    ]
    if f.get("resident_mb"):
        lines.append(
            f"  a balancer: {f['resident_mb']} MB resident (most {f['most_resident_mb']}), "
            f"{f['cpu_s']} s of CPU"
        )
    if f.get("asked_again"):
        lines.append(
            "  repeated under their id: " + ", ".join(f"{what} {n}" for what, n in f["asked_again"].items())
        )
    broken = {rule: n for rule, n in f["breaches"].items() if n}
    lines.append(
        f"  rules {'BROKEN: ' + str(broken) if broken else 'kept'}; highest load of a cold upstream "
        f"{f['pushed']:.0%} of its bound; the rig was up to {f['lag_ms']:g} ms late"
        + (" - VOID, the machine was too busy" if f["void"] else "")
    )
    return "\n".join(lines)


def write(
    out: Path,
    s: Scenario,
    rows: Sequence[Row],
    breaches: Sequence[Breach],
    figures: dict[str, Any],
    faults: Sequence[dict[str, Any]],
    begun: float,
) -> None:
    """Writes the records of a run in the simulator's format; `begun` (ms) is the start of the day."""
    window_ms = 1e3 * s.day.window
    last_ms = max((row["t"] for row in rows if row["k"] in ("want", "try")), default=0.0)
    windows = max(1, int(last_ms / window_ms) + 1)
    time = [
        {
            "t": i * window_ms / 1e3,
            "wanted": 0,
            "in_time": 0,
            "late": 0,
            "failed": 0,
            "asked": 0.0,
            "gain": 0.0,
            "tries": 0,
            "bounced": 0,
            "errored": 0,
            "cut": 0,
            "fetches": 0,
            "crossed": 0,
            "calls": 0,
            "probes": 0,
            "ends": {},
        }
        for i in range(windows)
    ]
    gains = {p.name: p.gain for p in s.prefixes}
    lates = {p.name: p.late_gain for p in s.prefixes}
    delays: list[list[float]] = [[] for _ in range(windows)]
    fetches_run = [[0] * s.upstreams() for _ in range(windows)]
    zones, names = _zones(s), s.zones.names
    for row in rows:
        kind, at = row["k"], row["since"] if row["k"] == "want" else row["t"]
        place = int(at / window_ms)
        if at < 0 or place >= windows:
            continue
        window_row: dict[str, Any] = time[place]
        if kind == "want":
            window_row["wanted"] += 1
            window_row[row["outcome"].replace(" ", "_")] += 1
            window_row["asked"] += gains[row["prefix"]]
            window_row["gain"] += gains[row["prefix"]] * {"in time": 1.0, "failed": 0.0}.get(
                row["outcome"], lates[row["prefix"]]
            )
        elif kind == "try":
            window_row["tries"] += 1
            if row["how"] == "answer" and row["status"] == 200:
                delays[place].append(row["t"] - row["sent"])
            elif row["how"] == "answer":
                window_row["bounced" if row["status"] in (429, 503) else "errored"] += 1
            else:
                window_row["cut"] += 1
        elif kind == "asked" and ">u" in row["link"]:
            b, u = row["link"][1:].split(">u")
            window_row["fetches"] += 1
            window_row["crossed"] += int(b) % len(names) != zones[int(u)]
        elif kind == "call":
            window_row["calls"] += 1
        elif kind == "probe":
            window_row["probes"] += 1
        elif kind == "ran":
            fetches_run[place][row["u"]] += 1
    for window_row, times in zip(time, delays, strict=True):
        window_row.update(quantiles(times))
    absences: list[list[tuple[float, float]]] = [[] for _ in range(s.upstreams())]
    for row in rows:
        if row["k"] == "died":
            absences[row["u"]].append((row["t"], float("inf")))
        elif row["k"] == "started" and absences[row["u"]]:
            absences[row["u"]][-1] = (absences[row["u"]][-1][0], row["t"])
    servers = [
        {
            "t": i * window_ms / 1e3,
            "server": u,
            "zone": names[zones[u]],
            "warmth": 1.0,
            "up": not any(a < (i + 1) * window_ms and b > i * window_ms for a, b in absences[u]),
            "slow": 1.0,
            "held": fetches_run[i][u],
            "busy": 0.0,
            "done": fetches_run[i][u],
            "turned_away": 0,
        }
        for i in range(windows)
        for u in range(s.upstreams())
    ]
    fault_rows = [{**f, "from": (f["from"] - begun) / 1e3, "to": (f["to"] - begun) / 1e3} for f in faults]
    for name, lines in (("time", time), ("servers", servers), ("breaches", breaches), ("faults", fault_rows)):
        (out / f"{name}.jsonl").write_bytes(b"".join(_JSON.encode(line) + b"\n" for line in lines))
    run_record = {"scenario": s, "seed": figures["seed"], "arm": "rig"}
    for name, value in (("summary", figures), ("run", run_record)):
        (out / f"{name}.json").write_bytes(msgspec.json.format(_JSON.encode(value)) + b"\n")
