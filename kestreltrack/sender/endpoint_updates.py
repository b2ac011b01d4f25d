"""Applies the updates of the endpoint source to the decision module, the journal and the connection pool."""

from __future__ import annotations

import asyncio
import math
from collections.abc import Callable, Iterable
from contextlib import aclosing, suppress
from dataclasses import replace

from kestreltrack.decision import DiscoveryFailed, EndpointsUpdated, Settings
from kestreltrack.discovery import EndpointList
from kestreltrack.discovery.endpoint_list import comparable
from kestreltrack.discovery.endpoint_selection import fit_update, frees_room
from kestreltrack.discovery.gc_pause import LARGE_LIST_SIZE, GcPause
from kestreltrack.discovery.incremental_update import IncrementalUpdateQueue
from kestreltrack.journal import Journal, ListHead
from kestreltrack.ports import DiscoveryError, EndpointListUpdate, EndpointSource, RefusedList, Transport
from kestreltrack.sender.dispatcher import Dispatcher
from kestreltrack.sender.journal_writes import try_write
from kestreltrack.sender.message_tasks import MessageTasks
from kestreltrack.telemetry import Telemetry

# Delay before a push source is followed again after a failure; short because a new call is cheap for the source and
# drains are delayed until it is followed.
PUSH_SOURCE_RETRY_DELAY_S = 0.02
# Maximum time between the starts of two polls without a request of the decision module.  It is longer than any poll
# interval of the module, and short enough to receive a change within 6 s of the recovery of the discovery service.
MAX_POLL_INTERVAL_S = 3.8
# Minimum time from the end of a poll to the start of the next one without a request of the decision module.
MIN_POLL_PAUSE_S = 0.3
# Time after a SIGHUP within which the list of a new source address has to be received.
NEW_SOURCE_PERIOD_S = 4.0
# Mean delay before a poll of a new source address is retried.
NEW_SOURCE_RETRY_DELAY_S = 0.4
# Pause between two chunks of a large update, as long as one chunk takes, so that messages get half of the time.
CHUNK_PAUSE_S = 0.004


# Destinations to remember whose messages were rejected because the memory does not hold their endpoints.
MAX_MISSED_DESTINATIONS = 100
# Least time between two complete lists that are fetched for them, each of which costs the source the most.
MIN_RESTART_INTERVAL_S = 2.0
# Less than any revision.
NO_REVISION = -2


