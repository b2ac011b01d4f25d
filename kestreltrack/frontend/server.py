"""Accepts client connections and limits their number and lifetime."""

from __future__ import annotations

import asyncio
import socket
from contextlib import suppress

from kestreltrack.frontend import eviction
from kestreltrack.frontend.request_handler import RequestHandler
from kestreltrack.frontend.resp import encode_reply
from kestreltrack.frontend.session import ClientSession, RequestPhase
from kestreltrack.http1 import split_address
from kestreltrack.memory import ByteBudget
from kestreltrack.ports import Clock, DeliveryService, Rejected
from kestreltrack.telemetry import Telemetry

# The listen backlog as a multiple of the connection limit: the kernel ignores a client that finds it full, and the
# client tries again a second later.  uvloop accepts one connection per iteration of the event loop, so that one over
# the limit can be closed before the next one is accepted.
BACKLOG_SHARE = 2.0
# Per connection: limits how much unread data of one client the kernel buffers.
RECEIVE_BUFFER_BYTES = 32 * 1024
# Per connection: limits how many replies that one client does not read the kernel buffers.
SEND_BUFFER_BYTES = 16 * 1024
SWEEP_INTERVAL_S = 0.25
# How long `shut_down` waits for replies to requests that have been read; a graceful shutdown calls it twice.
SHUTDOWN_TIMEOUT_S = 0.1
SHUTDOWN_POLL_S = 0.002


