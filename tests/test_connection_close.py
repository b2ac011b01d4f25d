"""Closing of client connections: a request that has been read is answered, even if it arrives during the close.

The tests force each race between reading and closing within one iteration of the event loop.
"""

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
from scenario import SETTINGS, ScenarioHarness
from test_frontend import PING, SUBMIT, UNFINISHED_REPLY, RunningFrontend, on_data_read

from kestreltrack.admin.http_api import Operations
from kestreltrack.admin.http_listener import AdminListener
from kestreltrack.frontend import request_handler as request_handler_module
from kestreltrack.frontend import server as server_module
from kestreltrack.frontend import session as session_module
from kestreltrack.frontend.session import ClientSession
from kestreltrack.http1 import Connection
from kestreltrack.ports import InvalidMessage
from kestreltrack.telemetry import Telemetry

LOOP_FACTORIES = {"uvloop": uvloop.new_event_loop, "asyncio": asyncio.new_event_loop}
UNKNOWN_COMMAND = b"*1\r\n$3\r\nFLY\r\n"
SECOND_SUBMIT = SUBMIT.replace(b"m1", b"m2")
# What a client has sent before the request that races with the close.
SENT_BEFORE = {
    "new": b"",
    "idle": PING,
    "backing off": UNKNOWN_COMMAND,
    "waiting for a reply": SUBMIT,
    "partial command": SECOND_SUBMIT[:20],
}
REPLIES = {PING: b"+PONG\r\n", UNKNOWN_COMMAND: b"-ERR unknown command\r\n"}
on_each_loop = pytest.mark.parametrize("loop", LOOP_FACTORIES)


def run(loop: str, scenario: Callable[[RunningFrontend], Awaitable[None]]) -> None:
    async def run_with_timeout() -> None:
        async with asyncio.timeout(20.0):
            await scenario(RunningFrontend())

    with asyncio.Runner(loop_factory=LOOP_FACTORIES[loop]) as runner:
        runner.run(run_with_timeout())


async def wait_until(condition: Callable[[], object]) -> None:
    while not condition():
        await asyncio.sleep(0)


async def read_to_end(reader: asyncio.StreamReader) -> bytes:
    """Return all remaining data, whether the connection is then closed or reset."""
    data = b""
    with suppress(ConnectionResetError):
        while line := await reader.readline():
            data += line
    return data


def close_connections(running: RunningFrontend, closed_by: str) -> None:
    """Make the frontend close its connections, now or in the next iteration of the loop."""
    if closed_by == "drain":
        running.closing_task = asyncio.create_task(running.server.drain())
    elif closed_by == "shut_down":
        running.closing_task = asyncio.create_task(running.server.shut_down())
    elif closed_by == "sweep":
        for session in running.server._sessions:
            session.deadline = 0.0 if session.deadline < math.inf else math.inf
    elif closed_by == "evacuate":
        running.server.evacuate(True)
    else:
        running.server.max_connections = 0
        running.server._enforce_connection_limit(list(running.server._sessions)[-1])


