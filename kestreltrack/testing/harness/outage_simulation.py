"""Simulates, in virtual time, senders and a destination that has an outage and recovers.

Each sender runs the production decision module and both roles of `fleet/outage_probing`.  The destination, the
clients, the network between senders (`Links`) and membership are simulated; a failure or partition shows in the
views of the members after `DETECTION_MS`.  All random numbers derive from one seed.  Without cooperation each sender
probes on its own.
"""

from __future__ import annotations

import heapq
import random
from collections import deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field, replace
from itertools import count

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
    SetTimer,
    Settings,
    StartAttempt,
    TimerExpired,
)
from kestreltrack.fleet.outage_probing.coordinator import ProbingCoordinator
from kestreltrack.fleet.outage_probing.participant import ProbingActions, ProbingParticipant
from kestreltrack.fleet.outage_probing.wire import AnnouncementRow, RequestRow, ResponseRow
from kestreltrack.sender.health_view import destination_health, unhealthy_destinations
from kestreltrack.testing.harness.links import LinkFault, Links

# Time until membership shows a failure, with 8 members and no loss; see docs/fleet-together.md.
DETECTION_MS = 6_000.0
TICK_MS = 100.0
# Up to this number of senders, their budget shares are summed at every tick; beyond it, at the first sender's only.
EXACT_SUM_SENDERS = 12
CLASS_SETTINGS = ClassSettings(
    latency_objective_ms=2_000, deadline_ms=20_000, idempotency=Idempotency.IDEMPOTENT
)
SAFETY_LIMITS = SafetyLimits(
    answer_slack_ms=20,
    drain_grace_ms=500,
    cold_start_share=0.25,
    warm_up_ms=10_000,
    overload_factor=2.0,
    overload_window_ms=2_000,
    poll_interval_ms=10_000,
)


@dataclass(frozen=True, slots=True)
class OutageScenario:
    """Parameters of a run; `load_share` is the demand of all clients as a share of the destination's rate."""

    senders: int
    seed: int
    cooperative: bool = True
    rate_per_s: float = 40.0
    load_share: float = 0.7
    idle_share: float = 0.0  # share of the senders without messages before `up_at`
    down_at: float = 10_000.0
    up_at: float = 40_000.0
    ends_at: float = 60_000.0
    overload_outage_ms: float = 5_000.0  # outage after an overload; the destination is cold afterwards
    silent: bool = False  # in an outage calls time out, instead of failing to connect
    delay_ms: float = 0.5  # between senders, plus up to 2 ms of jitter
    loss: float = 0.0


@dataclass(slots=True)
class OutageResult:
    """The result of a run; times in ms."""

    # Time, sender number, whether it succeeded.
    calls: list[tuple[float, int, bool]] = field(default_factory=list)
    outcome_counts: dict[str, int] = field(default_factory=dict)
    overload_count: int = 0  # how often the destination was overloaded
    max_overload: float = 0.0  # largest ratio of calls within `overload_window_ms` to those that overload it
    max_budget_share: float = 0.0  # largest share of the cold-start budget that all senders could use at once
    datagrams: int = 0

    def probe_rate(self, scenario: OutageScenario, after_ms: float = 10_000.0) -> float:
        """Return the calls per second during the outage, from `after_ms` after its start, when it is known."""
        start = scenario.down_at + after_ms
        return sum(start <= at < scenario.up_at for at, _, _ in self.calls) / (
            (scenario.up_at - start) / 1000.0
        )

    def calls_after_recovery(self, scenario: OutageScenario, window_ms: float = 1000.0) -> int:
        """Return the calls in the `window_ms` that begin with the first successful call after the outage."""
        first_success_at = min(
            (at for at, _, succeeded in self.calls if succeeded and at >= scenario.up_at),
            default=scenario.ends_at,
        )
        return sum(first_success_at <= at < first_success_at + window_ms for at, _, _ in self.calls)

    def recovery_ms(self, scenario: OutageScenario) -> float:
        """Return the time from the end of the outage to the first successful call."""
        return (
            min(
                (at for at, _, succeeded in self.calls if succeeded and at >= scenario.up_at),
                default=scenario.ends_at,
            )
            - scenario.up_at
        )


