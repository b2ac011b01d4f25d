"""The log never waits for its reader, and lines that it does not read are lost whole."""

from __future__ import annotations

import asyncio
import json
import os
import sys
import time
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path
from signal import SIGKILL

import pytest

from kestreltrack.telemetry import Telemetry
from kestreltrack.testing.fakes.load_generator import LoadGenerator
from kestreltrack.testing.pressure.measurement import Pressure, _draw_message, _running_sender

LINES = 5000
LONG = "x" * 10_000


@contextmanager
def log_pipe(monkeypatch: pytest.MonkeyPatch) -> Iterator[int]:
    reader, writer = os.pipe()
    with os.fdopen(writer, "w") as stream:
        monkeypatch.setattr(sys, "stderr", stream)
        yield reader
    os.close(reader)


@pytest.mark.parametrize("text", ["short", LONG])
def test_log_whose_reader_does_not_read_loses_whole_lines_and_never_blocks(
    text: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    with log_pipe(monkeypatch) as reader:
        telemetry = Telemetry("s1")
        for number in range(LINES):
            telemetry.log("event", number=number, text=text)
        lost = telemetry.counters["telemetry.lost_lines"]
        assert 0 < lost < LINES
        received = os.read(reader, 1 << 20)
        telemetry.log("last", text=text)
        received += os.read(reader, 1 << 20)
        rows = [json.loads(line) for line in received.splitlines()]
        assert len(rows) == LINES - lost + 1 and rows[-1]["event"] == "last"


def test_log_whose_reader_has_ended_counts_its_lines(monkeypatch: pytest.MonkeyPatch) -> None:
    reader, writer = os.pipe()
    os.close(reader)
    with os.fdopen(writer, "w") as stream:
        monkeypatch.setattr(sys, "stderr", stream)
        telemetry = Telemetry()
        telemetry.log("event")
        assert telemetry.counters["telemetry.lost_lines"] == 1


def test_sender_whose_log_nobody_reads_serves_on(tmp_path: Path) -> None:
    # Guards against a blocked write to the log, which holds the event loop.
    async def scenario() -> None:
        async with _running_sender(Pressure(), tmp_path) as sender:
            assert sender._reader_task
            sender._reader_task.cancel()
            load = LoadGenerator(sender.listen_address, 1)
            started_at = time.monotonic()
            while time.monotonic() - started_at < 4.0:
                await load.run(400.0, 0.5, _draw_message)
            assert not load.results.answer_counts["silent"]
            await sender.signal(SIGKILL)
            assert sender.process and sender.process.stderr
            await sender.process.stderr.read()  # the process counts as ended once its output is read

    asyncio.run(scenario())
