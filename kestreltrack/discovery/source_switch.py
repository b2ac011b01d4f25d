"""An endpoint source that can be replaced by another one while it is followed."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from contextlib import aclosing

from kestreltrack.discovery.task_cleanup import cancel_and_wait
from kestreltrack.ports import DiscoveryError, EndpointListUpdate, EndpointSource


class SwitchableSource:
    """Follows one source until another one replaces it; the new one begins with its complete list.

    The list of the old source stays in force until then, and the complete list of the new one is applied as the
    difference: endpoints that are on both keep their retry-after, drains and health.

    Attributes:
        source: The source in force.
    """

    def __init__(self, source: EndpointSource) -> None:
        """Begin with `source`."""
        self.source = source
        self._switched = asyncio.Event()

    def switch_to(self, source: EndpointSource) -> None:
        """Replace the source in force by `source`, also while it is followed."""
        self.source = source
        self._switched.set()

    async def follow(self) -> AsyncIterator[EndpointListUpdate]:
        """Yield the updates of the source in force, without end.

        Raises:
            DiscoveryError: The source in force failed, or ended by itself.
        """
        while True:
            self._switched.clear()
            async with aclosing(self.source.follow()) as updates:  # type: ignore[type-var]
                async for update in self._until_switched(updates):
                    yield update

    async def _until_switched(
        self, updates: AsyncIterator[EndpointListUpdate]
    ) -> AsyncIterator[EndpointListUpdate]:
        switched = asyncio.create_task(self._switched.wait())
        next_update: asyncio.Task[EndpointListUpdate] | None = None
        try:
            while not self._switched.is_set():
                next_update = asyncio.ensure_future(anext(updates))
                await asyncio.wait({next_update, switched}, return_when=asyncio.FIRST_COMPLETED)
                if self._switched.is_set():
                    return
                try:
                    update = next_update.result()
                except StopAsyncIteration:
                    # A source that ends is a fault: restarted at once, it could end for ever in a busy loop.
                    raise DiscoveryError("the endpoint source ended by itself") from None
                yield update
        finally:
            await cancel_and_wait((switched, next_update))
