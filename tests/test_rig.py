"""The rig without processes: observed HTTP traffic, the queue of the list service, scenario files."""

from __future__ import annotations

import subprocess
import sys

import pytest
from click.testing import CliRunner

from ospreyline.__main__ import main
from ospreyline.lab.turns import Turns
from ospreyline.lab.words import ScenarioError
from ospreyline.rig import results, scenario
from ospreyline.rig.registry import UpstreamList
from ospreyline.rig.wire import HttpObserver

REQUEST = (
    b"POST /change/x?y=1 HTTP/1.1\r\nHost: h\r\nX-Trace-Id: 7a\r\nContent-Length: 4\r\n\r\nbody"
    b"GET /read HTTP/1.1\r\nHost: h\r\nX-Trace-Id: 7b\r\n\r\n"
)
ANSWER = (
    b"HTTP/1.1 503 Full\r\nX-Never-Ran: 1\r\nContent-Length: 0\r\n\r\n"
    b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
)


@pytest.mark.parametrize("piece", [1, 3, 1_000])
def test_whole_requests_and_answers_are_read_however_they_are_split(piece):
    observer = HttpObserver()
    requests = [
        a
        for i in range(0, len(REQUEST), piece)
        for a in observer.on_request_bytes(float(i), REQUEST[i : i + piece])
    ]
    assert [(a.id, a.prefix, a.method) for a in requests] == [("7a", "change", "POST"), ("7b", "read", "GET")]
    assert requests[0].first_byte_at == 0.0 and requests[0].last_byte_at >= requests[0].first_byte_at
    responses = [
        a
        for i in range(0, len(ANSWER), piece)
        for a in observer.on_response_bytes(float(i), ANSWER[i : i + piece])
    ]
    assert [(a.status, a.never_ran) for a in responses] == [(503, True), (200, False)]


def test_what_cannot_be_read_ends_the_reading_and_nothing_else():
    observer = HttpObserver()
    assert observer.on_request_bytes(0.0, b"\0\1\2 nonsense\r\n\r\n") == [] and observer.failed
    assert observer.on_request_bytes(1.0, REQUEST) == []


def test_calls_are_served_in_turn_and_refused_beyond_the_queue():
    turns = Turns(4.0, 2)
    assert [turns.call(0.0) for _ in range(4)] == [4.0, 8.0, 12.0, None]
    assert turns.waiting(5.0) == 1 and turns.call(5.0) == 11.0
    assert turns.refused == 1 and turns.longest == 2
    assert turns.call(100.0) == 4.0


def test_the_list_tells_what_changed_and_knows_no_version_of_the_future():
    upstreams = UpstreamList([{"uid": "s-0-1", "state": "active"}, {"uid": "s-1-1", "state": "active"}])
    upstreams.change("s-0-1", state="leaving")
    upstreams.change("s-1-1", state="left")
    assert [(e["uid"], e["state"]) for e in upstreams.changes_since(1)] == [
        ("s-0-1", "leaving"),
        ("s-1-1", "left"),
    ]
    assert (
        upstreams.changes_since(3) == []
        and upstreams.changes_since(4) is None
        and upstreams.changes_since(0) is None
    )
    assert [e["uid"] for e in upstreams.all_entries()] == ["s-0-1"]


def test_the_busiest_span_is_counted_wherever_it_lies():
    assert results.busiest([0.0, 90.0, 110.0, 150.0, 400.0], 100.0) == 3
    assert results.busiest([], 100.0) == 0


@pytest.mark.parametrize("name", sorted(scenario.shipped_scenarios()))
def test_shipped_scenarios_can_be_read(name):
    found = scenario.load(name)
    assert found.name == name and found.about


def fault(**values):
    return {"load": {"rate": 5.0}, "faults": [{"kind": "stop", "who": "b0", **values}]}


@pytest.mark.parametrize(
    ("tree", "message"),
    [
        (fault(kind="stopp"), "faults[0].kind: unknown 'stopp', 'stop'?"),
        (fault(kind="drop", link="b9>u0"), "faults[0].link: no link is called 'b9>u0'"),
        (fault(kind="drop"), "faults[0].link: 'drop' needs links"),
        (fault(who="b7"), "faults[0].who: no balancer is called 'b7'"),
        (fault(who=""), "faults[0].who: 'stop' needs who or part"),
        (fault(on={"prefix": "reed"}), "faults[0].on.prefix: 'reed' is not a prefix"),
        (fault(on={"nth": 0}), "faults[0].on.nth: 0 is under 1"),
        (fault(zone="z"), "faults[0].zone: 'z' is not in zones.names"),
        (
            {**fault(), "rig": {"relays": False}, "faults": [{"kind": "drop", "link": "b0>u0"}]},
            "needs relays",
        ),
        ({"load": {"rate": 5.0}, "rig": {"quee": 3}}, "rig.quee: unknown key, 'queue'?"),
        ({"load": {"rate": 5.0}, "bank": {"count": 4_000}}, "bank.count: 4000 is more than"),
    ],
)
def test_what_is_wrong_with_a_scenario_is_one_line_that_names_it(tree, message):
    with pytest.raises(ScenarioError) as error:
        scenario.build(tree)
    assert message in str(error.value) and "\n" not in str(error.value)


@pytest.mark.parametrize(
    "args", [["run", "quite"], ["run", "nowhere.toml"], ["run", "quiet", "--out", "/proc/nothing"]]
)
def test_bad_input_is_one_line_and_status_2(args):
    found = CliRunner().invoke(main, ["rig", *args])
    assert found.exit_code == 2 and len(found.output.splitlines()) == 1, found.output


def test_serving_with_everything_off_imports_nothing_of_it():
    script = (
        "import sys; from ospreyline.net import service; "
        "print([n for n in sys.modules if n.startswith(('ospreyline.fleet', 'ospreyline.rig', "
        "'ospreyline.operator_settings', 'ospreyline.lab', 'tomllib'))])"
    )
    done = subprocess.run([sys.executable, "-c", script], capture_output=True, text=True, check=True)
    assert done.stdout.strip() == "[]"


def test_the_rig_imports_nothing_of_what_it_judges():
    script = (
        "import sys; from ospreyline.rig import clients, command, keeper, referee, registry, relays, "
        "results, run, script, upstreams, worker; "
        "print([n for n in sys.modules if n.startswith(('ospreyline.net', 'ospreyline.fleet', "
        "'ospreyline.decide', 'ospreyline.operator_settings'))])"
    )
    done = subprocess.run([sys.executable, "-c", script], capture_output=True, text=True, check=True)
    assert done.stdout.strip() == "[]"
