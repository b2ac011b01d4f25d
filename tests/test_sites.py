"""Sites for the bench from overlays: the overlay's values, all else as it was, and no key that the site lacks."""

from __future__ import annotations

import subprocess
import sys
import tomllib
from pathlib import Path
from typing import Any

import pytest

ROOT = Path(__file__).parent.parent
SITE = """
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


def built(tmp_path: Path, overlay: str) -> subprocess.CompletedProcess[str]:
    """The command of `make sites` on the small site and one overlay."""
    given, overlays = tmp_path / "given", tmp_path / "overlays"
    given.mkdir()
    overlays.mkdir()
    (given / "site.toml").write_text(SITE)
    for name in ("real.json", "wire.json", "unlock.txt"):
        (given / name).write_text(name)
    (overlays / "mine.toml").write_text(overlay)
    options: list[str | Path] = [given / "site.toml", "--overlays", overlays, "--out", tmp_path]
    command = [sys.executable, ROOT / "deploy/sites/build.py", *options]
    return subprocess.run(command, capture_output=True, text=True, check=False)


def site(tmp_path: Path, overlay: str) -> dict[str, Any]:
    done = built(tmp_path, overlay)
    assert done.returncode == 0, done.stderr
    return tomllib.loads((tmp_path / "mine.toml").read_text())


def test_an_overlay_changes_what_it_names_and_nothing_else(tmp_path: Path) -> None:
    made = site(
        tmp_path,
        'name = "mine"\n[goal]\nworst = 0.5\n[tier.first.conn]\nstreams = 1\n'
        '[tier.first.kind.large]\nname = "port \\"A\\""\ndrops = false\n',
    )
    want = tomllib.loads(SITE)
    want["name"] = "mine"
    want["goal"]["worst"] = 0.5
    want["tier"][0]["conn"]["streams"] = 1
    want["tier"][0]["kind"][0] |= {"name": 'port "A"', "drops": False}  # a key that only its sibling had
    assert made == want
    for name in ("real.json", "wire.json", "unlock.txt"):
        assert (tmp_path / name).read_text() == name, "what the bench wants beside a site"


def test_a_list_of_tables_takes_the_place_of_the_whole_list(tmp_path: Path) -> None:
    rows = '[[class]]\nname = "a"\naim_ms = 5\neffect = "safe"\n[[class]]\nname = "b"\nwindow_ms = 1000\n'
    made = site(tmp_path, rows)
    assert made["class"] == [
        {"name": "a", "aim_ms": 5, "effect": "safe"},
        {"name": "b", "window_ms": 1000},
    ]
    assert {k: v for k, v in made.items() if k != "class"} == {
        k: v for k, v in tomllib.loads(SITE).items() if k != "class"
    }


@pytest.mark.parametrize(
    ("overlay", "named"),
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
def test_what_does_not_fit_the_site_is_refused_by_name(tmp_path: Path, overlay: str, named: str) -> None:
    done = built(tmp_path, overlay)
    assert done.returncode == 2 and done.stderr.startswith("mine.toml: ")
    assert named in done.stderr and len(done.stderr.splitlines()) == 1
    assert not (tmp_path / "mine.toml").exists(), "no site is left that an overlay did not reach"


def test_the_kept_overlays_are_toml_with_a_name_of_their_own() -> None:
    overlays = sorted((ROOT / "deploy/sites/overlays").glob("*.toml"))
    assert len(overlays) >= 2
    for file in overlays:
        assert tomllib.loads(file.read_text())["name"] == file.stem
