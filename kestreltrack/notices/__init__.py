"""Requeue notices and notices of failure to the platform, each retried until it is taken."""

from __future__ import annotations

import asyncio
from contextlib import suppress

import orjson

from kestreltrack.http1 import Broken, Client
from kestreltrack.ports import Notice
from kestreltrack.telemetry import Telemetry

TARGET = "/reports"
TRY_S = 0.5  # for one try: the answer comes at once
AGAIN_S = 0.05  # first pause between tries; doubles
AGAIN_MOST_S = 1.0
AT_ONCE = 8  # notices on their way at the same time


class HttpNotices:
    """Posts notices at the platform's address."""

    def __init__(self, address: str, telemetry: Telemetry) -> None:
        """Nothing is opened before the first notice."""
        self._client, self._telemetry = Client(address), telemetry
        self._room, self._moved = asyncio.Semaphore(AT_ONCE), asyncio.Event()

    def move(self, address: str) -> None:
        """Post at another address from now on, also what is on its way or waits to be tried again."""
        old, self._client = self._client, Client(address)
        old.close()
        self._moved.set()
        self._moved = asyncio.Event()

    async def tell(self, notice: Notice) -> None:
        """Return once the platform has answered 204."""
        row: dict[str, object] = {"message": notice.message_id, "outcome": "given_up"}
        if notice.requeue:
            row |= {"outcome": "handed_back", "retry_in_ms": round(notice.wait_ms)}
        pause = AGAIN_S
        while not await self._post(orjson.dumps(row) + b"\n"):
            with suppress(TimeoutError):
                await asyncio.wait_for(self._moved.wait(), pause)
            pause = min(AGAIN_MOST_S, 2.0 * pause)

    async def _post(self, body: bytes) -> bool:
        async with self._room:
            try:
                status, _ = await self._client.exchange("POST", TARGET, TRY_S, body)
            except (OSError, Broken) as bad:
                self._telemetry.trouble("notices.no_answer", error=str(bad))
                return False
        if status != 204:
            self._telemetry.trouble("notices.odd_status", status=status)
        return status == 204
