"""The rules of sending, each with the cases that a simple implementation gets wrong."""

from __future__ import annotations

from itertools import pairwise

import pytest
from conftest import Relay, entry, finals, sends

from kestreltrack.decision import (
    CancelAttempt,
    DiscoveryFailed,
    EndpointLifecycle,
    EndpointsUpdated,
    FailMessage,
    MessageWithdrawn,
    Outcome,
    PollEndpointList,
    PriorityDecay,
    RejectMessage,
    StartAttempt,
)

# Each message is answered -----------------------------------------------------------------------


def test_a_queued_message_is_handed_back_by_its_expiry() -> None:
    relay = Relay()  # no endpoint is listed
    relay.arrive(1, "unsafe", expires=1000.0)
    acts = relay.wait(1000)
    assert acts == [RejectMessage("m1", 2000)]
    assert relay.now == 1000 and not relay.policy.messages


def test_a_timeout_at_the_expiry_fails_the_message_in_the_same_step() -> None:
    relay = Relay(entry(1))
    relay.arrive(1, "unsafe", expires=500.0)
    relay.now = 500.0
    assert relay.end("m1", Outcome.TIMED_OUT, final=False) == [FailMessage("m1")]


def test_a_message_withdrawn_in_the_step_of_an_outcome_is_not_retried() -> None:
    relay = Relay(entry(1))
    relay.arrive(1, "keyed")
    acts = relay.do(relay.ended("m1", Outcome.REJECTED), MessageWithdrawn("m1"))
    assert acts == [] and relay.wait(5000) == []


def test_an_outcome_after_the_withdrawal_is_ignored() -> None:
    relay = Relay(entry(1))
    relay.arrive(1, "keyed")
    late = relay.ended("m1", Outcome.ERROR)
    relay.do(MessageWithdrawn("m1"))
    assert relay.do(late) == [] and relay.policy.in_flight == 0
    assert relay.do(late) == []


def test_a_full_queue_hands_back_each_message_only_once() -> None:
    relay = Relay(entry(1), queue_capacity=20)
    relay.do(*(relay.message(1, "unsafe") for _ in range(40)))
    rejected = [a.id for a in relay.log if isinstance(a, RejectMessage)]
    assert len(rejected) == len(set(rejected)) >= 20
    assert len(relay.policy.messages) <= 20


def test_a_full_queue_rejects_messages_for_the_failing_destination_first() -> None:
    relay = Relay(entry(1), entry(2), queue_capacity=20)
    outage(relay, Outcome.UNREACHABLE, 3000)
    relay.log.clear()
    queued_before = set(relay.policy.messages)
    relay.do(*(relay.message(dest, "unsafe") for dest in [1] * 12 + [2] * 6))
    rejected = {a.id for a in relay.log if isinstance(a, RejectMessage)}
    to_healthy = {f"m{relay.count - n}" for n in range(6)}
    assert len(rejected) >= 11 and not rejected & to_healthy and not rejected & queued_before


# No duplicate effects ---------------------------------------------------------------------------


@pytest.mark.parametrize(
    "outcome", [Outcome.ERROR, Outcome.TIMED_OUT, Outcome.CONNECTION_BROKEN, Outcome.CANCELLED]
)
def test_an_unsafe_message_fails_at_once_after_an_ambiguous_outcome(outcome: Outcome) -> None:
    relay = Relay(entry(1))
    relay.arrive(1, "unsafe")
    assert relay.end("m1", outcome) == [FailMessage("m1")]


@pytest.mark.parametrize("outcome", [Outcome.REJECTED, Outcome.UNREACHABLE, Outcome.NOT_SENT])
def test_an_unsafe_message_is_retried_after_an_outcome_that_excludes_execution(outcome: Outcome) -> None:
    relay = Relay(entry(1))
    relay.arrive(1, "unsafe")
    acts = relay.end("m1", outcome) + relay.wait(1000)
    assert sends(acts) == ["m1"]


def test_an_unsafe_call_without_a_response_is_not_cancelled() -> None:
    relay = Relay(entry(1))
    relay.arrive(1, "unsafe")
    assert [a for a in relay.wait(15000) if not isinstance(a, StartAttempt)] == []


