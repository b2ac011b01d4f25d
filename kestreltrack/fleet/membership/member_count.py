"""Number of senders that share a destination's limit, from a registry that may be unreachable, late or incomplete.

A sender uses the limit divided by this number. A number that is too small is dangerous: during a partition the
registry lacks senders that keep running and sending, and a sender that trusted it would use their quota as well.
Therefore

- senders are counted by name, and each one seen within the grace period counts, so that two that appear alternately
  count as two;
- an increase takes effect immediately, as it only lowers the quota of this sender;
- a decrease takes effect only after a grace period of uninterrupted reads, and then by one sender in each decrease
  interval, so that the quota rises gradually;
- a failed read leaves the number unchanged and restarts the grace period.

During a partition shorter than the grace period, the quotas of all senders together never exceed the limit, whatever
each of them reads (`tests/test_member_count.py` checks this with random partitions, crashes and late reads).

Times are milliseconds of a monotonic clock.
"""

from __future__ import annotations

from collections.abc import Iterable


class MemberCount:
    """The number of senders in effect."""

    def __init__(self, configured: int, grace_period_ms: float, decrease_interval_ms: float) -> None:
        """Start with the configured number, since the registry has not been read yet."""
        self.value = configured
        self.grace_period_ms = grace_period_ms
        self.decrease_interval_ms = decrease_interval_ms
        self._last_seen: dict[str, float] = {}
        self._uninterrupted_since: float | None = None
        self._last_decrease_at = float("-inf")

    def record_read_failure(self) -> int:
        """Record that the registry could not be read, and return the number in effect."""
        self._uninterrupted_since = None
        return self.value

    def record_members(self, now: float, names: Iterable[str]) -> int:
        """Record the senders read from the registry, and return the number in effect."""
        if self._uninterrupted_since is None:
            self._uninterrupted_since = now
        self._last_seen |= dict.fromkeys(names, now)
        grace_period_over = now - self._uninterrupted_since >= self.grace_period_ms
        # Until then, a sender last seen before the interruption may be running and missing from the reads.
        if grace_period_over:
            self._forget_unseen(now)
        count = max(1, len(self._last_seen))
        if count >= self.value:
            self.value = count
        elif grace_period_over and now - self._last_decrease_at >= self.decrease_interval_ms:
            self.value -= 1
            self._last_decrease_at = now
        return self.value

    def _forget_unseen(self, now: float) -> None:
        self._last_seen = {
            name: seen_at for name, seen_at in self._last_seen.items() if now - seen_at < self.grace_period_ms
        }
