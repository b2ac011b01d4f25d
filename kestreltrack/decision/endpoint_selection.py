"""Which endpoints accept a call now, and which of them gets a message; see `docs/design.md`, "Endpoints"."""

from kestreltrack.decision.actions import CloseIdleConnections
from kestreltrack.decision.arithmetic import NEVER
from kestreltrack.decision.circuit_breaker import MIN_OVERDUE_MS
from kestreltrack.decision.message_rules import allows_zones
from kestreltrack.decision.rate_limit import credit, rate_and_tokens
from kestreltrack.decision.records import CallLimits, Destination, Endpoint, Message
from kestreltrack.decision.state import DeliveryState

# Cost of a new connection, in time and price.
HANDSHAKE_MS = 200.0
# What a zone cost of 1 is worth in milliseconds when endpoints are compared.
ZONE_COST_MS = 15000.0
# Where connections are scarce, idle ones are kept for calls that are at most this many mean latencies apart.
REUSE_LATENCIES = 3.0
# Growth of the expected latency with each call in flight to the endpoint.
LATENCY_GROWTH_PER_CALL = 0.3


def blocking_rule(limits: CallLimits, now: float) -> str:
    """Return the rule that blocks a call now, or an empty text."""
    breaker = limits.breaker
    share, leased_until = limits.destination.quota_lease
    if limits.retry_after_active(now):
        return "told wait"
    if now < leased_until and not share:
        return "fleet tries"
    if now < breaker.open_until:
        return "circuit open"
    if rate_and_tokens(limits, now)[1] < 1.0:
        return "pace"
    # After a restart the destination is only suspected to be unhealthy, as no failure has been observed.
    suspected = breaker.last_failure_at == NEVER and now - limits.last_call_at >= MIN_OVERDUE_MS
    if breaker.consecutive_failures and not suspected:
        return "trial out" if breaker.trial_call and not breaker.trial_call.overdue else ""
    warming_up = breaker.consecutive_failures or limits.slow_start.slow_start_from > NEVER
    return "slow start" if warming_up and credit(limits, now) < 1.0 else ""


def is_ready(endpoint: Endpoint, now: float) -> bool:
    """Return whether the endpoint is listed, not draining, and all of its limits allow a call."""
    return endpoint.accepts_calls and not any(blocking_rule(limits, now) for limits in endpoint.limits)


def ready_endpoints(destination: Destination, now: float) -> list[Endpoint]:
    """Return the selectable endpoints of a destination that accept a call now."""
    return [endpoint for endpoint in destination.endpoints.selectable() if is_ready(endpoint, now)]


def candidates(state: DeliveryState, message: Message) -> list[Endpoint]:
    """Return the endpoints that a message may be sent to now."""
    ready = ready_endpoints(message.destination, state.now)
    return [endpoint for endpoint in ready if allows_zones(message, {endpoint.zone})]


def call_cost_ms(state: DeliveryState, endpoint: Endpoint) -> float:
    """Return the cost of a call in milliseconds: expected latency, fixed cost and a new connection."""
    kept = endpoint.connections if state.now - endpoint.last_call_at <= state.settings.keepalive_ms else 0
    connected = kept * state.settings.requests_per_connection > len(endpoint.calls)
    latency_ms = endpoint.mean_latency_ms or endpoint.destination.mean_latency_ms
    expected_ms = latency_ms * (1.0 + LATENCY_GROWTH_PER_CALL * len(endpoint.calls))
    return expected_ms + endpoint.fixed_cost_ms + (0.0 if connected else HANDSHAKE_MS)


def best_endpoint(state: DeliveryState, message: Message) -> Endpoint:
    """Return the cheapest endpoint for a message; endpoints that fail on their own come last."""
    ready = candidates(state, message)
    return min(ready, key=lambda e: (e.limits[-1].breaker.consecutive_failures > 0, call_cost_ms(state, e)))


def close_surplus_connections(state: DeliveryState, endpoint: Endpoint) -> None:
    """Close idle connections that are rarely used where many senders may exhaust a small connection limit."""
    rarely_called = endpoint.call_gap_ms > REUSE_LATENCIES * endpoint.destination.usual_latency_ms()
    if rarely_called and not endpoint.calls and endpoint.kind in state.scarce_connection_kinds:
        endpoint.connections = 0
        state.actions.append(CloseIdleConnections(endpoint.name))
