"""What the decision module orders."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class StartAttempt:
    """Call an endpoint with the message."""

    id: str
    endpoint: str
    timeout_ms: float


@dataclass(frozen=True, slots=True)
class CancelAttempt:
    """Stop waiting for one attempt."""

    id: str
    attempt: int


@dataclass(frozen=True, slots=True)
class RejectMessage:
    """Final answer: handed back; trying again is harmless."""

    id: str
    retry_after_ms: float = 0.0


@dataclass(frozen=True, slots=True)
class FailMessage:
    """Final answer: failed, with no promise."""

    id: str


@dataclass(frozen=True, slots=True)
class SetTimer:
    """Ask for a ``TimerDue`` after so many milliseconds."""

    delay_ms: float
    token: int


@dataclass(frozen=True, slots=True)
class PollEndpointList:
    """Ask the directory for changes from now on."""


@dataclass(frozen=True, slots=True)
class CloseIdleConnections:
    """Close the idle connections to an endpoint."""

    endpoint: str


Action = (
    StartAttempt
    | CancelAttempt
    | RejectMessage
    | FailMessage
    | SetTimer
    | PollEndpointList
    | CloseIdleConnections
)
