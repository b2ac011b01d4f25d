"""How an attempt ended."""

from __future__ import annotations

from enum import Enum


class Outcome(Enum):
    """How one attempt ended."""

    OK = "ok"
    ERROR = "error"  # answered with an error; it may have run
    REJECTED = "refused"  # turned away unseen; it never ran
    TIMED_OUT = "timed out"  # no answer in time; it may still run
    UNREACHABLE = "unreachable"  # no connection; it never ran
    CONNECTION_BROKEN = "broken"  # the connection broke; it may have run
    CANCELLED = "cancelled"  # called off; it may still run
    NOT_SENT = "not sent"  # never left this relay

    def may_have_executed(self) -> bool:
        """Whether the attempt may have taken effect."""
        return self not in (Outcome.REJECTED, Outcome.UNREACHABLE, Outcome.NOT_SENT)
