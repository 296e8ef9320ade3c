"""Nothing may make a balancer reject all visits for 4 s: the situations that could, forced.

Visits arrive at an even rate; each fetch ends as its upstream is reachable or not. The measure is the longest
time in which visits, 15 or more, were rejected and none was sent to a reachable upstream.
"""

from __future__ import annotations

from collections.abc import Callable
from itertools import product

import pytest
from stand_ins import SILENT, FakeHost, Peer, caller, listed, request, running
from test_clients import play

from ospreyline.decide import TICK_MS, Visit
from ospreyline.host import End
from ospreyline.net.dispatcher import STALL_MS
from ospreyline.net.upstreams import Exchange

CONNECT_MS, SERVE_MS = 250.0, 50.0  # of a fetch whose upstream is not reached, or reached
MAX_REJECTING_MS, MIN_REJECTED = 4_000.0, 15


class Day:
    """Visits that arrive at a balancer at an even rate, and how they ended."""

    def __init__(self, host: FakeHost, per_s: float, reached: Callable[[int], bool]) -> None:
        self.host, self.step, self.reached = host, 1e3 / per_s, reached
        self.visits: dict[int, Visit] = {}
        self.out: list[tuple[float, int, int]] = []
        self.rejected: list[float] = []  # when visits were rejected
        self._sends = len(host.sends)

    def _note(self, answers: int) -> int:
        """Note sends and rejections since the given number of answers; returns their number now."""
        for tag, upstream, _, at in self.host.sends[self._sends :]:
            takes = SERVE_MS if self.reached(upstream) else CONNECT_MS
            self.out.append((at + takes, tag, upstream))
        self._sends = len(self.host.sends)
        now = len(self.host.bounced) + len(self.host.failed)
        self.rejected += [self.host.now] * (now - answers)
        return now

    def play(self, seconds: float, each: Callable[[], None] = lambda: None) -> Day:
        """Let visits arrive for so long, until all fetches have ended; `each` is called after each event."""
        host, answers = self.host, len(self.host.bounced) + len(self.host.failed)
        coming, end = host.now, host.now + 1e3 * seconds
        while coming < end or self.out:
            due = min(self.out, default=(coming, -1, -1))
            if coming < end and coming <= due[0]:
                host.pass_time(max(0.0, coming - host.now))
                host.tags += 1
                self.visits[host.tags] = host.balancer.accept_visit(host.now, host.tags, 0, 2_500.0, False)
                coming += self.step
            else:
                host.pass_time(max(0.0, due[0] - host.now))
                self.out.remove(due)
                visit = self.visits[due[1]]
                number = len(visit.fetches) - 1
                end_is = End.DELIVERED if self.reached(due[2]) else End.UNREACHED
                visit.fetch_ended(
                    host.now,
                    number,
                    end_is,
                    host.now - visit.fetches[number].sent_at,
                    end_is is End.DELIVERED,
                    (),
                )
            answers = self._note(answers)
            each()
        return self

    def attempts(self) -> list[float]:
        """When visits were sent to reachable upstreams."""
        return [at for _, upstream, _, at in self.host.sends if self.reached(upstream)]

    def longest(self, since: float) -> float:
        """The longest time in which all visits were rejected, at least MIN_REJECTED, in ms."""
        found, first, many = 0.0, 0.0, 0
        for at, rejected in sorted(
            [(at, True) for at in self.rejected] + [(at, False) for at in self.attempts()]
        ):
            if at < since or not rejected:
                many = 0
                continue
            first, many = (at if not many else first), many + 1
            if many >= MIN_REJECTED:
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
    # no upstream of its list is left: it can only call the list service, which it does in time
    for per_s, seed in product((4, 30), (1, 2)):
        host = balancer(balancers, max_fetches=fetches, ask_for_list=True, must_ask_in=10_000.0, seed=seed)
        began, told = host.now, list[float]()

        def tell(host=host, told=told):
            if host.watches and not told:
                told.append(host.now)
                host.balancer.apply_list(host.now, [listed(100 + i, zone=i % 3) for i in range(30)])

        day = Day(host, per_s, lambda upstream: upstream >= 100).play(8, tell)
        assert host.watches[0] - began <= min(3_000.0, 500.0 + 10 * balancers) + TICK_MS
        assert min(day.attempts()) - told[0] <= 1e3 / per_s + SERVE_MS
        assert day.longest(began) < MAX_REJECTING_MS


@pytest.mark.parametrize("balancers", [30, 200])
@pytest.mark.parametrize("before", [0, 10])
def test_one_whose_used_upstreams_all_fail_finds_the_others(balancers, before):
    for per_s, zones in product((4, 10, 30), (1, 3)):
        host = balancer(balancers, zones, max_fetches=3)
        if before:
            Day(host, per_s, lambda upstream: True).play(before)
        used = {u.id for level in host.balancer._localities for u in level.candidates}
        assert len(used) <= 20
        day, since = Day(host, per_s, lambda upstream, used=used: upstream not in used), host.now
        assert day.play(10).longest(since) < MAX_REJECTING_MS and max(day.attempts()) > since + 9_000


@pytest.mark.parametrize(
    ("stop", "told"),
    [
        (700.0, End.DELIVERED),
        (1_500.0, End.DELIVERED),  # its answer was in the socket
        (700.0, End.CANCELLED),
        (2_500.0, End.CANCELLED),
        (10_000.0, End.CANCELLED),
        (30_000.0, End.CANCELLED),
    ],
    ids=str,
)
def test_one_that_was_stopped_goes_on(stop, told):
    # as the event dispatcher reports it: a time-out during the stop counts as cancelled
    for balancers, per_s, out in product((30, 200), (10, 60), (5, 20)):
        host = balancer(balancers, upstreams=60, max_fetches=3)
        Day(host, per_s, lambda upstream: True).play(8)
        visits = [host.take() for _ in range(out)]
        host.now += stop
        for visit in visits:
            if visit.in_flight:
                f = visit.fetches[-1]
                visit.fetch_ended(host.now, 0, told, host.now - f.sent_at, True, ())
        since = host.now
        assert Day(host, per_s, lambda upstream: True).play(10).longest(since) < MAX_REJECTING_MS


@pytest.mark.parametrize("stood", [True, False])
def test_what_timed_out_while_this_process_stood_still_is_not_the_upstreams(stood):
    # 10 s of a stopped process were recorded as latency of all upstreams with a fetch in flight
    async def story():
        peer = Peer(SILENT)
        async with running(peer) as service:
            dispatcher = service.dispatcher
            client = await caller(service)
            client.writer.write(request())
            await peer.until(lambda: bool(peer.requests))
            (pending,) = dispatcher.visits.values()
            exchange = pending.exchanges[0]
            assert isinstance(exchange, Exchange)
            (u,) = dispatcher.balancer._upstreams.values()
            was = u.locality.latency
            # the clock cannot be set forward, so all else is set back
            before = 10_000.0 if stood else STALL_MS / 2
            exchange.sent -= before
            exchange.deadline -= before
            dispatcher._last_batch_at = exchange.sent if stood else dispatcher._last_batch_at
            span = exchange.deadline - exchange.sent
            exchange.pool._on_timeout(exchange)
            assert (await client.answer())[0] >= 500
            assert dispatcher.counts["timed_out"] == 1 and not u.in_flight
            assert (
                (u.locality.latency == was and not u.failure_run)
                if stood
                else was < u.locality.latency <= span
            )

    play(story)
