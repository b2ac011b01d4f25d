"""Shared builders: settings with round figures, and a relay driven by hand."""

from __future__ import annotations

import sys
from dataclasses import replace
from pathlib import Path
from typing import Any

import known_red
import processes
import pytest

sys.path.insert(0, str(Path(__file__).parent.parent))

from kestreltrack.decision import Policy, api
from kestreltrack.decision.api import Effect, Outcome, Scope

CLASSES = {
    "safe": api.ClassSettings(aim_ms=1000, deadline_ms=10000, effect=Effect.SAFE),
    "keyed": api.ClassSettings(aim_ms=2000, deadline_ms=20000, effect=Effect.KEYED, key_window_ms=8000),
    "zoned": api.ClassSettings(
        aim_ms=2000, deadline_ms=20000, effect=Effect.KEYED, key_window_ms=8000, scope=Scope.ZONE
    ),
    "unsafe": api.ClassSettings(aim_ms=3000, deadline_ms=20000, effect=Effect.UNSAFE),
    "ordered": api.ClassSettings(
        aim_ms=2000, deadline_ms=20000, effect=Effect.KEYED, key_window_ms=8000, in_order=True
    ),
}
SAFETY = api.Safety(
    answer_slack_ms=20,
    drain_grace_ms=1000,
    cold_share=0.25,
    warm_after_ms=10000,
    overload_factor=2,
    tip_after_ms=2000,
    ask_every_ms=10000,
    settle_ms=500,
)
SETTINGS = api.Settings(
    classes=CLASSES,
    kinds={
        "plain": api.KindSettings(),
        "apart": api.KindSettings(routes_apart=True),
        "batch": api.KindSettings(batch=5),
    },
    safety=SAFETY,
    slots=8,
    hold=100,
    try_limit=12,
    relays=2,
    weights=api.Weights.EXACT,
    may_cancel=True,
    advises_wait=True,
    max_wait_ms=2000,
)


def pytest_configure(config: pytest.Config) -> None:
    """KNOWN-RED.txt holds in every run, so `make test` and CI come to one verdict; so do the tables of marks."""
    known_red.register(config)
    processes.register(config)


def entry(dest: int, name: str = "", **more: Any) -> api.Listed:
    """One entry of the list; rate 20 a second unless said."""
    return api.Listed(**{"endpoint": name or f"e{dest}", "dest": dest, "kind": "plain", "rate": 20.0, **more})


class Relay:
    """A policy with a clock moved by hand; remembers what is out and passes timers on by itself."""

    def __init__(self, *entries: api.Listed, **changes: Any) -> None:
        self.policy = Policy(replace(SETTINGS, **changes), seed=7)
        self.now = 0.0
        self.count = 0
        self.tries: dict[str, int] = {}
        self.where: dict[str, str] = {}
        self.log: list[api.Action] = []
        self.do(api.ListNews(entries, whole=True))

    def do(self, *events: api.Event) -> list[api.Action]:
        """Step at the present moment; the actions are returned, but for timers."""
        acts = list(self.policy.step(self.now, events))
        acts = [a for a in acts if not isinstance(a, api.Wake)]
        for act in acts:
            if isinstance(act, api.Send):
                self.tries[act.id] = self.tries.get(act.id, -1) + 1
                self.where[act.id] = act.endpoint
        self.log += acts
        return acts

    def wait(self, ms: float) -> list[api.Action]:
        """Let time pass with a timer event every 10 ms."""
        acts: list[api.Action] = []
        end = self.now + ms
        while self.now < end:
            self.now = min(end, self.now + 10.0)
            acts += self.do(api.TimerDue(0))
        return acts

    def message(self, dest: int, cls: str = "safe", **more: Any) -> api.Arrived:
        """A new message event, not yet handed in."""
        self.count += 1
        expires = more.pop("expires", self.now + CLASSES[cls].deadline_ms)
        return api.Arrived(id=more.pop("id", f"m{self.count}"), dest=dest, cls=cls, expires=expires, **more)

    def arrive(self, dest: int, cls: str = "safe", **more: Any) -> list[api.Action]:
        """Hand in one message now."""
        return self.do(self.message(dest, cls, **more))

    def end(
        self, id_: str, outcome: Outcome = Outcome.OK, took: float = 100.0, **more: Any
    ) -> list[api.Action]:
        """Bring the outcome of the latest attempt of a message."""
        return self.do(self.ended(id_, outcome, took, **more))

    def ended(self, id_: str, outcome: Outcome = Outcome.OK, took: float = 100.0, **more: Any) -> api.Ended:
        """The outcome event of the latest attempt of a message."""
        over = more.pop("over", outcome is Outcome.OK)
        return api.Ended(id_, self.tries[id_], self.where[id_], outcome, took, over, **more)


def sends(acts: list[api.Action]) -> list[str]:
    """Ids of the messages sent, in order."""
    return [a.id for a in acts if isinstance(a, api.Send)]


def finals(acts: list[api.Action]) -> list[api.Action]:
    """The final answers."""
    return [a for a in acts if isinstance(a, api.Refuse | api.Fail)]
