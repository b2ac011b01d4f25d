"""What the parts of the fleet see of the decision module: the health of destinations.  Reads only."""

from __future__ import annotations

from collections.abc import Container

from kestreltrack.decision import Policy
from kestreltrack.decision.policy import NEVER, SLOW_START_RATE_MARGIN
from kestreltrack.fleet.outage_probing.participant import DestinationHealth

# Share of recent calls that failed, rejections aside, from which on a destination counts as down: four failures in a
# row make so much.  A destination that rejects calls is at its limit, which is no outage: the fleet must not stop.
OUTAGE_FAILURE_RATE = 0.4


def destination_health(policy: Policy, now: float, dest_number: int) -> DestinationHealth | None:
    """Return the health of one destination; `None` where it is unknown, or its routes fail independently.

    `now` and the times of the result are in milliseconds on the clock of the decision module.
    """
    dest = policy.dests.get(dest_number)
    guard = dest.guard if dest else None
    if dest is None or guard is None:
        return None
    safety = guard.safety
    window_s = max(safety.overload_window_ms, now - guard.since) / 1000.0
    requests_per_s = (dest.asked - guard.before) / window_s
    is_down = guard.in_outage() and guard.share >= OUTAGE_FAILURE_RATE
    since_ramp_ms = now - guard.ramp_from
    in_slow_start = not is_down and guard.ramp_from > NEVER and 0.0 <= since_ramp_ms < safety.warm_up_ms
    return DestinationHealth(
        dest_number,
        is_down,
        in_slow_start,
        guard.ramp_from,
        guard.fine_at,
        guard.failed_at,
        guard.sent_at,
        bool(guard.trial and not guard.trial.overdue),
        min(1.0, requests_per_s / max(guard.cold, 1e-6)),
        SLOW_START_RATE_MARGIN * safety.overload_factor * safety.cold_start_share * guard.cold,
        guard.wait_until,
    )


def unhealthy_destinations(policy: Policy, now: float, probed: Container[int]) -> list[DestinationHealth]:
    """Return the health of the destinations with queued messages or calls in flight that need the fleet's care.

    These are down, in slow start, under a Retry-After, or among those already `probed`.
    """
    candidates = (destination_health(policy, now, number) for number in policy.busy)
    return [
        health
        for health in candidates
        if health
        and (health.down or health.in_slow_start or health.retry_after_until > now or health.dest in probed)
    ]
