"""Bad clients send heads without end on two hundred connections at once; the platform watches the memory."""

from __future__ import annotations

import asyncio
import signal
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common"))

from stand_ins import BROKEN, HELD, READ, TROUBLE, Balancer, Deployment, NotRun, Record, run

BAD_CONNECTIONS = 200  # "hundreds of requests at once"; under a third of the 1,024 descriptors
MEMORY_MB = 192  # limits.memory_mb: the most that the pages have
QUIET_S, WATCHED_S = 3.0, 12.0
HEAD = b"GET /view-statement/x HTTP/1.1\r\nHost: origin.svc\r\nX-Trace-Id: 7c41\r\n"
FIELDS = b"X-A: 1\r\n" * 1_000  # sent again and again until the balancer answers or closes


def resident_mb(balancer: Balancer) -> float:
    assert balancer.process is not None
    for line in Path(f"/proc/{balancer.process.pid}/status").read_text(encoding="ascii").splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1]) / 1024
    return 0.0  # it has ended


async def platform(record: Record, balancer: Balancer) -> float:
    """Kill a balancer that is over its memory limit, as the platform does; returns the most that it held."""
    most, said = 0.0, 0.0
    while True:
        try:
            held = resident_mb(balancer)
        except OSError:
            return most
        most = max(most, held)
        if held > said + 16:
            said = held
            record.line("platform", name=balancer.name, resident_mb=f"{held:.0f}")
        if held > MEMORY_MB:
            record.say(f"{balancer.name} holds {held:.0f} MB of {MEMORY_MB}: the platform kills it")
            balancer.signal(signal.SIGKILL)
            return most
        try:
            await asyncio.sleep(0.02)
        except asyncio.CancelledError:
            return most


async def bad_client(record: Record, port: int) -> None:
    """One head without end; reads what it is sent, and stops when it is answered or the connection ends."""
    writer = answered = None
    try:
        async with asyncio.timeout(10.0):
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write(HEAD)
            answered = asyncio.ensure_future(reader.read(64))
            while not answered.done():
                writer.write(FIELDS)
                await writer.drain()
                await asyncio.sleep(0)
            record.line("bad client", got=(await answered) or "a close")
    except (OSError, TimeoutError) as error:
        record.line("bad client", got=type(error).__name__)
    finally:
        if answered is not None:
            answered.cancel()
            await asyncio.gather(answered, return_exceptions=True)
        if writer is not None:
            writer.transport.abort()


async def main(folder: Path) -> int:
    deployment = Deployment(folder, upstreams=9, balancers=3, prefixes=[READ])
    record, clients = deployment.record, deployment.clients
    done = False
    try:
        await deployment.listen()
        await deployment.start_balancers()
        load = asyncio.ensure_future(clients.load(deployment.ports(), [READ], 45.0, lambda: done))
        watched = [asyncio.ensure_future(platform(record, b)) for b in deployment.balancers]
        await asyncio.sleep(QUIET_S)
        if TROUBLE:
            record.say(f"{BAD_CONNECTIONS} connections with heads without end come to n0")
            port = deployment.balancers[0].port
            await asyncio.gather(*(bad_client(record, port) for _ in range(BAD_CONNECTIONS)))
        await asyncio.sleep(QUIET_S if TROUBLE else WATCHED_S)
        done = True
        await load
        for task in watched:
            task.cancel()
        most = await asyncio.gather(*watched)
        for balancer, held in zip(deployment.balancers, most, strict=True):
            record.say(f"{balancer.name} held {held:.0f} MB at the most, of {MEMORY_MB}")
        ended = deployment.crashed()
        if ended and max(most) <= MEMORY_MB:
            raise NotRun(f"ended, and not for memory: {ended}")
        unanswered = sum(outcome.status == 0 for outcome in clients.outcomes)
        record.say(f"{len(clients.outcomes)} requests of usual clients, {unanswered} without an answer")
        record.say(f"{len(ended)} balancers killed for memory")
        return BROKEN if ended else HELD
    finally:
        await deployment.end()
        record.close()


run(main, Path(__file__).resolve().parent, 90.0)
