"""Named streams of random numbers from one seed, and distributions by their names in scipy.stats.

Each use of random numbers has a stream of its own (numpy's `SeedSequence` with a spawn key derived from its name).
Two policies are therefore compared under the same conditions: where one of them draws more numbers from a stream, no
other stream changes (common random numbers; Law, Simulation Modeling and Analysis, section 11.2).
"""

from __future__ import annotations

import zlib
from collections.abc import Iterator
from typing import Any

import msgspec
import numpy as np
import scipy.stats

# Values drawn by one call of scipy, whose cost is mostly per call rather than per value.
BLOCK_SIZE = 256

Distribution = float | tuple[float, float] | dict[str, float | str]
"""A constant, `[low, high]` for a uniform one, or `{name = "lognorm", s = 0.6, scale = 200}` as in scipy.stats."""


class InvalidDistributionError(ValueError):
    """A value that is not a distribution; the message says why."""


def scipy_distribution(distribution: Distribution) -> Any:
    """Return the frozen distribution of scipy.stats, or None for a constant.

    Raises:
        InvalidDistributionError: scipy.stats has no such distribution, or the parameters are invalid.
    """
    if isinstance(distribution, int | float):
        return None
    if isinstance(distribution, dict):
        parameters = dict(distribution)
        name = parameters.pop("name", None)
        kind = getattr(scipy.stats, str(name), None)
        if not isinstance(kind, scipy.stats.rv_continuous | scipy.stats.rv_discrete):
            raise InvalidDistributionError(f"{name!r} is not a distribution of scipy.stats")
        try:
            created = kind(**parameters)
            if not np.isfinite(created.rvs(random_state=np.random.default_rng(0))):
                raise InvalidDistributionError(f"{name} gives no finite values with {parameters}")
        except (TypeError, ValueError) as error:
            raise InvalidDistributionError(f"{name}: {error}") from None
        return created
    low, high = distribution
    if high < low:
        raise InvalidDistributionError(f"[{low}, {high}]: expected the lower bound first")
    return scipy.stats.uniform(low, high - low) if high > low else None


def bounds(distribution: Distribution) -> tuple[float, float]:
    """Return the least and the greatest value of a distribution."""
    if isinstance(distribution, int | float):
        return float(distribution), float(distribution)
    if isinstance(distribution, tuple):
        return distribution
    low, high = scipy_distribution(distribution).support()
    return float(low), float(high)


class Sampler:
    """Draws values of one distribution from one stream."""

    def __init__(self, distribution: Distribution, rng: np.random.Generator) -> None:
        """Create a sampler at the current position of a generator."""
        self._distribution = scipy_distribution(distribution)
        self._rng = rng
        self._constant = 0.0
        if self._distribution is None:
            self._constant = float(distribution[0] if isinstance(distribution, tuple) else distribution)  # type: ignore[arg-type]
        self._values: Iterator[float] = iter(())

    def __call__(self) -> float:
        """Return the next value."""
        if self._distribution is None:
            return self._constant
        value = next(self._values, None)
        if value is None:
            self._values = iter(self._distribution.rvs(size=BLOCK_SIZE, random_state=self._rng).tolist())
            value = next(self._values)
        return float(value)


class UniformStream:
    """Draws uniform numbers from one stream, in blocks."""

    def __init__(self, rng: np.random.Generator) -> None:
        """Create a sampler at the current position of a generator."""
        self._rng = rng
        self._values: Iterator[float] = iter(())

    def __call__(self) -> float:
        """Return the next number, in the interval [0, 1)."""
        value = next(self._values, None)
        if value is None:
            self._values = iter(self._rng.random(BLOCK_SIZE).tolist())
            value = next(self._values)
        return value

    def integer_below(self, count: int) -> int:
        """Return an integer from 0 to `count` - 1."""
        return int(self() * count)


class RandomStreams:
    """The streams of one seed."""

    def __init__(self, seed: int) -> None:
        """Create the streams of a non-negative seed."""
        self.seed = seed

    def generator(self, *name: object) -> np.random.Generator:
        """Return a new generator at the beginning of a named stream; each call returns the same sequence."""
        key = tuple(zlib.crc32(str(part).encode()) for part in name)
        return np.random.default_rng(np.random.SeedSequence(self.seed, spawn_key=key))

    def sampler(self, distribution: Distribution, *name: object) -> Sampler:
        """Return a sampler of a distribution on a named stream."""
        return Sampler(distribution, self.generator(*name))

    def uniform(self, *name: object) -> UniformStream:
        """Return a sampler of uniform numbers on a named stream."""
        return UniformStream(self.generator(*name))


def validate_distributions(struct: msgspec.Struct, path: str) -> None:
    """Check all distributions of a table and of the tables in it.

    Raises:
        InvalidDistributionError: One is invalid; the message names its key.
    """
    for field in msgspec.structs.fields(type(struct)):
        value = getattr(struct, field.name)
        key = f"{path}.{field.name}" if path else field.name
        if isinstance(value, msgspec.Struct):
            validate_distributions(value, key)
        elif isinstance(value, tuple) and value and isinstance(value[0], msgspec.Struct):
            for index, row in enumerate(value):
                validate_distributions(row, f"{key}[{index}]")
        elif field.type == Distribution:
            try:
                scipy_distribution(value)
            except InvalidDistributionError as error:
                raise InvalidDistributionError(f"{key}: {error}") from None


def lognormal_distribution(mean: float, cv: Any) -> dict[str, float | str]:
    """Return a lognormal distribution by its mean and coefficient of variation.

    Where the coefficient is a range, its midpoint is used.
    """
    mean_cv = sum(cv) / 2.0 if isinstance(cv, tuple) else float(cv)
    sigma = float(np.sqrt(np.log(1.0 + mean_cv**2)))
    return {"name": "lognorm", "s": sigma, "scale": mean / float(np.exp(sigma**2 / 2.0))}


def apportion(shares: list[float], count: int) -> list[int]:
    """Return integers in these proportions with the sum `count`, each at least 1 where that is possible."""
    counts = [max(1, round(share * count)) for share in shares]
    while sum(counts) > count:
        counts[int(np.argmax(counts))] -= 1
    while sum(counts) < count:
        missing = [share * count - n for share, n in zip(shares, counts, strict=True)]
        counts[int(np.argmax(missing))] += 1
    return counts
