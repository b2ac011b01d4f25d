"""Drives the present decision module with a capture, and compares every answer."""

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


@dataclass(slots=True)
class Divergence:
    """The first answer that differs."""

    file: Path
    record: int
    clock: float
    operation: str
    expected: Any
    actual: Any
    destinations: dict[int, Any] = field(default_factory=dict)


@dataclass(slots=True)
class ReplayResult:
    """What came of it."""

    files: int = 0
    records: int = 0
    compared: int = 0
    events: Counter[str] = field(default_factory=Counter)
    digests: set[str] = field(default_factory=set)
    faults: list[str] = field(default_factory=list)
    divergence: Divergence | None = None
    span_ms: float = 0.0
    took_s: float = 0.0

    def identical(self) -> bool:
        """Whether all that could be read was answered as it had been."""
        return self.divergence is None


class Replayer(Generic[P]):
    """One module under replay; `kind` is its class, `made` hears of each one that a checkpoint makes."""

    def __init__(self, policy_type: type[P], on_restored: Callable[[P], None] | None = None) -> None:
        """Wait for a checkpoint."""
        self.policy: P | None = None
        self.events_since_decision: list[Event] = []
        self.last_actions: Sequence[Action] = ()
        """What the last decision gave."""
        self._policy_type, self._on_restored = policy_type, on_restored

    def apply_step(self, step: Step) -> tuple[Any, Any] | None:
        """Carry out one record of a walk; behind a gap all begins anew."""
        if step.after_gap:
            self.policy = None
            self.events_since_decision.clear()
        return self.apply_record(step.record)

    def apply_record(self, record: Record) -> tuple[Any, Any] | None:
        """Carry out one record; returns what was expected and what came, where they differ."""
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
        said, whole = records.encode_actions(actions), record.context[0]
        self.events_since_decision.clear()
        if (said if whole else records.actions_digest(said)) == record.payload:
            return None
        expected = records.decode_actions(record.payload) if whole else f"digest {record.payload.hex()}"
        return expected, list(actions)

    @staticmethod
    def _call_or_error(call: Any) -> Any:
        """The sender goes on after a fault of its module; so does a replay."""
        try:
            return call()
        except Exception as bad:
            return bad

    def _restore_or_compare(self, record: Record) -> tuple[Any, Any] | None:
        """The first one begins; each later one must be the state that was reached."""
        state = decode(record.payload)
        if self.policy is None:
            self.policy = restore_as(state, self._policy_type)
            if self._on_restored:
                self._on_restored(self.policy)
            return None
        reached, kept = canonical(encode(take_snapshot(self.policy))), canonical(record.payload)
        return None if reached == kept else ("the state of the checkpoint", "another state")


def replay(
    files: Iterable[Path],
    since: str | None = None,
    until: str | None = None,
    speed: float = 0.0,
    on_step: Callable[[Step], None] | None = None,
) -> ReplayResult:
    """Replay files in their order; a gap between two of them begins anew at the next checkpoint.

    `since` and `until` are times as `Tape.clock` reads them: it begins at the last checkpoint before.  `speed`
    keeps to so many times real time, 0 to none.  `seen` hears of each step, for a progress bar.
    """
    tape = CaptureFiles(list(files))
    done, player, began = ReplayResult(files=len(tape.files)), Replayer(Policy), time.perf_counter()
    start = tape.checkpoint_at(tape.parse_time(since)) if since else BlockPosition(0, 0)
    first: float | None = None
    spoilt: Path | None = None
    for step in tape.steps(start, tape.parse_time(until) if until else None):
        record = step.record
        if step.file == spoilt:
            continue
        done.records += 1
        if record.kind == records.FILE_HEADER:
            done.digests.add(record.payload.digest)
        if record.kind == records.EVENT:
            done.events[EVENT_NAMES[type(record.payload)]] += 1
        if record.kind in (records.DECISION, records.PERMISSION) and player.policy is not None:
            done.compared += 1
        if record.clock:
            first = record.clock if first is None else first
            done.span_ms = record.clock - first
            if speed:
                time.sleep(max(0.0, done.span_ms / 1000.0 / speed - (time.perf_counter() - began)))
        if on_step:
            on_step(step)
        try:
            differ = player.apply_step(step)
        except SnapshotError as bad:
            done.faults.append(f"{step.file}: record {step.record_number}: {bad}")
            player, spoilt = Replayer(Policy), step.file
            continue
        if differ is not None:
            done.divergence = _divergence(step, differ, player)
            break
    done.faults += tape.corruptions
    done.took_s = time.perf_counter() - began
    return done


def _divergence(step: Step, differ: tuple[Any, Any], player: Replayer[Policy]) -> Divergence:
    record = step.record
    what = ("began", "checkpoint", "took", "decide", "permits", "mark")[record.kind]
    found = Divergence(step.file, step.record_number, record.clock, what, *differ)
    assert player.policy is not None
    touched = {event.dest for event in player.events_since_decision if isinstance(event, MessageArrived)}
    touched |= {record.context[0]} if record.kind == records.PERMISSION else set()
    for state in take_snapshot(player.policy).dests:
        if state.number in touched:
            found.destinations[state.number] = state
    return found
