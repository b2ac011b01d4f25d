"""What calls of several messages save: a real sender on loopback takes bursts for one partner, with 1, 5 and 20
messages in a call at most, in turn and several times over.

Prints JSON: for each size the median of messages a second that one core would carry (messages over the processor time
of the sender's process), of its memory, and of calls and new connections a message.
"""

from __future__ import annotations

import asyncio
import copy
import json
import random
import statistics
import sys
import tempfile
import time
from pathlib import Path

ROOT = Path(__file__).parent.parent
sys.path.insert(0, str(ROOT))

from kestreltrack.testing.demo.environment import SETTINGS
from kestreltrack.testing.fakes.destinations import FakeDestination, FakeEndpoint
from kestreltrack.testing.fakes.load_generator import LoadGenerator
from kestreltrack.testing.fakes.platform import FakePlatform
from kestreltrack.testing.harness.sender_process import SenderProcess

SIZES = [int(size) for size in sys.argv[1:]] or [1, 5, 20]
ROUNDS = 5
# 320 messages a second, as they come when a partner's slots are taken
BURST = 80
BURSTS = 24
EVERY_S = 0.25


async def run(size: int, number: int) -> dict[str, float]:
    """One life of a sender."""
    settings = copy.deepcopy(SETTINGS)
    settings["domain"] |= {"bundleMax": [size], "slots": 120}
    settings["allowed"]["mostHeld"] = 2000
    partner = FakeDestination(1, service_time_ms=40.0)
    platform = FakePlatform()
    endpoint = FakeEndpoint("p1", partner, random.Random(number))
    await endpoint.listen()
    await platform.listen()
    platform.publish(endpoint.discovery_row() | {"capacity_hint": 5000.0})
    with tempfile.TemporaryDirectory() as folder:
        sender = SenderProcess(Path(folder), "b1")
        await sender.start(platform.address, settings, {})
        load = LoadGenerator(sender.listen_address, number)
        await asyncio.gather(
            *(load.submit(1, "keyed") for _ in range(BURST))
        )  # connections and caches are warm
        await asyncio.sleep(0.5)
        before = sender.cpu_s()
        delivered = len(endpoint.delivered)
        calls = partner.answer_counts["200"]
        began = time.monotonic()
        for burst in range(BURSTS):
            await asyncio.sleep(max(0.0, began + burst * EVERY_S - time.monotonic()))
            await asyncio.gather(*(load.submit(1, "keyed") for _ in range(BURST)))
        await asyncio.sleep(1.0)
        cpu = sender.cpu_s() - before
        messages = len(endpoint.delivered) - delivered
        calls = partner.answer_counts["200"] - calls
        memory = sender.memory_mb()
        load.close()
        await sender.stop()
        assert messages == BURST * BURSTS, f"{messages} of {BURST * BURSTS} delivered"
        opened = sender.counters["endpoints.connections"] / sender.counters["app.forwards"]
    endpoint.close()
    platform.close()
    return {
        "messages_a_core_second": round(messages / cpu),
        "memory_mb": round(memory, 1),
        "calls_a_message": round(calls / messages, 3),
        "connections_a_message": round(opened, 4),
    }


async def main() -> None:
    """Each size in turn, so that all meet the same machine."""
    rows: dict[int, list[dict[str, float]]] = {size: [] for size in SIZES}
    for number in range(ROUNDS):
        for size in SIZES:
            rows[size].append(await run(size, number))
    for size, found in rows.items():
        row = {name: statistics.median(each[name] for each in found) for name in found[0]}
        print(json.dumps({"messages_in_a_call": size, "rounds": ROUNDS, **row}))


if __name__ == "__main__":
    asyncio.run(main())
