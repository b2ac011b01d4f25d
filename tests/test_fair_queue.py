"""The fair queue with figures computed by hand: token buckets, tags, release, synchronization, cap; cold returns."""

from __future__ import annotations

import pytest
from conftest import Relay, entry, sends

from kestreltrack.decision import EndpointLifecycle, EndpointsUpdated, Outcome, StartAttempt, rate_limit
from kestreltrack.decision.records import Destination


def tags(relay: Relay, id_: str) -> tuple[float, float]:
    """Return the start and finish tag of a message, in virtual time."""
    message = relay.policy.messages[id_]
    return message.start_tag, message.finish_tag


def test_the_start_tag_depends_on_the_tokens_left() -> None:
    # 8 slots and one destination with queued messages: rho = 8; latency objective 1000, so sigma = 8000.
    relay = Relay(rate_entry := entry(1), concurrency_limit=8)
    assert rate_entry.rate == 20.0
    relay.policy.handle(
        0.0, EndpointsUpdated([entry(1, lifecycle=EndpointLifecycle.DRAINING)], complete=False)
    )
    dest = relay.policy.destinations[1]
    dest.mean_latency_ms = 3000.0
    for _ in range(4):
        relay.arrive(1, "safe")
    assert tags(relay, "m1") == (0.0, 1000.0)  # 8000 tokens: enough
    assert tags(relay, "m2") == (0.0, 1000.0)  # 5000 left: enough
    assert tags(relay, "m3") == (125.0, 1125.0)  # 2000 left, 1000 short: (3000 - 2000) / 8 ahead
    assert tags(relay, "m4") == (500.0, 1500.0)  # none left: 3000 / 8 after the last start
    assert dest.tokens == -4000.0


def test_tokens_refill_with_time_up_to_the_bucket_size() -> None:
    relay = Relay()
    relay.policy.destinations[1] = dest = Destination()
    dest.mean_latency_ms = 3000.0
    relay.arrive(1, "safe")
    assert dest.tokens == 5000.0
    relay.now = 100.0
    relay.arrive(1, "safe")
    assert dest.tokens == 5000.0 + 800.0 - 3000.0
    relay.now = 5000.0
    relay.arrive(1, "safe")
    assert dest.tokens == 8000.0 - 3000.0


def test_the_message_size_is_the_latency_objective_until_a_call_succeeds() -> None:
    relay = Relay(entry(1))
    relay.arrive(1, "safe")
    assert relay.policy.destinations[1].tokens == 8000.0 - 1000.0
    relay.end("m1", Outcome.UNREACHABLE, took=2.0)
    assert relay.policy.destinations[1].mean_latency_ms == 0.0  # a crashed destination must not look fast
    relay.wait(1000)
    relay.end("m1", Outcome.OK, took=300.0)
    assert relay.policy.destinations[1].mean_latency_ms == 300.0


def test_the_slots_are_divided_among_destinations_with_queued_messages() -> None:
    relay = Relay()
    relay.arrive(1, "safe")
    relay.arrive(2, "safe")
    assert relay.policy.destinations[1].tokens == 7000.0  # the only one: rho 8, sigma 8000
    assert relay.policy.destinations[2].tokens == 3000.0  # one of two: rho 4, sigma 4000


def test_a_free_slot_goes_to_the_least_finish_tag_among_the_eligible() -> None:
    relay = Relay(entry(1), entry(2), entry(3), concurrency_limit=1)
    for dest in relay.policy.destinations.values():
        dest.mean_latency_ms = 100.0
    relay.arrive(3, "safe")
    relay.do(relay.message(1, "unsafe"), relay.message(2, "safe"))
    assert tags(relay, "m2") == (0.0, 3000.0) and tags(relay, "m3") == (0.0, 1000.0)
    assert sends(relay.end("m1")) == ["m3"]
    assert sends(relay.end("m3")) == ["m2"]


