"""What one response costs is bounded: bytes held, pieces parsed, header fields, and time without a turn of others."""

from __future__ import annotations

import asyncio
import time

import pytest
from test_silent_connections import run_with_server
from test_unending_responses import TIMEOUT_S, UnendingServer, make_attempt

from kestreltrack.decision import Outcome
from kestreltrack.endpoints.connection_pool import ConnectionPool
from kestreltrack.endpoints.http_transport import HttpTransport
from kestreltrack.http1 import Connection, ConnectionBrokenError
from kestreltrack.http1.protocol import MAX_UNREAD_BYTES, RECEIVE_BYTES
from kestreltrack.http1.response_limits import MAX_HEADER_FIELDS, MIN_EVENTS
from kestreltrack.memory import ByteBudget
from kestreltrack.telemetry import Telemetry
from kestreltrack.testing.pressure.endpoints import CostlyEndpoint, ResponseKind

CHUNKED = b"HTTP/1.1 %d Said\r\nTransfer-Encoding: chunked\r\n\r\n"
HEAD = b"HTTP/1.1 503 No\r\n"
# What a healthy loop may be late by on a busy machine; one response of the kinds below once took a second of it.
MAX_LAG_S = 0.2


def make_endpoint(kind: ResponseKind) -> CostlyEndpoint:
    endpoint = CostlyEndpoint("n1", 1, kind, 1.0, 1)
    endpoint.service_time_s = 0.0
    return endpoint


@pytest.mark.parametrize("kind", ResponseKind)
def test_costly_response_ends_soon_and_leaves_the_loop_to_others(kind: ResponseKind) -> None:
    endpoint = make_endpoint(kind)

    async def scenario() -> None:
        pool = ConnectionPool(60.0, 5.0, 8, Telemetry())
        pool.budget = ByteBudget(1_000_000)
        transport = HttpTransport(pool, Telemetry())
        lags = list[float]()

        async def measure_lag() -> None:
            while True:
                before = time.monotonic()
                await asyncio.sleep(0.001)
                lags.append(time.monotonic() - before)

        lag_task = asyncio.create_task(measure_lag())
        results = await asyncio.gather(
            *(transport.send(make_attempt(endpoint, f"m{number}")) for number in range(4))
        )
        lag_task.cancel()
        outcomes = {result.outcome for result in results}
        assert outcomes <= {Outcome.CONNECTION_BROKEN, Outcome.REJECTED, Outcome.TIMED_OUT}
        assert max(lags) < MAX_LAG_S
        assert pool.open_count == len(pool._idle) == 0 or kind is ResponseKind.NOISE
        assert pool.budget.peak_bytes <= 4 * (MAX_UNREAD_BYTES + RECEIVE_BYTES)
        for uid in list(pool._idle):
            pool.close_idle(uid)
        assert pool.budget.held_bytes == 0

    run_with_server(endpoint, scenario)


@pytest.mark.parametrize("status", [200, 503])
@pytest.mark.parametrize("chunks", [MIN_EVENTS, 4 * MIN_EVENTS])
def test_response_in_too_many_pieces_has_only_the_outcome_that_its_status_proves(
    chunks: int, status: int
) -> None:
    complete = CHUNKED % status + b"1\r\nx\r\n" * chunks + b"0\r\n\r\n"
    server = UnendingServer(complete, b"", 0)
    server.delay_s = 0.0

    async def scenario() -> None:
        transport = HttpTransport(ConnectionPool(60.0, 5.0, 8, Telemetry()), Telemetry())
        result = await transport.send(make_attempt(server, "m1"))
        if status == 200:
            assert (result.outcome, result.final) == (Outcome.OK, True)
        else:
            complete = chunks == MIN_EVENTS
            assert result.outcome is (Outcome.REJECTED if complete else Outcome.CONNECTION_BROKEN)

    run_with_server(server, scenario)


@pytest.mark.parametrize("fields", [MAX_HEADER_FIELDS // 2, 2 * MAX_HEADER_FIELDS])
def test_head_with_too_many_fields_is_no_proof_that_the_message_was_not_executed(fields: int) -> None:
    server = UnendingServer(HEAD + b"a:b\r\n" * fields + b"Content-Length: 0\r\n\r\n", b"", 0)
    server.delay_s = 0.0

    async def scenario() -> None:
        transport = HttpTransport(ConnectionPool(60.0, 5.0, 8, Telemetry()), Telemetry())
        result = await transport.send(make_attempt(server, "m1"))
        is_read = fields < MAX_HEADER_FIELDS
        assert result.outcome is (Outcome.REJECTED if is_read else Outcome.CONNECTION_BROKEN)

    run_with_server(server, scenario)


def test_connection_that_exceeds_the_budget_of_all_is_given_up_and_its_bytes_are_given_back() -> None:
    server = make_endpoint(ResponseKind.UNTIL_CLOSE)

    async def scenario() -> None:
        budget = ByteBudget(RECEIVE_BYTES // 2)
        connection = await Connection.open(server.address, TIMEOUT_S, budget)
        await connection.send("GET", "/", [])
        with pytest.raises(ConnectionBrokenError):
            await connection.read_head()
            while True:
                await connection.read_body(1 << 30)
        connection.close()
        assert budget.held_bytes == 0 and budget.peak_bytes <= budget.limit_bytes + RECEIVE_BYTES

    run_with_server(server, scenario)
