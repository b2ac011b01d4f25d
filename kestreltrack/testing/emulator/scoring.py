"""Service as the brief counts it, from the stream of what happened.

Worth asked for counts from the first second on; a client's retries belong to its first try.  A message delivered
within its aim has all its worth, later less and less on a line down to its late worth at the deadline (or by half
with each further aim); what lies beyond its firm's share is worth 5 %.  The figure weighs the whole day, the worst
window, the worst class and the worst firm, and takes off the prices of wasted work, refused calls, new connections,
late failures and routes' fees.  A refused call of many messages is one.
"""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass, field

from kestreltrack.invariants.events import (
    AttemptAnswered,
    Event,
    FinalAnswerGiven,
    MessageExecuted,
    MessageRequested,
)
from kestreltrack.testing.emulator.scenario import MessageClassTable, Scenario


@dataclass(slots=True)
class UtilityTally:
    """Worth asked for and had."""

    requested: float = 0.0
    earned: float = 0.0

    def share(self) -> float:
        """All of it where nothing was asked for."""
        return self.earned / self.requested if self.requested > 0 else 1.0


@dataclass(slots=True)
class ServiceScore:
    """The figure and what it is made of."""

    figure: float
    whole: float
    worst_window: float
    worst_class: float
    worst_firm: float
    deductions: dict[str, float]
    messages: int
    on_time: int
    late: int
    lost: int
    """Neither delivered nor told: a broken rule, if a sender had taken it on."""
    attempts: int
    refused_calls: int
    connections: int
    wasted_ms: float
    windows: list[float] = field(default_factory=list)
    classes: dict[str, float] = field(default_factory=dict)
    firms: dict[str, float] = field(default_factory=dict)
    latency_ms: list[float] = field(default_factory=list)
    """Of each message delivered, from its first try; in order of arrival."""


class ServiceScorer:
    """A listener that counts."""

    def __init__(self, scenario: Scenario) -> None:
        """Nothing yet."""
        self.scenario = scenario
        self._classes: dict[str, MessageClassTable] = {cls.name: cls for cls in scenario.cls}
        self._requested = dict[str, tuple[float, MessageRequested]]()
        self._delivered = dict[str, float]()
        self._failed = dict[str, float]()
        self._attempt_count = 0
        self._connection_count = 0
        self._rejected_count = 0
        self._work_ms = self._wasted_ms = 0.0
        self._executed = set[str]()
        self._zone_costs = 0.0

    def __call__(self, now: float, event: Event) -> None:
        """One thing that happened."""
        if isinstance(event, MessageRequested):
            self._requested[event.id] = (now, event)
        elif isinstance(event, AttemptAnswered):
            self._attempt_count += 1
            self._connection_count += event.new_connection
            self._rejected_count += event.outcome == "refused" and event.first_of_call
            self._zone_costs += event.zone_cost
            if event.outcome == "ok":
                self._delivered.setdefault(event.id, now)
        elif isinstance(event, MessageExecuted):
            self._work_ms += event.work_ms
            if event.duplicate or event.id in self._executed:
                self._wasted_ms += event.work_ms
            self._executed.add(event.id)
        elif isinstance(event, FinalAnswerGiven) and event.result == "failed":
            self._failed.setdefault(event.id, now)

    def _priority_weight(self, asked: MessageRequested) -> float:
        share = 1.0 if asked.within_quota else self.scenario.clients.over_share_worth
        return self._classes[asked.cls].worth * share

    def _utility_fraction(self, latency_ms: float, cls: MessageClassTable) -> float:
        if latency_ms <= cls.aim_ms:
            return 1.0
        if latency_ms > cls.deadline_ms:
            return 0.0
        if self.scenario.worth.decay == "halves":
            return float(0.5 ** ((latency_ms - cls.aim_ms) / cls.aim_ms))
        return 1.0 - (1.0 - cls.late_worth) * (latency_ms - cls.aim_ms) / (cls.deadline_ms - cls.aim_ms)

    def utility_of(self, asked: MessageRequested, requested_at: float, delivered_at: float) -> float:
        """The worth of a message that was asked for and delivered at these times."""
        return self._priority_weight(asked) * self._utility_fraction(
            delivered_at - requested_at, self._classes[asked.cls]
        )

    def score(self) -> ServiceScore:
        """What it comes to."""
        scenario = self.scenario
        weights = self.scenario.worth
        whole = UtilityTally()
        windows = defaultdict[int, UtilityTally](UtilityTally)
        classes = defaultdict[str, UtilityTally](UtilityTally)
        firms = defaultdict[str, UtilityTally](UtilityTally)
        on_time = late = lost = late_failures = 0
        latencies = list[float]()
        for id_, (at, asked) in self._requested.items():
            cls = self._classes[asked.cls]
            worth = self._priority_weight(asked)
            delivered = self._delivered.get(id_)
            part = 0.0 if delivered is None else self._utility_fraction(delivered - at, cls)
            if delivered is not None:
                latencies.append(delivered - at)
                on_time += part == 1.0
                late += part < 1.0
            elif id_ not in self._failed:
                lost += 1
            late_failures += id_ in self._failed and self._failed[id_] - at > cls.aim_ms
            tallies = [whole, classes[asked.cls]]
            first = int(at / 1000.0)
            span = int(weights.window_s)
            tallies += [windows[second] for second in range(max(0, first - span + 1), first + 1)]
            if asked.within_quota:
                tallies.append(firms[asked.tenant])
            for tally in tallies:
                tally.requested += worth
                tally.earned += worth * part
        last = int(scenario.day.length_s - weights.window_s)
        shown = [windows[n].share() for n in range(max(1, last + 1))]
        count = max(1, len(self._requested))
        deductions = {
            "wasted work": weights.waste * self._wasted_ms / max(1e-9, self._work_ms),
            "refused calls": weights.refused * self._rejected_count / count,
            "new connections": weights.handshake * min(1.0, self._connection_count / count),
            "late failures": weights.late_fail * late_failures / count,
            "fees of routes": self._zone_costs / count,
        }
        worst_class = min((tally.share() for tally in classes.values()), default=1.0)
        worst_firm = min((tally.share() for tally in firms.values()), default=1.0)
        figure = (
            weights.whole * whole.share()
            + weights.worst_window * min(shown, default=1.0)
            + weights.worst_class * worst_class
            + weights.worst_firm * worst_firm
            - sum(deductions.values())
        )
        return ServiceScore(
            figure,
            whole.share(),
            min(shown, default=1.0),
            worst_class,
            worst_firm,
            deductions,
            len(self._requested),
            on_time,
            late,
            lost,
            self._attempt_count,
            self._rejected_count,
            self._connection_count,
            self._wasted_ms,
            shown,
            {name: tally.share() for name, tally in sorted(classes.items())},
            {name: tally.share() for name, tally in sorted(firms.items())},
            latencies,
        )
