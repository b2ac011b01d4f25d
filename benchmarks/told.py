"""How soon senders are told what discovery has after an outage, and what their calls cost it.

    python benchmarks/told.py [--senders 3,30,200] [--seeds 1,2] [--rate 200]

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

from kestreltrack.decision import api
from kestreltrack.lab.emulator.discovery import Discovery, Follower, Link
from kestreltrack.lab.emulator.loop import run

SAFETY = api.Safety(
    answer_slack_ms=20,
    drain_grace_ms=500,
    cold_share=0.25,
    warm_after_ms=10_000,
    overload_factor=2,
    tip_after_ms=2_000,
    ask_every_ms=10_000,
)
CLASS = api.ClassSettings(aim_ms=1000, deadline_ms=10_000, effect=api.Effect.SAFE)
COUNTED_S = 6.0  # after the return, or after it fell silent: what a sender missed counts as told


async def fleet(discovery: Discovery, senders: int, seed: int) -> list[Follower]:
    """So many senders that all watch: they started within 20 s, and a change has ended all watches at once."""
    settings = api.Settings(
        classes={"a": CLASS},
        kinds={"plain": api.KindSettings()},
        safety=SAFETY,
        slots=8,
        hold=100,
        try_limit=8,
        relays=senders,
        weights=api.Weights.EXACT,
        must_ask=True,
    )
    found = [Follower(settings, Link(discovery), seed * 1000 + n) for n in range(senders)]
    for follower in found:
        follower.start()
        await asyncio.sleep(20.0 / senders)
    discovery.change()
    await asyncio.sleep(5.0 + seed)
    return found


def busiest(times: list[float], since: float, until: float) -> int:
    """The most within any second that begins at one of these."""
    inside = [at for at in times if since <= at < until]
    return max((sum(at <= t < at + 1.0 for t in inside) for at in inside), default=0)


async def outage(state: str, away_s: float, senders: int, seed: int, rate: float) -> dict[str, Any]:
    """Away for so long, with a change at the return."""
    loop, discovery = asyncio.get_running_loop(), Discovery(rate)
    found = await fleet(discovery, senders, seed)
    gone = loop.time()
    waits = discovery.become(state)
    await asyncio.sleep(away_s)
    discovery.rev += 1
    back, rev = loop.time(), discovery.rev
    discovery.become("up")
    await asyncio.sleep(100.0)
    took = [min(100.0, f.heard(rev) - back) for f in found]
    due = [
        max(COUNTED_S, waits.get(f.link, 0.0) + 2.0 - back) for f in found
    ]  # a silent watch's wait may be longer
    half = [at for at in discovery.calls if gone + away_s / 2 <= at < back]
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
        "calls_in_worst_second_after": busiest(discovery.calls, back, back + COUNTED_S),
        "served_in_worst_second_after": busiest(discovery.served, back, back + COUNTED_S),
    }


async def watches_silent(senders: int, seed: int, rate: float) -> dict[str, Any]:
    """All open watches hear nothing from one moment on."""
    loop, discovery = asyncio.get_running_loop(), Discovery(rate)
    found = await fleet(discovery, senders, seed)
    fell = loop.time()
    waits = discovery.silence()
    discovery.change()
    rev = discovery.rev
    await asyncio.sleep(60.0)
    due = {f: max(fell + COUNTED_S, waits.get(f.link, 0.0) + 2.0) for f in found}
    left = [by - f.heard(rev) for f, by in due.items()]
    for follower in found:
        await follower.stop()
    return {
        "state": "watches silent",
        "senders": senders,
        "seed": seed,
        "least_left_s": round(min(left), 2),
        "usual_left_s": round(statistics.median(left), 2),
        "late": sum(t < 0.0 for t in left),
        "calls_in_worst_second_after": busiest(discovery.calls, fell, max(due.values())),
        "served_in_worst_second_after": busiest(discovery.served, fell, max(due.values())),
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
                    print(json.dumps(run(watches_silent(senders, seed, asked.rate))), flush=True)
                    continue
                for away in map(float, asked.away.split(",")):
                    print(json.dumps(run(outage(state, away, senders, seed, asked.rate))), flush=True)
