"""Measures for how long a balancer reads no request while its list changes: `ospreyline rig scale stalls`.

A real `serve` process with a large list; a client sends health checks one after the other and notes the
longest answer. The list service is a stand-in that writes each change as a line of its own.
"""

from __future__ import annotations

import asyncio
import signal
import tempfile
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from pathlib import Path
from time import monotonic
from typing import Any

from ospreyline.rig.scale import ListService, Process, balancer_config, list_body, list_entry, running_serve

REPLACED_SHARE = 0.6
REPLACEMENT_S = 7.0
SETTLE_S = 2.0  # measured on after each phase
HEALTH_CHECK = b"GET /health/live HTTP/1.1\r\nHost: b\r\n\r\n"
PHASES = ("at rest", "replaced within 7 s", "replaced at once", "whole list", "SIGHUP")


class _HealthClient:
    """Sends health checks one after the other; `longest_ms` is the longest answer since it was reset."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.longest_ms = 0.0
        self._reader, self._writer = reader, writer

    async def run(self) -> None:
        while True:
            sent = monotonic()
            self._writer.write(HEALTH_CHECK)
            await self._reader.readuntil(b"ok\n")
            self.longest_ms = max(self.longest_ms, 1e3 * (monotonic() - sent))
            await asyncio.sleep(0.001)


@asynccontextmanager
async def _health_client(process: Process) -> AsyncIterator[_HealthClient]:
    host, _, port = process.last_lines["serving"]["listen"].rpartition(":")
    client = _HealthClient(*await asyncio.open_connection(host, int(port)))
    running = asyncio.create_task(client.run())
    try:
        yield client
    finally:
        running.cancel()


def _replacements(first: int, last: int, replaced: int) -> list[list[dict[str, Any]]]:
    """Changes, a line each: upstreams `first` to `last` drain, and as many from `replaced` on come."""
    lines = []
    for i in range(first, last):
        lines.append([{**list_entry(i), "state": "leaving"}])
        lines.append([{**list_entry(replaced + i - first), "boot_ms": 1_000 * replaced + i}])
    return lines


async def _replace_evenly(service: ListService, lines: list[list[dict[str, Any]]]) -> None:
    began, told = monotonic(), 0
    while told < len(lines):
        due = min(len(lines), int((monotonic() - began) / REPLACEMENT_S * len(lines)) + 1)
        for line in lines[told:due]:
            service.send_update(line)
        told = due
        await asyncio.sleep(0.002)


async def _replace_at_once(service: ListService, lines: list[list[dict[str, Any]]]) -> None:
    for line in lines:
        service.send_update(line)


async def _send_whole_list(service: ListService, count: int) -> None:
    service.send_whole(list_body(count))


async def _reload(process: Process, config: Path) -> None:
    config.write_bytes(config.read_bytes().replace(b'"Gain":1', b'"Gain":4'))
    process.proc.send_signal(signal.SIGHUP)


async def measure(count: int) -> dict[str, float]:
    """The longest answer to a health check, in ms, by phase, with `count` upstreams listed."""
    replaced = int(REPLACED_SHARE * count)
    service = await ListService().start()
    found: dict[str, float] = {}
    with tempfile.TemporaryDirectory(prefix="ospreyline-stalls-") as name:
        config = Path(name) / "balancer.json"
        config.write_bytes(balancer_config(count, 2, service.address))
        evenly = _replacements(0, replaced, count)
        at_once = _replacements(count, count + replaced, count + replaced)
        try:
            async with running_serve(config) as process:
                phases: tuple[Callable[[], Awaitable[None]], ...] = (
                    lambda: asyncio.sleep(SETTLE_S),
                    lambda: _replace_evenly(service, evenly),
                    lambda: _replace_at_once(service, at_once),
                    lambda: _send_whole_list(service, count),
                    lambda: _reload(process, config),
                )
                await service.wait_for_watch()
                async with _health_client(process) as client:
                    await asyncio.sleep(SETTLE_S)
                    for phase, play in zip(PHASES, phases, strict=True):
                        client.longest_ms = 0.0
                        await play()
                        await asyncio.sleep(SETTLE_S)
                        found[phase] = client.longest_ms
        finally:
            service.close()
    return found


def table(found: dict[int, dict[str, float]]) -> str:
    """The results as a Markdown table, a row for each number of upstreams."""
    rows = [
        "| upstreams | " + " | ".join(PHASES) + " |",
        "| --- |" + " --- |" * len(PHASES),
    ]
    for count, longest in found.items():
        rows.append(f"| {count:,} | " + " | ".join(f"{longest[phase]:.0f}" for phase in PHASES) + " |")
    return "\n".join(rows)
