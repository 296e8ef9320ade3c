"""A small simulation run: real modules, frames and sockets; assertions count messages, not time."""

from __future__ import annotations

import asyncio
from random import Random
from types import SimpleNamespace

import numpy as np
import pytest
from click.testing import CliRunner

from ospreyline.fleet import hollow as process
from ospreyline.fleet.frames import ChangeAck, ScopeChange, encode
from ospreyline.fleet.publisher import Fanout, Source
from ospreyline.fleet.scopes import LEAVING, PRESENT
from ospreyline.fleet.subscriber import Subscriber
from ospreyline.lab import placing
from ospreyline.rig import hollow

SMALL = hollow.Plan(
    subscribers=40,
    fanouts=3,
    services=30,
    upstreams=400,
    per=4,
    config_per_s=6.0,
    replaced_per_s=4.0,
    steady_s=1.0,
    fault_s=3.4,
    gone_after_s=0.5,
    of_a_process=20,
)


def test_every_change_reaches_all_that_serve_it_also_while_a_machine_is_silent():
    run = hollow.Run(SMALL, ["steady", "stopped"], lambda text: None)
    found = asyncio.run(run.play())
    wanted = sum(len(w) for p in run.subscribers for _, w in p.final_report["wants"])
    assert wanted == 30 * 4
    for name, phase in found["phases"].items():
        assert phase["never"] == 0, name
        assert phase["in_force_ms"]["count"] == 4 * phase["changes"], name
    assert found["phases"]["steady"]["changes"] and found["phases"]["one stopped"]["changes"]
    # subscribers of the unresponsive machine moved to another, and none had mismatched contents
    assert sum(p.rows[-1]["moves"] for p in run.subscribers) > SMALL.subscribers
    assert not any(p.rows[-1]["doubts"] for p in run.subscribers)
    # a change costs one message for each balancer that serves it, and one for each fan-out machine
    changes = len(run.source.final_report["changes"])
    assert run.source.rows[-1]["sent"] <= 3 * 30 + 3 * 2 * changes


