"""What a sender is held against: one that tries each message once, and what the partners could do at all."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Sequence
from typing import Protocol

from kestreltrack import decision
from kestreltrack.decision import (
    Action,
    AttemptEnded,
    DiscoveryFailed,
    EndpointLifecycle,
    EndpointsUpdated,
    FailMessage,
    MessageArrived,
    MessageWithdrawn,
    PollEndpointList,
    RejectMessage,
    SetTimer,
    Settings,
    StartAttempt,
    TimerExpired,
)
from kestreltrack.invariants.events import AttemptAnswered, Event, FaultChanged, MessageRequested
from kestreltrack.invariants.system import OUTAGE_FAULTS
from kestreltrack.testing.emulator.destination import SimulatedDestination
from kestreltrack.testing.emulator.scenario import Scenario
from kestreltrack.testing.emulator.scoring import ServiceScore, ServiceScorer

EXPIRY_MARGIN_MS = 150.0  # of a message's time, to tell its end in
TICK_MS = 50.0
RETRY_AFTER_MS = 1000.0  # told with a refusal, and until the directory is asked again
BOUND_STEP_MS = 50.0  # of the bound's clock
PATIENCE_SHARES = (
    0.05,
    0.15,
    0.3,
    0.6,
    1.0,
)  # parts of the deadline after which the bound gives up; the best one counts


class SimulationView(Protocol):
    """What the bound reads of a world that was played."""

    destinations: dict[int, SimulatedDestination]

    def mean_work_ms(self, number: int) -> float:
        """Milliseconds of work of a message to a partner, in the mean."""


class SingleAttemptPolicy:
    """One try for each message, in order of arrival, at its destination's endpoints in turn; no rule is looked at.

    What surely never ran is handed back, all else fails.
    """

    def __init__(self, settings: Settings) -> None:
        """Knows no endpoint."""
        self.settings = settings
        self.in_flight = 0
        self.next_endpoint = 0
        self.queue = dict[str, MessageArrived]()
        self.up_endpoints = defaultdict[int, dict[str, None]](dict)
        self.actions = list[Action]()
        self.timer_set = False
        self.poll_at = 0.0 if settings.must_poll else float("inf")

    def handle(self, now: float, event: decision.Event) -> None:
        """Learn of one event."""
        if isinstance(event, EndpointsUpdated):
            self._update_endpoints(event)
        elif isinstance(event, DiscoveryFailed) and self.settings.must_poll:
            self.poll_at = now + RETRY_AFTER_MS
        elif isinstance(event, TimerExpired):
            self.timer_set = False
        elif isinstance(event, MessageWithdrawn):
            self.queue.pop(event.id, None)
        elif isinstance(event, MessageArrived):
            if event.attempts:
                self.actions.append(FailMessage(event.id))
            else:
                self.queue[event.id] = event
        elif isinstance(event, AttemptEnded):
            self.in_flight -= 1
            if not event.final:
                ran = event.outcome.may_have_executed()
                self.actions.append(FailMessage(event.id) if ran else RejectMessage(event.id, RETRY_AFTER_MS))

    def _update_endpoints(self, news: EndpointsUpdated) -> None:
        if not news.cached:
            self.poll_at = float("inf")
        if news.complete:
            self.up_endpoints.clear()
        for entry in news.entries:
            self.up_endpoints[entry.dest].pop(entry.endpoint, None)
            if entry.lifecycle is EndpointLifecycle.UP:
                self.up_endpoints[entry.dest][entry.endpoint] = None

    def decide(self, now: float) -> Sequence[Action]:
        """What to do."""
        if now >= self.poll_at:
            self.poll_at = now + RETRY_AFTER_MS
            self.actions.append(PollEndpointList())
        for held in [held for held in self.queue.values() if held.expires - now <= EXPIRY_MARGIN_MS]:
            del self.queue[held.id]
            self.actions.append(RejectMessage(held.id))
        while self.queue and self.in_flight < self.settings.concurrency_limit:
            held = self.queue.pop(next(iter(self.queue)))
            if ready := list(self.up_endpoints[held.dest]):
                self.in_flight = self.in_flight + 1
                self.next_endpoint = self.next_endpoint + 1
                left = max(1.0, held.expires - now - EXPIRY_MARGIN_MS)
                self.actions.append(StartAttempt(held.id, ready[self.next_endpoint % len(ready)], left))
            else:
                self.actions.append(RejectMessage(held.id, RETRY_AFTER_MS))
        if not self.timer_set and (self.queue or self.poll_at < float("inf")):
            self.timer_set = True
            self.actions.append(SetTimer(TICK_MS, 0))
        actions = self.actions
        self.actions = []
        return actions

    def permits(self, now: float, dest: int, endpoint_name: str) -> bool:
        """Whether it is still listed."""
        return endpoint_name in self.up_endpoints[dest]


class CapacityBound:
    """A listener that counts what the partners could do at all, were all known and no way took time.

    Each partner serves in order of arrival at the lesser of its limit and its capacity, in full calls, at nothing
    while it is out, as if warm when it is back; what has waited too long is left, by whichever patience is best.
    Slow spells, failures and pauses are taken for nothing.  Few senders could do better.
    """

    def __init__(self, scenario: Scenario) -> None:
        """Nothing has happened."""
        self.scenario = scenario
        self._requested = defaultdict[int, list[tuple[float, MessageRequested]]](list)
        self._outages = defaultdict[str, list[tuple[float, float]]](list)

    def __call__(self, now: float, event: Event) -> None:
        """One thing that happened."""
        if isinstance(event, MessageRequested):
            self._requested[event.dest].append((now, event))
        elif isinstance(event, FaultChanged) and event.kind in OUTAGE_FAULTS and event.kind != "fails":
            for uid in event.endpoints:
                spans = self._outages[uid]
                if event.active:
                    spans.append((now, float("inf")))
                elif spans:
                    spans[-1] = spans[-1][0], now

    def score(self, simulation: SimulationView) -> ServiceScore:
        """The figure without deductions."""
        worth = ServiceScorer(self.scenario)
        for dest, asked in sorted(self._requested.items()):
            for at, event in asked:
                worth(at, event)
            tried = [self._best_deliveries(simulation, dest, asked, part) for part in PATIENCE_SHARES]
            best = max(
                tried, key=lambda served: sum(worth.utility_of(event, at, done) for event, at, done in served)
            )
            for event, _, done in best:
                worth(done, AttemptAnswered(event.id, 0, dest, "", "ok", 0.0, False, 0.0))
        return worth.score()

    def _best_deliveries(
        self,
        simulation: SimulationView,
        dest: int,
        asked: list[tuple[float, MessageRequested]],
        patience: float,
    ) -> list[tuple[MessageRequested, float, float]]:
        """Messages with the times at which they were asked for and delivered."""
        partner = simulation.destinations[dest]
        found = list[tuple[MessageRequested, float, float]]()
        queue = 0
        now = 0.0
        batch = partner.max_batch_size
        work = simulation.mean_work_ms(dest)
        each = work * (1.0 + partner.batch_item_cost * (batch - 1)) / batch
        until = asked[-1][0] + max(cls.deadline_ms for cls in self.scenario.cls)
        limits = {id(e.rate_limit): e.rate_limit for e in partner.endpoints}
        burst = sum(1.0 if limit.kind == "none" else limit.capacity() for limit in limits.values()) * batch
        credit = burst
        while queue < len(asked) and now < until:
            credit = (
                min(burst, credit) + self._capacity_per_ms(simulation, dest, now, each, batch) * BOUND_STEP_MS
            )
            while queue < len(asked) and asked[queue][0] <= now and credit >= 1.0:
                at, event = asked[queue]
                queue += 1
                if now - at <= patience * (event.deadline - at):
                    found.append((event, at, max(now, at) + work))
                    credit -= 1.0
            now += BOUND_STEP_MS
        return found

    def _capacity_per_ms(
        self, simulation: SimulationView, dest: int, now: float, each: float, batch: int
    ) -> float:
        """Messages in a millisecond, just then."""
        able = dict[int, float]()
        cores = dict[int, float]()
        endpoints = [e for e in simulation.destinations[dest].endpoints if not e.removed]
        for e in endpoints:
            up = not any(since <= now < until for since, until in self._outages[e.uid])
            cores[id(e.rate_limit)] = cores.get(id(e.rate_limit), 0.0) + up * e.cores * e.speed / max(
                1e-9, each
            )
            able[id(e.rate_limit)] = (
                float("inf") if e.rate_limit.kind == "none" else e.rate_limit.rate_per_s * batch / 1000.0
            )
        return sum(min(able[key], cores[key]) for key in able)
