"""One key of a list: what is said of it, by whom, and what has been said before.  No I/O.

The list is a delta-state replicated map (Almeida, Shoker and Baquero, 2018) of registers with several values: each
key holds its *sides* under dotted version vectors (Preguiça, Baquero and others, 2012).  A dot is one edit: who made
it, and its number there.  A key's *context* holds the newest dot of each replica that was ever said of it; a dot
within the context that is no side has been replaced.  The join of two states of a key is the same in any order, and
twice.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from typing import Annotated

import msgspec
from msgspec import Meta

Count = Annotated[int, Meta(ge=0, le=2**63 - 1)]
Dot = tuple[Count, Count]  # the replica's id, and the number of its edit
Vector = dict[Count, Count]  # of each replica all edits up to a number

MOST_SIDES = 16
Text = Annotated[str, Meta(max_length=64)]


class Key(msgspec.Struct, array_like=True, frozen=True, order=True):
    """A field of one partner: `enrolled/CLASS/FIRM`, `paused`, `address` or `owner`."""

    partner: Annotated[str, Meta(min_length=1, max_length=32)]
    field: Annotated[str, Meta(pattern="^(enrolled/[^/]{1,24}/[^/]{1,24}|paused|address|owner)$")]


class Side(msgspec.Struct, array_like=True, frozen=True, order=True):
    """One edit that no later one has replaced; an empty value takes back what was said."""

    dot: Dot
    value: Text
    by: Annotated[str, Meta(max_length=32)]  # for staff; nothing is decided by it, nor by the time
    at_s: Count
    knew: tuple[Dot, Text] | None = None  # the newest value before it that every member had


class Entry(msgspec.Struct, array_like=True, frozen=True):
    """All that is held of one key; sides and context are in order, so that equal ones have equal bytes."""

    key: Key
    sides: Annotated[tuple[Side, ...], Meta(max_length=MOST_SIDES)]
    context: tuple[Dot, ...]


ENCODE = msgspec.msgpack.Encoder().encode


def within(dot: Dot, vector: Mapping[int, int]) -> bool:
    """Whether a vector covers it."""
    return dot[1] <= vector.get(dot[0], 0)


def covers(vector: Mapping[int, int], context: tuple[Dot, ...]) -> bool:
    """Whether a vector covers all of a context."""
    return all(within(dot, vector) for dot in context)


def merged(one: Mapping[int, int], other: Mapping[int, int]) -> Vector:
    """The larger of each."""
    return {replica: max(one.get(replica, 0), other.get(replica, 0)) for replica in one.keys() | other.keys()}


def join(mine: Entry | None, theirs: Entry, seen: Callable[[Dot], bool]) -> Entry | None:
    """Both together; `seen`: whether a dot was taken in here before, whatever has become of it.

    `None` where nothing of theirs is news and nothing is held here: it was dropped.
    """
    had = dict(mine.context) if mine else {}
    gave = dict(theirs.context)
    ours = {side.dot: side for side in mine.sides} if mine else {}
    other = {side.dot: side for side in theirs.sides}
    sides = [side for dot, side in ours.items() if dot in other or not within(dot, gave)]
    sides += [
        side for dot, side in other.items() if dot not in ours and not within(dot, had) and not seen(dot)
    ]
    if mine is None and not sides and all(seen(dot) for dot in theirs.context):
        return None
    return Entry(theirs.key, tuple(sorted(sides)), tuple(sorted(merged(had, gave).items())))


# What it means -----------------------------------------------------------------------------------


def gone(entry: Entry) -> bool:
    """Whether it says nothing any more: withdrawn beats enrolled, paused beats resumed."""
    empty = [not side.value for side in entry.sides]
    return any(empty) or not empty if entry.key.field.startswith("enrolled") else all(empty)


class Conflict(msgspec.Struct, frozen=True):
    """Values that only staff can choose between; an edit that has seen all sides settles it."""

    key: Key
    sides: tuple[Side, ...]
    goes_on_by: str | None  # what all sides knew; `None`: the partner stands still

    def __str__(self) -> str:
        """For staff, with the way out."""
        said = "; ".join(f"{side.by} said {side.value or 'none'} (at {side.at_s})" for side in self.sides)
        until = f"it goes on by {self.goes_on_by}" if self.goes_on_by else "it stands still"
        return (
            f"partner {self.key.partner} has two of {self.key.field}: {said}. Until one is set again at any member, "
            f"{until}."
        )


class Reading(msgspec.Struct, frozen=True):
    """What a list says of one partner."""

    enrolled: frozenset[tuple[str, str]]  # class and firm
    paused: str
    address: str
    owner: str
    conflicts: tuple[Conflict, ...]
    stands_still: bool


def conflict(entry: Entry) -> Conflict | None:
    """Whether its sides differ in what no rule decides."""
    if entry.key.field not in ("address", "owner") or len({side.value for side in entry.sides}) < 2:
        return None
    knew = {side.knew for side in entry.sides}
    common = next(iter(knew)) if len(knew) == 1 else None
    return Conflict(entry.key, entry.sides, (common[1] or None) if common else None)


def read(entries: Mapping[str, Entry]) -> Reading:
    """One partner's fields, by name, as they are to be acted on; nothing here looks at a clock."""
    enrolled, values, conflicts = (
        set[tuple[str, str]](),
        {"paused": "", "address": "", "owner": ""},
        list[Conflict](),
    )
    for name, entry in entries.items():
        if name.startswith("enrolled/"):
            if not gone(entry):
                _, cls, firm = name.split("/")
                enrolled.add((cls, firm))
        elif found := conflict(entry):
            conflicts.append(found)
            values[name] = found.goes_on_by or ""
        else:
            values[name] = max((side.value for side in entry.sides), default="")  # of reasons any one
    still = any(found.goes_on_by is None for found in conflicts)
    return Reading(frozenset(enrolled), **values, conflicts=tuple(conflicts), stands_still=still)
