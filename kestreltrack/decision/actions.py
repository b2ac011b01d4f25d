"""The actions that the decision module returns; times are in milliseconds."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class StartAttempt:
    """Send the message to an endpoint and wait for the answer for at most `timeout_ms`."""

    id: str
    endpoint: str
    timeout_ms: float


@dataclass(frozen=True, slots=True)
class CancelAttempt:
    """Cancel an attempt in flight and stop waiting for its answer."""

    id: str
    attempt: int


@dataclass(frozen=True, slots=True)
class RejectMessage:
    """Final answer: hand the message back. The client may safely submit it again."""

    id: str
    retry_after_ms: float = 0.0


@dataclass(frozen=True, slots=True)
class FailMessage:
    """Final answer: the message has failed and may have been executed."""

    id: str


@dataclass(frozen=True, slots=True)
class SetTimer:
    """Request a `TimerExpired` event after a delay."""

    delay_ms: float
    token: int


@dataclass(frozen=True, slots=True)
class PollEndpointList:
    """Start polling service discovery for changes."""


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
