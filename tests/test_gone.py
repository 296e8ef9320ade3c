"""Nothing begins for a client that closed or cancelled, even if the event loop stalls just then.

Every scenario places the client's leaving and a stall of the loop at one point between the request and the
first byte that an upstream sees of it. The stall is a callback that blocks the loop, so the leaving is unread
when the loop continues; whatever begins then begins at least that much later than the leaving. Nothing may
begin: neither a connection that is opened only for this client nor a single byte.
"""

from __future__ import annotations

import asyncio
import json
import os
import signal
import socket
import struct
import subprocess
import sys
import time
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager, suppress
from pathlib import Path
from typing import Any

import pytest
from stand_ins import (
    RESET,
    SILENT,
    Caller,
    Peer,
    Registry,
    caller,
    configuration,
    ok,
    request,
    running,
    stop_process,
    target,
)
from test_clients import KEY, play
from test_handover import reload
from test_left import Gate, asked, passes
from test_service import moved

from ospreyline.fleet.takeover import Takeover
from ospreyline.net import upstreams
from ospreyline.net.dispatcher import clock
from ospreyline.net.retry_proof import make_proof, visit_suffix
from ospreyline.net.service import Service
from ospreyline.net.takeover_adapter import TakeoverAdapter
from ospreyline.operator_settings import TakeoverSettings as On

SECRET = "the-secret-of-the-client"
WAYS = pytest.mark.parametrize("how", ["end", "reset", "half"])
LATE_BY = pytest.mark.parametrize("late", [50, 300])
CANCEL = pytest.mark.parametrize("cancel", [True, False])


def open_client(service: Service) -> socket.socket:
    """A client socket that the scenario writes to directly, also while the loop is blocked."""
    return socket.create_connection(service.at)


def leave(sock: socket.socket, how: str = "end") -> None:
    if how == "half":
        return sock.shutdown(socket.SHUT_WR)
    if how == "reset":
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    sock.close()


class Delay:
    """Stall the loop once: call `first`, then block for `ms`, so that its effect stays unread."""

    def __init__(self, ms: float, first: Callable[[], None] = lambda: None) -> None:
        self.ms, self.first, self.done = ms, first, False

    def __call__(self) -> None:
        if not self.done:
            self.done = True
            self.first()
            time.sleep(self.ms / 1e3)

    def before(self, call: Callable[..., Any]) -> Callable[..., Any]:
        def late(*args: Any) -> Any:
            self()
            return call(*args)

        return late

    def after(self, call: Callable[..., Any]) -> Callable[..., Any]:
        async def late(*args: Any) -> Any:
            got = await call(*args)
            self()
            return got

        return late


async def until_settled(service: Service) -> None:
    """Wait until no visit or exchange is left, and what was opened or written has arrived."""
    while service.dispatcher.visits or any(
        peer.exchanges for peer in service.dispatcher.upstreams.pools.values()
    ):
        await asyncio.sleep(0)
    await passes()


async def only_next_served(service: Service, *peers: Peer) -> None:
    """The next request is served and nothing of earlier ones arrives: it would have been sent before."""
    await until_settled(service)
    seen = [len(peer.requests) for peer in peers]
    assert (await (await caller(service)).ask(request(trace="next")))[0] == 200
    assert sum(len(peer.requests) for peer in peers) == sum(seen) + 1


def block_capacity(service: Service, monkeypatch: pytest.MonkeyPatch) -> Callable[[], None]:
    """Queue all visits that arrive; call the result to give them capacity."""
    balancer, place = service.dispatcher.balancer, service.dispatcher.balancer._choose_and_send
    monkeypatch.setattr(balancer, "_choose_and_send", lambda *_: False)
    balancer._delivery_rate = 1e6  # without this, visits would be bounced for the expected wait
    return lambda: monkeypatch.setattr(balancer, "_choose_and_send", place)


async def open_idle_connection(service: Service, monkeypatch: pytest.MonkeyPatch) -> None:
    """Open an idle connection to the upstream."""
    monkeypatch.setattr(upstreams, "SETTLE_MS", 0.0)
    assert (await (await caller(service)).ask(request()))[0] == 200


