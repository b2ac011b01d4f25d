"""The differences between two documents, which of them are incompatible, and the intersection of both.  No I/O.

A change is *incompatible* if a sender on the new document and one on the old document could contradict each other:
one does what the document of the other forbids.  All other changes are compatible.  The *intersection* of two
documents allows only what both allow.

| key | incompatible | intersection |
| --- | --- | --- |
| home of a destination | another home, or none | no home where they differ: no sender starts a call |
| fractions of a limit, shares | the sum of the larger values is over 1 | the smaller of each |
| budgets, levels | a smaller limit, as some senders still use the larger | the smaller |
| paused, excluded | a destination starts or stops being paused or excluded | paused or excluded if it is in either |
| lists (destinations, classes, tenants) | an item is removed | what both have |
"""

from __future__ import annotations

import math
from collections.abc import Iterator, Mapping
from typing import NamedTuple

import msgspec

from kestreltrack.fleet.replicated_config.document import (
    MAX_TOTAL_SHARE,
    ConfigDocument,
    DestinationRules,
    LimitSettings,
    RegionAssignment,
)

# The assignment of a destination that a document does not assign to a region.
NO_ASSIGNMENT = RegionAssignment("")


class KeyChange(NamedTuple):
    """A key that differs between two documents, and whether the change is incompatible."""

    key: str
    incompatible: bool


# Differences


def changed_keys(old: ConfigDocument, new: ConfigDocument) -> Iterator[KeyChange]:
    """Yield each key that differs, grouped by section and sorted by name."""
    yield from _limit_changes("settings.budgets", old.settings.budgets, new.settings.budgets)
    yield from _limit_changes("settings.levels", old.settings.levels, new.settings.levels)
    if old.settings.shares != new.settings.shares:
        largest_total = _max_total(old.settings.shares, new.settings.shares)
        yield KeyChange("settings.shares", largest_total > MAX_TOTAL_SHARE)
    for name in _differing_names(old.destinations, new.destinations):
        yield from _destination_changes(
            f"partners.{name}", old.destinations.get(name), new.destinations.get(name)
        )
    for name in _differing_names(old.assignments, new.assignments):
        yield from _assignment_changes(
            f"claims.{name}",
            old.assignments.get(name, NO_ASSIGNMENT),
            new.assignments.get(name, NO_ASSIGNMENT),
        )


def incompatible_keys(old: ConfigDocument, new: ConfigDocument) -> tuple[str, ...]:
    """Return the keys whose change is incompatible."""
    return tuple(change.key for change in changed_keys(old, new) if change.incompatible)


def _differing_names(old: Mapping[str, object], new: Mapping[str, object]) -> list[str]:
    return sorted(name for name in old.keys() | new.keys() if old.get(name) != new.get(name))


def _limit_changes(key: str, old: Mapping[str, float], new: Mapping[str, float]) -> Iterator[KeyChange]:
    for name in _differing_names(old, new):
        yield KeyChange(f"{key}.{name}", new.get(name, math.inf) < old.get(name, math.inf))


def _max_total(old: Mapping[str, float], new: Mapping[str, float]) -> float:
    """Return the largest total use while some senders act on the old shares and others on the new ones."""
    return math.fsum(max(old.get(name, 0.0), new.get(name, 0.0)) for name in old.keys() | new.keys())


def _destination_changes(
    key: str, old: DestinationRules | None, new: DestinationRules | None
) -> Iterator[KeyChange]:
    if old is None or new is None:
        yield KeyChange(key, new is None)
        return
    # A different reason for the same state is compatible.
    if old.pause_reason != new.pause_reason:
        yield KeyChange(f"{key}.paused", bool(old.pause_reason) != bool(new.pause_reason))
    if old.exclusion_reason != new.exclusion_reason:
        yield KeyChange(f"{key}.out", bool(old.exclusion_reason) != bool(new.exclusion_reason))
    if old.classes != new.classes:
        yield KeyChange(f"{key}.classes", not old.classes <= new.classes)
    if old.tenants != new.tenants:
        yield KeyChange(f"{key}.firms", not old.tenants <= new.tenants)


def _assignment_changes(key: str, old: RegionAssignment, new: RegionAssignment) -> Iterator[KeyChange]:
    if old.home != new.home:
        yield KeyChange(f"{key}.home", bool(old.home))
    if old.standby != new.standby:
        # A standby starts no calls while it is not the home.
        yield KeyChange(f"{key}.standby", False)
    if old.limit_fractions != new.limit_fractions:
        largest_total = _max_total(old.limit_fractions, new.limit_fractions)
        yield KeyChange(f"{key}.parts", largest_total > MAX_TOTAL_SHARE)


# Intersection


def intersection(old: ConfigDocument, new: ConfigDocument) -> ConfigDocument:
    """Return the document that allows only what both allow; it has the version of `old`."""
    settings = LimitSettings(
        budgets=_min_limits(old.settings.budgets, new.settings.budgets),
        levels=_min_limits(old.settings.levels, new.settings.levels),
        shares=_min_shares(old.settings.shares, new.settings.shares),
    )
    destinations = {
        name: _destination_intersection(rules, new.destinations[name])
        for name, rules in old.destinations.items()
        if name in new.destinations
    }
    assignments = {
        name: _assignment_intersection(assignment, new.assignments[name])
        for name, assignment in old.assignments.items()
        if name in new.assignments
    }
    return ConfigDocument(old.name, old.epoch, old.revision, settings, destinations, assignments)


def without_lease(document: ConfigDocument) -> ConfigDocument:
    """Return what a sender without a lease may do: it starts no calls, as its document may be superseded."""
    assignments = {
        name: RegionAssignment("", assignment.standby) for name, assignment in document.assignments.items()
    }
    destinations = {
        name: msgspec.structs.replace(rules, pause_reason=rules.pause_reason or "this sender has no lease")
        for name, rules in document.destinations.items()
    }
    return msgspec.structs.replace(document, destinations=destinations, assignments=assignments)


def _destination_intersection(old: DestinationRules, new: DestinationRules) -> DestinationRules:
    return DestinationRules(
        classes=old.classes & new.classes,
        tenants=old.tenants & new.tenants,
        pause_reason=old.pause_reason or new.pause_reason,
        exclusion_reason=old.exclusion_reason or new.exclusion_reason,
    )


def _assignment_intersection(old: RegionAssignment, new: RegionAssignment) -> RegionAssignment:
    return RegionAssignment(
        home=old.home if old.home == new.home else "",
        standby=old.standby if old.standby == new.standby else "",
        limit_fractions=_min_shares(old.limit_fractions, new.limit_fractions),
    )


def _min_limits(old: Mapping[str, float], new: Mapping[str, float]) -> dict[str, float]:
    """Return the smaller of each limit; a missing limit is unbounded."""
    return {name: min(old.get(name, math.inf), new.get(name, math.inf)) for name in old.keys() | new.keys()}


def _min_shares(old: Mapping[str, float], new: Mapping[str, float]) -> dict[str, float]:
    """Return the smaller of each share; a missing share is zero."""
    return {name: min(share, new[name]) for name, share in old.items() if name in new}
