"""Errors of replicated lists; the message of each tells operators what to do."""

from __future__ import annotations

from kestreltrack.fleet.replicated_config.errors import ReplicatedConfigError


class ReconcileError(ReplicatedConfigError):
    """A replica of the list rejected an input, and has not changed."""


class EditRejectedError(ReconcileError):
    """An edit exceeds the limits that every member enforces.

    Attributes:
        subject: The field and the destination that the edit sets.
        reason: The limit that the edit exceeds.
    """

    remedy = "Repeat the edit within this limit; the list has not changed."

    def __init__(self, subject: str, reason: str) -> None:
        super().__init__(f"the edit of {subject} was rejected: {reason}")
        self.subject = subject
        self.reason = reason


class InvalidReplicaStateError(ReconcileError):
    """The stored state of a replica cannot be decoded.

    Attributes:
        reason: Why it cannot be decoded.
    """

    remedy = "Remove the file: the copy is then fetched again from the other members."

    def __init__(self, reason: str) -> None:
        super().__init__(f"the stored copy of the list cannot be read: {reason}")
        self.reason = reason