@WAYS
@LATE_BY
@pytest.mark.parametrize("place", ["turn", "write", "connect", "connected"])
def test_nothing_begins_for_one_that_left_on_the_way_to_the_write(place, late, how, monkeypatch):
    async def scenario():
        peer = Peer()
        async with running(peer) as service:
            if place in ("turn", "write"):
                await open_idle_connection(service, monkeypatch)
            begun = len(peer.requests), len(peer.writers)
            sock = open_client(service)
            delay = Delay(late, lambda: leave(sock, how))
            of, name, wrap = {
                # the upstream is chosen and the batch takes long
                "turn": (upstreams.ConnectionPool, "run", delay.before),
                "write": (upstreams, "unread", delay.before),  # the last check of an idle connection
                # a loop iteration between choosing and connecting
                "connect": (upstreams.ConnectionPool, "_open_connection", delay.before),
                # connected, and the loop stalled
                "connected": (upstreams.ConnectionPool, "_connect", delay.after),
            }[place]
            with monkeypatch.context() as patch:
                patch.setattr(of, name, wrap(getattr(of, name)))
                sock.sendall(request())
                while not delay.done:
                    await asyncio.sleep(0)
                await until_settled(service)
            # A connection established before the leaving is allowed; one opened after it counts as a
            # beginning.
            assert (len(peer.requests), len(peer.writers) - (place == "connected")) == begun
            assert (
                peer.open == (place in ("turn", "write"))
                and len(service.dispatcher.upstreams.open) == peer.open
            )
            await only_next_served(service, peer)

    play(scenario)


@WAYS
@LATE_BY
@pytest.mark.parametrize("kept", [True, False])
def test_nothing_begins_for_one_that_left_while_it_was_held(kept, late, how, monkeypatch):
    async def scenario():
        peer = Peer()
        async with running(peer) as service:
            if kept:
                await open_idle_connection(service, monkeypatch)
            begun = len(peer.requests), len(peer.writers)
            free_capacity = block_capacity(service, monkeypatch)
            sock = open_client(service)
            sock.sendall(request())
            while not service.dispatcher.balancer._queued:
                await asyncio.sleep(0)
            Delay(late, lambda: leave(sock, how))()
            free_capacity()
            service.dispatcher.balancer._check_queue(clock())
            service.dispatcher._dispatch()  # at once; nothing is read before
            await until_settled(service)
            assert (len(peer.requests), len(peer.writers)) == begun
            await only_next_served(service, peer)

    play(scenario)


@WAYS
@LATE_BY
def test_no_further_attempt_begins_for_one_that_left(late, how, monkeypatch):
    async def scenario():
        peers = Peer(RESET), Peer(RESET)
        async with running(*peers) as service:
            sock = open_client(service)
            delay = Delay(late, lambda: leave(sock, how))
            monkeypatch.setattr(service.dispatcher, "ended", delay.before(service.dispatcher.ended))
            sock.sendall(asked("/tag"))
            while not delay.done:
                await asyncio.sleep(0)
            await until_settled(service)
            assert sum(len(peer.requests) for peer in peers) == sum(len(peer.writers) for peer in peers) == 1
            for peer in peers:
                peer.answers = [ok()]
            await only_next_served(service, *peers)

    play(scenario)


@LATE_BY
@pytest.mark.parametrize("kept", [True, False])
def test_of_many_sends_in_a_long_turn_none_begins_once_its_client_left(kept, late, monkeypatch):
    async def scenario():
        many, before, peer = 40, 10, Peer()
        async with running(peer) as service:
            if kept:
                await open_idle_connection(service, monkeypatch)
            begun = len(peer.requests), len(peer.writers)
            monkeypatch.setattr(service.dispatcher.balancer, "_has_capacity", lambda *_: True)
            socks = [open_client(service) for _ in range(many)]
            while len(service.clients.open) < many:
                await asyncio.sleep(0)
            delay, run = Delay(late, lambda: [leave(sock) for sock in socks]), upstreams.ConnectionPool.run
            ran, turns = [], set()

            def nth(self, exchange, *args):
                ran.append(exchange)
                turns.add(service.dispatcher._last_batch_at)
                if len(ran) == before:
                    delay()
                run(self, exchange, *args)

            monkeypatch.setattr(upstreams.ConnectionPool, "run", nth)
            for sock in socks:
                sock.sendall(request())  # read in one loop iteration and sent in one batch
            while not delay.done:
                await asyncio.sleep(0)
            assert len(ran) >= many and len(turns) == 1
            await until_settled(service)
            # Only the first was written, on the idle connection; the others still had to connect.
            assert (len(peer.requests), len(peer.writers)) == (begun[0] + kept, begun[1])

    play(scenario)


