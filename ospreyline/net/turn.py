"""The host of the decisions on sockets: what is ready is gathered and handed over in one go, a turn.

Callbacks of connections, timers and the list only `note` what came. One turn a pass of the loop reads the
clock once, tells the decisions all of it in the order it came, then carries out what they asked for.
"""

from __future__ import annotations

import asyncio
import time
from collections import Counter
from collections.abc import Callable, Sequence
from hashlib import blake2b
from heapq import heappop, heappush
from math import inf
from random import Random
from typing import TYPE_CHECKING, Any

import structlog
from msgspec import json, structs

from ospreyline.asking import period_of
from ospreyline.decide import Balancer
from ospreyline.facts import Post
from ospreyline.host import End, Kind, Listed, PathPrefix, Readiness
from ospreyline.lease import CallSilent, LeaseMessage, UpdateLost, UpdateRead
from ospreyline.net.clients import Client, Request
from ospreyline.net.discovery import CallFailure, Discovery
from ospreyline.net.events import EventLog
from ospreyline.net.listing import News, Target, read
from ospreyline.net.upstreams import Answer, Cut, Errand, Stage, Upstreams, Why, end_of, load_report
from ospreyline.state import Visit

if TYPE_CHECKING:
    from ospreyline.fleet.bank import Bank
    from ospreyline.fleet.kept import Keeping
    from ospreyline.fleet.pace import Pace
    from ospreyline.net.covering import Covering
    from ospreyline.operator import Operator

BACKSTOP = 15.0  # ms past its client timeout at which a visit that has no answer yet is answered anyhow
LATE = 20.0  # ms that a timer is late, from which on sockets are read before what is due is decided
STOOD = 600.0  # ms without a turn that mean that this process was stopped: three times the decisions' beat
SETTLED = 100.0  # ms after which what waited in sockets meanwhile has been read
SAID = 100.0  # ms that an update has to be in doubt for its end to be logged
FORGET = 60_000.0  # ms after which one that the list took away is forgotten
AGAIN, MOST_AGAIN = 25.0, 250.0  # ms until a pushed list's watch is opened anew: at first, and at the most
FLEET = 64  # descriptors for links to other balancers, where they are on
PROBE_TIME_OUTS = 2.0  # a probe may take this many times as long as connecting may
_READINESS = {"active": Readiness.READY, "leaving": Readiness.DRAINING, "left": Readiness.GONE}


def clock() -> float:
    """Milliseconds on a clock that only goes forward."""
    return time.monotonic() * 1e3


class Taken:
    """A visit as the front knows it: who waits for it, its handle, and the errands out for it."""

    __slots__ = (
        "answered",
        "came",
        "client",
        "ends",
        "errands",
        "handle",
        "late",
        "left",
        "request",
        "tag",
        "terms",
        "timed_out",
    )

    def __init__(self, tag: int, request: Request, terms: PathPrefix, client: Client | None) -> None:
        self.tag = tag
        self.request = request
        self.terms = terms  # of its path prefix when it came; after a reload its index may be another's
        self.client = client
        self.handle: Visit | None = None
        self.errands: list[Errand | None] = []
        self.ends: list[str] = []  # of its attempts, in the order in which they ended, for the log
        self.came = 0.0  # its last byte to this machine, as far as the system tells
        self.answered = False
        self.left = False  # its client has, and nothing begins without
        self.timed_out = False  # its latest errand
        self.late: asyncio.TimerHandle | None = None

    def wanted(self) -> bool:
        """Whether anybody waits for it: asked before a byte of it goes to an upstream."""
        return not (self.answered or self.left or (self.client is not None and self.client.gone()))


