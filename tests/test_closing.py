"""Connections that are closed while something of them is read: each race is forced, in one turn of the loop."""

from __future__ import annotations

import asyncio
import math
import socket
from collections.abc import Awaitable, Callable
from contextlib import suppress
from pathlib import Path
from typing import cast

import pytest
import uvloop
from scenario import SETTINGS, World
from test_frontend import PING, SUBMIT, UNFINISHED, RunningFrontend, on_data_read

from kestreltrack.admin.http_api import Operations
from kestreltrack.admin.http_listener import AdminListener
from kestreltrack.frontend import request_handler as request_handler_module
from kestreltrack.frontend import server as server_module
from kestreltrack.frontend import session as session_module
from kestreltrack.frontend.session import ClientSession
from kestreltrack.http1 import Connection
from kestreltrack.ports import InvalidMessage
from kestreltrack.telemetry import Telemetry

LOOPS = {"uvloop": uvloop.new_event_loop, "asyncio": asyncio.new_event_loop}
BAD = b"*1\r\n$3\r\nFLY\r\n"
SECOND = SUBMIT.replace(b"m1", b"m2")
STATES = {"new": b"", "idle": PING, "pausing": BAD, "waiting for an answer": SUBMIT, "begun": SECOND[:20]}
ANSWERS = {PING: b"+PONG\r\n", BAD: b"-ERR unknown command\r\n"}
loops = pytest.mark.parametrize("loop", LOOPS)


def run(loop: str, scenario: Callable[[RunningFrontend], Awaitable[None]]) -> None:
    async def go() -> None:
        async with asyncio.timeout(20.0):
            await scenario(RunningFrontend())

    with asyncio.Runner(loop_factory=LOOPS[loop]) as runner:
        runner.run(go())


async def wait_until(condition: Callable[[], object]) -> None:
    while not condition():
        await asyncio.sleep(0)


async def read_to_end(reader: asyncio.StreamReader) -> bytes:
    """Return what still comes, whether the connection is closed or reset behind it."""
    got = b""
    with suppress(ConnectionResetError):
        while line := await reader.readline():
            got += line
    return got


def end_connections(running: RunningFrontend, way: str) -> None:
    """Have the frontend decide, now or in the next turn, that its connections may end."""
    if way == "drain":
        running.closing = asyncio.create_task(running.server.drain())
    elif way == "shut_down":
        running.closing = asyncio.create_task(running.server.shut_down())
    elif way == "sweep":
        for session in running.server._sessions:
            session.deadline = 0.0 if session.deadline < math.inf else math.inf
    elif way == "evacuate":
        running.server.evacuate(True)
    else:
        running.server.max_connections = 0
        running.server._enforce_connection_limit(list(running.server._sessions)[-1])


