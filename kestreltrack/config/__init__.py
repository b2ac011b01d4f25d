"""Reads, checks and defaults all configuration; an error names the faulty key."""

from kestreltrack.config.errors import ConfigError, MissingExtraError

__all__ = ["ConfigError", "MissingExtraError"]
