"""Captures of past failures: a replay gives the recorded actions, and each capture still shows its property."""

from __future__ import annotations

from pathlib import Path
from typing import Any

import pytest
from captures.scripts import FOLDER, SCRIPTS, answers, make

from kestreltrack.capture.replay import replay
from kestreltrack.decision import circuit_breaker, endpoint_selection, evidence, message_rules
from kestreltrack.decision.records import CallLimits


@pytest.mark.parametrize("name", SCRIPTS)
def test_a_replayed_capture_gives_the_recorded_actions_and_keeps_its_property(name: str) -> None:
    file = FOLDER / f"{name}.ktc"
    result = replay([file])
    assert result.identical() and not result.faults and result.compared > 1, (
        "run `make bless` if this change is intended"
    )
    assert SCRIPTS[name].holds(answers(file)), SCRIPTS[name].guards
    assert not SCRIPTS[name].holds([]), "the property must not hold for an empty list of answers"


def test_each_capture_has_a_script_and_each_script_a_capture() -> None:
    assert {file.stem for file in FOLDER.glob("*.ktc")} == set(SCRIPTS)


DEFECTS: dict[str, tuple[Any, str, Any]] = {
    "wait-forgotten": (CallLimits, "retry_after_active", lambda self, now: False),
    "late-end": (message_rules, "GIVE_UP_MS", -100.0),
    "time-outs": (evidence, "LATENCY_WEIGHT", 0.0),
    "dead-destination": (circuit_breaker, "MAX_PAUSE_MS", 60_000.0),
    "drain": (endpoint_selection, "is_ready", lambda endpoint, now: True),
    "doubt": (message_rules, "must_not_repeat", lambda message: False),
}


@pytest.mark.parametrize("name", DEFECTS)
def test_an_injected_defect_changes_the_replay_and_breaks_the_property(
    name: str, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    owner, attribute, value = DEFECTS[name]
    monkeypatch.setattr(owner, attribute, value)
    assert not replay([FOLDER / f"{name}.ktc"]).identical()
    assert not SCRIPTS[name].holds(answers(make(name, tmp_path)))
