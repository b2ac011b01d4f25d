"""Many unequal relays: work per step, the part of a cold budget, connections, waits told to all at once."""

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


def test_a_step_looks_at_busy_destinations_only(monkeypatch: pytest.MonkeyPatch) -> None:
    relay = Relay(*(entry(dest) for dest in range(200)))
    looked: list[str] = []
    is_ready = endpoint_selection.is_ready

    def count(endpoint: Endpoint, now: float) -> bool:
        looked.append(endpoint.name)
        return is_ready(endpoint, now)

    monkeypatch.setattr(endpoint_selection, "is_ready", count)
    relay.arrive(7)
    relay.do(TimerExpired(0))
    relay.end("m1")
    relay.do(TimerExpired(0))
    assert set(looked) == {"e7"} and len(looked) <= 4
    assert not relay.policy.active_destinations and not relay.policy.timer_is_set


def tries_in_outage(relays: int, outcome: Outcome, **more: Any) -> list[float]:
    """Times at which a relay with a single message there tries a destination that fails every call."""
    relay = Relay(entry(1), sender_count=relays)
    relay.arrive(1, "keyed")
    tries = [relay.now]
    while relay.now < 7500:
        if relay.policy.in_flight:
            relay.end("m1", outcome, took=5.0, **more)
        tries += [relay.now] * len(sends(relay.wait(10)))
    return tries


@pytest.mark.parametrize("outcome", [Outcome.UNREACHABLE, Outcome.ERROR])
def test_one_message_of_one_relay_among_many_tries_an_outage_less_and_less(outcome: Outcome) -> None:
    tries = tries_in_outage(200, outcome)
    assert 3 <= len(tries) <= 5  # hundreds of relays may each hold one
    assert tries[-1] - tries[-2] >= 5 * (tries[1] - tries[0])


def test_a_relay_with_much_traffic_among_many_has_more_of_the_cold_budget() -> None:
    relay = Relay(entry(1), sender_count=200)
    count, outcome = 0, Outcome.UNREACHABLE
    while relay.now < 14000:
        outcome = Outcome.UNREACHABLE if relay.now < 10000 else Outcome.OK
        relay.do(*(relay.message(1) for _ in range(relay.now % 250 == 0)))
        for id_, _ in list(relay.policy.calls):
            relay.end(id_, outcome)
        went = sends(relay.wait(10))
        count += len(went) if relay.now > 10000 else 0
    # It asks 4 of the 20 a second: in 4 s of slow start at most overload factor x half warm x margin of that.
    # An equal part would be 0.1 of 20 a second: one call or two.
    assert 5 <= count <= 4 * 4.0 * 2.0 * 0.5 * 0.9


def test_a_wait_told_to_all_is_not_ended_by_all_at_once() -> None:
    firsts = []
    for seed in range(12):
        relay = Relay(entry(1), sender_count=200)
        relay.policy.random.seed(seed)
        relay.arrive(1, "unsafe")
        relay.end("m1", Outcome.REJECTED, retry_after_ms=4000.0)
        while relay.policy.in_flight == 0 and relay.now < 18000:
            relay.wait(50)
        firsts.append(relay.now)
    assert min(firsts) > 4000 and len([t for t in firsts if t < 5000]) <= 4


def test_idle_connections_are_closed_at_kinds_where_a_connection_failed() -> None:
    relay = Relay(entry(1), entry(2), entry(3, kind="batch"))
    for dest in (1, 2, 3):
        relay.arrive(dest)
    assert not [
        a for a in relay.end("m1") if isinstance(a, CloseIdleConnections)
    ]  # kept while nothing failed
    relay.end("m2", Outcome.UNREACHABLE)
    assert not [a for a in relay.end("m3") if isinstance(a, CloseIdleConnections)]  # another kind
    relay.wait(3000)
    relay.end("m2")
    relay.arrive(1)
    assert CloseIdleConnections("e1") in relay.end("m4")
    relay.arrive(1)
    assert not [
        a for a in relay.end("m5") if isinstance(a, CloseIdleConnections)
    ]  # used again at once: worth keeping


def turned_away_at_the_door(relay: Relay, id_: str) -> list[Action]:
    """An endpoint without a connection to spare: no wait, no word of its limit."""
    return relay.end(id_, Outcome.REJECTED, took=60.0)


