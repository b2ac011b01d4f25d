"""Runs single delivery attempts, from the decision to start one to the record of its outcome."""

from __future__ import annotations

import asyncio
from collections.abc import Iterable
from dataclasses import dataclass
from functools import partial

from kestreltrack.decision import (
    AttemptEnded,
    Idempotency,
    Outcome,
    RetryAfterReceived,
    Settings,
    StartAttempt,
)
from kestreltrack.discovery import EndpointList
from kestreltrack.journal import Journal, OutstandingMessage
from kestreltrack.ports import Attempt, AttemptResult, Message, Transport
from kestreltrack.sender.dispatcher import Dispatcher, PendingMessage
from kestreltrack.sender.journal_writes import try_write
from kestreltrack.sender.key_order import KeyOrder
from kestreltrack.sender.retry_after_sharing import RetryAfterSharing
from kestreltrack.sender.shutdown_state import ShutdownState
from kestreltrack.telemetry import Telemetry

# Time allowed for a request to arrive in full; the destination must still know the idempotency key at its last byte.
REQUEST_TRANSIT_MS = 100.0


@dataclass(slots=True)
class _SendResult:
    """The result of one call of the transport.

    Attributes:
        result: What the transport returned.
        interrupted: Whether the process shut down while the attempt was in flight.
    """

    result: AttemptResult
    interrupted: bool = False


