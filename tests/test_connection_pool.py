"""The pool of connections to endpoints: what it reuses, closes and refuses."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Awaitable, Callable

import pytest
import uvloop
from scenario import ScriptedServer

from kestreltrack.decision import Outcome
from kestreltrack.endpoints.connection_pool import ConnectionPool
from kestreltrack.endpoints.http_transport import HttpTransport
from kestreltrack.http1 import Connection
from kestreltrack.ports import Attempt, Message
from kestreltrack.telemetry import Telemetry
from kestreltrack.testing.fakes.http import http_answer


def with_endpoints(scenario: Callable[[ScriptedServer, ScriptedServer], Awaitable[None]]) -> None:
    async def go() -> None:
        first, second = ScriptedServer(), ScriptedServer()
        await first.listen()
        await second.listen()
        await asyncio.wait_for(scenario(first, second), 20.0)

    asyncio.run(go())


async def exchange(connection: Connection, endpoint: ScriptedServer) -> None:
    await connection.send("POST", "/", [])
    endpoint.respond((await endpoint.requests.get())[3], http_answer("200"))
    await connection.read_head()
    await connection.read_body()


def test_acquire_returns_the_connection_that_was_released_last() -> None:
    async def scenario(endpoint: ScriptedServer, _: ScriptedServer) -> None:
        pool = ConnectionPool(60.0, 5.0, 8, Telemetry())
        first_connection, second_connection = (
            await pool.acquire("node", endpoint.address),
            await pool.acquire("node", endpoint.address),
        )
        await exchange(first_connection, endpoint)
        await exchange(second_connection, endpoint)
        pool.release("node", first_connection)
        pool.release("node", second_connection)
        assert await pool.acquire("node", endpoint.address) is second_connection and pool.open_count == 2

    with_endpoints(scenario)


def test_acquire_opens_a_new_connection_when_the_idle_one_is_too_old() -> None:
    # A request that crosses the endpoint's own idle time-out would end as a reset.
    async def scenario(endpoint: ScriptedServer, _: ScriptedServer) -> None:
        pool = ConnectionPool(0.0, 5.0, 8, Telemetry())
        first_connection = await pool.acquire("node", endpoint.address)
        pool.release("node", first_connection)
        assert await pool.acquire("node", endpoint.address) is not first_connection and pool.open_count == 1

    with_endpoints(scenario)


@pytest.mark.parametrize("pending_input", [http_answer("200"), b"HTTP/1.1 2", b""])
def test_acquire_sees_input_of_an_idle_connection_that_only_the_kernel_holds(pending_input: bytes) -> None:
    # A complete response that nobody asked for would be taken for the next request's, which was not delivered.
    async def scenario() -> None:
        server = socket.create_server(("127.0.0.1", 0))
        address = f"127.0.0.1:{server.getsockname()[1]}"
        pool = ConnectionPool(60.0, 5.0, 8, Telemetry())
        first_connection = await pool.acquire("node", address)
        peer, _ = server.accept()
        pool.release("node", first_connection)
        peer.sendall(pending_input) if pending_input else peer.shutdown(socket.SHUT_WR)
        assert first_connection.is_reusable(), "the loop has not looked since"
        assert await pool.acquire("node", address) is not first_connection and pool.open_count == 1
        peer.close()
        server.close()

    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(asyncio.wait_for(scenario(), 20.0))


def test_acquire_opens_a_new_connection_when_the_endpoint_closed_the_idle_one() -> None:
    async def scenario(endpoint: ScriptedServer, _: ScriptedServer) -> None:
        pool = ConnectionPool(60.0, 5.0, 8, Telemetry())
        first_connection = await pool.acquire("node", endpoint.address)
        await first_connection.send("POST", "/", [])
        streams = (await endpoint.requests.get())[3]
        endpoint.respond(streams, http_answer("200"))
        await first_connection.read_head()
        await first_connection.read_body()
        streams[1].close()
        while first_connection.is_reusable():
            await asyncio.sleep(0.001)
        pool.release("node", first_connection)
        assert await pool.acquire("node", endpoint.address) is not first_connection and pool.open_count == 1

    with_endpoints(scenario)


def test_acquire_shares_no_connection_between_endpoints_at_one_address() -> None:
    async def scenario(endpoint: ScriptedServer, other: ScriptedServer) -> None:
        pool = ConnectionPool(60.0, 5.0, 8, Telemetry())
        first_connection = await pool.acquire("node", endpoint.address)
        pool.release("node", first_connection)
        assert await pool.acquire("new", endpoint.address) is not first_connection
        assert (await pool.acquire("node", other.address)).address == other.address, "it has moved"

    with_endpoints(scenario)


def test_acquire_opens_a_new_connection_when_bytes_followed_the_last_response() -> None:
    # They would be taken for the response to the next request.
    async def scenario(endpoint: ScriptedServer, _: ScriptedServer) -> None:
        pool = ConnectionPool(60.0, 5.0, 8, Telemetry())
        first_connection = await pool.acquire("node", endpoint.address)
        await first_connection.send("POST", "/", [])
        streams = (await endpoint.requests.get())[3]
        endpoint.respond(streams, http_answer("200"))
        await first_connection.read_head()
        await first_connection.read_body()
        pool.release("node", first_connection)
        streams[1].write(http_answer("200"))
        while first_connection.is_reusable():
            await asyncio.sleep(0.001)
        assert await pool.acquire("node", endpoint.address) is not first_connection and pool.open_count == 1

    with_endpoints(scenario)


def test_acquire_at_the_limit_closes_the_oldest_idle_connection_and_no_busy_one() -> None:
    async def scenario(endpoint: ScriptedServer, other: ScriptedServer) -> None:
        pool = ConnectionPool(60.0, 5.0, 2, Telemetry())
        first_connection, second_connection = (
            await pool.acquire("node", endpoint.address),
            await pool.acquire("node", endpoint.address),
        )
        pool.release("node", first_connection)
        assert (await pool.acquire("other", other.address)).address == other.address
        assert pool.open_count == 2 and not first_connection.is_reusable() and second_connection.is_reusable()
        with pytest.raises(OSError, match="limits"):
            await pool.acquire("node", endpoint.address)
        assert pool.open_count == 2

    with_endpoints(scenario)


def test_sweep_and_close_idle_close_idle_connections() -> None:
    async def scenario(endpoint: ScriptedServer, other: ScriptedServer) -> None:
        pool = ConnectionPool(0.0, 5.0, 8, Telemetry())
        pool.release("node", await pool.acquire("node", endpoint.address))
        sweep = asyncio.create_task(pool.sweep_idle())
        while pool.open_count:
            await asyncio.sleep(0.001)
        sweep.cancel()
        pool.idle_timeout_s = 60.0
        pool.release("other", await pool.acquire("other", other.address))
        pool.close_idle("other")
        assert pool.open_count == 0

    with_endpoints(scenario)


def test_a_full_pool_is_no_evidence_against_an_endpoint() -> None:
    """An attempt that finds no connection free in this process was never sent, whoever holds them.

    Attempts whose connecting hangs hold connections of the pool.  One that found none free ended as unreachable,
    which is a failure of its own endpoint: the decision module takes a well one for dead where others hang.
    """

    async def scenario(endpoint: ScriptedServer, _: ScriptedServer) -> None:
        pool = ConnectionPool(60.0, 5.0, 1, Telemetry())
        transport = HttpTransport(pool, Telemetry())
        await pool.acquire("hanging", endpoint.address)  # stands for one whose connecting hangs
        message = Message("m1", "safe", 1, 0.0, b"x")
        attempt = Attempt(message, "well", endpoint.address, 1000.0, lambda *_: True)
        assert (await transport.send(attempt)).outcome is Outcome.NOT_SENT

    with_endpoints(scenario)
