"""The rig's referee: each rule has a planted breach that it must find, and a good day that it must not."""

from __future__ import annotations

from typing import Any

import pytest

from ospreyline.rig.referee import Referee
from ospreyline.rig.scenario import build

SCENARIO = {
    "bank": {"count": 2},
    "zones": {"names": ["a", "b"]},
    "servers": [{"count": 4, "cores": 1, "cold_from": 0.25, "warm_ms": 10_000.0}],
    "load": {"rate": 10.0},
    "rules": {"overload_factor": 2.0, "tip_ms": 1_000.0, "slack_ms": 50.0},
    "prefixes": [
        {"name": "read"},
        {"name": "change", "kind": "mutating"},
        {"name": "tag", "kind": "tagged", "scope": "zone", "window_ms": 500.0},
    ],
}

Rows = list[dict[str, Any]]


def row(k: str, t: float, **values: Any) -> dict[str, Any]:
    return {"k": k, "t": t, **values}


def attempt(t: float, id_: str = "v", **more: Any) -> dict[str, Any]:
    """A try of a client that was over at t."""
    return row(
        "try",
        t,
        **{
            "id": id_,
            "want": 1,
            "prefix": "change",
            "zone": 0,
            "b": 0,
            "sent": 1_000.0,
            "ttl": 1_000.0,
            "how": "answer",
            "status": 200,
            "own": True,
            "again": False,
            **more,
        },
    )


def fetch(
    first: float,
    id_: str = "v",
    link: str = "b0>u0",
    prefix: str = "change",
    end: float | None = None,
    status: int = 200,
    never: bool = False,
) -> Rows:
    """A fetch on the wire; end None: it is given up 100 ms later."""
    asked = row("asked", first + 1, link=link, id=id_, prefix=prefix, first=first)
    if end is None:
        return [asked, row("unanswered", first + 100, link=link, id=id_, how="gone")]
    return [asked, row("answered", end, link=link, id=id_, status=status, never=never)]


def judged(*rows: Any) -> list[tuple[str, str]]:
    flat: Rows = [row("spawned", 0.0, name="b0", pid=1), row("spawned", 0.0, name="b1", pid=2)]
    for part in rows:
        flat.extend(part if isinstance(part, list) else [part])
    referee = Referee(build(SCENARIO), [1.0] * 4)
    return [(b.rule, b.what) for b in referee.judge(flat)]


GOOD = [*fetch(1_010, end=1_100), attempt(1_101.0)]


def test_a_good_visit_breaks_nothing():
    assert judged(GOOD) == []