class EndpointUpdates:
    """Keeps the endpoint list, the decision module and the journal in sync with the endpoint source."""

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
        """Start without a list; `jitter` returns a number in [0, 1) that spreads the polls of many senders."""
        self.dispatcher = dispatcher
        self.settings = settings
        self.journal = journal
        self.endpoint_list = endpoint_list
        self.transport = transport
        self.telemetry = telemetry
        self.tasks = tasks
        self.update_queue = IncrementalUpdateQueue(endpoint_list)
        self.poll_requested = asyncio.Event()
        self.list_received = asyncio.Event()  # set by the first update of the source
        # The list that was not taken at the last poll.
        self.refused_list: RefusedList | None = None
        # Limit on the endpoints in the list; of a longer one a part is served.
        self.max_endpoints = math.inf
        # The source that is followed.
        self.source = ""
        # The revision of the list that another process was told last.
        self._adopted_revision = NO_REVISION
        # Returns the destinations that have messages.
        self.busy_destinations: Callable[[], Iterable[int]] = tuple
        # Called with the number of endpoints when the list has changed.
        self.on_list_size: Callable[[int], None] = lambda size: None
        # Has the source deliver the complete list, by its next call or at once.
        self.request_complete_list: Callable[[bool], None] = lambda at_once: None
        # Destinations without an endpoint in the list that messages were for, the latest last.
        self._missed_destinations = dict[int, None]()
        self._restarted_at_s = -math.inf
        self._jitter = jitter
        self._applying_remainder = False
        # On the loop's clock: until then a new source address may not respond yet, and is polled more often.
        self._new_source_deadline_s = -math.inf

    def poll_now(self) -> None:
        """Poll without a request of the decision module, because the address of the source has changed."""
        self.poll_requested.set()
        self._new_source_deadline_s = asyncio.get_running_loop().time() + NEW_SOURCE_PERIOD_S

    def wanted_destinations(self) -> set[int]:
        """Return the destinations that messages are for, whose endpoints are kept rather than others."""
        return {*self.busy_destinations(), *self._missed_destinations}

    def miss_destination(self, dest: int) -> None:
        """Note that a message was rejected because no endpoint of its destination is held, and fetch some."""
        self._missed_destinations.pop(dest, None)
        self._missed_destinations[dest] = None
        if len(self._missed_destinations) > MAX_MISSED_DESTINATIONS:
            del self._missed_destinations[next(iter(self._missed_destinations))]
        now_s = asyncio.get_running_loop().time()
        if now_s >= self._restarted_at_s + MIN_RESTART_INTERVAL_S:
            self._restarted_at_s = now_s
            self.request_complete_list(True)

    async def follow(self, source: EndpointSource) -> None:
        """Poll the source when the decision module requests it, and apply its updates; runs until it is cancelled.

        The decision module never requests a poll of a push source, which is followed from the start and again after
        each failure.  The source is polled again after any failure, because drains would be missed if updates
        stopped for good.
        """
        loop = asyncio.get_running_loop()
        poll_started_at_s = loop.time()
        while True:
            await self._wait_until_poll_due(poll_started_at_s)
            poll_started_at_s = loop.time()
            await self._follow_until_failure(source)
            self.dispatcher.notify(DiscoveryFailed())
            if not self.settings.must_poll:
                await asyncio.sleep(PUSH_SOURCE_RETRY_DELAY_S)
                self.poll_requested.set()

    async def _wait_until_poll_due(self, last_poll_started_at_s: float) -> None:
        """Wait for a poll request of the decision module, for a limited time.

        A bug in the decision module or the dispatcher may lose a request.  In addition, the backoff of the module is
        meant for an outage and too long for a new source address.
        """
        loop = asyncio.get_running_loop()
        due_at_s = max(last_poll_started_at_s + MAX_POLL_INTERVAL_S, loop.time() + MIN_POLL_PAUSE_S)
        if loop.time() < self._new_source_deadline_s:
            due_at_s = loop.time() + NEW_SOURCE_RETRY_DELAY_S * (0.5 + self._jitter())
        with suppress(TimeoutError):
            async with asyncio.timeout_at(due_at_s):
                await self.poll_requested.wait()
        self.poll_requested.clear()

    async def _follow_until_failure(self, source: EndpointSource) -> None:
        """Apply the updates of the source until it ends or fails, and record the failure."""
        task = asyncio.current_task()
        try:
            await self._apply_updates(source)
        except DiscoveryError as error:
            self.telemetry.record_fault("discovery.failed", error=str(error))
            self._record_refused(error)
        except asyncio.CancelledError:
            if task is None or task.cancelling():
                raise
            self.telemetry.record_fault("discovery.fault", error="the source was cancelled")
        except Exception as error:  # a bug in the source or in a receiver of its updates
            self.telemetry.record_fault("discovery.fault", error=repr(error))

    def _record_refused(self, error: DiscoveryError) -> None:
        """Report a list that began to come and was not taken: until one is, the sender acts on an older list."""
        refused = error.refused_list
        if refused is None:
            return
        self.refused_list = refused
        self.telemetry.record_fault(
            "discovery.list_refused",
            error=refused.reason,
            received_bytes=refused.received_bytes,
            limit_bytes=refused.limit_bytes,
            elapsed_s=refused.elapsed_s,
            revision_in_use=self.endpoint_list.revision,
        )

    async def _apply_updates(self, source: EndpointSource) -> None:
        async with aclosing(source.follow()) as updates:  # type: ignore[type-var]
            async for update in updates:
                self.refused_list = None
                if not self._is_outdated(update):
                    self._take(replace(update, source=self.source))
                    self._adopted_revision = NO_REVISION
                self.apply_next_chunk()
                self.list_received.set()

    def adopt(self, update: EndpointListUpdate) -> None:
        """Apply an update that another process of this sender was told, unless this one was told as much."""
        if not self.is_news(update):
            return
        self._take(replace(update, source=self.source), cached=True)
        self._adopted_revision = update.revision
        self.apply_next_chunk(is_remainder=True)

    def is_news(self, update: EndpointListUpdate | ListHead) -> bool:
        """Return whether an update of another process says more than the list in use.

        One that went to the other process in parts, or that its file was rewritten amid, comes with the same revision
        several times.
        """
        if not comparable(update.source, self.source):
            return False  # told by another address than the one that this process follows
        listed = self.endpoint_list
        if not comparable(update.source, listed.source):
            return update.complete
        if update.revision == listed.revision:
            return not update.complete or self._adopted_revision == update.revision
        return update.revision > listed.revision

    def _is_outdated(self, update: EndpointListUpdate) -> bool:
        """Return whether changes from the source are part of a list that another process was told before."""
        is_behind = update.revision < self.endpoint_list.revision == self._adopted_revision
        return is_behind and not update.complete

    def _take(self, received: EndpointListUpdate, cached: bool = False) -> None:
        """Queue an update, as far as the list then has no more endpoints than it may have."""
        update = fit_update(received, self.endpoint_list, self.max_endpoints, self.wanted_destinations())
        if self.endpoint_list.omitted and frees_room(update, self.endpoint_list):
            # For the endpoints that were left out.
            self.request_complete_list(False)
        self._log(update)
        for uid in self.update_queue.enqueue(update, cached):
            self.transport.close_idle(uid)
        self.on_list_size(len(self.endpoint_list))
        if update.omitted:
            self.telemetry.record_fault(
                "discovery.list_partial",
                error="the memory does not hold all endpoints",
                listed=len(self.endpoint_list),
                omitted=self.endpoint_list.omitted,
                revision=update.revision,
            )

    def _log(self, update: EndpointListUpdate) -> None:
        if update.endpoints or update.complete or update.revision != self.endpoint_list.revision:
            self.telemetry.log(
                "endpoint_list",
                revision=update.revision,
                complete=update.complete,
                count=len(update.endpoints),
            )

    def apply_next_chunk(self, is_remainder: bool = False) -> None:
        """Apply the most urgent chunk of the queued updates, and start a task that applies the remaining ones.

        The task marks its chunks as cached, because they are no evidence that the source is still reachable: its
        connection may have failed meanwhile, and then the decision module has to request a poll.
        """
        chunk = self.update_queue.next_chunk()
        if chunk is None:
            # Nothing changed in a large list, but the response shows that the source is reachable.
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
                except Exception as error:  # the remaining chunks must not wait for the next update
                    self.telemetry.record_fault("discovery.fault", error=repr(error))
        finally:
            self._applying_remainder = False
            if is_large:
                GcPause.end()
