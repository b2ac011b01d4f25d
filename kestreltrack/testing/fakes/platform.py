"""A stand-in for the platform: the machine list over HTTP, and the notices that senders post."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from typing import Any

import orjson

from kestreltrack.testing.fakes.http import http_answer, read_http
from kestreltrack.testing.fakes.loopback_server import LoopbackServer


class FakePlatform(LoopbackServer):
    """Answers lists, watches and reports; `ends` holds each notice by message, in order."""

    def __init__(self) -> None:
        """Nothing listens before `listen`."""
        super().__init__()
        self.revision = 1
        self.entries = dict[str, dict[str, Any]]()
        self.notifications: dict[str, list[str]] = {}
        self.first_notified_at: dict[str, float] = {}
        self.on_list_sent: Callable[[list[dict[str, Any]]], None] = lambda rows: (
            None
        )  # entries, once they are written
        self._rows_being_sent: list[dict[str, Any]] = []
        self.on_notification: Callable[[dict[str, Any]], None] = lambda row: None
        self._changes = list[tuple[int, dict[str, Any]]]()
        self._changed = asyncio.Event()

    def publish(self, row: dict[str, Any]) -> None:
        """Add, change or (by its state) remove one entry."""
        self.revision += 1
        self._changes.append((self.revision, row))
        if row["state"] == "removed":
            self.entries.pop(row["uid"], None)
        else:
            self.entries[row["uid"]] = row
        self._changed.set()
        self._changed = asyncio.Event()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Requests of one connection, one after the other."""
        while True:
            first, _, body = await read_http(reader)
            writer.write(await self._answer(first, body))
            await writer.drain()
            told = self._rows_being_sent
            self._rows_being_sent = []
            self.on_list_sent(told)

    async def _answer(self, first: str, body: bytes) -> bytes:
        if first.startswith("POST /reports"):
            for line in body.splitlines():
                row = orjson.loads(line)
                self.notifications.setdefault(row["message"], []).append(row["outcome"])
                self.first_notified_at.setdefault(row["message"], time.monotonic())
                self.on_notification(row)
            return http_answer("204")
        if "from=" not in first:
            return self._list_response(True, list(self.entries.values()))
        query = dict(pair.split("=", 1) for pair in first.split(" ")[1].partition("?")[2].split("&"))
        since = int(query["from"])
        hold_s = min(60.0, int(query["hold_ms"]) / 1000.0)
        try:
            async with asyncio.timeout(hold_s):
                while self.revision <= since:
                    await self._changed.wait()
        except TimeoutError:
            pass
        return self._list_response(False, [row for rev, row in self._changes if rev > since])

    def _list_response(self, complete: bool, rows: list[dict[str, Any]]) -> bytes:
        self._rows_being_sent = rows
        return http_answer("200", body=orjson.dumps({"rev": self.revision, "all": complete, "targets": rows}))
