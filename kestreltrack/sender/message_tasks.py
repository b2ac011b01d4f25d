"""Owns the background tasks of a `Core`, records their exceptions and cancels them at shutdown."""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine

from kestreltrack.telemetry import Telemetry


class MessageTasks:
    """The background tasks of one `Core`.

    `asyncio.TaskGroup` is unsuitable: it cancels all tasks when one of them fails, while here an exception in the
    processing of one message must not affect the others.
    """

    def __init__(self, telemetry: Telemetry) -> None:
        self._telemetry = telemetry
        self._tasks: set[asyncio.Task[None]] = set()

    def start(self, coroutine: Coroutine[None, None, None]) -> asyncio.Task[None]:
        """Run `coroutine` as a task; an exception that it raises is logged."""
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._on_task_done)
        return task

    async def cancel_all(self) -> None:
        """Cancel all tasks and wait until they have ended."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def _on_task_done(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        if task.cancelled():
            return
        error = task.exception()
        if error is not None:
            self._telemetry.record_fault("delivery.fault", error=repr(error))
