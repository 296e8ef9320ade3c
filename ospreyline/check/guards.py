"""Every order, loss and doubling of what an owner, those that take over and three guardians say of one visit.

The code explored is `fleet/guard.py` itself. A step is one message delivered (kept for a second delivery
while doublings are left; what is never delivered is lost), one thing that a balancer does by itself (ask for
a permit, write the fetch, record its answer, refuse, take over), a guardian's restart, or its forgetting. A
balancer that is stopped or has crashed is one whose steps come late or never: stalls between a check and a
write are among them. States that differ only by which guardian is which, or in words that nobody waits for,
are one.

What must hold in every state:

- effects: the mutating visit is written once at the most, by all together;
- refusal: once a client was told that it never ran, it never runs, and it had not;
- truth: who takes over and holds that it never ran is right, and stays right unless it runs it itself; who
  has an answer has that of the one write.
"""

from __future__ import annotations

import pickle
from collections import deque
from dataclasses import dataclass, field
from time import perf_counter

from ospreyline.fleet.frames import Say
from ospreyline.fleet.guard import Acceptor, Proposer

WORK = "v"
GUARDS = ("g0", "g1", "g2")


@dataclass(slots=True)
class State:
    """One moment of the small world."""

    guards: list[Acceptor]
    works: dict[str, Proposer]
    net: list[Say] = field(default_factory=list)
    written: list[str] = field(default_factory=list)  # who wrote the fetch, in order
    refused: list[str] = field(default_factory=list)  # who told its client that it never ran
    asked: dict[str, int] = field(default_factory=dict)  # permits that each asked for
    answered: list[str] = field(default_factory=list)  # who recorded the answer to its fetch
    doublings: int = 0
    restarts: int = 0
    forgets: int = 0


@dataclass(slots=True, frozen=True)
class Found:
    """How an exploration ended."""

    states: int
    seconds: float
    whole: bool  # all states within the bounds were seen
    broken: str  # the sentence that does not hold; empty if all do
    trace: tuple[str, ...]  # the steps that lead there


