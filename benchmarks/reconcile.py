"""What it costs to make two copies of a list one, by how much they differ: bytes, datagrams, rounds and CPU.

    python benchmarks/reconcile.py [PARTNERS] [SEEDS]

Two members that hold the same list of addresses; half of the edits that differ are at each.  A round is
there and back.
"""

from __future__ import annotations

import random
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).parent.parent))

import numpy as np

from kestreltrack.fleet.reconcile.entries import Key
from kestreltrack.fleet.reconcile.replica import Replica


def run_one(partners: int, differ: int, loss: float, seed: int) -> tuple[float, float, float, float, float]:
    """Bytes, datagrams, the largest datagram, rounds and CPU ms until both are the same."""
    draw = random.Random(seed)
    both = [Replica(name, ("north", "south"), lambda: draw.getrandbits(63)) for name in ("north", "south")]
    for n in range(partners):
        both[0].edit(Key(f"{seed}-{n}", "address"), f"10.0.{n % 256}.{n // 256}:8080", "staff", 0)
    both[1].restore(both[0].encode_state())
    for at, n in enumerate(draw.sample(range(partners), differ)):
        both[at % 2].edit(Key(f"{seed}-{n}", "address"), f"10.1.{n % 256}.{n // 256}:8080", "staff", 1)
    sizes = list[int]()
    ways = 0
    began = time.process_time()
    while True:
        way = both[0].start_comparison()
        at = 1
        while way:
            sizes += map(len, way)
            ways += 1
            arrived = [data for data in way if draw.random() >= loss]
            way = [answer for data in arrived for answer in both[at].receive(data)]
            at = 1 - at
        if both[0].digests.digest("") == both[1].digests.digest(""):
            break
    took = 1000.0 * (time.process_time() - began)
    assert both[0].canonical_bytes() == both[1].canonical_bytes()
    return sum(sizes), len(sizes), max(sizes), ways / 2.0, took


def main() -> None:
    partners = int(sys.argv[1]) if len(sys.argv) > 1 else 10_000
    seeds = int(sys.argv[2]) if len(sys.argv) > 2 else 10
    heads = "partners", "differ", "lost", "bytes", "datagrams", "largest", "rounds", "CPU ms"
    print("|", " | ".join(heads), "|\n|", " | ".join("---" for _ in heads), "|")
    for differ, loss in ((0, 0.0), (1, 0.0), (10, 0.0), (10, 0.1), (10, 0.3), (100, 0.0), (1000, 0.0)):
        rows = np.array([run_one(partners, differ, loss, seed) for seed in range(1, seeds + 1)])
        mean = rows.mean(axis=0)
        largest = rows[:, 2].max()
        print(
            f"| {partners:,} | {differ:,} | {loss:.0%} | {mean[0]:,.0f} | {mean[1]:.1f} | {largest:.0f} | "
            f"{mean[3]:.1f} | {mean[4]:.1f} |"
        )


if __name__ == "__main__":
    main()
