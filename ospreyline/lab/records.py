"""Records of a run: JSON files in a folder, one row a line where the name ends in `.jsonl`.

Rows are written as they arise, so memory depends only on what is open. The same run gives the same bytes. A
want is what a client wants of one visit: its first try and the retries. The files:

- `run.json`: the scenario in force, seed, arm and servers.
- `time.jsonl`: one row a window: `t` (begin, s), `wanted`, `in_time`, `late`, `failed` (wants that began
  in it, by their outcome), `gain` and `asked` (gain earned and possible), `tries`, `bounced`, `errored`,
  `cut`, `fetches`, `crossed` (to another zone), `ends` (fetches by how they ended), `p50`, `p90`, `p99` of
  delivered visits in ms, and so far `calls` of the list service and `probes`.
- `servers.jsonl`: one row a window and server: `t`, `server`, `zone`, `up`, `warmth`, `slow` (factor, by
  overload or a fault), `held` (mean), `busy` (mean share of its cores), `done`, `turned_away`.
- `beliefs.jsonl`: one row a window and zone, where the arm has localities: over its balancers the means of
  `latency` (ms), `healthy` (candidates) and `capacity`, the sum `out` (fetches in flight), and `short`
  (share that lacked capacity within the last second).
- `visits.jsonl`: one row a try, if asked for: `visit`, `want`, `prefix`, `zone`, `balancer`, `sent`,
  `ttl`, `repeat`, `answer`, `at`, `retry_after`, `outcome` (of its want), `fetches` (each `server`,
  `zone`, `begun`, `written`, `end`, `at`, `ran`); times in ms.
- `breaches.jsonl`: one row a broken rule.
- `faults.jsonl`: one row a fault that was injected.
- `log.jsonl`: one row a line that a balancer logged.
- `summary.json`: the figures of the run after `day.settle`.
"""

from __future__ import annotations

from collections.abc import Iterator
from math import inf
from pathlib import Path
from typing import Any, BinaryIO

import msgspec
from hdrh.histogram import HdrHistogram

from ospreyline.host import Readiness
from ospreyline.lab.bank import Ask, Balancer, Shot
from ospreyline.lab.clients import Want
from ospreyline.lab.scenario import Scenario
from ospreyline.lab.servers import Server
from ospreyline.lab.world import World

MAX_LATENCY_US = 600_000_000  # longer latencies are counted as this
QUANTILES = (50.0, 90.0, 99.0)
_JSON = msgspec.json.Encoder(order="deterministic")


class RecordError(ValueError):
    """Records cannot be written or read; one line that names the path."""


def histogram() -> HdrHistogram:
    """A histogram of latencies in microseconds with two significant digits."""
    return HdrHistogram(1, MAX_LATENCY_US, 2)


def quantiles(of: HdrHistogram) -> dict[str, float]:
    """p50, p90 and p99 in ms; 0 where nothing was delivered."""
    return {f"p{q:g}": of.get_value_at_percentile(q) / 1e3 if of.total_count else 0.0 for q in QUANTILES}


class Row(msgspec.Struct):
    """Counts of one window."""

    t: float
    wanted: int = 0
    in_time: int = 0
    late: int = 0
    failed: int = 0
    asked: float = 0.0
    gain: float = 0.0
    tries: int = 0
    bounced: int = 0
    errored: int = 0
    cut: int = 0
    fetches: int = 0
    crossed: int = 0
    calls: int = 0
    probes: int = 0
    ends: dict[str, int] = {}
    p50: float = 0.0
    p90: float = 0.0
    p99: float = 0.0


class RecordFolder:
    """Writes records as they come, into a folder; without a path they are discarded."""

    def __init__(self, path: Path | None) -> None:
        self.path = path
        self._files: dict[str, BinaryIO] = {}
        if path is not None:
            try:
                path.mkdir(parents=True, exist_ok=True)
                for old in path.glob("*.jsonl"):
                    old.unlink()
            except OSError as error:
                raise RecordError(f"{path}: {error.strerror}") from error

    def write_row(self, name: str, row: Any) -> None:
        if self.path is None:
            return
        file = self._files.get(name)
        if file is None:
            file = self._files[name] = (self.path / f"{name}.jsonl").open("wb")
        file.write(_JSON.encode(row) + b"\n")

    def write_json(self, name: str, value: Any) -> None:
        if self.path is not None:
            (self.path / f"{name}.json").write_bytes(msgspec.json.format(_JSON.encode(value)) + b"\n")

    def close(self) -> None:
        for file in self._files.values():
            file.close()
        self._files.clear()


def read_rows(folder: Path, name: str) -> Iterator[dict[str, Any]]:
    """The rows of NAME.jsonl in a folder; `RecordError` names a broken line."""
    path = folder / f"{name}.jsonl"
    try:
        with path.open("rb") as file:
            for number, line in enumerate(file, 1):
                try:
                    yield msgspec.json.decode(line)
                except msgspec.MsgspecError as error:
                    raise RecordError(f"{path}: line {number}: {error}") from error
    except OSError as error:
        raise RecordError(f"{path}: {error.strerror}") from error


