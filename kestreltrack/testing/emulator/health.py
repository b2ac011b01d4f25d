"""The health of simulated endpoints: faults, warm-up, pauses, speed."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field

from kestreltrack.testing.emulator.calls import Job

OUTAGE_FAULTS = ("hangs", "shuts", "unreachable", "refuses", "vanishes")  # after which it comes back cold


OUTAGE_FAILURE_SHARE = 0.5  # part of its calls from which one that fails counts as out


SILENT_FAULTS = ("unreachable", "vanishes")  # takes calls on kept connections, and nobody hears of them


@dataclass(slots=True)
class ActiveFault:
    """What is wrong with a partner just now, and until when."""

    kind: str
    ends_at: float
    magnitude: float = 1.0


@dataclass(slots=True)
class WarmUp:
    """A cold return."""

    started_at: float
    initial_share: float
    duration_ms: float
    recent_work: deque[tuple[float, float, int]] = field(default_factory=deque)
    """Work since, with its time and sender."""


@dataclass(slots=True, eq=False)
class Health:
    """What goes out and comes back as one: all endpoints of a partner, one route, or a part that an outage took."""

    capacity: float = 1.0
    """Milliseconds of work in a millisecond, warm."""
    fault: ActiveFault | None = None
    warm_up: WarmUp | None = None
    down_until: float = float("-inf")
    hung_calls: list[Job] = field(default_factory=list)
    paused_until: float = float("-inf")
    paused_ms: float = 0.0
    """How long it has stood still in all, to the end of the pause that has begun."""

    def current_fault(self, now: float) -> str:
        """What is wrong, if anything."""
        return self.fault.kind if self.fault and now < self.fault.ends_at else ""

    def warm_fraction(self, now: float) -> float:
        """The part of its capacity that it has just now."""
        if self.warm_up is None:
            return 1.0
        gone = (now - self.warm_up.started_at) / self.warm_up.duration_ms
        if gone >= 1.0:
            self.warm_up = None
            return 1.0
        return self.warm_up.initial_share + (1.0 - self.warm_up.initial_share) * gone

    def speed_factor(self, now: float) -> float:
        """Its speed in times of the usual."""
        slow = self.fault.magnitude if self.fault and self.current_fault(now) == "slow" else 1.0
        return self.warm_fraction(now) / slow

    def pause(self, now: float, duration_ms: float) -> None:
        """Stand still for so long: what runs ends so much later."""
        self.paused_until = now + duration_ms
        self.paused_ms += duration_ms
