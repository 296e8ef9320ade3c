"""A client that closed or cancelled has gone: nothing begins for it, also where the loop is late just then.

Every story puts the leaving and a delay of the loop at one place between the request and the first byte that
an upstream sees of it. The delay is a callback that blocks the loop, so the leaving lies unread when the loop
goes on: what begins after it begins at least that much later than the leaving. Nothing at all may begin then,
neither a connection that is opened only for it nor a byte.
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
    target,
)
from test_clients import play
from test_handover import reload
from test_left import Gate, asked, passes
from test_service import moved

from ospreyline.fleet.takeover import Takeover
from ospreyline.net import upstreams
from ospreyline.net.covering import Covering
from ospreyline.net.service import Service
from ospreyline.net.turn import clock
from ospreyline.operator import Takeover as On

WAYS = pytest.mark.parametrize("how", ["end", "reset", "half"])
LATE_BY = pytest.mark.parametrize("late", [50, 300])
CANCEL = pytest.mark.parametrize("cancel", [True, False])


def connected(service: Service) -> socket.socket:
    """A client whose bytes go out when the story says, also while the loop stands."""
    return socket.create_connection(service.at)


def leave(sock: socket.socket, how: str = "end") -> None:
    if how == "half":
        return sock.shutdown(socket.SHUT_WR)
    if how == "reset":
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    sock.close()


class Delay:
    """The loop is late, once: `first` happens, then the loop stands for so many ms with that unread."""

    def __init__(self, ms: float, first: Callable[[], None] = lambda: None) -> None:
        self.ms, self.first, self.over = ms, first, False

    def __call__(self) -> None:
        if not self.over:
            self.over = True
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


async def over(service: Service) -> None:
    """Nothing is in hand any more, and what was opened or written meanwhile has come."""
    while service.turn.visits or any(peer.errands for peer in service.turn.upstreams.pools.values()):
        await asyncio.sleep(0)
    await passes()


async def only_next(service: Service, *peers: Peer) -> None:
    """The next one is served, and nothing came of what was before: sent earlier, it would be there, too."""
    await over(service)
    seen = [len(peer.requests) for peer in peers]
    assert (await (await caller(service)).ask(request(trace="next")))[0] == 200
    assert sum(len(peer.requests) for peer in peers) == sum(seen) + 1


def hold(service: Service, monkeypatch: pytest.MonkeyPatch) -> Callable[[], None]:
    """Visits that come are held; room comes with what is returned."""
    balancer, place = service.turn.balancer, service.turn.balancer._place
    monkeypatch.setattr(balancer, "_place", lambda *_: False)
    balancer._flow = 1e6  # none is bounced for the wait
    return lambda: monkeypatch.setattr(balancer, "_place", place)


async def warm(service: Service, monkeypatch: pytest.MonkeyPatch) -> None:
    """A connection stands ready."""
    monkeypatch.setattr(upstreams, "SETTLE_MS", 0.0)
    assert (await (await caller(service)).ask(request()))[0] == 200


@WAYS
@LATE_BY
@pytest.mark.parametrize("place", ["turn", "write", "connect", "connected"])
def test_nothing_begins_for_one_that_left_on_the_way_to_the_write(place, late, how, monkeypatch):
    async def story():
        peer = Peer()
        async with running(peer) as service:
            if place in ("turn", "write"):
                await warm(service, monkeypatch)
            begun = len(peer.requests), len(peer.writers)
            sock = connected(service)
            delay = Delay(late, lambda: leave(sock, how))
            of, name, wrap = {
                "turn": (upstreams.ConnectionPool, "run", delay.before),  # chosen, and the turn is long
                "write": (upstreams, "unread", delay.before),  # the last that is asked of a kept connection
                # a pass between choosing and connecting
                "connect": (upstreams.ConnectionPool, "_open_connection", delay.before),
                # it came up, and the loop was late
                "connected": (upstreams.ConnectionPool, "_connect", delay.after),
            }[place]
            with monkeypatch.context() as patch:
                patch.setattr(of, name, wrap(getattr(of, name)))
                sock.sendall(request())
                while not delay.over:
                    await asyncio.sleep(0)
                await over(service)
            # a connection that came up before the leaving is seen there; one opened after it is a beginning
            assert (len(peer.requests), len(peer.writers) - (place == "connected")) == begun
            assert peer.open == (place in ("turn", "write")) and len(service.turn.upstreams.open) == peer.open
            await only_next(service, peer)

    play(story)


@WAYS
@LATE_BY
@pytest.mark.parametrize("kept", [True, False])
def test_nothing_begins_for_one_that_left_while_it_was_held(kept, late, how, monkeypatch):
    async def story():
        peer = Peer()
        async with running(peer) as service:
            if kept:
                await warm(service, monkeypatch)
            begun = len(peer.requests), len(peer.writers)
            room = hold(service, monkeypatch)
            sock = connected(service)
            sock.sendall(request())
            while not service.turn.balancer._held:
                await asyncio.sleep(0)
            Delay(late, lambda: leave(sock, how))()
            room()
            service.turn.balancer._look(clock())
            service.turn._dispatch()  # the very next thing; nothing is read before
            await over(service)
            assert (len(peer.requests), len(peer.writers)) == begun
            await only_next(service, peer)

    play(story)


@WAYS
@LATE_BY
def test_no_further_attempt_begins_for_one_that_left(late, how, monkeypatch):
    async def story():
        peers = Peer(RESET), Peer(RESET)
        async with running(*peers) as service:
            sock = connected(service)
            delay = Delay(late, lambda: leave(sock, how))
            monkeypatch.setattr(service.turn, "ended", delay.before(service.turn.ended))
            sock.sendall(asked("/tag"))
            while not delay.over:
                await asyncio.sleep(0)
            await over(service)
            assert sum(len(peer.requests) for peer in peers) == sum(len(peer.writers) for peer in peers) == 1
            for peer in peers:
                peer.answers = [ok()]
            await only_next(service, *peers)

    play(story)


@LATE_BY
@pytest.mark.parametrize("kept", [True, False])
def test_of_many_sends_in_a_long_turn_none_begins_once_its_client_left(kept, late, monkeypatch):
    async def story():
        many, before, peer = 40, 10, Peer()
        async with running(peer) as service:
            if kept:
                await warm(service, monkeypatch)
            begun = len(peer.requests), len(peer.writers)
            monkeypatch.setattr(service.turn.balancer, "_has_room", lambda *_: True)
            socks = [connected(service) for _ in range(many)]
            while len(service.clients.open) < many:
                await asyncio.sleep(0)
            delay, run = Delay(late, lambda: [leave(sock) for sock in socks]), upstreams.ConnectionPool.run
            ran, turns = [], set()

            def nth(self, errand, *args):
                ran.append(errand)
                turns.add(service.turn._last_batch_at)
                if len(ran) == before:
                    delay()
                run(self, errand, *args)

            monkeypatch.setattr(upstreams.ConnectionPool, "run", nth)
            for sock in socks:
                sock.sendall(request())  # read in one pass, and sent in one turn
            while not delay.over:
                await asyncio.sleep(0)
            assert len(ran) >= many and len(turns) == 1
            await over(service)
            # the first was written on the connection that stood ready; the others still had to connect
            assert (len(peer.requests), len(peer.writers)) == (begun[0] + kept, begun[1])

    play(story)


@LATE_BY
@pytest.mark.parametrize("where", ["held", "connecting"])
def test_hundreds_that_go_in_a_burst_leave_nothing_behind(where, late, monkeypatch):
    async def story():
        many = 300
        gate = await Gate().held(asyncio.get_running_loop(), monkeypatch)
        async with running(
            known=[target("u0", gate.port)], sockets=2_048, ConnectTimeoutUs=4_000_000
        ) as service:
            if where == "held":
                room = hold(service, monkeypatch)
            else:
                monkeypatch.setattr(service.turn.balancer, "_has_room", lambda *_: True)
            socks = [connected(service) for _ in range(many)]
            for sock in socks:
                sock.sendall(request())

            def waiting() -> int:
                peer = service.turn.upstreams.pools[0]
                return service.turn.balancer._held if where == "held" else len(peer.errands)

            while waiting() < many:
                await asyncio.sleep(0)
            gate.open.set()  # all connections come up, or room for all, in the pass in which they leave
            ways = "end", "reset", "half"
            Delay(late, lambda: [leave(sock, ways[i % 3]) for i, sock in enumerate(socks)])()
            if where == "held":
                room()
                service.turn.balancer._look(clock())
                service.turn._dispatch()
            await over(service)
            while service.clients.open:
                await asyncio.sleep(0)
            assert not gate.got and not service.turn.upstreams.open and not service.turn._open_ids
            assert not service.turn.balancer._held and not service.turn.counts["faults"]
            client = await caller(service)
            client.writer.write(request(trace="next"))
            while b"next" not in gate.got:
                await asyncio.sleep(0)
            assert gate.got.count(b"X-Trace-Id") == 1

    play(story)


@pytest.mark.parametrize("how", ["left", "time-out"])
def test_what_is_ended_while_it_lay_in_our_buffer_is_never_whole_at_its_upstream(how, monkeypatch):
    # the loop closes a connection a pass later, and in that pass what was told as never sent left us whole
    async def story():
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
            sock, loop, got = connected(service), asyncio.get_running_loop(), bytearray()
            sock.sendall(request("/change", "POST", body))
            conn, _ = await loop.sock_accept(server)
            while not service.turn.upstreams.pools[0].errands:
                await asyncio.sleep(0)
            (errand,) = service.turn.upstreams.pools[0].errands
            while errand.stage is not upstreams.Stage.WRITING:
                await asyncio.sleep(0)
            # all but a last piece, which goes as soon as the upstream takes more
            while errand.conn.transport.get_write_buffer_size() > 8_000:
                got.extend(await loop.sock_recv(conn, 1_000))
                await asyncio.sleep(0)
            assert not errand.conn.write_buffer_empty()
            # in one pass its upstream takes more, and it ends
            conn.setblocking(False)
            with suppress(BlockingIOError):
                while data := conn.recv(65_536):
                    got.extend(data)
            if how == "left":
                leave(sock)
                next(iter(service.clients.open)).eof_received()
                service.turn._dispatch()
            else:
                errand.cut(upstreams.Why.TIMED_OUT)
            with suppress(ConnectionResetError):
                while data := await loop.sock_recv(conn, 65_536):
                    got.extend(data)
            assert len(got) < len(body)
            assert service.turn.counts["unsent" if how == "left" else "unreached"] == 1
            conn.close()
            server.close()

    play(story)


# what waits for a reload's turn, for the alarm's extra pass, for a permit of takeover


@LATE_BY
def test_nothing_begins_for_one_that_left_before_a_reloads_turn(late):
    async def story():
        peer = Peer()
        async with running(peer) as service:
            sock, turn, take, met = connected(service), service.turn, service.turn.accept_request, []

            def taken(asked, client):
                met.append(take(asked, client))
                Delay(late, lambda: leave(sock))()
                reload(service, ["change", "tag", "read"])  # plays the turn of what has come, at once
                return met[0]

            turn.accept_request = taken
            sock.sendall(request())
            while not met:
                await asyncio.sleep(0)
            turn.accept_request = take
            await over(service)
            assert not peer.requests and not peer.writers
            await only_next(service, peer)

    play(story)


@LATE_BY
def test_one_that_left_before_an_alarm_that_is_late_is_not_even_placed(late, monkeypatch):
    async def story():
        peer = Peer()
        async with running(peer) as service:
            room, turn, balancer = hold(service, monkeypatch), service.turn, service.turn.balancer
            sock = connected(service)
            sock.sendall(request())
            while not balancer._held:
                await asyncio.sleep(0)
            turn._loop_timer.cancel()
            turn._timers = [(clock(), -1, balancer._look)]  # due now, and the loop is late from now on
            Delay(late, lambda: leave(sock))()  # over `LATE_TIMER_MS`
            room()
            placed, place = [], balancer._place
            monkeypatch.setattr(balancer, "_place", lambda *args: placed.append(args) or place(*args))
            turn._on_loop_timer()
            await over(service)
            assert not placed and not peer.requests and not peer.writers

    play(story)


class Guarded:
    """Takeover on one balancer, and guardians whose words the story carries."""

    def __init__(self, service: Service) -> None:
        turn = service.turn
        turn.covering = Covering(turn, On(on=True, wait_ms=4_000.0), "m0", "a", 1, 1, 3)
        self.turn, self.own = turn, turn.covering.takeover
        self.at = {
            name: Takeover(name, "a", 1, lambda: 0.5, 4_000.0, 30_000.0, False, 3)
            for name in ("m1", "m2", "m3")
        }
        everybody = {"m0": self.own, **self.at}
        for name, one in everybody.items():
            one.members(clock(), [(other, "a") for other in everybody if other != name])
            for other in everybody:
                if other != name:
                    one.linked(clock(), other)
        self.carry()

    def carry(self) -> None:
        """All words that are under way, and what they bring is news of the next turn."""
        everybody = {"m0": self.own, **self.at}
        while any(one.out for one in everybody.values()):
            for name, one in everybody.items():
                out, one.out = one.out, []
                for to, message in out:
                    everybody[to].heard(clock(), name, message)
        self.turn.note(self.turn.run_takeover_results)


@CANCEL
@pytest.mark.parametrize(("read", "late"), [(True, 0), (False, 50), (False, 300)])
def test_nothing_begins_for_one_that_left_while_it_waited_for_a_permit(read, late, cancel):
    async def story():
        peer = Peer()
        async with running(peer, Cancel=cancel) as service:
            guarded, turn = Guarded(service), service.turn
            sock = connected(service)
            sock.sendall(asked("/change"))
            while not turn.covering._waiting:
                await asyncio.sleep(0)
            if read:
                leave(sock)
                while service.clients.open:
                    await asyncio.sleep(0)
            else:
                Delay(late, lambda: leave(sock))()
            guarded.carry()
            turn._dispatch()  # the permit is there, and nothing was read before
            await over(service)
            assert not peer.requests and not peer.writers
            # and it is forgotten: nobody will send a word of it
            assert not turn._open_ids and not turn.covering._waiting and not guarded.own.hands

    play(story)


def test_nothing_begins_for_one_that_left_while_it_waited_for_its_claim():
    async def story():
        peer = Peer()
        async with running(peer) as service:
            guarded, turn = Guarded(service), service.turn
            guarded.at["m1"].take(
                clock(),
                1,
                "tag 7",
                asked_kind := next(p.kind for p in turn._post.terms.prefixes if p.name == "tag"),
                b"tbody",
                2_000.0,
            )
            guarded.at["m1"].held(clock(), 1)
            guarded.carry()
            sock = connected(service)
            sock.sendall(asked("/tag", trace="7", X_Second_Try="same"))
            while not turn.covering._asking:
                await asyncio.sleep(0)
            assert asked_kind is not None
            leave(sock)
            guarded.carry()
            turn._dispatch()
            await over(service)
            assert not peer.requests and not peer.writers and not turn._open_ids and not turn.covering._asking

    play(story)


@pytest.mark.parametrize("again", [False, True])
def test_what_goes_on_without_its_client_makes_no_further_attempt_until_it_is_asked_for_again(again):
    # with takeover what was begun goes on, and its answer is kept; but nothing begins for one that has gone
    async def story():
        peers = Peer(SILENT), Peer(SILENT)
        async with running(*peers) as service:
            Guarded(service)
            sock, turn = connected(service), service.turn
            guarded = Guarded(service)
            sock.sendall(asked("/tag", trace="7"))
            while not turn.covering._waiting:
                await asyncio.sleep(0)
            guarded.carry()
            while not sum(len(peer.requests) for peer in peers):
                await asyncio.sleep(0)
            leave(sock)
            while service.clients.open:
                await asyncio.sleep(0)
            await passes()
            assert turn.visits
            if again:
                client = await caller(service)
                client.writer.write(asked("/tag", trace="7", X_Second_Try="same"))
                while not turn.counts["joined"]:
                    await asyncio.sleep(0)
            for peer in peers:
                peer.answers = [ok(b"once more")]
                for writer in peer.writers:
                    writer.transport.abort()  # the first attempt fails
            while not turn.counts["reset"]:
                await asyncio.sleep(0)
            for _ in range(20):
                guarded.carry()
                await asyncio.sleep(0)
            if again:
                assert (await client.answer())[2] == b"once more"
            else:
                while turn.visits:
                    guarded.carry()
                    await asyncio.sleep(0)
            assert sum(len(peer.requests) for peer in peers) == 1 + again

    play(story)


# a process that is stopped


@asynccontextmanager
async def process(tmp_path: Path, upstream: int) -> AsyncIterator[tuple[int, int]]:
    """`serve`, ready in front of that upstream: its process and its port."""
    port = free_port()
    told = configuration([target("u0", upstream)], ConnectTimeoutUs=4_000_000)
    file = tmp_path / "balancer.json"
    file.write_text(json.dumps(told | {"listen": f"127.0.0.1:{port}"}))
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
    async def story():
        peer = await Peer().start()
        async with process(tmp_path, peer.port) as (pid, port):
            if kept:  # a connection to the upstream stands ready, and those who ask are accepted already
                assert (await (await asked_at(port)).ask(request()))[0] == 200
                await asyncio.sleep(upstreams.SETTLE_MS / 1e3)
            begun = len(peer.requests), len(peer.writers)
            socks = [socket.create_connection(("127.0.0.1", port)) for _ in range(12)]
            if kept:
                await asyncio.sleep(0.05)
            os.kill(pid, signal.SIGSTOP)
            for i, sock in enumerate(socks):
                sock.sendall(asked(("/read", "/tag", "/change")[i % 3]))
            for i, sock in enumerate(socks):
                leave(sock, ("end", "reset", "half", "half")[i // 3])
            await asyncio.sleep(0.15)
            os.kill(pid, signal.SIGCONT)
            assert (await (await asked_at(port)).ask(request(trace="next")))[0] == 200
            assert len(peer.requests) == begun[0] + 1 and len(peer.writers) <= begun[1] + 1

    play(story)


def connecting(port: int) -> bool:
    """Whether somebody on this machine tries to connect there, and has no answer yet."""
    rows = (row.split() for row in Path("/proc/net/tcp").read_text().splitlines()[1:])
    return any(row[2].endswith(f":{port:04X}") and row[3] == "02" for row in rows)


def test_a_process_that_was_stopped_while_it_connected_writes_nothing_for_those_that_left(tmp_path):
    async def story():
        server = socket.create_server(("127.0.0.1", 0), backlog=0)
        server.setblocking(False)
        at = server.getsockname()
        async with process(tmp_path, at[1]) as (pid, port):
            for how in ("end", "reset", "half"):
                full = [socket.create_connection(at)]  # the queue of the listener is full: no more come up
                sock = socket.create_connection(("127.0.0.1", port))
                sock.sendall(asked("/change"))
                while not connecting(at[1]):
                    await asyncio.sleep(0.005)
                os.kill(pid, signal.SIGSTOP)
                leave(sock, how)
                await asyncio.sleep(0.15)
                full.append(server.accept()[0])  # from here on its connection can come up
                os.kill(pid, signal.SIGCONT)
                while connecting(at[1]):
                    await asyncio.sleep(0.005)
                with suppress(BlockingIOError, ConnectionResetError):
                    while True:  # it may have come up before the process went on; not a byte is written
                        late, _ = server.accept()
                        assert not await asyncio.get_running_loop().sock_recv(late, 65_536)
                for one in full:
                    one.close()
            client = await asked_at(port)
            client.writer.write(request(trace="next"))
            while True:
                await asyncio.sleep(0.005)
                with suppress(BlockingIOError):
                    conn, _ = server.accept()
                    break
            assert b"next" in await asyncio.get_running_loop().sock_recv(conn, 65_536)
            conn.close()
            server.close()

    play(story)


def free_port() -> int:
    with socket.create_server(("127.0.0.1", 0)) as server:
        return int(server.getsockname()[1])


async def asked_at(port: int) -> Caller:
    return Caller(*await asyncio.open_connection("127.0.0.1", port))


async def serving(port: int) -> None:
    while True:
        try:
            if (await (await asked_at(port)).ask(b"GET /health/ready HTTP/1.1\r\nHost: x\r\n\r\n"))[0] == 200:
                return
        except OSError:
            pass
        await asyncio.sleep(0.02)


# what an attempt tells its upstream as time left

TIME = 0.9  # s that the clients here wait


class Told:
    """At each write: what was told as time left, and what was left to the client, in ms."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        self.asked_at = 0.0  # when its client had sent it
        self.writes: list[tuple[float, float]] = []
        start = upstreams.UpstreamConnection.start

        def noted(conn: upstreams.UpstreamConnection, errand: upstreams.Errand, *args: Any) -> None:
            head, left = errand.head, 1e3 * TIME - (clock() - self.asked_at)

            class Seen:
                """The transport, as far as `start` needs it."""

                def write(self, data: bytes) -> None:
                    told.append(1e3 * float(data.split(b"X-Expires-In: ")[1].split(b"\r\n")[0]))
                    transport.write(data)

                def __getattr__(self, name: str) -> Any:
                    return getattr(transport, name)

            told: list[float] = []
            transport, conn.transport = conn.transport, Seen()
            start(conn, errand, *args)
            conn.transport = transport
            assert head == errand.head
            self.writes.append((told[0], left))

        monkeypatch.setattr(upstreams.UpstreamConnection, "start", noted)

    def send(self, sock: socket.socket, path: str = "/read") -> None:
        sock.sendall(asked(path, X_Expires_In=str(TIME)))
        self.asked_at = clock()

    def check(self, number: int, late: float) -> None:
        """So many attempts; the last one after a delay, and none told more than was left."""
        assert len(self.writes) == number
        for told, left in self.writes:
            assert 0 < told <= left
        told, left = self.writes[-1]
        # the loop's timers go by whole milliseconds; and it is not told far less than was left, either
        assert left <= 1e3 * TIME - late + 2 and told > left - 200


