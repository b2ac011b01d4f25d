"""The memory that a process holds is in the log while it is used, and in the operators' figures."""

from __future__ import annotations

import asyncio
from pathlib import Path
from typing import Any

import pytest
from test_frontend import RunningFrontend
from test_frontend_memory import HEAD
from test_journal import FOLDER_BYTES

from kestreltrack.endpoints.connection_pool import ConnectionPool
from kestreltrack.journal import Journal
from kestreltrack.memory import MemoryDemand, plan_memory
from kestreltrack.sender import memory_log
from kestreltrack.sender.memory_log import MemoryLog
from kestreltrack.telemetry import Telemetry


class RecordingTelemetry(Telemetry):
    def __init__(self) -> None:
        super().__init__()
        self.rows = list[dict[str, Any]]()

    def log(self, event: str, **fields: Any) -> None:
        self.rows.append(fields)


def test_memory_is_reported_once_while_nothing_presses_and_again_under_pressure(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(memory_log, "INTERVAL_S", 0.005)
    plan = plan_memory(48_000_000, 3_000_000, MemoryDemand(100, 100, 100))

    async def scenario() -> None:
        clients = plan.request_bytes // (2 * 59_000) + 2
        running = RunningFrontend(request_bytes=plan.request_bytes, max_connections=clients + 4)
        journal = Journal(tmp_path, FOLDER_BYTES, Telemetry())
        telemetry = RecordingTelemetry()
        pool = ConnectionPool(60.0, 5.0, 8, telemetry)
        log = MemoryLog(plan, running.server, pool, journal, telemetry)
        task = asyncio.create_task(log.follow())
        await asyncio.sleep(0.05)
        assert len(telemetry.rows) == 1 and telemetry.rows[0]["limit_bytes"] == 48_000_000
        for _ in range(clients):
            await running.connect(HEAD % 60_000 + bytes(59_000))
        while not any(row["request_peak_bytes"] > plan.request_bytes // 2 for row in telemetry.rows):
            await asyncio.sleep(0.005)
        gauges = dict(line.removesuffix("|g").rsplit(":", 1) for line in log.metrics())
        assert int(gauges["app.memory.request_bytes"]) <= plan.request_bytes
        assert int(gauges["app.memory.client_connections"]) >= 40
        task.cancel()
        journal.close()

    asyncio.run(asyncio.wait_for(scenario(), 20.0))
