"""Sites for the bench, built from overlays: an overlay replaces values of the base site and cannot add keys."""

from __future__ import annotations

import subprocess
import sys
import tomllib
from pathlib import Path
from typing import Any

import pytest

ROOT = Path(__file__).parent.parent
BASE_SITE = """
name = "given"
wire = "wire.json"

[goal]
whole = 0.75
worst = 0.25

[[tier]]
name = "first"

[tier.conn]
streams = 8

[[tier.kind]]
name = "large"
share = 1

[[tier.kind]]
name = "small"
share = 4
drops = true

[[class]]
name = "note"
aim_ms = 1000
effect = "keyed"
window_ms = 9000

[[class]]
name = "charge"
aim_ms = 2000
effect = "unsafe"
"""


def run_build(tmp_path: Path, overlay: str) -> subprocess.CompletedProcess[str]:
    """Run the build command on the small base site and one overlay."""
    given = tmp_path / "given"
    overlays = tmp_path / "overlays"
    given.mkdir()
    overlays.mkdir()
    (given / "site.toml").write_text(BASE_SITE)
    for name in ("real.json", "wire.json", "unlock.txt"):
        (given / name).write_text(name)
    (overlays / "mine.toml").write_text(overlay)
    options: list[str | Path] = [given / "site.toml", "--overlays", overlays, "--out", tmp_path]
    command = [sys.executable, ROOT / "deploy/sites/build.py", *options]
    return subprocess.run(command, capture_output=True, text=True, check=False)


def build_site(tmp_path: Path, overlay: str) -> dict[str, Any]:
    process = run_build(tmp_path, overlay)
    assert process.returncode == 0, process.stderr
    return tomllib.loads((tmp_path / "mine.toml").read_text())


def test_overlay_changes_only_the_values_that_it_names(tmp_path: Path) -> None:
    built = build_site(
        tmp_path,
        'name = "mine"\n[goal]\nworst = 0.5\n[tier.first.conn]\nstreams = 1\n'
        '[tier.first.kind.large]\nname = "port \\"A\\""\ndrops = false\n',
    )
    expected = tomllib.loads(BASE_SITE)
    expected["name"] = "mine"
    expected["goal"]["worst"] = 0.5
    expected["tier"][0]["conn"]["streams"] = 1
    # In the base site, only the other kind has `drops`.
    expected["tier"][0]["kind"][0] |= {"name": 'port "A"', "drops": False}
    assert built == expected
    for name in ("real.json", "wire.json", "unlock.txt"):
        assert (tmp_path / name).read_text() == name, "the bench needs the files beside the site"


def test_list_of_tables_replaces_the_complete_list(tmp_path: Path) -> None:
    rows = '[[class]]\nname = "a"\naim_ms = 5\neffect = "safe"\n[[class]]\nname = "b"\nwindow_ms = 1000\n'
    built = build_site(tmp_path, rows)
    assert built["class"] == [
        {"name": "a", "aim_ms": 5, "effect": "safe"},
        {"name": "b", "window_ms": 1000},
    ]
    assert {key: value for key, value in built.items() if key != "class"} == {
        key: value for key, value in tomllib.loads(BASE_SITE).items() if key != "class"
    }


@pytest.mark.parametrize(
    ("overlay", "rejected_key"),
    [
        ("nmae = 'mine'", "nmae"),
        ("[goal]\nwholly = 1", "goal.wholly"),
        ("[[class]]\nname = 'a'\naim = 5", "class.aim"),
        ("[class.note]\naim = 5", "class.note.aim"),
        ("[class]\nnote = 5", "class.note"),
        ("[tier.second.conn]\nstreams = 1", "tier.second"),
        ("[tier.first.kind.large]\nshares = 1", "tier.first.kind.large.shares"),
        ("goal = 1", "goal"),
        ("[name]\nx = 1", "name"),
        ("[[goal]]\nwhole = 1", "goal"),
        ("class = 1", "class"),
        ("class = [1]", "class"),
        ("name =", "mine.toml"),
    ],
)
def test_overlay_that_does_not_fit_the_base_site_is_rejected_by_key(
    tmp_path: Path, overlay: str, rejected_key: str
) -> None:
    process = run_build(tmp_path, overlay)
    assert process.returncode == 2
    assert process.stderr.startswith("mine.toml: ")
    assert rejected_key in process.stderr
    assert len(process.stderr.splitlines()) == 1
    assert not (tmp_path / "mine.toml").exists(), "a rejected overlay must leave no site"


def test_stored_overlays_are_valid_toml_and_named_after_their_file() -> None:
    overlays = sorted((ROOT / "deploy/sites/overlays").glob("*.toml"))
    assert len(overlays) >= 2
    for file in overlays:
        assert tomllib.loads(file.read_text())["name"] == file.stem
