"""Reuse of upstream connections with unread data, or whose upstream's list entry has changed."""

from __future__ import annotations

import asyncio
import socket
import struct

import pytest
from stand_ins import SILENT, Peer, Registry, caller, ok, request, running, target
from test_clients import play
from test_left import Gate
from test_lists import served_by

from ospreyline.net import upstreams
from ospreyline.net.dispatcher import clock


class Raw:
    """An upstream under the test's control: nothing is read or written automatically."""

    def __init__(self) -> None:
        self.server = socket.create_server(("127.0.0.1", 0))
        self.server.setblocking(False)
        self.port = self.server.getsockname()[1]

    async def take(self) -> tuple[socket.socket, bytes]:
        """The next connection, and the request received on it."""
        loop = asyncio.get_running_loop()
        conn, _ = await asyncio.wait_for(loop.sock_accept(self.server), 5)
        return conn, await asyncio.wait_for(loop.sock_recv(conn, 65_536), 5)


@pytest.mark.parametrize("path", ["/read", "/change"])
@pytest.mark.parametrize("what", ["end", "reset", "second answer", "nothing"])
def test_a_connection_with_something_unread_is_not_used_again(what, path, monkeypatch):
    # the connection's end was unread when a visit used it: a reset that may have executed, for a visit that
    # must not be repeated
    async def scenario():
        monkeypatch.setattr(upstreams, "SETTLE_MS", 0.0)
        raw, loop = Raw(), asyncio.get_running_loop()
        async with running(known=[target("u0", raw.port)]) as service:
            balancer, place = service.dispatcher.balancer, service.dispatcher.balancer._choose_and_send
            client = await caller(service)
            client.writer.write(request())
            conn, _ = await raw.take()
            conn.sendall(ok(b"first"))
            assert (await client.answer())[2] == b"first"
            # the next request is queued, so that it is sent in a batch before which no socket is read
            monkeypatch.setattr(balancer, "_choose_and_send", lambda *_: False)
            balancer._delivery_rate = 100.0
            client.writer.write(request(path, "GET" if path == "/read" else "POST", trace="next"))
            while not balancer._queued:
                await asyncio.sleep(0)
            monkeypatch.setattr(balancer, "_choose_and_send", place)
            if what == "reset":
                conn.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            if what in ("end", "reset"):
                conn.close()
            elif what == "second answer":
                conn.sendall(ok(b"first"))
            balancer._check_queue(clock())
            service.dispatcher._dispatch()
            if what == "nothing":
                got = await loop.sock_recv(conn, 65_536)
            else:
                conn, got = await raw.take()
            assert b"next" in got
            conn.sendall(ok(b"next"))
            status, _, body = await client.answer()
            assert (status, body) == (200, b"next")
            assert service.dispatcher.counts["reset"] == service.dispatcher.counts["errored"] == 0
            conn.close()

    play(scenario)


@pytest.mark.parametrize("first", ["answer", "list"])
@pytest.mark.parametrize("how", ["address", "process", "drained and back"])
def test_a_connection_to_what_the_upstream_was_is_not_used_again(how, first, monkeypatch):
    # an answer that arrived after the list entry had changed put its connection back among the idle ones
    async def scenario():
        monkeypatch.setattr(upstreams, "SETTLE_MS", 0.0)
        registry, old, new = Registry(), Peer(SILENT), await Peer(ok(b"new")).start()
        async with running(old, registry=registry) as service:
            await registry.tell(4)
            client = await caller(service)
            client.writer.write(request())
            await old.until(lambda: bool(old.requests))
            port = new.port if how == "address" else old.port
            rev = 5

            async def update_list():
                nonlocal rev
                if how == "drained and back":
                    await registry.tell(rev, target("u0", port, state="leaving"))
                    rev += 1
                boot = 1e12 if how == "process" else 0
                await registry.tell(rev, target("u0", port, boot_ms=boot))
                while service.dispatcher.discovery.rev != rev:
                    await asyncio.sleep(0)

            async def answer():
                old.writers[0].write(ok(b"old"))
                assert (await client.answer())[2] == b"old"

            for event in (answer, update_list) if first == "answer" else (update_list, answer):
                await event()
            old.answers = [ok(b"again")]
            await old.until(lambda: old.open == 0)  # that connection is closed
            await served_by(service, {b"new" if how == "address" else b"again"})
            assert len(old.requests) == 1 or how != "address"

    play(scenario)


