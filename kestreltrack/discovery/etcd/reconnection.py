"""Member selection, backoff and rate limiting of reconnections.  No I/O; times are milliseconds.

Senders that lose a member at the same time reconnect at random times within `reconnect_spread_ms`.  Each failure of a
member doubles its backoff, with jitter.  Every opening of a watch or a listing takes a token from a token bucket, so
that no sequence of failures makes a sender reopen them in a tight loop.
"""

from __future__ import annotations

import random
from dataclasses import dataclass

from kestreltrack.discovery.etcd.watch_types import WatchParameters

# Earlier than any clock reading.
NEVER = -1e18
# The backoff after the first failure of a member; it doubles with each consecutive failure.
INITIAL_BACKOFF_MS = 200.0
# Keeps the exponent small; `max_backoff_ms` limits the backoff well before that.
MAX_DOUBLINGS = 12
# A bucket within this distance of a whole token has one: refills accumulate floating-point rounding errors.
TOKEN_TOLERANCE = 1e-9
MIN_TOKEN_WAIT_MS = 1.0


@dataclass(slots=True)
class MemberBackoff:
    """The consecutive failures of one member, and the time before which it is not retried."""

    consecutive_failures: int = 0
    retry_at: float = NEVER


class MemberSelector:
    """Selects the member to connect to.

    Attributes:
        current: The index of the selected member.
        backoffs: The backoff of each member.
    """

    def __init__(self, parameters: WatchParameters, rng: random.Random) -> None:
        """Select the first member at random."""
        self.parameters = parameters
        self.rng = rng
        self.current = rng.randrange(parameters.member_count)
        self.backoffs = [MemberBackoff() for _ in range(parameters.member_count)]

    def replace_members(self, member_count: int) -> None:
        """Reset all backoffs and select one of `member_count` new members at random."""
        self.backoffs = [MemberBackoff() for _ in range(member_count)]
        self.current = self.rng.randrange(member_count)

    def record_success(self) -> None:
        """Reset the consecutive failures of the current member."""
        self.backoffs[self.current].consecutive_failures = 0

    def record_failure(self, now: float) -> None:
        """Start or extend the backoff of the current member."""
        backoff = self.backoffs[self.current]
        backoff.consecutive_failures += 1
        doublings = min(backoff.consecutive_failures - 1, MAX_DOUBLINGS)
        max_delay_ms = min(self.parameters.max_backoff_ms, INITIAL_BACKOFF_MS * 2.0**doublings)
        backoff.retry_at = now + max_delay_ms * (0.5 + 0.5 * self.rng.random())

    def select(self, now: float) -> float:
        """Select the next member and return when to connect to it.

        Selects a random member among those that are not in backoff or, if all are, the one whose backoff ends first.
        """
        available = [index for index, backoff in enumerate(self.backoffs) if backoff.retry_at <= now]
        if available:
            self.current = self.rng.choice(available)
            return now + self.rng.random() * self.parameters.reconnect_spread_ms
        self.current = min(range(len(self.backoffs)), key=lambda index: self.backoffs[index].retry_at)
        return self.backoffs[self.current].retry_at


class OpenBudget:
    """A token bucket that limits the openings of watches and listings, one token each."""

    def __init__(self, parameters: WatchParameters) -> None:
        """Create a full bucket."""
        self.parameters = parameters
        self._tokens = parameters.open_burst
        self._updated_at = NEVER

    def fill(self) -> None:
        """Fill the bucket."""
        self._tokens = self.parameters.open_burst

    def take(self, now: float) -> float:
        """Take a token and return 0; if there is none, return the milliseconds until there is."""
        refilled = 0.0
        if self._updated_at > NEVER:
            refilled = (now - self._updated_at) / self.parameters.open_interval_ms
        self._tokens = min(self.parameters.open_burst, self._tokens + refilled)
        self._updated_at = now
        if self._tokens < 1.0 - TOKEN_TOLERANCE:
            return max(MIN_TOKEN_WAIT_MS, (1.0 - self._tokens) * self.parameters.open_interval_ms)
        self._tokens -= 1.0
        return 0.0
