"""kestreltrack: a sender that delivers outbound messages to other firms' systems."""

VERSION = "0.2.0"  # as in pyproject.toml
