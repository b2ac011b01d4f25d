"""An HTTP/1.1 client that makes complete exchanges with one server."""

from __future__ import annotations

import asyncio
import math
from collections.abc import Callable
from functools import partial
from typing import NamedTuple

from kestreltrack.http1.connection import MAX_BODY_BYTES, BodyReceiver, Connection, UnrequestedBytes
from kestreltrack.http1.connection_reuse import (
    NO_WAIT_TIMES,
    ConnectionReuse,
    SelectedConnection,
    UnansweredRequest,
    possibly_silent,
)
from kestreltrack.http1.errors import (
    BodyProgress,
    BodyTooLargeError,
    ConnectionBrokenError,
    TruncatedResponseError,
    TruncationReason,
)

# Longest pause in the body of a response: it may never end.
BODY_TIMEOUT_S = 1.0
# Slowest mean rate of a body after its first `BODY_TIMEOUT_S`, in bytes per second: it may trickle without an end.
MIN_BODY_BYTES_PER_S = 16 * 1024
SUCCESS_MIN, SUCCESS_MAX = 200, 299

# Limit on idle connections: with frequent exchanges, several wait until they have been silent long enough.
MAX_IDLE_CONNECTIONS = 16


class HttpResponse(NamedTuple):
    """Status and body of a complete response."""

    status: int
    body: bytes


class HttpClient:
    """Makes exchanges with one server; connections stay open for reuse for a short time.

    A connection is reused only after it has been silent for the settle time (`ConnectionReuse`), so that a
    response which the server or a proxy repeats is not taken for that of another request.  A request that gets no
    response closes the idle connections that may have fallen silent with its own.

    Attributes:
        on_unrequested: Called when bytes arrive on a connection that belong to no request.  Set by its user.
        on_unanswered: Called when a request ended without the beginning of a response.  Set by its user.
    """

    def __init__(
        self,
        address: str,
        idle_timeout_s: float = 2.0,
        connect_timeout_s: float = math.inf,
        max_body_bytes: int = MAX_BODY_BYTES,
    ) -> None:
        """Open nothing before the first request.

        A connection is established within `connect_timeout_s` or fails; a response with a body over `max_body_bytes`
        counts as truncated.
        """
        self.max_body_bytes = max_body_bytes
        self.address = address
        self.idle_timeout_s = idle_timeout_s
        self.connect_timeout_s = connect_timeout_s
        self.on_unrequested: Callable[[UnrequestedBytes], None] = lambda received: None
        self.on_unanswered: Callable[[UnansweredRequest], None] = lambda request: None
        self._idle: list[Connection] = []
        self._reuse = ConnectionReuse(NO_WAIT_TIMES)
        self._in_flight: set[asyncio.Timeout] = set()
        self._closed = False

    async def exchange(
        self,
        method: str,
        target: str,
        timeout_s: float,
        body: bytes = b"",
        receiver: BodyReceiver | None = None,
    ) -> HttpResponse:
        """Send one request and return its response; the body is empty if a `receiver` takes it.

        Raises:
            OSError: The connection could not be established or failed, or no response began within `timeout_s`.
            ConnectionBrokenError: The connection ended before a response began.
            TruncatedResponseError: A response began, but could not be read to its end.
            InvalidAddressError: The address is not of the form ``host:port``.
        """
        connection = None
        body_began_at = math.inf
        try:
            async with asyncio.timeout(timeout_s) as time_limit:
                self._in_flight.add(time_limit)
                connection = await self._acquire(timeout_s)
                await connection.send(method, target, [], body)
                await connection.read_head()
                body_began_at = asyncio.get_running_loop().time()
                body_limit = _BodyTimeLimit(time_limit, min(BODY_TIMEOUT_S, timeout_s), receiver)
                response_body = await connection.read_body(
                    self.max_body_bytes, receiver=body_limit if receiver else None
                )
        except BaseException as error:
            if connection:
                connection.close()
                if not connection.response_begun():
                    self._handle_unanswered(connection)
                elif isinstance(error, (OSError, ConnectionBrokenError)):
                    raise TruncatedResponseError(
                        str(error) or "the response was not complete in time",
                        self._body_progress(connection, body_began_at, error),
                    ) from error
            raise
        finally:
            self._in_flight.discard(time_limit)
        self._release(connection)
        return HttpResponse(connection.head.status, response_body)

    def _body_progress(self, connection: Connection, began_at: float, error: Exception) -> BodyProgress:
        """Describe how far the body of a response was read that began at `began_at` on the loop's clock."""
        if isinstance(error, BodyTooLargeError):
            reason = TruncationReason.TOO_LARGE
        elif isinstance(error, TimeoutError):
            reason = TruncationReason.TOO_SLOW
        else:
            reason = TruncationReason.BROKEN
        elapsed_s = max(0.0, asyncio.get_running_loop().time() - began_at)
        return BodyProgress(reason, connection.received_body_bytes, self.max_body_bytes, elapsed_s)

    async def _acquire(self, timeout_s: float) -> Connection:
        """Return an idle connection that may carry another request, or a new one."""
        while selected := self._take_idle():
            connection, wait_s = selected
            if await connection.stays_silent(wait_s):
                return connection
            connection.close()
        connection = await Connection.open(self.address, min(timeout_s, self.connect_timeout_s))
        connection.on_unrequested = partial(self._handle_unrequested, connection)
        return connection

    def _take_idle(self) -> SelectedConnection | None:
        """Remove and return the idle connection that carries the next request, if any; close unusable ones."""
        now = asyncio.get_running_loop().time()
        reusable = list[Connection]()
        for connection in self._idle:
            if connection.is_reusable() and now - connection.idle_since <= self.idle_timeout_s:
                reusable.append(connection)
            else:
                connection.close()
        self._idle = reusable
        selected = self._reuse.select(self.address, reusable, now, strict=True)
        if selected:
            reusable.remove(selected.connection)
        return selected

    def _handle_unrequested(self, connection: Connection, received: UnrequestedBytes) -> None:
        """Close a connection on which bytes arrived that belong to no request, and adapt the settle time."""
        self._reuse.record_unrequested(self.address, received, asyncio.get_running_loop().time())
        self.on_unrequested(received)
        if connection in self._idle:
            self._idle.remove(connection)
            connection.close()

    def _handle_unanswered(self, unanswered: Connection) -> None:
        """Close the idle connections that may have fallen silent with one whose request got no response."""
        doubtful = possibly_silent(self._idle, unanswered)
        for connection in doubtful:
            self._idle.remove(connection)
            connection.close()
        now = asyncio.get_running_loop().time()
        self.on_unanswered(UnansweredRequest.on(unanswered, now, len(doubtful)))

    def close_idle(self) -> None:
        """Close the idle connections: the next exchange opens a new one."""
        while self._idle:
            self._idle.pop().close()

    def _release(self, connection: Connection) -> None:
        """Make a connection idle if it can carry another request; otherwise close it."""
        if not connection.is_reusable() or self._closed:
            connection.close()
            return
        connection.idle_since = asyncio.get_running_loop().time()
        self._idle.append(connection)
        if len(self._idle) > MAX_IDLE_CONNECTIONS:
            self._idle.pop(0).close()

    def close(self) -> None:
        """Close the idle connections; exchanges in flight fail at once, as if they had timed out."""
        self._closed = True
        self.close_idle()
        for time_limit in self._in_flight:
            if not time_limit.expired():
                time_limit.reschedule(asyncio.get_running_loop().time())


