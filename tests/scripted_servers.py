"""HTTP servers for tests: endpoints and platforms whose responses a test scripts."""

from __future__ import annotations

import asyncio
import json
from typing import Any

from kestreltrack.testing.fakes.http import http_answer, read_http

Streams = tuple[asyncio.StreamReader, asyncio.StreamWriter]


class ScriptedServer:
    """An HTTP server on a port of its own that queues its requests; the test writes the responses."""

    def __init__(self) -> None:
        self.requests: asyncio.Queue[tuple[str, dict[str, str], bytes, Streams]] = asyncio.Queue()
        self.address = ""
        self.open_connections = list[Streams]()
        # Requests that arrive before this time of the loop are recorded as early.  No step sets it.
        self.retry_after_until = 0.0
        self.early_requests = list[str]()

    async def listen(self) -> None:
        """Listen on a free port, or again on the earlier one."""
        port = int(self.address.rpartition(":")[2] or 0)
        self.server = await asyncio.start_server(self.on_connection, "127.0.0.1", port)
        self.address = f"127.0.0.1:{self.server.sockets[0].getsockname()[1]}"

    async def on_connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.open_connections.append((reader, writer))
        await self.serve(reader, writer)

    def close(self) -> None:
        self.server.close()
        for _, writer in self.open_connections:
            writer.transport.abort()
        self.open_connections.clear()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                request = await read_http(reader)
                if asyncio.get_running_loop().time() < self.retry_after_until:
                    self.early_requests.append(request[0])
                await self.requests.put((*request, (reader, writer)))
                await self.wait_for_response(writer)
        except (asyncio.IncompleteReadError, OSError):
            pass

    async def wait_for_response(self, writer: asyncio.StreamWriter) -> None:
        """Wait until the test has responded: reading on earlier would hide the end of the connection from it."""
        while not getattr(writer, "has_responded", False):
            await asyncio.sleep(0.005)
            if writer.is_closing():
                raise ConnectionError
        writer.has_responded = False  # type: ignore[attr-defined]

    def respond(self, streams: Streams, data: bytes) -> None:
        streams[1].write(data)
        streams[1].has_responded = True  # type: ignore[attr-defined]


class ScriptedPlatform(ScriptedServer):
    """Serves the endpoint list and accepts status notifications, except where a step scripts the response."""

    def __init__(self) -> None:
        super().__init__()
        self.revision = 1
        self.entries = dict[str, dict[str, Any]]()
        self.notification_statuses = list[str]()
        self.next_change: asyncio.Future[bytes] = asyncio.get_running_loop().create_future()
        self.list_delay_s = 0.0
        self.accepted_notifications = set[bytes]()
        self.repeated_notifications = 0
        # The change that the open watch waits for.
        self.awaited_change: asyncio.Future[bytes] | None = None

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                request_line, headers, body = await read_http(reader)
                if request_line.startswith("POST /reports"):
                    status = self.notification_statuses.pop(0) if self.notification_statuses else "204"
                    for row in body.splitlines() if status == "204" else ():
                        self.repeated_notifications += row in self.accepted_notifications
                        if row not in self.accepted_notifications:
                            await self.requests.put((request_line, headers, row, (reader, writer)))
                        self.accepted_notifications.add(row)
                    writer.write(http_answer(status))
                elif (
                    "from=" in request_line
                    and int(request_line.partition("from=")[2].partition("&")[0]) >= self.revision
                ):
                    self.awaited_change = change = self.next_change
                    hold_ms = int(request_line.partition("hold_ms=")[2].partition(" ")[0])
                    await asyncio.wait({change}, timeout=hold_ms / 1000.0)
                    if change is not self.next_change:
                        # The scenario has silenced this watch: the change never comes.
                        await change
                    has_changed = change.done()
                    self.next_change = asyncio.get_running_loop().create_future() if has_changed else change
                    self.awaited_change = None
                    writer.write(
                        http_answer(
                            "200", body=change.result() if has_changed else self.encode_list(False, [])
                        )
                    )
                else:
                    await asyncio.sleep(self.list_delay_s)
                    writer.write(http_answer("200", body=self.encode_list(True, list(self.entries.values()))))
        except (asyncio.IncompleteReadError, OSError, asyncio.CancelledError):
            pass

    def encode_list(self, complete: bool, entries: list[dict[str, Any]]) -> bytes:
        return json.dumps({"rev": self.revision, "all": complete, "targets": entries}).encode()

    def publish(self, state: str, uid: str) -> None:
        self.revision += 1
        self.entries[uid] = self.entries[uid] | {"state": state}
        self.next_change.set_result(self.encode_list(False, [self.entries[uid]]))
        if state == "removed":
            del self.entries[uid]
