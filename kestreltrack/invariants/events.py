"""What happens in a world, as one stream: rules, worth and pictures listen to it, and to nothing else."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class MessageRequested:
    """A client wants a message delivered: its first try."""

    id: str
    dest: int
    cls: str
    tenant: str
    within_quota: bool
    deadline: float


@dataclass(frozen=True, slots=True)
class MessageSubmitted:
    """One try of a client reaches a sender."""

    id: str
    sender: int


@dataclass(frozen=True, slots=True)
class MessageAccepted:
    """A sender said yes: it owes the message its end."""

    id: str
    sender: int


@dataclass(frozen=True, slots=True)
class MessageRejected:
    """A sender said no."""

    id: str
    sender: int
    retry_after_ms: float


@dataclass(frozen=True, slots=True)
class AttemptStarted:
    """The first byte of a claim leaves."""

    id: str
    sender: int
    dest: int
    endpoint: str
    number: int
    in_flight: int
    """Calls of this sender to this destination that are out, with this one."""
    unhealthy: bool
    """Whether the sender's module counts the destination as sick."""
    zone: str = ""
    """Of the endpoint."""


@dataclass(frozen=True, slots=True)
class AttemptAnswered:
    """An attempt is over for its sender."""

    id: str
    sender: int
    dest: int
    endpoint: str
    outcome: str
    retry_after_ms: float
    new_connection: bool
    duration_ms: float
    first_of_call: bool = True
    """Of its call, where that has many messages."""
    zone_cost: float = 0.0
    """Of the route, where it took the message on."""


@dataclass(frozen=True, slots=True)
class MessageExecuted:
    """A message took effect at a partner, or a repeat of it was dropped there."""

    id: str
    dest: int
    duplicate: bool
    work_ms: float


@dataclass(frozen=True, slots=True)
class FinalAnswerGiven:
    """The end that a sender gives: `delivered`, `refused` (handed back) or `failed`."""

    id: str
    sender: int
    result: str
    retry_after_ms: float = 0.0


@dataclass(frozen=True, slots=True)
class EndpointStateLearned:
    """A sender learns that an endpoint is up, drains or is removed."""

    sender: int
    endpoint: str
    lifecycle: str


@dataclass(frozen=True, slots=True)
class DestinationOverloaded:
    """A returning partner was pushed over; the work of each sender in the span before."""

    dest: int
    work_ms_by_sender: dict[int, float]
    endpoints: tuple[str, ...] = ()
    """Where only these fell."""


@dataclass(frozen=True, slots=True)
class SenderCrashed:
    """A sender's process ends without a word."""

    sender: int


@dataclass(frozen=True, slots=True)
class SenderStarted:
    """One begins, with the messages that its journal holds."""

    sender: int
    recovered: int


@dataclass(frozen=True, slots=True)
class FaultChanged:
    """Something goes wrong, or is over."""

    kind: str
    target: str
    active: bool
    endpoints: tuple[str, ...] = ()
    """Where it is with these and not with all of the partners."""


Event = (
    MessageRequested
    | MessageSubmitted
    | MessageAccepted
    | MessageRejected
    | AttemptStarted
    | AttemptAnswered
    | MessageExecuted
    | FinalAnswerGiven
    | EndpointStateLearned
    | DestinationOverloaded
    | SenderCrashed
    | SenderStarted
    | FaultChanged
)
Listener = Callable[[float, Event], None]
