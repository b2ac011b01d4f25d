"""Chooses the endpoints to serve where the memory does not hold the whole list.  No I/O.

Each destination keeps some of its endpoints, as many as any other, as long as there is room for one of each; after
that the destinations that messages are for come first.  Which endpoints are kept depends on their uids, so that the
same ones are kept when the list comes again.
"""

from __future__ import annotations

import heapq
import zlib
from collections.abc import Container, Iterable
from dataclasses import replace

from kestreltrack.decision import EndpointLifecycle
from kestreltrack.discovery.endpoint_list import EndpointList
from kestreltrack.ports import EndpointListUpdate, ListedEndpoint

# Factor on the number of endpoints of a destination when all together are too many.
REDUCTION = 0.75

# Sorts the endpoints of a destination, the first to be omitted first: those that take no calls, then by their uids.
_Ranked = tuple[bool, int, str, ListedEndpoint]


def _ranked(endpoint: ListedEndpoint) -> _Ranked:
    is_up = endpoint.state is EndpointLifecycle.UP
    return is_up, -zlib.crc32(endpoint.uid.encode()), endpoint.uid, endpoint


class EndpointSelection:
    """The entries of a complete list, of which a part for each destination is kept if they are too many.

    Attributes:
        received: The number of entries that were added.
        omitted: The number of those that are not kept.
    """

    def __init__(self, max_endpoints: float, wanted: Container[int] = ()) -> None:
        """Keep no more than `max_endpoints`, rather those of the destinations in `wanted` than of others."""
        self.received = 0
        self._wanted = wanted
        self._max_endpoints = max_endpoints
        # All entries, in the order of the list, as long as they are not too many.
        self._all: list[ListedEndpoint] | None = []
        # After that the entries by destination, each a heap.
        self._by_dest = dict[int, list[_Ranked]]()
        self._kept = 0
        self._max_per_dest = 0
        # The destinations with the next one to be omitted first, once there is room for one endpoint of each only.
        self._ranked_dests = list[tuple[bool, int, int]]()

    @property
    def omitted(self) -> int:
        """The number of entries that are not kept."""
        return 0 if self._all is not None else self.received - self._kept

    def add(self, endpoint: ListedEndpoint) -> None:
        """Add the next entry of the list."""
        self.received += 1
        if self._all is None:
            self._add_to_dest(endpoint)
            return
        self._all.append(endpoint)
        if len(self._all) > self._max_endpoints:
            endpoints, self._all = self._all, None
            self._max_per_dest = len(endpoints)
            for earlier in endpoints:
                self._add_to_dest(earlier)

    def endpoints(self) -> tuple[ListedEndpoint, ...]:
        """Return the entries that are kept."""
        if self._all is not None:
            return tuple(self._all)
        return tuple(ranked[-1] for group in self._by_dest.values() for ranked in sorted(group))

    def _add_to_dest(self, endpoint: ListedEndpoint) -> None:
        group = self._by_dest.setdefault(endpoint.dest, [])
        if len(group) >= self._max_per_dest:
            heapq.heappushpop(group, _ranked(endpoint))
            return
        heapq.heappush(group, _ranked(endpoint))
        self._kept += 1
        if not group[1:] and self._ranked_dests:
            heapq.heappush(self._ranked_dests, self._ranked_dest(endpoint.dest))
        while self._kept > self._max_endpoints:
            self._reduce()

    def _reduce(self) -> None:
        if self._max_per_dest == 1:
            self._omit_destination()
            return
        largest = max(map(len, self._by_dest.values()))
        self._max_per_dest = max(1, int(REDUCTION * largest))
        for group in self._by_dest.values():
            while len(group) > self._max_per_dest:
                heapq.heappop(group)
                self._kept -= 1

    def _omit_destination(self) -> None:
        if not self._ranked_dests:
            self._ranked_dests = [self._ranked_dest(dest) for dest in self._by_dest]
            heapq.heapify(self._ranked_dests)
        *_, dest = heapq.heappop(self._ranked_dests)
        self._kept -= len(self._by_dest.pop(dest))

    def _ranked_dest(self, dest: int) -> tuple[bool, int, int]:
        return dest in self._wanted, -zlib.crc32(b"%d" % dest), dest


def fit_update(
    update: EndpointListUpdate,
    endpoint_list: EndpointList,
    max_endpoints: float,
    wanted: Container[int] = (),
) -> EndpointListUpdate:
    """Return what can be taken of an update, so that the list has no more than `max_endpoints` afterwards."""
    if update.complete:
        return _fit_complete_list(update, max_endpoints, wanted)
    return _fit_changes(update, endpoint_list, max_endpoints)


def _fit_complete_list(
    update: EndpointListUpdate, max_endpoints: float, wanted: Container[int]
) -> EndpointListUpdate:
    if len(update.endpoints) <= max_endpoints:
        return update
    selection = EndpointSelection(max_endpoints, wanted)
    for endpoint in update.endpoints:
        selection.add(endpoint)
    return replace(update, endpoints=selection.endpoints(), omitted=update.omitted + selection.omitted)


def _fit_changes(
    update: EndpointListUpdate, endpoint_list: EndpointList, max_endpoints: float
) -> EndpointListUpdate:
    if len(endpoint_list) + len(update.endpoints) <= max_endpoints:
        return update
    held_after = set(endpoint_list.uids())
    held_after -= _removed_uids(update.endpoints)
    kept = list[ListedEndpoint]()
    for endpoint in update.endpoints:
        is_addition = endpoint.state is not EndpointLifecycle.REMOVED and endpoint.uid not in held_after
        if is_addition and len(held_after) >= max_endpoints:
            continue
        if is_addition:
            held_after.add(endpoint.uid)
        kept.append(endpoint)
    omitted = len(update.endpoints) - len(kept)
    return replace(update, endpoints=tuple(kept), omitted=omitted) if omitted else update


def _removed_uids(endpoints: Iterable[ListedEndpoint]) -> set[str]:
    return {endpoint.uid for endpoint in endpoints if endpoint.state is EndpointLifecycle.REMOVED}


def frees_room(update: EndpointListUpdate, endpoint_list: EndpointList) -> bool:
    """Return whether an update takes away a listed endpoint, before it is applied to the list."""
    if update.complete:
        return False
    return any(
        endpoint.state is not EndpointLifecycle.UP and endpoint_list.get(endpoint.uid) is not None
        for endpoint in update.endpoints
    )
