"""Consistency of pinned requirements, version and generated code; modules that the sender must not import."""

from __future__ import annotations

import subprocess
import sys
import tomllib
from pathlib import Path

import pytest

from kestreltrack import VERSION

ROOT = Path(__file__).parent.parent
PROJECT = tomllib.loads((ROOT / "pyproject.toml").read_text())["project"]
EXTRAS: dict[str, list[str]] = PROJECT["optional-dependencies"]


def pins_in(name: str) -> set[str]:
    return set((ROOT / name).read_text().split())


def test_requirements_extras_and_lock_agree() -> None:
    assert pins_in("requirements.txt") == set(PROJECT["dependencies"])
    separate_extras = {name: pins for name, pins in EXTRAS.items() if name != "all"}
    assert EXTRAS["all"] == [f"kestreltrack[{','.join(name for name in separate_extras if name != 'test')}]"]
    assert pins_in("requirements-test.txt") == {pin for extra in separate_extras.values() for pin in extra}
    lock = pins_in("requirements-lock.txt")
    missing = (pins_in("requirements.txt") | pins_in("requirements-test.txt")) - lock
    assert not missing, "run `make lock`"
    assert all("==" in pin for pin in lock)


def test_version_in_pyproject_is_that_of_the_package() -> None:
    assert PROJECT["version"] == VERSION


def test_generated_code_is_up_to_date_with_the_proto_file(tmp_path: Path) -> None:
    proto = "kestreltrack/etcdapi/rpc.proto"
    output_options = [f"--{kind}_out={tmp_path}" for kind in ("python", "pyi", "grpclib_python")]
    environment = {"PATH": str(Path(sys.executable).parent)}
    command = [sys.executable, "-m", "grpc_tools.protoc", "-I.", *output_options, proto]
    subprocess.run(command, cwd=ROOT, check=True, env=environment)
    for generated in sorted((tmp_path / "kestreltrack/etcdapi").iterdir()):
        assert generated.read_bytes() == (ROOT / "kestreltrack/etcdapi" / generated.name).read_bytes(), (
            "run `make proto`"
        )


# Modules that the sender process does not need.
OPTIONAL_MODULES = [
    "typer",
    "rich",
    "msgspec",
    "grpclib",
    "google.protobuf",
    "h2",
    "kestreltrack.cli",
    "zstandard",
]
OPTIONAL_MODULES += [
    "kestreltrack.capture",
    "kestreltrack.admin",
    "kestreltrack.snapshot",
    "kestreltrack.etcdapi",
]


@pytest.mark.parametrize("module", OPTIONAL_MODULES)
def test_sender_process_imports_no_optional_module(module: str) -> None:
    code = (
        f"import sys, kestreltrack.__main__, kestreltrack.sender.daemon; assert {module!r} not in sys.modules"
    )
    subprocess.run([sys.executable, "-c", code], cwd=ROOT, check=True)
