"""Many senders with unequal traffic: work per step, the share of a cold budget, connections, retry-after, pace."""

from __future__ import annotations

from typing import Any

import pytest
from conftest import Relay, entry, sends

from kestreltrack.decision import (
    Action,
    CloseIdleConnections,
    EndpointsUpdated,
    Outcome,
    TimerExpired,
    endpoint_selection,
    rate_limit,
)
from kestreltrack.decision.records import Endpoint


def test_a_step_examines_only_destinations_with_queued_messages(monkeypatch: pytest.MonkeyPatch) -> None:
    relay = Relay(*(entry(dest) for dest in range(200)))
    examined: list[str] = []
    is_ready = endpoint_selection.is_ready

    def count(endpoint: Endpoint, now: float) -> bool:
        examined.append(endpoint.name)
        return is_ready(endpoint, now)

    monkeypatch.setattr(endpoint_selection, "is_ready", count)
    relay.arrive(7)
    relay.do(TimerExpired(0))
    relay.end("m1")
    relay.do(TimerExpired(0))
    assert set(examined) == {"e7"} and len(examined) <= 4
    assert not relay.policy.active_destinations and not relay.policy.timer_is_set


def attempt_times_in_outage(relays: int, outcome: Outcome, **more: Any) -> list[float]:
    """Return the times at which a sender with a single message calls a destination that fails every call."""
    relay = Relay(entry(1), sender_count=relays)
    relay.arrive(1, "keyed")
    attempt_times = [relay.now]
    while relay.now < 7500:
        if relay.policy.in_flight:
            relay.end("m1", outcome, took=5.0, **more)
        attempt_times += [relay.now] * len(sends(relay.wait(10)))
    return attempt_times


@pytest.mark.parametrize("outcome", [Outcome.UNREACHABLE, Outcome.ERROR])
def test_one_message_of_one_sender_among_many_is_retried_at_growing_gaps_in_an_outage(
    outcome: Outcome,
) -> None:
    attempt_times = attempt_times_in_outage(200, outcome)
    assert 3 <= len(attempt_times) <= 5  # hundreds of senders may each hold one message
    assert attempt_times[-1] - attempt_times[-2] >= 5 * (attempt_times[1] - attempt_times[0])


def test_a_sender_with_much_traffic_among_many_gets_more_of_the_cold_budget() -> None:
    relay = Relay(entry(1), sender_count=200)
    count = 0
    outcome = Outcome.UNREACHABLE
    while relay.now < 14000:
        outcome = Outcome.UNREACHABLE if relay.now < 10000 else Outcome.OK
        relay.do(*(relay.message(1) for _ in range(relay.now % 250 == 0)))
        for id_, _ in list(relay.policy.calls):
            relay.end(id_, outcome)
        sent = sends(relay.wait(10))
        count += len(sent) if relay.now > 10000 else 0
    # Its demand is 4 of the 20 calls a second: in 4 s of slow start at most overload factor x half warm x margin of
    # that.  An equal share would be 0.1 of 20 a second: one call or two.
    assert 5 <= count <= 4 * 4.0 * 2.0 * 0.5 * 0.9


def test_senders_with_the_same_retry_after_do_not_all_call_at_its_end() -> None:
    first_calls = []
    for seed in range(12):
        relay = Relay(entry(1), sender_count=200)
        relay.policy.random.seed(seed)
        relay.arrive(1, "unsafe")
        relay.end("m1", Outcome.REJECTED, retry_after_ms=4000.0)
        while relay.policy.in_flight == 0 and relay.now < 18000:
            relay.wait(50)
        first_calls.append(relay.now)
    assert min(first_calls) > 4000 and len([t for t in first_calls if t < 5000]) <= 4


def test_idle_connections_are_closed_for_kinds_where_a_connection_failed() -> None:
    relay = Relay(entry(1), entry(2), entry(3, kind="batch"))
    for dest in (1, 2, 3):
        relay.arrive(dest)
    assert not [
        a for a in relay.end("m1") if isinstance(a, CloseIdleConnections)
    ]  # kept while no connection failed
    relay.end("m2", Outcome.UNREACHABLE)
    assert not [a for a in relay.end("m3") if isinstance(a, CloseIdleConnections)]  # another kind
    relay.wait(3000)
    relay.end("m2")
    relay.arrive(1)
    assert CloseIdleConnections("e1") in relay.end("m4")
    relay.arrive(1)
    assert not [
        a for a in relay.end("m5") if isinstance(a, CloseIdleConnections)
    ]  # reused at once, so it is kept


def reject_for_lack_of_connections(relay: Relay, id_: str) -> list[Action]:
    """Reject a call as an endpoint without a free connection does: no retry-after, no report of its limit."""
    return relay.end(id_, Outcome.REJECTED, took=60.0)


