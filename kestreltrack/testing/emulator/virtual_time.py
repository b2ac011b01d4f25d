"""An event loop on a driven clock: code of asyncio runs unchanged, and an hour takes as long as its work.

Where the loop would sleep until its next timer, the clock is set there instead.  Nothing on it may wait for a socket,
a thread or a process: such a wait would never end, and is an error here.
"""

from __future__ import annotations

import asyncio
import selectors
from collections.abc import Coroutine
from typing import Any, TypeVar

T = TypeVar("T")


class DeadlockError(RuntimeError):
    """All tasks wait, and no timer is set."""


class _VirtualTimeSelector(selectors.SelectSelector):
    """Never waits: tells the loop how long it would have."""

    loop: VirtualTimeLoop

    def select(self, timeout: float | None = None) -> list[tuple[selectors.SelectorKey, int]]:
        """Pass the time."""
        if timeout is None:
            raise DeadlockError("all tasks wait for something other than the clock")
        if timeout > 0:
            self.loop.now += timeout
        return []


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """`now` is its time, in seconds."""

    def __init__(self, start: float = 0.0) -> None:
        """Begin at a time."""
        selector = _VirtualTimeSelector()
        self.now = start
        selector.loop = self
        super().__init__(selector)

    def time(self) -> float:
        """The driven clock."""
        return self.now


def run_in_virtual_time(coroutine: Coroutine[Any, Any, T], start: float = 0.0) -> T:
    """Run a coroutine on a driven clock that begins at a time."""
    with asyncio.Runner(loop_factory=lambda: VirtualTimeLoop(start)) as runner:
        return runner.run(coroutine)
