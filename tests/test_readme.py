"""The README's example runs as it stands there; the standing page names what is there."""

from __future__ import annotations

import re
from pathlib import Path

ROOT = Path(__file__).parent.parent
README = (ROOT / "README.md").read_text(encoding="utf-8")


def test_the_example_delivers_its_message() -> None:
    (code,) = re.findall(r"```python\n(.*?)```", README, re.S)
    scope: dict[str, object] = {"__name__": "readme"}
    exec(compile(code, "README.md", "exec"), scope)
    assert scope["delivered"] == ["m1 at 10.0.0.7:443"]


def test_what_the_standing_page_names_is_there() -> None:
    page = (ROOT / "docs/standing.md").read_text(encoding="utf-8")
    tests = "".join(path.read_text(encoding="utf-8") for path in (ROOT / "tests").glob("test_*.py"))
    named = set(re.findall(r"::(test_\w+)", page))
    assert named and not [name for name in named if f"def {name}(" not in tests]
    places = set(re.findall(r"`([\w/]+(?:\.py|/))`", page))
    folders = (ROOT, ROOT / "kestreltrack", ROOT / "tests")
    assert places and not [p for p in places if not any((folder / p).exists() for folder in folders)]
