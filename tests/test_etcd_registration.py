"""Registrations of senders: leases, acknowledgement of drains, and gossip seeds."""

from __future__ import annotations

import asyncio
import socket

from etcd_harness import PREFIX, WAIT_TIMEOUT_S, EtcdHarness, run_scenario

from kestreltrack.discovery.etcd.admin import EtcdDirectory
from kestreltrack.discovery.etcd.registration import SenderRegistration
from kestreltrack.discovery.etcd.seed_lookup import SeedLookup
from kestreltrack.fleet.membership.service import Membership
from kestreltrack.fleet.membership.swim import ProbeTiming
from kestreltrack.fleet.membership.wire import Alive
from kestreltrack.ports import make_clock
from kestreltrack.testing.fakes.etcd.cluster import FakeEtcdCluster


class ManualClock:
    """A clock in seconds that the test advances."""

    now = 1000.0

    def __call__(self) -> float:
        return self.now


async def wait_for_registered_sender(directory: EtcdDirectory) -> None:
    async with asyncio.timeout(WAIT_TIMEOUT_S):
        while not await directory.list_senders():
            await asyncio.sleep(0.01)


async def start_registration(harness: EtcdHarness, lease_ttl_s: int = 10) -> asyncio.Task[None]:
    """Register the harness's source as sender `n1`; return the task that maintains the registration."""
    source = harness.source
    registration = SenderRegistration(
        lambda: harness.source.client,
        PREFIX,
        "n1",
        "0.0",
        lambda: source.applied_revision,
        lease_ttl_s,
        harness.telemetry,
    )
    task = asyncio.create_task(registration.run())
    await wait_for_registered_sender(EtcdDirectory(harness.source.client, PREFIX))
    return task


async def cancel(task: asyncio.Task[None]) -> None:
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)


def test_drain_is_acknowledged_once_it_is_applied() -> None:
    async def scenario(harness: EtcdHarness) -> None:
        harness.put(1)
        harness.put(2)
        harness.follow()
        await harness.wait_until_caught_up()
        task = await start_registration(harness)
        directory = EtcdDirectory(harness.source.client, PREFIX)

        revision = await directory.set_state("u1", "draining")
        assert await directory.wait_until_applied(revision, 20.0) == []
        assert harness.states()["u1"] == "draining", "acknowledged after it was applied, not before"

        for member in range(3):
            await harness.cluster.apply_fault(member, "late_ms", 200)  # delays the watch
        later_revision = await directory.set_state("u2", "draining")
        behind = await directory.wait_until_applied(later_revision, 0.0)
        assert [sender.name for sender in behind] == ["n1"] and behind[0].revision < later_revision
        assert await directory.wait_until_applied(later_revision, 20.0) == []

        await cancel(task)
        assert await directory.list_senders() == [], (
            "cancellation revokes the lease, which removes the registration"
        )

    run_scenario(scenario)


def test_expired_lease_is_replaced_while_updates_continue() -> None:
    clock = ManualClock()

    def create_harness() -> EtcdHarness:
        harness = EtcdHarness(1)
        harness.cluster = FakeEtcdCluster(1, clock=clock)
        return harness

    async def scenario(harness: EtcdHarness) -> None:
        harness.put(1)
        harness.follow()
        await harness.wait_until_caught_up()
        task = await start_registration(harness, lease_ttl_s=2)
        directory = EtcdDirectory(harness.source.client, PREFIX)
        old_leases = set(harness.cluster.store.leases)

        clock.now += 100.0
        harness.cluster.expire()

        assert await directory.list_senders() == []
        harness.put(1, "draining")
        await harness.wait_until_caught_up()
        await wait_for_registered_sender(directory)
        assert not old_leases & set(harness.cluster.store.leases)
        assert harness.telemetry.counters["discovery.etcd.registration_lost"] == 1
        await cancel(task)

    run_scenario(scenario, create_harness)


def free_udp_address() -> str:
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as udp_socket:
        udp_socket.bind(("127.0.0.1", 0))
        return f"127.0.0.1:{udp_socket.getsockname()[1]}"


async def start_member(harness: EtcdHarness, member: Membership) -> list[asyncio.Task[None]]:
    """Start a fleet member and its registration; start the seed lookup once it is registered."""
    local = member.local_member
    registration = SenderRegistration(
        lambda: harness.source.client,
        PREFIX,
        local.name,
        "0",
        lambda: 1,
        10,
        harness.telemetry,
        1.0,
        local.address,
    )
    lookup = SeedLookup(
        lambda: harness.source.client, PREFIX, member.set_discovered_seeds, harness.telemetry, 1.0
    )
    tasks = [asyncio.create_task(part.run()) for part in (member, registration)]
    directory = EtcdDirectory(harness.source.client, PREFIX)
    while local.name not in {sender.name for sender in await directory.list_senders()}:
        await asyncio.sleep(0.01)
    return [*tasks, asyncio.create_task(lookup.run())]


def test_fleet_members_discover_each_other_from_their_registrations() -> None:
    """Neither member has a configured seed; each reads the other's address from etcd."""

    async def scenario(harness: EtcdHarness) -> None:
        addresses = {name: free_udp_address() for name in ("n1", "n2")}
        members = [
            Membership(
                Alive(name, address, 0),
                address,
                (),
                ProbeTiming(100.0, 40.0),
                make_clock(),
                harness.telemetry,
            )
            for name, address in addresses.items()
        ]
        tasks = list[asyncio.Task[None]]()
        for member in members:
            tasks += await start_member(harness, member)
        harness.cluster.put(f"{PREFIX}senders/odd", "[1]")  # a malformed registration is ignored
        await harness.wait_until(lambda: all(member.member_names() == ["n1", "n2"] for member in members))
        for member in members:
            member.close(announce_leave=False)
        for task in tasks:
            await cancel(task)

    run_scenario(scenario)
