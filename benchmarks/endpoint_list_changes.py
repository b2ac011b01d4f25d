"""What one change of the machine list costs, and how long a whole list makes the module stand still.

    python benchmarks/endpoint_list_changes.py [--sizes 100,1000,10000,50000]

Prints one JSON line a size, in milliseconds: `change_ms` is the median of one drain or undrain told to the
module, `journal_ms` the same written to the journal, `diff_ms` and `longest_slice_ms` the standstills while a
whole list is compared with the last and told.
"""

from __future__ import annotations

import argparse
import json
import statistics
import sys
import tempfile
import time
from dataclasses import replace
from pathlib import Path

sys.path[:0] = [str(Path(__file__).parent.parent), str(Path(__file__).parent.parent / "tests")]

from conftest import SETTINGS

from kestreltrack.decision import EndpointLifecycle, Policy
from kestreltrack.discovery import EndpointList
from kestreltrack.discovery.incremental_update import IncrementalUpdateQueue
from kestreltrack.journal import Journal
from kestreltrack.ports import EndpointListUpdate, ListedEndpoint
from kestreltrack.telemetry import Telemetry


def measure(size: int, changes: int = 60) -> dict[str, float]:
    """One size, on a module that holds nothing else."""
    machines = [
        ListedEndpoint(f"s-{n:08x}", "10.1.0.18:6379", n // 2, "plain", "a", rate=5.0) for n in range(size)
    ]
    feed = IncrementalUpdateQueue(EndpointList())
    policy = Policy(SETTINGS, 1)
    clock = 0.0
    stands = list[float]()

    def tell() -> None:
        nonlocal clock
        began = time.perf_counter()
        part = feed.next_chunk()
        if part:
            clock += 1.0
            policy.handle(clock, part.event)
        stands.append((time.perf_counter() - began) * 1000.0)

    began = time.perf_counter()
    feed.enqueue(EndpointListUpdate(1, True, tuple(machines)))
    taken = (time.perf_counter() - began) * 1000.0
    while len(feed):
        tell()
    longest = max(stands)
    total = sum(stands)
    stands.clear()
    with tempfile.TemporaryDirectory() as folder:
        journal = Journal(Path(folder), 200_000_000, Telemetry())
        written = list[float]()
        journal.record_endpoints(EndpointListUpdate(1, True, tuple(machines)))
        for n in range(changes):
            state = EndpointLifecycle.DRAINING if n % 2 == 0 else EndpointLifecycle.UP
            update = EndpointListUpdate(n + 2, False, (replace(machines[n // 2 * 7 % size], state=state),))
            feed.enqueue(update)
            tell()
            began = time.perf_counter()
            journal.record_endpoints(update)
            written.append((time.perf_counter() - began) * 1000.0)
        journal.close()
    return {
        "endpoints": size,
        "change_ms": round(statistics.median(stands), 4),
        "journal_ms": round(statistics.median(written), 4),
        "diff_ms": round(taken, 1),
        "longest_slice_ms": round(longest, 1),
        "whole_list_ms": round(total, 1),
    }


if __name__ == "__main__":
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--sizes", default="100,1000,10000,50000")
    for text in parser.parse_args().sizes.split(","):
        print(json.dumps(measure(int(text))), flush=True)
