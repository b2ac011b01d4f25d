"""The interfaces between frontends, endpoint sources, transports, notifiers and the core.

Dataclasses and protocols only.  Another frontend, endpoint source or transport implements one of these protocols and
is subject to the same decisions and invariants (`docs/design.md`).
"""

from kestreltrack.ports.clock import Clock, make_clock
from kestreltrack.ports.endpoint_source import (
    DiscoveryError,
    EndpointListUpdate,
    EndpointSource,
    ListedEndpoint,
    RefusedList,
)
from kestreltrack.ports.notifier import Notifier, StatusNotification
from kestreltrack.ports.submission import (
    Accepted,
    DeliveryService,
    InvalidMessage,
    Message,
    Rejected,
    SubmitResult,
)
from kestreltrack.ports.transport import (
    Attempt,
    AttemptResult,
    BatchCall,
    BeginAttempt,
    ConnectionUse,
    Transport,
)

__all__ = [
    "Accepted",
    "Attempt",
    "AttemptResult",
    "BatchCall",
    "BeginAttempt",
    "Clock",
    "ConnectionUse",
    "DeliveryService",
    "DiscoveryError",
    "EndpointListUpdate",
    "EndpointSource",
    "InvalidMessage",
    "ListedEndpoint",
    "Message",
    "Notifier",
    "RefusedList",
    "Rejected",
    "StatusNotification",
    "SubmitResult",
    "Transport",
    "make_clock",
]
