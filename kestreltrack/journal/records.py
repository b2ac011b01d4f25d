"""Records of the journal, as types: messages with their attempts, their ends, and the endpoint list.  No I/O."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from kestreltrack.decision import Outcome
from kestreltrack.ports import EndpointListUpdate, Message, StatusNotification


@dataclass(slots=True)
class AttemptStart:
    """When (in milliseconds, on the sender's clock) and in which zone an attempt began."""

    at: float
    zone: str


@dataclass(slots=True)
class OutstandingMessage:
    """An accepted message whose lifecycle has not ended, with its history."""

    message: Message
    attempts: int = 0
    # The attempt that has no outcome yet.
    in_flight: AttemptStart | None = None
    # The first attempt whose outcome is ambiguous: it may have executed.
    ambiguous: AttemptStart | None = None
    # The end is decided, and the platform is still to be notified of it.
    owed_notification: StatusNotification | None = None
    # Bytes of the file that are set aside for all records of this message.
    reserved_bytes: int = 0

    def first_ambiguous(self) -> AttemptStart | None:
        """Return the first attempt that may have executed, also where it is still in flight."""
        return self.ambiguous or self.in_flight

    def start_attempt(self, start: AttemptStart) -> None:
        """Note that an attempt has begun."""
        self.attempts += 1
        # One that was in flight when a process died has no outcome, and stays the first that may have executed.
        if self.ambiguous is None:
            self.ambiguous = self.in_flight
        self.in_flight = start

    def end_attempt(self, outcome: Outcome) -> None:
        """Note the outcome of the attempt in flight."""
        if self.ambiguous is None and outcome.may_have_executed():
            self.ambiguous = self.in_flight
        self.in_flight = None


@dataclass(slots=True)
class AttemptStarted:
    """An attempt of a message begins: written before its first byte is sent."""

    message_id: str
    start: AttemptStart


@dataclass(slots=True)
class AttemptEnded:
    """The attempt of a message that was in flight has an outcome."""

    message_id: str
    outcome: Outcome


@dataclass(slots=True)
class MessageCompleted:
    """The lifecycle of a message has ended, and nothing more is owed."""

    message_id: str


@dataclass(slots=True)
class OrderReversed:
    """The messages of this file are in reverse order: the one accepted last comes first."""


# An `OutstandingMessage` is a message with its history so far, a `StatusNotification` one that is owed.
Record = (
    OutstandingMessage
    | AttemptStarted
    | AttemptEnded
    | StatusNotification
    | MessageCompleted
    | EndpointListUpdate
    | OrderReversed
)


def sorted_by_expiry(outstanding: Iterable[OutstandingMessage]) -> list[OutstandingMessage]:
    """Sort messages by expiry, given in the order of acceptance, which those of one ordering key keep."""
    messages = list(outstanding)
    sort_keys = [entry.message.expires for entry in messages]
    earliest_by_ordering_key = dict[int, float]()
    # From the last to the first: a message goes no later than any of its key that was accepted after it.
    for position in range(len(messages) - 1, -1, -1):
        ordering_key = messages[position].message.ordering_key
        if ordering_key is not None:
            expires = sort_keys[position]
            earliest = min(expires, earliest_by_ordering_key.get(ordering_key, expires))
            sort_keys[position] = earliest
            earliest_by_ordering_key[ordering_key] = earliest
    return [messages[position] for position in sorted(range(len(messages)), key=sort_keys.__getitem__)]
