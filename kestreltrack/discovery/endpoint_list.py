"""The endpoint list: the known endpoints, their addresses, and the changes that an update makes.

The list holds the latest state published by a source (`http_source` or `etcd`).  `incremental_update` determines the
order in which changes reach the decision module.  No I/O.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import replace

from kestreltrack.decision import EndpointEntry, EndpointLifecycle, EndpointsUpdated
from kestreltrack.ports import EndpointListUpdate, ListedEndpoint


def to_endpoint_entries(endpoints: Iterable[ListedEndpoint]) -> list[EndpointEntry]:
    """Convert listed endpoints to the entries of the decision module, which does not need addresses."""
    return [
        EndpointEntry(
            endpoint.uid, endpoint.dest, endpoint.kind, endpoint.zone, endpoint.state, endpoint.rate
        )
        for endpoint in endpoints
    ]


def comparable(source: str, other: str) -> bool:
    """Return whether revisions of two sources can be compared; an unknown source is taken for the same."""
    return source == other or not source or not other


class EndpointList:
    """The endpoint list as last published by its source, including addresses.

    Attributes:
        revision: The revision of the list at the source; -1 before the first update.
        source: The source that published the list; empty if that is not known.
        omitted: The number of endpoints at the source that are left out, because the memory does not hold them.
    """

    def __init__(self) -> None:
        """Create an empty list that is older than any revision."""
        self.revision = -1
        self.source = ""
        self.omitted = 0
        self._endpoints: dict[str, ListedEndpoint] = {}
        # The endpoint listed last for each destination that was ever listed.
        self._endpoint_by_dest: dict[int, ListedEndpoint] = {}
        # False while the list only comes from the journal of a previous process.
        self._received_from_source = False

    def __len__(self) -> int:
        """Return the number of listed endpoints."""
        return len(self._endpoints)

    def get(self, uid: str) -> ListedEndpoint | None:
        """Return the endpoint with this uid, or `None` if it is not listed."""
        return self._endpoints.get(uid)

    def changes(self, update: EndpointListUpdate) -> list[ListedEndpoint]:
        """Return the changes that an update makes, in the order in which they must be applied.

        An endpoint whose destination or address changed is removed and added again under its uid.  One whose process
        has restarted is removed, added as draining and then let in, so that nothing that was learned about its
        earlier process is taken for it, and it is warmed up.  An endpoint that is missing from a complete update is
        removed.  The drains and removals of a complete update precede its additions, because they stop requests that
        would fail.
        """
        if not update.complete:
            return [change for endpoint in update.endpoints for change in self._changes_of_endpoint(endpoint)]
        return self._changes_of_complete_list(update.endpoints)

    def _changes_of_complete_list(self, endpoints: tuple[ListedEndpoint, ...]) -> list[ListedEndpoint]:
        listed = self._endpoints
        withdrawals = self._removals_of_unlisted(endpoints)
        additions = list[ListedEndpoint]()
        for endpoint in endpoints:
            previous = listed.get(endpoint.uid)
            if previous is None:
                additions.append(endpoint)
            # Most endpoints are the same objects as in the previous list: the identity check avoids most comparisons.
            elif previous is not endpoint and previous != endpoint:
                for change in self._changes_of_endpoint(endpoint):
                    if change.state is EndpointLifecycle.UP:
                        additions.append(change)
                    else:
                        withdrawals.append(change)
        return withdrawals + additions

    def _removals_of_unlisted(self, endpoints: tuple[ListedEndpoint, ...]) -> list[ListedEndpoint]:
        if not self._endpoints:
            return []
        listed_uids = {endpoint.uid for endpoint in endpoints}
        return [
            replace(endpoint, state=EndpointLifecycle.REMOVED)
            for uid, endpoint in self._endpoints.items()
            if uid not in listed_uids
        ]

    def _changes_of_endpoint(self, endpoint: ListedEndpoint) -> tuple[ListedEndpoint, ...]:
        previous = self._endpoints.get(endpoint.uid)
        if previous is None or endpoint.state is EndpointLifecycle.REMOVED:
            return (endpoint,)
        if endpoint.is_restart_of(previous) and endpoint.state is EndpointLifecycle.UP:
            removed = replace(previous, state=EndpointLifecycle.REMOVED)
            return removed, replace(endpoint, state=EndpointLifecycle.DRAINING), endpoint
        if previous.dest == endpoint.dest and previous.address == endpoint.address:
            return (endpoint,)
        return (replace(previous, state=EndpointLifecycle.REMOVED), endpoint)

    def apply(self, update: EndpointListUpdate, cached: bool = False) -> EndpointsUpdated:
        """Apply an update and return it as an event for the decision module.

        Args:
            update: The complete list or the changed endpoints.
            cached: Whether the update comes from the journal of a previous process instead of the source.
        """
        self.revision = update.revision
        self.source = update.source
        self._received_from_source = self._received_from_source or not cached
        self.omitted = update.omitted if update.complete else self.omitted + update.omitted
        previous = self._endpoints
        if update.complete:
            self._endpoints = {}
        for received in update.endpoints:
            # An equal entry may be shared with other holders, so the earlier one is kept and the new one is freed.
            listed = previous.get(received.uid)
            endpoint = listed if listed is not None and listed == received else received
            self._endpoint_by_dest[endpoint.dest] = endpoint
            if endpoint.state is EndpointLifecycle.REMOVED:
                self._endpoints.pop(endpoint.uid, None)
            else:
                self._endpoints[endpoint.uid] = endpoint
        return EndpointsUpdated(
            to_endpoint_entries(update.endpoints), complete=update.complete, cached=cached
        )

    def snapshot(self) -> EndpointListUpdate:
        """Return the complete list as it is persisted.

        A destination without listed endpoints is represented by its last endpoint, marked as removed, so that a
        restarted process still knows the destination.
        """
        listed_dests = {endpoint.dest for endpoint in self._endpoints.values()}
        last_of_unlisted_dests = (
            replace(endpoint, state=EndpointLifecycle.REMOVED)
            for dest, endpoint in self._endpoint_by_dest.items()
            if dest not in listed_dests
        )
        endpoints = (*self._endpoints.values(), *last_of_unlisted_dests)
        return EndpointListUpdate(self.revision, True, endpoints, source=self.source)

    def is_unknown_destination(self, dest: int) -> bool:
        """Return whether the source has published a list but has never listed an endpoint of `dest`."""
        return self._received_from_source and not self.omitted and dest not in self._endpoint_by_dest

    def omits_destination(self, dest: int) -> bool:
        """Return whether no endpoint of `dest` is listed while endpoints of the source are left out."""
        if not self.omitted:
            return False
        last = self._endpoint_by_dest.get(dest)
        if last is not None and self._endpoints.get(last.uid) is last:
            return False
        return all(endpoint.dest != dest for endpoint in self._endpoints.values())

    def uids(self) -> set[str]:
        """Return the uids of all listed endpoints."""
        return set(self._endpoints)

    def address(self, uid: str) -> str | None:
        """Return the `host:port` of an endpoint, or `None` if it is not listed."""
        endpoint = self._endpoints.get(uid)
        return endpoint.address if endpoint else None

    def kind(self, uid: str) -> str:
        """Return the kind of an endpoint, or an empty string if it is not listed."""
        endpoint = self._endpoints.get(uid)
        return endpoint.kind if endpoint else ""

    def zone(self, uid: str) -> str:
        """Return the zone of an endpoint, or an empty string if it is not listed."""
        endpoint = self._endpoints.get(uid)
        return endpoint.zone if endpoint else ""
