"""Builds request rows for coordinators from the health of a destination and a lease request."""

from __future__ import annotations

from dataclasses import dataclass

from kestreltrack.fleet.outage_probing.state import DestinationHealth
from kestreltrack.fleet.outage_probing.wire import MAX_AGE_MS, ReportedState, RequestRow, age_ms
from kestreltrack.fleet.quota_leases import QuotaLeaseRequest


@dataclass(frozen=True, slots=True)
class RequestContent:
    """The state that a request reports, and the fraction of the budget that it demands."""

    state: ReportedState
    demand: float


def retry_after_content(health: DestinationHealth) -> RequestContent:
    """Return the content of a request that forwards a retry-after; it never reports that the destination is up."""
    if health.down:
        return RequestContent(ReportedState.DOWN, health.useful_quota())
    return RequestContent(ReportedState.UNKNOWN, health.demand if health.in_slow_start else 0.0)


def request_row(
    now: float, health: DestinationHealth, state: ReportedState, request: QuotaLeaseRequest
) -> RequestRow:
    """Return a request row, with times as ages and amounts clamped to the bounds of the wire format."""
    observed_at = health.last_failure_at if health.down else health.last_success_at
    return RequestRow(
        health.dest,
        request.seq,
        request.epoch,
        request.response_number,
        min(1.0, request.deposit),
        request.demand,
        state,
        age_ms(now, observed_at),
        age_ms(now, health.slow_start_since) if health.in_slow_start else MAX_AGE_MS,
        health.slow_start_rate,
        age_ms(health.retry_after_until, now),
    )
