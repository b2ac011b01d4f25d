"""A sender keeps following its endpoint source regardless of errors and lost events; in virtual time."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from dataclasses import replace
from itertools import pairwise
from typing import Any

import pytest
from discovery_harness import CHANGE_LATENCY_S, fleet_settings, run_scenario, start_followers

from kestreltrack.decision import Action, DiscoveryFailed, EndpointsUpdated, Event, PollEndpointList
from kestreltrack.discovery.json_format import parse_endpoint
from kestreltrack.discovery.source_switch import SwitchableSource
from kestreltrack.ports import DiscoveryError, EndpointListUpdate
from kestreltrack.testing.emulator.discovery import (
    ENDPOINT_ROW,
    DiscoveryConnection,
    DiscoveryServer,
    ListFollower,
)


class EndingSource:
    """Yields its list and then ends in the given way, each time it is followed.

    Attributes:
        ending: How it ends.
        start_times: When it was followed, in seconds.
        update: The list that it yields.
    """

    def __init__(self, ending: str, size: int = 1) -> None:
        self.ending = ending
        self.start_times = list[float]()
        row = parse_endpoint(ENDPOINT_ROW)
        self.update = EndpointListUpdate(1, True, tuple(replace(row, uid=f"n{n}") for n in range(size)))

    async def follow(self) -> AsyncIterator[EndpointListUpdate]:
        self.start_times.append(asyncio.get_running_loop().time())
        if self.ending != "ends at once":
            yield self.update
        if self.ending == "fails":
            raise DiscoveryError("injected fault")
        if self.ending == "raises":
            raise ValueError("injected fault")
        if self.ending == "cancelled":
            raise asyncio.CancelledError
        if self.ending == "waits":
            await asyncio.sleep(1000.0)
        if self.ending == "fails later":  # with chunks still queued
            await asyncio.sleep(0.001)
            raise DiscoveryError("injected fault")


@pytest.mark.parametrize("switched", [False, True], ids=["direct", "switchable"])
@pytest.mark.parametrize("pushed", [False, True], ids=["polled", "pushed"])
@pytest.mark.parametrize("ending", ["ends", "ends at once", "fails", "fails later", "raises", "cancelled"])
def test_source_is_followed_again_however_it_ends(ending: str, pushed: bool, switched: bool) -> None:
    async def scenario() -> None:
        source = EndingSource(ending, size=2000 if ending == "fails later" else 1)
        config = fleet_settings(3, pushed)
        follower = ListFollower(
            config,
            DiscoveryConnection(DiscoveryServer()),
            source=SwitchableSource(source) if switched else source,
        )
        follower.start()
        await asyncio.sleep(10.0)
        assert follower.task and not follower.task.done()
        assert (60 if pushed else 3) < len(source.start_times) < (510 if pushed else 40), (
            "followed repeatedly, with a pause"
        )
        gaps = [b - a for a, b in pairwise(source.start_times)]
        assert max(gaps) < (0.1 if pushed else 2.2), (
            "followed again when the policy requests it, well before its next regular poll"
        )

    run_scenario(scenario)


class LossyPolicy:
    """Wraps the policy, and drops one type of event or action or fails on one type of event.

    Attributes:
        policy: The wrapped policy.
        dropped_type: The type of event or action.
        fails: Whether an event of that type raises an error instead.
    """

    def __init__(self, policy: Any, dropped_type: type, fails: bool) -> None:
        self.policy = policy
        self.dropped_type = dropped_type
        self.fails = fails

    def handle(self, now: float, event: Event) -> None:
        if isinstance(event, self.dropped_type):
            if self.fails:
                raise RuntimeError("injected fault")
            return
        self.policy.handle(now, event)

    def decide(self, now: float) -> list[Action]:
        return [action for action in self.policy.decide(now) if not isinstance(action, self.dropped_type)]


@pytest.mark.parametrize("fails", [False, True], ids=["dropped", "error"])
@pytest.mark.parametrize("dropped_type", [DiscoveryFailed, PollEndpointList, EndpointsUpdated])
def test_polling_continues_whichever_event_or_action_is_lost(dropped_type: type, fails: bool) -> None:
    async def scenario() -> None:
        loop = asyncio.get_running_loop()
        discovery = DiscoveryServer()
        (follower, connection), *_ = await start_followers(discovery, 1, fleet_settings(3))
        follower.dispatcher.decider = LossyPolicy(follower.policy, dropped_type, fails)  # type: ignore[assignment]
        discovery.set_state("503")
        await asyncio.sleep(20.0)
        discovery.publish_change()
        recovered_at = loop.time()
        discovery.set_state("up")
        await asyncio.sleep(30.0)
        assert follower.received_at(discovery.revision) - recovered_at <= CHANGE_LATENCY_S
        assert len(connection.calls) < 120
        assert fails or not follower.telemetry.counters["decision.fault"], "no other error occurred"

    run_scenario(scenario)


@pytest.mark.parametrize("method", ["update_queue.enqueue", "apply_next_chunk", "transport.close_idle"])
def test_update_that_could_not_be_applied_is_received_again(method: str, monkeypatch: Any) -> None:
    # If the revision were stored before the update is applied, a failed update would never be received again.
    async def scenario() -> None:
        discovery = DiscoveryServer()
        (follower, connection), *_ = await start_followers(discovery, 1, fleet_settings(3))
        attribute, _, name = method.rpartition(".")
        updates = follower.core.endpoint_updates
        target: Any = getattr(updates, attribute) if attribute else updates
        original = getattr(target, name)
        pending_faults = ["once"]

        def fail_once(*args: Any) -> Any:
            if pending_faults:
                pending_faults.clear()
                raise RuntimeError("injected fault")
            return original(*args)

        monkeypatch.setattr(type(target), name, lambda self, *args: fail_once(*args), raising=False)
        enqueue = updates.update_queue.enqueue
        if name == "close_idle":  # called only if an endpoint was removed
            monkeypatch.setattr(updates.update_queue, "enqueue", lambda *args: enqueue(*args) | {"n"})
        discovery.publish_change()
        await asyncio.sleep(10.0)
        assert (
            not pending_faults
            and [path for _, path in connection.calls].count("/api/targets?from=2&hold_ms=1") == 1
        )
        assert follower.core.endpoint_list.revision == discovery.revision == follower.received[-1][1]

    run_scenario(scenario)


@pytest.mark.parametrize("size", [1, 300], ids=["small", "in chunks"])
def test_unchanged_list_ends_the_polling(size: int) -> None:
    # An unchanged list used to cause no event, so the policy continued to poll in addition to the open long poll.
    async def scenario() -> None:
        source = EndingSource("waits", size)
        follower = ListFollower(fleet_settings(3), DiscoveryConnection(DiscoveryServer()), source=source)
        follower.dispatcher.notify(follower.core.endpoint_list.apply(source.update, cached=True))
        follower.start()
        await asyncio.sleep(1.0)
        assert len(source.start_times) == 1 and follower.policy.subscribed

    run_scenario(scenario)


def test_cancellation_ends_the_follower() -> None:
    async def scenario() -> None:
        (follower, _), *_ = await start_followers(DiscoveryServer(), 1, fleet_settings(3))
        await follower.stop()
        assert follower.task and follower.task.cancelled()

    run_scenario(scenario)
