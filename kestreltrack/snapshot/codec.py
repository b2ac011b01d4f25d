"""Takes a snapshot of a decision module, and restores a module that makes the same decisions from there on."""

from __future__ import annotations

import random
from typing import Any, Generic, TypeVar

import msgspec

from kestreltrack.decision import Policy
from kestreltrack.decision.records import (
    Call,
    CallLimits,
    CircuitBreaker,
    Destination,
    Endpoint,
    EndpointTable,
    KeyQueue,
    Message,
    SendRate,
    SlowStart,
)
from kestreltrack.snapshot.state import (
    FORMAT_VERSION,
    CallState,
    DestinationState,
    EndpointState,
    GuardState,
    KeyQueueState,
    MessageState,
    PolicyState,
    SnapshotError,
)
from kestreltrack.snapshot.stored_forms import (
    ACTION_NAMES,
    decode_action,
    encode_action,
    settings_form,
    settings_from_form,
)

T = TypeVar("T")

# For each part, the stored field and the attribute whose value it holds.  The stored names are those in `state.py`
# and are part of the format; attributes that refer to other parts are converted by the classes below.
CALL_LIMITS = {
    "apart": "independent",
    "relays": "sender_count",
    "wait_until": "retry_after_until",
    "sent_at": "last_call_at",
}
CIRCUIT_BREAKER = {
    "share": "failure_share",
    "streak": "consecutive_failures",
    "open_until": "open_until",
    "failed_at": "last_failure_at",
    "fine_at": "last_success_at",
}
SLOW_START = {
    "cold": "cold_rate_per_s",
    "before": "arrivals_before",
    "since": "demand_since",
    "ramp_from": "slow_start_from",
    "saved": "saved_credit",
    "saved_at": "credit_updated_at",
}
SEND_RATE = {
    "base": "base_rate_per_s",
    "pace": "fair_shares",
    "left": "quota_left",
    "tokens": "tokens",
    "at": "rate_updated_at",
    "learns": "learns_limit",
    "done": "recent_successes",
    "met": "limit_met_at",
}
ENDPOINT = {
    "name": "name",
    "zone": "zone",
    "kind": "kind",
    "fee": "fixed_cost_ms",
    "up": "accepts_calls",
    "listed": "listed",
    "latency": "mean_latency_ms",
    "links": "connections",
    "batch": "max_batch_size",
    "used": "last_call_at",
    "answered": "last_answer_at",
    "gap": "call_gap_ms",
}
DESTINATION = {
    "tokens": "tokens",
    "out": "in_flight",
    "size": "mean_latency_ms",
    "aim": "latency_objective_ms",
    "arrived": "last_arrival_at",
    "max_start": "max_start_tag",
    "asked": "arrivals",
    "sick": "unhealthy",
    "shift": "virtual_time_shift",
    "heard": "retry_after_until",
    "lent": "quota_lease",
}
MESSAGE = {
    "id": "id",
    "expires": "expires",
    "zone": "ambiguous_zone",
    "due": "latency_objective_at",
    "start": "start_tag",
    "finish": "finish_tag",
    "tries": "attempts",
    "doubt": "ambiguous_since",
    "order": "sequence",
    "rest": "retry_not_before",
    "free": "uncounted_attempts",
    "taken": "accepted",
    "stays": "protected_until",
}
CALL = {"sent": "started_at", "fresh": "new_connection", "told": "evidence_used", "overdue": "overdue"}
KEY_QUEUE = {"out": "in_flight", "rest": "settling_until", "owner": "settling_message"}
POLICY = {
    "now": "now",
    "shift": "virtual_time_shift",
    "out": "in_flight",
    "ticking": "timer_is_set",
    "subscribed": "subscribed",
    "ask_at": "next_poll_at",
    "ask_gap": "poll_backoff_ms",
    "stops": "shutdown_deadline",
    "order": "sequence",
}
# All attributes that a restored part has, by its type.  `capture.what_if` compares them with those that the
# constructors of another version set, as an attribute that is not restored would be missing there.
RESTORED_ATTRIBUTES: dict[type, frozenset[str]] = {
    Policy: frozenset(POLICY.values())
    | {
        "settings",
        "random",
        "destinations",
        "active_destinations",
        "key_queues",
        "expiry_heap",
        "scarce_connection_kinds",
        "draining_destinations",
        "messages",
        "actions",
        "calls",
    },
    CallLimits: frozenset(CALL_LIMITS.values())
    | {"safety", "destination", "breaker", "slow_start", "send_rate"},
    CircuitBreaker: frozenset(CIRCUIT_BREAKER.values()) | {"trial_call"},
    SlowStart: frozenset(SLOW_START.values()),
    SendRate: frozenset(SEND_RATE.values()),
    Endpoint: frozenset(ENDPOINT.values()) | {"limits", "destination", "calls"},
    Destination: frozenset(DESTINATION.values()) | {"limits", "endpoints", "queued"},
    Message: frozenset(MESSAGE.values()) | {"class_settings", "destination", "key_queue"},
    Call: frozenset(CALL.values()) | {"endpoint", "attempts", "cancelled"},
    KeyQueue: frozenset(KEY_QUEUE.values()) | {"messages", "in_flight_elsewhere"},
}


