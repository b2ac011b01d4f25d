"""The six rules, each as what a relay may never do, with the cases where toy versions fail."""

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

# No message is lost -----------------------------------------------------------------------------


def test_a_held_message_is_answered_before_its_time_is_up() -> None:
    relay = Relay()  # no endpoint at all
    relay.arrive(1, "unsafe", expires=1000.0)
    acts = relay.wait(1000)
    assert acts == [RejectMessage("m1", 2000)]
    assert relay.now == 1000 and not relay.policy.messages


def test_a_time_out_at_the_deadline_is_answered_in_the_same_step() -> None:
    relay = Relay(entry(1))
    relay.arrive(1, "unsafe", expires=500.0)
    relay.now = 500.0
    assert relay.end("m1", Outcome.TIMED_OUT, final=False) == [FailMessage("m1")]


def test_nothing_goes_after_a_hang_up_behind_an_outcome() -> None:
    relay = Relay(entry(1))
    relay.arrive(1, "keyed")
    acts = relay.do(relay.ended("m1", Outcome.REJECTED), MessageWithdrawn("m1"))
    assert acts == [] and relay.wait(5000) == []


def test_an_outcome_after_the_end_is_passed_over() -> None:
    relay = Relay(entry(1))
    relay.arrive(1, "keyed")
    late = relay.ended("m1", Outcome.ERROR)
    relay.do(MessageWithdrawn("m1"))
    assert relay.do(late) == [] and relay.policy.in_flight == 0
    assert relay.do(late) == []


def test_a_full_hold_hands_back_and_answers_each_once() -> None:
    relay = Relay(entry(1), queue_capacity=20)
    relay.do(*(relay.message(1, "unsafe") for _ in range(40)))
    refused = [a.id for a in relay.log if isinstance(a, RejectMessage)]
    assert len(refused) == len(set(refused)) >= 20
    assert len(relay.policy.messages) <= 20


def test_room_goes_to_destinations_that_work() -> None:
    relay = Relay(entry(1), entry(2), queue_capacity=20)
    outage(relay, Outcome.UNREACHABLE, 3000)
    relay.log.clear()
    old = set(relay.policy.messages)
    relay.do(*(relay.message(dest, "unsafe") for dest in [1] * 12 + [2] * 6))
    refused = {a.id for a in relay.log if isinstance(a, RejectMessage)}
    to_well = {f"m{relay.count - n}" for n in range(6)}
    assert len(refused) >= 11 and not refused & to_well and not refused & old


# No effect twice --------------------------------------------------------------------------------


@pytest.mark.parametrize(
    "outcome", [Outcome.ERROR, Outcome.TIMED_OUT, Outcome.CONNECTION_BROKEN, Outcome.CANCELLED]
)
def test_an_unsafe_message_fails_at_once_after_a_doubtful_outcome(outcome: Outcome) -> None:
    relay = Relay(entry(1))
    relay.arrive(1, "unsafe")
    assert relay.end("m1", outcome) == [FailMessage("m1")]


@pytest.mark.parametrize("outcome", [Outcome.REJECTED, Outcome.UNREACHABLE, Outcome.NOT_SENT])
def test_an_unsafe_message_goes_again_when_it_never_ran(outcome: Outcome) -> None:
    relay = Relay(entry(1))
    relay.arrive(1, "unsafe")
    acts = relay.end("m1", outcome) + relay.wait(1000)
    assert sends(acts) == ["m1"]


def test_an_unsafe_call_is_not_called_off_in_silence() -> None:
    relay = Relay(entry(1))
    relay.arrive(1, "unsafe")
    assert [a for a in relay.wait(15000) if not isinstance(a, StartAttempt)] == []


def test_a_keyed_message_is_resent_only_inside_its_window() -> None:
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


def test_a_doubtful_keyed_message_stays_in_its_group_and_is_not_handed_back() -> None:
    relay = Relay(entry(1, "a", zone="x"), entry(1, "b", zone="y"))
    relay.arrive(1, "zoned")
    first = relay.where["m1"]
    acts = relay.end("m1", Outcome.CONNECTION_BROKEN) + relay.wait(8500)
    again = [a for a in acts if isinstance(a, StartAttempt)]
    assert again and {a.endpoint for a in again} == {first}
    relay.end("m1", Outcome.CONNECTION_BROKEN)
    assert FailMessage("m1") in relay.wait(8500) or FailMessage("m1") in relay.log


