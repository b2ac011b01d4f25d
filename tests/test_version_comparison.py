"""Comparisons of the current decision module with another version of it on a captured input."""

from __future__ import annotations

import json
import shutil
from pathlib import Path

import pytest
from captures.scripts import FOLDER
from test_explain import capture, run_command

import kestreltrack
from kestreltrack.capture.reader import capture_files
from kestreltrack.capture.what_if import OtherVersion, VersionLoadError, compare_files
from kestreltrack.decision import circuit_breaker

PACKAGE_FOLDER = Path(str(kestreltrack.__file__)).parent


def copy_version(folder: Path, old: str = "", new: str = "") -> str:
    """Copy the decision module into a folder, replace `old` by `new` in the one file that contains it."""
    shutil.copytree(PACKAGE_FOLDER / "decision", folder / "decision")
    if old:
        (source,) = (file for file in (folder / "decision").glob("*.py") if old in file.read_text())
        source.write_text(source.read_text().replace(old, new))
    return str(folder)


def test_an_unchanged_copy_decides_identically(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    folder = capture(tmp_path / "a", monkeypatch, 50)
    comparison = compare_files(capture_files([folder]), copy_version(tmp_path / "v"))
    assert comparison.identical()
    assert comparison.comparable == comparison.same > 200
    assert comparison.segments == 1
    assert not comparison.incomparable


def test_a_changed_version_differs_and_is_comparable_again_from_the_next_checkpoint(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    folder = capture(tmp_path / "a", monkeypatch, 50)
    without_retry_after = copy_version(
        tmp_path / "v",
        "return now < max(self.retry_after_until, self.destination.retry_after_until)",
        "return False",
    )
    longer_pause = copy_version(tmp_path / "w", "FIRST_PAUSE_MS = 250.0", "FIRST_PAUSE_MS = 900.0")
    comparison = compare_files(capture_files([folder]), longer_pause)
    assert not comparison.identical()
    assert comparison.differences
    assert comparison.incomparable > 0
    assert comparison.segments == 1 + len(comparison.differences), (
        "the other version is restored at the next checkpoint after each difference"
    )
    assert comparison.same + len(comparison.differences) == comparison.comparable
    assert "Send" in " ".join(comparison.difference_kinds)
    assert comparison.incomparable_actions
    assert compare_files(capture_files([folder]), without_retry_after).identical(), (
        "no endpoint is removed and returns in this capture"
    )


def test_loading_another_version_leaves_the_current_one_unchanged(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    before = circuit_breaker.FIRST_PAUSE_MS
    OtherVersion(copy_version(tmp_path / "v", "FIRST_PAUSE_MS = 250.0", "FIRST_PAUSE_MS = 1.0"))
    assert before == circuit_breaker.FIRST_PAUSE_MS


def test_an_attribute_that_the_captured_state_lacks_is_reported(tmp_path: Path) -> None:
    for number, old in enumerate(
        (
            "        self.sequence = 0\n",
            "        self.trial_call: Call | None = None\n",
            "        self.retry_after_until = NEVER\n        self.breaker = CircuitBreaker()\n",
            "        self.attempts = dict[str, int]()\n",
        )
    ):
        new = f"{old}        self.novel = 1\n"
        other = copy_version(tmp_path / str(number), old, new)
        with pytest.raises(VersionLoadError, match="attributes missing from the captured state: novel"):
            compare_files([FOLDER / "restart-trial.ktc"], other)


@pytest.mark.parametrize(
    "source, expected_error",
    [
        ("nowhere-at-all", "not a folder, and no commit with the decision module"),
        ("-x", "not a folder, and not a valid name of a commit"),
        ("a;b", "not a folder, and not a valid name of a commit"),
    ],
)
def test_an_invalid_version_is_rejected(source: str, expected_error: str) -> None:
    code, _, err = run_command("replay", str(FOLDER / "doubt.ktc"), "--against", source)
    assert code == 2
    assert expected_error in err


def test_a_folder_that_cannot_be_loaded_is_rejected(tmp_path: Path) -> None:
    with pytest.raises(VersionLoadError, match=r"the folder contains no decision/policy\.py"):
        OtherVersion(str(tmp_path))
    with pytest.raises(VersionLoadError, match="cannot be loaded"):
        OtherVersion(copy_version(tmp_path / "v", "import heapq", "import heapq, no_such_module"))


def test_the_replay_command_prints_the_comparison_and_exits_1_if_decisions_differ(tmp_path: Path) -> None:
    file = str(FOLDER / "dead-destination.ktc")
    code, out, _ = run_command("replay", file, "--against", copy_version(tmp_path / "v"), "--json")
    assert code == 0
    assert json.loads(out)["alike"]
    longer_pause = copy_version(tmp_path / "w", "MAX_PAUSE_MS = 1000.0", "MAX_PAUSE_MS = 60000.0")
    code, out, _ = run_command("replay", file, "--against", longer_pause, "--json")
    document = json.loads(out)
    assert code == 1
    assert not document["alike"]
    assert document["partings"][0]["was"] != document["partings"][0]["would"]
    code, out, _ = run_command("replay", file, "--against", longer_pause)
    assert code == 1
    assert "not comparable" in out
    assert "would be" in out
