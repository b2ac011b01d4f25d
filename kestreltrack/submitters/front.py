"""Serves submitters on a listening socket.  Knows no policy: what to answer comes from the intake."""

from __future__ import annotations

import asyncio
import math
import socket

from kestreltrack.http1 import split_address
from kestreltrack.ports import Clock, Intake, Rejected, TakenOn
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

BACKLOG_SHARE = 0.5  # of the limit, in the kernel: the loop takes them all in one turn, before any can go
RECEIVE_BYTES = 32 * 1024  # of the socket: what one submitter can make this process hold at a time
READ_SHARE = 0.125  # of the memory, for commands that are being read
IDLE_S = 2.25  # a connection without a request may go after 2 s; a silent one has to within 3 s
COMMAND_S = 2.0  # for a command to come whole, and for a reply to be taken
SWEEP_S = 0.25
PAUSE_S, PAUSE_MOST_S = 0.02, 0.5  # before the next command of one that sends bad ones in a row, for each


class Session:
    """One submitter's connection."""

    def __init__(self, writer: asyncio.StreamWriter) -> None:
        """Begin between requests."""
        self.writer, self.served, self.bad = writer, False, 0
        self._loop = asyncio.get_running_loop()
        self.rest()

    def rest(self) -> None:
        """Between requests: the connection may be closed at any time."""
        self.idle, self.replying, self.limit = True, False, self._loop.time() + IDLE_S

    def begin(self) -> None:
        """A request has begun: the connection must not be closed before it is answered."""
        self.idle, self.limit = False, self._loop.time() + COMMAND_S

    def serve(self) -> None:
        """It is read: the answer is this side's to give, however long that takes."""
        self.limit = math.inf

    def reply(self) -> None:
        """It is answered: the submitter has to read that."""
        self.replying, self.limit = True, self._loop.time() + COMMAND_S

    def half(self) -> bool:
        """Whether a command has begun and is not read whole."""
        return not self.idle and not self.replying and self.limit < math.inf

    def expire(self) -> None:
        """End it, with a word where half a command has come."""
        if self.replying:
            self.writer.transport.abort()
        elif not self.idle:
            self.writer.write(write_answer(Rejected("the command does not end")))
        self.writer.close()


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
        self._sessions: dict[Session, None] = {}
        self._server: asyncio.Server | None = None
        self._sweeper: asyncio.Task[None] | None = None
        self._closing = False
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
        listener.bind((host, port))
        self._server = await asyncio.start_server(
            self._serve, sock=listener, backlog=max(1, int(self.most * BACKLOG_SHARE)), limit=LARGE
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
        for session in [s for s in self._sessions if s.idle] if on else []:
            session.writer.close()

    def busy(self) -> bool:
        """Whether a request is read or waits for its answer: who ends now leaves a submitter without one."""
        return any(not session.idle for session in self._sessions)

    async def close(self) -> None:
        """Take no new connections; end each one as soon as it has no request open."""
        self._closing = True
        if self._server:
            self._server.close()
        await self._end_idle(list(self._sessions))

    async def _end_idle(self, sessions: list[Session]) -> int:
        """End those between requests; returns how many.  One whose request has been read is answered first."""
        for session in sessions:
            # What comes from here on stays in the socket: the reset tells the submitter that nobody has read it.
            session.writer.transport.pause_reading()  # type: ignore[attr-defined]
        await asyncio.sleep(0)  # a request that is read but not yet looked at shows as begun after this
        ended = 0
        for session in sessions:
            if session.idle:
                ended += not session.writer.is_closing()
                session.writer.close()
            else:
                session.writer.transport.resume_reading()  # type: ignore[attr-defined]
        return ended

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        session = Session(writer)
        self._sessions[session] = None
        self._make_room(session)
        try:
            first = True
            while not self._goes(session, first) and await self._request(reader, session):
                first = False
        except (OSError, EOFError):
            pass  # the submitter went
        except asyncio.CancelledError:
            pass  # the process ends; the streams of Python 3.11 would report this as a fault
        finally:
            del self._sessions[session]
            writer.close()

    def _goes(self, session: Session, first: bool) -> bool:
        """Whether a connection ends now: between requests while closing, or after its first while evacuated."""
        return session.idle and (self._closing or (self.evacuated and not first))

    def _make_room(self, new: Session) -> None:
        """Over the limit one between requests goes, first such as never had one; else the oldest half a command.

        At worst the new one goes unread: that is a message refused, and lost where it happens often.
        """
        if len(self._sessions) > self.most:
            self.telemetry.count("submitters.crowded_out")
            others = [s for s in self._sessions if s is not new and not s.writer.is_closing()]
            gone = [s for s in others if s.idle] or [s for s in others if s.half()] or [new]
            min(gone, key=lambda s: (s.served and s.idle, s.limit)).expire()

    async def _sweep(self) -> None:
        """End connections that keep nothing but a place: idle ones, half commands, replies not taken."""
        now = asyncio.get_running_loop().time
        while True:
            await asyncio.sleep(SWEEP_S)
            if not (late := [s for s in self._sessions if s.limit <= now()]):
                continue
            if ended := await self._end_idle([s for s in late if s.idle]):
                self.telemetry.count("submitters.idle", ended)
            for session in late:
                if session.limit <= now() and not session.writer.is_closing():
                    self.telemetry.count("submitters.overdue")
                    session.expire()

    async def _request(self, reader: asyncio.StreamReader, session: Session) -> bool:
        """Serve one request; false when the connection has to end."""
        bad = session.bad
        try:
            parts = await read_command(reader, session.begin, self._large)
            session.serve()
            # One turn of the loop: many commands at once must not keep others waiting.  After a stall the
            # request of a submitter that has given up is still in the socket, its end behind it; this turn
            # reads that end, and the message is left to whoever has it now.
            await asyncio.sleep(0)
            verb = parts[0].upper()
            if verb == b"PING":
                await self._write(session, b"-ERR evacuated\r\n" if self.evacuated else b"+PONG\r\n")
            elif verb == b"SUBMIT":
                await self._submit(reader, session, parts)
            else:
                await self._refuse(session, "unknown command")
        except Unfit as bad_request:
            await self._refuse(session, str(bad_request))
        except Malformed as bad_request:
            await self._refuse(session, str(bad_request))
            return False
        finally:
            session.rest()
        if session.bad > bad:
            await asyncio.sleep(min(PAUSE_MOST_S, PAUSE_S * session.bad))
        else:
            session.bad, session.served = 0, True
        return True

    async def _submit(self, reader: asyncio.StreamReader, session: Session, parts: list[bytes]) -> None:
        message = read_submission(parts, self.clock(), self.ordered)
        self.telemetry.count("submitters.requests")
        if reader.at_eof():
            self.telemetry.trouble("submitters.left")
            raise EOFError
        answer = await self.intake.submit(message)
        if reader.at_eof():
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
        if session.writer.is_closing():
            raise EOFError
        session.writer.write(data)
        await session.writer.drain()
