"""The health of simulated endpoints: faults, warm-up, pauses, speed."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from typing import NamedTuple

from kestreltrack.testing.emulator.calls import Job

# Faults after which an endpoint has to warm up.
OUTAGE_FAULTS = ("hangs", "shuts", "unreachable", "refuses", "vanishes")

# Fraction of failed calls from which on the fault `fails` counts as an outage.
OUTAGE_FAILURE_SHARE = 0.5

# Faults under which calls on established connections are never answered.
SILENT_FAULTS = ("unreachable", "vanishes")


@dataclass(slots=True)
class ActiveFault:
    """A fault of endpoints, and its end (ms)."""

    kind: str
    ends_at: float
    magnitude: float = 1.0


class ArrivedWork(NamedTuple):
    """The work of one call that arrived at an endpoint while it was warming up."""

    arrived_at: float
    work_ms: float
    sender: int


@dataclass(slots=True)
class WarmUp:
    """A warm-up after an outage: the capacity grows linearly from the initial share to 1."""

    started_at: float
    initial_share: float
    duration_ms: float
    recent_work: deque[ArrivedWork] = field(default_factory=deque)
    """The calls of the overload window, oldest first."""


@dataclass(slots=True, eq=False)
class Health:
    """The state of endpoints that fail and recover together.

    These are all endpoints of a destination, one independent endpoint, or those that a partial fault affects.
    """

    capacity: float = 1.0
    """Work (ms) completed per millisecond when warm."""
    fault: ActiveFault | None = None
    warm_up: WarmUp | None = None
    down_until: float = float("-inf")
    """The end (ms) of an outage caused by overload while warming up."""
    hung_calls: list[Job] = field(default_factory=list)
    paused_until: float = float("-inf")
    paused_ms: float = 0.0
    """The total duration of all pauses, up to the end of the current one."""

    def current_fault(self, now: float) -> str:
        """Return the kind of the active fault, or an empty string."""
        return self.fault.kind if self.fault and now < self.fault.ends_at else ""

    def warm_fraction(self, now: float) -> float:
        """Return the fraction of the capacity that is available; end a warm-up that is over."""
        if self.warm_up is None:
            return 1.0
        progress = (now - self.warm_up.started_at) / self.warm_up.duration_ms
        if progress >= 1.0:
            self.warm_up = None
            return 1.0
        return self.warm_up.initial_share + (1.0 - self.warm_up.initial_share) * progress

    def speed_factor(self, now: float) -> float:
        """Return the current speed relative to that of a warm endpoint without faults."""
        slowdown = self.fault.magnitude if self.fault and self.current_fault(now) == "slow" else 1.0
        return self.warm_fraction(now) / slowdown

    def pause(self, now: float, duration_ms: float) -> None:
        """Pause the execution of all calls, which delays the end of each by the duration."""
        self.paused_until = now + duration_ms
        self.paused_ms += duration_ms
