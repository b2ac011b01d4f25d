"""How far the shutdown of one process has come, shared by the parts that start or retry work."""

from __future__ import annotations

import math
from dataclasses import dataclass


@dataclass(slots=True)
class ShutdownState:
    """Limits what may still begin: nothing is limited until `begin` or `abandon` is called."""

    attempts_deadline_ms: float = math.inf
    """On the clock of the dispatcher: no attempt begins at or after it."""

    abandoned: bool = False
    """Whether this process has given its messages up to the next one, which reads them from the journal."""

    def begin(self, deadline_ms: float) -> None:
        """Let no attempt begin from `deadline_ms` on: nobody would be left to receive its response."""
        self.attempts_deadline_ms = deadline_ms

    def abandon(self) -> None:
        """Let no attempt begin and no message be accepted any more."""
        self.abandoned = True
        self.attempts_deadline_ms = -math.inf
