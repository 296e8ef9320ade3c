"""The rig's referee reports each planted breach of a rule, and none in runs that keep the rules."""

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


def make_row(k: str, t: float, **values: Any) -> dict[str, Any]:
    return {"k": k, "t": t, **values}


def try_row(t: float, id_: str = "v", **more: Any) -> dict[str, Any]:
    """The row of a client try that ended at t (ms)."""
    return make_row(
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


def fetch_rows(
    first: float,
    id_: str = "v",
    link: str = "b0>u0",
    prefix: str = "change",
    end: float | None = None,
    status: int = 200,
    never: bool = False,
) -> Rows:
    """The rows of a fetch on the wire; without `end` it is abandoned 100 ms after its start."""
    asked = make_row("asked", first + 1, link=link, id=id_, prefix=prefix, first=first)
    if end is None:
        return [asked, make_row("unanswered", first + 100, link=link, id=id_, how="gone")]
    return [asked, make_row("answered", end, link=link, id=id_, status=status, never=never)]


def judge_rows(*rows: Any) -> list[tuple[str, str]]:
    all_rows: Rows = [make_row("spawned", 0.0, name="b0", pid=1), make_row("spawned", 0.0, name="b1", pid=2)]
    for part in rows:
        all_rows.extend(part if isinstance(part, list) else [part])
    referee = Referee(build(SCENARIO), [1.0] * 4)
    return [(b.rule, b.what) for b in referee.judge(all_rows)]


GOOD_VISIT = [*fetch_rows(1_010, end=1_100), try_row(1_101.0)]


def test_a_good_visit_breaks_nothing():
    assert judge_rows(GOOD_VISIT) == []


@pytest.mark.parametrize(
    ("rows", "rule", "what"),
    [
        ([try_row(2_050.0, how="none", status=0)], "lost", "no answer before"),
        ([try_row(1_400.0, how="cut", status=0)], "lost", "ended without an answer"),
        ([try_row(1_400.0, how="spoilt", status=0)], "lost", "cannot be read"),
        (
            [
                make_row("signal", 800.0, name="b0", what="kill"),
                make_row("ended", 805.0, name="b0", status=-9, wanted=True),
                make_row("spawned", 850.0, name="b0", pid=3),
                make_row("reached", 900.0, link="c>b0"),
                try_row(1_010.0, how="cut", status=0),
            ],
            "lost",
            "ended without an answer",
        ),
        ([try_row(1_400.0, own=False)], "lost", "not made for it"),
        (
            [try_row(1_100.0, prefix="read"), *fetch_rows(1_200, prefix="read", end=1_300)],
            "lost",
            "after its final",
        ),
        (
            [
                try_row(2_050.0, prefix="read", how="none", status=0, b=1),
                *fetch_rows(2_100, link="b1>u0", prefix="read"),
                make_row("signal", 2_000.0, name="b1", what="stop"),
                make_row("signal", 2_060.0, name="b1", what="go on"),
            ],
            "lost",
            "after its client's timeout",
        ),
        # long after the link had forwarded it
        (
            [
                make_row("fault", 900.0, on=1, kind="drop", links=["c>b0"]),
                make_row("fault", 3_000.0, on=-1, kind="drop", links=["c>b0"]),
                try_row(2_050.0, prefix="read", how="none", status=0),
                *fetch_rows(4_500, prefix="read"),
            ],
            "lost",
            "after its client's timeout",
        ),
        (
            [*fetch_rows(1_010), *fetch_rows(1_200, link="b0>u1", end=1_300), try_row(1_301.0)],
            "twice",
            "may have executed",
        ),
        (
            [
                *fetch_rows(1_010, prefix="read", end=1_400),
                *fetch_rows(1_100, link="b0>u1", prefix="read", end=1_300),
                try_row(1_401.0, prefix="read"),
            ],
            "twice",
            "while the first is outstanding",
        ),
        (
            [
                *fetch_rows(1_010, prefix="tag"),
                *fetch_rows(1_200, link="b0>u1", prefix="tag", end=1_300),
                try_row(1_301.0, prefix="tag"),
            ],
            "twice",
            "window or scope",
        ),
        (
            [
                *fetch_rows(1_010, prefix="tag"),
                *fetch_rows(1_700, link="b0>u2", prefix="tag", end=1_750),
                try_row(1_751.0, prefix="tag"),
            ],
            "twice",
            "window or scope",
        ),
        ([*fetch_rows(1_010), try_row(1_301.0, status=503)], "twice", "bounced"),
        (
            [
                try_row(1_100.0, "v"),
                try_row(1_300.0, "w", sent=1_200.0),
                make_row("ran", 1_050, u=0, id="v"),
                make_row("ran", 1_250, u=1, id="w"),
            ],
            "twice",
            "executed twice",
        ),
        (
            [
                make_row("told", 500.0, b="b0", rev=2, whole=False, states=[("s-0-1", "leaving")]),
                *fetch_rows(1_600, end=1_650),
                try_row(1_651.0, sent=1_590.0),
            ],
            "drain",
            "1100 ms after",
        ),
        (
            [
                make_row("told", 500.0, b="b0", rev=2, whole=True, states=[("s-1-1", "active")]),
                *fetch_rows(1_600, end=1_650),
                try_row(1_651.0, sent=1_590.0),
            ],
            "drain",
            "1100 ms after",
        ),
        # the newest process of its machine drains
        (
            [
                make_row("told", 300.0, b="b0", rev=2, whole=False, states=[("s-0-2", "active")]),
                make_row("told", 400.0, b="b0", rev=3, whole=False, states=[("s-0-1", "left")]),
                make_row("told", 500.0, b="b0", rev=4, whole=False, states=[("s-0-2", "leaving")]),
                *fetch_rows(1_600, end=1_650),
                try_row(1_651.0, sent=1_590.0),
            ],
            "drain",
            "1100 ms after",
        ),
        (
            [
                make_row("fault", 400.0, on=1, kind="drop", links=["b0>list"]),
                make_row("told", 500.0, b="b0", rev=2, whole=False, states=[("s-0-1", "left")]),
                *fetch_rows(7_200, end=7_250),
                try_row(7_251.0, sent=7_190.0),
            ],
            "drain",
            "700 ms after",
        ),
        (
            [
                make_row("opened", 100.0, link="b0>list"),
                make_row("listed", 500.0, entry={"uid": "s-0-1", "state": "left"}),
                *fetch_rows(11_200, end=11_250),
                try_row(11_251.0, sent=11_190.0),
            ],
            "drain",
            "700 ms after",
        ),
        (
            [
                make_row("started", 0.0, u=0, inc=2, warm=False),
                *(
                    make_row("arrived", 100.0 + i, u=0, inc=2, id="v", took=True, work=400.0, key="")
                    for i in range(9)
                ),
            ],
            "cold",
            "what an upstream",
        ),
        ([make_row("fell", 700.0, u=3)], "cold", "overloaded"),
        ([make_row("ended", 700.0, name="b0", status=-11, wanted=False)], "crash", "status -11"),
        (
            [
                make_row("signal", 600.0, name="b0", what="term"),
                make_row("ended", 700.0, name="b0", status=1, wanted=True),
            ],
            "crash",
            "stopped on request",
        ),
    ],
)
def test_a_planted_breach_is_found(rows, rule, what):
    breaches = judge_rows(rows)
    assert any(r == rule and what in w for r, w in breaches), breaches


@pytest.mark.parametrize(
    "rows",
    [
        # a link delayed a request past its client's timeout; the balancer sent it on at once
        [
            make_row("fault", 900.0, on=1, kind="drop", links=["c>b0"]),
            make_row("fault", 3_000.0, on=-1, kind="drop", links=["c>b0"]),
            try_row(2_050.0, prefix="read", how="none", status=0),
            *fetch_rows(3_005, prefix="read"),
        ],
        # the list reports that a former process of a machine left after it listed its successor
        [
            make_row("told", 400.0, b="b0", rev=2, whole=False, states=[("s-0-2", "active")]),
            make_row("told", 500.0, b="b0", rev=3, whole=False, states=[("s-0-1", "left")]),
            *fetch_rows(1_600, end=1_650),
            try_row(1_651.0, sent=1_590.0),
        ],
        # never executed: may be sent again
        [
            *fetch_rows(1_010, end=1_020, status=503, never=True),
            *fetch_rows(1_030, link="b0>u1", end=1_100),
            try_row(1_101.0),
        ],
        [*fetch_rows(1_010, end=1_020, status=503, never=True), try_row(1_030.0, status=503)],
        # sent again within window and zone
        [
            *fetch_rows(1_010, prefix="tag"),
            *fetch_rows(1_200, link="b0>u2", prefix="tag", end=1_300),
            try_row(1_301.0, prefix="tag"),
        ],
        [*fetch_rows(1_010, prefix="read"), try_row(1_200.0, prefix="read", status=503)],
        # the balancer died or was stopped, or its link was faulty
        [
            try_row(1_400.0, how="cut", status=0),
            make_row("signal", 1_390.0, name="b0", what="kill"),
            make_row("ended", 1_395.0, name="b0", status=-9, wanted=True),
        ],
        [try_row(2_050.0, how="none", status=0), make_row("signal", 1_500.0, name="b0", what="stop")],
        [
            make_row("signal", 900.0, name="b0", what="kill"),
            make_row("ended", 905.0, name="b0", status=-9, wanted=True),
            make_row("spawned", 950.0, name="b0", pid=3),
            try_row(1_010.0, how="cut", status=0),
        ],
        [
            try_row(2_050.0, how="none", status=0),
            make_row("fault", 1_500.0, on=1, kind="drop", links=["c>b0"]),
        ],
        [try_row(1_000.0, sent=0.0, how="unreached", status=0)],
        [try_row(2_050.0, how="none", status=0), make_row("starved", 1_600.0, name="b0", ms=80.0)],
        # within the grace; active again; another balancer notified; stopped while it was notified
        [
            make_row("told", 500.0, b="b0", rev=2, whole=False, states=[("s-0-1", "leaving")]),
            *fetch_rows(1_010, end=1_050),
            try_row(1_051.0),
        ],
        [
            make_row(
                "told", 500.0, b="b0", rev=2, whole=False, states=[("s-0-1", "left"), ("s-0-2", "active")]
            ),
            *fetch_rows(1_600, end=1_650),
            try_row(1_651.0, sent=1_590.0),
        ],
        [
            make_row("told", 500.0, b="b1", rev=2, whole=False, states=[("s-0-1", "left")]),
            *fetch_rows(1_600, end=1_650),
            try_row(1_651.0, sent=1_590.0),
        ],
        [
            make_row("signal", 480.0, name="b0", what="stop"),
            make_row("told", 500.0, b="b0", rev=2, whole=False, states=[("s-0-1", "left")]),
            make_row("signal", 1_580.0, name="b0", what="go on"),
            *fetch_rows(1_600, end=1_650),
            try_row(1_651.0, sent=1_590.0),
        ],
        # a warm upstream, or little load
        [
            make_row("started", 0.0, u=0, inc=1, warm=True),
            *(
                make_row("arrived", 100.0 + i, u=0, inc=1, id="v", took=True, work=400.0, key="")
                for i in range(9)
            ),
        ],
        [
            make_row("started", 0.0, u=0, inc=2, warm=False),
            make_row("arrived", 100.0, u=0, inc=2, id="v", took=True, work=400.0, key=""),
        ],
        [
            make_row("signal", 600.0, name="b0", what="term"),
            make_row("ended", 700.0, name="b0", status=0, wanted=True),
        ],
    ],
)
def test_what_is_allowed_is_no_breach(rows):
    assert judge_rows(rows) == []
