"""The figures of a report: what each destination of a capture went through, in bins of equal length.

They come from a replay with a decision module that traces its decisions (`explain/tracing.py`).
"""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Callable
from dataclasses import dataclass, field
from datetime import datetime

import numpy as np
from numpy.typing import NDArray

from kestreltrack.capture import records
from kestreltrack.capture.cursor import CaptureFiles, Step
from kestreltrack.capture.replay import Replayer
from kestreltrack.decision import AttemptEnded, Event, MessageArrived, Outcome, rate_limit
from kestreltrack.explain.tracing import (
    AttemptChosen,
    HealthChanged,
    MessageGivenUp,
    TraceEvent,
    TraceFilter,
    TracingPolicy,
)

FloatArray = NDArray[np.float64]
IntArray = NDArray[np.int_]

# About four pixels a bin in the pictures.
BINS = 240
# From the best to the worst; a series holds the index.
HEALTH_STATES = ("well", "slow start", "told wait", "draining", "open")
# A message without a delivery weighs as much as so many outcomes that were not ok.
UNDELIVERED_SEVERITY = 5.0
SERIES_NAMES = ("arrived", "sent", "delivered", "not ok", "refused", "failed")


@dataclass(slots=True)
class DestinationSeries:
    """The figures of one destination, one value a bin."""

    number: int
    queued: FloatArray
    """The most queued messages."""
    in_flight: FloatArray
    """The most calls in flight."""
    send_rate: FloatArray
    """The send rate in calls per second; NaN where it is not known."""
    health_state: IntArray
    """The index of the worst state in `HEALTH_STATES`."""
    counts: dict[str, FloatArray]
    """By the names of `SERIES_NAMES`."""
    latencies_ms: dict[int, list[float]] = field(default_factory=lambda: defaultdict(list))
    """The durations of the attempts that were ok, by bin."""
    end_counts: Counter[str] = field(default_factory=Counter)
    reason_counts: Counter[str] = field(default_factory=Counter)
    current_state: int = 0
    endpoint_states: dict[str, int] = field(default_factory=dict)
    """By endpoint; the state of the whole destination has the empty name."""

    def latency_quantile(self, quantile: float) -> FloatArray:
        """Return a quantile in ms for each bin, NaN where no attempt ended."""
        return np.array(
            [
                np.quantile(self.latencies_ms[n], quantile) if n in self.latencies_ms else np.nan
                for n in range(BINS)
            ]
        )

    def severity(self) -> float:
        """Return a rank by undelivered messages, by outcomes that were not ok, and by bins that were not well."""
        undelivered = sum(count for end, count in self.end_counts.items() if end != "delivered")
        not_ok = float(self.counts["not ok"].sum())
        bins_not_well = float((self.health_state > 0).sum())
        return UNDELIVERED_SEVERITY * undelivered + not_ok + bins_not_well


def new_series(number: int) -> DestinationSeries:
    """Return the series of a destination before the first record."""
    return DestinationSeries(
        number,
        queued=np.zeros(BINS),
        in_flight=np.zeros(BINS),
        send_rate=np.full(BINS, np.nan),
        health_state=np.zeros(BINS, dtype=int),
        counts={name: np.zeros(BINS) for name in SERIES_NAMES},
    )


@dataclass(slots=True)
class ReportData:
    """All figures of a report."""

    sender: str = ""
    start_time: datetime | None = None
    clock_span: tuple[float, float] = (0.0, 0.0)
    destinations: dict[int, DestinationSeries] = field(default_factory=dict)
    marks: list[tuple[float, str]] = field(default_factory=list)
    concurrency_limit: int = 0
    corruptions: list[str] = field(default_factory=list)
    divergence: str = ""

    def span_s(self) -> float:
        """Return the length of the report in seconds."""
        return (self.clock_span[1] - self.clock_span[0]) / 1000.0

    def bin_times_s(self) -> FloatArray:
        """Return the middle of each bin, in seconds from the start."""
        width_s = (self.clock_span[1] - self.clock_span[0]) / BINS / 1000.0
        return (np.arange(BINS, dtype=np.float64) + 0.5) * width_s

    def bin_width_s(self) -> float:
        """Return the length of a bin in seconds, as a divisor that is never zero."""
        return max(1e-9, (self.clock_span[1] - self.clock_span[0]) / BINS / 1000.0)

    def total_rate_per_s(self, series: str) -> FloatArray:
        """Return one series over all destinations, per second."""
        return (
            sum((line.counts[series] for line in self.destinations.values()), np.zeros(BINS))
            / self.bin_width_s()
        )


