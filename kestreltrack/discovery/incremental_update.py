"""Splits updates of the endpoint list into chunks, so that applying a large list does not delay messages.

The decision module cannot process anything else while it applies a list, and each new entry takes about 20
microseconds.  Of a list of thousands therefore only the changes are applied, in chunks between which messages are
processed.  Drains and removals of endpoints that the module already knows overtake the additions and other changes,
because they have to take effect within 500 ms.  No I/O.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass
from itertools import islice

from kestreltrack.decision import EndpointLifecycle, EndpointsUpdated
from kestreltrack.discovery import EndpointList, to_endpoint_entries
from kestreltrack.ports import EndpointListUpdate, ListedEndpoint

# New and changed entries in one chunk: the decision module applies them in about 4 ms.
CHUNK_SIZE = 200
# Drains and removals in one chunk: each costs a tenth of a new entry.
URGENT_CHUNK_SIZE = 2000


@dataclass(frozen=True, slots=True)
class UpdateChunk:
    """One chunk of changes: the event for the decision module, and the same changes as an update for the journal."""

    event: EndpointsUpdated
    update: EndpointListUpdate


class IncrementalUpdateQueue:
    """The changes that the decision module has not received yet, the most urgent first.

    Attributes:
        endpoint_list: The list as last published by the source, including changes that are still queued.
    """

    def __init__(self, endpoint_list: EndpointList) -> None:
        """Create an empty queue that applies each update to `endpoint_list` as soon as it is queued."""
        self.endpoint_list = endpoint_list
        self._unsplit = deque[EndpointListUpdate]()
        self._urgent = deque[ListedEndpoint]()
        # By uid, because only the latest state of an endpoint is sent.
        self._deferred: dict[str, ListedEndpoint] = {}

    def __len__(self) -> int:
        """Return the number of queued changes; an unsplit update counts as one."""
        return len(self._unsplit) + len(self._urgent) + len(self._deferred)

    def enqueue(self, update: EndpointListUpdate, cached: bool = False) -> set[str]:
        """Queue an update; return the uids that it removes, or to which it gives another address or destination.

        Args:
            update: The complete list or the changed endpoints.
            cached: Whether the update does not come from the source itself.
        """
        changes = self.endpoint_list.changes(update)
        is_restart = any(map(self._is_restart, update.endpoints))
        removed_uids = {change.uid for change in changes if change.state is EndpointLifecycle.REMOVED}
        if self._fits_one_chunk(update, len(changes)) and not is_restart:
            self._unsplit.append(self._unsplit_update(update, changes))
        else:
            self._split_by_urgency(changes)
        self.endpoint_list.apply(update, cached)
        return removed_uids

    def _is_restart(self, endpoint: ListedEndpoint) -> bool:
        previous = self.endpoint_list.get(endpoint.uid)
        return previous is not None and endpoint.is_restart_of(previous)

    def _fits_one_chunk(self, update: EndpointListUpdate, change_count: int) -> bool:
        """Return whether the update can be sent unsplit without overtaking queued changes."""
        if self._deferred or self._urgent:
            return False
        if update.complete:
            # For a complete list the module also processes the endpoints that are missing from it.
            return max(len(update.endpoints), len(self.endpoint_list)) <= CHUNK_SIZE
        return change_count <= CHUNK_SIZE

    def _unsplit_update(
        self, update: EndpointListUpdate, changes: list[ListedEndpoint]
    ) -> EndpointListUpdate:
        """Return the update; for a delta that changes an address or destination, also remove the old entry."""
        if update.complete or len(changes) <= len(update.endpoints):
            return update
        return EndpointListUpdate(update.revision, False, tuple(changes), source=update.source)

    def _split_by_urgency(self, changes: Iterable[ListedEndpoint]) -> None:
        for endpoint in changes:
            superseded = self._deferred.pop(endpoint.uid, None)
            is_known_to_module = superseded is None and self.endpoint_list.get(endpoint.uid) is not None
            if endpoint.state is EndpointLifecycle.REMOVED or (
                is_known_to_module and endpoint.state is EndpointLifecycle.DRAINING
            ):
                self._urgent.append(endpoint)
            else:
                self._deferred[endpoint.uid] = endpoint

    def next_chunk(self) -> UpdateChunk | None:
        """Remove and return the most urgent chunk, or `None` if the queue is empty."""
        if self._unsplit:
            update = self._unsplit.popleft()
        elif self._urgent:
            update = self._delta(tuple(self._take_urgent()))
        elif self._deferred:
            uids = list(islice(self._deferred, CHUNK_SIZE))
            update = self._delta(tuple(self._deferred.pop(uid) for uid in uids))
        else:
            return None
        event = EndpointsUpdated(to_endpoint_entries(update.endpoints), complete=update.complete)
        return UpdateChunk(event, update)

    def _take_urgent(self) -> list[ListedEndpoint]:
        """Remove and return the next urgent changes; two of one endpoint are two separate chunks."""
        taken = dict[str, ListedEndpoint]()
        while self._urgent and len(taken) < URGENT_CHUNK_SIZE and self._urgent[0].uid not in taken:
            endpoint = self._urgent.popleft()
            taken[endpoint.uid] = endpoint
        return list(taken.values())

    def _delta(self, endpoints: tuple[ListedEndpoint, ...]) -> EndpointListUpdate:
        return EndpointListUpdate(
            self.endpoint_list.revision, False, endpoints, source=self.endpoint_list.source
        )
