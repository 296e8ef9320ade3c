"""Capacity model: the cost of each role at a given size, beside its budget; which budget is exceeded first.

No I/O. A row is one quantity of one role; its parts are the costs of single mechanisms, each computed from a
slope. `flat` is the current design, in which every balancer receives everything. `scoped` is the design under
construction, in which a balancer holds only what it serves; its rows use slopes of their own, and are
`not measured` where these have no points.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from dataclasses import dataclass, field

from ospreyline.capacity.size import Size
from ospreyline.capacity.slopes import Slope
from ospreyline.decide import MIN_BALANCERS_PER_UPSTREAM, MIN_UPSTREAMS_IN_USE
from ospreyline.fleet.frames import MAX_MESSAGE_BYTES
from ospreyline.fleet.links import MAX_LINKS
from ospreyline.fleet.list_relay import HEARTBEAT_MS, RELAYS_USED
from ospreyline.fleet.members import MAX_MEMBERS
from ospreyline.fleet.publisher import MAX_SUBSCRIBERS
from ospreyline.net.list_call import MAX_LINE_BYTES

SECONDS_A_DAY = 86_400.0
EMPTY_LINES_PER_S = 0.5  # on a watch
DEFAULT_DESCRIPTORS = 1_024  # default limit of a balancer process
BYTES_PER_MB = 1e6
FLAT, SCOPED = "flat", "scoped"
Slopes = dict[str, Slope]


@dataclass(slots=True, frozen=True)
class Part:
    """The cost of one mechanism in a row. `value` None: not measured."""

    mechanism: str
    value: float | None
    slope: str = ""  # name of the slope; empty: counted, not measured
    size: float = 0.0  # at which the slope was evaluated
    measured_to: float = 0.0  # largest size that was measured

    @property
    def extrapolated(self) -> bool:
        return self.size > self.measured_to > 0


@dataclass(slots=True, frozen=True)
class Row:
    """One quantity of one role, or of one kind of bad hour."""

    design: str
    role: str
    quantity: str
    unit: str
    parts: tuple[Part, ...]
    budget: float | None = None
    budget_name: str = ""

    @property
    def value(self) -> float | None:
        values = [part.value for part in self.parts]
        return None if None in values else sum(v for v in values if v is not None)

    @property
    def largest(self) -> Part:
        return max(self.parts, key=lambda part: part.value or 0.0)

    @property
    def over_budget(self) -> bool:
        return self.budget is not None and self.value is not None and self.value > self.budget

    @property
    def key(self) -> tuple[str, str, str]:
        return self.design, self.role, self.quantity


@dataclass(slots=True)
class _Table:
    """Evaluates slopes and collects rows."""

    slopes: Slopes
    rows: list[Row] = field(default_factory=list)

    def measured(
        self, mechanism: str, name: str, size: float, factor: float = 1.0, baseline: float = 0.0
    ) -> Part:
        """A slope at a size, times `factor`; `baseline`: what another part already includes of its value."""
        slope = self.slopes.get(name)
        value = slope.at(size) if slope is not None else None
        if slope is None or value is None:
            return Part(mechanism, None, name, size)
        return Part(mechanism, factor * max(0.0, value - baseline), name, size, slope.measured_to)

    def value(self, name: str, size: float) -> float | None:
        slope = self.slopes.get(name)
        return None if slope is None else slope.at(size)

    def value_at_smallest(self, name: str) -> float:
        slope = self.slopes.get(name)
        return 0.0 if slope is None else slope.value_at_smallest

    def add(
        self,
        design: str,
        role: str,
        quantity: str,
        unit: str,
        *parts: Part,
        budget: float | None = None,
        name: str = "",
    ) -> None:
        self.rows.append(Row(design, role, quantity, unit, parts, budget, name))


def _product(a: float | None, b: float | None) -> float | None:
    return None if a is None or b is None else a * b


def counted(mechanism: str, value: float | None) -> Part:
    """A part that is computed from the size alone, without a slope."""
    return Part(mechanism, value)


@dataclass(slots=True, frozen=True)
class _Rates:
    """Events per second on an ordinary day."""

    list_changes: float  # entries of the upstream list that change
    config_changes: float
    balancer_failures: float
    balancer_restarts: float


def daily_rates(size: Size) -> _Rates:
    """Restarts and failures fall on balancers and upstreams in proportion to their number."""
    machines = size.balancers + size.upstreams
    balancer_share = size.balancers / machines
    machine_changes = (size.restarts_a_day * size.entries_a_restart + size.failures_a_day * 2) / SECONDS_A_DAY
    return _Rates(
        machine_changes * (1 - balancer_share),
        size.changes_a_day / SECONDS_A_DAY,
        size.failures_a_day * balancer_share / SECONDS_A_DAY,
        size.restarts_a_day * balancer_share / SECONDS_A_DAY,
    )


# flat: the current design


def _balancer(table: _Table, size: Size) -> None:
    role, upstreams, rate = "balancer", size.upstreams, daily_rates(size)
    base_cpu, base_memory = (
        table.value_at_smallest("serve_cpu_pct"),
        table.value_at_smallest("serve_memory_mb"),
    )
    table.add(
        FLAT,
        role,
        "state: the list in one line",
        "bytes",
        table.measured("discovery", "list_bytes", upstreams),
        budget=MAX_LINE_BYTES,
        name="longest line that is taken",
    )
    table.add(
        FLAT,
        role,
        "state: path prefixes",
        "bytes",
        table.measured("the balancer's file", "routes_bytes", size.routes),
    )
    table.add(
        FLAT,
        role,
        "state: members",
        "members",
        counted("fleet/members", size.balancers),
        budget=MAX_MEMBERS,
        name="members kept",
    )
    table.add(
        FLAT,
        role,
        "messages",
        "a second",
        counted("watch of the list", EMPTY_LINES_PER_S + min(rate.list_changes, size.lines_per_s)),
        table.measured("links at rest", "members_rest_messages_s", size.balancers),
        table.measured("members lost", "loss_messages", size.balancers, rate.balancer_failures),
        table.measured("members restarted", "loss_messages", size.balancers, rate.balancer_restarts / 2),
        counted("configuration", rate.config_changes),
    )
    table.add(
        FLAT,
        role,
        "bytes",
        "KB/s",
        table.measured("watch of the list", "change_bytes", upstreams, rate.list_changes / 1e3),
        table.measured("links at rest", "members_rest_bytes_s", size.balancers, 1e-3),
        table.measured("members lost", "loss_bytes", size.balancers, rate.balancer_failures / 1e3),
        table.measured("members restarted", "loss_bytes", size.balancers, rate.balancer_restarts / 2e3),
        table.measured(
            "configuration, whole with each change", "routes_bytes", size.routes, rate.config_changes / 1e3
        ),
        budget=size.kb_per_s,
        name="control bytes",
    )
    table.add(
        FLAT,
        role,
        "processor time",
        "% of a core",
        table.measured("rankings of the whole list, at rest", "serve_cpu_pct", upstreams),
        table.measured(
            "path prefixes, at rest",
            "routes_cpu_pct",
            size.routes,
            baseline=table.value_at_smallest("routes_cpu_pct"),
        ),
        table.measured("links and members, at rest", "members_cpu_pct", size.balancers, baseline=base_cpu),
        table.measured(
            "changes of the list", "change_cpu_ms", upstreams, min(rate.list_changes, size.lines_per_s) / 10
        ),
        table.measured(
            "members lost and restarted",
            "loss_cpu_ms",
            size.balancers,
            (rate.balancer_failures + rate.balancer_restarts / 2) / 10,
        ),
        table.measured("reloads, over the list", "reload_cpu_ms", upstreams, rate.config_changes / 10),
        table.measured(
            "reloads, over path prefixes", "routes_reload_cpu_ms", size.routes, rate.config_changes / 10
        ),
        budget=size.cpu_pct,
        name="control processor time",
    )
    table.add(
        FLAT,
        role,
        "memory",
        "MB",
        table.measured("the process, and the whole list", "serve_memory_mb", upstreams),
        table.measured(
            "path prefixes",
            "routes_memory_mb",
            size.routes,
            baseline=table.value_at_smallest("routes_memory_mb"),
        ),
        table.measured("links and members", "members_memory_mb", size.balancers, baseline=base_memory),
        budget=size.memory_mb,
        name="control memory",
    )
    zone_upstreams = upstreams / size.zones
    table.add(
        FLAT,
        role,
        "connections",
        "descriptors",
        table.measured("links", "members_links", size.balancers),
        counted("watch of the list", 1),
        counted("upstreams of its zone that it uses", _share_used(size) * zone_upstreams),
        budget=DEFAULT_DESCRIPTORS,
        name="descriptors, default",
    )
    table.add(
        FLAT,
        role,
        "time added to a request, 99 in 100",
        "ms",
        table.measured("wall time, 171 requests a second", "added_p99_ms", upstreams),
        budget=size.added_ms,
        name="added time",
    )
    table.add(
        FLAT,
        role,
        "a change of configuration in force",
        "s",
        table.measured(
            "the whole file at the allowed bytes", "routes_bytes", size.routes, 1 / (1e3 * size.kb_per_s)
        ),
        table.measured("reload, over the list", "reload_cpu_ms", upstreams, 1e-3),
        table.measured("reload, over path prefixes", "routes_reload_cpu_ms", size.routes, 1e-3),
        budget=size.in_force_s,
        name="in force everywhere",
    )
    table.add(
        FLAT,
        role,
        "whole list at a start, at the allowed bytes",
        "s",
        table.measured("discovery", "list_bytes", upstreams, 1 / (1e3 * size.kb_per_s)),
    )
    table.add(
        FLAT,
        role,
        "processor time of a start",
        "s of a core",
        table.measured("the process, and the whole list", "start_cpu_s", upstreams),
        table.measured(
            "path prefixes",
            "routes_start_cpu_s",
            size.routes,
            baseline=table.value_at_smallest("routes_start_cpu_s"),
        ),
    )
    table.add(
        FLAT,
        role,
        "log of a start",
        "bytes",
        table.measured("a line for each upstream", "start_log_bytes", upstreams),
    )


def _share_used(size: Size) -> float:
    """The share of its zone's upstreams that a balancer sends to, from the constants of `decide`."""
    zone_upstreams = size.upstreams / size.zones
    return min(
        1.0,
        max(MIN_UPSTREAMS_IN_USE, MIN_BALANCERS_PER_UPSTREAM * size.zones / size.balancers * zone_upstreams)
        / zone_upstreams,
    )