class _BodyTimeLimit:
    """Ends an exchange whose body stands still or comes too slowly, and passes the body on.

    A body that keeps coming is read to its end, beyond the time limit of the call: the server is answering it, and
    would have to answer the next call as slowly.
    """

    def __init__(self, time_limit: asyncio.Timeout, pause_s: float, receiver: BodyReceiver | None) -> None:
        """Allow for a body that begins now, and for pauses of up to `pause_s`."""
        self._time_limit = time_limit
        self._pause_s = pause_s
        self._receiver = receiver
        self._began_at = asyncio.get_running_loop().time()
        self._received_bytes = 0
        self._is_extended = True
        self._reschedule()

    def begin(self, status: int) -> None:
        """Start with the body of a response; one that tells of a failure is not waited for."""
        self._is_extended = SUCCESS_MIN <= status <= SUCCESS_MAX
        if self._receiver:
            self._receiver.begin(status)

    def receive(self, data: bytes) -> None:
        """Pass the next piece on, and wait for the one after it."""
        if self._receiver:
            self._receiver.receive(data)
        self._received_bytes += len(data)
        if self._is_extended:
            self._reschedule()

    def _reschedule(self) -> None:
        now = asyncio.get_running_loop().time()
        if self._time_limit.expired() or (self._time_limit.when() or math.inf) <= now:
            return  # the exchange ends anyway
        slowest_at = self._began_at + self._pause_s + self._received_bytes / MIN_BODY_BYTES_PER_S
        longest_pause_at = now + self._pause_s
        self._time_limit.reschedule(min(slowest_at, longest_pause_at))
