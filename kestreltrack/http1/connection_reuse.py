"""Selects the idle connection that carries the next request to a server.

A response that a server or a proxy repeats is recognised for certain only while its connection is idle: what is
received then belongs to no request.  A connection is therefore reused only after it has been silent for a settle
time, or at once if its server answers more slowly than a copy could come.  The settle time grows with the delays of
the repeated responses that were observed, and a server whose repeated response came later than that gets a new
connection for each request for a while.
"""

from __future__ import annotations

import math
from collections.abc import Sequence
from dataclasses import dataclass
from typing import NamedTuple

from kestreltrack.http1.connection import Connection, UnrequestedBytes
from kestreltrack.http1.response_matching import REPEAT_WINDOW_S


@dataclass(frozen=True, slots=True)
class SettleTimes:
    """For how long a connection must have been silent before it is reused, in seconds.

    Attributes:
        minimum_s: Before it is reused at all.
        preferred_s: Before it is preferred to others.  While repeated responses are remembered, a request whose
            response must not be mistaken for another needs such a connection, or a new one.
        maximum_s: The limit of the settle time that follows from repeated responses.
        max_wait_s: For how long a request waits for a connection to settle; a new one costs more than that.
    """

    minimum_s: float = 0.1
    preferred_s: float = 0.25
    maximum_s: float = 2.0
    max_wait_s: float = 0.15


class SelectedConnection(NamedTuple):
    """An idle connection for a request, which may be written after `wait_s` seconds of further silence."""

    connection: Connection
    wait_s: float


@dataclass(frozen=True, slots=True)
class UnansweredRequest:
    """A request that ended without the beginning of a response.

    Attributes:
        connection_id: The id of its connection, which is closed.
        exchange: The number of the request on the connection; from 2 on the connection had carried others.
        silent_s: For how long nothing had been received on the connection before the request, in seconds; infinite on
            a new one.
        waited_s: The time since the request was written, in seconds.
        closed_idle: The number of idle connections that were closed with it.
    """

    connection_id: int
    exchange: int
    silent_s: float
    waited_s: float
    closed_idle: int

    @classmethod
    def on(cls, connection: Connection, now: float, closed_idle: int) -> UnansweredRequest:
        """Describe the latest request on a connection."""
        matching = connection.matching
        waited_s = now - matching.requested_at
        return cls(connection.id, matching.requests, matching.silent_before_request_s, waited_s, closed_idle)

    def log_fields(self) -> dict[str, int | float]:
        """Return the fields of its log event."""
        return {
            "connection": self.connection_id,
            "exchange": self.exchange,
            "silent_ms": round(1000.0 * self.silent_s, 1) if math.isfinite(self.silent_s) else 0.0,
            "waited_ms": round(1000.0 * self.waited_s, 1),
            "closed_idle": self.closed_idle,
        }


def possibly_silent(idle: Sequence[Connection], unanswered: Connection) -> list[Connection]:
    """Return the idle connections that may have fallen silent together with one whose request got no response.

    A device between both sides may forget all connections to a server at once: they stay open, and nothing that is
    written to them arrives.  Only a connection on which the server was heard since the unanswered request was written
    is known to work.
    """
    requested_at = unanswered.matching.requested_at
    return [connection for connection in idle if connection.last_received_at < requested_at]


def is_only_late(idle: Sequence[Connection], unanswered: Connection) -> bool:
    """Return whether the connections of one age with an unanswered one still work, so that its response is late.

    That is so where a connection that was open when the unanswered one last worked has received something since the
    unanswered request was written.
    """
    requested_at = unanswered.matching.requested_at
    return any(
        connection.opened_at <= unanswered.last_received_at and connection.last_received_at >= requested_at
        for connection in idle
    )


DEFAULT_SETTLE_TIMES = SettleTimes()

# For servers to which a new connection costs little.
NO_WAIT_TIMES = SettleTimes(max_wait_s=0.0)

# The settle time as a multiple of the longest observed delay of a repeated response.
SETTLE_TIME_PER_DELAY = 4.0

# The share by which the shortest response time follows a longer one.
FASTEST_TIME_RISE = 0.05

