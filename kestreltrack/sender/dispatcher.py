"""The desk between the tasks that carry messages and the decision module.

It serialises the module's steps and routes its actions to the waiting tasks; it decides nothing.
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
    """The decision module, or what stands before it and passes everything on."""

    def handle(self, now: float, event: Event) -> None:
        """Learn of one event."""

    def decide(self, now: float) -> Sequence[Action]:
        """What to do about all that was taken."""

    def permits(self, now: float, dest: int, endpoint_name: str) -> bool:
        """Whether a send may still go."""


RETRY_DELAY_S = 0.05  # until the module is woken after a step that failed
MIN_DECISION_INTERVAL_S = (
    0.005  # between decisions, at least: one for several events costs as much as one for each
)


class PendingMessage:
    """Where one message waits for what the module decides about it."""

    def __init__(self, dispatcher: Dispatcher, message_id: str) -> None:
        """Take the seat at the desk; it is left with `leave`."""
        self._dispatcher, self._message_id = dispatcher, message_id
        self._decision: asyncio.Future[MessageDecision | None] = asyncio.get_running_loop().create_future()
        self.attempt_task: asyncio.Task[object] | None = None  # the claim that is out
        self.attempt_number = 0  # its number; the next one's where none is out
        self.batch_call: BatchCall | None = None  # of the order given last, where it goes with others
        self.withdrawn = False
        dispatcher.pending_messages[message_id] = self

    def remove(self) -> None:
        """The message is over."""
        self._dispatcher.pending_messages.pop(self._message_id, None)

    def set_decision(self, decision: MessageDecision) -> None:
        """The module's next word."""
        if self.withdrawn:
            return  # decided before the module was told
        self._dispatcher.telemetry.check_invariant(not self._decision.done(), "one_order_at_a_time")
        if not self._decision.done():
            self._decision.set_result(decision)

    def withdraw(self) -> None:
        """The message is nobody's any more: call off the claim that is out, expect no order."""
        self.withdrawn = True
        if self.attempt_task is not None:
            self.attempt_task.cancel()
        if not self._decision.done():
            self._decision.set_result(None)

    def final_decision(self) -> RejectMessage | FailMessage | None:
        """The final answer, where the module gave it in the step just made."""
        order = self._decision.result() if self._decision.done() else None
        return order if isinstance(order, RejectMessage | FailMessage) else None

    async def next_decision(self) -> MessageDecision | None:
        """Wait for the module's word; `None` once the message is withdrawn."""
        if self.withdrawn and not self._decision.done():
            return None
        order = await self._decision
        self._decision = asyncio.get_running_loop().create_future()
        return order


class Dispatcher:
    """Tells the module of each event on the clock of the moment, and has it decide a few at a time."""

    def __init__(self, decider: Decider, clock: Clock, telemetry: Telemetry) -> None:
        """Whoever serves subscriptions and connections sets `on_subscribe` and `on_unlink`."""
        self.decider, self.clock, self.telemetry = decider, clock, telemetry
        self.pending_messages: dict[str, PendingMessage] = {}
        self._decision_scheduled, self._decided_at, self._decision_made = False, 0.0, asyncio.Event()
        self._closed = False
        self.on_poll_requested: Callable[[], None] = lambda: None
        self.on_close_idle: Callable[[str], None] = lambda uid: None
        self.apply_overrides: Callable[[EndpointsUpdated], EndpointsUpdated] = lambda news: (
            news
        )  # endpoints out by hand stay draining
        self.may_serve: Callable[[int], bool] = lambda dest: (
            True
        )  # whether what the fleet agreed lets claims begin
        self.max_batch_size: Callable[[str], int] | None = (
            None  # messages in a call to an endpoint; none: always one
        )

    def notify(self, event: Event) -> None:
        """The module learns of it now, and decides soon: for all that is told until then together."""
        if isinstance(event, EndpointsUpdated):
            event = self.apply_overrides(event)
        try:
            self.decider.handle(self.clock(), event)
        except Exception as bad:  # a fault of the module must not end the process that owes answers
            self.telemetry.record_fault("decision.fault", error=repr(bad), on=type(event).__name__)
        if not self._decision_scheduled:
            self._decision_scheduled, loop = True, asyncio.get_running_loop()
            loop.call_at(max(loop.time(), self._decided_at + MIN_DECISION_INTERVAL_S), self._decide)

    async def wait_for_decision(self) -> None:
        """Wait until the module has decided about all that it was told so far."""
        await self._decision_made.wait()

    def close(self) -> None:
        """Decide nothing more: who sat here is gone, and what the module still orders is for the next process."""
        self._closed = True

    def _decide(self) -> None:
        if self._closed:
            return
        self._decision_scheduled, self._decided_at = False, asyncio.get_running_loop().time()
        try:
            actions = self.decider.decide(self.clock())
        except Exception as bad:
            self.telemetry.record_fault("decision.fault", error=repr(bad), on="decide")
            self._set_timer(RETRY_DELAY_S, TimerExpired(0))
            actions = ()
        if self.max_batch_size is not None:
            self._group_batches(actions, self.max_batch_size)
        for action in actions:
            self._route(action)
        self._decision_made.set()  # who waits wakes; who comes later waits for the next turn
        self._decision_made = asyncio.Event()

    def _group_batches(self, actions: Sequence[Action], max_batch_size: Callable[[str], int]) -> None:
        """What one decision sends to one endpoint goes in as few calls as it takes: so the module counts them."""
        together: dict[str, list[PendingMessage]] = {}
        for action in actions:
            if isinstance(action, StartAttempt) and (seat := self.pending_messages.get(action.id)):
                together.setdefault(action.endpoint, []).append(seat)
        for endpoint, seats in together.items():
            most = max_batch_size(endpoint)
            for at in range(0, len(seats), most):
                part = seats[at : at + most]
                call = BatchCall() if len(part) > 1 else None
                for seat in part:
                    seat.batch_call = call

    def permits(self, dest: int, uid: str) -> bool:
        """Ask the module whether a send that had to wait for its connection may still go."""
        return self.may_serve(dest) and self.decider.permits(self.clock(), dest, uid)

    def _route(self, action: Action) -> None:
        if isinstance(action, SetTimer):
            self._set_timer(action.delay_ms / 1000.0, TimerExpired(action.token))
        elif isinstance(action, PollEndpointList):
            self.on_poll_requested()
        elif isinstance(action, CloseIdleConnections):
            self.on_close_idle(action.endpoint)
        elif (seat := self.pending_messages.get(action.id)) is None:
            self.telemetry.check_invariant(False, "actions_are_about_held_messages")
        elif isinstance(action, CancelAttempt):
            if seat.attempt_task is not None and seat.attempt_number == action.attempt:
                seat.attempt_task.cancel()
        else:
            seat.set_decision(action)

    def _set_timer(self, delay_s: float, event: Event) -> None:
        asyncio.get_running_loop().call_later(delay_s, self.notify, event)
