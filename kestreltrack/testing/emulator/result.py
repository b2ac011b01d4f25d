"""The result of a run: score, violations of invariants and counts; and the comparison with a baseline."""

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

# Captures of a run are kept complete: these limits on their size and age are never reached.
MAX_CAPTURE_BYTES = 10**12
MAX_CAPTURE_AGE_S = 1e9

# Size from which on a capture continues in a new file.
CAPTURE_FILE_BYTES = 16_000_000

# The concurrency limit that the invariants assume until the simulation has drawn the real one.
UNLIMITED_CONCURRENCY = 10**9


class ScenarioRunner(Protocol):
    """Runs a scenario: `emulate` in virtual time, or a run of real processes."""

    def __call__(
        self,
        scenario: Scenario,
        seed: int,
        listeners: tuple[Listener, ...] = (),
        decider: Callable[[int, Policy], Decider] | None = None,
        sender_count: int | None = None,
        on_created: Callable[[Simulation], None] | None = None,
    ) -> Simulation:
        """Run the scenario to its end."""


@dataclass(slots=True)
class RunResult:
    """The result of one run."""

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
        """Return the result for JSON, with quantiles of the latencies.

        Its keys are the interface of `emulate --json`.
        """
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
        """Return the rows of a table for the terminal."""
        score = self.score
        latency = score.latency_ms or [0.0]
        rows = [
            ["service", f"{score.figure:.3f}"],
            ["of the whole run", f"{score.whole:.3f}"],
            ["of the worst window", f"{score.worst_window:.3f}"],
            ["of the worst class", f"{score.worst_class:.3f}"],
            ["of the worst tenant", f"{score.worst_firm:.3f}"],
            *([f"deducted for {name}", f"{value:.4f}"] for name, value in score.deductions.items()),
            ["messages", str(score.messages)],
            [
                "on time, late, not delivered",
                f"{score.on_time}, {score.late}, {score.messages - score.on_time - score.late}",
            ],
            ["latency, median and 99th", f"{np.median(latency):.0f} and {np.percentile(latency, 99):.0f} ms"],
            ["attempts, rejected by destinations", f"{score.attempts}, {score.refused_calls}"],
            ["new connections", str(score.connections)],
            ["rules", "kept" if not self.violations else f"{len(self.violations)} BROKEN"],
            ["simulated", f"{self.simulated_s:.1f} s in {self.elapsed_s:.1f} s"],
        ]
        return rows


def invariant_parameters(scenario: Scenario) -> InvariantParameters:
    """Return the parameters of the invariants in a scenario."""
    rules = scenario.rules
    effects = {cls.name: cls.effect for cls in scenario.cls}
    keyed_classes = [cls for cls in scenario.cls if cls.effect == "keyed"]
    return InvariantParameters(
        rules.drain_grace_ms,
        rules.answer_slack_ms,
        scenario.fleet.try_limit,
        effects,
        {cls.name: cls.key_window_ms for cls in keyed_classes},
        frozenset(cls.name for cls in keyed_classes if cls.scope == "zone"),
    )


