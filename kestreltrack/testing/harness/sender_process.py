"""A real sender process: its files, its start until it is ready, its log and its shutdown."""

from __future__ import annotations

import asyncio
import os
import signal
import sys
from collections import deque
from contextlib import suppress
from pathlib import Path
from typing import Any

import orjson

READY_TIMEOUT_S = 90.0  # generous, for a busy machine


class SenderProcess:
    """Starts, observes and stops a sender; the same object can start several processes in turn."""

    def __init__(self, folder: Path, name: str, log: Path | None = None) -> None:
        """Keep the files of the sender in `folder`; append its output to the file `log`, if given."""
        self.folder = folder
        self.name = name
        self.listen_address = "127.0.0.1:0"
        self.program: tuple[str, ...] = ("kestreltrack",)  # the module that is run, and its arguments
        self._log = log
        self.limits: dict[str, float] = {"memory_mb": 192, "sockets": 1024, "disk_mb": 64}
        self.known: dict[str, Any] | None = None  # the endpoint list in the configuration
        self.clock_rate = 1.0  # rate of the sender's clock; values other than 1 need a build without -O
        self.process: asyncio.subprocess.Process | None = None
        self.log_records = deque[dict[str, Any]](maxlen=2000)
        self.counters = dict[str, int]()
        self._reader_task: asyncio.Task[None] | None = None
        self._ready = asyncio.Event()
        self._became_ready = False

    async def start(self, discovery: str, settings: dict[str, Any], extra_variables: dict[str, str]) -> None:
        """Start a process and wait until it is ready; `extra_variables` are added to its environment."""
        state = self.folder / "state"
        config = self.folder / "config.json"
        state.mkdir(parents=True, exist_ok=True)
        table = {"seed": "1f", "settings": settings, "limits": self.limits, "known": self.known}
        config.write_bytes(orjson.dumps(table))
        env = {"PATH": os.environ.get("PATH", ""), "GW_NAME": self.name, "GW_LISTEN": self.listen_address}
        env |= {
            "GW_STATE": str(state),
            "GW_CONFIG": str(config),
            "GW_DISCOVERY": discovery,
            **extra_variables,
        }
        root = str(Path(__file__).parents[3])
        env["PYTHONPATH"] = root
        self._ready.clear()
        self._became_ready = False
        interpreter_flags = ["-O"] if self.clock_rate == 1.0 else []
        env |= {} if interpreter_flags else {"LAB_CLOCK_RATE": str(self.clock_rate)}
        self.process = await asyncio.create_subprocess_exec(
            sys.executable, *interpreter_flags, "-m", *self.program, env=env, stderr=asyncio.subprocess.PIPE
        )
        self._reader_task = asyncio.create_task(self._read(self.process))
        async with asyncio.timeout(READY_TIMEOUT_S):
            await self._ready.wait()
        if not self._became_ready:
            raise RuntimeError(f"the sender did not start: {list(self.log_records)[-3:]}")

    async def _read(self, process: asyncio.subprocess.Process) -> None:
        assert process.stderr
        log_file = self._log.open("ab") if self._log else None
        try:
            async for line in process.stderr:
                if log_file:
                    log_file.write(line)
                try:
                    row = orjson.loads(line)
                except ValueError:
                    row = {"event": "unreadable", "line": line.decode(errors="replace")}
                self._on_log_record(row)
        finally:
            self._ready.set()  # the process may have ended before it was ready
            if log_file:
                log_file.close()

    def _on_log_record(self, row: dict[str, Any]) -> None:
        if row["event"] == "ready":
            self.listen_address = row["listen"]
            self._became_ready = True
            self._ready.set()
        if row["event"] == "counters":
            self.counters = {k: v for k, v in row.items() if isinstance(v, int)}
        self.log_records.append(row)

    def memory_mb(self) -> float:
        """Return the resident memory of the process."""
        if self.process is None or self.process.returncode is not None:
            return 0.0
        try:
            pages = int(Path(f"/proc/{self.process.pid}/statm").read_text().split()[1])
        except OSError:
            return 0.0
        return pages * os.sysconf("SC_PAGE_SIZE") / 1e6

    def peak_memory_mb(self) -> float:
        """Return the peak resident memory of the process so far; 0 once it has ended."""
        if self.process is None or self.process.returncode is not None:
            return 0.0
        try:
            status = Path(f"/proc/{self.process.pid}/status").read_text()
        except OSError:
            return 0.0
        peaks = [int(line.split()[1]) for line in status.splitlines() if line.startswith("VmHWM:")]
        return peaks[0] * 1024 / 1e6 if peaks else 0.0

    def descriptor_count(self) -> int:
        """Return the number of open descriptors of the process."""
        if self.process is None or self.process.returncode is not None:
            return 0
        try:
            return len(list(Path(f"/proc/{self.process.pid}/fd").iterdir()))
        except OSError:
            return 0

    def cpu_s(self) -> float:
        """Return the CPU time that the process has used."""
        if self.process is None or self.process.returncode is not None:
            return 0.0
        fields = Path(f"/proc/{self.process.pid}/stat").read_text().rsplit(")", 1)[1].split()
        return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")

    async def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process, if it is running.

        `Process.send_signal` polls the process first and reaps it if it has just ended; asyncio then reports an exit
        status of 255 instead of the real one.
        """
        if self.process and self.process.returncode is None:
            with suppress(ProcessLookupError):
                os.kill(self.process.pid, number)

    async def stop(self) -> None:
        """Send SIGTERM and wait for the exit; kill the process if it does not exit within 6 s."""
        if self.process is None:
            return
        await self.signal(signal.SIGTERM)
        try:
            async with asyncio.timeout(6.0):
                await self.process.wait()
        except TimeoutError:
            self.process.kill()
            await self.process.wait()
        if self._reader_task:
            await self._reader_task