class FrontendServer:
    """Accepts connections and serves the requests of each one in order.

    Attributes:
        max_connections: The maximum number of open connections.
        request_handler: Serves the requests.
        request_memory: The memory of requests without a reply.
    """

    def __init__(
        self,
        delivery_service: DeliveryService,
        clock: Clock,
        ordered_classes: frozenset[str],
        max_connections: int,
        memory_bytes: int,
        telemetry: Telemetry,
    ) -> None:
        """Submit messages to `delivery_service`; requests may hold `memory_bytes` until their replies."""
        self.max_connections = max_connections
        self.telemetry = telemetry
        self.request_handler = RequestHandler(delivery_service, clock, ordered_classes, telemetry)
        self.request_memory = ByteBudget(memory_bytes)
        self._sessions: dict[ClientSession, asyncio.Task[None]] = {}
        self._server: asyncio.Server | None = None
        self._sweep_task: asyncio.Task[None] | None = None
        self._draining = False
        self._listening = False

    async def start(self, address: str) -> str:
        """Listen on an address, and return the bound host and port.

        Raises:
            OSError: Binding or listening on the address failed.
            UnicodeError: The host name cannot be encoded for a lookup.
        """
        listener = _open_listener(address)
        self._server = await asyncio.get_running_loop().create_server(
            self._new_protocol,
            sock=listener,
            backlog=max(1, int(self.max_connections * BACKLOG_SHARE)),
        )
        self._sweep_task = asyncio.create_task(self._sweep())
        self._listening = True
        host, port = listener.getsockname()[:2]
        return f"{host}:{port}"

    def accepts_clients(self) -> bool:
        """Return whether the frontend is ready: listening, and neither evacuated nor draining."""
        return self._listening and not self.request_handler.evacuated and not self._draining

    def evacuate(self, evacuated: bool) -> None:
        """Turn evacuation on or off; while on, open requests are served and each idle connection is closed."""
        self.request_handler.evacuated = evacuated
        if evacuated:
            self._close_idle()

    def connection_count(self) -> int:
        """Return the number of connections whose descriptors are in use."""
        return len(self._sessions)

    def has_open_requests(self) -> bool:
        """Return whether any connection still owes the reply to a request."""
        return any(
            not (session.can_close() or session.lingering or session.is_closing())
            for session in self._sessions
        )

    async def drain(self) -> None:
        """Stop accepting connections, and close each open one as soon as it has no open request."""
        self._draining = True
        if self._server:
            self._server.close()
        self._close_idle()

    async def shut_down(self) -> None:
        """Stop reading, reply within `SHUTDOWN_TIMEOUT_S` to what has been read, and close the connections.

        A request that is still being processed at the timeout keeps its connection until the next call.
        """
        loop = asyncio.get_running_loop()
        self.request_handler.shutting_down.set()
        deadline = loop.time() + SHUTDOWN_TIMEOUT_S
        for session in self._sessions:
            session.stop_reading()
        while self._sessions and loop.time() < deadline:
            # Lets the sessions process what has just been read before any of them is taken for idle or stalled.
            await asyncio.sleep(SHUTDOWN_POLL_S)
            self._close_idle()
            for session in self._sessions:
                if self._is_stalled(session):
                    session.writer.write(encode_reply(Rejected()))
                    session.close_lingering()

    def _close_idle(self) -> None:
        for session in self._sessions:
            if session.can_close() and not session.lingering:
                session.close()

    def _new_protocol(self) -> asyncio.StreamReaderProtocol:
        session = ClientSession(self.request_memory, self._reject_for_memory)
        return asyncio.StreamReaderProtocol(session, self._accept)

    def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Register a new connection before any of its data can be read."""
        assert isinstance(reader, ClientSession)
        reader.writer = writer
        # A reply waits until the kernel has taken the one before it: clients that do not read hold one each.
        writer.transport.set_write_buffer_limits(high=0)
        self._sessions[reader] = asyncio.create_task(self._serve(reader))
        self._enforce_connection_limit(reader)

    async def _serve(self, session: ClientSession) -> None:
        """Serve the requests of a connection until it is closed."""
        try:
            # The client may close or reset the connection at any time.
            with suppress(OSError, EOFError):
                is_first = True
                while not self._must_close(session, is_first) and await self.request_handler.serve_request(
                    session
                ):
                    is_first = False
            if not session.lingering:
                session.close_lingering()
            # The connection occupies a descriptor, and so counts against the limit, until the transport is closed.
            await session.wait_closed()
        except BaseException:
            # At the end of the process: the transport is still open, and calls the session until it is closed.
            session.abort()
            raise
        finally:
            del self._sessions[session]
        session.release()

    def _must_close(self, session: ClientSession, is_first: bool) -> bool:
        """Return whether to close an idle connection: while draining, or after its first request if evacuated."""
        return session.can_close() and (self._draining or (self.request_handler.evacuated and not is_first))

    def _reject_for_memory(self, receiving: ClientSession) -> None:
        """Reject requests until those that are left hold no more memory than they may.

        The choice is the oldest partial command; without any, what `receiving` has just received.  A client that
        never finishes its command is thereby rejected before one that is about to.
        """
        while self.request_memory.is_exceeded():
            stalled = [session for session in self._sessions if self._is_stalled(session)]
            rejected = min(stalled, key=lambda session: session.deadline, default=receiving)
            self._record_end("clients.memory_rejected", rejected)
            rejected.reject_unserved()
            if rejected is receiving:
                return

    def _is_stalled(self, session: ClientSession) -> bool:
        """Return whether a partial command waits for data from the client.

        A command whose last bytes have been read, but not processed yet, is not stalled.
        """
        is_ending = session.lingering or session.is_closing()
        return not is_ending and session.has_partial_command() and session.is_awaiting_data()

    def _record_end(self, event: str, session: ClientSession) -> None:
        """Count and log that the server ends a connection, or what is left of its requests."""
        self.telemetry.record_fault(
            event,
            connection=session.id,
            phase=session.phase.name.lower(),
            held_bytes=session.held_bytes,
            all_held_bytes=self.request_memory.held_bytes,
            connections=len(self._sessions),
        )

    def _enforce_connection_limit(self, newcomer: ClientSession) -> None:
        """Give up one connection if there are more than the limit: the new one only if no other can be.

        Closing the new connection unread rejects a message, which is lost if that happens to its client repeatedly.
        """
        if len(self._sessions) <= self.max_connections:
            return
        # A descriptor that is about to be released does not count.
        open_sessions = [session for session in self._sessions if not session.is_closed()]
        surplus = len(open_sessions) - self.max_connections
        if surplus <= 0:
            return
        open_sessions.remove(newcomer)
        now = asyncio.get_running_loop().time()
        chosen = eviction.choose(open_sessions, now, surplus)
        if chosen is None:
            self._record_end("clients.turned_away", newcomer)
            newcomer.close()
            return
        session, rank = chosen
        self.telemetry.count(f"clients.evicted.{rank.name.lower()}")
        self._record_end("clients.evicted", session)
        eviction.evict(session, rank)

    async def _sweep(self) -> None:
        """Periodically close connections whose deadline has passed, so that they do not use up the limit."""
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(SWEEP_INTERVAL_S)
            expired = [
                session
                for session in self._sessions
                if session.deadline <= loop.time() and not (session.is_closing() or session.lingering)
            ]
            for session in expired:
                self._end_expired(session)

    def _end_expired(self, session: ClientSession) -> None:
        """Close an expired connection that is idle, stalled in a command, or has a reply the client does not read."""
        if session.can_close():
            self.telemetry.count("clients.idle_closed")
            session.close()
        elif session.phase is RequestPhase.REPLYING or self._is_stalled(session):
            self._record_end("clients.timed_out", session)
            session.expire()


def _open_listener(address: str) -> socket.socket:
    """Return a socket that is bound to an address but not yet listening."""
    host, port = split_address(address)
    listener = socket.socket(socket.AF_INET6 if ":" in host else socket.AF_INET)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    # In a graceful restart the new process listens on the same address while the old one still serves.
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER_BYTES)
    # Inherited by accepted connections.  A small reply that the kernel delays is lost if a reset follows it.
    listener.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    listener.bind((host, port))
    return listener
