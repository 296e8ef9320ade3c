"""Discovery turns calls away for longer than four times MustAskInUs while upstreams begin to drain."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common"))

from stand_ins import BROKEN, HELD, READ, TROUBLE, Deployment, NotRun, drain_breaks, run

CROWDED_AT, DRAIN_AT, END_AT = 5.0, 8.0, 65.0  # s after the first requests
TOLD_WITHIN = 6.0  # "told at the latest 6 s after discovery had it and could be reached"
GRACE = 0.5  # DrainGraceUs


async def main(folder: Path) -> int:
    deployment = Deployment(folder, upstreams=9, balancers=3, prefixes=[READ])
    record, discovery = deployment.record, deployment.discovery
    try:
        await deployment.listen()
        await deployment.start_balancers()
        began = record.now()
        load = asyncio.ensure_future(
            deployment.clients.load(deployment.ports(), [READ], 45.0, lambda: record.now() - began > END_AT)
        )
        await asyncio.sleep(CROWDED_AT)
        if TROUBLE:
            record.say("discovery has too many callers: its watches end, and calls get 503")
            discovery.crowded = True
            discovery.end_connections(reset=False)
        await asyncio.sleep(DRAIN_AT - CROWDED_AT)
        told = {}
        for upstream in deployment.upstreams[:2]:  # less than a quarter of them
            discovery.change(upstream, "leaving")
            told[upstream.uid] = record.now() + (TOLD_WITHIN if TROUBLE else 0.0)
        record.say("two of nine upstreams drain, and discovery has it")
        await load
        if deployment.crashed():
            raise NotRun(f"ended: {deployment.crashed()}")
        breaks = drain_breaks(deployment, told, GRACE)
        served = sum(outcome.status == 200 for outcome in deployment.clients.outcomes)
        record.say(f"{len(deployment.clients.outcomes)} requests, {served} served")
        for attempt in breaks[:3]:
            late = attempt.began - told[attempt.upstream]
            record.say(f"{attempt.upstream} was sent {attempt.request_id} {late:.2f} s after it was told")
        record.say(f"{len(breaks)} sends later than {GRACE} s after a drain was told")
        return BROKEN if breaks else HELD
    finally:
        await deployment.end()
        record.close()


run(main, Path(__file__).resolve().parent, 110.0)
