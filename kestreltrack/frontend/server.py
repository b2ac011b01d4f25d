"""Accepts clients on a listening socket, and bounds how many connections there are and for how long."""

from __future__ import annotations

import asyncio
import socket
from contextlib import suppress

from kestreltrack.frontend.request_handler import RequestHandler
from kestreltrack.frontend.resp import encode_reply
from kestreltrack.frontend.session import ClientSession, RequestPhase
from kestreltrack.http1 import split_address
from kestreltrack.ports import Clock, DeliveryService, Rejected
from kestreltrack.telemetry import Telemetry

# Connections that wait in the kernel, as a share of the limit.  uvloop accepts one a turn, so that the one over the
# limit can be closed before the next comes.
BACKLOG_SHARE = 0.5
# Of each socket: what one client can make this process hold at a time.
RECEIVE_BUFFER_BYTES = 32 * 1024
SWEEP_INTERVAL_S = 0.25
# A graceful shutdown waits so long, twice, for the answers to what has been read.
SHUTDOWN_TIMEOUT_S = 0.1
SHUTDOWN_POLL_S = 0.002


class FrontendServer:
    """Accepts clients and serves the requests of each connection in turn.

    Attributes:
        max_connections: How many connections are held at the most.
        request_handler: Answers the requests.
    """

    def __init__(
        self,
        intake: DeliveryService,
        clock: Clock,
        ordered_classes: frozenset[str],
        max_connections: int,
        memory_bytes: int,
        telemetry: Telemetry,
    ) -> None:
        """Hand messages to `intake`; `memory_bytes` is what the process may use."""
        self.max_connections = max_connections
        self.telemetry = telemetry
        self.request_handler = RequestHandler(intake, clock, ordered_classes, memory_bytes, telemetry)
        self._sessions: dict[ClientSession, asyncio.Task[None]] = {}
        self._server: asyncio.Server | None = None
        self._sweep_task: asyncio.Task[None] | None = None
        self._draining = False
        self._listening = False

    async def start(self, address: str) -> str:
        """Listen, and return the address with the port that was bound.

        Raises:
            OSError: The address cannot be listened on.
            UnicodeError: The host is no name that can be looked up.
        """
        listener = _open_listener(address)
        self._server = await asyncio.get_running_loop().create_server(
            lambda: asyncio.StreamReaderProtocol(ClientSession(), self._accept),
            sock=listener,
            backlog=max(1, int(self.max_connections * BACKLOG_SHARE)),
        )
        self._sweep_task = asyncio.create_task(self._sweep())
        self._listening = True
        host, port = listener.getsockname()[:2]
        return f"{host}:{port}"

    def accepts_clients(self) -> bool:
        """Return whether clients are accepted: listening, neither evacuated nor closing (readiness)."""
        return self._listening and not self.request_handler.evacuated and not self._draining

    def evacuate(self, evacuated: bool) -> None:
        """Send clients away, or accept them again; open requests are served, and connections end once idle."""
        self.request_handler.evacuated = evacuated
        if evacuated:
            self._close_idle()

    def has_open_requests(self) -> bool:
        """Return whether a request has been read and not been answered."""
        return any(
            not (session.can_close() or session.lingering or session.is_closing())
            for session in self._sessions
        )

    async def drain(self) -> None:
        """Accept no new connections; end each one as soon as it has no open request."""
        self._draining = True
        if self._server:
            self._server.close()
        self._close_idle()

    async def shut_down(self) -> None:
        """Read nothing more, answer within `SHUTDOWN_TIMEOUT_S` what has been read, and close all connections."""
        loop = asyncio.get_running_loop()
        self.request_handler.shutting_down.set()
        deadline = loop.time() + SHUTDOWN_TIMEOUT_S
        for session in self._sessions:
            session.stop_reading()
        while self._sessions and loop.time() < deadline:
            # First of all the sessions look at what has just been read.
            await asyncio.sleep(SHUTDOWN_POLL_S)
            self._close_idle()
            for session in self._sessions:
                if self._is_stalled(session) and not (session.lingering or session.is_closing()):
                    session.writer.write(encode_reply(Rejected()))
                    session.close_lingering()

    def _close_idle(self) -> None:
        for session in self._sessions:
            if session.can_close() and not session.lingering:
                session.close()

    def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Register a new connection before anything of it can be read."""
        assert isinstance(reader, ClientSession)
        reader.writer = writer
        self._sessions[reader] = asyncio.create_task(self._serve(reader))
        self._enforce_connection_limit(reader)

    async def _serve(self, session: ClientSession) -> None:
        """Serve the requests of a connection until it ends."""
        try:
            # The client may close or reset it at any time.
            with suppress(OSError, EOFError):
                is_first = True
                while not self._must_close(session, is_first) and await self.request_handler.serve_request(
                    session
                ):
                    is_first = False
            if not session.lingering:
                session.close_lingering()
            # Until then the connection has its descriptor.
            with suppress(OSError):
                await session.writer.wait_closed()
        finally:
            del self._sessions[session]
            session.writer.close()

    def _must_close(self, session: ClientSession, is_first: bool) -> bool:
        """Return whether a connection ends now: while draining, or after its first request while evacuated."""
        return session.can_close() and (self._draining or (self.request_handler.evacuated and not is_first))

    def _is_stalled(self, session: ClientSession) -> bool:
        """Return whether a partial command waits for its rest or for memory; one just completed is not stalled."""
        return session.has_partial_command() and (
            session.is_awaiting_data() or self.request_handler.large_part_permits.locked()
        )

    def _enforce_connection_limit(self, newcomer: ClientSession) -> None:
        """Over the limit, end the connection whose end costs least.

        That is one that lingers, else one between requests, first of all one that never had a request, else the
        oldest partial command.  At worst the new connection is closed unread: that is a message rejected, and lost
        where it happens often.
        """
        sessions = [session for session in self._sessions if not session.is_closing()]
        if len(sessions) <= self.max_connections:
            return
        self.telemetry.count("clients.evicted")
        others = [session for session in sessions if session is not newcomer]
        lingering = [session for session in others if session.lingering]
        if lingering:
            lingering[0].abort()
            return
        idle = [session for session in others if session.can_close()]
        if idle:
            min(idle, key=lambda session: (session.has_served, session.deadline)).close()
            return
        stalled = [session for session in others if self._is_stalled(session)]
        if stalled:
            oldest = min(stalled, key=lambda session: session.deadline)
            oldest.expire()
            # Without lingering: its place is needed now.
            oldest.close()
            return
        newcomer.close()

    async def _sweep(self) -> None:
        """End connections past their deadline, which take up a place and no more."""
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
        """End an idle connection, a partial command or a reply that is not taken."""
        if session.can_close():
            self.telemetry.count("clients.idle_closed")
            session.close()
        elif session.phase is RequestPhase.REPLYING or self._is_stalled(session):
            self.telemetry.count("clients.timed_out")
            session.expire()


def _open_listener(address: str) -> socket.socket:
    """Return a socket that is bound to an address and does not listen yet."""
    host, port = split_address(address)
    listener = socket.socket(socket.AF_INET6 if ":" in host else socket.AF_INET)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    # A new version listens beside this process while it still serves (graceful restart).
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
    # Connections inherit it.  A small answer that the system holds back is lost with a reset that follows it.
    listener.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    listener.bind((host, port))
    return listener