class AttemptRunner:
    """Runs the attempts that the decision module starts, and reports their outcomes back to it."""

    def __init__(
        self,
        dispatcher: Dispatcher,
        settings: Settings,
        journal: Journal,
        endpoint_list: EndpointList,
        transport: Transport,
        telemetry: Telemetry,
        retry_after: RetryAfterSharing,
        key_order: KeyOrder,
        shutdown: ShutdownState,
    ) -> None:
        self.dispatcher = dispatcher
        self.settings = settings
        self.journal = journal
        self.endpoint_list = endpoint_list
        self.transport = transport
        self.telemetry = telemetry
        self.retry_after = retry_after
        self.key_order = key_order
        self.shutdown = shutdown

    async def run(
        self, outstanding: OutstandingMessage, pending: PendingMessage, decision: StartAttempt
    ) -> AttemptResult:
        """Run one attempt, record its outcome in the journal and notify the decision module.

        A final result is returned even if the process is shutting down, so that the caller can record the end of
        the message.

        Raises:
            asyncio.CancelledError: The process shut down during the attempt.  A non-final outcome of an attempt that
                began has been recorded by then.
        """
        started_at_ms = self.dispatcher.clock()
        attempts_before = outstanding.attempts
        send_result = await self._send(outstanding, pending, decision)
        result = send_result.result
        duration_ms = self.dispatcher.clock() - started_at_ms
        self._apply_retry_after(outstanding.message, result)
        # An attempt without its own record never began.  If the journal still shows one in flight, it belongs to an
        # earlier process and stays ambiguous.  After a final result the caller records the end of the message.
        recorded = outstanding.attempts > attempts_before
        if recorded and not result.final:
            try_write(self.telemetry, self.journal.record_outcome, outstanding, result.outcome)
        if send_result.interrupted and not result.final:
            raise asyncio.CancelledError
        self._log(outstanding.message, decision.endpoint, result, duration_ms)
        self._notify_ended(pending, decision, result, duration_ms, recorded)
        return result

    async def _send(
        self, outstanding: OutstandingMessage, pending: PendingMessage, decision: StartAttempt
    ) -> _SendResult:
        address = self.endpoint_list.address(decision.endpoint)
        if address is None or pending.withdrawn:
            return _SendResult(AttemptResult(Outcome.NOT_SENT))
        attempt = Attempt(
            outstanding.message,
            decision.endpoint,
            address,
            decision.timeout_ms,
            partial(self._begin, outstanding, decision.endpoint),
            pending.batch_call,
            strict=self._must_run_once(outstanding.message),
            on_delivered=partial(self._record_delivered, outstanding),
        )
        task = asyncio.create_task(self.transport.send(attempt))
        pending.attempt_task = task
        interrupted = False
        try:
            await asyncio.wait({task})
        except asyncio.CancelledError:
            # The process is shutting down.  The transport may have read the response in this same iteration of the
            # event loop; without a record of it the next process would deliver the message a second time.
            interrupted = True
            task.cancel()
            await asyncio.wait({task})
        pending.attempt_task = None
        return _SendResult(_task_result(task, self.telemetry), interrupted)

    def _must_run_once(self, message: Message) -> bool:
        message_class = self.settings.classes.get(message.cls)
        return message_class is None or message_class.idempotency is Idempotency.NOT_IDEMPOTENT

    def _record_delivered(self, outstanding: OutstandingMessage) -> None:
        """Record completion at the status line: the process may exit before the rest of the response arrives."""
        if outstanding.message.id in self.journal.outstanding:
            try_write(self.telemetry, self.journal.record_completed, outstanding, self.dispatcher.clock())

    def _begin(self, outstanding: OutstandingMessage, endpoint: str, *other_message_ids: str) -> bool:
        """Return whether the first byte of an attempt may be sent, and record the attempt in the journal if so.

        The conditions are checked again because connecting takes time: since the decision, a Retry-After or a drain
        may have arrived, the shutdown deadline may have passed, or the destination's deduplication window may have
        ended.
        """
        self.retry_after.receive()
        others = [self.journal.outstanding[message_id] for message_id in other_message_ids]
        members = (outstanding, *others)
        if (
            self.dispatcher.clock() >= self.shutdown.attempts_deadline_ms
            or not self.dispatcher.permits(outstanding.message.dest, endpoint)
            or any(map(self._deduplication_window_expired, members))
            or not self._is_in_order(members)
        ):
            self.telemetry.count("delivery.attempts_blocked", len(members))
            return False
        is_recorded = try_write(
            self.telemetry,
            self.journal.record_attempt,
            outstanding,
            self.dispatcher.clock(),
            self.endpoint_list.zone(endpoint),
            *others,
        )
        return is_recorded and self._is_in_order(members)

    def _is_in_order(self, members: Iterable[OutstandingMessage]) -> bool:
        """Return whether the other process of this sender has no earlier message of the members' ordering keys."""
        is_in_order = all(self.key_order.permits(member.message) for member in members)
        if not is_in_order:
            self.telemetry.count("delivery.key_held_elsewhere")
        return is_in_order

    def _deduplication_window_expired(self, outstanding: OutstandingMessage) -> bool:
        """Return whether an attempt that begins now could execute a message with an idempotency key twice."""
        message_class = self.settings.classes[outstanding.message.cls]
        ambiguous = outstanding.first_ambiguous()
        if ambiguous is None or message_class.idempotency is not Idempotency.KEYED:
            return False
        # A start time in the future means that the system clock was set back since: how much of the window is left
        # is unknown.
        if ambiguous.at - REQUEST_TRANSIT_MS > self.dispatcher.clock():
            return True
        window_end_ms = ambiguous.at + message_class.deduplication_window_ms
        return self.dispatcher.clock() > window_end_ms - REQUEST_TRANSIT_MS

    def _apply_retry_after(self, message: Message, result: AttemptResult) -> None:
        if not result.retry_after_ms:
            return
        self.retry_after.publish(message.dest, result.retry_after_ms)
        if result.outcome is Outcome.NOT_SENT:
            # The Retry-After came with the response to the batch call that this message was assigned to, and applies
            # all the same.  The decision module learns nothing from an attempt that was not sent, so it is notified
            # by a separate event.
            retry_at_ms = self.dispatcher.clock() + result.retry_after_ms
            self.dispatcher.notify(RetryAfterReceived(message.dest, retry_at_ms, rejected=False))

    def _log(self, message: Message, endpoint: str, result: AttemptResult, duration_ms: float) -> None:
        outcome = outcome_name(result.outcome)
        self.telemetry.count(f"delivery.attempts.{outcome}")
        self.telemetry.log(
            "attempt",
            id=message.id,
            dest=message.dest,
            endpoint=endpoint,
            outcome=outcome,
            ms=round(duration_ms, 1),
            retry_after_ms=result.retry_after_ms,
            connection=result.connection.connection_id,
            exchange=result.connection.exchange,
            silent_ms=result.connection.silent_ms,
        )

    def _notify_ended(
        self,
        pending: PendingMessage,
        decision: StartAttempt,
        result: AttemptResult,
        duration_ms: float,
        recorded: bool,
    ) -> None:
        attempt_number = pending.attempt_number
        pending.attempt_number += 1
        self.dispatcher.notify(
            AttemptEnded(
                decision.id,
                attempt_number,
                decision.endpoint,
                result.outcome,
                duration_ms,
                result.final,
                result.retry_after_ms,
                result.load_report.get("x0"),
                result.load_report.get("x1"),
                result.stale_connection,
                counted=result.outcome is not Outcome.NOT_SENT or recorded,
            )
        )


def outcome_name(outcome: Outcome) -> str:
    """Return the name of an outcome in log lines and counters."""
    return outcome.value.replace(" ", "_")


def _task_result(task: asyncio.Task[AttemptResult], telemetry: Telemetry) -> AttemptResult:
    """Return the result of an attempt, including one cancelled before it began or one whose transport failed."""
    if task.cancelled():
        return AttemptResult(Outcome.NOT_SENT)
    error = task.exception()
    if error is not None:
        telemetry.record_fault("endpoints.fault", error=repr(error))
        return AttemptResult(Outcome.CONNECTION_BROKEN)
    return task.result()
