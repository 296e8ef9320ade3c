"""The referee: checks the rules against what clients, relays, stand-ins and the process keeper recorded.

It reads no log of the processes that it judges and imports none of their code. Pure: rows in, breaches out.
The rules as they are checked, with `slack` added to every time limit:

- lost: a visit that a client sent whole to a running balancer over an unbroken link gets one final answer
  before its timeout, and it is the answer made for it; no fetch starts after that answer or that timeout.
- twice: no second fetch starts while one is outstanding. After a fetch that was sent whole and not answered
  as never executed, a mutating visit is not sent again, a tagged one only within its scope and window, and
  neither is bounced. No client request executes twice at upstreams if its visits are mutating.
- drain: nothing starts to an upstream later than the grace after the balancer was notified of its drain:
  when the list service wrote it to an unbroken link, at most 6 s later, or after the longest allowed time
  without a list call.
- cold: what arrives at a starting upstream within the window is at most N + 2 root N + 2 visits of mean work,
  N being the overload factor times its capacity then.
- crash: no process ends without being stopped, and none that was stopped ends with an error.
- taken (where clients repeat a request under its id): once a second balancer has sent a visit that is not
  freely repeatable, the first sends nothing for it unless its client sent it the request or the second is
  gone; all balancers together fetch a visit at most the allowed number of times; a stored answer is only
  delivered for a visit that has executed.

A balancer that is stopped, absent, or got no core from the machine (by the kernel's accounting) owes no
answer for that time; updates that reach a stopped balancer count from when it continues.
"""

from __future__ import annotations

from bisect import bisect_right
from collections import deque
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass
from math import inf, sqrt
from typing import Any

from ospreyline.rig.scenario import Scenario

RULES = ("lost", "twice", "drain", "cold", "crash", "taken")
UPDATE_LIMIT_MS = 6_000.0  # after which a list update counts as received
DELAYING_FAULTS = ("drop", "stall", "vanish", "narrow", "slow-link")  # these may delay what is sent on a link
LINK_FAULTS = (*DELAYING_FAULTS, "reset", "refuse", "half-close", "cut-at")

Row = Mapping[str, Any]


@dataclass(slots=True, frozen=True)
class Breach:
    """One violation of a rule, with its evidence."""

    rule: str
    at: float  # ms
    visit: str
    balancer: str
    upstream: int  # or -1
    what: str


class Intervals:
    """Time intervals in which a condition held, in order; times in ms."""

    def __init__(self) -> None:
        self._starts: list[float] = []
        self._ends: list[float] = []

    def begin(self, at: float) -> None:
        if not self._ends or self._ends[-1] < inf:
            self._starts.append(at)
            self._ends.append(inf)

    def end(self, at: float) -> None:
        if self._ends and self._ends[-1] == inf:
            self._ends[-1] = at

    def overlaps(self, a: float, b: float) -> bool:
        """Whether the condition held at some time from a to b."""
        position = bisect_right(self._starts, b) - 1
        return position >= 0 and self._ends[position] >= a

    def next_inactive_at(self, at: float) -> float:
        """The first time from `at` on at which the condition does not hold."""
        position = bisect_right(self._starts, at) - 1
        return self._ends[position] if position >= 0 and self._ends[position] >= at else at


def machine_of_uid(uid: str) -> int:
    """The machine index in an instance id such as `s-3-2` (machine 3, second process)."""
    return int(uid.split("-")[1])


def process_of_uid(uid: str) -> int:
    """The process number in an instance id such as `s-3-2` (machine 3, second process)."""
    return int(uid.split("-")[2])


