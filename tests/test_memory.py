"""What peers can make a balancer hold, and how long they can keep its event loop, all together."""

from __future__ import annotations

import asyncio
import select
import socket
import tracemalloc
from collections.abc import Callable, Iterator
from contextlib import contextmanager, suppress
from types import SimpleNamespace

import pytest
from stand_ins import Peer, Registry, caller, heard, ok, request, running
from test_clients import play
from test_closing import connected, send_buffer

from ospreyline.fleet import frames, links
from ospreyline.fleet.frames import ALIVE, Entry
from ospreyline.net import clients, reading
from ospreyline.net.upstreams import unread

MEMORY_MB = 48
PART_BYTES = (MEMORY_MB << 20) // 8  # the most that one part may hold, by docs/CAPACITY.md
CLIENTS = 60
LINGERING_BYTES = 16_384  # of a connection without a request, half of the longest head
UPSTREAMS = 30
HEAD = b"POST /change HTTP/1.1\r\nHost: origin.svc\r\nX-Trace-Id: %x\r\n"
CHUNKED = b"Transfer-Encoding: chunked\r\n\r\n"
SENT = {
    "heads without end": b"X-A: 1\r\n" * 30_000,
    "heads that stop half-way": b"A: 1\r\n" * 5_000,
    "bodies in chunks of two bytes": CHUNKED + b"2\r\nxx\r\n" * 20_000,
    "trailers without end": CHUNKED + b"1\r\nx\r\n0\r\nX-Trailer: " + b"y" * 200_000,
    "heads of long fields that stop half-way": (b"A: " + b"x" * 300 + b"\r\n") * 95,
    "bodies in larger chunks that stop half-way": CHUNKED + (b"20\r\n" + b"x" * 32 + b"\r\n") * 1_900,
    "bodies that stop half-way": b"Content-Length: 65000\r\n\r\n" + b"x" * 64_000,
}


@contextmanager
def bounded_memory(limit: int) -> Iterator[None]:
    """Fails if more than `limit` bytes are allocated at any time."""
    tracemalloc.start()
    try:
        yield
        assert tracemalloc.get_traced_memory()[1] <= limit
    finally:
        tracemalloc.stop()


async def flood(service, data: bytes, count: int) -> list[socket.socket]:
    """Bad clients that send `data` behind a head, all at once."""
    loop = asyncio.get_running_loop()

    async def send(sock: socket.socket, number: int) -> None:
        with suppress(OSError):  # it was answered and closed
            await loop.sock_sendall(sock, HEAD % number + data)

    accepted = service.dispatcher.counts["accepted"] + count
    sockets = []
    for _ in range(count):
        sock = socket.socket()
        sock.setblocking(False)
        await loop.sock_connect(sock, service.at)
        sockets.append(sock)
    sends = [asyncio.ensure_future(send(sock, i)) for i, sock in enumerate(sockets)]
    while not all(send.done() for send in sends) or service.dispatcher.counts["accepted"] < accepted:
        await asyncio.sleep(0)
    while any(unread(c.transport, select.POLLIN) for c in service.clients.open if not c._finished):
        await asyncio.sleep(0)
    return sockets


@pytest.mark.parametrize("kind", SENT)
def test_bad_clients_together_cannot_exhaust_the_memory(kind):
    # guards against: heads without end on 200 connections took a balancer over its limit, and it was killed
    async def scenario():
        async with running(Peer(), sockets=1024, memory_mb=MEMORY_MB) as service:
            usual = await caller(service)
            assert (await usual.ask(request()))[0] == 200
            with bounded_memory(PART_BYTES):
                bad = await flood(service, SENT[kind], CLIENTS)
                assert (await usual.ask(request()))[0] == 200
                assert (await (await caller(service)).ask(request()))[0] == 200
            for sock in bad:
                sock.close()
            while len(service.clients.open) > 2:
                await asyncio.sleep(0)
            assert service.dispatcher.budgets.requests.held == 0

    play(scenario)


