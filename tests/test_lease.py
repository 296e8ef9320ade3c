"""The list lease: what ends it, what renews it, and for how long sends are blocked."""

from __future__ import annotations

from itertools import pairwise, permutations

import pytest
from stand_ins import FakeHost, listed

from ospreyline.host import End
from ospreyline.lease import (
    FULL_LIST_VERSION,
    MAX_AGE_FACTOR,
    NOTIFIED_AFTER_MOVE_MS,
    NOTIFIED_AFTER_MS,
    STALL_RESERVE_MS,
    BlockReason,
    CallStarted,
    CallTimedOut,
    ConnectionRefused,
    FormerServiceRead,
    LeaseMessage,
    ListLease,
    MessageComplete,
    NoUpdateArriving,
    ServiceMoved,
    UpdateArriving,
    UpdateLost,
    UpdateRead,
)
from ospreyline.net.listing import version_of

GRACE = 500.0
MUST_ASK_IN = 10_000.0
MAX_AGE = MAX_AGE_FACTOR * MUST_ASK_IN
GRACE_LEFT = GRACE - STALL_RESERVE_MS  # ms for which sends may go on after a change may count as received


def proven_lease(pushed: bool = False) -> ListLease:
    """A lease that was proven at 0."""
    lease = ListLease()
    lease.configure(GRACE, MUST_ASK_IN, pushed)
    lease.start(-1.0)
    lease.apply(0.0, CallStarted(1))
    lease.apply(0.0, UpdateRead(1, 3, True))
    return lease


def lease_after(*steps: tuple[float, LeaseMessage], pushed: bool = False) -> ListLease:
    lease = proven_lease(pushed)
    for now, message in steps:
        lease.apply(now, message)
    return lease


def grace_ends_after(lease: ListLease, notified_at: float) -> bool:
    """Whether sends go on exactly up to the end of the grace of a change that counts as received then."""
    return not lease.blocks_sends(notified_at + GRACE_LEFT - 1) and lease.blocks_sends(
        notified_at + GRACE_LEFT
    )


def test_an_answer_that_arrives_slowly_withholds_within_the_grace_and_until_it_is_whole():
    lease = lease_after((1_000.0, UpdateArriving(1)), (1_200.0, UpdateArriving(1)))  # the first bytes count
    assert grace_ends_after(lease, 1_000.0)
    lease.apply(4_000.0, UpdateRead(1, version=4, full=False))
    assert not lease.blocks_sends(9_000.0)


def test_what_was_cut_off_counts_from_its_first_byte():
    lease = lease_after((1_000.0, UpdateArriving(1)), (1_290.0, UpdateLost(1, 4)))
    assert grace_ends_after(lease, 1_000.0)


@pytest.mark.parametrize(
    "version, whole, settled", [(3, False, False), (4, False, True), (5, False, True), (3, True, True)]
)
def test_a_loss_is_settled_by_a_later_answer_with_as_much_news_or_the_whole_list(version, whole, settled):
    answer = UpdateRead(2, version, whole)
    lease = lease_after((1_000.0, UpdateLost(1, 4)), (1_500.0, CallStarted(2)), (1_600.0, answer))
    assert lease.blocks_sends(2_000.0) is not settled
    assert lease.has_lost_update is not settled


@pytest.mark.parametrize("version", [0, 4])
@pytest.mark.parametrize("whole", [False, True])
def test_no_answer_that_was_asked_for_before_a_loss_settles_it(version, whole):
    # a part of version 4 was cut off, and what was written behind it is not known either
    answer = UpdateRead(2, 9, whole)
    lease = lease_after((500.0, CallStarted(2)), (1_000.0, UpdateLost(1, version)), (1_600.0, answer))
    assert lease.blocks_sends(2_000.0) and lease.has_lost_update


def test_one_answer_settles_nothing_of_another_that_is_still_arriving():
    lease = lease_after(
        (900.0, CallStarted(2)),
        (1_000.0, UpdateArriving(1)),
        (1_100.0, UpdateArriving(2)),
        (1_200.0, UpdateRead(2, 4, True)),
    )
    assert lease.blocks_sends(1_400.0)
    lease.apply(1_300.0, NoUpdateArriving(1))  # it was read to its end and has no update
    assert not lease.blocks_sends(1_400.0)


