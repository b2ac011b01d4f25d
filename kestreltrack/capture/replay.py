"""Drives the present decision module with a capture, and compares every answer."""

from __future__ import annotations

import time
from collections import Counter
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any, Generic, TypeVar

from kestreltrack.capture import records
from kestreltrack.capture.records import Record
from kestreltrack.capture.walk import Place, Step, Tape
from kestreltrack.decision import Policy, api
from kestreltrack.snapshot.policy import restored, take
from kestreltrack.snapshot.state import SnapshotError, canonical, decode, encode
from kestreltrack.snapshot.stored_forms import EVENT_NAMES

P = TypeVar("P", bound=Policy)


@dataclass(slots=True)
class Divergence:
    """The first answer that differs."""

    file: Path
    record: int
    clock: float
    what: str
    expected: Any
    got: Any
    destinations: dict[int, Any] = field(default_factory=dict)


@dataclass(slots=True)
class Replay:
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


class Player(Generic[P]):
    """One module under replay; `kind` is its class, `made` hears of each one that a checkpoint makes."""

    def __init__(self, kind: type[P], made: Callable[[P], None] | None = None) -> None:
        """Wait for a checkpoint."""
        self.policy: P | None = None
        self.last: list[api.Event] = []
        self.actions: Sequence[api.Action] = ()
        """What the last decision gave."""
        self._kind, self._made = kind, made

    def step(self, step: Step) -> tuple[Any, Any] | None:
        """Carry out one record of a walk; behind a gap all begins anew."""
        if step.anew:
            self.policy = None
            self.last.clear()
        return self.play(step.record)

    def play(self, record: Record) -> tuple[Any, Any] | None:
        """Carry out one record; returns what was expected and what came, where they differ."""
        if record.kind == records.CHECKPOINT:
            return self._checkpoint(record)
        policy = self.policy
        if policy is None or record.kind in (records.BEGAN, records.MARK):
            return None
        if record.kind == records.TOOK:
            self.last.append(record.what)
            self._guarded(lambda: policy.take(record.clock, record.what))
            return None
        if record.kind == records.PERMITTED:
            dest, endpoint = record.about
            answer = policy.permits(record.clock, dest, endpoint)
            return None if answer == record.what else (record.what, answer)
        return self._decided(policy, record)

    def _decided(self, policy: Policy, record: Record) -> tuple[Any, Any] | None:
        actions = self._guarded(lambda: policy.decide(record.clock))
        if isinstance(actions, Exception):
            return (record.what, actions)
        self.actions = actions
        said, whole = records.coded(actions), record.about[0]
        self.last.clear()
        if (said if whole else records.short(said)) == record.what:
            return None
        expected = records.actions(record.what) if whole else f"digest {record.what.hex()}"
        return expected, list(actions)

    @staticmethod
    def _guarded(call: Any) -> Any:
        """The sender goes on after a fault of its module; so does a replay."""
        try:
            return call()
        except Exception as bad:
            return bad

    def _checkpoint(self, record: Record) -> tuple[Any, Any] | None:
        """The first one begins; each later one must be the state that was reached."""
        state = decode(record.what)
        if self.policy is None:
            self.policy = restored(state, self._kind)
            if self._made:
                self._made(self.policy)
            return None
        reached, kept = canonical(encode(take(self.policy))), canonical(record.what)
        return None if reached == kept else ("the state of the checkpoint", "another state")


def replay(
    files: Iterable[Path],
    since: str | None = None,
    until: str | None = None,
    speed: float = 0.0,
    seen: Callable[[Step], None] | None = None,
) -> Replay:
    """Replay files in their order; a gap between two of them begins anew at the next checkpoint.

    `since` and `until` are times as `Tape.clock` reads them: it begins at the last checkpoint before.  `speed`
    keeps to so many times real time, 0 to none.  `seen` hears of each step, for a progress bar.
    """
    tape = Tape(list(files))
    done, player, began = Replay(files=len(tape.files)), Player(Policy), time.perf_counter()
    start = tape.at(tape.clock(since)) if since else Place(0, 0)
    first: float | None = None
    spoilt: Path | None = None
    for step in tape.walk(start, tape.clock(until) if until else None):
        record = step.record
        if step.file == spoilt:
            continue
        done.records += 1
        if record.kind == records.BEGAN:
            done.digests.add(record.what.digest)
        if record.kind == records.TOOK:
            done.events[EVENT_NAMES[type(record.what)]] += 1
        if record.kind in (records.DECIDED, records.PERMITTED) and player.policy is not None:
            done.compared += 1
        if record.clock:
            first = record.clock if first is None else first
            done.span_ms = record.clock - first
            if speed:
                time.sleep(max(0.0, done.span_ms / 1000.0 / speed - (time.perf_counter() - began)))
        if seen:
            seen(step)
        try:
            differ = player.step(step)
        except SnapshotError as bad:
            done.faults.append(f"{step.file}: record {step.number}: {bad}")
            player, spoilt = Player(Policy), step.file
            continue
        if differ is not None:
            done.divergence = _divergence(step, differ, player)
            break
    done.faults += tape.faults
    done.took_s = time.perf_counter() - began
    return done


def _divergence(step: Step, differ: tuple[Any, Any], player: Player[Policy]) -> Divergence:
    record = step.record
    what = ("began", "checkpoint", "took", "decide", "permits", "mark")[record.kind]
    found = Divergence(step.file, step.number, record.clock, what, *differ)
    assert player.policy is not None
    touched = {event.dest for event in player.last if isinstance(event, api.Arrived)}
    touched |= {record.about[0]} if record.kind == records.PERMITTED else set()
    for state in take(player.policy).dests:
        if state.number in touched:
            found.destinations[state.number] = state
    return found
