"""How attempts end."""

from __future__ import annotations

from enum import Enum


class Outcome(Enum):
    """How one attempt ended."""

    OK = "ok"
    ERROR = "error"  # answered with an error; it may have been executed
    REJECTED = "refused"  # rejected unseen; it was never executed
    TIMED_OUT = "timed out"  # no answer in time; it may still be executed
    UNREACHABLE = "unreachable"  # no connection; it was never executed
    CONNECTION_BROKEN = "broken"  # the connection broke; it may have been executed
    CANCELLED = "cancelled"  # it may still be executed
    NOT_SENT = "not sent"  # it never left this sender

    def may_have_executed(self) -> bool:
        """Return whether the attempt may have taken effect."""
        return self not in (Outcome.REJECTED, Outcome.UNREACHABLE, Outcome.NOT_SENT)

    def may_still_execute(self) -> bool:
        """Return whether the attempt may take effect later, as nothing has come back of it."""
        return self in (Outcome.TIMED_OUT, Outcome.CONNECTION_BROKEN, Outcome.CANCELLED)
