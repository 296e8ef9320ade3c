"""A bad client sends the ids of open requests of other clients, as one that asks for their outcome."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common"))

from stand_ins import BROKEN, HELD, ONCE, READ, TROUBLE, Deployment, Message, NotRun, Upstream, run

REQUESTS = 3
LINKED_AFTER_S = 5.0  # the balancers of the bank know one another by then
WORK_S = 0.6  # that an upstream takes for one of these requests, within its target latency


async def work(upstream: Upstream, message: Message, writer: asyncio.StreamWriter) -> bool:
    """A request that must not run twice has its effect at once, and its answer later."""
    if message.path.startswith(f"/{ONCE['Name']}"):
        await asyncio.sleep(WORK_S)
    return False


async def main(folder: Path) -> int:
    deployment = Deployment(folder, upstreams=9, balancers=3, prefixes=[READ, ONCE])
    record, clients = deployment.record, deployment.clients
    for upstream in deployment.upstreams:
        upstream.behave = work
    done = False
    try:
        await deployment.listen()
        deployment.enable_takeover()
        await deployment.start_balancers()
        load = asyncio.ensure_future(clients.load(deployment.ports(), [READ], 30.0, lambda: done))
        await asyncio.sleep(LINKED_AFTER_S)
        port = deployment.balancers[0].port
        asked = [clients.new_id() for _ in range(REQUESTS)]
        usual = [asyncio.ensure_future(clients.ask_once(port, ONCE, i, "", 2.5)) for i in asked]
        await asyncio.sleep(0.25)
        if {a.request_id for a in deployment.attempts if a.ran} < set(asked):
            raise NotRun("a request has not reached an upstream")
        bad = []
        if TROUBLE:
            record.say("a bad client sends the ids of the open requests")
            bad = await asyncio.gather(
                *(clients.ask_once(port, ONCE, i, "", 2.5, second_try="same") for i in asked)
            )
        got = await asyncio.gather(*usual)
        done = True
        await load
        if deployment.crashed():
            raise NotRun(f"ended: {deployment.crashed()}")
        for outcome in got:
            after = outcome.ended - outcome.sent
            record.say(
                f"{outcome.request_id}: its client got {outcome.status or 'no answer'} in {after:.2f} s"
            )
        for outcome in bad:
            record.say(f"{outcome.request_id}: the bad client got {outcome.status}, {outcome.body!r}")
        lost = sum(outcome.status == 0 for outcome in got)
        served = sum(outcome.status == 200 for outcome in bad)
        record.say(f"{lost} requests of usual clients had no answer, {served} answers went to the bad client")
        return BROKEN if lost or served else HELD
    finally:
        await deployment.end()
        record.close()


run(main, Path(__file__).resolve().parent, 60.0)
