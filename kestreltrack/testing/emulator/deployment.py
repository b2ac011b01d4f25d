"""The destinations of a simulation and the traffic to them, drawn from a scenario."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

import numpy as np

from kestreltrack.invariants.events import DestinationOverloaded, Event, MessageExecuted
from kestreltrack.testing.emulator.calls import Request
from kestreltrack.testing.emulator.clients import Traffic
from kestreltrack.testing.emulator.destination import SimulatedDestination, SimulatedEndpoint
from kestreltrack.testing.emulator.random_streams import (
    Distribution,
    RandomStreams,
    Sampler,
    apportion,
    lognormal_distribution,
)
from kestreltrack.testing.emulator.rate_limit import RateLimit
from kestreltrack.testing.emulator.scenario import DestinationKindTable, Scenario

# Least capacity of a destination; avoids a division by zero.
MIN_CAPACITY = 1e-6

# Least share of a tenant; avoids a division by zero.
MIN_TENANT_SHARE = 1e-9

# Range of the random number that selects the zone of a destination's first endpoint; far larger than the number of
# zones, so that each is about equally probable.
ZONE_DRAW_RANGE = 1 << 16

# Value of a kind's `refused_count` from which on rejected calls count against the limit.
COUNTS_REJECTIONS_THRESHOLD = 0.5


@dataclass(frozen=True, slots=True)
class _LimitParameters:
    """The parameters of a destination's rate limit, which independent endpoints split evenly."""

    kind: str
    min_rate_per_s: float
    rate_per_s: float
    window_ms: float
    burst_s: float
    counts_rejections: bool

    def create(self, fraction: float) -> RateLimit:
        """Return a new limit with a fraction of the rate, but at least the minimum rate."""
        rate_per_s = max(self.min_rate_per_s, self.rate_per_s * fraction)
        return RateLimit(self.kind, rate_per_s, self.window_ms, self.burst_s, self.counts_rejections)


