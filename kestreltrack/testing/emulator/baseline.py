"""The baselines of a comparison: a policy with one attempt per message, and a bound by the destinations' capacity."""

from __future__ import annotations

from collections import defaultdict, deque
from collections.abc import Sequence
from typing import NamedTuple, Protocol

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

# Time reserved for the final answer before a message expires.
EXPIRY_MARGIN_MS = 150.0

# Interval of the decisions while messages are queued or the endpoint list is to be polled.
TICK_MS = 50.0

# Retry-after of a rejection, and interval of polls of the endpoint list.
RETRY_AFTER_MS = 1000.0

# Time step of the computation of the capacity bound.
BOUND_STEP_MS = 50.0

# Fractions of the time until the deadline after which the capacity bound drops a message; the best one is used.
PATIENCE_FRACTIONS = (0.05, 0.15, 0.3, 0.6, 1.0)

# Least work of a message; avoids a division by zero.
MIN_WORK_MS = 1e-9


class SimulationView(Protocol):
    """The part of a completed simulation that the capacity bound reads."""

    destinations: dict[int, SimulatedDestination]

    def mean_work_ms(self, number: int) -> float:
        """Return the mean work (ms) of a message to a destination."""


class SingleAttemptPolicy:
    """A policy that makes one attempt for each message, in order of arrival, at its destination's endpoints in turn.

    It ignores rate limits, retry-after and health.  A message that cannot have been executed is rejected; any
    other one without success fails.
    """

    def __init__(self, settings: Settings) -> None:
        """Create a policy that knows no endpoint."""
        self.settings = settings
        self.in_flight = 0
        self.next_endpoint = 0
        self.queue = dict[str, MessageArrived]()
        self.up_endpoints = defaultdict[int, dict[str, None]](dict)
        self.actions = list[Action]()
        self.timer_set = False
        self.poll_at = 0.0 if settings.must_poll else float("inf")

    def handle(self, now: float, event: decision.Event) -> None:
        """Handle one event."""
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
                self.actions.append(self._final_action(event))

    @staticmethod
    def _final_action(attempt: AttemptEnded) -> Action:
        if attempt.outcome.may_have_executed():
            return FailMessage(attempt.id)
        return RejectMessage(attempt.id, RETRY_AFTER_MS)

    def _update_endpoints(self, update: EndpointsUpdated) -> None:
        if not update.cached:
            self.poll_at = float("inf")
        if update.complete:
            self.up_endpoints.clear()
        for entry in update.entries:
            self.up_endpoints[entry.dest].pop(entry.endpoint, None)
            if entry.lifecycle is EndpointLifecycle.UP:
                self.up_endpoints[entry.dest][entry.endpoint] = None

    def decide(self, now: float) -> Sequence[Action]:
        """Return the actions that follow from the events so far."""
        if now >= self.poll_at:
            self.poll_at = now + RETRY_AFTER_MS
            self.actions.append(PollEndpointList())
        self._reject_expiring(now)
        while self.queue and self.in_flight < self.settings.concurrency_limit:
            self._start_attempt(now, self.queue.pop(next(iter(self.queue))))
        if not self.timer_set and (self.queue or self.poll_at < float("inf")):
            self.timer_set = True
            self.actions.append(SetTimer(TICK_MS, 0))
        actions = self.actions
        self.actions = []
        return actions

    def _reject_expiring(self, now: float) -> None:
        expiring = [m for m in self.queue.values() if m.expires - now <= EXPIRY_MARGIN_MS]
        for message in expiring:
            del self.queue[message.id]
            self.actions.append(RejectMessage(message.id))

    def _start_attempt(self, now: float, message: MessageArrived) -> None:
        endpoints = list(self.up_endpoints[message.dest])
        if not endpoints:
            self.actions.append(RejectMessage(message.id, RETRY_AFTER_MS))
            return
        self.in_flight += 1
        self.next_endpoint += 1
        timeout_ms = max(1.0, message.expires - now - EXPIRY_MARGIN_MS)
        endpoint = endpoints[self.next_endpoint % len(endpoints)]
        self.actions.append(StartAttempt(message.id, endpoint, timeout_ms))

    def permits(self, now: float, dest: int, endpoint_name: str) -> bool:
        """Return whether the endpoint is still listed as up."""
        return endpoint_name in self.up_endpoints[dest]


class _Delivery(NamedTuple):
    """A delivered message, with its times in milliseconds."""

    request: MessageRequested
    requested_at: float
    delivered_at: float


