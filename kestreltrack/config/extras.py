"""Maps optional libraries to the extras in `pyproject.toml` that install them."""

from __future__ import annotations

from collections.abc import Iterator
from contextlib import contextmanager

from kestreltrack.config.errors import MissingExtraError

__all__ = ["EXTRA_BY_LIBRARY", "MissingExtraError", "reporting_missing_extras"]

# The smallest extra that installs each optional library, by import name.
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
    """Convert the failed import of an optional library to `MissingExtraError`; other errors propagate unchanged.

    Raises:
        MissingExtraError: The body imported an optional library that is not installed.
    """
    try:
        yield
    except ModuleNotFoundError as error:
        library = (error.name or "").partition(".")[0]
        if library not in EXTRA_BY_LIBRARY:
            # Not an optional library: a defect in the program, which must not be reported as a missing extra.
            raise
        raise MissingExtraError(library, EXTRA_BY_LIBRARY[library]) from error
