"""Loads and validates the configuration and applies defaults; an error names the invalid key."""

from kestreltrack.config.errors import ConfigError, MissingExtraError

__all__ = ["ConfigError", "MissingExtraError"]
