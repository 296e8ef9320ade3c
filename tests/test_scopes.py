"""Scoped subscriptions: the pure modules in a simulated network; invariants and planted mistakes."""

from __future__ import annotations

from itertools import pairwise
from math import inf, nan
from random import Random

import msgspec
import pytest
from scope_net import IN_FORCE, Broken, Net

from ospreyline.fleet import publisher as publishers
from ospreyline.fleet import scopes
from ospreyline.fleet import subscriber as subscribers
from ospreyline.fleet.frames import ChangeAck, FreshnessReport, ScopeChange, ScopeItem, Subscribe
from ospreyline.fleet.publisher import Fanout, Publisher, Source
from ospreyline.fleet.scopes import GONE, LEAVING, PRESENT
from ospreyline.fleet.subscriber import MAX_SCOPES_OF_EVERYTHING, Subscriber

NOISY = {"loss": 0.05, "double": 0.05, "late": 0.03}
SLOW = {"rate": 6_000, "body": 2_000, "upstreams": 12, "loss": 0.02, "double": 0.05, "late": 0.05}


def noisy(seed):
    """All kinds of faults, then none."""
    net = Net(seed, **NOISY)
    net.run(40, changes=4, faults=0.4, requests=6)
    net.check_bounds()
    net.heal()
    net.run(30)
    net.check_bounds()
    net.check_converged()
    return net


def slow(seed):
    """Balancers with a low rate, large scopes."""
    net = Net(seed, **SLOW)
    net.run(30, changes=2, faults=0.1, requests=2)
    net.check_bounds()
    net.heal()
    net.run(150)
    net.check_bounds()
    net.check_converged()
    return net


def quiet(seed):
    """Only one fault: a fan-out machine stops responding while its links stay open."""
    net = Net(seed, balancers=12)
    net.run(6, requests=4)
    net.timely = True
    net.run(6, changes=4)
    lost = net.random.choice(net.fanouts)
    net.cut = {
        frozenset((lost, other)) for other in ["source", *net.fanouts, *net.balancers] if other != lost
    }
    net.run(12, changes=4)
    net.check_bounds()
    for sub in net.subs.values():
        for scope in sub.scopes:
            assert sub.age(net.now, scope) < IN_FORCE
    net.drains.clear()
    net.cut.clear()
    net.run(20)
    net.check_converged()
    return net


def hot(seed):
    """The same few upstreams change constantly, as do the subscriptions, and many messages are late."""
    net = Net(seed, scopes=3, upstreams=4, balancers=6, loss=0.02, late=0.3, rate=12_000, body=800)
    net.run(30, changes=8, faults=0.2, requests=12)
    net.check_bounds()
    net.heal()
    net.run(30)
    net.check_bounds()
    net.check_converged()
    return net


def flood(seed):
    """More changes than a balancer's rate allows: it gets the newest state, never a backlog."""
    net = Net(seed, scopes=4, upstreams=6, fanouts=1, balancers=3, rate=4_000, body=1_500)
    net.run(30, changes=20)
    net.check_bounds()
    assert max(net.sent.values()) < net.changes  # the newest state of each scope, not every change
    net.run(8.0 + max(sum(s.size for s in net.source.scopes.values()) / net.rate, 4.0))
    net.check_bounds()
    net.check_converged()
    return net


@pytest.mark.parametrize("scenario", [noisy, slow, quiet, hot, flood])
@pytest.mark.parametrize("seed", range(6))
def test_all_sentences_hold_whatever_happens(scenario, seed):
    scenario(seed)


def test_a_seed_replays():
    one, other = (noisy(3) for _ in range(2))
    assert [(s.applied, s.moves, s.fresh_as_of) for s in one.subs.values()] == [
        (s.applied, s.moves, s.fresh_as_of) for s in other.subs.values()
    ]


# planted mistakes: each removes one protection, and an invariant has to break


def _older_is_taken(patch):
    patch.setattr(Subscriber, "_is_newer", lambda self, name, version, since: True)


