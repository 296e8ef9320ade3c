"""The start of a bank: pacing of calls to the list service, the cached list, the operator file."""

from __future__ import annotations

import asyncio
import json
from bisect import bisect
from dataclasses import replace
from math import inf
from pathlib import Path
from time import time

import pytest
from click.testing import CliRunner
from stand_ins import Peer, Registry, configuration, heard, running, target, until_ready

from ospreyline import operator_settings
from ospreyline.__main__ import main
from ospreyline.config import ConfigError
from ospreyline.fleet import list_cache
from ospreyline.fleet.pace import CallPacer
from ospreyline.lab.turns import Turns
from ospreyline.net.dispatcher import clock


def bank(count: int, calls_per_s: float) -> list[CallPacer]:
    return [CallPacer(n, count, calls_per_s, 10_000.0) for n in range(count)]


def simulate(
    paces: list[CallPacer],
    calls_per_s: float,
    seconds: float,
    down: tuple[float, float] = (0.0, 0.0),
    queue: int = 50,
) -> tuple[Turns, dict[int, float], list[float]]:
    """Simulates a bank that starts at 0 ms, with a service that is down during `down` (ms): the service,
    when each balancer was served, and the times of all calls, in ms."""
    turns, served, calls = Turns(1e3 / calls_per_s, queue), {}, []
    for pace in paces:
        pace.start(0.0)
    now = 0.0
    while now < 1e3 * seconds:
        number, pace = min(enumerate(paces), key=lambda p: p[1].next_call_at)
        now = pace.next_call_at
        if now == inf:
            break
        pace.call_started(now)
        calls.append(now)
        if down[0] <= now < down[1] or (wait := turns.call(now)) is None:
            pace.call_failed(now)
        else:
            served[number] = now + wait
            pace.call_answered()
    return turns, served, calls


@pytest.mark.parametrize("count", [3, 30, 400, 1_000])
def test_a_bank_that_starts_at_once_is_served_in_turn(count):
    # Without pacing half of 200 balancers had a list only after 7.4 s, from a service that could serve all in
    # 0.8 s.
    turns, served, calls = simulate(bank(count, 250.0), 250.0, 30.0)
    assert len(served) == len(calls) == count and turns.longest <= 2
    assert max(served.values()) <= 1e3 * count / (0.8 * 250.0) + 10.0


@pytest.mark.parametrize("count", [30, 400])
def test_after_a_failure_of_20_s_the_bank_comes_back_no_faster_than_it_is_served(count):
    paces = bank(count, 250.0)
    turns, served, calls = simulate(paces, 250.0, 60.0, down=(0.0, 20_000.0))
    assert len(served) == count and turns.longest <= 10 and not turns.refused
    assert max(served.values()) <= 20_100.0 + paces[0].period
    # within the service's call rate: each calls once per period, which is no shorter than the window
    assert all(bisect(calls, at + paces[0].period - 1.0) - i <= count for i, at in enumerate(calls))
    assert paces[0].period >= 1e3 * count / (0.8 * 250.0)


def test_watches_that_all_end_at_once_are_asked_for_in_turn():
    paces = bank(400, 250.0)
    _, served, _ = simulate(paces, 250.0, 30.0)
    assert len(served) == 400
    for pace in paces:
        pace.call_failed(50_000.0)
    turns = Turns(4.0, 50)
    assert all(turns.call(due) is not None for due in sorted(pace.next_call_at for pace in paces))
    assert turns.longest <= 2 and min(p.next_call_at for p in paces) >= 50_250.0


def test_whoever_is_told_by_others_asks_a_service_that_is_down_as_rarely_as_the_rule_allows():
    pace, calls = CallPacer(7, 100, 250.0, 10_000.0), 0
    pace.start(0.0)
    while pace.next_call_at < 20_000.0:
        now = pace.next_call_at
        pace.call_started(now)
        pace.call_failed(now, told=True)
        assert pace.next_call_at - now < 0.8 * 10_000.0
        calls += 1
    assert calls <= 4


@pytest.mark.parametrize(
    ("retry_after", "least", "most"),
    [
        (0.0, 1_000.0, 1_400.0),
        (2_500.0, 2_500.0, 2_500.0),
        (3_000.0, 2_800.0, 2_800.0),
        (3_600_000.0, 2_800.0, 2_800.0),
    ],
)
def test_a_refusal_is_honoured_but_never_until_the_list_counts_as_told(retry_after, least, most):
    pace = CallPacer(0, 3, 250.0, 10_000.0)
    pace.start(0.0)
    pace.call_started(0.0)
    pace.call_failed(100.0, retry_after)
    assert least <= pace.next_call_at - 100.0 <= most


