"""A day played anew, and what is left of it where only a property has to stay."""

from __future__ import annotations

import json
from pathlib import Path

import pytest
from captures.scripts import FOLDER
from hypothesis import given
from hypothesis import strategies as st
from test_against import version
from test_explain import capture, said

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
def whole(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> CapturedInput:
    return extract_input(capture_files([capture(tmp_path / "a", monkeypatch, 10**9)]))


def test_a_day_played_anew_ends_as_it_did_and_replays(whole: CapturedInput, tmp_path: Path) -> None:
    played = resimulate(whole)
    file = tmp_path / "anew.ktc"
    played.write_capture(file)
    done = replay([file])
    assert done.identical() and not done.faults and done.events["Arrived"] == 61
    ended = [what.id for _, what in played.steps if isinstance(what, AttemptEnded) and what.final]
    given_up = [a.id for _, a in played.timed_actions() if isinstance(a, RejectMessage | FailMessage)]
    assert sorted(ended + given_up) == sorted(whole.message_ids()), "each message has its end, just one"
    refused = [w for _, w in played.steps if isinstance(w, AttemptEnded) and w.outcome is Outcome.REJECTED]
    assert [(w.id, w.retry_after_ms) for w in refused] == [("m21", 300.0)], "answers are those of the capture"


def test_part_of_a_day_is_a_day(whole: CapturedInput) -> None:
    one = restrict_to_destinations(whole, [1])
    assert one.destinations() == [1] and {
        e.dest for _, e in one.external_events if isinstance(e, MessageArrived)
    } == {1}
    few = restrict_to_messages(whole, ["m1", "m21"])
    assert few.message_ids() == ["m1", "m21"]
    for part in (one, few):
        played = resimulate(part)
        assert {w.id for _, w in played.steps if isinstance(w, AttemptEnded) and w.final} <= set(
            part.message_ids()
        )


def test_a_day_may_begin_in_the_midst_of_calls(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
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
def test_ddmin_keeps_what_is_needed_and_nothing_else(items: list[int], data: st.DataObject) -> None:
    needed = data.draw(st.sets(st.sampled_from(items)))
    assert set(ddmin(items, lambda kept: needed <= set(kept))) == needed


def test_a_message_that_was_refused_is_enough_for_its_end(whole: CapturedInput) -> None:
    # m42 and the others behind the drain of its destination's only endpoint wait in vain.
    shows = message_ends_as("m42", "refused")
    found = Shrinker(shows, 500, 60.0).shrink(whole)
    assert (
        found.complete
        and found.captured_input.message_ids() == ["m42"]
        and found.size_after[0] <= 2
        and shows(found.resimulation)
    )
    assert found.size_after[2] < found.size_before[2]


def test_a_divergence_is_shrunk_to_what_shows_it(whole: CapturedInput, tmp_path: Path) -> None:
    other = OtherVersion(version(tmp_path / "v", "FIRST_PAUSE_MS = 250.0", "FIRST_PAUSE_MS = 900.0"))
    shows = differs_from_version(
        tmp_path / "tried.ktc", lambda file: not compare_capture(CaptureFiles([file]), other).identical()
    )
    found = Shrinker(shows, 500, 60.0).shrink(whole)
    assert len(found.captured_input.message_ids()) <= 2 and "m21" in found.captured_input.message_ids(), (
        "the one that was told to wait"
    )
    found.resimulation.write_capture(tmp_path / "small.ktc")
    assert replay([tmp_path / "small.ktc"]).identical()
    assert not compare_capture(CaptureFiles([tmp_path / "small.ktc"]), other).identical()


def test_a_broken_rule_is_found_and_shrunk(whole: CapturedInput, monkeypatch: pytest.MonkeyPatch) -> None:
    shows = violates_invariant("before a wait")
    with pytest.raises(PropertyNotShownError):
        Shrinker(shows, 50, 60.0).shrink(whole)
    monkeypatch.setattr(endpoint_selection, "blocking_rule", lambda limits, now: "")
    monkeypatch.setattr(endpoint_selection, "is_ready", lambda endpoint, now: endpoint.accepts_calls)
    found = Shrinker(shows, 500, 60.0).shrink(whole)
    assert (
        "m21" in found.captured_input.message_ids()
        and len(found.captured_input.message_ids()) <= 2
        and found.captured_input.destinations() == [1]
    )


def test_a_limit_ends_it_with_what_it_has(whole: CapturedInput) -> None:
    found = Shrinker(message_ends_as("m42", "refused"), 4, 60.0).shrink(whole)
    assert not found.complete and found.runs <= 4 and message_ends_as("m42", "refused")(found.resimulation)


def test_a_module_that_does_otherwise_cannot_be_taken_apart(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(Policy, "blocking_rule", lambda self, dest: "cap")
    with pytest.raises(ResimulationError, match="does not do as captured"):
        extract_input([FOLDER / "drain.ktc"])


def test_the_command(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    place, out = str(capture(tmp_path / "a", monkeypatch, 10**9)), tmp_path / "small.ktc"
    code, told, _ = said(
        "capture", "shrink", place, "--shows", "end:m42=refused", "--out", str(out), "--json"
    )
    assert code == 0 and json.loads(told)["after"]["messages"] == 1 and replay([out]).identical()
    for shows, expected, words in (
        ("end:m42=lost", 2, "expected end:ID=WORD"),
        ("end:m99=refused", 1, "does not show it"),
        ("rule:two attempts", 1, "does not show it"),
        ("x", 2, "expected end:ID=WORD"),
    ):
        code, _, err = said("capture", "shrink", place, "--shows", shows, "--out", str(out))
        assert code == expected and words in err
