"""Memory of client connections: what each holds is given back when it ends, and all together are limited."""

from __future__ import annotations

import asyncio
import gc
import random
import socket
import struct
import weakref
from collections.abc import Awaitable, Callable

import pytest
import uvloop
from test_frontend import PING, SUBMIT, RunningFrontend

from kestreltrack.frontend.session import ClientSession

TIMEOUT_S = 10.0
HEAD = b"*5\r\n$6\r\nSUBMIT\r\n$1\r\n0\r\n$2\r\nm1\r\n$14\r\nc=x,d=9,dest=1\r\n$%d\r\n"
BUSY = b"-BUSY\r\n"
MANY_SHORT_PARTS = b"*1000000\r\n" + b"$1\r\nx\r\n" * 500


async def wait_until_all_have_ended(running: RunningFrontend) -> None:
    while running.server._sessions:
        await asyncio.sleep(0.001)


@pytest.mark.parametrize("loop_factory", [asyncio.new_event_loop, uvloop.new_event_loop])
@pytest.mark.parametrize("end", ["close", "reset"])
@pytest.mark.parametrize("data", [b"", PING, PING * 300, SUBMIT[:30], MANY_SHORT_PARTS, b"\x00" * 9000])
def test_ended_connection_is_freed_at_once(data: bytes, end: str, loop_factory: object) -> None:
    async def scenario() -> None:
        running = RunningFrontend()
        _, writer = await running.connect(data)
        while not running.server._sessions:
            await asyncio.sleep(0)
        sessions = [weakref.ref(session) for session in running.server._sessions]
        if data:
            await asyncio.sleep(0.02)
        if end == "reset":
            linger = struct.pack("ii", 1, 0)
            writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        writer.close()
        async with asyncio.timeout(TIMEOUT_S):
            await wait_until_all_have_ended(running)
            await asyncio.sleep(0.01)
        assert [session() for session in sessions] == [None]
        await running.server.drain()

    gc.disable()
    try:
        with asyncio.Runner(loop_factory=loop_factory) as runner:  # type: ignore[arg-type]
            runner.run(scenario())
    finally:
        gc.enable()


def test_lingering_connection_holds_no_bytes_of_its_client() -> None:
    async def scenario() -> None:
        running = RunningFrontend()
        reader, _ = await running.connect(MANY_SHORT_PARTS)
        await reader.readline()
        (session,) = running.server._sessions
        assert isinstance(session, ClientSession) and session.lingering
        assert not session._buffer  # type: ignore[attr-defined]
        await running.server.drain()

    run(scenario)


def large_request(body_bytes: int = 60_000) -> bytes:
    return HEAD % body_bytes + bytes(body_bytes) + b"\r\n"


def run(scenario: Callable[[], Awaitable[None]]) -> None:
    asyncio.run(asyncio.wait_for(scenario(), TIMEOUT_S))


@pytest.mark.parametrize(
    "partial",
    [
        HEAD % 60_000 + bytes(40_000),
        b"*16\r\n" + (b"$4090\r\n" + bytes(4090) + b"\r\n") * 10,
        b"*16\r\n" + b"$1\r\nx\r\n" * 15,
    ],
    ids=["half a body", "small parts", "short parts"],
)
def test_oldest_partial_command_is_rejected_for_a_request_that_is_complete(partial: bytes) -> None:
    # Guards against partial commands that hold memory without a limit, and against their delaying other requests.
    async def scenario() -> None:
        running = RunningFrontend(request_bytes=2 * len(partial) + 10)
        running.delivery_service.may_answer.set()
        clients = [await running.connect(partial) for _ in range(2)]
        memory = running.server.request_memory
        while memory.held_bytes < 2 * len(partial):
            await asyncio.sleep(0.001)
        request = SUBMIT if len(partial) < 1000 else large_request(20_000)
        reader, _ = await running.connect(request)
        assert await reader.readline() == b"+OK\r\n"
        assert await clients[0][0].read() == BUSY, "the oldest one"
        assert not clients[1][0].at_eof() and memory.held_bytes <= memory.limit_bytes
        assert running.telemetry.counters["clients.memory_rejected"] == 1

    run(scenario)


