"""The timeline of one destination in a capture: changes of its health, and which rules blocked its messages.

All clock readings and durations are milliseconds.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from kestreltrack.capture import records
from kestreltrack.capture.cursor import CaptureFiles, Step
from kestreltrack.capture.replay import Replayer
from kestreltrack.decision import (
    AttemptEnded,
    EndpointsUpdated,
    Event,
    MessageArrived,
    MessageWithdrawn,
    Outcome,
)
from kestreltrack.explain.tracing import (
    AttemptCancelled,
    AttemptChosen,
    HealthChanged,
    MessageBlocked,
    MessageGivenUp,
    TraceEvent,
    TraceFilter,
    TracingPolicy,
)


@dataclass(slots=True)
class StateChange:
    """A change of a destination, or of one endpoint; `endpoint` is empty for the whole destination."""

    clock: float
    endpoint: str
    state: str
    detail: str


@dataclass(slots=True)
class DestinationTimeline:
    """The figures and state changes of one destination over a part of a capture."""

    dest: int
    changes: list[StateChange] = field(default_factory=list)
    arrived: int = 0
    attempts: int = 0
    trials: int = 0
    outcomes: Counter[str] = field(default_factory=Counter)
    ends: Counter[str] = field(default_factory=Counter)
    waited_ms: Counter[str] = field(default_factory=Counter)
    """The time for which messages were blocked, by rule, summed over the messages."""
    max_queued: int = 0
    max_in_flight: int = 0
    span: tuple[float, float] = (0.0, 0.0)
    divergence: str = ""


def build_timeline(
    capture: CaptureFiles,
    dest: int,
    since: float | None = None,
    until: float | None = None,
    on_step: Callable[[Step], None] | None = None,
) -> DestinationTimeline:
    """Return the timeline of one destination, from a replay that starts at the last checkpoint before `since`."""
    builder = _TimelineBuilder(dest, since)
    start = capture.checkpoint_at(since) if since is not None else None
    for step in capture.steps(start, until):
        if on_step:
            on_step(step)
        if not builder.handle_step(step):
            break
    return builder.close()


class _TimelineBuilder:
    """Builds the timeline of one destination during a replay."""

    def __init__(self, dest: int, since: float | None) -> None:
        self.timeline = DestinationTimeline(dest)
        self._since = since
        self._replayer = Replayer(TracingPolicy, self._start_tracing)
        self._blocked: dict[str, tuple[str, float]] = {}
        """By message id: the blocking rule, and the start of the time that is not yet counted."""
        self._ids = set[str]()
        """The ids of the messages for this destination."""
        self._clock = 0.0
        self._first_clock = since

    def _start_tracing(self, policy: TracingPolicy) -> None:
        policy.start_tracing(TraceFilter(self._handle_trace, destinations={self.timeline.dest}))
        dest = policy.destinations.get(self.timeline.dest)
        self._ids = {id_ for id_, m in policy.messages.items() if m.destination is dest}
        self._ids |= {id_ for (id_, _), (c, _) in policy.calls.items() if c.endpoint.destination is dest}

    def handle_step(self, step: Step) -> bool:
        """Handle one record; return whether the replay has not diverged from the capture."""
        record = step.record
        self._clock = record.clock or self._clock
        if self._first_clock is None and record.clock:
            self._first_clock = record.clock
        if step.after_gap:
            self._blocked.clear()
            if step.record_number:
                self._add_change(self._clock, "", "gap", "records are missing before this point")
        if record.kind == records.EVENT:
            self._handle_event(record.clock, record.payload)
        elif record.kind == records.MARK:
            self._add_change(record.clock, "", "beside", record.mark_text())
        divergence = self._replayer.apply_step(step)
        if divergence is not None:
            expected, actual = divergence
            self.timeline.divergence = f"at {self._clock:.0f} ms: expected {expected}, got {actual}"
            return False
        if record.kind == records.DECISION:
            self._sample()
        return True

    def _sample(self) -> None:
        """Update the maxima of queued messages and calls in flight after a decision."""
        policy = self._replayer.policy
        if policy is not None and self._is_in_range(self._clock):
            state = policy.destinations.get(self.timeline.dest)
            if state is not None:
                self.timeline.max_queued = max(self.timeline.max_queued, len(state.queued))
                self.timeline.max_in_flight = max(self.timeline.max_in_flight, state.in_flight)

    def _is_in_range(self, now: float) -> bool:
        return self._since is None or now >= self._since

    def _add_change(self, now: float, endpoint: str, state: str, detail: str) -> None:
        if self._is_in_range(now):
            self.timeline.changes.append(StateChange(now, endpoint, state, detail))

    # Events ------------------------------------------------------------------------------------------

    def _handle_event(self, now: float, event: Event) -> None:
        if isinstance(event, MessageArrived):
            self._handle_arrival(now, event)
        elif isinstance(event, AttemptEnded):
            self._handle_outcome(now, event)
        elif isinstance(event, MessageWithdrawn):
            self._handle_withdrawal(now, event)
        elif isinstance(event, EndpointsUpdated):
            self._handle_endpoints(now, event)

    def _handle_arrival(self, now: float, event: MessageArrived) -> None:
        if event.dest != self.timeline.dest:
            return
        self._ids.add(event.id)
        if self._is_in_range(now):
            self.timeline.arrived += 1

    def _handle_outcome(self, now: float, event: AttemptEnded) -> None:
        if event.id not in self._ids or not self._is_in_range(now):
            return
        self.timeline.outcomes[event.outcome.value] += 1
        if event.final:
            self.timeline.ends["delivered" if event.outcome is Outcome.OK else event.outcome.value] += 1

    def _handle_withdrawal(self, now: float, event: MessageWithdrawn) -> None:
        if event.id in self._ids:
            self._stop_waiting(now, event.id)
            self._count_end(now, "withdrawn")

    def _handle_endpoints(self, now: float, event: EndpointsUpdated) -> None:
        if event.complete:
            return
        for entry in event.entries:
            if entry.dest == self.timeline.dest:
                self._add_change(now, entry.endpoint, "list", entry.lifecycle.value)

    # Traces ------------------------------------------------------------------------------------------

    def _handle_trace(self, now: float, event: TraceEvent) -> None:
        if isinstance(event, MessageBlocked):
            self._stop_waiting(now, event.id)
            self._blocked[event.id] = (event.rule, now)
        elif isinstance(event, AttemptChosen):
            self._handle_attempt(now, event)
        elif isinstance(event, MessageGivenUp):
            self._stop_waiting(now, event.id)
            self._count_end(now, f"{'refused' if event.safe_to_retry else 'failed'}: {event.reason}")
        elif isinstance(event, AttemptCancelled):
            detail = f"{event.id}: no answer for {event.overdue_factor:.1f} times the overdue time"
            self._add_change(now, "", "called off", detail)
        elif isinstance(event, HealthChanged):
            self._add_change(now, event.endpoint, event.state, event.detail)

    def _handle_attempt(self, now: float, event: AttemptChosen) -> None:
        self._stop_waiting(now, event.id)
        if self._is_in_range(now):
            self.timeline.attempts += 1
            if event.trial:
                self.timeline.trials += 1

    def _count_end(self, now: float, end: str) -> None:
        # An end that occurs only before the range is listed with a count of zero.
        self.timeline.ends[end] += 1 if self._is_in_range(now) else 0

    def _stop_waiting(self, now: float, id_: str) -> None:
        """Add the time for which a message has been blocked until now."""
        rule, since = self._blocked.pop(id_, ("", now))
        if rule and self._is_in_range(now):
            # The type stubs allow only int counts; at run time floats work as well.
            self.timeline.waited_ms[rule] += now - since  # type: ignore[assignment]

    def close(self) -> DestinationTimeline:
        """Return the timeline; its span ends at the last record."""
        self.timeline.span = (self._first_clock or 0.0, self._clock)
        return self.timeline


def to_json(capture: CaptureFiles, timeline: DestinationTimeline) -> dict[str, Any]:
    """Return the timeline as a JSON document, with times in ms since the start of the capture."""
    origin = capture.clock_origin()[0]
    return {
        "dest": timeline.dest,
        "from": capture.wall_time(timeline.span[0]).isoformat(),
        "span_ms": timeline.span[1] - timeline.span[0],
        "arrived": timeline.arrived,
        "attempts": timeline.attempts,
        "trials": timeline.trials,
        "outcomes": dict(timeline.outcomes),
        "ends": dict(timeline.ends),
        "waited_ms": {rule: round(ms, 1) for rule, ms in timeline.waited_ms.items()},
        "most_held": timeline.max_queued,
        "most_out": timeline.max_in_flight,
        "parted": timeline.divergence or None,
        "turns": [
            {
                "at_ms": change.clock - origin,
                "where": change.endpoint,
                "state": change.state,
                "detail": change.detail,
            }
            for change in timeline.changes
        ],
    }
