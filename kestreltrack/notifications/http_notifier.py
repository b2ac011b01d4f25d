"""Requeue notices and notices of failure to the platform, retried until they are taken."""

from __future__ import annotations

import asyncio
from contextlib import suppress

import orjson

from kestreltrack.http1 import HttpClient
from kestreltrack.ports import StatusNotification
from kestreltrack.telemetry import Telemetry

REPORTS_TARGET = "/reports"


TIMEOUT_PER_BACKOFF, MAX_ATTEMPT_TIMEOUT_S = (
    5.0,
    0.5,
)  # for one try: the answer comes at once, and silence must not make it late


INITIAL_BACKOFF_S = 0.02  # first pause between tries; doubles


MAX_BACKOFF_S = 0.5


MAX_BATCH_SIZE = 200  # lines in one report: many messages may end together, and a body holds 64 KiB


class HttpNotifier:
    """Posts notices at the platform's address, all that wait in one report."""

    def __init__(self, address: str, telemetry: Telemetry) -> None:
        """Nothing is opened before the first notice."""
        self._client, self._telemetry = HttpClient(address), telemetry
        self._queue: list[tuple[bytes, asyncio.Future[None]]] = []
        self._rejected: list[tuple[bytes, asyncio.Future[None]]] = []  # answered 400 when alone in a report
        self._post_task: asyncio.Task[None] | None = None
        self._woken = asyncio.Event()

    def change_address(self, address: str) -> None:
        """Post at another address from now on, also what is on its way or waits to be tried again."""
        old, self._client = self._client, HttpClient(address)
        old.close()
        self._wake()

    def _wake(self) -> None:
        """Whatever the poster waits for, it goes on."""
        self._woken.set()
        self._woken = asyncio.Event()

    async def notify(self, notification: StatusNotification) -> None:
        """Return once the platform has answered 204."""
        row: dict[str, object] = {"message": notification.message_id, "outcome": "given_up"}
        if notification.requeue:
            row |= {"outcome": "handed_back", "retry_in_ms": round(notification.retry_after_ms)}
        taken: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        if not self._queue:  # else the poster's pause is for what waits
            self._wake()
        self._queue.append((orjson.dumps(row) + b"\n", taken))
        if self._post_task is None or self._post_task.done():
            self._post_task = asyncio.create_task(self._post_queue())
        await taken

    async def _post_queue(self) -> None:
        pause, most = INITIAL_BACKOFF_S, MAX_BATCH_SIZE
        while batch := self._queue[:most] or self._rejected[:1]:
            stirred, suspect = self._woken, not self._queue
            status = await self._post(
                b"".join(line for line, _ in batch), min(MAX_ATTEMPT_TIMEOUT_S, TIMEOUT_PER_BACKOFF * pause)
            )
            if status == 204:
                del (self._rejected if suspect else self._queue)[: len(batch)]
                for _, taken in batch:
                    if not taken.done():  # else who waited has been stopped
                        taken.set_result(None)
                pause, most = INITIAL_BACKOFF_S, min(MAX_BATCH_SIZE, 2 * most)
                continue
            if status == 400 and not suspect:  # one line that cannot be read must not hold up the others
                if len(batch) == 1:
                    self._rejected += batch
                    del self._queue[0]
                most = max(1, len(batch) // 2)
                continue
            if suspect:  # it is owed all the same: alone, in turn, and behind all that comes
                self._rejected.append(self._rejected.pop(0))
            with suppress(TimeoutError):
                await asyncio.wait_for(stirred.wait(), pause)
            pause = min(MAX_BACKOFF_S, 2.0 * pause)

    async def _post(self, body: bytes, timeout_s: float) -> int:
        """The status of the answer; 0 where there is none."""
        try:
            status, _ = await self._client.exchange("POST", REPORTS_TARGET, timeout_s, body)
        except Exception as bad:  # also a fault: without this task no notice goes any more
            self._telemetry.record_fault("notifications.no_response", error=str(bad) or repr(bad))
            return 0
        if status != 204:
            self._telemetry.record_fault("notifications.unexpected_status", status=status)
        return status