def test_the_decisions_wish_for_a_watch_brings_no_second_call():
    pace = CallPacer(1, 2, 250.0, 10_000.0)
    pace.start(0.0)
    due = pace.next_call_at
    pace.request_watch(0.0)
    assert pace.next_call_at == due
    pace.call_started(due)
    again = pace.next_call_at
    pace.request_watch(due + 1)
    assert pace.next_call_at == again == due + pace.period  # a second call, in case the first gets no answer
    pace.call_answered()
    pace.request_watch(due + 2)
    assert pace.next_call_at == inf


TARGETS = [json.dumps(target(f"s-{i}", 9_000 + i)).encode() for i in range(3)]


def test_a_kept_list_comes_back_as_it_was():
    found = list_cache.decode(list_cache.encode(1_000.0, 7, TARGETS), 61_000.0, 86_400e3)
    assert (found.rev, found.age, found.count) == (7, 60_000.0, 3)
    assert json.loads(found.body) == {"rev": 7, "all": True, "targets": [json.loads(t) for t in TARGETS]}


WHOLE = list_cache.encode(1_000.0, 7, TARGETS)


def test_a_kept_list_that_was_cut_short_anywhere_is_not_taken():
    for cut in range(len(WHOLE)):
        with pytest.raises(list_cache.CachedListError):
            list_cache.decode(WHOLE[:cut], 2_000.0, 86_400e3)


@pytest.mark.parametrize(
    ("text", "now", "why"),
    [
        (WHOLE.replace(b"9001", b"9999"), 2_000.0, "checksum"),
        (b"ospreyline-list 2 " + WHOLE[18:], 2_000.0, "unknown file format"),
        (WHOLE, 90_000_000.0, "s old"),
        (WHOLE, -400_000.0, "future"),
    ],
)
def test_a_kept_list_that_is_damaged_or_old_is_taken_not_at_all(text, now, why):
    with pytest.raises(list_cache.CachedListError, match=why):
        list_cache.decode(text, now, 86_400e3)


@pytest.fixture
def settings(tmp_path) -> operator_settings.OperatorSettings:
    return operator_settings.parse(f'[list]\nkeep = "{tmp_path / "kept"}"\ncalls_per_s = 250\n')


def logged(service, monkeypatch) -> list[str]:
    lines: list[str] = []
    for level in ("info", "warning"):
        monkeypatch.setattr(service.dispatcher.logger, level, lambda event, **more: lines.append(event))
    return lines


async def until(holds) -> None:
    async with asyncio.timeout(5):
        while not holds():
            await asyncio.sleep(0.01)


def test_a_balancer_keeps_what_it_was_told_and_starts_from_it(settings, tmp_path):
    async def scenario():
        registry = Registry()
        async with running(registry=registry, known=[], operator=settings):
            await registry.tell(41, target("s-9", 9_009), whole=True)
            await until((tmp_path / "kept").exists)
        assert b"after=3" in registry.requests[0][0]
        again = Registry()
        async with running(registry=again, known=[], operator=settings) as service:
            assert list(service.dispatcher.directory.target_by_uid) == ["s-9"]
            await again.until(lambda: bool(again.requests))
            assert b"watch=1&after=41" in again.requests[0][0]
            # not ready: until the service confirms the list its age is unknown
            assert not service.dispatcher.ready()
            await again.tell(41)
            await until_ready(service)
            assert service.dispatcher.ready()

    asyncio.run(scenario())


def test_a_kept_list_has_no_version_whose_news_could_not_be_read(settings, tmp_path):
    async def scenario():
        registry, peer = Registry(), await Peer().start()
        async with running(peer, registry=registry, operator=settings) as service:
            await registry.tell(8)
            while service.dispatcher.discovery.rev != 8:
                await asyncio.sleep(0.01)
            await registry.say(b'{"rev":9,"all":false,"targets":[{"uid":7}]}\n')
            await registry.until(lambda: len(registry.requests) == 2)
            await until((tmp_path / "kept").exists)
        again = Registry()
        async with running(peer, registry=again, known=[], operator=settings):
            await again.until(lambda: bool(again.requests))
            assert b"after=9 " not in again.requests[0][0]

    asyncio.run(scenario())


@pytest.mark.parametrize("text", [b"", b"nonsense", WHOLE[:50], list_cache.encode(5.0, 41, TARGETS)])
def test_a_kept_list_that_cannot_be_used_costs_a_line_of_the_log_and_nothing_else(text, settings, tmp_path):
    async def scenario():
        (tmp_path / "kept").write_bytes(text)
        registry = Registry()
        async with running(registry=registry, operator=settings, known=[target("s-1", 9_001)]) as service:
            assert list(service.dispatcher.directory.target_by_uid) == ["s-1"]
            await registry.until(lambda: bool(registry.requests))
            assert b"after=3" in registry.requests[0][0]
            await heard(service, registry)
            assert service.dispatcher.ready()

    asyncio.run(scenario())


