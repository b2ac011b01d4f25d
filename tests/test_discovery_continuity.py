"""A sender never stops following its endpoint source, whatever ends, fails or is lost; in virtual time."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from dataclasses import replace
from itertools import pairwise
from typing import Any

import pytest
from discovery_rig import CHANGE_LATENCY_S, fleet_settings, run_story, start_followers

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
    """Yields its list and then ends as `how` says, each time it is followed; `start_times` holds when that was."""

    def __init__(self, how: str, size: int = 1) -> None:
        self.how = how
        self.start_times = list[float]()
        row = parse_endpoint(ENDPOINT_ROW)
        self.update = EndpointListUpdate(1, True, tuple(replace(row, uid=f"n{n}") for n in range(size)))

    async def follow(self) -> AsyncIterator[EndpointListUpdate]:
        self.start_times.append(asyncio.get_running_loop().time())
        if self.how != "ends at once":
            yield self.update
        if self.how == "fails":
            raise DiscoveryError("on request")
        if self.how == "raises":
            raise ValueError("on request")
        if self.how == "cancelled":
            raise asyncio.CancelledError
        if self.how == "waits":
            await asyncio.sleep(1000.0)
        if self.how == "fails later":  # with chunks still queued
            await asyncio.sleep(0.001)
            raise DiscoveryError("on request")


@pytest.mark.parametrize("switched", [False, True], ids=["alone", "behind the switch"])
@pytest.mark.parametrize("pushed", [False, True], ids=["polled", "pushed"])
@pytest.mark.parametrize("how", ["ends", "ends at once", "fails", "fails later", "raises", "cancelled"])
def test_source_is_followed_again_however_it_ends(how: str, pushed: bool, switched: bool) -> None:
    async def story() -> None:
        source = EndingSource(how, size=2000 if how == "fails later" else 1)
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
            "again and again, with a pause"
        )
        gaps = [b - a for a, b in pairwise(source.start_times)]
        assert max(gaps) < (0.1 if pushed else 2.2), "at the request of the policy, long before its next poll"

    run_story(story)


class LossyPolicy:
    """Stands in for the policy, and loses one type of event or action."""

    def __init__(self, policy: Any, loses: type, fails: bool) -> None:
        self.policy = policy
        self.loses = loses
        self.fails = fails

    def handle(self, now: float, event: Event) -> None:
        if isinstance(event, self.loses):
            if self.fails:
                raise RuntimeError("on request")
            return
        self.policy.handle(now, event)

    def decide(self, now: float) -> list[Action]:
        return [action for action in self.policy.decide(now) if not isinstance(action, self.loses)]


@pytest.mark.parametrize("fails", [False, True], ids=["lost", "fault"])
@pytest.mark.parametrize("loses", [DiscoveryFailed, PollEndpointList, EndpointsUpdated])
def test_polling_continues_whichever_event_or_action_is_lost(loses: type, fails: bool) -> None:
    async def story() -> None:
        loop = asyncio.get_running_loop()
        discovery = DiscoveryServer()
        (follower, connection), *_ = await start_followers(discovery, 1, fleet_settings(3))
        follower.dispatcher.decider = LossyPolicy(follower.policy, loses, fails)  # type: ignore[assignment]
        discovery.set_state("503")
        await asyncio.sleep(20.0)
        discovery.publish_change()
        back_at = loop.time()
        discovery.set_state("up")
        await asyncio.sleep(30.0)
        assert follower.received_at(discovery.revision) - back_at <= CHANGE_LATENCY_S
        assert len(connection.calls) < 120
        assert fails or not follower.telemetry.counters["decision.fault"], "nothing else was lost"

    run_story(story)


@pytest.mark.parametrize("method", ["update_queue.enqueue", "apply_next_chunk", "transport.close_idle"])
def test_update_that_could_not_be_applied_is_received_again(method: str, monkeypatch: Any) -> None:
    # A revision that was stored before its update was applied would lose the change for good.
    async def story() -> None:
        discovery = DiscoveryServer()
        (follower, connection), *_ = await start_followers(discovery, 1, fleet_settings(3))
        owner, _, name = method.rpartition(".")
        updates = follower.core.endpoint_updates
        target: Any = getattr(updates, owner) if owner else updates
        original = getattr(target, name)
        faults = ["one"]

        def faulty(*args: Any) -> Any:
            if faults:
                faults.clear()
                raise RuntimeError("on request")
            return original(*args)

        monkeypatch.setattr(type(target), name, lambda self, *args: faulty(*args), raising=False)
        enqueue = updates.update_queue.enqueue
        if name == "close_idle":  # as if an endpoint had been removed
            monkeypatch.setattr(updates.update_queue, "enqueue", lambda update: enqueue(update) | {"n"})
        discovery.publish_change()
        await asyncio.sleep(10.0)
        assert (
            not faults and [path for _, path in connection.calls].count("/api/targets?from=2&hold_ms=1") == 1
        )
        assert follower.core.endpoint_list.revision == discovery.revision == follower.received[-1][1]

    run_story(story)


@pytest.mark.parametrize("size", [1, 300], ids=["small", "in chunks"])
def test_unchanged_list_ends_the_polling(size: int) -> None:
    # Nothing in it is new, so the policy received no event: it went on polling beside the open long poll.
    async def story() -> None:
        source = EndingSource("waits", size)
        follower = ListFollower(fleet_settings(3), DiscoveryConnection(DiscoveryServer()), source=source)
        follower.dispatcher.notify(follower.core.endpoint_list.apply(source.update, cached=True))
        follower.start()
        await asyncio.sleep(1.0)
        assert len(source.start_times) == 1 and follower.policy.subscribed

    run_story(story)


def test_cancellation_ends_the_following() -> None:
    async def story() -> None:
        (follower, _), *_ = await start_followers(DiscoveryServer(), 1, fleet_settings(3))
        await follower.stop()
        assert follower.task and follower.task.cancelled()

    run_story(story)
