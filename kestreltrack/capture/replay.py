"""Drives the present decision module with a capture, and compares every answer."""

from __future__ import annotations

import time
from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from kestreltrack.capture import records
from kestreltrack.capture.reader import Reader
from kestreltrack.capture.records import Record
from kestreltrack.decision import Policy, api
from kestreltrack.snapshot.policy import restore, take
from kestreltrack.snapshot.state import SnapshotError, canonical, decode, encode


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


class Player:
    """One module under replay."""

    def __init__(self) -> None:
        """Wait for a checkpoint."""
        self.policy: Policy | None = None
        self.last: list[api.Event] = []

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
            self.policy = restore(state)
            return None
        reached, kept = canonical(encode(take(self.policy))), canonical(record.what)
        return None if reached == kept else ("the state of the checkpoint", "another state")


def replay(files: Iterable[Path]) -> Replay:
    """Replay files in their order; a gap between two of them begins anew at the next checkpoint."""
    done, player, number, began = Replay(), Player(), None, time.perf_counter()
    first: float | None = None
    for file in files:
        reader = Reader(file)
        done.files += 1
        for record in reader.records():
            done.records += 1
            if record.kind == records.BEGAN:
                done.digests.add(record.what.digest)
                if record.what.number != number:
                    player, number = Player(), record.what.number
            number = (number or 0) + 1
            if record.kind == records.TOOK:
                done.events[type(record.what).__name__] += 1
            if record.kind in (records.DECIDED, records.PERMITTED):
                done.compared += 1
            if record.clock:
                first = record.clock if first is None else first
                done.span_ms = record.clock - first
            try:
                differ = player.play(record)
            except SnapshotError as bad:
                done.faults.append(f"{file}: record {number - 1}: {bad}")
                break
            if differ is not None:
                done.divergence = _divergence(file, number - 1, record, differ, player)
                done.took_s = time.perf_counter() - began
                return done
        if reader.fault:
            done.faults.append(str(reader.fault))
            number = None
    done.took_s = time.perf_counter() - began
    return done


def _divergence(
    file: Path, number: int, record: Record, differ: tuple[Any, Any], player: Player
) -> Divergence:
    what = ("began", "checkpoint", "took", "decide", "permits", "mark")[record.kind]
    found = Divergence(file, number, record.clock, what, *differ)
    assert player.policy is not None
    touched = {event.dest for event in player.last if isinstance(event, api.Arrived)}
    touched |= {record.about[0]} if record.kind == records.PERMITTED else set()
    for state in take(player.policy).dests:
        if state.number in touched:
            found.destinations[state.number] = state
    return found
