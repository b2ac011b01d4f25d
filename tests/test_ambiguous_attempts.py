"""Attempts whose outcome is ambiguous: the end of their deduplication window, and their record across restarts."""

from __future__ import annotations

import asyncio
from pathlib import Path

import pytest
from conftest import CLASSES, SETTINGS

from kestreltrack.decision import Outcome, Policy
from kestreltrack.discovery import EndpointList
from kestreltrack.journal import Journal
from kestreltrack.ports import (
    Attempt,
    AttemptResult,
    EndpointListUpdate,
    ListedEndpoint,
    Message,
    StatusNotification,
)
from kestreltrack.sender.delivery import Core
from kestreltrack.sender.dispatcher import Dispatcher
from kestreltrack.telemetry import Telemetry

WINDOW_MS = CLASSES["keyed"].deduplication_window_ms


class Clock:
    """A clock that the test advances."""

    now = 1_000_000.0

    def __call__(self) -> float:
        return self.now


class SlowConnectTransport:
    """Each attempt fails after its first byte; the second one takes `connect_ms` to connect."""

    def __init__(self, clock: Clock, connect_ms: float) -> None:
        self.clock = clock
        self.connect_ms = connect_ms
        self.send_count = 0
        self.started_at_ms = list[float]()

    async def send(self, attempt: Attempt) -> AttemptResult:
        self.send_count += 1
        if self.send_count == 2:
            self.clock.now += self.connect_ms
        if not attempt.begin():
            return AttemptResult(Outcome.NOT_SENT)
        self.started_at_ms.append(self.clock.now)
        return AttemptResult(Outcome.ERROR)

    def close_idle(self, uid: str) -> None:
        """Do nothing: no connection is idle."""


class AcceptingNotifier:
    """Accepts every notification."""

    async def notify(self, notification: StatusNotification) -> None:
        """Accept the notification."""


@pytest.mark.parametrize(("connect_ms", "begins"), [(100.0, True), (WINDOW_MS, False)])
def test_attempt_that_connects_after_its_deduplication_window_is_blocked(
    tmp_path: Path, connect_ms: float, begins: bool
) -> None:
    # Without the check the destination executed a message twice: the attempt was decided 0.55 s before the end of the
    # window, and its connection took 1 s (scenario terminal, seed 6).
    async def scenario() -> SlowConnectTransport:
        clock = Clock()
        telemetry = Telemetry()
        transport = SlowConnectTransport(clock, connect_ms)
        dispatcher = Dispatcher(Policy(SETTINGS, 1), clock, telemetry)
        core = Core(
            dispatcher,
            SETTINGS,
            Journal(tmp_path, 10**6, telemetry),
            EndpointList(),
            transport,
            AcceptingNotifier(),
            telemetry,
        )
        dispatcher.notify(
            core.endpoint_list.apply(
                EndpointListUpdate(1, True, (ListedEndpoint("n1", "127.0.0.1:1", 1, "plain"),))
            )
        )
        await core.submit(Message("m1", "keyed", 1, clock.now + 15_000.0, idempotency_key="k"))
        while transport.send_count < 2:
            clock.now += 10.0
            await asyncio.sleep(0.001)
        await asyncio.sleep(0.02)
        assert telemetry.counters["delivery.attempts_blocked"] == (not begins)
        await core.abandon()
        return transport

    started_at_ms = asyncio.run(asyncio.wait_for(scenario(), 20.0)).started_at_ms
    assert len(started_at_ms) == 1 + begins and started_at_ms[-1] < started_at_ms[0] + WINDOW_MS


class UnreachableTransport:
    """No connection can be opened, so that no attempt begins."""

    def __init__(self) -> None:
        self.send_count = 0

    async def send(self, attempt: Attempt) -> AttemptResult:
        self.send_count += 1
        return AttemptResult(Outcome.UNREACHABLE)

    def close_idle(self, uid: str) -> None:
        """Do nothing: no connection is idle."""


def test_attempt_that_never_began_leaves_one_in_flight_at_a_crash_ambiguous(tmp_path: Path) -> None:
    # A message in flight when its sender was killed was handed back as not executed, because the attempts of the next
    # process did not reach the endpoint (scenario terminal-hard, seed 7).
    async def scenario() -> None:
        clock = Clock()
        telemetry = Telemetry()
        transport = UnreachableTransport()
        first = Journal(tmp_path, 10**6, telemetry)
        outstanding = first.record_accepted(
            Message("m1", "keyed", 1, clock.now + 15_000.0, idempotency_key="k")
        )
        first.record_attempt(outstanding, clock.now, "a")
        first.close()  # the process ends with the attempt in flight
        journal = Journal(tmp_path, 10**6, telemetry)
        dispatcher = Dispatcher(Policy(SETTINGS, 1), clock, telemetry)
        core = Core(dispatcher, SETTINGS, journal, EndpointList(), transport, AcceptingNotifier(), telemetry)
        dispatcher.notify(
            core.endpoint_list.apply(
                EndpointListUpdate(1, True, (ListedEndpoint("n1", "127.0.0.1:1", 1, "plain"),))
            )
        )
        began_at_ms = clock.now
        core.recover()
        while transport.send_count < 2:
            clock.now += 10.0
            await asyncio.sleep(0.001)
        await core.abandon()
        journal.close()
        ambiguous = Journal(tmp_path, 10**6, telemetry).outstanding["m1"].first_ambiguous()
        assert ambiguous is not None and ambiguous.at == began_at_ms

    asyncio.run(asyncio.wait_for(scenario(), 20.0))
