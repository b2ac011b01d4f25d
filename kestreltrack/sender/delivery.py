"""The application core of the sender, which delivers each message in a task of its own, `Core.deliver`."""

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
from kestreltrack.journal import (
    EndKind,
    Journal,
    JournalFullError,
    OutstandingMessage,
    in_order_of_acceptance,
    sorted_by_expiry,
)
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
from kestreltrack.sender.key_order import KeyOrder
from kestreltrack.sender.message_lifecycle import MessageLifecycle, MessageResult, arrival_event
from kestreltrack.sender.message_tasks import MessageTasks
from kestreltrack.sender.recovery import Recovery
from kestreltrack.sender.retry_after_sharing import RetryAfterSharing
from kestreltrack.sender.shutdown_state import ShutdownState
from kestreltrack.telemetry import Telemetry

# A message may request the full deadline of its class; adding that to the clock rounds the sum.
CLOCK_TOLERANCE_MS = 1.0


class Core:
    """Delivers messages from their submission to their final result, as the decision module directs."""

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
        """Build the components; `jitter` returns a number in [0, 1) that spreads the polls of many senders."""
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
        self.key_order = KeyOrder(dispatcher, journal, settings)
        self.attempts = AttemptRunner(
            dispatcher,
            settings,
            journal,
            endpoint_list,
            transport,
            telemetry,
            self.retry_after,
            self.key_order,
            self.shutdown,
        )
        self.lifecycle = MessageLifecycle(
            self.attempts, settings, journal, notifier, telemetry, self.shutdown
        )
        self.recovery = Recovery(dispatcher, settings, self.lifecycle, self.tasks, self.key_order, telemetry)
        self.endpoint_updates = EndpointUpdates(
            dispatcher, settings, journal, endpoint_list, transport, telemetry, self.tasks, jitter
        )
        dispatcher.on_poll_requested = self.endpoint_updates.poll_requested.set
        dispatcher.on_close_idle = transport.close_idle

    # Submission ----------------------------------------------------------------------------------

    async def submit(self, message: Message) -> SubmitResult:
        """Start the delivery of a message, and return once it is accepted or rejected."""
        if self.shutdown.abandoned:  # this process no longer delivers messages
            return Rejected()
        submit_result: asyncio.Future[SubmitResult] = asyncio.get_running_loop().create_future()

        def ensure_result(_: object) -> None:
            # The result is missing if the task was cancelled, possibly before it ran at all and with nothing
            # recorded, or if it raised an exception.
            if not submit_result.done():
                submit_result.set_result(
                    Rejected() if self.shutdown.abandoned else InvalidMessage("internal error")
                )

        self.tasks.start(self.deliver(message, submit_result)).add_done_callback(ensure_result)
        return await submit_result

    def withdraw(self, message_id: str) -> None:
        """End the delivery of a message whose client disconnected without a reply, and cancel its attempt."""
        pending = self.dispatcher.pending_messages.get(message_id)
        if pending is not None:
            self.telemetry.count("delivery.withdrawn")
            self.dispatcher.notify(MessageWithdrawn(message_id))
            pending.withdraw()

    # Delivery ------------------------------------------------------------------------------------

    async def deliver(self, message: Message, submit_result: asyncio.Future[SubmitResult]) -> None:
        """Deliver a message, from its submission to its final result."""
        immediate_result = self._result_without_decision(message)
        if immediate_result is not None:
            submit_result.set_result(immediate_result)
            return
        pending = PendingMessage(self.dispatcher, message.id)
        try:
            place = self.key_order.add(message)
            self.dispatcher.notify(arrival_event(message))
            await self.dispatcher.wait_for_decision()
            final_decision = pending.final_decision()
            if final_decision is not None:
                submit_result.set_result(self._reject_on_arrival(message, final_decision))
                return
            outstanding = self._accept(message, place, submit_result)
            await self.lifecycle.run_until_final(outstanding, pending)
        finally:
            pending.remove()

    def _result_without_decision(self, message: Message) -> SubmitResult | None:
        """Return the result for a message that is invalid, a duplicate or over capacity; else `None`."""
        reason = self._invalid_reason(message)
        if reason is not None:
            self.lifecycle.count_result(message, MessageResult.ABORTED)
            return InvalidMessage(reason)
        repeated_result = self._result_of_repeated(message)
        if repeated_result is not None:
            self.telemetry.count("delivery.repeated_submissions")
            self.telemetry.log("repeated", id=message.id, result=type(repeated_result).__name__.lower())
            return repeated_result
        if message.id in self.dispatcher.pending_messages:
            self.lifecycle.count_result(message, MessageResult.ABORTED)
            return InvalidMessage("this id is being handed in")
        if self.endpoint_list.omits_destination(message.dest):
            self.telemetry.count("delivery.destination_omitted")
            self.endpoint_updates.miss_destination(message.dest)
            self.lifecycle.count_result(message, MessageResult.DECLINED)
            return Rejected()
        if not self._has_capacity_for(message):
            self.telemetry.count("delivery.queue_full")
            self.lifecycle.count_result(message, MessageResult.DECLINED)
            return Rejected()
        return None

    def _result_of_repeated(self, message: Message) -> SubmitResult | None:
        """Return the result for a message that this sender, in whatever process, has accepted before; else `None`."""
        pending = self.dispatcher.pending_messages.get(message.id)
        if pending is not None and pending.withdrawn:
            return InvalidMessage("its client left, and it is being withdrawn")
        if message.id in self.journal.outstanding or self.journal.is_outstanding_elsewhere(message.id):
            return Accepted(duplicate=True)
        match self.journal.find_end(message.id, self.dispatcher.clock()):
            case EndKind.ANSWERED:
                return Accepted(duplicate=True)
            case EndKind.AMBIGUOUS:
                return InvalidMessage("its client left, and it may have been executed")
            case None:
                return None

    def _invalid_reason(self, message: Message) -> str | None:
        """Return why no sender with these settings could deliver the message, or `None` if it is valid."""
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
        """Return the result for a message that the decision module rejected or failed on arrival."""
        self.telemetry.count("delivery.rejected")
        if isinstance(decision, RejectMessage):
            self.lifecycle.count_result(message, MessageResult.DECLINED)
            return Rejected(decision.retry_after_ms)
        self.lifecycle.count_result(message, MessageResult.ABORTED)
        return Rejected(None)

    def _accept(
        self, message: Message, place: float, submit_result: asyncio.Future[SubmitResult]
    ) -> OutstandingMessage:
        """Record the message and accept it; withdraw and reject it if the journal has no room for the record."""
        try:
            outstanding = self.journal.record_accepted(message, place)
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
        """Resume messages that an earlier process left outstanding; by default all those in the journal.

        Those of the journal are resumed in order of expiry, because the decision module serves messages in the order
        of their arrival events.
        """
        if outstanding_messages is None:
            outstanding_messages = sorted_by_expiry(in_order_of_acceptance(self.journal.outstanding.values()))
        self.recovery.recover(outstanding_messages)

    # Discovery and sender count ------------------------------------------------------------------

    async def follow_source(self, source: EndpointSource) -> None:
        """Apply the updates of `source` to the endpoint list; runs until it is cancelled."""
        await self.endpoint_updates.follow(source)

    def poll_now(self) -> None:
        """Poll the source of the endpoint list at once, because its address has changed."""
        self.endpoint_updates.poll_now()

    def set_sender_count(self, sender_count: int) -> None:
        """Notify the decision module of the number of senders that share the limit of each destination."""
        self.dispatcher.notify(SenderCountChanged(sender_count))

    # Shutdown ------------------------------------------------------------------------------------

    def start_shutdown(self, deadline_ms: float) -> None:
        """Begin the shutdown: attempts have to end by `deadline_ms`, and none begins from then on."""
        self.shutdown.begin(deadline_ms)
        self.dispatcher.notify(ShutdownStarted(deadline_ms))

    def is_idle(self) -> bool:
        """Return whether no attempt is in flight."""
        return all(pending.attempt_task is None for pending in self.dispatcher.pending_messages.values())

    async def abandon(self) -> None:
        """Cancel all deliveries; the journal keeps the outstanding messages for the next process."""
        self.shutdown.abandon()
        self.dispatcher.close()
        await self.tasks.cancel_all()
