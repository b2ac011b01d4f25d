"""Averages, decaying counts, token buckets and backoff as pure functions without thresholds.

Captures are replayed bit for bit, so the order of the floating-point operations is part of the behaviour.
"""

from __future__ import annotations

# Earlier than any reading of the clock.
NEVER = -1e18
# Later than any reading of the clock, or more tokens than any bucket holds.
UNLIMITED = float("inf")


def moving_average(mean: float, value: float, weight: float) -> float:
    """Return the exponentially weighted mean after a new value with the given weight."""
    return mean + (value - mean) * weight


def moving_average_from_first(mean: float, value: float, weight: float) -> float:
    """Return the exponentially weighted mean, where a mean of 0 stands for no earlier value."""
    return moving_average(mean, value, weight if mean else 1.0)


def decayed(count: float, elapsed_ms: float, half_life_ms: float) -> float:
    """Return what is left of a count that halves once per half-life."""
    return float(count * 0.5 ** (elapsed_ms / half_life_ms))


def decayed_rate_per_s(count: float, elapsed_ms: float, half_life_ms: float) -> float:
    """Return the event rate that a decaying count stands for: count * ln 2 / half-life."""
    # 693 is ln 2 in thousandths, as the half-life is in milliseconds.
    return decayed(count, elapsed_ms, half_life_ms) * 693.0 / half_life_ms


def refilled(tokens: float, rate: float, elapsed: float, capacity: float) -> float:
    """Return the tokens of a bucket that gains `rate` tokens per unit of elapsed time, up to its capacity."""
    return min(capacity, tokens + elapsed * rate)


def exponential_backoff_ms(first_ms: float, failures: int, longest_ms: float) -> float:
    """Return a pause that doubles with each consecutive failure, up to nine times, within `longest_ms`."""
    return float(min(first_ms * 2.0 ** min(failures - 1, 9), longest_ms))


def cubic_growth(scale: float, elapsed_s: float, plateau_s: float) -> float:
    """Return the CUBIC growth curve of RFC 9438, section 4.2, relative to the rate that met the limit."""
    return float(1.0 + scale * (elapsed_s - plateau_s) ** 3)
