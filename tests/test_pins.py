"""What is pinned, generated and named in two places agrees."""

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


def pins(name: str) -> set[str]:
    return set((ROOT / name).read_text().split())


def test_requirements_extras_and_lock_agree() -> None:
    assert pins("requirements.txt") == set(PROJECT["dependencies"])
    others = {name: pins for name, pins in EXTRAS.items() if name != "all"}
    assert EXTRAS["all"] == [f"kestreltrack[{','.join(name for name in others if name != 'test')}]"]
    assert pins("requirements-test.txt") == {pin for extra in others.values() for pin in extra}
    lock = pins("requirements-lock.txt")
    missing = (pins("requirements.txt") | pins("requirements-test.txt")) - lock
    assert not missing, "run `make lock`"
    assert all("==" in pin for pin in lock)


def test_the_version_stands_in_one_form() -> None:
    assert PROJECT["version"] == VERSION


def test_the_generated_messages_are_those_of_the_proto(tmp_path: Path) -> None:
    proto = "kestreltrack/etcdapi/rpc.proto"
    outs = [f"--{kind}_out={tmp_path}" for kind in ("python", "pyi", "grpclib_python")]
    bin_path = {"PATH": str(Path(sys.executable).parent)}
    command = [sys.executable, "-m", "grpc_tools.protoc", "-I.", *outs, proto]
    subprocess.run(command, cwd=ROOT, check=True, env=bin_path)
    for made in sorted((tmp_path / "kestreltrack/etcdapi").iterdir()):
        assert made.read_bytes() == (ROOT / "kestreltrack/etcdapi" / made.name).read_bytes(), (
            "run `make proto`"
        )


HEAVY = ["typer", "rich", "msgspec", "grpclib", "google.protobuf", "h2", "kestreltrack.cli", "zstandard"]
HEAVY += ["kestreltrack.capture", "kestreltrack.admin", "kestreltrack.snapshot", "kestreltrack.etcdapi"]


@pytest.mark.parametrize("heavy", HEAVY)
def test_the_platforms_line_imports_nothing_that_it_does_not_need(heavy: str) -> None:
    code = (
        f"import sys, kestreltrack.__main__, kestreltrack.sender.daemon; assert {heavy!r} not in sys.modules"
    )
    subprocess.run([sys.executable, "-c", code], cwd=ROOT, check=True)
