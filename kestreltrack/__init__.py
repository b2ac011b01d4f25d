"""kestreltrack: a sender that delivers outbound messages to other companies' systems."""

VERSION = "0.2.0"  # Must match the version in pyproject.toml.
