"""Carries a member's datagrams over UDP, keeps its time, and tells log and counters what changes.

Nothing waits for it: a message's path never asks it anything.  A sender whose address is still taken by the process
before it (an upgrade) joins once that one lets go; until then it is no member of its own, and its predecessor is.
"""

from __future__ import annotations

import asyncio
import os
import time
from collections.abc import Callable, Sequence
from typing import Any, Protocol

from kestreltrack.fleet.membership.member_table import MemberState
from kestreltrack.fleet.membership.swim import OutgoingDatagram, ProbeTiming, Swim
from kestreltrack.fleet.membership.wire import Alive
from kestreltrack.http1 import split_address
from kestreltrack.ports import Clock
from kestreltrack.telemetry import Telemetry

BIND_RETRY_S = 0.1  # between tries to bind
MAX_TICK_INTERVAL_S = 0.1  # at the longest between ticks: news are told every 0.2 s
MAX_DATAGRAMS_PER_SECOND = (
    2000  # datagrams; a member of 1,000 gets some 20: more is a flood, and must not hold the loop
)


class DatagramTransport(Protocol):
    """The part of a datagram transport that is used."""

    def sendto(self, data: bytes, addr: tuple[str, int]) -> None:
        """Send there."""

    def is_closing(self) -> bool:
        """Whether it is closed."""

    def close(self) -> None:
        """Let go of the address."""