async def answered(sock: socket.socket) -> int:
    sock.setblocking(False)
    got = b""
    while b"\r\n\r\n" not in got:
        got += await asyncio.get_running_loop().sock_recv(sock, 65_536)
    return int(got.split()[1])


@LATE_BY
@pytest.mark.parametrize("place", ["accept", "read", "turn", "write", "connect", "connected", "slow", "held"])
def test_what_a_first_attempt_tells_as_time_left_is_not_more_than_that(place, late, monkeypatch):
    async def story():
        peer = Peer()
        async with running(peer, ConnectTimeoutUs=4_000_000) as service:
            if place in ("turn", "write"):
                await warm(service, monkeypatch)
            room = hold(service, monkeypatch) if place == "held" else None
            told, delay = Told(monkeypatch), Delay(late)
            if place in ("turn", "write", "connect", "connected"):
                of, name, wrap = {
                    "turn": (upstreams.ConnectionPool, "run", delay.before),
                    "write": (upstreams, "unread", delay.before),
                    "connect": (upstreams.ConnectionPool, "_open_connection", delay.before),
                    "connected": (upstreams.ConnectionPool, "_connect", delay.after),
                }[place]
                monkeypatch.setattr(of, name, wrap(getattr(of, name)))
            elif place == "slow":  # the loop is not late, the connection is
                connect = upstreams.ConnectionPool._connect

                async def slow(*args: Any) -> None:
                    await asyncio.sleep(late / 1e3)
                    await connect(*args)

                monkeypatch.setattr(upstreams.ConnectionPool, "_connect", slow)
            sock = connected(service)
            if place != "accept":
                while not service.clients.open:
                    await asyncio.sleep(0)
            told.send(sock)
            if place in ("accept", "read"):
                delay()  # it lies in the listener's queue, or in its own socket
            if room is not None:
                while not service.turn.balancer._held:
                    await asyncio.sleep(0)
                delay()
                room()
                service.turn.note(service.turn.balancer._look)
            assert await answered(sock) == 200
            told.check(1, late)

    play(story)


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
)  # what may have run is not held
def test_what_a_further_attempt_tells_as_time_left_is_not_more_than_that(first, place, late, monkeypatch):
    async def story():
        bad = RESET if first == "reset" else ok(b"", b"X-Never-Ran: 1\r\n", b"503 Service Unavailable")
        peers = Peer(bad), Peer(bad)
        async with running(*peers, ConnectTimeoutUs=4_000_000) as service:
            if place == "kept":  # at both: the further attempt, too, meets a connection that stands ready
                for peer in peers:
                    peer.answers = [ok()]
                while not all(peer.requests for peer in peers):
                    await warm(service, monkeypatch)
                for peer in peers:
                    peer.answers = [bad]
            turn, told, delay = service.turn, Told(monkeypatch), Delay(late)
            ended, room = turn.ended, None

            def then(*args: Any) -> None:
                # the first attempt has ended; from now on the delay
                nonlocal room
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
                    room = hold(service, monkeypatch)
                turn.ended = ended
                ended(*args)

            turn.ended = then
            sock = connected(service)
            while not service.clients.open:
                await asyncio.sleep(0)
            told.send(sock)
            if place == "read":
                delay()  # before the first attempt: both know it
            if place == "held":
                while not turn.balancer._held:
                    await asyncio.sleep(0)
                delay()
                room()
                turn.note(turn.balancer._look)
            assert await answered(sock) == 200
            told.check(2, late)

    play(story)