def test_one_attempt_at_a_time() -> None:
    relay = Relay(entry(1), may_cancel=False)
    relay.arrive(1, "safe")
    assert sends(relay.wait(9000)) == []


def test_tries_are_limited() -> None:
    relay = Relay(entry(1), max_attempts=3)
    relay.arrive(1, "keyed", expires=60000.0)
    while "m1" in relay.policy.messages:
        if relay.policy.in_flight:
            relay.end("m1", Outcome.REJECTED)
        relay.wait(50)
    assert sends(relay.log) == ["m1"] * 3


# Drains -----------------------------------------------------------------------------------------


@pytest.mark.parametrize("state", [EndpointLifecycle.DRAINING, EndpointLifecycle.REMOVED])
def test_nothing_goes_to_an_endpoint_that_drains(state: EndpointLifecycle) -> None:
    relay = Relay(entry(1))
    acts = relay.do(EndpointsUpdated([entry(1, lifecycle=state)], complete=False), relay.message(1))
    assert sends(acts + relay.wait(5000)) == []


def test_what_a_whole_list_leaves_out_is_gone() -> None:
    relay = Relay(entry(1), entry(2))
    relay.do(EndpointsUpdated([entry(2)], complete=True))
    assert sends(relay.arrive(1)) == [] and sends(relay.arrive(2)) == ["m2"]


def test_the_list_is_asked_for_until_a_subscription_stands() -> None:
    relay = Relay(must_poll=True)
    relay.policy.subscribed = False
    assert PollEndpointList() in relay.do(EndpointsUpdated([entry(1)], complete=True, cached=True))
    asked = [relay.now]
    for _ in range(6):
        relay.do(DiscoveryFailed())
        while PollEndpointList() not in relay.wait(10):
            pass
        asked.append(relay.now)
    gaps = [b - a for a, b in pairwise(asked)]
    assert max(gaps) < 10000 and gaps[3] > gaps[0]
    relay.do(EndpointsUpdated([], complete=False))
    assert PollEndpointList() not in relay.wait(30000)


def test_an_answer_that_never_comes_is_asked_for_again_inside_the_span() -> None:
    relay = Relay(must_poll=True)
    relay.policy.subscribed = False
    relay.do()
    assert relay.wait(9000).count(PollEndpointList()) >= 1


# Fail-back --------------------------------------------------------------------------------------


def outage(relay: Relay, outcome: Outcome, spell: float = 10000.0) -> None:
    """Fail every call of destination 1 for a while."""
    end = relay.now + spell
    while relay.now < end:
        if len(relay.policy.messages) < 40:
            relay.arrive(1)
        for id_, _ in list(relay.policy.calls):
            relay.end(id_, outcome)
        relay.wait(20)


@pytest.mark.parametrize("outcome", [Outcome.UNREACHABLE, Outcome.REJECTED, Outcome.ERROR])
def test_a_returning_destination_gets_no_more_than_its_share_of_the_cold_budget(outcome: Outcome) -> None:
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
            able = 20.0 * (0.25 + 0.75 * warmth)  # calls a second in the middle of the span
            window = [t for t in sent if at <= t < at + 2000]
            assert len(window) <= 2.0 * able * 2.0 / 2 + 1
    assert len([t for t in sent if t > start + 15000]) > 50  # warm again: no longer held back


def test_during_an_outage_only_single_trials_go() -> None:
    relay = Relay(entry(1))
    outage(relay, Outcome.UNREACHABLE, 2000)
    before = len(sends(relay.log))
    outage(relay, Outcome.UNREACHABLE, 10000)
    assert 7 <= len(sends(relay.log)) - before <= 15  # one a second: its end must not go unnoticed for long


def test_no_attempt_for_which_too_little_time_is_left() -> None:
    # It would most likely time out, and take the place of one that can still be delivered.
    relay = Relay(entry(1), concurrency_limit=1)
    relay.arrive(1)
    relay.end("m1", took=400.0)  # the usual latency from now on
    relay.arrive(1, expires=20000.0)
    relay.arrive(1, expires=1900.0)
    assert finals(relay.wait(1000.0)) == [], "the only slot is taken, and it stays for most of its time"
    assert not sends(relay.end("m2", took=1000.0))
    assert finals(relay.wait(320.0)) == []
    assert finals(relay.wait(20.0)) == [RejectMessage("m3", 2000.0)], "given up, and answered at once"
    assert sends(relay.log) == ["m1", "m2"]


