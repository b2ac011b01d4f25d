"""A simulated service registry, and the source from which each sender receives its endpoint list."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Callable

from kestreltrack.decision import EndpointLifecycle
from kestreltrack.invariants.events import EndpointStateLearned, Event
from kestreltrack.ports import DiscoveryError, EndpointListUpdate, ListedEndpoint


class ServiceRegistry:
    """The authoritative endpoint list, which passes each change to its subscribers."""

    def __init__(self, pushes_changes: bool = False) -> None:
        """Create an empty registry.

        Where it pushes changes, an agent next to each sender receives them, and senders do not poll.
        """
        self.endpoints = dict[str, ListedEndpoint]()
        self.pushes_changes = pushes_changes
        self.revision = 0
        self.unavailable_until = float("-inf")
        """The end of the current or last outage, in milliseconds."""
        self._subscribers = dict[SimulatedEndpointSource, None]()

    def publish(self, endpoint: ListedEndpoint) -> None:
        """Add, update or remove an endpoint, according to its state."""
        self.revision += 1
        if endpoint.state is EndpointLifecycle.REMOVED:
            self.endpoints.pop(endpoint.uid, None)
        else:
            self.endpoints[endpoint.uid] = endpoint
        for subscriber in self._subscribers:
            subscriber.on_change(self.revision, endpoint)

    def subscribe(self, subscriber: SimulatedEndpointSource) -> EndpointListUpdate:
        """Pass later changes to a subscriber, and return the complete list."""
        self._subscribers[subscriber] = None
        return EndpointListUpdate(self.revision, True, tuple(self.endpoints.values()))

    def unsubscribe(self, subscriber: SimulatedEndpointSource) -> None:
        """Stop passing changes to a subscriber."""
        self._subscribers.pop(subscriber, None)


class SimulatedEndpointSource:
    """The `EndpointSource` of one sender, which receives each change after a propagation delay."""

    def __init__(
        self,
        registry: ServiceRegistry,
        propagation_delay_ms: Callable[[], float],
        sender: int,
        emit: Callable[[Event], None],
    ) -> None:
        """Create a source; `propagation_delay_ms` is called for each change."""
        self._registry = registry
        self._propagation_delay_ms = propagation_delay_ms
        self._sender = sender
        self._emit = emit
        self._queue: asyncio.Queue[EndpointListUpdate | None] = asyncio.Queue()
        """Updates in order; None where the registry has closed the connection."""
        self._last_delivery_s = 0.0

    def on_change(self, revision: int, endpoint: ListedEndpoint) -> None:
        """Deliver a change after its delay, never before an earlier change; an outage postpones it to its end."""
        loop = asyncio.get_running_loop()
        sent_s = max(loop.time(), self._registry.unavailable_until / 1000.0)
        self._last_delivery_s = max(self._last_delivery_s, sent_s + self._propagation_delay_ms() / 1000.0)
        update = EndpointListUpdate(revision, False, (endpoint,))
        loop.call_at(self._last_delivery_s, self._queue.put_nowait, update)

    def disconnect(self) -> None:
        """Handle the start of an outage: `follow` raises an error unless changes are pushed."""
        if not self._registry.pushes_changes:
            self._queue.put_nowait(None)

    async def follow(self) -> AsyncIterator[EndpointListUpdate]:
        """Yield the complete list, then each change.

        Raises:
            DiscoveryError: The registry is unavailable and does not push changes.
        """
        await self._wait_until_available()
        self._queue = asyncio.Queue()
        complete_list = self._registry.subscribe(self)
        try:
            self._emit_learned(complete_list)
            yield complete_list
            while (update := await self._queue.get()) is not None:
                self._emit_learned(update)
                yield update
            raise DiscoveryError("the service registry has become unavailable")
        finally:
            self._registry.unsubscribe(self)

    async def _wait_until_available(self) -> None:
        now = asyncio.get_running_loop().time() * 1000.0
        if now >= self._registry.unavailable_until:
            return
        if not self._registry.pushes_changes:
            raise DiscoveryError("the service registry is unavailable")
        await asyncio.sleep((self._registry.unavailable_until - now) / 1000.0)

    def _emit_learned(self, update: EndpointListUpdate) -> None:
        for endpoint in update.endpoints:
            self._emit(EndpointStateLearned(self._sender, endpoint.uid, endpoint.state.value))