def _stored_fields(source: object, names: dict[str, str]) -> dict[str, Any]:
    """Return the stored fields of the attributes of a part that refer to no other part."""
    return {stored: getattr(source, attribute) for stored, attribute in names.items()}


def _restore_attributes(target: object, state: object, names: dict[str, str]) -> None:
    """Set the attributes of a part that refer to no other part from its stored fields."""
    for stored, attribute in names.items():
        setattr(target, attribute, getattr(state, stored))


def _restored_part(type_: type[T], state: object, names: dict[str, str]) -> T:
    """Return a part with these attributes, created without its constructor."""
    part = type_.__new__(type_)
    _restore_attributes(part, state, names)
    return part


# Taking a snapshot --------------------------------------------------------------------------------------------


def take_snapshot(policy: Policy) -> PolicyState:
    """Return the state of a module between two calls of it; the module is not changed."""
    return _SnapshotTaker(policy).state()


class _SnapshotTaker:
    """Takes one snapshot; assigns the positions and keys by which its parts refer to each other."""

    def __init__(self, policy: Policy) -> None:
        self.policy = policy
        destinations = policy.destinations.values()
        endpoints = [endpoint for destination in destinations for endpoint in destination.endpoints.values()]
        self.calls = [call for endpoint in endpoints for call in endpoint.calls]
        self.call_numbers = {id(call): number for number, call in enumerate(self.calls)}
        self.destination_numbers = {
            id(destination): number for number, destination in policy.destinations.items()
        }
        self.keys = {id(queue): key for key, queue in policy.key_queues.items()}
        self.class_names = {id(settings): name for name, settings in policy.settings.classes.items()}

    def state(self) -> PolicyState:
        policy = self.policy
        version, numbers, gauss = policy.random.getstate()
        # Sorted, as heaps with equal content may differ in their internal order.
        expiry = sorted(policy.expiry_heap)
        return PolicyState(
            form=FORMAT_VERSION,
            settings=settings_form(policy.settings),
            random=(version, list(numbers), gauss),
            **_stored_fields(policy, POLICY),
            dests=[self._destination(*numbered) for numbered in policy.destinations.items()],
            busy=list(policy.active_destinations),
            keys=[self._key_queue(*keyed) for keyed in policy.key_queues.items()],
            ends=[(at, message_id) for at, _, message_id in expiry],
            orders=[sequence for _, sequence, _ in expiry],
            scarce=sorted(policy.scarce_connection_kinds),
            leaving=sorted(policy.draining_destinations),
            messages=[self._message(message) for message in policy.messages.values()],
            actions=[(ACTION_NAMES[type(action)], encode_action(action)) for action in policy.actions],
            calls=[self._call(call) for call in self.calls],
            parts=[
                (message_id, attempt, self.call_numbers[id(call)], self._key(key_queue))
                for (message_id, attempt), (call, key_queue) in policy.calls.items()
            ],
            away=sorted(id_ for queue in policy.key_queues.values() for id_ in queue.in_flight_elsewhere)
            or msgspec.UNSET,
        )

    def _key(self, key_queue: KeyQueue | None) -> int | None:
        return None if key_queue is None else self.keys[id(key_queue)]

    def _key_queue(self, key: int, key_queue: KeyQueue) -> KeyQueueState:
        return KeyQueueState(**_stored_fields(key_queue, KEY_QUEUE), key=key, queue=list(key_queue.messages))

    def _call_limits(self, limits: CallLimits) -> GuardState:
        trial_call = limits.breaker.trial_call
        return GuardState(
            **_stored_fields(limits, CALL_LIMITS),
            **_stored_fields(limits.breaker, CIRCUIT_BREAKER),
            **_stored_fields(limits.slow_start, SLOW_START),
            **_stored_fields(limits.send_rate, SEND_RATE),
            trial=None if trial_call is None else self.call_numbers.get(id(trial_call)),
        )

    def _endpoint(self, endpoint: Endpoint) -> EndpointState:
        return EndpointState(
            **_stored_fields(endpoint, ENDPOINT),
            shares=len(endpoint.limits) > 1,
            own=self._call_limits(endpoint.limits[-1]),
            calls=[self.call_numbers[id(call)] for call in endpoint.calls],
        )

    def _destination(self, number: int, destination: Destination) -> DestinationState:
        return DestinationState(
            **_stored_fields(destination, DESTINATION),
            number=number,
            guard=self._call_limits(destination.limits) if destination.limits else None,
            endpoints=[self._endpoint(endpoint) for endpoint in destination.endpoints.values()],
            held=list(destination.queued),
        )

    def _message(self, message: Message) -> MessageState:
        return MessageState(
            **_stored_fields(message, MESSAGE),
            cls=self.class_names[id(message.class_settings)],
            dest=self.destination_numbers[id(message.destination)],
            line=self._key(message.key_queue),
        )

    def _call(self, call: Call) -> CallState:
        return CallState(
            **_stored_fields(call, CALL),
            dest=self.destination_numbers[id(call.endpoint.destination)],
            endpoint=call.endpoint.name,
            parts=dict(call.attempts),
            off=sorted(call.cancelled),
        )


