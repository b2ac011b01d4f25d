"""Follows the source of the endpoint list and passes its updates on to the decision module and the journal."""

from __future__ import annotations

import asyncio
import math
from collections.abc import Callable
from contextlib import aclosing, suppress
from dataclasses import replace

from kestreltrack.decision import DiscoveryFailed, EndpointsUpdated, Settings
from kestreltrack.discovery import EndpointList
from kestreltrack.discovery.gc_pause import LARGE_LIST_SIZE, GcPause
from kestreltrack.discovery.incremental_update import IncrementalUpdateQueue
from kestreltrack.journal import Journal
from kestreltrack.ports import DiscoveryError, EndpointListUpdate, EndpointSource, Transport
from kestreltrack.sender.dispatcher import Dispatcher
from kestreltrack.sender.journal_writes import try_write
from kestreltrack.sender.message_tasks import MessageTasks
from kestreltrack.telemetry import Telemetry

# Until an agent that pushes lists is followed again after a failure: a new call costs it nothing, and drains wait
# for it.
AGENT_RETRY_DELAY_S = 0.02
# From the start of a poll until the next one starts without a request of the decision module.  It is more than the
# module ever waits, and little enough for a change to be received within 6 s of the return of the discovery service.
MAX_POLL_INTERVAL_S = 3.8
# From the end of a poll until the next one starts without a request of the decision module.
MIN_POLL_PAUSE_S = 0.3
# After SIGHUP: what a new address of the source lists has to be received within this time.
NEW_SOURCE_PERIOD_S = 4.0
# Mean time between polls of a new address that fails.
NEW_SOURCE_RETRY_DELAY_S = 0.4
# Between the chunks of a large update: as long as one takes, so that messages get half of the time.
CHUNK_PAUSE_S = 0.004


class EndpointUpdates:
    """Keeps the endpoint list, the decision module and the journal at what the source tells."""

    def __init__(
        self,
        dispatcher: Dispatcher,
        settings: Settings,
        journal: Journal,
        endpoint_list: EndpointList,
        transport: Transport,
        telemetry: Telemetry,
        tasks: MessageTasks,
        jitter: Callable[[], float],
    ) -> None:
        """Wire the parts together; `jitter` returns a number of [0, 1) that spreads the polls of many senders."""
        self.dispatcher = dispatcher
        self.settings = settings
        self.journal = journal
        self.endpoint_list = endpoint_list
        self.transport = transport
        self.telemetry = telemetry
        self.tasks = tasks
        self.update_queue = IncrementalUpdateQueue(endpoint_list)
        self.poll_requested = asyncio.Event()
        self.list_received = asyncio.Event()  # set once the source has sent its first update
        self._jitter = jitter
        self._applying_remainder = False
        self._source_new_until_s = (
            -math.inf
        )  # on the loop's clock: until then the new source may not answer yet

    def poll_now(self) -> None:
        """Poll at once, whatever the decision module waits for: the source has moved to another address."""
        self.poll_requested.set()
        self._source_new_until_s = asyncio.get_running_loop().time() + NEW_SOURCE_PERIOD_S

    async def follow(self, source: EndpointSource) -> None:
        """Poll the source whenever the decision module requests it, and pass on the updates, without end.

        Where lists are pushed the module never requests a poll: the source is followed from the start, and again
        after each failure.  Whatever fails, the source is polled again: if updates stopped for good, drains would
        be missed.
        """
        loop = asyncio.get_running_loop()
        poll_started_at_s = loop.time()
        while True:
            await self._wait_until_poll_due(poll_started_at_s)
            poll_started_at_s = loop.time()
            await self._follow_until_failure(source)
            self.dispatcher.notify(DiscoveryFailed())
            if not self.settings.must_poll:
                await asyncio.sleep(AGENT_RETRY_DELAY_S)
                self.poll_requested.set()

    async def _wait_until_poll_due(self, last_poll_started_at_s: float) -> None:
        """Wait for a request of the decision module, for a limited time.

        A request may be lost by a fault of the module or of the dispatcher.  And the module's backoff, made for an
        outage, is too long for an address that is new.
        """
        loop = asyncio.get_running_loop()
        due_at_s = max(last_poll_started_at_s + MAX_POLL_INTERVAL_S, loop.time() + MIN_POLL_PAUSE_S)
        if loop.time() < self._source_new_until_s:
            due_at_s = loop.time() + NEW_SOURCE_RETRY_DELAY_S * (0.5 + self._jitter())
        with suppress(TimeoutError):
            async with asyncio.timeout_at(due_at_s):
                await self.poll_requested.wait()
        self.poll_requested.clear()

    async def _follow_until_failure(self, source: EndpointSource) -> None:
        """Pass on what the source sends, until it ends or fails, and record how it failed."""
        task = asyncio.current_task()
        try:
            await self._pass_on_updates(source)
        except DiscoveryError as error:
            self.telemetry.record_fault("discovery.failed", error=str(error))
        except asyncio.CancelledError:
            if task is None or task.cancelling():
                raise
            self.telemetry.record_fault("discovery.fault", error="the source was cancelled")
        except Exception as error:  # a fault of the source, or of what its updates are passed on to
            self.telemetry.record_fault("discovery.fault", error=repr(error))

    async def _pass_on_updates(self, source: EndpointSource) -> None:
        async with aclosing(source.follow()) as updates:  # type: ignore[type-var]
            async for update in updates:
                self._log(update)
                for uid in self.update_queue.enqueue(update):
                    self.transport.close_idle(uid)
                self.apply_next_chunk()
                self.list_received.set()

    def _log(self, update: EndpointListUpdate) -> None:
        if update.endpoints or update.complete or update.revision != self.endpoint_list.revision:
            self.telemetry.log("list", rev=update.revision, whole=update.complete, n=len(update.endpoints))

    def apply_next_chunk(self, is_remainder: bool = False) -> None:
        """Pass on the most urgent chunk; a task passes on the rest, with time for messages in between.

        A chunk of the rest is marked as cached, since it is no sign that the source can still be reached: its
        connection may have failed meanwhile, and the decision module has to request a poll then.
        """
        chunk = self.update_queue.next_chunk()
        if chunk is None:  # a large list with no change: that the source answered is news all the same
            self.dispatcher.notify(EndpointsUpdated([], complete=False, cached=is_remainder))
            return
        self.dispatcher.notify(replace(chunk.event, cached=is_remainder))
        if chunk.update.endpoints or chunk.update.complete:
            try_write(self.telemetry, self.journal.record_endpoints, chunk.update)
        if len(self.update_queue) and not self._applying_remainder:
            self._applying_remainder = True
            self.tasks.start(self._apply_remainder())

    async def _apply_remainder(self) -> None:
        is_large = len(self.update_queue) >= LARGE_LIST_SIZE
        if is_large:
            GcPause.begin()
        try:
            while len(self.update_queue):
                await asyncio.sleep(CHUNK_PAUSE_S)
                try:
                    self.apply_next_chunk(is_remainder=True)
                except Exception as error:  # the rest must not wait for the next update
                    self.telemetry.record_fault("discovery.fault", error=repr(error))
        finally:
            self._applying_remainder = False
            if is_large:
                GcPause.end()
