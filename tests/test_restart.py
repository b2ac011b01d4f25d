"""What the module is told after a restart, before a stop, and when a connection has come up."""

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


def test_an_unsafe_message_in_doubt_is_never_sent_again() -> None:
    relay = Relay(entry(1))
    acts = relay.arrive(1, "unsafe", attempts=1, ambiguous_since=-500.0)
    assert finals(acts) == [FailMessage("m1")] and not sends(acts)
    assert not relay.wait(1000.0)


def test_an_unsafe_message_that_never_ran_goes() -> None:
    assert sends(Relay(entry(1)).arrive(1, "unsafe", attempts=2)) == ["m1"]


def test_a_destination_tried_in_vain_before_a_restart_gets_a_trial_first() -> None:
    # Its health is forgotten: a burst of all that is held would meet a dead or a cold one.
    relay = Relay(entry(1), entry(2))
    first = [relay.message(1, attempts=1) for _ in range(3)]
    assert sends(relay.do(*first)) == ["m1"]
    assert sends(relay.arrive(2)) == ["m4"], "others are not concerned"
    relay.tries["m1"] = 1
    assert len(sends(relay.end("m1"))) == 2


def test_a_keyed_message_keeps_its_window() -> None:
    relay = Relay(entry(1))
    window = CLASSES["keyed"].deduplication_window_ms
    assert sends(relay.arrive(1, "keyed", attempts=1, ambiguous_since=0.0, expires=20000.0)) == ["m1"]
    relay.tries["m1"] = 1
    relay.end("m1", Outcome.CONNECTION_BROKEN)
    relay.now = window - 50.0  # too late for another attempt inside the window
    acts = relay.do(TimerExpired(0))
    assert finals(acts) == [RejectMessage("m1", 2000.0)] and not sends(acts)


def test_a_zoned_message_keeps_its_zone() -> None:
    relay = Relay(entry(1, "e1", zone="a"), entry(1, "e2", zone="b"))
    relay.arrive(1, "zoned", attempts=1, ambiguous_since=0.0, ambiguous_zone="b")
    assert relay.where["m1"] == "e2"


def test_attempts_are_counted_on() -> None:
    relay = Relay(entry(1))
    assert finals(relay.arrive(1, "safe", attempts=12)), "all attempts were used up before the restart"
    relay.arrive(1, "safe", attempts=11, id="x")
    relay.tries["x"] = 11
    assert finals(relay.end("x", Outcome.REJECTED))


@pytest.mark.parametrize(("ends", "sent"), [(10000.0, ["m1"]), (500.0, [])])
def test_no_attempt_that_cannot_end_before_a_stop(ends: float, sent: list[str]) -> None:
    relay = Relay(entry(1))
    relay.do(ShutdownStarted(ends))
    assert sends(relay.arrive(1, "unsafe")) == sent


def test_a_wait_or_a_drain_forbids_what_still_waits_for_its_connection() -> None:
    relay = Relay(entry(1, "e1"), entry(1, "e2"))
    relay.arrive(1)
    assert relay.policy.permits(0.0, 1, "e1") and not relay.policy.permits(0.0, 1, "nowhere")
    relay.end("m1", Outcome.REJECTED, retry_after_ms=300.0)
    assert not relay.policy.permits(299.0, 1, "e1") and relay.policy.permits(302.0, 1, "e2")
    relay.do(EndpointsUpdated([entry(1, "e2", lifecycle=EndpointLifecycle.DRAINING)], complete=False))
    assert not relay.policy.permits(302.0, 1, "e2")


def test_replaced_machines_are_forgotten_and_their_destination_is_not() -> None:
    # Machines come and go all day under new names.
    relay = Relay(entry(1, "e0"))
    relay.arrive(1)
    guard = relay.policy.destinations[1].limits
    for number in range(1, 50):
        relay.do(
            EndpointsUpdated(
                [entry(1, f"e{number - 1}", lifecycle=EndpointLifecycle.REMOVED)], complete=False
            )
        )
        relay.do(EndpointsUpdated([entry(1, f"e{number}")], complete=False))
    assert list(relay.policy.destinations[1].endpoints) == ["e0", "e49"], "one still has its call out"
    relay.end("m1")
    relay.do(EndpointsUpdated([], complete=True))
    assert not relay.policy.destinations[1].endpoints and relay.policy.destinations[1].limits is guard
    relay.arrive(1, expires=relay.now + 200.0)
    relay.wait(200.0)
    assert relay.policy.destinations[1].limits is guard, "what is known of its health outlives its machines"


def test_a_destination_that_no_list_knows_is_forgotten() -> None:
    # Submitters may name any number: each would stay in memory until the process ends.
    relay = Relay(entry(1))
    for number in range(2, 50):
        relay.arrive(number, expires=500.0)
    relay.wait(600.0)
    assert list(relay.policy.destinations) == [1] and not relay.policy.messages
    assert sends(relay.arrive(1)), "a listed one is served on"
