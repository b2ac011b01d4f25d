"""Redemptive Fair Queuing: buckets, tags and their order ("Buckets", "Release", "Synchronization")."""

from collections.abc import Sequence

from kestreltrack.decision import message_rules
from kestreltrack.decision.arithmetic import UNLIMITED, refilled
from kestreltrack.decision.records import Destination, Endpoint, Message
from kestreltrack.decision.settings import Idempotency, PriorityDecay
from kestreltrack.decision.state import DeliveryState

SHIFT_EXCESS_MS = 1e-6  # beyond the last bit of rounding, so that the least start tag is reached


def assign_tags(state: DeliveryState, message: Message) -> None:
    """Tag a queued message; the slots are split evenly among the destinations with messages."""
    destination, objective_ms = message.destination, message.class_settings.latency_objective_ms
    destination.latency_objective_ms = max(destination.latency_objective_ms, objective_ms)
    sharing = sum(1 for other in state.active_destinations.values() if other.queued)
    rho = state.settings.concurrency_limit / sharing
    sigma, size = rho * destination.latency_objective_ms, destination.mean_latency_ms or objective_ms
    tokens = refilled(destination.tokens, rho, state.now - destination.last_arrival_at, sigma)
    if tokens > 0:
        message.start_tag = state.now + state.virtual_time_shift + max(0.0, size - tokens) / rho
    else:
        message.start_tag = destination.max_start_tag + size / rho
    message.finish_tag = message.start_tag + objective_ms
    destination.tokens, destination.last_arrival_at = tokens - size, state.now
    destination.max_start_tag = message.start_tag


def first_message(state: DeliveryState, destination: Destination, ready: list[Endpoint]) -> Message | None:
    """Return the message of least finish tag if one is eligible, else that of least start tag."""
    now, virtual_time = state.now, state.now + state.virtual_time_shift
    zones, trial = {endpoint.zone for endpoint in ready}, all(endpoint.is_unhealthy() for endpoint in ready)
    halving = state.settings.priority_decay is PriorityDecay.HALVING

    def rank(message: Message) -> tuple[bool, bool, bool, bool, float]:
        # A trial rather of what may be repeated, then of what a restart found untried; lost priority yields.
        unsafe = message.class_settings.idempotency is Idempotency.NOT_IDEMPOTENT
        untried = message.accepted and message.attempts == 0
        late = halving and now > message.latency_objective_at
        ahead = message.start_tag > virtual_time
        tag = message.start_tag if ahead else message.finish_tag
        return trial and unsafe, trial and not untried, late, ahead, tag

    queued = destination.queued.values()
    may_go = [m for m in queued if message_rules.may_go(m, now, zones)]
    return min(may_go, key=rank, default=None)


def synchronize(state: DeliveryState, ready: Sequence[Message]) -> None:
    """Shift the tags back by the least gap, as slots would idle, and refill idle buckets."""
    least_start = min(message.start_tag for message in ready)
    state.virtual_time_shift += least_start - state.now - state.virtual_time_shift + SHIFT_EXCESS_MS
    for destination in state.active_destinations.values():
        # The others see at their next arrival that the shift has grown.
        destination.tokens = destination.tokens if destination.queued else UNLIMITED
