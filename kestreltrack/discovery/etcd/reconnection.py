"""When to connect again after a failure, and to which member of the cluster.  No I/O; times are milliseconds.

Senders that lose a member together reconnect spread over `reconnect_spread_ms`.  Each failure of a member doubles its
backoff, with jitter.  Opening anything draws on a token bucket, whatever the reason, so that no sequence of failures
makes a sender open watches or listings in a loop.
"""

from __future__ import annotations

import random
from dataclasses import dataclass

from kestreltrack.discovery.etcd.watch_types import WatchParameters

# Earlier than any reading of the clock.
NEVER = -1e18
# The backoff of a member after its first failure; it doubles with each further one.
INITIAL_BACKOFF_MS = 200.0
# Bounds the exponent of the backoff; `max_backoff_ms` is reached long before.
MAX_DOUBLINGS = 12
# A bucket that lacks less than this of a token counts as holding one: refills are sums of floating-point numbers.
TOKEN_TOLERANCE = 1e-9
MIN_TOKEN_WAIT_MS = 1.0


@dataclass(slots=True)
class MemberBackoff:
    """The failures of one member in a row, and the time before which it is not tried again."""

    consecutive_failures: int = 0
    retry_at: float = NEVER


class MemberSelector:
    """Chooses the member to connect to.

    Attributes:
        current: The index of the chosen member.
        backoffs: The backoff of each member.
    """

    def __init__(self, parameters: WatchParameters, rng: random.Random) -> None:
        """Choose the first member at random."""
        self.parameters = parameters
        self.rng = rng
        self.current = rng.randrange(parameters.member_count)
        self.backoffs = [MemberBackoff() for _ in range(parameters.member_count)]

    def replace_members(self, member_count: int) -> None:
        """Forget all backoffs, and choose one of `member_count` other members at random."""
        self.backoffs = [MemberBackoff() for _ in range(member_count)]
        self.current = self.rng.randrange(member_count)

    def record_success(self) -> None:
        """End the row of failures of the current member."""
        self.backoffs[self.current].consecutive_failures = 0

    def record_failure(self, now: float) -> None:
        """Begin or prolong the backoff of the current member."""
        backoff = self.backoffs[self.current]
        backoff.consecutive_failures += 1
        doublings = min(backoff.consecutive_failures - 1, MAX_DOUBLINGS)
        longest_ms = min(self.parameters.max_backoff_ms, INITIAL_BACKOFF_MS * 2.0**doublings)
        backoff.retry_at = now + longest_ms * (0.5 + 0.5 * self.rng.random())

    def choose(self, now: float) -> float:
        """Choose the next member and return when to connect to it.

        Among the members that are not in backoff, one is chosen at random; if all are, the one whose backoff ends
        first.
        """
        available = [index for index, backoff in enumerate(self.backoffs) if backoff.retry_at <= now]
        if available:
            self.current = self.rng.choice(available)
            return now + self.rng.random() * self.parameters.reconnect_spread_ms
        self.current = min(range(len(self.backoffs)), key=lambda index: self.backoffs[index].retry_at)
        return self.backoffs[self.current].retry_at


class OpenBudget:
    """A token bucket: each opening of a watch or a listing takes one token."""

    def __init__(self, parameters: WatchParameters) -> None:
        """Create a full bucket."""
        self.parameters = parameters
        self._tokens = parameters.open_burst
        self._updated_at = NEVER

    def fill(self) -> None:
        """Fill the bucket."""
        self._tokens = self.parameters.open_burst

    def take(self, now: float) -> float:
        """Take a token and return 0, or return the milliseconds to wait where there is none."""
        gained = 0.0
        if self._updated_at > NEVER:
            gained = (now - self._updated_at) / self.parameters.open_interval_ms
        self._tokens = min(self.parameters.open_burst, self._tokens + gained)
        self._updated_at = now
        if self._tokens < 1.0 - TOKEN_TOLERANCE:
            return max(MIN_TOKEN_WAIT_MS, (1.0 - self._tokens) * self.parameters.open_interval_ms)
        self._tokens -= 1.0
        return 0.0
