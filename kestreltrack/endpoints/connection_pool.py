"""Idle connections to execute nodes, kept within what the nodes and this process bear."""

from __future__ import annotations

import asyncio
from collections import defaultdict

from kestreltrack.http1 import Connection
from kestreltrack.telemetry import Telemetry

SWEEP_INTERVAL_S = 0.25  # how often idle connections are looked at


class ConnectionPool:
    """Connections by execute node: another may come to the same address.

    The one used last goes out first, so that surplus ones grow old.
    """

    def __init__(
        self, idle_timeout_s: float, connect_timeout_s: float, max_connections: int, telemetry: Telemetry
    ) -> None:
        """Keep a connection idle for `keep_s` at most, and `most` open in all."""
        self.idle_timeout_s, self.connect_timeout_s, self.max_connections, self.telemetry = (
            idle_timeout_s,
            connect_timeout_s,
            max_connections,
            telemetry,
        )
        self.open_count = 0
        self._idle: defaultdict[str, list[Connection]] = defaultdict(list)

    async def acquire(self, endpoint: str, address: str) -> Connection:
        """An idle connection that still looks sound, or a new one; raises `OSError`."""
        while idle := self._idle[endpoint]:
            connection = idle.pop()
            if (
                self._is_reusable(connection)
                and connection.address == address
                and await self._has_no_pending_input(connection)
            ):
                return connection
            self.discard(connection)
        while self.open_count >= self.max_connections and self._evict_oldest():
            pass
        if self.open_count >= self.max_connections:
            raise OSError("all connections that the limits allow are busy")
        self.open_count += 1
        try:
            connection = await Connection.open(address, self.connect_timeout_s)
        except BaseException:
            self.open_count -= 1
            raise
        self.telemetry.count("endpoints.connections")
        return connection

    async def _has_no_pending_input(self, connection: Connection) -> bool:
        """Whether the kernel has nothing of it: no end, and nothing that would answer the next request."""
        try:
            await asyncio.sleep(0)  # uvloop reads all that has come before it goes on
        except BaseException:
            self.discard(connection)
            raise
        return connection.is_reusable()

    def release(self, endpoint: str, connection: Connection) -> None:
        """Keep it for the next claim, if it can carry one."""
        if connection.is_reusable():
            connection.idle_since = asyncio.get_running_loop().time()
            self._idle[endpoint].append(connection)
        else:
            self.discard(connection)

    def discard(self, connection: Connection) -> None:
        """Close one that was taken."""
        self.open_count -= 1
        connection.close()

    def close_idle(self, endpoint: str) -> None:
        """Close the idle connections to an execute node."""
        for connection in self._idle.pop(endpoint, []):
            self.discard(connection)

    async def sweep_idle(self) -> None:
        """Retire connections before the node's own idle time-out: a request that crosses it is a reset."""
        while True:
            await asyncio.sleep(SWEEP_INTERVAL_S)
            for node, idle in list(self._idle.items()):
                kept = [c for c in idle if self._is_reusable(c)]
                for connection in idle:
                    if connection not in kept:
                        self.discard(connection)
                if kept:
                    self._idle[node] = kept
                else:
                    del self._idle[node]

    def _is_reusable(self, connection: Connection) -> bool:
        age = asyncio.get_running_loop().time() - connection.idle_since
        return connection.is_reusable() and age < self.idle_timeout_s

    def _evict_oldest(self) -> bool:
        rows = [idle for idle in self._idle.values() if idle]
        if rows:
            self.discard(min(rows, key=lambda idle: idle[0].idle_since).pop(0))
        return bool(rows)
