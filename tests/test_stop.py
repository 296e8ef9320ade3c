"""Events that coincide with a shutdown: queued connections, late first requests, slow readers, signals."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import socket
import subprocess
import sys
import threading

import pytest
from stand_ins import SILENT, Caller, Peer, caller, configuration, ok, request, running, target
from test_clients import play

from ospreyline import config
from ospreyline.net import clients
from ospreyline.net import service as service_module


def stopping(service, monkeypatch, keep=0.0):
    """Start a shutdown; also returns an event that is set at its first attempt to stop listening."""
    tried, real = asyncio.Event(), service.clients.stop_listening

    def stop_listening():
        tried.set()
        return real()

    monkeypatch.setattr(service_module, "KEEP_ACCEPTING_S", keep)
    monkeypatch.setattr(service.clients, "stop_listening", stop_listening)
    return asyncio.ensure_future(service.stop()), tried


def test_what_waits_to_be_accepted_at_the_limit_is_taken_before_the_listener_closes(monkeypatch):
    # accepting was paused at the descriptor limit, and the listener was closed with whole requests in its
    # queue
    async def scenario():
        peer = Peer(SILENT)
        async with running(peer, sockets=64) as service:
            limit = service.dispatcher.max_clients
            callers: list[Caller] = []
            for _ in range(limit):
                callers.append(await caller(service))
                callers[-1].writer.write(request("/change", "POST", b"x"))
            while sum(client.current_request is not None for client in service.clients.open) < limit:
                await asyncio.sleep(0)
            # for these clients the connections are established and the requests written
            for _ in range(4):
                callers.append(await caller(service))
                callers[-1].writer.write(request("/change", "POST", b"x"))
            stop, tried = stopping(service, monkeypatch)
            await tried.wait()
            peer.answers = [ok()]
            for writer in list(peer.writers):
                writer.write(ok())
            answers = await asyncio.gather(*(client.answer() for client in callers))
            assert {status for status, _, _ in answers} <= {200, 503}  # 503: no capacity at the only upstream
            for client in callers:
                client.writer.close()
            await asyncio.wait_for(stop, 4)

    play(scenario)


@pytest.mark.parametrize("first", ["request", "stop"])
def test_the_first_request_of_a_new_connection_is_answered_though_it_comes_late(first, monkeypatch):
    # a new connection was closed without an answer after 0.1 s; such a request is lost, as nobody repeats it
    async def scenario():
        monkeypatch.setattr(clients, "QUIET_BEFORE_CLOSE_S", -1.0)
        async with running(Peer()) as service:
            late = await caller(service)
            while not service.clients.open:
                await asyncio.sleep(0)
            if first == "request":
                late.writer.write(request())
            stop, tried = stopping(service, monkeypatch)
            await tried.wait()
            await asyncio.sleep(0)
            if first == "stop":
                late.writer.write(request())
            status, head, _ = await late.answer()
            assert status == 200 and b"Connection: close" in head
            late.writer.close()
            await asyncio.wait_for(stop, 4)

    play(scenario)


def test_one_that_never_asks_does_not_hold_a_stop_for_long(monkeypatch):
    async def scenario():
        monkeypatch.setattr(clients, "FIRST_REQUEST_GRACE_S", 0.1)
        async with running(Peer()) as service:
            silent = await caller(service)
            while not service.clients.open:
                await asyncio.sleep(0)
            stop, _ = stopping(service, monkeypatch)
            assert await silent.reader.read() == b""
            silent.writer.close()
            await asyncio.wait_for(stop, 1)

    play(scenario)


@pytest.mark.parametrize("unread", [True, False])
def test_a_kept_connection_is_not_closed_over_a_request_that_lies_in_its_socket(unread, monkeypatch):
    async def scenario():
        monkeypatch.setattr(clients, "QUIET_BEFORE_CLOSE_S", -1.0)
        async with running(Peer()) as service:
            kept, loop = socket.create_connection(service.at), asyncio.get_running_loop()
            kept.setblocking(False)
            kept.sendall(request())
            (client,) = await until_open(service)
            assert (await loop.sock_recv(kept, 4096)).startswith(b"HTTP/1.1 200")
            if unread:
                kept.sendall(request())
            service.dispatcher.closing = True
            service.clients.close_idle()  # the socket has not been read since
            assert client._finished is not unread
            if unread:
                assert (await loop.sock_recv(kept, 4096)).startswith(b"HTTP/1.1 200")
            assert await loop.sock_recv(kept, 4096) == b""
            kept.close()

    async def until_open(service):
        while not service.clients.open:
            await asyncio.sleep(0)
        return tuple(service.clients.open)

    play(scenario)


def reload(service, registry_port=1, timeout_us=2_000_000):
    raw_config = configuration([], registry_port)
    for prefix in raw_config["settings"]["PathPrefixes"]:
        prefix["ClientTimeoutUs"] = timeout_us
    service.reload(lambda: (config.parse(json.dumps(raw_config).encode(), {}), None))


@pytest.mark.parametrize("how", ["shortened", "long"])
def test_what_is_out_is_answered_before_the_earliest_kill(how, monkeypatch):
    # shutdown waited for the longest client timeout ever configured, and longer than the notice period
    async def scenario():
        monkeypatch.setattr(service_module, "MAX_DRAIN_S", 0.3)
        peer = Peer(SILENT)
        async with running(peer) as service:
            client = await caller(service)
            reload(service, timeout_us=9_000_000)
            client.writer.write(request("/change", "POST", b"x"))
            await peer.until(lambda: bool(peer.requests))
            if how == "shortened":
                reload(service, timeout_us=100_000)
            notice = 0.1 if how == "shortened" else 0.3
            began = asyncio.get_running_loop().time()
            stop, _ = stopping(service, monkeypatch)
            status, _, _ = await client.answer()
            assert status in (502, 504) and await client.reader.read() == b""
            client.writer.close()
            await stop
            assert asyncio.get_running_loop().time() - began < notice + 0.7

    play(scenario)


def test_the_last_answers_leave_our_buffers_before_the_end(monkeypatch):
    async def scenario():
        for name, value in (("MAX_DRAIN_S", 0.0), ("FINAL_ANSWER_GRACE_S", 0.1), ("FLUSH_GRACE_S", 3.0)):
            monkeypatch.setattr(service_module, name, value)
        body = b"x" * 1_000_000
        async with running(Peer(ok(body))) as service:
            slow = socket.socket()
            slow.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
            slow.setblocking(False)
            loop = asyncio.get_running_loop()
            await loop.sock_connect(slow, service.at)
            while not service.clients.open:
                await asyncio.sleep(0)
            (client,) = service.clients.open
            client.transport.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
            await loop.sock_sendall(slow, request())
            while not service.clients.has_unsent_answers():
                await asyncio.sleep(0)
            began = loop.time()
            stop, _ = stopping(service, monkeypatch)
            while loop.time() < began + 0.15:  # past the time at which the answer was cut off before
                await asyncio.sleep(0.01)
            got = bytearray()
            while data := await loop.sock_recv(slow, 65_536):
                got += data
            assert got.endswith(body)
            slow.close()
            await stop

    play(scenario)


def start(tmp_path):
    """Start a process that waits until the test writes its configuration to a pipe."""
    fifo = tmp_path / "config.json"
    os.mkfifo(fifo)
    command = [sys.executable, "-m", "ospreyline", "serve", str(fifo)]
    return fifo, subprocess.Popen(command, stdout=subprocess.PIPE, stderr=subprocess.DEVNULL, text=True)


@pytest.mark.parametrize("number", [signal.SIGTERM, signal.SIGHUP])
def test_a_signal_before_it_is_heard_is_heard_later(number, tmp_path):
    # SIGTERM ended the process; SIGHUP was lost, and with it a configuration file that had just been replaced
    fifo, process = start(tmp_path)
    watchdog = threading.Timer(15, process.kill)
    watchdog.start()
    try:
        with open(fifo, "w") as pipe:  # the process is reading its configuration file, which is now replaced
            new = tmp_path / "new.json"
            new.write_text(json.dumps(configuration([target("u0", 1)], 10)))
            new.replace(fifo)
            process.send_signal(number)
            pipe.write(json.dumps(configuration([target("u0", 1)], 9)))
        if number == signal.SIGHUP:
            lines = map(json.loads, iter(process.stdout.readline, ""))
            found = next((line for line in lines if line["event"] == "reloaded"), {})
            assert found.get("discovery") == "127.0.0.1:10"
            process.send_signal(signal.SIGTERM)
            process.send_signal(signal.SIGTERM)  # a second signal has no further effect
        events = [json.loads(line)["event"] for line in process.stdout]
        assert "stopping" in events and events[-1] == "stopped" and process.wait(10) == 0
    finally:
        watchdog.cancel()
        process.kill()
        process.wait()
        process.stdout.close()
