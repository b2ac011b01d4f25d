"""One call to a simulated endpoint, and its reply."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Request:
    """One message of a call, as an endpoint receives it."""

    id: str
    work_ms: float
    """Work at an endpoint of speed 1."""
    has_idempotency_key: bool
    sender: int
    zone_scoped: bool = False
    """Only endpoints of the same zone remember its idempotency key."""


@dataclass(slots=True)
class Reply:
    """The reply to a call."""

    status: str
    """`ok`, `error`, `full` for a rejection, or `reset` where the connection is closed without a reply."""
    retry_after_ms: float = 0.0
    quota_left: float | None = None
    """The fraction of the rate limit that is left; None where the endpoint does not report it."""
    rate_limit: float | None = None
    """Calls a second; None where the endpoint does not report it."""
    duplicate: bool = False
    """Every message of the call had already been executed."""


@dataclass(slots=True, eq=False)
class Job:
    """A call that an endpoint has received, with the state of its execution."""

    requests: tuple[Request, ...]
    on_reply: Callable[[Reply], None]
    work_ms: float
    """Work of the whole call at an endpoint of speed 1."""
    settled: bool = False
    """The caller no longer waits for a reply: it has one, or has given up."""
    lost: bool = False
    """The endpoint's process has ended before it completed the call."""
    paused_ms: float = 0.0
    """The part of the endpoint's total pause time that the job's end already accounts for."""
