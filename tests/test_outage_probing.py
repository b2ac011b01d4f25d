"""Coordinated probing of a destination that is down: whole simulations, and late, lost or reordered packets."""

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
    """Return the longest time between two probes, from 10 s after the start of the outage to its end."""
    times = [at for at, _, _ in result.calls if scenario.down_at + 10_000.0 <= at < scenario.up_at]
    return max(after - before for before, after in pairwise(times))


def coordinating_member(outage: OutageSimulation) -> OutageSender:
    return outage.members[int(COORDINATOR[1:])]


@pytest.mark.parametrize("seed", range(3))
@pytest.mark.parametrize("senders", [3, 12])
def test_probe_rate_does_not_grow_with_the_fleet_and_recovery_causes_no_overload(
    senders: int, seed: int
) -> None:
    scenario = OutageScenario(senders, seed)
    baseline_scenario = without_cooperation(scenario)

    result = simulate_outage(scenario)
    baseline = simulate_outage(baseline_scenario)

    assert 0.5 < result.probe_rate(scenario) < 1.1
    assert baseline.probe_rate(baseline_scenario) > 1.1
    assert result.max_budget_share <= 1.0 + 1e-9
    assert result.max_overload < 1.0
    assert not result.overload_count
    assert baseline.overload_count, "the scenario must overload the destination without cooperation"


def partition_two_senders(outage: OutageSimulation) -> None:
    outage.schedule(22_000.0, lambda: outage.partition(["s0", "s1"]))


def kill_the_coordinator(outage: OutageSimulation) -> None:
    outage.schedule(25_000.0, lambda: outage.kill(coordinating_member(outage)))


def has_turn_and_is_not_the_coordinator(member: OutageSender) -> bool:
    destination = member.participant.destinations.get(1)
    return bool(destination and destination.turn_started_at is not None and member.name != COORDINATOR)


def kill_the_turn_holder(outage: OutageSimulation) -> None:
    def check() -> None:
        for member in outage.members:
            if has_turn_and_is_not_the_coordinator(member):
                outage.kill(member)
                return
        outage.schedule(outage.now + 10.0, check)

    outage.schedule(25_000.0, check)


def partition_the_turn_holder_during_its_probe(outage: OutageSimulation) -> None:
    def check() -> None:
        for member in outage.members:
            if has_turn_and_is_not_the_coordinator(member) and member.policy.calls:
                outage.partition([member.name])
                return
        outage.schedule(outage.now + 1.0, check)

    outage.schedule(25_000.0, check)


def drop_all_packets_from_the_coordinator(outage: OutageSimulation) -> None:
    """Drop everything that the coordinator sends, while it still receives all requests."""
    outage.schedule(
        22_000.0, lambda: outage.links.inject(COORDINATOR, "*", LinkFault(cut=True), bidirectional=False)
    )


def flap_membership_views(outage: OutageSimulation) -> None:
    """Repeatedly remove random members from each view and restore it, so that coordinators keep changing."""

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
        # Each of the two partitioned senders uses its own quota, in addition to the turns of the others.
        (partition_two_senders, 1.8, 2_500.0),
        # All senders use their reserves, a quarter of the budget, until the deposits have expired.
        (kill_the_coordinator, 2.5, 2_600.0),
        # The next turn starts only after the grant of the killed sender has expired.
        (kill_the_turn_holder, 1.4, 3_600.0),
        (restart_the_coordinator, 2.5, 2_600.0),
        (partition_the_turn_holder_during_its_probe, 1.6, 3_600.0),
        # The grants are lost, so nobody probes on them until each sender uses its own quota.
        (drop_all_packets_from_the_coordinator, 4.6, 4_000.0),
        (flap_membership_views, 4.6, 2_600.0),
    ],
)
@pytest.mark.parametrize("seed", range(2))
def test_during_a_fault_quotas_stay_within_the_budget_and_probes_continue(
    inject_fault: Callable[[OutageSimulation], None], max_probe_rate: float, max_gap_ms: float, seed: int
) -> None:
    scenario = OutageScenario(6, seed)

    result = simulate_outage(scenario, inject_fault)

    assert result.max_budget_share <= 1.0 + 1e-9
    assert result.max_overload < 1.0
    assert not result.overload_count
    assert result.probe_rate(scenario) < max_probe_rate
    assert longest_gap_between_probes_ms(scenario, result) < max_gap_ms
    assert result.recovery_ms(scenario) < 3_000.0


