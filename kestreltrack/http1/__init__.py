"""HTTP/1.1 as a client over asyncio."""

from kestreltrack.http1.address import split_address
from kestreltrack.http1.client import HttpClient
from kestreltrack.http1.connection import Connection, ResponseHead
from kestreltrack.http1.errors import ConnectionBrokenError, TruncatedResponseError

__all__ = [
    "Connection",
    "ConnectionBrokenError",
    "HttpClient",
    "ResponseHead",
    "TruncatedResponseError",
    "split_address",
]
