"""Scenarios with faults of links and processes, run with real processes and in the emulator, and their shrinking."""

from __future__ import annotations

import json
from collections import defaultdict
from pathlib import Path

import pytest

from kestreltrack.invariants.system import InvariantViolation
from kestreltrack.testing.emulator.result import RunResult, run_scenario
from kestreltrack.testing.emulator.scenario import InvalidScenarioError, Scenario, load_scenario
from kestreltrack.testing.scenario_runner.process_run import process_runner
from kestreltrack.testing.scenario_runner.shrink import fault_overrides, shrink

# Invariants that depend only on counts and order, so that a busy machine cannot violate them.
TIMING_INDEPENDENT_INVARIANTS = {
    "one attempt at a time",
    "one final answer",
    "attempts within the limit",
    "repeats within allowance",
    "cap",
}
SCENARIO = """
extends = "calm"
name = "short"
partners = 5

[day]
length_s = 6
tail_s = 26

[load]
full = 40

[fleet]
senders = 4
talk = true
zones = ["a", "b"]

[[trouble]]
kind = "shuts"
at_s = 1
for_s = 3
part = 0.4

[[fault]]
at_s = 1.5
for_s = 2
between = ["zone:a", "zone:b"]
cut = true

[[fault]]
at_s = 2
for_s = 1
who = ["s2"]
process = "kill"
"""
LINK_AND_PROCESS_FAULTS = """
[[fault]]
at_s = 1
for_s = 2
between = ["s1", "partners"]
reset = true

[[fault]]
at_s = 3
for_s = 1.5
between = ["senders", "list"]
cut = true

[[fault]]
at_s = 2
for_s = 2
who = ["s3"]
process = "pause"

[[fault]]
at_s = 3
for_s = 0.5
who = ["s4"]
process = "stop"
"""


def write_scenario(folder: Path, extra_tables: str = "") -> Path:
    file = folder / "day.toml"
    file.write_text(SCENARIO + extra_tables)
    return file


def acted_after_end(logs: Path, message_id: str) -> bool:
    """Return whether a sender logged anything about a message after its end, or not exactly one logged an end."""
    events_of_log = defaultdict[str, list[str]](list)
    for log in logs.glob("s?.log"):
        for row in map(json.loads, log.read_bytes().splitlines()):
            if row.get("id") == message_id and row["event"] in ("attempt", "end"):
                events_of_log[log.name].append(row["event"])
    ends = [events for events in events_of_log.values() if "end" in events]
    return len(ends) != 1 or ends[0].index("end") != len(ends[0]) - 1


def order_violations(result: RunResult, logs: Path) -> list[InvariantViolation]:
    """Return the violations of the timing-independent invariants.

    A response that a destination has sent, but that was lost in a reset or with a killed sender, counts as a final
    answer although no sender received it.  So a second final answer is a violation only if the logs confirm it.
    """
    found = [violation for violation in result.violations if violation.rule in TIMING_INDEPENDENT_INVARIANTS]
    ids = {violation: violation.text.partition(":")[0] for violation in found}
    return [v for v in found if v.rule != "one final answer" or acted_after_end(logs, ids[v])]


def test_one_scenario_file_runs_with_processes_and_in_the_emulator(tmp_path: Path) -> None:
    loaded = load_scenario(str(write_scenario(tmp_path)))
    emulated = run_scenario(loaded, 1)
    real = run_scenario(loaded, 1, runner=process_runner(tmp_path / "processes"))
    for result in (emulated, real):
        assert result.check_counts["one final answer"] > 60
        assert result.event_counts["SenderCrashed"] == 1
        assert not order_violations(result, tmp_path / "processes")
        assert result.score.messages > 60
        assert result.score.on_time > 0.5 * result.score.messages
    assert real.as_dict().keys() == emulated.as_dict().keys()


