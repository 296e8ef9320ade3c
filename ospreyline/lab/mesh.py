"""Simulation of membership with more members than real processes allow: `fleet.members` in simulated time.

Messages between members take some time, may be lost, and do not pass a cut. Links behave as in production:
one per pair, opened on the first message, closed when idle unless one end is the other's neighbour. Lost
messages stay lost, where TCP would retransmit them: the harder case.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from ospreyline.fleet.frames import ALIVE, DEAD, Entry, Message, encode
from ospreyline.fleet.members import Members
from ospreyline.lab.world import Streams, World

LINK_IDLE_MS = 5_000.0  # after which an unused link between members that are not neighbours is closed


@dataclass(slots=True)
class Change:
    """A change in the view that member `by` has of member `of`."""

    at: float  # ms
    by: str
    of: str
    state: int
    before: int


class Node:
    """The process of one member."""

    def __init__(self, mesh: Mesh, name: str, start: int, seeds: list[Entry]) -> None:
        self.mesh = mesh
        self.name = name
        self.up = True
        self.stopped = False
        self.inbox: list[tuple[str, Message]] = []  # messages received while it was stopped
        self.sent = self.bytes = 0
        entry = Entry(name, name, "z", start, 0, ALIVE)
        draw = mesh.streams.uniform(f"{name}-{start}")
        self.members = Members(entry, seeds, draw, mesh.world.now)
        self.link_used: dict[str, float] = {}  # by link: when it last carried a message
        mesh.world.after(50.0 * draw(), self.tick)

    def tick(self) -> None:
        """Run the periodic tick of the membership, and schedule the next one."""
        if not self.up:
            return
        if self.stopped:
            self.mesh.world.after(100.0, self.tick)
            return
        due = self.members.tick(self.mesh.world.now)
        self.carry_out()
        self.mesh.world.at(due, self.tick)

    def carry_out(self) -> None:
        """Send the pending messages and record the changes of the member's view."""
        out, self.members.out = self.members.out, []
        changes, self.members.changes = self.members.changes, []
        for entry, before in changes:
            self.mesh.changes.append(Change(self.mesh.world.now, self.name, entry.name, entry.state, before))
        for to, message in out:
            self.mesh.send(self, to, message)


class Mesh:
    """All members and the network between them."""

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
        self._start_count = 0
        self.seeds = [Entry(f"n{i}", f"n{i}", "z", 0, 0, ALIVE) for i in range(seeds)]
        for i in range(count if start else 0):
            self.start(f"n{i}")
        self.world.after(LINK_IDLE_MS, self._close_idle)

    def start(self, name: str) -> Node:
        self._start_count += 1
        node = self.nodes[name] = Node(
            self, name, 1_000 + int(self.world.now) + self._start_count, self.seeds
        )
        return node

    def kill(self, name: str, silent: bool = False) -> None:
        """Kill a process; its links are reset unless `silent` (the machine vanished)."""
        node = self.nodes[name]
        node.up = False
        for other in list(node.link_used):
            peer = self.nodes.get(other)
            if not silent and peer is not None and peer.up:
                self.world.after(1.0, self._link_reset, peer, name)

    def stop(self, name: str, on: bool) -> None:
        """SIGSTOP (on) or SIGCONT (off): messages received meanwhile wait in its sockets."""
        node = self.nodes[name]
        node.stopped = on
        if not on:
            inbox, node.inbox = node.inbox, []
            for sender, message in inbox:
                self._deliver(sender, node, message)

    def _link_reset(self, node: Node, name: str) -> None:
        node.link_used.pop(name, None)
        node.members.unlinked(self.world.now, name)
        if not node.stopped:
            node.carry_out()

    def send(self, node: Node, to: str, message: Message) -> None:
        """Send a message, over a new link if there is none; it may be lost."""
        node.sent += 1
        node.bytes += len(encode(message))
        peer = self.nodes.get(to)
        if peer is None or not peer.up or self._dropped(node.name, to):
            return
        if to not in node.link_used:
            self._open_link(node, peer)
        node.link_used[to] = peer.link_used[node.name] = self.world.now
        self.world.after(self._latency(), self._arrive, node.name, peer, message)

    def _dropped(self, a: str, b: str) -> bool:
        return self.cut(a, b) or (self.loss > 0 and self._draw() < self.loss)

    def _latency(self) -> float:
        return 1.0 + 9.0 * self._draw()

    def _open_link(self, node: Node, peer: Node) -> None:
        """Open a link: both send a hello; the dialled member sends its full state and asks for the same."""
        now = self.world.now
        node.link_used[peer.name] = peer.link_used[node.name] = now
        for one, other, needed in ((node, peer, False), (peer, node, True)):
            one.members.linked_to(now, other.name)
            if not one.stopped:
                one.members.hello_received(now, other.members.me, needed)
        if not peer.stopped:
            self.world.after(self._latency(), peer.carry_out)

    def _arrive(self, sender: str, node: Node, message: Message) -> None:
        if not node.up:
            return
        if node.stopped:
            node.inbox.append((sender, message))
        else:
            self._deliver(sender, node, message)

    def _deliver(self, sender: str, node: Node, message: Message) -> None:
        node.members.receive(self.world.now, sender, message)
        node.carry_out()

    def _close_idle(self) -> None:
        self.world.after(LINK_IDLE_MS, self._close_idle)
        for node in self.nodes.values():
            for name, last_used in list(node.link_used.items()):
                peer = self.nodes.get(name)
                needed = name in node.members.neighbours or (
                    peer is not None and node.name in peer.members.neighbours
                )
                if not needed and self.world.now - last_used > LINK_IDLE_MS:
                    node.link_used.pop(name, None)
                    node.members.linked.discard(name)
                    if peer is not None:
                        peer.link_used.pop(node.name, None)
                        peer.members.linked.discard(node.name)

    def count_alive_views(self) -> tuple[int, int]:
        """Of ordered pairs of running members: how many see the other as alive, and the number of pairs."""
        up = [n for n in self.nodes.values() if n.up]
        known = sum(
            1
            for n in up
            for o in up
            if n is not o and o.name in n.members.members and n.members.members[o.name].entry.state == ALIVE
        )
        return known, len(up) * (len(up) - 1)

    def death_times(self, of: str, since: float) -> list[float]:
        """When each other member first saw `of` as dead, sorted, in ms after `since`."""
        first: dict[str, float] = {}
        for change in self.changes:
            if change.of == of and change.state == DEAD and change.at >= since:
                first.setdefault(change.by, change.at - since)
        return sorted(first.values())


def measured(count: int, seed: int, loss: float, seconds: float = 60.0, dead: int = 3) -> dict[str, Any]:
    """Start all members at once, idle, then kill some: idle traffic, time to detect, false deaths."""
    mesh = Mesh(count, seed, loss)
    mesh.world.run(10_000.0)
    known, pairs = mesh.count_alive_views()
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
        found = mesh.death_times(name, at)
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