def _age_without_the_way(patch):
    def told(self, now, session, message):
        was(self, now, session, msgspec.structs.replace(message, echo=now))

    was = Subscriber._handle_status
    patch.setattr(Subscriber, "_handle_status", told)


def _age_whatever_is_wanted(patch):
    def told(self, now, session, message):
        was(self, now, session, msgspec.structs.replace(message, edition=self._edition))

    was = Subscriber._handle_status
    patch.setattr(Subscriber, "_handle_status", told)


def _drain_begins_when_heard(patch):
    def put(self, now, message, held, one, changed):
        was(self, now, msgspec.structs.replace(message, echo=now), held, one, changed)

    was = Subscriber._put_item
    patch.setattr(Subscriber, "_put_item", put)


def _drain_is_taken_back(patch):
    def take(self, now, message, *rest):
        ahead, self._early_drains = self._early_drains, {}
        was(self, now, message, *rest)
        self._early_drains = ahead

    was = Subscriber._apply
    patch.setattr(Subscriber, "_apply", take)


def _dropped_at_once(patch):
    def drop(self, now, scope):
        if scope in self._subscribed:
            self._remove_subscription(now, scope)

    patch.setattr(Subscriber, "unsubscribe", drop)


def _never_sent_again(patch):
    patch.setattr(publishers, "RESEND_MS", inf)


def _silence_is_borne(patch):
    patch.setattr(subscribers, "UNRESPONSIVE_MS", inf)


def _flow_without_bounds(patch):
    def pump(self, now, sub):
        sub.tokens = 1e9
        was(self, now, sub)

    was = Publisher._send_pending
    patch.setattr(Publisher, "_send_pending", pump)


def _clock_set_back(patch):
    patch.setattr(
        Source, "receive", lambda self, now, name, message: self.publisher.receive(now, name, message)
    )


def _gone_before_all_is_there(patch):
    def init(self, up):
        was(self, up)
        self.down._complete_to = lambda: max(up.complete_to, (max(1, up.max_epoch), 1))

    was = Fanout.__init__
    patch.setattr(Fanout, "__init__", init)


def _late_acknowledgement(patch):
    def got(self, now, sub, message):
        was(self, now, sub, msgspec.structs.replace(message, edition=sub.edition))

    was = Publisher._handle_ack
    patch.setattr(Publisher, "_handle_ack", got)


def _fresh_while_behind(patch):
    def tell(self, now, sub, again=False):
        behind, sub.behind = sub.behind, {}
        was(self, now, sub, again)
        sub.behind = behind

    was = Publisher._send_status
    patch.setattr(Publisher, "_send_status", tell)


PLANTED = {
    _older_is_taken: noisy,
    _age_without_the_way: noisy,
    _age_whatever_is_wanted: hot,
    _drain_begins_when_heard: noisy,
    _drain_is_taken_back: hot,
    _dropped_at_once: noisy,
    _never_sent_again: noisy,
    _silence_is_borne: quiet,
    _flow_without_bounds: flood,
    _clock_set_back: noisy,
    _gone_before_all_is_there: noisy,
    _late_acknowledgement: noisy,
    _fresh_while_behind: noisy,
}
# rare: it needs a status message, a subscription and a change in one order
FIRST_SEED = {_age_whatever_is_wanted: 219}


@pytest.mark.parametrize("plant", PLANTED, ids=lambda plant: plant.__name__.strip("_"))
def test_a_planted_mistake_is_found(plant, monkeypatch):
    plant(monkeypatch)
    with pytest.raises(Broken):
        for seed in range(first := FIRST_SEED.get(plant, 0), first + 24):
            PLANTED[plant](seed)


# single mechanisms


