"""The desk: the module learns of each event at once and decides about several together."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable, Sequence

from conftest import SETTINGS, entry

from kestreltrack.decision import Policy, api
from kestreltrack.sender.desk import Desk, Seat
from kestreltrack.telemetry import Telemetry


class Counting(Policy):
    """Counts its decisions; fails on request."""

    decisions, fails = 0, False

    def decide(self, now: float) -> Sequence[api.Action]:
        self.decisions += 1
        if self.fails:
            raise ValueError("on request")
        return super().decide(now)


def run(story: Callable[[Desk, Counting], Awaitable[None]]) -> None:
    async def go() -> None:
        policy, loop = Counting(SETTINGS, 1), asyncio.get_running_loop()
        desk = Desk(policy, lambda: loop.time() * 1000.0, Telemetry())
        desk.tell(api.ListNews([entry(1)], whole=True))
        await desk.decided()
        await asyncio.wait_for(story(desk, policy), 20.0)

    asyncio.run(go())


def arrived(desk: Desk, id_: str) -> api.Arrived:
    return api.Arrived(id_, 1, "safe", desk.clock() + 10_000.0)


def test_a_burst_is_decided_once() -> None:
    async def story(desk: Desk, policy: Counting) -> None:
        before = policy.decisions
        seats = [Seat(desk, f"m{i}") for i in range(4)]
        for i in range(4):
            desk.tell(arrived(desk, f"m{i}"))
        assert len(policy.messages) == 4, "learned of at once"
        await desk.decided()
        assert policy.decisions == before + 1
        assert all([isinstance(await seat.next_order(), api.Send) for seat in seats])

    run(story)


def test_a_faulty_decision_is_made_again() -> None:
    async def story(desk: Desk, policy: Counting) -> None:
        policy.fails, seat = True, Seat(desk, "m1")
        desk.tell(arrived(desk, "m1"))
        await desk.decided()
        policy.fails = False
        assert isinstance(await seat.next_order(), api.Send)
        assert desk.telemetry.counters["module.fault"] == 1

    run(story)


def test_a_withdrawn_message_takes_no_order() -> None:
    async def story(desk: Desk, policy: Counting) -> None:
        seat = Seat(desk, "m1")
        desk.tell(arrived(desk, "m1"))
        seat.withdraw()
        await desk.decided()
        assert await seat.next_order() is None

    run(story)