def test_faults_of_links_and_processes_violate_no_invariant_of_order(tmp_path: Path) -> None:
    loaded = load_scenario(
        str(write_scenario(tmp_path, LINK_AND_PROCESS_FAULTS)), {"fleet.clocks": [1.01, 1.0, 0.99]}
    )
    with pytest.raises(InvalidScenarioError, match=r"fleet\.clocks"):
        run_scenario(loaded, 2)
    result = run_scenario(loaded, 2, runner=process_runner(tmp_path / "processes"))
    assert result.check_counts["one final answer"] > 60
    assert result.event_counts["SenderCrashed"] == 2
    assert not order_violations(result, tmp_path / "processes")


def test_four_of_six_senders_killed_and_a_rolling_restart_violate_no_invariant_of_order(
    tmp_path: Path,
) -> None:
    kill = {"at_s": 1.2, "for_s": 1.0, "who": ["s1", "s2", "s3", "s4"], "process": "kill"}
    rolling_restart = [
        {"at_s": 3.5 + n, "for_s": 0.2, "who": [f"s{5 + n}"], "process": "stop"} for n in range(2)
    ]
    packet_loss = {"at_s": 0.1, "for_s": 20.0, "between": ["senders", "senders"], "loss": 0.2}
    duplication = {"at_s": 0.2, "for_s": 20.0, "between": ["senders", "*"], "repeat": 0.1, "late_ms": 5000.0}
    overrides = {
        "fleet.senders": 6,
        "fault": [kill, *rolling_restart, packet_loss, duplication],
        "fleet.clocks": [1.01, 1.0],
    }
    result = run_scenario(
        load_scenario(str(write_scenario(tmp_path)), overrides),
        3,
        runner=process_runner(tmp_path / "processes"),
    )
    assert result.check_counts["one final answer"] > 60
    assert result.event_counts["SenderCrashed"] == 6
    assert result.event_counts["SenderStarted"] == 12
    assert not order_violations(result, tmp_path / "processes")


@pytest.mark.parametrize(
    ("fault", "error"),
    [
        ('between = ["s1", "p1"]\ncut = true', "p1: only links between senders"),
        ('between = ["s1", "s2"]\nreset = true', "fault.reset"),
        ('who = ["s1"]\nprocess = "pause"', "fault.process: pause"),
        ('between = ["s1"]\ncut = true', "expected either two names"),
    ],
)
def test_fault_that_the_emulator_cannot_simulate_is_rejected_by_name(
    tmp_path: Path, fault: str, error: str
) -> None:
    with pytest.raises(InvalidScenarioError, match=error):
        run_scenario(
            load_scenario(str(write_scenario(tmp_path, f"\n[[fault]]\nat_s = 1\nfor_s = 1\n{fault}\n"))), 1
        )


def test_shrinking_keeps_the_faults_needed_to_fail_and_prints_options_to_rerun_them(tmp_path: Path) -> None:
    loaded = load_scenario(str(write_scenario(tmp_path, LINK_AND_PROCESS_FAULTS)))

    def still_fails(candidate: Scenario) -> bool:
        return any(fault.reset for fault in candidate.fault) and any(
            trouble.kind == "shuts" for trouble in candidate.trouble
        )

    shrunk = shrink(loaded, still_fails, lambda text: None)
    assert [fault.between for fault in shrunk.fault] == [("s1", "partners")]
    assert len(shrunk.trouble) == 1
    options = dict(text.split("=", 1) for text in fault_overrides(shrunk))
    reloaded = load_scenario(
        str(write_scenario(tmp_path)), {key: json.loads(value) for key, value in options.items()}
    )
    assert (reloaded.fault, reloaded.trouble) == (shrunk.fault, shrunk.trouble)


def test_unknown_name_in_a_fault_is_rejected_when_run_with_processes(tmp_path: Path) -> None:
    file = write_scenario(tmp_path, '\n[[fault]]\nat_s = 1\nfor_s = 1\nbetween = ["s9", "p1"]\ncut = true\n')
    with pytest.raises(InvalidScenarioError, match="s9 is not the name of a sender"):
        run_scenario(load_scenario(str(file)), 1, runner=process_runner(tmp_path / "processes"))
