"""The lifecycle of accepted messages: attempts until a final result, notification, and the record of completion."""

from __future__ import annotations

import asyncio
from enum import StrEnum

from kestreltrack.decision import (
    FailMessage,
    Idempotency,
    MessageArrived,
    Outcome,
    RejectMessage,
    Settings,
    StartAttempt,
)
from kestreltrack.journal import EndKind, Journal, OutstandingMessage
from kestreltrack.ports import AttemptResult, Message, Notifier, StatusNotification
from kestreltrack.sender.attempt import AttemptRunner, outcome_name
from kestreltrack.sender.dispatcher import PendingMessage
from kestreltrack.sender.journal_writes import try_write
from kestreltrack.sender.shutdown_state import ShutdownState
from kestreltrack.telemetry import Telemetry

# Delay before the completion of a message is written again after the journal folder was full.
END_RECORD_RETRY_DELAY_S = 0.25


class MessageResult(StrEnum):
    """The result of a message, as the `app.results.<class>.<result>` counters name it."""

    SUCCEEDED = "succeeded"
    DECLINED = "declined"  # rejected or handed back; it was not executed
    ABORTED = "aborted"  # failed or invalid; a failed message may have been executed


class EndReason(StrEnum):
    """Why a message ended without a final result of an attempt, as the `end` log event and counters name it."""

    WITHDRAWN = "withdrawn"
    REQUEUED = "requeued"
    GIVEN_UP = "given_up"


def arrival_event(message: Message) -> MessageArrived:
    """Return the event that reports a new message to the decision module."""
    return MessageArrived(
        message.id, message.dest, message.cls, message.expires, message.ordering_key, message.tenant
    )


class MessageLifecycle:
    """Delivers accepted messages as the decision module directs, and records how they ended."""

    def __init__(
        self,
        attempts: AttemptRunner,
        settings: Settings,
        journal: Journal,
        notifier: Notifier,
        telemetry: Telemetry,
        shutdown: ShutdownState,
    ) -> None:
        self.attempts = attempts
        self.settings = settings
        self.journal = journal
        self.notifier = notifier
        self.telemetry = telemetry
        self.shutdown = shutdown

    async def run_until_final(self, outstanding: OutstandingMessage, pending: PendingMessage) -> None:
        """Process a message until it is delivered or withdrawn, or the platform is notified of its end."""
        if outstanding.pending_notification is None:
            match await self._attempt_until_final(outstanding, pending):
                case AttemptResult(outcome=outcome):
                    await self._finish_attempted(outstanding, outcome)
                    return
                case None:
                    await self._finish_withdrawn(outstanding)
                    return
                case decision:
                    self.record_pending_notification(
                        outstanding, _notification(outstanding.message.id, decision)
                    )
        pending.remove()  # the decision module has finished with the message; only the notification is left
        assert outstanding.pending_notification is not None
        await self._finish_by_notification(outstanding, outstanding.pending_notification)

    def record_pending_notification(
        self, outstanding: OutstandingMessage, notification: StatusNotification
    ) -> None:
        """Record that the message failed or is handed back, and that the platform has yet to be notified."""
        outstanding.pending_notification = notification
        try_write(self.telemetry, self.journal.record_pending_notification, notification)

    def count_result(self, message: Message, result: MessageResult) -> None:
        """Count a result by the class of the message."""
        # Clients choose the class name: counting unknown ones would let the number of counters grow without bound.
        if message.cls in self.settings.classes:
            self.telemetry.count(f"app.results.{message.cls}.{result.value}")

    async def _attempt_until_final(
        self, outstanding: OutstandingMessage, pending: PendingMessage
    ) -> AttemptResult | RejectMessage | FailMessage | None:
        """Run attempts until one has a final result or the decision module ends the message.

        Returns:
            The final result or decision, or `None` if the message was withdrawn.
        """
        while True:
            decision = await pending.next_decision()
            if not isinstance(decision, StartAttempt):
                return decision
            result = await self.attempts.run(outstanding, pending, decision)
            if result.final:
                return result

    async def _finish_attempted(self, outstanding: OutstandingMessage, outcome: Outcome) -> None:
        succeeded = outcome is Outcome.OK
        self.count_result(
            outstanding.message, MessageResult.SUCCEEDED if succeeded else MessageResult.ABORTED
        )
        await self._finish(outstanding, outcome_name(outcome))

    async def _finish_by_notification(
        self, outstanding: OutstandingMessage, notification: StatusNotification
    ) -> None:
        await self.notifier.notify(notification)
        if notification.requeue:
            self.count_result(outstanding.message, MessageResult.DECLINED)
            await self._finish(outstanding, EndReason.REQUEUED, None)
        else:
            self.count_result(outstanding.message, MessageResult.ABORTED)
            await self._finish(outstanding, EndReason.GIVEN_UP)

    async def _finish_withdrawn(self, outstanding: OutstandingMessage) -> None:
        """End a message whose client has left; it may be submitted again unless it may have been executed."""
        message_class = self.settings.classes.get(outstanding.message.cls)
        repeatable = message_class is not None and message_class.idempotency is Idempotency.IDEMPOTENT
        must_not_repeat = outstanding.first_ambiguous() is not None and not repeatable
        await self._finish(outstanding, EndReason.WITHDRAWN, EndKind.AMBIGUOUS if must_not_repeat else None)

    async def _finish(
        self, outstanding: OutstandingMessage, reason: str, kind: EndKind | None = EndKind.ANSWERED
    ) -> None:
        """Record the end of a message; `kind` says how it is remembered, if at all."""
        ended_at_ms = None if kind is None else self.attempts.dispatcher.clock()
        # Without a completion record the message would stay outstanding, and be sent again after a restart.
        while outstanding.message.id in self.journal.outstanding and not try_write(
            self.telemetry,
            self.journal.record_completed,
            outstanding,
            ended_at_ms,
            kind or EndKind.ANSWERED,
        ):
            if self.shutdown.abandoned:
                break
            await asyncio.sleep(END_RECORD_RETRY_DELAY_S)
        self.telemetry.count(f"delivery.ended.{reason}")
        self.telemetry.log("end", id=outstanding.message.id, how=reason)


def _notification(message_id: str, decision: RejectMessage | FailMessage) -> StatusNotification:
    if isinstance(decision, RejectMessage):
        return StatusNotification(message_id, True, decision.retry_after_ms)
    return StatusNotification(message_id, False, 0.0)
