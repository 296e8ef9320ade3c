"""What waits for another balancer's word, and whose client's time is over first."""

from __future__ import annotations

import asyncio

import pytest
from stand_ins import Peer, caller, request, running
from test_clients import play
from test_takeover import CHANGE, PAY, Net, sent

from ospreyline import operator
from ospreyline.fleet.frames import Say
from ospreyline.net.covering import Covering


@pytest.mark.parametrize("left", [330.0, 349.0, 351.0, 1_505.0, 1_530.0, 1_549.0])
@pytest.mark.parametrize(("kind", "said"), [(PAY, "bounce"), (CHANGE, "unknown")])
def test_who_waits_for_an_answer_that_never_comes_is_told_before_its_time_is_over(kind, said, left):
    # what is due is looked at every 50 ms, so 20 ms before its end was up to 30 ms after it
    net = Net()
    net.take("m0", kind, left=9_000.0)
    assert sent(net, "m0", kind)
    begun = net.now
    assert net.ask("m4", kind, left=left) == []
    told: list[str] = []
    while not told and net.now < begun + left:
        net.run(50.0)
        told = [what for what, _ in net.news("m4")]
    assert told == [said] and begun + left - 150.0 <= net.now <= begun + left - 50.0, net.now - begun


@pytest.mark.parametrize("left", [60.0, 99.0, 149.0, 201.0, 240.0])
@pytest.mark.parametrize("what", ["permit", "refuse", "told", "claim"])
def test_no_word_is_waited_for_beyond_the_time_of_its_client(what, left):
    net = Net()
    kind = CHANGE
    if what == "claim":
        net.lost = lambda a, b, m: isinstance(m, Say)
        net.at["m4"].ask(net.now, 1, "v", kind, b"mchange", left)
        owner = "m4"
    else:
        owner = "m0"
        net.take(owner, kind, left=left)
        if what == "told":
            assert sent(net, owner, kind)
        else:
            net.at[owner].held(net.now, 1)
            net.run()
        net.lost = lambda a, b, m: isinstance(m, Say)  # from now on nobody hears a word
        if what == "permit":
            assert not net.at[owner].send(net.now, 1, 0, "a", 0)
        elif what == "refuse":
            assert not net.at[owner].refuse(net.now, 1)
        else:
            assert not net.at[owner].answered(net.now, 1, b"late", doubt=True)
    begun = net.now
    net.run()
    told = net.news(owner)
    while not told and net.now < begun + 1_000.0:
        net.run(50.0)
        told = net.news(owner)
    assert told and net.now - begun <= max(50.0, left - 50.0), (told, net.now - begun)


@pytest.mark.parametrize(("peers", "what", "path"), [
    (1, "answered", "/read/a"), (1, "answered", "/change/a"), (0, "refuse", "/change/a")])
def test_a_word_that_never_comes_leaves_no_client_without_an_answer(peers, what, path):
    # what waited for a word counted as answered, so the backstop passed it over
    async def story() -> None:
        async with running(*[Peer() for _ in range(peers)]) as service:
            turn = service.turn
            turn.covering = covering = Covering(turn, operator.Takeover(on=True), "n0", "a", 1, 7, 3)
            setattr(covering.takeover, what, lambda *more, **named: False)
            client = await caller(service)
            begun = asyncio.get_running_loop().time()
            status, _, _ = await client.ask(request(path, "POST", X_Expires_In="0.3"))
            assert status == 502 and asyncio.get_running_loop().time() - begun >= 0.3
            assert turn.counts["overdue"] == 1 and not turn.visits and not covering._waiting

    play(story)
