"""Whose request it is: only who has the secret that it was sent with is told its outcome."""

from __future__ import annotations

import asyncio
import json
import os
import socket
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import pytest
from stand_ins import SILENT, Peer, caller, configuration, ok, request, target, until_ready
from test_clients import play

from ospreyline import config
from ospreyline.fleet import acceptor
from ospreyline.fleet.acceptor import Acceptor
from ospreyline.fleet.frames import TakeoverMessage
from ospreyline.net.dispatcher import clock
from ospreyline.net.retry_proof import make_proof, same_proof, visit_suffix
from ospreyline.net.service import Service
from ospreyline.operator_settings import FleetSettings, OperatorSettings, TakeoverSettings

SECRET, OTHER_SECRET = "the-secret-of-this-client", "the-secret-of-another-one"
ID = "9b1f03aa5c7e2d41"
BALANCERS = 3


def free_address(number: int) -> str:
    """An address for links; each process has hosts of its own, so that no other test takes the port."""
    host = f"127.66.{os.getpid() % 250}.{1 + number}"
    with socket.socket() as sock:
        sock.bind((host, 0))
        return f"{host}:{sock.getsockname()[1]}"


@asynccontextmanager
async def bank(peer: Peer) -> AsyncIterator[list[Service]]:
    """Three balancers with takeover, linked to one another."""
    await peer.start()
    at = {f"n{i}": free_address(i) for i in range(BALANCERS)}
    services = []
    for name, address in at.items():
        raw = configuration([target("u0", peer.port)])
        peers = [f"{other}={where}" for other, where in at.items() if other != name]
        operator = OperatorSettings(
            fleet=FleetSettings(bank="test", listen=address, peers=peers), takeover=TakeoverSettings(on=True)
        )
        parsed = config.parse(json.dumps({**raw, "name": name}).encode(), {})
        services.append(Service(asyncio.get_running_loop(), parsed, operator))
    try:
        for service in services:
            service.start()
        for service in services:
            await until_ready(service)
            takeover = service.dispatcher.takeover_adapter.takeover
            while takeover.available_acceptors(clock()) != (BALANCERS - 1, BALANCERS - 1):
                await asyncio.sleep(0.01)
        yield services
    finally:
        for service in services:
            service.end()


def asking(
    secret: str | None, path: str = "/change", body: bytes = b"x", again: bool = False, **fields
) -> bytes:
    """A request with the same id each time; `again`: it asks for the outcome."""
    if secret:
        fields["X_Retry_Secret"] = secret
    if again:
        fields["X_Second_Try"] = "same"
    return request(path, "POST", body, ID, **fields)


FOREIGN = {
    "no secret": asking(None, again=True),
    "another secret": asking(OTHER_SECRET, again=True),
    "another body": asking(SECRET, body=b"y", again=True),
    "another path": asking(SECRET, "/change/other", again=True),
    "another class": asking(SECRET, "/tag", again=True, Idempotency_Key="k"),
    "another method": asking(SECRET, again=True).replace(b"POST", b"PUT", 1),
}


@pytest.mark.parametrize("at", [0, 1], ids=["same balancer", "another balancer"])
@pytest.mark.parametrize("kind", FOREIGN)
def test_an_open_request_is_given_to_nobody_who_only_knows_its_id(kind, at):
    # guards against: a bad client that sends ids of open requests gets their answers, and their clients none
    async def scenario():
        peer = Peer(SILENT)
        async with bank(peer) as services:
            usual, bad = await caller(services[0]), await caller(services[at])
            usual.writer.write(asking(SECRET))
            await peer.until(lambda: len(peer.requests) == 1)
            status, head, body = await bad.ask(FOREIGN[kind])
            assert status >= 400 and b"X-Outcome: answered" not in head and body != b"made for it"
            peer.writers[0].write(ok(b"made for it"))
            assert (await usual.answer())[::2] == (200, b"made for it")
            assert len(peer.requests) == 1

    play(scenario)


@pytest.mark.parametrize("at", [0, 1], ids=["same balancer", "another balancer"])
@pytest.mark.parametrize("kind", FOREIGN)
def test_an_answer_is_told_to_nobody_who_only_knows_the_id(kind, at):
    # guards against: a bad client that sends the ids of answered requests gets their stored answers
    async def scenario():
        peer = Peer(ok(b"made for it"))
        async with bank(peer) as services:
            assert (await (await caller(services[0])).ask(asking(SECRET)))[0] == 200
            status, head, body = await (await caller(services[at])).ask(FOREIGN[kind])
            assert status >= 400 and b"X-Outcome: answered" not in head and body != b"made for it"
            again = await (await caller(services[at])).ask(asking(SECRET, again=True))
            assert again[::2] == (200, b"made for it") and b"X-Outcome: answered" in again[1]
            assert len(peer.requests) == 1

    play(scenario)