def _list_relay(table: _Table, size: Size) -> None:
    role, rate = "passes lists on", daily_rates(size)
    subscribers = size.balancers * RELAYS_USED / size.control_machines
    messages = subscribers * (1e3 / HEARTBEAT_MS + min(rate.list_changes, size.lines_per_s))
    table.add(
        FLAT,
        role,
        "state: the list in one frame",
        "bytes",
        table.measured("fleet/lists", "list_bytes", size.upstreams),
        budget=MAX_MESSAGE_BYTES,
        name="longest frame that is read",
    )
    table.add(FLAT, role, "messages", "a second", counted("fleet/lists, beats and changes", messages))
    bytes_each = table.value("change_bytes", size.upstreams)
    table.add(
        FLAT,
        role,
        "bytes",
        "KB/s",
        counted("fleet/lists, changes", _product(bytes_each, subscribers * rate.list_changes / 1e3)),
        counted("fleet/lists, beats", subscribers * 1e3 / HEARTBEAT_MS * 40 / 1e3),
        table.measured(
            "fleet/lists, whole for the restarted",
            "list_bytes",
            size.upstreams,
            rate.balancer_restarts / size.control_machines / 1e3,
        ),
        budget=1e3 * size.machine_mb_per_s,
        name="network of a machine, assumed",
    )
    table.add(
        FLAT,
        role,
        "processor time",
        "% of a core",
        table.measured("fleet/lists, encoding", "pass_on_cpu_us", subscribers, messages / 1e4),
        budget=100,
        name="one process",
    )
    table.add(FLAT, role, "memory", "MB", table.measured("a balancer's", "serve_memory_mb", size.upstreams))
    table.add(
        FLAT,
        role,
        "connections",
        "links",
        counted("fleet/links", subscribers),
        budget=MAX_LINKS,
        name="links kept",
    )


