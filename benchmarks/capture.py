"""What a capture costs a sender under load, in turn in one run: off, digests, whole, off, …; and how fast it replays.

    python benchmarks/capture.py [--seconds 15] [--rate 300] [--rounds 2]

Prints JSON lines: processor share and memory of the sender, bytes a message, and the replay's speed.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import sys
import tempfile
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).parent.parent))

from kestreltrack.capture.reader import capture_files
from kestreltrack.capture.replay import replay
from kestreltrack.testing.demo.environment import DemoEnvironment


async def run_one(mode: str, seconds: float, rate: float) -> dict[str, object]:
    """One sender under load."""
    with tempfile.TemporaryDirectory() as folder:
        place = Path(folder) / "capture"
        world = DemoEnvironment(Path(folder), seed=5, capture=None if mode == "off" else place)
        variables = world.operator_environment
        more = {"KESTRELTRACK_CAPTURE_WHOLE": "true"} if mode == "whole" else {}
        world.operator_environment = lambda: {**variables(), **more}  # type: ignore[method-assign]
        await world.start()
        assert world.load_generator
        await world.load_generator.run(rate, 3.0, world.draw_message)
        cpu = world.sender.cpu_s()
        began = time.monotonic()
        await world.load_generator.run(rate, seconds, world.draw_message)
        busy = (world.sender.cpu_s() - cpu) / (time.monotonic() - began)
        memory = world.sender.memory_mb()
        messages = len(world.load_generator.results.accepted)
        await world.wait_until_settled()
        await world.stop()
        row: dict[str, object] = {
            "capture": mode,
            "messages_a_second": rate,
            "cpu": round(busy, 4),
            "memory_mb": round(memory, 1),
            "messages": messages,
            "owed": len(world.pending()),
        }
        if mode != "off":
            files = capture_files([place])
            size = sum(file.stat().st_size for file in files)
            runs = [replay(files) for _ in range(10)]
            row |= {
                "bytes_a_message": round(size / messages, 1),
                "records": runs[0].records,
                "identical": sum(run.identical() and not run.faults for run in runs),
                "records_a_second": round(runs[0].records / min(run.took_s for run in runs)),
                "times_real_time": round(runs[0].span_ms / 1000.0 / min(run.took_s for run in runs)),
            }
        return row


if __name__ == "__main__":
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--seconds", type=float, default=15.0)
    parser.add_argument("--rate", type=float, default=300.0)
    parser.add_argument("--rounds", type=int, default=2)
    asked = parser.parse_args()
    for _ in range(asked.rounds):
        for how in ("off", "digest", "whole"):
            print(json.dumps(asyncio.run(run_one(how, asked.seconds, asked.rate))), flush=True)
