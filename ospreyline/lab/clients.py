"""The model of clients, and of the front that distributes their visits among the balancers of their zone.

Assumptions. First tries arrive as a Poisson process whose rate may swing, ramp and burst, and do not wait for
answers (open load); closed clients may think, send a visit and wait. A client gives each try a share of its
client timeout, retries after a bounce (after its Retry-After or the client's own backoff), a cut connection
or, where that is harmless, an error, and gives up when its time or its tries are used up. The front notices
a dead balancer with a delay; until then visits sent to it are cut at once. Goodput is counted by first try: a
delivery within the target latency, measured from the first try, earns the gain.
"""

from __future__ import annotations

from collections.abc import Callable
from math import inf, pi, sin

from ospreyline.lab.bank import Ask, Balancer
from ospreyline.lab.links import Links
from ospreyline.lab.scenario import Scenario
from ospreyline.lab.world import Due, Picker, Streams, World, exponential, sampler, zipf


class Front:
    """Chooses the balancer of a visit: by weight among those of its zone that it takes for alive."""

    def __init__(self, world: World, scenario: Scenario, streams: Streams, zones: list[int]) -> None:
        self._world = world
        self._draw = streams.uniform("front")
        self._notice_ms = scenario.bank.notice_ms
        draw = streams.uniform("skew")
        skew = sampler("lognormal" if scenario.bank.skew else "const", 1.0, scenario.bank.skew)
        self.weights = [skew(draw) for _ in zones]
        self.zones = zones  # zone of each balancer, by number
        self.living: list[Balancer | None] = [None] * len(zones)
        self._in_rotation = [True] * len(zones)  # by number: whether the front sends it visits
        self._removals: list[Due | None] = [None] * len(zones)
        self._pickers: dict[int, tuple[list[int], Picker] | None] = {}

    def ready(self, balancer: Balancer) -> None:
        """A balancer reports ready: it gets visits from now on."""
        number = balancer.number
        self.living[number] = balancer
        self._world.drop(self._removals[number])
        self._removals[number] = None
        if not self._in_rotation[number]:
            self._in_rotation[number] = True
            self._pickers.clear()

    def died(self, number: int, told: bool = False) -> None:
        """A balancer has died; `told`: it announced that it stops, so it gets no more visits at once."""
        self.living[number] = None
        self._world.drop(self._removals[number])
        if told:
            self._remove_from_rotation(number)
        else:
            low, high = self._notice_ms
            self._removals[number] = self._world.after(
                low + (high - low) * self._draw(), self._remove_from_rotation, number
            )

    def _remove_from_rotation(self, number: int) -> None:
        self._in_rotation[number] = False
        self._pickers.clear()

    def choose_balancer(self, zone: int) -> Balancer | None:
        """The balancer for a visit of a zone; None if the chosen one is dead or there is none.

        Balancers of other zones are used only if the zone has none.
        """
        if zone not in self._pickers:
            numbers = [n for n, z in enumerate(self.zones) if z == zone and self._in_rotation[n]] or [
                n for n in range(len(self.zones)) if self._in_rotation[n]
            ]
            self._pickers[zone] = (numbers, Picker([self.weights[n] for n in numbers])) if numbers else None
        found = self._pickers[zone]
        if found is None:
            return None
        numbers, picker = found
        return self.living[numbers[picker.at(self._draw())]]


class Want:
    """One request of a client: its first try and its retries."""

    __slots__ = (
        "_clients",
        "asks",
        "current_ask",
        "deadline",
        "first",
        "key",
        "leave_timer",
        "on_end",
        "outcome",
        "patience",
        "prefix",
        "since",
        "tenant",
        "tries",
        "work",
        "zone",
    )

    def __init__(self, clients: Clients, prefix: int, zone: int, tenant: int, key: int, work: float) -> None:
        self._clients = clients
        self.prefix = prefix
        self.zone = zone
        self.tenant = tenant
        self.key = key
        self.work = work
        self.since = clients.world.now
        settings = clients.scenario.prefixes[prefix]
        self.deadline = self.since + settings.timeout_ms
        self.patience = inf
        self.tries = 0
        self.current_ask: Ask | None = None
        self.asks: list[Ask] = []
        self.first = 0  # number of its first try, over all clients
        self.leave_timer: Due | None = None
        self.outcome = ""  # in time, late, failed
        self.on_end: Callable[[Want], None] | None = None

    def answer_sent(self, ask: Ask, way: float) -> None:
        """An answer was sent and reaches the client in `way` ms."""
        self._clients.world.after(way, self._clients.answered, self, ask)


