"""Endpoints that an operator has excluded: they are drained regardless of their listed state until included again.

No I/O: the caller reads and writes the set in a file in `$GW_STATE`, so that it survives an upgrade.
"""

from __future__ import annotations

from dataclasses import replace

import orjson

from kestreltrack.decision import EndpointEntry, EndpointLifecycle, EndpointsUpdated
from kestreltrack.discovery import EndpointList, to_endpoint_entries
from kestreltrack.ports import DiscoveryError

# Bounds the memory for previously listed uids.  They are kept so that only commands for uids that were never listed
# are rejected.
MAX_SEEN_UIDS = 65_536


class UnknownEndpointError(DiscoveryError, KeyError):
    """An operator's command names an endpoint that was never listed.

    Attributes:
        uid: The uid in the command.
    """

    def __init__(self, uid: str) -> None:
        """Create the error for `uid`."""
        super().__init__(uid)
        self.uid = uid


class EndpointExclusions:
    """The set of excluded endpoints; applies it to the events for the decision module.

    Attributes:
        endpoint_list: The list as published by the source, without the exclusions applied.
        excluded: The uids of the excluded endpoints.
        seen_uids: The uids that have ever been listed; no longer extended by updates once there are `MAX_SEEN_UIDS`.
    """

    def __init__(self, endpoint_list: EndpointList) -> None:
        """Create an empty set of exclusions for the endpoints in `endpoint_list`."""
        self.endpoint_list = endpoint_list
        self.excluded = set[str]()
        self.seen_uids = set[str]()

    def is_known(self, uid: str) -> bool:
        """Return whether `uid` is listed, was listed before, or is already excluded."""
        return uid in self.excluded or uid in self.seen_uids or self.endpoint_list.get(uid) is not None

    def apply_to(self, event: EndpointsUpdated) -> EndpointsUpdated:
        """Return the event with each excluded endpoint that is up changed to draining."""
        if len(self.seen_uids) < MAX_SEEN_UIDS:
            self.seen_uids.update(entry.endpoint for entry in event.entries)
        if not self.excluded or not any(entry.endpoint in self.excluded for entry in event.entries):
            return event
        return replace(event, entries=[self._apply_to_entry(entry) for entry in event.entries])

    def _apply_to_entry(self, entry: EndpointEntry) -> EndpointEntry:
        if entry.endpoint in self.excluded and entry.lifecycle is EndpointLifecycle.UP:
            return replace(entry, lifecycle=EndpointLifecycle.DRAINING)
        return entry

    def exclude(self, uid: str) -> EndpointsUpdated | None:
        """Exclude `uid`; return the event for the decision module, or `None` if `uid` is not currently listed.

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
        """Include `uid` again; return the event for the decision module, or `None` if `uid` is not currently listed.

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
        """Return the excluded uids as a JSON array, the form in which they are persisted."""
        return orjson.dumps(sorted(self.excluded))

    def load(self, data: bytes) -> list[EndpointsUpdated]:
        """Replace the exclusions by a persisted set; return the events for the endpoints whose exclusion changes.

        Malformed JSON is ignored.  A JSON value other than an array counts as an empty set; items that are not
        strings are skipped.
        """
        try:
            document = orjson.loads(data) if data else []
        except orjson.JSONDecodeError:
            return []
        loaded = {uid for uid in document if isinstance(uid, str)} if isinstance(document, list) else set()
        changed = loaded ^ self.excluded
        self.excluded = loaded
        self.seen_uids |= loaded
        candidates = [self.endpoint_list.get(uid) for uid in sorted(changed)]
        listed = [endpoint for endpoint in candidates if endpoint is not None]
        if not listed:
            return []
        return [self.apply_to(EndpointsUpdated(to_endpoint_entries(listed), complete=False))]
