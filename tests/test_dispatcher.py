"""The dispatcher passes on each event at once, and the decision module decides about several events together."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable, Sequence

from conftest import SETTINGS, entry

from kestreltrack.decision import Action, EndpointsUpdated, MessageArrived, Policy, StartAttempt
from kestreltrack.sender.dispatcher import Dispatcher, PendingMessage
from kestreltrack.telemetry import Telemetry


class CountingPolicy(Policy):
    """Counts its decisions, and raises an exception instead while `fails` is set."""

    decisions = 0
    fails = False

    def decide(self, now: float) -> Sequence[Action]:
        self.decisions += 1
        if self.fails:
            raise ValueError("requested by the test")
        return super().decide(now)


def run_with_dispatcher(scenario: Callable[[Dispatcher, CountingPolicy], Awaitable[None]]) -> None:
    async def run_scenario() -> None:
        loop = asyncio.get_running_loop()
        policy = CountingPolicy(SETTINGS, 1)
        dispatcher = Dispatcher(policy, lambda: loop.time() * 1000.0, Telemetry())
        dispatcher.notify(EndpointsUpdated([entry(1)], complete=True))
        await dispatcher.wait_for_decision()
        await asyncio.wait_for(scenario(dispatcher, policy), 20.0)

    asyncio.run(run_scenario())


def arrival(dispatcher: Dispatcher, message_id: str) -> MessageArrived:
    return MessageArrived(message_id, 1, "safe", dispatcher.clock() + 10_000.0)


def test_simultaneous_events_share_one_decision() -> None:
    async def scenario(dispatcher: Dispatcher, policy: CountingPolicy) -> None:
        before = policy.decisions
        pending_messages = [PendingMessage(dispatcher, f"m{i}") for i in range(4)]
        for i in range(4):
            dispatcher.notify(arrival(dispatcher, f"m{i}"))
        assert len(policy.messages) == 4, "each event is handled at once"
        await dispatcher.wait_for_decision()
        assert policy.decisions == before + 1
        assert all([isinstance(await pending.next_decision(), StartAttempt) for pending in pending_messages])

    run_with_dispatcher(scenario)


def test_failed_decision_is_retried() -> None:
    async def scenario(dispatcher: Dispatcher, policy: CountingPolicy) -> None:
        policy.fails = True
        pending = PendingMessage(dispatcher, "m1")
        dispatcher.notify(arrival(dispatcher, "m1"))
        await dispatcher.wait_for_decision()
        policy.fails = False
        assert isinstance(await pending.next_decision(), StartAttempt)
        assert dispatcher.telemetry.counters["decision.fault"] == 1

    run_with_dispatcher(scenario)


def test_withdrawn_message_receives_no_decision() -> None:
    async def scenario(dispatcher: Dispatcher, policy: CountingPolicy) -> None:
        pending = PendingMessage(dispatcher, "m1")
        dispatcher.notify(arrival(dispatcher, "m1"))
        pending.withdraw()
        await dispatcher.wait_for_decision()
        assert await pending.next_decision() is None

    run_with_dispatcher(scenario)
