"""A scenario played with its listeners: what came of it."""

from __future__ import annotations

import time
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from typing import Any, Protocol

import msgspec
import numpy as np

from kestreltrack.capture.recorder import Recorder
from kestreltrack.capture.writer import BlockingWriter
from kestreltrack.decision import Policy
from kestreltrack.invariants.events import Event, Listener
from kestreltrack.invariants.system import InvariantParameters, InvariantViolation, SystemInvariants
from kestreltrack.sender.dispatcher import Decider
from kestreltrack.testing.emulator.baseline import CapacityBound, SingleAttemptPolicy
from kestreltrack.testing.emulator.scenario import Scenario
from kestreltrack.testing.emulator.scoring import ServiceScore, ServiceScorer
from kestreltrack.testing.emulator.simulated_sender import SilentTelemetry
from kestreltrack.testing.emulator.simulation import Simulation, emulate


class ScenarioRunner(Protocol):
    """What plays a scenario."""

    def __call__(
        self,
        scenario: Scenario,
        seed: int,
        listeners: tuple[Listener, ...] = (),
        decider: Callable[[int, Policy], Decider] | None = None,
        sender_count: int | None = None,
        on_created: Callable[[Simulation], None] | None = None,
    ) -> Simulation:
        """To its end."""


@dataclass(slots=True)
class RunResult:
    """One run."""

    scenario: str
    seed: int
    score: ServiceScore
    violations: list[InvariantViolation]
    check_counts: Counter[str]
    event_counts: Counter[str]
    simulated_s: float
    elapsed_s: float
    counters: dict[str, int]
    capacity_bound: ServiceScore | None = None

    def as_dict(self) -> dict[str, Any]:
        """For programs; the latencies as quantiles."""
        service = msgspec.to_builtins(self.score)
        latency = service.pop("latency_ms")
        quantiles = {f"p{q}": float(np.percentile(latency, q)) for q in (50, 90, 99)} if latency else {}
        return {
            "scenario": self.scenario,
            "seed": self.seed,
            "service": service | {"latency_ms": quantiles},
            "breaches": msgspec.to_builtins(self.violations),
            "checked": dict(self.check_counts),
            "events": dict(self.event_counts),
            "simulated_s": round(self.simulated_s, 3),
            "took_s": round(self.elapsed_s, 3),
            "counters": self.counters,
        }

    def table_rows(self) -> list[list[str]]:
        """For people."""
        s = self.score
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
            ["rules", "kept" if not self.violations else f"{len(self.violations)} BROKEN"],
            ["simulated", f"{self.simulated_s:.1f} s in {self.elapsed_s:.1f} s"],
        ]
        return rows


def invariant_parameters(scenario: Scenario) -> InvariantParameters:
    """Those of the rules."""
    rules = scenario.rules
    effects = {cls.name: cls.effect for cls in scenario.cls}
    keyed = [cls for cls in scenario.cls if cls.effect == "keyed"]
    return InvariantParameters(
        rules.drain_grace_ms,
        rules.answer_slack_ms,
        scenario.fleet.try_limit,
        effects,
        {cls.name: cls.key_window_ms for cls in keyed},
        frozenset(c.name for c in keyed if c.scope == "zone"),
    )


class SenderCaptures:
    """A capture of each sender, in folders of their own; a sender's lives follow each other in its folder."""

    def __init__(self, folder: Path) -> None:
        """The folder need not exist."""
        self.folder = folder
        self._open = dict[int, tuple[Recorder, BlockingWriter]]()

    def __call__(self, sender: int, policy: Policy) -> Decider:
        """The witness that stands before a new life's module."""
        self.close(sender)
        place = self.folder / f"sender-{sender}"
        place.mkdir(parents=True, exist_ok=True)
        writer = BlockingWriter(place, 10**12, 1e9, lambda text: None)
        witness = Recorder(policy, writer, SilentTelemetry(), f"sender-{sender}", False, 16_000_000)
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


def run_scenario(
    scenario: Scenario,
    seed: int,
    capture_folder: Path | None = None,
    sender_count: int | None = None,
    runner: ScenarioRunner = emulate,
    replacement_decider: Callable[[Policy], Decider] | None = None,
    capacity_bound: CapacityBound | None = None,
) -> RunResult:
    """Play it, count its worth, hold it against the rules; `relays` is what senders are told of their number.

    `run` plays it: in simulated time, or by real processes.  `instead` of each sender's module decides another one;
    `bound` listens too, and what it comes to is told with the result.
    """
    captures = SenderCaptures(capture_folder) if capture_folder else None
    decider = (lambda sender, policy: replacement_decider(policy)) if replacement_decider else captures
    worth = ServiceScorer(scenario)
    rules = SystemInvariants(invariant_parameters(scenario), 10**9)
    events = Counter[str]()

    def count(now: float, event: Event) -> None:
        events[type(event).__name__] += 1

    began = time.perf_counter()
    last = [0.0]

    def clock(now: float, event: Event) -> None:
        last[0] = now

    def made(world: Simulation) -> None:
        rules.concurrency_limit = world.settings.concurrency_limit
        rules.independent_destinations = world.independent_destinations

    listeners: list[Listener] = [worth, rules, count, clock, *([capacity_bound] if capacity_bound else [])]
    world = runner(scenario, seed, tuple(listeners), decider, sender_count, made)
    if captures:
        captures.close_all()
    breaches = rules.finish(last[0])
    took = time.perf_counter() - began
    return RunResult(
        scenario.name,
        seed,
        worth.score(),
        breaches,
        rules.check_counts,
        events,
        last[0] / 1000.0,
        took,
        world.counters(),
        capacity_bound.score(world) if capacity_bound else None,
    )


@dataclass(slots=True)
class Comparison:
    """The module beside a sender that tries each message once in the same world, and what could be had at all."""

    policy: RunResult
    baseline: RunResult
    capacity_bound: ServiceScore

    def as_dict(self) -> dict[str, Any]:
        """For programs."""
        found = {"module": self.policy.as_dict(), "baseline": self.baseline.as_dict()}
        return found | {
            "bound": {"figure": self.capacity_bound.figure, "worst_window": self.capacity_bound.worst_window}
        }

    def table_rows(self) -> list[list[str]]:
        """For people."""
        both = self.policy, self.baseline
        services = [*(result.score for result in both), self.capacity_bound]
        return [
            ["service", *(f"{s.figure:.3f}" for s in services)],
            ["of the whole day", *(f"{s.whole:.3f}" for s in services)],
            ["of the worst window", *(f"{s.worst_window:.3f}" for s in services)],
            ["on time, late", *(f"{s.on_time}, {s.late}" for s in services)],
            ["refused calls", *(str(s.refused_calls) for s in services[:2]), ""],
            ["rules broken", *(str(len(result.violations)) for result in both), ""],
        ]


def compare(scenario: Scenario, seed: int, capture_folder: Path | None = None) -> Comparison:
    """Play it twice with common random numbers: by the module, and by one try in order of arrival."""
    bound = CapacityBound(scenario)
    module = run_scenario(scenario, seed, capture_folder, capacity_bound=bound)
    assert module.capacity_bound is not None
    return Comparison(
        module,
        run_scenario(scenario, seed, replacement_decider=lambda policy: SingleAttemptPolicy(policy.settings)),
        module.capacity_bound,
    )
