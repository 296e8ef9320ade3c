"""Memory budgets: what peers can make this process hold, counted over all connections together.

Limits of one request or one answer do not bound their sum. Every part that keeps bytes for peers charges a
budget here and releases them later; whoever exceeds a budget frees the largest holder. docs/CAPACITY.md,
"Memory for peers", lists the parts.
"""

from __future__ import annotations

from dataclasses import dataclass

# shares of the memory limit; a request is held up to three times: as received, as it is sent to an upstream,
# and in that connection's write buffer
REQUEST_SHARE = 1 / 12
ANSWER_SHARE = 1 / 8
UNSENT_SHARE = 1 / 8
LIST_SHARE = 1 / 16


@dataclass(slots=True)
class MemoryBudget:
    """Bytes held for one purpose, and their limit."""

    limit: int
    held: int = 0
    most_held: int = 0  # since the last `take_most_held`

    def charge(self, amount: int) -> None:
        """Add `amount` bytes; a negative amount releases them."""
        self.held += amount
        if self.held > self.most_held:
            self.most_held = self.held

    @property
    def exceeded(self) -> bool:
        return self.held > self.limit

    def take_most_held(self) -> int:
        """The most bytes held since the last call."""
        most, self.most_held = self.most_held, self.held
        return most


@dataclass(slots=True, frozen=True)
class PeerBudgets:
    """The budgets of one process."""

    requests: MemoryBudget  # from their first byte until their visit is settled
    answers: MemoryBudget  # of upstreams, from their first byte until they are passed on
    unsent: MemoryBudget  # answers that clients have not read yet
    list_updates: MemoryBudget  # unfinished updates of the list service

    @classmethod
    def of(cls, memory_bytes: int) -> PeerBudgets:
        """Budgets for a process with a memory limit of `memory_bytes`."""
        return cls(
            requests=MemoryBudget(int(memory_bytes * REQUEST_SHARE)),
            answers=MemoryBudget(int(memory_bytes * ANSWER_SHARE)),
            unsent=MemoryBudget(int(memory_bytes * UNSENT_SHARE)),
            list_updates=MemoryBudget(int(memory_bytes * LIST_SHARE)),
        )

    def most_held_kb(self) -> dict[str, int]:
        """For the log: the most that each part held since the last call, in KB."""
        return {
            f"held_{name}_kb": budget.take_most_held() >> 10
            for name, budget in (
                ("requests", self.requests),
                ("answers", self.answers),
                ("unsent", self.unsent),
                ("list", self.list_updates),
            )
        }