@LATE_BY
def test_what_waited_for_a_permit_tells_as_time_left_what_is_left_then(late, monkeypatch):
    async def story():
        peer = Peer()
        async with running(peer) as service:
            guarded, told, sock = Guarded(service), Told(monkeypatch), connected(service)
            told.send(sock, "/change")
            while not service.turn.covering._waiting:
                await asyncio.sleep(0)
            Delay(late)()
            guarded.carry()
            assert await answered(sock) == 200
            told.check(1, late)

    play(story)


@pytest.mark.parametrize("kept", [True, False])
def test_one_whose_time_is_over_when_its_turn_comes_to_be_written_is_not_begun(kept, monkeypatch):
    # it was told 1 ms, whatever was left
    async def story():
        peer = Peer()
        async with running(peer) as service:
            if kept:
                await warm(service, monkeypatch)
            begun = len(peer.requests), len(peer.writers)
            delay = Delay(150)
            monkeypatch.setattr(upstreams.ConnectionPool, "run", delay.before(upstreams.ConnectionPool.run))
            client = await caller(service)
            status, _, _ = await client.ask(request("/change", "POST", b"x", X_Expires_In="0.1"))
            # it never ran, and its upstream is not to blame
            assert status == 503 and (len(peer.requests), len(peer.writers)) == begun
            assert not service.turn.balancer._upstreams[0].run and service.turn.counts["unreached"] == 0

    play(story)


