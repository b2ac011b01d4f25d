"""Resumes messages that an earlier process accepted and left outstanding."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import replace

from kestreltrack.decision import MessageArrived, Settings
from kestreltrack.journal import OutstandingMessage
from kestreltrack.ports import StatusNotification
from kestreltrack.sender.dispatcher import Dispatcher, PendingMessage
from kestreltrack.sender.key_order import KeyOrder
from kestreltrack.sender.message_lifecycle import MessageLifecycle, arrival_event
from kestreltrack.sender.message_tasks import MessageTasks
from kestreltrack.telemetry import Telemetry


class Recovery:
    """Resumes the delivery of outstanding messages from their last record in the journal."""

    def __init__(
        self,
        dispatcher: Dispatcher,
        settings: Settings,
        lifecycle: MessageLifecycle,
        tasks: MessageTasks,
        key_order: KeyOrder,
        telemetry: Telemetry,
    ) -> None:
        self.dispatcher = dispatcher
        self.settings = settings
        self.lifecycle = lifecycle
        self.tasks = tasks
        self.key_order = key_order
        self.telemetry = telemetry

    def recover(self, outstanding_messages: Iterable[OutstandingMessage]) -> None:
        """Resume each message in a task of its own, in the given order."""
        for outstanding in outstanding_messages:
            self.telemetry.count("delivery.recovered")
            self.tasks.start(self.resume(outstanding))

    async def resume(self, outstanding: OutstandingMessage) -> None:
        """Process one message from its last record in the journal to its final result."""
        pending = PendingMessage(self.dispatcher, outstanding.message.id)
        pending.attempt_number = outstanding.attempts
        if outstanding.pending_notification is None and outstanding.message.cls not in self.settings.classes:
            self._fail_unknown_class(outstanding)
        try:
            if outstanding.pending_notification is None:
                self.key_order.resume(outstanding)
                self.dispatcher.notify(_resumed_arrival_event(outstanding))
            else:
                self.key_order.drop(outstanding.message.id)
            await self.lifecycle.run_until_final(outstanding, pending)
        finally:
            pending.remove()

    def _fail_unknown_class(self, outstanding: OutstandingMessage) -> None:
        """Fail or hand back a message whose class was removed from the settings.

        Without the class it is unknown how the message may be delivered, and what a repeated execution would do.
        """
        self.telemetry.record_fault("delivery.unknown_class", cls=outstanding.message.cls)
        notification = StatusNotification(
            outstanding.message.id, requeue=outstanding.first_ambiguous() is None
        )
        self.lifecycle.record_pending_notification(outstanding, notification)


def _resumed_arrival_event(outstanding: OutstandingMessage) -> MessageArrived:
    """Return the event that reports a resumed message, with its history from the journal."""
    ambiguous = outstanding.first_ambiguous()
    return replace(
        arrival_event(outstanding.message),
        attempts=outstanding.attempts,
        ambiguous_since=ambiguous.at if ambiguous else None,
        ambiguous_zone=ambiguous.zone if ambiguous else "",
        accepted=True,
    )
