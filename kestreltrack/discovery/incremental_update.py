"""How the module is told of the machine list: what is urgent at once, the rest in slices.

A step of the module stands still while it learns of a list, and a new entry costs it some twenty
microseconds.  So a list of thousands is told as what it changes, in slices with room for messages between.
Drains and removals of nodes that the module knows overtake all that still waits: they have 500 ms.
No I/O here.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass
from itertools import islice

from kestreltrack.decision import EndpointLifecycle, EndpointsUpdated
from kestreltrack.discovery import EndpointList, to_endpoint_entries
from kestreltrack.ports import EndpointListUpdate, ListedEndpoint

CHUNK_SIZE = 200  # entries told at once: some 4 ms of the module's time
URGENT_CHUNK_SIZE = 2000  # drains and removals told at once: they cost a tenth of that


@dataclass(frozen=True, slots=True)
class UpdateChunk:
    """What is told at once: to the module, and to the journal."""

    event: EndpointsUpdated
    update: EndpointListUpdate


class IncrementalUpdateQueue:
    """What the module is still to be told, in order of urgency."""

    def __init__(self, endpoint_list: EndpointList) -> None:
        """Keep `machines` at what the source told last, ahead of what the module has heard."""
        self.endpoint_list = endpoint_list
        self._unsplit = deque[EndpointListUpdate]()
        self._urgent = deque[ListedEndpoint]()
        self._deferred: dict[str, ListedEndpoint] = {}  # by uid: only its latest state is told

    def __len__(self) -> int:
        """How much is still to be told."""
        return len(self._unsplit) + len(self._urgent) + len(self._deferred)

    def enqueue(self, update: EndpointListUpdate) -> set[str]:
        """Learn of an update; returns the uids that are gone or stand at another address now."""
        changes = self.endpoint_list.changes(update)
        gone = {m.uid for m in changes if m.state is EndpointLifecycle.REMOVED}
        small = max(len(update.endpoints), len(self.endpoint_list)) if update.complete else len(changes)
        if small <= CHUNK_SIZE and not self._deferred and not self._urgent:
            moved = len(changes) > len(update.endpoints) and not update.complete
            self._unsplit.append(
                EndpointListUpdate(update.revision, False, tuple(changes)) if moved else update
            )
        else:
            self._split_by_urgency(changes)
        self.endpoint_list.apply(update)
        return gone

    def _split_by_urgency(self, changes: Iterable[ListedEndpoint]) -> None:
        for machine in changes:
            waiting = self._deferred.pop(machine.uid, None)
            known = waiting is None and self.endpoint_list.get(machine.uid) is not None
            if machine.state is EndpointLifecycle.REMOVED or (
                known and machine.state is EndpointLifecycle.DRAINING
            ):
                self._urgent.append(machine)
            else:
                self._deferred[machine.uid] = machine

    def next_chunk(self) -> UpdateChunk | None:
        """The next thing to tell; none once the module knows all."""
        if self._unsplit:
            update = self._unsplit.popleft()
        elif self._urgent:
            many = min(URGENT_CHUNK_SIZE, len(self._urgent))
            update = self._delta(tuple(self._urgent.popleft() for _ in range(many)))
        elif self._deferred:
            uids = list(islice(self._deferred, CHUNK_SIZE))
            update = self._delta(tuple(self._deferred.pop(uid) for uid in uids))
        else:
            return None
        return UpdateChunk(
            EndpointsUpdated(to_endpoint_entries(update.endpoints), complete=update.complete), update
        )

    def _delta(self, endpoints: tuple[ListedEndpoint, ...]) -> EndpointListUpdate:
        return EndpointListUpdate(self.endpoint_list.revision, False, endpoints)
