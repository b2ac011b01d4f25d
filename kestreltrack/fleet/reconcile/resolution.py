"""Resolved state of a destination, and the conflicting edits that staff have to resolve.  No I/O."""

from __future__ import annotations

from collections.abc import Mapping

import msgspec

from kestreltrack.fleet.reconcile.entries import ENROLLED_PREFIX, Entry, Key, Sibling, is_tombstone

# Fields without a rule that chooses between concurrent values.
MANUALLY_RESOLVED_FIELDS = ("address", "owner")


class Conflict(msgspec.Struct, frozen=True):
    """Concurrent values that only staff can choose between; an edit that replaces all siblings resolves it.

    Attributes:
        key: The field and the destination.
        siblings: The conflicting edits.
        fallback_value: The previous value that every member had; `None` if the destination is halted.
    """

    key: Key
    siblings: tuple[Sibling, ...]
    fallback_value: str | None

    def __str__(self) -> str:
        """Return the conflicting edits, the state until they are resolved, and how to resolve them."""
        edits = "; ".join(
            f"{sibling.author} set {sibling.value or 'none'} (at {sibling.edited_at_s})"
            for sibling in self.siblings
        )
        interim_state = f"{self.fallback_value} is used" if self.fallback_value else "it is halted"
        return (
            f"destination {self.key.destination} has several values of {self.key.field}: {edits}. Until one is set "
            f"again at any member, {interim_state}."
        )


class ResolvedDestination(msgspec.Struct, frozen=True):
    """The state of one destination, resolved from its entries.

    Attributes:
        enrolled: The classes and tenants that the destination is enrolled for.
        paused: Why it is paused; empty if it is not.
        address: Its address.
        owner: Its owner.
        conflicts: The conflicts of its fields.
        halted: Whether a field has no usable value until staff resolve its conflict.
    """

    enrolled: frozenset[tuple[str, str]]
    paused: str
    address: str
    owner: str
    conflicts: tuple[Conflict, ...]
    halted: bool


def find_conflict(entry: Entry) -> Conflict | None:
    """Return the conflict of an entry whose siblings differ and that no rule resolves; `None` if there is none."""
    has_one_value = len({sibling.value for sibling in entry.siblings}) < 2
    if entry.key.field not in MANUALLY_RESOLVED_FIELDS or has_one_value:
        return None
    ancestors = {sibling.stable_ancestor for sibling in entry.siblings}
    common_ancestor = next(iter(ancestors)) if len(ancestors) == 1 else None
    fallback_value = None
    if common_ancestor is not None:
        _, value = common_ancestor
        # An empty value is not usable.
        fallback_value = value or None
    return Conflict(entry.key, entry.siblings, fallback_value)


def resolve(entries: Mapping[str, Entry]) -> ResolvedDestination:
    """Return the state of one destination from its entries by field; it does not depend on clocks."""
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
            # Of several reasons to pause, any one suffices.
            values[field] = max((sibling.value for sibling in entry.siblings), default="")
        else:
            conflicts.append(conflict)
            values[field] = conflict.fallback_value or ""
    halted = any(conflict.fallback_value is None for conflict in conflicts)
    return ResolvedDestination(frozenset(enrolled), **values, conflicts=tuple(conflicts), halted=halted)
