"""Descriptors are full of idle clients and the list service is down: who is still served, what is closed."""

from __future__ import annotations

import asyncio
import json
import os
import socket
import sys
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager, suppress
from functools import partial
from itertools import product
from pathlib import Path
from types import SimpleNamespace
from typing import Any

import pytest
import uvloop
from stand_ins import Caller, Peer, Registry, caller, configuration, ok, request, running, target
from test_clients import play

from ospreyline.net import clients, upstreams
from ospreyline.net.discovery import ListClient
from ospreyline.net.listing import ListUpdate

OWN_DESCRIPTORS = 16  # the most that an idle process has; 14 here
PATIENT = 30.0  # s, timeout of a process, as others may keep the machine busy
HEALTH = b"GET /health/ready HTTP/1.1\r\nHost: x\r\n\r\n"


def descriptors(pid: int | str = "self") -> int:
    """How many descriptors a process has open."""
    return len(os.listdir(f"/proc/{pid}/fd"))


def waiting(service, count: int) -> list[socket.socket]:
    """Connections that wait in the listener's queue, not yet seen by the event loop."""
    found = []
    for _ in range(count):
        found.append(socket.create_connection(service.at))
        found[-1].setblocking(False)
    return found


async def until(holds: Callable[[], bool], seconds: float = 5.0) -> None:
    async with asyncio.timeout(seconds):
        while not holds():
            await asyncio.sleep(0.001)


# cases forced into one pass of the event loop


