"""How the ends of messages are reported that come after the client's request was answered."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol


@dataclass(frozen=True, slots=True)
class StatusNotification:
    """The end of a message that was accepted and not delivered.

    Attributes:
        message_id: The id under which the client handed the message in.
        requeue: True for a negative acknowledgement, after which the message may be handed in again; false where
            it has failed for good.
        retry_after_ms: How long to wait before it is handed in again; 0 where no time is advised.
    """

    message_id: str
    requeue: bool
    retry_after_ms: float = 0.0


class Notifier(Protocol):
    """Delivers status notifications to the platform."""

    async def notify(self, notification: StatusNotification) -> None:
        """Return once the platform has the notification, however long that takes."""
