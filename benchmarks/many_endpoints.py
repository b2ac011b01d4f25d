"""What a sender needs at sixteen times the endpoints, beside the bounds of the standing page.

    python benchmarks/many_endpoints.py [--seconds 20] [--rate 50] [--destinations 20] [--endpoints 10 160]
                                            [--grow endpoints]

One real sender, the same load and the same capacity of all endpoints together at either size, one change of the list
a second.  `--grow destinations` spreads the load over more destinations in place of more endpoints a destination.
Exit 1 where a figure is over its bound ("What production adds": at most so many times, plus a part that is fixed and
one for each thousand endpoints).
"""

from __future__ import annotations

import argparse
import asyncio
import random
import re
import sys
import tempfile
from dataclasses import dataclass
from pathlib import Path

sys.path.insert(0, str(Path(__file__).parent.parent))

from kestreltrack.testing.demo.environment import SETTINGS
from kestreltrack.testing.fakes.destinations import FakeDestination, FakeEndpoint
from kestreltrack.testing.fakes.load_generator import LoadGenerator
from kestreltrack.testing.fakes.platform import FakePlatform
from kestreltrack.testing.harness.sender_process import SenderProcess

CAPACITY_PER_S = 400.0  # of all endpoints together: eight times the load, so that no limit binds
SERVICE_TIME_MS = 60.0
SETTLE_S = 9.0  # the messages' time, and a second
SAMPLE_INTERVAL_S = 0.25


@dataclass(frozen=True, slots=True)
class Bound:
    """At most `factor` times the figure at the usual size, plus `fixed`, plus `per_thousand` endpoints."""

    name: str
    factor: float
    fixed: float
    per_thousand: float = 0.0

    def limit(self, usual: float, endpoints: int) -> float:
        """Return the most that is allowed."""
        return self.factor * usual + self.fixed + self.per_thousand * endpoints / 1000.0


BOUNDS = (
    Bound("CPU seconds", 1.4, 0.02, 0.12),
    Bound("peak memory, MB", 1.5, 8.0, 4.0),
    Bound("descriptors", 2.0, 40.0),
    Bound("connections made", 2.5, 40.0),
    Bound("bytes of lists", 2.0, 64_000.0, 500_000.0),
)
MIN_SERVED_SHARE = 0.85


class CountedPlatform(FakePlatform):
    """Counts the bytes of lists that are written."""

    def __init__(self) -> None:
        """Create it with no bytes counted."""
        super().__init__()
        self.list_bytes = 0

    def _list_response(self, complete: bool, rows: list[dict[str, object]]) -> bytes:
        response = super()._list_response(complete, rows)
        self.list_bytes += len(response)
        return response


class CountedEndpoint(FakeEndpoint):
    """Counts the connections that come."""

    connections = 0

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Count the connection and serve it."""
        CountedEndpoint.connections += 1
        await super().serve(reader, writer)


@dataclass(slots=True)
class Figures:
    """What one run needed, in the order of `BOUNDS`, and what it served."""

    values: list[float]
    served: float
    startup_cpu_s: float


def _endpoints(destinations: int, per_destination: int) -> list[CountedEndpoint]:
    return [
        CountedEndpoint(
            f"s-{dest:03d}-{number:03d}", FakeDestination(dest, SERVICE_TIME_MS), random.Random(dest)
        )
        for dest in range(1, destinations + 1)
        for number in range(per_destination)
    ]


async def play(destinations: int, per_destination: int, seconds: float, rate: float, folder: Path) -> Figures:
    """Play the load on one sender and return what it needed."""
    CountedEndpoint.connections = 0
    platform = CountedPlatform()
    await platform.listen()
    endpoints = _endpoints(destinations, per_destination)
    capacity_per_s = CAPACITY_PER_S / destinations  # the endpoints of a destination share its limit
    for endpoint in endpoints:
        await endpoint.listen()
        row = endpoint.discovery_row()
        row["capacity_hint"] = capacity_per_s
        platform.publish(row)
    sender = SenderProcess(folder, "bench")
    await sender.start(platform.address, SETTINGS, {})
    await asyncio.sleep(1.0)
    startup_cpu_s, startup_bytes = sender.cpu_s(), platform.list_bytes
    load = LoadGenerator(sender.listen_address, 1)
    playing = asyncio.create_task(
        load.run(rate, seconds, lambda rng: (rng.randint(1, destinations), "keyed"))
    )
    descriptors = 0
    changes = random.Random(2)
    for tick in range(int((seconds + SETTLE_S) / SAMPLE_INTERVAL_S)):
        await asyncio.sleep(SAMPLE_INTERVAL_S)
        descriptors = max(descriptors, sender.descriptor_count())
        if tick % 4 == 0 and not playing.done():
            changed = changes.choice(endpoints).discovery_row()
            platform.publish(changed | {"capacity_hint": capacity_per_s, "boot_ms": tick})
    await playing
    delivered = set().union(*(endpoint.delivered for endpoint in endpoints))
    served = len(delivered & set(load.results.accepted)) / sum(load.results.answer_counts.values())
    cpu_s = sender.cpu_s() - startup_cpu_s
    values = [
        cpu_s,
        _peak_memory_mb(sender),
        float(descriptors),
        float(CountedEndpoint.connections),
        float(platform.list_bytes - startup_bytes),
    ]
    load.close()
    await sender.stop()
    platform.close()
    for endpoint in endpoints:
        endpoint.close()
    return Figures(values, served, startup_cpu_s)


def _peak_memory_mb(sender: SenderProcess) -> float:
    assert sender.process
    found = re.search(r"VmHWM:\s+(\d+) kB", Path(f"/proc/{sender.process.pid}/status").read_text())
    return int(found[1]) / 1000.0 if found else 0.0


def main() -> int:
    """Play both sizes and print each figure beside its bound."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0] if __doc__ else None)
    parser.add_argument("--seconds", type=float, default=20.0)
    parser.add_argument("--rate", type=float, default=50.0, help="messages a second")
    parser.add_argument("--destinations", type=int, default=20)
    parser.add_argument("--endpoints", type=int, nargs=2, default=[10, 160], help="of a destination")
    parser.add_argument("--grow", choices=["endpoints", "destinations"], default="endpoints")
    asked = parser.parse_args()
    few, many = asked.endpoints
    sizes = [(asked.destinations, few), (asked.destinations, many)]
    if asked.grow == "destinations":
        sizes[1] = (asked.destinations * many // few, few)
    found = list[Figures]()
    for destinations, per_destination in sizes:
        with tempfile.TemporaryDirectory() as folder:
            run = play(destinations, per_destination, asked.seconds, asked.rate, Path(folder))
            found.append(asyncio.run(run))
    usual, large = found
    count = sizes[1][0] * sizes[1][1]
    over = large.served < MIN_SERVED_SHARE * usual.served
    print(f"{'':18}{sizes[0][0] * sizes[0][1]:>10}{count:>10}{'bound':>10}")
    for bound, before, after in zip(BOUNDS, usual.values, large.values, strict=True):
        limit = bound.limit(before, count)
        over = over or after > limit
        print(f"{bound.name:18}{before:10.2f}{after:10.2f}{limit:10.2f}{'  OVER' if after > limit else ''}")
    print(
        f"{'share served':18}{usual.served:10.3f}{large.served:10.3f}{MIN_SERVED_SHARE * usual.served:10.3f}"
    )
    print(f"{'CPU of the start':18}{usual.startup_cpu_s:10.2f}{large.startup_cpu_s:10.2f}")
    return int(over)


if __name__ == "__main__":
    sys.exit(main())
