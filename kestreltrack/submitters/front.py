"""Serves submitters on a listening socket.  Knows no policy: what to answer comes from the intake."""

from __future__ import annotations

import asyncio
import math
import socket
from collections.abc import Iterable
from contextlib import suppress
from typing import SupportsIndex

from kestreltrack.http1 import split_address
from kestreltrack.ports import Clock, Intake, Rejected, TakenOn, TurnedAway
from kestreltrack.submitters.resp import (
    LARGE,
    MAX_COMMAND,
    Malformed,
    Unfit,
    read_command,
    read_submission,
    write_answer,
)
from kestreltrack.telemetry import Telemetry

BACKLOG_SHARE = (
    0.5  # of the limit, in the kernel; uvloop accepts one a turn, so that one over the limit can go
)
RECEIVE_BYTES = 32 * 1024  # of the socket: what one submitter can make this process hold at a time
READ_SHARE = 0.125  # of the memory, for commands that are being read
IDLE_S = 2.25  # a connection without a request may go after 2 s; a silent one has to within 3 s
COMMAND_S = 2.0  # for a command to come whole, and for a reply to be taken
SWEEP_S = 0.25
FLUSH_S = (
    0.1  # behind the last answer: the system may hold it back for the client's delayed acknowledgement, 40 ms
)
LINGER_S, DISCARD_MOST = 0.5, 1 << 20  # behind the last answer to one that cannot be read any further
FINISH_S, FINISH_LOOK_S = 0.1, 0.002  # twice at the end of a stop, for the answers to what has been read
PAUSE_S, PAUSE_MOST_S = 0.02, 0.5  # before the next command of one that sends bad ones in a row, for each


class Session(asyncio.StreamReader):
    """One client's connection, and the one judge of whether it may end now.

    What has been read from the socket is owed an answer.  What has not is not: a client whose request was still in
    the socket sends it again.  Between the judgement and the close of one turn of the loop nothing more is read.
    """

    writer: asyncio.StreamWriter

    def __init__(self) -> None:
        """Begin between requests."""
        super().__init__(limit=LARGE)
        self.served, self.bad, self._discarded = False, 0, 0
        self._said_all = False  # the client has
        self.lingering = False  # answered for the last time; nothing that comes is handed on
        self.rest()

    def feed_data(self, data: Iterable[SupportsIndex]) -> None:
        """Take what the loop has read."""
        if self.lingering:
            self._discarded += len(bytes(data))
            if self._discarded > DISCARD_MOST:
                self.cut()
            return
        if self.idle and not self._unread():
            self.limit = self._now() + COMMAND_S
        super().feed_data(data)

    def feed_eof(self) -> None:
        """The client has said all."""
        self._said_all = True
        super().feed_eof()
        if self.lingering:
            self.end()

    def _now(self) -> float:
        return asyncio.get_running_loop().time()

    def _unread(self) -> bool:
        """Whether bytes have been read from the socket that no request has taken."""
        return bool(self._buffer)  # type: ignore[attr-defined]

    def starved(self) -> bool:
        """Whether who reads requests has looked at all that came, and waits for more."""
        return self._waiter is not None  # type: ignore[attr-defined]

    def rest(self) -> None:
        """Between requests; the next may have been read already."""
        self.idle, self.replying = True, False
        self.limit = self._now() + (COMMAND_S if self._unread() else IDLE_S)

    def begin(self) -> None:
        """A request has begun: the connection must not be closed before it is answered."""
        self.idle, self.limit = False, self._now() + COMMAND_S

    def serve(self) -> None:
        """It is read: the answer is this side's to give, however long that takes."""
        self.limit = math.inf

    def reply(self) -> None:
        """It is answered: the client has to read that."""
        self.replying, self.limit = True, self._now() + COMMAND_S

    def gone(self) -> bool:
        """Whether it is closed: the descriptor goes within a turn or two, or once the last answer is taken."""
        return self.writer.is_closing()

    def may_end(self) -> bool:
        """Whether nothing is owed: between requests, and not a byte of the next has been read."""
        return self.idle and not self._unread()

    def half(self) -> bool:
        """Whether a command has begun and is not read whole."""
        if self.idle:
            return self._unread() and self.starved()
        return not self.replying and self.limit < math.inf

    def end(self) -> None:
        """Close it behind the last answer; a client that does not take that keeps the descriptor no longer for it."""
        if not self.gone():
            if self.writer.transport.get_write_buffer_size():
                asyncio.get_running_loop().call_later(COMMAND_S, self.cut)
            self.writer.close()

    def cut(self) -> None:
        """Close it at once."""
        self.writer.transport.abort()

    def linger(self, discard: bool = False) -> None:
        """Say no more, and close once the last answers have gone out.

        A close over unread bytes resets the connection, and answers that the system still holds back go with it.
        What comes is left in the socket: its client sends it again.  Where a client cannot be read any further it is
        read and thrown away, for longer; it was no request that could be told from junk.
        """
        if self._said_all or self.gone():
            self.end()
            return
        self.lingering = True
        self.writer.write_eof()
        super().feed_eof()  # who reads requests from it stops
        if discard:
            self.writer.transport.resume_reading()  # type: ignore[attr-defined]
        else:
            self.read_no_more()
        asyncio.get_running_loop().call_later(LINGER_S if discard else FLUSH_S, self.end)

    def expire(self) -> None:
        """End one that is overdue: half a command gets an answer, a reply that is not taken is given up."""
        if self.replying:
            self.cut()
        else:
            self.writer.write(write_answer(Rejected("the command does not end")))
            self.linger(discard=True)

    def read_no_more(self) -> None:
        """Leave in the socket what has not been read so far."""
        self.writer.transport.pause_reading()  # type: ignore[attr-defined]
        self._paused = False  # else the stream reads on once it has room


