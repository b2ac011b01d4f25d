"""Serves the requests of a connection one at a time and submits their messages to the delivery service."""

from __future__ import annotations

import asyncio
from contextlib import suppress

from kestreltrack.frontend.request_turns import BYTES_PER_COST, RequestTurns
from kestreltrack.frontend.resp import (
    InvalidCommandError,
    ProtocolError,
    encode_reply,
    parse_submission,
    read_command,
)
from kestreltrack.frontend.session import ClientSession
from kestreltrack.ports import Accepted, Clock, DeliveryService, InvalidMessage, Message, Rejected
from kestreltrack.telemetry import Telemetry

# The delay after a bad request grows by this for each consecutive one, up to the maximum.
BAD_REQUEST_BACKOFF_S = 0.02
MAX_BAD_REQUEST_BACKOFF_S = 0.5


class RequestHandler:
    """Reads requests, submits their messages and writes the replies.

    Attributes:
        evacuated: Whether clients are told to go elsewhere: PING is answered with an error.
        turns: Shares the time of the event loop between the connections.
        shutting_down: Set when the process is about to exit: new messages are rejected.
    """

    def __init__(
        self,
        delivery_service: DeliveryService,
        clock: Clock,
        ordered_classes: frozenset[str],
        telemetry: Telemetry,
    ) -> None:
        """Submit messages to `delivery_service`."""
        self.delivery_service = delivery_service
        self.clock = clock
        self.ordered_classes = ordered_classes
        self.telemetry = telemetry
        self.evacuated = False
        self.shutting_down = asyncio.Event()
        self.turns = RequestTurns()

    async def serve_request(self, session: ClientSession) -> bool:
        """Serve one request, and return whether the connection can serve another.

        Raises:
            EOFError: The client disconnected, or the connection is closing.
            OSError: The connection failed.
        """
        bad_requests_before = session.consecutive_bad_requests
        try:
            parts = await self._read_request(session)
            # Yield once to the event loop, for two reasons.  Pipelined commands of one client must not delay other
            # clients.  And after a stall of this process, the request of a client that has given up is still in
            # the socket, followed by EOF: the yield lets the loop read that EOF, so that the message is not
            # accepted here after its client has submitted it elsewhere.
            await asyncio.sleep(0)
            match parts[0].upper():
                case b"PING":
                    await session.send_reply(b"-ERR evacuated\r\n" if self.evacuated else b"+PONG\r\n")
                case b"SUBMIT":
                    await self._handle_submit(session, parts)
                case _:
                    await self._reply_error(session, "unknown command")
        except InvalidCommandError as error:
            await self._reply_error(session, str(error))
        except ProtocolError as error:
            await self._reply_error(session, str(error))
            session.close_lingering(discard=True)
            return False
        finally:
            session.become_idle()
        if session.overflowed:
            session.reject_unserved()
            return False
        if session.consecutive_bad_requests > bad_requests_before:
            await self._back_off(session)
        else:
            session.consecutive_bad_requests = 0
            session.has_served = True
        return True

    async def _read_request(self, session: ClientSession) -> list[bytes]:
        """Read the next request in its turn, and return its parts once it is its turn to be served."""
        await session.wait_for_request()
        await self.turns.take(session.share)
        if session.is_receiving_paused() and session.client_has_left():
            # Its requests would be refused one after the other.
            self.telemetry.record_fault("clients.disconnected", connection=session.id)
            raise EOFError
        parts = await read_command(session, session.begin_request)
        session.begin_processing()
        if session.held_bytes > BYTES_PER_COST:
            await self.turns.take(session.share, session.held_bytes)
        return parts

    async def _handle_submit(self, session: ClientSession, parts: list[bytes]) -> None:
        message = parse_submission(parts, self.clock(), self.ordered_classes)
        self.telemetry.count("clients.requests")
        if session.client_has_left():
            self._record_disconnected(session, message)
            raise EOFError
        if self.shutting_down.is_set():
            # The process exits before the message could be delivered.
            await session.send_reply(encode_reply(Rejected()))
            return
        result = await self.delivery_service.submit(message)
        if session.client_has_left():
            self._record_disconnected(session, message)
            # A duplicate belongs to an earlier request, whose client may already have been told that it is accepted.
            if isinstance(result, Accepted) and not result.duplicate:
                self.delivery_service.withdraw(message.id)
            raise EOFError
        if isinstance(result, InvalidMessage):
            await self._reply_error(session, result.reason)
        else:
            await session.send_reply(encode_reply(result))

    def _record_disconnected(self, session: ClientSession, message: Message) -> None:
        """Count and log a request that is not sent on, because its client has left without a reply."""
        self.telemetry.record_fault(
            "clients.disconnected", connection=session.id, id=message.id, held_bytes=session.held_bytes
        )

    async def _reply_error(self, session: ClientSession, reason: str) -> None:
        session.consecutive_bad_requests += 1
        self.telemetry.record_fault("clients.bad_request", reason=reason)
        await session.send_reply(encode_reply(InvalidMessage(reason)))

    async def _back_off(self, session: ClientSession) -> None:
        """Delay the next request of a client that sends bad ones; a shutdown ends the delay early."""
        backoff_s = min(MAX_BAD_REQUEST_BACKOFF_S, BAD_REQUEST_BACKOFF_S * session.consecutive_bad_requests)
        with suppress(TimeoutError):
            await asyncio.wait_for(self.shutting_down.wait(), backoff_s)