class Pair:
    """A source, one fan-out machine, one balancer; messages are delivered by hand and none is lost."""

    def __init__(self, **wanted):
        self.now = 1_000.0
        self.source = Source(1_000, Random(0).random)
        draw = Random(1).random
        self.fan = Fanout(
            Subscriber(
                "f",
                5_000,
                [("source", "")],
                draw,
                self.now,
                everything=True,
                rate=2 << 20,
                max_bytes=64 << 20,
                heartbeat_ms=500.0,
            )
        )
        self.sub = Subscriber("b", 7_000, [("f", "")], draw, self.now, **wanted)
        self.received = []  # from the fan-out machine to the balancer
        self.isolated = False

    def run(self, ms=50.0, times=1):
        for _ in range(times):
            self.now += ms
            self.source.tick(self.now)
            self.fan.tick(self.now)
            self.sub.tick(self.now)
            for _ in range(4):
                for out, me in ((self.source.out, "source"), (self.fan.take_out(), "f"), (self.sub.out, "b")):
                    messages = list(out)
                    out.clear()
                    for to, message in messages:
                        self.deliver(me, to, message)

    def deliver(self, me, to, message):
        if to == "b":
            self.received.append(message)
        ends = {"source": self.source, "f": self.fan, "b": self.sub}
        if to in ends and not (self.isolated and "b" in (me, to)):
            ends[to].receive(self.now, me, message)

    def changes(self):
        found = [m for m in self.received if isinstance(m, ScopeChange) and not m.drains_only]
        self.received.clear()
        return found


def upstreams(count, body=b"x" * 40, state=PRESENT):
    return [(f"u{i}", state, body) for i in range(count)]


def settled_pair(scopes_count=5, count=20, **wanted):
    pair = Pair(**wanted)
    for i in range(scopes_count):
        pair.source.put(pair.now, f"s{i}", upstreams(count))
        pair.sub.subscribe(pair.now, f"s{i}")
    pair.run(times=120)
    assert sorted(pair.sub.scopes) == [f"s{i}" for i in range(scopes_count)]
    assert all(pair.sub.age(pair.now, s) < 2_500.0 for s in pair.sub.scopes)
    pair.changes()
    return pair


def test_one_change_costs_one_record_and_idle_costs_nothing():
    pair = settled_pair()
    pair.source.put(pair.now, "s1", [("u3", LEAVING, b"y")])
    pair.run(times=10)
    assert [[i.key for i in c.items] for c in pair.changes()] == [["u3"]]
    assert pair.sub.scopes["s1"].records["u3"].state == LEAVING
    pair.run(times=20)
    assert not pair.fan.down._busy and not pair.source.publisher._busy and not pair.changes()


def test_a_return_costs_differences():
    pair = settled_pair()
    pair.isolated = True
    pair.source.put(pair.now, "s1", [("u3", GONE, b""), ("u4", PRESENT, b"new")])
    pair.run(times=80)  # it notices that its fan-out machine is unresponsive
    # receiving nothing leaves the contents unchanged
    assert pair.sub.scopes["s1"].records["u3"].state == PRESENT
    pair.changes()
    pair.isolated = False
    pair.run(times=200)
    assert {i.key for c in pair.changes() for i in c.items} == {"u3", "u4"}
    assert "u3" not in pair.sub.scopes["s1"].records


def test_a_gap_that_is_too_wide_costs_a_snapshot_of_that_scope_alone():
    pair = settled_pair()
    pair.isolated = True
    for i in range(scopes.MAX_TOMBSTONES + 2):
        pair.source.put(pair.now, "s1", [(f"v{i}", PRESENT, b"")])
        pair.source.put(pair.now, "s1", [(f"v{i}", GONE, b"")])
        pair.run()
    pair.run(times=80)
    pair.changes()
    pair.isolated = False
    pair.run(times=200)
    found = pair.changes()
    assert {c.scope for c in found} == {"s1"} and found[0].since == (0, 0)
    assert len(pair.sub.scopes["s1"].records) == 20


def test_tombstones_end():
    pair = settled_pair(scopes_count=1)
    for i in range(500):
        pair.source.put(pair.now, "s0", [(f"v{i}", PRESENT, b"")])
        pair.source.put(pair.now, "s0", [(f"v{i}", GONE, b"")])
        pair.run()
    for held in (pair.source.scopes["s0"], pair.fan.up.scopes["s0"], pair.sub.scopes["s0"]):
        assert len(held.records) <= 20 + scopes.MAX_TOMBSTONES
    assert len(pair.sub.scopes["s0"].records) == 20
    pair.run(ms=1_000.0, times=int(scopes.TOMBSTONE_TTL_MS / 1e3) + 70)
    for held in (pair.source.scopes["s0"], pair.fan.up.scopes["s0"]):
        assert len(held.records) == 20 and not held.tombstones