class Clients:
    """All clients of a simulation."""

    def __init__(
        self,
        world: World,
        scenario: Scenario,
        links: Links,
        streams: Streams,
        front: Front,
        want_finished: Callable[[Want], None],
        try_sent: Callable[[Ask], None],
    ) -> None:
        self.world = world
        self.scenario = scenario
        self.links = links
        self.front = front
        self._want_finished = want_finished  # called when a want has ended
        self._try_sent = try_sent  # called with each try as it is sent
        self._arrival_draws = streams.uniform("arrivals")
        self._trait_draws = streams.uniform("traits")
        self._work_draws = streams.uniform("work")
        self._retry_draws = streams.uniform("manners")
        load = scenario.load
        self._zone_weights = list(scenario.zones.traffic) or [1.0] * len(scenario.zones.names)
        self._zone_picker = Picker(self._zone_weights)
        self._prefix_picker = Picker([p.share for p in scenario.prefixes])
        self._tenant_picker = Picker([t.share for t in scenario.tenants]) if scenario.tenants else None
        self._key_picker = zipf(load.keys, load.zipf) if load.keys else None
        self._samplers = [sampler(p.dist, p.work_ms, p.cv) for p in scenario.prefixes]
        self._rate_per_ms = scenario.rate() / 1e3  # of first tries
        self.factor = 1.0  # of the rate, set by faults
        self.heavy_work: dict[int, tuple[float, float]] = {}  # by prefix: share of heavy visits, work factor
        self.tries = 0
        self.open = 0
        self._end_ms = scenario.day.seconds * 1e3

    def begin(self) -> None:
        if self._rate_per_ms:
            self.world.after(0.0, self._next_arrival)
        think = self.scenario.load.think_ms
        for _ in range(self.scenario.load.closed):
            self.world.after(think * self._arrival_draws(), self._start_closed)

    def skew(self, zone: int, times: float) -> None:
        """Multiply the share of the traffic that comes from a zone."""
        self._zone_weights[zone] *= times
        self._zone_picker = Picker(self._zone_weights)

    def rate(self) -> float:
        """Current rate of first tries per ms."""
        load, now = self.scenario.load, self.world.now
        rate = self._rate_per_ms * self.factor
        if load.swing:
            rate *= 1 + load.swing * sin(2 * pi * now / (1e3 * load.period_s))
        if load.ramp:
            rate *= 1 + load.ramp * now / self._end_ms
        return rate

    def _next_arrival(self) -> None:
        """Send one first try with probability rate / top rate, and schedule the next candidate."""
        if self.world.now >= self._end_ms:
            return
        load = self.scenario.load
        # thinning of a Poisson process at the top rate, so that a change of rate takes effect at once
        top = self._rate_per_ms * max(1.0, self.factor) * (1 + load.swing) * (1 + load.ramp)
        if self._arrival_draws() < self.rate() / top:
            self._start_want(None)
        self.world.after(exponential(self._arrival_draws(), 1 / top), self._next_arrival)

    def _start_closed(self) -> None:
        if self.world.now < self._end_ms:
            self._start_want(self._think)

    def _think(self, want: Want) -> None:
        self.world.after(exponential(self._arrival_draws(), self.scenario.load.think_ms), self._start_closed)

    def _start_want(self, on_end: Callable[[Want], None] | None) -> None:
        draw = self._trait_draws
        prefix = self._prefix_picker.at(draw())
        key = 1 + self._key_picker.at(draw()) if self._key_picker else 0
        tenant = self._tenant_picker.at(draw()) if self._tenant_picker else -1
        zone = self._zone_picker.at(draw())
        work = self._samplers[prefix](self._work_draws)
        if self.heavy_work and prefix in self.heavy_work:
            share, times = self.heavy_work[prefix]
            if draw() < share:
                work *= times
        want = Want(self, prefix, zone, tenant, key, work)
        want.on_end = on_end
        impatient = self.scenario.clients.impatient
        if impatient and draw() < impatient:
            want.patience = draw() * (want.deadline - want.since)
        self.open += 1
        self._try(want)

    def _try(self, want: Want) -> None:
        now, settings = self.world.now, self.scenario.prefixes[want.prefix]
        ttl = min(want.deadline - now, self.scenario.clients.patience * settings.timeout_ms)
        want.tries += 1
        self.tries += 1
        ask = Ask(
            self.tries,
            want,
            want.prefix,
            want.zone,
            want.key,
            want.tenant,
            now,
            ttl,
            want.tries > 1 and self.scenario.clients.marks,
            want.work,
        )
        want.current_ask = ask
        want.asks.append(ask)
        want.first = want.first or ask.number
        self._try_sent(ask)
        balancer = self.front.choose_balancer(want.zone)
        if balancer is None:
            ask.answer = "cut"
            ask.answered_at = now
            want.answer_sent(ask, 2 * self.links.to_client())
            return
        self.world.after(self.links.to_client(), self._deliver, balancer, ask)
        leave_at = min(now + ttl, want.since + want.patience)
        want.leave_timer = self.world.at(leave_at, self._give_up, want, ask)

    def _deliver(self, balancer: Balancer, ask: Ask) -> None:
        if balancer.living:
            balancer.take(ask)
        elif not ask.answer:
            ask.answer = "cut"
            ask.answered_at = self.world.now
            ask.want.answer_sent(ask, self.links.to_client())

    def _give_up(self, want: Want, ask: Ask) -> None:
        """The client gives up a try because of the try's timeout or its own patience."""
        if ask.balancer is not None and ask.balancer.living:
            self.world.after(self.links.to_client(), ask.balancer.client_left, ask)
        if want.current_ask is not ask:
            return
        want.current_ask = None
        if self.world.now >= want.since + want.patience:
            self._finish(want, "failed")
        else:
            self._retry_or_fail(want, ask, "left")

    def answered(self, want: Want, ask: Ask) -> None:
        """The client has received the answer to a try."""
        if want.current_ask is not ask:
            return  # the client had given up this try
        want.current_ask = None
        self.world.drop(want.leave_timer)
        if ask.answer == "delivered":
            late = self.world.now - want.since > self.scenario.prefixes[want.prefix].target_ms
            self._finish(want, "late" if late else "in time")
        else:
            self._retry_or_fail(want, ask, ask.answer)

    def _retry_or_fail(self, want: Want, ask: Ask, why: str) -> None:
        """Schedule a retry if one is allowed and fits the client's time; otherwise the want has failed."""
        figures = self.scenario.clients
        harmless = why in ("bounced", "cut") or (
            figures.after_errors and self.scenario.prefixes[want.prefix].kind != "mutating"
        )
        if (
            why == "cut"
            and ask.balancer is not None
            and self.scenario.prefixes[want.prefix].kind == "mutating"
        ):
            harmless = False  # it may have executed
        if want.tries > figures.retries or not harmless:
            self._finish(want, "failed")
            return
        wait = 0.0
        if figures.backoff != "none":
            wait = figures.backoff_ms * (2.0 ** (want.tries - 1) if figures.backoff == "exp" else 1.0)
            wait *= 0.5 + self._retry_draws()
        if why == "bounced" and ask.retry_after and self._retry_draws() < figures.honour:
            wait = ask.retry_after * (1 + 0.1 * self._retry_draws())
        if self.world.now + wait >= want.deadline:
            self._finish(want, "failed")
        else:
            self.world.after(wait, self._try, want)

    def _finish(self, want: Want, outcome: str) -> None:
        want.outcome = outcome
        self.open -= 1
        self._want_finished(want)
        if want.on_end is not None:
            want.on_end(want)
