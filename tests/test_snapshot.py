"""A restored module goes on exactly as the other would have, from any moment of any history."""

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

Tape = list[tuple[float, Any]]


class Taped(Policy):
    """Remembers what it was told, and each answer."""

    def __init__(self, settings: Settings, seed: int) -> None:
        super().__init__(settings, seed)
        self.tape: Tape = []

    def handle(self, now: float, event: Event) -> None:
        self.tape.append((now, event))
        super().handle(now, event)

    def decide(self, now: float) -> Any:
        actions = super().decide(now)
        self.tape.append((now, list(actions)))
        return actions


def history(seed: int, steps: int, monkeypatch: pytest.MonkeyPatch) -> tuple[Settings, Tape]:
    monkeypatch.setattr(test_random, "Policy", Taped)
    play = test_random.Play(seed)
    play.run(steps)
    assert isinstance(play.policy, Taped)
    return play.settings, play.policy.tape


def go_on(policy: Policy, tape: Tape) -> None:
    for now, what in tape:
        if isinstance(what, list):
            assert list(policy.decide(now)) == what
        else:
            policy.handle(now, what)


@pytest.mark.parametrize("seed", range(16))
def test_run_save_load_run_is_run(seed: int, monkeypatch: pytest.MonkeyPatch) -> None:
    settings, tape = history(seed, 200, monkeypatch)
    cuts, rng = [0], random.Random(seed)
    cuts += sorted(rng.randrange(len(tape) * 2 // 3) for _ in range(7))
    first = Policy(settings, seed)
    for before, cut in pairwise(cuts):
        go_on(first, tape[before:cut])
        second = restore(decode(encode(take_snapshot(first))))
        assert canonical(encode(take_snapshot(second))) == canonical(encode(take_snapshot(first)))
        go_on(second, tape[cut:])
    go_on(first, tape[cuts[-1] :])
    assert len(tape) > 400 and canonical(encode(take_snapshot(second))) == canonical(
        encode(take_snapshot(first))
    )


def parts(policy: Policy) -> Iterator[object]:
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


REFERS = {
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
    KeyQueue: {"messages"},
}
PLAIN = {
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


def test_no_attribute_of_the_module_is_left_out() -> None:
    relay = Relay(entry(1), entry(2, kind="apart"))
    relay.arrive(1, "ordered", key=3)
    relay.arrive(1, "keyed")
    found = set[type]()
    for part in parts(relay.policy):
        kind = type(part)
        assert set(vars(part)) == REFERS[kind] | set(PLAIN[kind].values()), kind
        found.add(kind)
    assert found == set(REFERS)


def in_the_middle() -> Relay:
    """A claim out, a told wait, a slow start, a drain, a key held: all at one moment."""
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


def test_a_claim_out_a_wait_a_slow_start_and_a_drain_are_carried_over() -> None:
    relay = in_the_middle()
    other = restore(decode(encode(take_snapshot(relay.policy))))
    assert other.in_flight == relay.policy.in_flight > 0 and other.destinations[3].endpoints["d"].limits[
        0
    ].retry_after_active(relay.now + 2900.0)
    assert (
        not other.destinations[1].endpoints["b"].accepts_calls
        and other.destinations[2].limits
        and other.destinations[2].limits.breaker.consecutive_failures
    )
    for step in range(400):
        relay.now += 50.0
        events = [TimerExpired(0)]
        if step == 20:
            events.append(relay.ended("m1"))  # type: ignore[arg-type]
        assert list(relay.policy.step(relay.now, events)) == list(other.step(relay.now, events))


def test_a_form_that_is_not_known_is_refused() -> None:
    state = take_snapshot(Policy(SETTINGS, 1))
    state.form = FORMAT_VERSION + 1
    with pytest.raises(SnapshotError, match="its form is"):
        decode(encode(state))


@settings(max_examples=200, deadline=None, derandomize=True)
@given(st.binary(max_size=400))
def test_junk_is_refused(data: bytes) -> None:
    with pytest.raises(SnapshotError):
        decode(data)


@settings(max_examples=150, deadline=None, derandomize=True)
@given(st.data())
def test_parts_that_do_not_fit_together_are_refused_or_taken_up_but_never_crash(data: st.DataObject) -> None:
    tree = msgspec.msgpack.decode(encode(take_snapshot(in_the_middle().policy)))
    key = data.draw(st.sampled_from(sorted(tree)))
    tree[key] = data.draw(st.sampled_from([[], None, 0, "x", [[]], {}, [1], [["m1", 0, 99, None]]]))
    try:
        restore(decode(msgspec.msgpack.encode(tree)))
    except SnapshotError:
        return
    assert isinstance(decode(msgspec.msgpack.encode(tree)), PolicyState)
