"""Reduces a capture to a small one that still shows a property, by delta debugging over what is in it.

Zeller and Hildebrandt, Simplifying and Isolating Failure-Inducing Input (IEEE TSE 28(2), 2002): `ddmin`, applied in
turn to destinations, messages, other events and the day's end, until none of them gets smaller.
"""

from __future__ import annotations

import time
from collections.abc import Callable, Sequence
from dataclasses import dataclass, replace
from pathlib import Path
from typing import TypeVar

import msgspec

from kestreltrack.capture.resimulate import CapturedInput, Resimulation, resimulate
from kestreltrack.decision import (
    AttemptEnded,
    EndpointsUpdated,
    Event,
    FailMessage,
    MessageArrived,
    MessageWithdrawn,
    Outcome,
    RejectMessage,
)
from kestreltrack.invariants.sender import InvariantViolationError, SenderInvariants
from kestreltrack.snapshot.state import PolicyState

T = TypeVar("T")
Property = Callable[[Resimulation], bool]


class PropertyNotShownError(Exception):
    """The capture does not show the property to begin with."""


@dataclass(slots=True)
class ShrinkResult:
    """What is left, and what it took."""

    captured_input: CapturedInput
    resimulation: Resimulation
    runs: int
    duration_s: float
    size_before: tuple[int, int, int]
    size_after: tuple[int, int, int]
    """Destinations, messages, steps."""
    complete: bool = True
    """Whether it ended by itself, not by its limit."""


