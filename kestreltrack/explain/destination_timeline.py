"""What became of one destination over a capture: turns of its health, and what its messages waited for."""

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
    """Something changed."""

    clock: float
    endpoint: str
    state: str
    detail: str


@dataclass(slots=True)
class DestinationTimeline:
    """A destination from its first record to its last."""

    dest: int
    changes: list[StateChange] = field(default_factory=list)
    arrived: int = 0
    attempts: int = 0
    trials: int = 0
    outcomes: Counter[str] = field(default_factory=Counter)
    ends: Counter[str] = field(default_factory=Counter)
    waited_ms: Counter[str] = field(default_factory=Counter)
    """Milliseconds that messages waited, all together, by rule."""
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
    """Replay with a module that watches one destination; begins at the last checkpoint before `since`."""
    listener = _TimelineBuilder(dest, since)
    start = capture.checkpoint_at(since) if since is not None else None
    for step in capture.steps(start, until):
        if on_step:
            on_step(step)
        if not listener.handle_step(step):
            break
    return listener.close()


class _TimelineBuilder:
    def __init__(self, dest: int, since: float | None) -> None:
        self.timeline, self._since = DestinationTimeline(dest), since
        self._player = Replayer(TracingPolicy, self._start_tracing)
        self._blocked: dict[str, tuple[str, float]] = {}
        self._ids = set[str]()
        self._clock, self._first = 0.0, None if since is None else since

    def _start_tracing(self, policy: TracingPolicy) -> None:
        policy.start_tracing(TraceFilter(self._handle_trace, destinations={self.timeline.dest}))
        dest = policy.destinations.get(self.timeline.dest)
        self._ids = {id_ for id_, m in policy.messages.items() if m.destination is dest}
        self._ids |= {id_ for (id_, _), (c, _) in policy.calls.items() if c.endpoint.destination is dest}

    def handle_step(self, step: Step) -> bool:
        """One record; whether to go on."""
        record = step.record
        self._clock = record.clock or self._clock
        if self._first is None and record.clock:
            self._first = record.clock
        if step.after_gap:
            self._blocked.clear()
            if step.record_number:
                self._add_change(self._clock, "", "gap", "the capture begins anew here")
        if record.kind == records.EVENT:
            self._event(record.clock, record.payload)
        elif record.kind == records.MARK:
            self._add_change(record.clock, "", "beside", record.mark_text())
        differ = self._player.apply_step(step)
        if differ is not None:
            self.timeline.divergence = f"at {self._clock:.0f} ms: expected {differ[0]}, got {differ[1]}"
            return False
        policy = self._player.policy
        if record.kind == records.DECISION and policy is not None and self._is_in_range(self._clock):
            state = policy.destinations.get(self.timeline.dest)
            if state is not None:
                self.timeline.max_queued = max(self.timeline.max_queued, len(state.queued))
                self.timeline.max_in_flight = max(self.timeline.max_in_flight, state.in_flight)
        return True

    def _is_in_range(self, now: float) -> bool:
        return self._since is None or now >= self._since

    def _add_change(self, now: float, endpoint: str, state: str, detail: str) -> None:
        if self._is_in_range(now):
            self.timeline.changes.append(StateChange(now, endpoint, state, detail))

    def _event(self, now: float, event: Event) -> None:
        found = self.timeline
        if isinstance(event, MessageArrived) and event.dest == found.dest:
            self._ids.add(event.id)
            found.arrived += self._is_in_range(now)
        elif isinstance(event, AttemptEnded) and event.id in self._ids and self._is_in_range(now):
            found.outcomes[event.outcome.value] += 1
            if event.final:
                found.ends["delivered" if event.outcome is Outcome.OK else event.outcome.value] += 1
        elif isinstance(event, MessageWithdrawn) and event.id in self._ids:
            self._stop_waiting(now, event.id)
            found.ends["withdrawn"] += self._is_in_range(now)
        elif isinstance(event, EndpointsUpdated) and not event.complete:
            for entry in event.entries:
                if entry.dest == found.dest:
                    self._add_change(now, entry.endpoint, "list", entry.lifecycle.value)

    def _handle_trace(self, now: float, event: TraceEvent) -> None:
        found = self.timeline
        if isinstance(event, MessageBlocked):
            rule, since = self._blocked.get(event.id, ("", now))
            if rule and self._is_in_range(now):
                found.waited_ms[rule] += now - since  # type: ignore[assignment]
            self._blocked[event.id] = (event.rule, now)
        elif isinstance(event, AttemptChosen):
            self._stop_waiting(now, event.id)
            found.attempts += self._is_in_range(now)
            found.trials += event.trial and self._is_in_range(now)
        elif isinstance(event, MessageGivenUp):
            self._stop_waiting(now, event.id)
            found.ends[f"{'refused' if event.safe_to_retry else 'failed'}: {event.reason}"] += (
                self._is_in_range(now)
            )
        elif isinstance(event, AttemptCancelled):
            self._add_change(
                now,
                "",
                "called off",
                f"{event.id}: silent for {event.overdue_factor:.1f} times what counts as overdue",
            )
        elif isinstance(event, HealthChanged):
            self._add_change(now, event.endpoint, event.state, event.detail)

    def _stop_waiting(self, now: float, id_: str) -> None:
        rule, since = self._blocked.pop(id_, ("", now))
        if rule and self._is_in_range(now):
            self.timeline.waited_ms[rule] += now - since  # type: ignore[assignment]

    def close(self) -> DestinationTimeline:
        self.timeline.span = (self._first or 0.0, self._clock)
        return self.timeline


def to_json(capture: CaptureFiles, timeline: DestinationTimeline) -> dict[str, Any]:
    """For programs."""
    zero = capture.clock_origin()[0]
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
            {"at_ms": turn.clock - zero, "where": turn.endpoint, "state": turn.state, "detail": turn.detail}
            for turn in timeline.changes
        ],
    }
