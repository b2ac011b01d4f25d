"""Sender processes probing a destination that is down: turns among the senders, and notification of all of them."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Awaitable, Callable
from pathlib import Path
from signal import SIGCONT, SIGKILL, SIGSTOP, SIGTERM

from scenario import SETTINGS

from kestreltrack.fleet.outage_probing.wire import coordinator_of
from kestreltrack.testing.fakes.destinations import FakeDestination
from kestreltrack.testing.harness.fleet import Fleet
from kestreltrack.testing.harness.links import LinkFault

SENDER_COUNT = 4
SETTINGS_WITH_SHORT_TIMES = SETTINGS | {
    "balancers": SENDER_COUNT,
    "safety": SETTINGS["safety"] | {"tipAfterMs": 1000.0, "warmAfterMs": 2000.0},
}
QUOTA_SHARING = {"KESTRELTRACK_FLEET_LEND": "true"}


class OutageFleet(Fleet):
    """Four senders, of which three receive messages for one destination, which `start_outage` takes down."""

    def __init__(self, folder: Path, etcd: bool = False) -> None:
        self.destination = FakeDestination(1, service_time_ms=20.0, rate_limit=20.0)
        super().__init__(
            folder,
            SETTINGS_WITH_SHORT_TIMES,
            SENDER_COUNT,
            destinations=[self.destination],
            extra_variables=QUOTA_SHARING,
            etcd=etcd,
        )
        self.coordinator = coordinator_of(1, self.names)
        others = [name for name in self.names if name != self.coordinator]
        self.idle = others[0]
        self.busy = [*others[1:], self.coordinator]
        self._load = list[asyncio.Task[None]]()
        # Turns taken by processes that have ended.
        self.turns_of_ended_processes = 0

    def start_load(self, rate: float = 3.0) -> None:
        """Send messages for the destination for up to two minutes."""

        def draw(rng: random.Random) -> tuple[int, str]:
            return 1, "keyed"

        self._load = [
            asyncio.create_task(self.load_generators[name].run(rate, 120.0, draw)) for name in self.busy
        ]

    async def start_outage(self) -> None:
        """Make the destination fail all requests; return once all senders are notified."""
        self.destination.fault.failure_rate = 1.0
        for name in self.names:
            await self.wait_until(
                lambda n=name: bool(self.log_records(n, "destination_health", up=False)),  # type: ignore[misc]
                f"{name} is notified of the outage",
            )

    def turn_count(self) -> int:
        return self.turns_of_ended_processes + sum(
            len(self.log_records(name, "trial_call")) for name in self.names
        )

    def call_count(self) -> int:
        return len(self.endpoints["p1"].calls)

    async def wait_for_turns(self, count: int, names: list[str] | None = None) -> None:
        before = {name: len(self.log_records(name, "trial_call")) for name in names or self.names}

        def reached() -> bool:
            return sum(len(self.log_records(name, "trial_call")) - n for name, n in before.items()) >= count

        await self.wait_until(reached, f"{count} more turns")

    async def assert_calls_have_turns(self, count: int, names: list[str] | None = None) -> None:
        """Wait for turns and assert at most one call per turn, plus one call of each sender that is notified late."""
        calls_before = self.call_count()
        turns_before = self.turn_count()
        await self.wait_for_turns(count, names)
        assert self.call_count() - calls_before <= self.turn_count() - turns_before + SENDER_COUNT

    async def end_outage(self) -> None:
        """Restore the destination; return once all senders are notified and messages are delivered again."""
        known = {name: len(self.log_records(name, "destination_health", up=True)) for name in self.names}
        self.destination.recover()
        for name in self.names:
            await self.wait_until(
                lambda n=name: len(self.log_records(n, "destination_health", up=True)) > known[n],  # type: ignore[misc]
                f"{name} is notified of the recovery",
            )
        delivered = len(self.endpoints["p1"].delivered)
        await self.wait_until(
            lambda: len(self.endpoints["p1"].delivered) > delivered + 5, "messages are delivered again"
        )

    async def close(self) -> None:
        for task in self._load:
            task.cancel()
        await super().close()


def run_fleet(folder: Path, scenario: Callable[[OutageFleet], Awaitable[None]], etcd: bool = False) -> None:
    async def run() -> None:
        async with OutageFleet(folder, etcd) as fleet:
            await fleet.wait_for_membership(fleet.names)
            fleet.start_load()
            await fleet.wait_until(
                lambda: len(fleet.endpoints["p1"].delivered) > 10, "messages are delivered"
            )
            await fleet.start_outage()
            await scenario(fleet)

    asyncio.run(run())


def test_each_call_during_an_outage_has_a_turn_and_all_senders_are_notified_of_the_recovery(
    tmp_path: Path,
) -> None:
    async def scenario(fleet: OutageFleet) -> None:
        await fleet.assert_calls_have_turns(6)
        turn_holders = {name for name in fleet.names if fleet.log_records(name, "trial_call")}
        assert len(turn_holders) > 1, "turns alternate among the senders that have messages"
        assert fleet.idle not in turn_holders, "a sender without messages has no turn"
        await fleet.end_outage()
        assert fleet.log_records(fleet.idle, "destination_health", up=True), (
            "a sender that has never called the destination is notified, too"
        )

    run_fleet(tmp_path, scenario)


def test_turns_continue_when_the_coordinator_is_paused_or_killed(tmp_path: Path) -> None:
    async def scenario(fleet: OutageFleet) -> None:
        others = [name for name in fleet.names if name != fleet.coordinator]
        await fleet.signal([fleet.coordinator], SIGSTOP)
        await fleet.wait_for_turns(2, others)
        await fleet.signal([fleet.coordinator], SIGCONT)
        await fleet.wait_for_membership(fleet.names)
        await fleet.signal([fleet.coordinator], SIGKILL)
        await fleet.wait_for_membership(others)
        await fleet.assert_calls_have_turns(5, others)
        await fleet.start(fleet.coordinator)
        await fleet.wait_for_membership(fleet.names)
        await fleet.wait_for_turns(2)
        fleet.destination.recover()
        for name in others:
            await fleet.wait_until(
                lambda n=name: bool(fleet.log_records(n, "destination_health", up=True)),  # type: ignore[misc]
                f"{name} is notified of the recovery",
            )

    run_fleet(tmp_path, scenario)


def test_both_sides_of_a_partition_probe_and_are_notified_of_the_recovery(tmp_path: Path) -> None:
    async def scenario(fleet: OutageFleet) -> None:
        fleet.links.inject("zone:a", "zone:b", LinkFault(cut=True))
        sides = [[n for n in fleet.names if fleet.zone_of[n] == zone] for zone in ("a", "b")]
        for side in sides:
            await fleet.wait_for_membership(side)
        for side in sides:
            await fleet.wait_for_turns(1, side)
        await fleet.assert_calls_have_turns(5)
        fleet.links.heal()
        await fleet.wait_for_membership(fleet.names)
        await fleet.end_outage()

    run_fleet(tmp_path, scenario)


def test_sender_that_cannot_reach_the_destination_does_not_stop_the_others(tmp_path: Path) -> None:
    async def run() -> None:
        async with OutageFleet(tmp_path) as fleet:
            await fleet.wait_for_membership(fleet.names)
            fleet.start_load()
            await fleet.wait_until(
                lambda: len(fleet.endpoints["p1"].delivered) > 10, "messages are delivered"
            )
            cut_off = fleet.busy[0]
            fleet.links.inject(cut_off, "p1", LinkFault(reset=True))
            await fleet.wait_until(
                lambda: len(fleet.log_records(cut_off, "attempt", outcome="broken")) > 6,
                f"{cut_off} has failed calls",
            )
            delivered = fleet.endpoints["p1"].delivered
            count_before = len(delivered)
            await fleet.wait_until(
                lambda: len(delivered) > count_before + 20, "the other senders deliver messages"
            )
            fleet.links.heal(cut_off, "p1")
            before = [m for m in fleet.endpoints["p1"].delivered if m.startswith(cut_off)]
            await fleet.wait_until(
                lambda: (
                    len([m for m in fleet.endpoints["p1"].delivered if m.startswith(cut_off)]) > len(before)
                ),
                f"{cut_off} delivers messages again",
            )

    asyncio.run(run())


def test_members_found_in_etcd_continue_to_cooperate_while_etcd_is_unreachable(tmp_path: Path) -> None:
    async def scenario(fleet: OutageFleet) -> None:
        fleet.links.inject("senders", "etcd", LinkFault(cut=True))
        await fleet.wait_for_turns(2)
        others = [name for name in fleet.names if name != fleet.coordinator]
        await fleet.signal([fleet.coordinator], SIGKILL)
        await fleet.wait_for_membership(others)
        await fleet.assert_calls_have_turns(4, others)
        fleet.destination.recover()
        for name in others:
            await fleet.wait_until(
                lambda n=name: bool(fleet.log_records(n, "destination_health", up=True)),  # type: ignore[misc]
                f"{name} is notified of the recovery",
            )

    run_fleet(tmp_path, scenario, etcd=True)


def test_successor_process_detects_the_outage_itself_and_then_takes_turns(tmp_path: Path) -> None:
    async def scenario(fleet: OutageFleet) -> None:
        name = next(n for n in fleet.busy if n != fleet.coordinator)
        calls_before = fleet.call_count()
        turns_before = fleet.turn_count()
        await fleet.start_successor(name)
        old = fleet.previous_processes[name]
        await old.signal(SIGTERM)
        await fleet.wait_ended(old)
        await fleet.wait_for_membership(fleet.names)
        await fleet.wait_for_turns(3)
        fleet.turns_of_ended_processes = len(
            [line for line in old.log_records if line["event"] == "trial_call"]
        )
        # Until the successor is a member it is not notified of the outage, and may use its whole concurrency limit.
        max_calls_before_membership = int(SETTINGS_WITH_SHORT_TIMES["domain"]["slots"])
        max_calls_without_turn = SENDER_COUNT + max_calls_before_membership
        assert fleet.call_count() - calls_before <= fleet.turn_count() - turns_before + max_calls_without_turn
        assert fleet.log_records(name, "destination_health", up=False) or fleet.log_records(
            name, "trial_call"
        )
        await fleet.assert_calls_have_turns(5)
        await fleet.end_outage()

    run_fleet(tmp_path, scenario)