def test_a_foreign_claim_does_not_keep_the_client_from_its_answer_after_the_owner_has_ended():
    # guards against: claims of a bad client that take the visit over, or raise its ballot
    async def scenario():
        peer = Peer(ok(b"made for it"))
        async with bank(peer) as services:
            assert (await (await caller(services[0])).ask(asking(SECRET)))[0] == 200
            services[0].end()
            for data in FOREIGN.values():
                assert (await (await caller(services[1])).ask(data))[0] >= 400
            status, _, body = await (await caller(services[1])).ask(asking(SECRET, again=True))
            assert (status, body) == (200, b"made for it") and len(peer.requests) == 1

    play(scenario)


def test_a_client_whose_id_another_uses_at_a_balancer_is_told_its_outcome_there():
    # guards against: a bad client that keeps the client's own claim out, by an open request with the same id
    async def scenario():
        peer = Peer(ok(b"made for it"), SILENT)
        async with bank(peer) as services:
            assert (await (await caller(services[0])).ask(asking(SECRET)))[0] == 200
            bad = await caller(services[1])
            bad.writer.write(asking(None, body=b"bad"))
            await peer.until(lambda: len(peer.requests) == 2)
            status, _, body = await (await caller(services[1])).ask(asking(SECRET, again=True))
            assert (status, body) == (200, b"made for it")
            assert (await (await caller(services[1])).ask(asking(None)))[0] == 409

    play(scenario)


def test_the_client_itself_is_joined_to_its_open_request():
    # guards against: losing the way back of a client whose connection ended under its request
    async def scenario():
        peer = Peer(SILENT)
        async with bank(peer) as services:
            first, second = await caller(services[0]), await caller(services[0])
            first.writer.write(asking(SECRET))
            await peer.until(lambda: len(peer.requests) == 1)
            second.writer.write(asking(SECRET, again=True))
            while not services[0].dispatcher.counts["joined"]:
                await asyncio.sleep(0)
            peer.writers[0].write(ok(b"made for it"))
            assert (await second.answer())[::2] == (200, b"made for it")

    play(scenario)


def test_the_secret_reaches_no_upstream_and_no_log(capsys):
    # guards against: a secret that stands where ids stand
    async def scenario():
        peer = Peer(ok())
        async with bank(peer) as services:
            assert (await (await caller(services[0])).ask(asking(SECRET)))[0] == 200
            assert SECRET.encode() not in peer.requests[0][0]
            for service in services:
                service._log_counts()
                for record in service.dispatcher.takeover_adapter.takeover.acceptor.records.values():
                    assert SECRET.encode() not in record.body + record.answer

    play(scenario)
    assert SECRET not in capsys.readouterr().out


@pytest.mark.parametrize("fields", [b"X-Retry-Secret: short\r\n", b"X-Retry-Secret: " + 20 * b"a" + b"\r\n"])
def test_a_malformed_or_doubled_secret_is_refused(fields):
    async def scenario():
        peer = Peer(ok())
        async with bank(peer) as services:
            data = asking(SECRET).replace(b"Host", fields + b"Host")
            assert (await (await caller(services[0])).ask(data))[0] == 400 and not peer.requests

    play(scenario)


def test_a_proof_holds_for_one_secret_and_one_request():
    parts = b"id", b"POST", b"/change", b"", b"body"
    proof = make_proof(b"secret", *parts)
    assert same_proof(proof, make_proof(b"secret", *parts)) and not same_proof(b"", b"")
    assert not same_proof(proof, make_proof(b"other", *parts))
    for i in range(len(parts)):
        assert not same_proof(proof, make_proof(b"secret", *parts[:i], b"z", *parts[i + 1 :]))
    # the same bytes, divided otherwise
    assert make_proof(b"secret", b"ab", b"c") != make_proof(b"secret", b"a", b"bc")
    assert visit_suffix(b"") != visit_suffix(b"") and visit_suffix(proof) == visit_suffix(proof)


def test_claims_of_unknown_visits_evict_no_answers(monkeypatch):
    # guards against: a bad client that asks for random ids until acceptors have forgotten others' answers
    monkeypatch.setattr(acceptor, "MAX_RECORDS", 50)
    guard = Acceptor("g", 30_000.0, 1)
    session = guard.start_session("n0")
    register = TakeoverMessage(
        "register",
        "usual",
        (0, "n0"),
        session,
        "g",
        "n0",
        b"body",
        acceptors=("g",),
        serial=1,
        time_left_ms=2_000.0,
    )
    assert guard.receive(0.0, register).kind == "yes"
    answer = TakeoverMessage("answer", "usual", (0, "n0"), session, "g", "n0", b"answer")
    assert guard.receive(0.0, answer).kind == "yes"
    for i in range(200):
        guard.receive(1.0, TakeoverMessage("claim", f"bogus-{i}", (1, "n0"), session, "g", "n0"))
    assert guard.records["usual"].answer == b"answer"
