"""The dispatcher between the delivery tasks and the decision module.

It serialises the calls of the decision module and routes the resulting actions to the waiting tasks.  It makes no
decisions itself.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Sequence
from typing import Protocol

from kestreltrack.decision import (
    Action,
    CancelAttempt,
    CloseIdleConnections,
    EndpointsUpdated,
    Event,
    FailMessage,
    PollEndpointList,
    RejectMessage,
    SetTimer,
    StartAttempt,
    TimerExpired,
)
from kestreltrack.ports import BatchCall, Clock
from kestreltrack.telemetry import Telemetry

MessageDecision = StartAttempt | RejectMessage | FailMessage


class Decider(Protocol):
    """The decision module or a wrapper around it; `now` is the time of the dispatcher's clock in ms."""

    def handle(self, now: float, event: Event) -> None:
        """Update the state with one event."""

    def decide(self, now: float) -> Sequence[Action]:
        """Return the actions that follow from all events handled so far."""

    def permits(self, now: float, dest: int, endpoint_name: str) -> bool:
        """Return whether an attempt that was started may still send its first byte."""


# Delay before the next decision after one that raised an exception.
RETRY_DELAY_S = 0.05
# Minimum interval between decisions; a decision about several events costs as much as one about a single event.
MIN_DECISION_INTERVAL_S = 0.005


class PendingMessage:
    """A message that the decision module decides about, with its attempt in flight."""

    def __init__(self, dispatcher: Dispatcher, message_id: str) -> None:
        """Register the message with the dispatcher; `remove` unregisters it."""
        self._dispatcher = dispatcher
        self._message_id = message_id
        self._decision: asyncio.Future[MessageDecision | None] = asyncio.get_running_loop().create_future()
        self.attempt_task: asyncio.Task[object] | None = None  # None if no attempt is in flight
        self.attempt_number = 0  # of the attempt in flight, or of the next one
        self.batch_call: BatchCall | None = None  # set if the last decision put the message into a batch
        self.withdrawn = False
        dispatcher.pending_messages[message_id] = self

    def remove(self) -> None:
        """Unregister the message; no decision about it may follow."""
        self._dispatcher.pending_messages.pop(self._message_id, None)

    def set_decision(self, decision: MessageDecision) -> None:
        """Pass a decision to the task that waits in `next_decision`."""
        if self.withdrawn:
            return  # decided before the decision module handled the withdrawal
        self._dispatcher.telemetry.check_invariant(not self._decision.done(), "one_order_at_a_time")
        if not self._decision.done():
            self._decision.set_result(decision)

    def withdraw(self) -> None:
        """Cancel the attempt in flight and ignore further decisions, because the client has disconnected."""
        self.withdrawn = True
        if self.attempt_task is not None:
            self.attempt_task.cancel()
        if not self._decision.done():
            self._decision.set_result(None)

    def cancel_attempt(self, attempt_number: int) -> None:
        """Cancel the attempt with this number if it is still in flight."""
        if self.attempt_task is not None and self.attempt_number == attempt_number:
            self.attempt_task.cancel()

    def final_decision(self) -> RejectMessage | FailMessage | None:
        """Return the decision that `next_decision` will return next, if it is known and ends the message."""
        if not self._decision.done():
            return None
        decision = self._decision.result()
        return decision if isinstance(decision, RejectMessage | FailMessage) else None

    async def next_decision(self) -> MessageDecision | None:
        """Return the next decision once it is made, or `None` if the message is withdrawn."""
        if self.withdrawn and not self._decision.done():
            return None
        decision = await self._decision
        self._decision = asyncio.get_running_loop().create_future()
        return decision


