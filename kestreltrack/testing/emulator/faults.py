"""What goes wrong in a world, and what changes in it: outages of partners and senders, drains."""

from __future__ import annotations

import asyncio
from typing import Protocol

import numpy as np

from kestreltrack.decision import EndpointLifecycle
from kestreltrack.invariants.events import FaultChanged
from kestreltrack.ports import ListedEndpoint
from kestreltrack.testing.emulator.clients import Traffic
from kestreltrack.testing.emulator.destination import SimulatedDestination, SimulatedEndpoint
from kestreltrack.testing.emulator.ports import ServiceRegistry
from kestreltrack.testing.emulator.random_streams import RandomStreams, Sampler
from kestreltrack.testing.emulator.scenario import DestinationKindTable, RandomFaultTable, Scenario
from kestreltrack.testing.emulator.simulated_sender import SimulatedSender


class FaultTarget(Protocol):
    """What troubles happen to; the world itself knows its troubles, so they name but what they touch."""

    scenario: Scenario
    random_streams: RandomStreams
    traffic: Traffic
    registry: ServiceRegistry
    destinations: dict[int, SimulatedDestination]
    endpoints: dict[str, SimulatedEndpoint]
    kinds: dict[int, DestinationKindTable]
    processes: list[SimulatedSender | None]

    def emit(self, event: FaultChanged) -> None:
        """Note what began or ended."""

    def listed_endpoint(
        self, endpoint: SimulatedEndpoint, lifecycle: EndpointLifecycle = EndpointLifecycle.UP
    ) -> ListedEndpoint:
        """An endpoint as it stands on the list."""

    async def crash(self, sender: int, away_s: float) -> None:
        """Kill a sender; it is back after so long."""

    async def registry_outage(self, duration_s: float) -> None:
        """The list service answers nobody for so long."""


