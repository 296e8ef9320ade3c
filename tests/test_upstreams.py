"""How backend fetches end on sockets, and what happens to their connections."""

from __future__ import annotations

import asyncio

import pytest
from stand_ins import RESET, SILENT, Peer, caller, ok, request, running
from test_clients import KEY, play

from ospreyline.host import End
from ospreyline.net import upstreams
from ospreyline.net.dispatcher import clock
from ospreyline.net.upstreams import (
    Answer,
    Exchange,
    ExchangeFailure,
    ExchangeStage,
    FailureReason,
    classify_end,
    parse_load_report,
)

NEVER = b"X-Never-Ran: 1\r\n"
TURNED_AWAY = ok(b"", NEVER, b"503 Service Unavailable")


@pytest.mark.parametrize(
    ("outcome", "end"),
    [
        (Answer(200, b"", b"", b"", False), End.DELIVERED),
        (Answer(500, b"", b"", b"", False), End.ERRORED),
        (Answer(500, b"", b"", b"", True), End.ERRORED),
        (Answer(503, b"", b"", b"", True), End.FULL),
        (Answer(504, b"", b"", b"", True), End.FULL),
        (Answer(503, b"", b"", b"", False), End.ERRORED),
        (Answer(204, b"", b"", b"", False), End.ERRORED),
        (ExchangeFailure(ExchangeStage.CONNECTING, FailureReason.BROKEN), End.UNREACHED),
        (ExchangeFailure(ExchangeStage.CONNECTING, FailureReason.NO_CONNECTION), End.UNREACHED),
        (ExchangeFailure(ExchangeStage.CONNECTING, FailureReason.TIMED_OUT), End.UNREACHED),
        (ExchangeFailure(ExchangeStage.CONNECTING, FailureReason.WITHDRAWN), End.UNSENT),
        (ExchangeFailure(ExchangeStage.WRITING, FailureReason.BROKEN), End.UNREACHED),
        (ExchangeFailure(ExchangeStage.WRITTEN, FailureReason.BROKEN), End.RESET),
        (ExchangeFailure(ExchangeStage.ANSWERING, FailureReason.BROKEN), End.RESET),
        (ExchangeFailure(ExchangeStage.ANSWERING, FailureReason.MALFORMED), End.ERRORED),
        (ExchangeFailure(ExchangeStage.WRITTEN, FailureReason.TIMED_OUT), End.TIMED_OUT),
        (ExchangeFailure(ExchangeStage.ANSWERING, FailureReason.TIMED_OUT), End.TIMED_OUT),
        (ExchangeFailure(ExchangeStage.CONNECTING, FailureReason.CANCELLED), End.CANCELLED),
    ],
)
def test_how_far_it_had_come_says_whether_it_can_have_run(outcome, end):
    assert classify_end(outcome) is end


@pytest.mark.parametrize(
    ("text", "report"),
    [
        (b"TEXT inflight=7, queue=2, util=0.61", (0.61, 2.0)),
        (b"TEXT cpu=0.215,waiting=1", (0.215, 1.0)),
        (b'JSON {"util": 0.5, "queue": 3}', (0.5, 3.0)),
        (b"TEXT util=0.61", ()),
        (b"TEXT util=much, queue=2", ()),
        (b"TEXT util=nan, queue=2", ()),
        (b"TEXT util=0.2, queue=inf", ()),
        (b"TEXT util=-0.2, queue=1", ()),
        (b"TEXT util=0.2, queue=1e9", ()),
        (b"TEXT util=900, queue=1", ()),
        (b"", ()),
    ],
)
def test_load_reports_are_read_in_either_set_of_words(text, report):
    assert parse_load_report(text, ("util", "queue")) == report