# How long the longest delay of a repeated response is remembered after the latest one.
DELAY_MEMORY_S = 60.0

# How long a server gets new connections only, after a repeated response that came later than the settle time.
NEW_CONNECTIONS_ONLY_S = 30.0


class ConnectionReuse:
    """Decides which idle connection, if any, may carry the next request to each of several servers."""

    def __init__(self, times: SettleTimes = DEFAULT_SETTLE_TIMES) -> None:
        """Start with the minimum settle time for all servers."""
        self._times = times
        self._longest_delay_s = 0.0
        self._delay_remembered_until = 0.0
        # By server: the shortest recent time from a request to its response, in seconds.
        self._fastest_s: dict[str, float] = {}
        # By server: until when it gets new connections only.
        self._new_only_until: dict[str, float] = {}

    def select(
        self, server: str, idle: Sequence[Connection], now: float, *, strict: bool
    ) -> SelectedConnection | None:
        """Return the connection that carries the next request, or None if a new one has to be opened.

        Of the connections that have been silent for the preferred settle time, or else for the required one, the one
        used last is taken, so that those that are not needed reach the idle timeout.  Where none has, the request may
        wait for the one that has been silent longest.

        Args:
            server: The name of the server.
            idle: Its idle connections, the one used last at the end.
            now: The time of the event loop.
            strict: Whether the response must not be mistaken for another even where responses are repeated.
        """
        if not idle or now < self._new_only_until.get(server, 0.0):
            return None
        required_s = self._required_s(server, now, strict)
        for silent_s in (
            max(required_s, self._times.preferred_s),
            max(required_s, self._times.minimum_s),
            required_s,
        ):
            for connection in reversed(idle):
                if connection.matching.silent_s(now) >= silent_s:
                    return SelectedConnection(connection, 0.0)
        wait_s = required_s - idle[0].matching.silent_s(now)
        return SelectedConnection(idle[0], wait_s) if wait_s <= self._times.max_wait_s else None

    def _required_s(self, server: str, now: float, strict: bool) -> float:
        """Return for how long a connection to a server must have been silent.

        At a server that answers more slowly than a copy could come, a connection may be used again at once, since its
        response is told from a copy by its time; not so for strict requests.
        """
        settle_s = self.settle_s(now)
        if now < self._delay_remembered_until:
            return max(settle_s, self._times.preferred_s) if strict else settle_s
        is_slow = self._fastest_s.get(server, 0.0) >= REPEAT_WINDOW_S
        return 0.0 if is_slow and not strict else settle_s

    def record_response(self, server: str, connection: Connection) -> None:
        """Learn from a complete exchange how quickly a server answers."""
        response_time_s = connection.matching.response_time_s
        fastest_s = self._fastest_s.get(server, response_time_s)
        risen_s = fastest_s + FASTEST_TIME_RISE * (response_time_s - fastest_s)
        self._fastest_s[server] = min(response_time_s, risen_s)

    def settle_s(self, now: float) -> float:
        """Return the settle time at present, in seconds."""
        if now >= self._delay_remembered_until:
            return self._times.minimum_s
        from_delay_s = min(self._times.maximum_s, SETTLE_TIME_PER_DELAY * self._longest_delay_s)
        return max(self._times.minimum_s, from_delay_s)

    def record_unrequested(self, server: str, received: UnrequestedBytes, now: float) -> None:
        """Adapt to bytes that belonged to no request; only a response can be a repeated one."""
        if not received.is_response:
            return
        if received.delay_s > self.settle_s(now):
            self._use_new_connections_only(server, now)
        if SETTLE_TIME_PER_DELAY * received.delay_s <= self._times.maximum_s:
            self._remember_delay(received.delay_s, now)

    def _use_new_connections_only(self, server: str, now: float) -> None:
        self._new_only_until = {name: until for name, until in self._new_only_until.items() if until > now}
        self._new_only_until[server] = now + NEW_CONNECTIONS_ONLY_S

    def _remember_delay(self, delay_s: float, now: float) -> None:
        if now >= self._delay_remembered_until:
            self._longest_delay_s = 0.0
        self._longest_delay_s = max(self._longest_delay_s, delay_s)
        self._delay_remembered_until = now + DELAY_MEMORY_S
