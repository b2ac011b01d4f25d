"""Remembers messages that ended a short time ago, so that a repeated submission does not start another delivery."""

from __future__ import annotations

# How long an id is remembered.  The protocol gives each submission a new id, so the same id is a repeated command,
# which a proxy writes soon after the first.
MEMORY_MS = 10_000.0

# Limit on the remembered ids, which bounds the memory at a high rate of messages.
MAX_IDS = 8192


class RecentlyEnded:
    """The ids of the messages that ended within `MEMORY_MS`, in the order of their ends."""

    def __init__(self) -> None:
        # Times are in milliseconds of the sender's clock.
        self._ended_at_ms: dict[str, float] = {}

    def add(self, message_id: str, now_ms: float) -> None:
        """Remember that a message has ended."""
        self._ended_at_ms[message_id] = now_ms
        self._forget_old(now_ms)

    def contains(self, message_id: str, now_ms: float) -> bool:
        """Return whether a message ended a short time ago."""
        self._forget_old(now_ms)
        return message_id in self._ended_at_ms

    def _forget_old(self, now_ms: float) -> None:
        while self._ended_at_ms:
            oldest_id, ended_at_ms = next(iter(self._ended_at_ms.items()))
            if now_ms - ended_at_ms <= MEMORY_MS and len(self._ended_at_ms) <= MAX_IDS:
                return
            del self._ended_at_ms[oldest_id]