def _list_service(table: _Table, size: Size) -> None:
    role, rate = "list service", daily_rates(size)
    table.add(
        FLAT, role, "state: the list", "bytes", table.measured("not ours", "list_bytes", size.upstreams)
    )
    table.add(
        FLAT,
        role,
        "messages",
        "a second",
        counted(
            "lines on watches",
            size.balancers * (EMPTY_LINES_PER_S + min(rate.list_changes, size.lines_per_s)),
        ),
    )
    table.add(
        FLAT,
        role,
        "bytes",
        "KB/s",
        counted(
            "changes on watches",
            _product(table.value("change_bytes", size.upstreams), size.balancers * rate.list_changes / 1e3),
        ),
        table.measured(
            "whole lists for the restarted", "list_bytes", size.upstreams, rate.balancer_restarts / 1e3
        ),
        budget=1e3 * size.machine_mb_per_s,
        name="network of a machine, assumed",
    )
    table.add(FLAT, role, "processor time", "% of a core", Part("not ours", None))
    table.add(FLAT, role, "memory", "MB", Part("not ours", None))
    table.add(FLAT, role, "connections", "watches", counted("one of each balancer", size.balancers))
    table.add(
        FLAT,
        role,
        "first calls, all at once, paced",
        "a second",
        table.measured("fleet/pace", "calls_paced_most_s", size.balancers),
        budget=size.calls_per_s,
        name="calls, assumed",
    )


