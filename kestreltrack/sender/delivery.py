"""Delivery of messages: one task each, `Core.deliver`, that reads from top to bottom."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable

from kestreltrack.decision import (
    FailMessage,
    MessageWithdrawn,
    RejectMessage,
    SenderCountChanged,
    Settings,
    ShutdownStarted,
)
from kestreltrack.discovery import EndpointList
from kestreltrack.journal import Journal, JournalFullError, OutstandingMessage, sorted_by_expiry
from kestreltrack.ports import (
    Accepted,
    EndpointSource,
    InvalidMessage,
    Message,
    Notifier,
    Rejected,
    SubmitResult,
    Transport,
)
from kestreltrack.sender.attempt import AttemptRunner
from kestreltrack.sender.dispatcher import Dispatcher, PendingMessage
from kestreltrack.sender.endpoint_updates import EndpointUpdates
from kestreltrack.sender.message_lifecycle import MessageLifecycle, MessageResult, arrival_event
from kestreltrack.sender.message_tasks import MessageTasks
from kestreltrack.sender.recovery import Recovery
from kestreltrack.sender.retry_after_sharing import RetryAfterSharing
from kestreltrack.sender.shutdown_state import ShutdownState
from kestreltrack.telemetry import Telemetry

# A message may ask for the full deadline of its class, which loses its last bits when it is added to the clock.
CLOCK_TOLERANCE_MS = 1.0


class Core:
    """Carries messages from their submission to their ends; the decision module decides at each point of choice."""

    def __init__(
        self,
        dispatcher: Dispatcher,
        settings: Settings,
        journal: Journal,
        endpoint_list: EndpointList,
        transport: Transport,
        notifier: Notifier,
        telemetry: Telemetry,
        jitter: Callable[[], float] = random.random,
    ) -> None:
        """Wire the parts together; `jitter` spreads what many senders would do at the same moment."""
        self.dispatcher = dispatcher
        self.settings = settings
        self.journal = journal
        self.endpoint_list = endpoint_list
        self.transport = transport
        self.notifier = notifier
        self.telemetry = telemetry
        self.shutdown = ShutdownState()
        self.tasks = MessageTasks(telemetry)
        self.retry_after = RetryAfterSharing(dispatcher, telemetry)
        self.attempts = AttemptRunner(
            dispatcher,
            settings,
            journal,
            endpoint_list,
            transport,
            telemetry,
            self.retry_after,
            self.shutdown,
        )
        self.lifecycle = MessageLifecycle(
            self.attempts, settings, journal, notifier, telemetry, self.shutdown
        )
        self.recovery = Recovery(dispatcher, settings, self.lifecycle, self.tasks, telemetry)
        self.endpoint_updates = EndpointUpdates(
            dispatcher, settings, journal, endpoint_list, transport, telemetry, self.tasks, jitter
        )
        dispatcher.on_poll_requested = self.endpoint_updates.poll_requested.set
        dispatcher.on_close_idle = transport.close_idle

    # Submission ----------------------------------------------------------------------------------

    async def submit(self, message: Message) -> SubmitResult:
        """Start the delivery of a message, and return once it is accepted or rejected."""
        if self.shutdown.abandoned:  # nobody would carry it to its end
            return Rejected()
        submit_result: asyncio.Future[SubmitResult] = asyncio.get_running_loop().create_future()

        def ensure_answered(_: object) -> None:
            # Without an answer the task was cancelled, perhaps before its first step and with nothing recorded, or
            # it ended by a fault.
            if not submit_result.done():
                submit_result.set_result(
                    Rejected() if self.shutdown.abandoned else InvalidMessage("internal error")
                )

        self.tasks.start(self.deliver(message, submit_result)).add_done_callback(ensure_answered)
        return await submit_result

    def withdraw(self, message_id: str) -> None:
        """End a message whose client has left without an answer, and cancel its attempt in flight."""
        pending = self.dispatcher.pending_messages.get(message_id)
        if pending is not None:
            self.telemetry.count("delivery.withdrawn")
            self.dispatcher.notify(MessageWithdrawn(message_id))
            pending.withdraw()

    # Delivery ------------------------------------------------------------------------------------

    async def deliver(self, message: Message, submit_result: asyncio.Future[SubmitResult]) -> None:
        """Carry a message from its submission to its end."""
        immediate_result = self._answer_without_decision(message)
        if immediate_result is not None:
            submit_result.set_result(immediate_result)
            return
        pending = PendingMessage(self.dispatcher, message.id)
        try:
            self.dispatcher.notify(arrival_event(message))
            await self.dispatcher.wait_for_decision()
            final_decision = pending.final_decision()
            if final_decision is not None:
                submit_result.set_result(self._reject_on_arrival(message, final_decision))
                return
            outstanding = self._accept(message, submit_result)
            await self.lifecycle.run_until_final(outstanding, pending)
        finally:
            pending.remove()

    def _answer_without_decision(self, message: Message) -> SubmitResult | None:
        """Return the answer to a message that the decision module need not see; `None` where it must."""
        reason = self._invalid_reason(message)
        if reason is not None:
            self.lifecycle.count_result(message, MessageResult.ABORTED)
            return InvalidMessage(reason)
        if message.id in self.journal.outstanding:
            return Accepted(duplicate=True)
        if message.id in self.dispatcher.pending_messages:
            self.lifecycle.count_result(message, MessageResult.ABORTED)
            return InvalidMessage("this id is being handed in")
        if not self._has_capacity_for(message):
            self.telemetry.count("delivery.queue_full")
            self.lifecycle.count_result(message, MessageResult.DECLINED)
            return Rejected()
        return None

    def _invalid_reason(self, message: Message) -> str | None:
        """Return why no sender with these settings could deliver the message; `None` for a valid one."""
        message_class = self.settings.classes.get(message.cls)
        if message_class is None:
            return "unknown class"
        if message.expires - self.dispatcher.clock() > message_class.deadline_ms + CLOCK_TOLERANCE_MS:
            return "d is beyond the deadline of its class"
        if self.endpoint_list.is_unknown_destination(message.dest):
            return "unknown destination"
        return None

    def _has_capacity_for(self, message: Message) -> bool:
        queue_has_room = len(self.dispatcher.pending_messages) < self.settings.queue_capacity
        return queue_has_room and self.journal.has_capacity_for(message)

    def _reject_on_arrival(self, message: Message, decision: RejectMessage | FailMessage) -> Rejected:
        """Return the answer to a message that the decision module gave up in the step of its arrival."""
        self.telemetry.count("delivery.rejected")
        if isinstance(decision, RejectMessage):
            self.lifecycle.count_result(message, MessageResult.DECLINED)
            return Rejected(decision.retry_after_ms)
        self.lifecycle.count_result(message, MessageResult.ABORTED)
        return Rejected(None)

    def _accept(self, message: Message, submit_result: asyncio.Future[SubmitResult]) -> OutstandingMessage:
        """Record the message and answer its client; where there is no room for the record it is withdrawn."""
        try:
            outstanding = self.journal.record_accepted(message)
        except JournalFullError as error:
            self.telemetry.record_fault("journal.full", error=str(error))
            self.lifecycle.count_result(message, MessageResult.DECLINED)
            submit_result.set_result(Rejected())
            self.withdraw(message.id)
            return OutstandingMessage(message)
        self.telemetry.count("delivery.accepted")
        submit_result.set_result(Accepted())
        return outstanding

    # Recovery ------------------------------------------------------------------------------------

    def recover(self, outstanding_messages: list[OutstandingMessage] | None = None) -> None:
        """Resume the messages that an earlier process left: those given, or else all that the journal holds.

        All that the journal holds go in the order of their expiry: the decision module serves first what it learns
        of first.
        """
        if outstanding_messages is None:
            outstanding_messages = sorted_by_expiry(self.journal.outstanding.values())
        self.recovery.recover(outstanding_messages)

    # Discovery and other senders -----------------------------------------------------------------

    async def follow_source(self, source: EndpointSource) -> None:
        """Follow the endpoint list of `source` without end."""
        await self.endpoint_updates.follow(source)

    def poll_now(self) -> None:
        """Poll the source of the endpoint list at once: it has moved to another address."""
        self.endpoint_updates.poll_now()

    def set_sender_count(self, sender_count: int) -> None:
        """Notify the decision module of the number of senders that share each destination's limit."""
        self.dispatcher.notify(SenderCountChanged(sender_count))

    # Shutdown ------------------------------------------------------------------------------------

    def start_shutdown(self, deadline_ms: float) -> None:
        """Notify the decision module that attempts have to end by `deadline_ms`; none begins after that."""
        self.shutdown.begin(deadline_ms)
        self.dispatcher.notify(ShutdownStarted(deadline_ms))

    def is_idle(self) -> bool:
        """Return whether no attempt is in flight."""
        return all(pending.attempt_task is None for pending in self.dispatcher.pending_messages.values())

    async def abandon(self) -> None:
        """Cancel the attempts in flight and leave all messages as they are then; the journal has them."""
        self.shutdown.abandon()
        self.dispatcher.close()
        await self.tasks.cancel_all()
