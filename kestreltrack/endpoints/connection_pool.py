"""A pool of connections to endpoints, with an idle timeout and a limit on open connections."""

from __future__ import annotations

import asyncio
from collections import defaultdict
from functools import partial

from kestreltrack.http1 import (
    DEFAULT_SETTLE_TIMES,
    Connection,
    ConnectionReuse,
    SelectedConnection,
    SettleTimes,
    UnansweredRequest,
    UnrequestedBytes,
    is_only_late,
    possibly_silent,
)
from kestreltrack.memory import ByteBudget
from kestreltrack.telemetry import Telemetry

# Pause between two sweeps of the idle connections; short compared with any endpoint's idle timeout.
SWEEP_INTERVAL_S = 0.25


class PoolFullError(OSError):
    """All connections that the limit allows are in use: nothing was learnt about the endpoint."""

    def __init__(self) -> None:
        super().__init__("all connections that the limits allow are in use")


class ConnectionPool:
    """Connections by endpoint; not by address, because another endpoint may get the same address later.

    `ConnectionReuse` decides when a connection is reused.

    Attributes:
        budget: Accounts for what the connections have received and is not evaluated yet.  Set by its user.
        open_count: The number of open connections, idle or in use, including those being opened.
    """

    def __init__(
        self,
        idle_timeout_s: float,
        connect_timeout_s: float,
        max_connections: int,
        telemetry: Telemetry,
        settle_times: SettleTimes = DEFAULT_SETTLE_TIMES,
    ) -> None:
        """Create a pool that holds at most `max_connections`, each idle for less than `idle_timeout_s`."""
        self.budget = ByteBudget()
        self.idle_timeout_s = idle_timeout_s
        self.connect_timeout_s = connect_timeout_s
        self.max_connections = max_connections
        self.telemetry = telemetry
        self.open_count = 0
        self._idle: defaultdict[str, list[Connection]] = defaultdict(list)
        self._reuse = ConnectionReuse(settle_times)

    async def acquire(self, endpoint: str, address: str, *, strict: bool = False) -> Connection:
        """Return an idle connection that is still reusable, or a new one.

        Args:
            endpoint: The uid of the endpoint.
            address: Its present address.
            strict: Whether the response must not be mistaken for another even if an endpoint repeats one late.

        Raises:
            PoolFullError: The limit is reached and no connection is idle.
            OSError: The connection failed.
            InvalidAddressError: The address is not of the form ``host:port``.
        """
        while selected := self._take_idle(endpoint, address, strict):
            connection, wait_s = selected
            if await self._stays_silent(connection, wait_s):
                self.telemetry.count("endpoints.connections_reused")
                return connection
            self.discard(connection)
        self._evict_until_below_limit()
        return await self._open(endpoint, address)

    def _take_idle(self, endpoint: str, address: str, strict: bool) -> SelectedConnection | None:
        """Remove and return the idle connection that carries the next request, if any."""
        if endpoint not in self._idle:
            return None
        self._close_unusable(endpoint, address)
        idle = self._idle.get(endpoint, [])
        now = asyncio.get_running_loop().time()
        selected = self._reuse.select(endpoint, idle, now, strict=strict)
        if selected:
            idle.remove(selected.connection)
        elif idle:
            self.telemetry.count("endpoints.connections_not_settled")
        return selected

    def _evict_until_below_limit(self) -> None:
        """Close the oldest idle connections until another may be opened; raises `PoolFullError` if none is idle."""
        while self.open_count >= self.max_connections:
            if not self._evict_oldest():
                self.telemetry.count("endpoints.pool_full")
                raise PoolFullError

    async def _open(self, endpoint: str, address: str) -> Connection:
        self.open_count += 1
        try:
            connection = await Connection.open(address, self.connect_timeout_s, self.budget)
        except BaseException:
            self.open_count -= 1
            raise
        self.telemetry.count("endpoints.connections")
        connection.on_unrequested = partial(self._handle_unrequested, endpoint, connection)
        return connection

    async def _stays_silent(self, connection: Connection, wait_s: float) -> bool:
        try:
            return await connection.stays_silent(wait_s)
        except BaseException:
            self.discard(connection)
            raise

    def _handle_unrequested(self, endpoint: str, connection: Connection, received: UnrequestedBytes) -> None:
        """Close a connection on which bytes arrived that belong to no request, and adapt the settle time.

        The last response on it may have belonged to an earlier request: its attempt is found by the logged ids.
        """
        self._reuse.record_unrequested(endpoint, received, asyncio.get_running_loop().time())
        self.telemetry.record_fault(f"endpoints.{received.event}", endpoint=endpoint, **received.log_fields())
        idle = self._idle.get(endpoint, [])
        if connection in idle:
            idle.remove(connection)
            self.discard(connection)

    def release(self, endpoint: str, connection: Connection) -> None:
        """Make a connection idle if it can carry another request; otherwise close it."""
        if connection.matching.requests:
            self._reuse.record_response(endpoint, connection)
        if connection.is_reusable():
            connection.idle_since = asyncio.get_running_loop().time()
            self._idle[endpoint].append(connection)
        else:
            self.discard(connection)

    def discard(self, connection: Connection) -> None:
        """Close a connection and remove it from the count of open ones."""
        self.open_count -= 1
        connection.close()

    def record_unanswered(self, endpoint: str, unanswered: Connection) -> None:
        """Close the idle connections that may have fallen silent with one whose request got no response.

        A new connection costs the endpoint a handshake, so none is closed while others of that age work.
        """
        idle = self._idle.get(endpoint, [])
        if is_only_late(idle, unanswered):
            return
        doubtful = possibly_silent(idle, unanswered)
        for connection in doubtful:
            self._idle[endpoint].remove(connection)
            self.discard(connection)
        if doubtful:
            now = asyncio.get_running_loop().time()
            request = UnansweredRequest.on(unanswered, now, len(doubtful))
            self.telemetry.record_fault("endpoints.unanswered", endpoint=endpoint, **request.log_fields())

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
                self._close_unusable(endpoint)

    def _close_unusable(self, endpoint: str, address: str | None = None) -> None:
        """Close the idle connections to an endpoint that can't be used again, and those to another address."""
        reusable = list[Connection]()
        for connection in self._idle[endpoint]:
            if self._is_reusable(connection) and address in (None, connection.address):
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
