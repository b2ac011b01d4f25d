"""The life of one message out of a capture: each time it was passed over and why, each attempt, its end.

The block where the message is first named is found by its id in the blocks' raw bytes: each is decompressed but no
record is decoded, which for an hour of full load takes well under a second (`docs/capture.md` has the figures).  A
replay begins at the last checkpoint before it, with a module that watches this one message.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field
from typing import Any

from kestreltrack.capture import records
from kestreltrack.capture.cursor import BlockPosition, CaptureFiles, Step
from kestreltrack.capture.records import encode_msgpack
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
    MessageBlocked,
    MessageGivenUp,
    TraceEvent,
    TraceFilter,
    TracingPolicy,
)


@dataclass(slots=True)
class TimelineRow:
    """One line of the sheet; `until` where it lasted."""

    clock: float
    what: str
    text: str
    until: float | None = None


@dataclass(slots=True)
class MessageTimeline:
    """What there is to say of one message, from its arrival (or from where the capture begins) to its end."""

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
    """Milliseconds by rule."""
    attempts: int = 0
    end: str = ""
    ended: float | None = None
    divergence: str = ""
    """Where the present module did otherwise than the capture says; the life ends there."""


def blocks_naming(capture: CaptureFiles, id_: str) -> list[BlockPosition]:
    """The blocks that name a message."""
    needle = encode_msgpack(id_)
    return [
        BlockPosition(n, block)
        for n, reader in enumerate(capture.readers)
        for block, _, raw in reader.raw_blocks()
        if needle in raw
    ]


def build_timelines(capture: CaptureFiles, id_: str) -> list[MessageTimeline]:
    """Each time that a message of this id was held: a client may come again with it."""
    found, named = list[MessageTimeline](), blocks_naming(capture, id_)
    while named:
        teller = TimelineBuilder(id_)
        last = named[0]
        for step in capture.steps(capture.checkpoint_before(named[0])):
            last = step.position
            if teller.handle_step(step):
                break
        teller.close()
        found += teller.timelines
        # What is named again behind the end of this life is another one.
        named = [p for p in named if (p.file, p.block) > (last.file, last.block)]
    return found


class TimelineBuilder:
    """Listens to a replay for one message."""

    def __init__(self, id_: str) -> None:
        """Nothing is known of it yet."""
        self.id, self.timelines = id_, list[MessageTimeline]()
        self._timeline: MessageTimeline | None = None
        self._attempts_in_flight: dict[int, tuple[float, str]] = {}
        self._blocked_row: TimelineRow | None = None
        self._blocking_rule = ""
        self._player = Replayer(TracingPolicy, self._start_tracing)
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
            for (out, attempt), (call, _) in policy.calls.items():
                if out == self.id:
                    self._attempts_in_flight[attempt] = (call.started_at, call.endpoint.name)

    def _begin(self, timeline: MessageTimeline) -> None:
        self._timeline = timeline
        self.timelines.append(timeline)

    def handle_step(self, step: Step) -> bool:
        """One record; whether the life is over."""
        self._clock = step.record.clock or self._clock
        if step.after_gap and self._timeline is not None:
            self._timeline.divergence = self._timeline.divergence or "the capture has a gap here"
            return True
        life, record = self._timeline, step.record
        if record.kind == records.EVENT:
            self._event(record.clock, record.payload)
        elif record.kind == records.MARK and life is not None:
            life.rows.append(TimelineRow(record.clock, "beside", record.mark_text()))
        elif record.kind == records.PERMISSION and life is not None and not record.payload:
            dest, endpoint = record.context
            if dest == life.dest and endpoint in {name for _, name in self._attempts_in_flight.values()}:
                text = f"{endpoint}: no first byte any more, a wait or a drain came meanwhile"
                life.rows.append(TimelineRow(record.clock, "held back", text))
        differ = self._player.apply_step(step)
        if differ is not None:
            if self._timeline is not None:
                expected, got = differ
                self._timeline.divergence = (
                    f"the present module parts from the capture: expected {expected}, got {got}"
                )
            return self._timeline is not None
        life = self._timeline
        return (
            life is not None
            and bool(life.end)
            and not self._attempts_in_flight
            and record.kind == records.DECISION
        )

    def _event(self, now: float, event: Event) -> None:
        life = self._timeline
        if isinstance(event, MessageArrived) and event.id == self.id:
            if life is not None and not life.end:
                return
            policy = self._player.policy
            if policy is None:
                return
            cls = policy.settings.classes[event.cls]
            due = event.expires - cls.deadline_ms + cls.latency_objective_ms
            self._begin(
                MessageTimeline(
                    self.id, event.dest, event.cls, now, event.expires, due, event.key, event.attempts
                )
            )
            return
        if life is None:
            return
        if (
            isinstance(event, AttemptEnded)
            and event.id == self.id
            and event.attempt in self._attempts_in_flight
        ):
            self._ended(life, now, event)
        elif isinstance(event, MessageWithdrawn) and event.id == self.id:
            life.end, life.ended = life.end or "withdrawn by its client", life.ended or now
        elif isinstance(event, EndpointsUpdated):
            for entry in event.entries if not event.complete else ():
                if entry.dest == life.dest:
                    life.rows.append(TimelineRow(now, "list", f"{entry.endpoint} is {entry.lifecycle.value}"))
        elif isinstance(event, RetryAfterReceived) and event.dest == life.dest:
            life.rows.append(
                TimelineRow(now, "beside", f"another caller was told to wait {event.until - now:.0f} ms")
            )
        elif isinstance(event, QuotaLeased) and event.dest == life.dest:
            life.rows.append(
                TimelineRow(now, "beside", f"the fleet lends {event.share:.0%} of what its destination bears")
            )
        elif isinstance(event, HealthReported) and event.dest == life.dest:
            says = f"up for {now - event.since:.0f} ms" if event.up else "out"
            life.rows.append(TimelineRow(now, "beside", f"the fleet holds its destination to be {says}"))
        elif isinstance(event, ShutdownStarted):
            life.rows.append(
                TimelineRow(
                    now, "beside", f"the sender stops, in {event.deadline - now:.0f} ms at the latest"
                )
            )

    def _ended(self, timeline: MessageTimeline, now: float, event: AttemptEnded) -> None:
        sent, _ = self._attempts_in_flight.pop(event.attempt)
        more = [f"told to wait {event.retry_after_ms:.0f} ms"] if event.retry_after_ms else []
        more += (
            ["the connection was kept from before and may have ended on its own"]
            if event.stale_connection
            else []
        )
        more += [f"{event.quota_left:.0%} of the limit left"] if event.quota_left is not None else []
        if event.outcome.may_have_executed() and event.outcome is not Outcome.OK:
            more.append("may have run")
        how = f"{event.endpoint}: {event.outcome.value} after {event.duration_ms:.0f} ms"
        text = ", ".join([how, *more])
        timeline.rows.append(TimelineRow(sent, f"attempt {event.attempt}", text, now))
        if event.final and not timeline.end:
            timeline.end = "delivered" if event.outcome is Outcome.OK else f"over with {event.outcome.value}"
            timeline.ended = now

    def _handle_trace(self, now: float, event: TraceEvent) -> None:
        life = self._timeline
        if life is None or getattr(event, "id", self.id) != self.id:
            return
        if isinstance(event, MessageBlocked):
            self._add_blocked(life, now, event)
            return
        self._close_blocked_row(now)
        if isinstance(event, AttemptChosen):
            life.attempts += 1
            self._attempts_in_flight[event.attempt] = (now, event.endpoint)
            others = "; ".join(
                f"{name} {cost:.0f} ms" for name, cost in sorted(event.alternatives, key=lambda o: o[1])
            )
            text = f"to {event.endpoint}, expected {event.cost_ms:.0f} ms" + (
                f", others: {others}" if others else ""
            )
            life.rows.append(
                TimelineRow(now, f"sent {event.attempt}", text + (", as a trial" if event.trial else ""))
            )
        elif isinstance(event, AttemptCancelled):
            full = ", all slots taken" if event.slots_exhausted else ""
            text = f"silent for {event.overdue_factor:.1f} times what counts as overdue{full}"
            life.rows.append(TimelineRow(now, "called off", text))
        elif isinstance(event, MessageGivenUp):
            life.end = (
                "refused: trying again is harmless" if event.safe_to_retry else "failed, with no promise"
            )
            life.end, life.ended = f"{life.end} ({event.reason})", now

    def _add_blocked(self, timeline: MessageTimeline, now: float, event: MessageBlocked) -> None:
        if self._blocked_row is not None and self._blocking_rule == event.rule:
            timeline.waited_ms[self._blocking_rule] += now - (self._blocked_row.until or now)  # type: ignore[assignment]
            self._blocked_row.until = now
            return
        self._close_blocked_row(now)
        self._blocked_row, self._blocking_rule = (
            TimelineRow(now, "passed over", f"{event.rule}: {event.detail}", now),
            event.rule,
        )
        timeline.rows.append(self._blocked_row)

    def _close_blocked_row(self, now: float) -> None:
        if self._blocked_row is not None and self._timeline is not None:
            self._timeline.waited_ms[self._blocking_rule] += now - (self._blocked_row.until or now)  # type: ignore[assignment]
            self._blocked_row.until = now
        self._blocked_row = None

    def close(self) -> None:
        """The walk is over: what is open stays so."""
        self._close_blocked_row(self._clock)
        if self._timeline is not None:
            for attempt, (sent, endpoint) in self._attempts_in_flight.items():
                self._timeline.rows.append(
                    TimelineRow(sent, f"attempt {attempt}", f"{endpoint}: still out", None)
                )
            self._timeline.rows.sort(key=lambda row: row.clock)


def to_json(capture: CaptureFiles, timeline: MessageTimeline) -> dict[str, Any]:
    """For programs: times in ms since its arrival, and of the day."""
    zero = timeline.arrived
    return {
        "id": timeline.id,
        "dest": timeline.dest,
        "class": timeline.cls,
        "key": timeline.key,
        "arrived": capture.wall_time(zero).isoformat(),
        "expires_ms": timeline.expires - zero,
        "aim_ms": timeline.latency_objective_at - zero,
        "held_before": timeline.queued_before,
        "tries_before": timeline.attempts_before,
        "attempts": timeline.attempts,
        "end": timeline.end or None,
        "ended_ms": None if timeline.ended is None else timeline.ended - zero,
        "waited_ms": {rule: round(ms, 3) for rule, ms in timeline.waited_ms.items()},
        "parted": timeline.divergence or None,
        "rows": [
            {
                "at_ms": row.clock - zero,
                "until_ms": None if row.until is None else row.until - zero,
                "what": row.what,
                "text": row.text,
            }
            for row in timeline.rows
        ],
    }