def test_a_keyed_message_is_retried_only_within_its_deduplication_window() -> None:
    relay = Relay(entry(1))
    relay.arrive(1, "keyed")
    relay.end("m1", Outcome.ERROR)
    while relay.now < 12000:
        relay.wait(50)
        if relay.policy.in_flight:
            relay.end("m1", Outcome.ERROR)
    last = relay.log[-1]
    assert last == RejectMessage("m1", 2000)
    assert len(sends(relay.log)) > 2
    assert "m1" not in relay.policy.messages


def test_an_ambiguous_zoned_message_is_retried_only_in_its_zone_and_is_not_handed_back() -> None:
    relay = Relay(entry(1, "a", zone="x"), entry(1, "b", zone="y"))
    relay.arrive(1, "zoned")
    first = relay.where["m1"]
    acts = relay.end("m1", Outcome.CONNECTION_BROKEN) + relay.wait(8500)
    retries = [a for a in acts if isinstance(a, StartAttempt)]
    assert retries and {a.endpoint for a in retries} == {first}
    relay.end("m1", Outcome.CONNECTION_BROKEN)
    assert FailMessage("m1") in relay.wait(8500) or FailMessage("m1") in relay.log


def test_no_second_attempt_starts_while_one_is_in_flight() -> None:
    relay = Relay(entry(1), may_cancel=False)
    relay.arrive(1, "safe")
    assert sends(relay.wait(9000)) == []


def test_attempts_are_limited() -> None:
    relay = Relay(entry(1), max_attempts=3)
    relay.arrive(1, "keyed", expires=60000.0)
    while "m1" in relay.policy.messages:
        if relay.policy.in_flight:
            relay.end("m1", Outcome.REJECTED)
        relay.wait(50)
    assert sends(relay.log) == ["m1"] * 3


# Drains -----------------------------------------------------------------------------------------


@pytest.mark.parametrize("state", [EndpointLifecycle.DRAINING, EndpointLifecycle.REMOVED])
def test_nothing_is_sent_to_a_draining_or_removed_endpoint(state: EndpointLifecycle) -> None:
    relay = Relay(entry(1))
    acts = relay.do(EndpointsUpdated([entry(1, lifecycle=state)], complete=False), relay.message(1))
    assert sends(acts + relay.wait(5000)) == []


def test_an_endpoint_missing_from_a_complete_list_is_removed() -> None:
    relay = Relay(entry(1), entry(2))
    relay.do(EndpointsUpdated([entry(2)], complete=True))
    assert sends(relay.arrive(1)) == [] and sends(relay.arrive(2)) == ["m2"]


def test_the_list_is_polled_with_growing_gaps_until_changes_are_pushed() -> None:
    relay = Relay(must_poll=True)
    relay.policy.subscribed = False
    assert PollEndpointList() in relay.do(EndpointsUpdated([entry(1)], complete=True, cached=True))
    polled_at = [relay.now]
    for _ in range(6):
        relay.do(DiscoveryFailed())
        while PollEndpointList() not in relay.wait(10):
            pass
        polled_at.append(relay.now)
    gaps = [b - a for a, b in pairwise(polled_at)]
    assert max(gaps) < 10000 and gaps[3] > gaps[0]
    relay.do(EndpointsUpdated([], complete=False))
    assert PollEndpointList() not in relay.wait(30000)


def test_a_poll_without_a_response_is_repeated_within_the_interval() -> None:
    relay = Relay(must_poll=True)
    relay.policy.subscribed = False
    relay.do()
    assert relay.wait(9000).count(PollEndpointList()) >= 1


# Outages and slow start -------------------------------------------------------------------------


def outage(relay: Relay, outcome: Outcome, duration_ms: float = 10000.0) -> None:
    """Fail every call to destination 1 for a time."""
    end = relay.now + duration_ms
    while relay.now < end:
        if len(relay.policy.messages) < 40:
            relay.arrive(1)
        for id_, _ in list(relay.policy.calls):
            relay.end(id_, outcome)
        relay.wait(20)


