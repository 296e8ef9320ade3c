"""Updates of the list in doubt: what begins a doubt, what ends it, and for how long requests are withheld."""

from __future__ import annotations

from itertools import pairwise, permutations

import pytest
from stand_ins import FakeHost, listed

from ospreyline.host import End
from ospreyline.indoubt import (
    HELD_UP,
    LONGEST,
    LONGEST_UNSEEN,
    LONGEST_UNSEEN_IF_UP,
    TOLD_AT_LAST,
    WHOLE_LIST,
    InDoubt,
)
from ospreyline.net.listing import version_of

GRACE = 500.0
ASKING = 10_000.0


def doubt() -> InDoubt:
    found = InDoubt()
    found.fit(GRACE, ASKING)
    return found


def test_an_answer_that_arrives_slowly_withholds_within_the_grace_and_until_it_is_whole():
    found = doubt()
    found.arriving(1_000.0, call=1)
    found.arriving(1_200.0, call=1)  # the first bytes count
    assert not found.withholds(1_000.0 + GRACE - HELD_UP - 1)
    assert found.withholds(1_000.0 + GRACE - HELD_UP)
    found.arrived(0.0, 1, version=4, whole=False)
    assert not found.withholds(9_000.0)


def test_what_was_cut_off_counts_from_its_first_byte():
    found = doubt()
    found.arriving(1_000.0, call=1)
    found.lost(1_290.0, call=1, version=4, latest=1)
    assert found.withholds(1_300.0)


@pytest.mark.parametrize("version, whole, settled", [
    (3, False, False), (4, False, True), (5, False, True), (3, True, True)])
def test_a_doubt_is_over_with_as_much_news_or_the_whole_list(version, whole, settled):
    found = doubt()
    found.lost(1_000.0, call=1, version=4, latest=1)
    found.arrived(0.0, 2, version, whole)
    assert found.withholds(2_000.0) is not settled


def test_one_answer_ends_no_doubt_about_another_that_is_still_arriving():
    found = doubt()
    found.arriving(1_000.0, call=1)
    found.arriving(1_100.0, call=2)
    found.arrived(0.0, 2, version=4, whole=True)
    assert found.withholds(1_400.0)
    found.nothing(1)  # it was read to its end, and told no more than that
    assert not found.withholds(1_400.0)


def test_in_any_order_a_doubt_holds_as_long_as_something_is_missing():
    steps = {
        "arriving": lambda found, at: found.arriving(at, 1),
        "cut": lambda found, at: found.lost(at, 2, 0, 2),
        "whole": lambda found, at: found.arrived(0.0, 3, 9, True),
        "rest": lambda found, at: found.arrived(0.0, 1, 9, False)}
    for order in permutations(steps):
        found = doubt()
        for at, name in enumerate(order):
            steps[name](found, float(at))
        # one call began before the loss: what it tells may have been written before it
        cut_open = order.index("whole") < order.index("cut")
        arriving_open = order.index("rest") < order.index("arriving")
        assert found.withholds(5_000.0) is (cut_open or arriving_open), order


def test_a_service_that_died_in_the_middle_of_an_answer_keeps_nothing_out_for_good():
    # four times the time for asking: for so long a list may be used after a failed call
    found = doubt()
    found.lost(0.0, call=1, version=4, latest=1)
    assert found.withholds(4 * ASKING - 1) and not found.withholds(4 * ASKING)


def test_the_decisions_send_nothing_while_an_update_is_in_doubt_and_go_on_after_it():
    host = FakeHost([listed(0), listed(1)])
    host.balancer.in_doubt.lost(host.now, 1, 4, 1)
    host.pass_time(GRACE - HELD_UP + 1)
    visits = [host.take() for _ in range(3)]
    assert not host.sends and all(visit.tag in host.bounced for visit in visits)  # another may know
    host.balancer.in_doubt.arrived(0.0, 2, 4, False)
    assert host.take().out and len(host.sends) == 1


def test_an_attempt_that_never_ran_is_not_repeated_while_an_update_is_in_doubt():
    host = FakeHost([listed(0), listed(1)])
    visit = host.take()
    host.balancer.in_doubt.lost(host.now, 1, 4, 1)
    host.end(visit, End.UNREACHED, GRACE)
    assert len(host.sends) == 1 and visit.tag in host.bounced


