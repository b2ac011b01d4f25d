"""The layout of keys: `PREFIXendpoints/UID` for an execute node, `PREFIXsenders/NAME` for a sender.

The value of an execute node is discovery's JSON entry; its uid is the key's, whatever the value says.
"""

from __future__ import annotations

from dataclasses import replace
from typing import Any

import orjson

from kestreltrack.decision.api import Lifecycle
from kestreltrack.machinelist.etcd.pursuit import Change, Told
from kestreltrack.machinelist.http import read_machine
from kestreltrack.ports import ListUpdate, Machine
from kestreltrack.telemetry import Telemetry

MOST_VALUE = 64 * 1024  # bytes of one entry


def endpoints(prefix: str) -> str:
    """Where the execute nodes stand."""
    return f"{prefix}endpoints/"


def senders(prefix: str) -> str:
    """Where the senders register."""
    return f"{prefix}senders/"


def read_entry(uid: str, value: bytes) -> Machine:
    """One execute node; raises `ValueError`."""
    if not uid or "/" in uid or not uid.isprintable():
        raise ValueError("the key holds no uid")
    if len(value) > MOST_VALUE:
        raise ValueError(f"{len(value)} bytes are more than {MOST_VALUE}")
    row = orjson.loads(value)
    if not isinstance(row, dict):
        raise ValueError("not an object")
    return read_machine({**row, "uid": uid})


def write_entry(row: dict[str, Any]) -> bytes:
    """The value for discovery's entry; raises `ValueError` where it could not be read back."""
    kept = {name: value for name, value in row.items() if name != "uid"}
    value = orjson.dumps(kept, option=orjson.OPT_SORT_KEYS)
    read_entry(str(row.get("uid", "")), value)
    return value


class Picture:
    """The execute nodes as the keys show them, each in its last state that could be read."""

    def __init__(self, prefix: str, telemetry: Telemetry) -> None:
        """Of one prefix; nothing is known yet."""
        self._stem, self._telemetry = endpoints(prefix).encode(), telemetry
        self._machines: dict[str, Machine] = {}
        self._prepared: dict[bytes, tuple[bytes | None, Machine | None]] = {}

    def prepare(self, changes: tuple[Change, ...]) -> None:
        """Read the entries of a page; `update` then finds them read."""
        for change in changes:
            self._prepared[change.key] = (change.value, self._read(change))

    def update(self, told: Told) -> ListUpdate:
        """What is told, in the form of `ports`: the whole list, or its changes in order."""
        if told.whole:
            known, self._machines = self._machines, {}
            for change in told.changes:
                ready = self._prepared.get(change.key)
                read = ready[1] if ready and ready[0] is change.value else self._read(change)
                machine = read or known.get(self._uid(change))
                if machine and machine.state is not Lifecycle.REMOVED:
                    self._machines[machine.uid] = machine
            self._prepared = {}
            return ListUpdate(told.revision, True, tuple(self._machines.values()))
        steps = [step for change in told.changes if (step := self._step(change))]
        return ListUpdate(told.revision, False, tuple(steps))

    def _step(self, change: Change) -> Machine | None:
        uid = self._uid(change)
        old, new = self._machines.get(uid), self._read(change) if change.value is not None else None
        if change.value is not None and new is None:
            return None  # unreadable: the last good state holds
        if new is None or new.state is Lifecycle.REMOVED:
            self._machines.pop(uid, None)
            return replace(old, state=Lifecycle.REMOVED) if old else None
        self._machines[uid] = new
        return new

    def _uid(self, change: Change) -> str:
        return change.key.removeprefix(self._stem).decode(errors="replace")

    def _read(self, change: Change) -> Machine | None:
        try:
            return read_entry(self._uid(change), change.value or b"")
        except ValueError as bad:
            key = change.key.decode(errors="replace")
            self._telemetry.trouble("machinelist.etcd.unreadable", key=key, error=str(bad))
            return None
