"""Complete HTTP/1.1 exchanges with one server."""

from __future__ import annotations

import asyncio
import math

from kestreltrack.http1.connection import Connection
from kestreltrack.http1.errors import ConnectionBrokenError, TruncatedResponseError

BODY_TIMEOUT_S = 1.0  # for the rest of a whole exchange's answer behind its head: that may never end either


class HttpClient:
    """Whole exchanges with one party; idle connections are kept for a short while."""

    def __init__(
        self, address: str, idle_timeout_s: float = 2.0, connect_timeout_s: float = math.inf
    ) -> None:
        """Nothing is opened before the first request; a connection comes up within `connect_s` or not at all."""
        self.address, self.idle_timeout_s, self.connect_timeout_s = address, idle_timeout_s, connect_timeout_s
        self._idle: list[Connection] = []
        self._in_flight: set[asyncio.Timeout] = set()
        self._closed = False

    async def exchange(
        self, method: str, target: str, timeout_s: float, body: bytes = b""
    ) -> tuple[int, bytes]:
        """One request and its answer; raises `OSError` or `Broken`, `Cut` once an answer has begun."""
        loop = asyncio.get_running_loop()
        connection = None
        try:
            async with asyncio.timeout(timeout_s) as limit:
                self._in_flight.add(limit)
                while self._idle and connection is None:
                    connection = self._idle.pop()
                    if (
                        not connection.is_reusable()
                        or loop.time() - connection.idle_since > self.idle_timeout_s
                    ):
                        connection.close()
                        connection = None
                connect_s = min(timeout_s, self.connect_timeout_s)
                connection = connection or await Connection.open(self.address, connect_s)
                await connection.send(method, target, [], body)
                head = await connection.read_head()
                if not limit.expired():  # else it ends here anyway
                    limit.reschedule(min(limit.when() or math.inf, loop.time() + BODY_TIMEOUT_S))
                answer = await connection.read_body()
        except BaseException as bad:
            if connection:
                connection.close()
                if connection.response_begun() and isinstance(bad, (OSError, ConnectionBrokenError)):
                    raise TruncatedResponseError(str(bad) or "the answer does not end") from bad
            raise
        finally:
            self._in_flight.discard(limit)
        if connection.is_reusable() and not self._closed:
            connection.idle_since = loop.time()
            self._idle.append(connection)
        else:
            connection.close()
        return head.status, answer

    def close(self) -> None:
        """Close idle connections; exchanges under way fail at once, as if their time were up."""
        self._closed = True
        while self._idle:
            self._idle.pop().close()
        for limit in self._in_flight:
            if not limit.expired():
                limit.reschedule(asyncio.get_running_loop().time())
