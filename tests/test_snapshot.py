"""A decision module that is restored from a snapshot makes the same decisions as the original."""

from __future__ import annotations

import random
from collections.abc import Iterator
from itertools import pairwise
from typing import Any

import msgspec
import pytest
import test_random
from conftest import SETTINGS, Relay, entry
from hypothesis import given, settings
from hypothesis import strategies as st

from kestreltrack.decision import (
    EndpointLifecycle,
    EndpointsUpdated,
    Event,
    Outcome,
    Policy,
    Settings,
    TimerExpired,
)
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
from kestreltrack.snapshot import codec
from kestreltrack.snapshot.codec import restore, take_snapshot
from kestreltrack.snapshot.state import FORMAT_VERSION, PolicyState, SnapshotError, canonical, decode, encode

History = list[tuple[float, Any]]
"""The events and the lists of actions of a run, in order, each with its clock reading."""


class RecordingPolicy(Policy):
    """Records the events that it receives and the actions that it returns."""

    def __init__(self, settings: Settings, seed: int) -> None:
        super().__init__(settings, seed)
        self.history: History = []

    def handle(self, now: float, event: Event) -> None:
        self.history.append((now, event))
        super().handle(now, event)

    def decide(self, now: float) -> Any:
        actions = super().decide(now)
        self.history.append((now, list(actions)))
        return actions


def record_random_run(seed: int, steps: int, monkeypatch: pytest.MonkeyPatch) -> tuple[Settings, History]:
    monkeypatch.setattr(test_random, "Policy", RecordingPolicy)
    play = test_random.RandomEventRun(seed)
    play.run(steps)
    assert isinstance(play.policy, RecordingPolicy)
    return play.settings, play.policy.history


def replay_history(policy: Policy, history: History) -> None:
    """Pass the events to a module, and compare its actions with the recorded ones."""
    for now, event_or_actions in history:
        if isinstance(event_or_actions, list):
            assert list(policy.decide(now)) == event_or_actions
        else:
            policy.handle(now, event_or_actions)


def canonical_snapshot(policy: Policy) -> bytes:
    return canonical(encode(take_snapshot(policy)))