@pytest.mark.parametrize("asked", [True, False])
def test_who_makes_room_counts_until_its_descriptor_is_free(asked, monkeypatch):
    # connections were evicted again and again in one pass, but closed only after it: half the limit too many
    async def story():
        async with running(Peer(), sockets=64) as service:
            most = service.dispatcher.max_clients
            idle = [await caller(service) for _ in range(most // 2)]
            for client in idle:
                if asked:
                    assert (await client.ask(request()))[0] == 200
            await until(lambda: len(service.clients.open) == most // 2)
            for name in ("QUIET_BEFORE_CLOSE_S", "SILENT_EVICTION_AGE_S"):
                monkeypatch.setattr(clients, name, -1.0)
            here = descriptors() - most // 2
            new = waiting(service, 2 * most)
            service.clients.accept()
            assert descriptors() - len(new) - here <= most
            for sock in new:
                sock.close()

    play(story)


def test_sends_of_one_turn_open_no_more_connections_than_there_is_room_for(monkeypatch):
    # a connection counted only from the next pass on; all sends of one event batch saw the same free capacity
    async def story():
        monkeypatch.setattr(upstreams, "SETTLE_MS", 1e9)  # no connection is reused after its answer
        async with running(Peer(), sockets=64) as service:
            pool = service.dispatcher.upstreams
            pool.max_open = 4
            callers = [await caller(service) for _ in range(8)]
            for client in callers[:4]:
                assert (await client.ask(request()))[0] == 200
            await until(lambda: len(pool.open) == 4)
            here, opened, connect = descriptors(), [], upstreams.ConnectionPool._connect

            async def connecting(peer, conn):
                opened.append(conn)
                await connect(peer, conn)

            monkeypatch.setattr(upstreams.ConnectionPool, "_connect", connecting)
            for client in callers:
                client.writer.write(request())
            assert {(await client.answer())[0] for client in callers} <= {200, 503}
            assert 0 < len(opened) <= 4 and len(pool.open) <= 4
            await until(lambda: descriptors() <= here)

    play(story)


@pytest.mark.parametrize("turn", ["same", "next"])
def test_a_send_that_ends_before_its_connection_begins_leaves_nothing_open(turn):
    async def story():
        async with running(Peer(), sockets=64) as service:
            pool = service.dispatcher.upstreams
            here, ended = descriptors(), []
            exchange = upstreams.Exchange(b"GET / HTTP/1.1\r\n", b"", pool.clock(), 1e3, False, ended.append)
            pool.pools[0].run(exchange)
            assert len(pool.open) == 1
            if turn == "next":
                await asyncio.sleep(0)
            exchange.fail(upstreams.FailureReason.CANCELLED)
            await until(lambda: not pool.open and descriptors() == here)
            assert len(ended) == 1

    play(story)


def test_those_that_wait_together_cost_one_pass_over_those_that_are_open(monkeypatch):
    # guards against usual requests that wait while hundreds of clients connect again and again: for each one
    # that was accepted all open connections were gone through and sorted
    async def story():
        async with running(Peer(), sockets=512) as service:
            half = service.dispatcher.max_clients // 2
            idle = [await caller(service) for _ in range(half)]
            await until(lambda: len(service.clients.open) == half)
            for name in ("QUIET_BEFORE_CLOSE_S", "SILENT_EVICTION_AGE_S"):
                monkeypatch.setattr(clients, name, -1.0)
            ranked, rank = [], clients.ClientConnection.eviction_rank
            monkeypatch.setattr(
                clients.ClientConnection, "eviction_rank", lambda conn: ranked.append(conn) or rank(conn)
            )
            new = waiting(service, half // 2)
            service.clients.accept()
            assert len(ranked) <= 2 * half
            assert service.dispatcher.counts["made_room"] == len(new)
            for sock in new:
                sock.close()
            for client in idle:
                client.writer.close()

    play(story)


@pytest.mark.parametrize("asked", [True, False])
def test_who_makes_room_has_nothing_unread(asked, monkeypatch):
    # after a late pass the listener may be read before a request that waits in a connection's socket
    async def story():
        async with running(Peer(), sockets=64) as service:
            most = service.dispatcher.max_clients
            held = [await caller(service) for _ in range(most // 2)]
            if asked:
                for client in held:
                    assert (await client.ask(request()))[0] == 200
            await until(lambda: len(service.clients.open) == most // 2)
            for name in ("QUIET_BEFORE_CLOSE_S", "SILENT_EVICTION_AGE_S"):
                monkeypatch.setattr(clients, name, -1.0)
            for client in held[:-1]:
                # in the socket at once, not read by the process
                os.write(client.writer.get_extra_info("socket").fileno(), request())
            new = waiting(service, 1)
            service.clients.accept()
            for client in held[:-1]:
                assert (await client.answer())[0] == 200
            assert await held[-1].reader.read() == b""
            assert service.dispatcher.counts["made_room"] == 1
            new[0].close()

    play(story)


def test_who_waits_at_the_limit_is_accepted_as_soon_as_one_has_gone(monkeypatch):
    # it was accepted 20 ms later: a request with that much time left was lost
    async def story():
        monkeypatch.setattr(clients, "SILENT_EVICTION_AGE_S", 60.0)
        monkeypatch.setattr(clients.ClientListener, "_evict_idle", lambda *_: False)  # all are busy
        async with running(Peer(), sockets=64) as service:
            most = service.dispatcher.max_clients
            held = [await caller(service) for _ in range(most)]
            await until(lambda: len(service.clients.open) == most)
            (sock,) = waiting(service, 1)
            os.write(sock.fileno(), HEALTH)
            await until(lambda: service.clients._accept_timer is not None)
            held[0].writer.close()
            found = await asyncio.wait_for(asyncio.get_running_loop().sock_recv(sock, 100), 5)
            assert found.startswith(b"HTTP/1.1 200 ")
            assert service.clients._accept_timer is None and len(service.clients.open) <= most
            sock.close()

    play(story)


# calls to the list service


class NeverConnectingLoop:
    """A stand-in for the event loop: connections are never established."""

    def __init__(self) -> None:
        self.now = 0.0
        self.create_task = lambda call: call.close() or SimpleNamespace(cancel=lambda: None)

    def time(self) -> float:
        return self.now


def test_calls_to_discovery_fit_among_the_descriptors_of_our_own_whatever_crosses():
    # every order of five events: a call, a move of the service, two seconds, an update, the end of a call
    log, most = SimpleNamespace(info=lambda *_, **__: None, warning=lambda *_, **__: None), 0
    for steps in product(range(11), repeat=5):
        loop = NeverConnectingLoop()
        calls = ListClient(loop, ("h", 1), 1, log, lambda update: None, lambda wait: None)
        calls.watch(True)

        def wait(loop=loop, calls=calls):
            loop.now += 2.0
            calls.tidy()

        for rev, step in enumerate(steps, 2):
            update = ListUpdate(rev, False, [])
            kinds = [partial(calls.watch, True), partial(calls.change_address, ("h", 2)), wait]
            for call in calls._calls:
                kinds += [partial(calls.update_received, call, update), partial(calls.call_ended, call, "x")]
            if step >= len(kinds):
                break
            kinds[step]()
            most = max(most, len(calls._calls))
    # its own, calls and as many that were dropped in this same pass, and a file that is read
    assert OWN_DESCRIPTORS + 2 * most + 1 <= 32


# a process, with its descriptors as the kernel counts them


class Running:
    """`serve` in a process of its own; `most` is its highest number of descriptors."""

    def __init__(self, process: asyncio.subprocess.Process, file: Path) -> None:
        self.process, self.file = process, file
        self.log: list[dict[str, Any]] = []
        self.most = self.own = 0
        self.at = ("", 0)

    def open(self) -> int:
        now = descriptors(self.process.pid)
        self.most = max(self.most, now)
        return now

    async def read(self) -> None:
        assert self.process.stdout is not None
        while line := await self.process.stdout.readline():
            self.log.append(json.loads(line))

    async def says(self, event: str) -> dict[str, Any]:
        await until(lambda: any(line["event"] == event for line in self.log), PATIENT)
        return next(line for line in self.log if line["event"] == event)

    async def caller(self) -> Caller:
        return Caller(*await asyncio.open_connection(*self.at))


@asynccontextmanager
async def serving(tmp_path: Path, peer: Peer, registry: int, **more: Any) -> AsyncIterator[Running]:
    file = tmp_path / "config.json"
    told = configuration([target("u0", peer.port)], registry, sockets=64, **more)
    told["settings"]["Invariants"] = {"MustAskInUs": 1_000_000}
    file.write_text(json.dumps(told))
    process = await asyncio.create_subprocess_exec(
        sys.executable, "-m", "ospreyline", "serve", str(file), stdout=asyncio.subprocess.PIPE
    )
    one = Running(process, file)
    reading = asyncio.ensure_future(one.read())
    try:
        where = (await one.says("serving"))["listen"].rpartition(":")
        one.at = where[0], int(where[2])
        one.own = one.open()
        yield one
    finally:
        with suppress(ProcessLookupError):
            process.kill()
        await process.wait()
        await reading


class AbsentListService:
    """An absent list service: connections are `refused`, accepted but `mute`, or `never` accepted."""

    def __init__(self, kind: str) -> None:
        self.sock = socket.socket()
        self.sock.bind(("127.0.0.1", 0))
        self.port = self.sock.getsockname()[1]
        self.fill: list[socket.socket] = []
        self.kind = kind
        self.fallen_silent = socket.socket()  # the call on which data was sent
        if kind != "refused":
            self.sock.listen(64)

    def says_that_nothing_has_changed(self) -> None:
        """Send an update without changes on the first call, and nothing from then on."""
        self.sock.settimeout(PATIENT)
        call, _ = self.sock.accept()
        call.recv(4096)
        line = b'{"rev":3,"all":false,"targets":[]}\n'
        call.sendall(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%b\r\n" % (len(line), line))
        self.fallen_silent = call
        if self.kind == "never":
            self.sock.listen(0)
            for _ in range(4):
                self.fill.append(socket.socket())
                self.fill[-1].setblocking(False)
                self.fill[-1].connect_ex(self.sock.getsockname())
        self.sock.settimeout(None)

    def called(self) -> bool:
        """Whether a call is open or being connected here."""
        lines = Path("/proc/net/tcp").read_text().splitlines()[1:]
        return sum(line.split()[2].endswith(f":{self.port:04X}") for line in lines) > len(self.fill)

    async def back(self) -> Registry:
        for sock in (*self.fill, self.fallen_silent):
            sock.close()
        registry = Registry()
        registry.server = await asyncio.start_server(registry._serve, sock=self.sock)
        registry.port = self.port
        return registry


@pytest.mark.parametrize("idle", ["asked", "silent"])
@pytest.mark.parametrize("away", ["refused", "mute", "never"])
def test_idle_clients_fill_the_descriptors_while_discovery_is_away(away, idle, tmp_path):
    async def story():
        peers = await Peer(ok(b"0")).start(), await Peer(ok(b"1")).start()
        discovery = AbsentListService(away)
        async with serving(tmp_path, peers[0], discovery.port) as one:
            if away == "refused":
                await one.says("call to discovery failed")
            else:
                await asyncio.to_thread(discovery.says_that_nothing_has_changed)
                await until(discovery.called, PATIENT)
            usual = await one.caller()
            while (answer := await usual.ask(request()))[0] == 503:
                await asyncio.sleep(0.01)
            assert answer[2] == b"0"
            usual.writer.close()
            crowd = []
            for _ in range(48):  # three times the limit of clients
                crowd.append(await one.caller())
                if idle == "asked":
                    crowd[-1].writer.write(request())
                one.open()
            for path in (HEALTH, request()):  # a client with a request is served beside them
                late = await one.caller()
                assert (await late.ask(path))[0] == 200
                crowd.append(late)
                one.open()
            assert (await crowd[-1].ask(request()))[0] == 200  # on the open connection
            registry = await discovery.back()
            async with asyncio.timeout(PATIENT):
                while not any(line.get("uid") == "u1" for line in one.log):
                    with suppress(ConnectionError):  # the latest call may be one that was abandoned
                        await registry.tell(
                            9, target("u0", peers[0].port, state="leaving"), target("u1", peers[1].port)
                        )
                    await asyncio.sleep(0.05)
            assert (await (await one.caller()).ask(request()))[2] == b"1"
            assert one.open() <= one.most <= 64
            for client in crowd:
                client.writer.close()
            # only a watch is left, and one idle connection to each of the two upstreams
            await until(lambda: one.open() <= one.own + 3, PATIENT)
        for peer in peers:
            peer.server.close()

    uvloop.run(asyncio.wait_for(story(), 2 * PATIENT))


def test_idle_clients_that_come_again_at_once_keep_out_nobody_with_a_request(tmp_path):
    async def story():
        peer = await Peer().start()
        async with serving(tmp_path, peer, AbsentListService("refused").port) as one:
            await one.says("call to discovery failed")
            crowd = {}

            async def stays(number: int) -> None:
                while True:
                    with suppress(ConnectionError):
                        client = crowd[number] = await one.caller()
                        await client.reader.read()
                        client.writer.close()

            staying = [asyncio.ensure_future(stays(number)) for number in range(48)]
            await until(lambda: len(crowd) == 48, PATIENT)
            for _ in range(10):
                late = await one.caller()
                # `ask` times out after 5 s, the request after 2 s
                assert (await late.ask(request()))[0] == 200
                one.open()
            assert one.most <= 64
            for task in staying:
                task.cancel()
        peer.server.close()

    uvloop.run(asyncio.wait_for(story(), 2 * PATIENT))
