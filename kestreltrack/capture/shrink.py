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

from kestreltrack.capture.rerun import Day, Played, rerun
from kestreltrack.decision import api
from kestreltrack.rules.relay import Broken, Checker
from kestreltrack.snapshot.state import PolicyState

T = TypeVar("T")
Property = Callable[[Played], bool]


class NotShown(Exception):
    """The capture does not show the property to begin with."""


@dataclass(slots=True)
class Shrunk:
    """What is left, and what it took."""

    day: Day
    played: Played
    runs: int
    took_s: float
    before: tuple[int, int, int]
    after: tuple[int, int, int]
    """Destinations, messages, steps."""
    whole: bool = True
    """Whether it ended by itself, not by its limit."""


def ddmin(items: Sequence[T], shows: Callable[[Sequence[T]], bool]) -> list[T]:
    """A part of the items that still shows it, of which no single one can go; all of them must show it."""
    kept, parts = list(items), 2
    if kept and shows([]):
        return []
    while len(kept) > 1:
        size = -(-len(kept) // parts)
        chunks = [kept[at : at + size] for at in range(0, len(kept), size)]
        for n, chunk in enumerate(chunks):
            if len(chunks) > 2 and shows(chunk):
                kept, parts = chunk, 2
                break
            rest = [item for other in (*chunks[:n], *chunks[n + 1 :]) for item in other]
            if shows(rest):
                kept, parts = rest, max(parts - 1, 2)
                break
        else:
            if parts >= len(kept):
                break
            parts = min(len(kept), 2 * parts)
    return kept


def without(state: PolicyState, dests: set[int]) -> PolicyState:
    """A module's state with these destinations alone."""
    change = msgspec.structs.replace
    messages = [m for m in state.messages if m.dest in dests]
    held = {m.id for m in messages}
    numbers = [n for n, c in enumerate(state.calls) if c.dest in dests]
    renumbered = {old: new for new, old in enumerate(numbers)}
    kept = [
        change(
            d,
            guard=_trial(d.guard, renumbered),
            endpoints=[
                change(e, own=_trial(e.own, renumbered), calls=[renumbered[c] for c in e.calls])
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


def _trial(guard: T, renumbered: dict[int, int]) -> T:
    trial = getattr(guard, "trial", None)
    if guard is None or trial is None:
        return guard
    return msgspec.structs.replace(guard, trial=renumbered.get(trial))  # type: ignore[type-var]


def only_dests(day: Day, dests: Sequence[int]) -> Day:
    """What concerns these destinations."""
    chosen, outside = set(dests), list[tuple[float, api.Event]]()
    gone = set[str]()
    for at, event in day.outside:
        if isinstance(event, api.Arrived):
            if event.dest not in chosen:
                gone.add(event.id)
                continue
            gone.discard(event.id)
        elif isinstance(event, api.Withdrawn) and event.id in gone:
            continue
        elif isinstance(event, api.ListNews):
            entries = [entry for entry in event.entries if entry.dest in chosen]
            if not (entries or event.whole):
                continue
            event = replace(event, entries=entries)
        outside.append((at, event))
    return replace(day, state=without(day.state, chosen), outside=tuple(outside))


def only_ids(day: Day, ids: Sequence[str]) -> Day:
    """These messages of those that arrive."""
    chosen, arriving = set(ids), set(day.ids())
    return replace(
        day,
        outside=tuple(
            (at, event)
            for at, event in day.outside
            if not (
                isinstance(event, api.Arrived | api.Withdrawn)
                and event.id in arriving
                and event.id not in chosen
            )
        ),
    )


class Shrinker:
    """One reduction; `told` hears after each run how many there were and how large the day is."""

    def __init__(
        self, shows: Property, most_runs: int, most_s: float, told: Callable[[int, Day], None] | None = None
    ) -> None:
        """Ends after so many runs or seconds with what it has."""
        self._shows, self._most_runs, self._most_s, self._told = shows, most_runs, most_s, told
        self.runs, self._began = 0, time.monotonic()
        self._known: dict[object, bool] = {}

    def _spent(self) -> bool:
        return self.runs >= self._most_runs or time.monotonic() - self._began > self._most_s

    def _try(self, day: Day) -> bool:
        key = (tuple((at, repr(event)) for at, event in day.outside), day.until, len(day.state.dests))
        if hash(key) in self._known:
            return self._known[hash(key)]
        if self._spent():
            return False
        self.runs += 1
        found = self._known[hash(key)] = self._shows(rerun(day))
        if self._told:
            self._told(self.runs, day)
        return found

    def shrink(self, day: Day) -> Shrunk:
        """As small as it gets; raises `NotShown`."""
        first = rerun(day)
        self.runs += 1
        if not self._shows(first):
            raise NotShown("the whole day, played anew, does not show it")
        before, size = (len(day.dests()), len(day.ids()), len(first.steps)), 0
        while size != (size := len(day.outside) + len(day.state.dests)) and not self._spent():
            day = self._early(day)
            day = self._by(day, day.dests(), only_dests)
            day = self._by(day, day.ids(), only_ids)
            day = self._by(day, list(range(len(day.outside))), _only_events)
            day = self._early(day)
        played = rerun(day)
        after = (len(day.dests()), len(day.ids()), len(played.steps))
        took = time.monotonic() - self._began
        return Shrunk(day, played, self.runs, took, before, after, not self._spent())

    def _by(self, day: Day, items: Sequence[T], only: Callable[[Day, Sequence[T]], Day]) -> Day:
        return only(day, ddmin(items, lambda kept: self._try(only(day, kept))))

    def _early(self, day: Day) -> Day:
        """End the day sooner: by halves, then by what is left."""
        low, high = 0, len(day.outside)
        while low < high and not self._spent():
            middle = (low + high) // 2
            if self._try(_first(day, middle)):
                high = middle
            else:
                low = middle + 1
        shorter = _first(day, high)
        return shorter if high < len(day.outside) and self._try(shorter) else day


def _only_events(day: Day, places: Sequence[int]) -> Day:
    return replace(day, outside=tuple(day.outside[n] for n in places))


def _first(day: Day, count: int) -> Day:
    outside = day.outside[:count]
    return replace(day, outside=outside, until=outside[-1][0] if outside else day.clock)


# Properties ----------------------------------------------------------------------------------------


def end_of(id_: str, word: str) -> Property:
    """A message ends as `delivered`, `refused`, `failed`, or `none` by the end of the day."""

    def shows(played: Played) -> bool:
        arrived, end = False, "none"
        for _, what in played.steps:
            if isinstance(what, api.Arrived) and what.id == id_:
                arrived, end = True, "none"
            elif isinstance(what, api.Ended) and what.id == id_ and what.outcome is api.Outcome.OK:
                end = "delivered" if end == "none" else end
            elif isinstance(what, list):
                for action in what:
                    if isinstance(action, api.Refuse | api.Fail) and action.id == id_:
                        end = "refused" if isinstance(action, api.Refuse) else "failed"
        return arrived and end == word

    return shows


def breaks(words: str) -> Property:
    """A rule is broken whose text holds these words; the rules are those of `kestreltrack/rules/`."""

    def shows(played: Played) -> bool:
        checker = Checker(played.settings)
        checker.known(played.state)
        try:
            for now, what in played.steps:
                if isinstance(what, list):
                    checker.judge(now, what)
                else:
                    checker.hear(now, what)
        except Broken as broken:
            return words in str(broken)
        return False

    return shows


def parts_from(files: Path, compare: Callable[[Path], bool]) -> Property:
    """Another version decides otherwise somewhere: `compare` says so of a capture, kept in a file of that name."""

    def shows(played: Played) -> bool:
        played.keep(files)
        return compare(files)

    return shows
