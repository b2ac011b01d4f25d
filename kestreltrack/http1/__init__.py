"""An HTTP/1.1 client over asyncio."""

from kestreltrack.http1.address import split_address
from kestreltrack.http1.client import HttpClient, HttpResponse
from kestreltrack.http1.connection import Connection, ResponseHead
from kestreltrack.http1.errors import (
    ConnectionBrokenError,
    HttpError,
    InvalidAddressError,
    TruncatedResponseError,
)

__all__ = [
    "Connection",
    "ConnectionBrokenError",
    "HttpClient",
    "HttpError",
    "HttpResponse",
    "InvalidAddressError",
    "ResponseHead",
    "TruncatedResponseError",
    "split_address",
]
