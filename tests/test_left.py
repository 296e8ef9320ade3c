"""A request whose client disconnected while it waited is not sent to an upstream, whatever it waited for.

Each test delays one event (a connection is established, there is capacity, the event batch runs) until the
other one, the client's disconnect, has happened. A late connection stands for an upstream whose accept queue
is full, as on an overloaded machine.
"""

from __future__ import annotations

import asyncio
import socket
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager, suppress

import pytest
from stand_ins import RESET, SILENT, Caller, Peer, caller, request, running, target
from test_clients import KEY, play

from ospreyline.net import upstreams
from ospreyline.net.clients import ClientConnection
from ospreyline.net.dispatcher import clock
from ospreyline.net.sockets import PeerState

CANCEL = pytest.mark.parametrize("cancel", [True, False])
KINDS = pytest.mark.parametrize("path", ["/read", "/tag", "/change"])


class Gate:
    """An upstream to which connections are established only once `open` is set; `got`: bytes received."""

    def __init__(self) -> None:
        self.port = 0
        self.got = bytearray()
        self.connecting = asyncio.Event()  # a connection was requested
        self.open = asyncio.Event()

    async def held(self, loop: asyncio.AbstractEventLoop, monkeypatch: pytest.MonkeyPatch) -> Gate:
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = server.sockets[0].getsockname()[1]
        real = upstreams.ConnectionPool._connect

        async def late(peer: upstreams.ConnectionPool, conn: upstreams.UpstreamConnection) -> None:
            if peer.address[1] == self.port:
                self.connecting.set()
                await self.open.wait()
            await real(peer, conn)

        monkeypatch.setattr(upstreams.ConnectionPool, "_connect", late)
        return self

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while data := await reader.read(65_536):
            self.got += data
        writer.close()


def asked(path: str, **fields: str) -> bytes:
    return request(
        path,
        "GET" if path == "/read" else "POST",
        b"" if path == "/read" else b"x",
        **(KEY if path == "/tag" else {}),
        **fields,
    )


def leave(client: Caller, how: str) -> None:
    if how == "reset":
        client.writer.transport.abort()
    else:
        client.writer.close()


@asynccontextmanager
async def gated(monkeypatch: pytest.MonkeyPatch, cancel: bool) -> AsyncIterator[tuple[object, Gate]]:
    gate = await Gate().held(asyncio.get_running_loop(), monkeypatch)
    async with running(known=[target("u0", gate.port)], Cancel=cancel, ConnectTimeoutUs=4_000_000) as service:
        yield service, gate


async def passes(loops: int = 20) -> None:
    for _ in range(loops):
        await asyncio.sleep(0)


@CANCEL
@KINDS
@pytest.mark.parametrize("how", ["end", "reset"])
def test_one_that_left_while_its_connection_came_up_is_not_written(path, cancel, how, monkeypatch):
    async def scenario():
        async with gated(monkeypatch, cancel) as (service, gate):
            client = await caller(service)
            client.writer.write(asked(path))
            await asyncio.wait_for(gate.connecting.wait(), 5)
            leave(client, how)
            while service.clients.open:
                await asyncio.sleep(0)
            gate.open.set()
            await passes()
            assert not service.dispatcher.visits and not service.dispatcher.upstreams.pools[0].exchanges
            # the next request reaches the upstream, and none did before it
            client = await caller(service)
            client.writer.write(request(trace="next"))
            while b"next" not in gate.got:
                await asyncio.sleep(0)
            assert (
                gate.got.count(b"X-Trace-Id") == 1
                and service.dispatcher.counts["unsent"] + (service.dispatcher.counts["cancelled"]) == 1
            )

    play(scenario)


@CANCEL
@KINDS
def test_one_that_stays_while_its_connection_comes_up_is_written(path, cancel, monkeypatch):
    async def scenario():
        async with gated(monkeypatch, cancel) as (service, gate):
            client = await caller(service)
            client.writer.write(asked(path, trace="stays"))
            await asyncio.wait_for(gate.connecting.wait(), 5)
            gate.open.set()
            while b"stays" not in gate.got:
                await asyncio.sleep(0)
            leave(client, "end")
            while service.clients.open:
                await asyncio.sleep(0)
            # it was sent whole, so it may have executed: it does not count as unsent
            await passes()
            assert service.dispatcher.counts["unsent"] == 0
            assert bool(service.dispatcher.upstreams.pools[0].exchanges) is not cancel

    play(scenario)


@CANCEL
def test_one_that_left_in_the_turn_of_its_repeat_is_not_sent_again(cancel):
    async def scenario():
        peers = Peer(RESET), Peer(RESET)
        async with running(*peers, Cancel=cancel) as service:
            client = await caller(service)
            dispatcher, real = service.dispatcher, service.dispatcher.ended

            def ended(now, pending, number, outcome):
                # both events are pending when the event batch begins: the reset first, then the disconnect
                dispatcher.client_left(next(iter(service.clients.open)))
                real(now, pending, number, outcome)

            dispatcher.ended = ended
            client.writer.write(request())
            await peers[0].until(lambda: True)
            while dispatcher.visits or not dispatcher.counts["reset"]:
                await asyncio.sleep(0)
            await passes()
            assert len(peers[0].requests) + len(peers[1].requests) == 1

    play(scenario)


