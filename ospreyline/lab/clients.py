"""The model of clients, and of the front that deals their visits out among the balancers of their zone.

Assumptions. First tries come as a Poisson stream whose rate may swing, ramp and burst, and do not wait
for answers; beside them closed clients may think, ask and wait. A client gives each try a share of its
whole client timeout, comes again after a bounce (as long as it was told, or after its own backoff), a cut
connection or, where that is harmless, an error, and gives up when its time or its tries are over. The
front notices a dead balancer after a while; until then visits dealt to it are cut at once. What is wanted
is counted by first tries: an answer within the target latency of the first one earns the gain.
"""

from __future__ import annotations

from collections.abc import Callable
from math import inf, pi, sin

from ospreyline.lab.bank import Ask, Balancer
from ospreyline.lab.links import Links
from ospreyline.lab.scenario import Scenario
from ospreyline.lab.world import Due, Picker, Streams, World, exponential, sampler, zipf


class Front:
    """Which balancer a visit comes to: by weight among those of its zone that are thought to live."""

    def __init__(self, world: World, scenario: Scenario, streams: Streams, zones: list[int]) -> None:
        self._world = world
        self._draw = streams.uniform("front")
        self._notice = scenario.bank.notice_ms
        draw = streams.uniform("skew")
        skew = sampler("lognormal" if scenario.bank.skew else "const", 1.0, scenario.bank.skew)
        self.weights = [skew(draw) for _ in zones]
        self.zones = zones  # of each balancer, by number
        self.living: list[Balancer | None] = [None] * len(zones)
        self._open = [True] * len(zones)  # as the front sees it
        self._closing: list[Due | None] = [None] * len(zones)
        self._pickers: dict[int, tuple[list[int], Picker] | None] = {}

    def ready(self, balancer: Balancer) -> None:
        """A balancer answers as ready: it is dealt visits from now on."""
        number = balancer.number
        self.living[number] = balancer
        self._world.drop(self._closing[number])
        self._closing[number] = None
        if not self._open[number]:
            self._open[number] = True
            self._pickers.clear()

    def died(self, number: int, told: bool = False) -> None:
        """One has died; told: it left by itself, so that nothing more is dealt to it."""
        self.living[number] = None
        self._world.drop(self._closing[number])
        if told:
            self._shut(number)
        else:
            low, high = self._notice
            self._closing[number] = self._world.after(low + (high - low) * self._draw(), self._shut, number)

    def _shut(self, number: int) -> None:
        self._open[number] = False
        self._pickers.clear()

    def deal(self, zone: int) -> Balancer | None:
        """The balancer a visit of the zone comes to; None if that one is dead, or no one is left."""
        if zone not in self._pickers:
            numbers = [n for n, z in enumerate(self.zones) if z == zone and self._open[n]] or [
                n for n in range(len(self.zones)) if self._open[n]
            ]
            self._pickers[zone] = (numbers, Picker([self.weights[n] for n in numbers])) if numbers else None
        found = self._pickers[zone]
        if found is None:
            return None
        numbers, picker = found
        return self.living[numbers[picker.at(self._draw())]]


