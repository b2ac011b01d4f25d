"""The life of a message: one task each, `Core.deliver`, that reads from top to bottom."""

from __future__ import annotations

import asyncio
import math
import random
from collections.abc import Callable, Coroutine
from contextlib import aclosing, suppress
from dataclasses import replace

from kestreltrack.decision import (
    AttemptEnded,
    DiscoveryFailed,
    EndpointsUpdated,
    Idempotency,
    MessageArrived,
    MessageWithdrawn,
    Outcome,
    RejectMessage,
    RetryAfterReceived,
    SenderCountChanged,
    Settings,
    ShutdownStarted,
    StartAttempt,
)
from kestreltrack.discovery import EndpointList
from kestreltrack.discovery.gc_pause import LARGE_LIST_SIZE, GcPause
from kestreltrack.discovery.incremental_update import IncrementalUpdateQueue
from kestreltrack.journal import Journal, JournalFullError, OutstandingMessage, sorted_by_expiry
from kestreltrack.journal.retry_after import SharedRetryAfter
from kestreltrack.ports import (
    Accepted,
    Attempt,
    AttemptResult,
    DiscoveryError,
    EndpointSource,
    InvalidMessage,
    Message,
    Notifier,
    Rejected,
    StatusNotification,
    SubmitResult,
    Transport,
)
from kestreltrack.sender.dispatcher import Dispatcher, PendingMessage
from kestreltrack.telemetry import Telemetry

CLOCK_TOLERANCE_MS = (
    1.0  # `d` may be the whole deadline, and loses its last bits when it is added to the clock
)

REQUEST_TRANSIT_MS = (
    100.0  # a claim's first byte to its last at the partner: by then the key must still be known
)
AGENT_RETRY_DELAY_S = (
    0.02  # until an agent that did not answer is asked again: it costs nothing, and drains wait for it
)
END_RECORD_RETRY_DELAY_S = 0.25  # until an end that found no room in the folder is recorded after all
# Until the source is asked without the module's word, after the beginning of the last call and after its end: more
# than the module ever waits, and soon enough for a change that counts as told 6 s after discovery can be reached.
MAX_POLL_INTERVAL_S, MIN_POLL_PAUSE_S = 3.8, 0.3
NEW_SOURCE_PERIOD_S, NEW_SOURCE_RETRY_DELAY_S = (
    4.0,
    0.4,
)  # what a new address has counts so long after SIGHUP; meanwhile it is asked so often
CHUNK_PAUSE_S = (
    0.004  # between slices of a large list: as long as one takes, so that messages get half the time
)