@CANCEL
@KINDS
def test_one_that_left_while_it_was_held_is_not_sent(path, cancel, monkeypatch):
    async def scenario():
        peer = Peer()
        async with running(peer, Cancel=cancel) as service:
            balancer, place = service.dispatcher.balancer, service.dispatcher.balancer._choose_and_send
            monkeypatch.setattr(balancer, "_choose_and_send", lambda *_: False)
            balancer._delivery_rate = 100.0
            client = await caller(service)
            client.writer.write(asked(path))
            while not balancer._queued:
                await asyncio.sleep(0)
            leave(client, "end")
            while service.clients.open:
                await asyncio.sleep(0)
            monkeypatch.setattr(balancer, "_choose_and_send", place)
            balancer._check_queue(clock())
            await passes()
            assert not balancer._queued and not service.dispatcher.visits and not peer.requests

    play(scenario)


@CANCEL
@KINDS
@pytest.mark.parametrize("idle", [True, False])
def test_one_whose_leaving_lies_unread_in_its_socket_is_not_sent(path, cancel, idle, monkeypatch):
    # After a long event batch or a stall of the process, timers and event batches run before sockets are
    # read.
    async def scenario():
        peer = Peer()
        async with running(peer, Cancel=cancel) as service:
            balancer, place = service.dispatcher.balancer, service.dispatcher.balancer._choose_and_send
            if idle:  # with an idle connection nothing else comes between the event batch and the write
                monkeypatch.setattr(upstreams, "SETTLE_MS", 0.0)
                assert (await (await caller(service)).ask(request()))[0] == 200
            before = len(peer.requests)
            monkeypatch.setattr(balancer, "_choose_and_send", lambda *_: False)
            balancer._delivery_rate = 100.0
            sock = socket.create_connection(service.at)
            sock.sendall(asked(path))
            while not balancer._queued:
                await asyncio.sleep(0)
            monkeypatch.setattr(balancer, "_choose_and_send", place)
            sock.close()  # from here to the event batch nothing is read
            balancer._check_queue(clock())
            service.dispatcher._dispatch()
            while service.dispatcher.visits:
                await asyncio.sleep(0)
            await passes()
            assert len(peer.requests) == before

    play(scenario)


async def flood(sock: socket.socket, connection: ClientConnection) -> None:
    """Sends until neither side's buffer takes more, while the process reads nothing of it."""
    connection.transport.pause_reading()
    sock.setblocking(False)
    with suppress(BlockingIOError):
        while True:
            sock.send(b"x" * 65_536)


@CANCEL
@KINDS
@pytest.mark.parametrize("leaves", [True, False])
def test_one_whose_end_stands_behind_unread_bytes_is_not_sent(path, cancel, leaves, monkeypatch):
    # guards against an attempt that begins long after its client closed: as long as the receive window is
    # full, the client's machine keeps the FIN back, and only reading on tells
    async def scenario():
        async with gated(monkeypatch, cancel) as (service, gate):
            sock = socket.create_connection(service.at)
            sock.sendall(asked(path))
            await asyncio.wait_for(gate.connecting.wait(), 5)
            connection = next(iter(service.clients.open))
            if leaves:
                await flood(sock, connection)
                sock.close()
            else:
                connection.transport.pause_reading()
                sock.sendall(b"more than its request")
            assert connection.state() is PeerState.UNREAD
            gate.open.set()
            await passes()
            assert not gate.got
            connection.transport.resume_reading()
            if leaves:
                while service.dispatcher.visits:
                    await asyncio.sleep(0)
                await passes()
                assert not gate.got
            else:
                while not gate.got:
                    await asyncio.sleep(0.001)
                sock.close()

    play(scenario)


@KINDS
def test_one_that_waits_for_its_client_to_its_time_counts_against_no_upstream(path, monkeypatch):
    # guards against one client that has upstreams ejected: it goes on sending behind its requests, so that
    # their attempts never begin
    async def scenario():
        peer = Peer()
        async with running(peer) as service:
            monkeypatch.setattr(ClientConnection, "state", lambda connection: PeerState.UNREAD)
            answers = [
                (await (await caller(service)).ask(asked(path, X_Expires_In="0.1")))[0] for _ in range(6)
            ]
            assert set(answers) <= {502, 503, 504} and not peer.requests
            assert service.dispatcher.counts["unsent"] and not service.dispatcher.counts["unreached"]
            monkeypatch.undo()
            assert (await (await caller(service)).ask(asked(path)))[0] == 200

    play(scenario)


@CANCEL
def test_one_that_left_while_its_bytes_were_in_our_buffer_is_withdrawn(cancel, monkeypatch):
    async def scenario():
        peer = Peer(SILENT)
        async with running(peer, Cancel=cancel) as service:
            # the upstream accepts no bytes: what was written stays in the transport's buffer
            monkeypatch.setattr(upstreams.UpstreamConnection, "write_buffer_empty", lambda conn: False)
            client = await caller(service)
            client.writer.write(asked("/change"))
            while not any(e.conn for e in service.dispatcher.upstreams.pools[0].exchanges):
                await asyncio.sleep(0)
            leave(client, "end")
            while service.dispatcher.visits:
                await asyncio.sleep(0)
            # withdrawn at once: with its connection closed the request can never arrive whole
            assert not service.dispatcher.upstreams.open
            assert service.dispatcher.counts["unsent"] + service.dispatcher.counts["cancelled"] == 1

    play(scenario)


def test_one_that_left_in_the_pass_in_which_it_came_is_not_taken():
    async def scenario():
        peer = Peer()
        async with running(peer) as service:
            dispatcher, real, met = service.dispatcher, service.dispatcher.accept_request, []

            def take(asked, client):
                taken = real(asked, client)
                dispatcher.client_left(client)  # both events are pending when the event batch begins
                met.append(client)
                return taken

            dispatcher.accept_request = take
            client = await caller(service)
            client.writer.write(request())
            while not met:
                await asyncio.sleep(0)
            await passes()
            assert not peer.requests and not dispatcher.visits and not dispatcher.counts["faults"]

    play(scenario)