class RecoveringDestination:
    """A destination that warms up after an outage; overload within `overload_window_ms` causes another outage."""

    def __init__(self, scenario: OutageScenario) -> None:
        """Start warm; the outage begins at `down_at`."""
        self.scenario = scenario
        self.outage_until = scenario.up_at
        self.recovered_at = -1e9
        # Largest ratio of calls within the window to those that overload it, since the recovery.
        self.max_overload = 0.0
        self.overload_count = 0
        self._recent_calls = deque[float]()

    def serve(self, now: float) -> bool:
        """Receive a call; return whether it succeeds."""
        if self.scenario.down_at <= now < self.outage_until:
            return False
        if now >= self.outage_until > self.recovered_at:
            self.recovered_at = now
            self._recent_calls.clear()
        self._recent_calls.append(now)
        window = SAFETY_LIMITS.overload_window_ms
        while self._recent_calls[0] <= now - window:
            self._recent_calls.popleft()
        warm_up_progress = min(1.0, (now - self.recovered_at) / SAFETY_LIMITS.warm_up_ms)
        capacity_share = (
            SAFETY_LIMITS.cold_start_share + (1.0 - SAFETY_LIMITS.cold_start_share) * warm_up_progress
        )
        overload = len(self._recent_calls) / (
            SAFETY_LIMITS.overload_factor * capacity_share * self.scenario.rate_per_s * window / 1000.0
        )
        if self.recovered_at >= self.scenario.up_at:
            self.max_overload = max(self.max_overload, overload)
        if overload >= 1.0 and now >= self.scenario.down_at:
            self.outage_until = now + self.scenario.overload_outage_ms
            self.overload_count = self.overload_count + 1
        return overload < 1.0


class OutageSender:
    """A simulated sender."""

    def __init__(self, number: int, scenario: OutageScenario) -> None:
        """Create the decision module and the fleet components."""
        self.number = number
        self.name = f"s{number}"
        self.alive = True
        settings = Settings(
            {"c": CLASS_SETTINGS},
            {"plain": KindSettings()},
            SAFETY_LIMITS,
            concurrency_limit=32,
            queue_capacity=400,
            max_attempts=50,
            sender_count=scenario.senders,
            rate_accuracy=RateAccuracy.EXACT,
            may_cancel=True,
        )
        self.policy = Policy(settings, scenario.seed * 1000 + number)
        self.attempt_counts: dict[str, int] = {}
        self.restart(0.0, 1, scenario.seed)

    def restart(self, now: float, epoch: int, seed: int) -> None:
        """Replace the fleet components, as a restarted process would."""
        self.participant = ProbingParticipant(now, epoch * 1_000_000, seed * 1000 + self.number)
        self.coordinator = ProbingCoordinator(epoch)

    def budget_share(self, now: float) -> float:
        """Return the share of the cold-start budget that the sender may use."""
        tracked = self.participant.destinations.get(1)
        return tracked.lease_holder.usable_quota(now) if tracked else 0.0


