"""Configuration errors: at startup they end the process, on a reload the previous configuration stays in effect."""

from __future__ import annotations


class ConfigError(Exception):
    """The configuration is invalid; the message names the key."""


class MissingExtraError(ConfigError):
    """An optional library is not installed; the message names the extra that installs it.

    Attributes:
        library: The import name of the library.
        extra: The extra in `pyproject.toml` that installs the library.
    """

    def __init__(self, library: str, extra: str) -> None:
        super().__init__(
            f"this needs {library}, which is not installed: pip install 'kestreltrack[{extra}]',"
            " or 'kestreltrack[all]' for every command"
        )
        self.library = library
        self.extra = extra
