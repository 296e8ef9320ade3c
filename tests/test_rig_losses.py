"""The rig's list service and relays lose writes in every way, and record it for the referee."""

from __future__ import annotations

import asyncio
from typing import Any

import pytest
from test_descriptors import PATIENT

from ospreyline.rig.referee import Referee
from ospreyline.rig.registry import HEAD, LAST_CHUNK, Service
from ospreyline.rig.relays import Relays
from ospreyline.rig.scenario import build
from ospreyline.rig.worker import Clock

CALL = b"GET /registry/instances?watch=1&after=1 HTTP/1.1\r\nHost: h\r\n\r\n"
ENTRIES = [{"uid": f"s-{i}-1", "state": "active", "machine": i} for i in range(2)]


class FakeWorker:
    """Stands in for the worker process of a rig part, in this process."""

    def __init__(self) -> None:
        self.loop = asyncio.get_running_loop()
        self.clock = Clock(self.loop, 0.0)
        self.seed = 1
        self.rows: list[dict[str, Any]] = []
        self.messages: dict[str, dict[str, Any]] = {}

    def row(self, kind: str, /, **values: Any) -> None:
        self.rows.append({"k": kind, "t": self.clock.now, **values})

    def notify(self, event: str, **values: Any) -> None:
        self.messages[event] = values


async def start_service(worker: FakeWorker) -> Service:
    service = Service(
        worker,
        {  # type: ignore[arg-type]
            "named": {"127.0.0.1": "b0"},
            "entries": ENTRIES,
            "endpoints": {},
            "listen": "127.0.0.1",
            "calls_per_s": 0,
            "queue": 50,
            "retry_after_s": 0,
            "period_ms": 1.0,
        },
    )
    await service.begin()
    return service


async def inject_loss(
    service: Service, end: str, size: int, extra: float = 0.0, silent: bool = False
) -> None:
    await service.execute(
        {
            "do": "fault",
            "kind": f"registry-lost-{end}",
            "on": 1,
            "size": size,
            "extra": extra,
            "silent": silent,
            "order": 1,
        }
    )


async def drain_upstream(service: Service) -> None:
    await service.execute({"do": "change", "entries": [{"uid": "s-0-1", "state": "leaving"}], "order": 2})


async def read_to_end(reader: asyncio.StreamReader, silence: bool = False) -> tuple[bytes, str]:
    """All bytes received, and how the connection ends."""
    received = b""
    try:
        while True:
            async with asyncio.timeout(0.2 if silence else PATIENT):
                data = await reader.read(1 << 16)
            if not data:
                return received, "last-chunk" if received.endswith(LAST_CHUNK) else "fin"
            received += data
    except ConnectionResetError:
        return received, "reset"
    except TimeoutError:
        return received, "silence"


def run_case(case: Any) -> None:
    asyncio.run(case())


@pytest.mark.parametrize("size", [0, 1, 40, 79, 83])
@pytest.mark.parametrize("established", [True, False], ids=["a-watch-that-stands", "a-call-that-waits"])
@pytest.mark.parametrize("end", ["last-chunk", "fin", "reset", "silence"])
def test_a_writing_is_lost_but_for_some_bytes_under_each_end(end, established, size):
    async def case() -> None:
        worker = FakeWorker()
        service = await start_service(worker)
        reader, writer = await asyncio.open_connection(*worker.messages["listening"]["at"])
        if established:
            writer.write(CALL)
            await first_chunk(reader)
            await inject_loss(service, end, size)
            await drain_upstream(service)
        else:
            await inject_loss(service, end, size)
            await drain_upstream(service)
            writer.write(CALL)
        received, ending = await read_to_end(reader, end == "silence")
        assert ending == end
        row = [row for row in worker.rows if row["k"] == "told"][-1]
        assert row["states"] == [("s-0-1", "leaving")] and row["lost"] == end
        assert ("heard" in row) is (end == "silence")
        if end == "last-chunk":  # a well-formed response: head, part of the line as a chunk, last chunk
            head = b"" if established else HEAD
            body = received.removeprefix(head).removesuffix(LAST_CHUNK)
            assert received.startswith(head) and (not body or body.startswith(b"%x\r\n" % size))
        else:
            assert len(received) == size and (established or HEAD.startswith(received[: len(HEAD)]))
        writer.close()
        await service.end()

    run_case(case)


