"""Another version of the module on a captured input: where it parts, and what is comparable still."""

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

HERE = Path(str(kestreltrack.__file__)).parent


def version(folder: Path, old: str = "", new: str = "") -> str:
    """A copy of the module's folder, with something in it changed."""
    shutil.copytree(HERE / "decision", folder / "decision")
    if old:
        (source,) = (file for file in (folder / "decision").glob("*.py") if old in file.read_text())
        source.write_text(source.read_text().replace(old, new))
    return str(folder)


def test_the_same_version_is_alike(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    place = capture(tmp_path / "a", monkeypatch, 50)
    found = compare_files(capture_files([place]), version(tmp_path / "v"))
    assert (
        found.identical()
        and found.comparable == found.same > 200
        and found.stretches == 1
        and not found.incomparable
    )


def test_another_version_parts_and_is_comparable_again_from_the_next_checkpoint(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    place = capture(tmp_path / "a", monkeypatch, 50)
    where = version(
        tmp_path / "v",
        "return now < max(self.retry_after_until, self.destination.retry_after_until)",
        "return False",
    )
    other = version(tmp_path / "w", "FIRST_PAUSE_MS = 250.0", "FIRST_PAUSE_MS = 900.0")
    found = compare_files(capture_files([place]), other)
    assert not found.identical() and found.partings and found.incomparable > 0
    assert found.stretches == 1 + len(found.partings), (
        "taken up again at the next checkpoint after each parting"
    )
    assert found.same + len(found.partings) == found.comparable
    assert "Send" in " ".join(found.kinds) and found.after
    assert compare_files(capture_files([place]), where).identical(), (
        "no endpoint goes and comes back in this capture"
    )


def test_the_present_module_stays_what_it_is(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    before = circuit_breaker.FIRST_PAUSE_MS
    OtherVersion(version(tmp_path / "v", "FIRST_PAUSE_MS = 250.0", "FIRST_PAUSE_MS = 1.0"))
    assert before == circuit_breaker.FIRST_PAUSE_MS


def test_a_state_that_does_not_fit_is_told(tmp_path: Path) -> None:
    for n, old in enumerate(
        (
            "        self.sequence = 0\n",
            "        self.trial_call: Call | None = None\n",
            "        self.retry_after_until = NEVER\n        self.breaker = CircuitBreaker()\n",
            "        self.attempts = dict[str, int]()\n",
        )
    ):
        new = f"{old}        self.novel = 1\n"
        where = version(tmp_path / str(n), old, new)
        with pytest.raises(VersionLoadError, match="lacks its novel"):
            compare_files([FOLDER / "restart-trial.ktc"], where)


@pytest.mark.parametrize(
    "where, words",
    [
        ("nowhere-at-all", "neither a folder nor a commit"),
        ("-x", "neither a folder"),
        ("a;b", "neither a folder"),
    ],
)
def test_what_is_no_version_is_told(where: str, words: str) -> None:
    code, _, err = run_command("replay", str(FOLDER / "doubt.ktc"), "--against", where)
    assert code == 2 and words in err


def test_a_folder_that_cannot_be_loaded_is_told(tmp_path: Path) -> None:
    with pytest.raises(VersionLoadError, match=r"no decision/policy\.py"):
        OtherVersion(str(tmp_path))
    with pytest.raises(VersionLoadError, match="cannot be loaded"):
        OtherVersion(version(tmp_path / "v", "import heapq", "import heapq, no_such_module"))


def test_the_command(tmp_path: Path) -> None:
    file = str(FOLDER / "dead-destination.ktc")
    code, out, _ = run_command("replay", file, "--against", version(tmp_path / "v"), "--json")
    assert code == 0 and json.loads(out)["alike"]
    slow = version(tmp_path / "w", "MAX_PAUSE_MS = 1000.0", "MAX_PAUSE_MS = 60000.0")
    code, out, _ = run_command("replay", file, "--against", slow, "--json")
    found = json.loads(out)
    assert code == 1 and not found["alike"] and found["partings"][0]["was"] != found["partings"][0]["would"]
    code, out, _ = run_command("replay", file, "--against", slow)
    assert code == 1 and "not comparable" in out and "would be" in out
