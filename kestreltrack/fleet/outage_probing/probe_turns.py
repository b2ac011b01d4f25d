"""A participant's turns to probe a destination that is down.

During an outage a sender has quota only during its turn, and a turn is one probe.  The coordinator schedules the
turns by granting the whole pool to one sender at a time.  Without a coordinator, a sender schedules its own turns
within its own quota.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from kestreltrack.fleet.outage_probing.state import DestinationHealth, ProbedDestination
from kestreltrack.fleet.outage_probing.timing import PROBE_TURN_MS

# Issued instead of 0 after an outage: a quota of 0 would make the policy wait for a turn.
MIN_QUOTA = 1e-6
# Lower bound on a call rate: keeps the turn interval finite at a rate of 0.
MIN_RATE_PER_S = 1e-6


class TurnChange(Enum):
    """Change of a turn during one tick."""

    NONE = "none"
    STARTED = "started"
    # The turn ended, and the grant is returned to the coordinator so that another sender has the next turn.
    RETURNED = "returned"


@dataclass(frozen=True, slots=True)
class TurnResult:
    """The quota that the policy may use now, and how the turn changed."""

    quota: float
    change: TurnChange = TurnChange.NONE


def turn_interval_ms(rate_per_s: float) -> float:
    """Return the time between turns of a sender with the given call rate."""
    return max(PROBE_TURN_MS, 1000.0 / max(rate_per_s, MIN_RATE_PER_S))


def advance_turn(now: float, destination: ProbedDestination, health: DestinationHealth) -> TurnResult:
    """Start, continue or end a turn; during an outage the quota is positive only until the turn's probe starts."""
    if not health.down:
        destination.turn_started_at = None
        return TurnResult(max(MIN_QUOTA, destination.lease_holder.usable_quota(now)))
    coordinated = destination.down and not destination.standalone
    quota = _outage_quota(now, destination, coordinated)
    if destination.turn_started_at is not None:
        return _continue_turn(now, destination, health, quota, coordinated)
    due = coordinated or destination.next_turn_at is None or now >= destination.next_turn_at
    if quota <= 0.0 or not due:
        return TurnResult(0.0)
    destination.turn_started_at = now
    return TurnResult(quota, TurnChange.STARTED)


def _outage_quota(now: float, destination: ProbedDestination, coordinated: bool) -> float:
    """Return the quota of a turn: the coordinator's grant if it schedules the turns, else the sender's own quota."""
    if coordinated:
        return destination.lease_holder.granted_amount(now)
    return destination.lease_holder.usable_quota(now)


def _continue_turn(
    now: float,
    destination: ProbedDestination,
    health: DestinationHealth,
    quota: float,
    coordinated: bool,
) -> TurnResult:
    started_at = destination.turn_started_at
    assert started_at is not None
    probed = health.last_attempt_at >= started_at
    over = not health.probe_in_flight if probed else now - started_at > PROBE_TURN_MS
    change = TurnChange.NONE
    if over or quota <= 0.0:
        destination.turn_started_at = None
        destination.next_turn_at = now + turn_interval_ms(health.slow_start_rate * quota)
        if coordinated:
            change = TurnChange.RETURNED
    return TurnResult(0.0 if probed or over else quota, change)
