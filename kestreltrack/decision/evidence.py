"""What ended attempts and other senders tell of the health, the limits and the latency of destinations."""

from kestreltrack.decision import circuit_breaker, rate_limit
from kestreltrack.decision.arithmetic import NEVER, moving_average
from kestreltrack.decision.events import AttemptEnded, HealthReported, QuotaLeased, RetryAfterReceived
from kestreltrack.decision.outcomes import Outcome
from kestreltrack.decision.records import Call
from kestreltrack.decision.state import DeliveryState

LATENCY_WEIGHT = 0.2  # of the newest latency: follows a slow-down within about five calls


def learn_from_attempt(state: DeliveryState, call: Call, event: AttemptEnded) -> None:
    """Take what an attempt tells, and what its call tells once for all of its messages."""
    now, endpoint, destination = state.now, call.endpoint, call.endpoint.destination
    waits, outcome = event.retry_after_ms > 0, event.outcome
    retry_at = now + event.retry_after_ms + (1.0 if waits else 0.0)
    endpoint.limits[0].retry_after_until = max(endpoint.limits[0].retry_after_until, retry_at)
    for limits in endpoint.limits if event.rate_limit else ():  # none, or 0: no limit is reported
        left = 1.0 if event.quota_left is None else event.quota_left
        rate_limit.apply_load_report(limits, now, event.rate_limit or 0.0, left)
    if call.evidence_used:
        return
    call.evidence_used = True
    without_report = state.settings.load_reports and event.quota_left is None and not waits
    # Rejected at the door: no connection was to be had.
    crowded = call.new_connection and without_report and outcome is Outcome.REJECTED
    if outcome is Outcome.UNREACHABLE or crowded:
        state.scarce_connection_kinds.add(endpoint.kind)
    if outcome in (Outcome.OK, Outcome.ERROR, Outcome.REJECTED):
        endpoint.last_answer_at = now
    if outcome is Outcome.OK:
        # Of a success alone: an instant failure must not make its destination look cheap.
        destination.learn_latency(event.duration_ms, LATENCY_WEIGHT)
        endpoint.learn_latency(event.duration_ms, LATENCY_WEIGHT)
        for limits in endpoint.limits:
            circuit_breaker.record_success(limits, now)
    elif outcome is Outcome.TIMED_OUT and event.duration_ms < circuit_breaker.overdue_after_ms(destination):
        # The message had no more time left, which says nothing of health; so long the latency is at least.
        longer_ms = moving_average(destination.mean_latency_ms, event.duration_ms, LATENCY_WEIGHT)
        destination.mean_latency_ms = max(destination.mean_latency_ms, longer_ms)
    elif not event.stale_connection:  # which ends for reasons of its own; a new one tells of an outage
        jitter = state.random.random() + (0.0 if waits else 0.5)  # retry-afters end for all at once
        refused_until = retry_at if outcome is Outcome.REJECTED else NEVER
        for limits in endpoint.limits[-1:] if crowded else endpoint.limits:
            circuit_breaker.record_failure(limits, call, now, jitter, refused_until)


def apply_quota_lease(state: DeliveryState, event: QuotaLeased) -> None:
    """Go by a share of a destination's cold budget; the fleet paces the trials of all."""
    destination = state.destinations.get(event.dest)
    if destination is None:
        return
    if destination.limits:  # what it has waited for counts by the share that it had meanwhile
        destination.limits.slow_start.set_credit(rate_limit.credit(destination.limits, state.now), state.now)
    destination.quota_lease = (event.share, event.until)
    for endpoint in destination.endpoints.values():
        if event.share and endpoint.limits[0].in_outage():
            endpoint.close_circuits()


def apply_health_report(state: DeliveryState, event: HealthReported) -> None:
    """Take what no newer answer here tells: a recovery, or an outage as if it had been seen from here."""
    destination = state.destinations.get(event.dest)
    if destination is None or destination.limits is None:
        return
    limits, breaker = destination.limits, destination.limits.breaker
    outdated = event.at < max(breaker.last_success_at, breaker.last_failure_at)
    if outdated or (breaker.consecutive_failures and not event.up):
        return
    breaker.consecutive_failures, breaker.open_until = 0, NEVER
    limits.slow_start.slow_start_from = event.since
    limits.slow_start.set_credit(state.random.random(), state.now)  # not all at once
    if not event.up:
        limits.measure_demand_from(event.at, len(destination.queued))
        breaker.consecutive_failures, breaker.failure_share = 1, circuit_breaker.OUTAGE_SHARE
        breaker.last_failure_at = limits.slow_start.slow_start_from = event.at


def apply_retry_after(state: DeliveryState, event: RetryAfterReceived) -> None:
    """Take another caller's retry-after as if a call from here had been refused with it."""
    destination = state.destination(event.dest)
    calls = {endpoint.limits[0]: Call(endpoint, state.now) for endpoint in destination.endpoints.values()}
    for limits, call in calls.items():
        if event.rejected and not limits.retry_after_active(state.now):
            circuit_breaker.record_failure(limits, call, state.now, state.random.random(), event.until)
    destination.retry_after_until = max(destination.retry_after_until, event.until)