@on_each_loop
@pytest.mark.parametrize("closed_by", ["drain", "shut_down", "sweep", "evacuate", "limit"])
@pytest.mark.parametrize("state", SENT_BEFORE)
def test_a_request_that_was_read_is_answered_whatever_closes_its_connection(
    loop: str, closed_by: str, state: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(server_module, "SWEEP_INTERVAL_S", 0.0)
    monkeypatch.setattr(request_handler_module, "BAD_REQUEST_BACKOFF_S", 0.1)

    async def scenario(running: RunningFrontend) -> None:
        reader, writer = await running.connect(SENT_BEFORE[state], REPLIES.get(SENT_BEFORE[state], b""))
        is_waiting = state == "waiting for a reply"
        await wait_until(
            lambda: running.delivery_service.submitted.is_set() if is_waiting else running.server._sessions
        )
        # A second connection: the limit may close the first one in its favour.
        await running.connect()
        await wait_until(lambda: len(running.server._sessions) > 1)
        was_read = asyncio.Event()
        request = SECOND_SUBMIT[20 if state == "partial command" else 0 :]

        def close_when_read(data: bytes) -> None:
            if data == request:
                close_connections(running, closed_by)
                was_read.set()

        on_data_read(monkeypatch, close_when_read)
        if not is_waiting:
            running.delivery_service.may_answer.set()
        writer.write(request)
        await was_read.wait()
        # Enough iterations of the loop for the frontend to decide what to close.
        for _ in range(4):
            await asyncio.sleep(0)
        running.delivery_service.may_answer.set()
        if is_waiting:
            assert await reader.readline() == b"+OK\r\n"
        assert await reader.readline() == (
            b"+OK\r\n" if "m2" in running.delivery_service.submitted_ids else b"-BUSY\r\n"
        )
        assert closed_by == "shut_down" or "m2" in running.delivery_service.submitted_ids

    run(loop, scenario)


# Far more bytes than the frontend and its socket buffer before the frontend replies.
INVALID_FLOOD = b"x\r\n" + SUBMIT * 4000
PARTIAL_LONG_SUBMIT = SUBMIT.replace(b"$1\r\nb\r\n", b"$60000\r\n") + bytes(50_000)


@on_each_loop
@pytest.mark.parametrize(
    ("data", "expected_reply"),
    [(INVALID_FLOOD, b"-ERR expected * and a number\r\n"), (PARTIAL_LONG_SUBMIT, UNFINISHED_REPLY)],
)
def test_the_last_reply_is_received_before_the_close_whatever_the_client_still_sends(
    loop: str, data: bytes, expected_reply: bytes, monkeypatch: pytest.MonkeyPatch
) -> None:
    # Closing a socket with unread data would reset the connection and drop the reply.
    monkeypatch.setattr(session_module, "COMMAND_TIMEOUT_S", 0.0)
    monkeypatch.setattr(session_module, "LINGER_TIMEOUT_S", 10.0)
    # Without its deadline, since COMMAND_TIMEOUT_S also limits the time to read a reply.
    monkeypatch.setattr(ClientSession, "begin_reply", lambda session: None)

    async def scenario(running: RunningFrontend) -> None:
        reader, writer = await running.connect(data)
        await wait_until(lambda: [session for session in running.server._sessions if session.lingering])
        writer.write(SUBMIT)
        await writer.drain()
        writer.write_eof()
        assert await reader.read() == expected_reply
        assert not running.delivery_service.submitted.is_set(), "discarded data is never submitted"
        await wait_until(lambda: not running.server._sessions)

    run(loop, scenario)


@on_each_loop
@pytest.mark.parametrize("limit", ["time", "discarded bytes", "connections"])
def test_a_lingering_close_is_limited(loop: str, limit: str, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(session_module, "LINGER_TIMEOUT_S", 0.01 if limit == "time" else 10.0)
    monkeypatch.setattr(session_module, "MAX_DISCARD_BYTES", 1000)

    async def scenario(running: RunningFrontend) -> None:
        reader, writer = await running.connect(b"x\r\n", b"-ERR expected * and a number\r\n")
        await running.connect(PING, b"+PONG\r\n")
        if limit == "discarded bytes":
            writer.write(INVALID_FLOOD)
        elif limit == "connections":
            running.server.max_connections = 2
            await running.connect(PING, b"+PONG\r\n")
        await wait_until(lambda: not [session for session in running.server._sessions if session.lingering])
        assert await read_to_end(reader) == b""
        assert running.server.max_connections == 8 or len(running.server._sessions) == 2, (
            "only the lingering connection is closed"
        )

    run(loop, scenario)


@on_each_loop
def test_a_shutdown_stops_reading_and_answers_all_requests_that_were_read(
    loop: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    # The last of the 51 commands is incomplete.
    pipelined = b"".join(SUBMIT.replace(b"m1", b"%02d" % n) for n in range(51))[:-9]
    received = bytearray()

    async def scenario(running: RunningFrontend) -> None:
        await running.connect(PING, b"+PONG\r\n")
        idle_client, pipelining_client = (
            socket.create_connection(("127.0.0.1", running.port), 10.0) for _ in range(2)
        )
        on_data_read(monkeypatch, received.extend)
        pipelining_client.sendall(pipelined)
        # The first request waits for its reply, the others behind it.
        await wait_until(
            lambda: len(received) == len(pipelined) and running.delivery_service.submitted.is_set()
        )
        shutdown_task = asyncio.create_task(running.server.shut_down())
        await asyncio.sleep(0)
        idle_client.sendall(SUBMIT)
        pipelining_client.sendall(SUBMIT)
        running.delivery_service.may_answer.set()
        await shutdown_task
        await wait_until(lambda: not running.server._sessions)
        assert received == pipelined, "nothing more is read"
        assert running.delivery_service.submitted_ids == ["00"], (
            "no message is submitted that could not be delivered"
        )
        assert pipelining_client.recv(10_000) == b"+OK\r\n" + b"-BUSY\r\n" * 50
        with pytest.raises(ConnectionResetError):
            assert idle_client.recv(100) == b"answered, though it was not read"

    run(loop, scenario)


@on_each_loop
def test_every_socket_sends_small_writes_without_delay(loop: str) -> None:
    async def scenario(running: RunningFrontend) -> None:
        await running.connect(PING, b"+PONG\r\n")
        (client,) = running.server._sessions
        listener = AdminListener(cast(Operations, None), Telemetry())
        address = await listener.open("127.0.0.1:0")
        # Requests to endpoints, discovery and the platform all use this class.
        outgoing = await Connection.open(address, 1.0)
        await wait_until(lambda: listener._connections)
        (admin_connection,) = listener._connections
        for writer in (client.writer, admin_connection, outgoing._transport):
            peer = writer.get_extra_info("socket")
            assert peer.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY)
        outgoing.close()
        listener.close()

    run(loop, scenario)


@on_each_loop
def test_pipelined_requests_are_answered_in_order_and_invalid_ones_do_not_delay_the_others(loop: str) -> None:
    async def scenario(running: RunningFrontend) -> None:
        running.delivery_service.may_answer.set()
        invalid = SUBMIT.replace(b"d=9", b"d=x")
        kinds = [(SUBMIT, b"+OK"), (PING, b"+PONG"), (UNKNOWN_COMMAND, b"-ERR unknown command")]
        kinds.append((invalid, b"-ERR d is missing or not a number"))
        requests = [kinds[(n + n // 4) % 4] for n in range(40)]
        reader, _ = await running.connect(b"".join(data for data, _ in requests))
        assert [await reader.readline() for _ in requests] == [reply + b"\r\n" for _, reply in requests]

    run(loop, scenario)


@on_each_loop
def test_the_second_call_of_shut_down_answers_a_client_that_still_waits(
    loop: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def scenario(running: RunningFrontend) -> None:
        reader, _ = await running.connect(SUBMIT)
        await running.delivery_service.submitted.wait()
        monkeypatch.setattr(server_module, "SHUTDOWN_TIMEOUT_S", 0.0)
        await running.server.shut_down()
        # The result of the delivery core once its deliveries have been cancelled.
        running.delivery_service.result = InvalidMessage("internal error")
        running.delivery_service.may_answer.set()
        monkeypatch.setattr(server_module, "SHUTDOWN_TIMEOUT_S", 10.0)
        await running.server.shut_down()
        assert not running.server._sessions
        assert await reader.read() == b"-ERR internal error\r\n"

    run(loop, scenario)


def test_a_shutdown_rejects_a_partial_request_before_the_process_ends(tmp_path: Path) -> None:
    harness = ScenarioHarness(tmp_path, SETTINGS)
    harness.setup_code = (
        "from kestreltrack.frontend import session; session.COMMAND_TIMEOUT_S = 60.0;"
        "from kestreltrack.sender import daemon; daemon.SHUTDOWN_TIMEOUT_S = 0.8"
    )
    partial_request = "s1 send raw *1\\r\\n$4\\r\\nPI\ns2 send PING\ns2 expect +PONG"
    shutdown = "sender send TERM\ns1 expect -BUSY\ns1 expect end\nsender expect exit 0"
    asyncio.run(harness.run(f"{partial_request}\n{shutdown}"))
