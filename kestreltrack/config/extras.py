"""Which extra of `pyproject.toml` brings a library, for an installation that lacks it."""

from __future__ import annotations

from collections.abc import Iterator
from contextlib import contextmanager

from kestreltrack.config.sender import ConfigError

# Each library by the name that is imported, with the least extra that brings it.
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


class MissingExtraError(ConfigError):
    """A library is not installed; the text says which extra brings it."""

    def __init__(self, library: str) -> None:
        """`library` is one of `BRINGS`."""
        self.library, self.extra = library, EXTRA_BY_LIBRARY[library]
        super().__init__(
            f"this needs {library}, which is not installed: pip install 'kestreltrack[{self.extra}]',"
            " or 'kestreltrack[all]' for every command"
        )


@contextmanager
def reporting_missing_extras() -> Iterator[None]:
    """Turn the lack of a library that an extra brings into `MissingExtra`; any other error passes."""
    try:
        yield
    except ModuleNotFoundError as bad:
        library = (bad.name or "").partition(".")[0]
        if library not in EXTRA_BY_LIBRARY:  # a fault of the program
            raise
        raise MissingExtraError(library) from bad
