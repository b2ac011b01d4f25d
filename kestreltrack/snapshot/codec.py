"""Takes a module's state, and restores a module that goes on exactly as the other would have."""

from __future__ import annotations

import random
from typing import Any, Generic, TypeVar

import msgspec

from kestreltrack.decision import Policy
from kestreltrack.decision.policy import Call, Destination, Endpoint, Guard, KeyLine, Message
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

GUARD = [name for name in GuardState.__struct_fields__ if name != "trial"]
ENDPOINT = [name for name in EndpointState.__struct_fields__ if name not in ("shares", "own", "calls")]
DESTINATION = [
    name
    for name in DestinationState.__struct_fields__
    if name not in ("number", "guard", "endpoints", "held")
]
MESSAGE = [name for name in MessageState.__struct_fields__ if name not in ("cls", "dest", "line")]
CALL = ["sent", "fresh", "told", "overdue"]
LINE = ["out", "rest", "owner"]
POLICY = ["now", "shift", "out", "ticking", "subscribed", "ask_at", "ask_gap", "stops", "order"]


def _plain_attributes(source: object, names: list[str]) -> dict[str, Any]:
    return {name: getattr(source, name) for name in names}


def _new_with_attributes(type_: type[T], state: object, names: list[str]) -> T:
    """An object of the module with its plain attributes, past its constructor."""
    made = type_.__new__(type_)
    for name in names:
        setattr(made, name, getattr(state, name))
    return made


# Taking --------------------------------------------------------------------------------------------


def take_snapshot(policy: Policy) -> PolicyState:
    """The state of a module, at any moment between two of its calls; the module stays as it is."""
    calls = [call for d in policy.dests.values() for e in d.endpoints.values() for call in e.calls]
    number = {id(call): n for n, call in enumerate(calls)}
    dest_of = {id(dest): n for n, dest in policy.dests.items()}
    line_of = {id(line): key for key, line in policy.keys.items()}
    class_of = {id(cls): name for name, cls in policy.settings.classes.items()}

    def guard(g: Guard) -> GuardState:
        trial = number.get(id(g.trial)) if g.trial is not None else None
        return GuardState(**_plain_attributes(g, GUARD), trial=trial)

    def endpoint(e: Endpoint) -> EndpointState:
        shares, own = len(e.guards) > 1, guard(e.guards[-1])
        return EndpointState(
            **_plain_attributes(e, ENDPOINT), shares=shares, own=own, calls=[number[id(c)] for c in e.calls]
        )

    def destination(n: int, d: Destination) -> DestinationState:
        return DestinationState(
            **_plain_attributes(d, DESTINATION),
            number=n,
            guard=guard(d.guard) if d.guard else None,
            endpoints=[endpoint(e) for e in d.endpoints.values()],
            held=list(d.held),
        )

    def message(m: Message) -> MessageState:
        line = line_of[id(m.line)] if m.line is not None else None
        return MessageState(
            **_plain_attributes(m, MESSAGE), cls=class_of[id(m.cls)], dest=dest_of[id(m.dest)], line=line
        )

    version, numbers, gauss = policy.random.getstate()
    return PolicyState(
        form=FORMAT_VERSION,
        settings=settings_form(policy.settings),
        random=(version, list(numbers), gauss),
        **_plain_attributes(policy, POLICY),
        dests=[destination(n, d) for n, d in policy.dests.items()],
        busy=list(policy.busy),
        keys=[
            LineState(**_plain_attributes(k, LINE), key=key, queue=list(k.queue))
            for key, k in policy.keys.items()
        ],
        # Sorted, not as the heap lies: two heaps of one content give the same in the same order.
        ends=[(at, id_) for at, _, id_ in sorted(policy.ends)],
        orders=[order for _, order, _ in sorted(policy.ends)],
        scarce=sorted(policy.scarce),
        leaving=sorted(policy.leaving),
        messages=[message(m) for m in policy.messages.values()],
        actions=[(ACTION_NAMES[type(a)], encode_action(a)) for a in policy.actions],
        calls=[
            CallState(
                **_plain_attributes(c, CALL),
                dest=dest_of[id(c.endpoint.dest)],
                endpoint=c.endpoint.name,
                parts=dict(c.parts),
                off=sorted(c.off),
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
        for name in POLICY:
            setattr(policy, name, getattr(state, name))
        policy.scarce, policy.leaving = set(state.scarce), set(state.leaving)
        policy.actions = [decode_action(name, data) for name, data in state.actions]
        self.calls = [self._call(c) for c in state.calls]
        policy.dests = {d.number: self._destination(d) for d in state.dests}
        policy.keys = {k.key: _new_with_attributes(KeyLine, k, LINE) for k in state.keys}
        policy.messages = {m.id: self._message(m) for m in state.messages}
        self._resolve_references()

    def _call(self, c: CallState) -> Call:
        call = _new_with_attributes(Call, c, CALL)
        call.parts, call.off = dict(c.parts), set(c.off)
        return call

    def _guard(self, g: GuardState, dest: Destination) -> Guard:
        guard = _new_with_attributes(Guard, g, GUARD)
        guard.safety, guard.dest = self.policy.settings.safety, dest
        guard.trial = self.calls[g.trial] if g.trial is not None else None
        return guard

    def _destination(self, d: DestinationState) -> Destination:
        dest = _new_with_attributes(Destination, d, DESTINATION)
        dest.held = {}
        dest.guard = self._guard(d.guard, dest) if d.guard else None
        dest.endpoints = {e.name: self._endpoint(e, dest) for e in d.endpoints}
        return dest

    def _endpoint(self, e: EndpointState, dest: Destination) -> Endpoint:
        endpoint = _new_with_attributes(Endpoint, e, ENDPOINT)
        endpoint.dest, endpoint.guards = dest, [self._guard(e.own, dest)]
        if e.shares:
            if dest.guard is None:
                raise ValueError("an endpoint shares a guard that its destination does not have")
            endpoint.guards.insert(0, dest.guard)
        endpoint.calls = {self.calls[n]: None for n in e.calls}
        return endpoint

    def _message(self, m: MessageState) -> Message:
        message = _new_with_attributes(Message, m, MESSAGE)
        message.cls = self.policy.settings.classes[m.cls]
        message.dest = self.policy.dests[m.dest]
        message.line = self.policy.keys[m.line] if m.line is not None else None
        return message

    def _resolve_references(self) -> None:
        state, policy = self.state, self.policy
        orders = state.orders or [0] * len(state.ends)
        policy.ends = sorted((at, n, id_) for (at, id_), n in zip(state.ends, orders, strict=True))
        for d in state.dests:
            policy.dests[d.number].held = {id_: policy.messages[id_] for id_ in d.held}
        for k in state.keys:
            policy.keys[k.key].queue = {id_: policy.messages[id_] for id_ in k.queue}
        policy.busy = {n: policy.dests[n] for n in state.busy}
        for call, c in zip(self.calls, state.calls, strict=True):
            call.endpoint = policy.dests[c.dest].endpoints[c.endpoint]
        for id_, attempt, n, key in state.parts:
            policy.calls[id_, attempt] = (self.calls[n], policy.keys[key] if key is not None else None)