def test_a_rejection_for_lack_of_connections_does_not_count_as_a_reached_limit() -> None:
    # Otherwise each sender without a connection backs off from the whole destination, longer each time, though its
    # limit is not used up: with 40 senders and 14 connections most messages for it became overdue.
    relay = Relay(entry(1, "a"), entry(1, "b"), sender_count=40, load_reports=True)
    relay.arrive(1, "keyed")
    first = relay.where["m1"]
    reject_for_lack_of_connections(relay, "m1")
    relay.wait(20)
    assert relay.where["m1"] != first, "the other endpoint has connections of its own"
    limits = relay.policy.destinations[1].limits
    assert (
        limits is not None and limits.breaker.consecutive_failures == 0 and limits.send_rate.fair_shares == 40
    )


def test_a_rejection_with_a_limit_report_or_a_retry_after_counts_for_the_destination() -> None:
    for more in ({"quota_left": 0.0, "rate_limit": 20.0}, {"retry_after_ms": 300.0}):
        relay = Relay(entry(1, "a"), entry(1, "b"), sender_count=40, load_reports=True)
        relay.arrive(1, "keyed")
        relay.end("m1", Outcome.REJECTED, **more)
        limits = relay.policy.destinations[1].limits
        assert limits is not None and limits.breaker.consecutive_failures == 1


def test_each_sender_closes_its_connection_where_connections_run_out() -> None:
    relay = Relay(entry(1), sender_count=40, load_reports=True)
    relay.arrive(1, "keyed")
    assert CloseIdleConnections("e1") in reject_for_lack_of_connections(relay, "m1")
    while not relay.policy.calls:
        relay.wait(10)
    relay.end("m1")
    relay.wait(4000)
    relay.arrive(1, "keyed")
    assert CloseIdleConnections("e1") in relay.end("m2"), (
        "40 idle connections would leave none for the others"
    )


def test_senders_with_the_same_information_spread_over_the_endpoints() -> None:
    chosen = []
    for seed in range(40):
        relay = Relay(sender_count=40)
        relay.policy.random.seed(seed)
        relay.do(EndpointsUpdated([entry(1, "a"), entry(1, "b")], complete=True))
        relay.arrive(1)
        chosen.append(relay.where["m1"])
    assert 10 <= chosen.count("a") <= 30


def test_forty_senders_deliver_at_a_limit_that_rejected_calls_use_up() -> None:
    # The destination takes 20 calls in a window of 1 s, rejected ones included; all 40 senders hold messages for it.
    window = 1000.0
    limit = 20
    relays = [Relay(entry(1), sender_count=40, concurrency_limit=4, load_reports=True) for _ in range(40)]
    for seed, relay in enumerate(relays):
        relay.policy.random.seed(seed)
        relay.do(*(relay.message(1, "keyed") for _ in range(4)))
    delivered = 0
    received = 0
    while relays[0].now < 10_000:
        if relays[0].now % window == 0:
            received = 0
        for relay in relays:
            for id_, _ in list(relay.policy.calls):
                received += 1
                left = max(0.0, 1.0 - received / limit)
                good = received <= limit
                delivered += good
                relay.end(
                    id_,
                    Outcome.OK if good else Outcome.REJECTED,
                    took=10.0,
                    quota_left=left,
                    rate_limit=float(limit),
                )
            relay.wait(10)
    assert delivered >= 0.5 * 10 * limit


def fair_shares_sent(relay: Relay) -> float:
    """Return the send rate at destination 1, in fair shares of its limit."""
    limits = relay.policy.destinations[1].limits
    assert limits is not None
    return rate_limit.rate_and_tokens(limits, relay.now)[0]


def test_a_nearly_used_up_limit_reduces_each_sender_to_its_fair_share() -> None:
    relay = Relay(entry(1), sender_count=40, load_reports=True)
    for left, shares in ((0.3, 40.0), (0.24999, 1.0), (0.0, 0.5)):
        relay.arrive(1)
        relay.end(f"m{relay.count}", quota_left=left, rate_limit=20.0)
        assert fair_shares_sent(relay) == pytest.approx(shares, abs=0.01)
        relay.wait(4000)


def test_a_lowered_and_restored_limit_is_followed_with_the_next_response() -> None:
    relay = Relay(entry(1), sender_count=40, load_reports=True)
    rates = []
    for limit in (20.0, 6.0, 20.0):
        relay.arrive(1)
        relay.end(f"m{relay.count}", quota_left=0.0, rate_limit=limit)
        rates.append(fair_shares_sent(relay) * limit / 40)
        limits = relay.policy.destinations[1].limits
        assert limits is not None and limits.send_rate.base_rate_per_s == limit
        relay.wait(30_000)
    assert rates == pytest.approx([0.25, 0.075, 0.25], abs=0.001)


def test_a_report_without_a_limit_leaves_the_send_rate() -> None:
    relay = Relay(entry(1), sender_count=40, load_reports=True)
    relay.arrive(1)
    relay.end("m1", quota_left=0.0, rate_limit=0.0)
    assert fair_shares_sent(relay) == 40
