"""The faults and changes of a run: outages of destinations and senders, replacement of endpoints."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from typing import Protocol

import numpy as np

from kestreltrack.decision import EndpointLifecycle
from kestreltrack.invariants.events import FaultChanged
from kestreltrack.ports import ListedEndpoint
from kestreltrack.testing.emulator.clients import Traffic
from kestreltrack.testing.emulator.destination import SimulatedDestination, SimulatedEndpoint
from kestreltrack.testing.emulator.random_streams import RandomStreams, Sampler
from kestreltrack.testing.emulator.scenario import DestinationKindTable, RandomFaultTable, Scenario
from kestreltrack.testing.emulator.service_registry import ServiceRegistry
from kestreltrack.testing.emulator.simulated_sender import SimulatedSender

# Tolerances for the traffic of the destinations that a fault affects, relative to the part that the scenario asks
# for: the traffic of whole destinations rarely adds up to that part exactly.
MIN_TRAFFIC_FACTOR = 0.85
MAX_TRAFFIC_FACTOR = 1.15

# How long an endpoint stays listed after its drain, so that every sender learns of the drain before the removal.
REMOVAL_DELAY_S = 4.0


class FaultTarget(Protocol):
    """The simulation that faults act on.

    It creates the injector, which depends on this interface only, to avoid a circular import.
    """

    scenario: Scenario
    random_streams: RandomStreams
    traffic: Traffic
    registry: ServiceRegistry
    destinations: dict[int, SimulatedDestination]
    endpoints: dict[str, SimulatedEndpoint]
    kinds: dict[int, DestinationKindTable]
    processes: list[SimulatedSender | None]

    def emit(self, event: FaultChanged) -> None:
        """Report the beginning or the end of a fault."""

    def listed_endpoint(
        self, endpoint: SimulatedEndpoint, lifecycle: EndpointLifecycle = EndpointLifecycle.UP
    ) -> ListedEndpoint:
        """Return an endpoint's entry in the endpoint list."""

    async def crash(self, sender: int, away_s: float) -> None:
        """Kill a sender, and start it again after `away_s` seconds."""

    async def registry_outage(self, duration_s: float) -> None:
        """Make the service registry unavailable for `duration_s` seconds."""


@dataclass(slots=True)
class _FaultCandidate:
    """Endpoints of one destination that a fault may affect."""

    endpoints: list[SimulatedEndpoint]
    traffic_share: float
    """Their share of the total traffic."""


