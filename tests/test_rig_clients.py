"""The rig's clients without processes: what they note of a try is what came."""

from __future__ import annotations

from types import SimpleNamespace
from typing import Any

import msgspec
import pytest
from test_rig_runs import tree

from ospreyline.rig import scenario
from ospreyline.rig.clients import MOST_IDLE, Clients, Conn, Try, Want


class Bench:
    """A worker, and the clients' connections to the first of three balancers."""

    def __init__(self) -> None:
        self.tries: list[dict[str, Any]] = []
        self.seed, self.clock = 1, SimpleNamespace(now=1_000.0, tick=lambda: None, after=lambda *more: None)
        found = msgspec.to_builtins(scenario.build(tree()))
        self.clients = Clients(
            self,
            {  # type: ignore[arg-type]
                "scenario": found,
                "number": 0,
                "of": 1,
                "at": [("127.0.0.1", 1)] * 3,
                "zones": [0, 1, 0],
                "bank_seed": 1,
            },
        )

    def row(self, kind: str, /, **values: Any) -> None:
        if kind == "try":
            self.tries.append(values)

    def answered(self) -> Conn:
        """A connection that has carried one try and its answer."""
        conn, id_ = Conn(self.clients, 0), f"v{len(self.tries)}"
        transport = SimpleNamespace(abort=lambda: conn.connection_lost(None), close=lambda: None)
        conn.connection_made(transport)  # type: ignore[arg-type]
        attempt = Try(Want(1, 0, 0, 1.0, 900.0, 2_000.0), id_, 0, 500.0)
        attempt.sent, attempt.conn, conn.attempt = 990.0, conn, attempt
        conn.data_received(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b " % (len(id_) + 1, id_.encode()))
        return conn


@pytest.mark.parametrize("closed", [[], [0], [0, 1], list(range(MOST_IDLE))], ids=len)
def test_an_answer_counts_whatever_has_become_of_the_oldest_kept_connection(closed):
    # a fault over one that had closed was taken for an answer that cannot be read, and the try that had just
    # been answered was never over: at the end of its time it was noted as unanswered
    bench = Bench()
    kept = [bench.answered() for _ in range(MOST_IDLE)]
    for number in closed:
        kept[number].connection_lost(None)
    for _ in range(3):
        bench.answered()
    assert [(row["how"], row["status"]) for row in bench.tries] == [("answer", 200)] * (MOST_IDLE + 3)
    assert len(bench.clients._pools[0]) <= MOST_IDLE