class Dispatcher:
    """Passes each event to the decision module at once, and lets it decide about several events together."""

    def __init__(self, decider: Decider, clock: Clock, telemetry: Telemetry) -> None:
        """Start without messages; other components set the callbacks."""
        self.decider = decider
        self.clock = clock
        self.telemetry = telemetry
        self.pending_messages: dict[str, PendingMessage] = {}
        self._decision_scheduled = False
        self._decided_at_s = 0.0  # on the loop's clock
        self._decision_made = asyncio.Event()
        self._closed = False
        self.on_poll_requested: Callable[[], None] = lambda: None
        self.on_close_idle: Callable[[str], None] = lambda uid: None
        # Marks endpoints as draining that operators excluded or that the replicated configuration does not serve.
        self.apply_overrides: Callable[[EndpointsUpdated], EndpointsUpdated] = lambda update: update
        # Returns whether the replicated configuration permits attempts to a destination.
        self.may_serve: Callable[[int], bool] = lambda dest: True
        # Returns the maximum number of messages in one call to an endpoint; None disables batching.
        self.max_batch_size: Callable[[str], int] | None = None

    def notify(self, event: Event) -> None:
        """Pass an event to the decision module at once, and schedule a decision if none is scheduled yet."""
        if isinstance(event, EndpointsUpdated):
            event = self.apply_overrides(event)
        try:
            self.decider.handle(self.clock(), event)
        except Exception as error:  # a bug in the decision module must not stop the process
            self.telemetry.record_fault("decision.fault", error=repr(error), on=type(event).__name__)
        if not self._decision_scheduled:
            self._decision_scheduled = True
            loop = asyncio.get_running_loop()
            loop.call_at(max(loop.time(), self._decided_at_s + MIN_DECISION_INTERVAL_S), self._decide)

    async def wait_for_decision(self) -> None:
        """Wait until the decision module has decided about all events so far."""
        await self._decision_made.wait()

    def close(self) -> None:
        """Make no further decisions; the next process resumes the outstanding messages."""
        self._closed = True

    def _decide(self) -> None:
        if self._closed:
            return
        self._decision_scheduled = False
        self._decided_at_s = asyncio.get_running_loop().time()
        actions: Sequence[Action] = ()
        try:
            actions = self.decider.decide(self.clock())
        except Exception as error:
            self.telemetry.record_fault("decision.fault", error=repr(error), on="decide")
            self._set_timer(RETRY_DELAY_S, TimerExpired(0))
        if self.max_batch_size is not None:
            self._group_batches(actions, self.max_batch_size)
        for action in actions:
            self._route(action)
        # Tasks that call `wait_for_decision` from here on wait for the next decision.
        self._decision_made.set()
        self._decision_made = asyncio.Event()

    def _group_batches(self, actions: Sequence[Action], max_batch_size: Callable[[str], int]) -> None:
        """Group the attempts that one decision starts at the same endpoint into as few calls as possible.

        The decision module counts calls against its limits in the same way.
        """
        pending_by_endpoint: dict[str, list[PendingMessage]] = {}
        for action in actions:
            if isinstance(action, StartAttempt) and action.id in self.pending_messages:
                pending = self.pending_messages[action.id]
                pending_by_endpoint.setdefault(action.endpoint, []).append(pending)
        for endpoint, pending_messages in pending_by_endpoint.items():
            batch_size = max_batch_size(endpoint)
            for start in range(0, len(pending_messages), batch_size):
                batch = pending_messages[start : start + batch_size]
                batch_call = BatchCall() if len(batch) > 1 else None
                for pending in batch:
                    pending.batch_call = batch_call

    def permits(self, dest: int, uid: str) -> bool:
        """Return whether an attempt that waited for its connection may still send its first byte."""
        return self.may_serve(dest) and self.decider.permits(self.clock(), dest, uid)

    def _route(self, action: Action) -> None:
        if isinstance(action, SetTimer):
            self._set_timer(action.delay_ms / 1000.0, TimerExpired(action.token))
        elif isinstance(action, PollEndpointList):
            self.on_poll_requested()
        elif isinstance(action, CloseIdleConnections):
            self.on_close_idle(action.endpoint)
        else:
            self._route_to_message(action)

    def _route_to_message(self, action: MessageDecision | CancelAttempt) -> None:
        pending = self.pending_messages.get(action.id)
        if pending is None:
            self.telemetry.check_invariant(False, "actions_are_about_held_messages")
        elif isinstance(action, CancelAttempt):
            pending.cancel_attempt(action.attempt)
        else:
            pending.set_decision(action)

    def _set_timer(self, delay_s: float, event: Event) -> None:
        asyncio.get_running_loop().call_later(delay_s, self.notify, event)
