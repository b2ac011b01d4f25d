"""Endpoints that an operator has excluded: they are draining, whatever discovery says, until they are included again.

No I/O: the caller reads the set from a file in `$GW_STATE` and writes it there, so that it survives an upgrade.
"""

from __future__ import annotations

from dataclasses import replace

import orjson

from kestreltrack.decision import EndpointEntry, EndpointLifecycle, EndpointsUpdated
from kestreltrack.discovery import EndpointList, to_endpoint_entries
from kestreltrack.ports import DiscoveryError

# Bounds the memory for uids that were once listed.  They are remembered so that only a call for a uid that was never
# listed is rejected.
MAX_REMEMBERED_IDS = 65_536


class UnknownEndpointError(DiscoveryError, KeyError):
    """An operator named an endpoint that was never listed.

    Attributes:
        uid: The uid that was named.
    """

    def __init__(self, uid: str) -> None:
        """Create the error for `uid`."""
        super().__init__(uid)
        self.uid = uid


class EndpointExclusions:
    """The set of excluded endpoints, and its effect on the events that the decision module receives.

    Attributes:
        endpoint_list: The list as the source published it, without the exclusions.
        excluded: The uids that are excluded.
        once_listed: The uids that were listed at some time, at most `MAX_REMEMBERED_IDS`.
    """

    def __init__(self, endpoint_list: EndpointList) -> None:
        """Create an empty set of exclusions from `endpoint_list`."""
        self.endpoint_list = endpoint_list
        self.excluded = set[str]()
        self.once_listed = set[str]()

    def is_known(self, uid: str) -> bool:
        """Return whether `uid` is listed, was once listed, or is excluded already."""
        return uid in self.excluded or uid in self.once_listed or self.endpoint_list.get(uid) is not None

    def apply_to(self, event: EndpointsUpdated) -> EndpointsUpdated:
        """Return the event with each excluded endpoint as draining, unless the event removes it."""
        if len(self.once_listed) < MAX_REMEMBERED_IDS:
            self.once_listed.update(entry.endpoint for entry in event.entries)
        if not self.excluded or not any(entry.endpoint in self.excluded for entry in event.entries):
            return event
        return replace(event, entries=[self._masked(entry) for entry in event.entries])

    def _masked(self, entry: EndpointEntry) -> EndpointEntry:
        if entry.endpoint in self.excluded and entry.lifecycle is EndpointLifecycle.UP:
            return replace(entry, lifecycle=EndpointLifecycle.DRAINING)
        return entry

    def exclude(self, uid: str) -> EndpointsUpdated | None:
        """Exclude `uid`; return the event for the decision module, or `None` where `uid` is not listed now.

        Raises:
            UnknownEndpointError: `uid` was never listed.
        """
        if not self.is_known(uid):
            raise UnknownEndpointError(uid)
        self.excluded.add(uid)
        endpoint = self.endpoint_list.get(uid)
        if endpoint is None:
            return None
        return self.apply_to(EndpointsUpdated(to_endpoint_entries([endpoint]), complete=False))

    def include(self, uid: str) -> EndpointsUpdated | None:
        """End the exclusion of `uid`; return the event for the decision module, or `None` where it is not listed now.

        Raises:
            UnknownEndpointError: `uid` was never listed.
        """
        if not self.is_known(uid):
            raise UnknownEndpointError(uid)
        self.excluded.discard(uid)
        endpoint = self.endpoint_list.get(uid)
        if endpoint is None:
            return None
        return EndpointsUpdated(to_endpoint_entries([endpoint]), complete=False)

    def dump(self) -> bytes:
        """Return the excluded uids as the JSON array that is persisted."""
        return orjson.dumps(sorted(self.excluded))

    def load(self, data: bytes) -> list[EndpointsUpdated]:
        """Replace the exclusions by a persisted set; return the events for the endpoints that differ.

        Data that is no JSON changes nothing; JSON that is no array of strings counts as an empty set.
        """
        try:
            document = orjson.loads(data) if data else []
        except orjson.JSONDecodeError:
            return []
        loaded = {uid for uid in document if isinstance(uid, str)} if isinstance(document, list) else set()
        changed = loaded ^ self.excluded
        self.excluded = loaded
        self.once_listed |= loaded
        candidates = [self.endpoint_list.get(uid) for uid in sorted(changed)]
        listed = [endpoint for endpoint in candidates if endpoint is not None]
        if not listed:
            return []
        return [self.apply_to(EndpointsUpdated(to_endpoint_entries(listed), complete=False))]
