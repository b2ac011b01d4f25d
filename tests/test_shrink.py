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

from kestreltrack.capture.against import Other, compare
from kestreltrack.capture.reader import files_of
from kestreltrack.capture.replay import replay
from kestreltrack.capture.rerun import CannotRerun, Day, day, rerun
from kestreltrack.capture.shrink import (
    NotShown,
    Shrinker,
    breaks,
    ddmin,
    end_of,
    only_dests,
    only_ids,
    parts_from,
)
from kestreltrack.capture.walk import Tape
from kestreltrack.decision import Policy, api
from kestreltrack.decision.policy import Endpoint, Guard


@pytest.fixture
def whole(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> Day:
    return day(files_of([capture(tmp_path / "a", monkeypatch, 10**9)]))


def test_a_day_played_anew_ends_as_it_did_and_replays(whole: Day, tmp_path: Path) -> None:
    played = rerun(whole)
    file = tmp_path / "anew.ktc"
    played.keep(file)
    done = replay([file])
    assert done.identical() and not done.faults and done.events["Arrived"] == 61
    ended = [what.id for _, what in played.steps if isinstance(what, api.Ended) and what.over]
    given_up = [a.id for _, a in played.answers() if isinstance(a, api.Refuse | api.Fail)]
    assert sorted(ended + given_up) == sorted(whole.ids()), "each message has its end, just one"
    refused = [w for _, w in played.steps if isinstance(w, api.Ended) and w.outcome is api.Outcome.REFUSED]
    assert [(w.id, w.wait_ms) for w in refused] == [("m21", 300.0)], "answers are those of the capture"


def test_part_of_a_day_is_a_day(whole: Day) -> None:
    one = only_dests(whole, [1])
    assert one.dests() == [1] and {e.dest for _, e in one.outside if isinstance(e, api.Arrived)} == {1}
    few = only_ids(whole, ["m1", "m21"])
    assert few.ids() == ["m1", "m21"]
    for part in (one, few):
        played = rerun(part)
        assert {w.id for _, w in played.steps if isinstance(w, api.Ended) and w.over} <= set(part.ids())


def test_a_day_may_begin_in_the_midst_of_calls(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    files = files_of([capture(tmp_path / "a", monkeypatch, 50)])
    late = day(files, since="1s")
    assert late.state.messages and late.clock > 800
    one = only_dests(late, [1])
    assert {m.dest for m in one.state.messages} <= {1} and {d.number for d in one.state.dests} == {1}
    for part in (late, one):
        rerun(part)


@given(st.lists(st.integers(0, 60), unique=True, min_size=1, max_size=40), st.data())
def test_ddmin_keeps_what_is_needed_and_nothing_else(items: list[int], data: st.DataObject) -> None:
    needed = data.draw(st.sets(st.sampled_from(items)))
    assert set(ddmin(items, lambda kept: needed <= set(kept))) == needed


def test_a_message_that_was_refused_is_enough_for_its_end(whole: Day) -> None:
    # m42 and the others behind the drain of its destination's only endpoint wait in vain.
    shows = end_of("m42", "refused")
    found = Shrinker(shows, 500, 60.0).shrink(whole)
    assert found.whole and found.day.ids() == ["m42"] and found.after[0] <= 2 and shows(found.played)
    assert found.after[2] < found.before[2]


def test_a_divergence_is_shrunk_to_what_shows_it(whole: Day, tmp_path: Path) -> None:
    other = Other(version(tmp_path / "v", "PAUSE_MS = 250.0", "PAUSE_MS = 900.0"))
    shows = parts_from(tmp_path / "tried.ktc", lambda file: not compare(Tape([file]), other).alike())
    found = Shrinker(shows, 500, 60.0).shrink(whole)
    assert len(found.day.ids()) <= 2 and "m21" in found.day.ids(), "the one that was told to wait"
    found.played.keep(tmp_path / "small.ktc")
    assert replay([tmp_path / "small.ktc"]).identical()
    assert not compare(Tape([tmp_path / "small.ktc"]), other).alike()


def test_a_broken_rule_is_found_and_shrunk(whole: Day, monkeypatch: pytest.MonkeyPatch) -> None:
    shows = breaks("before a wait")
    with pytest.raises(NotShown):
        Shrinker(shows, 50, 60.0).shrink(whole)
    monkeypatch.setattr(Guard, "bar", lambda self, now: "")
    monkeypatch.setattr(Endpoint, "ready", lambda self, now: self.up)
    found = Shrinker(shows, 500, 60.0).shrink(whole)
    assert "m21" in found.day.ids() and len(found.day.ids()) <= 2 and found.day.dests() == [1]


def test_a_limit_ends_it_with_what_it_has(whole: Day) -> None:
    found = Shrinker(end_of("m42", "refused"), 4, 60.0).shrink(whole)
    assert not found.whole and found.runs <= 4 and end_of("m42", "refused")(found.played)


def test_a_module_that_does_otherwise_cannot_be_taken_apart(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(Policy, "bar", lambda self, dest: "cap")
    with pytest.raises(CannotRerun, match="does not do as captured"):
        day([FOLDER / "drain.ktc"])


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
