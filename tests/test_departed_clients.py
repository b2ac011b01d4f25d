"""Requests of a client that has left are not sent on, even those that were received before its end was noticed."""

from __future__ import annotations

import asyncio
import socket
import struct

import pytest
import uvloop
from test_frontend import SUBMIT, RunningFrontend

LOOP_FACTORIES = {"uvloop": uvloop.new_event_loop, "asyncio": asyncio.new_event_loop}
TIMEOUT_S = 10.0
COMMANDS = 30
# Large enough that receiving is paused behind the first commands, so that the end of the stream is not received.
PADDING = {"small": 1, "large": 2000}


def submissions(body_bytes: int) -> bytes:
    body = b"$%d\r\n%s\r\n" % (body_bytes, b"b" * body_bytes)
    return b"".join(
        SUBMIT.replace(b"$2\r\nm1", b"$3\r\nm%02d" % n).replace(b"$1\r\nb\r\n", body) for n in range(COMMANDS)
    )


def leave(client: socket.socket, how: str) -> None:
    if how == "reset":
        client.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    client.close()


@pytest.mark.parametrize("loop", LOOP_FACTORIES)
@pytest.mark.parametrize("how", ["close", "reset"])
@pytest.mark.parametrize("size", PADDING)
def test_requests_of_a_client_that_has_left_are_not_submitted(size: str, how: str, loop: str) -> None:
    async def scenario() -> None:
        running = RunningFrontend()
        service = running.delivery_service
        await running.connect()
        client = socket.create_connection(("127.0.0.1", running.port))
        client.setblocking(False)
        await asyncio.get_running_loop().sock_sendall(client, submissions(PADDING[size]))
        await service.submitted.wait()
        leave(client, how)
        await asyncio.sleep(0.02)
        submitted_before = list(service.submitted_ids)
        service.may_answer.set()
        while len(running.server._sessions) > 1:
            await asyncio.sleep(0.001)
        assert submitted_before == ["m00"] == service.submitted_ids
        assert service.withdrawn_ids == ["m00"]
        assert running.telemetry.counters["clients.disconnected"] == 1

    with asyncio.Runner(loop_factory=LOOP_FACTORIES[loop]) as runner:
        runner.run(asyncio.wait_for(scenario(), TIMEOUT_S))


def test_pipelined_requests_of_a_client_that_stays_are_all_served() -> None:
    async def scenario() -> None:
        running = RunningFrontend()
        running.delivery_service.may_answer.set()
        reader, _ = await running.connect(submissions(PADDING["large"]))
        for _ in range(COMMANDS):
            assert await reader.readline() == b"+OK\r\n"

    asyncio.run(asyncio.wait_for(scenario(), TIMEOUT_S))
