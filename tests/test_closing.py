"""Connections that end while something of them is read: each crossing is forced, in the very turn of the loop."""

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
from test_front import PING, SUBMIT, UNFINISHED, Place, once_read

from kestreltrack.admin.http_api import Operations
from kestreltrack.admin.http_listener import AdminListener
from kestreltrack.frontend import server as front_module
from kestreltrack.http1 import Connection
from kestreltrack.ports import InvalidMessage
from kestreltrack.telemetry import Telemetry

LOOPS = {"uvloop": uvloop.new_event_loop, "asyncio": asyncio.new_event_loop}
BAD, SECOND = b"*1\r\n$3\r\nFLY\r\n", SUBMIT.replace(b"m1", b"m2")
STATES = {"new": b"", "resting": PING, "pausing": BAD, "waiting for an answer": SUBMIT, "begun": SECOND[:20]}
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


async def rest(reader: asyncio.StreamReader) -> bytes:
    """What still comes, whether the connection is closed or reset behind it."""
    got = b""
    with suppress(ConnectionResetError):
        while line := await reader.readline():
            got += line
    return got


def end(place: Place, way: str) -> None:
    """Have the front decide, now or in the next turn, that its connections may end."""
    if way in ("close", "finish"):
        place.closing = asyncio.create_task(getattr(place.front, way)())
    elif way == "sweep":
        for session in place.front._sessions:
            session.deadline = 0.0 if session.deadline < math.inf else math.inf
    elif way == "evacuate":
        place.front.evacuate(True)
    else:
        place.front.max_connections = 0
        place.front._enforce_connection_limit(list(place.front._sessions)[-1])


