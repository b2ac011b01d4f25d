"""Complete HTTP/1.1 exchanges with one server."""

from __future__ import annotations

import asyncio
import math
from typing import NamedTuple

from kestreltrack.http1.connection import Connection
from kestreltrack.http1.errors import ConnectionBrokenError, TruncatedResponseError

# For the rest of a response behind its head: that may never end either.
BODY_TIMEOUT_S = 1.0


class HttpResponse(NamedTuple):
    """Status and body of a complete response."""

    status: int
    body: bytes


class HttpClient:
    """Makes exchanges with one server; idle connections are cached for a short while."""

    def __init__(
        self, address: str, idle_timeout_s: float = 2.0, connect_timeout_s: float = math.inf
    ) -> None:
        """Nothing is opened before the first request; a connection comes up within `connect_timeout_s` or fails."""
        self.address = address
        self.idle_timeout_s = idle_timeout_s
        self.connect_timeout_s = connect_timeout_s
        self._idle: list[Connection] = []
        self._in_flight: set[asyncio.Timeout] = set()
        self._closed = False

    async def exchange(self, method: str, target: str, timeout_s: float, body: bytes = b"") -> HttpResponse:
        """Send one request and return its response.

        Raises:
            OSError: No connection came up, it failed, or the time is over.
            ConnectionBrokenError: The connection ended before a response had begun.
            TruncatedResponseError: A response had begun, and could not be read to its end.
        """
        connection = None
        try:
            async with asyncio.timeout(timeout_s) as limit:
                self._in_flight.add(limit)
                connection = self._take_idle() or await self._connect(timeout_s)
                await connection.send(method, target, [], body)
                head = await connection.read_head()
                _limit_body_time(limit)
                response_body = await connection.read_body()
        except BaseException as error:
            if connection:
                connection.close()
                if connection.response_begun() and isinstance(error, (OSError, ConnectionBrokenError)):
                    raise TruncatedResponseError(str(error) or "the response does not end") from error
            raise
        finally:
            self._in_flight.discard(limit)
        self._release(connection)
        return HttpResponse(head.status, response_body)

    def _take_idle(self) -> Connection | None:
        """Return the idle connection that was used last, if one can still be used; close those that cannot."""
        now = asyncio.get_running_loop().time()
        while self._idle:
            connection = self._idle.pop()
            if connection.is_reusable() and now - connection.idle_since <= self.idle_timeout_s:
                return connection
            connection.close()
        return None

    async def _connect(self, timeout_s: float) -> Connection:
        return await Connection.open(self.address, min(timeout_s, self.connect_timeout_s))

    def _release(self, connection: Connection) -> None:
        """Cache a connection for the next request, or close it."""
        if connection.is_reusable() and not self._closed:
            connection.idle_since = asyncio.get_running_loop().time()
            self._idle.append(connection)
        else:
            connection.close()

    def close(self) -> None:
        """Close idle connections; exchanges in flight fail at once, as if their time were over."""
        self._closed = True
        while self._idle:
            self._idle.pop().close()
        for limit in self._in_flight:
            if not limit.expired():
                limit.reschedule(asyncio.get_running_loop().time())


def _limit_body_time(limit: asyncio.Timeout) -> None:
    """Let `BODY_TIMEOUT_S` pass from now on at most; a limit that has expired ends the exchange anyway."""
    if not limit.expired():
        body_deadline = asyncio.get_running_loop().time() + BODY_TIMEOUT_S
        limit.reschedule(min(limit.when() or math.inf, body_deadline))