@pytest.mark.parametrize(
    ("fields", "status"),
    [(b"A: 1\r\n" * 5_000, 431), ((b"A: " + b"x" * 300 + b"\r\n") * 95 + b"\0", 400)],
    ids=["too many", "unreadable"],
)
def test_a_rejected_request_is_not_kept_while_its_connection_lingers(fields, status, monkeypatch):
    # guards against: heads that were answered with an error, kept until their connections were closed
    monkeypatch.setattr(clients, "LINGER_S", 60.0)

    async def scenario():
        async with running(Peer(), sockets=1024, memory_mb=MEMORY_MB) as service:
            tracemalloc.start()
            try:
                bad = await flood(service, fields, CLIENTS)
                while service.dispatcher.counts[f"door_{status}"] < CLIENTS:
                    await asyncio.sleep(0)
                lingering = [client for client in service.clients.open if client._finished]
                held = tracemalloc.get_traced_memory()[0]
            finally:
                tracemalloc.stop()
            assert len(lingering) == CLIENTS and held <= CLIENTS * LINGERING_BYTES
            for sock in bad:
                sock.close()

    play(scenario)


def test_whole_requests_over_the_memory_for_them_are_refused():
    # guards against: only what is still received being bounded, and not what waits for its answer
    async def scenario():
        peer = Peer("silent")
        async with running(peer, sockets=1024, memory_mb=MEMORY_MB) as service:
            budget = service.dispatcher.budgets.requests
            asked = [asyncio.ensure_future(_ask_long(service)) for _ in range(90)]
            refused = set()
            while len(refused) < 90 - budget.limit // 60_000 - 1:
                await asyncio.sleep(0.001)
                refused = {task for task in asked if task.done()}
                assert budget.held <= budget.limit + 70_000
            assert {task.result() for task in refused} == {503}
            for task in asked:
                task.cancel()

    play(scenario)


async def _ask_long(service) -> int:
    return (await (await caller(service)).ask(request("/change", "POST", b"x" * 60_000)))[0]


def test_answers_that_clients_do_not_read_are_bounded_together():
    # guards against: answers that wait in write buffers for clients that do not read
    async def scenario():
        async with running(Peer(ok(b"x" * 1_000_000)), sockets=1024, memory_mb=MEMORY_MB) as service:
            budget, counts = service.dispatcher.budgets.unsent, service.dispatcher.counts
            open_sockets = []
            for answered in range(1, UPSTREAMS):
                sock, client = await connected(service, receive=4096)
                send_buffer(client, 4096)
                open_sockets.append(sock)
                sock.sendall(request())
                while counts["delivered"] < answered:
                    await asyncio.sleep(0)
                transports = [client.transport for client in service.clients.open]
                while any(transport.is_closing() for transport in transports):
                    await asyncio.sleep(0)
                    transports = [client.transport for client in service.clients.open]
                assert sum(transport.get_write_buffer_size() for transport in transports) <= budget.limit
            assert counts["over_unsent_memory"]

    play(scenario)


@pytest.mark.parametrize("kind", ["heads", "chunks"])
def test_spoilt_answers_together_cannot_exhaust_the_memory(kind):
    # guards against: heads and small chunks of upstreams' answers, which weigh many times their bytes
    head = b"HTTP/1.1 200 OK\r\n"
    spoilt = head + (b"A: 1\r\n" * 50_000 if kind == "heads" else CHUNKED + b"2\r\nxx\r\n" * 50_000)

    async def scenario():
        peers = [Peer(spoilt) for _ in range(UPSTREAMS)]
        async with running(*peers, sockets=1024, memory_mb=MEMORY_MB) as service:
            clients = [await caller(service) for _ in range(UPSTREAMS)]
            with bounded_memory(PART_BYTES + UPSTREAMS * len(spoilt)):  # the servers' own write buffers
                for client in clients:
                    client.writer.write(request("/change", "POST", b"x"))
                while sum(len(peer.requests) for peer in peers) < UPSTREAMS // 2:
                    await asyncio.sleep(0)
                connections = service.dispatcher.upstreams.open
                while any(c.exchange and unread(c.transport, select.POLLIN) for c in connections):
                    await asyncio.sleep(0)
            budget = service.dispatcher.budgets.answers
            assert budget.most_held <= budget.limit + reading.READ_BYTES

    play(scenario)


