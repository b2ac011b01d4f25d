"""Shared builders: settings with round figures, and one sender's decision module with a manual clock."""

from __future__ import annotations

import sys
from dataclasses import replace
from pathlib import Path
from typing import Any

import garbage
import known_red
import processes
import pytest

sys.path.insert(0, str(Path(__file__).parent.parent))

from kestreltrack.decision import (
    Action,
    AttemptEnded,
    ClassSettings,
    DeduplicationScope,
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
    SetTimer,
    Settings,
    StartAttempt,
    TimerExpired,
)

CLASSES = {
    "safe": ClassSettings(latency_objective_ms=1000, deadline_ms=10000, idempotency=Idempotency.IDEMPOTENT),
    "keyed": ClassSettings(
        latency_objective_ms=2000,
        deadline_ms=20000,
        idempotency=Idempotency.KEYED,
        deduplication_window_ms=8000,
    ),
    "zoned": ClassSettings(
        latency_objective_ms=2000,
        deadline_ms=20000,
        idempotency=Idempotency.KEYED,
        deduplication_window_ms=8000,
        deduplication_scope=DeduplicationScope.ZONE,
    ),
    "unsafe": ClassSettings(
        latency_objective_ms=3000, deadline_ms=20000, idempotency=Idempotency.NOT_IDEMPOTENT
    ),
    "ordered": ClassSettings(
        latency_objective_ms=2000,
        deadline_ms=20000,
        idempotency=Idempotency.KEYED,
        deduplication_window_ms=8000,
        in_order=True,
    ),
}
SAFETY = SafetyLimits(
    answer_slack_ms=20,
    drain_grace_ms=1000,
    cold_start_share=0.25,
    warm_up_ms=10000,
    overload_factor=2,
    overload_window_ms=2000,
    poll_interval_ms=10000,
    settle_ms=500,
)
SETTINGS = Settings(
    classes=CLASSES,
    kinds={
        "plain": KindSettings(),
        "apart": KindSettings(independent_endpoints=True),
        "batch": KindSettings(max_batch_size=5),
    },
    safety=SAFETY,
    concurrency_limit=8,
    queue_capacity=100,
    max_attempts=12,
    sender_count=2,
    rate_accuracy=RateAccuracy.EXACT,
    may_cancel=True,
    advises_retry_after=True,
    max_retry_after_ms=2000,
)


def pytest_configure(config: pytest.Config) -> None:
    """Apply KNOWN-RED.txt and the tables of marks to every run, so that `make test` and CI agree."""
    known_red.register(config)
    processes.register(config)
    garbage.register(config)


def entry(dest: int, name: str = "", **more: Any) -> EndpointEntry:
    """Return an entry of the endpoint list, with a rate of 20 calls a second by default."""
    return EndpointEntry(
        **{"endpoint": name or f"e{dest}", "dest": dest, "kind": "plain", "rate": 20.0, **more}
    )


class Relay:
    """The decision module of one sender with a manual clock; records the attempt and endpoint of each message."""

    def __init__(self, *entries: EndpointEntry, **changes: Any) -> None:
        self.policy = Policy(replace(SETTINGS, **changes), seed=7)
        self.now = 0.0
        self.count = 0
        self.tries: dict[str, int] = {}
        self.where: dict[str, str] = {}
        self.log: list[Action] = []
        self.do(EndpointsUpdated(entries, complete=True))

    def do(self, *events: Event) -> list[Action]:
        """Handle events at the current time, and return the actions other than timers."""
        acts = list(self.policy.step(self.now, events))
        acts = [a for a in acts if not isinstance(a, SetTimer)]
        for act in acts:
            if isinstance(act, StartAttempt):
                self.tries[act.id] = self.tries.get(act.id, -1) + 1
                self.where[act.id] = act.endpoint
        self.log += acts
        return acts

    def wait(self, ms: float) -> list[Action]:
        """Advance the clock with a timer event every 10 ms, and return the actions."""
        acts: list[Action] = []
        end = self.now + ms
        while self.now < end:
            self.now = min(end, self.now + 10.0)
            acts += self.do(TimerExpired(0))
        return acts

    def message(self, dest: int, cls: str = "safe", **more: Any) -> MessageArrived:
        """Return the arrival of a new message, without handling it."""
        self.count += 1
        expires = more.pop("expires", self.now + CLASSES[cls].deadline_ms)
        return MessageArrived(
            id=more.pop("id", f"m{self.count}"), dest=dest, cls=cls, expires=expires, **more
        )

    def arrive(self, dest: int, cls: str = "safe", **more: Any) -> list[Action]:
        """Handle the arrival of a new message now."""
        return self.do(self.message(dest, cls, **more))

    def end(self, id_: str, outcome: Outcome = Outcome.OK, took: float = 100.0, **more: Any) -> list[Action]:
        """Handle the outcome of the latest attempt of a message."""
        return self.do(self.ended(id_, outcome, took, **more))

    def ended(
        self, id_: str, outcome: Outcome = Outcome.OK, took: float = 100.0, **more: Any
    ) -> AttemptEnded:
        """Return the outcome event of the latest attempt of a message."""
        final = more.pop("final", outcome is Outcome.OK)
        return AttemptEnded(id_, self.tries[id_], self.where[id_], outcome, took, final, **more)


def sends(acts: list[Action]) -> list[str]:
    """Return the ids of the messages for which attempts start, in order."""
    return [a.id for a in acts if isinstance(a, StartAttempt)]


def finals(acts: list[Action]) -> list[Action]:
    """Return the final answers."""
    return [a for a in acts if isinstance(a, RejectMessage | FailMessage)]
