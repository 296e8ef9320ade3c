"""The list service is cut off for 58 s; 46 s later the balancer sends to an upstream that drained since."""

from __future__ import annotations

import asyncio
from pathlib import Path
from typing import Any

from bench2 import (
    BROKEN,
    HOLDS,
    TROUBLE,
    Arrival,
    Balancer,
    CannotRun,
    CutLink,
    Record,
    Registry,
    Upstream,
    answer,
    ask,
    play,
)

ZONES = ["bangna", "lat-krabang", "chonburi"]
WORK_S = 0.08
CUT_S = 58.0
DRAIN_AFTER_S = 2.0  # of the cut
GRACE_S = 0.5 + 0.05  # of the rule, on sockets
TOLD_AFTER_S = 6.0  # what a watch misses counts as told so long after it fell silent
BEAT_S = 2.0  # between two empty lines of a watch: the silence began within this time before the cut


def settings() -> dict[str, Any]:
    return {
        "Balancers": 3,
        "Me": 0,
        "Dcs": ZONES,
        "Zone": 0,
        "Discovery": "ask",
        "Caps": {"Cancel": True, "MostBackendFetches": 3, "RetryAfter": True, "MaxRetryAfterUs": 2_000_000},
        "Invariants": {
            "DrainGraceUs": 500_000,
            "MustAskInUs": 10_000_000,
            "ColdFrom": 0.12,
            "WarmWithinUs": 23_000_000,
            "OverloadFactor": 4.0,
            "TipAfterUs": 2_000_000,
        },
        "PathPrefixes": [
            {
                "Name": "change-rate",
                "Semantics": "once",
                "ClientTimeoutUs": 2_500_000,
                "TargetLatencyUs": 1_000_000,
                "Gain": 3.0,
            }
        ],
    }


async def case(record: Record, folder: Path, balancers: list[Balancer]) -> int:
    async def serve(arrival: Arrival) -> bytes:
        await asyncio.sleep(WORK_S)
        return answer(200, f"changed {arrival.trace}".encode())

    upstreams = [Upstream(f"s-{n}", ZONES[n % 3], record, serve, pod_group=n % 3) for n in range(9)]
    for upstream in upstreams:
        await upstream.start()
    registry = Registry(record, upstreams)
    await registry.start()
    link = CutLink(registry.port)
    link.start()
    config = {
        "discovery": f"127.0.0.1:{link.port}",
        "limits": {"sockets": 1024, "memory_mb": 192},
        "known": registry.whole(),
        "settings": settings(),
    }
    balancer = Balancer(record, folder, "b0", config)
    balancers.append(balancer)
    balancer.start()
    await balancer.ready()
    tasks: list[asyncio.Task[Any]] = []

    async def load(for_s: float) -> None:
        end = record.now() + for_s
        while record.now() < end:
            name = f"v-{len(tasks)}"
            tasks.append(asyncio.create_task(ask(record, balancer.port, "/change-rate/x", name, 2.5, "rate")))
            await asyncio.sleep(0.05)

    await load(5.0)
    drained = upstreams[0]
    cut_at = record.now()
    if TROUBLE:
        link.cut_off()
        record.line("list service cut off")
    await load(DRAIN_AFTER_S)
    registry.change(drained, "leaving")
    drained_at = record.now()
    await load(CUT_S - DRAIN_AFTER_S)
    await asyncio.gather(*tasks)
    bound = (cut_at + TOLD_AFTER_S if TROUBLE else drained_at) + GRACE_S
    late = [a for a in drained.arrivals if a.at > bound]
    for a in late[:20]:
        record.line("sent to a drained upstream", id=a.trace, after_the_bound_s=round(a.at - bound, 3))
    record.line("judged", visits=len(tasks), bound=round(bound, 3), sent_after_it=len(late))
    if not any(a.at < cut_at for a in drained.arrivals):
        raise CannotRun("the upstream got nothing before it drained")
    return BROKEN if late else HOLDS


if __name__ == "__main__":
    play(case, Path(__file__).resolve().parent)
