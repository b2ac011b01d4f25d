"""Tests of the soak test: its plans, its rule checks with a violation of each rule, and a few short runs."""

from __future__ import annotations

import subprocess
import sys
from collections.abc import Callable
from pathlib import Path

import pytest

from kestreltrack.testing.soak.observations import (
    NEVER,
    Call,
    Drain,
    Effect,
    Notification,
    Observations,
    ProcessRecord,
    ResourceSample,
    Submission,
)
from kestreltrack.testing.soak.plan import FaultKind, draw_plan
from kestreltrack.testing.soak.planted_faults import PLANTED_FAULTS
from kestreltrack.testing.soak.report import replay_command, run_seed
from kestreltrack.testing.soak.rule_checks import Limits, find_violations

LIMITS = Limits(drain_grace_s=0.5, memory_mb=192.0, descriptors=1024)
SHORT_RUN_S = 6.0
CI_SEEDS = (1, 2, 3, 4, 5, 6, 7, 8)
RECOVERED_MESSAGES = 10


def submission(message_id: str, effect: Effect = Effect.AT_MOST_ONCE, at: float = 10.0) -> Submission:
    return Submission(message_id, "s1", effect, at, at + 4.0, "+OK", at + 0.01)


def observations_without_violation() -> Observations:
    """A run with deliveries, a hand-back, a retry-after, a drain, a shutdown, a kill and restarts."""
    observations = Observations(ended_at=40.0)
    observations.submissions = {row.message_id: row for row in map(submission, ("a", "b", "c"))}
    observations.submissions["k"] = submission("k", Effect.DEDUPLICATED, 12.0)
    observations.calls = [
        Call("a", 1, "p1-0", 10.02, "200", 10.05),
        Call("b", 2, "p2-0", 10.02, "429", 10.03, retry_after_s=2.0),
        Call("k", 2, "p2-0", 12.2, "", 12.3),
        Call("k", 2, "p2-1", 12.4, "200", 12.5),
        Call("c", 1, "p1-0", 10.1, "500", 10.2),
    ]
    observations.notifications = [Notification("b", "handed_back", 13.5), Notification("c", "given_up", 13.9)]
    observations.execution_counts = {"a": 1, "k": 1}
    observations.processes = [
        ProcessRecord("s1", 0.0, 0.3, terminated_at=20.0, ended_at=22.0, exit_code=0),
        ProcessRecord("s1", 22.6, 23.0, killed_at=30.0, ended_at=30.0, exit_code=-9),
        ProcessRecord("s1", 30.6, 31.0),
    ]
    observations.drains = [Drain("p1-0", "s1", 15.0, 18.0)]
    observations.samples = [ResourceSample("s1", 60.0, 80)]
    return observations


def recovered_messages_given_up(observations: Observations) -> None:
    """The process that is ready at 31 recovers messages with most of their time left and gives most of them up."""
    for number in range(RECOVERED_MESSAGES):
        row = submission(f"u{number}", at=29.9)
        row.expires = 36.0
        observations.submissions[row.message_id] = row
        if number < 4:
            observations.calls.append(Call(row.message_id, 1, "p1-1", 31.1, "200", 31.2))
        else:
            observations.notifications.append(Notification(row.message_id, "given_up", 31.1))


def no_final_answer(observations: Observations) -> None:
    observations.notifications = [
        notification for notification in observations.notifications if notification.message_id != "c"
    ]


def late_final_answer(observations: Observations) -> None:
    observations.notifications[1] = Notification("c", "given_up", 14.0 + 0.3 + 0.06)


def unanswered_request(observations: Observations) -> None:
    row = observations.submissions["a"]
    row.answer = ""
    row.answered_at = NEVER
    row.closed_unanswered_at = 10.1


def executed_twice(observations: Observations) -> None:
    observations.execution_counts["a"] = 2


def executed_twice_outside_the_deduplication_window(observations: Observations) -> None:
    observations.execution_counts["k"] = 2


def failure_reported_after_delivery(observations: Observations) -> None:
    observations.notifications.append(Notification("a", "given_up", 13.0))


def conflicting_outcomes(observations: Observations) -> None:
    observations.notifications.append(Notification("c", "handed_back", 13.95))


def call_to_a_draining_endpoint(observations: Observations) -> None:
    observations.calls.append(Call("c", 1, "p1-0", 15.56, "200", 15.6))


def call_during_retry_after(observations: Observations) -> None:
    observations.calls.append(Call("c", 2, "p2-1", 10.2, "500", 10.3))


def late_readiness(observations: Observations) -> None:
    killed = observations.processes[1]
    killed.ready_at = 32.7
    killed.killed_at = 34.0
    killed.ended_at = 34.0
    successor = observations.processes[2]
    successor.started_at = 34.6
    successor.ready_at = 35.0


def simultaneous_attempts(observations: Observations) -> None:
    observations.calls[2].ended_at = 12.46