@loops
@pytest.mark.parametrize("way", ["close", "finish", "sweep", "evacuate", "room"])
@pytest.mark.parametrize("state", STATES)
def test_a_request_that_was_read_is_answered_whatever_ends_its_connection(
    loop: str, way: str, state: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(front_module, "SWEEP_INTERVAL_S", 0.0)
    monkeypatch.setattr(front_module, "BAD_REQUEST_BACKOFF_S", 0.1)

    async def story(place: Place) -> None:
        reader, writer = await place.connect(STATES[state], ANSWERS.get(STATES[state], b""))
        waits = state == "waiting for an answer"
        await until(lambda: place.intake.asked.is_set() if waits else place.front._sessions)
        await place.connect()  # for which room is made
        await until(lambda: len(place.front._sessions) > 1)
        read, last = asyncio.Event(), SECOND[20 if state == "begun" else 0 :]

        def crossing(data: bytes) -> None:
            if data == last:
                end(place, way)
                read.set()

        once_read(monkeypatch, crossing)
        if not waits:
            place.intake.let.set()
        writer.write(last)
        await read.wait()
        for _ in range(4):  # the front comes to its decision
            await asyncio.sleep(0)
        place.intake.let.set()
        if waits:
            assert await reader.readline() == b"+OK\r\n"
        assert await reader.readline() == (b"+OK\r\n" if "m2" in place.intake.ids else b"-BUSY\r\n")
        assert way == "finish" or "m2" in place.intake.ids

    run(loop, story)


FLOOD = b"x\r\n" + SUBMIT * 4000  # far more than the front and its socket take before it has to answer
LONG = SUBMIT.replace(b"$1\r\nb\r\n", b"$60000\r\n") + bytes(50_000)


@loops
@pytest.mark.parametrize(
    ("data", "answer"), [(FLOOD, b"-ERR expected * and a number\r\n"), (LONG, UNFINISHED)]
)
def test_the_last_answer_comes_before_the_end_whatever_is_still_sent(
    loop: str, data: bytes, answer: bytes, monkeypatch: pytest.MonkeyPatch
) -> None:
    # A close over unread bytes would reset the connection.
    monkeypatch.setattr(front_module, "COMMAND_TIMEOUT_S", 0.0)
    monkeypatch.setattr(front_module, "LINGER_TIMEOUT_S", 10.0)
    monkeypatch.setattr(
        front_module.ClientSession, "begin_reply", lambda session: None
    )  # a reply has its time as ever

    async def story(place: Place) -> None:
        place.front._large_part_permits = asyncio.Semaphore(0)  # long parts stay in the socket
        reader, writer = await place.connect(data)
        await until(lambda: [s for s in place.front._sessions if s.lingering])
        writer.write(SUBMIT)
        await writer.drain()
        writer.write_eof()
        assert await reader.read() == answer
        assert not place.intake.asked.is_set(), "what is thrown away is never handed on"
        place.front._large_part_permits.release()
        await until(lambda: not place.front._sessions)

    run(loop, story)


@loops
@pytest.mark.parametrize("bound", ["time", "amount", "number"])
def test_a_lingering_close_is_bounded(loop: str, bound: str, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(front_module, "LINGER_TIMEOUT_S", 0.01 if bound == "time" else 10.0)
    monkeypatch.setattr(front_module, "MAX_DISCARD_BYTES", 1000)

    async def story(place: Place) -> None:
        reader, writer = await place.connect(b"x\r\n", b"-ERR expected * and a number\r\n")
        await place.connect(PING, b"+PONG\r\n")
        if bound == "amount":
            writer.write(FLOOD)
        elif bound == "number":
            place.front.max_connections = 2
            await place.connect(PING, b"+PONG\r\n")
        await until(lambda: not [s for s in place.front._sessions if s.lingering])
        assert await rest(reader) == b""
        assert place.front.max_connections == 8 or len(place.front._sessions) == 2, "those that serve stay"

    run(loop, story)


@loops
def test_the_end_of_a_stop_reads_nothing_more_and_answers_all_that_was_read(
    loop: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    pipelined = b"".join(SUBMIT.replace(b"m1", b"%02d" % n) for n in range(51))[
        :-9
    ]  # the last is half a command
    read = bytearray()

    async def story(place: Place) -> None:
        await place.connect(PING, b"+PONG\r\n")
        resting, many = (socket.create_connection(("127.0.0.1", place.port), 10.0) for _ in range(2))
        once_read(monkeypatch, read.extend)
        many.sendall(pipelined)
        await until(lambda: len(read) == len(pipelined) and place.intake.asked.is_set())  # the first waits
        finishing = asyncio.create_task(place.front.shut_down())
        await asyncio.sleep(0)
        resting.sendall(SUBMIT)
        many.sendall(SUBMIT)
        place.intake.let.set()
        await finishing
        await until(lambda: not place.front._sessions)
        assert read == pipelined, "nothing more is read"
        assert place.intake.ids == ["00"], "nothing is handed in that nobody would see to"
        assert many.recv(10_000) == b"+OK\r\n" + b"-BUSY\r\n" * 50
        with pytest.raises(ConnectionResetError):
            assert resting.recv(100) == b"answered, though it was not read"

    run(loop, story)


@loops
def test_no_socket_holds_back_small_writes(loop: str) -> None:
    async def story(place: Place) -> None:
        await place.connect(PING, b"+PONG\r\n")
        (client,) = place.front._sessions
        listener = AdminListener(cast(Operations, None), Telemetry())
        address = await listener.open("127.0.0.1:0")
        # Endpoints, discovery and notices are all called over this.
        calls = await Connection.open(address, 1.0)
        await until(lambda: listener._connections)
        (admin,) = listener._connections
        for writer in (client.writer, admin, calls._transport):
            peer = writer.get_extra_info("socket")
            assert peer.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY)
        calls.close()
        listener.close()

    run(loop, story)


@loops
def test_pipelined_requests_are_answered_in_order_and_bad_ones_cost_the_others_nothing(loop: str) -> None:
    async def story(place: Place) -> None:
        place.intake.let.set()
        unfit = SUBMIT.replace(b"d=9", b"d=x")
        kinds = [(SUBMIT, b"+OK"), (PING, b"+PONG"), (BAD, b"-ERR unknown command")]
        kinds.append((unfit, b"-ERR d is missing or not a number"))
        asked = [kinds[(n + n // 4) % 4] for n in range(40)]
        reader, _ = await place.connect(b"".join(data for data, _ in asked))
        assert [await reader.readline() for _ in asked] == [answer + b"\r\n" for _, answer in asked]

    run(loop, story)


@loops
def test_who_waits_for_the_module_until_the_end_is_answered(
    loop: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def story(place: Place) -> None:
        reader, _ = await place.connect(SUBMIT)
        await place.intake.asked.wait()
        monkeypatch.setattr(front_module, "SHUTDOWN_TIMEOUT_S", 0.0)
        await place.front.shut_down()
        place.intake.answer = InvalidMessage(
            "internal error"
        )  # as the core says once its lives are called off
        place.intake.let.set()
        monkeypatch.setattr(front_module, "SHUTDOWN_TIMEOUT_S", 10.0)
        await place.front.shut_down()
        assert not place.front._sessions
        assert await reader.read() == b"-ERR internal error\r\n"

    run(loop, story)


def test_half_a_request_at_the_end_of_a_stop_is_refused_before_the_process_ends(tmp_path: Path) -> None:
    world = World(tmp_path, SETTINGS)
    world.first = (
        "from kestreltrack.frontend import server; server.COMMAND_TIMEOUT_S = 60.0;"
        "from kestreltrack.sender import daemon; daemon.STOP_S = 0.8"
    )
    half = "s1 send raw *1\\r\\n$4\\r\\nPI\ns2 send PING\ns2 expect +PONG"
    asyncio.run(world.play(f"{half}\nsender send TERM\ns1 expect -BUSY\ns1 expect end\nsender expect exit 0"))
