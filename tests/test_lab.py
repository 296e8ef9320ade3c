"""The simulator: clock, model against queueing theory, referee, faults, scenarios, sweeps and commands."""

from __future__ import annotations

import subprocess
import sys

import msgspec
import pytest
from click.testing import CliRunner

from ospreyline.__main__ import main
from ospreyline.drill.frames import Instance
from ospreyline.host import Host
from ospreyline.lab import arms, bank, compare, records, scenario, servers, sweep, theory
from ospreyline.lab.run import Run, run_scenario
from ospreyline.lab.words import FAULTS, ScenarioError
from ospreyline.lab.world import Streams, World
from ospreyline.net.dispatcher import EventDispatcher

SMALL = """
name = "small"
[day]
seconds = 6
[bank]
count = 4
[zones]
names = ["a", "b"]
[[servers]]
count = 8
cores = 2
speed = [0.8, 1.2]
slots_per_core = 4
cancel = "all"
warm_ms = 3000
[registry]
mode = "ask"
notice_ms = [100, 300]
silent_ms = [300, 500]
period_ms = 100
[load]
share = 0.5
keys = 40
[clients]
retries = 1
[[prefixes]]
name = "read"
work_ms = 20
target_ms = 200
timeout_ms = 800
share = 2
[[prefixes]]
name = "change"
kind = "mutating"
work_ms = 30
target_ms = 250
timeout_ms = 900
gain = 3
[[prefixes]]
name = "claim"
kind = "tagged"
scope = "zone"
window_ms = 500
work_ms = 30
target_ms = 250
timeout_ms = 900
[rules]
overload_factor = 4
"""


def small(**settings):
    return scenario.change(scenario.parse(SMALL), settings)


def invoke(*args):
    return CliRunner().invoke(main, ["lab", *map(str, args)])


# -- the clock ----------------------------------------------------------------------------------------------


def test_what_is_due_at_the_same_time_comes_in_the_order_asked_and_what_was_dropped_never():
    world, seen = World(), []
    for name in "abc":
        world.at(5.0, seen.append, name)
    World.drop(world.at(5.0, seen.append, "dropped"))
    world.at(1.0, lambda: world.at(0.0, seen.append, "late"))  # in the past: runs at once
    world.run(10.0)
    assert seen == ["late", "a", "b", "c"]
    assert world.now == 10.0


def test_a_further_stream_disturbs_no_other():
    alone = Streams(7).uniform("work")
    streams = Streams(7)
    streams.uniform("another")()
    assert [alone() for _ in range(1_000)] == [u() for u in [streams.uniform("work")] for _ in range(1_000)]
    assert Streams(8).uniform("work")() != Streams(7).uniform("work")()


def test_the_same_seed_gives_the_same_bytes_wherever_it_is_played(tmp_path):
    settings = {"chance.count": 3}
    for name in ("one", "two"):
        run_scenario(small(**settings), 5, "ours", tmp_path / name, "all")
    names = sorted(p.name for p in (tmp_path / "one").iterdir())
    assert "visits.jsonl" in names and "beliefs.jsonl" in names
    for name in names:
        assert (tmp_path / "one" / name).read_bytes() == (tmp_path / "two" / name).read_bytes(), name
    cells = sweep.grid({"chance.count": [3]}, [5, 6, 7], ["ours"])
    together = sweep.run(small(), cells, tmp_path / "many", jobs=3)
    assert together[0]["summary"] == records.read_json(tmp_path / "one", "summary")


# -- the model against theory -------------------------------------------------------------------------------


@pytest.mark.parametrize("case", theory.CASES, ids=lambda case: case.name)
def test_the_server_agrees_with_theory(case):
    assert theory.check_case(case, visits=20_000).holds


@pytest.mark.parametrize("case", theory.CASES[:3], ids=lambda case: case.name)
def test_held_on_the_mean_is_rate_times_time(case):
    assert theory.check_littles_law(case, visits=5_000).holds


def test_a_server_of_the_wrong_speed_does_not_agree(monkeypatch):
    monkeypatch.setattr(servers.Server, "speed", lambda self: 0.9)
    assert not theory.check_case(theory.CASES[1], visits=20_000).holds


# -- the referee --------------------------------------------------------------------------------------------