class Front:
    """Accepts submitters and answers each request in turn."""

    def __init__(
        self,
        intake: Intake,
        clock: Clock,
        ordered: frozenset[str],
        most: int,
        memory: int,
        telemetry: Telemetry,
    ) -> None:
        """Hold `most` connections at the most; `memory` is what the process may use, in bytes."""
        self.intake, self.clock, self.ordered, self.most = intake, clock, ordered, most
        self.telemetry = telemetry
        self._large = asyncio.Semaphore(max(8, int(memory * READ_SHARE) // MAX_COMMAND))
        self._sessions: dict[Session, asyncio.Task[None]] = {}
        self._server: asyncio.Server | None = None
        self._sweeper: asyncio.Task[None] | None = None
        self._closing = False
        self._finishing = asyncio.Event()
        self._listening = False
        self.evacuated = False  # by the operators: PING says no, and each connection goes once idle

    async def open(self, address: str) -> str:
        """Listen; returns the address, with the port that was bound."""
        host, port = split_address(address)
        listener = socket.socket(socket.AF_INET6 if ":" in host else socket.AF_INET)
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        # A new version listens beside this process while it still serves (graceful restart).
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BYTES)
        # Connections inherit it.  A small answer that the system holds back goes with a reset that follows it.
        listener.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        listener.bind((host, port))
        self._server = await asyncio.get_running_loop().create_server(
            lambda: asyncio.StreamReaderProtocol(Session(), self._join),
            sock=listener,
            backlog=max(1, int(self.most * BACKLOG_SHARE)),
        )
        self._sweeper = asyncio.create_task(self._sweep())
        self._listening = True
        host, port = listener.getsockname()[:2]
        return f"{host}:{port}"

    def takes(self) -> bool:
        """Whether clients are taken: listening, neither evacuated nor closing (readiness)."""
        return self._listening and not self.evacuated and not self._closing

    def evacuate(self, on: bool) -> None:
        """Send clients away, or take them again; held connections are served and end once idle."""
        self.evacuated = on
        if on:
            self._end_idle()

    def busy(self) -> bool:
        """Whether a request is read or waits for its answer: who ends now leaves a client without one."""
        return any(not (s.may_end() or s.lingering or s.gone()) for s in self._sessions)

    async def close(self) -> None:
        """Take no new connections; end each one as soon as it has no request open."""
        self._closing = True
        if self._server:
            self._server.close()
        self._end_idle()

    async def finish(self) -> None:
        """The process ends: read nothing more, answer within `FINISH_S` what has been read, close all."""
        self._finishing.set()
        ends = asyncio.get_running_loop().time() + FINISH_S
        for session in self._sessions:
            session.read_no_more()
        while self._sessions and asyncio.get_running_loop().time() < ends:
            await asyncio.sleep(FINISH_LOOK_S)  # first of all, what has just been read is looked at
            self._end_idle()
            for session in self._sessions:
                if self._stuck(session) and not (session.lingering or session.gone()):
                    session.writer.write(write_answer(TurnedAway()))
                    session.linger()

    def _end_idle(self) -> None:
        for session in self._sessions:
            if session.may_end() and not session.lingering:
                session.end()

    def _join(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """A new connection: known from its first moment, before anything of it can be read."""
        assert isinstance(reader, Session)
        reader.writer = writer
        self._sessions[reader] = asyncio.create_task(self._serve(reader))
        self._make_room(reader)

    async def _serve(self, session: Session) -> None:
        try:
            with suppress(OSError, EOFError):  # the client went
                first = True
                while not self._goes(session, first) and await self._request(session):
                    first = False
            if not session.lingering:
                session.linger()
            with suppress(OSError):
                await session.writer.wait_closed()  # until then it has its descriptor
        except asyncio.CancelledError:
            pass  # the process ends
        finally:
            del self._sessions[session]
            session.writer.close()

    def _goes(self, session: Session, first: bool) -> bool:
        """Whether a connection ends now: between requests while closing, or after its first while evacuated."""
        return session.may_end() and (self._closing or (self.evacuated and not first))

    def _stuck(self, session: Session) -> bool:
        """Whether half a command waits for its rest, or for memory; one whose rest has just been read goes on."""
        return session.half() and (session.starved() or self._large.locked())

    def _make_room(self, new: Session) -> None:
        """Over the limit one that lingers goes, else one between requests, first such as never had one; else the
        oldest half a command.

        At worst the new one goes unread: that is a message refused, and lost where it happens often.
        """
        held = [s for s in self._sessions if not s.gone()]
        if len(held) <= self.most:
            return
        self.telemetry.count("submitters.crowded_out")
        others = [s for s in held if s is not new]
        if lingering := [s for s in others if s.lingering]:
            lingering[0].cut()
        elif idle := [s for s in others if s.may_end()]:
            min(idle, key=lambda s: (s.served, s.limit)).end()
        elif half := [s for s in others if self._stuck(s)]:
            oldest = min(half, key=lambda s: s.limit)
            oldest.expire()
            oldest.end()  # without lingering: its place is wanted now
        else:
            new.end()

    async def _sweep(self) -> None:
        """End connections that keep nothing but a place: idle ones, half commands, replies not taken."""
        now = asyncio.get_running_loop().time
        while True:
            await asyncio.sleep(SWEEP_S)
            for session in [s for s in self._sessions if s.limit <= now() and not (s.gone() or s.lingering)]:
                if session.may_end():
                    self.telemetry.count("submitters.idle")
                    session.end()
                elif session.replying or self._stuck(session):
                    self.telemetry.count("submitters.overdue")
                    session.expire()

    async def _request(self, session: Session) -> bool:
        """Serve one request; false when the connection has to end."""
        bad = session.bad
        try:
            parts = await read_command(session, session.begin, self._large)
            session.serve()
            # One turn of the loop: many commands at once must not keep others waiting.  After a stall the
            # request of a submitter that has given up is still in the socket, its end behind it; this turn
            # reads that end, and the message is left to whoever has it now.
            await asyncio.sleep(0)
            verb = parts[0].upper()
            if verb == b"PING":
                await self._write(session, b"-ERR evacuated\r\n" if self.evacuated else b"+PONG\r\n")
            elif verb == b"SUBMIT":
                await self._submit(session, parts)
            else:
                await self._refuse(session, "unknown command")
        except Unfit as bad_request:
            await self._refuse(session, str(bad_request))
        except Malformed as bad_request:
            await self._refuse(session, str(bad_request))
            session.linger(discard=True)
            return False
        finally:
            session.rest()
        if session.bad > bad:
            with suppress(TimeoutError):
                await asyncio.wait_for(self._finishing.wait(), min(PAUSE_MOST_S, PAUSE_S * session.bad))
        else:
            session.bad, session.served = 0, True
        return True

    async def _submit(self, session: Session, parts: list[bytes]) -> None:
        message = read_submission(parts, self.clock(), self.ordered)
        self.telemetry.count("submitters.requests")
        if session.at_eof():
            self.telemetry.trouble("submitters.left")
            raise EOFError
        if self._finishing.is_set():  # nobody would see to its end
            await self._write(session, write_answer(TurnedAway()))
            return
        answer = await self.intake.submit(message)
        if session.at_eof():
            self.telemetry.trouble("submitters.left")
            if isinstance(answer, TakenOn) and not answer.before:  # else it is another request's message
                self.intake.withdraw(message.id)
            raise EOFError
        if isinstance(answer, Rejected):
            await self._refuse(session, answer.reason)
        else:
            await self._write(session, write_answer(answer))

    async def _refuse(self, session: Session, reason: str) -> None:
        session.bad += 1
        self.telemetry.trouble("submitters.bad_request", reason=reason)
        await self._write(session, write_answer(Rejected(reason)))

    @staticmethod
    async def _write(session: Session, data: bytes) -> None:
        session.reply()
        if session.gone() or session.lingering:
            raise EOFError
        session.writer.write(data)
        await session.writer.drain()