def test_request_for_which_no_memory_is_left_is_rejected_and_those_in_progress_are_served() -> None:
    async def scenario() -> None:
        running = RunningFrontend(request_bytes=len(large_request()) + 1000)
        first, _ = await running.connect(large_request())
        await running.delivery_service.submitted.wait()
        second, _ = await running.connect(large_request())
        assert await second.read() == BUSY
        running.delivery_service.may_answer.set()
        assert await first.readline() == b"+OK\r\n"
        third, _ = await running.connect(large_request())
        assert await third.readline() == b"+OK\r\n", "the memory of a served request is given back"
        assert running.server.request_memory.held_bytes == 0

    run(scenario)


def test_pipelined_requests_for_which_no_memory_is_left_are_rejected_after_the_reply_that_is_owed() -> None:
    async def scenario() -> None:
        running = RunningFrontend(request_bytes=30_000)
        reader, writer = await running.connect(SUBMIT)
        await running.delivery_service.submitted.wait()
        writer.write(SUBMIT * 1000)
        while not running.telemetry.counters["clients.memory_rejected"]:
            await asyncio.sleep(0.001)
        assert running.server.request_memory.held_bytes <= len(SUBMIT)
        running.delivery_service.may_answer.set()
        assert await reader.read() == b"+OK\r\n" + BUSY
        assert running.delivery_service.submitted_ids == ["m1"]

    run(scenario)


def test_all_memory_is_given_back_whatever_clients_send_and_however_they_leave() -> None:
    async def scenario() -> None:
        running = RunningFrontend(max_connections=20, request_bytes=150_000)
        rng = random.Random(4)
        running.delivery_service.may_answer.set()
        for number in range(200):
            whole = rng.choice([SUBMIT * 5, large_request(), MANY_SHORT_PARTS, PING * 200, b"\x00" * 20_000])
            _, writer = await running.connect(whole[: rng.randint(0, len(whole))])
            await asyncio.sleep(rng.choice([0.0, 0.0, 0.002]))
            if number % 2:
                writer.transport.abort()
            assert running.server.request_memory.held_bytes <= running.server.request_memory.limit_bytes
        for writer in running.writers:
            writer.close()
        await wait_until_all_have_ended(running)
        assert running.server.request_memory.held_bytes == 0

    run(scenario)


@pytest.mark.parametrize("loop_factory", [asyncio.new_event_loop, uvloop.new_event_loop])
def test_client_that_reads_no_replies_holds_one(loop_factory: object) -> None:
    async def scenario() -> None:
        running = RunningFrontend()
        _, writer = await running.connect(b"")
        writer.transport.pause_reading()  # type: ignore[attr-defined]
        writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        held = list[int]()
        for _ in range(300):
            writer.write(PING * 200)
            await asyncio.sleep(0.001)
            held += [s.writer.transport.get_write_buffer_size() for s in running.server._sessions]
        assert max(held) <= len(b"-ERR evacuated\r\n")
        assert running.server.request_memory.held_bytes <= running.server.request_memory.limit_bytes

    with asyncio.Runner(loop_factory=loop_factory) as runner:  # type: ignore[arg-type]
        runner.run(asyncio.wait_for(scenario(), TIMEOUT_S))


@pytest.mark.parametrize("loop_factory", [asyncio.new_event_loop, uvloop.new_event_loop])
@pytest.mark.parametrize("data", [b"", PING, MANY_SHORT_PARTS, SUBMIT[:30]])
def test_connection_whose_task_is_cancelled_at_the_end_of_the_process_causes_no_fault(
    data: bytes, loop_factory: object
) -> None:
    async def scenario() -> None:
        faults = list[object]()
        asyncio.get_running_loop().set_exception_handler(lambda _, context: faults.append(context))
        running = RunningFrontend()
        _, writer = await running.connect(data)
        while not running.server._sessions:
            await asyncio.sleep(0)
        await asyncio.sleep(0.01)
        for task in running.server._sessions.values():
            task.cancel()
        writer.write(PING)
        writer.close()
        await asyncio.sleep(0.05)
        assert not faults and not running.server._sessions
        await running.server.drain()

    with asyncio.Runner(loop_factory=loop_factory) as runner:  # type: ignore[arg-type]
        runner.run(asyncio.wait_for(scenario(), TIMEOUT_S))
