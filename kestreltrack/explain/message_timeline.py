"""The timeline of one message in a capture: when and why it was blocked, its attempts and its final answer.

The first block that contains the message is found by a search for the id in the decompressed bytes of each block.  No
record is decoded for this, so that the search takes well under a second for an hour of full load (see
`docs/capture.md`).  The replay starts at the last checkpoint before that block, and traces this message only.  All
clock readings and durations are in milliseconds.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field
from typing import Any

from kestreltrack.capture import records
from kestreltrack.capture.cursor import BlockPosition, CaptureFiles, Step
from kestreltrack.capture.records import Record, encode_msgpack
from kestreltrack.capture.replay import Replayer
from kestreltrack.decision import (
    AttemptEnded,
    EndpointsUpdated,
    Event,
    HealthReported,
    MessageArrived,
    MessageWithdrawn,
    Outcome,
    QuotaLeased,
    RetryAfterReceived,
    ShutdownStarted,
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
class TimelineRow:
    """One row of a timeline; `until` is the end of a row that covers a period."""

    clock: float
    what: str
    text: str
    until: float | None = None


@dataclass(slots=True)
class MessageTimeline:
    """The timeline of one message, from its arrival (or from the start of the capture) to its final answer."""

    id: str
    dest: int
    cls: str
    arrived: float
    expires: float
    latency_objective_at: float
    key: int | None = None
    attempts_before: int = 0
    queued_before: bool = False
    rows: list[TimelineRow] = field(default_factory=list)
    waited_ms: Counter[str] = field(default_factory=Counter)
    """The time for which the message was blocked, by rule."""
    attempts: int = 0
    end: str = ""
    ended: float | None = None
    divergence: str = ""
    """Why the timeline stops early: the replay diverged from the capture, or the capture has a gap."""


def blocks_containing(capture: CaptureFiles, id_: str) -> list[BlockPosition]:
    """Return the blocks that contain the id of a message."""
    encoded_id = encode_msgpack(id_)
    return [
        BlockPosition(file, block)
        for file, reader in enumerate(capture.readers)
        for block, _, raw in reader.raw_blocks()
        if encoded_id in raw
    ]


def build_timelines(capture: CaptureFiles, id_: str) -> list[MessageTimeline]:
    """Return one timeline per arrival of a message with this id, as clients may reuse ids."""
    timelines = list[MessageTimeline]()
    positions = blocks_containing(capture, id_)
    while positions:
        builder = TimelineBuilder(id_)
        last = positions[0]
        for step in capture.steps(capture.checkpoint_before(positions[0])):
            last = step.position
            if builder.handle_step(step):
                break
        builder.close()
        timelines += builder.timelines
        # Blocks after the end of this timeline that contain the id belong to a later message with the same id.
        positions = [
            position for position in positions if (position.file, position.block) > (last.file, last.block)
        ]
    return timelines


class TimelineBuilder:
    """Builds the timelines of one message during a replay."""

    def __init__(self, id_: str) -> None:
        """Create a builder for the message `id_`; it has seen no record yet."""
        self.id = id_
        self.timelines = list[MessageTimeline]()
        self._timeline: MessageTimeline | None = None
        self._attempts_in_flight: dict[int, tuple[float, str]] = {}
        """The start and the endpoint of each attempt in flight, by attempt number."""
        self._blocked_row: TimelineRow | None = None
        self._blocking_rule = ""
        self._replayer = Replayer(TracingPolicy, self._start_tracing)
        self._clock = 0.0

    def _start_tracing(self, policy: TracingPolicy) -> None:
        policy.start_tracing(TraceFilter(self._handle_trace, message_ids={self.id}))
        message = policy.messages.get(self.id)
        if message is not None and self._timeline is None:
            number, cls = policy.destination_number(message.destination), message.class_settings
            name = next(n for n, c in policy.settings.classes.items() if c is cls)
            self._begin(
                MessageTimeline(
                    self.id,
                    number,
                    name,
                    policy.now,
                    message.expires,
                    message.latency_objective_at,
                    attempts_before=message.attempts,
                    queued_before=True,
                )
            )
            for (message_id, attempt), (call, _) in policy.calls.items():
                if message_id == self.id:
                    self._attempts_in_flight[attempt] = (call.started_at, call.endpoint.name)

    def _begin(self, timeline: MessageTimeline) -> None:
        self._timeline = timeline
        self.timelines.append(timeline)

    def _add_row(self, timeline: MessageTimeline, now: float, what: str, text: str) -> None:
        timeline.rows.append(TimelineRow(now, what, text))

    def handle_step(self, step: Step) -> bool:
        """Handle one record; return whether the timeline is complete."""
        record = step.record
        self._clock = record.clock or self._clock
        if step.after_gap and self._timeline is not None:
            self._timeline.divergence = self._timeline.divergence or "the capture has a gap here"
            return True
        self._handle_record(record)
        divergence = self._replayer.apply_step(step)
        timeline = self._timeline
        if timeline is None:
            return False
        if divergence is not None:
            expected, actual = divergence
            timeline.divergence = (
                f"the present decision module diverges from the capture: expected {expected}, got {actual}"
            )
            return True
        return bool(timeline.end) and not self._attempts_in_flight and record.kind == records.DECISION

    def _handle_record(self, record: Record) -> None:
        """Add the rows that follow from the record alone, before the replay applies it."""
        if record.kind == records.EVENT:
            self._handle_event(record.clock, record.payload)
        elif self._timeline is None:
            return
        elif record.kind == records.MARK:
            self._add_row(self._timeline, record.clock, "beside", record.mark_text())
        elif record.kind == records.PERMISSION and not record.payload:
            dest, endpoint = record.context
            endpoints = {name for _, name in self._attempts_in_flight.values()}
            if dest == self._timeline.dest and endpoint in endpoints:
                text = f"{endpoint}: not sent, because a retry-after or a drain arrived after the decision"
                self._add_row(self._timeline, record.clock, "held back", text)

    # Events ------------------------------------------------------------------------------------------

    def _handle_event(self, now: float, event: Event) -> None:
        timeline = self._timeline
        if isinstance(event, MessageArrived) and event.id == self.id:
            if timeline is None or timeline.end:
                self._handle_arrival(now, event)
        elif timeline is None:
            return
        elif isinstance(event, AttemptEnded):
            if event.id == self.id and event.attempt in self._attempts_in_flight:
                self._handle_outcome(timeline, now, event)
        elif isinstance(event, MessageWithdrawn):
            if event.id == self.id:
                timeline.end = timeline.end or "withdrawn by its client"
                timeline.ended = timeline.ended or now
        elif isinstance(event, EndpointsUpdated):
            self._handle_endpoints(timeline, now, event)
        else:
            self._handle_external_event(timeline, now, event)

    def _handle_arrival(self, now: float, event: MessageArrived) -> None:
        policy = self._replayer.policy
        if policy is None:
            return
        class_settings = policy.settings.classes[event.cls]
        latency_objective_at = (
            event.expires - class_settings.deadline_ms + class_settings.latency_objective_ms
        )
        self._begin(
            MessageTimeline(
                self.id,
                event.dest,
                event.cls,
                now,
                event.expires,
                latency_objective_at,
                event.key,
                event.attempts,
            )
        )

    def _handle_endpoints(self, timeline: MessageTimeline, now: float, event: EndpointsUpdated) -> None:
        if event.complete:
            return
        for entry in event.entries:
            if entry.dest == timeline.dest:
                self._add_row(timeline, now, "list", f"{entry.endpoint} is {entry.lifecycle.value}")

    def _handle_external_event(self, timeline: MessageTimeline, now: float, event: Event) -> None:
        """Add what other senders report about the message's destination, and a shutdown of this sender."""
        if isinstance(event, RetryAfterReceived) and event.dest == timeline.dest:
            text = f"another process or sender received a retry-after of {event.until - now:.0f} ms"
        elif isinstance(event, QuotaLeased) and event.dest == timeline.dest:
            text = f"this sender holds a lease for {event.share:.0%} of the destination's cold budget"
        elif isinstance(event, HealthReported) and event.dest == timeline.dest:
            health = f"up for {now - event.since:.0f} ms" if event.up else "down"
            text = f"the fleet reports the destination as {health}"
        elif isinstance(event, ShutdownStarted):
            text = f"the sender shuts down within {event.deadline - now:.0f} ms"
        else:
            return
        self._add_row(timeline, now, "beside", text)

    def _handle_outcome(self, timeline: MessageTimeline, now: float, event: AttemptEnded) -> None:
        sent_at, _ = self._attempts_in_flight.pop(event.attempt)
        details = [f"{event.endpoint}: {event.outcome.value} after {event.duration_ms:.0f} ms"]
        if event.retry_after_ms:
            details.append(f"retry after {event.retry_after_ms:.0f} ms")
        if event.stale_connection:
            details.append("the reused connection may have been closed before the request")
        if event.quota_left is not None:
            details.append(f"{event.quota_left:.0%} of the limit left")
        if event.outcome.may_have_executed() and event.outcome is not Outcome.OK:
            details.append("may have been executed")
        timeline.rows.append(TimelineRow(sent_at, f"attempt {event.attempt}", ", ".join(details), now))
        if event.final and not timeline.end:
            timeline.end = "delivered" if event.outcome is Outcome.OK else f"ended as {event.outcome.value}"
            timeline.ended = now

    # Traces ------------------------------------------------------------------------------------------

    def _handle_trace(self, now: float, event: TraceEvent) -> None:
        timeline = self._timeline
        if timeline is None or isinstance(event, HealthChanged) or event.id != self.id:
            return
        if isinstance(event, MessageBlocked):
            self._handle_blocked(timeline, now, event)
            return
        self._close_blocked_row(now)
        if isinstance(event, AttemptChosen):
            self._handle_attempt(timeline, now, event)
        elif isinstance(event, AttemptCancelled):
            slots = ", all slots in use" if event.slots_exhausted else ""
            text = f"no answer for {event.overdue_factor:.1f} times the overdue time{slots}"
            self._add_row(timeline, now, "called off", text)
        elif isinstance(event, MessageGivenUp):
            end = "refused: safe to retry" if event.safe_to_retry else "failed: not safe to retry"
            timeline.end = f"{end} ({event.reason})"
            timeline.ended = now

    def _handle_attempt(self, timeline: MessageTimeline, now: float, event: AttemptChosen) -> None:
        timeline.attempts += 1
        self._attempts_in_flight[event.attempt] = (now, event.endpoint)
        text = f"to {event.endpoint}, expected {event.cost_ms:.0f} ms"
        if event.alternatives:
            by_cost = sorted(event.alternatives, key=lambda alternative: alternative[1])
            text += ", others: " + "; ".join(f"{name} {cost_ms:.0f} ms" for name, cost_ms in by_cost)
        if event.trial:
            text += ", as a trial"
        self._add_row(timeline, now, f"sent {event.attempt}", text)

    def _handle_blocked(self, timeline: MessageTimeline, now: float, event: MessageBlocked) -> None:
        """Extend the current row if the same rule still blocks the message, else start a new one."""
        if self._blocked_row is not None and self._blocking_rule == event.rule:
            self._extend_blocked_row(timeline, self._blocked_row, now)
            return
        self._close_blocked_row(now)
        self._blocking_rule = event.rule
        self._blocked_row = TimelineRow(now, "passed over", f"{event.rule}: {event.detail}", now)
        timeline.rows.append(self._blocked_row)

    def _extend_blocked_row(self, timeline: MessageTimeline, row: TimelineRow, now: float) -> None:
        # The type stubs allow only int counts; at run time floats work as well.
        timeline.waited_ms[self._blocking_rule] += now - (row.until or now)  # type: ignore[assignment]
        row.until = now

    def _close_blocked_row(self, now: float) -> None:
        if self._blocked_row is not None and self._timeline is not None:
            self._extend_blocked_row(self._timeline, self._blocked_row, now)
        self._blocked_row = None

    def close(self) -> None:
        """Complete the timeline at the last record, with a row for each attempt still in flight."""
        self._close_blocked_row(self._clock)
        if self._timeline is None:
            return
        for attempt, (sent_at, endpoint) in self._attempts_in_flight.items():
            self._add_row(self._timeline, sent_at, f"attempt {attempt}", f"{endpoint}: still in flight")
        self._timeline.rows.sort(key=lambda row: row.clock)


def to_json(capture: CaptureFiles, timeline: MessageTimeline) -> dict[str, Any]:
    """Return the timeline as a JSON document, with times in ms since the arrival."""
    arrived = timeline.arrived
    return {
        "id": timeline.id,
        "dest": timeline.dest,
        "class": timeline.cls,
        "key": timeline.key,
        "arrived": capture.wall_time(arrived).isoformat(),
        "expires_ms": timeline.expires - arrived,
        "aim_ms": timeline.latency_objective_at - arrived,
        "held_before": timeline.queued_before,
        "tries_before": timeline.attempts_before,
        "attempts": timeline.attempts,
        "end": timeline.end or None,
        "ended_ms": None if timeline.ended is None else timeline.ended - arrived,
        "waited_ms": {rule: round(ms, 3) for rule, ms in timeline.waited_ms.items()},
        "parted": timeline.divergence or None,
        "rows": [
            {
                "at_ms": row.clock - arrived,
                "until_ms": None if row.until is None else row.until - arrived,
                "what": row.what,
                "text": row.text,
            }
            for row in timeline.rows
        ],
    }
