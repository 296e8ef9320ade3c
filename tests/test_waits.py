"""Visits that wait for another balancer's message when their client's deadline comes first."""

from __future__ import annotations

import asyncio
from types import SimpleNamespace

import pytest
from stand_ins import Peer, caller, request, running
from test_clients import play
from test_takeover import CHANGE, PAY, Net, send_allowed

from ospreyline import operator_settings
from ospreyline.fleet.frames import TakeoverMessage
from ospreyline.host import End
from ospreyline.net.takeover_adapter import TakeoverAdapter
from ospreyline.net.upstreams import ExchangeStage


@pytest.mark.parametrize("left", [330.0, 349.0, 351.0, 1_505.0, 1_530.0, 1_549.0])
@pytest.mark.parametrize(("kind", "said"), [(PAY, "bounce"), (CHANGE, "unknown")])
def test_who_waits_for_an_answer_that_never_comes_is_told_before_its_time_is_over(kind, said, left):
    # Timers are checked every 50 ms, so a wait until 20 ms before the deadline ended up to 30 ms after it.
    net = Net()
    net.take("m0", kind, left=9_000.0)
    assert send_allowed(net, "m0", kind)
    begun = net.now
    assert net.ask("m4", kind, left=left) == []
    events: list[str] = []
    while not events and net.now < begun + left:
        net.run(50.0)
        events = [what for what, _ in net.news("m4")]
    assert events == [said] and begun + left - 150.0 <= net.now <= begun + left - 50.0, net.now - begun


@pytest.mark.parametrize("left", [60.0, 99.0, 149.0, 201.0, 240.0])
@pytest.mark.parametrize("what", ["permit", "refuse", "told", "claim"])
def test_no_word_is_waited_for_beyond_the_time_of_its_client(what, left):
    net = Net()
    kind = CHANGE
    if what == "claim":
        net.lost = lambda a, b, m: isinstance(m, TakeoverMessage)
        net.at["m4"].claim_for_client(net.now, 1, "v", kind, b"mchange", left, False)
        owner = "m4"
    else:
        owner = "m0"
        net.take(owner, kind, left=left)
        if what == "told":
            assert send_allowed(net, owner, kind)
        else:
            net.at[owner].register_queued(net.now, 1)
            net.run()
        net.lost = lambda a, b, m: isinstance(m, TakeoverMessage)  # from now on all messages are lost
        if what == "permit":
            assert not net.at[owner].request_send(net.now, 1, 0, "a", 0)
        elif what == "refuse":
            assert not net.at[owner].refuse(net.now, 1)
        else:
            assert not net.at[owner].record_answer(net.now, 1, b"late", after_stall=True)
    begun = net.now
    net.run()
    events = net.news(owner)
    while not events and net.now < begun + 1_000.0:
        net.run(50.0)
        events = net.news(owner)
    assert events and net.now - begun <= max(50.0, left - 50.0), (events, net.now - begun)


@pytest.mark.parametrize(
    ("peers", "what", "path"),
    [(1, "record_answer", "/read/a"), (1, "record_answer", "/change/a"), (0, "refuse", "/change/a")],
)
def test_a_word_that_never_comes_leaves_no_client_without_an_answer(peers, what, path):
    # A visit that waited for an event counted as answered, so the check for overdue visits passed it over.
    async def scenario() -> None:
        async with running(*[Peer() for _ in range(peers)]) as service:
            dispatcher = service.dispatcher
            dispatcher.takeover_adapter = takeover_adapter = TakeoverAdapter(
                dispatcher, operator_settings.TakeoverSettings(on=True), "n0", "a", 1, 7, 3
            )
            setattr(takeover_adapter.takeover, what, lambda *more, **named: False)
            client = await caller(service)
            begun = asyncio.get_running_loop().time()
            status, _, _ = await client.ask(request(path, "POST", X_Expires_In="0.3"))
            assert status == 502 and asyncio.get_running_loop().time() - begun >= 0.3
            assert (
                dispatcher.counts["overdue"] == 1 and not dispatcher.visits and not takeover_adapter._waiting
            )

    play(scenario)


# stage reached, whether it has ended, and the end that was decided
FetchState = tuple[ExchangeStage, bool, End | None]


def continues_without_client(net: Net, *fetches: FetchState | None) -> bool:
    """The client of m0's visit leaves while it has these fetches; returns whether the visit continues."""
    takeover_adapter = TakeoverAdapter(
        SimpleNamespace(bank=None), operator_settings.TakeoverSettings(on=True), "m0", "a", 1, 7, 3
    )
    takeover_adapter.takeover = net.at["m0"]
    exchanges = [f and SimpleNamespace(stage=f[0], on_end=None if f[1] else print) for f in fetches]
    decision = SimpleNamespace(fetches=[SimpleNamespace(end=f and f[2]) for f in fetches])
    went_on = takeover_adapter.continue_without_client(
        net.now, SimpleNamespace(tag=1, exchanges=exchanges, decision=decision), CHANGE
    )
    net.run()
    return went_on


UNREACHED = (ExchangeStage.CONNECTING, True, End.UNREACHED)


@pytest.mark.parametrize(
    "further",
    [[], [(ExchangeStage.CONNECTING, False, None)], [None]],
    ids=["nothing", "connecting", "waits for its permit"],
)
def test_a_mutating_visit_whose_client_left_before_it_ran_is_run_for_who_asks_again(further):
    # Its grant stayed recorded, so the next balancer waited for an answer until the client's deadline.
    net = Net()
    net.take("m0", CHANGE)
    assert send_allowed(net, "m0", CHANGE)
    if further:
        net.at["m0"].request_send(net.now, 1, 1, "a", 0)
        if further[0]:
            net.run()
    assert not continues_without_client(net, UNREACHED, *further)
    assert net.ask("m4", CHANGE) == [("take", [])]


@pytest.mark.parametrize("ended", [False, True])
def test_a_mutating_visit_whose_fetch_is_written_goes_on_without_its_client(ended):
    # An end queued behind the leaving in the same batch was taken for a decided one, and the answer was
    # stored for nobody.
    net = Net()
    net.take("m0", CHANGE)
    assert send_allowed(net, "m0", CHANGE)
    assert continues_without_client(net, (ExchangeStage.ANSWERING, ended, None))
    net.at["m0"].record_answer(net.now, 1, b"the answer")
    net.run()
    assert net.ask("m4", CHANGE) == [("answer", b"the answer")]
