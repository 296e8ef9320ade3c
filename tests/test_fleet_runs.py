"""Balancers of one bank: links over TCP in this process, and several processes on the rig, with faults."""

from __future__ import annotations

import asyncio
import json
import shutil
from datetime import datetime
from typing import Any

import pytest
from click.testing import CliRunner
from test_rig_runs import JudgedRun

from ospreyline import operator_settings
from ospreyline.__main__ import main
from ospreyline.config import ConfigError
from ospreyline.fleet import frames, list_relay
from ospreyline.fleet.bank import Bank, reachability_text
from ospreyline.fleet.frames import ALIVE, Entry, Hello
from ospreyline.rig.run import ROOT

BANK = '[list]\ncalls_per_s = 250\n[fleet]\nbank = "b"\nlisten = "127.0.0.1:0"\nlists = true\npeers = [{}]\n'


class Log:
    """Records log events."""

    def __init__(self) -> None:
        self.lines: list[tuple[str, dict[str, Any]]] = []

    def info(self, event: str, **more: Any) -> None:
        self.lines.append((event, more))

    warning = error = info


class Stand:
    """A member of a bank, in this process."""

    def __init__(
        self, name: str, *peers: Stand, bank: str = "b", listen: str = "127.0.0.1:0", watched: str = ""
    ) -> None:
        named = f'"{watched}"' if watched else ", ".join(f'"{p.name}={p.address}"' for p in peers)
        text = BANK.format(named).replace('"b"', f'"{bank}"').replace("127.0.0.1:0", listen)
        on = operator_settings.parse(text).fleet
        self.name, self.log, self.hints, self.news = name, Log(), [], []
        self.bank = Bank(
            asyncio.get_running_loop(),
            self.log,
            name,
            "z",
            on,
            1,
            self.news.append,
            self.hints.append,
            lambda: None,
        )

    async def start(self) -> Stand:
        await self.bank.start()
        return self

    @property
    def address(self) -> str:
        return self.bank.members.me.address

    def knows(self, *others: Stand) -> bool:
        return all(
            o.name in self.bank.members.members and self.bank.members.members[o.name].entry.state == ALIVE
            for o in others
        )


async def until(holds) -> None:
    async with asyncio.timeout(8):
        while not holds():
            await asyncio.sleep(0.01)


def test_members_meet_through_one_seed_and_pass_hints_and_lists():
    async def scenario():
        a = await Stand("a").start()
        b = await Stand("b", a).start()
        c = await Stand("c", a).start()
        await until(lambda: a.knows(b, c) and b.knows(a, c) and c.knows(a, b))
        await until(lambda: b.bank.members.linked == {"a", "c"})  # a known member may not be linked yet
        b.bank.tell(b"\1\2\3\4")
        await until(lambda: a.hints == c.hints == [b"\1\2\3\4"])
        await until(lambda: sum(s.bank.lists.passing for s in (a, b, c)) == 2)
        passer = next(s for s in (a, b, c) if s.bank.lists.passing)
        other = next(s for s in (a, b, c) if not s.bank.lists.passing)
        passer.bank.told(7, True, [("s1", False, b'{"uid":"s1"}')])
        await until(lambda: [n.rev for n in other.news] == [7])
        # one link per pair
        await until(lambda: all(len(s.bank.links.open) == 2 for s in (a, b, c)))
        c.bank.leave()
        await until(lambda: a.bank.members.members["c"].entry.state == frames.LEFT)
        for s in (a, b, c):
            s.bank.close()

    asyncio.run(scenario())


def test_members_on_a_watched_range_of_addresses_find_one_another():
    async def scenario():
        a = await Stand("a", listen="127.9.1.1:0", watched="127.9.1.0/28:1").start()
        port = a.address.rpartition(":")[2]
        a.bank.close()
        a, b, c = [
            await Stand(n, listen=f"127.9.1.{i}:{port}", watched=f"127.9.1.0/28:{port}").start()
            for i, n in ((1, "a"), (2, "b"), (6, "c"))
        ]
        await until(lambda: a.knows(b, c) and b.knows(a, c) and c.knows(a, b))
        c.bank.close()
        # a member that starts later, at a free address
        d = await Stand("d", listen=f"127.9.1.9:{port}", watched=f"127.9.1.0/28:{port}").start()
        await until(lambda: a.knows(d) and d.knows(a, b))
        assert not a.bank.members.superseded
        for s in (a, b, d):
            s.bank.close()

    asyncio.run(scenario())