RULE_BREAKING_ARM = """
from ospreyline.lab.arms import BaselinePolicy, RandomChoice
from ospreyline.host import End, Kind

class Balancer(RandomChoice):
"""
VIOLATIONS = {
    "lost": """
    def _give_up(self, visit, prior):
        super()._give_up(visit, prior)
        visit.upstreams.append(self.ready[0])
        visit.ends.append(None)
        visit.sent_at.append(0.0)
        visit.in_flight += 1
        self.in_flight.setdefault(self.ready[0].upstream, 0)
        self.in_flight[self.ready[0].upstream] += 1
        self.host.start_fetch(visit.tag, self.ready[0].upstream, 100.0)
""",
    "twice": """
    def _may_send(self, visit, line, prior, now):
        return True
""",
    "drain": """
    def _update_listed(self, lines):
        super()._update_listed(lines)
        self.ready = list(self.listed.values())
""",
    "cold": """
    def pick(self, visit, allowed, now):
        newest = max(allowed, key=lambda line: line.started_at)
        return newest if newest.started_at else super().pick(visit, allowed, now)
""",
}


@pytest.mark.parametrize("rule", VIOLATIONS)
def test_a_planted_breach_is_found(rule, tmp_path):
    path = tmp_path / "bad.py"
    path.write_text(RULE_BREAKING_ARM + VIOLATIONS[rule])
    faults = {
        "lost": [{"kind": "errors", "at_s": 1, "for_s": 4, "part": 0.5, "size": 0.5}],
        "twice": [{"kind": "errors", "at_s": 1, "for_s": 4, "part": 0.5, "size": 0.5}],
        "drain": [{"kind": "shrink", "at_s": 1, "for_s": 1, "part": 0.4, "extra": 4}],
        "cold": [{"kind": "crash", "at_s": 1, "for_s": 1, "part": 0.2}],
    }[rule]
    settings = {"faults": faults, "rules.drain_grace_ms": 200}
    assert run_scenario(small(**settings), 1, f"file:{path}")["breaches"][rule]
    assert not any(run_scenario(small(**settings), 1)["breaches"].values())


def test_a_visit_that_nobody_answers_is_found(tmp_path):
    path = tmp_path / "bad.py"
    path.write_text(
        RULE_BREAKING_ARM
        + """
    def send_or_answer(self, visit, now):
        if visit.tag % 9:
            super().send_or_answer(visit, now)
"""
    )
    assert run_scenario(small(), 1, f"file:{path}")["breaches"]["lost"]


def test_a_bounce_that_promises_too_much_is_found(tmp_path):
    path = tmp_path / "bad.py"
    path.write_text(
        RULE_BREAKING_ARM
        + """
    def _give_up(self, visit, prior):
        self.host.bounce(visit.tag, 0.0)
        visit.done = True
"""
    )
    errors = [{"kind": "errors", "at_s": 1, "for_s": 4, "part": 1.0, "size": 1.0}]
    assert run_scenario(small(faults=errors), 1, f"file:{path}")["breaches"]["twice"]


def test_a_mutating_visit_that_truly_ran_twice_is_counted(tmp_path):
    path = tmp_path / "bad.py"
    path.write_text(RULE_BREAKING_ARM + VIOLATIONS["twice"])
    assert run_scenario(small(**{"servers.0.error_rate": 0.2}), 1, f"file:{path}")["effects_twice"]
    assert not run_scenario(small(**{"servers.0.error_rate": 0.2}), 1)["effects_twice"]


def test_a_server_pushed_over_while_cold_dies_and_comes_back(tmp_path):
    path = tmp_path / "bad.py"
    path.write_text(RULE_BREAKING_ARM + VIOLATIONS["cold"])
    settings = {
        "servers.0.tips": 2.0,
        "servers.0.restart_ms": 500.0,
        "faults": [{"kind": "crash", "at_s": 1, "for_s": 1, "part": 0.2}],
    }
    run = Run(small(**settings), 1, f"file:{path}")
    run.go()
    assert max(server.incarnation for server in run.servers) > 2


# -- faults -------------------------------------------------------------------------------------------------