def _config_source(table: _Table, size: Size) -> None:
    role, rate = "source of configuration", daily_rates(size)
    copies = size.balancers * rate.config_changes
    table.add(FLAT, role, "state", "bytes", table.measured("files of balancers", "routes_bytes", size.routes))
    table.add(FLAT, role, "messages", "a second", counted("the operators' own tool, SIGHUP", copies))
    table.add(
        FLAT,
        role,
        "bytes",
        "KB/s",
        table.measured("whole files, by the operators' own tool", "routes_bytes", size.routes, copies / 1e3),
        budget=1e3 * size.machine_mb_per_s * size.control_machines,
        name="network of the 20, assumed",
    )
    table.add(FLAT, role, "processor time", "% of a core", Part("not ours", None))
    table.add(FLAT, role, "memory", "MB", Part("not ours", None))
    table.add(FLAT, role, "connections", "copies", counted("one of each balancer", size.balancers))


def _upstreams_and_clients(table: _Table, size: Size) -> None:
    """Upstreams and clients: counted only, as they run no mechanism of the balancer."""
    balancers_each = size.balancers / size.zones * _share_used(size)
    table.add(FLAT, "upstream", "state", "bytes", counted("none", 0))
    table.add(
        FLAT, "upstream", "messages", "a second", counted("requests", size.requests_per_s / size.upstreams)
    )
    table.add(FLAT, "upstream", "bytes", "KB/s", Part("not measured", None))
    table.add(FLAT, "upstream", "processor time", "% of a core", Part("not ours", None))
    table.add(FLAT, "upstream", "memory", "MB", Part("not ours", None))
    table.add(
        FLAT,
        "upstream",
        "connections",
        "balancers",
        counted("balancers of its zone that use it", balancers_each),
    )
    table.add(
        FLAT, "client side", "state", "bytes", counted("addresses of all balancers", 22 * size.balancers)
    )
    table.add(
        FLAT,
        "client side",
        "messages",
        "a second",
        counted("requests to one balancer", size.requests_per_s / size.balancers),
    )
    table.add(FLAT, "client side", "bytes", "KB/s", Part("not measured", None))
    table.add(FLAT, "client side", "processor time", "% of a core", Part("not ours", None))
    table.add(FLAT, "client side", "memory", "MB", Part("not ours", None))
    table.add(FLAT, "client side", "connections", "balancers", counted("any: all serve all", size.balancers))


# scoped: the design under construction; its slopes are measured once it exists


def services_per_balancer(size: Size) -> float:
    """Number of services that one balancer serves."""
    return size.services * min(1.0, size.balancers_a_service / size.balancers)