def read_json(folder: Path, name: str) -> dict[str, Any]:
    """The object in NAME.json of a folder."""
    path = folder / f"{name}.json"
    try:
        value = msgspec.json.decode(path.read_bytes())
    except OSError as error:
        raise RecordError(f"{path}: {error.strerror}") from error
    except msgspec.MsgspecError as error:
        raise RecordError(f"{path}: {error}") from error
    if not isinstance(value, dict):
        raise RecordError(f"{path}: not a JSON object")
    return value


class Records:
    """Receives all events on the wire and the outcome of each want; counts them and writes rows."""

    def __init__(
        self,
        world: World,
        scenario: Scenario,
        folder: RecordFolder,
        servers: list[Server],
        visits: str = "none",
    ) -> None:
        self._world = world
        self._scenario = scenario
        self._folder = folder
        self._servers = servers
        self._visits = visits  # written one by one: none, odd (wants not served in time) or all
        self._window_ms = scenario.day.window * 1e3
        self._settle_until = scenario.day.settle * 1e3
        self._rows: dict[int, Row] = {}  # by window number; windows that may still change
        self._latencies: dict[int, HdrHistogram] = {}
        self._written = 0
        self._longest_timeout = max(p.timeout_ms for p in scenario.prefixes)
        self.total = Row(0.0)
        self.latencies = histogram()
        n = len(scenario.prefixes)
        self.by_prefix = [Row(0.0) for _ in range(n)]
        self.tenants: dict[int, Row] = {}
        self._server_totals: dict[Server, tuple[float, float, int, int]] = {}
        mean = sum(p.share * p.gain for p in scenario.prefixes) / sum(p.share for p in scenario.prefixes)
        self._relative_gains = [p.gain / (mean or 1.0) for p in scenario.prefixes]
        self._window_gains: list[tuple[float, float, float]] = []  # each window: begin (s), asked, gain
        self._open = 0  # visits at balancers
        self._open_since = self._open_area = self._open_time_sum = 0.0

    # -- counts ----------------------------------------------------------------------------------------------

    def _window_row(self, at: float) -> Row:
        window = int(at / self._window_ms)
        row = self._rows.get(window)
        if row is None:
            row = self._rows[window] = Row(window * self._window_ms / 1e3)
            row.ends = {}
        return row

    def _counting_rows(self, at: float) -> tuple[Row, ...]:
        """The rows in which an event at a time (ms) counts: its window, and the total after `day.settle`."""
        return (self._window_row(at), self.total) if at >= self._settle_until else (self._window_row(at),)

    def try_sent(self, ask: Ask) -> None:
        for row in self._counting_rows(ask.sent):
            row.tries += 1

    def taken(self, ask: Ask) -> None:
        self._change_open(1)

    def left(self, ask: Ask) -> None:
        self._change_open(-1)
        self._open_time_sum += self._world.now - ask.came

    def _change_open(self, by: int) -> None:
        now = self._world.now
        self._open_area += self._open * (now - self._open_since)
        self._open_since = now
        self._open += by

    def littles_law(self) -> tuple[float, float]:
        """Integral of the visits at balancers over time, and the sum of their times there, both in ms.

        Equal by Little's law unless the end of a visit was not reported; open visits count in the first only.
        """
        return self._open_area, self._open_time_sum

    def sent(self, shot: Shot) -> None:
        crossed = shot.server.zone != shot.balancer.zone
        for row in self._counting_rows(shot.sent):
            row.fetches += 1
            row.crossed += crossed

    def arrived(self, shot: Shot, work: float, accepted: bool) -> None:
        pass

    def ran(self, shot: Shot) -> None:
        pass

    def ended(self, shot: Shot) -> None:
        assert shot.end is not None
        name = shot.end.name.lower()
        for row in self._counting_rows(shot.ended_at):
            row.ends[name] = row.ends.get(name, 0) + 1

    def answered(self, ask: Ask) -> None:
        for row in self._counting_rows(ask.answered_at):
            if ask.answer == "bounced":
                row.bounced += 1
            elif ask.answer == "failed":
                row.errored += 1
            elif ask.answer == "cut":
                row.cut += 1
        if ask.came < inf:
            self._change_open(-1)
            self._open_time_sum += self._world.now - ask.came
        if ask.answer == "delivered":
            spent = ask.answered_at - ask.came
            self._record_latency(ask.answered_at, spent)

    def _record_latency(self, at: float, spent: float) -> None:
        window, latency_us = int(at / self._window_ms), max(1, int(spent * 1e3))
        if window not in self._latencies:
            self._latencies[window] = histogram()
            self._window_row(at)
        self._latencies[window].record_value(latency_us)
        if at >= self._settle_until:
            self.latencies.record_value(latency_us)

    def told(self, balancer: Balancer, server: Server, readiness: Readiness) -> None:
        pass

    def want_ended(self, want: Want) -> None:
        """Counts a want that has ended in the window in which it began."""
        earned = {"in time": 1.0, "late": self._scenario.prefixes[want.prefix].late_gain}.get(
            want.outcome, 0.0
        )
        gain = self._relative_gains[want.prefix]
        counted = [*self._counting_rows(want.since)]
        if want.since >= self._settle_until:
            counted.append(self.by_prefix[want.prefix])
            if want.tenant >= 0:
                counted.append(self.tenants.setdefault(want.tenant, Row(0.0)))
        for row in counted:
            row.wanted += 1
            row.asked += gain
            row.gain += gain * earned
            if want.outcome == "in time":
                row.in_time += 1
            elif want.outcome == "late":
                row.late += 1
            else:
                row.failed += 1

        for ask in want.asks:
            self._write_visit(ask)

    def _write_visit(self, ask: Ask) -> None:
        """Writes the row of a try whose want has ended."""
        if self._visits == "none" or (self._visits == "odd" and ask.want.outcome == "in time"):
            return
        self._folder.write_row(
            "visits",
            {
                "visit": ask.number,
                "want": ask.want.first,
                "prefix": self._scenario.prefixes[ask.prefix].name,
                "zone": self._scenario.zones.names[ask.zone],
                "balancer": ask.balancer.number if ask.balancer else -1,
                "sent": round(ask.sent, 3),
                "ttl": round(ask.ttl, 3),
                "repeat": ask.repeat,
                "answer": ask.answer or ("left" if ask.gone else ""),
                "at": round(ask.answered_at, 3) if ask.answer else None,
                "retry_after": round(ask.retry_after, 3),
                "outcome": ask.want.outcome,
                "fetches": [
                    {
                        "server": s.server.index,
                        "zone": self._scenario.zones.names[s.server.zone],
                        "begun": round(s.started, 3),
                        "written": round(s.sent, 3) if s.written else None,
                        "end": s.end.name.lower() if s.end is not None else None,
                        "at": round(s.ended_at, 3) if s.end is not None else None,
                        "ran": bool(s.job and s.job.stage == s.job.OVER and s.job.finish > 0),
                    }
                    for s in ask.shots
                ],
            },
        )

    # -- rows over time --------------------------------------------------------------------------------------

    def window_ends(self, beliefs: list[dict[str, Any]], calls: int, probes: int) -> None:
        """Writes the server rows of the window that has ended, and the older rows that are final."""
        at = self._world.now - self._window_ms
        t = round(at / 1e3, 3)
        row = self._window_row(at)
        row.calls, row.probes = calls, probes
        for server in self._servers:
            server.changed()
            held, busy, done, away = self._server_totals.get(server, (0.0, 0.0, 0, 0))
            self._server_totals[server] = (
                server.held_area,
                server.busy_area,
                server.done,
                server.turned_away,
            )
            self._folder.write_row(
                "servers",
                {
                    "t": t,
                    "server": server.index,
                    "zone": self._scenario.zones.names[server.zone],
                    "up": server.up,
                    "warmth": round(server.warmth(), 3) if server.up else 0.0,
                    "slow": round(
                        server.slow * (server.crowded if self._world.now < server.crowded_until else 1.0), 3
                    ),
                    "held": round((server.held_area - held) / self._window_ms, 3),
                    "busy": round((server.busy_area - busy) / self._window_ms / server.cores, 3),
                    "done": server.done - done,
                    "turned_away": server.turned_away - away,
                },
            )
        for belief in beliefs:
            self._folder.write_row("beliefs", {"t": t, **belief})
        # a want may end up to its client timeout after its window
        self._write_windows(int((self._world.now - self._longest_timeout - 1_000.0) / self._window_ms))

    def _write_windows(self, before: int) -> None:
        """Writes the rows of all windows with a number under `before`."""
        for window in sorted(p for p in self._rows if p < before):
            row = self._rows.pop(window)
            latencies = self._latencies.pop(window, None)
            if latencies is not None:
                figures = quantiles(latencies)
                row.p50, row.p90, row.p99 = figures["p50"], figures["p90"], figures["p99"]
            self._folder.write_row("time", row)
            if row.t * 1e3 >= self._settle_until:
                self._window_gains.append((row.t, row.asked, row.gain))

    def finish(self) -> None:
        self._write_windows(1 << 60)

    def worst_gain(self, span: float = 10.0) -> float:
        """The lowest share of the possible gain that was earned in any `span` seconds."""
        shares = []
        for t, _, _ in self._window_gains:
            inside = [(a, g) for at, a, g in self._window_gains if t <= at < t + span]
            asked = sum(a for a, _ in inside)
            if t + span <= self._window_gains[-1][0] + self._window_ms / 1e3 + 1e-6 and asked:
                shares.append(sum(g for _, g in inside) / asked)
        return min(shares, default=self.total.gain / self.total.asked if self.total.asked else 0.0)