def ddmin(items: Sequence[T], holds: Callable[[Sequence[T]], bool]) -> list[T]:
    """A part of the items that still shows it, of which no single one can go; all of them must show it."""
    kept, parts = list(items), 2
    if kept and holds([]):
        return []
    while len(kept) > 1:
        size = -(-len(kept) // parts)
        chunks = [kept[at : at + size] for at in range(0, len(kept), size)]
        for n, chunk in enumerate(chunks):
            if len(chunks) > 2 and holds(chunk):
                kept, parts = chunk, 2
                break
            rest = [item for other in (*chunks[:n], *chunks[n + 1 :]) for item in other]
            if holds(rest):
                kept, parts = rest, max(parts - 1, 2)
                break
        else:
            if parts >= len(kept):
                break
            parts = min(len(kept), 2 * parts)
    return kept


def restrict_state(state: PolicyState, dests: set[int]) -> PolicyState:
    """A module's state with these destinations alone."""
    change = msgspec.structs.replace
    messages = [m for m in state.messages if m.dest in dests]
    held = {m.id for m in messages}
    numbers = [n for n, c in enumerate(state.calls) if c.dest in dests]
    renumbered = {old: new for new, old in enumerate(numbers)}
    kept = [
        change(
            d,
            guard=_renumber_trial(d.guard, renumbered),
            endpoints=[
                change(e, own=_renumber_trial(e.own, renumbered), calls=[renumbered[c] for c in e.calls])
                for e in d.endpoints
            ],
        )
        for d in state.dests
        if d.number in dests
    ]
    orders = state.orders or [0] * len(state.ends)
    ends = [(end, order) for end, order in zip(state.ends, orders, strict=True) if end[1] in held]
    lines = {key for _, _, call, key in state.parts if call in renumbered} | {m.line for m in messages}
    return change(
        state,
        dests=kept,
        busy=[n for n in state.busy if n in dests],
        leaving=[n for n in state.leaving if n in dests],
        messages=messages,
        keys=[change(k, queue=[m for m in k.queue if m in held]) for k in state.keys if k.key in lines],
        ends=[end for end, _ in ends],
        orders=[order for _, order in ends],
        calls=[state.calls[n] for n in numbers],
        parts=[(m, n, renumbered[c], line) for m, n, c, line in state.parts if c in renumbered],
        out=len(numbers),
        actions=[],
    )


def _renumber_trial(guard: T, renumbered: dict[int, int]) -> T:
    trial = getattr(guard, "trial", None)
    if guard is None or trial is None:
        return guard
    return msgspec.structs.replace(guard, trial=renumbered.get(trial))  # type: ignore[type-var]


def restrict_to_destinations(captured_input: CapturedInput, dests: Sequence[int]) -> CapturedInput:
    """What concerns these destinations."""
    chosen, outside = set(dests), list[tuple[float, Event]]()
    gone = set[str]()
    for at, event in captured_input.external_events:
        if isinstance(event, MessageArrived):
            if event.dest not in chosen:
                gone.add(event.id)
                continue
            gone.discard(event.id)
        elif isinstance(event, MessageWithdrawn) and event.id in gone:
            continue
        elif isinstance(event, EndpointsUpdated):
            entries = [entry for entry in event.entries if entry.dest in chosen]
            if not (entries or event.complete):
                continue
            event = replace(event, entries=entries)
        outside.append((at, event))
    return replace(
        captured_input,
        initial_state=restrict_state(captured_input.initial_state, chosen),
        external_events=tuple(outside),
    )


def restrict_to_messages(captured_input: CapturedInput, ids: Sequence[str]) -> CapturedInput:
    """These messages of those that arrive."""
    chosen, arriving = set(ids), set(captured_input.message_ids())
    return replace(
        captured_input,
        external_events=tuple(
            (at, event)
            for at, event in captured_input.external_events
            if not (
                isinstance(event, MessageArrived | MessageWithdrawn)
                and event.id in arriving
                and event.id not in chosen
            )
        ),
    )


class Shrinker:
    """One reduction; `told` hears after each run how many there were and how large the day is."""

    def __init__(
        self,
        holds: Property,
        max_runs: int,
        max_s: float,
        on_run: Callable[[int, CapturedInput], None] | None = None,
    ) -> None:
        """Ends after so many runs or seconds with what it has."""
        self._holds, self._max_runs, self._max_s, self._on_run = holds, max_runs, max_s, on_run
        self.runs, self._started_at = 0, time.monotonic()
        self._known_results: dict[object, bool] = {}

    def _budget_exhausted(self) -> bool:
        return self.runs >= self._max_runs or time.monotonic() - self._started_at > self._max_s

    def _still_holds(self, captured_input: CapturedInput) -> bool:
        key = (
            tuple((at, repr(event)) for at, event in captured_input.external_events),
            captured_input.end_clock,
            len(captured_input.initial_state.dests),
        )
        if hash(key) in self._known_results:
            return self._known_results[hash(key)]
        if self._budget_exhausted():
            return False
        self.runs += 1
        found = self._known_results[hash(key)] = self._holds(resimulate(captured_input))
        if self._on_run:
            self._on_run(self.runs, captured_input)
        return found

    def shrink(self, captured_input: CapturedInput) -> ShrinkResult:
        """As small as it gets; raises `NotShown`."""
        first = resimulate(captured_input)
        self.runs += 1
        if not self._holds(first):
            raise PropertyNotShownError("the whole day, played anew, does not show it")
        before, size = (
            (len(captured_input.destinations()), len(captured_input.message_ids()), len(first.steps)),
            0,
        )
        while (
            size != (size := len(captured_input.external_events) + len(captured_input.initial_state.dests))
            and not self._budget_exhausted()
        ):
            captured_input = self._end_earlier(captured_input)
            captured_input = self._minimise(
                captured_input, captured_input.destinations(), restrict_to_destinations
            )
            captured_input = self._minimise(
                captured_input, captured_input.message_ids(), restrict_to_messages
            )
            captured_input = self._minimise(
                captured_input, list(range(len(captured_input.external_events))), _restrict_to_events
            )
            captured_input = self._end_earlier(captured_input)
        played = resimulate(captured_input)
        after = (len(captured_input.destinations()), len(captured_input.message_ids()), len(played.steps))
        took = time.monotonic() - self._started_at
        return ShrinkResult(
            captured_input, played, self.runs, took, before, after, not self._budget_exhausted()
        )

    def _minimise(
        self,
        captured_input: CapturedInput,
        items: Sequence[T],
        restrict: Callable[[CapturedInput, Sequence[T]], CapturedInput],
    ) -> CapturedInput:
        return restrict(
            captured_input, ddmin(items, lambda kept: self._still_holds(restrict(captured_input, kept)))
        )

    def _end_earlier(self, captured_input: CapturedInput) -> CapturedInput:
        """End the day sooner: by halves, then by what is left."""
        low, high = 0, len(captured_input.external_events)
        while low < high and not self._budget_exhausted():
            middle = (low + high) // 2
            if self._still_holds(_truncate(captured_input, middle)):
                high = middle
            else:
                low = middle + 1
        shorter = _truncate(captured_input, high)
        return (
            shorter
            if high < len(captured_input.external_events) and self._still_holds(shorter)
            else captured_input
        )


def _restrict_to_events(captured_input: CapturedInput, indexes: Sequence[int]) -> CapturedInput:
    return replace(captured_input, external_events=tuple(captured_input.external_events[n] for n in indexes))


def _truncate(captured_input: CapturedInput, count: int) -> CapturedInput:
    outside = captured_input.external_events[:count]
    return replace(
        captured_input,
        external_events=outside,
        end_clock=outside[-1][0] if outside else captured_input.start_clock,
    )


# Properties ----------------------------------------------------------------------------------------


def message_ends_as(id_: str, expected_end: str) -> Property:
    """A message ends as `delivered`, `refused`, `failed`, or `none` by the end of the day."""

    def shows(played: Resimulation) -> bool:
        arrived, end = False, "none"
        for _, what in played.steps:
            if isinstance(what, MessageArrived) and what.id == id_:
                arrived, end = True, "none"
            elif isinstance(what, AttemptEnded) and what.id == id_ and what.outcome is Outcome.OK:
                end = "delivered" if end == "none" else end
            elif isinstance(what, list):
                for action in what:
                    if isinstance(action, RejectMessage | FailMessage) and action.id == id_:
                        end = "refused" if isinstance(action, RejectMessage) else "failed"
        return arrived and end == expected_end

    return shows


def violates_invariant(text: str) -> Property:
    """A rule is broken whose text holds these words; the rules are those of `kestreltrack/invariants/`."""

    def shows(played: Resimulation) -> bool:
        checker = SenderInvariants(played.settings)
        checker.load_state(played.initial_state)
        try:
            for now, what in played.steps:
                if isinstance(what, list):
                    checker.check_actions(now, what)
                else:
                    checker.observe(now, what)
        except InvariantViolationError as broken:
            return text in str(broken)
        return False

    return shows


def differs_from_version(file: Path, differs: Callable[[Path], bool]) -> Property:
    """Another version decides otherwise somewhere: `compare` says so of a capture, kept in a file of that name."""

    def shows(played: Resimulation) -> bool:
        played.write_capture(file)
        return differs(file)

    return shows
