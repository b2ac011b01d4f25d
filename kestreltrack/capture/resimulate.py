"""A day out of a capture that is played anew, whole or in part, so that its answers are consistent again.

A capture's answers fit its input alone: without one message the module sends the others at other moments.  So the
input is taken apart into what does not hang on the module (arrivals, withdrawals, lists, the stop) and what answers
its sends: how long each attempt took and how it ended.  The module then runs on a clock of its own against that; an
attempt that the capture does not know ends as the last one of its endpoint did.
"""

from __future__ import annotations

import heapq
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field, replace
from pathlib import Path
from typing import Any

from kestreltrack.capture import blocks, records
from kestreltrack.capture.cursor import CaptureFiles
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

DECISION_INTERVAL_MS = 5.0  # between decisions, as the desk of the sender has it
DEFAULT_ATTEMPT_MS = 50.0  # of an attempt at an endpoint that never answered in the capture
CANCEL_DELAY_MS = 0.1  # until a cancelled attempt has ended
MAX_STEPS = 50_000_000  # a module that never comes to rest ends here


class ResimulationError(Exception):
    """The capture is not one that can be played anew."""


@dataclass(frozen=True, slots=True)
class CapturedOutcome:
    """How one attempt went."""

    duration_ms: float
    event: AttemptEnded


@dataclass(frozen=True, slots=True)
class CapturedInput:
    """A capture's input, apart from the module."""

    initial_state: PolicyState
    file_header: records.FileHeader
    external_events: tuple[tuple[float, Event], ...]
    attempt_outcomes: dict[tuple[str, int], CapturedOutcome]
    start_clock: float
    """That of the checkpoint: a module that was told nothing yet has none of its own."""
    end_clock: float

    def message_ids(self) -> list[str]:
        """The messages that arrive, in order."""
        return [event.id for _, event in self.external_events if isinstance(event, MessageArrived)]

    def destinations(self) -> list[int]:
        """The destinations that there are."""
        known = dict.fromkeys(d.number for d in self.initial_state.dests)
        for _, event in self.external_events:
            if isinstance(event, MessageArrived):
                known[event.dest] = None
            elif isinstance(event, EndpointsUpdated):
                known.update(dict.fromkeys(entry.dest for entry in event.entries))
        return list(known)


def extract_input(files: list[Path], since: str | None = None, until: str | None = None) -> CapturedInput:
    """Take a capture apart; it must be one without gaps, and the present module must do as captured."""
    tape, player = CaptureFiles(files), Replayer(Policy)
    outside = list[tuple[float, Event]]()
    answers, sent = dict[tuple[str, int], CapturedOutcome](), dict[tuple[str, int], float]()
    tries = dict[str, int]()
    began: records.FileHeader | None = None
    state: PolicyState | None = None
    last = clock = 0.0
    for step in tape.steps(
        tape.checkpoint_at(tape.parse_time(since)) if since else None,
        tape.parse_time(until) if until else None,
    ):
        record = step.record
        if record.kind == records.FILE_HEADER and began is None:
            began = record.payload
        if step.after_gap and state is not None:
            raise ResimulationError(
                f"{step.file}: a gap before record {step.record_number}: name the files behind it alone"
            )
        if record.kind == records.CHECKPOINT and state is None:
            state, clock = decode(record.payload), record.clock
            tries = {m.id: m.tries for m in state.messages}
            for call in state.calls:
                sent.update({(id_, attempt): call.sent for id_, attempt in call.parts.items()})
        if record.kind == records.EVENT:
            _sort_event(record.clock, record.payload, outside, answers, sent, tries)
        if player.apply_step(step) is not None:
            raise ResimulationError(
                f"{step.file}: record {step.record_number}: the present module does not do as captured"
            )
        if record.kind == records.DECISION:
            for action in player.last_actions:
                if isinstance(action, StartAttempt):
                    sent[action.id, tries.get(action.id, 0)] = record.clock
                    tries[action.id] = tries.get(action.id, 0) + 1
        last = record.clock or last
    if state is None:
        raise ResimulationError("it holds no checkpoint to begin with")
    head = began or records.FileHeader(records.FORMAT_VERSION, "", "", "", 0.0, True)
    return CapturedInput(state, head, tuple(outside), answers, clock, last)