@pytest.mark.parametrize("seed", range(16))
def test_a_restored_module_decides_as_the_original(seed: int, monkeypatch: pytest.MonkeyPatch) -> None:
    settings, history = record_random_run(seed, 200, monkeypatch)
    rng = random.Random(seed)
    positions = [0]
    positions += sorted(rng.randrange(len(history) * 2 // 3) for _ in range(7))
    original = Policy(settings, seed)
    for previous, position in pairwise(positions):
        replay_history(original, history[previous:position])
        restored = restore(decode(encode(take_snapshot(original))))
        assert canonical_snapshot(restored) == canonical_snapshot(original)
        replay_history(restored, history[position:])
    replay_history(original, history[positions[-1] :])
    assert len(history) > 400
    assert canonical_snapshot(restored) == canonical_snapshot(original)


def all_parts(policy: Policy) -> Iterator[object]:
    """Yield the objects that hold the state of a module."""
    yield policy
    for dest in policy.destinations.values():
        yield dest
        all_limits = [dest.limits] if dest.limits else []
        for endpoint in dest.endpoints.values():
            yield endpoint
            all_limits += endpoint.limits
            yield from endpoint.calls
        for limits in all_limits:
            yield from (limits, limits.breaker, limits.slow_start, limits.send_rate)
    yield from policy.messages.values()
    yield from policy.key_queues.values()


# Attributes that refer to other parts, or that the codec converts by hand.
CONVERTED_ATTRIBUTES = {
    Policy: {
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
    Destination: {"endpoints", "queued", "limits"},
    Endpoint: {"destination", "limits", "calls"},
    CallLimits: {"safety", "destination", "breaker", "slow_start", "send_rate"},
    CircuitBreaker: {"trial_call"},
    SlowStart: set(),
    SendRate: set(),
    Message: {"class_settings", "destination", "key_queue"},
    Call: {"endpoint", "attempts", "cancelled"},
    KeyQueue: {"messages", "in_flight_elsewhere"},
}
# The attributes that are stored as they are, by stored name.
PLAIN_ATTRIBUTES = {
    Policy: codec.POLICY,
    Destination: codec.DESTINATION,
    Endpoint: codec.ENDPOINT,
    CallLimits: codec.CALL_LIMITS,
    CircuitBreaker: codec.CIRCUIT_BREAKER,
    SlowStart: codec.SLOW_START,
    SendRate: codec.SEND_RATE,
    Message: codec.MESSAGE,
    Call: codec.CALL,
    KeyQueue: codec.KEY_QUEUE,
}


def attribute_names(part: object) -> set[str]:
    return set(getattr(part, "__slots__", None) or vars(part))


def test_every_attribute_of_the_module_is_stored() -> None:
    relay = Relay(entry(1), entry(2, kind="apart"))
    relay.arrive(1, "ordered", key=3)
    relay.arrive(1, "keyed")
    found = set[type]()
    for part in all_parts(relay.policy):
        kind = type(part)
        assert attribute_names(part) == CONVERTED_ATTRIBUTES[kind] | set(PLAIN_ATTRIBUTES[kind].values()), (
            kind
        )
        found.add(kind)
    assert found == set(CONVERTED_ATTRIBUTES)


def busy_relay() -> Relay:
    """Return a relay with attempts in flight, a retry-after, a slow start, a drain and an ordering key in use."""
    relay = Relay(entry(1, "a"), entry(1, "b"), entry(2, "c"), entry(3, "d"))
    relay.arrive(1, "ordered", key=7)
    relay.arrive(1, "ordered", key=7)
    for _ in range(5):
        relay.arrive(2)
    for id_ in [i for i in relay.tries if relay.where[i] == "c"]:
        relay.end(id_, Outcome.ERROR)
    relay.arrive(3, "unsafe")
    relay.end("m8", Outcome.REJECTED, retry_after_ms=3000.0)
    relay.do(EndpointsUpdated([entry(1, "b", lifecycle=EndpointLifecycle.DRAINING)], complete=False))
    return relay


def test_attempts_in_flight_a_retry_after_a_slow_start_and_a_drain_are_restored() -> None:
    relay = busy_relay()
    restored = restore(decode(encode(take_snapshot(relay.policy))))
    assert restored.in_flight == relay.policy.in_flight > 0
    assert restored.destinations[3].endpoints["d"].limits[0].retry_after_active(relay.now + 2900.0)
    assert not restored.destinations[1].endpoints["b"].accepts_calls
    limits = restored.destinations[2].limits
    assert limits
    assert limits.breaker.consecutive_failures
    for step in range(400):
        relay.now += 50.0
        events = [TimerExpired(0)]
        if step == 20:
            events.append(relay.ended("m1"))  # type: ignore[arg-type]
        assert list(relay.policy.step(relay.now, events)) == list(restored.step(relay.now, events))


def test_an_unknown_format_version_is_rejected() -> None:
    state = take_snapshot(Policy(SETTINGS, 1))
    state.form = FORMAT_VERSION + 1
    with pytest.raises(SnapshotError, match=f"snapshot format version {FORMAT_VERSION + 1} is not supported"):
        decode(encode(state))


@settings(max_examples=200, deadline=None, derandomize=True)
@given(st.binary(max_size=400))
def test_random_bytes_are_rejected(data: bytes) -> None:
    with pytest.raises(SnapshotError):
        decode(data)


@settings(max_examples=150, deadline=None, derandomize=True)
@given(st.data())
def test_an_inconsistent_snapshot_is_restored_or_rejected_with_a_snapshot_error(data: st.DataObject) -> None:
    fields = msgspec.msgpack.decode(encode(take_snapshot(busy_relay().policy)))
    name = data.draw(st.sampled_from(sorted(fields)))
    fields[name] = data.draw(st.sampled_from([[], None, 0, "x", [[]], {}, [1], [["m1", 0, 99, None]]]))
    try:
        restore(decode(msgspec.msgpack.encode(fields)))
    except SnapshotError:
        return
    assert isinstance(decode(msgspec.msgpack.encode(fields)), PolicyState)