@pytest.mark.parametrize(
    ("wire", "why"),
    [
        (b"GET / HTTP/1.1\r\nHost: x\r\n\r\n", "not a balancer frame"),
        (frames.HEADER.pack(frames.MAGIC, frames.VERSION - 1, 1 << 30, 0), "exceeds the limit"),
        (frames.encode(frames.Ping(sequence=1)), "not a hello"),
        (
            frames.encode(Hello(bank="other", sender=Entry("x", "h:1", "z", 1, 0, ALIVE), to="a")),
            "another bank",
        ),
        (
            frames.encode(Hello(bank="b", sender=Entry("x", "h:1", "z", 1, 0, ALIVE), to="q")),
            "hello addressed to",
        ),
        (frames.encode(Hello(bank="b", sender=Entry("a", "h:1", "z", 1, 0, ALIVE), to="a")), "our own name"),
        (frames.encode(frames.RelayUnavailable())[:9], "no data received"),
    ],
)
def test_what_does_not_belong_costs_its_link_and_nothing_else(wire, why, monkeypatch):
    monkeypatch.setattr("ospreyline.fleet.links.HELLO_TIMEOUT_S", 0.3)

    async def scenario():
        a = await Stand("a").start()
        b = await Stand("b", a).start()
        await until(lambda: a.knows(b))
        host, _, port = a.address.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(wire)
        with pytest.raises((ConnectionError, asyncio.IncompleteReadError)):
            await asyncio.wait_for(reader.readexactly(1 << 16), 5)
        refused = [more["why"] for event, more in a.log.lines if event == "link to a balancer refused"]
        assert any(why in one for one in refused), refused
        assert a.knows(b) and not a.bank.members.superseded
        writer.close()
        a.bank.close()
        b.bank.close()

    asyncio.run(scenario())


def test_a_peer_that_does_not_read_costs_bounded_memory(monkeypatch):
    monkeypatch.setattr("ospreyline.fleet.links.MAX_QUEUED_BYTES", 1 << 14)

    async def scenario():
        a = await Stand("a").start()
        host, _, port = a.address.rpartition(":")
        _, writer = await asyncio.open_connection(host, int(port), limit=1)
        me = Entry("x", "127.0.0.1:1", "z", 1, 0, ALIVE)
        writer.write(frames.encode(Hello(bank="b", sender=me, to="a")))
        await until(lambda: "x" in a.bank.links.by_name)
        link = a.bank.links.by_name["x"]
        for _ in range(3_000):
            link.write(frames.Hint(body=b"x" * 8_000))
            await asyncio.sleep(0)
        assert a.bank.links.dropped > 0 and link._queued_bytes <= 1 << 14
        writer.close()
        a.bank.close()

    asyncio.run(scenario())


def test_a_newer_process_of_our_name_makes_us_silent():
    async def scenario():
        a = await Stand("a").start()
        host, _, port = a.address.rpartition(":")
        _, writer = await asyncio.open_connection(host, int(port))
        writer.write(frames.encode(Hello(bank="b", sender=Entry("a", "h:1", "z", 1 << 50, 0, ALIVE), to="a")))
        await until(lambda: a.bank.members.superseded)
        assert any("newer process" in event for event, _ in a.log.lines)
        a.bank.close()

    asyncio.run(scenario())


@pytest.mark.parametrize(
    ("hears", "of", "said"),
    [
        (100, 100, "hears all"),
        (37, 100, "hears 37 of 100"),
        (1, 100, "alone"),
        (1, 1, "alone by its configuration"),
    ],
)
def test_how_much_is_heard_is_said_in_words(hears, of, said):
    assert reachability_text(hears, of) == said


