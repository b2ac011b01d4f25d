"""Creates the records of new endpoints from the settings and the entries of the endpoint list."""

from __future__ import annotations

from kestreltrack.decision.endpoint_selection import HANDSHAKE_MS, ZONE_COST_MS
from kestreltrack.decision.events import EndpointEntry
from kestreltrack.decision.rate_limit import APPROXIMATE_RATE_MARGIN, DEFAULT_RATE_PER_S
from kestreltrack.decision.records import CallLimits, Destination, Endpoint, SendRate, SlowStart
from kestreltrack.decision.settings import KindSettings, RateAccuracy, Settings


def new_endpoint(
    entry: EndpointEntry, destination: Destination, settings: Settings, cost_bias: float
) -> Endpoint:
    """Return a new endpoint; `cost_bias` is random, so that not all senders prefer the same endpoint."""
    kind = settings.kinds.get(entry.kind, KindSettings())
    fixed_cost_ms = HANDSHAKE_MS * cost_bias
    limits = [new_limits(settings, destination, entry, kind.independent_endpoints)]
    if kind.independent_endpoints:
        fixed_cost_ms = ZONE_COST_MS * settings.zone_costs.get(entry.zone, 0.0) + fixed_cost_ms
    else:
        if destination.limits is None:
            destination.limits = new_limits(settings, destination, entry, False)
        limits.insert(0, destination.limits)
    return Endpoint(entry, destination, limits, fixed_cost_ms, kind.max_batch_size)


def new_limits(
    settings: Settings, destination: Destination, entry: EndpointEntry, independent: bool
) -> CallLimits:
    """Return the initial limits of calls to an endpoint, or to its destination."""
    unknown = settings.rate_accuracy is RateAccuracy.NONE
    base_rate = DEFAULT_RATE_PER_S if unknown or entry.rate <= 0 else entry.rate
    margin = 1.0 if settings.rate_accuracy is RateAccuracy.EXACT else APPROXIMATE_RATE_MARGIN
    send_rate = SendRate(base_rate, float(settings.sender_count), unknown and not settings.load_reports)
    slow_start = SlowStart(base_rate * margin)
    return CallLimits(settings, destination, independent, slow_start, send_rate)
