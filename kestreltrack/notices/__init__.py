"""Requeue notices and notices of failure to the platform, retried until they are taken."""

from __future__ import annotations

import asyncio
from contextlib import suppress

import orjson

from kestreltrack.http1 import Client
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
        self._unread: list[tuple[bytes, asyncio.Future[None]]] = []  # answered 400 when alone in a report
        self._poster: asyncio.Task[None] | None = None
        self._stirred = asyncio.Event()

    def move(self, address: str) -> None:
        """Post at another address from now on, also what is on its way or waits to be tried again."""
        old, self._client = self._client, Client(address)
        old.close()
        self._stir()

    def _stir(self) -> None:
        """Whatever the poster waits for, it goes on."""
        self._stirred.set()
        self._stirred = asyncio.Event()

    async def tell(self, notice: Notice) -> None:
        """Return once the platform has answered 204."""
        row: dict[str, object] = {"message": notice.message_id, "outcome": "given_up"}
        if notice.requeue:
            row |= {"outcome": "handed_back", "retry_in_ms": round(notice.wait_ms)}
        taken: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        if not self._waiting:  # else the poster's pause is for what waits
            self._stir()
        self._waiting.append((orjson.dumps(row) + b"\n", taken))
        if self._poster is None or self._poster.done():
            self._poster = asyncio.create_task(self._post_all())
        await taken

    async def _post_all(self) -> None:
        pause, most = AGAIN_S, AT_ONCE
        while batch := self._waiting[:most] or self._unread[:1]:
            stirred, suspect = self._stirred, not self._waiting
            status = await self._post(
                b"".join(line for line, _ in batch), min(TRY_MOST_S, TRY_PAUSES * pause)
            )
            if status == 204:
                del (self._unread if suspect else self._waiting)[: len(batch)]
                for _, taken in batch:
                    if not taken.done():  # else who waited has been stopped
                        taken.set_result(None)
                pause, most = AGAIN_S, min(AT_ONCE, 2 * most)
                continue
            if status == 400 and not suspect:  # one line that cannot be read must not hold up the others
                if len(batch) == 1:
                    self._unread += batch
                    del self._waiting[0]
                most = max(1, len(batch) // 2)
                continue
            if suspect:  # it is owed all the same: alone, in turn, and behind all that comes
                self._unread.append(self._unread.pop(0))
            with suppress(TimeoutError):
                await asyncio.wait_for(stirred.wait(), pause)
            pause = min(AGAIN_MOST_S, 2.0 * pause)

    async def _post(self, body: bytes, timeout_s: float) -> int:
        """The status of the answer; 0 where there is none."""
        try:
            status, _ = await self._client.exchange("POST", TARGET, timeout_s, body)
        except Exception as bad:  # also a fault: without this task no notice goes any more
            self._telemetry.trouble("notices.no_answer", error=str(bad) or repr(bad))
            return 0
        if status != 204:
            self._telemetry.trouble("notices.odd_status", status=status)
        return status
