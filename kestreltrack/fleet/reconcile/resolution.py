"""What a list says of one destination, and which conflicting edits staff have to settle.  No I/O."""

from __future__ import annotations

from collections.abc import Mapping

import msgspec

from kestreltrack.fleet.reconcile.entries import ENROLLED_PREFIX, Entry, Key, Sibling, is_tombstone

# Fields of which no rule can choose one of two values.
FIELDS_SETTLED_BY_STAFF = ("address", "owner")


class Conflict(msgspec.Struct, frozen=True):
    """Values that only staff can choose between; an edit made with knowledge of all siblings settles it.

    Attributes:
        key: The field and the destination.
        siblings: The conflicting edits.
        fallback_value: The value before them that every member had; `None`: the destination is halted.
    """

    key: Key
    siblings: tuple[Sibling, ...]
    fallback_value: str | None

    def __str__(self) -> str:
        """Return the conflicting edits, what holds meanwhile, and how to settle them."""
        edits = "; ".join(
            f"{sibling.author} set {sibling.value or 'none'} (at {sibling.edited_at_s})"
            for sibling in self.siblings
        )
        meanwhile = f"{self.fallback_value} is used" if self.fallback_value else "it is halted"
        return (
            f"destination {self.key.destination} has several values of {self.key.field}: {edits}. Until one is set "
            f"again at any member, {meanwhile}."
        )


class ResolvedDestination(msgspec.Struct, frozen=True):
    """What a list says of one destination.

    Attributes:
        enrolled: The classes and tenants that it is enrolled for.
        paused: Why it is paused; empty where it is not.
        address: Its address.
        owner: Its owner.
        conflicts: The conflicts of its fields.
        halted: Whether a field has no value to go on with until staff settle its conflict.
    """

    enrolled: frozenset[tuple[str, str]]
    paused: str
    address: str
    owner: str
    conflicts: tuple[Conflict, ...]
    halted: bool


def find_conflict(entry: Entry) -> Conflict | None:
    """Return the conflict of an entry whose siblings differ in what no rule decides."""
    has_one_value = len({sibling.value for sibling in entry.siblings}) < 2
    if entry.key.field not in FIELDS_SETTLED_BY_STAFF or has_one_value:
        return None
    ancestors = {sibling.stable_ancestor for sibling in entry.siblings}
    common_ancestor = next(iter(ancestors)) if len(ancestors) == 1 else None
    fallback_value = None
    if common_ancestor is not None:
        _, value = common_ancestor
        # An empty value cannot be used.
        fallback_value = value or None
    return Conflict(entry.key, entry.siblings, fallback_value)


def resolve(entries: Mapping[str, Entry]) -> ResolvedDestination:
    """Return what the entries of one destination say, by field; nothing here reads a clock."""
    enrolled = set[tuple[str, str]]()
    values = {"paused": "", "address": "", "owner": ""}
    conflicts = list[Conflict]()
    for field, entry in entries.items():
        if field.startswith(ENROLLED_PREFIX):
            if not is_tombstone(entry):
                _, message_class, tenant = field.split("/")
                enrolled.add((message_class, tenant))
            continue
        conflict = find_conflict(entry)
        if conflict is None:
            # Of several reasons to pause, any one will do.
            values[field] = max((sibling.value for sibling in entry.siblings), default="")
        else:
            conflicts.append(conflict)
            values[field] = conflict.fallback_value or ""
    halted = any(conflict.fallback_value is None for conflict in conflicts)
    return ResolvedDestination(frozenset(enrolled), **values, conflicts=tuple(conflicts), halted=halted)