@pytest.mark.parametrize("how", ["address", "process"])
def test_what_waits_for_a_connection_to_what_the_upstream_was_is_chosen_anew(how, monkeypatch):
    async def scenario():
        registry = Registry()
        gate = await Gate().held(asyncio.get_running_loop(), monkeypatch)
        new = await Peer(ok(b"new")).start()
        async with running(
            registry=registry, known=[target("u0", gate.port)], ConnectTimeoutUs=4_000_000
        ) as service:
            await registry.tell(4)
            client = await caller(service)
            client.writer.write(request("/change", "POST", b"x"))
            await asyncio.wait_for(gate.connecting.wait(), 5)
            moved = target("u0", new.port) if how == "address" else target("u0", gate.port, boot_ms=1e12)
            await registry.tell(5, moved)
            while not service.dispatcher.counts["unsent"]:
                await asyncio.sleep(0)
            gate.open.set()
            # it never ran: sent elsewhere, or bounced if this is the only upstream
            assert (await client.answer())[0] == 503
            for _ in range(20):
                await asyncio.sleep(0)
            assert not gate.got

    play(scenario)


def test_what_was_chosen_in_the_turn_in_which_its_upstream_was_started_anew_is_chosen_again(monkeypatch):
    # chosen as warm, then reported cold, then written: it exceeded the cold budget and was not counted
    async def scenario():
        peer = Peer(SILENT)
        async with running(peer) as service:
            dispatcher, real, written = service.dispatcher, service.dispatcher._begin_visit, []

            def begin_then_update(now, pending):
                real(now, pending)
                dispatcher._on_list_update(now, restart_update())

            def restart_update():
                from ospreyline.net.listing import ListUpdate, Target

                restarted = Target("u0", f"127.0.0.1:{peer.port}", "a", 0, "active", 1e3 * wall())
                return ListUpdate(9, False, [(restarted, ("127.0.0.1", peer.port))])

            def wall():
                import time

                return time.time()

            start = upstreams.UpstreamConnection.start

            def recording_start(conn, exchange, now):
                written.append(len(dispatcher.balancer._upstreams[0].cold_sends))
                start(conn, exchange, now)

            monkeypatch.setattr(upstreams.UpstreamConnection, "start", recording_start)
            monkeypatch.setattr(dispatcher, "_begin_visit", begin_then_update)
            client = await caller(service)
            client.writer.write(request(X_Expires_In="0.3"))
            await client.answer()
            assert all(written)

    play(scenario)


@pytest.mark.parametrize("first", ["connection", "time-out"])
def test_a_connection_that_comes_up_after_its_fetchs_time_is_not_written_on(first, monkeypatch):
    async def scenario():
        gate = await Gate().held(asyncio.get_running_loop(), monkeypatch)
        async with running(known=[target("u0", gate.port)], ConnectTimeoutUs=4_000_000) as service:
            client = await caller(service)
            client.writer.write(request("/change", "POST", b"x", X_Expires_In="0.2"))
            await asyncio.wait_for(gate.connecting.wait(), 5)
            if first == "connection":
                gate.open.set()
                while not gate.got:
                    await asyncio.sleep(0)
            status, _, _ = await client.answer()
            gate.open.set()
            for _ in range(20):
                await asyncio.sleep(0)
            # once written it may have executed; never written, it is bounced
            assert status == (504 if first == "connection" else 503)
            assert bool(gate.got) is (first == "connection")

    play(scenario)
