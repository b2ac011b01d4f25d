"""Coordinated probing of a destination that is down: complete simulations, and packets late, lost or out of order."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from itertools import pairwise
from typing import Any

import pytest
from conftest import Relay, entry

from kestreltrack.decision import (
    HealthReported,
    Outcome,
    QuotaLeased,
    RetryAfterReceived,
    StartAttempt,
    endpoint_selection,
)
from kestreltrack.fleet.outage_probing.coordinator import MAX_DESTINATIONS, ProbingCoordinator
from kestreltrack.fleet.outage_probing.participant import (
    DestinationHealth,
    ProbingActions,
    ProbingParticipant,
)
from kestreltrack.fleet.outage_probing.wire import (
    ENCODE,
    MAX_AGE_MS,
    AnnouncementRow,
    ReportedState,
    RequestRow,
    Requests,
    ResponseRow,
    coordinator_of,
    decode_packet,
    split_into_pages,
)
from kestreltrack.testing.harness.links import LinkFault
from kestreltrack.testing.harness.outage_simulation import (
    OutageResult,
    OutageScenario,
    OutageSender,
    OutageSimulation,
    simulate_outage,
    without_cooperation,
)

NAMES = [f"s{n}" for n in range(6)]
COORDINATOR = coordinator_of(1, NAMES)


def longest_gap_between_probes_ms(scenario: OutageScenario, result: OutageResult) -> float:
    """Return the longest time without a probe while the destination is down, once the outage is known."""
    times = [at for at, _, _ in result.calls if scenario.down_at + 10_000.0 <= at < scenario.up_at]
    return max(after - before for before, after in pairwise(times))


def coordinating_member(outage: OutageSimulation) -> OutageSender:
    return outage.members[int(COORDINATOR[1:])]


@pytest.mark.parametrize("seed", range(3))
@pytest.mark.parametrize("senders", [3, 12])
def test_probes_do_not_grow_with_the_fleet_and_recovery_is_not_overloaded(senders: int, seed: int) -> None:
    scenario = OutageScenario(senders, seed)
    alone = without_cooperation(scenario)

    result = simulate_outage(scenario)
    result_alone = simulate_outage(alone)

    assert 0.5 < result.probe_rate(scenario) < 1.1 < result_alone.probe_rate(alone)
    assert result.max_budget_share <= 1.0 + 1e-9
    assert result.max_overload < 1.0 and not result.overload_count
    assert result_alone.overload_count, "without cooperation it is overloaded: else this shows nothing"


def cut_off_two_senders(outage: OutageSimulation) -> None:
    outage.schedule(22_000.0, lambda: outage.partition(["s0", "s1"]))


def kill_the_coordinator(outage: OutageSimulation) -> None:
    outage.schedule(25_000.0, lambda: outage.kill(coordinating_member(outage)))


def has_turn(member: OutageSender) -> bool:
    destination = member.participant.destinations.get(1)
    return bool(destination and destination.turn_started_at is not None and member.name != COORDINATOR)


def kill_the_turn_holder(outage: OutageSimulation) -> None:
    def check() -> None:
        for member in outage.members:
            if has_turn(member):
                outage.kill(member)
                return
        outage.schedule(outage.now + 10.0, check)

    outage.schedule(25_000.0, check)


def cut_off_the_turn_holder_during_its_probe(outage: OutageSimulation) -> None:
    def check() -> None:
        for member in outage.members:
            if has_turn(member) and member.policy.calls:
                outage.partition([member.name])
                return
        outage.schedule(outage.now + 1.0, check)

    outage.schedule(25_000.0, check)


def lose_all_packets_of_the_coordinator(outage: OutageSimulation) -> None:
    """The coordinator receives all requests, and nobody receives its packets."""
    outage.schedule(
        22_000.0, lambda: outage.links.inject(COORDINATOR, "*", LinkFault(cut=True), bidirectional=False)
    )


def let_views_flap(outage: OutageSimulation) -> None:
    """Each member drops one other from its view and takes it back, over and over: coordinators change with that."""

    def flap() -> None:
        for name, view in outage.views.items():
            outage.views[name] = (
                [n for n in NAMES if n != outage.random.choice(NAMES)] if len(view) > 5 else NAMES
            )
        outage.schedule(outage.now + 400.0, flap)

    outage.schedule(15_000.0, flap)


def restart_the_coordinator(outage: OutageSimulation) -> None:
    outage.schedule(25_000.0, lambda: coordinating_member(outage).restart(outage.now, 2, 99))


@pytest.mark.parametrize(
    ("inject_fault", "max_probe_rate", "max_gap_ms"),
    [
        # The two that are cut off each use their own quota beside the turns of the others.
        (cut_off_two_senders, 1.8, 2_500.0),
        # All use their reserves, a quarter of the budget, until the deposits have expired.
        (kill_the_coordinator, 2.5, 2_600.0),
        # Its grant has to expire.
        (kill_the_turn_holder, 1.4, 3_600.0),
        (restart_the_coordinator, 2.5, 2_600.0),
        (cut_off_the_turn_holder_during_its_probe, 1.6, 3_600.0),
        # What it grants reaches nobody, until each sender uses its own quota.
        (lose_all_packets_of_the_coordinator, 4.6, 4_000.0),
        (let_views_flap, 4.6, 2_600.0),
    ],
)
@pytest.mark.parametrize("seed", range(2))
def test_with_a_fault_the_sum_holds_and_probes_go_on(
    inject_fault: Callable[[OutageSimulation], None], max_probe_rate: float, max_gap_ms: float, seed: int
) -> None:
    scenario = OutageScenario(6, seed)

    result = simulate_outage(scenario, inject_fault)

    assert result.max_budget_share <= 1.0 + 1e-9
    assert result.max_overload < 1.0 and not result.overload_count
    assert result.probe_rate(scenario) < max_probe_rate
    assert longest_gap_between_probes_ms(scenario, result) < max_gap_ms
    assert result.recovery_ms(scenario) < 3_000.0


def test_with_a_third_of_all_packets_lost_the_sum_holds_and_nothing_is_overloaded() -> None:
    scenario = OutageScenario(6, 1, loss=0.3)

    result = simulate_outage(scenario)

    assert result.max_budget_share <= 1.0 + 1e-9 and not result.overload_count
    assert result.probe_rate(scenario) < 2.0


def test_sender_that_cannot_reach_the_destination_stops_no_other() -> None:
    scenario = OutageScenario(6, 1, down_at=1e9, up_at=2e9)

    result = simulate_outage(scenario, lambda outage: outage.cut_off_members.add("s1"))
    alone = simulate_outage(without_cooperation(scenario), lambda outage: outage.cut_off_members.add("s1"))

    assert not any(not succeeded for _, sender, succeeded in result.calls if sender != 1)
    calls, calls_alone = (sum(sender != 1 for _, sender, _ in one.calls) for one in (result, alone))
    assert calls > 0.95 * calls_alone


def test_senders_that_were_idle_in_the_outage_use_the_same_slow_start() -> None:
    scenario = OutageScenario(6, 1, idle_share=0.5)

    result = simulate_outage(scenario)
    alone = simulate_outage(without_cooperation(scenario))

    assert not result.overload_count and result.max_overload < 1.0 and alone.overload_count
    assert not any(sender < 3 and at < scenario.up_at for at, sender, _ in result.calls)


# One side at a time ------------------------------------------------------------------------------


def destination_down(**changes: float | bool) -> DestinationHealth:
    """Return the health of a destination that is down, as the policy has it."""
    fields: dict[str, Any] = {
        "dest": 1,
        "down": True,
        "in_slow_start": False,
        "slow_start_since": 0.0,
        "last_success_at": 0.0,
        "last_failure_at": 900.0,
        "last_attempt_at": 900.0,
        "probe_in_flight": False,
        "demand": 1.0,
        "slow_start_rate": 10.0,
    } | changes
    return DestinationHealth(**fields)


def destination_up(**changes: float | bool) -> DestinationHealth:
    return destination_down(down=False, **changes)


def participant_that_knows_the_members() -> ProbingParticipant:
    participant = ProbingParticipant(0.0, 1, 1)
    participant.tick(1000.0, [], NAMES, 1.0 / 6)
    return participant


def quotas_in(actions: ProbingActions) -> list[float]:
    return [event.share for event in actions.events if isinstance(event, QuotaLeased)]


def test_only_newer_announcements_of_the_present_coordinator_count() -> None:
    participant = participant_that_knows_the_members()
    other = next(name for name in NAMES if name != COORDINATOR)

    def announce(
        coordinator: str, number: int, epoch: int = 5
    ) -> list[QuotaLeased | HealthReported | RetryAfterReceived]:
        row = AnnouncementRow(1, epoch, number, True, 100.0, 0.0)
        assert not participant.handle_announcement(2000.0, coordinator, row, lambda dest: None).events, (
            "not known to the policy"
        )
        return participant.handle_announcement(2000.0, coordinator, row, lambda dest: destination_up()).events

    assert announce(COORDINATOR, 3) == [HealthReported(1, False, 1900.0, 2000.0), QuotaLeased(1, 0.0, 3000.0)]
    assert not announce(COORDINATOR, 3) and not announce(COORDINATOR, 2)
    assert not announce(COORDINATOR, 9, epoch=4) and not announce(other, 7)
    assert announce(COORDINATOR, 1, epoch=6), "a later process of the coordinator begins anew"
    assert participant.counts["words_dropped"] == 4


def test_newer_evidence_refutes_an_announced_outage_and_older_does_not() -> None:
    participant = participant_that_knows_the_members()
    first = AnnouncementRow(1, 5, 1, True, 100.0, 0.0)
    second = AnnouncementRow(1, 5, 2, True, 100.0, 0.0)

    refuted = participant.handle_announcement(
        2000.0, COORDINATOR, first, lambda dest: destination_up(last_success_at=1950.0)
    )
    accepted = participant.handle_announcement(2000.0, COORDINATOR, second, lambda dest: destination_up())

    assert not refuted.events
    assert [row.state for row in refuted.requests[COORDINATOR]] == [ReportedState.UP]
    assert refuted.requests[COORDINATOR][0].up_age_ms == MAX_AGE_MS, "it was never down for this sender"
    assert accepted.events


def test_late_or_duplicated_response_changes_nothing() -> None:
    participant = ProbingParticipant(-1e6, 1, 1)
    row = participant.tick(1000.0, [destination_down()], NAMES, 1.0 / 6).requests[COORDINATOR][0]
    destination = participant.destinations[1]

    participant.handle_response(4000.0, COORDINATOR, ResponseRow(1, row.seq, 5, 1, 0.9, True))

    assert destination.lease_holder.granted_amount(4000.0) == 0.0 and not destination.down, "3 s late"

    row = participant.tick(4100.0, [destination_down()], NAMES, 1.0 / 6).requests[COORDINATOR][0]
    participant.handle_response(4110.0, COORDINATOR, ResponseRow(1, row.seq, 5, 2, 0.5, True))
    participant.handle_response(4120.0, COORDINATOR, ResponseRow(1, row.seq, 5, 3, 0.9, True))

    assert destination.lease_holder.granted_amount(4120.0) == 0.5 and destination.lease_holder.epoch == 5


def test_used_turn_is_given_back_and_the_policy_has_no_quota_meanwhile() -> None:
    participant = ProbingParticipant(-1e6, 1, 1)
    row = participant.tick(1000.0, [destination_down()], NAMES, 1.0 / 6).requests[COORDINATOR][0]
    participant.handle_response(1010.0, COORDINATOR, ResponseRow(1, row.seq, 5, 1, 0.9, True))

    started = participant.tick(1100.0, [destination_down()], NAMES, 1.0 / 6)
    probing = participant.tick(
        1200.0, [destination_down(last_attempt_at=1150.0, probe_in_flight=True)], NAMES, 1.0 / 6
    )
    over = participant.tick(1300.0, [destination_down(last_attempt_at=1150.0)], NAMES, 1.0 / 6)

    assert started.started_turns == [1] and quotas_in(started) == [0.9]
    assert quotas_in(probing) == [0.0]
    assert [row.demand for row in over.requests[COORDINATOR]] == [0.0]
    assert participant.destinations[1].lease_holder.granted_amount(1300.0) == 0.0


def test_rows_of_an_earlier_and_a_later_version_are_read() -> None:
    row = [1, 5, 0, 0, 0.0, 1.0, 0, 10.0, 0.0, 2.5]
    for more in ([], [3000.0], [3000.0, "of a later version"]):
        packet = decode_packet(ENCODE(["a", [[*row, *more]]]))
        assert isinstance(packet, Requests) and packet.rows[0].retry_after_ms == (more[0] if more else 0.0)
    assert decode_packet(ENCODE(["a", [row[:-1]]])) is None and decode_packet(ENCODE(["z", []])) is None


def test_retry_after_reaches_all_but_the_sender_that_received_it() -> None:
    receiver = ProbingParticipant(0.0, 1, 1)
    other = ProbingParticipant(0.0, 1, 2)
    coordinator = ProbingCoordinator(1)
    limited = destination_up(last_success_at=990.0, retry_after_until=4000.0)
    hardly_longer = destination_up(retry_after_until=4200.0)

    row = receiver.tick(1000.0, [limited], NAMES, 1.0 / 6).requests[COORDINATOR][0]

    assert (row.retry_after_ms, row.state, row.demand) == (3000.0, ReportedState.UNKNOWN, 0.0)

    other.tick(1000.0, [], NAMES, 1.0 / 6)
    assert coordinator.handle_request(1001.0, "s1", row)
    (announcement,) = coordinator.due_announcements(1010.0)

    assert announcement.down is None and announcement.retry_after_ms == pytest.approx(2991.0)

    received = other.handle_announcement(1012.0, COORDINATOR, announcement, lambda dest: destination_up())

    assert received.events == [RetryAfterReceived(1, pytest.approx(4003.0), rejected=False)]  # type: ignore[arg-type]
    assert not receiver.handle_announcement(1012.0, COORDINATOR, announcement, lambda dest: limited).events
    assert not coordinator.due_announcements(1500.0), "once"
    assert not receiver.tick(1100.0, [hardly_longer], NAMES, 1.0 / 6).requests


def test_coordinator_is_bounded_and_malformed_packets_are_none() -> None:
    coordinator = ProbingCoordinator(1)
    rows = [
        RequestRow(dest, 1, 0, 0, 0.0, 1.0, ReportedState.DOWN, 0.0, 0.0, 1.0)
        for dest in range(MAX_DESTINATIONS + 1)
    ]

    assert sum(coordinator.handle_request(0.0, "s1", row) is not None for row in rows) == MAX_DESTINATIONS
    assert all(len(ENCODE(Requests(page))) <= 1000 for page in split_into_pages(rows))
    assert decode_packet(b"\xff" * 30) is None and decode_packet(ENCODE(Requests(rows[:1]))[:-2]) is None

    for later_ms in (0.0, 300.0, 600.0, 900.0):
        coordinator.due_announcements(1e6 + later_ms)

    assert not coordinator.destinations, "a destination without requests is forgotten"


# The policy --------------------------------------------------------------------------------------


def attempts_in(actions: Sequence[object]) -> int:
    return sum(isinstance(action, StartAttempt) for action in actions)


def relay_with_outage(failures: int = 6) -> Relay:
    """Return a sender for which destination 1 is down."""
    relay = Relay(entry(1))
    for _ in range(failures):
        relay.arrive(1, "safe")
        relay.wait(2500.0)
        for id_ in [id_ for id_, _ in list(relay.policy.calls)]:
            relay.end(id_, Outcome.UNREACHABLE, 1.0)
    dest = relay.policy.destinations[1]
    assert dest.limits and dest.limits.in_outage() and dest.queued
    return relay


def test_without_quota_no_probe_starts_and_with_quota_one_starts_at_once() -> None:
    relay = relay_with_outage()
    relay.do(QuotaLeased(1, 0.0, relay.now + 3000.0))
    assert not attempts_in(relay.wait(2900.0))
    assert attempts_in(relay.do(QuotaLeased(1, 0.5, relay.now + 1000.0))) == 1

    alone = relay_with_outage()
    alone.do(QuotaLeased(1, 0.0, alone.now + 100.0))
    assert attempts_in(alone.wait(3000.0)), "the quota has expired: it acts on its own again"


def test_health_report_opens_and_closes_the_breaker_unless_newer_evidence_is_here() -> None:
    relay = relay_with_outage()
    limits = relay.policy.destinations[1].limits
    assert limits

    relay.do(
        HealthReported(1, True, limits.breaker.last_failure_at - 1.0, limits.breaker.last_failure_at - 1.0)
    )
    assert limits.in_outage(), "it failed here after that"

    relay.do(HealthReported(1, True, relay.now, relay.now - 50.0))
    assert not limits.in_outage() and limits.slow_start.slow_start_from == relay.now - 50.0
    assert endpoint_selection.blocking_rule(limits, relay.now) in ("", "slow start")

    relay.do(HealthReported(1, False, relay.now - 10.0, 0.0))

    fresh = Relay(entry(1))
    fresh.do(HealthReported(1, False, -5.0, 0.0), fresh.message(1))
    known = fresh.policy.destinations[1].limits
    assert known and known.in_outage()
