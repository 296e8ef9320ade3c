"""Model checker of the takeover protocol: an owner, balancers that take over and three acceptors; one visit.

Explores `fleet/acceptor.py` itself, with all orders, losses and duplications of messages. A step is one
message delivered (it stays for a second delivery while duplications are left; a message that is never
delivered is lost), one action of a balancer (request a grant, write the fetch, record its answer, refuse,
take over), the restart of an acceptor, or its discarding of its records. The steps of a balancer that is
stopped or has crashed come late or never, so stalls between a check and a write are covered. States that
differ only by a permutation of the acceptors, or in messages that nobody waits for, are merged.

Invariants, checked in every state:

- effects: the mutating visit is written at most once, by all balancers together;
- refusal: once a client was told that the visit never ran, it has not run and never will;
- truth: a balancer that takes over and concludes that the visit never ran is right, and stays right unless it
  runs the visit itself; an answer that a balancer has is that of the one write.
"""

from __future__ import annotations

import pickle
from collections import deque
from dataclasses import dataclass, field
from time import perf_counter

from ospreyline.fleet.acceptor import Acceptor, Proposer
from ospreyline.fleet.frames import TakeoverMessage

VISIT = "v"
ACCEPTORS = ("g0", "g1", "g2")


@dataclass(slots=True)
class State:
    """One state of the explored world."""

    acceptors: list[Acceptor]
    proposers: dict[str, Proposer]
    in_flight: list[TakeoverMessage] = field(default_factory=list)
    # by balancer: those that wrote the fetch, in order; those that told the client that the visit never ran
    writers: list[str] = field(default_factory=list)
    refusers: list[str] = field(default_factory=list)
    grants_requested: dict[str, int] = field(default_factory=dict)
    answer_recorders: list[str] = field(default_factory=list)  # recorded the answer to their fetch
    given_up: list[str] = field(default_factory=list)  # reported that they send nothing more
    doublings_left: int = 0
    restarts_left: int = 0
    forgets_left: int = 0


@dataclass(slots=True, frozen=True)
class Result:
    """The result of an exploration."""

    states: int
    seconds: float
    complete: bool  # all states within the bounds were explored
    violation: str  # the invariant that does not hold; empty if all hold
    trace: tuple[str, ...]  # the steps that lead to the violation