@pytest.mark.parametrize("outcome", [Outcome.UNREACHABLE, Outcome.REJECTED, Outcome.ERROR])
def test_a_recovered_destination_gets_no_more_than_its_share_of_the_cold_budget(outcome: Outcome) -> None:
    relay = Relay(entry(1))
    outage(relay, outcome)
    sent: list[float] = []
    start = relay.now
    while relay.now < start + 20000:
        if len(relay.policy.messages) < 40:
            sent += [relay.now] * len(sends(relay.arrive(1)))
        for id_, _ in list(relay.policy.calls):
            sent += [relay.now] * len(sends(relay.end(id_)))
        sent += [relay.now] * len(sends(relay.wait(10)))
    for at in sent:
        if at + 2000 < start + 10000:
            warmth = min(1.0, (at + 1000 - start) / 10000)
            capacity_per_s = 20.0 * (0.25 + 0.75 * warmth)  # in the middle of the window
            window = [t for t in sent if at <= t < at + 2000]
            assert len(window) <= 2.0 * capacity_per_s * 2.0 / 2 + 1
    assert len([t for t in sent if t > start + 15000]) > 50  # warm again: the full rate


def test_during_an_outage_only_single_trial_calls_are_sent() -> None:
    relay = Relay(entry(1))
    outage(relay, Outcome.UNREACHABLE, 2000)
    before = len(sends(relay.log))
    outage(relay, Outcome.UNREACHABLE, 10000)
    assert 7 <= len(sends(relay.log)) - before <= 15  # about one a second, to notice the end of the outage


def test_no_attempt_starts_with_too_little_time_left() -> None:
    # It would most likely time out, and take the slot of a message that can still be delivered.
    relay = Relay(entry(1), concurrency_limit=1)
    relay.arrive(1)
    relay.end("m1", took=400.0)  # the mean latency from now on
    relay.arrive(1, expires=20000.0)
    relay.arrive(1, expires=1900.0)
    assert finals(relay.wait(1000.0)) == [], "the only slot is in use, and m3 stays for most of its time"
    assert not sends(relay.end("m2", took=1000.0))
    assert finals(relay.wait(320.0)) == []
    assert finals(relay.wait(20.0)) == [RejectMessage("m3", 2000.0)], "handed back once no attempt fits"
    assert sends(relay.log) == ["m1", "m2"]


def test_a_broken_stale_connection_does_not_count_as_a_failure() -> None:
    relay = Relay(entry(1))
    for _ in range(6):
        relay.arrive(1)
        relay.end(f"m{relay.count}", Outcome.CONNECTION_BROKEN, final=True, stale_connection=True)
    assert sends(relay.arrive(1)), "no pause, no outage"
    relay.end("m7", Outcome.CONNECTION_BROKEN, final=True)
    assert not sends(relay.arrive(1)), "the failure of a new connection counts"


def test_a_timeout_of_a_short_call_does_not_count_as_a_failure() -> None:
    relay = Relay(entry(1))
    relay.arrive(1)
    relay.end("m1", took=100.0)
    for _ in range(6):
        relay.arrive(
            1, expires=relay.now + 160.0 + 2.0 * relay.policy.destinations[1].mean_latency_ms
        )  # enough for one attempt
        relay.now += 200.0
        relay.end(f"m{relay.count}", Outcome.TIMED_OUT, took=200.0)
    assert 100.0 < relay.policy.destinations[1].mean_latency_ms < 200.0, "the latency estimate must rise"
    assert sends(relay.arrive(1)), "no pause, no outage"
    relay.now += 6000.0
    relay.end(f"m{relay.count}", Outcome.TIMED_OUT, took=6000.0)
    assert not sends(relay.arrive(1)), "this call had enough time, so its timeout counts"


def test_a_hang_is_detected_before_any_timeout() -> None:
    relay = Relay(entry(1))
    relay.arrive(1)
    relay.end("m1")
    relay.wait(100)
    relay.do(*(relay.message(1, "unsafe") for _ in range(3)))
    relay.wait(1100)
    assert sends(relay.do(*(relay.message(1, "unsafe") for _ in range(10)))) == []
    assert relay.policy.destinations[1].unhealthy
    assert len(sends(relay.wait(1500))) <= 1


