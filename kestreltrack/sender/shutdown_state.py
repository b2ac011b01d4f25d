"""The shutdown state of the process, shared by the components that start or retry work."""

from __future__ import annotations

import math
from dataclasses import dataclass


@dataclass(slots=True)
class ShutdownState:
    """Restricts what may still begin; there is no restriction until `begin` or `abandon` is called.

    Attributes:
        attempts_deadline_ms: No attempt begins at or after this time of the dispatcher's clock.
        abandoned: Whether the deliveries were cancelled; the next process resumes the messages from the journal.
    """

    attempts_deadline_ms: float = math.inf
    abandoned: bool = False

    def begin(self, deadline_ms: float) -> None:
        """Block attempts from `deadline_ms` on, because the process would not be there to receive the response."""
        self.attempts_deadline_ms = deadline_ms

    def abandon(self) -> None:
        """Block all further attempts and submissions."""
        self.abandoned = True
        self.attempts_deadline_ms = -math.inf