@pytest.mark.parametrize(
    ("rows", "rule", "what"),
    [
        ([attempt(2_050.0, how="none", status=0)], "lost", "no answer before"),
        ([attempt(1_400.0, how="cut", status=0)], "lost", "ended without an answer"),
        ([attempt(1_400.0, how="spoilt", status=0)], "lost", "cannot be read"),
        (
            [
                row("signal", 800.0, name="b0", what="kill"),
                row("ended", 805.0, name="b0", status=-9, wanted=True),
                row("spawned", 850.0, name="b0", pid=3),
                row("reached", 900.0, link="c>b0"),
                attempt(1_010.0, how="cut", status=0),
            ],
            "lost",
            "ended without an answer",
        ),
        ([attempt(1_400.0, own=False)], "lost", "not made for it"),
        (
            [attempt(1_100.0, prefix="read"), *fetch(1_200, prefix="read", end=1_300)],
            "lost",
            "after its final",
        ),
        (
            [
                attempt(2_050.0, prefix="read", how="none", status=0, b=1),
                *fetch(2_100, link="b1>u0", prefix="read"),
                row("signal", 2_000.0, name="b1", what="stop"),
                row("signal", 2_060.0, name="b1", what="go on"),
            ],
            "lost",
            "after its client's time",
        ),
        # long after a link had passed it on
        (
            [
                row("fault", 900.0, on=1, kind="drop", links=["c>b0"]),
                row("fault", 3_000.0, on=-1, kind="drop", links=["c>b0"]),
                attempt(2_050.0, prefix="read", how="none", status=0),
                *fetch(4_500, prefix="read"),
            ],
            "lost",
            "after its client's time",
        ),
        ([*fetch(1_010), *fetch(1_200, link="b0>u1", end=1_300), attempt(1_301.0)], "twice", "may have run"),
        (
            [
                *fetch(1_010, prefix="read", end=1_400),
                *fetch(1_100, link="b0>u1", prefix="read", end=1_300),
                attempt(1_401.0, prefix="read"),
            ],
            "twice",
            "while the first is out",
        ),
        (
            [
                *fetch(1_010, prefix="tag"),
                *fetch(1_200, link="b0>u1", prefix="tag", end=1_300),
                attempt(1_301.0, prefix="tag"),
            ],
            "twice",
            "window or scope",
        ),
        (
            [
                *fetch(1_010, prefix="tag"),
                *fetch(1_700, link="b0>u2", prefix="tag", end=1_750),
                attempt(1_751.0, prefix="tag"),
            ],
            "twice",
            "window or scope",
        ),
        ([*fetch(1_010), attempt(1_301.0, status=503)], "twice", "bounced"),
        (
            [
                attempt(1_100.0, "v"),
                attempt(1_300.0, "w", sent=1_200.0),
                row("ran", 1_050, u=0, id="v"),
                row("ran", 1_250, u=1, id="w"),
            ],
            "twice",
            "ran twice",
        ),
        (
            [
                row("told", 500.0, b="b0", rev=2, whole=False, states=[("s-0-1", "leaving")]),
                *fetch(1_600, end=1_650),
                attempt(1_651.0, sent=1_590.0),
            ],
            "drain",
            "1100 ms after",
        ),
        (
            [
                row("told", 500.0, b="b0", rev=2, whole=True, states=[("s-1-1", "active")]),
                *fetch(1_600, end=1_650),
                attempt(1_651.0, sent=1_590.0),
            ],
            "drain",
            "1100 ms after",
        ),
        # the latest process of its machine drains
        (
            [
                row("told", 300.0, b="b0", rev=2, whole=False, states=[("s-0-2", "active")]),
                row("told", 400.0, b="b0", rev=3, whole=False, states=[("s-0-1", "left")]),
                row("told", 500.0, b="b0", rev=4, whole=False, states=[("s-0-2", "leaving")]),
                *fetch(1_600, end=1_650),
                attempt(1_651.0, sent=1_590.0),
            ],
            "drain",
            "1100 ms after",
        ),
        (
            [
                row("fault", 400.0, on=1, kind="drop", links=["b0>list"]),
                row("told", 500.0, b="b0", rev=2, whole=False, states=[("s-0-1", "left")]),
                *fetch(7_200, end=7_250),
                attempt(7_251.0, sent=7_190.0),
            ],
            "drain",
            "700 ms after",
        ),
        (
            [
                row("opened", 100.0, link="b0>list"),
                row("listed", 500.0, entry={"uid": "s-0-1", "state": "left"}),
                *fetch(11_200, end=11_250),
                attempt(11_251.0, sent=11_190.0),
            ],
            "drain",
            "700 ms after",
        ),
        (
            [
                row("started", 0.0, u=0, inc=2, warm=False),
                *(
                    row("arrived", 100.0 + i, u=0, inc=2, id="v", took=True, work=400.0, key="")
                    for i in range(9)
                ),
            ],
            "cold",
            "what an upstream",
        ),
        ([row("fell", 700.0, u=3)], "cold", "pushed over"),
        ([row("ended", 700.0, name="b0", status=-11, wanted=False)], "crash", "status -11"),
        (
            [
                row("signal", 600.0, name="b0", what="term"),
                row("ended", 700.0, name="b0", status=1, wanted=True),
            ],
            "crash",
            "told to stop",
        ),
    ],
)
def test_a_planted_breach_is_found(rows, rule, what):
    found = judged(rows)
    assert any(r == rule and what in w for r, w in found), found


