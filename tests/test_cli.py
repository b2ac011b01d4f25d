"""The command line as processes: exit codes, JSON, the stand-in, and independent clients against it."""

from __future__ import annotations

import json
import os
import signal
import subprocess
import sys
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import Any

import pytest

ROOT = Path(__file__).parent.parent
ENV = {"PATH": os.environ["PATH"], "PYTHONPATH": str(ROOT), "TERM": "dumb"}


def run(
    *words: str, env: dict[str, str] | None = None, text: str | None = None
) -> subprocess.CompletedProcess[str]:
    command = [sys.executable, "-m", "kestreltrack", *words]
    return subprocess.run(
        command, cwd=ROOT, env=ENV | (env or {}), capture_output=True, text=True, input=text, timeout=60
    )


@contextmanager
def standin(*words: str) -> Iterator[tuple[list[str], Any]]:
    command = [sys.executable, "-m", "kestreltrack", "standin", "etcd", *words]
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


def script(process: Any, **order: Any) -> dict[str, Any]:
    process.stdin.write(json.dumps(order) + "\n")
    answer: dict[str, Any] = json.loads(process.stdout.readline())
    return answer


@pytest.mark.parametrize("words", [["nonsense"], ["run", "--nonsense"], ["run", "--set", "x"], ["directory"]])
def test_bad_use_is_2_and_tells_what_there_is(words: list[str]) -> None:
    done = run(*words)
    assert done.returncode == 2 and (done.stderr or done.stdout) and "Traceback" not in done.stderr


def test_bad_configuration_is_2_and_one_line(tmp_path: Path) -> None:
    file = tmp_path / "o.toml"
    file.write_text("[directory]\nsource = 7\n")
    for words in (["check"], ["run"], ["directory", "list"]):
        done = run(*words, "--operator-file", str(file))
        assert done.returncode == 2 and done.stderr.count("\n") == 1, done.stderr
    done = run("check", "--operator-file", str(file))
    assert f"file {file}: directory.source" in done.stderr


def test_check_tells_what_is_in_force_and_from_where() -> None:
    done = run(
        "check", "--json", "--set", "directory.etcd.page=5", env={"KESTRELTRACK_DIRECTORY_ETCD_LEASE_S": "7"}
    )
    assert done.returncode == 0
    rows = json.loads(done.stdout)
    assert rows["directory.etcd.page"] == {"value": 5, "from": "flag --set directory.etcd.page"}
    assert rows["directory.etcd.lease_s"]["from"] == "variable KESTRELTRACK_DIRECTORY_ETCD_LEASE_S"
    assert run("--version").stdout.strip()


def test_without_words_it_is_the_sender() -> None:
    done = run()
    assert done.returncode == 2 and "GW_CONFIG" in done.stderr and "Usage" not in done.stdout


@pytest.mark.parametrize("client", ["aetcd", "grpcio"])
def test_an_independent_client_finds_the_stand_in_as_etcd(client: str) -> None:
    with standin() as (members, _):
        done = subprocess.run(
            [sys.executable, str(ROOT / f"tests/independent_{client}.py"), members[0]],
            env=ENV | {"PYTHONPATH": ""},
            capture_output=True,
            text=True,
            timeout=60,
        )
        assert done.returncode == 0, done.stderr


def test_the_stand_in_takes_faults_by_script_and_ends_cleanly() -> None:
    with standin("--members", "3") as (members, process):
        assert len(set(members)) == 3
        assert script(process, fault="cut", member=1)["done"] == "cut"
        assert "does not exist" in script(process, fault="cut", member=7)["error"]
        assert "unknown" in script(process, fault="melt")["error"]
        assert "error" in script(process, nonsense=1)
        process.send_signal(signal.SIGINT)
        assert process.wait(20) in (0, 130)
    assert run("fake", "etcd", "--listen", "0.0.0.0:0").returncode == 2
    assert run("standin", "etcd", "--listen", "0.0.0.0:0").returncode == 2, "the former name"


def test_operators_commands_change_the_directory(tmp_path: Path) -> None:
    with standin("--user", "op:s3cret") as (members, _):
        env = {"KESTRELTRACK_DIRECTORY_ETCD_MEMBERS": members[0], "KESTRELTRACK_DIRECTORY_ETCD_USER": "op"}
        env["KESTRELTRACK_DIRECTORY_ETCD_PASSWORD"] = "s3cret"

        def directory(*words: str, text: str | None = None) -> subprocess.CompletedProcess[str]:
            return run("directory", *words, env=env, text=text)

        row = {
            "uid": "u1",
            "endpoint": "127.0.0.1:1",
            "az": "a",
            "model": "plain",
            "pod_group": 3,
            "state": "up",
        }
        assert directory("put", "-", text=json.dumps(row)).returncode == 0
        file = tmp_path / "list.json"
        file.write_text(json.dumps({"rev": 4, "all": True, "targets": [row, row | {"uid": "u2"}]}))
        done = directory("import", str(file), "--json")
        assert json.loads(done.stdout) == {"changes": 1, "revision": 3}
        done = directory("drain", "u2", "--wait", "--json")
        assert json.loads(done.stdout) == {"revision": 4, "behind": []}
        listed = json.loads(directory("list", "--json").stdout)
        assert [(e["uid"], e["state"]) for e in listed["endpoints"]] == [("u1", "up"), ("u2", "draining")]
        assert directory("undrain", "u2").returncode == 0 and directory("remove", "u1").returncode == 0
        assert "u2" in directory("list").stdout
        gone = directory("drain", "u1")
        assert gone.returncode == 1 and "u1: no such endpoint" in gone.stderr
        assert directory("put", "{").returncode == 2
        env["KESTRELTRACK_DIRECTORY_ETCD_PASSWORD"] = "wr0ng"
        wrong = directory("list")
        assert wrong.returncode == 1 and "denied" in wrong.stderr and "wr0ng" not in wrong.stderr
        env["KESTRELTRACK_DIRECTORY_ETCD_MEMBERS"] = "127.0.0.1:1"
        assert "unreachable" in directory("list").stderr


def test_the_demo_holds_its_rules() -> None:
    done = run("demo", "--seconds", "6", "--json")
    assert done.returncode == 0, done.stdout + done.stderr
    told = json.loads(done.stdout)
    assert told["good"] and told["drains"] == "3" and told["still owed"] == told["doubles"] == "0"


def test_ctrl_c_ends_the_demo_and_the_sender_with_it() -> None:
    command = [sys.executable, "-m", "kestreltrack", "demo", "--seconds", "60"]
    process = subprocess.Popen(
        command, cwd=ROOT, env=ENV, stdout=subprocess.PIPE, stderr=subprocess.PIPE, text=True
    )
    assert process.stderr
    assert "the sender is ready" in process.stderr.readline()
    children = Path(f"/proc/{process.pid}/task/{process.pid}/children").read_text().split()
    process.send_signal(signal.SIGINT)
    _, said = process.communicate(timeout=30)
    assert process.returncode == 130 and "Traceback" not in said, said
    assert children and not any(Path(f"/proc/{child}").exists() for child in children)
