"""One key of a list: the edits that hold, by whom, and which edits came before.  No I/O.

The list is a delta-state replicated map (Almeida, Shoker and Baquero, "Delta state replicated data types", 2018) of
multi-value registers: each key holds its *siblings* under dotted version vectors (Preguiça, Baquero and others,
"Dotted version vectors", 2012).  A *dot* is one edit: the replica that made it, and its number there.  The *context*
of a key holds the newest dot of each replica that was ever made on it; a dot within the context that is no sibling
has been replaced.  The join of two states of a key is commutative, associative and idempotent.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from typing import Annotated

import msgspec
from msgspec import Meta

Count = Annotated[int, Meta(ge=0, le=2**63 - 1)]
# The id of a replica, and the number of its edit.
Dot = tuple[Count, Count]
# By replica id: all its edits up to this number.
VersionVector = dict[Count, Count]

# A bound on the size of an entry: fewer members than this edit one key while they are cut off from each other.
MAX_SIBLINGS = 16
Text = Annotated[str, Meta(max_length=64)]

# Fields of a destination; `ENROLLED_PREFIX` is followed by a class and a tenant.
ENROLLED_PREFIX = "enrolled/"


class Key(msgspec.Struct, array_like=True, frozen=True, order=True):
    """A field of one destination: `enrolled/CLASS/TENANT`, `paused`, `address` or `owner`."""

    destination: Annotated[str, Meta(min_length=1, max_length=32)]
    field: Annotated[str, Meta(pattern="^(enrolled/[^/]{1,24}/[^/]{1,24}|paused|address|owner)$")]


class Sibling(msgspec.Struct, array_like=True, frozen=True, order=True):
    """One edit that no later one has replaced.

    Attributes:
        dot: The edit.
        value: The value that it sets; an empty one takes back the value before.
        author: Who made it; for staff alone, nothing is decided by it.
        edited_at_s: The Unix time of the edit in seconds; for staff alone, nothing is decided by it.
        stable_ancestor: The newest edit before it that every member had, and its value.
    """

    dot: Dot
    value: Text
    author: Annotated[str, Meta(max_length=32)]
    edited_at_s: Count
    stable_ancestor: tuple[Dot, Text] | None = None


class Entry(msgspec.Struct, array_like=True, frozen=True):
    """All that is held of one key; siblings and context are sorted, so that equal entries have equal bytes."""

    key: Key
    siblings: Annotated[tuple[Sibling, ...], Meta(max_length=MAX_SIBLINGS)]
    context: tuple[Dot, ...]


ENCODE = msgspec.msgpack.Encoder().encode


def contains_dot(dot: Dot, vector: Mapping[int, int]) -> bool:
    """Return whether a vector covers a dot."""
    replica_id, number = dot
    return number <= vector.get(replica_id, 0)


def contains_context(vector: Mapping[int, int], context: tuple[Dot, ...]) -> bool:
    """Return whether a vector covers all dots of a context."""
    return all(contains_dot(dot, vector) for dot in context)


def merge_vectors(one: Mapping[int, int], other: Mapping[int, int]) -> VersionVector:
    """Return the larger number of each replica."""
    return {replica: max(one.get(replica, 0), other.get(replica, 0)) for replica in one.keys() | other.keys()}


def merge_contexts(one: Mapping[int, int], other: Mapping[int, int]) -> tuple[Dot, ...]:
    """Return the context that covers both."""
    return tuple(sorted(merge_vectors(one, other).items()))


def join(local: Entry | None, remote: Entry, is_known: Callable[[Dot], bool]) -> Entry | None:
    """Return the join of two states of a key.

    Args:
        local: The state here; `None` where the key is not held.
        remote: The state of another member.
        is_known: Returns whether a dot was received here before, whatever has become of it.

    Returns:
        The join; `None` where all of `remote` is known and the key is not held here: it was dropped.
    """
    local_context = dict(local.context) if local else {}
    remote_context = dict(remote.context)
    local_siblings = {sibling.dot: sibling for sibling in local.siblings} if local else {}
    remote_siblings = {sibling.dot: sibling for sibling in remote.siblings}
    siblings = [
        sibling
        for dot, sibling in local_siblings.items()
        if dot in remote_siblings or not contains_dot(dot, remote_context)
    ]
    siblings += [
        sibling
        for dot, sibling in remote_siblings.items()
        if dot not in local_siblings and not contains_dot(dot, local_context) and not is_known(dot)
    ]
    if local is None and not siblings and all(is_known(dot) for dot in remote.context):
        return None
    return Entry(remote.key, tuple(sorted(siblings)), merge_contexts(local_context, remote_context))


def is_tombstone(entry: Entry) -> bool:
    """Return whether an entry sets no value any more.

    Of concurrent edits a withdrawal wins against an enrolment, and a pause against a resumption.
    """
    is_empty = [not sibling.value for sibling in entry.siblings]
    if entry.key.field.startswith(ENROLLED_PREFIX):
        return any(is_empty) or not is_empty
    return all(is_empty)
