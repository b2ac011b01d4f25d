"""A sender's process in virtual time: the real core, dispatcher, journal and policy on simulated ports.

Only the journal's folder survives the end of the process.
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
from kestreltrack.testing.emulator.notifier import SimulatedNotifier
from kestreltrack.testing.emulator.service_registry import SimulatedEndpointSource
from kestreltrack.testing.emulator.transport import SimulatedTransport

# Size limit of a journal; a simulated run fills a fraction of it.
MAX_JOURNAL_BYTES = 64 * 1024 * 1024


class _DisabledDecider:
    """Replaces the policy of a process that has ended, whose timers are still pending on the loop."""

    def handle(self, now: float, event: Event) -> None:
        """Ignore the event."""

    def decide(self, now: float) -> Sequence[Action]:
        """Return no action."""
        return ()

    def permits(self, now: float, dest: int, endpoint_name: str) -> bool:
        """Do not permit an attempt to send its first byte."""
        return False


def disable_dispatcher(dispatcher: Dispatcher) -> None:
    """Stop a dispatcher from making decisions, and drop its pending messages."""
    dispatcher.decider = _DisabledDecider()
    dispatcher.pending_messages.clear()


class SilentTelemetry(Telemetry):
    """Telemetry that counts but writes no log lines."""

    def record_fault(self, counter: str, **fields: object) -> None:
        """Count a fault.

        The rate limit of fault lines uses the real clock, on which no simulated run may depend.
        """
        self.count(counter)

    def log(self, event: str, **fields: object) -> None:
        """Drop the line."""


class SimulatedSender:
    """One incarnation of one sender."""

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
        """Load the journal of the previous incarnation; `decider` may wrap or replace the policy."""
        self.telemetry = SilentTelemetry()
        self.policy = Policy(settings, seed)
        self.dispatcher = Dispatcher(decider(self.policy) if decider else self.policy, clock, self.telemetry)
        self.dispatcher.max_batch_size = transport.max_batch_size
        self.journal = Journal(folder, MAX_JOURNAL_BYTES, self.telemetry)
        self.transport = transport
        self.endpoint_source = endpoint_source
        transport.is_unhealthy = self._is_unhealthy
        # A seeded generator makes the jitter depend on the simulation's seed alone.
        jitter = random.Random(seed).random
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
        self._submissions = dict[asyncio.Task[SubmitResult], None]()
        self.alive = True
        self.fleet: FleetParticipation | None = None
        """None where the senders of the scenario do not communicate."""

    def _is_unhealthy(self, dest: int) -> bool:
        destination = self.policy.destinations.get(dest)
        return bool(destination and destination.unhealthy)

    def start(self) -> int:
        """Start in the order of `sender/assembly.py`, and return the number of recovered messages."""
        cached_endpoints = self.journal.endpoints
        if cached_endpoints is not None:
            self.dispatcher.notify(self.core.endpoint_list.apply(cached_endpoints, cached=True))
        self.dispatcher.notify(TimerExpired(0))
        for record in self.journal.outstanding.values():
            self.transport.attempt_counts[record.message.id] = record.attempts - 1
        recovered_count = len(self.journal.outstanding)
        self.core.recover()
        self._follower = asyncio.create_task(self.core.follow_source(self.endpoint_source))
        self.core.poll_now()
        return recovered_count

    async def submit(self, message: Message) -> SubmitResult | None:
        """Submit a message; return None where the process ends before it answers."""
        task = asyncio.create_task(self.core.submit(message))
        self._submissions[task] = None
        try:
            return await task
        except asyncio.CancelledError:
            if self.alive:
                raise
            return None
        finally:
            self._submissions.pop(task, None)

    async def kill(self) -> None:
        """End the process at once, without a shutdown."""
        self.alive = False
        if self.fleet:
            self.fleet.kill()
        disable_dispatcher(self.dispatcher)
        self.transport.kill()
        for task in list(self._submissions):
            task.cancel()
        if self._follower:
            self._follower.cancel()
            with suppress(asyncio.CancelledError):
                await self._follower
        await self.core.abandon()
        self.journal.close()
