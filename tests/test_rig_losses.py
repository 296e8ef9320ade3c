"""The rig's list service and links lose writings under every kind of end, and say so to the referee."""

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


class Worker:
    """What the parts of the rig are given, in this process."""

    def __init__(self) -> None:
        self.loop = asyncio.get_running_loop()
        self.clock = Clock(self.loop, 0.0)
        self.seed = 1
        self.rows: list[dict[str, Any]] = []
        self.said: dict[str, dict[str, Any]] = {}

    def row(self, kind: str, /, **values: Any) -> None:
        self.rows.append({"k": kind, "t": self.clock.now, **values})

    def say(self, news: str, **values: Any) -> None:
        self.said[news] = values


async def service(worker: Worker) -> Service:
    found = Service(
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
    await found.begin()
    return found


async def lose(found: Service, end: str, size: int, extra: float = 0.0, silent: bool = False) -> None:
    await found.told(
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


async def drain(found: Service) -> None:
    await found.told({"do": "change", "entries": [{"uid": "s-0-1", "state": "leaving"}], "order": 2})


async def read(reader: asyncio.StreamReader, silence: bool = False) -> tuple[bytes, str]:
    """What comes, and how it ends."""
    got = b""
    try:
        while True:
            async with asyncio.timeout(0.2 if silence else PATIENT):
                data = await reader.read(1 << 16)
            if not data:
                return got, "last-chunk" if got.endswith(LAST_CHUNK) else "fin"
            got += data
    except ConnectionResetError:
        return got, "reset"
    except TimeoutError:
        return got, "silence"


def play(story: Any) -> None:
    asyncio.run(story())


@pytest.mark.parametrize("size", [0, 1, 40, 79, 83])
@pytest.mark.parametrize("stands", [True, False], ids=["a-watch-that-stands", "a-call-that-waits"])
@pytest.mark.parametrize("end", ["last-chunk", "fin", "reset", "silence"])
def test_a_writing_is_lost_but_for_some_bytes_under_each_end(end, stands, size):
    async def story() -> None:
        worker = Worker()
        found = await service(worker)
        reader, writer = await asyncio.open_connection(*worker.said["listening"]["at"])
        if stands:
            writer.write(CALL)
            await first_chunk(reader)
            await lose(found, end, size)
            await drain(found)
        else:
            await lose(found, end, size)
            await drain(found)
            writer.write(CALL)
        got, how = await read(reader, end == "silence")
        assert how == end
        told = [row for row in worker.rows if row["k"] == "told"][-1]
        assert told["states"] == [("s-0-1", "leaving")] and told["lost"] == end
        assert ("heard" in told) is (end == "silence")
        if end == "last-chunk":  # the answer is in form: a head, a part of the line as a chunk, its end
            head = b"" if stands else HEAD
            body = got.removeprefix(head).removesuffix(LAST_CHUNK)
            assert got.startswith(head) and (not body or body.startswith(b"%x\r\n" % size))
        else:
            assert len(got) == size and (stands or HEAD.startswith(got[: len(HEAD)]))
        writer.close()
        await found.end()

    play(story)


async def first_chunk(reader: asyncio.StreamReader) -> None:
    async with asyncio.timeout(PATIENT):
        await reader.readuntil(b"\r\n\r\n")
        size = int(await reader.readline(), 16)
        await reader.readexactly(size + 2)


def test_calls_are_turned_away_after_a_loss_and_then_answered():
    async def story() -> None:
        worker = Worker()
        found = await service(worker)
        reader, writer = await asyncio.open_connection(*worker.said["listening"]["at"])
        writer.write(CALL)
        await first_chunk(reader)
        await lose(found, "fin", 0, extra=0.3)
        await drain(found)
        assert await read(reader) == (b"", "fin")
        await found.told(
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
            reader, writer = await asyncio.open_connection(*worker.said["listening"]["at"])
            writer.write(CALL)
            async with asyncio.timeout(PATIENT):
                answers.append((await reader.readuntil(b"\r\n"))[:12])
            writer.close()
        assert answers[0] == b"HTTP/1.1 503" and answers[-1] == b"HTTP/1.1 200"
        await found.end()

    play(story)


@pytest.mark.parametrize(("in_order", "end"), [(True, "fin"), (False, "reset")])
def test_a_link_passes_a_reset_on_as_one_or_as_an_end_in_order(in_order, end):
    async def story() -> None:
        worker = Worker()
        found = await service(worker)
        relays = Relays(
            worker,
            {
                "links": [  # type: ignore[arg-type]
                    {"name": "b0>list", "listen": "127.0.0.1", "source": "127.0.0.1", "reads": False}
                ]
            },
        )
        await relays.begin()
        await relays.told({"do": "targets", "at": {"b0>list": worker.said["listening"]["at"]}, "order": 1})
        if in_order:
            await relays.told(
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
        reader, writer = await asyncio.open_connection(*worker.said["linked"]["at"]["b0>list"])
        writer.write(CALL)
        await first_chunk(reader)
        await lose(found, "reset", 0)
        await drain(found)
        assert await read(reader) == (b"", end)
        await found.end()

    play(story)


@pytest.mark.parametrize(("told", "late"), [({}, True), ({"heard": 400.0}, True), ({"heard": 800.0}, False)])
def test_what_a_silent_call_misses_counts_six_seconds_after_its_last_word(told, late):
    found = build(
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
    breaches = Referee(found, [1.0, 1.0]).judge(rows)
    assert any(b.rule == "drain" for b in breaches) is late
