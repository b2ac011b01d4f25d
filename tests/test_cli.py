"""Runs the commands as processes: exit codes, JSON output, the fake of etcd and independent clients of it."""

from __future__ import annotations

import json
import os
import signal
import subprocess
import sys
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import Any

import pytest

ROOT = Path(__file__).parent.parent
ENV = {"PATH": os.environ["PATH"], "PYTHONPATH": str(ROOT), "TERM": "dumb"}
PASSWORD_VARIABLE = "KESTRELTRACK_DIRECTORY_ETCD_PASSWORD"
MEMBERS_VARIABLE = "KESTRELTRACK_DIRECTORY_ETCD_MEMBERS"
ROW = {
    "uid": "u1",
    "endpoint": "127.0.0.1:1",
    "az": "a",
    "model": "plain",
    "pod_group": 3,
    "state": "up",
}
Directory = Callable[..., subprocess.CompletedProcess[str]]


def run(
    *arguments: str, env: dict[str, str] | None = None, text: str | None = None
) -> subprocess.CompletedProcess[str]:
    """Run a command until it exits, with `text` on its standard input."""
    command = [sys.executable, "-m", "kestreltrack", *arguments]
    return subprocess.run(
        command, cwd=ROOT, env=ENV | (env or {}), capture_output=True, text=True, input=text, timeout=60
    )


@contextmanager
def fake_etcd(*arguments: str) -> Iterator[tuple[list[str], Any]]:
    """Run the fake of etcd under its former command name; yields its members' addresses and its process."""
    command = [sys.executable, "-m", "kestreltrack", "standin", "etcd", *arguments]
    process = subprocess.Popen(
        command, cwd=ROOT, env=ENV, stdin=subprocess.PIPE, stdout=subprocess.PIPE, text=True, bufsize=1
    )
    assert process.stdin and process.stdout
    try:
        yield json.loads(process.stdout.readline())["members"], process
    finally:
        if process.poll() is None:
            process.stdin.close()
            process.wait(20)


def send_command(process: Any, **command: Any) -> dict[str, Any]:
    """Send a command to the fake and return its response."""
    process.stdin.write(json.dumps(command) + "\n")
    response: dict[str, Any] = json.loads(process.stdout.readline())
    return response


@pytest.mark.parametrize(
    "arguments", [["nonsense"], ["run", "--nonsense"], ["run", "--set", "x"], ["directory"]]
)
def test_a_usage_error_exits_with_2_and_a_message(arguments: list[str]) -> None:
    result = run(*arguments)
    assert result.returncode == 2
    assert result.stderr or result.stdout
    assert "Traceback" not in result.stderr


def test_an_invalid_configuration_exits_with_2_and_one_line(tmp_path: Path) -> None:
    file = tmp_path / "o.toml"
    file.write_text("[directory]\nsource = 7\n")
    for arguments in (["check"], ["run"], ["directory", "list"]):
        result = run(*arguments, "--operator-file", str(file))
        assert result.returncode == 2, result.stderr
        assert result.stderr.count("\n") == 1, result.stderr
    result = run("check", "--operator-file", str(file))
    assert f"file {file}: directory.source" in result.stderr


def test_check_prints_effective_values_and_their_origins() -> None:
    result = run(
        "check", "--json", "--set", "directory.etcd.page=5", env={"KESTRELTRACK_DIRECTORY_ETCD_LEASE_S": "7"}
    )
    assert result.returncode == 0
    rows = json.loads(result.stdout)
    assert rows["directory.etcd.page"] == {"value": 5, "from": "flag --set directory.etcd.page"}
    assert rows["directory.etcd.lease_s"]["from"] == "variable KESTRELTRACK_DIRECTORY_ETCD_LEASE_S"
    assert run("--version").stdout.strip()


def test_without_a_command_the_sender_runs() -> None:
    result = run()
    assert result.returncode == 2
    assert "GW_CONFIG" in result.stderr
    assert "Usage" not in result.stdout


