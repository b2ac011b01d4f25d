"""Record types of the journal: messages, their attempts and outcomes, and the endpoint list.  No I/O."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from kestreltrack.decision import Outcome
from kestreltrack.journal.ended_messages import EndKind
from kestreltrack.ports import EndpointListUpdate, Message, StatusNotification


@dataclass(slots=True)
class AttemptStart:
    """When an attempt started (in milliseconds on the sender's clock), and the zone of its endpoint."""

    at: float
    zone: str


@dataclass(slots=True)
class OutstandingMessage:
    """An accepted message whose lifecycle has not ended, with its history."""

    message: Message
    attempts: int = 0
    # The attempt without an outcome so far.
    in_flight: AttemptStart | None = None
    # The first attempt with an ambiguous outcome: the endpoint may have executed it.
    ambiguous: AttemptStart | None = None
    # Set once it is decided how the message ends, until the platform has been notified.
    pending_notification: StatusNotification | None = None
    # Bytes of the file reserved for all records of this message.
    reserved_bytes: int = 0
    # For a message with an ordering key: its place among all messages of the key, in milliseconds on the sender's
    # clock, which no other message of this process has.
    accepted_at: float = 0.0

    def first_ambiguous(self) -> AttemptStart | None:
        """Return the first attempt that may have executed, including one in flight."""
        return self.ambiguous or self.in_flight

    def start_attempt(self, start: AttemptStart) -> None:
        """Apply the start of an attempt."""
        self.attempts += 1
        # An attempt that was in flight when a process crashed never gets an outcome.  It may have executed, and stays
        # the first ambiguous one.
        if self.ambiguous is None:
            self.ambiguous = self.in_flight
        self.in_flight = start

    def end_attempt(self, outcome: Outcome) -> None:
        """Apply the outcome of the attempt in flight."""
        if self.ambiguous is None and outcome.may_have_executed():
            self.ambiguous = self.in_flight
        self.in_flight = None


@dataclass(slots=True)
class AttemptStarted:
    """An attempt starts; recorded before its first byte is sent."""

    message_id: str
    start: AttemptStart


@dataclass(slots=True)
class AttemptEnded:
    """The attempt in flight has an outcome."""

    message_id: str
    outcome: Outcome


@dataclass(slots=True)
class MessageCompleted:
    """The lifecycle of a message has ended: no attempt or notification is pending.

    Attributes:
        message_id: The id of the message.
        ended_at: When it ended, in milliseconds on the sender's clock; `None` if it may be submitted again.
        kind: How it ended.
    """

    message_id: str
    ended_at: float | None = None
    kind: EndKind = EndKind.ANSWERED


@dataclass(slots=True)
class EndedIds:
    """Messages that ended before the file was written: their ids, the times in milliseconds, and the kinds."""

    ends: list[tuple[str, float, EndKind]]


@dataclass(slots=True)
class OrderReversed:
    """The messages in this file are in reverse order: within an ordering key, the last accepted comes first."""


# `OutstandingMessage` records a message with its history so far, `StatusNotification` a pending notification.
Record = (
    OutstandingMessage
    | AttemptStarted
    | AttemptEnded
    | StatusNotification
    | MessageCompleted
    | EndedIds
    | EndpointListUpdate
    | OrderReversed
)


def in_order_of_acceptance(outstanding: Iterable[OutstandingMessage]) -> list[OutstandingMessage]:
    """Sort messages of several files so that those with an ordering key have the order of their acceptance."""
    return sorted(outstanding, key=lambda entry: entry.accepted_at)


def sorted_by_expiry(outstanding: Iterable[OutstandingMessage]) -> list[OutstandingMessage]:
    """Sort messages by expiry.

    `outstanding` is in order of acceptance; messages with the same ordering key keep that order.
    """
    messages = list(outstanding)
    sort_keys = [entry.message.expires for entry in messages]
    earliest_by_ordering_key = dict[int, float]()
    # Walk backwards: a message sorts no later than any message with its ordering key that was accepted after it.
    for position in range(len(messages) - 1, -1, -1):
        ordering_key = messages[position].message.ordering_key
        if ordering_key is not None:
            expires = sort_keys[position]
            earliest = min(expires, earliest_by_ordering_key.get(ordering_key, expires))
            sort_keys[position] = earliest
            earliest_by_ordering_key[ordering_key] = earliest
    return [messages[position] for position in sorted(range(len(messages)), key=sort_keys.__getitem__)]
