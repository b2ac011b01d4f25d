"""How soon senders are told what discovery has after an outage, and what their calls cost it.

    python benchmarks/discovery_recovery.py [--senders 3,30,200] [--seeds 1,2] [--rate 200]

Real policies, desks and list sources on a driven clock; the service handles `rate` calls a second in turn and answers
503 to one that would wait over 2 s for its turn.  For each way to be away (503, refused, reset, silent; 8 and 60 s)
a change is there at the return: worst and usual time until told; calls a second of all senders, in the mean of the
outage's second half, and in the worst second of the 6 s from the return.  `watches silent`: all open watches hear
nothing from one moment on, new calls are served; the time left before what they missed counts as told.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import random
import statistics
import sys
from pathlib import Path
from typing import Any

sys.path.insert(0, str(Path(__file__).parent.parent))

from kestreltrack.decision import (
    ClassSettings,
    Idempotency,
    KindSettings,
    RateAccuracy,
    SafetyLimits,
    Settings,
)
from kestreltrack.testing.emulator.discovery import DiscoveryConnection, DiscoveryServer, ListFollower
from kestreltrack.testing.emulator.virtual_time import run_in_virtual_time

SAFETY = SafetyLimits(
    answer_slack_ms=20,
    drain_grace_ms=500,
    cold_start_share=0.25,
    warm_up_ms=10_000,
    overload_factor=2,
    overload_window_ms=2_000,
    poll_interval_ms=10_000,
)
CLASS = ClassSettings(latency_objective_ms=1000, deadline_ms=10_000, idempotency=Idempotency.IDEMPOTENT)
COUNTING_WINDOW_S = 6.0  # after the return, or after it fell silent: what a sender missed counts as told


async def start_followers(discovery: DiscoveryServer, senders: int, seed: int) -> list[ListFollower]:
    """So many senders that all watch: they started within 20 s, and a change has ended all watches at once."""
    settings = Settings(
        classes={"a": CLASS},
        kinds={"plain": KindSettings()},
        safety=SAFETY,
        concurrency_limit=8,
        queue_capacity=100,
        max_attempts=8,
        sender_count=senders,
        rate_accuracy=RateAccuracy.EXACT,
        must_poll=True,
    )
    found = [ListFollower(settings, DiscoveryConnection(discovery), seed * 1000 + n) for n in range(senders)]
    for follower in found:
        follower.start()
        await asyncio.sleep(20.0 / senders)
    discovery.publish_change()
    await asyncio.sleep(5.0 + seed)
    return found


def max_calls_per_second(times: list[float], since: float, until: float) -> int:
    """The most within any second that begins at one of these."""
    inside = [at for at in times if since <= at < until]
    return max((sum(at <= t < at + 1.0 for t in inside) for at in inside), default=0)


async def outage(state: str, away_s: float, senders: int, seed: int, rate: float) -> dict[str, Any]:
    """Away for so long, with a change at the return."""
    loop = asyncio.get_running_loop()
    discovery = DiscoveryServer(rate)
    found = await start_followers(discovery, senders, seed)
    gone = loop.time()
    waits = discovery.set_state(state)
    await asyncio.sleep(away_s)
    discovery.revision += 1
    back = loop.time()
    rev = discovery.revision
    discovery.set_state("up")
    await asyncio.sleep(100.0)
    took = [min(100.0, f.received_at(rev) - back) for f in found]
    due = [
        max(COUNTING_WINDOW_S, waits.get(f.connection, 0.0) + 2.0 - back) for f in found
    ]  # a silent watch's wait may be longer
    half = [at for at in discovery.call_times if gone + away_s / 2 <= at < back]
    for follower in found:
        await follower.stop()
    return {
        "state": state,
        "away_s": away_s,
        "senders": senders,
        "seed": seed,
        "worst_s": round(max(took), 2),
        "usual_s": round(statistics.median(took), 2),
        "late": sum(t > by for t, by in zip(took, due, strict=True)),
        "least_left_s": round(min(by - t for t, by in zip(took, due, strict=True)), 2),
        "calls_a_second_away": round(len(half) / (away_s / 2), 1),
        "calls_in_worst_second_after": max_calls_per_second(
            discovery.call_times, back, back + COUNTING_WINDOW_S
        ),
        "served_in_worst_second_after": max_calls_per_second(
            discovery.served_times, back, back + COUNTING_WINDOW_S
        ),
    }


async def silent_watches(senders: int, seed: int, rate: float) -> dict[str, Any]:
    """All open watches hear nothing from one moment on."""
    loop = asyncio.get_running_loop()
    discovery = DiscoveryServer(rate)
    found = await start_followers(discovery, senders, seed)
    fell = loop.time()
    waits = discovery.silence_watches()
    discovery.publish_change()
    rev = discovery.revision
    await asyncio.sleep(60.0)
    due = {f: max(fell + COUNTING_WINDOW_S, waits.get(f.connection, 0.0) + 2.0) for f in found}
    left = [by - f.received_at(rev) for f, by in due.items()]
    for follower in found:
        await follower.stop()
    return {
        "state": "watches silent",
        "senders": senders,
        "seed": seed,
        "least_left_s": round(min(left), 2),
        "usual_left_s": round(statistics.median(left), 2),
        "late": sum(t < 0.0 for t in left),
        "calls_in_worst_second_after": max_calls_per_second(discovery.call_times, fell, max(due.values())),
        "served_in_worst_second_after": max_calls_per_second(discovery.served_times, fell, max(due.values())),
    }


if __name__ == "__main__":
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--senders", default="3,30,200")
    parser.add_argument("--seeds", default="1,2")
    parser.add_argument("--rate", type=float, default=200.0)
    parser.add_argument("--states", default="503,refused,reset,silent,watches")
    parser.add_argument("--away", default="8,60")
    asked = parser.parse_args()
    random.seed(1)  # what list sources draw
    for senders in map(int, asked.senders.split(",")):
        for seed in map(int, asked.seeds.split(",")):
            for state in asked.states.split(","):
                if state == "watches":
                    print(
                        json.dumps(run_in_virtual_time(silent_watches(senders, seed, asked.rate))), flush=True
                    )
                    continue
                for away in map(float, asked.away.split(",")):
                    print(
                        json.dumps(run_in_virtual_time(outage(state, away, senders, seed, asked.rate))),
                        flush=True,
                    )
