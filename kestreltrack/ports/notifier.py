"""How ends that come later are reported."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol


@dataclass(frozen=True, slots=True)
class StatusNotification:
    """The end of a message that was taken on and not delivered: a requeue notice, or given up."""

    message_id: str
    requeue: bool
    retry_after_ms: float = 0.0


class Notifier(Protocol):
    """Tells the platform of ends."""

    async def notify(self, notification: StatusNotification) -> None:
        """Return once the platform has the notice, however long that takes."""
