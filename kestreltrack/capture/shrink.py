"""Reduces a capture to a small one that still shows a property, by delta debugging of its input.

The algorithm is `ddmin` of Zeller and Hildebrandt, Simplifying and Isolating Failure-Inducing Input (IEEE TSE 28(2),
2002), applied in turn to destinations, messages and other events, with the end of the input moved forward by a binary
search, until a round leaves nothing out.
"""

from __future__ import annotations

import time
from collections.abc import Callable, Sequence
from dataclasses import dataclass, replace
from pathlib import Path
from typing import TypeVar

import msgspec

from kestreltrack.capture.errors import CaptureError
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
from kestreltrack.snapshot.state import DestinationState, GuardState, KeyQueueState, PolicyState

T = TypeVar("T")
Property = Callable[[Resimulation], bool]


class PropertyNotShownError(CaptureError):
    """The complete input does not show the property."""


@dataclass(slots=True)
class ShrinkResult:
    """The reduced input and the cost of the reduction."""

    captured_input: CapturedInput
    resimulation: Resimulation
    runs: int
    """The number of simulations."""
    duration_s: float
    size_before: tuple[int, int, int]
    """The numbers of destinations, messages and steps."""
    size_after: tuple[int, int, int]
    """The same numbers for the reduced input."""
    complete: bool = True
    """Whether the search ran to its end; false if a limit stopped it."""


