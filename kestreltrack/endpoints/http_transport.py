"""Sends single attempts over HTTP and derives their results from the responses."""

from __future__ import annotations

import asyncio
from dataclasses import replace
from functools import partial

from kestreltrack.decision import Outcome
from kestreltrack.endpoints.connection_pool import ConnectionPool, PoolFullError
from kestreltrack.endpoints.responses import (
    BODY_TIMEOUT_S,
    LOAD_REPORT_HEADER,
    MAX_BODY_BYTES,
    NOT_EXECUTED_STATUSES,
    OK_BODY_TIMEOUT_S,
    describe_use,
    parse_response,
    read_buffered_response,
)
from kestreltrack.http1 import Connection, ConnectionBrokenError
from kestreltrack.ports import Attempt, AttemptResult
from kestreltrack.telemetry import Telemetry

MESSAGE_TARGET = "/v1/messages"


class HttpTransport:
    """Sends attempts over pooled connections; each request is written once and never resent."""

    def __init__(self, pool: ConnectionPool, telemetry: Telemetry) -> None:
        """Create a transport that uses the connections of `pool`."""
        self.pool = pool
        self.telemetry = telemetry

    def close_idle(self, uid: str) -> None:
        """Close the idle connections to an endpoint."""
        self.pool.close_idle(uid)

    async def send(self, attempt: Attempt, connection: Connection | None = None) -> AttemptResult:
        """Make one attempt and return its result, even if it is cancelled.

        Acquires a connection unless one is given, asks whether the attempt may still begin, writes the request, and
        reads the response.
        """
        loop = asyncio.get_running_loop()
        deadline = loop.time() + attempt.timeout_ms / 1000.0
        try:
            async with asyncio.timeout_at(deadline):
                connection = connection or await self.pool.acquire(
                    attempt.endpoint, attempt.address, strict=attempt.strict
                )
                if not attempt.begin():
                    self.pool.release(attempt.endpoint, connection)
                    return AttemptResult(Outcome.NOT_SENT)
                headers = _request_headers(attempt, deadline - loop.time())
                await connection.send("POST", MESSAGE_TARGET, headers, attempt.message.body)
                self.telemetry.count("app.forwards")
                # The status line proves the delivery, so report it at once.  The rest may take a second or never
                # arrive, and if this process is killed meanwhile, its successor would find an ambiguous outcome.
                await connection.read_head(LOAD_REPORT_HEADER, partial(_report_delivery, attempt))
                # The attempt's deadline bounds the body as well: a message ends on time though a response never does.
                async with asyncio.timeout(_body_timeout_s(connection)):
                    await connection.read_body(MAX_BODY_BYTES, keep=False)
        except (asyncio.CancelledError, Exception) as error:
            if connection is None:
                self._record_unexpected(error)
                return result_of_unsent_request(error)
            self.pool.discard(connection)  # closing the connection aborts the attempt
            result = await self._result_after_abort(connection, error)
            if not connection.response_begun():
                self.pool.record_unanswered(attempt.endpoint, connection)
            return replace(result, connection=describe_use(connection))
        self.pool.release(attempt.endpoint, connection)
        return replace(parse_response(connection.head, self.telemetry), connection=describe_use(connection))

    def _record_unexpected(self, error: BaseException) -> None:
        """Record an error that no connection raises."""
        if not isinstance(error, asyncio.CancelledError | OSError | ConnectionBrokenError):
            self.telemetry.record_fault("endpoints.fault", error=repr(error))

    async def _result_after_abort(self, connection: Connection, error: BaseException) -> AttemptResult:
        """Return the result of an attempt whose connection was closed; never waits.

        A response received by then takes precedence, even if it arrived in the same iteration of the event loop as
        the timeout or the cancellation: a 200 proves the delivery, and a ``Retry-After`` has to be obeyed.
        """
        self._record_unexpected(error)
        request_sent = connection.request_sent
        buffered = await read_buffered_response(connection, keep_body=False)
        if (
            buffered.head is not None
            and buffered.body is not None
            and (request_sent or buffered.head.status in NOT_EXECUTED_STATUSES)
        ):
            return parse_response(buffered.head, self.telemetry)
        if connection.partial_status() == 200:  # the status line alone proves the delivery
            return AttemptResult(Outcome.OK, final=True)
        if not request_sent:
            return result_of_unsent_request(error)
        if buffered.head is not None:  # without its body, it does not prove that the message was not executed
            self.telemetry.count("endpoints.malformed_response")
            return AttemptResult(Outcome.CONNECTION_BROKEN)
        return _result_without_response(connection, error)


def _body_timeout_s(connection: Connection) -> float:
    """Return how long the body of a response is waited for once its head was received, in seconds."""
    is_proof = connection.matching.proves_early(asyncio.get_running_loop().time())
    is_delivered = connection.head.status == 200 and is_proof
    return OK_BODY_TIMEOUT_S if is_delivered else BODY_TIMEOUT_S


def _report_delivery(attempt: Attempt, status: int) -> None:
    if status == 200:
        attempt.on_delivered()


def result_of_unsent_request(error: BaseException) -> AttemptResult:
    """Return the result if the request was not sent completely: an endpoint executes only complete requests.

    A full pool says nothing about the endpoint, so the attempt does not count as a failure of it.
    """
    if isinstance(error, asyncio.CancelledError | PoolFullError):
        return AttemptResult(Outcome.NOT_SENT)
    return AttemptResult(Outcome.UNREACHABLE)


def _result_without_response(connection: Connection, error: BaseException) -> AttemptResult:
    """Return the result if the request was sent, but the head of a response was not received."""
    if isinstance(error, asyncio.CancelledError):
        return AttemptResult(Outcome.CANCELLED)
    if isinstance(error, TimeoutError):
        return AttemptResult(Outcome.TIMED_OUT)
    return AttemptResult(Outcome.CONNECTION_BROKEN, stale_connection=connection.is_stale())


def _request_headers(attempt: Attempt, remaining_s: float) -> list[tuple[str, str]]:
    remaining_ms = max(1, int(remaining_s * 1000.0))
    headers = [("X-Call-Id", attempt.message.id), ("X-Budget-Ms", str(remaining_ms))]
    if attempt.message.idempotency_key is not None:
        headers.append(("Idempotency-Key", attempt.message.idempotency_key))
    return headers
