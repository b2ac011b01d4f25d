"""How failures, missing answers and successes of calls open and close circuits and make outages.

See `docs/design.md`, "What an outage is".
"""

from kestreltrack.decision import rate_limit
from kestreltrack.decision.actions import CancelAttempt
from kestreltrack.decision.arithmetic import NEVER, exponential_backoff_ms, moving_average
from kestreltrack.decision.records import Call, CallLimits, Destination, Endpoint
from kestreltrack.decision.settings import Idempotency
from kestreltrack.decision.state import DeliveryState

# First pause after a failure, and the pause of a message whose attempt was not sent.
FIRST_PAUSE_MS = 250.0
# Longest pause between trial calls, unless the cold budget requires a longer one. It is short, because the
# end of an outage has to be noticed quickly.
MAX_PAUSE_MS = 1000.0
# Least first pause after a rejection, in call intervals, as all senders share the limit.
FIRST_REJECTED_PAUSE_INTERVALS = 0.1
# Consecutive failures that make an outage; fewer may be chance.
OUTAGE_FAILURES = 4
# Time with failures only, or length of a retry-after, that makes an outage. Rejections for this time also
# have to reach `OUTAGE_FAILURES`, because an exhausted rate limit rejects calls as well.
OUTAGE_DURATION_MS = 2000.0
# Share of failures among the recent calls, rejections aside, that makes an outage.
OUTAGE_FAILURE_SHARE = 0.5
# Weight of the newest call in that share, which thus covers about seven calls.
FAILURE_WEIGHT = 0.15
# A call is overdue after this many mean latencies or two latency objectives, but not before `MIN_OVERDUE_MS`.
OVERDUE_LATENCIES = 5.0
MIN_OVERDUE_MS = 1000.0
# Multiples of the overdue time after which a call without an answer is cancelled. The lower one applies to
# messages that may be repeated, while no slot is free.
CANCEL_FACTOR = 5.0
CANCEL_FACTOR_WITHOUT_SLOT = 2.0


def record_call(limits: CallLimits, call: Call, now: float) -> None:
    """Count a call that starts; while the circuit is open it is the trial call."""
    limits.breaker.trial_call = call if limits.breaker.consecutive_failures else None
    limits.last_call_at = now
    limits.slow_start.set_credit(0.0, now)
    shares, tokens = rate_limit.rate_and_tokens(limits, now)
    limits.send_rate.update(shares, tokens - 1.0, now)


def record_failure(
    limits: CallLimits, call: Call, now: float, jitter: float, rejected_until: float = NEVER
) -> None:
    """Open the circuit, once for a burst of failures.

    `rejected_until` is given for a rejection only: the time at which its retry-after ends.
    """
    breaker = limits.breaker
    slow_start = limits.slow_start
    rejected = rejected_until > NEVER
    breaker.failure_share = moving_average(breaker.failure_share, 1.0, 0.0 if rejected else FAILURE_WEIGHT)
    if call.started_at < breaker.last_failure_at:
        return
    was_healthy = not breaker.consecutive_failures and slow_start.slow_start_from == NEVER
    if was_healthy and (rejected or breaker.last_success_at == NEVER):
        limits.measure_demand_from(call.started_at, len(limits.destination.queued) + 1)
    was_in_outage = limits.in_outage()
    earliest_at = max(now, rejected_until)
    breaker.consecutive_failures += 1
    breaker.last_failure_at = now
    if rejected:
        rate_limit.reduce_rate(limits, now)
    # An outage lasts until a call succeeds. Isolated failures must not restart a slow start, which might then
    # never end.
    if was_in_outage or _is_outage(limits, now, earliest_at, rejected):
        slow_start.slow_start_from = now
    pause_ms = _pause_ms(limits, now, earliest_at, rejected)
    breaker.open_until = max(breaker.open_until, earliest_at + pause_ms * jitter)


