"""Sender processes and a destination that goes down: whose turn it is to probe, and what all are notified of."""

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

COUNT = 4
SETTINGS_WITH_SHORT_TIMES = SETTINGS | {
    "balancers": COUNT,
    "safety": SETTINGS["safety"] | {"tipAfterMs": 1000.0, "warmAfterMs": 2000.0},
}
QUOTA_SHARING = {"KESTRELTRACK_FLEET_LEND": "true"}


class OutageFleet(Fleet):
    """Four senders; three of them receive messages for one destination, which goes down with `start_outage`."""

    def __init__(self, folder: Path, etcd: bool = False) -> None:
        self.destination = FakeDestination(1, service_time_ms=20.0, rate_limit=20.0)
        super().__init__(
            folder,
            SETTINGS_WITH_SHORT_TIMES,
            COUNT,
            destinations=[self.destination],
            extra_variables=QUOTA_SHARING,
            etcd=etcd,
        )
        self.coordinator = coordinator_of(1, self.names)
        others = [name for name in self.names if name != self.coordinator]
        self.idle = others[0]
        self.busy = [*others[1:], self.coordinator]
        self._load = list[asyncio.Task[None]]()
        # Turns of processes that have ended.
        self.turns_before = 0

    def start_load(self, rate: float = 3.0) -> None:
        """Send messages for the destination, for as long as the test may last."""

        def draw(rng: random.Random) -> tuple[int, str]:
            return 1, "keyed"

        self._load = [
            asyncio.create_task(self.load_generators[name].run(rate, 120.0, draw)) for name in self.busy
        ]

    async def start_outage(self) -> None:
        """Answer 500 from now on; return once all senders are notified."""
        self.destination.fault.failure_rate = 1.0
        for name in self.names:
            await self.wait_until(
                lambda n=name: bool(self.log_records(n, "partner", up=False)),  # type: ignore[misc]
                f"{name} is notified of the outage",
            )

    def turn_count(self) -> int:
        return self.turns_before + sum(len(self.log_records(name, "turn")) for name in self.names)

    def call_count(self) -> int:
        return len(self.endpoints["p1"].calls)

    async def wait_for_turns(self, count: int, names: list[str] | None = None) -> None:
        before = {name: len(self.log_records(name, "turn")) for name in names or self.names}

        def reached() -> bool:
            return sum(len(self.log_records(name, "turn")) - n for name, n in before.items()) >= count

        await self.wait_until(reached, f"{count} more turns")

    async def assert_calls_have_turns(self, count: int, names: list[str] | None = None) -> None:
        """Wait for turns, and assert no more calls than turns, but one of each sender that was notified late."""
        calls, turns = self.call_count(), self.turn_count()
        await self.wait_for_turns(count, names)
        assert self.call_count() - calls <= self.turn_count() - turns + COUNT

    async def end_outage(self) -> None:
        """Let the destination work again; return once all senders are notified."""
        known = {name: len(self.log_records(name, "partner", up=True)) for name in self.names}
        self.destination.recover()
        for name in self.names:
            await self.wait_until(
                lambda n=name: len(self.log_records(n, "partner", up=True)) > known[n],  # type: ignore[misc]
                f"{name} is notified of the return",
            )
        delivered = len(self.endpoints["p1"].delivered)
        await self.wait_until(
            lambda: len(self.endpoints["p1"].delivered) > delivered + 5, "that messages get through"
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
                lambda: len(fleet.endpoints["p1"].delivered) > 10, "that messages get through"
            )
            await fleet.start_outage()
            await scenario(fleet)

    asyncio.run(run())


def test_each_call_in_an_outage_has_a_turn_and_all_are_notified_of_the_return(tmp_path: Path) -> None:
    async def scenario(fleet: OutageFleet) -> None:
        await fleet.assert_calls_have_turns(6)
        turn_holders = {name for name in fleet.names if fleet.log_records(name, "turn")}
        assert len(turn_holders) > 1 and fleet.idle not in turn_holders, (
            "turns alternate among the senders that have messages"
        )
        await fleet.end_outage()
        assert fleet.log_records(fleet.idle, "partner", up=True), "also the sender that never called it"

    run_fleet(tmp_path, scenario)


def test_turns_go_on_when_the_coordinator_is_killed_or_paused(tmp_path: Path) -> None:
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
                lambda n=name: bool(fleet.log_records(n, "partner", up=True)),  # type: ignore[misc]
                f"{name} is notified",
            )

    run_fleet(tmp_path, scenario)


def test_both_sides_of_a_partition_probe_and_are_notified_of_the_return(tmp_path: Path) -> None:
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


def test_sender_that_alone_cannot_reach_the_destination_stops_no_other(tmp_path: Path) -> None:
    async def run() -> None:
        async with OutageFleet(tmp_path) as fleet:
            await fleet.wait_for_membership(fleet.names)
            fleet.start_load()
            await fleet.wait_until(
                lambda: len(fleet.endpoints["p1"].delivered) > 10, "that messages get through"
            )
            cut_off = fleet.busy[0]
            fleet.links.inject(cut_off, "p1", LinkFault(reset=True))
            await fleet.wait_until(
                lambda: len(fleet.log_records(cut_off, "claim", outcome="broken")) > 6,
                "an outage for that sender",
            )
            known = fleet.endpoints["p1"].delivered
            delivered = len(known)
            await fleet.wait_until(lambda: len(known) > delivered + 20, "that others deliver")
            fleet.links.heal(cut_off, "p1")
            before = [m for m in fleet.endpoints["p1"].delivered if m.startswith(cut_off)]
            await fleet.wait_until(
                lambda: (
                    len([m for m in fleet.endpoints["p1"].delivered if m.startswith(cut_off)]) > len(before)
                ),
                "that it delivers again",
            )

    asyncio.run(run())


def test_members_found_in_etcd_go_on_together_without_etcd(tmp_path: Path) -> None:
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
                lambda n=name: bool(fleet.log_records(n, "partner", up=True)),  # type: ignore[misc]
                f"{name} is notified",
            )

    run_fleet(tmp_path, scenario, etcd=True)


def test_successor_process_detects_the_outage_itself_and_then_takes_turns(tmp_path: Path) -> None:
    async def scenario(fleet: OutageFleet) -> None:
        name = next(n for n in fleet.busy if n != fleet.coordinator)
        calls, turns = fleet.call_count(), fleet.turn_count()
        await fleet.start_successor(name)
        old = fleet.previous_processes[name]
        await old.signal(SIGTERM)
        await fleet.wait_ended(old)
        await fleet.wait_for_membership(fleet.names)
        await fleet.wait_for_turns(3)
        fleet.turns_before = len([line for line in old.log_records if line["event"] == "turn"])
        alone = int(
            SETTINGS_WITH_SHORT_TIMES["domain"]["slots"]
        )  # its calls in flight before it knows: it is no member yet
        assert fleet.call_count() - calls <= fleet.turn_count() - turns + COUNT + alone
        assert fleet.log_records(name, "partner", up=False) or fleet.log_records(name, "turn")
        await fleet.assert_calls_have_turns(5)
        await fleet.end_outage()

    run_fleet(tmp_path, scenario)
