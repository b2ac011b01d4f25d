"""The errors of the configuration: each ends a start, or leaves a reload without effect."""

from __future__ import annotations


class ConfigError(Exception):
    """The configuration cannot be used; the text names the key at fault."""


class MissingExtraError(ConfigError):
    """A library is not installed; the text says which extra brings it.

    Attributes:
        library: The name under which the library is imported.
        extra: The extra of `pyproject.toml` that brings the library.
    """

    def __init__(self, library: str, extra: str) -> None:
        super().__init__(
            f"this needs {library}, which is not installed: pip install 'kestreltrack[{extra}]',"
            " or 'kestreltrack[all]' for every command"
        )
        self.library = library
        self.extra = extra