def _scoped_roles(table: _Table, size: Size) -> None:
    """The cost of ranking is measured on the current code, at as many upstreams as the balancer serves. Links
    and membership of the bank are switched off, as nobody has to know all balancers."""
    rate, services_held = daily_rates(size), services_per_balancer(size)
    served = services_held * size.upstreams / size.services
    role = "balancer"
    table.add(
        SCOPED, role, "state", "bytes", table.measured("fleet/scopes", "scoped_state_bytes", services_held)
    )
    table.add(
        SCOPED,
        role,
        "messages",
        "a second",
        table.measured("fleet/subscriber", "scoped_messages_s", services_held),
    )
    table.add(
        SCOPED,
        role,
        "bytes",
        "KB/s",
        table.measured("fleet/subscriber", "scoped_bytes_s", services_held, 1e-3),
        budget=size.kb_per_s,
        name="control bytes",
    )
    table.add(
        SCOPED,
        role,
        "processor time",
        "% of a core",
        table.measured("rankings of what it serves, at rest", "serve_cpu_pct", served),
        table.measured("fleet/subscriber", "scoped_cpu_pct", services_held),
        table.measured(
            "changes of what it serves",
            "change_cpu_ms",
            served,
            rate.list_changes * services_held / size.services / 10,
        ),
        budget=size.cpu_pct,
        name="control processor time",
    )
    table.add(
        SCOPED,
        role,
        "memory",
        "MB",
        table.measured("the process, and what it serves", "serve_memory_mb", served),
        table.measured("fleet/scopes", "scoped_state_bytes", services_held, 1 / BYTES_PER_MB),
        budget=size.memory_mb,
        name="control memory",
    )
    table.add(SCOPED, role, "connections", "links", counted("machines that pass on", 1))
    table.add(
        SCOPED,
        role,
        "time added to a request, 99 in 100",
        "ms",
        table.measured("wall time, 171 requests a second", "added_p99_ms", served),
        budget=size.added_ms,
        name="added time",
    )
    table.add(
        SCOPED,
        role,
        "a change of configuration in force",
        "s",
        table.measured("source, fan-out, subscriber", "scoped_in_force_s", size.balancers),
        budget=size.in_force_s,
        name="in force everywhere",
    )
    role, per_machine = "passes scopes on", size.balancers / size.control_machines
    table.add(
        SCOPED, role, "messages", "a second", table.measured("fleet/publisher", "fan_messages_s", per_machine)
    )
    table.add(
        SCOPED,
        role,
        "bytes",
        "KB/s",
        table.measured("fleet/publisher", "fan_bytes_s", per_machine, 1e-3),
        budget=1e3 * size.machine_mb_per_s,
        name="network of a machine, assumed",
    )
    table.add(
        SCOPED,
        role,
        "processor time",
        "% of a core",
        table.measured("fleet/publisher", "fan_cpu_pct", per_machine),
        budget=100,
        name="one process",
    )
    table.add(SCOPED, role, "memory", "MB", table.measured("all services", "fan_memory_mb", size.upstreams))
    table.add(
        SCOPED,
        role,
        "connections",
        "links",
        counted("subscribers", per_machine),
        budget=MAX_SUBSCRIBERS,
        name="subscribers of one",
    )
    table.add(
        SCOPED,
        "client side",
        "state",
        "bytes",
        counted("which balancers serve which service", 4 * size.services * size.balancers_a_service),
    )


# bad hours

SPREAD, WAVES, RACK, ZONE, REGION, ALL, CONTROL = (
    "failures and restarts over a day",
    "restarts in waves",
    "a rack is lost",
    "a zone is lost",
    "a region cut for an hour, healed",
    "all balancers restarted at once",
    "control machines lost",
)


