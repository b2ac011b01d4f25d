"""What the parts of the fleet see of the decision module: partners in trouble.  Reads only."""

from __future__ import annotations

from collections.abc import Container

from kestreltrack.decision import Policy
from kestreltrack.decision.policy import COLD_MARGIN, NEVER
from kestreltrack.fleet.trials.holder import Reading

# Of its recent calls that failed, refusals aside: four in a row make so much.  A partner that refuses is at its
# limit, which is no outage: the fleet must not stop for that.
FAILS = 0.4


def reading(policy: Policy, now: float, number: int) -> Reading | None:
    """Of one destination; `None` where it is not known, or its routes fail apart."""
    dest = policy.dests.get(number)
    guard = dest.guard if dest else None
    if dest is None or guard is None:
        return None
    safety = guard.safety
    span = max(safety.tip_after_ms, now - guard.since) / 1000.0
    asked = (dest.asked - guard.before) / span
    out = guard.out() and guard.share >= FAILS
    cold = not out and guard.ramp_from > NEVER and 0.0 <= now - guard.ramp_from < safety.warm_after_ms
    return Reading(
        number,
        out,
        cold,
        guard.ramp_from,
        guard.fine_at,
        guard.failed_at,
        guard.sent_at,
        bool(guard.trial and not guard.trial.overdue),
        min(1.0, asked / max(guard.cold, 1e-6)),
        COLD_MARGIN * safety.overload_factor * safety.cold_share * guard.cold,
        guard.wait_until,
    )


def readings(policy: Policy, now: float, pursued: Container[int]) -> list[Reading]:
    """Of those that messages are held for, or calls are out to, and that are out, cold or pursued."""
    found = (reading(policy, now, number) for number in policy.busy)
    return [
        one for one in found if one and (one.out or one.cold or one.wait_until > now or one.dest in pursued)
    ]
