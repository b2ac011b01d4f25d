"""Accounts for the bytes that the process holds on behalf of its peers."""

from __future__ import annotations

import math


class ByteBudget:
    """The bytes that all connections of one kind hold together, and their limit.

    Attributes:
        limit_bytes: How much they may hold.
        held_bytes: How much they hold now.
        peak_bytes: The most they have held since `take_peak` was called last.
    """

    def __init__(self, limit_bytes: float = math.inf) -> None:
        """Account for nothing yet."""
        self.limit_bytes = limit_bytes
        self.held_bytes = 0
        self.peak_bytes = 0

    def change(self, by_bytes: int) -> None:
        """Add bytes that a connection has begun to hold; negative for bytes that it has given back."""
        self.held_bytes += by_bytes
        self.peak_bytes = max(self.peak_bytes, self.held_bytes)

    def is_exceeded(self) -> bool:
        """Return whether the connections hold more than they may."""
        return self.held_bytes > self.limit_bytes

    def take_peak(self) -> int:
        """Return the peak since the last call, and begin a new one."""
        peak_bytes, self.peak_bytes = self.peak_bytes, self.held_bytes
        return peak_bytes
