"""The invariants of one sender: random legal event sequences keep them, and each check finds its violation.

The endpoints here have no capacity, and nothing is scored.
"""

from __future__ import annotations

import random
from dataclasses import replace

import pytest
from conftest import CLASSES, SETTINGS

from kestreltrack.decision import (
    Action,
    AttemptEnded,
    CancelAttempt,
    DiscoveryFailed,
    EndpointEntry,
    EndpointLifecycle,
    EndpointsUpdated,
    Event,
    FailMessage,
    MessageArrived,
    MessageWithdrawn,
    Outcome,
    Policy,
    PriorityDecay,
    RateAccuracy,
    RejectMessage,
    SetTimer,
    StartAttempt,
    TimerExpired,
)
from kestreltrack.invariants.sender import Attempt, InvariantViolationError, MessageRecord, SenderInvariants


class RandomEventRun:
    """Feeds a decision module random but legal events that depend only on the seed."""

    def __init__(self, seed: int) -> None:
        self.random = random.Random(seed)
        rng = self.random
        self.settings = replace(
            SETTINGS,
            concurrency_limit=rng.choice([1, 3, 8, 20]),
            queue_capacity=rng.choice([5, 30, 200]),
            max_attempts=rng.choice([2, 12]),
            sender_count=rng.choice([1, 3]),
            may_cancel=rng.random() < 0.7,
            must_poll=rng.random() < 0.5,
            rate_accuracy=rng.choice(list(RateAccuracy)),
            priority_decay=rng.choice(list(PriorityDecay)),
            requests_per_connection=rng.choice([1, 8]),
        )
        self.checker = SenderInvariants(self.settings)
        self.policy = Policy(self.settings, seed)
        self.now = 1000.0
        self.count = 0
        self.due: list[float] = []
        self.entries = [
            EndpointEntry(f"e{d}{n}", d, kind, rng.choice(["x", "y"]), rate=rng.choice([2.0, 30.0]))
            for d, kind in enumerate(["plain", "plain", "apart", "batch"])
            for n in range(rng.choice([1, 2, 3]))
        ]
        self.step([EndpointsUpdated(self.entries, complete=True, cached=True)])

    def step(self, events: list[Event]) -> list[Action]:
        """Handle events, decide, and check the actions."""
        for event in events:
            self.checker.observe(self.now, event)
        acts = list(self.policy.step(self.now, events))
        self.due += [self.now + a.delay_ms for a in acts if isinstance(a, SetTimer)]
        self.checker.check_actions(self.now, acts)
        return acts

    def events(self, rate: float) -> list[Event]:
        """Return some of the events that may legally happen now."""
        rng = self.random
        events = list[Event]()
        if any(t <= self.now for t in self.due):
            self.due = [t for t in self.due if t > self.now]
            events.append(TimerExpired(0))
        for record in list(self.checker.records.values()):
            for n, attempt in enumerate(record.attempts):
                if attempt.outcome is None:
                    events += self.outcome(record, n, attempt)
            if not record.final and rng.random() < 0.002:
                events.append(MessageWithdrawn(record.event.id))
        for _ in range(int(rate * rng.random() * 2)):
            self.count += 1
            cls = rng.choice(list(CLASSES))
            key = rng.randrange(4) if CLASSES[cls].in_order and rng.random() < 0.9 else None
            expires = self.now + CLASSES[cls].deadline_ms * rng.choice([0.1, 1.0])
            events.append(MessageArrived(f"m{self.count}", rng.randrange(5), cls, expires, key))
        if rng.random() < 0.02:
            entry = rng.choice(self.entries)
            events.append(
                EndpointsUpdated(
                    [replace(entry, lifecycle=rng.choice(list(EndpointLifecycle)))], complete=False
                )
            )
        if rng.random() < 0.01:
            events.append(EndpointsUpdated(rng.sample(self.entries, len(self.entries) // 2), complete=True))
        if self.settings.must_poll and rng.random() < 0.02:
            events.append(DiscoveryFailed())
        return events

    def outcome(self, record: MessageRecord, n: int, attempt: Attempt) -> list[Event]:
        """Return the outcome of an attempt, or nothing while it is in flight; endpoints hang in different periods."""
        rng = self.random
        started_at = attempt.started_at
        endpoint = next(a.endpoint for a in self.sent[record.event.id][n:])
        hanging = (stable_hash(endpoint) + int(self.now / 4000)) % 4 == 0
        id_ = record.event.id
        if self.now >= record.event.expires:
            return [AttemptEnded(id_, n, endpoint, Outcome.TIMED_OUT, self.now - started_at, record.final)]
        if (id_, n) in self.cancelled:
            return [AttemptEnded(id_, n, endpoint, Outcome.CANCELLED, self.now - started_at, record.final)]
        if hanging or rng.random() < 0.7:
            return []
        outcome = rng.choice([Outcome.OK] * 4 + list(Outcome))
        retry_after_ms = float(rng.choice([0, 0, 700, 3000])) if outcome is Outcome.REJECTED else 0.0
        final = record.final or outcome is Outcome.OK
        return [
            AttemptEnded(
                id_, n, endpoint, outcome, self.now - started_at, final, retry_after_ms, rng.random(), 9.0
            )
        ]

    def run(self, steps: int) -> None:
        """Make this many steps, then let time pass until each message must have its final answer."""
        self.sent: dict[str, list[StartAttempt]] = {}
        self.cancelled: set[tuple[str, int]] = set()
        for n in range(steps + 500):
            self.now += self.random.choice([5.0, 20.0, 50.0]) if n < steps else 50.0
            acts = self.step(self.events(1.5 if n < steps else 0.0))
            for act in acts:
                if isinstance(act, StartAttempt):
                    self.sent.setdefault(act.id, []).append(act)
                elif isinstance(act, CancelAttempt):
                    self.cancelled.add((act.id, act.attempt))
        assert not self.policy.messages and not self.policy.in_flight


def stable_hash(text: str) -> int:
    """Return a hash of a text that does not depend on the hash seed of the process."""
    return sum(map(ord, text))


@pytest.mark.parametrize("seed", range(24))
def test_random_events_violate_no_invariant(seed: int) -> None:
    event_run = RandomEventRun(seed)
    event_run.run(400)
    sent = sum(len(r.attempts) for r in event_run.checker.records.values())
    assert sent >= 5 and all(r.final_answers <= 1 for r in event_run.checker.records.values())


# Each check finds a deliberate violation ----------------------------------------------------------


def checker_of_two_messages(
    cls: str = "keyed", dest: int = 0, kind: str = "plain", **changes: object
) -> SenderInvariants:
    """Return a checker that knows three endpoints of two destinations, and two messages of one key."""
    checker = SenderInvariants(replace(SETTINGS, **changes))  # type: ignore[arg-type]
    entries = [
        EndpointEntry("a", 0, kind, "x"),
        EndpointEntry("b", 0, kind, "y"),
        EndpointEntry("c", 1, kind, "x"),
    ]
    checker.observe(0.0, EndpointsUpdated(entries, complete=True))
    for n in (1, 2):
        checker.observe(0.0, MessageArrived(f"m{n}", dest, cls, 20000.0, 5))
    return checker


def end_first_attempt(
    checker: SenderInvariants, outcome: Outcome, retry_after_ms: float = 0.0, now: float = 100.0
) -> None:
    """Start the first attempt of m1 at endpoint a, and end it."""
    checker.check_actions(0.0, [StartAttempt("m1", "a", 1.0)])
    checker.observe(now, AttemptEnded("m1", 0, "a", outcome, now, outcome is Outcome.OK, retry_after_ms))


VIOLATIONS = [
    (
        "two attempts in flight",
        "keyed",
        None,
        0.0,
        [StartAttempt("m1", "a", 1.0), StartAttempt("m1", "b", 1.0)],
    ),
    ("sent after the final answer", "keyed", Outcome.OK, 200.0, [StartAttempt("m1", "a", 1.0)]),
    ("second final", "keyed", Outcome.OK, 200.0, [FailMessage("m1")]),
    ("not idempotent", "unsafe", Outcome.ERROR, 200.0, [StartAttempt("m1", "a", 1.0)]),
    ("harmless", "unsafe", Outcome.CONNECTION_BROKEN, 200.0, [RejectMessage("m1")]),
    ("harmless", "zoned", Outcome.CONNECTION_BROKEN, 200.0, [RejectMessage("m1")]),
    ("outside the zone", "zoned", Outcome.CONNECTION_BROKEN, 200.0, [StartAttempt("m1", "b", 1.0)]),
    ("deduplication window", "keyed", Outcome.CONNECTION_BROKEN, 8000.0, [StartAttempt("m1", "a", 1.0)]),
    ("out of order", "ordered", None, 0.0, [StartAttempt("m2", "a", 1.0)]),
    ("out of order", "ordered", Outcome.CONNECTION_BROKEN, 200.0, [StartAttempt("m2", "a", 1.0)]),
    ("destination", "keyed", None, 0.0, [StartAttempt("m1", "c", 1.0)]),
    ("no final answer", "keyed", None, 20021.0, []),
    ("never made", "keyed", None, 0.0, [CancelAttempt("m1", 0)]),
    ("before a retry-after", "keyed", Outcome.REJECTED, 3000.0, [StartAttempt("m2", "b", 1.0)]),
]


@pytest.mark.parametrize(("rule", "cls", "first_outcome", "now", "actions"), VIOLATIONS)
def test_a_violating_action_is_reported(
    rule: str, cls: str, first_outcome: Outcome | None, now: float, actions: list[Action]
) -> None:
    checker = checker_of_two_messages(cls)
    if first_outcome is not None:
        end_first_attempt(checker, first_outcome, retry_after_ms=5000.0)
    with pytest.raises(InvariantViolationError, match=rule):
        checker.check_actions(now, actions)


def test_an_attempt_at_a_draining_endpoint_is_reported_after_the_grace_period() -> None:
    checker = checker_of_two_messages()
    draining = EndpointEntry("a", 0, "plain", lifecycle=EndpointLifecycle.DRAINING)
    checker.observe(0.0, EndpointsUpdated([draining], complete=False))
    with pytest.raises(InvariantViolationError, match="draining"):
        checker.check_actions(1001.0, [StartAttempt("m1", "a", 1.0)])


def test_more_calls_than_the_concurrency_limit_are_reported() -> None:
    checker = checker_of_two_messages(concurrency_limit=1)
    with pytest.raises(InvariantViolationError, match="concurrency limit"):
        checker.check_actions(0.0, [StartAttempt("m1", "a", 1.0), StartAttempt("m2", "b", 1.0)])


def test_more_attempts_than_the_limit_are_reported() -> None:
    checker = checker_of_two_messages(max_attempts=1)
    end_first_attempt(checker, Outcome.UNREACHABLE)
    with pytest.raises(InvariantViolationError, match="more attempts"):
        checker.check_actions(200.0, [StartAttempt("m1", "a", 1.0)])


def test_an_attempt_before_its_key_has_settled_is_reported() -> None:
    checker = checker_of_two_messages("ordered")
    end_first_attempt(checker, Outcome.CONNECTION_BROKEN)
    checker.check_actions(200.0, [FailMessage("m1")])
    with pytest.raises(InvariantViolationError, match="settled"):
        checker.check_actions(500.0, [StartAttempt("m2", "a", 1.0)])
