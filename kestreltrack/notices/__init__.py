"""Requeue notices and notices of failure to the platform, retried until they are taken."""

from __future__ import annotations

import asyncio
from contextlib import suppress

import orjson

from kestreltrack.http1 import Broken, Client
from kestreltrack.ports import Notice
from kestreltrack.telemetry import Telemetry

TARGET = "/reports"
TRY_PAUSES, TRY_MOST_S = 5.0, 0.5  # for one try: the answer comes at once, and silence must not make it late
AGAIN_S = 0.02  # first pause between tries; doubles
AGAIN_MOST_S = 0.5
AT_ONCE = 200  # lines in one report: many messages may end together, and a body holds 64 KiB


class HttpNotices:
    """Posts notices at the platform's address, all that wait in one report."""

    def __init__(self, address: str, telemetry: Telemetry) -> None:
        """Nothing is opened before the first notice."""
        self._client, self._telemetry = Client(address), telemetry
        self._waiting: list[tuple[bytes, asyncio.Future[None]]] = []
        self._poster: asyncio.Task[None] | None = None
        self._moved = asyncio.Event()

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
        taken: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._waiting.append((orjson.dumps(row) + b"\n", taken))
        if self._poster is None or self._poster.done():
            self._poster = asyncio.create_task(self._post_all())
        await taken

    async def _post_all(self) -> None:
        pause = AGAIN_S
        while batch := self._waiting[:AT_ONCE]:
            if await self._post(b"".join(line for line, _ in batch), min(TRY_MOST_S, TRY_PAUSES * pause)):
                del self._waiting[: len(batch)]
                for _, taken in batch:
                    if not taken.done():  # else who waited has been stopped
                        taken.set_result(None)
                pause = AGAIN_S
            else:
                with suppress(TimeoutError):
                    await asyncio.wait_for(self._moved.wait(), pause)
                pause = min(AGAIN_MOST_S, 2.0 * pause)

    async def _post(self, body: bytes, timeout_s: float) -> bool:
        try:
            status, _ = await self._client.exchange("POST", TARGET, timeout_s, body)
        except (OSError, Broken) as bad:
            self._telemetry.trouble("notices.no_answer", error=str(bad))
            return False
        if status != 204:
            self._telemetry.trouble("notices.odd_status", status=status)
        return status == 204
