"""Entries of a list: the current edits of a key, and the edits that they have replaced.  No I/O.

The list is a delta-state replicated map (Almeida, Shoker and Baquero, "Delta state replicated data types", 2018) of
multi-value registers: each key holds its *siblings* under dotted version vectors (Preguiça, Baquero and others,
"Dotted version vectors", 2012).  A *dot* is one edit: the replica that made it, and its number there.  The *context*
of a key holds the newest dot of each replica that has ever edited it; a dot that the context covers and that is no
sibling has been replaced.  The join of two states of a key is commutative, associative and idempotent.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from typing import Annotated

import msgspec
from msgspec import Meta

Count = Annotated[int, Meta(ge=0, le=2**63 - 1)]
# The id of a replica, and the sequence number of its edit.
Dot = tuple[Count, Count]
# By replica id, the sequence number up to which all its edits are covered.
VersionVector = dict[Count, Count]

# Bounds the size of an entry: fewer members than this edit one key while they are partitioned from each other.
MAX_SIBLINGS = 16
Text = Annotated[str, Meta(max_length=64)]

# Prefix of the field of an enrolment; a class and a tenant follow.
ENROLLED_PREFIX = "enrolled/"


class Key(msgspec.Struct, array_like=True, frozen=True, order=True):
    """A field of one destination: `enrolled/CLASS/TENANT`, `paused`, `address` or `owner`."""

    destination: Annotated[str, Meta(min_length=1, max_length=32)]
    field: Annotated[str, Meta(pattern="^(enrolled/[^/]{1,24}/[^/]{1,24}|paused|address|owner)$")]


class Sibling(msgspec.Struct, array_like=True, frozen=True, order=True):
    """An edit that no later one has replaced.

    Attributes:
        dot: The edit.
        value: The new value; an empty one withdraws the previous value.
        author: Who made the edit; shown to staff, and not used in any decision.
        edited_at_s: The Unix time of the edit in seconds; shown to staff, and not used in any decision.
        stable_ancestor: The newest earlier edit that every member had received, and its value.
    """

    dot: Dot
    value: Text
    author: Annotated[str, Meta(max_length=32)]
    edited_at_s: Count
    stable_ancestor: tuple[Dot, Text] | None = None


class Entry(msgspec.Struct, array_like=True, frozen=True):
    """The state of one key; siblings and context are sorted, so that equal entries have equal encodings."""

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


def merge_vectors(first: Mapping[int, int], second: Mapping[int, int]) -> VersionVector:
    """Return the vector with the larger number of each replica."""
    return {
        replica: max(first.get(replica, 0), second.get(replica, 0))
        for replica in first.keys() | second.keys()
    }


def merge_contexts(first: Mapping[int, int], second: Mapping[int, int]) -> tuple[Dot, ...]:
    """Return the context that covers both."""
    return tuple(sorted(merge_vectors(first, second).items()))


def join(local: Entry | None, remote: Entry, is_known: Callable[[Dot], bool]) -> Entry | None:
    """Return the join of two states of a key.

    Args:
        local: The local state; `None` if there is no entry of the key.
        remote: The state of another member.
        is_known: Returns whether a dot was received before, even if it has been replaced or dropped since.

    Returns:
        The join; `None` if there is no local entry and all dots of `remote` are known: the entry was dropped.
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
    """Return whether an entry no longer sets a value.

    Among concurrent edits, a withdrawal wins over an enrolment, and a pause over a resumption.
    """
    is_empty = [not sibling.value for sibling in entry.siblings]
    if entry.key.field.startswith(ENROLLED_PREFIX):
        return any(is_empty) or not is_empty
    return all(is_empty)