def _mass_change(table: _Table, size: Size, event: str, entries: float, lost: float, joined: float) -> None:
    """`entries` of the list and `lost` and `joined` members change at once; what each balancer receives."""
    upstreams = size.upstreams
    change = table.value("change_bytes", upstreams)
    table.add(
        FLAT,
        event,
        "entries and members that change",
        "changes",
        counted("list", entries),
        counted("members", lost + joined),
    )
    table.add(
        FLAT,
        event,
        "told to each balancer, at the allowed bytes",
        "s",
        counted("list", _product(change, entries / (1e3 * size.kb_per_s))),
        table.measured("members", "loss_bytes", size.balancers, (lost + joined / 2) / (1e3 * size.kb_per_s)),
        budget=size.in_force_s,
        name="in force everywhere, also in a bad hour",
    )
    table.add(
        FLAT,
        event,
        "processor time of each balancer",
        "s of a core",
        table.measured("list, one line and a ranking", "change_cpu_ms", upstreams, 1e-3),
        table.measured("list, its entries", "told_whole_ms", upstreams, entries / upstreams / 1e3),
        table.measured("members", "loss_cpu_ms", size.balancers, (lost + joined / 2) / 1e3),
    )


def _bad_hours(table: _Table, size: Size) -> None:
    rate, upstreams = daily_rates(size), size.upstreams
    balancer_share = size.balancers / (size.balancers + upstreams)
    for event, factor in (
        (SPREAD, 1.0),
        (WAVES, SECONDS_A_DAY / (size.waves_a_day * size.wave_minutes * 60)),
    ):
        table.add(
            FLAT,
            event,
            "entries of the list that change",
            "a second",
            counted("list", rate.list_changes * factor),
        )
        table.add(
            FLAT,
            event,
            "bytes to each balancer",
            "KB/s",
            table.measured("list", "change_bytes", upstreams, rate.list_changes * factor / 1e3),
            table.measured(
                "members",
                "loss_bytes",
                size.balancers,
                (rate.balancer_failures + rate.balancer_restarts / 2) * factor / 1e3,
            ),
            budget=size.kb_per_s,
            name="control bytes",
        )
        table.add(
            FLAT,
            event,
            "processor time of each balancer, on top of rest",
            "% of a core",
            table.measured(
                "list", "change_cpu_ms", upstreams, min(rate.list_changes * factor, size.lines_per_s) / 10
            ),
            table.measured(
                "members",
                "loss_cpu_ms",
                size.balancers,
                (rate.balancer_failures + rate.balancer_restarts / 2) * factor / 10,
            ),
            budget=size.cpu_pct,
            name="control processor time",
        )
    rack = min(size.rack_machines, upstreams)
    _mass_change(table, size, RACK, rack * (1 - balancer_share) * 2, rack * balancer_share, 0)
    _mass_change(table, size, ZONE, upstreams / size.zones * 2, size.balancers / size.zones, 0)
    cut_balancers = size.balancers / size.regions
    _mass_change(
        table,
        size,
        REGION,
        size.restarts_a_day / 24 * size.entries_a_restart * (1 - balancer_share),
        0,
        cut_balancers + rate.balancer_restarts * 3_600,
    )
    table.add(
        FLAT,
        ALL,
        "list and members to each balancer, at the allowed bytes",
        "s",
        table.measured("whole list", "list_bytes", upstreams, 1 / (1e3 * size.kb_per_s)),
        table.measured(
            "members, on each new link", "members_start_bytes", size.balancers, 1 / (1e3 * size.kb_per_s)
        ),
    )
    table.add(
        FLAT,
        ALL,
        "bytes of the list service",
        "GB",
        table.measured("whole lists", "list_bytes", upstreams, size.balancers / 1e9),
    )
    table.add(
        FLAT,
        ALL,
        "calls at the list service, each alone",
        "a second",
        table.measured("decide", "calls_alone_most_s", size.balancers),
        budget=size.calls_per_s,
        name="calls, assumed",
    )
    table.add(
        FLAT,
        ALL,
        "calls at the list service, paced",
        "a second",
        table.measured("fleet/pace", "calls_paced_most_s", size.balancers),
        budget=size.calls_per_s,
        name="calls, assumed",
    )
    table.add(
        FLAT,
        ALL,
        "until the last has called, paced",
        "s",
        counted("fleet/pace: balancers / (0.8 x calls)", size.balancers / (0.8 * size.calls_per_s)),
    )
    relay_messages = (
        size.balancers * RELAYS_USED * (1e3 / HEARTBEAT_MS + min(rate.list_changes, size.lines_per_s))
    )
    table.add(
        FLAT,
        CONTROL,
        "machines that are needed, by links",
        "machines",
        counted("fleet/links", size.balancers * RELAYS_USED / MAX_LINKS),
        budget=size.control_machines,
        name="machines set aside",
    )
    table.add(
        FLAT,
        CONTROL,
        "machines that are needed, by processor time",
        "machines",
        table.measured(
            "fleet/lists",
            "pass_on_cpu_us",
            size.balancers * RELAYS_USED / size.control_machines,
            relay_messages / 1e6,
        ),
        budget=size.control_machines,
        name="machines set aside",
    )
    table.add(
        SCOPED,
        ALL,
        "what a return costs each balancer, at the allowed bytes",
        "s",
        table.measured(
            "fleet/subscriber", "scoped_return_bytes", services_per_balancer(size), 1 / (1e3 * size.kb_per_s)
        ),
    )
    table.add(
        SCOPED,
        ALL,
        "calls at the source",
        "a second",
        table.measured("fan-out machines", "source_calls_most_s", size.control_machines),
        budget=size.calls_per_s,
        name="calls, assumed",
    )
    table.add(
        SCOPED,
        CONTROL,
        "longest deafness of a balancer",
        "s",
        table.measured("subscriber moves on", "scoped_deaf_s", size.balancers),
        budget=size.in_force_s,
        name="in force everywhere",
    )
    table.add(
        SCOPED,
        CONTROL,
        "machines that are needed, by links",
        "machines",
        counted("fleet/publisher", size.balancers / MAX_SUBSCRIBERS),
        budget=size.control_machines,
        name="machines set aside",
    )
    per_machine = size.balancers / size.control_machines
    table.add(
        SCOPED,
        CONTROL,
        "machines that are needed, by processor time",
        "machines",
        table.measured(
            "fleet/publisher, spread over fewer", "fan_cpu_pct", per_machine, size.control_machines / 100
        ),
        budget=size.control_machines,
        name="machines set aside",
    )