class _Collector:
    """Collects the figures during a replay."""

    def __init__(self, span: tuple[float, float]) -> None:
        self.data = ReportData(clock_span=span)
        self._bin_width_ms = max(1e-6, (span[1] - span[0]) / BINS)
        self._player = Replayer(TracingPolicy, self._start_tracing)
        self._dest = dict[str, int]()
        """The destination of each message."""
        self._bin = 0
        """The bin of the present record."""

    def _start_tracing(self, policy: TracingPolicy) -> None:
        policy.start_tracing(TraceFilter(self._handle_trace, everything=True, include_blocked=False))
        self.data.concurrency_limit = policy.settings.concurrency_limit
        self._dest = {m.id: policy.destination_number(m.destination) for m in policy.messages.values()}
        self._dest |= {
            id_: policy.destination_number(c.endpoint.destination)
            for (id_, _), (c, _) in policy.calls.items()
        }

    def destination(self, number: int) -> DestinationSeries:
        """Return the series of a destination, a new one where it had none."""
        series = self.data.destinations.get(number)
        if series is None:
            series = new_series(number)
            self.data.destinations[number] = series
        return series

    def handle_step(self, step: Step) -> bool:
        """Handle one record; return whether the replay agrees with the capture so far."""
        record = step.record
        if record.clock:
            offset_ms = record.clock - self.data.clock_span[0]
            self._advance_to_bin(min(BINS - 1, int(offset_ms / self._bin_width_ms)))
        if record.kind == records.FILE_HEADER:
            self.data.sender = self.data.sender or record.payload.sender
        elif record.kind == records.MARK:
            self.data.marks.append((record.clock, record.mark_text()))
        elif record.kind == records.EVENT:
            self._handle_event(record.payload)
        divergence = self._player.apply_step(step)
        if divergence is not None:
            expected, actual = divergence
            self.data.divergence = f"record {step.record_number}: expected {expected}, got {actual}"
            return False
        if record.kind == records.DECISION:
            self._sample()
        return True

    def _advance_to_bin(self, bin_number: int) -> None:
        """Go on to another bin; states last until they change."""
        while self._bin < bin_number:
            self._bin += 1
            for series in self.data.destinations.values():
                self._note_state(series)

    def _note_state(self, series: DestinationSeries) -> None:
        """Keep the worst state of the bin."""
        series.health_state[self._bin] = max(series.health_state[self._bin], series.current_state)

    def _handle_event(self, event: Event) -> None:
        if isinstance(event, MessageArrived):
            self._dest[event.id] = event.dest
            self.destination(event.dest).counts["arrived"][self._bin] += 1
        elif isinstance(event, AttemptEnded) and event.id in self._dest:
            self._handle_outcome(event)

    def _handle_outcome(self, event: AttemptEnded) -> None:
        series = self.destination(self._dest[event.id])
        if event.outcome is Outcome.OK:
            series.latencies_ms[self._bin].append(event.duration_ms)
            if event.final:
                series.counts["delivered"][self._bin] += 1
                series.end_counts["delivered"] += 1
        else:
            series.counts["not ok"][self._bin] += 1
        if event.final:
            self._dest.pop(event.id)

    def _handle_trace(self, now: float, event: TraceEvent) -> None:
        if isinstance(event, AttemptChosen):
            self.destination(self._dest[event.id]).counts["sent"][self._bin] += 1
        elif isinstance(event, MessageGivenUp):
            series = self.destination(self._dest[event.id])
            end = "refused" if event.safe_to_retry else "failed"
            series.counts[end][self._bin] += 1
            series.end_counts[end] += 1
            series.reason_counts[event.reason] += 1
        elif isinstance(event, HealthChanged):
            self._handle_health(event)

    def _handle_health(self, event: HealthChanged) -> None:
        line = self.destination(event.dest)
        state = "draining" if event.state == "off the list" else event.state
        line.endpoint_states[event.endpoint] = HEALTH_STATES.index(state)
        policy = self._player.policy
        names = (
            policy.destinations[event.dest].endpoints if policy and event.dest in policy.destinations else ()
        )
        # One endpoint that is well serves them all; the worst within a bin stays.
        best = min((line.endpoint_states.get(name, 0) for name in names), default=0)
        line.current_state = line.endpoint_states.get("", 0) or best
        self._note_state(line)

    def _sample(self) -> None:
        policy = self._player.policy
        if policy is None:
            return
        for number, dest in policy.active_destinations.items():
            line = self.destination(number)
            line.queued[self._bin] = max(line.queued[self._bin], len(dest.queued))
            line.in_flight[self._bin] = max(line.in_flight[self._bin], dest.in_flight)
            if dest.limits is not None:
                line.send_rate[self._bin] = rate_limit.rate_and_tokens(dest.limits, policy.now)[0]


def collect(
    capture: CaptureFiles,
    since: str | None = None,
    until: str | None = None,
    on_step: Callable[[Step], None] | None = None,
) -> ReportData:
    """Replay a capture and return its figures; `since` and `until` are times as `parse_time` reads them.

    Raises:
        InvalidTimeError: A time has no known form.
    """
    first, last = capture.clock_span()
    span = (capture.parse_time(since) if since else first, capture.parse_time(until) if until else last)
    collector = _Collector(span)
    for step in capture.steps(capture.checkpoint_at(span[0]), span[1]):
        if on_step:
            on_step(step)
        if not collector.handle_step(step):
            break
    data = collector.data
    data.start_time = capture.wall_time(span[0])
    data.corruptions = capture.corruptions
    return data
