"""What the balancers of a run said of one another, beside what was done to them: a report, no verdict.

The referee judges by the wire alone; this reads the logs of the balancers, to see when each noticed that
another was gone, and whom it held for gone that was not.
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


def absences(folder: Path, how: tuple[str, ...] = ("kill", "stop")) -> dict[str, list[Span]]:
    """By balancer: when it was killed or stopped, and until it was there again; ms of the run's clock."""
    out: dict[str, list[Span]] = {}
    for row in _rows(folder, "keeper-0"):
        spans = out.setdefault(row.get("name", ""), [])
        gone = row["k"] == "signal" and row["what"] in how
        back = row["k"] == "spawned" or (row["k"] == "signal" and row["what"] == "go on")
        if gone:
            spans.append((row["t"], float("inf")))
        elif back and spans and spans[-1][1] == float("inf"):
            spans[-1] = (spans[-1][0], row["t"])
    return out


def said(
    folder: Path, balancer: str, wall: float, events: tuple[str, ...] = ("member", "fleet")
) -> Iterator[tuple[float, dict[str, Any]]]:
    """Its lines of some kinds until it stops; times in ms of the run's clock (`wall`: its zero, Unix ms)."""
    for line in (folder / "logs" / f"{balancer}.log").read_bytes().splitlines():
        if not line.startswith(b"{"):
            continue
        told = msgspec.json.decode(line)
        if told["event"] == "stopping" and "upstream" not in events:
            return
        if told["event"] in events:
            yield datetime.fromisoformat(told["timestamp"]).timestamp() * 1e3 - wall, told


def report(folder: Path) -> dict[str, Any]:
    """Times (s) until one that was gone was held for dead by the others, wrong deaths, who hears all."""
    gone = absences(folder)
    begun = msgspec.json.decode((folder / "origin.json").read_bytes())["unix_ms"]
    names = sorted(path.stem for path in (folder / "logs").glob("b*.log"))
    times: list[float] = []
    wrong = hearing = 0
    for name in names:
        last = ""
        for at, told in said(folder, name, begun):
            if told["event"] == "fleet":
                last = told["words"]
            elif told["state"] == "dead":
                spans = [s for s in gone.get(told["peer"], []) if s[0] <= at <= s[1] + 3_000.0]
                own = [s for s in gone.get(name, []) if s[0] <= at <= s[1] + 3_000.0]
                if spans:
                    times.append((at - spans[-1][0]) / 1e3)
                elif not own:
                    wrong += 1
        hearing += last == "hears all"
    times.sort()
    return {
        "balancers": len(names),
        "noticed": len(times),
        "median_s": round(times[len(times) // 2], 2) if times else None,
        "p99_s": round(times[int(0.99 * (len(times) - 1))], 2) if times else None,
        "most_s": round(times[-1], 2) if times else None,
        "wrong_deaths": wrong,
        "hear_all_at_the_end": hearing,
    }


SOON = 6_000.0  # ms in which news has to be in force at a balancer that is there
STATES = {"leaving": "draining", "left": "gone", "active": "ready"}  # the list's words, and the log's


def news(folder: Path) -> dict[str, Any]:
    """Times (ms) from each change of the list until it was in force at each balancer that was there."""
    gone = absences(folder, ("kill", "stop", "term"))
    wall = msgspec.json.decode((folder / "origin.json").read_bytes())["unix_ms"]
    changes = [
        (row["t"], row["entry"]["uid"], STATES[row["entry"].get("state", "active")])
        for row in _rows(folder, "script")
        if row["k"] == "listed"
    ]
    times: list[float] = []
    never = 0
    for path in sorted((folder / "logs").glob("b*.log")):
        heard: dict[tuple[str, str], list[float]] = {}
        for at, told in said(folder, path.stem, wall, ("upstream",)):
            heard.setdefault((told["uid"], told["state"]), []).append(at)
        for at, uid, state in changes:
            if any(a <= at + SOON and b >= at for a, b in gone.get(path.stem, [])):
                continue  # it was not there, or ended before it had to know
            later = [t for t in heard.get((uid, state), []) if t >= at - 5.0]
            if later:
                times.append(later[0] - at)
            elif not any(t >= at for (u, _), ts in heard.items() if u == uid for t in ts):
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
