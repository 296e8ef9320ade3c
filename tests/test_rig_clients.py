"""The rig's clients without processes: the row of a try matches the answer that arrived."""

from __future__ import annotations

from types import SimpleNamespace
from typing import Any

import msgspec
import pytest
from test_rig_runs import tree

from ospreyline.rig import scenario
from ospreyline.rig.clients import MAX_IDLE_CONNECTIONS, ClientConnection, ClientRequest, Clients, Try


class ClientsUnderTest:
    """A fake worker, and the clients' connections to the first of three balancers."""

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

    def answered_connection(self) -> ClientConnection:
        """A connection that has carried one try and received its answer."""
        connection, id_ = ClientConnection(self.clients, 0), f"v{len(self.tries)}"
        transport = SimpleNamespace(abort=lambda: connection.connection_lost(None), close=lambda: None)
        connection.connection_made(transport)  # type: ignore[arg-type]
        attempt = Try(ClientRequest(1, 0, 0, 1.0, 900.0, 2_000.0), id_, 0, 500.0)
        attempt.sent, attempt.connection, connection.attempt = 990.0, connection, attempt
        connection.data_received(
            b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b " % (len(id_) + 1, id_.encode())
        )
        return connection


@pytest.mark.parametrize("closed", [[], [0], [0, 1], list(range(MAX_IDLE_CONNECTIONS))], ids=len)
def test_an_answer_counts_whatever_has_become_of_the_oldest_kept_connection(closed):
    # An error at a pooled connection that had closed was taken for an unreadable answer; the try that had
    # just been answered never finished and was recorded as unanswered at its timeout.
    rig = ClientsUnderTest()
    pooled = [rig.answered_connection() for _ in range(MAX_IDLE_CONNECTIONS)]
    for number in closed:
        pooled[number].connection_lost(None)
    for _ in range(3):
        rig.answered_connection()
    assert [(row["how"], row["status"]) for row in rig.tries] == [("answer", 200)] * (
        MAX_IDLE_CONNECTIONS + 3
    )
    assert len(rig.clients._pools[0]) <= MAX_IDLE_CONNECTIONS
