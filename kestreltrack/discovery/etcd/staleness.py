"""Reports the age of the endpoint list as a counter, and logs when it exceeds a configured bound."""

from __future__ import annotations

from collections.abc import Sequence

from kestreltrack.telemetry import Telemetry


class StalenessReporter:
    """Compares the age of the list with the configured bounds.

    Attributes:
        bounds_ms: The ages, in ascending order, at which the list is reported as stale.
    """

    def __init__(self, bounds_ms: Sequence[float], telemetry: Telemetry) -> None:
        """Start with a fresh list."""
        self.bounds_ms = tuple(sorted(bounds_ms))
        self._telemetry = telemetry
        # The number of bounds that the age exceeded at the last report.
        self._level = 0

    def report(self, age_ms: float) -> None:
        """Update the age counter; record a fault at each further bound, and log when the list is fresh again."""
        self._telemetry.counters["discovery.etcd.age_ms"] = int(age_ms)
        level = sum(age_ms >= bound for bound in self.bounds_ms)
        if level > self._level:
            self._telemetry.record_fault(
                "discovery.stale", age_ms=int(age_ms), above_ms=self.bounds_ms[level - 1]
            )
        elif level < self._level and level == 0:
            self._telemetry.log("discovery.fresh", age_ms=int(age_ms))
        self._level = level
