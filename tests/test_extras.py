"""Optional libraries: each is in the extra that the error about its absence names."""

from __future__ import annotations

import ast
import asyncio
import subprocess
import sys
import tomllib
from pathlib import Path

import pytest

from kestreltrack.config.extras import EXTRA_BY_LIBRARY, MissingExtraError, reporting_missing_extras
from kestreltrack.sender import daemon
from kestreltrack.telemetry import Telemetry

ROOT = Path(__file__).parent.parent
PROJECT = tomllib.loads((ROOT / "pyproject.toml").read_text())["project"]
EXTRAS: dict[str, list[str]] = PROJECT["optional-dependencies"]
ALWAYS_INSTALLED = {"h11", "orjson", "uvloop", "kestreltrack", *sys.stdlib_module_names}
# Distributions whose name differs from the name under which they are imported.
DISTRIBUTION_BY_LIBRARY = {"google": "protobuf"}


def imported_libraries() -> set[str]:
    """Return the top-level names of all modules that the package imports, at import time or later."""
    found = set[str]()
    for path in (ROOT / "kestreltrack").glob("**/*.py"):
        for node in ast.walk(ast.parse(path.read_text(encoding="utf-8"))):
            if isinstance(node, ast.Import):
                found |= {alias.name.partition(".")[0] for alias in node.names}
            elif isinstance(node, ast.ImportFrom):
                found.add((node.module or "").partition(".")[0])
    return found


def test_each_library_is_in_its_extra_and_the_extra_all_includes_every_extra() -> None:
    assert imported_libraries() - ALWAYS_INSTALLED == EXTRA_BY_LIBRARY.keys()
    for library, extra in EXTRA_BY_LIBRARY.items():
        names = {requirement.partition("==")[0] for requirement in EXTRAS[extra]}
        assert DISTRIBUTION_BY_LIBRARY.get(library, library) in names, library
    assert EXTRAS["all"] == [
        "kestreltrack[" + ",".join(name for name in EXTRAS if name not in ("all", "test")) + "]"
    ]


@pytest.mark.parametrize(
    ("library", "arguments"),
    [
        ("scipy", "emulate calm"),
        # The former name of `scenario run`.
        ("scipy", "lab play calm"),
        ("polars", "capture query ."),
        ("matplotlib", "report ."),
        ("zstandard", "replay ."),
        ("grpclib", "directory list"),
        # The former name of `fake etcd`.
        ("google", "standin etcd"),
        ("rich", "demo"),
        ("typer", "check"),
        ("msgspec", "fleet members"),
    ],
)
def test_a_command_whose_library_is_missing_names_the_extra(
    library: str, arguments: str, tmp_path: Path
) -> None:
    # A module that is `None` in `sys.modules` fails to import like one that is not installed.
    program = (
        f"import sys; sys.modules[{library!r}] = None\n"
        "from kestreltrack.__main__ import main\nsys.exit(main())"
    )
    completed = subprocess.run(
        [sys.executable, "-c", program, *arguments.split()],
        cwd=tmp_path,
        capture_output=True,
        text=True,
        timeout=60,
        env={"PYTHONPATH": str(ROOT), "TERM": "dumb"},
    )
    assert completed.returncode == 2 and completed.stderr.count("\n") == 1, completed.stderr
    assert (
        f"kestreltrack: this needs {library}," in completed.stderr
        and f"[{EXTRA_BY_LIBRARY[library]}]" in completed.stderr
    )


def test_an_unknown_module_is_not_reported_as_a_missing_extra() -> None:
    with pytest.raises(ModuleNotFoundError, match="nothing_such") as caught, reporting_missing_extras():
        raise ModuleNotFoundError("No module named 'nothing_such'", name="nothing_such")
    assert not isinstance(caught.value, MissingExtraError)


def test_a_reload_that_needs_a_missing_library_leaves_the_old_configuration_in_force(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    class FakeAssembly:
        config = None
        telemetry = Telemetry()

        def reload(self, *_: object) -> None:
            raise ModuleNotFoundError("No module named 'grpclib'", name="grpclib")

    async def reload_twice() -> None:
        reload_requested = asyncio.Event()
        reloading = asyncio.create_task(
            daemon._reload_on_sighup(reload_requested, {}, {}, FakeAssembly())  # type: ignore[arg-type]
        )
        # The second reload shows that the task continues after a rejection.
        for count in (1, 2):
            reload_requested.set()
            while reload_requested.is_set() and not reloading.done():
                await asyncio.sleep(0)
            assert FakeAssembly.telemetry.counters["config.reload_rejected"] == count
        reloading.cancel()

    monkeypatch.setattr(daemon, "load_sender_config", lambda env, reload: None)
    asyncio.run(reload_twice())
