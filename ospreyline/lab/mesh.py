"""Membership at sizes that processes do not reach: the pure module on the laboratory's clock.

A simulated network of messages between members: each takes a moment, may be lost, and nothing passes a cut.
Links stand as in service: one a pair, opened when there is something to say, closed when idle and nobody's
neighbour. Lost messages are lost here, where TCP would send them again: the harder case.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from ospreyline.fleet.frames import ALIVE, DEAD, Entry, Message, encode
from ospreyline.fleet.members import Members
from ospreyline.lab.world import Streams, World

IDLE = 5_000.0  # ms after which an unused link of no neighbours is closed


@dataclass(slots=True)
class Change:
    """Somebody's view of a member changed."""

    at: float  # ms
    by: str
    of: str
    state: int
    before: int


class Node:
    """One member's process."""

    def __init__(self, mesh: Mesh, name: str, start: int, seeds: list[Entry]) -> None:
        self.mesh = mesh
        self.name = name
        self.up = True
        self.stopped = False
        self.inbox: list[tuple[str, Message]] = []  # what came while it was stopped
        self.sent = self.bytes = 0
        entry = Entry(name, name, "z", start, 0, ALIVE)
        draw = mesh.streams.uniform(f"{name}-{start}")
        self.members = Members(entry, seeds, draw, mesh.world.now)
        self.used: dict[str, float] = {}  # links, and when they last carried something
        mesh.world.after(50.0 * draw(), self.tick)

    def tick(self) -> None:
        if not self.up:
            return
        if self.stopped:
            self.mesh.world.after(100.0, self.tick)
            return
        due = self.members.tick(self.mesh.world.now)
        self.carry_out()
        self.mesh.world.at(due, self.tick)

    def carry_out(self) -> None:
        out, self.members.out = self.members.out, []
        news, self.members.changes = self.members.changes, []
        for entry, before in news:
            self.mesh.changes.append(Change(self.mesh.world.now, self.name, entry.name, entry.state, before))
        for to, message in out:
            self.mesh.send(self, to, message)


