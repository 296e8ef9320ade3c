"""Log lines about requests: only a few are written, but all events are counted by reason."""

from __future__ import annotations

from collections import Counter
from typing import Any

from ospreyline.net.events import BURST_LINES, LINES_PER_SECOND, EventLog


class RecordingLogger:
    """A logger that records its lines, with a manual clock."""

    def __init__(self) -> None:
        self.lines: list[tuple[str, dict[str, Any]]] = []
        self.now = 0.0

    def info(self, event: str, **values: Any) -> None:
        self.lines.append((event, values))


def test_a_flood_of_lines_is_cut_and_every_event_is_counted_by_its_reason():
    # in an incident, 30 KB of log were kept, and lines about requests had filled them
    logger, counts = RecordingLogger(), Counter[str]()
    events = EventLog(logger, lambda: logger.now, counts)
    for number in range(1_000):
        events.line("rejected", "no room" if number % 2 else "in doubt", id=str(number))
        logger.now += 10.0
    assert len(logger.lines) <= BURST_LINES + 10.0 * LINES_PER_SECOND
    assert counts["rejected: no room"] == counts["rejected: in doubt"] == 500
    assert counts["log_lines_dropped"] == 1_000 - len(logger.lines)


def test_a_line_says_what_happened_why_and_to_whom():
    logger, counts = RecordingLogger(), Counter[str]()
    events = EventLog(logger, lambda: logger.now, counts)
    events.closed("upstream", "timed out", "127.0.0.1:9001")
    assert logger.lines == [("upstream connection closed", {"why": "timed out", "peer": "127.0.0.1:9001"})]
