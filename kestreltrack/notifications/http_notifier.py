"""Sends status notifications to the platform over HTTP and retries them until they are accepted."""

from __future__ import annotations

import asyncio
from contextlib import suppress
from dataclasses import dataclass
from functools import partial

import orjson

from kestreltrack.http1 import HttpClient, UnansweredRequest, UnrequestedBytes
from kestreltrack.ports import StatusNotification
from kestreltrack.telemetry import Telemetry

REPORTS_TARGET = "/reports"

# How long a response is waited for before the next report, as a multiple of the current backoff: the platform
# normally responds at once, and if it does not, waiting for it must not make the notification late.
RESPONSE_WAIT_PER_BACKOFF = 5.0

MAX_RESPONSE_WAIT_S = 0.2

# Pause before the first retry; it doubles with each further one.
INITIAL_BACKOFF_S = 0.02

# With the longest wait for a response, this is the longest time between two posts.  A message ends shortly before its
# time is up, and its notification has to be accepted 0.3 s after that.
MAX_BACKOFF_S = 0.15

# Timeout of one report, also while others follow it: a connection may come up late, and its response counts then.
REPORT_TIMEOUT_S = 2.0

# The response to a report says all in its status.
MAX_RESPONSE_BYTES = 64 * 1024

# Notifications in one report: many messages may end at once, and a request body is limited to 64 KiB.
MAX_BATCH_SIZE = 200


@dataclass(eq=False, slots=True)
class _PendingNotification:
    """A notification that the platform has not accepted yet, encoded as a line of a report."""

    line: bytes
    accepted: asyncio.Future[None]


