"""Runs the balancer's decisions on sockets: events are queued and handled together in one event batch.

Callbacks of connections, timers and the list service only enqueue events (`enqueue`). Once per event loop
iteration a batch reads the clock, passes all queued events to the decisions in order of arrival, and then
executes the actions that the decisions asked for.
"""

from __future__ import annotations

import asyncio
import time
from collections import Counter
from collections.abc import Callable, Sequence
from heapq import heappop, heappush
from math import inf
from random import Random
from typing import TYPE_CHECKING, Any

import structlog
from msgspec import json

from ospreyline.call_schedule import call_period_ms
from ospreyline.config import ProxyConfig
from ospreyline.decide import Balancer
from ospreyline.host import End, Kind, PathPrefix
from ospreyline.lease import LeaseMessage, UpdateRead
from ospreyline.net.clients import ClientConnection, Request
from ospreyline.net.discovery import CallFailure, ListClient
from ospreyline.net.events import EventLog
from ospreyline.net.lease_log import LeaseLog
from ospreyline.net.listing import ListUpdate, parse_update
from ospreyline.net.memory import PeerBudgets
from ospreyline.net.reading import ReadScheduler
from ospreyline.net.sockets import PeerState
from ospreyline.net.upstream_directory import UpstreamDirectory
from ospreyline.net.upstreams import (
    Answer,
    ConnectionPools,
    Exchange,
    ExchangeFailure,
    ExchangeStage,
    FailureReason,
    classify_end,
    may_have_run,
    parse_load_report,
)
from ospreyline.state import Visit
from ospreyline.used_ids import UsedIds

if TYPE_CHECKING:
    from ospreyline.fleet.bank import Bank
    from ospreyline.fleet.list_cache import ListCache
    from ospreyline.fleet.pace import CallPacer
    from ospreyline.net.takeover_adapter import TakeoverAdapter
    from ospreyline.operator_settings import OperatorSettings

BACKSTOP_DELAY_MS = 15.0  # after its client timeout a visit without an answer is answered anyway
LATE_TIMER_MS = 20.0  # if a timer fires later than this, sockets are read before due timers run
# time without a batch that means this process was stalled: three times the decisions' 200 ms tick
STALL_MS = 600.0
STALL_RECOVERY_MS = 100.0  # after a stall, time until all data that waited in sockets has been read
# delay before a pushed list's watch is reopened: first and maximum
WATCH_RETRY_MS, MAX_WATCH_RETRY_MS = 25.0, 250.0
FLEET_DESCRIPTORS = 64  # descriptors reserved for links to other balancers, if enabled
PROBE_TIMEOUT_FACTOR = 2.0  # a probe's timeout, as a multiple of the connect timeout


def clock() -> float:
    """Monotonic clock, in milliseconds."""
    return time.monotonic() * 1e3


class PendingVisit:
    """A visit on the socket side: the client that waits for it, its decision handle and its exchanges."""

    __slots__ = (
        "answered",
        "arrived_at",
        "backstop_timer",
        "client",
        "client_left",
        "decision",
        "exchanges",
        "fetch_ends",
        "last_timed_out",
        "may_have_run",
        "prefix_settings",
        "request",
        "tag",
    )

    def __init__(
        self, tag: int, request: Request, prefix_settings: PathPrefix, client: ClientConnection | None
    ) -> None:
        self.tag = tag
        self.request = request
        # its path prefix settings at arrival; after a reload the same index may mean another prefix
        self.prefix_settings = prefix_settings
        self.client = client
        self.decision: Visit | None = None
        self.exchanges: list[Exchange | None] = []
        self.fetch_ends: list[str] = []  # how its fetches ended, in that order, for the log
        # when its last byte reached this machine (`clock()` ms), as far as the OS reports it
        self.arrived_at = 0.0
        self.answered = False
        self.may_have_run = False  # at an upstream, by a fetch that has ended
        self.client_left = False  # the client has disconnected; no new fetch starts
        self.last_timed_out = False  # whether its latest fetch timed out
        self.backstop_timer: asyncio.TimerHandle | None = None

    def has_effect(self) -> bool:
        """Whether it may have run at an upstream, or may run there yet."""
        return self.may_have_run or any(
            exchange is not None and exchange.on_end is not None and exchange.stage > ExchangeStage.WRITING
            for exchange in self.exchanges
        )

    def client_state(self) -> PeerState:
        """Whether a client still waits for it; checked before a byte of it is sent to an upstream."""
        if self.answered or self.client_left:
            return PeerState.LEFT
        # one that was taken over has no client here
        return self.client.state() if self.client is not None else PeerState.OPEN


