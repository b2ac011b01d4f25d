"""Textbook arithmetic without thresholds: averages, decaying counts, token buckets and backoff.

The order of the operations is part of the behaviour: captures replay to the last bit.
"""

from __future__ import annotations

NEVER = -1e18  # a time before any reading of the clock
UNLIMITED = float("inf")  # a time after any reading of the clock, or more tokens than any bucket holds


def moving_average(mean: float, value: float, weight: float) -> float:
    """Return an exponentially weighted mean with one more value, which has the given weight."""
    return mean + (value - mean) * weight


def moving_average_from_first(mean: float, value: float, weight: float) -> float:
    """Return the same where a mean of 0 means that there was no value before."""
    return moving_average(mean, value, weight if mean else 1.0)


def decayed(count: float, elapsed_ms: float, half_life_ms: float) -> float:
    """Return what is left of a count that halves in each half-life."""
    return float(count * 0.5 ** (elapsed_ms / half_life_ms))


def decayed_rate_per_s(count: float, elapsed_ms: float, half_life_ms: float) -> float:
    """Return the events a second that such a count stands for: ln 2 over the half-life, for each event."""
    return decayed(count, elapsed_ms, half_life_ms) * 693.0 / half_life_ms


def refilled(tokens: float, rate: float, elapsed: float, capacity: float) -> float:
    """Return the tokens of a bucket that has gained `rate` for each unit of the elapsed time."""
    return min(capacity, tokens + elapsed * rate)


def exponential_backoff_ms(first_ms: float, failures: int, longest_ms: float) -> float:
    """Return a pause that doubles with each failure in a row."""
    return float(min(first_ms * 2.0 ** min(failures - 1, 9), longest_ms))


def cubic_growth(scale: float, elapsed_s: float, plateau_s: float) -> float:
    """Return CUBIC's growth, in rates at which the limit was met (RFC 9438, section 4.2)."""
    return float(1.0 + scale * (elapsed_s - plateau_s) ** 3)
