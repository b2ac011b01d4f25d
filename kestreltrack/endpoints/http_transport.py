"""Carries one claim over HTTP and reads its outcome off what comes back."""

from __future__ import annotations

import asyncio
import re

from kestreltrack.decision import Outcome
from kestreltrack.endpoints.connection_pool import ConnectionPool
from kestreltrack.http1 import Connection, ConnectionBrokenError, ResponseHead
from kestreltrack.ports import Attempt, AttemptResult
from kestreltrack.telemetry import Telemetry

MESSAGE_TARGET = "/v1/messages"
MAX_BODY_BYTES = 64 * 1024  # what a body may hold; an answer that says more is spoilt
OK_BODY_TIMEOUT_S = 0.25  # for the rest of an answer that has said 200: its meaning is known by then
BODY_TIMEOUT_S = 1.0  # for the rest of any other: only a whole one proves that the message never ran
NOT_EXECUTED_STATUSES = (429, 503, 504, 410)  # as the protocol has it
LOAD_REPORT_HEADER = b"x-load-report"
DECIMAL_PATTERN = re.compile(r"[0-9]{1,9}(\.[0-9]{1,9})?")


def parse_decimal(text: str | None) -> float | None:
    """A number in plain decimal form, or `None`."""
    return float(text) if text and DECIMAL_PATTERN.fullmatch(text) else None


def parse_load_report(text: str) -> dict[str, float]:
    """The fields of a load report; what is not a number is left out."""
    pairs = (part.partition("=") for part in text.split(","))
    rows = ((name.strip(), parse_decimal(value.strip())) for name, _, value in pairs)
    return {name: value for name, value in rows if name and value is not None}


def parse_retry_after_ms(head: ResponseHead, telemetry: Telemetry) -> float:
    """The wait that an answer tells, in milliseconds; one that cannot be read is counted and taken for none."""
    wait_s = parse_decimal(head.headers.get("retry-after"))
    if wait_s is None:
        telemetry.record_fault("endpoints.invalid_retry_after", value=head.headers.get("retry-after"))
    return 1000.0 * (wait_s or 0.0)


def parse_response(head: ResponseHead, telemetry: Telemetry) -> AttemptResult:
    """What an answer means."""
    report = parse_load_report(head.headers.get("x-load-report", ""))
    if head.status == 200:
        return AttemptResult(Outcome.OK, final=True, load_report=report)
    if head.status == 429:
        return AttemptResult(
            Outcome.REJECTED, retry_after_ms=parse_retry_after_ms(head, telemetry), load_report=report
        )
    if head.status == 503 and head.headers.get("slots-taken", "0").strip() != "0":
        return AttemptResult(Outcome.NOT_SENT, load_report=report)
    if head.status == 503:
        return AttemptResult(Outcome.REJECTED, load_report=report)
    if head.status == 504:  # all attempts are used up; the end is still owed
        return AttemptResult(Outcome.NOT_SENT, load_report=report)
    if head.status == 410:  # the message is over and nothing more is owed
        return AttemptResult(Outcome.NOT_SENT, final=True, load_report=report)
    if head.status != 500:  # not in the protocol: it may have run
        telemetry.record_fault("endpoints.unexpected_status", status=head.status)
    return AttemptResult(Outcome.ERROR, load_report=report)


class HttpTransport:
    """Claims over pooled connections; each is written once and never resent."""

    def __init__(self, pool: ConnectionPool, telemetry: Telemetry) -> None:
        """Use the connections of `pool`."""
        self.pool, self.telemetry = pool, telemetry

    def close_idle(self, uid: str) -> None:
        """Close the idle connections to an execute node."""
        self.pool.close_idle(uid)

    async def send(self, attempt: Attempt, connection: Connection | None = None) -> AttemptResult:
        """Connect, unless there is a connection; ask whether the claim may still go, write it, read the answer."""
        loop = asyncio.get_running_loop()
        deadline = loop.time() + attempt.timeout_ms / 1000.0
        try:
            async with asyncio.timeout_at(deadline):
                connection = connection or await self.pool.acquire(attempt.endpoint, attempt.address)
                if not attempt.begin():
                    self.pool.release(attempt.endpoint, connection)
                    return AttemptResult(Outcome.NOT_SENT)
                headers = self._request_headers(attempt, deadline - loop.time())
                await connection.send("POST", MESSAGE_TARGET, headers, attempt.message.body)
                self.telemetry.count("app.forwards")
                head = await connection.read_head(LOAD_REPORT_HEADER)
            async with asyncio.timeout(OK_BODY_TIMEOUT_S if head.status == 200 else BODY_TIMEOUT_S):
                await connection.read_body(MAX_BODY_BYTES)
        except (asyncio.CancelledError, Exception) as bad:
            if connection:
                self.pool.discard(connection)  # closing is how a claim is given up
            return await self._result_after_abort(connection, bad)
        self.pool.release(attempt.endpoint, connection)
        return parse_response(head, self.telemetry)

    async def _result_after_abort(self, connection: Connection | None, error: BaseException) -> AttemptResult:
        """What a claim comes to whose connection has been closed.

        What had come by then goes first, also where it came in the very turn of a time-out or a cancel: a 200 is
        true, and a wait binds.  Nothing here waits.
        """
        if not isinstance(error, asyncio.CancelledError | OSError | ConnectionBrokenError):
            self.telemetry.record_fault("endpoints.fault", error=repr(error))
        sent, spoilt = connection is not None and connection.request_sent, False
        if connection:
            try:
                head = await connection.read_head(LOAD_REPORT_HEADER)
                spoilt = True
                await connection.read_body(MAX_BODY_BYTES)
                if sent or head.status in NOT_EXECUTED_STATUSES:
                    return parse_response(head, self.telemetry)
            except ConnectionBrokenError:
                pass
            if connection.partial_status() == 200:  # its first line is true, whatever follows
                return AttemptResult(Outcome.OK, final=True)
        if not sent:  # the endpoint begins a call when its last byte has come
            cancelled = isinstance(error, asyncio.CancelledError)
            return AttemptResult(Outcome.NOT_SENT if cancelled else Outcome.UNREACHABLE)
        if spoilt:  # whatever it says, the message may have run
            self.telemetry.count("endpoints.malformed_response")
            return AttemptResult(Outcome.CONNECTION_BROKEN)
        if isinstance(error, asyncio.CancelledError):
            return AttemptResult(Outcome.CANCELLED)
        if isinstance(error, TimeoutError):
            return AttemptResult(Outcome.TIMED_OUT)
        return AttemptResult(
            Outcome.CONNECTION_BROKEN, stale_connection=connection is not None and connection.is_stale()
        )

    @staticmethod
    def _request_headers(attempt: Attempt, remaining_s: float) -> list[tuple[str, str]]:
        headers = [("X-Call-Id", attempt.message.id), ("X-Budget-Ms", str(max(1, int(remaining_s * 1000.0))))]
        if attempt.message.idempotency_key is not None:
            headers.append(("Idempotency-Key", attempt.message.idempotency_key))
        return headers
