"""Errors of HTTP/1.1 exchanges."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum


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


class BodyTooLargeError(ConnectionBrokenError):
    """The body of a response is larger than its reader takes, or comes in too many pieces."""


class TruncationReason(StrEnum):
    """Why a response that began was not read to its end."""

    BROKEN = "broken"  # the connection ended, or the response is malformed
    TOO_LARGE = "too large"
    TOO_SLOW = "too slow"


@dataclass(frozen=True, slots=True)
class BodyProgress:
    """How far a body had been read when the exchange was given up.

    Attributes:
        reason: Why it was given up.
        received_bytes: The size of the part that was read.
        limit_bytes: The limit on the body.
        elapsed_s: The time since the head of the response, in seconds.
    """

    reason: TruncationReason = TruncationReason.BROKEN
    received_bytes: int = 0
    limit_bytes: int = 0
    elapsed_s: float = 0.0


class TruncatedResponseError(ConnectionBrokenError):
    """A response began, but was truncated, malformed or not completed in time; the server was reached.

    Attributes:
        progress: How far its body had been read.
    """

    def __init__(self, text: str, progress: BodyProgress | None = None) -> None:
        super().__init__(text)
        self.progress = progress or BodyProgress()
