"""The senders' register and what operators do: leases, waits for acknowledgement, changes that cross."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Awaitable, Callable

import pytest
from etcd_rig import PREFIX, Rig, play, value

from kestreltrack.discovery.etcd.admin import EtcdDirectory
from kestreltrack.discovery.etcd.errors import DirectoryChangeError
from kestreltrack.discovery.etcd.registration import SenderRegistration
from kestreltrack.discovery.etcd.seed_lookup import SeedLookup
from kestreltrack.fleet.membership.service import Membership
from kestreltrack.fleet.membership.swim import ProbeTiming
from kestreltrack.fleet.membership.wire import Alive
from kestreltrack.ports import make_clock
from kestreltrack.testing.fakes.etcd.cluster import FakeEtcdCluster


class Ticking:
    """A clock that the test drives, in seconds."""

    now = 1000.0

    def __call__(self) -> float:
        return self.now


async def registered(rig: Rig, lease_s: int = 10) -> asyncio.Task[None]:
    seen = rig.source
    register = SenderRegistration(
        lambda: rig.source.client, PREFIX, "n1", "0.0", lambda: seen.applied_revision, lease_s, rig.telemetry
    )
    task = asyncio.create_task(register.run())
    directory = EtcdDirectory(rig.source.client, PREFIX)
    async with asyncio.timeout(20.0):
        while not await directory.list_senders():
            await asyncio.sleep(0.01)
    return task


async def ended(task: asyncio.Task[None]) -> None:
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)


def test_a_drain_is_acknowledged_once_it_was_taken_in() -> None:
    async def story(rig: Rig) -> None:
        rig.put(1)
        rig.put(2)
        rig.follow()
        await rig.caught_up()
        task = await registered(rig)
        directory = EtcdDirectory(rig.source.client, PREFIX)
        revision = await directory.set_state("u1", "draining")
        assert await directory.wait_until_applied(revision, 20.0) == []
        assert rig.states()["u1"] == "draining", "acknowledged after it was taken in, not before"
        for member in range(3):
            await rig.cluster.apply_fault(member, "late_ms", 200)  # the watch is slow now
        later = await directory.set_state("u2", "draining")
        behind = await directory.wait_until_applied(later, 0.0)
        assert [s.name for s in behind] == ["n1"] and behind[0].revision < later
        assert await directory.wait_until_applied(later, 20.0) == []
        await ended(task)
        assert await directory.list_senders() == [], "at a stop the entry goes at once"

    play(story)


def test_a_lease_that_ran_out_is_granted_anew_and_stops_nothing() -> None:
    clock = Ticking()

    def rig() -> Rig:
        one = Rig(1)
        one.cluster = FakeEtcdCluster(1, clock=clock)
        return one

    async def story(rig: Rig) -> None:
        rig.put(1)
        rig.follow()
        await rig.caught_up()
        task = await registered(rig, lease_s=2)
        directory = EtcdDirectory(rig.source.client, PREFIX)
        old = set(rig.cluster.store.leases)
        clock.now += 100.0
        rig.cluster.expire()
        assert await directory.list_senders() == []
        rig.put(1, "draining")
        await rig.caught_up()
        async with asyncio.timeout(20.0):
            while not await directory.list_senders():
                await asyncio.sleep(0.01)
        assert not old & set(rig.cluster.store.leases)
        assert rig.telemetry.counters["discovery.etcd.registration_lost"] == 1
        await ended(task)

    play(story, rig)


def on_directory(work: Callable[[EtcdDirectory, Rig], Awaitable[None]]) -> None:
    async def story(rig: Rig) -> None:
        await work(EtcdDirectory(rig.source.client, PREFIX), rig)

    play(story)


def row(number: int, state: str = "up") -> dict[str, object]:
    import orjson

    return {**orjson.loads(value(number, state)), "uid": f"u{number}"}


def test_an_import_writes_what_differs_and_prunes_on_request() -> None:
    async def work(directory: EtcdDirectory, rig: Rig) -> None:
        rows = [row(n) for n in range(250)]
        assert [step[:2] async for step in directory.import_entries(rows, False)] == [
            (100, 250),
            (200, 250),
            (250, 250),
        ]
        before = rig.cluster.store.revision
        assert [step async for step in directory.import_entries(rows, False)] == [(0, 0, before)]
        rows[3] = row(3, "draining")
        rows[4] = row(4, "removed")
        assert [step[:2] async for step in directory.import_entries(rows[:10], False)] == [(1, 1)]
        assert len((await directory.list_entries())[1]) == 250
        assert [s[0] async for s in directory.import_entries(rows[:10], True)][-1] == 241
        assert {e.uid for e in (await directory.list_entries())[1]} == {f"u{n}" for n in range(10) if n != 4}

    on_directory(work)


def test_an_import_with_one_unsound_entry_writes_nothing() -> None:
    async def work(directory: EtcdDirectory, rig: Rig) -> None:
        with pytest.raises(DirectoryChangeError, match=r"entry 2: .*endpoint"):
            async for _ in directory.import_entries([row(1), {"uid": "x"}], False):
                pass
        assert rig.cluster.store.revision == 1

    on_directory(work)


def test_two_operators_at_once_never_undo_each_other() -> None:
    async def work(directory: EtcdDirectory, rig: Rig) -> None:
        await directory.put(row(1))
        other = EtcdDirectory(rig.source.client, PREFIX)
        real, crossed = directory.get, list[int]()

        async def crossing(uid: str) -> object:
            entry = await real(uid)
            if not crossed:  # between this one's read and its write
                crossed.append(await other.put({**row(1), "capacity_hint": 9.0}))
            return entry

        directory.get = crossing  # type: ignore[method-assign, assignment]
        await directory.set_state("u1", "draining")
        entry = await real("u1")
        assert entry and entry.row["state"] == "draining" and entry.row["capacity_hint"] == 9.0

    on_directory(work)


def test_what_is_not_there_or_cannot_be_read_is_refused() -> None:
    async def work(directory: EtcdDirectory, rig: Rig) -> None:
        with pytest.raises(DirectoryChangeError, match="u9: no such endpoint"):
            await directory.set_state("u9", "draining")
        rig.cluster.put(f"{PREFIX}endpoints/u1", "junk")
        with pytest.raises(DirectoryChangeError, match="cannot be read"):
            await directory.set_state("u1", "draining")
        assert [(e.uid, bool(e.fault)) for e in (await directory.list_entries())[1]] == [("u1", True)]
        await directory.remove("u1")
        assert (await directory.list_entries())[1] == []

    on_directory(work)


def test_commands_go_on_at_another_member() -> None:
    async def work(directory: EtcdDirectory, rig: Rig) -> None:
        await rig.cluster.apply_fault(0, "refuse")
        await rig.cluster.apply_fault(1, "no_leader")
        assert await directory.put(row(1)) == 2

    on_directory(work)


def free_port() -> int:
    """Of UDP, on loopback."""
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as found:
        found.bind(("127.0.0.1", 0))
        return int(found.getsockname()[1])


def test_others_of_the_fleet_are_found_in_the_register() -> None:
    """Two members without a seed of their own: each reads where the other is."""

    async def story(rig: Rig) -> None:
        members = [
            Membership(Alive(name, at, 0), at, (), ProbeTiming(100.0, 40.0), make_clock(), rig.telemetry)
            for name, at in ((name, f"127.0.0.1:{free_port()}") for name in ("n1", "n2"))
        ]
        tasks = list[asyncio.Task[None]]()
        for member in members:
            about = member.local_member
            register = SenderRegistration(
                lambda: rig.source.client,
                PREFIX,
                about.name,
                "0",
                lambda: 1,
                10,
                rig.telemetry,
                1.0,
                about.address,
            )
            acquaint = SeedLookup(
                lambda: rig.source.client, PREFIX, member.set_discovered_seeds, rig.telemetry, 1.0
            )
            tasks += [asyncio.create_task(part.run()) for part in (member, register)]
            directory = EtcdDirectory(rig.source.client, PREFIX)
            while about.name not in {sender.name for sender in await directory.list_senders()}:
                await asyncio.sleep(0.01)
            tasks.append(asyncio.create_task(acquaint.run()))
        rig.cluster.put(f"{PREFIX}senders/odd", "[1]")  # noise in the register is nobody
        await rig.until(lambda: all(member.member_names() == ["n1", "n2"] for member in members))
        for member in members:
            member.close(announce_leave=False)
        for task in tasks:
            await ended(task)

    play(story)