class Turn:
    """The `Host` of one balancer, and the `Door` of its clients."""

    def __init__(self, loop: asyncio.AbstractEventLoop, post: Post, operator: Operator | None = None) -> None:
        self.logger: Any = structlog.get_logger()
        self._operator: Operator | None = None
        self._pace: Pace | None = None  # of calls to the list service, if it is switched on
        self._keeping: Keeping | None = None  # of the list on disk, likewise
        self.bank: Bank | None = None  # links to the other balancers, likewise
        self.covering: Covering | None = None  # takeover of work in hand, likewise
        self.closing = False
        self.visits: dict[int, Taken] = {}
        self._ids: set[bytes] = set()  # of the open ones
        self.counts: Counter[str] = Counter()
        self.events = EventLog(self.logger, clock, self.counts)
        self.latencies: list[float] = []  # ms, of the visits delivered since the last line of counts
        self.lag = 0.0  # ms, the most that a timer came late since then
        self._loop = loop
        self._set(post)
        self._tags = 0
        self._noted: list[tuple[Callable[..., None], tuple[Any, ...]]] = []
        self._to_do: list[tuple[Callable[..., None], tuple[Any, ...]]] = []
        self._wakes: list[tuple[float, int, Callable[[float], None]]] = []
        self._wake_number = 0
        self._turned = inf  # the last turn; the decisions' periodic work brings one every 200 ms
        self._stood_from = self.stood_to = -inf  # until then, what comes may have waited since then
        self._alarm: asyncio.TimerHandle | None = None
        self._alarm_at = 0.0
        self._scheduled = False
        self._news_noted = False  # a list, or changes, have come and are not told yet
        self._put_off = False  # what is to be done, until the sockets have been read once more
        self._unix_offset = time.time() * 1e3 - clock()  # once: start times must not wander with the clock
        self._indices: dict[str, int] = {}
        self._states: dict[str, Readiness] = {}
        self._gone: dict[str, float] = {}  # since when, oldest first
        self._uids: dict[int, str] = {}
        self._places: dict[int, tuple[str, int]] = {}  # zone and cell of each
        self._targets: dict[str, Target] = {}  # the latest of each, with its place
        # descriptors: some for the loop, the listener and discovery; half of the rest for each side
        part = (post.sockets - 32 - (FLEET if operator is not None and operator.fleet.bank else 0)) // 2
        self.most_clients = part
        self._again, self._draw = AGAIN, Random(post.seed + 2).random
        self.upstreams = Upstreams(
            loop, clock, part, post.connect_time_out, post.keep_idle, post.memory // 8, self.events
        )
        if operator is not None:
            self._switch_on(operator)
        kept = self._keeping.known(post.known) if self._keeping is not None else post.known
        known = read(kept, self.logger)
        self.discovery = Discovery(
            loop,
            post.discovery,
            known.rev if known else 0,
            self.logger,
            tell=self._note_news,
            tell_failed=lambda failure: self.note(self._told_nothing, failure),
            tell_lease=lambda message: self.note(self._renew_lease, message),
        )
        self._fit()
        now = clock()
        self.balancer = Balancer(self, post.terms, post.seed, now)
        self.balancer.lease.begin(now)
        self.upstreams.withheld = self._withheld
        self.balancer.told_all(now, self._lines(known) if known else [])
        if self.bank is not None and known is not None:
            self.bank.begin(known.rev, [(t.uid, t.state == "left", json.encode(t)) for t, _ in known.targets])
        if self._pace is not None:
            later = 0.0
            if self.bank is not None and self.bank.lists is not None and not self.bank.lists.passing:
                later = self.bank.lists.late(post.terms.must_ask_in)
            self._pace.start(now, later)
            self._plan()
        elif not post.terms.ask_for_list:
            self.discovery.watch(True)  # to the decisions it comes by itself: here a watch brings it
        self.note(lambda now: None)  # the first turn carries out what the start asked for

    def _switch_on(self, operator: Operator) -> None:
        """What the operator's file has on, and only that is imported."""
        self._operator = operator
        terms, lists = self._post.terms, operator.list
        if lists.calls_per_s:
            from ospreyline.fleet.pace import Pace

            if self._pace is None:
                self._pace = Pace(terms.number, terms.balancers, lists.calls_per_s, terms.must_ask_in)
            else:
                self._pace.adopt(terms.number, terms.balancers, lists.calls_per_s, terms.must_ask_in)
        elif self._pace is not None:
            self._pace = None
            self.note(self.balancer.told_nothing)  # it asks in its own way from now on
        if lists.keep and self._keeping is None:
            from ospreyline.fleet.kept import Keeping

            self._keeping = Keeping(self._loop, lists.keep, 1e3 * lists.keep_for_s, self.logger)
        if operator.fleet.bank and self.bank is None:
            from ospreyline.fleet.bank import Bank

            zone = self._post.zone_names[terms.zone]
            self.bank = Bank(
                self._loop,
                self.logger,
                self._post.name,
                zone,
                operator.fleet,
                self._post.seed,
                listed=lambda news: self.note(self._told_by_others, news),
                hinted=lambda body: self.note(self._hinted, body),
                hasten=lambda: self.note(self._hasten),
            )
            if operator.takeover.on:
                from ospreyline.net.covering import Covering

                self.covering = Covering(
                    self,
                    operator.takeover,
                    self._post.name,
                    zone,
                    self.bank.members.me.start,
                    self._post.seed,
                    terms.max_fetches,
                )
                self.bank.guard(self.covering.takeover, lambda: self.note(self.covering_news))

    def _set(self, post: Post) -> None:
        self._post = post
        self.prefixes = {name.encode(): i for i, name in enumerate(post.prefix_names)}
        self.tagged = frozenset(i for i, terms in enumerate(post.terms.prefixes) if terms.kind is Kind.TAGGED)
        self._zones = {name: i for i, name in enumerate(post.zone_names)}
        self._reports = post.terms.report_fields

    def _fit(self) -> None:
        terms = self._post.terms
        self.discovery.again = period_of(terms.balancers, terms.must_ask_in) / 1e3
        self.discovery.patient = terms.ask_for_list or self._pace is not None

    def adopt(self, post: Post) -> None:
        """New settings, already checked: what came before is decided under the old ones, the rest by them."""
        self._turn()
        now = clock()
        self._set(post)
        self.upstreams.adopt(post.connect_time_out, post.keep_idle)
        if self._operator is not None:
            self._switch_on(self._operator)  # the size of the bank has a part in the pace of calls
        self.balancer.set_terms(now, post.terms)
        self._fit()
        # guards: told as a first list it renews no subscription, and what is cold or drained stays so
        lines = [self._line(target, self._indices[uid]) for uid, target in self._targets.items()]
        self.balancer.told_changes(now, lines, first=True, own=False)
        if not post.terms.ask_for_list and not self.discovery.watching and self._pace is None:
            self.discovery.watch(True)
        self._turn()

    def operate(self, operator: Operator) -> None:
        """A new operator's file, already checked: what SIGHUP applies of it."""
        paced = self._pace is not None
        self._switch_on(operator)
        self._fit()
        if self._pace is not None and not paced:
            # guards: a watch that stands is heard on; without one the first call takes its place
            self._pace.called(clock())
            if self.discovery.told_by_watch:
                self._pace.told()
            elif not self.discovery.watching:
                self._pace.failed(clock())
            self._plan()

    def move(self, at: tuple[str, int]) -> None:
        """The list service is elsewhere now: it is called there at once."""
        self.discovery.move(at)
        # guards: a wait that was running for the former address would have another call made here at once;
        # and the next would come only once this one, should it say nothing, has been given up
        self.balancer.asked(clock())
        if self._pace is not None:
            self._pace.called(clock(), anew=True)
            self._plan()

    # -- the turn -----------------------------------------------------------------------------------------

    def note(self, call: Callable[..., None], *args: Any) -> None:
        """Something came: it is told in the next turn."""
        self._noted.append((call, args))
        if not self._scheduled:
            self._scheduled = True
            self._loop.call_soon(self._turn)

    def _note_news(self, news: News) -> None:
        self._news_noted = self._news_noted or news.whole or bool(news.targets)
        self.note(self._told, news)

    def _withheld(self) -> bool:
        """Whether nothing may begin at any upstream now, asked right before it would."""
        now = clock()
        if self._news_noted or self.balancer.lease.withholds(now):
            return True
        # guards: a send that was held up since it was decided, or came to its turn late, as above
        return now - self._turned > LATE and self.discovery.unread()

    def _turn(self) -> None:
        self._take_turn(sockets_read=False)

    def _turn_behind_sockets(self) -> None:
        self._take_turn(sockets_read=True)

    def _take_turn(self, sockets_read: bool) -> None:
        self._scheduled = False
        now = clock()
        if now - self._turned > STOOD:
            self._stood_from, self.stood_to = self._turned, now + SETTLED
            self.logger.warning("this process stood still", ms=round(now - self._turned))
        self._turned = now
        noted, self._noted, self._news_noted = self._noted, [], False
        for call, args in noted:
            self._tell(now, call, args)
        while self._wakes and self._wakes[0][0] <= now:
            due, _, wake = heappop(self._wakes)
            self.lag = max(self.lag, now - due)
            self._tell(now, wake, ())
        if self._to_do and not sockets_read and (self._put_off or self.discovery.unread()):
            return self._put_off_to_do()
        self._put_off = False
        to_do, self._to_do = self._to_do, []
        for act, args in to_do:
            self._tell(now, act, args)
        self._set_alarm(now)

    def _put_off_to_do(self) -> None:
        """What is to be done waits until the sockets have been read.

        Guards: after a hold-up news may lie unread that was written longer ago than the grace of a drain.
        Once only, as a list that keeps coming must not keep everything waiting; and a turn that a reload
        takes meanwhile does not end the wait.
        """
        if not self._put_off:
            self._loop.call_soon(self._loop.call_soon, self._turn_behind_sockets)
        self._put_off = self._scheduled = True

    def _tell(self, now: float, call: Callable[..., None], args: tuple[Any, ...]) -> None:
        try:
            call(now, *args)
        except Exception:
            # guards: a fault in the decisions costs the visit that it met, which still gets its answer
            self.counts["faults"] += 1
            self.logger.exception("fault in a turn")
            taken = next((arg for arg in args if isinstance(arg, Taken)), None)
            if taken is not None and not taken.answered:
                self.fail(taken.tag)
                self._drop(taken)
                for errand in taken.errands:
                    if errand is not None:
                        errand.cut(Why.CALLED_OFF)

    def _set_alarm(self, now: float) -> None:
        if not self._wakes:
            return
        due = self._wakes[0][0]
        if self._alarm is None or due < self._alarm_at:
            if self._alarm is not None:
                self._alarm.cancel()
            self._alarm_at = due
            # the loop's timers go by whole milliseconds
            self._alarm = self._loop.call_later(max(0.0, due - now + 0.5) / 1e3, self._ring)

    def _ring(self) -> None:
        self._alarm = None
        if self._scheduled:
            return
        if self._wakes and clock() - self._wakes[0][0] > LATE:
            # guards: timers come before sockets. After a delay what is due would be decided by what was known
            # before it, with a drain, an answer or a leaving unread; sockets are read first
            self._scheduled = True
            self._loop.call_soon(self._loop.call_soon, self._turn)
        else:
            self._turn()

    # -- visits -------------------------------------------------------------------------------------------

    def covering_news(self, now: float) -> None:
        if self.covering is not None:
            self.covering.carry_out(now)

    def prefix_name(self, prefix: int) -> str:
        return self._post.prefix_names[prefix]

    def place(self, upstream: int) -> tuple[str, int]:
        """Where an upstream is: zone and cell."""
        return self._places[upstream]

    def take(self, request: Request, client: Client) -> bool:
        """A whole request has come; it is not taken while another visit has its id."""
        if request.trace in self._ids:
            return self.covering is not None and self.covering.joins(request, client)
        self._ids.add(request.trace)
        self._tags += 1
        terms = self._post.terms.prefixes[request.prefix]
        taken = self.visits[self._tags] = Taken(self._tags, request, terms, client)
        taken.came = clock() - client.waited()
        client.tag = self._tags
        self.note(self._take, taken)
        return True

    def left(self, client: Client) -> None:
        """The client of a visit has gone."""
        taken = self.visits.get(client.tag)
        if taken is not None and taken.client is client:
            taken.client, taken.left = None, True
            self.note(self._left, taken)

    def ready(self) -> bool:
        """Whether a visit could be decided."""
        return (
            not self.closing
            and Readiness.READY in self._states.values()
            and self.balancer.lease.ready(clock())
        )

    def _take(self, now: float, taken: Taken) -> None:
        if taken.client is None:
            self._drop(taken)
            return
        self.counts["visits"] += 1
        request, terms = taken.request, taken.terms
        left = terms.client_timeout
        if request.time_left is not None:
            left = min(left, request.time_left)
        # guards: what lay in its socket while the loop was late, or in the listener's queue, has less left;
        # an upstream was told more, and its client answered after its time
        waited = now - taken.came
        if now <= self.stood_to:
            # guards: a request that waited in its socket while this process was stopped would be sent on for
            # a client that has gone; not every system tells when it came, so all of that time counts
            waited = max(waited, now - self._stood_from)
        left -= waited
        taken.late = self._loop.call_later(max(0.0, left + BACKSTOP) / 1e3, self.note, self._overdue, taken)
        if self.covering is None or self.covering.begins(now, taken, left, terms.kind):
            self.decide(now, taken, left, ())

    def decide(self, now: float, taken: Taken, left: float, ran: Sequence[tuple[str, int, float]]) -> None:
        """The decisions get it; `ran`: what balancers before us may have sent, as (zone, cell, ms ago)."""
        try:
            prefix = self._post.terms.prefixes.index(taken.terms)
        except ValueError:
            # guards: it waited for a word over a reload, and its index is another's, or nobody's, by now
            return self.fail(taken.tag) if ran else self.refuse(taken.tag)
        request = taken.request
        before = [(self._zones.get(zone, -1), cell, now - ago) for zone, cell, ago in ran]
        taken.errands = [None] * len(before)
        taken.handle = self.balancer.take(now, taken.tag, prefix, left, request.repeat, before)
        if self.covering is not None and len(taken.errands) == len(before):
            self.covering.decided(now, taken)
        self._settle(taken)

    def adopt_visit(
        self, now: float, tag: int, request: Request, left: float, ran: Sequence[tuple[str, int, float]]
    ) -> None:
        """A visit of a balancer that is lost, for which nobody waits here."""
        taken = self.visits[tag] = Taken(tag, request, self._post.terms.prefixes[request.prefix], None)
        taken.came = now
        self._ids.add(request.trace)
        taken.late = self._loop.call_later(max(0.0, left + BACKSTOP) / 1e3, self.note, self._overdue, taken)
        self.decide(now, taken, left, ran)

    def refuse(self, tag: int) -> None:
        """Answer a visit that the decisions have not seen: it never ran."""
        self.bounce(tag, self._post.terms.max_retry_after)

    def close_visit(self, now: float, taken: Taken) -> None:
        """Nothing more is owed for it here."""
        taken.answered = True
        if taken.handle is not None:
            taken.handle.left(now)
        self._settle(taken)

    def _left(self, now: float, taken: Taken) -> None:
        if not taken.left:
            return  # guards: another connection of its client has been joined to it since
        if self.covering is not None and not taken.answered:
            if self.covering.goes_on(now, taken, taken.terms.kind):
                return  # what was begun goes on; nothing further begins, unless it is asked for again
            if taken.handle is None:
                self._drop(taken)
        if taken.handle is not None:
            self.counts["clients_left"] += not taken.answered
            taken.answered = True
            taken.handle.left(now)
            for number, errand in enumerate(taken.errands):
                if errand is not None:
                    errand.withdraw()
                elif self.covering is not None and self.covering.called_off(taken, number):
                    # guards: its guardians were told that it is over, so no word comes; it stayed for good
                    self.note(self.ended, taken, number, Cut(Stage.CONNECTING, Why.WITHDRAWN))
            self._settle(taken)

    def _overdue(self, now: float, taken: Taken) -> None:
        """Guards: whatever went wrong, a visit that was taken is answered."""
        if taken.answered and not (self.covering is not None and self.covering.overdue(taken.tag)):
            return self._settle(taken)
        self.counts["overdue"] += 1
        self.logger.error("visit answered by the backstop", fetches=len(taken.errands))
        self.fail(taken.tag)
        if taken.handle is not None:
            taken.handle.left(now)
        self._settle(taken)

    def ended(self, now: float, taken: Taken, number: int, outcome: Answer | Cut) -> None:
        end = told = end_of(outcome)
        self.counts[end.name.lower()] += 1
        taken.ends.append(end.name.lower())
        errand = taken.errands[number]
        spent = 0.0
        if errand is not None:
            # guards: what goes beyond its time is our own lateness. Told as the upstreams', a stop of 30 s
            # made all of them look as slow, and all was turned away for 4 s
            spent = min(now, errand.expires) - errand.sent
            if end is End.TIMED_OUT and now <= self.stood_to and errand.sent <= self._stood_from:
                told = End.CANCELLED  # we did not listen: its answer may lie in the socket
        taken.timed_out = end is End.TIMED_OUT
        report: tuple[float, ...] = ()
        if isinstance(outcome, Answer):
            report = load_report(outcome.report, self._reports) if outcome.report else ()
            if end is End.DELIVERED and not taken.answered:
                taken.answered = True
                self.latencies.append(now - taken.came)
                reply = taken, 200, outcome.head, outcome.body
                if self.covering is None or self.covering.may_tell(now, taken, reply):
                    self._to_do.append((self.reply, reply))
        if taken.handle is not None:
            taken.handle.ended(now, number, told, spent, taken.answered, report)
            self._settle(taken)

    def answer_all(self) -> None:
        """The balancer ends: what has no answer yet gets one now."""
        for taken in self.visits.values():
            self.note(self._overdue, taken)

    def waiting(self) -> bool:
        """Whether a visit has no answer yet."""
        return any(not taken.answered for taken in self.visits.values())

    def close(self) -> None:
        self._wakes.clear()
        if self._alarm is not None:
            self._alarm.cancel()
        self.discovery.close()
        self.upstreams.close()

    def _settle(self, taken: Taken) -> None:
        if self.covering is not None and self.covering.holds(taken.tag):
            return
        if taken.handle.settled if taken.handle is not None else taken.answered and taken.client is None:
            self._drop(taken)

    def _drop(self, taken: Taken) -> None:
        if self.visits.pop(taken.tag, None) is not None:
            self._ids.discard(taken.request.trace)
            if self.covering is not None:
                self.covering.forget(taken.tag)
        if taken.late is not None:
            taken.late.cancel()

    def reply(self, now: float, taken: Taken, status: int, fields: bytes, body: bytes) -> None:
        if taken.client is not None:
            client, taken.client = taken.client, None
            client.reply(status, fields, body)
            self.counts[f"answers_{status}"] += 1
        # guards: one that was held and then given up in another's turn was never forgotten
        self._settle(taken)

    # -- upstreams ----------------------------------------------------------------------------------------

    def _start(self, now: float, taken: Taken, number: int, upstream: int, times: int, until: float) -> None:
        if self.covering is None or self.covering.may_write(now, taken, number, upstream, times, until):
            self.write(now, taken, number, upstream, times, until)

    def write(self, now: float, taken: Taken, number: int, upstream: int, times: int, until: float) -> None:
        """A fetch goes out that may take until then, to the upstream as it was when it was chosen."""
        request, time_out = taken.request, until - now
        if time_out <= 0 or times != self.upstreams.peers[upstream].times:
            return self.note(self.ended, taken, number, Cut(Stage.CONNECTING, Why.WITHDRAWN))
        errand = taken.errands[number] = Errand(
            request.head(),
            request.body,
            now,
            time_out,
            request.method == b"HEAD",
            lambda outcome: self.note(self.ended, taken, number, outcome),
            taken.wanted,
        )
        if taken.handle is not None:
            errand.begin_by = taken.handle.begin_by
        self.upstreams.peers[upstream].run(errand)

    def _call_off(self, now: float, taken: Taken, number: int) -> None:
        errand = taken.errands[number]
        if errand is not None:
            errand.cut(Why.CALLED_OFF)
        elif self.covering is not None and self.covering.called_off(taken, number):
            self.note(self.ended, taken, number, Cut(Stage.CONNECTING, Why.WITHDRAWN))

    def _probe(self, now: float, upstream: int) -> None:
        peer = self.upstreams.peers[upstream]
        path = b"/stats" if self._reports else b"/health/live"
        head = b"GET %b HTTP/1.1\r\nHost: %b:%d\r\n" % (path, peer.at[0].encode(), peer.at[1])
        errand = Errand(
            head,
            b"",
            now,
            PROBE_TIME_OUTS * self._post.connect_time_out,
            False,
            lambda outcome: self.note(self._probed, upstream, now, outcome),
        )
        peer.run(errand)

    def _probed(self, now: float, upstream: int, sent: float, outcome: Answer | Cut) -> None:
        report: tuple[float, ...] = ()
        if isinstance(outcome, Answer):
            report = load_report(outcome.report or outcome.body, self._reports)
        end = end_of(outcome)
        self.counts["probes"] += 1
        self.balancer.probed(now, upstream, end, now - sent, report)

    # -- the list -----------------------------------------------------------------------------------------

    def _plan(self) -> None:
        """The next call is due at its time."""
        if self._pace is not None and self._pace.due < inf:
            self.wake(self._pace.due, self._call_list)

    def _call_list(self, now: float) -> None:
        if self._pace is not None and now >= self._pace.due:
            self._pace.called(now)
            self._plan()
            self.discovery.watch(True)

    def _wanted(self, now: float) -> None:
        if self._pace is not None:
            self._pace.wanted(now)
            self._plan()

    def _renew_lease(self, now: float, message: LeaseMessage) -> None:
        """What became of a call: the lease on the list ends earlier, or is renewed."""
        lease = self.balancer.lease
        before = lease.expires
        lease.take(now, message)
        match message:
            case UpdateLost(call, version):
                self.logger.warning(
                    "list update may be lost",
                    call=call,
                    rev=version or None,
                    expires_in_ms=round(lease.expires - now),
                )
            case CallSilent(call, age):
                self.logger.info("list call was silent", call=call, s=round(age, 1))
            case UpdateRead() if lease.lost:
                self._ask_again(now)
        if lease.expires > now >= before + SAID:
            self.logger.info("list lease renewed", after_ms=round(now - before))

    def _ask_again(self, now: float) -> None:
        """An answer did not settle what was lost: it had been asked for before that."""
        if self._pace is not None:
            if self._pace.due == inf:
                self._pace.lost(now)
                self._plan()
        elif self._post.terms.ask_for_list:
            self.balancer.ask_again(now)
        elif not self.discovery.waiting:
            self.discovery.watch(True)

    def _told_nothing(self, now: float, failure: CallFailure) -> None:
        told = self.bank is not None and self.bank.told_nothing()
        if self._pace is not None:
            self._pace.failed(now, failure.retry_after, told)
            # guards: a service that goes down resets the calls of the whole bank, which has a pace to keep
            if failure.seen:
                self._pace.lost(now)
            self._plan()
        elif not self._post.terms.ask_for_list:
            # guards: each change of a pushed list counts as told though no watch is open. To the decisions it
            # comes by itself and no call fails; their waits for a service that is asked are far too long
            self.wake(now + self._again * (0.5 + self._draw()), self._watch_again)
            self._again = min(2 * self._again, MOST_AGAIN)
            return
        self.balancer.told_nothing(now, failure.lost, failure.turned_away)

    def _watch_again(self, now: float) -> None:
        if not self._post.terms.ask_for_list and not self.discovery.watching:
            self.discovery.watch(True)

    def _hasten(self, now: float) -> None:
        """The list is to be asked for as if nobody told us."""
        if self._pace is not None:
            self._pace.hasten(now)
            self._plan()

    def _hinted(self, now: float, body: bytes) -> None:
        if self._post.terms.may_tell:
            self.balancer.heard(now, body)

    def _told_by_others(self, now: float, others: Any) -> None:
        """The list as another balancer has it from the service, newer than ours."""
        if others.rev <= self.discovery.rev:
            return
        text = b'{"rev":%d,"all":%b,"targets":[%b]}' % (
            others.rev,
            b"true" if others.whole else b"false",
            b",".join(others.targets),
        )
        news = read(text, self.logger)
        if news is None:
            return
        self.counts["lists_from_others"] += 1
        self.discovery.took(news.rev)
        lines = self._lines(news)
        if news.whole:
            self.balancer.told_all(now, lines, own=False)
        else:
            self.balancer.told_changes(now, lines, own=False)
        if self._keeping is not None:
            self._keeping.told(changed=True)

    def _told(self, now: float, news: News) -> None:
        self._again = AGAIN
        # guards: what another call brings, or the watch at a former address, is no word of our own watch:
        # taken for one, nobody would be asked any more when that has ended or while it says nothing
        own = self.discovery.told_by_watch
        if self._pace is not None and own:
            self._pace.told()
        if self._keeping is not None:
            self._keeping.told(changed=news.whole or bool(news.targets))
        if self.bank is not None:
            self.bank.told(
                news.rev,
                news.whole,
                [(target.uid, target.state == "left", json.encode(target)) for target, _ in news.targets],
            )
        lines = self._lines(news)
        if news.whole:
            self.balancer.told_all(now, lines, own)
        else:
            self.balancer.told_changes(now, lines, own=own)

    def _lines(self, news: News) -> list[Listed]:
        """News as the decisions take it; what the list says of connections is acted upon here."""
        lines = []
        for target, at in news.targets:
            upstream = self._indices.get(target.uid)
            if upstream is None:
                if at is None or target.state == "left":
                    continue
                upstream = self._indices[target.uid] = self.upstreams.add(at)
                self._uids[upstream] = target.uid
            lines.append(self._line(target, upstream))
            self._note_state(target.uid, lines[-1].readiness, target)
            self.upstreams.listed(
                upstream,
                at or self.upstreams.peers[upstream].at,
                target.boot_ms,
                lines[-1].readiness is Readiness.READY,
            )
        if news.whole:
            named = {target.uid for target, _ in news.targets}
            for uid, upstream in self._indices.items():
                if uid not in named and self._states.get(uid) is not Readiness.GONE:
                    self._note_state(uid, Readiness.GONE, None)
                    self._targets[uid] = structs.replace(self._targets[uid], state="left")
                    self.upstreams.peers[upstream].withdraw()
        return lines

    def _line(self, target: Target, upstream: int) -> Listed:
        # guards: an entry that leaves out its place (one that is gone may) must not move the upstream, as
        # repeats of what may have run there go by it. One never seen counts to the last zone that we spill to
        was = self._targets.get(target.uid, target)
        if target.az and target.az not in self._zones:
            self.logger.warning("unknown zone in the list", uid=target.uid, zone=target.az)
        az = target.az if target.az in self._zones or not was.az else was.az
        cell = was.pod_group or 0 if target.pod_group is None else target.pod_group
        self._targets[target.uid] = structs.replace(target, az=az, pod_group=cell)
        self._places[upstream] = (az, cell)
        zone = self._zones.get(az, (self._post.terms.zone - 1) % self._post.terms.zones)
        return Listed(
            upstream=upstream,
            mark=int.from_bytes(blake2b(target.uid.encode(), digest_size=8).digest(), "big"),
            zone=zone,
            cell=cell,
            readiness=_READINESS.get(target.state, Readiness.DRAINING),  # unknown: nothing new
            came_up=target.boot_ms - self._unix_offset if target.boot_ms > 0 else 0.0,
        )

    def _note_state(self, uid: str, state: Readiness, target: Target | None) -> None:
        if self._states.get(uid) is not state:
            self._states[uid] = state
            self._gone.pop(uid, None)
            if state is Readiness.GONE:
                self._gone[uid] = clock()
            self.logger.info(
                "upstream", uid=uid, state=state.name.lower(), boot_ms=target.boot_ms if target else None
            )

    def tidy(self, now: float) -> None:
        """Forget upstreams that are long gone. Guards: a fleet is replaced again and again, under new ids."""
        if self._keeping is not None and not self._news_noted:
            # guards: a version whose news is not in the list would never be asked for after a restart
            whole = self.discovery.complete and not self.balancer.lease.lost
            self._keeping.tidy(
                self.discovery.rev if whole else 0,
                lambda: [json.encode(target) for target in self._targets.values() if target.state != "left"],
            )
        for uid, since in list(self._gone.items()):
            upstream = self._indices[uid]
            # one stays: what comes to a balancer that knows none is taken for its first list
            if now - since < FORGET or self.upstreams.peers[upstream].errands or len(self._indices) == 1:
                return
            self.balancer.forget(upstream)
            del self._gone[uid], self._indices[uid], self._states[uid], self._targets[uid]
            del self.upstreams.peers[upstream], self._places[upstream], self._uids[upstream]

    # -- what the decisions ask for -----------------------------------------------------------------------

    def send(self, tag: int, upstream: int, time_out: float) -> None:
        taken = self.visits[tag]
        if taken.ends:
            self.events.line(
                "retry",
                taken.ends[-1],
                id=taken.request.trace.decode("latin-1"),
                after=taken.ends,
                attempt=len(taken.errands) + 1,
                upstream=self._uids[upstream],
            )
        taken.errands.append(None)
        times = self.upstreams.peers[upstream].times
        # guards: counted from when it was decided, whenever it is carried out
        until = self._turned + time_out
        self._to_do.append((self._start, (taken, len(taken.errands) - 1, upstream, times, until)))

    def cancel(self, tag: int, fetch: int) -> None:
        if (taken := self.visits.get(tag)) is not None:
            self._to_do.append((self._call_off, (taken, fetch)))

    def bounce(self, tag: int, retry_after: float) -> None:
        taken = self.visits[tag]
        taken.answered = True
        self._log_refusal("rejected", taken)
        fields = b"Retry-After: %.3f\r\n" % (retry_after / 1e3) if retry_after else b""
        reply = taken, 503, fields, b"no room, try again\n"
        if self.covering is None or self.covering.may_bounce(self._turned, taken, reply):
            self._to_do.append((self.reply, reply))

    def fail(self, tag: int) -> None:
        taken = self.visits[tag]
        taken.answered = True
        self._log_refusal("failed", taken)
        if self.covering is not None:
            self.covering.failed(self._turned, taken)
        self._to_do.append((self.reply, (taken, 504 if taken.timed_out else 502, b"", b"no answer\n")))

    def _log_refusal(self, event: str, taken: Taken) -> None:
        """Say why a request gets an answer that no upstream gave."""
        why = "its attempts failed" if taken.ends else "no upstream has room for it in time"
        if (withheld := self.balancer.lease.why(self._turned)) is not None:
            why = withheld.value
        self.events.line(
            event, why, id=taken.request.trace.decode("latin-1"), prefix=taken.terms.name, attempts=taken.ends
        )

    def wake(self, at: float, call: Callable[[float], None]) -> None:
        self._wake_number += 1
        heappush(self._wakes, (at, self._wake_number, call))

    def probe(self, upstream: int) -> None:
        self._to_do.append((self._probe, (upstream,)))

    def drop(self, upstream: int) -> None:
        self._to_do.append((lambda now: self.upstreams.peers[upstream].drop_idle("it may be silent"), ()))

    def tell(self, message: bytes) -> None:
        if self.bank is not None:  # without links nothing is sent; what is told is only ever a hint
            self.bank.tell(message)

    def watch(self, on: bool) -> None:
        if self._pace is not None:
            self._to_do.append((self._wanted, ()))
            return
        self._to_do.append((lambda now: self.discovery.watch(on), ()))

    def refresh(self) -> None:
        self._to_do.append((lambda now: self.discovery.refresh(), ()))

    def log(self, text: str) -> None:
        self.logger.info(text)
