"""Idle connections to execute nodes, kept within what the nodes and this process bear."""

from __future__ import annotations

import asyncio
from collections import defaultdict

from kestreltrack.http1 import Connection
from kestreltrack.telemetry import Telemetry

SWEEP_S = 0.25  # how often idle connections are looked at


class Pool:
    """Connections by execute node: another may come to the same address.

    The one used last goes out first, so that surplus ones grow old.
    """

    def __init__(self, keep_s: float, connect_s: float, most: int, telemetry: Telemetry) -> None:
        """Keep a connection idle for `keep_s` at most, and `most` open in all."""
        self.keep_s, self.connect_s, self.most, self.telemetry = keep_s, connect_s, most, telemetry
        self.open = 0
        self._idle: defaultdict[str, list[Connection]] = defaultdict(list)

    async def take(self, node: str, address: str) -> Connection:
        """An idle connection that still looks sound, or a new one; raises `OSError`."""
        while idle := self._idle[node]:
            connection = idle.pop()
            if self._fresh(connection) and connection.address == address and await self._quiet(connection):
                return connection
            self.drop(connection)
        while self.open >= self.most and self._drop_oldest():
            pass
        if self.open >= self.most:
            raise OSError("all connections that the limits allow are busy")
        self.open += 1
        try:
            connection = await Connection.open(address, self.connect_s)
        except BaseException:
            self.open -= 1
            raise
        self.telemetry.count("nodes.connections")
        return connection

    async def _quiet(self, connection: Connection) -> bool:
        """Whether the kernel has nothing of it: no end, and nothing that would answer the next request."""
        try:
            await asyncio.sleep(0)  # uvloop reads all that has come before it goes on
        except BaseException:
            self.drop(connection)
            raise
        return connection.usable()

    def give_back(self, node: str, connection: Connection) -> None:
        """Keep it for the next claim, if it can carry one."""
        if connection.usable():
            connection.idle_since = asyncio.get_running_loop().time()
            self._idle[node].append(connection)
        else:
            self.drop(connection)

    def drop(self, connection: Connection) -> None:
        """Close one that was taken."""
        self.open -= 1
        connection.close()

    def unlink(self, node: str) -> None:
        """Close the idle connections to an execute node."""
        for connection in self._idle.pop(node, []):
            self.drop(connection)

    async def sweep(self) -> None:
        """Retire connections before the node's own idle time-out: a request that crosses it is a reset."""
        while True:
            await asyncio.sleep(SWEEP_S)
            for node, idle in list(self._idle.items()):
                kept = [c for c in idle if self._fresh(c)]
                for connection in idle:
                    if connection not in kept:
                        self.drop(connection)
                if kept:
                    self._idle[node] = kept
                else:
                    del self._idle[node]

    def _fresh(self, connection: Connection) -> bool:
        age = asyncio.get_running_loop().time() - connection.idle_since
        return connection.usable() and age < self.keep_s

    def _drop_oldest(self) -> bool:
        rows = [idle for idle in self._idle.values() if idle]
        if rows:
            self.drop(min(rows, key=lambda idle: idle[0].idle_since).pop(0))
        return bool(rows)
