"""Serves submitters on a listening socket.  Knows no policy: what to answer comes from the intake."""

from __future__ import annotations

import asyncio
import math
import socket
from collections.abc import Iterable
from contextlib import suppress
from typing import SupportsIndex

from kestreltrack.frontend.resp import (
    LARGE_PART_BYTES,
    MAX_COMMAND_BYTES,
    InvalidCommandError,
    ProtocolError,
    encode_reply,
    parse_submission,
    read_command,
)
from kestreltrack.http1 import split_address
from kestreltrack.ports import Accepted, Clock, DeliveryService, InvalidMessage, Rejected
from kestreltrack.telemetry import Telemetry

BACKLOG_SHARE = (
    0.5  # of the limit, in the kernel; uvloop accepts one a turn, so that one over the limit can go
)
RECEIVE_BUFFER_BYTES = 32 * 1024  # of the socket: what one submitter can make this process hold at a time
COMMAND_MEMORY_SHARE = 0.125  # of the memory, for commands that are being read
IDLE_TIMEOUT_S = 2.25  # a connection without a request may go after 2 s; a silent one has to within 3 s
COMMAND_TIMEOUT_S = 2.0  # for a command to come whole, and for a reply to be taken
SWEEP_INTERVAL_S = 0.25
FLUSH_DELAY_S = (
    0.1  # behind the last answer: the system may hold it back for the client's delayed acknowledgement, 40 ms
)
LINGER_TIMEOUT_S, MAX_DISCARD_BYTES = (
    0.5,
    1 << 20,
)  # behind the last answer to one that cannot be read any further
SHUTDOWN_TIMEOUT_S, SHUTDOWN_POLL_S = (
    0.1,
    0.002,
)  # twice at the end of a stop, for the answers to what has been read
BAD_REQUEST_BACKOFF_S, MAX_BAD_REQUEST_BACKOFF_S = (
    0.02,
    0.5,
)  # before the next command of one that sends bad ones in a row, for each


class ClientSession(asyncio.StreamReader):
    """One client's connection, and the one judge of whether it may end now.

    What has been read from the socket is owed an answer.  What has not is not: a client whose request was still in
    the socket sends it again.  Between the judgement and the close of one turn of the loop nothing more is read.
    """

    writer: asyncio.StreamWriter

    def __init__(self) -> None:
        """Begin between requests."""
        super().__init__(limit=LARGE_PART_BYTES)
        self.has_served, self.consecutive_bad_requests, self._discarded_bytes = False, 0, 0
        self._eof_received = False  # the client has
        self.lingering = False  # answered for the last time; nothing that comes is handed on
        self.become_idle()

    def feed_data(self, data: Iterable[SupportsIndex]) -> None:
        """Take what the loop has read."""
        if self.lingering:
            self._discarded_bytes += len(bytes(data))
            if self._discarded_bytes > MAX_DISCARD_BYTES:
                self.abort()
            return
        if self.idle and not self._has_unread_bytes():
            self.deadline = self._loop_time() + COMMAND_TIMEOUT_S
        super().feed_data(data)

    def feed_eof(self) -> None:
        """The client has said all."""
        self._eof_received = True
        super().feed_eof()
        if self.lingering:
            self.close()

    def _loop_time(self) -> float:
        return asyncio.get_running_loop().time()

    def _has_unread_bytes(self) -> bool:
        """Whether bytes have been read from the socket that no request has taken."""
        return bool(self._buffer)  # type: ignore[attr-defined]

    def is_awaiting_data(self) -> bool:
        """Whether who reads requests has looked at all that came, and waits for more."""
        return self._waiter is not None  # type: ignore[attr-defined]

    def become_idle(self) -> None:
        """Between requests; the next may have been read already."""
        self.idle, self.replying = True, False
        self.deadline = self._loop_time() + (
            COMMAND_TIMEOUT_S if self._has_unread_bytes() else IDLE_TIMEOUT_S
        )

    def begin_request(self) -> None:
        """A request has begun: the connection must not be closed before it is answered."""
        self.idle, self.deadline = False, self._loop_time() + COMMAND_TIMEOUT_S

    def begin_processing(self) -> None:
        """It is read: the answer is this side's to give, however long that takes."""
        self.deadline = math.inf

    def begin_reply(self) -> None:
        """It is answered: the client has to read that."""
        self.replying, self.deadline = True, self._loop_time() + COMMAND_TIMEOUT_S

    def is_closing(self) -> bool:
        """Whether it is closed: the descriptor goes within a turn or two, or once the last answer is taken."""
        return self.writer.is_closing()

    def can_close(self) -> bool:
        """Whether nothing is owed: between requests, and not a byte of the next has been read."""
        return self.idle and not self._has_unread_bytes()

    def has_partial_command(self) -> bool:
        """Whether a command has begun and is not read whole."""
        if self.idle:
            return self._has_unread_bytes() and self.is_awaiting_data()
        return not self.replying and self.deadline < math.inf

    def close(self) -> None:
        """Close it behind the last answer; a client that does not take that keeps the descriptor no longer for it."""
        if not self.is_closing():
            if self.writer.transport.get_write_buffer_size():
                asyncio.get_running_loop().call_later(COMMAND_TIMEOUT_S, self.abort)
            self.writer.close()

    def abort(self) -> None:
        """Close it at once."""
        self.writer.transport.abort()

    def close_lingering(self, discard: bool = False) -> None:
        """Say no more, and close once the last answers have gone out.

        A close over unread bytes resets the connection, and answers that the system still holds back go with it.
        What comes is left in the socket: its client sends it again.  Where a client cannot be read any further it is
        read and thrown away, for longer; it was no request that could be told from junk.
        """
        if self._eof_received or self.is_closing():
            self.close()
            return
        self.lingering = True
        self.writer.write_eof()
        super().feed_eof()  # who reads requests from it stops
        if discard:
            self.writer.transport.resume_reading()  # type: ignore[attr-defined]
        else:
            self.stop_reading()
        asyncio.get_running_loop().call_later(LINGER_TIMEOUT_S if discard else FLUSH_DELAY_S, self.close)

    def expire(self) -> None:
        """End one that is overdue: half a command gets an answer, a reply that is not taken is given up."""
        if self.replying:
            self.abort()
        else:
            self.writer.write(encode_reply(InvalidMessage("the command does not end")))
            self.close_lingering(discard=True)

    def stop_reading(self) -> None:
        """Leave in the socket what has not been read so far."""
        self.writer.transport.pause_reading()  # type: ignore[attr-defined]
        self._paused = False  # else the stream reads on once it has room


