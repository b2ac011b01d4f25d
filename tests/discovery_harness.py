"""Harness for senders that follow a discovery service in virtual time, over connections with injected faults."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import replace

from conftest import SETTINGS

from kestreltrack import http1
from kestreltrack.decision import Settings
from kestreltrack.http1 import BodyReceiver, ConnectionBrokenError, HttpResponse, TruncatedResponseError
from kestreltrack.testing.emulator.discovery import (
    DiscoveryConnection,
    DiscoveryServer,
    ListFollower,
)
from kestreltrack.testing.emulator.virtual_time import run_in_virtual_time
from kestreltrack.testing.fakes.http import pass_body

# Below the required 6 s, to leave a margin for a loaded service.
CHANGE_LATENCY_S = 5.7


class FaultyConnection(DiscoveryConnection):
    """Injects one of `faults` into each of its next calls, then works normally.

    Attributes:
        faults: The faults that have not been injected yet; an empty string stands for a normal call.
        calls: The time in seconds and the request target of each call.
    """

    def __init__(self, discovery: DiscoveryServer, *faults: str) -> None:
        super().__init__(discovery)
        self.faults = list(faults)
        self.calls = list[tuple[float, str]]()

    async def exchange(
        self,
        method: str,
        target: str,
        timeout_s: float,
        body: bytes = b"",
        receiver: BodyReceiver | None = None,
    ) -> HttpResponse:
        self.calls.append((asyncio.get_running_loop().time(), target))
        fault = self.faults.pop(0) if self.faults else ""
        if fault == "503":
            return pass_body(receiver, 503, b"")
        if fault == "malformed":
            return pass_body(receiver, 200, b'{"rev": 99, "all": true, "targets": [{"ui')
        if fault == "hang":
            await asyncio.sleep(timeout_s)
            raise TimeoutError
        if fault == "body timeout":
            await asyncio.sleep(http1.client.BODY_TIMEOUT_S)
        if fault:
            raise {"refused": ConnectionRefusedError("refused"), "reset": ConnectionBrokenError("reset")}.get(
                fault, TruncatedResponseError(fault)
            )
        return await super().exchange(method, target, timeout_s, body, receiver)


def fleet_settings(sender_count: int = 200, pushed: bool = False) -> Settings:
    safety = replace(SETTINGS.safety, drain_grace_ms=500)
    return replace(SETTINGS, sender_count=sender_count, must_poll=not pushed, safety=safety)


async def start_followers(
    discovery: DiscoveryServer, count: int, config: Settings
) -> list[tuple[ListFollower, FaultyConnection]]:
    """Start senders and return them once a change, which they all received, has synchronized their long polls."""
    followers = []
    for seed in range(count):
        connection = FaultyConnection(discovery)
        follower = ListFollower(config, connection, seed)
        follower.start()
        followers.append((follower, connection))
    await asyncio.sleep(5.0)
    discovery.publish_change()
    await asyncio.sleep(2.0)
    assert all(follower.received_at(discovery.revision) < float("inf") for follower, _ in followers)
    return followers


def run_scenario(scenario: Callable[[], Awaitable[None]]) -> None:
    """Run a scenario in virtual time, and cancel the tasks that it leaves running."""

    async def run() -> None:
        await scenario()
        remaining = asyncio.all_tasks() - {asyncio.current_task()}
        for task in remaining:
            task.cancel()
        await asyncio.gather(*remaining, return_exceptions=True)

    run_in_virtual_time(run())
