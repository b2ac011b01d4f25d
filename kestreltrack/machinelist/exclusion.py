"""Endpoints taken out by hand: the module hears them as draining, whatever discovery says, until they are let in.

No I/O: the set is read from and written to a file in `$GW_STATE` by its caller, so that it holds across an upgrade.
"""

from __future__ import annotations

from dataclasses import replace

import orjson

from kestreltrack.decision.api import Lifecycle, ListNews
from kestreltrack.machinelist import MachineList, entries

MOST_SEEN = 65_536  # ids remembered as once listed, so that a no is owed only for one never listed


class Exclusion:
    """Which endpoints are out by hand, and how the module's news of the list is changed for them."""

    def __init__(self, machines: MachineList) -> None:
        """Nothing is out; `machines` is the list as the source told it."""
        self.machines = machines
        self.out = set[str]()
        self.seen = set[str]()

    def known(self, uid: str) -> bool:
        """Whether `uid` is or once was listed, or is out already."""
        return uid in self.out or uid in self.seen or self.machines.get(uid) is not None

    def mask(self, news: ListNews) -> ListNews:
        """The news as the module is to hear it: an endpoint that is out stays draining, unless it is removed."""
        if len(self.seen) < MOST_SEEN:
            self.seen.update(entry.endpoint for entry in news.entries)
        if not self.out or not any(entry.endpoint in self.out for entry in news.entries):
            return news
        masked = [
            replace(entry, lifecycle=Lifecycle.DRAINING)
            if entry.endpoint in self.out and entry.lifecycle is Lifecycle.UP
            else entry
            for entry in news.entries
        ]
        return replace(news, entries=masked)

    def exclude(self, uid: str) -> ListNews | None:
        """Take `uid` out; returns what the module is to hear now, where it is listed.  Raises `KeyError`."""
        if not self.known(uid):
            raise KeyError(uid)
        self.out.add(uid)
        machine = self.machines.get(uid)
        return self.mask(ListNews(entries([machine]), whole=False)) if machine else None

    def include(self, uid: str) -> ListNews | None:
        """Let `uid` serve again, as discovery lists it.  Raises `KeyError` for an id never listed."""
        if not self.known(uid):
            raise KeyError(uid)
        self.out.discard(uid)
        machine = self.machines.get(uid)
        return ListNews(entries([machine]), whole=False) if machine else None

    def dump(self) -> bytes:
        """What is kept in the folder that lasts."""
        return orjson.dumps(sorted(self.out))

    def load(self, data: bytes) -> list[ListNews]:
        """Take the set that another process kept; returns what the module is to hear of what changed."""
        try:
            kept = orjson.loads(data) if data else []
        except orjson.JSONDecodeError:
            return []
        fresh = {uid for uid in kept if isinstance(uid, str)} if isinstance(kept, list) else set()
        changed = fresh ^ self.out
        self.out = fresh
        self.seen |= fresh
        machines = [m for uid in sorted(changed) if (m := self.machines.get(uid)) is not None]
        return [self.mask(ListNews(entries(machines), whole=False))] if machines else []
