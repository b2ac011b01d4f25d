"""Chooses the endpoint list that a process starts with: the newest that this sender was told.  No I/O."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from enum import StrEnum

from kestreltrack.discovery import EndpointList
from kestreltrack.discovery.endpoint_list import comparable
from kestreltrack.ports import EndpointListUpdate


class ListOrigin(StrEnum):
    """Where the first list of a process comes from."""

    NONE = "none"
    CONFIGURATION = "configuration"
    JOURNAL = "journal"  # of an earlier process
    OTHER_PROCESS = "other process"  # which is still running


@dataclass(frozen=True, slots=True)
class InitialList:
    """The list that a process starts with; without an update there is none."""

    origin: ListOrigin = ListOrigin.NONE
    update: EndpointListUpdate | None = None


def choose_initial_list(
    configured: EndpointListUpdate | None,
    journaled: EndpointListUpdate | None,
    other_process: EndpointListUpdate | None,
) -> InitialList:
    """Return the newest list.

    Of two lists with the same revision, or with revisions that can't be compared, the later one of these parameters
    is taken: it was told last.
    """
    chosen = InitialList()
    candidates = (
        (ListOrigin.CONFIGURATION, configured),
        (ListOrigin.JOURNAL, journaled),
        (ListOrigin.OTHER_PROCESS, other_process),
    )
    for origin, update in candidates:
        if update is not None and not _is_older(update, chosen.update):
            chosen = InitialList(origin, update)
    return chosen


def _is_older(update: EndpointListUpdate, other: EndpointListUpdate | None) -> bool:
    return other is not None and comparable(update.source, other.source) and update.revision < other.revision


def merge_updates(updates: Iterable[EndpointListUpdate]) -> EndpointListUpdate | None:
    """Return the list that results from complete lists and changes, in order; `None` without a complete list."""
    merged: EndpointList | None = None
    for update in updates:
        if update.complete:
            merged = EndpointList()
        if merged is not None:
            merged.apply(update)
    return merged.snapshot() if merged else None