# a further attempt that is chosen within its window, and would begin after it


@pytest.mark.parametrize("what", ["in time", "connection", "loop", "permit"])
def test_a_repeat_that_would_begin_after_its_window_is_not_begun(what, monkeypatch):
    # chosen in time, it was written when its connection came up, and its upstream had forgotten the key
    async def story():
        window, peers = 1_400.0 if what == "in time" else 400.0, (Peer(RESET), Peer(RESET))
        async with running(*peers) as service:
            reload(service, ["read", "tag", "change"], tag={"WindowUs": window * 1e3})
            service.turn.upstreams.connect_time_out = 4_000.0  # the window ends first
            turn, guarded = service.turn, Guarded(service) if what == "permit" else None
            ended, begun, again = turn.ended, [], asyncio.Event()

            async def late(*args: Any) -> None:
                again.set()
                while clock() <= begun[0] + window:
                    await asyncio.sleep(0.01)
                await connect(*args)

            def then(now, taken, number, outcome):
                # the first has ended: the next one is chosen in time, and something keeps it
                turn.ended = ended
                begun.append(taken.errands[number].sent)
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
                ended(now, taken, number, outcome)
                assert len(taken.handle.fetches) == 2

            connect, turn.ended = upstreams.ConnectionPool._connect, then
            sock = connected(service)
            sock.sendall(asked("/tag"))
            if guarded is not None:
                while not turn.covering._waiting:
                    await asyncio.sleep(0)
                guarded.carry()  # a permit for the first
                while not begun or not turn.covering._waiting:
                    await asyncio.sleep(0)
                while clock() <= begun[0] + window:
                    await asyncio.sleep(0.01)
                guarded.carry()
            # the client is told that a repeat of its own is harmless, as its key allows
            assert await answered(sock) == (200 if what == "in time" else 503)
            assert sum(len(peer.requests) for peer in peers) == (2 if what == "in time" else 1)
            assert again.is_set() is (what in ("connection", "loop"))
            assert turn.counts["unreached"] == 0

    play(story)


