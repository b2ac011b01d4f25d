"""State that outlives a restart or a list update, attempts before a shutdown, and checks before a delayed send."""

from __future__ import annotations

import pytest
from conftest import CLASSES, Relay, entry, finals, sends

from kestreltrack.decision import (
    EndpointLifecycle,
    EndpointsUpdated,
    FailMessage,
    Outcome,
    RejectMessage,
    ShutdownStarted,
    TimerExpired,
)


def test_an_unsafe_message_with_an_ambiguous_outcome_fails_without_another_attempt() -> None:
    relay = Relay(entry(1))
    acts = relay.arrive(1, "unsafe", attempts=1, ambiguous_since=-500.0)
    assert finals(acts) == [FailMessage("m1")] and not sends(acts)
    assert not relay.wait(1000.0)


def test_an_unsafe_message_without_an_ambiguous_outcome_is_sent() -> None:
    assert sends(Relay(entry(1)).arrive(1, "unsafe", attempts=2)) == ["m1"]


def test_a_destination_with_failed_attempts_before_a_restart_gets_one_trial_call_first() -> None:
    # Its health is unknown after a restart: all queued messages at once could hit a failed or cold destination.
    relay = Relay(entry(1), entry(2))
    first = [relay.message(1, attempts=1) for _ in range(3)]
    assert sends(relay.do(*first)) == ["m1"]
    assert sends(relay.arrive(2)) == ["m4"], "other destinations are not affected"
    relay.tries["m1"] = 1
    assert len(sends(relay.end("m1"))) == 2


def test_a_keyed_message_keeps_its_deduplication_window_after_a_restart() -> None:
    relay = Relay(entry(1))
    window = CLASSES["keyed"].deduplication_window_ms
    assert sends(relay.arrive(1, "keyed", attempts=1, ambiguous_since=0.0, expires=20000.0)) == ["m1"]
    relay.tries["m1"] = 1
    relay.end("m1", Outcome.CONNECTION_BROKEN)
    relay.now = window - 50.0  # too late for another attempt inside the window
    acts = relay.do(TimerExpired(0))
    assert finals(acts) == [RejectMessage("m1", 2000.0)] and not sends(acts)


def test_a_zoned_message_keeps_its_zone_after_a_restart() -> None:
    relay = Relay(entry(1, "e1", zone="a"), entry(1, "e2", zone="b"))
    relay.arrive(1, "zoned", attempts=1, ambiguous_since=0.0, ambiguous_zone="b")
    assert relay.where["m1"] == "e2"


def test_attempts_before_a_restart_count_towards_the_limit() -> None:
    relay = Relay(entry(1))
    assert finals(relay.arrive(1, "safe", attempts=12)), "all attempts were used up before the restart"
    relay.arrive(1, "safe", attempts=11, id="x")
    relay.tries["x"] = 11
    assert finals(relay.end("x", Outcome.REJECTED))


@pytest.mark.parametrize(("ends", "sent"), [(10000.0, ["m1"]), (500.0, [])])
def test_no_attempt_starts_that_cannot_end_before_the_shutdown_deadline(ends: float, sent: list[str]) -> None:
    relay = Relay(entry(1))
    relay.do(ShutdownStarted(ends))
    assert sends(relay.arrive(1, "unsafe")) == sent


def test_a_retry_after_or_a_drain_forbids_a_call_that_waits_for_its_connection() -> None:
    relay = Relay(entry(1, "e1"), entry(1, "e2"))
    relay.arrive(1)
    assert relay.policy.permits(0.0, 1, "e1") and not relay.policy.permits(0.0, 1, "nowhere")
    relay.end("m1", Outcome.REJECTED, retry_after_ms=300.0)
    assert not relay.policy.permits(299.0, 1, "e1") and relay.policy.permits(302.0, 1, "e2")
    relay.do(EndpointsUpdated([entry(1, "e2", lifecycle=EndpointLifecycle.DRAINING)], complete=False))
    assert not relay.policy.permits(302.0, 1, "e2")


def test_replaced_endpoints_are_forgotten_and_the_health_of_their_destination_is_kept() -> None:
    # Endpoints are replaced all day under new names: kept records would grow without bound.
    relay = Relay(entry(1, "e0"))
    relay.arrive(1)
    limits = relay.policy.destinations[1].limits
    for number in range(1, 50):
        relay.do(
            EndpointsUpdated(
                [entry(1, f"e{number - 1}", lifecycle=EndpointLifecycle.REMOVED)], complete=False
            )
        )
        relay.do(EndpointsUpdated([entry(1, f"e{number}")], complete=False))
    assert list(relay.policy.destinations[1].endpoints) == ["e0", "e49"], (
        "an endpoint with a call in flight is kept"
    )
    relay.end("m1")
    relay.do(EndpointsUpdated([], complete=True))
    assert not relay.policy.destinations[1].endpoints and relay.policy.destinations[1].limits is limits
    relay.arrive(1, expires=relay.now + 200.0)
    relay.wait(200.0)
    assert relay.policy.destinations[1].limits is limits, (
        "the health of a destination is kept when its endpoints are removed"
    )


def test_a_destination_without_listed_endpoints_is_forgotten() -> None:
    # A client may name any destination: each record would stay in memory until the process ends.
    relay = Relay(entry(1))
    for number in range(2, 50):
        relay.arrive(number, expires=500.0)
    relay.wait(600.0)
    assert list(relay.policy.destinations) == [1] and not relay.policy.messages
    assert sends(relay.arrive(1)), "a listed destination is still served"
