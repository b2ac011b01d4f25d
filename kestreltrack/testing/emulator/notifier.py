"""A simulated platform that receives the status notifications of a sender."""

from __future__ import annotations

from collections.abc import Callable

from kestreltrack.invariants.events import Event, FinalAnswerGiven
from kestreltrack.ports import StatusNotification


class SimulatedNotifier:
    """Accepts status notifications at once, and passes negative acknowledgements on to the client."""

    def __init__(
        self, sender: int, emit: Callable[[Event], None], on_nack: Callable[[str, float], None]
    ) -> None:
        """Create a notifier; `on_nack` is called with a message's identifier and the retry-after in milliseconds."""
        self._sender = sender
        self._emit = emit
        self._on_nack = on_nack

    async def notify(self, notification: StatusNotification) -> None:
        """Accept a notification."""
        result = "refused" if notification.requeue else "failed"
        self._emit(
            FinalAnswerGiven(notification.message_id, self._sender, result, notification.retry_after_ms)
        )
        if notification.requeue:
            self._on_nack(notification.message_id, notification.retry_after_ms)
