"""Runs the decision module again, in virtual time, on the input of a capture or on a part of it.

The responses in a capture are consistent only with its complete input: if one message is left out, the decision
module sends the others at other times.  So the input is split into external events, which do not depend on decisions
(arrivals, withdrawals, endpoint lists, the shutdown), and the outcome and duration of each attempt.  An attempt that
the capture does not contain gets the outcome of the previous attempt at its endpoint.  All clock readings and
durations are milliseconds.
"""

from __future__ import annotations

import heapq
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field, replace
from pathlib import Path

from kestreltrack.capture import blocks, records
from kestreltrack.capture.cursor import CaptureFiles, Step
from kestreltrack.capture.errors import CaptureError
from kestreltrack.capture.replay import Replayer
from kestreltrack.decision import (
    Action,
    AttemptEnded,
    CancelAttempt,
    EndpointsUpdated,
    Event,
    FailMessage,
    MessageArrived,
    MessageWithdrawn,
    Outcome,
    Policy,
    RejectMessage,
    SetTimer,
    Settings,
    StartAttempt,
    TimerExpired,
)
from kestreltrack.snapshot.codec import restore, take_snapshot
from kestreltrack.snapshot.state import PolicyState, decode, encode

# The minimum time between decisions, the same as in the dispatcher of the sender.
DECISION_INTERVAL_MS = 5.0
# The duration of an attempt that the capture does not contain, at an endpoint without an earlier outcome.
DEFAULT_ATTEMPT_MS = 50.0
# The time from the cancellation of an attempt to its end.
CANCEL_DELAY_MS = 0.1
# The timeout of attempts that were in flight at the start: a checkpoint does not contain their timeouts.
RECOVERED_TIMEOUT_MS = 60_000.0
# Ends the simulation of a decision module that never becomes idle.
MAX_STEPS = 50_000_000
# The number of records in each block of a written capture.
RECORDS_PER_BLOCK = 2000


class ResimulationError(CaptureError):
    """The capture cannot be resimulated: it has a gap or no checkpoint, or the current decision module diverges."""


@dataclass(frozen=True, slots=True)
class CapturedOutcome:
    """The duration and the outcome of one attempt."""

    duration_ms: float
    event: AttemptEnded


@dataclass(frozen=True, slots=True)
class CapturedInput:
    """The input of a capture, without the decisions."""

    initial_state: PolicyState
    file_header: records.FileHeader
    external_events: tuple[tuple[float, Event], ...]
    attempt_outcomes: dict[tuple[str, int], CapturedOutcome]
    start_clock: float
    """The clock reading of the checkpoint; the one in the state is unset if no event had been handled before."""
    end_clock: float

    def message_ids(self) -> list[str]:
        """Return the ids of the messages that arrive, in order of arrival."""
        return [event.id for _, event in self.external_events if isinstance(event, MessageArrived)]

    def destinations(self) -> list[int]:
        """Return the numbers of the destinations in the initial state and in the events."""
        numbers = dict.fromkeys(d.number for d in self.initial_state.dests)
        for _, event in self.external_events:
            if isinstance(event, MessageArrived):
                numbers[event.dest] = None
            elif isinstance(event, EndpointsUpdated):
                numbers.update(dict.fromkeys(entry.dest for entry in event.entries))
        return list(numbers)


def extract_input(files: list[Path], since: str | None = None, until: str | None = None) -> CapturedInput:
    """Extract the input of a capture without gaps; the current decision module must repeat the captured decisions.

    Raises:
        ResimulationError: The capture has a gap or no checkpoint, or the decisions differ.
        InvalidTimeError: `since` or `until` has an unknown form.
    """
    capture = CaptureFiles(files)
    start = capture.checkpoint_at(capture.parse_time(since)) if since else None
    extraction = _Extraction()
    for step in capture.steps(start, capture.parse_time(until) if until else None):
        extraction.handle_step(step)
    return extraction.finish()