@loops
@pytest.mark.parametrize("way", ["drain", "shut_down", "sweep", "evacuate", "limit"])
@pytest.mark.parametrize("state", STATES)
def test_a_request_that_was_read_is_answered_whatever_ends_its_connection(
    loop: str, way: str, state: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(server_module, "SWEEP_INTERVAL_S", 0.0)
    monkeypatch.setattr(request_handler_module, "BAD_REQUEST_BACKOFF_S", 0.1)

    async def scenario(running: RunningFrontend) -> None:
        reader, writer = await running.connect(STATES[state], ANSWERS.get(STATES[state], b""))
        waits = state == "waiting for an answer"
        await wait_until(lambda: running.intake.submitted.is_set() if waits else running.server._sessions)
        await running.connect()  # the newcomer, for which another may be closed
        await wait_until(lambda: len(running.server._sessions) > 1)
        read, last = asyncio.Event(), SECOND[20 if state == "begun" else 0 :]

        def close_when_read(data: bytes) -> None:
            if data == last:
                end_connections(running, way)
                read.set()

        on_data_read(monkeypatch, close_when_read)
        if not waits:
            running.intake.may_answer.set()
        writer.write(last)
        await read.wait()
        for _ in range(4):  # the frontend comes to its decision
            await asyncio.sleep(0)
        running.intake.may_answer.set()
        if waits:
            assert await reader.readline() == b"+OK\r\n"
        assert await reader.readline() == (b"+OK\r\n" if "m2" in running.intake.ids else b"-BUSY\r\n")
        assert way == "shut_down" or "m2" in running.intake.ids

    run(loop, scenario)


FLOOD = b"x\r\n" + SUBMIT * 4000  # far more than the frontend and its socket take before it has to answer
LONG = SUBMIT.replace(b"$1\r\nb\r\n", b"$60000\r\n") + bytes(50_000)


@loops
@pytest.mark.parametrize(
    ("data", "answer"), [(FLOOD, b"-ERR expected * and a number\r\n"), (LONG, UNFINISHED)]
)
def test_the_last_reply_is_received_before_the_close_whatever_is_still_sent(
    loop: str, data: bytes, answer: bytes, monkeypatch: pytest.MonkeyPatch
) -> None:
    # A close over unread bytes would reset the connection.
    monkeypatch.setattr(session_module, "COMMAND_TIMEOUT_S", 0.0)
    monkeypatch.setattr(session_module, "LINGER_TIMEOUT_S", 10.0)
    monkeypatch.setattr(ClientSession, "begin_reply", lambda session: None)  # a reply has its time as ever

    async def scenario(running: RunningFrontend) -> None:
        running.server.request_handler.large_part_permits = asyncio.Semaphore(
            0
        )  # long parts stay in the socket
        reader, writer = await running.connect(data)
        await wait_until(lambda: [s for s in running.server._sessions if s.lingering])
        writer.write(SUBMIT)
        await writer.drain()
        writer.write_eof()
        assert await reader.read() == answer
        assert not running.intake.submitted.is_set(), "what is thrown away is never handed on"
        running.server.request_handler.large_part_permits.release()
        await wait_until(lambda: not running.server._sessions)

    run(loop, scenario)


@loops
@pytest.mark.parametrize("bound", ["time", "amount", "number"])
def test_a_lingering_close_is_bounded(loop: str, bound: str, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(session_module, "LINGER_TIMEOUT_S", 0.01 if bound == "time" else 10.0)
    monkeypatch.setattr(session_module, "MAX_DISCARD_BYTES", 1000)

    async def scenario(running: RunningFrontend) -> None:
        reader, writer = await running.connect(b"x\r\n", b"-ERR expected * and a number\r\n")
        await running.connect(PING, b"+PONG\r\n")
        if bound == "amount":
            writer.write(FLOOD)
        elif bound == "number":
            running.server.max_connections = 2
            await running.connect(PING, b"+PONG\r\n")
        await wait_until(lambda: not [s for s in running.server._sessions if s.lingering])
        assert await read_to_end(reader) == b""
        assert running.server.max_connections == 8 or len(running.server._sessions) == 2, (
            "those that serve stay"
        )

    run(loop, scenario)


@loops
def test_the_end_of_a_shutdown_reads_nothing_more_and_answers_all_that_was_read(
    loop: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    pipelined = b"".join(SUBMIT.replace(b"m1", b"%02d" % n) for n in range(51))[
        :-9
    ]  # the last is half a command
    read = bytearray()

    async def scenario(running: RunningFrontend) -> None:
        await running.connect(PING, b"+PONG\r\n")
        idle, many = (socket.create_connection(("127.0.0.1", running.port), 10.0) for _ in range(2))
        on_data_read(monkeypatch, read.extend)
        many.sendall(pipelined)
        await wait_until(
            lambda: len(read) == len(pipelined) and running.intake.submitted.is_set()
        )  # the first waits
        finishing = asyncio.create_task(running.server.shut_down())
        await asyncio.sleep(0)
        idle.sendall(SUBMIT)
        many.sendall(SUBMIT)
        running.intake.may_answer.set()
        await finishing
        await wait_until(lambda: not running.server._sessions)
        assert read == pipelined, "nothing more is read"
        assert running.intake.ids == ["00"], "nothing is handed in that could not be delivered"
        assert many.recv(10_000) == b"+OK\r\n" + b"-BUSY\r\n" * 50
        with pytest.raises(ConnectionResetError):
            assert idle.recv(100) == b"answered, though it was not read"

    run(loop, scenario)


@loops
def test_no_socket_holds_back_small_writes(loop: str) -> None:
    async def scenario(running: RunningFrontend) -> None:
        await running.connect(PING, b"+PONG\r\n")
        (client,) = running.server._sessions
        listener = AdminListener(cast(Operations, None), Telemetry())
        address = await listener.open("127.0.0.1:0")
        # Endpoints, discovery and notifications are all called over this.
        calls = await Connection.open(address, 1.0)
        await wait_until(lambda: listener._connections)
        (admin,) = listener._connections
        for writer in (client.writer, admin, calls._transport):
            peer = writer.get_extra_info("socket")
            assert peer.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY)
        calls.close()
        listener.close()

    run(loop, scenario)


@loops
def test_pipelined_requests_are_answered_in_order_and_invalid_ones_do_not_delay_the_others(loop: str) -> None:
    async def scenario(running: RunningFrontend) -> None:
        running.intake.may_answer.set()
        invalid = SUBMIT.replace(b"d=9", b"d=x")
        kinds = [(SUBMIT, b"+OK"), (PING, b"+PONG"), (BAD, b"-ERR unknown command")]
        kinds.append((invalid, b"-ERR d is missing or not a number"))
        asked = [kinds[(n + n // 4) % 4] for n in range(40)]
        reader, _ = await running.connect(b"".join(data for data, _ in asked))
        assert [await reader.readline() for _ in asked] == [answer + b"\r\n" for _, answer in asked]

    run(loop, scenario)


@loops
def test_a_client_that_still_waits_at_the_end_of_a_shutdown_is_answered(
    loop: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def scenario(running: RunningFrontend) -> None:
        reader, _ = await running.connect(SUBMIT)
        await running.intake.submitted.wait()
        monkeypatch.setattr(server_module, "SHUTDOWN_TIMEOUT_S", 0.0)
        await running.server.shut_down()
        running.intake.answer = InvalidMessage(
            "internal error"
        )  # as the core answers once its deliveries are cancelled
        running.intake.may_answer.set()
        monkeypatch.setattr(server_module, "SHUTDOWN_TIMEOUT_S", 10.0)
        await running.server.shut_down()
        assert not running.server._sessions
        assert await reader.read() == b"-ERR internal error\r\n"

    run(loop, scenario)


def test_a_partial_request_at_the_end_of_a_shutdown_is_rejected_before_the_process_ends(
    tmp_path: Path,
) -> None:
    world = World(tmp_path, SETTINGS)
    world.first = (
        "from kestreltrack.frontend import session; session.COMMAND_TIMEOUT_S = 60.0;"
        "from kestreltrack.sender import daemon; daemon.SHUTDOWN_TIMEOUT_S = 0.8"
    )
    half = "s1 send raw *1\\r\\n$4\\r\\nPI\ns2 send PING\ns2 expect +PONG"
    asyncio.run(world.play(f"{half}\nsender send TERM\ns1 expect -BUSY\ns1 expect end\nsender expect exit 0"))
