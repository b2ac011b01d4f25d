"""A Retry-After that another process or sender received applies here too; attempts that were not sent are delayed."""

from __future__ import annotations

import asyncio
from pathlib import Path
from typing import Any, cast

import pytest
from conftest import SETTINGS, Relay, entry, finals, sends
from test_takeover import open_successor

from kestreltrack.decision import EndpointsUpdated, Outcome, RejectMessage, RetryAfterReceived
from kestreltrack.invariants.sender import InvariantViolationError, SenderInvariants
from kestreltrack.journal import OutstandingMessage
from kestreltrack.journal.takeover import TAKEOVER_BATCH_SIZE
from kestreltrack.sender.delivery import Core
from kestreltrack.sender.key_order import KeyOrder
from kestreltrack.sender.takeover import Takeover


def test_retry_after_of_another_sender_blocks_all_endpoints_of_the_destination() -> None:
    relay = Relay(entry(1, "e1"), entry(1, "e2"), entry(2))
    relay.do(RetryAfterReceived(1, 900.0))
    assert not sends(relay.arrive(1))
    assert sends(relay.arrive(2)) == ["m2"]
    assert not relay.policy.permits(899.0, 1, "e1")
    assert not relay.policy.permits(899.0, 1, "e2")
    relay.arrive(1)
    assert not sends(relay.wait(890.0))
    trial = sends(relay.wait(1500.0))
    assert len(trial) == 1, "a trial call comes first, as after a rejection that this sender received"
    assert len(sends(relay.end(trial[0]))) == 1


def test_retry_after_applies_before_endpoints_are_listed_and_after_they_are_replaced() -> None:
    relay = Relay()
    relay.do(RetryAfterReceived(1, 900.0))
    relay.arrive(1)
    relay.do(EndpointsUpdated([entry(1, "e1")], complete=True))
    assert not sends(relay.wait(400.0))
    relay.do(EndpointsUpdated([entry(1, "e2")], complete=True))
    assert not sends(relay.wait(490.0))
    assert sends(relay.wait(100.0)) == ["m1"]


def test_long_retry_after_is_one_outage_followed_by_a_slow_start() -> None:
    relay = Relay(entry(1))
    relay.do(RetryAfterReceived(1, 4000.0))
    limits = relay.policy.destinations[1].limits
    assert limits
    assert limits.breaker.consecutive_failures == 1
    assert limits.slow_start.slow_start_from == limits.breaker.last_failure_at
    relay.now = 30.0
    relay.do(RetryAfterReceived(1, 4010.0), RetryAfterReceived(1, 3000.0))
    assert limits.breaker.consecutive_failures == 1
    assert not limits.retry_after_active(4011.0)
    assert limits.retry_after_active(4009.0)
    relay.do(*(relay.message(1) for _ in range(30)))
    relay.wait(3970.0)
    trial = sends(relay.wait(1000.0))
    assert len(trial) == 1
    relay.end(trial[0])
    assert 0 < len(sends(relay.wait(500.0))) < 8, "slow start: not the whole queue at once"


def test_attempt_that_was_not_sent_is_delayed_and_not_counted() -> None:
    relay = Relay(entry(1), max_attempts=3)
    relay.arrive(1, "unsafe")
    for _ in range(10):
        actions = relay.end("m1", Outcome.NOT_SENT, 0.0, counted=False)
        assert not sends(actions), "an immediate retry would only be blocked again"
        assert not sends(relay.wait(240.0))
        assert sends(relay.wait(60.0)) == ["m1"]
    relay.end("m1")
    assert not finals(relay.log)


def test_attempt_that_was_not_sent_but_counted_is_delayed_too() -> None:
    relay = Relay(entry(1), max_attempts=3)
    relay.arrive(1)
    for _ in range(2):
        assert not sends(relay.end("m1", Outcome.NOT_SENT))
        assert sends(relay.wait(300.0)) == ["m1"]
    assert finals(relay.end("m1", Outcome.NOT_SENT)) == [RejectMessage("m1", 2000.0)]


def test_invariant_fails_for_a_policy_that_ignores_retry_after(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    def play() -> None:
        relay = Relay(entry(1))
        invariants = SenderInvariants(relay.policy.settings)
        for event in (
            EndpointsUpdated([entry(1)], complete=True),
            RetryAfterReceived(1, 900.0),
            relay.message(1),
        ):
            invariants.observe(0.0, event)
            invariants.check_actions(0.0, relay.do(event))

    play()
    monkeypatch.setattr("kestreltrack.decision.evidence.apply_retry_after", lambda state, event: None)
    with pytest.raises(InvariantViolationError, match="before a retry-after had passed"):
        play()


def test_takeover_yields_to_the_loop_after_each_batch(tmp_path: Path) -> None:
    """At most one batch of 2,000 outstanding messages is taken over before another task runs."""
    journal = open_successor(tmp_path, 2000)
    turn = 0
    batches = list[tuple[int, int]]()  # the turn of the event loop, and the number of messages

    class CountingCore(Core):
        def __init__(self) -> None:
            self.key_order = KeyOrder(cast(Any, None), journal, SETTINGS)

        def recover(self, outstanding_messages: list[OutstandingMessage] | None = None) -> None:
            batches.append((turn, len(outstanding_messages or ())))

    async def count_turns() -> None:
        nonlocal turn
        while True:
            await asyncio.sleep(0)
            turn += 1

    async def play() -> None:
        counter = asyncio.create_task(count_turns())
        await Takeover(CountingCore(), journal, journal.telemetry).take_over()
        counter.cancel()

    asyncio.run(play())
    assert sum(count for _, count in batches) == 2000
    assert max(count for _, count in batches) == TAKEOVER_BATCH_SIZE
    assert len({batch_turn for batch_turn, _ in batches}) == len(batches), (
        "two batches in one turn of the event loop"
    )