def test_a_source_that_counts_anew_costs_no_record_where_nothing_changed():
    pair = settled_pair()
    had = dict(pair.sub.scopes["s2"].records)
    pair.source = Source(2_000, Random(0).random)
    for i in range(5):
        pair.source.put(pair.now, f"s{i}", upstreams(20) if i else upstreams(19))
    pair.run(times=150)
    found = pair.changes()
    assert all(not c.items for c in found if c.scope != "s0")
    assert pair.sub.scopes["s2"].version[0] == pair.source.epoch and pair.sub.scopes["s2"].records == had
    assert len(pair.sub.scopes["s0"].records) == 19


def test_two_that_disagree_are_noticed_and_all_of_the_scope_is_had_anew():
    pair = settled_pair()
    pair.fan.up.scopes["s1"].put(pair.now, "u7", 1, PRESENT, b"not what the source said", 0.0, True)
    pair.source.put(pair.now, "s1", [("u1", PRESENT, b"new")])
    pair.run(times=100)
    assert pair.fan.up.mismatches == 1
    for held in (pair.fan.up.scopes["s1"], pair.sub.scopes["s1"]):
        assert held.digest == pair.source.scopes["s1"].digest
        assert held.records["u7"].body == b"x" * 40


def test_a_large_scope_comes_in_parts_and_a_drain_overtakes_it():
    pair = settled_pair(scopes_count=1, rate=8_000)
    big = [(f"w{i}", PRESENT, bytes(1_000)) for i in range(100)]
    pair.source.put(pair.now, "s0", big)
    pair.run(times=10)
    pair.source.put(pair.now, "s0", [("u3", LEAVING, b"x" * 40)])
    pair.run(times=4)
    held = pair.sub.scopes["s0"]
    assert held.records["u3"].state == LEAVING and "w0" not in held.records
    pair.run(times=400)
    assert len(pair.sub.scopes["s0"].records) == 120
    parts = pair.changes()
    assert max(c.parts for c in parts) > 2
    assert all(sum(scopes.wire_size(i) for i in c.items) < 2 * publishers.PART_BYTES for c in parts)


def test_a_scope_that_is_dropped_finishes_its_requests_and_hears_of_drains_until_then():
    pair = settled_pair()
    assert pair.sub.start_request("s1")
    pair.sub.unsubscribe(pair.now, "s1")
    assert not pair.sub.start_request("s1")
    pair.source.put(pair.now, "s1", [("u0", LEAVING, b"")])
    pair.run(times=10)
    assert pair.sub.scopes["s1"].records["u0"].state == LEAVING
    pair.sub.end_request(pair.now, "s1")
    assert "s1" not in pair.sub.scopes
    pair.run(times=10)
    assert "s1" not in pair.fan.down._by_scope


def test_a_scope_that_is_no_more_is_kept_for_the_requests_in_flight():
    pair = settled_pair()
    pair.sub.start_request("s1")
    pair.source.remove(pair.now, "s1")
    pair.run(times=10)
    held = pair.sub.scopes["s1"]
    assert held.gone and len(held.records) == 20 and not pair.sub.start_request("s1")
    pair.sub.end_request(pair.now, "s1")
    assert not held.records
    pair.source.put(pair.now, "s1", upstreams(2))
    pair.run(times=10)
    assert pair.sub.start_request("s1") and len(pair.sub.scopes["s1"].records) == 2


def test_of_too_many_scopes_the_one_not_used_for_longest_goes():
    pair = settled_pair(scopes_count=3, max_scopes=3)
    pair.sub.start_request("s0")
    pair.sub.subscribe(pair.now, "s1")
    pair.source.put(pair.now, "t", upstreams(1))
    assert pair.sub.subscribe(pair.now, "t")
    pair.run(times=10)
    assert sorted(pair.sub.scopes) == ["s0", "s1", "t"]
    assert [n.scope for n in pair.sub.updates if n.evicted] == ["s2"]


