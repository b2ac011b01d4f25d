"""The outcomes of attempts."""

from __future__ import annotations

from enum import Enum


class Outcome(Enum):
    """How one attempt ended."""

    OK = "ok"
    ERROR = "error"  # answered with an error; may have been executed
    REJECTED = "refused"  # rejected before processing; was never executed
    TIMED_OUT = "timed out"  # no answer in time; may still be executed
    UNREACHABLE = "unreachable"  # no connection; was never executed
    CONNECTION_BROKEN = "broken"  # the connection broke; may have been executed
    CANCELLED = "cancelled"  # may still be executed
    NOT_SENT = "not sent"  # never left this sender

    def may_have_executed(self) -> bool:
        """Return whether the message may have been executed."""
        return self not in (Outcome.REJECTED, Outcome.UNREACHABLE, Outcome.NOT_SENT)

    def may_still_execute(self) -> bool:
        """Return whether the message may be executed later, as there was no answer."""
        return self in (Outcome.TIMED_OUT, Outcome.CONNECTION_BROKEN, Outcome.CANCELLED)