class EventDispatcher:
    """The `Host` of one balancer and the `VisitHandler` of its client connections."""

    def __init__(
        self, loop: asyncio.AbstractEventLoop, config: ProxyConfig, operator: OperatorSettings | None = None
    ) -> None:
        self.logger: Any = structlog.get_logger()
        self._operator: OperatorSettings | None = None
        self._pace: CallPacer | None = None  # paces calls to the list service, if enabled
        self._list_cache: ListCache | None = None  # cached list on disk, if enabled
        self.bank: Bank | None = None  # links to the other balancers, if enabled
        # takeover of visits between balancers, if enabled
        self.takeover_adapter: TakeoverAdapter | None = None
        self.closing = False
        self.visits: dict[int, PendingVisit] = {}
        # number of open visits by request id; more than one only if a client asks for an outcome under an id
        # that another client uses, too
        self._open_ids: Counter[bytes] = Counter()
        self._used_ids = UsedIds()  # of visits that are over and must not run again
        self.counts: Counter[str] = Counter()
        self.events = EventLog(self.logger, clock, self.counts)
        self.latencies_ms: list[float] = []  # of the visits delivered since the last "counts" log line
        self.max_timer_lag_ms = 0.0  # maximum timer delay since the last "counts" log line
        self._loop = loop
        self._use_config(config)
        self._last_tag = 0
        self._queued_events: list[tuple[Callable[..., None], tuple[Any, ...]]] = []
        self._pending_actions: list[tuple[Callable[..., None], tuple[Any, ...]]] = []
        self._timers: list[tuple[float, int, Callable[[float], None]]] = []
        self._timer_number = 0
        # time of the last batch; the decisions' periodic tick causes one every 200 ms
        self._last_batch_at = inf
        # until stood_to, input may have been waiting since _stalled_from
        self._stalled_from = self.stood_to = -inf
        self._loop_timer: asyncio.TimerHandle | None = None
        self._loop_timer_at = 0.0
        self._batch_scheduled = False
        self._update_queued = False  # a list update is queued and not yet passed to the decisions
        self._actions_deferred = False  # pending actions wait until the sockets have been read once more
        # Descriptor budget: 32 are reserved for the event loop, the listener and discovery; the rest is split
        # evenly between clients and upstreams.
        max_per_side = (
            config.max_descriptors
            - 32
            - (FLEET_DESCRIPTORS if operator is not None and operator.fleet.bank else 0)
        ) // 2
        self.max_clients = max_per_side
        self._watch_retry_ms, self._random = WATCH_RETRY_MS, Random(config.seed + 2).random
        self.budgets = PeerBudgets.of(config.memory_bytes)
        self.reads = ReadScheduler(loop)
        self.upstreams = ConnectionPools(
            loop,
            clock,
            max_per_side,
            config.connect_timeout_ms,
            config.upstream_keepalive_ms,
            self.budgets.answers,
            self.reads,
            self.events,
        )
        self.directory = UpstreamDirectory(self.upstreams, clock, self.logger, self.events)
        self.directory.use_config(config)
        if operator is not None:
            self._enable_features(operator)
        kept = (
            self._list_cache.initial_list(config.initial_list)
            if self._list_cache is not None
            else config.initial_list
        )
        known = parse_update(kept, self.logger)
        self.discovery = ListClient(
            loop,
            config.discovery,
            known.rev if known else 0,
            self.logger,
            on_update=self._enqueue_list_update,
            on_failure=lambda failure: self.enqueue(self._on_list_call_failed, failure),
            on_lease_message=lambda message: self.enqueue(self._on_lease_message, message),
            budget=self.budgets.list_updates,
            log_change=self.events.change,
        )
        self._configure_discovery()
        now = clock()
        self.balancer = Balancer(self, config.deployment, config.seed, now)
        self.balancer.lease.start(now)
        self._lease_log = LeaseLog(self.logger, self.balancer.lease)
        self.upstreams.sends_blocked = self._sends_blocked
        self.balancer.apply_list(now, self.directory.apply(known) if known else [])
        if self.bank is not None and known is not None:
            self.bank.begin(known.rev, [(t.uid, t.state == "left", json.encode(t)) for t, _ in known.entries])
        if self._pace is not None:
            later = 0.0
            if self.bank is not None and self.bank.lists is not None and not self.bank.lists.passing:
                later = self.bank.lists.late(config.deployment.must_ask_in)
            self._pace.start(now, later)
            self._schedule_list_call()
        elif not config.deployment.ask_for_list:
            # a pushed list: the decisions never ask for it, so a watch is opened here
            self.discovery.watch(True)
        self.enqueue(lambda now: None)  # the first batch executes the actions requested during construction

    def _enable_features(self, operator: OperatorSettings) -> None:
        """Set up the features that the operator file enables; only those modules are imported."""
        self._operator = operator
        terms, lists = self._config.deployment, operator.list
        if lists.calls_per_s:
            from ospreyline.fleet.pace import CallPacer

            if self._pace is None:
                self._pace = CallPacer(terms.number, terms.balancers, lists.calls_per_s, terms.must_ask_in)
            else:
                self._pace.apply_settings(terms.number, terms.balancers, lists.calls_per_s, terms.must_ask_in)
        elif self._pace is not None:
            self._pace = None
            # the decisions schedule list calls themselves from now on
            self.enqueue(self.balancer.list_call_failed)
        if lists.keep and self._list_cache is None:
            from ospreyline.fleet.list_cache import ListCache

            self._list_cache = ListCache(self._loop, lists.keep, 1e3 * lists.keep_for_s, self.logger)
        if operator.fleet.bank and self.bank is None:
            from ospreyline.fleet.bank import Bank

            zone = self._config.zone_names[terms.zone]
            self.bank = Bank(
                self._loop,
                self.logger,
                self._config.name,
                zone,
                operator.fleet,
                self._config.seed,
                listed=lambda update: self.enqueue(self._on_list_from_balancer, update),
                hinted=lambda body: self.enqueue(self._on_bank_message, body),
                hasten=lambda: self.enqueue(self._hasten_list_call),
            )
            if operator.takeover.on:
                from ospreyline.net.takeover_adapter import TakeoverAdapter

                self.takeover_adapter = TakeoverAdapter(
                    self,
                    operator.takeover,
                    self._config.name,
                    zone,
                    self.bank.members.me.start,
                    self._config.seed,
                    terms.max_fetches,
                )
                self.bank.guard(
                    self.takeover_adapter.takeover, lambda: self.enqueue(self.process_takeover_events)
                )

    def _use_config(self, config: ProxyConfig) -> None:
        self._config = config
        self.prefixes = {name.encode(): i for i, name in enumerate(config.prefix_names)}
        self.tagged = frozenset(
            i for i, terms in enumerate(config.deployment.prefixes) if terms.kind is Kind.TAGGED
        )
        self._used_ids.configure(max(terms.client_timeout for terms in config.deployment.prefixes))
        self._report_fields = config.deployment.report_fields

    def _configure_discovery(self) -> None:
        terms = self._config.deployment
        self.discovery.repoll_after_s = call_period_ms(terms.balancers, terms.must_ask_in) / 1e3
        self.discovery.service_may_be_slow = terms.ask_for_list or self._pace is not None

    def apply_config(self, config: ProxyConfig) -> None:
        """Apply a new, validated configuration; events queued before are still handled under the old one."""
        self._dispatch()
        now = clock()
        self._use_config(config)
        self.directory.use_config(config)
        self.upstreams.apply_config(config.connect_timeout_ms, config.upstream_keepalive_ms)
        if self._operator is not None:
            self._enable_features(self._operator)  # the number of balancers affects the pace of list calls
        self.balancer.apply_settings(now, config.deployment)
        self._configure_discovery()
        # Passed on as a first list, so that it renews no subscription and leaves cold and draining upstreams
        # in their state.
        entries = self.directory.entries()
        self.balancer.apply_list_changes(now, entries, is_first_list=True, from_own_watch=False)
        if not config.deployment.ask_for_list and not self.discovery.has_watch and self._pace is None:
            self.discovery.watch(True)
        self._dispatch()

    def apply_operator(self, operator: OperatorSettings) -> None:
        """Apply the reloadable settings of a new, validated operator file."""
        paced = self._pace is not None
        self._enable_features(operator)
        self._configure_discovery()
        if self._pace is not None and not paced:
            # An open watch is kept and still counts; without one the first paced call replaces it.
            self._pace.call_started(clock())
            if self.discovery.watch_answered:
                self._pace.call_answered()
            elif not self.discovery.has_watch:
                self._pace.call_failed(clock())
            self._schedule_list_call()

    def move_discovery(self, at: tuple[str, int]) -> None:
        """Switch to a new list service address and call it at once."""
        self.discovery.change_address(at)
        # Restart the wait between calls. Otherwise a wait that was running for the old address would cause
        # another call at once; and if this call received no data, the next one would start only after it was
        # given up.
        self.balancer.list_service_moved(clock())
        if self._pace is not None:
            self._pace.call_started(clock(), new_service=True)
            self._schedule_list_call()

    # -- event batches ------------------------------------------------------------------------------------

    def enqueue(self, call: Callable[..., None], *args: Any) -> None:
        """Enqueue an event, to be handled in the next batch."""
        self._queued_events.append((call, args))
        if not self._batch_scheduled:
            self._batch_scheduled = True
            self._loop.call_soon(self._dispatch)

    def _enqueue_list_update(self, update: ListUpdate) -> None:
        self._update_queued = self._update_queued or update.is_full or bool(update.entries)
        self.enqueue(self._on_list_update, update)

    def _sends_blocked(self) -> bool:
        """Whether all sends to upstreams are blocked; checked right before each one."""
        now = clock()
        if self._update_queued or self.balancer.lease.blocks_sends(now):
            return True
        # Also blocks a send that was delayed since it was decided, or whose batch was late, if the list has
        # unread data.
        return now - self._last_batch_at > LATE_TIMER_MS and self.discovery.has_unread_data()

    def _dispatch(self) -> None:
        self._run_batch(sockets_read=False)

    def _dispatch_after_sockets(self) -> None:
        self._run_batch(sockets_read=True)

    def _run_batch(self, sockets_read: bool) -> None:
        """Run queued events, due timers and pending actions, in this order."""
        self._batch_scheduled = False
        now = clock()
        if now - self._last_batch_at > STALL_MS:
            self._stalled_from, self.stood_to = self._last_batch_at, now + STALL_RECOVERY_MS
            self.logger.warning("this process stood still", ms=round(now - self._last_batch_at))
        self._last_batch_at = now
        queued, self._queued_events, self._update_queued = self._queued_events, [], False
        for call, args in queued:
            self._run_guarded(now, call, args)
        while self._timers and self._timers[0][0] <= now:
            due, _, callback = heappop(self._timers)
            self.max_timer_lag_ms = max(self.max_timer_lag_ms, now - due)
            self._run_guarded(now, callback, ())
        if (
            self._pending_actions
            and not sockets_read
            and (self._actions_deferred or self.discovery.has_unread_data())
        ):
            return self._defer_actions()
        self._actions_deferred = False
        actions, self._pending_actions = self._pending_actions, []
        for act, args in actions:
            self._run_guarded(now, act, args)
        self.upstreams.release_answers()
        self._schedule_loop_timer(now)

    def _defer_actions(self) -> None:
        """Defer the pending actions until the sockets have been read.

        After a stall, an unread list update may be older than the drain grace period. Actions are deferred
        only once, as a list that keeps changing must not block them forever, and a batch that a reload runs
        in between does not end the wait.
        """
        if not self._actions_deferred:
            self._loop.call_soon(self._loop.call_soon, self._dispatch_after_sockets)
        self._actions_deferred = self._batch_scheduled = True

    def _run_guarded(self, now: float, call: Callable[..., None], args: tuple[Any, ...]) -> None:
        try:
            call(now, *args)
        except Exception:
            # An exception in the decisions costs only the visit concerned, which still gets an answer.
            self.counts["faults"] += 1
            self.logger.exception("exception in an event handler")
            pending = next((arg for arg in args if isinstance(arg, PendingVisit)), None)
            if pending is not None and not pending.answered:
                self.answer_error(pending.tag)
                self._discard_visit(pending)
                for exchange in pending.exchanges:
                    if exchange is not None:
                        exchange.fail(FailureReason.CANCELLED)

    def _schedule_loop_timer(self, now: float) -> None:
        if not self._timers:
            return
        due = self._timers[0][0]
        if self._loop_timer is None or due < self._loop_timer_at:
            if self._loop_timer is not None:
                self._loop_timer.cancel()
            self._loop_timer_at = due
            # the event loop's timers have millisecond resolution
            self._loop_timer = self._loop.call_later(max(0.0, due - now + 0.5) / 1e3, self._on_loop_timer)

    def _on_loop_timer(self) -> None:
        self._loop_timer = None
        if self._batch_scheduled:
            return
        if self._timers and clock() - self._timers[0][0] > LATE_TIMER_MS:
            # The event loop runs timers before it reads sockets. After a delay, due timers would decide
            # without knowing of an unread drain, answer or disconnect, so sockets are read first.
            self._batch_scheduled = True
            self._loop.call_soon(self._loop.call_soon, self._dispatch)
        else:
            self._dispatch()

    # -- visits -------------------------------------------------------------------------------------------

    def process_takeover_events(self, now: float) -> None:
        """Carry out what takeover has decided."""
        if self.takeover_adapter is not None:
            self.takeover_adapter.process_events(now)

    @property
    def keeps_outcomes(self) -> bool:
        """Whether clients may ask for the outcome of a request."""
        return self.takeover_adapter is not None

    def prefix_name(self, prefix: int) -> str:
        return self._config.prefix_names[prefix]

    def place(self, upstream: int) -> tuple[str, int]:
        """Zone and cell of an upstream."""
        return self.directory.place(upstream)

    def accept_request(self, request: Request, client: ClientConnection) -> bool:
        """Start a visit for a request, or join it to its open visit; False if its id is in use otherwise."""
        if request.request_id in self._open_ids:
            if self.takeover_adapter is not None and self.takeover_adapter.join_visit_in_progress(
                request, client
            ):
                self._release_request(request)
                return True
            # one that has a secret is not kept from its outcome by whoever has used its id here
            if not (request.asks_for_outcome and request.proof):
                return False
        if self._has_run_before(request):
            return False
        self._open_ids[request.request_id] += 1
        self._last_tag += 1
        prefix_settings = self._config.deployment.prefixes[request.prefix_index]
        pending = self.visits[self._last_tag] = PendingVisit(self._last_tag, request, prefix_settings, client)
        pending.arrived_at = clock() - client.ms_since_received()
        client.tag = self._last_tag
        self.enqueue(self._begin_visit, pending)
        return True

    def _has_run_before(self, request: Request) -> bool:
        """Whether a request must not run under its id again, as a former one may have run under it."""
        if self.takeover_adapter is not None and request.asks_for_outcome:
            return False  # its acceptors know what became of it
        kind = self._config.deployment.prefixes[request.prefix_index].kind
        return kind is not Kind.READ_LIKE and self._used_ids.contains(clock(), request.request_id)

    def _release_request(self, request: Request) -> None:
        """Release the memory that a request was charged when it was received."""
        self.budgets.requests.charge(-request.held_bytes)
        request.held_bytes = 0

    def client_left(self, client: ClientConnection) -> None:
        """Record that the client of a visit has disconnected."""
        pending = self.visits.get(client.tag)
        if pending is not None and pending.client is client:
            pending.client, pending.client_left = None, True
            self.enqueue(self._on_client_left, pending)

    def ready(self) -> bool:
        """Readiness for health checks: a valid list lease and at least one upstream that is ready."""
        return not self.closing and self.directory.any_ready() and self.balancer.lease.ready(clock())

    def _begin_visit(self, now: float, pending: PendingVisit) -> None:
        """Determine the time left for a visit, set its backstop timer and pass it on."""
        if pending.client is None:
            self._discard_visit(pending)
            return
        self.counts["visits"] += 1
        request, prefix_settings = pending.request, pending.prefix_settings
        time_left = prefix_settings.client_timeout
        if request.time_left is not None:
            time_left = min(time_left, request.time_left)
        # Time that the request spent in its socket or in the listen queue while the loop was late counts,
        # too. Otherwise the upstream would be given more time than is left, and the client answered after its
        # timeout.
        waited = now - pending.arrived_at
        if now <= self.stood_to:
            # A request may have waited in its socket during a stall and would be forwarded for a client that
            # has gone. Not every OS reports when it arrived, so the whole stall counts.
            waited = max(waited, now - self._stalled_from)
        time_left -= waited
        pending.backstop_timer = self._loop.call_later(
            max(0.0, time_left + BACKSTOP_DELAY_MS) / 1e3, self.enqueue, self._on_overdue, pending
        )
        if self.takeover_adapter is None or self.takeover_adapter.admit(
            now, pending, time_left, prefix_settings.kind
        ):
            self.decide(now, pending, time_left, ())

    def decide(
        self,
        now: float,
        pending: PendingVisit,
        time_left: float,
        prior_fetches: Sequence[tuple[str, int, float]],
    ) -> None:
        """Pass a visit to the decisions. `prior_fetches`: those that other balancers may have sent before, as
        (zone, cell, ms ago).
        """
        try:
            prefix = self._config.deployment.prefixes.index(pending.prefix_settings)
        except ValueError:
            # A reload came while the visit waited: its path prefix now has another index or no longer exists.
            return self.answer_error(pending.tag) if prior_fetches else self.refuse(pending.tag)
        request = pending.request
        before = [
            (self.directory.zone_index.get(zone, -1), cell, now - ago) for zone, cell, ago in prior_fetches
        ]
        pending.exchanges = [None] * len(before)
        pending.decision = self.balancer.accept_visit(
            now, pending.tag, prefix, time_left, request.is_repeat, before
        )
        if self.takeover_adapter is not None and len(pending.exchanges) == len(before):
            self.takeover_adapter.register_if_queued(now, pending)
        self._discard_if_settled(pending)

    def adopt_visit(
        self,
        now: float,
        tag: int,
        request: Request,
        time_left: float,
        prior_fetches: Sequence[tuple[str, int, float]],
    ) -> None:
        """Take over a visit of a failed balancer; no client waits for it here."""
        pending = self.visits[tag] = PendingVisit(
            tag, request, self._config.deployment.prefixes[request.prefix_index], None
        )
        pending.arrived_at = now
        self._open_ids[request.request_id] += 1
        pending.backstop_timer = self._loop.call_later(
            max(0.0, time_left + BACKSTOP_DELAY_MS) / 1e3, self.enqueue, self._on_overdue, pending
        )
        self.decide(now, pending, time_left, prior_fetches)

    def refuse(self, tag: int) -> None:
        """Answer a visit that the decisions have not seen with "retry": no fetch of it ran."""
        self.bounce(tag, self._config.deployment.max_retry_after)

    def close_visit(self, now: float, pending: PendingVisit) -> None:
        """Close a visit for which this balancer is no longer responsible."""
        pending.answered = True
        if pending.decision is not None:
            pending.decision.client_left(now)
        self._discard_if_settled(pending)

    def _on_client_left(self, now: float, pending: PendingVisit) -> None:
        if not pending.client_left:
            return  # another connection of its client has joined it since
        if self.takeover_adapter is not None and not pending.answered:
            if self.takeover_adapter.continue_without_client(now, pending, pending.prefix_settings.kind):
                return  # open fetches continue; no new one starts unless the client asks again
            if pending.decision is None:
                self._discard_visit(pending)
        if pending.decision is not None:
            self.counts["clients_left"] += not pending.answered
            pending.answered = True
            pending.decision.client_left(now)
            for number, exchange in enumerate(pending.exchanges):
                if exchange is not None:
                    exchange.withdraw()
                elif self.takeover_adapter is not None and self.takeover_adapter.cancel_waiting_fetch(
                    pending, number
                ):
                    # Its acceptors were told that it is over and will not reply, so its end is reported here;
                    # otherwise the visit would stay open forever.
                    self.enqueue(
                        self.ended,
                        pending,
                        number,
                        ExchangeFailure(ExchangeStage.CONNECTING, FailureReason.WITHDRAWN),
                    )
            self._discard_if_settled(pending)

    def _on_overdue(self, now: float, pending: PendingVisit) -> None:
        """Backstop: answer a visit that has none yet, whatever went wrong."""
        if pending.answered and not (
            self.takeover_adapter is not None and self.takeover_adapter.cancel_waiting_reply(pending.tag)
        ):
            return self._discard_if_settled(pending)
        self.counts["overdue"] += 1
        self.logger.error("visit answered by the backstop", fetches=len(pending.exchanges))
        self.answer_error(pending.tag)
        if pending.decision is not None:
            pending.decision.client_left(now)
        self._discard_if_settled(pending)

    def ended(
        self, now: float, pending: PendingVisit, number: int, outcome: Answer | ExchangeFailure
    ) -> None:
        """Report the end of a fetch to the decisions; if it delivered, answer the client."""
        end = reported = classify_end(outcome)
        self.counts[end.name.lower()] += 1
        pending.fetch_ends.append(end.name.lower())
        exchange = pending.exchanges[number]
        elapsed = 0.0
        if exchange is not None:
            # Time beyond the fetch's deadline is our own delay. Reported as the upstreams', a 30 s stall made
            # all of them look slow, and all requests were rejected for 4 s.
            elapsed = min(now, exchange.deadline) - exchange.sent
            if end is End.TIMED_OUT and now <= self.stood_to and exchange.sent <= self._stalled_from:
                reported = End.CANCELLED  # stalled: its answer may be unread in the socket
        pending.last_timed_out = end is End.TIMED_OUT
        pending.may_have_run = pending.may_have_run or may_have_run(outcome)
        report: tuple[float, ...] = ()
        if isinstance(outcome, Answer):
            report = parse_load_report(outcome.report, self._report_fields) if outcome.report else ()
            if end is End.DELIVERED and not pending.answered:
                pending.answered = True
                self.latencies_ms.append(now - pending.arrived_at)
                reply = pending, 200, outcome.head, outcome.body
                if self.takeover_adapter is None or self.takeover_adapter.store_answer(now, pending, reply):
                    self._pending_actions.append((self.reply, reply))
        if pending.decision is not None:
            pending.decision.fetch_ended(now, number, reported, elapsed, pending.answered, report)
            self._discard_if_settled(pending)

    def answer_all(self) -> None:
        """At shutdown: answer all visits that have no answer yet."""
        for pending in self.visits.values():
            self.enqueue(self._on_overdue, pending)

    def has_unanswered_visits(self) -> bool:
        """Whether any visit has no answer yet."""
        return any(not pending.answered for pending in self.visits.values())

    def close(self) -> None:
        self._timers.clear()
        if self._loop_timer is not None:
            self._loop_timer.cancel()
        self.discovery.close()
        self.upstreams.close()

    def _discard_if_settled(self, pending: PendingVisit) -> None:
        if self.takeover_adapter is not None and self.takeover_adapter.has_waiting_action(pending.tag):
            return
        if (
            pending.decision.settled
            if pending.decision is not None
            else pending.answered and pending.client is None
        ):
            self._discard_visit(pending)

    def _discard_visit(self, pending: PendingVisit) -> None:
        if self.visits.pop(pending.tag, None) is not None:
            if pending.prefix_settings.kind is not Kind.READ_LIKE and pending.has_effect():
                self._used_ids.add(clock(), pending.request.request_id)
            self._open_ids[pending.request.request_id] -= 1
            if not self._open_ids[pending.request.request_id]:
                del self._open_ids[pending.request.request_id]
            self._release_request(pending.request)
            if self.takeover_adapter is not None:
                self.takeover_adapter.remove(pending.tag)
        if pending.backstop_timer is not None:
            pending.backstop_timer.cancel()

    def reply(self, now: float, pending: PendingVisit, status: int, fields: bytes, body: bytes) -> None:
        """Send the final answer to the client, if it still waits."""
        if pending.client is not None:
            client, pending.client = pending.client, None
            client.reply(status, fields, body)
            self.counts[f"answers_{status}"] += 1
        # Without this, a visit that was queued and given up in another visit's batch was never removed.
        self._discard_if_settled(pending)

    # -- upstreams ----------------------------------------------------------------------------------------

    def _start_fetch(
        self, now: float, pending: PendingVisit, number: int, upstream: int, generation: int, until: float
    ) -> None:
        if self.takeover_adapter is None or self.takeover_adapter.may_write_fetch(
            now, pending, number, upstream, generation, until
        ):
            self.write(now, pending, number, upstream, generation, until)

    def write(
        self, now: float, pending: PendingVisit, number: int, upstream: int, generation: int, until: float
    ) -> None:
        """Start a fetch with deadline `until` (ms), unless the upstream has changed since `generation`."""
        request, time_out = pending.request, until - now
        if time_out <= 0 or generation != self.upstreams.pools[upstream].generation:
            return self.enqueue(
                self.ended,
                pending,
                number,
                ExchangeFailure(ExchangeStage.CONNECTING, FailureReason.WITHDRAWN),
            )
        exchange = pending.exchanges[number] = Exchange(
            request.head(),
            request.body,
            now,
            time_out,
            request.method == b"HEAD",
            lambda outcome: self.enqueue(self.ended, pending, number, outcome),
            pending.client_state,
        )
        if pending.decision is not None:
            exchange.start_before = pending.decision.repeat_deadline
        self.upstreams.pools[upstream].run(exchange)

    def _cancel_fetch(self, now: float, pending: PendingVisit, number: int) -> None:
        exchange = pending.exchanges[number]
        if exchange is not None:
            exchange.fail(FailureReason.CANCELLED)
        elif self.takeover_adapter is not None and self.takeover_adapter.cancel_waiting_fetch(
            pending, number
        ):
            self.enqueue(
                self.ended,
                pending,
                number,
                ExchangeFailure(ExchangeStage.CONNECTING, FailureReason.WITHDRAWN),
            )

    def _send_probe(self, now: float, upstream: int) -> None:
        pool = self.upstreams.pools[upstream]
        path = b"/stats" if self._report_fields else b"/health/live"
        head = b"GET %b HTTP/1.1\r\nHost: %b:%d\r\n" % (path, pool.address[0].encode(), pool.address[1])
        exchange = Exchange(
            head,
            b"",
            now,
            PROBE_TIMEOUT_FACTOR * self._config.connect_timeout_ms,
            False,
            lambda outcome: self.enqueue(self._on_probe_ended, upstream, now, outcome),
        )
        pool.run(exchange)

    def _on_probe_ended(
        self, now: float, upstream: int, sent: float, outcome: Answer | ExchangeFailure
    ) -> None:
        report: tuple[float, ...] = ()
        if isinstance(outcome, Answer):
            report = parse_load_report(outcome.report or outcome.body, self._report_fields)
        end = classify_end(outcome)
        self.counts["probes"] += 1
        self.balancer.probe_ended(now, upstream, end, now - sent, report)

    # -- the upstream list --------------------------------------------------------------------------------

    def _schedule_list_call(self) -> None:
        """Set a timer for the next paced list call."""
        if self._pace is not None and self._pace.next_call_at < inf:
            self.call_at(self._pace.next_call_at, self._make_list_call)

    def _make_list_call(self, now: float) -> None:
        if self._pace is not None and now >= self._pace.next_call_at:
            self._pace.call_started(now)
            self._schedule_list_call()
            self.discovery.watch(True)

    def _request_list_call(self, now: float) -> None:
        if self._pace is not None:
            self._pace.request_watch(now)
            self._schedule_list_call()

    def _on_lease_message(self, now: float, message: LeaseMessage) -> None:
        """Update the list lease from the outcome of a list call: it is shortened or renewed."""
        self._lease_log.apply(now, message)
        if isinstance(message, UpdateRead) and self.balancer.lease.has_lost_update:
            self._repeat_list_call(now)

    def _repeat_list_call(self, now: float) -> None:
        """Call again: the answer does not settle a possibly lost update, being requested before the loss."""
        if self._pace is not None:
            if self._pace.next_call_at == inf:
                self._pace.update_lost(now)
                self._schedule_list_call()
        elif self._config.deployment.ask_for_list:
            self.balancer.schedule_list_call(now)
        elif not self.discovery.watch_unanswered:
            self.discovery.watch(True)

    def _on_list_call_failed(self, now: float, failure: CallFailure) -> None:
        relayed = self.bank is not None and self.bank.told_nothing()
        if self._pace is not None:
            self._pace.call_failed(now, failure.retry_after_ms, relayed)
            # A list service that goes down resets the calls of the whole bank, which must still keep its
            # pace.
            if failure.partly_received:
                self._pace.update_lost(now)
            self._schedule_list_call()
        elif not self._config.deployment.ask_for_list:
            # For a pushed list, every change counts as received even if no watch is open. The decisions
            # expect no failed calls then, and their retry delays, meant for polling, are far too long.
            self.call_at(now + self._watch_retry_ms * (0.5 + self._random()), self._reopen_watch)
            self._watch_retry_ms = min(2 * self._watch_retry_ms, MAX_WATCH_RETRY_MS)
            return
        self.balancer.list_call_failed(now, failure.lost, failure.rejected)

    def _reopen_watch(self, now: float) -> None:
        if not self._config.deployment.ask_for_list and not self.discovery.has_watch:
            self.discovery.watch(True)

    def _hasten_list_call(self, now: float) -> None:
        """Schedule the next list call as if no other balancer forwarded the list."""
        if self._pace is not None:
            self._pace.relays_lost(now)
            self._schedule_list_call()

    def _on_bank_message(self, now: float, body: bytes) -> None:
        if self._config.deployment.may_tell:
            self.balancer.receive_hint(now, body)

    def _on_list_from_balancer(self, now: float, forwarded: Any) -> None:
        """Apply a newer upstream list that another balancer received and forwarded."""
        if forwarded.rev <= self.discovery.rev:
            return
        text = b'{"rev":%d,"all":%b,"targets":[%b]}' % (
            forwarded.rev,
            b"true" if forwarded.whole else b"false",
            b",".join(forwarded.targets),
        )
        update = parse_update(text, self.logger)
        if update is None:
            return
        self.counts["lists_from_others"] += 1
        self.discovery.record_version(update.rev)
        entries = self.directory.apply(update)
        if update.is_full:
            self.balancer.apply_list(now, entries, from_own_watch=False)
        else:
            self.balancer.apply_list_changes(now, entries, from_own_watch=False)
        if self._list_cache is not None:
            self._list_cache.service_update(changed=True)

    def _on_list_update(self, now: float, update: ListUpdate) -> None:
        self._watch_retry_ms = WATCH_RETRY_MS
        # Data from another call, or from the watch at a former address, does not count as received by our own
        # watch. Otherwise nobody would be asked any more once that watch has ended or while it receives
        # nothing.
        from_watch = self.discovery.watch_answered
        if self._pace is not None and from_watch:
            self._pace.call_answered()
        if self._list_cache is not None:
            self._list_cache.service_update(changed=update.is_full or bool(update.entries))
        if self.bank is not None:
            self.bank.told(
                update.rev,
                update.is_full,
                [(target.uid, target.state == "left", json.encode(target)) for target, _ in update.entries],
            )
        entries = self.directory.apply(update)
        if update.is_full:
            self.balancer.apply_list(now, entries, from_watch)
        else:
            self.balancer.apply_list_changes(now, entries, from_own_watch=from_watch)

    def run_maintenance(self, now: float) -> None:
        """Update the cached list; forget upstreams removed long ago, as fleets get new ids all the time."""
        self._lease_log.note_block(now)
        if self._list_cache is not None and not self._update_queued:
            # A version is cached only with the complete list. After a restart, updates up to that version
            # would never be requested again.
            whole = self.discovery.list_complete and not self.balancer.lease.has_lost_update
            self._list_cache.run_maintenance(
                self.discovery.rev if whole else 0,
                lambda: [json.encode(target) for target in self.directory.listed()],
            )
        for upstream in self.directory.forget_gone(now):
            self.balancer.remove_upstream(upstream)

    # -- Host: actions for the decisions ------------------------------------------------------------------

    def start_fetch(self, tag: int, upstream: int, timeout_ms: float) -> None:
        pending = self.visits[tag]
        if pending.fetch_ends:
            self.events.line(
                "retry",
                pending.fetch_ends[-1],
                id=pending.request.request_id.decode("latin-1"),
                after=pending.fetch_ends,
                attempt=len(pending.exchanges) + 1,
                upstream=self.directory.uid(upstream),
            )
        pending.exchanges.append(None)
        generation = self.upstreams.pools[upstream].generation
        # The timeout counts from the decision, not from when the action is executed.
        until = self._last_batch_at + timeout_ms
        self._pending_actions.append(
            (self._start_fetch, (pending, len(pending.exchanges) - 1, upstream, generation, until))
        )

    def cancel_fetch(self, tag: int, fetch: int) -> None:
        if (pending := self.visits.get(tag)) is not None:
            self._pending_actions.append((self._cancel_fetch, (pending, fetch)))

    def bounce(self, tag: int, retry_after: float) -> None:
        pending = self.visits[tag]
        pending.answered = True
        self._log_refusal("rejected", pending)
        fields = b"Retry-After: %.3f\r\n" % (retry_after / 1e3) if retry_after else b""
        reply = pending, 503, fields, b"no room, try again\n"
        if self.takeover_adapter is None or self.takeover_adapter.may_bounce(
            self._last_batch_at, pending, reply
        ):
            self._pending_actions.append((self.reply, reply))

    def answer_error(self, tag: int) -> None:
        pending = self.visits[tag]
        pending.answered = True
        self._log_refusal("failed", pending)
        if self.takeover_adapter is not None:
            self.takeover_adapter.report_failure(self._last_batch_at, pending)
        self._pending_actions.append(
            (self.reply, (pending, 504 if pending.last_timed_out else 502, b"", b"no answer\n"))
        )

    def _log_refusal(self, event: str, pending: PendingVisit) -> None:
        """Log why a request gets an answer that did not come from an upstream."""
        why = "its attempts failed" if pending.fetch_ends else "no upstream has room for it in time"
        if (withheld := self.balancer.lease.block_reason(self._last_batch_at)) is not None:
            why = withheld.value
        self.events.line(
            event,
            why,
            id=pending.request.request_id.decode("latin-1"),
            prefix=pending.prefix_settings.name,
            attempts=pending.fetch_ends,
        )

    def call_at(self, at: float, call: Callable[[float], None]) -> None:
        self._timer_number += 1
        heappush(self._timers, (at, self._timer_number, call))

    def send_probe(self, upstream: int) -> None:
        self._pending_actions.append((self._send_probe, (upstream,)))

    def close_idle_connections(self, upstream: int) -> None:
        self._pending_actions.append(
            (lambda now: self.upstreams.pools[upstream].close_idle("it may be silent"), ())
        )

    def broadcast(self, message: bytes) -> None:
        if self.bank is not None:  # without links nothing is sent; these messages are only hints
            self.bank.tell(message)

    def watch_list(self, on: bool) -> None:
        if self._pace is not None:
            self._pending_actions.append((self._request_list_call, ()))
            return
        self._pending_actions.append((lambda now: self.discovery.watch(on), ()))

    def poll_list(self) -> None:
        self._pending_actions.append((lambda now: self.discovery.poll(), ()))

    def log(self, text: str) -> None:
        self.logger.info(text)