def test_a_scope_that_nobody_has_is_said_to_be_no_more():
    pair = settled_pair()
    pair.sub.subscribe(pair.now, "nothing")
    pair.run(times=20)
    assert pair.sub.scopes["nothing"].gone
    pair.source.put(pair.now, "nothing", upstreams(3))
    pair.run(times=20)
    assert len(pair.sub.scopes["nothing"].records) == 3


@pytest.mark.parametrize("seed", range(3))
def test_memory_is_bounded_whatever_is_sent(seed):
    pair = settled_pair(max_bytes=200_000)
    draw = Random(seed)
    session, epoch = pair.sub._sessions["f"].number, pair.source.epoch
    for n in range(100, 3_100):
        items = [
            ScopeItem(
                f"k{draw.randrange(10**6)}",
                draw.randrange(n),
                draw.randrange(3),
                bytes(draw.randrange(2_000)),
            )
            for _ in range(draw.randrange(60))
        ]
        pair.sub.receive(
            pair.now,
            "f",
            ScopeChange(
                session=session,
                scope=draw.choice(["s0", "s1", "s2", "s9", "x" * 300]),
                epoch=draw.choice([epoch, epoch + 9]),
                n=n,
                part=draw.randrange(4),
                since=draw.choice([(0, 0), (epoch, 5), (epoch + 9, 7)]),
                parts=draw.choice([1, 3, 900]),
                drains_only=draw.random() < 0.2,
                removed=draw.random() < 0.05,
                items=items,
            ),
        )
        assert pair.sub.held_bytes + pair.sub._partial_bytes <= 200_000 + scopes.RECORD_OVERHEAD_BYTES * len(
            pair.sub.scopes
        )
        assert pair.sub.held_bytes == sum(held.size for held in pair.sub.scopes.values())
    assert pair.sub.refused
    fan = pair.fan.down
    for i in range(2 * publishers.MAX_SUBSCRIBERS):
        fan.receive(
            pair.now,
            f"x{i}",
            Subscribe(
                session=1,
                edition=1,
                sent_at=0.0,
                rate=10**9,
                whole=True,
                scopes=[(f"t{draw.randrange(10**6)}", draw.randrange(9), 1, 1) for _ in range(3)],
            ),
        )
        fan.receive(
            pair.now, f"x{i}", ChangeAck(session=1, edition=1, sent_at=0.0, scopes=[(f"v{i}", 1, 1, 1)])
        )
    assert len(fan) == publishers.MAX_SUBSCRIBERS and len(fan._by_scope) <= 3 * len(fan) + 5
    pair.run(ms=1_000.0, times=14)
    assert len(fan) <= 1


@pytest.mark.parametrize(
    "wrong",
    [
        {"echo": nan},
        {"echo": inf},
        {"epoch": 0},
        {"epoch": 1 << 62 | 1},
        {"part": 3},
        {"part": -1},
        {"parts": 1 << 20},
        {"scope": "x" * 257},
        {"items": [ScopeItem("k", 1, 7)]},
        {"items": [ScopeItem("k", 1, LEAVING, b"", nan)]},
        {"items": [ScopeItem("k", 1 << 60, PRESENT)]},
        {"items": [ScopeItem("k", 1, PRESENT, bytes(1 << 17))]},
        {"session": 1},
    ],
)
def test_a_change_that_cannot_be_changes_nothing(wrong):
    pair = settled_pair()
    held = pair.sub.scopes["s1"]
    before = (dict(held.records), pair.sub.held_bytes, pair.sub.applied, held.version)
    right = {
        "session": pair.sub._sessions["f"].number,
        "scope": "s1",
        "epoch": pair.source.epoch,
        "n": 1_000,
        "items": [ScopeItem("k", 1_000, PRESENT, b"")],
        "echo": pair.now - 50.0,
    }
    pair.sub.receive(pair.now, "f", ScopeChange(**(right | wrong)))
    assert pair.sub.scopes["s1"] is held
    assert (held.records, pair.sub.held_bytes, pair.sub.applied, held.version) == before
    pair.run(times=60)
    pair.sub.receive(
        pair.now, "f", FreshnessReport(session=right["session"], edition=pair.sub._edition, echo=nan, age=nan)
    )
    assert pair.sub.age(pair.now, "s1") < 2_500.0