def test_in_any_order_the_lease_is_over_as_long_as_something_is_missing():
    steps: dict[str, LeaseMessage] = {
        "arriving": UpdateArriving(1),
        "lost": UpdateLost(2),
        "whole": UpdateRead(3, 9, True),
        "rest": UpdateRead(1, 9, False),
    }
    for order in permutations(steps):
        lease = proven_lease()
        lease.apply(0.0, CallStarted(2))
        for at, name in enumerate(order):
            if name == "whole":
                lease.apply(float(at), CallStarted(3))
            lease.apply(float(at), steps[name])
        # one call started before the loss: its answer may have been written before it
        lost_open = order.index("whole") < order.index("lost")
        arriving_open = order.index("rest") < order.index("arriving")
        assert lease.blocks_sends(5_000.0) is (lost_open or arriving_open), order


NEVER_UP = NoUpdateArriving(3)  # what is reported of a call whose connection never came up


@pytest.mark.parametrize(
    ("call", "ends_at"),
    [(ConnectionRefused(2), 1_000.0 + MAX_AGE), (NEVER_UP, NOTIFIED_AFTER_MS + MAX_AGE)],
    ids=["refused", "never up"],
)
def test_a_service_that_died_with_its_watches_keeps_nothing_out_for_good(call, ends_at):
    # a balancer without a watch is held to its list for four times `must_ask_in` after a failed call
    lease = lease_after((1_000.0, UpdateLost(1)), (1_000.0, call))
    for at in range(3_000, 50_000, 2_000):
        lease.apply(float(at), call)
        assert lease.blocks_sends(at + 1.0) is (at + 1.0 < ends_at)


@pytest.mark.parametrize("call", [ConnectionRefused(3), NEVER_UP], ids=["refused", "never up"])
@pytest.mark.parametrize(
    ("missed", "notified_at"),
    [
        ([CallTimedOut(1, 2.5)], 1_000.0 - 2_500.0 + NOTIFIED_AFTER_MS),
        ([CallTimedOut(1, 2.5), UpdateLost(2)], 1_000.0),
        ([UpdateLost(1, 4, until_answered=True)], 1_000.0),
        ([UpdateLost(1, until_answered=True), UpdateLost(2)], 1_000.0),
        ([UpdateArriving(1)], 1_000.0),
    ],
    ids=["silent", "silent, then reset", "a part of it came", "we ended it", "still arriving"],
)
def test_what_an_open_connection_may_have_missed_blocks_for_as_long_as_an_outage_lasts(
    missed, notified_at, call
):
    # guards against sends to a drained upstream 46 s after the list service was cut off (review/10)
    lease = lease_after(*((1_000.0, message) for message in missed))
    assert grace_ends_after(lease, notified_at)
    for at in range(6_000, 400_000, 2_000):
        lease.apply(float(at), call)
        assert lease.blocks_sends(at + 1.0), at
    lease.apply(400_000.0, NoUpdateArriving(1))
    lease.apply(400_000.0, CallStarted(4))
    lease.apply(400_000.0, UpdateRead(4, 5, True))
    assert not lease.blocks_sends(400_001.0)


def test_an_agent_that_is_away_for_long_blocks_until_it_answers():
    # guards against going on with an old list where lists are pushed: what the agent has counts at once
    lease = lease_after((1_000.0, UpdateLost(1)), pushed=True)
    for at in range(2_000, 400_000, 2_000):
        lease.apply(float(at), ConnectionRefused(2))
        assert lease.blocks_sends(at + 1.0)


def test_a_process_that_starts_while_the_service_is_cut_off_sends_nothing_until_it_has_heard():
    # guards against the list of the settings after 40 s: a former process may have missed an update
    lease = ListLease()
    lease.configure(GRACE, MUST_ASK_IN, False)
    lease.start(0.0)
    for at in range(0, 400_000, 2_000):
        lease.apply(float(at), NEVER_UP)
        assert lease.block_reason(at + 1.0) is BlockReason.NO_UPDATE_YET


def test_a_new_address_that_is_cut_off_blocks_until_it_is_heard():
    # guards against the list of the former address 44 s after a move: the page names no end of its 4 s
    lease = lease_after((1_000.0, UpdateRead(1, 3, False)), (1_000.0, ServiceMoved()))
    for at in range(6_000, 400_000, 2_000):
        lease.apply(float(at), NEVER_UP)
        assert lease.blocks_sends(at + 1.0)


def test_what_is_lost_after_that_ends_the_lease_again():
    later = 1_000.0 + MAX_AGE
    lease = lease_after((1_000.0, UpdateLost(1)), (later, ConnectionRefused(2)))
    assert not lease.blocks_sends(later + GRACE_LEFT)
    lease.apply(later + 10.0, UpdateLost(3))
    assert lease.blocks_sends(later + 10.0 + GRACE_LEFT)