@pytest.mark.parametrize(
    ("text", "said"),
    [
        ('[fleet]\nlisten = "h:1"\n', "fleet.bank: is missing"),
        ('[fleet]\nbank = "b"\nlisten = "x"\n', "fleet.listen: 'x' is no host:port"),
        ('[fleet]\nbank = "b"\nlisten = "h:1"\npeers = ["a"]\n', "fleet.peers[0]: 'a' is no name=host:port"),
        (
            '[fleet]\nbank = "b"\nlisten = "h:1"\npeers = ["10.1.0.1/27:7"]\n',
            "fleet.peers[0]: '10.1.0.1/27:7': ",
        ),
        (
            '[fleet]\nbank = "b"\nlisten = "h:1"\npeers = ["10.0.0.0/8:7"]\n',
            "fleet.peers[0]: '10.0.0.0/8:7' has",
        ),
        ('[fleet]\nbank = "b"\nlisten = "h:1"\npeers = ["a=h:2", "a=h:3"]\n', "fleet.peers[1]: 'a' is there"),
        (
            '[fleet]\nbank = "b"\nlisten = "h:1"\npeers = ["a=h:1"]\n',
            "fleet.peers[0]: h:1 is our own address",
        ),
        ('[fleet]\nbank = "b"\nlisten = "h:1"\nlists = true\n', "fleet.lists: needs list.calls_per_s"),
    ],
)
def test_what_is_wrong_with_the_fleet_is_one_line_that_names_the_key(text, said):
    with pytest.raises(ConfigError) as error:
        operator_settings.parse(text)
    assert str(error.value).startswith(said)


# on the test rig


MESH = {"fleet": {"on": True}, "relay_processes": 1}
SIX = {"count": 6, "notice_ms": [300.0, 600.0]}


def logged(day: JudgedRun, balancer: int, event: str) -> list[dict[str, Any]]:
    """Log lines of an event until the end of the run, when all balancers get SIGTERM and leave."""
    zero = json.loads((day.out / "origin.json").read_text())["unix_ms"]
    last = max(row["t"] for row in day.rows_of("signal", what="term"))
    ended = min(row["t"] for row in day.rows_of("signal", what="term") if row["t"] > last - 500.0)
    return [
        line
        for line in day.log_entries(balancer)
        if line["event"] == event
        and datetime.fromisoformat(line["timestamp"]).timestamp() * 1e3 < zero + ended
    ]


def states(day: JudgedRun, balancer: int) -> dict[str, list[str]]:
    found: dict[str, list[str]] = {}
    for line in logged(day, balancer, "member"):
        found.setdefault(line["peer"], []).append(line["state"])
    return found


def hears_all(day: JudgedRun, *balancers: int) -> bool:
    return all(logged(day, b, "fleet")[-1]["words"] == "hears all" for b in balancers)


def test_one_that_is_stopped_is_noticed_and_one_that_restarts_is_not_suspected(tmp_path):
    day = JudgedRun(
        tmp_path,
        seconds=10.0,
        bank=SIX,
        rig=MESH,
        faults=[
            {"kind": "stop", "who": "b4", "at_s": 1.5, "for_s": 4.0},
            {"kind": "restart", "who": "b5", "at_s": 2.0, "for_s": 0, "extra": 0.1},
        ],
    )
    day.assert_rules_kept()
    for b in range(4):
        assert states(day, b)["b4"][:2] == ["suspected", "dead"] and states(day, b)["b4"][-1] == "alive"
        assert "left" in states(day, b)["b5"] and "suspected" not in states(day, b)["b5"]
    # the one that was stopped suspects nobody
    assert not any(s in ("suspected", "dead") for n, got in states(day, 4).items() for s in got)
    assert hears_all(day, 0, 1, 2, 3, 4)


@pytest.mark.parametrize("way", ["both", "to"])
def test_a_third_that_was_cut_off_from_the_others_is_found_again(way, tmp_path):
    day = JudgedRun(
        tmp_path,
        seconds=16.0,
        bank=SIX,
        rig=MESH,
        load={"rate": 40.0},
        faults=[
            {"kind": "stall", "link": "b[01]>b[2345]", "way": way, "at_s": 1.0, "for_s": 6.0},
            *(
                [{"kind": "stall", "link": "b[2345]>b[01]", "at_s": 1.0, "for_s": 6.0}]
                if way == "both"
                else []
            ),
        ],
    )
    day.assert_rules_kept()
    if way == "both":
        assert any("hears 2 of 6" in line["words"] for line in logged(day, 0, "fleet"))
        assert any("hears 4 of 6" in line["words"] for line in logged(day, 5, "fleet"))
    assert hears_all(day, *range(6))


@pytest.mark.parametrize(
    "fault",
    [{"kind": "stall"}, {"kind": "narrow", "size": 100.0}, {"kind": "reset"}],
    ids=lambda fault: str(fault["kind"]),
)
def test_one_broken_link_kills_nobody(fault, tmp_path):
    day = JudgedRun(
        tmp_path,
        seconds=8.0,
        bank=SIX,
        rig=MESH,
        load={"rate": 40.0},
        faults=[
            {**fault, "link": "b0>b1", "at_s": 1.0, "for_s": 6.0},
            {**fault, "link": "b1>b0", "at_s": 1.0, "for_s": 6.0},
        ],
    )
    day.assert_rules_kept()
    assert not any("dead" in got for b in range(6) for got in states(day, b).values())


