"""Endpoints taken out by hand: the module hears them as draining, whatever discovery says, until they are let in.

No I/O: the set is read from and written to a file in `$GW_STATE` by its caller, so that it holds across an upgrade.
"""

from __future__ import annotations

from dataclasses import replace

import orjson

from kestreltrack.decision import EndpointLifecycle, EndpointsUpdated
from kestreltrack.discovery import EndpointList, to_endpoint_entries

MAX_REMEMBERED_IDS = 65_536  # ids remembered as once listed, so that a no is owed only for one never listed


class EndpointExclusions:
    """Which endpoints are out by hand, and how the module's news of the list is changed for them."""

    def __init__(self, endpoint_list: EndpointList) -> None:
        """Nothing is out; `machines` is the list as the source told it."""
        self.endpoint_list = endpoint_list
        self.excluded = set[str]()
        self.once_listed = set[str]()

    def is_known(self, uid: str) -> bool:
        """Whether `uid` is or once was listed, or is out already."""
        return uid in self.excluded or uid in self.once_listed or self.endpoint_list.get(uid) is not None

    def apply_to(self, event: EndpointsUpdated) -> EndpointsUpdated:
        """The news as the module is to hear it: an endpoint that is out stays draining, unless it is removed."""
        if len(self.once_listed) < MAX_REMEMBERED_IDS:
            self.once_listed.update(entry.endpoint for entry in event.entries)
        if not self.excluded or not any(entry.endpoint in self.excluded for entry in event.entries):
            return event
        masked = [
            replace(entry, lifecycle=EndpointLifecycle.DRAINING)
            if entry.endpoint in self.excluded and entry.lifecycle is EndpointLifecycle.UP
            else entry
            for entry in event.entries
        ]
        return replace(event, entries=masked)

    def exclude(self, uid: str) -> EndpointsUpdated | None:
        """Take `uid` out; returns what the module is to hear now, where it is listed.  Raises `KeyError`."""
        if not self.is_known(uid):
            raise KeyError(uid)
        self.excluded.add(uid)
        machine = self.endpoint_list.get(uid)
        return (
            self.apply_to(EndpointsUpdated(to_endpoint_entries([machine]), complete=False))
            if machine
            else None
        )

    def include(self, uid: str) -> EndpointsUpdated | None:
        """Let `uid` serve again, as discovery lists it.  Raises `KeyError` for an id never listed."""
        if not self.is_known(uid):
            raise KeyError(uid)
        self.excluded.discard(uid)
        machine = self.endpoint_list.get(uid)
        return EndpointsUpdated(to_endpoint_entries([machine]), complete=False) if machine else None

    def dump(self) -> bytes:
        """What is kept in the folder that lasts."""
        return orjson.dumps(sorted(self.excluded))

    def load(self, data: bytes) -> list[EndpointsUpdated]:
        """Take the set that another process kept; returns what the module is to hear of what changed."""
        try:
            kept = orjson.loads(data) if data else []
        except orjson.JSONDecodeError:
            return []
        fresh = {uid for uid in kept if isinstance(uid, str)} if isinstance(kept, list) else set()
        changed = fresh ^ self.excluded
        self.excluded = fresh
        self.once_listed |= fresh
        machines = [m for uid in sorted(changed) if (m := self.endpoint_list.get(uid)) is not None]
        return (
            [self.apply_to(EndpointsUpdated(to_endpoint_entries(machines), complete=False))]
            if machines
            else []
        )