class Explorer:
    """The world and its steps; tests plant a mistake by a subclass or a patch of the explored code."""

    def __init__(
        self,
        takers: int = 1,
        doublings: int = 0,
        restarts: int = 0,
        forgets: int = 0,
        may_refuse: bool = True,
        covered: bool = False,
        at_once: bool = False,
        answers: bool = False,
        anew: bool = False,
        gives_up: bool = False,
    ) -> None:
        """`covered`: start when all acceptors store the visit, else when its owner accepts it.
        `at_once`: the owner's first message requests a grant; `answers`: a writer may record an answer.
        `anew`: takeovers are on behalf of the client, which retries; they may run a refused visit.
        `gives_up`: whoever may have written may give the visit up without an answer."""
        self.takers = [f"s{i}" for i in range(takers)]
        self.bounds = (doublings, restarts, forgets)
        self.may_refuse = may_refuse
        self.covered, self.at_once, self.answers, self.for_client = covered, at_once, answers, anew
        self.gives_up = gives_up

    def begin(self) -> State:
        acceptors = [Acceptor(name, 1e9, 1) for name in ACCEPTORS]
        state = State(
            acceptors,
            {},
            doublings_left=self.bounds[0],
            restarts_left=self.bounds[1],
            forgets_left=self.bounds[2],
        )
        for acceptor in acceptors:
            for member in ("o", *self.takers):
                acceptor.start_session(member)
        owner = state.proposers["o"] = Proposer(
            VISIT, "o", ACCEPTORS, self.sessions(state, "o"), b"request", serials=dict.fromkeys(ACCEPTORS, 1)
        )
        if self.at_once:
            state.grants_requested["o"] = 1
            owner.request_grant()
        else:
            owner.register()
        self._send_pending(state, "o")
        if self.covered:
            for message in state.in_flight:
                state.proposers["o"].receive(
                    acceptors[ACCEPTORS.index(message.receiver)].receive(0.0, message)
                )
            state.in_flight.clear()
        return state

    @staticmethod
    def sessions(state: State, member: str) -> dict[str, int]:
        return {acceptor.name: acceptor.sessions[member] for acceptor in state.acceptors}

    @staticmethod
    def _send_pending(state: State, name: str) -> None:
        """Moves the messages that a balancer wants to send into the network."""
        proposer = state.proposers[name]
        state.in_flight += proposer.out
        proposer.out.clear()

    # steps

    def steps(self, state: State) -> list[tuple[str, int | str]]:
        """The possible next steps as (kind, target), in a fixed order."""
        out: list[tuple[str, int | str]] = []
        seen: set[TakeoverMessage] = set()
        for i, message in enumerate(state.in_flight):
            if message not in seen:
                seen.add(message)
                out.append(("deliver", i))
                if state.doublings_left:
                    out.append(("double", i))
        for name, proposer in sorted(state.proposers.items()):
            if proposer.owned and not proposer.lost and proposer.answer is None:
                if (
                    not proposer.granted
                    and not state.grants_requested.get(name)
                    and not proposer.may_have_run
                ):
                    out.append(("permit", name))
                if (
                    self.may_refuse
                    and not proposer.granted
                    and not proposer.may_have_run
                    and name not in state.refusers
                ):
                    out.append(("refuse", name))
            if proposer.granted and name not in state.writers:
                out.append(("write", name))
            if self.answers and name in state.writers and name not in state.answer_recorders:
                out.append(("answer", name))
            may_give_up = self.gives_up and (proposer.granted or name in state.writers)
            if may_give_up and name not in state.given_up:
                out.append(("give up", name))
            if proposer.refusal_recorded and name not in state.refusers:
                out.append(("tell", name))
        for name in self.takers:
            if name not in state.proposers:
                out.append(("claim", name))
        if state.restarts_left:
            out += [("restart", i) for i in range(len(ACCEPTORS))]
        if state.forgets_left:
            out += [("forget", i) for i, acceptor in enumerate(state.acceptors) if VISIT in acceptor.records]
        return out

    def step(self, state: State, kind: str, target: int | str) -> str:
        """Performs one step; returns its description."""
        description = self._apply(state, kind, target)
        state.in_flight = [
            message
            for message in state.in_flight
            if message.receiver in ACCEPTORS or self.still_matters(state, message)
        ]
        return description

    @staticmethod
    def still_matters(state: State, message: TakeoverMessage) -> bool:
        """Whether a message to a balancer can still change its state."""
        proposer = state.proposers.get(message.receiver)
        if (
            proposer is not None
            and message.ballot == proposer.ballot
            and message.about == "claim"
            and message.answered
        ):
            return proposer.answer is None or (proposer._requested == "claim" and not proposer.owned)
        if (
            proposer is None
            or message.ballot != proposer.ballot
            or message.about != proposer._requested
            or proposer.lost
        ):
            return False
        if message.about == "register" or (message.about == "claim" and proposer.owned):
            return False  # its content is known already, or nobody acts on it
        return message.sender not in (proposer._accepts if message.kind == "yes" else proposer._rejects)

    def _apply(self, state: State, kind: str, target: int | str) -> str:
        if kind in ("deliver", "double"):
            assert isinstance(target, int)
            message = state.in_flight[target]
            if kind == "deliver":
                del state.in_flight[target]
            else:
                state.doublings_left -= 1
            if message.receiver in ACCEPTORS:
                acceptor = state.acceptors[ACCEPTORS.index(message.receiver)]
                answer = acceptor.receive(0.0, message)
                state.in_flight += [answer, *acceptor.out]
                acceptor.out.clear()
                return (
                    f"{message.sender} to {message.receiver}: {message.kind} {message.ballot}, {answer.kind}"
                )
            proposer = state.proposers.get(message.receiver)
            if proposer is not None:
                proposer.receive(message)
                self._send_pending(state, message.receiver)
            return (
                f"{message.sender} to {message.receiver}: {message.kind} to {message.about} {message.ballot}"
            )
        if kind in ("restart", "forget"):
            assert isinstance(target, int)
            self._discard_records(state, target, kind)
            return f"{ACCEPTORS[target]} {kind}s"
        assert isinstance(target, str)
        proposer = state.proposers.get(target) or Proposer(
            VISIT, target, ACCEPTORS, self.sessions(state, target), client_retried=self.for_client
        )
        if kind == "claim":
            state.proposers[target] = proposer
            proposer.claim((self.takers.index(target), "o"))
        elif kind == "permit":
            state.grants_requested[target] = 1
            proposer.request_grant()
        elif kind == "refuse":
            proposer.refuse()
            state.refusers += [target] if proposer.refusal_recorded else []
        elif kind == "write":
            state.writers.append(target)
        elif kind == "answer":
            state.answer_recorders.append(target)
            proposer.record_answer(b"answer")
        elif kind == "give up":
            state.given_up.append(target)
            proposer.give_up()
        elif kind == "tell":
            state.refusers.append(target)
        self._send_pending(state, target)
        return f"{target}: {kind}"

    def _discard_records(self, state: State, place: int, kind: str) -> None:
        """An acceptor loses its records: by a restart (with new links) or by forgetting (links stay)."""
        old = state.acceptors[place]
        if kind == "forget":
            state.forgets_left -= 1
            old.records.clear()
            return
        acceptor = state.acceptors[place] = Acceptor(old.name, old.retention_ms, 2)
        for member in ("o", *self.takers):
            acceptor.start_session(member)
        state.restarts_left -= 1

    # invariants

    def violation(self, state: State) -> str:
        """The invariant that the state breaks; empty if none."""
        if len(state.writers) > 1:
            return f"effects: written by {state.writers}"
        if state.refusers and state.writers and (not self.for_client or state.writers[0] in state.refusers):
            return f"refusal: {state.refusers} told that it never ran, written by {state.writers}"
        for name, proposer in state.proposers.items():
            if name != "o" and proposer.outcome() == "never ran" and any(w != name for w in state.writers):
                return f"truth: {name} holds that it never ran, written by {state.writers}"
            if proposer.outcome() == "answered" and not state.writers:
                return f"truth: {name} has an answer, written by nobody"
        return ""

    def explore(self, max_states: int = 2_000_000) -> Result:
        """Explores all reachable states breadth first, so that a violation has the shortest trace."""
        started = perf_counter()
        first = self.begin()
        encoded = pickle.dumps(first)
        seen = {self.key(first)}
        predecessor: dict[bytes, tuple[bytes, str]] = {}
        queue: deque[bytes] = deque([encoded])
        while queue:
            at = queue.popleft()
            for kind, target in self.steps(pickle.loads(at)):
                state: State = pickle.loads(at)
                description = self.step(state, kind, target)
                key = self.key(state)
                if key in seen:
                    continue
                seen.add(key)
                encoded = pickle.dumps(state)
                predecessor[encoded] = (at, description)
                if why := self.violation(state):
                    trace = [description]
                    while at in predecessor:
                        at, step = predecessor[at]
                        trace.append(step)
                    return Result(len(seen), perf_counter() - started, False, why, tuple(reversed(trace)))
                if len(seen) >= max_states:
                    return Result(len(seen), perf_counter() - started, False, "", ())
                queue.append(encoded)
        return Result(len(seen), perf_counter() - started, True, "", ())

    @staticmethod
    def key(state: State) -> int:
        """Equal for states that differ only by a permutation of the acceptors or in irrelevant parts."""
        names = sorted(state.proposers)
        each = []
        for acceptor in state.acceptors:
            stored = acceptor.records.get(VISIT)
            record = stored and (
                stored.promised,
                stored.acceptors,
                stored.answer,
                stored.answered,
                stored.closed,
                stored.given_up,
                tuple(sorted(stored.grants)),
            )
            serials = tuple(sorted(acceptor._serials.items()))
            messages = sorted(
                hash(
                    (
                        s.kind,
                        s.ballot,
                        s.session,
                        s.receiver if s.receiver not in ACCEPTORS else "",
                        s.sender if s.sender not in ACCEPTORS else "",
                        s.body,
                        s.grants,
                        s.promised,
                        s.about,
                        bool(s.acceptors),
                        s.answered,
                        s.closed,
                        s.grant_holder_linked,
                    )
                )
                for s in state.in_flight
                if acceptor.name in (s.receiver, s.sender)
            )
            replies = tuple(
                (
                    acceptor.name in state.proposers[n]._rejects,
                    (y := state.proposers[n]._accepts.get(acceptor.name))
                    and (y.grants, bool(y.acceptors), y.answered, y.body, y.closed),
                )
                for n in names
            )
            sessions = tuple(state.proposers[n].sessions.get(acceptor.name) for n in names)
            each.append(
                hash(
                    (
                        tuple(sorted(acceptor.sessions.items())),
                        serials,
                        record,
                        tuple(messages),
                        replies,
                        sessions,
                    )
                )
            )
        proposers = tuple(
            (
                n,
                w.ballot,
                w.owned,
                w.lost,
                w.has_quorum,
                w.granted,
                w.refusal_recorded,
                w.may_have_run,
                w.answer,
                w.closed,
                w._requested,
                w._refusing,
                w._registered,
            )
            for n in names
            for w in (state.proposers[n],)
        )
        return hash(
            (
                tuple(sorted(each)),
                proposers,
                tuple(state.writers),
                tuple(state.refusers),
                tuple(sorted(state.grants_requested.items())),
                tuple(state.answer_recorders),
                tuple(state.given_up),
                state.doublings_left,
                state.restarts_left,
                state.forgets_left,
            )
        )
