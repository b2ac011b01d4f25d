"""Remembers messages that ended a short time ago, so that a repeated submission does not start another delivery.

The protocol gives each submission a new id.  The same id is a command that a proxy repeats, or a message that comes
again because its client, or the process that it went to, has gone.
"""

from __future__ import annotations

from collections.abc import Iterable
from enum import StrEnum

# How long an id is remembered.
MEMORY_MS = 30_000.0

# Limit on the remembered ids, which bounds the memory at a high rate of messages.
MAX_IDS = 8192

# An entry in the journal without its id: the time, the kind of the end, quotes and separators.
ENTRY_OVERHEAD_BYTES = 28


class EndKind(StrEnum):
    """How a message ended, as far as a repeated submission is concerned."""

    ANSWERED = "answered"  # delivered, or the platform knows its end
    AMBIGUOUS = "ambiguous"  # its client left without a reply, and it may have been executed


class EndedMessages:
    """The ids of the messages that ended within `MEMORY_MS`, in the order of their ends."""

    def __init__(self, max_bytes: float = float("inf")) -> None:
        """Remember no more ids than fit into `max_bytes` of the journal."""
        self.max_bytes = max_bytes
        # Estimated size of all entries in the journal.
        self.encoded_bytes = 0
        # Times are in milliseconds of the sender's clock.
        self._ends: dict[str, tuple[float, EndKind]] = {}

    def __len__(self) -> int:
        return len(self._ends)

    def add(self, message_id: str, ended_at_ms: float, kind: EndKind) -> None:
        """Remember that a message has ended."""
        if message_id in self._ends:
            self._remove(message_id)
        self._ends[message_id] = ended_at_ms, kind
        self.encoded_bytes += len(message_id) + ENTRY_OVERHEAD_BYTES
        self.forget_old(ended_at_ms)

    def find(self, message_id: str, now_ms: float) -> EndKind | None:
        """Return how a message ended a short time ago, or `None` if it is not known to have ended."""
        self.forget_old(now_ms)
        end = self._ends.get(message_id)
        return end and end[1]

    def items(self) -> list[tuple[str, float, EndKind]]:
        """Return the ids with the times and the kinds of their ends, oldest first."""
        return [(message_id, ended_at_ms, kind) for message_id, (ended_at_ms, kind) in self._ends.items()]

    def update(self, ends: Iterable[tuple[str, float, EndKind]]) -> None:
        """Remember several messages; those that ended first are forgotten first, whatever the order they come in."""
        merged = sorted([*self.items(), *ends], key=lambda end: end[1])
        self._ends.clear()
        self.encoded_bytes = 0
        for message_id, ended_at_ms, kind in merged:
            self.add(message_id, ended_at_ms, kind)

    def forget_old(self, now_ms: float) -> None:
        """Forget what ended too long ago, and the oldest ends beyond the limits."""
        while self._ends:
            oldest_id, (ended_at_ms, _) = next(iter(self._ends.items()))
            is_recent = now_ms - ended_at_ms <= MEMORY_MS
            if is_recent and len(self._ends) <= MAX_IDS and self.encoded_bytes <= self.max_bytes:
                return
            self._remove(oldest_id)

    def _remove(self, message_id: str) -> None:
        del self._ends[message_id]
        self.encoded_bytes -= len(message_id) + ENTRY_OVERHEAD_BYTES