@LATE_BY
@pytest.mark.parametrize("where", ["held", "connecting"])
def test_hundreds_that_go_in_a_burst_leave_nothing_behind(where, late, monkeypatch):
    async def scenario():
        many = 300
        gate = await Gate().held(asyncio.get_running_loop(), monkeypatch)
        async with running(
            known=[target("u0", gate.port)], sockets=2_048, ConnectTimeoutUs=4_000_000
        ) as service:
            if where == "held":
                free_capacity = block_capacity(service, monkeypatch)
            else:
                monkeypatch.setattr(service.dispatcher.balancer, "_has_capacity", lambda *_: True)
            socks = [open_client(service) for _ in range(many)]
            for sock in socks:
                sock.sendall(request())

            def waiting() -> int:
                peer = service.dispatcher.upstreams.pools[0]
                return service.dispatcher.balancer._queued if where == "held" else len(peer.exchanges)

            while waiting() < many:
                await asyncio.sleep(0)
            # all connections are established, or capacity appears, in the iteration in which they leave
            gate.open.set()
            ways = "end", "reset", "half"
            Delay(late, lambda: [leave(sock, ways[i % 3]) for i, sock in enumerate(socks)])()
            if where == "held":
                free_capacity()
                service.dispatcher.balancer._check_queue(clock())
                service.dispatcher._dispatch()
            await until_settled(service)
            while service.clients.open:
                await asyncio.sleep(0)
            assert not gate.got and not service.dispatcher.upstreams.open and not service.dispatcher._open_ids
            assert not service.dispatcher.balancer._queued and not service.dispatcher.counts["faults"]
            client = await caller(service)
            client.writer.write(request(trace="next"))
            while b"next" not in gate.got:
                await asyncio.sleep(0)
            assert gate.got.count(b"X-Trace-Id") == 1

    play(scenario)


@pytest.mark.parametrize("how", ["left", "time-out"])
def test_what_is_ended_while_it_lay_in_our_buffer_is_never_whole_at_its_upstream(how, monkeypatch):
    # The loop closes a connection one iteration later; in that iteration a request reported as never sent was
    # flushed completely.
    async def scenario():
        server = socket.socket()
        server.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4_096)
        server.bind(("127.0.0.1", 0))
        server.listen()
        server.setblocking(False)
        made = upstreams.UpstreamConnection.connection_made

        def narrow(conn: upstreams.UpstreamConnection, transport: asyncio.BaseTransport) -> None:
            transport.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4_096)
            made(conn, transport)

        monkeypatch.setattr(upstreams.UpstreamConnection, "connection_made", narrow)
        body = b"x" * 60_000
        async with running(known=[target("u0", server.getsockname()[1])]) as service:
            sock, loop, got = open_client(service), asyncio.get_running_loop(), bytearray()
            sock.sendall(request("/change", "POST", body))
            conn, _ = await loop.sock_accept(server)
            while not service.dispatcher.upstreams.pools[0].exchanges:
                await asyncio.sleep(0)
            (exchange,) = service.dispatcher.upstreams.pools[0].exchanges
            while exchange.stage is not upstreams.ExchangeStage.WRITING:
                await asyncio.sleep(0)
            # all but a last piece, which is sent as soon as the upstream reads more
            while exchange.conn.transport.get_write_buffer_size() > 8_000:
                got.extend(await loop.sock_recv(conn, 1_000))
                await asyncio.sleep(0)
            assert not exchange.conn.write_buffer_empty()
            # in one iteration the upstream reads more and the exchange ends
            conn.setblocking(False)
            with suppress(BlockingIOError):
                while data := conn.recv(65_536):
                    got.extend(data)
            if how == "left":
                leave(sock)
                next(iter(service.clients.open)).eof_received()
                service.dispatcher._dispatch()
            else:
                exchange.fail(upstreams.FailureReason.TIMED_OUT)
            with suppress(ConnectionResetError):
                while data := await loop.sock_recv(conn, 65_536):
                    got.extend(data)
            assert len(got) < len(body)
            assert service.dispatcher.counts["unsent" if how == "left" else "unreached"] == 1
            conn.close()
            server.close()

    play(scenario)


# visits that wait for a reload's batch, for the timer's extra iteration, or for a grant of takeover


@LATE_BY
def test_nothing_begins_for_one_that_left_before_a_reloads_turn(late):
    async def scenario():
        peer = Peer()
        async with running(peer) as service:
            sock, dispatcher, take, met = (
                open_client(service),
                service.dispatcher,
                service.dispatcher.accept_request,
                [],
            )

            def taken(asked, client):
                met.append(take(asked, client))
                Delay(late, lambda: leave(sock))()
                reload(service, ["change", "tag", "read"])  # processes the batch of queued events at once
                return met[0]

            dispatcher.accept_request = taken
            sock.sendall(request())
            while not met:
                await asyncio.sleep(0)
            dispatcher.accept_request = take
            await until_settled(service)
            assert not peer.requests and not peer.writers
            await only_next_served(service, peer)

    play(scenario)


