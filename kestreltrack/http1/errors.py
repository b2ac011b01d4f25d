"""Errors of HTTP/1.1 exchanges."""

from __future__ import annotations


class ConnectionBrokenError(Exception):
    """The connection ended, or what came is not HTTP."""


class TruncatedResponseError(ConnectionBrokenError):
    """An answer had begun, and was cut short, spoilt or never ended: who sent it was there."""
