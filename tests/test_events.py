"""Log lines about requests: few are written, every one is counted by its reason."""

from __future__ import annotations

from collections import Counter
from typing import Any

from ospreyline.net.events import BURST_LINES, LINES_PER_SECOND, EventLog


class Written:
    """A logger that keeps what it was told, and a clock."""

    def __init__(self) -> None:
        self.lines: list[tuple[str, dict[str, Any]]] = []
        self.now = 0.0

    def info(self, event: str, **values: Any) -> None:
        self.lines.append((event, values))


def test_a_flood_of_lines_is_cut_and_every_event_is_counted_by_its_reason():
    # an incident could not be read from a log of which 30 KB were kept: lines about requests had filled it
    written, counts = Written(), Counter[str]()
    events = EventLog(written, lambda: written.now, counts)
    for number in range(1_000):
        events.line("rejected", "no room" if number % 2 else "in doubt", id=str(number))
        written.now += 10.0
    assert len(written.lines) <= BURST_LINES + 10.0 * LINES_PER_SECOND
    assert counts["rejected: no room"] == counts["rejected: in doubt"] == 500
    assert counts["log_lines_dropped"] == 1_000 - len(written.lines)


def test_a_line_says_what_happened_why_and_to_whom():
    written, counts = Written(), Counter[str]()
    events = EventLog(written, lambda: written.now, counts)
    events.closed("upstream", "timed out", "127.0.0.1:9001")
    assert written.lines == [("upstream connection closed", {"why": "timed out", "peer": "127.0.0.1:9001"})]