class Want:
    """What one client wants: a first try and those that follow it."""

    __slots__ = (
        "_clients",
        "asked",
        "asks",
        "ended",
        "first",
        "key",
        "leaving",
        "outcome",
        "patience",
        "prefix",
        "since",
        "tenant",
        "tries",
        "until",
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
        terms = clients.scenario.prefixes[prefix]
        self.until = self.since + terms.timeout_ms
        self.patience = inf
        self.tries = 0
        self.asked: Ask | None = None
        self.asks: list[Ask] = []
        self.first = 0  # number of its first try
        self.leaving: Due | None = None
        self.outcome = ""  # in time, late, failed
        self.ended: Callable[[Want], None] | None = None

    def heard(self, ask: Ask, way: float) -> None:
        """An answer is on its way to the client."""
        self._clients.world.after(way, self._clients.answered, self, ask)


class Clients:
    """All clients of a day."""

    def __init__(
        self,
        world: World,
        scenario: Scenario,
        links: Links,
        streams: Streams,
        front: Front,
        counted: Callable[[Want], None],
        numbered: Callable[[Ask], None],
    ) -> None:
        self.world = world
        self.scenario = scenario
        self.links = links
        self.front = front
        self._counted = counted  # called when a want has come to its end
        self._numbered = numbered  # called with each try as it is sent
        self._arrivals = streams.uniform("arrivals")
        self._traits = streams.uniform("traits")
        self._works = streams.uniform("work")
        self._manners = streams.uniform("manners")
        load = scenario.load
        self._zone_weights = list(scenario.zones.traffic) or [1.0] * len(scenario.zones.names)
        self._zones = Picker(self._zone_weights)
        self._prefixes = Picker([p.share for p in scenario.prefixes])
        self._tenants = Picker([t.share for t in scenario.tenants]) if scenario.tenants else None
        self._keys = zipf(load.keys, load.zipf) if load.keys else None
        self._sample = [sampler(p.dist, p.work_ms, p.cv) for p in scenario.prefixes]
        self._rate = scenario.rate() / 1e3  # a ms
        self.factor = 1.0  # of the rate, by faults
        self.heavy: dict[int, tuple[float, float]] = {}  # by prefix: share of its visits, times the work
        self.tries = 0
        self.open = 0
        self._end = scenario.day.seconds * 1e3

    def begin(self) -> None:
        if self._rate:
            self.world.after(0.0, self._next)
        think = self.scenario.load.think_ms
        for _ in range(self.scenario.load.closed):
            self.world.after(think * self._arrivals(), self._think)

    def skew(self, zone: int, times: float) -> None:
        """A zone is asked so many times its share."""
        self._zone_weights[zone] *= times
        self._zones = Picker(self._zone_weights)

    def rate(self) -> float:
        """First tries a ms now."""
        load, now = self.scenario.load, self.world.now
        rate = self._rate * self.factor
        if load.swing:
            rate *= 1 + load.swing * sin(2 * pi * now / (1e3 * load.period_s))
        if load.ramp:
            rate *= 1 + load.ramp * now / self._end
        return rate

    def _next(self) -> None:
        """One first try, or none where the rate is under its top, and the time of the next."""
        if self.world.now >= self._end:
            return
        load = self.scenario.load
        # thinned from a stream at the top rate, so that a change of rate acts at once
        top = self._rate * max(1.0, self.factor) * (1 + load.swing) * (1 + load.ramp)
        if self._arrivals() < self.rate() / top:
            self._want(None)
        self.world.after(exponential(self._arrivals(), 1 / top), self._next)

    def _think(self) -> None:
        if self.world.now < self._end:
            self._want(self._thinks_again)

    def _thinks_again(self, want: Want) -> None:
        self.world.after(exponential(self._arrivals(), self.scenario.load.think_ms), self._think)

    def _want(self, ended: Callable[[Want], None] | None) -> None:
        draw = self._traits
        prefix = self._prefixes.at(draw())
        key = 1 + self._keys.at(draw()) if self._keys else 0
        tenant = self._tenants.at(draw()) if self._tenants else -1
        zone = self._zones.at(draw())
        work = self._sample[prefix](self._works)
        if self.heavy and prefix in self.heavy:
            share, times = self.heavy[prefix]
            if draw() < share:
                work *= times
        want = Want(self, prefix, zone, tenant, key, work)
        want.ended = ended
        impatient = self.scenario.clients.impatient
        if impatient and draw() < impatient:
            want.patience = draw() * (want.until - want.since)
        self.open += 1
        self._try(want)

    def _try(self, want: Want) -> None:
        now, terms = self.world.now, self.scenario.prefixes[want.prefix]
        ttl = min(want.until - now, self.scenario.clients.patience * terms.timeout_ms)
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
        want.asked = ask
        want.asks.append(ask)
        want.first = want.first or ask.number
        self._numbered(ask)
        balancer = self.front.deal(want.zone)
        if balancer is None:
            ask.answer = "cut"
            ask.answered_at = now
            want.heard(ask, 2 * self.links.client())
            return
        self.world.after(self.links.client(), self._deliver, balancer, ask)
        leaves = min(now + ttl, want.since + want.patience)
        want.leaving = self.world.at(leaves, self._leave, want, ask)

    def _deliver(self, balancer: Balancer, ask: Ask) -> None:
        if balancer.living:
            balancer.take(ask)
        elif not ask.answer:
            ask.answer = "cut"
            ask.answered_at = self.world.now
            ask.want.heard(ask, self.links.client())

    def _leave(self, want: Want, ask: Ask) -> None:
        """The client gives the try up: its time is over, or it has none of it left."""
        if ask.balancer is not None and ask.balancer.living:
            self.world.after(self.links.client(), ask.balancer.client_left, ask)
        if want.asked is not ask:
            return
        want.asked = None
        if self.world.now >= want.since + want.patience:
            self._over(want, "failed")
        else:
            self._again(want, ask, "left")

    def answered(self, want: Want, ask: Ask) -> None:
        """The client has the answer to a try."""
        if want.asked is not ask:
            return  # it had given it up
        want.asked = None
        self.world.drop(want.leaving)
        if ask.answer == "delivered":
            late = self.world.now - want.since > self.scenario.prefixes[want.prefix].target_ms
            self._over(want, "late" if late else "in time")
        else:
            self._again(want, ask, ask.answer)

    def _again(self, want: Want, ask: Ask, why: str) -> None:
        """Whether the client comes again, and when."""
        figures = self.scenario.clients
        harmless = why in ("bounced", "cut") or (
            figures.after_errors and self.scenario.prefixes[want.prefix].kind != "mutating"
        )
        if (
            why == "cut"
            and ask.balancer is not None
            and self.scenario.prefixes[want.prefix].kind == "mutating"
        ):
            harmless = False  # it may have run
        if want.tries > figures.retries or not harmless:
            self._over(want, "failed")
            return
        wait = 0.0
        if figures.backoff != "none":
            wait = figures.backoff_ms * (2.0 ** (want.tries - 1) if figures.backoff == "exp" else 1.0)
            wait *= 0.5 + self._manners()
        if why == "bounced" and ask.retry_after and self._manners() < figures.honour:
            wait = ask.retry_after * (1 + 0.1 * self._manners())
        if self.world.now + wait >= want.until:
            self._over(want, "failed")
        else:
            self.world.after(wait, self._try, want)

    def _over(self, want: Want, outcome: str) -> None:
        want.outcome = outcome
        self.open -= 1
        self._counted(want)
        if want.ended is not None:
            want.ended(want)
