"""The figures of a report: time series for each destination of a capture, in bins of equal length.

They are collected during a replay with a decision module that emits trace events (`explain/tracing.py`).
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

# About four pixels per bin in the charts.
BINS = 240
# From best to worst: series contain the index.
HEALTH_STATES = ("well", "slow start", "told wait", "draining", "open")
# Weight of an undelivered message in the severity of a destination; a failed attempt has the weight 1.
UNDELIVERED_SEVERITY = 5.0
SERIES_NAMES = ("arrived", "sent", "delivered", "not ok", "refused", "failed")


@dataclass(slots=True)
class DestinationSeries:
    """The time series of one destination, with one value per bin."""

    number: int
    queued: FloatArray
    """The maximum of queued messages."""
    in_flight: FloatArray
    """The maximum of calls in flight."""
    send_rate: FloatArray
    """The send rate in even shares of the limit, as `rate_and_tokens` returns it; NaN if unknown."""
    health_state: IntArray
    """The worst state, as an index into `HEALTH_STATES`."""
    counts: dict[str, FloatArray]
    """By name, as in `SERIES_NAMES`."""
    latencies_ms: dict[int, list[float]] = field(default_factory=lambda: defaultdict(list))
    """The durations of successful attempts, by bin."""
    end_counts: Counter[str] = field(default_factory=Counter)
    reason_counts: Counter[str] = field(default_factory=Counter)
    current_state: int = 0
    endpoint_states: dict[str, int] = field(default_factory=dict)
    """By endpoint name; the empty name stands for the whole destination."""

    def latency_quantile(self, quantile: float) -> FloatArray:
        """Return a quantile of the latency in ms for each bin, NaN for a bin without a successful attempt."""
        return np.array(
            [
                np.quantile(self.latencies_ms[n], quantile) if n in self.latencies_ms else np.nan
                for n in range(BINS)
            ]
        )

    def severity(self) -> float:
        """Return a score from undelivered messages, failed attempts and bins in another state than well."""
        undelivered = sum(count for end, count in self.end_counts.items() if end != "delivered")
        not_ok = float(self.counts["not ok"].sum())
        bins_not_well = float((self.health_state > 0).sum())
        return UNDELIVERED_SEVERITY * undelivered + not_ok + bins_not_well


def new_series(number: int) -> DestinationSeries:
    """Return an empty series for a destination."""
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
    """All data of a report."""

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
        """Return the midpoint of each bin, in seconds since the start."""
        width_s = (self.clock_span[1] - self.clock_span[0]) / BINS / 1000.0
        return (np.arange(BINS, dtype=np.float64) + 0.5) * width_s

    def bin_width_s(self) -> float:
        """Return the length of a bin in seconds; never zero, so that it can be a divisor."""
        return max(1e-9, (self.clock_span[1] - self.clock_span[0]) / BINS / 1000.0)

    def total_rate_per_s(self, series: str) -> FloatArray:
        """Return the sum of one series over all destinations, per second."""
        return (
            sum((each.counts[series] for each in self.destinations.values()), np.zeros(BINS))
            / self.bin_width_s()
        )


class _Collector:
    """Collects the data of a report during a replay."""

    def __init__(self, span: tuple[float, float]) -> None:
        self.data = ReportData(clock_span=span)
        self._bin_width_ms = max(1e-6, (span[1] - span[0]) / BINS)
        self._replayer = Replayer(TracingPolicy, self._start_tracing)
        self._dest = dict[str, int]()
        """The destination number by message id."""
        self._bin = 0
        """The bin of the current record."""

    def _start_tracing(self, policy: TracingPolicy) -> None:
        policy.start_tracing(TraceFilter(self._handle_trace, everything=True, include_blocked=False))
        self.data.concurrency_limit = policy.settings.concurrency_limit
        self._dest = {m.id: policy.destination_number(m.destination) for m in policy.messages.values()}
        self._dest |= {
            id_: policy.destination_number(c.endpoint.destination)
            for (id_, _), (c, _) in policy.calls.items()
        }

    def destination(self, number: int) -> DestinationSeries:
        """Return the series of a destination, creating it if needed."""
        series = self.data.destinations.get(number)
        if series is None:
            series = new_series(number)
            self.data.destinations[number] = series
        return series

    def handle_step(self, step: Step) -> bool:
        """Handle one record; return whether the replay has not diverged from the capture."""
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
        divergence = self._replayer.apply_step(step)
        if divergence is not None:
            expected, actual = divergence
            self.data.divergence = f"record {step.record_number}: expected {expected}, got {actual}"
            return False
        if record.kind == records.DECISION:
            self._sample()
        return True

    def _advance_to_bin(self, bin_number: int) -> None:
        """Advance to a later bin; the bins up to it take the current health states."""
        while self._bin < bin_number:
            self._bin += 1
            for series in self.data.destinations.values():
                self._record_state(series)

    def _record_state(self, series: DestinationSeries) -> None:
        """Update the worst state of the current bin."""
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
        series = self.destination(event.dest)
        state = "draining" if event.state == "off the list" else event.state
        series.endpoint_states[event.endpoint] = HEALTH_STATES.index(state)
        policy = self._replayer.policy
        names = (
            policy.destinations[event.dest].endpoints if policy and event.dest in policy.destinations else ()
        )
        # A destination is as healthy as its best endpoint, because any endpoint can serve its messages.
        best = min((series.endpoint_states.get(name, 0) for name in names), default=0)
        series.current_state = series.endpoint_states.get("", 0) or best
        self._record_state(series)

    def _sample(self) -> None:
        policy = self._replayer.policy
        if policy is None:
            return
        for number, dest in policy.active_destinations.items():
            series = self.destination(number)
            series.queued[self._bin] = max(series.queued[self._bin], len(dest.queued))
            series.in_flight[self._bin] = max(series.in_flight[self._bin], dest.in_flight)
            if dest.limits is not None:
                series.send_rate[self._bin] = rate_limit.rate_and_tokens(dest.limits, policy.now)[0]


def collect(
    capture: CaptureFiles,
    since: str | None = None,
    until: str | None = None,
    on_step: Callable[[Step], None] | None = None,
) -> ReportData:
    """Replay a capture and return its figures; `since` and `until` are in the formats of `parse_time`.

    Raises:
        InvalidTimeError: A time has no known format.
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
