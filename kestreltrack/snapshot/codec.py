"""Takes a module's state, and restores a module that goes on exactly as the other would have."""

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
    LineState,
    MessageState,
    PolicyState,
    SnapshotError,
)
from kestreltrack.snapshot.stored_forms import (
    ACTION_NAMES,
    decode_action,
    encode_action,
    settings_form,
    settings_of,
)

T = TypeVar("T")

# What each part stores: the name of the stored field, and the attribute that it holds. The stored names are those of
# `state.py` and part of the format; attributes that refer to other parts are stored by hand below.
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
# All attributes that a restored part has, by its type: `capture.what_if` compares them with what another version's
# constructors set, as an attribute that is not restored would be missing there.
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
    KeyQueue: frozenset(KEY_QUEUE.values()) | {"messages"},
}


def _stored_fields(source: object, names: dict[str, str]) -> dict[str, Any]:
    """Return what is stored of the plain attributes of a part."""
    return {stored: getattr(source, attribute) for stored, attribute in names.items()}


def _restore_attributes(target: object, state: object, names: dict[str, str]) -> None:
    """Set the plain attributes of a part from its stored fields."""
    for stored, attribute in names.items():
        setattr(target, attribute, getattr(state, stored))


def _restored_part(type_: type[T], state: object, names: dict[str, str]) -> T:
    """Return a part with its plain attributes, made past its constructor."""
    part = type_.__new__(type_)
    _restore_attributes(part, state, names)
    return part


# Taking --------------------------------------------------------------------------------------------


def take_snapshot(policy: Policy) -> PolicyState:
    """The state of a module, at any moment between two of its calls; the module stays as it is."""
    calls = [call for d in policy.destinations.values() for e in d.endpoints.values() for call in e.calls]
    number = {id(call): n for n, call in enumerate(calls)}
    dest_of = {id(dest): n for n, dest in policy.destinations.items()}
    line_of = {id(line): key for key, line in policy.key_queues.items()}
    class_of = {id(cls): name for name, cls in policy.settings.classes.items()}

    def call_limits(limits: CallLimits) -> GuardState:
        trial_call = limits.breaker.trial_call
        return GuardState(
            **_stored_fields(limits, CALL_LIMITS),
            **_stored_fields(limits.breaker, CIRCUIT_BREAKER),
            **_stored_fields(limits.slow_start, SLOW_START),
            **_stored_fields(limits.send_rate, SEND_RATE),
            trial=number.get(id(trial_call)) if trial_call is not None else None,
        )

    def endpoint(e: Endpoint) -> EndpointState:
        shares, own = len(e.limits) > 1, call_limits(e.limits[-1])
        return EndpointState(
            **_stored_fields(e, ENDPOINT), shares=shares, own=own, calls=[number[id(c)] for c in e.calls]
        )

    def destination(n: int, d: Destination) -> DestinationState:
        return DestinationState(
            **_stored_fields(d, DESTINATION),
            number=n,
            guard=call_limits(d.limits) if d.limits else None,
            endpoints=[endpoint(e) for e in d.endpoints.values()],
            held=list(d.queued),
        )

    def message(m: Message) -> MessageState:
        line = line_of[id(m.key_queue)] if m.key_queue is not None else None
        return MessageState(
            **_stored_fields(m, MESSAGE),
            cls=class_of[id(m.class_settings)],
            dest=dest_of[id(m.destination)],
            line=line,
        )

    version, numbers, gauss = policy.random.getstate()
    return PolicyState(
        form=FORMAT_VERSION,
        settings=settings_form(policy.settings),
        random=(version, list(numbers), gauss),
        **_stored_fields(policy, POLICY),
        dests=[destination(n, d) for n, d in policy.destinations.items()],
        busy=list(policy.active_destinations),
        keys=[
            LineState(**_stored_fields(k, KEY_QUEUE), key=key, queue=list(k.messages))
            for key, k in policy.key_queues.items()
        ],
        # Sorted, not as the heap lies: two heaps of one content give the same in the same order.
        ends=[(at, id_) for at, _, id_ in sorted(policy.expiry_heap)],
        orders=[order for _, order, _ in sorted(policy.expiry_heap)],
        scarce=sorted(policy.scarce_connection_kinds),
        leaving=sorted(policy.draining_destinations),
        messages=[message(m) for m in policy.messages.values()],
        actions=[(ACTION_NAMES[type(a)], encode_action(a)) for a in policy.actions],
        calls=[
            CallState(
                **_stored_fields(c, CALL),
                dest=dest_of[id(c.endpoint.destination)],
                endpoint=c.endpoint.name,
                parts=dict(c.attempts),
                off=sorted(c.cancelled),
            )
            for c in calls
        ],
        parts=[
            (id_, attempt, number[id(call)], line_of[id(line)] if line is not None else None)
            for (id_, attempt), (call, line) in policy.calls.items()
        ],
    )


