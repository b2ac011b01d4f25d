"""Runs one member on a UDP socket: transfers its datagrams, drives its timers, logs changes and counts drops.

Message delivery never waits for it.  During an upgrade the previous process may still use the address: the new one
joins once it is released, and until then the previous process remains the member.
"""

from __future__ import annotations

import asyncio
import os
import time
from collections.abc import Callable, Sequence
from typing import Any, Protocol

from kestreltrack.fleet.membership.status import members_by_state, membership_status
from kestreltrack.fleet.membership.swim import OutgoingDatagram, ProbeTiming, Swim
from kestreltrack.fleet.membership.wire import Alive
from kestreltrack.http1 import split_address
from kestreltrack.ports import Clock
from kestreltrack.telemetry import Telemetry

# Interval between attempts to bind the socket.
BIND_RETRY_S = 0.1
# Upper bound on the time between ticks, below the gossip interval of 0.2 s.
MAX_TICK_INTERVAL_S = 0.1
# Lower bound, so that a member whose next tick is always due cannot monopolise the event loop.
MIN_TICK_INTERVAL_S = 0.001
# A member of a fleet of 1,000 receives about 20 per second; the limit keeps a flood from monopolising the event loop.
MAX_DATAGRAMS_PER_SECOND = 2000
# Counters of the protocol that do not count dropped datagrams.
NON_DROP_COUNTERS = ("sent", "paused")


class DatagramTransport(Protocol):
    """The part of `asyncio.DatagramTransport` that is used here."""

    def sendto(self, data: bytes, addr: tuple[str, int]) -> None:
        """Send a datagram to a host and port."""

    def is_closing(self) -> bool:
        """Return whether the transport is closing or closed."""

    def close(self) -> None:
        """Close the socket, which releases its address."""


class DatagramRateLimit:
    """A limit on the datagrams in each second of the clock."""

    def __init__(self, max_per_second: int) -> None:
        """Take the number of datagrams allowed in each second."""
        self._max_per_second = max_per_second
        self._second = 0
        self._count = 0

    def allows(self, now: float) -> bool:
        """Count one datagram; return whether it is within the limit."""
        second = int(now / 1000.0)
        if second != self._second:
            self._second = second
            self._count = 0
        self._count += 1
        return self._count <= self._max_per_second


