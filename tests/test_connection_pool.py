"""The connection pool: which connections it reuses, which it closes, and when it refuses to open one."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Awaitable, Callable

import pytest
import uvloop
from scripted_servers import ScriptedServer

from kestreltrack.decision import Outcome
from kestreltrack.endpoints.batch import BatchTransport
from kestreltrack.endpoints.connection_pool import ConnectionPool
from kestreltrack.endpoints.http_transport import HttpTransport
from kestreltrack.http1 import Connection, SettleTimes
from kestreltrack.ports import Attempt, BatchCall, Message
from kestreltrack.telemetry import Telemetry
from kestreltrack.testing.fakes.http import http_answer

# These tests check the other conditions of reuse; tests/test_connection_reuse.py checks the settle times.
IMMEDIATE_REUSE = SettleTimes(0.0, 0.0, 0.0)


def with_endpoints(scenario: Callable[[ScriptedServer, ScriptedServer], Awaitable[None]]) -> None:
    """Run a scenario with two endpoints."""

    async def run() -> None:
        first, second = ScriptedServer(), ScriptedServer()
        await first.listen()
        await second.listen()
        await asyncio.wait_for(scenario(first, second), 20.0)

    asyncio.run(run())


async def exchange(connection: Connection, endpoint: ScriptedServer) -> asyncio.StreamWriter:
    """Exchange a request and a response on a connection, and return the endpoint's writer of the connection."""
    await connection.send("POST", "/", [])
    reader, writer = (await endpoint.requests.get())[3]
    endpoint.respond((reader, writer), http_answer("200"))
    await connection.read_head()
    await connection.read_body()
    return writer


async def wait_until_not_reusable(connection: Connection) -> None:
    while connection.is_reusable():
        await asyncio.sleep(0.001)


def test_acquire_returns_the_connection_that_was_released_last() -> None:
    async def scenario(endpoint: ScriptedServer, _: ScriptedServer) -> None:
        pool = ConnectionPool(60.0, 5.0, 8, Telemetry(), IMMEDIATE_REUSE)
        first_connection = await pool.acquire("n1", endpoint.address)
        second_connection = await pool.acquire("n1", endpoint.address)
        await exchange(first_connection, endpoint)
        await exchange(second_connection, endpoint)
        pool.release("n1", first_connection)
        pool.release("n1", second_connection)
        assert await pool.acquire("n1", endpoint.address) is second_connection
        assert pool.open_count == 2

    with_endpoints(scenario)


def test_acquire_opens_a_new_connection_when_the_idle_one_is_too_old() -> None:
    # A request sent while the endpoint closes the connection, after its own idle timeout, would end in a reset.
    async def scenario(endpoint: ScriptedServer, _: ScriptedServer) -> None:
        pool = ConnectionPool(0.0, 5.0, 8, Telemetry(), IMMEDIATE_REUSE)
        first_connection = await pool.acquire("n1", endpoint.address)
        pool.release("n1", first_connection)
        assert await pool.acquire("n1", endpoint.address) is not first_connection
        assert pool.open_count == 1

    with_endpoints(scenario)


@pytest.mark.parametrize("pending_input", [http_answer("200"), b"HTTP/1.1 2", b""])
def test_acquire_sees_input_of_an_idle_connection_that_only_the_kernel_holds(pending_input: bytes) -> None:
    # An unsolicited complete response would be taken for that of the next request, whose message would then count as
    # delivered.
    async def scenario() -> None:
        server = socket.create_server(("127.0.0.1", 0))
        address = f"127.0.0.1:{server.getsockname()[1]}"
        pool = ConnectionPool(60.0, 5.0, 8, Telemetry(), IMMEDIATE_REUSE)
        first_connection = await pool.acquire("n1", address)
        peer, _ = server.accept()
        pool.release("n1", first_connection)
        if pending_input:
            peer.sendall(pending_input)
        else:
            peer.shutdown(socket.SHUT_WR)
        assert first_connection.is_reusable(), "the event loop has already read the input"
        assert await pool.acquire("n1", address) is not first_connection
        assert pool.open_count == 1
        peer.close()
        server.close()

    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(asyncio.wait_for(scenario(), 20.0))


def test_acquire_opens_a_new_connection_when_the_endpoint_closed_the_idle_one() -> None:
    async def scenario(endpoint: ScriptedServer, _: ScriptedServer) -> None:
        pool = ConnectionPool(60.0, 5.0, 8, Telemetry(), IMMEDIATE_REUSE)
        first_connection = await pool.acquire("n1", endpoint.address)
        writer = await exchange(first_connection, endpoint)
        writer.close()
        await wait_until_not_reusable(first_connection)
        pool.release("n1", first_connection)
        assert await pool.acquire("n1", endpoint.address) is not first_connection
        assert pool.open_count == 1

    with_endpoints(scenario)