# a reload followed by a drain


@pytest.mark.parametrize("first", ["reload", "drain"])
@pytest.mark.parametrize(("place", "moves"), [("connecting", False), ("connecting", True), ("held", True)])
def test_nothing_begins_at_what_drains_around_a_reload(moves, place, first, monkeypatch):
    # the settings tell the list anew as it was; where discovery moves, its list leaves out who drains
    async def story():
        registry, other = Registry(), await Registry().start()
        gate = await Gate().held(asyncio.get_running_loop(), monkeypatch)
        async with running(
            registry=registry, known=[target("u0", gate.port)], ConnectTimeoutUs=4_000_000
        ) as service:
            await registry.tell(4)
            while service.turn.discovery.rev != 4:
                await asyncio.sleep(0)
            room = hold(service, monkeypatch) if place == "held" else None
            client = await caller(service)
            client.writer.write(request("/change", "POST", b"x", X_Expires_In="0.6"))
            while not (service.turn.balancer._held if room else gate.connecting.is_set()):
                await asyncio.sleep(0)
            if first == "drain":
                await registry.tell(5, target("u0", gate.port, state="leaving"))
                while service.turn.discovery.rev != 5:
                    await asyncio.sleep(0)
            moved(service, other if moves else registry)
            assert service.turn.upstreams.connect_time_out != 4_000  # the new settings hold
            if moves:
                await other.tell(6, whole=True)
            elif first == "reload":
                await registry.tell(6, target("u0", gate.port, state="leaving"))
            while service.turn.discovery.rev != (6 if moves or first == "reload" else 5):
                await asyncio.sleep(0)
            gate.open.set()
            if room:
                room()
                service.turn.note(service.turn.balancer._look)
            assert (await client.answer())[0] == 503  # it never ran
            await over(service)
            assert not gate.got and not service.turn.upstreams.open

    play(story)