@LATE_BY
def test_one_that_left_before_an_alarm_that_is_late_is_not_even_placed(late, monkeypatch):
    async def scenario():
        peer = Peer()
        async with running(peer) as service:
            free_capacity, dispatcher, balancer = (
                block_capacity(service, monkeypatch),
                service.dispatcher,
                service.dispatcher.balancer,
            )
            sock = open_client(service)
            sock.sendall(request())
            while not balancer._queued:
                await asyncio.sleep(0)
            dispatcher._loop_timer.cancel()
            # due now, and the loop stalls from now on
            dispatcher._timers = [(clock(), -1, balancer._check_queue)]
            Delay(late, lambda: leave(sock))()  # longer than `LATE_TIMER_MS`
            free_capacity()
            placed, place = [], balancer._choose_and_send
            monkeypatch.setattr(
                balancer, "_choose_and_send", lambda *args: placed.append(args) or place(*args)
            )
            dispatcher._on_loop_timer()
            await until_settled(service)
            assert not placed and not peer.requests and not peer.writers

    play(scenario)


class TakeoverBank:
    """Takeover on one balancer, and acceptors whose messages the scenario delivers."""

    def __init__(self, service: Service) -> None:
        dispatcher = service.dispatcher
        dispatcher.takeover_adapter = TakeoverAdapter(
            dispatcher, On(on=True, wait_ms=4_000.0), "m0", "a", 1, 1, 3
        )
        self.dispatcher, self.own = dispatcher, dispatcher.takeover_adapter.takeover
        self.at = {
            name: Takeover(name, "a", 1, lambda: 0.5, 4_000.0, 30_000.0, False, 3)
            for name in ("m1", "m2", "m3")
        }
        everybody = {"m0": self.own, **self.at}
        for name, one in everybody.items():
            one.set_members(clock(), [(other, "a") for other in everybody if other != name])
            for other in everybody:
                if other != name:
                    one.link_opened(clock(), other)
        self.deliver()

    def deliver(self) -> None:
        """Deliver all pending messages; the resulting events are processed in the next batch."""
        everybody = {"m0": self.own, **self.at}
        while any(one.out for one in everybody.values()):
            for name, one in everybody.items():
                out, one.out = one.out, []
                for to, message in out:
                    everybody[to].receive(clock(), name, message)
        self.dispatcher.enqueue(self.dispatcher.process_takeover_events)


@CANCEL
@pytest.mark.parametrize(("read", "late"), [(True, 0), (False, 50), (False, 300)])
def test_nothing_begins_for_one_that_left_while_it_waited_for_a_permit(read, late, cancel):
    async def scenario():
        peer = Peer()
        async with running(peer, Cancel=cancel) as service:
            bank, dispatcher = TakeoverBank(service), service.dispatcher
            sock = open_client(service)
            sock.sendall(asked("/change"))
            while not dispatcher.takeover_adapter._waiting:
                await asyncio.sleep(0)
            if read:
                leave(sock)
                while service.clients.open:
                    await asyncio.sleep(0)
            else:
                Delay(late, lambda: leave(sock))()
            bank.deliver()
            dispatcher._dispatch()  # the grant is there, and nothing was read before
            await until_settled(service)
            assert not peer.requests and not peer.writers
            # and it is removed: no message about it will come
            assert (
                not dispatcher._open_ids and not dispatcher.takeover_adapter._waiting and not bank.own.visits
            )

    play(scenario)


def test_nothing_begins_for_one_that_left_while_it_waited_for_its_claim():
    async def scenario():
        peer = Peer()
        async with running(peer) as service:
            bank, dispatcher = TakeoverBank(service), service.dispatcher
            key = KEY["Idempotency_Key"].encode()
            proof = make_proof(SECRET.encode(), b"7", b"POST", b"/tag", key, b"x")
            bank.at["m1"].admit(
                clock(),
                1,
                f"tag 7 {visit_suffix(proof)}",
                asked_kind := next(p.kind for p in dispatcher._config.deployment.prefixes if p.name == "tag"),
                b"tbody",
                2_000.0,
                repeat_harmless=False,
            )
            bank.at["m1"].register_queued(clock(), 1)
            bank.deliver()
            sock = open_client(service)
            sock.sendall(asked("/tag", trace="7", X_Second_Try="same", X_Retry_Secret=SECRET))
            while not dispatcher.takeover_adapter._retry_deadlines:
                await asyncio.sleep(0)
            assert asked_kind is not None
            leave(sock)
            bank.deliver()
            dispatcher._dispatch()
            await until_settled(service)
            assert (
                not peer.requests
                and not peer.writers
                and not dispatcher._open_ids
                and not dispatcher.takeover_adapter._retry_deadlines
            )

    play(scenario)


