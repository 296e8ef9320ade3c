"""Reports what the balancers of a run logged about each other, compared with what was done to them.

It gives no verdict: the referee judges by the wire alone. This module reads the balancers' logs to see when
each noticed that another was gone, and which it wrongly considered dead.
"""

from __future__ import annotations

from collections.abc import Iterator
from datetime import datetime
from pathlib import Path
from typing import Any

import msgspec

Span = tuple[float, float]


def _rows(folder: Path, name: str) -> Iterator[dict[str, Any]]:
    for line in (folder / "rows" / f"{name}.jsonl").read_bytes().splitlines():
        yield msgspec.json.decode(line)


def absences(folder: Path, signals: tuple[str, ...] = ("kill", "stop")) -> dict[str, list[Span]]:
    """By balancer: intervals from a kill or stop until it ran again, in ms of the run's clock."""
    out: dict[str, list[Span]] = {}
    for row in _rows(folder, "keeper-0"):
        spans = out.setdefault(row.get("name", ""), [])
        left = row["k"] == "signal" and row["what"] in signals
        back = row["k"] == "spawned" or (row["k"] == "signal" and row["what"] == "go on")
        if left:
            spans.append((row["t"], float("inf")))
        elif back and spans and spans[-1][1] == float("inf"):
            spans[-1] = (spans[-1][0], row["t"])
    return out


def log_lines(
    folder: Path, balancer: str, origin_unix_ms: float, events: tuple[str, ...] = ("member", "fleet")
) -> Iterator[tuple[float, dict[str, Any]]]:
    """Log lines of these events until the balancer stops, with their times in ms of the run's clock.

    `origin_unix_ms` is the zero of that clock.
    """
    for raw in (folder / "logs" / f"{balancer}.log").read_bytes().splitlines():
        if not raw.startswith(b"{"):
            continue
        line = msgspec.json.decode(raw)
        if line["event"] == "stopping" and "upstream" not in events:
            return
        if line["event"] in events:
            yield datetime.fromisoformat(line["timestamp"]).timestamp() * 1e3 - origin_unix_ms, line


def report(folder: Path) -> dict[str, Any]:
    """Failure detection: times (s) until others declared an absent balancer dead, and wrong deaths.

    Also counts the balancers that received from all others at the end.
    """
    absent = absences(folder)
    origin_unix_ms = msgspec.json.decode((folder / "origin.json").read_bytes())["unix_ms"]
    names = sorted(path.stem for path in (folder / "logs").glob("b*.log"))
    times: list[float] = []
    wrong_deaths = complete = 0
    for name in names:
        last_state = ""
        for at, line in log_lines(folder, name, origin_unix_ms):
            if line["event"] == "fleet":
                last_state = line["words"]
            elif line["state"] == "dead":
                spans = [s for s in absent.get(line["peer"], []) if s[0] <= at <= s[1] + 3_000.0]
                own = [s for s in absent.get(name, []) if s[0] <= at <= s[1] + 3_000.0]
                if spans:
                    times.append((at - spans[-1][0]) / 1e3)
                elif not own:
                    wrong_deaths += 1
        complete += last_state == "hears all"
    times.sort()
    return {
        "balancers": len(names),
        "noticed": len(times),
        "median_s": round(times[len(times) // 2], 2) if times else None,
        "p99_s": round(times[int(0.99 * (len(times) - 1))], 2) if times else None,
        "most_s": round(times[-1], 2) if times else None,
        "wrong_deaths": wrong_deaths,
        "hear_all_at_the_end": complete,
    }


UPDATE_LIMIT_MS = 6_000.0  # within which an update must be in force at a running balancer
LOGGED_STATES = {"leaving": "draining", "left": "gone", "active": "ready"}  # list state -> state in the log


def news(folder: Path) -> dict[str, Any]:
    """Times (ms) from each change of the list until it was in force at each running balancer."""
    absent = absences(folder, ("kill", "stop", "term"))
    origin_unix_ms = msgspec.json.decode((folder / "origin.json").read_bytes())["unix_ms"]
    changes = [
        (row["t"], row["entry"]["uid"], LOGGED_STATES[row["entry"].get("state", "active")])
        for row in _rows(folder, "script")
        if row["k"] == "listed"
    ]
    times: list[float] = []
    never = 0
    for path in sorted((folder / "logs").glob("b*.log")):
        applied: dict[tuple[str, str], list[float]] = {}
        for at, line in log_lines(folder, path.stem, origin_unix_ms, ("upstream",)):
            applied.setdefault((line["uid"], line["state"]), []).append(at)
        for at, uid, state in changes:
            if any(a <= at + UPDATE_LIMIT_MS and b >= at for a, b in absent.get(path.stem, [])):
                continue  # absent, or ended before the limit
            after = [t for t in applied.get((uid, state), []) if t >= at - 5.0]
            if after:
                times.append(after[0] - at)
            elif not any(t >= at for (u, _), ts in applied.items() if u == uid for t in ts):
                never += 1
    times.sort()
    figures = {
        f"p{q}_ms": round(times[int(q / 100 * (len(times) - 1))], 1) if times else None for q in (50, 90, 99)
    }
    return {
        "changes": len(changes),
        "heard": len(times),
        **figures,
        "most_ms": round(times[-1], 1) if times else None,
        "never": never,
    }