class Membership(asyncio.DatagramProtocol):
    """One member on a socket."""

    def __init__(
        self,
        local_member: Alive,
        listen_address: str,
        seeds: Sequence[str],
        timing: ProbeTiming,
        clock: Clock,
        telemetry: Telemetry,
    ) -> None:
        """`about.address` is what others send to, `listen` where this one does; its start is when it has bound."""
        self.local_member, self.listen_address, self.seeds, self.timing = (
            local_member,
            listen_address,
            seeds,
            timing,
        )
        self._configured_seeds = tuple(seeds)
        self.clock, self.telemetry = clock, telemetry
        self.swim: Swim | None = None  # none before the socket is bound
        self._transport: DatagramTransport | None = None
        self._closed = False
        self._current_second, self._received_this_second = 0, 0
        self.on_user_message: Callable[[str, bytes], None] = lambda name, data: None

    async def run(self) -> None:
        """Bind, join, and tick until closed or cancelled."""
        while self._transport is None:
            if self._closed:
                return
            try:
                self._transport = await self._open()
            except OSError as bad:
                self.telemetry.record_fault("fleet.bind_failed", error=str(bad))
                await asyncio.sleep(BIND_RETRY_S)
        start, about = self.process_start_ms(), self.local_member
        me = Alive(about.name, about.address, start, about.zone, about.region, about.version, start)
        self.swim = Swim(me, self.timing, self.random_seed())
        self.telemetry.log("fleet", listen=self.listen_address, address=me.address, seeds=list(self.seeds))
        self._transmit(self.swim.join(self.clock(), self.seeds))
        while not self._closed:  # else one that has let go of its address would take all others to be gone
            await asyncio.sleep(
                max(0.001, min(MAX_TICK_INTERVAL_S, (self.swim.next_due() - self.clock()) / 1000.0))
            )
            if not self._closed:
                self._transmit(self.swim.tick(self.clock()))

    async def _open(self) -> DatagramTransport:
        host, port = split_address(self.listen_address)
        loop = asyncio.get_running_loop()
        transport, _ = await loop.create_datagram_endpoint(lambda: self, local_addr=(host, port))
        return transport

    def process_start_ms(self) -> int:
        """Unix time: what tells a process from the one before it."""
        return int(time.time() * 1000)

    def random_seed(self) -> int:
        """The seed of something that draws at random."""
        return int.from_bytes(os.urandom(8), "big")

    def datagram_received(self, data: bytes, addr: tuple[Any, ...]) -> None:
        """One from the socket; a flood is dropped and counted."""
        second = int(self.clock() / 1000.0)
        if second != self._current_second:
            self._current_second, self._received_this_second = second, 0
        self._received_this_second += 1
        if self.swim is None or self._received_this_second > MAX_DATAGRAMS_PER_SECOND:
            self.telemetry.count("fleet.rate_limited")
            return
        before = sum(self._dropped_counts().values())
        self._transmit(self.swim.receive(self.clock(), f"{addr[0]}:{addr[1]}", data))
        for name, carried in self.swim.take_user_messages():
            self.on_user_message(name, carried)
        if sum(self._dropped_counts().values()) > before:
            self.telemetry.record_fault(
                "fleet.dropped", source=f"{addr[0]}:{addr[1]}", counts=self._dropped_counts()
            )

    def _dropped_counts(self) -> dict[str, int]:
        counts = self.swim.counts if self.swim else {}
        return {what: n for what, n in counts.items() if what not in ("sent", "paused")}

    def error_received(self, exc: Exception) -> None:
        """Nobody listens there, for example: the probes find out by themselves."""
        self.telemetry.count("fleet.unreachable")

    def _transmit(self, datagrams: list[OutgoingDatagram]) -> None:
        assert self.swim
        for address, data in datagrams:
            try:
                host, port = split_address(address)
                if self._transport and not self._transport.is_closing():
                    self._transport.sendto(data, (host, port))
            except (OSError, ValueError) as bad:  # a member tells an address that cannot be one
                self.telemetry.record_fault("fleet.invalid_address", address=address, error=str(bad))
        for change in self.swim.take_changes():
            self.telemetry.log(
                "member",
                name=change.name,
                standing=change.state.value,
                cause=change.cause,
                incarnation=change.incarnation,
                members=self.swim.table.member_count(),
            )

    def close(self, announce_leave: bool) -> None:
        """Let go of the address; with a `farewell` unless another process of this name goes on."""
        self._closed = True
        if self.swim and announce_leave:
            self._transmit(self.swim.leave(self.clock()))
        if self._transport:
            self._transport.close()

    def set_discovered_seeds(self, addresses: Sequence[str]) -> None:
        """Addresses of members that were found elsewhere (etcd's register), beside those that were given."""
        self.seeds = (
            *self._configured_seeds,
            *(a for a in addresses if a not in self._configured_seeds and a != self.local_member.address),
        )
        if self.swim:
            self.swim.replace_seeds(self.seeds)

    def send_user_message(self, member_name: str, data: bytes) -> None:
        """Send a member something of another part of the fleet."""
        if self.swim and not self._closed:
            self._transmit(self.swim.send_user_message(member_name, data))

    def member_names(self) -> list[str] | None:
        """Who is a member, oneself among them; `None` while that is not known well enough to rest on."""
        if self.swim is None or not self.swim.caught_up or self.swim.has_left:
            return None
        return [info.name for info in self.swim.active_members()]

    def status(self) -> dict[str, Any]:
        """For operators: all that is held of each, and how this one fares."""
        if self.swim is None:
            return {"bound": False, "members": []}
        swim, now = self.swim, self.clock()
        rows = [self._member_status(swim.local_member, MemberState.ALIVE.value, 0.0, [])]
        for seen in swim.table.members.values():
            by = sorted(seen.suspicion.reporters) if seen.suspicion else []
            rows.append(self._member_status(seen.info, seen.state.value, now - seen.state_since, by))
        return {
            "bound": True,
            "me": swim.local_member.name,
            "caught_up": swim.caught_up,
            "slow": swim.local_health_score,
            "counts": dict(swim.counts),
            "members": sorted(rows, key=lambda row: str(row["name"])),
        }

    @staticmethod
    def _member_status(
        info: Alive, state: str, state_age_ms: float, suspected_by: list[str]
    ) -> dict[str, Any]:
        return {
            "name": info.name,
            "standing": state,
            "for_s": round(state_age_ms / 1000.0, 1),
            "address": info.address,
            "zone": info.zone,
            "region": info.region,
            "version": info.version,
            "incarnation": info.incarnation,
            "start": info.process_start_ms,
            "suspected_by": suspected_by,
        }

    def gauges(self) -> dict[str, int]:
        """How many members are in each standing, oneself among the living."""
        found = dict.fromkeys((standing.value for standing in MemberState), 0) | {"alive": 1}
        for seen in self.swim.table.members.values() if self.swim else ():
            found[seen.state.value] += 1
        return found
