"""The interface through which a frontend submits messages."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol


@dataclass(frozen=True, slots=True)
class Message:
    """One message as submitted by a client.

    Attributes:
        id: The client's id for the message.
        cls: The name of its class in the settings.
        dest: The number of its destination.
        expires: Its deadline in milliseconds on the `Clock`, which is still valid after a restart of the process.
        body: The content that the destination receives.
        tenant: The tenant on whose behalf it is sent.
        ordering_key: Messages with the same key are delivered in order; None if its class is not ordered.
        idempotency_key: The key by which the destination recognizes a duplicate.
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
    """The sender has taken responsibility for the message.

    Attributes:
        duplicate: Whether an earlier request had already submitted the message.
    """

    duplicate: bool = False


@dataclass(frozen=True, slots=True)
class Rejected:
    """The message is not accepted and can safely be submitted again.

    Attributes:
        retry_after_ms: How long the client is advised to wait before that; None if no interval is advised.
    """

    retry_after_ms: float | None = None


@dataclass(frozen=True, slots=True)
class InvalidMessage:
    """The message is invalid: this sender cannot deliver it.

    Attributes:
        reason: What is wrong with it, as reported to the client.
    """

    reason: str


SubmitResult = Accepted | Rejected | InvalidMessage


class DeliveryService(Protocol):
    """Accepts messages from a frontend."""

    async def submit(self, message: Message) -> SubmitResult:
        """Accept a message, or return why it was not accepted."""

    def withdraw(self, message_id: str) -> None:
        """Cancel the delivery of a message whose client disconnected before it received the reply."""