class CapacityBound:
    """Computes from events the score that the destinations' capacity allows a sender with perfect information.

    There is no network delay.  Each destination serves messages in order of arrival, at the lesser of its rate limit
    and its capacity, in full batches.  During an outage it serves nothing, and afterwards needs no warm-up.  Messages
    that have waited too long are dropped, after the fraction of their time that gives the best score.  Slowness,
    failures and pauses are ignored.  This is not a strict upper bound, but few senders could do better.
    """

    def __init__(self, scenario: Scenario) -> None:
        """Create a listener that has seen no event."""
        self.scenario = scenario
        self._requested = defaultdict[int, list[tuple[float, MessageRequested]]](list)
        self._outages = defaultdict[str, list[tuple[float, float]]](list)

    def __call__(self, now: float, event: Event) -> None:
        """Record one event."""
        if isinstance(event, MessageRequested):
            self._requested[event.dest].append((now, event))
        elif isinstance(event, FaultChanged) and event.kind in OUTAGE_FAULTS and event.kind != "fails":
            for uid in event.endpoints:
                outages = self._outages[uid]
                if event.active:
                    outages.append((now, float("inf")))
                elif outages:
                    started_at, _ = outages[-1]
                    outages[-1] = (started_at, now)

    def score(self, simulation: SimulationView) -> ServiceScore:
        """Return the score, which has no deductions."""
        scorer = ServiceScorer(self.scenario)
        for dest, requests in sorted(self._requested.items()):
            for requested_at, request in requests:
                scorer(requested_at, request)
            candidates = [
                self._deliveries(simulation, dest, requests, patience) for patience in PATIENCE_FRACTIONS
            ]
            best = max(candidates, key=lambda deliveries: self._utility(scorer, deliveries))
            for delivery in best:
                scorer(
                    delivery.delivered_at,
                    AttemptAnswered(delivery.request.id, 0, dest, "", "ok", 0.0, False, 0.0),
                )
        return scorer.score()

    @staticmethod
    def _utility(scorer: ServiceScorer, deliveries: list[_Delivery]) -> float:
        return sum(
            scorer.utility_of(delivery.request, delivery.requested_at, delivery.delivered_at)
            for delivery in deliveries
        )

    def _deliveries(
        self,
        simulation: SimulationView,
        dest: int,
        requests: list[tuple[float, MessageRequested]],
        patience: float,
    ) -> list[_Delivery]:
        """Return the messages served within the fraction `patience` of their time until the deadline."""
        destination = simulation.destinations[dest]
        batch_size = destination.max_batch_size
        work_ms = simulation.mean_work_ms(dest)
        work_in_batch_ms = work_ms * (1.0 + destination.batch_item_cost * (batch_size - 1)) / batch_size
        ends_at = requests[-1][0] + max(cls.deadline_ms for cls in self.scenario.cls)
        burst = self._burst(destination)
        deliveries = list[_Delivery]()
        queued = deque(requests)
        credit = burst
        now = 0.0
        while queued and now < ends_at:
            rate_per_ms = self._rate_per_ms(destination, now, work_in_batch_ms)
            credit = min(burst, credit) + rate_per_ms * BOUND_STEP_MS
            while queued and queued[0][0] <= now and credit >= 1.0:
                requested_at, request = queued.popleft()
                if now - requested_at <= patience * (request.deadline - requested_at):
                    delivered_at = max(now, requested_at) + work_ms
                    deliveries.append(_Delivery(request, requested_at, delivered_at))
                    credit -= 1.0
            now += BOUND_STEP_MS
        return deliveries

    @staticmethod
    def _burst(destination: SimulatedDestination) -> float:
        """Return the number of messages that a destination accepts at once after it has been idle."""
        limits = {id(endpoint.rate_limit): endpoint.rate_limit for endpoint in destination.endpoints}
        calls = sum(1.0 if limit.kind == "none" else limit.capacity() for limit in limits.values())
        return calls * destination.max_batch_size

    def _rate_per_ms(self, destination: SimulatedDestination, now: float, work_ms: float) -> float:
        """Return the messages per millisecond that a destination serves at a time (ms), with this work each."""
        limited_rate = dict[int, float]()
        capacity_rate = dict[int, float]()
        for endpoint in destination.endpoints:
            if endpoint.removed:
                continue
            limit = endpoint.rate_limit
            up_cores = 0 if self._is_in_outage(endpoint.uid, now) else endpoint.cores
            capacity_rate[id(limit)] = capacity_rate.get(id(limit), 0.0) + up_cores * endpoint.speed / max(
                MIN_WORK_MS, work_ms
            )
            if limit.kind == "none":
                limited_rate[id(limit)] = float("inf")
            else:
                limited_rate[id(limit)] = limit.rate_per_s * destination.max_batch_size / 1000.0
        return sum(min(limited_rate[key], capacity_rate[key]) for key in limited_rate)

    def _is_in_outage(self, uid: str, now: float) -> bool:
        return any(started_at <= now < ends_at for started_at, ends_at in self._outages[uid])
