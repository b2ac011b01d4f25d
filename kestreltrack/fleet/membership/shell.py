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

from kestreltrack.fleet.membership.swim import Out, Swim, Timing
from kestreltrack.fleet.membership.table import Standing
from kestreltrack.fleet.membership.wire import Alive
from kestreltrack.http1 import split_address
from kestreltrack.ports import Clock
from kestreltrack.telemetry import Telemetry

BIND_S = 0.1  # between tries to bind
TICK_S = 0.1  # at the longest between ticks: news are told every 0.2 s
MOST_A_SECOND = 2000  # datagrams; a member of 1,000 gets some 20: more is a flood, and must not hold the loop


class Sends(Protocol):
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
        about: Alive,
        listen: str,
        seeds: Sequence[str],
        timing: Timing,
        clock: Clock,
        telemetry: Telemetry,
    ) -> None:
        """`about.address` is what others send to, `listen` where this one does; its start is when it has bound."""
        self.about, self.listen, self.seeds, self.timing = about, listen, seeds, timing
        self._given = tuple(seeds)
        self.clock, self.telemetry = clock, telemetry
        self.swim: Swim | None = None  # none before the socket is bound
        self._transport: Sends | None = None
        self._closed = False
        self._second, self._taken = 0, 0
        self.on_carried: Callable[[str, bytes], None] = lambda name, data: None

    async def run(self) -> None:
        """Bind, join, and tick until closed or cancelled."""
        while self._transport is None:
            if self._closed:
                return
            try:
                self._transport = await self._open()
            except OSError as bad:
                self.telemetry.trouble("fleet.not_bound", error=str(bad))
                await asyncio.sleep(BIND_S)
        start, about = self.start_ms(), self.about
        me = Alive(about.name, about.address, start, about.zone, about.region, about.version, start)
        self.swim = Swim(me, self.timing, self.draw())
        self.telemetry.log("fleet", listen=self.listen, address=me.address, seeds=list(self.seeds))
        self._post(self.swim.begin(self.clock(), self.seeds))
        while not self._closed:  # else one that has let go of its address would take all others to be gone
            await asyncio.sleep(max(0.001, min(TICK_S, (self.swim.due() - self.clock()) / 1000.0)))
            if not self._closed:
                self._post(self.swim.tick(self.clock()))

    async def _open(self) -> Sends:
        host, port = split_address(self.listen)
        loop = asyncio.get_running_loop()
        transport, _ = await loop.create_datagram_endpoint(lambda: self, local_addr=(host, port))
        return transport

    def start_ms(self) -> int:
        """Unix time: what tells a process from the one before it."""
        return int(time.time() * 1000)

    def draw(self) -> int:
        """The seed of something that draws at random."""
        return int.from_bytes(os.urandom(8), "big")

    def datagram_received(self, data: bytes, addr: tuple[Any, ...]) -> None:
        """One from the socket; a flood is dropped and counted."""
        second = int(self.clock() / 1000.0)
        if second != self._second:
            self._second, self._taken = second, 0
        self._taken += 1
        if self.swim is None or self._taken > MOST_A_SECOND:
            self.telemetry.count("fleet.flooded")
            return
        before = sum(self._dropped().values())
        self._post(self.swim.receive(self.clock(), f"{addr[0]}:{addr[1]}", data))
        for name, carried in self.swim.carried():
            self.on_carried(name, carried)
        if sum(self._dropped().values()) > before:
            self.telemetry.trouble("fleet.dropped", source=f"{addr[0]}:{addr[1]}", counts=self._dropped())

    def _dropped(self) -> dict[str, int]:
        counts = self.swim.counts if self.swim else {}
        return {what: n for what, n in counts.items() if what not in ("sent", "paused")}

    def error_received(self, exc: Exception) -> None:
        """Nobody listens there, for example: the probes find out by themselves."""
        self.telemetry.count("fleet.unreachable")

    def _post(self, out: list[Out]) -> None:
        assert self.swim
        for address, data in out:
            try:
                host, port = split_address(address)
                if self._transport and not self._transport.is_closing():
                    self._transport.sendto(data, (host, port))
            except (OSError, ValueError) as bad:  # a member tells an address that cannot be one
                self.telemetry.trouble("fleet.bad_address", address=address, error=str(bad))
        for change in self.swim.changes():
            self.telemetry.log(
                "member",
                name=change.name,
                standing=change.standing.value,
                cause=change.cause,
                incarnation=change.incarnation,
                members=self.swim.table.count(),
            )

    def close(self, farewell: bool) -> None:
        """Let go of the address; with a `farewell` unless another process of this name goes on."""
        self._closed = True
        if self.swim and farewell:
            self._post(self.swim.leave(self.clock()))
        if self._transport:
            self._transport.close()

    def add_seeds(self, addresses: Sequence[str]) -> None:
        """Addresses of members that were found elsewhere (etcd's register), beside those that were given."""
        self.seeds = (
            *self._given,
            *(a for a in addresses if a not in self._given and a != self.about.address),
        )
        if self.swim:
            self.swim.reseed(self.seeds)

    def carry(self, name: str, data: bytes) -> None:
        """Send a member something of another part of the fleet."""
        if self.swim and not self._closed:
            self._post(self.swim.carry(name, data))

    def names(self) -> list[str] | None:
        """Who is a member, oneself among them; `None` while that is not known well enough to rest on."""
        if self.swim is None or not self.swim.caught_up or self.swim.left:
            return None
        return [info.name for info in self.swim.living()]

    def members(self) -> dict[str, Any]:
        """For operators: all that is held of each, and how this one fares."""
        if self.swim is None:
            return {"bound": False, "members": []}
        swim, now = self.swim, self.clock()
        rows = [self._row(swim.me, Standing.ALIVE.value, 0.0, [])]
        for seen in swim.table.seen.values():
            by = sorted(seen.suspicion.by) if seen.suspicion else []
            rows.append(self._row(seen.info, seen.standing.value, now - seen.since, by))
        return {
            "bound": True,
            "me": swim.me.name,
            "caught_up": swim.caught_up,
            "slow": swim.slow,
            "counts": dict(swim.counts),
            "members": sorted(rows, key=lambda row: str(row["name"])),
        }

    @staticmethod
    def _row(info: Alive, standing: str, for_ms: float, by: list[str]) -> dict[str, Any]:
        return {
            "name": info.name,
            "standing": standing,
            "for_s": round(for_ms / 1000.0, 1),
            "address": info.address,
            "zone": info.zone,
            "region": info.region,
            "version": info.version,
            "incarnation": info.incarnation,
            "start": info.start,
            "suspected_by": by,
        }

    def gauges(self) -> dict[str, int]:
        """How many members are in each standing, oneself among the living."""
        found = dict.fromkeys((standing.value for standing in Standing), 0) | {"alive": 1}
        for seen in self.swim.table.seen.values() if self.swim else ():
            found[seen.standing.value] += 1
        return found
