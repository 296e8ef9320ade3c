"""Updates of the upstream list, start and stop, configuration, and exceptions in the decisions."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import socket
import subprocess
import sys
import time
from contextlib import suppress
from math import inf
from pathlib import Path
from typing import Any

import pytest
from click.testing import CliRunner
from stand_ins import (
    RESET,
    SILENT,
    Peer,
    Registry,
    caller,
    configuration,
    heard,
    ok,
    request,
    running,
    target,
)
from test_clients import play

from ospreyline import config
from ospreyline.__main__ import main
from ospreyline.net import dispatcher as dispatcher_module
from ospreyline.net import list_call
from ospreyline.net import service as service_module
from ospreyline.net.dispatcher import clock
from ospreyline.net.listing import Target
from ospreyline.net.upstream_directory import REMOVE_GONE_AFTER_MS


def whole_list(rev: int, *targets: dict[str, Any]) -> bytes:
    return json.dumps({"rev": rev, "all": True, "targets": targets}).encode() + b"\n"


async def status_of(service, path="/health/ready"):
    return (await (await caller(service)).ask(f"GET {path} HTTP/1.1\r\nHost: x\r\n\r\n".encode()))[0]


@pytest.mark.parametrize("piece", [1, 7, 1 << 20])
def test_changes_of_the_list_are_told_however_they_are_split(piece):
    async def scenario():
        registry, old, new = Registry(), Peer(ok(b"old")), await Peer(ok(b"new")).start()
        async with running(old, registry=registry) as service:
            client = await caller(service)
            await heard(service, registry)
            assert (await client.ask(request()))[2] == b"old"
            leaving = target("u0", old.port, state="leaving")
            await registry.tell(4, target("ü1", new.port), leaving, piece=piece)
            await old.until(lambda: old.open == 0)  # idle connections to it are closed
            assert [(await client.ask(request()))[2] for _ in range(5)] == [b"new"] * 5
            assert b"?watch=1&after=3 " in registry.requests[0][0]
            await registry.tell(5, target("u0", old.port), whole=True, piece=piece)
            await new.until(lambda: new.open == 0)
            assert [(await client.ask(request()))[2] for _ in range(5)] == [b"old"] * 5

    play(scenario)


@pytest.mark.parametrize(
    "line",
    [
        b"no JSON\n",
        b'{"rev":9}\n',
        b"\xff\xfe\n",
        b"[]\n",
        # older than the known version
        b'{"rev":1,"all":false,"targets":[{"uid":"u0","endpoint":"","state":"left"}]}\n',
        b'{"rev":9,"all":false,"targets":[{"uid":7},{"endpoint":"x"},{"uid":"z","endpoint":"nowhere"}]}\n',
        b'{"rev":9,"all":false,"targets":[{"uid":"z","endpoint":"127.0.0.1:99999"}]}\n',
        b'{"rev":9,"all":false,"targets":[{"uid":"z","endpoint":"127.0.0.1:1","state":"odd","az":"q"}]}\n',
    ],
)
def test_odd_lines_of_the_list_are_never_fatal(line):
    async def scenario():
        registry, peer = Registry(), Peer()
        async with running(peer, registry=registry) as service:
            client = await caller(service)
            other = await Peer(ok(b"other")).start()
            registry.plain = whole_list(9, target("u0", peer.port))
            await registry.say(line)
            # a call for the whole list, made because of the line, is answered as before or after the change
            registry.plain = whole_list(10, target("u9", other.port))
            await registry.tell(10, target("u9", other.port), target("u0", peer.port, state="left"))
            while b"other" not in (await client.ask(request()))[2]:
                await registry.until(lambda: bool(registry.writers))
                # a watch that was closed because of the line is opened again from its last version
                if len(registry.requests) > 1:
                    await registry.tell(10, target("u9", other.port), target("u0", peer.port, state="left"))
            assert (await client.ask(request()))[0] == 200

    play(scenario)


def test_entries_that_name_nobody_keep_requests_back_until_the_whole_list_has_come():
    async def scenario():
        registry, peer = Registry(), Peer()
        async with running(peer, registry=registry) as service:
            client = await caller(service)
            await registry.tell(8)
            while service.dispatcher.discovery.rev != 8:
                await asyncio.sleep(0.01)
            await registry.say(b'{"rev":9,"all":false,"targets":[{"uid":7}]}\n')
            await registry.until(lambda: len(registry.writers) == 2)
            assert b"?watch=1" not in registry.requests[1][0]
            watch, plain = registry.writers
            # the unreadable entry may be about u0, which may be draining
            while (answer := await client.ask(request()))[0] == 200:
                await asyncio.sleep(0.01)
            assert answer[0] == 503
            # a later partial update does not contain what that one had, whatever its version
            registry.writers[:] = [watch]
            await registry.tell(10, target("u9", peer.port))
            while service.dispatcher.discovery.rev != 10:
                await asyncio.sleep(0.01)
            assert (await client.ask(request()))[0] == 503
            registry.writers[:] = [plain]
            await registry.tell(11, target("u0", peer.port), whole=True)
            plain.write(b"0\r\n\r\n")
            while (await client.ask(request()))[0] != 200:
                await asyncio.sleep(0.01)

    play(scenario)


@pytest.mark.parametrize("how", ["reset", "ends", "silent"])
def test_a_watch_that_fails_is_asked_again(how, monkeypatch):
    async def scenario():
        registry, peer = Registry(), Peer()
        if how == "reset":
            registry.answers = [RESET]
        if how == "silent":
            monkeypatch.setattr(list_call, "SILENCE_TIMEOUT_S", 0.05)
        async with running(peer, registry=registry):
            await registry.until(lambda: bool(registry.requests))
            if how == "ends":
                await registry.until(lambda: bool(registry.writers))
                registry.writers[-1].close()
            await registry.until(lambda: len(registry.requests) > 1)

    play(scenario)


def test_start_times_are_taken_to_our_clock_once():
    async def scenario():
        async with running(Peer()) as service:
            entry = service.dispatcher.directory.list_entry
            young = Target("u0", "127.0.0.1:1", "a", 0, "active", time.time() * 1e3 - 5_000)
            old = Target("u1", "127.0.0.1:1", "a", 0, "active", 0)
            assert entry(young, 0).started_at == pytest.approx(clock() - 5_000, abs=500)
            assert entry(young, 0).started_at == entry(young, 0).started_at
            assert entry(old, 1).started_at == 0.0
            assert entry(old, 1).hash_key == entry(old, 5).hash_key != entry(young, 0).hash_key

    play(scenario)


def test_an_entry_without_its_place_does_not_move_an_upstream():
    async def scenario():
        async with running(Peer(), Peer()) as service:
            dispatcher = service.dispatcher
            dispatcher.directory.list_entry(Target("u0", az="b", pod_group=4), 0)
            for odd in (Target("u0", state="left"), Target("u0", az="nowhere")):
                line = dispatcher.directory.list_entry(odd, 0)
                assert (line.zone, line.cell) == (1, 4)
            assert dispatcher.directory.list_entry(Target("u0", az="a", pod_group=2), 0).zone == 0

    play(scenario)


def test_ready_means_that_a_visit_could_be_decided():
    async def scenario():
        registry = Registry()
        async with running(registry=registry, known=[]) as service:
            assert await status_of(service) == 503
            assert await status_of(service, "/health/live") == 200
            peer = await Peer().start()
            await registry.tell(4, target("u0", peer.port), whole=True)
            while await status_of(service) != 200:
                pass
            assert (await (await caller(service)).ask(request()))[0] == 200

    play(scenario)


def test_at_a_stop_what_was_taken_is_answered_and_new_connections_still_come(monkeypatch):
    async def scenario():
        monkeypatch.setattr(service_module, "KEEP_ACCEPTING_S", 0.05)
        peer = Peer(SILENT)
        async with running(peer) as service:
            waiting, idle = await caller(service), await caller(service)
            waiting.writer.write(request("/change", "POST", b"x"))
            await peer.until(lambda: bool(peer.requests))
            peer.answers = [ok(b"soon")]
            assert (await idle.ask(request()))[0] == 200
            stopping = asyncio.ensure_future(service.stop())
            await asyncio.sleep(0)
            late = await caller(service)
            status, head, _ = await late.ask(request())
            assert status == 200 and b"Connection: close" in head
            assert await idle.reader.read() == b""  # idle, so it is closed
            peer.writers[0].write(ok(b"slow"))
            status, head, body = await waiting.answer()
            assert (status, body) == (200, b"slow") and b"Connection: close" in head
            waiting.writer.close()
            late.writer.close()
            await stopping
            with pytest.raises(ConnectionError):
                await caller(service)

    play(scenario)


@pytest.mark.parametrize("call", ["accept_visit", "_fetch_ended"])
def test_a_fault_in_the_decisions_costs_one_visit_and_that_is_answered(call, monkeypatch):
    async def scenario():
        peers = Peer(ok(b"", b"", b"500 Internal Server Error"), ok()), Peer()
        peers[1].answers = peers[0].answers
        async with running(*peers) as service:
            client = await caller(service)

            def fault(*_):
                monkeypatch.undo()
                raise RuntimeError("a fault")

            monkeypatch.setattr(service.dispatcher.balancer, call, fault)
            status, _, _ = await client.ask(request("/change", "POST", b"x"))
            assert status == 502
            assert (await client.ask(request()))[0] == 200
            assert not service.dispatcher.visits

    play(scenario)


def test_a_visit_that_was_held_and_then_given_up_is_forgotten(monkeypatch):
    async def scenario():
        # seen on busy days: hundreds of open visits in the counts, with a few dozen clients
        async with running(Peer()) as service:
            monkeypatch.setattr(service.dispatcher.balancer, "_choose_and_send", lambda *_: False)
            service.dispatcher.balancer._delivery_rate = 100.0
            client = await caller(service)
            client.writer.write(request(X_Expires_In="0.3"))
            while not service.dispatcher.balancer._queued:
                await asyncio.sleep(0)
            assert service.dispatcher.visits and (await client.answer())[0] == 503
            assert not service.dispatcher.visits

    play(scenario)


def test_a_visit_that_the_decisions_forget_is_answered_by_the_backstop(monkeypatch):
    async def scenario():
        async with running(Peer(SILENT)) as service:
            monkeypatch.setattr(service.dispatcher, "ended", lambda *_: None)
            status, _, _ = await (await caller(service)).ask(request(X_Expires_In="0.05"))
            assert status in (502, 504)

    play(scenario)


def test_upstreams_that_are_long_gone_are_forgotten():
    async def scenario():
        # a fleet that is replaced all day under new ids; each new instance has the address of a former one
        registry, peer = Registry(), Peer()
        async with running(peer, registry=registry, known=[]) as service:
            client, dispatcher = await caller(service), service.dispatcher
            for n in range(20):
                old = [target(f"s{n - 1}", peer.port, state="left")] if n else []
                await registry.tell(n + 4, target(f"s{n}", peer.port), *old)
                while f"s{n}" not in dispatcher.directory.index_by_uid:
                    await asyncio.sleep(0)
                while (await client.ask(request()))[0] != 200:
                    pass
                await peer.until(lambda: peer.open == 1)  # no connection is kept for the next one
                dispatcher.run_maintenance(clock() + REMOVE_GONE_AFTER_MS + 1)
            assert (
                len(dispatcher.directory.index_by_uid)
                == len(dispatcher.directory.readiness)
                == len(dispatcher.directory.target_by_uid)
                == len(dispatcher.upstreams.pools)
            )
            assert (
                len(dispatcher.directory.index_by_uid)
                == len(dispatcher.balancer._upstreams)
                == len(dispatcher.balancer._ring)
                <= 2
            )

    play(scenario)


def moved(service, registry, **changes):
    """Reload a configuration with another discovery address."""
    raw_config = configuration([], registry.port) | changes
    service.reload(lambda: (config.parse(json.dumps(raw_config).encode(), {}), None))


@pytest.mark.parametrize("first", ["whole", "changes"])
def test_a_reload_moves_discovery_and_loses_no_news_on_the_way(first):
    async def scenario():
        old, new = Registry(), await Registry().start()
        peers = Peer(ok(b"0")), Peer(ok(b"1")), Peer(ok(b"2"))
        async with running(*peers, registry=old) as service:
            client = await caller(service)
            await old.tell(7, target("u9", 1, state="left"))
            while (
                service.dispatcher.balancer._call_schedule.next_call_at < inf
            ):  # otherwise another call may be due
                await asyncio.sleep(0)
            moved(service, new)
            await new.until(lambda: bool(new.writers))
            # updates of the old service still count until the new one has answered
            await old.tell(8, target("u0", peers[0].port, state="leaving"))
            while b"0" in [(await client.ask(request()))[2] for _ in range(20)]:
                pass
            for writer in list(old.writers):
                writer.close()  # this must not count as a failure of the new service
            await old.until(lambda: not old.writers)
            # the new service has its own version numbers; later numbers of the old one mean nothing there
            assert b"after=0 " in new.requests[0][0]
            await new.tell(
                2,
                target("u1", peers[1].port, state="leaving"),
                target("u2", peers[2].port),
                whole=first == "whole",
            )
            while {(await client.ask(request()))[2] for _ in range(20)} != {b"2"}:
                pass
            # removed upstreams may be missing in a partial list, so the whole list is requested
            if first == "changes":
                await new.until(lambda: len(new.requests) > 1)
                assert new.requests[1][0].startswith(b"GET /registry/instances HTTP")
            assert service.dispatcher.counts["faults"] == 0 and len(new.requests) == 1 + (first == "changes")

    play(scenario)


def test_a_second_reload_before_the_first_has_been_answered_keeps_hearing_the_oldest():
    async def scenario():
        registries = [await Registry().start() for _ in range(3)]
        peers = Peer(ok(b"0")), Peer(ok(b"1"))
        async with running(*peers, registry=registries[0]) as service:
            await registries[0].tell(5, target("u1", peers[1].port))
            for registry in registries[1:]:
                moved(service, registry)
            await registries[0].tell(6, target("u0", peers[0].port, state="leaving"))
            client = await caller(service)
            while {(await client.ask(request()))[2] for _ in range(20)} != {b"1"}:
                pass
            # this call began before that update, so what it says of u0 is requested again and then counts
            registries[2].plain = whole_list(1, target("u0", peers[0].port))
            await registries[2].tell(1, target("u0", peers[0].port), whole=True)
            while {(await client.ask(request()))[2] for _ in range(20)} != {b"0"}:
                pass
            await registries[0].until(lambda: not registries[0].writers)

    play(scenario)


@pytest.mark.parametrize("text", [b"", b'{"name"', b'{"settings":{"PathPrefixes":[]}}', None])
def test_a_reload_of_an_unusable_file_changes_nothing(text, tmp_path):
    async def scenario():
        registry, file = Registry(), tmp_path / "config.json"
        if text is not None:
            file.write_bytes(text)
        async with running(Peer(), registry=registry) as service:
            await heard(service, registry)
            service.reload(lambda: (config.load(file, {}, reload=True), None))
            assert service.dispatcher.discovery.at[1] == registry.port and registry.writers
            assert (await (await caller(service)).ask(request()))[0] == 200

    play(scenario)


def test_a_reload_names_what_needs_a_restart_and_takes_discovery_from_the_file(tmp_path):
    file = tmp_path / "config.json"
    raw_config = configuration([], 7)
    file.write_text(json.dumps(raw_config))
    env = {"PROXY_DISCOVERY": "127.0.0.1:5", "PROXY_NAME": "n7"}
    first, again = config.load(file, env), config.load(file, env, reload=True)
    assert first.discovery[1] == 5 and again.discovery[1] == 7 and not first.needs_restart(again)
    raw_config["limits"]["sockets"] = 99
    raw_config["settings"]["PathPrefixes"][0]["Gain"] = 3
    raw_config["listen"] = "127.0.0.1:1"
    file.write_text(json.dumps(raw_config))
    assert first.needs_restart(config.load(file, env, reload=True)) == ["listen", "limits"]


@pytest.mark.parametrize(
    ("path", "value", "says"),
    [
        (("settings",), None, "settings"),
        (("listen",), "nowhere", "listen: 'nowhere'"),
        (("discovery",), "127.0.0.1:0", "discovery:"),
        (("seed",), "xyz", "seed: 'xyz'"),
        (("limits", "sockets"), 10, "limits.sockets: 10"),
        (("limits", "sockets"), "many", "limits.sockets:"),
        (("settings", "Zone"), 9, "settings.Zone: 9"),
        (("settings", "Caps", "ConnectTimeoutUs"), 0, "settings.Caps.ConnectTimeoutUs: 0.0"),
        (("settings", "Dcs"), 3, "settings.Dcs:"),
        (("settings", "PathPrefixes"), None, "settings: Object missing required field `PathPrefixes`"),
        (("settings", "PathPrefixes", 1, "Semantics"), "odd", "settings.PathPrefixes[1].Semantics"),
        (("settings", "PathPrefixes", 1, "KeyScope"), "odd", "settings.PathPrefixes[1].KeyScope"),
        (("settings", "PathPrefixes", 0, "ClientTimeoutUs"), -1, "settings.PathPrefixes[0].ClientTimeoutUs"),
        (("settings", "PathPrefixes", 0, "ClientTimeoutUs"), None, "ClientTimeoutUs"),
        (("settings", "PathPrefixes", 2, "Name"), "read", "settings.PathPrefixes[2].Name"),
    ],
)
def test_a_faulty_configuration_is_one_line_that_names_the_key(path, value, says, tmp_path):
    raw_config = configuration([])
    section = raw_config
    for key in path[:-1]:
        section = section[key]
    if value is None:
        del section[path[-1]]
    else:
        section[path[-1]] = value
    file = tmp_path / "config.json"
    file.write_text(json.dumps(raw_config))
    result = CliRunner().invoke(main, ["check", str(file)])
    assert result.exit_code == 2 and says in result.stderr and len(result.stderr.splitlines()) == 1


@pytest.mark.parametrize("text", [None, "{", ""])
def test_a_configuration_that_is_no_file_or_no_json_is_one_line(text, tmp_path):
    file = tmp_path / "config.json"
    if text is not None:
        file.write_text(text)
    result = CliRunner().invoke(main, ["serve"], env={"PROXY_CONFIG": str(file)})
    assert result.exit_code == 2 and len(result.stderr.splitlines()) == 1 and str(file) in result.stderr


def test_a_process_starts_stops_and_leaves_no_thread_polling(tmp_path):
    # seen under a CPU time limit: an io_uring thread of libuv used all of it
    file = tmp_path / "config.json"
    file.write_text(json.dumps(configuration([target("u0", 1)])))
    command = [sys.executable, "-m", "ospreyline", "serve", str(file)]
    process = subprocess.Popen(command, stdout=subprocess.PIPE, text=True)
    try:
        lines = iter(process.stdout.readline, "")
        serving = next(line for line in map(json.loads, lines) if line["event"] == "serving")
        host, port = serving["listen"].split(":")
        with socket.create_connection((host, int(port)), timeout=5) as client:
            ready, ends = b"", time.monotonic() + 5.0
            # no list service listens, which the first call finds out
            while not ready.startswith(b"HTTP/1.1 200 OK"):
                assert time.monotonic() < ends
                client.sendall(b"GET /health/ready HTTP/1.1\r\nHost: x\r\n\r\n")
                ready = client.recv(100)
        fds = Path(f"/proc/{process.pid}/fd")
        if fds.exists():
            assert not [fd for fd in fds.iterdir() if fd.is_symlink() and "io_uring" in os.readlink(fd)]
        for port in (9, 9, 10):  # an unchanged file, then a changed one: the process goes on
            file.write_text(json.dumps(configuration([], port)))
            process.send_signal(signal.SIGHUP)
            reloaded = next(line for line in map(json.loads, lines) if line["event"] == "reloaded")
            assert reloaded["discovery"] == f"127.0.0.1:{port}"
        process.terminate()
        assert [json.loads(line)["event"] for line in lines][-1] == "stopped"
        assert process.wait(10) == 0
    finally:
        process.kill()
        process.wait()
        process.stdout.close()


def test_a_log_that_nobody_reads_costs_nothing():
    reads, writes = os.pipe()
    file = os.fdopen(writes, "w")
    log = service_module.LogFile(file)
    os.close(reads)
    log.write("a line\n")
    log.flush()
    with suppress(OSError):
        file.close()
    log.write("another\n")


def test_an_address_in_use_is_one_line(tmp_path, monkeypatch):
    # it would configure logging for the whole process
    monkeypatch.setattr(service_module, "start_log", lambda: None)
    with socket.create_server(("127.0.0.1", 0)) as taken:
        raw_config = configuration([]) | {"listen": f"127.0.0.1:{taken.getsockname()[1]}"}
        file = tmp_path / "config.json"
        file.write_text(json.dumps(raw_config))
        result = CliRunner().invoke(main, ["serve", str(file)])
    assert result.exit_code == 1 and "cannot listen on 127.0.0.1" in result.stderr


def test_variables_win_over_the_file():
    raw_config = configuration([])
    parsed = config.parse(
        json.dumps(raw_config).encode(), {"PROXY_LISTEN": "127.0.0.2:80", "PROXY_NAME": "n7"}
    )
    assert parsed.listen == ("127.0.0.2", 80) and parsed.name == "n7" and parsed.seed == 0x8C1F


@pytest.mark.parametrize(
    ("stalled_ms", "after", "sent"), [(900.0, 0.0, False), (900.0, 300.0, True), (300.0, 0.0, True)]
)
def test_what_waited_while_the_process_stood_still_is_not_sent_for_a_client_that_has_gone(
    stalled_ms, after, sent, monkeypatch
):
    # seen on the test rig: a process that had been stopped went on with requests whose clients had given up
    # long before
    async def scenario():
        peer = Peer()
        async with running(peer) as service:
            dispatcher, at = service.dispatcher, [dispatcher_module.clock()]
            monkeypatch.setattr(dispatcher_module, "clock", lambda: at[0])
            for passed in (0.0, stalled_ms):
                at[0] += passed
                dispatcher._dispatch()
            at[0] += after
            client = await caller(service)
            status, _, _ = await client.ask(request("/change/x", "POST", b"{}", X_Expires_In="0.7"))
            assert (status == 200) is sent and bool(peer.requests) is sent
            assert status in (200, 503)  # it never ran, and the client is told so

    asyncio.run(scenario())
