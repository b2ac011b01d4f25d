"""Resimulation of a capture, whole and in part, and its reduction to an input that still shows a property."""

from __future__ import annotations

import json
from pathlib import Path

import pytest
from captures.scripts import FOLDER
from hypothesis import given
from hypothesis import strategies as st
from test_against import version
from test_explain import capture, run_command

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
    file = tmp_path / "anew.ktc"
    resimulation.write_capture(file)
    done = replay([file])
    assert done.identical() and not done.faults and done.events["Arrived"] == 61
    ended = [what.id for _, what in resimulation.steps if isinstance(what, AttemptEnded) and what.final]
    given_up = [a.id for _, a in resimulation.timed_actions() if isinstance(a, RejectMessage | FailMessage)]
    assert sorted(ended + given_up) == sorted(captured_input.message_ids()), (
        "each message has one final answer"
    )
    refused = [
        w for _, w in resimulation.steps if isinstance(w, AttemptEnded) and w.outcome is Outcome.REJECTED
    ]
    assert [(w.id, w.retry_after_ms) for w in refused] == [("m21", 300.0)], "answers are those of the capture"


def test_a_part_of_an_input_can_be_resimulated(captured_input: CapturedInput) -> None:
    one = restrict_to_destinations(captured_input, [1])
    assert one.destinations() == [1] and {
        e.dest for _, e in one.external_events if isinstance(e, MessageArrived)
    } == {1}
    few = restrict_to_messages(captured_input, ["m1", "m21"])
    assert few.message_ids() == ["m1", "m21"]
    for part in (one, few):
        resimulation = resimulate(part)
        assert {w.id for _, w in resimulation.steps if isinstance(w, AttemptEnded) and w.final} <= set(
            part.message_ids()
        )


def test_an_input_may_begin_with_calls_in_flight(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    files = capture_files([capture(tmp_path / "a", monkeypatch, 50)])
    late = extract_input(files, since="1s")
    assert late.initial_state.messages and late.start_clock > 800
    one = restrict_to_destinations(late, [1])
    assert {m.dest for m in one.initial_state.messages} <= {1} and {
        d.number for d in one.initial_state.dests
    } == {1}
    for part in (late, one):
        resimulate(part)


@given(st.lists(st.integers(0, 60), unique=True, min_size=1, max_size=40), st.data())
def test_ddmin_keeps_exactly_what_is_needed(items: list[int], data: st.DataObject) -> None:
    needed = data.draw(st.sets(st.sampled_from(items)))
    assert set(ddmin(items, lambda kept: needed <= set(kept))) == needed


def test_the_end_of_a_message_shrinks_to_that_message(captured_input: CapturedInput) -> None:
    # m42 arrives after the only endpoint of its destination began to drain.
    shows = message_ends_as("m42", "refused")
    found = Shrinker(shows, 500, 60.0).shrink(captured_input)
    assert (
        found.complete
        and found.captured_input.message_ids() == ["m42"]
        and found.size_after[0] <= 2
        and shows(found.resimulation)
    )
    assert found.size_after[2] < found.size_before[2]


def test_a_difference_between_versions_shrinks_to_the_messages_that_show_it(
    captured_input: CapturedInput, tmp_path: Path
) -> None:
    other = OtherVersion(version(tmp_path / "v", "FIRST_PAUSE_MS = 250.0", "FIRST_PAUSE_MS = 900.0"))
    shows = differs_from_version(
        tmp_path / "tried.ktc", lambda file: not compare_capture(CaptureFiles([file]), other).identical()
    )
    found = Shrinker(shows, 500, 60.0).shrink(captured_input)
    assert len(found.captured_input.message_ids()) <= 2 and "m21" in found.captured_input.message_ids(), (
        "the one that was told to wait"
    )
    found.resimulation.write_capture(tmp_path / "small.ktc")
    assert replay([tmp_path / "small.ktc"]).identical()
    assert not compare_capture(CaptureFiles([tmp_path / "small.ktc"]), other).identical()


def test_a_violated_invariant_shrinks_to_the_messages_that_show_it(
    captured_input: CapturedInput, monkeypatch: pytest.MonkeyPatch
) -> None:
    shows = violates_invariant("before a retry-after")
    with pytest.raises(PropertyNotShownError):
        Shrinker(shows, 50, 60.0).shrink(captured_input)
    monkeypatch.setattr(endpoint_selection, "blocking_rule", lambda limits, now: "")
    monkeypatch.setattr(endpoint_selection, "is_ready", lambda endpoint, now: endpoint.accepts_calls)
    found = Shrinker(shows, 500, 60.0).shrink(captured_input)
    assert (
        "m21" in found.captured_input.message_ids()
        and len(found.captured_input.message_ids()) <= 2
        and found.captured_input.destinations() == [1]
    )


def test_a_limit_of_runs_ends_with_the_smallest_input_so_far(captured_input: CapturedInput) -> None:
    found = Shrinker(message_ends_as("m42", "refused"), 4, 60.0).shrink(captured_input)
    assert not found.complete and found.runs <= 4 and message_ends_as("m42", "refused")(found.resimulation)


def test_a_capture_that_the_module_decides_otherwise_is_rejected(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(Policy, "blocking_rule", lambda self, dest: "cap")
    with pytest.raises(ResimulationError, match="does not do as captured"):
        extract_input([FOLDER / "drain.ktc"])


def test_the_shrink_command_writes_a_small_capture_and_rejects_wrong_properties(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    place, out = str(capture(tmp_path / "a", monkeypatch, 10**9)), tmp_path / "small.ktc"
    code, told, _ = run_command(
        "capture", "shrink", place, "--shows", "end:m42=refused", "--out", str(out), "--json"
    )
    assert code == 0 and json.loads(told)["after"]["messages"] == 1 and replay([out]).identical()
    for shows, expected, words in (
        ("end:m42=lost", 2, "expected end:ID=WORD"),
        ("end:m99=refused", 1, "does not show it"),
        ("rule:two attempts", 1, "does not show it"),
        ("x", 2, "expected end:ID=WORD"),
    ):
        code, _, err = run_command("capture", "shrink", place, "--shows", shows, "--out", str(out))
        assert code == expected and words in err
