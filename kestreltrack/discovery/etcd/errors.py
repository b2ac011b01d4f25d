"""Errors of the directory in etcd, and the reasons why a call or a watch fails."""

from __future__ import annotations

from enum import Enum


class FailureReason(Enum):
    """Why a call or a watch failed, or the local state was discarded; the values name counters and appear in logs."""

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
        reason: The kind of failure, which determines how `watch_state` recovers.
    """

    def __init__(self, reason: FailureReason, message: str) -> None:
        """Create the error with the message of the member or of the connection."""
        super().__init__(f"{reason.value}: {message}" if message else reason.value)
        self.reason = reason


class DirectoryChangeError(DirectoryError):
    """A change that an operator requested cannot be made; the message names the entry and the cause."""
