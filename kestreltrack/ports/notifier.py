"""The interface for notifying the platform of messages that fail after they were accepted."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol


@dataclass(frozen=True, slots=True)
class StatusNotification:
    """Notifies the platform that a message was accepted but not delivered.

    Attributes:
        message_id: The id under which the client submitted the message.
        requeue: True for a negative acknowledgement, after which the message may be submitted again; false if it has
            failed permanently.
        retry_after_ms: How long to wait before submitting it again; 0 if no interval is advised.
    """

    message_id: str
    requeue: bool
    retry_after_ms: float = 0.0


class Notifier(Protocol):
    """Delivers status notifications to the platform."""

    async def notify(self, notification: StatusNotification) -> None:
        """Return once the platform has accepted the notification, however long that takes."""
