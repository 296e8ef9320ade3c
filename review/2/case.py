"""Two of three balancers are killed while tagged requests are out; the third is asked for the outcome."""

from __future__ import annotations

import asyncio
import signal
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common"))

from stand_ins import BROKEN, HELD, READ, TAGGED, TROUBLE, Deployment, Message, NotRun, Upstream, run

REQUESTS = 3
LINKED_AFTER_S = 5.0  # the balancers of the bank know one another by then
WORK_S = 0.8  # that an upstream takes for one of these requests, from its effect to its answer
BACKOFF_S = 0.1


async def work(upstream: Upstream, message: Message, writer: asyncio.StreamWriter) -> bool:
    """A tagged request has its effect at once, and its answer later."""
    if message.path.startswith(f"/{TAGGED['Name']}"):
        await asyncio.sleep(WORK_S)
    return False


async def main(folder: Path) -> int:
    deployment = Deployment(folder, upstreams=9, balancers=3, prefixes=[READ, TAGGED])
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
        first, third, second = deployment.balancers
        asked = [(clients.new_id(), f"key-{number}") for number in range(REQUESTS)]
        retried: dict[str, str] = {}  # by the id of a request: that of its client's retry

        async def ask(request_id: str, key: str) -> tuple[int, int]:
            """What the client got, and what it got when it asked again as its connection had ended."""
            got = await clients.ask_once(first.port, TAGGED, request_id, key, 2.5)
            if got.status:
                return got.status, 0
            left = 2.5 - (record.now() - got.sent)
            again = await clients.ask_once(third.port, TAGGED, request_id, key, left, second_try="same")
            if again.status in (429, 503):
                # trying again is harmless, it was told
                await asyncio.sleep(BACKOFF_S)
                retried[request_id] = clients.new_id()
                await clients.ask_once(third.port, TAGGED, retried[request_id], key, 2.5)
            return 0, again.status

        asking = [asyncio.ensure_future(ask(*pair)) for pair in asked]
        await asyncio.sleep(0.3)
        ran = {a.request_id: a.upstream for a in deployment.attempts if a.ran}
        if not all(request_id in ran for request_id, _ in asked):
            raise NotRun("a request has not reached an upstream")
        if TROUBLE:
            for balancer in (first, second):
                balancer.signal(signal.SIGKILL)
            record.say("two of three balancers are killed while the requests run")
        statuses = await asyncio.gather(*asking)
        done = True
        await load
        if third.name in deployment.crashed():
            raise NotRun(f"{third.name} has ended")
        broken = 0
        for (request_id, key), (got, again) in zip(asked, statuses, strict=True):
            at = ran[request_id]
            record.say(f"{request_id} ({key}) ran at {at} in {zone_of[at]}: got {got}, asked again: {again}")
            broken += again in (429, 503)
            retries = [a for a in deployment.attempts if a.ran and a.request_id == retried.get(request_id)]
            for attempt in retries:
                record.say(f"  the retry ran at {attempt.upstream} in {zone_of[attempt.upstream]}")
        record.say(
            f"{broken} requests that had run in a group of one zone were refused as harmless to repeat"
        )
        return BROKEN if broken else HELD
    finally:
        await deployment.end()
        record.close()


run(main, Path(__file__).resolve().parent, 60.0)