def test_unfinished_updates_of_the_list_service_are_bounded_together(monkeypatch):
    # guards against: each call holding a long line, which are several times the longest line together
    async def scenario():
        registry = Registry()
        async with running(registry=registry, known=[], memory_mb=MEMORY_MB) as service:
            await heard(service, registry)
            budget = service.dispatcher.budgets.list_updates
            await registry.say(b'{"rev":4,"all":false,"targets":[' + b" " * budget.limit, 1 << 16)
            while len(registry.requests) < 2:  # the call has ended, and another one is made
                await asyncio.sleep(0)
                assert budget.held <= budget.limit + 300_000

    play(scenario)


def test_one_iteration_of_the_event_loop_reads_a_bounded_amount(monkeypatch):
    # guards against: some hundred connections at full speed, which kept the event loop for seconds
    read = [0]

    async def scenario():
        received, renew = reading.ReadScheduler.received, reading.ReadScheduler._renew

        def counted(reads, count, transport):
            read[-1] += count
            return received(reads, count, transport)

        def renewed(reads):
            read.append(0)
            renew(reads)

        monkeypatch.setattr(reading.ReadScheduler, "received", counted)
        monkeypatch.setattr(reading.ReadScheduler, "_renew", renewed)
        async with running(Peer(), sockets=1024) as service:
            for sock in await flood(service, SENT["bodies in chunks of two bytes"], CLIENTS):
                sock.close()
        most = reading.ITERATION_BYTES + reading.READ_BYTES + CLIENTS * reading.SHORT_READ_BYTES
        assert sum(read) > 2 * most and max(read) <= most

    play(scenario)


def test_unfinished_messages_on_links_between_balancers_are_bounded_together(monkeypatch):
    # guards against: a megabyte of an unfinished message on each of some hundred links
    monkeypatch.setattr(links, "MAX_UNFINISHED_BYTES", 1 << 20, raising=False)

    async def scenario():
        loop = asyncio.get_running_loop()
        own = Entry("n0", "127.0.0.1:1", "a", 1, 0, ALIVE)
        nothing: Callable[..., None] = lambda *args: None  # noqa: E731
        here = links.Links(loop, "bank", SimpleNamespace(warning=nothing), lambda: own, *[nothing] * 4)
        at = await here.listen(("127.0.0.1", 0))
        half = frames.HEADER.pack(frames.MAGIC, frames.VERSION, 500_000, 0) + b"x" * 200_000
        peers = [await asyncio.open_connection(*at) for _ in range(20)]
        for _, writer in peers:
            writer.write(half)
        ended = 0
        while ended < 14:  # five of them fit
            await asyncio.sleep(0)
            ended = here.refused
            assert sum(len(link._reader._buffer) for link in here.open) <= (1 << 20) + 200_000
        here.close()

    play(scenario)


WORDY = {
    "a head of short fields": b"a:\r\n" * 7_600,
    "trailers of short fields": CHUNKED + b"1\r\nx\r\n0\r\n" + b"a:\r\n" * 7_600,
    "chunks of one byte": CHUNKED + b"1\r\nx\r\n" * 7_600,
}


@pytest.mark.parametrize("data", WORDY.values(), ids=WORDY)
def test_the_parts_of_a_request_are_bounded_in_number(data, monkeypatch):
    # guards against usual requests that wait while hundreds of clients send heads of thousands of short
    # fields: each field and chunk is a call of the parser, however few bytes it has
    async def scenario():
        peer, calls = Peer(ok()), []

        def count_calls(name):
            real = getattr(clients.ClientConnection, name)

            def counted(conn, *parts):
                calls.append(name)
                real(conn, *parts)

            monkeypatch.setattr(clients.ClientConnection, name, counted)

        count_calls("on_header")
        count_calls("on_body")
        async with running(peer, memory_mb=MEMORY_MB) as service:
            status = (await (await caller(service)).ask(HEAD % 1 + data))[0]
            assert status in (413, 431) and not peer.requests
            assert len(calls) <= clients.MAX_FIELDS + clients.MAX_CHUNKS + 2

    play(scenario)


@pytest.mark.parametrize("fields", [clients.MAX_FIELDS - 8, clients.MAX_FIELDS + 1])
def test_as_many_fields_as_proxies_usually_take_are_taken(fields):
    async def scenario():
        peer = Peer(ok())
        async with running(peer) as service:
            more = {f"X-F{number}": "1" for number in range(fields)}
            status = (await (await caller(service)).ask(request(**more)))[0]
            assert status == (200 if fields <= clients.MAX_FIELDS else 431)

    play(scenario)
