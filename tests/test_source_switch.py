"""Switching between endpoint sources: the order of end and start, and cancellation during a switch."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator

import pytest

from kestreltrack.discovery.source_switch import SwitchableSource
from kestreltrack.discovery.task_cleanup import cancel_and_wait
from kestreltrack.ports import EndpointListUpdate

CLEANUP_S = 0.05


class SlowlyEndingSource:
    """A source without updates whose cleanup takes `CLEANUP_S`."""

    def __init__(self) -> None:
        self.followed = asyncio.Event()
        self.ended = False

    async def follow(self) -> AsyncIterator[EndpointListUpdate]:
        self.followed.set()
        try:
            await asyncio.sleep(1000.0)
            yield EndpointListUpdate(1, True, ())
        finally:
            await asyncio.sleep(CLEANUP_S)
            self.ended = True


async def consume(source: SwitchableSource) -> None:
    async for _ in source.follow():
        pass


def test_switch_ends_the_old_source_before_the_new_one_is_followed() -> None:
    async def scenario() -> None:
        old = SlowlyEndingSource()
        new = SlowlyEndingSource()
        source = SwitchableSource(old)
        consumer = asyncio.create_task(consume(source))
        await old.followed.wait()

        source.switch_to(new)

        await new.followed.wait()
        assert old.ended
        await cancel_and_wait([consumer])
        assert new.ended

    asyncio.run(asyncio.wait_for(scenario(), 10.0))


def test_cancellation_during_the_cleanup_of_the_old_source_is_not_lost() -> None:
    async def scenario() -> None:
        old = SlowlyEndingSource()
        new = SlowlyEndingSource()
        source = SwitchableSource(old)
        consumer = asyncio.create_task(consume(source))
        await old.followed.wait()
        source.switch_to(new)
        await asyncio.sleep(CLEANUP_S / 5)

        consumer.cancel()

        with pytest.raises(asyncio.CancelledError):
            await asyncio.wait_for(consumer, 1.0)
        assert old.ended and not new.followed.is_set()

    asyncio.run(asyncio.wait_for(scenario(), 10.0))


def test_results_of_failed_and_cancelled_tasks_are_discarded() -> None:
    async def scenario() -> None:
        async def fail() -> None:
            raise RuntimeError("injected fault")

        failed = asyncio.create_task(fail())
        waiting = asyncio.create_task(asyncio.sleep(1000.0))
        await asyncio.sleep(0)

        await cancel_and_wait([failed, None, waiting])

        assert waiting.cancelled() and failed.done()

    asyncio.run(asyncio.wait_for(scenario(), 10.0))
