"""What a run leaves: rows over time, rows a visit, and a summary, as JSON lines in a folder.

Rows are written as they come, so memory goes with what is open. The same run gives the same bytes. The
forms:

- `run.json`: the scenario in force, seed, arm, the faults as they were carried out.
- `time.jsonl`: one row a window: `t` (s, its begin), `wanted`, `in_time`, `late`, `failed` (first tries
  that began in it, by how they ended), `gain` and `asked` (gain earned and wanted), `tries`, `bounced`,
  `errored`, `cut`, `fetches`, `crossed`, how fetches ended (`ends`), `p50`, `p90`, `p99` of delivered
  visits in ms, `calls` for the list, `probes`.
- `servers.jsonl`: one row a window and server: `t`, `server`, `zone`, `up`, `warmth`, `slow` (times,
  crowded or by a fault), `held`, `busy` (of its cores, mean), `done`, `turned_away`.
- `beliefs.jsonl`: one row a window and zone, where the arm has them (ours): means over its balancers of
  `latency`, `room` (share of balancers that would send there), `healthy`, `capacity`, `short` (share that
  is short of room).
- `visits.jsonl`: one row a try, if asked for: `visit`, `want`, `prefix`, `zone`, `balancer`, `sent`,
  `ttl`, `repeat`, `answer`, `at`, `retry_after`, `outcome` (of its want), `fetches` (each `server`,
  `zone`, `begun`, `written`, `end`, `at`, `ran`).
- `breaches.jsonl`: one row a broken rule.
- `summary.json`: the figures of the whole day after `day.settle`.
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

MOST_US = 600_000_000  # the longest latency kept apart
QUANTILES = (50.0, 90.0, 99.0)
_JSON = msgspec.json.Encoder(order="deterministic")


class RecordError(ValueError):
    """A folder of records cannot be written or read; one line."""


def histogram() -> HdrHistogram:
    """Of latencies in microseconds, two digits kept."""
    return HdrHistogram(1, MOST_US, 2)


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


class Folder:
    """Where rows go; nothing is kept in memory. Without a path rows are dropped."""

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

    def row(self, name: str, row: Any) -> None:
        if self.path is None:
            return
        file = self._files.get(name)
        if file is None:
            file = self._files[name] = (self.path / f"{name}.jsonl").open("wb")
        file.write(_JSON.encode(row) + b"\n")

    def whole(self, name: str, value: Any) -> None:
        if self.path is not None:
            (self.path / f"{name}.json").write_bytes(msgspec.json.format(_JSON.encode(value)) + b"\n")

    def close(self) -> None:
        for file in self._files.values():
            file.close()
        self._files.clear()


def rows(folder: Path, name: str) -> Iterator[dict[str, Any]]:
    """The rows of one file of a run."""
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


def whole(folder: Path, name: str) -> dict[str, Any]:
    path = folder / f"{name}.json"
    try:
        value = msgspec.json.decode(path.read_bytes())
    except OSError as error:
        raise RecordError(f"{path}: {error.strerror}") from error
    except msgspec.MsgspecError as error:
        raise RecordError(f"{path}: {error}") from error
    if not isinstance(value, dict):
        raise RecordError(f"{path}: no table")
    return value


class Records:
    """Told all that is on the wire and how wants end; writes rows and keeps sums."""

    def __init__(
        self, world: World, scenario: Scenario, folder: Folder, servers: list[Server], visits: str = "none"
    ) -> None:
        self._world = world
        self._scenario = scenario
        self._folder = folder
        self._servers = servers
        self._visits = visits  # none, odd (those that did not end in time) or all
        self._window = scenario.day.window * 1e3
        self._settle = scenario.day.settle * 1e3
        self._rows: dict[int, Row] = {}  # windows that may still change
        self._delays: dict[int, HdrHistogram] = {}
        self._written = 0
        self._longest = max(p.timeout_ms for p in scenario.prefixes)
        self.total = Row(0.0)
        self.delays = histogram()
        n = len(scenario.prefixes)
        self.by_prefix = [Row(0.0) for _ in range(n)]
        self.tenants: dict[int, Row] = {}
        self._areas: dict[Server, tuple[float, float, int, int]] = {}
        mean = sum(p.share * p.gain for p in scenario.prefixes) / sum(p.share for p in scenario.prefixes)
        self._gains = [p.gain / (mean or 1.0) for p in scenario.prefixes]
        self._stretch: list[tuple[float, float, float]] = []  # each window: its begin in s, asked, gained
        self._open = 0  # visits at balancers
        self._open_at = self._area = self._sojourn = 0.0

    # -- counts ----------------------------------------------------------------------------------------------

    def _row(self, at: float) -> Row:
        place = int(at / self._window)
        row = self._rows.get(place)
        if row is None:
            row = self._rows[place] = Row(place * self._window / 1e3)
            row.ends = {}
        return row

    def _each(self, at: float) -> tuple[Row, ...]:
        """The rows that something at a time counts in."""
        return (self._row(at), self.total) if at >= self._settle else (self._row(at),)

    def tried(self, ask: Ask) -> None:
        for row in self._each(ask.sent):
            row.tries += 1

    def taken(self, ask: Ask) -> None:
        self._at_balancers(1)

    def left(self, ask: Ask) -> None:
        self._at_balancers(-1)
        self._sojourn += self._world.now - ask.came

    def _at_balancers(self, by: int) -> None:
        now = self._world.now
        self._area += self._open * (now - self._open_at)
        self._open_at = now
        self._open += by

    def little(self) -> tuple[float, float]:
        """Little's law on the run itself: visits at balancers over time, and the sum of their stays, in ms.

        The two are the same unless a visit's end was not told; visits that are still open count in the first.
        """
        return self._area, self._sojourn

    def sent(self, shot: Shot) -> None:
        crossed = shot.server.zone != shot.balancer.zone
        for row in self._each(shot.sent):
            row.fetches += 1
            row.crossed += crossed

    def arrived(self, shot: Shot, work: float, accepted: bool) -> None:
        pass

    def ran(self, shot: Shot) -> None:
        pass

    def ended(self, shot: Shot) -> None:
        assert shot.end is not None
        name = shot.end.name.lower()
        for row in self._each(shot.ended_at):
            row.ends[name] = row.ends.get(name, 0) + 1

    def answered(self, ask: Ask) -> None:
        for row in self._each(ask.answered_at):
            if ask.answer == "bounced":
                row.bounced += 1
            elif ask.answer == "failed":
                row.errored += 1
            elif ask.answer == "cut":
                row.cut += 1
        if ask.came < inf:
            self._at_balancers(-1)
            self._sojourn += self._world.now - ask.came
        if ask.answer == "delivered":
            spent = ask.answered_at - ask.came
            self._delay(ask.answered_at, spent)

    def _delay(self, at: float, spent: float) -> None:
        place, figure = int(at / self._window), max(1, int(spent * 1e3))
        if place not in self._delays:
            self._delays[place] = histogram()
            self._row(at)
        self._delays[place].record_value(figure)
        if at >= self._settle:
            self.delays.record_value(figure)

    def told(self, balancer: Balancer, server: Server, readiness: Readiness) -> None:
        pass

    def wanted(self, want: Want) -> None:
        """A want has come to its end; it counts in the window in which it began."""
        earned = {"in time": 1.0, "late": self._scenario.prefixes[want.prefix].late_gain}.get(
            want.outcome, 0.0
        )
        gain = self._gains[want.prefix]
        counted = [*self._each(want.since)]
        if want.since >= self._settle:
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
            self._visit(ask)

    def _visit(self, ask: Ask) -> None:
        """A try is over, its want too."""
        if self._visits == "none" or (self._visits == "odd" and ask.want.outcome == "in time"):
            return
        self._folder.row(
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
        """A window has ended: what its servers did, and the rows that can change no more."""
        at = self._world.now - self._window
        t = round(at / 1e3, 3)
        row = self._row(at)
        row.calls, row.probes = calls, probes
        for server in self._servers:
            server.changed()
            held, busy, done, away = self._areas.get(server, (0.0, 0.0, 0, 0))
            self._areas[server] = (server.held_area, server.busy_area, server.done, server.turned_away)
            self._folder.row(
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
                    "held": round((server.held_area - held) / self._window, 3),
                    "busy": round((server.busy_area - busy) / self._window / server.cores, 3),
                    "done": server.done - done,
                    "turned_away": server.turned_away - away,
                },
            )
        for belief in beliefs:
            self._folder.row("beliefs", {"t": t, **belief})
        # a want may end as long as its client timeout after its window
        self._write(int((self._world.now - self._longest - 1_000.0) / self._window))

    def _write(self, before: int) -> None:
        for place in sorted(p for p in self._rows if p < before):
            row = self._rows.pop(place)
            delays = self._delays.pop(place, None)
            if delays is not None:
                figures = quantiles(delays)
                row.p50, row.p90, row.p99 = figures["p50"], figures["p90"], figures["p99"]
            self._folder.row("time", row)
            if row.t * 1e3 >= self._settle:
                self._stretch.append((row.t, row.asked, row.gain))

    def end(self) -> None:
        self._write(1 << 60)

    def worst(self, span: float = 10.0) -> float:
        """The gain over what was asked in the worst stretch of so many s."""
        shares = []
        for t, _, _ in self._stretch:
            inside = [(a, g) for at, a, g in self._stretch if t <= at < t + span]
            asked = sum(a for a, _ in inside)
            if t + span <= self._stretch[-1][0] + self._window / 1e3 + 1e-6 and asked:
                shares.append(sum(g for _, g in inside) / asked)
        return min(shares, default=self.total.gain / self.total.asked if self.total.asked else 0.0)
