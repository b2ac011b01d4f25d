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


class Headcount:
    """The number in force."""

    def __init__(self, configured: int, linger_ms: float, step_ms: float) -> None:
        """Begin with the configured number: the register has shown nothing yet."""
        self.value, self.linger_ms, self.step_ms = configured, linger_ms, step_ms
        self._names: dict[str, float] = {}  # when each was last seen
        self._since: float | None = None  # the register was read without a break from then on
        self._fell_at = float("-inf")

    def unseen(self) -> int:
        """The register could not be read."""
        self._since = None
        return self.value

    def seen(self, now: float, names: Iterable[str]) -> int:
        """The register was read, and showed these senders; returns the number in force."""
        self._since = now if self._since is None else self._since
        self._names |= dict.fromkeys(names, now)
        steady = now - self._since >= self.linger_ms
        if steady:  # else who was seen before the break may have been hidden by it
            self._names = {name: at for name, at in self._names.items() if now - at < self.linger_ms}
        count = max(1, len(self._names))
        if count >= self.value:
            self.value = count
        elif steady and now - self._fell_at >= self.step_ms:
            self.value, self._fell_at = self.value - 1, now
        return self.value
