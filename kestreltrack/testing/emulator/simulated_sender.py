"""A sender's process in simulated time: the real core, desk, journal and module on ports of the world.

What stays of it when it dies is the folder of its journal.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable, Sequence
from contextlib import suppress
from pathlib import Path

from kestreltrack.decision import Action, Event, Policy, Settings, TimerExpired
from kestreltrack.discovery import EndpointList
from kestreltrack.journal import Journal
from kestreltrack.ports import Message, SubmitResult
from kestreltrack.sender.delivery import Core
from kestreltrack.sender.dispatcher import Decider, Dispatcher
from kestreltrack.telemetry import Telemetry
from kestreltrack.testing.emulator.fleet_members import FleetParticipation
from kestreltrack.testing.emulator.ports import SimulatedEndpointSource, SimulatedNotifier, SimulatedTransport

JOURNAL_BYTES = 64 * 1024 * 1024


class _DeadDecider:
    """In the place of the module of a process that has died: its timers are still on the loop."""

    def handle(self, now: float, event: Event) -> None:
        """Nobody learns of it."""

    def decide(self, now: float) -> Sequence[Action]:
        """Nothing."""
        return ()

    def permits(self, now: float, dest: int, endpoint_name: str) -> bool:
        """No first byte any more."""
        return False


def disable_dispatcher(dispatcher: Dispatcher) -> None:
    """From now on nothing is decided at a desk, and nobody sits there."""
    dispatcher.decider = _DeadDecider()
    dispatcher.pending_messages.clear()


class SilentTelemetry(Telemetry):
    """Counts, and writes no lines."""

    def record_fault(self, counter: str, **fields: object) -> None:
        """Count it; how many lines it would be hangs on the real clock, which no run may depend on."""
        self.count(counter)

    def log(self, event: str, **fields: object) -> None:
        """No line."""


class SimulatedSender:
    """One life of one sender."""

    def __init__(
        self,
        folder: Path,
        settings: Settings,
        seed: int,
        transport: SimulatedTransport,
        endpoint_source: SimulatedEndpointSource,
        notifier: SimulatedNotifier,
        clock: Callable[[], float],
        decider: Callable[[Policy], Decider] | None = None,
    ) -> None:
        """Reads the journal that the last life left; `decider` may stand before the module."""
        self.telemetry = SilentTelemetry()
        self.policy = Policy(settings, seed)
        self.dispatcher = Dispatcher(decider(self.policy) if decider else self.policy, clock, self.telemetry)
        self.dispatcher.max_batch_size = transport.max_batch_size
        self.journal = Journal(folder, JOURNAL_BYTES, self.telemetry)
        self.transport = transport
        self.endpoint_source = endpoint_source
        transport.is_unhealthy = self._is_unhealthy
        jitter = random.Random(seed).random  # one seed is one run
        self.core = Core(
            self.dispatcher,
            settings,
            self.journal,
            EndpointList(),
            transport,
            notifier,
            self.telemetry,
            jitter,
        )
        self._follower: asyncio.Task[None] | None = None
        self._submitting = dict[asyncio.Task[SubmitResult], None]()
        self.alive = True
        self.fleet: FleetParticipation | None = None  # with others, where they do

    def _is_unhealthy(self, dest: int) -> bool:
        found = self.policy.destinations.get(dest)
        return bool(found and found.unhealthy)

    def start(self) -> int:
        """What `sender/assembly.py` does at a start; returns how many messages were recovered."""
        kept = self.journal.endpoints
        if kept is not None:
            self.dispatcher.notify(self.core.endpoint_list.apply(kept, cached=True))
        self.dispatcher.notify(TimerExpired(0))
        for held in self.journal.outstanding.values():
            self.transport.attempt_counts[held.message.id] = held.attempts - 1
        recovered = len(self.journal.outstanding)
        self.core.recover()
        self._follower = asyncio.create_task(self.core.follow_source(self.endpoint_source))
        self.core.poll_now()
        return recovered

    async def submit(self, message: Message) -> SubmitResult | None:
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

    async def kill(self) -> None:
        """Without a word, at this instant."""
        self.alive = False
        if self.fleet:
            self.fleet.kill()
        disable_dispatcher(self.dispatcher)
        self.transport.kill()
        for task in list(self._submitting):
            task.cancel()
        if self._follower:
            self._follower.cancel()
            with suppress(asyncio.CancelledError):
                await self._follower
        await self.core.abandon()
        self.journal.close()