def _pause_ms(limits: CallLimits, now: float, earliest_at: float, rejected: bool) -> float:
    failures = limits.breaker.consecutive_failures
    interval_ms = rate_limit.call_interval_ms(limits, earliest_at)
    first_ms = max(FIRST_PAUSE_MS, FIRST_REJECTED_PAUSE_INTERVALS * interval_ms if rejected else 0.0)
    longest_ms = max(first_ms, limits.safety.overload_window_ms if rejected else MAX_PAUSE_MS, interval_ms)
    pause_ms = exponential_backoff_ms(first_ms, failures, longest_ms)
    outage = limits.slow_start.slow_start_from == now
    return max(pause_ms, interval_ms) if outage or (failures > 1 and not rejected) else pause_ms


def _is_outage(limits: CallLimits, now: float, earliest_at: float, rejected: bool) -> bool:
    breaker = limits.breaker
    enough_failures = breaker.consecutive_failures >= OUTAGE_FAILURES
    if rejected:
        lasting = now - limits.slow_start.demand_since >= OUTAGE_DURATION_MS
        return earliest_at - now >= OUTAGE_DURATION_MS or (lasting and enough_failures)
    lasting = now - breaker.last_success_at >= OUTAGE_DURATION_MS and breaker.consecutive_failures > 1
    return breaker.failure_share >= OUTAGE_FAILURE_SHARE or enough_failures or lasting


def record_success(limits: CallLimits, now: float) -> None:
    """Close the circuit; after an outage the slow start begins, but not before a retry-after has passed."""
    breaker = limits.breaker
    slow_start = limits.slow_start
    rate_limit.record_success(limits, now)
    breaker.failure_share = moving_average(breaker.failure_share, 0.0, FAILURE_WEIGHT)
    breaker.consecutive_failures = 0
    if slow_start.slow_start_from == breaker.last_failure_at > NEVER:
        retry_after_until = max(limits.retry_after_until, limits.destination.retry_after_until)
        slow_start.slow_start_from = max(now, retry_after_until)
        breaker.open_until = NEVER
    elif now - slow_start.slow_start_from > limits.safety.warm_up_ms:
        slow_start.slow_start_from = NEVER
        breaker.open_until = NEVER
        # Queued messages are demand as well.
        limits.measure_demand_from(now, len(limits.destination.queued) + 1)


def suspect_after_restart(destination: Destination) -> None:
    """Require a trial call to a destination that was already called before a restart: it may be unhealthy."""
    if destination.limits and destination.limits.last_call_at == NEVER:
        destination.limits.breaker.consecutive_failures = 1


def warm_up_after_draining(endpoint: Endpoint, now: float) -> None:
    """Warm up an endpoint that was draining and accepts calls again: it was restarted in the meantime."""
    endpoint.limits[-1].start_warm_up(now)


def overdue_after_ms(destination: Destination) -> float:
    """Return the time after which a call without an answer counts as a failure."""
    usual_ms = OVERDUE_LATENCIES * destination.usual_latency_ms()
    return max(MIN_OVERDUE_MS, min(usual_ms, 2.0 * destination.latency_objective_ms))


def handle_overdue(state: DeliveryState, call: Call, overdue_factor: float) -> None:
    """Count an overdue call as a failure, and cancel it later to free its slot."""
    # An endpoint that has answered other calls since is healthy: this call takes long.
    silent = call.endpoint.last_answer_at <= call.started_at
    if silent and not call.overdue:
        for limits in call.endpoint.limits:
            record_failure(limits, call, state.now, 1.0)
    call.overdue = call.overdue or silent
    if not state.settings.may_cancel:
        return
    no_free_slot = state.in_flight >= state.settings.concurrency_limit
    for message_id, attempt in call.attempts.items():
        message = state.messages.get(message_id)
        unsafe = message is not None and message.class_settings.idempotency is Idempotency.NOT_IDEMPOTENT
        factor = CANCEL_FACTOR_WITHOUT_SLOT if no_free_slot and not unsafe else CANCEL_FACTOR
        may_free_slot = no_free_slot or (silent and not unsafe)
        if overdue_factor > factor and may_free_slot and message_id not in call.cancelled:
            call.cancelled.add(message_id)
            state.actions.append(CancelAttempt(message_id, attempt))
