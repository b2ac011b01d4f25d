"""HTTP/1.1 servers for the endpoints of emulated destinations.

Each pair of a sender and an endpoint has its own port, which identifies the caller.  The servers emit the same events
as the emulator's ports, as far as a destination can observe them: an attempt starts when its headers have been
received, and ends when its response has been written or its connection is closed.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any

from kestreltrack.invariants.events import AttemptAnswered, AttemptStarted, Event
from kestreltrack.testing.emulator.calls import Reply, Request
from kestreltrack.testing.emulator.destination import SimulatedEndpoint
from kestreltrack.testing.fakes.http import http_answer, read_http
from kestreltrack.testing.fakes.loopback_server import LoopbackServer

HTTP_STATUS = {"ok": "200", "error": "500", "full": "503"}
OUTCOME_NAMES = {"ok": "ok", "error": "error", "full": "refused"}
# Time for a sender to read a response; only attempts after it count as violations of a retry-after in that response.
READ_DELAY_S = 0.5


class CallTracker:
    """Counts the attempts of one sender over all its endpoint servers."""

    def __init__(
        self, sender: int, find_request: Callable[[str], Request | None], emit: Callable[[Event], None]
    ) -> None:
        """Create a tracker; `find_request` returns None for the id of a message that no client has submitted."""
        self.sender = sender
        self.find_request = find_request
        self.emit = emit
        self.in_flight: dict[int, int] = {}
        self.attempt_counts: dict[str, int] = {}


class EndpointServer(LoopbackServer):
    """Accepts the calls of one sender to one endpoint."""

    malformed_input_errors = (ValueError, KeyError)  # KeyError: a missing header

    def __init__(self, tracker: CallTracker, endpoint: SimulatedEndpoint) -> None:
        """Create a server, which accepts connections only after `listen`."""
        super().__init__()
        self.tracker = tracker
        self.endpoint = endpoint

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Handle the calls of one connection, or abort it if the endpoint refuses connections."""
        if not self.endpoint.connect():
            writer.transport.abort()
            return
        new_connection = True
        try:
            while True:
                _, headers, _ = await read_http(reader)
                await self._handle_call(headers["x-call-id"], new_connection, reader, writer)
                new_connection = False
        finally:
            self.endpoint.disconnect()
            writer.transport.abort()

    async def _handle_call(
        self, id_: str, new_connection: bool, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        tracker = self.tracker
        loop = asyncio.get_running_loop()
        dest = self.endpoint.destination.number
        request = tracker.find_request(id_)
        if request is None:
            raise ValueError(id_)
        started_at = loop.time()
        attempt = tracker.attempt_counts[id_] = tracker.attempt_counts.get(id_, -1) + 1
        tracker.in_flight[dest] = tracker.in_flight.get(dest, 0) + 1
        uid = self.endpoint.uid
        zone = self.endpoint.zone
        tracker.emit(
            AttemptStarted(id_, tracker.sender, dest, uid, attempt, tracker.in_flight[dest], False, zone)
        )
        response: asyncio.Future[Reply] = loop.create_future()
        abandon = self.endpoint.call(
            request, lambda reply: None if response.done() else response.set_result(reply)
        )
        # A connection has at most one call at a time, so the read completes only when the sender abandons the call.
        disconnected = asyncio.ensure_future(reader.read(1))
        reply: Reply | None = None
        try:
            awaited: set[asyncio.Future[Any]] = {response, disconnected}
            await asyncio.wait(awaited, return_when=asyncio.FIRST_COMPLETED)
            if response.done() and not disconnected.done() and response.result().status != "reset":
                reply = response.result()
                writer.write(encode_reply(reply))
                await writer.drain()
        finally:
            if reply is None:
                abandon()
            disconnected.cancel()
            await asyncio.gather(disconnected, return_exceptions=True)
            tracker.in_flight[dest] -= 1
            outcome = OUTCOME_NAMES[reply.status] if reply else "broken"
            took_ms = (loop.time() - started_at) * 1000.0
            tracker.emit(
                AttemptAnswered(
                    id_, tracker.sender, dest, self.endpoint.uid, outcome, 0.0, new_connection, took_ms
                )
            )
        if reply is None:
            raise ConnectionResetError
        if reply.retry_after_ms > READ_DELAY_S * 1000.0:
            remaining_ms = reply.retry_after_ms - READ_DELAY_S * 1000.0
            answered = AttemptAnswered(
                "", tracker.sender, dest, self.endpoint.uid, outcome, remaining_ms, False, took_ms
            )
            loop.call_later(READ_DELAY_S, tracker.emit, answered)


def encode_reply(reply: Reply) -> bytes:
    """Encode a reply as an HTTP response, with the remaining quota and the rate limit in a load report."""
    headers = [f"Retry-After: {reply.retry_after_ms / 1000.0:.3f}"] if reply.retry_after_ms > 0 else []
    if reply.quota_left is not None and reply.rate_limit is not None:
        headers.append(f"X-Load-Report: x0={reply.quota_left:.4f},x1={reply.rate_limit:.4f}")
    return http_answer("429" if reply.retry_after_ms > 0 else HTTP_STATUS[reply.status], *headers)
