"""The sum of many senders at a partner that comes back cold, each alone: the worst span against the standing page.

    python benchmarks/cold_start_load.py [--seeds 2] [--senders 60 200] [--limit 20] [--load 0.8]
                                         [--well 20] [--restarts 1]

Calls fail at once for 8 s, then work within 100 ms; the partner warms up in 10 s from a quarter.  1.00 is the limit:
N + 2 x root of N + 2 calls in 2 s, N being twice what it can do then.  The rule is broken by a span over it of which
over two thirds came from senders that had been told of the outage: those of which a call failed while it lasted, the
process before a restart counted.  Senders that restart do so at any moment of the outage and keep what they held.
"""

from __future__ import annotations

import argparse
import heapq
import itertools
import math
import random
import sys
from bisect import bisect_left
from collections.abc import Iterable
from pathlib import Path
from typing import NamedTuple

sys.path.insert(0, str(Path(__file__).parent.parent))

from kestreltrack.decision import (
    AttemptEnded,
    ClassSettings,
    EndpointEntry,
    EndpointsUpdated,
    Event,
    FailMessage,
    Idempotency,
    KindSettings,
    MessageArrived,
    Outcome,
    Policy,
    RateAccuracy,
    RejectMessage,
    SafetyLimits,
    Settings,
    StartAttempt,
    TimerExpired,
)

# ms
STEP = 20.0
OUT_FOR = 8000.0
LOOKED_AT = 8000.0
SPAN = 2000.0
WARM = 10_000.0
DEADLINE = 10_000.0
CLASSES = {
    "safe": ClassSettings(latency_objective_ms=1000, deadline_ms=DEADLINE, idempotency=Idempotency.IDEMPOTENT)
}
SAFETY = SafetyLimits(
    answer_slack_ms=20,
    drain_grace_ms=500,
    cold_start_share=0.25,
    warm_up_ms=WARM,
    overload_factor=2,
    overload_window_ms=SPAN,
)


class OverloadSpan(NamedTuple):
    """Calls of 2 s, over the limit; how many there were, N at its begin, and those of senders that had been told."""

    over_limit: float
    calls: int
    sender_count: float
    notified_calls: int


