"""The clock that all parts of a sender share."""

from __future__ import annotations

import time
from collections.abc import Callable

# Returns milliseconds since the Unix epoch.
Clock = Callable[[], float]


def make_clock(speed: float = 1.0) -> Clock:
    """Return a clock that reads like Unix time at the start and never goes back afterwards.

    Args:
        speed: How many seconds of the clock pass in a real second; other than 1 only in experiments.
    """
    epoch_offset_s = time.time() - time.monotonic()
    start_s = time.time()
    if speed != 1.0:
        return lambda: (start_s + speed * (time.monotonic() + epoch_offset_s - start_s)) * 1000.0
    return lambda: (time.monotonic() + epoch_offset_s) * 1000.0
