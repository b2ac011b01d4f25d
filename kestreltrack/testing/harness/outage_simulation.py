"""N senders and a partner that goes out and comes back, in simulated time: the senders' own code for what decides.

Each sender is a real decision module with both sides of `fleet/trials`; modelled are the partner, the submitters, the
network between senders (`Links`) and what membership tells (a death or cut is known after `DETECT_MS`).  Every draw
comes from one seed.  Without talk the senders are those of today.
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

DETECTION_MS = 6_000.0  # docs/fleet-together.md: 8 members, no loss
TICK_MS = 100.0
EXACT_SUM_SENDERS = 12  # senders up to which shares are summed at each one's tick, else ten times a second
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
    """What is played; `load` is the share of the partner's rate that all submitters together ask for."""

    senders: int
    seed: int
    cooperative: bool = True
    rate_per_s: float = 40.0
    load_share: float = 0.7
    idle_share: float = 0.0  # share of the senders that get no message before the partner is back
    down_at: float = 10_000.0
    up_at: float = 40_000.0
    ends_at: float = 60_000.0
    overload_outage_ms: float = (
        5_000.0  # a partner that is pushed over is out for so long, and comes back cold
    )
    silent: bool = False  # out means no answer; else no connection
    delay_ms: float = 0.5  # between senders, and as much as 2 ms more
    loss: float = 0.0


@dataclass(slots=True)
class OutageResult:
    """What became of it; times in ms."""

    calls: list[tuple[float, int, bool]] = field(default_factory=list)  # when, whose, whether it did work
    outcome_counts: dict[str, int] = field(default_factory=dict)
    overload_count: int = 0  # how often the partner was pushed over,
    max_overload: float = 0.0  # and at most: calls within `tip_after_ms` over what tips it
    max_budget_share: float = 0.0  # of the cold budget that all may use at one time
    datagrams: int = 0

    def probe_rate(self, scenario: OutageScenario, after_ms: float = 10_000.0) -> float:
        """Calls a second to the partner that is out, once its outage is known."""
        since = scenario.down_at + after_ms
        return sum(since <= at < scenario.up_at for at, _, _ in self.calls) / (
            (scenario.up_at - since) / 1000.0
        )

    def calls_after_return(self, scenario: OutageScenario, window_ms: float = 1000.0) -> int:
        """Calls in the first second in which the partner answers again, from its first answer on."""
        back = min(
            (at for at, _, fine in self.calls if fine and at >= scenario.up_at), default=scenario.ends_at
        )
        return sum(back <= at < back + window_ms for at, _, _ in self.calls)

    def recovery_ms(self, scenario: OutageScenario) -> float:
        """Until the first call that did work."""
        return (
            min((at for at, _, fine in self.calls if fine and at >= scenario.up_at), default=scenario.ends_at)
            - scenario.up_at
        )


class RecoveringDestination:
    """Out, cold, warm; over what it bears for `tip_after_ms` it goes out once more."""

    def __init__(self, scenario: OutageScenario) -> None:
        """Warm until `down_at`."""
        self.scenario = scenario
        self.out_until = scenario.up_at
        self.back_at = -1e9
        # most calls in the window over what tips it, since it was back
        self.max_overload = 0.0
        self.overload_count = 0
        self._recent_calls = deque[float]()

    def serve(self, now: float) -> bool:
        """A call comes: whether it does its work."""
        if self.scenario.down_at <= now < self.out_until:
            return False
        if now >= self.out_until > self.back_at:
            self.back_at = now
            self._recent_calls.clear()
        self._recent_calls.append(now)
        window = SAFETY_LIMITS.overload_window_ms
        while self._recent_calls[0] <= now - window:
            self._recent_calls.popleft()
        warmth = min(1.0, (now - self.back_at) / SAFETY_LIMITS.warm_up_ms)
        able = SAFETY_LIMITS.cold_start_share + (1.0 - SAFETY_LIMITS.cold_start_share) * warmth
        push = len(self._recent_calls) / (
            SAFETY_LIMITS.overload_factor * able * self.scenario.rate_per_s * window / 1000.0
        )
        if self.back_at >= self.scenario.up_at:
            self.max_overload = max(self.max_overload, push)
        if push >= 1.0 and now >= self.scenario.down_at:
            self.out_until = now + self.scenario.overload_outage_ms
            self.overload_count = self.overload_count + 1
        return push < 1.0