class HttpNotifier:
    """Posts notifications to the platform, with all pending ones in one report.

    Reports follow each other without waiting for a response that does not come: the number of reports in flight is
    bounded by `REPORT_TIMEOUT_S` and the time between two of them.
    """

    def __init__(self, address: str, telemetry: Telemetry) -> None:
        """Open no connection before the first notification."""
        self._telemetry = telemetry
        self._client = self._new_client(address)
        self._queue: list[_PendingNotification] = []
        # Notifications that the platform answered with 400 when they were alone in a report.
        self._rejected: list[_PendingNotification] = []
        self._post_task: asyncio.Task[None] | None = None
        # The reports without a response in time, which are not waited for any more.
        self._late_reports: set[asyncio.Task[int]] = set()
        self._wake_event = asyncio.Event()
        self._backoff_s = INITIAL_BACKOFF_S
        # Maximum number of notifications in the next report.
        self._batch_size = MAX_BATCH_SIZE

    def change_address(self, address: str) -> None:
        """Use another address from now on, also for notifications in flight or waiting to be retried."""
        old_client = self._client
        self._client = self._new_client(address)
        old_client.close()
        self._wake()

    def _new_client(self, address: str) -> HttpClient:
        client = HttpClient(address, max_body_bytes=MAX_RESPONSE_BYTES)
        client.on_unrequested = self._record_unrequested
        client.on_unanswered = self._record_unanswered
        return client

    def _record_unrequested(self, received: UnrequestedBytes) -> None:
        self._telemetry.record_fault(f"notifications.{received.event}", **received.log_fields())

    def _record_unanswered(self, request: UnansweredRequest) -> None:
        self._telemetry.record_fault("notifications.unanswered", **request.log_fields())

    def _wake(self) -> None:
        """End the backoff of the posting task."""
        self._wake_event.set()
        self._wake_event = asyncio.Event()

    async def notify(self, notification: StatusNotification) -> None:
        """Return once the platform has accepted the notification with status 204."""
        pending = _PendingNotification(_encode(notification), asyncio.get_running_loop().create_future())
        if not self._queue:  # otherwise the backoff is for the notifications in the queue
            self._wake()
        self._queue.append(pending)
        if self._post_task is None or self._post_task.done():
            self._post_task = asyncio.create_task(self._post_queue())
        await pending.accepted

    async def _post_queue(self) -> None:
        """Post until no notification is pending."""
        self._backoff_s = INITIAL_BACKOFF_S
        self._batch_size = MAX_BATCH_SIZE
        while self._queue or self._rejected:
            wake_event = self._wake_event
            if self._queue:
                should_back_off = await self._post_queued()
            else:
                should_back_off = await self._post_rejected()
            if should_back_off:
                with suppress(TimeoutError):
                    await asyncio.wait_for(wake_event.wait(), self._backoff_s)
                self._backoff_s = min(MAX_BACKOFF_S, 2.0 * self._backoff_s)

    async def _post_queued(self) -> bool:
        """Post the first notifications in the queue; return whether to back off before the next attempt."""
        batch = self._queue[: self._batch_size]
        status = await self._post(batch)
        if status == 204:
            self._accept(batch)
            return False
        if status == 400:
            # One invalid line must not delay the others: isolate it by halving the report.
            if len(batch) == 1:
                self._isolate(batch[0])
            self._batch_size = max(1, len(batch) // 2)
            return False
        return True

    def _isolate(self, rejected: _PendingNotification) -> None:
        """Post a rejected notification alone from now on, unless an earlier report with it was accepted late."""
        if rejected in self._queue:
            self._queue.remove(rejected)
            self._rejected.append(rejected)

    async def _post_rejected(self) -> bool:
        """Retry the first rejected notification; return whether to back off before the next attempt.

        A rejected notification must still be delivered.  Rejected ones are posted one at a time, round robin, and
        only while the queue is empty.
        """
        batch = self._rejected[:1]
        status = await self._post(batch)
        if status == 204:
            self._accept(batch)
            return False
        if batch[0] in self._rejected:  # otherwise an earlier report with it was accepted late
            self._rejected.remove(batch[0])
            self._rejected.append(batch[0])
        return True

    def _accept(self, batch: list[_PendingNotification]) -> None:
        accepted = set(batch)
        self._queue = [pending for pending in self._queue if pending not in accepted]
        self._rejected = [pending for pending in self._rejected if pending not in accepted]
        for pending in batch:
            # Done if the waiting task was cancelled, or if another report with it was accepted.
            if not pending.accepted.done():
                pending.accepted.set_result(None)
        self._backoff_s = INITIAL_BACKOFF_S
        self._batch_size = min(MAX_BATCH_SIZE, 2 * self._batch_size)

    async def _post(self, batch: list[_PendingNotification]) -> int:
        """Return the status of the response, or 0 if none came in time.

        A report without a response in time is not aborted, and the next one takes a new connection: the open ones may
        have fallen silent, and new ones may come up late.  The platform ignores notifications that come twice.
        """
        report = asyncio.create_task(self._exchange([pending.line for pending in batch]))
        wait_s = min(MAX_RESPONSE_WAIT_S, RESPONSE_WAIT_PER_BACKOFF * self._backoff_s)
        await asyncio.wait({report}, timeout=wait_s)
        if report.done():
            return report.result()
        waited_ms = round(1000.0 * wait_s, 1)
        self._telemetry.record_fault("notifications.no_response", error=f"none within {waited_ms} ms")
        self._client.close_idle()
        self._late_reports.add(report)
        report.add_done_callback(partial(self._take_late_response, batch))
        return 0

    def _take_late_response(self, batch: list[_PendingNotification], report: asyncio.Task[int]) -> None:
        self._late_reports.discard(report)
        if not report.cancelled() and report.result() == 204:
            self._accept(batch)

    async def _exchange(self, lines: list[bytes]) -> int:
        """Post one report; return the status of the response, or 0 if there is none."""
        try:
            response = await self._client.exchange("POST", REPORTS_TARGET, REPORT_TIMEOUT_S, b"".join(lines))
        except Exception as error:  # includes bugs: if this task ended, nothing more would be posted
            self._telemetry.record_fault("notifications.no_response", error=str(error) or repr(error))
            return 0
        if response.status != 204:
            self._telemetry.record_fault("notifications.unexpected_status", status=response.status)
        return response.status


def _encode(notification: StatusNotification) -> bytes:
    """Encode a notification as a line of a report."""
    row: dict[str, object] = {"message": notification.message_id, "outcome": "given_up"}
    if notification.requeue:
        row["outcome"] = "handed_back"
        row["retry_in_ms"] = round(notification.retry_after_ms)
    return orjson.dumps(row) + b"\n"