def crash(observations: Observations) -> None:
    observations.processes[2].ended_at = 33.0
    observations.processes[2].exit_code = 1


def exit_with_an_error(observations: Observations) -> None:
    observations.processes[0].exit_code = 1


def too_much_memory(observations: Observations) -> None:
    observations.samples.append(ResourceSample("s1", 193.0, 80))


def too_many_descriptors(observations: Observations) -> None:
    observations.samples.append(ResourceSample("s1", 60.0, 1025))


def unreadable_log_line(observations: Observations) -> None:
    observations.unreadable_log_lines.append("Traceback (most recent call last):")


def violated_invariant(observations: Observations) -> None:
    observations.fault_events.append("invariant.sent_twice")


VIOLATIONS: dict[Callable[[Observations], None], str] = {
    no_final_answer: "final answer",
    late_final_answer: "final answer",
    unanswered_request: "request answered",
    executed_twice: "executed once",
    executed_twice_outside_the_deduplication_window: "executed once",
    failure_reported_after_delivery: "no failure after delivery",
    conflicting_outcomes: "one final answer",
    call_to_a_draining_endpoint: "drain",
    call_during_retry_after: "retry-after",
    recovered_messages_given_up: "recovered messages attempted",
    late_readiness: "ready in time",
    simultaneous_attempts: "one attempt at a time",
    crash: "exit status",
    exit_with_an_error: "exit status",
    too_much_memory: "memory",
    too_many_descriptors: "descriptors",
    unreadable_log_line: "log lines",
    violated_invariant: "no internal fault",
}


def test_a_run_without_violations_reports_none() -> None:
    assert find_violations(observations_without_violation(), LIMITS) == []


@pytest.mark.parametrize("violate", VIOLATIONS, ids=lambda violate: violate.__name__)
def test_each_violation_is_reported_under_its_rule(violate: Callable[[Observations], None]) -> None:
    observations = observations_without_violation()
    violate(observations)
    assert {violation.rule for violation in find_violations(observations, LIMITS)} == {VIOLATIONS[violate]}


def test_permitted_exceptions_are_no_violation() -> None:
    observations = observations_without_violation()
    # No notification is overdue while its sender is down, nor in the 1.5 s after.
    observations.submissions["d"] = submission("d", at=16.5)
    observations.notifications.append(Notification("d", "given_up", 24.4))
    # A response that was written when its sender was killed may not have been read.
    observations.submissions["e"] = submission("e", at=29.0)
    observations.calls.append(Call("e", 1, "p1-1", 29.9, "200", 30.0))
    observations.notifications.append(Notification("e", "given_up", 31.2))
    # A notification that was answered too late is posted again.
    observations.notifications.append(Notification("c", "given_up", 13.95))
    observations.unanswered_notifications.add("c")
    # Calls within 100 ms of a response with retry-after are permitted.
    observations.submissions["f"] = submission("f", Effect.IDEMPOTENT)
    observations.calls.append(Call("f", 2, "p2-1", 10.1, "200", 10.15))
    assert find_violations(observations, LIMITS) == []


def test_a_seed_determines_its_plan_and_50_seeds_cover_every_fault() -> None:
    assert draw_plan(3, SHORT_RUN_S) == draw_plan(3, SHORT_RUN_S) != draw_plan(4, SHORT_RUN_S)
    kinds = {fault.kind for seed in range(1, 51) for fault in draw_plan(seed, SHORT_RUN_S).faults}
    assert kinds == set(FaultKind)
    assert {draw_plan(seed, SHORT_RUN_S).senders for seed in range(1, 51)} == {1, 2, 3, 4, 5}


@pytest.mark.parametrize("name", PLANTED_FAULTS)
def test_a_planted_fault_replaces_parts_of_the_sender_that_exist(name: str) -> None:
    imports = "import sys; from kestreltrack.testing.soak.planted_faults import PLANTED_FAULTS as faults"
    code = f"{imports}; faults[sys.argv[1]]()"
    assert subprocess.run([sys.executable, "-c", code, name]).returncode == 0


def test_omitting_a_fault_changes_nothing_else_in_the_plan() -> None:
    complete = draw_plan(3, SHORT_RUN_S)
    reduced = draw_plan(3, SHORT_RUN_S, without=frozenset({0}))
    assert (
        reduced.faults == complete.faults[1:]
        and reduced.settings == complete.settings
        and reduced.rate == complete.rate
    )
    assert replay_command(3, SHORT_RUN_S, 2, [0]).endswith("--seed 3 --seconds 6 --senders 2 --without 0")


@pytest.mark.parametrize("seed", CI_SEEDS)
def test_a_short_seed_keeps_all_rules(seed: int, tmp_path: Path) -> None:
    result = run_seed(draw_plan(seed, SHORT_RUN_S), tmp_path)
    assert result.accepted > 20 and not result.violations, replay_command(seed, SHORT_RUN_S, None)
