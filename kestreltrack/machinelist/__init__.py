"""The machine list: what it says (`MachineList`), how it is told (`feed.py`), where it comes from.

`http.py` is the platform's form of it, `etcd` the one kept in etcd.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import replace

from kestreltrack.decision.api import Lifecycle, Listed, ListNews
from kestreltrack.ports import ListUpdate, Machine


def entries(machines: Iterable[Machine]) -> list[Listed]:
    """Execute nodes in the module's form."""
    return [Listed(m.uid, m.dest, m.kind, m.zone, m.state, m.rate) for m in machines]


class MachineList:
    """The machine list as last told, with the address of each execute node."""

    def __init__(self) -> None:
        """Start empty, older than any version."""
        self.rev = -1
        self._machines: dict[str, Machine] = {}
        self._dests: dict[int, Machine] = {}  # each destination ever listed, by its machine last heard of
        self._told = False  # by the source itself, not only remembered

    def __len__(self) -> int:
        """How many execute nodes are listed."""
        return len(self._machines)

    def get(self, uid: str) -> Machine | None:
        """A listed execute node."""
        return self._machines.get(uid)

    def changes(self, update: ListUpdate) -> list[Machine]:
        """What an update changes, in order.

        A node whose destination or address has changed under its uid is removed and added.  What a whole
        list leaves out is removed; its drains and removals come before its additions.
        """
        if not update.whole:
            return [step for machine in update.machines for step in self._steps(machine)]
        known, urgent, calm = self._machines, list[Machine](), list[Machine]()
        if known:
            named = {machine.uid for machine in update.machines}
            urgent = [replace(m, state=Lifecycle.REMOVED) for uid, m in known.items() if uid not in named]
        for machine in update.machines:
            old = known.get(machine.uid)
            if old is None:
                calm.append(machine)
            elif old is not machine and old != machine:
                for step in self._steps(machine):
                    (calm if step.state is Lifecycle.UP else urgent).append(step)
        return urgent + calm

    def _steps(self, machine: Machine) -> tuple[Machine, ...]:
        old = self._machines.get(machine.uid)
        if old is None or machine.state is Lifecycle.REMOVED:
            return (machine,)
        if (old.dest, old.address) == (machine.dest, machine.address):
            return (machine,)
        return (replace(old, state=Lifecycle.REMOVED), machine)

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
        return ListNews(entries(update.machines), whole=update.whole, remembered=remembered)

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

    def kind(self, uid: str) -> str:
        """The kind of a listed execute node."""
        machine = self._machines.get(uid)
        return machine.kind if machine else ""

    def zone(self, uid: str) -> str:
        """The zone of a listed execute node."""
        machine = self._machines.get(uid)
        return machine.zone if machine else ""