class _Extraction:
    """The state of one `extract_input`."""

    def __init__(self) -> None:
        self._replayer = Replayer(Policy)
        self._file_header: records.FileHeader | None = None
        self._state: PolicyState | None = None
        self._start_clock = 0.0
        self._last_clock = 0.0
        self._external_events = list[tuple[float, Event]]()
        self._outcomes = dict[tuple[str, int], CapturedOutcome]()
        self._sent_at = dict[tuple[str, int], float]()
        self._attempts = dict[str, int]()

    def handle_step(self, step: Step) -> None:
        """Apply one record, and compare the decision if it holds one."""
        record = step.record
        if record.kind == records.FILE_HEADER and self._file_header is None:
            self._file_header = record.payload
        if step.after_gap and self._state is not None:
            raise ResimulationError(
                f"{step.file}: a gap before record {step.record_number}: pass only the files after the gap"
            )
        if record.kind == records.CHECKPOINT and self._state is None:
            self._begin(record.clock, decode(record.payload))
        if record.kind == records.EVENT:
            self._handle_event(record.clock, record.payload)
        if self._replayer.apply_step(step) is not None:
            raise ResimulationError(
                f"{step.file}: record {step.record_number}: the running decision module differs from the captured one"
            )
        if record.kind == records.DECISION:
            self._handle_actions(record.clock)
        self._last_clock = record.clock or self._last_clock

    def _begin(self, clock: float, state: PolicyState) -> None:
        self._state = state
        self._start_clock = clock
        self._attempts = {m.id: m.tries for m in state.messages}
        for call in state.calls:
            self._sent_at.update(
                {(message_id, attempt): call.sent for message_id, attempt in call.parts.items()}
            )

    def _handle_event(self, now: float, event: Event) -> None:
        if isinstance(event, AttemptEnded):
            sent_at = self._sent_at.pop((event.id, event.attempt), None)
            if sent_at is not None:
                self._outcomes[event.id, event.attempt] = CapturedOutcome(now - sent_at, event)
            return
        if isinstance(event, TimerExpired):
            return
        if isinstance(event, MessageArrived):
            self._attempts[event.id] = event.attempts
        self._external_events.append((now, event))

    def _handle_actions(self, now: float) -> None:
        for action in self._replayer.last_actions:
            if isinstance(action, StartAttempt):
                attempt = self._attempts.get(action.id, 0)
                self._sent_at[action.id, attempt] = now
                self._attempts[action.id] = attempt + 1

    def finish(self) -> CapturedInput:
        """Return the extracted input.

        Raises:
            ResimulationError: The capture has no checkpoint.
        """
        if self._state is None:
            raise ResimulationError("the capture contains no checkpoint to start from")
        header = self._file_header
        if header is None:
            header = records.FileHeader(records.FORMAT_VERSION, "", "", "", 0.0, True)
        return CapturedInput(
            self._state,
            header,
            tuple(self._external_events),
            self._outcomes,
            self._start_clock,
            self._last_clock,
        )


# Simulation ----------------------------------------------------------------------------------------


@dataclass(slots=True)
class Resimulation:
    """The result of a simulation: all events and decisions, in order."""

    settings: Settings
    initial_state: PolicyState
    file_header: records.FileHeader
    start_clock: float
    steps: list[tuple[float, Event | list[Action]]] = field(default_factory=list)

    def timed_actions(self) -> Iterator[tuple[float, Action]]:
        """Yield each action with its clock reading."""
        for now, step in self.steps:
            if isinstance(step, list):
                for action in step:
                    yield now, action

    def write_capture(self, file: Path) -> None:
        """Write a capture of one file, which replays identically with the decision module of this simulation."""
        header = self.file_header
        encoded = [
            records.encode_file_header(header.sender, header.wall_ms, True, 0, header.hashed),
            records.encode_checkpoint(self.start_clock, encode(self.initial_state)),
        ]
        # The clock readings of a block are those of its steps; the file header and the checkpoint have none.
        clocks = [self.start_clock, self.start_clock]
        for now, step in self.steps:
            clocks.append(now)
            if isinstance(step, list):
                encoded.append(records.encode_decision(now, step, True))
            else:
                encoded.append(records.encode_event(now, step))
        with file.open("wb") as out:
            out.write(blocks.MAGIC)
            for first in range(0, len(encoded), RECORDS_PER_BLOCK):
                end = first + RECORDS_PER_BLOCK
                block_clocks = clocks[max(2, first) : end] or [self.start_clock]
                block = blocks.pack_block(
                    encoded[first:end], first, block_clocks[0], block_clocks[-1], first == 0
                )
                out.write(block)


@dataclass(frozen=True, slots=True)
class _DecisionDue:
    """A decision is due."""


@dataclass(frozen=True, slots=True)
class _AttemptDue:
    """The end of an attempt is due; `captured` is the captured outcome that it repeats, if any."""

    message_id: str
    attempt: int
    outcome: Outcome
    captured: AttemptEnded | None = None


_ScheduledItem = _DecisionDue | _AttemptDue | Event