def _sort_event(
    now: float,
    event: Event,
    outside: list[tuple[float, Event]],
    answers: dict[tuple[str, int], CapturedOutcome],
    sent: dict[tuple[str, int], float],
    tries: dict[str, int],
) -> None:
    if isinstance(event, AttemptEnded):
        at = sent.pop((event.id, event.attempt), None)
        if at is not None:
            answers[event.id, event.attempt] = CapturedOutcome(now - at, event)
    elif not isinstance(event, TimerExpired):
        if isinstance(event, MessageArrived):
            tries[event.id] = event.attempts
        outside.append((now, event))


# Playing -------------------------------------------------------------------------------------------


@dataclass(slots=True)
class Resimulation:
    """What came of it: all that the module was told and answered, in order."""

    settings: Settings
    initial_state: PolicyState
    file_header: records.FileHeader
    start_clock: float
    steps: list[tuple[float, Event | list[Action]]] = field(default_factory=list)

    def timed_actions(self) -> Iterator[tuple[float, Action]]:
        """Each action with its clock."""
        for now, what in self.steps:
            if isinstance(what, list):
                for action in what:
                    yield now, action

    def write_capture(self, file: Path) -> None:
        """As a capture of one file, which the module that played it replays identically."""
        began = self.file_header
        rows = [
            records.encode_file_header(began.sender, began.wall_ms, True, 0, began.hashed),
            records.encode_checkpoint(self.start_clock, encode(self.initial_state)),
        ]
        for now, what in self.steps:
            rows.append(
                records.encode_decision(now, what, True)
                if isinstance(what, list)
                else records.encode_event(now, what)
            )
        with file.open("wb") as out:
            out.write(blocks.MAGIC)
            for at in range(0, len(rows), 2000):
                clocks = [now for now, _ in self.steps[max(0, at - 2) : at + 1998]] or [self.start_clock]
                out.write(blocks.pack_block(rows[at : at + 2000], at, clocks[0], clocks[-1], at == 0))


