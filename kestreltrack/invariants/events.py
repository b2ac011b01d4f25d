"""The events of a run, as one stream.

The emulator and the runs with real processes emit these events; the invariants, the scoring and the reports take
them from the stream and look at nothing else.  All times and durations are milliseconds; a destination is named by
its number, a sender by its index.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class MessageRequested:
    """A client wants a message delivered and is about to hand it in for the first time."""

    id: str
    dest: int
    cls: str
    tenant: str
    within_quota: bool
    """Whether the tenant was within its quota when it asked."""
    deadline: float
    """The clock reading by which the message must have its final answer."""


@dataclass(frozen=True, slots=True)
class MessageSubmitted:
    """A client hands a message to a sender, possibly again after a rejection."""

    id: str
    sender: int


@dataclass(frozen=True, slots=True)
class MessageAccepted:
    """A sender accepted a message and owes it one final answer."""

    id: str
    sender: int


@dataclass(frozen=True, slots=True)
class MessageRejected:
    """A sender did not accept a message."""

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
    """Calls of this sender to this destination that are in flight, this one included."""
    unhealthy: bool
    """Whether the decision module of the sender counts the destination as unhealthy."""
    zone: str = ""
    """The zone of the endpoint."""


@dataclass(frozen=True, slots=True)
class AttemptAnswered:
    """An attempt has an outcome for its sender."""

    id: str
    sender: int
    dest: int
    endpoint: str
    outcome: str
    retry_after_ms: float
    new_connection: bool
    duration_ms: float
    first_of_call: bool = True
    """Whether this is the first message of its call, where a call carries several."""
    zone_cost: float = 0.0
    """The cost of the route, where the endpoint took the message on."""


@dataclass(frozen=True, slots=True)
class MessageExecuted:
    """A destination executed a message, or dropped it as a duplicate."""

    id: str
    dest: int
    duplicate: bool
    work_ms: float


@dataclass(frozen=True, slots=True)
class FinalAnswerGiven:
    """A sender gives the final answer of a message: `delivered`, `refused` (handed back) or `failed`."""

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
    """A recovering destination was overloaded; holds the work that each sender sent in the span before."""

    dest: int
    work_ms_by_sender: dict[int, float]
    endpoints: tuple[str, ...] = ()
    """The endpoints that were overloaded, where it was not the whole destination."""


@dataclass(frozen=True, slots=True)
class SenderCrashed:
    """The process of a sender ended without a shutdown."""

    sender: int


@dataclass(frozen=True, slots=True)
class SenderStarted:
    """A sender started, with the messages that it recovered from its journal."""

    sender: int
    recovered: int


@dataclass(frozen=True, slots=True)
class FaultChanged:
    """A fault was injected or has ended."""

    kind: str
    target: str
    active: bool
    endpoints: tuple[str, ...] = ()
    """The endpoints that are affected, where the fault does not affect whole destinations."""


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
"""Receives each event with the clock reading at which it happened."""
