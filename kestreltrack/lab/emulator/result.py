"""A scenario played with its listeners: what came of it."""

from __future__ import annotations

import time
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import msgspec
import numpy as np

from kestreltrack.capture.witness import Witness
from kestreltrack.capture.writer import PatientWriter
from kestreltrack.decision import Policy
from kestreltrack.lab.emulator.baseline import Bound, OneTry
from kestreltrack.lab.emulator.process import Quiet
from kestreltrack.lab.emulator.scenario import Scenario
from kestreltrack.lab.emulator.world import Runs, World, emulate
from kestreltrack.lab.emulator.worth import Service, Worth
from kestreltrack.rules.happened import Event, Listener
from kestreltrack.rules.world import Breach, Figures, Rules
from kestreltrack.sender.desk import Decider


@dataclass(slots=True)
class Result:
    """One run."""

    scenario: str
    seed: int
    service: Service
    breaches: list[Breach]
    checked: Counter[str]
    events: Counter[str]
    simulated_s: float
    took_s: float
    counters: dict[str, int]
    bound: Service | None = None

    def plain(self) -> dict[str, Any]:
        """For programs; the latencies as quantiles."""
        service = msgspec.to_builtins(self.service)
        latency = service.pop("latency_ms")
        quantiles = {f"p{q}": float(np.percentile(latency, q)) for q in (50, 90, 99)} if latency else {}
        return {
            "scenario": self.scenario,
            "seed": self.seed,
            "service": service | {"latency_ms": quantiles},
            "breaches": msgspec.to_builtins(self.breaches),
            "checked": dict(self.checked),
            "events": dict(self.events),
            "simulated_s": round(self.simulated_s, 3),
            "took_s": round(self.took_s, 3),
            "counters": self.counters,
        }

    def rows(self) -> list[list[str]]:
        """For people."""
        s = self.service
        latency = s.latency_ms or [0.0]
        rows = [
            ["service", f"{s.figure:.3f}"],
            ["of the whole day", f"{s.whole:.3f}"],
            ["of the worst window", f"{s.worst_window:.3f}"],
            ["of the worst class", f"{s.worst_class:.3f}"],
            ["of the worst firm", f"{s.worst_firm:.3f}"],
            *([f"off for {name}", f"{value:.4f}"] for name, value in s.deductions.items()),
            ["messages", str(s.messages)],
            ["on time, late, not delivered", f"{s.on_time}, {s.late}, {s.messages - s.on_time - s.late}"],
            ["latency, median and 99th", f"{np.median(latency):.0f} and {np.percentile(latency, 99):.0f} ms"],
            ["attempts, refused by partners", f"{s.attempts}, {s.refused_calls}"],
            ["new connections", str(s.connections)],
            ["rules", "kept" if not self.breaches else f"{len(self.breaches)} BROKEN"],
            ["simulated", f"{self.simulated_s:.1f} s in {self.took_s:.1f} s"],
        ]
        return rows


def figures(scenario: Scenario) -> Figures:
    """Those of the rules."""
    rules, effects = scenario.rules, {cls.name: cls.effect for cls in scenario.cls}
    keyed = [cls for cls in scenario.cls if cls.effect == "keyed"]
    return Figures(
        rules.drain_grace_ms,
        rules.answer_slack_ms,
        scenario.fleet.try_limit,
        effects,
        {cls.name: cls.key_window_ms for cls in keyed},
        frozenset(c.name for c in keyed if c.scope == "zone"),
    )


class Captures:
    """A capture of each sender, in folders of their own; a sender's lives follow each other in its folder."""

    def __init__(self, folder: Path) -> None:
        """The folder need not exist."""
        self.folder = folder
        self._open = dict[int, tuple[Witness, PatientWriter]]()

    def __call__(self, sender: int, policy: Policy) -> Decider:
        """The witness that stands before a new life's module."""
        self.close(sender)
        place = self.folder / f"sender-{sender}"
        place.mkdir(parents=True, exist_ok=True)
        writer = PatientWriter(place, 10**12, 1e9, lambda text: None)
        witness = Witness(policy, writer, Quiet(), f"sender-{sender}", False, 16_000_000)
        self._open[sender] = witness, writer
        return witness

    def close(self, sender: int) -> None:
        """A life is over: what was noted is written."""
        if found := self._open.pop(sender, None):
            found[0].close(found[0].policy.now)

    def close_all(self) -> None:
        """The world is over."""
        for sender in list(self._open):
            self.close(sender)


def play(
    scenario: Scenario,
    seed: int,
    capture: Path | None = None,
    relays: int | None = None,
    run: Runs = emulate,
    instead: Callable[[Policy], Decider] | None = None,
    bound: Bound | None = None,
) -> Result:
    """Play it, count its worth, hold it against the rules; `relays` is what senders are told of their number.

    `run` plays it: in simulated time, or by real processes.  `instead` of each sender's module decides another one;
    `bound` listens too, and what it comes to is told with the result.
    """
    captures = Captures(capture) if capture else None
    decider = (lambda sender, policy: instead(policy)) if instead else captures
    worth, rules, events = Worth(scenario), Rules(figures(scenario), 10**9), Counter[str]()

    def count(now: float, event: Event) -> None:
        events[type(event).__name__] += 1

    began = time.perf_counter()
    last = [0.0]

    def clock(now: float, event: Event) -> None:
        last[0] = now

    def made(world: World) -> None:
        rules.slots, rules.apart = world.settings.slots, world.apart

    listeners: list[Listener] = [worth, rules, count, clock, *([bound] if bound else [])]
    world = run(scenario, seed, tuple(listeners), decider, relays, made)
    if captures:
        captures.close_all()
    breaches = rules.finish(last[0])
    took = time.perf_counter() - began
    return Result(
        scenario.name,
        seed,
        worth.service(),
        breaches,
        rules.checked,
        events,
        last[0] / 1000.0,
        took,
        world.counters(),
        bound.service(world) if bound else None,
    )


@dataclass(slots=True)
class Compared:
    """The module beside a sender that tries each message once in the same world, and what could be had at all."""

    module: Result
    baseline: Result
    bound: Service

    def plain(self) -> dict[str, Any]:
        """For programs."""
        found = {"module": self.module.plain(), "baseline": self.baseline.plain()}
        return found | {"bound": {"figure": self.bound.figure, "worst_window": self.bound.worst_window}}

    def rows(self) -> list[list[str]]:
        """For people."""
        both = self.module, self.baseline
        services = [*(result.service for result in both), self.bound]
        return [
            ["service", *(f"{s.figure:.3f}" for s in services)],
            ["of the whole day", *(f"{s.whole:.3f}" for s in services)],
            ["of the worst window", *(f"{s.worst_window:.3f}" for s in services)],
            ["on time, late", *(f"{s.on_time}, {s.late}" for s in services)],
            ["refused calls", *(str(s.refused_calls) for s in services[:2]), ""],
            ["rules broken", *(str(len(result.breaches)) for result in both), ""],
        ]


def compare(scenario: Scenario, seed: int, capture: Path | None = None) -> Compared:
    """Play it twice with common random numbers: by the module, and by one try in order of arrival."""
    bound = Bound(scenario)
    module = play(scenario, seed, capture, bound=bound)
    assert module.bound is not None
    return Compared(
        module, play(scenario, seed, instead=lambda policy: OneTry(policy.settings)), module.bound
    )