@pytest.mark.parametrize(
    ("first", "path", "status", "fetches"),
    [
        (TURNED_AWAY, "/change", 200, 2),
        (ok(b"", b"", b"503 Service Unavailable"), "/change", 502, 1),
        (ok(b"", b"", b"500 Internal Server Error"), "/change", 502, 1),
        (ok(b"", b"", b"500 Internal Server Error"), "/read", 200, 2),
        (RESET, "/change", 502, 1),
        (RESET, "/read", 200, 2),
        (RESET, "/tag", 200, 2),
        (("cut", b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf"), "/change", 502, 1),
        (("cut", b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf"), "/read", 200, 2),
        (b"no HTTP at all\r\n\r\n", "/change", 502, 1),
        (b"no HTTP at all\r\n\r\n", "/read", 200, 2),
        # about this size was one answer in six on the busiest days
        (ok(b"whole" + b"x" * 400_000), "/change", 200, 1),
        (
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
            + b"30d40\r\n"
            + b"x" * 200_000
            + b"\r\n0\r\n\r\n",
            "/change",
            200,
            1,
        ),
        (ok(b"x" * 1_100_000), "/change", 502, 1),
        (
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
            + b"186a00\r\n"
            + b"x" * 1_600_000
            + b"\r\n0\r\n\r\n",
            "/change",
            502,
            1,
        ),
        (
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + b"1\r\nx\r\n" * 60_000 + b"0\r\n\r\n",
            "/read",
            200,
            1,
        ),  # small chunks: five times the size of its body
        # ends with the connection
        (("cut", b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nwhole"), "/read", 200, 1),
        (("cut", b"HTTP/1.1 200 OK\r\n\r\nhalf"), "/read", 200, 2),  # its length header is missing or lost
        (("cut", b"HTTP/1.1 200 OK\r\n\r\nhalf"), "/change", 502, 1),
        (b"HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n", "/read", 200, 2),  # and no timeout
        (b"HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\n", "/read", 200, 2),
        (b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\nContent-Length: 4\r\n\r\nwhole", "/read", 200, 2),
        (
            b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n"
            b"5\r\nwhole\r\n0\r\n\r\n",
            "/read",
            200,
            2,
        ),
        (b"HTTP/1.1 101 Switching Protocols\r\n\r\n" + ok(b"no"), "/change", 502, 1),
        (b"HTTP/1.1 102 Processing\r\n\r\n" * 30_000 + ok(b"no"), "/change", 502, 1),
        (ok(b"whole") + ok(b"copy"), "/change", 200, 1),
        (ok(b"whole") + b"\x00noise", "/change", 200, 1),
        (ok(b"whole", b"Endpoint-Load-Metrics: \xff=,,nan\r\n"), "/change", 200, 1),
        (b"HTTP/1.1 102 Processing\r\n\r\n" + ok(b"whole"), "/change", 200, 1),
    ],
)
def test_a_failed_fetch_is_repeated_only_where_that_is_harmless(first, path, status, fetches):
    async def scenario():
        peers = Peer(first, ok(b"whole")), Peer()
        peers[1].answers = peers[0].answers  # both share one list of answers, so the first request fails
        async with running(*peers) as service:
            got = await (await caller(service)).ask(
                request(path, "GET" if path == "/read" else "POST", **(KEY if path == "/tag" else {}))
            )
            assert got[0] == status and (status != 200 or got[2][:5] in (b"whole", b"xxxxx"))
            assert sum(len(peer.requests) for peer in peers) == fetches

    play(scenario)


@pytest.mark.parametrize("path", ["/read", "/change"])
def test_one_that_cannot_be_reached_never_ran(path):
    async def scenario():
        gone, there = await Peer().start(), Peer()
        gone.server.close()
        async with running(gone, there) as service:
            client = await caller(service)
            for _ in range(6):
                assert (await client.ask(request(path, "POST", b"x")))[0] == 200
            assert len(there.requests) == 6

    play(scenario)


def test_a_late_answer_never_reaches_another_visit():
    async def scenario():
        peer = Peer(SILENT, ok(b"second"))
        async with running(peer) as service:
            client = await caller(service)
            assert (await client.ask(request("/change", "POST", b"x", X_Expires_In="0.1")))[0] == 504
            peer.writers[0].write(ok(b"first"))
            assert (await client.ask(request()))[2] == b"second"

    play(scenario)


def test_a_connection_is_kept_and_the_one_last_used_is_taken(monkeypatch):
    async def scenario():
        monkeypatch.setattr(upstreams, "SETTLE_MS", 0.0)
        peer = Peer()
        async with running(peer) as service:
            client = await caller(service)
            for _ in range(5):
                assert (await client.ask(request()))[0] == 200
            assert len(peer.writers) == 1
            # we close it well before the upstream would
            service.dispatcher.upstreams.run_maintenance(clock() + 0.9 * 15_000)
            await peer.until(lambda: peer.open == 0)

    play(scenario)


@pytest.mark.parametrize(
    "answer",
    [
        ("cut", ok()),
        ok() + b"more",
        ok() + ok(b"first"),
        ok() + ok(b"first")[:20],
        ok(b"hello", b"Connection: close\r\n"),
    ],
)
def test_a_connection_that_is_ended_or_out_of_step_is_not_used_again(answer):
    async def scenario():
        peer = Peer(answer, ok(b"second"))
        async with running(peer) as service:
            client = await caller(service)
            assert (await client.ask(request()))[2] == b"hello"
            await peer.until(lambda: peer.open == 0)
            assert (await client.ask(request("/change", "POST", b"x")))[2] == b"second"
            assert len(peer.writers) == 2

    play(scenario)


def test_connections_silent_over_a_time_out_are_not_trusted_again():
    async def scenario():
        # an upstream that is cut off leaves its connections open and sends nothing
        peer = Peer(SILENT, SILENT, ok())
        async with running(peer) as service:
            upstream = service.dispatcher.upstreams.pools[0]
            results: list[Answer | ExchangeFailure] = []
            now = clock()
            for _ in range(2):
                upstream.run(Exchange(b"GET / HTTP/1.1\r\n", b"", now, 5_000, False, results.append))
            await peer.until(lambda: len(peer.requests) == 2)
            peer.writers[0].write(ok())
            while not upstream.idle:
                await asyncio.sleep(0)
            late = Exchange(b"GET / HTTP/1.1\r\n", b"", clock() + 1, 1, False, results.append)
            late.pool, late.stage = upstream, ExchangeStage.WRITTEN
            upstream._on_timeout(late)
            assert not upstream.idle and results[-1] == ExchangeFailure(
                ExchangeStage.WRITTEN, FailureReason.TIMED_OUT
            )

    play(scenario)


def test_what_waits_for_its_connection_does_not_go_once_the_list_withdraws_the_upstream():
    async def scenario():
        peer = Peer()
        async with running(peer) as service:
            upstream = service.dispatcher.upstreams.pools[0]
            results: list[Answer | ExchangeFailure] = []
            now = clock()
            upstream.run(Exchange(b"GET / HTTP/1.1\r\n", b"", now, 1_000, False, results.append))
            service.dispatcher.upstreams.update_from_list(0, upstream.address, 0.0, ready=False)
            upstream.run(Exchange(b"GET / HTTP/1.1\r\n", b"", now, 1_000, False, results.append))
            assert [classify_end(result) for result in results] == [End.UNSENT, End.UNSENT]

    play(scenario)


def test_at_the_limit_an_idle_connection_makes_room_and_else_nothing_leaves():
    async def scenario():
        peers = [Peer(), Peer()]
        async with running(*peers) as service:
            service.dispatcher.upstreams.max_open = 1
            client = await caller(service)
            for _ in range(8):
                assert (await client.ask(request()))[0] == 200
            assert len(service.dispatcher.upstreams.open) <= 1 and all(peer.requests for peer in peers)

    play(scenario)


@pytest.mark.parametrize("behind", [ok(b"copy"), None])
def test_a_connection_that_has_just_answered_settles_before_it_is_used_again(behind, monkeypatch):
    async def scenario():
        monkeypatch.setattr(upstreams, "SETTLE_MS", 10_000.0)
        # a second copy, or the connection's end, may arrive right behind the answer, but not with it
        peer = Peer(ok(b"first"), ok(b"second"))
        async with running(peer) as service:
            client = await caller(service)
            assert (await client.ask(request("/change", "POST", b"x")))[2] == b"first"
            first = peer.writers[0]
            if behind is None:
                first.close()
            else:
                first.write(behind)
            assert (await client.ask(request("/change", "POST", b"x")))[2] == b"second"
            assert len(peer.writers) == 2

    play(scenario)


def test_answers_that_come_at_once_are_held_within_a_part_of_the_memory():
    async def scenario():
        head = b"HTTP/1.1 200 OK\r\nContent-Length: 900000\r\n\r\n"
        peer = Peer(head + b"x" * 800_000)
        async with running(peer) as service:
            budget = service.dispatcher.upstreams.budget
            budget.limit = 2_000_000
            callers = [await caller(service) for _ in range(4)]
            for client in callers:
                client.writer.write(request("/change", "POST", b"x"))
            while service.dispatcher.counts["errored"] < 2:  # two exceed the memory limit
                await asyncio.sleep(0)
            assert budget.held <= budget.limit
            for writer in [w for w in peer.writers if not w.is_closing()]:
                writer.write(b"x" * 100_000)
            statuses = sorted([(await client.answer())[0] for client in callers])
            assert statuses == [200, 200, 502, 502] and budget.held == 0

    play(scenario)