class OutageSender:
    """One sender."""

    def __init__(self, number: int, scenario: OutageScenario) -> None:
        """With an endpoint of the partner on its list; its fleet's parts begin with it."""
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

    def restart(self, now: float, start: int, seed: int) -> None:
        """Its process's fleet parts, new."""
        self.participant = ProbingParticipant(now, start * 1_000_000, seed * 1000 + self.number)
        self.coordinator = ProbingCoordinator(start)

    def budget_share(self, now: float) -> float:
        """Of the cold budget, that it may use."""
        pursuit = self.participant.destinations.get(1)
        return pursuit.lease_holder.usable_quota(now) if pursuit else 0.0


class OutageSimulation:
    """One play."""

    def __init__(self, scenario: OutageScenario) -> None:
        """Nothing happens before `run`; faults can be put on `links`, and `at` called, before that."""
        self.scenario = scenario
        self.now = 0.0
        self.result = OutageResult()
        self.destination = RecoveringDestination(scenario)
        self.random = random.Random(scenario.seed)
        self.links = Links(scenario.seed)
        usual = LinkFault(delay_ms=scenario.delay_ms, jitter_ms=2.0, loss=scenario.loss)
        self.links.inject("*", "*", usual, bidirectional=False)
        self.members = [OutageSender(n, scenario) for n in range(scenario.senders)]
        self.views = {member.name: [m.name for m in self.members] for member in self.members}
        self.cut_off_members = set[str]()  # that reach no partner, whatever its state
        self._heap: list[tuple[float, int, Callable[[], None]]] = []
        self._order, self._ids = count(), count()
        busy = self.members[int(scenario.idle_share * scenario.senders) :]
        for member in self.members:
            entry = EndpointEntry("e1", 1, "plain", rate=scenario.rate_per_s)
            self._step(member, [EndpointsUpdated([entry], complete=True)])
            self.schedule(self.random.random() * TICK_MS, lambda m=member: self._tick(m))  # type: ignore[misc]
            mean = 1000.0 * len(busy) / (scenario.rate_per_s * scenario.load_share)
            first = (0.0 if member in busy else scenario.up_at) + self.random.expovariate(1.0 / mean)
            self.schedule(first, lambda m=member, mean=mean: self._arrive(m, mean))  # type: ignore[misc]

    def schedule(self, when: float, callback: Callable[[], None]) -> None:
        """Something that happens then."""
        heapq.heappush(self._heap, (when, next(self._order), callback))

    def run(self) -> OutageResult:
        """Play it to its end."""
        while self._heap and self._heap[0][0] <= self.scenario.ends_at:
            self.now, _, what = heapq.heappop(self._heap)
            what()
        self.result.overload_count = self.destination.overload_count
        self.result.max_overload = self.destination.max_overload
        return self.result

    # Faults ----------------------------------------------------------------------------------------

    def partition(self, names: Iterable[str]) -> None:
        """These from all others, both ways; their views follow."""
        off = set(names)
        rest = {m.name for m in self.members} - off
        self.links.groups = {"off": off, "rest": rest}
        self.links.inject("off", "rest", LinkFault(cut=True))
        self.schedule(self.now + DETECTION_MS, lambda: self._split_views(off, rest))

    def _split_views(self, off: set[str], rest: set[str]) -> None:
        self.views = {name: sorted(off if name in off else rest) for name in self.views}

    def kill(self, member: OutageSender) -> None:
        """Without a word; what it held is not followed."""
        member.alive = False
        self.schedule(self.now + DETECTION_MS, lambda: self._remove_from_views(member.name))

    def _remove_from_views(self, name: str) -> None:
        self.views = {who: [n for n in view if n != name] for who, view in self.views.items()}

    # Senders, submitters, partner -------------------------------------------------------------------

    def _arrive(self, member: OutageSender, mean: float) -> None:
        if member.alive:
            id_ = f"m{next(self._ids)}"
            self._step(member, [MessageArrived(id_, 1, "c", self.now + CLASS_SETTINGS.deadline_ms)])
            self.schedule(self.now + self.random.expovariate(1.0 / mean), lambda: self._arrive(member, mean))

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

    def _count_outcome(self, how: str) -> None:
        self.result.outcome_counts[how] = self.result.outcome_counts.get(how, 0) + 1

    def _call(self, member: OutageSender, send: StartAttempt) -> None:
        world = self.scenario
        began = self.now
        attempt = member.attempt_counts[send.id] = member.attempt_counts.get(send.id, -1) + 1
        out = member.name in self.cut_off_members or not self.destination.serve(began)
        self.result.calls.append((began, member.number, not out))
        took = self.random.uniform(30.0, 80.0)
        if out:
            took = min(send.timeout_ms, 3_000.0) if world.silent else 2.0
        outcome = Outcome.OK if not out else Outcome.TIMED_OUT if world.silent else Outcome.UNREACHABLE
        event = AttemptEnded(send.id, attempt, send.endpoint, outcome, took, final=not out)
        self.schedule(began + took, lambda: self._ended(member, event))

    def _ended(self, member: OutageSender, event: AttemptEnded) -> None:
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
        part = 1.0 / self.scenario.senders
        names = self.views[member.name]
        found = unhealthy_destinations(member.policy, self.now, member.participant.destinations)
        self._apply_actions(member, member.participant.tick(self.now, found, names, part))
        for word in member.coordinator.due_announcements(self.now):
            for name in names:
                self._send(member, name, lambda to, w=word: self._on_announcement(to, member.name, w))  # type: ignore[misc]
        if not member.number or len(self.members) <= EXACT_SUM_SENDERS:
            self.result.max_budget_share = max(
                self.result.max_budget_share, sum(m.budget_share(self.now) for m in self.members if m.alive)
            )

    def _apply_actions(self, member: OutageSender, actions: ProbingActions) -> None:
        if actions.events:
            self._step(member, list(actions.events))
        for keeper, rows in actions.requests.items():
            for row in rows:
                self._send(member, keeper, lambda to, r=row: self._on_request(to, member, r))  # type: ignore[misc]

    def _send(self, source: OutageSender, target: str, what: Callable[[OutageSender], None]) -> None:
        to = self.members[int(target[1:])]
        if to is source:
            what(to)
            return
        self.result.datagrams += 1
        for way in self.links.datagram_delays(source.name, target):
            self.schedule(self.now + way, lambda: what(to) if to.alive else None)

    def _on_request(self, coordinator: OutageSender, source: OutageSender, row: RequestRow) -> None:
        if reply := coordinator.coordinator.handle_request(self.now, source.name, row):
            self._send(coordinator, source.name, lambda to: self._on_response(to, coordinator.name, reply))

    def _on_response(self, member: OutageSender, coordinator: str, row: ResponseRow) -> None:
        member.participant.handle_response(self.now, coordinator, row)

    def _on_announcement(self, member: OutageSender, coordinator: str, announcement: AnnouncementRow) -> None:
        turn = member.participant.handle_announcement(
            self.now,
            coordinator,
            announcement,
            lambda dest: destination_health(member.policy, self.now, dest),
        )
        self._apply_actions(member, turn)


def simulate_outage(
    scenario: OutageScenario, faults: Callable[[OutageSimulation], None] | None = None
) -> OutageResult:
    """One play, with what `faults` plans for it."""
    outage = OutageSimulation(scenario)
    if faults:
        faults(outage)
    return outage.run()


def without_cooperation(scenario: OutageScenario) -> OutageScenario:
    """The same world, with senders that do not talk."""
    return replace(scenario, cooperative=False)
