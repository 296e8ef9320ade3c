"""News of a drain that is written while the process is stopped, or held up: real processes.

What the list service has written counts as told, though a process that is stopped reads it only when it goes
on. Then the requests that waited in its sockets and the news are there at once: nothing may be decided by the
list of before.
"""

from __future__ import annotations

import asyncio
import os
import signal
import time

import pytest
from stand_ins import Peer, Registry, running, target
from test_list_answers import HEAD, Call, Load, Story, chunk, play

CLIENTS = 4  # that ask without a pause
SETTLES = 0.4  # s after a stop, in which a misplaced request would show


class Stopped(Story):
    """One process with a watch that stands, and clients that go on asking while it is stopped."""

    async def __aenter__(self) -> Stopped:
        await super().__aenter__()
        self.loads += [Load(self.running[0], 0) for _ in range(CLIENTS - 1)]
        return self

    async def stop_while_written(self, news: bytes, stopped: float) -> float:
        """Stop the process for a while, in which the list service writes; when it wrote."""
        pid = self.running[0].process
        pid.send_signal(signal.SIGSTOP)
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
    async def story() -> None:
        def serve(call: Call) -> None:
            call.write(HEAD + chunk(call.list(version, day.known)))

        version = 3
        day = Stopped(serve, tmp_path, processes=1)
        async with day:
            await day.holds(lambda: bool(day.services[0].calls) and day.all_served_by(b"draining", 0.0))
            call = day.services[0].calls[0]
            for _ in range(times):
                version += 1
                leaving = call.list(version, [{**day.known[0], "state": "leaving"}], whole=False)
                written = await day.stop_while_written(chunk(leaving), stopped)
                assert not day.late(written)
                version += 1
                day.services[0].calls[-1].write(chunk(call.list(version, day.known)))
                back = time.monotonic()
                await day.holds(lambda since=back: day.all_served_by(b"draining", since))

    play(story)


# `serve` that is held up once, for longer than the grace, at a named place, as soon as a file is there, which
# it removes
HELD_UP_AT = """
import os, sys, time
from ospreyline import decide
from ospreyline.__main__ import main
from ospreyline.net import turn, upstreams

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
    before(decide.Balancer, "take")
elif place == "the write":
    before(turn.Turn, "write")
else:
    upstreams.ConnectionPool._connect = connected
main(["serve", sys.argv[1]])
"""
HELD_UP_FOR = 0.7  # s


@pytest.mark.parametrize("place", ["the decision", "the write", "the connection has come up"])
def test_a_send_that_is_held_up_for_longer_than_the_grace_looks_for_news_of_the_list(place, tmp_path):
    # seen with a process that was stopped for 0.7 s under load: what was decided before went out when it went
    # on, 3 ms later, with the news unread
    async def story() -> None:
        def serve(call: Call) -> None:
            call.write(HEAD + chunk(call.list(version, day.known)))

        version = 3
        flag = tmp_path / "hold up"
        shim = HELD_UP_AT.format(place=place, flag=str(flag), held_up=HELD_UP_FOR)
        day = Stopped(serve, tmp_path, processes=1, shim=shim)
        async with day:
            await day.holds(lambda: bool(day.services[0].calls) and day.all_served_by(b"draining", 0.0))
            call = day.services[0].calls[0]
            for _ in range(4):
                version += 1
                news = chunk(call.list(version, [{**day.known[0], "state": "leaving"}], whole=False))
                flag.touch()
                if place == "the connection has come up":
                    for writer in day.draining.writers:  # those that are kept
                        writer.close()
                await day.holds(lambda: not flag.exists())
                call.write(news)
                written = time.monotonic()
                await asyncio.sleep(HELD_UP_FOR + SETTLES)
                assert not day.late(written)
                version += 1
                call.write(chunk(call.list(version, day.known)))
                back = time.monotonic()
                await day.holds(lambda since=back: day.all_served_by(b"draining", since))

    play(story)


def test_what_is_put_off_until_the_list_is_read_waits_for_it_through_a_reload():
    # a SIGHUP right behind a long stop: a reload takes a turn before the new settings and one after them, and
    # the second carried out what the first had put off, with the news unread
    async def story() -> None:
        registry, peer = Registry(), Peer()
        async with running(peer, registry=registry) as service:
            turn = service.turn
            await registry.tell(4, target("u0", peer.port))
            while turn.discovery.rev != 4:
                await asyncio.sleep(0)
            known_at_the_act: list[int] = []
            turn._pending_actions.append((lambda now: known_at_the_act.append(turn.discovery.rev), ()))
            news = registry.writers[0].get_extra_info("socket").fileno()
            os.write(news, chunk(b'{"rev":5,"all":false,"targets":[]}\n'))
            turn.apply_config(turn._post)
            while not known_at_the_act:
                await asyncio.sleep(0)
            assert known_at_the_act == [5]

    play(story)
