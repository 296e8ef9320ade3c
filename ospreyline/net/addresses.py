"""Which listed upstreams are still at their addresses: of several at one address, the last that started.

A process that has gone leaves its address to the next one, and the list may tell the new one before the end
of the old one, or never tell that end. Until then the old entry would be another name of the new process: in
the wrong zone and cell, and warm where the process is cold.
"""

from __future__ import annotations

Address = tuple[str, int]


class AddressBook:
    """The listed upstreams by address. Start times are the list's (Unix ms; 0: long ago, or unknown)."""

    def __init__(self) -> None:
        self._address: dict[str, Address] = {}  # by uid
        self._started_at: dict[Address, dict[str, float]] = {}  # by uid, of the upstreams at an address

    def enter(self, uid: str, address: Address, started_at: float) -> list[str]:
        """Records an entry of the list; returns the other upstreams that it supersedes at that address."""
        if self._address.get(uid, address) != address:
            self.remove(uid)
        self._address[uid] = address
        here = self._started_at.setdefault(address, {})
        here[uid] = started_at
        return [other for other in here if here[other] < started_at]

    def remove(self, uid: str) -> None:
        """Removes an upstream that is not listed any more."""
        address = self._address.pop(uid, None)
        if address is None:
            return
        del self._started_at[address][uid]
        if not self._started_at[address]:
            del self._started_at[address]

    def is_superseded(self, uid: str) -> bool:
        """Whether another process has started at its address since it did.

        Two that are listed with the same start time, as with none, are both taken to be there.
        """
        address = self._address.get(uid)
        if address is None:
            return False
        here = self._started_at[address]
        return here[uid] < max(here.values())