class Explorer:
    """The small world and its steps; a planted mistake is a subclass, or a patch of the code explored."""

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
    ) -> None:
        """`covered`: the world begins when all guardians have the visit; else when its owner takes it.
        `at_once`: its first word asks for a permit; `answers`: who wrote may record an answer.
        `anew`: those that claim do so for its client, who asks again, and may run what was refused."""
        self.takers = [f"s{i}" for i in range(takers)]
        self.bounds = (doublings, restarts, forgets)
        self.may_refuse = may_refuse
        self.covered, self.at_once, self.answers, self.for_client = covered, at_once, answers, anew

    def begin(self) -> State:
        guards = [Acceptor(name, 1e9, 1) for name in GUARDS]
        state = State(guards, {}, doublings=self.bounds[0], restarts=self.bounds[1], forgets=self.bounds[2])
        for guard in guards:
            for member in ("o", *self.takers):
                guard.start_session(member)
        owner = state.works["o"] = Proposer(
            WORK, "o", GUARDS, self.sessions(state, "o"), b"request", serials=dict.fromkeys(GUARDS, 1)
        )
        if self.at_once:
            state.asked["o"] = 1
            owner.request_grant()
        else:
            owner.register()
        self.said(state, "o")
        if self.covered:
            for say in state.net:
                state.works["o"].receive(guards[GUARDS.index(say.to)].receive(0.0, say))
            state.net.clear()
        return state

    @staticmethod
    def sessions(state: State, member: str) -> dict[str, int]:
        return {guard.name: guard.sessions[member] for guard in state.guards}

    @staticmethod
    def said(state: State, name: str) -> None:
        work = state.works[name]
        state.net += work.out
        work.out.clear()

    # steps

    def steps(self, state: State) -> list[tuple[str, int | str]]:
        """What may come next, as (kind, whom); the same order each time."""
        out: list[tuple[str, int | str]] = []
        seen: set[Say] = set()
        for i, say in enumerate(state.net):
            if say not in seen:
                seen.add(say)
                out.append(("deliver", i))
                if state.doublings:
                    out.append(("double", i))
        for name, work in sorted(state.works.items()):
            if work.owned and not work.lost and work.answer is None:
                if not work.granted and not state.asked.get(name) and not work.may_have_run:
                    out.append(("permit", name))
                if (
                    self.may_refuse
                    and not work.granted
                    and not work.may_have_run
                    and name not in state.refused
                ):
                    out.append(("refuse", name))
            if work.granted and name not in state.written:
                out.append(("write", name))
            if self.answers and name in state.written and name not in state.answered:
                out.append(("answer", name))
            if work.refusal_recorded and name not in state.refused:
                out.append(("tell", name))
        for name in self.takers:
            if name not in state.works:
                out.append(("claim", name))
        if state.restarts:
            out += [("restart", i) for i in range(len(GUARDS))]
        if state.forgets:
            out += [("forget", i) for i, guard in enumerate(state.guards) if WORK in guard.works]
        return out

    def step(self, state: State, kind: str, whom: int | str) -> str:
        """Do one step; in words."""
        said = self._step(state, kind, whom)
        state.net = [say for say in state.net if say.to in GUARDS or self.waited(state, say)]
        return said

    @staticmethod
    def waited(state: State, say: Say) -> bool:
        """Whether an answer can still change anything."""
        work = state.works.get(say.to)
        if work is not None and say.ballot == work.ballot and say.about == "claim" and say.answered:
            return work.answer is None or (work._requested == "claim" and not work.owned)
        if work is None or say.ballot != work.ballot or say.about != work._requested or work.lost:
            return False
        if say.about == "register" or (say.about == "claim" and work.owned):
            return False  # what it tells is told already, or is nobody's to act on
        return say.by not in (work._accepts if say.what == "yes" else work._rejects)

    def _step(self, state: State, kind: str, whom: int | str) -> str:
        if kind in ("deliver", "double"):
            assert isinstance(whom, int)
            say = state.net[whom]
            if kind == "deliver":
                del state.net[whom]
            else:
                state.doublings -= 1
            if say.to in GUARDS:
                guard = state.guards[GUARDS.index(say.to)]
                answer = guard.receive(0.0, say)
                state.net += [answer, *guard.out]
                guard.out.clear()
                return f"{say.by} to {say.to}: {say.what} {say.ballot}, {answer.what}"
            work = state.works.get(say.to)
            if work is not None:
                work.receive(say)
                self.said(state, say.to)
            return f"{say.by} to {say.to}: {say.what} to {say.about} {say.ballot}"
        if kind in ("restart", "forget"):
            assert isinstance(whom, int)
            self.anew(state, whom, kind)
            return f"{GUARDS[whom]} {kind}s"
        assert isinstance(whom, str)
        work = state.works.get(whom) or Proposer(
            WORK, whom, GUARDS, self.sessions(state, whom), client_retried=self.for_client
        )
        if kind == "claim":
            state.works[whom] = work
            work.claim((self.takers.index(whom), "o"))
        elif kind == "permit":
            state.asked[whom] = 1
            work.request_grant()
        elif kind == "refuse":
            work.refuse()
            state.refused += [whom] if work.refusal_recorded else []
        elif kind == "write":
            state.written.append(whom)
        elif kind == "answer":
            state.answered.append(whom)
            work.record_answer(b"answer")
        elif kind == "tell":
            state.refused.append(whom)
        self.said(state, whom)
        return f"{whom}: {kind}"

    def anew(self, state: State, place: int, kind: str) -> None:
        """A guardian without its records: restarted, with new links, or since it forgot, with the same."""
        old = state.guards[place]
        if kind == "forget":
            state.forgets -= 1
            old.works.clear()
            return
        guard = state.guards[place] = Acceptor(old.name, old.retention_ms, 2)
        for member in ("o", *self.takers):
            guard.start_session(member)
        state.restarts -= 1

    # what must hold

    def broken(self, state: State) -> str:
        if len(state.written) > 1:
            return f"effects: written by {state.written}"
        if state.refused and state.written and (not self.for_client or state.written[0] in state.refused):
            return f"refusal: {state.refused} told that it never ran, written by {state.written}"
        for name, work in state.works.items():
            if name != "o" and work.outcome() == "never ran" and any(w != name for w in state.written):
                return f"truth: {name} holds that it never ran, written by {state.written}"
            if work.outcome() == "answered" and not state.written:
                return f"truth: {name} has an answer, written by nobody"
        return ""

    def explore(self, most: int = 2_000_000) -> Found:
        """All states that can be reached, breadth first: a breach comes with the fewest steps."""
        begun = perf_counter()
        first = self.begin()
        blob = pickle.dumps(first)
        seen = {self.key(first)}
        came: dict[bytes, tuple[bytes, str]] = {}
        queue: deque[bytes] = deque([blob])
        while queue:
            at = queue.popleft()
            for kind, whom in self.steps(pickle.loads(at)):
                state: State = pickle.loads(at)
                said = self.step(state, kind, whom)
                key = self.key(state)
                if key in seen:
                    continue
                seen.add(key)
                blob = pickle.dumps(state)
                came[blob] = (at, said)
                if why := self.broken(state):
                    trace = [said]
                    while at in came:
                        at, words = came[at]
                        trace.append(words)
                    return Found(len(seen), perf_counter() - begun, False, why, tuple(reversed(trace)))
                if len(seen) >= most:
                    return Found(len(seen), perf_counter() - begun, False, "", ())
                queue.append(blob)
        return Found(len(seen), perf_counter() - begun, True, "", ())

    @staticmethod
    def key(state: State) -> int:
        """The same for states that differ only in what no longer matters, or by which guardian is which."""
        names = sorted(state.works)
        each = []
        for guard in state.guards:
            kept = guard.works.get(WORK)
            record = kept and (
                kept.promised,
                kept.acceptors,
                kept.answer,
                kept.answered,
                kept.closed,
                tuple(sorted(kept.grants)),
            )
            serials = tuple(sorted(guard._serials.items()))
            wire = sorted(
                hash(
                    (
                        s.what,
                        s.ballot,
                        s.session,
                        s.to if s.to not in GUARDS else "",
                        s.by if s.by not in GUARDS else "",
                        s.body,
                        s.permits,
                        s.promised,
                        s.about,
                        bool(s.guards),
                        s.answered,
                        s.closed,
                        s.here,
                    )
                )
                for s in state.net
                if guard.name in (s.to, s.by)
            )
            heard = tuple(
                (
                    guard.name in state.works[n]._rejects,
                    (y := state.works[n]._accepts.get(guard.name))
                    and (y.permits, bool(y.guards), y.answered, y.body, y.closed),
                )
                for n in names
            )
            held = tuple(state.works[n].sessions.get(guard.name) for n in names)
            each.append(
                hash((tuple(sorted(guard.sessions.items())), serials, record, tuple(wire), heard, held))
            )
        works = tuple(
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
            for w in (state.works[n],)
        )
        return hash(
            (
                tuple(sorted(each)),
                works,
                tuple(state.written),
                tuple(state.refused),
                tuple(sorted(state.asked.items())),
                tuple(state.answered),
                state.doublings,
                state.restarts,
                state.forgets,
            )
        )