class FrontendServer:
    """Accepts submitters and answers each request in turn."""

    def __init__(
        self,
        intake: DeliveryService,
        clock: Clock,
        ordered_classes: frozenset[str],
        max_connections: int,
        memory_bytes: int,
        telemetry: Telemetry,
    ) -> None:
        """Hold `most` connections at the most; `memory` is what the process may use, in bytes."""
        self.intake, self.clock, self.ordered_classes, self.max_connections = (
            intake,
            clock,
            ordered_classes,
            max_connections,
        )
        self.telemetry = telemetry
        self._large_part_permits = asyncio.Semaphore(
            max(8, int(memory_bytes * COMMAND_MEMORY_SHARE) // MAX_COMMAND_BYTES)
        )
        self._sessions: dict[ClientSession, asyncio.Task[None]] = {}
        self._server: asyncio.Server | None = None
        self._sweep_task: asyncio.Task[None] | None = None
        self._draining = False
        self._shutting_down = asyncio.Event()
        self._listening = False
        self.evacuated = False  # by the operators: PING says no, and each connection goes once idle

    async def start(self, address: str) -> str:
        """Listen; returns the address, with the port that was bound."""
        host, port = split_address(address)
        listener = socket.socket(socket.AF_INET6 if ":" in host else socket.AF_INET)
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        # A new version listens beside this process while it still serves (graceful restart).
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        # Connections inherit it.  A small answer that the system holds back goes with a reset that follows it.
        listener.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        listener.bind((host, port))
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
        """Whether clients are taken: listening, neither evacuated nor closing (readiness)."""
        return self._listening and not self.evacuated and not self._draining

    def evacuate(self, evacuated: bool) -> None:
        """Send clients away, or take them again; held connections are served and end once idle."""
        self.evacuated = evacuated
        if evacuated:
            self._close_idle()

    def has_open_requests(self) -> bool:
        """Whether a request is read or waits for its answer: who ends now leaves a client without one."""
        return any(not (s.can_close() or s.lingering or s.is_closing()) for s in self._sessions)

    async def drain(self) -> None:
        """Take no new connections; end each one as soon as it has no request open."""
        self._draining = True
        if self._server:
            self._server.close()
        self._close_idle()

    async def shut_down(self) -> None:
        """The process ends: read nothing more, answer within `FINISH_S` what has been read, close all."""
        self._shutting_down.set()
        ends = asyncio.get_running_loop().time() + SHUTDOWN_TIMEOUT_S
        for session in self._sessions:
            session.stop_reading()
        while self._sessions and asyncio.get_running_loop().time() < ends:
            await asyncio.sleep(SHUTDOWN_POLL_S)  # first of all, what has just been read is looked at
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
        """A new connection: known from its first moment, before anything of it can be read."""
        assert isinstance(reader, ClientSession)
        reader.writer = writer
        self._sessions[reader] = asyncio.create_task(self._serve(reader))
        self._enforce_connection_limit(reader)

    async def _serve(self, session: ClientSession) -> None:
        try:
            with suppress(OSError, EOFError):  # the client went
                first = True
                while not self._must_close(session, first) and await self._serve_request(session):
                    first = False
            if not session.lingering:
                session.close_lingering()
            with suppress(OSError):
                await session.writer.wait_closed()  # until then it has its descriptor
        except asyncio.CancelledError:
            pass  # the process ends
        finally:
            del self._sessions[session]
            session.writer.close()

    def _must_close(self, session: ClientSession, first: bool) -> bool:
        """Whether a connection ends now: between requests while closing, or after its first while evacuated."""
        return session.can_close() and (self._draining or (self.evacuated and not first))

    def _is_stalled(self, session: ClientSession) -> bool:
        """Whether half a command waits for its rest, or for memory; one whose rest has just been read goes on."""
        return session.has_partial_command() and (
            session.is_awaiting_data() or self._large_part_permits.locked()
        )

    def _enforce_connection_limit(self, newcomer: ClientSession) -> None:
        """Over the limit one that lingers goes, else one between requests, first such as never had one; else the
        oldest half a command.

        At worst the new one goes unread: that is a message refused, and lost where it happens often.
        """
        held = [s for s in self._sessions if not s.is_closing()]
        if len(held) <= self.max_connections:
            return
        self.telemetry.count("clients.evicted")
        others = [s for s in held if s is not newcomer]
        if lingering := [s for s in others if s.lingering]:
            lingering[0].abort()
        elif idle := [s for s in others if s.can_close()]:
            min(idle, key=lambda s: (s.has_served, s.deadline)).close()
        elif half := [s for s in others if self._is_stalled(s)]:
            oldest = min(half, key=lambda s: s.deadline)
            oldest.expire()
            oldest.close()  # without lingering: its place is wanted now
        else:
            newcomer.close()

    async def _sweep(self) -> None:
        """End connections that keep nothing but a place: idle ones, half commands, replies not taken."""
        now = asyncio.get_running_loop().time
        while True:
            await asyncio.sleep(SWEEP_INTERVAL_S)
            for session in [
                s for s in self._sessions if s.deadline <= now() and not (s.is_closing() or s.lingering)
            ]:
                if session.can_close():
                    self.telemetry.count("clients.idle_closed")
                    session.close()
                elif session.replying or self._is_stalled(session):
                    self.telemetry.count("clients.timed_out")
                    session.expire()

    async def _serve_request(self, session: ClientSession) -> bool:
        """Serve one request; false when the connection has to end."""
        bad = session.consecutive_bad_requests
        try:
            parts = await read_command(session, session.begin_request, self._large_part_permits)
            session.begin_processing()
            # One turn of the loop: many commands at once must not keep others waiting.  After a stall the
            # request of a submitter that has given up is still in the socket, its end behind it; this turn
            # reads that end, and the message is left to whoever has it now.
            await asyncio.sleep(0)
            verb = parts[0].upper()
            if verb == b"PING":
                await self._send_reply(session, b"-ERR evacuated\r\n" if self.evacuated else b"+PONG\r\n")
            elif verb == b"SUBMIT":
                await self._handle_submit(session, parts)
            else:
                await self._reply_error(session, "unknown command")
        except InvalidCommandError as bad_request:
            await self._reply_error(session, str(bad_request))
        except ProtocolError as bad_request:
            await self._reply_error(session, str(bad_request))
            session.close_lingering(discard=True)
            return False
        finally:
            session.become_idle()
        if session.consecutive_bad_requests > bad:
            with suppress(TimeoutError):
                await asyncio.wait_for(
                    self._shutting_down.wait(),
                    min(MAX_BAD_REQUEST_BACKOFF_S, BAD_REQUEST_BACKOFF_S * session.consecutive_bad_requests),
                )
        else:
            session.consecutive_bad_requests, session.has_served = 0, True
        return True

    async def _handle_submit(self, session: ClientSession, parts: list[bytes]) -> None:
        message = parse_submission(parts, self.clock(), self.ordered_classes)
        self.telemetry.count("clients.requests")
        if session.at_eof():
            self.telemetry.record_fault("clients.disconnected")
            raise EOFError
        if self._shutting_down.is_set():  # nobody would see to its end
            await self._send_reply(session, encode_reply(Rejected()))
            return
        answer = await self.intake.submit(message)
        if session.at_eof():
            self.telemetry.record_fault("clients.disconnected")
            if isinstance(answer, Accepted) and not answer.duplicate:  # else it is another request's message
                self.intake.withdraw(message.id)
            raise EOFError
        if isinstance(answer, InvalidMessage):
            await self._reply_error(session, answer.reason)
        else:
            await self._send_reply(session, encode_reply(answer))

    async def _reply_error(self, session: ClientSession, reason: str) -> None:
        session.consecutive_bad_requests += 1
        self.telemetry.record_fault("clients.bad_request", reason=reason)
        await self._send_reply(session, encode_reply(InvalidMessage(reason)))

    @staticmethod
    async def _send_reply(session: ClientSession, data: bytes) -> None:
        session.begin_reply()
        if session.is_closing() or session.lingering:
            raise EOFError
        session.writer.write(data)
        await session.writer.drain()
