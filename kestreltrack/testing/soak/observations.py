"""What is observed of a run from outside the senders; all times are from `time.monotonic`, in seconds."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import StrEnum

NEVER = float("inf")


class Effect(StrEnum):
    """The effect of repeating a message of a class, named as in the settings."""

    IDEMPOTENT = "idempotent"
    DEDUPLICATED = "deduplicated"
    AT_MOST_ONCE = "at_most_once"


@dataclass(slots=True)
class Submission:
    """One message that a client submitted."""

    message_id: str
    sender: str
    effect: Effect
    submitted_at: float
    expires: float
    answer: str = ""
    """The first word of the answer; empty without an answer."""
    answered_at: float = NEVER
    closed_unanswered_at: float = NEVER
    """When the sender closed the connection of the request without answering."""

    @property
    def accepted(self) -> bool:
        """Whether the sender accepted the message and so must complete it."""
        return self.answer == "+OK"


@dataclass(slots=True)
class Call:
    """One message of a call that an endpoint received completely."""

    message_id: str
    dest: int
    endpoint: str
    arrived_at: float
    status: str = ""
    """The status of the response; empty if the caller had disconnected before it was written."""
    ended_at: float = NEVER
    """When the response was written or the disconnect of the caller was detected."""
    retry_after_s: float = 0.0


@dataclass(frozen=True, slots=True)
class Notification:
    """One status notification that the platform received."""

    message_id: str
    outcome: str
    at: float


@dataclass(slots=True)
class ProcessRecord:
    """One process of a sender, from its start to its exit."""

    sender: str
    started_at: float
    ready_at: float = NEVER
    terminated_at: float = NEVER
    """When the first SIGTERM was sent."""
    killed_at: float = NEVER
    ended_at: float = NEVER
    exit_code: int | None = None

    @property
    def end_requested_at(self) -> float:
        """When the first SIGTERM or SIGKILL was sent."""
        return min(self.terminated_at, self.killed_at)


@dataclass(slots=True)
class Drain:
    """The draining of one endpoint, as announced to one sender."""

    endpoint: str
    sender: str
    announced_at: float
    ended_at: float = NEVER
    """When the endpoint was published as up again."""


@dataclass(frozen=True, slots=True)
class ResourceSample:
    """Memory and open descriptors of a process at one time."""

    sender: str
    memory_mb: float
    descriptors: int


@dataclass(slots=True)
class Observations:
    """Everything observed in one run."""

    submissions: dict[str, Submission] = field(default_factory=dict)
    calls: list[Call] = field(default_factory=list)
    notifications: list[Notification] = field(default_factory=list)
    unanswered_notifications: set[str] = field(default_factory=set)
    """Messages whose status notification was answered after the sender had disconnected."""
    execution_counts: dict[str, int] = field(default_factory=dict)
    """How often each message took effect, without repeats in its deduplication window."""
    processes: list[ProcessRecord] = field(default_factory=list)
    drains: list[Drain] = field(default_factory=list)
    samples: list[ResourceSample] = field(default_factory=list)
    unreadable_log_lines: list[str] = field(default_factory=list)
    fault_events: list[str] = field(default_factory=list)
    """Names of logged events that report a violated invariant or an internal fault."""
    ended_at: float = NEVER
    observer_lag_s: float = 0.0
    """Largest measured delay of the observer's event loop, and so the error of the recorded times."""

    def processes_of(self, sender: str) -> list[ProcessRecord]:
        """Return the processes of a sender in order."""
        return [process for process in self.processes if process.sender == sender]
