"""Errors of HTTP/1.1 exchanges."""

from __future__ import annotations


class HttpError(Exception):
    """Base class of the errors of this package; a connection that cannot be established is an `OSError`."""


class InvalidAddressError(HttpError, ValueError):
    """An address is not of the form ``host:port``.

    Attributes:
        address: The invalid address.
    """

    def __init__(self, address: str) -> None:
        super().__init__(f"{address!r} is not host:port")
        self.address = address


class ConnectionBrokenError(HttpError):
    """The connection ended, or the received bytes are not valid HTTP."""


class TruncatedResponseError(ConnectionBrokenError):
    """A response began, but was truncated, malformed or not completed in time; the server was reached."""