ROLES: tuple[Callable[[_Table, Size], None], ...] = (
    _balancer,
    _list_relay,
    _list_service,
    _config_source,
    _upstreams_and_clients,
    _scoped_roles,
)
BAD_HOURS = (SPREAD, WAVES, RACK, ZONE, REGION, ALL, CONTROL)


def rows(size: Size, slopes: Slopes) -> list[Row]:
    """All rows: the roles on an ordinary day, then the bad hours."""
    table = _Table(slopes)
    for write in (*ROLES, _bad_hours):
        write(table, size)
    return table.rows


# which budget is exceeded first

MIN_FACTOR, MAX_FACTOR = 1e-4, 1e4


def budget_limits(size: Size, slopes: Slopes) -> dict[tuple[str, str, str], float]:
    """By row with a budget: up to which factor of the size it is kept, all scaled alike; 0: at no size."""
    out: dict[tuple[str, str, str], float] = {}
    for row in rows(size, slopes):
        if row.budget is None or row.value is None:
            continue
        low, high = MIN_FACTOR, MAX_FACTOR
        for _ in range(30):
            middle = (low * high) ** 0.5
            low, high = (
                (low, middle) if _is_over_budget(row.key, size.scaled(middle), slopes) else (middle, high)
            )
        out[row.key] = 0.0 if high < 1.01 * MIN_FACTOR else (low * high) ** 0.5
    return out


def _is_over_budget(key: tuple[str, str, str], size: Size, slopes: Slopes) -> bool:
    return any(row.key == key and row.over_budget for row in rows(size, slopes))


def over_budget_rows(size: Size, slopes: Slopes) -> Iterator[tuple[Row, float]]:
    """Rows over budget at this size with their limits; the one exceeded at the smallest size first."""
    found = budget_limits(size, slopes)
    over_budget = [row for row in rows(size, slopes) if row.over_budget]
    yield from sorted(((row, found[row.key]) for row in over_budget), key=lambda pair: pair[1])


def spare_machines(size: Size, row: Row) -> int:
    """How many control machines can be spared, by a row that says how many are needed; -1: too few."""
    assert row.value is not None
    needed = int(row.value) + (row.value > int(row.value))
    return max(-1, int(size.control_machines) - needed)
