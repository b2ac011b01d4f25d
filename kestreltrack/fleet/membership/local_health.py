"""Local health of this member: lengthens its probe intervals and timeouts while it appears to be slow itself.

Source: Lifeguard, LHA-Probe.
"""

from __future__ import annotations

from dataclasses import dataclass

# Lifeguard's S: intervals and timeouts grow at most ninefold.
MAX_LOCAL_HEALTH_SCORE = 8


@dataclass(frozen=True, slots=True)
class ProbeTiming:
    """The interval between probes and the timeout of a direct answer; the published values are 1,000 and 500."""

    probe_interval_ms: float = 1000.0
    probe_timeout_ms: float = 400.0


class LocalHealth:
    """Lifeguard's local health multiplier, and the durations that it scales."""

    def __init__(self, timing: ProbeTiming) -> None:
        """Start as a healthy member."""
        self.timing = timing
        # The multiplier minus one; 0 while this member is healthy.
        self.score = 0

    def adjust(self, change: int) -> None:
        """Raise the score after evidence of slowness, or lower it after a successful probe."""
        self.score = min(MAX_LOCAL_HEALTH_SCORE, max(0, self.score + change))

    def scaled(self, duration_ms: float) -> float:
        """Return a duration lengthened by the local health multiplier."""
        return duration_ms * (self.score + 1)

    def probe_interval_ms(self) -> float:
        """Return the interval between probes."""
        return self.timing.probe_interval_ms * (self.score + 1)

    def probe_timeout_ms(self) -> float:
        """Return the timeout of a direct answer."""
        return self.timing.probe_timeout_ms * (self.score + 1)