class Core:
    """Carries messages from their submitters to their ends; the module decides at each point of choice."""

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
        """Wire the parts together; `jitter` spreads what many senders would do in one moment."""
        self._jitter = jitter
        self.dispatcher, self.settings, self.journal, self.endpoint_list = (
            dispatcher,
            settings,
            journal,
            endpoint_list,
        )
        self.transport, self.notifier, self.telemetry = transport, notifier, telemetry
        self._tasks: set[asyncio.Task[None]] = set()
        self._poll_requested, self.list_received = (
            asyncio.Event(),
            asyncio.Event(),
        )  # listed: the source has told its first list
        self._update_queue, self._applying_updates = IncrementalUpdateQueue(endpoint_list), False
        self._attempts_deadline, self._abandoned = (
            math.inf,
            False,
        )  # on the clock: when no attempt may begin any more
        self._source_changed_until = -math.inf  # the source has moved, and may not answer yet
        self.shared_retry_after: SharedRetryAfter | None = (
            None  # told to the other process of this sender during an upgrade
        )
        dispatcher.on_poll_requested = self._poll_requested.set
        dispatcher.on_close_idle = transport.close_idle

    # What a front calls --------------------------------------------------------------------------

    async def submit(self, message: Message) -> SubmitResult:
        """Begin the life of a message; returns once it is taken on or turned away."""
        if self._abandoned:  # nobody would see to its end
            return Rejected()
        answer: asyncio.Future[SubmitResult] = asyncio.get_running_loop().create_future()

        def ended(_: object) -> None:
            # With no answer: cut short, perhaps before its first step, with nothing recorded; else by a fault.
            if not answer.done():
                answer.set_result(Rejected() if self._abandoned else InvalidMessage("internal error"))

        self._start_task(self.deliver(message, answer)).add_done_callback(ended)
        return await answer

    def withdraw(self, message_id: str) -> None:
        """The submitter left unanswered: end the message, and call off the claim that is out."""
        if seat := self.dispatcher.pending_messages.get(message_id):
            self.telemetry.count("delivery.withdrawn")
            self.dispatcher.notify(MessageWithdrawn(message_id))
            seat.withdraw()

    # The life of a message -----------------------------------------------------------------------

    async def deliver(self, message: Message, submit_result: asyncio.Future[SubmitResult]) -> None:
        """From the request to the end."""
        if unfit := self._rejection_reason(message):
            self._count_result(message, "aborted")
            submit_result.set_result(InvalidMessage(unfit))
            return
        if message.id in self.journal.outstanding:
            submit_result.set_result(Accepted(duplicate=True))  # handed in once more under the same id
            return
        if message.id in self.dispatcher.pending_messages:
            self._count_result(message, "aborted")
            submit_result.set_result(InvalidMessage("this id is being handed in"))
            return
        if len(
            self.dispatcher.pending_messages
        ) >= self.settings.queue_capacity or not self.journal.has_capacity_for(message):
            self.telemetry.count("delivery.queue_full")
            self._count_result(message, "declined")
            submit_result.set_result(Rejected())
            return
        seat = PendingMessage(self.dispatcher, message.id)
        try:
            self.dispatcher.notify(_arrival_event(message))
            await self.dispatcher.wait_for_decision()
            if final := seat.final_decision():
                # Given up in the step of its arrival: answered directly, nothing is held.
                self.telemetry.count("delivery.rejected")
                self._count_result(message, "declined" if isinstance(final, RejectMessage) else "aborted")
                wait = final.retry_after_ms if isinstance(final, RejectMessage) else None
                submit_result.set_result(Rejected(wait))
                return
            try:
                held = self.journal.record_accepted(message)
            except JournalFullError as bad:
                self.telemetry.record_fault("journal.full", error=str(bad))
                self._count_result(message, "declined")
                submit_result.set_result(Rejected())
                held = OutstandingMessage(message)
                self.withdraw(message.id)
            else:
                self.telemetry.count("delivery.accepted")
                submit_result.set_result(Accepted())
            await self._attempt_until_final(held, seat)
        finally:
            seat.remove()

    def _rejection_reason(self, message: Message) -> str | None:
        """Why nobody could serve this message."""
        if (cls := self.settings.classes.get(message.cls)) is None:
            return "unknown class"
        if message.expires - self.dispatcher.clock() > cls.deadline_ms + CLOCK_TOLERANCE_MS:
            return "d is beyond the deadline of its class"
        return "unknown destination" if self.endpoint_list.is_unknown_destination(message.dest) else None

    async def resume(self, outstanding: OutstandingMessage) -> None:
        """The life of a message that the last process left, from where the journal shows it."""
        seat = PendingMessage(self.dispatcher, outstanding.message.id)
        seat.attempt_number = outstanding.attempts
        if outstanding.owed_notification is None and outstanding.message.cls not in self.settings.classes:
            # The settings have changed: nobody knows how it may be delivered, nor what a repeat would do.
            self.telemetry.record_fault("delivery.unknown_class", cls=outstanding.message.cls)
            self._record_owed_notification(
                outstanding,
                StatusNotification(outstanding.message.id, requeue=outstanding.first_ambiguous() is None),
            )
        try:
            if outstanding.owed_notification is None:
                doubt = outstanding.first_ambiguous()
                since, zone = (doubt.at, doubt.zone) if doubt else (None, "")
                arrival = replace(
                    _arrival_event(outstanding.message),
                    attempts=outstanding.attempts,
                    ambiguous_since=since,
                    ambiguous_zone=zone,
                    accepted=True,
                )
                self.dispatcher.notify(arrival)
            await self._attempt_until_final(outstanding, seat)
        finally:
            seat.remove()

    async def _attempt_until_final(self, outstanding: OutstandingMessage, pending: PendingMessage) -> None:
        """Claims as the module orders them; in the end delivered, withdrawn, or told in a notice."""
        message, order = outstanding.message, None
        while outstanding.owed_notification is None and isinstance(
            order := await pending.next_decision(), StartAttempt
        ):
            result = await self._attempt(outstanding, pending, order)
            if result.final:
                self._count_result(message, "succeeded" if result.outcome is Outcome.OK else "aborted")
                await self._finish(outstanding, _outcome_name(result.outcome))
                return
        if outstanding.owed_notification is None:
            if order is None:
                await self._finish(outstanding, "withdrawn")
                return
            wait_ms = order.retry_after_ms if isinstance(order, RejectMessage) else 0.0
            self._record_owed_notification(
                outstanding, StatusNotification(message.id, isinstance(order, RejectMessage), wait_ms)
            )
        pending.remove()  # the module is done with it; only the notice is left
        assert outstanding.owed_notification is not None
        await self.notifier.notify(outstanding.owed_notification)
        self._count_result(message, "declined" if outstanding.owed_notification.requeue else "aborted")
        await self._finish(outstanding, "requeued" if outstanding.owed_notification.requeue else "given_up")

    def _record_owed_notification(
        self, outstanding: OutstandingMessage, notification: StatusNotification
    ) -> None:
        outstanding.owed_notification = notification
        self._write_to_journal(self.journal.record_owed_notification, notification)

    async def _attempt(
        self, outstanding: OutstandingMessage, pending: PendingMessage, decision: StartAttempt
    ) -> AttemptResult:
        """One claim, from the module's word to its outcome in the journal and the module."""
        message, uid = outstanding.message, decision.endpoint
        started = self.dispatcher.clock()

        def begin(*others: str) -> bool:
            # The connection took its time: a wait or a drain may have come since the module's word, and the partner
            # may no longer know a key by the time that the claim is there.
            self.receive_shared_retry_after()
            rest = [self.journal.outstanding[id_] for id_ in others]
            over = (
                self.dispatcher.clock() >= self._attempts_deadline
            )  # nobody would be left to hear how it ends
            if (
                over
                or not self.dispatcher.permits(message.dest, uid)
                or any(map(self._deduplication_window_expired, (outstanding, *rest)))
            ):
                self.telemetry.count("delivery.attempts_blocked", 1 + len(others))
                return False
            return self._write_to_journal(
                self.journal.record_attempt,
                outstanding,
                self.dispatcher.clock(),
                self.endpoint_list.zone(uid),
                *rest,
            )

        address = self.endpoint_list.address(uid)
        tries, called_off = outstanding.attempts, False
        if address is None or pending.withdrawn:
            result = AttemptResult(Outcome.NOT_SENT)
        else:
            claim = asyncio.create_task(
                self.transport.send(
                    Attempt(message, uid, address, decision.timeout_ms, begin, pending.batch_call)
                )
            )
            pending.attempt_task = claim
            try:
                await asyncio.wait({claim})
            except asyncio.CancelledError:
                # This process ends.  What is known of the attempt is recorded first: its answer may have been read in
                # this very turn, and the next process would deliver once more what has been delivered.
                called_off = True
                claim.cancel()
                await asyncio.wait({claim})
            pending.attempt_task = None
            result = _attempt_result(claim, self.telemetry)
        took = self.dispatcher.clock() - started
        if self.shared_retry_after and result.retry_after_ms:
            try:
                self.shared_retry_after.record(
                    message.dest, self.dispatcher.clock() + result.retry_after_ms, self.dispatcher.clock()
                )
            except OSError as bad:
                self.telemetry.record_fault("delivery.retry_after_not_persisted", error=str(bad))
        if (
            result.retry_after_ms and result.outcome is Outcome.NOT_SENT
        ):  # told to a whole call: it binds all the same
            self.dispatcher.notify(
                RetryAfterReceived(
                    message.dest, self.dispatcher.clock() + result.retry_after_ms, rejected=False
                )
            )
        # Else it never began (one that is out then is a dead process's, and stays in doubt), or its end comes next.
        if outstanding.attempts > tries and not result.final:
            self._write_to_journal(self.journal.record_outcome, outstanding, result.outcome)
        if called_off and not result.final:
            raise asyncio.CancelledError
        self.telemetry.count(f"delivery.attempts.{_outcome_name(result.outcome)}")
        self.telemetry.log(
            "claim",
            id=message.id,
            dest=message.dest,
            node=uid,
            outcome=_outcome_name(result.outcome),
            ms=round(took, 1),
            wait=result.retry_after_ms,
        )
        attempt, pending.attempt_number = pending.attempt_number, pending.attempt_number + 1
        self.dispatcher.notify(
            AttemptEnded(
                message.id,
                attempt,
                uid,
                result.outcome,
                took,
                result.final,
                result.retry_after_ms,
                result.load_report.get("x0"),
                result.load_report.get("x1"),
                result.stale_connection,
                result.outcome is not Outcome.NOT_SENT or outstanding.attempts > tries,
            )
        )
        return result

    def _deduplication_window_expired(self, outstanding: OutstandingMessage) -> bool:
        """Whether a keyed message may have run so long ago that a claim that goes now could run twice."""
        cls, doubt = self.settings.classes[outstanding.message.cls], outstanding.first_ambiguous()
        if doubt is None or cls.idempotency is not Idempotency.KEYED:
            return False
        # From before the clock of the machine was set back: how much of the window has gone, nobody can tell.
        ahead = doubt.at - REQUEST_TRANSIT_MS > self.dispatcher.clock()
        return ahead or self.dispatcher.clock() > doubt.at + cls.deduplication_window_ms - REQUEST_TRANSIT_MS

    def _count_result(self, message: Message, result: str) -> None:
        """One end for the operators' figures, by class: succeeded, declined (refused, handed back) or aborted."""
        if message.cls in self.settings.classes:  # a name that no class has would make counters without bound
            self.telemetry.count(f"app.results.{message.cls}.{result}")

    async def _finish(self, outstanding: OutstandingMessage, reason: str) -> None:
        # With no record of its end it would be held for ever here, and go once more after a restart.
        while outstanding.message.id in self.journal.outstanding and not self._write_to_journal(
            self.journal.record_completed, outstanding
        ):
            if self._abandoned:
                break
            await asyncio.sleep(END_RECORD_RETRY_DELAY_S)
        self.telemetry.count(f"delivery.ended.{reason}")
        self.telemetry.log("end", id=outstanding.message.id, how=reason)

    def _write_to_journal(self, write: Callable[..., None], *arguments: object) -> bool:
        """Write to the journal; a full folder is counted, and told to the caller."""
        try:
            write(*arguments)
        except JournalFullError as bad:
            self.telemetry.record_fault("journal.full", error=str(bad))
            return False
        return True

    # The machine list ----------------------------------------------------------------------------

    async def follow_source(self, source: EndpointSource) -> None:
        """Ask for the machine list whenever the module wants it, and pass on what it tells.

        Where lists are pushed the module never asks: they are followed from the start, and anew after each failure.
        Whatever fails, the source is asked again: a list that goes quiet for good would break drains for good.
        """
        loop, task = asyncio.get_running_loop(), asyncio.current_task()
        began = loop.time()
        while True:
            # The module's word may be lost, by a fault of its own or of whoever was to pass it on; and its gaps, made
            # for an outage, are too long for an address that was given just now.
            due = max(began + MAX_POLL_INTERVAL_S, loop.time() + MIN_POLL_PAUSE_S)
            if loop.time() < self._source_changed_until:
                due = loop.time() + NEW_SOURCE_RETRY_DELAY_S * (0.5 + self._jitter())
            with suppress(TimeoutError):
                async with asyncio.timeout_at(due):
                    await self._poll_requested.wait()
            self._poll_requested.clear()
            began = loop.time()
            try:
                await self._follow_until_failure(source)
            except DiscoveryError as bad:
                self.telemetry.record_fault("discovery.failed", error=str(bad))
            except asyncio.CancelledError:
                if task is None or task.cancelling():
                    raise
                self.telemetry.record_fault("discovery.fault", error="the source was cancelled")
            except Exception as bad:  # a fault of the source, or of what takes the list in
                self.telemetry.record_fault("discovery.fault", error=repr(bad))
            self.dispatcher.notify(DiscoveryFailed())
            if not self.settings.must_poll:
                await asyncio.sleep(AGENT_RETRY_DELAY_S)
                self._poll_requested.set()

    async def _follow_until_failure(self, source: EndpointSource) -> None:
        """Pass on what the source tells until it fails or ends."""
        async with aclosing(source.follow()) as updates:  # type: ignore[type-var]
            async for update in updates:
                if update.endpoints or update.complete or update.revision != self.endpoint_list.revision:
                    self.telemetry.log(
                        "list", rev=update.revision, whole=update.complete, n=len(update.endpoints)
                    )
                for uid in self._update_queue.enqueue(update):
                    self.transport.close_idle(uid)
                self._apply_next_chunk()
                self.list_received.set()

    def _apply_next_chunk(self, is_remainder: bool = False) -> None:
        """Tell the module what is most urgent; what is left follows in slices, messages in between.

        The rest is no sign that a watch is open: meanwhile it may have failed, and the module has to ask.
        """
        if (
            part := self._update_queue.next_chunk()
        ) is None:  # a large list as it was known: a watch is open all the same
            self.dispatcher.notify(EndpointsUpdated([], complete=False, cached=is_remainder))
            return
        self.dispatcher.notify(replace(part.event, cached=is_remainder))
        if part.update.endpoints or part.update.complete:
            self._write_to_journal(self.journal.record_endpoints, part.update)
        if len(self._update_queue) and not self._applying_updates:
            self._applying_updates = True
            self._start_task(self._apply_remaining_chunks())

    async def _apply_remaining_chunks(self) -> None:
        large = len(self._update_queue) >= LARGE_LIST_SIZE
        if large:
            GcPause.begin()
        try:
            while len(self._update_queue):
                await asyncio.sleep(CHUNK_PAUSE_S)
                try:
                    self._apply_next_chunk(is_remainder=True)
                except Exception as bad:  # what is left must not wait for the next change
                    self.telemetry.record_fault("discovery.fault", error=repr(bad))
        finally:
            self._applying_updates = False
            if large:
                GcPause.end()

    def poll_now(self) -> None:
        """Ask for the machine list now, whatever the module waits for: its source has moved."""
        self._poll_requested.set()
        self._source_changed_until = asyncio.get_running_loop().time() + NEW_SOURCE_PERIOD_S

    # Start and stop ------------------------------------------------------------------------------

    def recover(self, held_messages: list[OutstandingMessage] | None = None) -> None:
        """Begin again the lives that the last process left: all held, or those adopted from another slot.

        The module serves what it hears of first before the rest: so the first to expire go first.
        """
        for held in (
            sorted_by_expiry(self.journal.outstanding.values()) if held_messages is None else held_messages
        ):
            self.telemetry.count("delivery.recovered")
            self._start_task(self.resume(held))

    def set_sender_count(self, sender_count: int) -> None:
        """Tell the module how many senders share a partner's limit."""
        self.dispatcher.notify(SenderCountChanged(sender_count))

    def receive_shared_retry_after(self) -> None:
        """Tell the module of the waits that the other process of this sender was told since the last look."""
        try:
            heard = (
                self.shared_retry_after.read_changes(self.dispatcher.clock())
                if self.shared_retry_after
                else {}
            )
        except OSError as bad:
            self.telemetry.record_fault("delivery.retry_after_unreadable", error=str(bad))
            return
        for dest, until in heard.items():
            self.telemetry.count("delivery.retry_after_received")
            self.dispatcher.notify(RetryAfterReceived(dest, until))

    def start_shutdown(self, deadline: float) -> None:
        """Tell the module by when claims have to end; none begins after that."""
        self._attempts_deadline = deadline
        self.dispatcher.notify(ShutdownStarted(deadline))

    def is_idle(self) -> bool:
        """Whether no claim is out."""
        return all(seat.attempt_task is None for seat in self.dispatcher.pending_messages.values())

    async def abandon(self) -> None:
        """Call off the claims that are out, and leave all lives where they are then; the journal keeps them."""
        self._abandoned, self._attempts_deadline = True, -math.inf
        self.dispatcher.close()
        for life in self._tasks:
            life.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def _start_task(self, coroutine: Coroutine[None, None, None]) -> asyncio.Task[None]:
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._task_finished)
        return task

    def _task_finished(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and (bad := task.exception()):
            self.telemetry.record_fault("delivery.fault", error=repr(bad))


def _outcome_name(outcome: Outcome) -> str:
    """An outcome as it stands in logs and counters."""
    return outcome.value.replace(" ", "_")


def _arrival_event(message: Message) -> MessageArrived:
    return MessageArrived(
        message.id, message.dest, message.cls, message.expires, message.ordering_key, message.tenant
    )


def _attempt_result(task: asyncio.Task[AttemptResult], telemetry: Telemetry) -> AttemptResult:
    """The outcome of a claim, also where it was called off before it began or its transport failed."""
    if task.cancelled():
        return AttemptResult(Outcome.NOT_SENT)
    if bad := task.exception():
        telemetry.record_fault("endpoints.fault", error=repr(bad))
        return AttemptResult(Outcome.CONNECTION_BROKEN)
    return task.result()
