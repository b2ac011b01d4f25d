"""Idle connections to endpoints, within what the endpoints and this process can bear."""

from __future__ import annotations

import asyncio
from collections import defaultdict

from kestreltrack.http1 import Connection
from kestreltrack.telemetry import Telemetry

# Pause between two looks at the idle connections; short against any idle time-out of an endpoint.
SWEEP_INTERVAL_S = 0.25


class ConnectionPool:
    """Connections by endpoint, since another endpoint may come to have the same address.

    The idle connection that was used last is used first, so that those that are not needed grow old.
    """

    def __init__(
        self, idle_timeout_s: float, connect_timeout_s: float, max_connections: int, telemetry: Telemetry
    ) -> None:
        """Keep a connection idle for `idle_timeout_s` at most, and `max_connections` open in all."""
        self.idle_timeout_s = idle_timeout_s
        self.connect_timeout_s = connect_timeout_s
        self.max_connections = max_connections
        self.telemetry = telemetry
        self.open_count = 0
        self._idle: defaultdict[str, list[Connection]] = defaultdict(list)

    async def acquire(self, endpoint: str, address: str) -> Connection:
        """Return an idle connection that can still be used, or a new one.

        Raises `OSError` where none comes up, or all that the limit allows are in use.
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
        self._make_room()
        return await self._open(address)

    def _make_room(self) -> None:
        """Close idle connections until another may be opened."""
        while self.open_count >= self.max_connections:
            if not self._evict_oldest():
                raise OSError("all connections that the limits allow are busy")

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
        """Return whether the kernel holds no input of it: no end, and nothing that would answer the next request."""
        try:
            await asyncio.sleep(0)  # uvloop reads all that was received before it goes on
        except BaseException:
            self.discard(connection)
            raise
        return connection.is_reusable()

    def release(self, endpoint: str, connection: Connection) -> None:
        """Make a connection idle, if it can carry another request; else close it."""
        if connection.is_reusable():
            connection.idle_since = asyncio.get_running_loop().time()
            self._idle[endpoint].append(connection)
        else:
            self.discard(connection)

    def discard(self, connection: Connection) -> None:
        """Close a connection that `acquire` returned."""
        self.open_count -= 1
        connection.close()

    def close_idle(self, endpoint: str) -> None:
        """Close the idle connections to an endpoint."""
        for connection in self._idle.pop(endpoint, []):
            self.discard(connection)

    async def sweep_idle(self) -> None:
        """Close idle connections before the endpoint's own time-out; runs until it is cancelled.

        A request that crosses the endpoint's closing on its way would end as a reset.
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
        """Close the connection that has been idle for the longest time; return whether there was one."""
        idle_lists = [idle for idle in self._idle.values() if idle]
        if not idle_lists:
            return False
        oldest = min(idle_lists, key=lambda idle: idle[0].idle_since)
        self.discard(oldest.pop(0))
        return True
