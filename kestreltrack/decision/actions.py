"""The actions that the decision module decides on; times are milliseconds."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class StartAttempt:
    """Send the message to an endpoint, for at most `timeout_ms`."""

    id: str
    endpoint: str
    timeout_ms: float


@dataclass(frozen=True, slots=True)
class CancelAttempt:
    """Cancel an attempt in flight: stop waiting for its answer."""

    id: str
    attempt: int


@dataclass(frozen=True, slots=True)
class RejectMessage:
    """The final answer that the message is handed back: trying again is harmless."""

    id: str
    retry_after_ms: float = 0.0


@dataclass(frozen=True, slots=True)
class FailMessage:
    """The final answer that the message has failed: it may have been executed."""

    id: str


@dataclass(frozen=True, slots=True)
class SetTimer:
    """Ask for a `TimerExpired` after a delay."""

    delay_ms: float
    token: int


@dataclass(frozen=True, slots=True)
class PollEndpointList:
    """Poll service discovery for changes from now on."""


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
