"""Limits that no list announces: none is assumed until calls are rejected, then the rate follows accepted calls."""

from __future__ import annotations

from typing import Any

import pytest
from conftest import Relay, entry, sends

from kestreltrack.decision import Outcome, RateAccuracy, StartAttempt
from kestreltrack.decision.rate_limit import APPROXIMATE_RATE_MARGIN, DEFAULT_RATE_PER_S


def sender_without_listed_rate(**changes: Any) -> Relay:
    return Relay(entry(1), **{"rate_accuracy": RateAccuracy.NONE, "concurrency_limit": 40, **changes})


def serve(
    relay: Relay, seconds: float, offered_per_s: int, capacity_per_s: int, rejections_count: bool = False
) -> tuple[int, int]:
    """Offer messages for a time to a destination with a limit, and return the calls delivered and rejected.

    Args:
        relay: The sender under test.
        seconds: How long.
        offered_per_s: How many messages arrive in a second.
        capacity_per_s: How many calls the destination accepts in each second.
        rejections_count: Whether a rejected call uses up the limit as well: it takes a call from the next second.
    """
    delivered = 0
    rejected = 0
    capacity_left = capacity_per_s
    second = -1
    # The accepted calls, in the order of their end.
    ends = list[tuple[float, str]]()
    next_action = len(relay.log)
    until = relay.now + seconds * 1000.0
    while relay.now < until:
        relay.now += 1000.0 / offered_per_s
        relay.arrive(1, expires=relay.now + 3000.0)
        if int(relay.now // 1000.0) != second:
            second = int(relay.now // 1000.0)
            capacity_left = capacity_per_s + min(0, capacity_left)
        while ends and ends[0][0] <= relay.now:
            relay.end(ends.pop(0)[1], took=50.0)
        while next_action < len(relay.log):
            action = relay.log[next_action]
            next_action += 1
            if not isinstance(action, StartAttempt):
                continue
            if capacity_left > 0:
                capacity_left -= 1
                delivered += 1
                ends.append((relay.now + 50.0, action.id))
            else:
                if rejections_count:
                    capacity_left -= 1
                rejected += 1
                relay.end(action.id, Outcome.REJECTED, took=5.0)
    return delivered, rejected


def test_without_rejections_no_call_is_held_back() -> None:
    relay = sender_without_listed_rate()
    actions = relay.do(*[relay.message(1) for _ in range(25)])
    assert len(sends(actions)) == 25  # an assumed limit of two a second would hold most of them


def test_an_unannounced_limit_is_learnt_and_respected() -> None:
    relay = sender_without_listed_rate()
    serve(relay, 20.0, offered_per_s=60, capacity_per_s=20)
    delivered, rejected = serve(relay, 20.0, offered_per_s=60, capacity_per_s=20)
    assert delivered >= 0.75 * 20 * 20
    assert rejected <= 0.25 * delivered


def test_a_halved_limit_is_followed() -> None:
    relay = sender_without_listed_rate()
    serve(relay, 20.0, offered_per_s=60, capacity_per_s=40)
    serve(relay, 5.0, offered_per_s=60, capacity_per_s=20)
    delivered, rejected = serve(relay, 10.0, offered_per_s=60, capacity_per_s=20)
    assert delivered >= 0.75 * 10 * 20 and rejected <= 0.25 * delivered


def test_messages_are_delivered_where_rejected_calls_count_towards_the_limit() -> None:
    relay = sender_without_listed_rate()
    serve(relay, 20.0, offered_per_s=60, capacity_per_s=20, rejections_count=True)
    delivered, _ = serve(relay, 20.0, offered_per_s=60, capacity_per_s=20, rejections_count=True)
    assert delivered >= 0.7 * 20 * 20


def test_a_raised_limit_is_learnt() -> None:
    relay = sender_without_listed_rate()
    serve(relay, 20.0, offered_per_s=60, capacity_per_s=10)
    serve(relay, 20.0, offered_per_s=60, capacity_per_s=30)
    delivered, _ = serve(relay, 10.0, offered_per_s=60, capacity_per_s=30)
    assert delivered >= 0.7 * 10 * 30


@pytest.mark.parametrize("sender_count", [1, 3])
def test_the_cold_rate_follows_the_rate_that_an_endpoint_accepted(sender_count: int) -> None:
    relay = sender_without_listed_rate(sender_count=sender_count)
    limits = next(iter(relay.policy.destinations[1].endpoints.values())).limits[0]
    # Without any accepted call the least rate applies.
    assert limits.slow_start.cold_rate_per_s == APPROXIMATE_RATE_MARGIN * DEFAULT_RATE_PER_S
    serve(relay, 5.0, offered_per_s=20, capacity_per_s=1000)
    assert (
        0.7 * 20 * sender_count * APPROXIMATE_RATE_MARGIN
        < limits.slow_start.cold_rate_per_s
        < 1.4 * 20 * sender_count * APPROXIMATE_RATE_MARGIN
    )


def test_a_listed_rate_or_a_load_report_takes_precedence_over_a_learnt_rate() -> None:
    for changes in (
        {"rate_accuracy": RateAccuracy.EXACT},
        {"rate_accuracy": RateAccuracy.NONE, "load_reports": True},
    ):
        relay = Relay(entry(1, rate=4.0), **{"concurrency_limit": 40, **changes})
        assert len(sends(relay.do(*[relay.message(1) for _ in range(25)]))) <= 4


def test_rejections_early_in_a_burst_do_not_set_the_learnt_limit() -> None:
    # A full queue rejected the 20th message of a burst: for 20 s the destination got a fifth of its capacity.
    relay = sender_without_listed_rate(queue_capacity=2000)
    relay.do(*[relay.message(1) for _ in range(20)])
    first = [action.id for action in relay.log if isinstance(action, StartAttempt)]
    relay.now += 50.0
    for id_ in first[:4]:
        relay.end(id_, took=50.0)
    for id_ in first[4:]:
        relay.end(id_, Outcome.REJECTED, took=5.0)
    serve(relay, 11.0, offered_per_s=100, capacity_per_s=100)
    delivered, _ = serve(relay, 2.0, offered_per_s=100, capacity_per_s=100)
    assert delivered >= 0.8 * 2 * 100
