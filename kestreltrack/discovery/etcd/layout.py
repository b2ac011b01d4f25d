"""The layout of keys: `PREFIXendpoints/UID` for an execute node, `PREFIXsenders/NAME` for a sender.

The value of an execute node is discovery's JSON entry; its uid is the key's, whatever the value says.
"""

from __future__ import annotations

from dataclasses import replace
from typing import Any

import orjson

from kestreltrack.decision import EndpointLifecycle
from kestreltrack.discovery.etcd.watch_state import KeyChange, PrefixUpdate
from kestreltrack.discovery.json_format import parse_endpoint
from kestreltrack.ports import EndpointListUpdate, ListedEndpoint
from kestreltrack.telemetry import Telemetry

MAX_VALUE_BYTES = 64 * 1024  # bytes of one entry


def endpoints_prefix(prefix: str) -> str:
    """Where the execute nodes stand."""
    return f"{prefix}endpoints/"


def senders_prefix(prefix: str) -> str:
    """Where the senders register."""
    return f"{prefix}senders/"


def decode_entry(uid: str, value: bytes) -> ListedEndpoint:
    """One execute node; raises `ValueError`."""
    if not uid or "/" in uid or not uid.isprintable():
        raise ValueError("the key holds no uid")
    if len(value) > MAX_VALUE_BYTES:
        raise ValueError(f"{len(value)} bytes are more than {MAX_VALUE_BYTES}")
    row = orjson.loads(value)
    if not isinstance(row, dict):
        raise ValueError("not an object")
    return parse_endpoint({**row, "uid": uid})


def encode_entry(row: dict[str, Any]) -> bytes:
    """The value for discovery's entry; raises `ValueError` where it could not be read back."""
    kept = {name: value for name, value in row.items() if name != "uid"}
    value = orjson.dumps(kept, option=orjson.OPT_SORT_KEYS)
    decode_entry(str(row.get("uid", "")), value)
    return value


class DirectoryView:
    """The execute nodes as the keys show them, each in its last state that could be read."""

    def __init__(self, prefix: str, telemetry: Telemetry) -> None:
        """Of one prefix; nothing is known yet."""
        self._key_prefix, self._telemetry = endpoints_prefix(prefix).encode(), telemetry
        self._endpoints: dict[str, ListedEndpoint] = {}
        self._decoded: dict[bytes, tuple[bytes | None, ListedEndpoint | None]] = {}

    def decode_page(self, changes: tuple[KeyChange, ...]) -> None:
        """Read the entries of a page; `update` then finds them read."""
        for change in changes:
            self._decoded[change.key] = (change.value, self._decode(change))

    def apply(self, update: PrefixUpdate) -> EndpointListUpdate:
        """What is told, in the form of `ports`: the whole list, or its changes in order."""
        if update.complete:
            known, self._endpoints = self._endpoints, {}
            for change in update.changes:
                ready = self._decoded.get(change.key)
                read = ready[1] if ready and ready[0] is change.value else self._decode(change)
                machine = read or known.get(self._uid(change))
                if machine and machine.state is not EndpointLifecycle.REMOVED:
                    self._endpoints[machine.uid] = machine
            self._decoded = {}
            return EndpointListUpdate(update.revision, True, tuple(self._endpoints.values()))
        steps = [step for change in update.changes if (step := self._apply_change(change))]
        return EndpointListUpdate(update.revision, False, tuple(steps))

    def _apply_change(self, change: KeyChange) -> ListedEndpoint | None:
        uid = self._uid(change)
        old, new = self._endpoints.get(uid), self._decode(change) if change.value is not None else None
        if change.value is not None and new is None:
            return None  # unreadable: the last good state holds
        if new is None or new.state is EndpointLifecycle.REMOVED:
            self._endpoints.pop(uid, None)
            return replace(old, state=EndpointLifecycle.REMOVED) if old else None
        self._endpoints[uid] = new
        return new

    def _uid(self, change: KeyChange) -> str:
        return change.key.removeprefix(self._key_prefix).decode(errors="replace")

    def _decode(self, change: KeyChange) -> ListedEndpoint | None:
        try:
            return decode_entry(self._uid(change), change.value or b"")
        except ValueError as bad:
            key = change.key.decode(errors="replace")
            self._telemetry.record_fault("discovery.etcd.malformed", key=key, error=str(bad))
            return None
