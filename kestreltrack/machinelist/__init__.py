"""The machine list: what it says (`MachineList`) and the platform's HTTP form of it (`http.py`)."""

from __future__ import annotations

from dataclasses import replace

from kestreltrack.decision.api import Lifecycle, Listed, ListNews
from kestreltrack.ports import ListUpdate, Machine


class MachineList:
    """The machine list as last told, with the address of each execute node."""

    def __init__(self) -> None:
        """Start empty, older than any version."""
        self.rev = -1
        self._machines: dict[str, Machine] = {}
        self._dests: dict[int, Machine] = {}  # each destination ever listed, by its machine last heard of
        self._told = False  # by the source itself, not only remembered

    def apply(self, update: ListUpdate, remembered: bool = False) -> ListNews:
        """Take an update in; returns it in the module's form."""
        self.rev = update.rev
        self._told = self._told or not remembered
        if update.whole:
            self._machines.clear()
        for machine in update.machines:
            self._dests[machine.dest] = machine
            if machine.state is Lifecycle.REMOVED:
                self._machines.pop(machine.uid, None)
            else:
                self._machines[machine.uid] = machine
        entries = [Listed(m.uid, m.dest, m.kind, m.zone, m.state, m.rate) for m in update.machines]
        return ListNews(entries, whole=update.whole, remembered=remembered)

    def whole(self) -> ListUpdate:
        """All of it, to be kept; a destination whose machines are away stands there as removed."""
        here = {machine.dest for machine in self._machines.values()}
        away = (replace(m, state=Lifecycle.REMOVED) for d, m in self._dests.items() if d not in here)
        return ListUpdate(self.rev, True, (*self._machines.values(), *away))

    def lacks(self, dest: int) -> bool:
        """Whether no such destination exists: the list is known, and never had a machine for it."""
        return self._told and dest not in self._dests

    def uids(self) -> set[str]:
        """Of all listed execute nodes."""
        return set(self._machines)

    def address(self, uid: str) -> str | None:
        """Where a listed execute node is reached."""
        machine = self._machines.get(uid)
        return machine.address if machine else None

    def zone(self, uid: str) -> str:
        """The zone of a listed execute node."""
        machine = self._machines.get(uid)
        return machine.zone if machine else ""