@pytest.mark.parametrize("again", [False, True])
def test_what_goes_on_without_its_client_makes_no_further_attempt_until_it_is_asked_for_again(again):
    # With takeover a fetch in progress continues and its answer is stored; but nothing new begins for a
    # client that left.
    async def scenario():
        peers = Peer(SILENT), Peer(SILENT)
        async with running(*peers) as service:
            TakeoverBank(service)
            sock, dispatcher = open_client(service), service.dispatcher
            bank = TakeoverBank(service)
            sock.sendall(asked("/tag", trace="7", X_Retry_Secret=SECRET))
            while not dispatcher.takeover_adapter._waiting:
                await asyncio.sleep(0)
            bank.deliver()
            while not sum(len(peer.requests) for peer in peers):
                await asyncio.sleep(0)
            leave(sock)
            while service.clients.open:
                await asyncio.sleep(0)
            await passes()
            assert dispatcher.visits
            if again:
                client = await caller(service)
                client.writer.write(asked("/tag", trace="7", X_Second_Try="same", X_Retry_Secret=SECRET))
                while not dispatcher.counts["joined"]:
                    await asyncio.sleep(0)
            for peer in peers:
                peer.answers = [ok(b"once more")]
                for writer in peer.writers:
                    writer.transport.abort()  # the first attempt fails
            while not dispatcher.counts["reset"]:
                await asyncio.sleep(0)
            for _ in range(20):
                bank.deliver()
                await asyncio.sleep(0)
            if again:
                assert (await client.answer())[2] == b"once more"
            else:
                while dispatcher.visits:
                    bank.deliver()
                    await asyncio.sleep(0)
            assert sum(len(peer.requests) for peer in peers) == 1 + again

    play(scenario)


# a process that is stopped


@asynccontextmanager
async def serve_process(tmp_path: Path, upstream: int) -> AsyncIterator[tuple[int, int]]:
    """A `serve` process, ready, in front of this upstream: its process id and port."""
    port = free_port()
    settings = configuration([target("u0", upstream)], ConnectTimeoutUs=4_000_000)
    file = tmp_path / "balancer.json"
    file.write_text(json.dumps(settings | {"listen": f"127.0.0.1:{port}"}))
    started = subprocess.Popen(
        [sys.executable, "-m", "ospreyline", "serve", str(file)],
        stdout=subprocess.DEVNULL,
        stderr=subprocess.DEVNULL,
    )
    try:
        await serving(port)
        yield started.pid, port
    finally:
        started.send_signal(signal.SIGCONT)
        started.kill()
        started.wait()


