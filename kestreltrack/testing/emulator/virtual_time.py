"""An asyncio event loop on a virtual clock, which runs unmodified asyncio code without waiting for timers.

Where the loop would sleep until its next timer, it advances the clock to that time instead.  No task may wait for a
socket, a thread or a process: no such event is ever delivered, and once no timer is left, `DeadlockError` is raised.
"""

from __future__ import annotations

import asyncio
import selectors
from collections.abc import Coroutine
from typing import Any, TypeVar

T = TypeVar("T")


class DeadlockError(RuntimeError):
    """No timer is set and all tasks wait, at least one of them for something other than the clock."""


class _VirtualTimeSelector(selectors.SelectSelector):
    """A selector that advances the clock instead of waiting."""

    loop: VirtualTimeLoop

    def select(self, timeout: float | None = None) -> list[tuple[selectors.SelectorKey, int]]:
        """Advance the clock by the timeout; no I/O event is ever ready.

        Raises:
            DeadlockError: The loop would wait without a timeout.
        """
        if timeout is None:
            raise DeadlockError("all tasks wait for something other than the clock")
        if timeout > 0:
            self.loop.now += timeout
        return []


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """An event loop whose clock is its attribute `now`, in seconds."""

    def __init__(self, start: float = 0.0) -> None:
        """Create a loop whose clock starts at `start` seconds."""
        selector = _VirtualTimeSelector()
        self.now = start
        selector.loop = self
        super().__init__(selector)

    def time(self) -> float:
        """Return the time of the virtual clock, in seconds."""
        return self.now


def run_in_virtual_time(coroutine: Coroutine[Any, Any, T], start: float = 0.0) -> T:
    """Run a coroutine on a virtual clock that starts at `start` seconds, and return its result.

    Raises:
        DeadlockError: All tasks wait for something other than the clock.
    """
    with asyncio.Runner(loop_factory=lambda: VirtualTimeLoop(start)) as runner:
        return runner.run(coroutine)