@pytest.mark.parametrize("kind", FAULTS)
@pytest.mark.parametrize("mode", ["ask", "push"])
def test_every_kind_of_fault_is_met_under_the_rules_and_no_visit_goes_astray(kind, mode):
    size = {"zone-loss": 0.5, "burst": 1.8, "lossy": 0.02, "roll": 0.2, "restart": 0.3}.get(kind, 2.0)
    extra = {"zone-loss": 1.0, "heavy-tail": 0.05, "uneven": 2.0}.get(kind, 0.5)
    fault = {"kind": kind, "at_s": 1.5, "for_s": 2.5, "part": 0.4, "size": size, "extra": extra, "zone": ""}
    quiet = run_scenario(small(**{"registry.mode": mode}), 3)
    faulty = run_scenario(small(faults=[fault], **{"registry.mode": mode}), 3)
    assert not any(faulty["breaches"].values())
    assert faulty["effects_twice"] == 0 and faulty["open"] == 0
    assert faulty["little"]["area"] == pytest.approx(faulty["little"]["sojourn"], rel=1e-9)
    assert faulty["events"] != quiet["events"]  # the fault had an effect


def test_a_rested_connection_is_replaced_in_the_laboratory(monkeypatch):
    # Fails if the simulated balancer cannot close idle connections: unresponsive servers then break the run.
    fault = {"kind": "mute", "at_s": 1.5, "for_s": 2.5, "part": 0.4}
    drop, idle_counts = bank.Balancer.close_idle_connections, []

    def counting_drop(self, upstream):
        before = len(self.idle_connections.get(upstream, ()))
        drop(self, upstream)
        idle_counts.append((before, len(self.idle_connections.get(upstream, ()))))

    monkeypatch.setattr(bank.Balancer, "close_idle_connections", counting_drop)
    faulty = run_scenario(small(faults=[fault], **{f"prefixes.{i}.late_gain": 0.5 for i in range(3)}), 3)
    assert any(before for before, _ in idle_counts) and not any(after for _, after in idle_counts)
    assert not any(faulty["breaches"].values()) and faulty["open"] == 0


@pytest.mark.parametrize("front", [bank.Balancer, Instance, EventDispatcher])
def test_every_front_has_all_that_the_decisions_may_call(front):
    calls = {name for name in vars(Host) if not name.startswith("_")}
    assert {"start_fetch", "close_idle_connections", "broadcast"} <= calls and not [
        name for name in calls if not hasattr(front, name)
    ]


def test_overlapping_faults_are_taken_back_whole():
    faults = [
        {"kind": "slow", "at_s": 1, "for_s": 2, "part": 1.0, "size": 3},
        {"kind": "slow", "at_s": 2, "for_s": 2, "part": 1.0, "size": 2},
        {"kind": "cut", "at_s": 1, "for_s": 2, "zone": "a"},
        {"kind": "cut", "at_s": 2, "for_s": 2, "zone": "b"},
        {"kind": "burst", "at_s": 1, "for_s": 2, "size": 2, "extra": 0.4},
    ]
    for kind, size in (("errors", 0.3), ("mute", 0), ("neighbour", 0.4), ("lossy", 0.02)):
        for at in (1, 2):
            faults.append({"kind": kind, "at_s": at, "for_s": 2, "part": 1.0, "size": size, "extra": 0.3})
    run = Run(small(faults=faults), 1)
    run.world.run(2_500)
    assert {server.slow for server in run.servers} == {6.0} and run.links.cuts
    assert {(len(s.errors), s.mute) for s in run.servers} == {(2, 2)}
    assert run.links.lossy == pytest.approx(0.04)
    run.go()
    for server in run.servers:
        assert server.slow == pytest.approx(1.0) and server.cores_lost == pytest.approx(0.0)
        assert not server.errors and not server.mute
    assert not run.links.cuts and run.links.lossy == pytest.approx(0.0)
    assert run.clients.factor == pytest.approx(1.0)


def test_drawn_days_differ_by_seed_and_are_the_same_for_the_same():
    days = [Run(small(**{"chance.count": 4}), seed) for seed in (1, 1, 2)]
    logs = []
    for run in days:
        run.world.run(6_000)
        logs.append(run.script.log)
    assert logs[0] == logs[1] != logs[2]


@pytest.mark.parametrize("arm", [*arms.BASELINES, "ours"])
def test_every_arm_plays_a_day_of_faults(arm):
    summary = run_scenario(small(**{"chance.count": 2, "chance.kinds": ["crash", "slow"]}), 2, arm)
    assert summary["in_time"] > 0.5 and summary["breaches"]["lost"] == summary["breaches"]["twice"] == 0


# -- scenarios ----------------------------------------------------------------------------------------------


@pytest.mark.parametrize("name", scenario.shipped())
def test_shipped_scenarios_are_sound_and_say_what_they_are(name):
    found = scenario.load(name)
    assert found.name == name and len(found.about) > 20 and found.rate() > 0