class Referee:
    """Judges all rows of a run; `breaches` holds the violations that it found."""

    def __init__(self, scenario: Scenario, speeds: Sequence[float]) -> None:
        self._scenario = scenario
        # by balancer: machine -> its newest process in the list ("": in the list service itself)
        self._latest_process: dict[str, dict[int, int]] = {}
        self._slack_ms = scenario.rules.slack_ms
        self._prefixes = {p.name: p for p in scenario.prefixes}
        groups = [g for g in scenario.servers for _ in range(g.count)]
        self._groups, self._speeds = groups, list(speeds)
        names = scenario.zones.names
        self._zones = [names.index(g.zone) if g.zone else i % len(names) for i, g in enumerate(groups)]
        self.breaches: list[Breach] = []
        self.pushed = 0.0  # highest load of a cold upstream, as a share of its bound

    def _add_breach(
        self, rule: str, at: float, what: str, visit: str = "", balancer: str = "", upstream: int = -1
    ) -> None:
        self.breaches.append(Breach(rule, round(at, 3), visit, balancer, upstream, what))

    def judge(self, rows: Iterable[Row]) -> list[Breach]:
        """All breaches of a run, by time; rows may come in any order."""
        rows = sorted(rows, key=lambda row: float(row["t"]))
        self._starved_at: dict[str, list[float]] = {}  # by process: when the machine gave it no core (ms)
        self._absences, self._link_faults = (
            self._absence_intervals(rows),
            self._fault_intervals(rows, LINK_FAULTS),
        )
        self._delay_faults = self._fault_intervals(rows, DELAYING_FAULTS)
        fetches = self._collect_fetches(rows)
        self._check_tries(rows, fetches)
        self._check_mutations(rows)
        if self._scenario.rig.asks_again:
            self._check_takeovers(rows, fetches)
        self._check_drains(rows, fetches)
        self._check_cold_load(rows)
        self.breaches.sort(key=lambda b: b.at)
        return self.breaches

    # absences and faults

    def _absence_intervals(self, rows: Sequence[Row]) -> dict[str, Intervals]:
        """By process: when it was stopped or not running. Records crashes on the way."""
        gone: dict[str, Intervals] = {}
        starting: set[str] = set()
        for row in rows:
            if row["k"] == "starved":
                # reported 100 ms after it began; answers may still be late shortly afterwards
                self._starved_at.setdefault(row["name"], []).append(row["t"])
                continue
            if row["k"] == "reached" and row["link"].startswith("c>") and row["link"][2:] in starting:
                # a spawned process counts as running once a client connection has reached it
                starting.discard(row["link"][2:])
                gone[row["link"][2:]].end(row["t"])
            if row["k"] not in ("spawned", "ended", "signal"):
                continue
            intervals, at = gone.setdefault(row["name"], Intervals()), row["t"]
            if row["k"] == "spawned":
                starting.add(row["name"])
                if not self._scenario.rig.relays:
                    intervals.end(at)
            elif row["k"] == "ended":
                intervals.begin(at)
                if not row["wanted"]:
                    self._add_breach(
                        "crash", at, f"ended by itself with status {row['status']}", balancer=row["name"]
                    )
                elif row["status"] not in (0, -9) and not (row["status"] == -15 and row["name"] in starting):
                    # (exempt: stopped before it was up, so its signal handler was not installed yet)
                    self._add_breach(
                        "crash",
                        at,
                        f"stopped on request, ended with status {row['status']}",
                        balancer=row["name"],
                    )
            elif row["what"] in ("stop", "kill"):
                intervals.begin(at)
            elif row["what"] == "go on":
                intervals.end(at)
        return gone

    def _fault_intervals(self, rows: Sequence[Row], kinds: Sequence[str]) -> dict[str, Intervals]:
        """By link: when a fault of these kinds was active, and 500 ms more for data that it had delayed."""
        broken: dict[str, Intervals] = {}
        for row in rows:
            if row["k"] == "fault" and row["kind"] in kinds:
                for name in row["links"]:
                    intervals = broken.setdefault(name, Intervals())
                    if row["on"] > 0:
                        intervals.begin(row["t"])
                    else:
                        intervals.end(row["t"] + 500.0)
        return broken

    def _excused(self, balancer: int, a: float, b: float) -> bool:
        """Whether the balancer was absent or without a core, or its client link faulty, between a and b."""
        absent, link = self._absences.get(f"b{balancer}"), self._link_faults.get(f"c>b{balancer}")
        starved = self._starved_at.get(f"b{balancer}", [])
        if bisect_right(starved, b + 100.0) > bisect_right(starved, a - 100.0):
            return True
        return bool(absent and absent.overlaps(a, b)) or bool(link and link.overlaps(a, b))

    # lost, twice

    def _collect_fetches(self, rows: Sequence[Row]) -> dict[str, list[dict[str, Any]]]:
        """By visit: its fetches, of which the relays saw the whole request."""
        by_visit: dict[str, list[dict[str, Any]]] = {}
        unanswered: dict[tuple[str, str], dict[str, Any]] = {}
        for row in rows:
            if row["k"] == "asked" and row["id"]:
                balancer, _, upstream = row["link"].partition(">")
                if not upstream.startswith("u"):
                    continue
                fetch = {
                    "first": row["first"],
                    "last": row["t"],
                    "b": balancer,
                    "u": int(upstream[1:]),
                    "end": inf,
                    "never": False,
                    "id": row["id"],
                    "prefix": row["prefix"],
                }
                by_visit.setdefault(row["id"], []).append(fetch)
                unanswered[row["link"], row["id"]] = fetch
            elif row["k"] in ("answered", "unanswered"):
                ended = unanswered.pop((row["link"], row["id"]), {})
                ended["end"] = row["t"]
                ended["never"] = bool(row.get("never")) and row.get("status") in (503, 504)
        return by_visit

    def _check_tries(self, rows: Sequence[Row], fetches: Mapping[str, list[dict[str, Any]]]) -> None:
        expires_at: dict[str, float] = {}  # by id; a repeated id has several tries
        for row in rows:
            if row["k"] == "try" and row["sent"]:
                expires_at[row["id"]] = max(expires_at.get(row["id"], 0.0), row["sent"] + row["ttl"])
        for row in rows:
            if row["k"] != "try" or not row["sent"]:
                continue
            at, sent, balancer = row["t"], row["sent"], f"b{row['b']}"
            visit_fetches = fetches.get(row["id"], [])
            if row["how"] != "answer" and not self._excused(row["b"], sent, at):
                self._add_breach(
                    "lost",
                    at,
                    {
                        "none": "no answer before the client's timeout",
                        "cut": "its connection ended without an answer",
                    }.get(row["how"], "an answer that cannot be read"),
                    row["id"],
                    balancer,
                )
            if not row["own"]:
                self._add_breach("lost", at, "an answer that was not made for it", row["id"], balancer)
            self._check_repeated_fetch(row, visit_fetches)
            for fetch in visit_fetches:
                if row["how"] == "answer" and fetch["first"] > at + self._slack_ms:
                    self._add_breach(
                        "lost",
                        fetch["first"],
                        "sent on after its final answer",
                        row["id"],
                        fetch["b"],
                        fetch["u"],
                    )
                elif (
                    fetch["first"]
                    > max(expires_at[row["id"]], self._forwarded_at(row["b"], sent)) + self._slack_ms
                ):
                    self._add_breach(
                        "lost",
                        fetch["first"],
                        "sent on after its client's timeout",
                        row["id"],
                        fetch["b"],
                        fetch["u"],
                    )
            settings = self._prefixes[row["prefix"]]
            repeatable = settings.kind == "read-like" or (
                settings.kind == "tagged" and settings.scope == "all"
            )
            bounced = row["how"] == "answer" and row["status"] in (429, 503)
            if bounced and not repeatable and any(not f["never"] for f in visit_fetches):
                self._add_breach(
                    "twice",
                    at,
                    "bounced, though it may have executed and is not freely repeatable",
                    row["id"],
                    balancer,
                )

    def _check_repeated_fetch(self, row: Row, visit_fetches: list[dict[str, Any]]) -> None:
        """Records the first fetch of a visit that an earlier fetch of it forbids."""
        settings = self._prefixes[row["prefix"]]
        for i, fetch in enumerate(visit_fetches):
            for other in visit_fetches[:i]:
                why = ""
                if other["end"] > fetch["first"] + self._slack_ms and not self._end_unobserved(
                    other, fetch["first"]
                ):
                    why = "a second fetch while the first is outstanding"
                elif other["never"] or settings.kind == "read-like":
                    continue
                elif settings.kind == "mutating":
                    why = "a mutating visit was sent again after it may have executed"
                elif (
                    settings.scope != "all" and self._zones[other["u"]] != self._zones[fetch["u"]]
                ) or fetch["first"] >= other["last"] + settings.window_ms + self._slack_ms:
                    why = "a tagged visit was sent again outside its window or scope"
                if why:
                    self._add_breach("twice", fetch["first"], why, row["id"], fetch["b"], fetch["u"])
                    return

    def _end_unobserved(self, fetch: Mapping[str, Any], at: float) -> bool:
        """Whether its link was faulty until `at`, so that only the balancer may have seen the fetch end."""
        link = self._link_faults.get(f"{fetch['b']}>u{fetch['u']}")
        return bool(link and link.overlaps(fetch["last"], at))

    def _check_mutations(self, rows: Sequence[Row]) -> None:
        tries_by_id = {row["id"]: (row["want"], row["prefix"]) for row in rows if row["k"] == "try"}
        ran: dict[int, str] = {}
        for row in rows:
            if row["k"] == "ran" and row["id"] in tries_by_id:
                want, prefix = tries_by_id[row["id"]]
                if self._prefixes[prefix].kind == "mutating":
                    if want in ran:
                        self._add_breach(
                            "twice",
                            row["t"],
                            f"executed twice, first as {ran[want]}",
                            row["id"],
                            upstream=row["u"],
                        )
                    ran[want] = row["id"]

    def _check_takeovers(self, rows: Sequence[Row], fetches: Mapping[str, list[dict[str, Any]]]) -> None:
        """Checks what several balancers sent for one visit, and their stored answers."""
        client_sends: dict[tuple[str, str], list[float]] = {}
        ran: dict[str, float] = {}
        for row in rows:
            if row["k"] == "try" and row["sent"]:
                client_sends.setdefault((row["id"], f"b{row['b']}"), []).append(row["sent"])
            elif row["k"] == "ran":
                ran.setdefault(row["id"], row["t"])
        for row in rows:
            if row["k"] != "try":
                continue
            if row["outcome"] == "answered" and row["status"] == 200 and ran.get(row["id"], inf) > row["t"]:
                self._add_breach(
                    "taken",
                    row["t"],
                    "delivered the stored answer of a visit that had not executed",
                    row["id"],
                    f"b{row['b']}",
                )
        for id_, visit_fetches in fetches.items():
            visit_fetches = sorted(visit_fetches, key=lambda f: f["first"])
            settings = self._prefixes.get(visit_fetches[0]["prefix"])
            if settings is None:
                continue
            if len(visit_fetches) > self._scenario.bank.max_fetches:
                self._add_breach(
                    "taken",
                    visit_fetches[-1]["first"],
                    f"{len(visit_fetches)} fetches by all balancers together",
                    id_,
                    visit_fetches[-1]["b"],
                    visit_fetches[-1]["u"],
                )
            if settings.kind == "read-like":
                continue
            for i, fetch in enumerate(visit_fetches):
                before = [f for f in visit_fetches[:i] if f["b"] != fetch["b"]]
                if not before or not any(f["b"] == fetch["b"] for f in visit_fetches[:i]):
                    continue
                other = before[-1]
                gone = self._absences.get(other["b"])
                if gone and gone.overlaps(other["first"], fetch["first"]):
                    continue
                if not any(
                    other["first"] <= at <= fetch["first"] for at in client_sends.get((id_, fetch["b"]), [])
                ):
                    self._add_breach(
                        "taken",
                        fetch["first"],
                        f"sent after {other['b']} had taken over",
                        id_,
                        fetch["b"],
                        fetch["u"],
                    )

    def _forwarded_at(self, balancer: int, sent: float) -> float:
        """When the link forwarded what the client sent: the earliest time the balancer can know of it."""
        link = self._link_faults.get(f"c>b{balancer}")
        return link.next_inactive_at(sent) if link else sent

    # drains

    def _check_drains(self, rows: Sequence[Row], fetches: Mapping[str, list[dict[str, Any]]]) -> None:
        drained_at: dict[tuple[str, int], float] = {}  # (balancer, upstream): notified of the drain
        grace = self._scenario.rules.drain_grace_ms + self._slack_ms
        sends = sorted((f for fs in fetches.values() for f in fs), key=lambda f: f["first"])
        list_rows = [
            r
            for r in rows
            if r["k"] in ("told", "listed", "spawned") or (r["k"] == "opened" and ">list" in r["link"])
        ]
        list_opened_at: dict[str, float] = {}
        position = 0
        leaving: dict[int, float] = {}  # by upstream: since when the list has it as leaving
        for send in sends:
            while position < len(list_rows) and list_rows[position]["t"] <= send["first"]:
                self._apply_list_row(list_rows[position], drained_at, list_opened_at, leaving)
                position += 1
            balancer, upstream = send["b"], send["u"]
            at = drained_at.get((balancer, upstream), inf)
            if upstream in leaving and (balancer, upstream) not in drained_at:
                last = max(leaving[upstream], list_opened_at.get(balancer, -inf))
                at = min(at, last + 1e3 * self._scenario.rig.must_ask_s)
            if at == inf:
                continue
            absent = self._absences.get(balancer)
            if absent and absent.overlaps(at, send["first"]):
                at = max(at, absent.next_inactive_at(at))
            if send["first"] > at + grace:
                late = f"sent {send['first'] - at:.0f} ms after it was notified of the drain"
                self._add_breach("drain", send["first"], late, send["id"], balancer, upstream)

    def _apply_list_row(
        self,
        row: Row,
        drained_at: dict[tuple[str, int], float],
        list_opened_at: dict[str, float],
        leaving: dict[int, float],
    ) -> None:
        if row["k"] == "opened":
            list_opened_at[row["link"].partition(">")[0]] = row["t"]
        elif row["k"] == "spawned":
            # a new process starts with its own list and was notified of nothing before
            for key in [k for k in drained_at if k[0] == row["name"]]:
                del drained_at[key]
            list_opened_at[row["name"]] = row["t"]
        elif row["k"] == "listed":
            uid = row["entry"]["uid"]
            index, newest = machine_of_uid(uid), self._latest_process.setdefault("", {})
            if row["entry"].get("state", "active") == "active":
                leaving.pop(index, None)
                newest[index] = max(newest.get(index, 0), process_of_uid(uid))
            elif process_of_uid(uid) >= newest.get(index, 0):
                leaving.setdefault(index, row["t"])
        else:
            link = self._delay_faults.get(f"{row['b']}>list")
            at = min(link.next_inactive_at(row["t"]), row["t"] + UPDATE_LIMIT_MS) if link else row["t"]
            if "heard" in row:
                # a call that stopped receiving misses updates; they count this long after its last data
                at = max(at, row["heard"] + UPDATE_LIMIT_MS)
            newest = self._latest_process.setdefault(row["b"], {})
            active = set()
            for uid, state in row["states"]:
                if state == "active":
                    active.add(machine_of_uid(uid))
                    newest[machine_of_uid(uid)] = max(newest.get(machine_of_uid(uid), 0), process_of_uid(uid))
            # an older process of a machine leaving says nothing about its listed successor
            away = {
                machine_of_uid(uid)
                for uid, state in row["states"]
                if state != "active" and process_of_uid(uid) >= newest.get(machine_of_uid(uid), 0)
            } - active
            if row["whole"]:
                away |= set(range(len(self._groups))) - active
            for index in active:
                drained_at.pop((row["b"], index), None)
            for index in away:
                drained_at.setdefault((row["b"], index), at)

    # cold

    def _check_cold_load(self, rows: Sequence[Row]) -> None:
        started: dict[int, tuple[float, bool]] = {}
        recent: dict[int, deque[tuple[float, float]]] = {}
        window, factor = self._scenario.rules.tip_ms, self._scenario.rules.overload_factor
        for row in rows:
            if row["k"] == "started":
                started[row["u"]] = (row["t"], row["warm"])
                recent[row["u"]] = deque()
            elif row["k"] == "fell":
                self._add_breach("cold", row["t"], "overloaded while cold", upstream=row["u"])
            elif row["k"] == "arrived":
                index, now = row["u"], row["t"]
                group, (since, warm) = self._groups[index], started.get(row["u"], (-inf, True))
                if warm or now - since >= group.warm_ms:
                    continue
                arrivals = recent[index]
                arrivals.append((now, row["work"]))
                while arrivals[0][0] <= now - window:
                    arrivals.popleft()
                warmth = group.cold_from + (1 - group.cold_from) * (now - since) / group.warm_ms
                capacity_ms = factor * warmth * self._speeds[index] * group.cores * window
                mean = sum(work for _, work in arrivals) / len(arrivals)
                # the rule allows N + 2 root N + 2 visits of mean work; below four visits the
                # former bound N + 3 root N is stricter and still applies
                n = capacity_ms / mean
                slack = mean * min(2 * (sqrt(n) + 1), 3 * sqrt(max(1.0, n)))
                share = sum(w for _, w in arrivals) / (capacity_ms + slack)
                self.pushed = max(self.pushed, share)
                if share > 1:
                    much = f"{share:.2f} times what an upstream {now - since:.0f} ms old can handle"
                    self._add_breach("cold", now, much, row["id"], upstream=index)
                    arrivals.clear()

    def counts(self) -> dict[str, int]:
        """Number of breaches by rule."""
        return {rule: sum(1 for b in self.breaches if b.rule == rule) for rule in RULES}
