"""Upstreams die with tagged requests that they have run, and whose clients have left; these ask again."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common"))

from stand_ins import BROKEN, HELD, READ, TAGGED, TROUBLE, Deployment, Message, NotRun, Upstream, run

REQUESTS = 2
LINKED_AFTER_S = 5.0  # the balancers of the bank know one another by then
# an answer after the target latency still earns a part, so a balancer waits as long as the client
SLOW_TAGGED = {**TAGGED, "LateGain": 0.2}
WORK_S = 2.0  # that an upstream takes for one of these requests, from its effect to its answer
LEAVES_AFTER_S = 1.4  # "a try is given up after 53 to 80% of the client timeout": 1.3 to 2.0 s of 2.5 s
DIES_AFTER_S = 1.5
ASKS_AGAIN_AFTER_S = 1.7  # after a wait of 0.3 s


async def work(upstream: Upstream, message: Message, writer: asyncio.StreamWriter) -> bool:
    """A tagged request has its effect at once, and its answer later; a further attempt is answered soon."""
    request_id = message.headers.get("x-trace-id")
    attempts = sum(attempt.request_id == request_id for attempt in upstream.attempts)
    if message.path.startswith(f"/{TAGGED['Name']}") and attempts == 1:
        await asyncio.sleep(WORK_S)
    return False


async def main(folder: Path) -> int:
    deployment = Deployment(folder, upstreams=9, balancers=3, prefixes=[READ, SLOW_TAGGED])
    deployment.enable_takeover()
    record, clients = deployment.record, deployment.clients
    zone_of = {upstream.uid: upstream.zone for upstream in deployment.upstreams}
    for upstream in deployment.upstreams:
        upstream.behave = work
    done = False
    try:
        await deployment.listen()
        await deployment.start_balancers()
        load = asyncio.ensure_future(clients.load(deployment.ports(), [READ], 30.0, lambda: done))
        await asyncio.sleep(LINKED_AFTER_S)
        first, other = deployment.balancers[:2]
        began = record.now()
        asked = [(clients.new_id(), f"key-{number}") for number in range(REQUESTS)]
        leaving = [
            asyncio.ensure_future(clients.ask_once(first.port, SLOW_TAGGED, *pair, 2.5, LEAVES_AFTER_S))
            for pair in asked
        ]
        await asyncio.sleep(DIES_AFTER_S)
        if any(outcome.status for outcome in await asyncio.gather(*leaving)):
            raise NotRun("a request was answered before its client left")
        ran = {a.request_id: a.upstream for a in deployment.attempts if a.ran}
        if not all(request_id in ran for request_id, _ in asked):
            raise NotRun("a request has not reached an upstream")
        for upstream in deployment.upstreams:
            if TROUBLE and upstream.uid in {ran[request_id] for request_id, _ in asked}:
                record.say(f"{upstream.uid} in {upstream.zone} dies with what it has run and not answered")
                upstream.stop_listening()
                upstream.end_connections(reset=True)
        await asyncio.sleep(began + ASKS_AGAIN_AFTER_S - record.now())
        left = 2.5 - ASKS_AGAIN_AFTER_S
        again = await asyncio.gather(
            *(clients.ask_once(other.port, SLOW_TAGGED, *pair, left, second_try="same") for pair in asked)
        )
        done = True
        await load
        if deployment.crashed():
            raise NotRun(f"ended: {deployment.crashed()}")
        broken = 0
        for (request_id, key), outcome in zip(asked, again, strict=True):
            runs = [a for a in deployment.attempts if a.request_id == request_id and a.ran]
            where = ", ".join(f"{a.upstream} in {zone_of[a.upstream]} at {a.complete:.2f}" for a in runs)
            record.say(f"{request_id} ({key}): asked again and got {outcome.status}; ran at {where}")
            window = TAGGED["WindowUs"] / 1e6
            broken += any(
                zone_of[a.upstream] != zone_of[runs[0].upstream] or a.began > runs[0].complete + window + 0.05
                for a in runs[1:]
            )
        record.say(f"{broken} of {REQUESTS} tagged requests ran again outside the group that drops repeats")
        return BROKEN if broken else HELD
    finally:
        await deployment.end()
        record.close()


run(main, Path(__file__).resolve().parent, 60.0)
