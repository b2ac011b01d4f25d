"""Each part of the decision module's state has a row that says how the other process of an upgrade learns of it."""

from __future__ import annotations

import re
from pathlib import Path

from conftest import SETTINGS

from kestreltrack.decision import Policy

PAGE = Path(__file__).parent.parent / "docs" / "upgrade.md"


def test_each_part_of_the_state_has_a_row() -> None:
    # Guards against state that one process of an upgrade knows alone because nobody has thought of the other.
    table = PAGE.read_text(encoding="utf-8").partition("<!-- shared:begin -->")[2]
    rows = table.partition("<!-- shared:end -->")[0].strip().splitlines()[2:]
    cells = [[cell.strip() for cell in row.strip("|").split(" | ")] for row in rows]
    assert all(len(row) == 2 and row[1] for row in cells)
    named = {name for state, _ in cells for name in re.findall(r"`([a-z_]+)`", state)}
    missing = set(vars(Policy(SETTINGS, 1))) - named
    assert not missing, "parts of the state without a row in docs/upgrade.md"
