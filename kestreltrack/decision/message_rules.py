"""Which messages are admitted, attempted again and where, given up or handed back ("Ends", "Admission")."""

from kestreltrack.decision.records import Message
from kestreltrack.decision.settings import DeduplicationScope, Idempotency
from kestreltrack.decision.state import DeliveryState

GIVE_UP_MS, MIN_ATTEMPT_LATENCIES = 150.0, 2.0  # of its time left when it is answered; left for an attempt
PROTECTED_SHARE = 0.7  # of its time: so long a message stays that was accepted and surely was not executed
SHED_AT = 0.85  # share of the capacity from which what has stayed is handed back, the longest wait first
MAX_QUEUED_HEALTHY, MAX_QUEUED_UNHEALTHY = 6.0, 2.0  # most of a destination at an arrival, in free capacities


def must_not_repeat(message: Message) -> bool:
    """Return whether it may have been executed and must not be executed twice."""
    return message.is_ambiguous() and message.class_settings.idempotency is Idempotency.NOT_IDEMPOTENT


def bound_to_zone(message: Message) -> bool:
    """Return whether it may go only to the zone that remembers its first ambiguous attempt."""
    settings = message.class_settings
    keyed_by_zone = settings.deduplication_scope is DeduplicationScope.ZONE
    return message.is_ambiguous() and settings.idempotency is Idempotency.KEYED and keyed_by_zone


def safe_to_retry(message: Message) -> bool:
    """Return whether the client may be told that trying again does no harm."""
    return not (bound_to_zone(message) or must_not_repeat(message))


def fits_zones(message: Message, zones: set[str]) -> bool:
    """Return whether endpoints in these zones may have the message."""
    return message.ambiguous_zone in zones or not bound_to_zone(message)


def blocking_rule(message: Message, now: float, zones: set[str]) -> str:
    """Return what keeps the message from going now to these zones, or nothing."""
    queue = message.key_queue
    if now < message.retry_not_before:
        return "not sent"
    if queue and (queue.in_flight or next(iter(queue.messages)) != message.id):
        return "key held"
    if queue and now < queue.settling_until and queue.settling_message != message.id:
        return "key rests"
    return "" if fits_zones(message, zones) else "in doubt elsewhere"


def has_time_left(message: Message, now: float) -> bool:
    """Return whether an attempt that goes now can end before the message expires."""
    return message.expires > now + GIVE_UP_MS + MIN_ATTEMPT_LATENCIES * message.destination.mean_latency_ms


def may_go(message: Message, now: float, zones: set[str]) -> bool:
    """Return whether an attempt may go now to these zones."""
    return has_time_left(message, now) and not blocking_rule(message, now, zones)


def final_reason(state: DeliveryState, message: Message) -> str:
    """Return why no further attempt may ever go, or nothing."""
    if must_not_repeat(message):
        return "in doubt"
    spent = message.attempts - message.uncounted_attempts >= state.settings.max_attempts
    return "try limit" if spent else ""


def give_up_at(message: Message) -> float:
    """Return when it is given up: no attempt may go any more, and it need not stay."""
    settings, forgotten_at = message.class_settings, message.expires
    if settings.idempotency is Idempotency.KEYED:
        forgotten_at = message.ambiguous_since + settings.deduplication_window_ms
    last_start = message.expires - MIN_ATTEMPT_LATENCIES * message.destination.mean_latency_ms - GIVE_UP_MS
    if not message.is_ambiguous():
        last_start = max(last_start, message.protected_until)
    return min(last_start, min(message.expires, forgotten_at) - GIVE_UP_MS)


def rejection_reason(state: DeliveryState, message: Message) -> str:
    """Return why an arrival is rejected, by dynamic thresholds that leave capacity to others, or nothing."""
    free = state.settings.queue_capacity - len(state.messages) + 1
    most = MAX_QUEUED_UNHEALTHY if message.destination.unhealthy else MAX_QUEUED_HEALTHY
    return "hold full" if len(message.destination.queued) > most * free and not message.accepted else ""


def message_to_shed(state: DeliveryState) -> Message | None:
    """Return the message that is handed back first while the queue is nearly full."""
    if len(state.messages) <= SHED_AT * state.settings.queue_capacity:
        return None
    queued = (m for d in state.active_destinations.values() for m in d.queued.values() if not m.accepted)
    stayed = [m for m in queued if safe_to_retry(m) and (m.protected_until <= state.now or m.is_ambiguous())]

    def rank(message: Message) -> tuple[bool, int, float]:
        return message.destination.unhealthy, len(message.destination.queued), message.finish_tag

    return max(stayed, key=rank, default=None)
