"""An endpoint source that can be replaced by another one at run time."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from contextlib import aclosing

from kestreltrack.discovery.task_cleanup import cancel_and_wait
from kestreltrack.ports import DiscoveryError, EndpointListUpdate, EndpointSource


class SwitchableSource:
    """Follows one source until another one replaces it.

    The list of the old source stays in effect until the new source has sent its complete list, of which only the
    differences are applied: endpoints on both lists keep their retry-after, drains and health.

    Attributes:
        source: The active source.
    """

    def __init__(self, source: EndpointSource) -> None:
        """Start with `source`."""
        self.source = source
        self._switched = asyncio.Event()

    def switch_to(self, source: EndpointSource) -> None:
        """Replace the active source by `source`, even while it is being followed."""
        self.source = source
        self._switched.set()

    async def follow(self) -> AsyncIterator[EndpointListUpdate]:
        """Yield the updates of the active source indefinitely.

        Raises:
            DiscoveryError: The active source failed or ended without being replaced.
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
                    # An error: a source that ends could otherwise be restarted in a busy loop.
                    raise DiscoveryError("the endpoint source ended unexpectedly") from None
                yield update
        finally:
            await cancel_and_wait((switched, next_update))
