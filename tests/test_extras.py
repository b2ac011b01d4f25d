"""Missing libraries: the error names the extra that brings the library."""

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
# Where a distribution does not have the name under which it is imported.
DISTRIBUTION = {"google": "protobuf"}


def imported() -> set[str]:
    """Return the libraries that the program imports anywhere."""
    found = set[str]()
    for path in (ROOT / "kestreltrack").glob("**/*.py"):
        for node in ast.walk(ast.parse(path.read_text(encoding="utf-8"))):
            if isinstance(node, ast.Import):
                found |= {alias.name.partition(".")[0] for alias in node.names}
            elif isinstance(node, ast.ImportFrom):
                found.add((node.module or "").partition(".")[0])
    return found


def test_each_library_is_in_its_extra_and_the_extra_all_brings_every_one() -> None:
    assert imported() - ALWAYS_INSTALLED == EXTRA_BY_LIBRARY.keys()
    for library, extra in EXTRA_BY_LIBRARY.items():
        names = {requirement.partition("==")[0] for requirement in EXTRAS[extra]}
        assert DISTRIBUTION.get(library, library) in names, library
    assert EXTRAS["all"] == [
        "kestreltrack[" + ",".join(name for name in EXTRAS if name not in ("all", "test")) + "]"
    ]


@pytest.mark.parametrize(
    ("library", "arguments"),
    [
        ("scipy", "emulate calm"),
        ("scipy", "lab play calm"),
        ("polars", "capture query ."),
        ("matplotlib", "report ."),
        ("zstandard", "replay ."),
        ("grpclib", "directory list"),
        ("google", "standin etcd"),
        ("rich", "demo"),
        ("typer", "check"),
        ("msgspec", "fleet members"),
    ],
)
def test_a_command_whose_library_is_missing_names_the_extra(
    library: str, arguments: str, tmp_path: Path
) -> None:
    program = (
        f"import sys; sys.modules[{library!r}] = None\n"  # as Python has it where there is no such module
        "from kestreltrack.__main__ import main\nsys.exit(main())"
    )
    done = subprocess.run(
        [sys.executable, "-c", program, *arguments.split()],
        cwd=tmp_path,
        capture_output=True,
        text=True,
        timeout=60,
        env={"PYTHONPATH": str(ROOT), "TERM": "dumb"},
    )
    assert done.returncode == 2 and done.stderr.count("\n") == 1, done.stderr
    assert (
        f"kestreltrack: this needs {library}," in done.stderr
        and f"[{EXTRA_BY_LIBRARY[library]}]" in done.stderr
    )


def test_a_fault_of_the_program_is_not_taken_for_a_missing_extra() -> None:
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

    async def scenario() -> None:
        hangup = asyncio.Event()
        reloading = asyncio.create_task(daemon._reload_on_hangup(hangup, {}, {}, FakeAssembly()))  # type: ignore[arg-type]
        for count in (1, 2):  # it goes on after the first
            hangup.set()
            while hangup.is_set() and not reloading.done():
                await asyncio.sleep(0)
            assert FakeAssembly.telemetry.counters["config.reload_rejected"] == count
        reloading.cancel()

    monkeypatch.setattr(daemon, "load_sender_config", lambda env, reload: None)
    asyncio.run(scenario())
