"""The notice of a drain that is written while the process is stopped or stalled: real processes.

What the list service has written counts as received, though a stopped process reads it only when it
continues. Then the requests that waited in its sockets and the update are there at the same time: no request
may be decided by the old list.
"""

from __future__ import annotations

import asyncio
import os
import signal
import time

import pytest
from stand_ins import Peer, Registry, running, stop_process, target
from test_list_answers import HEAD, Call, Load, Scenario, chunk, play

CLIENTS = 4
SETTLES = 0.4  # s after a stop within which a misplaced request would be seen


class Stopped(Scenario):
    """One process with an open watch, and clients that keep sending while it is stopped."""

    async def __aenter__(self) -> Stopped:
        await super().__aenter__()
        self.loads += [Load(self.running[0], 0) for _ in range(CLIENTS - 1)]
        return self

    async def stop_while_written(self, news: bytes, stopped: float) -> float:
        """Stops the process for `stopped` s, during which the list service writes; returns when it wrote."""
        pid = self.running[0].process
        stop_process(pid.pid)
        await asyncio.sleep(0.02)
        self.services[0].calls[-1].write(news)
        written = time.monotonic()
        await asyncio.sleep(stopped)
        pid.send_signal(signal.SIGCONT)
        await asyncio.sleep(SETTLES)
        return written


@pytest.mark.parametrize(("stopped", "times"), [(0.3, 4), (0.7, 6), (1.0, 6), (4.5, 1)])
def test_a_process_that_was_stopped_sends_nothing_to_a_server_that_began_to_drain_meanwhile(
    stopped, times, tmp_path
):
    async def run() -> None:
        def serve(call: Call) -> None:
            call.write(HEAD + chunk(call.list(version, scenario.known)))

        version = 3
        scenario = Stopped(serve, tmp_path, processes=1)
        async with scenario:
            await scenario.until(
                lambda: bool(scenario.services[0].calls) and scenario.all_served_by(b"draining", 0.0)
            )
            call = scenario.services[0].calls[0]
            for _ in range(times):
                version += 1
                leaving = call.list(version, [{**scenario.known[0], "state": "leaving"}], whole=False)
                written = await scenario.stop_while_written(chunk(leaving), stopped)
                assert not scenario.late(written)
                version += 1
                scenario.services[0].calls[-1].write(chunk(call.list(version, scenario.known)))
                back = time.monotonic()
                await scenario.until(lambda since=back: scenario.all_served_by(b"draining", since))

    play(run)


# `serve` with one stall longer than the grace, at a given place, once a flag file exists, which it removes
STALLING_SERVE = """
import os, sys, time
from ospreyline import decide
from ospreyline.__main__ import main
from ospreyline.net import dispatcher, upstreams

place, flag, held_up = {place!r}, {flag!r}, {held_up!r}

def hold_up():
    if os.path.exists(flag):
        os.remove(flag)
        time.sleep(held_up)

def before(owner, name):
    run = getattr(owner, name)
    def held(*args, **more):
        hold_up()
        return run(*args, **more)
    setattr(owner, name, held)

connect = upstreams.ConnectionPool._connect
async def connected(peer, conn):
    await connect(peer, conn)
    hold_up()

if place == "the decision":
    before(decide.Balancer, "accept_visit")
elif place == "the write":
    before(dispatcher.EventDispatcher, "write")
else:
    upstreams.ConnectionPool._connect = connected
main(["serve", sys.argv[1]])
"""
STALL_S = 0.7  # s


@pytest.mark.parametrize("place", ["the decision", "the write", "the connection has come up"])
def test_a_send_that_is_held_up_for_longer_than_the_grace_looks_for_news_of_the_list(place, tmp_path):
    # observed with a process that was stopped for 0.7 s under load: 3 ms after it continued, requests that
    # were decided before were sent, with the update unread
    async def run() -> None:
        def serve(call: Call) -> None:
            call.write(HEAD + chunk(call.list(version, scenario.known)))

        version = 3
        flag = tmp_path / "hold up"
        shim = STALLING_SERVE.format(place=place, flag=str(flag), held_up=STALL_S)
        scenario = Stopped(serve, tmp_path, processes=1, shim=shim)
        async with scenario:
            await scenario.until(
                lambda: bool(scenario.services[0].calls) and scenario.all_served_by(b"draining", 0.0)
            )
            call = scenario.services[0].calls[0]
            for _ in range(4):
                version += 1
                news = chunk(call.list(version, [{**scenario.known[0], "state": "leaving"}], whole=False))
                flag.touch()
                if place == "the connection has come up":
                    for writer in scenario.draining.writers:  # kept-alive connections
                        writer.close()
                await scenario.until(lambda: not flag.exists())
                call.write(news)
                written = time.monotonic()
                await asyncio.sleep(STALL_S + SETTLES)
                assert not scenario.late(written)
                version += 1
                call.write(chunk(call.list(version, scenario.known)))
                back = time.monotonic()
                await scenario.until(lambda since=back: scenario.all_served_by(b"draining", since))

    play(run)


def test_what_is_put_off_until_the_list_is_read_waits_for_it_through_a_reload():
    # a SIGHUP right after a long stop: a reload runs one event batch before the new settings and one after
    # them, and the second must not execute what the first has deferred while the update is unread
    async def run() -> None:
        registry, peer = Registry(), Peer()
        async with running(peer, registry=registry) as service:
            dispatcher = service.dispatcher
            await registry.tell(4, target("u0", peer.port))
            while dispatcher.discovery.rev != 4:
                await asyncio.sleep(0)
            known_at_the_act: list[int] = []
            dispatcher._pending_actions.append(
                (lambda now: known_at_the_act.append(dispatcher.discovery.rev), ())
            )
            news = registry.writers[0].get_extra_info("socket").fileno()
            os.write(news, chunk(b'{"rev":5,"all":false,"targets":[]}\n'))
            dispatcher.apply_config(dispatcher._config)
            while not known_at_the_act:
                await asyncio.sleep(0)
            assert known_at_the_act == [5]

    play(run)