def test_a_word_that_was_said_before_a_wish_was_known_says_nothing_of_it():
    pair = settled_pair()
    session, edition = pair.sub._sessions["f"].number, pair.sub._edition
    pair.sub.subscribe(pair.now, "t")
    pair.sub.out.clear()  # the subscription has not been received yet
    old = ScopeChange(session=session, scope="t", epoch=pair.source.epoch, n=3, echo=pair.now)
    status = {"session": session, "echo": pair.now, "age": 0.0, "publisher_age": 0.0}
    pair.sub.receive(pair.now, "f", old)  # an old state by another path
    pair.sub.receive(pair.now, "f", FreshnessReport(edition=edition, **status))
    assert pair.sub.age(pair.now, "t") == inf and "t" in pair.sub.scopes
    pair.sub.receive(pair.now, "f", FreshnessReport(edition=edition + 1, **status))
    assert pair.sub.age(pair.now, "t") == 0.0


def test_pauses_never_grow_however_many_publishers_were_tried():
    sub = Subscriber("b", 1, [(f"f{i}", "") for i in range(6)], Random(2).random, 0.0)
    begun = []
    for now in range(0, 60_000, 50):
        sub.tick(float(now))
        begun += [now for _, m in sub.out if isinstance(m, Subscribe)]
        sub.out.clear()
    apart = [b - a for a, b in pairwise(begun)]
    assert len(apart) > 20 and max(apart) < subscribers.UNRESPONSIVE_MS + 1_200


def test_one_that_takes_no_more_sends_its_subscribers_on():
    draw = Random(2).random
    sub = Subscriber("b", 1, [("f", ""), ("g", "")], draw, 0.0)
    first, other = sub.order
    sub.tick(100.0)
    session = sub._sessions[first].number
    sub.out.clear()
    sub.receive(150.0, first, FreshnessReport(session=session, edition=0, echo=100.0, overloaded=True))
    for now in range(200, 4_000, 50):
        sub.tick(float(now))
    assert any(to == other and isinstance(m, Subscribe) for to, m in sub.out)


def test_a_bank_that_starts_comes_in_places_of_its_own_and_hears_nothing_in_peace():
    count, names = 2_000, [(f"f{i}", "") for i in range(4)]
    draw = Random(5).random
    subs = [Subscriber(f"b{i}", 1, names, draw, 0.0, number=i, count=count) for i in range(count)]
    begun = []
    for now in range(0, 30_000, 50):
        for sub in subs:
            sub.tick(float(now))
            begun += [now for _, m in sub.out if isinstance(m, Subscribe)]
            sub.out.clear()
    rate = subscribers.SUBSCRIPTIONS_PER_S * len(names)
    # no publisher answers: the attempts stay within what the publishers can take
    for at in range(0, 30_000, 1_000):
        assert sum(at <= b < at + 1_000 for b in begun) <= rate
    assert sum(b < 200 for b in begun) < 0.25 * count


def test_publishers_of_the_own_zone_come_first_and_the_others_are_spread():
    names = [(f"f{i}", "ab"[i % 2]) for i in range(20)]
    draw = Random(5).random
    first = [0] * 20
    for i in range(2_000):
        sub = Subscriber(f"b{i}", 1, names, draw, 0.0, zone="a")
        assert all(int(n[1:]) % 2 == 0 for n in sub.preferred[:10])
        # a zone may be lost as a whole
        assert [int(n[1:]) % 2 for n in sub.order] == [0] + 10 * [1] + 9 * [0]
        first[int(sub.order[0][1:])] += 1
    assert max(first) < 2 * 2_000 / 10
    assert MAX_SCOPES_OF_EVERYTHING > 6_700 * 2
