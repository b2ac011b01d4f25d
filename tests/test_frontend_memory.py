"""Memory of client connections: what each holds is given back when it ends, and all together are limited."""

from __future__ import annotations

import asyncio
import gc
import weakref

import pytest
import uvloop
from test_frontend import PING, SUBMIT, RunningFrontend

from kestreltrack.frontend.session import ClientSession

TIMEOUT_S = 10.0
MANY_SHORT_PARTS = b"*1000000\r\n" + b"$1\r\nx\r\n" * 500


async def wait_until_all_have_ended(running: RunningFrontend) -> None:
    while running.server._sessions:
        await asyncio.sleep(0.001)


@pytest.mark.parametrize("loop_factory", [asyncio.new_event_loop, uvloop.new_event_loop])
@pytest.mark.parametrize("data", [b"", PING, PING * 300, SUBMIT[:30], MANY_SHORT_PARTS, b"\x00" * 9000])
def test_ended_connection_is_freed_at_once(data: bytes, loop_factory: object) -> None:
    async def scenario() -> None:
        running = RunningFrontend()
        _, writer = await running.connect(data)
        while not running.server._sessions:
            await asyncio.sleep(0)
        sessions = [weakref.ref(session) for session in running.server._sessions]
        if data:
            await asyncio.sleep(0.02)
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

    asyncio.run(asyncio.wait_for(scenario(), TIMEOUT_S))
