"""A stand-in for the platform: the machine list over HTTP, and the notices that senders post."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from typing import Any

import orjson

from kestreltrack.lab.standins.http import http_answer, read_http
from kestreltrack.lab.standins.listening import Listening


class Platform(Listening):
    """Answers lists, watches and reports; `ends` holds each notice by message, in order."""

    def __init__(self) -> None:
        """Nothing listens before `listen`."""
        super().__init__()
        self.rev, self.targets = 1, dict[str, dict[str, Any]]()
        self.ends: dict[str, list[str]] = {}
        self.ended_at: dict[str, float] = {}
        self.on_told: Callable[[list[dict[str, Any]]], None] = lambda rows: (
            None
        )  # entries, once they are written
        self._telling: list[dict[str, Any]] = []
        self.on_end: Callable[[dict[str, Any]], None] = lambda row: None
        self._changes = list[tuple[int, dict[str, Any]]]()
        self._changed = asyncio.Event()

    def change(self, row: dict[str, Any]) -> None:
        """Add, change or (by its state) remove one entry."""
        self.rev += 1
        self._changes.append((self.rev, row))
        if row["state"] == "removed":
            self.targets.pop(row["uid"], None)
        else:
            self.targets[row["uid"]] = row
        self._changed.set()
        self._changed = asyncio.Event()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Requests of one connection, one after the other."""
        while True:
            first, _, body = await read_http(reader)
            writer.write(await self._answer(first, body))
            await writer.drain()
            told, self._telling = self._telling, []
            self.on_told(told)

    async def _answer(self, first: str, body: bytes) -> bytes:
        if first.startswith("POST /reports"):
            for line in body.splitlines():
                row = orjson.loads(line)
                self.ends.setdefault(row["message"], []).append(row["outcome"])
                self.ended_at.setdefault(row["message"], time.monotonic())
                self.on_end(row)
            return http_answer("204")
        if "from=" not in first:
            return self._form(True, list(self.targets.values()))
        query = dict(pair.split("=", 1) for pair in first.split(" ")[1].partition("?")[2].split("&"))
        since, hold_s = int(query["from"]), min(60.0, int(query["hold_ms"]) / 1000.0)
        try:
            async with asyncio.timeout(hold_s):
                while self.rev <= since:
                    await self._changed.wait()
        except TimeoutError:
            pass
        return self._form(False, [row for rev, row in self._changes if rev > since])

    def _form(self, whole: bool, rows: list[dict[str, Any]]) -> bytes:
        self._telling = rows
        return http_answer("200", body=orjson.dumps({"rev": self.rev, "all": whole, "targets": rows}))
