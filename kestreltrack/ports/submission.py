"""How a front end hands messages in."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol


@dataclass(frozen=True, slots=True)
class Message:
    """One message as it was handed in; `expires` is on the clock, which outlives the process."""

    id: str
    cls: str
    dest: int
    expires: float
    body: bytes = b""
    tenant: str | None = None
    ordering_key: int | None = None
    idempotency_key: str | None = None


@dataclass(frozen=True, slots=True)
class Accepted:
    """The sender owes the message its end; `before` where an earlier request had handed it in."""

    duplicate: bool = False


@dataclass(frozen=True, slots=True)
class Rejected:
    """Not taken on; handing it in again is harmless, after `wait_ms` where that is told."""

    retry_after_ms: float | None = None


@dataclass(frozen=True, slots=True)
class InvalidMessage:
    """Not a message that this sender can serve."""

    reason: str


SubmitResult = Accepted | Rejected | InvalidMessage


class DeliveryService(Protocol):
    """Where a front hands in messages."""

    async def submit(self, message: Message) -> SubmitResult:
        """Take a message on, or say why not."""

    def withdraw(self, message_id: str) -> None:
        """The submitter left unanswered: the message is nobody's any more."""
