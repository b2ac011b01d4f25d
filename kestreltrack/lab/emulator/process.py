"""A sender's process in simulated time: the real core, desk, journal and module on ports of the world.

What stays of it when it dies is the folder of its journal.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable, Sequence
from contextlib import suppress
from pathlib import Path

from kestreltrack.decision import Policy
from kestreltrack.decision.api import Action, Event, Settings, TimerDue
from kestreltrack.journal import Journal
from kestreltrack.lab.emulator.peers import Talk
from kestreltrack.lab.emulator.ports import Board, Told, Wires
from kestreltrack.machinelist import MachineList
from kestreltrack.ports import Answer, Message
from kestreltrack.sender.core import Core
from kestreltrack.sender.desk import Decider, Desk
from kestreltrack.telemetry import Telemetry

FOLDER_BYTES = 64 * 1024 * 1024


class _Gone:
    """In the place of the module of a process that has died: its timers are still on the loop."""

    def take(self, now: float, event: Event) -> None:
        """Nobody learns of it."""

    def decide(self, now: float) -> Sequence[Action]:
        """Nothing."""
        return ()

    def permits(self, now: float, number: int, name: str) -> bool:
        """No first byte any more."""
        return False


def kill(desk: Desk) -> None:
    """From now on nothing is decided at a desk, and nobody sits there."""
    desk.decider = _Gone()
    desk.seats.clear()


class Quiet(Telemetry):
    """Counts, and writes no lines."""

    def trouble(self, counter: str, **fields: object) -> None:
        """Count it; how many lines it would be hangs on the real clock, which no run may depend on."""
        self.count(counter)

    def log(self, event: str, **fields: object) -> None:
        """No line."""


class Process:
    """One life of one sender."""

    def __init__(
        self,
        folder: Path,
        settings: Settings,
        seed: int,
        wires: Wires,
        told: Told,
        board: Board,
        clock: Callable[[], float],
        decider: Callable[[Policy], Decider] | None = None,
    ) -> None:
        """Reads the journal that the last life left; `decider` may stand before the module."""
        self.telemetry = Quiet()
        self.policy = Policy(settings, seed)
        self.desk = Desk(decider(self.policy) if decider else self.policy, clock, self.telemetry)
        self.desk.batch = wires.batch
        self.journal = Journal(folder, FOLDER_BYTES, self.telemetry)
        self.wires, self.told = wires, told
        wires.sick = self._sick
        jitter = random.Random(seed).random  # one seed is one run
        self.core = Core(
            self.desk, settings, self.journal, MachineList(), wires, board, self.telemetry, jitter
        )
        self._follower: asyncio.Task[None] | None = None
        self._submitting = dict[asyncio.Task[Answer], None]()
        self.alive = True
        self.talk: Talk | None = None  # with others, where they do

    def _sick(self, dest: int) -> bool:
        found = self.policy.dests.get(dest)
        return bool(found and found.sick)

    def begin(self) -> int:
        """What `sender/assembly.py` does at a start; returns how many messages were recovered."""
        kept = self.journal.machines
        if kept is not None:
            self.desk.tell(self.core.machines.apply(kept, remembered=True))
        self.desk.tell(TimerDue(0))
        for held in self.journal.held.values():
            self.wires.tries[held.message.id] = held.tries - 1
        recovered = len(self.journal.held)
        self.core.recover()
        self._follower = asyncio.create_task(self.core.follow(self.told))
        self.core.ask()
        return recovered

    async def submit(self, message: Message) -> Answer | None:
        """Hand a message in; none where the process dies meanwhile."""
        task = asyncio.create_task(self.core.submit(message))
        self._submitting[task] = None
        try:
            return await task
        except asyncio.CancelledError:
            if self.alive:
                raise
            return None
        finally:
            self._submitting.pop(task, None)

    async def die(self) -> None:
        """Without a word, at this instant."""
        self.alive = False
        if self.talk:
            self.talk.die()
        kill(self.desk)
        self.wires.die()
        for task in list(self._submitting):
            task.cancel()
        if self._follower:
            self._follower.cancel()
            with suppress(asyncio.CancelledError):
                await self._follower
        await self.core.abandon()
        self.journal.close()
