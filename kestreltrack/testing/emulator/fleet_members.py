"""Senders that know of each other in simulated time: their own membership and lending, on datagrams of the world."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from random import Random

from kestreltrack import VERSION
from kestreltrack.decision import Event, Policy
from kestreltrack.fleet.membership.service import Membership
from kestreltrack.fleet.membership.swim import ProbeTiming
from kestreltrack.fleet.membership.wire import Alive
from kestreltrack.sender.quota_sharing import QuotaSharing
from kestreltrack.telemetry import Telemetry
from kestreltrack.testing.harness.links import Links

SEED_COUNT = 3  # senders whose addresses all are told


def sender_groups(senders: int, zones: tuple[str, ...]) -> dict[str, set[str]]:
    """Names of senders by group, as scenarios name them."""
    names = [f"s{n + 1}" for n in range(senders)]
    found: dict[str, set[str]] = {"senders": set(names)}
    for n, name in enumerate(names):
        found.setdefault(f"zone:{zones[n % len(zones)]}", set()).add(name)
    return found


class SimulatedDatagramNetwork:
    """All datagrams between senders; faults on links by senders' names (``s1``) and groups."""

    def __init__(
        self,
        one_way_delay_ms: Callable[[], float],
        loss: float,
        seed: int,
        groups: dict[str, set[str]] | None = None,
    ) -> None:
        """`way_ms` is drawn for each datagram."""
        self.links = Links(seed, groups)
        self.one_way_delay_ms = one_way_delay_ms
        self.loss = loss
        self.random = Random(seed)
        self.receivers: dict[str, SimulatedMember] = {}
        self.sent_count = 0

    def send(self, source: str, target: str, data: bytes) -> None:
        """From a sender's name to another's."""
        self.sent_count += 1
        if self.random.random() < self.loss:
            return
        for late in self.links.datagram_delays(source, target):
            way = (self.one_way_delay_ms() + late) / 1000.0
            asyncio.get_running_loop().call_later(way, self._deliver, source, target, data)

    def _deliver(self, source: str, target: str, data: bytes) -> None:
        if peer := self.receivers.get(target):
            peer.datagram_received(data, (source, 1))


class SimulatedMember(Membership):
    """A member on the ether; its address is its name."""

    def __init__(
        self,
        network: SimulatedDatagramNetwork,
        name: str,
        incarnation: int,
        clock: Callable[[], float],
        telemetry: Telemetry,
    ) -> None:
        """The `life`th process of that name, from 0."""
        self.network = network
        self.incarnation = incarnation
        seeds = [f"s{n + 1}:1" for n in range(SEED_COUNT)]
        about = Alive(name, f"{name}:1", 0, version=VERSION)
        super().__init__(about, about.address, seeds, ProbeTiming(), clock, telemetry)

    async def _open(self) -> SimulatedDatagramTransport:
        self.network.receivers[self.local_member.name] = self
        return SimulatedDatagramTransport(self)

    def process_start_ms(self) -> int:
        """Simulated."""
        return int(self.clock()) + self.incarnation + 1

    def random_seed(self) -> int:
        """From the world's seed."""
        return self.network.random.randrange(2**32)

    def kill(self) -> None:
        """Without a word."""
        SimulatedDatagramTransport(self).close()


class SimulatedDatagramTransport:
    """What a member sends by."""

    def __init__(self, member: SimulatedMember) -> None:
        """It is closed once another life, or none, has the name."""
        self.network = member.network
        self.name = member.local_member.name
        self.member = member

    def sendto(self, data: bytes, addr: tuple[str, int]) -> None:
        """To the ether."""
        self.network.send(self.name, addr[0], data)

    def is_closing(self) -> bool:
        """Whether nobody hears it any more."""
        return self.network.receivers.get(self.name) is not self.member

    def close(self) -> None:
        """Let go of the name."""
        if not self.is_closing():
            del self.network.receivers[self.name]


class FleetParticipation:
    """What one life of a sender does with the others."""

    def __init__(
        self,
        network: SimulatedDatagramNetwork,
        sender: int,
        incarnation: int,
        policy: Policy,
        notify: Callable[[Event], None],
        clock: Callable[[], float],
        telemetry: Telemetry,
    ) -> None:
        """Begins at once."""
        self.member = SimulatedMember(network, f"s{sender + 1}", incarnation, clock, telemetry)
        self.quota_sharing = QuotaSharing(self.member, policy, notify, clock, telemetry)
        self._tasks = [asyncio.create_task(self.member.run()), asyncio.create_task(self.quota_sharing.run())]

    def kill(self) -> None:
        """Without a word."""
        self.member.kill()
        for task in self._tasks:
            task.cancel()
