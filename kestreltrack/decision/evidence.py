"""What ended attempts and other senders reveal about the health, limits and latency of destinations."""

from kestreltrack.decision import circuit_breaker, rate_limit
from kestreltrack.decision.arithmetic import NEVER, moving_average
from kestreltrack.decision.events import AttemptEnded, HealthReported, QuotaLeased, RetryAfterReceived
from kestreltrack.decision.outcomes import Outcome
from kestreltrack.decision.records import Call
from kestreltrack.decision.state import DeliveryState

# Weight of the newest latency, so that the mean follows a slow-down within about five calls.
LATENCY_WEIGHT = 0.2


def learn_from_attempt(state: DeliveryState, call: Call, event: AttemptEnded) -> None:
    """Apply the evidence of an attempt, and that of its call once for all messages of the call."""
    now = state.now
    endpoint = call.endpoint
    destination = endpoint.destination
    has_retry_after = event.retry_after_ms > 0
    outcome = event.outcome
    retry_at = now + event.retry_after_ms + (1.0 if has_retry_after else 0.0)
    endpoint.limits[0].retry_after_until = max(endpoint.limits[0].retry_after_until, retry_at)
    # None or 0: no limit is reported.
    for limits in endpoint.limits if event.rate_limit else ():
        quota_left = 1.0 if event.quota_left is None else event.quota_left
        rate_limit.apply_load_report(limits, now, event.rate_limit or 0.0, quota_left)
    if call.evidence_used:
        return
    call.evidence_used = True
    without_report = state.settings.load_reports and event.quota_left is None and not has_retry_after
    # A rejection on a new connection without a load report: the endpoint has no connection left.
    no_connection_left = call.new_connection and without_report and outcome is Outcome.REJECTED
    if outcome is Outcome.UNREACHABLE or no_connection_left:
        state.scarce_connection_kinds.add(endpoint.kind)
    if outcome in (Outcome.OK, Outcome.ERROR, Outcome.REJECTED):
        endpoint.last_answer_at = now
    if outcome is Outcome.OK:
        # Only successes count: an immediate failure must not make the destination look fast.
        destination.update_mean_latency(event.duration_ms, LATENCY_WEIGHT)
        endpoint.update_mean_latency(event.duration_ms, LATENCY_WEIGHT)
        for limits in endpoint.limits:
            circuit_breaker.record_success(limits, now)
    elif outcome is Outcome.TIMED_OUT and event.duration_ms < circuit_breaker.overdue_after_ms(destination):
        # The message expired before the call was overdue, which is no evidence of health; the latency is at
        # least this long.
        longer_ms = moving_average(destination.mean_latency_ms, event.duration_ms, LATENCY_WEIGHT)
        destination.mean_latency_ms = max(destination.mean_latency_ms, longer_ms)
    elif not event.stale_connection:
        # A stale connection may be closed for other reasons; a failure on a new one is evidence of an outage.
        # A retry-after ends for all senders at the same time, so the jitter after it starts at 0.
        jitter = state.random.random() + (0.0 if has_retry_after else 0.5)
        rejected_until = retry_at if outcome is Outcome.REJECTED else NEVER
        for limits in endpoint.limits[-1:] if no_connection_left else endpoint.limits:
            circuit_breaker.record_failure(limits, call, now, jitter, rejected_until)


def apply_quota_lease(state: DeliveryState, event: QuotaLeased) -> None:
    """Use a leased share of a destination's cold budget; the fleet paces the trial calls of all senders."""
    destination = state.destinations.get(event.dest)
    if destination is None:
        return
    if destination.limits:
        # The credit so far was gained at the previous share.
        destination.limits.slow_start.set_credit(rate_limit.credit(destination.limits, state.now), state.now)
    destination.quota_lease = (event.share, event.until)
    for endpoint in destination.endpoints.values():
        if event.share and endpoint.limits[0].in_outage():
            endpoint.end_breaker_pauses()


def apply_health_report(state: DeliveryState, event: HealthReported) -> None:
    """Apply a reported recovery or outage like an observed one, unless local evidence is newer."""
    destination = state.destinations.get(event.dest)
    if destination is None or destination.limits is None:
        return
    limits = destination.limits
    breaker = limits.breaker
    outdated = event.at < max(breaker.last_success_at, breaker.last_failure_at)
    if outdated or (breaker.consecutive_failures and not event.up):
        return
    breaker.consecutive_failures = 0
    breaker.open_until = NEVER
    limits.slow_start.slow_start_from = event.since
    # A random credit keeps the senders from calling all at the same time.
    limits.slow_start.set_credit(state.random.random(), state.now)
    if not event.up:
        limits.measure_demand_from(event.at, len(destination.queued))
        breaker.consecutive_failures = 1
        breaker.failure_share = circuit_breaker.OUTAGE_FAILURE_SHARE
        breaker.last_failure_at = event.at
        limits.slow_start.slow_start_from = event.at


def apply_retry_after(state: DeliveryState, event: RetryAfterReceived) -> None:
    """Apply another caller's retry-after as if it had answered a call of this process."""
    destination = state.destination(event.dest)
    calls = {endpoint.limits[0]: Call(endpoint, state.now) for endpoint in destination.endpoints.values()}
    for limits, call in calls.items():
        if event.rejected and not limits.retry_after_active(state.now):
            circuit_breaker.record_failure(limits, call, state.now, state.random.random(), event.until)
    destination.retry_after_until = max(destination.retry_after_until, event.until)
