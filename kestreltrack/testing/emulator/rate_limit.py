"""The rate limit of a simulated destination or endpoint: token bucket or counted window."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True)
class RateLimit:
    """What a partner takes from all senders together: a count in each span, or a plain rate with some depth.

    The spans of a `window` are aligned to the clock; `rate` is a token bucket.  0 a second is no limit.
    """

    kind: str
    rate_per_s: float
    window_ms: float = 1000.0
    burst_s: float = 0.5
    counts_rejections: bool = False
    _window_index: int = -1
    _count: int = 0
    _tokens: float = -1.0
    _refilled_at: float = 0.0

    def try_acquire(self, now: float) -> bool:
        """Whether one more call is within it; counts it."""
        if self.kind == "none" or self.rate_per_s <= 0:
            return True
        if self.kind == "window":
            self._advance_window(now)
            within = self._count < self.capacity()
            self._count += within or self.counts_rejections
            return within
        self._refill(now)
        within = self._tokens >= 1.0
        if within:
            self._tokens -= 1.0
        elif self.counts_rejections:
            self._tokens = max(-self.capacity(), self._tokens - 1.0)
        return within

    def capacity(self) -> float:
        """Calls in one span, or tokens when full."""
        if self.kind == "window":
            return max(1.0, self.rate_per_s * self.window_ms / 1000.0)
        return max(1.0, self.rate_per_s * self.burst_s)

    def _advance_window(self, now: float) -> None:
        span = int(now // self.window_ms)
        if span != self._window_index:
            self._window_index = span
            self._count = 0

    def _refill(self, now: float) -> None:
        if self._tokens == -1.0 and self._refilled_at == 0.0:
            self._tokens = self.capacity()
        self._tokens = min(
            self.capacity(), self._tokens + (now - self._refilled_at) * self.rate_per_s / 1000.0
        )
        self._refilled_at = now

    def fraction_left(self, now: float) -> float:
        """The share that is left just now."""
        if self.kind == "none" or self.rate_per_s <= 0:
            return 1.0
        if self.kind == "window":
            self._advance_window(now)
            return max(0.0, 1.0 - self._count / self.capacity())
        self._refill(now)
        return max(0.0, self._tokens / self.capacity())

    def retry_after_ms(self, now: float) -> float:
        """Until there is room again, if nobody else takes it."""
        if self.kind == "window":
            return self.window_ms - now % self.window_ms
        self._refill(now)
        return max(0.0, (1.0 - self._tokens) / self.rate_per_s * 1000.0)