def test_the_decisions_send_nothing_while_an_update_may_be_lost_and_go_on_after_it():
    host = FakeHost([listed(0), listed(1)])
    host.balancer.lease.start(host.now)
    host.balancer.lease.apply(host.now, UpdateRead(1, 3, True))
    host.balancer.lease.apply(host.now, UpdateLost(1, 4))
    host.pass_time(GRACE_LEFT + 1)
    visits = [host.take() for _ in range(3)]
    # bounced, as another balancer may have the update
    assert not host.sends and all(visit.tag in host.bounced for visit in visits)
    host.balancer.lease.apply(host.now, CallStarted(2))
    host.balancer.lease.apply(host.now, UpdateRead(2, 4, False))
    assert host.take().in_flight and len(host.sends) == 1


def test_an_attempt_that_never_ran_is_not_repeated_while_an_update_may_be_lost():
    host = FakeHost([listed(0), listed(1)])
    visit = host.take()
    host.balancer.lease.apply(host.now, UpdateLost(1, 4))
    host.end(visit, End.UNREACHED, GRACE)
    assert len(host.sends) == 1 and visit.tag in host.bounced


def test_a_front_that_reports_no_calls_has_a_lease_without_an_end():
    host = FakeHost([listed(0)])
    host.pass_time(100_000.0)
    assert host.take().in_flight


def test_a_call_goes_out_soon_after_an_answer_that_was_cut_off():
    host = FakeHost([listed(0)], ask_for_list=True, balancers=200)
    host.pass_time(5_000.0)
    began = len(host.watches)
    host.balancer.list_call_failed(host.now, possibly_lost=True)
    host.pass_time(151.0)
    assert len(host.watches) == began + 1


@pytest.mark.parametrize(
    "part, version",
    [
        (b'{"rev":41,"all":true', 41),
        (b'{ "rev" : 41 }', 41),
        (b'{"all":true,"rev":4', 0),
        (b'{"targets":[', 0),
    ],
)
def test_the_version_of_a_part_is_known_once_all_its_figures_have_come(part, version):
    # read as 4, an older list would have settled the loss of 41
    assert version_of(part) == version


def test_what_only_the_whole_list_can_tell_is_settled_by_no_later_update():
    lease = lease_after(
        (0.0, UpdateLost(1, FULL_LIST_VERSION)),
        (1.0, CallStarted(2)),
        (1.0, UpdateRead(1, 10_000, False)),
        (1.0, UpdateRead(2, 10_000, False)),
    )
    assert lease.blocks_sends(1_000.0)
    lease.apply(2.0, UpdateRead(2, 5, True))
    assert not lease.blocks_sends(1_000.0)


def test_of_two_losses_the_later_one_is_not_settled_by_a_call_between_them():
    lease = lease_after(
        (1_000.0, UpdateLost(1, 4)),
        (1_100.0, CallStarted(2)),
        (1_200.0, UpdateLost(1)),
        (1_300.0, UpdateRead(2, 5, True)),
    )
    assert lease.blocks_sends(2_000.0)
    lease.apply(1_400.0, CallStarted(3))
    lease.apply(1_500.0, UpdateRead(3, 5, False))
    assert not lease.blocks_sends(2_000.0)


@pytest.mark.parametrize(
    "since",
    [
        [],
        [MessageComplete(2)],
        [MessageComplete(2), MessageComplete(3)],
        [ConnectionRefused(2)],
        [NoUpdateArriving(2)],
        [FormerServiceRead(1)],
        [UpdateRead(1, 9, True)],
    ],
    ids=["time", "turned away", "twice", "refused", "not asked", "former address", "an earlier call"],
)
def test_nothing_but_the_answer_to_a_later_call_settles_a_loss(since):
    lease = lease_after((1_000.0, UpdateLost(1)))
    for at, message in enumerate(since):
        lease.apply(1_500.0 + 100.0 * at, message)
    assert grace_ends_after(lease, 1_000.0)
    assert all(lease.blocks_sends(at) for at in (2_000.0, 7_000.0, 7_500.0, 12_000.0, 40_000.0))
    lease.apply(40_000.0, CallStarted(4))
    lease.apply(40_000.0, UpdateRead(4, 0, False))
    assert not lease.blocks_sends(40_100.0)