def ddmin(items: Sequence[T], holds: Callable[[Sequence[T]], bool]) -> list[T]:
    """Return a 1-minimal subset of the items for which `holds` is true: no single item can be left out.

    `holds` must be true for the complete sequence.
    """
    kept = list(items)
    parts = 2
    if kept and holds([]):
        return []
    while len(kept) > 1:
        size = -(-len(kept) // parts)
        chunks = [kept[at : at + size] for at in range(0, len(kept), size)]
        for index, chunk in enumerate(chunks):
            if len(chunks) > 2 and holds(chunk):
                kept = chunk
                parts = 2
                break
            rest = [item for other in (*chunks[:index], *chunks[index + 1 :]) for item in other]
            if holds(rest):
                kept = rest
                parts = max(parts - 1, 2)
                break
        else:
            if parts >= len(kept):
                break
            parts = min(len(kept), 2 * parts)
    return kept


def restrict_state(state: PolicyState, dests: set[int]) -> PolicyState:
    """Return the state of a decision module reduced to these destinations."""
    messages = [message for message in state.messages if message.dest in dests]
    message_ids = {message.id for message in messages}
    calls = [number for number, call in enumerate(state.calls) if call.dest in dests]
    renumbered = {old: new for new, old in enumerate(calls)}
    orders = state.orders or [0] * len(state.ends)
    ends = [(end, order) for end, order in zip(state.ends, orders, strict=True) if end[1] in message_ids]
    keys = {key for _, _, call, key in state.parts if call in renumbered}
    keys |= {message.line for message in messages}
    return msgspec.structs.replace(
        state,
        dests=[_restrict_destination(dest, renumbered) for dest in state.dests if dest.number in dests],
        busy=[number for number in state.busy if number in dests],
        leaving=[number for number in state.leaving if number in dests],
        messages=messages,
        keys=[
            _restrict_key_queue(key_queue, message_ids) for key_queue in state.keys if key_queue.key in keys
        ],
        ends=[end for end, _ in ends],
        orders=[order for _, order in ends],
        calls=[state.calls[number] for number in calls],
        parts=[
            (message_id, attempt, renumbered[call], key)
            for message_id, attempt, call, key in state.parts
            if call in renumbered
        ],
        out=len(calls),
        away=msgspec.UNSET,
        actions=[],
    )


def _restrict_destination(dest: DestinationState, renumbered: dict[int, int]) -> DestinationState:
    """Return a destination with its calls renumbered."""
    endpoints = [
        msgspec.structs.replace(
            endpoint,
            own=_renumber_trial(endpoint.own, renumbered),
            calls=[renumbered[call] for call in endpoint.calls],
        )
        for endpoint in dest.endpoints
    ]
    guard = None if dest.guard is None else _renumber_trial(dest.guard, renumbered)
    return msgspec.structs.replace(dest, guard=guard, endpoints=endpoints)


def _renumber_trial(guard: GuardState, renumbered: dict[int, int]) -> GuardState:
    if guard.trial is None:
        return guard
    return msgspec.structs.replace(guard, trial=renumbered.get(guard.trial))


def _restrict_key_queue(key_queue: KeyQueueState, message_ids: set[str]) -> KeyQueueState:
    return msgspec.structs.replace(
        key_queue, queue=[message_id for message_id in key_queue.queue if message_id in message_ids]
    )


def restrict_to_destinations(captured_input: CapturedInput, dests: Sequence[int]) -> CapturedInput:
    """Return an input reduced to these destinations."""
    chosen = set(dests)
    left_out = set[str]()
    events = list[tuple[float, Event]]()
    for at, event in captured_input.external_events:
        restricted = _restrict_event(event, chosen, left_out)
        if restricted is not None:
            events.append((at, restricted))
    return replace(
        captured_input,
        initial_state=restrict_state(captured_input.initial_state, chosen),
        external_events=tuple(events),
    )


def _restrict_event(event: Event, dests: set[int], left_out: set[str]) -> Event | None:
    """Return an event reduced to these destinations, or None; update the ids of the messages left out."""
    if isinstance(event, MessageArrived):
        if event.dest not in dests:
            left_out.add(event.id)
            return None
        left_out.discard(event.id)
        return event
    if isinstance(event, MessageWithdrawn):
        return None if event.id in left_out else event
    if isinstance(event, EndpointsUpdated):
        entries = [entry for entry in event.entries if entry.dest in dests]
        if not entries and not event.complete:
            return None
        return replace(event, entries=entries)
    return event


def restrict_to_messages(captured_input: CapturedInput, ids: Sequence[str]) -> CapturedInput:
    """Return an input in which, of the arriving messages, only these arrive."""
    left_out = set(captured_input.message_ids()) - set(ids)
    events = [
        (at, event)
        for at, event in captured_input.external_events
        if not (isinstance(event, MessageArrived | MessageWithdrawn) and event.id in left_out)
    ]
    return replace(captured_input, external_events=tuple(events))


def _restrict_to_events(captured_input: CapturedInput, indexes: Sequence[int]) -> CapturedInput:
    events = tuple(captured_input.external_events[index] for index in indexes)
    return replace(captured_input, external_events=events)


def _truncate(captured_input: CapturedInput, count: int) -> CapturedInput:
    """Return an input with only its first `count` events, which ends with the last of them."""
    events = captured_input.external_events[:count]
    end_clock = events[-1][0] if events else captured_input.start_clock
    return replace(captured_input, external_events=events, end_clock=end_clock)


class Shrinker:
    """One reduction of an input."""

    def __init__(
        self,
        holds: Property,
        max_runs: int,
        max_s: float,
        on_run: Callable[[int, CapturedInput], None] | None = None,
    ) -> None:
        """Set the property and the limits, in simulations and in seconds.

        `on_run` receives, after each simulation, the number of simulations so far and the input of this one.
        """
        self.runs = 0
        self._holds = holds
        self._max_runs = max_runs
        self._max_s = max_s
        self._on_run = on_run
        self._started_s = time.monotonic()
        self._known_results: dict[int, bool] = {}
        """The results of earlier simulations, by the hash of their input."""

    def shrink(self, captured_input: CapturedInput) -> ShrinkResult:
        """Return the smallest input found within the limits.

        Raises:
            PropertyNotShownError: The complete input does not show the property.
        """
        first = resimulate(captured_input)
        self.runs += 1
        if not self._holds(first):
            raise PropertyNotShownError("the complete input, resimulated, does not show the property")
        size_before = _size(captured_input, first)
        item_count = 0
        while item_count != _item_count(captured_input) and not self._budget_exhausted():
            item_count = _item_count(captured_input)
            captured_input = self._shrink_once(captured_input)
        last = resimulate(captured_input)
        return ShrinkResult(
            captured_input,
            last,
            self.runs,
            time.monotonic() - self._started_s,
            size_before,
            _size(captured_input, last),
            not self._budget_exhausted(),
        )

    def _shrink_once(self, captured_input: CapturedInput) -> CapturedInput:
        """Run one round: each kind of item once, the largest first."""
        reduced = self._shorten(captured_input)
        reduced = self._minimise(reduced, reduced.destinations(), restrict_to_destinations)
        reduced = self._minimise(reduced, reduced.message_ids(), restrict_to_messages)
        reduced = self._minimise(reduced, list(range(len(reduced.external_events))), _restrict_to_events)
        return self._shorten(reduced)

    def _minimise(
        self,
        captured_input: CapturedInput,
        items: Sequence[T],
        restrict: Callable[[CapturedInput, Sequence[T]], CapturedInput],
    ) -> CapturedInput:
        kept = ddmin(items, lambda part: self._still_holds(restrict(captured_input, part)))
        return restrict(captured_input, kept)

    def _shorten(self, captured_input: CapturedInput) -> CapturedInput:
        """Return an input that ends as early as possible, found by binary search."""
        low = 0
        high = len(captured_input.external_events)
        while low < high and not self._budget_exhausted():
            middle = (low + high) // 2
            if self._still_holds(_truncate(captured_input, middle)):
                high = middle
            else:
                low = middle + 1
        if high == len(captured_input.external_events):
            return captured_input
        shorter = _truncate(captured_input, high)
        return shorter if self._still_holds(shorter) else captured_input

    def _still_holds(self, captured_input: CapturedInput) -> bool:
        """Return whether a reduced input shows the property; false once a limit is reached."""
        key = hash(
            (
                tuple((at, repr(event)) for at, event in captured_input.external_events),
                captured_input.end_clock,
                len(captured_input.initial_state.dests),
            )
        )
        if key in self._known_results:
            return self._known_results[key]
        if self._budget_exhausted():
            return False
        self.runs += 1
        result = self._holds(resimulate(captured_input))
        self._known_results[key] = result
        if self._on_run:
            self._on_run(self.runs, captured_input)
        return result

    def _budget_exhausted(self) -> bool:
        return self.runs >= self._max_runs or time.monotonic() - self._started_s > self._max_s


def _size(captured_input: CapturedInput, resimulation: Resimulation) -> tuple[int, int, int]:
    destinations = len(captured_input.destinations())
    return destinations, len(captured_input.message_ids()), len(resimulation.steps)


def _item_count(captured_input: CapturedInput) -> int:
    return len(captured_input.external_events) + len(captured_input.initial_state.dests)


# Properties ----------------------------------------------------------------------------------------


def message_ends_as(message_id: str, expected_end: str) -> Property:
    """Return the property that a message ends as `delivered`, `refused`, `failed`, or `none` (no final answer)."""

    def shows(resimulation: Resimulation) -> bool:
        return _end_of_message(resimulation, message_id) == expected_end

    return shows


def _end_of_message(resimulation: Resimulation, message_id: str) -> str | None:
    """Return how a message ended after its last arrival, or None if it never arrived."""
    end: str | None = None
    for _, step in resimulation.steps:
        if isinstance(step, MessageArrived) and step.id == message_id:
            end = "none"
        elif isinstance(step, AttemptEnded) and step.id == message_id and step.outcome is Outcome.OK:
            end = "delivered" if end == "none" else end
        elif isinstance(step, list):
            final_answers = [
                action
                for action in step
                if isinstance(action, RejectMessage | FailMessage) and action.id == message_id
            ]
            if final_answers and end is not None:
                end = "refused" if isinstance(final_answers[-1], RejectMessage) else "failed"
    return end


def violates_invariant(text: str) -> Property:
    """Return the property that an invariant of `invariants/sender.py` is violated whose error contains `text`."""

    def shows(resimulation: Resimulation) -> bool:
        checker = SenderInvariants(resimulation.settings)
        checker.load_state(resimulation.initial_state)
        try:
            for now, step in resimulation.steps:
                if isinstance(step, list):
                    checker.check_actions(now, step)
                else:
                    checker.observe(now, step)
        except InvariantViolationError as violation:
            return text in str(violation)
        return False

    return shows


def differs_from_version(file: Path, differs: Callable[[Path], bool]) -> Property:
    """Return the property that another version decides differently.

    `differs` tests this on a capture, which is written to `file`.
    """

    def shows(resimulation: Resimulation) -> bool:
        resimulation.write_capture(file)
        return differs(file)

    return shows