def test_a_configured_list_that_is_newer_wins(settings, tmp_path):
    async def scenario():
        (tmp_path / "kept").write_bytes(list_cache.encode(time() * 1e3, 2, TARGETS))
        async with running(operator=settings, known=[target("s-1", 9_001)]) as service:  # version 3
            assert list(service.dispatcher.directory.target_by_uid) == ["s-1"]

    asyncio.run(scenario())


def test_a_disk_that_is_gone_costs_the_next_start_its_list_and_nothing_else(tmp_path):
    on = operator_settings.parse(f'[list]\nkeep = "{tmp_path / "no" / "folder"}"\n')

    async def scenario():
        registry = Registry()
        async with running(registry=registry, known=[], operator=on) as service:
            await registry.tell(41, target("s-9", 9_009), whole=True)
            await until(
                lambda: (
                    service.dispatcher._list_cache._writing is None
                    and service.dispatcher._list_cache._saved_at
                )
            )
            assert service.dispatcher.ready()

    asyncio.run(scenario())


def test_a_refused_call_is_made_again_when_the_service_said(settings):
    async def scenario():
        registry = Registry()
        registry.answers = ["unused"]

        async def refuse(reader, writer):
            await reader.readuntil(b"\r\n\r\n")
            registry.requests.append((b"", b""))
            writer.write(b"HTTP/1.1 503 Busy\r\nRetry-After: 2.5\r\nContent-Length: 0\r\n\r\n")
            writer.close()
            registry.changed.set()

        registry._serve = refuse
        async with running(registry=registry, operator=settings) as service:
            await registry.until(lambda: bool(registry.requests))
            await until(lambda: service.dispatcher._pace.failures)
            assert service.dispatcher._pace.failures == 1
            assert 2_000.0 < service.dispatcher._pace.next_call_at - clock() <= 2_700.0

    asyncio.run(scenario())


@pytest.mark.parametrize(
    ("text", "said"),
    [
        ("[lst]\n", "lst: unknown key, 'list'?"),
        ("[list]\ncalls_per = 3\n", "list.calls_per: unknown key, 'calls_per_s'?"),
        ("[list]\ncalls_per_s = -1\n", "list.calls_per_s: "),
        ("[list]\nkeep = 3\n", "list.keep: "),
        ("[list", "Expected"),
    ],
)
def test_what_is_wrong_with_the_operators_file_is_one_line_that_names_it(text, said, tmp_path):
    (tmp_path / "operator.toml").write_text(text)
    with pytest.raises(ConfigError) as error:
        operator_settings.load(tmp_path / "operator.toml")
    assert f"operator.toml: {said}" in str(error.value) and "\n" not in str(error.value)


def test_the_example_switches_nothing_on_and_names_every_key():
    path = Path(__file__).parent.parent / "deploy" / "operator.toml"
    assert operator_settings.load(path) == operator_settings.OFF
    assert {key.origin for key in operator_settings.keys(operator_settings.OFF, path)} == {str(path)}


def test_check_and_show_say_what_holds_and_where_it_comes_from(tmp_path):
    told, on = tmp_path / "b.json", tmp_path / "operator.toml"
    told.write_text(json.dumps(configuration([])))
    on.write_text("[list]\ncalls_per_s = 250\n")
    call = [str(told), "--operator", str(on)]
    assert "for a list service of 250 a second" in CliRunner().invoke(main, ["check", *call]).output
    shown = CliRunner().invoke(main, ["config", "show", *call], env={"PROXY_NAME": "other"}).output
    assert f"list.calls_per_s = 250.0  # {on}; SIGHUP applies it" in shown
    assert "list.keep = ''  # default; SIGHUP does not apply it" in shown
    assert "name = other  # PROXY_NAME" in shown and f"listen = 127.0.0.1:0  # {told}" in shown
    found = CliRunner().invoke(main, ["serve", str(told), "--operator", str(tmp_path / "none.toml")])
    assert found.exit_code == 2 and len(found.output.splitlines()) == 1


def test_a_reload_switches_the_pace_on_and_off(settings):
    async def scenario():
        registry = Registry()
        async with running(registry=registry) as service:
            await registry.tell(4, target("s-1", 9_001))
            config = service._config
            service._operator = operator_settings.OFF
            service.reload(lambda: (config, settings))
            assert service.dispatcher._pace is not None and service.dispatcher.discovery.has_watch
            # another size of the bank changes the window, though the operator file is the same
            window = service.dispatcher._pace.window
            larger = replace(
                config, deployment=replace(config.deployment, balancers=10 * config.deployment.balancers)
            )
            service.reload(lambda: (larger, settings))
            assert service.dispatcher._pace.window == pytest.approx(10 * window)
            service.reload(lambda: (config, operator_settings.OFF))
            assert service.dispatcher._pace is None and service.dispatcher._list_cache is not None

    asyncio.run(scenario())
