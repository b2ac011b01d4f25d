"""A list source that can be exchanged for another while it is followed."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from contextlib import aclosing, suppress

from kestreltrack.ports import DiscoveryError, EndpointListUpdate, EndpointSource


class SwitchableSource:
    """Follows one source until it is told another; the new one begins with its whole list.

    What the old one told holds until then, and the whole list is told as what it changes: endpoints that stay
    keep their waits, drains and health.
    """

    def __init__(self, source: EndpointSource) -> None:
        """Begin with this one."""
        self.source, self._switched = source, asyncio.Event()

    def switch_to(self, source: EndpointSource) -> None:
        """Leave the present source for this one."""
        self.source = source
        self._switched.set()

    async def follow(self) -> AsyncIterator[EndpointListUpdate]:
        """What the source in force tells; its `SourceFailed` goes to the caller."""
        while True:
            self._switched.clear()
            async with aclosing(self.source.follow()) as updates:  # type: ignore[type-var]
                async for update in self._until_switched(updates):
                    yield update

    async def _until_switched(
        self, updates: AsyncIterator[EndpointListUpdate]
    ) -> AsyncIterator[EndpointListUpdate]:
        switched = asyncio.create_task(self._switched.wait())
        coming: asyncio.Task[EndpointListUpdate] | None = None
        try:
            while not self._switched.is_set():
                coming = asyncio.ensure_future(anext(updates))
                await asyncio.wait({coming, switched}, return_when=asyncio.FIRST_COMPLETED)
                if self._switched.is_set():
                    return
                try:
                    update = coming.result()
                except StopAsyncIteration:  # not for it to say: begun anew at once it might end for ever
                    raise DiscoveryError("the source ended") from None
                yield update
        finally:
            for task in (switched, coming):
                if task:
                    task.cancel()
                    with suppress(BaseException):
                        await task