def test_with_30_percent_packet_loss_quotas_stay_within_the_budget_and_nothing_is_overloaded() -> None:
    scenario = OutageScenario(6, 1, loss=0.3)

    result = simulate_outage(scenario)

    assert result.max_budget_share <= 1.0 + 1e-9
    assert not result.overload_count
    assert result.probe_rate(scenario) < 2.0


def test_sender_that_cannot_reach_the_destination_does_not_stop_the_others() -> None:
    scenario = OutageScenario(6, 1, down_at=1e9, up_at=2e9)

    result = simulate_outage(scenario, lambda outage: outage.cut_off_members.add("s1"))
    baseline = simulate_outage(without_cooperation(scenario), lambda outage: outage.cut_off_members.add("s1"))

    assert all(succeeded for _, sender, succeeded in result.calls if sender != 1)
    calls = sum(sender != 1 for _, sender, _ in result.calls)
    baseline_calls = sum(sender != 1 for _, sender, _ in baseline.calls)
    assert calls > 0.95 * baseline_calls


def test_senders_idle_during_the_outage_follow_the_same_slow_start() -> None:
    scenario = OutageScenario(6, 1, idle_share=0.5)

    result = simulate_outage(scenario)
    baseline = simulate_outage(without_cooperation(scenario))

    assert not result.overload_count
    assert result.max_overload < 1.0
    assert baseline.overload_count, "the scenario must overload the destination without cooperation"
    assert not any(sender < 3 and at < scenario.up_at for at, sender, _ in result.calls)


# Participant and coordinator on their own -------------------------------------------------------


def destination_down(**changes: float | bool) -> DestinationHealth:
    """Return the policy's view of a destination that is down, with the given fields replaced."""
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


def participant_with_known_members() -> ProbingParticipant:
    participant = ProbingParticipant(0.0, 1, 1)
    participant.tick(1000.0, [], NAMES, 1.0 / 6)
    return participant


def quotas_in(actions: ProbingActions) -> list[float]:
    return [event.share for event in actions.events if isinstance(event, QuotaLeased)]


def test_only_newer_announcements_of_the_current_coordinator_are_accepted() -> None:
    participant = participant_with_known_members()
    other = next(name for name in NAMES if name != COORDINATOR)

    def announce(
        coordinator: str, number: int, epoch: int = 5
    ) -> list[QuotaLeased | HealthReported | RetryAfterReceived]:
        row = AnnouncementRow(1, epoch, number, True, 100.0, 0.0)
        assert not participant.handle_announcement(2000.0, coordinator, row, lambda dest: None).events, (
            "the policy does not know the destination"
        )
        return participant.handle_announcement(2000.0, coordinator, row, lambda dest: destination_up()).events

    assert announce(COORDINATOR, 3) == [HealthReported(1, False, 1900.0, 2000.0), QuotaLeased(1, 0.0, 3000.0)]
    assert not announce(COORDINATOR, 3), "duplicated"
    assert not announce(COORDINATOR, 2), "older"
    assert not announce(COORDINATOR, 9, epoch=4), "from an earlier process of the coordinator"
    assert not announce(other, 7), "not from the current coordinator"
    assert announce(COORDINATOR, 1, epoch=6), "a later process of the coordinator counts from 1 again"
    assert participant.counts["words_dropped"] == 4


