"""The desk between the tasks that carry messages and the decision module.

It serialises the module's steps and routes its actions to the waiting tasks; it decides nothing.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Sequence
from typing import Protocol

from kestreltrack.decision.api import (
    Action,
    Cancel,
    Event,
    Fail,
    ListNews,
    Refuse,
    Send,
    Subscribe,
    TimerDue,
    Unlink,
    Wake,
)
from kestreltrack.ports import Clock, SharedCall
from kestreltrack.telemetry import Telemetry

Order = Send | Refuse | Fail


class Decider(Protocol):
    """The decision module, or what stands before it and passes everything on."""

    def take(self, now: float, event: Event) -> None:
        """Learn of one event."""

    def decide(self, now: float) -> Sequence[Action]:
        """What to do about all that was taken."""

    def permits(self, now: float, number: int, name: str) -> bool:
        """Whether a send may still go."""


AGAIN_S = 0.05  # until the module is woken after a step that failed
PERIOD_S = 0.005  # between decisions, at least: one for several events costs as much as one for each


class Seat:
    """Where one message waits for what the module decides about it."""

    def __init__(self, desk: Desk, message_id: str) -> None:
        """Take the seat at the desk; it is left with `leave`."""
        self._desk, self._id = desk, message_id
        self._order: asyncio.Future[Order | None] = asyncio.get_running_loop().create_future()
        self.claim: asyncio.Task[object] | None = None  # the claim that is out
        self.attempt = 0  # its number; the next one's where none is out
        self.call: SharedCall | None = None  # of the order given last, where it goes with others
        self.withdrawn = False
        desk.seats[message_id] = self

    def leave(self) -> None:
        """The message is over."""
        self._desk.seats.pop(self._id, None)

    def give(self, order: Order) -> None:
        """The module's next word."""
        if self.withdrawn:
            return  # decided before the module was told
        self._desk.telemetry.must(not self._order.done(), "one_order_at_a_time")
        if not self._order.done():
            self._order.set_result(order)

    def withdraw(self) -> None:
        """The message is nobody's any more: call off the claim that is out, expect no order."""
        self.withdrawn = True
        if self.claim is not None:
            self.claim.cancel()
        if not self._order.done():
            self._order.set_result(None)

    def final(self) -> Refuse | Fail | None:
        """The final answer, where the module gave it in the step just made."""
        order = self._order.result() if self._order.done() else None
        return order if isinstance(order, Refuse | Fail) else None

    async def next_order(self) -> Order | None:
        """Wait for the module's word; `None` once the message is withdrawn."""
        if self.withdrawn and not self._order.done():
            return None
        order = await self._order
        self._order = asyncio.get_running_loop().create_future()
        return order


class Desk:
    """Tells the module of each event on the clock of the moment, and has it decide a few at a time."""

    def __init__(self, decider: Decider, clock: Clock, telemetry: Telemetry) -> None:
        """Whoever serves subscriptions and connections sets `on_subscribe` and `on_unlink`."""
        self.decider, self.clock, self.telemetry = decider, clock, telemetry
        self.seats: dict[str, Seat] = {}
        self._due, self._decided_at, self._turn = False, 0.0, asyncio.Event()
        self._closed = False
        self.on_subscribe: Callable[[], None] = lambda: None
        self.on_unlink: Callable[[str], None] = lambda uid: None
        self.mask: Callable[[ListNews], ListNews] = lambda news: news  # endpoints out by hand stay draining
        self.rules: Callable[[int], bool] = lambda dest: (
            True
        )  # whether what the fleet agreed lets claims begin
        self.batch: Callable[[str], int] | None = None  # messages in a call to an endpoint; none: always one

    def tell(self, event: Event) -> None:
        """The module learns of it now, and decides soon: for all that is told until then together."""
        if isinstance(event, ListNews):
            event = self.mask(event)
        try:
            self.decider.take(self.clock(), event)
        except Exception as bad:  # a fault of the module must not end the process that owes answers
            self.telemetry.trouble("module.fault", error=repr(bad), on=type(event).__name__)
        if not self._due:
            self._due, loop = True, asyncio.get_running_loop()
            loop.call_at(max(loop.time(), self._decided_at + PERIOD_S), self._decide)

    async def decided(self) -> None:
        """Wait until the module has decided about all that it was told so far."""
        await self._turn.wait()

    def close(self) -> None:
        """Decide nothing more: who sat here is gone, and what the module still orders is for the next process."""
        self._closed = True

    def _decide(self) -> None:
        if self._closed:
            return
        self._due, self._decided_at = False, asyncio.get_running_loop().time()
        try:
            actions = self.decider.decide(self.clock())
        except Exception as bad:
            self.telemetry.trouble("module.fault", error=repr(bad), on="decide")
            self._wake(AGAIN_S, TimerDue(0))
            actions = ()
        if self.batch is not None:
            self._share(actions, self.batch)
        for action in actions:
            self._route(action)
        self._turn.set()  # who waits wakes; who comes later waits for the next turn
        self._turn = asyncio.Event()

    def _share(self, actions: Sequence[Action], batch: Callable[[str], int]) -> None:
        """What one decision sends to one endpoint goes in as few calls as it takes: so the module counts them."""
        together: dict[str, list[Seat]] = {}
        for action in actions:
            if isinstance(action, Send) and (seat := self.seats.get(action.id)):
                together.setdefault(action.endpoint, []).append(seat)
        for endpoint, seats in together.items():
            most = batch(endpoint)
            for at in range(0, len(seats), most):
                part = seats[at : at + most]
                call = SharedCall() if len(part) > 1 else None
                for seat in part:
                    seat.call = call

    def permits(self, dest: int, uid: str) -> bool:
        """Ask the module whether a send that had to wait for its connection may still go."""
        return self.rules(dest) and self.decider.permits(self.clock(), dest, uid)

    def _route(self, action: Action) -> None:
        if isinstance(action, Wake):
            self._wake(action.after_ms / 1000.0, TimerDue(action.token))
        elif isinstance(action, Subscribe):
            self.on_subscribe()
        elif isinstance(action, Unlink):
            self.on_unlink(action.endpoint)
        elif (seat := self.seats.get(action.id)) is None:
            self.telemetry.must(False, "actions_are_about_held_messages")
        elif isinstance(action, Cancel):
            if seat.claim is not None and seat.attempt == action.attempt:
                seat.claim.cancel()
        else:
            seat.give(action)

    def _wake(self, after_s: float, event: Event) -> None:
        asyncio.get_running_loop().call_later(after_s, self.tell, event)
