"""Whether the next response on a client connection can be matched to its request.

HTTP/1.1 matches responses to requests by their order on a connection alone (RFC 9112, section 9.3.2).  A server or a
proxy that writes a response twice shifts that order: each later response is taken for that of the following request.
A connection therefore carries another request only while every byte received on it belongs to a request.
"""

from __future__ import annotations

import math
from collections.abc import Hashable
from enum import StrEnum

# A response that equals an earlier one on its connection, and comes sooner than this after it, is taken for a copy.
REPEAT_WINDOW_S = 0.06


class MatchState(StrEnum):
    """How the bytes received on a connection relate to its requests."""

    NEW = "new"  # no request yet: whatever is received belongs to the first request
    AWAITING = "awaiting"  # the latest request has no complete response
    BALANCED = "balanced"  # each request has its response, and nothing else was received
    UNBALANCED = (
        "unbalanced"  # bytes that belong to no request were received: no later response proves anything
    )


class ResponseMatching:
    """Counts the requests and responses of one connection.

    Times are in seconds of the event loop's clock.

    Attributes:
        state: The current state; `UNBALANCED` is final.
        requests: The number of requests written.
        requested_at: When the latest request was written; minus infinity before the first.
        last_response_at: When the latest response was complete; minus infinity before the first.
        response_time_s: The time from the latest request to its response; infinite before the first.
        silent_before_request_s: For how long nothing had been received before the latest request; infinite before the
            first response.
    """

    def __init__(self) -> None:
        self.state = MatchState.NEW
        self.requests = 0
        self.last_response_at = -math.inf
        self.response_time_s = math.inf
        self.silent_before_request_s = math.inf
        self.requested_at = -math.inf
        # When each of the responses of the last `REPEAT_WINDOW_S` was complete.
        self._recent: dict[Hashable, float] = {}

    def record_request(self, now: float) -> None:
        """Record that a request is being written."""
        self.requests += 1
        self.silent_before_request_s = self.silent_s(now)
        self.requested_at = now
        if self.state is not MatchState.UNBALANCED:
            self.state = MatchState.AWAITING

    def record_response(self, now: float, content: Hashable) -> None:
        """Record that the response to the latest request is complete."""
        self._recent = {key: at for key, at in self._recent.items() if now - at < REPEAT_WINDOW_S}
        self._recent[content] = now
        self.last_response_at = now
        self.response_time_s = now - self.requested_at
        if self.state is not MatchState.UNBALANCED:
            self.state = MatchState.BALANCED

    def is_copy(self, content: Hashable, now: float) -> bool:
        """Return whether a response with this content is taken for a copy of one that came a short time ago."""
        return now - self._recent.get(content, -math.inf) < REPEAT_WINDOW_S

    def proves_early(self, now: float) -> bool:
        """Return whether a response can't be taken for a copy, whatever its content."""
        return now - self.last_response_at >= REPEAT_WINDOW_S

    def record_unrequested_bytes(self) -> None:
        """Record that bytes were received that belong to no request."""
        self.state = MatchState.UNBALANCED

    @property
    def allows_request(self) -> bool:
        """Whether the response to another request could be matched to it."""
        return self.state in (MatchState.NEW, MatchState.BALANCED)

    def silent_s(self, now: float) -> float:
        """Return for how long nothing was received, in seconds; infinite on a new connection."""
        return now - self.last_response_at
