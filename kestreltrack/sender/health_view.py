"""Read-only view of the decision module's state for the fleet components: the health of destinations."""

from __future__ import annotations

from collections.abc import Container

from kestreltrack.decision import Policy
from kestreltrack.decision.arithmetic import NEVER
from kestreltrack.decision.rate_limit import SLOW_START_RATE_MARGIN
from kestreltrack.fleet.outage_probing.participant import DestinationHealth

# Fraction of recent calls that failed, from which on a destination counts as down; four failures in a row reach it.
# Rejections do not count: a destination that rejects calls is at its limit, which is no outage, and must not make the
# fleet stop calling it.
OUTAGE_FAILURE_RATE = 0.4


def destination_health(policy: Policy, now: float, dest_number: int) -> DestinationHealth | None:
    """Return the health of one destination; `None` if it is unknown or its endpoints fail independently.

    Args:
        policy: The decision module.
        now: The time in milliseconds on the clock of the decision module, which the result also uses.
        dest_number: The destination.
    """
    destination = policy.destinations.get(dest_number)
    limits = destination.limits if destination else None
    if limits is None:
        return None
    safety = limits.safety
    slow_start = limits.slow_start
    breaker = limits.breaker
    requests_per_s = limits.demand_per_s(now)
    is_down = limits.in_outage() and breaker.failure_share >= OUTAGE_FAILURE_RATE
    since_start_ms = now - slow_start.slow_start_from
    started = slow_start.slow_start_from > NEVER
    in_slow_start = not is_down and started and 0.0 <= since_start_ms < safety.warm_up_ms
    return DestinationHealth(
        dest_number,
        is_down,
        in_slow_start,
        slow_start.slow_start_from,
        breaker.last_success_at,
        breaker.last_failure_at,
        limits.last_call_at,
        bool(breaker.trial_call and not breaker.trial_call.overdue),
        min(1.0, requests_per_s / max(slow_start.cold_rate_per_s, 1e-6)),
        SLOW_START_RATE_MARGIN
        * safety.overload_factor
        * safety.cold_start_share
        * slow_start.cold_rate_per_s,
        limits.retry_after_until,
    )


def unhealthy_destinations(policy: Policy, now: float, probed: Container[int]) -> list[DestinationHealth]:
    """Return the health of the destinations that need coordination with the other senders of the fleet.

    These have queued messages or calls in flight, and are down, in slow start, under a retry-after, or already in
    `probed`.
    """
    candidates = (destination_health(policy, now, number) for number in policy.active_destinations)
    return [
        health
        for health in candidates
        if health
        and (health.down or health.in_slow_start or health.retry_after_until > now or health.dest in probed)
    ]
