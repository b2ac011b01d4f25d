"""The errors of the directory in etcd, and the reasons for which a call or a watch fails."""

from __future__ import annotations

from enum import Enum


class FailureReason(Enum):
    """Why a member was left, or the local state given up; the values are names of counters and log fields."""

    UNREACHABLE = "unreachable"
    TIMEOUT = "silent"
    LAGGING = "lagging"
    NO_LEADER = "no_leader"
    INVALID_TOKEN = "token"
    DENIED = "denied"
    CANCELLED = "cancelled"
    COMPACTED = "compacted"
    REVISION_REGRESSED = "went_back"
    CLUSTER_CHANGED = "other_cluster"
    INVALID_RESPONSE = "bad_answer"


class DirectoryError(Exception):
    """A read or a change of the directory failed."""


class EtcdError(DirectoryError):
    """A call or a stream to a member of the cluster failed.

    Attributes:
        reason: The kind of failure, on which `watch_state` decides how to go on.
    """

    def __init__(self, reason: FailureReason, message: str) -> None:
        """Create the error with the member's own message, or that of the connection."""
        super().__init__(f"{reason.value}: {message}" if message else reason.value)
        self.reason = reason


class DirectoryChangeError(DirectoryError):
    """A change that an operator asked for cannot be made; the text names the entry and the cause."""