@pytest.mark.parametrize(
    ("text", "message"),
    [
        ("[bank]\ncuont = 3", "bank.cuont: unknown key, 'count'?"),
        ("[load]\nrate = -1", "load.rate: -1 is not a figure from 0 on"),
        ('[load]\nrate = 1\n[[servers]]\nzone = "x"', "servers[0].zone: 'x' is not in zones.names"),
        (
            '[load]\nrate = 1\n[zones]\nnames = ["a", "b"]\n[[servers]]\nzone = "a"',
            "zones.names: no server is in 'b'",
        ),
        ('[load]\nrate = 1\n[[faults]]\nkind = "slwo"', "faults[0].kind: unknown 'slwo', 'slow'?"),
        (
            "[load]\nrate = 1\n[[servers]]\nspeed = [2, 1]",
            "servers[0].speed: the range goes from 2 down to 1",
        ),
        ("[load]\nrate = 1\n[bank]\ncount = 0", "bank.count: one balancer is needed"),
        ('[load]\nrate = 1\n[bank]\ncount = "x"', "bank.count: Expected `int`, got `str`"),
        ("", "load: rate, share or closed is needed"),
        ("[load", "Expected ']' at the end of a table declaration"),
    ],
)
def test_what_is_wrong_with_a_scenario_is_one_line_that_names_the_key(text, message, tmp_path):
    path = tmp_path / "bad.toml"
    path.write_text(text)
    found = invoke("run", path)
    assert found.exit_code == 2
    assert found.output.strip().startswith(f"ospreyline: {path}: {message}")
    assert len(found.output.strip().splitlines()) == 1


@pytest.mark.parametrize(
    ("args", "message"),
    [
        (["run", "quite"], "no such file or shipped scenario, 'quiet'?"),
        (["run", "quiet", "--set", "bank.cuont=3"], "bank.cuont: no such key, 'count'?"),
        (["run", "quiet", "--arm", "best"], "arm 'best': unknown, one of ours"),
        (["run", "quiet", "--arm", "rev:no-such-revision"], "arm rev:no-such-revision: "),
        (["run", "quiet", "--arm", "file:/no/such.py"], "arm file:/no/such.py: No such file or directory"),
        (["run", "quiet", "--out", "/proc/none/here"], "/proc/none/here: "),
        (["plot", "/no/such"], "/no/such: neither a run nor a sweep"),
        (["explain", "/no/such", "3"], "no visits were kept"),
        (["sweep", "quiet", "--out", "{tmp}/s", "--grid", "bank.cuont=1,2"], "bank.cuont: no such key"),
        (["bench", "quiet", "--sizes", "3,x"], "--sizes: '3,x' are no whole numbers"),
    ],
)
def test_what_is_wrong_with_a_call_is_one_line(args, message, tmp_path):
    found = invoke(*(arg.format(tmp=tmp_path) for arg in args))
    assert found.exit_code == 2 and message in found.output and "Traceback" not in found.output
    assert len(found.output.strip().splitlines()) == 1


def test_a_broken_result_file_is_named_with_its_line(tmp_path):
    run_scenario(small(), 1, path=tmp_path)
    with (tmp_path / "time.jsonl").open("ab") as file:
        file.write(b'{"t": 7,\n')
    found = invoke("plot", tmp_path)
    assert found.exit_code == 2 and "time.jsonl: line " in found.output


# -- experiments --------------------------------------------------------------------------------------------


def test_a_sweep_that_was_stopped_goes_on_and_ends_the_same(tmp_path):
    cells = sweep.grid({"bank.count": [2, 4]}, range(1, 9), ["ours", "random"])
    base = small(**{"day.seconds": 2.0})

    def stop(done, total):
        if done == 3:
            raise KeyboardInterrupt

    with pytest.raises(KeyboardInterrupt):
        sweep.run(base, cells, tmp_path / "a", 2, stop)
    kept = {p.name: p.stat().st_mtime_ns for p in (tmp_path / "a" / "cells").glob("*.json")}
    assert 3 <= len(kept) < len(cells)
    (tmp_path / "a" / "cells" / "x.123.part").write_bytes(b"{")  # what a process killed while writing leaves
    calls = []
    again = sweep.run(base, cells, tmp_path / "a", 2, lambda done, total: calls.append(done))
    assert calls[0] == len(kept)
    assert all((tmp_path / "a" / "cells" / name).stat().st_mtime_ns == at for name, at in kept.items())
    assert not list((tmp_path / "a" / "cells").glob("*.part"))
    assert again == sweep.run(base, cells, tmp_path / "b", 1)


