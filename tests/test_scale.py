"""Costs that grow with size, at three sizes: counts of records, comparisons, messages and bytes, no times."""

from __future__ import annotations

import asyncio
import subprocess
import sys
import tomllib
from dataclasses import replace
from types import SimpleNamespace

import msgspec
import pytest
from click.testing import CliRunner
from stand_ins import PLAIN, FakeHost, listed

from ospreyline import config, decide
from ospreyline.__main__ import main
from ospreyline.fleet.frames import (
    ALIVE,
    MAX_MESSAGE_BYTES,
    Entry,
    FrameError,
    Reader,
    RelayedList,
    RelaySubscribe,
    StateSync,
    encode,
)
from ospreyline.fleet.list_relay import ListRelay
from ospreyline.fleet.members import MAX_MEMBERS, Members
from ospreyline.host import Readiness
from ospreyline.lab.mesh import Mesh
from ospreyline.net.list_call import MAX_LINE_BYTES, ListCall
from ospreyline.net.memory import MemoryBudget
from ospreyline.rig import scale

SIZES = 200, 2_000, 20_000


@pytest.fixture
def touched(monkeypatch):
    """Counts the upstreams that rankings and reloads process."""
    found = {"ranked": 0, "placed": 0}
    expected, put = decide.Upstream.expected_latency, decide.Balancer._assign_locality

    def count_expected(self, now, memory):
        found["ranked"] += 1
        return expected(self, now, memory)

    def count_put(self, u, zone):
        found["placed"] += 1
        put(self, u, zone)

    monkeypatch.setattr(decide.Upstream, "expected_latency", count_expected)
    monkeypatch.setattr(decide.Balancer, "_assign_locality", count_put)
    return found


@pytest.mark.parametrize("size", SIZES)
def test_a_ranking_looks_at_every_upstream_that_is_listed(size, touched):
    host = FakeHost([listed(i, i % 3) for i in range(size)])
    touched.update(ranked=0)
    host.pass_time(1_000.0)
    assert touched["ranked"] == 5 * size  # five rankings a second, whatever the load


@pytest.mark.parametrize("size", SIZES)
def test_one_changed_upstream_costs_a_ranking_of_all(size, touched):
    host = FakeHost([listed(i, i % 3) for i in range(size)])
    touched.update(ranked=0, placed=0)
    host.balancer.apply_list_changes(host.now, [listed(1, 1, readiness=Readiness.DRAINING)])
    assert (touched["ranked"], touched["placed"]) == (size - 1, 1)


@pytest.mark.parametrize("size", SIZES)
def test_new_settings_place_every_upstream_anew(size, touched):
    host = FakeHost([listed(i, i % 3) for i in range(size)])
    touched.update(ranked=0, placed=0)
    host.balancer.apply_settings(host.now, replace(PLAIN, cross_fee=0.5))
    assert touched["placed"] == size


class Counted(str):
    """A name that counts its comparisons."""

    compared = 0
    __slots__ = ()
    __hash__ = str.__hash__

    def __eq__(self, other):
        Counted.compared += 1
        return str.__eq__(self, other)


@pytest.mark.parametrize("size", [100, 400, 1_600])
def test_names_of_path_prefixes_are_checked_once_each(size, monkeypatch):
    read = config._decode_settings

    def counting(text, root):
        found = read(text, root)
        for prefix in found.path_prefixes:
            prefix.name = Counted(prefix.name)
        return found

    monkeypatch.setattr(config, "_decode_settings", counting)
    Counted.compared = 0
    parsed = config.parse(scale.balancer_config(1, size, "127.0.0.1:1"), {})
    assert len(parsed.prefix_names) == size
    assert Counted.compared <= size


def test_a_name_that_is_there_twice_is_refused_with_its_place():
    text = scale.balancer_config(1, 50, "127.0.0.1:1").replace(b'"route-31"', b'"route-7"')
    with pytest.raises(config.ConfigError, match=r"PathPrefixes\[31\]\.Name: 'route-7'"):
        config.parse(text, {})


def test_the_list_grows_by_a_hundred_bytes_an_upstream_and_its_line_is_bounded():
    sizes = [len(scale.list_body(size)) for size in SIZES]
    assert all(100 <= size / count <= 115 for size, count in zip(sizes, SIZES, strict=True))
    stopped = []
    owner = SimpleNamespace(
        loop=SimpleNamespace(time=lambda: 0.0),
        log=None,
        budget=MemoryBudget(2 * MAX_LINE_BYTES),
        call_ended=lambda call, why: stopped.append(why),
    )
    call = ListCall(owner, 1, ("h", 1), 0, watching=True)
    call.on_body(b"x" * MAX_LINE_BYTES)
    assert stopped == []
    call.on_body(b"x")
    assert stopped == ["a line without an end"]


def passing(entries, listeners):
    """The frames in which a relay forwards one change of a list with `entries` to its `listeners`."""
    lists = ListRelay("n0", "a", 1, lambda: 0.5, 0.0)
    lists.set_members(0.0, [])
    lists.tick(1_000.0)
    bodies = [(f"u{i}", False, msgspec.json.encode(scale.list_entry(i))) for i in range(entries)]
    lists.service_update(1_000.0, 1, True, bodies)
    for i in range(listeners):
        lists.receive(1_000.0, f"m{i}", RelaySubscribe(rev=1))
    lists.out.clear()
    lists.service_update(1_001.0, 2, False, bodies[:1])
    return [encode(message) for _, message in lists.out]