class OutageSimulation:
    """One run of a scenario."""

    def __init__(self, scenario: OutageScenario) -> None:
        """Prepare the run; faults can be injected into `links` and callbacks scheduled before `run`."""
        self.scenario = scenario
        self.now = 0.0
        self.result = OutageResult()
        self.destination = RecoveringDestination(scenario)
        self.random = random.Random(scenario.seed)
        self.links = Links(scenario.seed)
        baseline_fault = LinkFault(delay_ms=scenario.delay_ms, jitter_ms=2.0, loss=scenario.loss)
        self.links.inject("*", "*", baseline_fault, bidirectional=False)
        self.members = [OutageSender(n, scenario) for n in range(scenario.senders)]
        self.views = {member.name: [m.name for m in self.members] for member in self.members}
        self.cut_off_members = set[str]()  # senders that cannot reach the destination, whatever its state
        self._heap: list[tuple[float, int, Callable[[], None]]] = []
        self._order = count()
        self._ids = count()
        loaded = self.members[int(scenario.idle_share * scenario.senders) :]
        for member in self.members:
            entry = EndpointEntry("e1", 1, "plain", rate=scenario.rate_per_s)
            self._step(member, [EndpointsUpdated([entry], complete=True)])
            self.schedule(self.random.random() * TICK_MS, lambda m=member: self._tick(m))  # type: ignore[misc]
            mean_gap_ms = 1000.0 * len(loaded) / (scenario.rate_per_s * scenario.load_share)
            first_arrival = (0.0 if member in loaded else scenario.up_at) + self.random.expovariate(
                1.0 / mean_gap_ms
            )
            self.schedule(first_arrival, lambda m=member, gap_ms=mean_gap_ms: self._arrive(m, gap_ms))  # type: ignore[misc]

    def schedule(self, when: float, callback: Callable[[], None]) -> None:
        """Call `callback` at the time `when`."""
        heapq.heappush(self._heap, (when, next(self._order), callback))

    def run(self) -> OutageResult:
        """Run the scenario to its end."""
        while self._heap and self._heap[0][0] <= self.scenario.ends_at:
            self.now, _, callback = heapq.heappop(self._heap)
            callback()
        self.result.overload_count = self.destination.overload_count
        self.result.max_overload = self.destination.max_overload
        return self.result

    # Faults ----------------------------------------------------------------------------------------

    def partition(self, names: Iterable[str]) -> None:
        """Cut these senders off from all others in both directions; the views follow after `DETECTION_MS`."""
        isolated = set(names)
        rest = {m.name for m in self.members} - isolated
        self.links.groups = {"off": isolated, "rest": rest}
        self.links.inject("off", "rest", LinkFault(cut=True))
        self.schedule(self.now + DETECTION_MS, lambda: self._split_views(isolated, rest))

    def _split_views(self, isolated: set[str], rest: set[str]) -> None:
        self.views = {name: sorted(isolated if name in isolated else rest) for name in self.views}

    def kill(self, member: OutageSender) -> None:
        """Kill a sender without a leave message; its messages are not tracked further."""
        member.alive = False
        self.schedule(self.now + DETECTION_MS, lambda: self._remove_from_views(member.name))

    def _remove_from_views(self, name: str) -> None:
        self.views = {viewer: [n for n in view if n != name] for viewer, view in self.views.items()}

    # Senders, clients, destination ------------------------------------------------------------------

    def _arrive(self, member: OutageSender, mean_gap_ms: float) -> None:
        if member.alive:
            id_ = f"m{next(self._ids)}"
            self._step(member, [MessageArrived(id_, 1, "c", self.now + CLASS_SETTINGS.deadline_ms)])
            self.schedule(
                self.now + self.random.expovariate(1.0 / mean_gap_ms),
                lambda: self._arrive(member, mean_gap_ms),
            )

    def _step(self, member: OutageSender, events: list[Event]) -> None:
        for action in member.policy.step(self.now, events):
            if isinstance(action, SetTimer):
                token = action.token
                self.schedule(
                    self.now + action.delay_ms,
                    lambda t=token: self._step(member, [TimerExpired(t)]),  # type: ignore[misc]
                )
            elif isinstance(action, StartAttempt):
                self._call(member, action)
            elif isinstance(action, RejectMessage | FailMessage):
                self._count_outcome("refused" if isinstance(action, RejectMessage) else "failed")

    def _count_outcome(self, outcome: str) -> None:
        self.result.outcome_counts[outcome] = self.result.outcome_counts.get(outcome, 0) + 1

    def _call(self, member: OutageSender, action: StartAttempt) -> None:
        scenario = self.scenario
        started_at = self.now
        attempt = member.attempt_counts[action.id] = member.attempt_counts.get(action.id, -1) + 1
        unavailable = member.name in self.cut_off_members or not self.destination.serve(started_at)
        self.result.calls.append((started_at, member.number, not unavailable))
        duration_ms = self.random.uniform(30.0, 80.0)
        if unavailable:
            duration_ms = min(action.timeout_ms, 3_000.0) if scenario.silent else 2.0
        outcome = (
            Outcome.OK if not unavailable else Outcome.TIMED_OUT if scenario.silent else Outcome.UNREACHABLE
        )
        event = AttemptEnded(action.id, attempt, action.endpoint, outcome, duration_ms, final=not unavailable)
        self.schedule(started_at + duration_ms, lambda: self._end_attempt(member, event))

    def _end_attempt(self, member: OutageSender, event: AttemptEnded) -> None:
        if member.alive:
            if event.final:
                self._count_outcome("delivered")
            self._step(member, [event])

    # The fleet --------------------------------------------------------------------------------------

    def _tick(self, member: OutageSender) -> None:
        if not member.alive:
            return
        self.schedule(self.now + TICK_MS, lambda: self._tick(member))
        if not self.scenario.cooperative:
            return
        equal_share = 1.0 / self.scenario.senders
        names = self.views[member.name]
        unhealthy = unhealthy_destinations(member.policy, self.now, member.participant.destinations)
        self._apply_actions(member, member.participant.tick(self.now, unhealthy, names, equal_share))
        for announcement in member.coordinator.due_announcements(self.now):
            for name in names:
                self._send(member, name, lambda to, a=announcement: self._on_announcement(to, member.name, a))  # type: ignore[misc]
        if not member.number or len(self.members) <= EXACT_SUM_SENDERS:
            self.result.max_budget_share = max(
                self.result.max_budget_share, sum(m.budget_share(self.now) for m in self.members if m.alive)
            )

    def _apply_actions(self, member: OutageSender, actions: ProbingActions) -> None:
        if actions.events:
            self._step(member, list(actions.events))
        for coordinator, rows in actions.requests.items():
            for row in rows:
                self._send(member, coordinator, lambda to, r=row: self._on_request(to, member, r))  # type: ignore[misc]

    def _send(self, source: OutageSender, target: str, deliver: Callable[[OutageSender], None]) -> None:
        to = self.members[int(target[1:])]
        if to is source:
            deliver(to)
            return
        self.result.datagrams += 1
        for delay_ms in self.links.datagram_delays(source.name, target):
            self.schedule(self.now + delay_ms, lambda: deliver(to) if to.alive else None)

    def _on_request(self, coordinator: OutageSender, source: OutageSender, row: RequestRow) -> None:
        if reply := coordinator.coordinator.handle_request(self.now, source.name, row):
            self._send(coordinator, source.name, lambda to: self._on_response(to, coordinator.name, reply))

    def _on_response(self, member: OutageSender, coordinator: str, row: ResponseRow) -> None:
        member.participant.handle_response(self.now, coordinator, row)

    def _on_announcement(self, member: OutageSender, coordinator: str, announcement: AnnouncementRow) -> None:
        actions = member.participant.handle_announcement(
            self.now,
            coordinator,
            announcement,
            lambda dest: destination_health(member.policy, self.now, dest),
        )
        self._apply_actions(member, actions)


def simulate_outage(
    scenario: OutageScenario, faults: Callable[[OutageSimulation], None] | None = None
) -> OutageResult:
    """Run a scenario; `faults` may schedule faults before it starts."""
    outage = OutageSimulation(scenario)
    if faults:
        faults(outage)
    return outage.run()


def without_cooperation(scenario: OutageScenario) -> OutageScenario:
    """Return the same scenario with senders that do not cooperate."""
    return replace(scenario, cooperative=False)
