"""The desk: the module learns of each event at once and decides about several together."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable, Sequence

from conftest import SETTINGS, entry

from kestreltrack.decision import Action, EndpointsUpdated, MessageArrived, Policy, StartAttempt
from kestreltrack.sender.dispatcher import Dispatcher, PendingMessage
from kestreltrack.telemetry import Telemetry


class Counting(Policy):
    """Counts its decisions; fails on request."""

    decisions, fails = 0, False

    def decide(self, now: float) -> Sequence[Action]:
        self.decisions += 1
        if self.fails:
            raise ValueError("on request")
        return super().decide(now)


def run(story: Callable[[Dispatcher, Counting], Awaitable[None]]) -> None:
    async def go() -> None:
        policy, loop = Counting(SETTINGS, 1), asyncio.get_running_loop()
        desk = Dispatcher(policy, lambda: loop.time() * 1000.0, Telemetry())
        desk.notify(EndpointsUpdated([entry(1)], complete=True))
        await desk.wait_for_decision()
        await asyncio.wait_for(story(desk, policy), 20.0)

    asyncio.run(go())


def arrived(desk: Dispatcher, id_: str) -> MessageArrived:
    return MessageArrived(id_, 1, "safe", desk.clock() + 10_000.0)


def test_a_burst_is_decided_once() -> None:
    async def story(desk: Dispatcher, policy: Counting) -> None:
        before = policy.decisions
        seats = [PendingMessage(desk, f"m{i}") for i in range(4)]
        for i in range(4):
            desk.notify(arrived(desk, f"m{i}"))
        assert len(policy.messages) == 4, "learned of at once"
        await desk.wait_for_decision()
        assert policy.decisions == before + 1
        assert all([isinstance(await seat.next_decision(), StartAttempt) for seat in seats])

    run(story)


def test_a_faulty_decision_is_made_again() -> None:
    async def story(desk: Dispatcher, policy: Counting) -> None:
        policy.fails, seat = True, PendingMessage(desk, "m1")
        desk.notify(arrived(desk, "m1"))
        await desk.wait_for_decision()
        policy.fails = False
        assert isinstance(await seat.next_decision(), StartAttempt)
        assert desk.telemetry.counters["decision.fault"] == 1

    run(story)


def test_a_withdrawn_message_takes_no_order() -> None:
    async def story(desk: Dispatcher, policy: Counting) -> None:
        seat = PendingMessage(desk, "m1")
        desk.notify(arrived(desk, "m1"))
        seat.withdraw()
        await desk.wait_for_decision()
        assert await seat.next_decision() is None

    run(story)