class SenderCaptures:
    """Captures of all senders; the incarnations of a sender follow each other in its folder."""

    def __init__(self, folder: Path) -> None:
        """Create captures in a folder, which is created where it does not exist."""
        self.folder = folder
        self._open = dict[int, Recorder]()

    def __call__(self, sender: int, policy: Policy) -> Decider:
        """Return the recorder that wraps the policy of a new incarnation."""
        self.close(sender)
        folder = self.folder / f"sender-{sender}"
        folder.mkdir(parents=True, exist_ok=True)
        writer = BlockingWriter(folder, MAX_CAPTURE_BYTES, MAX_CAPTURE_AGE_S, lambda text: None)
        recorder = Recorder(policy, writer, SilentTelemetry(), f"sender-{sender}", False, CAPTURE_FILE_BYTES)
        self._open[sender] = recorder
        return recorder

    def close(self, sender: int) -> None:
        """Complete and close a sender's capture at the end of an incarnation."""
        recorder = self._open.pop(sender, None)
        if recorder is not None:
            recorder.close(recorder.policy.now)

    def close_all(self) -> None:
        """Close the captures of all senders, at the end of the run."""
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
    """Run a scenario, score it and check the invariants.

    `runner` runs it in virtual time or by real processes.  `sender_count` is the number of senders that each sender
    assumes.  `replacement_decider` creates the decider that replaces each sender's policy.  `capacity_bound`
    is a further listener, and its score is part of the result.

    Raises:
        InvalidScenarioError: The runner cannot run the scenario.
    """
    captures = SenderCaptures(capture_folder) if capture_folder else None
    scorer = ServiceScorer(scenario)
    invariants = SystemInvariants(invariant_parameters(scenario), UNLIMITED_CONCURRENCY)
    event_counter = _EventCounter()
    listeners: list[Listener] = [scorer, invariants, event_counter]
    if capacity_bound:
        listeners.append(capacity_bound)

    def on_created(simulation: Simulation) -> None:
        invariants.concurrency_limit = simulation.settings.concurrency_limit
        invariants.independent_destinations = simulation.independent_destinations

    decider = _replace_policy(replacement_decider) if replacement_decider else captures
    started_at_s = time.perf_counter()
    simulation = runner(scenario, seed, tuple(listeners), decider, sender_count, on_created)
    if captures:
        captures.close_all()
    violations = invariants.finish(event_counter.last_event_at)
    elapsed_s = time.perf_counter() - started_at_s
    return RunResult(
        scenario=scenario.name,
        seed=seed,
        score=scorer.score(),
        violations=violations,
        check_counts=invariants.check_counts,
        event_counts=event_counter.counts,
        simulated_s=event_counter.last_event_at / 1000.0,
        elapsed_s=elapsed_s,
        counters=simulation.counters(),
        capacity_bound=capacity_bound.score(simulation) if capacity_bound else None,
    )


class _EventCounter:
    """A listener that counts the events by type, and keeps the time (ms) of the last one."""

    def __init__(self) -> None:
        self.counts = Counter[str]()
        self.last_event_at = 0.0

    def __call__(self, now: float, event: Event) -> None:
        self.counts[type(event).__name__] += 1
        self.last_event_at = now


def _replace_policy(create_decider: Callable[[Policy], Decider]) -> Callable[[int, Policy], Decider]:
    def decider(sender: int, policy: Policy) -> Decider:
        return create_decider(policy)

    return decider


@dataclass(slots=True)
class Comparison:
    """The policy compared with one attempt per message under the same conditions, and with the capacity bound."""

    policy: RunResult
    baseline: RunResult
    capacity_bound: ServiceScore

    def as_dict(self) -> dict[str, Any]:
        """Return the comparison for JSON; its keys are the interface of `emulate --json`."""
        bound = self.capacity_bound
        return {
            "module": self.policy.as_dict(),
            "baseline": self.baseline.as_dict(),
            "bound": {"figure": bound.figure, "worst_window": bound.worst_window},
        }

    def table_rows(self) -> list[list[str]]:
        """Return the rows of a table for the terminal."""
        results = self.policy, self.baseline
        scores = [*(result.score for result in results), self.capacity_bound]
        return [
            ["service", *(f"{score.figure:.3f}" for score in scores)],
            ["of the whole run", *(f"{score.whole:.3f}" for score in scores)],
            ["of the worst window", *(f"{score.worst_window:.3f}" for score in scores)],
            ["on time, late", *(f"{score.on_time}, {score.late}" for score in scores)],
            ["rejected calls", *(str(score.refused_calls) for score in scores[:2]), ""],
            ["rules broken", *(str(len(result.violations)) for result in results), ""],
        ]


def compare(scenario: Scenario, seed: int, capture_folder: Path | None = None) -> Comparison:
    """Run a scenario with the policy and with the single-attempt policy, under common random numbers."""
    bound = CapacityBound(scenario)
    policy_result = run_scenario(scenario, seed, capture_folder, capacity_bound=bound)
    assert policy_result.capacity_bound is not None
    return Comparison(
        policy_result,
        run_scenario(scenario, seed, replacement_decider=lambda policy: SingleAttemptPolicy(policy.settings)),
        policy_result.capacity_bound,
    )
