"""Fake platform: serves the endpoint list over HTTP and accepts the status notifications of senders."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from contextlib import suppress
from typing import Any

import orjson

from kestreltrack.testing.fakes.http import http_answer, read_http
from kestreltrack.testing.fakes.loopback_server import LoopbackServer

# The maximum time that a long poll is held, regardless of its `hold_ms`.
MAX_POLL_HOLD_S = 60.0


class FakePlatform(LoopbackServer):
    """Answers polls of the endpoint list and accepts status notifications.

    Attributes:
        revision: The revision of the endpoint list.
        entries: The entries of the endpoint list, by uid.
        notifications: The outcomes in the notifications of each message, in order of arrival.
        first_notified_at: The time of the first notification of each message, in seconds of `time.monotonic`.
        unanswered: The messages of notifications whose sender disconnected before the response was written.
        on_list_sent: Called after each response that was written to a sender which had not disconnected, with its
            entries; without any if it has no endpoint list.
        on_notification: Called with each notification on arrival.
    """

    def __init__(self) -> None:
        """Create a platform that starts listening in `listen`."""
        super().__init__()
        self.revision = 1
        self.entries = dict[str, dict[str, Any]]()
        self.notifications: dict[str, list[str]] = {}
        self.first_notified_at: dict[str, float] = {}
        self.unanswered = set[str]()
        self.on_list_sent: Callable[[list[dict[str, Any]]], None] = lambda rows: None
        self.on_notification: Callable[[dict[str, Any]], None] = lambda row: None
        self._rows_being_sent: list[dict[str, Any]] = []
        self._changes = list[tuple[int, dict[str, Any]]]()
        self._changed = asyncio.Event()

    def publish(self, *rows: dict[str, Any]) -> None:
        """Add or change entries as one revision; an entry in the state `removed` is deleted."""
        self.revision += 1
        for row in rows:
            self._changes.append((self.revision, row))
            if row["state"] == "removed":
                self.entries.pop(row["uid"], None)
            else:
                self.entries[row["uid"]] = row
        self._changed.set()
        self._changed = asyncio.Event()

    def complete_list(self) -> dict[str, Any]:
        """Return the complete list in the platform's form."""
        return {"rev": self.revision, "all": True, "targets": list(self.entries.values())}

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve the requests of one connection sequentially."""
        while True:
            request = await read_http(reader)
            response = await self._respond(request.request_line, request.body)
            has_left = writer.is_closing() or reader.at_eof()
            if request.request_line.startswith("POST /reports") and has_left:
                self.unanswered.update(orjson.loads(line)["message"] for line in request.body.splitlines())
            await self._write(response, writer)
            self._on_response_written(response, writer)
            sent_rows = self._rows_being_sent
            self._rows_being_sent = []
            if not has_left:
                self.on_list_sent(sent_rows)

    async def _write(self, response: bytes, writer: asyncio.StreamWriter) -> None:
        """Write a response; a subclass may do so slowly."""
        writer.write(response)
        await writer.drain()

    def _on_response_written(self, response: bytes, writer: asyncio.StreamWriter) -> None:
        """Do nothing; a subclass may write further bytes."""

    async def _respond(self, request_line: str, body: bytes) -> bytes:
        if request_line.startswith("POST /reports"):
            self._accept_notifications(body)
            return http_answer("204")
        if "from=" not in request_line:
            return self._list_response(True, list(self.entries.values()))
        return await self._respond_to_poll(request_line)

    def _accept_notifications(self, body: bytes) -> None:
        for line in body.splitlines():
            row = orjson.loads(line)
            self.notifications.setdefault(row["message"], []).append(row["outcome"])
            self.first_notified_at.setdefault(row["message"], time.monotonic())
            self.on_notification(row)

    async def _respond_to_poll(self, request_line: str) -> bytes:
        """Answer a long poll with the changes since a revision, when there is one or the hold time has passed."""
        query_text = request_line.split(" ")[1].partition("?")[2]
        query = dict(pair.split("=", 1) for pair in query_text.split("&"))
        since_revision = int(query["from"])
        hold_s = min(MAX_POLL_HOLD_S, int(query["hold_ms"]) / 1000.0)
        with suppress(TimeoutError):
            async with asyncio.timeout(hold_s):
                while self.revision <= since_revision:
                    await self._changed.wait()
        return self._list_response(
            False, [row for revision, row in self._changes if revision > since_revision]
        )

    def _list_response(self, complete: bool, rows: list[dict[str, Any]]) -> bytes:
        self._rows_being_sent = rows
        return http_answer("200", body=orjson.dumps({"rev": self.revision, "all": complete, "targets": rows}))
