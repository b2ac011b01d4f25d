"""The tables in `processes.py`: their entries exist, and the runs selected by marker cover all tests together."""

from __future__ import annotations

from pathlib import Path

import processes
import pytest

pytest_plugins = ["pytester"]
TESTS = Path(__file__).parent
PASSING_TEST = "def test_a(): pass\n"


@pytest.mark.parametrize("mark", processes.TABLES)
def test_each_entry_names_an_existing_test_and_has_a_reason(mark: str) -> None:
    texts = {path.stem: path.read_text(encoding="utf-8") for path in TESTS.rglob("test_*.py")}
    for name, why in processes.TABLES[mark].items():
        file, _, test = name.partition("::")
        assert file in texts, f"renamed or removed: {file}"
        assert not test or f"def {test}(" in texts[file], f"renamed or removed: {name}"
        assert why


def test_no_file_is_in_both_tables() -> None:
    first, second = ({name.partition("::")[0] for name in table} for table in processes.TABLES.values())
    assert not first & second


def test_the_tables_are_applied_to_this_run(
    request: pytest.FixtureRequest, pytestconfig: pytest.Config
) -> None:
    assert pytestconfig.pluginmanager.has_plugin("marks-by-table")
    assert not any(request.node.get_closest_marker(mark) for mark in processes.TABLES)


@pytest.mark.parametrize("workers", [(), ("-p", "xdist.plugin", "-n", "2")], ids=["alone", "workers"])
def test_the_runs_selected_by_marker_cover_all_tests(
    pytester: pytest.Pytester, monkeypatch: pytest.MonkeyPatch, workers: tuple[str, ...]
) -> None:
    monkeypatch.setenv("PYTEST_DISABLE_PLUGIN_AUTOLOAD", "1")
    pytester.makeconftest(
        f"import sys\nsys.path.append({str(TESTS)!r})\nfrom processes import register as pytest_configure\n"
    )
    file, _, test = next(name for name in processes.PROCESSES if "::" in name).partition("::")
    pytester.makepyfile(
        **{file: f"import pytest\n@pytest.mark.parametrize('n', [1, 2])\ndef {test}(n): pass\n"}
    )
    listed_files = {
        next(name for name in table if "::" not in name): PASSING_TEST for table in processes.TABLES.values()
    }
    pytester.makepyfile(**listed_files, test_unlisted="def test_b(): pass\ndef test_c(): pass\n")

    def passed(*args: str) -> int:
        outcomes = pytester.runpytest_subprocess("--strict-markers", *workers, *args).parseoutcomes()
        assert outcomes.keys() <= {"passed", "deselected"}
        return outcomes["passed"]

    assert passed("-m", "not exclusive") == 5 and passed("-m", "exclusive") == 1
    assert passed("-m", "processes") == 3 and passed("-m", "not processes and not exclusive") == 2
    assert passed() == 6