def test_announced_outage_is_refuted_by_a_recent_success_but_not_by_an_old_one() -> None:
    participant = participant_with_known_members()
    first = AnnouncementRow(1, 5, 1, True, 100.0, 0.0)
    second = AnnouncementRow(1, 5, 2, True, 100.0, 0.0)

    refuted = participant.handle_announcement(
        2000.0, COORDINATOR, first, lambda dest: destination_up(last_success_at=1950.0)
    )
    accepted = participant.handle_announcement(2000.0, COORDINATOR, second, lambda dest: destination_up())

    assert not refuted.events
    assert [row.state for row in refuted.requests[COORDINATOR]] == [ReportedState.UP]
    assert refuted.requests[COORDINATOR][0].up_age_ms == MAX_AGE_MS, (
        "the destination was never down for this sender"
    )
    assert accepted.events


def test_late_or_duplicated_response_is_ignored() -> None:
    participant = ProbingParticipant(-1e6, 1, 1)
    row = participant.tick(1000.0, [destination_down()], NAMES, 1.0 / 6).requests[COORDINATOR][0]
    destination = participant.destinations[1]

    participant.handle_response(4000.0, COORDINATOR, ResponseRow(1, row.seq, 5, 1, 0.9, True))

    assert destination.lease_holder.granted_amount(4000.0) == 0.0, "the response is 3 s late"
    assert not destination.down

    row = participant.tick(4100.0, [destination_down()], NAMES, 1.0 / 6).requests[COORDINATOR][0]
    participant.handle_response(4110.0, COORDINATOR, ResponseRow(1, row.seq, 5, 2, 0.5, True))
    participant.handle_response(4120.0, COORDINATOR, ResponseRow(1, row.seq, 5, 3, 0.9, True))

    assert destination.lease_holder.granted_amount(4120.0) == 0.5
    assert destination.lease_holder.epoch == 5


def test_grant_is_returned_after_the_probe_and_the_policy_has_no_quota_during_it() -> None:
    participant = ProbingParticipant(-1e6, 1, 1)
    row = participant.tick(1000.0, [destination_down()], NAMES, 1.0 / 6).requests[COORDINATOR][0]
    participant.handle_response(1010.0, COORDINATOR, ResponseRow(1, row.seq, 5, 1, 0.9, True))

    started = participant.tick(1100.0, [destination_down()], NAMES, 1.0 / 6)
    probing = participant.tick(
        1200.0, [destination_down(last_attempt_at=1150.0, probe_in_flight=True)], NAMES, 1.0 / 6
    )
    over = participant.tick(1300.0, [destination_down(last_attempt_at=1150.0)], NAMES, 1.0 / 6)

    assert started.started_turns == [1]
    assert quotas_in(started) == [0.9]
    assert quotas_in(probing) == [0.0]
    assert [row.demand for row in over.requests[COORDINATOR]] == [0.0]
    assert participant.destinations[1].lease_holder.granted_amount(1300.0) == 0.0


def test_rows_of_earlier_and_later_versions_are_decoded() -> None:
    row = [1, 5, 0, 0, 0.0, 1.0, 0, 10.0, 0.0, 2.5]
    for appended in ([], [3000.0], [3000.0, "from a later version"]):
        packet = decode_packet(ENCODE(["a", [[*row, *appended]]]))
        assert isinstance(packet, Requests)
        assert packet.rows[0].retry_after_ms == (appended[0] if appended else 0.0)
    assert decode_packet(ENCODE(["a", [row[:-1]]])) is None, "a required item is missing"
    assert decode_packet(ENCODE(["z", []])) is None, "the tag is unknown"


