"""The clock that all components of a sender share."""

from __future__ import annotations

import time
from collections.abc import Callable

# Returns milliseconds since the Unix epoch.
Clock = Callable[[], float]


def make_clock(speed: float = 1.0) -> Clock:
    """Return a monotonic clock that starts at the current Unix time.

    Args:
        speed: Seconds on the clock per real second; different from 1 only in experiments.
    """
    epoch_offset_s = time.time() - time.monotonic()
    start_s = time.time()
    if speed != 1.0:
        return lambda: (start_s + speed * (time.monotonic() + epoch_offset_s - start_s)) * 1000.0
    return lambda: (time.monotonic() + epoch_offset_s) * 1000.0