def test_acquire_shares_no_connection_between_endpoints_at_one_address() -> None:
    async def scenario(endpoint: ScriptedServer, other: ScriptedServer) -> None:
        pool = ConnectionPool(60.0, 5.0, 8, Telemetry(), IMMEDIATE_REUSE)
        first_connection = await pool.acquire("n1", endpoint.address)
        pool.release("n1", first_connection)
        assert await pool.acquire("n2", endpoint.address) is not first_connection
        assert (await pool.acquire("n1", other.address)).address == other.address, (
            "the endpoint has a new address"
        )

    with_endpoints(scenario)


def test_acquire_opens_a_new_connection_when_bytes_followed_the_last_response() -> None:
    # The bytes would be taken for the response to the next request.
    async def scenario(endpoint: ScriptedServer, _: ScriptedServer) -> None:
        pool = ConnectionPool(60.0, 5.0, 8, Telemetry(), IMMEDIATE_REUSE)
        first_connection = await pool.acquire("n1", endpoint.address)
        writer = await exchange(first_connection, endpoint)
        pool.release("n1", first_connection)
        writer.write(http_answer("200"))
        await wait_until_not_reusable(first_connection)
        assert await pool.acquire("n1", endpoint.address) is not first_connection
        assert pool.open_count == 1

    with_endpoints(scenario)


def test_acquire_at_the_limit_closes_the_oldest_idle_connection_and_no_busy_one() -> None:
    async def scenario(endpoint: ScriptedServer, other: ScriptedServer) -> None:
        pool = ConnectionPool(60.0, 5.0, 2, Telemetry(), IMMEDIATE_REUSE)
        first_connection = await pool.acquire("n1", endpoint.address)
        second_connection = await pool.acquire("n1", endpoint.address)
        pool.release("n1", first_connection)
        assert (await pool.acquire("n2", other.address)).address == other.address
        assert pool.open_count == 2
        assert not first_connection.is_reusable()
        assert second_connection.is_reusable()
        with pytest.raises(OSError, match="limits"):
            await pool.acquire("n1", endpoint.address)
        assert pool.open_count == 2

    with_endpoints(scenario)


def test_sweep_and_close_idle_close_idle_connections() -> None:
    async def scenario(endpoint: ScriptedServer, other: ScriptedServer) -> None:
        pool = ConnectionPool(0.0, 5.0, 8, Telemetry(), IMMEDIATE_REUSE)
        pool.release("n1", await pool.acquire("n1", endpoint.address))
        sweep = asyncio.create_task(pool.sweep_idle())
        while pool.open_count:
            await asyncio.sleep(0.001)
        sweep.cancel()
        pool.idle_timeout_s = 60.0
        pool.release("n2", await pool.acquire("n2", other.address))
        pool.close_idle("n2")
        assert pool.open_count == 0

    with_endpoints(scenario)


@pytest.mark.parametrize("transport_type", [HttpTransport, BatchTransport])
def test_a_full_pool_is_no_evidence_against_an_endpoint(
    transport_type: type[HttpTransport | BatchTransport],
) -> None:
    """An attempt that gets no connection because the pool is full was never sent.

    Guards against a healthy endpoint that is taken for dead because attempts to others hang while connecting and use
    up the pool: an attempt that ends as unreachable counts as a failure of its endpoint.
    """

    async def scenario(endpoint: ScriptedServer, _: ScriptedServer) -> None:
        telemetry = Telemetry()
        pool = ConnectionPool(60.0, 5.0, 1, telemetry, IMMEDIATE_REUSE)
        transport = transport_type(pool, telemetry)
        await pool.acquire("hanging", endpoint.address)  # stands for an attempt that hangs while connecting
        call = BatchCall() if transport_type is BatchTransport else None
        messages = [Message(f"m{number}", "safe", 1, 0.0, b"x") for number in range(2 if call else 1)]
        attempts = [
            Attempt(message, "healthy", endpoint.address, 1000.0, lambda *_: True, call)
            for message in messages
        ]
        results = await asyncio.gather(*map(transport.send, attempts))
        assert {result.outcome for result in results} == {Outcome.NOT_SENT}
        assert telemetry.counters["endpoints.pool_full"] == 1

    with_endpoints(scenario)
