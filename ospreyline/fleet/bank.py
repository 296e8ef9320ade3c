"""One balancer among those of its bank: membership, lists and hints over links. Thin: it decides nothing.

It reads the clock, hands what came to the pure modules (`members`, `lists`), and sends what they want sent.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from pathlib import Path
from random import Random
from time import monotonic, time
from typing import Any

import msgspec

from ospreyline import facts
from ospreyline.fleet.frames import (
    ALIVE,
    DEAD,
    LEFT,
    SUSPECT,
    Entry,
    Hint,
    Message,
    Pulse,
    RelayedList,
    RelaySubscribe,
    RelayUnavailable,
    Say,
    Sit,
)
from ospreyline.fleet.kept import write
from ospreyline.fleet.links import Links
from ospreyline.fleet.lists import Lists, ListUpdate
from ospreyline.fleet.members import STATE_NAMES, Members
from ospreyline.fleet.takeover import Takeover

LOOK = 0.05  # s between two looks at what is due
IDLE = 10.0  # s after which a link that nobody needs is closed
STATUS = 2.0  # s between two writings of the status file
UNMET = 1_000.0  # ms from the start for which a configured peer that was not met yet is taken to live


class Bank:
    """What the front holds of the bank, where the operator's file has it on."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        log: Any,
        name: str,
        zone: str,
        on: Any,
        seed: int,
        listed: Callable[[ListUpdate], None],
        hinted: Callable[[bytes], None],
        hasten: Callable[[], None],
    ) -> None:
        """`on` is the `[fleet]` table; `hasten` is called when the list is to be asked for without delay."""
        self._loop = loop
        self._log = log
        self._on = on
        self._listed, self._hinted, self._hasten = listed, hinted, hasten
        draw = Random(seed + 2).random
        seeds = [Entry(n, at, "", 0, 0, ALIVE) for n, at in on.named()]
        # guards: a clock that was set back would make us older than we were; the next hello tells, see below
        me = Entry(name, on.address or on.listen, zone, int(time() * 1e3), 0, ALIVE)
        self.members = Members(me, seeds, draw, self._now(), on.watched())
        self.lists = Lists(name, zone, me.start, draw, self._now()) if on.lists else None
        self.links = Links(
            loop,
            on.bank,
            log,
            lambda: self.members.me,
            self._greeted,
            self._heard,
            self._lost,
            self._namesake,
        )
        self._timer: asyncio.TimerHandle | None = None
        self.takeover: Takeover | None = None  # of work in hand, where it is on
        self._taken_over: Callable[[], None] = lambda: None
        self._starts: dict[str, int] = {}  # of the members' processes
        self._cover = (-1, -1)
        self._hears = (1, 1)
        self._alone = False  # nobody tells us the list
        self._spared = False  # others tell it us, or ask for it
        self._said_at = self._now() + 1e3
        self._status_at = 0.0
        self._writing: asyncio.Future[None] | None = None
        self._begun = self._looked = self._now()
        self._roles()

    def guard(self, takeover: Takeover, news: Callable[[], None]) -> None:
        """Takeover is on; `news` is called when it has some for the front."""
        self.takeover, self._taken_over = takeover, news

    @staticmethod
    def _now() -> float:
        return monotonic() * 1e3

    async def start(self) -> None:
        """Listen, and speak from now on."""
        at = facts.address(self._on.listen, lowest_port=0)
        assert at is not None  # checked when the file was read
        found = await self.links.listen(at)
        if not self._on.address:
            me = self.members.me
            self.members.me = Entry(
                me.name, "{}:{}".format(*found), me.zone, me.start, me.incarnation, me.state
            )
        self._log.info("fleet listens", bank=self._on.bank, listen="{}:{}".format(*found))
        self._look()

    def _look(self) -> None:
        self._timer = self._loop.call_later(LOOK, self._look)
        now = self._now()
        self.members.tick(now)
        if self.lists is not None and not self.members.superseded:
            if now - self._begun >= UNMET > self._looked - self._begun:
                self._roles()  # guards: peers that never come up would keep everybody from passing on
            self._looked = now
            before = self.lists.passing or self._alone
            self.lists.tick(now)
            self._alone = self.lists.unserved(now)
            spared, self._spared = self._spared, self.lists.asked_for_us(now)
            # guards: whoever asked a service that is down for us may be gone before it is back
            if ((self.lists.passing or self._alone) and not before) or (spared and not self._spared):
                self._hasten()
        wanted = set(self.members.neighbours) | set(self.lists.relays if self.lists else ())
        if self.takeover is not None:
            hears, of = self.members.reachability()
            self.takeover.meeting = hears < of
            self.takeover.tick(now)
            wanted.update(self.takeover.links())
        self.carry_out()
        self.links.tidy(wanted, IDLE)
        if self._on.status and now >= self._status_at:
            self._status_at = now + 1e3 * STATUS
            self._write_status()

    def carry_out(self) -> None:
        """What the pure modules want sent and said."""
        out, self.members.out = self.members.out, []
        news, self.members.changes = self.members.changes, []
        if self.lists is not None:
            out += self.lists.out
            self.lists.out = []
        if self.takeover is not None:
            out += self.takeover.out
            self.takeover.out = []
            if self.takeover.news:
                self._taken_over()
        for name, message in out:
            self.links.send(name, facts.address(self.members.address(name)), message)
        for entry, before in news:
            if entry.state >= SUSPECT or before > ALIVE:
                self._log.info("member", peer=entry.name, state=STATE_NAMES[entry.state], zone=entry.zone)
        if news:
            self._roles()
            if self.takeover is not None:
                self._covers(self.takeover, news)
        # guards: a bank that starts changes it with each member
        if self._now() >= self._said_at and (hears := self.members.reachability()) != self._hears:
            self._hears, self._said_at = hears, self._now() + 1e3 * STATUS
            self._log.info("fleet", hears=hears[0], of=hears[1], words=words(*hears))
        if self.takeover is not None and self._now() >= self._said_at:
            cover = self.takeover.covered(self._now())
            if cover != self._cover:
                self._cover, self._said_at = cover, self._now() + 1e3 * STATUS
                self._log.info("cover", guardians=cover[0], of=cover[1])

    def _covers(self, takeover: Takeover, news: list[tuple[Entry, int]]) -> None:
        """Who guards follows from the members; who is dead, or was replaced, has lost what it had in hand."""
        now, members = self._now(), self.members.members
        takeover.members(now, [(n, m.entry.zone) for n, m in members.items() if m.entry.state <= SUSPECT])
        for entry, _ in news:
            start = self._starts.get(entry.name, entry.start)
            self._starts[entry.name] = entry.start
            if entry.state == DEAD or entry.start > start:
                takeover.lost(now, entry.name)
        for name in [n for n in self._starts if n not in members]:
            del self._starts[name]

    def _roles(self) -> None:
        if self.lists is None:
            return
        members = self.members.members
        living = [(n, m.entry.zone, m.entry.start) for n, m in members.items() if m.entry.state < DEAD]
        if self._now() - self._begun < UNMET:
            # until members are known, the configured peers are taken to live, in our zone and before us
            living += [
                (n, self.lists.zone, 0)
                for n, _ in self._on.named()
                if n not in members and n != self.lists.name
            ]
        self.lists.set_members(self._now(), living)

    # links

    def _greeted(self, entry: Entry, wanted: bool) -> None:
        now = self._now()
        self.members.linked_to(now, entry.name)
        if self.takeover is not None:
            self.takeover.linked(now, entry.name)
        self.members.hello_received(now, entry, wanted)
        self.carry_out()

    def _heard(self, name: str, message: Message) -> None:
        now = self._now()
        if isinstance(message, Sit | Pulse | Say):
            if self.takeover is not None:
                self.takeover.heard(now, name, message)
        elif isinstance(message, Hint):
            self._hinted(message.body)
        elif isinstance(message, RelaySubscribe | RelayedList | RelayUnavailable):
            if self.lists is not None:
                news = self.lists.receive(now, name, message)
                if news is not None:
                    self._listed(news)
        else:
            self.members.receive(now, name, message)
        self.carry_out()

    def _lost(self, name: str) -> None:
        now = self._now()
        self.members.unlinked(now, name)
        if self.takeover is not None:
            self.takeover.unlinked(now, name)
            member = self.members.members.get(name)
            if member is not None and member.entry.state == LEFT:
                self.takeover.lost(now, name)  # it ends of its own will, and will finish nothing any more
            self.carry_out()
        if self.lists is not None:
            self.lists.remove_peer(name)

    def _namesake(self, entry: Entry) -> None:
        """Another process has our name: the older one stops speaking."""
        if entry.start > self.members.me.start and not self.members.superseded:
            self.members.superseded = True
            self._log.error("a newer process has our name: we speak no more", address=entry.address)

    # what the front tells

    def begin(self, rev: int, targets: list[tuple[str, bool, bytes]]) -> None:
        """The list that this process starts with, as (id, whether it has left, its bytes)."""
        if self.lists is not None:
            self.lists.begin(rev, targets)

    def tell(self, body: bytes) -> None:
        """A hint of the decisions, to all that are linked."""
        for name in sorted(self.members.linked):
            self.links.send(name, None, Hint(body=body))

    def told(self, rev: int, whole: bool, targets: list[tuple[str, bool, bytes]]) -> None:
        """The list service has said something on our own watch."""
        if self.lists is not None:
            self.lists.service_update(self._now(), rev, whole, targets)
            self.carry_out()

    def told_nothing(self) -> bool:
        """Our own watch has ended or a call failed; whether others tell us the list, or ask for it."""
        if self.lists is None:
            return False
        self.lists.service_lost(self._now())
        self.carry_out()
        return not self.lists.passing and self.lists.asked_for_us(self._now())

    def counts(self) -> dict[str, Any]:
        """For the line of counts."""
        hears, of = self.members.reachability()
        return {
            "fleet_hears": hears,
            "fleet_of": of,
            "fleet_links": len(self.links.by_name),
            "fleet_dropped": self.links.dropped,
        }

    def leave(self) -> None:
        self.members.leave(self._now())
        self.carry_out()

    def close(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
        self.links.close()

    # status

    def status(self) -> dict[str, Any]:
        hears, of = self.members.reachability()
        now = self._now()
        return {
            "name": self.members.me.name,
            "bank": self._on.bank,
            "at": time(),
            "hears": hears,
            "of": of,
            "words": words(hears, of),
            "superseded": self.members.superseded,
            "doubt": self.members.health_score,
            "neighbours": self.members.neighbours,
            "linked": sorted(self.links.by_name),
            "passes_the_list_on": bool(self.lists and self.lists.passing),
            "listens_to": self.lists.relays if self.lists else [],
            "list_rev": self.lists.rev if self.lists else None,
            "cover": self.takeover.covered(now) if self.takeover else None,
            "guards": len(self.takeover.guardian.works) if self.takeover else 0,
            "members": [
                {
                    "name": n,
                    "address": m.entry.address,
                    "zone": m.entry.zone,
                    "state": STATE_NAMES[m.entry.state],
                    "for_s": round((now - m.state_since) / 1e3, 1),
                }
                for n, m in sorted(self.members.members.items())
            ],
        }

    def _write_status(self) -> None:
        if self._writing is not None:
            return
        text = msgspec.json.format(msgspec.json.encode(self.status())) + b"\n"
        self._writing = self._loop.run_in_executor(None, write, Path(self._on.status), text)
        self._writing.add_done_callback(self._written)

    def _written(self, done: asyncio.Future[None]) -> None:
        self._writing = None
        if not done.cancelled() and (error := done.exception()) is not None:
            self._log.warning("status not written", file=self._on.status, why=str(error))


def words(hears: int, of: int) -> str:
    """How much of the bank is heard, in words."""
    if of <= 1:
        return "alone by its configuration"
    return "hears all" if hears >= of else "alone" if hears <= 1 else f"hears {hears} of {of}"
