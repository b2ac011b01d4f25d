"""The event stream of a run.

The emulator and the scenario runs with real processes emit these events; the invariants, the scoring and the reports
have no other input.  All clock readings and durations are milliseconds; a destination is identified by its number, a
sender by its index.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class MessageRequested:
    """A client is about to submit a new message."""

    id: str
    dest: int
    cls: str
    tenant: str
    within_quota: bool
    """Whether the tenant was within its quota at that time."""
    deadline: float
    """The clock reading by which the message must have its final answer."""


@dataclass(frozen=True, slots=True)
class MessageSubmitted:
    """A client submits a message to a sender, possibly again after a rejection."""

    id: str
    sender: int


@dataclass(frozen=True, slots=True)
class MessageAccepted:
    """A sender accepted a message and must give exactly one final answer to it."""

    id: str
    sender: int


@dataclass(frozen=True, slots=True)
class MessageRejected:
    """A sender rejected a message that a client submitted."""

    id: str
    sender: int
    retry_after_ms: float


@dataclass(frozen=True, slots=True)
class AttemptStarted:
    """The first byte of an attempt leaves the sender."""

    id: str
    sender: int
    dest: int
    endpoint: str
    number: int
    in_flight: int
    """The number of calls in flight from this sender to this destination, including this one."""
    unhealthy: bool
    """Whether the decision module of the sender considers the destination unhealthy."""
    zone: str = ""
    """The zone of the endpoint."""


@dataclass(frozen=True, slots=True)
class AttemptAnswered:
    """A sender received or determined the outcome of an attempt."""

    id: str
    sender: int
    dest: int
    endpoint: str
    outcome: str
    retry_after_ms: float
    new_connection: bool
    duration_ms: float
    first_of_call: bool = True
    """Whether this is the first message of its call; a call can carry several."""
    zone_cost: float = 0.0
    """The cost of the route, if the endpoint accepted the message."""


@dataclass(frozen=True, slots=True)
class MessageExecuted:
    """A destination executed a message, or dropped it as a duplicate."""

    id: str
    dest: int
    duplicate: bool
    work_ms: float


@dataclass(frozen=True, slots=True)
class FinalAnswerGiven:
    """A sender gives the final answer to a message: `delivered`, `refused` (handed back) or `failed`."""

    id: str
    sender: int
    result: str
    retry_after_ms: float = 0.0


@dataclass(frozen=True, slots=True)
class EndpointStateLearned:
    """A sender learns that an endpoint is up, draining or removed."""

    sender: int
    endpoint: str
    lifecycle: str


@dataclass(frozen=True, slots=True)
class DestinationOverloaded:
    """A recovering destination was overloaded; contains the work that each sender sent in the period before."""

    dest: int
    work_ms_by_sender: dict[int, float]
    endpoints: tuple[str, ...] = ()
    """The overloaded endpoints, or none if the complete destination was overloaded."""


@dataclass(frozen=True, slots=True)
class SenderCrashed:
    """The process of a sender ended without an orderly shutdown."""

    sender: int


@dataclass(frozen=True, slots=True)
class SenderStarted:
    """A sender started, with the messages that it recovered from its journal."""

    sender: int
    recovered: int


@dataclass(frozen=True, slots=True)
class FaultChanged:
    """A fault began or ended."""

    kind: str
    target: str
    active: bool
    endpoints: tuple[str, ...] = ()
    """The affected endpoints, or none if the fault affects complete destinations."""


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
"""Receives the clock reading of each event, and the event."""