@pytest.mark.parametrize(
    "rows",
    [
        # a link held a request back until its client's time was over; the balancer sent it on at once
        [
            row("fault", 900.0, on=1, kind="drop", links=["c>b0"]),
            row("fault", 3_000.0, on=-1, kind="drop", links=["c>b0"]),
            attempt(2_050.0, prefix="read", how="none", status=0),
            *fetch(3_005, prefix="read"),
        ],
        # a former process of a machine has left, as the list notices after its successor was named
        [
            row("told", 400.0, b="b0", rev=2, whole=False, states=[("s-0-2", "active")]),
            row("told", 500.0, b="b0", rev=3, whole=False, states=[("s-0-1", "left")]),
            *fetch(1_600, end=1_650),
            attempt(1_651.0, sent=1_590.0),
        ],
        # never ran: sent on
        [
            *fetch(1_010, end=1_020, status=503, never=True),
            *fetch(1_030, link="b0>u1", end=1_100),
            attempt(1_101.0),
        ],
        [*fetch(1_010, end=1_020, status=503, never=True), attempt(1_030.0, status=503)],
        # within window and zone
        [
            *fetch(1_010, prefix="tag"),
            *fetch(1_200, link="b0>u2", prefix="tag", end=1_300),
            attempt(1_301.0, prefix="tag"),
        ],
        [*fetch(1_010, prefix="read"), attempt(1_200.0, prefix="read", status=503)],
        # the balancer died, was stopped, or its link was broken
        [
            attempt(1_400.0, how="cut", status=0),
            row("signal", 1_390.0, name="b0", what="kill"),
            row("ended", 1_395.0, name="b0", status=-9, wanted=True),
        ],
        [attempt(2_050.0, how="none", status=0), row("signal", 1_500.0, name="b0", what="stop")],
        [
            row("signal", 900.0, name="b0", what="kill"),
            row("ended", 905.0, name="b0", status=-9, wanted=True),
            row("spawned", 950.0, name="b0", pid=3),
            attempt(1_010.0, how="cut", status=0),
        ],
        [attempt(2_050.0, how="none", status=0), row("fault", 1_500.0, on=1, kind="drop", links=["c>b0"])],
        [attempt(1_000.0, sent=0.0, how="unreached", status=0)],
        [attempt(2_050.0, how="none", status=0), row("starved", 1_600.0, name="b0", ms=80.0)],
        # within the grace; told active again; a restarted one was never told
        [
            row("told", 500.0, b="b0", rev=2, whole=False, states=[("s-0-1", "leaving")]),
            *fetch(1_010, end=1_050),
            attempt(1_051.0),
        ],
        [
            row("told", 500.0, b="b0", rev=2, whole=False, states=[("s-0-1", "left"), ("s-0-2", "active")]),
            *fetch(1_600, end=1_650),
            attempt(1_651.0, sent=1_590.0),
        ],
        [
            row("told", 500.0, b="b1", rev=2, whole=False, states=[("s-0-1", "left")]),
            *fetch(1_600, end=1_650),
            attempt(1_651.0, sent=1_590.0),
        ],
        [
            row("signal", 480.0, name="b0", what="stop"),
            row("told", 500.0, b="b0", rev=2, whole=False, states=[("s-0-1", "left")]),
            row("signal", 1_580.0, name="b0", what="go on"),
            *fetch(1_600, end=1_650),
            attempt(1_651.0, sent=1_590.0),
        ],
        # warm, or little
        [
            row("started", 0.0, u=0, inc=1, warm=True),
            *(row("arrived", 100.0 + i, u=0, inc=1, id="v", took=True, work=400.0, key="") for i in range(9)),
        ],
        [
            row("started", 0.0, u=0, inc=2, warm=False),
            row("arrived", 100.0, u=0, inc=2, id="v", took=True, work=400.0, key=""),
        ],
        [row("signal", 600.0, name="b0", what="term"), row("ended", 700.0, name="b0", status=0, wanted=True)],
    ],
)
def test_what_is_allowed_is_no_breach(rows):
    assert judged(rows) == []
