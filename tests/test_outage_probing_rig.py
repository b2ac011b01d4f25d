"""Real senders and a partner that goes out: whose turn it is, what all are told, and what faults do to that."""

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
SHORT = SETTINGS | {
    "balancers": COUNT,
    "safety": SETTINGS["safety"] | {"tipAfterMs": 1000.0, "warmAfterMs": 2000.0},
}
LEND = {"KESTRELTRACK_FLEET_LEND": "true"}


class Scene(Fleet):
    """Four senders; three of them get messages for the one partner, which goes out at `out`."""

    def __init__(self, folder: Path, etcd: bool = False) -> None:
        self.partner = FakeDestination(1, service_time_ms=20.0, rate_limit=20.0)
        super().__init__(folder, SHORT, COUNT, destinations=[self.partner], extra_variables=LEND, etcd=etcd)
        self.keeper = coordinator_of(1, self.names)
        others = [name for name in self.names if name != self.keeper]
        self.idle, self.busy = others[0], [*others[1:], self.keeper]
        self._load = list[asyncio.Task[None]]()
        self.turns_before = 0  # of processes that have ended

    def begin(self, rate: float = 3.0) -> None:
        """Messages for the partner, for as long as the scene may last."""

        def draw(rng: random.Random) -> tuple[int, str]:
            return 1, "keyed"

        self._load = [
            asyncio.create_task(self.load_generators[name].run(rate, 120.0, draw)) for name in self.busy
        ]

    async def out(self) -> None:
        """It answers 500 from now on; returns once all have heard."""
        self.partner.fault.failure_rate = 1.0
        for name in self.names:
            await self.wait_until(
                lambda n=name: bool(self.log_records(n, "partner", up=False)),  # type: ignore[misc]
                f"{name} hears of the outage",
            )

    def turns(self) -> int:
        return self.turns_before + sum(len(self.log_records(name, "turn")) for name in self.names)

    def called(self) -> int:
        return len(self.endpoints["p1"].calls)

    async def more_turns(self, count: int, who: list[str] | None = None) -> None:
        before = {name: len(self.log_records(name, "turn")) for name in who or self.names}

        def enough() -> bool:
            return sum(len(self.log_records(name, "turn")) - n for name, n in before.items()) >= count

        await self.wait_until(enough, f"{count} more turns")

    async def by_turns(self, count: int, who: list[str] | None = None) -> None:
        """So many more turns, and no more calls than turns, but one of each sender that was late to be told."""
        calls, turns = self.called(), self.turns()
        await self.more_turns(count, who)
        assert self.called() - calls <= self.turns() - turns + COUNT

    async def back(self) -> None:
        """It works again; returns once all have heard."""
        known = {name: len(self.log_records(name, "partner", up=True)) for name in self.names}
        self.partner.recover()
        for name in self.names:
            await self.wait_until(
                lambda n=name: len(self.log_records(n, "partner", up=True)) > known[n],  # type: ignore[misc]
                f"{name} hears of its return",
            )
        delivered = len(self.endpoints["p1"].delivered)
        await self.wait_until(
            lambda: len(self.endpoints["p1"].delivered) > delivered + 5, "that messages get through"
        )

    async def close(self) -> None:
        for task in self._load:
            task.cancel()
        await super().close()


def play(folder: Path, scene: Callable[[Scene], Awaitable[None]], etcd: bool = False) -> None:
    async def whole() -> None:
        async with Scene(folder, etcd) as company:
            await company.wait_for_membership(company.names)
            company.begin()
            await company.wait_until(
                lambda: len(company.endpoints["p1"].delivered) > 10, "that messages get through"
            )
            await company.out()
            await scene(company)

    asyncio.run(whole())


def test_each_call_to_a_partner_that_is_out_has_a_turn_and_all_hear_of_its_return(tmp_path: Path) -> None:
    async def scene(company: Scene) -> None:
        await company.by_turns(6)
        holders = {name for name in company.names if company.log_records(name, "turn")}
        assert len(holders) > 1 and company.idle not in holders, (
            "turns go round among those that hold messages"
        )
        await company.back()
        assert company.log_records(company.idle, "partner", up=True), "also who never called it"

    play(tmp_path, scene)