# Restoring a snapshot -----------------------------------------------------------------------------------------


P = TypeVar("P", bound=Policy)


def restore(state: PolicyState) -> Policy:
    """Return a module in that state.

    Raises:
        SnapshotError: The state is inconsistent, such as a reference to a missing part.
    """
    return restore_as(state, Policy)


def restore_as(state: PolicyState, policy_type: type[P]) -> P:
    """Return the same as a subclass of the module, such as a tracing one.

    Raises:
        SnapshotError: The state is inconsistent, such as a reference to a missing part.
    """
    try:
        return _Restorer(state, policy_type(settings_from_form(state.settings), 0)).policy
    except (KeyError, IndexError, TypeError, ValueError, msgspec.MsgspecError) as error:
        raise SnapshotError(f"inconsistent snapshot: {error!r}") from error


class _Restorer(Generic[P]):
    """Restores one module: first creates all parts, then resolves the references between them."""

    def __init__(self, state: PolicyState, policy: P) -> None:
        self.state = state
        self.policy = policy
        version, numbers, gauss = state.random
        policy.random = random.Random()
        policy.random.setstate((version, tuple(numbers), gauss))
        _restore_attributes(policy, state, POLICY)
        policy.scarce_connection_kinds = set(state.scarce)
        policy.draining_destinations = set(state.leaving)
        policy.actions = [decode_action(name, data) for name, data in state.actions]
        self.calls = [self._call(call) for call in state.calls]
        policy.destinations = {stored.number: self._destination(stored) for stored in state.dests}
        policy.key_queues = {stored.key: _restored_part(KeyQueue, stored, KEY_QUEUE) for stored in state.keys}
        policy.messages = {stored.id: self._message(stored) for stored in state.messages}
        self._resolve_references()

    def _call(self, stored: CallState) -> Call:
        call = _restored_part(Call, stored, CALL)
        call.attempts = dict(stored.parts)
        call.cancelled = set(stored.off)
        return call

    def _call_limits(self, stored: GuardState, destination: Destination) -> CallLimits:
        limits = _restored_part(CallLimits, stored, CALL_LIMITS)
        limits.safety = self.policy.settings.safety
        limits.destination = destination
        limits.breaker = _restored_part(CircuitBreaker, stored, CIRCUIT_BREAKER)
        limits.breaker.trial_call = None if stored.trial is None else self.calls[stored.trial]
        limits.slow_start = _restored_part(SlowStart, stored, SLOW_START)
        limits.send_rate = _restored_part(SendRate, stored, SEND_RATE)
        return limits

    def _destination(self, stored: DestinationState) -> Destination:
        destination = _restored_part(Destination, stored, DESTINATION)
        destination.queued = {}
        destination.limits = self._call_limits(stored.guard, destination) if stored.guard else None
        destination.endpoints = EndpointTable(
            (endpoint.name, self._endpoint(endpoint, destination)) for endpoint in stored.endpoints
        )
        return destination

    def _endpoint(self, stored: EndpointState, destination: Destination) -> Endpoint:
        endpoint = _restored_part(Endpoint, stored, ENDPOINT)
        endpoint.destination = destination
        endpoint.limits = [self._call_limits(stored.own, destination)]
        if stored.shares:
            if destination.limits is None:
                raise ValueError("an endpoint shares limits that its destination does not have")
            endpoint.limits.insert(0, destination.limits)
        endpoint.calls = {self.calls[number]: None for number in stored.calls}
        return endpoint

    def _message(self, stored: MessageState) -> Message:
        message = _restored_part(Message, stored, MESSAGE)
        message.class_settings = self.policy.settings.classes[stored.cls]
        message.destination = self.policy.destinations[stored.dest]
        message.key_queue = self._key_queue(stored.line)
        return message

    def _key_queue(self, key: int | None) -> KeyQueue | None:
        return None if key is None else self.policy.key_queues[key]

    def _resolve_references(self) -> None:
        state = self.state
        policy = self.policy
        sequences = state.orders or [0] * len(state.ends)
        policy.expiry_heap = sorted(
            (at, sequence, message_id)
            for (at, message_id), sequence in zip(state.ends, sequences, strict=True)
        )
        for destination in state.dests:
            queued = {message_id: policy.messages[message_id] for message_id in destination.held}
            policy.destinations[destination.number].queued = queued
        for key_queue in state.keys:
            messages = {message_id: policy.messages.get(message_id) for message_id in key_queue.queue}
            policy.key_queues[key_queue.key].messages = messages
            away = {*(state.away or ())} & {*key_queue.queue}
            policy.key_queues[key_queue.key].in_flight_elsewhere = away
        policy.active_destinations = {number: policy.destinations[number] for number in state.busy}
        for call, stored in zip(self.calls, state.calls, strict=True):
            call.endpoint = policy.destinations[stored.dest].endpoints[stored.endpoint]
        for message_id, attempt, number, key in state.parts:
            policy.calls[message_id, attempt] = (self.calls[number], self._key_queue(key))
