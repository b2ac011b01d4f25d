"""The sum of many senders at a partner that comes back cold, each alone: the worst span against the standing page.

    python benchmarks/cold_sum.py [--seeds 2] [--senders 60] [--limit 20] [--load 0.8] [--well 20]

Calls fail at once for 8 s, then work within 100 ms; the partner warms up in 10 s from a quarter.  Without arguments
five sizes of the fleet.  1.00 is the limit: N + 3 x root of N + 3 calls in 2 s, N being twice what it can do then.
"""

from __future__ import annotations

import argparse
import heapq
import math
import random
import sys
from collections.abc import Iterable
from pathlib import Path

sys.path.insert(0, str(Path(__file__).parent.parent))

from kestreltrack.decision import Policy, api

STEP, OUT_FOR, LOOKED_AT, SPAN, WARM = 20.0, 8000.0, 8000.0, 2000.0, 10_000.0  # ms
DEADLINE = 10_000.0
CLASSES = {"safe": api.ClassSettings(aim_ms=1000, deadline_ms=DEADLINE, effect=api.Effect.SAFE)}
SAFETY = api.Safety(
    answer_slack_ms=20, drain_grace_ms=500, cold_share=0.25, warm_after_ms=WARM, overload_factor=2, tip_after_ms=SPAN
)


class Fleet:
    """Senders that know nothing of each other, and one partner."""

    def __init__(self, senders: int, limit: float, load: float, seed: int, well: float) -> None:
        """Demand falls with the root of a sender's rank; for `well` ms calls work before they fail."""
        self.random, self.limit, self.well, self.back = random.Random(seed), limit, well, well + OUT_FOR
        settings = api.Settings(
            classes=CLASSES, kinds={"plain": api.KindSettings()}, safety=SAFETY, slots=8, hold=100, try_limit=12,
            relays=senders, weights=api.Weights.EXACT,
        )  # fmt: skip
        self.policies = [Policy(settings, seed * 1000 + n) for n in range(senders)]
        weights = [1.0 / math.sqrt(n + 1) for n in range(senders)]
        self.demand = [load * limit * weight / sum(weights) for weight in weights]
        self.sent = list[float]()
        self._out = list[tuple[float, int, int, str, int]]()  # due, order, sender, message, attempt
        self._tries = dict[str, int]()

    def _step(self, now: float, sender: int, events: Iterable[api.Event]) -> None:
        for action in self.policies[sender].step(now, events):
            if isinstance(action, api.Send):
                self.sent.append(now)
                attempt = self._tries[action.id] = self._tries.get(action.id, -1) + 1
                due = now + (5.0 if self.fails(now) else 100.0)
                heapq.heappush(self._out, (due, len(self.sent), sender, action.id, attempt))

    def fails(self, now: float) -> bool:
        """Whether a call that goes now fails."""
        return self.well <= now < self.back

    def play(self) -> tuple[float, int, float]:
        """The worst span over the limit, its calls, and N at its begin."""
        entry = api.Listed("e", 1, "plain", rate=self.limit)
        for sender in range(len(self.policies)):
            self._step(0.0, sender, [api.ListNews([entry], whole=True)])
        now, count = 0.0, 0
        while now < self.back + LOOKED_AT + SPAN:
            now += STEP
            while self._out and self._out[0][0] <= now:
                due, _, sender, id_, attempt = heapq.heappop(self._out)
                outcome, took = (api.Outcome.ERROR, 5.0) if self.fails(due - 5.0) else (api.Outcome.OK, 100.0)
                ended = api.Ended(id_, attempt, "e", outcome, took, outcome is api.Outcome.OK)
                self._step(now, sender, [ended])
            for sender, demand in enumerate(self.demand):
                arrived = list[api.Event]()
                while self.random.random() < demand * STEP / 1000.0 / (len(arrived) + 1):
                    count += 1
                    arrived.append(api.Arrived(f"m{count}", 1, "safe", now + DEADLINE))
                self._step(now, sender, [*arrived, api.TimerDue(0)])
        return max(self._spans())

    def _spans(self) -> Iterable[tuple[float, int, float]]:
        for begin in (at for at in self.sent if self.back <= at < self.back + LOOKED_AT):
            calls = sum(begin <= at < begin + SPAN for at in self.sent)
            able = SAFETY.cold_share + (1.0 - SAFETY.cold_share) * (begin - self.back) / WARM
            most = SAFETY.overload_factor * able * self.limit * SPAN / 1000.0
            yield calls / (most + 3.0 * math.sqrt(most) + 3.0), calls, most


def main() -> None:
    """Print a row for each size of the fleet."""
    asked = argparse.ArgumentParser()
    asked.add_argument("--seeds", type=int, default=2)
    asked.add_argument("--senders", type=int)
    asked.add_argument("--limit", type=float, default=20.0)
    asked.add_argument("--load", type=float, default=0.8)
    asked.add_argument("--well", type=float, default=0.0, help="seconds that work before")
    got = asked.parse_args()
    usual = [(20, 60.0, 0.8), (20, 60.0, 1.3), (60, 60.0, 0.8), (60, 20.0, 0.8), (60, 20.0, 1.3)]
    print("senders  limit  load  worst spans: over the limit (calls, N)")
    for senders, limit, load in [(got.senders, got.limit, got.load)] if got.senders else usual:
        seeds = range(1, got.seeds + 1)
        found = [Fleet(senders, limit, load, seed, 1000.0 * got.well).play() for seed in seeds]
        shown = "  ".join(f"{share:.2f} ({calls}, {most:.0f})" for share, calls, most in found)
        print(f"{senders:7}  {limit:5g}  {load:4g}  {shown}", flush=True)


if __name__ == "__main__":
    main()