class FaultInjector:
    """All of one day."""

    def __init__(self, target: FaultTarget) -> None:
        """Nothing goes wrong yet."""
        self.target = target
        self._faulted_destinations = set[int]()
        self._replacement_count = 0

    async def inject(self, n: int, table: RandomFaultTable) -> None:
        """One trouble, the `n`th of the scenario, from its beginning to its end."""
        rng = self.target.random_streams.generator("trouble", n)
        at = Sampler(table.at_s, rng)()
        lasts = Sampler(table.for_s, rng)()
        part = Sampler(table.part, rng)()
        size = Sampler(table.size, rng)()
        await asyncio.sleep(at)
        if table.kind in ("crash", "roll"):
            await self._crash_senders(table, lasts, part, size, rng)
            return
        if table.kind == "registry":
            await self.target.registry_outage(lasts)
            return
        every_ms = Sampler(table.every_s, rng)() * 1000.0
        struck = self._choose_destinations(table, part, rng)
        for number, endpoints in struck.items():
            self.target.destinations[number].inject_fault(
                table.kind, lasts * 1000.0, size, endpoints, every_ms
            )
        who = ", ".join(map(str, struck))
        ends = tuple(e.uid for found in struck.values() for e in found)
        self.target.emit(FaultChanged(table.kind, who, True, ends))
        await asyncio.sleep(lasts)
        self.target.emit(FaultChanged(table.kind, who, False, ends))

    def _choose_destinations(
        self, table: RandomFaultTable, part: float, rng: np.random.Generator
    ) -> dict[int, list[SimulatedEndpoint]]:
        """Partners, drawn, that get about this part of the traffic together, with the endpoints that are struck.

        One at least, where any is left: a partner has one trouble a day.
        """
        total = sum(self.target.traffic.rate_of.values())
        sum_ = 0.0
        zone = ""
        kinds = list(self.target.scenario.kind)
        if table.by == "zone":
            zone = self.target.scenario.fleet.zones[int(rng.integers(len(self.target.scenario.fleet.zones)))]
        elif table.by == "kind":
            kinds = [kinds[int(rng.integers(len(kinds)))]]
        found = dict[int, list[SimulatedEndpoint]]()
        open_ = dict[int, tuple[float, list[SimulatedEndpoint]]]()
        for n in rng.permutation(self.target.traffic.destinations).tolist():
            alive = [e for e in self.target.destinations[n].endpoints if not e.removed]
            hit = [e for e in alive if not zone or e.zone == zone]
            if hit and n not in self._faulted_destinations and self.target.kinds[n] in kinds:
                if table.whole < 1.0 and not zone and rng.random() >= table.whole:
                    hit = hit[: max(1, len(hit) // 2)]
                open_[n] = self.target.traffic.rate_of[n] / total * len(hit) / len(alive), hit
        for n, (share, hit) in open_.items():
            if sum_ + share <= part * 1.15:
                found[n], sum_ = hit, sum_ + share
            if sum_ >= part * 0.85:
                break
        if open_ and not found:
            n = min(open_, key=lambda n: abs(open_[n][0] - part))
            found = {n: open_[n][1]}
        self._faulted_destinations |= found.keys()
        return dict(sorted(found.items()))

    async def _crash_senders(
        self,
        table: RandomFaultTable,
        duration_s: float,
        part: float,
        magnitude: float,
        rng: np.random.Generator,
    ) -> None:
        kind = table.kind
        count = max(1, round(part * len(self.target.processes)))
        chosen = rng.permutation(len(self.target.processes))[:count].tolist()
        self.target.emit(FaultChanged(kind, ", ".join(map(str, chosen)), True))
        if kind == "crash":
            await asyncio.gather(*(self.target.crash(sender, duration_s) for sender in chosen))
        else:
            at_once = max(1, round(magnitude * len(self.target.processes)))
            groups = [chosen[n : n + at_once] for n in range(0, len(chosen), at_once)]
            away = Sampler(table.away_s, rng)()
            for group in groups:
                await asyncio.gather(*(self.target.crash(sender, away) for sender in group))
                await asyncio.sleep(max(0.0, duration_s / len(groups) - away))
        self.target.emit(FaultChanged(kind, ", ".join(map(str, chosen)), False))

    async def drain_endpoints(self) -> None:
        """All day, one endpoint after another drains, goes, and another one takes its place."""
        directory = self.target.scenario.directory
        rng = self.target.random_streams.generator("drains")
        gaps = Sampler(directory.drains_every_s, rng)
        lasts = Sampler(directory.drain_s, rng)
        while (gap := gaps()) > 0:
            await asyncio.sleep(gap)
            many = [
                p
                for p in self.target.destinations.values()
                if len([e for e in p.endpoints if e.lifecycle == "up"]) > 1
            ]
            if not many:
                continue
            partner = many[int(rng.integers(len(many)))]
            up = [e for e in partner.endpoints if e.lifecycle == "up"]
            asyncio.get_running_loop().create_task(self._replace(up[int(rng.integers(len(up)))], lasts()))

    async def _replace(self, old: SimulatedEndpoint, duration_s: float) -> None:
        partner = old.destination
        old.lifecycle = "draining"
        self.target.registry.publish(self.target.listed_endpoint(old, EndpointLifecycle.DRAINING))
        await asyncio.sleep(duration_s + 4.0)
        self.target.registry.publish(self.target.listed_endpoint(old, EndpointLifecycle.REMOVED))
        old.lifecycle = "removed"
        old.removed = True
        self._replacement_count += 1
        new = SimulatedEndpoint(
            f"p{partner.number}-r{self._replacement_count}",
            partner,
            old.cores,
            old.queue_capacity,
            old.speed,
            old.max_connections,
        )
        new.rate_limit = old.rate_limit
        new.health = old.health
        new.zone = old.zone
        new.zone_cost = old.zone_cost
        partner.endpoints.append(new)
        self.target.endpoints[new.uid] = new
        self.target.registry.publish(self.target.listed_endpoint(new))
