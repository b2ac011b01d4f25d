"""Which messages are admitted, attempted again and where, failed or handed back.

See `docs/design.md`, "Ends" and "Admission".
"""

from kestreltrack.decision.records import Message
from kestreltrack.decision.settings import DeduplicationScope, Idempotency
from kestreltrack.decision.state import DeliveryState

# Time left until the expiry when the final answer is given.
GIVE_UP_MS = 150.0
# Time that has to be left for an attempt, in mean latencies.
MIN_ATTEMPT_LATENCIES = 2.0
# Share of its time for which a message is not handed back, unless it may have been executed.
PROTECTED_SHARE = 0.7
# Share of the queue capacity above which unprotected messages are handed back, longest expected wait first.
SHED_THRESHOLD = 0.85
# Most queued messages of one destination at an arrival, as a multiple of the free queue capacity.
MAX_QUEUED_HEALTHY = 6.0
MAX_QUEUED_UNHEALTHY = 2.0


def must_not_repeat(message: Message) -> bool:
    """Return whether the message may have been executed and must not be executed twice."""
    return message.is_ambiguous() and message.class_settings.idempotency is Idempotency.NOT_IDEMPOTENT


def bound_to_zone(message: Message) -> bool:
    """Return whether the message may be sent only to the zone that has its idempotency key."""
    settings = message.class_settings
    keyed_by_zone = settings.deduplication_scope is DeduplicationScope.ZONE
    return message.is_ambiguous() and settings.idempotency is Idempotency.KEYED and keyed_by_zone


def safe_to_retry(message: Message) -> bool:
    """Return whether the client may be told that a retry is harmless."""
    return not (bound_to_zone(message) or must_not_repeat(message))


def allows_zones(message: Message, zones: set[str]) -> bool:
    """Return whether the message may be sent to endpoints in these zones."""
    return message.ambiguous_zone in zones or not bound_to_zone(message)


def blocking_rule(message: Message, now: float, zones: set[str]) -> str:
    """Return the rule that blocks the message now for endpoints in these zones, or an empty text."""
    queue = message.key_queue
    if now < message.retry_not_before:
        return "not sent"
    if queue and (queue.is_blocked() or next(iter(queue.messages)) != message.id):
        return "key held"
    if queue and now < queue.settling_until and queue.settling_message != message.id:
        return "key rests"
    return "" if allows_zones(message, zones) else "in doubt elsewhere"


def has_time_left(message: Message, now: float) -> bool:
    """Return whether an attempt that starts now can end before the message expires."""
    return message.expires > now + GIVE_UP_MS + MIN_ATTEMPT_LATENCIES * message.destination.mean_latency_ms


def may_be_sent(message: Message, now: float, zones: set[str]) -> bool:
    """Return whether an attempt to endpoints in these zones may start now."""
    return has_time_left(message, now) and not blocking_rule(message, now, zones)


def final_reason(state: DeliveryState, message: Message) -> str:
    """Return why no further attempt is allowed, or an empty text."""
    if must_not_repeat(message):
        return "in doubt"
    exhausted = message.attempts - message.uncounted_attempts >= state.settings.max_attempts
    return "try limit" if exhausted else ""


def give_up_at(message: Message) -> float:
    """Return when to give the message up: no attempt may start any more, and it is not protected."""
    settings = message.class_settings
    forgotten_at = message.expires
    if settings.idempotency is Idempotency.KEYED:
        forgotten_at = message.ambiguous_since + settings.deduplication_window_ms
    last_start = message.expires - MIN_ATTEMPT_LATENCIES * message.destination.mean_latency_ms - GIVE_UP_MS
    if not message.is_ambiguous():
        last_start = max(last_start, message.protected_until)
    return min(last_start, min(message.expires, forgotten_at) - GIVE_UP_MS)


def rejection_reason(state: DeliveryState, message: Message) -> str:
    """Return why an arriving message is rejected, or an empty text.

    The limit of each destination falls with the free capacity, which leaves room for other destinations.
    """
    free = state.settings.queue_capacity - len(state.messages) + 1
    max_ratio = MAX_QUEUED_UNHEALTHY if message.destination.unhealthy else MAX_QUEUED_HEALTHY
    return "hold full" if len(message.destination.queued) > max_ratio * free and not message.accepted else ""


def message_to_shed(state: DeliveryState) -> Message | None:
    """Return the message to hand back first while the queue is nearly full."""
    if len(state.messages) <= SHED_THRESHOLD * state.settings.queue_capacity:
        return None
    queued = (m for d in state.active_destinations.values() for m in d.queued.values() if not m.accepted)
    unprotected = [
        m for m in queued if safe_to_retry(m) and (m.protected_until <= state.now or m.is_ambiguous())
    ]

    def rank(message: Message) -> tuple[bool, int, float]:
        return message.destination.unhealthy, len(message.destination.queued), message.finish_tag

    return max(unprotected, key=rank, default=None)
