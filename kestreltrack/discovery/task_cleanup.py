"""Ends the tasks that a source has started before the source itself ends."""

from __future__ import annotations

import asyncio
from collections.abc import Iterable
from typing import Any


async def cancel_and_wait(tasks: Iterable[asyncio.Task[Any] | None]) -> None:
    """Cancel the tasks and wait until all have ended; their results and exceptions are discarded.

    A cancellation of the caller does not shorten the wait, because a generator that one of the tasks runs cannot be
    closed before the task has ended.

    Raises:
        asyncio.CancelledError: The caller was cancelled during the wait; raised once all tasks have ended.
    """
    started = [task for task in tasks if task is not None]
    for task in started:
        task.cancel()
    pending = set(started)
    cancellation: asyncio.CancelledError | None = None
    while pending:
        try:
            _, pending = await asyncio.wait(pending)
        except asyncio.CancelledError as error:
            cancellation = error
    for task in started:
        if not task.cancelled():
            task.exception()  # retrieved so that the event loop does not log it
    if cancellation is not None:
        raise cancellation
