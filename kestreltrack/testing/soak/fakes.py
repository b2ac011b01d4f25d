"""Fake endpoints and platforms that record what crosses their sockets."""

from __future__ import annotations

import asyncio
import random
import time
from collections.abc import Callable
from typing import Any

import orjson

from kestreltrack.testing.fakes.destinations import (
    BatchItem,
    FakeDestination,
    FakeEndpoint,
    is_batch_call,
    read_items,
)
from kestreltrack.testing.fakes.http import HttpRequest, http_answer, read_http
from kestreltrack.testing.fakes.platform import FakePlatform
from kestreltrack.testing.fakes.repeating_server import ResponseRepeater
from kestreltrack.testing.soak.observations import NEVER, Call, Notification

RETRY_AFTER_HEADER = b"Retry-After: "


class ObservedEndpoint(FakeEndpoint):
    """A fake endpoint that records each call, its response and whether its caller was still connected."""

    def __init__(
        self, uid: str, destination: FakeDestination, rng: random.Random, record: Callable[[Call], None]
    ) -> None:
        """Pass each message of each call to `record` on arrival; the end of the call is filled in later."""
        super().__init__(uid, destination, rng)
        self.repeaters = list[ResponseRepeater]()
        self._record = record

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve the calls of one connection in sequence."""
        while True:
            request = await read_http(reader)
            items = read_items(request)
            calls = [self._observe(item) for item in items]
            if not await self._serve_call(request, items, calls, reader, writer):
                return

    def _observe(self, item: BatchItem) -> Call:
        call = Call(item.message_id, self.destination.dest, self.uid, time.monotonic())
        self._record(call)
        return call

    async def _serve_call(
        self,
        request: HttpRequest,
        items: list[BatchItem],
        calls: list[Call],
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        """Answer a call and return whether to continue; the call executes even if its caller disconnects."""
        is_batch = is_batch_call(request)
        # During a call the sender sends nothing, so a completed read means that it disconnected.
        disconnect = asyncio.create_task(reader.read(1))
        response_task = asyncio.create_task(self._respond(items, is_batch))
        try:
            await asyncio.wait({disconnect, response_task}, return_when=asyncio.FIRST_COMPLETED)
            if disconnect.done():
                self._record_end(calls, b"")
                await response_task
                return False
            await _cancel_and_wait(disconnect)
            return await self._answer(await response_task, is_batch, calls, reader, writer)
        except OSError:
            self._record_end(calls, b"")
            return False
        finally:
            await _cancel_and_wait(disconnect)

    async def _answer(
        self,
        response: bytes,
        is_batch: bool,
        calls: list[Call],
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        written = self._written_part(response)
        # Protocol page: a message is delivered once a status line with 200 is written, a batch once all of it is.
        delivered = written == response if is_batch else b"\r\n" in written
        if written and delivered and not (writer.is_closing() or reader.at_eof()):
            self._record_end(calls, written)
        try:
            return await self._write_response(response, reader, writer)
        finally:
            self._record_end(calls, b"")

    async def _write_response(
        self, response: bytes, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        stays_open = await super()._write_response(response, reader, writer)
        if stays_open:
            for repeater in self.repeaters:
                repeater.schedule(response, writer, self.random)
        return stays_open

    def _written_part(self, response: bytes) -> bytes:
        """Return the part of a response that the current fault lets through."""
        fault = self.destination.fault
        if fault.stall:
            return response[:-1]
        return fault.corrupt(response) if response and fault.corrupt else response

    def _record_end(self, calls: list[Call], response: bytes) -> None:
        """Record the end of calls that have not ended yet."""
        status = response[9:12].decode()
        wait = response.partition(RETRY_AFTER_HEADER)[2].partition(b"\r\n")[0]
        for call in calls:
            if call.ended_at == NEVER:
                call.ended_at = time.monotonic()
                call.status = status
                call.retry_after_s = float(wait or 0.0)

    def reset_connections(self) -> None:
        """Abort all connections, including those with a call in progress."""
        for writer in list(self._open):
            writer.transport.abort()


async def _cancel_and_wait(task: asyncio.Task[bytes]) -> None:
    """Cancel a task and wait for its end, since a stream allows only one read at a time."""
    task.cancel()
    await asyncio.wait({task})
    if not task.cancelled():
        task.exception()  # marks the exception of a connection reset as retrieved


class ObservedPlatform(FakePlatform):
    """The platform of one sender; its discovery can be made unavailable, its notifications are always answered."""

    def __init__(self, record: Callable[[Notification], None], indented: bool, pushed: bool) -> None:
        """Pass each notification to `record`."""
        super().__init__()
        self.available = asyncio.Event()
        self.available.set()
        self.repeaters = list[ResponseRepeater]()
        self.list_delay_s = 0.0
        self._random = random.Random(f"platform {indented} {pushed}")
        self._record = record
        self._indented = indented
        self._pushed = pushed
        self.on_notification = self._observe

    def _observe(self, row: dict[str, Any]) -> None:
        self._record(Notification(row["message"], row["outcome"], time.monotonic()))

    async def _respond(self, request_line: str, body: bytes) -> bytes:
        if request_line.startswith("POST"):
            return await super()._respond(request_line, body)
        if not self._pushed:
            await asyncio.sleep(self.list_delay_s)
        if self.available.is_set():
            return await super()._respond(request_line, body)
        if not self._pushed:
            return http_answer("503")
        await self.available.wait()  # a discovery agent does not answer while discovery is down
        return await super()._respond(request_line, body)

    def _on_response_written(self, response: bytes, writer: asyncio.StreamWriter) -> None:
        for repeater in self.repeaters:
            repeater.schedule(response, writer, self._random)

    def _list_response(self, complete: bool, rows: list[dict[str, Any]]) -> bytes:
        if not self._indented:
            return super()._list_response(complete, rows)
        self._rows_being_sent = rows
        document = {"rev": self.revision, "all": complete, "targets": rows}
        return http_answer("200", body=orjson.dumps(document, option=orjson.OPT_INDENT_2))