@pytest.mark.parametrize("client", ["aetcd", "grpcio"])
def test_an_independent_etcd_client_works_with_the_fake(client: str) -> None:
    with fake_etcd() as (members, _):
        result = subprocess.run(
            [sys.executable, str(ROOT / f"tests/{client}_compatibility_check.py"), members[0]],
            env=ENV | {"PYTHONPATH": ""},
            capture_output=True,
            text=True,
            timeout=60,
        )
        assert result.returncode == 0, result.stderr


def test_the_fake_of_etcd_handles_fault_commands_and_exits_cleanly() -> None:
    with fake_etcd("--members", "3") as (members, process):
        assert len(set(members)) == 3
        assert send_command(process, fault="cut", member=1)["done"] == "cut"
        assert "does not exist" in send_command(process, fault="cut", member=7)["error"]
        assert "unknown" in send_command(process, fault="melt")["error"]
        assert "error" in send_command(process, nonsense=1)
        process.send_signal(signal.SIGINT)
        assert process.wait(20) in (0, 130)
    assert run("fake", "etcd", "--listen", "0.0.0.0:0").returncode == 2
    assert run("standin", "etcd", "--listen", "0.0.0.0:0").returncode == 2, "the former command name"


def test_directory_commands_change_the_directory(tmp_path: Path) -> None:
    with fake_etcd("--user", "op:s3cret") as (members, _):
        env = {
            MEMBERS_VARIABLE: members[0],
            "KESTRELTRACK_DIRECTORY_ETCD_USER": "op",
            PASSWORD_VARIABLE: "s3cret",
        }

        def directory(*arguments: str, text: str | None = None) -> subprocess.CompletedProcess[str]:
            return run("directory", *arguments, env=env, text=text)

        assert directory("put", "-", text=json.dumps(ROW)).returncode == 0
        check_import(directory, tmp_path / "list.json")
        check_drain(directory)
        assert directory("put", "{").returncode == 2
        env[PASSWORD_VARIABLE] = "wr0ng"
        denied = directory("list")
        assert denied.returncode == 1
        assert "denied" in denied.stderr
        assert "wr0ng" not in denied.stderr
        env[MEMBERS_VARIABLE] = "127.0.0.1:1"
        assert "unreachable" in directory("list").stderr


def check_import(directory: Directory, file: Path) -> None:
    file.write_text(json.dumps({"rev": 4, "all": True, "targets": [ROW, ROW | {"uid": "u2"}]}))
    result = directory("import", str(file), "--json")
    assert json.loads(result.stdout) == {"changes": 1, "revision": 3}


def check_drain(directory: Directory) -> None:
    result = directory("drain", "u2", "--wait", "--json")
    assert json.loads(result.stdout) == {"revision": 4, "behind": []}
    listing = json.loads(directory("list", "--json").stdout)
    states = [(endpoint["uid"], endpoint["state"]) for endpoint in listing["endpoints"]]
    assert states == [("u1", "up"), ("u2", "draining")]
    assert directory("undrain", "u2").returncode == 0
    assert directory("remove", "u1").returncode == 0
    assert "u2" in directory("list").stdout
    removed = directory("drain", "u1")
    assert removed.returncode == 1
    assert "u1: no such endpoint" in removed.stderr


def test_the_demo_passes_its_checks() -> None:
    result = run("demo", "--seconds", "6", "--json")
    assert result.returncode == 0, result.stdout + result.stderr
    summary = json.loads(result.stdout)
    assert summary["good"]
    assert summary["drains"] == "3"
    assert summary["still owed"] == summary["doubles"] == "0"


def test_ctrl_c_ends_the_demo_and_its_sender() -> None:
    command = [sys.executable, "-m", "kestreltrack", "demo", "--seconds", "60"]
    process = subprocess.Popen(
        command, cwd=ROOT, env=ENV, stdout=subprocess.PIPE, stderr=subprocess.PIPE, text=True
    )
    assert process.stderr
    assert "the sender is ready" in process.stderr.readline()
    children = Path(f"/proc/{process.pid}/task/{process.pid}/children").read_text().split()
    process.send_signal(signal.SIGINT)
    _, error_output = process.communicate(timeout=30)
    assert process.returncode == 130, error_output
    assert "Traceback" not in error_output, error_output
    assert children
    assert not any(Path(f"/proc/{child}").exists() for child in children)
