"""From a size and the slopes to rows: what each role spends, beside its budget, and what gives first.

Pure. A row is one quantity of one role; its parts say which mechanism costs how much and from which slope
that is worked out. `flat` is the text as it stands: everybody is told everything. `scoped` is what is being
built: a balancer holds what it serves; its rows stand on slopes of their own, and say `not measured` without.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from dataclasses import dataclass, field

from ospreyline.capacity.size import Size
from ospreyline.capacity.slopes import Slope
from ospreyline.decide import MIN_BALANCERS_PER_UPSTREAM, MIN_UPSTREAMS_IN_USE
from ospreyline.fleet.frames import MAX_MESSAGE_BYTES
from ospreyline.fleet.links import MAX_LINKS
from ospreyline.fleet.lists import HEARTBEAT_MS, RELAYS_USED
from ospreyline.fleet.members import MAX_MEMBERS
from ospreyline.fleet.publisher import MAX_SUBSCRIBERS
from ospreyline.net.list_call import MAX_LINE_BYTES

DAY = 86_400.0
QUIET_LINES = 0.5  # empty lines a second on a watch
SOCKETS = 1_024  # descriptors of a balancer, by default
MB = 1e6
FLAT, SCOPED = "flat", "scoped"
Slopes = dict[str, Slope]


@dataclass(slots=True, frozen=True)
class Part:
    """What one mechanism has in a row. `value` None: not measured."""

    mechanism: str
    value: float | None
    slope: str = ""  # name of the slope; empty: counted, not measured
    size: float = 0.0  # at which it was read
    measured_to: float = 0.0

    @property
    def extrapolated(self) -> bool:
        return self.size > self.measured_to > 0


@dataclass(slots=True, frozen=True)
class Row:
    """One quantity of one role, or of one bad hour."""

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
    def broken(self) -> bool:
        return self.budget is not None and self.value is not None and self.value > self.budget

    @property
    def key(self) -> tuple[str, str, str]:
        return self.design, self.role, self.quantity


@dataclass(slots=True)
class _Table:
    """Reads slopes while rows are written."""

    slopes: Slopes
    rows: list[Row] = field(default_factory=list)

    def part(self, mechanism: str, name: str, size: float, times: float = 1.0, above: float = 0.0) -> Part:
        """A slope at a size, so many times; `above`: of its value, what another part already holds."""
        slope = self.slopes.get(name)
        value = slope.at(size) if slope is not None else None
        if slope is None or value is None:
            return Part(mechanism, None, name, size)
        return Part(mechanism, times * max(0.0, value - above), name, size, slope.measured_to)

    def value(self, name: str, size: float) -> float | None:
        slope = self.slopes.get(name)
        return None if slope is None else slope.at(size)

    def least(self, name: str) -> float:
        slope = self.slopes.get(name)
        return 0.0 if slope is None else slope.least

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


def _times(a: float | None, b: float | None) -> float | None:
    return None if a is None or b is None else a * b


def counted(mechanism: str, value: float | None) -> Part:
    return Part(mechanism, value)


@dataclass(slots=True, frozen=True)
class _Rates:
    """A second, on an ordinary day."""

    listed: float  # entries of the list that change
    configured: float
    failed: float  # balancers
    restarted: float  # balancers


def rates(size: Size) -> _Rates:
    """Restarts and failures fall on balancers and upstreams in proportion to their number."""
    machines = size.balancers + size.upstreams
    ours = size.balancers / machines
    gone = (size.restarts_a_day * size.entries_a_restart + size.failures_a_day * 2) / DAY
    return _Rates(
        gone * (1 - ours),
        size.changes_a_day / DAY,
        size.failures_a_day * ours / DAY,
        size.restarts_a_day * ours / DAY,
    )


# flat: the text as it stands


def _balancer(t: _Table, s: Size) -> None:
    role, n, r = "balancer", s.upstreams, rates(s)
    base_cpu, base_memory = t.least("serve_cpu_pct"), t.least("serve_memory_mb")
    t.add(
        FLAT,
        role,
        "state: the list in one line",
        "bytes",
        t.part("discovery", "list_bytes", n),
        budget=MAX_LINE_BYTES,
        name="longest line that is taken",
    )
    t.add(
        FLAT, role, "state: path prefixes", "bytes", t.part("the balancer's file", "routes_bytes", s.routes)
    )
    t.add(
        FLAT,
        role,
        "state: members",
        "members",
        counted("fleet/members", s.balancers),
        budget=MAX_MEMBERS,
        name="members kept",
    )
    t.add(
        FLAT,
        role,
        "messages",
        "a second",
        counted("watch of the list", QUIET_LINES + min(r.listed, s.lines_per_s)),
        t.part("links at rest", "members_rest_messages_s", s.balancers),
        t.part("members lost", "loss_messages", s.balancers, r.failed),
        t.part("members restarted", "loss_messages", s.balancers, r.restarted / 2),
        counted("configuration", r.configured),
    )
    t.add(
        FLAT,
        role,
        "bytes",
        "KB/s",
        t.part("watch of the list", "change_bytes", n, r.listed / 1e3),
        t.part("links at rest", "members_rest_bytes_s", s.balancers, 1e-3),
        t.part("members lost", "loss_bytes", s.balancers, r.failed / 1e3),
        t.part("members restarted", "loss_bytes", s.balancers, r.restarted / 2e3),
        t.part("configuration, whole with each change", "routes_bytes", s.routes, r.configured / 1e3),
        budget=s.kb_per_s,
        name="control bytes",
    )
    t.add(
        FLAT,
        role,
        "processor time",
        "% of a core",
        t.part("rankings of the whole list, at rest", "serve_cpu_pct", n),
        t.part("path prefixes, at rest", "routes_cpu_pct", s.routes, above=t.least("routes_cpu_pct")),
        t.part("links and members, at rest", "members_cpu_pct", s.balancers, above=base_cpu),
        t.part("changes of the list", "change_cpu_ms", n, min(r.listed, s.lines_per_s) / 10),
        t.part("members lost and restarted", "loss_cpu_ms", s.balancers, (r.failed + r.restarted / 2) / 10),
        t.part("reloads, over the list", "reload_cpu_ms", n, r.configured / 10),
        t.part("reloads, over path prefixes", "routes_reload_cpu_ms", s.routes, r.configured / 10),
        budget=s.cpu_pct,
        name="control processor time",
    )
    t.add(
        FLAT,
        role,
        "memory",
        "MB",
        t.part("the process, and the whole list", "serve_memory_mb", n),
        t.part("path prefixes", "routes_memory_mb", s.routes, above=t.least("routes_memory_mb")),
        t.part("links and members", "members_memory_mb", s.balancers, above=base_memory),
        budget=s.memory_mb,
        name="control memory",
    )
    ring = n / s.zones
    t.add(
        FLAT,
        role,
        "connections",
        "descriptors",
        t.part("links", "members_links", s.balancers),
        counted("watch of the list", 1),
        counted("upstreams of its zone that it uses", _used(s) * ring),
        budget=SOCKETS,
        name="descriptors, default",
    )
    t.add(
        FLAT,
        role,
        "time added to a request, 99 in 100",
        "ms",
        t.part("wall time, 171 requests a second", "added_p99_ms", n),
        budget=s.added_ms,
        name="added time",
    )
    t.add(
        FLAT,
        role,
        "a change of configuration in force",
        "s",
        t.part("the whole file at the allowed bytes", "routes_bytes", s.routes, 1 / (1e3 * s.kb_per_s)),
        t.part("reload, over the list", "reload_cpu_ms", n, 1e-3),
        t.part("reload, over path prefixes", "routes_reload_cpu_ms", s.routes, 1e-3),
        budget=s.in_force_s,
        name="in force everywhere",
    )
    t.add(
        FLAT,
        role,
        "whole list at a start, at the allowed bytes",
        "s",
        t.part("discovery", "list_bytes", n, 1 / (1e3 * s.kb_per_s)),
    )
    t.add(
        FLAT,
        role,
        "processor time of a start",
        "s of a core",
        t.part("the process, and the whole list", "start_cpu_s", n),
        t.part("path prefixes", "routes_start_cpu_s", s.routes, above=t.least("routes_start_cpu_s")),
    )
    t.add(FLAT, role, "log of a start", "bytes", t.part("a line for each upstream", "start_log_bytes", n))


def _used(s: Size) -> float:
    """The share of a zone's upstreams that a balancer there sends to: `decide`'s own figures."""
    ring = s.upstreams / s.zones
    return min(
        1.0, max(MIN_UPSTREAMS_IN_USE, MIN_BALANCERS_PER_UPSTREAM * s.zones / s.balancers * ring) / ring
    )


def _passes(t: _Table, s: Size) -> None:
    role, r = "passes lists on", rates(s)
    listeners = s.balancers * RELAYS_USED / s.control_machines
    words = listeners * (1e3 / HEARTBEAT_MS + min(r.listed, s.lines_per_s))
    t.add(
        FLAT,
        role,
        "state: the list in one frame",
        "bytes",
        t.part("fleet/lists", "list_bytes", s.upstreams),
        budget=MAX_MESSAGE_BYTES,
        name="longest frame that is read",
    )
    t.add(FLAT, role, "messages", "a second", counted("fleet/lists, beats and changes", words))
    bytes_each = t.value("change_bytes", s.upstreams)
    t.add(
        FLAT,
        role,
        "bytes",
        "KB/s",
        counted("fleet/lists, changes", _times(bytes_each, listeners * r.listed / 1e3)),
        counted("fleet/lists, beats", listeners * 1e3 / HEARTBEAT_MS * 40 / 1e3),
        t.part(
            "fleet/lists, whole for the restarted",
            "list_bytes",
            s.upstreams,
            r.restarted / s.control_machines / 1e3,
        ),
        budget=1e3 * s.machine_mb_per_s,
        name="network of a machine, assumed",
    )
    t.add(
        FLAT,
        role,
        "processor time",
        "% of a core",
        t.part("fleet/lists, encoding", "pass_on_cpu_us", listeners, words / 1e4),
        budget=100,
        name="one process",
    )
    t.add(FLAT, role, "memory", "MB", t.part("a balancer's", "serve_memory_mb", s.upstreams))
    t.add(
        FLAT,
        role,
        "connections",
        "links",
        counted("fleet/links", listeners),
        budget=MAX_LINKS,
        name="links kept",
    )


def _service(t: _Table, s: Size) -> None:
    role, r = "list service", rates(s)
    t.add(FLAT, role, "state: the list", "bytes", t.part("not ours", "list_bytes", s.upstreams))
    t.add(
        FLAT,
        role,
        "messages",
        "a second",
        counted("lines on watches", s.balancers * (QUIET_LINES + min(r.listed, s.lines_per_s))),
    )
    t.add(
        FLAT,
        role,
        "bytes",
        "KB/s",
        counted(
            "changes on watches", _times(t.value("change_bytes", s.upstreams), s.balancers * r.listed / 1e3)
        ),
        t.part("whole lists for the restarted", "list_bytes", s.upstreams, r.restarted / 1e3),
        budget=1e3 * s.machine_mb_per_s,
        name="network of a machine, assumed",
    )
    t.add(FLAT, role, "processor time", "% of a core", Part("not ours", None))
    t.add(FLAT, role, "memory", "MB", Part("not ours", None))
    t.add(FLAT, role, "connections", "watches", counted("one of each balancer", s.balancers))
    t.add(
        FLAT,
        role,
        "first calls, all at once, paced",
        "a second",
        t.part("fleet/pace", "calls_paced_most_s", s.balancers),
        budget=s.calls_per_s,
        name="calls, assumed",
    )


def _source(t: _Table, s: Size) -> None:
    role, r = "source of configuration", rates(s)
    copies = s.balancers * r.configured
    t.add(FLAT, role, "state", "bytes", t.part("files of balancers", "routes_bytes", s.routes))
    t.add(FLAT, role, "messages", "a second", counted("the operators' own tool, SIGHUP", copies))
    t.add(
        FLAT,
        role,
        "bytes",
        "KB/s",
        t.part("whole files, by the operators' own tool", "routes_bytes", s.routes, copies / 1e3),
        budget=1e3 * s.machine_mb_per_s * s.control_machines,
        name="network of the 20, assumed",
    )
    t.add(FLAT, role, "processor time", "% of a core", Part("not ours", None))
    t.add(FLAT, role, "memory", "MB", Part("not ours", None))
    t.add(FLAT, role, "connections", "copies", counted("one of each balancer", s.balancers))


def _ends(t: _Table, s: Size) -> None:
    """Upstreams and clients: counted, no mechanism of ours."""
    each = s.balancers / s.zones * _used(s)
    t.add(FLAT, "upstream", "state", "bytes", counted("none", 0))
    t.add(FLAT, "upstream", "messages", "a second", counted("requests", s.requests_per_s / s.upstreams))
    t.add(FLAT, "upstream", "bytes", "KB/s", Part("not measured", None))
    t.add(FLAT, "upstream", "processor time", "% of a core", Part("not ours", None))
    t.add(FLAT, "upstream", "memory", "MB", Part("not ours", None))
    t.add(FLAT, "upstream", "connections", "balancers", counted("balancers of its zone that use it", each))
    t.add(FLAT, "client side", "state", "bytes", counted("addresses of all balancers", 22 * s.balancers))
    t.add(
        FLAT,
        "client side",
        "messages",
        "a second",
        counted("requests to one balancer", s.requests_per_s / s.balancers),
    )
    t.add(FLAT, "client side", "bytes", "KB/s", Part("not measured", None))
    t.add(FLAT, "client side", "processor time", "% of a core", Part("not ours", None))
    t.add(FLAT, "client side", "memory", "MB", Part("not ours", None))
    t.add(FLAT, "client side", "connections", "balancers", counted("any: all serve all", s.balancers))


# scoped: what is being built; its slopes are measured when it stands


def held(s: Size) -> float:
    """Services that one balancer serves."""
    return s.services * min(1.0, s.balancers_a_service / s.balancers)


def _scoped(t: _Table, s: Size) -> None:
    """What a balancer ranks is measured on today's text, at as many upstreams as it serves. The bank's own
    links and members are off: nobody has to know all balancers."""
    r, h = rates(s), held(s)
    served = h * s.upstreams / s.services
    role = "balancer"
    t.add(SCOPED, role, "state", "bytes", t.part("fleet/scopes", "scoped_state_bytes", h))
    t.add(SCOPED, role, "messages", "a second", t.part("fleet/subscriber", "scoped_messages_s", h))
    t.add(
        SCOPED,
        role,
        "bytes",
        "KB/s",
        t.part("fleet/subscriber", "scoped_bytes_s", h, 1e-3),
        budget=s.kb_per_s,
        name="control bytes",
    )
    t.add(
        SCOPED,
        role,
        "processor time",
        "% of a core",
        t.part("rankings of what it serves, at rest", "serve_cpu_pct", served),
        t.part("fleet/subscriber", "scoped_cpu_pct", h),
        t.part("changes of what it serves", "change_cpu_ms", served, r.listed * h / s.services / 10),
        budget=s.cpu_pct,
        name="control processor time",
    )
    t.add(
        SCOPED,
        role,
        "memory",
        "MB",
        t.part("the process, and what it serves", "serve_memory_mb", served),
        t.part("fleet/scopes", "scoped_state_bytes", h, 1 / MB),
        budget=s.memory_mb,
        name="control memory",
    )
    t.add(SCOPED, role, "connections", "links", counted("machines that pass on", 1))
    t.add(
        SCOPED,
        role,
        "time added to a request, 99 in 100",
        "ms",
        t.part("wall time, 171 requests a second", "added_p99_ms", served),
        budget=s.added_ms,
        name="added time",
    )
    t.add(
        SCOPED,
        role,
        "a change of configuration in force",
        "s",
        t.part("source, fan-out, subscriber", "scoped_in_force_s", s.balancers),
        budget=s.in_force_s,
        name="in force everywhere",
    )
    role, each = "passes scopes on", s.balancers / s.control_machines
    t.add(SCOPED, role, "messages", "a second", t.part("fleet/publisher", "fan_messages_s", each))
    t.add(
        SCOPED,
        role,
        "bytes",
        "KB/s",
        t.part("fleet/publisher", "fan_bytes_s", each, 1e-3),
        budget=1e3 * s.machine_mb_per_s,
        name="network of a machine, assumed",
    )
    t.add(
        SCOPED,
        role,
        "processor time",
        "% of a core",
        t.part("fleet/publisher", "fan_cpu_pct", each),
        budget=100,
        name="one process",
    )
    t.add(SCOPED, role, "memory", "MB", t.part("all services", "fan_memory_mb", s.upstreams))
    t.add(
        SCOPED,
        role,
        "connections",
        "links",
        counted("subscribers", each),
        budget=MAX_SUBSCRIBERS,
        name="subscribers of one",
    )
    t.add(
        SCOPED,
        "client side",
        "state",
        "bytes",
        counted("which balancers serve which service", 4 * s.services * s.balancers_a_service),
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


def _batch(t: _Table, s: Size, event: str, entries: float, lost: float, joined: float) -> None:
    """So many entries of the list and members change at one moment; what each balancer is told."""
    n = s.upstreams
    change = t.value("change_bytes", n)
    t.add(
        FLAT,
        event,
        "entries and members that change",
        "changes",
        counted("list", entries),
        counted("members", lost + joined),
    )
    t.add(
        FLAT,
        event,
        "told to each balancer, at the allowed bytes",
        "s",
        counted("list", _times(change, entries / (1e3 * s.kb_per_s))),
        t.part("members", "loss_bytes", s.balancers, (lost + joined / 2) / (1e3 * s.kb_per_s)),
        budget=s.in_force_s,
        name="in force everywhere, also in a bad hour",
    )
    t.add(
        FLAT,
        event,
        "processor time of each balancer",
        "s of a core",
        t.part("list, one line and a ranking", "change_cpu_ms", n, 1e-3),
        t.part("list, its entries", "told_whole_ms", n, entries / n / 1e3),
        t.part("members", "loss_cpu_ms", s.balancers, (lost + joined / 2) / 1e3),
    )


def _hours(t: _Table, s: Size) -> None:
    r, n = rates(s), s.upstreams
    ours = s.balancers / (s.balancers + n)
    for event, times in ((SPREAD, 1.0), (WAVES, DAY / (s.waves_a_day * s.wave_minutes * 60))):
        t.add(FLAT, event, "entries of the list that change", "a second", counted("list", r.listed * times))
        t.add(
            FLAT,
            event,
            "bytes to each balancer",
            "KB/s",
            t.part("list", "change_bytes", n, r.listed * times / 1e3),
            t.part("members", "loss_bytes", s.balancers, (r.failed + r.restarted / 2) * times / 1e3),
            budget=s.kb_per_s,
            name="control bytes",
        )
        t.add(
            FLAT,
            event,
            "processor time of each balancer, on top of rest",
            "% of a core",
            t.part("list", "change_cpu_ms", n, min(r.listed * times, s.lines_per_s) / 10),
            t.part("members", "loss_cpu_ms", s.balancers, (r.failed + r.restarted / 2) * times / 10),
            budget=s.cpu_pct,
            name="control processor time",
        )
    rack = min(s.rack_machines, n)
    _batch(t, s, RACK, rack * (1 - ours) * 2, rack * ours, 0)
    _batch(t, s, ZONE, n / s.zones * 2, s.balancers / s.zones, 0)
    cut = s.balancers / s.regions
    _batch(
        t, s, REGION, s.restarts_a_day / 24 * s.entries_a_restart * (1 - ours), 0, cut + r.restarted * 3_600
    )
    t.add(
        FLAT,
        ALL,
        "list and members to each balancer, at the allowed bytes",
        "s",
        t.part("whole list", "list_bytes", n, 1 / (1e3 * s.kb_per_s)),
        t.part("members, on each new link", "members_start_bytes", s.balancers, 1 / (1e3 * s.kb_per_s)),
    )
    t.add(
        FLAT,
        ALL,
        "bytes of the list service",
        "GB",
        t.part("whole lists", "list_bytes", n, s.balancers / 1e9),
    )
    t.add(
        FLAT,
        ALL,
        "calls at the list service, each alone",
        "a second",
        t.part("decide", "calls_alone_most_s", s.balancers),
        budget=s.calls_per_s,
        name="calls, assumed",
    )
    t.add(
        FLAT,
        ALL,
        "calls at the list service, paced",
        "a second",
        t.part("fleet/pace", "calls_paced_most_s", s.balancers),
        budget=s.calls_per_s,
        name="calls, assumed",
    )
    t.add(
        FLAT,
        ALL,
        "until the last has called, paced",
        "s",
        counted("fleet/pace: balancers / (0.8 x calls)", s.balancers / (0.8 * s.calls_per_s)),
    )
    r_words = s.balancers * RELAYS_USED * (1e3 / HEARTBEAT_MS + min(r.listed, s.lines_per_s))
    t.add(
        FLAT,
        CONTROL,
        "machines that are needed, by links",
        "machines",
        counted("fleet/links", s.balancers * RELAYS_USED / MAX_LINKS),
        budget=s.control_machines,
        name="machines set aside",
    )
    t.add(
        FLAT,
        CONTROL,
        "machines that are needed, by processor time",
        "machines",
        t.part(
            "fleet/lists", "pass_on_cpu_us", s.balancers * RELAYS_USED / s.control_machines, r_words / 1e6
        ),
        budget=s.control_machines,
        name="machines set aside",
    )
    t.add(
        SCOPED,
        ALL,
        "what a return costs each balancer, at the allowed bytes",
        "s",
        t.part("fleet/subscriber", "scoped_return_bytes", held(s), 1 / (1e3 * s.kb_per_s)),
    )
    t.add(
        SCOPED,
        ALL,
        "calls at the source",
        "a second",
        t.part("fan-out machines", "source_calls_most_s", s.control_machines),
        budget=s.calls_per_s,
        name="calls, assumed",
    )
    t.add(
        SCOPED,
        CONTROL,
        "longest deafness of a balancer",
        "s",
        t.part("subscriber moves on", "scoped_deaf_s", s.balancers),
        budget=s.in_force_s,
        name="in force everywhere",
    )
    t.add(
        SCOPED,
        CONTROL,
        "machines that are needed, by links",
        "machines",
        counted("fleet/publisher", s.balancers / MAX_SUBSCRIBERS),
        budget=s.control_machines,
        name="machines set aside",
    )
    each = s.balancers / s.control_machines
    t.add(
        SCOPED,
        CONTROL,
        "machines that are needed, by processor time",
        "machines",
        t.part("fleet/publisher, spread over fewer", "fan_cpu_pct", each, s.control_machines / 100),
        budget=s.control_machines,
        name="machines set aside",
    )


ROLES: tuple[Callable[[_Table, Size], None], ...] = (_balancer, _passes, _service, _source, _ends, _scoped)
EVENTS = (SPREAD, WAVES, RACK, ZONE, REGION, ALL, CONTROL)


def rows(size: Size, slopes: Slopes) -> list[Row]:
    """All rows: the roles on an ordinary day, then the bad hours."""
    table = _Table(slopes)
    for write in (*ROLES, _hours):
        write(table, size)
    return table.rows


# what gives first

LEAST, GREATEST = 1e-4, 1e4


def breaking(size: Size, slopes: Slopes) -> dict[tuple[str, str, str], float]:
    """For each row with a budget: how many times the size it lasts to, everything grown alike; 0: never."""
    out: dict[tuple[str, str, str], float] = {}
    for row in rows(size, slopes):
        if row.budget is None or row.value is None:
            continue
        low, high = LEAST, GREATEST
        for _ in range(30):
            middle = (low * high) ** 0.5
            low, high = (low, middle) if _over(row.key, size.scaled(middle), slopes) else (middle, high)
        out[row.key] = 0.0 if high < 1.01 * LEAST else (low * high) ** 0.5
    return out


def _over(key: tuple[str, str, str], size: Size, slopes: Slopes) -> bool:
    return any(row.key == key and row.broken for row in rows(size, slopes))


def first(size: Size, slopes: Slopes) -> Iterator[tuple[Row, float]]:
    """Rows whose budget is broken at this size, the one that breaks at the smallest size first."""
    found = breaking(size, slopes)
    broken = [row for row in rows(size, slopes) if row.broken]
    yield from sorted(((row, found[row.key]) for row in broken), key=lambda pair: pair[1])


def may_go(size: Size, row: Row) -> int:
    """How many of the control machines may go, by a row that says how many are needed."""
    assert row.value is not None
    needed = int(row.value) + (row.value > int(row.value))
    return max(-1, int(size.control_machines) - needed)
