"""Infection-style dissemination: a queue of member updates to piggyback on other packets.

Each update is sent a limited number of times; the updates sent least often go first. Source: SWIM, section 4.1.
"""

from __future__ import annotations

import math

from kestreltrack.fleet.membership.wire import ENCODE, MemberUpdate

# Transmissions of an update for each power of ten of members (SWIM's lambda): it then reaches all but a few members
# in a million.
RETRANSMIT_MULTIPLIER = 4


class DisseminationQueue:
    """The latest update about each member, and the number of its transmissions."""

    def __init__(self) -> None:
        """Create an empty queue."""
        self._updates: dict[str, tuple[bytes, int]] = {}

    def __len__(self) -> int:
        """Return the number of pending updates."""
        return len(self._updates)

    def enqueue(self, update: MemberUpdate) -> None:
        """Add an update; it replaces an older one about the same member."""
        self._updates.pop(update.name, None)
        self._updates[update.name] = (ENCODE(update), 0)

    def pending(self) -> list[tuple[str, bytes]]:
        """Return the member name and the encoding of each update, those sent least often first."""
        rows = sorted(self._updates.items(), key=lambda row: row[1][1])
        return [(name, encoded) for name, (encoded, _) in rows]

    def mark_transmitted(self, names: list[str], member_count: int) -> None:
        """Count one transmission of the updates about these members; drop those that have reached the limit."""
        limit = RETRANSMIT_MULTIPLIER * max(1, math.ceil(math.log10(member_count + 1)))
        for name in names:
            encoded, transmissions = self._updates[name]
            if transmissions + 1 >= limit:
                del self._updates[name]
            else:
                self._updates[name] = (encoded, transmissions + 1)
