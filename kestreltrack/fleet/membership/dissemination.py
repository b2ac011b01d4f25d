"""What is still to be told: each fact so many times, those told least often first (infection-style dissemination)."""

from __future__ import annotations

import math

from kestreltrack.fleet.membership.wire import ENCODE, MemberUpdate

RETRANSMIT_MULTIPLIER = (
    4  # times a fact is told for each power of ten of members: it reaches all but a few in a million (SWIM)
)


class DisseminationQueue:
    """The newest fact about each member, and how often it was told."""

    def __init__(self) -> None:
        """Nothing to tell."""
        self._updates: dict[str, tuple[bytes, int]] = {}

    def __len__(self) -> int:
        """How many facts wait to be told."""
        return len(self._updates)

    def enqueue(self, update: MemberUpdate) -> None:
        """To be told from now on; an older fact about the same member is not any more."""
        self._updates.pop(update.name, None)
        self._updates[update.name] = (ENCODE(update), 0)

    def pending(self) -> list[tuple[str, bytes]]:
        """Facts by member, encoded, those told least often first."""
        return [(name, fact) for name, (fact, _) in sorted(self._updates.items(), key=lambda row: row[1][1])]

    def mark_transmitted(self, names: list[str], member_count: int) -> None:
        """These went out once more; what has been told often enough is dropped."""
        most = RETRANSMIT_MULTIPLIER * max(1, math.ceil(math.log10(member_count + 1)))
        for name in names:
            fact, times = self._updates[name]
            if times + 1 >= most:
                del self._updates[name]
            else:
                self._updates[name] = (fact, times + 1)