def test_calls_after_losses_in_a_row_come_further_and_further_apart():
    # without the backoff, the first balancer of a bank calls a service that resets each call in a tight loop
    host = FakeHost([listed(0)], ask_for_list=True, balancers=200)
    host.balancer._call_schedule.phase = 0.0
    host.pass_time(5_000.0)
    host.watches.clear()
    began = host.now
    while host.now < began + 10_000.0:
        calls = len(host.watches)
        host.balancer.list_call_failed(host.now, possibly_lost=True)
        while len(host.watches) == calls:
            host.pass_time(1.0)
    gaps = [later - earlier for earlier, later in pairwise(host.watches)]
    assert gaps == sorted(gaps) and gaps[0] < 250.0 and gaps[-1] >= 1_000.0


def test_what_a_silent_call_misses_counts_as_told_6_s_after_its_last_word():
    lease = lease_after(
        (500.0, CallStarted(2)), (3_000.0, UpdateRead(1, 3, False)), (3_500.0, CallTimedOut(2, 2.5))
    )
    assert grace_ends_after(lease, 1_000.0 + NOTIFIED_AFTER_MS)
    lease.apply(8_000.0, UpdateRead(1, 9, True))  # requested before the loss
    assert lease.blocks_sends(8_000.0)
    lease.apply(8_000.0, CallStarted(3))
    lease.apply(8_000.0, UpdateRead(3, 0, False))  # a later call: nothing has changed
    assert not lease.blocks_sends(9_000.0)


def test_a_call_that_is_answered_in_time_leaves_nothing_of_the_silence_before():
    lease = lease_after(
        (1_000.0, CallStarted(2)),
        (3_500.0, CallTimedOut(2, 2.5)),
        (3_600.0, CallStarted(3)),
        (4_000.0, UpdateRead(3, 4, False)),
    )
    assert grace_ends_after(lease, 4_000.0 + NOTIFIED_AFTER_MS)


@pytest.mark.parametrize(
    "steps, proven_at",
    [
        ([], 0.0),
        ([(4_000.0, MessageComplete(2))], 0.0),
        ([(4_000.0, MessageComplete(2)), (5_900.0, MessageComplete(3))], 0.0),
        ([(1_000.0, UpdateRead(1, 3, False)), (4_000.0, MessageComplete(1))], 1_000.0),
        # changes made while nobody listened count from when somebody listens again
        ([(4_000.0, ConnectionRefused(2)), (5_000.0, MessageComplete(3))], 4_000.0),
        # a call whose request was never sent, or that never connected, is no evidence
        ([(4_000.0, NoUpdateArriving(2))], 0.0),
        ([(4_000.0, FormerServiceRead(1)), (5_000.0, MessageComplete(2))], 0.0),
    ],
)
def test_a_list_that_is_not_proven_anew_is_out_of_date_6_s_later_whatever_becomes_of_calls(steps, proven_at):
    lease = lease_after(*steps)
    assert grace_ends_after(lease, proven_at + NOTIFIED_AFTER_MS)
    assert lease.blocks_sends(proven_at + NOTIFIED_AFTER_MS + 9_000.0)
    lease.apply(20_000.0, UpdateRead(1, 0, False))
    assert not lease.blocks_sends(20_000.0 + GRACE_LEFT)


@pytest.mark.parametrize(
    "steps",
    [
        [],
        [MessageComplete(2)],
        [CallTimedOut(2, 2.5)],
        [NoUpdateArriving(2)],
        [FormerServiceRead(1)],
        [UpdateRead(1, 9, True)],
        [ConnectionRefused(2)],
        [ServiceMoved(), CallStarted(3), MessageComplete(3)],
    ],
    ids=[
        "time",
        "turned away",
        "silent",
        "not asked",
        "former address",
        "a former call",
        "refused",
        "moved again",
    ],
)
def test_what_the_service_has_counts_as_received_4_s_after_a_move(steps):
    # guards against sends to upstreams that drain by a service that a new configuration names
    lease = lease_after(
        (1_000.0, UpdateRead(1, 3, False)), (1_000.0, ServiceMoved()), (1_000.0, CallStarted(2))
    )
    for message in steps:
        lease.apply(4_500.0, message)
    assert grace_ends_after(lease, 1_000.0 + NOTIFIED_AFTER_MOVE_MS)
    lease.apply(9_000.0, CallStarted(4))
    lease.apply(9_000.0, UpdateRead(4, 1, True))
    assert grace_ends_after(lease, 9_000.0 + NOTIFIED_AFTER_MS)