class Mesh:
    """A bank of members and the network between them."""

    def __init__(
        self, count: int, seed: int = 1, loss: float = 0.0, seeds: int = 3, start: bool = True
    ) -> None:
        self.world = World()
        self.streams = Streams(seed)
        self._draw = self.streams.uniform("network")
        self.loss = loss
        self.cut: Callable[[str, str], bool] = lambda a, b: False
        self.changes: list[Change] = []
        self.nodes: dict[str, Node] = {}
        self._starts = 0
        self.seeds = [Entry(f"n{i}", f"n{i}", "z", 0, 0, ALIVE) for i in range(seeds)]
        for i in range(count if start else 0):
            self.start(f"n{i}")
        self.world.after(IDLE, self._close_idle)

    def start(self, name: str) -> Node:
        self._starts += 1
        node = self.nodes[name] = Node(self, name, 1_000 + int(self.world.now) + self._starts, self.seeds)
        return node

    def kill(self, name: str, silent: bool = False) -> None:
        """The process dies; its links are reset, unless its machine vanished."""
        node = self.nodes[name]
        node.up = False
        for other in list(node.used):
            peer = self.nodes.get(other)
            if not silent and peer is not None and peer.up:
                self.world.after(1.0, self._unlink, peer, name)

    def stop(self, name: str, on: bool) -> None:
        """SIGSTOP, and SIGCONT: what came meanwhile waits in its sockets."""
        node = self.nodes[name]
        node.stopped = on
        if not on:
            inbox, node.inbox = node.inbox, []
            for frm, message in inbox:
                self._deliver(frm, node, message)

    def _unlink(self, node: Node, name: str) -> None:
        node.used.pop(name, None)
        node.members.unlinked(self.world.now, name)
        if not node.stopped:
            node.carry_out()

    def send(self, node: Node, to: str, message: Message) -> None:
        node.sent += 1
        node.bytes += len(encode(message))
        peer = self.nodes.get(to)
        if peer is None or not peer.up or self._passes_not(node.name, to):
            return
        if to not in node.used:
            self._link(node, peer)
        node.used[to] = peer.used[node.name] = self.world.now
        self.world.after(self._way(), self._arrive, node.name, peer, message)

    def _passes_not(self, a: str, b: str) -> bool:
        return self.cut(a, b) or (self.loss > 0 and self._draw() < self.loss)

    def _way(self) -> float:
        return 1.0 + 9.0 * self._draw()

    def _link(self, node: Node, peer: Node) -> None:
        """Both say hello; who was dialled tells all it knows and asks for the same."""
        now = self.world.now
        node.used[peer.name] = peer.used[node.name] = now
        for one, other, wanted in ((node, peer, False), (peer, node, True)):
            one.members.linked_to(now, other.name)
            if not one.stopped:
                one.members.hello_received(now, other.members.me, wanted)
        if not peer.stopped:
            self.world.after(self._way(), peer.carry_out)

    def _arrive(self, frm: str, node: Node, message: Message) -> None:
        if not node.up:
            return
        if node.stopped:
            node.inbox.append((frm, message))
        else:
            self._deliver(frm, node, message)

    def _deliver(self, frm: str, node: Node, message: Message) -> None:
        node.members.receive(self.world.now, frm, message)
        node.carry_out()

    def _close_idle(self) -> None:
        self.world.after(IDLE, self._close_idle)
        for node in self.nodes.values():
            for name, used in list(node.used.items()):
                peer = self.nodes.get(name)
                wanted = name in node.members.neighbours or (
                    peer is not None and node.name in peer.members.neighbours
                )
                if not wanted and self.world.now - used > IDLE:
                    node.used.pop(name, None)
                    node.members.linked.discard(name)
                    if peer is not None:
                        peer.used.pop(node.name, None)
                        peer.members.linked.discard(node.name)

    def knows(self) -> tuple[int, int]:
        """Of pairs of members that are up, how many know each other as alive, and how many there are."""
        up = [n for n in self.nodes.values() if n.up]
        known = sum(
            1
            for n in up
            for o in up
            if n is not o and o.name in n.members.members and n.members.members[o.name].entry.state == ALIVE
        )
        return known, len(up) * (len(up) - 1)

    def deaths(self, of: str, since: float) -> list[float]:
        """When each other member held it for dead, ms after a time."""
        first: dict[str, float] = {}
        for change in self.changes:
            if change.of == of and change.state == DEAD and change.at >= since:
                first.setdefault(change.by, change.at - since)
        return sorted(first.values())


def measured(count: int, seed: int, loss: float, seconds: float = 60.0, dead: int = 3) -> dict[str, Any]:
    """A bank that starts at once, rests, and loses some: messages at rest, time to notice, wrong deaths."""
    mesh = Mesh(count, seed, loss)
    mesh.world.run(10_000.0)
    known, pairs = mesh.knows()
    before = [(n.sent, n.bytes) for n in mesh.nodes.values()]
    mesh.world.run(10_000.0 + 1e3 * seconds)
    after = [(n.sent, n.bytes) for n in mesh.nodes.values()]
    wrong = sum(c.state == DEAD for c in mesh.changes)
    lost = [f"n{count - 1 - i}" for i in range(dead)]
    times: list[float] = []
    noticed = 0
    for name in lost:
        at = mesh.world.now
        mesh.kill(name, silent=True)
        mesh.world.run(at + 12_000.0)
        found = mesh.deaths(name, at)
        times += found
        noticed += len(found)
    times.sort()
    return {
        "count": count,
        "known": known / max(1, pairs),
        "messages_s": sum(b[0] - a[0] for a, b in zip(before, after, strict=True)) / count / seconds,
        "bytes_s": sum(b[1] - a[1] for a, b in zip(before, after, strict=True)) / count / seconds,
        "wrong": wrong,
        "median_s": times[len(times) // 2] / 1e3 if times else None,
        "p99_s": times[int(0.99 * (len(times) - 1))] / 1e3 if times else None,
        "noticed": noticed / max(1, sum(count - 1 - i for i in range(dead))),
    }
