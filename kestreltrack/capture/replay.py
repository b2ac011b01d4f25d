"""Replays a capture with the current decision module and compares each answer with the captured one."""

from __future__ import annotations

import time
from collections import Counter
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any, Generic, TypeVar

from kestreltrack.capture import records
from kestreltrack.capture.cursor import BlockPosition, CaptureFiles, Step
from kestreltrack.capture.records import Record
from kestreltrack.decision import Action, Event, MessageArrived, Policy
from kestreltrack.snapshot.codec import restore_as, take_snapshot
from kestreltrack.snapshot.state import SnapshotError, canonical, decode, encode
from kestreltrack.snapshot.stored_forms import EVENT_NAMES

P = TypeVar("P", bound=Policy)

# The operation names that commands print, by kind of record.
OPERATION_NAMES = {
    records.FILE_HEADER: "began",
    records.CHECKPOINT: "checkpoint",
    records.EVENT: "took",
    records.DECISION: "decide",
    records.PERMISSION: "permits",
    records.MARK: "mark",
}


@dataclass(slots=True)
class Divergence:
    """The first answer that differs from the captured one."""

    file: Path
    record: int
    clock: float
    operation: str
    expected: Any
    actual: Any
    destinations: dict[int, Any] = field(default_factory=dict)
    """The states of the destinations involved: that of a permission, and those of messages in
    `Replayer.events_since_decision`."""


@dataclass(slots=True)
class ReplayResult:
    """The result of a replay."""

    files: int = 0
    records: int = 0
    compared: int = 0
    """The number of answers compared."""
    events: Counter[str] = field(default_factory=Counter)
    digests: set[str] = field(default_factory=set)
    """The digests of the decision code that produced the capture."""
    faults: list[str] = field(default_factory=list)
    """The places where the capture is corrupt, and the checkpoints that cannot be restored."""
    divergence: Divergence | None = None
    span_ms: float = 0.0
    took_s: float = 0.0

    def identical(self) -> bool:
        """Return whether every record that could be read was answered as captured."""
        return self.divergence is None


class Replayer(Generic[P]):
    """Applies the records of a capture to one decision module."""

    def __init__(self, policy_type: type[P], on_restored: Callable[[P], None] | None = None) -> None:
        """Start without a decision module; the first checkpoint restores one, and `on_restored` receives it."""
        self.policy: P | None = None
        self.events_since_decision: list[Event] = []
        self.last_actions: Sequence[Action] = ()
        """The actions of the last decision."""
        self._policy_type = policy_type
        self._on_restored = on_restored

    def apply_step(self, step: Step) -> tuple[Any, Any] | None:
        """Apply one record as `apply_record` does; after a gap, skip the records up to the next checkpoint."""
        if step.after_gap:
            self.policy = None
            self.events_since_decision.clear()
        return self.apply_record(step.record)

    def apply_record(self, record: Record) -> tuple[Any, Any] | None:
        """Apply one record; return the expected and the actual answer where they differ.

        Raises:
            SnapshotError: A checkpoint cannot be restored.
        """
        if record.kind == records.CHECKPOINT:
            return self._restore_or_compare(record)
        policy = self.policy
        if policy is None or record.kind in (records.FILE_HEADER, records.MARK):
            return None
        if record.kind == records.EVENT:
            self.events_since_decision.append(record.payload)
            self._call_or_error(lambda: policy.handle(record.clock, record.payload))
            return None
        if record.kind == records.PERMISSION:
            dest, endpoint = record.context
            answer = policy.permits(record.clock, dest, endpoint)
            return None if answer == record.payload else (record.payload, answer)
        return self._compare_decision(policy, record)

    def _compare_decision(self, policy: Policy, record: Record) -> tuple[Any, Any] | None:
        actions = self._call_or_error(lambda: policy.decide(record.clock))
        if isinstance(actions, Exception):
            return (record.payload, actions)
        self.last_actions = actions
        self.events_since_decision.clear()
        full_actions = record.context[0]
        encoded = records.encode_actions(actions)
        if full_actions:
            if encoded == record.payload:
                return None
            return records.decode_actions(record.payload), list(actions)
        if records.actions_digest(encoded) == record.payload:
            return None
        return f"digest {record.payload.hex()}", list(actions)

    @staticmethod
    def _call_or_error(call: Callable[[], Any]) -> Any:
        """Return the result of a call, or the exception that it raised.

        The sender continues after an exception of the decision module, so a replay does too.
        """
        try:
            return call()
        except Exception as error:
            return error

    def _restore_or_compare(self, record: Record) -> tuple[Any, Any] | None:
        """Restore the first checkpoint; compare each later one with the state that the replay has reached."""
        state = decode(record.payload)
        if self.policy is None:
            self.policy = restore_as(state, self._policy_type)
            if self._on_restored:
                self._on_restored(self.policy)
            return None
        reached = canonical(encode(take_snapshot(self.policy)))
        if reached == canonical(record.payload):
            return None
        return "the state of the checkpoint", "another state"