class Membership(asyncio.DatagramProtocol):
    """Runs one member on a UDP socket."""

    def __init__(
        self,
        local_member: Alive,
        listen_address: str,
        seeds: Sequence[str],
        timing: ProbeTiming,
        clock: Clock,
        telemetry: Telemetry,
    ) -> None:
        """Describe the member.

        Args:
            local_member: The member, with the address that others send to; `run` sets incarnation and start time.
            listen_address: The address that the socket is bound to.
            seeds: Addresses of members to join through.
            timing: The interval and timeout of probes.
            clock: Monotonic clock, in milliseconds.
            telemetry: The log and the counters.
        """
        self.local_member = local_member
        self.listen_address = listen_address
        self.seeds = seeds
        self.timing = timing
        self.clock = clock
        self.telemetry = telemetry
        # `None` until the socket is bound.
        self.swim: Swim | None = None
        self.on_user_message: Callable[[str, bytes], None] = lambda name, data: None
        self._configured_seeds = tuple(seeds)
        self._transport: DatagramTransport | None = None
        self._closed = False
        self._rate_limit = DatagramRateLimit(MAX_DATAGRAMS_PER_SECOND)

    # Lifecycle -----------------------------------------------------------------------------------

    async def run(self) -> None:
        """Bind the socket, join the fleet, and tick until closed or cancelled."""
        await self._bind()
        if self._transport is None:
            return
        swim = self._start()
        # A member that ticked after its socket is closed would receive nothing and declare all others dead.
        while not self._closed:
            due_in_s = (swim.next_due() - self.clock()) / 1000.0
            await asyncio.sleep(max(MIN_TICK_INTERVAL_S, min(MAX_TICK_INTERVAL_S, due_in_s)))
            if not self._closed:
                self._transmit(swim.tick(self.clock()))

    async def _bind(self) -> None:
        """Bind the socket, retrying until it succeeds or the member is closed."""
        while self._transport is None and not self._closed:
            try:
                self._transport = await self._open()
            except OSError as error:
                self.telemetry.record_fault("fleet.bind_failed", error=str(error))
                await asyncio.sleep(BIND_RETRY_S)

    async def _open(self) -> DatagramTransport:
        host, port = split_address(self.listen_address)
        loop = asyncio.get_running_loop()
        transport, _ = await loop.create_datagram_endpoint(lambda: self, local_addr=(host, port))
        return transport

    def _start(self) -> Swim:
        """Join the fleet with the current time as start time and incarnation."""
        start_ms = self.process_start_ms()
        configured = self.local_member
        member = Alive(
            configured.name,
            configured.address,
            start_ms,
            configured.zone,
            configured.region,
            configured.version,
            start_ms,
        )
        swim = Swim(member, self.timing, self.random_seed())
        self.swim = swim
        self.telemetry.log(
            "fleet", listen=self.listen_address, address=member.address, seeds=list(self.seeds)
        )
        self._transmit(swim.join(self.clock(), self.seeds))
        return swim

    def process_start_ms(self) -> int:
        """Return the Unix time in ms, which distinguishes this process from the previous one of its name."""
        return int(time.time() * 1000)

    def random_seed(self) -> int:
        """Return a seed for a random number generator."""
        return int.from_bytes(os.urandom(8), "big")

    def close(self, announce_leave: bool) -> None:
        """Close the socket; `announce_leave` is false if another process continues under the same name."""
        self._closed = True
        if self.swim and announce_leave:
            self._transmit(self.swim.leave(self.clock()))
        if self._transport:
            self._transport.close()

    # Datagrams -----------------------------------------------------------------------------------

    def datagram_received(self, data: bytes, addr: tuple[Any, ...]) -> None:
        """Handle a datagram from the socket; drop and count those beyond the rate limit."""
        now = self.clock()
        allowed = self._rate_limit.allows(now)
        if self.swim is None or not allowed:
            self.telemetry.count("fleet.rate_limited")
            return
        source = f"{addr[0]}:{addr[1]}"
        dropped_before = sum(self._dropped_counts(self.swim).values())
        self._transmit(self.swim.receive(now, source, data))
        for sender_name, user_data in self.swim.take_user_messages():
            self.on_user_message(sender_name, user_data)
        dropped = self._dropped_counts(self.swim)
        if sum(dropped.values()) > dropped_before:
            self.telemetry.record_fault("fleet.dropped", source=source, counts=dropped)

    @staticmethod
    def _dropped_counts(swim: Swim) -> dict[str, int]:
        return {name: count for name, count in swim.counts.items() if name not in NON_DROP_COUNTERS}

    def error_received(self, exc: Exception) -> None:
        """Count an unreachable address; whether its member has failed is left to the probes."""
        self.telemetry.count("fleet.unreachable")

    def send_user_message(self, member_name: str, data: bytes) -> None:
        """Send data of another fleet component to a member."""
        if self.swim and not self._closed:
            self._transmit(self.swim.send_user_message(member_name, data))

    def _transmit(self, datagrams: list[OutgoingDatagram]) -> None:
        for address, data in datagrams:
            # A member may announce an invalid address.
            try:
                host, port = split_address(address)
                if self._transport and not self._transport.is_closing():
                    self._transport.sendto(data, (host, port))
            except (OSError, ValueError) as error:
                self.telemetry.record_fault("fleet.invalid_address", address=address, error=str(error))
        self._log_changes()

    def _log_changes(self) -> None:
        assert self.swim
        for change in self.swim.take_changes():
            self.telemetry.log(
                "member",
                name=change.name,
                standing=change.state.value,
                cause=change.cause,
                incarnation=change.incarnation,
                members=self.swim.table.member_count(),
            )

    # Members -------------------------------------------------------------------------------------

    def set_discovered_seeds(self, addresses: Sequence[str]) -> None:
        """Use addresses of members found in the etcd registry, in addition to the configured seeds."""
        discovered = [
            address
            for address in addresses
            if address not in self._configured_seeds and address != self.local_member.address
        ]
        self.seeds = (*self._configured_seeds, *discovered)
        if self.swim:
            self.swim.replace_seeds(self.seeds)

    def member_names(self) -> list[str] | None:
        """Return the names of all active members, the local one included; `None` while the list may be incomplete."""
        if self.swim is None or not self.swim.caught_up or self.swim.has_left:
            return None
        return [info.name for info in self.swim.active_members()]

    def status(self) -> dict[str, Any]:
        """Return the member list and the condition of this member, for operators."""
        return membership_status(self.swim, self.clock())

    def gauges(self) -> dict[str, int]:
        """Return the number of members in each state, the local one included."""
        return members_by_state(self.swim)