class _Simulation:
    """A decision module in virtual time, with the queue of scheduled items."""

    def __init__(self, captured_input: CapturedInput, policy: Policy) -> None:
        self.captured_input = captured_input
        self.policy = policy
        self.resimulation = Resimulation(
            policy.settings, take_snapshot(policy), captured_input.file_header, captured_input.start_clock
        )
        self._schedule_queue = list[tuple[float, int, _ScheduledItem]]()
        self._sequence = 0
        self._decision_due = False
        self._decided_at = captured_input.start_clock
        self._attempts = {m.id: m.attempts for m in policy.messages.values()}
        self._in_flight = dict[tuple[str, int], tuple[float, str]]()
        """The start and the endpoint of each attempt in flight."""
        self._final_ids = set[str]()
        self._last_outcome_of = dict[str, CapturedOutcome]()
        """The captured outcome that was used last, by endpoint."""
        for at, event in captured_input.external_events:
            self._schedule(at, event)
        for (message_id, attempt), (call, _) in policy.calls.items():
            self._start_attempt(
                call.started_at, message_id, attempt, call.endpoint.name, RECOVERED_TIMEOUT_MS
            )
        if policy.timer_is_set:
            self._schedule(captured_input.start_clock + DECISION_INTERVAL_MS, TimerExpired(0))

    def _schedule(self, at: float, item: _ScheduledItem) -> None:
        # The sequence number keeps the order of items that are due at the same time.
        self._sequence += 1
        heapq.heappush(self._schedule_queue, (at, self._sequence, item))

    def run(self) -> Resimulation:
        """Run to the end of the input, and on until no message and no attempt is left."""
        end_clock = self.captured_input.end_clock
        for _ in range(MAX_STEPS):
            if not self._schedule_queue:
                break
            at, _, due = heapq.heappop(self._schedule_queue)
            if at > end_clock and not (self.policy.messages or self._in_flight):
                break
            now = max(at, self.policy.now, self.captured_input.start_clock)
            if isinstance(due, _DecisionDue):
                self._decide(now)
            elif isinstance(due, _AttemptDue):
                self._end_attempt(now, due)
            else:
                self._handle_external(now, due)
        return self.resimulation

    def _decide(self, now: float) -> None:
        self._decision_due = False
        self._decided_at = now
        actions = list(self.policy.decide(now))
        self.resimulation.steps.append((now, actions))
        for action in actions:
            self._apply_action(now, action)

    def _handle(self, now: float, event: Event) -> None:
        self.resimulation.steps.append((now, event))
        self.policy.handle(now, event)
        if not self._decision_due:
            self._decision_due = True
            self._schedule(max(now, self._decided_at + DECISION_INTERVAL_MS), _DecisionDue())

    def _handle_external(self, now: float, event: Event) -> None:
        """Handle an event of the input, except the withdrawal of a message that the decision module does not hold."""
        if isinstance(event, MessageArrived):
            self._attempts[event.id] = event.attempts
            self._final_ids.discard(event.id)
        elif isinstance(event, MessageWithdrawn):
            self._final_ids.add(event.id)
            if event.id not in self.policy.messages:
                return
        self._handle(now, event)

    def _apply_action(self, now: float, action: Action) -> None:
        if isinstance(action, StartAttempt):
            attempt = self._attempts.get(action.id, 0)
            self._attempts[action.id] = attempt + 1
            self._start_attempt(now, action.id, attempt, action.endpoint, action.timeout_ms)
        elif isinstance(action, CancelAttempt):
            if (action.id, action.attempt) in self._in_flight:
                cancelled = _AttemptDue(action.id, action.attempt, Outcome.CANCELLED)
                self._schedule(now + CANCEL_DELAY_MS, cancelled)
        elif isinstance(action, RejectMessage | FailMessage):
            self._final_ids.add(action.id)
        elif isinstance(action, SetTimer):
            self._schedule(now + action.delay_ms, TimerExpired(action.token))

    def _start_attempt(
        self, now: float, message_id: str, attempt: int, endpoint: str, timeout_ms: float
    ) -> None:
        self._in_flight[message_id, attempt] = (now, endpoint)
        captured = self._captured_outcome(message_id, attempt, endpoint)
        outcome = captured.event.outcome
        if captured.duration_ms > timeout_ms or outcome in (Outcome.CANCELLED, Outcome.TIMED_OUT):
            self._schedule(now + timeout_ms, _AttemptDue(message_id, attempt, Outcome.TIMED_OUT))
        else:
            self._last_outcome_of[endpoint] = captured
            due = _AttemptDue(message_id, attempt, outcome, captured.event)
            self._schedule(now + captured.duration_ms, due)

    def _captured_outcome(self, message_id: str, attempt: int, endpoint: str) -> CapturedOutcome:
        """Return the captured outcome, else the last one of the endpoint, else a success."""
        captured = self.captured_input.attempt_outcomes.get((message_id, attempt))
        if captured is None:
            captured = self._last_outcome_of.get(endpoint)
        if captured is None:
            event = AttemptEnded(message_id, attempt, endpoint, Outcome.OK, DEFAULT_ATTEMPT_MS, True)
            captured = CapturedOutcome(DEFAULT_ATTEMPT_MS, event)
        return captured

    def _end_attempt(self, now: float, due: _AttemptDue) -> None:
        """Handle the end of an attempt, unless it has already ended."""
        in_flight = self._in_flight.pop((due.message_id, due.attempt), None)
        if in_flight is None:
            return
        sent_at, endpoint = in_flight
        final = due.outcome is Outcome.OK or due.message_id in self._final_ids
        if final:
            self._final_ids.add(due.message_id)
        event = AttemptEnded(due.message_id, due.attempt, endpoint, due.outcome, now - sent_at, final)
        if due.captured is not None:
            event = replace(
                event,
                retry_after_ms=due.captured.retry_after_ms,
                quota_left=due.captured.quota_left,
                rate_limit=due.captured.rate_limit,
                stale_connection=due.captured.stale_connection,
            )
        self._handle(now, event)


def resimulate(
    captured_input: CapturedInput, restore_policy: Callable[[PolicyState], Policy] = restore
) -> Resimulation:
    """Simulate an input with a decision module that starts in its initial state."""
    return _Simulation(captured_input, restore_policy(captured_input.initial_state)).run()
