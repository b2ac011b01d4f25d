"""A capture over restarts and crashes of a sender replays, with a gap between two processes."""

from __future__ import annotations

import asyncio
import signal
from pathlib import Path

from captures.scripts import Stepping
from conftest import SETTINGS, entry

from kestreltrack.capture.cursor import CaptureFiles
from kestreltrack.capture.reader import capture_files
from kestreltrack.capture.replay import replay
from kestreltrack.capture.writer import BlockingWriter
from kestreltrack.decision import EndpointsUpdated, MessageArrived, Policy, TimerExpired
from kestreltrack.explain import message_timeline
from kestreltrack.telemetry import Telemetry
from kestreltrack.testing.demo.environment import SETTINGS as DEMO_SETTINGS
from kestreltrack.testing.demo.environment import DemoEnvironment


def test_a_capture_over_restarts_in_one_folder_replays(tmp_path: Path) -> None:
    """Processes that crash leave the records that they passed to their writer, and each restart follows a gap."""
    now = 0.0
    for process in range(3):
        writer = BlockingWriter(tmp_path, 10**8, 1e9, print)
        recorder = Stepping(Policy(SETTINGS, process), writer, Telemetry(), "n1", False, 10**8)
        recovered = list[MessageArrived]()
        if process:
            recovered.append(
                MessageArrived("m1", 1, "keyed", 15_000.0, attempts=process, ambiguous_since=now - 500.0)
            )
        recorder.step(now, [EndpointsUpdated([entry(1)], complete=True, cached=bool(process)), *recovered])
        if not process:
            recorder.step(now, [MessageArrived("m1", 1, "keyed", 15_000.0)])
        for _ in range(20):
            now += 100.0
            recorder.step(now, [TimerExpired(0)])
        recorder._flush_block(now)
        if process == 2:
            recorder.close(now)
        # Lets the thread write the queued blocks; the recorder of a crashed process is not closed.
        writer.close()
        now += 1000.0
    files = capture_files([tmp_path])
    result = replay(files)
    assert len(files) == 3
    assert result.identical()
    assert not result.faults
    assert result.events["Arrived"] == 3
    timelines = message_timeline.build_timelines(CaptureFiles(files), "m1")
    assert [timeline.attempts_before for timeline in timelines] == [0, 1, 2]
    assert all(timeline.attempts for timeline in timelines)


def test_a_killed_sender_leaves_a_capture_that_replays(tmp_path: Path) -> None:
    """A sender process is killed with SIGKILL under load, and a second one uses the same folder."""
    folder = tmp_path / "capture"

    async def run_two_processes() -> int:
        environment = DemoEnvironment(tmp_path, seed=3, destination_count=6, capture=folder)
        await environment.start()
        assert environment.load_generator
        await environment.load_generator.run(80.0, 2.0, environment.draw_message)
        await environment.sender.signal(signal.SIGKILL)
        assert environment.sender.process
        await environment.sender.process.wait()
        await environment.sender.start(
            environment.platform.address, DEMO_SETTINGS, environment.operator_environment()
        )
        await environment.wait_until_settled(15.0)
        pending = len(environment.pending())
        await environment.stop()
        return pending

    assert asyncio.run(run_two_processes()) == 0
    files = capture_files([folder])
    result = replay(files)
    assert result.identical()
    assert not result.faults
    assert len(files) == 2
    assert result.events["Arrived"] >= 100
    first_steps = [step for step in CaptureFiles(files).steps() if step.after_gap]
    assert len(first_steps) == 2, "the records of the second process follow a gap"
