"""Infection-style dissemination: member updates that wait to be sent along with other packets.

Each update is sent a limited number of times, those sent least often first. Source: SWIM, section 4.1.
"""

from __future__ import annotations

import math

from kestreltrack.fleet.membership.wire import ENCODE, MemberUpdate

# Transmissions of an update for each power of ten of members: it then reaches all but a few in a million (SWIM's
# lambda).
RETRANSMIT_MULTIPLIER = 4


class DisseminationQueue:
    """The newest update about each member, and how often it has been sent."""

    def __init__(self) -> None:
        """Begin with no update."""
        self._updates: dict[str, tuple[bytes, int]] = {}

    def __len__(self) -> int:
        """Return the number of updates that wait to be sent."""
        return len(self._updates)

    def enqueue(self, update: MemberUpdate) -> None:
        """Send this update from now on, in place of an older one about the same member."""
        self._updates.pop(update.name, None)
        self._updates[update.name] = (ENCODE(update), 0)

    def pending(self) -> list[tuple[str, bytes]]:
        """Return the encoded updates with the names of their members, those sent least often first."""
        rows = sorted(self._updates.items(), key=lambda row: row[1][1])
        return [(name, encoded) for name, (encoded, _) in rows]

    def mark_transmitted(self, names: list[str], member_count: int) -> None:
        """Count one more transmission of the updates about these members; drop those sent often enough."""
        limit = RETRANSMIT_MULTIPLIER * max(1, math.ceil(math.log10(member_count + 1)))
        for name in names:
            encoded, transmissions = self._updates[name]
            if transmissions + 1 >= limit:
                del self._updates[name]
            else:
                self._updates[name] = (encoded, transmissions + 1)
