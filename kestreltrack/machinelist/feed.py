"""How the module is told of the machine list: what is urgent at once, the rest in slices.

A step of the module stands still while it learns of a list, and a new entry costs it some twenty
microseconds.  So a list of thousands is told as what it changes, in slices with room for messages between.
Drains and removals of nodes that the module knows overtake all that still waits: they have 500 ms.
No I/O here.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass
from itertools import islice

from kestreltrack.decision.api import Lifecycle, ListNews
from kestreltrack.machinelist import MachineList, entries
from kestreltrack.ports import ListUpdate, Machine

SLICE = 200  # entries told at once: some 4 ms of the module's time
URGENT = 2000  # drains and removals told at once: they cost a tenth of that


@dataclass(frozen=True, slots=True)
class Slice:
    """What is told at once: to the module, and to the journal."""

    news: ListNews
    update: ListUpdate


class Feed:
    """What the module is still to be told, in order of urgency."""

    def __init__(self, machines: MachineList) -> None:
        """Keep `machines` at what the source told last, ahead of what the module has heard."""
        self.machines = machines
        self._direct = deque[ListUpdate]()
        self._urgent = deque[Machine]()
        self._calm: dict[str, Machine] = {}  # by uid: only its latest state is told

    def __len__(self) -> int:
        """How much is still to be told."""
        return len(self._direct) + len(self._urgent) + len(self._calm)

    def take(self, update: ListUpdate) -> set[str]:
        """Learn of an update; returns the uids that are gone or stand at another address now."""
        changes = self.machines.changes(update)
        gone = {m.uid for m in changes if m.state is Lifecycle.REMOVED}
        small = max(len(update.machines), len(self.machines)) if update.whole else len(changes)
        if small <= SLICE and not self._calm and not self._urgent:
            moved = len(changes) > len(update.machines) and not update.whole
            self._direct.append(ListUpdate(update.rev, False, tuple(changes)) if moved else update)
        else:
            self._queue(changes)
        self.machines.apply(update)
        return gone

    def _queue(self, changes: Iterable[Machine]) -> None:
        for machine in changes:
            waiting = self._calm.pop(machine.uid, None)
            known = waiting is None and self.machines.get(machine.uid) is not None
            if machine.state is Lifecycle.REMOVED or (known and machine.state is Lifecycle.DRAINING):
                self._urgent.append(machine)
            else:
                self._calm[machine.uid] = machine

    def next(self) -> Slice | None:
        """The next thing to tell; none once the module knows all."""
        if self._direct:
            update = self._direct.popleft()
        elif self._urgent:
            many = min(URGENT, len(self._urgent))
            update = self._partly(tuple(self._urgent.popleft() for _ in range(many)))
        elif self._calm:
            uids = list(islice(self._calm, SLICE))
            update = self._partly(tuple(self._calm.pop(uid) for uid in uids))
        else:
            return None
        return Slice(ListNews(entries(update.machines), whole=update.whole), update)

    def _partly(self, machines: tuple[Machine, ...]) -> ListUpdate:
        return ListUpdate(self.machines.rev, False, machines)
