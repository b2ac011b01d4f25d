"""Reports the age of the followed list as a counter, and writes to the log when it passes an operator's bound."""

from __future__ import annotations

from collections.abc import Sequence

from kestreltrack.telemetry import Telemetry


class StalenessReporter:
    """Compares the age of the list with the bounds.

    Attributes:
        bounds_ms: The ages, in ascending order, from which the list counts as stale and as ever more stale.
    """

    def __init__(self, bounds_ms: Sequence[float], telemetry: Telemetry) -> None:
        """Begin with a list that counts as fresh."""
        self.bounds_ms = tuple(sorted(bounds_ms))
        self._telemetry = telemetry
        # The number of bounds that the age had passed at the last report.
        self._level = 0

    def report(self, age_ms: float) -> None:
        """Set the counter of the age; record a fault at each further bound, and log when the list is fresh again."""
        self._telemetry.counters["discovery.etcd.age_ms"] = int(age_ms)
        level = sum(age_ms >= bound for bound in self.bounds_ms)
        if level > self._level:
            self._telemetry.record_fault(
                "discovery.stale", age_ms=int(age_ms), above_ms=self.bounds_ms[level - 1]
            )
        elif level < self._level and level == 0:
            self._telemetry.log("discovery.fresh", age_ms=int(age_ms))
        self._level = level
