"""A balancer that turns away all that it gets for 4 s on end: what could bring it there, forced.

Visits come at an even pace; each fetch ends as its upstream has it. What is counted is the longest time for
which visits were turned away, 15 at the least, and none was sent to an upstream that can be reached.
"""

from __future__ import annotations

from collections.abc import Callable
from itertools import product

import pytest
from stand_ins import SILENT, FakeHost, Peer, caller, listed, request, running
from test_clients import play

from ospreyline.decide import BEAT, Visit
from ospreyline.host import End
from ospreyline.net.turn import STALL_MS
from ospreyline.net.upstreams import Errand

CONNECTING, SERVING = 250.0, 50.0  # ms that a fetch takes that is not reached, or served
MOST, FEWEST = 4_000.0, 15


class Day:
    """Visits at an even pace at a balancer, and what became of them."""

    def __init__(self, host: FakeHost, per_s: float, reached: Callable[[int], bool]) -> None:
        self.host, self.step, self.reached = host, 1e3 / per_s, reached
        self.visits: dict[int, Visit] = {}
        self.out: list[tuple[float, int, int]] = []
        self.away: list[float] = []  # when visits were turned away
        self._sends = len(host.sends)

    def _note(self, answers: int) -> int:
        """What has been sent, and turned away, since answers were so many."""
        for tag, upstream, _, at in self.host.sends[self._sends :]:
            takes = SERVING if self.reached(upstream) else CONNECTING
            self.out.append((at + takes, tag, upstream))
        self._sends = len(self.host.sends)
        now = len(self.host.bounced) + len(self.host.failed)
        self.away += [self.host.now] * (now - answers)
        return now

    def play(self, seconds: float, each: Callable[[], None] = lambda: None) -> Day:
        host, answers = self.host, len(self.host.bounced) + len(self.host.failed)
        coming, end = host.now, host.now + 1e3 * seconds
        while coming < end or self.out:
            due = min(self.out, default=(coming, -1, -1))
            if coming < end and coming <= due[0]:
                host.pass_time(max(0.0, coming - host.now))
                host.tags += 1
                self.visits[host.tags] = host.balancer.take(host.now, host.tags, 0, 2_500.0, False)
                coming += self.step
            else:
                host.pass_time(max(0.0, due[0] - host.now))
                self.out.remove(due)
                visit = self.visits[due[1]]
                number = len(visit.fetches) - 1
                end_is = End.DELIVERED if self.reached(due[2]) else End.UNREACHED
                visit.ended(
                    host.now,
                    number,
                    end_is,
                    host.now - visit.fetches[number].sent,
                    end_is is End.DELIVERED,
                    (),
                )
            answers = self._note(answers)
            each()
        return self

    def attempts(self) -> list[float]:
        return [at for _, upstream, _, at in self.host.sends if self.reached(upstream)]

    def longest(self, since: float) -> float:
        """ms for which all was turned away, the longest time with so many of them."""
        found, first, many = 0.0, 0.0, 0
        for at, away in sorted([(at, True) for at in self.away] + [(at, False) for at in self.attempts()]):
            if at < since or not away:
                many = 0
                continue
            first, many = (at if not many else first), many + 1
            if many >= FEWEST:
                found = max(found, at - first)
        return found


def balancer(balancers: int, zones: int = 3, upstreams: int = 30, **terms: object) -> FakeHost:
    return FakeHost(
        [listed(i, zone=i % zones) for i in range(upstreams)],
        balancers=balancers,
        zones=zones,
        may_cancel=True,
        **terms,
    )


@pytest.mark.parametrize("balancers", [3, 30, 200])
@pytest.mark.parametrize("fetches", [1, 3])
def test_one_that_starts_with_an_old_list_sends_once_it_is_told_another(balancers, fetches):
    # nothing of its list is left: it can only ask, which it does within so long
    for per_s, seed in product((4, 30), (1, 2)):
        host = balancer(balancers, max_fetches=fetches, ask_for_list=True, must_ask_in=10_000.0, seed=seed)
        began, told = host.now, list[float]()

        def tell(host=host, told=told):
            if host.watches and not told:
                told.append(host.now)
                host.balancer.told_all(host.now, [listed(100 + i, zone=i % 3) for i in range(30)])

        day = Day(host, per_s, lambda upstream: upstream >= 100).play(8, tell)
        assert host.watches[0] - began <= min(3_000.0, 500.0 + 10 * balancers) + BEAT
        assert min(day.attempts()) - told[0] <= 1e3 / per_s + SERVING
        assert day.longest(began) < MOST


@pytest.mark.parametrize("balancers", [30, 200])
@pytest.mark.parametrize("before", [0, 10])
def test_one_whose_used_upstreams_all_fail_finds_the_others(balancers, before):
    for per_s, zones in product((4, 10, 30), (1, 3)):
        host = balancer(balancers, zones, max_fetches=3)
        if before:
            Day(host, per_s, lambda upstream: True).play(before)
        used = {u.id for level in host.balancer._levels for u in level.healthy}
        assert len(used) <= 20
        day, since = Day(host, per_s, lambda upstream, used=used: upstream not in used), host.now
        assert day.play(10).longest(since) < MOST and max(day.attempts()) > since + 9_000


@pytest.mark.parametrize(
    ("stop", "told"),
    [
        (700.0, End.DELIVERED),
        (1_500.0, End.DELIVERED),  # its answer lay in the socket
        (700.0, End.CANCELLED),
        (2_500.0, End.CANCELLED),
        (10_000.0, End.CANCELLED),
        (30_000.0, End.CANCELLED),
    ],
    ids=str,
)
def test_one_that_was_stopped_goes_on(stop, told):
    # as the front tells it: a time-out as called off
    for balancers, per_s, out in product((30, 200), (10, 60), (5, 20)):
        host = balancer(balancers, upstreams=60, max_fetches=3)
        Day(host, per_s, lambda upstream: True).play(8)
        visits = [host.take() for _ in range(out)]
        host.now += stop
        for visit in visits:
            if visit.out:
                f = visit.fetches[-1]
                visit.ended(host.now, 0, told, host.now - f.sent, True, ())
        since = host.now
        assert Day(host, per_s, lambda upstream: True).play(10).longest(since) < MOST


@pytest.mark.parametrize("stood", [True, False])
def test_what_timed_out_while_this_process_stood_still_is_not_the_upstreams(stood):
    # 10 s of a stop were told as latency of all upstreams that had something out
    async def story():
        peer = Peer(SILENT)
        async with running(peer) as service:
            turn = service.turn
            client = await caller(service)
            client.writer.write(request())
            await peer.until(lambda: bool(peer.requests))
            (taken,) = turn.visits.values()
            errand = taken.errands[0]
            assert isinstance(errand, Errand)
            (u,) = turn.balancer._upstreams.values()
            was = u.level.latency
            # the clock cannot be advanced, so all other times are put back
            before = 10_000.0 if stood else STALL_MS / 2
            errand.sent -= before
            errand.expires -= before
            turn._last_batch_at = errand.sent if stood else turn._last_batch_at
            span = errand.expires - errand.sent
            errand.pool._on_timeout(errand)
            assert (await client.answer())[0] >= 500
            assert turn.counts["timed_out"] == 1 and not u.out
            assert (u.level.latency == was and not u.run) if stood else was < u.level.latency <= span

    play(story)
