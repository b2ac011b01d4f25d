"""A pool of connections to endpoints, with an idle timeout and a limit on open connections."""

from __future__ import annotations

import asyncio
from collections import defaultdict

from kestreltrack.http1 import Connection
from kestreltrack.telemetry import Telemetry

# Pause between two sweeps of the idle connections; short compared with any endpoint's idle timeout.
SWEEP_INTERVAL_S = 0.25


class ConnectionPool:
    """Connections by endpoint; not by address, because another endpoint may get the same address later.

    The most recently used idle connection is reused first, so that connections that are not needed reach the idle
    timeout.

    Attributes:
        open_count: The number of open connections, idle or in use, including those being opened.
    """

    def __init__(
        self, idle_timeout_s: float, connect_timeout_s: float, max_connections: int, telemetry: Telemetry
    ) -> None:
        """Create a pool that holds at most `max_connections`, each idle for less than `idle_timeout_s`."""
        self.idle_timeout_s = idle_timeout_s
        self.connect_timeout_s = connect_timeout_s
        self.max_connections = max_connections
        self.telemetry = telemetry
        self.open_count = 0
        self._idle: defaultdict[str, list[Connection]] = defaultdict(list)

    async def acquire(self, endpoint: str, address: str) -> Connection:
        """Return an idle connection that is still reusable, or a new one.

        Raises:
            OSError: The connection failed, or the limit is reached and no connection is idle.
            InvalidAddressError: The address is not of the form ``host:port``.
        """
        while idle := self._idle[endpoint]:
            connection = idle.pop()
            if (
                self._is_reusable(connection)
                and connection.address == address
                and await self._has_no_pending_input(connection)
            ):
                return connection
            self.discard(connection)
        self._evict_until_below_limit()
        return await self._open(address)

    def _evict_until_below_limit(self) -> None:
        """Close the oldest idle connections until another may be opened; raises `OSError` if none is idle."""
        while self.open_count >= self.max_connections:
            if not self._evict_oldest():
                raise OSError("all connections that the limits allow are in use")

    async def _open(self, address: str) -> Connection:
        self.open_count += 1
        try:
            connection = await Connection.open(address, self.connect_timeout_s)
        except BaseException:
            self.open_count -= 1
            raise
        self.telemetry.count("endpoints.connections")
        return connection

    async def _has_no_pending_input(self, connection: Connection) -> bool:
        """Return whether the kernel holds no input for the connection.

        That would be the end of the stream, or bytes that would be taken for the response to the next request.
        """
        try:
            await asyncio.sleep(0)  # uvloop reads all received data before it resumes this task
        except BaseException:
            self.discard(connection)
            raise
        return connection.is_reusable()

    def release(self, endpoint: str, connection: Connection) -> None:
        """Make a connection idle if it can carry another request; otherwise close it."""
        if connection.is_reusable():
            connection.idle_since = asyncio.get_running_loop().time()
            self._idle[endpoint].append(connection)
        else:
            self.discard(connection)

    def discard(self, connection: Connection) -> None:
        """Close a connection and remove it from the count of open ones."""
        self.open_count -= 1
        connection.close()

    def close_idle(self, endpoint: str) -> None:
        """Close the idle connections to an endpoint."""
        for connection in self._idle.pop(endpoint, []):
            self.discard(connection)

    async def sweep_idle(self) -> None:
        """Close idle connections before the endpoint's own idle timeout does; runs until it is cancelled.

        A request sent while the endpoint closes the connection would end in a reset.
        """
        while True:
            await asyncio.sleep(SWEEP_INTERVAL_S)
            for endpoint in list(self._idle):
                self._sweep_endpoint(endpoint)

    def _sweep_endpoint(self, endpoint: str) -> None:
        reusable = list[Connection]()
        for connection in self._idle[endpoint]:
            if self._is_reusable(connection):
                reusable.append(connection)
            else:
                self.discard(connection)
        if reusable:
            self._idle[endpoint] = reusable
        else:
            del self._idle[endpoint]

    def _is_reusable(self, connection: Connection) -> bool:
        idle_s = asyncio.get_running_loop().time() - connection.idle_since
        return connection.is_reusable() and idle_s < self.idle_timeout_s

    def _evict_oldest(self) -> bool:
        """Close the connection that has been idle longest; return whether there was one."""
        idle_lists = [idle for idle in self._idle.values() if idle]
        if not idle_lists:
            return False
        oldest = min(idle_lists, key=lambda idle: idle[0].idle_since)
        self.discard(oldest.pop(0))
        return True
