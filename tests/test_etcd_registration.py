"""The senders' registrations: leases, acknowledged drains, and seeds for the gossip."""

from __future__ import annotations

import asyncio
import socket

from etcd_rig import PREFIX, WAIT_TIMEOUT_S, Rig, play

from kestreltrack.discovery.etcd.admin import EtcdDirectory
from kestreltrack.discovery.etcd.registration import SenderRegistration
from kestreltrack.discovery.etcd.seed_lookup import SeedLookup
from kestreltrack.fleet.membership.service import Membership
from kestreltrack.fleet.membership.swim import ProbeTiming
from kestreltrack.fleet.membership.wire import Alive
from kestreltrack.ports import make_clock
from kestreltrack.testing.fakes.etcd.cluster import FakeEtcdCluster


class ManualClock:
    """A clock that the test moves, in seconds."""

    now = 1000.0

    def __call__(self) -> float:
        return self.now


async def wait_for_registered_sender(directory: EtcdDirectory) -> None:
    async with asyncio.timeout(WAIT_TIMEOUT_S):
        while not await directory.list_senders():
            await asyncio.sleep(0.01)


async def start_registration(rig: Rig, lease_ttl_s: int = 10) -> asyncio.Task[None]:
    """Register the rig's source as sender `n1`; return the task that keeps the registration."""
    source = rig.source
    registration = SenderRegistration(
        lambda: rig.source.client,
        PREFIX,
        "n1",
        "0.0",
        lambda: source.applied_revision,
        lease_ttl_s,
        rig.telemetry,
    )
    task = asyncio.create_task(registration.run())
    await wait_for_registered_sender(EtcdDirectory(rig.source.client, PREFIX))
    return task


async def cancel(task: asyncio.Task[None]) -> None:
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)


def test_drain_is_acknowledged_once_it_was_applied() -> None:
    async def story(rig: Rig) -> None:
        rig.put(1)
        rig.put(2)
        rig.follow()
        await rig.until_caught_up()
        task = await start_registration(rig)
        directory = EtcdDirectory(rig.source.client, PREFIX)

        revision = await directory.set_state("u1", "draining")
        assert await directory.wait_until_applied(revision, 20.0) == []
        assert rig.states()["u1"] == "draining", "acknowledged after it was applied, not before"

        for member in range(3):
            await rig.cluster.apply_fault(member, "late_ms", 200)  # the watch is slow now
        later_revision = await directory.set_state("u2", "draining")
        behind = await directory.wait_until_applied(later_revision, 0.0)
        assert [sender.name for sender in behind] == ["n1"] and behind[0].revision < later_revision
        assert await directory.wait_until_applied(later_revision, 20.0) == []

        await cancel(task)
        assert await directory.list_senders() == [], "at a stop the registration is removed at once"

    play(story)


def test_expired_lease_is_replaced_and_stops_nothing() -> None:
    clock = ManualClock()

    def create_rig() -> Rig:
        rig = Rig(1)
        rig.cluster = FakeEtcdCluster(1, clock=clock)
        return rig

    async def story(rig: Rig) -> None:
        rig.put(1)
        rig.follow()
        await rig.until_caught_up()
        task = await start_registration(rig, lease_ttl_s=2)
        directory = EtcdDirectory(rig.source.client, PREFIX)
        old_leases = set(rig.cluster.store.leases)

        clock.now += 100.0
        rig.cluster.expire()

        assert await directory.list_senders() == []
        rig.put(1, "draining")
        await rig.until_caught_up()
        await wait_for_registered_sender(directory)
        assert not old_leases & set(rig.cluster.store.leases)
        assert rig.telemetry.counters["discovery.etcd.registration_lost"] == 1
        await cancel(task)

    play(story, create_rig)


def free_udp_address() -> str:
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as probe:
        probe.bind(("127.0.0.1", 0))
        return f"127.0.0.1:{probe.getsockname()[1]}"


async def start_member(rig: Rig, member: Membership) -> list[asyncio.Task[None]]:
    """Start a member of the fleet with its registration; look for seeds once it is registered."""
    local = member.local_member
    registration = SenderRegistration(
        lambda: rig.source.client,
        PREFIX,
        local.name,
        "0",
        lambda: 1,
        10,
        rig.telemetry,
        1.0,
        local.address,
    )
    lookup = SeedLookup(lambda: rig.source.client, PREFIX, member.set_discovered_seeds, rig.telemetry, 1.0)
    tasks = [asyncio.create_task(part.run()) for part in (member, registration)]
    directory = EtcdDirectory(rig.source.client, PREFIX)
    while local.name not in {sender.name for sender in await directory.list_senders()}:
        await asyncio.sleep(0.01)
    return [*tasks, asyncio.create_task(lookup.run())]


def test_members_of_the_fleet_find_each_other_by_their_registrations() -> None:
    """Two members have no seed configured: each reads where the other one is."""

    async def story(rig: Rig) -> None:
        addresses = {name: free_udp_address() for name in ("n1", "n2")}
        members = [
            Membership(
                Alive(name, address, 0), address, (), ProbeTiming(100.0, 40.0), make_clock(), rig.telemetry
            )
            for name, address in addresses.items()
        ]
        tasks = list[asyncio.Task[None]]()
        for member in members:
            tasks += await start_member(rig, member)
        rig.cluster.put(f"{PREFIX}senders/odd", "[1]")  # a malformed registration is ignored
        await rig.until(lambda: all(member.member_names() == ["n1", "n2"] for member in members))
        for member in members:
            member.close(announce_leave=False)
        for task in tasks:
            await cancel(task)

    play(story)
