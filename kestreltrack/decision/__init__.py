"""The decisions of the sender: `Policy` makes them; settings, events and actions are its interface.

`docs/design.md` describes the decisions.
"""

from kestreltrack.decision.actions import (
    Action,
    CancelAttempt,
    CloseIdleConnections,
    FailMessage,
    PollEndpointList,
    RejectMessage,
    SetTimer,
    StartAttempt,
)
from kestreltrack.decision.events import (
    AttemptEnded,
    DiscoveryFailed,
    ElsewhereProgress,
    EndpointEntry,
    EndpointLifecycle,
    EndpointsUpdated,
    Event,
    HealthReported,
    MessageArrived,
    MessageWithdrawn,
    OrderedElsewhere,
    QuotaLeased,
    RetryAfterReceived,
    SenderCountChanged,
    ShutdownStarted,
    TimerExpired,
)
from kestreltrack.decision.outcomes import Outcome
from kestreltrack.decision.policy import Policy
from kestreltrack.decision.settings import (
    ClassSettings,
    DeduplicationScope,
    Idempotency,
    KindSettings,
    PriorityDecay,
    RateAccuracy,
    SafetyLimits,
    Settings,
)

__all__ = [
    "Action",
    "AttemptEnded",
    "CancelAttempt",
    "ClassSettings",
    "CloseIdleConnections",
    "DeduplicationScope",
    "DiscoveryFailed",
    "ElsewhereProgress",
    "EndpointEntry",
    "EndpointLifecycle",
    "EndpointsUpdated",
    "Event",
    "FailMessage",
    "HealthReported",
    "Idempotency",
    "KindSettings",
    "MessageArrived",
    "MessageWithdrawn",
    "OrderedElsewhere",
    "Outcome",
    "Policy",
    "PollEndpointList",
    "PriorityDecay",
    "QuotaLeased",
    "RateAccuracy",
    "RejectMessage",
    "RetryAfterReceived",
    "SafetyLimits",
    "SenderCountChanged",
    "SetTimer",
    "Settings",
    "ShutdownStarted",
    "StartAttempt",
    "TimerExpired",
]
