"""How soon a death is known to all, who is wrongly held to be gone, and what it costs: members in simulated time.

    python benchmarks/membership.py [SEEDS]

The members' own code over a network of 1 to 3 ms with a share of datagrams lost; one row for each size and loss.
"""

from __future__ import annotations

import sys
import time
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path

sys.path.insert(0, str(Path(__file__).parent.parent))

import numpy as np

from kestreltrack.testing.harness.links import LinkFault
from kestreltrack.testing.harness.simulated_network import SimulatedNetwork

SETTLE_MS = 60_000.0
PATIENCE_MS = 180_000.0


def run_one(count: int, loss: float, seed: int) -> tuple[float, float, float, float, float, float]:
    """Seconds to the first and last to know of a death; wrongly gone; datagrams, bytes and CPU ms a member-second."""
    net = SimulatedNetwork(count, seed, LinkFault(loss=loss, delay_ms=1.0, jitter_ms=2.0))
    net.run(PATIENCE_MS, net.views_agree if count <= 40 else None)
    net.run(SETTLE_MS)
    sent = sum(net.datagrams_sent.values())
    size = sum(net.bytes_sent.values())
    cpu = time.process_time()
    began = net.now
    net.run(SETTLE_MS)
    spent = (net.now - began) / 1000.0 * count
    cost = (
        (sum(net.datagrams_sent.values()) - sent) / spent,
        (sum(net.bytes_sent.values()) - size) / spent,
        1000.0 * (time.process_time() - cpu) / spent,
    )
    dead = f"m{count - 1:04}"
    wrong = len(net.false_positives())
    net.kill([dead])
    at = net.now
    told = len(net.view_changes)
    net.run(PATIENCE_MS)
    gone = [t for t in net.view_changes[told:] if t.change.name == dead and t.change.state.value == "gone"]
    times = [(t.at - at) / 1000.0 for t in gone]
    known = len({t.member for t in gone})
    last = max(times) if known == count - 1 else float("inf")
    return min(times, default=float("inf")), last, float(wrong), *cost


def main() -> None:
    seeds = int(sys.argv[1]) if len(sys.argv) > 1 else 10
    cases = [(n, loss) for n in (8, 40, 200) for loss in (0.0, 0.1, 0.3) if n < 200 or loss < 0.3]
    with ProcessPoolExecutor() as pool:
        runs = {
            case: [
                pool.submit(run_one, *case, seed) for seed in range(1, (seeds if case[0] < 200 else 3) + 1)
            ]
            for case in reversed(cases)
        }
    heads = (
        "members",
        "lost",
        "seeds",
        "first knows s",
        "all know s (95%)",
        "wrongly gone",
        "datagrams/s",
        "bytes/s",
    )
    print("|", " | ".join(heads), "| CPU |")
    print("|", " | ".join("---" for _ in heads), "| --- |")
    for case in cases:
        rows = np.array([run.result() for run in runs[case]])
        mean = rows.mean(axis=0)
        error = 1.96 * rows.std(axis=0, ddof=1) / np.sqrt(len(rows))
        print(
            f"| {case[0]} | {case[1]:.0%} | {len(rows)} | {mean[0]:.1f} | {mean[1]:.1f} ± {error[1]:.1f} "
            f"| {rows[:, 2].sum():.0f} | {mean[3]:.1f} | {mean[4]:.0f} | {mean[5] / 10.0:.2f}% |"
        )


if __name__ == "__main__":
    main()
