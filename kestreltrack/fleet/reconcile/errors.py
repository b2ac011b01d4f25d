"""Errors of reconciled lists; the text of each says what an operator can do."""

from __future__ import annotations

from kestreltrack.fleet.replicated_config.errors import ReplicatedConfigError


class ReconcileError(ReplicatedConfigError):
    """A copy of the list did not take something, and is as it was before."""


class EditRejectedError(ReconcileError):
    """An edit does not fit the bounds that every member checks.

    Attributes:
        subject: The field and the destination that the edit is of.
        reason: Which bound it breaks.
    """

    remedy = "Repeat the edit within that bound; the list was not changed."

    def __init__(self, subject: str, reason: str) -> None:
        super().__init__(f"the edit of {subject} was rejected: {reason}")
        self.subject = subject
        self.reason = reason


class InvalidReplicaStateError(ReconcileError):
    """The stored state of a member's copy cannot be decoded.

    Attributes:
        reason: What is wrong with it.
    """

    remedy = "Take the file away: the copy is then read anew from the other members."

    def __init__(self, reason: str) -> None:
        super().__init__(f"the stored copy of the list cannot be read: {reason}")
        self.reason = reason