# Restoring -----------------------------------------------------------------------------------------


P = TypeVar("P", bound=Policy)


def restore(state: PolicyState) -> Policy:
    """A module in that state; raises `SnapshotError` where parts refer to what is not there."""
    return restore_as(state, Policy)


def restore_as(state: PolicyState, policy_type: type[P]) -> P:
    """The same of a `kind` that watches itself."""
    try:
        return _Restorer(state, policy_type(settings_of(state.settings), 0)).policy
    except (KeyError, IndexError, TypeError, ValueError, msgspec.MsgspecError) as bad:
        raise SnapshotError(f"its parts do not fit together: {bad!r}") from bad


class _Restorer(Generic[P]):
    """One restoration: first all parts, then what they refer to."""

    def __init__(self, state: PolicyState, policy: P) -> None:
        self.state, self.policy = state, policy
        version, numbers, gauss = state.random
        policy.random = random.Random()
        policy.random.setstate((version, tuple(numbers), gauss))
        _restore_attributes(policy, state, POLICY)
        policy.scarce_connection_kinds, policy.draining_destinations = set(state.scarce), set(state.leaving)
        policy.actions = [decode_action(name, data) for name, data in state.actions]
        self.calls = [self._call(c) for c in state.calls]
        policy.destinations = {d.number: self._destination(d) for d in state.dests}
        policy.key_queues = {k.key: _restored_part(KeyQueue, k, KEY_QUEUE) for k in state.keys}
        policy.messages = {m.id: self._message(m) for m in state.messages}
        self._resolve_references()

    def _call(self, c: CallState) -> Call:
        call = _restored_part(Call, c, CALL)
        call.attempts, call.cancelled = dict(c.parts), set(c.off)
        return call

    def _call_limits(self, state: GuardState, destination: Destination) -> CallLimits:
        limits = _restored_part(CallLimits, state, CALL_LIMITS)
        limits.safety = self.policy.settings.safety
        limits.destination = destination
        limits.breaker = _restored_part(CircuitBreaker, state, CIRCUIT_BREAKER)
        limits.breaker.trial_call = self.calls[state.trial] if state.trial is not None else None
        limits.slow_start = _restored_part(SlowStart, state, SLOW_START)
        limits.send_rate = _restored_part(SendRate, state, SEND_RATE)
        return limits

    def _destination(self, d: DestinationState) -> Destination:
        dest = _restored_part(Destination, d, DESTINATION)
        dest.queued = {}
        dest.limits = self._call_limits(d.guard, dest) if d.guard else None
        dest.endpoints = {e.name: self._endpoint(e, dest) for e in d.endpoints}
        return dest

    def _endpoint(self, e: EndpointState, dest: Destination) -> Endpoint:
        endpoint = _restored_part(Endpoint, e, ENDPOINT)
        endpoint.destination, endpoint.limits = dest, [self._call_limits(e.own, dest)]
        if e.shares:
            if dest.limits is None:
                raise ValueError("an endpoint shares a guard that its destination does not have")
            endpoint.limits.insert(0, dest.limits)
        endpoint.calls = {self.calls[n]: None for n in e.calls}
        return endpoint

    def _message(self, m: MessageState) -> Message:
        message = _restored_part(Message, m, MESSAGE)
        message.class_settings = self.policy.settings.classes[m.cls]
        message.destination = self.policy.destinations[m.dest]
        message.key_queue = self.policy.key_queues[m.line] if m.line is not None else None
        return message

    def _resolve_references(self) -> None:
        state, policy = self.state, self.policy
        orders = state.orders or [0] * len(state.ends)
        policy.expiry_heap = sorted((at, n, id_) for (at, id_), n in zip(state.ends, orders, strict=True))
        for d in state.dests:
            policy.destinations[d.number].queued = {id_: policy.messages[id_] for id_ in d.held}
        for k in state.keys:
            policy.key_queues[k.key].messages = {id_: policy.messages[id_] for id_ in k.queue}
        policy.active_destinations = {n: policy.destinations[n] for n in state.busy}
        for call, c in zip(self.calls, state.calls, strict=True):
            call.endpoint = policy.destinations[c.dest].endpoints[c.endpoint]
        for id_, attempt, n, key in state.parts:
            policy.calls[id_, attempt] = (self.calls[n], policy.key_queues[key] if key is not None else None)
