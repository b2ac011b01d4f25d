"""Resimulation of a complete or a reduced capture, and its reduction to a small input that still shows a property."""

from __future__ import annotations

import json
from pathlib import Path

import pytest
from captures.scripts import FOLDER
from hypothesis import given
from hypothesis import strategies as st
from test_explain import capture, run_command
from test_version_comparison import copy_version

from kestreltrack.capture.cursor import CaptureFiles
from kestreltrack.capture.reader import capture_files
from kestreltrack.capture.replay import replay
from kestreltrack.capture.resimulate import CapturedInput, ResimulationError, extract_input, resimulate
from kestreltrack.capture.shrink import (
    PropertyNotShownError,
    Shrinker,
    ddmin,
    differs_from_version,
    message_ends_as,
    restrict_to_destinations,
    restrict_to_messages,
    violates_invariant,
)
from kestreltrack.capture.what_if import OtherVersion, compare_capture
from kestreltrack.decision import (
    AttemptEnded,
    FailMessage,
    MessageArrived,
    Outcome,
    Policy,
    RejectMessage,
    endpoint_selection,
)


@pytest.fixture
def captured_input(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> CapturedInput:
    return extract_input(capture_files([capture(tmp_path / "a", monkeypatch, 10**9)]))


def test_a_resimulated_capture_ends_as_captured_and_replays(
    captured_input: CapturedInput, tmp_path: Path
) -> None:
    resimulation = resimulate(captured_input)
    file = tmp_path / "resimulated.ktc"
    resimulation.write_capture(file)
    result = replay([file])
    assert result.identical()
    assert not result.faults
    assert result.events["Arrived"] == 61
    outcomes = [step for _, step in resimulation.steps if isinstance(step, AttemptEnded)]
    ended = [outcome.id for outcome in outcomes if outcome.final]
    given_up = [
        action.id
        for _, action in resimulation.timed_actions()
        if isinstance(action, RejectMessage | FailMessage)
    ]
    assert sorted(ended + given_up) == sorted(captured_input.message_ids()), (
        "each message has one final answer"
    )
    rejections = [
        (outcome.id, outcome.retry_after_ms) for outcome in outcomes if outcome.outcome is Outcome.REJECTED
    ]
    assert rejections == [("m21", 300.0)], "the outcomes are those of the capture"


def test_a_reduced_input_can_be_resimulated(captured_input: CapturedInput) -> None:
    one_destination = restrict_to_destinations(captured_input, [1])
    assert one_destination.destinations() == [1]
    arrivals = [event for _, event in one_destination.external_events if isinstance(event, MessageArrived)]
    assert {arrival.dest for arrival in arrivals} == {1}
    two_messages = restrict_to_messages(captured_input, ["m1", "m21"])
    assert two_messages.message_ids() == ["m1", "m21"]
    for reduced in (one_destination, two_messages):
        resimulation = resimulate(reduced)
        outcomes = [step for _, step in resimulation.steps if isinstance(step, AttemptEnded)]
        assert {outcome.id for outcome in outcomes if outcome.final} <= set(reduced.message_ids())


def test_an_input_can_start_with_calls_in_flight(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    files = capture_files([capture(tmp_path / "a", monkeypatch, 50)])
    late = extract_input(files, since="1s")
    assert late.initial_state.messages
    assert late.start_clock > 800
    one_destination = restrict_to_destinations(late, [1])
    assert {message.dest for message in one_destination.initial_state.messages} <= {1}
    assert {dest.number for dest in one_destination.initial_state.dests} == {1}
    for reduced in (late, one_destination):
        resimulate(reduced)


@given(st.lists(st.integers(0, 60), unique=True, min_size=1, max_size=40), st.data())
def test_ddmin_keeps_exactly_what_is_needed(items: list[int], data: st.DataObject) -> None:
    needed = data.draw(st.sets(st.sampled_from(items)))
    assert set(ddmin(items, lambda kept: needed <= set(kept))) == needed


def test_the_end_of_a_message_shrinks_to_that_message(captured_input: CapturedInput) -> None:
    # m42 arrives after the only endpoint of its destination began to drain.
    holds = message_ends_as("m42", "refused")
    result = Shrinker(holds, 500, 60.0).shrink(captured_input)
    assert result.complete
    assert result.captured_input.message_ids() == ["m42"]
    assert result.size_after[0] <= 2
    assert holds(result.resimulation)
    assert result.size_after[2] < result.size_before[2]


def test_a_difference_between_versions_shrinks_to_the_messages_that_show_it(
    captured_input: CapturedInput, tmp_path: Path
) -> None:
    other = OtherVersion(copy_version(tmp_path / "v", "FIRST_PAUSE_MS = 250.0", "FIRST_PAUSE_MS = 900.0"))
    holds = differs_from_version(
        tmp_path / "candidate.ktc", lambda file: not compare_capture(CaptureFiles([file]), other).identical()
    )
    result = Shrinker(holds, 500, 60.0).shrink(captured_input)
    message_ids = result.captured_input.message_ids()
    assert len(message_ids) <= 2
    assert "m21" in message_ids, "the message that received a retry-after"
    small = tmp_path / "small.ktc"
    result.resimulation.write_capture(small)
    assert replay([small]).identical()
    assert not compare_capture(CaptureFiles([small]), other).identical()


def test_a_violated_invariant_shrinks_to_the_messages_that_show_it(
    captured_input: CapturedInput, monkeypatch: pytest.MonkeyPatch
) -> None:
    holds = violates_invariant("before a retry-after")
    with pytest.raises(PropertyNotShownError):
        Shrinker(holds, 50, 60.0).shrink(captured_input)
    monkeypatch.setattr(endpoint_selection, "blocking_rule", lambda limits, now: "")
    monkeypatch.setattr(endpoint_selection, "is_ready", lambda endpoint, now: endpoint.accepts_calls)
    result = Shrinker(holds, 500, 60.0).shrink(captured_input)
    message_ids = result.captured_input.message_ids()
    assert "m21" in message_ids
    assert len(message_ids) <= 2
    assert result.captured_input.destinations() == [1]


def test_a_limit_of_runs_ends_with_the_smallest_input_so_far(captured_input: CapturedInput) -> None:
    holds = message_ends_as("m42", "refused")
    result = Shrinker(holds, 4, 60.0).shrink(captured_input)
    assert not result.complete
    assert result.runs <= 4
    assert holds(result.resimulation)


def test_a_capture_is_rejected_if_the_decision_module_diverges_from_it(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(Policy, "blocking_rule", lambda self, dest: "cap")
    with pytest.raises(ResimulationError, match="the running decision module differs from the captured one"):
        extract_input([FOLDER / "drain.ktc"])


def test_the_shrink_command_writes_a_small_capture_and_rejects_wrong_properties(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    folder = str(capture(tmp_path / "a", monkeypatch, 10**9))
    out = tmp_path / "small.ktc"
    code, printed, _ = run_command(
        "capture", "shrink", folder, "--shows", "end:m42=refused", "--out", str(out), "--json"
    )
    assert code == 0
    assert json.loads(printed)["after"]["messages"] == 1
    assert replay([out]).identical()
    for shows, expected_code, expected_error in (
        ("end:m42=lost", 2, "expected end:ID=WORD"),
        ("end:m99=refused", 1, "the complete input, resimulated, does not show the property"),
        ("rule:two attempts", 1, "the complete input, resimulated, does not show the property"),
        ("x", 2, "expected end:ID=WORD"),
    ):
        code, _, err = run_command("capture", "shrink", folder, "--shows", shows, "--out", str(out))
        assert code == expected_code
        assert expected_error in err
