"""Names the extra of `pyproject.toml` that brings a library, for an installation that lacks the library."""

from __future__ import annotations

from collections.abc import Iterator
from contextlib import contextmanager

from kestreltrack.config.errors import MissingExtraError

__all__ = ["EXTRA_BY_LIBRARY", "MissingExtraError", "reporting_missing_extras"]

# Each optional library, by the name under which it is imported, with the smallest extra that brings it.
EXTRA_BY_LIBRARY = {
    "google": "etcd",
    "grpclib": "etcd",
    "matplotlib": "tools",
    "msgspec": "tools",
    "numpy": "tools",
    "polars": "tools",
    "rich": "tools",
    "scipy": "emulator",
    "typer": "tools",
    "xxhash": "fleet",
    "zstandard": "capture",
}


@contextmanager
def reporting_missing_extras() -> Iterator[None]:
    """Turn the lack of an optional library into `MissingExtraError`; let any other error pass.

    Raises:
        MissingExtraError: The body imported a library of an extra that is not installed.
    """
    try:
        yield
    except ModuleNotFoundError as error:
        library = (error.name or "").partition(".")[0]
        if library not in EXTRA_BY_LIBRARY:
            # Not an optional library: a fault of the program, which must not read like an installation's.
            raise
        raise MissingExtraError(library, EXTRA_BY_LIBRARY[library]) from error
