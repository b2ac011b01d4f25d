"""The pool of connections to execute nodes: what it reuses, retires and refuses."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Awaitable, Callable

import pytest
import uvloop
from scenario import Party

from kestreltrack.endpoints.connection_pool import ConnectionPool
from kestreltrack.http1 import Connection
from kestreltrack.telemetry import Telemetry
from kestreltrack.testing.fakes.http import http_answer


def with_nodes(story: Callable[[Party, Party], Awaitable[None]]) -> None:
    async def go() -> None:
        first, second = Party(), Party()
        await first.listen()
        await second.listen()
        await asyncio.wait_for(story(first, second), 20.0)

    asyncio.run(go())


async def exchange(connection: Connection, node: Party) -> None:
    await connection.send("POST", "/", [])
    node.say((await node.requests.get())[3], http_answer("200"))
    await connection.read_head()
    await connection.read_body()


def test_the_connection_used_last_goes_out_first() -> None:
    async def story(node: Party, _: Party) -> None:
        pool = ConnectionPool(60.0, 5.0, 8, Telemetry())
        one, two = await pool.acquire("node", node.address), await pool.acquire("node", node.address)
        await exchange(one, node)
        await exchange(two, node)
        pool.release("node", one)
        pool.release("node", two)
        assert await pool.acquire("node", node.address) is two and pool.open_count == 2

    with_nodes(story)


def test_one_idle_for_too_long_is_not_used_again() -> None:
    # A request that crosses the node's own idle time-out would end as a reset.
    async def story(node: Party, _: Party) -> None:
        pool = ConnectionPool(0.0, 5.0, 8, Telemetry())
        one = await pool.acquire("node", node.address)
        pool.release("node", one)
        assert await pool.acquire("node", node.address) is not one and pool.open_count == 1

    with_nodes(story)


@pytest.mark.parametrize("last", [http_answer("200"), b"HTTP/1.1 2", b""])
def test_what_only_the_kernel_has_of_an_idle_one_is_seen_before_it_is_used_again(last: bytes) -> None:
    # A whole answer that nobody asked for would be taken for the next request's: delivered, though nobody has it.
    async def story() -> None:
        server = socket.create_server(("127.0.0.1", 0))
        address = f"127.0.0.1:{server.getsockname()[1]}"
        pool = ConnectionPool(60.0, 5.0, 8, Telemetry())
        one = await pool.acquire("node", address)
        peer, _ = server.accept()
        pool.release("node", one)
        peer.sendall(last) if last else peer.shutdown(socket.SHUT_WR)
        assert one.is_reusable(), "the loop has not looked since"
        assert await pool.acquire("node", address) is not one and pool.open_count == 1
        peer.close()
        server.close()

    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(asyncio.wait_for(story(), 20.0))


def test_one_that_the_node_has_closed_is_not_used_again() -> None:
    async def story(node: Party, _: Party) -> None:
        pool = ConnectionPool(60.0, 5.0, 8, Telemetry())
        one = await pool.acquire("node", node.address)
        await one.send("POST", "/", [])
        streams = (await node.requests.get())[3]
        node.say(streams, http_answer("200"))
        await one.read_head()
        await one.read_body()
        streams[1].close()
        while one.is_reusable():
            await asyncio.sleep(0.001)
        pool.release("node", one)
        assert await pool.acquire("node", node.address) is not one and pool.open_count == 1

    with_nodes(story)


def test_a_new_machine_at_an_old_ones_address_gets_a_connection_of_its_own() -> None:
    async def story(node: Party, other: Party) -> None:
        pool = ConnectionPool(60.0, 5.0, 8, Telemetry())
        one = await pool.acquire("node", node.address)
        pool.release("node", one)
        assert await pool.acquire("new", node.address) is not one
        assert (await pool.acquire("node", other.address)).address == other.address, "it has moved"

    with_nodes(story)


def test_bytes_that_come_after_an_answer_spoil_its_connection() -> None:
    # They lie unseen in the stream and would answer the next claim.
    async def story(node: Party, _: Party) -> None:
        pool = ConnectionPool(60.0, 5.0, 8, Telemetry())
        one = await pool.acquire("node", node.address)
        await one.send("POST", "/", [])
        streams = (await node.requests.get())[3]
        node.say(streams, http_answer("200"))
        await one.read_head()
        await one.read_body()
        pool.release("node", one)
        streams[1].write(http_answer("200"))
        while one.is_reusable():
            await asyncio.sleep(0.001)
        assert await pool.acquire("node", node.address) is not one and pool.open_count == 1

    with_nodes(story)


def test_at_the_limit_the_oldest_idle_one_makes_room_and_busy_ones_do_not() -> None:
    async def story(node: Party, other: Party) -> None:
        pool = ConnectionPool(60.0, 5.0, 2, Telemetry())
        one, two = await pool.acquire("node", node.address), await pool.acquire("node", node.address)
        pool.release("node", one)
        assert (await pool.acquire("other", other.address)).address == other.address
        assert pool.open_count == 2 and not one.is_reusable() and two.is_reusable()
        with pytest.raises(OSError, match="limits"):
            await pool.acquire("node", node.address)
        assert pool.open_count == 2

    with_nodes(story)


def test_sweep_and_unlink_close_idle_ones() -> None:
    async def story(node: Party, other: Party) -> None:
        pool = ConnectionPool(0.0, 5.0, 8, Telemetry())
        pool.release("node", await pool.acquire("node", node.address))
        sweep = asyncio.create_task(pool.sweep_idle())
        while pool.open_count:
            await asyncio.sleep(0.001)
        sweep.cancel()
        pool.idle_timeout_s = 60.0
        pool.release("other", await pool.acquire("other", other.address))
        pool.close_idle("other")
        assert pool.open_count == 0

    with_nodes(story)