def test_a_full_table_of_connections_is_not_taken_for_a_spent_limit() -> None:
    # Else each sender without a connection stays away from the whole partner, longer each time, though its limit
    # has room: at 40 senders and 14 connections most messages for it went overdue.
    relay = Relay(entry(1, "a"), entry(1, "b"), sender_count=40, load_reports=True)
    relay.arrive(1, "keyed")
    first = relay.where["m1"]
    turned_away_at_the_door(relay, "m1")
    relay.wait(20)
    assert relay.where["m1"] != first, "the other endpoint has a table of its own"
    limits = relay.policy.destinations[1].limits
    assert (
        limits is not None and limits.breaker.consecutive_failures == 0 and limits.send_rate.fair_shares == 40
    )


def test_a_refusal_that_may_tell_of_the_limit_counts_for_the_partner() -> None:
    for more in ({"quota_left": 0.0, "rate_limit": 20.0}, {"retry_after_ms": 300.0}):
        relay = Relay(entry(1, "a"), entry(1, "b"), sender_count=40, load_reports=True)
        relay.arrive(1, "keyed")
        relay.end("m1", Outcome.REJECTED, **more)
        limits = relay.policy.destinations[1].limits
        assert limits is not None and limits.breaker.consecutive_failures == 1


def test_where_tables_are_full_each_gives_its_connection_back() -> None:
    relay = Relay(entry(1), sender_count=40, load_reports=True)
    relay.arrive(1, "keyed")
    assert CloseIdleConnections("e1") in turned_away_at_the_door(relay, "m1")
    while not relay.policy.calls:
        relay.wait(10)
    relay.end("m1")
    relay.wait(4000)
    relay.arrive(1, "keyed")
    assert CloseIdleConnections("e1") in relay.end("m2"), "40 kept idle would leave none for the others"


def test_relays_that_know_the_same_do_not_all_choose_the_same_endpoint() -> None:
    chosen = []
    for seed in range(40):
        relay = Relay(sender_count=40)
        relay.policy.random.seed(seed)
        relay.do(EndpointsUpdated([entry(1, "a"), entry(1, "b")], complete=True))
        relay.arrive(1)
        chosen.append(relay.where["m1"])
    assert 10 <= chosen.count("a") <= 30


def test_forty_relays_at_a_limit_that_refused_calls_use_up_come_through() -> None:
    # A window of 1 s takes 20 calls, refused ones counted in; all 40 hold messages for it.
    window, limit = 1000.0, 20
    relays = [Relay(entry(1), sender_count=40, concurrency_limit=4, load_reports=True) for _ in range(40)]
    for seed, relay in enumerate(relays):
        relay.policy.random.seed(seed)
        relay.do(*(relay.message(1, "keyed") for _ in range(4)))
    delivered, came = 0, 0
    while relays[0].now < 10_000:
        if relays[0].now % window == 0:
            came = 0
        for relay in relays:
            for id_, _ in list(relay.policy.calls):
                came += 1
                left = max(0.0, 1.0 - came / limit)
                good = came <= limit
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


def paced(relay: Relay) -> float:
    """The pace at destination 1, in even parts of its limit."""
    limits = relay.policy.destinations[1].limits
    assert limits is not None
    return rate_limit.rate_and_tokens(limits, relay.now)[0]


def test_little_left_of_a_limit_brings_all_to_their_parts_before_any_is_refused() -> None:
    relay = Relay(entry(1), sender_count=40, load_reports=True)
    for left, parts in ((0.3, 40.0), (0.24999, 1.0), (0.0, 0.5)):
        relay.arrive(1)
        relay.end(f"m{relay.count}", quota_left=left, rate_limit=20.0)
        assert paced(relay) == pytest.approx(parts, abs=0.01)
        relay.wait(4000)


def test_a_limit_that_is_lowered_and_restored_is_followed_with_the_next_answer() -> None:
    relay = Relay(entry(1), sender_count=40, load_reports=True)
    rates = []
    for limit in (20.0, 6.0, 20.0):
        relay.arrive(1)
        relay.end(f"m{relay.count}", quota_left=0.0, rate_limit=limit)
        rates.append(paced(relay) * limit / 40)
        limits = relay.policy.destinations[1].limits
        assert limits is not None and limits.send_rate.base_rate_per_s == limit
        relay.wait(30_000)
    assert rates == pytest.approx([0.25, 0.075, 0.25], abs=0.001)


def test_a_report_of_no_limit_changes_no_pace() -> None:
    relay = Relay(entry(1), sender_count=40, load_reports=True)
    relay.arrive(1)
    relay.end("m1", quota_left=0.0, rate_limit=0.0)
    assert paced(relay) == 40