def test_a_synchronization_shifts_virtual_time_by_the_least_gap_and_refills_idle_buckets() -> None:
    relay = Relay(entry(1), entry(2), concurrency_limit=4)
    relay.policy.destinations[1].mean_latency_ms = relay.policy.destinations[2].mean_latency_ms = 1000.0
    relay.arrive(2, "safe")
    relay.end("m1", took=1000.0)
    spent = relay.policy.destinations[2].tokens
    assert spent < 4000.0
    relay.do(*(relay.message(1, "safe") for _ in range(6)))  # four have tokens, two have later start tags
    relay.policy.destinations[1].limits.send_rate.tokens = 100.0  # type: ignore[union-attr]
    assert relay.policy.in_flight == 3  # the cap: three quarters of 4
    acts = relay.end("m2")
    assert sends(acts) == ["m5"] and relay.policy.virtual_time_shift == 0.0
    relay.do(relay.ended("m3"), relay.ended("m4"), relay.ended("m5"))
    assert relay.policy.virtual_time_shift > 0.0  # forced: slots would have been idle
    relay.arrive(2, "safe")  # refilled: a full bucket less the size of this message
    assert relay.policy.destinations[2].tokens == 4.0 * 1000.0 - 1000.0


def test_example_1_of_the_paper_use_of_idle_capacity_is_not_charged_later() -> None:
    """Destination 1 uses capacity that destination 2 leaves idle, and is not starved when 2 has messages.

    One slot, calls of 10 ms, latency objective 1000 ms.  For two seconds only destination 1 has messages, 200 of
    them.  Then 100 arrive at once for destination 2, and more for 1: without synchronization the tags of 1 would lie
    two seconds ahead, and 2 would be served alone for a whole second.
    """
    relay = Relay(entry(1, rate=1000.0), entry(2, rate=1000.0), concurrency_limit=1, queue_capacity=1000)
    relay.policy.destinations[1].mean_latency_ms = relay.policy.destinations[2].mean_latency_ms = 10.0
    relay.do(*(relay.message(1, "safe", expires=1e6) for _ in range(200)))

    def serve(rounds: int) -> list[int]:
        served = []
        for _ in range(rounds):
            ((id_, _),) = relay.policy.calls
            served.append(relay.policy.messages[id_].destination is relay.policy.destinations[1])
            relay.now += 10.0
            relay.end(id_, took=10.0)
        return [int(x) for x in served]

    assert sum(serve(199)) == 199
    relay.do(*(relay.message(2, "safe", expires=1e6) for _ in range(100)))
    relay.do(*(relay.message(1, "safe", expires=1e6) for _ in range(50)))
    first_second = serve(100)
    assert 40 <= sum(first_second) <= 51


@pytest.mark.parametrize(("concurrency_limit", "healthy", "unhealthy"), [(8, 6, 4), (3, 2, 1), (1, 1, 1)])
def test_the_cap_leaves_slots_for_other_destinations(
    concurrency_limit: int, healthy: int, unhealthy: int
) -> None:
    relay = Relay(entry(1, rate=1000.0), concurrency_limit=concurrency_limit)
    relay.do(*(relay.message(1, "safe") for _ in range(20)))
    assert relay.policy.in_flight == healthy
    relay = Relay(entry(1, rate=1000.0), concurrency_limit=concurrency_limit)
    relay.arrive(1, "safe")
    relay.now = 3000.0  # past the latency objective, while the endpoint responds to other calls
    relay.policy.destinations[1].endpoints["e1"].last_answer_at = 2900.0
    relay.do(*(relay.message(1, "safe") for _ in range(20)))
    assert relay.policy.in_flight == unhealthy


