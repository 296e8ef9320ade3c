"""Connects one balancer to the others of its bank: membership, list relaying, hints and takeover over links.

Thin, without decisions: it reads the clock, passes messages to the pure modules (`members`, `list_relay`,
`takeover`), and sends the messages that these return.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from pathlib import Path
from random import Random
from time import monotonic, time
from typing import Any

import msgspec

from ospreyline import config
from ospreyline.fleet.frames import (
    ALIVE,
    DEAD,
    LEFT,
    SUSPECT,
    AcceptorSession,
    Entry,
    Heartbeat,
    Hint,
    Message,
    RelayedList,
    RelaySubscribe,
    RelayUnavailable,
    TakeoverMessage,
)
from ospreyline.fleet.links import Links
from ospreyline.fleet.list_cache import write_atomically
from ospreyline.fleet.list_relay import ListRelay, ListUpdate
from ospreyline.fleet.members import STATE_NAMES, Members
from ospreyline.fleet.takeover import Takeover

TICK_S = 0.05
LINK_IDLE_S = 10.0  # after which a link that no module needs is closed
STATUS_PERIOD_S = 2.0  # between two writes of the status file; also limits how often changes are logged
UNMET_PEER_MS = 1_000.0  # from the start, while a configured peer that was not met yet counts as alive


class Bank:
    """The links of this balancer to its bank; exists only if the operator file configures a bank."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        log: Any,
        name: str,
        zone: str,
        settings: Any,
        seed: int,
        listed: Callable[[ListUpdate], None],
        hinted: Callable[[bytes], None],
        hasten: Callable[[], None],
    ) -> None:
        """`settings` is the `[fleet]` table. Callbacks: `listed(update)` for a newer list from a relay,
        `hinted(body)` for a hint, `hasten()` when the list service is to be called without delay."""
        self._loop = loop
        self._log = log
        self._settings = settings
        self._listed, self._hinted, self._hasten = listed, hinted, hasten
        draw = Random(seed + 2).random
        seeds = [Entry(n, at, "", 0, 0, ALIVE) for n, at in settings.named()]
        # after the clock was set back we seem older than our former process: `_on_name_conflict` detects that
        me = Entry(name, settings.address or settings.listen, zone, int(time() * 1e3), 0, ALIVE)
        self.members = Members(me, seeds, draw, self._now(), settings.watched())
        self.lists = ListRelay(name, zone, me.start, draw, self._now()) if settings.lists else None
        self.links = Links(
            loop,
            settings.bank,
            log,
            lambda: self.members.me,
            self._on_hello,
            self._on_message,
            self._on_lost,
            self._on_name_conflict,
        )
        self._timer: asyncio.TimerHandle | None = None
        self.takeover: Takeover | None = None  # if it is switched on
        self._on_takeover_news: Callable[[], None] = lambda: None
        self._starts: dict[str, int] = {}  # start of each member's process, by name
        self._last_coverage = (-1, -1)
        self._reachability = (1, 1)
        self._alone = False  # no relay serves us
        self._spared = False  # relays serve us, or poll the service for us
        self._log_due_at = self._now() + 1e3
        self._status_at = 0.0
        self._writing: asyncio.Future[None] | None = None
        self._begun = self._last_tick = self._now()
        self._update_roles()

    def guard(self, takeover: Takeover, on_news: Callable[[], None]) -> None:
        """Adds takeover; `on_news` is called when it has results for the request handling."""
        self.takeover, self._on_takeover_news = takeover, on_news

    @staticmethod
    def _now() -> float:
        return monotonic() * 1e3

    async def start(self) -> None:
        """Accepts links and begins to tick. `OSError` if the address cannot be bound."""
        at = config.parse_address(self._settings.listen, lowest_port=0)
        assert at is not None  # checked when the operator file was read
        bound = await self.links.listen(at)
        if not self._settings.address:
            me = self.members.me
            self.members.me = Entry(
                me.name, "{}:{}".format(*bound), me.zone, me.start, me.incarnation, me.state
            )
        self._log.info("fleet listens", bank=self._settings.bank, listen="{}:{}".format(*bound))
        self._tick()

    def _tick(self) -> None:
        self._timer = self._loop.call_later(TICK_S, self._tick)
        now = self._now()
        self.members.tick(now)
        if self.lists is not None and not self.members.superseded:
            if now - self._begun >= UNMET_PEER_MS > self._last_tick - self._begun:
                self._update_roles()  # peers that never start must not keep others from being relays
            self._last_tick = now
            before = self.lists.passing or self._alone
            self.lists.tick(now)
            self._alone = self.lists.unserved(now)
            was_spared, self._spared = self._spared, self.lists.served_by_relays(now)
            # the relay that polled a failed service for us may itself be gone before the service is back
            if ((self.lists.passing or self._alone) and not before) or (was_spared and not self._spared):
                self._hasten()
        wanted = set(self.members.neighbours) | set(self.lists.relays if self.lists else ())
        if self.takeover is not None:
            reachable, total = self.members.reachability()
            self.takeover.bank_incomplete = reachable < total
            self.takeover.tick(now)
            wanted.update(self.takeover.required_links())
        self.carry_out()
        self.links.run_maintenance(wanted, LINK_IDLE_S)
        if self._settings.status and now >= self._status_at:
            self._status_at = now + 1e3 * STATUS_PERIOD_S
            self._write_status()

    def carry_out(self) -> None:
        """Sends and logs what the pure modules have ready."""
        out, self.members.out = self.members.out, []
        changes, self.members.changes = self.members.changes, []
        if self.lists is not None:
            out += self.lists.out
            self.lists.out = []
        if self.takeover is not None:
            out += self.takeover.out
            self.takeover.out = []
            if self.takeover.events:
                self._on_takeover_news()
        for name, message in out:
            self.links.send(name, config.parse_address(self.members.address(name)), message)
        for entry, before in changes:
            if entry.state >= SUSPECT or before > ALIVE:
                self._log.info("member", peer=entry.name, state=STATE_NAMES[entry.state], zone=entry.zone)
        if changes:
            self._update_roles()
            if self.takeover is not None:
                self._update_takeover(self.takeover, changes)
        # rate-limited: while a bank starts this changes with each member
        if (
            self._now() >= self._log_due_at
            and (reachability := self.members.reachability()) != self._reachability
        ):
            self._reachability, self._log_due_at = reachability, self._now() + 1e3 * STATUS_PERIOD_S
            self._log.info(
                "fleet", hears=reachability[0], of=reachability[1], words=reachability_text(*reachability)
            )
        if self.takeover is not None and self._now() >= self._log_due_at:
            coverage = self.takeover.available_acceptors(self._now())
            if coverage != self._last_coverage:
                self._last_coverage, self._log_due_at = coverage, self._now() + 1e3 * STATUS_PERIOD_S
                self._log.info("cover", guardians=coverage[0], of=coverage[1])

    def _update_takeover(self, takeover: Takeover, changes: list[tuple[Entry, int]]) -> None:
        """Passes member changes to takeover: a member that died or was restarted has lost its visits."""
        now, members = self._now(), self.members.members
        takeover.set_members(now, [(n, m.entry.zone) for n, m in members.items() if m.entry.state <= SUSPECT])
        for entry, _ in changes:
            start = self._starts.get(entry.name, entry.start)
            self._starts[entry.name] = entry.start
            if entry.state == DEAD or entry.start > start:
                takeover.member_lost(now, entry.name)
        for name in [n for n in self._starts if n not in members]:
            del self._starts[name]

    def _update_roles(self) -> None:
        """Passes the alive members to `lists`, which chooses the relays."""
        if self.lists is None:
            return
        members = self.members.members
        alive = [(n, m.entry.zone, m.entry.start) for n, m in members.items() if m.entry.state < DEAD]
        if self._now() - self._begun < UNMET_PEER_MS:
            # until members are known, configured peers count as alive, in our zone and older than we are
            alive += [
                (n, self.lists.zone, 0)
                for n, _ in self._settings.named()
                if n not in members and n != self.lists.name
            ]
        self.lists.set_members(self._now(), alive)

    # links

    def _on_hello(self, entry: Entry, accepted: bool) -> None:
        now = self._now()
        self.members.linked_to(now, entry.name)
        if self.takeover is not None:
            self.takeover.link_opened(now, entry.name)
        self.members.hello_received(now, entry, accepted)
        self.carry_out()

    def _on_message(self, name: str, message: Message) -> None:
        now = self._now()
        if isinstance(message, AcceptorSession | Heartbeat | TakeoverMessage):
            if self.takeover is not None:
                self.takeover.receive(now, name, message)
        elif isinstance(message, Hint):
            self._hinted(message.body)
        elif isinstance(message, RelaySubscribe | RelayedList | RelayUnavailable):
            if self.lists is not None:
                update = self.lists.receive(now, name, message)
                if update is not None:
                    self._listed(update)
        else:
            self.members.receive(now, name, message)
        self.carry_out()

    def _on_lost(self, name: str) -> None:
        now = self._now()
        self.members.unlinked(now, name)
        if self.takeover is not None:
            self.takeover.link_closed(now, name)
            member = self.members.members.get(name)
            if member is not None and member.entry.state == LEFT:
                # it has left on purpose and will finish no visit any more
                self.takeover.member_lost(now, name)
            self.carry_out()
        if self.lists is not None:
            self.lists.remove_peer(name)

    def _on_name_conflict(self, entry: Entry) -> None:
        """Another process has our name: the older one stops sending."""
        if entry.start > self.members.me.start and not self.members.superseded:
            self.members.superseded = True
            self._log.error("a newer process has our name: sending nothing any more", address=entry.address)

    # called by the event dispatcher

    def begin(self, rev: int, targets: list[tuple[str, bool, bytes]]) -> None:
        """Sets the list that this process starts with, as (uid, whether it has left, its JSON)."""
        if self.lists is not None:
            self.lists.begin(rev, targets)

    def tell(self, body: bytes) -> None:
        """Sends a hint of the decision module to all linked members."""
        for name in sorted(self.members.linked):
            self.links.send(name, None, Hint(body=body))

    def told(self, rev: int, whole: bool, targets: list[tuple[str, bool, bytes]]) -> None:
        """The list service has sent something on our own watch; `targets` as in `begin`."""
        if self.lists is not None:
            self.lists.service_update(self._now(), rev, whole, targets)
            self.carry_out()

    def told_nothing(self) -> bool:
        """Our own watch ended or a call failed; returns whether relays serve us, or poll the service."""
        if self.lists is None:
            return False
        self.lists.service_lost(self._now())
        self.carry_out()
        return not self.lists.passing and self.lists.served_by_relays(self._now())

    def counts(self) -> dict[str, Any]:
        """Values for the periodic `counts` log line."""
        reachable, total = self.members.reachability()
        return {
            "fleet_hears": reachable,
            "fleet_of": total,
            "fleet_links": len(self.links.by_name),
            "fleet_dropped": self.links.dropped,
        }

    def leave(self) -> None:
        """Announces that this process ends on purpose."""
        self.members.leave(self._now())
        self.carry_out()

    def close(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
        self.links.close()

    # status

    def status(self) -> dict[str, Any]:
        """The contents of the status file."""
        reachable, total = self.members.reachability()
        now = self._now()
        return {
            "name": self.members.me.name,
            "bank": self._settings.bank,
            "at": time(),
            "hears": reachable,
            "of": total,
            "words": reachability_text(reachable, total),
            "superseded": self.members.superseded,
            "doubt": self.members.health_score,
            "neighbours": self.members.neighbours,
            "linked": sorted(self.links.by_name),
            "passes_the_list_on": bool(self.lists and self.lists.passing),
            "listens_to": self.lists.relays if self.lists else [],
            "list_rev": self.lists.rev if self.lists else None,
            "cover": self.takeover.available_acceptors(now) if self.takeover else None,
            "guards": len(self.takeover.acceptor.records) if self.takeover else 0,
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
        self._writing = self._loop.run_in_executor(None, write_atomically, Path(self._settings.status), text)
        self._writing.add_done_callback(self._status_written)

    def _status_written(self, done: asyncio.Future[None]) -> None:
        self._writing = None
        if not done.cancelled() and (error := done.exception()) is not None:
            self._log.warning("could not write the status file", file=self._settings.status, why=str(error))


def reachability_text(reachable: int, total: int) -> str:
    """How much of the bank is reachable, as text."""
    if total <= 1:
        return "alone by its configuration"
    return (
        "hears all" if reachable >= total else "alone" if reachable <= 1 else f"hears {reachable} of {total}"
    )