class IndependentSenders:
    """Senders that know nothing of each other, and one partner."""

    def __init__(
        self, senders: int, limit: float, load: float, seed: int, well: float = 0.0, restarts: float = 0.0
    ) -> None:
        """Demand falls with the root of a sender's rank; for `well` ms calls work before they fail."""
        self.random = random.Random(seed)
        self.limit = limit
        self.well = well
        self.back = well + OUT_FOR
        self.seed = seed
        self.settings = Settings(
            classes=CLASSES,
            kinds={"plain": KindSettings()},
            safety=SAFETY,
            concurrency_limit=8,
            queue_capacity=100,
            max_attempts=12,
            sender_count=senders,
            rate_accuracy=RateAccuracy.EXACT,
        )
        weights = [1.0 / math.sqrt(n + 1) for n in range(senders)]
        self.demand = [load * limit * weight / sum(weights) for weight in weights]
        self.policies = [Policy(self.settings, seed * 1000 + n) for n in range(senders)]
        self.held = [dict[str, float]() for _ in range(senders)]  # with the end of each message
        self.told = set[int]()
        chosen = random.Random(seed + 1).sample(range(senders), round(restarts * senders))
        self.restarts = sorted(
            (well + OUT_FOR * (n + 0.5) / len(chosen), sender) for n, sender in enumerate(chosen)
        )
        self.sent = list[tuple[float, bool]]()  # when, and whether by one that had been told
        self._out = list[tuple[float, int, int, str, int]]()  # due, order, sender, message, attempt
        self._tries = dict[str, int]()

    def _step(self, now: float, sender: int, events: Iterable[Event]) -> None:
        for action in self.policies[sender].step(now, events):
            if isinstance(action, StartAttempt):
                self.sent.append((now, sender in self.told))
                attempt = self._tries[action.id] = self._tries.get(action.id, -1) + 1
                due = now + (5.0 if self.fails(now) else 100.0)
                heapq.heappush(self._out, (due, len(self.sent), sender, action.id, attempt))
            elif isinstance(action, RejectMessage | FailMessage):
                del self.held[sender][action.id]

    def _start(self, now: float, sender: int) -> None:
        """A sender knows the list and what the process before it held, and nothing of anyone's health."""
        entry = EndpointEntry("e", 1, "plain", rate=self.limit)
        held = [
            MessageArrived(id_, 1, "safe", expires, attempts=self._tries.get(id_, -1) + 1, accepted=True)
            for id_, expires in self.held[sender].items()
        ]
        self._step(now, sender, [EndpointsUpdated([entry], complete=True), *held])

    def fails(self, now: float) -> bool:
        """Whether a call that goes now fails."""
        return self.well <= now < self.back

    def play(self) -> tuple[OverloadSpan, OverloadSpan, int]:
        """The worst span, the worst one of those that senders made that had been told, and what was delivered."""
        for sender in range(len(self.policies)):
            self._start(0.0, sender)
        now = 0.0
        count = 0
        delivered = 0
        while now < self.back + LOOKED_AT + SPAN:
            now += STEP
            while self.restarts and self.restarts[0][0] <= now:
                _, sender = self.restarts.pop(0)
                self._out = [row for row in self._out if row[2] != sender]
                heapq.heapify(self._out)
                self.policies[sender] = Policy(self.settings, self.seed * 1000 + 500 + sender)
                self._start(now, sender)
            while self._out and self._out[0][0] <= now:
                due, _, sender, id_, attempt = heapq.heappop(self._out)
                outcome, took = (Outcome.ERROR, 5.0) if self.fails(due - 5.0) else (Outcome.OK, 100.0)
                if outcome is Outcome.OK:
                    delivered += self.held[sender].pop(id_, 0.0) > 0.0
                else:
                    self.told.add(sender)
                ended = AttemptEnded(id_, attempt, "e", outcome, took, outcome is Outcome.OK)
                self._step(now, sender, [ended])
            for sender, demand in enumerate(self.demand):
                arrived = list[Event]()
                while self.random.random() < demand * STEP / 1000.0 / (len(arrived) + 1):
                    count += 1
                    arrived.append(MessageArrived(f"m{count}", 1, "safe", now + DEADLINE))
                    self.held[sender][f"m{count}"] = now + DEADLINE
                self._step(now, sender, [*arrived, TimerExpired(0)])
        spans = list(self._spans())
        none = OverloadSpan(0.0, 0, 0.0, 0)
        return (
            max(spans, default=none),
            max((s for s in spans if 3 * s.notified_calls > 2 * s.calls), default=none),
            delivered,
        )

    def _spans(self) -> Iterable[OverloadSpan]:
        times = [at for at, _ in self.sent]
        for begin in (at for at in times if self.back <= at < self.back + LOOKED_AT):
            span = self.sent[bisect_left(times, begin) : bisect_left(times, begin + SPAN)]
            able = SAFETY.cold_start_share + (1.0 - SAFETY.cold_start_share) * (begin - self.back) / WARM
            most = SAFETY.overload_factor * able * self.limit * SPAN / 1000.0
            over = len(span) / (most + 2.0 * math.sqrt(most) + 2.0)
            yield OverloadSpan(over, len(span), most, sum(told for _, told in span))


def main() -> None:
    """Print a row for each size of the fleet."""
    asked = argparse.ArgumentParser()
    asked.add_argument("--seeds", type=int, default=2)
    asked.add_argument("--senders", type=int, nargs="+", default=[3, 20, 30, 60, 200])
    asked.add_argument("--limit", type=float, nargs="+", default=[20.0, 60.0])
    asked.add_argument("--load", type=float, nargs="+", default=[0.8, 1.3])
    asked.add_argument("--well", type=float, default=0.0, help="seconds that work before")
    asked.add_argument("--restarts", type=float, default=0.0, help="share of the senders, while calls fail")
    got = asked.parse_args()
    print("senders  limit  load  worst spans, of told senders: over the limit (calls, N)  delivered")
    for senders, limit, load in itertools.product(got.senders, got.limit, got.load):
        shown = list[str]()
        for seed in range(1, got.seeds + 1):
            fleet = IndependentSenders(senders, limit, load, seed, 1000.0 * got.well, got.restarts)
            worst, told, delivered = fleet.play()
            spans = ", ".join(
                f"{span.over_limit:.2f} ({span.calls}, {span.sender_count:.0f})" for span in (worst, told)
            )
            shown.append(f"{spans}  {delivered}")
        print(f"{senders:7}  {limit:5g}  {load:4g}  {'  |  '.join(shown)}", flush=True)


if __name__ == "__main__":
    main()