def test_a_call_goes_out_soon_after_an_answer_that_was_cut_off():
    host = FakeHost([listed(0)], ask_for_list=True, balancers=200)
    host.pass_time(5_000.0)
    began = len(host.watches)
    host.balancer.told_nothing(host.now, lost=True)
    host.pass_time(151.0)
    assert len(host.watches) == began + 1


@pytest.mark.parametrize("part, version", [
    (b'{"rev":41,"all":true', 41), (b'{ "rev" : 41 }', 41), (b'{"all":true,"rev":4', 0),
    (b'{"targets":[', 0)])
def test_the_version_of_a_part_is_known_once_all_its_figures_have_come(part, version):
    # taken for 4, an older list would have ended the doubt about 41
    assert version_of(part) == version


def test_what_only_the_whole_list_can_tell_is_settled_by_no_later_update():
    found = doubt()
    found.lost(0.0, call=1, version=WHOLE_LIST, latest=1)
    found.arrived(0.0, 1, version=10_000, whole=False)
    assert found.withholds(1_000.0)
    found.arrived(0.0, 2, version=5, whole=True)
    assert not found.withholds(1_000.0)


def test_an_answer_that_was_asked_for_before_a_loss_says_nothing_of_it():
    # an older answer, read after the loss, ended the doubt about a newer one
    found = doubt()
    found.lost(1_000.0, call=2, version=0, latest=3)
    found.arrived(0.0, 1, version=9, whole=True)
    found.arrived(0.0, 3, version=9, whole=False)
    assert found.withholds(2_000.0)
    found.arrived(0.0, 4, version=9, whole=False)
    assert not found.withholds(2_000.0)


def test_of_two_losses_the_later_one_is_not_settled_by_a_call_between_them():
    found = doubt()
    found.lost(1_000.0, call=1, version=4, latest=1)
    found.lost(1_200.0, call=2, version=0, latest=2)
    found.arrived(0.0, 2, version=5, whole=True)
    assert found.withholds(2_000.0)
    found.arrived(0.0, 3, version=5, whole=False)
    assert not found.withholds(2_000.0)


def test_a_reset_with_nothing_read_counts_for_a_second_as_an_outage_resets_all():
    found = doubt()
    found.lost(0.0, call=1, version=0, latest=1, seen=False)
    assert not found.withholds(GRACE - HELD_UP - 1) and found.withholds(GRACE - HELD_UP)
    assert found.withholds(LONGEST_UNSEEN - 1) and not found.withholds(LONGEST_UNSEEN)
    found.turned_away(LONGEST_UNSEEN + 1.0, call=2)  # an outage may end in that way
    assert not found.withholds(LONGEST_UNSEEN + 2.0)
    found.lost(5_000.0, call=2, version=0, latest=2, seen=False)  # the first one was not settled
    assert not found.withholds(5_500.0)


def test_it_counts_for_longer_where_the_service_answers_since_that_is_no_outage():
    found = doubt()
    found.lost(0.0, call=1, version=0, latest=1, seen=False)
    found.turned_away(200.0, call=1)  # it was asked for before
    assert not found.withholds(LONGEST_UNSEEN)
    found.turned_away(200.0, call=2)
    assert found.withholds(LONGEST_UNSEEN_IF_UP - 1) and not found.withholds(LONGEST_UNSEEN_IF_UP)
    found.arrived(0.0, 3, version=0, whole=False)
    found.lost(9_000.0, call=3, version=0, latest=3, seen=False)
    assert found.withholds(9_000.0 + LONGEST_UNSEEN - 1) and not found.withholds(9_000.0 + LONGEST_UNSEEN)


def test_calls_after_losses_in_a_row_come_further_and_further_apart():
    # a service that resets each call at once was called again without a pause by who is first in the bank
    host = FakeHost([listed(0)], ask_for_list=True, balancers=200)
    host.balancer._asking.place = 0.0
    host.pass_time(5_000.0)
    host.watches.clear()
    began = host.now
    while host.now < began + 10_000.0:
        calls = len(host.watches)
        host.balancer.told_nothing(host.now, lost=True)
        while len(host.watches) == calls:
            host.pass_time(1.0)
    gaps = [later - earlier for earlier, later in pairwise(host.watches)]
    assert gaps == sorted(gaps) and gaps[0] < 250.0 and gaps[-1] >= 1_000.0


