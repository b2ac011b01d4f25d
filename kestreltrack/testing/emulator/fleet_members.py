"""Communication between simulated senders: the real membership and quota sharing on a simulated network."""

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

# Number of senders whose addresses every sender is configured with.
SEED_COUNT = 3


def sender_groups(senders: int, zones: tuple[str, ...]) -> dict[str, set[str]]:
    """Return the names of the senders by group, under the group names that scenarios use."""
    names = [f"s{n + 1}" for n in range(senders)]
    groups: dict[str, set[str]] = {"senders": set(names)}
    for n, name in enumerate(names):
        groups.setdefault(f"zone:{zones[n % len(zones)]}", set()).add(name)
    return groups


class SimulatedDatagramNetwork:
    """Delivers datagrams between senders; faults are injected on the links between named senders (`s1`) or groups."""

    def __init__(
        self,
        one_way_delay_ms: Callable[[], float],
        loss: float,
        seed: int,
        groups: dict[str, set[str]] | None = None,
    ) -> None:
        """Create a network; `one_way_delay_ms` is called for each datagram, and `loss` is the fraction lost."""
        self.links = Links(seed, groups)
        self.one_way_delay_ms = one_way_delay_ms
        self.loss = loss
        self.random = Random(seed)
        self.receivers: dict[str, SimulatedMember] = {}
        self.sent_count = 0

    def send(self, source: str, target: str, data: bytes) -> None:
        """Send a datagram from one sender, by name, to another."""
        self.sent_count += 1
        if self.random.random() < self.loss:
            return
        for extra_delay_ms in self.links.datagram_delays(source, target):
            delay_s = (self.one_way_delay_ms() + extra_delay_ms) / 1000.0
            asyncio.get_running_loop().call_later(delay_s, self._deliver, source, target, data)

    def _deliver(self, source: str, target: str, data: bytes) -> None:
        receiver = self.receivers.get(target)
        if receiver:
            receiver.datagram_received(data, (source, 1))


class SimulatedMember(Membership):
    """A member on the simulated network; its address is its name."""

    def __init__(
        self,
        network: SimulatedDatagramNetwork,
        name: str,
        incarnation: int,
        clock: Callable[[], float],
        telemetry: Telemetry,
    ) -> None:
        """Create the member of a process; `incarnation` numbers the processes of that name from 0."""
        self.network = network
        self.incarnation = incarnation
        seeds = [f"s{n + 1}:1" for n in range(SEED_COUNT)]
        member = Alive(name, f"{name}:1", 0, version=VERSION)
        super().__init__(member, member.address, seeds, ProbeTiming(), clock, telemetry)

    async def _open(self) -> SimulatedDatagramTransport:
        self.network.receivers[self.local_member.name] = self
        return SimulatedDatagramTransport(self)

    def process_start_ms(self) -> int:
        """Return the start of the process in virtual time, which differs between incarnations."""
        return int(self.clock()) + self.incarnation + 1

    def random_seed(self) -> int:
        """Return a seed that is derived from the seed of the simulation."""
        return self.network.random.randrange(2**32)

    def kill(self) -> None:
        """Stop at once, without notifying the other members."""
        SimulatedDatagramTransport(self).close()


class SimulatedDatagramTransport:
    """The datagram transport of a member."""

    def __init__(self, member: SimulatedMember) -> None:
        """Create a transport; it is closed once its member is no longer the receiver for the name."""
        self.network = member.network
        self.name = member.local_member.name
        self.member = member

    def sendto(self, data: bytes, addr: tuple[str, int]) -> None:
        """Send a datagram to the sender that the host of the address names."""
        self.network.send(self.name, addr[0], data)

    def is_closing(self) -> bool:
        """Return whether the transport is closed."""
        return self.network.receivers.get(self.name) is not self.member

    def close(self) -> None:
        """Close the transport, and release the name."""
        if not self.is_closing():
            del self.network.receivers[self.name]


class FleetParticipation:
    """The communication of one incarnation of a sender with the others."""

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
        """Start the membership and the quota sharing."""
        self.member = SimulatedMember(network, f"s{sender + 1}", incarnation, clock, telemetry)
        self.quota_sharing = QuotaSharing(self.member, policy, notify, clock, telemetry)
        self._tasks = [asyncio.create_task(self.member.run()), asyncio.create_task(self.quota_sharing.run())]

    def kill(self) -> None:
        """Stop at once, without notifying the other members."""
        self.member.kill()
        for task in self._tasks:
            task.cancel()