def test_retry_after_is_passed_to_all_senders_except_the_one_that_received_it() -> None:
    receiver = ProbingParticipant(0.0, 1, 1)
    other = ProbingParticipant(0.0, 1, 2)
    coordinator = ProbingCoordinator(1)
    limited = destination_up(last_success_at=990.0, retry_after_until=4000.0)
    slightly_longer = destination_up(retry_after_until=4200.0)

    row = receiver.tick(1000.0, [limited], NAMES, 1.0 / 6).requests[COORDINATOR][0]

    assert (row.retry_after_ms, row.state, row.demand) == (3000.0, ReportedState.UNKNOWN, 0.0)

    other.tick(1000.0, [], NAMES, 1.0 / 6)
    assert coordinator.handle_request(1001.0, "s1", row)
    (announcement,) = coordinator.due_announcements(1010.0)

    assert announcement.down is None
    assert announcement.retry_after_ms == pytest.approx(2991.0)

    received = other.handle_announcement(1012.0, COORDINATOR, announcement, lambda dest: destination_up())

    assert received.events == [RetryAfterReceived(1, pytest.approx(4003.0), rejected=False)]  # type: ignore[arg-type]
    assert not receiver.handle_announcement(1012.0, COORDINATOR, announcement, lambda dest: limited).events
    assert not coordinator.due_announcements(1500.0), "a retry-after is announced once"
    assert not receiver.tick(1100.0, [slightly_longer], NAMES, 1.0 / 6).requests


def test_coordinator_limits_its_destinations_and_malformed_packets_are_rejected() -> None:
    coordinator = ProbingCoordinator(1)
    rows = [
        RequestRow(dest, 1, 0, 0, 0.0, 1.0, ReportedState.DOWN, 0.0, 0.0, 1.0)
        for dest in range(MAX_DESTINATIONS + 1)
    ]

    assert sum(coordinator.handle_request(0.0, "s1", row) is not None for row in rows) == MAX_DESTINATIONS
    assert all(len(ENCODE(Requests(page))) <= 1000 for page in split_into_pages(rows))
    assert decode_packet(b"\xff" * 30) is None
    assert decode_packet(ENCODE(Requests(rows[:1]))[:-2]) is None

    for delay_ms in (0.0, 300.0, 600.0, 900.0):
        coordinator.due_announcements(1e6 + delay_ms)

    assert not coordinator.destinations, "destinations without requests are dropped"


# The policy --------------------------------------------------------------------------------------


def attempt_count(actions: Sequence[object]) -> int:
    return sum(isinstance(action, StartAttempt) for action in actions)


def sender_with_outage(failures: int = 6) -> Relay:
    """Return a sender for which destination 1 is down."""
    sender = Relay(entry(1))
    for _ in range(failures):
        sender.arrive(1, "safe")
        sender.wait(2500.0)
        for id_ in [id_ for id_, _ in list(sender.policy.calls)]:
            sender.end(id_, Outcome.UNREACHABLE, 1.0)
    dest = sender.policy.destinations[1]
    assert dest.limits
    assert dest.limits.in_outage()
    assert dest.queued
    return sender


def test_without_quota_no_probe_starts_and_with_quota_one_starts_at_once() -> None:
    sender = sender_with_outage()
    sender.do(QuotaLeased(1, 0.0, sender.now + 3000.0))
    assert not attempt_count(sender.wait(2900.0))
    assert attempt_count(sender.do(QuotaLeased(1, 0.5, sender.now + 1000.0))) == 1

    other = sender_with_outage()
    other.do(QuotaLeased(1, 0.0, other.now + 100.0))
    assert attempt_count(other.wait(3000.0)), "after the quota has expired, the sender acts on its own again"


def test_health_report_opens_and_closes_the_breaker_unless_local_evidence_is_newer() -> None:
    sender = sender_with_outage()
    limits = sender.policy.destinations[1].limits
    assert limits

    sender.do(
        HealthReported(1, True, limits.breaker.last_failure_at - 1.0, limits.breaker.last_failure_at - 1.0)
    )
    assert limits.in_outage(), "a call of this sender failed after the reported success"

    sender.do(HealthReported(1, True, sender.now, sender.now - 50.0))
    assert not limits.in_outage()
    assert limits.slow_start.slow_start_from == sender.now - 50.0
    assert endpoint_selection.blocking_rule(limits, sender.now) in ("", "slow start")

    sender.do(HealthReported(1, False, sender.now - 10.0, 0.0))

    fresh = Relay(entry(1))
    fresh.do(HealthReported(1, False, -5.0, 0.0), fresh.message(1))
    known = fresh.policy.destinations[1].limits
    assert known
    assert known.in_outage()