def test_a_kept_connection_that_broke_is_no_evidence() -> None:
    relay = Relay(entry(1))
    for _ in range(6):
        relay.arrive(1)
        relay.end(f"m{relay.count}", Outcome.CONNECTION_BROKEN, final=True, stale_connection=True)
    assert sends(relay.arrive(1)), "no pause, no outage"
    relay.end("m7", Outcome.CONNECTION_BROKEN, final=True)
    assert not sends(relay.arrive(1)), "a new one tells"


def test_a_call_that_had_little_time_is_no_evidence() -> None:
    relay = Relay(entry(1))
    relay.arrive(1)
    relay.end("m1", took=100.0)
    for _ in range(6):
        relay.arrive(
            1, expires=relay.now + 160.0 + 2.0 * relay.policy.destinations[1].mean_latency_ms
        )  # for one attempt
        relay.now += 200.0
        relay.end(f"m{relay.count}", Outcome.TIMED_OUT, took=200.0)
    assert 100.0 < relay.policy.destinations[1].mean_latency_ms < 200.0, (
        "but calls take longer than was thought"
    )
    assert sends(relay.arrive(1)), "no pause, no outage"
    relay.now += 6000.0
    relay.end(f"m{relay.count}", Outcome.TIMED_OUT, took=6000.0)
    assert not sends(relay.arrive(1)), "this one had all the time it could need"


def test_a_hang_shows_before_any_time_out() -> None:
    relay = Relay(entry(1))
    relay.arrive(1)
    relay.end("m1")
    relay.wait(100)
    relay.do(*(relay.message(1, "unsafe") for _ in range(3)))
    relay.wait(1100)
    assert sends(relay.do(*(relay.message(1, "unsafe") for _ in range(10)))) == []
    assert relay.policy.destinations[1].unhealthy
    assert len(sends(relay.wait(1500))) <= 1


def test_long_work_among_answers_is_no_hang() -> None:
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


def test_a_doubtful_attempt_rests_its_key() -> None:
    relay = Relay(entry(1))
    relay.arrive(1, "ordered", key=5)
    relay.arrive(1, "ordered", key=5)
    relay.do(relay.ended("m1", Outcome.CONNECTION_BROKEN, final=True))
    assert sends(relay.wait(490)) == []
    assert sends(relay.wait(500)) == ["m2"]


def test_an_attempt_out_holds_the_key_after_its_message_ended() -> None:
    relay = Relay(entry(1))
    relay.do(relay.message(1, "ordered", key=5), relay.message(1, "ordered", key=5))
    late = relay.ended("m1", Outcome.OK)
    assert sends(relay.do(MessageWithdrawn("m1"))) == []
    assert sends(relay.wait(300)) == []
    assert sends(relay.do(late)) == ["m2"]


# Waits ------------------------------------------------------------------------------------------


def test_a_told_wait_binds_the_whole_destination() -> None:
    relay = Relay(entry(1, "a"), entry(1, "b"))
    relay.arrive(1)
    relay.end("m1", Outcome.REJECTED, retry_after_ms=3000.0)
    assert sends(relay.arrive(1, "unsafe") + relay.wait(3000)) == []
    assert sends(relay.wait(1000)) != []


def test_a_told_wait_binds_one_route_where_routes_are_apart() -> None:
    relay = Relay(entry(1, "a", kind="apart"), entry(1, "b", kind="apart"))
    relay.arrive(1)
    first = relay.where["m1"]
    relay.end("m1", Outcome.REJECTED, retry_after_ms=3000.0)
    relay.arrive(1)
    relay.wait(2900)
    assert all(a.endpoint != first for a in relay.log[1:] if isinstance(a, StartAttempt))
    assert len(sends(relay.log)) == 3


# Slots and batches ------------------------------------------------------------------------------


def test_a_batch_takes_one_slot_and_one_fate() -> None:
    relay = Relay(entry(1, kind="batch"))
    relay.do(*(relay.message(1) for _ in range(7)))
    assert relay.policy.in_flight == 2 and len(sends(relay.log)) == 7
    relay.do(*(relay.ended(f"m{n}") for n in range(1, 5)))
    assert relay.policy.in_flight == 2
    relay.do(relay.ended("m5"))
    assert relay.policy.in_flight == 1


