"""Calls to a partner that is out and comes back: by senders alone, by the fleet, and with a third of it cut off.

    python benchmarks/outage_probing.py [--seeds 10] [--senders 1 3 12 40 200] [--push 200]

Simulated time (`lab/rig/outage.py`), all cores.  `--push` plays so many seeds more with 12 senders for the partner
that is pushed over.
"""

from __future__ import annotations

import argparse
import sys
import time
from collections.abc import Callable
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path
from typing import Any

import numpy as np
import scipy.stats

sys.path.insert(0, str(Path(__file__).parent.parent))

from kestreltrack.fleet.outage_probing.wire import coordinator_of
from kestreltrack.testing.harness.outage_simulation import (
    OutageResult,
    OutageScenario,
    OutageSimulation,
    simulate_outage,
    without_cooperation,
)

CUT_AT = 15_000.0
KILL_AT = 25_000.0
VARIANTS = ("alone", "fleet", "a third cut off")


def run_one(job: tuple[str, int, int]) -> tuple[str, int, dict[str, float]]:
    """Play one."""
    variant, senders, seed = job
    world = OutageScenario(senders, seed)
    if variant == "alone":
        world = without_cooperation(world)

    def cut(outage: OutageSimulation) -> None:
        if variant == VARIANTS[2]:
            outage.schedule(CUT_AT, lambda: outage.partition([f"s{n}" for n in range(senders // 3)]))

    began = time.process_time()
    seen = simulate_outage(world, cut)
    return variant, senders, result_figures(world, seen) | {"cpu": time.process_time() - began}


def result_figures(world: OutageScenario, seen: OutageResult) -> dict[str, float]:
    """What is compared."""
    return {
        "trials": seen.probe_rate(world),
        "first": float(seen.calls_after_recovery(world)),
        "back": seen.recovery_ms(world) / 1000.0,
        "tipped": float(seen.overload_count),
        "pushed": seen.max_overload,
        "share": seen.max_budget_share,
        "datagrams": seen.datagrams / world.senders / (world.ends_at / 1000.0),
    }


class TimedOutage(OutageSimulation):
    """The same, with what the lending of all costs: CPU of its own code, and bytes of its rows."""

    def __init__(self, world: OutageScenario) -> None:
        """Nothing spent yet."""
        super().__init__(world)
        self.cpu = 0.0
        self.bytes = 0
        for member in self.members:
            for part, name in (
                (member.participant, "tick"),
                (member.participant, "told"),
                (member.participant, "answered"),
                (member.coordinator, "asked"),
                (member.coordinator, "words"),
            ):
                setattr(part, name, self._timed(getattr(part, name)))

    def _timed(self, call: Callable[..., Any]) -> Callable[..., Any]:
        def timed(*given: Any) -> Any:
            began = time.process_time()
            try:
                return call(*given)
            finally:
                self.cpu += time.process_time() - began

        return timed

    def _send(self, source: Any, target: str, what: Any) -> None:
        if target != source.name:
            self.bytes += 28 + 20 + 75  # UDP and IP, membership's frame, one row at most
        super()._post(source, target, what)


class OutageWithoutCoordinator(OutageSimulation):
    """The keeper is killed in the outage; `gaps` is how long each other sender is without a reply of any keeper."""

    def __init__(self, world: OutageScenario) -> None:
        """Not yet."""
        super().__init__(world)
        self.gaps = dict[str, float]()
        self.dead = coordinator_of(1, [member.name for member in self.members])
        self.schedule(KILL_AT, lambda: self.kill(self.members[int(self.dead[1:])]))

    def _on_response(self, member: Any, coordinator: str, row: Any) -> None:
        super()._answered(member, coordinator, row)
        if self.now > KILL_AT and coordinator != self.dead:
            self.gaps.setdefault(member.name, (self.now - KILL_AT) / 1000.0)


def without_coordinator(senders: int, seeds: int) -> str:
    """One row: from a keeper's death to the first reply of another, over all that asked."""
    gaps = list[float]()
    for seed in range(seeds):
        outage = OutageWithoutCoordinator(OutageScenario(senders, seed))
        outage.run()
        gaps += outage.gaps.values()
    return f"| {senders} | {len(gaps)} | {interval(gaps)} | {max(gaps):.1f} |"


def cost(senders: int) -> str:
    """One row of the table of costs: one partner out and back, messages for it at all senders."""
    world = OutageScenario(senders, 1)
    outage = TimedOutage(world)
    outage.run()
    seconds = world.ends_at / 1000.0 * senders
    cpu = 100.0 * outage.cpu / seconds
    sent = outage.result.datagrams / seconds
    size = outage.bytes / seconds
    return f"| {senders} | {cpu:.2f}% | {sent:.1f} | {size:.0f} |"


def interval(values: list[float]) -> str:
    """The mean with its 95% interval."""
    if len(values) < 2 or np.std(values) == 0.0:
        return f"{np.mean(values):.2f}"
    half = scipy.stats.t.ppf(0.975, len(values) - 1) * scipy.stats.sem(values)
    return f"{np.mean(values):.2f} ± {half:.2f}"


def main() -> None:
    """Play all and print the tables."""
    parser = argparse.ArgumentParser(description=(__doc__ or "").splitlines()[0])
    parser.add_argument("--seeds", type=int, default=10)
    parser.add_argument("--senders", type=int, nargs="+", default=[1, 3, 12, 40, 200])
    parser.add_argument("--push", type=int, default=0)
    parser.add_argument("--cores", type=int, default=8)
    parser.add_argument("--cost", action="store_true", help="only what lending and a keeper's death cost")
    given = parser.parse_args()
    if given.cost:
        print("| senders | CPU of a core | datagrams/s | bytes/s, at most |")
        print("| --- | --- | --- | --- |")
        print("\n".join(cost(senders) for senders in given.senders))
        print("\n| senders | senders that asked | without a reply s | at most |")
        print("| --- | --- | --- | --- |")
        print(
            "\n".join(without_coordinator(senders, given.seeds) for senders in given.senders if senders <= 40)
        )
        return
    sizes = sorted(given.senders, reverse=True)
    jobs = [(v, n, seed) for n in sizes for seed in range(given.seeds) for v in VARIANTS]
    more = [(v, 12, seed) for seed in range(given.seeds, given.seeds + given.push) for v in VARIANTS]
    found: dict[tuple[str, int], list[dict[str, float]]] = {}
    pushed: dict[str, list[dict[str, float]]] = {}
    with ProcessPoolExecutor(given.cores) as pool:
        for number, (variant, senders, row) in enumerate(pool.map(run_one, jobs + more)):
            place = (
                found.setdefault((variant, senders), [])
                if number < len(jobs)
                else pushed.setdefault(variant, [])
            )
            place.append(row)
    print("| senders | | trials/s | first s | back after s | pushed over | most share | datagrams/s each |")
    print("| --- | --- | --- | --- | --- | --- | --- | --- |")
    for senders in given.senders:
        for variant in VARIANTS:
            rows = found[variant, senders]
            cells = [interval([row[key] for row in rows]) for key in ("trials", "first", "back")]
            tipped = f"{sum(row['tipped'] > 0 for row in rows)} of {len(rows)}"
            share = max(row["share"] for row in rows)
            sent = float(np.mean([row["datagrams"] for row in rows]))
            print(f"| {senders} | {variant} | {' | '.join(cells)} | {tipped} | {share:.3f} | {sent:.1f} |")
    for variant, rows in pushed.items():
        tipped = sum(row["tipped"] > 0 for row in rows)
        most = max(row["pushed"] for row in rows)
        print(
            f"12 senders, {len(rows)} seeds more, {variant}: pushed over in {tipped}, at most {most:.2f} of that"
        )


if __name__ == "__main__":
    main()
