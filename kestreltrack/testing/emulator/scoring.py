"""The service score of a run, computed from the stream of events.

Each message that a client requests has a priority weight; retries by the client belong to its first submission.  A
message that is delivered within its latency objective earns its whole weight.  A later one earns less: either
linearly down to the late weight at the deadline, or half as much with each further latency objective.  What exceeds
the tenant's quota counts only in part (5 % by default).

The score is a weighted sum over the whole run, the worst window, the worst message class and the worst tenant, less
deductions for wasted work, rejected calls, new connections, late failures and zone costs.  A rejected call of several
messages counts once.
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

# Avoids a division by zero in a run without any work.
MIN_WORK_MS = 1e-9


@dataclass(slots=True)
class UtilityTally:
    """The utility that was requested and the part of it that was earned."""

    requested: float = 0.0
    earned: float = 0.0

    def add(self, priority_weight: float, utility_fraction: float) -> None:
        """Count one message."""
        self.requested += priority_weight
        self.earned += priority_weight * utility_fraction

    def share(self) -> float:
        """Return the earned share, 1 where nothing was requested."""
        return self.earned / self.requested if self.requested > 0 else 1.0


@dataclass(slots=True)
class ServiceScore:
    """The score of a run and its components.

    The names of the fields are keys of the output of `emulate --json`.
    """

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
    """Messages without a delivery and without a notification of failure."""
    attempts: int
    refused_calls: int
    connections: int
    wasted_ms: float
    windows: list[float] = field(default_factory=list)
    classes: dict[str, float] = field(default_factory=dict)
    firms: dict[str, float] = field(default_factory=dict)
    latency_ms: list[float] = field(default_factory=list)
    """Latency of each delivered message since its first submission, in order of the requests."""


class _MessageTotals:
    """Sums over the messages of a run."""

    def __init__(self, window_s: int) -> None:
        self.window_s = window_s
        self.overall = UtilityTally()
        self.windows = defaultdict[int, UtilityTally](UtilityTally)
        """By the second in which the window begins."""
        self.classes = defaultdict[str, UtilityTally](UtilityTally)
        self.tenants = defaultdict[str, UtilityTally](UtilityTally)
        self.on_time = 0
        self.late = 0
        self.lost = 0
        self.late_failures = 0
        self.latencies_ms = list[float]()

    def add(
        self, requested_at: float, request: MessageRequested, priority_weight: float, utility_fraction: float
    ) -> None:
        """Count a message in each of the tallies that it belongs to."""
        self.overall.add(priority_weight, utility_fraction)
        self.classes[request.cls].add(priority_weight, utility_fraction)
        last_window = int(requested_at / 1000.0)
        first_window = max(0, last_window - self.window_s + 1)
        for second in range(first_window, last_window + 1):
            self.windows[second].add(priority_weight, utility_fraction)
        if request.within_quota:
            self.tenants[request.tenant].add(priority_weight, utility_fraction)

    def add_delivery(self, latency_ms: float, utility_fraction: float) -> None:
        """Count a message that was delivered."""
        self.latencies_ms.append(latency_ms)
        if utility_fraction == 1.0:
            self.on_time += 1
        else:
            self.late += 1


class ServiceScorer:
    """A listener that computes the service score from events."""

    def __init__(self, scenario: Scenario) -> None:
        """Create a scorer that has seen no event."""
        self.scenario = scenario
        self._classes: dict[str, MessageClassTable] = {cls.name: cls for cls in scenario.cls}
        self._requested = dict[str, tuple[float, MessageRequested]]()
        self._delivered = dict[str, float]()
        self._failed = dict[str, float]()
        self._attempt_count = 0
        self._connection_count = 0
        self._rejected_count = 0
        self._work_ms = 0.0
        self._wasted_ms = 0.0
        self._executed = set[str]()
        self._zone_costs = 0.0

    def __call__(self, now: float, event: Event) -> None:
        """Count one event; `now` is in milliseconds."""
        if isinstance(event, MessageRequested):
            self._requested[event.id] = (now, event)
        elif isinstance(event, AttemptAnswered):
            self._count_attempt(now, event)
        elif isinstance(event, MessageExecuted):
            self._work_ms += event.work_ms
            if event.duplicate or event.id in self._executed:
                self._wasted_ms += event.work_ms
            self._executed.add(event.id)
        elif isinstance(event, FinalAnswerGiven) and event.result == "failed":
            self._failed.setdefault(event.id, now)

    def _count_attempt(self, now: float, attempt: AttemptAnswered) -> None:
        self._attempt_count += 1
        if attempt.new_connection:
            self._connection_count += 1
        if attempt.outcome == "refused" and attempt.first_of_call:
            self._rejected_count += 1
        self._zone_costs += attempt.zone_cost
        if attempt.outcome == "ok":
            self._delivered.setdefault(attempt.id, now)

    def _priority_weight(self, request: MessageRequested) -> float:
        quota_factor = 1.0 if request.within_quota else self.scenario.clients.over_share_worth
        return self._classes[request.cls].worth * quota_factor

    def _utility_fraction(self, latency_ms: float, cls: MessageClassTable) -> float:
        if latency_ms <= cls.aim_ms:
            return 1.0
        if latency_ms > cls.deadline_ms:
            return 0.0
        if self.scenario.worth.decay == "halves":
            return float(0.5 ** ((latency_ms - cls.aim_ms) / cls.aim_ms))
        return 1.0 - (1.0 - cls.late_worth) * (latency_ms - cls.aim_ms) / (cls.deadline_ms - cls.aim_ms)

    def utility_of(self, request: MessageRequested, requested_at: float, delivered_at: float) -> float:
        """Return the utility of a message that was requested and delivered at these times (ms)."""
        return self._priority_weight(request) * self._utility_fraction(
            delivered_at - requested_at, self._classes[request.cls]
        )

    def score(self) -> ServiceScore:
        """Return the score of the events so far."""
        totals = self._sum_messages()
        weights = self.scenario.worth
        deductions = self._deductions(totals)
        windows = self._window_shares(totals)
        worst_window = min(windows, default=1.0)
        worst_class = min((tally.share() for tally in totals.classes.values()), default=1.0)
        worst_tenant = min((tally.share() for tally in totals.tenants.values()), default=1.0)
        figure = (
            weights.whole * totals.overall.share()
            + weights.worst_window * worst_window
            + weights.worst_class * worst_class
            + weights.worst_firm * worst_tenant
            - sum(deductions.values())
        )
        return ServiceScore(
            figure=figure,
            whole=totals.overall.share(),
            worst_window=worst_window,
            worst_class=worst_class,
            worst_firm=worst_tenant,
            deductions=deductions,
            messages=len(self._requested),
            on_time=totals.on_time,
            late=totals.late,
            lost=totals.lost,
            attempts=self._attempt_count,
            refused_calls=self._rejected_count,
            connections=self._connection_count,
            wasted_ms=self._wasted_ms,
            windows=windows,
            classes={name: tally.share() for name, tally in sorted(totals.classes.items())},
            firms={name: tally.share() for name, tally in sorted(totals.tenants.items())},
            latency_ms=totals.latencies_ms,
        )

    def _sum_messages(self) -> _MessageTotals:
        totals = _MessageTotals(int(self.scenario.worth.window_s))
        for message_id, (requested_at, request) in self._requested.items():
            cls = self._classes[request.cls]
            delivered_at = self._delivered.get(message_id)
            failed_at = self._failed.get(message_id)
            utility_fraction = 0.0
            if delivered_at is not None:
                latency_ms = delivered_at - requested_at
                utility_fraction = self._utility_fraction(latency_ms, cls)
                totals.add_delivery(latency_ms, utility_fraction)
            elif failed_at is None:
                totals.lost += 1
            if failed_at is not None and failed_at - requested_at > cls.aim_ms:
                totals.late_failures += 1
            totals.add(requested_at, request, self._priority_weight(request), utility_fraction)
        return totals

    def _window_shares(self, totals: _MessageTotals) -> list[float]:
        """Return the earned share of each window that lies within the time in which messages arrive."""
        last_window = int(self.scenario.day.length_s - self.scenario.worth.window_s)
        return [totals.windows[second].share() for second in range(max(1, last_window + 1))]

    def _deductions(self, totals: _MessageTotals) -> dict[str, float]:
        """Return what is deducted from the score, by reason.

        The reasons are keys of the output of `emulate --json`.
        """
        weights = self.scenario.worth
        message_count = max(1, len(self._requested))
        return {
            "wasted work": weights.waste * self._wasted_ms / max(MIN_WORK_MS, self._work_ms),
            "refused calls": weights.refused * self._rejected_count / message_count,
            "new connections": weights.handshake * min(1.0, self._connection_count / message_count),
            "late failures": weights.late_fail * totals.late_failures / message_count,
            "fees of routes": self._zone_costs / message_count,
        }