@pytest.mark.parametrize(
    ("at", "message"),
    [(4_000.0, UpdateRead(2, 1, True)), (5_000.0, ConnectionRefused(2))],
    ids=["heard", "not there after 4 s"],
)
def test_a_move_to_a_service_that_is_heard_or_not_there_ends_no_lease(at, message):
    lease = lease_after((1_000.0, ServiceMoved()), (1_000.0, CallStarted(2)), (at, message))
    assert grace_ends_after(lease, at + NOTIFIED_AFTER_MS)


REACHED = pytest.mark.parametrize(
    "reached",
    [MessageComplete(2), UpdateLost(2), UpdateArriving(2), CallTimedOut(2, 0.0)],
    ids=["turned away", "reset", "half an answer", "silent"],
)


@REACHED
def test_a_service_that_is_reached_and_not_heard_keeps_requests_out_until_it_is_heard(reached):
    # guards against sends to draining upstreams while the service turned all calls away for a minute
    lease = lease_after()
    for at in range(2_000, 200_000, 5_000):
        lease.apply(float(at), reached)
        assert at < 2 * NOTIFIED_AFTER_MS or lease.blocks_sends(at + 4_999.0)
    lease.apply(200_000.0, NoUpdateArriving(2))
    lease.apply(200_000.0, CallStarted(3))
    lease.apply(200_000.0, UpdateRead(3, 4, True))
    assert not lease.blocks_sends(200_000.0)


@pytest.mark.parametrize("reached", [MessageComplete(2), UpdateLost(2)], ids=["turned away", "reset"])
def test_a_service_that_was_not_reached_for_four_times_must_ask_in_keeps_no_requests_out(reached):
    # a list may be used after a failed call for four times `must_ask_in`, by a balancer without a watch
    last = 30_000.0
    lease = lease_after((2_000.0, reached), (last, reached))
    for at in range(35_000, 70_000, 5_000):
        lease.apply(float(at), NoUpdateArriving(3))  # its connection never came up
    assert lease.blocks_sends(last + MAX_AGE - 1)
    assert not lease.blocks_sends(last + NOTIFIED_AFTER_MS + MAX_AGE)


@REACHED
def test_a_new_process_that_reaches_the_service_sends_nothing_before_it_has_heard(reached):
    # guards against a restarted process that goes by the list of its settings while its calls are turned away
    lease = ListLease()
    lease.configure(GRACE, MUST_ASK_IN, False)
    lease.start(0.0)
    for at in range(0, 200_000, 5_000):
        lease.apply(float(at), reached)
        assert lease.blocks_sends(at + 4_999.0)


@pytest.mark.parametrize(
    "steps",
    [[], [MessageComplete(1)], [UpdateLost(1)], [NoUpdateArriving(1)], [CallTimedOut(1, 2.5)]],
    ids=["no call yet", "turned away", "reset", "not asked", "silent"],
)
def test_a_process_that_has_not_heard_from_the_list_service_sends_nothing(steps):
    lease = ListLease()
    lease.configure(GRACE, MUST_ASK_IN, False)
    lease.start(1_000.0)
    for message in steps:
        lease.apply(1_050.0, message)
    assert all(lease.blocks_sends(at) for at in (1_000.0, 1_100.0, 2_000.0, 20_000.0))
    assert lease.block_reason(2_000.0) is BlockReason.NO_UPDATE_YET
    lease.apply(20_000.0, CallStarted(2))
    lease.apply(20_000.0, UpdateRead(2, 3, False))
    assert not lease.blocks_sends(20_000.0 + GRACE_LEFT)


@pytest.mark.parametrize("pushed", [False, True])
def test_where_nobody_listens_the_list_of_the_settings_holds_unless_it_is_pushed(pushed):
    lease = ListLease()
    lease.configure(GRACE, MUST_ASK_IN, pushed)
    lease.start(1_000.0)
    lease.apply(1_050.0, ConnectionRefused(1))
    assert lease.blocks_sends(1_060.0) is pushed
    assert pushed or grace_ends_after(lease, 1_050.0 + NOTIFIED_AFTER_MS)


@pytest.mark.parametrize("watched", [True, False])
def test_a_pushed_list_counts_as_told_at_once_where_no_watch_is_open(watched):
    lease = lease_after((1_000.0, MessageComplete(1, watched)), pushed=True)
    assert lease.has_lost_update is not watched
    if not watched:
        assert grace_ends_after(lease, 1_000.0)
