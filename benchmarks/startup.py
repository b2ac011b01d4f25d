"""What a start costs: time until `+PONG`, peak memory, CPU time and modules of the project that were imported.

    python benchmarks/startup.py [TREE] [--runs 5]

Starts the sender of a checkout (this one by default) as the platform does, `python -O -m kestreltrack`, with an empty
folder and no service discovery, asks it for `PING` until it answers `+PONG`, reads the process's figures from `/proc`
and ends it.  Prints a line a run and the medians.
"""

from __future__ import annotations

import argparse
import json
import os
import signal
import socket
import statistics
import subprocess
import sys
import tempfile
import time
from dataclasses import astuple, dataclass, replace
from pathlib import Path

ROOT = Path(__file__).parent.parent
START_TIMEOUT_S = 30.0
TICKS_PER_S = os.sysconf("SC_CLK_TCK")
PING = b"*1\r\n$4\r\nPING\r\n"


@dataclass(frozen=True, slots=True)
class Start:
    """The figures of one start."""

    pong_s: float
    peak_mb: float
    cpu_s: float
    modules: int


def settings(tree: Path) -> object:
    """Return the settings that the tree's own scenario tests use."""
    program = "import json, scenario; print(json.dumps(scenario.SETTINGS))"
    done = subprocess.run(
        [sys.executable, "-c", program],
        cwd=tree / "tests",
        env=os.environ | {"PYTHONPATH": str(tree)},
        capture_output=True,
        check=True,
        text=True,
    )
    return json.loads(done.stdout)


def free_port() -> int:
    """Return a loopback port that nobody listens on."""
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return int(probe.getsockname()[1])


def wait_for_pong(port: int) -> None:
    """Return once the sender has answered `PING` with `+PONG`."""
    deadline = time.monotonic() + START_TIMEOUT_S
    while time.monotonic() < deadline:
        try:
            with socket.create_connection(("127.0.0.1", port), timeout=START_TIMEOUT_S) as client:
                client.sendall(PING)
                if client.recv(64).startswith(b"+PONG"):
                    return
        except ConnectionError:
            time.sleep(0.002)
    raise TimeoutError("the sender did not answer PING")


def start_once(tree: Path, config: object, *flags: str) -> Start:
    """Start the sender once, with `flags` for the interpreter, and return what it cost."""
    with tempfile.TemporaryDirectory() as folder:
        state = Path(folder, "state")
        state.mkdir()
        file = Path(folder, "config.json")
        file.write_text(json.dumps({"seed": "1f", "settings": config}))
        port = free_port()
        env = {
            "PATH": os.environ["PATH"],
            "GW_CONFIG": str(file),
            "GW_STATE": str(state),
            "GW_LISTEN": f"127.0.0.1:{port}",
            "GW_DISCOVERY": f"127.0.0.1:{free_port()}",
        }
        command = [sys.executable, "-O", *flags, "-m", "kestreltrack"]
        began = time.monotonic()
        with subprocess.Popen(command, cwd=tree, env=env, stderr=subprocess.PIPE, text=True) as process:
            try:
                wait_for_pong(port)
                pong_s = time.monotonic() - began
                peak_mb, cpu_s = _process_figures(process.pid)
            finally:
                process.send_signal(signal.SIGTERM)
                _, log = process.communicate(timeout=START_TIMEOUT_S)
        imported = (line.rsplit("|", 1)[1].strip() for line in log.splitlines() if " | " in line)
        modules = sum(name.startswith("kestreltrack") for name in imported)
        return Start(pong_s, peak_mb, cpu_s, modules)


def _process_figures(pid: int) -> tuple[float, float]:
    """Return the peak resident memory in MB and the CPU time in seconds of a process."""
    status = Path(f"/proc/{pid}/status").read_text()
    (peak,) = (line for line in status.splitlines() if line.startswith("VmHWM:"))
    fields = Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
    ticks = int(fields[11]) + int(fields[12])
    return int(peak.split()[1]) / 1024.0, ticks / TICKS_PER_S


def main() -> None:
    """Run the benchmark."""
    parser = argparse.ArgumentParser(description=(__doc__ or "").partition("\n")[0])
    parser.add_argument("tree", nargs="?", type=Path, default=ROOT)
    parser.add_argument("--runs", type=int, default=5)
    options = parser.parse_args()
    tree = options.tree.resolve()
    config = settings(tree)
    modules = start_once(tree, config, "-X", "importtime").modules  # which takes time itself
    starts = [replace(start_once(tree, config), modules=modules) for _ in range(options.runs)]
    for start in starts:
        print(_line(start))
    medians = Start(*(statistics.median(column) for column in zip(*map(astuple, starts), strict=True)))
    print(f"median: {_line(medians)}")


def _line(start: Start) -> str:
    return (
        f"+PONG after {start.pong_s:.3f} s, peak {start.peak_mb:.1f} MB, "
        f"CPU {start.cpu_s:.2f} s, {start.modules} modules"
    )


if __name__ == "__main__":
    main()
