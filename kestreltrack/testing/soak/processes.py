"""The successive processes of one sender, with the signals sent to each and its exit."""

from __future__ import annotations

import asyncio
import time
from contextlib import suppress
from pathlib import Path
from signal import SIGCONT, SIGHUP, SIGKILL, SIGSTOP, SIGTERM, SIGUSR1
from typing import Any

from kestreltrack.testing.harness.sender_process import SenderProcess
from kestreltrack.testing.soak.observations import Observations, ProcessRecord, ResourceSample
from kestreltrack.testing.soak.plan import Fault, FaultKind
from kestreltrack.testing.soak.rule_checks import KILL_AFTER_S, MAX_PAUSE_S

# Protocol page: delay from SIGKILL to the next start.
RESTART_AFTER_S = 0.6
SIGNAL_GAP_S = 0.05
FAULT_EVENT_PREFIXES = ("invariant.", "decision.fault", "delivery.fault", "loop.fault")
POLL_S = 0.01


class SoakSender(SenderProcess):
    """A sender that records each of its processes."""

    def __init__(
        self, folder: Path, name: str, platform: str, settings: dict[str, Any], observations: Observations
    ) -> None:
        """Start nothing yet; the log of all processes is kept in the folder."""
        folder.mkdir(parents=True, exist_ok=True)
        super().__init__(folder, name, folder / "log")
        # Outgoing connections, whose source is 127.0.0.1, can't take the port between two processes.
        self.listen_address = "127.0.0.2:0"
        self.observations = observations
        self._platform = platform
        self._settings = settings
        self.process_record = ProcessRecord(name, time.monotonic())
        self._restart_lock = asyncio.Lock()
        self._starting: asyncio.Task[None] | None = None

    def _on_log_record(self, row: dict[str, Any]) -> None:
        super()._on_log_record(row)
        event = str(row["event"])
        if event == "ready":
            self.process_record.ready_at = time.monotonic()
        elif event == "unreadable":
            self.observations.unreadable_log_lines.append(str(row["line"]))
        counters = [name for name, value in row.items() if value and event == "counters"]
        self.observations.fault_events += [
            name for name in (event, *counters) if name.startswith(FAULT_EVENT_PREFIXES)
        ]

    async def start_next(self) -> None:
        """Start the next process and return once it exists, before it is ready."""
        previous = self.process
        self.process_record = ProcessRecord(self.name, time.monotonic())
        self.observations.processes.append(self.process_record)
        self._starting = asyncio.create_task(self.start(self._platform, self._settings, {}))
        while self.process is previous:
            await asyncio.sleep(POLL_S)
        self._exit_watch = asyncio.create_task(self._watch_exit(self.process, self.process_record))

    async def _watch_exit(self, process: asyncio.subprocess.Process | None, record: ProcessRecord) -> None:
        assert process
        record.exit_code = await process.wait()
        record.ended_at = time.monotonic()

    async def wait_ready(self) -> None:
        """Wait until the process is ready, has exited or has failed to start."""
        if self._starting:
            with suppress(RuntimeError, TimeoutError):
                await self._starting

    async def kill(self) -> None:
        """Send SIGKILL and wait for the exit of the process."""
        self.process_record.killed_at = min(self.process_record.killed_at, time.monotonic())
        await self.signal(SIGKILL)
        await self._wait_exit()

    async def _wait_exit(self) -> None:
        await self._exit_watch
        await self.wait_ready()
        if self._reader_task:
            await self._reader_task

    async def terminate(self, count: int = 1) -> None:
        """Send SIGTERM `count` times, then SIGKILL `KILL_AFTER_S` after the first; wait for the exit."""
        self.process_record.terminated_at = time.monotonic()
        for _ in range(count):
            await self.signal(SIGTERM)
            await asyncio.sleep(SIGNAL_GAP_S)
        left_s = self.process_record.terminated_at + KILL_AFTER_S - time.monotonic()
        await asyncio.wait({self._exit_watch}, timeout=left_s)
        if self._exit_watch.done():
            await self._wait_exit()
        else:
            await self.kill()

    async def inject(self, fault: Fault) -> None:
        """Inject a process fault; restarts of the same sender run one after the other."""
        match fault.kind:
            case FaultKind.RELOAD:
                for _ in range(fault.count):
                    await self._signal_ready(SIGHUP)
                    await asyncio.sleep(SIGNAL_GAP_S)
            case FaultKind.COUNTERS:
                await self._signal_ready(SIGUSR1)
            case FaultKind.HOLD_UP:
                await self._signal_ready(SIGSTOP)
                await asyncio.sleep(min(fault.duration_s, MAX_PAUSE_S))
                await self.signal(SIGCONT)
            case _:
                async with self._restart_lock:
                    await self._restart(fault)

    async def _signal_ready(self, number: Any) -> None:
        if self.process_record.ready_at < time.monotonic():
            await self.signal(number)

    async def _restart(self, fault: Fault) -> None:
        if fault.kind is FaultKind.STOP:
            await self.terminate(fault.count)
        else:
            await self.kill()
        await asyncio.sleep(RESTART_AFTER_S)
        await self.start_next()
        if fault.kind in (FaultKind.KILL_TWICE, FaultKind.STOP_IN_START):
            await asyncio.sleep(fault.duration_s)
            await (self.kill() if fault.kind is FaultKind.KILL_TWICE else self.terminate())
            await asyncio.sleep(RESTART_AFTER_S)
            await self.start_next()
        await self.wait_ready()

    async def wait_settled(self) -> None:
        """Wait until no restart is in progress."""
        async with self._restart_lock:
            await self.wait_ready()

    def sample(self) -> None:
        """Record the peak of the memory and the open descriptors of the process if it is running."""
        if self.process and self.process.returncode is None:
            self.observations.samples.append(
                ResourceSample(self.name, self.peak_memory_mb(), self.descriptor_count())
            )