def replay(
    files: Iterable[Path],
    since: str | None = None,
    until: str | None = None,
    speed: float = 0.0,
    on_step: Callable[[Step], None] | None = None,
) -> ReplayResult:
    """Replay files in order; after a gap the replay continues at the next checkpoint.

    `since` and `until` are times in the forms of `CaptureFiles.parse_time`; the replay begins at the last checkpoint
    before `since`.  `speed` is a multiple of real time, 0 for as fast as possible.  `on_step` receives each record
    before it is applied.

    Raises:
        CaptureError: A file is not a capture, or a time has an unknown form.
        OSError: A file cannot be read.
    """
    capture = CaptureFiles(list(files))
    start = capture.checkpoint_at(capture.parse_time(since)) if since else BlockPosition(0, 0)
    run = _ReplayRun(speed)
    run.result.files = len(capture.files)
    for step in capture.steps(start, capture.parse_time(until) if until else None):
        if step.file == run.skipped_file:
            continue
        run.count(step.record)
        run.keep_pace(step.record.clock)
        if on_step:
            on_step(step)
        run.apply(step)
        if run.result.divergence is not None:
            break
    return run.finish(capture.corruptions)


class _ReplayRun:
    """The state of one replay."""

    def __init__(self, speed: float) -> None:
        self.result = ReplayResult()
        self.skipped_file: Path | None = None
        """The file whose checkpoint could not be restored last; the rest of it is skipped."""
        self._speed = speed
        self._replayer = Replayer(Policy)
        self._started_s = time.perf_counter()
        self._first_clock: float | None = None

    def count(self, record: Record) -> None:
        """Count a record that is about to be applied."""
        self.result.records += 1
        if record.kind == records.FILE_HEADER:
            self.result.digests.add(record.payload.digest)
        if record.kind == records.EVENT:
            self.result.events[EVENT_NAMES[type(record.payload)]] += 1
        if record.kind in (records.DECISION, records.PERMISSION) and self._replayer.policy is not None:
            self.result.compared += 1

    def keep_pace(self, clock: float) -> None:
        """Sleep until a clock reading is due at the requested speed."""
        if not clock:
            return
        if self._first_clock is None:
            self._first_clock = clock
        self.result.span_ms = clock - self._first_clock
        if self._speed:
            elapsed_s = time.perf_counter() - self._started_s
            time.sleep(max(0.0, self.result.span_ms / 1000.0 / self._speed - elapsed_s))

    def apply(self, step: Step) -> None:
        """Apply a record and store a divergence; skip the rest of a file whose checkpoint cannot be restored."""
        try:
            difference = self._replayer.apply_step(step)
        except SnapshotError as error:
            self.result.faults.append(f"{step.file}: record {step.record_number}: {error}")
            self._replayer = Replayer(Policy)
            self.skipped_file = step.file
            return
        if difference is not None:
            expected, actual = difference
            self.result.divergence = _divergence(step, expected, actual, self._replayer)

    def finish(self, corruptions: list[str]) -> ReplayResult:
        """Return the result, with the corruptions that the reader found."""
        self.result.faults += corruptions
        self.result.took_s = time.perf_counter() - self._started_s
        return self.result


def _divergence(step: Step, expected: Any, actual: Any, replayer: Replayer[Policy]) -> Divergence:
    record = step.record
    operation = OPERATION_NAMES[record.kind]
    divergence = Divergence(step.file, step.record_number, record.clock, operation, expected, actual)
    assert replayer.policy is not None
    affected = {event.dest for event in replayer.events_since_decision if isinstance(event, MessageArrived)}
    if record.kind == records.PERMISSION:
        affected.add(record.context[0])
    for state in take_snapshot(replayer.policy).dests:
        if state.number in affected:
            divergence.destinations[state.number] = state
    return divergence
