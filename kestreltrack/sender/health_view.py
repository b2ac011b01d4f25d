"""What the parts of the fleet see of the decision module: partners in trouble.  Reads only."""

from __future__ import annotations

from collections.abc import Container

from kestreltrack.decision import Policy
from kestreltrack.decision.arithmetic import NEVER
from kestreltrack.decision.rate_limit import SLOW_START_RATE_MARGIN
from kestreltrack.fleet.outage_probing.participant import DestinationHealth

# Of its recent calls that failed, refusals aside: four in a row make so much.  A partner that refuses is at its
# limit, which is no outage: the fleet must not stop for that.
OUTAGE_FAILURE_RATE = 0.4


def destination_health(policy: Policy, now: float, dest_number: int) -> DestinationHealth | None:
    """Of one destination; `None` where it is not known, or its routes fail apart."""
    dest = policy.destinations.get(dest_number)
    guard = dest.limits if dest else None
    if dest is None or guard is None:
        return None
    safety = guard.safety
    asked = guard.demand_per_s(now)
    out = guard.in_outage() and guard.breaker.failure_share >= OUTAGE_FAILURE_RATE
    cold = (
        not out
        and guard.slow_start.slow_start_from > NEVER
        and 0.0 <= now - guard.slow_start.slow_start_from < safety.warm_up_ms
    )
    return DestinationHealth(
        dest_number,
        out,
        cold,
        guard.slow_start.slow_start_from,
        guard.breaker.last_success_at,
        guard.breaker.last_failure_at,
        guard.last_call_at,
        bool(guard.breaker.trial_call and not guard.breaker.trial_call.overdue),
        min(1.0, asked / max(guard.slow_start.cold_rate_per_s, 1e-6)),
        SLOW_START_RATE_MARGIN
        * safety.overload_factor
        * safety.cold_start_share
        * guard.slow_start.cold_rate_per_s,
        guard.retry_after_until,
    )


def unhealthy_destinations(policy: Policy, now: float, probed: Container[int]) -> list[DestinationHealth]:
    """Of those that messages are held for, or calls are out to, and that are out, cold or pursued."""
    found = (destination_health(policy, now, number) for number in policy.active_destinations)
    return [
        one
        for one in found
        if one and (one.down or one.in_slow_start or one.retry_after_until > now or one.dest in probed)
    ]
