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


def absences(folder: Path) -> dict[str, list[Span]]:
    """By balancer: when it was killed or stopped, and until it was there again; ms of the run's clock."""
    out: dict[str, list[Span]] = {}
    for row in _rows(folder, "keeper-0"):
        spans = out.setdefault(row.get("name", ""), [])
        gone = row["k"] == "signal" and row["what"] in ("kill", "stop")
        back = row["k"] == "spawned" or (row["k"] == "signal" and row["what"] == "go on")
        if gone:
            spans.append((row["t"], float("inf")))
        elif back and spans and spans[-1][1] == float("inf"):
            spans[-1] = (spans[-1][0], row["t"])
    return out


def said(folder: Path, balancer: str, wall: float) -> Iterator[tuple[float, dict[str, Any]]]:
    """Its lines on members until it stops; times in ms of the run's clock (`wall`: its zero as Unix ms)."""
    for line in (folder / "logs" / f"{balancer}.log").read_bytes().splitlines():
        if not line.startswith(b"{"):
            continue
        told = msgspec.json.decode(line)
        if told["event"] == "stopping":
            return
        if told["event"] in ("member", "fleet"):
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
    return {"balancers": len(names), "noticed": len(times),
            "median_s": round(times[len(times) // 2], 2) if times else None,
            "p99_s": round(times[int(0.99 * (len(times) - 1))], 2) if times else None,
            "most_s": round(times[-1], 2) if times else None, "wrong_deaths": wrong,
            "hear_all_at_the_end": hearing}