@pytest.mark.parametrize("entries", [100, 1_000, 10_000])
def test_a_change_is_passed_on_alone_whatever_the_list_holds(entries):
    assert [len(frame) < 300 for frame in passing(entries, 3)] == [True] * 3


@pytest.mark.parametrize("listeners", [5, 50, 500])
def test_a_change_is_said_once_to_each_listener(listeners):
    assert len(passing(10, listeners)) == listeners


@pytest.mark.parametrize(("entries", "read"), [(1_000, True), (5_000, True), (20_000, False)])
def test_a_whole_list_is_passed_on_up_to_what_a_frame_may_hold(entries, read):
    targets = [msgspec.json.encode(scale.list_entry(i)) for i in range(entries)]
    frame = encode(RelayedList(rev=1, since=-1, targets=targets, age=0.0))
    assert (len(frame) <= MAX_MESSAGE_BYTES) is read
    if read:
        assert len(Reader().feed(frame)) == 1
    else:
        with pytest.raises(FrameError, match="exceeds the limit"):
            Reader().feed(frame)


def test_members_are_told_flat_and_known_whole():
    """At rest the messages of one member do not grow with the bank; a full state sync does."""
    rest, whole = [], []
    for count in (20, 40, 80):
        mesh = Mesh(count, seed=3)
        mesh.world.run(8_000.0)
        assert mesh.count_alive_views() == (count * (count - 1), count * (count - 1))
        before = sum(node.sent for node in mesh.nodes.values())
        mesh.world.run(12_000.0)
        rest.append((sum(node.sent for node in mesh.nodes.values()) - before) / count / 4)
        everything = mesh.nodes["n0"].members._full_state()
        whole.append(len(encode(StateSync(updates=everything))) / count)
    assert all(11 <= messages <= 14 for messages in rest)
    assert max(whole) < 1.3 * min(whole)


@pytest.mark.parametrize("told", [100, MAX_MEMBERS, 7_000])
def test_members_are_kept_up_to_a_bound(told):
    me = Entry("n0", "h:1", "a", 1, 0, ALIVE)
    members = Members(me, [], lambda: 0.5, 0.0)
    entries = [Entry(f"m{i}", "h:2", "a", 1, 0, ALIVE) for i in range(told)]
    for at in range(0, told, 1_000):
        members.receive(0.0, "m0", StateSync(updates=entries[at : at + 1_000]))
    assert members.reachability() == (1 + min(told, MAX_MEMBERS),) * 2


def test_first_calls_grow_with_the_bank_unless_they_are_paced():
    found = scale.Measurements(lambda text: None)
    for count in (70, 700, 2_800):
        scale.measure_first_calls(found, count, 200.0)
    alone = [most for _, most in found.points["calls_alone_most_s"]]
    paced = [most for _, most in found.points["calls_paced_most_s"]]
    assert alone[2] > 3.5 * alone[1] > 3.5 * alone[0]
    assert max(paced) <= 0.8 * 200 + 1
    assert found.points["calls_paced_window_s"][2][1] == pytest.approx(2_800 / 160, rel=0.01)


def test_slopes_are_measured_by_a_command_and_what_is_not_measured_stays(tmp_path):
    data, picture = tmp_path / "slopes.toml", tmp_path / "slopes.png"
    data.write_text('[scoped_memory_mb]\nby = "x"\nunit = "MB"\nabout = "later"\npoints = []\n', "utf-8")
    result = CliRunner().invoke(
        main,
        [
            "rig",
            "scale",
            "slopes",
            "--part",
            "rank",
            "--part",
            "pass",
            "--upstreams",
            "100",
            "--upstreams",
            "400",
            "--listeners",
            "10",
            "--data",
            str(data),
            "--plot",
            str(picture),
        ],
    )
    assert result.exit_code == 0, result.output
    found = tomllib.loads(data.read_text("utf-8"))
    assert found["scoped_memory_mb"] == {
        "by": "x",
        "unit": "MB",
        "about": "later",
        "date": "",
        "command": "",
        "machine": "",
        "points": [],
    }
    assert [size for size, _ in found["rank_ms"]["points"]] == [100, 400]
    assert found["rank_ms"]["command"] == "ospreyline rig scale slopes --part rank --part pass"
    assert picture.read_bytes().startswith(b"\x89PNG")


def test_a_serve_process_is_measured_beside_hollow_stand_ins(tmp_path):
    found = scale.Measurements(lambda text: None)

    async def run():
        await scale.measure_upstreams(found, tmp_path, 50, 0.5, 0.0)
        await scale.measure_members(found, tmp_path, 30, 0.5, settle=1.0, losses=1)

    asyncio.run(run())
    values = {name: points[0][1] for name, points in found.points.items()}
    assert 4_000 < values["list_bytes"] < 6_000
    assert 10 < values["serve_memory_mb"] < 100
    assert values["members_links"] >= 6
    assert values["loss_messages"] > 0


def test_serve_imports_nothing_of_it():
    code = (
        "import sys, ospreyline.__main__, ospreyline.net.service, ospreyline.operator_settings;"
        "print([m for m in sys.modules if 'capacity' in m or 'rig' in m.split('.')])"
    )
    done = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True, check=True)
    assert done.stdout.strip() == "[]"