class _Simulation:
    """The clock, and what is still to come."""

    def __init__(self, captured_input: CapturedInput, policy: Policy) -> None:
        self.captured_input, self.policy = captured_input, policy
        self.resimulation = Resimulation(
            policy.settings, take_snapshot(policy), captured_input.file_header, captured_input.start_clock
        )
        self._agenda = list[tuple[float, int, str, Any]]()
        self._sequence = 0
        self._attempts = {m.id: m.attempts for m in policy.messages.values()}
        self._in_flight = dict[tuple[str, int], tuple[float, str]]()
        self._final_ids = set[str]()
        self._last_outcome_of = dict[str, CapturedOutcome]()  # by endpoint
        for at, event in captured_input.external_events:
            self._schedule(at, "event", event)
        for (id_, attempt), (call, _) in policy.calls.items():
            self._start_attempt(call.started_at, id_, attempt, call.endpoint.name, 60_000.0)
        if policy.timer_is_set:
            self._schedule(captured_input.start_clock + DECISION_INTERVAL_MS, "event", TimerExpired(0))

    def _schedule(self, at: float, what: str, about: Any) -> None:
        self._sequence += 1
        heapq.heappush(self._agenda, (at, self._sequence, what, about))

    def run(self) -> Resimulation:
        """To the end of the day, and until nothing is owed any more."""
        policy, decided, due = self.policy, self.captured_input.start_clock, False
        end = self.captured_input.end_clock
        for _ in range(MAX_STEPS):
            if not self._agenda:
                break
            at, _, what, about = heapq.heappop(self._agenda)
            if at > end and not (policy.messages or self._in_flight):
                break
            now = max(at, policy.now, self.captured_input.start_clock)
            if what == "decide":
                due, decided = False, now
                actions = list(policy.decide(now))
                self.resimulation.steps.append((now, actions))
                for action in actions:
                    self._apply_action(now, action)
                continue
            event = self._end_attempt(now, *about) if what == "ended" else about
            if event is None or self._is_void(event):
                continue
            self.resimulation.steps.append((now, event))
            policy.handle(now, event)
            if not due:
                due = True
                self._schedule(max(now, decided + DECISION_INTERVAL_MS), "decide", None)
        return self.resimulation

    def _is_void(self, event: Event) -> bool:
        """A client takes back what is over already, or a message that was left out."""
        if isinstance(event, MessageArrived):
            self._attempts[event.id] = event.attempts
            self._final_ids.discard(event.id)
        elif isinstance(event, MessageWithdrawn):
            void = event.id not in self.policy.messages
            self._final_ids.add(event.id)
            return void
        return False

    def _apply_action(self, now: float, action: Action) -> None:
        if isinstance(action, StartAttempt):
            attempt = self._attempts.get(action.id, 0)
            self._attempts[action.id] = attempt + 1
            self._start_attempt(now, action.id, attempt, action.endpoint, action.timeout_ms)
        elif isinstance(action, CancelAttempt):
            if (action.id, action.attempt) in self._in_flight:
                self._schedule(
                    now + CANCEL_DELAY_MS, "ended", (action.id, action.attempt, Outcome.CANCELLED, None)
                )
        elif isinstance(action, RejectMessage | FailMessage):
            self._final_ids.add(action.id)
        elif isinstance(action, SetTimer):
            self._schedule(now + action.delay_ms, "event", TimerExpired(action.token))

    def _start_attempt(self, now: float, id_: str, attempt: int, endpoint: str, timeout_ms: float) -> None:
        self._in_flight[id_, attempt] = (now, endpoint)
        answer = self.captured_input.attempt_outcomes.get((id_, attempt)) or self._last_outcome_of.get(
            endpoint
        )
        if answer is None:
            answer = CapturedOutcome(
                DEFAULT_ATTEMPT_MS, AttemptEnded(id_, attempt, endpoint, Outcome.OK, DEFAULT_ATTEMPT_MS, True)
            )
        outcome = answer.event.outcome
        if answer.duration_ms > timeout_ms or outcome in (Outcome.CANCELLED, Outcome.TIMED_OUT):
            self._schedule(now + timeout_ms, "ended", (id_, attempt, Outcome.TIMED_OUT, None))
        else:
            self._last_outcome_of[endpoint] = answer
            self._schedule(now + answer.duration_ms, "ended", (id_, attempt, outcome, answer.event))

    def _end_attempt(
        self, now: float, id_: str, attempt: int, outcome: Outcome, like: AttemptEnded | None
    ) -> Event | None:
        """The end of an attempt; none where it has ended before."""
        found = self._in_flight.pop((id_, attempt), None)
        if found is None:
            return None
        sent, endpoint = found
        over = outcome is Outcome.OK or id_ in self._final_ids
        if over:
            self._final_ids.add(id_)
        plain = AttemptEnded(id_, attempt, endpoint, outcome, now - sent, over)
        if like is None:
            return plain
        return replace(
            plain,
            retry_after_ms=like.retry_after_ms,
            quota_left=like.quota_left,
            rate_limit=like.rate_limit,
            stale_connection=like.stale_connection,
        )


def resimulate(
    captured_input: CapturedInput, restore_policy: Callable[[PolicyState], Policy] = restore
) -> Resimulation:
    """Play a day with a module that begins in its state."""
    return _Simulation(captured_input, restore_policy(captured_input.initial_state)).run()