def test_what_a_silent_call_misses_counts_as_told_6_s_after_its_last_word():
    found = doubt()
    found.fell_silent(1_000.0, call=2)  # noticed later
    told = 1_000.0 + TOLD_AT_LAST
    assert not found.withholds(told + GRACE - HELD_UP - 1) and found.withholds(told + GRACE - HELD_UP)
    found.arrived(0.0, 1, version=9, whole=True)  # it was asked for before
    assert found.withholds(told + 1_000.0)
    found.arrived(0.0, 3, version=0, whole=False)  # nothing has changed, says a later one
    assert not found.withholds(told + 1_000.0)


def test_a_call_that_is_answered_in_time_leaves_nothing_of_the_silence_before():
    found = doubt()
    found.fell_silent(1_000.0, call=2)
    found.arrived(0.0, 3, version=4, whole=False)
    assert not found.withholds(1_000.0 + TOLD_AT_LAST + 1_000.0)


def turned_away_after(steps):
    """A doubt after steps of (name, time), and a call that is turned away last."""
    found = doubt()
    for call, (step, now) in enumerate(steps, 1):
        match step:
            case "told":
                found.arrived(now, call, version=9, whole=False)
            case "reset":
                found.lost(now, call, version=0, latest=call, seen=False)
            case "503":
                found.turned_away(now, call)
                found.kept_from_us()
            case "ended in order":
                found.current(now)
            case "refused":
                found.unreachable(now)
    return found


@pytest.mark.parametrize("steps, told", [
    ([("told", 1_000.0), ("503", 4_000.0)], 1_000.0 + TOLD_AT_LAST),
    ([("told", 1_000.0), ("503", 4_000.0), ("503", 6_500.0)], 1_000.0 + TOLD_AT_LAST),
    ([("told", 1_000.0), ("ended in order", 3_000.0), ("503", 4_000.0)], 3_000.0 + TOLD_AT_LAST),
    # what changed while no connection could be made counts from when it could again
    ([("told", 1_000.0), ("refused", 8_000.0), ("503", 9_000.0)], 8_000.0 + TOLD_AT_LAST),
    # an answer tells that the service is up again
    ([("reset", 500.0), ("told", 2_000.0), ("503", 3_000.0)], 2_000.0 + TOLD_AT_LAST)])
def test_a_service_that_turns_calls_away_has_told_each_change_6_s_after_it_was_made(steps, told):
    found = turned_away_after(steps)
    assert not found.withholds(told + GRACE - HELD_UP - 1)
    assert found.withholds(told + GRACE - HELD_UP) and found.withholds(told + 9_000.0)
    found.arrived(told + 9_000.0, call=1, version=0, whole=False)  # a call of before has the news as well
    assert not found.withholds(told + 9_000.0)


@pytest.mark.parametrize("steps", [
    [("told", 1_000.0), ("reset", 2_000.0), ("503", 4_100.0), ("503", 9_000.0)],  # an outage ends calls so
    [("503", 1_000.0), ("503", 4_100.0)],  # a process that has not heard from the service
    [("refused", 500.0), ("503", 4_100.0)]])
def test_a_service_that_turns_calls_away_and_may_be_down_keeps_no_request_out(steps):
    # turning all requests away for the whole length of an outage costs more than it keeps
    found = turned_away_after(steps)
    assert not any(found.withholds(at) for at in (4_100.0, 9_000.0, 12_000.0, 20_000.0))


def test_a_service_that_turns_all_calls_away_does_not_keep_requests_out_for_good():
    found = turned_away_after([("told", 1_000.0), ("503", 2_000.0), ("503", 30_000.0)])
    told = 1_000.0 + TOLD_AT_LAST
    assert found.withholds(told + LONGEST * ASKING - 1) and not found.withholds(told + LONGEST * ASKING)
