"""An HTTP/1.1 client over asyncio."""

from kestreltrack.http1.address import split_address
from kestreltrack.http1.client import HttpClient, HttpResponse
from kestreltrack.http1.connection import (
    MAX_BODY_BYTES,
    BodyReceiver,
    Connection,
    ResponseHead,
    UnrequestedBytes,
)
from kestreltrack.http1.connection_reuse import (
    DEFAULT_SETTLE_TIMES,
    ConnectionReuse,
    SelectedConnection,
    SettleTimes,
    UnansweredRequest,
    is_only_late,
    possibly_silent,
)
from kestreltrack.http1.errors import (
    BodyProgress,
    ConnectionBrokenError,
    HttpError,
    InvalidAddressError,
    TruncatedResponseError,
    TruncationReason,
)

__all__ = [
    "DEFAULT_SETTLE_TIMES",
    "MAX_BODY_BYTES",
    "BodyProgress",
    "BodyReceiver",
    "Connection",
    "ConnectionBrokenError",
    "ConnectionReuse",
    "HttpClient",
    "HttpError",
    "HttpResponse",
    "InvalidAddressError",
    "ResponseHead",
    "SelectedConnection",
    "SettleTimes",
    "TruncatedResponseError",
    "TruncationReason",
    "UnansweredRequest",
    "UnrequestedBytes",
    "is_only_late",
    "possibly_silent",
    "split_address",
]
