"""What may have run: its window ends while a claim waits for its connection; a restart forgets none of it."""

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
    """Moved by hand."""

    now = 1_000_000.0

    def __call__(self) -> float:
        return self.now


class Slow:
    """Every claim fails after its first byte; before that the second one's connection takes its time."""

    def __init__(self, clock: Clock, takes_ms: float) -> None:
        self.clock, self.takes_ms, self.asked, self.went = clock, takes_ms, 0, list[float]()

    async def send(self, claim: Attempt) -> AttemptResult:
        self.asked += 1
        if self.asked == 2:
            self.clock.now += self.takes_ms
        if not claim.begin():
            return AttemptResult(Outcome.NOT_SENT)
        self.went.append(self.clock.now)
        return AttemptResult(Outcome.ERROR)

    def close_idle(self, uid: str) -> None:
        """Nothing is kept."""


class Board:
    """Takes every notice."""

    async def notify(self, notice: StatusNotification) -> None:
        """Told."""


@pytest.mark.parametrize(("takes_ms", "goes"), [(100.0, True), (WINDOW_MS, False)])
def test_a_claim_whose_connection_outlasts_the_window_of_its_key_is_held_back(
    tmp_path: Path, takes_ms: float, goes: bool
) -> None:
    # terminal, seed 6: decided 0.55 s before the window's end, the connection took 1 s, and the partner ran it twice.
    async def story() -> Slow:
        clock, telemetry = Clock(), Telemetry()
        transport, desk = Slow(clock, takes_ms), Dispatcher(Policy(SETTINGS, 1), clock, telemetry)
        core = Core(
            desk, SETTINGS, Journal(tmp_path, 10**6, telemetry), EndpointList(), transport, Board(), telemetry
        )
        desk.notify(
            core.endpoint_list.apply(
                EndpointListUpdate(1, True, (ListedEndpoint("n1", "127.0.0.1:1", 1, "plain"),))
            )
        )
        await core.submit(Message("m1", "keyed", 1, clock.now + 15_000.0, idempotency_key="k"))
        while transport.asked < 2:
            clock.now += 10.0
            await asyncio.sleep(0.001)
        await asyncio.sleep(0.02)
        assert telemetry.counters["delivery.attempts_blocked"] == (not goes)
        await core.abandon()
        return transport

    went = asyncio.run(asyncio.wait_for(story(), 20.0)).went
    assert len(went) == 1 + goes and went[-1] < went[0] + WINDOW_MS


class Unreachable:
    """No connection comes up: no claim begins."""

    def __init__(self) -> None:
        self.asked = 0

    async def send(self, claim: Attempt) -> AttemptResult:
        self.asked += 1
        return AttemptResult(Outcome.UNREACHABLE)

    def close_idle(self, uid: str) -> None:
        """Nothing is kept."""


def test_a_claim_that_never_began_takes_no_doubt_off_one_that_was_out_at_a_death(tmp_path: Path) -> None:
    # terminal-hard, seed 7: out at its sender's death, then not to be reached, then handed back as never run.
    async def story() -> None:
        clock, telemetry, transport = Clock(), Telemetry(), Unreachable()
        first = Journal(tmp_path, 10**6, telemetry)
        held = first.record_accepted(Message("m1", "keyed", 1, clock.now + 15_000.0, idempotency_key="k"))
        first.record_attempt(held, clock.now, "a")
        first.close()  # and the process dies with the claim out
        journal, desk = Journal(tmp_path, 10**6, telemetry), Dispatcher(Policy(SETTINGS, 1), clock, telemetry)
        core = Core(desk, SETTINGS, journal, EndpointList(), transport, Board(), telemetry)
        desk.notify(
            core.endpoint_list.apply(
                EndpointListUpdate(1, True, (ListedEndpoint("n1", "127.0.0.1:1", 1, "plain"),))
            )
        )
        began = clock.now
        core.recover()
        while transport.asked < 2:
            clock.now += 10.0
            await asyncio.sleep(0.001)
        await core.abandon()
        journal.close()
        doubt = Journal(tmp_path, 10**6, telemetry).outstanding["m1"].first_ambiguous()
        assert doubt is not None and doubt.at == began

    asyncio.run(asyncio.wait_for(story(), 20.0))