@pytest.mark.parametrize("kept", [True, False])
def test_a_process_that_was_stopped_begins_nothing_for_those_that_left_meanwhile(kept, tmp_path):
    async def scenario():
        peer = await Peer().start()
        async with serve_process(tmp_path, peer.port) as (pid, port):
            if kept:  # an idle connection to the upstream exists, and the clients are accepted already
                assert (await (await dial(port)).ask(request()))[0] == 200
                await asyncio.sleep(upstreams.SETTLE_MS / 1e3)
            begun = len(peer.requests), len(peer.writers)
            socks = [socket.create_connection(("127.0.0.1", port)) for _ in range(12)]
            if kept:
                await asyncio.sleep(0.05)
            stop_process(pid)
            for i, sock in enumerate(socks):
                sock.sendall(asked(("/read", "/tag", "/change")[i % 3]))
            for i, sock in enumerate(socks):
                leave(sock, ("end", "reset", "half", "half")[i // 3])
            await asyncio.sleep(0.15)
            os.kill(pid, signal.SIGCONT)
            assert (await (await dial(port)).ask(request(trace="next")))[0] == 200
            assert len(peer.requests) == begun[0] + 1 and len(peer.writers) <= begun[1] + 1

    play(scenario)


def connecting(port: int) -> bool:
    """Whether a connection attempt to this port is unanswered (SYN sent) on this machine."""
    rows = (row.split() for row in Path("/proc/net/tcp").read_text().splitlines()[1:])
    return any(row[2].endswith(f":{port:04X}") and row[3] == "02" for row in rows)


def test_a_process_that_was_stopped_while_it_connected_writes_nothing_for_those_that_left(tmp_path):
    async def scenario():
        server = socket.create_server(("127.0.0.1", 0), backlog=0)
        server.setblocking(False)
        at = server.getsockname()
        async with serve_process(tmp_path, at[1]) as (pid, port):
            for how in ("end", "reset", "half"):
                # the listener's backlog is full: no more connections are established
                full = [socket.create_connection(at)]
                sock = socket.create_connection(("127.0.0.1", port))
                sock.sendall(asked("/change"))
                while not connecting(at[1]):
                    await asyncio.sleep(0.005)
                stop_process(pid)
                leave(sock, how)
                await asyncio.sleep(0.15)
                full.append(server.accept()[0])  # from here on its connection can be established
                os.kill(pid, signal.SIGCONT)
                while connecting(at[1]):
                    await asyncio.sleep(0.005)
                with suppress(BlockingIOError, ConnectionResetError):
                    while True:  # it may be established before the process continues; not a byte is written
                        late, _ = server.accept()
                        assert not await asyncio.get_running_loop().sock_recv(late, 65_536)
                for one in full:
                    one.close()
            client = await dial(port)
            client.writer.write(request(trace="next"))
            while True:
                await asyncio.sleep(0.005)
                with suppress(BlockingIOError):
                    conn, _ = server.accept()
                    break
            assert b"next" in await asyncio.get_running_loop().sock_recv(conn, 65_536)
            conn.close()
            server.close()

    play(scenario)


def free_port() -> int:
    with socket.create_server(("127.0.0.1", 0)) as server:
        return int(server.getsockname()[1])


async def dial(port: int) -> Caller:
    return Caller(*await asyncio.open_connection("127.0.0.1", port))


async def serving(port: int) -> None:
    while True:
        try:
            if (await (await dial(port)).ask(b"GET /health/ready HTTP/1.1\r\nHost: x\r\n\r\n"))[0] == 200:
                return
        except OSError:
            pass
        await asyncio.sleep(0.02)


# the time left that an attempt reports to its upstream

TIME = 0.9  # s; timeout of the clients here


class TimeLeftRecorder:
    """Records at each write, in ms: the time left that was sent, and the time that the client really had
    left."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        self.dial = 0.0  # when the client had sent the request
        self.writes: list[tuple[float, float]] = []
        start = upstreams.UpstreamConnection.start

        def noted(conn: upstreams.UpstreamConnection, exchange: upstreams.Exchange, *args: Any) -> None:
            head, left = exchange.head, 1e3 * TIME - (clock() - self.dial)

            class Seen:
                """A transport that records the header, for `Conn.start`."""

                def write(self, data: bytes) -> None:
                    reported.append(1e3 * float(data.split(b"X-Expires-In: ")[1].split(b"\r\n")[0]))
                    transport.write(data)

                def __getattr__(self, name: str) -> Any:
                    return getattr(transport, name)

            reported: list[float] = []
            transport, conn.transport = conn.transport, Seen()
            start(conn, exchange, *args)
            conn.transport = transport
            assert head == exchange.head
            self.writes.append((reported[0], left))

        monkeypatch.setattr(upstreams.UpstreamConnection, "start", noted)

    def send(self, sock: socket.socket, path: str = "/read") -> None:
        sock.sendall(asked(path, X_Expires_In=str(TIME)))
        self.dial = clock()

    def check(self, number: int, late: float) -> None:
        """There were `number` attempts, the last one after a delay of `late` ms; none reported more time than
        was left."""
        assert len(self.writes) == number
        for reported, left in self.writes:
            assert 0 < reported <= left
        reported, left = self.writes[-1]
        # the loop's timers have whole milliseconds; nor is much less reported than was left
        assert left <= 1e3 * TIME - late + 2 and reported > left - 200


async def answered(sock: socket.socket) -> int:
    sock.setblocking(False)
    got = b""
    while b"\r\n\r\n" not in got:
        got += await asyncio.get_running_loop().sock_recv(sock, 65_536)
    return int(got.split()[1])


@LATE_BY
@pytest.mark.parametrize("place", ["accept", "read", "turn", "write", "connect", "connected", "slow", "held"])
def test_what_a_first_attempt_tells_as_time_left_is_not_more_than_that(place, late, monkeypatch):
    async def scenario():
        peer = Peer()
        async with running(peer, ConnectTimeoutUs=4_000_000) as service:
            if place in ("turn", "write"):
                await open_idle_connection(service, monkeypatch)
            free_capacity = block_capacity(service, monkeypatch) if place == "held" else None
            recorder, delay = TimeLeftRecorder(monkeypatch), Delay(late)
            if place in ("turn", "write", "connect", "connected"):
                of, name, wrap = {
                    "turn": (upstreams.ConnectionPool, "run", delay.before),
                    "write": (upstreams, "unread", delay.before),
                    "connect": (upstreams.ConnectionPool, "_open_connection", delay.before),
                    "connected": (upstreams.ConnectionPool, "_connect", delay.after),
                }[place]
                monkeypatch.setattr(of, name, wrap(getattr(of, name)))
            elif place == "slow":  # the connection is slow, not the loop
                connect = upstreams.ConnectionPool._connect

                async def slow(*args: Any) -> None:
                    await asyncio.sleep(late / 1e3)
                    await connect(*args)

                monkeypatch.setattr(upstreams.ConnectionPool, "_connect", slow)
            sock = open_client(service)
            if place != "accept":
                while not service.clients.open:
                    await asyncio.sleep(0)
            recorder.send(sock)
            if place in ("accept", "read"):
                delay()  # it waits in the listener's backlog, or unread in its socket
            if free_capacity is not None:
                while not service.dispatcher.balancer._queued:
                    await asyncio.sleep(0)
                delay()
                free_capacity()
                service.dispatcher.enqueue(service.dispatcher.balancer._check_queue)
            assert await answered(sock) == 200
            recorder.check(1, late)

    play(scenario)


@LATE_BY
@pytest.mark.parametrize(
    ("first", "place"),
    [
        ("reset", "read"),
        ("reset", "ended"),
        ("reset", "connect"),
        ("reset", "kept"),
        ("turned away", "turn"),
        ("turned away", "slow"),
        ("turned away", "held"),
    ],
)  # a visit that may have run is not queued
def test_what_a_further_attempt_tells_as_time_left_is_not_more_than_that(first, place, late, monkeypatch):
    async def scenario():
        bad = RESET if first == "reset" else ok(b"", b"X-Never-Ran: 1\r\n", b"503 Service Unavailable")
        peers = Peer(bad), Peer(bad)
        async with running(*peers, ConnectTimeoutUs=4_000_000) as service:
            if place == "kept":  # at both: the further attempt also finds an idle connection
                for peer in peers:
                    peer.answers = [ok()]
                while not all(peer.requests for peer in peers):
                    await open_idle_connection(service, monkeypatch)
                for peer in peers:
                    peer.answers = [bad]
            dispatcher, recorder, delay = service.dispatcher, TimeLeftRecorder(monkeypatch), Delay(late)
            ended, free_capacity = dispatcher.ended, None

            def then(*args: Any) -> None:
                # the first attempt has ended; the stall follows
                nonlocal free_capacity
                for peer in peers:
                    peer.answers = [ok()]
                if place == "ended":
                    delay()
                elif place in ("turn", "kept", "connect"):
                    name = {"turn": "run", "kept": "run", "connect": "_open_connection"}[place]
                    monkeypatch.setattr(
                        upstreams.ConnectionPool, name, delay.before(getattr(upstreams.ConnectionPool, name))
                    )
                elif place == "slow":
                    connect = upstreams.ConnectionPool._connect

                    async def slow(*args: Any) -> None:
                        await asyncio.sleep(late / 1e3)
                        await connect(*args)

                    monkeypatch.setattr(upstreams.ConnectionPool, "_connect", slow)
                elif place == "held":
                    free_capacity = block_capacity(service, monkeypatch)
                dispatcher.ended = ended
                ended(*args)

            dispatcher.ended = then
            sock = open_client(service)
            while not service.clients.open:
                await asyncio.sleep(0)
            recorder.send(sock)
            if place == "read":
                delay()  # before the first attempt: it counts for both
            if place == "held":
                while not dispatcher.balancer._queued:
                    await asyncio.sleep(0)
                delay()
                free_capacity()
                dispatcher.enqueue(dispatcher.balancer._check_queue)
            assert await answered(sock) == 200
            recorder.check(2, late)

    play(scenario)


@LATE_BY
def test_what_waited_for_a_permit_tells_as_time_left_what_is_left_then(late, monkeypatch):
    async def scenario():
        peer = Peer()
        async with running(peer) as service:
            bank, recorder, sock = TakeoverBank(service), TimeLeftRecorder(monkeypatch), open_client(service)
            recorder.send(sock, "/change")
            while not service.dispatcher.takeover_adapter._waiting:
                await asyncio.sleep(0)
            Delay(late)()
            bank.deliver()
            assert await answered(sock) == 200
            recorder.check(1, late)

    play(scenario)


@pytest.mark.parametrize("kept", [True, False])
def test_one_whose_time_is_over_when_its_turn_comes_to_be_written_is_not_begun(kept, monkeypatch):
    # it was sent with 1 ms left, whatever the real value
    async def scenario():
        peer = Peer()
        async with running(peer) as service:
            if kept:
                await open_idle_connection(service, monkeypatch)
            begun = len(peer.requests), len(peer.writers)
            delay = Delay(150)
            monkeypatch.setattr(upstreams.ConnectionPool, "run", delay.before(upstreams.ConnectionPool.run))
            client = await caller(service)
            status, _, _ = await client.ask(request("/change", "POST", b"x", X_Expires_In="0.1"))
            # it never ran, and its upstream is not to blame
            assert status == 503 and (len(peer.requests), len(peer.writers)) == begun
            assert (
                not service.dispatcher.balancer._upstreams[0].failure_run
                and service.dispatcher.counts["unreached"] == 0
            )

    play(scenario)


# a further attempt that is chosen within its window and would begin after it


@pytest.mark.parametrize("what", ["in time", "connection", "loop", "permit"])
def test_a_repeat_that_would_begin_after_its_window_is_not_begun(what, monkeypatch):
    # Chosen in time, it was written once its connection was established, when its upstream had forgotten the
    # key.
    async def scenario():
        window, peers = 1_400.0 if what == "in time" else 400.0, (Peer(RESET), Peer(RESET))
        async with running(*peers) as service:
            reload(service, ["read", "tag", "change"], tag={"WindowUs": window * 1e3})
            service.dispatcher.upstreams.connect_time_out = 4_000.0  # the window ends first
            dispatcher, bank = service.dispatcher, TakeoverBank(service) if what == "permit" else None
            ended, begun, again = dispatcher.ended, [], asyncio.Event()

            async def late(*args: Any) -> None:
                again.set()
                while clock() <= begun[0] + window:
                    await asyncio.sleep(0.01)
                await connect(*args)

            def then(now, pending, number, outcome):
                # the first has ended: the next one is chosen in time, and then delayed
                dispatcher.ended = ended
                begun.append(pending.exchanges[number].sent)
                for peer in peers:
                    peer.answers = [ok()]
                if what == "connection":
                    monkeypatch.setattr(upstreams.ConnectionPool, "_connect", late)
                elif what == "loop":
                    delay = Delay(window + 10, again.set)
                    monkeypatch.setattr(
                        upstreams.ConnectionPool,
                        "_open_connection",
                        delay.before(upstreams.ConnectionPool._open_connection),
                    )
                ended(now, pending, number, outcome)
                assert len(pending.decision.fetches) == 2

            connect, dispatcher.ended = upstreams.ConnectionPool._connect, then
            sock = open_client(service)
            sock.sendall(asked("/tag"))
            if bank is not None:
                while not dispatcher.takeover_adapter._waiting:
                    await asyncio.sleep(0)
                bank.deliver()  # the grant for the first
                while not begun or not dispatcher.takeover_adapter._waiting:
                    await asyncio.sleep(0)
                while clock() <= begun[0] + window:
                    await asyncio.sleep(0.01)
                bank.deliver()
            # the client is told that a repeat of its own is harmless, as its key allows
            assert await answered(sock) == (200 if what == "in time" else 503)
            assert sum(len(peer.requests) for peer in peers) == (2 if what == "in time" else 1)
            assert again.is_set() is (what in ("connection", "loop"))
            assert dispatcher.counts["unreached"] == 0

    play(scenario)


# a reload followed by a drain


@pytest.mark.parametrize("first", ["reload", "drain"])
@pytest.mark.parametrize(("place", "moves"), [("connecting", False), ("connecting", True), ("held", True)])
def test_nothing_begins_at_what_drains_around_a_reload(moves, place, first, monkeypatch):
    # The new settings repeat the old list; where the list service changes, its list omits the draining
    # upstream.
    async def scenario():
        registry, other = Registry(), await Registry().start()
        gate = await Gate().held(asyncio.get_running_loop(), monkeypatch)
        async with running(
            registry=registry, known=[target("u0", gate.port)], ConnectTimeoutUs=4_000_000
        ) as service:
            await registry.tell(4)
            while service.dispatcher.discovery.rev != 4:
                await asyncio.sleep(0)
            free_capacity = block_capacity(service, monkeypatch) if place == "held" else None
            client = await caller(service)
            client.writer.write(request("/change", "POST", b"x", X_Expires_In="0.6"))
            while not (service.dispatcher.balancer._queued if free_capacity else gate.connecting.is_set()):
                await asyncio.sleep(0)
            if first == "drain":
                await registry.tell(5, target("u0", gate.port, state="leaving"))
                while service.dispatcher.discovery.rev != 5:
                    await asyncio.sleep(0)
            moved(service, other if moves else registry)
            assert service.dispatcher.upstreams.connect_time_out != 4_000  # the new settings hold
            if moves:
                await other.tell(6, whole=True)
            elif first == "reload":
                await registry.tell(6, target("u0", gate.port, state="leaving"))
            while service.dispatcher.discovery.rev != (6 if moves or first == "reload" else 5):
                await asyncio.sleep(0)
            gate.open.set()
            if free_capacity:
                free_capacity()
                service.dispatcher.enqueue(service.dispatcher.balancer._check_queue)
            assert (await client.answer())[0] == 503  # it never ran
            await until_settled(service)
            assert not gate.got and not service.dispatcher.upstreams.open

    play(scenario)