class Deployment:
    """Destinations, their kinds and endpoints, and the distribution of the traffic over them."""

    def __init__(
        self,
        scenario: Scenario,
        random_streams: RandomStreams,
        loop: asyncio.AbstractEventLoop,
        emit: Callable[[Event], None],
    ) -> None:
        """Draw the destinations and the distribution of the traffic."""
        self._scenario = scenario
        self._random_streams = random_streams
        self._loop = loop
        self._emit = emit
        self.mean_work_ms_of_class = {
            cls.name: random_streams.sampler(cls.work_ms, "class", cls.name, "work")() for cls in scenario.cls
        }
        rng = random_streams.generator("traffic")
        self.kinds = self._draw_kinds(rng)
        self.traffic = self._draw_traffic(rng)
        self.destinations = {
            number: self._draw_destination(number, kind) for number, kind in self.kinds.items()
        }

    # Traffic ---------------------------------------------------------------------------------------

    def _draw_kinds(self, rng: np.random.Generator) -> dict[int, DestinationKindTable]:
        """Return the kind of each destination; destinations are numbered in the order of their traffic.

        Kinds with a large `lean` tend to get low numbers, and thereby much traffic.
        """
        scenario = self._scenario
        counts = apportion([kind.share for kind in scenario.kind], scenario.partners)
        ranked = list[tuple[float, DestinationKindTable]]()
        for kind, count in zip(scenario.kind, counts, strict=True):
            ranked += [(kind.lean + float(rng.random()), kind) for _ in range(count)]
        ranked.sort(key=lambda row: -row[0])
        return {number: kind for number, (_, kind) in enumerate(ranked, start=1)}

    def _draw_traffic(self, rng: np.random.Generator) -> Traffic:
        """Distribute the traffic by Zipf's law over the destinations that get each message class."""
        scenario = self._scenario
        numbers = list(self.kinds)
        exponent = Sampler(scenario.load.zipf, rng)()
        weights = np.array([1.0 / number**exponent for number in numbers])
        cumulative_shares = dict[str, list[float]]()
        total_shares = np.zeros(len(numbers))
        for cls in scenario.cls:
            allowed = np.array([not cls.kinds or self.kinds[number].name in cls.kinds for number in numbers])
            shares = weights * allowed
            shares = shares / shares.sum()
            total_shares += cls.share * shares
            cumulative_shares[cls.name] = np.cumsum(shares).tolist()
        rates = {number: float(total_shares[number - 1]) * scenario.load.full for number in numbers}
        return Traffic(
            numbers, cumulative_shares, self._assign_tenants(rates), rates, self._create_work_samplers()
        )

    def _create_work_samplers(self) -> dict[str, Sampler]:
        return {
            cls.name: self._random_streams.sampler(
                lognormal_distribution(self.mean_work_ms_of_class[cls.name], cls.cv), "work", cls.name
            )
            for cls in self._scenario.cls
        }

    def _assign_tenants(self, rates: dict[int, float]) -> dict[int, str]:
        """Assign each destination to a tenant, so that the tenants' traffic approximates their shares."""
        tenants = self._scenario.firm
        if not tenants:
            return dict.fromkeys(rates, "")
        total_rate = sum(rates.values())
        assigned_share = {tenant.name: 0.0 for tenant in tenants}
        tenant_of = dict[int, str]()
        for number in sorted(rates, key=lambda number: -rates[number]):
            tenant = min(
                tenants, key=lambda tenant: assigned_share[tenant.name] / max(MIN_TENANT_SHARE, tenant.share)
            )
            tenant_of[number] = tenant.name
            assigned_share[tenant.name] += rates[number] / total_rate
        return tenant_of

    def mean_work_ms(self, number: int) -> float:
        """Return the mean work (ms) of a message to a destination."""
        total = 0.0
        for cls in self._scenario.cls:
            cumulative = self.traffic.cumulative_shares[cls.name]
            share = cumulative[number - 1] - (cumulative[number - 2] if number > 1 else 0.0)
            total += cls.share * share * self._scenario.load.full * self.mean_work_ms_of_class[cls.name]
        if not total:
            return max(self.mean_work_ms_of_class.values())
        return total / self.traffic.rate_of[number]

    # Destinations ----------------------------------------------------------------------------------

    def _draw_destination(self, number: int, kind: DestinationKindTable) -> SimulatedDestination:
        streams = self._random_streams
        rules = self._scenario.rules
        rng = streams.generator("partner", number)
        limits = self._draw_limits(number, kind, rng)
        destination = SimulatedDestination(
            number,
            kind.name,
            limits.create(1.0),
            self._loop,
            streams.uniform("partner", number, "chance"),
            rules.fall_multiple,
            rules.fall_ms,
        )
        self._draw_behavior(destination, kind, rng)
        spare_factor = Sampler(kind.spare, rng)()
        endpoint_count = max(1, int(Sampler(kind.endpoints, rng)()))
        limit_count = endpoint_count if kind.routes == "apart" else 1
        calls_per_s = limit_count * max(limits.min_rate_per_s, limits.rate_per_s / limit_count)
        destination.typical_work_ms = self.mean_work_ms(number)
        destination.health.capacity = max(
            MIN_CAPACITY, calls_per_s * destination.typical_work_ms / 1000.0 * spare_factor
        )
        self._add_endpoints(destination, kind, endpoint_count, rng)
        self._assign_zones(destination)
        if kind.routes == "apart":
            self._make_endpoints_independent(destination, limits)
        return destination

    def _draw_limits(
        self, number: int, kind: DestinationKindTable, rng: np.random.Generator
    ) -> _LimitParameters:
        min_rate_per_s = Sampler(kind.least_rate, rng)()
        rate_per_s = self.traffic.rate_of[number] * Sampler(kind.headroom, rng)()
        window_ms = Sampler(kind.window_ms, rng)()
        burst_s = Sampler(kind.depth_s, rng)()
        refused_count = self._random_streams.sampler(kind.refused_count, "kind", kind.name, "refused")()
        return _LimitParameters(
            kind.limit,
            min_rate_per_s,
            rate_per_s,
            window_ms,
            burst_s,
            refused_count >= COUNTS_REJECTIONS_THRESHOLD,
        )

    def _draw_behavior(
        self, destination: SimulatedDestination, kind: DestinationKindTable, rng: np.random.Generator
    ) -> None:
        def draw(distribution: Distribution) -> float:
            return Sampler(distribution, rng)()

        number = destination.number
        destination.error_rate = draw(kind.error_rate)
        destination.retry_after_probability = draw(kind.tells_wait)
        if kind.limit == "rate":
            destination.extra_retry_after_ms = draw(kind.wait_ms)
        destination.warm_up_s = draw(kind.cold_s)
        destination.cold_start_share = draw(kind.cold_from)
        destination.cancels_queued = rng.random() < 0.5
        destination.deduplication_window_ms = kind.remembers_s * 1000.0
        destination.overload_outage_ms = self._scenario.rules.down_s * 1000.0
        destination.max_batch_size = kind.batch
        destination.load_reports = self._scenario.knows.reports
        destination.batch_item_cost = self._random_streams.sampler(
            kind.item_cost, "partner", number, "item"
        )()

        def on_executed(request: Request, duplicate: bool) -> None:
            self._emit(MessageExecuted(request.id, number, duplicate, request.work_ms))

        def on_overload(work_by_sender: dict[int, float], endpoints: tuple[str, ...]) -> None:
            self._emit(DestinationOverloaded(number, work_by_sender, endpoints))

        destination.on_executed = on_executed
        destination.on_overload = on_overload

    @staticmethod
    def _add_endpoints(
        destination: SimulatedDestination, kind: DestinationKindTable, count: int, rng: np.random.Generator
    ) -> None:
        """Add endpoints whose total capacity is that of the destination.

        The number of cores, at least one each, follows from the nominal speed; the actual speed offsets the rounding.
        """
        nominal_speed = Sampler(kind.speed, rng)()
        total_cores = max(count, round(destination.health.capacity / nominal_speed))
        speed = destination.health.capacity / total_cores
        for n in range(count):
            cores = total_cores // count
            if n < total_cores % count:
                cores += 1
            queue_capacity = max(1, round(cores * Sampler(kind.queue_per_core, rng)()))
            max_connections = 0.0
            if kind.conns != 0:
                min_connections = Sampler(kind.least_conns, rng)()
                max_connections = max(min_connections, cores * Sampler(kind.conns, rng)())
            destination.endpoints.append(
                SimulatedEndpoint(
                    f"p{destination.number}-{n}",
                    destination,
                    cores,
                    queue_capacity,
                    speed,
                    int(max_connections),
                )
            )

    def _assign_zones(self, destination: SimulatedDestination) -> None:
        """Assign the endpoints to the zones in turn, starting with a random zone."""
        zones = self._scenario.fleet.zones
        uniform = self._random_streams.uniform("partner", destination.number, "zone")
        first = uniform.integer_below(ZONE_DRAW_RANGE)
        for n, endpoint in enumerate(destination.endpoints):
            endpoint.zone = zones[(first + n) % len(zones)]

    def _make_endpoints_independent(
        self, destination: SimulatedDestination, limits: _LimitParameters
    ) -> None:
        """Give each endpoint its own health, rate limit and zone cost."""
        fleet = self._scenario.fleet
        zone_costs = dict(zip(fleet.zones, fleet.zone_fees, strict=False))
        for endpoint in destination.endpoints:
            destination.split_health([endpoint])
            endpoint.rate_limit = limits.create(1.0 / len(destination.endpoints))
            endpoint.zone_cost = zone_costs.get(endpoint.zone, 0.0)
