"""How many senders share a partner's limit, by a register that may be cut off, late or half empty.

A sender takes its part of what a returning partner bears: one over this number.  Too small a number is the danger:
a partition empties the register of senders that are alive and go on sending, and whoever believed it would take
their part as well, all in one instant.  So

- senders are counted by name, and one that was seen within `linger_ms` counts: two that blink in turn are two;
- a larger number holds at once: it only lowers what this sender takes;
- a smaller one is believed only after `linger_ms` of fresh reads without a break, and then the number falls by one
  sender for each `step_ms`, so that the part never rises in a jump;
- what could not be read says nothing: the number stays, and the smaller one has to stand anew.

While a partition lasts less than `linger_ms`, the parts of all senders together never exceed the whole, whatever
each of them sees (`tests/test_headcount.py` shows it for any cuts, deaths and late reads).

Times are milliseconds of a clock that only goes forward.
"""

from __future__ import annotations

from collections.abc import Iterable


class MemberCount:
    """The number in force."""

    def __init__(self, configured: int, grace_period_ms: float, decrease_interval_ms: float) -> None:
        """Begin with the configured number: the register has shown nothing yet."""
        self.value, self.grace_period_ms, self.decrease_interval_ms = (
            configured,
            grace_period_ms,
            decrease_interval_ms,
        )
        self._last_seen: dict[str, float] = {}  # when each was last seen
        self._uninterrupted_since: float | None = None  # the register was read without a break from then on
        self._last_decrease_at = float("-inf")

    def record_read_failure(self) -> int:
        """The register could not be read."""
        self._uninterrupted_since = None
        return self.value

    def record_members(self, now: float, names: Iterable[str]) -> int:
        """The register was read, and showed these senders; returns the number in force."""
        self._uninterrupted_since = now if self._uninterrupted_since is None else self._uninterrupted_since
        self._last_seen |= dict.fromkeys(names, now)
        steady = now - self._uninterrupted_since >= self.grace_period_ms
        if steady:  # else who was seen before the break may have been hidden by it
            self._last_seen = {
                name: at for name, at in self._last_seen.items() if now - at < self.grace_period_ms
            }
        count = max(1, len(self._last_seen))
        if count >= self.value:
            self.value = count
        elif steady and now - self._last_decrease_at >= self.decrease_interval_ms:
            self.value, self._last_decrease_at = self.value - 1, now
        return self.value
