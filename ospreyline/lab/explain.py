"""The course of one visit as a table: the client's tries, the balancer of each, each fetch and its end."""

from __future__ import annotations

from pathlib import Path
from typing import Any

from ospreyline.lab import records


def explain(folder: Path, visit: int) -> str:
    """Describes a visit by its number, with the other tries of its want; `RecordError` if not recorded."""
    path = folder / "visits.jsonl"
    if not path.exists():
        raise records.RecordError(f"{path}: no visits were kept; run with --visits all")
    found: list[dict[str, Any]] = []
    want = None
    for row in records.read_rows(folder, "visits"):
        if row["visit"] == visit:
            want = row["want"]
        found.append(row)
    if want is None:
        last = max((row["visit"] for row in found), default=0)
        raise records.RecordError(f"{path}: no visit {visit} is kept there (numbers go to {last})")
    tries = sorted((row for row in found if row["want"] == want), key=lambda row: row["sent"])
    first = tries[0]["sent"]
    lines = [("ms", "what")]

    def line(at: float | None, text: str) -> None:
        lines.append(("" if at is None else f"{at - first:10.1f}", text))

    for row in tries:
        mark = " (the one asked for)" if row["visit"] == visit and len(tries) > 1 else ""
        line(
            row["sent"],
            f"client in {row['zone']} sends visit {row['visit']}{mark}, /{row['prefix']}, "
            f"waits {row['ttl']:g} ms" + (", marked as a repeat" if row["repeat"] else ""),
        )
        events = []
        for number, fetch in enumerate(row["fetches"], 1):
            where = f"server {fetch['server']} in {fetch['zone']}"
            crossing = ", another zone" if fetch["zone"] != row["zone"] else ""
            events.append(
                (fetch["begun"], f"  balancer {row['balancer']}: fetch {number} to {where}{crossing}")
            )
            if fetch["written"] is not None and fetch["written"] > fetch["begun"]:
                events.append((fetch["written"], f"  fetch {number} is written, on a new connection"))
            if fetch["end"] is not None:
                ran = ", it had been worked on" if fetch["ran"] and fetch["end"] != "delivered" else ""
                events.append((fetch["at"], f"  fetch {number} ends: {fetch['end'].replace('_', ' ')}{ran}"))
        if row["at"] is not None:
            advice = f", come back in {row['retry_after']:g} ms" if row["answer"] == "bounced" else ""
            events.append((row["at"], f"  final answer: {row['answer'] or 'none'}{advice}"))
        for at, text in sorted(events, key=lambda event: event[0]):
            line(at, text)
        if row["at"] is None:
            line(None, f"  no answer came to the client ({row['answer'] or 'none'})")
    line(None, f"the client ended as: {tries[-1]['outcome'] or 'still open'}")
    return "\n".join(f"{at:>10}  {text}" for at, text in lines)