def test_turns_go_on_when_their_keeper_is_killed_or_paused(tmp_path: Path) -> None:
    async def scene(company: Scene) -> None:
        rest = [name for name in company.names if name != company.keeper]
        await company.signal([company.keeper], SIGSTOP)
        await company.more_turns(2, rest)
        await company.signal([company.keeper], SIGCONT)
        await company.wait_for_membership(company.names)
        await company.signal([company.keeper], SIGKILL)
        await company.wait_for_membership(rest)
        await company.by_turns(5, rest)
        await company.start(company.keeper)
        await company.wait_for_membership(company.names)
        await company.more_turns(2)
        company.partner.recover()
        for name in rest:
            await company.wait_until(
                lambda n=name: bool(company.log_records(n, "partner", up=True)),  # type: ignore[misc]
                f"{name} hears",
            )

    play(tmp_path, scene)


def test_both_sides_of_a_cut_try_and_each_hears_of_the_return(tmp_path: Path) -> None:
    async def scene(company: Scene) -> None:
        company.links.inject("zone:a", "zone:b", LinkFault(cut=True))
        sides = [[n for n in company.names if company.zone_of[n] == zone] for zone in ("a", "b")]
        for side in sides:
            await company.wait_for_membership(side)
        for side in sides:
            await company.more_turns(1, side)
        await company.by_turns(5)
        company.links.heal()
        await company.wait_for_membership(company.names)
        await company.back()

    play(tmp_path, scene)


def test_one_that_is_cut_off_from_the_partner_alone_stops_nobody(tmp_path: Path) -> None:
    async def whole() -> None:
        async with Scene(tmp_path) as company:
            await company.wait_for_membership(company.names)
            company.begin()
            await company.wait_until(
                lambda: len(company.endpoints["p1"].delivered) > 10, "that messages get through"
            )
            blind = company.busy[0]
            company.links.inject(blind, "p1", LinkFault(reset=True))
            await company.wait_until(
                lambda: len(company.log_records(blind, "claim", outcome="broken")) > 6, "an outage for it"
            )
            known = company.endpoints["p1"].delivered
            delivered = len(known)
            await company.wait_until(lambda: len(known) > delivered + 20, "that others deliver")
            company.links.heal(blind, "p1")
            before = [m for m in company.endpoints["p1"].delivered if m.startswith(blind)]
            await company.wait_until(
                lambda: (
                    len([m for m in company.endpoints["p1"].delivered if m.startswith(blind)]) > len(before)
                ),
                "that it delivers again",
            )

    asyncio.run(whole())


def test_without_etcd_those_that_found_each_other_in_its_register_go_on_as_one(tmp_path: Path) -> None:
    async def scene(company: Scene) -> None:
        company.links.inject("senders", "etcd", LinkFault(cut=True))
        await company.more_turns(2)
        rest = [name for name in company.names if name != company.keeper]
        await company.signal([company.keeper], SIGKILL)
        await company.wait_for_membership(rest)
        await company.by_turns(4, rest)
        company.partner.recover()
        for name in rest:
            await company.wait_until(
                lambda n=name: bool(company.log_records(n, "partner", up=True)),  # type: ignore[misc]
                f"{name} hears",
            )

    play(tmp_path, scene, etcd=True)


def test_a_new_version_beside_the_old_finds_the_outage_itself_and_then_goes_by_turns(tmp_path: Path) -> None:
    async def scene(company: Scene) -> None:
        name = next(n for n in company.busy if n != company.keeper)
        calls, turns = company.called(), company.turns()
        await company.start_successor(name)
        old = company.previous_processes[name]
        await old.signal(SIGTERM)
        await company.wait_ended(old)
        await company.wait_for_membership(company.names)
        await company.more_turns(3)
        company.turns_before = len([line for line in old.log_records if line["event"] == "turn"])
        alone = int(SHORT["domain"]["slots"])  # what it may have out before it knows: it is no member yet
        assert company.called() - calls <= company.turns() - turns + COUNT + alone
        assert company.log_records(name, "partner", up=False) or company.log_records(name, "turn")
        await company.by_turns(5)
        await company.back()

    play(tmp_path, scene)
