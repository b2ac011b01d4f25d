"""Where one sender reaches one endpoint of an emulated partner: HTTP/1.1 on a port of its own, so callers differ.

What comes is told to the listeners as the emulator's ports tell it, as far as a partner can see it: an attempt begins
when its head has come, and is over when its answer is written or its connection ends.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any

from kestreltrack.lab.emulator.partner import Endpoint, Reply, Request
from kestreltrack.lab.standins.http import http_answer, read_http
from kestreltrack.lab.standins.listening import Listening
from kestreltrack.rules.happened import Answered, Attempt, Event

STATUS = {"ok": "200", "error": "500", "full": "503"}
WORDS = {"ok": "ok", "error": "error", "full": "refused"}
SEEN_S = (
    0.5  # until a sender has surely read an answer: what it sends later is held against a wait told by it
)


class Calls:
    """What of one sender is out, over all its doors."""

    def __init__(
        self, sender: int, request: Callable[[str], Request | None], tell: Callable[[Event], None]
    ) -> None:
        """`request` is what a message is to a partner, none for an id that nobody handed in."""
        self.sender, self.request, self.tell = sender, request, tell
        self.out: dict[int, int] = {}
        self.tries: dict[str, int] = {}


class Door(Listening):
    """One sender's way into one endpoint."""

    nonsense = (ValueError, KeyError)  # a header that is not there

    def __init__(self, calls: Calls, endpoint: Endpoint) -> None:
        """Nothing listens before `listen`."""
        super().__init__()
        self.calls, self.endpoint = calls, endpoint

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
        calls, loop, dest = self.calls, asyncio.get_running_loop(), self.endpoint.partner.number
        request = calls.request(id_)
        if request is None:
            raise ValueError(id_)
        began = loop.time()
        number = calls.tries[id_] = calls.tries.get(id_, -1) + 1
        calls.out[dest] = calls.out.get(dest, 0) + 1
        uid, zone = self.endpoint.uid, self.endpoint.zone
        calls.tell(Attempt(id_, calls.sender, dest, uid, number, calls.out[dest], False, zone))
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
                writer.write(written(reply))
                await writer.drain()
        finally:
            if reply is None:
                give_up()
            left.cancel()
            await asyncio.gather(left, return_exceptions=True)
            calls.out[dest] -= 1
            word = WORDS[reply.status] if reply else "broken"
            took = (loop.time() - began) * 1000.0
            calls.tell(Answered(id_, calls.sender, dest, self.endpoint.uid, word, 0.0, new, took))
        if reply is None:
            raise ConnectionResetError
        if reply.wait_ms > SEEN_S * 1000.0:
            left_ms = reply.wait_ms - SEEN_S * 1000.0
            told = Answered("", calls.sender, dest, self.endpoint.uid, word, left_ms, False, took)
            loop.call_later(SEEN_S, calls.tell, told)


def written(reply: Reply) -> bytes:
    """An answer as bytes, with what is left of the limit."""
    headers = [f"Retry-After: {reply.wait_ms / 1000.0:.3f}"] if reply.wait_ms > 0 else []
    if reply.left is not None and reply.limit is not None:
        headers.append(f"X-Load-Report: x0={reply.left:.4f},x1={reply.limit:.4f}")
    return http_answer("429" if reply.wait_ms > 0 else STATUS[reply.status], *headers)
