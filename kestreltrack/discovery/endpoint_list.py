"""The machine list: what it says (`MachineList`), how it is told (`feed.py`), where it comes from.

`http.py` is the platform's form of it, `etcd` the one kept in etcd.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import replace

from kestreltrack.decision import EndpointEntry, EndpointLifecycle, EndpointsUpdated
from kestreltrack.ports import EndpointListUpdate, ListedEndpoint


def to_endpoint_entries(endpoints: Iterable[ListedEndpoint]) -> list[EndpointEntry]:
    """Execute nodes in the module's form."""
    return [EndpointEntry(m.uid, m.dest, m.kind, m.zone, m.state, m.rate) for m in endpoints]


class EndpointList:
    """The machine list as last told, with the address of each execute node."""

    def __init__(self) -> None:
        """Start empty, older than any version."""
        self.revision = -1
        self._endpoints: dict[str, ListedEndpoint] = {}
        self._endpoint_by_dest: dict[
            int, ListedEndpoint
        ] = {}  # each destination ever listed, by its machine last heard of
        self._received_from_source = False  # by the source itself, not only remembered

    def __len__(self) -> int:
        """How many execute nodes are listed."""
        return len(self._endpoints)

    def get(self, uid: str) -> ListedEndpoint | None:
        """A listed execute node."""
        return self._endpoints.get(uid)

    def changes(self, update: EndpointListUpdate) -> list[ListedEndpoint]:
        """What an update changes, in order.

        A node whose destination or address has changed under its uid is removed and added.  What a whole
        list leaves out is removed; its drains and removals come before its additions.
        """
        if not update.complete:
            return [step for machine in update.endpoints for step in self._as_changes(machine)]
        known, urgent, calm = self._endpoints, list[ListedEndpoint](), list[ListedEndpoint]()
        if known:
            named = {machine.uid for machine in update.endpoints}
            urgent = [
                replace(m, state=EndpointLifecycle.REMOVED) for uid, m in known.items() if uid not in named
            ]
        for machine in update.endpoints:
            old = known.get(machine.uid)
            if old is None:
                calm.append(machine)
            elif old is not machine and old != machine:
                for step in self._as_changes(machine):
                    (calm if step.state is EndpointLifecycle.UP else urgent).append(step)
        return urgent + calm

    def _as_changes(self, endpoint: ListedEndpoint) -> tuple[ListedEndpoint, ...]:
        old = self._endpoints.get(endpoint.uid)
        if old is None or endpoint.state is EndpointLifecycle.REMOVED:
            return (endpoint,)
        if (old.dest, old.address) == (endpoint.dest, endpoint.address):
            return (endpoint,)
        return (replace(old, state=EndpointLifecycle.REMOVED), endpoint)

    def apply(self, update: EndpointListUpdate, cached: bool = False) -> EndpointsUpdated:
        """Take an update in; returns it in the module's form."""
        self.revision = update.revision
        self._received_from_source = self._received_from_source or not cached
        if update.complete:
            self._endpoints.clear()
        for machine in update.endpoints:
            self._endpoint_by_dest[machine.dest] = machine
            if machine.state is EndpointLifecycle.REMOVED:
                self._endpoints.pop(machine.uid, None)
            else:
                self._endpoints[machine.uid] = machine
        return EndpointsUpdated(
            to_endpoint_entries(update.endpoints), complete=update.complete, cached=cached
        )

    def snapshot(self) -> EndpointListUpdate:
        """All of it, to be kept; a destination whose machines are away stands there as removed."""
        here = {machine.dest for machine in self._endpoints.values()}
        away = (
            replace(m, state=EndpointLifecycle.REMOVED)
            for d, m in self._endpoint_by_dest.items()
            if d not in here
        )
        return EndpointListUpdate(self.revision, True, (*self._endpoints.values(), *away))

    def is_unknown_destination(self, dest: int) -> bool:
        """Whether no such destination exists: the list is known, and never had a machine for it."""
        return self._received_from_source and dest not in self._endpoint_by_dest

    def uids(self) -> set[str]:
        """Of all listed execute nodes."""
        return set(self._endpoints)

    def address(self, uid: str) -> str | None:
        """Where a listed execute node is reached."""
        machine = self._endpoints.get(uid)
        return machine.address if machine else None

    def kind(self, uid: str) -> str:
        """The kind of a listed execute node."""
        machine = self._endpoints.get(uid)
        return machine.kind if machine else ""

    def zone(self, uid: str) -> str:
        """The zone of a listed execute node."""
        machine = self._endpoints.get(uid)
        return machine.zone if machine else ""
