"""Named streams of chance, all from one seed, and distributions by their names in scipy.stats.

Each use of chance has a stream of its own (numpy's `SeedSequence` with a spawn key made of its name), so that two
policies meet the same world: what one of them draws more often shifts nobody else's numbers (common random numbers;
Law, Simulation Modeling and Analysis, section 11.2).
"""

from __future__ import annotations

import zlib
from collections.abc import Iterator
from typing import Any

import msgspec
import numpy as np
import scipy.stats

BLOCK_SIZE = 256  # values drawn at once: scipy's cost is by the call
Distribution = float | tuple[float, float] | dict[str, float | str]
"""A constant, `[low, high]` for a uniform one, or `{name = "lognorm", s = 0.6, scale = 200}` as in scipy.stats."""


class InvalidDistributionError(ValueError):
    """Not a distribution."""


def scipy_distribution(distribution: Distribution) -> Any:
    """What scipy makes of it; none for a constant; raises `BadDist`."""
    if isinstance(distribution, int | float):
        return None
    if isinstance(distribution, dict):
        words = dict(distribution)
        name = words.pop("name", None)
        kind = getattr(scipy.stats, str(name), None)
        if not isinstance(kind, scipy.stats.rv_continuous | scipy.stats.rv_discrete):
            raise InvalidDistributionError(f"{name!r} is not a distribution of scipy.stats")
        try:
            made = kind(**words)
            if not np.isfinite(made.rvs(random_state=np.random.default_rng(0))):
                raise InvalidDistributionError(f"{name} gives no finite values with {words}")
        except (TypeError, ValueError) as bad:
            raise InvalidDistributionError(f"{name}: {bad}") from None
        return made
    low, high = distribution
    if high < low:
        raise InvalidDistributionError(f"[{low}, {high}] ends before it begins")
    return scipy.stats.uniform(low, high - low) if high > low else None


def bounds(distribution: Distribution) -> tuple[float, float]:
    """The least and the greatest value that it gives."""
    if isinstance(distribution, int | float):
        return float(distribution), float(distribution)
    if isinstance(distribution, tuple):
        return distribution
    low, high = scipy_distribution(distribution).support()
    return float(low), float(high)


class Sampler:
    """Values of one distribution from one stream; each call gives the next."""

    def __init__(self, distribution: Distribution, rng: np.random.Generator) -> None:
        """Nothing is drawn yet."""
        self._distribution = scipy_distribution(distribution)
        self._rng = rng
        self._constant = 0.0
        if self._distribution is None:
            self._constant = float(distribution[0] if isinstance(distribution, tuple) else distribution)  # type: ignore[arg-type]
        self._values: Iterator[float] = iter(())

    def __call__(self) -> float:
        """The next value."""
        if self._distribution is None:
            return self._constant
        value = next(self._values, None)
        if value is None:
            self._values = iter(self._distribution.rvs(size=BLOCK_SIZE, random_state=self._rng).tolist())
            value = next(self._values)
        return float(value)


class UniformStream:
    """Uniform numbers of one stream, drawn in blocks."""

    def __init__(self, rng: np.random.Generator) -> None:
        """Nothing is drawn yet."""
        self._rng, self._values = rng, iter(())  # type: tuple[np.random.Generator, Iterator[float]]

    def __call__(self) -> float:
        """The next one, from 0 up to 1."""
        value = next(self._values, None)
        if value is None:
            self._values = iter(self._rng.random(BLOCK_SIZE).tolist())
            value = next(self._values)
        return value

    def integer_below(self, count: int) -> int:
        """A whole number from 0 up to `count`."""
        return int(self() * count)


class RandomStreams:
    """All streams of one seed."""

    def __init__(self, seed: int) -> None:
        """Any whole number that is not negative."""
        self.seed = seed

    def generator(self, *name: object) -> np.random.Generator:
        """The stream of a name, from its beginning: ask for it once."""
        key = tuple(zlib.crc32(str(part).encode()) for part in name)
        return np.random.default_rng(np.random.SeedSequence(self.seed, spawn_key=key))

    def sampler(self, distribution: Distribution, *name: object) -> Sampler:
        """Values of a distribution from a stream."""
        return Sampler(distribution, self.generator(*name))

    def uniform(self, *name: object) -> UniformStream:
        """Uniform numbers from a stream."""
        return UniformStream(self.generator(*name))


def validate_distributions(struct: msgspec.Struct, path: str) -> None:
    """Look at all distributions of a table and its tables; raises `BadDist` that names the key."""
    for field in msgspec.structs.fields(type(struct)):
        value = getattr(struct, field.name)
        where = f"{path}.{field.name}" if path else field.name
        if isinstance(value, msgspec.Struct):
            validate_distributions(value, where)
        elif isinstance(value, tuple) and value and isinstance(value[0], msgspec.Struct):
            for n, row in enumerate(value):
                validate_distributions(row, f"{where}[{n}]")
        elif field.type == Distribution:
            try:
                scipy_distribution(value)
            except InvalidDistributionError as bad:
                raise InvalidDistributionError(f"{where}: {bad}") from None


def lognormal_distribution(mean: float, cv: Any) -> dict[str, float | str]:
    """A lognormal distribution by its mean and variation; the variation's middle where it is a range."""
    middle = sum(cv) / 2.0 if isinstance(cv, tuple) else float(cv)
    s = float(np.sqrt(np.log(1.0 + middle**2)))
    return {"name": "lognorm", "s": s, "scale": mean / float(np.exp(s**2 / 2.0))}


def apportion(shares: list[float], count: int) -> list[int]:
    """Whole numbers in these proportions that sum up; one each where there are enough."""
    found = [max(1, round(share * count)) for share in shares]
    while sum(found) > count:
        found[int(np.argmax(found))] -= 1
    while sum(found) < count:
        found[int(np.argmax([share * count - n for share, n in zip(shares, found, strict=True)]))] += 1
    return found
