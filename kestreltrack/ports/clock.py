"""The clock that all parts of a sender share."""

from __future__ import annotations

import time
from collections.abc import Callable

Clock = Callable[[], float]


def make_clock(speed: float = 1.0) -> Clock:
    """Milliseconds that read like Unix time at the start and never go back afterwards; at `rate` times real time."""
    ahead, start = time.time() - time.monotonic(), time.time()
    if speed != 1.0:
        return lambda: (start + speed * (time.monotonic() + ahead - start)) * 1000.0
    return lambda: (time.monotonic() + ahead) * 1000.0