# Late yields ------------------------------------------------------------------------------------


@pytest.mark.parametrize(("decay", "first"), [(PriorityDecay.HALVING, "m3"), (PriorityDecay.LINEAR, "m2")])
def test_a_message_past_its_aim_yields_only_where_worth_drops_by_halves(
    decay: PriorityDecay, first: str
) -> None:
    relay = Relay(entry(1), concurrency_limit=1, priority_decay=decay)
    relay.do(relay.message(1), relay.message(1))
    relay.now = 1500.0
    assert sends(relay.do(relay.message(1))) == []
    assert sends(relay.end("m1", took=1500.0)) == [first]


def test_a_burst_of_refusals_at_a_limit_is_no_outage() -> None:
    relay = Relay(entry(1))
    relay.do(*(relay.message(1) for _ in range(6)))
    relay.do(*(relay.ended(f"m{n}", Outcome.REJECTED) for n in range(1, 7)))
    assert relay.policy.destinations[1].limits.slow_start.slow_start_from < 0  # type: ignore[union-attr]


def test_chance_errors_do_not_begin_a_slow_start() -> None:
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


def test_each_message_of_a_batch_may_tell_its_own_wait() -> None:
    relay = Relay(entry(1, kind="batch"))
    relay.do(*(relay.message(1) for _ in range(5)))
    waits = enumerate((0, 0, 2500, 0, 9), start=1)
    ends = [relay.ended(f"m{n}", Outcome.REJECTED, retry_after_ms=wait) for n, wait in waits]
    assert sends(relay.do(*ends) + relay.wait(2490)) == []
    assert sends(relay.wait(200)) != []


def test_a_trial_goes_to_the_endpoint_that_is_not_dead_alone() -> None:
    relay = Relay(entry(1, "a"), entry(1, "b"))
    relay.policy.destinations[1].endpoints["b"].mean_latency_ms = 900.0  # the dead one looks quicker
    relay.policy.destinations[1].endpoints["a"].mean_latency_ms = 100.0
    relay.arrive(1)
    assert relay.where["m1"] == "a"
    for _ in range(2):
        relay.end("m1", Outcome.UNREACHABLE)
    assert relay.wait(600) and relay.where["m1"] == "b"


def test_a_slow_call_is_given_time_before_it_is_called_off() -> None:
    relay = Relay(entry(1))
    relay.arrive(1)
    relay.end("m1", took=200.0)
    relay.arrive(1)
    assert CancelAttempt("m2", 0) not in relay.wait(4800)  # 24 times the usual
    assert CancelAttempt("m2", 0) in relay.wait(1500)


def test_hung_calls_give_up_their_slots_when_none_is_free() -> None:
    relay = Relay(entry(1, rate=100.0), entry(2, rate=100.0), entry(3), concurrency_limit=4)
    relay.do(*(relay.message(dest, "keyed") for dest in (1, 1, 2, 2, 3)))
    assert relay.policy.in_flight == 4
    acts = relay.wait(9000)
    off = [a for a in acts if isinstance(a, CancelAttempt)]
    assert len(off) == 4 and len(sends(acts)) == 0  # outcomes have not come yet: no slot is free
    assert sends(relay.end(off[0].id, Outcome.CANCELLED)) == ["m5"]


def test_an_unsafe_call_that_hangs_gives_up_its_slot_only_when_none_is_free() -> None:
    relay = Relay(entry(1, rate=100.0), concurrency_limit=2)
    relay.arrive(1, "unsafe")
    assert not [a for a in relay.wait(16000) if isinstance(a, CancelAttempt)]
    relay = Relay(entry(1, rate=100.0), concurrency_limit=1)
    relay.arrive(1, "unsafe")
    relay.policy.destinations[1].mean_latency_ms = 200.0
    assert [a for a in relay.wait(6000) if isinstance(a, CancelAttempt)]


def test_keys_that_are_free_and_settled_are_forgotten() -> None:
    relay = Relay(entry(1))
    for key in range(100):
        relay.arrive(1, "ordered", key=key)
        relay.do(MessageWithdrawn(f"m{key + 1}"))
        if f"m{key + 1}" in relay.where:
            relay.do(relay.ended(f"m{key + 1}", Outcome.CONNECTION_BROKEN, final=True))
            assert key in relay.policy.key_queues  # not settled yet
        relay.wait(600)
    assert len(relay.policy.key_queues) < 20
