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
VersionVector = dict[Count, Count]  # of each replica all edits up to a number

MAX_SIBLINGS = 16
Text = Annotated[str, Meta(max_length=64)]


class Key(msgspec.Struct, array_like=True, frozen=True, order=True):
    """A field of one partner: `enrolled/CLASS/FIRM`, `paused`, `address` or `owner`."""

    destination: Annotated[str, Meta(min_length=1, max_length=32)]
    field: Annotated[str, Meta(pattern="^(enrolled/[^/]{1,24}/[^/]{1,24}|paused|address|owner)$")]


class Sibling(msgspec.Struct, array_like=True, frozen=True, order=True):
    """One edit that no later one has replaced; an empty value takes back what was said."""

    dot: Dot
    value: Text
    author: Annotated[str, Meta(max_length=32)]  # for staff; nothing is decided by it, nor by the time
    edited_at_s: Count
    stable_ancestor: tuple[Dot, Text] | None = None  # the newest value before it that every member had


class Entry(msgspec.Struct, array_like=True, frozen=True):
    """All that is held of one key; sides and context are in order, so that equal ones have equal bytes."""

    key: Key
    siblings: Annotated[tuple[Sibling, ...], Meta(max_length=MAX_SIBLINGS)]
    context: tuple[Dot, ...]


ENCODE = msgspec.msgpack.Encoder().encode


def contains_dot(dot: Dot, vector: Mapping[int, int]) -> bool:
    """Whether a vector covers it."""
    return dot[1] <= vector.get(dot[0], 0)


def contains_context(vector: Mapping[int, int], context: tuple[Dot, ...]) -> bool:
    """Whether a vector covers all of a context."""
    return all(contains_dot(dot, vector) for dot in context)


def merge_vectors(one: Mapping[int, int], other: Mapping[int, int]) -> VersionVector:
    """The larger of each."""
    return {replica: max(one.get(replica, 0), other.get(replica, 0)) for replica in one.keys() | other.keys()}


def join(local: Entry | None, remote: Entry, is_known: Callable[[Dot], bool]) -> Entry | None:
    """Both together; `seen`: whether a dot was taken in here before, whatever has become of it.

    `None` where nothing of theirs is news and nothing is held here: it was dropped.
    """
    had = dict(local.context) if local else {}
    gave = dict(remote.context)
    ours = {side.dot: side for side in local.siblings} if local else {}
    other = {side.dot: side for side in remote.siblings}
    sides = [side for dot, side in ours.items() if dot in other or not contains_dot(dot, gave)]
    sides += [
        side
        for dot, side in other.items()
        if dot not in ours and not contains_dot(dot, had) and not is_known(dot)
    ]
    if local is None and not sides and all(is_known(dot) for dot in remote.context):
        return None
    return Entry(remote.key, tuple(sorted(sides)), tuple(sorted(merge_vectors(had, gave).items())))


# What it means -----------------------------------------------------------------------------------


def is_tombstone(entry: Entry) -> bool:
    """Whether it says nothing any more: withdrawn beats enrolled, paused beats resumed."""
    empty = [not side.value for side in entry.siblings]
    return any(empty) or not empty if entry.key.field.startswith("enrolled") else all(empty)


class Conflict(msgspec.Struct, frozen=True):
    """Values that only staff can choose between; an edit that has seen all sides settles it."""

    key: Key
    siblings: tuple[Sibling, ...]
    fallback_value: str | None  # what all sides knew; `None`: the partner stands still

    def __str__(self) -> str:
        """For staff, with the way out."""
        said = "; ".join(
            f"{side.author} said {side.value or 'none'} (at {side.edited_at_s})" for side in self.siblings
        )
        until = f"it goes on by {self.fallback_value}" if self.fallback_value else "it stands still"
        return (
            f"partner {self.key.destination} has two of {self.key.field}: {said}. Until one is set again at any member, "
            f"{until}."
        )


class ResolvedDestination(msgspec.Struct, frozen=True):
    """What a list says of one partner."""

    enrolled: frozenset[tuple[str, str]]  # class and firm
    paused: str
    address: str
    owner: str
    conflicts: tuple[Conflict, ...]
    halted: bool


def find_conflict(entry: Entry) -> Conflict | None:
    """Whether its sides differ in what no rule decides."""
    if entry.key.field not in ("address", "owner") or len({side.value for side in entry.siblings}) < 2:
        return None
    knew = {side.stable_ancestor for side in entry.siblings}
    common = next(iter(knew)) if len(knew) == 1 else None
    return Conflict(entry.key, entry.siblings, (common[1] or None) if common else None)


def resolve(entries: Mapping[str, Entry]) -> ResolvedDestination:
    """One partner's fields, by name, as they are to be acted on; nothing here looks at a clock."""
    enrolled, values, conflicts = (
        set[tuple[str, str]](),
        {"paused": "", "address": "", "owner": ""},
        list[Conflict](),
    )
    for name, entry in entries.items():
        if name.startswith("enrolled/"):
            if not is_tombstone(entry):
                _, cls, firm = name.split("/")
                enrolled.add((cls, firm))
        elif found := find_conflict(entry):
            conflicts.append(found)
            values[name] = found.fallback_value or ""
        else:
            values[name] = max((side.value for side in entry.siblings), default="")  # of reasons any one
    still = any(found.fallback_value is None for found in conflicts)
    return ResolvedDestination(frozenset(enrolled), **values, conflicts=tuple(conflicts), halted=still)
