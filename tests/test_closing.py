"""Connections that end while something of them is read: each crossing is forced, in the very turn of the loop."""

from __future__ import annotations

import asyncio
import math
from collections.abc import Awaitable, Callable

import pytest
import uvloop
from test_front import PING, SUBMIT, Place, once_read

from kestreltrack.submitters import front as front_module

LOOPS = {"uvloop": uvloop.new_event_loop, "asyncio": asyncio.new_event_loop}
BAD, SECOND = b"*1\r\n$3\r\nFLY\r\n", SUBMIT.replace(b"m1", b"m2")
STATES = {"new": b"", "resting": PING, "pausing": BAD, "waiting for an answer": SUBMIT}
ANSWERS = {PING: b"+PONG\r\n", BAD: b"-ERR unknown command\r\n"}
loops = pytest.mark.parametrize("loop", LOOPS)


def run(loop: str, story: Callable[[Place], Awaitable[None]]) -> None:
    async def go() -> None:
        async with asyncio.timeout(20.0):
            await story(Place())

    with asyncio.Runner(loop_factory=LOOPS[loop]) as runner:
        runner.run(go())


async def until(holds: Callable[[], object]) -> None:
    while not holds():
        await asyncio.sleep(0)


def end(place: Place, way: str) -> None:
    """Have the front decide, now or in the next turn, that its connections may end."""
    if way in ("close", "finish"):
        place.closing = asyncio.create_task(getattr(place.front, way)())
    elif way == "sweep":
        for session in place.front._sessions:
            session.limit = 0.0 if session.limit < math.inf else math.inf
    elif way == "evacuate":
        place.front.evacuate(True)
    else:
        place.front.most = 0
        place.front._make_room(list(place.front._sessions)[-1])


@loops
@pytest.mark.parametrize("way", ["close", "finish", "sweep", "evacuate", "room"])
@pytest.mark.parametrize("state", STATES)
def test_a_request_that_was_read_is_answered_whatever_ends_its_connection(
    loop: str, way: str, state: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(front_module, "SWEEP_S", 0.0)
    monkeypatch.setattr(front_module, "PAUSE_S", 0.1)

    async def story(place: Place) -> None:
        reader, writer = await place.connect(STATES[state], ANSWERS.get(STATES[state], b""))
        waits = state == "waiting for an answer"
        await until(lambda: place.intake.asked.is_set() if waits else place.front._sessions)
        await place.connect()  # for which room is made
        await until(lambda: len(place.front._sessions) > 1)
        read = asyncio.Event()

        def crossing(data: bytes) -> None:
            if data == SECOND:
                end(place, way)
                read.set()

        once_read(monkeypatch, crossing)
        if not waits:
            place.intake.let.set()
        writer.write(SECOND)
        await read.wait()
        for _ in range(4):  # the front comes to its decision
            await asyncio.sleep(0)
        place.intake.let.set()
        if waits:
            assert await reader.readline() == b"+OK\r\n"
        assert await reader.readline() == (b"+OK\r\n" if "m2" in place.intake.ids else b"-BUSY\r\n")
        assert way == "finish" or "m2" in place.intake.ids

    run(loop, story)