def test_one_long_call_among_responses_is_not_a_hang() -> None:
    relay = Relay(entry(1))
    relay.arrive(1, id="long")
    for _ in range(30):
        relay.arrive(1, id="n")
        relay.wait(100)
        relay.end("n")
        relay.tries.pop("n")
    assert not [a for a in relay.log if isinstance(a, CancelAttempt)]
    assert sends(relay.arrive(1)) != []


# Order ------------------------------------------------------------------------------------------


def test_messages_of_one_key_go_one_at_a_time_in_order() -> None:
    relay = Relay(entry(1), entry(2))
    three = [relay.message(1, "ordered", key=5) for _ in range(3)]
    acts = relay.do(*three, relay.message(2, "ordered", key=6))
    assert sends(acts) == ["m1", "m4"]
    assert sends(relay.end("m1")) == ["m2"]
    assert sends(relay.end("m2")) == ["m3"]


def test_an_ambiguous_attempt_delays_its_ordering_key_until_it_has_settled() -> None:
    relay = Relay(entry(1))
    relay.arrive(1, "ordered", key=5)
    relay.arrive(1, "ordered", key=5)
    relay.do(relay.ended("m1", Outcome.CONNECTION_BROKEN, final=True))
    assert sends(relay.wait(490)) == []
    assert sends(relay.wait(500)) == ["m2"]


def test_an_attempt_in_flight_blocks_its_key_after_its_message_was_withdrawn() -> None:
    relay = Relay(entry(1))
    relay.do(relay.message(1, "ordered", key=5), relay.message(1, "ordered", key=5))
    late = relay.ended("m1", Outcome.OK)
    assert sends(relay.do(MessageWithdrawn("m1"))) == []
    assert sends(relay.wait(300)) == []
    assert sends(relay.do(late)) == ["m2"]


# Retry-after ------------------------------------------------------------------------------------


def test_a_retry_after_blocks_all_endpoints_of_the_destination() -> None:
    relay = Relay(entry(1, "a"), entry(1, "b"))
    relay.arrive(1)
    relay.end("m1", Outcome.REJECTED, retry_after_ms=3000.0)
    assert sends(relay.arrive(1, "unsafe") + relay.wait(3000)) == []
    assert sends(relay.wait(1000)) != []


def test_a_retry_after_blocks_one_endpoint_where_endpoints_are_independent() -> None:
    relay = Relay(entry(1, "a", kind="apart"), entry(1, "b", kind="apart"))
    relay.arrive(1)
    first = relay.where["m1"]
    relay.end("m1", Outcome.REJECTED, retry_after_ms=3000.0)
    relay.arrive(1)
    relay.wait(2900)
    assert all(a.endpoint != first for a in relay.log[1:] if isinstance(a, StartAttempt))
    assert len(sends(relay.log)) == 3


# Slots and batches ------------------------------------------------------------------------------


def test_a_batch_takes_one_slot_until_its_last_message_ends() -> None:
    relay = Relay(entry(1, kind="batch"))
    relay.do(*(relay.message(1) for _ in range(7)))
    assert relay.policy.in_flight == 2 and len(sends(relay.log)) == 7
    relay.do(*(relay.ended(f"m{n}") for n in range(1, 5)))
    assert relay.policy.in_flight == 2
    relay.do(relay.ended("m5"))
    assert relay.policy.in_flight == 1


# Priority of late messages ----------------------------------------------------------------------


@pytest.mark.parametrize(("decay", "first"), [(PriorityDecay.HALVING, "m3"), (PriorityDecay.LINEAR, "m2")])
def test_a_message_past_its_objective_yields_only_where_its_priority_halves(
    decay: PriorityDecay, first: str
) -> None:
    relay = Relay(entry(1), concurrency_limit=1, priority_decay=decay)
    relay.do(relay.message(1), relay.message(1))
    relay.now = 1500.0
    assert sends(relay.do(relay.message(1))) == []
    assert sends(relay.end("m1", took=1500.0)) == [first]


