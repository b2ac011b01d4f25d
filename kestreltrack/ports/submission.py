"""How a frontend hands messages in."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol


@dataclass(frozen=True, slots=True)
class Message:
    """One message as a client handed it in.

    Attributes:
        id: The client's id of the message.
        cls: The name of its class in the settings.
        dest: The number of its destination.
        expires: Its deadline, in milliseconds of the `Clock`, which outlives the process.
        body: What the destination receives.
        tenant: On whose behalf it is sent.
        ordering_key: Messages with the same key are delivered in order; None where its class has no order.
        idempotency_key: By which the destination recognizes a repetition.
    """

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
    """The sender is answerable for the message from here on.

    Attributes:
        duplicate: Whether an earlier request had already handed the message in.
    """

    duplicate: bool = False


@dataclass(frozen=True, slots=True)
class Rejected:
    """The message is not accepted; to hand it in again does no harm.

    Attributes:
        retry_after_ms: How long the client is advised to wait before that; None where no time is advised.
    """

    retry_after_ms: float | None = None


@dataclass(frozen=True, slots=True)
class InvalidMessage:
    """The message is not one that this sender can deliver.

    Attributes:
        reason: What is wrong with it, for the client.
    """

    reason: str


SubmitResult = Accepted | Rejected | InvalidMessage


class DeliveryService(Protocol):
    """Accepts messages from a frontend."""

    async def submit(self, message: Message) -> SubmitResult:
        """Accept a message, or return why it is not accepted."""

    def withdraw(self, message_id: str) -> None:
        """End the delivery of a message whose client disconnected before it received the reply."""