class FaultInjector:
    """Injects the random faults of a scenario, and replaces endpoints."""

    def __init__(self, target: FaultTarget) -> None:
        """Create an injector that has injected nothing."""
        self.target = target
        self._faulted_destinations = set[int]()
        self._replacement_count = 0
        self._replacements = set[asyncio.Task[None]]()

    async def inject(self, index: int, table: RandomFaultTable) -> None:
        """Wait for the beginning of fault `index` of the scenario, and return after its end."""
        rng = self.target.random_streams.generator("trouble", index)
        starts_at_s = Sampler(table.at_s, rng)()
        duration_s = Sampler(table.for_s, rng)()
        part = Sampler(table.part, rng)()
        magnitude = Sampler(table.size, rng)()
        await asyncio.sleep(starts_at_s)
        if table.kind in ("crash", "roll"):
            await self._crash_senders(table, duration_s, part, magnitude, rng)
        elif table.kind == "registry":
            await self.target.registry_outage(duration_s)
        else:
            await self._inject_into_destinations(table, duration_s, part, magnitude, rng)

    async def _inject_into_destinations(
        self,
        table: RandomFaultTable,
        duration_s: float,
        part: float,
        magnitude: float,
        rng: np.random.Generator,
    ) -> None:
        mean_interval_ms = Sampler(table.every_s, rng)() * 1000.0
        affected = self._choose_destinations(table, part, rng)
        for number, endpoints in affected.items():
            self.target.destinations[number].inject_fault(
                table.kind, duration_s * 1000.0, magnitude, endpoints, mean_interval_ms
            )
        numbers = ", ".join(map(str, affected))
        uids = tuple(endpoint.uid for endpoints in affected.values() for endpoint in endpoints)
        self.target.emit(FaultChanged(table.kind, numbers, True, uids))
        await asyncio.sleep(duration_s)
        self.target.emit(FaultChanged(table.kind, numbers, False, uids))

    def _choose_destinations(
        self, table: RandomFaultTable, part: float, rng: np.random.Generator
    ) -> dict[int, list[SimulatedEndpoint]]:
        """Draw destinations with about this part of the traffic, and return their affected endpoints.

        At least one destination is chosen where any is left: a destination has at most one fault in a run.
        """
        candidates = self._draw_candidates(table, rng)
        chosen = dict[int, list[SimulatedEndpoint]]()
        chosen_share = 0.0
        for number, candidate in candidates.items():
            if chosen_share + candidate.traffic_share <= part * MAX_TRAFFIC_FACTOR:
                chosen[number] = candidate.endpoints
                chosen_share += candidate.traffic_share
            if chosen_share >= part * MIN_TRAFFIC_FACTOR:
                break
        if candidates and not chosen:
            nearest = min(candidates, key=lambda number: abs(candidates[number].traffic_share - part))
            chosen[nearest] = candidates[nearest].endpoints
        self._faulted_destinations |= chosen.keys()
        return dict(sorted(chosen.items()))

    def _draw_candidates(
        self, table: RandomFaultTable, rng: np.random.Generator
    ) -> dict[int, _FaultCandidate]:
        """Return the destinations without a fault so far, in random order; `by` limits them to one zone or kind."""
        target = self.target
        zone = ""
        kinds = list(target.scenario.kind)
        if table.by == "zone":
            zones = target.scenario.fleet.zones
            zone = zones[int(rng.integers(len(zones)))]
        elif table.by == "kind":
            kinds = [kinds[int(rng.integers(len(kinds)))]]
        total_rate = sum(target.traffic.rate_of.values())
        candidates = dict[int, _FaultCandidate]()
        for number in rng.permutation(target.traffic.destinations).tolist():
            listed = [e for e in target.destinations[number].endpoints if not e.removed]
            affected = [endpoint for endpoint in listed if not zone or endpoint.zone == zone]
            if not affected or number in self._faulted_destinations or target.kinds[number] not in kinds:
                continue
            if table.whole < 1.0 and not zone and rng.random() >= table.whole:
                affected = affected[: max(1, len(affected) // 2)]
            share = target.traffic.rate_of[number] / total_rate * len(affected) / len(listed)
            candidates[number] = _FaultCandidate(affected, share)
        return candidates

    async def _crash_senders(
        self,
        table: RandomFaultTable,
        duration_s: float,
        part: float,
        magnitude: float,
        rng: np.random.Generator,
    ) -> None:
        sender_count = len(self.target.processes)
        count = max(1, round(part * sender_count))
        chosen: list[int] = rng.permutation(sender_count)[:count].tolist()
        numbers = ", ".join(map(str, chosen))
        self.target.emit(FaultChanged(table.kind, numbers, True))
        if table.kind == "crash":
            await asyncio.gather(*(self.target.crash(sender, duration_s) for sender in chosen))
        else:
            group_size = max(1, round(magnitude * sender_count))
            away_s = Sampler(table.away_s, rng)()
            await self._restart_in_groups(chosen, group_size, duration_s, away_s)
        self.target.emit(FaultChanged(table.kind, numbers, False))

    async def _restart_in_groups(
        self, senders: list[int], group_size: int, duration_s: float, away_s: float
    ) -> None:
        """Restart senders group by group, at equal intervals over the duration."""
        groups = [senders[n : n + group_size] for n in range(0, len(senders), group_size)]
        for group in groups:
            await asyncio.gather(*(self.target.crash(sender, away_s) for sender in group))
            await asyncio.sleep(max(0.0, duration_s / len(groups) - away_s))

    async def drain_endpoints(self) -> None:
        """Drain and replace endpoints at random intervals; return when the drawn interval is 0."""
        directory = self.target.scenario.directory
        rng = self.target.random_streams.generator("drains")
        intervals_s = Sampler(directory.drains_every_s, rng)
        durations_s = Sampler(directory.drain_s, rng)
        while (interval_s := intervals_s()) > 0:
            await asyncio.sleep(interval_s)
            endpoint = self._choose_endpoint_to_drain(rng)
            if endpoint is not None:
                task = asyncio.create_task(self._replace(endpoint, durations_s()))
                self._replacements.add(task)
                task.add_done_callback(self._replacements.discard)

    def _choose_endpoint_to_drain(self, rng: np.random.Generator) -> SimulatedEndpoint | None:
        """Draw an endpoint of a destination with at least two endpoints that are up."""
        up_endpoints = [
            [endpoint for endpoint in destination.endpoints if endpoint.lifecycle == "up"]
            for destination in self.target.destinations.values()
        ]
        replaceable = [endpoints for endpoints in up_endpoints if len(endpoints) > 1]
        if not replaceable:
            return None
        endpoints = replaceable[int(rng.integers(len(replaceable)))]
        return endpoints[int(rng.integers(len(endpoints)))]

    async def _replace(self, old: SimulatedEndpoint, duration_s: float) -> None:
        registry = self.target.registry
        old.lifecycle = "draining"
        registry.publish(self.target.listed_endpoint(old, EndpointLifecycle.DRAINING))
        await asyncio.sleep(duration_s + REMOVAL_DELAY_S)
        registry.publish(self.target.listed_endpoint(old, EndpointLifecycle.REMOVED))
        old.lifecycle = "removed"
        old.removed = True
        new = self._create_replacement(old)
        old.destination.endpoints.append(new)
        self.target.endpoints[new.uid] = new
        registry.publish(self.target.listed_endpoint(new))

    def _create_replacement(self, old: SimulatedEndpoint) -> SimulatedEndpoint:
        """Return a replacement for an endpoint, with a new identifier."""
        self._replacement_count += 1
        new = SimulatedEndpoint(
            f"p{old.destination.number}-r{self._replacement_count}",
            old.destination,
            old.cores,
            old.queue_capacity,
            old.speed,
            old.max_connections,
        )
        new.rate_limit = old.rate_limit
        new.health = old.health
        new.zone = old.zone
        new.zone_cost = old.zone_cost
        return new