def test_a_burst_of_rejections_at_a_limit_is_not_an_outage() -> None:
    relay = Relay(entry(1))
    relay.do(*(relay.message(1) for _ in range(6)))
    relay.do(*(relay.ended(f"m{n}", Outcome.REJECTED) for n in range(1, 7)))
    assert relay.policy.destinations[1].limits.slow_start.slow_start_from < 0  # type: ignore[union-attr]


def test_isolated_errors_do_not_begin_a_slow_start() -> None:
    relay = Relay(entry(1))
    for n in range(1, 60):
        relay.arrive(1)
        relay.wait(50)
        for id_, _ in list(relay.policy.calls):
            relay.end(id_, Outcome.ERROR if n % 4 == 0 else Outcome.OK)
        relay.wait(300)
        for id_, _ in list(relay.policy.calls):
            relay.end(id_)
    assert relay.policy.destinations[1].limits.slow_start.slow_start_from < 0  # type: ignore[union-attr]


def test_the_longest_retry_after_in_a_batch_applies() -> None:
    relay = Relay(entry(1, kind="batch"))
    relay.do(*(relay.message(1) for _ in range(5)))
    retry_afters = enumerate((0, 0, 2500, 0, 9), start=1)
    endings = [relay.ended(f"m{n}", Outcome.REJECTED, retry_after_ms=wait) for n, wait in retry_afters]
    assert sends(relay.do(*endings) + relay.wait(2490)) == []
    assert sends(relay.wait(200)) != []


def test_a_trial_call_goes_to_an_endpoint_that_has_not_failed() -> None:
    relay = Relay(entry(1, "a"), entry(1, "b"))
    relay.policy.destinations[1].endpoints["b"].mean_latency_ms = 900.0  # the failed endpoint looks faster
    relay.policy.destinations[1].endpoints["a"].mean_latency_ms = 100.0
    relay.arrive(1)
    assert relay.where["m1"] == "a"
    for _ in range(2):
        relay.end("m1", Outcome.UNREACHABLE)
    assert relay.wait(600) and relay.where["m1"] == "b"


def test_a_slow_call_is_cancelled_only_after_many_times_the_mean_latency() -> None:
    relay = Relay(entry(1))
    relay.arrive(1)
    relay.end("m1", took=200.0)
    relay.arrive(1)
    assert CancelAttempt("m2", 0) not in relay.wait(4800)  # 24 times the mean latency
    assert CancelAttempt("m2", 0) in relay.wait(1500)


def test_hanging_calls_are_cancelled_when_no_slot_is_free() -> None:
    relay = Relay(entry(1, rate=100.0), entry(2, rate=100.0), entry(3), concurrency_limit=4)
    relay.do(*(relay.message(dest, "keyed") for dest in (1, 1, 2, 2, 3)))
    assert relay.policy.in_flight == 4
    acts = relay.wait(9000)
    cancels = [a for a in acts if isinstance(a, CancelAttempt)]
    assert len(cancels) == 4 and len(sends(acts)) == 0  # no slot is free until the outcomes arrive
    assert sends(relay.end(cancels[0].id, Outcome.CANCELLED)) == ["m5"]


def test_a_hanging_unsafe_call_is_cancelled_only_when_no_slot_is_free() -> None:
    relay = Relay(entry(1, rate=100.0), concurrency_limit=2)
    relay.arrive(1, "unsafe")
    assert not [a for a in relay.wait(16000) if isinstance(a, CancelAttempt)]
    relay = Relay(entry(1, rate=100.0), concurrency_limit=1)
    relay.arrive(1, "unsafe")
    relay.policy.destinations[1].mean_latency_ms = 200.0
    assert [a for a in relay.wait(6000) if isinstance(a, CancelAttempt)]


def test_settled_ordering_keys_without_messages_are_forgotten() -> None:
    relay = Relay(entry(1))
    for key in range(100):
        relay.arrive(1, "ordered", key=key)
        relay.do(MessageWithdrawn(f"m{key + 1}"))
        if f"m{key + 1}" in relay.where:
            relay.do(relay.ended(f"m{key + 1}", Outcome.CONNECTION_BROKEN, final=True))
            assert key in relay.policy.key_queues  # has not settled yet
        relay.wait(600)
    assert len(relay.policy.key_queues) < 20
