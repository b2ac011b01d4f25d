"""The rate limit of a simulated destination or endpoint: token bucket or counted window."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True)
class RateLimit:
    """The limit on the calls that a destination accepts from all senders together.

    `kind` is `window` (a number of calls in each window; windows are aligned to the clock), `rate` (a token bucket)
    or `none`.  A rate of 0 means no limit.
    """

    kind: str
    rate_per_s: float
    window_ms: float = 1000.0
    burst_s: float = 0.5
    """Capacity of the token bucket, in seconds of its rate."""
    counts_rejections: bool = False
    """Rejected calls count against the limit too."""
    _window_index: int = -1
    _count: int = 0
    _tokens: float = -1.0
    _refilled_at: float = 0.0

    def try_acquire(self, now: float) -> bool:
        """Count one call, and return whether it is within the limit."""
        if self.kind == "none" or self.rate_per_s <= 0:
            return True
        if self.kind == "window":
            return self._try_count(now)
        return self._try_take_token(now)

    def capacity(self) -> float:
        """Return the number of calls that one window admits, or of tokens in a full bucket."""
        if self.kind == "window":
            return max(1.0, self.rate_per_s * self.window_ms / 1000.0)
        return max(1.0, self.rate_per_s * self.burst_s)

    def _try_count(self, now: float) -> bool:
        self._advance_window(now)
        is_within_limit = self._count < self.capacity()
        if is_within_limit or self.counts_rejections:
            self._count += 1
        return is_within_limit

    def _try_take_token(self, now: float) -> bool:
        self._refill(now)
        if self._tokens >= 1.0:
            self._tokens -= 1.0
            return True
        if self.counts_rejections:
            self._tokens = max(-self.capacity(), self._tokens - 1.0)
        return False

    def _advance_window(self, now: float) -> None:
        index = int(now // self.window_ms)
        if index != self._window_index:
            self._window_index = index
            self._count = 0

    def _refill(self, now: float) -> None:
        if self._tokens == -1.0 and self._refilled_at == 0.0:
            self._tokens = self.capacity()
        self._tokens = min(
            self.capacity(), self._tokens + (now - self._refilled_at) * self.rate_per_s / 1000.0
        )
        self._refilled_at = now

    def fraction_left(self, now: float) -> float:
        """Return the fraction of the limit that is left at a time (ms), 1 where there is no limit."""
        if self.kind == "none" or self.rate_per_s <= 0:
            return 1.0
        if self.kind == "window":
            self._advance_window(now)
            return max(0.0, 1.0 - self._count / self.capacity())
        self._refill(now)
        return max(0.0, self._tokens / self.capacity())

    def retry_after_ms(self, now: float) -> float:
        """Return the time until the next call is accepted, provided that no other call arrives first."""
        if self.kind == "window":
            return self.window_ms - now % self.window_ms
        self._refill(now)
        return max(0.0, (1.0 - self._tokens) / self.rate_per_s * 1000.0)