def test_healthy_destinations_below_the_limit_are_served_in_tag_order() -> None:
    """With all destinations healthy and free slots, no pause, send rate or rejection interferes with the tags."""
    relay = Relay(entry(1), entry(2), entry(3))
    for round_ in range(50):
        relay.do(*(relay.message(dest, cls) for dest, cls in ((1, "safe"), (2, "keyed"), (3, "unsafe"))))
        relay.wait(80)
        for id_, _ in list(relay.policy.calls):
            relay.end(id_, took=80.0)
        assert not relay.policy.messages, round_
    assert all(isinstance(a, StartAttempt) for a in relay.log)
    sent = sends(relay.log)
    # Equal start tags: the shortest latency objective first, which is the order of arrival here.
    assert sent == sorted(sent, key=lambda m: int(m[1:]))
    for dest in relay.policy.destinations.values():
        for endpoint in dest.endpoints.values():
            assert not any(
                g.breaker.consecutive_failures or g.slow_start.slow_start_from > 0 for g in endpoint.limits
            )
            assert all(rate_limit.rate_and_tokens(g, relay.now)[0] == g.sender_count for g in endpoint.limits)


# Cold destinations that were treated as warm ----------------------------------------------------


def reject_with_long_retry_after(relay: Relay) -> None:
    """Leave one call in flight, and reject another with a retry-after of 15 s."""
    relay.arrive(1, "keyed")
    relay.arrive(1, "keyed")
    relay.end("m2", Outcome.REJECTED, retry_after_ms=15_000.0)


def sent_of_ten(relay: Relay) -> int:
    """Return how many of ten messages that arrive together are sent at once."""
    return len(
        [a for a in relay.do(*(relay.message(1, "keyed") for _ in range(10))) if isinstance(a, StartAttempt)]
    )


def test_a_success_during_a_retry_after_does_not_end_the_slow_start_that_follows() -> None:
    relay = Relay(entry(1))
    reject_with_long_retry_after(relay)
    relay.wait(100)
    relay.end("m1")  # sent before the rejection, and successful during the retry-after
    relay.wait(15_200)
    assert sent_of_ten(relay) <= 1, "the slow start begins after the retry-after"
    assert 1 <= len([a for a in relay.wait(400) if isinstance(a, StartAttempt)]) <= 2, (
        "the rate starts at the cold share"
    )


def test_a_rejected_trial_call_after_a_long_retry_after_does_not_end_the_slow_start() -> None:
    relay = Relay(entry(1))
    reject_with_long_retry_after(relay)
    relay.end("m1", Outcome.REJECTED)
    relay.wait(15_500)
    (trial,) = [id_ for id_, _ in relay.policy.calls]
    relay.end(trial, Outcome.REJECTED)  # the limit is used up by other senders
    while not relay.policy.calls:
        relay.wait(20)
    (trial,) = [id_ for id_, _ in relay.policy.calls]
    relay.end(trial)
    relay.wait(300)
    assert sent_of_ten(relay) <= 1, (
        "it is still cold: the slow start after the outage begins with the first successful call"
    )


@pytest.mark.parametrize("kind", ["plain", "apart"])
@pytest.mark.parametrize("complete", [False, True], ids=["change", "complete list"])
def test_an_endpoint_that_is_included_again_begins_with_a_slow_start(kind: str, complete: bool) -> None:
    """An endpoint that an operator or discovery excludes may be restarted meanwhile and return cold.

    It was called at the full rate at once, because its limits kept their state while it was not listed.
    """
    included, excluded = (
        [entry(1, "e1", kind=kind, lifecycle=lifecycle), entry(1, "e2", kind=kind)]
        for lifecycle in (EndpointLifecycle.UP, EndpointLifecycle.DRAINING)
    )
    relay = Relay(*included, concurrency_limit=100, sender_count=1)
    relay.do(EndpointsUpdated(excluded, complete=complete))
    relay.wait(3000.0)
    relay.do(EndpointsUpdated(included, complete=complete))
    relay.do(
        EndpointsUpdated([entry(1, "e2", kind=kind, lifecycle=EndpointLifecycle.DRAINING)], complete=False)
    )
    calls = 0
    for _ in range(200):  # 2 s in steps of 10 ms
        relay.arrive(1)
        for id_, _ in list(relay.policy.calls):
            relay.end(id_, took=5.0)
        calls += len(sends(relay.wait(10.0)))
    # Twice the cold share, a quarter of 20 calls a second, in 2 s that are a tenth to a fifth of the warm-up.
    assert 10 <= calls <= 2.0 * 20.0 * 2.0 * 0.4
