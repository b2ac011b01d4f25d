"""The event loop in virtual time: its clock advances only when no task can run."""

from __future__ import annotations

import asyncio

import pytest

from kestreltrack.testing.emulator.virtual_time import DeadlockError, VirtualTimeLoop, run_in_virtual_time


def test_virtual_clock_advances_only_while_all_tasks_wait() -> None:
    async def work() -> tuple[float, list[int]]:
        order = list[int]()
        loop = asyncio.get_running_loop()
        for n, at in enumerate((3600.0, 10.0, 10.5, 0.5)):
            loop.call_later(at, order.append, n)
        await asyncio.sleep(3600.5)
        return loop.time(), order

    assert run_in_virtual_time(work(), start=100.0) == (3700.5, [3, 1, 2, 0])
    with pytest.raises(DeadlockError):
        run_in_virtual_time(asyncio.Event().wait())


def test_virtual_time_loop_is_a_selector_event_loop() -> None:
    assert issubclass(VirtualTimeLoop, asyncio.SelectorEventLoop)
