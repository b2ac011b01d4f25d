"""The interface through which delivery attempts are sent to endpoints."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import NamedTuple, Protocol

from kestreltrack.decision import Outcome
from kestreltrack.ports.submission import Message


class BeginAttempt(Protocol):
    """Called right before the first byte of an attempt is written, to ask whether it may start."""

    def __call__(self, *other_message_ids: str) -> bool:
        """Return whether the attempt may start.

        `other_message_ids` are the other messages in the same call: either the attempts of all may start, and are
        recorded in one write, or none.
        """


@dataclass(eq=False, slots=True)
class BatchCall:
    """One call that carries several messages, sent to one endpoint by one decision.

    Attributes:
        add_attempt: Adds an attempt to the call and returns its result.  A transport that supports batches sets it
            on the first attempt of the call; if it stays None, each attempt is a separate call.
    """

    add_attempt: Callable[[Attempt], Awaitable[AttemptResult]] | None = None


@dataclass(frozen=True, slots=True)
class Attempt:
    """One attempt to deliver a message.

    Attributes:
        message: The message.
        endpoint: The uid of the endpoint.
        address: The endpoint's address, ``host:port``.
        timeout_ms: How long the attempt may take.
        begin: Called right before the first byte is written.
        batch_call: The call shared with attempts of other messages, if any.
        strict: Whether the message must not be executed twice: then no doubtful connection may carry it.
        on_delivered: Called, possibly more than once, as soon as the response is known to be a success; the rest of
            the response may arrive later or never.
    """

    message: Message
    endpoint: str
    address: str
    timeout_ms: float
    begin: BeginAttempt
    batch_call: BatchCall | None = None
    strict: bool = False
    on_delivered: Callable[[], None] = lambda: None


class ConnectionUse(NamedTuple):
    """Which request of which connection an attempt was.

    Attributes:
        connection_id: The number of the connection in this process; 0 if there was none.
        exchange: The number of the request on the connection, from 1; 0 if none was written.
        silent_ms: For how long nothing had been received on the connection before the request; 0 if it was new.
    """

    connection_id: int = 0
    exchange: int = 0
    silent_ms: float = 0.0


@dataclass(frozen=True, slots=True)
class AttemptResult:
    """The outcome of an attempt and the details of the endpoint's response.

    Attributes:
        outcome: The outcome, as classified by the decision module.
        final: Whether the endpoint's response completes the message, with no further attempt or notification.
        retry_after_ms: The retry-after interval that the endpoint asked for; 0 if none.
        stale_connection: Whether an idle connection, opened by an earlier attempt, broke without a response.
        load_report: The load that the endpoint reports about itself, by field.
        connection: The connection that carried the attempt.
    """

    outcome: Outcome
    final: bool = False
    retry_after_ms: float = 0.0
    stale_connection: bool = False
    load_report: dict[str, float] = field(default_factory=dict)
    connection: ConnectionUse = field(default=ConnectionUse(), compare=False)


class Transport(Protocol):
    """Sends attempts to endpoints."""

    async def send(self, attempt: Attempt) -> AttemptResult:
        """Make one attempt and return its result, even if it is cancelled."""

    def close_idle(self, uid: str) -> None:
        """Close the idle connections to an endpoint."""
