"""What restarts and crashes leave in a capture: files that replay, with a gap between two processes."""

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
from kestreltrack.testing.demo.environment import SETTINGS as WORLD_SETTINGS
from kestreltrack.testing.demo.environment import DemoEnvironment


def test_a_capture_over_restarts_in_one_folder_replays(tmp_path: Path) -> None:
    """Also after a crash: what the first process handed over stays, and each recovery follows a gap."""
    now = 0.0
    for process in range(3):
        writer = BlockingWriter(tmp_path, 10**8, 1e9, print)
        recorder = Stepping(Policy(SETTINGS, process), writer, Telemetry(), "n1", False, 10**8)
        recovered = (
            [MessageArrived("m1", 1, "keyed", 15_000.0, attempts=process, ambiguous_since=now - 500.0)]
            if process
            else []
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
        writer.close()  # its thread writes what it has; the recorder of a killed process says nothing more
        now += 1000.0
    files = capture_files([tmp_path])
    done = replay(files)
    assert len(files) == 3 and done.identical() and not done.faults and done.events["Arrived"] == 3
    timelines = message_timeline.build_timelines(CaptureFiles(files), "m1")
    assert [each.attempts_before for each in timelines] == [0, 1, 2] and all(
        each.attempts for each in timelines
    )


def test_a_killed_sender_leaves_a_capture_that_replays(tmp_path: Path) -> None:
    """SIGKILL under load on sockets, and a second process in the same folder."""
    folder = tmp_path / "capture"

    async def run_two_processes() -> int:
        world = DemoEnvironment(tmp_path, seed=3, destination_count=6, capture=folder)
        await world.start()
        assert world.load_generator
        await world.load_generator.run(80.0, 2.0, world.draw_message)
        await world.sender.signal(signal.SIGKILL)
        assert world.sender.process
        await world.sender.process.wait()
        await world.sender.start(world.platform.address, WORLD_SETTINGS, world.operator_environment())
        await world.wait_until_settled(15.0)
        pending = len(world.pending())
        await world.stop()
        return pending

    assert asyncio.run(run_two_processes()) == 0
    files = capture_files([folder])
    done = replay(files)
    assert done.identical() and not done.faults and len(files) == 2 and done.events["Arrived"] >= 100
    capture = CaptureFiles(files)
    steps = [step for step in capture.steps() if step.after_gap]
    assert len(steps) == 2, "the second process follows a gap"