def test_another_text_of_an_arm_is_played_anew(tmp_path):
    path = tmp_path / "arm.py"
    path.write_text(RULE_BREAKING_ARM + "    pass\n")
    cell = sweep.Cell((), 1, f"file:{path}")
    before = sweep.cell_key(small(), cell, arms.source_text(cell.arm))
    path.write_text(RULE_BREAKING_ARM + "    other = 1\n")
    assert sweep.cell_key(small(), cell, arms.source_text(cell.arm)) != before


@pytest.mark.parametrize(
    ("differences", "message"),
    [
        ([0.1, 0.12, 0.08, 0.11, 0.1, 0.09], "b is above a"),
        ([-0.1, -0.12, -0.08, -0.11, -0.1, -0.09], "b is below a"),
        ([0.1, -0.12, 0.08, -0.11, 0.1, -0.09], "no difference between a and b is shown"),
        ([0.1, 0.12], "2 pairs are too few"),
        ([], "no run with the same settings and seed"),
    ],
)
def test_a_comparison_says_what_it_shows(differences, message):
    def rows(offsets):
        return [
            {"settings": {"x": 1}, "seed": i, "arm": "z", "summary": {"net_gain": 0.5 + d}}
            for i, d in enumerate(offsets)
        ]

    found = compare.paired(rows([0.0] * len(differences)), rows(differences), "net_gain")
    assert message in found.sentence("a", "b")


def test_commands_from_the_run_to_the_page(tmp_path):
    path = tmp_path / "small.toml"
    path.write_text(SMALL)
    faults = 'faults=[{"kind": "crash", "at_s": 1, "for_s": 2, "part": 0.4}]'
    assert "one value is wanted" in invoke("run", path, "--set", faults).output  # commas separate values
    run = invoke("run", path, "--out", tmp_path / "run", "--visits", "all", "--set", "chance.count=2")
    assert run.exit_code == 0 and "rules kept" in run.output
    assert invoke("plot", tmp_path / "run").exit_code == 0
    page = (tmp_path / "run" / "index.html").read_text()
    assert page.count("data:image/png;base64,") == 4 and "http" not in page
    rows = list(records.read_rows(tmp_path / "run", "visits"))
    crossed = next(r for r in rows if len(r["fetches"]) > 1)
    explained = invoke("explain", tmp_path / "run", crossed["visit"]).output
    assert (
        "fetch 2 to server" in explained
        and "final answer" in explained
        and "the client ended as" in explained
    )
    assert "no visit 999999 is kept" in invoke("explain", tmp_path / "run", 999999).output
    swept = invoke(
        "sweep",
        path,
        "--out",
        tmp_path / "sweep",
        "--seeds",
        2,
        "--grid",
        "bank.count=2,6",
        "--arm",
        "ours",
        "--arm",
        "two-samples",
        "--set",
        "day.seconds=2",
    )
    assert swept.exit_code == 0 and swept.output.count("2 seeds") == 4
    assert invoke("plot", tmp_path / "sweep", "--figure", "net_gain", "--figure", "p99").exit_code == 0
    assert "pairs" in invoke("compare", "two-samples", "ours", "--in", tmp_path / "sweep").output
    assert (
        "no figure 'x'"
        in invoke("compare", "two-samples", "ours", "--in", tmp_path / "sweep", "--figure", "x").output
    )
    assert "roll" in invoke("list").output
    assert msgspec.json.decode(invoke("show", path).output)["name"] == "small"
    assert "balancers" in invoke("bench", path, "--sizes", "2").output
    assert "theory" in invoke("theory", "--visits", 4000).output


def test_serving_imports_nothing_of_the_laboratory():
    code = (
        "import sys; sys.argv = ['x', 'version']; import ospreyline.__main__ as m; "
        "m.main(standalone_mode=False); import ospreyline.net.service; "
        "print([n for n in sys.modules if n.startswith(('ospreyline.lab', 'ospreyline.regression', "
        "'numpy', 'matplotlib', 'hdrh', 'xxhash'))])"
    )
    found = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True, check=True)
    assert found.stdout.strip().endswith("[]")


def test_a_scenario_error_is_raised_before_anything_is_played(tmp_path):
    with pytest.raises(ScenarioError):
        sweep.run(small(), sweep.grid({"bank.count": [2, 0]}, [1], ["ours"]), tmp_path / "x", 1)
    assert not (tmp_path / "x").exists()