def test_those_that_pass_the_list_on_are_killed_at_the_moment_of_a_drain(tmp_path):
    assert list_relay.RELAYS_PER_ZONE == 2  # of zone a: b0 and b2, the oldest there
    day = JudgedRun(
        tmp_path,
        seconds=9.0,
        bank={"count": 8, "notice_ms": [300.0, 600.0]},
        faults=[
            {"kind": "shrink", "part": 0.5, "zone": "a", "at_s": 3.0, "extra": 4.0},
            {"kind": "kill", "who": "b[02]", "at_s": 3.12, "for_s": 1.0},
        ],
        rig={
            "fleet": {"on": True, "lists": True},
            "pairs": False,
            "known": "none",
            "start": "in turn",
            "operator": {"list": {"calls_per_s": 250.0}},
        },
    )
    day.assert_rules_kept()
    from_others = sum(
        line.get("lists_from_others", 0)
        for b in range(8)
        for line in day.log_entries(b)
        if line["event"] == "counts"
    )
    assert from_others >= 2 and day.summary["start"]["calls_in_4_s"] <= 8
    # every balancer was notified of the drain
    told = day.rows_of("listed")[0]
    uid = told["entry"]["uid"]
    for b in range(8):
        assert any(
            line["event"] == "upstream" and line["uid"] == uid and line["state"] == "draining"
            for line in day.log_entries(b)
        ), b


def test_a_list_service_that_moves_at_half_of_the_bank_breaks_no_drain(tmp_path):
    day = JudgedRun(
        tmp_path,
        seconds=9.0,
        bank=SIX,
        load={"rate": 40.0},
        faults=[
            {"kind": "registry-moved", "who": "b[024]", "at_s": 1.5},
            {"kind": "shrink", "part": 0.5, "zone": "a", "at_s": 2.0, "extra": 4.0},
        ],
        rig={
            "fleet": {"on": True, "lists": True},
            "pairs": False,
            "relay_processes": 1,
            "operator": {"list": {"calls_per_s": 250.0}},
        },
    )
    day.assert_rules_kept()
    for b in range(6):
        events = [line["event"] for line in day.log_entries(b)]
        assert ("discovery has moved" in events) is (b in (0, 2, 4))
        assert any(line["event"] == "upstream" and line["state"] == "draining" for line in day.log_entries(b))


def test_a_bank_of_two_versions_speaks(tmp_path):
    shutil.copytree(
        ROOT / "ospreyline", tmp_path / "next" / "ospreyline", ignore=shutil.ignore_patterns("__pycache__")
    )
    path = tmp_path / "next" / "ospreyline" / "fleet" / "frames.py"
    text = path.read_text()
    own, later = f"VERSION = {frames.VERSION}\n", f"VERSION = {frames.VERSION + 1}\n"
    assert text.count(own) == 1
    path.write_text(
        text.replace(own, later).replace(
            "class RelayUnavailable(_Message",
            'class Later(_Message, tag="later"):\n    pass\n\n\nclass RelayUnavailable(_Message',
        )
    )
    day = JudgedRun(
        tmp_path / "out",
        seconds=5.0,
        bank=SIX,
        load={"rate": 40.0},
        rig={**MESH, "program": str(tmp_path / "next"), "program_for": "b[135]"},
    )
    day.assert_rules_kept()
    assert hears_all(day, *range(6))


def test_the_state_can_be_read_from_outside(tmp_path):
    day = JudgedRun(tmp_path, seconds=5.0, bank=SIX, rig=MESH, load={"rate": 40.0})
    day.assert_rules_kept()
    files = sorted((tmp_path / "config").glob("b*.status"))
    assert len(files) == 6
    told = json.loads(files[0].read_text())
    assert told["bank"] == "rig" and len(told["members"]) == 5
    found = CliRunner().invoke(main, ["fleet", "status", str(files[0])])
    assert found.exit_code in (0, 1) and "b0 in 'rig'" in found.output
    (tmp_path / "x").write_text("{}")
    assert CliRunner().invoke(main, ["fleet", "status", str(tmp_path / "x")]).exit_code == 2
