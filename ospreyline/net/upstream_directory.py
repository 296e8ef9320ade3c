"""The listed upstreams: their entries by id, their indices and pools, and what the decisions know of them.

An update of the list becomes entries for the decisions (`ListedUpstream`), and each entry is applied to the
connection pool of its upstream on the way. Ids become small indices here; an index is never used again.
"""

from __future__ import annotations

import time
from collections.abc import Callable, Iterator
from hashlib import blake2b

from msgspec import structs

from ospreyline.config import ProxyConfig
from ospreyline.host import ListedUpstream, Readiness
from ospreyline.net.addresses import Address, AddressBook
from ospreyline.net.events import EventLog
from ospreyline.net.listing import ListUpdate, Log, Target
from ospreyline.net.upstreams import ConnectionPools

REMOVE_GONE_AFTER_MS = 60_000.0  # a removed upstream is forgotten after this time
_READINESS_BY_STATE = {"active": Readiness.READY, "leaving": Readiness.DRAINING, "left": Readiness.GONE}


class UpstreamDirectory:
    """The upstreams of the list that is in force. Times are monotonic ms of `clock`."""

    def __init__(
        self, pools: ConnectionPools, clock: Callable[[], float], logger: Log, events: EventLog
    ) -> None:
        self._pools = pools
        self._clock = clock
        self._logger = logger
        self._events = events
        # computed once, so that converted start times do not drift with the wall clock
        self._unix_offset = time.time() * 1e3 - clock()
        self.zone_index: dict[str, int] = {}
        self._last_zone = 0  # of an unseen upstream whose zone is unknown: the last spillover zone
        self.index_by_uid: dict[str, int] = {}
        self.readiness: dict[str, Readiness] = {}
        # latest list entry of each upstream, with its zone and cell filled in
        self.target_by_uid: dict[str, Target] = {}
        self._addresses = AddressBook()
        self._gone_since: dict[str, float] = {}  # when each upstream was removed from the list, oldest first
        self._uid_by_index: dict[int, str] = {}
        self._place_by_index: dict[int, tuple[str, int]] = {}  # zone and cell of each upstream

    def use_config(self, config: ProxyConfig) -> None:
        """Applies the zones of a configuration; entries are converted by them from now on."""
        self.zone_index = {name: i for i, name in enumerate(config.zone_names)}
        self._last_zone = (config.deployment.zone - 1) % config.deployment.zones

    def uid(self, upstream: int) -> str:
        """Id of an upstream."""
        return self._uid_by_index[upstream]

    def place(self, upstream: int) -> tuple[str, int]:
        """Zone and cell of an upstream."""
        return self._place_by_index[upstream]

    def any_ready(self) -> bool:
        """Whether the list has an upstream that takes requests."""
        return Readiness.READY in self.readiness.values()

    def listed(self) -> list[Target]:
        """The entries of the upstreams that have not left."""
        return [target for target in self.target_by_uid.values() if target.state != "left"]

    def entries(self) -> list[ListedUpstream]:
        """All upstreams, for the decisions."""
        return [self.list_entry(target, self.index_by_uid[uid]) for uid, target in self.target_by_uid.items()]

    def apply(self, update: ListUpdate) -> list[ListedUpstream]:
        """Converts an update of the list to entries for the decisions, and updates the pools from it."""
        superseded = self._enter_addresses(update)
        entries = []
        for target, at in update.entries:
            upstream = self.index_by_uid.get(target.uid)
            if upstream is None:
                if at is None or target.state == "left" or self._addresses.is_superseded(target.uid):
                    continue
                upstream = self.index_by_uid[target.uid] = self._pools.add(at)
                self._uid_by_index[upstream] = target.uid
            entries.append(self._apply_entry(target, at, upstream))
        for uid in superseded:
            entries.append(self._apply_entry(self.target_by_uid[uid], None, self.index_by_uid[uid]))
        if update.is_full:
            self._withdraw_all_but({target.uid for target, _ in update.entries})
        return entries

    def _enter_addresses(self, update: ListUpdate) -> list[str]:
        """Records the addresses of an update; the known upstreams that others have superseded there.

        Otherwise the entry of a process that has gone would lead to the one that started at its address.
        """
        superseded: dict[str, None] = {}
        for target, at in update.entries:
            if target.state == "left":
                self._addresses.remove(target.uid)
            elif at is not None:
                superseded |= dict.fromkeys(self._addresses.enter(target.uid, at, target.boot_ms))
        named = {target.uid for target, _ in update.entries}
        return [uid for uid in superseded if uid in self.index_by_uid and uid not in named]

    def _withdraw_all_but(self, named: set[str]) -> None:
        """Withdraws the upstreams that a full list does not name: they are gone."""
        for uid, upstream in self.index_by_uid.items():
            if uid not in named and self.readiness.get(uid) is not Readiness.GONE:
                self._record_readiness(uid, Readiness.GONE, None)
                self.target_by_uid[uid] = structs.replace(self.target_by_uid[uid], state="left")
                self._pools.pools[upstream].withdraw()
                self._addresses.remove(uid)

    def _apply_entry(self, target: Target, at: Address | None, upstream: int) -> ListedUpstream:
        """Applies an entry of the list to the upstream's pool, and converts it for the decisions."""
        entry = self.list_entry(target, upstream)
        self._record_readiness(target.uid, entry.readiness, target)
        address = at or self._pools.pools[upstream].address
        is_ready = entry.readiness is Readiness.READY
        self._pools.update_from_list(upstream, address, target.boot_ms, is_ready)
        return entry

    def list_entry(self, target: Target, upstream: int) -> ListedUpstream:
        """Records an entry of the list and converts it for the decisions.

        An entry may omit its zone and cell (a removed one does); the upstream keeps its former ones, as
        repeats of fetches that may have executed there depend on them.
        """
        previous = self.target_by_uid.get(target.uid, target)
        if target.az and target.az not in self.zone_index:
            self._logger.warning("unknown zone in the upstream list", uid=target.uid, zone=target.az)
        az = target.az if target.az in self.zone_index or not previous.az else previous.az
        cell = previous.pod_group or 0 if target.pod_group is None else target.pod_group
        self.target_by_uid[target.uid] = structs.replace(target, az=az, pod_group=cell)
        self._place_by_index[upstream] = (az, cell)
        # an unknown state: no new requests
        readiness = _READINESS_BY_STATE.get(target.state, Readiness.DRAINING)
        if self._addresses.is_superseded(target.uid):
            readiness = Readiness.GONE
        return ListedUpstream(
            upstream=upstream,
            hash_key=int.from_bytes(blake2b(target.uid.encode(), digest_size=8).digest(), "big"),
            zone=self.zone_index.get(az, self._last_zone),
            cell=cell,
            readiness=readiness,
            started_at=target.boot_ms - self._unix_offset if target.boot_ms > 0 else 0.0,
        )

    def _record_readiness(self, uid: str, state: Readiness, target: Target | None) -> None:
        if self.readiness.get(uid) is state:
            return
        self.readiness[uid] = state
        self._gone_since.pop(uid, None)
        if state is Readiness.GONE:
            self._gone_since[uid] = self._clock()
        boot_ms = target.boot_ms if target else None
        self._events.change("upstream", uid=uid, state=state.name.lower(), boot_ms=boot_ms)

    def forget_gone(self, now: float) -> Iterator[int]:
        """Forgets upstreams removed long ago, as fleets get new ids all the time; yields their indices."""
        for uid, since in list(self._gone_since.items()):
            upstream = self.index_by_uid[uid]
            # keep one: a balancer that knows no upstream treats the next list as its first
            if (
                now - since < REMOVE_GONE_AFTER_MS
                or self._pools.pools[upstream].exchanges
                or len(self.index_by_uid) == 1
            ):
                return
            yield upstream
            del self._gone_since[uid], self.index_by_uid[uid]
            del self.readiness[uid], self.target_by_uid[uid]
            self._addresses.remove(uid)
            del self._pools.pools[upstream], self._place_by_index[upstream], self._uid_by_index[upstream]