async def first_chunk(reader: asyncio.StreamReader) -> None:
    async with asyncio.timeout(PATIENT):
        await reader.readuntil(b"\r\n\r\n")
        size = int(await reader.readline(), 16)
        await reader.readexactly(size + 2)


def test_calls_are_turned_away_after_a_loss_and_then_answered():
    async def case() -> None:
        worker = FakeWorker()
        service = await start_service(worker)
        reader, writer = await asyncio.open_connection(*worker.messages["listening"]["at"])
        writer.write(CALL)
        await first_chunk(reader)
        await inject_loss(service, "fin", 0, extra=0.3)
        await drain_upstream(service)
        assert await read_to_end(reader) == (b"", "fin")
        await service.execute(
            {
                "do": "fault",
                "kind": "registry-lost-fin",
                "on": -1,
                "size": 0,
                "extra": 0.3,
                "silent": False,
                "order": 3,
            }
        )
        answers = []
        while not answers or answers[-1] == b"HTTP/1.1 503":
            reader, writer = await asyncio.open_connection(*worker.messages["listening"]["at"])
            writer.write(CALL)
            async with asyncio.timeout(PATIENT):
                answers.append((await reader.readuntil(b"\r\n"))[:12])
            writer.close()
        assert answers[0] == b"HTTP/1.1 503" and answers[-1] == b"HTTP/1.1 200"
        await service.end()

    run_case(case)


@pytest.mark.parametrize(("in_order", "end"), [(True, "fin"), (False, "reset")])
def test_a_link_passes_a_reset_on_as_one_or_as_an_end_in_order(in_order, end):
    async def case() -> None:
        worker = FakeWorker()
        service = await start_service(worker)
        relays = Relays(
            worker,
            {
                "links": [  # type: ignore[arg-type]
                    {"name": "b0>list", "listen": "127.0.0.1", "source": "127.0.0.1", "reads": False}
                ]
            },
        )
        await relays.begin()
        await relays.execute(
            {"do": "targets", "at": {"b0>list": worker.messages["listening"]["at"]}, "order": 1}
        )
        if in_order:
            await relays.execute(
                {
                    "do": "fault",
                    "kind": "fin-for-reset",
                    "on": 1,
                    "way": "both",
                    "size": 0,
                    "extra": 0,
                    "links": ["b0>list"],
                    "order": 2,
                }
            )
        reader, writer = await asyncio.open_connection(*worker.messages["linked"]["at"]["b0>list"])
        writer.write(CALL)
        await first_chunk(reader)
        await inject_loss(service, "reset", 0)
        await drain_upstream(service)
        assert await read_to_end(reader) == (b"", end)
        await service.end()

    run_case(case)


@pytest.mark.parametrize(
    ("told", "is_breach"), [({}, True), ({"heard": 400.0}, True), ({"heard": 800.0}, False)]
)
def test_what_a_silent_call_misses_counts_six_seconds_after_its_last_word(told, is_breach):
    scenario = build(
        {
            "bank": {"count": 1},
            "servers": [{"count": 2}],
            "load": {"rate": 10.0},
            "rules": {"slack_ms": 50.0},
            "prefixes": [{"name": "read"}],
        }
    )
    sent = 7_100.0
    rows = [
        {"k": "spawned", "t": 0.0, "name": "b0", "pid": 1},
        {
            "k": "told",
            "t": 900.0,
            "b": "b0",
            "rev": 2,
            "whole": False,
            "states": [("s-0-1", "leaving")],
            **told,
        },
        {"k": "asked", "t": sent + 1, "link": "b0>u0", "id": "v", "prefix": "read", "first": sent},
        {"k": "answered", "t": sent + 50, "link": "b0>u0", "id": "v", "status": 200, "never": False},
    ]
    breaches = Referee(scenario, [1.0, 1.0]).judge(rows)
    assert any(b.rule == "drain" for b in breaches) is is_breach
