"""The example in the README runs unchanged, and the tests and paths named in docs/standing.md exist."""

from __future__ import annotations

import re
from pathlib import Path

ROOT = Path(__file__).parent.parent
README = (ROOT / "README.md").read_text(encoding="utf-8")


def test_example_in_the_readme_delivers_its_message() -> None:
    (code,) = re.findall(r"```python\n(.*?)```", README, re.S)
    scope: dict[str, object] = {"__name__": "readme"}
    exec(compile(code, "README.md", "exec"), scope)
    assert scope["delivered"] == ["m1 at 10.0.0.7:443"]


def test_tests_and_paths_named_in_the_standing_page_exist() -> None:
    page = (ROOT / "docs/standing.md").read_text(encoding="utf-8")
    test_sources = "".join(path.read_text(encoding="utf-8") for path in (ROOT / "tests").glob("test_*.py"))
    named_tests = set(re.findall(r"::(test_\w+)", page))
    assert named_tests
    assert not [name for name in named_tests if f"def {name}(" not in test_sources]
    named_paths = set(re.findall(r"`([\w/]+(?:\.py|/))`", page))
    folders = (ROOT, ROOT / "kestreltrack", ROOT / "tests")
    assert named_paths
    assert not [path for path in named_paths if not any((folder / path).exists() for folder in folders)]
