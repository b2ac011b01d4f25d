"""An event loop on a virtual clock: code of asyncio runs unchanged, and an hour takes as long as its work.

Where the loop would sleep until its next timer, it sets the clock to that time instead.  Nothing on it may wait for a
socket, a thread or a process: such a wait would never end, and raises `DeadlockError`.
"""

from __future__ import annotations

import asyncio
import selectors
from collections.abc import Coroutine
from typing import Any, TypeVar

T = TypeVar("T")


class DeadlockError(RuntimeError):
    """All tasks wait, and no timer is set: one of them waits for something other than the clock."""


class _VirtualTimeSelector(selectors.SelectSelector):
    """A selector that advances the clock instead of waiting."""

    loop: VirtualTimeLoop

    def select(self, timeout: float | None = None) -> list[tuple[selectors.SelectorKey, int]]:
        """Advance the clock by the timeout; no event is ever ready.

        Raises:
            DeadlockError: The loop would wait without a timeout.
        """
        if timeout is None:
            raise DeadlockError("all tasks wait for something other than the clock")
        if timeout > 0:
            self.loop.now += timeout
        return []


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """An event loop whose clock is the attribute `now`, in seconds."""

    def __init__(self, start: float = 0.0) -> None:
        """Create a loop whose clock begins at `start` seconds."""
        selector = _VirtualTimeSelector()
        self.now = start
        selector.loop = self
        super().__init__(selector)

    def time(self) -> float:
        """Return the time of the virtual clock, in seconds."""
        return self.now


def run_in_virtual_time(coroutine: Coroutine[Any, Any, T], start: float = 0.0) -> T:
    """Run a coroutine on a virtual clock that begins at `start` seconds, and return its result.

    Raises:
        DeadlockError: All tasks wait for something other than the clock.
    """
    with asyncio.Runner(loop_factory=lambda: VirtualTimeLoop(start)) as runner:
        return runner.run(coroutine)
