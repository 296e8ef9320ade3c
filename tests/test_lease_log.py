"""The log says when and why sends are blocked, and whether an answer or the time since ended that."""

from __future__ import annotations

from structlog.testing import CapturingLogger

from ospreyline.lease import CallStarted, ConnectionRefused, ListLease, UpdateLost, UpdateRead
from ospreyline.net.lease_log import LeaseLog


def written(logger: CapturingLogger) -> list[tuple[str, dict[str, object]]]:
    return [(call.args[0], call.kwargs) for call in logger.calls]


def lease_log() -> tuple[CapturingLogger, LeaseLog]:
    logger, lease = CapturingLogger(), ListLease()
    lease.configure(500.0, 10_000.0, False)
    lease.start(0.0)
    log = LeaseLog(logger, lease)
    log.apply(0.0, CallStarted(1))
    log.apply(0.0, UpdateRead(1, 3, True))
    logger.calls.clear()
    return logger, log


def test_a_block_that_an_answer_ends_is_logged_with_its_cause():
    logger, log = lease_log()
    log.apply(1_000.0, UpdateLost(1))
    log.note_block(1_050.0)
    log.note_block(2_000.0)
    log.note_block(2_250.0)
    log.apply(3_000.0, CallStarted(2))
    log.apply(3_000.0, UpdateRead(2, 3, True))
    log.note_block(3_250.0)
    assert [event for event, _ in written(logger)] == [
        "list update may be lost",
        "sends blocked",
        "list lease renewed",
        "sends allowed again",
    ]
    assert written(logger)[1][1]["lost_update"] and not written(logger)[3][1]["lost_update"]
    assert written(logger)[3][1]["after_ms"] == 1_250


def test_a_block_that_ends_with_time_is_told_from_one_that_an_answer_ends():
    # guards against an outage in which the log cannot say why requests go out again
    logger, log = lease_log()
    log.apply(1_000.0, UpdateLost(1))
    log.apply(1_000.0, ConnectionRefused(2))
    log.note_block(2_000.0)
    log.apply(41_000.0, ConnectionRefused(3))
    log.note_block(41_000.0)
    event, values = written(logger)[-1]
    assert event == "sends allowed again" and values["lost_update"]
    assert "list lease renewed" not in [event for event, _ in written(logger)]