class Bank:
    """One source, one fan-out machine and balancers in memory; messages are counted."""

    def __init__(self, upstreams: int, services: int, balancers: int, per: int) -> None:
        self.now, draw = 1_000.0, Random(3).random
        self.source = Source(1_000, draw)
        for i in range(services):
            found = [(f"u{k}", PRESENT, b"x" * 90) for k in range(upstreams // services)]
            self.source.put(self.now, f"s{i}", found)
        self.fan = Fanout(
            Subscriber(
                "f", 1, [("source", "")], draw, self.now, everything=True, rate=2 << 20, max_bytes=1 << 30
            )
        )
        self.subs = [
            Subscriber(f"b{i}", 1, [("f", "")], draw, self.now, number=i, count=balancers)
            for i in range(balancers)
        ]
        for i, wanted in enumerate(process.assigned(services, balancers, per, 1)):
            for one in wanted:
                self.subs[i].subscribe(self.now, f"s{one}")
        self.messages = self.bytes = self.items = 0

    def run(self, seconds: float) -> None:
        ends = {s.name: s for s in self.subs} | {"f": self.fan, "source": self.source}
        for _ in range(int(seconds * 20)):
            self.now += 50.0
            for one in ends.values():
                one.tick(self.now)
            for _ in range(3):
                for name, one in ends.items():
                    out = one.take_out() if isinstance(one, Fanout) else list(one.out)
                    if not isinstance(one, Fanout):
                        one.out.clear()
                    for to, message in out:
                        if to.startswith("b") and isinstance(message, ScopeChange):
                            self.messages += 1
                            self.items += len(message.items)
                            self.bytes += len(encode(message))
                        ends[to].receive(self.now, name, message)


@pytest.mark.parametrize("per", [3, 6])
def test_what_a_change_costs_follows_those_who_serve_it_and_not_the_fleet(per):
    costs = []
    for upstreams, services in ((200, 10), (2_000, 100), (20_000, 1_000)):
        bank = Bank(upstreams, services, balancers=20, per=per)
        bank.run(60)
        held = [len(s.records) for sub in bank.subs for s in sub.scopes.values()]
        assert len(held) == services * per and set(held) == {20}
        bank.messages = bank.bytes = bank.items = 0
        for i in range(10):
            bank.source.put(bank.now, f"s{i}", [("u1", LEAVING, b"")])
            bank.run(0.5)
        costs.append((bank.messages, bank.items, bank.bytes // 100))
    # the same in all sizes: for each balancer that serves it a drain ahead and the change, one record each
    assert costs[0][:2] == costs[1][:2] == costs[2][:2] == (2 * 10 * per, 2 * 10 * per)
    assert max(c[2] for c in costs) - min(c[2] for c in costs) <= 0.1 * costs[0][2] + 1


def test_a_dial_that_is_given_up_as_it_comes_up_leaves_no_link_behind():
    """A stalled process: the dial times out while the answer is read, and the loop closes the connection
    without notifying the link, which was greeted. Every later write to it failed."""

    async def scenario() -> None:
        loop = asyncio.get_running_loop()
        received, lost = [], []
        there = process.Node(loop, "f", {}, lambda name, message: received.append(message), lambda name: None)
        at = await there.links.listen(("127.0.0.1", 0))
        here = process.Node(loop, "b", {"f": at}, lambda name, message: None, lost.append)
        connect = loop.create_connection

        async def late(make, *args, **kwargs):
            _, protocol = await connect(make, *args, **kwargs)
            async with asyncio.timeout(10):
                while not protocol.greeted:
                    await asyncio.sleep(0)
            raise TimeoutError

        here.links.loop = SimpleNamespace(
            create_connection=late, create_task=loop.create_task, time=loop.time
        )
        message = ChangeAck(session=1, edition=1, sent_at=1.0)
        here.send([("f", message)])
        async with asyncio.timeout(10):
            while not lost:
                await asyncio.sleep(0)
        assert not here.links.by_name and not here.links.open
        here.links.loop = loop
        received.clear()
        async with asyncio.timeout(10):
            while not received:  # the next message uses a new link
                here.send([("f", message)])
                await asyncio.sleep(0.01)
        here.links.close()
        there.links.close()

    asyncio.run(scenario())


def test_services_are_as_many_and_as_large_as_planned():
    sizes = process.sizes(6_700, 200_000, 1)
    assert (
        len(sizes) == 6_700
        and abs(sum(sizes) - 200_000) < 4_000
        and max(sizes) <= process.MAX_UPSTREAMS_PER_SCOPE
    )
    found = process.assigned(670, 700, 12, 1)
    assert sum(map(len, found)) == 670 * 12 and found == process.assigned(670, 700, 12, 1)


@pytest.mark.parametrize("options", [["--steps", "nonsense"], ["--fanouts", "0"], ["--per", "0"]])
def test_wrong_options_are_one_line(options):
    found = CliRunner().invoke(hollow.scopes, options)
    assert found.exit_code == 2 and found.output.startswith("ospreyline: ") and found.output.count("\n") == 1


def test_a_service_loses_one_balancer_of_its_own_with_a_zone_and_keeps_the_others_when_one_goes():
    zones = np.arange(400) % 16
    placed = placing.rendezvous(200, zones, 6, True)
    assert all(len(set(zones[row])) == 6 for row in placed)
    assert placing.loss_figures(placed, zones == 3)["most_lost"] == pytest.approx(1 / 6)
    # a balancer that leaves moves no other: the others of each service stay
    fewer = placing.rendezvous(200, zones[:-1], 6, True)
    for before, after in zip(placed.tolist(), fewer.tolist(), strict=True):
        assert len(set(before) - set(after)) <= (399 in before)


def test_a_working_set_that_is_too_small_makes_requests_wait():
    waits = [placing.on_demand(100, 2_000, held, 10.0, 1, requests=20_000)["missed"] for held in (5, 20, 80)]
    assert waits == sorted(waits, reverse=True) and waits[0] > 0.4 > 0.1 > waits[2]
