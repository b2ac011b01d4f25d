"""Errors of HTTP/1.1 exchanges."""

from __future__ import annotations


class HttpError(Exception):
    """Base of the errors of this package; that no connection comes up is an `OSError`."""


class InvalidAddressError(HttpError, ValueError):
    """An address is not of the form ``host:port``."""

    def __init__(self, address: str) -> None:
        """Keep the address that was given."""
        super().__init__(f"{address!r} is not host:port")
        self.address = address


class ConnectionBrokenError(HttpError):
    """The connection ended, or what was received is not HTTP."""


class TruncatedResponseError(ConnectionBrokenError):
    """A response had begun, and was cut short, malformed or never ended: the server was reached."""
