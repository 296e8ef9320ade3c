"""The referee: judges the four rules from what clients, relays, stand-ins and the keeper of processes noted.

It reads no log of the processes that it judges and imports nothing of them. Rows in, breaches out; pure.
The properties, as they are checked, with `slack` on every time limit:

- lost: what a client sent whole to a running balancer over an unbroken link has one final answer before its
  time is over, which is the answer made for it; and no fetch begins for it after that answer or that time.
- twice: no second fetch while one is out; a mutating visit is not sent on once a fetch of it was whole and
  was not answered as never run, a tagged one only within its scope and window; neither is bounced then; no
  want runs twice at upstreams if its visits are mutating.
- drain: nothing begins to an upstream later than the grace after its drain was told: written by the list
  service on an unbroken link, 6 s after that at the latest, or the list not asked for as long as allowed.
- cold: what arrives at a starting upstream within the window is at most N + 2 root N + 2 visits of mean work,
  N being the factor times what it can do then.
- crash: no process ends that was not told to, and none that was told to stop ends with an error.
- taken (where clients ask again under an id): once another balancer has sent a visit that must not be
  repeated at will, the one before sends nothing for it unless its client asked it, or the other is gone; all
  balancers together fetch a visit at most as often as one may; and who is told the kept answer of a visit,
  that one has run.

A balancer that is stopped, not there, or given no core by the machine (by the kernel's accounts) owes no
answer meanwhile; what is told to one that is stopped counts from its going on.
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
TOLD_AT_LAST = 6_000.0  # ms after which news of the list counts as told
HOLDS = ("drop", "stall", "vanish", "narrow", "slow-link")  # what is sent on such a link may come late
CARRIES = (*HOLDS, "reset", "refuse", "half-close", "cut-at")

Row = Mapping[str, Any]


@dataclass(slots=True, frozen=True)
class Breach:
    """One broken rule, with what shows it."""

    rule: str
    at: float  # ms
    visit: str
    balancer: str
    upstream: int  # or -1
    what: str


class Spans:
    """Times in which something held, in order."""

    def __init__(self) -> None:
        self._from: list[float] = []
        self._to: list[float] = []

    def begin(self, at: float) -> None:
        if not self._to or self._to[-1] < inf:
            self._from.append(at)
            self._to.append(inf)

    def end(self, at: float) -> None:
        if self._to and self._to[-1] == inf:
            self._to[-1] = at

    def touches(self, a: float, b: float) -> bool:
        """Whether it held at some moment from a to b."""
        place = bisect_right(self._from, b) - 1
        return place >= 0 and self._to[place] >= a

    def over_at(self, at: float) -> float:
        """The first time from `at` on at which it does not hold."""
        place = bisect_right(self._from, at) - 1
        return self._to[place] if place >= 0 and self._to[place] >= at else at


def uid_index(uid: str) -> int:
    """The machine of an id such as `s-3-2` (machine 3, its second process by the list)."""
    return int(uid.split("-")[1])


def uid_process(uid: str) -> int:
    """Which process of its machine an id such as `s-3-2` names."""
    return int(uid.split("-")[2])


class Referee:
    """Takes all rows of a run, in the order of their times; `breaches` holds what it found."""

    def __init__(self, scenario: Scenario, speeds: Sequence[float]) -> None:
        self._s = scenario
        self._newest: dict[str, dict[int, int]] = {}  # by balancer and machine: its latest process told
        self._slack = scenario.rules.slack_ms
        self._terms = {p.name: p for p in scenario.prefixes}
        groups = [g for g in scenario.servers for _ in range(g.count)]
        self._groups, self._speeds = groups, list(speeds)
        names = scenario.zones.names
        self._zones = [names.index(g.zone) if g.zone else i % len(names) for i, g in enumerate(groups)]
        self.breaches: list[Breach] = []
        self.pushed = 0.0  # the nearest that a cold upstream came to its bound, 1 for reaching it

    def _found(
        self, rule: str, at: float, what: str, visit: str = "", balancer: str = "", upstream: int = -1
    ) -> None:
        self.breaches.append(Breach(rule, round(at, 3), visit, balancer, upstream, what))

    def judge(self, rows: Iterable[Row]) -> list[Breach]:
        """All breaches of a run."""
        rows = sorted(rows, key=lambda row: float(row["t"]))
        self._starved: dict[str, list[float]] = {}  # by process: when the machine gave it no core
        self._absent, self._links = self._gone(rows), self._broken(rows, CARRIES)
        self._unheard = self._broken(rows, HOLDS)
        fetches = self._fetches(rows)
        self._tries(rows, fetches)
        self._effects(rows)
        if self._s.rig.asks_again:
            self._takings(rows, fetches)
        self._drains(rows, fetches)
        self._colds(rows)
        self.breaches.sort(key=lambda b: b.at)
        return self.breaches

    # who was there, what was whole

    def _gone(self, rows: Sequence[Row]) -> dict[str, Spans]:
        """By process: when it was stopped or not there."""
        gone: dict[str, Spans] = {}
        starting: set[str] = set()
        for row in rows:
            if row["k"] == "starved":
                # told 100 ms after it began, and what was late then may still be late a moment after
                self._starved.setdefault(row["name"], []).append(row["t"])
                continue
            if row["k"] == "reached" and row["link"].startswith("c>") and row["link"][2:] in starting:
                # a process that has been started is there once a connection of a client has reached it
                starting.discard(row["link"][2:])
                gone[row["link"][2:]].end(row["t"])
            if row["k"] not in ("spawned", "ended", "signal"):
                continue
            spans, at = gone.setdefault(row["name"], Spans()), row["t"]
            if row["k"] == "spawned":
                starting.add(row["name"])
                if not self._s.rig.relays:
                    spans.end(at)
            elif row["k"] == "ended":
                spans.begin(at)
                if not row["wanted"]:
                    self._found(
                        "crash", at, f"ended by itself with status {row['status']}", balancer=row["name"]
                    )
                elif row["status"] not in (0, -9) and not (row["status"] == -15 and row["name"] in starting):
                    # (one that was told to stop before it was there has not yet learnt to end in order)
                    self._found(
                        "crash", at, f"told to stop, ended with status {row['status']}", balancer=row["name"]
                    )
            elif row["what"] in ("stop", "kill"):
                spans.begin(at)
            elif row["what"] == "go on":
                spans.end(at)
        return gone

    def _broken(self, rows: Sequence[Row], kinds: Sequence[str]) -> dict[str, Spans]:
        """By link: when a fault of these kinds was on it, and half a second after, for what was held."""
        broken: dict[str, Spans] = {}
        for row in rows:
            if row["k"] == "fault" and row["kind"] in kinds:
                for name in row["links"]:
                    spans = broken.setdefault(name, Spans())
                    if row["on"] > 0:
                        spans.begin(row["t"])
                    else:
                        spans.end(row["t"] + 500.0)
        return broken

    def _excused(self, balancer: int, a: float, b: float) -> bool:
        """Whether the balancer, or its clients' link to it, was not there at some moment."""
        absent, link = self._absent.get(f"b{balancer}"), self._links.get(f"c>b{balancer}")
        starved = self._starved.get(f"b{balancer}", [])
        if bisect_right(starved, b + 100.0) > bisect_right(starved, a - 100.0):
            return True
        return bool(absent and absent.touches(a, b)) or bool(link and link.touches(a, b))

    # lost, twice

    def _fetches(self, rows: Sequence[Row]) -> dict[str, list[dict[str, Any]]]:
        """By visit, its fetches as the relays saw them whole."""
        out: dict[str, list[dict[str, Any]]] = {}
        open_: dict[tuple[str, str], dict[str, Any]] = {}
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
                out.setdefault(row["id"], []).append(fetch)
                open_[row["link"], row["id"]] = fetch
            elif row["k"] in ("answered", "unanswered"):
                ended = open_.pop((row["link"], row["id"]), {})
                ended["end"] = row["t"]
                ended["never"] = bool(row.get("never")) and row.get("status") in (503, 504)
        return out

    def _tries(self, rows: Sequence[Row], fetches: Mapping[str, list[dict[str, Any]]]) -> None:
        until: dict[str, float] = {}  # by id, which has more than one try where clients ask again
        for row in rows:
            if row["k"] == "try" and row["sent"]:
                until[row["id"]] = max(until.get(row["id"], 0.0), row["sent"] + row["ttl"])
        for row in rows:
            if row["k"] != "try" or not row["sent"]:
                continue
            at, sent, balancer = row["t"], row["sent"], f"b{row['b']}"
            mine = fetches.get(row["id"], [])
            if row["how"] != "answer" and not self._excused(row["b"], sent, at):
                self._found(
                    "lost",
                    at,
                    {
                        "none": "no answer before its client's time was over",
                        "cut": "its connection ended without an answer",
                    }.get(row["how"], "an answer that cannot be read"),
                    row["id"],
                    balancer,
                )
            if not row["own"]:
                self._found("lost", at, "an answer that was not made for it", row["id"], balancer)
            self._second(row, mine)
            for fetch in mine:
                if row["how"] == "answer" and fetch["first"] > at + self._slack:
                    self._found(
                        "lost",
                        fetch["first"],
                        "sent on after its final answer",
                        row["id"],
                        fetch["b"],
                        fetch["u"],
                    )
                elif fetch["first"] > max(until[row["id"]], self._passed_on(row["b"], sent)) + self._slack:
                    self._found(
                        "lost",
                        fetch["first"],
                        "sent on after its client's time",
                        row["id"],
                        fetch["b"],
                        fetch["u"],
                    )
            terms = self._terms[row["prefix"]]
            harmless = terms.kind == "read-like" or (terms.kind == "tagged" and terms.scope == "all")
            bounced = row["how"] == "answer" and row["status"] in (429, 503)
            if bounced and not harmless and any(not f["never"] for f in mine):
                self._found(
                    "twice",
                    at,
                    "bounced, though it may have run and its repeat is not harmless",
                    row["id"],
                    balancer,
                )

    def _second(self, row: Row, mine: list[dict[str, Any]]) -> None:
        """What an earlier fetch of the visit forbids."""
        terms = self._terms[row["prefix"]]
        for i, fetch in enumerate(mine):
            for other in mine[:i]:
                why = ""
                if other["end"] > fetch["first"] + self._slack and not self._held(other, fetch["first"]):
                    why = "a second fetch while the first is out"
                elif other["never"] or terms.kind == "read-like":
                    continue
                elif terms.kind == "mutating":
                    why = "a mutating visit was sent on after it may have run"
                elif (terms.scope != "all" and self._zones[other["u"]] != self._zones[fetch["u"]]) or fetch[
                    "first"
                ] >= other["last"] + terms.window_ms + self._slack:
                    why = "a tagged visit was sent on outside its window or scope"
                if why:
                    self._found("twice", fetch["first"], why, row["id"], fetch["b"], fetch["u"])
                    return

    def _held(self, fetch: Mapping[str, Any], at: float) -> bool:
        """Whether its link was broken, so that the end of it may have been seen by the balancer alone."""
        link = self._links.get(f"{fetch['b']}>u{fetch['u']}")
        return bool(link and link.touches(fetch["last"], at))

    def _effects(self, rows: Sequence[Row]) -> None:
        wants = {row["id"]: (row["want"], row["prefix"]) for row in rows if row["k"] == "try"}
        ran: dict[int, str] = {}
        for row in rows:
            if row["k"] == "ran" and row["id"] in wants:
                want, prefix = wants[row["id"]]
                if self._terms[prefix].kind == "mutating":
                    if want in ran:
                        self._found(
                            "twice",
                            row["t"],
                            f"ran twice, first as {ran[want]}",
                            row["id"],
                            upstream=row["u"],
                        )
                    ran[want] = row["id"]

    def _takings(self, rows: Sequence[Row], fetches: Mapping[str, list[dict[str, Any]]]) -> None:
        """What several balancers have sent for one visit."""
        asked: dict[tuple[str, str], list[float]] = {}
        ran: dict[str, float] = {}
        for row in rows:
            if row["k"] == "try" and row["sent"]:
                asked.setdefault((row["id"], f"b{row['b']}"), []).append(row["sent"])
            elif row["k"] == "ran":
                ran.setdefault(row["id"], row["t"])
        for row in rows:
            if row["k"] != "try":
                continue
            if row["outcome"] == "answered" and row["status"] == 200 and ran.get(row["id"], inf) > row["t"]:
                self._found(
                    "taken",
                    row["t"],
                    "told the answer of a visit that had not run",
                    row["id"],
                    f"b{row['b']}",
                )
        for id_, mine in fetches.items():
            mine = sorted(mine, key=lambda f: f["first"])
            terms = self._terms.get(mine[0]["prefix"])
            if terms is None:
                continue
            if len(mine) > self._s.bank.max_fetches:
                self._found(
                    "taken",
                    mine[-1]["first"],
                    f"{len(mine)} fetches by all balancers together",
                    id_,
                    mine[-1]["b"],
                    mine[-1]["u"],
                )
            if terms.kind == "read-like":
                continue
            for i, fetch in enumerate(mine):
                before = [f for f in mine[:i] if f["b"] != fetch["b"]]
                if not before or not any(f["b"] == fetch["b"] for f in mine[:i]):
                    continue
                other = before[-1]
                gone = self._absent.get(other["b"])
                if gone and gone.touches(other["first"], fetch["first"]):
                    continue
                if not any(other["first"] <= at <= fetch["first"] for at in asked.get((id_, fetch["b"]), [])):
                    self._found(
                        "taken",
                        fetch["first"],
                        f"sent after {other['b']} had taken it",
                        id_,
                        fetch["b"],
                        fetch["u"],
                    )

    def _passed_on(self, balancer: int, sent: float) -> float:
        """When a link passed on what its client sent, which is the first that the balancer can know of it."""
        link = self._links.get(f"c>b{balancer}")
        return link.over_at(sent) if link else sent

    # drains

    def _drains(self, rows: Sequence[Row], fetches: Mapping[str, list[dict[str, Any]]]) -> None:
        told: dict[tuple[str, int], float] = {}  # by balancer and upstream: from when on it counts as told
        grace = self._s.rules.drain_grace_ms + self._slack
        sends = sorted((f for fs in fetches.values() for f in fs), key=lambda f: f["first"])
        news = [
            r
            for r in rows
            if r["k"] in ("told", "listed", "spawned") or (r["k"] == "opened" and ">list" in r["link"])
        ]
        asked: dict[str, float] = {}
        place = 0
        leaving: dict[int, float] = {}  # by upstream: when the list began to say so
        for send in sends:
            while place < len(news) and news[place]["t"] <= send["first"]:
                self._news(news[place], told, asked, leaving)
                place += 1
            balancer, upstream = send["b"], send["u"]
            at = told.get((balancer, upstream), inf)
            if upstream in leaving and (balancer, upstream) not in told:
                last = max(leaving[upstream], asked.get(balancer, -inf))
                at = min(at, last + 1e3 * self._s.rig.must_ask_s)
            if at == inf:
                continue
            absent = self._absent.get(balancer)
            if absent and absent.touches(at, send["first"]):
                at = max(at, absent.over_at(at))
            if send["first"] > at + grace:
                late = f"sent {send['first'] - at:.0f} ms after its drain was told"
                self._found("drain", send["first"], late, send["id"], balancer, upstream)

    def _news(
        self, row: Row, told: dict[tuple[str, int], float], asked: dict[str, float], leaving: dict[int, float]
    ) -> None:
        if row["k"] == "opened":
            asked[row["link"].partition(">")[0]] = row["t"]
        elif row["k"] == "spawned":
            # a new process knows what it was started with, and counts as told of nothing before
            for key in [k for k in told if k[0] == row["name"]]:
                del told[key]
            asked[row["name"]] = row["t"]
        elif row["k"] == "listed":
            uid = row["entry"]["uid"]
            index, newest = uid_index(uid), self._newest.setdefault("", {})  # "": by the list itself
            if row["entry"].get("state", "active") == "active":
                leaving.pop(index, None)
                newest[index] = max(newest.get(index, 0), uid_process(uid))
            elif uid_process(uid) >= newest.get(index, 0):
                leaving.setdefault(index, row["t"])
        else:
            link = self._unheard.get(f"{row['b']}>list")
            at = min(link.over_at(row["t"]), row["t"] + TOLD_AT_LAST) if link else row["t"]
            if "heard" in row:
                # what a call misses that has fallen silent counts so long after its last word
                at = max(at, row["heard"] + TOLD_AT_LAST)
            newest = self._newest.setdefault(row["b"], {})
            active = set()
            for uid, state in row["states"]:
                if state == "active":
                    active.add(uid_index(uid))
                    newest[uid_index(uid)] = max(newest.get(uid_index(uid), 0), uid_process(uid))
            # that a former process of a machine has left says nothing of the one that was named since
            away = {
                uid_index(uid)
                for uid, state in row["states"]
                if state != "active" and uid_process(uid) >= newest.get(uid_index(uid), 0)
            } - active
            if row["whole"]:
                away |= set(range(len(self._groups))) - active
            for index in active:
                told.pop((row["b"], index), None)
            for index in away:
                told.setdefault((row["b"], index), at)

    # cold

    def _colds(self, rows: Sequence[Row]) -> None:
        started: dict[int, tuple[float, bool]] = {}
        recent: dict[int, deque[tuple[float, float]]] = {}
        window, factor = self._s.rules.tip_ms, self._s.rules.overload_factor
        for row in rows:
            if row["k"] == "started":
                started[row["u"]] = (row["t"], row["warm"])
                recent[row["u"]] = deque()
            elif row["k"] == "fell":
                self._found("cold", row["t"], "pushed over while cold", upstream=row["u"])
            elif row["k"] == "arrived":
                index, now = row["u"], row["t"]
                group, (since, warm) = self._groups[index], started.get(row["u"], (-inf, True))
                if warm or now - since >= group.warm_ms:
                    continue
                pushed = recent[index]
                pushed.append((now, row["work"]))
                while pushed[0][0] <= now - window:
                    pushed.popleft()
                warmth = group.cold_from + (1 - group.cold_from) * (now - since) / group.warm_ms
                able = factor * warmth * self._speeds[index] * group.cores * window
                mean = sum(work for _, work in pushed) / len(pushed)
                # N + 2 root N + 2 visits of mean work, by the rule. Under four visits
                # N + 3 root N, as it was judged before, allows less
                n = able / mean
                slack = mean * min(2 * (sqrt(n) + 1), 3 * sqrt(max(1.0, n)))
                share = sum(w for _, w in pushed) / (able + slack)
                self.pushed = max(self.pushed, share)
                if share > 1:
                    much = f"{share:.2f} times what an upstream {now - since:.0f} ms old bears"
                    self._found("cold", now, much, row["id"], upstream=index)
                    pushed.clear()

    def counts(self) -> dict[str, int]:
        return {rule: sum(1 for b in self.breaches if b.rule == rule) for rule in RULES}
