"""Where one sender reaches one endpoint of an emulated partner: HTTP/1.1 on a port of its own, so callers differ.

What comes is told to the listeners as the emulator's ports tell it, as far as a partner can see it: an attempt begins
when its head has come, and is over when its answer is written or its connection ends.
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
READ_DELAY_S = (
    0.5  # until a sender has surely read an answer: what it sends later is held against a wait told by it
)


class CallTracker:
    """What of one sender is out, over all its doors."""

    def __init__(
        self, sender: int, find_request: Callable[[str], Request | None], emit: Callable[[Event], None]
    ) -> None:
        """`request` is what a message is to a partner, none for an id that nobody handed in."""
        self.sender = sender
        self.find_request = find_request
        self.emit = emit
        self.in_flight: dict[int, int] = {}
        self.attempt_counts: dict[str, int] = {}


class EndpointServer(LoopbackServer):
    """One sender's way into one endpoint."""

    malformed_input_errors = (ValueError, KeyError)  # a header that is not there

    def __init__(self, tracker: CallTracker, endpoint: SimulatedEndpoint) -> None:
        """Nothing listens before `listen`."""
        super().__init__()
        self.tracker = tracker
        self.endpoint = endpoint

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Calls of one connection, where the endpoint takes it."""
        if not self.endpoint.connect():
            writer.transport.abort()
            return
        new = True
        try:
            while True:
                _, headers, _ = await read_http(reader)
                await self._call(headers["x-call-id"], new, reader, writer)
                new = False
        finally:
            self.endpoint.disconnect()
            writer.transport.abort()

    async def _call(
        self, id_: str, new: bool, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        calls = self.tracker
        loop = asyncio.get_running_loop()
        dest = self.endpoint.destination.number
        request = calls.find_request(id_)
        if request is None:
            raise ValueError(id_)
        began = loop.time()
        number = calls.attempt_counts[id_] = calls.attempt_counts.get(id_, -1) + 1
        calls.in_flight[dest] = calls.in_flight.get(dest, 0) + 1
        uid = self.endpoint.uid
        zone = self.endpoint.zone
        calls.emit(AttemptStarted(id_, calls.sender, dest, uid, number, calls.in_flight[dest], False, zone))
        answer: asyncio.Future[Reply] = loop.create_future()
        give_up = self.endpoint.call(
            request, lambda reply: None if answer.done() else answer.set_result(reply)
        )
        left = asyncio.ensure_future(
            reader.read(1)
        )  # the sender has one call on a connection: a byte is its end
        reply: Reply | None = None
        try:
            both: set[asyncio.Future[Any]] = {answer, left}
            await asyncio.wait(both, return_when=asyncio.FIRST_COMPLETED)
            if answer.done() and not left.done() and answer.result().status != "reset":
                reply = answer.result()
                writer.write(encode_reply(reply))
                await writer.drain()
        finally:
            if reply is None:
                give_up()
            left.cancel()
            await asyncio.gather(left, return_exceptions=True)
            calls.in_flight[dest] -= 1
            word = OUTCOME_NAMES[reply.status] if reply else "broken"
            took = (loop.time() - began) * 1000.0
            calls.emit(AttemptAnswered(id_, calls.sender, dest, self.endpoint.uid, word, 0.0, new, took))
        if reply is None:
            raise ConnectionResetError
        if reply.retry_after_ms > READ_DELAY_S * 1000.0:
            left_ms = reply.retry_after_ms - READ_DELAY_S * 1000.0
            told = AttemptAnswered("", calls.sender, dest, self.endpoint.uid, word, left_ms, False, took)
            loop.call_later(READ_DELAY_S, calls.emit, told)


def encode_reply(reply: Reply) -> bytes:
    """An answer as bytes, with what is left of the limit."""
    headers = [f"Retry-After: {reply.retry_after_ms / 1000.0:.3f}"] if reply.retry_after_ms > 0 else []
    if reply.quota_left is not None and reply.rate_limit is not None:
        headers.append(f"X-Load-Report: x0={reply.quota_left:.4f},x1={reply.rate_limit:.4f}")
    return http_answer("429" if reply.retry_after_ms > 0 else HTTP_STATUS[reply.status], *headers)
