"""Redemptive Fair Queuing: token buckets, tags and the order that they give.

See `docs/design.md`, "Buckets", "Release" and "Synchronization".
"""

from collections.abc import Sequence

from kestreltrack.decision import message_rules
from kestreltrack.decision.arithmetic import UNLIMITED, refilled
from kestreltrack.decision.records import Destination, Endpoint, Message
from kestreltrack.decision.settings import Idempotency, PriorityDecay
from kestreltrack.decision.state import DeliveryState

# Added to a shift of the virtual time so that it reaches the least start tag in spite of rounding.
SHIFT_MARGIN_MS = 1e-6


def assign_tags(state: DeliveryState, message: Message) -> None:
    """Assign the tags of a queued message; the destinations with queued messages share the slots evenly."""
    destination = message.destination
    objective_ms = message.class_settings.latency_objective_ms
    destination.latency_objective_ms = max(destination.latency_objective_ms, objective_ms)
    sharing_destinations = sum(1 for other in state.active_destinations.values() if other.queued)
    rho = state.settings.concurrency_limit / sharing_destinations
    sigma = rho * destination.latency_objective_ms
    size = destination.mean_latency_ms or objective_ms
    tokens = refilled(destination.tokens, rho, state.now - destination.last_arrival_at, sigma)
    if tokens > 0:
        message.start_tag = state.now + state.virtual_time_shift + max(0.0, size - tokens) / rho
    else:
        message.start_tag = destination.max_start_tag + size / rho
    message.finish_tag = message.start_tag + objective_ms
    destination.tokens = tokens - size
    destination.last_arrival_at = state.now
    destination.max_start_tag = message.start_tag


def first_message(state: DeliveryState, destination: Destination, ready: list[Endpoint]) -> Message | None:
    """Return the eligible message with the least finish tag, or else the message with the least start tag."""
    now = state.now
    virtual_time = now + state.virtual_time_shift
    zones = {endpoint.zone for endpoint in ready}
    trial = all(endpoint.is_unhealthy() for endpoint in ready)
    halving = state.settings.priority_decay is PriorityDecay.HALVING

    def rank(message: Message) -> tuple[bool, bool, bool, bool, float]:
        # A trial call prefers messages that may be repeated, then messages from before a restart without an
        # attempt. Messages whose priority weight has decayed come later.
        unsafe = message.class_settings.idempotency is Idempotency.NOT_IDEMPOTENT
        untried = message.accepted and message.attempts == 0
        late = halving and now > message.latency_objective_at
        ahead = message.start_tag > virtual_time
        tag = message.start_tag if ahead else message.finish_tag
        return trial and unsafe, trial and not untried, late, ahead, tag

    queued = destination.queued.values()
    sendable = [m for m in queued if message_rules.may_be_sent(m, now, zones)]
    return min(sendable, key=rank, default=None)


def synchronize(state: DeliveryState, ready: Sequence[Message]) -> None:
    """Shift the virtual time to the least start tag, as slots would stay idle, and refill idle buckets."""
    least_start = min(message.start_tag for message in ready)
    state.virtual_time_shift += least_start - state.now - state.virtual_time_shift + SHIFT_MARGIN_MS
    for destination in state.active_destinations.values():
        # Inactive destinations compare the shift at their next arrival.
        destination.tokens = destination.tokens if destination.queued else UNLIMITED
